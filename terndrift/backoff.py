"""Exponential backoff with jitter for reconnecting to a source of the server list.

Used by the clients of the list's sources (xDS streams and polls, the load reporter, the platform's feed). No
I/O and no clock.

The delay doubles with each consecutive connection that brought nothing. It is drawn between half of that and
the whole, so that controllers that lost a source together do not return together and overload it. The longest
delay is short, as a source may recover long before it is over; the known list stays in force meanwhile.
"""

import zlib

MS = 1_000_000
# First and longest delay, ns. Envoy's own are 500 ms and 30 s; a stale list costs more than a connection.
MIN_DELAY_NS, MAX_DELAY_NS = 200 * MS, 10_000 * MS


class Backoff:
    """Backoff state of one source. `seed` makes the jitter reproducible; the delays are in ns.

    `min_shared_delay` is a callable that returns the least delay that the fleet's shared rate limit allows,
    in ns.
    """

    def __init__(self, seed, min_delay=MIN_DELAY_NS, max_delay=MAX_DELAY_NS):
        self.seed, self.draw_count = zlib.crc32(b"patience:%d" % seed), 0
        self.base_delay, self.min_delay, self.max_delay = min_delay, min_delay, max_delay
        self.min_shared_delay = lambda: 0

    def next_delay_after(self, received):
        """Return the ns to wait before the next attempt, after a connection was lost.

        `received`: whether that connection brought anything that was accepted; the backoff then starts again.
        """
        if received:
            self.base_delay = self.min_delay
        delay, self.base_delay = self.base_delay, min(self.max_delay, 2 * self.base_delay)
        self.draw_count += 1
        fraction = zlib.crc32(b"%d" % self.draw_count, self.seed) * 2654435761 % 2**32 / 2**32
        return int(delay * (0.5 + 0.5 * fraction))

    def next_shared_delay(self, received):
        """Return the delay as `next_delay_after` does, but at least `min_shared_delay()`.

        For a source that is shared with the fleet.
        """
        return max(self.next_delay_after(received), self.min_shared_delay())
