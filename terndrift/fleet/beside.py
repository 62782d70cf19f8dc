"""What rides beside the sums on the words of load: findings, times told to come back, crowds, who is
strained. Free of I/O: puts together what findings.py, returns.py and crowds.py say of their own part."""

from terndrift.fleet import crowds, findings, returns
from terndrift.fleet.messages import Beside

MS = 1_000_000
NAMES = 8  # of strained ones in a word


def merged(parts):
    """One of several (Beside, ns since it was said)."""
    parts = [(one, ago) for one, ago in parts if one is not None]
    if not parts:
        return None
    return Beside(
        found=findings.merged([findings.older(one.found, ago // MS) for one, ago in parts]),
        back=returns.merged([returns.later(one.back, ago) for one, ago in parts]),
        keys=crowds.merged([one.keys for one, _ in parts]),
        strained=sorted({name for one, _ in parts for name in one.strained})[:NAMES],
    )


def sound(one, members, most):
    """Whether it can be true at all; of that many members, each of which was asked for so much at most."""
    return one is None or (
        findings.sound(one.found, members)
        and crowds.sound(one.keys, most)
        and len(one.strained) <= NAMES
        and len(one.back) <= returns.MOST + 1
        and all(0 <= n <= most for n in one.back)
        and len(one.caps) <= 2 * crowds.KEYS
        and all(0 <= part <= 1 for part in one.caps.values())
    )
