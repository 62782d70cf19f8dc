"""Spreads the retries of rejected viewers, so that their sum over all controllers fits the fleet's capacity.

Each controller counts, second by second, the retries that it has advised (`RetrySchedule`), and sends the
counts with its load reports; so each knows, with a delay of half a second, how many viewers all controllers
expect in each of the next seconds. overload_control.py records the advice here and passes new advice on to
the core. Free of I/O.

A retry is put into a second drawn at random, weighted by the room left in it. The first free second would be
wrong, as all controllers work from the same figures and would choose the same one. The capacity is the best
recent number of answers in target; new viewers use a part of it.

This guards against viewers who are rejected together, come back together and are rejected again. It could do
harm where the capacity has just risen: viewers then wait for up to the longest delay that clients follow.
"""

from collections import deque

SECOND = 1_000_000_000  # ns
MAX_SECONDS_AHEAD = 30  # reported; clients follow shorter delays
CAPACITY_WINDOW_NS = 30 * SECOND
DELAYS = 16  # in one advice


class RetrySchedule:
    """Retries advised by this controller, and the fleet's recent capacity.

    `longest`: the longest delay that clients follow, in ns.
    """

    def __init__(self, longest):
        self.seconds_ahead = min(MAX_SECONDS_AHEAD, max(1, longest // SECOND))
        self.booked = {}  # second -> how many retries were advised for it
        self.in_target_rates = deque()  # (time, answers in target a second, of all controllers)

    def record_retry(self, now, wait):
        """Records that a viewer was told to retry after `wait` ns; 0 or less is not recorded."""
        if wait > 0:
            second = (now + wait) // SECOND
            self.booked[second] = self.booked.get(second, 0) + 1

    def table(self, now):
        """Returns the retries advised for each of the next seconds, the current one first."""
        self.booked = {n: count for n, count in self.booked.items() if n >= now // SECOND}
        return [self.booked.get(now // SECOND + n, 0) for n in range(self.seconds_ahead + 1)]

    def record_capacity(self, now, in_target):
        """Records the fleet's current number of answers in target a second."""
        self.in_target_rates.append((now, in_target))
        while now - self.in_target_rates[0][0] > CAPACITY_WINDOW_NS:
            self.in_target_rates.popleft()

    def room(self, booked, asked):
        """Returns the room in viewers in each second, from the next one on.

        `booked`: retries advised by all controllers, the current second first; `asked`: requests a second
        now, of viewers who retry and of new ones.
        """
        capacity = max((per_second for _, per_second in self.in_target_rates), default=0)
        booked = _padded(booked, self.seconds_ahead + 1)
        new = max(0, asked - booked[0])
        return [max(0.0, capacity - new - per_second) for per_second in booked[1 : self.seconds_ahead + 1]]

    def advice(self, booked, asked):
        """Returns DELAYS retry delays in ns, of which each viewer gets one at random; () without any data.

        Parameters as of `room`. If no second has room, the delays lie in the later half of the range, so that
        viewers come as late as clients allow and not at once.
        """
        room = self.room(booked, asked)
        if not self.in_target_rates:
            return ()
        if not any(room):
            room = [float(n >= len(room) // 2) for n in range(len(room))]
        total, delays, cumulative = sum(room), [], 0.0
        for n, weight in enumerate(room, 1):
            while len(delays) < DELAYS and (len(delays) + 0.5) / DELAYS * total <= cumulative + weight:
                delays.append(n * SECOND)
            cumulative += weight
        return tuple(delays)


def merge_tables(tables):
    """Returns the sums, second by second, of several tables that start at the same second."""
    sums = []
    for table in tables:
        sums = [a + b for a, b in zip(_padded(sums, len(table)), _padded(table, len(sums)), strict=True)]
    return sums[: MAX_SECONDS_AHEAD + 1]


def _padded(table, size):
    return [*table, *[0] * (size - len(table))]


def age_table(table, ns):
    """Returns the table as of `ns` later: without the whole seconds that have passed."""
    return list(table[ns // SECOND :])
