"""The front that viewers reach: set-ups in, one answer each, and what stands and is over released."""

import socket
from collections import Counter, deque

from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from terndrift.core.carried import Kind, Stage, Wanted
from terndrift.core.gate import Gate
from terndrift.platform import message as m
from terndrift.platform.message import Unusable, asked, encode, release
from terndrift.platform.settings import streamer_id
from terndrift.platform.wire import Wire, stream

SECOND = 1_000_000_000
MS = 1_000_000
# A connection with nothing on it is closed after so long: bad viewers are owed a close within 3 s of coming,
# good ones close after 4 s themselves, and send once more what crosses the close.
IDLE = 2 * SECOND
# Set-ups open at once: 90 come in a second at the most, and wait some seconds. More is a flood.
OPEN = 400
# Of the descriptors: good viewers hold a third at most, streamers take up to a quarter.
PART = 0.55
# What plays already is handed over when its streamer has said at which rung, some tens of ms later; it may be
# dead, or its connections slow to come up: after so long it is handed over as if at its plan's floor.
EXPECT = SECOND // 2
# A release that no connection can carry is kept for the next one so long: later it is owed no more.
OWED = 8 * SECOND


class Viewing:
    """A playback as its viewer knows it: `about` of what the core is asked."""

    def __init__(self, id, wire, passed):
        self.id, self.wire, self.passed = id, wire, passed
        self.carried = self.description = None


class Front(TCPServer):
    def __init__(self, host, carrier, told, log):
        super().__init__()
        self.host, self.carrier, self.told, self.log = host, carrier, told, log
        self.plans, self.layout = told.abandons, told.layout
        self.ladder = len(told.deployment.ladder.rates)
        self.most = max(8, int(PART * told.sockets))
        self.wires = {}  # Wire -> {id: Viewing} of set-ups open on it, in order of coming
        self.standing = {}  # Wire -> how many of its playbacks stand
        self.served = {}  # Wire -> None: where an answer was given, so that a release is understood
        self.held = {}  # id -> Viewing, open or standing
        self.expected = {}  # id -> (since, streamer, Viewing, what hands it over): it plays already
        self.owed = deque()  # (until, bytes): releases that no connection could carry
        self.gate = Gate(OPEN, told.deployment.seed)
        self.ready, self.leaving = False, False
        carrier.ended = self._ended

    def listen_on(self, address):
        """Raises OSError."""
        sockets = bind_sockets(address[1], address[0], family=socket.AF_INET, backlog=1024)
        self.add_sockets(sockets)
        return sockets[0].getsockname()[:2]

    def _handle_connection(self, connection, address):
        """Tornado makes the stream itself, with bounds of its own; here they are ours."""
        self.handle_stream(stream(connection), address)

    def handle_stream(self, stream, address):
        if len(self.wires) >= self.most:
            quiet = next((w for w in self.wires if not w.link.count), None)
            if quiet is None:
                stream.close()
                return
            quiet.close("too many connections")
        wire = Wire(stream, self.host.clock, self._heard, self._closed)
        self.wires[wire], self.standing[wire] = {}, 0

    def every_quarter(self):
        """Bounds in time; called four times a second."""
        now = self.host.clock.now()
        for wire, open in list(self.wires.items()):
            if wire.link.overdue(now):
                wire.close("stops short")
            elif not open and not self.standing[wire] and now - wire.link.heard > IDLE:
                wire.close("idle")
        for since, *_, told in list(self.expected.values()):
            if now - since > EXPECT:
                told(0)
        while self.owed and self.owed[0][0] < now:
            self.owed.popleft()

    # What viewers say.

    def _heard(self, wire, got):
        # a set-up that is taken back in the same breath, or comes twice, is never taken: guards streamers
        # against hundreds of them at once; no good viewer's is, as it waits for its answer
        back = {one.id for one in got if one.type == m.RELEASE}
        often = Counter(one.id for one in got if one.type == m.SET_UP)
        for message in got:
            if not wire.up():
                return
            if message.type == m.SET_UP and (message.id in back or often[message.id] > 1):
                wire.send(release(message.id, m.UNUSABLE))
            else:
                self._message(wire, message)

    def _message(self, wire, message):
        if message.type == m.SET_UP:
            self._set_up(wire, message)
        elif message.type == m.RELEASE:
            self._released(wire, message.id)
        elif message.type == m.TEST:
            wire.send(encode(m.TESTED, message.id, (m.CAUSE, bytes([self.ready]))))
        elif message.type not in (m.PROGRESS, m.RELEASE_HEARD, m.TESTED):
            wire.close(f"a message of type {message.type}")

    def _set_up(self, wire, message):
        before, now = self.held.get(message.id), self.host.clock.now()
        try:
            said = asked(message, self.plans, self.layout.cells)
            if said.plays_at is not None:
                if before is None and message.id not in self.expected:
                    self._expect(wire, message.id, said)
                return
            if before is not None or message.id in self.expected:
                raise Unusable("an id that is in use")
        except Unusable as wrong:
            self.log.debug("unusable", why=str(wrong))
            if before is not None and before.id in self.wires[wire]:
                self._give_up(before)  # one answer can't stand for two
            wire.send(release(message.id, m.UNUSABLE))
            return
        if self.leaving:
            self._reject(wire, message.id, self.host.core.controller.advice)
            return
        if come_back := self.gate.enter(now, wire):
            self._reject(wire, message.id, come_back)
            return
        viewing = Viewing(message.id, wire, said.passed)
        self.held[message.id] = self.wires[wire][message.id] = viewing
        viewing.carried = self.host.do(self.host.core.want, self._wanted(viewing, said), self.carrier,
                                       lambda answer: self._answered(viewing, answer))

    def _wanted(self, viewing, said):
        top = min(said.top, self.told.deployment.plans[said.plan].top, self.ladder - 1)
        return Wanted(said.plan, said.title, self.layout.holders(said.first_cell, said.copies), top,
                      said.time_left, said.length, about=viewing)

    def _expect(self, wire, id, said):
        """What plays already. The decisions are handed it with the rung in force, as one told of it without
        would at once correct a rung that it only guessed."""
        streamer, viewing = streamer_id(said.plays_at), Viewing(id, wire, said.passed)

        def told(rung):
            self.expected.pop(id, None)
            self.carrier.expect_no_more(streamer, id)
            self._hand_over(viewing, said, streamer, rung)

        self.standing[wire] += 1
        if self.carrier.expect(streamer, id, told):
            self.expected[id] = self.host.clock.now(), streamer, viewing, told
            self.served[wire] = None
        else:
            self.log.warning("handed over at a streamer that is not listed", streamer=said.plays_at)
            told(None)

    def _hand_over(self, viewing, said, streamer, rung):
        if rung is not None:
            rung = min(max(rung, self.told.deployment.plans[said.plan].floor), self.ladder - 1)
            viewing.carried = self.host.do(self.host.core.hand_over, self._wanted(viewing, said),
                                           self.carrier, streamer, rung)
        if viewing.carried is None or viewing.carried.stage is Stage.OVER:
            self._forget(viewing)
            self._release(viewing)
            return
        self.held[viewing.id] = viewing
        self.carrier.handed_over(viewing.carried)

    def _released(self, wire, id):
        viewing = self.held.get(id)
        wire.send(encode(m.RELEASE_HEARD, id))
        if id in self.expected:
            _, streamer, expected, _ = self.expected.pop(id)
            self._forget(expected)
            self.carrier.expect_no_more(streamer, id, ended=True)
        if viewing is None:
            return
        if viewing.carried.answer is None:
            if viewing.wire is wire:
                self._give_up(viewing)
        else:
            self._forget(viewing)
            self._left(viewing)

    def _left(self, viewing):
        """Its viewer has left. The two no longer hold each other: what only a full collection frees stays for
        many minutes, as those are rare (process.py); a soak's memory grew by it, 1.5 MB a quarter."""
        self.host.do(self.host.core.left, viewing.carried)
        viewing.carried = None

    def _give_up(self, viewing):
        self._close(viewing)
        self.held.pop(viewing.id, None)
        self._left(viewing)

    def _closed(self, wire):
        open = self.wires.pop(wire)
        self.standing.pop(wire)
        self.served.pop(wire, None)
        for viewing in open.values():
            self._give_up(viewing)

    def farewell(self):
        """The controller ends: a last word for everything, to viewers first, and nothing new. The core is
        left as it is: hundreds of ends in its books would take longer than there is."""
        self.stop()
        self.leaving = True
        for viewing in self.held.values():
            if viewing.carried.answer is None:
                self._say_no(viewing, self.host.core.last_answer(viewing.carried))
            else:
                self._release(viewing)
        self.held.clear()
        self.carrier.farewell()

    # What viewers are told.

    def _close(self, viewing):
        """The set-up is no longer open."""
        if viewing.wire in self.wires:
            del self.wires[viewing.wire][viewing.id]
        self.gate.leave(self.host.clock.now(), viewing.wire)

    def _answered(self, viewing, answer):
        wire = viewing.wire
        self._close(viewing)
        if answer.kind is Kind.PLAYS:
            self.standing[wire] += 1
            self.served[wire] = None
            if not wire.send(encode(m.ANSWER, viewing.id, (m.DESCRIPTION, viewing.description))):
                # its connection has just ended: nobody knows that it stands
                self._forget(viewing)
                self._left(viewing)
                return
            while self.owed:
                wire.send(self.owed.popleft()[1])
            return
        del self.held[viewing.id]
        self._say_no(viewing, answer)

    def _say_no(self, viewing, answer):
        if answer.kind is Kind.ABORTED:
            viewing.wire.send(release(viewing.id, m.ABORTED))
        else:
            self._reject(viewing.wire, viewing.id, answer.come_back)

    def _reject(self, wire, id, come_back):
        """`come_back`: ns to stay away, 0: no advice; no longer than viewers follow, if they do."""
        come_back = min(come_back, self.told.deployment.rules.longest_advice)
        advice = [(m.ADVICE, str(come_back // MS))] if come_back else []
        wire.send(release(id, m.REJECTED, *advice))

    def _forget(self, viewing):
        self.held.pop(viewing.id, None)
        if viewing.wire in self.standing:
            self.standing[viewing.wire] -= 1

    def _ended(self, carried, by_viewer):
        """What stood is over, its streamer says."""
        viewing = carried.wanted.about
        if self.held.get(viewing.id) is not viewing:
            return
        self._forget(viewing)
        viewing.carried = None
        if not by_viewer:
            self._release(viewing)

    def _release(self, viewing):
        """What stood is over; nobody but the controller tells the viewer."""
        data = release(viewing.id, m.OVER)
        if not viewing.wire.send(data) and not any(wire.send(data) for wire in self.served):
            self.owed.append((self.host.clock.now() + OWED, data))
