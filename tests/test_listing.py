"""The merged list beside a plain model, and each of its rules."""

from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.listing.merge import CONFIRM, SECOND, WORST, Merged
from terndrift.listing.roll import Line


def line(id, standing="ready", started=0, rack=0):
    return Line(f"s{id}", id, f"h:{id}", rack, "box", "", standing, 1.0, started)


steps = st.lists(st.tuples(
    st.sampled_from("ab"), st.integers(0, 5), st.lists(st.tuples(
        st.integers(0, 7), st.sampled_from(["ready", "draining"]), st.integers(0, 2)), max_size=3),
    st.lists(st.integers(0, 7), max_size=1)), max_size=40)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(steps)
def test_any_history_is_as_a_plain_model_says(history):
    merged, said, orders = Merged(), {"a": {}, "b": {}}, {"a": {}, "b": {}}
    merged.source("a"), merged.source("b")
    for now, (name, order, put, gone) in enumerate(history):
        before = dict(merged.lines)
        fresh = {id: line(id, standing, started) for id, standing, started in put}
        changed = merged.changes(now, name, order, list(fresh.values()), [i for i in gone if i not in fresh])
        for id, value in fresh.items():
            if order >= orders[name].get(id, -1):
                said[name][id], orders[name][id] = value, order
        for id in gone:
            if id not in fresh and id in said[name] and order >= orders[name].get(id, -1):
                del said[name][id]
                orders[name][id] = order
        for id in range(8):
            lines = [said[n][id] for n in "ab" if id in said[n]]
            got = merged.lines.get(id)
            assert (got is None) == (not lines)
            if lines:
                assert WORST[got.standing] == max(WORST[x.standing] for x in lines)
                assert got.started == max(x.started for x in lines)
        after = {i: x for i, x in {**before, **changed}.items() if x is not None}
        assert after == merged.lines, "what changed is told, and nothing else"
        assert all(before.get(i) != x for i, x in changed.items())


def test_what_most_of_a_list_loses_at_once_is_doubted_then_believed():
    merged = Merged()
    merged.whole(0, "a", 1, [line(n) for n in range(10)])
    assert merged.whole(1, "a", 2, [line(0)]) == {} and len(merged.lines) == 10 and len(merged.alarms) == 1
    assert merged.whole(2, "a", 3, [line(0), line(1, "draining")])[1].standing == "draining"
    assert merged.confirm(CONFIRM - 1, "a") == {}
    assert set(merged.confirm(CONFIRM + SECOND, "a")) == set(range(2, 10)) and set(merged.lines) == {0, 1}


def test_one_that_comes_back_within_the_doubt_never_left():
    merged = Merged()
    merged.whole(0, "a", 1, [line(n) for n in range(10)])
    merged.whole(1, "a", 2, [])
    assert merged.whole(2, "a", 3, [line(n) for n in range(10)]) == {}
    assert merged.confirm(2 * CONFIRM, "a") == {} and len(merged.lines) == 10


def test_a_source_out_of_reach_keeps_its_last_word_with_its_age():
    merged = Merged()
    merged.whole(0, "a", 1, [line(1)])
    merged.reached(5, "a", False)
    assert merged.lines[1] and merged.ages(9)["a"] == (9, False, 1, 0)


def test_an_older_whole_list_and_the_same_one_again_change_nothing():
    merged = Merged()
    merged.whole(0, "a", 5, [line(1), line(2)])
    assert merged.whole(1, "a", 4, [line(3)]) == {} and merged.whole(2, "a", 5, [line(1), line(2)]) == {}
    assert merged.changes(3, "a", 6, [], [77]) == {}, "a removal of what was never there"
