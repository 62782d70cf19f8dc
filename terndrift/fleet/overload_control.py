"""Overload handling of one controller: connects its core and front to the fleet's sums and decisions.

service.py creates one `OverloadControl` per controller and hooks it into the core, the front, the transport
and the sources; fleet/service.py calls `update` periodically. What core and front saw goes into load reports;
what the fleet has decided comes back: who is shed before he gets a playback, how many attempts beyond the
first may be made, which controller attempts a failing streamer, and when viewers are told to come back. This
module does no I/O. It must not end a running playback.
"""

import zlib

from terndrift.core.active_playback import AnswerKind
from terndrift.fleet import failing_streamers, heavy_keys, load_reports
from terndrift.fleet.leases import KeyedRateLimiter, Leases
from terndrift.fleet.load_reports import LoadCounter
from terndrift.fleet.local_overload import LocalOverload
from terndrift.fleet.messages import LoadSupplement
from terndrift.fleet.recent_counts import SECOND, WINDOW_SECONDS, CountsBySecond
from terndrift.fleet.retry_schedule import RetrySchedule
from terndrift.fleet.shedding import SheddingLevel, importance, is_shed, shed_parts
from terndrift.interface import Ending, State

# Key in the record's map of a level set by an operator: {"level", "until" (ms since 1970), "by"}.
HOLD_KEY = "shed/hold"
LOOKS = SECOND // 10  # between calls of `update`: a fifth of the interval between load reports
# The longest wait of a set-up for its connection: the shortest startup target leaves time for the rest.
MAX_CONNECT_WAIT_NS = SECOND // 4
MAX_KEY_LENGTH = 48  # characters: twelve keys have to fit a datagram with the rest of a load report
FAILED_ENDINGS = (Ending.SILENT, Ending.UNREACHED, Ending.BROKEN, Ending.ERRED)


class OverloadControl:
    """Overload handling of one controller.

    `limits`: kind of lease -> what all controllers together may do per second (0: no limit); `address`: from
    a streamer's id to the address by which members name it; `elsewhere()`: whether viewers can be sent on to
    another controller. Sets `leases`, `shed` and the sources of load reports on the fleet's controller.
    """

    def __init__(self, controller, runner, plans, limits=(), address=str, elsewhere=lambda: False):
        self.controller, self.core, self.clock = controller, runner.core, runner.clock
        self.runner, self.address, self.elsewhere = runner, address, elsewhere
        self.plans, self.order, self.counter = plans, importance(plans), LoadCounter()
        now = self.clock.now()
        # failed_streamers: ids with a failed set-up or playback since the last `update`
        self.findings, self.failed_streamers = failing_streamers.FailureReports(), set()
        self.key_counter, self.failed_attempts = heavy_keys.KeyCounter(), CountsBySecond(lambda: [0])
        self.return_times, self.draw_count = RetrySchedule(self.core.deployment.rules.longest_advice), 0
        # last_limits: what the core was last told: (extra attempts, streamer id -> may attempt, return times
        # in ns)
        self.strain, self.last_limits = LocalOverload(len(plans)), (None, {}, ())
        self.last_level, self.raised_at = 0.0, 0  # the level at the last `update`, and when it last rose
        self.leases = controller.leases = Leases(
            controller.own_name,
            dict(limits),
            len(controller.configured_names),
            bool(controller.voter_names),
            now,
        )
        self.connection_limiter = KeyedRateLimiter(self.leases, "connects", MAX_CONNECT_WAIT_NS)
        # A call to a source is delayed but never refused.
        self.call_limiter = KeyedRateLimiter(self.leases, "calls", 10**18)
        controller.load_reports.own = lambda now: self.counter.recent(now, self.core.unanswered_count)
        controller.load_reports.own_beside = self._beside
        controller.shedding = SheddingLevel(self.order)

    # Events of the core and the front.

    def watch(self, event, playback, **facts):
        """Called by the core with each of its events."""
        now = self.clock.now()
        if event == "wanted":
            self.counter.count(now, playback.request.plan, load_reports.WANTED)
        elif event == "answer":
            plays, plan = facts["kind"] == AnswerKind.PLAYS.value, playback.request.plan
            self.return_times.record_retry(now, facts["come_back"])
            if plays:
                self.findings.plays(now, self.address(playback.streamer.id))
            # Viewers taken under a lower level say nothing about this one, as they may have been held for two
            # seconds. Counting them would raise the level again for a cause that the last raise has removed.
            if playback.accepted_at < self.raised_at:
                return
            column = (
                load_reports.IN_TARGET
                if facts["took"] <= self.plans[plan].startup_target
                else load_reports.LATE
            )
            self.counter.count(
                now, plan, load_reports.ANSWERED, column if plays else load_reports.TURNED_AWAY
            )
        elif event == "try":
            self.findings.tries(now, self.address(playback.streamer.id))
            if facts["number"] > 1:
                self.counter.count_other(now, load_reports.EXTRA_ATTEMPTS)
                self.leases.consume(now, "extra")
        elif event in ("try over", "over") and facts["ending"] in (e.name for e in FAILED_ENDINGS):
            # `update` checks whether the core has set the streamer aside for it.
            self.failed_streamers.add(playback.streamer.id)
            self.failed_attempts.current(now)[0] += event == "try over"

    def gate(self, plan, wait):
        """Called when this controller's own bounds turned a viewer away, to come back after `wait` ns."""
        now = self.clock.now()
        self.counter.count(now, plan, load_reports.WANTED, load_reports.ANSWERED, load_reports.TURNED_AWAY)
        self.return_times.record_retry(now, wait)

    def connecting(self, address):
        """Returns ns to wait before a new connection to a streamer, or None where it must not be made."""
        wait = self.connection_limiter.reserve(self.clock.now(), address)
        if wait is not None:
            self.counter.count_other(self.clock.now(), load_reports.CONNECTIONS)
        return wait

    def calling(self):
        """Returns ns to wait before a source of the list is called again."""
        return self.call_limiter.reserve(self.clock.now(), "")

    def update_strain(self, late, files, memory):
        """Called each second; returns whether the state of this controller's own overload changed.

        `late`: ns that the event loop was late; `files`, `memory`: parts of descriptors and memory in use.
        """
        before = self.strain.standing
        self.strain.update(self.clock.now(), late, files, memory)
        return self.strain.standing is not before

    # Decisions of the fleet, passed to the core.

    def update(self):
        """Called every LOOKS ns: updates the demand for leases and tells the core what has changed."""
        now = self.clock.now()
        level = self.level()
        if level > self.last_level + 0.01:
            self.raised_at = now
        self.last_level = level
        streamers = self.core.controller.streamers
        for id in self.failed_streamers:
            if (streamer := streamers.get(id)) is not None and streamer.backoff:
                self.findings.failed(now, self.address(id))
        self.failed_streamers.clear()
        # Only open set-ups are searched: running playbacks are many times as many, and this runs ten times a
        # second.
        waiting = sum(pb.state is State.HELD and pb.attempts > 0 for pb in self.core.controller.pending)
        self.leases.set_demand(
            "extra", sum(n for (n,) in self.failed_attempts.recent(now)) / WINDOW_SECONDS + waiting
        )
        self.connection_limiter.update_demand(now)
        self.call_limiter.update_demand(now)
        supplement = self.controller.load_reports.current_supplement(now)
        alive = {self.controller.own_name, *self.controller.membership.alive_names()}
        judged = failing_streamers.judged(
            now, self.controller.own_name, supplement.failures, alive, self.findings.tried
        )
        may_attempt = (
            {id: judged[a] for id in streamers if (a := self.address(id)) in judged} if judged else {}
        )
        plans, _, _ = self.controller.load_reports.total(now)
        wanted_rate = sum(row[load_reports.WANTED] for row in plans.values()) / WINDOW_SECONDS
        self.return_times.record_capacity(
            now, sum(row[load_reports.IN_TARGET] for row in plans.values()) / WINDOW_SECONDS
        )
        limits = (
            self.leases.available(now, "extra"),
            may_attempt,
            self.return_times.advice(supplement.expected_returns, wanted_rate),
        )
        if limits != self.last_limits or None not in limits:
            self.last_limits = limits
            self.runner.run(self.core.fleet_limits_changed, *limits)

    def _set_aside(self):
        """Returns address -> whether it is down, of the streamers that the core has set aside."""
        streamers = self.core.controller.streamers
        return {self.address(id): s.failed_at is not None for id, s in streamers.items() if s.backoff}

    def _beside(self, now):
        found = self.findings.table(
            now, self._set_aside(), self.controller.load_reports.current_supplement(now).failures
        )
        strained = [self.controller.own_name] if self.strain.level else []
        return LoadSupplement(found, self.return_times.table(now), self.key_counter.table(now), strained)

    # Shedding of viewers.

    def level(self):
        """The level in force here: one set by an operator until it expires, else the fleet's."""
        now, held = self.clock.now(), self.controller.committed_log.state["map"].get(HOLD_KEY)
        if held and self.clock.to_wall_ns(now) < held["until"] * 1_000_000:
            return held["level"]
        return self.controller.load_reports.in_force(now)

    def sheds(self, plan, viewer, *keys):
        """Decides on a viewer's request and counts it; `keys`: his title and address as in heavy_keys.py.

        Returns None where he is taken, else (ns after which to come back, whether he may be sent on to
        another controller because only this one is overloaded).
        """
        now, keys = self.clock.now(), [key[:MAX_KEY_LENGTH] for key in keys]
        self.key_counter.count(now, keys)
        level, own_level = self.level(), self.strain.level
        caps = self.controller.load_reports.caps_in_force(now)
        if any(is_shed(now, caps.get(key, 0.0), viewer) for key in keys):
            self.counter.count(now, plan, load_reports.WANTED)
        elif level and is_shed(now, shed_parts(level, self.order).get(plan, 0.0), viewer):
            self.counter.count(now, plan, load_reports.WANTED, load_reports.SHED)
        elif own_level and is_shed(now, shed_parts(own_level, self.order).get(plan, 0.0), viewer):
            if self.elsewhere():
                return self._return_time(now), True
            self.counter.count(now, plan, load_reports.WANTED, load_reports.SHED)
        else:
            return None
        wait = self._return_time(now)
        self.return_times.record_retry(now, wait)
        return wait, False

    def _return_time(self, now):
        advice = self.last_limits[2]
        self.draw_count += 1
        draw = zlib.crc32(b"%d:%d" % (self.core.deployment.seed, self.draw_count)) * 2654435761 % 2**32
        return advice[draw * len(advice) >> 32] if advice else self.core.deployment.rules.longest_advice

    def report(self):
        """The fleet's load, decisions and leases as this controller knows them, for operators.

        Counts of plans, attempts and connections are per second.
        """
        now, level = self.clock.now(), self.level()
        plans, others, members = self.controller.load_reports.total(now)
        supplement = self.controller.load_reports.current_supplement(now)
        value, by, at = self.controller.load_reports.level
        names = ("wanted", "shed", "answered", "in_target", "late", "turned_away")
        rows = {
            n: dict(zip(names, [x / WINDOW_SECONDS for x in row], strict=True)) for n, row in plans.items()
        }
        decides = by == self.controller.own_name
        return {
            "name": self.controller.own_name,
            "members": members,
            "plans": rows,
            "extra_tries": others[load_reports.EXTRA_ATTEMPTS] / WINDOW_SECONDS,
            "connections": others[load_reports.CONNECTIONS] / WINDOW_SECONDS,
            "open": others[load_reports.OPEN_SETUPS],
            "level": round(level, 3),
            "decided_by": by,
            "age_s": round((now - at) / SECOND, 1),
            "sheds": {n: round(p, 3) for n, p in shed_parts(level, self.order).items() if p},
            "crowds": self.controller.load_reports.caps_in_force(now),
            "come_back": supplement.expected_returns,
            "failing": {
                a: {
                    "by": row[failing_streamers.BY],
                    "tried_here": self.may_attempt(a),
                    "failed": row[failing_streamers.FAILED],
                    "played": row[failing_streamers.PLAYED],
                }
                for a, row in supplement.failures.items()
                if row[failing_streamers.BY]
            },
            "leases": self.leases.report(now),
            "strained": supplement.overloaded,
            "strain": {"standing": self.strain.standing.value, "why": self.strain.why},
            "order": self.order,
            "why": self.controller.shedding.why if decides else "",
            "held": self.controller.committed_log.state["map"].get(HOLD_KEY),
        }

    def may_attempt(self, address):
        """Whether this controller may attempt a failing streamer; None: the fleet has found nothing on it."""
        return next((may for id, may in self.last_limits[1].items() if self.address(id) == address), None)


def hold(level, seconds, by, wall):
    """Returns (id, value) of a proposal that sets the level for `seconds`; `wall`: ms since 1970."""
    return f"{HOLD_KEY}/{wall}", {HOLD_KEY: {"level": level, "until": wall + int(seconds * 1000), "by": by}}


def release(wall):
    """Returns (id, value) of a proposal that ends an operator's hold; `wall`: ms since 1970."""
    return f"{HOLD_KEY}/off/{wall}", {HOLD_KEY: None}
