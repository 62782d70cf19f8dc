"""Stand-ins of SIP on sockets of their own, with datagrams lost, doubled or late by script."""

import asyncio
import random
import time

SECOND = 1_000_000_000


class Socket(asyncio.DatagramProtocol):
    """`loss`, `double`, `late`: parts of the datagrams, both ways. `heard(data)` is told of whatever comes,
    before any of it is lost, `sent(data)` of whatever leaves."""

    def __init__(self, seed=0, loss=0.0, double=0.0, late=0.0):
        self.agent, self.timer, self.transport = None, None, None
        self.chance, self.loss, self.double, self.late = random.Random(seed), loss, double, late
        self.drop, self.heard, self.sent = lambda data: False, lambda data: None, lambda data: None

    async def open(self, make, listen="127.0.0.1:0"):
        """`make(address)`: the agent. Returns it."""
        loop, (host, _, port) = asyncio.get_running_loop(), listen.rpartition(":")
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        host, port = self.transport.get_extra_info("sockname")
        self.agent = make(f"{host}:{port}")
        return self.agent

    def datagram_received(self, data, addr):
        self.heard(data)
        if self.drop(data) or self.chance.random() < self.loss:
            return
        self.agent.datagram(time.monotonic_ns(), data, f"{addr[0]}:{addr[1]}")
        self.flush()

    def flush(self):
        for target, data in self.agent.out:
            host, _, port = target.rpartition(":")
            if self.chance.random() < self.loss:
                continue
            self.sent(data)
            for _ in range(1 + (self.chance.random() < self.double)):
                if self.chance.random() < self.late:
                    asyncio.get_running_loop().call_later(
                        self.chance.uniform(0.0, 0.05), self.transport.sendto, data, (host, int(port))
                    )
                else:
                    self.transport.sendto(data, (host, int(port)))
        self.agent.out.clear()
        if self.timer:
            self.timer.cancel()
        at = self.agent.next_at()
        if at is not None:
            wait = max(0, at - time.monotonic_ns()) / SECOND
            self.timer = asyncio.get_running_loop().call_later(wait, self._ring)

    def _ring(self):
        self.timer = None
        self.agent.tick(time.monotonic_ns())
        self.flush()

    def close(self):
        if self.timer:
            self.timer.cancel()
        self.transport.close()
