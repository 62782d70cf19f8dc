"""A stand-in streamer: set-ups that take work, media at a pace, warm-up, and faults by script."""

import asyncio
import time
import zlib
from collections import deque
from urllib.parse import unquote
from weakref import WeakSet

from terndrift.hints import cmcd, cmsd
from terndrift.hints.meaning import kbit
from terndrift.http import playlists
from terndrift.http.server import Gone, Server
from terndrift.http.transport import LINK, NUMBER, PLAYBACK, STREAMS, UPLINK

SECOND = 1_000_000_000
MEDIA = (b"\x47\x1f\xff\x10" + b"\xff" * 184) * 400  # null packets of an MPEG transport stream
# A playback that asks for nothing this long has ended here, as nobody may ever say so.
IDLE = 8 * SECOND


class Stream:
    def __init__(self, title, rate, now):
        self.title, self.rate, self.heard = title, rate, now


class Streamer:
    """`row`: its line of the fleet; `titles`: name -> (plan's rates, segments, seconds of one)."""

    def __init__(self, row, rack, titles, rules, places, shaper, ledger, segment, ladder, lag):
        self.id, self.name, self.rack = row["id"], row["name"], rack
        self.row, self.titles, self.rules, self.places = row, titles, rules, places
        self.shaper, self.ledger, self.segment, self.ladder = shaper, ledger, segment, ladder
        self.link = rack.link(row["link"])
        self.streams, self.recent, self.busy = {}, deque(), 0
        self.started = 0  # ns on the monotonic clock; 0: long ago
        self.faults, self.draws, self.fallen = {}, 0, False  # kind of fault -> size
        self.lag, self.late_use = lag, deque([(0, 0.0, 0.0)])
        self.connections = WeakSet()
        self.server, self.address, self.fault_over = None, row["listen"], asyncio.Event()

    def start(self, cold=False):
        self.started = time.monotonic_ns() if cold else 0
        self.streams.clear()
        self.recent.clear()
        self.server = Server(
            self.handle,
            connections=2000,
            stall=20.0,
            header_time=60.0,
            fault=lambda e, fault: self.ledger.note("bug", fault=repr(fault)),
        )
        self.address = self.server.listen_on(self.address)
        self.ledger.note("up", streamer=self.id, cold=cold, address=self.address, kind=self.row["kind"])

    def die(self):
        if self.server:
            self.ledger.note("down", streamer=self.id)
            self.server.stop()
            self.server.close_all()
            self.server = None

    def begin(self, kind, size):
        self.faults[kind] = size
        if kind == "slow":
            self.link.weak = size

    def end(self, kind):
        self.faults.pop(kind, None)
        if kind == "slow":
            self.link.weak = 1.0
        self.fault_over.set()
        self.fault_over = asyncio.Event()

    def chance(self):
        self.draws += 1
        return zlib.crc32(f"{self.id}:{self.draws}".encode()) * 2654435761 % 2**32 / 2**32

    # What it tells.

    def asked(self):
        return sum(s.rate for s in self.streams.values())

    def use(self):
        return self.asked() / self.link.given(), self.rack.asked() / self.rack.uplink.given()

    def sample(self, now):
        """Now and then: what is told with media is as late as the deployment says, at set-ups it is fresh."""
        self.late_use.append((now, *self.use()))
        while self.late_use[1][0] <= now - self.lag:
            self.late_use.popleft()
        for pb in [pb for pb, s in self.streams.items() if now - s.heard > IDLE]:
            del self.streams[pb]

    def said(self, fresh, static, **more):
        link, uplink = self.use() if fresh else self.late_use[0][1:]
        figures = {
            LINK: round(min(link, 99.0), 3),
            UPLINK: round(min(uplink, 99.0), 3),
            STREAMS: len(self.streams) + self.busy,
        }
        out = {cmsd.DYNAMIC: cmsd.dynamic_header([(f"streamer-{self.id}", figures | more)])}
        return out | ({cmsd.STATIC: cmsd.static_header(static)} if static else {})

    # What it serves.

    async def handle(self, exchange):
        if exchange.stream not in self.connections:
            self.connections.add(exchange.stream)
            self.ledger.note("connected", streamer=self.id)
        hints = cmcd.parse({h: exchange.headers[h] for h in cmcd.HEADERS if h in exchange.headers})
        pb = hints.custom.get(PLAYBACK, (None, hints.get("sid", "?")))[1]
        parts = exchange.path.split("/")
        if exchange.method == "DELETE" and parts[1] == "s":
            self.ledger.note("farewell", streamer=self.id, pb=parts[2])
            self.streams.pop(parts[2], None)
            return await exchange.reply(204)
        title = unquote(parts[2]) if len(parts) > 3 and parts[1] == "v" else None
        if title is None:
            return await exchange.reply(404, text="nothing here")
        if len(parts) == 4:
            return await self.set_up(exchange, pb, title, hints)
        stream = self.streams.get(pb)
        if stream is None:
            return await exchange.reply(404, text="no such playback here")
        stream.heard = time.monotonic_ns()
        rates, count, seconds = self.about(title)
        rung = int(parts[3][1:])
        if parts[4] == "index.m3u8":
            body = playlists.media(count, seconds).encode()
            said = self.said(False, {"ot": "m", "sf": "h", "st": "v"})
            return await exchange.reply(200, {"Content-Type": playlists.TYPE, **said}, body)
        return await self.media(exchange, pb, stream, rung, rates[rung], hints, seconds)

    def about(self, title):
        """(rates, segments, seconds of one). A title that it was not told of is made up: any is held here."""
        return self.titles.get(title) or (self.ladder, 60, self.segment / SECOND)

    async def set_up(self, exchange, pb, title, hints):
        now, number = time.monotonic_ns(), hints.custom.get(NUMBER, (None, 0))[1]
        self.ledger.note(
            "try",
            streamer=self.id,
            pb=pb,
            number=number,
            title=title,
            br=hints.get("br"),
            sid=hints.get("sid"),
        )
        exchange.on_gone = lambda: self.ledger.note("try gone", streamer=self.id, pb=pb, number=number)
        if exchange.gone:  # between its request and this task's turn, as when this streamer dies just then
            return exchange.on_gone()

        async def answer(code, ran, headers=(), body=b""):
            self.ledger.note("try end", streamer=self.id, pb=pb, number=number, code=code, ran=ran)
            await exchange.reply(code, headers, body)

        self.pushed(now)
        if "still" in self.faults:
            await self.fault_over.wait()
            if exchange.gone:
                return None
        if "full" in self.faults or len(self.streams) + self.busy >= self.places:
            return await answer(503, False, self.said(True, {}))
        if self.chance() < self.faults.get("error", 0):
            return await answer(500, True, self.said(True, {}))
        if self.chance() < self.faults.get("break", 0):
            self.ledger.note("try end", streamer=self.id, pb=pb, number=number, code=0, ran=True)
            return exchange.cut()
        self.busy += 1
        try:
            # from 15 ms, up to four times that on a full link, as a set-up is work beside the others
            await asyncio.sleep(0.015 * (1 + 3 * min(1.0, self.use()[0])) + self.faults.get("late", 0))
        finally:
            self.busy -= 1
        self.ledger.note("ran", streamer=self.id, pb=pb, number=number)
        if exchange.gone or self.server is None:
            return None
        rates, _, _ = self.about(title)
        rung = max((r for r, rate in enumerate(rates) if kbit(rate) <= hints.get("br", 0)), default=0)
        self.streams[pb] = Stream(title, rates[rung], time.monotonic_ns())
        said = self.said(True, {"ot": "m", "sf": "h", "st": "v"}, rd=20)
        body = playlists.multivariant(rates, f"/v/{title}").encode()
        return await answer(200, True, {"Content-Type": playlists.TYPE, **said}, body)

    async def media(self, exchange, pb, stream, rung, rate, hints, seconds):
        stream.rate, size = rate, int(rate * seconds)
        self.ledger.note("media", streamer=self.id, pb=pb, rung=rung)
        static = {"ot": "av", "sf": "h", "st": "v", "br": kbit(rate), "d": int(seconds * 1000)}
        head = exchange.start(200, {"Content-Type": "video/mp2t", **self.said(False, static)}, size)
        await exchange.took(head)

        async def write(count):
            while "still" in self.faults:
                await self.fault_over.wait()
            if exchange.gone:
                raise Gone
            for start in range(0, count, len(MEDIA)):
                await exchange.took(exchange.connection.write(MEDIA[: min(len(MEDIA), count - start)]))

        pace = (hints.get("rtp") or kbit(rate)) * 125.0
        await self.shaper.send(self.link, self.rack.uplink, pace, size, write)
        stream.heard = time.monotonic_ns()
        exchange.finish_answer()

    def pushed(self, now):
        """Counts a set-up against the pace of a cold streamer; one that is pushed falls and stays down."""
        self.recent.append(now)
        window = self.rules["fall_window"]
        while self.recent[0] <= now - window:
            self.recent.popleft()
        age, cold = now - self.started, self.rules["cold_for"]
        if not self.started or age >= cold:
            return
        warm = self.rules["cold_share"] + (1 - self.rules["cold_share"]) * age / cold
        allowed = self.rules["fall_multiple"] * self.places / cold * warm * window
        # two over: what chance puts into one window
        if len(self.recent) > allowed + 2 and not self.fallen:
            self.fallen = True
            self.ledger.note("fell", streamer=self.id, recent=len(self.recent), allowed=allowed)
            asyncio.get_running_loop().call_soon(self.die)
