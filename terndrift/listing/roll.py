"""What a source's list makes of the one in force. Decides; free of I/O and clocks.

Whatever is wrong with a new list, the old one stays in force: guards against a file half written, a bad
edit, a source that answers with nothing. It could do harm where all streamers are meant to go at once,
which is said by draining them, not by an empty list.
"""

from dataclasses import dataclass

from terndrift.interface import Listed, Standing

STANDINGS = {"ready": Standing.READY, "draining": Standing.DRAINING, "gone": Standing.GONE}


class Unusable(ValueError):
    """A list that can't be taken; says why."""


@dataclass(frozen=True)
class Line:
    """A streamer as a source lists it; `started`: ns on the service's clock, 0 long ago."""

    name: str
    id: int
    address: str
    rack: int
    kind: str
    zone: str
    standing: str
    weight: float
    started: int


class Roll:
    def __init__(self):
        self.lines = {}  # id -> Line in force
        self.version = 0

    def take(self, lines):
        """A whole list; returns (entries, addresses) to hand on, or None if it changes nothing."""
        fresh = {}
        for line in lines:
            other = fresh.get(line.id)
            if other is not None:
                raise Unusable(f"streamers '{other.name}' and '{line.name}' have one id, {line.id}")
            fresh[line.id] = line
        if not fresh and self.lines:
            raise Unusable("it names no streamer at all")
        if fresh == self.lines:
            return None
        self.lines = fresh
        self.version += 1
        return [self.entry(line) for line in fresh.values()], {i: line.address for i, line in fresh.items()}

    @staticmethod
    def entry(line):
        # a streamer is a cell of its own, so that a title's holders can be any set of them
        return Listed(line.id, line.kind, line.zone, line.id, line.rack, STANDINGS[line.standing],
                      line.weight, line.started)
