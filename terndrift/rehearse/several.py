"""Several controllers as processes of the program on a network of faults, for tests and measurements:
started, killed, stopped and continued, their stores wiped, put back, damaged and full."""

import asyncio
import json
import os
import resource
import shutil
import signal
import sys
import time

from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.rehearse.run import written
from terndrift.standin.network import Network

DEPLOYMENT = """deployment: {
	plans: recorded: {startup_target: 1s, abandon: 3s}
	ladder: {rates: [50kB/s], revenue: [1.0]}
	links: {unit: 1MB/s, uplink: 2MB/s, places: box: 8}
	titles: clip: {plan: "recorded", seconds: 2}
	rules: {cold_for: 8s}
}
"""
# The program, with a clock of the day that is so many seconds ahead, and a disk that takes so long to sync.
AHEAD = """import os, sys, time
ahead, slow, day, day_ns, sync = {}, {}, time.time, time.time_ns, os.fsync
os.fsync = lambda handle: (time.sleep(slow), sync(handle))[1]
time.time, time.time_ns = lambda: day() + ahead, lambda: day_ns() + ahead * 10**9
from terndrift.cli.main import main
sys.argv[0] = "terndrift"
main()
"""
LISTED = 'streamers: a: {id: 1, address: "127.0.0.1:1", rack: 0, kind: "box"}\n'


class Several:
    """`voters` of `names` keep a record; none: nobody knows of another. `more`: of every front file."""

    def __init__(
        self, folder, names, voters=(), seed=1, listed=LISTED, deployment=DEPLOYMENT, called="several", **more
    ):
        self.folder, self.names, self.voters, self.more = str(folder), list(names), list(voters), more
        self.called, self.network = called, Network(self.names, seed)
        self.processes, self.admins, self.fronts, self.pool = {}, {}, {}, Pool(4)
        self.said, self.readers, self.stopped = {n: [] for n in self.names}, [], set()
        self.ahead = {}  # name -> s that its clock of the day is ahead, from its next start on
        self.slow = {}  # name -> s that its disk takes for each sync, from its next start on
        os.makedirs(self.folder, exist_ok=True)
        self._write("list.rec", listed)
        self._write("deployment.rec", deployment)

    def list(self, text):
        """Puts another list in place, whole."""
        self._write("list.part", text)
        os.replace(self.path("list.part"), self.path("list.rec"))

    def path(self, name):
        return os.path.join(self.folder, name)

    def _write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)

    def members(self, name):
        """How that one reaches the others."""
        return self.network.members(name)

    def _front(self, name):
        value = {
            "controller": {"name": name, "rank": self.names.index(name), "of": len(self.names)},
            "list": "list.rec",
            "ready": f"{name}.ready",
            "catalogue": {"admin": "127.0.0.1:0", "store": f"{name}.store"},
            "log": {"level": "info", "form": "json"},
            **self.more,
        }
        if self.voters:
            value["fleet"] = {
                "name": self.called,
                "voters": self.voters,
                "members": self.members(name),
                "store": f"{name}.record" if name in self.voters else "",
                "front": "listen",
                **self.more.get("fleet", {}),
            }
        self._write(f"{name}.rec", 'include "deployment.rec"\n' + written(value)[2:-1])
        return self.path(f"{name}.rec")

    async def start(self, *names):
        """Until each of them (all, if none is named) listens."""
        names = names or self.names
        if self.voters and not self.processes:
            await self.network.start()
        for name in names:
            if os.path.exists(self.path(f"{name}.ready")):
                os.unlink(self.path(f"{name}.ready"))
            process = self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                AHEAD.format(self.ahead.get(name, 0), self.slow.get(name, 0)),
                "serve",
                self._front(name),
                limit=1 << 20,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            self.readers.append(asyncio.ensure_future(self._read(name, process)))
        for name in names:
            await self._up(name)

    async def _read(self, name, process):
        async for line in process.stdout:
            self.said[name].append(line.decode(errors="replace").rstrip())

    async def _up(self, name):
        ready, until = self.path(f"{name}.ready"), time.monotonic() + 60
        while not os.path.exists(ready):
            if self.processes[name].returncode is not None or time.monotonic() > until:
                raise RuntimeError(f"{name} did not come up: " + "\n".join(self.said[name][-20:]))
            await asyncio.sleep(0.02)
        with open(ready, encoding="utf-8") as file:
            self.fronts[name], self.admins[name], *fleet = file.read().split()
        if fleet:
            self.network.at(name, *fleet)

    async def begin(self):
        """The record's first beginning, and all voters let in."""
        code, _ = await self.ask(self.voters[0], "POST", "/fleet/restart", {"state": None})
        assert code == 200
        await self.until(self.all_in)

    async def all_in(self):
        records = await self.records()
        return all(r and set(r["voters"]) == set(self.voters) for r in records.values())

    async def supervised(self, names):
        """Starts each of them anew as often as it ends by itself, as an operator's supervisor would; until
        cancelled."""
        while True:
            await asyncio.sleep(0.1)
            ended = [n for n in names if self.processes[n].returncode is not None]
            if ended:
                await self.start(*ended)

    # Faults.

    async def kill(self, *names):
        for name in names:
            self.processes[name].kill()
        for name in names:
            await self.processes[name].wait()

    def stop(self, *names):
        for name in names:
            self.processes[name].send_signal(signal.SIGSTOP)
        self.stopped |= set(names)

    def go_on(self, *names):
        for name in names:
            self.processes[name].send_signal(signal.SIGCONT)
        self.stopped -= set(names)

    def store(self, name, of="record"):
        """Of the record, or (`store`) of catalogue and list."""
        return self.path(f"{name}.{of}")

    def wipe(self, name, of="record"):
        shutil.rmtree(self.store(name, of))

    def copy(self, name, of="record"):
        """What `rewind` puts back; the process may run meanwhile, a torn end is cut as after a crash."""
        shutil.rmtree(self.store(name, of) + ".earlier", ignore_errors=True)
        shutil.copytree(self.store(name, of), self.store(name, of) + ".earlier")

    def rewind(self, name, of="record"):
        self.wipe(name, of)
        shutil.copytree(self.store(name, of) + ".earlier", self.store(name, of))

    def _logs(self, name):
        """Paths of its store's logs, oldest first."""
        folder = self.store(name)
        return [os.path.join(folder, n) for n in sorted(os.listdir(folder)) if n.startswith("log-")]

    def damage(self, name):
        """In the middle of its newest log."""
        log = self._logs(name)[-1]
        with open(log, "r+b") as file:
            file.seek(os.path.getsize(log) // 2)
            file.write(b"\xff" * 16)

    def fill(self, name, room=0):
        """Its disk is full: no file of it grows more than `room` bytes beyond its largest log."""
        self._limit(name, max(map(os.path.getsize, self._logs(name))) + room)

    def empty(self, name):
        self._limit(name, resource.RLIM_INFINITY)

    def _limit(self, name, size):
        pid = self.processes[name].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard))

    # What there is to see and to do.

    def running(self):
        return [n for n, p in self.processes.items() if p.returncode is None and n not in self.stopped]

    async def ask(self, name, method, path, value=None, within=3.0):
        """(code, JSON) of its admin listener; (0, None): no answer."""
        body = b"" if value is None else json.dumps(value).encode()
        try:
            length = {"Content-Length": str(len(body))}
            code, _, got = await fetch(
                self.pool, self.admins[name], method, path, length, within=within, body=body, connect=1.0
            )
        except (Unreached, Broken):
            return 0, None
        return code, json.loads(got or b"null")

    async def record(self, name):
        return (await self.ask(name, "GET", "/fleet/record"))[1]

    async def records(self, names=None):
        """name -> its record, of those that run (or are named)."""
        names = names or self.running()
        return dict(zip(names, await asyncio.gather(*map(self.record, names)), strict=True))

    async def propose(self, id, value, through, wait=20.0):
        """Its answer, or None where it is not known to be agreed."""
        what = {"id": id, "value": value, "wait": wait}
        code, said = await self.ask(through, "POST", "/fleet/propose", what, wait + 3)
        return said if code == 200 else None

    async def leaders(self, among=None):
        """Those of the voters that run, and are not left out, that say they lead and are heard."""
        names = [v for v in self.voters if v in (among or self.running())]
        found = await self.records(names)
        return [
            n
            for n, r in found.items()
            if r and r["role"] == "leader" and r["age_s"] is not None and r["age_s"] < 2
        ]

    async def leader(self, among=None):
        found = []

        async def one_leads():
            found[:] = await self.leaders(among)
            return len(found) == 1

        await self.until(one_leads)
        return found[0]

    async def standings(self):
        """(of whom, by whom) -> (standing, run), of all that run."""
        names = self.running()
        found = await asyncio.gather(*(self.ask(n, "GET", "/fleet/members") for n in names))
        return {
            (of, by): (m["standing"], m["run"])
            for by, (_, said) in zip(names, found, strict=True)
            if said
            for of, m in said["members"].items()
            if of != by
        }

    async def settled(self):
        """Whether all that run see each other alive, and nobody else."""
        there = set(self.running())
        seen = await self.standings()
        return len(seen) == len(there) * (len(self.names) - 1) and all(
            (standing == "alive") == (of in there) for (of, _), (standing, _) in seen.items()
        )

    async def same(self):
        """Whether all that run have the same of the record."""
        found = (await self.records()).values()
        return (
            all(found)
            and len(
                {
                    (
                        tuple(r["epoch"]),
                        r["agreed"],
                        json.dumps(r["map"], sort_keys=True),
                        json.dumps(r["ids"], sort_keys=True),
                    )
                    for r in found
                }
            )
            == 1
        )

    async def until(self, true, within=30.0):
        """Seconds until `await true()` first holds; an AssertionError if it does not in time."""
        began = time.monotonic()
        while time.monotonic() - began < within:
            if await true():
                return time.monotonic() - began
            await asyncio.sleep(0.1)
        raise AssertionError(f"not within {within} s: {getattr(true, '__name__', true)}")

    async def close(self):
        for name, process in self.processes.items():
            if process.returncode is None:
                self.go_on(name)
                process.terminate()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 10)
            except TimeoutError:
                process.kill()
                await process.wait()
        await asyncio.gather(*self.readers)
        self.pool.close()
        if self.voters:
            self.network.close()
