"""State machine and scheduler of planned work (maintenance) on streamers and controllers.

Every controller can compute the next step from the agreed record and its own observations; only the leader
of the record proposes it (`terndrift.fleet.member`). Operators propose theirs with `terndrift work`. Each
proposal is conditional on the revision of the work that it was computed from, so a proposal from stale state
changes nothing: no step is taken twice or skipped, and the budgets that were checked still hold when the
step is applied. This module does no I/O and never applies a step itself.

Times are ns of a monotonic clock, except wall-clock times, which are ms since 1970.
"""

from dataclasses import dataclass, field
from enum import Enum
from statistics import median_low

from terndrift.fleet.work_budget import WorkBudget, controller_name

SECOND = 1_000_000_000
REVISION_KEY = "work/rev"
# ns. A controller whose copy of the record is older than this places on no machine that planned work may
# take out, as it can't know which ones drain. Longer than an election, a few heartbeats and the propagation
# of an entry in a large fleet.
MAX_RECORD_AGE_NS = 20 * SECOND
# Maximum relative drift between the clocks of two processes, and ns by which a process may notice late that
# it has reached MAX_RECORD_AGE_NS (one scan).
MAX_CLOCK_DRIFT, MAX_DETECTION_DELAY_NS = 0.02, SECOND
MAX_TIMES_PASSED_OVER = 8  # by machines that cost viewers less
OVERDUE_FACTOR = 1.25  # times the planned duration
# ns for which reports on load and wall-clock time count; covers several reports of a controller.
REPORT_LIFETIME_NS = 5 * SECOND
# With fewer requests than this over all controllers, the share of rejected ones says nothing.
MIN_REQUESTS_FOR_SHARE = 20
SECONDS_PER_DAY = 24 * 3600


class WorkState(Enum):
    """State of one machine in planned work; the values are stored in the record and shown to operators."""

    WAITING = "waiting"
    DRAINING = "told to drain"
    DRAINED = "empty"
    OUT = "out"  # the permit: workers may take the machine down
    OVERDUE = "overdue"
    RETURNING = "coming back"
    WARMING_UP = "warming up"
    DONE = "done"
    GIVEN_BACK = "given back"
    # out in an earlier epoch of the record; only an operator ends this state
    OUT_IN_EARLIER_EPOCH = "found out"


# Permitted transitions.
TRANSITIONS = {
    WorkState.WAITING: (WorkState.DRAINING, WorkState.GIVEN_BACK),
    WorkState.DRAINING: (WorkState.DRAINED, WorkState.GIVEN_BACK, WorkState.WAITING),
    WorkState.DRAINED: (WorkState.OUT, WorkState.GIVEN_BACK),
    WorkState.OUT: (WorkState.OVERDUE, WorkState.RETURNING),
    WorkState.OVERDUE: (WorkState.RETURNING, WorkState.GIVEN_BACK),
    WorkState.RETURNING: (WorkState.WARMING_UP, WorkState.OVERDUE),
    WorkState.WARMING_UP: (WorkState.DONE, WorkState.OVERDUE),
    WorkState.DONE: (),
    WorkState.GIVEN_BACK: (),
    WorkState.OUT_IN_EARLIER_EPOCH: (WorkState.RETURNING, WorkState.GIVEN_BACK),
}
# No controller places on machines in these states.
NO_PLACEMENT_STATES = (
    WorkState.DRAINING,
    WorkState.DRAINED,
    WorkState.OUT,
    WorkState.OVERDUE,
    WorkState.OUT_IN_EARLIER_EPOCH,
)
# these count against the budgets
BUDGET_STATES = (*NO_PLACEMENT_STATES, WorkState.RETURNING, WorkState.WARMING_UP)
ENDED_STATES = (WorkState.DONE, WorkState.GIVEN_BACK)
# Stands in for the plan of a machine in WorkState.OUT_IN_EARLIER_EPOCH, which is lost; the machine is taken
# back as usual.
UNKNOWN_PLAN = {"needs": 0, "drain": 0, "warm": 30 * SECOND, "paused": False}


@dataclass
class WorkObservations:
    """What the leader observes besides the agreed record."""

    machines: dict  # name -> work_budget.Machine
    controller_names: frozenset  # all controllers that may place, as configured
    # controller -> (messages.PlacementReport, time received)
    placement_reports: dict = field(default_factory=dict)
    wall_ms: int = 0  # ms since 1970 by this controller's clock

    def recent_reports(self, now):
        """The placement reports that are younger than REPORT_LIFETIME_NS."""
        return [report for report, at in self.placement_reports.values() if now - at < REPORT_LIFETIME_NS]

    def median_wall_ms(self, now):
        """ms since 1970, the median of the reported clocks, so that one clock an hour ahead has no effect."""
        return median_low(self._reported_clocks(now) or [self.wall_ms])

    def _reported_clocks(self, now):
        return [report.wall_ms for report in self.recent_reports(now) if report.wall_ms]

    def has_majority_of_clocks(self, now):
        """Whether a majority has reported its clock; the leader's clock alone decides nothing."""
        return 2 * len(self._reported_clocks(now)) > len(self.controller_names)

    def rejected_share(self, now):
        """Share of recent viewer requests that were rejected, over all controllers."""
        reports = self.recent_reports(now)
        asked = sum(s.requests for s in reports)
        return sum(s.turned_away for s in reports) / asked if asked >= MIN_REQUESTS_FOR_SHARE else 0.0


def propose_step(revision, name, row, new_state, author="leader", wall_ms=0, extra_fields=()):
    """Return the proposal (id, value) that moves one machine to `new_state`.

    The id consists of the machine, its plan, the number of the step and the revision that it was computed
    from, so the id of a proposal that came too late is used up.
    """
    n = row["n"] + 1
    assert new_state in TRANSITIONS[WorkState(row["state"])], f"{name}: {row['state']} to {new_state.value}"
    log = [*row["log"], [new_state.value, author, wall_ms]]
    new_row = {**row, "state": new_state.value, "n": n, "by": author, "log": log, **dict(extra_fields)}
    return f"work/{name}/{row['plan']}/{n}/{revision}", {
        "?": {REVISION_KEY: revision},
        REVISION_KEY: revision + 1,
        f"work/m/{name}": new_row,
    }


def plans_by_name(state):
    """Return {name: plan} of all plans in the record's state."""
    return {k.removeprefix("work/plan/"): v for k, v in state["map"].items() if k.startswith("work/plan/")}


def machine_rows(state):
    """Return {name: row} of every machine in any plan.

    A row has the keys "plan", "state", "n" (steps so far), "by" and "log": all steps as
    [state, author, ms since 1970 by the author's clock].
    """
    return {k.removeprefix("work/m/"): v for k, v in state["map"].items() if k.startswith("work/m/")}


def current_revision(state):
    """Return the revision of the work, which every applied proposal increments."""
    return state["map"].get(REVISION_KEY, 0)


def names_without_placement(state):
    """Return the names of the machines on which, by the record, no controller places."""
    return {
        name for name, row in machine_rows(state).items() if WorkState(row["state"]) in NO_PLACEMENT_STATES
    }


def rows_in_budget(state):
    """Return {name: row} of the machines that count against the budgets."""
    return {
        name: row for name, row in machine_rows(state).items() if WorkState(row["state"]) in BUDGET_STATES
    }


def is_fresh_enough_to_place(age):
    """Whether a controller whose copy of the record is `age` ns old may place on machines of the list.

    `age` is None after a start until the first answer; the controller may not place then, as its stored
    copy may be from before a drain.
    """
    return age is not None and age < MAX_RECORD_AGE_NS


def names_in_active_plans(state, names):
    """Return those of `names` that are in any plan and have not ended there, sorted."""
    return sorted(
        n
        for n, row in machine_rows(state).items()
        if n in names and WorkState(row["state"]) not in ENDED_STATES
    )


def propose_plan(state, plan, plan_name, author, wall_ms=0):
    """Return the proposal (id, value) that adds a plan, or more machines to one; they start as waiting."""
    log = [[WorkState.WAITING.value, author, wall_ms]]
    row = {"plan": plan_name, "state": WorkState.WAITING.value, "n": 0, "by": author, "log": log}
    machines = {f"work/m/{m}": row for m in plan["machines"]}
    revision, old_plan = current_revision(state), plans_by_name(state).get(plan_name, {})
    names = sorted({*old_plan.get("machines", ()), *plan["machines"]})
    new_plan = {"paused": False, **plan, "machines": names, "by": author, "at": wall_ms}
    value = {
        "?": {REVISION_KEY: state["map"].get(REVISION_KEY)},
        REVISION_KEY: revision + 1,
        f"work/plan/{plan_name}": new_plan,
        **machines,
    }
    return f"work/plan/{plan_name}/{revision}", value


def found_out(state, rows_left, wall_ms=0):
    """Return the proposal (id, value) that enters machines which were out in an earlier epoch of the record.

    `rows_left` is {name: row} as the controllers remember it. Returns None if the record has all of them.
    """
    rows_by_name, revision = machine_rows(state), current_revision(state)
    new_rows = {name: row for name, row in sorted(rows_left.items()) if name not in rows_by_name}
    if not new_rows:
        return None
    value = {"?": {REVISION_KEY: state["map"].get(REVISION_KEY)}, REVISION_KEY: revision + 1}
    for name, row in new_rows.items():
        log = [*row["log"], [WorkState.OUT_IN_EARLIER_EPOCH.value, "leader", wall_ms]]
        value[f"work/m/{name}"] = {
            **row,
            "state": WorkState.OUT_IN_EARLIER_EPOCH.value,
            "n": row["n"] + 1,
            "by": "leader",
            "log": log,
        }
    return f"work/found/{revision}/{'/'.join(new_rows)}"[:128], value


class WorkScheduler:
    """The leader's scheduler of planned work.

    Waiting times count from when this controller saw the step in the record, so a new leader starts them
    again.
    """

    def __init__(self):
        self.step_seen_at = {}  # (machine, step, revision of its drain) -> ns
        # machine -> how often another one went first; machine -> what it waits for, a sentence
        self.times_passed_over, self.hold_reasons = {}, {}

    def next_proposals(self, now, state, observed):
        """Return the one next step that can be taken now, as [(id, value)], or [].

        Updates `hold_reasons` with what the other machines wait for.
        """
        rows_by_name, known_plans, revision = (
            machine_rows(state),
            plans_by_name(state),
            current_revision(state),
        )
        step_keys = [_step_key(name, row) for name, row in rows_by_name.items()]
        self.step_seen_at = {key: self.step_seen_at.get(key, now) for key in step_keys}
        self.hold_reasons = {name: self.hold_reasons.get(name, "") for name in rows_by_name}
        left = {}
        for report in observed.recent_reports(now):
            left.update(report.out_in_earlier_epoch)
        if proposal := found_out(state, left, observed.median_wall_ms(now)):
            return [proposal]
        budget = WorkBudget(observed.machines, names_in_budget(rows_by_name))
        for name, row in sorted(rows_by_name.items()):
            plan = known_plans.get(row["plan"], UNKNOWN_PLAN)
            if WorkState(row["state"]) in (*ENDED_STATES, WorkState.WAITING):
                continue
            if new_state := self._next_state(now, name, row, plan, observed, budget):
                # The start time that shows the machine's return is stored, so that it counts only once.
                machine = observed.machines.get(name)
                extra_fields = (
                    {"was": machine.started} if new_state is WorkState.RETURNING and machine else ()
                )
                return [
                    propose_step(
                        revision,
                        name,
                        row,
                        new_state,
                        wall_ms=observed.median_wall_ms(now),
                        extra_fields=extra_fields,
                    )
                ]
        return self._start_next_drain(now, rows_by_name, known_plans, observed, revision, budget)

    def _next_state(self, now, name, row, plan, observed, budget):
        """The next state of a machine under way; None if it has to wait."""
        current, machine = WorkState(row["state"]), observed.machines.get(name)
        waited = now - self.step_seen_at[_step_key(name, row)]
        restarted = machine is not None and machine.ready and has_restarted(row, machine)
        if current is WorkState.OUT_IN_EARLIER_EPOCH:
            self.hold_reasons[name] = (
                "it was out in an earlier epoch of the record; an operator must run done or give-back"
            )
        if current is WorkState.DRAINING:
            if plan.get("begun") == "back" and self._is_overloaded(now, plan, observed):
                return WorkState.WAITING
            if machine is not None and budget.title_short_of_holders(machine, plan):
                # failures elsewhere used up the budget: cancel the drain while possible
                return WorkState.WAITING
            return self._state_after_drain(now, name, row, plan, observed, waited, restarted)
        if current is WorkState.DRAINED:
            return WorkState.OUT
        if current in (WorkState.OUT, WorkState.OVERDUE):
            if restarted:  # it returned without a `done` from its worker
                return WorkState.RETURNING
            if current is WorkState.OUT and waited > OVERDUE_FACTOR * plan["needs"]:
                return WorkState.OVERDUE
            self.hold_reasons[name] = (
                "it is out; its worker must mark it as done"
                if current is WorkState.OUT
                else "it is out for longer than planned; its worker must mark it as done, "
                "or the machine must restart"
            )
        if current is WorkState.RETURNING:
            if machine is not None and machine.ready:
                return WorkState.WARMING_UP
            if waited > OVERDUE_FACTOR * plan["needs"] + plan["warm"]:
                return WorkState.OVERDUE
            self.hold_reasons[name] = "it has not come back: no list reports it as ready"
        if current is WorkState.WARMING_UP:
            failing = [
                controller
                for controller, (report, at) in sorted(observed.placement_reports.items())
                if now - at < REPORT_LIFETIME_NS and name in report.failing_machines
            ]
            if waited >= plan["warm"] and not failing:
                return WorkState.DONE
            if failing and waited > plan["warm"] + OVERDUE_FACTOR * plan["needs"]:
                return WorkState.OVERDUE
            self.hold_reasons[name] = (
                f"it reports ready, but set-ups from {', '.join(failing[:3])} fail"
                if failing
                else "it is ready and still warming up"
            )
        return None

    def _state_after_drain(self, now, name, row, plan, observed, waited, restarted):
        """DRAINED once every controller that may place has confirmed the drain and holds nothing there.

        Each controller ends what still plays after the drain time by itself. A controller that is cut off
        for longer than MAX_RECORD_AGE_NS, by any clock, can't place any more; what plays there has then had
        the drain time, and breaks.
        """
        placing, holding = [], 0
        own_controller = controller_name(name)
        for controller in sorted(observed.controller_names) if own_controller is None else [own_controller]:
            report, _ = observed.placement_reports.get(controller, (None, 0))
            if report is not None and name in report.placements and report.work_revision >= row["rev"]:
                holding += report.placements[name]
            else:
                placing.append(controller)
        if not placing and not holding:
            return WorkState.DRAINED
        if waited > (MAX_RECORD_AGE_NS + plan["drain"]) * (1 + MAX_CLOCK_DRIFT) + MAX_DETECTION_DELAY_NS:
            return WorkState.DRAINED
        self.hold_reasons[name] = (
            f"{', '.join(placing[:3])} may still place on it"
            if placing
            else f"{holding} playbacks on it have not ended"
        )
        if restarted:
            self.hold_reasons[name] += "; it restarted without a permit, and the drain continues as planned"
        return None

    # Choice of the next machine.

    def _start_next_drain(self, now, rows_by_name, known_plans, observed, revision, budget):
        candidates = []
        for name, row in rows_by_name.items():
            plan = known_plans.get(row["plan"])
            if WorkState(row["state"]) is not WorkState.WAITING or plan is None:
                continue
            self.hold_reasons[name] = self.plan_hold_reason(now, plan, observed) or budget.hold_reason(
                name, plan
            )
            if not self.hold_reasons[name]:
                candidates.append((name, row, plan))
        if not candidates:
            return []
        playbacks = self._playbacks_by_machine(observed)
        name, row, plan = first = min(
            candidates, key=lambda x: self._sort_key(x, playbacks, observed, budget)
        )
        for other, _, _ in candidates:
            if other != name:
                self.times_passed_over[other] = self.times_passed_over.get(other, 0) + 1
                self.hold_reasons[other] = f"{name} goes first"
        self.times_passed_over.pop(first[0], None)
        machine = observed.machines[name]
        # The revision that controllers must have applied to confirm the drain, and the machine's start time
        # before the work.
        drain_fields = {"rev": revision + 1, "was": machine.started}
        return [
            propose_step(
                revision,
                name,
                row,
                WorkState.DRAINING,
                wall_ms=observed.median_wall_ms(now),
                extra_fields=drain_fields,
            )
        ]

    def _sort_key(self, candidate, playbacks, observed, budget):
        """Order by urgency, then by how often a machine was passed over beyond the limit, so that none
        starves, then by the cost to viewers: playbacks there, its share of its rack's links, and its number
        of titles, as one with fewer titles takes a holder from fewer."""
        name, _, plan = candidate
        machine = observed.machines[name]
        rack_share = machine.weight / max(1e-9, budget.ready_weight_of_rack(machine.rack))
        times_passed_over = max(0, self.times_passed_over.get(name, 0) - MAX_TIMES_PASSED_OVER)
        return (
            -plan["urgency"],
            -times_passed_over,
            playbacks.get(name, 0),
            round(rack_share, 3),
            len(machine.titles),
            name,
        )

    @staticmethod
    def _playbacks_by_machine(observed):
        playbacks = {}
        for report, _ in observed.placement_reports.values():
            for name, count in report.placements.items():
                playbacks[name] = playbacks.get(name, 0) + count
        return playbacks

    def _is_overloaded(self, now, plan, observed):
        return observed.rejected_share(now) > plan.get("overload", 1.0)

    def plan_hold_reason(self, now, plan, observed):
        """Return why no machine of the plan may start now, a sentence, or "" if they may."""
        wall_s = observed.median_wall_ms(now) // 1000
        if plan["paused"]:
            return "its plan is paused"
        timed = plan.get("from") or plan.get("until") or plan.get("quiet")
        if timed and not observed.has_majority_of_clocks(now):
            return "its plan has set times, and no majority of the controllers has reported its clock yet"
        if wall_s < plan.get("from", 0):
            return f"its plan begins in {plan['from'] - wall_s:.0f} s"
        if plan.get("until") and wall_s >= plan["until"]:
            return f"its plan's time ended {wall_s - plan['until']:.0f} s ago"
        for quiet in plan.get("quiet", ()):
            begins, ends = parse_quiet_time(quiet)
            if (wall_s % SECONDS_PER_DAY - begins) % SECONDS_PER_DAY < (ends - begins) % SECONDS_PER_DAY:
                return f"it is quiet time, {quiet} UTC"
        if self._is_overloaded(now, plan, observed):
            rejected = observed.rejected_share(now)
            return f"{rejected:.0%} of viewer requests are rejected (limit {plan['overload']:.0%})"
        return ""

    def estimate_starts(self, now, state, observed):
        """Return {name: s until it is likely to start} of the waiting machines.

        Assumes the present order, that every machine takes its whole drain time, work and warm-up, and that
        nothing else fails. None: a budget or a pause holds the machine.
        """
        rows_by_name, known_plans = machine_rows(state), plans_by_name(state)
        playbacks, at, starts, ends = self._playbacks_by_machine(observed), 0, {}, []
        in_work = names_in_budget(rows_by_name)
        for name in in_work:
            plan = known_plans.get(rows_by_name[name]["plan"], UNKNOWN_PLAN)
            spent = now - self.step_seen_at.get(_step_key(name, rows_by_name[name]), now)
            ends.append(
                (max(0, self._remaining_ns(WorkState(rows_by_name[name]["state"]), plan) - spent), name)
            )
        waiting = [
            (n, row, known_plans[row["plan"]])
            for n, row in rows_by_name.items()
            if WorkState(row["state"]) is WorkState.WAITING and row["plan"] in known_plans
        ]
        budget = WorkBudget(observed.machines, in_work)
        waiting.sort(
            key=lambda x: (
                self._sort_key(x, playbacks, observed, budget) if x[0] in observed.machines else (0,)
            )
        )
        while waiting:
            for candidate in list(waiting):
                name, _, plan = candidate
                if not plan["paused"] and not WorkBudget(observed.machines, in_work).hold_reason(name, plan):
                    waiting.remove(candidate)
                    starts[name] = round(at / SECOND, 1)
                    in_work = {*in_work, name}
                    ends.append((at + self._remaining_ns(WorkState.DRAINING, plan), name))
            if not ends:
                break
            at, returned = min(ends)
            ends.remove((at, returned))
            in_work = in_work - {returned}
        return {**{name: None for name, _, _ in waiting}, **starts}

    @staticmethod
    def _remaining_ns(state, plan):
        """ns for which a machine that enters `state` still counts against the budgets."""
        needs = plan["needs"]
        until_back = {
            WorkState.DRAINING: plan["drain"] + needs,
            WorkState.DRAINED: needs,
            WorkState.OUT: needs,
        }
        return plan["warm"] + until_back.get(state, 0)


def _step_key(name, row):
    """Identifies one step of a machine among all of its drains: it may be worked on again under another plan,
    and a controller that led during the first drain may lead again."""
    return name, row["n"], row.get("rev", 0)


def has_restarted(row, machine):
    """Whether the machine's list reports another start time than when the machine was told to drain.

    A start time of 0 means long ago; a controller whose clock is ahead may also report 0 for a more recent
    start. If it was 0, only a start after the machine was told to drain counts.
    """
    if not machine.started or machine.started == row.get("was", machine.started):
        return False
    told_ms = max((at for state, _, at in row["log"] if state == WorkState.DRAINING.value), default=0)
    return bool(row["was"]) or machine.started > told_ms * 1_000_000


def should_restart(state, name, run):
    """Whether the controller's process `run` is to stop by itself for a planned restart.

    Only the run that was told to drain may stop: the next one finds the same row until it has been seen.
    """
    row = machine_rows(state).get(name)
    return (
        row is not None
        and row["state"] == WorkState.OUT.value
        and row["was"] == run
        and plans_by_name(state).get(row["plan"], {}).get("restart", False)
    )


def names_in_budget(rows_by_name):
    """Return the names of the machines that count against the budgets."""
    return {name for name, row in rows_by_name.items() if WorkState(row["state"]) in BUDGET_STATES}


def state_spans(state, until):
    """Return {machine: [(state, from, until)]} in ms since 1970, by its log.

    The last state lasts to `until`, or has no duration if the work on the machine has ended.
    """
    out = {}
    for name, row in machine_rows(state).items():
        log = row["log"]
        ends = [at for _, _, at in log[1:]] + [
            log[-1][2] if WorkState(row["state"]) in ENDED_STATES else until
        ]
        out[name] = [
            (state_value, at, max(at, end)) for (state_value, _, at), end in zip(log, ends, strict=True)
        ]
    return out


def parse_quiet_time(text):
    """Return (from, until) of a text such as "22:00-06:30", in s of the day."""
    ends = [part.split(":") for part in text.split("-")]
    return tuple(int(h) * 3600 + int(m) * 60 for h, m in ends)


def impossible_machines(plan, machines):
    """Return the reasons for which a plan can never complete, one line each: "machine: reason".

    These are the machines that may not start even with all others healthy.
    """
    budget = WorkBudget({name: m.as_healthy() for name, m in machines.items()}, set())
    return [f"{name}: {why}" for name in plan["machines"] if (why := budget.hold_reason(name, plan))]
