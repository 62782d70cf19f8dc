"""The listing in service: sources tell it, it tells the core, and keeps what it heard in the store."""

import asyncio
from collections import defaultdict

from terndrift.listing.flow import Flow
from terndrift.listing.kept import Kept, line_of, records
from terndrift.listing.limits import Limits
from terndrift.listing.merge import Merged
from terndrift.scheduler.slices import sliced
from terndrift.store.store import Broken

SECOND = 1_000_000_000
# That a list still stands is kept this often: one small record, synced.
STANDS = 60 * SECOND


class Listing:
    """`hand(entries, there, gone, forgotten, old)` takes what the decisions are to know, see `Flow.take`;
    `at(id)` says how many playbacks a streamer has."""

    def __init__(self, clock, hand, log, sources=("file",), seed=0, at=lambda id: 0):
        self.clock, self.hand, self.log = clock, hand, log
        self.merged, self.flow, self.kept, self.limited = Merged(), Flow(), Kept(), Limits(seed, at)
        self.taps = []  # called with what came to differ, {address: Line or None}
        self.stated = {}  # source -> its limits by group, with addresses
        self.names = tuple(sources)
        for name in self.names:
            self.merged.source(name)
        self.committer, self.dirty, self.saving = None, defaultdict(set), None
        self.timer, self.told, self.orders = None, 0, defaultdict(int)
        self.version = 0  # counts what was handed on
        self.heard = asyncio.Event()  # set once any source of this run has said something

    def begin(self, committer, oldest=None):
        """With what the store had; not with what is older than `oldest` ns (None: however old). Returns
        whether that was anything. An old list names streamers that are gone, drain, or have another address
        by now: what is set up by it is lost time, or breaks a drain."""
        self.committer = committer
        now = self.clock.to_wall_ns(self.clock.now())
        for name, rows in self.kept.rows.items():
            if name not in self.names:
                self.log.warning("kept list of a source that is no longer asked", source=name)
                self.dirty[name] |= rows.keys()
                self.merged.source(name)
                continue
            if oldest is not None and self.kept.too_old(name, now, oldest):
                self.log.warning(
                    "kept list is too old to be acted on",
                    source=name,
                    entries=len(rows),
                    as_of=self.kept.as_of.get(name, 0) / SECOND,
                )
                self.dirty[name] |= rows.keys()  # or it would count as new with the next word that is kept
                continue
            lines = [line_of(row, self.clock.from_wall_ns) for row in rows.values()]
            self._gather(self.merged.restored(name, lines))
        found = bool(self.merged.lines)
        while self.flow.next_at(0) is not None:
            self._hand_on(True)
        return found

    # What sources call.

    def order(self, name):
        """The next of a source that has no order of its own but that in which it speaks."""
        self.orders[name] += 1
        return self.orders[name]

    def whole(self, name, lines):
        """All that a source lists, at once."""
        self._note(name, [line.address for line in lines], list(self.merged.source(name).lines))
        self._changed(self.merged.whole(self.clock.now(), name, self.order(name), lines))
        self.heard.set()

    async def take(self, name, put, gone, whole=False):
        """What a source says came to be there or differ, and addresses that are gone; `whole`: `put` is all.
        In slices, as it may be long; a source waits for one before it tells the next."""
        merged, order = self.merged, self.order(name)
        self._note(name, [line.address for line in put], list(merged.source(name).lines) if whole else gone)
        steps = (
            merged.replacing(self.clock.now(), name, order, put)
            if whole
            else merged.changing(self.clock.now(), name, order, put, gone)
        )
        await sliced(map(self._changed, steps))
        self.heard.set()

    def limits(self, name, groups):
        """All limits of a source: {group: (part to turn away, most playbacks or None, addresses)}."""
        self.stated[name] = groups
        self._limit(name)

    def _limit(self, name):
        of = self.flow.numbers.of
        self.limited.told(
            name,
            {
                group: (part, most, frozenset(of[a] for a in addresses if a in of))
                for group, (part, most, addresses) in self.stated[name].items()
            },
        )

    def reached(self, name, reached, why=""):
        source = self.merged.source(name)
        if source.reached != reached or why:
            log = self.log.info if reached else self.log.warning
            log("list source", source=name, reached=reached, entries=len(source.lines), why=why)
        self.merged.reached(name, reached)

    def confirm(self, name, addresses=None):
        """The operator's word on what a source dropped in panic: all of it (None), or these."""
        doubted = set(self.merged.source(name).doubted)
        believed = doubted if addresses is None else doubted & set(addresses)
        self._note(name, believed)
        self._changed(self.merged.confirm(self.clock.now(), name, believed))
        return sorted(believed)

    def every_second(self):
        now = self.clock.now()
        for name in self.names:
            doubted = set(self.merged.sources[name].doubted)
            if doubted:
                self._changed(self.merged.confirm(now, name))
                self._note(name, doubted)
        for _, what in list(self.merged.alarms)[len(self.merged.alarms) - self.merged.alarmed + self.told :]:
            self.log.error("alarm of the list", what=what)
        self.told = self.merged.alarmed
        if self.committer is not None:
            self._stands(now)
        if self.committer is not None and self.dirty and (self.saving is None or self.saving.done()):
            self.saving = asyncio.ensure_future(self._save())

    # Handing on.

    def fresh(self):
        """Lines of which all sources that list them have spoken in this run."""
        merged = self.merged
        return [
            line
            for address, line in merged.lines.items()
            if all(s.heard is not None for s in merged.holders[address].values())
        ]

    def line_of(self, id):
        return self.merged.lines.get(self.flow.numbers.taken.get(id))

    def _gather(self, changed):
        self.flow.add(changed)
        if changed:
            for tap in self.taps:
                tap(changed)

    def _changed(self, changed):
        self._gather(changed)
        self._arm()

    def _arm(self):
        now = self.clock.now()
        at = self.flow.next_at(now)
        if at is None or self.timer is not None:
            return
        if at <= now:
            self._hand_on(False)
            at = self.flow.next_at(now)
        if at is not None:
            wait = max(0, at - now) / SECOND
            self.timer = asyncio.get_running_loop().call_later(wait, self._ring)

    def _ring(self):
        self.timer = None
        self._arm()

    def _hand_on(self, old):
        now = self.clock.now()
        entries, there, gone, forgotten = self.flow.take(now)
        for what in self.flow.alarms:
            self.merged.alarm(now, what)
        self.flow.alarms.clear()
        self.version += 1
        for name in self.stated:  # numbers are given as streamers are handed on
            self._limit(name)
        if entries or forgotten:
            self.hand(entries, there, gone, forgotten, old)

    # Keeping.

    def _stands(self, now):
        """Of sources that are in reach and say nothing new, as of when that is so, now and then."""
        wall = self.clock.to_wall_ns(now)
        for name in self.names:
            late = wall - self.kept.as_of.get(name, 0) > STANDS
            if self.merged.sources[name].reached and late and name not in self.dirty:
                self.dirty[name] = set()

    def _note(self, name, *many):
        if self.committer is not None:
            for addresses in many:
                self.dirty[name].update(addresses)

    async def _save(self):
        dirty, self.dirty = self.dirty, defaultdict(set)
        made = records(
            dirty, self.merged.sources, self.clock.to_wall_ns, self.clock.to_wall_ns(self.clock.now())
        )
        try:
            await self.committer.append(made)
        except (OSError, Broken) as wrong:  # the list in force is as good: the next second tries again
            for name, addresses in dirty.items():
                self.dirty[name] |= addresses
            self.log.error("list not kept", why=str(wrong))
            return
        for _, record in made:
            self.kept.replay(record)

    async def close(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.saving is not None:
            await asyncio.wait([self.saving])
        if self.committer is not None and self.dirty:
            await self._save()

    # What operators see.

    def report(self):
        """A plain value of the list in force and of its sources."""
        now, merged = self.clock.now(), self.merged
        sources = {
            name: {"age": age and age / SECOND, "reached": reached, "entries": entries, "doubted": doubted}
            for name, (age, reached, entries, doubted) in merged.ages(now).items()
        }
        rows = [
            {
                "id": self.flow.numbers.of.get(address),
                "address": address,
                "name": line.name,
                "rack": line.rack,
                "kind": line.kind,
                "zone": line.zone,
                "standing": line.standing,
                "weight": line.weight,
                "started": self.clock.to_wall_ns(line.started) / SECOND,
                "sources": [merged.holders[address][r].name for r in sorted(merged.holders[address])],
            }
            for address, line in sorted(merged.lines.items())
        ]
        alarms = [{"ago": (now - at) / SECOND, "what": what} for at, what in merged.alarms]
        limits = {
            f"{source}/{group}": {"turned_away": part, "most": most, "streamers": len(ids)}
            for (source, group), (part, most, ids) in self.limited.groups.items()
        }
        return {
            "sources": sources,
            "limits": limits,
            "streamers": rows,
            "alarms": alarms,
            "waiting": sorted(self.flow.waiting),
        }
