"""What a player's hints mean to the decisions: they may lower what is asked for, never widen it.

| key | meaning here |
| --- | --- |
| `sid` | ties a client's later tries, and two at once, to its first (with the title) |
| `tb` | the highest rung that the player can use; under the plan's floor it says nothing |
| `mtp` | measured throughput: no rung over it at the set-up, but never under the floor |
| `dl` | time until the player runs dry: an answer after that is of no use to it, so it shortens the wait |
| `rtp` | the most that the player wants delivered; the smaller of it and the rung goes on to the streamer |
| `bl`, `bs` | a player that runs dry hears of lower rungs at once; a full one may be served later |
| `su` | a start-up or a seek: served before what is wanted ahead |
| `pr` | 0: paused, so a silence says nothing; over 1: each second takes that many seconds' bytes |
| `br`, `d` | bytes that the object asked for should have: compared with what was delivered |
| `ot` | `m` and `i` carry no media: not measured as delivery |
| `st`, `sf` | `l` or a format other than HLS is not what this front serves: noted, nothing else |
| `cid`, `nor`, `nrr`, `v` | passed on; `cid` other than the title in the path is noted |
"""

from dataclasses import dataclass

from terndrift.hints.fields import Ignored

MS = 1_000_000
# A player that says it has less than this left cannot be answered at all: it means something else by it.
SHORTEST = 200 * MS


@dataclass(frozen=True)
class Asked:
    """A wanted playback as the hints leave it."""

    top: int  # highest rung of use to the player
    time_left: int  # ns until an answer is of no use
    visit: str  # what ties its tries together; "": nothing does
    ignored: tuple


def kbit(rate):
    """Bytes a second as whole kilobits a second, as CMCD and CMSD count."""
    return int(rate * 8 / 1000)


def fitting(rates, floor, top, most):
    """The highest rung from floor to top whose rate is `most` (kbit/s) or less; None: not even the floor."""
    return max((r for r in range(floor, top + 1) if kbit(rates[r]) <= most), default=None)


def understand(hints, title, floor, top, rates, abandon):
    """`rates`: bytes a second by rung, of this plan; `abandon`: ns that a viewer waits by the settings."""
    ignored = list(hints.ignored)
    for key, what in (("tb", "top rate"), ("mtp", "throughput")):
        most = hints.get(key)
        if most is None:
            continue
        rung = fitting(rates, floor, top, most)
        if rung is not None:
            top = rung
        elif key == "mtp" and most > 0:
            top = floor  # slow, but the floor is the least there is
        else:
            ignored.append(Ignored(key, f"a {what} under the lowest rung of the plan"))
    left = abandon
    if (dl := hints.get("dl")) is not None:
        if dl * MS < SHORTEST:
            ignored.append(Ignored("dl", "already past, or next to it"))
        else:
            left = min(left, dl * MS)
    if hints.get("st") == "l":
        ignored.append(Ignored("st", "live, but the title is recorded"))
    if hints.get("sf", "h") != "h":
        ignored.append(Ignored("sf", "a streaming format that is not served here"))
    if hints.get("cid", title) != title:
        ignored.append(Ignored("cid", "names another title than the path"))
    return Asked(top, left, hints.get("sid", ""), tuple(ignored))
