"""The decisions of a session front: which streamer sets a playback up, at which rung, or not at all.

Each front owns one `Controller` and calls it with every event that it receives. The callers are
`terndrift/core`, `terndrift/adapter` and, through the core, `terndrift/fleet`; `terndrift/interface.py`
describes the calls and what the host does with their results, docs/design.md the mechanism. Other controllers
use the same streamers and uplinks unseen, so their demand is estimated from load reports.

This module must never do I/O, read a clock, block or draw from any random source but its own seeded one:
the same calls with the same times give the same results. Times are in ns, rates and capacities in kB/s.
"""

import heapq
import zlib
from collections import deque
from dataclasses import replace
from statistics import fmean, pstdev

from .interface import Ending, Standing, State

MS, SECOND = 1_000_000, 1_000_000_000
TARGET_UTILISATION = 0.9  # of links and uplinks; docs/design.md calls it the mark

FINAL_STATES = (State.REJECTED, State.ABORTED, State.ENDED)
# endings that count against the streamer whatever was requested of it
STREAMER_FAULTS = (Ending.SILENT, Ending.UNREACHED, Ending.BROKEN)
STATE_TRANSITIONS = {  # all other changes of state are errors
    State.HELD: (State.ATTEMPTING, State.PLAYING, State.REJECTED, State.ABORTED, State.ENDED),
    State.ATTEMPTING: (State.HELD, State.PLAYING, State.ABORTED, State.ENDED),
    State.PLAYING: (State.ENDED,),
}


class Rack:
    """Streamers that share one uplink, with the capacity of that uplink and the demand on it."""

    def __init__(self, nominal_capacity):
        self.nominal_capacity, self.streamers = nominal_capacity, []
        # (time, demand of other controllers) by the last uplink report, if that is better than the sum over
        # the streamers
        self.reported_demand = None
        # (time, measured capacity): corrections of the nominal capacity
        self.capacity_samples = deque(maxlen=4)
        # when own playbacks here last went up, or could have gone up by chance; when they were last lowered
        self.raised_at, self.lowered_at = 0, 0
        self.demand_cache = ()  # (now, at_time, demand); cleared by reports and changes of own playbacks

    def capacity(self, now):
        """Estimate the uplink's capacity: the mean of recent measurements, or else the nominal capacity."""
        measured = (
            fmean(kb for _, kb in self.capacity_samples) if self.capacity_samples else self.nominal_capacity
        )
        # A fault ends unannounced, so the estimate returns to nominal by 4% a second; a jump would overload a
        # small uplink.
        if measured < self.nominal_capacity:
            measured = min(self.nominal_capacity, measured * (1 + 0.04 * self.since_correction(now) / SECOND))
        return min(max(measured, self.nominal_capacity / 8), self.nominal_capacity * 2)

    def since_correction(self, now):
        """Return the time since the capacity was last measured; `now` itself if it never was."""
        return now - self.capacity_samples[-1][0] if self.capacity_samples else now

    def own_demand(self, at_time=None):
        """Return the demand of this controller's playbacks, now or at an earlier time."""
        return sum(streamer.own_demand(at_time) for streamer in self.streamers)

    def demand(self, now, at_time=None):
        """Estimate the demand of all controllers; with `at_time`, own playbacks count as they were then."""
        if at_time is None and self.reported_demand and now - self.reported_demand[0] < 5 * SECOND:
            return self.reported_demand[1] + self.own_demand()
        if self.demand_cache[:2] != (now, at_time):
            # A link passes on no more than its capacity; a streamer that is slow reports many times as much.
            self.demand_cache = (
                now,
                at_time,
                sum(
                    [
                        min(streamer.demand(now, at_time), streamer.link_capacity)
                        for streamer in self.streamers
                    ]
                ),
            )
        return self.demand_cache[2]


class Streamer:
    """A streamer of the server list as this controller sees it: own playbacks, load and health.

    `capacity`, `own_demand`, `demand` and `streamers` exist on `Rack` too, so that a streamer's link and a
    rack's uplink can be handled alike.
    """

    def __init__(self, entry, rack, deployment, typical_demand):
        self.entry, self.rack, self.deployment = entry, rack, deployment
        self.playbacks = {}  # own playbacks -> None, in order of placement; set-ups in progress included
        self.demand_history = deque([(0, 0.0)], maxlen=64)  # (time, own demand on the link from then on)
        # mean demand of other controllers on a streamer: a list of one number that all streamers share
        self.typical_demand = typical_demand
        # (time, demand of other controllers on the link): the last load reports
        self.load_reports = deque(maxlen=2)
        # (time, delivered share of the rates): the last delivery reports
        self.delivery_reports = deque(maxlen=2)
        # least interval between set-ups after failures (0: healthy); earliest time of the next one
        self.backoff, self.next_attempt_at = 0, 0
        self.failed_at = None  # when it failed: it may come back cold before the list says that it restarted
        # the cold-start slot of the last set-up, None if it was warm; the last load report
        self.last_slot, self.last_report = None, None
        # as in Rack; the sum of the rate scales of own playbacks
        self.raised_at, self.lowered_at, self.own_scale = 0, 0, 0.0
        self.streamers = (self,)  # those behind this link, as a rack has those behind its uplink
        self.update_entry(entry)
        rack.streamers.append(self)

    def update_entry(self, entry):
        """Take over a changed line of the server list, and derive the capacities from it."""
        self.entry, weight = entry, entry.weight
        self.link_capacity = max(
            1.0, self.deployment.links.unit_kb * (weight if 0.01 < weight < 100 else 1.0)
        )
        self.rack.demand_cache, max_playbacks = (), self.deployment.links.places
        self.max_playbacks = max_playbacks.get(entry.kind) or min(max_playbacks.values(), default=8)

    def capacity(self, now=0):
        """Return the capacity of the link; `now` is accepted to match `Rack.capacity`."""
        return self.link_capacity

    def own_demand(self, at_time=None):
        """Return the demand of this controller's playbacks on the link, now or at an earlier time."""
        return (
            self.demand_history[-1][1]
            if at_time is None
            else next((kb for t, kb in reversed(self.demand_history) if t <= at_time), 0.0)
        )

    def others_demand(self, now):
        """Estimate the demand of other controllers on the link.

        The mean of the last two reports fades, within 15 s, into the typical demand on a streamer. Without
        the fade one high report would exclude a streamer for good, as no set-up would bring a newer one.
        """
        if self.entry.standing is Standing.GONE or self.failed_at is not None:
            return 0.0  # a streamer that is gone or down puts no load on its rack's uplink
        if not (reports := self.load_reports):
            return self.typical_demand[0]
        faded = min(1.0, (now - reports[-1][0]) / (15 * SECOND))
        return (1 - faded) * ((reports[0][1] + reports[-1][1]) / 2) + faded * self.typical_demand[0]

    def demand(self, now, at_time=None):
        """Estimate the demand of all controllers; with `at_time`, own playbacks count as they were then."""
        return self.others_demand(now) + (
            self.demand_history[-1][1] if at_time is None else self.own_demand(at_time)
        )

    def utilisation(self, now):
        """Return the utilisation of the link: demand over capacity, which may exceed 1."""
        return self.demand(now) / self.link_capacity

    def live_group(self, playback):
        """Return own playbacks here of the same live title and plan: on one rung they share a stream."""
        group = self.playbacks if playback.plan.adds < 1 else ()
        return [other for other in group if other.title == playback.title and other.plan is playback.plan]

    def stalled(self, now):
        """Return whether it delivers under half while its link has room and its rack's others deliver."""
        # A weak uplink was never seen to give less than half while its other streamers went on well.
        short = (
            bool(self.delivery_reports)
            and self.delivery_reports[-1][1] < 0.5
            and now - self.delivery_reports[-1][0] < 3 * SECOND
        )
        return short and self.utilisation(now) < 0.97 and not self.rack_is_short(now)

    def rack_is_short(self, now):
        """Return whether at least half of the rack's other streamers with own playbacks fall short too.

        A weak uplink slows down all of its rack alike. With no other streamer in use to compare with, a share
        of half or more is blamed on the uplink: where a front seldom has two streamers of a rack in use,
        nothing else would lower the rungs.
        """
        if not (peers := [peer for peer in self.rack.streamers if peer is not self and peer.playbacks]):
            return self.delivery_reports[-1][1] >= 0.5
        last_shares = [peer.delivery_reports[-1] for peer in peers if peer.delivery_reports]
        return 2 * sum(share < 0.98 and now - t < 3 * SECOND for t, share in last_shares) >= len(peers)


class Playback:
    """One playback of this controller, from the request or hand-over until nothing more is owed.

    The host reads `id`, `state`, `streamer`, `rung`, `attempts`, `timeout` and `retry_after`; it must not
    change them.
    """

    def __init__(self, id, plan, title, top, deadline, draw):
        self.id, self.plan, self.title, self.top, self.deadline = id, plan, title, top, deadline
        self.draw = draw  # random, 0 to 1: decides whether it gets a rung that only some can have
        self.state, self.streamer, self.rung, self.hold_until = State.HELD, None, plan.floor, deadline
        # streamers that set-ups were sent to; number of set-ups; timeout of the last; advice of a rejection
        self.attempted, self.attempts, self.timeout, self.retry_after = [], 0, 0, 0
        # last change of state; last change of rung; expected end (0: not known)
        self.state_since, self.rung_changed_at, self.expected_end = 0, 0, 0
        # whether any set-up may have run; whether a set-up, or what plays from it, is in progress
        self.may_have_run, self.in_progress = False, False

    def unsafe_to_resend(self):
        """Return whether a set-up may have run that must neither be repeated nor answered by a rejection."""
        return self.may_have_run and not self.plan.repeatable


class Controller:
    """Places, shapes, rejects and aborts the playbacks of one front.

    `terndrift/interface.py` has the contract. The calls return the playbacks that changed, in order; the
    host acts on them at once and calls `wake` at `wake_at`. Ids that are not known are ignored.
    """

    def __init__(self, deployment, now):
        # started_without_state: nothing was handed over, so this may be a restart with an outdated list
        self.deployment, self.created_at, self.started_without_state = deployment, now, True
        self.streamers, self.racks, self.playbacks = {}, {}, {}
        # playbacks held or in set-up, in order; racks with new reports; playbacks to return from this call
        self.pending, self.stale_racks, self.changed = {}, {}, {}
        self.seed_crc = zlib.crc32(b"%d:" % deployment.seed)
        # cell -> {position: streamer}, positions being in the order of first listing; the last position
        self.by_cell, self.last_position = {}, 0
        # streamer -> since when it is gone; streamer -> set-ups sent since the server list last changed
        self.gone_since, self.setup_counts = {}, {}
        # streamers with own playbacks; streamers with load reports; the number that all streamers share
        self.used_streamers, self.reporting_streamers, self.typical_demand = {}, {}, [0.0]
        self.has_live_plans = any(plan.adds < 1 for plan in deployment.plans.values())
        # titles that have played here; kind of request -> when it last found no placement
        self.played_titles, self.unplaced_at = set(), {}
        # streamers that have run since their listed start; (rank, ranks) in the turns of cold starts
        self.proven_warm, self.cold_start_turn = set(), (deployment.rank, deployment.controllers)
        # times of accepted playbacks and of set-ups beyond the first, for the budget of extra attempts
        self.accepted_times, self.extra_attempt_times = deque(maxlen=10**5), deque(maxlen=10**5)
        self.arrival_times = deque([now], maxlen=16)  # times of the start and of the last accepted playbacks
        # of successful set-ups; 200 ms until some are known
        self.setup_durations = deque([200 * MS], maxlen=32)
        self.playback_durations = deque(maxlen=64)
        # attempts lent, retry times and excluded streamers as the fleet last said, see `fleet_limits_changed`
        self.lent_attempts, self.fleet_advice, self.left_to_others = None, (), ()
        self.draw_count, self.typical_rate, self.wake_at, self.next_scan_at = 0, 1.0, None, 0
        # no longer than viewers pause anyway; less brings them back into the same congestion
        self.retry_advice = min(SECOND, deployment.rules.longest_advice)
        self.list_requests, self.list_retry_pause, list_within = 0, 0, deployment.rules.list_within
        # staggered by rank: many controllers start at once, and one service answers all of them
        self.list_due_at = (
            now + list_within // 4 * deployment.rank // deployment.controllers if list_within else None
        )

    def list_changed(self, now, entries, complete, cached):
        """Apply entries of the server list: all of it if `complete`, else changes. `cached` is not used."""
        # A streamer that joins must not get all set-ups until its count has caught up with the others.
        self.setup_counts.clear()
        self.list_retry_pause, listed_ids = 0, {entry.id for entry in entries}
        if complete:
            removed = [
                streamer.entry
                for streamer_id, streamer in self.streamers.items()
                if streamer_id not in listed_ids
            ]
            entries = [replace(entry, standing=Standing.GONE) for entry in removed] + list(entries)
        for entry in entries:
            if (streamer := self.streamers.get(entry.id)) is None:
                rack = self.racks.setdefault(entry.rack, Rack(self.deployment.links.uplink_kb))
                streamer = self.streamers[entry.id] = Streamer(
                    entry, rack, self.deployment, self.typical_demand
                )
                streamer.position = self.last_position = self.last_position + 1
            self.by_cell.get(streamer.entry.cell, {}).pop(streamer.position, None)
            self.by_cell.setdefault(entry.cell, {})[streamer.position] = streamer
            if entry.started != streamer.entry.started:
                streamer.failed_at, streamer.last_slot = None, None
                streamer.load_reports.clear()
            streamer.update_entry(entry)
            self.gone_since.setdefault(
                streamer, now
            ) if entry.standing is Standing.GONE else self.gone_since.pop(streamer, None)
        # Bounds memory against a list of ever new names: the streamers gone longest are forgotten once they
        # make up about half of all. One that came back cold under its old start would then pass as warm,
        # hence none is forgotten within `cold_for`.
        while len(self.gone_since) > 64 + len(self.streamers) // 2:
            streamer, since = next(iter(self.gone_since.items()))
            if now - since < self.deployment.rules.cold_for:
                break
            del self.gone_since[streamer]
            if streamer.playbacks:
                self.gone_since[streamer] = now
            else:
                del self.streamers[streamer.entry.id], self.by_cell[streamer.entry.cell][streamer.position]
                streamer.rack.streamers.remove(streamer)
                self.reporting_streamers.pop(streamer, None)
        return self.wake(now)

    def fleet_changed(self, now, controllers, cold_start_turn, warm_ids=()):
        """Take over what the fleet agreed on: its size, this controller's turn and streamers proven warm.

        Without the proof a restarted controller would wait for a whole warm-up of streamers that have run
        all along. If both the list and the members that saw them run are wrong, a cold streamer gets the load
        of a warm one.
        """
        self.deployment, self.cold_start_turn = (
            replace(self.deployment, controllers=controllers),
            cold_start_turn,
        )
        self.proven_warm |= {
            self.streamers[streamer_id] for streamer_id in warm_ids if streamer_id in self.streamers
        }
        return self.wake(now)

    def fleet_limits_changed(self, now, extra_attempts, findings, advice):
        """Take over the fleet's budget of extra attempts, its findings on streamers and its retry advice.

        `extra_attempts` may be made until the next call (None: no limit). This keeps the extra attempts of
        all members together within a budget, and members from finding out one by one what two know already.
        It could harm where only those two cannot reach a streamer.
        """
        self.lent_attempts, self.fleet_advice = extra_attempts, advice
        self.left_to_others = {
            self.streamers.get(streamer_id) for streamer_id, usable in findings.items() if not usable
        }
        for streamer, usable in [
            (self.streamers[known_id], usable)
            for known_id, usable in findings.items()
            if known_id in self.streamers
        ]:
            streamer.next_attempt_at = (
                min(streamer.next_attempt_at, now) if usable else streamer.next_attempt_at
            )
            # None: it seems dead, and may come back cold
            streamer.failed_at = now if usable is None and streamer.failed_at is None else streamer.failed_at
        return self.wake(now) if self.pending else []

    def list_failed(self, now):
        """Schedule another request for the server list after one failed or its subscription broke off.

        Without it the last list would stay in force for good. The pause doubles and has jitter, so that many
        controllers don't ask an unreachable service in step.
        """
        if list_within := self.deployment.rules.list_within:
            # after a failed request four times the interval is allowed, so several retries fit in
            self.list_retry_pause = min(max(SECOND, 2 * self.list_retry_pause), max(SECOND, list_within // 2))
            self.list_due_at = now + int(self.list_retry_pause * (0.5 + self._random()))
        return self.wake(now)

    def request_playback(
        self, now, playback_id, plan, title, cells, top, time_left, expected_duration, moved, rates=None
    ):
        """Accept a new playback: it is placed, held for up to 2 s, or rejected.

        `cells` hold the title, `top` is the highest rung for this viewer, `time_left` the time until its
        deadline, `expected_duration` the playing time (0: not known) and `rates` the title's own ladder
        (None: the deployment's). `moved` is not used.
        """
        playback = self._accept(
            now, playback_id, plan, title, cells, top, time_left, expected_duration, rates
        )
        self.accepted_times.append(now)
        self._extra_attempt_allowed(now)  # drops old times; extra attempts, which do so too, may be rare
        self.arrival_times.append(now)
        playback.hold_until = min(now + 2 * SECOND, playback.deadline)  # the short hold of docs/design.md
        if playback.rung > top or time_left <= 0:
            self._reject(now, playback)
        return self.wake(now, playback)

    def adopt_playback(
        self, now, playback_id, plan, title, cells, top, time_left, expected_duration, moved, streamer_id
    ):
        """Take over a playback that already plays, at the streamer `streamer_id`.

        The other arguments are those of `request_playback`. At a streamer that is not listed the playback
        ends at once.
        """
        self.started_without_state, playback = (
            False,
            self._accept(now, playback_id, plan, title, cells, top, time_left, expected_duration),
        )
        playback.attempts, playback.streamer = 1, self.streamers.get(streamer_id)
        # nothing can be done for one at an unlisted streamer
        playback.in_progress = playback.streamer is not None
        self._set_state(now, playback, State.PLAYING if playback.in_progress else State.ENDED)
        if playback.in_progress:
            playback.streamer.playbacks[playback] = self.stale_racks[playback.streamer.rack] = None
            self._update_own_demand(now, playback.streamer)
        return self.wake(now)

    def set_up_succeeded(self, now, playback_id, took):
        """Record that the set-up in progress succeeded, `took` ns after it was sent."""
        if (playback := self.playbacks.get(playback_id)) and playback.state is State.ATTEMPTING:
            self.setup_durations.append(took)
            self._record_success(now, playback.streamer)
            self._set_state(now, playback, State.PLAYING)
        return self.wake(now)

    def attempt_ended(self, now, playback_id, ending, took, finished, streamer_id, report):
        """Record the end of a set-up, or of what played; if not `finished`, another attempt may follow."""
        playback, streamer = self.playbacks.get(playback_id), self.streamers.get(streamer_id)
        # A streamer hands out one report for seconds. The repeats would displace newer figures from notes.
        if streamer and report and report != streamer.last_report:
            streamer.last_report = report
            self._apply_load_report(now, streamer, report.get("link"), report.get("uplink"), True)
        if playback is None or not playback.in_progress:
            return self.wake(now)
        playback.in_progress, was_setup = False, playback.state is State.ATTEMPTING
        del playback.streamer.playbacks[playback]
        self._update_own_demand(now, playback.streamer)
        playback.may_have_run |= was_setup and ending.may_have_run
        # An error over a title that never played is blamed on the title, or requests for what nobody holds
        # would put healthy streamers into backoff. It could harm while a streamer errs at every new title.
        if ending in STREAMER_FAULTS or ending is Ending.ERRED and playback.title in self.played_titles:
            self._record_failure(now, playback.streamer, ending)
        if playback.state in FINAL_STATES:
            self.playbacks.pop(playback_id)
        elif finished:
            if playback.state is State.PLAYING and ending is Ending.PLAYED_OUT:
                self.playback_durations.append(now - playback.state_since)
            self._set_state(now, playback, State.ENDED)
        elif was_setup:
            self._set_state(now, playback, State.ABORTED if playback.unsafe_to_resend() else State.HELD)
        return self.wake(now, playback)

    def holders_changed(self, now, playback_id, cells):
        """Replace the cells that hold the title; a set-up in progress goes on."""
        if (playback := self.playbacks.get(playback_id)) and playback.state in (State.HELD, State.ATTEMPTING):
            playback.cells = cells
        return self.wake(now, playback)

    def rung_reported(self, now, playback_id, rung):
        """Record the rung that is in force of a playback, as for one handed over."""
        if (
            (playback := self.playbacks.get(playback_id))
            and playback.streamer
            and 0 <= rung < len(self.deployment.ladder.rates)
        ):
            playback.rung = int(rung)
            self._update_own_demand(now, playback.streamer)
        return []

    def utilisation_reported(self, now, playback_id, streamer_id, link, uplink):
        """Record the utilisation of a streamer's link and of its rack's uplink (None: not reported)."""
        playback, streamer = self.playbacks.get(playback_id), self.streamers.get(streamer_id)
        # Figures that come with a set-up, in the same batch or the next, are current; later ones lag.
        if streamer:
            self._apply_load_report(
                now, streamer, link, uplink, playback is not None and now - playback.state_since < 50 * MS
            )
        return self.wake(now)

    def delivery_reported(self, now, streamer_id, share):
        """Record the share of their rates that playbacks at a streamer got, `Links.lag` ago."""
        if (streamer := self.streamers.get(streamer_id)) and share is not None and 0 <= share <= 1:
            self._apply_delivery_report(now, streamer, share)
        return self.wake(now)

    def viewer_left(self, now, playback_id):
        """End a playback whose viewer has left."""
        if (playback := self.playbacks.get(playback_id)) and playback.state not in FINAL_STATES:
            self._set_state(now, playback, State.ENDED)
        return self.wake(now)

    # Probes and peer messages are never sent, so none are expected.
    probe_answer = peer_message = lambda self, now, *_: []

    def _accept(
        self, now, playback_id, plan_name, title, cells, top, time_left, expected_duration, rates=None
    ):
        draw, deadline, top = (
            self._random(),
            now + time_left,
            min(top, len(self.deployment.ladder.rates) - 1),
        )
        playback = self.playbacks[playback_id] = Playback(
            playback_id, self.deployment.plans[plan_name], title, top, deadline, draw
        )
        playback.cells, playback.rates = (
            cells,
            [kb * playback.plan.scale for kb in rates or self.deployment.ladder.rates],
        )
        playback.rung_steps, playback.expected_end, self.pending[playback] = (
            self._rung_steps(playback.plan, playback.rates),
            now + expected_duration if expected_duration else 0,
            None,
        )
        return playback

    def _set_state(self, now, playback, state):
        """Change the state of a playback; the only place that does."""
        assert state in STATE_TRANSITIONS.get(playback.state, ()), (
            f"{playback.state} cannot change to {state}"
        )
        playback.state, playback.state_since = state, now
        if state not in (State.HELD, State.ATTEMPTING):
            self.pending.pop(playback, None)
        if state is State.PLAYING:
            # bounds memory
            self.played_titles = self.played_titles if len(self.played_titles) <= 4096 else set()
            self.played_titles.add(playback.title)
        if state in FINAL_STATES and not playback.in_progress:
            self.playbacks.pop(playback.id)
        if state is not State.ENDED:
            self.changed[playback] = None

    def _reject(self, now, playback):
        """Reject a playback, or abort it where a set-up that must not be repeated may have run."""
        playback.retry_after = (
            self.fleet_advice[int(playback.draw * len(self.fleet_advice))]
            if self.fleet_advice
            else self.retry_advice
        )
        self._set_state(now, playback, State.ABORTED if playback.unsafe_to_resend() else State.REJECTED)
        return True

    def wake(self, now, playback=None):
        """Retry or answer held playbacks, adjust rungs, set `wake_at`, and return the changed playbacks.

        All held playbacks and set-ups are checked every 50 ms; in between only `playback`, if it is one.
        """
        if scan_due := now >= self.next_scan_at:
            self.next_scan_at = now + 50 * MS
            self._update_averages()
            for rack in self.stale_racks:
                self._adjust_rungs(now, rack)
            self.stale_racks.clear()
        # per scan, to bound the work of a long queue; those looked at go to its end
        placements_left = 32
        for pending in list(self.pending if scan_due else {playback} & self.pending.keys()):
            # the set-up is still in progress
            if pending.state is State.ATTEMPTING and now >= pending.deadline:
                self._set_state(now, pending, State.ABORTED)
            elif pending.state is State.HELD and (placements_left > 0 or now >= pending.hold_until):
                placements_left -= 1
                self.pending[pending] = self.pending.pop(pending)
                if not self._place(now, pending) and now >= pending.hold_until:
                    self._reject(now, pending)
        if self.list_due_at is not None and now >= self.list_due_at:
            self.list_requests, self.list_due_at = self.list_requests + 1, None
        self.wake_at = self.next_scan_at if self.pending or self.stale_racks else self.list_due_at
        changed, self.changed = self.changed, {}
        return list(changed)

    def _place(self, now, playback):
        """Send a set-up to the best holder not yet attempted, or reject; return False to keep it held."""
        plan, rules = playback.plan, self.deployment.rules
        if playback.attempts >= rules.attempt_limit or playback.deadline - now < 20 * MS:
            return self._reject(now, playback)
        # Of equal requests without an attempt only the first is worked out at one moment, which bounds the
        # work of a long queue without room, whatever fills it.
        request_key = (
            None
            if playback.attempted
            else (plan.name, playback.title if plan.seats else None, playback.cells, playback.rates[0])
        )
        if request_key and self.unplaced_at.get(request_key) == now:
            return False
        # Of very many holders a sample is considered, and all of them if none of it is eligible. The least
        # loaded of 256 is as good as that of thousands, and the event loop is not blocked. It could harm
        # where only a few holders have room.
        stride = len(playback.cells) // 256
        sample = (
            list(playback.cells)[int(self._random() * stride) :: stride] if stride > 1 else playback.cells
        )
        if not (
            eligible := self._eligible_holders(playback, sample)
            or self._eligible_holders(playback, playback.cells)
        ):
            return self._reject(now, playback)  # every holder was attempted, or is left to other controllers
        self.unplaced_at[request_key] = now  # cleared as soon as a set-up is sent
        if (
            plan.seats
            and self.seats_taken(plan, playback.title) >= plan.seats
            or playback.attempts
            and not self._extra_attempt_allowed(now)
        ):
            return False
        available = [
            streamer
            for streamer in eligible
            if now >= streamer.next_attempt_at and self._may_start_cold(now, streamer, len(eligible))
        ]
        if not plan.repeatable:
            available = [streamer for streamer in available if not streamer.backoff] or available
        ordered = self._rank_candidates(now, available, playback)
        for streamer in ordered:
            if (rung := self._choose_rung(now, playback, streamer)) is not None:
                return self._start_set_up(now, playback, streamer, rung)
        for streamer in ordered:
            # docs/design.md asks for room on the link alone; set-ups behind an uplink lately measured as full
            # would slow down all of its playbacks
            links = (
                [streamer, streamer.rack] if streamer.rack.since_correction(now) < 5 * SECOND else [streamer]
            )
            if all(link.demand(now) + playback.rates[plan.floor] <= link.capacity(now) for link in links):
                return self._start_set_up(now, playback, streamer, plan.floor)
        # the least loaded of each rack
        for streamer in {streamer.rack: streamer for streamer in reversed(ordered)}.values():
            if (rung := self._make_room(now, playback, streamer)) is not None:
                return self._start_set_up(now, playback, streamer, rung)
        return False

    def _make_room(self, now, playback, streamer):
        """Lower own playbacks above their fair rung for a newcomer without room, and return its rung.

        Returns None if they cannot free enough. Demand on link and uplink doesn't grow. Without it a fleet
        rejects everyone while links are full but not overloaded enough for rungs to be lowered. It could harm
        where load reports overstate the demand.
        """
        needed = playback.rates[playback.plan.floor]
        # one viewer of a live title frees nothing while others watch the same stream
        own_playbacks = [
            other for peer in streamer.rack.streamers for other in peer.playbacks if other.plan.adds == 1
        ]
        if sum([other.rates[other.rung] - other.rates[other.plan.floor] for other in own_playbacks]) < needed:
            return None
        fair_rungs, bottleneck = (
            self._fair_rungs(now, streamer.rack, playback, streamer, True),
            streamer if streamer.demand(now) + needed > streamer.capacity() else streamer.rack,
        )
        excess = {
            other: other.rates[other.rung] - other.rates[fair_rungs[other]]
            for other in own_playbacks
            if other.streamer in bottleneck.streamers
            and other.state is State.PLAYING
            and other.rung > fair_rungs[other]
        }
        if sum(excess.values()) < needed:
            return None
        freed = 0.0
        for other in sorted(excess, key=excess.get, reverse=True):
            if freed < needed:
                freed += excess[other]
                self._set_rung(now, other, fair_rungs[other])
        room = freed if bottleneck is streamer else min(freed, streamer.capacity() - streamer.demand(now))
        return max(
            rung
            for rung in range(playback.plan.floor, fair_rungs[playback] + 1)
            if playback.rates[rung] <= room
        )

    def _eligible_holders(self, playback, cells):
        """Return the ready streamers of the cells, in list order, without those attempted or excluded."""
        holders = sorted(
            [
                item
                for cell in cells
                for item in self.by_cell.get(cell, {}).items()
                if item[1] not in self.left_to_others
            ]
        )
        return [
            streamer
            for _, streamer in holders
            if streamer.entry.standing is Standing.READY and streamer not in playback.attempted
        ]

    def _rank_candidates(self, now, available, playback):
        """Sort by utilisation, and by set-up count among near ties.

        For a live title, the streamers at which own viewers play it go first.
        """
        # near ties: within 0.05, which is the noise of the load reports
        utilisation, is_live, counts = (
            {streamer: streamer.utilisation(now) for streamer in available},
            playback.plan.adds < 1,
            self.setup_counts,
        )
        tie_limit = min(utilisation.values(), default=0.0) + 0.05
        # Placement by load scatters the viewers of a live title, so that no stream is shared. Instead own
        # viewers gather, and near ties are broken by a hash of title and streamer that is the same at every
        # controller. It could harm where a few titles have nearly all viewers.
        if is_live:
            title_hash = zlib.crc32(playback.title.encode())
            counts = {
                streamer: zlib.crc32(b"%d" % streamer.entry.id, title_hash) * 2654435761 % 2**32
                for streamer in available
            }
        ordered = sorted(
            available,
            key=lambda streamer: (
                max(utilisation[streamer], tie_limit),
                counts.get(streamer, 0),
                utilisation[streamer],
                self._random(),
            ),
        )
        return sorted(ordered, key=lambda streamer: not streamer.live_group(playback)) if is_live else ordered

    def seats_taken(self, plan, title):
        """Count the playbacks of a title and plan that take a seat: those playing or in set-up."""
        return sum(
            playback.in_progress and playback.plan is plan and playback.title == title
            for playback in self.playbacks.values()
        )

    def _start_set_up(self, now, playback, streamer, rung):
        """Start a set-up of the playback at the streamer; return True."""
        playback.attempts += 1
        if playback.attempts > 1:
            self.extra_attempt_times.append(now)
            self.lent_attempts = self.lent_attempts and self.lent_attempts - 1
        playback.streamer, playback.rung, playback.in_progress, playback.timeout = (
            streamer,
            rung,
            True,
            playback.deadline - now,
        )
        playback.attempted.append(streamer)
        # A repeatable set-up leaves time for a second attempt before the startup target. Its timeout is six
        # standard deviations over the mean duration, as the distribution has a long tail that is cut off.
        if playback.plan.repeatable:
            usual = int(max(fmean(self.setup_durations) + 6 * pstdev(self.setup_durations), 250 * MS))
            playback.timeout = min(playback.timeout, usual, playback.plan.startup_target // 2)
        self.setup_counts[streamer] = self.setup_counts.get(streamer, 0) + 1
        streamer.next_attempt_at, streamer.last_slot = now + streamer.backoff, self._cold_slot(now, streamer)
        self._set_state(now, playback, State.ATTEMPTING)
        streamer.playbacks[playback] = None
        self._update_own_demand(now, streamer)
        return True

    def _extra_attempt_allowed(self, now):
        """Return whether the budget allows another extra attempt; forget times out of its window."""
        rules, base_attempts = self.deployment.rules, self.deployment.rules.extra_attempts
        for times in (self.accepted_times, self.extra_attempt_times):
            while times and times[0] <= now - rules.extra_window:
                times.popleft()
        return self.lent_attempts != 0 and (
            base_attempts is None
            or len(self.extra_attempt_times) + 1
            <= base_attempts + rules.extra_share * len(self.accepted_times)
        )

    def _record_failure(self, now, streamer, ending):
        """Back off from a streamer that failed: one that errs at once looks idle, or it hangs or is gone."""
        # backoff from 1 s, doubling to 8 s: even a long fault costs only a few attempts
        streamer.backoff = min(8 * SECOND, max(SECOND, 2 * streamer.backoff))
        streamer.next_attempt_at = now + streamer.backoff
        if ending is not Ending.ERRED and streamer.failed_at is None:
            streamer.failed_at, streamer.last_slot, streamer.rack.demand_cache = now, None, ()

    def _record_success(self, now, streamer):
        """Halve the interval between set-ups of a streamer, down to none, and end its failure."""
        streamer.backoff = streamer.backoff // 2 if streamer.backoff > SECOND // 4 else 0
        streamer.next_attempt_at = now + streamer.backoff
        if streamer.failed_at is not None:  # it is back before the list says so: its warm-up counts from now
            streamer.failed_at, streamer.last_slot = None, None
            streamer.update_entry(replace(streamer.entry, started=now))

    def _cold_slot(self, now, streamer):
        """Return the cold-start slot that is due, its elapsed part as the fraction; None if warm."""
        rules = self.deployment.rules
        # after a restart with an outdated list any streamer may have just started
        start = max(
            streamer.entry.started,
            self.created_at * (self.started_without_state and streamer not in self.proven_warm),
        )
        if streamer.failed_at is None and (not start or now - start >= rules.cold_for):
            return None
        progress = (
            max(0, now - (start if streamer.failed_at is None else streamer.failed_at)) / rules.cold_for
        )
        # The integral of the cold pace, with the least pace for a streamer that failed. The shape of the ramp
        # is not known, so capacity is assumed to rise late.
        return streamer.max_playbacks * (
            rules.cold_share * progress
            + (streamer.failed_at is None) * (1 - rules.cold_share) * progress**3 / 3
        )

    def _may_start_cold(self, now, streamer, choices):
        """Return whether a set-up may go to the streamer: it is warm, or the cold-start turn is this one's.

        Controllers take turns by rank at the cold pace, so that all of them together stay under the stated
        multiple without messages. A turn is a whole slot where two that run into one window fit, else a third
        of it.
        """
        slot, rules, (rank, ranks) = (
            self._cold_slot(now, streamer),
            self.deployment.rules,
            self.cold_start_turn or (0, 0),
        )
        if slot is None or not ranks:
            return slot is None
        # set-ups per window at the pace of the least warmth; a tenth of the limit stays unused
        window_setups = streamer.max_playbacks * rules.cold_share * rules.fall_window / rules.cold_for
        limit = 0.9 * rules.fall_multiple * window_setups
        slot_share = 1 if int(window_setups) + 2 <= limit else 0.34
        # Where playbacks are rare several ranks share a turn, up to a quarter of a playback a turn, which
        # leaves room for surges. Where the start is known, a wave of requests gives each of these ranks a
        # playback for its turn; so there are at most as many as keep it within the limit and its spread (two
        # square roots of the limit). This guards against a wave that reaches idle controllers, but could harm
        # by filling a lone holder more slowly. A streamer only suspected to be cold is one of many choices.
        slots_per_arrival = (
            (now - self.arrival_times[0] + 5 * SECOND)
            * window_setups
            / rules.fall_window
            / len(self.arrival_times)
        )
        start_known = streamer.failed_at is not None or now - streamer.entry.started < rules.cold_for
        most_ranks = (limit + 2 * limit**0.5) / (int(window_setups) + 2) if start_known else ranks
        ranks_per_turn = max(
            1, int(min(0.25 * slots_per_arrival * (1 if start_known else choices), most_ranks, ranks))
        )
        # the prime spreads the turns of streamers whose ids are consecutive
        is_own_turn = (int(slot) * ranks_per_turn + 7919 * streamer.entry.id - rank) % ranks < ranks_per_turn
        return (
            is_own_turn
            and slot % 1 < slot_share
            and (streamer.last_slot is None or int(streamer.last_slot) != int(slot))
        )

    def _apply_load_report(self, now, streamer, link, uplink, is_current):
        """Apply reported utilisations: demand of others is the reported one less own demand at that time.

        A report that is not current is `Links.lag` old.
        """
        streamer.rack.demand_cache, at_time = (), now if is_current else now - self.deployment.links.lag
        if link is not None and 0 <= link < 100:
            streamer.load_reports.append(
                (now, max(0.0, link * streamer.capacity() - streamer.own_demand(at_time)))
            )
            self.reporting_streamers[streamer] = None
        # The capacity of an uplink is its demand over its utilisation. Where fewer than half of the rack's
        # streamers reported lately, the sum of their demands is mostly guesses, and the report of the uplink
        # is taken as the demand instead.
        if uplink is not None and 0.05 < uplink < 100:
            rack, oldest = streamer.rack, now - 5 * SECOND
            few_reports = 2 * sum(
                peer.load_reports[-1][0] > oldest for peer in rack.streamers if peer.load_reports
            ) < len(rack.streamers)
            rack.reported_demand = (
                (now, max(0.0, uplink * rack.nominal_capacity - rack.own_demand(at_time)))
                if few_reports
                else None
            )
            rack.capacity_samples.append(
                (now, rack.nominal_capacity if few_reports else rack.demand(now, at_time) / uplink)
            )
        self.stale_racks[streamer.rack] = None

    def _random(self):
        """Return the next number of the seeded random sequence, from 0 up to 1."""
        self.draw_count += 1
        # multiplied, as crc32 alone is linear: two seeds would put all their draws in the same order
        return zlib.crc32(b"%d" % self.draw_count, self.seed_crc) * 2654435761 % 2**32 / 2**32

    def _update_own_demand(self, now, streamer):
        """Recompute the demand of own playbacks at a streamer, after any change of them or of their rungs."""
        streamer.rack.demand_cache, self.unplaced_at = (), {}
        streams = self._group_streams(
            [(playback, streamer) for playback in streamer.playbacks], lambda playback: playback.rung
        )
        streamer.demand_history.append(
            (now, sum([group[0].rates[group[0].rung] * rate_factor for group, _, rate_factor in streams]))
        )
        streamer.own_scale = sum([group[0].plan.scale * rate_factor for group, _, rate_factor in streams])
        self.used_streamers.pop(streamer, None) if not streamer.playbacks else self.used_streamers.setdefault(
            streamer
        )

    def _group_streams(self, placed, group_key):
        """Group (playback, streamer) pairs into streams: [playbacks, streamer, factor on the rate of one].

        Viewers of a live title at one streamer share a stream if they have the same `group_key(playback)`.
        """
        if not self.has_live_plans:
            return [((playback,), streamer, 1.0) for playback, streamer in placed]
        streams = {}
        for playback, streamer in placed:
            key = (
                (playback.title, playback.plan.name, group_key(playback), streamer)
                if playback.plan.adds < 1
                else playback
            )
            stream = streams.setdefault(key, [[], streamer, 1.0 - playback.plan.adds])
            stream[0].append(playback)
            stream[2] += playback.plan.adds
        return list(streams.values())

    def _update_averages(self):
        """Update the typical rate and demand from streamers that report or are in use.

        The others are not looked at: a list may be a hundred times as long.
        """
        ready, rates = Standing.READY, self.deployment.ladder.rates
        reported = [
            min(kb, streamer.link_capacity)
            for streamer in self.reporting_streamers
            if streamer.entry.standing is ready
            for _, kb in streamer.load_reports
        ]
        used = [
            streamer
            for streamer in sorted(self.used_streamers, key=lambda streamer: streamer.position)
            if streamer.entry.standing is ready
        ]
        own_demand, own_scale = (
            sum(streamer.own_demand() for streamer in used),
            sum(streamer.own_scale for streamer in used),
        )
        # without own playbacks the middle of the ladder
        self.typical_rate = max(own_demand / own_scale if own_scale else rates[len(rates) // 2], rates[0])
        # until streamers report, other controllers are taken to be loaded as this one is
        others_demand = (
            own_demand
            * (self.deployment.controllers - 1)
            / max(1, len(self.streamers) - len(self.gone_since))
        )
        self.typical_demand[0] = fmean(reported or [others_demand])
        for rack in self.racks.values():
            rack.demand_cache = ()

    def _apply_delivery_report(self, now, streamer, share):
        """Attribute a short delivery to the uplink or to the streamer.

        It corrects the uplink's capacity where the link has room and the rest of the rack falls short too;
        where the rest doesn't, the streamer itself is stalled.
        """
        previous_share = streamer.delivery_reports[-1][1] if streamer.delivery_reports else 1.0
        streamer.delivery_reports.append((now, share))
        self.stale_racks[streamer.rack] = None
        if share >= 0.98 or share >= previous_share:
            return  # a rising share shows that the last reduction works
        rack, lag = streamer.rack, self.deployment.links.lag
        if streamer.stalled(now):
            self._record_failure(now, streamer, Ending.ERRED)
        # delivery reports are smoothed over seconds: for 2 s after a correction they show the old shortage
        elif (
            streamer.utilisation(now) < 0.97
            and streamer.rack_is_short(now)
            and rack.since_correction(now) > lag + 2 * SECOND
        ):
            rack.capacity_samples = deque([(now, rack.demand(now, now - lag) * max(0.3, share))], maxlen=4)
        elif not self.deployment.links.answers_report_load and not streamer.rack_is_short(now):
            # No set-up answer tells the utilisation here, so a full link would look idle. The figure doesn't
            # count in the typical demand, as only short streamers give one. It could harm where a streamer is
            # slow for another reason.
            streamer.load_reports.append(
                (now, max(0.0, streamer.link_capacity / max(0.3, share) - streamer.own_demand(now - lag)))
            )

    def _own_budget(self, now, link, extra_scale):
        """Return what own playbacks may use of a link or uplink: of its target, their part by number.

        The number of others follows from their demand at the typical rate. Without the budget the first
        playbacks to arrive would take all the free room.
        """
        own_scale = sum([streamer.own_scale for streamer in link.streamers]) + extra_scale
        others_scale = max(0.0, link.demand(now) - link.own_demand()) / self.typical_rate
        return TARGET_UTILISATION * link.capacity(now) * own_scale / max(own_scale + others_scale, 1e-9)

    def _fair_rungs(self, now, rack, newcomer=None, target=None, settle_all=False):
        """Return playback -> rung: those that earn most when own playbacks share the rack's budgets.

        A newcomer at the streamer `target` is included. Without `settle_all` the search stops as soon as the
        rung of the newcomer is settled, and the other rungs may be too low.
        """
        newcomer_scale = (
            newcomer.plan.scale * (newcomer.plan.adds if target.live_group(newcomer) else 1)
            if newcomer
            else 0.0
        )
        room = {
            link: self._own_budget(now, link, newcomer_scale * (link in (target, rack)))
            for link in [rack, *rack.streamers]
        }
        placed = [(playback, streamer) for streamer in rack.streamers for playback in streamer.playbacks] + (
            [(newcomer, target)] if newcomer else []
        )
        # viewers that share a stream go up together
        streams = self._group_streams(placed, lambda playback: playback.top)
        rungs, step_heap, drawn_links, uplink_room = (
            [group[0].plan.floor for group, _, _ in streams],
            [],
            set(),
            room[rack],
        )
        for index, (group, link, rate_factor) in enumerate(streams):
            playback, kb = group[0], group[0].rates[rungs[index]] * rate_factor
            room[link], uplink_room = room[link] - kb, uplink_room - kb
            if rungs[index] < playback.top:
                step_heap.append(
                    (playback.rung_steps[rungs[index]][0] * len(group) / rate_factor, index, rungs[index] + 1)
                )
        heapq.heapify(step_heap)
        while step_heap and uplink_room > 0:
            _, index, rung = step_heap[0]
            group, link, rate_factor = streams[index]
            playback, link_room, kb = group[0], room[link], group[0].rung_steps[rung - 1][1] * rate_factor
            bottleneck, least_room = (rack, uplink_room) if uplink_room < link_room else (link, link_room)
            # The first step that doesn't fit is taken with a probability, so that all controllers together
            # use the room that is left.
            if kb <= least_room or bottleneck not in drawn_links and playback.draw * kb < least_room:
                room[link], uplink_room, rungs[index] = room[link] - kb, uplink_room - kb, rung
                if rung < playback.top:
                    heapq.heapreplace(
                        step_heap, (playback.rung_steps[rung][0] * len(group) / rate_factor, index, rung + 1)
                    )
                    continue
            else:
                drawn_links.add(bottleneck)
            heapq.heappop(step_heap)
            if newcomer in group and not settle_all:
                break
        return {
            playback: rung for rung, (group, _, _) in zip(rungs, streams, strict=True) for playback in group
        }

    def _rung_steps(self, plan, rates):
        """Return (sort key, kB/s) of the step up from each rung; the most revenue for a kB sorts first."""
        revenue = self.deployment.ladder.revenue
        return [
            (-plan.revenue * (revenue[rung + 1] - revenue[rung]) / max(next_kb - kb, 1e-9), next_kb - kb)
            for rung, (kb, next_kb) in enumerate(zip(rates, rates[1:], strict=False))
        ]

    def _choose_rung(self, now, playback, streamer):
        """Return the highest rung within the target utilisation and fair to what plays; None without room."""
        room = min(
            TARGET_UTILISATION * streamer.link_capacity - streamer.demand(now),
            TARGET_UTILISATION * streamer.rack.capacity(now) - streamer.rack.demand(now),
        )
        joinable_rungs = [
            other.rung
            for other in streamer.live_group(playback)
            if other.plan.floor <= other.rung <= playback.top
            and other.rates[other.rung] * other.plan.adds <= room
        ]
        if playback.rates[playback.plan.floor] > room:
            return max(joinable_rungs) if joinable_rungs else None
        fair_rung = self._fair_rungs(now, streamer.rack, playback, streamer)[playback]
        return max(
            [next(rung for rung in range(fair_rung, -1, -1) if playback.rates[rung] <= room), *joinable_rungs]
        )

    def _adjust_rungs(self, now, rack):
        """Correct the rungs of own playbacks in a rack after load or delivery reports."""
        fair_rungs, uplink_measured = self._fair_rungs(now, rack), rack.since_correction(now) < 5 * SECOND
        # Excess demand is cut. Of free room each controller takes its part by its share of the demand, then
        # waits for new reports. A step larger than that part is taken with a probability, if the uplink is
        # measured: without that none of many controllers would ever raise a rung.
        cut, room, part, ladder, lag = {}, {}, {}, self.deployment.ladder, self.deployment.links.lag
        for link in [rack, *rack.streamers]:
            demand, own_demand, capacity = link.demand(now), link.own_demand(), link.capacity(now)
            # The nominal capacity of an uplink is a mean, so only one measured lately causes cuts. A tenth
            # over may be noise of the load reports, but not where short deliveries measured it (one sample).
            tolerance = 1.03 if link is rack and len(rack.capacity_samples) == 1 else 1.1
            overloaded = demand > tolerance * capacity and (uplink_measured or link is not rack)
            reported_at = (
                max(
                    [t for t, _ in (link.capacity_samples if link is rack else link.load_reports)],
                    default=lag + 1,
                )
                - lag
            )
            cut[link] = (
                (demand - capacity) * own_demand / demand
                if overloaded and reported_at > link.lowered_at
                else 0.0
            )
            # rises leave a tenth to the next newcomer, except on an uplink measured lately
            fill = TARGET_UTILISATION - (0 if link is rack and uplink_measured else 0.1)
            reported_at = now - 2 * SECOND if link is rack else reported_at
            room[link] = fill * capacity - demand if reported_at > link.raised_at else 0.0
            part[link] = room[link] * (
                own_demand / demand if uplink_measured and demand else 1 / self.deployment.controllers
            )
        for playback in sorted(fair_rungs, key=lambda playback: fair_rungs[playback] - playback.rung):
            streamer, fair_rung = playback.streamer, fair_rungs[playback]
            if playback.state is not State.PLAYING or streamer.stalled(now):
                continue
            if playback.rung > fair_rung and max(cut[streamer], cut[rack]) > 0:
                kb = playback.rates[playback.rung] - playback.rates[fair_rung]
                for link in (streamer, rack):
                    link.lowered_at, cut[link] = now if cut[link] > 0 else link.lowered_at, cut[link] - kb
                self._set_rung(now, playback, fair_rung)
            # 8 s between steps keep a playback under the three changes a minute that docs/design.md allows
            elif (
                playback.rung < fair_rung
                and now - playback.rung_changed_at > 8 * SECOND
                and min(part[streamer], part[rack]) > 0
            ):
                time_left = (
                    playback.expected_end - now
                    if playback.expected_end
                    else fmean(self.playback_durations or [20 * SECOND])
                )
                for rung in range(fair_rung, playback.rung, -1):
                    kb = playback.rates[rung] - playback.rates[playback.rung]
                    gain = ladder.revenue[rung] - ladder.revenue[playback.rung]
                    # the time left is an estimate, so the step must earn twice what the change costs
                    if kb <= min(room[streamer], room[rack]) and gain * time_left > 2 * ladder.switch_cost:
                        probability, streamer.raised_at, rack.raised_at = (
                            min(part[streamer], part[rack]) / kb,
                            now,
                            now,
                        )
                        part[streamer], part[rack] = part[streamer] - kb, part[rack] - kb
                        if probability >= 1 or uplink_measured and self._random() < probability:
                            self._set_rung(now, playback, rung)
                        break

    def _set_rung(self, now, playback, rung):
        """Change the rung of a playback that plays; the host is told by the result of the call."""
        playback.rung, playback.rung_changed_at, self.changed[playback] = rung, now, None
        self._update_own_demand(now, playback.streamer)
