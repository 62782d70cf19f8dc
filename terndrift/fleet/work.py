"""Machines taken out for work: who goes next, and each step of each, as a function of what is agreed and
seen.

Every controller can work this out; the record's leader proposes it. A step is agreed under the revision of
the work it was worked out for, so that one worked out by an older state changes nothing: none is taken
twice, none skipped, and the budgets that held when it was worked out hold when it counts. Free of I/O.
"""

from dataclasses import dataclass, field, replace
from enum import Enum

SECOND = 1_000_000_000
REV = "work/rev"
# A controller that has not known for so long what is agreed places on nothing that may be worked on: it
# can't know what has been told to drain. Longer than an election, a few beats and the spread of news in a
# large fleet.
LIMIT = 20 * SECOND
# Clocks of two processes may run so much apart, and a process may notice its limit a scan late.
DRIFT, NOTICED = 0.02, SECOND
# Times that a machine may be passed over by one that costs viewers less.
PASSED = 8
# Beyond what a machine needs before it is said to be overdue.
LATE = 1.25


class State(Enum):
    WAITING = "waiting"
    TOLD = "told to drain"
    EMPTY = "empty"
    OUT = "out"  # it may be touched
    OVERDUE = "overdue"
    BACK = "coming back"
    WARMING = "warming up"
    DONE = "done"
    GIVEN_BACK = "given back"


ROUTES = {
    State.WAITING: (State.TOLD, State.GIVEN_BACK),
    State.TOLD: (State.EMPTY, State.GIVEN_BACK),
    State.EMPTY: (State.OUT, State.GIVEN_BACK),
    State.OUT: (State.OVERDUE, State.BACK),
    State.OVERDUE: (State.BACK,),
    State.BACK: (State.WARMING, State.OVERDUE),
    State.WARMING: (State.DONE,),
    State.DONE: (),
    State.GIVEN_BACK: (),
}
OFF = (State.TOLD, State.EMPTY, State.OUT, State.OVERDUE)  # nobody places on these
USING = (*OFF, State.BACK, State.WARMING)  # these use the budget up
ENDED = (State.DONE, State.GIVEN_BACK)


@dataclass(frozen=True)
class Machine:
    """A streamer as this controller's list has it, planned work left aside."""

    name: str
    rack: int
    zone: str
    weight: float
    ready: bool  # by every source but the work itself
    started: int  # ns; 0: long ago
    titles: frozenset = frozenset()  # held by few enough to matter


@dataclass
class Seen:
    """What the leader sees beside the record."""

    machines: dict  # name -> Machine
    members: frozenset  # all controllers that may place: whom the records name
    holds: dict = field(default_factory=dict)  # member -> (rev it goes by, {machine: playbacks}, when heard)


def step(rev, name, row, state, by="leader"):
    """A proposal: (id, value). Its id says which step of which machine it is, and by which revision: one that
    came too late has used its id up."""
    n = row["n"] + 1
    assert state in ROUTES[State(row["state"])], f"{name}: {row['state']} to {state.value}"
    after = {**row, "state": state.value, "n": n, "by": by}
    return f"work/{name}/{row['plan']}/{n}/{rev}", {"?": {REV: rev}, REV: rev + 1, f"work/m/{name}": after}


def plans(state):
    return {k.removeprefix("work/plan/"): v for k, v in state["map"].items() if k.startswith("work/plan/")}


def rows(state):
    """name -> {"plan", "state", "n", "by"} of every machine that any plan names."""
    return {k.removeprefix("work/m/"): v for k, v in state["map"].items() if k.startswith("work/m/")}


def rev(state):
    return state["map"].get(REV, 0)


def told_off(state):
    """Machines on which nobody places, by what is agreed."""
    return {name for name, row in rows(state).items() if State(row["state"]) in OFF}


def may_place(age):
    """Whether a controller that knows what was agreed as of `age` ns ago may place on what may be worked on.
    One that has started and not heard yet (None) may not: what it kept may be from before a drain."""
    return age is not None and age < LIMIT


def added(state, plan, name, by):
    """(id, value) that puts a plan in: its machines wait."""
    machines = {f"work/m/{m}": {"plan": name, "state": State.WAITING.value, "n": 0, "by": by}
                for m in plan["machines"]}
    r = rev(state)
    return f"work/plan/{name}", {"?": {REV: state["map"].get(REV)}, REV: r + 1, f"work/plan/{name}":
                                 {**plan, "by": by, "paused": False}, **machines}


class Work:
    """The leader's part. What it waits for it counts from when it saw the step itself: a new leader waits
    anew."""

    def __init__(self):
        self.since = {}  # (machine, step) -> ns
        self.passed, self.why = {}, {}  # machine -> how often another went first; -> a sentence

    def steps(self, now, state, seen):
        """The one next step that can be taken now, [(id, value)] or []; `why`: what the others wait for."""
        table, known, r = rows(state), plans(state), rev(state)
        for name, row in table.items():
            self.since.setdefault((name, row["n"]), now)
        for name, row in sorted(table.items()):
            plan = known.get(row["plan"])
            if plan is None or State(row["state"]) in (*ENDED, State.WAITING):
                continue
            if to := self._goes_on(now, name, row, plan, seen, r):
                return [step(r, name, row, to)]
        return self._next(now, table, known, seen, r)

    def _goes_on(self, now, name, row, plan, seen, r):
        """Where a machine that is under way goes now; None: it waits."""
        here, waited, machine = State(row["state"]), now - self.since[name, row["n"]], seen.machines.get(name)
        if here is State.TOLD:
            return self._emptied(now, name, row, plan, seen, waited)
        if here is State.EMPTY:
            return State.OUT
        if here in (State.OUT, State.OVERDUE):
            # started since it was let go of: it came back by itself, or its worker forgot to say so
            if machine is not None and machine.ready and machine.started > self.since[name, row["n"]]:
                return State.BACK
            if here is State.OUT and waited > LATE * plan["needs"]:
                return State.OVERDUE
            self.why[name] = "it is out; its worker says when it is done" if here is State.OUT else \
                "it is out for longer than was planned; its worker says when it is done, or it starts again"
        if here is State.BACK:
            if machine is not None and machine.ready:
                return State.WARMING
            if waited > LATE * plan["needs"]:
                return State.OVERDUE
            self.why[name] = "it has not come back: no list says that it is ready"
        if here is State.WARMING:
            if waited >= plan["warm"]:
                return State.DONE
            self.why[name] = "it is ready and still cold"
        return None

    def _emptied(self, now, name, row, plan, seen, waited):
        """Empty once every controller that may place on it goes by its drain and holds nothing there; each
        ends what still plays after the drain time by itself. Or it can't place any more, being cut off longer
        than its limit by anybody's clock; what plays there then has had the drain time, and breaks."""
        placing, holding = [], 0
        for member in sorted(seen.members):
            goes_by, counts, _ = seen.holds.get(member, (-1, {}, 0))
            if name in counts and goes_by >= row.get("rev", 0):
                holding += counts[name]
            else:
                placing.append(member)
        if waited > (LIMIT + plan["drain"]) * (1 + DRIFT) + NOTICED:
            return State.EMPTY
        if placing:
            self.why[name] = f"{', '.join(placing[:3])} may still place on it"
            return None
        if holding:
            self.why[name] = f"{holding} playbacks there have not ended"
            return None
        return State.EMPTY

    # Who goes next.

    def _next(self, now, table, known, seen, r):
        waiting = [(name, row, known[row["plan"]]) for name, row in table.items()
                   if State(row["state"]) is State.WAITING and row["plan"] in known]
        fit = []
        for name, row, plan in waiting:
            self.why[name] = self.holds_up(name, plan, table, seen)
            if not self.why[name]:
                fit.append((name, row, plan))
        if not fit:
            return []
        costs = {name: self._cost(name, seen) for name, _, _ in fit}
        # nobody for ever: who was passed over too often goes first, the longest waiting of them
        name, row, plan = min(fit, key=lambda x: (
            -x[2]["urgency"], -max(0, self.passed.get(x[0], 0) - PASSED), costs[x[0]], x[0]))
        for other, _, _ in fit:
            if other != name:
                self.passed[other] = self.passed.get(other, 0) + 1
                self.why[other] = f"{name} goes first"
        id, value = step(r, name, row, State.TOLD)
        value[f"work/m/{name}"]["rev"] = r + 1
        return [(id, value)]

    def _cost(self, name, seen):
        """What its viewers lose: playbacks there, then the part of its rack's links, then titles with few
        holders."""
        machine = seen.machines[name]
        live = sum(counts.get(name, 0) for _, counts, _ in seen.holds.values())
        rack = [m for m in seen.machines.values() if m.rack == machine.rack]
        lost = machine.weight / max(1e-9, sum(m.weight for m in rack if m.ready))
        return live, round(lost, 3), len(machine.titles)

    def holds_up(self, name, plan, table, seen):
        """Why a machine may not go now, a sentence; "": it may. Counts all that is missing, whoever took
        it."""
        machine = seen.machines.get(name)
        if plan["paused"]:
            return "its plan is paused"
        if machine is None:
            return "no list names it"
        if not machine.ready:
            return "it is not ready by the list, and not by this work"
        using = {n for n, row in table.items() if State(row["state"]) in USING}
        missing = using | {m.name for m in seen.machines.values() if not m.ready}
        racks = [n for n in missing if n in seen.machines and seen.machines[n].rack == machine.rack]
        zones = [n for n in missing if n in seen.machines and seen.machines[n].zone == machine.zone]
        if len(missing) >= plan["most"]:
            return f"{len(missing)} are missing where {plan['most']} may be: {', '.join(sorted(missing)[:3])}"
        if len(racks) >= plan["most_rack"]:
            return f"{', '.join(sorted(racks)[:3])} of its rack {'is' if len(racks) == 1 else 'are'} missing"
        if plan["most_zone"] and len(zones) >= plan["most_zone"]:
            return f"{len(zones)} of its zone are missing"
        there = [m for m in seen.machines.values() if m.name not in missing and m.name != name]
        if sum(m.weight for m in there) < plan["ready_share"] * sum(m.weight for m in seen.machines.values()):
            return f"too little of the links would stay ready ({plan['ready_share']:.0%} must)"
        for title in sorted(machine.titles):
            left = sum(title in m.titles for m in there)
            if left < plan["holders"]:
                return f"{title} would keep {left} ready holders where {plan['holders']} must be"
        return ""


def never(plan, machines):
    """Why a plan could never go on, a sentence each: with all else well, a machine still may not go."""
    seen = Seen(machines, frozenset())
    seen.machines = {name: replace(m, ready=True, started=0) for name, m in machines.items()}
    out = []
    for name in plan["machines"]:
        if why := Work().holds_up(name, {**plan, "paused": False}, {}, seen):
            out.append(f"{name}: {why}")
    return out
