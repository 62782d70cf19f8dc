"""A stand-in player: HLS over HTTP with CMCD, an eye on CMSD's `mb`, and a viewer's patience."""

import asyncio
import time
from urllib.parse import urlsplit

import m3u8

from terndrift.hints import cmcd, cmsd
from terndrift.http.client import Broken, Call, Pool, Unreached, fetch

SECOND = 1_000_000_000
# How much a player keeps ahead, in segments.
BUFFER = 3


def sent_on(url):
    """(address, path and query) of a redirect."""
    parts = urlsplit(url)
    return parts.netloc, f"{parts.path}?{parts.query}" if parts.query else parts.path


class Player:
    """One viewer. `choose()` gives the address of a controller, anew for each set-up."""

    def __init__(
        self,
        choose,
        title,
        ledger,
        pool=None,
        visit="",
        plan="",
        abandon=3.0,
        top=None,
        seconds=None,
        patience=2.0,
        hints=None,
        pause=lambda: 1.0,
    ):
        self.choose, self.title, self.ledger = choose, title, ledger
        self.pool, self.visit, self.plan = pool or Pool(), visit or f"v{time.monotonic_ns():x}", plan
        self.abandon, self.top, self.seconds = abandon, top, seconds
        self.patience, self.hints, self.pause = patience, hints or {}, pause
        self.asks = 0

    def said(self, **more):
        return cmcd.headers(
            {
                "sid": self.visit,
                "cid": self.title[:64],
                "sf": "h",
                "st": "v",
                **({"tb": self.top} if self.top else {}),
                **self.hints,
                **more,
            }
        )

    async def watch(self):
        """Asks, plays, and comes again after a break or a rejection while the viewer still wants it.
        Returns the seconds seen."""
        until = time.monotonic() + (self.seconds or 60.0)
        self.ledger.note(
            "visit", visit=self.visit, title=self.title, plan=self.plan, top=self.top, seconds=self.seconds
        )
        seen = 0.0
        while True:
            wait = self.pause()
            found = await self.ask()
            if isinstance(found, tuple):
                got, whole = await self.play(*found, until)
                seen += got
                if whole:
                    break
            elif found:
                wait = max(wait, found)
            if time.monotonic() + wait >= until:
                break
            await asyncio.sleep(wait)
        self.ledger.note("end", visit=self.visit, seen=seen)
        return seen

    async def ask(self):
        """One set-up: (address, base url, playlist, mb), or how long to wait before the next."""
        self.asks += 1
        address, ask = self.choose(), f"{self.visit}/{self.asks}"
        begun = time.monotonic()
        self.ledger.note(
            "ask",
            ask=ask,
            visit=self.visit,
            title=self.title,
            plan=self.plan,
            controller=address,
            until=time.monotonic_ns() + int(self.abandon * SECOND),
        )
        path = f"/v/{self.title}/main.m3u8"
        try:
            # on a connection of its own: one that was idle may be closing just then (the controller does so
            # after its `header_time`); the request is never taken then, and would be judged lost
            code, headers, body = await fetch(
                self.pool,
                address,
                "GET",
                path,
                self.said(ot="m", su=True),
                connect=1.0,
                within=self.abandon + 1.0,
                fresh=True,
            )
            if code == 307:
                address, path = sent_on(headers["Location"])
                self.ledger.note("sent on", ask=ask, controller=address)
                left = self.abandon - (time.monotonic() - begun)
                code, headers, body = await fetch(
                    self.pool,
                    address,
                    "GET",
                    path,
                    self.said(ot="m", su=True),
                    connect=1.0,
                    within=left + 1.0,
                    fresh=True,
                )
        except (Unreached, Broken) as wrong:
            self.ledger.note("no answer", ask=ask, why=type(wrong).__name__)
            return 0.0
        self.ledger.note("answer", ask=ask, code=code, retry=headers.get("Retry-After"))
        if code != 200:
            return float(headers.get("Retry-After", 0))
        return address, body.decode(), self.most(headers)

    def most(self, headers):
        said = cmsd.parse({k: headers[k] for k in (cmsd.DYNAMIC,) if k in headers})
        return next((p["mb"] for _, p in reversed(said.dynamic) if "mb" in p), None)

    def choice(self, variants, most):
        fit = [v for v in variants if most is None or v.stream_info.bandwidth <= most * 1000 + 999]
        return max(fit or variants[:1], key=lambda v: v.stream_info.bandwidth)

    async def play(self, address, body, most, until):
        """Segments one by one, a few ahead of what is shown. (seconds seen, whether that is all)."""
        variants = sorted(m3u8.loads(body).playlists, key=lambda v: v.stream_info.bandwidth)
        begun, ahead, seen, files = time.monotonic(), 0.0, 0.0, {}
        number, total, stalled = 0, 1, 0
        while number < total:
            variant = self.choice(variants, most)
            path = urlsplit(variant.uri).path
            if path not in files:
                found = await self.get(address, path, ot="m")
                if found is None:
                    return seen, False
                files[path] = m3u8.loads(found[2].decode()).segments
                total = len(files[path])
            segment = files[path][number]
            left = ahead - (time.monotonic() - begun)
            if left > (BUFFER - 1) * segment.duration:
                await asyncio.sleep(left - (BUFFER - 1) * segment.duration)
            asked = time.monotonic()
            got = await self.get(
                address,
                path.rpartition("/")[0] + "/" + segment.uri,
                ot="av",
                bl=max(0, int(left * 1000)),
                bs=stalled > 0 or None,
                br=variant.stream_info.bandwidth // 1000,
                d=int(segment.duration * 1000),
            )
            if got is None:
                return seen, False
            now = time.monotonic()
            if not number:
                begun = now  # the picture begins once the first segment is there
            dry = max(0.0, now - begun - ahead)
            begun += dry  # the picture stood so long
            stalled = dry
            br = cmsd.parse({cmsd.STATIC: got[1].get(cmsd.STATIC, "")}).static.get("br", 0)
            self.ledger.note(
                "segment",
                visit=self.visit,
                br=br,
                size=len(got[2]),
                dry=round(dry, 3),
                took=round(now - asked, 3),
                seconds=segment.duration,
            )
            ahead += segment.duration
            seen += segment.duration
            most = self.most(got[1])
            number += 1
            if dry > self.patience:
                self.ledger.note("gave up", visit=self.visit)
                await self.leave(address, path)
                return seen, True
            if now >= until:
                break
        if number < total:
            await self.leave(address, path)
        return seen, True

    async def get(self, address, path, **hints):
        call, body = Call(self.pool, address), bytearray()
        try:
            await call.open(1.0)
            code = await asyncio.wait_for(
                call.run("GET", path, self.said(**hints), on_chunk=body.extend), 12.0
            )
        except (Unreached, Broken, TimeoutError):
            call.close()
            return None
        return (code, call.headers, bytes(body)) if code == 200 else None

    async def leave(self, address, path):
        try:
            await fetch(self.pool, address, "DELETE", "/".join(path.split("/")[:3]), within=1.0)
        except (Unreached, Broken):
            return
