"""The HTTP front: a viewer's playlist request becomes a wanted playback; what plays is relayed and shaped.

GET /v/<title>/main.m3u8          a set-up: 200 plays, 503 rejected, 504 aborted, 404 no such title,
                                  307 another controller takes it
GET /p/<name>/r<rung>/index.m3u8  a rung's playlist, of a playback that plays
GET /p/<name>/r<rung>/<n>.ts      a segment, at the rung in force or the one asked for, the lower
DELETE /p/<name>                  the viewer leaves
"""

import asyncio
import contextlib
import math
import secrets
from dataclasses import dataclass
from urllib.parse import quote, unquote

from terndrift.core.active_playback import AnswerKind, PlaybackRequest
from terndrift.core.admission import AdmissionGate
from terndrift.core.delivery import DeliveryMeter, ReportRateLimiter
from terndrift.core.visits import Visits
from terndrift.hints import cmcd, cmsd
from terndrift.hints.meaning import kbit, understand
from terndrift.http.client import Broken, Call, Unreached
from terndrift.http.playlists import TYPE
from terndrift.http.seats import MOST_OUT, Seats
from terndrift.http.server import Gone
from terndrift.http.transport import report
from terndrift.interface import Ending

SECOND = 1_000_000_000
# Pieces under this wait GATHER s for the next to come with them. Guards the loop against streamers, or links,
# that hand over a few bytes at a time; a segment comes that much later at most, once for each such piece.
SMALL, GATHER = 2048, 0.01
# In the query of a request that another controller sent on: it is not sent on again, or two that drain would
# pass it to and fro.
SENT = "sent=1"
# s that a viewer waits for a controller that has just started and asks which titles are those of now: one or
# two rounds of questions. Longer would take too much of his time; who is sent on then starts anew elsewhere.
SOON_SURE = 0.3
MANIFEST_STATIC = cmsd.static_header({"ot": "m", "sf": "h", "st": "v"})


@dataclass(frozen=True)
class Served:
    """A title as it is served now."""

    plan: str
    abandon: int  # ns that a viewer waits
    cells: frozenset  # of its holders
    segments: int
    length: int  # ns
    rates: tuple | None  # kB a second by rung; None: the deployment's ladder
    rungs: tuple  # those that it has


@dataclass(frozen=True)
class About:
    """What the front keeps with a wanted playback, for its transport."""

    hints: cmcd.Hints
    rungs: tuple


class Awaited:
    """A playback whose answer requests wait for: one, or more of the same visit."""

    def __init__(self):
        self.playback, self.answer, self.waiters = None, None, {}  # exchange -> future
        self.playlist = self.said = self.seat = None


class Front:
    """`titles.find(name)`: a `Served`, or None; `titles.rung(name, wanted, floor, top)`: the nearest rung
    that the title has now."""

    def __init__(self, runner, transport, titles, limits, log):
        self.runner, self.transport, self.titles, self.log = runner, transport, titles, log
        core = runner.core
        self.admission = AdmissionGate(limits.open, core.deployment.seed)
        self.visits = Visits(limits.playbacks)
        self.seats = Seats(limits.idle, limits.playbacks)
        self.meter, self.report_limiter = DeliveryMeter(), ReportRateLimiter()
        self.relays = {}  # Relay -> None, of segments under way
        self.draining = False
        self.unsure = False  # whether titles are those of now is not known: until then no viewer is taken
        self.sure = asyncio.Event()  # set once it is
        # told of each viewer turned away for want of room at this front, and when he is to come back
        self.refused = lambda plan, wait: None
        # None, or (ns to come back after, whether he is sent on): the fleet or this controller has too many
        self.sheds = lambda plan, viewer, title, source: None
        self.elsewhere = lambda: None  # URL of a controller that takes viewers while this one drains; or None
        self.passed = lambda streamer, size: None  # told what was relayed from a streamer, in bytes
        self.stall = limits.stall  # a streamer that takes longer over a segment stands still

    def now(self):
        return self.runner.clock.now()

    async def handle(self, exchange):
        parts = exchange.path.split("/")
        if exchange.method not in ("GET", "DELETE"):
            return await exchange.reply(405, {"Allow": "GET, DELETE"}, text="only GET and DELETE")
        if len(parts) == 4 and parts[1] == "v" and parts[3] == "main.m3u8" and exchange.method == "GET":
            return await self._set_up(exchange, unquote(parts[2], errors="replace"))
        if len(parts) >= 3 and parts[1] == "p":
            seat = self.seats.seats.get(parts[2])
            if seat is None:
                return await exchange.reply(404, text="no such playback")
            if exchange.method == "DELETE" and len(parts) == 3:
                self.runner.run(self.runner.core.viewer_left, seat.playback)
                self.seats.over(self.now(), seat)
                return await exchange.reply(204)
            rung, file = _rung(parts), parts[4] if len(parts) == 5 else ""
            if rung is not None and exchange.method == "GET":
                if seat.over_at is not None or seat.playback.stage.value == "over":
                    self.seats.over(self.now(), seat)
                    return await exchange.reply(410, text="this playback is over")
                if file == "index.m3u8":
                    return await self._relay(exchange, seat, rung, None)
                number = _number(file)
                if number is not None and number < seat.segments:
                    return await self._relay(exchange, seat, rung, number)
        return await exchange.reply(404, text="nothing here")

    def _hints(self, exchange):
        text = {h: ",".join(v) for h in cmcd.HEADERS if (v := exchange.headers.get_list(h))}
        return cmcd.parse(text, cmcd.from_query(exchange.query) if "CMCD=" in exchange.query else None)

    # Set-ups.

    async def _set_up(self, exchange, title):
        exchange.leave_if_client_has()
        came, core = self.now(), self.runner.core
        if self.unsure:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.sure.wait(), SOON_SURE)
        now = self.now()
        found = self.titles.find(title)
        if found is None and self.unsure:
            return await self._elsewhere(exchange, SECOND)
        if found is None:
            return await exchange.reply(404, text="no such title")
        plan = core.deployment.plans[found.plan]
        hints = self._hints(exchange)
        rates = [kb * 1000 * plan.scale for kb in found.rates or core.deployment.ladder.rates]
        asked = understand(hints, title, plan.floor, plan.top, rates, found.abandon)
        for what in asked.ignored:
            self.log.info("hint ignored", key=what.key, why=what.why, title=title)
        visit, joins = self.visits.register_request(now, asked.visit, title)
        source = exchange.source
        shut = self.draining or self.unsure
        wait = SECOND if shut or self.seats.full() else self.admission.admit(now, source)
        if wait:
            if shut:
                return await self._elsewhere(exchange, wait)
            self.refused(found.plan, wait)
            return await self._turn_away(exchange, wait)
        if shed := self.sheds(found.plan, asked.visit or source, f"title {title}", f"from {source}"):
            self.admission.release(now, source)
            wait, sent_on = shed
            return await (self._elsewhere if sent_on else self._turn_away)(exchange, wait)
        try:
            if joins:
                awaited = visit.pending_playback
            else:
                left = asked.time_left - (now - came)
                awaited = self._want(
                    now,
                    PlaybackRequest(
                        found.plan,
                        title,
                        found.cells,
                        asked.top,
                        left,
                        found.length,
                        found.rates,
                        About(hints, found.rungs),
                    ),
                    visit,
                )
            answer = await self._await(exchange, awaited)
        finally:
            self.admission.release(self.now(), source)
        if answer is None:
            return None  # this viewer has left
        if answer.kind is AnswerKind.PLAYS:
            return await self._plays(exchange, awaited, found.segments)
        if answer.kind is AnswerKind.REJECTED:
            return await self._turn_away(exchange, answer.retry_after)
        return await exchange.reply(504, text=answer.reason or "aborted")

    async def _elsewhere(self, exchange, wait):
        """Sends a viewer on to a controller that takes him; turns him away if there is none."""
        if SENT in exchange.query.split("&") or not (place := self.elsewhere()):
            return await self._turn_away(exchange, wait)
        query = "&".join(filter(None, (exchange.query, SENT)))
        where = f"{place}{exchange.path}?{query}"
        return await exchange.reply(307, {"Location": where}, text="sent on")

    async def _turn_away(self, exchange, retry_after):
        advice = {"Retry-After": str(math.ceil(retry_after / SECOND))} if retry_after else {}
        await exchange.reply(503, advice, text="not now")

    def _want(self, now, request, visit):
        awaited = Awaited()

        def answered(answer):
            awaited.answer = answer
            if answer.kind is AnswerKind.PLAYS:
                awaited.playlist, awaited.said = self.transport.playlist(awaited.playback)
            if visit is not None:
                self.visits.playback_answered(visit, awaited)
            for waiter in awaited.waiters.values():
                if not waiter.done():
                    waiter.set_result(answer)

        if visit is not None:
            self.visits.playback_requested(visit, awaited)
        awaited.playback = self.runner.run(
            self.runner.core.request_playback, request, self.transport, answered
        )
        return awaited

    async def _await(self, exchange, awaited):
        """The answer, or None if this viewer leaves first; the playback is left once all of them have."""
        waiter = awaited.waiters[exchange] = asyncio.get_running_loop().create_future()
        if awaited.answer is not None:
            waiter.set_result(awaited.answer)

        def left():
            if not waiter.done():
                waiter.set_result(None)
            awaited.waiters.pop(exchange, None)
            if not awaited.waiters and awaited.answer is None:
                self.runner.run(self.runner.core.viewer_left, awaited.playback)

        exchange.on_gone = left
        if exchange.gone:
            left()
        return await waiter

    async def _plays(self, exchange, awaited, segments):
        playback = awaited.playback
        if awaited.seat is None:
            awaited.seat = self.seats.add(self.now(), secrets.token_urlsafe(12), playback, segments)
        awaited.seat.heard = self.now()
        body = awaited.playlist.replace("{base}", f"/p/{awaited.seat.name}").encode()
        headers = {
            "Content-Type": TYPE,
            "Cache-Control": "no-store",
            cmsd.STATIC: MANIFEST_STATIC,
            cmsd.DYNAMIC: self._dynamic(awaited.said, playback),
        }
        try:
            await exchange.reply(200, headers, body)
        except Gone:
            awaited.waiters.pop(exchange, None)
            if not awaited.waiters:
                self._over(awaited.seat)
            raise

    def _dynamic(self, said, playback):
        """The streamers' entries and this controller's own, which tells the rung in force as `mb`."""
        rate = self.transport.rates(playback)[playback.rung]
        return cmsd.dynamic_header(
            [*said.dynamic, (f"terndrift/{self.runner.core.name}", {"mb": kbit(rate)})]
        )

    def _over(self, seat, ending=None):
        self.seats.over(self.now(), seat)
        if ending is None:
            self.runner.run(self.runner.core.viewer_left, seat.playback)
        else:
            self.runner.run(self.runner.core.playback_ended, seat.playback, ending)

    # What plays.

    async def _relay(self, exchange, seat, asked, number):
        """A rung's playlist (`number` None) or a segment, from the playback's streamer to its player."""
        playback, core = seat.playback, self.runner.core
        hints = self._hints(exchange)
        self.seats.heard(self.now(), seat, hints)
        if seat.out >= MOST_OUT:
            return await exchange.reply(429, {"Retry-After": "1"}, text="too many requests at once")
        plan = core.deployment.plans[playback.request.plan]
        rung = self.seats.rung(seat, plan.floor, asked)
        rung = self.titles.rung(playback.request.title, rung, plan.floor, playback.request.top)
        relay = Relay(self, exchange, seat, rung, number, hints)
        seat.out += 1
        self.relays[relay] = None
        try:
            await relay.run()
        finally:
            self.passed(relay.streamer, relay.passed)
            seat.out -= 1
            seat.heard = self.now()
            del self.relays[relay]
        return None

    def every_second(self):
        """Tells what was measured, and ends what has fallen silent."""
        now = self.now()
        for relay in list(self.relays):
            self.meter.segment_pending(now, relay.streamer, relay.should, relay.waited(now))
            if relay.waited(now) > self.stall:
                relay.give_up()
        for streamer, share in self.meter.due_reports(now):
            self.runner.run(self.runner.core.delivery_reported, streamer, share)
        for seat in self.seats.silent(now):
            self._over(seat)

    def playing(self):
        return sum(seat.over_at is None for seat in self.seats.seats.values())

    def close(self):
        for seat in self.seats.seats.values():
            if seat.over_at is None:
                self._over(seat)


class Relay:
    """One answer passed on from a streamer, no faster than its player takes it."""

    def __init__(self, front, exchange, seat, rung, number, hints):
        self.front, self.exchange, self.seat, self.rung, self.number = front, exchange, seat, rung, number
        self.hints, playback = hints, seat.playback
        self.streamer = playback.streamer.id
        self.should = 0 if number is None else playback.request.expected_duration // max(1, seat.segments)
        self.began, self.blocked, self.blocked_since = front.now(), 0, 0
        self.head_out, self.code = False, 0
        self.call, self.stood_still = None, False
        self.passed, self.length = 0, None

    def waited(self, now):
        """ns spent waiting for the streamer so far: what the player took is not its fault."""
        blocked = self.blocked + (now - self.blocked_since if self.blocked_since else 0)
        return now - self.began - blocked

    async def run(self):
        front, playback = self.front, self.seat.playback
        address = front.transport.addresses.get(self.streamer)
        file = "index.m3u8" if self.number is None else f"{self.number}.ts"
        target = f"/v/{quote(playback.request.title, safe='')}/r{self.rung}/{file}"
        headers = front.transport.said_to_streamer(
            playback,
            self.hints,
            self.rung,
            ot="m" if self.number is None else "av",
            d=None if self.number is None else self.should // 1_000_000,
        )
        # an idle connection may just have been closed by the other side: media may be asked for again, once
        for fresh in (False, True):
            call = Call(front.transport.pool, address or "")
            self.call, self.exchange.on_gone = call, call.close
            try:
                await call.open(front.transport.connect / SECOND, fresh)
                await call.run("GET", target, headers, self._head, self._chunk)
                return await self._done()
            except Unreached:
                return await self._lost(Ending.BROKEN)
            except Broken:
                if self.exchange.gone:
                    return None
                if self.stood_still:
                    return await self._lost(Ending.SILENT)
                if self.head_out:
                    # its player must not take half a segment for a whole one, and will ask again
                    return self.exchange.cut()
        return await self._lost(Ending.BROKEN)

    def give_up(self):
        """The streamer stands still: what is under way there is ended, and the playback with it."""
        self.stood_still = True
        self.call.close()

    def _head(self, code, headers):
        front, self.code = self.front, code
        now = front.now()
        said, figures = report(headers)
        if figures and front.report_limiter.may_pass(now, self.streamer):
            front.runner.run(
                front.runner.core.utilisation_reported,
                self.seat.playback,
                figures.get("link"),
                figures.get("uplink"),
            )
        if code != 200:
            return None
        out = {
            "Content-Type": headers.get("Content-Type", "application/octet-stream"),
            cmsd.DYNAMIC: front._dynamic(said, self.seat.playback),
        }
        if said.static or said.custom:
            out[cmsd.STATIC] = cmsd.static_header(said.static, said.custom)
        length = headers.get("Content-Length")
        self.length = int(length) if length and length.isdigit() else None
        self.exchange.start(200, out, self.length)
        self.head_out = True
        return None

    async def _chunk(self, chunk):
        if not self.head_out:
            return
        self.blocked_since = self.front.now()
        try:
            await self.exchange.took(self.exchange.connection.write(chunk))
            self.passed += len(chunk)
            if len(chunk) < SMALL and self.passed < (self.length or 0):
                # more comes, a little at a time: each piece costs the loop as much as a large one would
                await asyncio.sleep(GATHER)
        except Gone:  # not to be raised through the connection that the streamer's answer comes by
            self.call.close()
        self.blocked += self.front.now() - self.blocked_since
        self.blocked_since = 0

    async def _done(self):
        front, seat = self.front, self.seat
        if self.code != 200:
            if self.code in (404, 410):
                return await self._lost(Ending.BROKEN)  # it does not know this playback: it has started anew
            return await self.exchange.reply(502, text="the streamer did not deliver")
        now = front.now()
        front.meter.segment_delivered(now, self.streamer, self.should, self.waited(now))
        self.exchange.finish_answer()
        if self.number is not None and front.seats.delivered(seat, self.number) and seat.over_at is None:
            front._over(seat, Ending.PLAYED_OUT)
        return None

    async def _lost(self, ending):
        """The streamer is gone, or this playback is, there: it is over, and its viewer is told so at once."""
        if self.seat.over_at is None:
            self.front._over(self.seat, ending)
        if self.head_out:
            return self.exchange.cut()
        return await self.exchange.reply(410, text="this playback is over")


def _number(file):
    number = file.removesuffix(".ts")
    plain = file.endswith(".ts") and number.isascii() and number.isdigit() and len(number) < 8
    return int(number) if plain else None


def _rung(parts):
    if len(parts) == 5 and parts[3][:1] == "r" and parts[3][1:].isascii() and parts[3][1:].isdigit():
        return int(parts[3][1:4])
    return None
