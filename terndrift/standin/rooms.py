"""Stand-in media servers as a process, faults by script: `python -m terndrift.standin.rooms FILE`."""

import asyncio
import os
import signal
import sys
import time

import msgspec

from terndrift.standin.ledger import Ledger
from terndrift.standin.phone import Room
from terndrift.standin.sockets import SECOND, Socket


class Rooms:
    """`value`: rooms [{id, rack}], places, t1 (ns), loss, double, late, seed, begin, script (faults as of a
    fleet file, times in ns), ledger, ready."""

    def __init__(self, value):
        self.value, self.ledger, self.sockets = value, Ledger(value["ledger"]), {}

    async def start(self):
        for row in self.value["rooms"]:
            await self._open(row["id"], "127.0.0.1:0", False)
        lines = {
            f"room-{id}": {
                "id": id,
                "address": s.agent.address,
                "kind": "room",
                "rack": next(r["rack"] for r in self.value["rooms"] if r["id"] == id),
            }
            for id, s in self.sockets.items()
        }
        with open(self.value["ready"] + ".part", "wb") as file:
            file.write(msgspec.json.encode(lines))
        os.replace(self.value["ready"] + ".part", self.value["ready"])

    async def _open(self, id, listen, cold):
        v = self.value
        socket = self.sockets[id] = Socket(f"{v['seed']}/{id}", v["loss"], v["double"], v["late"])
        await socket.open(lambda address: Room(address, self.ledger, id, v["places"], v["t1"]), listen)
        self.ledger.note("up", streamer=id, cold=cold, address=socket.agent.address, kind="room")

    async def fault(self, fault):
        await asyncio.sleep(max(0.0, self.value["begin"] + fault["at"] / SECOND - time.time()))
        kind, hit = fault["kind"], [i for i in fault["streamers"] if i in self.sockets]
        kind = {"error": "full", "break": "mute"}.get(kind, kind)
        for id in hit:
            agent = self.sockets[id].agent
            if kind == "die":
                agent.die()
                self.sockets[id].close()
            else:
                agent.faults[kind] = fault["size"]
        await asyncio.sleep(fault["lasts"] / SECOND)
        for id in hit:
            if kind == "die":
                await self._open(id, self.sockets[id].agent.address, True)
            else:
                self.sockets[id].agent.faults.pop(kind, None)

    async def run(self):
        await self.start()
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        tasks = [asyncio.ensure_future(self.fault(f)) for f in self.value["script"]]
        while not stop.is_set():
            try:
                await asyncio.wait_for(stop.wait(), 0.5)
            except TimeoutError:
                self.ledger.flush()
        for task in tasks:
            task.cancel()
        self.ledger.note("legs left", count=sum(len(s.agent.legs) for s in self.sockets.values()))
        self.ledger.flush()


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        asyncio.run(Rooms(msgspec.json.decode(file.read())).run())
