"""The viewers of a rehearsal, a process of its own: `python -m terndrift.rehearse.crowd FILE`."""

import asyncio
import random
import sys
import time

import msgspec

from terndrift.http.client import Pool
from terndrift.rehearse.draw import ODD
from terndrift.standin.ledger import Ledger
from terndrift.standin.phone import Caller
from terndrift.standin.player import Player
from terndrift.standin.sockets import Socket

SECOND = 1_000_000_000


class Odd(Player):
    """Sends no hints, or bad ones, beside the name of its visit."""

    bad = None

    def said(self, **more):
        return {
            "CMCD-Session": f'sid="{self.visit}"',
            **{k: v for k, v in self.bad.items() if k != "CMCD-Session"},
        }


async def call(value, row, chance, ledger):
    """One caller, until its call is over on its side."""
    calls = value["calls"]
    socket = Socket(f"{value['seed']}/{row['visit']}", calls["loss"], calls["double"], calls["late"])
    n = chance.randrange(len(value["sips"]))
    seconds = int(row["seconds"] * SECOND)
    caller = await socket.open(
        lambda address: Caller(
            address,
            ledger,
            value["sips"][n],
            row["title"],
            row["visit"],
            row["bits"],
            int(row["abandon"] * SECOND),
            seconds,
            calls["t1"],
        )
    )
    seen = Seen(caller, value["controllers"][n], row, ledger)
    socket.heard, socket.sent = seen.heard, seen.sent
    try:
        caller.call(time.monotonic_ns())
        socket.flush()
        while caller.state != "over":
            await asyncio.sleep(0.1)
    finally:
        socket.close()


class Seen:
    """What passed on a caller's socket: a call is asked for when its first INVITE leaves, and answered when a
    final answer reaches the socket, whether that is lost there or not."""

    def __init__(self, caller, controller, row, ledger):
        self.caller, self.controller, self.row, self.ledger = caller, controller, row, ledger
        self.asked, self.codes = False, set()

    def sent(self, data):
        if not self.asked and data.startswith(b"INVITE"):
            self.asked = True
            until = time.monotonic_ns() + int(self.row["abandon"] * SECOND)
            self.ledger.note(
                "ask",
                ask=self.caller.call_id,
                visit=self.row["visit"],
                title=self.row["title"],
                controller=self.controller,
                until=until,
            )

    def heard(self, data):
        code = data[8:11]
        if not data.startswith(b"SIP/2.0 ") or code < b"200" or b" INVITE\r\n" not in data:
            return
        if code not in self.codes:
            self.codes.add(code)
            self.ledger.note("answer", ask=self.caller.call_id, code=int(code))


async def crowd(value):
    ledger, pool = Ledger(value["ledger"]), Pool(most=200)
    addresses = value["controllers"]
    playing = set()

    async def flush():
        while True:
            await asyncio.sleep(0.5)
            ledger.flush()

    flushing = asyncio.ensure_future(flush())
    for row in value["arrivals"]:
        wait = value["begin"] + row["at"] / SECOND - time.time()
        if wait > 0:
            await asyncio.sleep(wait)
        chance = random.Random(f"{value['seed']}/{row['visit']}")
        if row.get("call"):
            task = asyncio.ensure_future(call(value, row, chance, ledger))
            playing.add(task)
            task.add_done_callback(playing.discard)
            continue
        make = Player if row["odd"] is None else Odd
        player = make(
            lambda c=chance: c.choice(addresses),
            row["title"],
            ledger,
            pool,
            row["visit"],
            row["plan"],
            row["abandon"],
            row["top"],
            row["seconds"],
            pause=lambda p=row["pause"]: p,
        )
        player.bad = ODD[row["odd"]] if row["odd"] is not None else None
        if not row["returns"]:
            player.pause = lambda: 1e9
        task = asyncio.ensure_future(player.watch())
        playing.add(task)
        task.add_done_callback(playing.discard)
    if playing:
        await asyncio.wait(playing, timeout=value["tail"])
    for task in list(playing):
        task.cancel()
    flushing.cancel()
    ledger.flush()


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        asyncio.run(crowd(msgspec.json.decode(file.read())))
