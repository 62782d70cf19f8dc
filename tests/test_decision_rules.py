"""One small test for each rule of the decisions, showing the fault that the rule prevents."""

from dataclasses import replace

from helpers import MS, SECOND, Front, list_entry

from terndrift.decide import State
from terndrift.interface import Ending, Standing


def test_the_least_loaded_holder_is_chosen_and_the_set_up_count_breaks_near_ties():
    front = Front()
    front.report_utilisation(0, link=0.8)
    for n in (1, 2, 3):
        front.report_utilisation(n, link=0.3 if n == 2 else 0.6)
    assert front.request().streamer.entry.id == 2
    front = Front()
    assert len({front.request(title=str(n)).streamer for n in range(4)}) == 4


def test_a_list_change_resets_the_set_up_counts():
    front = Front()
    front.request()
    front.change_list([list_entry(9, cell=1)])
    assert not front.controller.setup_counts


def test_a_streamer_that_refused_is_not_attempted_again_and_the_last_refusal_rejects():
    front = Front(streamers=2, extra_attempts=9)
    playback = front.request()
    first = playback.streamer
    front.end_attempt(playback, Ending.FULL)
    assert playback.streamer is not first and playback.attempts == 2
    front.end_attempt(playback, Ending.FULL)
    assert playback.state is State.REJECTED and playback.retry_after


def test_the_rung_keeps_link_and_uplink_under_the_target_utilisation():
    front = Front(streamers=1)
    front.report_utilisation(0, link=0.65)  # 0.25 of 2000 kB/s are left under the target: the 400 kB/s rung
    assert front.request().rung == 2
    front = Front(streamers=1)
    front.report_utilisation(0, link=0.92)
    lowest = front.request()
    assert lowest.rung == 0, "the lowest rung must be used if the link has room"
    front.succeed(lowest)
    front.report_utilisation(0, link=1.3)
    held = front.request()
    assert held.state is State.HELD
    front.advance(1900 * MS)
    assert held.state is State.HELD
    front.advance(200 * MS)
    assert held.state is State.REJECTED


def test_an_erring_streamer_is_backed_off_and_each_success_halves_the_backoff():
    front = Front(streamers=2, extra_attempts=None)
    front.succeed(front.request())  # so that errors over this title count
    failed = front.request()
    erring = failed.streamer
    front.end_attempt(failed, Ending.ERRED)
    for _ in range(3):
        assert front.request(title="u").streamer is not erring
    backoff = erring.backoff
    front.advance(backoff)
    front.controller._record_success(front.now, erring)
    assert erring.backoff == backoff // 2
    for _ in range(4):
        front.controller._record_success(front.now, erring)
    assert erring.backoff == 0, "no backoff is left"


def test_errors_over_a_title_that_never_played_do_not_count_against_streamers():
    front = Front(streamers=4, extra_attempts=None)
    for n in range(3):
        unknown = front.request(title=f"ghost{n}")
        while unknown.state is State.ATTEMPTING:
            front.end_attempt(unknown, Ending.ERRED)
        assert unknown.state is State.REJECTED and len(unknown.attempted) == 4
    assert not any(streamer.backoff for streamer in front.controller.streamers.values())
    assert front.request().state is State.ATTEMPTING, "other viewers must be placed"
    silent = front.request(title="ghost")
    front.advance(silent.timeout + 50 * MS)
    assert silent.attempted[0].backoff, "silence counts against the streamer whatever was requested"


def test_accepted_times_are_bounded_without_a_budget_of_extra_attempts():
    front = Front(extra_attempts=None)
    front.controller.accepted_times.extend([front.now] * 10**5)
    front.request()
    assert len(front.controller.accepted_times) == 10**5 and front.controller.accepted_times[-1] == front.now


def test_a_repeated_load_report_does_not_displace_newer_figures():
    front = Front(streamers=1)
    old = [front.request(top=0) for _ in range(5)]
    for playback in old:
        front.succeed(playback)
    streamer = old[0].streamer
    front.end_attempt(old[0], Ending.PLAYED_OUT, finished=True, report={"link": 0.95, "uplink": 0.5})
    assert streamer.others_demand(front.now) > 1000
    for playback in old[1:]:
        front.advance(2 * SECOND)
        front.report_utilisation(0, link=0.3)
        front.end_attempt(playback, Ending.PLAYED_OUT, finished=True, report={"link": 0.95, "uplink": 0.5})
    assert streamer.others_demand(front.now) + streamer.own_demand() <= 0.4 * streamer.link_capacity


def test_the_timeout_of_a_set_up_leaves_time_for_another_before_the_startup_target():
    front = Front(extra_attempts=9)
    playback = front.request()
    assert playback.timeout <= SECOND // 2
    front.advance(playback.timeout + 50 * MS)
    assert playback.attempts == 2


def test_a_paid_set_up_that_may_have_run_is_aborted_and_never_resent():
    front = Front()
    playback = front.request("paid")
    assert playback.timeout == 4 * SECOND
    front.end_attempt(playback, Ending.BROKEN)
    assert playback.state is State.ABORTED and playback.attempts == 1
    playback = front.request("paid", title="u")
    front.end_attempt(playback, Ending.FULL)
    assert playback.state is State.ATTEMPTING and playback.attempts == 2
    playback = front.request("paid", title="v", left=SECOND)
    front.now += SECOND + 10 * MS  # the outcome of the set-up is late
    front.controller.wake(front.now)
    assert playback.state is State.ABORTED


def test_a_seat_is_taken_until_the_outcome_of_its_set_up():
    front = Front()
    one, two = front.request("paid"), front.request("paid")
    front.succeed(one)
    assert front.request("paid").state is State.HELD
    assert front.request("paid", title="other").state is State.ATTEMPTING
    front.end_attempt(two, Ending.FULL)
    assert two.state is State.ATTEMPTING and front.controller.seats_taken(two.plan, two.title) == 2


def test_no_set_up_goes_to_streamers_that_drain_or_are_gone():
    front = Front(streamers=2)
    front.change_list([list_entry(0, 0, Standing.DRAINING)])
    assert {front.request().streamer.entry.id for _ in range(3)} == {1}
    front.change_list([], whole=True)
    assert front.request() is None, "without a holder it must be rejected at once"


def test_a_cold_streamer_is_paced_by_all_controllers_together():
    for warm, started in ((True, 1), (False, 0)):  # the streamer is listed as new; the controller is new
        times = []
        for rank in (0, 1):
            front = Front(streamers=1, rank=rank, warm=warm)
            front.change_list([list_entry(0, started=started and front.now)])
            for _ in range(200):
                front.now += 50 * MS
                playback = front.request(left=50 * MS)
                if playback and playback.state is State.ATTEMPTING:
                    times.append(front.now)
                    front.succeed(playback)
                    front.end_attempt(playback, Ending.PLAYED_OUT, finished=True)
        times.sort()
        window, pace = 2 * SECOND, 20 / 10
        for n, t in enumerate(times):
            inside = sum(t <= u < t + window for u in times[n:])
            x = min(1.0, (t - times[0] + 3 * SECOND) / (10 * SECOND))
            assert inside <= 3 * pace * (0.4 + 0.6 * x) * 2 + 1
        assert times


def test_a_failed_streamer_is_treated_as_cold_before_the_list_reports_its_restart():
    front = Front(streamers=1, extra_attempts=None)
    playback = front.request()
    front.end_attempt(playback, Ending.UNREACHED)
    failed_streamer = front.controller.streamers[0]
    assert failed_streamer.failed_at is not None
    front.advance(8 * SECOND)
    front.controller._record_success(front.now, failed_streamer)
    assert failed_streamer.entry.started == front.now, "its warm-up must count from its first success"


def test_a_high_load_report_fades_so_that_the_streamer_is_used_again():
    front = Front(streamers=2)
    front.report_utilisation(0, link=3.0)
    front.report_utilisation(1, link=0.5)
    front.advance(20 * SECOND)
    front.report_utilisation(1, link=0.5)
    assert front.controller.streamers[0].utilisation(front.now) < 1.8, "the reported load must fade"


def report_shares(front, shares):
    """Play on all four streamers, report the shares for streamer 0, a second apart, and return it."""
    for n in (0, 2, 1, 3):
        front.succeed(front.request(title=str(n)))
    for share in shares:
        front.now += SECOND
        front.report_delivery(0, share)
    return front.controller.streamers[0]


def test_one_short_delivery_report_is_not_blamed_on_the_uplink():
    streamer = report_shares(Front(racks=1), [0.9, 0.8])
    assert not streamer.rack.capacity_samples
    streamer = report_shares(Front(streamers=1), [0.9])
    assert streamer.rack.capacity(streamer.rack.capacity_samples[-1][0]) < 9000, (
        "without others of the rack in use the uplink is blamed"
    )
    front = Front(racks=1)
    streamer = report_shares(front, [0.9])
    front.report_delivery(1, 0.9)
    assert not streamer.rack.capacity_samples, "one other short streamer of three is not enough"
    front.report_delivery(2, 0.9)
    assert streamer.rack.capacity(front.now) < 9000, "with half of the others short too the uplink is blamed"
    front.advance(60 * SECOND)
    assert streamer.rack.capacity(front.now) == 9000, "the capacity must return to nominal"


def test_a_streamer_that_delivers_next_to_nothing_is_backed_off():
    streamer = report_shares(Front(racks=1), [0.6, 0.4])
    assert streamer.backoff and not streamer.rack.capacity_samples


def test_a_handed_over_playback_keeps_its_rung_until_there_is_room_to_rise():
    front = Front(streamers=1)
    front.model.taken(front.now, "old", "free", "t", front.now + 900 * SECOND)
    front.controller.adopt_playback(
        front.now, "old", "free", "t", frozenset(range(4)), 3, 900 * SECOND, 0, False, 0
    )
    front.controller.rung_reported(front.now, "old", 1)
    playback = front.controller.playbacks["old"]
    assert playback.rung == 1 and front.controller.seats_taken(playback.plan, "t") == 1
    front.advance(3 * SECOND)
    front.report_utilisation(0, link=0.1)
    front.advance(SECOND)
    assert playback.rung == 3
    front.report_utilisation(0, link=2.0)
    front.advance(SECOND)
    front.controller.wake(front.now)
    assert playback.rung < 3, "the rung must go down on an overloaded link"


def test_a_newcomer_gets_its_part_of_the_link_by_number_and_the_last_step_by_chance():
    front, rungs = Front(streamers=1), []
    for n in range(40):
        # two others at the typical 400 kB/s: a third of the target is 600 kB/s
        front.report_utilisation(0, link=0.4)
        playback = front.request(title=str(n))
        rungs.append(playback.rung)
        front.succeed(playback)
        front.end_attempt(playback, Ending.PLAYED_OUT, finished=True)
    assert set(rungs) == {2, 3} and 10 <= rungs.count(2) <= 30, (
        "within the fair part, though 1000 kB/s are free"
    )


def test_after_a_restart_among_many_controllers_a_cold_start_turn_comes_within_the_hold():
    served = 0
    for rank in range(40):  # with turns of single ranks hardly one of 100 would place within its hold
        front = Front(streamers=40, warm=False, rank=rank * 7, controllers=290)
        playback = front.request(cells=4)
        front.advance(1900 * MS)
        served += bool(playback and playback.attempts)
    assert served > 30


def test_the_uplink_report_is_used_while_most_of_the_rack_has_not_reported():
    front = Front(racks=1)
    rack = front.controller.streamers[0].rack
    front.report_utilisation(0, uplink=0.5)
    assert rack.demand(front.now) == 4500 and rack.capacity(front.now) == 9000
    for n in (0, 1, 2):
        front.report_utilisation(n, link=0.5)
    front.report_utilisation(0, uplink=0.5)
    assert rack.demand(front.now) < 4500, "the sum of the links must be used again once they report"


def test_streamers_long_gone_are_forgotten_unless_they_are_in_use():
    """A list of ever new names must not use up memory, yet a gone streamer is kept for `cold_for`."""
    front = Front(streamers=1)
    front.request()
    in_use = next(iter(front.controller.streamers.values()))
    front.change_list([list_entry(0, standing=Standing.GONE)])
    for n in range(1, 400):
        front.change_list([list_entry(n, standing=Standing.READY, started=front.now)])
        front.change_list([list_entry(n, standing=Standing.GONE, started=front.now)])
        assert n in front.controller.streamers, "a streamer that may be cold must be kept"
        front.now += 200 * MS
    assert (
        len(front.controller.streamers) < 400 * 200 / 1000 * 5
        and 0 in front.controller.streamers
        and in_use.playbacks
    )
    front.now += 60 * SECOND
    front.change_list([list_entry(999)])
    assert len(front.controller.streamers) <= 2 * 64 + 4 and sum(
        map(len, front.controller.by_cell.values())
    ) == len(front.controller.streamers)


def test_of_very_many_holders_a_sample_is_considered_and_all_if_none_of_it_is_eligible():
    front = Front(streamers=0)
    front.change_list(
        [list_entry(n, cell=n, standing=Standing.DRAINING if n else Standing.READY) for n in range(2000)]
    )
    playback = front.request(cells=2000)
    assert playback.state is State.ATTEMPTING and playback.streamer.entry.id == 0, (
        "the only streamer that is ready"
    )
    front = Front(streamers=0)
    front.change_list([list_entry(n, cell=n) for n in range(2000)])
    assert len({front.request(cells=2000).streamer for n in range(60)}) == 60
    considered = []
    front.controller._rank_candidates = lambda now, able, playback: considered.append(len(able)) or able
    front.request(cells=2000)
    assert considered[0] <= 300


def test_list_requests_are_staggered_by_rank_and_retried_with_backoff():
    fronts = [Front(rank=rank, controllers=4, list_within=10 * SECOND) for rank in range(4)]
    for front in fronts:
        assert front.controller.list_requests == 0 or front.deployment.rank == 0
        front.advance(3 * SECOND)
        assert front.controller.list_requests == 1
    front, pauses = fronts[0], []
    for _ in range(5):
        front.controller.list_failed(front.now)
        calls, since = front.controller.list_requests, front.now
        while front.controller.list_requests == calls:
            front.advance(50 * MS)
        pauses.append(front.now - since)
    assert pauses[0] <= 2 * SECOND and max(pauses) <= 8 * SECOND and pauses[-1] > pauses[0], (
        "the pauses must grow, up to a limit"
    )
    front.change_list([list_entry(0)])
    front.advance(60 * SECOND)
    assert front.controller.list_requests == calls + 1, "no request while the list comes"


def test_a_list_that_comes_unrequested_is_never_requested():
    front = Front()
    front.controller.list_failed(front.now)
    front.advance(60 * SECOND)
    assert front.controller.list_requests == 0 and front.controller.wake_at is None


def test_viewers_of_a_live_title_are_placed_together_and_share_a_stream():
    front = Front(streamers=4)
    one = front.request("live", "match")
    front.succeed(one)
    for other in {0, 1, 2, 3} - {one.streamer.entry.id}:
        front.report_utilisation(other, link=0.0)
    front.report_utilisation(one.streamer.entry.id, link=0.2)
    two, three = front.request("live", "match"), front.request("live", "other")
    assert two.streamer is one.streamer, "the streamer of the stream must be chosen though others are idle"
    assert three.streamer is not one.streamer, "another title must be placed by load"
    assert one.rung == two.rung == 3 and one.streamer.own_demand() == 800.0 * 1.25
    plain = Front(streamers=4)
    first = plain.request("free", "match")
    plain.succeed(first)
    second = plain.request("free", "match")
    assert second.streamer is not first.streamer, "a title that is not live must be placed by load alone"
    assert (
        first.streamer.own_demand() + second.streamer.own_demand()
        == first.rates[first.rung] + second.rates[second.rung]
    )


def test_near_ties_for_a_live_title_are_broken_alike_at_every_controller():
    fronts = [Front(streamers=8, rank=rank, controllers=6) for rank in range(6)]
    for front in fronts:
        front.controller.draw_count = front.deployment.rank  # in production their seeds differ
    chosen = {
        plan: {front.request(plan, "match", cells=8).streamer.entry.id for front in fronts}
        for plan in ("live", "free")
    }
    assert len(chosen["live"]) == 1 and len(chosen["free"]) > 1


def test_a_short_delivery_stands_for_link_load_if_answers_do_not_report_it():
    for answers_report_load in (False, True):
        front = Front(streamers=4, answers_report_load=answers_report_load)
        playbacks = [front.request(cells=4) for _ in range(4)]
        for playback in playbacks:
            front.succeed(playback)
        front.advance(4 * SECOND)
        streamer = playbacks[0].streamer
        own = streamer.own_demand()
        front.report_delivery(streamer.entry.id, 0.5)
        assert [kb for _, kb in streamer.load_reports] == ([] if answers_report_load else [4000.0 - own])
        assert front.controller.typical_demand[0] < 2000.0, "the typical demand must not include it"


def test_no_playback_joins_a_stream_below_its_floor():
    front = Front(streamers=1)
    front.deployment.plans["live"] = replace(front.deployment.plans["live"], floor=1)
    front.controller.adopt_playback(
        front.now, "old", "live", "match", frozenset({0}), 3, 4 * SECOND, 0, False, 0
    )
    front.controller.rung_reported(front.now, "old", 0)
    front.report_utilisation(0, link=0.78)
    playback = front.request("live", "match", cells=1)
    assert playback.state is State.ATTEMPTING and playback.rung == 1


def test_accepted_times_are_dropped_after_their_window_without_extra_attempts():
    front = Front()
    for _ in range(40):
        playback = front.request(left=SECOND)
        front.succeed(playback)
        front.end_attempt(playback, Ending.PLAYED_OUT, finished=True)
        front.advance(SECOND)
    assert (
        len(front.controller.accepted_times) <= front.deployment.rules.extra_window // SECOND + 1
        and not front.controller.extra_attempt_times
    )


def test_extra_attempts_stop_at_the_budget_lent_by_the_fleet_until_the_next_call():
    front = Front(streamers=4, extra_attempts=9)
    front.controller.fleet_limits_changed(front.now, 1, {}, ())
    a, b = front.request(), front.request(title="u")
    front.end_attempt(a, Ending.FULL)
    front.end_attempt(b, Ending.FULL)
    assert a.attempts == 2 and b.attempts == 1 and b.state is State.HELD, "the one attempt lent is used"
    front.controller.fleet_limits_changed(front.now, 1, {}, ())
    front.advance(100 * MS)
    assert b.attempts == 2
    front.controller.fleet_limits_changed(front.now, 0, {}, ())
    assert front.request(title="v").attempts == 1, "the budget must not limit first attempts"
    front.controller.fleet_limits_changed(front.now, None, {}, ())
    front.end_attempt(a, Ending.FULL)
    front.end_attempt(b, Ending.FULL)
    front.advance(100 * MS)
    assert a.attempts == b.attempts == 3, "None must lift the limit"


def test_streamers_left_to_other_members_are_excluded_and_those_that_seem_dead_count_as_cold():
    front = Front(streamers=2)
    front.controller.fleet_limits_changed(front.now, None, {0: False}, ())
    assert {front.request(title=str(n)).streamer.entry.id for n in range(4)} == {1}
    front.controller.fleet_limits_changed(front.now, None, {0: False, 1: None, 7: None}, ())
    playback = front.request(title="x")
    assert playback is None and front.controller.streamers[1].failed_at == front.now, (
        "it must be rejected at once without another holder"
    )
    front.controller.fleet_limits_changed(front.now, None, {1: True}, ())
    assert front.controller.streamers[1].failed_at is not None and not front.controller.left_to_others
    front.controller.cold_start_turn = None
    assert {front.request(title=f"y{n}").streamer.entry.id for n in range(2)} == {0}, (
        "streamer 1 must be treated as cold"
    )


def test_a_streamer_in_backoff_is_attempted_at_once_when_the_fleet_finds_it_usable():
    front = Front(streamers=1, extra_attempts=9)
    front.succeed(front.request())
    failed = front.request()
    front.end_attempt(failed, Ending.ERRED)
    streamer = front.controller.streamers[0]
    assert streamer.backoff and streamer.next_attempt_at > front.now
    front.controller.fleet_limits_changed(front.now, None, {0: True}, ())
    assert streamer.next_attempt_at == front.now and streamer.backoff, (
        "its backoff must stay, so that a further failure doubles it"
    )
    assert front.request(title="t").streamer is streamer


def test_rejected_playbacks_get_one_of_the_retry_times_of_the_fleet_by_their_draw():
    front = Front(streamers=0)
    assert front.controller.retry_advice == SECOND
    advice, retry_times = (2 * SECOND, 3 * SECOND, 5 * SECOND, 9 * SECOND), []
    front.controller.fleet_limits_changed(front.now, None, {}, advice)
    for n in range(80):
        changed = front.controller.request_playback(
            front.now, f"x{n}", "free", "t", frozenset([0]), 3, 4 * SECOND, 0, False
        )
        retry_times.append(changed[0].retry_after)
    assert set(retry_times) == set(advice) and all(10 <= retry_times.count(a) <= 30 for a in advice)
