"""The merged list and its flow to the decisions beside plain models, and each of their rules."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.interface import Standing
from terndrift.listing.flow import GATHER, KEPT_GONE, MOST, Flow
from terndrift.listing.kept import Kept, line_of, records
from terndrift.listing.lines import ORDER, Line, Unusable, checked
from terndrift.listing.merge import CONFIRM, SECOND, SLICE, Merged
from terndrift.listing.service import Listing


def line(n, standing="ready", started=0, rack=0, id=None):
    return Line(f"s{n}", n if id is None else id, f"h:{n}", rack, "box", "", standing, 1.0, started)


def at(*numbers):
    return [f"h:{n}" for n in numbers]


steps = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.integers(0, 5),
        st.lists(
            st.tuples(st.integers(0, 7), st.sampled_from(["ready", "draining"]), st.integers(0, 2)),
            max_size=3,
        ),
        st.lists(st.integers(0, 7), max_size=1),
    ),
    max_size=40,
)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(steps)
def test_any_history_is_as_a_plain_model_says(history):
    merged, said, orders = Merged(), {"a": {}, "b": {}}, {"a": {}, "b": {}}
    merged.source("a"), merged.source("b")
    for now, (name, order, put, gone) in enumerate(history):
        before = dict(merged.lines)
        fresh = {n: line(n, standing, started) for n, standing, started in put}
        gone = [n for n in gone if n not in fresh]
        changed = merged.changes(now, name, order, list(fresh.values()), at(*gone))
        for n, value in fresh.items():
            if order >= orders[name].get(n, -1):
                said[name][n], orders[name][n] = value, order
        for n in gone:
            if n in said[name] and order >= orders[name].get(n, -1):
                del said[name][n]
                orders[name][n] = order
        for n in range(8):
            lines = [said[s][n] for s in "ab" if n in said[s]]
            got = merged.lines.get(f"h:{n}")
            assert (got is None) == (not lines)
            if lines:
                assert ORDER.index(got.standing) == max(ORDER.index(x.standing) for x in lines)
                assert got.started == max(x.started for x in lines)
        after = {i: x for i, x in {**before, **changed}.items() if x is not None}
        assert after == merged.lines, "what changed is told, and nothing else"
        assert all(before.get(i) != x for i, x in changed.items())


def test_what_most_of_a_list_loses_at_once_is_doubted_then_believed():
    merged = Merged()
    merged.whole(0, "a", 1, [line(n) for n in range(10)])
    assert merged.whole(1, "a", 2, [line(0)]) == {} and len(merged.lines) == 10 and len(merged.alarms) == 1
    assert merged.whole(2, "a", 3, [line(0), line(1, "draining")])["h:1"].standing == "draining"
    assert merged.confirm(CONFIRM - 1, "a") == {}
    assert set(merged.confirm(CONFIRM + SECOND, "a")) == set(at(*range(2, 10)))
    assert set(merged.lines) == set(at(0, 1))


def test_the_operator_may_confirm_what_is_doubted():
    merged = Merged()
    merged.whole(0, "a", 1, [line(n) for n in range(10)])
    merged.whole(1, "a", 2, [line(0)])
    assert set(merged.confirm(2, "a", set(at(3)))) == set(at(3)) and len(merged.lines) == 9


def test_one_that_comes_back_within_the_doubt_never_left():
    merged = Merged()
    merged.whole(0, "a", 1, [line(n) for n in range(10)])
    merged.whole(1, "a", 2, [])
    assert merged.whole(2, "a", 3, [line(n) for n in range(10)]) == {}
    assert merged.confirm(2 * CONFIRM, "a") == {} and len(merged.lines) == 10


def test_a_source_out_of_reach_keeps_its_last_word_with_its_age():
    merged = Merged()
    merged.whole(0, "a", 1, [line(1)])
    merged.reached("a", False)
    assert merged.lines["h:1"] and merged.ages(9)["a"] == (9, False, 1, 0)


def test_out_for_minutes_then_nearly_empty_while_another_source_disagrees_then_both_back():
    merged = Merged()
    merged.source("a"), merged.source("b")
    merged.whole(0, "a", 1, [line(n) for n in range(20)])
    merged.whole(0, "b", 1, [line(n, "draining" if n == 5 else "ready") for n in range(4, 8)])
    merged.reached("a", False)
    now = 300 * SECOND
    assert merged.whole(now, "a", 2, [line(0), line(1)]) == {}, "what went missing is not believed at once"
    assert len(merged.lines) == 20 and merged.lines["h:5"].standing == "draining"
    merged.whole(now, "b", 2, [line(n) for n in range(4, 8)])
    back = merged.whole(now + SECOND, "a", 3, [line(n) for n in range(20)])
    assert back == {} and all(x.standing == "ready" for x in merged.lines.values())
    assert merged.confirm(now + 2 * CONFIRM, "a") == {}


def test_an_older_whole_list_and_the_same_one_again_change_nothing():
    merged = Merged()
    merged.whole(0, "a", 5, [line(1), line(2)])
    assert merged.whole(1, "a", 4, [line(3)]) == {} and merged.whole(2, "a", 5, [line(1), line(2)]) == {}
    assert merged.changes(3, "a", 6, [], at(77)) == {}, "a removal of what was never there"
    assert merged.changes(4, "a", 4, [line(9)], []) == {}, "older than the last whole list"


def test_a_removal_is_not_undone_by_an_older_word():
    merged = Merged()
    merged.changes(0, "a", 1, [line(1), line(2)], [])
    merged.changes(1, "a", 3, [], at(1))
    assert merged.changes(2, "a", 2, [line(1)], []) == {} and "h:1" not in merged.lines
    assert "h:1" in merged.changes(3, "a", 4, [line(1)], [])


def test_a_long_change_comes_in_slices_that_add_up():
    merged = Merged()
    parts = list(merged.replacing(0, "a", 1, [line(n) for n in range(3 * SLICE + 1)]))
    assert [len(p) for p in parts] == [SLICE, SLICE, SLICE, 1] and len(merged.lines) == 3 * SLICE + 1


def test_memory_of_what_is_gone_is_bounded():
    merged, flow = Merged(), Flow()
    for n in range(30_000):
        flow.add(merged.changes(n, "a", n, [line(n)], at(n - 10)))
        entries, there, gone, forgotten = flow.take(n)
    source = merged.sources["a"]
    assert len(source.orders) == len(merged.holders) == 10 and len(source.buried) <= 10_000
    assert len(flow.gone) <= KEPT_GONE + 10 and len(flow.numbers.of) == len(flow.gone) + len(flow.there)


# The flow.


def drained(flow, now):
    out = {}
    while (when := flow.next_at(now)) is not None:
        now = when
        entries, there, gone, _ = flow.take(now)
        assert len(entries) <= MOST
        out.update({e.id: e for e in entries})
        assert all(out[i].standing is Standing.GONE for i in gone)
    return out, now


changes = st.lists(
    st.dictionaries(
        st.integers(0, 5),
        st.none() | st.tuples(st.sampled_from(["ready", "draining"]), st.integers(0, 2)),
        min_size=1,
        max_size=4,
    ),
    max_size=12,
)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(changes, st.integers(1, 3))
def test_whatever_is_gathered_the_decisions_end_with_the_newest_of_each(history, often):
    flow, known, newest, now = Flow(), {}, {}, 0
    for n, changed in enumerate(history):
        lines = {f"h:{k}": v and line(k, *v) for k, v in changed.items()}
        lines = {a: x for a, x in lines.items() if x is not None or newest.get(a) is not None}
        flow.add(lines)
        newest.update(lines)
        if n % often == 0:
            got, now = drained(flow, now)
            known.update(got)
    known.update(drained(flow, now)[0])
    for address, x in newest.items():
        id = int(address[2:])
        if x is None:
            assert id not in known or known[id].standing is Standing.GONE
        else:
            assert known[id].standing.name.lower() == x.standing and known[id].started == x.started


def test_one_change_goes_at_once_and_many_are_gathered():
    flow = Flow()
    flow.add({"h:1": line(1)})
    assert flow.next_at(100) == 100 and len(flow.take(100)[0]) == 1 and flow.next_at(100) is None
    flow.add({"h:1": line(1, "draining")})
    flow.add({"h:1": line(1, "ready")})
    flow.add({"h:2": line(2)})
    assert flow.next_at(101) == 100 + GATHER and len(flow.take(100 + GATHER)[0]) == 2


def test_what_says_no_longer_goes_first():
    flow = Flow()
    flow.add({f"h:{n}": line(n) for n in range(MOST)})
    flow.take(0)
    flow.add({f"h:{n}": line(n, started=5) for n in range(MOST)})
    flow.add({"h:9": None, "h:7": line(7, "draining")})
    entries = flow.take(GATHER)[0]
    assert [e.id for e in entries[:2]] == [9, 7] and entries[0].standing is Standing.GONE


def test_a_streamer_that_moves_keeps_its_number_and_two_with_one_number_are_told():
    flow = Flow()
    flow.add({"h:1": line(1)})
    flow.take(0)
    moved = Line("s1", 1, "h:100", 0, "box", "", "ready", 1.0, 7)
    flow.add({"h:1": None, "h:100": moved})
    entries, there, gone, _ = flow.take(1)
    assert there == {1: "h:100"} and not gone and [e.standing for e in entries] == [Standing.READY]
    other = Line("other", 1, "h:200", 0, "box", "", "ready", 1.0, 0)
    flow.add({"h:200": other})
    assert flow.take(2)[0] == [] and "h:200 is listed as 1" in flow.alarms[0]
    flow.add({"h:100": None})
    entries, there, gone, _ = flow.take(3)
    assert there == {1: "h:200"} and entries[-1].standing is Standing.READY, "its number is free now"


def test_an_address_without_a_number_gets_the_same_one_everywhere():
    a, b = Flow(), Flow()
    lines = {f"h:{n}": Line("x", None, f"h:{n}", 0, "box", "", "ready", 1.0, 0) for n in range(50)}
    a.add(lines)
    b.add(dict(reversed(lines.items())))
    assert sorted(e.id for e in a.take(0)[0]) == sorted(e.id for e in b.take(0)[0])
    assert len(set(a.numbers.of.values())) == 50


def test_two_addresses_of_one_checksum_get_two_numbers():
    flow = Flow()
    first = flow.numbers.give("h:1", None)
    flow.numbers.taken[first + 1], flow.numbers.of["other"] = "other", first + 1
    del flow.numbers.taken[first], flow.numbers.of["h:1"]
    flow.numbers.taken[first] = "another"
    assert flow.numbers.give("h:1", None) == first + 2


# Lists by themselves, and what is kept.


def test_a_list_that_can_not_be_taken_says_why():
    for lines, had, why in (
        ([line(1), line(2, id=1)], False, "one id, 1"),
        ([], True, "no streamer at all"),
        ([line(1), Line("t", 7, "h:1", 0, "b", "", "ready", 1.0, 0)], False, "address"),
    ):
        with pytest.raises(Unusable, match=why):
            checked(lines, had)
    assert checked([], False) == []


def test_what_is_kept_is_what_was_heard():
    merged, kept, dirty = Merged(), Kept(), {"a": set(at(*range(6)))}
    merged.whole(0, "a", 1, [line(n, started=n) for n in range(6)])
    for _, record in records(dirty, merged.sources, lambda ns: ns):
        kept.replay(record)
    merged.changes(1, "a", 2, [line(1, "draining")], at(2, 3))
    for _, record in records({"a": set(at(1, 2, 3))}, merged.sources, lambda ns: ns):
        kept.replay(record)
    again = Kept()
    again.restore(list(kept.items()))
    assert {line_of(row, lambda ns: ns) for row in again.rows["a"].values()} == set(merged.lines.values())
    before_labels = ["s", 1, "h:1", 0, "box", "", "ready", 1.0, 7]
    assert line_of(before_labels, lambda ns: ns) == Line(*before_labels)


def test_a_kept_list_is_acted_on_only_while_it_is_known_to_have_stood_of_late():
    hour, kept = 3600 * 10**9, Kept()
    merged = Merged()
    merged.whole(0, "a", 1, [line(n) for n in range(3)])
    for _, record in records({"a": set(at(0, 1, 2))}, merged.sources, lambda ns: ns, 10 * hour):
        kept.replay(record)
    assert not kept.too_old("a", 10 * hour + 5, hour) and kept.too_old("a", 12 * hour, hour)
    assert kept.too_old("a", 9 * hour, hour), "a clock was set back: nobody knows how old it is"
    for _, record in records({"a": set()}, merged.sources, lambda ns: ns, 12 * hour):
        kept.replay(record)
    again = Kept()
    again.restore(list(kept.items()))
    assert not again.too_old("a", 12 * hour, hour) and len(again.rows["a"]) == 3
    old = {"source": "b", "put": [["s", 1, "h:1", 0, "box", "", "ready", 1.0, 7]], "gone": []}
    again.replay(old)
    assert again.too_old("b", 12 * hour, hour), "a store of before it was noted"


def test_a_list_too_old_is_not_handed_on_and_does_not_come_back_with_the_next_word():
    hour, told = 3600 * 10**9, []
    clock = SimpleNamespace(now=lambda: 0, to_wall_ns=lambda at: 20 * hour, from_wall_ns=lambda at: at)
    log = SimpleNamespace(warning=lambda what, **facts: told.append((what, facts)))
    one = Listing(clock, lambda *_: told.append("handed on"), log, ("file",))
    for _, record in records(
        {"file": set(at(0, 1))},
        {"file": SimpleNamespace(lines={line(n).address: line(n) for n in range(2)})},
        lambda ns: ns,
        10 * hour,
    ):
        one.kept.replay(record)
    assert one.begin(None, hour) is False and [t[0] for t in told] == ["kept list is too old to be acted on"]
    assert one.dirty["file"] == set(at(0, 1)), "what is kept of it goes with the next word"
    assert one.begin(None) is True, "however old"
