"""Tests of the session core, with a clock moved by hand and a scripted transport: no sockets.

Also of the admission gate, the visits and the delivery meter that fronts use beside it.
"""

from helpers import MS, SECOND, deployment, list_entry
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.core.active_playback import AnswerKind, PlaybackRequest, PlaybackStage
from terndrift.core.admission import MAX_RETRY_AFTER_NS, AdmissionGate
from terndrift.core.core import Core
from terndrift.core.delivery import DeliveryMeter, ReportRateLimiter
from terndrift.core.visits import MAX_JOINED_REQUESTS, VISIT_TTL_NS, Visits
from terndrift.interface import Ending, Standing
from terndrift.rehearse.baselines import LeastConnections, Random, RoundRobin

START = 1000 * SECOND
ALL_CELLS = frozenset(range(4))


class ScriptedTransport:
    """Reports nothing by itself and asserts that the core keeps to the `StreamerTransport` protocol."""

    def __init__(self):
        self.in_flight, self.playing, self.cancelling, self.rungs, self.sends = {}, {}, set(), {}, []

    def set_up(self, playback, streamer, rung, timeout):
        assert playback not in self.in_flight and playback not in self.playing, "two attempts in flight"
        assert timeout > 0 and rung >= 0
        self.in_flight[playback] = streamer
        self.sends.append((playback, streamer.id))

    def cancel_attempt(self, playback):
        assert playback in self.in_flight and playback not in self.cancelling
        self.cancelling.add(playback)

    def set_rung(self, playback, rung):
        assert playback in self.in_flight or playback in self.playing
        self.rungs[playback] = rung

    def release_playback(self, playback, streamer):
        self.playing.pop(playback, None)


class CoreHarness:
    """A core with listed streamers, a scripted transport and a clock that the test moves.

    `answers` maps each playback to a list of (time, Answer), `events` holds the (event, playback) watched.
    """

    def __init__(self, streamers=4, **rules):
        self.now, self.transport, self.answers, self.events = START, ScriptedTransport(), {}, []
        self.core = Core(
            deployment(**rules), START, "c0", SECOND, lambda e, p, **f: self.events.append((e, p))
        )
        self.core.controller.started_without_state = False
        self.core.list_changed(START, [list_entry(n, n % 4) for n in range(streamers)], True, False)

    def want(self, plan="free", time_left=4 * SECOND, title="t"):
        """Request a playback; asserts that it is answered no more than once."""
        answers = []

        def on_answer(answer):
            assert not answers, "answered twice"
            answers.append((self.now, answer))

        playback = self.core.request_playback(
            self.now,
            PlaybackRequest(plan, title, ALL_CELLS, 3, time_left, 20 * SECOND),
            self.transport,
            on_answer,
        )
        self.answers[playback] = answers
        return playback

    def plays(self, playback):
        """Report that the attempt in flight succeeded, also if it is being cancelled."""
        cancelling = playback in self.transport.cancelling
        self.end(playback) if cancelling else self.transport.playing.__setitem__(
            playback, self.transport.in_flight.pop(playback)
        )
        self.core.set_up_succeeded(self.now, playback, {"link": 0.3})

    def end(self, playback, ending=None, report=None):
        """End the attempt in flight; with an `ending`, report it to the core."""
        self.transport.in_flight.pop(playback)
        self.transport.cancelling.discard(playback)
        if ending:
            self.core.attempt_ended(self.now, playback, ending, report)

    def wait(self, ns):
        """Move the clock, ticking the core whenever it asks for it."""
        end_time = self.now + ns
        while (at := self.core.next_at()) is not None and at <= end_time:
            self.now = max(self.now, at)
            self.core.tick(self.now)
        self.now = end_time


def test_timed_out_attempt_is_cancelled_and_the_next_one_waits_for_its_end():
    harness = CoreHarness()
    playback = harness.want()
    harness.wait(600 * MS)
    assert playback in harness.transport.cancelling and len(harness.transport.sends) == 1
    harness.wait(300 * MS)
    assert len(harness.transport.sends) == 1, "in flight until its end is confirmed"
    harness.end(playback, Ending.CALLED_OFF)
    assert len(harness.transport.sends) == 2
    harness.plays(playback)
    assert harness.answers[playback][0][1].kind is AnswerKind.PLAYS


def test_timed_out_attempt_of_a_non_repeatable_plan_is_aborted_in_time_and_not_repeated():
    harness = CoreHarness()
    playback = harness.want("paid", time_left=2 * SECOND)
    harness.wait(1990 * MS)
    ((at, answer),) = harness.answers[playback]
    assert (
        answer.kind is AnswerKind.ABORTED
        and at < START + 2 * SECOND
        and playback in harness.transport.cancelling
    )
    harness.end(playback, Ending.CALLED_OFF)
    harness.wait(5 * SECOND)
    assert len(harness.transport.sends) == 1 and not harness.core.playbacks


def test_attempt_that_succeeds_while_being_cancelled_is_released_without_a_second_answer():
    harness = CoreHarness()
    playback = harness.want("paid", time_left=SECOND)
    harness.wait(990 * MS)
    assert playback.stage is PlaybackStage.CANCELLING
    harness.plays(playback)
    assert (
        len(harness.answers[playback]) == 1
        and playback.stage is PlaybackStage.ENDED
        and not harness.transport.playing
        and not harness.core.playbacks
    )


def test_viewer_that_leaves_gets_no_answer_and_its_attempt_is_tracked_until_it_ends():
    harness = CoreHarness()
    playback = harness.want()
    harness.core.viewer_left(harness.now, playback)
    assert (
        playback in harness.transport.cancelling
        and not harness.answers[playback]
        and harness.core.unanswered_count == 0
    )
    harness.end(playback, Ending.CALLED_OFF)
    assert playback.stage is PlaybackStage.ENDED and not harness.core.playbacks


def test_no_set_up_to_a_streamer_that_drains_after_it_was_chosen_once_the_grace_period_is_over():
    harness = CoreHarness(streamers=1)
    playback = harness.want()
    assert harness.core.may_send(harness.now, playback)
    harness.core.list_changed(harness.now, [list_entry(0, 0, Standing.DRAINING)], False, False)
    assert harness.core.may_send(harness.now + SECOND, playback) and not harness.core.may_send(
        harness.now + SECOND + 1, playback
    )
    harness.core.list_changed(harness.now, [list_entry(0, 0)], False, False)
    assert harness.core.may_send(harness.now + 2 * SECOND, playback)


def test_streamer_missing_from_a_full_list_gets_no_set_up_after_the_grace_period():
    harness = CoreHarness(streamers=2)
    playback = harness.want()
    harness.core.list_changed(harness.now, [list_entry(1 - playback.streamer.id, 0)], True, False)
    assert not harness.core.may_send(harness.now + SECOND + 1, playback)


def test_exception_in_the_decision_logic_still_gives_one_answer_in_time():
    harness = CoreHarness()
    harness.core.controller.request_playback = lambda *_: 1 / 0
    playback = harness.want("paid", time_left=2 * SECOND)
    harness.wait(2 * SECOND)
    ((at, answer),) = harness.answers[playback]
    assert (
        answer.kind is AnswerKind.REJECTED and at <= START + 2 * SECOND and harness.core.decision_errors == 1
    ), "no attempt was sent"
    assert 0 < answer.retry_after <= harness.core.deployment.rules.longest_advice
    assert ("fault", playback) in harness.events


def test_fallback_answer_is_a_rejection_only_if_a_repeated_attempt_does_no_harm():
    for plan, kind in (("paid", AnswerKind.ABORTED), ("free", AnswerKind.REJECTED)):
        harness = CoreHarness()
        playback = harness.want(plan)
        assert playback.attempts == 1 and harness.core.fallback_answer(playback).kind is kind


def test_baseline_policies_place_playbacks():
    for policy in (Random, RoundRobin, LeastConnections):
        core = Core(deployment(), START, "c0", SECOND, decisions=policy)
        core.controller.started_without_state = False
        core.list_changed(START, [list_entry(n, n % 4) for n in range(4)], True, False)
        transport = ScriptedTransport()
        for n in range(4):
            core.request_playback(
                START + n,
                PlaybackRequest("free", "t", ALL_CELLS, 3, SECOND, 20 * SECOND),
                transport,
                lambda answer: None,
            )
        assert len(transport.sends) == 4 and not core.decision_errors
        assert policy is Random or len({streamer_id for _, streamer_id in transport.sends}) == 4


def test_playback_ids_differ_between_runs_of_a_controller():
    first, second = CoreHarness(), CoreHarness()
    second.core.run_id = Core(deployment(), START + 1, "c0").run_id
    assert first.want().id != second.want().id


def test_adopted_playback_is_playing_and_counts_at_its_streamer():
    harness = CoreHarness()
    playback = harness.core.adopt_playback(
        harness.now, PlaybackRequest("free", "t", ALL_CELLS, 3, 900 * SECOND, 0), harness.transport, 2, 1
    )
    assert playback.stage is PlaybackStage.PLAYING and harness.core.controller.streamers[2].playbacks
    not_listed = harness.core.adopt_playback(
        harness.now, PlaybackRequest("free", "t", ALL_CELLS, 3, 900 * SECOND, 0), harness.transport, 99, 1
    )
    assert not_listed.stage is PlaybackStage.ENDED and not_listed.id not in harness.core.playbacks


event_tuples = st.tuples(
    st.sampled_from(["want", "want", "play", "end", "left", "over", "list", "share", "wait"]),
    st.integers(0, 999),
    st.integers(0, 5),
)
FAILURES = [Ending.FULL, Ending.ERRED, Ending.UNREACHED, Ending.BROKEN, Ending.NEVER_SENT]


@settings(derandomize=True, database=None, deadline=None, max_examples=120)
@given(st.lists(event_tuples, min_size=5, max_size=80))
def test_any_sequence_of_events_gives_each_playback_one_answer_in_time(events):
    harness, left_playbacks, maybe_ran = CoreHarness(), set(), set()
    for action, choice, variant in events:
        in_flight, playing = list(harness.transport.in_flight), list(harness.transport.playing)
        playback = in_flight[choice % len(in_flight)] if in_flight else None
        if action == "want":
            harness.want(
                ["free", "paid"][choice % 2], time_left=(choice % 50 + 1) * 100 * MS, title=f"t{variant % 3}"
            )
        elif action == "play" and playback:
            if playback in harness.transport.cancelling:
                maybe_ran.add(playback)
            harness.plays(playback)
        elif action == "end" and playback:
            ending = FAILURES[variant % len(FAILURES)]
            if (playback.cancel_reason or ending).may_have_run:
                maybe_ran.add(playback)
            harness.end(playback, ending)
        elif action == "left" and harness.answers:
            playback = list(harness.answers)[choice % len(harness.answers)]
            if not harness.answers[playback] or playback.stage is PlaybackStage.PLAYING:
                left_playbacks.add(playback)
                harness.core.viewer_left(harness.now, playback)
        elif action == "over" and playing:
            harness.core.playback_ended(
                harness.now, playing[choice % len(playing)], [Ending.PLAYED_OUT, Ending.BROKEN][variant % 2]
            )
        elif action == "list":
            standing = [Standing.READY, Standing.DRAINING, Standing.GONE][variant % 3]
            harness.core.list_changed(
                harness.now, [list_entry(choice % 4, choice % 4, standing)], False, False
            )
        elif action == "share":
            harness.core.delivery_reported(harness.now, choice % 4, choice / 999)
        elif action == "wait":
            harness.wait((choice % 40) * 25 * MS)
        for playback in [p for p, _ in harness.transport.sends]:
            sent = sum(p is playback for p, _ in harness.transport.sends)
            assert (
                sent < 2
                or playback.request.plan == "free"
                or playback not in maybe_ran
                or sent == playback.attempts
            )
    harness.wait(6 * SECOND)
    for playback, answers in harness.answers.items():
        assert len(answers) == 1 or playback in left_playbacks and not answers
        if answers:
            at, answer = answers[0]
            assert at <= playback.deadline
            if answer.kind is AnswerKind.REJECTED and playback.request.plan == "paid":
                assert playback not in maybe_ran
    for playback in list(harness.transport.in_flight):
        harness.end(playback, Ending.CALLED_OFF)
    assert harness.core.unanswered_count == 0
    assert set(harness.core.playbacks.values()) == set(harness.transport.playing)


# Admission gate, visits and delivery meter.


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.integers(0, 10**9)), max_size=150))
def test_gate_limits_open_requests_in_all_and_by_source(events):
    gate, now, open_sources = AdmissionGate(8), 0, []
    for source, enters, elapsed in events:
        now += elapsed
        if enters:
            open_before, from_source = len(open_sources), open_sources.count(source)
            retry_after = gate.admit(now, source)
            assert bool(retry_after) == (open_before >= 8 or open_before >= 4 and from_source >= 2)
            assert retry_after == 0 or SECOND <= retry_after <= 2 * MAX_RETRY_AFTER_NS
            if not retry_after:
                open_sources.append(source)
        elif open_sources:
            gate.release(now, open_sources.pop(0))
        assert gate.open_count == len(open_sources) and gate.open_by_source == {
            s: open_sources.count(s) for s in set(open_sources)
        }


def test_retry_delays_of_requests_refused_together_differ():
    gate = AdmissionGate(1)
    gate.admit(0, "a")
    assert len({gate.retry_after(0) for _ in range(50)}) > 40


def test_concurrent_requests_of_a_visit_share_a_playback_and_a_later_one_is_a_new_attempt():
    visits = Visits(10)
    visit, joins = visits.register_request(0, "v", "t")
    visits.playback_requested(visit, "pb1")
    assert visits.register_request(1, "v", "t") == (visit, True)
    other, joins = visits.register_request(1, "v", "another title")
    assert other is not visit and not joins
    visits.playback_answered(visit, "pb1")
    assert visits.register_request(2, "v", "t") == (visit, False)
    assert visits.register_request(2, "", "t") == (None, False)
    visits.playback_requested(visit, "pb2")
    assert [visits.register_request(3, "v", "t")[1] for _ in range(MAX_JOINED_REQUESTS + 1)] == [
        True
    ] * MAX_JOINED_REQUESTS + [False]
    assert visit.attempts == 2


def test_visits_expire_and_their_number_is_limited():
    visits = Visits(5)
    for n in range(20):
        visits.register_request(n, f"v{n}", "t")
    assert len(visits.visits) == 5
    visits.register_request(20 + VISIT_TTL_NS, "new", "t")
    assert list(visits.visits) == [("new", "t")]


def test_low_delivery_share_is_reported_once_a_second_and_once_after_recovery():
    meter, reports = DeliveryMeter(), []
    for n in range(40):
        meter.segment_delivered(n * 250 * MS, 1, 250 * MS, 500 * MS if n < 20 else 200 * MS)
        reports += [(n, round(share, 2)) for _, share in meter.due_reports(n * 250 * MS)]
    assert [n for n, _ in reports[:5]] == [0, 4, 8, 12, 16] and reports[0][1] == 0.5
    assert reports[-1][1] >= 0.98 and sum(share >= 0.98 for _, share in reports) == 1


def test_stalled_segment_lowers_the_share_before_it_ends():
    meter = DeliveryMeter()
    meter.segment_pending(SECOND, 1, SECOND, 900 * MS)
    assert meter.due_reports(SECOND) == []
    meter.segment_pending(4 * SECOND, 1, SECOND, 4 * SECOND)
    assert meter.due_reports(4 * SECOND) == [(1, 0.25)]


def test_load_reports_of_a_streamer_are_passed_on_every_two_seconds():
    limiter = ReportRateLimiter()
    assert [limiter.may_pass(n * SECOND, 1) for n in range(5)] == [True, False, True, False, True]
    for n in range(9000):
        limiter.may_pass(n * SECOND, n)
    assert len(limiter.last_passed) < 5000


def test_answer_is_given_a_tenth_of_the_wait_before_the_deadline():
    harness = CoreHarness()
    playback = harness.want("paid", time_left=4 * SECOND)
    harness.wait(4 * SECOND)
    ((at, answer),) = harness.answers[playback]
    assert answer.kind is AnswerKind.ABORTED and START + 3 * SECOND < at <= START + 3700 * MS
