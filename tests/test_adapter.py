"""Tests of the simulator adapter on short transcripts of its text protocol."""

import io

import pytest

from terndrift import operator_settings
from terndrift.adapter import codec
from terndrift.adapter.__main__ import serve

ENLIST_BATCH = """sync now_ns=1000000000
switch_to who=3
enlist seed=5 profiles.count=1 profiles.0.name=free profiles.0.slo_ns=800000000 \
profiles.0.effect=idempotent family_info.rung_kb=100.0,400.0 family_info.worth_by_rung=0.3,1.0 \
family_info.places=1 family_info.racks=1 family_info.link_unit_kb=4000.0 family_info.rack_kb=9000.0 \
host_types=box family_info.places_by_kind=9 load_report.fields=active,x0 ceilings.try_limit=3 unheard.of=1
directory table=0 lines=1
entry streamer=51 az=a generation_hw=box place=0 state=1 weight=1 colour=red
endpoints how=2 index=1 table=0
existing corr=r-old qos=free title=t start_cell=0 spread=1 top=1 expires_in_ns=9000000000 streamer=51
status_note corr=r-old go=0 streamer=51 sort=2 x=1
go
"""
REQUEST_BATCH = """sync now_ns=2000000000
switch_to who=3
new_request corr=r-a qos=free title=t start_cell=0 spread=1 top=1 expires_in_ns=3000000000
gone corr=r-unknown
status_note corr=r-gone go=0 streamer=99 sort=1 x=0.5
go
"""


def run_adapter(*batches):
    """Returns the error message (None without one) and the output for `batches` as standard input."""
    sink = io.StringIO()
    return serve(io.StringIO("".join(batches)), sink), sink.getvalue()


def test_request_is_relayed_once_and_rejected_when_its_only_holder_is_full():
    error, output = run_adapter(
        ENLIST_BATCH,
        REQUEST_BATCH,
        "sync now_ns=2100000000\nswitch_to who=3\n"
        "done corr=r-a go=0 settled=0 rc=saturated took_ns=9 streamer=51 telemetry=7,x,1\ngo\n",
    )
    assert error is None
    assert output.count("relay corr=r-a streamer=51") == 1
    assert "quality corr=r-a tier_no=1" in output and "quality corr=r-old" not in output
    assert "not_now corr=r-a" in output, "its only holder is full"


def test_instance_started_and_stopped_in_one_batch_and_empty_batches():
    events = ENLIST_BATCH.split("\n", 1)[1].rsplit("go\n", 1)[0]
    batch = f"sync now_ns=1500000000\nswitch_to who=3\ncrash_now\n{events}crash_now\n{events}go\n"
    error, output = run_adapter(ENLIST_BATCH, batch, "sync now_ns=1600000000\ngo\n", REQUEST_BATCH)
    assert error is None and output.count("end\n") == 4 and "relay corr=r-a" in output


@pytest.mark.parametrize(
    "line",
    [
        "sync now_ns=x\n",
        "hello\n",
        "sync now_ns=1\nswitch_to who=3\nnonsense a=1\ngo\n",
        "sync now_ns=1\nswitch_to who=3\nnew_request\n",
        "sync now_ns=1\nring handle=1\ngo\n",
        ENLIST_BATCH + "sync now_ns=2000000000\nswitch_to who=3\ndone corr=r-a rc=what streamer=1\ngo\n",
    ],
)
def test_malformed_line_is_reported_by_number(line):
    error, _ = run_adapter(line)
    assert error and error.startswith("terndrift: line ")


def test_exception_in_the_controller_is_sent_as_die(monkeypatch):
    monkeypatch.setattr("terndrift.decide.Controller.request_playback", lambda *a, **k: 1 / 0)
    error, output = run_adapter(ENLIST_BATCH, REQUEST_BATCH)
    assert error is None and "die reason_text=ZeroDivisionError" in output


def test_list_on_request_is_subscribed_to_and_again_after_a_failure():
    enlist_on_request = ENLIST_BATCH.replace(
        "profiles.count", "registry_mode=subscribe rules.ask_within_ns=8000000000 profiles.count"
    )
    list_failure = "sync now_ns=1100000000\nswitch_to who=3\nendpoints how=3 index=0 table=0\ngo\n"
    timer = "sync now_ns=4000000000\nswitch_to who=3\nring handle=1\ngo\n"
    error, output = run_adapter(enlist_on_request, list_failure, timer)
    assert error is None and output.count("subscribe on=1") == 2
    error, output = run_adapter(ENLIST_BATCH, list_failure, timer)
    assert error is None and "subscribe" not in output


def test_shared_adds_is_read_for_live_plans_only():
    base = {
        "profiles.count": "2",
        "profiles.0.name": "match",
        "profiles.1.name": "film",
        "family_info.rung_kb": "100",
        "family_info.worth_by_rung": "1",
        "family_info.shared_adds": "0.2",
    }
    for live, adds in (("true,false", [0.2, 1.0]), ("", [1.0, 1.0])):
        deployment, _, _ = operator_settings.read_deployment({**base, "family_info.class_live": live})
        assert [plan.adds for plan in deployment.plans.values()] == adds


def test_link_utilisation_is_read_from_the_uncapped_field_if_reported():
    for fields, telemetry, link in (
        ("cpu,x0", "0.9,1.4", 1.4),
        ("x0,cpu", "1.4,0.9", 1.4),
        ("waiting,cpu", "3,0.9", 0.9),
        ("waiting,rps", "3,9", None),
        ("x0", "?", None),
    ):
        assert codec.parse_load_report({"telemetry": telemetry}, fields.split(",")).get("link") == link
        links = operator_settings.read_deployment(
            {"family_info.rung_kb": "100", "load_report.fields": fields}
        )[0].links
        assert links.answers_report_load == (fields != "waiting,rps")
    probe_only = {"family_info.rung_kb": "100", "load_report.fields": "x0", "load_report.how": "probe"}
    assert not operator_settings.read_deployment(probe_only)[0].links.answers_report_load
