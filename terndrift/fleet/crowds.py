"""Under overload one crowd does not take the place of all: the viewers of one title, or from one address,
that ask for most of everything are held to their share first, and the level of shedding (shed.py) is left to
the rest. Free of I/O.

Each controller tells its heaviest keys with its words of load; sums are of all. The one that decides the
level decides the parts of heavy keys to be shed, too. It guards the viewers of everything else, in every
plan, against one title or one client that comes many times as often as all; it could do harm where that
title is what all of them want: hence only while what is taken comes late or is turned away, only beyond
HEAVY of all, and only with others there who would be hurt."""

from collections import Counter

from terndrift.fleet.window import SECOND, Seconds

HEAVY = 0.5  # of what all ask for: no one title is that in quiet times, in the days and catalogues seen here
SHARE = 0.25  # of what can be served a heavy key keeps: as one source at a controller's front (admission.py)
OTHERS, PART = 10, 0.05  # others in the window, and their part: with fewer there is nobody to be guarded
KEYS = 6  # of a kind in a word
BACK = 0.1  # steps back, each beat, while all is well: five seconds from a whole part


class Own:
    def __init__(self):
        self.seconds = Seconds(Counter)

    def count(self, now, keys):
        self.seconds.at(now).update(keys)

    def table(self, now):
        """The heaviest of the last whole seconds."""
        out = Counter()
        for keys in self.seconds.of_late(now):
            out.update(keys)
        return heaviest(out)


def heaviest(counts):
    """KEYS of each kind: all that come from one address must not push out the titles."""
    out, kinds = {}, Counter()
    for key, n in sorted(counts.items(), key=lambda x: (-x[1], x[0])):
        kind = key.partition(" ")[0]
        kinds[kind] += 1
        if kinds[kind] <= KEYS:
            out[key] = n
    return out


def merged(tables):
    out = Counter()
    for table in tables:
        out.update(table)
    return heaviest(out)


def sound(table, most):
    return len(table) <= 2 * KEYS and all(0 <= n <= most for n in table.values())


class Caps:
    """The one that decides steps them: key -> part of its viewers that is shed."""

    def __init__(self):
        self.parts, self.well_since = {}, None

    def step(self, now, keys, wanted, can, bad):
        """`keys`: what all asked for by key, `wanted`: altogether, `can`: answered in target at best, all in
        the window; `bad`: whether too much of what was taken came late. Returns whether a new crowd was
        found: the level waits for what that brings."""
        others = max(OTHERS, PART * wanted)
        needs = {
            k: max(0.0, 1 - SHARE * can / n)
            for k, n in keys.items()
            if n > HEAVY * wanted and wanted - n >= others
        }
        new = False
        self.well_since = None if bad else self.well_since or now
        if bad:
            for key, part in needs.items():
                new = new or part > 0 and key not in self.parts
                self.parts[key] = max(part, self.parts.get(key, 0.0))
        elif now - self.well_since >= 2 * SECOND:
            # as far as it comes as ever what goes well is what was taken of it, and the rest is still shed
            self.parts = {
                k: max(round(part - BACK, 6), min(part, needs.get(k, 0.0))) for k, part in self.parts.items()
            }
        self.parts = {k: part for k, part in self.parts.items() if part > 0}
        return new
