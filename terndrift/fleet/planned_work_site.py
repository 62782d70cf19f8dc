"""Connects the fleet's planned work to this controller's streamer list and core.

The drains in force enter the list as one more source, and reach the fronts if this controller itself drains.
In return the planned work learns which machines the list has, how many playbacks each holds and which
streamers fail. Decides nothing: what drains, and when, is agreed in the record (planned_work.py).
terndrift/service.py creates one PlannedWorkSite for each controller that takes part in planned work and calls
`apply_drains`.
"""

from collections import deque
from dataclasses import replace

from terndrift.core.active_playback import AnswerKind, PlaybackStage
from terndrift.fleet.planned_work import machine_rows, plans_by_name, should_restart
from terndrift.fleet.work_budget import CONTROLLER_PREFIX, Machine
from terndrift.interface import Ending
from terndrift.listing.lines import worst

SOURCE = "work"
SECOND = 1_000_000_000  # ns
# Between looks while this controller drains itself: viewers are rejected meanwhile.
DRAIN_LOOK_INTERVAL_NS = SECOND // 5
RECENT_SECONDS = 10  # over which requests are counted, the current one included


class RecentRequests:
    """Counts requests, and those with a given outcome (rejected, or answered in target), over recent seconds.

    `seconds`: how many seconds are counted, the current one included.
    """

    def __init__(self, seconds=RECENT_SECONDS):
        self.seconds = deque(maxlen=seconds)  # [second, asked, counted]

    def count(self, now, asked, counted):
        """Adds `asked` requests and `counted` outcomes to the current second; `now` in ns."""
        if not self.seconds or self.seconds[-1][0] != now // SECOND:
            self.seconds.append([now // SECOND, 0, 0])
        self.seconds[-1][1] += asked
        self.seconds[-1][2] += counted

    def recent(self, now):
        """Returns the sums (requests, outcomes) of the recent seconds."""
        recent = [s for s in self.seconds if s[0] > now // SECOND - self.seconds.maxlen]
        return sum(s[1] for s in recent), sum(s[2] for s in recent)


class PlannedWorkSite:
    """Planned work as it concerns one controller.

    `set_draining(on)`: makes the fronts reject new viewers, or accept them again. `drain_limit`: ns that this
    controller has for its own drain where it has to reject viewers, as on SIGTERM. `stop()`: stops this
    controller with such a drain. `redirects()`: whether viewers are redirected instead, so that the whole
    drain time of the plan can be used at no cost to viewers. `cold_for`: ns after its start for which a
    machine counts as cold.
    """

    def __init__(
        self,
        controller,
        listing,
        versions,
        runner,
        cold_for,
        set_draining,
        drain_limit,
        stop,
        redirects=lambda: False,
    ):
        self.controller, self.listing, self.versions, self.runner = controller, listing, versions, runner
        self.core, self.clock, self.cold_for = runner.core, runner.clock, cold_for
        self.set_draining, self.drain_limit, self.drains, self.rejections = (
            set_draining,
            drain_limit,
            False,
            RecentRequests(),
        )
        self.stop, self.stopping, self.redirects = stop, False, redirects
        self.drains_seen_at = {}  # (machine, step number) of a drain -> when this controller first saw it
        # streamer's id -> titles that name it as a holder; the catalogue version of that
        self.titles_by_holder, self.titles_version = {}, None
        # [(Line, standing)]; machine name -> (Line, Machine); the list and catalogue versions of both
        self.listed_lines, self.listed_machines, self.listed_version = [], {}, None
        self.machine_name = CONTROLLER_PREFIX + controller.own_name
        controller.list_machines, controller.count_placements = self.machines, self.holding
        controller.wall_ms, controller.recent_requests = (
            lambda: self.clock.to_wall_ns(self.clock.now()) // 1_000_000,
            self.rejections.recent,
        )
        controller.failing_machines = self.ill

    def watch(self, event, playback, **facts):
        """Counts requests and rejections; called by the core for each event, with the event's facts."""
        if event == "wanted" or event == "answer" and facts["kind"] == AnswerKind.REJECTED.value:
            self.rejections.count(self.clock.now(), event == "wanted", event == "answer")

    def gate(self, plan):
        """Counts a viewer whom a front rejected before the core had a playback for it."""
        self.rejections.count(self.clock.now(), 1, 1)

    # The list.

    def rows(self):
        """Returns [(Line, worst standing by all sources but planned work)] of the listed streamers."""
        self._update_machines()
        return self.listed_lines

    def _update_machines(self):
        """Rebuilds the listed lines and machines if the list or the catalogue has changed."""
        merged, version = self.listing.merged, self.versions.visible
        others = [s for s in merged.sources.values() if s.name != SOURCE]
        current_version = sum(s.words for s in others), version
        if current_version == self.listed_version:
            return
        if version != self.titles_version:
            self.titles_by_holder, self.titles_version = {}, version
            for name in self.versions.names():
                for streamer_id in self.versions.get(name).holders or ():
                    self.titles_by_holder.setdefault(streamer_id, set()).add(name)
        self.listed_version, self.listed_lines, self.listed_machines = current_version, [], {}
        id_by_address = self.listing.flow.numbers.of
        for address, line in merged.lines.items():
            if standings := [s.lines[address].standing for s in others if address in s.lines]:
                standing = worst(standings)
                self.listed_lines.append((line, standing))
                self.listed_machines[line.name] = (
                    line,
                    Machine(
                        line.name,
                        line.rack,
                        line.zone,
                        line.weight,
                        standing == "ready",
                        self.clock.to_wall_ns(line.started),
                        frozenset(self.titles_by_holder.get(id_by_address.get(address), ())),
                        frozenset(line.labels),
                    ),
                )

    def machines(self):
        """Returns machine name -> Machine of the listed streamers, cold ones marked by their age."""
        self._update_machines()
        now = self.clock.now()
        return {
            name: replace(m, cold=True) if line.started and now - line.started < self.cold_for else m
            for name, (line, m) in self.listed_machines.items()
        }

    def _streamer_id(self, name):
        line, _ = self.listed_machines.get(name, (None, None))
        return self.listing.flow.numbers.of.get(line.address) if line else None

    def _streamer(self, name):
        return self.core.controller.streamers.get(self._streamer_id(name))

    # The core.

    def holding(self, names):
        """Returns name -> number of playbacks, set-ups included; 0 for machines that no list names."""
        self._update_machines()
        counts = {n: len(s.playbacks) if (s := self._streamer(n)) else 0 for n in names}
        if self.machine_name in counts:
            counts[self.machine_name] = sum(
                c.stage is not PlaybackStage.ENDED for c in self.core.playbacks.values()
            )
        return counts

    def ill(self, names):
        """Returns the names of the streamers that are down and were attempted in the last RECENT_SECONDS.

        A streamer that nobody asks for is not attempted, and an old failure proves nothing.
        """
        self._update_machines()
        now, streamers = self.clock.now(), [(n, self._streamer(n)) for n in names]
        return [
            n
            for n, s in streamers
            if s
            and s.failed_at is not None
            and now - (s.next_attempt_at - s.backoff) < RECENT_SECONDS * SECOND
        ]

    def permits(self, streamer_id):
        """Tells whether a set-up may be sent to that streamer now, by the record and not by the list.

        The list lags by up to a second, or by as long as this process was paused.
        """
        line = self.listing.line_of(streamer_id)
        draining, may_place = self.controller.exclusions(self.clock.now())
        return may_place and (line is None or line.name not in draining)

    # Drains in force.

    def look_again(self):
        """Returns the ns until the next `apply_drains` is due, unless planned work is agreed on before."""
        return DRAIN_LOOK_INTERVAL_NS if self.drains else SECOND

    async def apply_drains(self):
        """Applies the drains in force to the list, the fronts and running playbacks.

        Called after each change of the planned work, else at the interval of `look_again`.
        """
        now = self.clock.now()
        draining, may_place = self.controller.exclusions(now)
        lines = {
            line.address: replace(line, standing="draining")
            for line, _ in self.rows()
            if not may_place or line.name in draining
        }
        source = self.listing.merged.source(SOURCE)
        changed = [line for address, line in lines.items() if source.lines.get(address) != line]
        removed = [address for address in source.lines if address not in lines]
        if changed or removed:
            await self.listing.take(SOURCE, changed, removed)
            # The list doubts a source that drops many entries at once; here that was agreed.
            if source.doubted:
                self.listing.confirm(SOURCE)
        if (drains := self.machine_name in draining) != self.drains:
            self.drains = drains
            self.set_draining(drains)
        self._end_overdue_playbacks(now, draining)
        if not self.stopping and should_restart(
            self.controller.committed_log.state, self.machine_name, self.controller.membership.run
        ):
            self.stopping = True
            self.stop()

    def _end_overdue_playbacks(self, now, draining):
        """Ends the playbacks on machines whose drain time has passed; their viewers set up again elsewhere.

        If this controller itself drains, its playbacks end one by one over the second half of the time, so
        that their viewers do not reach the other controllers in one wave.
        """
        state = self.controller.committed_log.state
        table, plans = machine_rows(state), plans_by_name(state)
        drains = {(name, table[name]["n"]) for name in draining if name in table}
        self.drains_seen_at = {key: self.drains_seen_at.get(key, now) for key in drains}
        overdue = set()
        for name, step in drains:
            drain, elapsed = (
                plans.get(table[name]["plan"], {}).get("drain", 0),
                now - self.drains_seen_at[name, step],
            )
            if name == self.machine_name:
                self._end_gradually(elapsed, drain if self.redirects() else min(drain, self.drain_limit))
            elif elapsed >= drain and (streamer_id := self._streamer_id(name)) is not None:
                overdue.add(streamer_id)
        if overdue:
            self._end_playbacks([c for c in self._running_playbacks() if c.streamer.id in overdue])

    def _running_playbacks(self):
        return [c for c in self.core.playbacks.values() if c.stage is PlaybackStage.PLAYING]

    def _end_gradually(self, elapsed, drain):
        playing = self._running_playbacks()
        looks_left = max(1, (drain - elapsed) // DRAIN_LOOK_INTERVAL_NS + 1)
        if elapsed >= drain // 2 and playing:
            self._end_playbacks(playing[: max(1, len(playing) // looks_left)] if elapsed < drain else playing)

    def _end_playbacks(self, playbacks):
        for playback in playbacks:
            self.runner.run(self.core.playback_ended, playback, Ending.CALLED_OFF)
