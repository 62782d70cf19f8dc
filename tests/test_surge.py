"""Shedding at one controller: its core and front over real sockets, the fleet's word handed in by hand."""

from types import SimpleNamespace as Made

from testbed import in_testbed

from terndrift.fleet import load
from terndrift.fleet.load import LAPSES, Loads
from terndrift.fleet.surge import HELD, Surge, hold, release

NO_BREAKS = {name: 0 for name in ("answers", "set_ups", "drains", "cold", "terms", "budget")}


def surge_of(testbed, level=0.0):
    """As the service makes it, with a fleet of one that has nothing but a level."""
    service = testbed.service
    fleet = Made(
        me="c0",
        loads=Loads("c0", ["c0"], service.clock.now() - LAPSES),
        shed=None,
        known={"c0"},
        voters=[],
        members=Made(alive=lambda: []),
        follower=Made(state={"map": {}}),
    )
    surge = Surge(fleet, service.core_runner, service.core.deployment.plans)
    watched = service.core.watch

    def watch(event, playback, **facts):
        watched(event, playback, **facts)
        surge.watch(event, playback, **facts)

    service.core.watch, service.front.sheds, service.front.refused = watch, surge.sheds, surge.gate
    fleet.loads.decided(service.clock.now(), level)
    return surge, fleet


@in_testbed
async def test_a_level_sheds_the_least_important_plan_at_once_and_what_plays_goes_on(testbed):
    surge, fleet = surge_of(testbed)
    counted, count = [], surge.own.count

    def watched(now, plan, *which):
        counted.append((plan, which))
        count(now, plan, *which)

    surge.own.count = watched
    assert surge.order == ["free", "seated", "paid"]
    assert [(await testbed.request_playback(t))[0] for t in ("clip", "lesson")] == [200, 200]
    playing = len(testbed.service.core.playbacks)
    fleet.loads.decided(testbed.service.clock.now(), 1.0)
    attempts = len(testbed.streamer_events("try"))
    code, headers, *_ = await testbed.request_playback("clip")
    assert code == 503 and int(headers["Retry-After"]) >= 1, "answered at once, with when to come back"
    assert (await testbed.request_playback("lesson"))[0] == 200 and (await testbed.request_playback("seat"))[
        0
    ] == 200
    assert (
        len(testbed.streamer_events("try")) == attempts + 2 and len(testbed.service.core.playbacks) >= playing
    )
    free = [which for plan, which in counted if plan == "free"]
    assert free[0] == (load.WANTED,) and free[1][0] == load.ANSWERED
    assert free[2:] == [(load.WANTED, load.SHED)]
    assert testbed.audit_report()["rules"] == NO_BREAKS


@in_testbed
async def test_without_overload_nothing_differs_and_a_level_that_nobody_tells_any_more_lapses(testbed):
    surge, fleet = surge_of(testbed)
    assert not any(surge.sheds(plan, f"v{n}", "title x") for plan in surge.order for n in range(50))
    fleet.loads.level = 3.0, "c9", testbed.service.clock.now() - LAPSES - 1
    assert surge.level() == 0 and not surge.sheds("free", "v1", "title x")
    assert (await testbed.request_playback("clip"))[0] == 200


@in_testbed
async def test_an_operators_word_wins_until_it_lapses_and_is_agreed_like_any_entry(testbed):
    surge, fleet = surge_of(testbed, 2.0)
    clock = testbed.service.clock
    wall = clock.to_wall_ns(clock.now()) // 1_000_000
    _, value = hold(0.0, 60, "ops", wall)
    fleet.follower.state["map"] |= value
    assert surge.level() == 0 and surge.report()["held"]["by"] == "ops"
    assert (await testbed.request_playback("clip"))[0] == 200
    fleet.follower.state["map"] |= hold(1.0, 5, "ops", wall - 6000)[1]
    assert surge.level() == 2.0, "over"
    assert release(wall)[1] == {HELD: None}


@in_testbed
async def test_a_strained_controller_sends_viewers_on_and_turns_them_away_in_order_where_it_can_not(testbed):
    surge, fleet = surge_of(testbed)
    assert not surge.second(0, 0.5, 0.5) and not surge.strain.level
    assert not surge.second(10**9, 0.5, 0.0), "once late may be the machine's own pause"
    assert surge.second(10**9, 0.5, 0.0) and not surge.second(0, 0.99, 0.0)
    assert surge.strain.level == 1.0 and surge._beside(testbed.service.clock.now()).strained == ["c0"]
    assert (await testbed.request_playback("clip"))[0] == 503 and (await testbed.request_playback("lesson"))[
        0
    ] == 200
    surge.elsewhere, testbed.service.front.elsewhere = lambda: True, lambda: "http://other:80"
    code, headers, *_ = await testbed.request_playback("clip")
    assert code == 307 and headers["Location"].startswith("http://other:80/v/clip/main.m3u8")


@in_testbed
async def test_one_crowd_is_turned_away_first_and_told_when_to_come_back_as_the_fleet_has_room(testbed):
    surge, fleet = surge_of(testbed)
    now = testbed.service.clock.now()
    fleet.loads.decided(now, 0.0, {"title clip": 1.0})
    surge.told = None, {}, (10**9, 2 * 10**9)
    told = [(await testbed.request_playback("clip"))[:2] for _ in range(12)]
    assert {code for code, _ in told} == {503} and {h["Retry-After"] for _, h in told} == {"1", "2"}
    assert (await testbed.request_playback("first"))[0] == 200, "another title of the same plan"
    assert sum(surge.book.table(now)) > 0
    assert surge._beside(testbed.service.clock.now() + 10**9).keys["title clip"] >= 1


@in_testbed
async def test_new_connections_wait_their_turn_and_one_that_may_not_be_made_is_a_try_never_sent(testbed):
    surge, _ = surge_of(testbed)
    testbed.service.transport.pace = surge.connecting
    assert (await testbed.request_playback("clip"))[0] == 200, "no limit"
    testbed.service.transport.pace = lambda address: None
    testbed.service.pool.close()
    code, *_, took = await testbed.request_playback("lesson")
    assert code == 503, "a paid one is told so: it never ran"
    testbed.service.transport.pace = lambda address: 50_000_000
    assert (await testbed.request_playback("lesson"))[0] == 200
    assert testbed.audit_report()["rules"] == NO_BREAKS
