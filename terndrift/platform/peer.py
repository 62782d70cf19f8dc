"""A streamer as the carrier knows it: its address, the connections to it, and what runs there."""

# Connections to one streamer at most; further set-ups share them. One set-up on each while that goes: a
# spoilt answer takes down all that is open on its connection (DAYS, "Bad peers").
MOST = 4


class Peer:
    """A streamer and the connections to it."""

    def __init__(self, entry, name, address):
        self.id, self.started, self.name, self.address = entry.id, entry.started, name, address
        self.gone = False
        self.connections = {}  # Connection -> {playback's id: Attempt} of attempts on it
        self.connecting = 0
        self.playing = {}  # playback's id -> Carried
        self.expected = {}  # id -> called with the rung of what plays there and is to be handed over
        self.waiting = []  # bytes to send once a connection is up
        self.heard, self.keeper = 0, None

    def idle(self):
        """Whether nothing needs it any more."""
        return not (
            self.playing or self.expected or self.connecting or self.waiting or any(self.connections.values())
        )

    def up(self):
        """The connections on which messages can be sent."""
        return [one for one in self.connections if one.up()]

    def for_set_up(self, stale, most_on_one):
        """A connection for a set-up, None: one is to be made. `stale(connection)`: whether the streamer may
        be about to close it as idle; `most_on_one`: set-ups that a connection carries at once."""
        usable = [one for one in self.up() if not one.unsent() and not stale(one)]
        free = next((one for one in usable if not self.connections[one]), None)
        if free is not None or len(self.connections) + self.connecting < MOST:
            return free
        shared = min(usable, key=lambda one: len(self.connections[one]), default=None)
        if shared is None or len(self.connections[shared]) >= most_on_one:
            return None
        return shared
