"""Rules of planned work, given a record and observations: times of day, load, failures, and controllers as
machines."""

import pytest
from test_work import make_observations

from terndrift.fleet import permit_checker, planned_work
from terndrift.fleet.messages import PlacementReport
from terndrift.fleet.planned_work import WorkScheduler, WorkState
from terndrift.fleet.work_budget import Machine, WorkBudget
from terndrift.fleet.work_simulation import CONTROLLER_NAMES, SECOND, VOTER_NAMES, WorkSimulation, make_plan

DAY_MS = 24 * 3600 * 1000


def make_state(rows, plans=None, rev=5):
    """Return a record's state with rows {machine: (state, fields)}, all of plan p, which by default has them
    all."""
    map = {planned_work.REVISION_KEY: rev}
    for name, (machine_state, fields) in rows.items():
        map[f"work/m/{name}"] = {
            "plan": "p",
            "state": machine_state.value,
            "n": 1,
            "by": "ops",
            "log": [],
            "rev": 1,
            "was": 0,
            **fields,
        }
    plans = plans or {"p": make_plan(rows)}
    return {"map": map | {f"work/plan/{n}": {"paused": False, **p} for n, p in plans.items()}}


def next_states(scheduler, now, state, observed):
    """Return {machine: state} as set by the next step, or {}."""
    out = {}
    for _, value in scheduler.next_proposals(now, state, observed):
        out |= {k.removeprefix("work/m/"): v["state"] for k, v in value.items() if k.startswith("work/m/")}
    return out


def with_reports(observed, now=0, **reports):
    """Set the controllers' placement reports, received at `now`, in `observed`, and return it."""
    observed.placement_reports = {name: (report, now) for name, report in reports.items()}
    return observed


@pytest.mark.parametrize(
    "clock, why",
    [
        ("07:59", "its plan begins in 60 s"),
        ("08:30", ""),
        ("12:00", "it is quiet time, 11:30-13:00 UTC"),
        ("13:00", ""),
        ("23:30", "it is quiet time, 23:00-01:00 UTC"),
        ("20:00", "its plan's time ended 0 s ago"),
    ],
)
def test_times_of_a_plan_go_by_the_median_clock(clock, why):
    hours, minutes = map(int, clock.split(":"))
    day_s, wall_ms = 20_000 * 86_400, 20_000 * DAY_MS + (hours * 60 + minutes) * 60_000
    ends = day_s + 20 * 3600 if clock != "23:30" else 0
    value = make_plan(
        ["s0"], **{"from": day_s + 8 * 3600, "until": ends}, quiet=["11:30-13:00", "23:00-01:00"]
    )
    observed = with_reports(
        make_observations(),
        c0=PlacementReport(5, {}, wall_ms),
        c1=PlacementReport(5, {}, wall_ms + 20),
        c2=PlacementReport(5, {}, wall_ms + 3_600_000),
    )
    observed.wall_ms = wall_ms + 3_600_000  # the leader's own clock is the one an hour ahead
    scheduler = WorkScheduler()
    changes = next_states(scheduler, 0, make_state({"s0": (WorkState.WAITING, {})}, {"p": value}), observed)
    assert (changes, scheduler.hold_reasons["s0"]) == (
        ({}, why) if why else ({"s0": WorkState.DRAINING.value}, "")
    )
    alone = with_reports(make_observations(), c2=observed.placement_reports["c2"][0])
    alone.controller_names = frozenset({"c0", "c1", "c2"})
    assert "no majority of the controllers has reported its clock yet" in scheduler.plan_hold_reason(
        0, {**value, "paused": False}, alone
    )


def test_overload_holds_waiting_machines_and_begun_drains_continue_or_are_cancelled_as_planned():
    load = {"c0": PlacementReport(5, {"s0": 1}, 0, 40, 0), "c1": PlacementReport(5, {"s0": 0}, 0, 10, 20)}
    rows = {"s0": (WorkState.DRAINING, {}), "s1": (WorkState.WAITING, {})}
    for begun, changes in (("go on", {}), ("back", {"s0": WorkState.WAITING.value})):
        scheduler, observed = WorkScheduler(), with_reports(make_observations(), **load)
        observed.controller_names = frozenset(load)
        value = make_plan(rows, overload=0.1, begun=begun, most=2)
        assert next_states(scheduler, 0, make_state(rows, {"p": value}), observed) == changes
        if not changes:
            assert scheduler.hold_reasons["s1"] == "40% of viewer requests are rejected (limit 10%)"
            assert next_states(
                scheduler,
                10 * SECOND,
                make_state(rows, {"p": value}),
                with_reports(observed, 10 * SECOND, c0=PlacementReport(5, {"s0": 1}, 0, 40, 1)),
            ) == {"s1": WorkState.DRAINING.value}
    few = with_reports(make_observations(), c0=PlacementReport(5, {}, 0, 4, 4))
    assert few.rejected_share(0) == 0, "four requests are too few for a share"


def test_machine_that_reports_ready_but_fails_set_ups_stays_warming_up_and_becomes_overdue():
    rows = {"s0": (WorkState.WARMING_UP, {})}
    scheduler, state = WorkScheduler(), make_state(rows)
    failing = PlacementReport(5, {}, failing_machines=["s0"])
    assert next_states(scheduler, 0, state, with_reports(make_observations(), c1=failing)) == {}
    assert (
        next_states(scheduler, 3 * SECOND, state, with_reports(make_observations(), 3 * SECOND, c1=failing))
        == {}
    )
    assert scheduler.hold_reasons["s0"] == "it reports ready, but set-ups from c1 fail"
    assert next_states(
        scheduler, 4 * SECOND, state, with_reports(make_observations(), 4 * SECOND, c1=PlacementReport(5, {}))
    ) == {"s0": "done"}
    assert next_states(
        scheduler, 9 * SECOND, state, with_reports(make_observations(), 9 * SECOND, c1=failing)
    ) == {"s0": "overdue"}
    restarted = make_observations(s0={"started": 77})
    [(_, value)] = WorkScheduler().next_proposals(
        0, make_state({"s0": (WorkState.OVERDUE, {"was": 5})}), restarted
    )
    row = value["work/m/s0"]
    assert (row["state"], row["was"]) == ("coming back", 77), "that start counts as a return only once"
    assert (
        next_states(WorkScheduler(), 0, make_state({"s0": (WorkState.OVERDUE, {"was": 77})}), restarted) == {}
    )


def test_machine_with_a_new_start_time_is_taken_back_by_any_leader_and_an_early_restart_is_ignored():
    restarted = make_observations(s0={"started": 77})
    assert next_states(WorkScheduler(), 0, make_state({"s0": (WorkState.OUT, {"was": 5})}), restarted) == {
        "s0": "coming back"
    }
    assert next_states(WorkScheduler(), 0, make_state({"s0": (WorkState.OUT, {"was": 77})}), restarted) == {}
    assert (
        next_states(
            WorkScheduler(),
            0,
            make_state({"s0": (WorkState.RETURNING, {"was": 5})}),
            make_observations(s0={"ready": False}),
        )
        == {}
    )
    log = [["waiting", "ops", 0], ["told to drain", "leader", 500]]
    before_drain, after_drain = (
        make_observations(s0={"started": 400_000_000}),
        make_observations(s0={"started": 600_000_000}),
    )
    unknown_start = make_state({"s0": (WorkState.OUT, {"was": 0, "log": log})})
    assert next_states(WorkScheduler(), 0, unknown_start, before_drain) == {}, (
        "an old start that a clock ahead had reported as long ago"
    )
    assert next_states(WorkScheduler(), 0, unknown_start, after_drain) == {"s0": "coming back"}
    early, scheduler = with_reports(restarted, c0=PlacementReport(5, {"s0": 2})), WorkScheduler()
    early.controller_names = frozenset({"c0"})
    assert next_states(scheduler, 0, make_state({"s0": (WorkState.DRAINING, {"was": 5})}), early) == {}
    assert "restarted without a permit" in scheduler.hold_reasons["s0"]


def test_controller_that_leads_again_times_a_later_drain_of_the_same_machine_from_its_start():
    """It saw the first drain agreed long ago, and not how that drain ended."""
    scheduler, observed = WorkScheduler(), with_reports(make_observations())
    observed.controller_names = frozenset({"c0"})
    assert next_states(scheduler, 0, make_state({"s0": (WorkState.DRAINING, {"rev": 2})}), observed) == {}
    later = 1000 * SECOND
    assert (
        next_states(scheduler, later, make_state({"s0": (WorkState.DRAINING, {"rev": 30})}, rev=30), observed)
        == {}
    )
    assert "c0 may still place on it" in scheduler.hold_reasons["s0"]
    limit = int((planned_work.MAX_RECORD_AGE_NS + 6 * SECOND) * 1.02) + SECOND
    assert (
        next_states(
            scheduler, later + limit, make_state({"s0": (WorkState.DRAINING, {"rev": 30})}, rev=30), observed
        )
        == {}
    )
    assert next_states(
        scheduler, later + limit + 1, make_state({"s0": (WorkState.DRAINING, {"rev": 30})}, rev=30), observed
    ) == {"s0": "empty"}


def test_drain_is_cancelled_when_the_other_holder_of_a_title_fails():
    holders = {"titles": frozenset({"lesson"})}
    rows, scheduler = {"s0": (WorkState.DRAINING, {})}, WorkScheduler()
    both = with_reports(make_observations(s0=holders, s1=holders), c0=PlacementReport(5, {"s0": 1}))
    both.controller_names = frozenset({"c0"})
    assert next_states(scheduler, 0, make_state(rows), both) == {}
    left = with_reports(
        make_observations(s0=holders, s1={**holders, "ready": False}), c0=PlacementReport(5, {"s0": 1})
    )
    assert next_states(scheduler, 0, make_state(rows), left) == {"s0": "waiting"}
    assert next_states(scheduler, 0, make_state({"s0": (WorkState.OUT, {})}), left) == {}, (
        "a machine that is out is not recalled"
    )


def test_machine_out_in_an_earlier_epoch_is_entered_and_left_alone_until_an_operator_acts():
    row = {"plan": "old", "state": "out", "n": 3, "by": "leader", "rev": 2, "was": 0, "log": []}
    empty = {"map": {}}
    [(_, value)] = WorkScheduler().next_proposals(
        0,
        empty,
        with_reports(make_observations(), c1=PlacementReport(0, {}, out_in_earlier_epoch={"s2": row})),
    )
    assert value["work/m/s2"]["state"] == "found out" and value["work/m/s2"]["plan"] == "old"
    state = {"map": {k: v for k, v in value.items() if k != "?"}}
    assert planned_work.names_without_placement(state) == {"s2"} and planned_work.names_in_active_plans(
        state, ["s2", "s3"]
    ) == ["s2"]
    scheduler = WorkScheduler()
    assert (
        scheduler.next_proposals(0, state, make_observations()) == []
        and "an operator must run" in scheduler.hold_reasons["s2"]
    )
    new, _ = planned_work.propose_plan(state, make_plan(["s0"], most=1), "new", "ops"), None
    state = {"map": {**state["map"], **{k: v for k, v in new[1].items() if k != "?"}}}
    assert (
        scheduler.next_proposals(0, state, make_observations()) == []
        and "1 unavailable, limit 1: s2" in scheduler.hold_reasons["s0"]
    )
    _, value = planned_work.propose_step(
        planned_work.current_revision(state),
        "s2",
        planned_work.machine_rows(state)["s2"],
        WorkState.RETURNING,
        "ops",
    )
    state = {"map": {**state["map"], **{k: v for k, v in value.items() if k != "?"}}}
    assert next_states(scheduler, 1, state, make_observations()) == {"s2": "warming up"}


def test_controllers_go_one_by_one_and_no_voter_goes_while_another_is_unavailable():
    def make_budget(in_work=(), **ready):
        controllers = {
            f"controller:c{n}": Machine(
                f"controller:c{n}", -1, "", 0.0, ready.get(f"c{n}", True), 1, voter=n < 3
            )
            for n in range(5)
        }
        return WorkBudget({**make_observations().machines, **controllers}, set(in_work))

    value = make_plan([], most_controllers=2)
    assert (
        make_budget().hold_reason("controller:c0", value)
        == make_budget().hold_reason("controller:c4", value)
        == ""
    )
    assert "c4 controllers" not in make_budget(c4=False).hold_reason("controller:c0", value)
    assert "it is a voter, and the voter controller:c1" in make_budget(c1=False).hold_reason(
        "controller:c0", value
    )
    assert "it is a voter" in make_budget({"controller:c1"}).hold_reason("controller:c2", value)
    assert make_budget({"controller:c1"}).hold_reason("controller:c3", value) == ""
    assert "2 controllers unavailable" in make_budget({"controller:c1"}, c3=False).hold_reason(
        "controller:c4", value
    )
    assert make_budget({"controller:c1"}).hold_reason("s0", make_plan(["s0"])) == "", (
        "streamers are counted separately"
    )
    assert "not available" in make_budget(c4=False).hold_reason("controller:c4", value)


def test_controller_drains_gives_up_leadership_gets_a_permit_and_is_taken_back_after_its_restart():
    simulation = WorkSimulation(seed=7)
    simulated_fleet = simulation.simulated_fleet
    simulation.add_plan(
        "own",
        make_plan([f"controller:{n}" for n in CONTROLLER_NAMES], most_controllers=1, drain=3 * SECOND),
    )
    restarted, led_while_draining = [], []

    def restart_permitted_controllers():
        for name in CONTROLLER_NAMES:
            c = simulated_fleet.controllers.get(name)
            if c and f"controller:{name}" in c.exclusions(simulated_fleet.now)[0]:
                simulation.playbacks[name] = []
                if (
                    simulated_fleet.now - told_at.setdefault(name, simulated_fleet.now) > 3 * SECOND
                    and c.leader() == name
                ):
                    led_while_draining.append(name)
        rows = planned_work.machine_rows(
            simulated_fleet.controllers[next(iter(simulated_fleet.controllers))].committed_log.state
        )
        for machine, row in rows.items():
            name = machine.removeprefix("controller:")
            if row["state"] == "out" and name in simulated_fleet.controllers and name not in restarted:
                restarted.append(name)
                simulated_fleet.kill(name)
                simulated_fleet.schedule(
                    simulated_fleet.now + 2 * SECOND,
                    lambda n=name: (simulated_fleet.start(n), simulation.attach(n)),
                )
        return len(rows) == 6 and all(r["state"] == "done" for r in rows.values())

    told_at, voters_down = {}, []
    assert simulation.run_until(
        400,
        lambda: (
            voters_down.append(sum(v not in simulated_fleet.controllers for v in VOTER_NAMES))
            or restart_permitted_controllers()
        ),
    )
    assert sorted(restarted) == CONTROLLER_NAMES and max(voters_down) == 1 and not led_while_draining


def test_estimated_starts_follow_the_order_and_the_budgets():
    rows = {f"s{n}": (WorkState.WAITING, {}) for n in range(4)}
    state = make_state(rows, {"p": make_plan(rows, most=2, ready_share=0.0)})  # each takes 6 + 4 + 2 s
    assert WorkScheduler().estimate_starts(0, state, make_observations()) == {
        "s0": 0.0,
        "s1": 0.0,
        "s2": 12.0,
        "s3": 12.0,
    }
    rows["s0"] = WorkState.OUT, {}
    scheduler, state = WorkScheduler(), make_state(rows, {"p": make_plan(rows, most=1, ready_share=0.0)})
    scheduler.next_proposals(0, state, make_observations())
    assert scheduler.estimate_starts(4 * SECOND, state, make_observations()) == {
        "s1": 2.0,
        "s3": 14.0,
        "s2": 26.0,
    }, "s2 is the only machine left in its rack"
    paused = make_state(rows, {"p": make_plan(rows, most=1, paused=True)})
    assert set(scheduler.estimate_starts(0, paused, make_observations()).values()) == {None}


def test_spans_follow_the_log_and_an_ended_state_has_no_duration():
    log = [["waiting", "ops", 1000], ["told to drain", "leader", 3000], ["given back", "ops", 4000]]
    state = make_state(
        {"s0": (WorkState.GIVEN_BACK, {"log": log}), "s1": (WorkState.DRAINING, {"log": log[:2]})}
    )
    assert planned_work.state_spans(state, 9000) == {
        "s0": [("waiting", 1000, 3000), ("told to drain", 3000, 4000), ("given back", 4000, 4000)],
        "s1": [("waiting", 1000, 3000), ("told to drain", 3000, 9000)],
    }


def test_second_plan_for_a_machine_is_refused_even_if_both_are_proposed_from_the_same_revision():
    empty = {"map": {}}
    first, second = (
        planned_work.propose_plan(empty, make_plan(["s0"]), "a", "ops"),
        planned_work.propose_plan(empty, make_plan(["s0", "s1"]), "b", "ops"),
    )
    from terndrift.fleet.committed_state import apply_entry, initial_state
    from terndrift.fleet.messages import Entry

    state = initial_state((1, "e"))
    for n, (id, value) in enumerate((first, second), 1):
        apply_entry(state, n, Entry(1, "value", f"{id}{n}", value))
    assert list(state["ids"].values()) == [1, -2], "its proposer can tell that it had no effect"
    assert set(planned_work.plans_by_name(state)) == {"a"} and planned_work.names_in_active_plans(
        state, ["s0", "s1"]
    ) == ["s0"]


@pytest.mark.parametrize("fault", permit_checker.FAULTS)
def test_permit_checker_finds_injected_faults(fault):
    checker = permit_checker.Checker(fault, pulls_left=1, reports_left=1, crashes_left=0)
    path, violation = checker.run()
    assert "places on a machine with a permit" in violation and path[-1].endswith("places"), (
        path,
        checker.states,
    )
    assert len(path) <= 8


def test_permit_checker_finds_no_violation_within_its_bound():
    checker = permit_checker.Checker(max_states=15_000)
    assert checker.run() is None and checker.states == 15_000
