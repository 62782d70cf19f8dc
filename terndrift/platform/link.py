"""One connection of the platform: bytes and a time in, messages out, and the bounds on what it may hold.

Free of I/O and clocks. Who owns it closes the connection when `take` raises or `overdue` says why.
"""

from terndrift.platform.message import messages

SECOND = 1_000_000_000


class Link:
    """`half`: ns within which a message that has begun must be whole. Guards memory and whoever waits on
    this connection against one that stops short; could harm a way so slow that 16 KiB take that long."""

    def __init__(self, now, half):
        self.buffer, self.half = bytearray(), half
        self.began, self.heard = None, now  # when the message in hand began; when bytes last came
        self.count = 0  # messages taken

    def take(self, now, data):
        """The whole messages that these bytes complete; raises Unreadable."""
        self.heard = now
        self.buffer += data
        out = messages(self.buffer)
        self.count += len(out)
        if not self.buffer:
            self.began = None
        elif out or self.began is None:
            self.began = now
        return out

    def overdue(self, now):
        """Whether a message was begun too long ago."""
        return self.began is not None and now - self.began > self.half
