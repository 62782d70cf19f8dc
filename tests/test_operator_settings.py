"""Tests of the operators' settings as the platform and the adapter read them.

Invalid values must be rejected by an error that names the setting, before anything starts; unusual but legal
ones must work.
"""

import io
import json
import re
import subprocess
import sys
from dataclasses import replace

import pytest
from platform_testbed import SETTINGS

from terndrift import operator_settings
from terndrift.adapter import codec
from terndrift.adapter.__main__ import serve
from terndrift.decide import Controller, State
from terndrift.interface import ListEntry, Standing
from terndrift.platform import settings

S = 1_000_000_000
FLAT_SETTINGS = operator_settings.flatten(SETTINGS)
CONFIGURATION = {
    "name": "n",
    "listen": "127.0.0.1:0",
    "feed": "127.0.0.1:1",
    "known": {"events": []},
    "settings": SETTINGS,
}
UNUSUAL_VALUES = ["", "x", "-1", "nan", "0", "1", "1e999", "7.0", "99999999999999999999", "0,0,0,0", "true"]


def changed_settings(**changes):
    """Returns a copy of SETTINGS with changes by the last part of a path; None deletes the setting."""
    result = json.loads(json.dumps(SETTINGS))
    for name, value in changes.items():
        parts = [part for part in (*result.values(), *result["profiles"]) if isinstance(part, dict)]
        parent = next((part for part in parts if name in part), result)
        parent[name] = value
        if value is None:
            del parent[name]
    return result


def run_controller(deployment, layout, entries):
    """Runs a controller for 5 s with a server list and a playback of each plan.

    Returns it and the playbacks that the requests changed.
    """
    controller = Controller(deployment, S)
    controller.list_changed(S, entries, True, True)
    changed = [
        playback
        for n, plan in enumerate(deployment.plans)
        for playback in controller.request_playback(
            2 * S,
            f"r{n}",
            plan,
            "t",
            layout.holder_cells(0, 3),
            len(deployment.ladder.rates) - 1,
            3 * S,
            0,
            False,
        )
    ]
    for n, entry in enumerate(entries[:3]):
        controller.utilisation_reported(3 * S, "r0", entry.id, 0.5 * n, 0.7)
        controller.delivery_reported(3 * S, entry.id, 0.6)
    for tick in range(60, 140):
        controller.wake(tick * S // 20)
    return controller, changed


def list_entries(count, racks=1, started=0):
    """Returns entries of `count` ready streamers in 4 cells and `racks` racks; `started` is in ns."""
    return [ListEntry(n, "box", "here", n % 4, n % racks, Standing.READY, 1.0, started) for n in range(count)]


# Text that the error must contain -> setting to change, values that must be rejected.
INVALID = {
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


@pytest.mark.parametrize(
    "expected, name, value",
    [(text, row[0], rejected) for text, row in INVALID.items() for rejected in row[1:]],
)
def test_invalid_settings_are_named_in_the_error_by_platform_and_adapter(expected, name, value):
    invalid = changed_settings(**{name: value})
    with pytest.raises(operator_settings.MalformedInputError, match=re.escape(expected)):
        settings.configuration({**CONFIGURATION, "settings": invalid})
    fields = " ".join(
        f"{key}={value}" for key, value in operator_settings.flatten(invalid).items() if value != ""
    )
    error = serve(io.StringIO(f"sync now_ns=1\nswitch_to who=3\nenlist seed=5 {fields}\ngo\n"), io.StringIO())
    assert error.startswith("terndrift: line 3: ") and expected in error


@pytest.mark.parametrize("limits", [7, {"sockets": "many"}, {"sockets": 0}, {"sockets": [1]}])
def test_invalid_limits_are_named_in_the_error(limits):
    with pytest.raises(operator_settings.MalformedInputError, match="limits"):
        settings.configuration({**CONFIGURATION, "limits": limits})


def test_any_setting_with_an_unusual_value_is_named_in_an_error_or_works():
    for key in FLAT_SETTINGS:
        for value in UNUSUAL_VALUES:
            try:
                deployment, _, layout = operator_settings.read_deployment({**FLAT_SETTINGS, key: value})
            except operator_settings.MalformedInputError as error:
                assert "'" in str(error), f"{key}={value}: {error}"
                continue
            run_controller(deployment, layout, list_entries(5, started=S // 2))


def test_platform_and_adapter_build_the_same_deployment():
    for changes in (
        {},
        dict(class_live=[True, False], shared_adds=0.2, registry_mode="subscribe"),
        dict(how="probe", fields=["cpu", "waiting"]),
        dict(host_types=["big box", "box"], places_by_kind=[9, 4]),
    ):
        changed = changed_settings(**changes)
        line = " ".join(
            f"{key}={value}" for key, value in operator_settings.flatten(changed).items() if value != ""
        )
        _, flat = codec.parse_line(f"enlist seed=5 {line}")
        deployment, report_fields, layout = operator_settings.read_deployment(flat)
        configuration = settings.configuration({**CONFIGURATION, "settings": changed})
        assert (
            replace(configuration.deployment, seed=5) == deployment
            and configuration.layout == layout
            and report_fields
        )


def test_empty_single_and_very_long_lists_in_settings_work():
    many_plans = [
        {"name": f"plan{n}", "slo_ns": S, "deadline_ns": 3 * S, "effect": "idempotent"} for n in range(300)
    ]
    no_plan_lists = dict.fromkeys(
        ("lowest_rung", "top_by_class", "class_seats", "scale_by_class", "class_live")
    )
    for changes in (
        dict(profiles=[], **no_plan_lists),
        dict(profiles=many_plans[:1], **no_plan_lists),
        dict(profiles=many_plans, **no_plan_lists),
        dict(rung_kb=[100], worth_by_rung=[1], lowest_rung=None),
        dict(racks=0),
        dict(racks=1),
        dict(racks=10**6),
        dict(places=0),
        dict(places=10**6),
        dict(host_types=[], places_by_kind=None),
        dict(rung_kb=list(range(1, 200)), worth_by_rung=None),
    ):
        deployment, _, layout = operator_settings.read_deployment(
            operator_settings.flatten(changed_settings(**changes))
        )
        for count, racks in ((0, 1), (1, 1), (600, 600)):
            run_controller(deployment, layout, list_entries(count, racks))


def test_empty_server_list_rejects_at_once_with_retry_advice_only_if_allowed():
    for allowed, advice in ((True, S // 2), (False, 0)):
        deployment, _, layout = operator_settings.read_deployment(
            operator_settings.flatten(changed_settings(retry_after=allowed))
        )
        controller, changed = run_controller(deployment, layout, [])
        assert [(playback.state, playback.retry_after, playback.state_since) for playback in changed] == [
            (State.REJECTED, advice, 2 * S)
        ] * 2


def test_unknown_settings_are_reported_once_by_platform_and_adapter(tmp_path):
    with_unknown = {**SETTINGS, "colour": "red", "walls": [{"of": "brick"}, {"of": "wood"}]}
    unknown = settings.configuration({**CONFIGURATION, "settings": with_unknown}).unknown
    assert unknown == ["colour", "walls.*.of", "walls.count"]
    assert settings.configuration(CONFIGURATION).unknown == []
    line = " ".join(f"{key}={value}" for key, value in FLAT_SETTINGS.items())
    batch = (
        "sync now_ns=1\n"
        + "".join(f"switch_to who={who}\nenlist seed=5 colour=red {line}\n" for who in (1, 2))
        + "go\n"
    )
    run = subprocess.run(
        [sys.executable, "-m", "terndrift.adapter"], input=batch, capture_output=True, text=True
    )
    assert run.returncode == 0 and run.stderr.count("colour") == 1
