"""What a controller is told at its start: LB_CONFIG, and the control feed's events in our words (DEPLOY)."""

import json
import zlib
from dataclasses import dataclass, replace

from terndrift import terms
from terndrift.interface import Listed, Standing
from terndrift.platform.descriptors import Descriptors, shared_out
from terndrift.terms import Malformed

# Of a configuration that is read again these are expected to differ: the feed's address is taken, the events
# come from the feed, the seed is for a start.
EXPECTED_TO_CHANGE = ("feed", "known", "seed")
STANDINGS = {"up": Standing.READY, "draining": Standing.DRAINING, "removed": Standing.GONE}


@dataclass(frozen=True)
class Configuration:
    """What one controller is told at its start."""

    name: str
    listen: tuple  # (host, port)
    feed: str  # host:port
    descriptors: Descriptors
    deployment: object
    layout: object
    deadlines: dict  # plan -> ns
    connect: int  # ns to make a connection to a streamer
    keepalive: int  # ns after which streamers close a connection left idle
    most_on_connection: int  # set-ups that one connection carries at once
    tell_every: int  # ns between what a streamer says of its link; 0: never
    drain_grace: int  # ns
    known: list  # events
    unknown: list  # names of settings that nothing here knows
    values: dict  # all of it flat, but for what is expected to change: name -> text


def address(text, what):
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise Malformed(f"{what}: '{text}' is not host:port")
    return host, int(port)


def read(path):
    """Raises Malformed, which names the file and what is wrong with it."""
    try:
        with open(path, "rb") as file:
            value = json.load(file)
    except (OSError, ValueError) as wrong:
        raise Malformed(f"{path}: {wrong}") from None
    try:
        return configuration(value)
    except Malformed as wrong:
        raise Malformed(f"{path}: {wrong}") from None


def configuration(value):
    """A configuration from its JSON; raises Malformed, which names the field."""
    if not isinstance(value, dict):
        raise Malformed("not an object")
    for key, kind in (("name", str), ("listen", str), ("feed", str), ("settings", dict), ("known", dict)):
        if not isinstance(value.get(key), kind):
            raise Malformed(f"{key}: missing, or not {kind.__name__}")
    flat = terms.Read(terms.flat(value["settings"]))
    made, _, layout = terms.deployment(flat)
    seed = zlib.crc32(str(value.get("seed", value["name"])).encode())
    address(value["feed"], "feed")
    limits = value.get("limits", {})
    if not isinstance(limits, dict):
        raise Malformed("limits: not an object")
    limits = terms.flat(limits, "limits")
    events = value["known"].get("events")
    if not isinstance(events, list):
        raise Malformed("known.events: missing, or not a list")
    return Configuration(
        name=value["name"],
        listen=address(value["listen"], "listen"),
        feed=value["feed"],
        descriptors=shared_out(terms.whole(limits, "limits.sockets", 1024, 16)),
        deployment=replace(made, seed=seed),
        layout=layout,
        deadlines=terms.deadlines(flat),
        connect=terms.whole(flat, "ceilings.connect_timeout_ns", 250 * 10**6, 1),
        keepalive=terms.whole(flat, "ceilings.keepalive_ns", 30 * 10**9, 1),
        most_on_connection=terms.whole(flat, "ceilings.max_streams", 2**20, 1),
        tell_every=terms.whole(flat, "family_info.reports_every_ns", 0, 0),
        drain_grace=terms.whole(flat, "rules.drain_grace_ns", 0, 0),
        known=events,
        unknown=flat.unknown(),  # last: what is read above counts
        values=terms.flat({key: part for key, part in value.items() if key not in EXPECTED_TO_CHANGE}),
    )


def changed_beside_feed(old, new):
    """Names of what differs between two configurations beside the feed's address, in order."""
    names = old.values.keys() | new.values.keys()
    return sorted(name for name in names if old.values.get(name) != new.values.get(name))


def streamer_id(name):
    """The same number at every controller: the decisions take turns by it."""
    return zlib.crc32(name.encode())


def listed(row, layout, clock):
    """(Listed, name, address) of a row of the list; raises Malformed."""
    try:
        name, cell = str(row["host"]), int(row["block"])
        standing = STANDINGS[row["health"]]
        started = int(row.get("born_ms") or 0)
        return (
            Listed(
                id=streamer_id(name),
                kind=str(row.get("class", "")),
                zone=str(row.get("site", "")),
                cell=cell,
                rack=layout.rack(cell),
                standing=standing,
                weight=float(row.get("share", 1)),
                started=clock.of_wall_ns(started * 1_000_000),
            ),
            name,
            str(row.get("dial", "")),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as wrong:
        raise Malformed(f"a row of the list: {type(wrong).__name__} {wrong}") from None
