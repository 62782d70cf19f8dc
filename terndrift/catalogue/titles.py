"""A title as the catalogue has it, and what makes one sound. No I/O."""

import msgspec

SECOND = 1_000_000_000
# A title watched for longer is a mistake in units.
LONGEST = 24 * 3600


class Title(msgspec.Struct, frozen=True, gc=False, omit_defaults=True, forbid_unknown_fields=True):
    """`rates`: bytes a second by rung, None for a rung that it does not have; empty: the deployment's ladder.
    `holders`: ids of streamers; empty with `nowhere` false: every one listed."""

    plan: str
    seconds: int
    holders: tuple[int, ...] = ()
    nowhere: bool = False
    rates: tuple[float | None, ...] = ()
    valid_from: float = 0.0  # seconds since 1970
    valid_until: float = 0.0  # 0: for good
    region: str = ""


class Fault(Exception):
    """All that is wrong with a change: [(path, what)]."""

    def __init__(self, found):
        super().__init__("; ".join(f"{path}: {what}" for path, what in found))
        self.found = found


def title(path, value):
    """A Title from plain values; raises Fault."""
    try:
        return msgspec.convert(value, Title, strict=True)
    except msgspec.ValidationError as wrong:
        raise Fault([(path, str(wrong))]) from None


def faults(path, title, plans, ladder):
    """What is wrong with a title beside the deployment: `plans` name -> (floor, top), `ladder` its rates."""
    out = []
    if title.plan not in plans:
        known = ", ".join(sorted(plans)) or "none"
        out.append((f"{path}.plan", f"no plan '{title.plan}'; there are {known}"))
        floor, top = 0, len(ladder) - 1
    else:
        floor, top = plans[title.plan]
    if not 0 < title.seconds <= LONGEST:
        out.append((f"{path}.seconds", f"{title.seconds}, wanted 1 to {LONGEST}"))
    if title.nowhere and title.holders:
        out.append((f"{path}.nowhere", "true, though it has holders"))
    if len(set(title.holders)) != len(title.holders):
        out.append((f"{path}.holders", "the same streamer twice"))
    if any(not 0 <= id < 2**32 for id in title.holders):
        out.append((f"{path}.holders", "ids are 0 to 4294967295"))
    if title.valid_until and title.valid_until <= title.valid_from:
        out.append((f"{path}.valid_until", "not after valid_from"))
    if title.rates:
        given = [(n, rate) for n, rate in enumerate(title.rates) if rate is not None]
        if len(title.rates) > len(ladder):
            out.append((f"{path}.rates", f"{len(title.rates)} rungs where the ladder has {len(ladder)}"))
        if not any(floor <= n <= top for n, _ in given):
            out.append((f"{path}.rates", f"no rung from the plan's floor {floor} to its top {top}"))
        rates = [rate for _, rate in given]
        if any(rate <= 0 for rate in rates) or any(b <= a for a, b in zip(rates, rates[1:], strict=False)):
            out.append((f"{path}.rates", "rates must be over 0 and rise with the rungs"))
    return out


def available(title, ladder):
    """Rungs that the title has."""
    if not title.rates:
        return list(range(len(ladder)))
    return [n for n, rate in enumerate(title.rates) if rate is not None]


def nearest(rungs, wanted, floor, top):
    """The rung to play where `wanted` may be missing: the next lower permitted one, else the next higher;
    None: the title has none that the plan permits."""
    permitted = [r for r in rungs if floor <= r <= top]
    lower = [r for r in permitted if r <= wanted]
    return max(lower) if lower else min(permitted, default=None)


def dense(title, ladder):
    """A rate for every rung of the ladder, as the decisions count with: a missing rung costs what plays in
    its place."""
    rungs = available(title, ladder)
    rates = title.rates or ladder
    return tuple(rates[nearest(rungs, r, 0, len(ladder) - 1)] for r in range(len(ladder)))


def valid(title, wall):
    return title.valid_from <= wall and (not title.valid_until or wall < title.valid_until)
