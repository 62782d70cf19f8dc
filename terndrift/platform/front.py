"""The viewer side of the platform controller: handles set-ups and releases and sends the answers.

Created by the service. Every set-up gets exactly one answer, and every playback that ends without its
viewer's doing gets a release. Placement decisions are made by the core; the front never chooses a streamer or
a rung.
"""

from collections import Counter, deque

from terndrift.core.active_playback import AnswerKind, PlaybackRequest, PlaybackStage
from terndrift.core.admission import AdmissionGate
from terndrift.input_turns import InputTurns
from terndrift.platform import message as m
from terndrift.platform.connection import Connection, new_stream
from terndrift.platform.listener import Listener
from terndrift.platform.message import InvalidMessageError, encode_message, encode_release, parse_set_up
from terndrift.platform.settings import streamer_id

SECOND = 1_000_000_000
MS = 1_000_000
# ns after which a connection without set-ups or playbacks is closed. Misbehaving viewers must be disconnected
# within 3 s of connecting; well-behaved ones close after 4 s themselves, and resend what crosses the close.
IDLE_TIMEOUT_NS = 2 * SECOND
# Peak rate of set-ups (DAYS); each stays open while its viewer waits. A higher rate is a flood.
MAX_SET_UPS_PER_SECOND = 90
# ns to wait until the streamer of a playback that is handed over has told its rung, which usually takes some
# tens of ms. The streamer may be dead, or its connections slow to come up: after this time the playback is
# handed over at its plan's floor.
HAND_OVER_TIMEOUT_NS = SECOND // 2
# ns for which a release that no connection could carry is kept for the next connection; it is not needed
# later.
RELEASE_RETENTION_NS = 8 * SECOND


# ns for which the input of a connection may stay ahead of what is read. A set-up starts only once the input
# is read; with more of it all the time, it would take room at a streamer until its deadline for nothing.
MAX_INPUT_LAG_NS = SECOND


class ViewerSession:
    """A set-up or playback as its viewer knows it; the core gets it as `PlaybackRequest.context`.

    `forwarded` are the parameters of the set-up that go to the streamer unchanged. The transport sets
    `description` from the streamer's answer.
    """

    def __init__(self, id, connection, forwarded):
        self.id, self.connection, self.forwarded = id, connection, forwarded
        self.playback = self.description = None

    def is_disconnected(self):
        """Whether the viewer's connection has ended."""
        return not self.connection.is_open()

    def has_unread_input(self):
        """Whether its connection has unread input, which may cancel the set-up."""
        return self.connection.has_unread_input()


def max_open_set_ups(deadlines):
    """Returns how many set-ups may be open at once.

    `deadlines` maps each plan to the longest time, in ns, that its viewers wait.
    """
    return max(MAX_SET_UPS_PER_SECOND, MAX_SET_UPS_PER_SECOND * max(deadlines.values(), default=0) // SECOND)


class Front:
    """The connections of viewers, their open set-ups, and their playbacks."""

    def __init__(self, runner, transport, configuration, log):
        self.runner, self.transport, self.configuration, self.log = runner, transport, configuration, log
        self.deadlines, self.layout = configuration.deadlines, configuration.layout
        self.rung_count = len(configuration.deployment.ladder.rates)
        self.max_connections = configuration.descriptors.max_viewer_connections
        self.input_turns = InputTurns()
        self.listener = Listener(self._on_accepted, self._close_unused, log)
        self.connections = {}  # Connection -> {ID: ViewerSession} of its open set-ups, in order of arrival
        self.playback_counts = {}  # Connection -> number of its playbacks
        # Connection -> None: connections on which an answer was sent, so that a release is understood there
        self.answered_connections = {}
        self.sessions = {}  # ID -> ViewerSession of an open set-up or a playback
        # ID -> (since, streamer ID, ViewerSession, callback) of a hand-over that waits for its rung
        self.pending_hand_overs = {}
        self.undelivered_releases = deque()  # (expiry time, bytes) of releases that no connection could carry
        self.admission = AdmissionGate(max_open_set_ups(self.deadlines), configuration.deployment.seed)
        self.ready, self.closing = False, False
        transport.on_ended = self._playback_ended

    def listen_on(self, address):
        """Starts to accept viewers on (host, port) and returns the bound (host, port); raises OSError."""
        return self.listener.listen_on(address)

    def _on_accepted(self, sock):
        if len(self.connections) >= self.max_connections and not self._close_unused():
            sock.close()
            return
        connection = Connection(
            new_stream(sock), self.runner.clock, self.input_turns, self._on_messages, self._connection_closed
        )
        self.connections[connection], self.playback_counts[connection] = {}, 0

    def _close_unused(self):
        """Closes one connection that is not in use; returns whether there was one.

        Prefers connections that have sent no message; among equals it closes the one idle for longest.
        """
        unused = [
            connection
            for connection, sessions in self.connections.items()
            if connection.is_open() and not sessions and not self.playback_counts[connection]
        ]
        unused.sort(key=lambda connection: (connection.reader.message_count > 0, connection.idle_since()))
        selected = next((connection for connection in unused if not connection.has_unread_input()), None)
        if selected is None:
            return False
        selected.close("connection limit reached")
        return True

    def enforce_timeouts(self):
        """Enforces the timeouts of the front; called four times a second."""
        now = self.runner.clock.now()
        for connection, sessions in list(self.connections.items()):
            if connection.reader.is_overdue(now):
                connection.close("incomplete message timed out")
            elif (
                not sessions
                and not self.playback_counts[connection]
                and now - connection.reader.last_received_at > IDLE_TIMEOUT_NS
                and not connection.has_unread_input()
            ):  # a set-up that has arrived but is not read yet must not be lost to the close
                connection.close("idle")
        for id, (since, *_, on_rung) in list(self.pending_hand_overs.items()):
            if now - since > HAND_OVER_TIMEOUT_NS and id in self.pending_hand_overs:
                on_rung(0)
        while self.undelivered_releases and self.undelivered_releases[0][0] < now:
            self.undelivered_releases.popleft()

    # Messages from viewers.

    def _on_messages(self, connection, batch):
        # A set-up that is cancelled or repeated within the same read is refused at once: this keeps hundreds
        # of them from reaching streamers together. Well-behaved viewers are not affected, as they wait for
        # their answer. Hand-overs are exempt: nothing is sent to a streamer for them, and it must get their
        # release.
        cancelled_ids = {candidate.id for candidate in batch if candidate.type == m.RELEASE}
        set_up_counts = Counter(
            candidate.id
            for candidate in batch
            if candidate.type == m.SET_UP and not m.is_hand_over(candidate)
        )
        for message in batch:
            if not connection.is_open():
                return
            if (
                message.type == m.SET_UP
                and not m.is_hand_over(message)
                and (message.id in cancelled_ids or set_up_counts[message.id] > 1)
            ):
                connection.send(encode_release(message.id, m.UNUSABLE))
            else:
                self._handle_message(connection, message)

    def _handle_message(self, connection, message):
        if message.type == m.SET_UP:
            self._handle_set_up(connection, message)
        elif message.type == m.RELEASE:
            self._handle_release(connection, message.id)
        elif message.type == m.TEST:
            connection.send(encode_message(m.TESTED, message.id, (m.CAUSE, bytes([self.ready]))))
        elif message.type not in (m.PROGRESS, m.RELEASE_HEARD, m.TESTED):
            connection.close(f"unexpected message type {message.type}")

    def _handle_set_up(self, connection, message):
        existing, now = self.sessions.get(message.id), self.runner.clock.now()
        try:
            request = parse_set_up(message, self.deadlines, self.layout.cell_count)
            if request.current_streamer is not None:
                if existing is None and message.id not in self.pending_hand_overs and not self.closing:
                    self._await_hand_over(connection, message.id, request)
                return
            if (
                existing is not None
                or message.id in self.pending_hand_overs
                or self.transport.has_cancelled_attempt(message.id)
            ):
                raise InvalidMessageError("playback ID is already in use")
        except InvalidMessageError as error:
            self.log.debug("unusable", why=str(error))
            if existing is not None and existing.id in self.connections[connection]:
                self._cancel_set_up(existing)  # one answer can't serve two set-ups
            connection.send(encode_release(message.id, m.UNUSABLE))
            return
        if self.closing:
            self._send_rejection(connection, message.id, self.runner.core.controller.retry_advice)
            return
        if connection.input_lag() > MAX_INPUT_LAG_NS:
            self._reject_unsent_set_ups(connection)
            self._send_rejection(connection, message.id, self.admission.retry_after(now))
            return
        if retry_after := self.admission.admit(now, connection):
            self._send_rejection(connection, message.id, retry_after)
            return
        session = ViewerSession(message.id, connection, request.forwarded)
        self.sessions[message.id] = self.connections[connection][message.id] = session
        session.playback = self.runner.run(
            self.runner.core.request_playback,
            self._wanted(session, request),
            self.transport,
            lambda answer: self._on_answer(session, answer),
        )

    def _reject_unsent_set_ups(self, connection):
        """Rejects the open set-ups of a connection of which no streamer has received anything."""
        for session in list(self.connections[connection].values()):
            if self.transport.is_unsent(session.playback):
                self._cancel_set_up(session)
                retry_after = self.admission.retry_after(self.runner.clock.now())
                self._send_rejection(connection, session.id, retry_after)

    def _wanted(self, session, request):
        top_rung = min(
            request.top_rung, self.configuration.deployment.plans[request.plan].top, self.rung_count - 1
        )
        return PlaybackRequest(
            request.plan,
            request.title,
            self.layout.holder_cells(request.first_cell, request.copies),
            top_rung,
            request.time_left,
            request.expected_duration,
            context=session,
        )

    def _await_hand_over(self, connection, id, request):
        """Hands a running playback over once its streamer has told its rung.

        The decisions need the rung in force from the start: without it they would guess one and correct that
        at once.
        """
        streamer, session = (
            streamer_id(request.current_streamer),
            ViewerSession(id, connection, request.forwarded),
        )

        def on_rung(rung):
            self.pending_hand_overs.pop(id, None)
            self.transport.cancel_hand_over(streamer, id)
            self._complete_hand_over(session, request, streamer, rung)

        self.playback_counts[connection] += 1
        if self.transport.register_hand_over(streamer, id, on_rung):
            self.pending_hand_overs[id] = self.runner.clock.now(), streamer, session, on_rung
            self.answered_connections[connection] = None
        else:
            self.log.warning(
                "handed over at a streamer that is not listed", streamer=request.current_streamer
            )
            on_rung(None)

    def _complete_hand_over(self, session, request, streamer, rung):
        """Gives a running playback to the core; `rung` None means that it is over."""
        if rung is not None:
            rung = min(
                max(rung, self.configuration.deployment.plans[request.plan].floor), self.rung_count - 1
            )
            session.playback = self.runner.run(
                self.runner.core.adopt_playback,
                self._wanted(session, request),
                self.transport,
                streamer,
                rung,
            )
        if session.playback is None or session.playback.stage is PlaybackStage.ENDED:
            self._remove(session)
            self._send_release(session)
            return
        self.sessions[session.id] = session
        self.transport.track_playback(session.playback)

    def _handle_release(self, connection, id):
        session = self.sessions.get(id)
        connection.send(encode_message(m.RELEASE_HEARD, id))
        if id in self.pending_hand_overs:
            _, streamer, pending, _ = self.pending_hand_overs.pop(id)
            self._remove(pending)
            self.transport.cancel_hand_over(streamer, id, ended_by_viewer=True)
        if session is None:
            return
        if session.playback.answer is None:
            self._cancel_set_up(session)  # accepted from any connection, like the end of a playback
        else:
            self._remove(session)
            self._viewer_left(session)

    def _viewer_left(self, session):
        """Tells the core that the viewer has left, and breaks the reference cycle of session and playback.

        Only a full garbage collection would free a cycle, and those are rare (process.py), so it would stay
        for many minutes.
        """
        self.runner.run(self.runner.core.viewer_left, session.playback)
        session.playback = None

    def _cancel_set_up(self, session):
        self._close_set_up(session)
        self.sessions.pop(session.id, None)
        self._viewer_left(session)

    def _connection_closed(self, connection):
        sessions = self.connections.pop(connection)
        self.playback_counts.pop(connection)
        self.answered_connections.pop(connection, None)
        for session in sessions.values():
            self._cancel_set_up(session)

    def send_final_answers(self):
        """Sends the last answer to every open set-up and releases every playback; called once, at shutdown.

        The runner is stopped first, so that an answer or a refusal of a streamer that is still on its way
        causes neither a second answer nor a further attempt. Set-ups that arrive later are rejected.
        """
        self.closing = True
        self.runner.stop()
        for session in self.sessions.values():
            if session.playback.answer is None:
                self._send_refusal(session, self.runner.core.fallback_answer(session.playback))
            else:
                self._send_release(session)
        for _, _, session, _ in self.pending_hand_overs.values():
            self._send_release(session)
        self.transport.send_final_releases()
        self.sessions.clear()
        self.pending_hand_overs.clear()
        for sessions in self.connections.values():
            sessions.clear()

    def shut_down_sending(self):
        """Shuts down sending on every connection; nothing can be sent to viewers afterwards."""
        for connection in list(self.connections):
            connection.shut_down_sending("controller shutdown")

    # Messages to viewers.

    def _close_set_up(self, session):
        """Removes an answered or cancelled set-up from the open ones."""
        if session.connection in self.connections:
            del self.connections[session.connection][session.id]
        self.admission.release(self.runner.clock.now(), session.connection)

    def _on_answer(self, session, answer):
        connection = session.connection
        self._close_set_up(session)
        if answer.kind is AnswerKind.PLAYS:
            self.playback_counts[connection] += 1
            self.answered_connections[connection] = None
            if not connection.send(
                encode_message(m.ANSWER, session.id, (m.DESCRIPTION, session.description))
            ):
                # the connection has just ended, so the viewer does not know that its playback was set up
                self._remove(session)
                self._viewer_left(session)
                return
            while self.undelivered_releases and connection.send(self.undelivered_releases[0][1]):
                self.undelivered_releases.popleft()
            return
        del self.sessions[session.id]
        self._send_refusal(session, answer)

    def _send_refusal(self, session, answer):
        if answer.kind is AnswerKind.ABORTED:
            session.connection.send(encode_release(session.id, m.FAILED))
        else:
            self._send_rejection(session.connection, session.id, answer.retry_after)

    def _send_rejection(self, connection, id, retry_after):
        """Rejects a set-up; `retry_after` is the advised delay in ns, 0 for none.

        The advice is limited to the longest delay that viewers follow.
        """
        retry_after = min(retry_after, self.configuration.deployment.rules.longest_advice)
        advice = [(m.ADVICE, str(retry_after // MS))] if retry_after else []
        connection.send(encode_release(id, m.REJECTED, *advice))

    def _remove(self, session):
        """Removes a playback from those of its connection."""
        self.sessions.pop(session.id, None)
        if session.connection in self.playback_counts:
            self.playback_counts[session.connection] -= 1

    def _playback_ended(self, playback, by_viewer):
        """Called by the transport when a playback is over at its streamer."""
        session = playback.request.context
        if self.sessions.get(session.id) is not session:
            return
        self._remove(session)
        session.playback = None
        if not by_viewer:
            self._send_release(session)

    def _send_release(self, session):
        """Tells the viewer that its playback is over, on any connection that can carry the message."""
        data = encode_release(session.id, m.OVER)
        if not session.connection.send(data) and not any(
            connection.send(data) for connection in self.answered_connections
        ):
            self.undelivered_releases.append((self.runner.clock.now() + RELEASE_RETENTION_NS, data))
