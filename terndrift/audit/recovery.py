"""Back from an outage of controllers, second by second, from ledgers alone.

An outage is a time in which a quarter of the controllers or more were down at once; it ends when the last of
those that went down in it is up. **Full service** is the first moment from then on after which, for five
seconds, the share of what was asked for answered in target and the mean rung of what plays are both at least
0.95 of what they were in the ten seconds before the outage."""

from collections import defaultdict
from statistics import fmean

from terndrift.audit import placements
from terndrift.audit.judge import drains
from terndrift.audit.seconds import rows

SECOND = 1_000_000_000
MOST = 0.25  # of the controllers, down at once
BEFORE, HOLDS, PART = 10, 5, 0.95
# Peaks are looked for in so many seconds after the outage's end: longer than a streamer is cold.
AFTER = 12


def outages(facts):
    """[(from, until, went down)], in ns; one that has not ended is left out."""
    steps = sorted(
        [(down, 1) for downs in facts.controller_downs.values() for down, up in downs if up]
        + [(up, -1) for downs in facts.controller_downs.values() for _, up in downs if up]
    )
    out, down, began, most = [], 0, 0, 0
    for at, change in steps:
        down += change
        if change > 0 and down == 1:
            began, most = at, 0
        most = max(most, down)
        if not down and most >= max(2, MOST * len(facts.names)):
            out.append((began, at, most))
    return out


def service(day, since, until):
    """(share answered in target, mean rung) of some seconds; None where nothing was asked for, or plays."""
    some = day[max(0, since) : until]
    wanted, rungs = sum(row.wanted() for row in some), [r for row in some for r in row.rungs]
    share = sum(row.in_target for row in some) / wanted if wanted else None
    return share, fmean(rungs) if rungs else None


def full_at(day, began, ended):
    """The second of the day from which service is full, `began` and `ended` the outage's; None: it never
    is, or nothing is known of before."""
    share, rung = service(day, began - BEFORE, began)
    if share is None or rung is None:
        return None
    for n in range(ended, len(day) - HOLDS + 1):
        now = service(day, n, n + HOLDS)
        if None not in now and now[0] >= PART * share and now[1] >= PART * rung:
            return n
    return None


def peak(times):
    """The most of some times within one second."""
    times, most, first = sorted(times), 0, 0
    for n, at in enumerate(times):
        while times[first] <= at - SECOND:
            first += 1
        most = max(most, n - first + 1)
    return most


def parts(facts, day, begin, began, ended):
    """What it was made of: the slowest start of a process, viewers that met a dead controller, and how long
    after the end fewer than four fifths of the viewers of before asked."""
    starts = {n["name"]: n["t"] for n in facts.runner if n["what"] == "controller starts" and n["t"] <= ended}
    took = [
        up - starts[name]
        for name, address in facts.names.items()
        if name in starts
        for down, up in facts.controller_downs[address]
        if began <= down <= ended and up > starts[name]
    ]
    met = sum(not a.answers and began <= a.at <= ended for a in facts.asks.values())
    first, after = (began - begin) // SECOND, -(-(ended - begin) // SECOND)
    usual = fmean([row.asked for row in day[max(0, first - BEFORE) : first]] or [0])
    fewer = 0
    while after + fewer < len(day) and day[after + fewer].asked < 0.8 * usual:
        fewer += 1
    refused = sum(row.refused for row in day[after : after + AFTER])
    return {
        "slowest_start_s": round(max(took, default=0) / SECOND, 2),
        "met_a_dead_one": met,
        "fewer_viewers_s": fewer,
        "refused_after": refused,
    }


def dip(day, began, ended):
    """The lowest that share and mean rung fall to after the end, of any three seconds within AFTER, over what
    they were before: a return that overshoots and falls back is not over with its first good seconds."""
    before = service(day, began - BEFORE, began)
    if None in before or not all(before):
        return [None, None]
    after = [service(day, n, n + 3) for n in range(ended, min(ended + AFTER, len(day) - 3))]
    return [round(min((x[k] / before[k] for x in after if x[k] is not None), default=0), 3) for k in (0, 1)]


def peaks(facts, ended):
    """Of the seconds after the end: set-ups to one streamer, and connections made to one, within a second."""
    tries, connections = defaultdict(list), defaultdict(list)
    for t in facts.tries:
        if ended <= t.at <= ended + AFTER * SECOND:
            tries[t.streamer].append(t.at)
    for n in facts.streamers:
        if n["what"] == "connected" and ended <= n["t"] <= ended + AFTER * SECOND:
            connections[n["streamer"]].append(n["t"])
    return {
        "peak_set_ups_a_streamer_s": max(map(peak, tries.values()), default=0),
        "peak_connections_s": max(map(peak, connections.values()), default=0),
    }


def report(facts, seconds):
    """Of each outage: how long it was, and how long after its end service was full; None: not in this day."""
    found, day = outages(facts), rows(facts, seconds)
    if not found or not day:
        return {}
    begin = next(n for n in facts.runner if n["what"] == "fleet")["begin"]
    out = []
    for began, ended, most in found:
        first, last = (began - begin) // SECOND, -(-(ended - begin) // SECOND)
        if first < 1 or last >= len(day):
            continue
        full = full_at(day, first, last)
        before = service(day, first - BEFORE, first)
        out.append(
            {
                "down": most,
                "outage_s": round((ended - began) / SECOND, 2),
                "full_service_s": full and round(max(0, full - (ended - begin) / SECOND), 2),
                "before": [x and round(x, 3) for x in before],
                "dip": dip(day, first, last),
                **peaks(facts, ended),
                **parts(facts, day, begin, began, ended),
            }
        )
    return (
        {
            "recovery": {
                "outages": out,
                "stale_set_ups": sum(1 for _ in drains(facts)) + sum(1 for _ in placements.stale(facts)),
            }
        }
        if out
        else {}
    )
