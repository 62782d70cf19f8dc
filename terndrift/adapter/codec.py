"""The text wire: lines to fields and back. Knows names and forms, decides nothing."""

import contextlib

from terndrift.interface import Ending, Listed, Standing
from terndrift.terms import Malformed, number, reported, text, whole

ENDINGS = {
    "completed": Ending.PLAYED_OUT,
    "errored": Ending.ERRED,
    "saturated": Ending.FULL,
    "overdue": Ending.SILENT,
    "refused_conn": Ending.UNREACHED,
    "severed": Ending.BROKEN,
    "recalled": Ending.CALLED_OFF,
    "superseded": Ending.NEVER_SENT,
}


def fields(line):
    """A line's name and its fields."""
    name, _, rest = line.partition(" ")
    out = {}
    for part in rest.split(" ") if rest else ():
        key, eq, value = part.partition("=")
        if not eq or not key:
            raise Malformed(f"'{part}' is not name=value")
        out[key] = value
    return name, out


def one_of(f, key, table):
    value = text(f, key)
    if value not in table:
        raise Malformed(f"'{key}={value}' is not known")
    return table[value]


STANDINGS = {str(s.value): s for s in Standing}


def listed(line):
    """A line of the server list; its rack follows from the cell once the settings are known."""
    name, f = fields(line)
    if name != "entry":
        raise Malformed(f"'entry' expected, not '{name}'")
    return Listed(
        id=whole(f, "streamer"),
        kind=f.get("generation_hw", ""),
        zone=f.get("az", ""),
        cell=int(number(f, "place", 0)),
        rack=0,
        standing=one_of(f, "state", STANDINGS),
        weight=number(f, "weight", 1),
        started=whole(f, "online_since_ns", 0),
    )


def report(f, names):
    """The load report of an answer, by our names; values that can't be read are left out."""
    said = {}
    for name, value in zip(names, f.get("telemetry", "").split(","), strict=False):
        with contextlib.suppress(ValueError):
            said[name] = float(value)
    return reported(said)
