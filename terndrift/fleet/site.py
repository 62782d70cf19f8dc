"""Planned work at a controller: the drains it makes reach the list as one more source, and what the list and
the core have of machines reaches the work. Decides nothing."""

from collections import deque
from dataclasses import replace

from terndrift.core.active_playback import AnswerKind, PlaybackStage
from terndrift.fleet.room import CONTROLLER, Machine
from terndrift.fleet.work import plans, restarts, rows
from terndrift.interface import Ending
from terndrift.listing.lines import worst

SOURCE = "work"
SECOND = 1_000_000_000
SOON = SECOND // 5  # between looks while this controller drains itself: viewers are turned away meanwhile
# What viewers asked for is told of so many seconds, this one included.
OF_LATE = 10


class OfLate:
    """How often viewers asked of late, and how often what is counted came of it (turned away, in target)."""

    def __init__(self, seconds=OF_LATE):
        self.seconds = deque(maxlen=seconds)  # [second, asked, counted]

    def count(self, now, asked, counted):
        if not self.seconds or self.seconds[-1][0] != now // SECOND:
            self.seconds.append([now // SECOND, 0, 0])
        self.seconds[-1][1] += asked
        self.seconds[-1][2] += counted

    def of_late(self, now):
        """(asked, counted)."""
        late = [s for s in self.seconds if s[0] > now // SECOND - self.seconds.maxlen]
        return sum(s[1] for s in late), sum(s[2] for s in late)


class Site:
    """`draining(on)` makes the fronts take nothing new, or take what comes again; `drain`: ns that this
    controller has for that itself where it has to turn viewers away, as on SIGTERM; `stop()` stops it so;
    `sends_on()`: whether viewers are sent on instead, so that the plan's whole drain time costs nobody."""

    def __init__(
        self, controller, listing, versions, runner, cold_for, draining, drain, stop, sends_on=lambda: False
    ):
        self.controller, self.listing, self.versions, self.runner = controller, listing, versions, runner
        self.core, self.clock, self.cold_for = runner.core, runner.clock, cold_for
        self.draining, self.drain, self.drains, self.turned = draining, drain, False, OfLate()
        self.stop, self.stops, self.sends_on = stop, False, sends_on
        self.since = {}  # (machine, step) that was told off -> when this controller saw it
        self.held, self.held_as_of = {}, None  # streamer's id -> titles that name it among their holders
        self.listed, self.known, self.known_as_of = [], {}, None  # known: name -> (Line, Machine)
        self.me = CONTROLLER + controller.me
        controller.machines, controller.holding = self.machines, self.holding
        controller.wall, controller.turned = (
            lambda: self.clock.to_wall_ns(self.clock.now()) // 1_000_000,
            self.turned.of_late,
        )
        controller.ill = self.ill

    def watch(self, event, playback, **facts):
        """Of the core: what viewers asked for, and what was turned away."""
        if event == "wanted" or event == "answer" and facts["kind"] == AnswerKind.REJECTED.value:
            self.turned.count(self.clock.now(), event == "wanted", event == "answer")

    def gate(self, plan):
        """A viewer was turned away before it was a playback."""
        self.turned.count(self.clock.now(), 1, 1)

    # What the list has.

    def rows(self):
        """[(Line, standing by every source but the work)] of what is listed; worked out when any of it
        changed."""
        self._machines()
        return self.listed

    def _machines(self):
        merged, version = self.listing.merged, self.versions.visible
        others = [s for s in merged.sources.values() if s.name != SOURCE]
        as_of = sum(s.words for s in others), version
        if as_of == self.known_as_of:
            return
        if version != self.held_as_of:
            self.held, self.held_as_of = {}, version
            for name in self.versions.names():
                for id in self.versions.get(name).holders or ():
                    self.held.setdefault(id, set()).add(name)
        self.known_as_of, self.listed, self.known = as_of, [], {}
        of = self.listing.flow.numbers.of
        for address, line in merged.lines.items():
            if said := [s.lines[address].standing for s in others if address in s.lines]:
                standing = worst(said)
                self.listed.append((line, standing))
                self.known[line.name] = (
                    line,
                    Machine(
                        line.name,
                        line.rack,
                        line.zone,
                        line.weight,
                        standing == "ready",
                        self.clock.to_wall_ns(line.started),
                        frozenset(self.held.get(of.get(address), ())),
                        frozenset(line.labels),
                    ),
                )

    def machines(self):
        self._machines()
        now = self.clock.now()
        return {
            name: replace(m, cold=True) if line.started and now - line.started < self.cold_for else m
            for name, (line, m) in self.known.items()
        }

    def _id(self, name):
        line, _ = self.known.get(name, (None, None))
        return self.listing.flow.numbers.of.get(line.address) if line else None

    def _streamer(self, name):
        return self.core.controller.streamers.get(self._id(name))

    # What the core has.

    def holding(self, names):
        """name -> playbacks, set-ups included; nothing plays at what no list names."""
        self._machines()
        out = {n: len(s.playbacks) if (s := self._streamer(n)) else 0 for n in names}
        if self.me in out:
            out[self.me] = sum(c.stage is not PlaybackStage.ENDED for c in self.core.playbacks.values())
        return out

    def ill(self, names):
        """Those that the decisions saw fail, and tried of late: what nobody asks for is not tried, and
        an old failure says nothing."""
        self._machines()
        now, some = self.clock.now(), [(n, self._streamer(n)) for n in names]
        return [
            n
            for n, s in some
            if s and s.failed_at is not None and now - (s.next_attempt_at - s.backoff) < OF_LATE * SECOND
        ]

    def permits(self, id):
        """Whether a set-up may go out to that streamer at this moment: the list is behind by up to a second,
        or by as long as this process stood still."""
        line = self.listing.line_of(id)
        off, may = self.controller.off(self.clock.now())
        return may and (line is None or line.name not in off)

    # What work makes of it.

    def look_again(self):
        """ns until the next look, if nothing is agreed before."""
        return SOON if self.drains else SECOND

    async def look(self):
        """The drains in force, into the list and the fronts."""
        now = self.clock.now()
        off, may = self.controller.off(now)
        lines = {
            line.address: replace(line, standing="draining")
            for line, _ in self.rows()
            if not may or line.name in off
        }
        source = self.listing.merged.source(SOURCE)
        put = [line for address, line in lines.items() if source.lines.get(address) != line]
        gone = [address for address in source.lines if address not in lines]
        if put or gone:
            await self.listing.take(SOURCE, put, gone)
            if source.doubted:  # that much comes back at once is agreed, not a source that has lost its mind
                self.listing.confirm(SOURCE)
        if (drains := self.me in off) != self.drains:
            self.drains = drains
            self.draining(drains)
        self._ends(now, off)
        if not self.stops and restarts(self.controller.follower.state, self.me, self.controller.members.run):
            self.stops = True
            self.stop()

    def _ends(self, now, off):
        """What still plays on a machine after its plan's drain time is over: its viewers come again. At a
        controller that goes itself they end one by one over the second half of that time, so that they do
        not come to the others in one wave."""
        state = self.controller.follower.state
        table, known = rows(state), plans(state)
        told = {(name, table[name]["n"]) for name in off if name in table}
        self.since = {key: self.since.get(key, now) for key in told}
        late = set()
        for name, n in told:
            drain, spent = known.get(table[name]["plan"], {}).get("drain", 0), now - self.since[name, n]
            if name == self.me:
                self._end_some(spent, drain if self.sends_on() else min(drain, self.drain))
            elif spent >= drain and (id := self._id(name)) is not None:
                late.add(id)
        if late:
            self._end([c for c in self._playing() if c.streamer.id in late])

    def _playing(self):
        return [c for c in self.core.playbacks.values() if c.stage is PlaybackStage.PLAYING]

    def _end_some(self, spent, drain):
        playing = self._playing()
        looks = max(1, (drain - spent) // SOON + 1)
        if spent >= drain // 2 and playing:
            self._end(playing[: max(1, len(playing) // looks)] if spent < drain else playing)

    def _end(self, playbacks):
        for one in playbacks:
            self.runner.run(self.core.playback_ended, one, Ending.CALLED_OFF)
