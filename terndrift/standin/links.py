"""Links and uplinks that share alike: where more is asked than given, all get the same part of their pace."""

import asyncio

# Between grants: short against a segment, long against the cost of a turn of the loop.
TICK = 0.02
# Sent in one piece at least, but for the end: a network does not hand out bytes one by one.
PIECE = 4096


class Link:
    def __init__(self, rate):
        self.rate, self.weak = rate, 1.0  # bytes a second; divided by `weak` while something is wrong

    def given(self):
        return self.rate / self.weak


class Transfer:
    def __init__(self, link, uplink, pace):
        self.link, self.uplink, self.pace = link, uplink, pace
        self.granted, self.left, self.ready = 0.0, 0, asyncio.Event()


class Shaper:
    """Grants bytes to every transfer under way, each tick."""

    def __init__(self):
        self.transfers = set()

    async def run(self):
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(TICK)
            now = loop.time()
            self.grant(now - last)
            last = now

    def grant(self, seconds):
        by_link, by_uplink, part = {}, {}, {}
        for t in self.transfers:
            by_link[t.link] = by_link.get(t.link, 0.0) + t.pace
        for t in self.transfers:
            part[t] = t.pace * min(1.0, t.link.given() / by_link[t.link])
            by_uplink[t.uplink] = by_uplink.get(t.uplink, 0.0) + part[t]
        for t in self.transfers:
            # what is not taken in time is not saved up
            most = max(t.pace * 4 * TICK, PIECE)
            part_now = part[t] * min(1.0, t.uplink.given() / by_uplink[t.uplink]) * seconds
            t.granted = min(t.granted + part_now, max(most, part_now))
            if t.granted >= min(PIECE, t.left):
                t.ready.set()

    async def send(self, link, uplink, pace, size, write):
        """Hands `write` (a coroutine function) so many bytes at the pace that the links allow."""
        transfer = Transfer(link, uplink, pace)
        self.transfers.add(transfer)
        try:
            while size > 0:
                transfer.left = size
                await transfer.ready.wait()
                transfer.ready.clear()
                part = min(size, int(transfer.granted))
                transfer.granted -= part
                size -= part
                await write(part)
        finally:
            self.transfers.discard(transfer)
