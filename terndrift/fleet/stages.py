"""A controller's return, stage by stage, and how long each lasts at most. Free of I/O.

`full` here is a controller's own view, by its own viewers; what the whole fleet serves the auditor measures
(audit/recovery.py)."""

from enum import Enum

SECOND = 1_000_000_000
# Of its own viewers, answered in target, over so many seconds: as the auditor has it.
WELL, HOLDS = 0.95, 5


class Stage(Enum):
    STARTED = "started"  # no list yet
    LISTED = "has a list"
    RAMPS = "ramps"  # has heard the fleet, or waited its limit
    FULL = "full"


ROUTES = {
    Stage.STARTED: (Stage.LISTED,),
    Stage.LISTED: (Stage.RAMPS,),
    Stage.RAMPS: (Stage.FULL,),
    Stage.FULL: (),
}


# ns that each lasts at most; then it goes on as it is. STARTED: the longest that a source's first word is
# waited for (`first`, 15 s) and once more. LISTED: an election and two questions to voters take under 3 s;
# alone in the world it goes on after twice that. RAMPS: by then no streamer that was warm before can be taken
# for cold (`cold_for`, 8 to 10 s), and it is as good as it gets.
LONGEST = {Stage.STARTED: 30 * SECOND, Stage.LISTED: 6 * SECOND, Stage.RAMPS: 15 * SECOND}


class Return:
    """`fleet`: whether there are others to be heard."""

    def __init__(self, now, fleet):
        self.stage, self.since, self.began, self.fleet = Stage.STARTED, now, now, fleet
        self.past, self.why = [], ""  # past: (stage, ns that it took, whether its limit ended it)

    def under_way(self):
        return self.stage is not Stage.FULL

    def look(self, now, listed, heard, asked, in_target):
        """Goes on as far as it can: whether it has a list, has heard the fleet; of the viewers of the last
        HOLDS seconds, how many asked and were answered in target."""
        while self.stage is not Stage.FULL:
            done, self.why = self._done(now, listed, heard, asked, in_target)
            late = now - self.since >= LONGEST[self.stage]
            if not (done or late):
                return
            self._turn(now, ROUTES[self.stage][0], not done)
        self.why = ""

    def _done(self, now, listed, heard, asked, in_target):
        """(whether this stage is over, what it waits for)."""
        if self.stage is Stage.STARTED:
            return listed, "a list of streamers"
        if self.stage is Stage.LISTED:
            return heard or not self.fleet, "the fleet's record"
        well = now - self.since >= HOLDS * SECOND and in_target >= WELL * asked
        return well, f"{WELL:.0%} in target for {HOLDS} s: {in_target} of {asked}"

    def _turn(self, now, stage, by_limit):
        """Every change of stage."""
        assert stage in ROUTES[self.stage], f"{self.stage} to {stage}"
        self.past.append((self.stage, now - self.since, by_limit))
        self.stage, self.since = stage, now

    def report(self, now):
        return {
            "stage": self.stage.value,
            "since_s": round((now - self.since) / SECOND, 1),
            "waits_for": self.why,
            "up_s": round((now - self.began) / SECOND, 1),
            "past": [
                {"stage": s.value, "took_s": round(took / SECOND, 2), "by_limit": late}
                for s, took, late in self.past
            ],
        }
