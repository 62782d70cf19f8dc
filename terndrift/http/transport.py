"""Carries set-up tries to streamers over HTTP: one GET of the multivariant playlist each, hints in CMCD."""

import asyncio
from contextlib import suppress
from urllib.parse import quote

from terndrift.hints import cmcd, cmsd
from terndrift.hints.meaning import kbit
from terndrift.http import playlists
from terndrift.http.client import Broken, Call, NotNow, Unreached, fetch
from terndrift.interface import Ending

SECOND = 1_000_000_000
# The hints that this project adds, under its own prefix (CTA-5004, 2.3; CTA-5006, 3.3).
PLAYBACK, NUMBER = "com.terndrift-pb", "com.terndrift-try"
LINK, UPLINK, STREAMS = "com.terndrift-link", "com.terndrift-uplink", "com.terndrift-streams"
# Bytes may come this much faster than they play, so that a player keeps a little ahead.
AHEAD = 1.25
# Words of farewell to streamers that may be under way at once; one more is left out, as the streamer ends
# what asks for nothing by itself. Guards the loop against a dead rack whose playbacks all end together.
MOST_FAREWELLS = 64
# Largest playlist that is taken from a streamer.
LARGEST = 256 * 1024


def report(headers):
    """A streamer's figures, from the CMSD entry that brings them: a dict as the decisions take it."""
    text = {name: headers[name] for name in (cmsd.STATIC, cmsd.DYNAMIC) if name in headers}
    said, out = cmsd.parse(text), {}
    for _, params in said.dynamic:
        for key, name in ((LINK, "link"), (UPLINK, "uplink"), (STREAMS, "streams")):
            value = params.get(key)
            if isinstance(value, int | float) and not isinstance(value, bool):
                out[name] = float(value)
    return said, out


class Try:
    """What is out on the wire for a playback."""

    def __init__(self, call, task):
        self.call, self.task = call, task
        self.playlist = self.said = None


class HttpStreamerTransport:
    """`addresses` maps a streamer's id to where it listens; `connect` ns to make a connection. What a
    playback is wanted with (`PlaybackRequest.context`) has its player's CMCD `hints` and its title's
    `rungs`."""

    def __init__(self, runner, pool, addresses, connect):
        self.runner, self.pool, self.addresses, self.connect = runner, pool, addresses, connect
        self.tries = {}  # ActivePlayback -> Try, of tries out and playlists not yet fetched
        self.farewells = set()
        self.pace = None  # of new connections for set-ups, by address: see Call.open

    def rates(self, playback):
        """Bytes a second, rung by rung, of this playback's title and plan."""
        d = self.runner.core.deployment
        ladder = playback.request.rates or d.ladder.rates
        return [kb * 1000 * d.plans[playback.request.plan].scale for kb in ladder]

    def said_to_streamer(self, playback, hints, rung, **more):
        """The CMCD headers of a request to a streamer: the player's hints, with ours where they rule."""
        values, custom = hints.values, hints.custom
        rate = self.rates(playback)[rung]
        pace = min(rate * AHEAD, values["rtp"] * 125) if values.get("rtp") else rate * AHEAD
        own = {
            "sid": values.get("sid") or playback.id,
            "cid": values.get("cid") or playback.request.title[:64],
            "rtp": max(1, kbit(pace)),
            "br": kbit(rate),
            "sf": "h",
            "st": "v",
        }
        custom = {**custom, PLAYBACK: (cmcd.SESSION, playback.id), NUMBER: (cmcd.SESSION, playback.attempts)}
        return cmcd.headers({**values, **own, **more}, custom)

    # What the core calls.

    def set_up(self, playback, streamer, rung, timeout):
        address = self.addresses.get(streamer.id)
        call = Call(self.pool, address or "")
        self.tries[playback] = Try(call, asyncio.ensure_future(self._try(playback, call, rung)))

    def cancel_attempt(self, playback):
        out = self.tries.get(playback)
        if out is None:
            return
        out.call.given_up = True

        async def take_back():
            sent, address = out.call.sent, out.call.address
            await out.call.take_back()
            out.task.cancel()
            self._over(playback, Ending.CALLED_OFF if sent else Ending.NEVER_SENT)
            if sent:
                self._farewell(address, playback.id)  # it may run there with nobody to watch it

        asyncio.ensure_future(take_back())

    def set_rung(self, playback, rung):
        pass  # reaches the player, and the streamer, with the player's next request

    def playlist(self, playback):
        """(playlist, CMSD) of the set-up that came to play; asked for once."""
        out = self.tries.pop(playback)
        return out.playlist, out.said

    def release_playback(self, playback, streamer):
        self.tries.pop(playback, None)
        if address := self.addresses.get(streamer.id):
            self._farewell(address, playback.id)

    # The wire.

    async def _try(self, playback, call, rung):
        plan = self.runner.core.deployment.plans[playback.request.plan]
        if not call.address:
            await asyncio.sleep(0)
            return self._over(playback, Ending.UNREACHED)
        try:
            await call.open(self.connect / SECOND, not plan.repeatable, self.pace)
        except NotNow:
            return self._over(playback, Ending.NEVER_SENT)
        except Unreached:
            return self._over(playback, Ending.UNREACHED)
        if call.given_up:
            return None
        if not self.runner.core.may_send(self.runner.clock.now(), playback):
            self.pool.give(call.address, call.stream)
            return self._over(playback, Ending.NEVER_SENT)
        body = bytearray()

        def collect(chunk):
            body.extend(chunk)
            if len(body) > LARGEST:
                call.close()

        try:
            target = f"/v/{quote(playback.request.title, safe='')}/main.m3u8"
            headers = self.said_to_streamer(playback, playback.request.context.hints, rung, ot="m", su=True)
            code = await call.run("GET", target, headers, on_chunk=collect)
        except Broken:
            return None if call.given_up else self._over(playback, Ending.BROKEN)
        if call.given_up:
            return None
        said, figures = report(call.headers)
        if code != 200:
            # a streamer's 503 is its word that it did nothing (docs/path.md); any other may have run
            return self._over(playback, Ending.FULL if code == 503 else Ending.ERRED, figures)
        out = self.tries[playback]
        try:
            out.playlist = playlists.offered(
                bytes(body), playback.request.context.rungs, plan.floor, playback.request.top
            )
        except playlists.Unusable:
            self._farewell(call.address, playback.id)
            return self._over(playback, Ending.ERRED, figures)
        out.said = said
        return self.runner.run(self.runner.core.set_up_succeeded, playback, figures)

    def _over(self, playback, ending, figures=None):
        self.tries.pop(playback, None)
        self.runner.run(self.runner.core.attempt_ended, playback, ending, figures)

    def _farewell(self, address, id):
        if len(self.farewells) >= MOST_FAREWELLS:
            return

        async def say():
            with suppress(Unreached, Broken):  # gone, or slow: it ends what asks for nothing by itself
                await fetch(self.pool, address, "DELETE", f"/s/{id}", connect=0.25, within=1.0)

        task = asyncio.ensure_future(say())
        self.farewells.add(task)
        task.add_done_callback(self.farewells.discard)

    def close(self):
        for out in list(self.tries.values()):
            out.call.close()
            out.task.cancel()
