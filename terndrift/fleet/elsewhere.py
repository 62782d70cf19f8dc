"""Where viewers are sent on to while a controller takes nothing new: by what members are there, and what of
them is agreed. Free of I/O.

Each controller that can be reached by viewers says where, once, in the record; so one that comes to drain
need not turn anybody away. It guards against viewers turned away, and told to wait, while all others have
room. It could do harm where many drain at once and the others are full: a viewer is sent on once at most.
"""

import zlib

from terndrift.fleet.members import Standing
from terndrift.fleet.room import CONTROLLER

FRONT = "front/"  # of the record's map: name -> URL, without a path
# One that is seen for less long may have just started, and take nobody yet (copies.py: 6 s at most).
YOUNG = 8_000_000_000


class Elsewhere:
    """`mine`: where viewers reach this controller, once that is known; "": nobody is sent to it."""

    def __init__(self, controller, seed):
        self.controller, self.mine, self.draws = controller, "", 0
        self.seeded = zlib.crc32(b"elsewhere:%d" % seed)

    def announce(self, now):
        """Says where this controller is, if what is agreed says otherwise or nothing; `now` and then."""
        c = self.controller
        key = FRONT + c.me
        if c.follower.as_of is None or c.follower.state["map"].get(key, "") == self.mine:
            return
        c.propose(now, f"{key}/{c.members.run}", {key: self.mine or None})

    def places(self, now):
        """name -> URL of the others that are there and not told to drain themselves."""
        c = self.controller
        off, _ = c.off(now)
        listed, members = c.follower.state["map"], c.members.members
        found = {
            name: url
            for name in sorted(c.known)
            if name != c.me
            and (url := listed.get(FRONT + name))
            and members[name].standing is Standing.ALIVE
            and CONTROLLER + name not in off
        }
        strained = c.loads.rides(now).strained
        well = {name: url for name, url in found.items() if name not in strained} or found
        return {name: url for name, url in well.items() if now - members[name].since > YOUNG} or well

    def choose(self, now):
        """One of them, by chance; None: there is none."""
        places = list(self.places(now).values())
        if not places:
            return None
        self.draws += 1
        return places[zlib.crc32(b"%d" % self.draws, self.seeded) * 2654435761 % 2**32 % len(places)]
