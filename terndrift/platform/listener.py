"""The listening socket: accepts connections, and holds out when the process has no descriptor left."""

import errno
import socket

from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

# Connections that wait to be accepted: all viewers of a dead controller at once.
BACKLOG = 1024
# Accepted in one turn of the loop: the others on it wait no longer than this takes (some ms).
PER_TURN = 128
# Seconds without accepting when no descriptor is left and none could be freed: the socket stays readable
# all that time, and a loop that tried again at once would do nothing else.
PAUSE = 0.05
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Calls `accepted(socket)` for each connection, and for want of a descriptor `free_one()`, which says
    whether it freed one."""

    def __init__(self, accepted, free_one, log):
        self.accepted, self.free_one, self.log = accepted, free_one, log
        self.sockets, self.paused = [], None

    def listen_on(self, address):
        """Raises OSError; returns the address in use."""
        self.sockets = bind_sockets(address[1], address[0], family=socket.AF_INET, backlog=BACKLOG)
        self._watch()
        return self.sockets[0].getsockname()[:2]

    def _watch(self):
        self.paused = None
        for sock in self.sockets:
            IOLoop.current().add_handler(sock, self._ready, IOLoop.READ)

    def _ready(self, sock, _):
        for _ in range(PER_TURN):
            if not self._accept(sock):
                return

    def _accept(self, sock):
        """Whether there may be more to accept."""
        try:
            connection, _ = sock.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:  # it ended while it waited
            return True
        except OSError as wrong:
            if wrong.errno not in NO_DESCRIPTOR:
                raise
            if self.free_one():
                return True
            self._pause(wrong)
            return False
        self.accepted(connection)
        return True

    def _pause(self, wrong):
        if self.paused is None and self.sockets:
            self.log.warning("nothing is accepted for a while", why=str(wrong))
            for sock in self.sockets:
                IOLoop.current().remove_handler(sock)
            self.paused = IOLoop.current().call_later(PAUSE, self._watch)

    def close(self):
        """Accepts what waits to be accepted, as its viewers count as taken, and ends."""
        for sock in self.sockets:
            while self._accept(sock):
                pass
            if self.paused is None:
                IOLoop.current().remove_handler(sock)
            sock.close()
        if self.paused is not None:
            IOLoop.current().remove_timeout(self.paused)
        self.sockets, self.paused = [], None
