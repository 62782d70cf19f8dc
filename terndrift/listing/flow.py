"""What of the list in force goes to the decisions next, and under which number. Decides; no I/O, no clock.

Changes are gathered: the newest of each streamer counts, what says "no longer" goes first, and between two
handings passes a while, so that a source with a thousand changes a second costs a hundred calls. A single
change is handed on at once.

Numbers: the one a source gives, else the address's checksum, so that every controller has the same. One that
is taken by another address is a fault of the sources: the later streamer waits, with an alarm, until the
number is free. Guards against two lists that count their streamers each from 1.
"""

import zlib

from terndrift.listing.lines import entry

MS = 1_000_000
# Least time between two handings; a change waits so long at most while others come. Under what a set-up
# takes, so that no choice is made by older news than its own connect.
GATHER = 10 * MS
# Entries in one handing: a ms of the decisions, up to five where all of them are new.
MOST = 128
# Streamers gone whose number and address are kept, beside as many as are listed: what plays there goes on.
KEPT_GONE = 256


class Numbers:
    def __init__(self):
        self.of, self.taken = {}, {}  # address -> number, number -> address

    def give(self, address, wanted):
        """The number of an address, or None where `wanted` is another's."""
        if address in self.of:
            return self.of[address]
        number = wanted
        if number is None:
            number = zlib.crc32(address.encode())
            while number in self.taken:  # two addresses of one checksum: the later one takes the next
                number = (number + 1) % 2**32
        elif number in self.taken:
            return None
        self.of[address], self.taken[number] = number, address
        return number

    def free(self, address):
        number = self.of.pop(address, None)
        if number is not None and self.taken.get(number) == address:
            del self.taken[number]
        return number


class Flow:
    """`add` what came to differ; `take` what to hand on, when `next_at` says so."""

    def __init__(self):
        self.numbers = Numbers()
        self.off, self.rest = {}, {}  # address -> Line or None, not yet handed on
        self.there = {}  # address -> Line handed on and not gone
        self.gone = {}  # address -> Line last handed on, of those gone, oldest first
        self.waiting = {}  # address -> Line without a number of its own
        self.last = None  # when something was last handed on
        self.alarms = []

    def add(self, changed):
        for address, line in changed.items():
            urgent = line is None or line.standing != "ready"
            (self.rest if urgent else self.off).pop(address, None)
            (self.off if urgent else self.rest)[address] = line

    def next_at(self, now):
        """When `take` is next wanted; None: nothing to hand on."""
        if not self.off and not self.rest:
            return None
        return now if self.last is None else max(now, self.last + GATHER)

    def take(self, now):
        """(entries for the decisions, {id: address} of those there, ids gone, ids forgotten)."""
        self.last = now
        entries, there, gone = {}, {}, set()
        for part in (self.off, self.rest):
            while part and len(entries) < MOST:
                address = next(iter(part))
                self._one(address, part.pop(address), entries, there, gone)
        return list(entries.values()), there, gone, self._forget()

    def _one(self, address, line, entries, there, gone):
        if line is None:
            self.waiting.pop(address, None)
            was = self.there.pop(address, None)
            if was is None:
                return
            id = self.numbers.of[address]
            self.gone[address] = was
            entries[id] = entry(was, id, "gone")
            gone.add(id)
            for other, waits in list(self.waiting.items()):
                if waits.id == id:  # its number is free now
                    self.numbers.free(address)
                    self.gone.pop(address, None)
                    del self.waiting[other]
                    self._one(other, waits, entries, there, gone)
                    break
            return
        holder = self.numbers.taken.get(line.id)
        if holder is not None and holder != address and holder not in self.there:
            self.numbers.free(holder)  # a streamer that moved: its number comes along
            self.gone.pop(holder, None)
        id = self.numbers.give(address, line.id)
        if id is None:
            if address not in self.waiting:
                other = self.numbers.taken[line.id]
                self.alarms.append(f"{address} is listed as {line.id}, which is {other}: it waits")
            self.waiting[address] = line
            return
        if line.id is not None and line.id != id:
            self.alarms.append(f"{address} is listed as {line.id} and goes on as {id}")
        self.gone.pop(address, None)
        self.there[address] = line
        entries[id], there[id] = entry(line, id), address
        gone.discard(id)

    def _forget(self):
        out = []
        while len(self.gone) > KEPT_GONE + len(self.there):
            address = next(iter(self.gone))
            del self.gone[address]
            out.append(self.numbers.free(address))
        return out
