"""A network of datagrams in hand-driven time: agents at addresses, with loss, doubling and late arrival."""

import hashlib
import heapq
import itertools
import random

from terndrift.sip.bridge import Bridge
from terndrift.sip.message import Bad, read
from terndrift.sip.transaction import Times
from terndrift.standin.phone import Peer

MS = 1_000_000
SECOND = 1000 * MS
TIMES = Times(100 * MS, 800 * MS, 500 * MS)


class Notes:
    def __init__(self):
        self.notes = []

    def note(self, what, **facts):
        self.notes.append({"what": what, **facts})

    def all(self, what):
        return [n for n in self.notes if n["what"] == what]


def drawing(seed=1):
    counter = itertools.count()
    return lambda n: hashlib.sha256(f"{seed}:{next(counter)}".encode()).digest()[:n]


class Ours:
    """A Bridge as an agent of the network."""

    def __init__(self, address, user, session=0, gate=lambda now, t: None, least=0):
        self.address = address
        host, port = address.split(":")
        self.bridge = Bridge(
            user, TIMES, (host, int(port)), f"<sip:{address}>", drawing(), session, gate, least
        )

    @property
    def out(self):
        return [(peer.address, data) for peer, data in self.bridge.out]

    def taken(self):
        self.bridge.out.clear()

    def datagram(self, now, data, source):
        try:
            found = read(data)
        except Bad as bad:
            found = bad
        self.bridge.received(now, found, Peer(source))

    def next_at(self):
        return self.bridge.next_at()

    def tick(self, now):
        self.bridge.tick(now)


class Net:
    """`loss`, `double`, `late`: parts of all datagrams; `drop(source, target, data)` picks single ones."""

    def __init__(self, seed=1, loss=0.0, double=0.0, late=0.0):
        self.now, self.agents, self.flying = 1000 * SECOND, {}, []
        self.chance, self.loss, self.double, self.late = random.Random(seed), loss, double, late
        self.numbers, self.passed, self.drop = itertools.count(), [], lambda source, target, data: False

    def add(self, agent):
        self.agents[agent.address] = agent
        return agent

    def _collect(self):
        for agent in self.agents.values():
            for target, data in agent.out:
                times = 1 + (self.chance.random() < self.double)
                for _ in range(times):
                    if self.drop(agent.address, target, data) or self.chance.random() < self.loss:
                        continue
                    wait = 2 * MS + (
                        int(self.chance.uniform(0, 250 * MS)) if self.chance.random() < self.late else 0
                    )
                    heapq.heappush(
                        self.flying, (self.now + wait, next(self.numbers), agent.address, target, data)
                    )
            agent.taken() if hasattr(agent, "taken") else agent.out.clear()

    def step(self, until):
        """To the next thing that happens, or `until`; False: nothing more before that."""
        self._collect()
        times = [a.next_at() for a in self.agents.values()] + [self.flying[0][0] if self.flying else None]
        at = min((t for t in times if t is not None), default=None)
        if at is None or at > until:
            self.now = until
            return False
        self.now = max(self.now, at)
        while self.flying and self.flying[0][0] <= self.now:
            _, _, source, target, data = heapq.heappop(self.flying)
            self.passed.append((self.now, source, target, data))
            if target in self.agents:
                self.agents[target].datagram(self.now, data, source)
        for agent in self.agents.values():
            if agent.next_at() is not None and agent.next_at() <= self.now:
                agent.tick(self.now)
        return True

    def run(self, ns):
        until = self.now + ns
        while self.step(until):
            pass
