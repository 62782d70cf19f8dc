"""Who is let in: what is open is bounded, one source can't take all of it, and who is turned away is told
when to come back. Decides; free of I/O and clocks.

It guards memory and the event loop against floods of requests, whatever sends them: a broken app that
retries at once, an attack, all viewers of a dead controller. It could do harm where very many viewers
stand behind one address, so the part of a source is looked at only once the half of the room is gone.
"""

import zlib
from collections import deque

MS = 1_000_000
SECOND = 1000 * MS
# Past this part of the room a source is held to its own part.
CROWDED = 0.5
# One source's part of the room then. A quarter leaves room for others until four do it together.
SOURCE_PART = 0.25
# Advice is spread over this much more of itself, so that those turned away together do not return together.
SPREAD = 1.0
SHORTEST, LONGEST = SECOND, 30 * SECOND


class Gate:
    def __init__(self, room, seed=0):
        self.room, self.seed, self.draws = room, seed, 0
        self.inside = {}  # source -> how many of its requests are inside
        self.count = 0
        self.left = deque(maxlen=64)  # times at which the last ones left

    def enter(self, now, source):
        """0: let in, and `leave` is owed; else turned away, and the ns after which to come back."""
        mine = self.inside.get(source, 0)
        crowded = self.count >= CROWDED * self.room
        if self.count >= self.room or crowded and mine >= max(1, SOURCE_PART * self.room):
            return self.come_back(now)
        self.inside[source] = mine + 1
        self.count += 1
        return 0

    def leave(self, now, source):
        mine = self.inside[source] - 1
        if mine:
            self.inside[source] = mine
        else:
            del self.inside[source]  # sources are as many as are inside, not as ever were
        self.count -= 1
        self.left.append(now)

    def come_back(self, now):
        """When half of those inside should have left, at the pace of late, and by chance up to twice that."""
        if len(self.left) >= 2 and now > self.left[0]:
            wait = int(self.count / 2 * (now - self.left[0]) / len(self.left))
        else:
            wait = SHORTEST
        self.draws += 1
        luck = zlib.crc32(f"{self.seed}:{self.draws}".encode()) * 2654435761 % 2**32 / 2**32
        wait = min(max(wait, SHORTEST), LONGEST)
        return int(wait * (1 + SPREAD * luck))
