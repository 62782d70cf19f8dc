"""The core with a hand-driven clock and a scripted carrier: no socket, and a plain model of what it owes."""

from helpers import MS, S, deployment, line
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.core.carried import Kind, Stage, Wanted
from terndrift.core.core import Core
from terndrift.core.gate import MAX_RETRY_AFTER_NS, Gate
from terndrift.core.meter import Meter, Rationed
from terndrift.core.visits import MAX_JOINED_REQUESTS, VISIT_TTL_NS, Visits
from terndrift.interface import Ending, Standing
from terndrift.rehearse.baselines import LeastConnections, Random, RoundRobin

T0 = 1000 * S
ALL = frozenset(range(4))


class Script:
    """A carrier that does nothing by itself, and holds the core to its contract."""

    def __init__(self):
        self.out, self.playing, self.calling_off, self.rungs, self.sends = {}, {}, set(), {}, []

    def set_up(self, carried, streamer, rung, time_out):
        assert carried not in self.out and carried not in self.playing, "two tries out at once"
        assert time_out > 0 and rung >= 0
        self.out[carried] = streamer
        self.sends.append((carried, streamer.id))

    def call_off(self, carried):
        assert carried in self.out and carried not in self.calling_off
        self.calling_off.add(carried)

    def set_rung(self, carried, rung):
        assert carried in self.out or carried in self.playing
        self.rungs[carried] = rung

    def let_go(self, carried, streamer):
        self.playing.pop(carried, None)


class Bench:
    def __init__(self, streamers=4, **rules):
        self.now, self.carrier, self.answers, self.seen = T0, Script(), {}, []
        self.core = Core(deployment(**rules), T0, "c0", S, lambda e, c, **f: self.seen.append((e, c)))
        self.core.controller.began_empty = False
        self.core.list_changed(T0, [line(n, n % 4) for n in range(streamers)], True, False)

    def want(self, plan="free", left=4 * S, title="t"):
        got = []

        def answered(answer):
            assert not got, "answered twice"
            got.append((self.now, answer))

        carried = self.core.want(self.now, Wanted(plan, title, ALL, 3, left, 20 * S), self.carrier, answered)
        self.answers[carried] = got
        return carried

    def plays(self, carried):
        off = carried in self.carrier.calling_off
        self.end(carried) if off else self.carrier.playing.__setitem__(carried, self.carrier.out.pop(carried))
        self.core.began(self.now, carried, {"link": 0.3})

    def end(self, carried, ending=None, report=None):
        self.carrier.out.pop(carried)
        self.carrier.calling_off.discard(carried)
        if ending:
            self.core.try_over(self.now, carried, ending, report)

    def wait(self, ns):
        until = self.now + ns
        while (at := self.core.next_at()) is not None and at <= until:
            self.now = max(self.now, at)
            self.core.tick(self.now)
        self.now = until


def test_a_try_past_its_time_out_is_called_off_and_the_next_goes_only_once_it_is_over():
    b = Bench()
    pb = b.want()
    b.wait(600 * MS)
    assert pb in b.carrier.calling_off and len(b.carrier.sends) == 1
    b.wait(300 * MS)
    assert len(b.carrier.sends) == 1, "out until its end is known"
    b.end(pb, Ending.CALLED_OFF)
    assert len(b.carrier.sends) == 2
    b.plays(pb)
    assert b.answers[pb][0][1].kind is Kind.PLAYS


def test_a_paid_try_that_times_out_is_aborted_in_time_and_never_resent_nor_rejected():
    b = Bench()
    pb = b.want("paid", left=2 * S)
    b.wait(1990 * MS)
    ((at, answer),) = b.answers[pb]
    assert answer.kind is Kind.ABORTED and at < T0 + 2 * S and pb in b.carrier.calling_off
    b.end(pb, Ending.CALLED_OFF)
    b.wait(5 * S)
    assert len(b.carrier.sends) == 1 and not b.core.held


def test_an_answer_that_comes_while_its_try_is_called_off_is_let_go_and_not_a_second_one():
    b = Bench()
    pb = b.want("paid", left=S)
    b.wait(990 * MS)
    assert pb.stage is Stage.CANCELLING
    b.plays(pb)
    assert len(b.answers[pb]) == 1 and pb.stage is Stage.OVER and not b.carrier.playing and not b.core.held


def test_a_viewer_that_leaves_is_owed_nothing_but_its_try_is_out_until_it_ends():
    b = Bench()
    pb = b.want()
    b.core.left(b.now, pb)
    assert pb in b.carrier.calling_off and not b.answers[pb] and b.core.open == 0
    b.end(pb, Ending.CALLED_OFF)
    assert pb.stage is Stage.OVER and not b.core.held


def test_a_streamer_told_off_between_choice_and_connect_is_not_sent_to_past_the_grace():
    b = Bench(streamers=1)
    pb = b.want()
    assert b.core.may_send(b.now, pb)
    b.core.list_changed(b.now, [line(0, 0, Standing.DRAINING)], False, False)
    assert b.core.may_send(b.now + S, pb) and not b.core.may_send(b.now + S + 1, pb)
    b.core.list_changed(b.now, [line(0, 0)], False, False)
    assert b.core.may_send(b.now + 2 * S, pb)


def test_a_streamer_missing_from_a_whole_list_counts_as_told_off():
    b = Bench(streamers=2)
    pb = b.want()
    b.core.list_changed(b.now, [line(1 - pb.streamer.id, 0)], True, False)
    assert not b.core.may_send(b.now + S + 1, pb)


def test_a_fault_of_the_decisions_still_leaves_one_answer_in_time():
    b = Bench()
    b.core.controller.wanted = lambda *_: 1 / 0
    pb = b.want("paid", left=2 * S)
    b.wait(2 * S)
    ((at, answer),) = b.answers[pb]
    assert answer.kind is Kind.REJECTED and at <= T0 + 2 * S and b.core.decision_errors == 1, (
        "it was never sent"
    )
    assert 0 < answer.come_back <= b.core.deployment.rules.longest_advice
    assert ("fault", pb) in b.seen


def test_what_the_core_gives_up_is_rejected_only_where_no_try_can_have_run_or_it_does_no_harm():
    for plan, kind in (("paid", Kind.ABORTED), ("free", Kind.REJECTED)):
        b = Bench()
        pb = b.want(plan)
        assert pb.tries == 1 and b.core.last_answer(pb).kind is kind


def test_the_baselines_choose_too():
    for order in (Random, RoundRobin, LeastConnections):
        core = Core(deployment(), T0, "c0", S, decisions=order)
        core.controller.began_empty = False
        core.list_changed(T0, [line(n, n % 4) for n in range(4)], True, False)
        carrier = Script()
        for n in range(4):
            core.want(T0 + n, Wanted("free", "t", ALL, 3, S, 20 * S), carrier, lambda answer: None)
        assert len(carrier.sends) == 4 and not core.decision_errors
        assert order is Random or len({streamer for _, streamer in carrier.sends}) == 4


def test_two_runs_of_a_controller_never_share_the_name_of_a_playback():
    first, second = Bench(), Bench()
    second.core.run_id = Core(deployment(), T0 + 1, "c0").run_id
    assert first.want().id != second.want().id


def test_what_is_handed_over_plays_and_counts():
    b = Bench()
    pb = b.core.hand_over(b.now, Wanted("free", "t", ALL, 3, 900 * S, 0), b.carrier, 2, 1)
    assert pb.stage is Stage.PLAYING and b.core.controller.streamers[2].playbacks
    nowhere = b.core.hand_over(b.now, Wanted("free", "t", ALL, 3, 900 * S, 0), b.carrier, 99, 1)
    assert nowhere.stage is Stage.OVER and nowhere.id not in b.core.held


steps = st.tuples(
    st.sampled_from(["want", "want", "play", "end", "left", "over", "list", "share", "wait"]),
    st.integers(0, 999),
    st.integers(0, 5),
)
BAD = [Ending.FULL, Ending.ERRED, Ending.UNREACHED, Ending.BROKEN, Ending.NEVER_SENT]


@settings(derandomize=True, database=None, deadline=None, max_examples=120)
@given(st.lists(steps, min_size=5, max_size=80))
def test_any_history_gives_each_playback_one_answer_in_time(history):
    b, left, maybe_ran = Bench(), set(), set()
    for what, x, y in history:
        out, playing = list(b.carrier.out), list(b.carrier.playing)
        pb = out[x % len(out)] if out else None
        if what == "want":
            b.want(["free", "paid"][x % 2], left=(x % 50 + 1) * 100 * MS, title=f"t{y % 3}")
        elif what == "play" and pb:
            if pb in b.carrier.calling_off:
                maybe_ran.add(pb)
            b.plays(pb)
        elif what == "end" and pb:
            ending = BAD[y % len(BAD)]
            if (pb.cancel_reason or ending).may_have_run:
                maybe_ran.add(pb)
            b.end(pb, ending)
        elif what == "left" and b.answers:
            pb = list(b.answers)[x % len(b.answers)]
            if not b.answers[pb] or pb.stage is Stage.PLAYING:
                left.add(pb)
                b.core.left(b.now, pb)
        elif what == "over" and playing:
            b.core.over(b.now, playing[x % len(playing)], [Ending.PLAYED_OUT, Ending.BROKEN][y % 2])
        elif what == "list":
            standing = [Standing.READY, Standing.DRAINING, Standing.GONE][y % 3]
            b.core.list_changed(b.now, [line(x % 4, x % 4, standing)], False, False)
        elif what == "share":
            b.core.told_share(b.now, x % 4, x / 999)
        elif what == "wait":
            b.wait((x % 40) * 25 * MS)
        for pb in [p for p, _ in b.carrier.sends]:
            sent = sum(p is pb for p, _ in b.carrier.sends)
            assert sent < 2 or pb.wanted.plan == "free" or pb not in maybe_ran or sent == pb.tries
    b.wait(6 * S)
    for pb, got in b.answers.items():
        assert len(got) == 1 or pb in left and not got
        if got:
            at, answer = got[0]
            assert at <= pb.deadline
            if answer.kind is Kind.REJECTED and pb.wanted.plan == "paid":
                assert pb not in maybe_ran
    for pb in list(b.carrier.out):
        b.end(pb, Ending.CALLED_OFF)
    assert b.core.open == 0
    assert set(b.core.held.values()) == set(b.carrier.playing)


# The small decisions beside it.


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.integers(0, 10**9)), max_size=150))
def test_the_gate_bounds_what_is_inside_and_what_one_source_holds(events):
    gate, now, inside = Gate(8), 0, []
    for source, enters, passed in events:
        now += passed
        if enters:
            before, mine = len(inside), inside.count(source)
            wait = gate.enter(now, source)
            assert bool(wait) == (before >= 8 or before >= 4 and mine >= 2)
            assert wait == 0 or S <= wait <= 2 * MAX_RETRY_AFTER_NS
            if not wait:
                inside.append(source)
        elif inside:
            gate.leave(now, inside.pop(0))
        assert gate.count == len(inside) and gate.open_by_source == {s: inside.count(s) for s in set(inside)}


def test_those_turned_away_together_are_not_sent_back_together():
    gate = Gate(1)
    gate.enter(0, "a")
    assert len({gate.retry_after(0) for _ in range(50)}) > 40


def test_two_requests_of_one_visit_are_one_playback_and_a_later_one_is_its_next_try():
    visits = Visits(10)
    visit, joins = visits.come(0, "v", "t")
    visits.taken(visit, "pb1")
    assert visits.come(1, "v", "t") == (visit, True)
    other, joins = visits.come(1, "v", "another title")
    assert other is not visit and not joins
    visits.answered(visit, "pb1")
    assert visits.come(2, "v", "t") == (visit, False)
    assert visits.come(2, "", "t") == (None, False)
    visits.taken(visit, "pb2")
    assert [visits.come(3, "v", "t")[1] for _ in range(MAX_JOINED_REQUESTS + 1)] == [
        True
    ] * MAX_JOINED_REQUESTS + [False]
    assert visit.attempts == 2


def test_visits_are_forgotten_and_bounded():
    visits = Visits(5)
    for n in range(20):
        visits.come(n, f"v{n}", "t")
    assert len(visits.visits) == 5
    visits.come(20 + VISIT_TTL_NS, "new", "t")
    assert list(visits.visits) == [("new", "t")]


def test_a_short_share_is_told_once_a_second_and_once_more_when_it_is_over():
    meter, told = Meter(), []
    for n in range(40):
        meter.delivered(n * 250 * MS, 1, 250 * MS, 500 * MS if n < 20 else 200 * MS)
        told += [(n, round(share, 2)) for _, share in meter.due(n * 250 * MS)]
    assert [n for n, _ in told[:5]] == [0, 4, 8, 12, 16] and told[0][1] == 0.5
    assert told[-1][1] >= 0.98 and sum(share >= 0.98 for _, share in told) == 1


def test_a_piece_that_does_not_come_counts_as_short_before_it_ends():
    meter = Meter()
    meter.standing(S, 1, S, 900 * MS)
    assert meter.due(S) == []
    meter.standing(4 * S, 1, S, 4 * S)
    assert meter.due(4 * S) == [(1, 0.25)]


def test_a_streamers_figures_are_let_through_once_in_two_seconds():
    rationed = Rationed()
    assert [rationed.due(n * S, 1) for n in range(5)] == [True, False, True, False, True]
    for n in range(9000):
        rationed.due(n * S, n)
    assert len(rationed.last_passed) < 5000


def test_the_answer_leaves_a_tenth_of_the_clients_time_for_the_way():
    b = Bench()
    pb = b.want("paid", left=4 * S)
    b.wait(4 * S)
    ((at, answer),) = b.answers[pb]
    assert answer.kind is Kind.ABORTED and T0 + 3 * S < at <= T0 + 3700 * MS
