"""Overload at this controller: what its core and fronts saw goes into the fleet's sums, and what the fleet
has settled comes back: who is turned away before he is a playback, how many tries beyond the first may be
made, who tries a streamer that fails, when viewers are told to come back. No I/O."""

import zlib

from terndrift.core.active_playback import AnswerKind
from terndrift.fleet import crowds, findings, load
from terndrift.fleet.leases import Leases, Pace
from terndrift.fleet.load import Own
from terndrift.fleet.messages import Beside
from terndrift.fleet.returns import Book
from terndrift.fleet.shed import Level, importance, is_shed, parts
from terndrift.fleet.strain import Strain
from terndrift.fleet.window import SECOND, WINDOW, Seconds
from terndrift.interface import Ending, State

HELD = "shed/hold"  # of the record's map: {"level", "until" (ms since 1970), "by"}, an operator's word
LOOKS = SECOND // 10  # between looks at what all found and allow: a fifth of what a word takes
# What a set-up waits for its turn to connect at most: so much is left of the shortest startup target all the
# same.
LONGEST = SECOND // 4
LONGEST_KEY = 48  # characters of a crowd's: a word of twelve has to fit a datagram with the rest
BAD = (Ending.SILENT, Ending.UNREACHED, Ending.BROKEN, Ending.ERRED)


class Surge:
    """`limits`: kind of lease -> what all controllers together may, a second (0: no limit);
    `address`: of a streamer's id, by which members name it; `elsewhere()`: whether viewers can be sent on to
    another one."""

    def __init__(self, controller, runner, plans, limits=(), address=str, elsewhere=lambda: False):
        self.controller, self.core, self.clock = controller, runner.core, runner.clock
        self.runner, self.address, self.elsewhere = runner, address, elsewhere
        self.plans, self.order, self.own = plans, importance(plans), Own()
        now = self.clock.now()
        self.found, self.pending = findings.Own(), set()
        self.crowds, self.fails = crowds.Own(), Seconds(lambda: [0])
        self.book, self.draws = Book(self.core.deployment.rules.longest_advice), 0
        self.strain, self.told = Strain(len(plans)), (None, {}, ())
        self.went_by, self.raised_at = 0.0, 0  # the level as last looked at, and when it last rose
        self.leases = controller.leases = Leases(
            controller.me, dict(limits), len(controller.known), bool(controller.voters), now
        )
        self.connects = Pace(self.leases, "connects", LONGEST)
        self.calls = Pace(self.leases, "calls", 10**18)  # a source is asked all the same, only later
        controller.loads.own = lambda now: self.own.of_late(now, self.core.unanswered_count)
        controller.loads.own_beside = self._beside
        controller.shed = Level(self.order)

    # What the core and the front saw.

    def watch(self, event, playback, **facts):
        """Of the core."""
        now = self.clock.now()
        if event == "wanted":
            self.own.count(now, playback.request.plan, load.WANTED)
        elif event == "answer":
            plays, plan = facts["kind"] == AnswerKind.PLAYS.value, playback.request.plan
            self.book.books(now, facts["come_back"])
            if plays:
                self.found.plays(now, self.address(playback.streamer.id))
            # who was taken under a lower level says nothing of this one: he may have been held for two
            # seconds, and each rise would be followed by another for what the first has ended already
            if playback.accepted_at < self.raised_at:
                return
            late = load.IN_TARGET if facts["took"] <= self.plans[plan].startup_target else load.LATE
            self.own.count(now, plan, load.ANSWERED, late if plays else load.TURNED)
        elif event == "try":
            self.found.tries(now, self.address(playback.streamer.id))
            if facts["number"] > 1:
                self.own.more(now, load.EXTRA)
                self.leases.used(now, "extra")
        elif event in ("try over", "over") and facts["ending"] in (e.name for e in BAD):
            # whether that is held against it the decisions say next
            self.pending.add(playback.streamer.id)
            self.fails.at(now)[0] += event == "try over"

    def gate(self, plan, wait):
        """A viewer was turned away by this controller's own bounds, to come back after `wait` ns."""
        now = self.clock.now()
        self.own.count(now, plan, load.WANTED, load.ANSWERED, load.TURNED)
        self.book.books(now, wait)

    def connecting(self, address):
        """ns to wait before a new connection there is made; None: it is not to be made now."""
        wait = self.connects.enter(self.clock.now(), address)
        if wait is not None:
            self.own.more(self.clock.now(), load.CONNECTED)
        return wait

    def calling(self):
        """ns to wait before a source of the list is asked again."""
        return self.calls.enter(self.clock.now(), "")

    def second(self, late, files, memory):
        """Each second: ns that the loop was late, parts of descriptors and memory in use."""
        before = self.strain.standing
        self.strain.second(self.clock.now(), late, files, memory)
        return self.strain.standing is not before

    # What all have settled, for the decisions.

    def look(self):
        now = self.clock.now()
        level = self.level()
        if level > self.went_by + 0.01:
            self.raised_at = now
        self.went_by = level
        streamers = self.core.controller.streamers
        for id in self.pending:
            if (s := streamers.get(id)) is not None and s.backoff:
                self.found.failed(now, self.address(id))
        self.pending.clear()
        # of those not answered yet alone: what plays is many times as much, and looked at ten times a second
        waiting = sum(pb.state is State.HELD and pb.attempts > 0 for pb in self.core.controller.pending)
        self.leases.wants("extra", sum(n for (n,) in self.fails.of_late(now)) / WINDOW + waiting)
        self.connects.look(now)
        self.calls.look(now)
        rides = self.controller.loads.rides(now)
        there = {self.controller.me, *self.controller.members.alive()}
        judged = findings.judged(now, self.controller.me, rides.found, there, self.found.tried)
        found = {id: judged[a] for id in streamers if (a := self.address(id)) in judged} if judged else {}
        plans, _, _ = self.controller.loads.total(now)
        asked = sum(row[load.WANTED] for row in plans.values()) / WINDOW
        self.book.serves(now, sum(row[load.IN_TARGET] for row in plans.values()) / WINDOW)
        told = self.leases.left(now, "extra"), found, self.book.advice(rides.back, asked)
        if told != self.told or None not in told:
            self.told = told
            self.runner.run(self.core.fleet_limits_changed, *told)

    def _aside(self):
        streamers = self.core.controller.streamers
        return {self.address(id): s.failed_at is not None for id, s in streamers.items() if s.backoff}

    def _beside(self, now):
        found = self.found.table(now, self._aside(), self.controller.loads.rides(now).found)
        strained = [self.controller.me] if self.strain.level else []
        return Beside(found, self.book.table(now), self.crowds.table(now), strained)

    # Who is turned away.

    def level(self):
        """In force here: an operator's word as long as it holds, else the fleet's."""
        now, held = self.clock.now(), self.controller.follower.state["map"].get(HELD)
        if held and self.clock.to_wall_ns(now) < held["until"] * 1_000_000:
            return held["level"]
        return self.controller.loads.in_force(now)

    def sheds(self, plan, viewer, *keys):
        """None: he is taken as far as the fleet goes; else ns after which to come back, and whether he may be
        sent on to another controller, as only this one has too many. Counts him. `keys`: of his crowds."""
        now, keys = self.clock.now(), [key[:LONGEST_KEY] for key in keys]
        self.crowds.count(now, keys)
        level, own = self.level(), self.strain.level
        caps = self.controller.loads.caps_in_force(now)
        if any(is_shed(now, caps.get(key, 0.0), viewer) for key in keys):
            self.own.count(now, plan, load.WANTED)
        elif level and is_shed(now, parts(level, self.order).get(plan, 0.0), viewer):
            self.own.count(now, plan, load.WANTED, load.SHED)
        elif own and is_shed(now, parts(own, self.order).get(plan, 0.0), viewer):
            if self.elsewhere():
                return self._come_back(now), True
            self.own.count(now, plan, load.WANTED, load.SHED)
        else:
            return None
        wait = self._come_back(now)
        self.book.books(now, wait)
        return wait, False

    def _come_back(self, now):
        advice = self.told[2]
        self.draws += 1
        luck = zlib.crc32(b"%d:%d" % (self.core.deployment.seed, self.draws)) * 2654435761 % 2**32
        return advice[luck * len(advice) >> 32] if advice else self.core.deployment.rules.longest_advice

    def report(self):
        now, level = self.clock.now(), self.level()
        plans, more, members = self.controller.loads.total(now)
        rides = self.controller.loads.rides(now)
        value, by, at = self.controller.loads.level
        names = ("wanted", "shed", "answered", "in_target", "late", "turned_away")
        rows = {n: dict(zip(names, [x / WINDOW for x in row], strict=True)) for n, row in plans.items()}
        decides = by == self.controller.me
        return {
            "name": self.controller.me,
            "members": members,
            "plans": rows,
            "extra_tries": more[load.EXTRA] / WINDOW,
            "connections": more[load.CONNECTED] / WINDOW,
            "open": more[load.OPEN],
            "level": round(level, 3),
            "decided_by": by,
            "age_s": round((now - at) / SECOND, 1),
            "sheds": {n: round(p, 3) for n, p in parts(level, self.order).items() if p},
            "crowds": self.controller.loads.caps_in_force(now),
            "come_back": rides.back,
            "failing": {
                a: {
                    "by": row[findings.BY],
                    "tried_here": self.judged_here(a),
                    "failed": row[findings.FAILED],
                    "played": row[findings.PLAYED],
                }
                for a, row in rides.found.items()
                if row[findings.BY]
            },
            "leases": self.leases.report(now),
            "strained": rides.strained,
            "strain": {"standing": self.strain.standing.value, "why": self.strain.why},
            "order": self.order,
            "why": self.controller.shed.why if decides else "",
            "held": self.controller.follower.state["map"].get(HELD),
        }

    def judged_here(self, address):
        return next((may for id, may in self.told[1].items() if self.address(id) == address), None)


def hold(level, seconds, by, wall):
    """(id, value) of an operator's word; it lapses by itself. `wall`: ms since 1970."""
    return f"{HELD}/{wall}", {HELD: {"level": level, "until": wall + int(seconds * 1000), "by": by}}


def release(wall):
    return f"{HELD}/off/{wall}", {HELD: None}
