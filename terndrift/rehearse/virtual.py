"""A day in virtual time: the cores of the controllers as in service; streamers, racks, viewers as fluids.

No sockets, no processes: one heap of events and a clock in whole nanoseconds, the same to the last note
for the same seed. What passes is noted as the stand-ins note it, so that the auditor reads it like any
rehearsal. Plays days without troubles.
"""

import heapq
import itertools
import random
from types import SimpleNamespace

from terndrift import deployment
from terndrift.audit import figures, judge, seconds
from terndrift.core.active_playback import AnswerKind, PlaybackRequest
from terndrift.core.core import Core
from terndrift.core.delivery import DeliveryMeter, ReportRateLimiter
from terndrift.decide import Controller
from terndrift.hints.meaning import kbit
from terndrift.interface import Ending, ListEntry, Standing
from terndrift.rehearse.draw import drawn

SECOND = 1_000_000_000
MS = 1_000_000
# One way between two processes on loopback, turns of the processor included (rehearsals: 2 to 3 ms added).
WAY = 1 * MS
# Controllers are up so long before the first viewer comes, as in a rehearsal over processes.
EARLY = 3 * SECOND
SAMPLE = SECOND // 10  # how often streamers take down what they tell later
# Media come so much faster than they play at most; a player keeps so many pieces ahead (standin/player.py).
AHEAD, BUFFER = 1.25, 3
PATIENCE = 2 * SECOND  # a picture that stands so long is left


class NotPlayed(ValueError):
    """The day has what this world has not."""


class Rack:
    def __init__(self, given):
        self.given, self.streamers = given, []

    def asked(self):
        return sum([min(s.total, s.given) for s in self.streamers])


class Streamer:
    """Its link and its rack's uplink are shared alike by all that play there."""

    def __init__(self, world, row, rack, places):
        self.world, self.id, self.given, self.rack, self.places = world, row["id"], row["link"], rack, places
        self.rates, self.total, self.busy = {}, 0.0, 0  # playback -> bytes a second
        self.told = [(0, 0.0, 0.0)]
        rack.streamers.append(self)

    def use(self):
        return self.total / self.given, self.rack.asked() / self.rack.given

    def asks(self, pb, rate):
        self.rates.pop(pb, None)
        if rate:
            self.rates[pb] = rate
        self.total = sum(self.rates.values())

    def sample(self):
        now = self.world.now
        self.told.append((now, *self.use()))
        while len(self.told) > 1 and self.told[1][0] <= now - self.world.lag:
            self.told.pop(0)

    def figures(self, fresh):
        link, uplink = self.use() if fresh else self.told[0][1:]
        return {
            "link": round(min(link, 99.0), 3),
            "uplink": round(min(uplink, 99.0), 3),
            "streams": len(self.rates) + self.busy,
        }

    def speed(self):
        """Of what plays here, over its rate."""
        rack = min(1.0, self.rack.given / max(1.0, self.rack.asked()))
        return min(AHEAD, self.given / max(1.0, self.total)) * rack


class Front:
    """One controller: its core, and the wires that its transport would use."""

    def __init__(self, world, n, made, grace, decisions):
        self.world, self.name = world, f"c{n}"
        self.core = Core(made, world.now, self.name, grace, decisions=decisions)
        self.meter, self.report_limiter = DeliveryMeter(), ReportRateLimiter()
        self.out, self.timer_at = {}, None  # ActivePlayback -> try that is out: [called off, sent]

    def run(self, call, *args):
        result = call(self.world.now, *args)
        at = self.core.next_at()
        if at is not None and (self.timer_at is None or at < self.timer_at):
            self.timer_at = at
            self.world.at(max(at, self.world.now), self._ring, at)
        return result

    def _ring(self, at):
        if self.timer_at == at:
            self.timer_at = None
            self.run(self.core.tick)

    def second(self):
        for streamer, share in self.meter.due_reports(self.world.now):
            self.run(self.core.delivery_reported, streamer, share)
        self.world.after(SECOND, self.second)

    # What the core calls.

    def set_up(self, playback, streamer, rung, timeout):
        out = self.out[playback] = SimpleNamespace(off=False, ran=False)
        to = self.world.streamers[streamer.id]
        self.world.after(WAY, self._arrives, playback, out, to, playback.attempts, rung)

    def cancel_attempt(self, playback):
        out = self.out.pop(playback)
        out.off = True
        self.world.after(2 * WAY, self._over, playback, Ending.CALLED_OFF, None)

    def set_rung(self, playback, rung):
        pass  # with the next piece

    def release_playback(self, playback, streamer):
        self.out.pop(playback, None)
        self.world.after(WAY, self._farewell, playback.id, self.world.streamers[streamer.id])

    # The wires.

    def _farewell(self, pb, s):
        self.world.note("streamers", "farewell", streamer=s.id, pb=pb)
        s.asks(pb, 0)

    def _over(self, playback, ending, figures):
        self.run(self.core.attempt_ended, playback, ending, figures)

    def _arrives(self, playback, out, s, number, rung):
        w, request = self.world, playback.request
        br = kbit(w.rates[request.plan][rung])
        w.note(
            "streamers",
            "try",
            streamer=s.id,
            pb=playback.id,
            number=number,
            title=request.title,
            br=br,
            sid=request.context,
        )
        if out.off:
            return w.note("streamers", "try gone", streamer=s.id, pb=playback.id, number=number)
        if len(s.rates) + s.busy >= s.places:
            w.note("streamers", "try end", streamer=s.id, pb=playback.id, number=number, code=503, ran=False)
            return w.after(WAY, self._ended, playback, out, Ending.FULL, s.figures(True))
        s.busy += 1
        took = int(0.015 * (1 + 3 * min(1.0, s.use()[0])) * SECOND)
        return w.after(took, self._ran, playback, out, s, number, rung)

    def _ran(self, playback, out, s, number, rung):
        w = self.world
        s.busy -= 1
        w.note("streamers", "ran", streamer=s.id, pb=playback.id, number=number)
        if out.off:
            return w.note("streamers", "try gone", streamer=s.id, pb=playback.id, number=number)
        s.asks(playback.id, w.rates[playback.request.plan][rung])
        w.note("streamers", "try end", streamer=s.id, pb=playback.id, number=number, code=200, ran=True)
        return w.after(WAY, self._plays, playback, out, s)

    def _ended(self, playback, out, ending, figures):
        if not out.off:
            self.out.pop(playback)
            self._over(playback, ending, figures)

    def _plays(self, playback, out, s):
        if out.off:
            return s.asks(playback.id, 0)
        self.out.pop(playback)
        return self.run(self.core.set_up_succeeded, playback, s.figures(True))


class Viewer:
    """Asks, plays, comes again: standin/player.py without its sockets."""

    def __init__(self, world, row):
        self.world, self.row, self.asks, self.seen = world, row, 0, 0
        self.chance = random.Random(f"{world.seed}/{row['visit']}")
        self.until = world.now + int(row["seconds"] * SECOND)
        self.pause, plan = int(row["pause"] * SECOND), world.made.plans[row["plan"]]
        self.top = plan.top if row["odd"] is not None else min(row["top_rung"], plan.top)
        self.note("visit", title=row["title"], plan=row["plan"], top=row["top"], seconds=row["seconds"])

    def note(self, what, **facts):
        self.world.note("viewers", what, visit=self.row["visit"], **facts)

    def ask(self):
        w, row = self.world, self.row
        self.asks += 1
        self.front = self.chance.choice(w.fronts)
        self.name, title = f"{row['visit']}/{self.asks}", w.titles[row["title"]]
        abandon = int(row["abandon"] * SECOND)
        self.note(
            "ask",
            ask=self.name,
            title=title.name,
            plan=row["plan"],
            controller=self.front.name,
            until=w.now + abandon,
        )
        request = PlaybackRequest(
            row["plan"],
            title.name,
            title.holders or w.everywhere,
            self.top,
            abandon,
            title.duration,
            context=row["visit"],
        )

        def answered(answer):
            w.after(WAY, self._answered, answer)

        def take():
            self.playback = self.front.run(self.front.core.request_playback, request, self.front, answered)

        w.after(WAY, take)

    def _answered(self, answer):
        w, kind = self.world, answer.kind
        code = {AnswerKind.PLAYS: 200, AnswerKind.REJECTED: 503, AnswerKind.ABORTED: 504}[kind]
        self.note("answer", ask=self.name, code=code, retry=answer.retry_after or None)
        if kind is AnswerKind.PLAYS:
            self.begun, self.ahead, self.number = w.now, 0, 0
            return self._piece()
        # told in whole seconds (http/front.py)
        wait = max(self.pause, -(-answer.retry_after // SECOND) * SECOND)
        if not self.row["returns"] or w.now + wait >= self.until:
            return self.note("end", seen=self.seen)
        return w.after(wait, self.ask)

    def _piece(self):
        w, front, playback = self.world, self.front, self.playback
        s, piece = w.streamers[playback.streamer.id], w.piece
        rate = w.rates[self.row["plan"]][playback.rung]
        s.asks(playback.id, rate)
        w.note("streamers", "media", streamer=s.id, pb=playback.id, rung=playback.rung)
        figures = s.figures(False)
        if front.report_limiter.may_pass(w.now, s.id):
            front.run(front.core.utilisation_reported, playback, figures["link"], figures["uplink"])
        took = int(piece / s.speed())
        w.after(took, self._came, s, rate, took)

    def _came(self, s, rate, took):
        w, front, piece = self.world, self.front, self.world.piece
        front.meter.segment_delivered(w.now, s.id, piece, took)
        if not self.number:
            self.begun = w.now
        dry = max(0, w.now - self.begun - self.ahead)
        self.begun += dry
        self.note(
            "segment",
            br=kbit(rate),
            size=int(rate * piece / SECOND),
            dry=dry / SECOND,
            took=took / SECOND,
            seconds=piece / SECOND,
        )
        self.ahead += piece
        self.seen += piece / SECOND
        self.number += 1
        whole = self.number >= w.titles[self.row["title"]].segment_count
        if dry > PATIENCE or whole or w.now >= self.until:
            front.run(
                front.core.playback_ended, self.playback, Ending.PLAYED_OUT if whole else Ending.CALLED_OFF
            )
            return self.note("end", seen=self.seen)
        left = self.ahead - (w.now - self.begun)
        return w.after(max(0, left - (BUFFER - 1) * piece), self._piece)


class World:
    viewer = Viewer

    def __init__(self, day, seed, controllers, streamers, seconds, decisions=Controller):
        d = day["deployment"]
        self.drawn = drawn(day, seed, controllers, streamers, seconds)
        if day["troubles"] or day["calls"]["titles"] or self.drawn.swaps or self.drawn.churn:
            raise NotPlayed("a day with troubles, calls, swaps or churn is not played in virtual time")
        self.day, self.seed, self.seconds, self.now = day, seed, seconds, 1000 * SECOND
        self.decisions = decisions
        self.events, self.order = [], itertools.count()
        self.notes = {"viewers": [], "streamers": [], "runner": []}
        self.piece, self.lag = d["segment"], d["links"]["lag"]
        self.made = deployment.build_deployment(
            d, {"name": "c", "rank": 0, "of": controllers, "zone": "", "seed": 0}
        )
        self.rates = {n: [r * p.scale for r in d["ladder"]["rates"]] for n, p in self.made.plans.items()}
        self.titles = deployment.build_titles(d)
        racks = {n: Rack(given) for n, given in self.drawn.uplinks.items()}
        self.racks = racks
        self.streamers = {
            r["id"]: Streamer(self, r, racks[r["rack"]], d["links"]["places"].get(r["kind"], 8))
            for r in self.drawn.streamers
        }
        self.everywhere = frozenset(self.streamers)
        made = [
            deployment.build_deployment(
                d, {"name": f"c{n}", "rank": n, "of": controllers, "zone": "", "seed": seed * 100 + n}
            )
            for n in range(controllers)
        ]
        self.fronts = [Front(self, n, m, d["rules"]["drain_grace"], decisions) for n, m in enumerate(made)]

    def note(self, who, what, **facts):
        self.notes[who].append({"what": what, "t": self.now, **facts})

    def at(self, when, call, *args):
        heapq.heappush(self.events, (when, next(self.order), call, args))

    def after(self, wait, call, *args):
        self.at(self.now + wait, call, *args)

    def run(self):
        """Plays the day to its end; the notes are `notes`."""
        listed = [
            ListEntry(r["id"], r["kind"], "", r["id"], r["rack"], Standing.READY, 1.0, 0)
            for r in self.drawn.streamers
        ]
        for s in self.streamers.values():
            self.note("streamers", "up", streamer=s.id, cold=False, address="", kind="")
        for n, front in enumerate(self.fronts):
            self.note("runner", "controller up", name=front.name, address=front.name)
            # processes do not start on one beat
            late = n * SECOND // (4 * len(self.fronts))
            self.after(late, front.run, front.core.list_changed, listed, True, False)
            self.after(SECOND + n * SECOND // len(self.fronts), front.second)
        begin = self.now + EARLY
        self.note(
            "runner",
            "fleet",
            begin=begin,
            uplinks={str(n): up for n, up in self.drawn.uplinks.items()},
            streamers=[{**r, "places": self.streamers[r["id"]].places} for r in self.drawn.streamers],
        )
        for row in self.drawn.arrivals:
            self.at(begin + row["at"], lambda row=row: self.viewer(self, row).ask())
        self.after(SAMPLE, self._sample)
        end = begin + (self.seconds + 25) * SECOND
        while self.events and self.events[0][0] < end:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self.notes

    def facts(self):
        return judge.Facts(self.day["deployment"], self.notes, told_within=0.0)

    def report(self, facts=None):
        """As of a rehearsal over processes."""
        facts = facts or self.facts()
        return {
            "seed": self.seed,
            "controllers": len(self.fronts),
            "streamers": len(self.streamers),
            "seconds": self.seconds,
            **figures.report(facts, self.drawn.arrivals),
            **seconds.report(facts, self.seconds),
            **judge.report(facts),
        }

    def _sample(self):
        for s in self.streamers.values():
            s.sample()
        self.after(SAMPLE, self._sample)
