"""Admission control for requests: limits how many are open, in all and from one source.

Fronts ask before they accept a request and tell a refused client when to retry. The limits protect memory and
the event loop against floods of requests: a broken app that retries at once, an attack, or all viewers of a
controller that failed. Many viewers may share one address, so the limit for a source applies only once half
of the capacity is in use. No I/O and no clock: the caller passes the time in ns.
"""

import zlib
from collections import deque

MS = 1_000_000
SECOND = 1000 * MS
# The limit for one source applies from this share of the capacity on.
SOURCE_LIMIT_THRESHOLD = 0.5
# Share of the capacity that one source may then have: it takes four such sources to leave no room for others.
MAX_SOURCE_SHARE = 0.25
# Jitter, as a share of the delay, so that clients refused together do not return together.
RETRY_JITTER = 1.0
MIN_RETRY_AFTER_NS, MAX_RETRY_AFTER_NS = SECOND, 30 * SECOND  # before jitter


class AdmissionGate:
    """Admission control with room for `capacity` open requests. `seed` makes the jitter reproducible."""

    def __init__(self, capacity, seed=0):
        self.capacity, self.seed, self.draw_count = capacity, seed, 0
        self.open_by_source = {}  # source -> number of its open requests
        self.open_count = 0  # number of all open requests
        self.departures = deque(maxlen=64)  # times at which the last requests were closed

    def admit(self, now, source):
        """Admit a request of `source` and return 0, or return the ns after which the client should retry.

        The caller has to call `release` once for each request admitted.
        """
        source_count = self.open_by_source.get(source, 0)
        source_limited = self.open_count >= SOURCE_LIMIT_THRESHOLD * self.capacity
        if (
            self.open_count >= self.capacity
            or source_limited
            and source_count >= max(1, MAX_SOURCE_SHARE * self.capacity)
        ):
            return self.retry_after(now)
        self.open_by_source[source] = source_count + 1
        self.open_count += 1
        return 0

    def release(self, now, source):
        """Close a request that `admit` admitted. Raises KeyError if `source` has none open."""
        source_count = self.open_by_source[source] - 1
        if source_count:
            self.open_by_source[source] = source_count
        else:
            del self.open_by_source[source]  # keeps only sources with open requests, so memory is bounded
        self.open_count -= 1
        self.departures.append(now)

    def retry_after(self, now):
        """Return the ns after which a refused client should retry.

        That is when half of the open requests should have been closed at the recent rate, within the bounds
        for the delay, plus jitter of up to the same again.
        """
        if len(self.departures) >= 2 and now > self.departures[0]:
            delay = int(self.open_count / 2 * (now - self.departures[0]) / len(self.departures))
        else:
            delay = MIN_RETRY_AFTER_NS
        self.draw_count += 1
        fraction = zlib.crc32(f"{self.seed}:{self.draw_count}".encode()) * 2654435761 % 2**32 / 2**32
        delay = min(max(delay, MIN_RETRY_AFTER_NS), MAX_RETRY_AFTER_NS)
        return int(delay * (1 + RETRY_JITTER * fraction))
