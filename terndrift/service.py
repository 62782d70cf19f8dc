"""A controller as a process: its records, its list, its core and its fronts, and how it stops."""

import asyncio
import gc
import os
import signal
from types import SimpleNamespace

from terndrift import deployment, logs, records
from terndrift.core.core import Core
from terndrift.core.host import Clock, Host
from terndrift.decide import Controller
from terndrift.http.carrier import HttpCarrier
from terndrift.http.client import Pool
from terndrift.http.front import Front
from terndrift.http.server import Server
from terndrift.listing.file import Copy, Followed
from terndrift.listing.roll import Roll

SECOND = 1_000_000_000
# Objects made between collections, and collections of the young before one of all. Python's own 700, 10, 10
# stop the loop for tens of ms at a thousand playbacks; garbage in circles is little here (tasks, exceptions).
COLLECT = (20_000, 20, 50)


def read(path):
    """A front file's value, checked in itself; raises records.Wrong or deployment.Amiss."""
    value = records.load(path, "front")
    deployment.check(value["deployment"])
    beside = os.path.dirname(os.path.abspath(path))
    for key in ("list", "cache", "ready"):
        if value[key]:
            value[key] = os.path.join(beside, value[key])
    return value


class Service:
    def __init__(self, value, log=None, controller=None):
        self.value = value
        self.log = log or logs.setup(value["log"]["level"], value["log"]["form"])
        self.clock = Clock()
        made = deployment.made(value["deployment"], value["controller"])
        http, limits = value["http"], value["limits"]
        self.core = Core(made, self.clock.now(), value["controller"]["name"],
                         value["deployment"]["rules"]["drain_grace"], logs.watcher(self.log),
                         controller or Controller)
        self.host = Host(self.core, self.clock)
        self.known, self.plans = deployment.titles(value["deployment"]), value["deployment"]["plans"]
        self.addresses, self.everywhere = {}, frozenset()
        self.pool = Pool(http["pool"])
        self.carrier = HttpCarrier(self.host, self.pool, self.addresses, http["connect"])
        room = SimpleNamespace(open=limits["open"], playbacks=limits["playbacks"], idle=http["idle"],
                               stall=http["stall"])
        self.front = Front(self.host, self.carrier, self.title, room, self.log)
        self.server = Server(self.front.handle, http["connections"], http["header"],
                             http["header_time"] / SECOND, http["stall"] / SECOND, fault=self._fault)
        self.list = Followed(value["list"], value["list_poll"] / SECOND, Roll(), Copy(value["cache"]),
                             self.clock, self._list_changed, self.log)
        self.address, self.tasks, self.stopped = None, [], None

    def title(self, name):
        """(plan, its abandon time, holders' cells, segments, length) of a title, or None."""
        found = self.known.get(name)
        if found is None:
            return None
        cells = self.everywhere if found.holders is None else found.holders
        return found.plan, self.plans[found.plan]["abandon"], cells, found.segments, found.length

    def _list_changed(self, entries, addresses, old):
        self.addresses.clear()
        self.addresses.update(addresses)
        self.everywhere = frozenset(addresses)
        self.log.info("list", streamers=len(entries), old=old)
        self.host.do(self.core.list_changed, entries, True, old)

    def _fault(self, exchange, error):
        self.log.error("fault of a front", path=exchange.path, exc_info=error)

    def start(self):
        """Within a running loop: opens the front. Raises records.Wrong without any list, OSError without
        the port."""
        self.list.begin()
        self.address = self.server.listen_on(self.value["http"]["listen"])
        self.stopped = asyncio.Event()
        self.tasks = [asyncio.ensure_future(self.list.follow()), asyncio.ensure_future(self._seconds())]
        if self.value["ready"]:
            part = self.value["ready"] + ".part"
            with open(part, "w", encoding="utf-8") as file:
                file.write(self.address + "\n")
            os.replace(part, self.value["ready"])
        self.log.info("listening", address=self.address, controller=self.core.name)

    async def _seconds(self):
        while True:
            await asyncio.sleep(1.0)
            try:
                self.front.every_second()
            except Exception as fault:  # the next second must come all the same
                self.log.error("fault of a front", exc_info=fault)

    async def drain(self):
        """Takes nothing new, lets what is awaited be answered and what plays play for the drain time."""
        self.log.info("draining", open=self.core.open, playbacks=len(self.core.held))
        self.front.draining = True
        self.server.stop()
        loop, until = asyncio.get_running_loop(), self.value["http"]["drain"] / SECOND
        until += loop.time()
        while (self.core.open or self.front.playing()) and loop.time() < until:
            await asyncio.sleep(0.05)
        await self.close()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.front.close()
        await self.server.drain(1.0)
        if self.carrier.farewells:
            await asyncio.wait(self.carrier.farewells, timeout=1.0)
        self.carrier.close()
        self.pool.close()
        self.host.stop()
        self.stopped.set()

    async def run(self):
        """Until SIGTERM or SIGINT: the first drains, a second one ends the process at once."""
        self.start()
        # what stands now stands for good: the collector need not go through it again and hold the loop up
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        loop, told = asyncio.get_running_loop(), []

        def stop():
            if told:
                os._exit(0)
            told.append(asyncio.ensure_future(self.drain()))

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        await self.stopped.wait()
        self.log.info("stopped")
