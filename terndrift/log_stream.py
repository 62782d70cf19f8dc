"""Non-blocking output of log lines to a file descriptor."""

import os
import select

# Longest write that a pipe ready for writing takes without blocking (POSIX: PIPE_BUF, at least 512; 4096 on
# Linux).
MAX_LINE_BYTES = select.PIPE_BUF


class LogStream:
    """Text file for log lines that drops a line rather than block until it can be written.

    The event loop writes its own log: a reader of the log that falls behind and leaves the pipe full would
    otherwise delay every answer. The number of lines dropped is written before the next line that fits.
    """

    def __init__(self, descriptor):
        self.descriptor, self.dropped = descriptor, 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text):
        """Write a line or drop it; return its length, as text files do."""
        if self.dropped and self._write_if_ready(
            f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'
        ):
            self.dropped = 0
        if text.strip() and (self.dropped or not self._write_if_ready(text)):
            self.dropped += 1
        return len(text)

    def _write_if_ready(self, text):
        """Return whether `text` was written; the middle of a text that is too long is cut out."""
        data = text.encode(errors="replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES // 2] + b" ... " + data[-(MAX_LINE_BYTES // 2 - 5) :]
        if not any(event & select.POLLOUT for _, event in self.poll.poll(0)):
            return False
        try:
            return os.write(self.descriptor, data) == len(data)
        except OSError:  # the reader has closed its end
            return False

    def flush(self):
        """Do nothing, as no text is buffered; part of the interface of text files."""
