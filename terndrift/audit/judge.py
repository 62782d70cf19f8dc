"""The six rules, checked one by one against the facts; each break is told in a line."""

from collections import defaultdict

from terndrift.audit.facts import Facts  # noqa: F401 - what callers hand in

MS = 1_000_000
# Two processes note one event at different moments, as each waits for its turn of the processor.
APART = 100 * MS


def answers(facts):
    """Rule 1: one answer by the abandon time for each request that a running controller took."""
    for ask in facts.asks.values():
        # a datagram sent to a controller that is down is sent again, and taken once it is up: its time left
        # is counted by what it says of itself, from then
        until = max(ask.until, facts.up_again(ask.controller, ask.at) + ask.until - ask.at)
        if len(ask.answers) == 1 and ask.answers[0][0] <= until:
            continue
        if not ask.answers and facts.was_down(ask.controller, ask.at - APART, ask.until):
            continue
        if not ask.answers:
            yield f"{ask.ask}: no answer"
        elif len(ask.answers) > 1:
            yield f"{ask.ask}: {len(ask.answers)} answers"
        else:
            yield f"{ask.ask}: answered {(ask.answers[0][0] - until) / MS:.0f} ms after its abandon time"


def set_ups(facts):
    """Rule 2: paid once, and never two tries out at once."""
    for pb, tries in facts.by_pb.items():
        for before, after in zip(tries, tries[1:], strict=False):
            if not before.over and not _ended_with_streamer(facts, before, after):
                yield f"{pb}: try {after.number} while try {before.number} was out"
            elif before.over > after.at + APART:
                early = (before.over - after.at) / MS
                yield f"{pb}: try {after.number} came {early:.0f} ms before the end of try {before.number}"
            if not facts.plan_of(after.title)["repeatable"] and before.may_have_run():
                yield f"{pb}: paid, and set up again after try {before.number} may have run"
    by_visit = defaultdict(list)
    for t in facts.tries:
        by_visit[facts.visit_of.get(t.pb)].append(t)
    for ask in facts.asks.values():
        if facts.plan_of(ask.title)["repeatable"] or not ask.answers or ask.answers[0][1] != 503:
            continue
        for t in by_visit[ask.visit]:
            if ask.at <= t.at <= ask.answers[0][0] and t.may_have_run():
                yield f"{t.pb}: paid, and rejected though try {t.number} may have run"


def _ended_with_streamer(facts, before, after):
    return any(before.at <= down <= after.at + APART for down in facts.downs[before.streamer])


def off_since(facts):
    """A function of a try: since when its streamer had been told off to its controller without a break, or
    None. A list in a file tells every controller; a source, each by itself, by what it sent on its stream."""
    told = defaultdict(list)
    for n in sorted(facts.runner, key=lambda n: n.get("at", n["t"])):
        if n["what"] == "listed":
            told[None, n["streamer"]].append((n["t"], n["standing"]))
        elif n["what"] == "told":
            for id, standing in n["standings"].items():
                told[n["controller"], int(id)].append((n["at"], standing))

    def since(t):
        off = None
        for key in ((None, t.streamer), (controller_of(t.pb), t.streamer)):
            for at, standing in told.get(key, ()):
                if at > t.at:
                    break
                off = None if standing == "ready" else off or at
        return off

    return since


def drains(facts):
    """Rule 3: nothing new past the grace after being told that a streamer drains or is gone."""
    told = off_since(facts)
    for t in facts.tries:
        off = told(t)
        if off is not None and t.at > off + facts.told_within + facts.rules["drain_grace"]:
            yield f"{t.pb}: sent to streamer {t.streamer} {(t.at - off) / MS:.0f} ms after it was listed off"


def cold(facts):
    """Rule 4: no cold streamer is pushed over, and none is sent more than its pace allows."""
    for n in facts.fell:
        yield f"streamer {n['streamer']} fell over: {n['recent']} set-ups, {n['allowed']:.1f} are allowed"
    rules, places = facts.rules, facts.deployment["links"]["places"]
    by_streamer = defaultdict(list)
    for t in facts.tries:
        by_streamer[t.streamer].append(t.at)
    for streamer, times in by_streamer.items():
        times.sort()
        room = places.get(facts.kinds.get(streamer)) or min(places.values())
        for n, at in enumerate(times):
            began = facts.started_before(streamer, at)
            if not began or at - began >= rules["cold_for"]:
                continue
            window = [x for x in times[: n + 1] if x > max(began, at - rules["fall_window"])]
            warm = rules["cold_share"] + (1 - rules["cold_share"]) * (at - began) / rules["cold_for"]
            allowed = rules["fall_multiple"] * room / rules["cold_for"] * warm * rules["fall_window"] + 2
            if len(window) > allowed:
                yield f"streamer {streamer}: {len(window)} set-ups in a window that allows {allowed:.1f}"


def terms(facts):
    """Rule 5: no rung under the floor, no more playbacks of a title and plan than seats."""
    rates = facts.deployment["ladder"]["rates"]
    for t in facts.tries:
        plan = facts.plan_of(t.title)
        lowest = int(rates[plan["floor"]] * plan["scale"] * 8 / 1000)
        if t.br < lowest:
            yield f"{t.pb}: set up at {t.br} kbit/s under the floor of {lowest}"
    titles = {t.pb: t.title for t in facts.tries}
    for pb, seen in facts.media.items():
        floor = facts.plan_of(titles[pb])["floor"] if pb in titles else 0
        for _, rung in seen:
            if rung < floor:
                yield f"{pb}: played on rung {rung} under the floor {floor}"
                break
    held = defaultdict(list)
    for t in facts.tries:
        if facts.plan_of(t.title)["seats"]:
            held[t.pb.rpartition("-")[0], t.title].append((t.at, ends(facts, t) - APART))
    for (controller, title), spans in held.items():
        steps = sorted([(a, 1) for a, b in spans if b > a] + [(b, -1) for a, b in spans if b > a])
        seats, now, most = facts.plan_of(title)["seats"], 0, 0
        for _, step in steps:
            now += step
            most = max(most, now)
        if most > seats:
            yield f"{controller}: {most} playbacks of {title} where {seats} have seats"


def controller_of(pb):
    """A playback's name begins with its controller's, then which run of it."""
    return pb.partition("~")[0]


def ends(facts, t):
    """When a try, or what played from it, was over for certain, as the streamer saw it."""
    if t.code != 200:
        return t.over or t.at
    ends = [t.over]
    if t.pb in facts.farewells:
        ends = [facts.farewells[t.pb]]
    elif t.pb in facts.media:
        ends = [facts.media[t.pb][-1][0]]
    ends += [down for down in facts.downs[t.streamer] if down >= t.at]
    address = facts.names.get(controller_of(t.pb))
    ends += [down for down, _ in facts.controller_downs.get(address, ()) if down >= t.at]
    return min(ends)


def budget(facts):
    """Rule 6: tries beyond the first stay within the budget, for each controller in any window."""
    rules = facts.rules
    if rules["extra_tries"] is None:
        return
    extra, taken = defaultdict(list), defaultdict(list)
    for t in facts.tries:
        if t.number > 1:
            extra[t.pb.rpartition("-")[0]].append(t.at)
    for ask in facts.asks.values():
        taken[ask.controller].append(ask.at)
    for name, times in extra.items():
        address = facts.names.get(controller_of(name))
        for at in times:
            since = at - rules["extra_window"]
            made = sum(since < x <= at for x in times)
            # what was asked just before the window, and reached the controller within it, is counted in
            asked = sum(since - APART < x <= at for x in taken[address])
            allowed = rules["extra_tries"] + rules["extra_share"] * asked
            if made > allowed:
                yield f"{name}: {made} tries beyond the first where {allowed:.1f} are allowed"


RULES = {
    "answers": answers,
    "set_ups": set_ups,
    "drains": drains,
    "cold": cold,
    "terms": terms,
    "budget": budget,
}


def report(facts):
    breaks = {name: list(rule(facts)) for name, rule in RULES.items()}
    bugs = [n["fault"] for n in facts.streamers if n["what"] == "bug"]
    return {
        "bugs": bugs[:20],
        "rules": {name: len(found) for name, found in breaks.items()},
        "breaks": {name: found[:20] for name, found in breaks.items() if found},
    }
