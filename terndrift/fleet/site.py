"""Planned work at a controller: the drains it makes reach the list as one more source, and what the list
has of machines reaches the work. Decides nothing."""

from dataclasses import replace

from terndrift.fleet.work import Machine, rows
from terndrift.fleet.work import plans as plans_of
from terndrift.listing.lines import worst

SOURCE = "work"


class Site:
    """`playbacks(id)`: how many a streamer has here, set-ups included; `end(id)` ends what plays there."""

    def __init__(self, controller, listing, versions, playbacks, end, clock):
        self.controller, self.listing, self.versions = controller, listing, versions
        self.playbacks, self.end, self.clock = playbacks, end, clock
        self.since = {}  # (machine, step) that was told off -> when this controller saw it
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
        now = self.clock.now()
        off, may = self.controller.off(now)
        lines = {line.address: replace(line, standing="draining") for line, _ in self.rows()
                 if not may or line.name in off}
        source = self.listing.merged.source(SOURCE)
        put = [line for address, line in lines.items() if source.lines.get(address) != line]
        gone = [address for address in source.lines if address not in lines]
        if put or gone:
            await self.listing.take(SOURCE, put, gone)
            if source.doubted:  # that much comes back at once is agreed, not a source that has lost its mind
                self.listing.confirm(SOURCE)
        self._ends(now, off)

    def _ends(self, now, off):
        """What still plays on a machine after its plan's drain time is over: its viewers come again."""
        state, of = self.controller.follower.state, self.listing.flow.numbers.of
        table, plans = rows(state), plans_of(state)
        told = {(name, table[name]["n"]) for name in off}
        self.since = {key: self.since.get(key, now) for key in told}
        late = {name for name, n in told
                if now - self.since[name, n] >= plans.get(table[name]["plan"], {}).get("drain", 0)}
        for line, _ in self.rows():
            if line.name in late and line.address in of:
                self.end(of[line.address])
