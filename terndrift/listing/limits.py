"""What sources say should be turned away or bounded, as holders that a playback may not have. Decides; no
I/O.

Groups (a cluster of Envoy's) may state a part of what is wanted that is to be turned away, and how many
playbacks may be at their streamers at once. Both narrow the holders of a playback that is wanted: without any
left it is rejected at once, as it is where no holder is listed, with when to come back. What has begun is
never touched, so a plan paid at set-up is not either.

Guards against an installation filled past what its operator planned for; could do harm where a forgotten
limit of a smaller day stays in the list: `terndrift xds dump` shows what limits are in force.
"""

import zlib


class Limits:
    """`at(id)`: how many playbacks a streamer has, set-ups included."""

    def __init__(self, seed, at):
        self.seed, self.at, self.draws = zlib.crc32(b"limits:%d" % seed), at, 0
        self.groups = {}  # name -> (part to turn away, most or None, ids)

    def told(self, source, groups):
        """All that a source states: {group: (part, most, ids)}."""
        for name in [name for name in self.groups if name[0] == source]:
            del self.groups[name]
        self.groups.update({(source, group): said for group, said in groups.items()})

    def narrow(self, cells):
        """The holders, of those that have the title, that a playback wanted now may have."""
        for part, most, ids in self.groups.values():
            if not cells:
                break
            full = most is not None and ids & cells and sum(self.at(id) for id in ids) >= most
            if full or part and ids & cells and self._chance() < part:
                cells = cells - ids
        return cells

    def _chance(self):
        self.draws += 1
        # spread by a product, as crc32 alone is linear
        return zlib.crc32(b"%d" % self.draws, self.seed) * 2654435761 % 2**32 / 2**32
