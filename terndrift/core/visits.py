"""Groups a viewer's requests into visits, by the player's session id (CMCD `sid`) and the title.

A request that comes while an earlier one of the same visit awaits its answer joins that one: both get the
same answer and no second playback is set up. A request after the answer is a further attempt of the same
visit. One session id used for two titles makes two visits. Called by the HTTP front; no I/O and no clock: the
caller passes the time in ns.
"""

from collections import OrderedDict

SECOND = 1_000_000_000
# Viewers retry within seconds; after this long without a request, the same session id starts a new visit.
VISIT_TTL_NS = 60 * SECOND
# Requests that may join one playback. A player has one or two in flight; the limit covers clients that all
# send the same session id.
MAX_JOINED_REQUESTS = 8


class Visit:
    """Requests of one viewer for one title; `key` is (session id, title)."""

    def __init__(self, key, now):
        self.key, self.first_seen, self.last_seen = key, now, now
        self.attempts = 0  # playbacks requested for it
        self.pending_playback = None  # the playback whose answer is awaited
        self.joined = 0  # requests that joined it


class Visits:
    """The known visits, `capacity` at most; those without a request for longest are removed first."""

    def __init__(self, capacity):
        self.capacity, self.visits = capacity, OrderedDict()

    def register_request(self, now, session_id, title):
        """Return the visit that a request belongs to and whether it joins the playback awaited there.

        Returns (None, False) for a request without a session id.
        """
        self._remove_expired(now)
        if not session_id:
            return None, False
        visit = self.visits.get((session_id, title))
        if visit is None:
            visit = self.visits[session_id, title] = Visit((session_id, title), now)
            while len(self.visits) > self.capacity:
                self.visits.popitem(last=False)
        self.visits.move_to_end(visit.key)
        visit.last_seen = now
        if visit.pending_playback is not None and visit.joined < MAX_JOINED_REQUESTS:
            visit.joined += 1
            return visit, True
        return visit, False

    def playback_requested(self, visit, playback):
        """Record that `playback` was requested for the visit and that its answer is awaited."""
        visit.attempts, visit.pending_playback, visit.joined = visit.attempts + 1, playback, 0

    def playback_answered(self, visit, playback):
        """Record that `playback` was answered; a newer one of the visit stays awaited."""
        if visit.pending_playback is playback:
            visit.pending_playback = None

    def _remove_expired(self, now):
        while self.visits:
            oldest = next(iter(self.visits.values()))
            if now - oldest.last_seen < VISIT_TTL_NS or oldest.pending_playback is not None:
                return
            del self.visits[oldest.key]
