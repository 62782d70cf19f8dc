"""Machines taken out for work: who goes next, and each step of each, as a function of what is agreed and
seen.

Every controller can work this out; the record's leader proposes it. A step is agreed under the revision of
the work it was worked out for, so that one worked out by an older state changes nothing: none is taken
twice, none skipped, and the budgets that held when it was worked out hold when it counts. Free of I/O.
"""

from dataclasses import dataclass, field
from enum import Enum
from statistics import median_low

from terndrift.fleet.room import Room, controller_named

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
# What members say of the load and of the time of day counts for so long: several words of theirs.
LATELY = 5 * SECOND
# Fewer asked for than this, in all, say nothing of a share that was turned away.
FEW = 20
DAY = 24 * 3600


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
    FOUND = "found out"  # by an earlier beginning of the record; only an operator ends that


ROUTES = {
    State.WAITING: (State.TOLD, State.GIVEN_BACK),
    State.TOLD: (State.EMPTY, State.GIVEN_BACK, State.WAITING),
    State.EMPTY: (State.OUT, State.GIVEN_BACK),
    State.OUT: (State.OVERDUE, State.BACK),
    State.OVERDUE: (State.BACK, State.GIVEN_BACK),
    State.BACK: (State.WARMING, State.OVERDUE),
    State.WARMING: (State.DONE, State.OVERDUE),
    State.DONE: (),
    State.GIVEN_BACK: (),
    State.FOUND: (State.BACK, State.GIVEN_BACK),
}
OFF = (State.TOLD, State.EMPTY, State.OUT, State.OVERDUE, State.FOUND)  # nobody places on these
USING = (*OFF, State.BACK, State.WARMING)  # these use the budget up
ENDED = (State.DONE, State.GIVEN_BACK)
# Of a machine found out, whose plan is not known any more: it is taken back as any other.
UNKNOWN_PLAN = {"needs": 0, "drain": 0, "warm": 30 * SECOND, "paused": False}


@dataclass
class Seen:
    """What the leader sees beside the record."""

    machines: dict  # name -> room.Machine
    members: frozenset  # all controllers that may place: whom the records name
    holds: dict = field(default_factory=dict)  # member -> (messages.Holds, when heard)
    wall: int = 0  # ms since 1970, by this controller's own clock

    def lately(self, now):
        return [said for said, at in self.holds.values() if now - at < LATELY]

    def day(self, now):
        """ms since 1970 as most have it: one clock that is an hour ahead moves nothing."""
        return median_low(self._clocks(now) or [self.wall])

    def _clocks(self, now):
        return [said.wall for said in self.lately(now) if said.wall]

    def sure_of_day(self, now):
        """Whether the clocks of most have been told: with its own alone a leader has no say."""
        return 2 * len(self._clocks(now)) > len(self.members)

    def turned_away(self, now):
        """The share of what viewers asked for that was turned away of late, over all controllers."""
        said = self.lately(now)
        asked = sum(s.asked for s in said)
        return sum(s.turned for s in said) / asked if asked >= FEW else 0.0


def step(rev, name, row, state, by="leader", wall=0, more=()):
    """A proposal: (id, value). Its id says which step of which machine it is, and by which revision: one that
    came too late has used its id up."""
    n = row["n"] + 1
    assert state in ROUTES[State(row["state"])], f"{name}: {row['state']} to {state.value}"
    log = [*row["log"], [state.value, by, wall]]
    after = {**row, "state": state.value, "n": n, "by": by, "log": log, **dict(more)}
    return f"work/{name}/{row['plan']}/{n}/{rev}", {"?": {REV: rev}, REV: rev + 1, f"work/m/{name}": after}


def plans(state):
    return {k.removeprefix("work/plan/"): v for k, v in state["map"].items() if k.startswith("work/plan/")}


def rows(state):
    """name -> {"plan", "state", "n", "by", "log"} of every machine that any plan names; `log`: every step,
    [state, by whom, ms since 1970 by their clock]."""
    return {k.removeprefix("work/m/"): v for k, v in state["map"].items() if k.startswith("work/m/")}


def rev(state):
    return state["map"].get(REV, 0)


def told_off(state):
    """Machines on which nobody places, by what is agreed."""
    return {name for name, row in rows(state).items() if State(row["state"]) in OFF}


def under_way(state):
    """Rows of machines that use the budget up."""
    return {name: row for name, row in rows(state).items() if State(row["state"]) in USING}


def may_place(age):
    """Whether a controller that knows what was agreed as of `age` ns ago may place on what may be worked on.
    One that has started and not heard yet (None) may not: what it kept may be from before a drain."""
    return age is not None and age < LIMIT


def busy(state, names):
    """Those of the names that another plan has and that have not ended there."""
    return sorted(n for n, row in rows(state).items() if n in names and State(row["state"]) not in ENDED)


def added(state, plan, name, by, wall=0):
    """(id, value) that puts a plan in, or more machines into one: they wait."""
    log = [[State.WAITING.value, by, wall]]
    row = {"plan": name, "state": State.WAITING.value, "n": 0, "by": by, "log": log}
    machines = {f"work/m/{m}": row for m in plan["machines"]}
    r, before = rev(state), plans(state).get(name, {})
    names = sorted({*before.get("machines", ()), *plan["machines"]})
    whole = {"paused": False, **plan, "machines": names, "by": by, "at": wall}
    value = {"?": {REV: state["map"].get(REV)}, REV: r + 1, f"work/plan/{name}": whole, **machines}
    return f"work/plan/{name}/{r}", value


def found(state, left, wall=0):
    """(id, value) that names machines that were out by an earlier beginning of the record, or None: `left` is
    what members remember of it, name -> row."""
    table, r = rows(state), rev(state)
    new = {name: row for name, row in sorted(left.items()) if name not in table}
    if not new:
        return None
    value = {"?": {REV: state["map"].get(REV)}, REV: r + 1}
    for name, row in new.items():
        log = [*row["log"], [State.FOUND.value, "leader", wall]]
        value[f"work/m/{name}"] = {
            **row,
            "state": State.FOUND.value,
            "n": row["n"] + 1,
            "by": "leader",
            "log": log,
        }
    return f"work/found/{r}/{'/'.join(new)}"[:128], value


class Work:
    """The leader's part. What it waits for it counts from when it saw the step itself: a new leader waits
    anew."""

    def __init__(self):
        self.since = {}  # (machine, step, revision of its drain) -> ns
        self.passed, self.why = {}, {}  # machine -> how often another went first; -> a sentence

    def steps(self, now, state, seen):
        """The one next step that can be taken now, [(id, value)] or []; `why`: what the others wait for."""
        table, known, r = rows(state), plans(state), rev(state)
        here = [_step_of(name, row) for name, row in table.items()]
        self.since = {key: self.since.get(key, now) for key in here}
        self.why = {name: self.why.get(name, "") for name in table}
        left = {}
        for said in seen.lately(now):
            left.update(said.left)
        if one := found(state, left, seen.day(now)):
            return [one]
        room = Room(seen.machines, under(table))
        for name, row in sorted(table.items()):
            plan = known.get(row["plan"], UNKNOWN_PLAN)
            if State(row["state"]) in (*ENDED, State.WAITING):
                continue
            if to := self._goes_on(now, name, row, plan, seen, room):
                # a start that has been seen to bring it back brings it back once
                machine = seen.machines.get(name)
                more = {"was": machine.started} if to is State.BACK and machine else ()
                return [step(r, name, row, to, wall=seen.day(now), more=more)]
        return self._next(now, table, known, seen, r, room)

    def _goes_on(self, now, name, row, plan, seen, room):
        """Where a machine that is under way goes now; None: it waits."""
        here, machine = State(row["state"]), seen.machines.get(name)
        waited = now - self.since[_step_of(name, row)]
        anew = machine is not None and machine.ready and started_anew(row, machine)
        if here is State.FOUND:
            self.why[name] = "it was out before the record began anew; an operator says done or give-back"
        if here is State.TOLD:
            if plan.get("begun") == "back" and self._overloaded(now, plan, seen):
                return State.WAITING
            if machine is not None and room.short_of_holders(machine, plan):
                return State.WAITING  # faults have used the room up: it gives way while it can
            return self._emptied(now, name, row, plan, seen, waited, anew)
        if here is State.EMPTY:
            return State.OUT
        if here in (State.OUT, State.OVERDUE):
            if anew:  # it came back by itself, or its worker forgot to say so
                return State.BACK
            if here is State.OUT and waited > LATE * plan["needs"]:
                return State.OVERDUE
            self.why[name] = (
                "it is out; its worker says when it is done"
                if here is State.OUT
                else "it is out for longer than was planned; its worker says when it is done, "
                "or it starts again"
            )
        if here is State.BACK:
            if machine is not None and machine.ready:
                return State.WARMING
            if waited > LATE * plan["needs"] + plan["warm"]:
                return State.OVERDUE
            self.why[name] = "it has not come back: no list says that it is ready"
        if here is State.WARMING:
            ill = [
                member
                for member, (said, at) in sorted(seen.holds.items())
                if now - at < LATELY and name in said.ill
            ]
            if waited >= plan["warm"] and not ill:
                return State.DONE
            if ill and waited > plan["warm"] + LATE * plan["needs"]:
                return State.OVERDUE
            self.why[name] = (
                f"it says that it is ready, and {', '.join(ill[:3])} can't set up there"
                if ill
                else "it is ready and still cold"
            )
        return None

    def _emptied(self, now, name, row, plan, seen, waited, anew):
        """Empty once every controller that may place on it goes by its drain and holds nothing there; each
        ends what still plays after the drain time by itself. Or it can't place any more, being cut off longer
        than its limit by anybody's clock; what plays there then has had the drain time, and breaks."""
        placing, holding = [], 0
        itself = controller_named(name)
        for member in sorted(seen.members) if itself is None else [itself]:
            said, _ = seen.holds.get(member, (None, 0))
            if said is not None and name in said.counts and said.rev >= row["rev"]:
                holding += said.counts[name]
            else:
                placing.append(member)
        if not placing and not holding:
            return State.EMPTY
        if waited > (LIMIT + plan["drain"]) * (1 + DRIFT) + NOTICED:
            return State.EMPTY
        self.why[name] = (
            f"{', '.join(placing[:3])} may still place on it"
            if placing
            else f"{holding} playbacks there have not ended"
        )
        if anew:
            self.why[name] += "; it was started anew without a permit, and goes on as planned"
        return None

    # Who goes next.

    def _next(self, now, table, known, seen, r, room):
        fit = []
        for name, row in table.items():
            plan = known.get(row["plan"])
            if State(row["state"]) is not State.WAITING or plan is None:
                continue
            self.why[name] = self.not_yet(now, plan, seen) or room.holds_up(name, plan)
            if not self.why[name]:
                fit.append((name, row, plan))
        if not fit:
            return []
        live = self._live(seen)
        name, row, plan = first = min(fit, key=lambda x: self._order(x, live, seen, room))
        for other, _, _ in fit:
            if other != name:
                self.passed[other] = self.passed.get(other, 0) + 1
                self.why[other] = f"{name} goes first"
        self.passed.pop(first[0], None)
        machine = seen.machines[name]
        # the revision by which members have to go that confirm it, and the start that it had then
        told = {"rev": r + 1, "was": machine.started}
        return [step(r, name, row, State.TOLD, wall=seen.day(now), more=told)]

    def _order(self, one, live, seen, room):
        """Urgency; nobody for ever: who was passed over too often, the longest waiting of them; then what
        viewers lose: playbacks there, the part of its rack's links, titles with few holders."""
        name, _, plan = one
        machine = seen.machines[name]
        lost = machine.weight / max(1e-9, room.rack_ready(machine.rack))
        passed = max(0, self.passed.get(name, 0) - PASSED)
        return (-plan["urgency"], -passed, live.get(name, 0), round(lost, 3), len(machine.titles), name)

    @staticmethod
    def _live(seen):
        live = {}
        for said, _ in seen.holds.values():
            for name, count in said.counts.items():
                live[name] = live.get(name, 0) + count
        return live

    def _overloaded(self, now, plan, seen):
        return seen.turned_away(now) > plan.get("overload", 1.0)

    def not_yet(self, now, plan, seen):
        """Why nothing of a plan may go now, a sentence; "": it may."""
        day = seen.day(now) // 1000
        if plan["paused"]:
            return "its plan is paused"
        timed = plan.get("from") or plan.get("until") or plan.get("quiet")
        if timed and not seen.sure_of_day(now):
            return "the clocks of most controllers have not been told yet, and it has its time"
        if day < plan.get("from", 0):
            return f"its plan begins in {plan['from'] - day:.0f} s"
        if plan.get("until") and day >= plan["until"]:
            return f"its plan's time ended {day - plan['until']:.0f} s ago"
        for quiet in plan.get("quiet", ()):
            begins, ends = quiet_of(quiet)
            if (day % DAY - begins) % DAY < (ends - begins) % DAY:
                return f"it is quiet time, {quiet} UTC"
        if self._overloaded(now, plan, seen):
            turned = seen.turned_away(now)
            return f"{turned:.0%} of what viewers asked for is turned away ({plan['overload']:.0%} may be)"
        return ""

    def likely(self, now, state, seen):
        """name -> s until each that waits is likely to go: in the present order, every machine taking the
        whole of its drain, work and warm-up, nothing else failing. None: a budget or a pause holds it."""
        table, known = rows(state), plans(state)
        live, at, out, ends = self._live(seen), 0, {}, []
        using = under(table)
        for name in using:
            plan = known.get(table[name]["plan"], UNKNOWN_PLAN)
            spent = now - self.since.get(_step_of(name, table[name]), now)
            ends.append((max(0, self._left(State(table[name]["state"]), plan) - spent), name))
        waiting = [
            (n, row, known[row["plan"]])
            for n, row in table.items()
            if State(row["state"]) is State.WAITING and row["plan"] in known
        ]
        room = Room(seen.machines, using)
        waiting.sort(key=lambda x: self._order(x, live, seen, room) if x[0] in seen.machines else (0,))
        while waiting:
            for one in list(waiting):
                name, _, plan = one
                if not plan["paused"] and not Room(seen.machines, using).holds_up(name, plan):
                    waiting.remove(one)
                    out[name] = round(at / SECOND, 1)
                    using = {*using, name}
                    ends.append((at + self._left(State.TOLD, plan), name))
            if not ends:
                break
            at, back = min(ends)
            ends.remove((at, back))
            using = using - {back}
        return {**{name: None for name, _, _ in waiting}, **out}

    @staticmethod
    def _left(state, plan):
        """ns that a machine in that state still uses the budget."""
        needs = plan["needs"]
        rest = {State.TOLD: plan["drain"] + needs, State.EMPTY: needs, State.OUT: needs}
        return plan["warm"] + rest.get(state, 0)


def _step_of(name, row):
    """A step, and no other of that machine: it may go for work again, under another plan, and a controller
    may lead again that led the first time."""
    return name, row["n"], row.get("rev", 0)


def started_anew(row, machine):
    """Whether its list says a start that it did not have when it was told to drain. One of long ago is 0, and
    so may be an older one by a clock that is ahead: from there on only a start after it was told counts."""
    if not machine.started or machine.started == row.get("was", machine.started):
        return False
    told = max((at for state, _, at in row["log"] if state == State.TOLD.value), default=0)
    return bool(row["was"]) or machine.started > told * 1_000_000


def restarts(state, name, run):
    """Whether a controller that may be touched is to stop by itself: the very run of it that was told to
    drain, as the next one finds the same row until it has been seen."""
    row = rows(state).get(name)
    return (
        row is not None
        and row["state"] == State.OUT.value
        and row["was"] == run
        and plans(state).get(row["plan"], {}).get("restart", False)
    )


def under(table):
    return {name for name, row in table.items() if State(row["state"]) in USING}


def spans(state, until):
    """machine -> [(state, from, until)] in ms, by its log; what has ended has ended."""
    out = {}
    for name, row in rows(state).items():
        log = row["log"]
        ends = [at for _, _, at in log[1:]] + [log[-1][2] if State(row["state"]) in ENDED else until]
        out[name] = [(said, at, max(at, end)) for (said, _, at), end in zip(log, ends, strict=True)]
    return out


def quiet_of(text):
    """(from, until) of "22:00-06:30", in s of the day."""
    ends = [part.split(":") for part in text.split("-")]
    return tuple(int(h) * 3600 + int(m) * 60 for h, m in ends)


def never(plan, machines):
    """Why a plan could never go on, a sentence each: with all else well, a machine still may not go."""
    room = Room({name: m.well() for name, m in machines.items()}, set())
    return [f"{name}: {why}" for name in plan["machines"] if (why := room.holds_up(name, plan))]
