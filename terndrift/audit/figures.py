"""What a run earned, how its playbacks were answered, and what the controllers added to a set-up's time."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

KINDS = {200: "plays", 503: "rejected", 504: "aborted"}


def report(facts, arrivals):
    answers = Counter()
    for ask in facts.asks.values():
        answers[KINDS.get(ask.answers[0][1], str(ask.answers[0][1])) if ask.answers else "none"] += 1
    earned, asked, by_plan = revenue(facts, arrivals)
    return {
        "visits": len(arrivals),
        "playbacks": len(facts.asks),
        "answers": dict(answers),
        "tries": len(facts.tries),
        "segments": sum(n["what"] == "segment" for n in facts.viewers),
        "revenue_answered_in_target": round(earned / asked, 4) if asked else None,
        "revenue_by_plan": by_plan,
        "added_latency_us": added(facts),
        "dry_seconds": round(sum(n["dry"] for n in facts.viewers if n["what"] == "segment"), 1),
    }


def revenue(facts, arrivals):
    """Revenue of what was seen from set-ups answered within the startup target, over what was asked for.

    A second asks for the revenue of its viewer's best rung and earns that of the rung it was seen at, less
    the shortfall cost for the part of the segment that came too late. Retries belong to the first try."""
    ladder = facts.deployment["ladder"]
    in_target = {}  # visit -> whether its present playback was answered in time
    earned_by = defaultdict(float)
    for n in facts.viewers:
        if n["what"] == "answer" and n["code"] == 200:
            ask = facts.asks[n["ask"]]
            target = facts.plan_of(ask.title)["startup_target"]
            in_target[ask.visit] = n["t"] - ask.at <= target
        elif n["what"] == "segment" and in_target.get(n["visit"]):
            rates = enumerate(ladder["rates"])
            rung = max((r for r, rate in rates if n["br"] >= int(rate * 8 / 1000)), default=0)
            missing = min(1.0, n["dry"] / n["seconds"])
            part = max(0.0, 1 - ladder["shortfall_cost"] * missing)
            earned_by[n["visit"]] += n["seconds"] * ladder["revenue"][rung] * part
    earned, asked = defaultdict(float), defaultdict(float)
    for row in arrivals:
        plan = facts.plan_of(row["title"])
        wanted = row["seconds"] * ladder["revenue"][row["top_rung"]]
        asked[row["plan"]] += plan["revenue"] * wanted
        earned[row["plan"]] += plan["revenue"] * min(wanted, earned_by[row["visit"]])
    shares = {name: round(earned[name] / asked[name], 4) for name in sorted(asked)}
    return sum(earned.values()), sum(asked.values()), shares


def added(facts):
    """us that a controller added to set-ups that played at their first try: asked to answered at the player,
    less received to answered at the streamer."""
    histogram = HdrHistogram(1, 60 * 10**6, 3)
    first = {}
    for t in facts.tries:
        if t.code == 200 and t.number == 1 and t.over:
            first.setdefault(facts.visit_of.get(t.pb), []).append(t)
    for ask in facts.asks.values():
        if not ask.answers or ask.answers[0][1] != 200:
            continue
        at, _ = ask.answers[0]
        mine = [t for t in first.get(ask.visit, ()) if ask.at <= t.at <= at]
        if len(mine) == 1:
            histogram.record_value(max(1, (at - ask.at - (mine[0].over - mine[0].at)) // 1000))
    if not histogram.get_total_count():
        return {"p50": None, "p99": None, "count": 0}
    return {
        "p50": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
        "count": histogram.get_total_count(),
    }
