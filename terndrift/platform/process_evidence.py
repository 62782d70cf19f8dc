"""Which playbacks at a streamer are still served by the process that started them.

A streamer can be replaced without notice: a machine that vanishes and returns with a new process leaves its
old connections open and silent, and new connections to it come up as before. So a connection that comes up
shows nothing about earlier playbacks. What does is a connection on which that earlier process speaks, or a
message about a playback that it started. Owned by a Peer; performs no I/O and reads no clock.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class _TrackedPlayback:
    """A playback at the streamer: when it started there, and when its process was last known to run (ns)."""

    since: int
    last_confirmed_at: int


class ProcessEvidence:
    """What the messages and connections of one streamer show about the process behind its playbacks.

    For each connection it knows a time since which the process at its other end has been running. A
    connection vouches for every playback that started at that time or later. The `last_received_at` of its
    reader tells when the process last spoke on it.
    """

    def __init__(self):
        self.process_since = {}  # Connection -> its process has been running since then (ns)
        self.tracked = {}  # playback ID -> _TrackedPlayback, oldest first

    def connection_opened(self, connection, now):
        """Adds a connection that has just come up."""
        self.process_since[connection] = now

    def connection_closed(self, connection):
        """Removes a connection; the playbacks that it vouched for were alive when it was last heard."""
        since, heard_at = self.process_since.pop(connection), connection.reader.last_received_at
        for playback in self.tracked.values():
            if playback.since >= since:
                playback.last_confirmed_at = max(playback.last_confirmed_at, heard_at)

    def playback_started(self, id, now):
        """Adds a playback that plays at the streamer."""
        self.tracked[id] = _TrackedPlayback(now, now)

    def playback_ended(self, id):
        """Removes a playback, if it is known."""
        self.tracked.pop(id, None)

    def message_received(self, connection, id):
        """Takes account of a message about the playback `id`, which may be unknown, on `connection`.

        The sender has been running since the connection was opened, and since it started that playback. All
        connections opened after that lead to the same process.
        """
        since = self.process_since[connection]
        if (playback := self.tracked.get(id)) is not None:
            since = min(since, playback.since)
        for other, other_since in self.process_since.items():
            if other_since > since:
                self.process_since[other] = since

    def witness(self):
        """Returns the connection whose process has been running for longest, None if nothing plays."""
        if not self.tracked:
            return None
        return min(self.process_since, key=self.process_since.get, default=None)

    def heard_at(self):
        """Returns when the streamer last spoke or took a connection (ns), 0 if no connection is open."""
        return max((connection.reader.last_received_at for connection in self.process_since), default=0)

    def silence(self, now):
        """Returns for how long (ns) the process of the oldest playback has not spoken, 0 if nothing plays."""
        oldest = next(iter(self.tracked.values()), None)
        return now - self._confirmed_at(oldest) if oldest else 0

    def lost_playbacks(self, now, max_silence):
        """Returns the IDs of the playbacks that no connection vouches for and that were not confirmed within
        `max_silence` (ns)."""
        running_since = min(self.process_since.values(), default=now)
        return [
            id
            for id, playback in self.tracked.items()
            if playback.since < running_since and now - playback.last_confirmed_at > max_silence
        ]

    def _confirmed_at(self, playback):
        heard = [
            connection.reader.last_received_at
            for connection, since in self.process_since.items()
            if since <= playback.since
        ]
        return max([playback.last_confirmed_at, *heard])
