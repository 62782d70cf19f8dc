"""The text wire: lines to fields and back. Knows names and forms, decides nothing."""

from terndrift.interface import Deployment, Ending, Ladder, Links, Listed, Plan, Rules, Standing


class Malformed(Exception):
    """A line that can't be read; the text says what is wrong with it."""


ENDINGS = {
    "completed": Ending.PLAYED_OUT,
    "errored": Ending.ERRED,
    "saturated": Ending.FULL,
    "overdue": Ending.SILENT,
    "refused_conn": Ending.UNREACHED,
    "severed": Ending.BROKEN,
    "recalled": Ending.CALLED_OFF,
    "superseded": Ending.NEVER_SENT,
}
REPORTED = {"active": "streams", "x0": "link", "x1": "uplink"}


def fields(line):
    """A line's name and its fields."""
    name, _, rest = line.partition(" ")
    out = {}
    for part in rest.split(" ") if rest else ():
        key, eq, value = part.partition("=")
        if not eq or not key:
            raise Malformed(f"'{part}' is not name=value")
        out[key] = value
    return name, out


def whole(f, key, default=None):
    value = f.get(key, default)
    if value is None:
        raise Malformed(f"'{key}' is missing")
    try:
        return int(value)
    except ValueError:
        raise Malformed(f"'{key}={value}' is not a whole number") from None


def number(f, key, default=None):
    value = f.get(key, default)
    if value is None:
        raise Malformed(f"'{key}' is missing")
    try:
        value = float(value)
    except ValueError:
        raise Malformed(f"'{key}={value}' is not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise Malformed(f"'{key}' is not a finite number")
    return value


def text(f, key):
    value = f.get(key)
    if value is None:
        raise Malformed(f"'{key}' is missing")
    return value


def one_of(f, key, table):
    value = text(f, key)
    if value not in table:
        raise Malformed(f"'{key}={value}' is not known")
    return table[value]


def numbers(f, key, count=None, default=0.0):
    """A list of plain numbers; with `count`, cut or filled up to so many."""
    parts = [p for p in f.get(key, "").split(",") if p != ""]
    out = [number({key: p}, key) for p in parts]
    if count is not None:
        out = (out + [default] * count)[:count]
    return out


STANDINGS = {str(s.value): s for s in Standing}


def listed(line):
    """A line of the server list; its rack follows from the cell once the settings are known."""
    name, f = fields(line)
    if name != "entry":
        raise Malformed(f"'entry' expected, not '{name}'")
    return Listed(
        id=whole(f, "streamer"),
        kind=f.get("generation_hw", ""),
        zone=f.get("az", ""),
        cell=int(number(f, "place", 0)),
        rack=0,
        standing=one_of(f, "state", STANDINGS),
        weight=number(f, "weight", 1),
        started=whole(f, "online_since_ns", 0),
    )


def report(f, names):
    """The load report of an answer, by our names; values that can't be read are left out."""
    out = {}
    for name, value in zip(names, f.get("telemetry", "").split(","), strict=False):
        if name in REPORTED:
            try:
                out[REPORTED[name]] = float(value)
            except ValueError:
                continue
    return out


def deployment(f):
    """The settings of an instance, the names of its report's values, and how many cells and racks it has."""
    count = whole(f, "profiles.count", 0)
    floors = numbers(f, "family_info.lowest_rung", count)
    seats = numbers(f, "family_info.class_seats", count)
    scales = numbers(f, "family_info.scale_by_class", count, 1.0)
    tops = numbers(f, "family_info.top_by_class", count, 1e9)
    plans = {}
    for n in range(count):
        key = f"profiles.{n}."
        plans[text(f, key + "name")] = Plan(
            name=text(f, key + "name"),
            revenue=number(f, key + "worth", 1),
            scale=scales[n],
            floor=int(floors[n]),
            top=int(tops[n]),
            seats=int(seats[n]),
            startup_target=whole(f, key + "slo_ns", 0) or whole(f, key + "deadline_ns", 0),
            repeatable=f.get(key + "effect") == "idempotent",
        )
    rates = tuple(numbers(f, "family_info.rung_kb"))
    kinds = [k for k in f.get("host_types", "").split(",") if k]
    extra = int(number(f, "rules.free_resends", -1))
    share = number(f, "rules.repeat_ratio", 0)
    allows = {k: f.get("ceilings." + k) in ("true", "1") for k in ("retry_after", "probes", "peer_messages")}
    made = Deployment(
        seed=whole(f, "seed", 0),
        rank=whole(f, "rank", 0),
        controllers=max(1, whole(f, "replicas_of_me", 1)),
        zone=f.get("zone", ""),
        plans=plans,
        ladder=Ladder(
            rates=rates,
            revenue=tuple(numbers(f, "family_info.worth_by_rung", len(rates))),
            shortfall_cost=number(f, "family_info.shortfall_cost", 0),
            switch_cost=int(number(f, "family_info.switch_cost_s", 0) * 1e9),
        ),
        links=Links(
            unit_kb=number(f, "family_info.link_unit_kb", 1),
            uplink_kb=number(f, "family_info.rack_kb", 0) or number(f, "family_info.fleet_kb", 1e12),
            places=dict(zip(kinds, numbers(f, "family_info.places_by_kind", len(kinds)), strict=True)),
            lag=whole(f, "family_info.see_ns", 0),
            refuses_from=number(f, "family_info.refuses_from", 0),
        ),
        rules=Rules(
            answer_slack=whole(f, "rules.grace_to_answer_ns", 0),
            cold_for=max(1, whole(f, "rules.cold_ns", 1)),
            cold_share=number(f, "rules.start_capacity", 1),
            fall_multiple=number(f, "rules.tip_multiple", 1),
            fall_window=whole(f, "rules.overload_for_ns", 0),
            try_limit=whole(f, "ceilings.try_limit", 1),
            extra_tries=None if extra < 0 and not share else max(0, extra),
            extra_share=share,
            extra_window=whole(f, "rules.budget_span_ns", 0),
            longest_advice=whole(f, "ceilings.max_retry_after_ns", 0) if allows["retry_after"] else 0,
            probes=allows["probes"],
            peers=allows["peer_messages"],
        ),
    )
    layout = max(1, whole(f, "family_info.places", 1)), max(1, whole(f, "family_info.racks", 1))
    return made, f.get("load_report.fields", "").split(","), layout
