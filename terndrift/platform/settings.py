"""Startup configuration of a controller on the operators' platform, and rows of its server list.

`service` calls `read` on the file named by LB_CONFIG, at startup and on SIGHUP, and `listed` on each row of a
control feed event; both formats are specified in the operators' DEPLOY document. The settings shared with the
simulator are parsed by `terndrift.operator_settings`. Nothing here is kept between calls, and invalid input
raises MalformedInputError instead of being replaced by a default.
"""

import json
import zlib
from dataclasses import dataclass, replace

from terndrift import operator_settings
from terndrift.interface import ListEntry, Standing
from terndrift.operator_settings import MalformedInputError
from terndrift.platform.descriptors import Descriptors, divide_descriptors

# Keys not compared when a configuration is reloaded: the new feed address takes effect at once, events come
# from the feed, and the seed matters at startup only.
KEYS_NOT_COMPARED = ("feed", "known", "seed")
STANDING_BY_HEALTH = {"up": Standing.READY, "draining": Standing.DRAINING, "removed": Standing.GONE}


@dataclass(frozen=True)
class Configuration:
    """The parsed startup configuration of one controller."""

    name: str
    listen_address: tuple  # (host, port)
    feed_address: str  # host:port
    descriptors: Descriptors
    deployment: object
    layout: object
    deadlines: dict  # plan -> ns
    connect_timeout: int  # timeout of a connection attempt to a streamer, in ns
    keepalive: int  # ns after which streamers close an idle connection
    max_set_ups_per_connection: int  # maximum of concurrent set-ups on one connection
    report_interval: int  # ns between a streamer's reports of its link use; 0: it sends none
    drain_grace: int  # ns
    initial_events: list
    unknown: list  # names of settings that no document names and nothing reads
    flat_values: dict  # every value outside KEYS_NOT_COMPARED: dotted name -> text


def parse_address(text, what):
    """Splits "host:port" into (host, port); raises MalformedInputError, naming the field `what`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise MalformedInputError(f"{what}: '{text}' is not host:port")
    return host, int(port)


def read(path):
    """Loads a Configuration from a JSON file; raises MalformedInputError, naming the file and the invalid
    field."""
    try:
        with open(path, "rb") as file:
            value = json.load(file)
    except (OSError, ValueError) as error:
        raise MalformedInputError(f"{path}: {error}") from None
    try:
        return configuration(value)
    except MalformedInputError as error:
        raise MalformedInputError(f"{path}: {error}") from None


def configuration(value):
    """Parses a Configuration from decoded JSON; raises MalformedInputError, naming the invalid field."""
    if not isinstance(value, dict):
        raise MalformedInputError("not an object")
    for key, kind in (("name", str), ("listen", str), ("feed", str), ("settings", dict), ("known", dict)):
        if not isinstance(value.get(key), kind):
            raise MalformedInputError(f"{key}: missing or not of type {kind.__name__}")
    flat = operator_settings.TrackedSettings(operator_settings.flatten(value["settings"]))
    deployment, _, layout = operator_settings.read_deployment(flat)
    seed = zlib.crc32(str(value.get("seed", value["name"])).encode())
    parse_address(value["feed"], "feed")
    limits = value.get("limits", {})
    if not isinstance(limits, dict):
        raise MalformedInputError("limits: not an object")
    limits = operator_settings.flatten(limits, "limits")
    events = value["known"].get("events")
    if not isinstance(events, list):
        raise MalformedInputError("known.events: missing or not a list")
    return Configuration(
        name=value["name"],
        listen_address=parse_address(value["listen"], "listen"),
        feed_address=value["feed"],
        descriptors=divide_descriptors(operator_settings.read_int(limits, "limits.sockets", 1024, 16)),
        deployment=replace(deployment, seed=seed),
        layout=layout,
        deadlines=operator_settings.read_deadlines(flat),
        connect_timeout=operator_settings.read_int(flat, "ceilings.connect_timeout_ns", 250 * 10**6, 1),
        keepalive=operator_settings.read_int(flat, "ceilings.keepalive_ns", 30 * 10**9, 1),
        max_set_ups_per_connection=operator_settings.read_int(flat, "ceilings.max_streams", 2**20, 1),
        report_interval=operator_settings.read_int(flat, "family_info.reports_every_ns", 0, 0),
        drain_grace=operator_settings.read_int(flat, "rules.drain_grace_ns", 0, 0),
        initial_events=events,
        unknown=flat.unknown_keys(),  # must come after every read above: names read so far are not unknown
        flat_values=operator_settings.flatten(
            {key: part for key, part in value.items() if key not in KEYS_NOT_COMPARED}
        ),
    )


def changed_settings(old, new):
    """Sorted names of the settings that differ between two Configurations, without KEYS_NOT_COMPARED."""
    names = old.flat_values.keys() | new.flat_values.keys()
    return sorted(name for name in names if old.flat_values.get(name) != new.flat_values.get(name))


def streamer_id(name):
    """Numeric id of a streamer; the same at every controller, as they take turns at cold streamers by it."""
    return zlib.crc32(name.encode())


def listed(row, layout, clock):
    """Parses a row of the server list into (ListEntry, streamer name, "host:port"); raises
    MalformedInputError.

    `layout` maps cells to racks; `clock` converts the wall-clock start time to the controller's own time.
    """
    try:
        name, cell = str(row["host"]), int(row["block"])
        standing = STANDING_BY_HEALTH[row["health"]]
        started_ms = int(row.get("born_ms") or 0)
        return (
            ListEntry(
                id=streamer_id(name),
                kind=str(row.get("class", "")),
                zone=str(row.get("site", "")),
                cell=cell,
                rack=layout.rack_of(cell),
                standing=standing,
                weight=float(row.get("share", 1)),
                started=clock.from_wall_ns(started_ms * 1_000_000),
            ),
            name,
            str(row.get("dial", "")),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedInputError(f"a row of the list: {type(error).__name__} {error}") from None
