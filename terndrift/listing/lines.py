"""A streamer as a source lists it, and what is wrong with a list by itself. No I/O."""

from dataclasses import dataclass

from terndrift.interface import ListEntry, Standing

# From what is best to what is worst: of two words on one streamer the worse is believed.
ORDER = ("ready", "draining", "gone")
STANDINGS = {"ready": Standing.READY, "draining": Standing.DRAINING, "gone": Standing.GONE}


class Unusable(ValueError):
    """A list that can't be taken; says why."""


@dataclass(frozen=True, slots=True)
class Line:
    """`id` None: the source gives none; `started`: ns on the service's clock, 0 long ago. The address is what
    a streamer is known by among sources."""

    name: str
    id: int | None
    address: str
    rack: int
    kind: str
    zone: str
    standing: str
    weight: float
    started: int
    labels: tuple = ()  # by which operators name many at once


def worst(standings):
    """The worst of some standings; of none at all: gone."""
    return max(standings, key=ORDER.index, default="gone")


def checked(lines, had):
    """The lines of a whole list, or Unusable. Whatever is wrong, the old list stays in force: guards against
    a file half written, a bad edit, a source that answers with nothing. It could do harm where all streamers
    are meant to go at once, which is said by draining them, not by an empty list."""
    ids, addresses = {}, {}
    for line in lines:
        for seen, mark, what in ((ids, line.id, "id"), (addresses, line.address, "address")):
            other = seen.setdefault(mark, line)
            if mark is not None and other is not line:
                raise Unusable(f"streamers '{other.name}' and '{line.name}' have one {what}, {mark}")
    if not lines and had:
        raise Unusable("it names no streamer at all")
    return lines


def entry(line, id, standing=None):
    """The line as the decisions take it: a streamer is a cell of its own, so that a title's holders can be
    any set of them."""
    return ListEntry(
        id,
        line.kind,
        line.zone,
        id,
        line.rack,
        STANDINGS[standing or line.standing],
        line.weight,
        line.started,
    )
