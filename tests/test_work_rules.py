"""Planned work as a function of what is agreed and seen: times, load, surprises, controllers' own
machines."""

import pytest
from test_work import seen

from terndrift.fleet import permits, work
from terndrift.fleet.messages import Holds
from terndrift.fleet.room import Machine, Room
from terndrift.fleet.work import State, Work
from terndrift.fleet.yard import NAMES, SECOND, VOTERS, Site, plan

DAY_MS = 24 * 3600 * 1000


def state(rows, plans=None, rev=5):
    """A record's map of rows {machine: (state, more)}, all of plan p unless `plans` says more."""
    map = {work.REV: rev}
    for name, (where, more) in rows.items():
        map[f"work/m/{name}"] = {
            "plan": "p",
            "state": where.value,
            "n": 1,
            "by": "ops",
            "log": [],
            "rev": 1,
            "was": 0,
            **more,
        }
    plans = plans or {"p": plan(rows)}
    return {"map": map | {f"work/plan/{n}": {"paused": False, **p} for n, p in plans.items()}}


def next_state(one, now, table, at):
    """{machine: state} that the one next step makes."""
    out = {}
    for _, value in one.steps(now, table, at):
        out |= {k.removeprefix("work/m/"): v["state"] for k, v in value.items() if k.startswith("work/m/")}
    return out


def words(at, now=0, **members):
    at.holds = {name: (said, now) for name, said in members.items()}
    return at


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
def test_a_plan_has_its_time_and_its_quiet_times_by_the_clock_of_most(clock, why):
    hours, minutes = map(int, clock.split(":"))
    day, wall = 20_000 * 86_400, 20_000 * DAY_MS + (hours * 60 + minutes) * 60_000
    ends = day + 20 * 3600 if clock != "23:30" else 0
    value = plan(["s0"], **{"from": day + 8 * 3600, "until": ends}, quiet=["11:30-13:00", "23:00-01:00"])
    at = words(seen(), c0=Holds(5, {}, wall), c1=Holds(5, {}, wall + 20), c2=Holds(5, {}, wall + 3_600_000))
    at.wall = wall + 3_600_000  # the leader's own is the one an hour ahead
    one = Work()
    went = next_state(one, 0, state({"s0": (State.WAITING, {})}, {"p": value}), at)
    assert (went, one.why["s0"]) == (({}, why) if why else ({"s0": State.TOLD.value}, ""))
    alone = words(seen(), c2=at.holds["c2"][0])
    alone.members = frozenset({"c0", "c1", "c2"})
    assert "have not been told yet" in one.not_yet(0, {**value, "paused": False}, alone)


def test_overload_holds_what_has_not_begun_and_begun_drains_go_on_or_back_as_stated():
    load = {"c0": Holds(5, {"s0": 1}, 0, 40, 0), "c1": Holds(5, {"s0": 0}, 0, 10, 20)}
    rows = {"s0": (State.TOLD, {}), "s1": (State.WAITING, {})}
    for begun, goes in (("go on", {}), ("back", {"s0": State.WAITING.value})):
        one, at = Work(), words(seen(), **load)
        at.members = frozenset(load)
        value = plan(rows, overload=0.1, begun=begun, most=2)
        assert next_state(one, 0, state(rows, {"p": value}), at) == goes
        if not goes:
            assert one.why["s1"] == "40% of what viewers asked for is turned away (10% may be)"
            assert next_state(
                one,
                10 * SECOND,
                state(rows, {"p": value}),
                words(at, 10 * SECOND, c0=Holds(5, {"s0": 1}, 0, 40, 1)),
            ) == {"s1": State.TOLD.value}
    few = words(seen(), c0=Holds(5, {}, 0, 4, 4))
    assert few.turned_away(0) == 0, "four say nothing of a share"


def test_what_says_that_it_is_ready_and_is_not_stays_warming_up_then_is_overdue():
    rows = {"s0": (State.WARMING, {})}
    one, table = Work(), state(rows)
    ill = Holds(5, {}, ill=["s0"])
    assert next_state(one, 0, table, words(seen(), c1=ill)) == {}
    assert next_state(one, 3 * SECOND, table, words(seen(), 3 * SECOND, c1=ill)) == {}
    assert one.why["s0"] == "it says that it is ready, and c1 can't set up there"
    assert next_state(one, 4 * SECOND, table, words(seen(), 4 * SECOND, c1=Holds(5, {}))) == {"s0": "done"}
    assert next_state(one, 9 * SECOND, table, words(seen(), 9 * SECOND, c1=ill)) == {"s0": "overdue"}
    back = seen(s0={"started": 77})
    [(_, value)] = Work().steps(0, state({"s0": (State.OVERDUE, {"was": 5})}), back)
    row = value["work/m/s0"]
    assert (row["state"], row["was"]) == ("coming back", 77), "that start brings it back once"
    assert next_state(Work(), 0, state({"s0": (State.OVERDUE, {"was": 77})}), back) == {}


def test_a_machine_back_under_another_start_is_taken_back_whoever_leads_and_one_touched_early_goes_on():
    back = seen(s0={"started": 77})
    assert next_state(Work(), 0, state({"s0": (State.OUT, {"was": 5})}), back) == {"s0": "coming back"}
    assert next_state(Work(), 0, state({"s0": (State.OUT, {"was": 77})}), back) == {}
    assert next_state(Work(), 0, state({"s0": (State.BACK, {"was": 5})}), seen(s0={"ready": False})) == {}
    told = [["waiting", "ops", 0], ["told to drain", "leader", 500]]
    old, new = seen(s0={"started": 400_000_000}), seen(s0={"started": 600_000_000})
    ahead = state({"s0": (State.OUT, {"was": 0, "log": told})})
    assert next_state(Work(), 0, ahead, old) == {}, "an old start that a clock ahead took for long ago"
    assert next_state(Work(), 0, ahead, new) == {"s0": "coming back"}
    early, one = words(back, c0=Holds(5, {"s0": 2})), Work()
    early.members = frozenset({"c0"})
    assert next_state(one, 0, state({"s0": (State.TOLD, {"was": 5})}), early) == {}
    assert "started anew without a permit" in one.why["s0"]


def test_a_controller_that_leads_again_counts_a_later_drain_of_the_same_machine_anew():
    """It saw the first one agreed long ago, and nothing of how that ended."""
    one, at = Work(), words(seen())
    at.members = frozenset({"c0"})
    assert next_state(one, 0, state({"s0": (State.TOLD, {"rev": 2})}), at) == {}
    later = 1000 * SECOND
    assert next_state(one, later, state({"s0": (State.TOLD, {"rev": 30})}, rev=30), at) == {}
    assert "c0 may still place on it" in one.why["s0"]
    limit = int((work.LIMIT + 6 * SECOND) * 1.02) + SECOND
    assert next_state(one, later + limit, state({"s0": (State.TOLD, {"rev": 30})}, rev=30), at) == {}
    assert next_state(one, later + limit + 1, state({"s0": (State.TOLD, {"rev": 30})}, rev=30), at) == {
        "s0": "empty"
    }


def test_a_drain_gives_way_when_a_titles_other_holder_dies():
    holders = {"titles": frozenset({"lesson"})}
    rows, one = {"s0": (State.TOLD, {})}, Work()
    both = words(seen(s0=holders, s1=holders), c0=Holds(5, {"s0": 1}))
    both.members = frozenset({"c0"})
    assert next_state(one, 0, state(rows), both) == {}
    left = words(seen(s0=holders, s1={**holders, "ready": False}), c0=Holds(5, {"s0": 1}))
    assert next_state(one, 0, state(rows), left) == {"s0": "waiting"}
    assert next_state(one, 0, state({"s0": (State.OUT, {})}), left) == {}, "nothing out is called back"


def test_what_was_out_before_the_record_began_anew_is_found_named_and_left_alone_until_an_operator_says():
    row = {"plan": "old", "state": "out", "n": 3, "by": "leader", "rev": 2, "was": 0, "log": []}
    empty = {"map": {}}
    [(_, value)] = Work().steps(0, empty, words(seen(), c1=Holds(0, {}, left={"s2": row})))
    assert value["work/m/s2"]["state"] == "found out" and value["work/m/s2"]["plan"] == "old"
    table = {"map": {k: v for k, v in value.items() if k != "?"}}
    assert work.told_off(table) == {"s2"} and work.busy(table, ["s2", "s3"]) == ["s2"]
    one = Work()
    assert one.steps(0, table, seen()) == [] and "an operator says" in one.why["s2"]
    new, _ = work.added(table, plan(["s0"], most=1), "new", "ops"), None
    table = {"map": {**table["map"], **{k: v for k, v in new[1].items() if k != "?"}}}
    assert one.steps(0, table, seen()) == [] and "1 are missing where 1 may be: s2" in one.why["s0"]
    _, value = work.step(work.rev(table), "s2", work.rows(table)["s2"], State.BACK, "ops")
    table = {"map": {**table["map"], **{k: v for k, v in value.items() if k != "?"}}}
    assert next_state(one, 1, table, seen()) == {"s2": "warming up"}


def test_controllers_go_one_by_one_and_no_voter_goes_while_another_is_missing():
    def room(using=(), **more):
        all_of = {
            f"controller:c{n}": Machine(
                f"controller:c{n}", -1, "", 0.0, more.get(f"c{n}", True), 1, voter=n < 3
            )
            for n in range(5)
        }
        return Room({**seen().machines, **all_of}, set(using))

    value = plan([], most_controllers=2)
    assert room().holds_up("controller:c0", value) == room().holds_up("controller:c4", value) == ""
    assert "c4 controllers" not in room(c4=False).holds_up("controller:c0", value)
    assert "keeps the record, and controller:c1" in room(c1=False).holds_up("controller:c0", value)
    assert "keeps the record" in room({"controller:c1"}).holds_up("controller:c2", value)
    assert room({"controller:c1"}).holds_up("controller:c3", value) == ""
    assert "2 controllers are missing" in room({"controller:c1"}, c3=False).holds_up("controller:c4", value)
    assert room({"controller:c1"}).holds_up("s0", plan(["s0"])) == "", "streamers are counted by themselves"
    assert "not there" in room(c4=False).holds_up("controller:c4", value)


def test_a_controller_drains_gives_up_leading_is_let_go_of_and_taken_back_by_its_new_start():
    site = Site(seed=7)
    arena = site.arena
    site.add("own", plan([f"controller:{n}" for n in NAMES], most_controllers=1, drain=3 * SECOND))
    let_go, led_while_off = [], []

    def worker():
        for name in NAMES:
            c = arena.up.get(name)
            if c and f"controller:{name}" in c.off(arena.now)[0]:
                site.plays[name] = []
                if arena.now - told.setdefault(name, arena.now) > 3 * SECOND and c.leader() == name:
                    led_while_off.append(name)
        rows = work.rows(arena.up[next(iter(arena.up))].follower.state)
        for machine, row in rows.items():
            name = machine.removeprefix("controller:")
            if row["state"] == "out" and name in arena.up and name not in let_go:
                let_go.append(name)
                arena.kill(name)
                arena.at(arena.now + 2 * SECOND, lambda n=name: (arena.start(n), site.host(n)))
        return len(rows) == 6 and all(r["state"] == "done" for r in rows.values())

    told, most_voters_away = {}, []
    assert site.go(400, lambda: most_voters_away.append(sum(v not in arena.up for v in VOTERS)) or worker())
    assert sorted(let_go) == NAMES and max(most_voters_away) == 1 and not led_while_off


def test_when_each_is_likely_to_go_follows_the_order_and_the_budgets():
    rows = {f"s{n}": (State.WAITING, {}) for n in range(4)}
    table = state(rows, {"p": plan(rows, most=2, ready_share=0.0)})  # each takes 6 + 4 + 2 s
    assert Work().likely(0, table, seen()) == {"s0": 0.0, "s1": 0.0, "s2": 12.0, "s3": 12.0}
    rows["s0"] = State.OUT, {}
    one, table = Work(), state(rows, {"p": plan(rows, most=1, ready_share=0.0)})
    one.steps(0, table, seen())
    assert one.likely(4 * SECOND, table, seen()) == {"s1": 2.0, "s3": 14.0, "s2": 26.0}, (
        "s2 is all that is left of its rack"
    )
    paused = state(rows, {"p": plan(rows, most=1, paused=True)})
    assert set(one.likely(0, paused, seen()).values()) == {None}


def test_spans_are_what_the_log_says_and_what_has_ended_has_ended():
    log = [["waiting", "ops", 1000], ["told to drain", "leader", 3000], ["given back", "ops", 4000]]
    table = state({"s0": (State.GIVEN_BACK, {"log": log}), "s1": (State.TOLD, {"log": log[:2]})})
    assert work.spans(table, 9000) == {
        "s0": [("waiting", 1000, 3000), ("told to drain", 3000, 4000), ("given back", 4000, 4000)],
        "s1": [("waiting", 1000, 3000), ("told to drain", 3000, 9000)],
    }


def test_of_two_plans_for_one_machine_the_second_is_refused_also_if_both_are_handed_over_at_once():
    one = {"map": {}}
    first, second = work.added(one, plan(["s0"]), "a", "ops"), work.added(one, plan(["s0", "s1"]), "b", "ops")
    from terndrift.fleet.agreed import applied, beginning
    from terndrift.fleet.messages import Entry

    table = beginning((1, "e"))
    for n, (id, value) in enumerate((first, second), 1):
        applied(table, n, Entry(1, "value", f"{id}{n}", value))
    assert list(table["ids"].values()) == [1, -2], "its proposer can tell that it did not count"
    assert set(work.plans(table)) == {"a"} and work.busy(table, ["s0", "s1"]) == ["s0"]


@pytest.mark.parametrize("fault", permits.FAULTS)
def test_a_small_world_of_permits_finds_what_is_planted(fault):
    one = permits.Checker(fault, asks=1, tells=1, crashes=0)
    way, what = one.run()
    assert "places on what may be touched" in what and way[-1].endswith("places"), (way, one.states)
    assert len(way) <= 8


def test_a_small_world_of_permits_holds_as_far_as_it_is_searched():
    one = permits.Checker(most=15_000)
    assert one.run() is None and one.states == 15_000
