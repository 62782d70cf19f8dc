"""What clusters and endpoints mean here: streamers as lines of the list. No I/O.

| field | taken as |
| --- | --- |
| `lb_endpoints[].endpoint.address.socket_address` | where the streamer listens; its name |
| `health_status` HEALTHY, UNKNOWN | ready; DRAINING, DEGRADED: draining; UNHEALTHY, TIMEOUT: gone |
| `load_balancing_weight` | the weight of its link, in hundredths (100: one unit); none: one unit |
| `locality.zone` (else `region`) | its zone |
| metadata `terndrift`: `rack`, `kind` | its rack, its kind |
| metadata `terndrift`: `started` | when its process started, seconds since 1970 |
| `priority`, `policy.drop_overloads`, `named_endpoints`, circuit breakers | ignored: the decisions do that |

An endpoint without a socket address, with a pipe, a port of 0, a rack or start that is no number is a fault;
a response with one is refused whole. An address in two clusters is one streamer: the worst standing and the
newest start of what they say count, and for the rest the cluster whose name comes first.
"""

import zlib
from dataclasses import replace

from google.protobuf.json_format import MessageToDict

from terndrift.listing.roll import Line

METADATA = "terndrift"
# envoy.config.core.v3.HealthStatus: UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT, DEGRADED
STANDING = {0: "ready", 1: "ready", 2: "gone", 3: "draining", 4: "gone", 5: "draining"}


class Names:
    """Numbers for addresses, the same on every controller as long as no two collide."""

    def __init__(self):
        self.numbers, self.taken = {}, {}

    def number(self, address):
        if address not in self.numbers:
            number = zlib.crc32(address.encode())
            while number in self.taken:  # two addresses of one checksum: the later one takes the next
                number = (number + 1) % 2**32
            self.numbers[address], self.taken[number] = number, address
        return self.numbers[address]


def metadata(endpoint):
    """(rack, kind, started) and what is wrong with them."""
    given = MessageToDict(endpoint.metadata.filter_metadata[METADATA]) if (
        METADATA in endpoint.metadata.filter_metadata) else {}
    faults = []

    def whole(key):
        value = given.get(key, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0 or value != value:
            faults.append(f"{key} {value!r} is no number of 0 or more")
            return 0
        return value

    rack, started, kind = whole("rack"), whole("started"), given.get("kind", "")
    if not isinstance(kind, str):
        faults.append(f"kind {kind!r} is no text")
        kind = ""
    return int(rack), kind, float(started), faults


def lines(assignment, names, of_wall):
    """The lines of a ClusterLoadAssignment, and what is wrong with it: (id -> Line, faults)."""
    out, faults = {}, []
    for locality in assignment.endpoints:
        zone = locality.locality.zone or locality.locality.region
        for n, one in enumerate(locality.lb_endpoints):
            where = f"{assignment.cluster_name}[{zone or '-'}/{n}]"
            socket = one.endpoint.address.socket_address
            if not one.HasField("endpoint") or not socket.address or not 0 < socket.port_value < 65536:
                faults.append(f"{where}: no address with a port")
                continue
            rack, kind, started, wrong = metadata(one)
            faults += [f"{where}: {what}" for what in wrong]
            address = f"{socket.address}:{socket.port_value}"
            weight = one.load_balancing_weight.value / 100 if one.HasField("load_balancing_weight") else 1.0
            id = names.number(address)
            line = Line(address, id, address, rack, kind, zone, STANDING.get(one.health_status, "gone"),
                        weight, of_wall(started))
            out[id] = line if id not in out else worse(out[id], line)
    return out, faults


ORDER = ("ready", "draining", "gone")


def worse(a, b):
    """One address listed twice, `a` first: the worse standing and the newer start of the two count."""
    standing = max(a.standing, b.standing, key=ORDER.index)
    return replace(a, standing=standing, started=max(a.started, b.started))
