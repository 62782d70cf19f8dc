"""A UDP socket on the event loop whose senders are served in turn.

What has arrived is read before each datagram that is handled, at some µs a datagram, so that a sender at full
speed does not fill the socket's buffer, where the datagrams of others would be lost. What each sender sent is
then handled in turn, for a short time per iteration of the event loop.
"""

import asyncio
import socket
import time

from terndrift.fair_queue import FairQueue

# Datagrams read before one is handled, and the time in s for which both go on per iteration of the loop.
MAX_READS = 256
HANDLING_TIME_S = 0.002
RECEIVE_BUFFER_BYTES = 1024 * 1024


class DatagramSocket:
    """Calls `on_datagram(data, address)` for each datagram; raises OSError if the address is not available.

    Datagrams of at least `max_bytes` + 1 are cut to that length. Must be created within a running event loop.
    """

    def __init__(self, address, max_bytes, on_datagram):
        self.on_datagram = on_datagram
        self.buffer = memoryview(bytearray(max_bytes + 1))
        self.queue, self.handling = FairQueue(), None
        family, *_, address = socket.getaddrinfo(*address, type=socket.SOCK_DGRAM)[0]
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.socket, self._on_readable)

    @property
    def address(self):
        """The (host, port) that it is bound to."""
        return self.socket.getsockname()[:2]

    def send(self, data, address):
        """Sends a datagram; one that can't be sent now is lost, as it may be on its way."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            return

    def _on_readable(self):
        if self.handling is None:
            self._handle()

    def _handle(self):
        """Reads and handles datagrams for a short time; goes on in the next iteration if some are left."""
        self.handling = None
        until = time.monotonic() + HANDLING_TIME_S
        while time.monotonic() < until:
            self._read()
            if not self.queue:
                return
            address, data = self.queue.take()
            self.on_datagram(data, address)
            if self.is_closed():
                return
        self.handling = self.loop.call_soon(self._handle)

    def _read(self):
        for _ in range(MAX_READS):
            try:
                size, address = self.socket.recvfrom_into(self.buffer)
            except OSError:  # nothing left, or the error of an earlier datagram
                return
            if self.queue.has_room(address):
                self.queue.put(address, bytes(self.buffer[:size]))

    def is_closed(self):
        """Whether `close` was called."""
        return self.socket.fileno() < 0

    def close(self):
        """Closes the socket; what waits is dropped."""
        if self.is_closed():
            return
        if self.handling is not None:
            self.handling.cancel()
        self.loop.remove_reader(self.socket)
        self.socket.close()
