"""Members and the record in virtual time: what is lost, cut, killed, stopped, wiped and put back."""

import subprocess
import sys

import msgspec
import pytest

from terndrift.fleet import record
from terndrift.fleet.arena import Arena
from terndrift.fleet.members import Membership, Standing
from terndrift.fleet.messages import (
    DATAGRAM,
    Ack,
    Append,
    Entry,
    MemberUpdate,
    Ping,
    Propose,
    Sealed,
    Whole,
    opened,
    sealed,
)
from terndrift.fleet.worlds import Budget, Checker, small

NAMES = [f"c{n}" for n in range(9)]
VOTERS = NAMES[:5]


def soon(arena, true, within=30):
    assert arena.until(true, within) is not None


def everywhere(arena, id):
    return all(id in c.follower.state["ids"] for c in arena.up.values())


def begun(seed=1, **more):
    """Nine members that see each other, a record begun at c0, all five voters let in."""
    arena = Arena(NAMES, VOTERS, seed, **more)
    arena.start()
    assert arena.until(arena.settled, 30) is not None
    arena.call("c0", "restart", None)
    soon(arena, lambda: all(len(c.follower.state["voters"]) == 5 for c in arena.up.values()))
    return arena


def agreed(arena, id, through, within=15, at=None):
    arena.call(through, "propose", id, {id: 1})
    there = at or list(arena.up)
    return arena.until(lambda: all(id in arena.up[n].follower.state["ids"] for n in there), within)


def leader(arena):
    assert arena.until(lambda: len(arena.leaders()) == 1, 15) is not None
    return arena.leaders()[0]


def split(one):
    return lambda a, b: (a in one) != (b in one)


def test_a_new_leader_takes_over_when_the_old_one_is_killed_and_nothing_is_lost():
    arena = begun()
    assert agreed(arena, "p1", "c7") is not None
    old = leader(arena)
    arena.kill(old)
    assert agreed(arena, "p2", "c8") is not None
    assert arena.leaders() != [old] and arena.until(lambda: len(arena.seen(old, "dead")) == 8, 40) is not None
    arena.start(old)
    assert arena.until(arena.settled, 30) is not None
    assert arena.until(lambda: "p2" in arena.up[old].follower.state["ids"], 10) is not None
    assert not arena.wrong and arena.up[old].follower.state["map"] == {"p1": 1, "p2": 1}


def test_a_leader_that_stood_still_knows_at_once_that_it_leads_no_more():
    arena = begun()
    old = leader(arena)
    arena.stop(old)
    assert agreed(arena, "p1", "c8", at=[n for n in NAMES if n != old]) is not None
    arena.run(10)
    deaths = [c for c in arena.changes if c[1] == old and c[4] is Standing.DEAD]
    arena.go_on(old)
    assert arena.up[old].voter.role is not record.Role.LEADER
    assert arena.until(lambda: "p1" in arena.up[old].follower.state["ids"], 10) is not None
    arena.run(20)
    after = [c for c in arena.changes if c[1] == old and c[4] is Standing.DEAD]
    assert after == deaths, "it held others for dead"
    assert arena.settled() and not arena.wrong


@pytest.mark.parametrize("beside", [0, 1])
def test_a_leader_cut_off_agrees_on_nothing_and_knows_it(beside):
    arena = begun()
    old = leader(arena)
    alone = {old, *[v for v in VOTERS if v != old][:beside]}
    arena.cut = split(alone)
    arena.call(old, "propose", "minority", {"x": 1})
    others = [n for n in NAMES if n not in alone]
    assert agreed(arena, "majority", others[-1], at=others) is not None
    arena.run(8)
    assert arena.up[old].cut_off(arena.now) > 5 * record.SECOND
    assert "x" not in arena.up[old].follower.state["map"]
    assert not any(arena.up[n].cut_off(arena.now) for n in others)
    arena.cut = lambda a, b: False
    soon(arena, lambda: everywhere(arena, "minority"))
    assert arena.until(arena.settled, 40) is not None and not arena.wrong
    assert not arena.up[old].cut_off(arena.now)


def test_a_leader_that_is_heard_and_hears_nothing_gives_way():
    arena = begun()
    old = leader(arena)
    arena.cut = lambda a, b: b == old
    others = [n for n in NAMES if n != old]
    assert agreed(arena, "p1", others[-1], at=others) is not None
    assert leader(arena) != old


def test_nobody_stays_dead_who_lives_though_three_in_ten_datagrams_are_lost():
    arena = begun(loss=0.3)
    arena.run(120)
    assert arena.until(arena.settled, 30) is not None
    assert agreed(arena, "p1", "c8", 40) is not None and not arena.wrong


@pytest.mark.parametrize("back_after", [2, 30])
@pytest.mark.parametrize("killed", [NAMES[::2], NAMES])
def test_half_or_all_are_killed_at_once_and_come_back_with_what_they_kept(killed, back_after):
    arena = begun()
    assert agreed(arena, "p1", "c5") is not None
    arena.kill(*killed)
    arena.run(back_after)
    arena.start(*killed)
    assert agreed(arena, "p2", "c5", 30) is not None and arena.until(arena.settled, 60) is not None
    assert not arena.wrong and all(c.follower.state["map"] == {"p1": 1, "p2": 1} for c in arena.up.values())


@pytest.mark.parametrize("lost", ["wipe", "rewind"])
def test_a_voter_that_lost_what_it_confirmed_is_let_in_again_under_a_new_identity(lost):
    arena = begun()
    name = next(v for v in VOTERS if v != leader(arena))
    arena.copy(name)
    before = arena.up[name].voter.identity
    for n in range(5):
        assert agreed(arena, f"p{n}", "c8") is not None
    arena.kill(name)
    getattr(arena, lost)(name)
    arena.run(1)
    arena.start(name)
    voter = arena.up[name].voter
    assert voter.role in (record.Role.OUT, record.Role.DOUBTING)
    assert arena.until(lambda: voter.role is record.Role.FOLLOWER, 20) is not None
    assert voter.identity != before
    there = arena.up["c8"].follower
    assert arena.until(lambda: there.state["voters"].get(name) == voter.identity, 10) is not None
    assert agreed(arena, "last", "c8") is not None and not arena.wrong


def test_a_voter_that_only_was_down_keeps_its_identity():
    arena = begun()
    name = next(v for v in VOTERS if v != leader(arena))
    before = arena.up[name].voter.identity
    arena.kill(name)
    assert agreed(arena, "p1", "c8") is not None
    arena.start(name)
    assert arena.until(lambda: arena.up[name].voter.role is record.Role.FOLLOWER, 10) is not None
    assert arena.up[name].voter.identity == before


def test_two_of_five_wiped_while_a_third_is_cut_off_agree_on_nothing_until_it_is_back():
    arena = begun()
    assert agreed(arena, "p1", "c8") is not None
    first = leader(arena)
    one, two, third = [v for v in VOTERS if v != first][:3]
    arena.cut = split({third})
    for name in (one, two):
        arena.kill(name)
        arena.wipe(name)
    arena.run(2)
    arena.start(one, two)
    arena.call("c8", "propose", "p2", {"p2": 1})
    arena.run(15)
    assert not any("p2" in c.follower.state["ids"] for c in arena.up.values())
    arena.cut = lambda a, b: False
    soon(arena, lambda: everywhere(arena, "p2"))
    assert arena.until(lambda: len(arena.up["c8"].follower.state["voters"]) == 5, 30) is not None
    assert not arena.wrong and arena.up["c8"].follower.state["map"]["p1"] == 1


def test_with_all_stores_lost_nothing_is_agreed_until_an_operator_says_so_and_all_see_the_epoch():
    arena = begun()
    assert agreed(arena, "p1", "c8") is not None
    arena.kill(*VOTERS)
    for name in VOTERS:
        arena.wipe(name)
    arena.run(1)
    arena.start(*VOTERS)
    arena.call("c8", "propose", "p2", {"p2": 1})
    arena.run(20)
    assert not arena.leaders() and not any("p2" in c.follower.state["ids"] for c in arena.up.values())
    arena.call("c1", "restart", {"map": {"p1": 1}, "ids": {"p1": 1}})
    assert arena.until(lambda: all(c.follower.epoch[0] == 2 for c in arena.up.values()), 20) is not None
    assert agreed(arena, "p3", "c7") is not None
    assert arena.until(lambda: len(arena.up["c8"].follower.state["voters"]) == 5, 30) is not None
    assert arena.up["c8"].follower.state["map"]["p1"] == 1


def test_two_sides_with_different_news_are_of_one_mind_again_within_half_a_minute():
    arena = begun(seed=4)
    arena.cut = split(set(NAMES[:4]))
    arena.run(40)
    assert len(arena.seen("c0", "dead")) == 5 and len(arena.seen("c8", "dead")) == 4
    arena.kill("c3", "c7")
    arena.run(40)
    arena.start("c7")
    arena.cut = lambda a, b: False
    healed = arena.until(arena.settled, 30)
    assert healed is not None and all(
        c.members.members["c7"].run == arena.up["c7"].members.run for n, c in arena.up.items() if n != "c7"
    )


def test_a_proposal_sent_again_through_another_while_the_leader_changes_is_agreed_once():
    arena = begun()
    arena.call("c7", "propose", "p1", {"k": 1})
    arena.kill(leader(arena))
    for through in ("c5", "c6", "c7"):
        arena.call(through, "propose", "p1", {"k": 1})
        arena.run(0.3)
    soon(arena, lambda: everywhere(arena, "p1"))
    assert sum(e.id == "p1" for e in arena.agreed.values()) >= 1 and not arena.wrong
    assert len({c.follower.state["ids"]["p1"] for c in arena.up.values()}) == 1


def test_a_restart_is_a_new_run_and_a_planned_stop_is_said():
    arena = begun()
    run = arena.up["c8"].members.run
    arena.kill("c8")
    arena.run(0.5)
    arena.start("c8")
    others = [c.members.members for n, c in arena.up.items() if n != "c8"]
    assert arena.until(lambda: all(m["c8"].run > run for m in others), 20) is not None
    old = leader(arena)
    arena.call(old, "leave")
    assert arena.until(lambda: arena.leaders() not in ([], [old]), 0.9) is not None, "told, not by waiting"
    arena.kill(old)
    assert arena.until(lambda: len(arena.seen(old, "left")) == 8, 10) is not None
    assert not arena.seen(old, "dead")


def test_the_log_stays_bounded_and_one_that_is_far_behind_gets_the_state():
    arena = begun()
    name = next(v for v in VOTERS if v != leader(arena))
    arena.kill(name)
    for n in range(record.LONGEST + 200):
        arena.call(leader(arena), "propose", f"p{n}", {"n": n})
        if n % 50 == 0:
            arena.run(0.3)
    soon(arena, lambda: arena.up["c8"].follower.state["map"].get("n") == record.LONGEST + 199)
    assert all(len(c.voter.d.entries) <= record.LONGEST + 64 for c in arena.up.values() if c.voter)
    arena.start(name)
    assert arena.until(lambda: arena.up[name].voter.d.last >= arena.up["c8"].follower.last, 20) is not None
    assert arena.up[name].voter.d.base["last"] > 0 and not arena.wrong


def test_what_others_say_is_taken_only_from_whom_the_records_name():
    packet = sealed("one", "a", "b", Ping(1))
    assert opened(packet, "one", "b", {"a", "b"}).message == Ping(1)
    assert opened(packet, "two", "b", {"a", "b"}) == "astray", "two fleets whose addresses cross"
    assert opened(packet, "one", "c", {"a", "c"}) == "astray"
    assert opened(packet, "one", "b", {"c", "b"}) == "unknown"
    assert opened(packet[:-1], "one", "b", {"a", "b"}) == "garbage"
    assert opened(b"\x00" * 70_000, "one", "b", {"a", "b"}) == "garbage"
    assert opened(b"x" * (5 << 20), "one", "b", {"a", "b"}) == "huge"
    deep = sealed("one", "a", "b", Propose("p", {"k": 1})).replace(b"\x81\xa1k\x01", b"\x91" * 2000)
    assert opened(deep, "one", "b", {"a", "b"}) == "garbage"


def test_what_a_member_costs_a_second_does_not_grow_with_members():
    costs = []
    for count in (20, 160):
        arena = Arena([f"m{n}" for n in range(count)], seed=2)
        arena.start()
        assert arena.until(arena.settled, 60) is not None
        before = sum(n for n, _ in arena.sent.values())
        arena.run(20)
        costs.append((sum(n for n, _ in arena.sent.values()) - before) / count / 20)
    assert costs[1] < 1.2 * costs[0] < 5


def test_a_suspect_refutes_and_news_of_an_earlier_incarnation_counts_no_more():
    one = Membership("a", "ab", 1, 0)
    one.received(0, "b", Ping(1, [news("b", 5, 0, Standing.ALIVE)]))
    one.received(0, "b", Ping(2, [news("b", 5, 1, Standing.SUSPECT)]))
    assert one.members["b"].standing is Standing.SUSPECT
    one.received(0, "b", Ping(3, [news("b", 5, 2, Standing.ALIVE)]))
    one.received(0, "b", Ping(4, [news("b", 5, 1, Standing.DEAD)]))
    assert one.members["b"].standing is Standing.ALIVE
    one.received(0, "b", Ping(5, [news("a", 1, 0, Standing.SUSPECT)]))
    assert one.incarnation == 1, "said of itself, it is refuted"


def news(name, run, incarnation, standing):
    return MemberUpdate(name, run, incarnation, int(standing))


# Small worlds.


@pytest.fixture
def one_by_one(monkeypatch):
    monkeypatch.setattr(record, "MOST", 1)


def entry(term, id):
    return Entry(term, "value", id, {"k": id})


def test_a_small_world_holds_as_far_as_it_is_searched(one_by_one):
    checker = Checker(small(budget=Budget(crashes=1, proposals=1, passes=1)), most=8000)
    assert checker.run() is None and checker.states == 8000


def test_a_vote_sent_before_it_is_kept_is_found_by_the_shortest_way(one_by_one):
    found = Checker(
        small(budget=Budget(crashes=1, proposals=0, passes=0, standers=frozenset("ab"))),
        "vote not durable",
        20_000,
    ).run()
    assert found is not None and "two leaders" in found[1] and len(found[0]) == 7


def test_an_entry_of_an_older_term_that_is_counted_is_found(one_by_one):
    start = small(
        {"a": [entry(1, "x")], "b": [entry(2, "y")]},
        {n: (2, "b/1") for n in "abc"},
        Budget(crashes=0, proposals=0, passes=0, standers=frozenset("ab")),
    )
    checker = Checker(start, "older term counted", 20_000)
    steps, what = checker.run()
    assert len(steps) == 11 and "leads without entry 1" in what
    assert Checker(start, None, 8000).run() is None, "the same world without the fault"


def test_a_log_that_is_cut_too_far_by_a_message_that_comes_again_is_found(one_by_one):
    logs = {n: [entry(1, "x"), entry(1, "y")] for n in "ab"}
    budget = Budget(crashes=0, proposals=0, standers=frozenset("b"))
    start = small(logs, {n: (1, "a/1") for n in "abc"}, budget, agreed=2)
    again = Append((1, "e"), "a/1", 1, 0, 0, [entry(1, "x")], 1, 1)
    start.flying = frozenset({msgspec.msgpack.encode(Sealed("f", "a", "b", again))})
    steps, what = Checker(start, "cut too far", 20_000).run()
    assert steps[0] == "a to b: Append" and "leads without entry 2" in what
    assert Checker(start, None, 8000).run() is None, "the same world without the fault"


def test_a_wiped_voter_that_votes_is_found(one_by_one):
    start = small(
        {n: [entry(1, "x")] for n in "ab"},
        {n: (1, "a/1") for n in "abc"},
        Budget(crashes=1, wipes=1, proposals=0, passes=1, standers=frozenset("ac")),
    )
    found = Checker(start, "wiped votes", 40_000).run()
    assert found is not None and any("starts with nothing" in step for step in found[0])


def test_the_longest_names_and_most_news_still_fit_a_datagram():
    names = [f"{n:040d}" for n in range(120)]
    one = Membership(names[0], names, 1 << 42, 0)
    one.received(0, names[1], Whole([MemberUpdate(n, 1 << 42, 1000, 1) for n in names[1:]], True))
    one.out.clear()
    for _ in range(9):
        one.tick(one.next_at())
    pings = [m for _, m in one.out if isinstance(m, Ping)]
    sizes = [len(sealed("f" * 40, names[0], names[1], m, 9, 1 << 40, 1 << 20)) for m in pings]
    assert pings and len(pings[0].updates) > 15 and max(sizes) <= DATAGRAM


def test_a_suspect_is_told_before_it_is_given_up_however_suddenly_its_time_runs_out():
    """fleet-split, seed 7: one accuser for 15 s, then four more within a second, and dead at once."""
    one = Membership("a", "abcdef", 1, 0)
    for name in "bcdef":
        one.received(0, name, Ping(1, [MemberUpdate(name, 5, 0, 0)]))
    one.received(0, "c", Ping(2, [MemberUpdate("b", 5, 0, int(Standing.SUSPECT))]))
    now = 0
    while now < 15 * record.SECOND:
        now = max(now + record.SECOND // 10, one.next_at())
        one.tick(now)
        if one.probe:  # everybody else answers
            one.received(now, one.probe.target, Ack(one.probe.seq, []))
        one.members["b"].suspected_by = {"c"}
    assert one.members["b"].standing is Standing.SUSPECT and not one.members["b"].warnings_sent
    one.out.clear()
    for name in "def":
        one.received(now, name, Ping(3, [MemberUpdate("b", 5, 0, int(Standing.SUSPECT))]))
    one.tick(now)
    assert one.members["b"].standing is Standing.SUSPECT
    assert [
        m
        for to, m in one.out
        if to == "b" and isinstance(m, Ping) and MemberUpdate("b", 5, 0, 1) in m.updates
    ]


def test_the_platform_and_the_simulators_way_in_know_nothing_of_the_fleet():
    code = (
        "import sys, {0}\n"
        "print([m for m in sys.modules if m.startswith(('terndrift.fleet', 'matplotlib', 'grpc'))])"
    )
    for module in ("terndrift.platform.service", "terndrift.adapter.host"):
        ran = subprocess.run(
            [sys.executable, "-c", code.format(module)], capture_output=True, text=True, check=True
        )
        assert ran.stdout.strip() == "[]", module
