"""The fleet stands still by itself: the loop of reports, cuts and newcomers in virtual time."""

import asyncio

import pytest
from click.testing import CliRunner
from helpers import Front, S
from world import in_world

from terndrift.audit import seconds
from terndrift.audit.facts import Facts
from terndrift.cli.main import cli
from terndrift.decide import State
from terndrift.rehearse import run, virtual


def calm(seed, controllers, lag=None, length=25):
    day = run.load("calm-fleet")
    if lag:
        day["deployment"]["links"]["lag"] = lag
    world = virtual.World(day, seed, controllers, day["size"]["streamers"], length)
    world.run()
    return world


def full(front, link):
    """Two own playbacks at the top of one streamer of 2,000 kB a second, which is then told as so full."""
    front.use(0, link=0.0)
    playing = [front.want(), front.want()]
    for pb in playing:
        front.play(pb)
    assert [pb.rung for pb in playing] == [3, 3]
    front.pass_time(3 * S)
    told(front, link)
    return playing


def told(front, link):
    for _ in range(2):  # the last two reports are averaged
        front.use(0, link=link)


def test_a_newcomer_without_room_is_made_room_for_by_own_playbacks_above_their_fair_rung():
    front = Front(streamers=1)
    playing = full(front, 1.05)  # over what it gives, and not by the tenth from which what plays goes down
    before = front.c.streamers[0].own_demand()
    pb = front.want()
    assert pb.state is State.TRYING, "held and turned away, where own playbacks have what it needs"
    assert sum(p.rung < 3 for p in playing) == 1
    assert front.c.streamers[0].own_demand() <= before, "no more is asked than before"


def test_nobody_yields_while_there_is_room_or_to_one_who_asks_more_than_they_can_give():
    front = Front(streamers=1)
    playing = full(front, 0.85)
    assert front.want().state is State.TRYING and [p.rung for p in playing] == [3, 3]
    front = Front(streamers=1)
    front.use(0, link=0.0)
    pb = front.want(top=0)
    front.play(pb)
    front.pass_time(3 * S)
    told(front, 1.05)
    assert front.want().state is State.HELD and pb.rung == 0


def test_a_cut_waits_for_a_report_of_the_time_after_it():
    front = Front(streamers=1, controllers=8)
    playing = full(front, 1.6)
    front.pass_time(S // 10)
    own = front.c.streamers[0].own_demand()
    assert own < 1600
    told(front, 1.59)  # of a second ago: it tells nothing of the cut
    front.pass_time(S // 2)
    assert front.c.streamers[0].own_demand() == own, "cut again by what was already answered"
    front.pass_time(S)
    told(front, 1.58)
    front.pass_time(S // 10)
    assert front.c.streamers[0].own_demand() < own and any(p.rung < 3 for p in playing)


@pytest.mark.parametrize("controllers", [3, 8])
def test_no_second_of_a_calm_day_turns_most_viewers_away(controllers):
    for seed in (77, 79):
        report = calm(seed, controllers).report()
        assert report["swing"]["low_share"] == 0 and report["swing"]["refused_share"] < 0.01
        assert not any(report["rules"].values())


def test_the_same_seed_gives_the_same_day_to_the_last_note():
    one, two = calm(5, 3, length=6), calm(5, 3, length=6)
    assert len(one.notes["streamers"]) > 200
    strip = [[{k: v for k, v in n.items() if k != "pb"} for n in w.notes["streamers"]] for w in (one, two)]
    assert strip[0] == strip[1]


def second(asked, answered, *, link=1_000_000.0, playing=0, fault=()):
    """Facts of one second: so many asked, so many of them answered, beside what plays at the top rung."""
    begin, notes = 10 * S, {"viewers": [], "streamers": [*fault], "runner": []}
    notes["runner"] += [
        {
            "what": "fleet",
            "t": begin,
            "begin": begin,
            "uplinks": {"0": link},
            "streamers": [{"id": 1, "rack": 0, "link": link, "places": 1000}],
        },
        {"what": "controller up", "t": begin, "name": "c0", "address": "c0"},
    ]
    for n in range(playing):
        key = {"streamer": 1, "pb": f"c0~1-{n}", "number": 1}
        notes["streamers"] += [
            {"what": "try", "t": begin - S, "title": "sorting", "br": 200, "sid": f"p{n}", **key},
            {"what": "try end", "t": begin - S, "code": 200, "ran": True, **key},
            {"what": "media", "t": begin - S, "rung": 3, "streamer": 1, "pb": f"c0~1-{n}"},
            {"what": "farewell", "t": begin + 5 * S, "streamer": 1, "pb": f"c0~1-{n}"},
        ]
    for n in range(asked):
        ask = {"ask": f"v{n}/1", "visit": f"v{n}"}
        notes["viewers"] += [
            {
                "what": "ask",
                "t": begin + n,
                "title": "sorting",
                "plan": "recorded",
                "controller": "c0",
                "until": begin + 3 * S,
                **ask,
            },
            {"what": "answer", "t": begin + S // 2, "code": 200 if n < answered else 503, **ask},
        ]
    return Facts(run.load("calm-fleet")["deployment"], notes, told_within=0.0)


def test_a_second_is_low_only_where_all_would_have_been_carried_at_the_floor():
    def low(facts):
        return seconds.report(facts, 1)["swing"]["low_share"]

    assert low(second(10, 4)) == 1.0 and low(second(10, 5)) == 0.0
    # 10 asked and 30 playing, 25 kB a second each: a link of 1 MB carries them, one of 900 kB does not
    assert low(second(10, 4, playing=30)) == 1.0 and low(second(10, 4, playing=30, link=900_000.0)) == 0.0
    assert low(second(3, 0)) == 0.0, "three are chance"
    down = {
        "what": "fault",
        "t": 9 * S,
        "kind": "die",
        "streamers": [1],
        "racks": [],
        "size": 1.0,
        "lasts": 5 * S,
    }
    assert low(second(10, 4, fault=[down])) == 0.0


def test_without_a_word_of_the_fleet_there_is_no_swing_to_report():
    facts = second(4, 4)
    facts.runner = []
    assert seconds.report(facts, 1) == {}


def test_a_day_is_played_in_virtual_time_and_drawn(tmp_path):
    out = CliRunner().invoke(
        cli,
        [
            "rehearse",
            "calm-fleet",
            "--virtual",
            "--seconds",
            "5",
            "--controllers",
            "2",
            "--plot",
            str(tmp_path / "day.png"),
        ],
    )
    assert out.exit_code == 0 and '"swing"' in out.output
    assert (tmp_path / "day.png").read_bytes().startswith(b"\x89PNG")
    out = CliRunner().invoke(cli, ["rehearse", "bad-day", "--virtual"])
    assert out.exit_code == 2 and "not played in virtual time" in out.output


@in_world
async def test_a_set_up_is_not_asked_for_on_a_connection_that_the_controller_is_closing(world):
    """`catalogue-swap`, seed 990005 under load: a request on an idle connection that the controller closed in
    that moment was never taken, and was judged as taken and lost."""
    player = world.player(visit="v1")
    await player.watch()
    await asyncio.sleep(0.05)
    for stream in list(world.service.server.peers):
        stream.close()  # its end has not been read on the player's side
    await player.ask()
    assert not [n for n in world.notes("no answer")] and world.breaks()["rules"]["answers"] == 0
