"""The list as it was last heard, in the store: what a controller starts with after it was stopped or
killed."""

from terndrift.listing.lines import Line

STREAM = "listing"
# Lines in one record: keeps a record's encoding to a ms or so.
PART = 500


class Kept:
    """The listing's side of the store: source -> address -> row, and as of when that was a source's word. A
    row is a Line's fields, its start in whole ns since 1970, as the service's clock begins anew with each
    start of the machine."""

    def __init__(self):
        self.rows, self.as_of = {}, {}  # as_of: source -> ns since 1970

    def restore(self, items):
        for source, row in items:
            if isinstance(row, int):
                self.as_of[source] = row
            else:
                self.rows.setdefault(source, {})[row[2]] = row

    def replay(self, record):
        rows = self.rows.setdefault(record["source"], {})
        for row in record["put"]:
            rows[row[2]] = row
        for address in record["gone"]:
            rows.pop(address, None)
        if not rows:
            del self.rows[record["source"]]
        if record.get("as_of"):  # a store of before it was noted has none
            self.as_of[record["source"]] = record["as_of"]

    def items(self):
        """As of now, however slowly it is read."""
        return iter(
            [(source, row) for source, rows in self.rows.items() for row in rows.values()]
            + list(self.as_of.items())
        )

    def too_old(self, source, now, oldest):
        """Whether what was kept of a source may not be acted on; `now`: ns since 1970. One whose time is not
        known, or lies ahead, is as old as can be: a clock was set, or the disk is of before it was noted."""
        at = self.as_of.get(source)
        return at is None or not 0 <= now - at <= oldest


def row_of(line, to_wall):
    return [
        line.name,
        line.id,
        line.address,
        line.rack,
        line.kind,
        line.zone,
        line.standing,
        line.weight,
        to_wall(line.started),
        list(line.labels),
    ]


def line_of(row, from_wall_ns):
    """The reverse; a store of before there were labels has none."""
    return Line(*row[:8], from_wall_ns(row[8]), tuple(row[9]) if len(row) > 9 else ())


def records(dirty, sources, to_wall, as_of=0):
    """What makes the kept list that of `sources`: [(stream, record)], of the `dirty` {source: addresses}.
    With no address a record tells that it stands as of then."""
    out = []
    for name, addresses in dirty.items():
        lines, addresses = sources[name].lines, sorted(addresses)
        for n in range(0, len(addresses) or 1, PART):
            part = addresses[n : n + PART]
            out.append(
                (
                    STREAM,
                    {
                        "source": name,
                        "as_of": as_of,
                        "put": [row_of(lines[a], to_wall) for a in part if a in lines],
                        "gone": [a for a in part if a not in lines],
                    },
                )
            )
    return out
