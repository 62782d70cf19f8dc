"""What a source's resources amount to: clusters, their assignments, and the lines that differ. No I/O.

Endpoints may come before their cluster and clusters may go and come back; an assignment counts while its
cluster is there. Costs by the change: only the streamers of the assignments that changed are looked at.
"""

from terndrift.xds import meaning
from terndrift.xds.session import CLUSTER, ENDPOINT


class View:
    """`of_wall`: seconds since 1970 to the service's clock."""

    def __init__(self, of_wall):
        self.of_wall, self.names = of_wall, meaning.Names()
        self.clusters, self.assignments = {}, {}  # name -> message; name -> {id: Line}
        self.held = {}  # id -> {cluster: Line}, of clusters that are there

    def judge(self, type_url, resources):
        """Faults of decoded resources, none applied."""
        if type_url != ENDPOINT:
            return [f"{name}: a cluster without a name" for name in resources if not name]
        out = []
        for message in resources.values():
            out += meaning.lines(message, self.names, self.of_wall)[1]
        return out

    def followed(self):
        """Names of the assignments that are wanted."""
        return {message.eds_cluster_config.service_name or name for name, message in self.clusters.items()}

    def apply(self, accepted):
        """(lines that are there or changed, ids that are gone) after an Accepted."""
        touched = set()
        if accepted.type_url == CLUSTER:
            removed = set(accepted.removed)
            if accepted.whole:
                removed |= self.clusters.keys() - accepted.put.keys()
            before = self.followed()
            for name in removed:
                self.clusters.pop(name, None)
            self.clusters.update(accepted.put)
            for name in before ^ self.followed():
                touched |= self._recount(name)
        else:
            for name in accepted.removed:
                touched |= self._replace(name, {})
                self.assignments.pop(name, None)
            for name, message in accepted.put.items():
                touched |= self._replace(name, meaning.lines(message, self.names, self.of_wall)[0])
        put, gone = [], []
        for id in touched:
            held = self.held.get(id, {})
            said = [held[name] for name in sorted(held)]  # whichever of them came first
            if not said:
                gone.append(id)
                continue
            line = said[0]
            for other in said[1:]:
                line = meaning.worse(line, other)
            put.append(line)
        return put, gone

    def _replace(self, name, lines):
        was = self.assignments.get(name, {})
        self.assignments[name] = lines
        if name not in self.followed():
            return set()
        touched = {id for id in was.keys() | lines.keys() if was.get(id) != lines.get(id)}
        for id in touched:
            self._hold(name, id, lines.get(id))
        return touched

    def _recount(self, name):
        """A cluster came or went: its endpoints count, or no longer do."""
        lines, there = self.assignments.get(name, {}), name in self.followed()
        for id, line in lines.items():
            self._hold(name, id, line if there else None)
        return set(lines)

    def _hold(self, name, id, line):
        held = self.held.setdefault(id, {})
        if line is None:
            held.pop(name, None)
        else:
            held[name] = line
        if not held:
            del self.held[id]
