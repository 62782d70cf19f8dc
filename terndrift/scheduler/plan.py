"""Which background job gets the next slice, and when. Decides; free of I/O and clocks.

Three things are weighed. All jobs together get a share of the loop's time, kept as an allowance that fills
at that share and may be overdrawn by one slice, so a long slice is followed by a long rest. Within it, a
job that would miss the time it is wanted by goes first, earliest first; else the job that has had least for
its weight, so that a flood of one kind starves no other. A job with a limit in bytes a second waits until
its own allowance has filled again.

It guards the answers of the service against its own housekeeping, whatever makes that long: a large
compaction, a slow disk, a list that changes all the time. It could do harm where work piles up for ever:
what is overdue is told by `late`, for the operator, and never dropped.
"""

from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
SECOND = 1000 * MS
# The allowance saved up while nothing is to do: a few slices, so that a burst can't hold the loop for long.
SAVED = 10 * MS


class Priority(Enum):
    """How much more of the time a job gets than a background one, while both want some."""

    URGENT = 16
    SOON = 4
    BACKGROUND = 1


@dataclass
class Job:
    name: str
    priority: Priority
    wanted_by: int | None  # ns when it should be done; None: whenever
    bytes_a_second: float  # 0: no limit
    work_left: int = 0  # ns of work it thinks it has left; 0: unknown
    served: float = 0.0  # ns of work had, over its weight
    spent: int = 0  # ns of work had
    bytes_free: float = 0.0
    filled: int = 0  # when bytes_free was last brought up to date
    slices: int = 0


class Plan:
    """`share` of the time is for the background, all jobs together."""

    def __init__(self, share, now):
        self.share = share
        self.allowance, self.filled = float(SAVED), now
        self.jobs = {}
        self.floor = 0.0  # what the least served job had when one was last chosen

    def add(self, now, name, priority=Priority.BACKGROUND, wanted_by=None, bytes_a_second=0.0, work_left=0):
        if name in self.jobs:
            raise ValueError(f"there is a job '{name}' already")
        least = min((job.served for job in self.jobs.values()), default=self.floor)
        # one that comes new begins beside the least served, not at nothing: it would starve all older ones
        least = max(least, self.floor)
        job = self.jobs[name] = Job(name, priority, wanted_by, bytes_a_second, work_left, least)
        job.bytes_free, job.filled = bytes_a_second, now
        return job

    def done(self, name):
        self.jobs.pop(name, None)

    def _fill(self, now):
        self.allowance = min(SAVED, self.allowance + (now - self.filled) * self.share)
        self.filled = now
        for job in self.jobs.values():
            if job.bytes_a_second:
                more = (now - job.filled) / SECOND * job.bytes_a_second
                job.bytes_free = min(job.bytes_a_second, job.bytes_free + more)
            job.filled = now

    def next(self, now):
        """(job, 0) to run now, (None, ns) to look again after so long, (None, None) with nothing to do."""
        self._fill(now)
        if not self.jobs:
            return None, None
        if self.allowance <= 0:
            return None, max(1, int(-self.allowance / self.share) + 1)
        able = [job for job in self.jobs.values() if not job.bytes_a_second or job.bytes_free > 0]
        if not able:
            wait = min(-job.bytes_free / job.bytes_a_second for job in self.jobs.values())
            return None, max(1, int(wait * SECOND) + 1)
        pressed = [
            job
            for job in able
            if job.wanted_by is not None and now + job.work_left / self.share >= job.wanted_by
        ]
        if pressed:
            return min(pressed, key=lambda job: job.wanted_by), 0
        chosen = min(able, key=lambda job: job.served)
        self.floor = max(self.floor, chosen.served)
        return chosen, 0

    def ran(self, now, job, took, size=0):
        """A slice of `job` took so many ns and moved so many bytes."""
        self._fill(now)
        self.allowance -= took
        job.served += took / job.priority.value
        job.spent += took
        job.slices += 1
        job.work_left = max(0, job.work_left - took)
        if job.bytes_a_second:
            job.bytes_free -= size

    def late(self, now):
        """Jobs that should have been done by now."""
        return [job for job in self.jobs.values() if job.wanted_by is not None and now > job.wanted_by]
