"""Most controllers killed at once and back, in virtual time: the cores, what a fleet settles and what its
members tell each other, as in service; for sizes that no machine plays as processes. See `virtual.py`."""

import random
from types import SimpleNamespace

from terndrift.audit import recovery
from terndrift.core.active_playback import AnswerKind
from terndrift.deployment import build_deployment
from terndrift.fleet.observation_collector import ObservationCollector
from terndrift.fleet.planned_work_site import RecentRequests
from terndrift.fleet.recovery_stages import HOLDS, RecoveryProgress
from terndrift.fleet.simulated_fleet import SimulatedFleet
from terndrift.interface import Ending, ListEntry, Standing
from terndrift.rehearse import virtual
from terndrift.rehearse.virtual import SECOND, WAY

STEP = SECOND // 20  # the simulated_fleet of members is run on so often
VOTERS = 5
# What may be left out, one at a time, to see what it is worth.
PARTS = ("members", "kept")


class Line:
    """As the listing has it; all have run for long."""

    def __init__(self, row):
        self.id, self.address, self.started = row["id"], f"s{row['id']}", 0


class Listing:
    def __init__(self, rows):
        self.lines = {row["id"]: Line(row) for row in rows}
        of = {line.address: id for id, line in self.lines.items()}
        self.flow = SimpleNamespace(numbers=SimpleNamespace(of=of))

    def fresh(self):
        return list(self.lines.values())

    def line_of(self, id):
        return self.lines.get(id)


class Clock:
    def __init__(self, world):
        self.world = world

    def now(self):
        return self.world.now

    @staticmethod
    def to_wall_ns(at):
        return at

    from_wall_ns = to_wall_ns


class Front(virtual.Front):
    def __init__(self, world, n, deployment, grace, decisions):
        super().__init__(world, n, deployment, grace, decisions)
        self.dead, self.waiting, self.kept = False, {}, None
        self.runner = SimpleNamespace(core=self.core, clock=Clock(world), run=self.run)
        self.recovery_progress, self.served = RecoveryProgress(world.now, True), RecentRequests(HOLDS)
        self.rank = n, deployment.controllers
        self.observation_collector = None
        self.core.watch = self._watch

    def comes_up(self, controller, kept=None):
        """With what members tell (None: nothing) it looks at once, and then again and again."""
        if controller is not None:
            self.observation_collector = ObservationCollector(
                controller,
                self.world.listing,
                self.runner,
                self.world.cold_for,
                self.rank,
                self.recovery_progress.under_way,
            )
            self.controller = controller
            if kept is not None:
                self.observation_collector.restore(kept)
            self._look()

    def _watch(self, event, playback, **facts):
        if event == "answer":
            target = self.world.made.plans[playback.request.plan].startup_target
            well = facts["kind"] == AnswerKind.PLAYS.value and facts["took"] <= target
            self.served.count(self.world.now, 1, well)
        if self.observation_collector is not None:
            self.observation_collector.watch(event, playback, **facts)

    def _look(self):
        if self.dead:
            return
        now = self.world.now
        heard = self.controller.committed_log.complete_as_of is not None
        self.recovery_progress.advance(now, True, heard, *self.served.recent(now))
        self.observation_collector.update()
        if (kept := self.observation_collector.take_due_save()) is not None:
            self.kept = kept
        self.world.after(SECOND // 10 if self.recovery_progress.under_way() else SECOND, self._look)

    def _arrives(self, playback, out, s, number, rung):
        if s.id in self.world.off:
            return self.world.after(WAY, self._ended, playback, out, Ending.UNREACHED, None)
        return super()._arrives(playback, out, s, number, rung)

    def _ran(self, playback, out, s, number, rung):
        if s.id in self.world.off or out.sent < self.world.restarted.get(s.id, 0):
            s.busy = max(0, s.busy - 1)
            return self._ended(playback, out, Ending.BROKEN, None)
        return super()._ran(playback, out, s, number, rung)

    def set_up(self, playback, streamer, rung, timeout):
        super().set_up(playback, streamer, rung, timeout)
        self.out[playback].sent = self.world.now

    def run(self, call, *args):
        return None if self.dead else super().run(call, *args)

    def second(self):
        if not self.dead:
            super().second()

    def dies(self):
        self.dead = True
        for out in self.out.values():
            out.off = True
        for playback in self.core.playbacks.values():
            if playback.streamer is not None:
                self.world.streamers[playback.streamer.id].asks(playback.id, 0)
        for viewer in list(self.waiting):
            viewer.breaks("no answer")


class Viewer(virtual.Viewer):
    """Comes again when its controller is gone, as after a rejection."""

    def ask(self):
        super().ask()
        front = self.front
        front.waiting[self] = None
        self.world.after(WAY, self._refused, front)

    def _refused(self, front):
        if front.dead and self in front.waiting:
            self.breaks("no answer")

    def _answered(self, answer):
        if self.front.waiting.pop(self, 0) is None:
            super()._answered(answer)

    def breaks(self, what):
        self.front.waiting.pop(self, None)
        if what == "no answer":
            self.note(what, ask=self.name)
        if self.row["returns"] and self.world.now + self.pause < self.until:
            self.world.after(self.pause, self.ask)
        else:
            self.note("end", seen=self.seen)

    def _piece(self):
        return self._lost() or super()._piece()

    def _came(self, s, rate, took):
        return self._lost() or super()._came(s, rate, took)

    def _lost(self):
        """Whether its controller or its streamer is gone; it comes again then."""
        id = self.playback.streamer.id
        gone = id in self.world.off or self.playback.sent_at < self.world.restarted.get(id, 0)
        if gone and not self.front.dead:
            self.front.run(self.front.core.playback_ended, self.playback, Ending.BROKEN)
        if gone or self.front.dead:
            self.breaks("break")
            return True
        return False


class World(virtual.World):
    """`parts`: of PARTS; with none of them the controllers tell each other nothing of streamers."""

    viewer = Viewer

    def __init__(
        self,
        day,
        seed,
        controllers,
        streamers,
        seconds,
        parts=PARTS,
        share=0.7,
        at=0.4,
        down=3.0,
        loss=0.0,
        rack=None,
    ):
        super().__init__({**day, "troubles": []}, seed, controllers, streamers, seconds)
        self.parts, self.share, self.down = parts, share, int(down * SECOND)
        self.cold_for = day["deployment"]["rules"]["cold_for"]
        self.listing = Listing(self.drawn.streamers)
        names = [f"c{n}" for n in range(controllers)]
        self.simulated_fleet = SimulatedFleet(names, names[:VOTERS], seed, loss)
        self.simulated_fleet.start()
        assert self.simulated_fleet.run_until(self.simulated_fleet.membership_converged, 90) is not None
        self.simulated_fleet.call_controller(names[0], "begin_epoch", None)
        assert (
            self.simulated_fleet.run_until(
                lambda: all(
                    len(c.committed_log.state["voters"]) == VOTERS
                    for c in self.simulated_fleet.controllers.values()
                ),
                60,
            )
            is not None
        )
        self.now = self.simulated_fleet.now
        self.fronts = [self._front(n) for n in range(controllers)]
        self.kill_at, self.peaks, self.rack = int(at * seconds * SECOND), [], rack
        self.off, self.restarted = set(), {}  # streamers that are down; -> when they came back
        self.list_of = {r["id"]: (Standing.READY, 0) for r in self.drawn.streamers}  # as the list has them

    def _front(self, n):
        d = self.day["deployment"]
        deployment = build_deployment(
            d,
            {
                "name": f"c{n}",
                "rank": n,
                "of": len(self.simulated_fleet.names),
                "zone": "",
                "seed": self.seed * 100 + n,
            },
        )
        return Front(self, n, deployment, d["rules"]["drain_grace"], self.decisions)

    def run(self):
        for front in self.fronts:
            front.core.controller.started_without_state = False  # as if the fleet had run for long
            self._told(front)
        self.after(STEP, self._members)
        self.at(self.now + virtual.EARLY + self.kill_at, self._kill)
        if self.rack is not None:
            self.at(self.now + virtual.EARLY + self.kill_at + SECOND, self._rack_dies)
        return super().run()

    def _told(self, front, kept=None):
        front.comes_up(
            self.simulated_fleet.controllers[front.name] if "members" in self.parts else None, kept
        )

    def _members(self):
        before = sum(sent for sent, _ in self.simulated_fleet.sent.values())
        self.simulated_fleet.run((self.now - self.simulated_fleet.now) / SECOND)
        after = sum(sent for sent, _ in self.simulated_fleet.sent.values())
        self.peaks.append((self.now, after - before))
        self.after(STEP, self._members)

    def _kill(self):
        some = random.Random(f"kill/{self.seed}").sample(self.fronts, round(self.share * len(self.fronts)))
        for front in some:
            self.note("runner", "controller down", name=front.name, address=front.name)
            front.dies()
            self.simulated_fleet.kill(front.name)
            # processes take their time to start
            late = self.down + int(random.Random(f"start/{self.seed}/{front.name}").uniform(0, 1) * SECOND)
            self.after(late, self._again, front)

    def _again(self, was):
        n = int(was.name[1:])
        front = self.fronts[n] = self._front(n)
        self.note("runner", "controller up", name=front.name, address=front.name)
        self.simulated_fleet.start(front.name)
        front.run(front.core.list_changed, self.listed(), True, False)
        self._told(front, was.kept if "kept" in self.parts else None)
        self.after(SECOND, front.second)

    def listed(self, ids=None):
        some = [r for r in self.drawn.streamers if ids is None or r["id"] in ids]
        return [
            ListEntry(r["id"], r["kind"], "", r["id"], r["rack"], standing, 1.0, started)
            for r in some
            for standing, started in [self.list_of[r["id"]]]
        ]

    # A rack of streamers restarts in the outage, and its list tells so late.

    def _rack_dies(self):
        ids = [s.id for s in self.racks[self.rack].streamers]
        for s in self.racks[self.rack].streamers:
            self.note("streamers", "down", streamer=s.id)
            for pb in list(s.rates):
                s.asks(pb, 0)
        self.off |= set(ids)
        late = self.day["list_late"]
        self.after(late, self._relist, ids, Standing.GONE)
        self.after(2 * SECOND, self._rack_back, ids)
        self.after(2 * SECOND + late, self._relist, ids, Standing.READY)

    def _rack_back(self, ids):
        self.off -= set(ids)
        for id in ids:
            self.restarted[id] = self.now
            self.note("streamers", "up", streamer=id, cold=True, address="", kind="")

    def _relist(self, ids, standing):
        for id in ids:
            self.list_of[id] = standing, self.restarted.get(id, 0)
            self.listing.lines[id].started = self.restarted.get(id, 0)
        for front in self.fronts:
            front.run(front.core.list_changed, self.listed(ids), False, False)

    def report(self, facts=None):
        facts = facts or self.facts()
        most = max(
            (sum(n for at, n in self.peaks if t <= at < t + SECOND) for t, _ in self.peaks[::10]), default=0
        )
        return {
            **super().report(facts),
            **recovery.report(facts, self.seconds),
            "datagrams_peak_a_member_s": round(most / len(self.fronts), 1),
        }
