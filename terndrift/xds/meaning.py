"""What clusters and endpoints mean here: streamers as lines of the list. No I/O.

docs/xds.md has the table of what is taken, refused and ignored. An address in two clusters is one streamer:
the worst standing and the newest start of what they say count, for the rest the cluster whose name comes
first. What a cluster's metadata says of rack, kind and weight counts for its endpoints that say nothing.
"""

import zlib
from dataclasses import dataclass, field, replace

from terndrift.listing.lines import Line, worst

SECOND = 1_000_000_000
METADATA = "terndrift"
# envoy.config.core.v3.HealthStatus: UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT, DEGRADED
STANDING = {0: "ready", 1: "ready", 2: "gone", 3: "draining", 4: "gone", 5: "draining"}
# Endpoints read between two pauses: a ms or two of work.
SLICE = 128
# Parts of a drop: envoy.type.v3.FractionalPercent's HUNDRED, TEN_THOUSAND, MILLION
PARTS = {0: 100, 1: 10_000, 2: 1_000_000}


@dataclass(frozen=True, slots=True)
class Facts:
    """What metadata says of a streamer; None: nothing."""

    id: int | None = None
    rack: int | None = None
    kind: str | None = None
    weight: float | None = None
    started: float = 0.0  # seconds since 1970


NOTHING = Facts()


@dataclass
class Cluster:
    name: str
    follows: str  # the assignment that has its endpoints
    facts: Facts = NOTHING
    most: int | None = None  # playbacks at its streamers at once


@dataclass
class Assignment:
    name: str
    lines: dict = field(default_factory=dict)  # address -> (Line, priority, Facts)
    drop: float = 0.0  # part of what is wanted that is to be turned away
    stale_after: int = 0  # ns without news after which its endpoints are gone; 0: never
    read: dict = field(default_factory=dict)  # bytes of an endpoint -> (Line, priority, Facts)


def facts(metadata, faults, where):
    """The facts of a message's metadata; what is wrong is added to `faults`."""
    if METADATA not in metadata.filter_metadata:
        return NOTHING
    out = {}
    for key, value in metadata.filter_metadata[METADATA].fields.items():
        which = value.WhichOneof("kind")
        if key in ("id", "rack", "started", "weight"):
            number = value.number_value
            top = 2**32 if key in ("id", "rack") else 1e12
            if which != "number_value" or not 0 <= number < top or key == "weight" and not number:
                said = getattr(value, which) if which else "nothing"
                faults.append(f"{where}: {key} {said!r} is no number from 0 to {top:.0f}")
            else:
                out[key] = int(number) if key in ("id", "rack") else number
        elif key == "kind":
            if which != "string_value":
                faults.append(f"{where}: kind is no text")
            else:
                out[key] = value.string_value
    return Facts(**out)


def cluster(message, faults):
    where = f"cluster {message.name or '(without a name)'}"
    if not message.name:
        faults.append(f"{where}: a name is wanted")
    most = None
    for limits in message.circuit_breakers.thresholds:
        if limits.priority == 0 and limits.HasField("max_requests"):  # RoutingPriority DEFAULT
            most = limits.max_requests.value
    follows = message.eds_cluster_config.service_name or message.name
    return Cluster(message.name, follows, facts(message.metadata, faults, where), most)


def assignment(message, from_wall_seconds, faults, before=None):
    """A generator: pauses now and then, returns the Assignment. What is wrong is added to `faults`; endpoints
    that are byte by byte as in `before`, the Assignment in force, are not read again."""
    out = Assignment(message.cluster_name)
    if not message.cluster_name:
        faults.append("an assignment without a cluster's name")
    known, n = before.read if before else {}, 0
    for locality in message.endpoints:
        place = locality.locality
        zone, rack = place.zone or place.region, None
        if place.sub_zone:  # a rack by another name: its number is the same wherever it is read
            rack = zlib.crc32(f"{place.region}/{place.zone}/{place.sub_zone}".encode())
        mark = f"{zone}\0{rack}\0{locality.priority}\0".encode()
        for m, one in enumerate(locality.lb_endpoints):
            key = mark + one.SerializeToString()
            found = known.get(key)
            if found is None:
                where = f"{out.name}[{zone or '-'}/{m}]"
                found = _line(one, zone, rack, locality.priority, from_wall_seconds, faults, where)
            n += 1
            if n % SLICE == 0:
                yield
            if found is None:
                continue
            out.read[key] = found
            line = found[0]
            other = out.lines.get(line.address)
            out.lines[line.address] = found if other is None else (worse(other[0], line), *found[1:])
    for drop in message.policy.drop_overloads:
        share = drop.drop_percentage.numerator / PARTS.get(drop.drop_percentage.denominator, 100)
        out.drop = 1 - (1 - out.drop) * (1 - min(1.0, share))  # one after the other, as Envoy draws them
    if message.policy.HasField("endpoint_stale_after"):
        after = message.policy.endpoint_stale_after
        out.stale_after = max(0, after.seconds * SECOND + after.nanos)
    return out


def _line(one, zone, rack, priority, from_wall_seconds, faults, where):
    """(Line, priority, Facts) of an endpoint, or None with its faults told."""
    socket = one.endpoint.address.socket_address
    if not one.HasField("endpoint") or not socket.address or not 0 < socket.port_value < 65536:
        faults.append(f"{where}: no address with a port")
        return None
    if one.health_status not in STANDING:
        faults.append(f"{where}: health status {one.health_status} is none that is known")
        return None
    before = len(faults)
    said = facts(one.metadata, faults, where)
    if len(faults) > before:
        return None
    weight = said.weight
    if weight is None and one.HasField("load_balancing_weight"):
        weight = one.load_balancing_weight.value / 100
    if rack is not None and said.rack is None:
        said = replace(said, rack=rack)
    said = replace(said, weight=weight)
    host = f"[{socket.address}]" if ":" in socket.address else socket.address
    address = f"{host}:{socket.port_value}"
    line = Line(
        one.endpoint.hostname or address,
        said.id,
        address,
        said.rack or 0,
        said.kind or "",
        zone,
        STANDING[one.health_status],
        said.weight or 1.0,
        from_wall_seconds(said.started),
    )
    return line, priority, said


def whole(line, said, of_cluster):
    """The line with what its cluster says where it says nothing itself."""
    more = {}
    if said.rack is None and of_cluster.rack is not None:
        more["rack"] = of_cluster.rack
    if said.kind is None and of_cluster.kind is not None:
        more["kind"] = of_cluster.kind
    if said.weight is None and of_cluster.weight is not None:
        more["weight"] = of_cluster.weight
    return replace(line, **more) if more else line


def worse(a, b):
    """One address listed twice, `a` first: the worse standing and the newer start of the two count."""
    return replace(a, standing=worst((a.standing, b.standing)), started=max(a.started, b.started))
