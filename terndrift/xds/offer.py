"""What a controller's own list is as clusters and endpoints, and what each subscriber is due. Decides; no
I/O.

A cluster for each rack, so that a change costs by the rack and not by the list. Versions are marks of the
content: the same list has the same versions on every controller and after every restart, so that a subscriber
who comes back, here or elsewhere, is sent what differs alone.

One response of a type is out to a subscriber at a time; what changes until its ACK is gathered and goes
in one. Guards against slow subscribers: nothing is queued for them but names. It could do harm where a
subscriber never answers: it then keeps what it had, and `terndrift xds dump` of it shows an old version.
"""

import hashlib
from dataclasses import replace

from terndrift.xds.codec import assignment_bytes, cluster_bytes, mark
from terndrift.xds.session import CLUSTER, ENDPOINT, TYPES

# Bytes in one response where it may be split: half of the 4 MiB that gRPC takes by default, and room.
PART = 1 << 20


def group_of(line):
    return f"rack-{line.rack}"


class Offer:
    """`wall(ns)`: seconds since 1970 of the service's time."""

    def __init__(self, wall, region="", numbers=None):
        self.wall, self.region, self.numbers = wall, region, numbers or (lambda address: None)
        self.groups, self.where = {}, {}  # name -> {address: Line}; address -> name
        self.made = {CLUSTER: {}, ENDPOINT: {}}  # type -> name -> (version, bytes)
        self.missing = {}  # (type, name) not yet made since they changed

    def changed(self, changed):
        """{address: Line or None}, as the merged list tells it; returns the names that differ by type."""
        out = {CLUSTER: set(), ENDPOINT: set()}
        for address, line in changed.items():
            was = self.where.get(address)
            name = group_of(line) if line is not None else None
            if was is not None and was != name:
                self.groups[was].pop(address)
                out[ENDPOINT].add(was)
                if not self.groups[was]:
                    del self.groups[was]
                    out[CLUSTER].add(was)
            if name is None:
                self.where.pop(address, None)
                continue
            if name not in self.groups:
                self.groups[name] = {}
                out[CLUSTER].add(name)
            self.groups[name][address] = line
            self.where[address] = name
            out[ENDPOINT].add(name)
        for type_url, names in out.items():
            for name in names:
                self.made[type_url].pop(name, None)
                self.missing[type_url, name] = None
        return out

    def making(self):
        """A generator that makes the resources that changed, one at a step: they are long work."""
        while self.missing:
            type_url, name = next(iter(self.missing))
            del self.missing[type_url, name]
            self.resource(type_url, name)
            yield

    def names(self):
        return self.groups.keys()

    def resource(self, type_url, name):
        """(version, bytes), or None where there is no such cluster."""
        lines = self.groups.get(name)
        if lines is None:
            return None
        made = self.made[type_url].get(name)
        if made is None:
            if type_url == CLUSTER:
                data = cluster_bytes(name)
            else:
                lines = [
                    line if line.id is not None else self._numbered(line) for _, line in sorted(lines.items())
                ]
                data = assignment_bytes(name, lines, self.wall, self.region)
            made = self.made[type_url][name] = mark(data), data
        return made

    def _numbered(self, line):
        return replace(line, id=self.numbers(line.address))

    def version(self, type_url, names):
        """The mark of all of these together."""
        own = hashlib.blake2b(digest_size=8)
        for name in sorted(names):
            found = self.resource(type_url, name)
            if found:
                own.update(f"{name}={found[0]};".encode())
        return own.hexdigest()


class Due:
    """A response: (type, version, nonce, [(name, version, bytes)], names removed)."""

    def __init__(self, type_url, version, nonce, resources, removed):
        self.type_url, self.version, self.nonce = type_url, version, nonce
        self.resources, self.removed = resources, removed


class Following:
    """One type on one stream."""

    def __init__(self):
        self.asked = False  # for the first time
        self.all, self.names = False, set()
        self.known = {}  # name -> version that was sent and not refused
        self.dirty = set()  # names to look at
        self.last, self.out = "", None  # the newest nonce; names that it told, until they are ACKed
        self.refused = None  # why the last was, until something changes

    def wants(self, name):
        return self.all or name in self.names


class Subscriber:
    """One stream of one client, in either form."""

    def __init__(self, form):
        self.form, self.node, self.nonces = form, "", 0
        self.types = {t: Following() for t in TYPES}

    def changed(self, changed):
        """Names that differ by type, as `Offer.changed` says."""
        for type_url, names in changed.items():
            of = self.types[type_url]
            of.dirty.update(n for n in names if of.wants(n))

    def heard(self, asked, offer):
        """A request. Returns what is wrong with it, or None."""
        self.node = asked.node or self.node
        of = self.types.get(asked.type_url)
        if of is None:
            return f"nothing of type {asked.type_url} is served"
        if asked.nonce:
            if asked.nonce != of.last:
                return None  # overtaken: the answer to the newest is still to come
            if of.out is not None:  # else it is answered, and asks for other names now
                of.refused = asked.error or None
                if asked.error:
                    for name in of.out:  # it has what it had before; it is sent what comes next
                        of.known.pop(name, None)
                of.out = None
        (self._delta if self.form == "delta" else self._world)(asked, of, offer)
        of.asked = True
        return None

    def _delta(self, asked, of, offer):
        if not of.asked:
            of.known = dict(asked.initial)
            of.dirty.update(of.known)
            of.all = asked.type_url == CLUSTER and not asked.subscribe
        of.all = (of.all or "*" in asked.subscribe) and "*" not in asked.unsubscribe
        names = set(asked.subscribe) - {"*"}
        if of.asked:
            for name in names:  # asked for again: sent again
                of.known.pop(name, None)
        of.names = (of.names | names) - set(asked.unsubscribe)
        of.dirty |= names
        for name in asked.unsubscribe:
            of.known.pop(name, None)
            of.dirty.discard(name)
        if of.all and (not of.asked or "*" in asked.subscribe):
            of.dirty.update(offer.names())

    def _world(self, asked, of, offer):
        names = set(asked.names) - {"*"}
        every = (
            "*" in asked.names
            or not of.asked
            and not names
            and asked.type_url == CLUSTER
            or (of.all and not names)
        )
        fresh = not of.asked or every != of.all or names != of.names
        of.all, of.names = every, names
        if not fresh:
            return
        wanted = self._wanted(of, offer)
        of.known = {n: v for n, v in of.known.items() if of.wants(n)}
        if not of.asked and asked.version and asked.version == offer.version(asked.type_url, wanted):
            of.known = {n: offer.resource(asked.type_url, n)[0] for n in wanted if n in offer.names()}
        of.dirty.update(wanted)

    @staticmethod
    def _wanted(of, offer):
        return set(offer.names()) if of.all else set(of.names)

    def due(self, offer):
        """What is to be sent now."""
        out = []
        for type_url, of in self.types.items():
            if not of.asked or of.out is not None or not of.dirty:
                continue
            found = self._due(type_url, of, offer)
            if found is not None:
                out.append(found)
        return out

    def _due(self, type_url, of, offer):
        differs, removed, size = [], [], 0
        for name in sorted(of.dirty):
            resource = offer.resource(type_url, name) if of.wants(name) or name in of.known else None
            if resource is None or not of.wants(name):
                of.dirty.discard(name)
                if of.known.pop(name, None) is not None or (name in of.names and self.form == "delta"):
                    removed.append(name)  # a name asked for that is not there is told so, too
                continue
            if of.known.get(name) == resource[0]:
                of.dirty.discard(name)
                continue
            if size and size + len(resource[1]) > PART and (self.form == "delta" or type_url == ENDPOINT):
                break  # the rest goes once this is taken
            size += len(resource[1])
            differs.append((name, *resource))
            of.dirty.discard(name)
        if not differs and not removed:
            return None
        of.known.update((name, version) for name, version, _ in differs)
        if self.form == "sotw":
            if type_url == CLUSTER:  # always whole: what is left out is gone
                differs = [
                    (n, *offer.resource(type_url, n))
                    for n in sorted(self._wanted(of, offer))
                    if n in offer.names()
                ]
            elif not differs:
                return None  # endpoints left out say nothing: the cluster's going says it
        self.nonces += 1
        nonce = of.last = f"{self.nonces}"
        of.out = [name for name, _, _ in differs]
        version = offer.version(type_url, self._wanted(of, offer))
        return Due(type_url, version, nonce, differs, removed if self.form == "delta" else ())
