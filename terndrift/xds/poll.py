"""The two forms without a stream: JSON asked for over HTTP now and then, and files as Envoy's path source."""

import asyncio
import zlib
from urllib.parse import urlsplit

from terndrift import records
from terndrift.backoff import Backoff
from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.scheduler.slices import sliced
from terndrift.xds import codec
from terndrift.xds.session import CLUSTER, ENDPOINT

SECOND = 1_000_000_000
PATHS = {CLUSTER: "/v3/discovery:clusters", ENDPOINT: "/v3/discovery:endpoints"}


class Rest:
    """`value`: an #Xds record whose source is http://HOST:PORT."""

    def __init__(self, value, who, reader, seed, log):
        self.value, self.who, self.reader, self.log = value, who, reader, log
        self.backoff, self.pool, self.seed, self.polls = Backoff(seed), Pool(), seed, 0
        self.address = urlsplit(value["source"]).netloc
        self.next = {}  # type -> Send that the next poll carries: the version known, or why it was refused

    async def follow(self):
        try:
            while True:
                before = self.reader.taken
                why = await self._round()
                if why:
                    self.reader.listing.reached(self.reader.name, False, why)
                    await asyncio.sleep(self.backoff.next_shared_delay(self.reader.taken > before) / SECOND)
                    continue
                self.backoff.next_delay_after(True)
                self.polls += 1
                # up to a fifth sooner: controllers started together do not ask together for ever
                part = zlib.crc32(b"%d:%d" % (self.seed, self.polls)) % 1000 / 5000
                await asyncio.sleep(self.value["refresh"] / SECOND * (1 - part))
        finally:
            self.pool.close()

    async def _round(self):
        """Clusters, then their endpoints; returns what went wrong, if anything did."""
        session = self.reader.session
        for send in session.begin()[:1]:
            why = await self._ask(self.next.get(CLUSTER, send))
            if why:
                return why
        for send in session.begin()[1:]:
            why = await self._ask(self.next.get(ENDPOINT, send))
            if why:
                return why
        await self.reader.settle()
        return None

    async def _ask(self, send):
        body = codec.request_json(send, self.who)
        headers = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        try:
            code, _, data = await fetch(
                self.pool,
                self.address,
                "POST",
                PATHS[send.type_url],
                headers,
                body=body,
                most=int(self.value["largest"]),
                within=self.value["first"] / SECOND,
            )
        except (Unreached, Broken, TimeoutError) as wrong:
            return str(wrong) or type(wrong).__name__
        if code == 304:
            self.reader.listing.reached(self.reader.name, True)
            return None
        if code != 200:
            return f"{PATHS[send.type_url]} answered {code}"
        try:
            # beside the loop: in JSON a list of thousands takes long
            found = await asyncio.get_running_loop().run_in_executor(None, codec.from_json, data)
        except codec.Unreadable as wrong:
            return str(wrong)
        sends = await self.reader.arrived(found)
        for one in sends:
            if one.type_url in PATHS:
                self.next[one.type_url] = one
        return None


class Path:
    """`value`: an #Xds record that names files of clusters and endpoints, each a discovery response in
    JSON."""

    def __init__(self, value, who, reader, seed, log):
        self.value, self.reader, self.log = value, reader, log
        self.files = ((CLUSTER, value["clusters"]), (ENDPOINT, value["endpoints"]))
        self.seen = {}

    async def follow(self):
        while True:
            for type_url, path in self.files:
                try:
                    looks = records.looks(path)
                except OSError as wrong:
                    self.reader.listing.reached(self.reader.name, False, f"{path}: {wrong.strerror}")
                    continue
                if looks != self.seen.get(type_url):
                    self.seen[type_url] = looks
                    await self._take(type_url, path)
            await asyncio.sleep(self.value["refresh"] / SECOND)

    def _read(self, path):
        with open(path, "rb") as file:
            return codec.from_json(file.read())

    async def _take(self, type_url, path):
        try:
            found = await asyncio.get_running_loop().run_in_executor(None, self._read, path)
            if found.type_url and found.type_url != type_url:
                raise codec.Unreadable(f"resources of {found.type_url}")
        except (codec.Unreadable, OSError) as wrong:
            self.log.error("file not taken, the last one stays in force", path=path, why=str(wrong))
            return
        before = self.reader.view.assignments
        resources, _, faults = await sliced(codec.decoded(found, self.reader.clock.from_wall_seconds, before))
        if faults:
            self.reader.refused += 1
            self.log.error("file not taken, the last one stays in force", path=path, why="; ".join(faults))
            return
        self.reader.taken += 1
        await self.reader.replaced(type_url, resources, found.version)
        if len(self.seen) == len(self.files):
            await self.reader.settle()
