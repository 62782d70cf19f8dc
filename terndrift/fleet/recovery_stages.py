"""Progress of a controller's recovery after a start: its stages and the timeout of each.

The fleet service calls it to decide how often to look for news and what to report to operators. It does no
I/O, and no stage may last longer than its timeout: a recovery must never wait for ever.

`FULL` here is one controller's view, judged by its own viewers; the auditor measures the service of the whole
fleet (audit/recovery.py).
"""

from enum import Enum

SECOND = 1_000_000_000
# Share of this controller's own viewers to be answered in target, and over how many seconds. The auditor
# uses the same two values.
IN_TARGET_SHARE, HOLDS = 0.95, 5


class RecoveryStage(Enum):
    """Stage of a recovery; the values are reported to operators."""

    STARTED = "started"  # no list yet
    HAS_LIST = "has a list"
    RAMPING_UP = "ramps"  # has the fleet's record, or timed out waiting for it
    FULL = "full"


TRANSITIONS = {
    RecoveryStage.STARTED: (RecoveryStage.HAS_LIST,),
    RecoveryStage.HAS_LIST: (RecoveryStage.RAMPING_UP,),
    RecoveryStage.RAMPING_UP: (RecoveryStage.FULL,),
    RecoveryStage.FULL: (),
}


# ns after which a stage ends even though what it waits for is missing.
# STARTED: twice the longest wait for the first message of a list source (`first`, 15 s).
# HAS_LIST: an election and two requests to voters take under 3 s; a controller that reaches no other goes on
# after twice that.
# RAMPING_UP: by then no streamer that was warm before can be taken for cold (`cold_for`, 8 to 10 s), so
# waiting longer improves nothing.
STAGE_TIMEOUT_NS = {
    RecoveryStage.STARTED: 30 * SECOND,
    RecoveryStage.HAS_LIST: 6 * SECOND,
    RecoveryStage.RAMPING_UP: 15 * SECOND,
}


class RecoveryProgress:
    """The recovery of one controller; times are in ns.

    `has_peers` says whether there are other controllers whose record is to be waited for.
    """

    def __init__(self, now, has_peers):
        self.stage, self.stage_since, self.started_at, self.has_peers = (
            RecoveryStage.STARTED,
            now,
            now,
            has_peers,
        )
        # past: (stage, ns that it took, whether its timeout ended it); why: what the present stage waits for
        self.past, self.why = [], ""

    def under_way(self):
        """Tells whether the controller has not reached full service yet."""
        return self.stage is not RecoveryStage.FULL

    def advance(self, now, has_list, has_record, asked, in_target):
        """Advances as many stages as the conditions or timeouts allow; called periodically.

        `has_list` and `has_record` say whether the controller has a list of streamers and the fleet's record.
        Of the viewers of the last HOLDS seconds, `asked` requested something and `in_target` of these were
        answered in target.
        """
        while self.stage is not RecoveryStage.FULL:
            done, self.why = self._check_stage(now, has_list, has_record, asked, in_target)
            timed_out = now - self.stage_since >= STAGE_TIMEOUT_NS[self.stage]
            if not (done or timed_out):
                return
            self._set_stage(now, TRANSITIONS[self.stage][0], not done)
        self.why = ""

    def _check_stage(self, now, has_list, has_record, asked, in_target):
        """Returns (whether the present stage is complete, what it waits for)."""
        if self.stage is RecoveryStage.STARTED:
            return has_list, "a list of streamers"
        if self.stage is RecoveryStage.HAS_LIST:
            return has_record or not self.has_peers, "the fleet's record"
        reached = now - self.stage_since >= HOLDS * SECOND and in_target >= IN_TARGET_SHARE * asked
        return reached, f"{IN_TARGET_SHARE:.0%} in target for {HOLDS} s: {in_target} of {asked}"

    def _set_stage(self, now, stage, by_timeout):
        """Makes every change of the stage."""
        assert stage in TRANSITIONS[self.stage], f"{self.stage} to {stage}"
        self.past.append((self.stage, now - self.stage_since, by_timeout))
        self.stage, self.stage_since = stage, now

    def report(self, now):
        """Returns the stage and its history for operators, with times in seconds."""
        return {
            "stage": self.stage.value,
            "since_s": round((now - self.stage_since) / SECOND, 1),
            "waits_for": self.why,
            "up_s": round((now - self.started_at) / SECOND, 1),
            "past": [
                {"stage": stage.value, "took_s": round(took / SECOND, 2), "by_limit": by_timeout}
                for stage, took, by_timeout in self.past
            ],
        }
