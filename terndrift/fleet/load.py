"""What the whole fleet was asked for and gave of late, as each controller knows it: sums over members without
a centre. Free of I/O.

Each member tells the two collectors of its group (the names in order, cut into pieces of the root of their
number; the first two that are there) what it saw in the last WINDOW, whole, twice a second. A collector adds
up its group and tells the sum to the collectors of the other groups, and the sum of all to its own group. So
a member is counted once, in one group's sum; of two sums of one group the one over more members counts, then
the newer. A word counts for LAPSES: after a cut, a restart or a lie a sum is wrong for so long. A member says
4 datagrams a second, a collector up to 6 times the root of the members.
"""

from math import isqrt

import msgspec

from terndrift.fleet import beside
from terndrift.fleet.messages import Beside, Load
from terndrift.fleet.window import BEAT, SECOND, Seconds

MS = 1_000_000
LAPSES = 3 * SECOND
# A figure of one member beyond this is made up: no controller is asked so much in WINDOW.
MOST = 100_000
OWN, GROUP, TOTAL = range(3)
# Of a plan: asked for by viewers; shed before it was taken; answered; of these in target, late, turned away.
WANTED, SHED, ANSWERED, IN_TARGET, LATE, TURNED = range(6)
# Beside plans: tries beyond the first, connections made to streamers, set-ups open now.
EXTRA, CONNECTED, OPEN = range(3)


class Own:
    """What this controller saw, second by second."""

    def __init__(self):
        self.seconds = Seconds(lambda: ({}, [0, 0]))  # {plan: [...]}, [extra, connected]

    def count(self, now, plan, *which):
        row = self.seconds.at(now)[0].setdefault(plan, [0] * 6)
        for n in which:
            row[n] += 1

    def more(self, now, which):
        self.seconds.at(now)[1][which] += 1

    def of_late(self, now, open):
        """(by plan, others) of the last WINDOW whole seconds."""
        plans, more = {}, [0, 0, open]
        for by_plan, other in self.seconds.of_late(now):
            _add(plans, by_plan)
            more = [a + b for a, b in zip(more, [*other, 0], strict=True)]
        return plans, more


def _add(plans, more):
    for plan, row in more.items():
        plans[plan] = [a + b for a, b in zip(plans.get(plan, [0] * 6), row, strict=True)]


def added(words):
    """One sum of several: (by plan, others, how many members)."""
    plans, more, members = {}, [0, 0, 0], 0
    for m in words:
        _add(plans, m.plans)
        more = [a + b for a, b in zip(more, m.more, strict=True)]
        members += m.members
    return plans, more, members


def sound(m):
    """Whether figures can be true at all."""
    rows = [*m.plans.values(), m.more]
    shaped = m.members > 0 and len(m.more) == 3 and all(len(row) == 6 for row in m.plans.values())
    return (
        shaped
        and all(0 <= n <= MOST * m.members for row in rows for n in row)
        and 0 <= m.level < 100
        and beside.sound(m.beside, m.members, MOST * m.members)
    )


class Loads:
    """`own(now)`: (by plan, others) that this controller saw; None: it tells nothing. `own_beside(now)`: a
    Beside of its own, or None."""

    def __init__(self, me, names, now):
        self.me, self.names, self.own, self.own_beside = me, sorted(names), None, lambda now: None
        self.caps = {}  # decided with the level in force
        self.size = isqrt(len(self.names) - 1) + 1
        self.group = self.names.index(me) // self.size
        self.words = {}  # member of this group -> (its word, when heard)
        self.groups = {}  # group -> (word, when)
        self.whole = None  # (word on all, when), of a collector
        self.level = (0.0, "", now - LAPSES)  # in force: value, who decided it, as of when
        self.out, self.beat_at, self.began = [], now, now

    def next_at(self):
        return None if self.own is None else self.beat_at

    def _of(self, group):
        return self.names[group * self.size : (group + 1) * self.size]

    def collectors(self, group, there):
        return [n for n in self._of(group) if n in there][:2]

    def decides(self, now, there):
        """Whether this one decides for all: the first that is there, once it has heard what was decided."""
        return min({*there, self.me}) == self.me and now - self.began >= LAPSES

    def tick(self, now, there):
        if self.own is None or now < self.beat_at:
            return
        self.beat_at, there = now + BEAT, set(there)
        mine = self._word(OWN, *self.own(now), 1, 0, self.own_beside(now))
        self.words[self.me] = mine, now
        mates = self.collectors(self.group, there | {self.me})
        self.out += [(to, mine) for to in mates if to != self.me]
        if self.me in mates:
            self._collect(now, there)

    def _collect(self, now, there):
        self.words = {n: x for n, x in self.words.items() if now - x[1] < LAPSES}
        rides = beside.merged([(m.beside, now - at) for m, at in self.words.values()])
        group = self._word(GROUP, *added([m for m, _ in self.words.values()]), self.group, rides)
        self.groups[self.group] = group, now
        groups = range(-(-len(self.names) // self.size))
        others = [to for g in groups if g != self.group for to in self.collectors(g, there)]
        # of groups alone: two collectors must not echo each other
        whole = self._word(TOTAL, *self._sum(now), 0, self._beside(now))
        self.out += [(to, group) for to in others]
        self.out += [(to, whole) for to in self._of(self.group) if to in there and to != self.me]

    def _word(self, kind, plans, more, members, group, rides):
        level, by, at = self.level
        if self.caps:
            rides = msgspec.structs.replace(rides or Beside(), caps=self.caps)
        return Load(kind, plans, more, members, group, level, by, (self.beat_at - BEAT - at) // MS, rides)

    def heard(self, now, sender, m):
        if self.own is None or sender not in self.names or not sound(m):
            return
        if m.kind == OWN and self.names.index(sender) // self.size == self.group:
            self.words[sender] = m, now
        elif m.kind == GROUP and sender in self._of(m.group):
            self._better(self.groups, m.group, m, now)
        elif m.kind == TOTAL:
            best = {None: self.whole} if self.whole else {}
            self._better(best, None, m, now)
            self.whole = best[None]
        _, by, at = self.level
        said = now - max(0, m.ago) * MS  # by whoever decided: a word that is passed on gets no younger
        if (
            m.by
            and m.by != self.me
            and now - said <= LAPSES
            and (now - at > LAPSES or m.by < by or m.by == by and said > at)
        ):
            self.level, self.caps = (m.level, m.by, said), m.beside.caps if m.beside else {}

    @staticmethod
    def _better(table, key, m, now):
        was, at = table.get(key, (None, 0))
        if was is None or now - at > BEAT or m.members >= was.members:
            table[key] = m, now

    def decided(self, now, level, caps=()):
        self.level, self.caps = (level, self.me, now), dict(caps)

    def caps_in_force(self, now):
        return dict(self.caps) if self.level[1] and now - self.level[2] <= LAPSES else {}

    def in_force(self, now):
        """The level for this controller; 0 where nobody who decides is heard."""
        value, by, at = self.level
        return value if by and now - at <= LAPSES else 0.0

    def _sum(self, now):
        return added([m for m, at in self.groups.values() if now - at < LAPSES])

    def _beside(self, now):
        return beside.merged([(m.beside, now - at) for m, at in self.groups.values() if now - at < LAPSES])

    def total(self, now):
        """(by plan, others, how many members it is of)."""
        mine = self._sum(now)
        whole = self._told(now, mine)
        return (whole.plans, whole.more, whole.members) if whole else mine

    def rides(self, now):
        """What rides beside that: a Beside, ages as of now."""
        whole = self._told(now, self._sum(now))
        rides = beside.merged([(whole.beside, now - self.whole[1])]) if whole else self._beside(now)
        return rides or Beside()

    def _told(self, now, mine):
        """The word on all, where it is of more members than what came here."""
        whole, at = self.whole or (None, 0)
        return whole if whole is not None and now - at < LAPSES and whole.members > mine[2] else None
