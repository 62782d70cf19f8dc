"""When viewers who are turned away are told to come back, so that the sum of all controllers fits what can
be served then. Free of I/O.

Each controller books what it has told, second by second, and tells that with its words of load; so each
knows, half a second old, how many all have told to come in each of the next seconds. The next one is sent to
a second drawn by the room that is left in it: by chance and not to the first free one, as all others draw by
the same figures. What can be served is the best of what was answered in target of late; of that new viewers
take their part. It guards against a wave of those turned away together that is turned away together again.
It could do harm where what can be served has just risen: they wait for up to the longest advice that clients
follow."""

from collections import deque

SECOND = 1_000_000_000
MOST = 30  # seconds ahead that are told of; clients follow less
BEST = 30 * SECOND
DRAWS = 16


class Book:
    """`longest`: ns, the longest advice that clients follow."""

    def __init__(self, longest):
        self.ahead = min(MOST, max(1, longest // SECOND))
        self.told = {}  # second -> how many were told to come in it
        self.good = deque()  # (when, in target a second) of all

    def books(self, now, wait):
        if wait > 0:
            n = (now + wait) // SECOND
            self.told[n] = self.told.get(n, 0) + 1

    def table(self, now):
        """How many in each of the next seconds, this one first."""
        self.told = {n: count for n, count in self.told.items() if n >= now // SECOND}
        return [self.told.get(now // SECOND + n, 0) for n in range(self.ahead + 1)]

    def serves(self, now, in_target):
        self.good.append((now, in_target))
        while now - self.good[0][0] > BEST:
            self.good.popleft()

    def room(self, booked, asked):
        """Room in each second from the next one on. `booked`: by all, this second first; `asked`: what
        viewers ask for a second now: those who were told to come and those who are new."""
        can = max((n for _, n in self.good), default=0)
        booked = _wide(booked, self.ahead + 1)
        new = max(0, asked - booked[0])
        return [max(0.0, can - new - n) for n in booked[1 : self.ahead + 1]]

    def advice(self, booked, asked):
        """DRAWS times to come back after, of which each viewer gets one by chance; () where nothing is
        known. Where no second has room, the later half: they come as late as they may be asked to, and not
        at once."""
        room = self.room(booked, asked)
        if not self.good:
            return ()
        if not any(room):
            room = [float(n >= len(room) // 2) for n in range(len(room))]
        total, out, before = sum(room), [], 0.0
        for n, part in enumerate(room, 1):
            while len(out) < DRAWS and (len(out) + 0.5) / DRAWS * total <= before + part:
                out.append(n * SECOND)
            before += part
        return tuple(out)


def merged(tables):
    out = []
    for table in tables:
        out = [a + b for a, b in zip(_wide(out, len(table)), _wide(table, len(out)), strict=True)]
    return out[: MOST + 1]


def _wide(table, size):
    return [*table, *[0] * (size - len(table))]


def later(table, ns):
    """The same, so much later: whole seconds of it are over."""
    return list(table[ns // SECOND :])
