"""Carries set-up attempts to streamers in the platform's messages, and hears what they say of what plays."""

import asyncio

from tornado.ioloop import IOLoop

from terndrift.http.client import NotTaken, Unreached, connect
from terndrift.interface import Ending, Standing
from terndrift.platform import message as m
from terndrift.platform.attempt import Attempt, AttemptState
from terndrift.platform.connection import Connection, stream
from terndrift.platform.message import Unusable, encode
from terndrift.platform.peer import MOST, Peer

SECOND = 1_000_000_000
MS = 1_000_000
# A message of a streamer that has begun is whole within so long: it is written in one piece, ways take ms.
HALF = SECOND // 2
# A streamer with playbacks says something of its link at least as often as the settings tell; silence over
# this many times that is checked by a new connection, which what has vanished never lets come up.
SILENT = 1.25
# An attempt given up is out until its streamer has heard of it: connections run side by side, the next
# attempt must not overtake the word (two attempts of one playback were out at once, under load). Streamers
# may say "release heard"; so long is waited for it: the slack of the platform's own time limits.
CONFIRM = 0.05
# Connections in a row that were turned away, or did not come up, until what played there counts as cut.
GONE_AFTER = 2
AGAIN = 0.15  # seconds between them
# Between looks at what is idle (ns), as often as `every_quarter` is called.
QUARTER = SECOND // 4
# Turns of the loop within which bytes that wait in a viewer's socket are read and acted on: one for the read,
# one for the task that it wakes, and one as this turn's read may be over already.
TURNS = 3
# A loop that took so long (ns) from the choice of an attempt to its beginning may have a cancel of it unread
# on any connection: half of the 0.1 s within which no attempt may begin any more.
HELD_UP = SECOND // 20


class ListedAnew(Unreached):
    """The streamer's line of the list changed while the connection was made: it may lead to another one."""


class NoDescriptor(Unreached):
    """As many connections to streamers are held as may be, and none of them is idle."""


class Carrier:
    """`ended(carried, by_viewer)` tells the front that what played is over, as its streamer says."""

    def __init__(self, host, configuration, log):
        self.host, self.configuration, self.log = host, configuration, log
        self.peers, self.attempts = {}, {}  # id -> Peer; Carried -> Attempt
        self.cancelled = {}  # playback's id -> Attempt that was given up and may still be out
        self.queue = []  # attempts that begin in the next turn of the loop
        self.ended, self.closing = lambda carried, by_viewer: None, False
        keepalive = configuration.keepalive
        # a set-up that goes out now is there within the time to connect: where that and a look at what is
        # idle come before the streamer's own time is up, the connection is still its
        self.stale_after = max(keepalive - configuration.connect - QUARTER, keepalive // 2)

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
            for connection in list(peer.connections):
                connection.close("streamer started anew")
        peer.gone, peer.started = gone, entry.started
        if address and not gone:
            peer.address = address

    def only(self, ids):
        """A whole list: what it does not name is gone."""
        for id, peer in self.peers.items():
            peer.gone |= id not in ids

    # What the core calls.

    def set_up(self, carried, streamer, rung, time_out):
        peer = self.peers.get(streamer.id)
        attempt = self.attempts[carried] = Attempt(carried, peer, rung, self.host.clock.now() + time_out)
        if peer is None:
            return self._over(attempt, Ending.UNREACHED)
        self._begin_soon(attempt)
        return None

    def call_off(self, carried):
        attempt = self.attempts[carried]
        if attempt.state is AttemptState.CONNECTING:
            if attempt.task is not None:
                attempt.task.cancel()
            return self._over(attempt, Ending.NEVER_SENT)
        attempt.turn(AttemptState.CANCELLED)
        attempt.peer.connections.get(attempt.connection, {}).pop(attempt.id, None)
        attempt.connection.send(m.release(attempt.id, m.OVER))
        self.cancelled[attempt.id] = attempt
        return self._over_soon(attempt, Ending.CALLED_OFF)

    def set_rung(self, carried, rung):
        if peer := self.peers.get(carried.streamer.id):
            self._say(peer, encode(m.RUNG, carried.wanted.about.id, (m.RUNG_NO, str(rung))))

    def let_go(self, carried, streamer):
        """What played is over; unless its streamer said so itself, it is told."""
        peer = self.peers.get(streamer.id)
        if peer and peer.playing.pop(carried.wanted.about.id, None):
            self._say(peer, m.release(carried.wanted.about.id, m.OVER))

    # What the front calls.

    def holds(self, id):
        """Whether an earlier use of a playback's id is not over yet at some streamer: what that streamer
        says of it could not be told from what it says of a new one."""
        return id in self.cancelled

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

    def _stale(self, connection):
        return self.host.clock.now() - connection.idle_since() >= self.stale_after

    def _for_set_up(self, peer):
        return peer.for_set_up(self._stale, self.configuration.most_on_connection)

    def _make_room(self):
        """Closes the one that was idle for longest if as many are held as may be; raises NoDescriptor."""
        held = sum(len(peer.connections) + peer.connecting for peer in self.peers.values())
        if held < self.configuration.descriptors.streamers:
            return
        spare = [
            one
            for peer in self.peers.values()
            for one, attempts in peer.connections.items()
            if one.up() and not attempts and (len(peer.connections) > 1 or not peer.playing)
        ]
        if not spare:
            raise NoDescriptor(f"{held} connections to streamers")
        min(spare, key=Connection.idle_since).close("room for another")

    async def _open(self, peer):
        """A new connection; raises Unreached."""
        self._make_room()
        listed = peer.address, peer.started
        peer.connecting += 1
        try:
            to = stream()
            await connect(to, peer.address, self.configuration.connect / SECOND)
        except OSError as wrong:  # no descriptor is left for it
            raise NoDescriptor(str(wrong)) from None
        finally:
            peer.connecting -= 1
        if self.closing or peer.gone or listed != (peer.address, peer.started):
            to.close()
            raise ListedAnew("listed anew while the connection was made")
        connection = Connection(
            to,
            self.host.clock,
            lambda one, got: [self._received(peer, one, message) for message in got],
            lambda one: self._closed(peer, one),
            HALF,
        )
        peer.connections[connection], peer.heard = {}, self.host.clock.now()
        for data in peer.waiting:
            connection.send(data)
        peer.waiting.clear()
        return connection

    def _begin_soon(self, attempt):
        """In the next turn: what else came by now, on whatever connection, is acted on first. A loop that was
        held up would begin attempts for viewers who have taken their set-up back, or have gone, long ago."""
        if attempt.turns is None:
            attempt.queued_at = self.host.clock.now()
        if not self.queue:
            asyncio.get_running_loop().call_soon(self._begin_queued)
        self.queue.append(attempt)

    def _begin_queued(self):
        queue, self.queue = self.queue, []
        for attempt in queue:
            if attempt.state is not AttemptState.CONNECTING or self.closing:
                continue
            if attempt.turns is None:
                held_up = self.host.clock.now() - attempt.queued_at > HELD_UP
                attempt.turns = TURNS if held_up or attempt.viewing.unread() else 0
            if attempt.turns > 0:
                attempt.turns -= 1
                self._begin_soon(attempt)
            elif attempt.connection is not None:
                self._send(attempt, attempt.connection)
            elif (connection := self._for_set_up(attempt.peer)) is not None:
                self._send(attempt, connection)
            else:
                attempt.task = asyncio.ensure_future(self._connect(attempt))

    async def _connect(self, attempt):
        """A connection for an attempt, which then begins."""
        try:
            attempt.connection = await self._open(attempt.peer)
        except Unreached as wrong:
            attempt.connection = self._instead(attempt.peer, wrong)
            if attempt.connection is None:
                never_tried = isinstance(wrong, ListedAnew | NoDescriptor)
                self._over(attempt, Ending.NEVER_SENT if never_tried else Ending.UNREACHED)
                return
        attempt.turns = None
        self._begin_soon(attempt)

    def _instead(self, peer, wrong):
        """A connection to share where none was made: a process that dies takes its connections with it, so
        one that has others up and took no more holds as many as it takes, and is not ill. Not after a
        time-out: a machine that vanished leaves its connections open."""
        up = peer.up() if isinstance(wrong, NotTaken | NoDescriptor) else []
        return min(up, key=lambda one: len(peer.connections[one]), default=None)

    def _send(self, attempt, connection):
        if attempt.viewing.gone():  # its connection's end, in this turn or the next, gives it up
            return None
        now = self.host.clock.now()
        if attempt.peer.gone or attempt.due <= now or not self.host.core.may_send(now, attempt.carried):
            return self._over(attempt, Ending.NEVER_SENT)
        wait = str(max(1, (attempt.due - now) // MS))
        parts = [*attempt.viewing.passed, (m.WAIT, wait), (m.RUNG_NO, str(attempt.rung))]
        if not connection.send(encode(m.SET_UP, attempt.id, *parts)):
            return self._over(attempt, Ending.NEVER_SENT)
        attempt.turn(AttemptState.SENT)
        attempt.connection = connection
        attempt.peer.connections[connection][attempt.id] = attempt
        return None

    def _say(self, peer, data):
        """On any connection, or on one made for it."""
        if any(connection.send(data) for connection in peer.connections):
            return
        if len(peer.waiting) < 1000:  # what one dead streamer could leave unsaid
            peer.waiting.append(data)
        self._keep(peer)

    def _closed(self, peer, connection):
        attempts = peer.connections.pop(connection, {})
        if connection.why.startswith("unreadable") or attempts:
            self.log.info(
                "streamer's connection ended", streamer=peer.name, why=connection.why, attempts=len(attempts)
            )
        for attempt in attempts.values():
            # one closed from this side: the streamer is yet to hear of it
            (self._over_soon if connection.by_us else self._over)(attempt, Ending.BROKEN)
        if peer.playing or peer.expected:
            # where one has ended others may be of a dead process too, silent and open
            self._keep(peer, check=not connection.by_us)

    def _keep(self, peer, check=False):
        if not self.closing and peer.keeper is None and (check or not peer.up()):
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
                if not check and peer.up():
                    return
                try:
                    fresh = await self._open(peer)
                except NoDescriptor as wrong:  # nothing is known of the streamer by that
                    self.log.warning("streamer not checked", streamer=peer.name, why=str(wrong))
                    return
                except Unreached as wrong:
                    self.log.info("streamer not reached", streamer=peer.name, why=str(wrong))
                    continue
                spare = [
                    one for one, attempts in peer.connections.items() if one is not fresh and not attempts
                ]
                for connection in spare[: max(0, len(peer.connections) - MOST)]:  # the oldest may be dead
                    connection.close("replaced")
                return
            if check or not peer.connections:
                peer.waiting.clear()
                self._cut(peer, "not reached")
                for connection in list(peer.connections):
                    connection.close("streamer not reached")
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
            for connection, attempts in list(peer.connections.items()):
                if connection.link.overdue(now):
                    connection.close("unreadable: stops short")
                elif not attempts and self._stale(connection) and not (peer.playing or peer.expected):
                    connection.close("idle")
            if peer.playing and self.configuration.tell_every and peer.keeper is None:
                silent = now - peer.heard
                if silent > SILENT * self.configuration.tell_every + self.configuration.deployment.links.lag:
                    self._keep(peer, check=True)
            if peer.gone and peer.idle():
                for connection in list(peer.connections):
                    connection.close("streamer gone")
                del self.peers[id]

    def last_releases(self):
        """The controller ends: streamers are told of all that is out or plays, where a connection is open.
        Nothing that they say after that is acted on, and no attempt begins."""
        self.closing = True
        for attempt in self.attempts.values():
            if attempt.state is AttemptState.SENT:
                attempt.connection.send(m.release(attempt.id, m.OVER))
        for peer in self.peers.values():
            releases = b"".join(m.release(id, m.OVER) for id in [*peer.playing, *peer.expected])
            if releases and (up := peer.up()):
                up[0].send(releases)

    def connections(self):
        """Every connection to a streamer."""
        return [connection for peer in self.peers.values() for connection in peer.connections]

    def close(self):
        self.closing = True
        for attempt in self.attempts.values():
            if attempt.task is not None:
                attempt.task.cancel()
        for peer in self.peers.values():
            if peer.keeper:
                peer.keeper.cancel()
        for connection in self.connections():
            connection.close("the controller ends")

    # What streamers say.

    def _received(self, peer, connection, message):
        if self.closing or not connection.up():
            return
        peer.heard = self.host.clock.now()
        attempts = peer.connections.get(connection, {})
        if message.type == m.ANSWER:
            if attempt := attempts.get(message.id):
                self._answered(peer, connection, attempt, message)
        elif message.type == m.RELEASE:
            if attempt := attempts.pop(message.id, None):
                ending = m.ATTEMPT_ENDINGS.get(message.cause, Ending.BROKEN)
                self._over(attempt, ending, m.report(message))
            elif attempt := self._cancelled_on(connection, message.id):
                self._over(attempt, Ending.CALLED_OFF)
            elif told := peer.expected.get(message.id):
                told(None)
            elif carried := peer.playing.get(message.id):
                ending = m.PLAY_ENDINGS.get(message.cause, Ending.BROKEN)
                self._ended(peer, carried, ending, m.report(message))
        elif message.type == m.NOTE:
            self._noted(peer, message)
        elif message.type == m.RELEASE_HEARD:
            if attempt := self._cancelled_on(connection, message.id):
                self._over(attempt, Ending.CALLED_OFF)
        elif message.type not in (m.PROGRESS, m.TESTED):
            connection.close(f"unreadable: a message of type {message.type}")

    def _cancelled_on(self, connection, id):
        attempt = self.cancelled.get(id)
        return attempt if attempt and attempt.connection is connection else None

    def _answered(self, peer, connection, attempt, message):
        if m.DESCRIPTION not in message.parts:
            connection.close("unreadable: an answer without a description")
            return
        del peer.connections[connection][message.id], self.attempts[attempt.carried]
        attempt.turn(AttemptState.OVER)
        attempt.viewing.description = message.parts[m.DESCRIPTION]
        peer.playing[message.id] = attempt.carried
        self.host.do(self.host.core.began, attempt.carried, m.report(message))

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

    def _over(self, attempt, ending, report=None):
        """The one way in which an attempt that came to nothing ends; said again it does nothing."""
        if attempt.state is AttemptState.OVER:
            return
        attempt.turn(AttemptState.OVER)
        if self.cancelled.get(attempt.id) is attempt:
            del self.cancelled[attempt.id]
        if self.attempts.get(attempt.carried) is attempt:
            del self.attempts[attempt.carried]
            self.host.do(self.host.core.try_over, attempt.carried, ending, report)

    def _over_soon(self, attempt, ending):
        IOLoop.current().call_later(CONFIRM, self._over, attempt, ending)
