"""The operators' settings as both ways in are handed them: what is amiss is named, what is odd works."""

import io
import json
import re
import subprocess
import sys
from dataclasses import replace

import pytest
from platform_world import SETTINGS

from terndrift import terms
from terndrift.adapter import codec
from terndrift.adapter.__main__ import serve
from terndrift.decide import Controller, State
from terndrift.interface import Listed, Standing
from terndrift.platform import settings

S = 1_000_000_000
FLAT = terms.flat(SETTINGS)
TOLD = {
    "name": "n",
    "listen": "127.0.0.1:0",
    "feed": "127.0.0.1:1",
    "known": {"events": []},
    "settings": SETTINGS,
}
ODD = ["", "x", "-1", "nan", "0", "1", "1e999", "7.0", "99999999999999999999", "0,0,0,0", "true"]


def changed(**with_dots):
    """The settings with some of them other, by the last part of their names; None: left out."""
    out = json.loads(json.dumps(SETTINGS))
    for name, value in with_dots.items():
        parts = [part for part in (*out.values(), *out["profiles"]) if isinstance(part, dict)]
        at = next((part for part in parts if name in part), out)
        at[name] = value
        if value is None:
            del at[name]
    return out


def use(made, layout, entries):
    """A controller that is handed a list, asked for a playback of each plan, and lives for five seconds."""
    c = Controller(made, S)
    c.list_changed(S, entries, True, True)
    out = [
        pb
        for n, plan in enumerate(made.plans)
        for pb in c.wanted(
            2 * S, f"r{n}", plan, "t", layout.holders(0, 3), len(made.ladder.rates) - 1, 3 * S, 0, False
        )
    ]
    for n, entry in enumerate(entries[:3]):
        c.told_use(3 * S, "r0", entry.id, 0.5 * n, 0.7)
        c.told_share(3 * S, entry.id, 0.6)
    for tick in range(60, 140):
        c.wake(tick * S // 20)
    return c, out


def listed(count, racks=1, started=0):
    return [Listed(n, "box", "here", n % 4, n % racks, Standing.READY, 1.0, started) for n in range(count)]


AMISS = {
    "family_info.rung_kb": ("rung_kb", None, [], [200, 100, 400], [-1, 100, 400]),
    "family_info.worth_by_rung": ("worth_by_rung", [0.1, 1], [0.1, 0.2, float("inf")]),
    "family_info.lowest_rung": ("lowest_rung", [0], [0, 7]),
    "family_info.lowest_rung' of paid": ("top_by_class", [2, 0]),
    "family_info.class_seats": ("class_seats", [0, -3]),
    "family_info.scale_by_class": ("scale_by_class", [1, 0]),
    "family_info.class_live": ("class_live", [True]),
    "family_info.shared_adds": ("shared_adds", 1.5, 0),
    "family_info.places_by_kind": ("places_by_kind", [20, 20]),
    "family_info.places": ("places", "many"),
    "family_info.link_unit_kb": ("link_unit_kb", 0),
    "profiles.0.slo_ns": ("slo_ns", 5 * S),
    "profiles.0.deadline_ns": ("deadline_ns", -1),
    "profiles.0.worth": ("worth", float("nan"), -1),
    "profiles.1.name": ("profiles", [{"name": "a"}, {"name": "a"}]),
    "ceilings.try_limit": ("try_limit", -1),
    "rules.cold_ns": ("cold_ns", 1.5),
    "rules.start_capacity": ("start_capacity", 3),
    "replicas_of_me": ("replicas_of_me", 0),
    "rank": ("rank", 1),
}


@pytest.mark.parametrize("named, name, value", [(n, of[0], v) for n, of in AMISS.items() for v in of[1:]])
def test_settings_that_are_amiss_are_named_and_nothing_starts_on_either_way_in(named, name, value):
    amiss = changed(**{name: value})
    with pytest.raises(terms.Malformed, match=re.escape(named)):
        settings.configuration({**TOLD, "settings": amiss})
    line = " ".join(f"{key}={value}" for key, value in terms.flat(amiss).items() if value != "")
    wrong = serve(io.StringIO(f"sync now_ns=1\nswitch_to who=3\nenlist seed=5 {line}\ngo\n"), io.StringIO())
    assert wrong.startswith("terndrift: line 3: ") and named in wrong


@pytest.mark.parametrize("limits", [7, {"sockets": "many"}, {"sockets": 0}, {"sockets": [1]}])
def test_limits_that_are_amiss_are_named(limits):
    with pytest.raises(terms.Malformed, match="limits"):
        settings.configuration({**TOLD, "limits": limits})


def test_any_one_setting_made_odd_is_named_or_works():
    for key in FLAT:
        for value in ODD:
            try:
                made, _, layout = terms.deployment({**FLAT, key: value})
            except terms.Malformed as wrong:
                assert "'" in str(wrong), f"{key}={value}: {wrong}"
                continue
            use(made, layout, listed(5, started=S // 2))


def test_both_ways_in_hand_the_decisions_the_same():
    for odd in (
        {},
        dict(class_live=[True, False], shared_adds=0.2, registry_mode="subscribe"),
        dict(how="probe", fields=["cpu", "waiting"]),
        dict(host_types=["big box", "box"], places_by_kind=[9, 4]),
    ):
        told = changed(**odd)
        line = " ".join(f"{key}={value}" for key, value in terms.flat(told).items() if value != "")
        _, flat = codec.parse_line(f"enlist seed=5 {line}")
        here, fields, layout = terms.deployment(flat)
        there = settings.configuration({**TOLD, "settings": told})
        assert replace(there.deployment, seed=5) == here and there.layout == layout and fields


def test_none_one_and_very_many_of_everything_work():
    many = [
        {"name": f"plan{n}", "slo_ns": S, "deadline_ns": 3 * S, "effect": "idempotent"} for n in range(300)
    ]
    base = dict.fromkeys(("lowest_rung", "top_by_class", "class_seats", "scale_by_class", "class_live"))
    for odd in (
        dict(profiles=[], **base),
        dict(profiles=many[:1], **base),
        dict(profiles=many, **base),
        dict(rung_kb=[100], worth_by_rung=[1], lowest_rung=None),
        dict(racks=0),
        dict(racks=1),
        dict(racks=10**6),
        dict(places=0),
        dict(places=10**6),
        dict(host_types=[], places_by_kind=None),
        dict(rung_kb=list(range(1, 200)), worth_by_rung=None),
    ):
        made, _, layout = terms.deployment(terms.flat(changed(**odd)))
        for count, racks in ((0, 1), (1, 1), (600, 600)):
            use(made, layout, listed(count, racks))


def test_an_empty_list_rejects_at_once_and_with_advice_where_it_is_allowed():
    for allowed, advice in ((True, S // 2), (False, 0)):
        made, _, layout = terms.deployment(terms.flat(changed(retry_after=allowed)))
        c, out = use(made, layout, [])
        assert [(pb.state, pb.come_back, pb.since) for pb in out] == [(State.REJECTED, advice, 2 * S)] * 2


def test_an_unknown_setting_is_told_once_on_either_way_in(tmp_path):
    odd = {**SETTINGS, "colour": "red", "walls": [{"of": "brick"}, {"of": "wood"}]}
    unknown = settings.configuration({**TOLD, "settings": odd}).unknown
    assert unknown == ["colour", "walls.*.of", "walls.count"]
    assert settings.configuration(TOLD).unknown == []
    line = " ".join(f"{key}={value}" for key, value in FLAT.items())
    batch = (
        "sync now_ns=1\n"
        + "".join(f"switch_to who={who}\nenlist seed=5 colour=red {line}\n" for who in (1, 2))
        + "go\n"
    )
    got = subprocess.run(
        [sys.executable, "-m", "terndrift.adapter"], input=batch, capture_output=True, text=True
    )
    assert got.returncode == 0 and got.stderr.count("colour") == 1
