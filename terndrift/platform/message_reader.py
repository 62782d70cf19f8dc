"""Incremental reader of one connection's messages: takes received bytes and their time, returns messages.

Owned by a Connection. Performs no I/O and reads no clock. It never closes anything itself: the owner closes
the connection when `receive` raises or `is_overdue` returns true.
"""

from terndrift.platform.message import decode_messages

SECOND = 1_000_000_000


class MessageReader:
    """Buffers received bytes until they form complete messages.

    `partial_timeout` is the time in ns within which a message must be complete once its first byte has
    arrived. It bounds memory, and the time that others wait on a connection whose peer stops in the middle of
    a message. It would wrongly close a connection so slow that 16 KiB take longer than that.
    """

    def __init__(self, now, partial_timeout):
        self.buffer, self.partial_timeout = bytearray(), partial_timeout
        # when the incomplete message began, None if there is none; when bytes last arrived
        self.partial_since, self.last_received_at = None, now
        self.message_count = 0  # complete messages read so far

    def receive(self, now, data):
        """Returns the messages that `data` completes, possibly none; raises MessageFramingError."""
        self.last_received_at = now
        self.buffer += data
        completed = decode_messages(self.buffer)
        self.message_count += len(completed)
        if not self.buffer:
            self.partial_since = None
        elif completed or self.partial_since is None:
            self.partial_since = now
        return completed

    def is_overdue(self, now):
        """Whether a message has been incomplete for longer than `partial_timeout`."""
        return self.partial_since is not None and now - self.partial_since > self.partial_timeout
