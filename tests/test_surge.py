"""Overload handling of one controller: core and front over real sockets, fleet decisions set directly."""

from types import SimpleNamespace

from testbed import in_testbed

from terndrift.fleet import load_reports
from terndrift.fleet.load_reports import REPORT_LIFETIME_NS, LoadReports
from terndrift.fleet.overload_control import HOLD_KEY, OverloadControl, hold, release

NO_VIOLATIONS = {name: 0 for name in ("answers", "set_ups", "drains", "cold", "terms", "budget")}


def add_surge(testbed, level=0.0):
    """Hooks an OverloadControl into the testbed's service as service.py does; returns it and a fleet of one
    controller."""
    service = testbed.service
    fleet = SimpleNamespace(
        own_name="c0",
        load_reports=LoadReports("c0", ["c0"], service.clock.now() - REPORT_LIFETIME_NS),
        shedding=None,
        configured_names={"c0"},
        voter_names=[],
        membership=SimpleNamespace(alive_names=lambda: []),
        committed_log=SimpleNamespace(state={"map": {}}),
    )
    surge = OverloadControl(fleet, service.core_runner, service.core.deployment.plans)
    core_watch = service.core.watch

    def watch(event, playback, **facts):
        core_watch(event, playback, **facts)
        surge.watch(event, playback, **facts)

    service.core.watch, service.front.sheds, service.front.refused = watch, surge.sheds, surge.gate
    fleet.load_reports.decided(service.clock.now(), level)
    return surge, fleet


@in_testbed
async def test_a_level_sheds_the_least_important_plan_at_once_and_playbacks_continue(testbed):
    surge, fleet = add_surge(testbed)
    counted, count = [], surge.counter.count

    def record_count(now, plan, *columns):
        counted.append((plan, columns))
        count(now, plan, *columns)

    surge.counter.count = record_count
    assert surge.order == ["free", "seated", "paid"]
    assert [(await testbed.request_playback(t))[0] for t in ("clip", "lesson")] == [200, 200]
    held_before = len(testbed.service.core.playbacks)
    fleet.load_reports.decided(testbed.service.clock.now(), 1.0)
    attempts_before = len(testbed.streamer_events("try"))
    code, headers, *_ = await testbed.request_playback("clip")
    assert code == 503 and int(headers["Retry-After"]) >= 1, "answered at once, with the time to come back"
    assert (await testbed.request_playback("lesson"))[0] == 200 and (await testbed.request_playback("seat"))[
        0
    ] == 200
    assert (
        len(testbed.streamer_events("try")) == attempts_before + 2
        and len(testbed.service.core.playbacks) >= held_before
    )
    free_counts = [columns for plan, columns in counted if plan == "free"]
    assert free_counts[0] == (load_reports.WANTED,) and free_counts[1][0] == load_reports.ANSWERED
    assert free_counts[2:] == [(load_reports.WANTED, load_reports.SHED)]
    assert testbed.audit_report()["rules"] == NO_VIOLATIONS


@in_testbed
async def test_without_overload_no_viewer_is_shed_and_a_level_that_is_no_longer_reported_expires(testbed):
    surge, fleet = add_surge(testbed)
    assert not any(surge.sheds(plan, f"v{n}", "title x") for plan in surge.order for n in range(50))
    fleet.load_reports.level = 3.0, "c9", testbed.service.clock.now() - REPORT_LIFETIME_NS - 1
    assert surge.level() == 0 and not surge.sheds("free", "v1", "title x")
    assert (await testbed.request_playback("clip"))[0] == 200


@in_testbed
async def test_a_level_held_by_an_operator_overrides_the_fleets_until_it_expires_or_is_released(testbed):
    surge, fleet = add_surge(testbed, 2.0)
    clock = testbed.service.clock
    wall = clock.to_wall_ns(clock.now()) // 1_000_000
    _, value = hold(0.0, 60, "ops", wall)
    fleet.committed_log.state["map"] |= value
    assert surge.level() == 0 and surge.report()["held"]["by"] == "ops"
    assert (await testbed.request_playback("clip"))[0] == 200
    fleet.committed_log.state["map"] |= hold(1.0, 5, "ops", wall - 6000)[1]
    assert surge.level() == 2.0, "the hold has expired"
    assert release(wall)[1] == {HOLD_KEY: None}


@in_testbed
async def test_an_overloaded_controller_redirects_viewers_or_sheds_them_in_order_where_it_can_not(testbed):
    surge, fleet = add_surge(testbed)
    assert not surge.update_strain(0, 0.5, 0.5) and not surge.strain.level
    assert not surge.update_strain(10**9, 0.5, 0.0), "a single delay may be a pause of the machine"
    assert surge.update_strain(10**9, 0.5, 0.0) and not surge.update_strain(0, 0.99, 0.0)
    assert surge.strain.level == 1.0 and surge._beside(testbed.service.clock.now()).overloaded == ["c0"]
    assert (await testbed.request_playback("clip"))[0] == 503 and (await testbed.request_playback("lesson"))[
        0
    ] == 200
    surge.elsewhere, testbed.service.front.elsewhere = lambda: True, lambda: "http://other:80"
    code, headers, *_ = await testbed.request_playback("clip")
    assert code == 307 and headers["Location"].startswith("http://other:80/v/clip/main.m3u8")


@in_testbed
async def test_viewers_of_a_capped_title_are_shed_and_told_to_come_back_when_the_fleet_has_capacity(testbed):
    surge, fleet = add_surge(testbed)
    now = testbed.service.clock.now()
    fleet.load_reports.decided(now, 0.0, {"title clip": 1.0})
    surge.last_limits = None, {}, (10**9, 2 * 10**9)
    answers = [(await testbed.request_playback("clip"))[:2] for _ in range(12)]
    assert {code for code, _ in answers} == {503} and {h["Retry-After"] for _, h in answers} == {"1", "2"}
    assert (await testbed.request_playback("first"))[0] == 200, "another title of the same plan"
    assert sum(surge.return_times.table(now)) > 0
    assert surge._beside(testbed.service.clock.now() + 10**9).request_counts["title clip"] >= 1


@in_testbed
async def test_new_connections_are_paced_and_a_refused_one_is_an_attempt_that_was_not_sent(testbed):
    surge, _ = add_surge(testbed)
    testbed.service.transport.pace = surge.connecting
    assert (await testbed.request_playback("clip"))[0] == 200, "no limit"
    testbed.service.transport.pace = lambda address: None
    testbed.service.pool.close()
    code, *_, took = await testbed.request_playback("lesson")
    assert code == 503, "a paid playback is refused, as it never ran"
    testbed.service.transport.pace = lambda address: 50_000_000
    assert (await testbed.request_playback("lesson"))[0] == 200
    assert testbed.audit_report()["rules"] == NO_VIOLATIONS
