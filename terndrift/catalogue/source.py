"""A catalogue in a records file, followed while the service runs: each new text is one whole change."""

import asyncio
import hashlib
import os

from terndrift import records
from terndrift.catalogue.titles import Fault
from terndrift.catalogue.versions import Conflict, change_of
from terndrift.store.store import Broken


def titles(value):
    """The plain titles of a catalogue file's value as a change takes them, defaults left out."""
    out = {}
    for name, t in value["titles"].items():
        times = {"valid_from": float(t["valid_from"]), "valid_until": float(t["valid_until"])}
        out[name] = {k: v for k, v in {**t, **times}.items() if v}
    return out


class Source:
    def __init__(self, path, every, catalogue, log, wall):
        self.path, self.every, self.catalogue, self.log, self.wall = path, every, catalogue, log, wall
        self.seen = None

    def _read(self):
        with open(self.path, "rb") as file:
            text = file.read()
        stat = os.stat(self.path)
        # the text and when it was written: an older text put back is a change again, a restart is none
        mark = hashlib.blake2b(text, digest_size=8).hexdigest()
        value = records.load(self.path, "catalogue")
        return f"file-{mark}-{stat.st_mtime_ns}", titles(value)

    async def take(self):
        """Reads the file and makes its change; what is wrong is logged, and the catalogue stays as it is."""
        try:
            id, put = await asyncio.get_running_loop().run_in_executor(None, self._read)
            change = change_of({"id": id, "put": put, "whole": True}, self.path, self.wall())
            return await self.catalogue.apply(change)
        except (records.Wrong, Fault, Conflict, Broken, OSError) as wrong:
            self.log.error("catalogue file not taken", path=self.path, why=str(wrong))
            return None

    async def follow(self):
        while True:
            try:
                looks = records.looks(self.path)
            except OSError:
                looks = None
            if looks != self.seen:
                self.seen = looks
                if looks is not None:
                    await self.take()
            await asyncio.sleep(self.every)
