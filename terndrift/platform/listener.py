"""The listening socket of the front: accepts viewers' connections and survives a lack of file descriptors."""

import errno
import socket

from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

# Connections that may wait to be accepted; holds all viewers of a failed controller reconnecting at once.
BACKLOG = 1024
# Connections accepted per turn of the event loop; bounds the delay of its other work to some ms.
MAX_ACCEPTS_PER_TURN = 128
# Seconds without accepting when no descriptor is available and none could be freed. The socket stays readable
# all that time, so an immediate retry would busy-loop.
ACCEPT_PAUSE_S = 0.05
NO_DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Calls `on_accepted(socket)` for each connection.

    When no descriptor is available it calls `free_descriptor()`, which returns whether it freed one; if not,
    accepting pauses for ACCEPT_PAUSE_S. Owns the listening sockets, but not the accepted ones.
    """

    def __init__(self, on_accepted, free_descriptor, log):
        self.on_accepted, self.free_descriptor, self.log = on_accepted, free_descriptor, log
        self.sockets, self.resume_timer = [], None

    def listen_on(self, address):
        """Starts to listen on (host, port) and returns the bound (host, port); raises OSError."""
        self.sockets = bind_sockets(address[1], address[0], family=socket.AF_INET, backlog=BACKLOG)
        self._resume()
        return self.sockets[0].getsockname()[:2]

    def _resume(self):
        self.resume_timer = None
        for sock in self.sockets:
            IOLoop.current().add_handler(sock, self._on_readable, IOLoop.READ)

    def _on_readable(self, sock, _):
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept(sock):
                return

    def _accept(self, sock):
        """Accepts one connection; returns whether there may be more to accept."""
        try:
            connection, _ = sock.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:  # the client closed it while it waited in the backlog
            return True
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR_ERRNOS:
                raise
            if self.free_descriptor():
                return True
            self._pause(error)
            return False
        self.on_accepted(connection)
        return True

    def _pause(self, error):
        if self.resume_timer is None and self.sockets:
            self.log.warning("nothing is accepted for a while", why=str(error))
            for sock in self.sockets:
                IOLoop.current().remove_handler(sock)
            self.resume_timer = IOLoop.current().call_later(ACCEPT_PAUSE_S, self._resume)

    def close(self):
        """Accepts what is in the backlog, since those viewers count as connected, and closes the sockets."""
        for sock in self.sockets:
            while self._accept(sock):
                pass
            if self.resume_timer is None:
                IOLoop.current().remove_handler(sock)
            sock.close()
        if self.resume_timer is not None:
            IOLoop.current().remove_timeout(self.resume_timer)
        self.sockets, self.resume_timer = [], None
