"""Load shedding: one level and one order of plans for the whole fleet, where it is asked for more than it can
answer in time.

overload_control.py asks `is_shed` before a viewer gets a playback. The controller that decides for the fleet,
the first one alive, steps its `SheddingLevel` on the sums of all (member.py); the others apply the level that
they receive in load reports. This module does no I/O and never ends a running playback.

A level of 1.4 sheds all requests for the least important plan and 0.4 of those for the next one. As all
controllers apply one level and one order, none takes a less important playback while another turns away a
more important one because of the load of the former. Within a plan the choice is by viewer: a viewer who is
shed stays shed for TURN_NS, however often he retries.

Most requests under overload are retries by viewers who were shed. An increase of the level is therefore
computed from the answers per plan, and a decrease from the viewers shed now, as those retry within seconds.

| figure | reason |
| --- | --- |
| raise above HIGH_BAD_RATIO | more of the taken requests came late or were turned away than chance and
  limits on seats explain |
| down to the answers in target | that many are known to be possible; at least half of the best in
  BEST_MEMORY_NS, as in a collapse fewer come in time than could |
| lower below LOW_BAD_RATIO, for HOLD_NS | as good as without overload, for longer than the effect of the
  last decrease takes to show |
| by GROWTH of the best, each beat | half of that takes twenty seconds to recover from a surge in the model of
  tests/test_load.py; both hold a steady overload at four fifths of what is possible |
| ALLOWED_BAD more than these | of a dozen answers one or two are late without overload |
| SETTLING_NS after a raise | answers from before it are still in the window of the sums |
"""

import zlib
from collections import deque
from math import ceil

from terndrift.fleet.heavy_keys import KeyCaps
from terndrift.fleet.load_reports import ANSWERED, IN_TARGET, SHED, WANTED
from terndrift.fleet.recent_counts import LOAD_REPORT_INTERVAL, SECOND, WINDOW_SECONDS

HIGH_BAD_RATIO, LOW_BAD_RATIO, ALLOWED_BAD = 0.15, 0.05, 2
HOLD_NS, SETTLING_NS = 2 * SECOND, WINDOW_SECONDS * SECOND + LOAD_REPORT_INTERVAL
GROWTH = 0.2
BEST_MEMORY_NS = 30 * SECOND
# With fewer answers in the window the ratio says nothing.
MIN_ANSWERS = 10
TURN_NS = 20 * SECOND


def importance(plans):
    """Names of plans, the least important first: by revenue, then paid at set-up, then live."""
    return sorted(plans, key=lambda n: (plans[n].revenue, not plans[n].repeatable, plans[n].adds < 1, n))


def shed_parts(level, order):
    """Returns plan -> part of its requests that is shed, 0 to 1."""
    return {name: min(1.0, max(0.0, level - n)) for n, name in enumerate(order)}


def is_shed(now, part, viewer):
    """Whether a viewer is in the part to shed: the same on each controller, and stable for TURN_NS.

    A higher part sheds the same viewers and more; `now` in ns.
    """
    if part <= 0 or part >= 1:
        return part >= 1
    # Each viewer's turn has its own offset, so that not all are drawn anew at once.
    viewer_hash = zlib.crc32(viewer.encode()) * 2654435761 % 2**32
    turn = (now + viewer_hash % TURN_NS) // TURN_NS
    return zlib.crc32(b"%d" % turn, viewer_hash) * 2654435761 % 2**32 / 2**32 < part


class SheddingLevel:
    """The shedding level, stepped each beat by the controller that decides for the fleet.

    `value`: the level, from 0 to the number of plans; `why`: the reason for operators; `caps`: the parts to
    shed of single titles and addresses. The decider takes over `value` and `caps.parts` of the one before it.
    """

    def __init__(self, order):
        self.order, self.value, self.why = order, 0.0, ""
        # in_target_history: (time, answers in target) of the last BEST_MEMORY_NS
        self.in_target_history, self.good_since, self.changed_at = deque(), None, -SETTLING_NS
        self.caps = KeyCaps()

    def step(self, now, plans, keys=()):
        """Updates the level and the caps, and returns the level.

        `plans`: plan -> row of the fleet's sums of the last WINDOW_SECONDS seconds (load_reports.py); `keys`:
        requests of the most requested keys (heavy_keys.py).
        """
        wanted, answered, in_target = (
            sum(row[n] for row in plans.values()) for n in (WANTED, ANSWERED, IN_TARGET)
        )
        self.in_target_history.append((now, in_target))
        while now - self.in_target_history[0][0] > BEST_MEMORY_NS:
            self.in_target_history.popleft()
        bad = answered - in_target - ALLOWED_BAD if answered >= MIN_ANSWERS else 0
        self.good_since = (self.good_since or now) if bad <= LOW_BAD_RATIO * answered else None
        best = max(n for _, n in self.in_target_history)
        capacity, overloaded = max(in_target, best / 2), bad > HIGH_BAD_RATIO * answered
        if self.caps.step(now, dict(keys), wanted, capacity, overloaded):
            self.changed_at = now  # the level waits until the effect of the new cap shows
        if now - self.changed_at < SETTLING_NS and (self.value or self.caps.parts):
            return self.value
        if overloaded:
            if capacity < answered:
                self._raise_to(
                    now,
                    self._raised(plans, answered - capacity),
                    f"{answered - in_target} of {answered} answered came late or were turned away",
                )
        elif self.value and self.good_since and now - self.good_since >= HOLD_NS:
            self.value = self._lowered(plans, GROWTH * max(answered, best, 1))
            self.why = "all that is taken is answered in target" if self.value else ""
        return self.value

    def _raised(self, plans, excess):
        """The level that takes `excess` requests fewer, shedding the least important first."""
        for n, part in enumerate(shed_parts(self.value, self.order).values()):
            plan_answered = plans.get(self.order[n], (0,) * 6)[ANSWERED]
            if plan_answered > excess:
                return n + 1 - (1 - part) * (1 - excess / plan_answered)
            excess -= plan_answered
        return float(len(self.order))

    def _lowered(self, plans, readmitted):
        """The level that takes `readmitted` of the requests shed now, the most important first."""
        value = self.value
        while value > 0:
            n = ceil(value) - 1
            part, plan_shed = value - n, plans.get(self.order[n], (0,) * 6)[SHED]
            if plan_shed > readmitted:
                return value - part * readmitted / plan_shed
            value, readmitted = float(n), readmitted - plan_shed
        return 0.0

    def _raise_to(self, now, value, why):
        self.value, self.why, self.changed_at = value, why, now
        self.good_since = None
