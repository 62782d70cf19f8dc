"""The operators' settings of a deployment, as the simulator and the platform both hand them out.

One object, flat here: path -> text, `profiles.0.name` and the like; a list of plain values is joined with
commas, a list of objects has its length under `.count` (WIRE, "The settings"). Reads them into what the
decisions are handed; decides nothing and needs the standard library alone.
"""

from dataclasses import dataclass

from terndrift.interface import Deployment, Ladder, Links, Plan, Rules


class Malformed(Exception):
    """Something that can't be read; the text says what is wrong with it."""


# Values of a load report, by our names. Of two that say the same the later one here holds: `cpu` is what is
# asked of the link too, but 1 at most.
REPORTED = {"active": "streams", "cpu": "link", "x0": "link", "x1": "uplink"}


def reported(said):
    """name -> number, as a load report has it, by our names."""
    return {ours: said[name] for name, ours in REPORTED.items() if name in said}


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


def numbers(f, key, count=None, default=0.0):
    """A list of plain numbers; with `count`, cut or filled up to so many."""
    parts = [p for p in f.get(key, "").split(",") if p != ""]
    out = [number({key: p}, key) for p in parts]
    if count is not None:
        out = (out + [default] * count)[:count]
    return out


def flat(value, path="", out=None):
    """The same object nested, as JSON has it, brought into the flat form."""
    out = {} if out is None else out
    if isinstance(value, dict):
        for key, part in value.items():
            flat(part, f"{path}.{key}" if path else key, out)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        out[f"{path}.count"] = str(len(value))
        for n, part in enumerate(value):
            flat(part, f"{path}.{n}", out)
    elif isinstance(value, list):
        out[path] = ",".join(_plain(part) for part in value)
    elif value is not None:
        out[path] = _plain(value)
    return out


def _plain(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else str(value)


@dataclass(frozen=True)
class Layout:
    """How many cells and racks there are: which cells hold a title, and which rack a cell stands in."""

    cells: int
    racks: int

    def holders(self, first, count):
        return frozenset((first + j) % self.cells for j in range(count))

    def rack(self, cell):
        return cell % self.racks


def abandons(f):
    """Plan -> ns after which its viewers give up at the latest."""
    return {text(f, f"profiles.{n}.name"): whole(f, f"profiles.{n}.deadline_ns", 0)
            for n in range(whole(f, "profiles.count", 0))}


def _plans(f):
    count = whole(f, "profiles.count", 0)
    floors = numbers(f, "family_info.lowest_rung", count)
    seats = numbers(f, "family_info.class_seats", count)
    scales = numbers(f, "family_info.scale_by_class", count, 1.0)
    tops = numbers(f, "family_info.top_by_class", count, 1e9)
    live = (f.get("family_info.class_live", "").split(",") + [""] * count)[:count]
    adds = number(f, "family_info.shared_adds", 1)
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
            adds=adds if live[n] in ("true", "1") else 1.0,
        )
    return plans


def deployment(f):
    """What the decisions are handed, the names of a load report's values, and the layout."""
    rates = tuple(numbers(f, "family_info.rung_kb"))
    kinds = [k for k in f.get("host_types", "").split(",") if k]
    extra = int(number(f, "rules.free_resends", -1))
    fields = f.get("load_report.fields", "").split(",")
    share = number(f, "rules.repeat_ratio", 0)
    asked = f.get("registry_mode") == "subscribe"
    allows = {k: f.get("ceilings." + k) in ("true", "1") for k in ("retry_after", "probes", "peer_messages")}
    made = Deployment(
        seed=whole(f, "seed", 0),
        rank=whole(f, "rank", 0),
        controllers=max(1, whole(f, "replicas_of_me", 1)),
        zone=f.get("zone", ""),
        plans=_plans(f),
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
            told=f.get("load_report.how", "answers") == "answers" and any(
                REPORTED.get(name) == "link" for name in fields),
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
            list_within=max(1, whole(f, "rules.ask_within_ns", 1)) if asked else 0,
        ),
    )
    layout = Layout(max(1, whole(f, "family_info.places", 1)), max(1, whole(f, "family_info.racks", 1)))
    return made, fields, layout
