"""A day second by second: what was asked for and answered, what played, what could have been carried.

True state: links, uplinks and places as the runner and the stand-ins noted them, faults included; nothing
that a controller believed."""

from collections import defaultdict
from dataclasses import dataclass, field
from statistics import fmean, pstdev

from terndrift.audit.judge import controller_of, ends

SECOND = 1_000_000_000
# Streamers with one of these, or down, carry nothing that is new.
UNFIT = ("die", "still", "full", "error", "break", "late")
# With fewer asked in a second "under half of them" is chance.
LEAST = 4


@dataclass
class Row:
    """A second of the day; kB a second where kB is said."""

    asked: int = 0
    in_target: int = 0
    refused: int = 0
    seatless: int = 0  # of the asked: their controller had no seat left
    tries: int = 0
    playing: int = 0
    floor_kb: float = 0.0  # of what plays and is asked for, all at the floor
    room_kb: float = 0.0  # what racks and links give
    places: int = 0
    kb: dict = field(default_factory=dict)  # controller -> what its playbacks ask
    rungs: list = field(default_factory=list)  # of what plays
    link_use: list = field(default_factory=list)  # asked over given, streamer by streamer
    rack_use: list = field(default_factory=list)

    def wanted(self):
        return self.asked - self.seatless

    def carried(self):
        """Whether all could have been carried at the floor."""
        return self.floor_kb <= self.room_kb and self.playing + self.wanted() <= self.places

    def low(self):
        return self.wanted() >= LEAST and 2 * self.in_target < self.wanted() and self.carried()


def played(facts):
    """What played, from its set-up's answer to its end, with its rungs over time:
    [(pb, title, streamer, from, until, [(from, rung)])]."""
    out = []
    for t in facts.tries:
        if t.code == 200:
            until = ends(facts, t)
            rungs = [(at, rung) for at, rung in facts.media.get(t.pb, ()) if t.over <= at <= until]
            out.append((t.pb, t.title, t.streamer, t.over, until, rungs))
    return out


def rung_at(rungs, at, first=0):
    return next((rung for when, rung in reversed(rungs) if when <= at), first)


def rows(facts, seconds):
    """The day's seconds; [] where the runner told nothing of the fleet."""
    told = next((n for n in facts.runner if n["what"] == "fleet"), None)
    if told is None:
        return []
    begin, out = told["begin"], [Row() for _ in range(seconds)]
    spans = played(facts)
    _asks(facts, spans, begin, out)
    for t in facts.tries:
        n = (t.at - begin) // SECOND
        if 0 <= n < seconds:
            out[n].tries += 1
    for n, row in enumerate(out):
        _carries(facts, told, begin + n * SECOND, row)
    _plays(facts, told, spans, begin, out)
    return out


def in_target(facts, ask):
    well = bool(ask.answers) and ask.answers[0][1] == 200
    return well and ask.answers[0][0] - ask.at <= facts.plan_of(ask.title)["startup_target"]


def seatless(facts, spans):
    """A function of an ask: whether its controller had no seat left for it, and did not answer in target."""
    held = defaultdict(list)
    for pb, title, _, since, until, _ in spans:
        held[controller_of(pb), title].append((since, until))
    names = {address: name for name, address in facts.names.items()}

    def full(ask):
        seats, there = facts.plan_of(ask.title)["seats"], held[names.get(ask.controller), ask.title]
        return bool(seats) and not in_target(facts, ask) and sum(a <= ask.at < b for a, b in there) >= seats

    return full


def _asks(facts, spans, begin, out):
    no_seat = seatless(facts, spans)
    for ask in facts.asks.values():
        n = (ask.at - begin) // SECOND
        if not 0 <= n < len(out):
            continue
        plan, row = facts.plan_of(ask.title), out[n]
        row.asked += 1
        soon, full = in_target(facts, ask), no_seat(ask)
        row.seatless += full
        row.in_target += soon
        row.refused += bool(ask.answers) and ask.answers[0][1] == 503 and not full
        row.floor_kb += 0 if full else floor_kb(facts, plan)


def floor_kb(facts, plan):
    return facts.deployment["ladder"]["rates"][plan["floor"]] * plan["scale"] / 1000


def _carries(facts, told, at, row):
    """What the fleet gives at that time, less what is down or at fault."""
    faults = [n for n in facts.streamers if n["what"] == "fault" and n["t"] <= at < n["t"] + n["lasts"]]
    unfit = {id for n in faults if n["kind"] in UNFIT for id in n["streamers"]}
    weak = {id: n["size"] for n in faults if n["kind"] == "slow" for id in n["streamers"]}
    racks = {rack: n["size"] for n in faults if n["kind"] == "uplink" for rack in n["racks"]}
    for rack, given in told["uplinks"].items():
        there = [s for s in told["streamers"] if s["rack"] == int(rack) and s["id"] not in unfit]
        links = sum(s["link"] / weak.get(s["id"], 1.0) for s in there)
        row.room_kb += min(given / racks.get(int(rack), 1.0), links) / 1000
        row.places += sum(s["places"] for s in there)


def _plays(facts, told, spans, begin, out):
    ladder, given = facts.deployment["ladder"]["rates"], {s["id"]: s["link"] for s in told["streamers"]}
    rack_of = {s["id"]: s["rack"] for s in told["streamers"]}
    asked = [defaultdict(float) for _ in out]  # streamer -> bytes a second
    for pb, title, streamer, since, until, rungs in spans:
        plan = facts.plan_of(title)
        first = rungs[0][1] if rungs else plan["floor"]
        for n in range(max(0, -(-(since - begin) // SECOND)), min(len(out), -(-(until - begin) // SECOND))):
            row, rung = out[n], rung_at(rungs, begin + n * SECOND, first)
            rate = ladder[rung] * plan["scale"]
            row.playing += 1
            row.floor_kb += floor_kb(facts, plan)
            row.rungs.append(rung)
            name = controller_of(pb)
            row.kb[name] = row.kb.get(name, 0.0) + rate / 1000
            asked[n][streamer] += rate
    for n, row in enumerate(out):
        row.link_use = [asked[n][id] / given[id] for id in given]
        by_rack = defaultdict(float)
        for id in given:
            by_rack[rack_of[id]] += min(asked[n][id], given[id])
        row.rack_use = [by_rack[int(rack)] / up for rack, up in told["uplinks"].items()]


def report(facts, seconds):
    """`low_share`: of the day's seconds, those in which under half of what was asked for (and had a seat) was
    answered in target though all would have been carried at the floor; `spread`: how far controllers differ
    in the link that their playbacks ask for, as spread over mean, seconds averaged."""
    day = rows(facts, seconds)
    if not day:
        return {}
    longest = run = 0
    for row in day:
        run = run + 1 if row.low() else 0
        longest = max(longest, run)
    ups, downs, minutes = changes(facts)
    names = list(facts.names)
    spreads = [pstdev(kb) / fmean(kb) for row in day if any(kb := [row.kb.get(n, 0.0) for n in names])]
    wanted = sum(row.wanted() for row in day)
    return {
        "swing": {
            "low_share": round(sum(row.low() for row in day) / len(day), 4),
            "longest_low_s": longest,
            "up_a_minute": round(ups / minutes, 2) if minutes else 0.0,
            "down_a_minute": round(downs / minutes, 2) if minutes else 0.0,
            "spread": round(fmean(spreads), 3) if spreads else 0.0,
            "no_seat": sum(row.seatless for row in day),
            "refused_share": round(sum(row.refused for row in day) / wanted, 4) if wanted else 0.0,
            "in_target_share": round(sum(row.in_target for row in day) / wanted, 4) if wanted else 0.0,
        }
    }


def changes(facts):
    """(changes of rung up, down, minutes played)."""
    ups = downs = 0
    minutes = 0.0
    for _, _, _, since, until, rungs in played(facts):
        minutes += (until - since) / (60 * SECOND)
        for (_, a), (_, b) in zip(rungs, rungs[1:], strict=False):
            ups, downs = ups + (b > a), downs + (b < a)
    return ups, downs, minutes
