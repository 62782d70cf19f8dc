"""One list of streamers from many sources: what each says, and what of it is in force. Decides; no I/O.

A streamer is known by its address. What wins, streamer by streamer:

- **drain beats ready**: whoever says that a streamer drains is believed, until it takes that back itself;
- **gone only on that source's word**: an entry stays while any source still lists it;
- of what else sources say of one streamer, the source named first wins; a start time, the newest;
- within a source the newer beats the older by the source's own order, whenever it arrives;
- **a source out of reach keeps its last word**, and its age is shown;
- **panic**: one update that takes away more than half of what a source listed is not believed at once. What
  it took away is served on, an alarm is raised, and it is gone once the source has said so for a minute, or
  the operator confirms. What it says drains, drains.

Panic guards against a source that restarts empty, a bad selector, a half-read list; it could do harm where
most streamers really are gone: set-ups then find that out by themselves, one after the other.
Every change costs by the change, not by the list.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from terndrift.listing.lines import worst

SECOND = 1_000_000_000
# More than this part of a source's entries lost in one update is not believed at once.
PANIC_PART = 0.5
# Of fewer entries than this, losing most is ordinary.
PANIC_FROM = 4
# A source that says the same for so long means it.
CONFIRM = 60 * SECOND
# Entries between two pauses of a long change: some ms of work.
SLICE = 256
# Addresses gone of late whose last word is remembered, so that an older one does not bring them back; what
# came before the last whole list is passed over by that list's order alone.
REMEMBERED = 10_000
# Alarms kept for whoever asks.
ALARMS = 100


@dataclass
class Source:
    name: str
    rank: int  # the lower wins
    lines: dict = field(default_factory=dict)  # address -> Line
    orders: dict = field(default_factory=dict)  # address -> the source's own order of its last word on it
    buried: dict = field(default_factory=dict)  # address gone -> order of that word, oldest first
    order: int = -1  # of its last whole list
    heard: int | None = None  # when it last said anything; None: not in this run
    reached: bool = False
    words: int = 0  # counts what it said that differs from what it had said
    doubted: dict = field(default_factory=dict)  # address -> since when it is missing, not yet believed

    def last_word(self, address):
        return max(self.orders.get(address, -1), self.buried.get(address, -1))


class Merged:
    """The list in force. Changes come back as {address: Line or None}: what came to differ, None: gone."""

    def __init__(self):
        self.sources, self.lines, self.holders = {}, {}, {}  # address -> Line in force; -> sources listing it
        self.alarms = deque(maxlen=ALARMS)  # (time, what)
        self.alarmed = 0  # in all

    def source(self, name):
        if name not in self.sources:
            self.sources[name] = Source(name, len(self.sources))
        return self.sources[name]

    def reached(self, name, reached):
        self.source(name).reached = reached

    def restored(self, name, lines):
        """What a source had said before a restart: in force until it says otherwise."""
        source, touched = self.source(name), set()
        for line in lines:
            self._put(source, line, -1, touched)
        return self._settle(touched)

    def changes(self, now, name, order, put, gone):
        """Some entries of a source: `put` Lines, `gone` addresses; older than its last word: passed over."""
        out = {}
        for part in self.changing(now, name, order, put, gone):
            out.update(part)
        return out

    def whole(self, now, name, order, lines):
        """All entries of a source; one older than its last whole list is passed over."""
        out = {}
        for part in self.replacing(now, name, order, lines):
            out.update(part)
        return out

    def changing(self, now, name, order, put, gone):
        """As `changes`, in slices: yields the changes of each, and may be left alone between two."""
        source, touched = self.source(name), set()
        source.heard, source.reached = now, True
        if order < source.order:
            return
        lost = [a for a in gone if a in source.lines and order >= source.last_word(a)]
        for n, line in enumerate(put, 1):
            if order >= source.last_word(line.address):
                self._put(source, line, order, touched)
            if n % SLICE == 0:
                yield self._settle(touched)
                touched.clear()
        for n, address in enumerate(self._believed(now, source, lost), 1):
            self._gone(source, address, order, touched)
            if n % SLICE == 0:
                yield self._settle(touched)
                touched.clear()
        yield self._settle(touched)

    def replacing(self, now, name, order, lines):
        """As `whole`, in slices."""
        source = self.source(name)
        if order < source.order:
            source.heard, source.reached = now, True
            return
        named = {line.address for line in lines}
        yield from self.changing(now, name, order, lines, [a for a in source.lines if a not in named])
        # what is older than this list is passed over as a whole from now on
        source.order = order
        source.buried.clear()

    def _put(self, source, line, order, touched):
        address = line.address
        source.orders[address] = order
        source.buried.pop(address, None)
        source.doubted.pop(address, None)
        if source.lines.get(address) != line:
            source.lines[address] = line
            source.words += 1
            self.holders.setdefault(address, {})[source.rank] = source
            touched.add(address)

    def _believed(self, now, source, lost):
        """What of the lost is gone at once; panic keeps the rest."""
        known = len(source.lines) - len(source.doubted)
        sudden = [a for a in lost if a not in source.doubted]
        if known >= PANIC_FROM and len(sudden) > PANIC_PART * known:
            self.alarm(now, f"{source.name} dropped {len(sudden)} of {known} streamers at once")
            source.doubted.update(dict.fromkeys(sudden, now))
        return [a for a in lost if now - source.doubted.get(a, now - CONFIRM) >= CONFIRM]

    def alarm(self, now, what):
        self.alarms.append((now, what))
        self.alarmed += 1

    def _gone(self, source, address, order, touched):
        source.words += 1
        source.buried[address] = order
        if len(source.buried) > REMEMBERED:
            del source.buried[next(iter(source.buried))]
        source.orders.pop(address, None)
        source.doubted.pop(address, None)
        del source.lines[address]
        left = self.holders[address]
        del left[source.rank]
        if not left:
            del self.holders[address]
        touched.add(address)

    def confirm(self, now, name, addresses=None):
        """The operator's word, or time passed (None): what a source dropped in panic is gone."""
        source, touched = self.source(name), set()
        for address, since in list(source.doubted.items()):
            if address in addresses if addresses is not None else now - since >= CONFIRM:
                self._gone(source, address, source.orders.get(address, 0), touched)
        return self._settle(touched)

    def dropped(self, name):
        """A source that is no longer asked at all: its entries go with it."""
        source, touched = self.source(name), set()
        for address in list(source.lines):
            self._gone(source, address, source.order, touched)
        return self._settle(touched)

    def _settle(self, touched):
        out = {}
        for address in touched:
            line = self._in_force(address)
            if line != self.lines.get(address):
                out[address] = line
                if line is None:
                    del self.lines[address]
                else:
                    self.lines[address] = line
        return out

    def _in_force(self, address):
        said = self.holders.get(address)
        if not said:
            return None
        if len(said) == 1:
            (source,) = said.values()
            return source.lines[address]
        lines = [said[rank].lines[address] for rank in sorted(said)]
        standing = worst(line.standing for line in lines)
        id = next((line.id for line in lines if line.id is not None), None)
        return replace(lines[0], id=id, standing=standing, started=max(line.started for line in lines))

    def ages(self, now):
        """{source: (ns since it last said anything or None, reached, entries, doubted)}."""
        return {
            s.name: (None if s.heard is None else now - s.heard, s.reached, len(s.lines), len(s.doubted))
            for s in self.sources.values()
        }
