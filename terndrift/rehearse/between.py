"""What happens between the controllers of a rehearsal: their network and its faults, what they are asked to
agree on, and what they say of each other."""

import asyncio
import json
import os
import random
import shutil
import signal
import time
from datetime import datetime

import msgspec

from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.standin.network import Network

SECOND = 1_000_000_000
LOOK = 0.25  # s between looks at what each controller knows
SETTLES = 20.0  # s in which a fleet finds together at its start, or after its last fault, or is told as it is


class Between:
    def __init__(self, rehearsal):
        self.rehearsal = rehearsal
        self.names = [f"c{n}" for n in range(rehearsal.controllers)]
        self.voters = self.names[: rehearsal.day["members"]["voters"]]
        self.network, self.pool = Network(self.names, rehearsal.seed), Pool(4)
        self.chance, self.ended = random.Random(f"between/{rehearsal.seed}"), False
        self.works = rehearsal.day["work"]["share"] > 0 and rehearsal.day["work"]["by"] == "settled"

    def note(self, what, **facts):
        self.rehearsal.ledger.note(what, **facts)

    def path(self, n):
        return self.rehearsal.path(f"c{n}.record")

    def own(self, n):
        """Its own store, of catalogue and list."""
        return self.rehearsal.path(f"c{n}.store")

    def loses(self, n, store):
        """While it is down its own store is emptied (wiped), or put back to that of the day's begin (old)."""
        if store == "kept":
            return
        self.note("lost", controller=f"c{n}", store=store)
        shutil.rmtree(self.own(n))
        if store == "old":
            shutil.copytree(self.own(n) + ".earlier", self.own(n))
        elif os.path.exists(sight := self.own(n) + ".sight"):
            os.unlink(sight)

    async def start(self):
        await self.network.start()

    def front(self, n):
        """The `fleet` of the n-th controller's front file. The others reach it by the network's addresses, so
        that it may listen elsewhere after a restart: its old port may be somebody's by then."""
        return {
            "name": "rehearsed",
            "datagrams": "127.0.0.1:0",
            "http": "127.0.0.1:0",
            "voters": self.voters,
            "store": f"c{n}.record" if f"c{n}" in self.voters else "",
            "work": self.works,
            "members": self.network.members(f"c{n}"),
            "front": "listen",
            "shed": self.rehearsal.day["members"]["shed"],
            "limits": self.rehearsal.day["members"]["limits"],
        }

    async def ask(self, n, method, path, value=None, within=1.0):
        """The JSON of an admin listener; None: no answer, or not a good one."""
        body = b"" if value is None else msgspec.json.encode(value)
        try:
            length = {"Content-Length": str(len(body))}
            code, _, got = await fetch(
                self.pool,
                self.rehearsal.admins[n],
                method,
                path,
                length,
                within=within,
                body=body,
                connect=0.5,
            )
        except (Unreached, Broken, KeyError):
            return None
        return json.loads(got) if code == 200 else None

    async def settle(self):
        """The record's first beginning, and all voters let in."""
        while await self.ask(0, "POST", "/fleet/restart", {"state": None}, 6.0) is None:
            await asyncio.sleep(0.1)
        until = time.monotonic() + SETTLES
        while time.monotonic() < until:
            said = [await self.ask(n, "GET", "/fleet/record") for n in range(len(self.names))]
            if all(s and len(s["voters"]) == len(self.voters) for s in said):
                break
            await asyncio.sleep(0.1)
        for n in range(len(self.voters)):  # what a voter may be put back to
            shutil.copytree(self.path(n), self.path(n) + ".earlier")
        for n in range(len(self.names)):
            shutil.copytree(self.own(n), self.own(n) + ".earlier")

    def work(self):
        return [
            self._looks(),
            self._proposals(),
            self._converges(),
            *(self._trouble(*trouble) for trouble in self.rehearsal.drawn.between),
        ]

    async def _looks(self):
        while not self.ended:
            await asyncio.gather(*(self._look(n) for n in range(len(self.names))))
            await asyncio.sleep(LOOK)
            if time.time() > self.rehearsal.begin + self.rehearsal.seconds + 1:
                return

    async def _look(self, n):
        at = time.monotonic_ns()
        said = await self.ask(n, "GET", "/fleet/record")
        if said is not None:
            self.note(
                "looked",
                at=at,
                controller=f"c{n}",
                role=said["role"],
                epoch=said["epoch"][0],
                agreed=said["agreed"],
                age_s=said["age_s"],
            )

    async def _proposals(self):
        rate, at, n = self.rehearsal.day["members"]["propose"], 0.0, 0
        tasks = []
        while (at := at + self.chance.expovariate(rate)) < self.rehearsal.seconds:
            await self.rehearsal._until(int(at * SECOND))
            tasks.append(asyncio.ensure_future(self._propose(f"p{n}")))
            n += 1
        await asyncio.gather(*tasks)

    async def _propose(self, id):
        """Until an answer says that it is agreed, through one controller after the other, as a client
        would."""
        at = time.monotonic_ns()
        for again in range(8):
            n = self.chance.randrange(len(self.names))
            what = {"id": id, "value": {id: again}, "wait": 4.0}
            said = await self.ask(n, "POST", "/fleet/propose", what, 5.0)
            if said is not None:
                return self.note("proposed", id=id, index=said["index"], asked=at, again=again)
        return self.note("proposed", id=id, index=None, asked=at, again=8)

    async def _trouble(self, at, kind, some, lasts, size):
        r = self.rehearsal
        await r._until(at)
        names = [f"c{n}" for n in some]
        if kind == "cut":
            others = [n for n in self.names if n not in names]
            pairs = self.network.cut(names, others, both=size >= 2)
            await self._disturbed(kind, names, lasts)
            self.network.heal(pairs)
        elif kind == "lossy":
            self.network.loss = size
            await self._disturbed(kind, [], lasts)
            self.network.loss = 0.0
        elif kind == "stop":
            some = [n for n in some if r.processes[f"c{n}"].returncode is None]
            for n in some:
                r.processes[f"c{n}"].send_signal(signal.SIGSTOP)
                self.note("controller down", name=f"c{n}", address=r.addresses[n])
            await self._disturbed(kind, names, lasts)
            for n in [n for n in some if r.processes[f"c{n}"].returncode is None]:
                r.processes[f"c{n}"].send_signal(signal.SIGCONT)
                self.note("controller up", name=f"c{n}", address=r.addresses[n])
        else:
            await asyncio.gather(*(self._lost(n, kind, lasts) for n in some))

    async def _disturbed(self, kind, names, lasts):
        self.note("disturbed", kind=kind, names=names, lasts=lasts)
        await asyncio.sleep(lasts / SECOND)

    async def _lost(self, n, kind, lasts):
        def lose():
            shutil.rmtree(self.path(n))
            if kind == "rewind":
                shutil.copytree(self.path(n) + ".earlier", self.path(n))

        self.note("disturbed", kind=kind, names=[f"c{n}"], lasts=lasts)
        await self.rehearsal._kill(0, n, lasts, meanwhile=lose)

    async def _both(self):
        """What all know of members and record."""
        numbers = range(len(self.names))
        return [
            await asyncio.gather(*(self.ask(n, "GET", path) for n in numbers))
            for path in ("/fleet/members", "/fleet/record")
        ]

    async def _converges(self):
        """After the last fault: until all see each other, and know as much as was agreed by then."""
        drawn = self.rehearsal.drawn
        last = max(
            [at + lasts for at, _, _, lasts, _ in drawn.between]
            + [at + lasts for at, _, lasts, _ in drawn.kills],
            default=0,
        )
        await self.rehearsal._until(last)
        began = time.monotonic()
        members, records = await self._both()
        most = max((s["agreed"] for s in records if s), default=0)
        while time.monotonic() - began < SETTLES:
            if self._alive(members) and all(s and s["agreed"] >= most for s in records):
                return self.note("converged", s=round(time.monotonic() - began, 2))
            await asyncio.sleep(0.1)
            members, records = await self._both()
        return self.note("converged", s=None)

    async def ends(self):
        """Once nothing is proposed any more: until all have the same."""
        began = time.monotonic()
        while time.monotonic() - began < SETTLES:
            members, records = await self._both()
            if self._same(members, records):
                break
            await asyncio.sleep(0.1)
        same = self._same(members, records)
        for n, said in enumerate(records):
            self.note("final", controller=f"c{n}", ids=said and said["ids"], same=same)
        self.ended = True
        self.pool.close()

    @staticmethod
    def _alive(members):
        return all(members) and all(
            m["standing"] == "alive" for said in members for m in said["members"].values()
        )

    def _same(self, members, records):
        return (
            self._alive(members)
            and all(records)
            and len({(tuple(s["epoch"]), s["agreed"]) for s in records}) == 1
        )

    def deaths(self):
        """(ns on this machine's clock, who said so, of whom), from the controllers' logs."""
        apart, out = time.time_ns() - time.monotonic_ns(), []
        for n, name in enumerate(self.names):
            path = self.rehearsal.path(f"c{n}.log")
            with open(path, "rb") as file:
                for line in file:
                    if b'"event": "member"' not in line or b'"now": "dead"' not in line:
                        continue
                    said = json.loads(line)
                    at = datetime.fromisoformat(said["timestamp"].replace("Z", "+00:00")).timestamp()
                    out.append((int(at * SECOND) - apart, name, said["name"]))
        return out if os.path.exists(self.rehearsal.folder) else []
