"""What controllers agreed on and held of each other, by what they answered and logged."""

from collections import defaultdict

from terndrift.audit.judge import APART, controller_of
from terndrift.audit.seconds import played
from terndrift.fleet.planned_work import TRANSITIONS, WorkState

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
    return {
        "fleet": {
            "agreed": len(agreed),
            "not_known": unknown,
            "lost": len(lost),
            "changed": len(changed),
            "doubled": len(doubled),
            "false_deaths": len(false),
            "false": [f"{by} of {of}" for _, by, of in false[:10]],
            "converged_s": next((n["s"] for n in facts.runner if n["what"] == "converged"), None),
            "same_at_end": bool(final) and all(n["same"] for n in final),
            "without_leader_s": without_leader(facts),
        }
    }


def worked(facts):
    """Of planned work: machines `done` of those planned; `touched_while_held`: playbacks, set-ups included,
    that somebody had on a machine as it was let go of, or asked for after that; `broken_off`: those of a
    controller that was cut off or stood still just then, which can't know; `over_budget_s`: with more out
    than the plan allows; `steps_doubled`: steps that do not follow from the one before; `stuck`, by state;
    `ended_early`: set-ups of visits that had played before; `took_s`: the whole plan."""
    planned = next((n for n in facts.runner if n["what"] == "work"), None)
    if planned is None:
        return {}
    out = {}  # streamer's id or controller's name -> [permit, handed back or 0]
    for n in sorted(facts.runner, key=lambda n: n["t"]):
        if n["what"] == "permit":
            out[n.get("streamer", n.get("controller"))] = [n["t"], 0]
        elif n["what"] == "handed back":
            out[n.get("streamer", n.get("controller"))][1] = n["t"]
    ends = next((n for n in facts.runner if n["what"] == "work ends"), {"states": {}, "took": None})
    logs = next((n["logs"] for n in facts.runner if n["what"] == "work steps"), {})
    states, later = ends["states"], ("done", "given back")
    held, broken = _held(facts, out)
    plays = [n["ask"] for n in facts.viewers if n["what"] == "answer" and n["code"] == 200]
    return {
        "work": {
            "by": planned["by"],
            "planned": len(planned["machines"]) + len(planned["controllers"]),
            "done": sum(state == "done" for state in states.values()),
            "touched_while_held": held,
            "broken_off": broken,
            "over_budget_s": round(_over(out, planned["most"]) / SECOND, 2),
            "steps_doubled": sum(not _follows(log) for log in logs.values()),
            "stuck": {m: s for m, s in states.items() if s not in later},
            "ended_early": len(plays) - len({facts.asks[ask].visit for ask in plays}),
            "took_s": ends["took"],
        }
    }


def _held(facts, out):
    held, broken, apart = 0, 0, disturbances(facts)
    for pb, _, streamer, since, until, _ in played(facts):
        mine = controller_of(pb)
        for who in (streamer, mine):
            at, _ = out.get(who, (0, 0))
            if since < at < until - APART:
                off = any(a <= at <= b and names and mine in names for a, b, names in apart)
                broken, held = broken + off, held + (not off)
    for t in facts.tries:
        at, back = out.get(t.streamer, (0, 0))
        held += bool(at) and at < t.at < (back or 10**18)
    return held, broken


def _over(out, most):
    """ns in which more streamers were out than may be; of controllers: more than one."""
    over = 0
    for some, most_out in ((int, most), (str, 1)):
        spans = [span for who, span in out.items() if isinstance(who, some)]
        now, since = 0, 0
        for at, change in sorted([(a, 1) for a, _ in spans] + [(b, -1) for _, b in spans if b]):
            over += (at - since) if now > most_out else 0
            now, since = now + change, at
    return over


def _follows(log):
    steps = zip(log, log[1:], strict=False)
    return log[0] == WorkState.WAITING.value and all(
        WorkState(b) in TRANSITIONS[WorkState(a)] for a, b in steps
    )


def disturbances(facts):
    """[(from, until, names or None for all)]: cuts, loss, stops and controllers that were down."""
    out = [
        (n["t"], n["t"] + n["lasts"], set(n["names"]) or None)
        for n in facts.runner
        if n["what"] == "disturbed"
    ]
    names = {address: name for name, address in facts.names.items()}
    for address, downs in facts.controller_downs.items():
        out += [(down, up or down + 10**15, {names.get(address)}) for down, up in downs]
    return out


def excused(facts, at, by, of):
    return any(
        since <= at <= until + AFTER and (who is None or who & {by, of})
        for since, until, who in disturbances(facts)
    )


def without_leader(facts):
    told = next((n for n in facts.runner if n["what"] == "fleet"), None)
    looks = [n for n in facts.runner if n["what"] == "looked"]
    if told is None or not looks:
        return None
    led = {
        (n["at"] - told["begin"]) // SECOND
        for n in looks
        if n["role"] == "leader" and n["age_s"] is not None and n["age_s"] < LATELY
    }
    day = {(n["at"] - told["begin"]) // SECOND for n in looks if n["at"] >= told["begin"]}
    return len(day - led)
