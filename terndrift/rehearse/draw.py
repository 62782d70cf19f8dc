"""A day drawn: from a day's record and a seed to who comes when, what breaks when, and what the list says.

Free of I/O; the same record, seed and sizes give the same day.
"""

import random
from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass
class Drawn:
    streamers: list = field(default_factory=list)  # dicts: name, id, rack, link
    uplinks: dict = field(default_factory=dict)  # rack -> bytes a second
    faults: list = field(default_factory=list)  # dicts as fleet.rec's #Fault, times in ns
    edits: list = field(default_factory=list)  # (ns, streamer id, standing, ns of its start or None)
    kills: list = field(default_factory=list)  # (ns, controller's number, ns until it starts, its own store)
    swaps: list = field(default_factory=list)  # (ns, title, ids of its holders; None: removed)
    churn: list = field(default_factory=list)  # (ns, kind, streamer id, what it is from then on)
    between: list = field(default_factory=list)  # (ns, kind, numbers of controllers, ns, size): between them
    stream_faults: list = field(default_factory=list)  # (ns, kind)
    arrivals: list = field(default_factory=list)  # dicts of viewers, in order of time


def drawn(day, seed, controllers, streamers, seconds):
    chance, out = random.Random(seed), Drawn()
    racks = min(day["fleet"]["racks"], streamers)
    uneven = day["fleet"]["uneven"]
    for n in range(streamers):
        link = day["fleet"]["link"] * (1 + uneven * chance.uniform(-1, 1))
        kind = "room" if n < day["calls"]["rooms"] else day["fleet"]["kind"]
        out.streamers.append({"name": f"s{n}", "id": 100 + n, "rack": n % racks, "link": link, "kind": kind})
    for rack in range(racks):
        links = sum(s["link"] for s in out.streamers if s["rack"] == rack)
        out.uplinks[rack] = links * day["fleet"]["uplink"] * (1 + uneven * chance.uniform(-1, 1))
    rates = [(0, day["viewers"]["rate"])]
    late = day["list_late"]
    for trouble in day["troubles"]:
        at = int(trouble["from"] * seconds * SECOND)
        kind, lasts = trouble["kind"], trouble["lasts"]
        some = _share(chance, [s["id"] for s in out.streamers], trouble["share"])
        fault = {
            "at": at,
            "lasts": lasts,
            "kind": kind,
            "size": trouble["size"],
            "streamers": some,
            "racks": [],
        }
        if kind == "surge":
            rates += [(at, day["viewers"]["rate"] * trouble["size"]), (at + lasts, day["viewers"]["rate"])]
        elif kind == "kill":
            some = _share(chance, range(controllers), trouble["share"])
            out.kills += [(at, n, lasts, store) for n, store in _stores(chance, some, trouble)]
        elif kind in ("cut", "lossy", "stop", "wipe", "rewind"):
            among = range(day["members"]["voters"] if kind in ("wipe", "rewind") else controllers)
            some = _share(chance, among, trouble["share"]) if kind != "lossy" else []
            out.between.append((at, kind, some, lasts, trouble["size"]))
        elif kind == "uplink":
            weak = _share(chance, range(racks), trouble["share"])
            out.faults.append({**fault, "streamers": [], "racks": weak})
        elif kind == "roll":
            _roll(out, some, at, lasts, late)
        else:
            out.faults.append(fault)
            if kind == "die":
                out.edits += [(at + late, i, "gone", None) for i in some]
                out.edits += [(at + lasts + late, i, "ready", at + lasts) for i in some]
    out.edits.sort(key=lambda e: e[:2])
    _swaps(out, day, chance, seconds)
    _churn(out, day, chance, seconds)
    out.arrivals = _viewers(day, chance, rates, seconds)
    return out


def _share(chance, among, share):
    among = list(among)
    return sorted(chance.sample(among, max(1, round(share * len(among)))))


def _stores(chance, some, trouble):
    """[(number, what its own store is when it starts again: kept, wiped, old)]."""
    mixed = chance.sample(some, len(some)) if trouble["wiped"] or trouble["old"] else list(some)
    wiped, old = (round(trouble[part] * len(some)) for part in ("wiped", "old"))
    what = ["wiped"] * wiped + ["old"] * old
    return sorted(zip(mixed, what + ["kept"] * (len(some) - len(what)), strict=True))


def _swaps(out, day, chance, seconds):
    """Title by title, so that each stands for a while: its holders become another half of the streamers."""
    every, titles = day["swaps"]["every"], sorted(day["deployment"]["titles"])
    ids = [s["id"] for s in out.streamers]
    for n in range(int(seconds * SECOND // every) if every else 0):
        gone = chance.random() < day["swaps"]["drops"]
        holders = None if gone else sorted(chance.sample(ids, max(3, len(ids) // 2)))
        out.swaps.append((n * every, titles[n % len(titles)], holders))


# What happens to the streams of a list that is followed over xDS.
STREAM_FAULTS = ("reset", "repeat", "silent", "half invalid", "wrong type", "restart", "nobody")


def _churn(out, day, chance, seconds):
    """Streamers taken off the list, drained or told unhealthy for some seconds, never more than a third at
    once; the other changes are of weights, and of the cluster that a streamer is listed in."""
    every, ids, back = day["churn"]["every"], [s["id"] for s in out.streamers], {}
    for n in range(int(seconds * SECOND // every) if every else 0):
        at = n * every
        due = [id for id, when in back.items() if when <= at]
        if due:
            del back[due[0]]
            out.churn.append((at, "standing", due[0], "ready"))
        elif chance.random() < day["churn"]["off"] and len(back) < len(ids) // 3:
            id = chance.choice([i for i in ids if i not in back])
            back[id] = at + int(chance.uniform(2, 5) * SECOND)
            out.churn.append((at, "standing", id, chance.choice(("removed", "draining", "gone"))))
        elif chance.random() < 0.8:
            out.churn.append((at, "weight", chance.choice(ids), round(chance.uniform(0.5, 1.5), 2)))
        else:
            out.churn.append((at, "cluster", chance.choice(ids), chance.randrange(4)))
    for n in range(1, int(seconds * SECOND // day["churn"]["faults"]) if every else 0):
        out.stream_faults.append((n * day["churn"]["faults"], chance.choice(STREAM_FAULTS)))


def _roll(out, ids, at, lasts, late):
    """One after the other: told to drain, gone after a third of its turn, back cold after two thirds."""
    turn = lasts // len(ids)
    for n, id in enumerate(ids):
        begin = at + n * turn
        gone, back = begin + turn // 3, begin + 2 * turn // 3
        out.faults.append(
            {"at": gone, "lasts": back - gone, "kind": "die", "size": 1.0, "streamers": [id], "racks": []}
        )
        out.edits += [(begin, id, "draining", None), (back + late // 3, id, "ready", back)]


ODD = (  # hints that players get wrong: the set-up must play all the same
    {"CMCD-Request": 'bl=,mtp=-3,,dl="x"'},
    {"CMCD-Object": "tb=1,br=99999999999999999999"},
    {"CMCD-Session": 'sid="' + "x" * 300 + '",cid=5'},
    {"CMCD-Status": "bs=maybe,rtp"},
)


def _viewers(day, chance, rates, seconds):
    titles = sorted(day["deployment"]["titles"])
    weights = [1 / (n + 1) ** day["viewers"]["zipf"] for n in range(len(titles))]
    chance.shuffle(titles)
    ladder = day["deployment"]["ladder"]["rates"]
    rates, out, at, n = sorted(rates), [], 0.0, 0
    while True:
        now = int(at * SECOND)
        rate = [r for t, r in rates if t <= now][-1]
        at += chance.expovariate(rate)
        if at >= seconds:
            return out
        title = chance.choices(titles, weights)[0]
        row = day["deployment"]["titles"][title]
        plan = day["deployment"]["plans"][row["plan"]]
        small = chance.random() < day["viewers"]["small"]
        top = max(plan["floor"], len(ladder) // 2 - 1) if small else len(ladder) - 1
        leaves = chance.random() < day["viewers"]["leave"]
        length = row["seconds"] * (chance.uniform(0.3, 0.9) if leaves else 1)
        out.append(
            {
                "at": int(at * SECOND),
                "visit": f"v{n}",
                "title": title,
                "plan": row["plan"],
                "abandon": plan["abandon"] / SECOND,
                "seconds": length,
                "top_rung": top,
                "top": int(ladder[top] * plan["scale"] * 8 / 1000) if small else None,
                "returns": chance.random() < day["viewers"]["returns"],
                "pause": chance.uniform(0.5, 2.5),
                "call": title in day["calls"]["titles"],
                "bits": int(ladder[top] * plan["scale"] * 8),
                "odd": chance.randrange(len(ODD)) if chance.random() < day["viewers"]["odd"] else None,
                "luck": chance.random(),
            }
        )
        n += 1
