"""Connection state of one streamer: its address, the connections to it, and the playbacks there.

Owned by the transport, which opens and closes the connections.
"""

from terndrift.platform.process_evidence import ProcessEvidence

# Connections per streamer; beyond these, set-ups share connections. Up to here each set-up gets one of its
# own, as an unreadable answer fails every set-up on its connection (DAYS, "Bad peers").
MAX_CONNECTIONS_PER_STREAMER = 4


class Peer:
    """A streamer and the connections to it; its process takes at least `min_outage` ns to be replaced."""

    def __init__(self, entry, name, address, min_outage):
        self.id, self.started, self.name, self.address = entry.id, entry.started, name, address
        self.delisted = False  # no longer on the server list
        self.connections = {}  # Connection -> {playback ID: Attempt} of the attempts sent on it
        self.pending_connects = 0  # connections being made
        self.playbacks = {}  # playback ID -> ActivePlayback of what plays there
        # playback ID -> callback that takes the current rung of a playback to be handed over
        self.hand_overs = {}
        self.unsent_messages = []  # bytes to send on the next connection
        self.evidence = ProcessEvidence(min_outage)  # which of the playbacks its process still serves
        self.checked_at = 0  # when its silence was last checked (ns)
        self.reconnect_task = None  # the task that restores the connection, None if none runs
        # Connections that the controller closed though the streamer may have sent something on them that was
        # not read, and how many of them had been closed when the newest connection was begun.
        self.input_losses, self.recovered_losses = 0, 0

    def add_connection(self, connection, now, input_losses):
        """Adds a connection that has just come up; `input_losses` is the count when it was begun."""
        self.connections[connection] = {}
        self.recovered_losses = max(self.recovered_losses, input_losses)
        self.evidence.connection_opened(connection, now)

    def remove_connection(self, connection, now):
        """Removes a connection that has ended and returns the attempts that were sent on it."""
        if connection.was_closed_unprompted(now):  # only a process that runs does so
            self.evidence.process_spoke(connection, now)
        if connection.closed_locally and not connection.closed_unused:
            self.input_losses += 1
        self.evidence.connection_closed(connection)
        return self.connections.pop(connection)

    def may_have_missed_release(self):
        """Whether the release of something that is over may have been lost with a closed connection.

        The streamer sends releases again on the next connection opened, so this ends with a connection that
        was begun after the loss.
        """
        return bool(self.playbacks or self.hand_overs) and self.recovered_losses < self.input_losses

    def add_playback(self, id, playback, now):
        """Adds a playback that was set up there."""
        self.playbacks[id] = playback
        self.evidence.playback_started(id, now)

    def add_handed_over(self, id, playback, now):
        """Adds a playback that was running there before it was handed over to this controller."""
        self.playbacks[id] = playback
        self.evidence.playback_handed_over(id, now)

    def remove_playback(self, id):
        """Removes a playback that is over and returns it, None if it is unknown."""
        self.evidence.playback_ended(id)
        return self.playbacks.pop(id, None)

    def is_unused(self):
        """Whether no playback, attempt or message depends on this streamer any more."""
        return not (
            self.playbacks
            or self.hand_overs
            or self.pending_connects
            or self.unsent_messages
            or any(self.connections.values())
        )

    def open_connections(self):
        """The connections on which messages can be sent."""
        return [connection for connection in self.connections if connection.is_open()]

    def connection_for_set_up(self, is_stale, max_set_ups):
        """Returns a connection to send a set-up on, or None if a new one has to be made.

        `is_stale(connection)` tells whether the streamer may be about to close it as idle; `max_set_ups` is
        the number of set-ups that one connection may carry at once.
        """
        usable = [
            connection
            for connection in self.open_connections()
            if not connection.has_unsent_output() and not is_stale(connection)
        ]
        free = next((connection for connection in usable if not self.connections[connection]), None)
        if free is not None or len(self.connections) + self.pending_connects < MAX_CONNECTIONS_PER_STREAMER:
            return free
        shared = min(usable, key=lambda connection: len(self.connections[connection]), default=None)
        if shared is None or len(self.connections[shared]) >= max_set_ups:
            return None
        return shared
