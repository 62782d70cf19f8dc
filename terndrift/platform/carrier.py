"""Carries set-up tries to streamers in the platform's messages, and hears what they say of what plays there.

Each streamer has a few connections. A set-up takes one that has none out, or a new one: where answers come
spoilt, a connection takes down with it all that is open on it (DAYS, "Bad peers").
"""

import asyncio

from tornado.ioloop import IOLoop

from terndrift.http.client import NotTaken, Unreached, connect
from terndrift.interface import Ending, Standing
from terndrift.platform import message as m
from terndrift.platform.message import Unusable, encode
from terndrift.platform.wire import Wire, stream

SECOND = 1_000_000_000
MS = 1_000_000
# Connections to one streamer at most; further set-ups share them.
MOST = 4
# A message of a streamer that has begun is whole within so long: it is written in one piece, ways take ms.
HALF = SECOND // 2
# A streamer with playbacks says something of its link at least as often as the settings tell; silence over
# this many times that is checked by a new connection, which what has vanished never lets come up.
SILENT = 1.25
# A try given up is out until its streamer has heard of it: connections run side by side, the next try must
# not overtake the word (two tries of one playback were out at once, under load). Streamers may say "release
# heard"; so long is waited for it: the slack of the platform's own time limits.
CONFIRM = 0.05
# Connections in a row that were turned away, or did not come up, until what played there counts as cut.
GONE_AFTER = 2
AGAIN = 0.15  # seconds between them


class Out:
    """A try that is out: on its way to a connection, on one, or given up and not yet over."""

    def __init__(self, carried, peer):
        self.carried, self.peer, self.id = carried, peer, carried.wanted.about.id
        self.wire = self.task = None


class Peer:
    """A streamer and the connections to it."""

    def __init__(self, entry, name, address):
        self.id, self.started, self.name, self.address = entry.id, entry.started, name, address
        self.gone = False
        self.wires = {}  # Wire -> {playback's id: Out} of tries on it
        self.connecting = 0
        self.playing = {}  # id -> Carried
        self.expected = {}  # id -> called with the rung of what plays there and is to be handed over
        self.waiting = []  # bytes to send once a connection is up
        self.heard, self.keeper = 0, None

    def idle(self):
        return not (self.playing or self.expected or self.connecting or self.waiting
                    or any(self.wires.values()))


class Carrier:
    """`ended(carried, by_viewer)` tells the front that what played is over, as its streamer says."""

    def __init__(self, host, told, log):
        self.host, self.told, self.log = host, told, log
        self.peers, self.tries = {}, {}  # id -> Peer; Carried -> Out
        self.leaving = {}  # playback's id -> Out, of tries given up
        self.ended, self.closing = lambda carried, by_viewer: None, False

    def listed(self, entry, name, address):
        """A line of the list; called before the core hears of it."""
        peer = self.peers.get(entry.id)
        gone = entry.standing is Standing.GONE
        if peer is None:
            if gone:
                return
            peer = self.peers[entry.id] = Peer(entry, name, address)
        if entry.started != peer.started or address and address != peer.address and not gone:
            # started anew: what played there before is over, and its connections are of the old process
            self._cut(peer, "started anew")
            for wire in list(peer.wires):
                wire.close("streamer started anew")
        peer.gone, peer.started = gone, entry.started
        if address and not gone:
            peer.address = address

    def only(self, ids):
        """A whole list: what it does not name is gone."""
        for id, peer in self.peers.items():
            peer.gone |= id not in ids

    # What the core calls.

    def set_up(self, carried, streamer, rung, time_out):
        peer, due = self.peers.get(streamer.id), self.host.clock.now() + time_out
        out = self.tries[carried] = Out(carried, peer)
        if peer is None:
            return self._over(out, Ending.UNREACHED)
        free = [w for w in peer.wires if w.up()]
        wire = next((w for w in free if not peer.wires[w]), None)
        if wire is None and len(free) + peer.connecting >= MOST and free:
            wire = min(free, key=lambda w: len(peer.wires[w]))
        if wire is not None:
            return self._send(out, wire, rung, due)
        out.task = asyncio.ensure_future(self._connect_and_send(out, rung, due))
        return None

    def call_off(self, carried):
        out = self.tries[carried]
        if out.wire is None:
            out.task.cancel()
            return self._over(out, Ending.NEVER_SENT)
        out.peer.wires.get(out.wire, {}).pop(out.id, None)
        out.wire.send(m.release(out.id, m.OVER))
        self.leaving[out.id] = out
        return self._over_soon(out, Ending.CALLED_OFF)

    def set_rung(self, carried, rung):
        if peer := self.peers.get(carried.streamer.id):
            self._say(peer, encode(m.RUNG, carried.wanted.about.id, (m.RUNG_NO, str(rung))))

    def let_go(self, carried, streamer):
        """What played is over; unless its streamer said so itself, it is told."""
        peer = self.peers.get(streamer.id)
        if peer and peer.playing.pop(carried.wanted.about.id, None):
            self._say(peer, m.release(carried.wanted.about.id, m.OVER))

    def expect(self, streamer, id, told):
        """What plays there already is to be handed over: `told(rung)` is called when its streamer says at
        which rung (None: that it is over). False: no such streamer is listed."""
        peer = self.peers.get(streamer)
        if peer is None:
            return False
        peer.expected[id] = told
        self._keep(peer)
        return True

    def handed_over(self, carried):
        self.peers[carried.streamer.id].playing[carried.wanted.about.id] = carried

    def expect_no_more(self, streamer, id, ended=False):
        """`ended`: its viewer has ended it."""
        if peer := self.peers.get(streamer):
            peer.expected.pop(id, None)
            if ended:
                self._say(peer, m.release(id, m.OVER))

    # Connections.

    async def _open(self, peer):
        """A new Wire; raises Unreached."""
        peer.connecting += 1
        try:
            to = stream()
            await connect(to, peer.address, self.told.connect / SECOND)
        except OSError as wrong:  # no descriptor is left for it
            raise Unreached(str(wrong)) from None
        finally:
            peer.connecting -= 1
        wire = Wire(to, self.host.clock, lambda w, got: [self._heard(peer, w, one) for one in got],
                    lambda w: self._closed(peer, w), HALF)
        peer.wires[wire], peer.heard = {}, self.host.clock.now()
        for data in peer.waiting:
            wire.send(data)
        peer.waiting.clear()
        return wire

    async def _connect_and_send(self, out, rung, due):
        try:
            wire = await self._open(out.peer)
        except Unreached as wrong:
            # a process that dies takes its connections with it: one that has others up and took no more holds
            # as many as it takes, and is not ill. Not after a time-out: a machine that vanished leaves
            # its connections open
            up = [w for w in out.peer.wires if w.up()] if isinstance(wrong, NotTaken) else []
            if not up:
                return self._over(out, Ending.UNREACHED)
            wire = min(up, key=lambda w: len(out.peer.wires[w]))
        return self._send(out, wire, rung, due)

    def _send(self, out, wire, rung, due):
        now, about = self.host.clock.now(), out.carried.wanted.about
        if not self.host.core.may_send(now, out.carried) or due <= now:
            return self._over(out, Ending.NEVER_SENT)
        parts = [*about.passed, (m.WAIT, str(max(1, (due - now) // MS))), (m.RUNG_NO, str(rung))]
        if not wire.send(encode(m.SET_UP, out.id, *parts)):
            return self._over(out, Ending.NEVER_SENT)
        out.wire = wire
        out.peer.wires[wire][out.id] = out
        return None

    def _say(self, peer, data):
        """On any connection, or on one made for it."""
        for wire in peer.wires:
            if wire.send(data):
                return
        if len(peer.waiting) < 1000:  # what one dead streamer could leave unsaid
            peer.waiting.append(data)
        self._keep(peer)

    def _closed(self, peer, wire):
        tries = peer.wires.pop(wire, {})
        if wire.why.startswith("unreadable") or tries:
            self.log.info("streamer's connection ended", streamer=peer.name, why=wire.why, tries=len(tries))
        for out in tries.values():
            # one closed from this side: the streamer is yet to hear of it
            (self._over_soon if wire.by_us else self._over)(out, Ending.BROKEN)
        if peer.playing or peer.expected:
            # where one has ended others may be of a dead process too, silent and open
            self._keep(peer, check=not wire.by_us)

    def _keep(self, peer, check=False):
        if not self.closing and peer.keeper is None and (check or not any(w.up() for w in peer.wires)):
            peer.keeper = asyncio.ensure_future(self._kept(peer, check))

    async def _kept(self, peer, check):
        """A connection to a streamer where something plays, or must be said; `check`: a new one, as those
        that are open may be of what has vanished."""
        try:
            for n in range(GONE_AFTER):
                if peer.gone:  # its address may be another's by now
                    break
                if n:
                    await asyncio.sleep(AGAIN)
                if not check and any(w.up() for w in peer.wires):
                    return
                try:
                    fresh = await self._open(peer)
                except Unreached as wrong:
                    self.log.info("streamer not reached", streamer=peer.name, why=str(wrong))
                    continue
                spare = [w for w, tries in peer.wires.items() if w is not fresh and not tries]
                for wire in spare[:max(0, len(peer.wires) - MOST)]:  # the oldest, which may be dead
                    wire.close("replaced")
                return
            if check or not peer.wires:
                peer.waiting.clear()
                self._cut(peer, "not reached")
                for wire in list(peer.wires):
                    wire.close("streamer not reached")
        finally:
            peer.keeper = None

    def _cut(self, peer, why):
        if peer.playing:
            self.log.info("what played is cut", streamer=peer.name, why=why, playbacks=len(peer.playing))
        for told in list(peer.expected.values()):
            told(None)
        for carried in list(peer.playing.values()):
            self._ended(peer, carried, Ending.BROKEN, None)

    def every_quarter(self):
        """Bounds in time; called four times a second."""
        now = self.host.clock.now()
        for id, peer in list(self.peers.items()):
            for wire in list(peer.wires):
                if wire.link.overdue(now):
                    wire.close("unreadable: stops short")
            if peer.playing and self.told.tell_every and peer.keeper is None:
                silent = now - peer.heard
                if silent > SILENT * self.told.tell_every + self.told.deployment.links.lag:
                    self._keep(peer, check=True)
            if peer.gone and peer.idle():
                for wire in list(peer.wires):
                    wire.close("streamer gone")
                del self.peers[id]

    def farewell(self):
        """The controller ends: streamers are told of all that is out or plays, where a connection is open."""
        self.closing = True
        for out in self.tries.values():
            if out.wire:
                out.wire.send(m.release(out.id, m.OVER))
        for peer in self.peers.values():
            if wire := next((w for w in peer.wires if w.up()), None):
                wire.send(b"".join(m.release(id, m.OVER) for id in peer.playing))

    def close(self):
        self.closing = True
        for peer in self.peers.values():
            if peer.keeper:
                peer.keeper.cancel()
            for wire in list(peer.wires):
                wire.close("the controller ends")

    # What streamers say.

    def _heard(self, peer, wire, message):
        if not wire.up():
            return
        peer.heard = self.host.clock.now()
        tries = peer.wires.get(wire, {})
        if message.type == m.ANSWER:
            if out := tries.get(message.id):
                self._answered(peer, wire, out, message)
        elif message.type == m.RELEASE:
            if out := tries.pop(message.id, None):
                self._over(out, m.TRY_ENDINGS.get(message.cause, Ending.BROKEN), m.report(message))
            elif out := self._leaving(message.id, wire):
                self._over(out, Ending.CALLED_OFF)
            elif told := peer.expected.get(message.id):
                told(None)
            elif carried := peer.playing.get(message.id):
                ending = m.PLAY_ENDINGS.get(message.cause, Ending.BROKEN)
                self._ended(peer, carried, ending, m.report(message))
        elif message.type == m.NOTE:
            self._noted(peer, message)
        elif message.type == m.RELEASE_HEARD:
            if out := self._leaving(message.id, wire):
                self._over(out, Ending.CALLED_OFF)
        elif message.type not in (m.PROGRESS, m.TESTED):
            wire.close(f"unreadable: a message of type {message.type}")

    def _leaving(self, id, wire):
        out = self.leaving.get(id)
        return out if out and out.wire is wire else None

    def _answered(self, peer, wire, out, message):
        if m.DESCRIPTION not in message.parts:
            wire.close("unreadable: an answer without a description")
            return
        del peer.wires[wire][message.id], self.tries[out.carried]
        out.carried.wanted.about.description = message.parts[m.DESCRIPTION]
        peer.playing[message.id] = out.carried
        self.host.do(self.host.core.began, out.carried, m.report(message))

    def _ended(self, peer, carried, ending, report):
        self.log.debug("ended", streamer=peer.id, pb=carried.id, ending=ending.name, report=report)
        peer.playing.pop(carried.wanted.about.id, None)
        self.ended(carried, ending is Ending.CALLED_OFF)
        self.host.do(self.host.core.over, carried, ending, report)

    def _noted(self, peer, message):
        try:
            name, value = message.text(m.NOTE_NAME), message.number(m.NOTE_VALUE)
        except Unusable:
            return
        if name == "at_rung" and message.id in peer.expected:
            peer.expected[message.id](int(value))
        carried, do, core = peer.playing.get(message.id), self.host.do, self.host.core
        if carried is None:
            return
        self.log.debug("note", streamer=peer.id, pb=carried.id, name=name, value=value)
        if name == "served":
            do(core.told_share, peer.id, value)
        elif name == "at_rung":
            do(core.rung_stands, carried, int(value))
        elif name == "link_use":
            do(core.told_use, carried, value, None)
        elif name == "rack_use":
            do(core.told_use, carried, None, value)

    def _over(self, out, ending, report=None):
        if self.tries.get(out.carried) is out:
            del self.tries[out.carried]
            if self.leaving.get(out.id) is out:
                del self.leaving[out.id]
            self.host.do(self.host.core.try_over, out.carried, ending, report)

    def _over_soon(self, out, ending):
        IOLoop.current().call_later(CONFIRM, self._over, out, ending)
