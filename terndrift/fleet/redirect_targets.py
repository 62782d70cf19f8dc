"""Selects the controller to which viewers are redirected while this one takes nothing new.

Each controller that viewers can reach publishes its URL in the record, once; so a controller that drains
need not reject anybody. The choice follows from the membership and from what is agreed on each member. The
service calls `choose` for each viewer that it redirects. Free of I/O.

This guards against viewers who are rejected and told to wait while the other controllers have room. It could
do harm where many controllers drain at once and the others are full; a viewer is therefore redirected once at
most.
"""

import zlib

from terndrift.fleet.membership import Standing
from terndrift.fleet.work_budget import CONTROLLER_PREFIX

FRONT_KEY_PREFIX = "front/"  # keys of the record's map: prefix and name -> URL without a path
# A member alive for a shorter time may have just started and not accept viewers yet (catalogue_sync.py: 6 s
# at most).
MIN_ALIVE_NS = 8_000_000_000


class RedirectTargets:
    """Redirect targets of one controller.

    `mine`: the URL at which viewers reach this controller, set by the service before it announces; "" if
    nobody shall be redirected here. `seed`: makes the random choice repeatable.
    """

    def __init__(self, controller, seed):
        self.controller, self.mine, self.draw_count = controller, "", 0
        self.seed_checksum = zlib.crc32(b"elsewhere:%d" % seed)

    def announce(self, now):
        """Proposes this controller's URL if the record has another or none; called every second."""
        controller = self.controller
        key = FRONT_KEY_PREFIX + controller.own_name
        if (
            controller.committed_log.complete_as_of is None
            or controller.committed_log.state["map"].get(key, "") == self.mine
        ):
            return
        controller.propose(now, f"{key}/{controller.membership.run}", {key: self.mine or None})

    def places(self, now):
        """Returns name -> URL of the other controllers to which viewers may be redirected.

        These are alive and not told to drain. Strained ones, then those alive for less than MIN_ALIVE_NS, are
        left out unless no others are left.
        """
        controller = self.controller
        draining, _ = controller.exclusions(now)
        agreed_map, members = controller.committed_log.state["map"], controller.membership.members
        found = {
            name: url
            for name in sorted(controller.configured_names)
            if name != controller.own_name
            and (url := agreed_map.get(FRONT_KEY_PREFIX + name))
            and members[name].standing is Standing.ALIVE
            and CONTROLLER_PREFIX + name not in draining
        }
        strained = controller.load_reports.current_supplement(now).overloaded
        unstrained = {name: url for name, url in found.items() if name not in strained} or found
        return {
            name: url for name, url in unstrained.items() if now - members[name].standing_since > MIN_ALIVE_NS
        } or unstrained

    def choose(self, now):
        """Returns the URL of one of `places`, drawn uniformly at random; None if there is none."""
        urls = list(self.places(now).values())
        if not urls:
            return None
        self.draw_count += 1
        return urls[zlib.crc32(b"%d" % self.draw_count, self.seed_checksum) * 2654435761 % 2**32 % len(urls)]
