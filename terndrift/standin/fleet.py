"""A fleet of stand-in streamers in one process, racks shared, with faults by script."""

import asyncio
import itertools
import json
import os
import signal
import time

from terndrift import deployment
from terndrift.standin.ledger import Ledger
from terndrift.standin.links import Link, Shaper
from terndrift.standin.streamer import Streamer

SECOND = 1_000_000_000
SAMPLE = 0.1  # s between the figures that are told later: a fifth of the shortest lag that days use


class Rack:
    def __init__(self, rate):
        self.uplink, self.links, self.streamers = Link(rate), [], []

    def link(self, rate):
        self.links.append(Link(rate))
        return self.links[-1]

    def asked(self):
        # what a link can't carry does not reach the uplink
        return sum(min(s.asked(), s.link.given()) for s in self.streamers)


class Fleet:
    def __init__(self, value):
        """`value`: a fleet record (records/schema/fleet.rec)."""
        d = value["deployment"]
        deployment.check_record(d)
        self.value, self.ledger, self.shaper = value, Ledger(value["ledger"]), Shaper()
        made = deployment.build_plans(d)
        titles = {
            t.name: (
                [r * made[t.plan].scale for r in d["ladder"]["rates"]],
                t.segment_count,
                d["segment"] / SECOND,
            )
            for t in deployment.build_titles(d).values()
        }
        self.racks = {int(n): Rack(rate) for n, rate in value["uplinks"].items()}
        self.streamers = {}
        for name, row in value["streamers"].items():
            rack = self.racks.setdefault(row["rack"], Rack(d["links"]["uplink"]))
            s = self.streamers[row["id"]] = Streamer(
                {**row, "name": name},
                rack,
                titles,
                d["rules"],
                d["links"]["places"].get(row["kind"], 8),
                self.shaper,
                self.ledger,
                d["segment"],
                d["ladder"]["rates"],
                d["links"]["lag"],
            )
            rack.streamers.append(s)

    def start(self):
        for s in self.streamers.values():
            s.start()
        self.tasks = [asyncio.ensure_future(t) for t in (self.shaper.run(), self._sample(), self._script())]
        if self.value["orders"]:
            self.tasks.append(asyncio.ensure_future(self._orders()))
        self.ledger.flush()

    async def _sample(self):
        for n in itertools.count():
            await asyncio.sleep(SAMPLE)
            now = time.monotonic_ns()
            for s in self.streamers.values():
                s.sample(now)
            if n % 5 == 0:
                self.ledger.flush()

    async def _script(self):
        await asyncio.gather(*(self._fault(f) for f in self.value["script"]))

    async def _orders(self):
        """Faults that are decided while the day runs: work on machines."""
        done, under_way = 0, set()
        while True:
            await asyncio.sleep(SAMPLE)
            if not os.path.exists(self.value["orders"]):
                continue
            with open(self.value["orders"], encoding="utf-8") as file:
                lines = file.read().splitlines(keepends=True)
            for line in lines[done:]:
                if not line.endswith("\n"):
                    break  # still being written
                done += 1
                task = asyncio.ensure_future(self._fault(json.loads(line)))
                under_way.add(task)
                task.add_done_callback(under_way.discard)

    async def _fault(self, fault):
        await asyncio.sleep(max(0.0, self.value["begin"] + fault["at"] / SECOND - time.time()))
        kind, size, lasts = fault["kind"], fault["size"], fault["lasts"] / SECOND
        self.ledger.note(
            "fault",
            kind=kind,
            streamers=fault["streamers"],
            racks=fault["racks"],
            size=size,
            lasts=fault["lasts"],
        )
        hit = [self.streamers[i] for i in fault["streamers"] if i in self.streamers]
        racks = [self.racks[i] for i in fault["racks"] if i in self.racks]
        for s in hit:
            s.die() if kind == "die" else s.begin(kind, size)
        for rack in racks:
            rack.uplink.weak = size
        await asyncio.sleep(lasts)
        for s in hit:
            if kind != "die":
                s.end(kind)
            elif not s.fallen and s.server is None:
                s.start(cold=True)
        for rack in racks:
            rack.uplink.weak = 1.0

    def lines(self):
        """Its streamers as a server list has them."""
        return {
            s.name: {"id": s.id, "address": s.address, "rack": s.row["rack"], "kind": s.row["kind"]}
            for s in self.streamers.values()
        }

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for s in self.streamers.values():
            s.die()
        self.ledger.flush()

    async def run(self, ready=None):
        """Until SIGTERM; `ready(fleet)` is called once every streamer listens."""
        self.start()
        if ready:
            ready(self)
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await stop.wait()
        self.stop()


def write_list(path, lines, started=None, standing=None):
    """A server list file, moved into place whole; `started` and `standing`: id -> what differs."""
    started, standing = started or {}, standing or {}
    out = ["streamers: {"]
    for name, line in lines.items():
        fields = {
            "id": line["id"],
            "address": f'"{line["address"]}"',
            "rack": line["rack"],
            "kind": f'"{line["kind"]}"',
            "standing": f'"{standing.get(line["id"], "ready")}"',
            "started": started.get(line["id"], 0),
        }
        out.append(f'\t"{name}": {{' + ", ".join(f"{k}: {v}" for k, v in fields.items()) + "}")
    with open(path + ".part", "w", encoding="utf-8") as file:
        file.write("\n".join([*out, "}", ""]))
    os.replace(path + ".part", path)
