"""What a controller is told at its start: LB_CONFIG, and the control feed's events in our words (DEPLOY)."""

import json
import zlib
from dataclasses import dataclass, replace

from terndrift import terms
from terndrift.interface import Listed, Standing
from terndrift.terms import Malformed

STANDINGS = {"up": Standing.READY, "draining": Standing.DRAINING, "removed": Standing.GONE}


@dataclass(frozen=True)
class Told:
    """The configuration of one controller."""

    name: str
    listen: tuple  # (host, port)
    feed: str  # host:port
    sockets: int
    deployment: object
    layout: object
    abandons: dict  # plan -> ns
    connect: int  # ns to make a connection to a streamer
    tell_every: int  # ns between what a streamer says of its link; 0: never
    drain_grace: int  # ns
    known: list  # events
    unknown: list  # names of settings that nothing here knows


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
        return told(value)
    except Malformed as wrong:
        raise Malformed(f"{path}: {wrong}") from None


def told(value):
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
    return Told(
        name=value["name"], listen=address(value["listen"], "listen"), feed=value["feed"],
        sockets=terms.whole(limits, "limits.sockets", 1024, 16),
        deployment=replace(made, seed=seed), layout=layout,
        abandons=terms.abandons(flat),
        connect=terms.whole(flat, "ceilings.connect_timeout_ns", 250 * 10**6, 1),
        tell_every=terms.whole(flat, "family_info.reports_every_ns", 0, 0),
        drain_grace=terms.whole(flat, "rules.drain_grace_ns", 0, 0), known=events,
        unknown=flat.unknown())  # last: what is read above counts


def streamer_id(name):
    """The same number at every controller: the decisions take turns by it."""
    return zlib.crc32(name.encode())


def listed(row, layout, clock):
    """(Listed, name, address) of a row of the list; raises Malformed."""
    try:
        name, cell = str(row["host"]), int(row["block"])
        standing = STANDINGS[row["health"]]
        started = int(row.get("born_ms") or 0)
        return Listed(
            id=streamer_id(name), kind=str(row.get("class", "")), zone=str(row.get("site", "")), cell=cell,
            rack=layout.rack(cell), standing=standing, weight=float(row.get("share", 1)),
            started=clock.of_wall_ns(started * 1_000_000)), name, str(row.get("dial", ""))
    except (KeyError, TypeError, ValueError, OverflowError) as wrong:
        raise Malformed(f"a row of the list: {type(wrong).__name__} {wrong}") from None
