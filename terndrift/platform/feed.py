"""The control feed: numbered events over HTTP long polls, each handed on once and in order (PROTOCOL)."""

import asyncio
import json
import time

from terndrift.http.client import Broken, Pool, Unreached, fetch

# ms that a call may wait for news. Short: a feed that stops while a call waits is found out this much later.
WAIT = 1000
# Seconds more until a call that brought nothing is given up.
SLACK = 0.4
# Seconds after a call that broke: the feed is asked as soon as it can answer again.
AGAIN = 0.1
LARGEST = 4 * 1024 * 1024  # a list of thousands of streamers


class Feed:
    """`apply(event)` takes each event that is new; `held` is the number of the last one."""

    def __init__(self, address, held, apply, log):
        self.address, self.held, self.apply, self.log = address, held, apply, log
        self.pool, self.call = Pool(), None

    def move(self, address):
        """From now on it is at another address; the call that waits at the old one is given up."""
        if address != self.address:
            self.address = address
            if self.call:
                self.call.cancel()

    async def follow(self):
        while True:
            began = time.monotonic()
            self.call = asyncio.ensure_future(fetch(
                self.pool, self.address, "GET", f"/v1/events?SUB={self.held}&wait={WAIT}", connect=0.5,
                within=WAIT / 1000 + SLACK, most=LARGEST))
            try:
                code, _, body = await self.call
                if code != 200:
                    raise ValueError(f"answer {code}")
                self.take(json.loads(body))
            except asyncio.CancelledError:
                if not self.call.cancelled() or asyncio.current_task().cancelling():
                    raise
                continue
            except (Unreached, Broken, ValueError, KeyError, TypeError) as wrong:
                self.log.info("feed", address=self.address, why=str(wrong) or type(wrong).__name__,
                              after=round(time.monotonic() - began, 3))
                await asyncio.sleep(AGAIN)

    def take(self, value):
        """A reply's events, or those of the start."""
        for event in value["events"]:
            if not isinstance(event, dict) or not isinstance(event.get("n"), int):
                self.log.warning("feed", why="an event without a number")  # it would come the same again
            elif event["n"] > self.held:
                self.apply(event)
                self.held = event["n"]
        self.held = max(self.held, int(value["n"]))
