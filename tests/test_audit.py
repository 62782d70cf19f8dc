"""The auditor is proven: a service with each rule broken on purpose is reported for it, and for it alone."""

import asyncio
import time

from testbed import in_testbed

from terndrift.audit import judge, placements
from terndrift.audit.facts import Facts
from terndrift.catalogue.titles import Title
from terndrift.catalogue.versions import Change
from terndrift.core.active_playback import Answer, AnswerKind
from terndrift.hints import cmcd
from terndrift.http.seats import Seats


def broken(testbed):
    report = testbed.audit_report()
    return {name for name, count in report["rules"].items() if count}


async def asks(testbed, title, count):
    players = [testbed.player(title, f"{title}{n}", seconds=0.5, pause=lambda: 9.0) for n in range(count)]
    return await asyncio.gather(*(p.ask() for p in players))


def late(service):
    async def turn_away(exchange, retry_after):
        await asyncio.sleep(2.0)
        await exchange.reply(503)

    service.front._turn_away = turn_away


@in_testbed(customize_service=late)
async def test_a_late_answer_breaks_the_first_rule(testbed):
    for s in testbed.fleet.streamers.values():
        s.begin("full", 1)
    await asks(testbed, "clip", 2)
    assert broken(testbed) == {"answers"}


def silent(service):
    async def handle(exchange):
        exchange.stream.close()

    service.server.handle = handle


@in_testbed(customize_service=silent)
async def test_no_answer_breaks_the_first_rule(testbed):
    await asks(testbed, "clip", 2)
    assert broken(testbed) == {"answers"}


def resending(service):
    transport, over = service.transport, service.transport._over

    def again(playback, ending, figures=None):
        if ending.may_have_run and playback.attempts < 2:
            playback.attempts += 1
            transport.tries.pop(playback)
            transport.set_up(playback, playback.streamer, playback.rung, 0)
        else:
            over(playback, ending, figures)

    transport._over = again


@in_testbed(customize_service=resending, streamers=2)
async def test_a_paid_plan_sent_again_breaks_the_second_rule(testbed):
    for s in testbed.fleet.streamers.values():
        s.begin("error", 1.0)
    await asks(testbed, "lesson", 2)
    assert broken(testbed) == {"set_ups"}


def hedging(service):
    transport, set_up = service.transport, service.transport.set_up

    def twice(playback, streamer, rung, timeout):
        set_up(playback, streamer, rung, timeout)
        first = transport.tries[playback]
        playback.attempts += 1
        set_up(playback, streamer, rung, timeout)
        transport.tries[playback] = first

    transport.set_up = twice


@in_testbed(customize_service=hedging)
async def test_two_tries_at_once_break_the_second_rule(testbed):
    for s in testbed.fleet.streamers.values():
        s.begin("late", 0.3)
    await asks(testbed, "clip", 2)
    assert "set_ups" in broken(testbed)


def rejecting(service):
    front, want = service.front, service.front._want

    def softened(now, request, visit):
        awaited = want(now, request, visit)
        answered = awaited.playback.on_answer

        def instead(answer):
            answered(Answer(AnswerKind.REJECTED) if answer.kind is AnswerKind.ABORTED else answer)

        awaited.playback.on_answer = instead
        return awaited

    front._want = softened


@in_testbed(customize_service=rejecting, streamers=1)
async def test_a_paid_plan_rejected_though_it_may_have_run_breaks_the_second_rule(testbed):
    testbed.fleet.streamers[0].begin("still", 1)
    await asks(testbed, "lesson", 1)
    assert broken(testbed) == {"set_ups"}


@in_testbed
async def test_new_work_to_what_drains_breaks_the_third_rule(testbed):
    testbed.service.listing.hand = lambda *_: None
    testbed.write_list(s0="draining", s1="gone")
    await testbed.list_in_force()
    await asyncio.sleep(0.8)
    await asks(testbed, "clip", 9)
    assert broken(testbed) == {"drains"}


@in_testbed
async def test_a_cold_streamer_pushed_over_breaks_the_fourth_rule(testbed):
    testbed.service.core.controller._may_start_cold = lambda *_: True
    one = testbed.fleet.streamers[1]
    one.die()
    one.start(cold=True)
    testbed.start_times[1] = time.time()
    testbed.write_list()
    await testbed.list_in_force()
    await asks(testbed, "first", 40)
    assert "cold" in broken(testbed) and one.fallen


def floorless(service):
    class Low(Seats):
        @staticmethod
        def rung(seat, floor, asked):
            return 0

    service.front.seats = Low(service.front.seats.idle, service.front.seats.room)
    service.titles.rung = lambda name, wanted, floor, top: wanted  # or it would mend it


@in_testbed(customize_service=floorless)
async def test_a_rung_under_the_floor_breaks_the_fifth_rule(testbed):
    await testbed.player("lesson", "v").watch()
    assert broken(testbed) == {"terms"}


@in_testbed
async def test_more_playbacks_than_seats_break_the_fifth_rule(testbed):
    testbed.service.core.controller.seats_taken = lambda *_: 0
    await asyncio.gather(*(testbed.player("seat", f"v{n}", seconds=1.0).watch() for n in range(4)))
    assert broken(testbed) == {"terms"}


@in_testbed(streamers=6)
async def test_tries_over_the_budget_break_the_sixth_rule(testbed):
    testbed.service.core.controller._extra_attempt_allowed = lambda *_: True
    for s in testbed.fleet.streamers.values():
        s.begin("full", 1)
    await asks(testbed, "clip", 25)
    assert broken(testbed) == {"budget"}


@in_testbed
async def test_a_sound_service_breaks_none(testbed):
    testbed.fleet.streamers[0].begin("error", 0.5)
    await asyncio.gather(asks(testbed, "clip", 10), asks(testbed, "lesson", 5), asks(testbed, "seat", 3))
    code, *_ = await testbed.request_playback("clip", {cmcd.SESSION: 'sid="x"'})
    assert code == 200 and broken(testbed) == set()


@in_testbed
async def test_a_placement_that_the_catalogue_forbids_is_found(testbed):
    testbed.service.core.may_use_streamer = lambda *_: True
    controller = testbed.service.core.controller
    testbed.service.core.holders_changed = lambda *_: None
    find = testbed.service.titles.find
    stale = {name: find(name) for name in ("clip", "first")}
    testbed.service.titles.find = stale.get
    for n, holders in enumerate([[2], None]):
        testbed.record_event("swap", controller="c0", number=n, title="first", holders=holders)
        change = (
            Change(f"m{n}", put={"first": Title("free", 2, holders=(2,))})
            if holders
            else Change(f"m{n}", drop=("first",))
        )
        await testbed.service.catalogue.apply(change)
        testbed.record_event("swapped", controller="c0", number=n, code=200)
        await asyncio.sleep(0.15)  # within the auditor's own doubt either state counts
        await asks(testbed, "first", 2)
    report = placements.report(testbed.audit_facts())
    assert report["wrong_placements"] >= 3 and controller.playbacks
    assert await asks(testbed, "clip", 2) and placements.report(testbed.audit_facts()) == report


def test_what_a_controller_takes_once_it_is_up_again_counts_from_then():
    """Datagrams outlive the controller that they were sent to; late by that clock is late."""
    deployment = {"rules": {}, "titles": {}, "plans": {}}
    for answered, breaks in ((9, 0), (12, 1)):
        viewers = [
            {"what": "ask", "ask": "a", "visit": "v", "title": "t", "controller": "h", "t": 3, "until": 7},
            {"what": "answer", "ask": "a", "t": answered, "code": 200},
        ]
        runner = [
            {"what": "controller down", "t": 1, "name": "c", "address": "h"},
            {"what": "controller up", "t": 6, "name": "c", "address": "h"},
        ]
        facts = Facts(deployment, {"viewers": viewers, "runner": runner, "streamers": []}, 0.0)
        assert len(list(judge.answers(facts))) == breaks
    runner.clear()
    viewers[1]["t"] = 9
    facts = Facts(deployment, {"viewers": viewers, "runner": runner, "streamers": []}, 0.0)
    assert len(list(judge.answers(facts))) == 1, "it was never down"
