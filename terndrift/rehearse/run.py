"""Runs a day: controllers, stand-in racks and viewers as processes, the list, the kills, the audit."""

import asyncio
import os
import signal
import sys
import tempfile
import time

import msgspec

from terndrift import deployment, records
from terndrift.audit import calls, figures, fleet, judge, overload, placements, recovery, seconds, told_off
from terndrift.http.client import Broken, Call, Pool, Unreached
from terndrift.rehearse.between import Between
from terndrift.rehearse.churn import Churn
from terndrift.rehearse.draw import drawn
from terndrift.rehearse.working import Working
from terndrift.standin.fleet import write_list
from terndrift.standin.ledger import Ledger, read

SECOND = 1_000_000_000
LIST_POLL = 0.1
# How long the last viewers may go on after the last arrival: the longest title, a break and a return.
TAIL = 25.0
# A change that a controller can't take is sent again so often, as operators would, half a second apart.
AGAIN = 30


class NotStarted(RuntimeError):
    """A process of the rehearsal did not come up; says which, and what it said."""


def written(value, indent=0):
    """A plain value in the record language."""
    pad = "\t" * indent
    if isinstance(value, dict):
        inner = "".join(
            f"{pad}\t{msgspec.json.encode(str(k)).decode()}: {written(v, indent + 1)}\n"
            for k, v in value.items()
        )
        return "{\n" + inner + pad + "}"
    if isinstance(value, list):
        return "[" + ", ".join(written(v, indent + 1) for v in value) + "]"
    return value if isinstance(value, Raw) else msgspec.json.encode(value).decode()


class Raw(str):
    """Text of the language itself, such as a quantity with its unit."""


def ns(value):
    return Raw(f"{int(value)}ns")


def rate(value):
    return Raw(f"{value:.3f}B/s")


def deployment_text(d):
    """A deployment's plain value back in the language: durations and rates get their units again."""
    plans = {
        n: {**p, "startup_target": ns(p["startup_target"]), "abandon": ns(p["abandon"])}
        for n, p in d["plans"].items()
    }
    ladder = {
        **d["ladder"],
        "rates": [rate(r) for r in d["ladder"]["rates"]],
        "switch_cost": ns(d["ladder"]["switch_cost"]),
    }
    links = {
        **d["links"],
        "unit": rate(d["links"]["unit"]),
        "uplink": rate(d["links"]["uplink"]),
        "lag": ns(d["links"]["lag"]),
    }
    times = ("drain_grace", "cold_for", "fall_window", "extra_window", "longest_advice")
    rules = {k: ns(v) if k in times else v for k, v in d["rules"].items()}
    return {
        "plans": plans,
        "ladder": ladder,
        "links": links,
        "rules": rules,
        "titles": d["titles"],
        "segment": ns(d["segment"]),
    }


class Rehearsal:
    def __init__(self, day, seed, controllers, streamers, seconds, policy="design", folder=None, plot=None):
        self.day, self.seed, self.seconds, self.policy = day, seed, seconds, policy
        self.controllers, self.folder, self.plot = controllers, folder, plot
        self.drawn = drawn(day, seed, controllers, streamers, seconds)
        self.processes, self.started, self.standing = {}, {}, {}
        self.lines, self.addresses, self.admins, self.sips = {}, [], {}, []
        self.away = set()  # numbers of controllers that are out for work, or killed and on their way back
        self.churn = Churn(self) if self.drawn.churn else None
        self.between = Between(self) if day["members"]["voters"] else None
        self.working = Working(self, self.between) if day["work"]["share"] > 0 else None
        if self.drawn.between and not self.between:
            raise deployment.InconsistentRecordError(
                "members.voters: 0, where troubles are between controllers"
            )

    def path(self, name):
        return os.path.join(self.folder, name)

    async def run(self):
        """The report (see `figures.report`)."""
        own = None
        if self.folder is None:
            own = tempfile.TemporaryDirectory()
            self.folder = own.name
        self.ledger = Ledger(self.path("runner.jsonl"))
        try:
            await self._start()
            await self._day()
        finally:
            await self._stop()
            self.ledger.flush()
        facts = self.facts()
        report = self.report(facts)
        if self.plot:
            from terndrift.rehearse.plot import plot  # a rehearsal without a plot needs none of it

            plot(facts, self.seconds, self.plot, f"seed {self.seed}, {self.controllers} controllers")
        if own:
            own.cleanup()
        return report

    async def _spawn(self, name, *args):
        log = open(self.path(f"{name}.log"), "ab")  # noqa: SIM115 - the child's own
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *args, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        log.close()
        self.processes[name] = process
        return process

    async def _appears(self, name, file):
        """Waits for a file that a process writes once it is ready."""
        until = time.monotonic() + 60
        while not os.path.exists(file):
            process = self.processes[name]
            if process.returncode is not None or time.monotonic() > until:
                with open(self.path(f"{name}.log"), encoding="utf-8", errors="replace") as log:
                    raise NotStarted(f"{name}: {log.read()[-2000:]}")
            await asyncio.sleep(0.02)

    async def _start(self):
        d = self.day["deployment"]
        # room for the processes to come up; the day's own time starts then
        self.begin = time.time() + 4.0 + 0.1 * self.controllers + (6.0 if self.between else 0.0)
        racks = sorted(self.drawn.uplinks)
        for rack in racks:
            mine = [s for s in self.drawn.streamers if s["rack"] == rack and s["kind"] != "room"]
            ids = {s["id"] for s in mine}
            script = [
                {
                    **f,
                    "at": ns(f["at"]),
                    "lasts": ns(f["lasts"]),
                    "streamers": [i for i in f["streamers"] if i in ids],
                    "racks": [r for r in f["racks"] if r == rack],
                }
                for f in self.drawn.faults
            ]
            value = {
                "deployment": deployment_text(d),
                "begin": self.begin,
                "ledger": self.path(f"rack{rack}.jsonl"),
                "ready": self.path(f"rack{rack}.ready"),
                "uplinks": {str(rack): rate(self.drawn.uplinks[rack])},
                "streamers": {
                    s["name"]: {"id": s["id"], "rack": rack, "kind": s["kind"], "link": rate(s["link"])}
                    for s in mine
                },
                "script": [f for f in script if f["streamers"] or f["racks"]],
                "orders": self.path(f"rack{rack}.orders") if self.working else "",
            }
            with open(self.path(f"rack{rack}.rec"), "w", encoding="utf-8") as file:
                file.write(written(value)[2:-1])
            await self._spawn(f"rack{rack}", "terndrift", "streamer", self.path(f"rack{rack}.rec"))
        for rack in racks:
            await self._appears(f"rack{rack}", self.path(f"rack{rack}.ready"))
            self.lines.update(records.load(self.path(f"rack{rack}.ready"), "list")["streamers"])
        places = d["links"]["places"]
        begin = time.monotonic_ns() + int((self.begin - time.time()) * SECOND)
        self.ledger.note(
            "fleet",
            begin=begin,
            uplinks={str(n): up for n, up in self.drawn.uplinks.items()},
            streamers=[{**s, "places": places.get(s["kind"], 8)} for s in self.drawn.streamers],
        )
        for trouble in self.day["troubles"]:
            if trouble["kind"] == "surge":
                self.ledger.note(
                    "surge", t=begin + int(trouble["from"] * self.seconds * SECOND), lasts=trouble["lasts"]
                )
        if self.day["calls"]["rooms"]:
            await self._rooms()
        if self.churn:
            await self.churn.start()
        else:
            self._write_list()
        if self.between:
            await self.between.start()
        for n in range(self.controllers):
            await self._controller(n, "127.0.0.1:0", "127.0.0.1:0")
        for n in range(self.controllers):
            await self._up(n)
        if self.between:
            await self.between.settle()

    async def _rooms(self):
        """The media servers, a process of their own."""
        calls, rooms = self.day["calls"], [s for s in self.drawn.streamers if s["kind"] == "room"]
        value = {
            "rooms": rooms,
            "places": calls["places"],
            "t1": calls["t1"],
            "seed": self.seed,
            "loss": calls["loss"],
            "double": calls["double"],
            "late": calls["late"],
            "begin": self.begin,
            "script": self.drawn.faults,
            "ledger": self.path("rooms.jsonl"),
            "ready": self.path("rooms.ready"),
        }
        with open(self.path("rooms.json"), "wb") as file:
            file.write(msgspec.json.encode(value))
        await self._spawn("rooms", "terndrift.standin.rooms", self.path("rooms.json"))
        await self._appears("rooms", self.path("rooms.ready"))
        with open(self.path("rooms.ready"), "rb") as file:
            self.lines.update(msgspec.json.decode(file.read()))

    def _write_list(self):
        write_list(self.path("list.rec"), self.lines, self.started, self.standing)

    async def _controller(self, n, listen, sip):
        value = {
            "deployment": deployment_text(self.day["deployment"]),
            "controller": {"name": f"c{n}", "rank": n, "of": self.controllers, "seed": self.seed * 100 + n},
            "http": {"listen": listen, "drain": ns(SECOND)},
            "list": "" if self.churn else "list.rec",
            "list_poll": ns(LIST_POLL * SECOND),
            "ready": f"c{n}.ready",
            "log": {"level": "info", "form": "json"},
            "catalogue": {"admin": "127.0.0.1:0", "store": f"c{n}.store"},
        }
        if self.day["calls"]["rooms"]:
            value["sip"] = {
                "listen": sip,
                "t1": ns(self.day["calls"]["t1"]),
                "session": ns(self.day["calls"]["session"]),
                "least_session": ns(SECOND),
            }
        if self.between:
            value["fleet"] = self.between.front(n)
        if self.churn:
            value["xds"] = self.churn.sources(n)
        with open(self.path(f"c{n}.rec"), "w", encoding="utf-8") as file:
            file.write(written(value)[2:-1])
        await self._spawn(f"c{n}", "terndrift", "serve", self.path(f"c{n}.rec"), "--policy", self.policy)

    async def _up(self, n):
        await self._appears(f"c{n}", self.path(f"c{n}.ready"))
        with open(self.path(f"c{n}.ready"), encoding="utf-8") as file:
            address, self.admins[n], *sip = file.read().split()
        if self.between:
            *sip, datagrams, bodies = sip
            self.between.network.at(f"c{n}", datagrams, bodies)
        self.sips[n : n + 1] = sip
        self.addresses[n : n + 1] = [address]
        self.ledger.note("controller up", name=f"c{n}", address=address)
        return address

    async def _day(self):
        value = {
            "ledger": self.path("viewers.jsonl"),
            "controllers": self.addresses,
            "begin": self.begin,
            "seed": self.seed,
            "tail": TAIL,
            "sips": self.sips,
            "calls": self.day["calls"],
            "arrivals": self.drawn.arrivals,
        }
        with open(self.path("viewers.json"), "wb") as file:
            file.write(msgspec.json.encode(value))
        crowd = await self._spawn("viewers", "terndrift.rehearse.crowd", self.path("viewers.json"))
        work = [asyncio.ensure_future(self._edits())]
        work += [asyncio.ensure_future(self._swaps(n)) for n in range(self.controllers)]
        work += [asyncio.ensure_future(self._kill(*kill)) for kill in self.drawn.kills]
        work += [
            asyncio.ensure_future(w)
            for part in (self.churn, self.between, self.working)
            if part
            for w in part.work()
        ]
        await asyncio.wait_for(crowd.wait(), self.seconds + TAIL + 60)
        await asyncio.gather(*work)
        if self.between:
            await self.between.ends()

    async def _until(self, at):
        await asyncio.sleep(max(0.0, self.begin + at / SECOND - time.time()))

    async def _edits(self):
        for at, id, standing, started in self.drawn.edits:
            await self._until(at)
            self.standing[id] = standing
            if started is not None:
                self.started[id] = self.begin + started / SECOND
            if self.churn:
                self.churn.tell()
                continue
            # told off from when the list says so at the latest, ready again from then at the earliest: a busy
            # machine may hold this process up between the two
            if standing == "ready":
                self.ledger.note("listed", streamer=id, standing=standing)
            self._write_list()
            if standing != "ready":
                self.ledger.note("listed", streamer=id, standing=standing)

    async def _swaps(self, n):
        """Changes one controller's catalogue, and notes from when to when a change may count either way."""
        pool = Pool()
        for number, (at, title, holders) in enumerate(self.drawn.swaps):
            await self._until(at)
            row = self.day["deployment"]["titles"][title]
            change = {"id": f"swap-{number}"}
            if holders is None:
                change["drop"] = [title]
            else:
                change["put"] = {title: {"plan": row["plan"], "seconds": row["seconds"], "holders": holders}}
            self.ledger.note("swap", controller=f"c{n}", number=number, title=title, holders=holders)
            code = await _post(pool, self.admins[n], "/catalogue/changes", change)
            for _ in range(AGAIN if code in (0, 503) and self.between else 0):
                await asyncio.sleep(0.5)
                if (code := await _post(pool, self.admins[n], "/catalogue/changes", change)) not in (0, 503):
                    break
            self.ledger.note("swapped", controller=f"c{n}", number=number, code=code)
        pool.close()

    async def _kill(self, at, n, lasts, store="kept", meanwhile=lambda: None):
        await self._until(at)
        process, address = self.processes[f"c{n}"], self.addresses[n]
        if process.returncode is not None or n in self.away:
            return  # it is out for work, or on its way back
        self.away.add(n)
        process.send_signal(signal.SIGKILL)
        self.ledger.note("controller down", name=f"c{n}", address=address)
        await process.wait()
        meanwhile()
        if store != "kept":
            self.between.loses(n, store)
        await self._again(n, address, lasts)
        self.away.discard(n)

    async def _again(self, n, address, lasts):
        """Starts a controller that has ended, after so long, at the address that viewers know."""
        await asyncio.sleep(lasts / SECOND)
        os.unlink(self.path(f"c{n}.ready"))
        self.ledger.note("controller starts", name=f"c{n}")
        await self._controller(n, address, self.sips[n] if self.sips else "")
        await self._up(n)

    async def _planned(self, n, lasts):
        """A controller stopped as its operators would, and started again."""
        while n in self.away:  # killed, and on its way back: to stop it now would be taken for a failed start
            await asyncio.sleep(0.1)
        process, address = self.processes[f"c{n}"], self.addresses[n]
        if process.returncode is None:
            self.away.add(n)
            process.send_signal(signal.SIGTERM)
            self.ledger.note("controller down", name=f"c{n}", address=address)
            await process.wait()
            await self._again(n, address, lasts)
            self.away.discard(n)

    async def _stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        if self.churn:
            await self.churn.stop()
        if self.between:
            self.between.network.close()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 15)
            except TimeoutError:
                process.kill()
                await process.wait()

    def _ledgers(self):
        rooms = ["rooms.jsonl"] if self.day["calls"]["rooms"] else []
        return [f"rack{rack}.jsonl" for rack in sorted(self.drawn.uplinks)] + rooms

    def facts(self):
        notes = {
            "viewers": read(self.path("viewers.jsonl")),
            "runner": read(self.path("runner.jsonl")),
            "streamers": [n for name in self._ledgers() for n in read(self.path(name))],
        }
        return judge.Facts(self.day["deployment"], notes, told_within=LIST_POLL + 0.2)

    def report(self, facts):
        return {
            "seed": self.seed,
            "policy": self.policy,
            "controllers": self.controllers,
            "streamers": len(self.drawn.streamers),
            "seconds": self.seconds,
            **figures.report(facts, [a for a in self.drawn.arrivals if not a["call"]]),
            **seconds.report(facts, self.seconds),
            **recovery.report(facts, self.seconds),
            **placements.report(facts),
            **overload.report(facts, self.seconds),
            **(calls.report(facts, self.drawn.arrivals) if self.day["calls"]["rooms"] else {}),
            **(told_off.report(facts) if self.churn else {}),
            **(fleet.report(facts, self.between.deaths()) if self.between else {}),
            **fleet.worked(facts),
            **judge.report(facts),
        }


async def _post(pool, address, path, value):
    """The status of a JSON POST; 0: there was none."""
    call, body = Call(pool, address), msgspec.json.encode(value)
    try:
        await call.open(1.0)
        sent = call.run("POST", path, {"Content-Length": str(len(body))}, body=body)
        return await asyncio.wait_for(sent, 10)
    except (Unreached, Broken, TimeoutError):
        call.close()
        return 0


def load(name):
    """A day by its name among those that come along, or by its file."""
    own = os.path.join(os.path.dirname(__file__), "days", f"{name}.rec")
    day = records.load(own if os.path.exists(own) else name, "day")
    deployment.check_record(day["deployment"])
    return day
