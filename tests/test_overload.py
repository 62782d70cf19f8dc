"""What a fleet makes of an overload beside its level: findings, advice, crowds, one controller's own strain.
Without I/O."""

import random
from collections import Counter

import pytest

from terndrift.fleet import beside, crowds, findings, returns
from terndrift.fleet.crowds import Caps
from terndrift.fleet.findings import FADES, judged, prober, turn
from terndrift.fleet.messages import Beside
from terndrift.fleet.returns import Book
from terndrift.fleet.strain import Standing, Strain
from terndrift.rehearse import run, virtual

MS = 1_000_000
S = 1000 * MS
NAMES = [f"c{n:02d}" for n in range(12)]


def row(by=2, ill=100, since=100, well=-1, dead=0, failed=2, played=0):
    return {"s1": [by, ill, since, well, dead, failed, played]}


def may(now, name, table, tried=(), there=NAMES):
    return judged(now, name, table, there, dict(tried)).get("s1")


# Findings.


def test_one_controller_tries_what_two_have_set_aside_and_all_others_leave_it_out():
    now = 1000 * S
    assert all(may(now, n, row(by=1)) is None for n in NAMES), "one alone may be cut off itself"
    assert all("s1" not in judged(now, n, row(by=1), NAMES, {}) for n in NAMES)
    said = [may(now, n, row()) for n in NAMES]
    assert said.count(True) == 1 and said.count(False) == 11
    assert [may(now, n, row(dead=2)) for n in NAMES].count(None) == 11, "it may come back cold"


def test_turns_double_and_go_round_so_that_a_prober_who_is_killed_or_idle_loses_one():
    begins = {0: 0, 999: 0, 1000: 1, 2999: 1, 3000: 2, 6999: 2, 7000: 3, 14_999: 3, 15_000: 4, 23_000: 5}
    assert {ms: turn(ms * MS)[0] for ms in begins} == begins
    probers = [prober("s1", n, NAMES) for n in range(40)]
    assert len(set(probers)) > 6 and all(a != b for a, b in zip(probers[:4], probers[1:5], strict=True))
    dead = probers[3]
    assert prober("s1", 3, [n for n in NAMES if n != dead]) != dead
    # it has tried in this turn, so it leaves it out as all others do; in its next turn it may again
    now, since = 1000 * S, 7500
    mine = probers[3]
    assert may(now, mine, row(since=since)) is True
    assert may(now, mine, row(since=since), {"s1": now - 100 * MS}) is False
    assert may(now, mine, row(since=since), {"s1": now - 600 * MS}) is True


def test_members_whose_times_are_a_little_apart_have_two_probers_at_most():
    for since in range(1000, 60_000, 50):
        late = [random.Random(f"{since}/{n}").randrange(500) for n in NAMES]
        trying = [n for n, by in zip(NAMES, late, strict=True) if may(S * 1000, n, row(since=since + by))]
        assert len(trying) <= 2


def test_a_set_up_that_played_since_says_otherwise_everywhere_and_an_old_failure_says_nothing():
    now = 1000 * S
    assert {may(now, n, row(ill=500, well=200)) for n in NAMES} == {True}
    late = {may(now, n, row(ill=200, well=500, failed=5, played=1)) for n in NAMES}
    assert late == {True, False}, "one was on its way"
    assert judged(now, "c00", row(ill=200, well=500, failed=5, played=2), NAMES, {}) == {}, "some play"
    assert judged(now, "c00", row(ill=FADES // MS + 1), NAMES, {}) == {}


def test_what_a_controller_tells_of_its_own_tries():
    own, now = findings.Own(), 1000 * S
    own.plays(now, "s2")
    assert own.table(now, {}, {}) == {}, "it has nothing against it, and nobody has"
    assert own.table(now + S, {}, {"s2": [2, 1, 1500, -1, 0, 2, 0]}) == {"s2": [0, -1, 0, 1000, 0, 0, 1]}
    before = own.table(now + S, {}, {"s2": [2, 1, 500, -1, 0, 2, 0]})
    assert before == {"s2": [0, -1, 0, 1000, 0, 0, 0]}, "that was before it began to fail"
    own.failed(now, "s1")
    assert own.table(now, {"s1": True}, {}) == {"s1": [1, 0, 0, -1, 1, 1, 0]}
    own.failed(now + S, "s1")
    assert own.table(now + 3 * S, {"s1": False}, {}) == {"s1": [1, 2000, 3000, -1, 0, 2, 0]}
    own.plays(now + 4 * S, "s1")
    assert own.table(now + 5 * S, {"s1": False}, {})["s1"] == [1, 4000, 5000, 1000, 0, 2, 1]
    assert own.table(now + 6 * S, {}, {})["s1"][:4] == [0, 5000, 0, 2000], "others have it set aside still"
    assert own.table(now + FADES + 9 * S, {}, {}) == {}


def test_rows_are_merged_by_the_youngest_failure_the_first_and_the_last_that_played():
    a, b = row(1, 300, 4000, -1, 1, 3, 0), row(1, 900, 9000, 2000, 0, 1, 4)
    assert findings.merged([a, b]) == {"s1": [2, 300, 9000, 2000, 1, 4, 4]}
    assert findings.older(row(1, 300, 4000, -1, 1), 500) == {"s1": [1, 800, 4500, -1, 1, 2, 0]}
    many = {f"s{n}": [1, n, n, -1, 0, 1, 0] for n in range(100)}
    assert list(findings.merged([many])) == [f"s{n}" for n in range(findings.ROWS)]


@pytest.mark.parametrize(
    "wrong",
    [
        Beside(found=row(by=9)),
        Beside(found=row(ill=-2)),
        Beside(found={"s": [1, 1]}),
        Beside(found=row(played=999)),
        Beside(found={f"s{n}": [1, 1, 1, 1, 0, 1, 0] for n in range(99)}),
        Beside(back=[-1]),
        Beside(back=[0] * 99),
        Beside(keys={"a": 10**9}),
        Beside(strained=["x"] * 99),
        Beside(caps={"a": 2.0}),
        Beside(found=row(dead=3)),
    ],
)
def test_what_can_not_be_true_is_not_heard(wrong):
    assert not beside.sound(wrong, 2, 1000)
    assert beside.sound(Beside(), 2, 1000) and beside.sound(None, 2, 1000)


# When to come back.


def test_advice_goes_where_room_is_left_and_the_sum_of_all_fits_what_can_be_served():
    """Twelve controllers turn away 60 a second for four seconds; 20 a second can be served, 10 new ones come
    in each. What all told comes half a second late. Before: everybody is told the same second."""
    books, now = [Book(20 * S) for _ in NAMES], 1000 * S
    due, before, chance = Counter(), Counter(), random.Random(3)
    for beat in range(8):
        now += S // 2
        tables = [b.table(now) for b in books]
        back = returns.merged(tables)
        for one in books:
            one.serves(now, 20)
            advice = one.advice(back, 10 + (back[0] if back else 0))
            for _ in range(30 // len(NAMES) + (beat % 2)):
                wait = chance.choice(advice)
                one.books(now, wait)
                due[(now + wait) // S] += 1
                before[(now + 2 * S) // S] += 1
    assert sum(due.values()) == sum(before.values()) > 200
    assert max(before.values()) > 40 and max(due.values()) <= 22
    assert len(due) >= 18


def test_without_room_they_come_as_late_as_they_may_be_asked_and_nothing_is_said_of_what_is_not_known():
    book = Book(10 * S)
    assert book.advice([0] * 11, 5) == ()
    book.serves(0, 4)
    advice = book.advice([9] * 11, 13)
    assert min(advice) > 5 * S and max(advice) == 10 * S and len(set(advice)) == 5
    assert book.advice([], 0)[0] == S, "with room they come soon"
    assert returns.merged([[1, 2], [1, 1, 5]]) == [2, 3, 5] and returns.later([1, 2, 3], 2 * S) == [3]
    book.books(S, 3 * S)
    assert book.table(S)[3] == 1 and book.table(5 * S) == [0] * 11


# Crowds.


def test_one_title_that_is_nine_in_ten_of_a_surge_is_held_to_its_share_and_the_level_waits():
    caps, now = Caps(), 1000 * S
    keys = {"title x": 540, "from a": 600}
    assert caps.step(now, keys, 600, 100, True), "a new crowd: the level waits for what that brings"
    assert caps.parts == {"title x": 1 - crowds.SHARE * 100 / 540}, "all come from there: nobody to guard"
    assert not caps.step(now + S, keys, 600, 100, True)
    for n in range(20):
        caps.step(now + (2 + n) * S, keys, 600, 100, False)
    assert caps.parts == {"title x": 1 - crowds.SHARE * 100 / 540}, "it comes as ever"
    for n in range(12):
        caps.step(now + (22 + n) * S, {"title x": 20}, 38, 100, False)
    assert caps.parts == {}, "it is heavy still, and there is room for all of it"


def test_a_title_that_many_want_is_left_alone_without_overload_and_where_others_want_as_much():
    caps = Caps()
    assert not caps.step(0, {"title x": 90}, 100, 100, False) and not caps.parts
    assert not caps.step(0, {"title x": 300}, 700, 100, True) and not caps.parts
    assert not caps.step(0, {"from a": 688}, 700, 100, True) and not caps.parts, "one word is late"


def test_keys_are_counted_by_whole_seconds_and_the_heaviest_told():
    own = crowds.Own()
    for n in range(30):
        own.count(10 * S, (f"title {n % 10}", "from a"))
    own.count(11 * S, ("title x",) * 7)
    assert own.table(11 * S) == {"from a": 30, **{f"title {n}": 3 for n in range(6)}}
    assert own.table(12 * S) == {"from a": 30, "title x": 7, **{f"title {n}": 3 for n in range(5)}}
    assert crowds.merged([{"a": 1}, {"a": 2, "b": 9}]) == {"b": 9, "a": 3}


def test_an_address_that_all_viewers_come_from_is_no_crowd_however_few_of_them_each_controller_sees():
    """A rehearsal's viewers all come from loopback: what each told of five or more alone made that nine in
    ten, and the fleet turned them away for ten seconds after its surge."""
    owns = [crowds.Own() for _ in range(12)]
    for n, own in enumerate(owns):
        for _ in range(n):
            own.count(10 * S, ("from a", f"title {n % 3}"))
    caps = Caps()
    assert not caps.step(0, crowds.merged([o.table(11 * S) for o in owns]), 66, 20, True) and not caps.parts


# One controller's own overload.


def test_a_late_loop_twice_or_what_is_full_sheds_more_and_more_and_lets_go_slowly():
    one = Strain(3)
    assert one.second(S, 900 * MS, 0.1, 0.1) == 0, "once may be the machine's own pause"
    assert one.second(2 * S, 900 * MS, 0.1, 0.1) == 0.5 and one.standing is Standing.STRAINED
    assert one.second(3 * S, 0, 0.95, 0.1) == 1.0 and "descriptors" in one.why
    assert one.second(4 * S, 0, 0.85, 0.1) == 1.0 and one.standing is Standing.STRAINED, "not easy yet"
    assert one.second(5 * S, 0, 0.5, 0.1) == 1.0 and one.standing is Standing.EASING
    levels = [one.second((5 + n) * S, 0, 0.5, 0.1) for n in range(1, 8)]
    assert levels == [1.0, 1.0, 0.75, 0.5, 0.25, 0.0, 0.0] and one.standing is Standing.EASY and not one.why
    for n in range(20):
        one.second((20 + n) * S, 0, 0.1, 0.99)
    assert one.level == 3.0


# Without overload.


def day_of(told):
    """Placements of a calm fleet's first seconds; `told(world, front)`: now and then at each."""
    day = run.load("calm-fleet")
    world = virtual.World(day, 5, 4, 8, 12)
    if told:

        def often(front):
            told(front)
            world.after(S // 10, often, front)

        for n, front in enumerate(world.fronts):
            world.after(S // 2 + n * 7 * MS, often, front)
    world.run()
    return [(n["t"], n["streamer"], n["pb"], n["br"]) for n in world.notes["streamers"] if n["what"] == "try"]


def test_without_overload_the_same_day_with_the_fleets_word_and_without_has_the_same_placements():
    alone = day_of(None)
    assert len(alone) > 80
    with_it = day_of(lambda front: front.run(front.core.fleet_limits_changed, 3, {}, (S, 2 * S)))
    assert with_it == alone
    less = day_of(lambda front: front.run(front.core.fleet_limits_changed, 3, {101: False}, ()))
    assert {id for _, id, *_ in alone[40:]} - {id for _, id, *_ in less[40:]} == {101}, "it does reach them"
