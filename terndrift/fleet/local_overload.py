"""Detects overload of a single controller: a late event loop, or file descriptors or memory near the limit.

A strained controller sheds in the fleet's order of plans (shedding.py), by a level of its own on top of the
fleet's. overload_control.py calls `LocalOverload.update`, reports the strain to the other controllers and
redirects viewers to them where it can. Free of I/O; it decides only the level.

This guards against a controller that accepts, and answers late, viewers for whom its neighbours have
capacity. It could do harm where all controllers are strained alike: viewers are then redirected once and
rejected there.
"""

from enum import Enum

SECOND = 1_000_000_000  # ns
MAX_LOOP_DELAY_NS = SECOND // 5  # met twice during a set-up, it endangers a startup target of 800 ms
MAX_USE = 0.9  # of descriptors or memory; the rest is needed to end running playbacks
RECOVERED_USE = 0.8
RECOVERY_HOLD_NS = 3 * SECOND  # without strain before the level falls
STEP = 0.5  # plans a second on the way up, half of it on the way down: up faster than down, as in shedding.py


class OverloadState(Enum):
    """State of the controller; the values are reported and logged."""

    EASY = "easy"
    STRAINED = "strained"
    EASING = "easing"  # no longer strained, still sheds


TRANSITIONS = {
    OverloadState.EASY: (OverloadState.STRAINED,),
    OverloadState.STRAINED: (OverloadState.EASING,),
    OverloadState.EASING: (OverloadState.STRAINED, OverloadState.EASY),
}


class LocalOverload:
    """Shedding level of a single controller.

    `level` is the number of plans shed, fractions included, 0 to `max_level`; `why` tells the reason as text
    and is "" while nothing is shed. `max_level`: the number of plans.
    """

    def __init__(self, max_level):
        self.max_level, self.level, self.standing, self.why = max_level, 0.0, OverloadState.EASY, ""
        self.was_late, self.recovering_since = False, 0

    def update(self, now, loop_delay, descriptors, memory):
        """Updates the state from one second's figures and returns the level; called every second.

        `loop_delay`: the event loop's greatest delay, in ns; `descriptors`, `memory`: the shares in use, 0 to
        1.
        """
        why = ", ".join(
            filter(
                None,
                (
                    f"event loop {loop_delay // 1_000_000} ms late" if loop_delay > MAX_LOOP_DELAY_NS else "",
                    f"{descriptors:.0%} of file descriptors in use" if descriptors > MAX_USE else "",
                    f"{memory:.0%} of memory in use" if memory > MAX_USE else "",
                ),
            )
        )
        # A single delay may be a pause of the machine, so the loop must be late twice in a row. Descriptors
        # and memory count at once.
        strained = bool(why) and (loop_delay <= MAX_LOOP_DELAY_NS or self.was_late)
        self.was_late = loop_delay > MAX_LOOP_DELAY_NS
        if strained:
            self.level, self.why = min(float(self.max_level), self.level + STEP), why
            if self.standing is not OverloadState.STRAINED:
                self._transition(OverloadState.STRAINED)
        elif self.standing is OverloadState.STRAINED and not why and max(descriptors, memory) < RECOVERED_USE:
            self.recovering_since = now
            self._transition(OverloadState.EASING)
        elif self.standing is OverloadState.EASING and now - self.recovering_since >= RECOVERY_HOLD_NS:
            self.level = max(0.0, self.level - STEP / 2)
            if not self.level:
                self.why = ""
                self._transition(OverloadState.EASY)
        return self.level

    def _transition(self, standing):
        """Changes the standing; the only place that does."""
        assert standing in TRANSITIONS[self.standing], f"{self.standing} to {standing}"
        self.standing = standing
