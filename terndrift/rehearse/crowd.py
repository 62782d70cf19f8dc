"""The viewers of a rehearsal, a process of its own: `python -m terndrift.rehearse.crowd FILE`."""

import asyncio
import random
import sys
import time

import msgspec

from terndrift.http.client import Pool
from terndrift.rehearse.draw import ODD
from terndrift.standin.ledger import Ledger
from terndrift.standin.player import Player

SECOND = 1_000_000_000


class Odd(Player):
    """Sends no hints, or bad ones, beside the name of its visit."""

    bad = None

    def said(self, **more):
        return {"CMCD-Session": f'sid="{self.visit}"', **{k: v for k, v in self.bad.items()
                                                          if k != "CMCD-Session"}}


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
        make = Player if row["odd"] is None else Odd
        player = make(lambda c=chance: c.choice(addresses), row["title"], ledger, pool, row["visit"],
                      row["plan"], row["abandon"], row["top"], row["seconds"],
                      pause=lambda p=row["pause"]: p)
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
