"""Which tries belong to one viewer: by what the player calls its visit (CMCD `sid`) and the title.

A second request of a visit while its first is still awaited joins that one: both get the same answer and
no second playback is set up. One that comes after the answer is a later try of the same visit. A name that
is used for two titles is two visits. Decides; free of I/O and clocks.
"""

from collections import OrderedDict

SECOND = 1_000_000_000
# Viewers come again within seconds; after so long without a request the same name is a new visit.
FORGET = 60 * SECOND
# Requests that may wait on one playback: a player has one or two out. Guards against one name sent by all.
MOST_JOINED = 8


class Visit:
    def __init__(self, key, now):
        self.key, self.first, self.seen = key, now, now
        self.tries = 0  # playbacks taken for it
        self.awaited = None  # the playback whose answer is awaited
        self.joined = 0


class Visits:
    """At most `room` visits are remembered; the longest unseen go first."""

    def __init__(self, room):
        self.room, self.visits = room, OrderedDict()

    def come(self, now, name, title):
        """The visit of a request, and whether it joins the playback awaited there; (None, False): no name."""
        self._forget(now)
        if not name:
            return None, False
        visit = self.visits.get((name, title))
        if visit is None:
            visit = self.visits[name, title] = Visit((name, title), now)
            while len(self.visits) > self.room:
                self.visits.popitem(last=False)
        self.visits.move_to_end(visit.key)
        visit.seen = now
        if visit.awaited is not None and visit.joined < MOST_JOINED:
            visit.joined += 1
            return visit, True
        return visit, False

    def taken(self, visit, playback):
        visit.tries, visit.awaited, visit.joined = visit.tries + 1, playback, 0

    def answered(self, visit, playback):
        if visit.awaited is playback:
            visit.awaited = None

    def _forget(self, now):
        while self.visits:
            oldest = next(iter(self.visits.values()))
            if now - oldest.seen < FORGET or oldest.awaited is not None:
                return
            del self.visits[oldest.key]
