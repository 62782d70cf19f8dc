"""A link on a socket: reads until it ends, hands on what came, closes what can't be read."""

import asyncio
import socket

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from terndrift.platform.link import Link
from terndrift.platform.message import Unreadable

# Read at once: the loop is not held for longer than it takes to look at so much.
CHUNK = 64 * 1024
# Bytes that may wait for the other side to take them: a thousand answers. One that takes none is closed.
UNSENT = 256 * 1024
# A message that has begun is whole within so long; bad viewers are owed a close within 3 s.
HALF = 2_000_000_000


def stream(sock=None):
    return IOStream(sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM),
                    max_buffer_size=2 * CHUNK, read_chunk_size=CHUNK, max_write_buffer_size=UNSENT)


class Wire:
    """`heard(wire, messages)` of what came in one read, `closed(wire)` once when it has ended."""

    def __init__(self, stream, clock, heard, closed, half=HALF):
        self.stream, self.clock, self.heard, self.closed = stream, clock, heard, closed
        self.link, self.why, self.by_us = Link(clock.now(), half), "closed by the other side", False
        stream.set_nodelay(True)
        self.task = asyncio.ensure_future(self._read())

    def up(self):
        return not self.stream.closed()

    def send(self, data):
        """Whether it was taken for sending."""
        if self.stream.closed():
            return False
        try:
            self.stream.write(data)
        except StreamBufferFullError:
            self.close("the other side takes nothing")
            return False
        except StreamClosedError:
            return False
        return True

    def close(self, why):
        if not self.stream.closed():
            self.why, self.by_us = why, True
            self.stream.close()

    async def _read(self):
        try:
            while True:
                data = await self.stream.read_bytes(CHUNK, partial=True)
                if got := self.link.take(self.clock.now(), data):
                    self.heard(self, got)
        except StreamClosedError:
            pass
        except Unreadable as wrong:
            self.close(f"unreadable: {wrong}")
        finally:
            self.stream.close()
            self.closed(self)
