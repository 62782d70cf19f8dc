"""Which playbacks at a streamer are still served by the process that started them.

A streamer can be replaced without notice: a machine that vanishes and returns with a new process leaves its
old connections open and silent, and new connections to it come up as before. So a connection that comes up
shows nothing about earlier playbacks, unless the process spoke so shortly before that it can't have been
replaced. What shows that they go on is a connection on which that earlier process speaks, or a message about
a playback that it started. Owned by a Peer; performs no I/O and reads no clock.
"""

from dataclasses import dataclass

BEFORE_START = 0  # a time before any that the clock tells


@dataclass(slots=True)
class _TrackedConnection:
    """An open connection; times in ns."""

    process_since: int  # the process at its other end has been running since then
    heard_at: int  # when that process last showed itself on it


@dataclass(slots=True)
class _TrackedPlayback:
    """A playback at the streamer; times in ns."""

    since: int  # when it started there
    confirmed_at: int  # when the process that started it was known to run, by connections that have ended


class ProcessEvidence:
    """What the messages and connections of one streamer show about the process behind its playbacks.

    A connection vouches for the playbacks that started while the process at its other end was running. A
    process takes at least `min_outage` ns to be replaced.
    """

    def __init__(self, min_outage):
        self.min_outage = min_outage
        self.connections = {}  # Connection -> _TrackedConnection
        self.playbacks = {}  # playback ID -> _TrackedPlayback, in the order of their start
        self.last_speaker = None  # _TrackedConnection as it was when a process last spoke

    def connection_opened(self, connection, now):
        """Adds a connection that has just come up."""
        last = self.last_speaker
        same_process = last is not None and now - last.heard_at < self.min_outage
        self.connections[connection] = _TrackedConnection(last.process_since if same_process else now, now)

    def connection_closed(self, connection):
        """Removes a connection; the playbacks that it vouched for were alive when it was last heard."""
        closed = self.connections.pop(connection)
        for playback in self.playbacks.values():
            if playback.since >= closed.process_since:
                playback.confirmed_at = max(playback.confirmed_at, closed.heard_at)

    def playback_started(self, id, now):
        """Adds a playback that was set up at the streamer."""
        self.playbacks[id] = _TrackedPlayback(now, now)

    def playback_handed_over(self, id, now):
        """Adds a playback that was running before this controller started, like all that are handed over.

        It is taken to be still there: the connections that are open now vouch for it.
        """
        self.playbacks = {id: _TrackedPlayback(BEFORE_START, now), **self.playbacks}
        for connection in self.connections.values():
            connection.process_since = BEFORE_START

    def playback_ended(self, id):
        """Removes a playback, if it is known."""
        self.playbacks.pop(id, None)

    def process_spoke(self, connection, now, id=None):
        """Takes account of a sign of life on a connection; `id`: of the playback that it is about, if any.

        The process has been running since the connection was opened, and since it started that playback. All
        connections opened after that lead to the same process.
        """
        speaker = self.connections[connection]
        speaker.heard_at = now
        if (playback := self.playbacks.get(id)) is not None:
            speaker.process_since = min(speaker.process_since, playback.since)
        for other in self.connections.values():
            other.process_since = min(other.process_since, speaker.process_since)
        self.last_speaker = _TrackedConnection(speaker.process_since, now)

    def connection_refused(self):
        """Takes account of a refused connection: no process listened.

        A process that still has connections refuses one for want of room. Without any, the one that spoke
        last may have ended, so a connection that comes up does not vouch for what was set up before.
        """
        if not self.connections:
            self.last_speaker = None

    def witness(self):
        """Returns the connection whose process has been running for longest, None if nothing plays."""
        if not self.playbacks:
            return None
        return min(self.connections, key=lambda open: self.connections[open].process_since, default=None)

    def heard_at(self):
        """Returns when the streamer last spoke or took a connection (ns), 0 if no connection is open."""
        return max((connection.heard_at for connection in self.connections.values()), default=0)

    def silence(self, now):
        """Returns for how long (ns) the process of the oldest playback has not spoken, 0 if nothing plays."""
        oldest = next(iter(self.playbacks.values()), None)
        return now - self._confirmed_at(oldest) if oldest else 0

    def lost_playbacks(self, now, timeout):
        """Returns the IDs of the playbacks that no connection vouches for, and that were not confirmed within
        `timeout` (ns)."""
        running_since = min((open.process_since for open in self.connections.values()), default=now)
        return [
            id
            for id, playback in self.playbacks.items()
            if playback.since < running_since and now - playback.confirmed_at > timeout
        ]

    def _confirmed_at(self, playback):
        heard = [
            connection.heard_at
            for connection in self.connections.values()
            if connection.process_since <= playback.since
        ]
        return max([playback.confirmed_at, *heard])
