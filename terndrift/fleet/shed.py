"""Who is shed where the fleet is asked for more than it can answer in time: one order, one level for all.
Free of I/O.

A level of 1.4 says: all of the least important plan, and four tenths of the next. Every controller goes by
the level of one, the first that is there, whose sums are of all; each sheds by the same order, so that
nowhere a less important playback is taken while a more important one is turned away for what the others take.
Within a plan it goes by viewer: who is shed stays so for TURN, whatever he tries again; who plays goes on.

What is asked for is mostly viewers who were shed and ask again. So a cut is reckoned from what was answered,
plan by plan, and a step back from who is shed now, as these come within seconds.

| figure | why |
| --- | --- |
| cut over HIGH | so much of what was taken came late or was turned away: more than chance and seats make |
| to what was answered in target | that much is possible; half of the best of BEST at least, as in a collapse
  less comes in time than could |
| back under LOW, for HOLD | as good as without overload, for longer than what was let in takes to show |
| by GROWS of the best, each beat | with half of that it takes twenty seconds to come back from a surge, in
  the model of a crowd in tests/test_load.py; both hold a steady overload at four fifths of what can be |
| CHANCE more than these | of a dozen answers one or two are late by themselves |
| SETTLES after a cut | answers of before it are still in the window of the sums |
"""

import zlib
from collections import deque
from math import ceil

from terndrift.fleet.crowds import Caps
from terndrift.fleet.load import ANSWERED, IN_TARGET, SHED, WANTED
from terndrift.fleet.window import BEAT, SECOND, WINDOW

HIGH, LOW, CHANCE = 0.15, 0.05, 2
HOLD, SETTLES = 2 * SECOND, WINDOW * SECOND + BEAT
GROWS = 0.2
BEST = 30 * SECOND
# Fewer answers than this in the window say nothing.
FEW = 10
TURN = 20 * SECOND


def importance(plans):
    """Names of plans, the least important first: revenue, then what is paid at set-up, then what is live."""
    return sorted(plans, key=lambda n: (plans[n].revenue, not plans[n].repeatable, plans[n].adds < 1, n))


def parts(level, order):
    """plan -> part of it that is shed."""
    return {name: min(1.0, max(0.0, level - n)) for n, name in enumerate(order)}


def is_shed(now, part, viewer):
    """By viewer, whoever asks: the same everywhere, and for TURN the same each time."""
    if part <= 0 or part >= 1:
        return part >= 1
    # the turn of each begins at a time of its own: not all are drawn anew at once
    mark = zlib.crc32(viewer.encode()) * 2654435761 % 2**32
    turn = (now + mark % TURN) // TURN
    return zlib.crc32(b"%d" % turn, mark) * 2654435761 % 2**32 / 2**32 < part


class Level:
    """The one that decides steps it, each beat."""

    def __init__(self, order):
        self.order, self.value, self.why = order, 0.0, ""
        self.good, self.well_since, self.changed_at = deque(), None, -SETTLES
        self.caps = Caps()

    def step(self, now, plans, keys=()):
        """`plans`: sums of the last WINDOW over all (load.py); `keys`: the heaviest (crowds.py). Returns the
        level."""
        wanted, answered, well = (
            sum(row[n] for row in plans.values()) for n in (WANTED, ANSWERED, IN_TARGET)
        )
        self.good.append((now, well))
        while now - self.good[0][0] > BEST:
            self.good.popleft()
        bad = answered - well - CHANCE if answered >= FEW else 0
        self.well_since = (self.well_since or now) if bad <= LOW * answered else None
        best = max(n for _, n in self.good)
        can, much = max(well, best / 2), bad > HIGH * answered
        if self.caps.step(now, dict(keys), wanted, can, much):
            self.changed_at = now  # the rest is left alone until it is seen what that brings
        if now - self.changed_at < SETTLES and (self.value or self.caps.parts):
            return self.value
        if much:
            if can < answered:
                self._turn(
                    now,
                    self._cut(plans, answered - can),
                    f"{answered - well} of {answered} answered came late or were turned away",
                )
        elif self.value and self.well_since and now - self.well_since >= HOLD:
            self.value = self._back(plans, GROWS * max(answered, best, 1))
            self.why = "all that is taken is answered in target" if self.value else ""
        return self.value

    def _cut(self, plans, remove):
        """The level at which so many fewer are let in, the least important first."""
        for n, part in enumerate(parts(self.value, self.order).values()):
            here = plans.get(self.order[n], (0,) * 6)[ANSWERED]
            if here > remove:
                return n + 1 - (1 - part) * (1 - remove / here)
            remove -= here
        return float(len(self.order))

    def _back(self, plans, more):
        """The level at which so many of those that are shed now are let in, the most important first."""
        value = self.value
        while value > 0:
            n = ceil(value) - 1
            part, here = value - n, plans.get(self.order[n], (0,) * 6)[SHED]
            if here > more:
                return value - part * more / here
            value, more = float(n), more - here
        return 0.0

    def _turn(self, now, value, why):
        self.value, self.why, self.changed_at = value, why, now
        self.well_since = None
