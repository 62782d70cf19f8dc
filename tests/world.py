"""A controller, stand-in streamers and players in one process, for tests over real sockets."""

import asyncio
import os
import socket
import tempfile
import time

from terndrift import records, service
from terndrift.audit import judge
from terndrift.audit.facts import Facts
from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.standin import ledger as ledgers
from terndrift.standin.fleet import Fleet, write_list
from terndrift.standin.player import Player

DEPLOYMENT = """
deployment: {
	plans: free: {startup_target: 400ms, abandon: 1500ms}
	plans: paid: {startup_target: 500ms, abandon: 1s, floor: 1, repeatable: false}
	plans: seated: {startup_target: 400ms, abandon: 1s, seats: 2}
	ladder: {rates: [25kB/s, 50kB/s, 100kB/s, 200kB/s], revenue: [0.25, 0.5, 0.75, 1.0]}
	links: {unit: 2MB/s, uplink: 4MB/s, places: box: 40, lag: 300ms}
	rules: {drain_grace: 300ms, cold_for: 2s, extra_tries: 50, fall_window: 500ms}
	titles: "clip": {plan: "free", seconds: 2}
	titles: "long": {plan: "free", seconds: 30}
	titles: "lesson": {plan: "paid", seconds: 2}
	titles: "seat": {plan: "seated", seconds: 30}
	titles: "first": {plan: "free", seconds: 2, holders: [1]}
	segment: 200ms
}
"""


class World:
    """`streamers` stand-ins on two racks; `front` is more of the front file."""

    list_file = "list.rec"

    def __init__(self, streamers=3, front="", carrier=None):
        self.folder = tempfile.TemporaryDirectory()
        self.streamers, self.more, self.make = streamers, front, carrier
        self.pool, self.told = Pool(), []

    def path(self, name):
        return os.path.join(self.folder.name, name)

    async def __aenter__(self):
        rows = "".join(
            f'streamers: "s{n}": {{id: {n}, rack: {n % 2}, kind: "box", link: 2MB/s}}\n'
            for n in range(self.streamers)
        )
        text = DEPLOYMENT + f'uplinks: {{"0": 4MB/s}}\nledger: "{self.path("fleet.jsonl")}"\n' + rows
        self.fleet = Fleet(records.loads(text, "fleet"))
        self.fleet.start()
        self.seen, self.runner = ledgers.Ledger(self.path("seen.jsonl")), []
        self.standing, self.started = {}, {}
        self.write_list()
        await self.serve()
        return self

    async def serve(self, listen="127.0.0.1:0"):
        store = "" if "store:" in self.more else 'catalogue: store: "c0.store"'
        with open(self.path("front.rec"), "w", encoding="utf-8") as file:
            file.write(
                DEPLOYMENT + f'controller: name: "c0"\nlist: "{self.list_file}"\nlist_poll: 20ms\n'
                f'http: listen: "{listen}"\n{store}\n{self.more}\n'
            )
        self.service = service.Service(service.read(self.path("front.rec")), log=Log(self.told))
        if self.make:
            self.make(self.service)
        # what just started may find streamers that just started too; tests of that say so themselves
        self.service.core.controller.began_empty = False
        await self.service.start()
        self.address = self.service.address
        self.note("controller up", name="c0", address=self.address)

    async def __aexit__(self, *_):
        await self.service.close()
        self.fleet.stop()
        self.pool.close()
        self.seen.flush()

    def note(self, what, **facts):
        self.runner.append({"what": what, "t": time.monotonic_ns(), **facts})

    def write_list(self, **standing):
        self.standing.update({int(k[1:]): v for k, v in standing.items()})
        write_list(self.path("list.rec"), self.fleet.lines(), self.started, self.standing)
        for id, state in standing.items():
            self.note("listed", streamer=int(id[1:]), standing=state)

    async def listed(self):
        """Waits until the list as written is in force."""
        version = self.service.listing.version
        while self.service.listing.version == version:
            await asyncio.sleep(0.01)

    async def ask(self, title="clip", headers=None, within=5.0, path=None):
        """(code, headers, body, seconds it took) of a set-up; code 0: the connection broke."""
        began = time.monotonic()
        try:
            answer = await fetch(
                self.pool, self.address, "GET", path or f"/v/{title}/main.m3u8", headers, within=within
            )
        except (Broken, Unreached) as wrong:
            answer = (0, {}, str(wrong).encode())
        return (*answer, time.monotonic() - began)

    def player(self, title="clip", visit="", **more):
        found = self.service.titles.find(title)
        plan = found.plan if found else "free"
        abandon = self.service.value["deployment"]["plans"][plan]["abandon"] / 1e9
        return Player(lambda: self.address, title, self.seen, self.pool, visit, plan, abandon, **more)

    async def load(self, name, done):
        """Viewers of a short title, one after the other, until there is something in `done`."""
        n = 0
        while not done:
            n += 1
            await self.player("clip", f"{name}{n}", seconds=0.2).watch()

    def raw(self, data):
        """A socket that has sent `data`."""
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(data)
        return sock

    def notes(self, what=None):
        self.fleet.ledger.flush()
        return [n for n in ledgers.read(self.path("fleet.jsonl")) if what in (None, n["what"])]

    def facts(self):
        self.seen.flush()
        return Facts(
            self.service.value["deployment"],
            {
                "viewers": ledgers.read(self.path("seen.jsonl")),
                "runner": self.runner,
                "streamers": self.notes(),
            },
            told_within=0.3,
        )

    def breaks(self):
        return judge.report(self.facts())

    async def quiet(self):
        """Waits until nothing is owed or out."""
        while self.service.core.held or self.service.carrier.tries:
            await asyncio.sleep(0.01)


class Log:
    """Keeps what is logged: (level, event, facts)."""

    def __init__(self, told):
        self.told = told

    def __getattr__(self, level):
        return lambda event, **facts: self.told.append((level, event, facts))


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def in_world(test=None, kind=World, **made):
    """Runs a coroutine test within a World."""
    if test is None:
        return lambda test: in_world(test, kind, **made)

    def run():
        async def inside():
            async with kind(**made) as world:
                await asyncio.wait_for(test(world), 60)

        asyncio.run(inside())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
