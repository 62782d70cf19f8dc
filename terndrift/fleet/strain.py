"""Overload that is only one controller's own: its event loop is late, its descriptors or its memory are at
their bound. Free of I/O.

It sheds by the order of all (shed.py), by a level of its own on top of the fleet's, says so to the others,
and sends viewers on to them where it can. Guards against a controller that takes, and answers late, what its
neighbours have room for. Could do harm where all are strained alike: then viewers are sent on once, and
turned away there."""

from enum import Enum

SECOND = 1_000_000_000
LATE = SECOND // 5  # of a loop: twice on a set-up's way, and a startup target of 800 ms is in doubt
FULL = 0.9  # of descriptors or memory: the rest is what ends what plays
EASY = 0.8
HOLDS = 3 * SECOND  # easy for so long, and a step back
STEP = 0.5  # plans' worth a second, up; half of it back: up faster than down, as in shed.py


class Standing(Enum):
    EASY = "easy"
    STRAINED = "strained"
    EASING = "easing"  # not strained any more, and still sheds


ROUTES = {
    Standing.EASY: (Standing.STRAINED,),
    Standing.STRAINED: (Standing.EASING,),
    Standing.EASING: (Standing.STRAINED, Standing.EASY),
}


class Strain:
    """`most`: highest level, the number of plans."""

    def __init__(self, most):
        self.most, self.level, self.standing, self.why = most, 0.0, Standing.EASY, ""
        self.twice, self.easy_since = False, 0

    def second(self, now, late, files, memory):
        """Each second: ns that the loop was late at most; parts of descriptors and of memory in use. Returns
        the level."""
        why = ", ".join(
            filter(
                None,
                (
                    f"loop {late // 1_000_000} ms late" if late > LATE else "",
                    f"{files:.0%} of its descriptors" if files > FULL else "",
                    f"{memory:.0%} of its memory" if memory > FULL else "",
                ),
            )
        )
        # once may be a pause of the machine; what is full is full
        strained = bool(why) and (late <= LATE or self.twice)
        self.twice = late > LATE
        if strained:
            self.level, self.why = min(float(self.most), self.level + STEP), why
            if self.standing is not Standing.STRAINED:
                self._turn(Standing.STRAINED)
        elif self.standing is Standing.STRAINED and not why and max(files, memory) < EASY:
            self.easy_since = now
            self._turn(Standing.EASING)
        elif self.standing is Standing.EASING and now - self.easy_since >= HOLDS:
            self.level = max(0.0, self.level - STEP / 2)
            if not self.level:
                self.why = ""
                self._turn(Standing.EASY)
        return self.level

    def _turn(self, standing):
        """Every change of its standing."""
        assert standing in ROUTES[self.standing], f"{self.standing} to {standing}"
        self.standing = standing
