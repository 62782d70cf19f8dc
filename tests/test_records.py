"""The record language: what is taken, and what is said of what is not."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift import records
from terndrift.records.units import DURATIONS, quantity, shown

LIST = """
// two streamers
streamers: "a": {id: 1, address: "h:80", rack: 0, kind: "box"}
streamers: b: {id: 2, address: "h:81", rack: 1, kind: "box", standing: "draining", weight: 1.5}
"""


def test_defaults_shorthand_and_fields_written_twice_make_one_value():
    value = records.loads(LIST, "list")["streamers"]
    assert value["a"]["standing"] == "ready" and value["a"]["weight"] == 1.0
    assert value["b"] == {
        "id": 2,
        "address": "h:81",
        "rack": 1,
        "kind": "box",
        "zone": "",
        "standing": "draining",
        "weight": 1.5,
        "started": 0,
        "labels": [],
    }
    twice = LIST + 'streamers: a: {rack: 0, zone: "hall"}'
    assert records.loads(twice, "list")["streamers"]["a"]["zone"] == "hall"


@pytest.mark.parametrize(
    "text, place, found, wanted",
    [
        ('streamers: a: {id: -1, address: "h:80", rack: 0, kind: "x"}', "1:20", "-1", ">=0"),
        ('streamers: a: {id: 1.5, address: "h:80", rack: 0, kind: "x"}', "1:20", "1.5", "int"),
        ('streamers: a: {id: 1, rack: 0, kind: "x"}', "1:1", "nothing", "string"),
        ('streamers: a: {id: 1, address: "h", rack: 0, kind: "x"}', "1:32", '"h"', "=~"),
        ("streamers: a: {id: 1, colour: 2}", "1:31", "field 'colour'", "one of id, address"),
        ("streamers: a: {id: 1\nstreamers: b: {}", "2:17", "the end of the file", "'}'"),
        ("streamers: a: {id: ?}", "1:20", "'?'", ""),
        ('streamers: a: standing: "gnoe"', "1:25", '"gnoe"', '"draining"'),
        ("streamers: a: id: nobody", "1:19", "'nobody'", "defined"),
        ("streamers: 5", "1:12", "5", "{"),
        ("streamers: a: id: 1 & 2", "1:23", "2", "1"),
        ('include "none.rec"', "1:1", "none.rec", "readable"),
        ("a: a", "1:4", "'a' within itself", "does not need itself"),
        ("x: 5parsec", "1:4", "5parsec", "there are ns, us"),
    ],
)
def test_an_error_names_place_what_was_found_and_what_was_wanted(text, place, found, wanted):
    with pytest.raises(records.Wrong) as wrong:
        records.loads(text, "list", "f.rec")
    lines = [x for x in str(wrong.value).splitlines() if x.startswith(f"f.rec:{place}:")]
    assert any(found in line and wanted in line for line in lines), str(wrong.value)


def test_all_errors_are_told_at_once():
    with pytest.raises(records.Wrong) as wrong:
        records.loads('streamers: a: {id: -1, address: 3, rack: "x", kind: 4, more: 1}', "list", "f.rec")
    assert len(wrong.value.faults) == 5


def test_includes_are_unified_and_a_circle_of_them_is_told():
    files = {"part.rec": 'streamers: a: {rack: 4, kind: "box"}', "self.rec": 'include "self.rec"'}
    text = 'include "part.rec"\nstreamers: a: {id: 1, address: "h:80"}'
    assert records.loads(text, "list", opener=files.__getitem__)["streamers"]["a"]["rack"] == 4
    with pytest.raises(records.Wrong, match="within itself"):
        records.loads('include "self.rec"', "list", opener=files.__getitem__)


def test_references_definitions_lists_and_alternatives():
    text = """
    #Kind: "box" | "rack"
    base: {rack: 2}
    streamers: a: base & {id: 1, address: "h:80", kind: #Kind & "box"}
    """
    with pytest.raises(records.Wrong, match="field 'base'"):
        records.loads(text, "list")
    text = text.replace("base: {rack: 2}", "#base: {rack: 2, ...}").replace("a: base", "a: #base")
    assert records.loads(text, "list")["streamers"]["a"]["rack"] == 2


@settings(derandomize=True, database=None, max_examples=200, deadline=None)
@given(st.text(alphabet='{}[]:,.&|*?"#<>=! abz01ms/\n\\', max_size=40))
def test_no_text_raises_anything_but_the_one_error(text):
    try:
        records.loads(text, "list")
    except records.Wrong as wrong:
        assert wrong.faults


def test_deep_nesting_is_an_error_and_no_crash():
    with pytest.raises(records.Wrong):
        records.loads("a: " + "{a: " * 500 + "1" + "}" * 500, "list")


@settings(derandomize=True, database=None, deadline=None)
@given(st.integers(0, 10**15))
def test_a_duration_is_read_as_it_is_shown(ns):
    assert ns == 0 or quantity(shown(DURATIONS, ns)) == (DURATIONS, ns)
