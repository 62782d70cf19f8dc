"""The two forms of a subscription, state of the world and delta: what to send for what arrives. No I/O.

Both take decoded responses and hand back what is to be sent (as plain values that the codec encodes) and the
resources that were accepted. A response with any fault is refused whole (NACK with all reasons), and the last
accepted one stays in force: guards against a source that is half right, whatever broke the other half. It
could do harm where a source can never mend one endpoint: then its good changes wait too, and the log says
for what.

Sources: the xDS protocol page of Envoy's documentation, "State of the World" and "Incremental".
"""

from dataclasses import dataclass, field

CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ENDPOINT = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
TYPES = (CLUSTER, ENDPOINT)


# Of a NACK's reasons, so many characters at most: a source logs them, and some cut a message of any length.
MOST_SAID = 4000


def reasons(broken):
    """All that is wrong, in one text; what does not fit is counted."""
    said, left = [], MOST_SAID
    for n, what in enumerate(broken):
        left -= len(what) + 2
        if left < 0:
            said.append(f"and {len(broken) - n} more")
            break
        said.append(what)
    return "; ".join(said)


@dataclass(frozen=True)
class Send:
    """A request to the source."""

    type_url: str
    names: tuple = ()  # state of the world: all that is subscribed to; empty: everything
    version: str = ""
    nonce: str = ""
    error: str = ""  # why the response of that nonce is refused
    subscribe: tuple = ()  # delta only, from here on
    unsubscribe: tuple = ()
    initial: tuple = ()  # (name, version) known from before a reconnect


@dataclass
class Accepted:
    """What a response changed: name -> resource, names removed, whether `put` is all there is."""

    type_url: str
    put: dict = field(default_factory=dict)
    removed: tuple = ()
    whole: bool = False
    version: str = ""


class World:
    """State of the world. Clusters come whole; endpoints come by name, and a name left out says nothing."""

    def __init__(self):
        self.version = dict.fromkeys(TYPES, "")
        self.nonce = dict.fromkeys(TYPES, "")
        self.names = {CLUSTER: (), ENDPOINT: ()}
        self.last = {}  # type -> refused reasons of late, for whoever asks

    def begin(self):
        """The first requests on a new stream: with the versions known, and without a nonce, which is the old
        stream's. Endpoints are asked for once clusters have named some."""
        self.nonce = dict.fromkeys(TYPES, "")
        out = [Send(CLUSTER, (), self.version[CLUSTER])]
        if self.names[ENDPOINT]:
            out.append(Send(ENDPOINT, self.names[ENDPOINT], self.version[ENDPOINT]))
        return out

    def follow(self, names):
        """Endpoints of these clusters are wanted from now on."""
        names = tuple(sorted(names))
        if names == self.names[ENDPOINT]:
            return []
        self.names[ENDPOINT] = names
        return [Send(ENDPOINT, names, self.version[ENDPOINT], self.nonce[ENDPOINT])] if names else []

    def answered(self, type_url, version, nonce, resources, broken=()):
        """A response: `resources` name -> decoded, `broken` faults of those that could not be decoded.
        Returns (requests to send, Accepted or None)."""
        if type_url not in TYPES:
            # nothing of this type was asked for; refusing it by its own type tells the source so
            return [Send(type_url, (), "", nonce, f"type {type_url} was not asked for")], None
        self.nonce[type_url] = nonce
        names = self.names[type_url]
        if broken:
            self.last[type_url] = broken
            return [Send(type_url, names, self.version[type_url], nonce, reasons(broken))], None
        self.last.pop(type_url, None)
        self.version[type_url] = version
        return (
            [Send(type_url, names, version, nonce)],
            Accepted(type_url, resources, (), type_url == CLUSTER, version),
        )


class Delta:
    """Incremental: each resource with a version of its own, removals by name."""

    def __init__(self):
        self.versions = {CLUSTER: {}, ENDPOINT: {}}  # name -> version known
        self.names = {CLUSTER: (), ENDPOINT: ()}
        self.last = {}

    def begin(self):
        out = []
        for type_url in TYPES:
            names = self.names[type_url] or (("*",) if type_url == CLUSTER else ())
            if names:
                known = tuple(sorted(self.versions[type_url].items()))
                out.append(Send(type_url, subscribe=names, initial=known))
        return out

    def follow(self, names):
        was, now = set(self.names[ENDPOINT]), set(names)
        self.names[ENDPOINT] = tuple(sorted(now))
        for name in was - now:
            self.versions[ENDPOINT].pop(name, None)
        more, less = tuple(sorted(now - was)), tuple(sorted(was - now))
        return [Send(ENDPOINT, subscribe=more, unsubscribe=less)] if more or less else []

    def answered(self, type_url, version, nonce, resources, broken=(), versions=None, removed=()):
        """`versions`: name -> version of each resource."""
        if type_url not in TYPES:
            return [Send(type_url, nonce=nonce, error=f"type {type_url} was not asked for")], None
        if broken:
            self.last[type_url] = broken
            return [Send(type_url, nonce=nonce, error=reasons(broken))], None
        self.last.pop(type_url, None)
        known = self.versions[type_url]
        known.update(versions or {})
        gone = tuple(name for name in removed if known.pop(name, None) is not None)
        return [Send(type_url, nonce=nonce)], Accepted(type_url, resources, gone, False, version)
