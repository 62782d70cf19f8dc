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


def stale(facts):
    """Tries of a controller that had come back, by a word older than its return: none of the title's states
    since the last change that half of the controllers had acknowledged by then allows them."""
    acked, made = defaultdict(set), defaultdict(dict)  # number -> who; title -> number -> (at, holders)
    names = {address: name for name, address in facts.names.items()}
    ups = {
        names.get(address): [up for _, up in downs if up] for address, downs in facts.controller_downs.items()
    }
    notes = sorted((n for n in facts.runner if n["what"] in ("swap", "swapped")), key=lambda n: n["t"])
    at_half = {}  # number -> when half had it
    for n in notes:
        if n["what"] == "swap":
            made[n["title"]].setdefault(n["number"], (n["t"], n["holders"]))
        elif n["code"] == 200:
            acked[n["number"]].add(n["controller"])
            if 2 * len(acked[n["number"]]) >= len(facts.names):
                at_half.setdefault(n["number"], n["t"])
    for t in facts.tries:
        up = max((at for at in ups.get(controller_of(t.pb), ()) if at <= t.at), default=None)
        if up is None or t.title not in made:
            continue
        states = made[t.title]
        last = max((k for k in states if at_half.get(k, up) + APART < up), default=None)
        if last is None:
            continue
        allowed = [holders for k, (at, holders) in states.items() if k >= last and at <= t.at]
        if not any(holders is not None and t.streamer in holders for holders in allowed):
            yield f"{t.pb}: {t.title} at streamer {t.streamer}, by a word from before its return"


def report(facts):
    found = list(wrong(facts))
    swaps = sum(n["what"] == "swapped" and n["code"] == 200 for n in facts.runner)
    lost = sum(n["what"] == "swapped" and n["code"] not in (200, 422) for n in facts.runner)
    return {
        "swaps": swaps,
        "swaps_not_made": lost,
        "wrong_placements": len(found),
        "misplaced": found[:20],
        "stale": list(stale(facts))[:20],
    }
