"""Caps on dominant keys under overload: a key is one title or one address, written "<kind> <name>".

Where one title or one address causes most of all requests, its viewers are reduced to a share of the capacity
first, and the shedding level (shedding.py) applies to what is left. Each controller sends its most requested
keys in load reports; sums are of the whole fleet. The controller that decides the level decides the caps too:
its `SheddingLevel` owns a `KeyCaps` and steps it, and overload_control.py applies the parts. This module does
no I/O.

A cap protects the viewers of everything else, in every plan, against one title or one client that is
requested many times more often than usual. It would do harm where that title is what all viewers want. It is
therefore set only while answers come late or are turned away, only above HEAVY_SHARE of all requests, and
only with other viewers present who would be affected.
"""

from collections import Counter

from terndrift.fleet.recent_counts import SECOND, CountsBySecond

HEAVY_SHARE = 0.5  # of all requests: without overload no title reached that in the days and catalogues seen
SHARE = 0.25  # of the capacity, left to a heavy key: as for one source at a controller's front (admission.py)
# Requests for other keys in the window, and their part of all: with fewer there is nobody to protect.
MIN_OTHERS, MIN_OTHERS_PART = 10, 0.05
KEYS = 6  # of each kind in a load report
RELEASE_STEP = 0.1  # per beat while all is well: a cap of 1 is released in five seconds


class KeyCounter:
    """Requests by key at this controller, per second."""

    def __init__(self):
        self.seconds = CountsBySecond(Counter)

    def count(self, now, keys):
        """Adds one request to each of the keys; `now` in ns."""
        self.seconds.current(now).update(keys)

    def table(self, now):
        """Returns key -> requests of the last whole seconds, for the most requested keys."""
        out = Counter()
        for keys in self.seconds.recent(now):
            out.update(keys)
        return most_requested(out)


def most_requested(counts):
    """Keeps KEYS keys of each kind, as many addresses must not displace the titles."""
    out, kinds = {}, Counter()
    for key, n in sorted(counts.items(), key=lambda x: (-x[1], x[0])):
        kind = key.partition(" ")[0]
        kinds[kind] += 1
        if kinds[kind] <= KEYS:
            out[key] = n
    return out


def merged(tables):
    """Adds up tables of key -> requests and keeps the most requested keys."""
    out = Counter()
    for table in tables:
        out.update(table)
    return most_requested(out)


def sound(table, most):
    """Whether a received table has an allowed size and counts from 0 to `most`."""
    return len(table) <= 2 * KEYS and all(0 <= n <= most for n in table.values())


class KeyCaps:
    """The parts to shed of dominant keys, stepped by the controller that decides for the fleet.

    `parts`: key -> part of its viewers that is shed, above 0 and up to 1.
    """

    def __init__(self):
        self.parts, self.good_since = {}, None

    def step(self, now, keys, wanted, capacity, overloaded):
        """Updates the caps; returns whether a new key was capped, so that the level waits for the effect.

        `keys`: key -> requests; `wanted`: all requests; `capacity`: the most that can be answered in target;
        all of these in the window of the sums. `overloaded`: whether too many answers came late or were
        turned away.
        """
        min_others = max(MIN_OTHERS, MIN_OTHERS_PART * wanted)
        needed_parts = {
            k: max(0.0, 1 - SHARE * capacity / n)
            for k, n in keys.items()
            if n > HEAVY_SHARE * wanted and wanted - n >= min_others
        }
        found_new = False
        self.good_since = None if overloaded else self.good_since or now
        if overloaded:
            for key, part in needed_parts.items():
                found_new = found_new or part > 0 and key not in self.parts
                self.parts[key] = max(part, self.parts.get(key, 0.0))
        elif now - self.good_since >= 2 * SECOND:
            # While the key is requested as often as before, answers are good only because of the cap: it is
            # not released below the part that is still needed.
            self.parts = {
                k: max(round(part - RELEASE_STEP, 6), min(part, needed_parts.get(k, 0.0)))
                for k, part in self.parts.items()
            }
        self.parts = {k: part for k, part in self.parts.items() if part > 0}
        return found_new
