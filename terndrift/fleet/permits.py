"""A checker of small worlds for permits: a leader, two controllers that place, one machine that is to go.

The leader's steps, what controllers know, how old they hold it to be and what they tell are those of the
service. Each step is one of: time passes (each by its own clock, 2% apart), a controller asks or tells, a
message arrives (late or never), the leader looks, a controller places on the machine or what plays there
ends, one of the three starts anew. What must hold: nobody places on the machine while it may be touched.
"""

from dataclasses import dataclass, field, replace

import msgspec

from terndrift.fleet import work
from terndrift.fleet.agreed import Follower, applied, beginning
from terndrift.fleet.messages import Agreed, Entry, Holds
from terndrift.fleet.room import Machine
from terndrift.fleet.worlds import Violated, forked, searched

SECOND = work.SECOND
MACHINE, EPOCH = "m", (1, "e")
PLAN = {
    "machines": [MACHINE],
    "needs": 60 * SECOND,
    "drain": 2 * SECOND,
    "warm": SECOND,
    "most": 1,
    "most_rack": 1,
    "most_zone": 0,
    "ready_share": 0.0,
    "holders": 0,
    "urgency": 0,
    "why": "",
}
# Of a true second: the leader's clock runs 2% faster than that of a, and b's is between the two.
RATES = {"leader": 1.02, "a": 1.0, "b": 1.01}
# What passes at once: nearly half of the limit, and about what a drifting clock makes of it.
PASSES = (49 * work.LIMIT // 100, 6 * SECOND // 5)
FAULTS = (
    "permit before the last confirmation",
    "limit counted from the wrong end",
    "age counted from arrival",
)


decode = msgspec.msgpack.Decoder(Holds | Agreed).decode


class Planted(work.Work):
    fault, planned = None, 0

    def _emptied(self, now, name, row, plan, seen, waited, anew):
        if self.fault == FAULTS[0]:
            seen = replace(seen, members=frozenset(list(seen.holds)[:1]) or seen.members)
        if self.fault == FAULTS[1]:  # from when it was planned, not from when the drain was agreed
            waited = now - self.planned
        return super()._emptied(now, name, row, plan, seen, waited, anew)


class Heard(Follower):
    """`arrival`: the planted fault of an age counted from when the answer came."""

    arrival = False

    def answered(self, now, sender, got):
        super().answered(now, sender, got)
        if self.arrival and self.last >= got.agreed:
            self.known_at(now - got.age)


@dataclass
class World:
    follows: dict  # leader, a, b -> Heard
    leads: Planted
    at: int = 1000 * SECOND  # true time
    holds: dict = field(default_factory=dict)
    plays: frozenset = frozenset()  # controllers that play something there
    flying: frozenset = frozenset()  # (to, from, bytes)
    passes: tuple = (3, 1)
    asks: int = 2
    tells: int = 2
    crashes: int = 1

    def now(self, name):
        return int(self.at * RATES[name])

    def table(self):
        return work.rows(self.follows["leader"].state)[MACHINE]

    def key(self):
        parts = [self.at, self.plays, self.flying, self.passes, self.asks, self.tells, self.crashes]
        parts += [tuple(sorted(self.leads.since.items()))]
        parts += [tuple(sorted((n, msgspec.msgpack.encode(h), at) for n, (h, at) in self.holds.items()))]
        parts += [(n, f.last, f.as_of, tuple(f.asks)) for n, f in sorted(self.follows.items())]
        return hash(tuple(parts))


class Checker:
    """`fault`: one of FAULTS, planted on purpose; `budget`: how often what may happen, else as World says."""

    def __init__(self, fault=None, most=100_000, **budget):
        self.fault, self.most, self.states, self.budget = fault, most, 0, budget
        self.leads = type("Leads", (Planted,), {"fault": fault})
        self.heard = type("HeardSo", (Heard,), {"arrival": fault == FAULTS[2]})

    def start(self):
        state = beginning(EPOCH)
        id, value = work.added(state, PLAN, "p", "ops")
        applied(state, 1, Entry(1, "value", id, value))
        w = World({}, self.leads(), **self.budget)
        for name in RATES:
            w.follows[name] = f = self.heard(w.now(name))
            f.begin(state)
            f.known_at(w.now(name))
        w.leads.planned = w.leads.since[MACHINE, 0, 0] = w.now("leader")
        return w

    def run(self):
        """(steps, what is violated) of the shortest way to a fault, or None; `states`: how many were seen."""
        found, self.states = searched(self.start(), self.steps, self.most)
        return found

    def steps(self, w):
        for n, left in enumerate(w.passes):
            if left:
                passes = tuple(p - (i == n) for i, p in enumerate(w.passes))
                yield (
                    f"{PASSES[n] / SECOND} s pass",
                    lambda n=n, p=passes: [("", replace(w, at=w.at + PASSES[n], passes=p))],
                )
        yield "the leader looks", lambda: self.look(w)
        for message in sorted(w.flying):
            yield f"{message[1]} to {message[0]}: arrives", lambda m=message: self.arrive(w, m)
        if w.crashes:
            new, less = self.leads(), w.crashes - 1
            new.planned = w.leads.planned
            yield "another leads", lambda: [("", replace(w, leads=new, holds={}, crashes=less))]
        for name in ("a", "b"):
            yield from self.of(w, name)

    def of(self, w, name):
        f, now = w.follows[name], w.now(name)
        if w.asks:
            yield f"{name} asks", lambda: self.ask(w, name)
        off, may = work.told_off(f.state), work.may_place(f.age(now))
        if off and w.tells:
            counts = {m: int(name in w.plays) for m in off}
            data = msgspec.msgpack.encode(Holds(work.rev(f.state), counts))
            yield (
                f"{name} tells",
                lambda: [("", replace(w, tells=w.tells - 1, flying=w.flying | {("leader", name, data)}))],
            )
        if may and MACHINE not in off and (name not in w.plays or self.touchable(w)):
            yield f"{name} places", lambda: self.place(w, name)
        if name in w.plays:
            yield f"what {name} plays ends", lambda: [("", replace(w, plays=w.plays - {name}))]
        if w.crashes:
            new = {**w.follows, name: self.heard(now)}
            yield (
                f"{name} starts anew",
                lambda: [("", replace(w, follows=new, plays=w.plays - {name}, crashes=w.crashes - 1))],
            )

    def touchable(self, w):
        return work.State(w.table()["state"]) in (work.State.OUT, work.State.OVERDUE)

    def place(self, w, name):
        if self.touchable(w):
            raise Violated(f"{name} places on what may be touched")
        return [("", replace(w, plays=w.plays | {name}))]

    def ask(self, w, name):
        """The question arrives at once: one that is late makes what is known older, which harms nobody."""
        f, leader = self.copied(w, name), self.copied(w, "leader")
        f.ask(w.now(name), "leader")
        leader.known_at(w.now("leader"))
        for _, question in f.out:
            leader.asked(w.now("leader"), name, question)
        sent = {(name, "leader", msgspec.msgpack.encode(said)) for _, said in leader.out}
        f.out, leader.out = [], []
        follows = {**w.follows, name: f, "leader": leader}
        return [("", replace(w, follows=follows, asks=w.asks - 1, flying=w.flying | sent))]

    def copied(self, w, name):
        f = forked(w.follows[name])
        f.asks = f.asks.copy()
        return f

    def arrive(self, w, message):
        to, sender, data = message
        m, now = decode(data), w.now(to)
        w = replace(w, flying=w.flying - {message})
        if isinstance(m, Holds):
            return [("", replace(w, holds={**w.holds, sender: (m, now)}))]
        f = self.copied(w, to)
        f.answered(now, sender, m)
        f.out, f.heard = [], []
        return [("", replace(w, follows={**w.follows, to: f}))]

    def look(self, w):
        """All steps that can be taken now. What the leader proposes is agreed at once: the record is checked
        by itself."""
        leads, f, now = forked(w.leads), forked(w.follows["leader"]), w.now("leader")
        seen = work.Seen({MACHINE: Machine(MACHINE, 0, "", 1.0, True, 0)}, frozenset("ab"), w.holds)
        while steps := leads.steps(now, f.state, seen):
            for id, value in steps:
                f.take(Entry(1, "value", id, value))
        f.heard = []
        return [("", replace(w, leads=leads, follows={**w.follows, "leader": f}))]
