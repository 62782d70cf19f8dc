"""What controllers agreed on and held of each other, by what they answered and logged."""

from collections import defaultdict

SECOND = 1_000_000_000
# A death told so long after the last disturbance of either side is told of one who was there and could be
# heard.
AFTER = 5 * SECOND
# A leader is one that says so and knows what is agreed as of so long ago.
LATELY = 2.0


def report(facts, deaths):
    """`agreed`: proposals answered as agreed; of these `lost`: some controller lacks it at the end;
    `changed`: has it at another place; `doubled`: it stands at two places. `false_deaths`: who was there and
    could be heard held for dead. `converged_s`: from the end of the last fault to all seeing each other and
    knowing what was agreed by then; None: not in time. `without_leader_s`: seconds in which nobody led."""
    agreed = {n["id"]: n["index"] for n in facts.runner if n["what"] == "proposed" and n["index"]}
    unknown = sum(n["what"] == "proposed" and not n["index"] for n in facts.runner)
    final = [n for n in facts.runner if n["what"] == "final"]
    places = defaultdict(set)
    for n in final:
        for id, index in (n["ids"] or {}).items():
            places[id].add(index)
    lost = [id for id in agreed if any(id not in (n["ids"] or {}) for n in final)]
    changed = [id for id, index in agreed.items() if places[id] - {index}]
    doubled = [id for id, at in places.items() if len(at) > 1]
    false = [d for d in deaths if not excused(facts, *d)]
    return {"fleet": {
        "agreed": len(agreed), "not_known": unknown, "lost": len(lost), "changed": len(changed),
        "doubled": len(doubled), "false_deaths": len(false),
        "false": [f"{by} of {of}" for _, by, of in false[:10]],
        "converged_s": next((n["s"] for n in facts.runner if n["what"] == "converged"), None),
        "same_at_end": bool(final) and all(n["same"] for n in final),
        "without_leader_s": without_leader(facts)}}


def worked(facts):
    """Of planned work: machines `done` of those planned; `touched_while_held`: set-ups, or media asked for,
    at one that a permit had let go of; `over_budget_s`: with more permits out than the plan allows;
    `stuck`, by state."""
    planned = next((n for n in facts.runner if n["what"] == "work"), None)
    if planned is None:
        return {}
    out, held, over = {}, 0, 0
    for n in sorted(facts.runner, key=lambda n: n["t"]):
        if n["what"] == "permit":
            out[n["streamer"]] = [n["t"], 0]
        elif n["what"] == "handed back" and not out[n["streamer"]][1]:
            out[n["streamer"]][1] = n["t"]
    for n in facts.streamers:
        span = out.get(n.get("streamer"))
        held += n["what"] in ("try", "media") and span is not None and span[0] < n["t"] < (span[1] or 10**18)
    steps = sorted([(a, 1) for a, _ in out.values()] + [(b, -1) for _, b in out.values() if b])
    now, since = 0, 0
    for at, step in steps:
        over += (at - since) if now > planned["most"] else 0
        now, since = now + step, at
    states = next((n["states"] for n in facts.runner if n["what"] == "work ends"), {})
    done = sum(state == "done" for state in states.values())
    return {"work": {"planned": len(planned["machines"]), "done": done, "touched_while_held": held,
                     "over_budget_s": round(over / SECOND, 2),
                     "stuck": {m: s for m, s in states.items() if s not in ("done", "given back")}}}


def disturbances(facts):
    """[(from, until, names or None for all)]: cuts, loss, stops and controllers that were down."""
    out = [(n["t"], n["t"] + n["lasts"], set(n["names"]) or None)
           for n in facts.runner if n["what"] == "disturbed"]
    names = {address: name for name, address in facts.names.items()}
    for address, downs in facts.controller_downs.items():
        out += [(down, up or down + 10**15, {names.get(address)}) for down, up in downs]
    return out


def excused(facts, at, by, of):
    return any(since <= at <= until + AFTER and (who is None or who & {by, of})
               for since, until, who in disturbances(facts))


def without_leader(facts):
    told = next((n for n in facts.runner if n["what"] == "fleet"), None)
    looks = [n for n in facts.runner if n["what"] == "looked"]
    if told is None or not looks:
        return None
    led = {(n["at"] - told["begin"]) // SECOND for n in looks
           if n["role"] == "leader" and n["age_s"] is not None and n["age_s"] < LATELY}
    day = {(n["at"] - told["begin"]) // SECOND for n in looks if n["at"] >= told["begin"]}
    return len(day - led)
