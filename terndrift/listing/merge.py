"""One list of streamers from many sources: what each says, and what of it is in force. Decides; no I/O.

What wins, streamer by streamer:

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

from dataclasses import dataclass, field, replace

SECOND = 1_000_000_000
# More than this part of a source's entries lost in one update is not believed at once.
PANIC_PART = 0.5
# Of fewer entries than this, losing most is ordinary.
PANIC_FROM = 4
# A source that says the same for so long means it.
CONFIRM = 60 * SECOND

WORST = {"ready": 0, "draining": 1, "gone": 2}


@dataclass
class Source:
    name: str
    rank: int  # the lower wins
    lines: dict = field(default_factory=dict)  # id -> Line
    orders: dict = field(default_factory=dict)  # id -> the source's own order of its last word on it
    order: int = -1  # of its last whole list
    heard: int = 0  # when it last said anything
    reached: bool = False
    doubted: dict = field(default_factory=dict)  # id -> since when it is missing, not yet believed


class Merged:
    """The list in force. `changed` calls return {id: Line or None}: what came to differ, None: gone."""

    def __init__(self):
        self.sources, self.lines, self.holders = {}, {}, {}  # id -> Line in force; id -> sources that list it
        self.alarms = []  # (time, what)

    def source(self, name):
        if name not in self.sources:
            self.sources[name] = Source(name, len(self.sources))
        return self.sources[name]

    def reached(self, now, name, reached):
        self.source(name).reached = reached

    def changes(self, now, name, order, put, gone):
        """Some entries of a source: `put` Lines, `gone` ids; older than its last word: passed over."""
        source, touched = self.source(name), {}
        source.heard, source.reached = now, True
        fresh = [line for line in put if order >= source.orders.get(line.id, -1)]
        lost = [id for id in gone if id in source.lines and order >= source.orders.get(id, -1)]
        for line in fresh:
            source.orders[line.id] = order
            source.doubted.pop(line.id, None)
            if source.lines.get(line.id) != line:
                source.lines[line.id] = line
                self.holders.setdefault(line.id, {})[source.rank] = source
                touched[line.id] = None
        self._lose(now, source, order, lost, touched)
        return self._settle(touched)

    def whole(self, now, name, order, lines):
        """All entries of a source; one older than its last whole list is passed over."""
        source = self.source(name)
        if order < source.order:
            source.heard = now
            return {}
        source.order = order
        named = {line.id for line in lines}
        lost = [id for id in source.lines if id not in named]
        return self.changes(now, name, order, lines, lost)

    def _lose(self, now, source, order, lost, touched):
        believed = set(source.lines) - set(source.doubted)
        sudden = [id for id in lost if id in believed]
        if len(believed) >= PANIC_FROM and len(sudden) > PANIC_PART * len(believed):
            what = f"{source.name} dropped {len(sudden)} of {len(believed)} streamers at once"
            self.alarms.append((now, what))
            for id in sudden:
                source.doubted[id] = now
            lost = [id for id in lost if id not in source.doubted]
        for id in lost:
            if id in source.doubted and now - source.doubted[id] < CONFIRM:
                continue
            self._gone(source, id, order, touched)

    def _gone(self, source, id, order, touched):
        source.orders[id] = order
        source.doubted.pop(id, None)
        del source.lines[id]
        left = self.holders[id]
        del left[source.rank]
        if not left:
            del self.holders[id]
        touched[id] = None

    def confirm(self, now, name, ids=None):
        """The operator's word, or time passed (ids None): what a source dropped in panic is gone."""
        source, touched = self.source(name), {}
        for id, since in list(source.doubted.items()):
            if id in ids if ids is not None else now - since >= CONFIRM:
                self._gone(source, id, source.orders.get(id, 0), touched)
        return self._settle(touched)

    def _settle(self, touched):
        out = {}
        for id in touched:
            line = self._in_force(id)
            if line != self.lines.get(id):
                out[id] = line
                if line is None:
                    del self.lines[id]
                else:
                    self.lines[id] = line
        return out

    def _in_force(self, id):
        said = self.holders.get(id)
        if not said:
            return None
        lines = [said[rank].lines[id] for rank in sorted(said)]
        standing = max((line.standing for line in lines), key=WORST.__getitem__)
        return replace(lines[0], standing=standing, started=max(line.started for line in lines))

    def ages(self, now):
        """{source: (ns since it last said anything, reached, entries, doubted)}."""
        return {s.name: (now - s.heard, s.reached, len(s.lines), len(s.doubted))
                for s in self.sources.values()}
