"""Membership and the record in virtual time, with lost messages, partitions, crashes, pauses and lost disks.

Also the checker of small worlds, which must find each planted fault, and the limits on packets.
"""

import subprocess
import sys

import msgspec
import pytest

from terndrift.fleet import raft
from terndrift.fleet.membership import Membership, Standing
from terndrift.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    AppendEntries,
    Entry,
    Envelope,
    FullState,
    MemberUpdate,
    Ping,
    Propose,
    decode,
    encode,
)
from terndrift.fleet.model_checker import Budget, Checker, make_world
from terndrift.fleet.simulated_fleet import SimulatedFleet

NAMES = [f"c{n}" for n in range(9)]
VOTERS = NAMES[:5]


def assert_eventually(simulated_fleet, condition, within=30):
    """`within` is in seconds of virtual time."""
    assert simulated_fleet.run_until(condition, within) is not None


def committed_everywhere(simulated_fleet, id):
    """Whether all running controllers have seen the proposal committed."""
    return all(id in c.committed_log.state["ids"] for c in simulated_fleet.controllers.values())


def started_fleet(seed=1, **options):
    """Returns nine members, alive to each other, with a record begun at c0 and all five voters added."""
    simulated_fleet = SimulatedFleet(NAMES, VOTERS, seed, **options)
    simulated_fleet.start()
    assert simulated_fleet.run_until(simulated_fleet.membership_converged, 30) is not None
    simulated_fleet.call_controller("c0", "begin_epoch", None)
    assert_eventually(
        simulated_fleet,
        lambda: all(len(c.committed_log.state["voters"]) == 5 for c in simulated_fleet.controllers.values()),
    )
    return simulated_fleet


def propose_and_wait(simulated_fleet, id, through, within=15, at=None):
    """Proposes at `through`; returns the seconds until it is committed at the names `at` or all, or None."""
    simulated_fleet.call_controller(through, "propose", id, {id: 1})
    names = at or list(simulated_fleet.controllers)
    return simulated_fleet.run_until(
        lambda: all(id in simulated_fleet.controllers[n].committed_log.state["ids"] for n in names), within
    )


def wait_for_leader(simulated_fleet):
    """Returns the name of the only leader."""
    assert simulated_fleet.run_until(lambda: len(simulated_fleet.leaders()) == 1, 15) is not None
    return simulated_fleet.leaders()[0]


def partition(side):
    """Returns a predicate for `SimulatedFleet.drops_message` that separates the names of `side` from all
    others."""
    return lambda a, b: (a in side) != (b in side)


def test_a_new_leader_takes_over_from_a_killed_one_without_losing_entries():
    simulated_fleet = started_fleet()
    assert propose_and_wait(simulated_fleet, "p1", "c7") is not None
    old_leader = wait_for_leader(simulated_fleet)
    simulated_fleet.kill(old_leader)
    assert propose_and_wait(simulated_fleet, "p2", "c8") is not None
    assert (
        simulated_fleet.leaders() != [old_leader]
        and simulated_fleet.run_until(lambda: len(simulated_fleet.observers(old_leader, "dead")) == 8, 40)
        is not None
    )
    simulated_fleet.start(old_leader)
    assert simulated_fleet.run_until(simulated_fleet.membership_converged, 30) is not None
    assert (
        simulated_fleet.run_until(
            lambda: "p2" in simulated_fleet.controllers[old_leader].committed_log.state["ids"], 10
        )
        is not None
    )
    assert not simulated_fleet.violations and simulated_fleet.controllers[old_leader].committed_log.state[
        "map"
    ] == {"p1": 1, "p2": 1}


def test_a_paused_leader_steps_down_as_soon_as_it_resumes():
    simulated_fleet = started_fleet()
    old_leader = wait_for_leader(simulated_fleet)
    simulated_fleet.pause(old_leader)
    assert propose_and_wait(simulated_fleet, "p1", "c8", at=[n for n in NAMES if n != old_leader]) is not None
    simulated_fleet.run(10)
    deaths_before = [c for c in simulated_fleet.changes if c[1] == old_leader and c[4] is Standing.DEAD]
    simulated_fleet.resume(old_leader)
    assert simulated_fleet.controllers[old_leader].voter.role is not raft.Role.LEADER
    assert (
        simulated_fleet.run_until(
            lambda: "p1" in simulated_fleet.controllers[old_leader].committed_log.state["ids"], 10
        )
        is not None
    )
    simulated_fleet.run(20)
    deaths_after = [c for c in simulated_fleet.changes if c[1] == old_leader and c[4] is Standing.DEAD]
    assert deaths_after == deaths_before, "it declared others dead after its own pause"
    assert simulated_fleet.membership_converged() and not simulated_fleet.violations


@pytest.mark.parametrize("followers_cut_off", [0, 1])
def test_a_leader_in_a_minority_commits_nothing_and_reports_that_it_is_cut_off(followers_cut_off):
    simulated_fleet = started_fleet()
    old_leader = wait_for_leader(simulated_fleet)
    minority = {old_leader, *[v for v in VOTERS if v != old_leader][:followers_cut_off]}
    simulated_fleet.drops_message = partition(minority)
    simulated_fleet.call_controller(old_leader, "propose", "minority", {"x": 1})
    majority = [n for n in NAMES if n not in minority]
    assert propose_and_wait(simulated_fleet, "majority", majority[-1], at=majority) is not None
    simulated_fleet.run(8)
    assert simulated_fleet.controllers[old_leader].cut_off_for(simulated_fleet.now) > 5 * raft.SECOND
    assert "x" not in simulated_fleet.controllers[old_leader].committed_log.state["map"]
    assert not any(simulated_fleet.controllers[n].cut_off_for(simulated_fleet.now) for n in majority)
    simulated_fleet.drops_message = lambda a, b: False
    assert_eventually(simulated_fleet, lambda: committed_everywhere(simulated_fleet, "minority"))
    assert (
        simulated_fleet.run_until(simulated_fleet.membership_converged, 40) is not None
        and not simulated_fleet.violations
    )
    assert not simulated_fleet.controllers[old_leader].cut_off_for(simulated_fleet.now)


def test_a_leader_that_can_send_but_not_receive_is_replaced():
    simulated_fleet = started_fleet()
    old_leader = wait_for_leader(simulated_fleet)
    simulated_fleet.drops_message = lambda a, b: b == old_leader
    others = [n for n in NAMES if n != old_leader]
    assert propose_and_wait(simulated_fleet, "p1", others[-1], at=others) is not None
    assert wait_for_leader(simulated_fleet) != old_leader


def test_no_running_member_stays_dead_with_30_percent_datagram_loss():
    simulated_fleet = started_fleet(loss=0.3)
    simulated_fleet.run(120)
    assert simulated_fleet.run_until(simulated_fleet.membership_converged, 30) is not None
    assert propose_and_wait(simulated_fleet, "p1", "c8", 40) is not None and not simulated_fleet.violations


@pytest.mark.parametrize("back_after", [2, 30])
@pytest.mark.parametrize("killed", [NAMES[::2], NAMES])
def test_half_or_all_controllers_killed_at_once_recover_from_their_stores(killed, back_after):
    simulated_fleet = started_fleet()
    assert propose_and_wait(simulated_fleet, "p1", "c5") is not None
    simulated_fleet.kill(*killed)
    simulated_fleet.run(back_after)
    simulated_fleet.start(*killed)
    assert (
        propose_and_wait(simulated_fleet, "p2", "c5", 30) is not None
        and simulated_fleet.run_until(simulated_fleet.membership_converged, 60) is not None
    )
    assert not simulated_fleet.violations and all(
        c.committed_log.state["map"] == {"p1": 1, "p2": 1} for c in simulated_fleet.controllers.values()
    )


@pytest.mark.parametrize("store_fault", ["wipe_disk", "restore_disk"])
def test_a_voter_that_lost_confirmed_entries_rejoins_under_a_new_identity(store_fault):
    simulated_fleet = started_fleet()
    name = next(v for v in VOTERS if v != wait_for_leader(simulated_fleet))
    simulated_fleet.copy_disk(name)
    old_identity = simulated_fleet.controllers[name].voter.identity
    for n in range(5):
        assert propose_and_wait(simulated_fleet, f"p{n}", "c8") is not None
    simulated_fleet.kill(name)
    getattr(simulated_fleet, store_fault)(name)
    simulated_fleet.run(1)
    simulated_fleet.start(name)
    voter = simulated_fleet.controllers[name].voter
    assert voter.role in (raft.Role.NON_VOTER, raft.Role.RECOVERING)
    assert simulated_fleet.run_until(lambda: voter.role is raft.Role.FOLLOWER, 20) is not None
    assert voter.identity != old_identity
    follower = simulated_fleet.controllers["c8"].committed_log
    assert (
        simulated_fleet.run_until(lambda: follower.state["voters"].get(name) == voter.identity, 10)
        is not None
    )
    assert propose_and_wait(simulated_fleet, "last", "c8") is not None and not simulated_fleet.violations


def test_a_voter_that_restarts_with_its_store_keeps_its_identity():
    simulated_fleet = started_fleet()
    name = next(v for v in VOTERS if v != wait_for_leader(simulated_fleet))
    old_identity = simulated_fleet.controllers[name].voter.identity
    simulated_fleet.kill(name)
    assert propose_and_wait(simulated_fleet, "p1", "c8") is not None
    simulated_fleet.start(name)
    assert (
        simulated_fleet.run_until(
            lambda: simulated_fleet.controllers[name].voter.role is raft.Role.FOLLOWER, 10
        )
        is not None
    )
    assert simulated_fleet.controllers[name].voter.identity == old_identity


def test_two_wiped_voters_of_five_commit_nothing_while_a_third_is_cut_off():
    simulated_fleet = started_fleet()
    assert propose_and_wait(simulated_fleet, "p1", "c8") is not None
    leader = wait_for_leader(simulated_fleet)
    wiped_first, wiped_second, cut_off = [v for v in VOTERS if v != leader][:3]
    simulated_fleet.drops_message = partition({cut_off})
    for name in (wiped_first, wiped_second):
        simulated_fleet.kill(name)
        simulated_fleet.wipe_disk(name)
    simulated_fleet.run(2)
    simulated_fleet.start(wiped_first, wiped_second)
    simulated_fleet.call_controller("c8", "propose", "p2", {"p2": 1})
    simulated_fleet.run(15)
    assert not any("p2" in c.committed_log.state["ids"] for c in simulated_fleet.controllers.values())
    simulated_fleet.drops_message = lambda a, b: False
    assert_eventually(simulated_fleet, lambda: committed_everywhere(simulated_fleet, "p2"))
    assert (
        simulated_fleet.run_until(
            lambda: len(simulated_fleet.controllers["c8"].committed_log.state["voters"]) == 5, 30
        )
        is not None
    )
    assert (
        not simulated_fleet.violations
        and simulated_fleet.controllers["c8"].committed_log.state["map"]["p1"] == 1
    )


def test_with_all_stores_lost_nothing_commits_until_an_operator_begins_a_new_epoch_for_all():
    simulated_fleet = started_fleet()
    assert propose_and_wait(simulated_fleet, "p1", "c8") is not None
    simulated_fleet.kill(*VOTERS)
    for name in VOTERS:
        simulated_fleet.wipe_disk(name)
    simulated_fleet.run(1)
    simulated_fleet.start(*VOTERS)
    simulated_fleet.call_controller("c8", "propose", "p2", {"p2": 1})
    simulated_fleet.run(20)
    assert not simulated_fleet.leaders() and not any(
        "p2" in c.committed_log.state["ids"] for c in simulated_fleet.controllers.values()
    )
    simulated_fleet.call_controller("c1", "begin_epoch", {"map": {"p1": 1}, "ids": {"p1": 1}})
    assert (
        simulated_fleet.run_until(
            lambda: all(c.committed_log.epoch[0] == 2 for c in simulated_fleet.controllers.values()), 20
        )
        is not None
    )
    assert propose_and_wait(simulated_fleet, "p3", "c7") is not None
    assert (
        simulated_fleet.run_until(
            lambda: len(simulated_fleet.controllers["c8"].committed_log.state["voters"]) == 5, 30
        )
        is not None
    )
    assert simulated_fleet.controllers["c8"].committed_log.state["map"]["p1"] == 1


def test_memberships_of_a_healed_partition_converge_within_30_seconds():
    simulated_fleet = started_fleet(seed=4)
    simulated_fleet.drops_message = partition(set(NAMES[:4]))
    simulated_fleet.run(40)
    assert (
        len(simulated_fleet.observers("c0", "dead")) == 5
        and len(simulated_fleet.observers("c8", "dead")) == 4
    )
    simulated_fleet.kill("c3", "c7")
    simulated_fleet.run(40)
    simulated_fleet.start("c7")
    simulated_fleet.drops_message = lambda a, b: False
    settled_after = simulated_fleet.run_until(simulated_fleet.membership_converged, 30)
    assert settled_after is not None and all(
        c.membership.members["c7"].run == simulated_fleet.controllers["c7"].membership.run
        for n, c in simulated_fleet.controllers.items()
        if n != "c7"
    )


def test_a_proposal_retried_through_other_controllers_during_an_election_commits_once():
    simulated_fleet = started_fleet()
    simulated_fleet.call_controller("c7", "propose", "p1", {"k": 1})
    simulated_fleet.kill(wait_for_leader(simulated_fleet))
    for through in ("c5", "c6", "c7"):
        simulated_fleet.call_controller(through, "propose", "p1", {"k": 1})
        simulated_fleet.run(0.3)
    assert_eventually(simulated_fleet, lambda: committed_everywhere(simulated_fleet, "p1"))
    assert (
        sum(e.id == "p1" for e in simulated_fleet.committed.values()) >= 1 and not simulated_fleet.violations
    )
    assert len({c.committed_log.state["ids"]["p1"] for c in simulated_fleet.controllers.values()}) == 1


def test_a_restart_is_a_new_run_and_a_planned_stop_is_announced():
    simulated_fleet = started_fleet()
    old_run = simulated_fleet.controllers["c8"].membership.run
    simulated_fleet.kill("c8")
    simulated_fleet.run(0.5)
    simulated_fleet.start("c8")
    others = [c.membership.members for n, c in simulated_fleet.controllers.items() if n != "c8"]
    assert simulated_fleet.run_until(lambda: all(m["c8"].run > old_run for m in others), 20) is not None
    old_leader = wait_for_leader(simulated_fleet)
    simulated_fleet.call_controller(old_leader, "leave")
    assert (
        simulated_fleet.run_until(lambda: simulated_fleet.leaders() not in ([], [old_leader]), 0.9)
        is not None
    ), "by leadership transfer, not by an election timeout"
    simulated_fleet.kill(old_leader)
    assert (
        simulated_fleet.run_until(lambda: len(simulated_fleet.observers(old_leader, "left")) == 8, 10)
        is not None
    )
    assert not simulated_fleet.observers(old_leader, "dead")


def test_the_log_stays_bounded_and_a_voter_far_behind_gets_a_snapshot():
    simulated_fleet = started_fleet()
    name = next(v for v in VOTERS if v != wait_for_leader(simulated_fleet))
    simulated_fleet.kill(name)
    for n in range(raft.MAX_LOG_ENTRIES + 200):
        simulated_fleet.call_controller(wait_for_leader(simulated_fleet), "propose", f"p{n}", {"n": n})
        if n % 50 == 0:
            simulated_fleet.run(0.3)
    assert_eventually(
        simulated_fleet,
        lambda: (
            simulated_fleet.controllers["c8"].committed_log.state["map"].get("n")
            == raft.MAX_LOG_ENTRIES + 199
        ),
    )
    assert all(
        len(c.voter.persistent.entries) <= raft.MAX_LOG_ENTRIES + 64
        for c in simulated_fleet.controllers.values()
        if c.voter
    )
    simulated_fleet.start(name)
    assert (
        simulated_fleet.run_until(
            lambda: (
                simulated_fleet.controllers[name].voter.persistent.last_index
                >= simulated_fleet.controllers["c8"].committed_log.last_index
            ),
            20,
        )
        is not None
    )
    assert (
        simulated_fleet.controllers[name].voter.persistent.snapshot["last"] > 0
        and not simulated_fleet.violations
    )


def test_packets_are_accepted_only_from_configured_members_of_the_same_fleet():
    packet = encode("one", "a", "b", Ping(1))
    assert decode(packet, "one", "b", {"a", "b"}).message == Ping(1)
    assert decode(packet, "two", "b", {"a", "b"}) == "astray", "of another fleet at a crossed address"
    assert decode(packet, "one", "c", {"a", "c"}) == "astray"
    assert decode(packet, "one", "b", {"c", "b"}) == "unknown"
    assert decode(packet[:-1], "one", "b", {"a", "b"}) == "garbage"
    assert decode(b"\x00" * 70_000, "one", "b", {"a", "b"}) == "garbage"
    assert decode(b"x" * (5 << 20), "one", "b", {"a", "b"}) == "huge"
    deeply_nested = encode("one", "a", "b", Propose("p", {"k": 1})).replace(b"\x81\xa1k\x01", b"\x91" * 2000)
    assert decode(deeply_nested, "one", "b", {"a", "b"}) == "garbage"


def test_datagrams_per_member_do_not_grow_with_the_number_of_members():
    costs = []
    for count in (20, 160):
        simulated_fleet = SimulatedFleet([f"m{n}" for n in range(count)], seed=2)
        simulated_fleet.start()
        assert simulated_fleet.run_until(simulated_fleet.membership_converged, 60) is not None
        sent_before = sum(n for n, _ in simulated_fleet.sent.values())
        simulated_fleet.run(20)
        costs.append((sum(n for n, _ in simulated_fleet.sent.values()) - sent_before) / count / 20)
    assert costs[1] < 1.2 * costs[0] < 5


def test_suspicions_are_refuted_and_updates_of_earlier_incarnations_are_ignored():
    membership = Membership("a", "ab", 1, 0)
    membership.receive(0, "b", Ping(1, [member_update("b", 5, 0, Standing.ALIVE)]))
    membership.receive(0, "b", Ping(2, [member_update("b", 5, 1, Standing.SUSPECT)]))
    assert membership.members["b"].standing is Standing.SUSPECT
    membership.receive(0, "b", Ping(3, [member_update("b", 5, 2, Standing.ALIVE)]))
    membership.receive(0, "b", Ping(4, [member_update("b", 5, 1, Standing.DEAD)]))
    assert membership.members["b"].standing is Standing.ALIVE
    membership.receive(0, "b", Ping(5, [member_update("a", 1, 0, Standing.SUSPECT)]))
    assert membership.incarnation == 1, "a suspicion of the member itself is refuted"


def member_update(name, run, incarnation, standing):
    """Returns a MemberUpdate with the standing as an int, as it is sent."""
    return MemberUpdate(name, run, incarnation, int(standing))


# The checker of small worlds.


@pytest.fixture
def single_entry_appends(monkeypatch):
    """Limits appends to one entry each, so that the checker sees every order of single entries."""
    monkeypatch.setattr(raft, "MAX_ENTRIES_PER_MESSAGE", 1)


def value_entry(term, id):
    """Returns a log entry with the proposal {"k": id}."""
    return Entry(term, "value", id, {"k": id})


def test_the_checker_finds_no_violation_without_a_planted_fault(single_entry_appends):
    checker = Checker(make_world(budget=Budget(crashes=1, proposals=1, time_steps=1)), max_states=8000)
    assert checker.run() is None and checker.states == 8000


def test_the_checker_finds_a_vote_sent_before_it_is_durable_by_the_shortest_path(single_entry_appends):
    found = Checker(
        make_world(budget=Budget(crashes=1, proposals=0, time_steps=0, electable=frozenset("ab"))),
        "vote not durable",
        20_000,
    ).run()
    assert found is not None and "two leaders" in found[1] and len(found[0]) == 7


def test_the_checker_finds_a_commit_by_counting_entries_of_an_older_term(single_entry_appends):
    start = make_world(
        {"a": [value_entry(1, "x")], "b": [value_entry(2, "y")]},
        {n: (2, "b/1") for n in "abc"},
        Budget(crashes=0, proposals=0, time_steps=0, electable=frozenset("ab")),
    )
    checker = Checker(start, "older term counted", 20_000)
    steps, violation = checker.run()
    assert len(steps) == 11 and "leads without entry 1" in violation
    assert Checker(start, None, 8000).run() is None, "the same world without the planted fault"


def test_the_checker_finds_a_log_truncated_by_a_duplicate_append(single_entry_appends):
    logs = {n: [value_entry(1, "x"), value_entry(1, "y")] for n in "ab"}
    budget = Budget(crashes=0, proposals=0, electable=frozenset("b"))
    start = make_world(logs, {n: (1, "a/1") for n in "abc"}, budget, committed_count=2)
    duplicate = AppendEntries((1, "e"), "a/1", 1, 0, 0, [value_entry(1, "x")], 1, 1)
    start.in_flight = frozenset({msgspec.msgpack.encode(Envelope("f", "a", "b", duplicate))})
    steps, violation = Checker(start, "cut too far", 20_000).run()
    assert steps[0] == "a to b: AppendEntries" and "leads without entry 2" in violation
    assert Checker(start, None, 8000).run() is None, "the same world without the planted fault"


def test_the_checker_finds_a_wiped_voter_that_votes(single_entry_appends):
    start = make_world(
        {n: [value_entry(1, "x")] for n in "ab"},
        {n: (1, "a/1") for n in "abc"},
        Budget(crashes=1, wipes=1, proposals=0, time_steps=1, electable=frozenset("ac")),
    )
    found = Checker(start, "wiped votes", 40_000).run()
    assert found is not None and any("starts with nothing" in step for step in found[0])


def test_a_ping_with_the_longest_names_and_most_updates_fits_a_datagram():
    names = [f"{n:040d}" for n in range(120)]
    membership = Membership(names[0], names, 1 << 42, 0)
    membership.receive(0, names[1], FullState([MemberUpdate(n, 1 << 42, 1000, 1) for n in names[1:]], True))
    membership.outbox.clear()
    for _ in range(9):
        membership.tick(membership.next_tick_at())
    pings = [m for _, m in membership.outbox if isinstance(m, Ping)]
    sizes = [len(encode("f" * 40, names[0], names[1], m, 9, 1 << 40, 1 << 20)) for m in pings]
    assert pings and len(pings[0].updates) > 15 and max(sizes) <= MAX_DATAGRAM_BYTES


def test_a_suspect_is_warned_before_its_death_even_if_its_timeout_shrinks_suddenly():
    """Guards against a death without any warning, seen in the rehearsal fleet-split with seed 7.

    One member had reported the suspicion for 15 s, then four more did within a second, which shortened the
    timeout to less than had passed already.
    """
    membership = Membership("a", "abcdef", 1, 0)
    for name in "bcdef":
        membership.receive(0, name, Ping(1, [MemberUpdate(name, 5, 0, 0)]))
    membership.receive(0, "c", Ping(2, [MemberUpdate("b", 5, 0, int(Standing.SUSPECT))]))
    now = 0
    while now < 15 * raft.SECOND:
        now = max(now + raft.SECOND // 10, membership.next_tick_at())
        membership.tick(now)
        if membership.probe:  # all other members answer
            membership.receive(now, membership.probe.target, Ack(membership.probe.seq, []))
        membership.members["b"].suspected_by = {"c"}
    assert membership.members["b"].standing is Standing.SUSPECT and not membership.members["b"].warnings_sent
    membership.outbox.clear()
    for name in "def":
        membership.receive(now, name, Ping(3, [MemberUpdate("b", 5, 0, int(Standing.SUSPECT))]))
    membership.tick(now)
    assert membership.members["b"].standing is Standing.SUSPECT
    assert [
        m
        for to, m in membership.outbox
        if to == "b" and isinstance(m, Ping) and MemberUpdate("b", 5, 0, 1) in m.updates
    ]


def test_the_platform_service_and_the_simulator_adapter_do_not_import_the_fleet():
    code = (
        "import sys, {0}\n"
        "print([m for m in sys.modules if m.startswith(('terndrift.fleet', 'matplotlib', 'grpc'))])"
    )
    for module in ("terndrift.platform.service", "terndrift.adapter.host"):
        result = subprocess.run(
            [sys.executable, "-c", code.format(module)], capture_output=True, text=True, check=True
        )
        assert result.stdout.strip() == "[]", module
