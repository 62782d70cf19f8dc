"""Planned work in virtual time: controllers place playbacks while machines are taken out in turn."""

import os
import subprocess
import sys

import pytest

from terndrift.fleet import messages, planned_work
from terndrift.fleet.messages import PlacementReport
from terndrift.fleet.planned_work import WorkObservations, WorkScheduler, WorkState
from terndrift.fleet.raft import Role
from terndrift.fleet.work_budget import Machine, WorkBudget
from terndrift.fleet.work_simulation import SECOND, WorkSimulation, make_plan


def test_plan_for_all_machines_completes_within_budget_and_takes_down_no_machine_with_playbacks():
    simulation = WorkSimulation()
    simulation.add_plan("kernel", make_plan(simulation.streamers))
    assert simulation.run_until(240, simulation.is_done)
    assert not simulation.violations and simulation.max_out_count <= 2 and len(simulation.taken_down_at) == 8
    assert set(simulation.states().values()) == {WorkState.DONE} and simulation.placement_count > 200


SIMULATION_SCRIPT = """
import sys, zlib
sys.path[:0] = {0!r}
from terndrift.fleet.work_simulation import WorkSimulation, make_plan
simulation = WorkSimulation(seed=4)
checksum, before, send = [0], 0, simulation.simulated_fleet._send
def recorded(n, to, packet):
    checksum[0] = zlib.crc32(packet + n.encode() + to.encode() + b"%d" % simulation.simulated_fleet.now,
        checksum[0])
    send(n, to, packet)
simulation.simulated_fleet._send = recorded
simulation.add_plan("all", make_plan([*simulation.streamers, "controller:c0"]))
simulation.run_until(60)
print(checksum[0], sorted(simulation.simulated_fleet.sent.items()))
"""


def test_same_seed_gives_the_same_datagrams_in_every_process():
    """Guards against a simulation that depends on the iteration order of sets, which differs by process."""

    def run_simulation(hash_seed):
        process = subprocess.run(
            [sys.executable, "-c", SIMULATION_SCRIPT.format(sys.path)],
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONHASHSEED": str(hash_seed)},
            check=True,
        )
        return process.stdout

    assert len({run_simulation(hash_seed) for hash_seed in (1, 2, 3)}) == 1


def wait_for_leader(simulation):
    """Run the simulation until there is exactly one leader, and return its name."""
    assert (
        simulation.simulated_fleet.run_until(lambda: len(simulation.simulated_fleet.leaders()) == 1, 15)
        is not None
    )
    return simulation.simulated_fleet.leaders()[0]


STEPS = [
    WorkState.DRAINING,
    WorkState.DRAINED,
    WorkState.OUT,
    WorkState.RETURNING,
    WorkState.WARMING_UP,
    WorkState.DONE,
]


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("at", STEPS)
def test_new_leader_continues_after_its_predecessor_is_killed_at_any_step(at, told):
    """The leader dies as soon as the step is agreed there, before or (`told`) after it can tell others."""
    simulation, killed = WorkSimulation(seed=2), []
    simulated_fleet, after = simulation.simulated_fleet, simulation.simulated_fleet._process_output

    def kill_leader_at_step(n):
        c = simulated_fleet.controllers[n]
        machines_at_step = [
            k
            for _, e in c.committed_log.newly_committed
            if e.kind == "value"
            for k, v in e.value.items()
            if k.startswith("work/m/") and v["state"] == at.value
        ]
        is_killed = machines_at_step and not killed and c.voter and c.voter.role is Role.LEADER
        if not is_killed or told:
            after(n)
        if is_killed:
            killed.append(n)
            simulated_fleet.kill(n)
            simulation.playbacks[n] = []
            simulated_fleet.schedule(
                simulated_fleet.now + 5 * SECOND, lambda: (simulated_fleet.start(n), simulation.attach(n))
            )

    simulated_fleet._process_output = kill_leader_at_step
    simulation.add_plan("kernel", make_plan(["s0", "s1"], most=1))
    assert simulation.run_until(300, simulation.is_done) and len(killed) == 1
    assert not simulation.violations and simulation.max_out_count == 1 and len(simulation.taken_down_at) == 2
    revision = planned_work.current_revision(simulated_fleet.controllers["c5"].committed_log.state)
    assert revision == 1 + 2 * len(STEPS), "a step was taken twice, or skipped"
    for row in planned_work.machine_rows(simulated_fleet.controllers["c5"].committed_log.state).values():
        assert [s for s, _, _ in row["log"]] == ["waiting", *(s.value for s in STEPS)]


def test_paused_leader_that_resumes_with_stale_state_changes_nothing():
    simulation = WorkSimulation(seed=3)
    simulation.add_plan("kernel", make_plan(simulation.streamers))
    assert simulation.run_until(60, lambda: WorkState.DRAINING in simulation.states().values())
    old_leader = wait_for_leader(simulation)
    simulation.simulated_fleet.pause(old_leader)
    simulation.run_until(10)
    simulation.simulated_fleet.resume(old_leader)
    assert simulation.run_until(300, simulation.is_done)
    assert not simulation.violations and simulation.max_out_count <= 2


def test_permit_waits_until_a_partitioned_controller_can_no_longer_place():
    simulation = WorkSimulation(seed=4)
    cut = "c5"
    simulation.simulated_fleet.drops_message = lambda a, b: (a == cut) != (b == cut)
    simulation.add_plan("kernel", make_plan(["s3"]))
    began = simulation.simulated_fleet.now
    assert simulation.run_until(15, lambda: simulation.states("c4").get("s3") is WorkState.DRAINING)
    assert not simulation.run_until(15, lambda: simulation.taken_down_at), (
        "taken down while c5 could still have placed there"
    )
    assert simulation.run_until(30, lambda: simulation.taken_down_at)
    assert (
        simulation.simulated_fleet.now - began > planned_work.MAX_RECORD_AGE_NS and not simulation.violations
    )
    assert not simulation.simulated_fleet.controllers[cut].exclusions(simulation.simulated_fleet.now)[1], (
        "it no longer places on anything"
    )
    simulation.simulated_fleet.drops_message = lambda a, b: False
    assert simulation.run_until(60, simulation.is_done) and simulation.simulated_fleet.controllers[
        cut
    ].exclusions(simulation.simulated_fleet.now) == (
        set(),
        True,
    )


def test_restarted_controller_places_on_nothing_before_it_knows_which_machines_drain():
    simulation = WorkSimulation(seed=5)
    simulation.simulated_fleet.kill("c4")
    simulation.simulated_fleet.drops_message = lambda a, b: "c4" in (a, b)
    simulation.simulated_fleet.start("c4")
    simulation.attach("c4")
    simulation.simulated_fleet.run(5)
    assert simulation.simulated_fleet.controllers["c4"].exclusions(simulation.simulated_fleet.now) == (
        set(),
        False,
    )
    simulation.simulated_fleet.drops_message = lambda a, b: False
    assert (
        simulation.simulated_fleet.run_until(
            lambda: simulation.simulated_fleet.controllers["c4"].exclusions(simulation.simulated_fleet.now)[
                1
            ],
            20,
        )
        is not None
    )


def test_resumed_controller_does_not_take_messages_buffered_during_its_pause_for_current():
    """The first messages after a pause date from before it. The controller must not place by them on a
    machine that has been taken out since."""
    simulation = WorkSimulation(seed=6)
    simulation.run_until(3)
    simulation.simulated_fleet.pause("c5")
    simulation.run_until(1)
    simulation.add_plan("kernel", make_plan(["s3"], needs=60 * SECOND))
    assert simulation.run_until(60, lambda: simulation.taken_down_at)
    placement_views, arrive = [], simulation.simulated_fleet._deliver

    def record_view(to, packet):
        arrive(to, packet)
        if to == "c5":
            placement_views.append(
                simulation.simulated_fleet.controllers["c5"].exclusions(simulation.simulated_fleet.now)
            )

    simulation.simulated_fleet._deliver = record_view
    simulation.simulated_fleet.resume("c5")
    assert len(placement_views) > 10 and not any(
        may_place and "s3" not in drained for drained, may_place in placement_views
    )
    assert (
        simulation.simulated_fleet.run_until(
            lambda: (
                simulation.simulated_fleet.controllers["c5"].exclusions(simulation.simulated_fleet.now)
                == ({"s3"}, True)
            ),
            10,
        )
        is not None
    )


def test_report_with_a_revision_of_an_earlier_epoch_confirms_no_later_drain():
    simulation = WorkSimulation(seed=8)
    lead, simulated_fleet = simulation.simulated_fleet.controllers["c0"], simulation.simulated_fleet
    simulation.add_plan("kernel", make_plan(["s0"]))
    assert simulation.run_until(60, simulation.is_done) and lead.placement_reports["c5"][0].work_revision > 1
    # its last report, from a drain that ended long ago
    lead.placement_reports["c5"] = PlacementReport(50, {"s0": 0}), simulated_fleet.now
    simulated_fleet.drops_message = lambda a, b: "c5" in (a, b)
    simulated_fleet.call_controller("c0", "begin_epoch", None)
    assert (
        simulated_fleet.run_until(lambda: simulated_fleet.controllers["c4"].committed_log.epoch[0] == 2, 20)
        is not None
    )
    late = messages.encode("arena", "c5", "c0", PlacementReport(50, {"s0": 0}), 1, 20, 0)
    simulated_fleet._deliver("c0", late)
    assert "c5" not in lead.placement_reports
    simulation.taken_down_at.clear()
    simulation.add_plan("again", make_plan(["s0"]))
    assert not simulation.run_until(15, lambda: simulation.taken_down_at), "c5 has not heard of this drain"
    assert simulation.run_until(30, lambda: simulation.taken_down_at) and not simulation.violations


def make_observations(count=4, **changes):
    """Return WorkObservations with `count` healthy streamers in two racks; `changes` is {name: {field:
    value}}."""
    machines = {f"s{n}": Machine(f"s{n}", n % 2, "z", 1.0, True, 0, frozenset()) for n in range(count)}
    for name, changed in changes.items():
        machines[name] = Machine(**{**machines[name].__dict__, **changed})
    return WorkObservations(machines, frozenset())


def test_failures_and_unplanned_drains_count_against_the_budget():
    rack_plan = make_plan(["s0"], most=1, paused=False)

    def hold_reason(plan, **changes):
        return WorkBudget(make_observations(**changes).machines, set()).hold_reason("s0", plan)

    assert hold_reason(rack_plan) == ""
    assert "1 unavailable, limit 1: s3" in hold_reason(rack_plan, s3={"ready": False})
    assert "1 unavailable, limit 1: s3" in hold_reason(rack_plan, s3={"cold": True})
    assert "this work is not the cause" in hold_reason(rack_plan, s0={"ready": False})
    assert "still warming up" in hold_reason(rack_plan, s0={"cold": True})
    two = make_plan(["s0"], most=3, paused=False)
    assert "s2 in its rack is unavailable" in hold_reason(two, s2={"ready": False})
    zone = make_plan(["s0"], most=3, most_rack=2, most_zone=1, paused=False)
    assert "1 unavailable in its zone" in hold_reason(zone, s3={"ready": False})
    share = make_plan(["s0"], most=3, most_rack=2, ready_share=0.8, paused=False)
    assert "minimum 80%" in hold_reason(share)
    assert (
        WorkScheduler().plan_hold_reason(0, {**rack_plan, "paused": True}, make_observations())
        == "its plan is paused"
    )


def test_plan_that_can_never_complete_is_reported_with_titles_and_machines():
    machines = make_observations(
        s0={"titles": frozenset({"lesson"})}, s1={"titles": frozenset({"lesson"})}
    ).machines
    reasons = planned_work.impossible_machines(make_plan(["s0", "s2"], holders=2), machines)
    assert reasons == ["s0: lesson would have 1 ready holders where 2 are required"]
    assert planned_work.impossible_machines(make_plan(["s9"]), machines) == ["s9: no list contains it"]


def test_machine_that_costs_viewers_least_goes_first_and_none_starves():
    row = {"plan": "p", "state": "waiting", "n": 0, "by": "ops", "log": []}
    state = {
        "map": {
            planned_work.REVISION_KEY: 1,
            "work/plan/p": make_plan(["s0", "s1"], most=1, paused=False),
            "work/m/s0": row,
            "work/m/s1": row,
        }
    }
    observed = make_observations()
    observed.placement_reports = {"c0": (PlacementReport(1, {"s0": 9, "s1": 2}), 0)}
    scheduler = WorkScheduler()
    [(id, _)] = scheduler.next_proposals(0, state, observed)
    assert id == "work/s1/p/1/1" and scheduler.hold_reasons["s0"] == "s1 goes first"
    for _ in range(planned_work.MAX_TIMES_PASSED_OVER + 1):
        [(id, value)] = scheduler.next_proposals(0, state, observed)
    assert id == "work/s0/p/1/1" and value["?"] == {planned_work.REVISION_KEY: 1}


def test_machine_out_for_too_long_is_overdue_and_one_that_returns_by_itself_is_taken_back():
    row = {"plan": "p", "state": "out", "n": 3, "by": "leader", "rev": 2, "was": 0, "log": []}
    state = {
        "map": {
            planned_work.REVISION_KEY: 5,
            "work/plan/p": make_plan(["s0"], paused=False),
            "work/m/s0": row,
        }
    }
    scheduler, without_s0 = WorkScheduler(), make_observations(s0={"ready": False})
    assert scheduler.next_proposals(0, state, without_s0) == []
    [(_, value)] = scheduler.next_proposals(6 * SECOND, state, without_s0)
    assert value["work/m/s0"]["state"] == "overdue"
    [(_, value)] = scheduler.next_proposals(7 * SECOND, state, make_observations(s0={"started": 3 * SECOND}))
    assert value["work/m/s0"]["state"] == "coming back"


def test_command_waits_until_the_controller_asked_knows_what_the_operator_has_seen(monkeypatch):
    """Guards `done` at a controller that is behind: the operator saw the machine out at another one."""
    from terndrift.cli import work as cli

    def answer(state, age):
        row = {"plan": "p", "state": state.value, "n": 2, "by": "leader", "log": []}
        return {"map": {planned_work.REVISION_KEY: 3, "work/m/s1": row}, "age_s": age}

    answers, proposals = (
        [answer(WorkState.DRAINING, 30.0), answer(WorkState.DRAINING, None), answer(WorkState.OUT, 0.1)],
        [],
    )
    monkeypatch.setattr(cli, "got", lambda admin, path: answers.pop(0))
    monkeypatch.setattr(cli, "ask", lambda *a: (proposals.append(a[3]), (200, {"counted": True}))[1])
    cli.marked("x", "s1", WorkState.RETURNING)
    assert [s["value"]["work/m/s1"]["state"] for s in proposals] == ["coming back"] and not answers
    # current as of after the command began, so the state is final
    answers += [answer(WorkState.DRAINING, 0.0)] * 9
    with pytest.raises(SystemExit):
        cli.marked("x", "s1", WorkState.RETURNING)
    assert len(answers) >= 7 and len(proposals) == 1


def test_viewers_are_redirected_evenly_to_controllers_that_are_up_and_not_draining():
    from terndrift.fleet.redirect_targets import RedirectTargets

    simulation = WorkSimulation(seed=4)
    simulated_fleet = simulation.simulated_fleet
    redirects = {n: RedirectTargets(simulated_fleet.controllers[n], 3) for n in simulation.names}
    assert redirects["c5"].choose(simulated_fleet.now) is None, "nobody has announced an address"
    for n, redirect in redirects.items():
        redirect.mine = "" if n == "c4" else f"http://{n}"
    for _ in range(12):  # each second, as a controller does; repeated announcements are one entry
        for n, redirect in redirects.items():
            redirect.announce(simulated_fleet.now)
            simulated_fleet._process_output(n)
        # a controller seen for less than 8 s may have just started and gets no viewers
        simulated_fleet.run(1)
    assert sorted(redirects["c5"].places(simulated_fleet.now)) == ["c0", "c1", "c2", "c3"]
    chosen = [redirects["c5"].choose(simulated_fleet.now) for _ in range(400)]
    assert all(70 < chosen.count(f"http://c{n}") < 130 for n in range(4)), "all are equally likely"
    simulation.add_plan("own", make_plan(["controller:c3"], drain=SECOND))
    assert (
        simulated_fleet.run_until(lambda: simulation.states().get("controller:c3") is WorkState.OUT, 30)
        is not None
    )
    simulated_fleet.kill("c1")
    assert simulated_fleet.run_until(lambda: simulated_fleet.observers("c1", "suspect"), 30) is not None
    simulated_fleet.run(2)
    assert sorted(redirects["c5"].places(simulated_fleet.now)) == ["c0", "c2"]
    ids = simulated_fleet.controllers["c5"].committed_log.state["ids"]
    assert sum(i.startswith("front/") for i in ids) == 5
