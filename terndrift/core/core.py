"""Session core: reports events to the decision logic and carries out what it decides.

Fronts and transports call `Core` through `runner.CoreRunner`, on one thread. A call may come from within a
transport's own method, as when an attempt fails at once: calls to the decision logic are queued, so that it
is never re-entered and its decisions are carried out in order.
"""

import heapq
import itertools
from collections import deque

from terndrift.core.active_playback import ActivePlayback, Answer, AnswerKind, PlaybackStage
from terndrift.decide import Controller, State
from terndrift.interface import Ending, Standing

MS = 1_000_000
# The decision logic has to answer this long before the client gives up: a tenth of the client's wait and at
# least 120 ms. It scans what waits only every 50 ms, and the client's clock starts when it sends the request,
# not when a busy event loop reads it. The margin keeps answers in time (rule 1) despite busy loops and slow
# networks on either side. It never takes more than a third of the wait: otherwise a deployment with deadlines
# under 120 ms would reject all playbacks at once.
MARGIN_DIVISOR, MIN_MARGIN_NS, SHORT_WAIT_DIVISOR = 10, 120 * MS, 3


def margin(time_left):
    """Return how many ns before the client gives up the decision logic must have answered.

    `time_left`: ns that the client waits in all.
    """
    return max(min(MIN_MARGIN_NS, time_left // SHORT_WAIT_DIVISOR), time_left // MARGIN_DIVISOR)


def fallback_margin(time_left):
    """Return how many ns before the client gives up the core itself answers.

    It does so when the decision logic has not answered in time: after an exception in it, or when the event
    loop was blocked.
    """
    return margin(time_left) // 3


class Core:
    """The playbacks of one controller.

    `watch(event, playback, **facts)` is called for each change; logs, load reports
    and the overload handling of the fleet rely on the names of the events. `decisions` is the
    class of the decision logic (terndrift/interface.py). `drain_grace` is in ns.
    """

    def __init__(self, deployment, now, name="c0", drain_grace=0, watch=None, decisions=Controller):
        self.deployment, self.name = deployment, name
        # Prefix of playback ids. It holds the start time, as streamers may still have ids from before a
        # restart, which must not be used twice.
        self.run_id = f"{name}~{now:x}"
        self.controller = decisions(deployment, now)
        self.watch = watch or (lambda *_, **__: None)
        self.drain_grace = drain_grace
        # Whether a streamer (a ListEntry) may still serve the request; asked just before an attempt is sent.
        self.may_use_streamer = lambda request, streamer: True
        # The cells that a playback may use of those that hold its title; asked once, when it is requested.
        self.filter_cells = lambda cells: cells
        self.playbacks = {}  # playback id -> ActivePlayback
        self.unanswered_count = 0  # number of playbacks accepted and not yet answered
        self.playback_numbers = itertools.count(1)
        self.withdrawn_since = {}  # streamer id -> when it was first listed as draining or gone
        self.alarms = []  # heap of (time, sequence number, playback id): an attempt or an answer is due
        self.timer_sequence = itertools.count()
        self.pending_calls, self.dispatching = deque(), False
        self.decision_errors = 0  # exceptions raised by the decision logic

    # Called by fronts and transports.

    def request_playback(self, now, request, transport, on_answer):
        """Accept a playback and return its `ActivePlayback`.

        `on_answer(answer)` is called once, before the client gives up, possibly within this call; it is not
        called if the viewer leaves first.
        """
        playback = ActivePlayback(
            f"{self.run_id}-{next(self.playback_numbers)}", request, transport, on_answer, now
        )
        playback.rung = self.deployment.plans[request.plan].floor
        self.playbacks[playback.id] = playback
        self.unanswered_count += 1
        self._schedule(playback.deadline - fallback_margin(request.time_left), playback)
        self.watch("wanted", playback)
        self._call(
            now,
            playback,
            lambda: self.controller.request_playback(
                now,
                playback.id,
                request.plan,
                request.title,
                self.filter_cells(request.cells),
                request.top,
                request.time_left - margin(request.time_left),
                request.expected_duration,
                False,
                request.rates,
            ),
        )
        return playback

    def adopt_playback(self, now, request, transport, streamer_id, rung):
        """Adopt a playback that already runs at a streamer, as after a restart of the controller.

        Returns its `ActivePlayback`, which is in stage ENDED if the streamer is not listed.
        """
        playback = ActivePlayback(
            f"{self.run_id}-{next(self.playback_numbers)}", request, transport, lambda _: None, now
        )
        self.playbacks[playback.id], playback.rung = playback, rung
        known_streamer = self.controller.streamers.get(streamer_id)
        if known_streamer is None:
            playback.set_stage(now, PlaybackStage.ENDED)
            del self.playbacks[playback.id]
            return playback
        playback.answer, playback.streamer = Answer(AnswerKind.PLAYS), known_streamer.entry
        playback.set_stage(now, PlaybackStage.ATTEMPTING)
        playback.set_stage(now, PlaybackStage.PLAYING)

        def adopt():  # reports the rung in force in the same call: a guessed rung must not be carried out
            changed = self.controller.adopt_playback(
                now,
                playback.id,
                request.plan,
                request.title,
                request.cells,
                request.top,
                request.time_left,
                request.expected_duration,
                False,
                streamer_id,
            )
            self.controller.rung_reported(now, playback.id, rung)
            return changed

        self._call(now, playback, adopt)
        return playback

    def may_send(self, now, playback):
        """Return whether the attempt may still be sent.

        Transports ask once they are connected, just before the first byte: the streamer may have started to
        drain or left the list since it was chosen, and then gets no set-up after the grace period (rule 3).
        """
        if playback.stage is not PlaybackStage.ATTEMPTING or not self.may_use_streamer(
            playback.request, playback.streamer
        ):
            return False
        withdrawn_at = self.withdrawn_since.get(playback.streamer.id)
        return withdrawn_at is None or now <= withdrawn_at + self.drain_grace

    def fallback_answer(self, playback):
        """Return the answer to give when the decision logic gave none in time.

        REJECTED, with a time to retry after, if no attempt was sent or a repeated one does no harm; otherwise
        an attempt may have run and the answer is ABORTED.
        """
        if playback.attempts == 0 or self.deployment.plans[playback.request.plan].repeatable:
            return Answer(AnswerKind.REJECTED, self.controller.retry_advice)
        return Answer(AnswerKind.ABORTED, reason="no decision in time")

    def set_up_succeeded(self, now, playback, report):
        """Report that the attempt in flight succeeded and the playback runs.

        `report`: dict of load figures that the streamer sent with it, or None.
        """
        # the streamer started it before the cancellation arrived
        if playback.stage is PlaybackStage.CANCELLING:
            playback.transport.release_playback(playback, playback.streamer)
            return self.attempt_ended(now, playback, Ending.CALLED_OFF, report)
        if playback.stage is not PlaybackStage.ATTEMPTING:
            return None
        playback.set_stage(now, PlaybackStage.PLAYING)
        self._deliver_answer(now, playback, Answer(AnswerKind.PLAYS))
        self._call(
            now, playback, lambda: self.controller.set_up_succeeded(now, playback.id, now - playback.sent_at)
        )
        if report:
            self._call(
                now,
                playback,
                lambda: self.controller.utilisation_reported(
                    now, playback.id, playback.streamer.id, report.get("link"), report.get("uplink")
                ),
            )
        return None

    def attempt_ended(self, now, playback, ending, report=None):
        """Report that the attempt in flight failed, or that its cancellation is complete."""
        if playback.stage not in (PlaybackStage.ATTEMPTING, PlaybackStage.CANCELLING):
            return
        streamer, ending = playback.streamer, playback.cancel_reason or ending
        elapsed, playback.cancel_reason = now - playback.sent_at, None
        finished = playback.answer is not None
        playback.set_stage(now, PlaybackStage.ENDED if finished else PlaybackStage.WAITING)
        self.watch("try over", playback, ending=ending.name, streamer=streamer.id)
        self._call(
            now,
            playback,
            lambda: self.controller.attempt_ended(
                now, playback.id, ending, elapsed, finished, streamer.id, report or {}
            ),
        )

    def playback_ended(self, now, playback, ending, report=None):
        """Report that a running playback ended; ignored in any other stage."""
        if playback.stage is not PlaybackStage.PLAYING:
            return
        playback.set_stage(now, PlaybackStage.ENDED)
        playback.transport.release_playback(playback, playback.streamer)
        self.watch("over", playback, ending=ending.name)
        self._call(
            now,
            playback,
            lambda: self.controller.attempt_ended(
                now, playback.id, ending, now - playback.sent_at, True, playback.streamer.id, report or {}
            ),
        )

    def viewer_left(self, now, playback):
        """Report that the viewer left. No answer is given; an attempt in flight is cancelled.

        The playback is kept until that attempt has ended.
        """
        if playback.stage is PlaybackStage.PLAYING:
            return self.playback_ended(now, playback, Ending.CALLED_OFF)
        if playback.stage is PlaybackStage.ENDED or playback.answer is not None:
            return None
        self.watch("left", playback)
        self._resolve(now, playback, None)
        self._call(now, playback, lambda: self.controller.viewer_left(now, playback.id))
        self._cancel_attempt(now, playback, Ending.CALLED_OFF)
        return None

    def rung_change_refused(self, now, playback, rung):
        """Report that a change of rung was refused and that `rung` is the one in force."""
        if playback.stage is PlaybackStage.PLAYING:
            playback.rung = rung
            self._call(now, playback, lambda: self.controller.rung_reported(now, playback.id, rung))

    def utilisation_reported(self, now, playback, link_use, uplink_use):
        """Report the load of the streamer's link and of its rack's uplink, as demand over capacity.

        Either may be None: not reported. Ignored unless the playback runs.
        """
        if playback.stage is PlaybackStage.PLAYING:
            self._call(
                now,
                playback,
                lambda: self.controller.utilisation_reported(
                    now, playback.id, playback.streamer.id, link_use, uplink_use
                ),
            )

    def delivery_reported(self, now, streamer_id, share):
        """Report the share of their rates that the playbacks at a streamer get, 0 to 1."""
        self._call(now, None, lambda: self.controller.delivery_reported(now, streamer_id, share))

    def list_changed(self, now, entries, is_snapshot, is_cached):
        """Report the server list: `entries` of `ListEntry`, all of them (`is_snapshot`) or only changes.

        `is_cached`: the entries are a copy from before a restart.
        """
        listed_ids = {entry.id for entry in entries}
        withdrawn = [entry.id for entry in entries if entry.standing is not Standing.READY]
        if is_snapshot:
            withdrawn += [
                streamer_id for streamer_id in self.controller.streamers if streamer_id not in listed_ids
            ]
        for streamer_id in withdrawn:
            self.withdrawn_since.setdefault(streamer_id, now)
        for entry in entries:
            if entry.standing is Standing.READY:
                self.withdrawn_since.pop(entry.id, None)
        self._call(now, None, lambda: self.controller.list_changed(now, entries, is_snapshot, is_cached))
        # The decision logic can't choose a streamer that it has forgotten. Removing those bounds the memory
        # that a list with ever new streamers takes.
        if len(self.withdrawn_since) > 2 * len(self.controller.streamers):
            self.withdrawn_since = {
                s: t for s, t in self.withdrawn_since.items() if s in self.controller.streamers
            }

    def holders_changed(self, now, titles):
        """Report new holders. `titles`: title -> cells that hold it from now on; empty: it was removed.

        Running playbacks go on and the answer to an attempt in flight still counts. Waiting playbacks look
        among the new holders, and are answered at once if there are none left to wait for.
        """
        for playback in [p for p in self.playbacks.values() if p.request.title in titles]:
            if playback.stage in (PlaybackStage.WAITING, PlaybackStage.ATTEMPTING, PlaybackStage.CANCELLING):
                cells = titles[playback.request.title]
                self._call(
                    now,
                    playback,
                    lambda p=playback, new_cells=cells: self.controller.holders_changed(now, p.id, new_cells),
                )

    def fleet_changed(self, now, controller_count, warm_up_turn, warm_link_use):
        """Report what the fleet's controllers agreed on (`fleet_changed` in terndrift/interface.py).

        `warm_link_use`: id of a warm streamer -> demand on its link in hundredths of its capacity, passed on
        as a load report of a while ago.
        """
        self._call(
            now,
            None,
            lambda: self.controller.fleet_changed(now, controller_count, warm_up_turn, warm_link_use),
        )
        for streamer_id, percent in warm_link_use.items():
            self._call(
                now,
                None,
                lambda streamer_id=streamer_id, percent=percent: self.controller.utilisation_reported(
                    now, None, streamer_id, percent / 100, None
                ),
            )

    def fleet_limits_changed(self, now, extra_attempts, findings, retry_after_choices):
        """Report the fleet's shared limits and findings under load (`fleet_limits_changed` in
        terndrift/interface.py)."""
        self._call(
            now,
            None,
            lambda: self.controller.fleet_limits_changed(now, extra_attempts, findings, retry_after_choices),
        )

    def next_at(self):
        """Return when `tick` should be called next, or None if only an event can make it necessary."""
        times = (self.controller.wake_at, self.alarms[0][0] if self.alarms else None)
        return min((t for t in times if t is not None), default=None)

    def tick(self, now):
        """Cancel attempts past their timeout, give fallback answers and wake the decision logic, as due."""
        while self.alarms and self.alarms[0][0] <= now:
            _, _, playback_id = heapq.heappop(self.alarms)
            playback = self.playbacks.get(playback_id)
            if playback is None:
                continue
            if playback.stage is PlaybackStage.ATTEMPTING and now >= playback.attempt_deadline:
                self._cancel_attempt(now, playback, Ending.SILENT)
            if playback.answer is None and now >= playback.deadline - fallback_margin(
                playback.request.time_left
            ):
                self.watch("last word", playback)
                self._resolve(now, playback, self.fallback_answer(playback))
                self._call(now, playback, lambda p=playback: self.controller.viewer_left(now, p.id))
                self._cancel_attempt(now, playback, Ending.CALLED_OFF)
        if self.controller.wake_at is not None and now >= self.controller.wake_at:
            self._call(now, None, lambda: self.controller.wake(now))

    # Carrying out decisions.

    def _schedule(self, at, playback):
        heapq.heappush(self.alarms, (at, next(self.timer_sequence), playback.id))

    def _call(self, now, playback, call):
        """Queue a call to the decision logic; unless one is running, run the queue and apply the results."""
        self.pending_calls.append((now, playback, call))
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.pending_calls:
                called_at, subject, call = self.pending_calls.popleft()
                try:
                    changed = call()
                except Exception as error:  # reported and counted; `tick` still answers the playback in time
                    self.decision_errors += 1
                    self.watch("fault", subject, error=error)
                    continue
                for decided in changed or ():
                    self._apply_decision(called_at, decided)
                if subject is not None and subject.stage is PlaybackStage.ENDED:
                    self.playbacks.pop(subject.id, None)
        finally:
            self.dispatching = False

    def _apply_decision(self, now, decided):
        """Carry out the state of a playback that the decision logic returned as changed."""
        playback = self.playbacks.get(decided.id)
        if playback is None or playback.stage is PlaybackStage.ENDED:
            return
        if (
            decided.state is State.ATTEMPTING
            and decided.attempts > playback.attempts
            and playback.stage is PlaybackStage.WAITING
        ):
            playback.attempts, playback.rung, playback.streamer = (
                decided.attempts,
                decided.rung,
                decided.streamer.entry,
            )
            playback.sent_at, playback.attempt_deadline = now, now + decided.timeout
            playback.set_stage(now, PlaybackStage.ATTEMPTING)
            self._schedule(playback.attempt_deadline, playback)
            self.watch(
                "try", playback, streamer=playback.streamer.id, rung=decided.rung, number=decided.attempts
            )
            playback.transport.set_up(playback, playback.streamer, decided.rung, decided.timeout)
        elif decided.state in (State.ATTEMPTING, State.PLAYING) and decided.rung != playback.rung:
            playback.rung = decided.rung
            self.watch("rung", playback, rung=decided.rung)
            playback.transport.set_rung(playback, decided.rung)
        elif decided.state in (State.REJECTED, State.ABORTED) and playback.answer is None:
            kind = AnswerKind.REJECTED if decided.state is State.REJECTED else AnswerKind.ABORTED
            self._resolve(
                now, playback, Answer(kind, decided.retry_after if kind is AnswerKind.REJECTED else 0)
            )
            self._cancel_attempt(now, playback, Ending.CALLED_OFF)

    def _deliver_answer(self, now, playback, answer):
        if playback.answer is None:
            playback.answer = answer
            self.unanswered_count -= 1
            self.watch(
                "answer",
                playback,
                kind=answer.kind.value,
                come_back=answer.retry_after,
                took=now - playback.accepted_at,
            )
            playback.on_answer(answer)

    def _resolve(self, now, playback, answer):
        """Give the final answer; `answer` is None if the viewer left and no answer is to be delivered."""
        if playback.answer is not None:
            return
        if answer is None:
            playback.answer = Answer(AnswerKind.ABORTED, reason="viewer left")
            self.unanswered_count -= 1
        else:
            self._deliver_answer(now, playback, answer)

    def _cancel_attempt(self, now, playback, ending):
        """Cancel the attempt in flight. Without one, an answered playback is over and is removed."""
        if playback.stage is PlaybackStage.ATTEMPTING:
            playback.cancel_reason = ending
            playback.set_stage(now, PlaybackStage.CANCELLING)
            self.watch("call off", playback, why=ending.name)
            playback.transport.cancel_attempt(playback)
        elif playback.stage is PlaybackStage.WAITING and playback.answer is not None:
            playback.set_stage(now, PlaybackStage.ENDED)
            self.playbacks.pop(playback.id, None)
