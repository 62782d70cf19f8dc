"""The adapter on a short transcript of its own."""

import io

import pytest

from terndrift import terms
from terndrift.adapter import codec
from terndrift.adapter.__main__ import serve

ENLIST = """sync now_ns=1000000000
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
ASK = """sync now_ns=2000000000
switch_to who=3
new_request corr=r-a qos=free title=t start_cell=0 spread=1 top=1 expires_in_ns=3000000000
gone corr=r-unknown
status_note corr=r-gone go=0 streamer=99 sort=1 x=0.5
go
"""


def talk(*batches):
    out = io.StringIO()
    return serve(io.StringIO("".join(batches)), out), out.getvalue()


def test_a_request_is_relayed_once_and_its_answer_taken():
    wrong, out = talk(
        ENLIST,
        ASK,
        "sync now_ns=2100000000\nswitch_to who=3\n"
        "done corr=r-a go=0 settled=0 rc=saturated took_ns=9 streamer=51 telemetry=7,x,1\ngo\n",
    )
    assert wrong is None
    assert out.count("relay corr=r-a streamer=51") == 1
    assert "quality corr=r-a tier_no=1" in out and "quality corr=r-old" not in out
    assert "not_now corr=r-a" in out, "its only holder is on the trail"


def test_starts_and_stops_in_one_batch_and_empty_batches():
    again = ENLIST.split("\n", 1)[1].rsplit("go\n", 1)[0]
    batch = f"sync now_ns=1500000000\nswitch_to who=3\ncrash_now\n{again}crash_now\n{again}go\n"
    wrong, out = talk(ENLIST, batch, "sync now_ns=1600000000\ngo\n", ASK)
    assert wrong is None and out.count("end\n") == 4 and "relay corr=r-a" in out


@pytest.mark.parametrize(
    "line",
    [
        "sync now_ns=x\n",
        "hello\n",
        "sync now_ns=1\nswitch_to who=3\nnonsense a=1\ngo\n",
        "sync now_ns=1\nswitch_to who=3\nnew_request\n",
        "sync now_ns=1\nring handle=1\ngo\n",
        ENLIST + "sync now_ns=2000000000\nswitch_to who=3\ndone corr=r-a rc=what streamer=1\ngo\n",
    ],
)
def test_a_malformed_line_is_named(line):
    wrong, _ = talk(line)
    assert wrong and wrong.startswith("terndrift: line ")


def test_a_fault_of_the_module_is_reported(monkeypatch):
    monkeypatch.setattr("terndrift.decide.Controller.wanted", lambda *a, **k: 1 / 0)
    wrong, out = talk(ENLIST, ASK)
    assert wrong is None and "die reason_text=ZeroDivisionError" in out


def test_a_list_that_must_be_asked_for_is_subscribed_to_and_again_after_a_failure():
    asked = ENLIST.replace(
        "profiles.count", "registry_mode=subscribe rules.ask_within_ns=8000000000 profiles.count"
    )
    failed = "sync now_ns=1100000000\nswitch_to who=3\nendpoints how=3 index=0 table=0\ngo\n"
    later = "sync now_ns=4000000000\nswitch_to who=3\nring handle=1\ngo\n"
    wrong, out = talk(asked, failed, later)
    assert wrong is None and out.count("subscribe on=1") == 2
    wrong, out = talk(ENLIST, failed, later)
    assert wrong is None and "subscribe" not in out


def test_what_a_further_viewer_of_a_live_plan_adds_is_read_by_plan():
    base = {
        "profiles.count": "2",
        "profiles.0.name": "match",
        "profiles.1.name": "film",
        "family_info.rung_kb": "100",
        "family_info.worth_by_rung": "1",
        "family_info.shared_adds": "0.2",
    }
    for live, adds in (("true,false", [0.2, 1.0]), ("", [1.0, 1.0])):
        made, _, _ = terms.deployment({**base, "family_info.class_live": live})
        assert [plan.adds for plan in made.plans.values()] == adds


def test_the_link_is_read_from_whatever_tells_most_of_it():
    for fields, said, want in (
        ("cpu,x0", "0.9,1.4", 1.4),
        ("x0,cpu", "1.4,0.9", 1.4),
        ("waiting,cpu", "3,0.9", 0.9),
        ("waiting,rps", "3,9", None),
        ("x0", "?", None),
    ):
        assert codec.parse_load_report({"telemetry": said}, fields.split(",")).get("link") == want
        links = terms.deployment({"family_info.rung_kb": "100", "load_report.fields": fields})[0].links
        assert links.told == (fields != "waiting,rps")
    probed = {"family_info.rung_kb": "100", "load_report.fields": "x0", "load_report.how": "probe"}
    assert not terms.deployment(probed)[0].links.told
