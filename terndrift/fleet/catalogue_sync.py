"""Synchronisation of the title catalogue after a start, as a controller's disk may be empty or out of date.

A change has the same id on every controller, so of two catalogues the one that has the other's newest change
and later ones is ahead. A controller that has started asks members for the ends of their catalogues; if it
is behind, it takes a copy of the one that is furthest ahead. It must not serve any title before it is
confirmed, so that a title removed everywhere doesn't return from one old disk.

The risk is in operators who change controllers one by one on purpose: such a difference is reported, and
nothing is copied unless two other controllers agree.

The fleet service drives this module and makes the copies; the module does no I/O.
"""

from enum import Enum

from terndrift.fleet.membership import shuffled_by_salt
from terndrift.fleet.messages import CatalogueHead, CatalogueHeadRequest

MS = 1_000_000
SECOND = 1000 * MS
# Between requests, and how many at once. One response of a confirmed member is enough, else those of more
# than half of all controllers, but at most MAX_RESPONSES_NEEDED: where half of them have the newest change,
# the chance that all of these lack it is 1 in 4,096.
REQUEST_INTERVAL_NS, PARALLEL_REQUESTS, MAX_RESPONSES_NEEDED = SECOND // 4, 4, 12
# As long as the recovery stage in which it waits (recovery_stages.STAGE_TIMEOUT_NS). A controller that
# reaches no other then serves what it has.
SYNC_TIMEOUT_NS = 6 * SECOND
# Change ids in a message, so that it fits a datagram. A controller further behind than this still lacks the
# newest change, so it is found to be behind.
HEAD_IDS = 24
COPY = (
    "copy:"  # prefix of the id of the change that installs a copy, which adds the ids of the copied changes
)


class SyncState(Enum):
    """State of the synchronisation."""

    COMPARING = "asks how far others are"
    BEHIND = "takes a copy"
    CONFIRMED = "sure"


TRANSITIONS = {
    SyncState.COMPARING: (SyncState.BEHIND, SyncState.CONFIRMED),
    SyncState.BEHIND: (SyncState.COMPARING, SyncState.CONFIRMED),
    SyncState.CONFIRMED: (),
}


class CatalogueSync:
    """Synchronisation of one controller's catalogue; times are in ns.

    `own_name` is this controller's name. `get_change_ids()` returns the ids of the changes in its catalogue,
    newest last. `peer_count` is the number of other controllers that the records name, whether they are there
    or not: more than half of the few that are up first would be no majority. The owner sends the messages in
    `out`, and in the state BEHIND copies the catalogue of `source` and calls `copied`.
    """

    def __init__(self, own_name, now, get_change_ids, peer_count):
        self.own_name, self.get_change_ids, self.started_at = own_name, get_change_ids, now
        self.standing, self.why = SyncState.COMPARING if peer_count else SyncState.CONFIRMED, ""
        # confirmed_by_peers: responses confirmed it, not the timeout
        self.confirmed_by_peers, self.peer_count = False, peer_count
        self.heads_by_name, self.request_counts, self.outbox, self.next_request_at = {}, {}, [], now
        self.source = None  # member to copy from
        self.failed_sources = set()  # members that could not provide a copy

    def begin(self, now):
        """Restarts the timeout once messages can be sent, as the wait for a first list may exceed it."""
        self.started_at = self.next_request_at = now

    def ids(self):
        """Returns the ids of the changes in the catalogue, newest last, without those that install a copy."""
        return [id for id in self.get_change_ids() if not id.startswith(COPY)]

    def sure(self):
        """Tells whether the catalogue may be served."""
        return self.standing is SyncState.CONFIRMED

    def next_tick_at(self):
        """Returns when `tick` is due; None: no more."""
        return None if self.sure() else self.next_request_at

    def head(self):
        """Returns the end of this catalogue as a message."""
        ids = self.ids()
        return CatalogueHead(len(ids), ids[-HEAD_IDS:], self.confirmed_by_peers)

    def handle_request(self, sender):
        """Responds to a request."""
        self.outbox.append((sender, self.head()))

    def tick(self, now, alive):
        """Sends requests that are due and applies the timeout; `alive`: names of members that are there."""
        if self.sure() or now < self.next_request_at:
            return
        self.next_request_at = now + REQUEST_INTERVAL_NS
        if now - self.started_at >= SYNC_TIMEOUT_NS:
            return self._set_state(
                SyncState.CONFIRMED,
                "timed out without confirmation" if alive else "no other controller is there",
            )
        if self.standing is SyncState.COMPARING:
            remaining = [
                n for n in shuffled_by_salt(alive, f"{self.own_name}+") if n not in self.heads_by_name
            ]
            for to in sorted(remaining, key=lambda n: self.request_counts.get(n, 0))[:PARALLEL_REQUESTS]:
                self.request_counts[to] = self.request_counts.get(to, 0) + 1
                self.outbox.append((to, CatalogueHeadRequest()))
            if not remaining:  # all have responded, and one that failed to provide a copy is not asked again
                self._evaluate()
        return None

    def handle_response(self, sender, head):
        """Takes a response; one that wasn't requested is ignored."""
        if sender in self.request_counts:
            self.heads_by_name[sender] = head
            if self.standing is SyncState.COMPARING:
                self._evaluate()

    def _changes_ahead(self, head):
        """Returns how many changes that catalogue is ahead, 0 if it is not.

        None if the two differ: neither has the other's newest change.
        """
        own_ids = self.ids()
        if not head.last_change_ids or head.last_change_ids[-1] in own_ids:
            return 0
        if not own_ids:
            return head.change_count
        # a controller so far behind that the head no longer has its newest change still has fewer changes
        if own_ids[-1] in head.last_change_ids:
            return len(head.last_change_ids) - head.last_change_ids.index(own_ids[-1]) - 1
        return (
            head.change_count - len(own_ids)
            if head.change_count > HEAD_IDS and head.change_count > len(own_ids)
            else None
        )

    def _evaluate(self):
        """Decides by the responses so far whether to copy, and from whom, or whether all is confirmed."""
        ahead = {name: self._changes_ahead(head) for name, head in self.heads_by_name.items()}
        further = {name: n for name, n in ahead.items() if n and name not in self.failed_sources}
        differing = [name for name, n in ahead.items() if n is None and name not in self.failed_sources]
        agreeing = [
            n
            for n in differing
            if sum(
                self.heads_by_name[m].last_change_ids[-1:] == self.heads_by_name[n].last_change_ids[-1:]
                for m in differing
            )
            > 1
        ]
        if further or agreeing:
            self.source = max(further, key=further.get) if further else agreeing[0]
            return self._set_state(SyncState.BEHIND, f"of {self.source}")
        if any(ahead.values()):
            return None  # those ahead could provide no copy; another member may, until the timeout
        has_confirmed = any(self.heads_by_name[n].confirmed for n, changes in ahead.items() if changes == 0)
        if has_confirmed or len(ahead) >= min(MAX_RESPONSES_NEEDED, self.peer_count // 2 + 1):
            self.confirmed_by_peers = True
            return self._set_state(
                SyncState.CONFIRMED, f"{differing[0]} has another" if differing else "none is ahead"
            )
        return None

    def copied(self, whole):
        """Notes that the copy is in place (`whole`) or failed; after a failure another source is tried."""
        if self.standing is not SyncState.BEHIND:
            return
        if not whole:
            self.failed_sources.add(self.source)
        self.confirmed_by_peers = whole and self.heads_by_name[self.source].confirmed
        self._set_state(
            SyncState.CONFIRMED if self.confirmed_by_peers else SyncState.COMPARING,
            "copied" if self.confirmed_by_peers else "",
        )
        if not self.confirmed_by_peers:
            self._evaluate()  # the source wasn't confirmed itself, so others may be ahead of it

    def _set_state(self, standing, why):
        """Makes every change of the state."""
        assert standing in TRANSITIONS[self.standing], f"{self.standing} to {standing}"
        self.standing, self.why = standing, why
