"""One TCP connection that carries the platform's messages, on a Tornado stream."""

import asyncio
import select
import socket
from enum import Enum

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from terndrift.platform.link import Link
from terndrift.platform.message import Unreadable

# Read at once: the loop is not held for longer than it takes to look at so much.
CHUNK = 64 * 1024
# Bytes that may wait for the other side to take them: a thousand answers. One that takes none is closed.
UNSENT = 256 * 1024
# A message that has begun is whole within so long; bad viewers are owed a close within 3 s.
HALF = 2_000_000_000


class ConnectionState(Enum):
    """What may still be done on a connection."""

    OPEN = "open"  # both sides send
    FINISHING = "finishing"  # this side has sent its last byte; what the other side sends is passed over
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.OPEN: (ConnectionState.FINISHING, ConnectionState.CLOSED),
    ConnectionState.FINISHING: (ConnectionState.CLOSED,),
    ConnectionState.CLOSED: (),
}


def stream(sock=None):
    """A stream with the platform's bounds, on `sock` or a new socket; raises OSError without a descriptor."""
    return IOStream(
        sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        max_buffer_size=2 * CHUNK,
        read_chunk_size=CHUNK,
        max_write_buffer_size=UNSENT,
    )


class Connection:
    """Calls `received(connection, messages)` with what came in one read, and `closed(connection)` once."""

    def __init__(self, stream, clock, received, closed, half=HALF):
        self.stream, self.clock, self.received, self.closed = stream, clock, received, closed
        self.state, self.why, self.by_us = ConnectionState.OPEN, "closed by the other side", False
        self.link = Link(clock.now(), half)
        self.sent_at = clock.now()
        self.more = False  # whether the last read left bytes in the stream's own buffer
        stream.set_nodelay(True)
        self.task = asyncio.ensure_future(self._read())

    def _turn(self, state):
        """Every change of the connection's state."""
        assert state in TRANSITIONS[self.state], f"{self.state} to {state}"
        self.state = state

    def up(self):
        """Whether messages can still be sent."""
        return self.state is ConnectionState.OPEN and not self.stream.closed()

    def unread(self):
        """Whether bytes, or the other side's end, wait to be read."""
        if self.stream.closed():
            return False
        if self.more:
            return True
        poll = select.poll()
        poll.register(self.stream.socket, select.POLLIN)
        return bool(poll.poll(0))

    def unsent(self):
        """Whether bytes wait for the other side to take them."""
        return not self.stream.closed() and self.stream.writing()

    def idle_since(self):
        """When a byte last went either way."""
        return max(self.sent_at, self.link.heard)

    def send(self, data):
        """Whether it was taken for sending."""
        if not self.up():
            return False
        try:
            self.stream.write(data)
        except StreamBufferFullError:
            self.close("the other side takes nothing")
            return False
        except StreamClosedError:
            return False
        self.sent_at = self.clock.now()
        return True

    def close(self, why):
        """Ends both ways at once."""
        if not self.stream.closed():
            self.why, self.by_us = why, True
            self.stream.close()

    def finish(self, why):
        """Ends this side after the last byte written, and reads until the other side ends too: a socket that
        is closed with bytes unread is reset, and the last messages to the other side are lost with it."""
        if not self.up():
            return
        self._turn(ConnectionState.FINISHING)
        self.why, self.by_us = why, True
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:  # the other side has reset it
            self.stream.close()

    async def _read(self):
        try:
            while True:
                data = await self.stream.read_bytes(CHUNK, partial=True)
                self.more = len(data) == CHUNK
                if self.state is ConnectionState.OPEN and (got := self.link.take(self.clock.now(), data)):
                    self.received(self, got)
        except StreamClosedError:
            pass
        except Unreadable as wrong:
            self.close(f"unreadable: {wrong}")
        finally:
            self.stream.close()
            self._turn(ConnectionState.CLOSED)
            self.closed(self)
