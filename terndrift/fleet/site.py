"""Planned work at a controller: the drains it makes reach the list as one more source, and what the list
has of machines reaches the work. Decides nothing."""

from dataclasses import replace

from terndrift.fleet.work import Machine
from terndrift.listing.lines import worst

SOURCE = "work"


class Site:
    """`playbacks(id)`: how many a streamer has here, set-ups included."""

    def __init__(self, controller, listing, versions, playbacks, clock):
        self.controller, self.listing, self.versions = controller, listing, versions
        self.playbacks, self.clock = playbacks, clock
        self.held, self.held_as_of = {}, None  # streamer's id -> titles that name it among their holders
        controller.machines, controller.holding = self.machines, self.holding

    def rows(self):
        """(Line, standing by every source but the work) of what is listed."""
        merged = self.listing.merged
        for address, line in merged.lines.items():
            said = [s.lines[address].standing for s in merged.sources.values()
                    if s.name != SOURCE and address in s.lines]
            if said:
                yield line, worst(said)

    def _titles(self):
        version = self.versions.visible
        if version != self.held_as_of:
            self.held, self.held_as_of = {}, version
            for name in self.versions.names():
                for id in self.versions.get(name).holders or ():
                    self.held.setdefault(id, set()).add(name)
        return self.held

    def machines(self):
        titles, of = self._titles(), self.listing.flow.numbers.of
        return {line.name: Machine(line.name, line.rack, line.zone, line.weight, standing == "ready",
                                   line.started, frozenset(titles.get(of.get(line.address), ())))
                for line, standing in self.rows()}

    def holding(self, names):
        of = self.listing.flow.numbers.of
        found = {line.name: self.playbacks(of[line.address]) for line, _ in self.rows()
                 if line.name in names and line.address in of}
        return {name: found.get(name, 0) for name in names}  # nothing plays at what no list names

    async def look(self):
        """The drains in force, into the list."""
        off, may = self.controller.off(self.clock.now())
        lines = {line.address: replace(line, standing="draining") for line, _ in self.rows()
                 if not may or line.name in off}
        source = self.listing.merged.source(SOURCE)
        put = [line for address, line in lines.items() if source.lines.get(address) != line]
        gone = [address for address in source.lines if address not in lines]
        if put or gone:
            await self.listing.take(SOURCE, put, gone)
            if source.doubted:  # that much comes back at once is agreed, not a source that has lost its mind
                self.listing.confirm(SOURCE)
