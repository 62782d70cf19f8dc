"""Counts per second over a short window, which controllers report to each other. No I/O; times in ns."""

from collections import deque

SECOND = 1_000_000_000
LOAD_REPORT_INTERVAL = SECOND // 2  # between load reports
# Seconds: long enough to hold some answers at ten viewers a second, short enough to react within two seconds.
WINDOW_SECONDS = 2


class CountsBySecond:
    """Counts by whole second, of the last WINDOW_SECONDS seconds and the current one.

    `new_row()` returns the empty counts of one second, which the caller of `current` changes in place.
    """

    def __init__(self, new_row):
        self.new_row, self.rows = new_row, deque(maxlen=WINDOW_SECONDS + 1)  # rows: (second, its counts)

    def current(self, now):
        """Returns the counts of the current second, to be changed by the caller."""
        if not self.rows or self.rows[-1][0] != now // SECOND:
            self.rows.append((now // SECOND, self.new_row()))
        return self.rows[-1][1]

    def recent(self, now):
        """Returns the counts of the last WINDOW_SECONDS whole seconds; seconds without any count are left
        out."""
        return [row for n, row in self.rows if now // SECOND - WINDOW_SECONDS <= n < now // SECOND]
