"""The control feed: numbered events over HTTP long polls, each handed on once and in order (PROTOCOL)."""

import asyncio
import contextlib
import json
import time

from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.patience import Patience

SECOND = 1_000_000_000
# ms that a call may wait for news. Short: a feed that stops while a call waits is found out this much later.
WAIT = 1000
# Seconds more until a call that brought nothing is given up.
SLACK = 0.4
CONNECT = 0.5  # seconds
# Seconds after a call that broke, doubling with each further one, half of it by chance: a feed that is gone
# is not asked by hundreds of controllers ten times a second, in step. At most so long that with the time to
# connect it is asked again within 2 s, from which on what it would have told counts as told (DAYS).
AGAIN, LONGEST = 0.1, 0.8
# A call is to wait for news: an empty reply sooner than this is one that does not wait.
AT_ONCE = 0.05
LARGEST = 4 * 1024 * 1024  # a list of thousands of streamers
# Seconds that a start waits for what has changed since its configuration was written: many times what a feed
# that is there takes (30 to 40 ms of a busy machine), and a feed that is out of reach must not keep a
# controller out.
FIRST = 0.25


class BadReply(ValueError):
    """A reply, or an event in it, that can't be taken as it is; says what is wrong with it."""


def is_whole(event):
    """Whether it is the whole list, before which nothing else counts."""
    members = event.get("members")
    return isinstance(members, dict) and bool(members.get("whole"))


class Feed:
    """`apply(event, complete)` takes each event that is new and returns what of it can't be read (None:
    nothing); `held` is the number of the last one that was taken whole, or passed over."""

    def __init__(self, address, held, apply, log, seed=0):
        self.address, self.held, self.apply, self.log = address, held, apply, log
        self.pool, self.call = Pool(), None
        self.patience = Patience(seed, int(AGAIN * SECOND), int(LONGEST * SECOND))
        self.broken = 0  # calls in a row that broke
        self.doubted = None  # number of an event that is asked for a second time
        self.moved = asyncio.Event()

    def move(self, address):
        """From now on it is at another address; the call that waits at the old one is given up, and a wait
        between two calls is over."""
        if address != self.address:
            self.address, self.broken = address, 0
            self.pool.close()
            self.moved.set()
            if self.call:
                self.call.cancel()

    def close(self):
        self.pool.close()

    async def _ask(self, wait, connect, within):
        """One call, and what it brought taken. Raises Unreached, Broken, BadReply, CancelledError if the
        feed has moved meanwhile."""
        self.moved.clear()
        self.call = asyncio.ensure_future(
            fetch(
                self.pool,
                self.address,
                "GET",
                f"/v1/events?SUB={self.held}&wait={wait}",
                connect=connect,
                within=within,
                most=LARGEST,
            )
        )
        code, _, body = await self.call
        if code != 200:
            raise BadReply(f"answer {code}")
        try:
            reply = json.loads(body)
        except (ValueError, RecursionError) as wrong:
            raise BadReply(f"not JSON: {wrong}") from None
        self.take(reply)

    async def first(self):
        """What has changed since the configuration was written, before anybody is placed by that. Guards
        rule 3 against what was told while this process started: that counts as told to it, too."""
        try:
            await asyncio.wait_for(self._ask(0, FIRST, FIRST), FIRST)
        except asyncio.CancelledError:
            if not self._has_moved():
                raise
        except (Unreached, Broken, TimeoutError, BadReply) as wrong:
            self.log.info("feed", address=self.address, why=f"first call: {wrong or type(wrong).__name__}")

    def _has_moved(self):
        """Whether a cancel was of the call alone, not of the task that waits for it."""
        return self.call.cancelled() and not asyncio.current_task().cancelling()

    async def follow(self):
        while True:
            began, held = time.monotonic(), self.held
            try:
                await self._ask(WAIT, CONNECT, WAIT / 1000 + SLACK)
                if self.broken:
                    self.log.info("feed again", address=self.address, calls=self.broken)
                    self.broken = 0
                if self.held == held and time.monotonic() - began < AT_ONCE:
                    await self._wait(AGAIN)
            except asyncio.CancelledError:
                if not self._has_moved():
                    raise
            except (Unreached, Broken, BadReply) as wrong:
                if not self.broken:  # once each time it is gone
                    self.log.info(
                        "feed",
                        address=self.address,
                        why=str(wrong) or type(wrong).__name__,
                        after=round(time.monotonic() - began, 3),
                    )
                self.broken += 1
                await self._wait(self.pause())
            except Exception as fault:  # the list must be followed all the same
                self.log.error("fault of the feed", exc_info=fault)
                self.broken += 1
                await self._wait(self.pause())

    async def _wait(self, seconds):
        """So long, or until the feed has moved."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.moved.wait(), seconds)

    def pause(self):
        """Seconds until the next call, after `broken` ones in a row."""
        return self.patience.lost(self.broken == 1) / SECOND

    def take(self, reply):
        """A reply's events in order of their numbers. At one that is missing, or can't be read whole, it
        stops and raises BadReply: from there on it is asked for once more, as a reply may be spoilt on its
        way. What is the same the second time is passed over, and said."""
        if not isinstance(reply, dict) or not isinstance(reply.get("events"), list):
            raise BadReply("no list of events")
        for number, event in self._numbered(reply["events"]):
            if number <= self.held:
                continue
            missing = number > self.held + 1 and not is_whole(event)
            wrong = "missing" if missing else self.apply(event, self.doubted == self.held + 1)
            if wrong is not None and self.doubted != self.held + 1:
                self.doubted = self.held + 1
                raise BadReply(f"event {self.doubted}: {wrong}")
            if wrong is not None:
                self.log.warning("feed", why=f"event {self.held + 1}: {wrong}, passed over")
                if missing and (unread := self.apply(event, True)):
                    self.log.warning("feed", why=f"event {number}: {unread}, passed over")
            self.held = number

    def _numbered(self, events):
        """(number, event) of those that have a number, in order."""
        good = [
            (event["n"], event)
            for event in events
            if isinstance(event, dict) and isinstance(event.get("n"), int)
        ]
        if len(good) < len(events):
            self.log.warning("feed", why="an event without a number")
        return sorted(good, key=lambda pair: pair[0])

    def take_known(self, events):
        """The events of the start. What can't be read there is left to the feed's first reply."""
        try:
            self.take({"events": events})
        except BadReply as wrong:
            self.log.warning("known", why=str(wrong))
