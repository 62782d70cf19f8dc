"""Overload of a fleet apart from its shedding level: failing streamers, retry advice, caps of heavy keys,
strain of one controller. Without I/O."""

import random
from collections import Counter

import pytest

from terndrift.fleet import failing_streamers, heavy_keys, load_supplement, retry_schedule
from terndrift.fleet.failing_streamers import FAILURE_TTL_NS, current_turn, judged, prober_of_turn
from terndrift.fleet.heavy_keys import KeyCaps
from terndrift.fleet.local_overload import LocalOverload, OverloadState
from terndrift.fleet.messages import LoadSupplement
from terndrift.fleet.retry_schedule import RetrySchedule
from terndrift.rehearse import run, virtual

MS = 1_000_000
S = 1000 * MS
NAMES = [f"c{n:02d}" for n in range(12)]


def table_with_row(by=2, ill=100, since=100, well=-1, dead=0, failed=2, played=0):
    """Returns a table with one row, of streamer s1; ages in ms."""
    return {"s1": [by, ill, since, well, dead, failed, played]}


def verdict(now, name, table, attempted=(), present=NAMES):
    """Returns the verdict of one controller on s1: True, False or None."""
    return judged(now, name, table, present, dict(attempted)).get("s1")


# Failing streamers (failing_streamers.py).


def test_one_controller_probes_a_streamer_that_two_exclude_and_all_others_leave_it_out():
    now = 1000 * S
    assert all(verdict(now, n, table_with_row(by=1)) is None for n in NAMES), (
        "a single controller may be partitioned itself"
    )
    assert all("s1" not in judged(now, n, table_with_row(by=1), NAMES, {}) for n in NAMES)
    verdicts = [verdict(now, n, table_with_row()) for n in NAMES]
    assert verdicts.count(True) == 1 and verdicts.count(False) == 11
    assert [verdict(now, n, table_with_row(dead=2)) for n in NAMES].count(None) == 11, (
        "a dead streamer may come back cold"
    )


def test_turns_double_and_rotate_so_that_a_dead_or_idle_prober_loses_only_one():
    turn_by_ms = {0: 0, 999: 0, 1000: 1, 2999: 1, 3000: 2, 6999: 2, 7000: 3, 14_999: 3, 15_000: 4, 23_000: 5}
    assert {ms: current_turn(ms * MS)[0] for ms in turn_by_ms} == turn_by_ms
    probers = [prober_of_turn("s1", n, NAMES) for n in range(40)]
    assert len(set(probers)) > 6 and all(a != b for a, b in zip(probers[:4], probers[1:5], strict=True))
    dead = probers[3]
    assert prober_of_turn("s1", 3, [n for n in NAMES if n != dead]) != dead
    # After its attempt of this turn the prober leaves the streamer out, as all others do; it may attempt it
    # again in its next turn.
    now, excluded_age = 1000 * S, 7500
    prober = probers[3]
    assert verdict(now, prober, table_with_row(since=excluded_age)) is True
    assert verdict(now, prober, table_with_row(since=excluded_age), {"s1": now - 100 * MS}) is False
    assert verdict(now, prober, table_with_row(since=excluded_age), {"s1": now - 600 * MS}) is True


def test_at_most_two_controllers_probe_when_their_ages_differ_by_up_to_500_ms():
    for excluded_age in range(1000, 60_000, 50):
        delays = [random.Random(f"{excluded_age}/{n}").randrange(500) for n in NAMES]
        probing = [
            n
            for n, delay in zip(NAMES, delays, strict=True)
            if verdict(S * 1000, n, table_with_row(since=excluded_age + delay))
        ]
        assert len(probing) <= 2


def test_a_later_successful_set_up_clears_a_streamer_everywhere_and_an_old_failure_is_ignored():
    now = 1000 * S
    assert {verdict(now, n, table_with_row(ill=500, well=200)) for n in NAMES} == {True}
    verdicts = {verdict(now, n, table_with_row(ill=200, well=500, failed=5, played=1)) for n in NAMES}
    assert verdicts == {True, False}, "one set-up was already under way"
    assert judged(now, "c00", table_with_row(ill=200, well=500, failed=5, played=2), NAMES, {}) == {}, (
        "some set-ups succeed"
    )
    assert judged(now, "c00", table_with_row(ill=FAILURE_TTL_NS // MS + 1), NAMES, {}) == {}


def test_rows_that_a_controller_reports_of_its_own_attempts():
    own, now = failing_streamers.FailureReports(), 1000 * S
    own.plays(now, "s2")
    assert own.table(now, {}, {}) == {}, "no controller excludes it"
    assert own.table(now + S, {}, {"s2": [2, 1, 1500, -1, 0, 2, 0]}) == {"s2": [0, -1, 0, 1000, 0, 0, 1]}
    earlier = own.table(now + S, {}, {"s2": [2, 1, 500, -1, 0, 2, 0]})
    assert earlier == {"s2": [0, -1, 0, 1000, 0, 0, 0]}, "the success came before the exclusion"
    own.failed(now, "s1")
    assert own.table(now, {"s1": True}, {}) == {"s1": [1, 0, 0, -1, 1, 1, 0]}
    own.failed(now + S, "s1")
    assert own.table(now + 3 * S, {"s1": False}, {}) == {"s1": [1, 2000, 3000, -1, 0, 2, 0]}
    own.plays(now + 4 * S, "s1")
    assert own.table(now + 5 * S, {"s1": False}, {})["s1"] == [1, 4000, 5000, 1000, 0, 2, 1]
    assert own.table(now + 6 * S, {}, {})["s1"][:4] == [0, 5000, 0, 2000], "others still exclude it"
    assert own.table(now + FAILURE_TTL_NS + 9 * S, {}, {}) == {}


def test_rows_are_merged_by_latest_failure_earliest_exclusion_and_latest_success():
    a, b = table_with_row(1, 300, 4000, -1, 1, 3, 0), table_with_row(1, 900, 9000, 2000, 0, 1, 4)
    assert failing_streamers.merge_tables([a, b]) == {"s1": [2, 300, 9000, 2000, 1, 4, 4]}
    assert failing_streamers.age_table(table_with_row(1, 300, 4000, -1, 1), 500) == {
        "s1": [1, 800, 4500, -1, 1, 2, 0]
    }
    many = {f"s{n}": [1, n, n, -1, 0, 1, 0] for n in range(100)}
    assert list(failing_streamers.merge_tables([many])) == [
        f"s{n}" for n in range(failing_streamers.MAX_ROWS)
    ]


@pytest.mark.parametrize(
    "supplement",
    [
        LoadSupplement(failures=table_with_row(by=9)),
        LoadSupplement(failures=table_with_row(ill=-2)),
        LoadSupplement(failures={"s": [1, 1]}),
        LoadSupplement(failures=table_with_row(played=999)),
        LoadSupplement(failures={f"s{n}": [1, 1, 1, 1, 0, 1, 0] for n in range(99)}),
        LoadSupplement(expected_returns=[-1]),
        LoadSupplement(expected_returns=[0] * 99),
        LoadSupplement(request_counts={"a": 10**9}),
        LoadSupplement(overloaded=["x"] * 99),
        LoadSupplement(shed_shares={"a": 2.0}),
        LoadSupplement(failures=table_with_row(dead=3)),
    ],
)
def test_a_supplement_out_of_bounds_is_rejected(supplement):
    assert not load_supplement.sound(supplement, 2, 1000)
    assert load_supplement.sound(LoadSupplement(), 2, 1000) and load_supplement.sound(None, 2, 1000)


# Retry advice (retry_schedule.py).


def test_retries_advised_by_all_controllers_together_fit_the_capacity():
    """Guards against viewers who are rejected together and come back together.

    Twelve controllers reject 60 viewers a second for four seconds; the capacity is 20 a second, and 10 new
    viewers arrive in each. Reports arrive half a second late. For comparison, `same_delay` counts the retries
    if everybody is given the same delay.
    """
    books, now = [RetrySchedule(20 * S) for _ in NAMES], 1000 * S
    due, same_delay, rng = Counter(), Counter(), random.Random(3)
    for step in range(8):
        now += S // 2
        tables = [b.table(now) for b in books]
        booked = retry_schedule.merge_tables(tables)
        for book in books:
            book.record_capacity(now, 20)
            advice = book.advice(booked, 10 + (booked[0] if booked else 0))
            for _ in range(30 // len(NAMES) + (step % 2)):
                wait = rng.choice(advice)
                book.record_retry(now, wait)
                due[(now + wait) // S] += 1
                same_delay[(now + 2 * S) // S] += 1
    assert sum(due.values()) == sum(same_delay.values()) > 200
    assert max(same_delay.values()) > 40 and max(due.values()) <= 22
    assert len(due) >= 18


def test_without_room_retries_are_late_and_without_data_there_is_no_advice():
    book = RetrySchedule(10 * S)
    assert book.advice([0] * 11, 5) == ()
    book.record_capacity(0, 4)
    advice = book.advice([9] * 11, 13)
    assert min(advice) > 5 * S and max(advice) == 10 * S and len(set(advice)) == 5
    assert book.advice([], 0)[0] == S, "with room the retry is soon"
    assert retry_schedule.merge_tables([[1, 2], [1, 1, 5]]) == [2, 3, 5] and retry_schedule.age_table(
        [1, 2, 3], 2 * S
    ) == [3]
    book.record_retry(S, 3 * S)
    assert book.table(S)[3] == 1 and book.table(5 * S) == [0] * 11


# Heavy keys (heavy_keys.py).


def test_a_title_with_nine_in_ten_requests_of_a_surge_is_capped_before_the_level_rises():
    caps, now = KeyCaps(), 1000 * S
    keys = {"title x": 540, "from a": 600}
    assert caps.step(now, keys, 600, 100, True), "a new heavy key: the level waits for the effect of its cap"
    assert caps.parts == {"title x": 1 - heavy_keys.SHARE * 100 / 540}, (
        "all viewers share the address: there are no others to protect"
    )
    assert not caps.step(now + S, keys, 600, 100, True)
    for n in range(20):
        caps.step(now + (2 + n) * S, keys, 600, 100, False)
    assert caps.parts == {"title x": 1 - heavy_keys.SHARE * 100 / 540}, "its rate has not changed"
    for n in range(12):
        caps.step(now + (22 + n) * S, {"title x": 20}, 38, 100, False)
    assert caps.parts == {}, "it is still heavy, but there is room for all of it"


def test_a_popular_title_is_not_capped_without_overload_or_below_half_of_all_requests():
    caps = KeyCaps()
    assert not caps.step(0, {"title x": 90}, 100, 100, False) and not caps.parts
    assert not caps.step(0, {"title x": 300}, 700, 100, True) and not caps.parts
    assert not caps.step(0, {"from a": 688}, 700, 100, True) and not caps.parts, "one report is late"


def test_keys_are_counted_by_whole_seconds_and_the_heaviest_reported():
    own = heavy_keys.KeyCounter()
    for n in range(30):
        own.count(10 * S, (f"title {n % 10}", "from a"))
    own.count(11 * S, ("title x",) * 7)
    assert own.table(11 * S) == {"from a": 30, **{f"title {n}": 3 for n in range(6)}}
    assert own.table(12 * S) == {"from a": 30, "title x": 7, **{f"title {n}": 3 for n in range(5)}}
    assert heavy_keys.merged([{"a": 1}, {"a": 2, "b": 9}]) == {"b": 9, "a": 3}


def test_an_address_shared_by_all_viewers_is_not_capped_however_few_each_controller_sees():
    """Guards against a cap on an address that all viewers share, as loopback in a rehearsal.

    When controllers reported only keys with five requests or more, it seemed to be nine in ten of all, and
    the fleet rejected viewers for ten seconds after the surge.
    """
    owns = [heavy_keys.KeyCounter() for _ in range(12)]
    for n, own in enumerate(owns):
        for _ in range(n):
            own.count(10 * S, ("from a", f"title {n % 3}"))
    caps = KeyCaps()
    assert (
        not caps.step(0, heavy_keys.merged([o.table(11 * S) for o in owns]), 66, 20, True) and not caps.parts
    )


# Strain of one controller (local_overload.py).


def test_two_late_loops_or_exhausted_resources_raise_the_level_and_recovery_lowers_it_slowly():
    strain = LocalOverload(3)
    assert strain.update(S, 900 * MS, 0.1, 0.1) == 0, "a single delay may be a pause of the machine"
    assert strain.update(2 * S, 900 * MS, 0.1, 0.1) == 0.5 and strain.standing is OverloadState.STRAINED
    assert strain.update(3 * S, 0, 0.95, 0.1) == 1.0 and "descriptors" in strain.why
    assert strain.update(4 * S, 0, 0.85, 0.1) == 1.0 and strain.standing is OverloadState.STRAINED, (
        "not recovered yet"
    )
    assert strain.update(5 * S, 0, 0.5, 0.1) == 1.0 and strain.standing is OverloadState.EASING
    levels = [strain.update((5 + n) * S, 0, 0.5, 0.1) for n in range(1, 8)]
    assert (
        levels == [1.0, 1.0, 0.75, 0.5, 0.25, 0.0, 0.0]
        and strain.standing is OverloadState.EASY
        and not strain.why
    )
    for n in range(20):
        strain.update((20 + n) * S, 0, 0.1, 0.99)
    assert strain.level == 3.0


# Without overload.


def placements_of_a_calm_day(apply_limits):
    """Returns the attempts of a calm fleet; `apply_limits(front)`, if not None, is called at each front every
    100 ms."""
    day = run.load("calm-fleet")
    world = virtual.World(day, 5, 4, 8, 12)
    if apply_limits:

        def repeat(front):
            apply_limits(front)
            world.after(S // 10, repeat, front)

        for n, front in enumerate(world.fronts):
            world.after(S // 2 + n * 7 * MS, repeat, front)
    world.run()
    return [(n["t"], n["streamer"], n["pb"], n["br"]) for n in world.notes["streamers"] if n["what"] == "try"]


def test_without_overload_the_limits_of_the_fleet_change_no_placement():
    without_limits = placements_of_a_calm_day(None)
    assert len(without_limits) > 80
    with_limits = placements_of_a_calm_day(
        lambda front: front.run(front.core.fleet_limits_changed, 3, {}, (S, 2 * S))
    )
    assert with_limits == without_limits
    one_excluded = placements_of_a_calm_day(
        lambda front: front.run(front.core.fleet_limits_changed, 3, {101: False}, ())
    )
    assert {id for _, id, *_ in without_limits[40:]} - {id for _, id, *_ in one_excluded[40:]} == {101}, (
        "the limits reach the decisions"
    )
