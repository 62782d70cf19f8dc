"""The front that viewers reach: set-ups in, one answer each, and what stands and is over released."""

from collections import Counter, deque

from terndrift.core.carried import Kind, Stage, Wanted
from terndrift.core.gate import Gate
from terndrift.platform import message as m
from terndrift.platform.connection import Connection, stream
from terndrift.platform.listener import Listener
from terndrift.platform.message import Unusable, asked, encode, release
from terndrift.platform.settings import streamer_id

SECOND = 1_000_000_000
MS = 1_000_000
# A connection with nothing on it is closed after so long: bad viewers are owed a close within 3 s of coming,
# good ones close after 4 s themselves, and send once more what crosses the close.
IDLE = 2 * SECOND
# Set-ups that come in a second at the most (DAYS); each is open while its viewer waits. More is a flood.
MOST_A_SECOND = 90
# What plays already is handed over when its streamer has said at which rung, some tens of ms later; it may be
# dead, or its connections slow to come up: after so long it is handed over as if at its plan's floor.
EXPECT = SECOND // 2
# A release that no connection can carry is kept for the next one so long: later it is owed no more.
OWED = 8 * SECOND


class Viewing:
    """A playback as its viewer knows it: `about` of what the core is asked."""

    def __init__(self, id, connection, passed):
        self.id, self.connection, self.passed = id, connection, passed
        self.carried = self.description = None

    def gone(self):
        """Whether the viewer's connection has ended."""
        return not self.connection.up()

    def unread(self):
        """Whether something from its connection waits to be read, which may take the set-up back."""
        return self.connection.unread()


def most_open(deadlines):
    """Set-ups open at once; `deadlines`: plan -> ns that its viewers wait at most."""
    return max(MOST_A_SECOND, MOST_A_SECOND * max(deadlines.values(), default=0) // SECOND)


class Front:
    """The connections of viewers, the set-ups open on them, and the playbacks that stand."""

    def __init__(self, host, carrier, configuration, log):
        self.host, self.carrier, self.configuration, self.log = host, carrier, configuration, log
        self.deadlines, self.layout = configuration.deadlines, configuration.layout
        self.ladder = len(configuration.deployment.ladder.rates)
        self.most = configuration.descriptors.viewers
        self.listener = Listener(self._accepted, self._close_quiet, log)
        self.connections = {}  # Connection -> {id: Viewing} of set-ups open on it, in order of coming
        self.standing = {}  # Connection -> how many of its playbacks stand
        self.served = {}  # Connection -> None: where an answer was given, so that a release is understood
        self.held = {}  # id -> Viewing, open or standing
        self.expected = {}  # id -> (since, streamer, Viewing, what hands it over): it plays already
        self.owed = deque()  # (until, bytes): releases that no connection could carry
        self.gate = Gate(most_open(self.deadlines), configuration.deployment.seed)
        self.ready, self.leaving = False, False
        carrier.ended = self._ended

    def listen_on(self, address):
        """Raises OSError."""
        return self.listener.listen_on(address)

    def _accepted(self, sock):
        if len(self.connections) >= self.most and not self._close_quiet():
            sock.close()
            return
        connection = Connection(stream(sock), self.host.clock, self._received, self._closed)
        self.connections[connection], self.standing[connection] = {}, 0

    def _close_quiet(self):
        """Closes a connection that nobody will miss, and says whether there was one: the first of those that
        have said nothing, else of those with nothing on them the one that was idle for longest."""
        unused = [
            one for one, open in self.connections.items() if one.up() and not open and not self.standing[one]
        ]
        unused.sort(key=lambda one: (one.link.count > 0, one.idle_since()))
        victim = next((one for one in unused if not one.unread()), None)
        if victim is None:
            return False
        victim.close("too many connections")
        return True

    def every_quarter(self):
        """Bounds in time; called four times a second."""
        now = self.host.clock.now()
        for connection, open in list(self.connections.items()):
            if connection.link.overdue(now):
                connection.close("stops short")
            elif (
                not open
                and not self.standing[connection]
                and now - connection.link.heard > IDLE
                and not connection.unread()
            ):  # a set-up that has come is not closed upon
                connection.close("idle")
        for id, (since, *_, told) in list(self.expected.items()):
            if now - since > EXPECT and id in self.expected:
                told(0)
        while self.owed and self.owed[0][0] < now:
            self.owed.popleft()

    # What viewers say.

    def _received(self, connection, got):
        # a set-up that is taken back in the same read, or comes twice, is never taken: guards streamers
        # against hundreds of them at once; no good viewer's is, as it waits for its answer. Not of what plays
        # already: nothing is sent for that, and its release is owed to its streamer
        back = {one.id for one in got if one.type == m.RELEASE}
        often = Counter(one.id for one in got if one.type == m.SET_UP and not m.plays_already(one))
        for message in got:
            if not connection.up():
                return
            if (
                message.type == m.SET_UP
                and not m.plays_already(message)
                and (message.id in back or often[message.id] > 1)
            ):
                connection.send(release(message.id, m.UNUSABLE))
            else:
                self._message(connection, message)

    def _message(self, connection, message):
        if message.type == m.SET_UP:
            self._set_up(connection, message)
        elif message.type == m.RELEASE:
            self._released(connection, message.id)
        elif message.type == m.TEST:
            connection.send(encode(m.TESTED, message.id, (m.CAUSE, bytes([self.ready]))))
        elif message.type not in (m.PROGRESS, m.RELEASE_HEARD, m.TESTED):
            connection.close(f"a message of type {message.type}")

    def _set_up(self, connection, message):
        before, now = self.held.get(message.id), self.host.clock.now()
        try:
            said = asked(message, self.deadlines, self.layout.cells)
            if said.plays_at is not None:
                if before is None and message.id not in self.expected and not self.leaving:
                    self._expect(connection, message.id, said)
                return
            if before is not None or message.id in self.expected or self.carrier.holds(message.id):
                raise Unusable("an id that is in use")
        except Unusable as wrong:
            self.log.debug("unusable", why=str(wrong))
            if before is not None and before.id in self.connections[connection]:
                self._give_up(before)  # one answer can't stand for two
            connection.send(release(message.id, m.UNUSABLE))
            return
        if self.leaving:
            self._reject(connection, message.id, self.host.core.controller.advice)
            return
        if come_back := self.gate.enter(now, connection):
            self._reject(connection, message.id, come_back)
            return
        viewing = Viewing(message.id, connection, said.passed)
        self.held[message.id] = self.connections[connection][message.id] = viewing
        viewing.carried = self.host.do(
            self.host.core.want,
            self._wanted(viewing, said),
            self.carrier,
            lambda answer: self._answered(viewing, answer),
        )

    def _wanted(self, viewing, said):
        top = min(said.top, self.configuration.deployment.plans[said.plan].top, self.ladder - 1)
        return Wanted(
            said.plan,
            said.title,
            self.layout.holders(said.first_cell, said.copies),
            top,
            said.time_left,
            said.length,
            about=viewing,
        )

    def _expect(self, connection, id, said):
        """What plays already. The decisions are handed it with the rung in force, as one told of it without
        would at once correct a rung that it only guessed."""
        streamer, viewing = streamer_id(said.plays_at), Viewing(id, connection, said.passed)

        def told(rung):
            self.expected.pop(id, None)
            self.carrier.expect_no_more(streamer, id)
            self._hand_over(viewing, said, streamer, rung)

        self.standing[connection] += 1
        if self.carrier.expect(streamer, id, told):
            self.expected[id] = self.host.clock.now(), streamer, viewing, told
            self.served[connection] = None
        else:
            self.log.warning("handed over at a streamer that is not listed", streamer=said.plays_at)
            told(None)

    def _hand_over(self, viewing, said, streamer, rung):
        if rung is not None:
            rung = min(max(rung, self.configuration.deployment.plans[said.plan].floor), self.ladder - 1)
            viewing.carried = self.host.do(
                self.host.core.hand_over, self._wanted(viewing, said), self.carrier, streamer, rung
            )
        if viewing.carried is None or viewing.carried.stage is Stage.OVER:
            self._forget(viewing)
            self._release(viewing)
            return
        self.held[viewing.id] = viewing
        self.carrier.handed_over(viewing.carried)

    def _released(self, connection, id):
        viewing = self.held.get(id)
        connection.send(encode(m.RELEASE_HEARD, id))
        if id in self.expected:
            _, streamer, expected, _ = self.expected.pop(id)
            self._forget(expected)
            self.carrier.expect_no_more(streamer, id, ended=True)
        if viewing is None:
            return
        if viewing.carried.answer is None:
            self._give_up(viewing)  # from whatever connection it comes, as the end of what stands may
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

    def _closed(self, connection):
        open = self.connections.pop(connection)
        self.standing.pop(connection)
        self.served.pop(connection, None)
        for viewing in open.values():
            self._give_up(viewing)

    def last_answers(self):
        """The controller ends: the last answer to every set-up, a release of all that stands. The host is
        stopped first: an answer or a refusal of a streamer that is on its way leads to nothing any more, no
        second answer and no further attempt. Set-ups that come later are rejected."""
        self.leaving = True
        self.host.stop()
        for viewing in self.held.values():
            if viewing.carried.answer is None:
                self._say_no(viewing, self.host.core.last_answer(viewing.carried))
            else:
                self._release(viewing)
        for _, _, viewing, _ in self.expected.values():
            self._release(viewing)
        self.carrier.last_releases()
        self.held.clear()
        self.expected.clear()
        for open in self.connections.values():
            open.clear()

    def finish(self):
        """Nothing more is said to anybody."""
        for connection in list(self.connections):
            connection.finish("the controller ends")

    # What viewers are told.

    def _close(self, viewing):
        """The set-up is no longer open."""
        if viewing.connection in self.connections:
            del self.connections[viewing.connection][viewing.id]
        self.gate.leave(self.host.clock.now(), viewing.connection)

    def _answered(self, viewing, answer):
        connection = viewing.connection
        self._close(viewing)
        if answer.kind is Kind.PLAYS:
            self.standing[connection] += 1
            self.served[connection] = None
            if not connection.send(encode(m.ANSWER, viewing.id, (m.DESCRIPTION, viewing.description))):
                # its connection has just ended: nobody knows that it stands
                self._forget(viewing)
                self._left(viewing)
                return
            while self.owed and connection.send(self.owed[0][1]):
                self.owed.popleft()
            return
        del self.held[viewing.id]
        self._say_no(viewing, answer)

    def _say_no(self, viewing, answer):
        if answer.kind is Kind.ABORTED:
            viewing.connection.send(release(viewing.id, m.FAILED))
        else:
            self._reject(viewing.connection, viewing.id, answer.come_back)

    def _reject(self, connection, id, come_back):
        """`come_back`: ns to stay away, 0: no advice; no longer than viewers follow, if they do."""
        come_back = min(come_back, self.configuration.deployment.rules.longest_advice)
        advice = [(m.ADVICE, str(come_back // MS))] if come_back else []
        connection.send(release(id, m.REJECTED, *advice))

    def _forget(self, viewing):
        self.held.pop(viewing.id, None)
        if viewing.connection in self.standing:
            self.standing[viewing.connection] -= 1

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
        if not viewing.connection.send(data) and not any(connection.send(data) for connection in self.served):
            self.owed.append((self.host.clock.now() + OWED, data))
