"""Runs a session core on a Tornado event loop: its clock and the timer for its next deadline.

Services create one `Clock` and one `CoreRunner`; fronts and transports report events to the
core through `CoreRunner.run`.
"""

import time

from tornado.ioloop import IOLoop

SECOND = 1_000_000_000
# A timer that fires later than this is logged. Where clients wait for 1.2 s or longer, answers are given
# 120 ms or more before they are due.
LATE_TIMER_NS = SECOND // 10


class Clock:
    """Monotonic time in whole ns, and conversion between it and wall-clock time.

    The offset between the two is measured once: a streamer's start time that is converted twice has to give
    the same value, or the decision logic would take it for a restart.
    """

    def __init__(self):
        self.wall_offset = time.time_ns() - time.monotonic_ns()

    def now(self):
        """Return the monotonic time in ns."""
        return time.monotonic_ns()

    def from_wall_seconds(self, seconds):
        """Convert seconds since 1970 to monotonic ns.

        Returns 0, "long ago", for 0 and for times before the monotonic clock's zero, the machine's start.
        """
        return self.from_wall_ns(int(seconds * SECOND))

    def from_wall_ns(self, wall):
        """Convert ns since 1970 to monotonic ns, with the same use of 0 as `from_wall_seconds`."""
        return max(0, wall - self.wall_offset) if wall else 0

    def to_wall_ns(self, monotonic):
        """Convert monotonic ns to ns since 1970; 0, "long ago", stays 0.

        The result is a whole number, so that converting it back gives the same value.
        """
        return monotonic + self.wall_offset if monotonic else 0


class CoreRunner:
    """Owns the timer of a core. Events go to the core through `run`, so that the timer is kept up to date.

    `after_step`, a callable that a transport may set, is called after each step of the core: it can send what
    the core's decisions left to be sent.
    """

    def __init__(self, core, clock):
        self.core, self.clock = core, clock
        self.timer, self.timer_due = None, None
        self.after_step = lambda: None
        self.stopped = False  # calls are dropped from then on
        self.max_timer_delay = 0  # longest delay of a timer since the last `report_timer_delay`, ns

    def run(self, call, *args):
        """Call a method of the core, `call(now, *args)`, and return its result.

        Once the runner is stopped, the call is dropped and None is returned.
        """
        if self.stopped:
            return None
        result = call(self.clock.now(), *args)
        self._schedule_timer()
        self.after_step()
        return result

    def _schedule_timer(self):
        due = self.core.next_at()
        if due is None or self.timer_due is not None and self.timer_due <= due:
            return  # a timer that fires early does no harm
        loop = IOLoop.current()
        if self.timer is not None:
            loop.remove_timeout(self.timer)
        self.timer_due = due
        self.timer = loop.call_later(max(0, due - self.clock.now()) / SECOND, self._on_timer)

    def _on_timer(self):
        now = self.clock.now()
        self.max_timer_delay = max(self.max_timer_delay, now - self.timer_due)
        self.timer = self.timer_due = None
        self.core.tick(now)
        self._schedule_timer()
        self.after_step()

    def report_timer_delay(self, log):
        """Return the longest delay of a timer since the last call, in ns, and log it if it is too long."""
        late, self.max_timer_delay = self.max_timer_delay, 0
        if late > LATE_TIMER_NS:
            log.warning("loop held", ms=late // 1_000_000)
        return late

    def stop(self):
        """Cancel the timer and drop all further calls."""
        self.stopped = True
        if self.timer is not None:
            IOLoop.current().remove_timeout(self.timer)
            self.timer = self.timer_due = None
