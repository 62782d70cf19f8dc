"""A small deployment and a front to call, and the plain model of the rules."""

import itertools

from terndrift.decide import Controller, State
from terndrift.interface import Deployment, Ending, Ladder, Links, ListEntry, Plan, Rules, Standing

MS = 1_000_000
SECOND = 1000 * MS
START = 1000 * SECOND


def deployment(rank=0, controllers=2, answers_report_load=True, **rules):
    plans = {
        "free": Plan("free", 1.0, 1.0, 0, 3, 0, SECOND, True),
        "paid": Plan("paid", 2.0, 1.0, 1, 3, 2, SECOND, False),
        "live": Plan("live", 1.0, 1.0, 0, 3, 0, SECOND, True, adds=0.25),
    }
    base = dict(
        answer_slack=40 * MS,
        cold_for=10 * SECOND,
        cold_share=0.4,
        fall_multiple=3.0,
        fall_window=2 * SECOND,
        attempt_limit=4,
        extra_attempts=2,
        extra_share=0.1,
        extra_window=10 * SECOND,
        longest_advice=SECOND,
        probes=False,
        peers=False,
    )
    ladder = Ladder((100.0, 200.0, 400.0, 800.0), (0.25, 0.5, 0.75, 1.0), 6.0, SECOND // 2)
    links = Links(2000.0, 9000.0, {"box": 20}, SECOND, 0.0, answers_report_load)
    return Deployment(7, rank, controllers, "here", plans, ladder, links, Rules(**{**base, **rules}))


def list_entry(id, cell=0, standing=Standing.READY, started=0, weight=1.0, racks=2):
    return ListEntry(id, "box", "here", cell, cell % racks, standing, weight, started)


class Front:
    """One controller, the clock, and a check of every call's result against the rules."""

    def __init__(self, streamers=4, warm=True, racks=2, **rules):
        self.deployment = deployment(**rules)
        self.now, self.ids = START, itertools.count()
        self.controller = Controller(self.deployment, self.now)
        self.model = Model(self.deployment)
        if warm:  # a front that was handed something knows that it has not just restarted
            self.controller.started_without_state = False
        self.change_list([list_entry(n, cell=n % 4, racks=racks) for n in range(streamers)], whole=True)

    def _seen(self, changed):
        self.model.check(self.now, changed)
        return changed

    def change_list(self, entries, whole=False):
        self.model.listed(self.now, entries, whole)
        return self._seen(self.controller.list_changed(self.now, entries, whole, False))

    def request(self, plan="free", title="t", cells=4, top=3, left=4 * SECOND):
        id = f"pb{next(self.ids)}"
        self.model.taken(self.now, id, plan, title, self.now + left)
        self._seen(
            self.controller.request_playback(
                self.now, id, plan, title, frozenset(range(cells)), top, left, 0, False
            )
        )
        return self.controller.playbacks.get(id)

    def succeed(self, pb):
        return self._seen(self.controller.set_up_succeeded(self.now, pb.id, 80 * MS))

    def end_attempt(self, pb, ending, finished=False, report=None):
        self.model.ended(pb, ending)
        return self._seen(
            self.controller.attempt_ended(
                self.now, pb.id, ending, 50 * MS, finished, pb.streamer.entry.id, report or {}
            )
        )

    def report_utilisation(self, streamer, link=None, uplink=None):
        return self._seen(self.controller.utilisation_reported(self.now, "", streamer, link, uplink))

    def report_delivery(self, streamer, share):
        return self._seen(self.controller.delivery_reported(self.now, streamer, share))

    def advance(self, ns, step=50 * MS):
        """Lets time pass, the host waking the front; what is out past its time-out falls silent."""
        until = self.now + ns
        while self.now < until:
            self.now = min(until, self.now + step)
            for pb in list(self.controller.playbacks.values()):
                late = self.now >= pb.state_since + pb.timeout
                if pb.in_progress and late and pb.state in (State.ATTEMPTING, State.ABORTED):
                    self.end_attempt(pb, Ending.SILENT)
            if self.controller.wake_at is not None and self.now >= self.controller.wake_at:
                self._seen(self.controller.wake(self.now))


class Model:
    """The six rules, slow and plain: it keeps all that was done and checks each new thing against it."""

    def __init__(self, deployment):
        self.deployment, self.sends, self.requests, self.answers = deployment, [], {}, {}
        self.streamers, self.out, self.ran, self.held = {}, {}, set(), {}

    def listed(self, now, entries, whole):
        if whole:
            self.streamers = {}
        self.streamers.update({e.id: e for e in entries})

    def taken(self, now, id, plan, title, due):
        self.requests[id] = (now, self.deployment.plans[plan], title, due)

    def ended(self, pb, ending):
        if pb.state in (State.ATTEMPTING, State.ABORTED) and ending.may_have_run:
            self.ran.add(pb.id)
        self.out.pop(pb.id, None)

    def check(self, now, changed):
        for pb in changed:
            taken_at, plan, title, due = self.requests[pb.id]
            assert plan.floor <= pb.rung <= max(plan.floor, pb.top) or pb.state is State.REJECTED
            if pb.state is State.ATTEMPTING and pb.attempts > sum(s[1] == pb.id for s in self.sends):
                self.check_send(now, pb, plan, title, due)
            if pb.state in (State.REJECTED, State.ABORTED):
                assert pb.id not in self.answers, "answered twice"
                assert now <= due + self.deployment.rules.answer_slack, "answered late"
                unsafe = not plan.repeatable and (pb.id in self.ran or pb.id in self.out)
                assert not (pb.state is State.REJECTED and unsafe), "rejected though it may have run"
                self.answers[pb.id] = pb.state
        for id, (_, _, _, due) in self.requests.items():
            if now > due + self.deployment.rules.answer_slack:
                assert id in self.answers or id in self.held, "never answered"
            if id in self.out and self.out[id].state is State.PLAYING:
                self.held[id] = True

    def check_send(self, now, pb, plan, title, due):
        rules, e = self.deployment.rules, self.streamers.get(pb.streamer.entry.id)
        assert pb.id not in self.out, "two attempts out at once"
        assert pb.id not in self.answers and now < due
        assert plan.repeatable or pb.id not in self.ran, "a paid set-up was resent"
        assert e and e.standing is Standing.READY, "sent to a streamer that drains or is gone"
        self.out[pb.id] = pb
        seated = [p for p in self.out.values() if p.plan is plan and self.requests[p.id][2] == title]
        assert not plan.seats or len(seated) <= plan.seats, "more playbacks than seats"
        self.sends.append((now, pb.id, pb.streamer, pb.attempts > 1))
        if pb.attempts > 1 and rules.extra_attempts is not None:
            extra = sum(s[3] for s in self.sends if s[0] > now - rules.extra_window)
            taken = sum(t > now - rules.extra_window for t, *_ in self.requests.values())
            assert extra <= rules.extra_attempts + rules.extra_share * taken, (
                "over the budget of extra attempts"
            )
        age = now - e.started
        if e.started and age < rules.cold_for:
            pace = self.deployment.links.places["box"] / rules.cold_for * rules.cold_share
            allowed = rules.fall_multiple * pace * rules.fall_window / self.deployment.controllers
            recent = sum(s[2] is pb.streamer and s[0] > now - rules.fall_window for s in self.sends)
            assert recent <= max(1, allowed), "a cold streamer was pushed"
