"""What a source's resources amount to: clusters, their assignments, and the lines that differ. No I/O.

Endpoints may come before their cluster and clusters may go and come back; an assignment counts while a
cluster follows it. Costs by the change: only the streamers of the assignments that changed are looked at.
What a change touches may be asked for in slices, so the calls that can be long are generators.
"""

import heapq

from terndrift.xds import meaning
from terndrift.xds.session import CLUSTER
from terndrift.xds.tiers import open_tiers

# Streamers compared between two pauses: a ms or so.
SLICE = 256


class View:
    def __init__(self):
        self.clusters, self.assignments = {}, {}  # name -> meaning.Cluster; name -> meaning.Assignment
        self.followers = {}  # assignment's name -> names of clusters that follow it
        self.held = {}  # address -> {assignment's name: Line}, of those that are followed
        self.terms = {}  # assignment's name -> (tiers in use, facts of its cluster, whether it is stale)
        self.stale, self.due = set(), {}  # assignments past their time; name -> when it goes stale
        self.times = []  # (when, name): heap of the same

    def followed(self):
        """Names of the assignments that are wanted."""
        return set(self.followers)

    def apply(self, accepted, now=0):
        """A generator over an Accepted: yields now and then, and returns (lines that are there or changed,
        addresses that are gone)."""
        touched = set()
        if accepted.type_url == CLUSTER:
            removed = set(accepted.removed)
            if accepted.whole:
                removed |= self.clusters.keys() - accepted.put.keys()
            for name in removed:
                yield from self._cluster(name, None, touched)
            for name, cluster in accepted.put.items():
                yield from self._cluster(name, cluster, touched)
                yield
        else:
            for name in accepted.removed:
                yield from self._assignment(name, None, touched, now)
            for name, assignment in accepted.put.items():
                yield from self._assignment(name, assignment, touched, now)
                yield
        return (yield from self._told(touched))

    def lines(self):
        """A generator that returns all there is, as `apply` would tell it."""
        return (yield from self._told(list(self.held)))[0]

    def limits(self):
        """{cluster: (part to turn away, most playbacks or None)} of those that state any."""
        out = {}
        for name, cluster in self.clusters.items():
            said = self.assignments.get(cluster.follows)
            drop = said.drop if said else 0.0
            if drop or cluster.most is not None:
                out[name] = drop, cluster.most
        return out

    def clusters_of(self, address):
        """Names of the clusters that list a streamer."""
        return [name for said in self.held.get(address, ()) for name in self.followers.get(said, ())]

    def members(self, name):
        """Addresses of a cluster's streamers."""
        cluster = self.clusters.get(name)
        said = cluster and self.assignments.get(cluster.follows)
        return set(said.lines) if said else set()

    def expire(self, now):
        """As `apply`: endpoints whose assignment has had no news for the time that it states are gone."""
        touched = set()
        while self.times and self.times[0][0] <= now:
            at, name = heapq.heappop(self.times)
            if self.due.get(name) == at:
                del self.due[name]
                self.stale.add(name)
                yield from self._compare(name, touched)
        return (yield from self._told(touched))

    def _told(self, touched):
        put, gone = [], []
        for n, address in enumerate(touched, 1):
            if n % SLICE == 0:
                yield
            held = self.held.get(address)
            if not held:
                gone.append(address)
                continue
            said = [held[name] for name in sorted(held)]  # whichever of them came first
            line = said[0]
            for other in said[1:]:
                line = meaning.worse(line, other)
            put.append(line)
        return put, gone

    def _cluster(self, name, cluster, touched):
        was = self.clusters.get(name)
        if was == cluster:
            return
        if cluster is None:
            del self.clusters[name]
        else:
            self.clusters[name] = cluster
        for one, there in ((was, False), (cluster, True)):
            if one is None:
                continue
            names = self.followers.setdefault(one.follows, set())
            (names.add if there else names.discard)(name)
            if not names:
                del self.followers[one.follows]
        for follows in {one.follows for one in (was, cluster) if one}:
            yield from self._compare(follows, touched)

    def _assignment(self, name, assignment, touched, now):
        was = self.assignments.get(name)
        if assignment is None:
            self.assignments.pop(name, None)
        else:
            self.assignments[name] = assignment
        self.stale.discard(name)
        self.due.pop(name, None)
        if assignment is not None and assignment.stale_after:
            self.due[name] = now + assignment.stale_after
            heapq.heappush(self.times, (self.due[name], name))
        yield from self._compare(name, touched, was)

    def _compare(self, name, touched, before=None):
        """Holds the streamers of an assignment to what is in force of it; `before` is what it was, too."""
        said, names = self.assignments.get(name), self.followers.get(name)
        lines = said.lines if said is not None and names else {}
        facts = self.clusters[min(names)].facts if names else meaning.NOTHING
        tiers = open_tiers(lines.values())
        was = before.lines if before is not None else {}
        terms = tiers, facts, name in self.stale
        if lines and self.terms.get(name) == terms and before is not None:
            # endpoints that are as they were are the very same objects, see `meaning.assignment`
            addresses = [a for a, found in lines.items() if was.get(a) is not found]
            addresses += [a for a in was if a not in lines]
        else:
            addresses = lines.keys() | was.keys() | (said.lines.keys() if said else set())
        self.terms[name] = terms
        if not lines:
            del self.terms[name]
        for n, address in enumerate(addresses, 1):
            found = lines.get(address)
            line = None
            if found is not None:
                line = meaning.whole(found[0], found[2], facts)
                if name in self.stale:
                    line = meaning.replace(line, standing="gone")
                elif found[1] > tiers and line.standing == "ready":
                    line = meaning.replace(line, standing="draining")
            self._hold(name, address, line, touched)
            if n % SLICE == 0:
                yield

    def _hold(self, name, address, line, touched):
        held = self.held.get(address, {})
        if held.get(name) == line:
            return
        touched.add(address)
        if line is None:
            del held[name]
            if not held:
                del self.held[address]
        else:
            self.held.setdefault(address, held)[name] = line
