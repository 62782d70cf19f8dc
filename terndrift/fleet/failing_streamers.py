"""Detects streamers that fail for the whole fleet, and limits attempts at them to one controller at a time.

Each controller records the failed and successful set-ups at streamers that it excludes from placement. The
tables travel with the load reports (load_reports.py, load_supplement.py) and are merged on the way;
overload_control.py applies the verdicts of `judged`. Free of I/O; it never sends anything or changes a
placement itself.

A row describes one streamer, in the order of the indexes BY to PLAYED: how many controllers exclude it; ms
since its last failure there, since the first of them excluded it, and since its last successful set-up (-1:
never); for how many of them it seems dead rather than erroneous; and how many set-ups failed and succeeded
there recently, counted from the exclusion on.

A streamer counts as failing for the fleet when MIN_REPORTERS controllers exclude it and it has at least
MIN_FAILURES_PER_SUCCESS failures for each successful set-up. It is then probed by one controller at a time,
in turns whose length doubles from MIN_TURN_NS to MAX_TURN_NS, and all others leave it out. The prober follows
from the controllers' names, the streamer and the number of the turn, so that no message is needed. A prober
that is dead, partitioned or without a viewer for the streamer loses only its turn. Where the ages known to
controllers differ, two turns may overlap and two controllers probe.

This guards against a streamer that fails for everybody and costs each controller attempt after attempt,
most of them second attempts of a viewer. It could do harm where only two controllers can't reach a streamer
that all others reach; the others' successful set-ups then overrule them. Under overload some set-ups are late
and some succeed, which is no failure for all: judged by the younger of last failure and last success alone,
all 24 streamers of a simulated day were once found failing at the same time.
"""

import zlib
from collections import deque

MS = 1_000_000  # ns
SECOND = 1000 * MS
MIN_TURN_NS, MAX_TURN_NS = SECOND, 8 * SECOND  # as the decisions' own probes of an excluded streamer
MIN_REPORTERS = 2  # a single controller may be partitioned itself
FAILURE_TTL_NS = 30 * SECOND  # a streamer without a failure for so long is no longer reported
COUNT_WINDOW_NS = 10 * SECOND  # covers a whole turn and what came before it
MIN_FAILURES_PER_SUCCESS = 4  # one set-up already under way at the first failure must not clear the streamer
MAX_ROWS = 10  # in a report; the most recent failures first
MAX_COUNTED = 32  # failures, and successes, of one streamer at one controller
BY, FAILURE_AGE, EXCLUDED_AGE, SUCCESS_AGE, DEAD, FAILED, PLAYED = range(7)


def merge_tables(tables):
    """Merges tables of several controllers (streamer address -> row; ages in ms), at most MAX_ROWS rows."""
    result = {}
    for table in tables:
        for address, row in table.items():
            previous = result.get(address)
            result[address] = (
                list(row)
                if previous is None
                else [
                    previous[BY] + row[BY],
                    _younger_age(previous[FAILURE_AGE], row[FAILURE_AGE]),
                    max(previous[EXCLUDED_AGE], row[EXCLUDED_AGE]),
                    _younger_age(previous[SUCCESS_AGE], row[SUCCESS_AGE]),
                    *(a + b for a, b in zip(previous[DEAD:], row[DEAD:], strict=True)),
                ]
            )
    return dict(
        sorted(result.items(), key=lambda x: (x[1][FAILURE_AGE] < 0, x[1][FAILURE_AGE], x[0]))[:MAX_ROWS]
    )


def _younger_age(a, b):
    """Returns the smaller age; -1 stands for never."""
    return max(a, b) if min(a, b) < 0 else min(a, b)


def age_table(table, ms):
    """Returns the table with `ms` milliseconds added to its ages."""
    return {
        address: [row[BY], *(age if age < 0 else age + ms for age in row[FAILURE_AGE:DEAD]), *row[DEAD:]]
        for address, row in table.items()
    }


def is_valid_table(table, members):
    """Tells whether a received table of that many controllers is within its bounds."""
    return len(table) <= MAX_ROWS and all(
        len(row) == 7
        and 0 <= row[DEAD] <= row[BY] <= members
        and min(row[EXCLUDED_AGE], *row[FAILED:]) >= 0
        and min(row[FAILURE_AGE], row[SUCCESS_AGE]) >= -1
        and max(row[FAILED:]) <= MAX_COUNTED * members
        for row in table.values()
    )


class FailureReports:
    """Results of this controller's own set-ups, by streamer address; all times in ns."""

    def __init__(self):
        # address -> times of the latest failed and successful set-ups there
        self.failures, self.successes = {}, {}
        self.excluded_since, self.tried = {}, {}  # address -> time; tried: of the latest attempt

    def failed(self, now, address):
        """Records a failed set-up."""
        self.failures.setdefault(address, deque(maxlen=MAX_COUNTED)).append(now)

    def plays(self, now, address):
        """Records a successful set-up."""
        self.successes.setdefault(address, deque(maxlen=MAX_COUNTED)).append(now)

    def tries(self, now, address):
        """Records the start of an attempt."""
        self.tried[address] = now

    def table(self, now, excluded, merged_rows):
        """Returns this controller's rows for its next load report, and drops expired entries.

        `excluded`: address -> whether it seems dead, of the streamers that the decisions exclude now;
        `merged_rows`: the merged rows of all controllers, about half a second old.
        """
        for times_by_address in (self.failures, self.successes):
            for address in [a for a, times in times_by_address.items() if now - times[-1] > FAILURE_TTL_NS]:
                del times_by_address[address]
        self.tried = {a: at for a, at in self.tried.items() if now - at <= FAILURE_TTL_NS}
        self.excluded_since = {a: self.excluded_since.get(a, now) for a in excluded if a in self.failures}
        result = {}
        for address in {
            *self.excluded_since,
            *(a for a in self.successes if a in self.failures or a in merged_rows and merged_rows[a][BY]),
        }:
            excluded_for = merged_rows[address][EXCLUDED_AGE] * MS if address in merged_rows else 0
            excluded_for = max(excluded_for, now - self.excluded_since.get(address, now))
            by = int(address in self.excluded_since)
            result[address] = [
                by,
                self._age_ms(now, self.failures, address),
                _to_ms(now - self.excluded_since.get(address, now)),
                self._age_ms(now, self.successes, address),
                int(by and excluded[address]),
                *(
                    sum(
                        now - at <= min(excluded_for, COUNT_WINDOW_NS)
                        for at in times_by_address.get(address, ())
                    )
                    for times_by_address in (self.failures, self.successes)
                ),
            ]
        return merge_tables([result])

    @staticmethod
    def _age_ms(now, times_by_address, address):
        return _to_ms(now - times_by_address[address][-1]) if address in times_by_address else -1


def _to_ms(ns):
    return ns // MS


def current_turn(elapsed):
    """Returns the number of the running turn and the ns that it has run, `elapsed` ns after the exclusion."""
    number, duration = 0, MIN_TURN_NS
    while duration < MAX_TURN_NS and elapsed >= duration:
        number, elapsed, duration = number + 1, elapsed - duration, duration * 2
    return number + elapsed // duration, elapsed % duration


def prober_of_turn(address, number, present):
    """Returns the name of the controller, of those present, that probes the streamer in that turn."""
    return min(
        present, key=lambda name: zlib.crc32(f"{address}/{number}/{name}".encode()) * 2654435761 % 2**32
    )


def judged(now, me, table, present, attempted):
    """Returns this controller's verdict on reported streamers: address -> True, False or None.

    True: it may be attempted now; False: other controllers probe it; None: the same, and it seems dead.
    Streamers without a row in the result are not restricted. `me`: this controller's name; `table`: the
    merged rows of all, with ages as of now; `present`: names of the controllers that are alive, this one
    included; `attempted`: address -> time of this controller's latest attempt, in ns.
    """
    result = {}
    for address, (by, failure_age, excluded_age, success_age, dead, failures, successes) in table.items():
        if success_age >= 0 and (failure_age < 0 or success_age < failure_age):
            result[address] = True
        elif (
            by >= MIN_REPORTERS
            and 0 <= failure_age * MS <= FAILURE_TTL_NS
            and MIN_FAILURES_PER_SUCCESS * successes <= failures
        ):
            number, ran = current_turn(excluded_age * MS)
            allowed = (
                prober_of_turn(address, number, present) == me
                and attempted.get(address, -FAILURE_TTL_NS) < now - ran
            )
            result[address] = None if not allowed and dead >= MIN_REPORTERS else allowed
    return result
