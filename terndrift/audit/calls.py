"""Calls as their callers and media servers saw them."""

from collections import Counter


def report(facts, arrivals):
    """Share of calls answered within the startup target, answers by status, legs that media servers still had
    at the end, and that ran out of a session nobody refreshed."""
    calls = {a["visit"]: a for a in arrivals if a["call"]}
    asks = [ask for ask in facts.asks.values() if ask.visit in calls]
    codes, well = Counter(), 0
    for ask in asks:
        codes[str(ask.answers[0][1]) if ask.answers else "none"] += 1
        target = facts.plan_of(ask.title)["startup_target"]
        well += bool(ask.answers) and ask.answers[0][1] == 200 and ask.answers[0][0] - ask.at <= target
    notes = facts.streamers
    return {
        "calls": len(asks),
        "call_answers": dict(codes),
        "calls_answered_in_target": round(well / len(asks), 4) if asks else None,
        "calls_reshaped": sum(n["what"] == "reshaped" for n in notes),
        "legs_left": sum(n["count"] for n in notes if n["what"] == "legs left"),
        "legs_expired": sum(n["what"] == "expired" for n in notes),
    }
