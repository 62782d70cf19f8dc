"""A network between controllers that can fail: an address of its own for each ordered pair, for datagrams
and HTTP.

Who wants to reach b sends from a to the address of (a, b); what passes can be cut (both ways, or one), lost,
doubled, late and out of order, and connections reset. All draws come from one seed.
"""

import asyncio
import random
from collections import Counter


class Way:
    """From one to another."""

    def __init__(self, network, pair):
        self.network, self.pair = network, pair
        self.transport = self.server = self.address = self.http = None

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: Taken(self), ("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.transport.get_extra_info("sockname")[:2])
        self.http = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def taken(self, data):
        n, loop = self.network, asyncio.get_running_loop()
        to = n.datagrams.get(self.pair[1])
        if to is None or n.closed(*self.pair) or n.chance.random() < n.loss:
            n.counts["lost"] += 1
            return
        for _ in range(2 if n.chance.random() < n.double else 1):
            if n.chance.random() < n.late:  # and so out of order
                loop.call_later(n.chance.uniform(0.01, 0.3), self.transport.sendto, data, to)
            else:
                self.transport.sendto(data, to)
            n.counts["passed"] += 1

    async def connected(self, reader, writer):
        """A connection is passed on whole, and reset where the way is cut, or by chance where it is lossy."""
        n = self.network
        to = n.bodies.get(self.pair[1])
        if to is None or n.closed(*self.pair) or n.closed(*self.pair[::-1]) or n.chance.random() < n.loss:
            n.counts["reset"] += 1
            return writer.transport.abort()
        try:
            other_reader, other_writer = await asyncio.open_connection(*to)
        except OSError:
            return writer.transport.abort()
        n.open.add((self.pair, writer, other_writer))
        try:
            await asyncio.gather(self.pass_on(reader, other_writer), self.pass_on(other_reader, writer))
        except OSError:
            pass
        finally:
            n.open.discard((self.pair, writer, other_writer))
            writer.transport.abort()
            other_writer.transport.abort()
        return None

    async def pass_on(self, reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()

    def close(self):
        self.transport.close()
        self.server.close()


class Taken(asyncio.DatagramProtocol):
    def __init__(self, way):
        self.way = way

    def datagram_received(self, data, addr):
        self.way.taken(data)

    def error_received(self, exc):
        pass  # nobody there any more


class Network:
    """`names`: who is on it. `members(name)` is how that one reaches the others, as its front file says
    it."""

    def __init__(self, names, seed=1):
        self.names, self.chance = list(names), random.Random(f"network/{seed}")
        self.loss = self.double = self.late = 0.0
        self.cuts, self.datagrams, self.bodies = set(), {}, {}  # (from, to); name -> where it listens
        self.counts, self.open = Counter(), set()
        self.ways = {(a, b): Way(self, (a, b)) for a in self.names for b in self.names if a != b}

    async def start(self):
        for way in self.ways.values():
            await way.open()

    def members(self, name):
        return {b: {"datagrams": w.address, "http": w.http} for (a, b), w in self.ways.items() if a == name}

    def at(self, name, datagrams, http):
        """Where that one listens by itself."""
        for table, address in ((self.datagrams, datagrams), (self.bodies, http)):
            host, _, port = address.rpartition(":")
            table[name] = host, int(port)

    def closed(self, a, b):
        return (a, b) in self.cuts

    def cut(self, one, other, both=True):
        """Nothing from any of `one` reaches any of `other`, nor back if `both`. What is open there is
        reset."""
        pairs = {(a, b) for a in one for b in other if a != b}
        if both:
            pairs |= {(b, a) for a, b in pairs}
        self.cuts |= pairs
        for pair, writer, other_writer in list(self.open):
            if pair in pairs or pair[::-1] in pairs:
                writer.transport.abort()
                other_writer.transport.abort()
        return pairs

    def heal(self, pairs=None):
        self.cuts -= set(self.cuts) if pairs is None else pairs

    def close(self):
        for way in self.ways.values():
            way.close()
