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


def whole(f, key, default=None, least=None, most=None):
    """A whole number from `least` to `most`; raises Malformed, which names the key."""
    value = f.get(key, default)
    if value is None:
        raise Malformed(f"'{key}' is missing")
    try:
        value = int(value) if not str(value).endswith(".0") else int(str(value)[:-2])  # as JSON may have it
    except ValueError:
        raise Malformed(f"'{key}={str(value)[:40]}' is not a whole number") from None
    return _bounded(key, value, least, most)


def number(f, key, default=None, least=None, most=None):
    """A finite number from `least` to `most`; raises Malformed, which names the key."""
    value = f.get(key, default)
    if value is None:
        raise Malformed(f"'{key}' is missing")
    try:
        value = float(value)
    except ValueError:
        raise Malformed(f"'{key}={str(value)[:40]}' is not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise Malformed(f"'{key}' is not a finite number")
    return _bounded(key, value, least, most)


def _bounded(key, value, least, most):
    if least is not None and value < least:
        raise Malformed(f"'{key}={value}' is under {least}")
    if most is not None and value > most:
        raise Malformed(f"'{key}={value}' is over {most}")
    return value


def text(f, key):
    value = f.get(key)
    if value is None:
        raise Malformed(f"'{key}' is missing")
    return value


def numbers(f, key, count=None, default=0.0, least=None, most=None):
    """A list of plain numbers; with `count` there are so many, or none, which makes them all `default`."""
    parts = [p for p in f.get(key, "").split(",") if p != ""]
    out = [number({key: p}, key, None, least, most) for p in parts]
    if count is None or len(out) == count:
        return out
    if out:
        raise Malformed(f"'{key}' has {len(out)} values where there are {count}")
    return [default] * count


# Names that the pages have (WIRE, "The settings") and that nothing here needs, or not always; * is any place.
UNNEEDED = frozenset(
    [
        "areas",
        "counted_by",
        "kind_of_service",
        "over_share_worth",
        "profiles",
        "registry_mode",
        "tenants",
        "tick_ns",
        "tier",
        "tiers",
        "weights",
        "zone",
        "ceilings.cancel",
        "ceilings.connect_timeout_ns",
        "ceilings.cpu_us_per_request",
        "ceilings.cpu_us_per_s",
        "ceilings.keepalive_ns",
        "ceilings.max_open",
        "ceilings.max_retry_after_ns",
        "ceilings.max_streams",
        "ceilings.second_copies",
        "clients.marks_retry",
        "family_info.fleet_kb",
        "family_info.reports_every_ns",
        "goal.whole",
        "goal.worst_class",
        "goal.worst_tenant",
        "goal.worst_window",
        "prices.connection",
        "prices.cross_zone",
        "prices.handshake",
        "prices.late_fail",
        "prices.moves",
        "prices.origin",
        "prices.peer",
        "prices.probe",
        "prices.registry_mode",
        "prices.waste",
        "profiles.*.aim_stretch",
        "profiles.*.key_scope",
        "profiles.*.late_worth",
        "profiles.*.stream",
        "profiles.*.window_ns",
        "rules.ask_within_ns",
        "rules.drain_grace_ns",
        "tenants.count",
        "tenants.*.name",
        "tenants.*.quota_rps",
        "tenants.*.share",
    ]
)


class Read(dict):
    """Settings that keep in mind which of them were asked for."""

    def __init__(self, f):
        super().__init__(f)
        self.used = set()

    def get(self, key, default=None):
        self.used.add(key)
        return super().get(key, default)

    def unknown(self):
        """Names that nothing asked for and no page has: misspelt ones show up here."""
        return sorted(
            {
                ".".join("*" if part.isdecimal() else part for part in key.split("."))
                for key in self.keys() - self.used
            }
            - UNNEEDED
        )


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


def _count(f, key):
    """How many objects a list holds; a bound, as each is then looked for."""
    return whole(f, key + ".count", 0, 0, 1000)


def deadlines(f):
    """Plan -> ns after which its viewers give up at the latest."""
    return {
        text(f, f"profiles.{n}.name"): whole(f, f"profiles.{n}.deadline_ns", 0, 0)
        for n in range(_count(f, "profiles"))
    }


def _plans(f, rungs):
    count = _count(f, "profiles")
    names = [text(f, f"profiles.{n}.name") for n in range(count)]
    floors = numbers(f, "family_info.lowest_rung", count, 0, 0, rungs - 1)
    seats = numbers(f, "family_info.class_seats", count, 0, 0)
    scales = numbers(f, "family_info.scale_by_class", count, 1.0, 1e-6, 1e6)
    tops = numbers(f, "family_info.top_by_class", count, 1e9, 0)
    live = f.get("family_info.class_live", "").split(",")
    if live != [""] and len(live) != count:
        raise Malformed(f"'family_info.class_live' has {len(live)} values where there are {count}")
    adds = number(f, "family_info.shared_adds", 1, 1e-6, 1)
    plans = {}
    for n in range(count):
        key, name = f"profiles.{n}.", names[n]
        if name in plans:
            raise Malformed(f"'{key}name={name}' comes twice")
        if floors[n] > tops[n]:
            raise Malformed(f"'family_info.lowest_rung' of {name} is {floors[n]:g}, its highest {tops[n]:g}")
        target, abandon = whole(f, key + "slo_ns", 0, 0), whole(f, key + "deadline_ns", 0, 0)
        if abandon and target > abandon:
            raise Malformed(f"'{key}slo_ns={target}' is over '{key}deadline_ns={abandon}'")
        plans[name] = Plan(
            name=name,
            revenue=number(f, key + "worth", 1, 0),
            scale=scales[n],
            floor=int(floors[n]),
            top=int(tops[n]),
            seats=int(seats[n]),
            startup_target=target or abandon,
            # any other effect is taken as paid at set-up, the strictest: also one that is not known here
            repeatable=f.get(key + "effect") == "idempotent",
            adds=adds if live[min(n, len(live) - 1)] in ("true", "1") else 1.0,
        )
    return plans


def _ladder(f):
    rates = tuple(numbers(f, "family_info.rung_kb", None, 0, 1e-6))
    if not rates:
        raise Malformed("'family_info.rung_kb' is missing")
    if any(b <= a for a, b in zip(rates, rates[1:], strict=False)):
        raise Malformed("'family_info.rung_kb' does not rise")
    return Ladder(
        rates=rates,
        revenue=tuple(numbers(f, "family_info.worth_by_rung", len(rates), 1.0, 0)),
        shortfall_cost=number(f, "family_info.shortfall_cost", 0, 0),
        switch_cost=int(number(f, "family_info.switch_cost_s", 0, 0, 1e6) * 1e9),
    )


def deployment(f):
    """What the decisions are handed, names of a load report's values, the layout; raises Malformed."""
    ladder = _ladder(f)
    kinds = [k for k in f.get("host_types", "").split(",") if k]
    fields = f.get("load_report.fields", "").split(",")
    extra, share = number(f, "rules.free_resends", -1), number(f, "rules.repeat_ratio", 0, 0)
    asked = f.get("registry_mode") == "subscribe"
    allows = {k: f.get("ceilings." + k) in ("true", "1") for k in ("retry_after", "probes", "peer_messages")}
    controllers = whole(f, "replicas_of_me", 1, 1)
    places = numbers(f, "family_info.places_by_kind", len(kinds), 0, 0)
    made = Deployment(
        seed=whole(f, "seed", 0),
        rank=whole(f, "rank", 0, 0, controllers - 1),
        controllers=controllers,
        zone=f.get("zone", ""),
        plans=_plans(f, len(ladder.rates)),
        ladder=ladder,
        links=Links(
            unit_kb=number(f, "family_info.link_unit_kb", 1, 1e-6),
            uplink_kb=number(f, "family_info.rack_kb", 0, 0) or number(f, "family_info.fleet_kb", 1e12, 1e-6),
            places={kind: n for kind, n in zip(kinds, places, strict=True) if n},
            lag=whole(f, "family_info.see_ns", 0, 0),
            refuses_from=number(f, "family_info.refuses_from", 0, 0),
            told=f.get("load_report.how", "answers") == "answers"
            and any(REPORTED.get(name) == "link" for name in fields),
        ),
        rules=Rules(
            answer_slack=whole(f, "rules.grace_to_answer_ns", 0, 0),
            cold_for=max(1, whole(f, "rules.cold_ns", 1, 0)),
            cold_share=number(f, "rules.start_capacity", 1, 0, 1),
            fall_multiple=number(f, "rules.tip_multiple", 1, 0),
            fall_window=max(1, whole(f, "rules.overload_for_ns", 1, 0)),
            try_limit=whole(f, "ceilings.try_limit", 1, 0),
            extra_tries=None if extra < 0 and not share else max(0, int(extra)),
            extra_share=share,
            extra_window=whole(f, "rules.budget_span_ns", 0, 0),
            longest_advice=whole(f, "ceilings.max_retry_after_ns", 0, 0) if allows["retry_after"] else 0,
            probes=allows["probes"],
            peers=allows["peer_messages"],
            list_within=max(1, whole(f, "rules.ask_within_ns", 1, 0)) if asked else 0,
        ),
    )
    layout = Layout(max(1, whole(f, "family_info.places", 1, 0)), max(1, whole(f, "family_info.racks", 1, 0)))
    return made, fields, layout
