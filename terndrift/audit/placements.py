"""Set-up tries at streamers that did not hold their title, after the change that said so was acknowledged."""

from collections import defaultdict

from terndrift.audit.judge import APART, controller_of


def wrong(facts):
    """Each try that no state of the catalogue since its last acknowledged change allows, told in a line."""
    begun, done = {}, {}
    for n in facts.runner:
        if n["what"] == "swap":
            begun[n["controller"], n["number"]] = n
        elif n["what"] == "swapped" and n["code"] == 200:
            done[n["controller"], n["number"]] = n["t"]
    changes = defaultdict(list)  # (controller, title) -> [(begun, acknowledged or None, holders)]
    for key, n in sorted(begun.items(), key=lambda item: item[1]["t"]):
        changes[n["controller"], n["title"]].append((n["t"], done.get(key), n["holders"]))
    for t in facts.tries:
        made = changes.get((controller_of(t.pb), t.title), ())
        # in force: what was acknowledged last, a while before this try was seen, and all begun after it
        settled = [k for k, (_, acked, _) in enumerate(made) if acked and acked + APART < t.at]
        last = max(settled, default=None)
        if last is None:
            continue
        allowed = [holders for at, _, holders in made[last:] if at <= t.at]
        if not any(holders is not None and t.streamer in holders for holders in allowed):
            yield f"{t.pb}: {t.title} at streamer {t.streamer}, which does not hold it"


def report(facts):
    found = list(wrong(facts))
    swaps = sum(n["what"] == "swapped" and n["code"] == 200 for n in facts.runner)
    lost = sum(n["what"] == "swapped" and n["code"] not in (200, 422) for n in facts.runner)
    return {"swaps": swaps, "swaps_not_made": lost, "wrong_placements": len(found), "misplaced": found[:20]}
