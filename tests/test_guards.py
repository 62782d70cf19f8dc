"""One small test for each guard: what it was put there for, without the bench."""

from dataclasses import replace

from helpers import MS, Front, S, line

from terndrift.decide import State
from terndrift.interface import Ending, Standing


def test_the_least_loaded_holder_is_taken_and_the_count_breaks_near_ties():
    front = Front()
    front.use(0, link=0.8)
    for n in (1, 2, 3):
        front.use(n, link=0.3 if n == 2 else 0.6)
    assert front.want().streamer.listed.id == 2
    front = Front()
    assert len({front.want(title=str(n)).streamer for n in range(4)}) == 4


def test_a_list_change_zeroes_the_counts():
    front = Front()
    front.want()
    front.list([line(9, cell=1)])
    assert not front.c.setup_counts


def test_a_refusal_puts_the_streamer_on_the_trail_and_the_last_one_ends_in_rejection():
    front = Front(streamers=2, extra_tries=9)
    pb = front.want()
    first = pb.streamer
    front.end(pb, Ending.FULL)
    assert pb.streamer is not first and pb.tries == 2
    front.end(pb, Ending.FULL)
    assert pb.state is State.REJECTED and pb.come_back


def test_the_rung_keeps_link_and_uplink_under_the_mark():
    front = Front(streamers=1)
    front.use(0, link=0.65)  # 0.25 of 2000 kB are left under the mark: the 400 kB rung
    assert front.want().rung == 2
    front = Front(streamers=1)
    front.use(0, link=0.92)
    low = front.want()
    assert low.rung == 0, "the lowest rung, if the link has room"
    front.play(low)
    front.use(0, link=1.3)
    held = front.want()
    assert held.state is State.HELD
    front.pass_time(1900 * MS)
    assert held.state is State.HELD
    front.pass_time(200 * MS)
    assert held.state is State.REJECTED


def test_an_erring_streamer_looks_idle_but_gets_a_trickle_that_doubles():
    front = Front(streamers=2, extra_tries=None)
    front.play(front.want())  # the title is one that plays
    bad = front.want()
    sick = bad.streamer
    front.end(bad, Ending.ERRED)
    for _ in range(3):
        assert front.want(title="u").streamer is not sick
    gap = sick.gap
    front.pass_time(gap)
    front.c._record_success(front.now, sick)
    assert sick.gap == gap // 2
    for _ in range(4):
        front.c._record_success(front.now, sick)
    assert sick.gap == 0, "back on the ordinary path"


def test_errors_over_a_title_that_never_played_are_not_the_streamers():
    front = Front(streamers=4, extra_tries=None)
    for n in range(3):
        ghost = front.want(title=f"ghost{n}")
        while ghost.state is State.TRYING:
            front.end(ghost, Ending.ERRED)
        assert ghost.state is State.REJECTED and len(ghost.attempted) == 4
    assert not any(s.gap for s in front.c.streamers.values())
    assert front.want().state is State.TRYING, "good viewers go on"
    silent = front.want(title="ghost")
    front.pass_time(silent.time_out + 50 * MS)
    assert silent.attempted[0].gap, "silence is a streamer's, whatever was asked of it"


def test_times_taken_are_bounded_where_no_budget_prunes_them():
    front = Front(extra_tries=None)
    front.c.accepted_times.extend([front.now] * 10**5)
    front.want()
    assert len(front.c.accepted_times) == 10**5 and front.c.accepted_times[-1] == front.now


def test_a_report_said_again_does_not_drown_the_notes():
    front = Front(streamers=1)
    old = [front.want(top=0) for _ in range(5)]
    for pb in old:
        front.play(pb)
    at = old[0].streamer
    front.end(old[0], Ending.PLAYED_OUT, finished=True, report={"link": 0.95, "uplink": 0.5})
    assert at.others_demand(front.now) > 1000
    for pb in old[1:]:
        front.pass_time(2 * S)
        front.use(0, link=0.3)
        front.end(pb, Ending.PLAYED_OUT, finished=True, report={"link": 0.95, "uplink": 0.5})
    assert at.others_demand(front.now) + at.own_demand() <= 0.4 * at.link_capacity


def test_a_silent_set_up_leaves_room_for_another_before_the_startup_target():
    front = Front(extra_tries=9)
    pb = front.want()
    assert pb.time_out <= S // 2
    front.pass_time(pb.time_out + 50 * MS)
    assert pb.tries == 2


def test_a_paid_set_up_that_may_have_run_is_aborted_and_never_resent():
    front = Front()
    pb = front.want("paid")
    assert pb.time_out == 4 * S
    front.end(pb, Ending.BROKEN)
    assert pb.state is State.ABORTED and pb.tries == 1
    pb = front.want("paid", title="u")
    front.end(pb, Ending.FULL)
    assert pb.state is State.TRYING and pb.tries == 2
    pb = front.want("paid", title="v", left=S)
    front.now += S + 10 * MS  # the outcome is late: nobody else answers
    front.c.wake(front.now)
    assert pb.state is State.ABORTED


def test_seats_hold_until_the_outcome():
    front = Front()
    one, two = front.want("paid"), front.want("paid")
    front.play(one)
    assert front.want("paid").state is State.HELD
    assert front.want("paid", title="other").state is State.TRYING
    front.end(two, Ending.FULL)
    assert two.state is State.TRYING and front.c.seated(two.plan, two.title) == 2


def test_nothing_goes_to_streamers_that_drain_or_are_gone():
    front = Front(streamers=2)
    front.list([line(0, 0, Standing.DRAINING)])
    assert {front.want().streamer.listed.id for _ in range(3)} == {1}
    front.list([], whole=True)
    assert front.want() is None, "no holder is left: rejected at once"


def test_a_cold_streamer_is_paced_by_all_controllers_together():
    for warm, started in ((True, 1), (False, 0)):  # listed as new; or this controller is new itself
        times = []
        for rank in (0, 1):
            front = Front(streamers=1, rank=rank, warm=warm)
            front.list([line(0, started=started and front.now)])
            for _ in range(200):
                front.now += 50 * MS
                pb = front.want(left=50 * MS)
                if pb and pb.state is State.TRYING:
                    times.append(front.now)
                    front.play(pb)
                    front.end(pb, Ending.PLAYED_OUT, finished=True)
        times.sort()
        window, pace = 2 * S, 20 / 10
        for n, t in enumerate(times):
            inside = sum(t <= u < t + window for u in times[n:])
            x = min(1.0, (t - times[0] + 3 * S) / (10 * S))
            assert inside <= 3 * pace * (0.4 + 0.6 * x) * 2 + 1
        assert times


def test_a_streamer_that_fell_is_paced_before_the_list_tells():
    front = Front(streamers=1, extra_tries=None)
    pb = front.want()
    front.end(pb, Ending.UNREACHED)
    fallen = front.c.streamers[0]
    assert fallen.down is not None
    front.pass_time(8 * S)
    front.c._record_success(front.now, fallen)
    assert fallen.listed.started == front.now, "its warm-up counts from its first answer"


def test_a_streamer_shut_out_by_its_last_report_comes_back():
    front = Front(streamers=2)
    front.use(0, link=3.0)
    front.use(1, link=0.5)
    front.pass_time(20 * S)
    front.use(1, link=0.5)
    assert front.c.streamers[0].use(front.now) < 1.8, "the figure fades"


def shorten(front, shares):
    for n in (0, 2, 1, 3):
        front.play(front.want(title=str(n)))
    for share in shares:
        front.now += S
        front.share(0, share)
    return front.c.streamers[0]


def test_a_short_note_alone_is_not_blamed_on_the_uplink():
    s = shorten(Front(racks=1), [0.9, 0.8])
    assert not s.rack.seen
    s = shorten(Front(streamers=1), [0.9])
    assert s.rack.capacity(s.rack.seen[-1][0]) < 9000, "but with no rack mate in use nobody else tells"
    front = Front(racks=1)
    s = shorten(front, [0.9])
    front.share(1, 0.9)
    assert not s.rack.seen, "nor are two of four that stand still"
    front.share(2, 0.9)
    assert s.rack.capacity(front.now) < 9000, "with half of its rack mates short too, it is"
    front.pass_time(60 * S)
    assert s.rack.capacity(front.now) == 9000, "and it comes back"


def test_a_streamer_that_delivers_nothing_is_set_aside():
    s = shorten(Front(racks=1), [0.6, 0.4])
    assert s.gap and not s.rack.seen


def test_a_handed_over_playback_keeps_its_rung_until_there_is_room_to_rise():
    front = Front(streamers=1)
    front.model.taken(front.now, "old", "free", "t", front.now + 900 * S)
    front.c.handed_over(front.now, "old", "free", "t", frozenset(range(4)), 3, 900 * S, 0, False, 0)
    front.c.told_rung(front.now, "old", 1)
    pb = front.c.playbacks["old"]
    assert pb.rung == 1 and front.c.seated(pb.plan, "t") == 1
    front.pass_time(3 * S)
    front.use(0, link=0.1)
    front.pass_time(S)
    assert pb.rung == 3
    front.use(0, link=2.0)
    front.pass_time(S)
    front.c.wake(front.now)
    assert pb.rung < 3, "and is lowered when its link is over"


def test_a_newcomer_takes_its_part_of_the_link_by_number_and_the_odd_step_by_chance():
    front, rungs = Front(streamers=1), []
    for n in range(40):
        front.use(0, link=0.4)  # two others at the usual 400 kB: a third of the mark is 600 kB
        pb = front.want(title=str(n))
        rungs.append(pb.rung)
        front.play(pb)
        front.end(pb, Ending.PLAYED_OUT, finished=True)
    assert set(rungs) == {2, 3} and 10 <= rungs.count(2) <= 30, "though 1000 kB are free"


def test_after_a_restart_under_many_controllers_some_streamer_has_its_turn_soon():
    served = 0
    for rank in range(40):  # with turns by single ranks hardly one of a hundred would serve within its hold
        front = Front(streamers=40, warm=False, rank=rank * 7, controllers=290)
        pb = front.want(cells=4)
        front.pass_time(1900 * MS)
        served += bool(pb and pb.tries)
    assert served > 30


def test_where_most_of_a_rack_is_unheard_the_report_of_its_uplink_stands():
    front = Front(racks=1)
    rack = front.c.streamers[0].rack
    front.use(0, uplink=0.5)
    assert rack.demand(front.now) == 4500 and rack.capacity(front.now) == 9000
    for n in (0, 1, 2):
        front.use(n, link=0.5)
    front.use(0, uplink=0.5)
    assert rack.demand(front.now) < 4500, "the sum of the links again, once they are heard"


def test_streamers_that_never_come_back_are_forgotten_and_those_in_use_are_not():
    """A list of ever new names: what is known stays bounded, and rule 4's memory is kept for `cold_for`."""
    front = Front(streamers=1)
    front.want()
    held = next(iter(front.c.streamers.values()))
    front.list([line(0, standing=Standing.GONE)])
    for n in range(1, 400):
        front.list([line(n, standing=Standing.READY, started=front.now)])
        front.list([line(n, standing=Standing.GONE, started=front.now)])
        assert n in front.c.streamers, "one that was cold just now is remembered"
        front.now += 200 * MS
    assert len(front.c.streamers) < 400 * 200 / 1000 * 5 and 0 in front.c.streamers and held.playbacks
    front.now += 60 * S
    front.list([line(999)])
    assert len(front.c.streamers) <= 2 * 64 + 4 and sum(map(len, front.c.by_cell.values())) == len(
        front.c.streamers
    )


def test_of_very_many_holders_some_are_looked_at_and_all_where_none_of_those_will_do():
    front = Front(streamers=0)
    front.list([line(n, cell=n, standing=Standing.DRAINING if n else Standing.READY) for n in range(2000)])
    pb = front.want(cells=2000)
    assert pb.state is State.TRYING and pb.streamer.listed.id == 0, "the only one that is ready"
    front = Front(streamers=0)
    front.list([line(n, cell=n) for n in range(2000)])
    assert len({front.want(cells=2000).streamer for n in range(60)}) == 60
    looked = []
    front.c._order = lambda now, able, pb: looked.append(len(able)) or able
    front.want(cells=2000)
    assert looked[0] <= 300


def test_a_list_that_must_be_asked_for_is_asked_for_by_turns_and_again_when_it_fails():
    fronts = [Front(rank=rank, controllers=4, list_within=10 * S) for rank in range(4)]
    for front in fronts:
        assert front.c.list_calls == 0 or front.d.rank == 0
        front.pass_time(3 * S)
        assert front.c.list_calls == 1
    front, pauses = fronts[0], []
    for _ in range(5):
        front.c.list_failed(front.now)
        calls, since = front.c.list_calls, front.now
        while front.c.list_calls == calls:
            front.pass_time(50 * MS)
        pauses.append(front.now - since)
    assert pauses[0] <= 2 * S and max(pauses) <= 8 * S and pauses[-1] > pauses[0], "later, in time"
    front.list([line(0)])
    front.pass_time(60 * S)
    assert front.c.list_calls == calls + 1, "while it comes it is not asked for"


def test_a_list_that_comes_by_itself_is_never_asked_for():
    front = Front()
    front.c.list_failed(front.now)
    front.pass_time(60 * S)
    assert front.c.list_calls == 0 and front.c.wake_at is None


def test_viewers_of_a_live_title_gather_share_a_stream_and_go_up_together():
    front = Front(streamers=4)
    one = front.want("live", "match")
    front.play(one)
    for other in {0, 1, 2, 3} - {one.streamer.listed.id}:
        front.use(other, link=0.0)
    front.use(one.streamer.listed.id, link=0.2)
    two, three = front.want("live", "match"), front.want("live", "other")
    assert two.streamer is one.streamer, "where the stream runs, though others are idle"
    assert three.streamer is not one.streamer, "another title goes by workload"
    assert one.rung == two.rung == 3 and one.streamer.own_demand() == 800.0 * 1.25
    plain = Front(streamers=4)
    first = plain.want("free", "match")
    plain.play(first)
    second = plain.want("free", "match")
    assert second.streamer is not first.streamer, "what is not live goes by workload alone"
    assert (
        first.streamer.own_demand() + second.streamer.own_demand()
        == first.rates[first.rung] + second.rates[second.rung]
    )


def test_near_ties_go_by_the_title_at_every_controller_if_it_is_live():
    fronts = [Front(streamers=8, rank=rank, controllers=6) for rank in range(6)]
    for front in fronts:
        front.c.draw_count = front.d.rank  # their seeds differ in service
    chosen = {
        plan: {front.want(plan, "match", cells=8).streamer.listed.id for front in fronts}
        for plan in ("live", "free")
    }
    assert len(chosen["live"]) == 1 and len(chosen["free"]) > 1


def test_a_short_note_stands_for_the_link_where_no_answer_tells_of_it():
    for told in (False, True):
        front = Front(streamers=4, told=told)
        pbs = [front.want(cells=4) for _ in range(4)]
        for pb in pbs:
            front.play(pb)
        front.pass_time(4 * S)
        s = pbs[0].streamer
        own = s.own_demand()
        front.share(s.listed.id, 0.5)
        assert [kb for _, kb in s.heard] == ([] if told else [4000.0 - own])
        assert front.c.typical_demand[0] < 2000.0, "nobody told of the others"


def test_nobody_joins_a_stream_that_plays_under_the_floor():
    front = Front(streamers=1)
    front.d.plans["live"] = replace(front.d.plans["live"], floor=1)
    front.c.handed_over(front.now, "old", "live", "match", frozenset({0}), 3, 4 * S, 0, False, 0)
    front.c.told_rung(front.now, "old", 0)
    front.use(0, link=0.78)
    pb = front.want("live", "match", cells=1)
    assert pb.state is State.TRYING and pb.rung == 1


def test_times_taken_are_forgotten_with_their_window_though_no_second_try_looks():
    front = Front()
    for _ in range(40):
        pb = front.want(left=S)
        front.play(pb)
        front.end(pb, Ending.PLAYED_OUT, finished=True)
        front.pass_time(S)
    assert (
        len(front.c.accepted_times) <= front.d.rules.extra_window // S + 1 and not front.c.extra_attempt_times
    )


def test_tries_beyond_the_first_end_with_what_the_fleet_lends_and_go_on_with_the_next_word():
    front = Front(streamers=4, extra_tries=9)
    front.c.limits(front.now, 1, {}, ())
    a, b = front.want(), front.want(title="u")
    front.end(a, Ending.FULL)
    front.end(b, Ending.FULL)
    assert a.tries == 2 and b.tries == 1 and b.state is State.HELD, "one was lent, and is used"
    front.c.limits(front.now, 1, {}, ())
    front.pass_time(100 * MS)
    assert b.tries == 2
    front.c.limits(front.now, 0, {}, ())
    assert front.want(title="v").tries == 1, "a first try is no matter of that"
    front.c.limits(front.now, None, {}, ())
    front.end(a, Ending.FULL)
    front.end(b, Ending.FULL)
    front.pass_time(100 * MS)
    assert a.tries == b.tries == 3, "no limit"


def test_what_others_try_is_left_to_them_and_comes_back_cold_where_it_seemed_dead():
    front = Front(streamers=2)
    front.c.limits(front.now, None, {0: False}, ())
    assert {front.want(title=str(n)).streamer.listed.id for n in range(4)} == {1}
    front.c.limits(front.now, None, {0: False, 1: None, 7: None}, ())
    pb = front.want(title="x")
    assert pb is None and front.c.streamers[1].down == front.now, "answered at once: nobody else has it"
    front.c.limits(front.now, None, {1: True}, ())
    assert front.c.streamers[1].down is not None and not front.c.left_to_others
    front.c.cold_start_turn = None
    assert {front.want(title=f"y{n}").streamer.listed.id for n in range(2)} == {0}, "1 is paced, as cold"


def test_a_streamer_set_aside_is_tried_at_once_when_others_have_seen_it_well():
    front = Front(streamers=1, extra_tries=9)
    front.play(front.want())
    bad = front.want()
    front.end(bad, Ending.ERRED)
    s = front.c.streamers[0]
    assert s.gap and s.next_try > front.now
    front.c.limits(front.now, None, {0: True}, ())
    assert s.next_try == front.now and s.gap, "a further failure doubles its pause all the same"
    assert front.want(title="t").streamer is s


def test_who_is_rejected_is_told_one_of_the_times_that_the_fleet_has_room_for_by_his_luck():
    front = Front(streamers=0)
    assert front.c.advice == S
    advice, told = (2 * S, 3 * S, 5 * S, 9 * S), []
    front.c.limits(front.now, None, {}, advice)
    for n in range(80):
        changed = front.c.wanted(front.now, f"x{n}", "free", "t", frozenset([0]), 3, 4 * S, 0, False)
        told.append(changed[0].come_back)
    assert set(told) == set(advice) and all(10 <= told.count(a) <= 30 for a in advice)
