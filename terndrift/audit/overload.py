"""An overload, second by second, from ledgers alone: who was turned away while whom was taken, what came too
late, and when service was full again."""

from collections import Counter, defaultdict

from terndrift.audit.recovery import full_at, peak
from terndrift.audit.seconds import played, rows, seatless
from terndrift.deployment import build_plans
from terndrift.fleet.shedding import importance

SECOND = 1_000_000_000
# Of one second and all controllers, so many pairs of a less important one taken and a more important one
# turned away are chance: views a second old, a title whose own holders are full.
SLACK = 2


def report(facts, seconds):
    """`out_of_order`: more important ones turned away while less important ones were taken in the same
    second, beyond the slack, over all turned away (but for want of a seat); `late_work_share`: set-ups that
    came to play after their target, of all that did; `low_s`: seconds with under half in target; `in_surge`:
    in target a second, while it lasted; `full_service_s` after it; peaks over all streamers."""
    surges = [n for n in facts.runner if n["what"] == "surge"]
    day = rows(facts, seconds)
    if not surges or not day:
        return {}
    begin = next(n for n in facts.runner if n["what"] == "fleet")["begin"]
    order = importance(build_plans(facts.deployment))
    taken, away = defaultdict(Counter), defaultdict(Counter)
    plays = late = 0
    no_seat = seatless(facts, played(facts))
    for ask in facts.asks.values():
        if not ask.answers:
            continue
        (at, code), plan = ask.answers[0], facts.deployment["titles"][ask.title]["plan"]
        if code == 200:
            plays += 1
            late += at - ask.at > facts.plan_of(ask.title)["startup_target"]
            taken[(ask.at - begin) // SECOND][plan] += 1
        elif code == 503 and not no_seat(ask):
            away[(ask.at - begin) // SECOND][plan] += 1
    wrong = sum(max(0, _pairs(order, taken[n], away[n]) - SLACK) for n in away)
    refused = sum(sum(row.values()) for row in away.values())
    first, last = (surges[0]["t"] - begin) // SECOND, -(-max(n["t"] + n["lasts"] for n in surges) // SECOND)
    last -= begin // SECOND
    full = full_at(day, first, last)
    extra, connected = [t.at for t in facts.tries if t.number > 1], defaultdict(list)
    for n in facts.streamers:
        if n["what"] == "connected":
            connected[n["streamer"]].append(n["t"])
    return {
        "overload": {
            "turned_away": refused,
            "out_of_order": round(wrong / refused, 4) if refused else 0.0,
            "late_work_share": round(late / plays, 4) if plays else None,
            "low_s": sum(2 * row.in_target < row.wanted() for row in day[first:] if row.wanted() >= 4),
            "in_surge": round(sum(r.in_target for r in day[first:last]) / max(1, last - first), 1),
            "extra_tries_peak_s": peak(extra) if extra else 0,
            "tries_peak_s": max(row.tries for row in day),
            "connections_peak_a_streamer_s": max(map(peak, connected.values()), default=0),
            "full_service_s": None if full is None else max(0, full - last),
        }
    }


def _pairs(order, taken, away):
    """Of one second: how many turned away could have had the place of a less important one."""
    left, out = Counter(taken), 0
    for n in range(len(order) - 1, -1, -1):
        for lower in order[:n]:
            both = min(away[order[n]], left[lower])
            left[lower] -= both
            away = away - Counter({order[n]: both})
            out += both
    return out
