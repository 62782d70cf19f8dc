"""Parser for the simulator's text protocol: one event per line, a name followed by `key=value` fields.

Called by `adapter.host` and `adapter.__main__`. Translates the protocol's names and codes to those of
`interface`; must not keep state or make placement decisions.
"""

import contextlib

from terndrift.interface import Ending, ListEntry, Standing
from terndrift.operator_settings import MalformedInputError, read_float, read_int, read_text, translate_report

# Result code of a set-up or a probe on the wire -> Ending.
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


def parse_line(line):
    """Returns a line's name and its fields, a dict key -> text; raises MalformedInputError."""
    name, _, rest = line.partition(" ")
    fields = {}
    for part in rest.split(" ") if rest else ():
        key, separator, value = part.partition("=")
        if not separator or not key:
            raise MalformedInputError(f"'{part}' is not of the form name=value")
        fields[key] = value
    return name, fields


def read_choice(fields, key, choices):
    """Returns the value that `choices` has for the text `fields[key]`; raises MalformedInputError if it has
    none."""
    value = read_text(fields, key)
    if value not in choices:
        raise MalformedInputError(f"'{key}={value}' is not a known value")
    return choices[value]


# State of a streamer in a line of the server list -> Standing.
STANDINGS = {str(standing.value): standing for standing in Standing}


def parse_list_entry(line):
    """Parses an `entry` line of the server list to a ListEntry; raises MalformedInputError.

    The rack is left at 0: it follows from the cell by the settings of each instance, which the caller has.
    """
    name, fields = parse_line(line)
    if name != "entry":
        raise MalformedInputError(f"expected 'entry', got '{name}'")
    return ListEntry(
        id=read_int(fields, "streamer"),
        kind=fields.get("generation_hw", ""),
        zone=fields.get("az", ""),
        cell=int(read_float(fields, "place", 0)),
        rack=0,
        standing=read_choice(fields, "state", STANDINGS),
        weight=read_float(fields, "weight", 1),
        started=read_int(fields, "online_since_ns", 0),
    )


def parse_load_report(fields, report_fields):
    """Returns the load report in an answer's fields as a dict of the names that the controller reads.

    `report_fields` names the values of the report in order. Values that aren't numbers are left out.
    """
    values = {}
    for name, value in zip(report_fields, fields.get("telemetry", "").split(","), strict=False):
        with contextlib.suppress(ValueError):
            values[name] = float(value)
    return translate_report(values)
