"""All that a front file names as sources of the list, followed into one listing."""

import asyncio

from terndrift.fleet.planned_work_site import SOURCE as WORK
from terndrift.listing.file import Followed
from terndrift.listing.service import Listing

SECOND = 1_000_000_000


class Sources:
    """`value`: a front file's value; the rest as of `listing.service.Listing`."""

    def __init__(self, value, clock, hand, log, seed=0, at=lambda id: 0):
        self.value, self.log, self.tasks = value, log, []
        names = ("file", *value["xds"]) if value["list"] else tuple(value["xds"])
        names += (WORK,) if value["fleet"]["work"] else ()
        self.listing = Listing(clock, hand, log, names, seed, at)
        self.file = Followed(
            value["list"],
            value["list_poll"] / SECOND,
            clock.from_wall_seconds,
            lambda lines: self.listing.whole("file", lines),
            log,
        )
        if value["xds"]:
            from terndrift.xds.sources import source  # gRPC and Envoy's messages: a list in a file needs none
        self.xds = {
            name: source(name, xds, value["controller"], self.listing, clock, seed, log)
            for name, xds in value["xds"].items()
        }

    async def start(self, committer=None):
        """With what an earlier run kept; then a file, which must be sound without that, and whatever else."""
        kept = self.listing.begin(committer, self.value["list_oldest"])
        if self.value["list"]:
            self.file.begin(kept)
            self.tasks.append(asyncio.ensure_future(self.file.follow()))
        self.tasks += [asyncio.ensure_future(one.follow()) for one in self.xds.values()]
        if self.xds and not self.listing.heard.is_set():
            await self._first(kept)

    async def _first(self, kept):
        """Waits for a source's first word, for the initial fetch time-out at most: a front that opens without
        any streamer rejects whoever comes. With a list of an earlier run there is no need to."""
        wait = 0.0 if kept else max(xds["first"] for xds in self.value["xds"].values()) / SECOND
        try:
            await asyncio.wait_for(self.listing.heard.wait(), wait)
        except TimeoutError:
            self.log.warning("no source has said anything yet", waited=wait, kept=kept)

    async def every_second(self):
        self.listing.every_second()
        for one in self.xds.values():
            await one.reader.every_second()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=2.0)
        await self.listing.close()
