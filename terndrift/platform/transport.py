"""The streamer side of the platform controller: sends set-up attempts and receives reports on playbacks.

Created by the service; called by the core (see `core.active_playback.StreamerTransport`) and by the front. It
owns the connections to streamers. It reports how each attempt ended, but never chooses a streamer, a rung or
a retry itself.
"""

import asyncio

from tornado.ioloop import IOLoop

from terndrift.http.client import NotTaken, Unreached, connect
from terndrift.input_turns import InputTurns
from terndrift.interface import Ending, Standing
from terndrift.platform import message as m
from terndrift.platform.attempt import Attempt, AttemptState
from terndrift.platform.connection import Connection, new_stream
from terndrift.platform.message import InvalidMessageError, encode_message
from terndrift.platform.peer import MAX_CONNECTIONS_PER_STREAMER, Peer

SECOND = 1_000_000_000
MS = 1_000_000
# ns within which a streamer's message must be complete once begun: streamers write a message in one piece,
# and network delays are some ms.
PARTIAL_MESSAGE_TIMEOUT_NS = SECOND // 2
# A streamer with playbacks reports on its link at least once per interval of the settings. After silence for
# this many intervals it is checked: by a new connection, which does not come up if the machine has vanished,
# and by a message on the silent ones, which are reset if the machine has returned with a new process. A
# streamer that was heard within this many intervals can't have been replaced since: a restart takes longer.
SILENT_INTERVALS = 1.25
# ns after which a playback whose process seems to be replaced counts as over, unless the streamer reports on
# it. What is over must be released within 8 s (PROTOCOL).
REPLACED_TIMEOUT_NS = 6_500 * MS
# Seconds after which a cancelled attempt counts as over if its streamer has not confirmed the cancel by
# "release heard", which is optional. Connections are independent, so without the wait the next attempt could
# overtake the cancel, and two attempts of one playback would be outstanding at once. The value is the
# tolerance that the platform gives its own time limits.
CANCEL_CONFIRMATION_TIMEOUT_S = 0.05
# Consecutive connections that were refused or did not come up until the playbacks at a streamer count as cut.
MAX_FAILED_CONNECTIONS = 2
RECONNECT_DELAY_S = 0.15  # between those connections
# ns between checks for idle connections: the interval at which `enforce_timeouts` is called.
IDLE_CHECK_INTERVAL_NS = SECOND // 4
# Turns of the event loop within which bytes that wait in a viewer's socket are read and acted on: one for the
# read, one for the task that it wakes, and one because the read of the current turn may be over already.
READ_TURNS = 3
# ns from the choice of an attempt to its start. If the event loop took longer, a cancel of the attempt may be
# unread on any connection. No attempt may start more than 0.1 s after its cancel; this is half of that.
MAX_START_DELAY_NS = SECOND // 20


class ListEntryChangedError(Unreached):
    """The streamer's list entry changed while connecting, so the connection may lead to another streamer."""


class ConnectionLimitError(Unreached):
    """The limit of connections to streamers is reached and none of them is idle, or no descriptor is left."""


class StreamerTransport:
    """Set-up attempts, playbacks and connections, by streamer.

    The front sets `on_ended(playback, by_viewer)`, which is called when a streamer reports that a playback is
    over or when it counts as cut; `by_viewer` says whether the viewer ended it.
    """

    def __init__(self, runner, configuration, log):
        self.runner, self.configuration, self.log = runner, configuration, log
        self.peers, self.attempts = {}, {}  # streamer ID -> Peer; ActivePlayback -> Attempt
        self.cancelled = {}  # playback ID -> cancelled Attempt that may still be outstanding
        self.input_turns = InputTurns()
        self.start_queue = []  # attempts to start in the next turn of the event loop
        self.on_ended, self.closing = lambda playback, by_viewer: None, False
        self.replaced_timeout_ns = REPLACED_TIMEOUT_NS
        keepalive = configuration.keepalive
        # A set-up sent now arrives within the connect timeout. A connection is in use only as long as that
        # and one check for idle connections end before the streamer's own idle timeout.
        self.max_idle_ns = max(
            keepalive - configuration.connect_timeout - IDLE_CHECK_INTERVAL_NS, keepalive // 2
        )

    def apply_list_entry(self, entry, name, address):
        """Applies one entry of the server list; must be called before the core gets the entry."""
        peer = self.peers.get(entry.id)
        delisted = entry.standing is Standing.GONE
        if peer is None:
            if delisted:
                return
            min_outage = SILENT_INTERVALS * self.configuration.report_interval
            peer = self.peers[entry.id] = Peer(entry, name, address, min_outage)
        if entry.started != peer.started or address and address != peer.address and not delisted:
            # restarted or moved: earlier playbacks are over, and its connections belong to the old process
            self._cut(peer, "streamer restarted")
            for connection in list(peer.connections):
                connection.close("streamer restarted")
        peer.delisted, peer.started = delisted, entry.started
        if address and not delisted:
            peer.address = address

    def apply_complete_list(self, ids):
        """Applies a complete server list: streamers that are not in `ids` are delisted."""
        for id, peer in self.peers.items():
            peer.delisted |= id not in ids

    # Called by the core.

    def set_up(self, playback, streamer, rung, timeout):
        """Starts an attempt; its set-up is not sent any more once `timeout` ns have passed."""
        peer = self.peers.get(streamer.id)
        attempt = self.attempts[playback] = Attempt(playback, peer, rung, self.runner.clock.now(), timeout)
        if peer is None:
            return self._attempt_over(attempt, Ending.UNREACHED)
        self._queue_start(attempt)
        return None

    def cancel_attempt(self, playback):
        """Cancels the outstanding attempt and reports its end to the core: at once if nothing was sent, else
        when the streamer confirms, or after CANCEL_CONFIRMATION_TIMEOUT_S."""
        attempt = self.attempts[playback]
        if attempt.state is AttemptState.CONNECTING:
            if attempt.task is not None:
                attempt.task.cancel()
            return self._attempt_over(attempt, Ending.NEVER_SENT)
        attempt.transition_to(AttemptState.CANCELLED)
        attempt.peer.connections.get(attempt.connection, {}).pop(attempt.id, None)
        attempt.connection.send(m.encode_release(attempt.id, m.OVER))
        self.cancelled[attempt.id] = attempt
        return self._attempt_over_later(attempt, Ending.CALLED_OFF)

    def is_unsent(self, playback):
        """Whether no attempt of a playback has been sent to any streamer so far."""
        attempt = self.attempts.get(playback)
        if attempt is None:
            return playback.attempts == 0
        return attempt.state is AttemptState.CONNECTING and playback.attempts <= 1

    def set_rung(self, playback, rung):
        """Tells the streamer to play at another rung."""
        if peer := self.peers.get(playback.streamer.id):
            self._send_to_peer(
                peer, encode_message(m.RUNG, playback.request.context.id, (m.RUNG_NO, str(rung)))
            )

    def release_playback(self, playback, streamer):
        """Drops a playback that is over and, unless its streamer reported the end itself, tells the
        streamer."""
        peer = self.peers.get(streamer.id)
        if peer and peer.remove_playback(playback.request.context.id):
            self._send_to_peer(peer, m.encode_release(playback.request.context.id, m.OVER))

    # Called by the front.

    def has_cancelled_attempt(self, id):
        """Whether a cancelled attempt with this playback ID may still be outstanding at some streamer.

        Reports of that streamer on the earlier use of the ID could not be told from those on a new one.
        """
        return id in self.cancelled

    def register_hand_over(self, streamer, id, on_rung):
        """Registers a running playback that is to be handed over; returns False if the streamer is not
        listed.

        `on_rung(rung)` is called when the streamer reports the playback's rung, with None if the playback is
        over.
        """
        peer = self.peers.get(streamer)
        if peer is None:
            return False
        peer.hand_overs[id] = on_rung
        self._maintain_connection(peer)
        return True

    def track_playback(self, playback):
        """Adds a playback whose hand-over is complete to those of its streamer."""
        peer = self.peers[playback.streamer.id]
        peer.add_handed_over(playback.request.context.id, playback, self.runner.clock.now())

    def cancel_hand_over(self, streamer, id, ended_by_viewer=False):
        """Removes a registered hand-over; if its viewer has ended the playback, the streamer is told."""
        if peer := self.peers.get(streamer):
            peer.hand_overs.pop(id, None)
            if ended_by_viewer:
                self._send_to_peer(peer, m.encode_release(id, m.OVER))

    # Connections.

    def _is_stale(self, connection):
        return self.runner.clock.now() - connection.idle_since() >= self.max_idle_ns

    def _connection_for_set_up(self, peer):
        return peer.connection_for_set_up(self._is_stale, self.configuration.max_set_ups_per_connection)

    def _ensure_capacity(self):
        """Closes the connection that was idle for longest if the limit is reached.

        Raises ConnectionLimitError if none can be closed.
        """
        open_count = sum(len(peer.connections) + peer.pending_connects for peer in self.peers.values())
        if open_count < self.configuration.descriptors.max_streamer_connections:
            return
        spare = [
            connection
            for peer in self.peers.values()
            for connection, attempts in peer.connections.items()
            if connection.is_open() and not attempts and connection is not peer.evidence.witness()
        ]
        if not spare:
            raise ConnectionLimitError(f"{open_count} connections to streamers are open and in use")
        spare.sort(key=Connection.idle_since)
        if not any(connection.close_unused("closed in favour of a new connection") for connection in spare):
            raise ConnectionLimitError(f"{open_count} connections to streamers have input to read")

    async def _open(self, peer):
        """Returns a new connection to a streamer; raises Unreached."""
        self._ensure_capacity()
        listed_as, input_losses = (peer.address, peer.started), peer.input_losses
        peer.pending_connects += 1
        try:
            stream = new_stream()
            await connect(stream, peer.address, self.configuration.connect_timeout / SECOND)
        except NotTaken:
            peer.evidence.connection_refused()
            raise
        except OSError as error:  # no descriptor is left
            raise ConnectionLimitError(str(error)) from None
        finally:
            peer.pending_connects -= 1
        if self.closing or peer.delisted or listed_as != (peer.address, peer.started):
            stream.close()
            raise ListEntryChangedError("list entry changed while connecting")
        connection = Connection(
            stream,
            self.runner.clock,
            self.input_turns,
            lambda source, received: [self._on_message(peer, source, message) for message in received],
            lambda source: self._connection_closed(peer, source),
            PARTIAL_MESSAGE_TIMEOUT_NS,
        )
        peer.add_connection(connection, self.runner.clock.now(), input_losses)
        for data in peer.unsent_messages:
            connection.send(data)
        peer.unsent_messages.clear()
        return connection

    def _queue_start(self, attempt):
        """Starts an attempt in the next turn of the event loop.

        Input that has arrived by now, on whatever connection, is handled first. Otherwise a loop that was
        held up would start attempts for viewers who have cancelled or disconnected long ago.
        """
        if attempt.remaining_turns is None:
            attempt.queued_at = self.runner.clock.now()
        if not self.start_queue:
            asyncio.get_running_loop().call_soon(self._start_queued)
        self.start_queue.append(attempt)

    def _start_queued(self):
        queued, self.start_queue = self.start_queue, []
        unread = {}  # Connection -> whether it has unread input
        for attempt in queued:
            if attempt.state is not AttemptState.CONNECTING or self.closing:
                continue
            if attempt.remaining_turns is None:
                loop_was_late = self.runner.clock.now() - attempt.queued_at > MAX_START_DELAY_NS
                attempt.remaining_turns = (
                    READ_TURNS if loop_was_late or attempt.session.has_unread_input() else 0
                )
            if attempt.remaining_turns == 0 and self._awaits_input(attempt, unread):
                if self.runner.clock.now() >= attempt.input_deadline:
                    self._attempt_over(attempt, Ending.NEVER_SENT)
                    continue
                attempt.remaining_turns = READ_TURNS
            if attempt.remaining_turns > 0:
                attempt.remaining_turns -= 1
                self._queue_start(attempt)
            elif attempt.connection is not None:
                self._send(attempt, attempt.connection)
            elif (connection := self._connection_for_set_up(attempt.peer)) is not None:
                self._send(attempt, connection)
            else:
                attempt.task = asyncio.ensure_future(self._connect(attempt))

    def _awaits_input(self, attempt, unread):
        """Whether an attempt has to wait until the input of its viewer's connection is read.

        That may take many turns if there is much of it, and the cancel of the attempt, or the end of the
        connection, may be at its end. The attempt is given up in time, so that it is not held against its
        streamer that it says nothing.
        """
        connection = attempt.session.connection
        if connection not in unread:
            unread[connection] = connection.has_unread_input()
        return unread[connection]

    async def _connect(self, attempt):
        """Opens a connection for an attempt and queues the attempt again."""
        try:
            attempt.connection = await self._open(attempt.peer)
        except Unreached as error:
            attempt.connection = self._fallback_connection(attempt.peer, error)
            if attempt.connection is None:
                never_sent = isinstance(error, ListEntryChangedError | ConnectionLimitError)
                self._attempt_over(attempt, Ending.NEVER_SENT if never_sent else Ending.UNREACHED)
                return
        attempt.remaining_turns = None
        self._queue_start(attempt)

    def _fallback_connection(self, peer, error):
        """Returns an open connection to share after a failed connect, or None.

        A streamer that refuses a connection while others are open is at its connection limit, not failed: the
        connections of a dead process end with it. A connect timeout has no fallback, as a machine that has
        vanished leaves its connections open.
        """
        candidates = peer.open_connections() if isinstance(error, NotTaken | ConnectionLimitError) else []
        return min(candidates, key=lambda candidate: len(peer.connections[candidate]), default=None)

    def _send(self, attempt, connection):
        if (
            attempt.session.is_disconnected()
        ):  # the end of its connection, in this turn or the next, cancels it
            return None
        now = self.runner.clock.now()
        if (
            attempt.peer.delisted
            or attempt.deadline <= now
            or not self.runner.core.may_send(now, attempt.playback)
        ):
            return self._attempt_over(attempt, Ending.NEVER_SENT)
        wait_ms = str(max(1, (attempt.deadline - now) // MS))
        parameters = [*attempt.session.forwarded, (m.WAIT, wait_ms), (m.RUNG_NO, str(attempt.rung))]
        if not connection.send(encode_message(m.SET_UP, attempt.id, *parameters)):
            return self._attempt_over(attempt, Ending.NEVER_SENT)
        attempt.transition_to(AttemptState.SENT)
        attempt.connection = connection
        attempt.peer.connections[connection][attempt.id] = attempt
        return None

    def _send_to_peer(self, peer, data):
        """Sends a message on any connection, or keeps it for one that is opened for it."""
        if any(connection.send(data) for connection in peer.connections):
            return
        if len(peer.unsent_messages) < 1000:  # bounds what is kept for a dead streamer
            peer.unsent_messages.append(data)
        self._maintain_connection(peer)

    def _connection_closed(self, peer, connection):
        attempts = peer.remove_connection(connection, self.runner.clock.now())
        if connection.close_reason.startswith("unreadable") or attempts:
            self.log.info(
                "streamer's connection ended",
                streamer=peer.name,
                why=connection.close_reason,
                attempts=len(attempts),
            )
        for attempt in attempts.values():
            # if it was closed locally, the streamer does not know of it yet
            (self._attempt_over_later if connection.closed_locally else self._attempt_over)(
                attempt, Ending.BROKEN
            )
        if peer.playbacks or peer.hand_overs:
            # the other connections may belong to a dead process too, and look open
            self._maintain_connection(peer, check=not connection.closed_locally)

    def _maintain_connection(self, peer, check=False):
        if self.closing or peer.reconnect_task is not None:
            return
        if check or peer.may_have_missed_release() or not peer.open_connections():
            peer.reconnect_task = asyncio.ensure_future(self._reconnect(peer, check))

    async def _reconnect(self, peer, check):
        """Opens a connection to a streamer that has playbacks or messages to receive.

        With `check` a new connection is opened even if there are others, as those may lead to a machine that
        has vanished. If no connection comes up, the streamer's playbacks are cut. If one does, the process
        may still be another one: connections that have been silent for too long are probed.

        After a close that may have lost a release, a new connection is opened beside others too. If none
        comes up, `enforce_timeouts` tries again, and nothing is cut while another connection is open.
        """
        try:
            for n in range(MAX_FAILED_CONNECTIONS):
                if peer.delisted:  # its address may belong to another streamer by now
                    break
                if n:
                    await asyncio.sleep(RECONNECT_DELAY_S)
                if not check and not peer.may_have_missed_release() and peer.open_connections():
                    return
                try:
                    new_connection = await self._open(peer)
                except ConnectionLimitError as error:  # says nothing about the streamer
                    self.log.warning("streamer not checked", streamer=peer.name, why=str(error))
                    return
                except Unreached as error:
                    self.log.info("streamer not reached", streamer=peer.name, why=str(error))
                    continue
                self._probe_silent_connections(peer)
                self._close_surplus_connections(peer, new_connection)
                return
            if check or not peer.connections:
                peer.unsent_messages.clear()
                self._cut(peer, "streamer not reached")
                for connection in list(peer.connections):
                    connection.close("streamer not reached")
        finally:
            peer.reconnect_task = None

    def _probe_silent_connections(self, peer):
        """Sends a message without a meaning on the silent connections to a streamer with playbacks.

        The machine resets those that belong to a process that it does not run any more.
        """
        if not peer.playbacks:
            return
        probe = encode_message(m.PROGRESS, next(iter(peer.playbacks)))
        silent_since = self.runner.clock.now() - self._max_silence()
        for connection in peer.open_connections():
            if connection.reader.last_received_at < silent_since:
                connection.probe(probe)

    def _close_surplus_connections(self, peer, new_connection):
        """Closes unused connections beyond the limit, but none that shows that the playbacks go on."""
        witness = peer.evidence.witness()
        spare = [
            connection
            for connection, attempts in peer.connections.items()
            if connection not in (new_connection, witness) and not attempts
        ]
        # the oldest connections are the most likely to be dead
        for connection in spare[: max(0, len(peer.connections) - MAX_CONNECTIONS_PER_STREAMER)]:
            connection.close_unused("replaced by a new connection")

    def _cut(self, peer, reason):
        """Ends all playbacks and hand-overs at a streamer."""
        if peer.playbacks:
            self.log.info("what played is cut", streamer=peer.name, why=reason, playbacks=len(peer.playbacks))
        for on_rung in list(peer.hand_overs.values()):
            on_rung(None)
        for playback in list(peer.playbacks.values()):
            self._playback_over(peer, playback, Ending.BROKEN, None)

    def enforce_timeouts(self):
        """Enforces the timeouts of connections to streamers; called four times a second."""
        now = self.runner.clock.now()
        for id, peer in list(self.peers.items()):
            for connection, attempts in list(peer.connections.items()):
                if connection.reader.is_overdue(now):
                    connection.close("unreadable: incomplete message timed out")
                elif not attempts and self._is_stale(connection) and not (peer.playbacks or peer.hand_overs):
                    connection.close("idle")
            if peer.may_have_missed_release() and not peer.delisted:
                self._maintain_connection(peer)
            if self.configuration.report_interval and peer.evidence.silence(now) > self._max_silence():
                self._check_silent(peer, now)
            if peer.delisted and peer.is_unused():
                for connection in list(peer.connections):
                    connection.close("streamer removed from the list")
                del self.peers[id]

    def _max_silence(self):
        """Returns how long (ns) a streamer with playbacks may be silent."""
        return SILENT_INTERVALS * self.configuration.report_interval + self.configuration.deployment.links.lag

    def _check_silent(self, peer, now):
        """Ends the playbacks whose process is gone; at most once per `_max_silence` looks whether others are.

        Called while the process of the oldest playback has been silent for too long.
        """
        self._end_lost_playbacks(peer, now)
        max_silence = self._max_silence()
        if peer.reconnect_task is not None or now - peer.checked_at <= max_silence:
            return
        peer.checked_at = now
        self.log.info(
            "silent streamer checked",
            streamer=peer.name,
            silent_ms=peer.evidence.silence(now) // MS,
            connections=len(peer.connections),
            playbacks=len(peer.playbacks),
        )
        if now - peer.evidence.heard_at() <= max_silence:
            self._probe_silent_connections(peer)
        else:
            self._maintain_connection(peer, check=True)

    def _end_lost_playbacks(self, peer, now):
        """Ends the playbacks of a process that is gone, and tells the one that runs now.

        None are ended while nothing shows that the machine is there, or while it has said something that is
        still to be read.
        """
        connections = peer.open_connections()
        if not connections or any(connection.has_unread_input() for connection in connections):
            return
        timeout = max(self.replaced_timeout_ns, self._max_silence())
        lost = peer.evidence.lost_playbacks(now, timeout)
        if lost:
            self.log.info(
                "what played is cut", streamer=peer.name, why="process replaced", playbacks=len(lost)
            )
        for id in lost:
            self._send_to_peer(peer, m.encode_release(id, m.OVER))
            self._playback_over(peer, peer.playbacks[id], Ending.BROKEN, None)

    def send_final_releases(self):
        """Releases all attempts and playbacks at streamers with an open connection; called once, at shutdown.

        Messages from streamers are ignored from then on, and no attempt starts.
        """
        self.closing = True
        for attempt in self.attempts.values():
            if attempt.state is AttemptState.SENT:
                attempt.connection.send(m.encode_release(attempt.id, m.OVER))
        for peer in self.peers.values():
            releases = b"".join(m.encode_release(id, m.OVER) for id in [*peer.playbacks, *peer.hand_overs])
            if releases and (open_connections := peer.open_connections()):
                open_connections[0].send(releases)

    def all_connections(self):
        """Returns every connection to a streamer."""
        return [connection for peer in self.peers.values() for connection in peer.connections]

    def close(self):
        """Cancels all tasks and closes all connections at once."""
        self.closing = True
        for attempt in self.attempts.values():
            if attempt.task is not None:
                attempt.task.cancel()
        for peer in self.peers.values():
            if peer.reconnect_task:
                peer.reconnect_task.cancel()
        for connection in self.all_connections():
            connection.close("controller shutdown")

    # Messages from streamers.

    def _on_message(self, peer, connection, message):
        if self.closing or not connection.is_open():
            return
        peer.evidence.process_spoke(connection, self.runner.clock.now(), message.id)
        attempts = peer.connections.get(connection, {})
        if message.type == m.ANSWER:
            if attempt := attempts.get(message.id):
                self._attempt_answered(peer, connection, attempt, message)
        elif message.type == m.RELEASE:
            if attempt := attempts.pop(message.id, None):
                ending = m.ATTEMPT_ENDINGS.get(message.cause, Ending.BROKEN)
                self._attempt_over(attempt, ending, m.parse_load_report(message))
            elif attempt := self._cancelled_on(connection, message.id):
                self._attempt_over(attempt, Ending.CALLED_OFF)
            elif on_rung := peer.hand_overs.get(message.id):
                on_rung(None)
            elif playback := peer.playbacks.get(message.id):
                ending = m.PLAY_ENDINGS.get(message.cause, Ending.BROKEN)
                self._playback_over(peer, playback, ending, m.parse_load_report(message))
        elif message.type == m.NOTE:
            self._handle_note(peer, message)
        elif message.type == m.RELEASE_HEARD:
            if attempt := self._cancelled_on(connection, message.id):
                self._attempt_over(attempt, Ending.CALLED_OFF)
        elif message.type not in (m.PROGRESS, m.TESTED):
            connection.close(f"unreadable: unexpected message type {message.type}")

    def _cancelled_on(self, connection, id):
        """Returns the cancelled attempt with this ID if it was sent on this connection, else None."""
        attempt = self.cancelled.get(id)
        return attempt if attempt and attempt.connection is connection else None

    def _attempt_answered(self, peer, connection, attempt, message):
        if m.DESCRIPTION not in message.parameters:
            connection.close("unreadable: answer without a description")
            return
        del peer.connections[connection][message.id], self.attempts[attempt.playback]
        attempt.transition_to(AttemptState.OVER)
        attempt.session.description = message.parameters[m.DESCRIPTION]
        peer.add_playback(message.id, attempt.playback, self.runner.clock.now())
        self.runner.run(self.runner.core.set_up_succeeded, attempt.playback, m.parse_load_report(message))

    def _playback_over(self, peer, playback, ending, report):
        self.log.debug("ended", streamer=peer.id, pb=playback.id, ending=ending.name, report=report)
        peer.remove_playback(playback.request.context.id)
        self.on_ended(playback, ending is Ending.CALLED_OFF)
        self.runner.run(self.runner.core.playback_ended, playback, ending, report)

    def _handle_note(self, peer, message):
        try:
            name, value = message.text(m.NOTE_NAME), message.number(m.NOTE_VALUE)
        except InvalidMessageError:
            return
        if name == "at_rung" and message.id in peer.hand_overs:
            peer.hand_overs[message.id](int(value))
        playback, run, core = peer.playbacks.get(message.id), self.runner.run, self.runner.core
        if playback is None:
            return
        self.log.debug("note", streamer=peer.id, pb=playback.id, name=name, value=value)
        if name == "served":
            run(core.delivery_reported, peer.id, value)
        elif name == "at_rung":
            run(core.rung_change_refused, playback, int(value))
        elif name == "link_use":
            run(core.utilisation_reported, playback, value, None)
        elif name == "rack_use":
            run(core.utilisation_reported, playback, None, value)

    def _attempt_over(self, attempt, ending, report=None):
        """Ends an attempt that did not lead to a playback; every such attempt ends here. Repeats are
        ignored."""
        if attempt.state is AttemptState.OVER:
            return
        attempt.transition_to(AttemptState.OVER)
        if self.cancelled.get(attempt.id) is attempt:
            del self.cancelled[attempt.id]
        if self.attempts.get(attempt.playback) is attempt:
            del self.attempts[attempt.playback]
            self.runner.run(self.runner.core.attempt_ended, attempt.playback, ending, report)

    def _attempt_over_later(self, attempt, ending):
        IOLoop.current().call_later(CANCEL_CONFIRMATION_TIMEOUT_S, self._attempt_over, attempt, ending)
