"""The core on an event loop: a clock that fronts share, and a timer for what the core next waits for."""

import time

from tornado.ioloop import IOLoop

SECOND = 1_000_000_000
# A loop later than this for a timer is told: answers are given 120 ms before they are due at the latest.
HELD = SECOND // 10


class Clock:
    """Whole nanoseconds that only move forward; `of_wall` puts a time of day on the same line.

    The distance between the two is measured once: a start time read twice must not become two start times,
    or the decisions would take it for a restart."""

    def __init__(self):
        self.apart = time.time_ns() - time.monotonic_ns()

    def now(self):
        return time.monotonic_ns()

    def of_wall(self, seconds):
        """Seconds since 1970; 0 and what lies before this machine's start is "long ago": 0."""
        return self.of_wall_ns(int(seconds * SECOND))

    def of_wall_ns(self, wall):
        return max(0, wall - self.apart) if wall else 0

    def wall_ns(self, at):
        """The reverse: ns since 1970, 0 for long ago. Whole, so that there and back is the same."""
        return at + self.apart if at else 0


class Host:
    """Steps a core: `do(core.method, ...)` is the only way in, so that the timer is never missed."""

    def __init__(self, core, clock):
        self.core, self.clock = core, clock
        self.timer, self.timer_at = None, None
        self.after = lambda: None  # called after each step: a carrier may have gathered what is to be sent
        self.stopped = False  # nothing more is handed to the core
        self.late = 0  # ns that the loop was late for a timer at most, since it was last told

    def do(self, call, *args):
        """Hands the core what has happened; once stopped it hears of nothing more, and None is returned."""
        if self.stopped:
            return None
        result = call(self.clock.now(), *args)
        self._arm()
        self.after()
        return result

    def _arm(self):
        at = self.core.next_at()
        if at is None or self.timer_at is not None and self.timer_at <= at:
            return  # an early timer does no harm
        loop = IOLoop.current()
        if self.timer is not None:
            loop.remove_timeout(self.timer)
        self.timer_at = at
        self.timer = loop.call_later(max(0, at - self.clock.now()) / SECOND, self._ring)

    def _ring(self):
        now = self.clock.now()
        self.late = max(self.late, now - self.timer_at)
        self.timer = self.timer_at = None
        self.core.tick(now)
        self._arm()
        self.after()

    def tell_late(self, log):
        late, self.late = self.late, 0
        if late > HELD:
            log.warning("loop held", ms=late // 1_000_000)
        return late

    def stop(self):
        self.stopped = True
        if self.timer is not None:
            IOLoop.current().remove_timeout(self.timer)
            self.timer = self.timer_at = None
