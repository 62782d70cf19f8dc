"""Where log lines go: a descriptor that is never waited for."""

import os
import select

# What a pipe that is ready takes without making its writer wait (POSIX: PIPE_BUF, 512 at least; Linux 4096).
AT_ONCE = select.PIPE_BUF


class LogStream:
    """A text file for log lines that drops a line rather than wait until it can be written, and says how many
    it dropped with the next one. Guards the event loop, which writes its own log, against a reader that falls
    behind: a full pipe would hold up every answer. Costs lines of the log in that time."""

    def __init__(self, descriptor):
        self.descriptor, self.dropped = descriptor, 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text):
        """Takes a line; returns its length as files do."""
        if self.dropped and self._put(f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'):
            self.dropped = 0
        if text.strip() and (self.dropped or not self._put(text)):
            self.dropped += 1
        return len(text)

    def _put(self, text):
        """Whether it was written."""
        data = text.encode(errors="replace")
        if len(data) > AT_ONCE:
            data = data[: AT_ONCE // 2] + b" ... " + data[-(AT_ONCE // 2 - 5) :]
        if not any(event & select.POLLOUT for _, event in self.poll.poll(0)):
            return False
        try:
            return os.write(self.descriptor, data) == len(data)
        except OSError:  # nobody reads it any more
            return False

    def flush(self):
        """Nothing is kept back."""
