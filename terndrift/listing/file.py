"""A list of streamers in a records file, followed while the service runs."""

import asyncio

from terndrift import records
from terndrift.listing.lines import Line, Unusable, checked


def lines(value, from_wall_seconds):
    """The lines of a file's plain value; `from_wall_seconds` turns seconds since 1970 into the service's
    clock."""
    return [
        Line(
            name,
            s["id"],
            s["address"],
            s["rack"],
            s["kind"],
            s["zone"],
            s["standing"],
            s["weight"],
            from_wall_seconds(s["started"]),
            tuple(s["labels"]),
        )
        for name, s in value["streamers"].items()
    ]


class Followed:
    """Watches a file; `told(lines)` takes every list that can be taken."""

    def __init__(self, path, every, from_wall_seconds, told, log):
        self.path, self.every, self.from_wall_seconds, self.told, self.log = (
            path,
            every,
            from_wall_seconds,
            told,
            log,
        )
        self.seen = None  # what the file looked like when it was last read
        self.had = False  # whether a list was ever taken

    def begin(self, kept):
        """The file as it stands. Raises records.Wrong or Unusable if it can't be had and no list of an
        earlier run is `kept`, as a controller without any list can answer nothing."""
        self.seen, self.had = self._looks(), kept
        try:
            self._take(records.load(self.path, "list"))
        except (records.Wrong, Unusable) as wrong:
            if not kept:
                raise
            self.log.error("list not taken", path=self.path, why=str(wrong))

    def _looks(self):
        try:
            return records.looks(self.path)
        except OSError:
            return None

    def _take(self, value):
        found = checked(lines(value, self.from_wall_seconds), self.had)
        self.had = self.had or bool(found)
        self.told(found)

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
                self._take(await loop.run_in_executor(None, records.load, self.path, "list"))
            except (records.Wrong, Unusable) as wrong:
                self.log.error("list not taken, the old one stays in force", path=self.path, why=str(wrong))
