"""A list of streamers in a records file, followed while the service runs, and its copy for restarts."""

import asyncio
import os

import msgspec

from terndrift import records
from terndrift.listing.roll import Line, Unusable


def lines(value, of_wall):
    """The lines of a file's plain value; `of_wall` turns seconds since 1970 into the service's clock."""
    return [Line(name, s["id"], s["address"], s["rack"], s["kind"], s["zone"], s["standing"], s["weight"],
                 of_wall(s["started"])) for name, s in value["streamers"].items()]


class Copy:
    """The list last taken, kept beside the service: what a controller starts with after it was killed."""

    def __init__(self, path):
        self.path = path

    def keep(self, value):
        if not self.path:
            return
        part = f"{self.path}.part"
        with open(part, "wb") as file:  # whole or not at all: the name moves only once it is written
            file.write(msgspec.json.encode(value))
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self.path)

    def kept(self):
        """The value kept, or None; a copy that can't be read is as good as none."""
        try:
            with open(self.path, "rb") as file:
                value = msgspec.json.decode(file.read())
            return value if isinstance(value, dict) and isinstance(value.get("streamers"), dict) else None
        except (OSError, msgspec.DecodeError):
            return None


class Followed:
    """Watches a file; `changed(entries, addresses, old)` hears of every list that comes into force."""

    def __init__(self, path, every, roll, copy, clock, changed, log):
        self.path, self.every, self.roll, self.copy = path, every, roll, copy
        self.clock, self.changed, self.log = clock, changed, log
        self.seen = None  # what the file looked like when it was last read

    def begin(self):
        """The kept copy first, if there is one; then the file as it stands. Raises records.Wrong if neither
        can be had, as a controller without any list can answer nothing."""
        kept = self.copy.kept()
        if kept is not None:
            try:
                self._take(kept, True)
            except (Unusable, KeyError, TypeError) as wrong:
                self.log.warning("kept list not taken", path=self.copy.path, why=str(wrong))
                kept = None
        self.seen = self._looks()
        try:
            self._take(records.load(self.path, "list"), False)
        except (records.Wrong, Unusable) as wrong:
            if kept is None:
                raise
            self.log.error("list not taken", path=self.path, why=str(wrong))

    def _looks(self):
        try:
            stat = os.stat(self.path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino

    def _take(self, value, old):
        taken = self.roll.take(lines(value, self.clock.of_wall))
        if taken is not None:
            self.changed(*taken, old)
            if not old:
                self.copy.keep(value)

    async def follow(self):
        """Until cancelled: a change of the file is read beside the loop and taken whole, or not at all."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.every)
            looks = self._looks()
            if looks == self.seen:
                continue
            self.seen = looks
            try:
                value = await loop.run_in_executor(None, records.load, self.path, "list")
                self._take(value, False)
            except (records.Wrong, Unusable) as wrong:
                self.log.error("list not taken, the old one stays in force", path=self.path, why=str(wrong))
            except OSError as wrong:
                self.log.error("list not kept", path=self.copy.path, why=str(wrong))
