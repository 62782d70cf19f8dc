"""The core: feeds the decisions what happens and carries out what they decide.

Calls may come from within a carrier's own call (a try that ends at once); they wait their turn, so that the
decisions are never entered twice and what they decided is carried out in order.
"""

import heapq
import itertools
from collections import deque

from terndrift.core.carried import Answer, Carried, Kind, Stage
from terndrift.decide import Controller, State
from terndrift.interface import Ending, Standing

MS = 1_000_000
# The decisions give up this part of the client's time before its end, and so much at least: a scan of theirs
# is 50 ms apart, and the client's clock began when it asked, not when a busy loop came to read it. Found by
# rehearsals, five at once on a machine: answers 5 and 55 ms late with a fixed 120 ms. Guards rule 1 against
# busy loops and slow ways on either side; costs the last tenth of the longest waits. Of a short wait it takes
# a third at most: a deployment may have deadlines under 120 ms, and all of them would be rejected at once.
MARGIN_PART, MARGIN_LEAST, MARGIN_MOST_PART = 10, 120 * MS, 3


def margin(time_left):
    """ns before its deadline at which the decisions are to have answered a playback."""
    return max(min(MARGIN_LEAST, time_left // MARGIN_MOST_PART), time_left // MARGIN_PART)


def last_word(time_left):
    """ns before the client gives up at which the core itself answers, when even that was not given: an
    exception in the decisions, a loop held up."""
    return margin(time_left) // 3


class Core:
    """One controller's playbacks. `watch(event, carried, **facts)` hears of every change, for the log."""

    def __init__(self, deployment, now, name="c0", drain_grace=0, watch=None, decisions=Controller):
        self.deployment, self.name = deployment, name
        # the same controller started again must not use a name twice: streamers may still hold the old one
        self.run = f"{name}~{now:x}"
        self.controller = decisions(deployment, now)
        self.watch = watch or (lambda *_, **__: None)
        self.drain_grace = drain_grace
        # whether a streamer (a Listed) still holds what is wanted: asked just before a try goes out
        self.permits = lambda wanted, streamer: True
        # the holders that a playback may have of those that have its title: asked once, when it is wanted
        self.narrow = lambda cells: cells
        self.held = {}  # id -> Carried
        self.open = 0  # taken and not yet answered
        self.ids = itertools.count(1)
        self.told_off = {}  # streamer id -> when it was told to drain or be gone
        self.alarms = []  # (time, number, id): when a try or an answer is due
        self.alarm_ids = itertools.count()
        self.calls, self.busy = deque(), False
        self.faults = 0  # exceptions of the decisions

    # What fronts and carriers call.

    def want(self, now, wanted, carrier, answered):
        """Takes a playback; `answered(answer)` is called once, by its abandon time at the latest."""
        carried = Carried(f"{self.run}-{next(self.ids)}", wanted, carrier, answered, now)
        carried.rung = self.deployment.plans[wanted.plan].floor
        self.held[carried.id] = carried
        self.open += 1
        self._alarm(carried.due - last_word(wanted.time_left), carried)
        self.watch("wanted", carried)
        self._call(
            now,
            carried,
            lambda: self.controller.wanted(
                now,
                carried.id,
                wanted.plan,
                wanted.title,
                self.narrow(wanted.cells),
                wanted.top,
                wanted.time_left - margin(wanted.time_left),
                wanted.length,
                False,
                wanted.rates,
            ),
        )
        return carried

    def hand_over(self, now, wanted, carrier, streamer, rung):
        """A playback that plays already at that streamer (an id), as after a controller's restart."""
        carried = Carried(f"{self.run}-{next(self.ids)}", wanted, carrier, lambda _: None, now)
        self.held[carried.id], carried.rung = carried, rung
        entry = self.controller.streamers.get(streamer)
        if entry is None:
            carried.turn(now, Stage.OVER)
            del self.held[carried.id]
            return carried
        carried.answer, carried.streamer = Answer(Kind.PLAYS), entry.listed
        carried.turn(now, Stage.TRYING)
        carried.turn(now, Stage.PLAYING)

        def both():  # the rung in force goes with it: the decisions' first guess is not to be carried out
            changed = self.controller.handed_over(
                now,
                carried.id,
                wanted.plan,
                wanted.title,
                wanted.cells,
                wanted.top,
                wanted.time_left,
                wanted.length,
                False,
                streamer,
            )
            self.controller.told_rung(now, carried.id, rung)
            return changed

        self._call(now, carried, both)
        return carried

    def may_send(self, now, carried):
        """Whether the try may still go out: asked by carriers when the connection is up, just before the
        first byte. Guards rule 3 against a streamer told off between the choice and the connect."""
        if carried.stage is not Stage.TRYING or not self.permits(carried.wanted, carried.streamer):
            return False
        told = self.told_off.get(carried.streamer.id)
        return told is None or now <= told + self.drain_grace

    def last_answer(self, carried):
        """The answer to what the core itself must give up. Rejected, with when to come back, where no try
        was ever sent or another does no harm; else it may have run, and is aborted."""
        if carried.tries == 0 or self.deployment.plans[carried.wanted.plan].repeatable:
            return Answer(Kind.REJECTED, self.controller.advice)
        return Answer(Kind.ABORTED, why="no decision in time")

    def began(self, now, carried, report):
        """The set-up that is out came to play."""
        if carried.stage is Stage.CALLING_OFF:  # too late: it was given up, and has run all the same
            carried.carrier.let_go(carried, carried.streamer)
            return self.try_over(now, carried, Ending.CALLED_OFF, report)
        if carried.stage is not Stage.TRYING:
            return None
        carried.turn(now, Stage.PLAYING)
        self._answer(now, carried, Answer(Kind.PLAYS))
        self._call(now, carried, lambda: self.controller.playing(now, carried.id, now - carried.sent_at))
        if report:
            self._call(
                now,
                carried,
                lambda: self.controller.told_use(
                    now, carried.id, carried.streamer.id, report.get("link"), report.get("uplink")
                ),
            )
        return None

    def try_over(self, now, carried, ending, report=None):
        """The set-up that is out ended without playing, or its calling off is known to be over."""
        if carried.stage not in (Stage.TRYING, Stage.CALLING_OFF):
            return
        streamer, ending = carried.streamer, carried.gave_up or ending
        took, carried.gave_up = now - carried.sent_at, None
        done = carried.answer is not None
        carried.turn(now, Stage.OVER if done else Stage.WAITING)
        self.watch("try over", carried, ending=ending.name, streamer=streamer.id)
        self._call(
            now,
            carried,
            lambda: self.controller.try_ended(now, carried.id, ending, took, done, streamer.id, report or {}),
        )

    def over(self, now, carried, ending, report=None):
        """What plays is over."""
        if carried.stage is not Stage.PLAYING:
            return
        carried.turn(now, Stage.OVER)
        carried.carrier.let_go(carried, carried.streamer)
        self.watch("over", carried, ending=ending.name)
        self._call(
            now,
            carried,
            lambda: self.controller.try_ended(
                now, carried.id, ending, now - carried.sent_at, True, carried.streamer.id, report or {}
            ),
        )

    def left(self, now, carried):
        """The viewer is gone: nothing more is owed, but what is out is out until it has ended."""
        if carried.stage is Stage.PLAYING:
            return self.over(now, carried, Ending.CALLED_OFF)
        if carried.stage is Stage.OVER or carried.answer is not None:
            return None
        self.watch("left", carried)
        self._close(now, carried, None)
        self._call(now, carried, lambda: self.controller.viewer_left(now, carried.id))
        self._give_up(now, carried, Ending.CALLED_OFF)
        return None

    def rung_stands(self, now, carried, rung):
        """The rung last asked for was not taken: `rung` is the one in force."""
        if carried.stage is Stage.PLAYING:
            carried.rung = rung
            self._call(now, carried, lambda: self.controller.told_rung(now, carried.id, rung))

    def told_use(self, now, carried, link, uplink):
        if carried.stage is Stage.PLAYING:
            self._call(
                now,
                carried,
                lambda: self.controller.told_use(now, carried.id, carried.streamer.id, link, uplink),
            )

    def told_share(self, now, streamer, share):
        self._call(now, None, lambda: self.controller.told_share(now, streamer, share))

    def list_changed(self, now, entries, whole, old):
        """The server list: `entries` of Listed, all of it or changes; old: a copy from before a restart."""
        named = {e.id for e in entries}
        off = [e.id for e in entries if e.standing is not Standing.READY]
        if whole:
            off += [id for id in self.controller.streamers if id not in named]
        for id in off:
            self.told_off.setdefault(id, now)
        for e in entries:
            if e.standing is Standing.READY:
                self.told_off.pop(e.id, None)
        self._call(now, None, lambda: self.controller.list_changed(now, entries, whole, old))
        # what the decisions have forgotten can't be chosen: bounds the memory of a list that always changes
        if len(self.told_off) > 2 * len(self.controller.streamers):
            self.told_off = {i: t for i, t in self.told_off.items() if i in self.controller.streamers}

    def holders_changed(self, now, titles):
        """`titles`: name -> cells that hold it from now on (none: it is gone). What plays goes on, the answer
        of a try that is out stands, what is held looks among the new holders, and is answered at once if
        there are none left to wait for."""
        for carried in [c for c in self.held.values() if c.wanted.title in titles]:
            if carried.stage in (Stage.WAITING, Stage.TRYING, Stage.CALLING_OFF):
                cells = titles[carried.wanted.title]
                self._call(
                    now, carried, lambda c=carried, to=cells: self.controller.holders_changed(now, c.id, to)
                )

    def among(self, now, controllers, turn, warm):
        """What a fleet settles and knows (interface.py); `warm`: id -> hundredths of its link that were asked
        for, told as a report of a while ago."""
        self._call(now, None, lambda: self.controller.among(now, controllers, turn, warm))
        for id, use in warm.items():
            self._call(
                now, None, lambda id=id, use=use: self.controller.told_use(now, None, id, use / 100, None)
            )

    def limits(self, now, extra, found, advice):
        """What a fleet's members together allow and found under load (interface.py)."""
        self._call(now, None, lambda: self.controller.limits(now, extra, found, advice))

    def next_at(self):
        """When `tick` is next wanted; None: not before something happens."""
        times = (self.controller.wake_at, self.alarms[0][0] if self.alarms else None)
        return min((t for t in times if t is not None), default=None)

    def tick(self, now):
        """Time has passed: tries past their time-out are called off, and the decisions are woken."""
        while self.alarms and self.alarms[0][0] <= now:
            _, _, id = heapq.heappop(self.alarms)
            carried = self.held.get(id)
            if carried is None:
                continue
            if carried.stage is Stage.TRYING and now >= carried.try_due:
                self._give_up(now, carried, Ending.SILENT)
            if carried.answer is None and now >= carried.due - last_word(carried.wanted.time_left):
                self.watch("last word", carried)
                self._close(now, carried, self.last_answer(carried))
                self._call(now, carried, lambda c=carried: self.controller.viewer_left(now, c.id))
                self._give_up(now, carried, Ending.CALLED_OFF)
        if self.controller.wake_at is not None and now >= self.controller.wake_at:
            self._call(now, None, lambda: self.controller.wake(now))

    # Carrying out.

    def _alarm(self, at, carried):
        heapq.heappush(self.alarms, (at, next(self.alarm_ids), carried.id))

    def _call(self, now, carried, call):
        self.calls.append((now, carried, call))
        if self.busy:
            return
        self.busy = True
        try:
            while self.calls:
                at, about, call = self.calls.popleft()
                try:
                    changed = call()
                except Exception as fault:  # never swallowed: told, counted, and the playback still answered
                    self.faults += 1
                    self.watch("fault", about, error=fault)
                    continue
                for pb in changed or ():
                    self._carry(at, pb)
                if about is not None and about.stage is Stage.OVER:
                    self.held.pop(about.id, None)
        finally:
            self.busy = False

    def _carry(self, now, pb):
        """What a playback handed back by the decisions stands for, done."""
        carried = self.held.get(pb.id)
        if carried is None or carried.stage is Stage.OVER:
            return
        if pb.state is State.TRYING and pb.tries > carried.tries and carried.stage is Stage.WAITING:
            carried.tries, carried.rung, carried.streamer = pb.tries, pb.rung, pb.streamer.listed
            carried.sent_at, carried.try_due = now, now + pb.time_out
            carried.turn(now, Stage.TRYING)
            self._alarm(carried.try_due, carried)
            self.watch("try", carried, streamer=carried.streamer.id, rung=pb.rung, number=pb.tries)
            carried.carrier.set_up(carried, carried.streamer, pb.rung, pb.time_out)
        elif pb.state in (State.TRYING, State.PLAYING) and pb.rung != carried.rung:
            carried.rung = pb.rung
            self.watch("rung", carried, rung=pb.rung)
            carried.carrier.set_rung(carried, pb.rung)
        elif pb.state in (State.REJECTED, State.ABORTED) and carried.answer is None:
            kind = Kind.REJECTED if pb.state is State.REJECTED else Kind.ABORTED
            self._close(now, carried, Answer(kind, pb.come_back if kind is Kind.REJECTED else 0))
            self._give_up(now, carried, Ending.CALLED_OFF)

    def _answer(self, now, carried, answer):
        if carried.answer is None:
            carried.answer = answer
            self.open -= 1
            self.watch(
                "answer",
                carried,
                kind=answer.kind.value,
                come_back=answer.come_back,
                took=now - carried.taken_at,
            )
            carried.answered(answer)

    def _close(self, now, carried, answer):
        """The final answer, or None where the viewer left and none is owed."""
        if carried.answer is not None:
            return
        if answer is None:
            carried.answer = Answer(Kind.ABORTED, why="viewer left")
            self.open -= 1
        else:
            self._answer(now, carried, answer)

    def _give_up(self, now, carried, why):
        """Calls the try that is out off; a playback with none out is over, if it has its answer."""
        if carried.stage is Stage.TRYING:
            carried.gave_up = why
            carried.turn(now, Stage.CALLING_OFF)
            self.watch("call off", carried, why=why.name)
            carried.carrier.call_off(carried)
        elif carried.stage is Stage.WAITING and carried.answer is not None:
            carried.turn(now, Stage.OVER)
            self.held.pop(carried.id, None)
