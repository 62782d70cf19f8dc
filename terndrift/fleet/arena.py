"""Members and voters of a fleet in virtual time: no sockets, the same to the last message for the same seed.

Datagrams can be lost, doubled and late, groups cut apart, members killed, stopped and continued; disks
kept, wiped and put back. For tests, and for the figures by size in `docs/fleet.md`.
"""

import heapq
import itertools
import random
from functools import partial

from terndrift.fleet.member import Controller
from terndrift.fleet.messages import DATAGRAM, opened
from terndrift.fleet.record import Durable

MS = 1_000_000
SECOND = 1000 * MS


def _mint(draw):
    return f"{draw.randrange(16**8):08x}"


class Disk:
    """What one controller has kept, and earlier copies of it."""

    def __init__(self):
        self.records, self.copies = [], []


class Arena:
    def __init__(self, names, voters=(), seed=1, loss=0.0, double=0.0, late=0.0, sync=3 * MS):
        self.names, self.voters, self.seed = list(names), list(voters), seed
        self.loss, self.double, self.late, self.sync = loss, double, late, sync
        self.chance, self.now = random.Random(seed), 1000 * SECOND
        self.events, self.order = [], itertools.count()
        self.up, self.disks, self.stopped = {}, {n: Disk() for n in self.names}, {}
        self.cut = lambda a, b: False  # whether what a sends does not reach b
        self.sent = {n: [0, 0] for n in self.names}  # datagrams, bytes
        self.agreed, self.wrong = {}, []  # (epoch, index) -> entry; what must not be
        self.alarms = {}  # name -> when it is woken next
        self.changes = []  # (time, who says so, of whom, standing before, after)

    # What a test does.

    def start(self, *names):
        for n in names or self.names:
            durable = Durable()
            for record in self.disks[n].records:
                durable.replay(record)
            kept = durable if n in self.voters else None
            mint = partial(_mint, random.Random(f"{self.seed}/{n}/{self.now}"))
            self.up[n] = Controller(
                "arena", n, self.names, self.voters, kept, self.now // MS, self.now, mint, self.seed
            )
            self.alarms.pop(n, None)
            self._after(n)

    def kill(self, *names):
        for n in names:
            self.up.pop(n, None)
            self.stopped.pop(n, None)

    def stop(self, *names):
        for n in names:
            self.stopped[n] = []

    def go_on(self, *names):
        """What came meanwhile is read first: sockets have kept it."""
        for n in names:
            for call in self.stopped.pop(n, ()):
                call()
            self.alarms.pop(n, None)
            self._after(n)

    def wipe(self, name):
        self.disks[name].records = []

    def copy(self, name):
        self.disks[name].copies.append(list(self.disks[name].records))

    def rewind(self, name):
        self.disks[name].records = list(self.disks[name].copies[-1])

    def call(self, name, method, *args):
        got = getattr(self.up[name], method)(self.now, *args)
        self._after(name)
        return got

    def run(self, seconds):
        until = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def until(self, true, within):
        """Seconds until `true()` first holds, looked at every 50 ms; None: not within so many."""
        began = self.now
        while self.now - began <= within * SECOND:
            if true():
                return (self.now - began) / SECOND
            self.run(0.05)
        return None

    # What there is to see.

    def leaders(self):
        lead = [n for n, c in self.up.items() if c.voter and c.voter.role.value == "leader"]
        return [n for n in lead if n not in self.stopped]

    def seen(self, of, standing="alive"):
        """Who sees that member so."""
        others = {n: c.members for n, c in self.up.items() if n != of}
        return [n for n, members in others.items() if members.view(self.now)[of]["standing"] == standing]

    def settled(self):
        """Whether all that run see each other, and no one else, alive."""
        there = set(self.up)
        return all(set(c.members.alive()) == there - {n} for n, c in self.up.items())

    # The wires.

    def at(self, when, call):
        heapq.heappush(self.events, (when, next(self.order), call))

    def _after(self, n):
        c = self.up[n]
        data, c.out = c.out, []
        for to, packet in data:
            self._send(n, to, packet)
        if c.writes:
            self._write(n, c)
        self._look(n, c)
        at = max(self.now, c.next_at())
        if n not in self.alarms or at < self.alarms[n] or self.alarms[n] < self.now:
            self.alarms[n] = at
            self.at(at, lambda: self._ring(n, c, at))

    def _ring(self, n, c, at):
        if self.up.get(n) is not c or self.alarms.get(n) != at:
            return
        if n in self.stopped:
            return
        self.alarms.pop(n)
        c.tick(self.now)
        self._after(n)

    def _write(self, n, c):
        batch, c.writes = c.writes, []
        wrote = c.wrote

        def done():
            if self.up.get(n) is not c:
                return
            if n in self.stopped:
                self.stopped[n].append(done)
                return
            self.disks[n].records += batch
            c.kept(self.now, wrote)
            self._after(n)

        self.at(self.now + self.sync, done)

    def _send(self, n, to, packet):
        self.sent[n][0] += 1
        self.sent[n][1] += len(packet)
        if to not in self.up or self.cut(n, to):
            return
        large = len(packet) > DATAGRAM  # over HTTP: not lost but in a cut, and neither doubled
        if not large and self.chance.random() < self.loss:
            return
        copies = 2 if not large and self.chance.random() < self.double else 1
        for _ in range(copies):
            way = MS // 2 + int(self.chance.expovariate(1 / MS))
            way += int(self.chance.uniform(0, 300) * MS) if self.chance.random() < self.late else 0
            self.at(self.now + way, lambda: self._arrive(to, packet))

    def _arrive(self, to, packet):
        if to in self.stopped:
            self.stopped[to].append(lambda: self._arrive(to, packet))
            return
        c = self.up.get(to)
        if c is not None:
            found = opened(packet, "arena", to, c.known)
            assert not isinstance(found, str), found
            c.received(self.now, found)
            self._after(to)

    def _look(self, n, c):
        for when, of, before, after in c.members.changes:
            self.changes.append((when, n, of, before, after))
        c.members.changes.clear()
        for index, entry in c.follower.heard:
            was = self.agreed.setdefault((c.follower.epoch, index), entry)
            if was != entry:
                self.wrong.append(f"entry {index}: {was} and, at {n}, {entry}")
        c.follower.heard.clear()
