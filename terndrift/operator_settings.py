"""Reads the operators' settings of a deployment and builds the controller's `interface.Deployment`.

The simulator and the platform hand out the same settings object. It is read here in its flat form, a dict
path -> text with paths such as `profiles.0.name`: a list of plain values is joined with commas, the length
of a list of objects is under `.count` (WIRE, "The settings").

Called by `adapter.host` for each simulated controller and by `platform.settings` at start-up. Must not make
placement decisions, do I/O or import anything beyond the standard library and `terndrift.interface`.
"""

from dataclasses import dataclass

from terndrift.interface import Deployment, Ladder, Links, Plan, Rules


class MalformedInputError(Exception):
    """Input that can't be parsed; the message names the setting or field and what is wrong with it."""


# Field of a load report -> name of the value in `interface`. Where several fields of a report give one value,
# the last of them in this dict wins: `cpu` is the demand over the capacity of the link too, but capped at 1.
REPORT_VALUE_NAMES = {"active": "streams", "cpu": "link", "x0": "link", "x1": "uplink"}


def translate_report(values):
    """Translates a load report, field name -> number, to the value names that the controller reads.

    Fields that the controller doesn't use are left out.
    """
    return {ours: values[name] for name, ours in REPORT_VALUE_NAMES.items() if name in values}


def read_int(fields, key, default=None, minimum=None, maximum=None):
    """Returns `fields[key]` as an int from `minimum` to `maximum`.

    `default` stands in for a missing key. Raises MalformedInputError, naming the key, if the value is missing
    without a default, no integer or out of range.
    """
    value = fields.get(key, default)
    if value is None:
        raise MalformedInputError(f"'{key}' is missing")
    try:
        # JSON writers may write an integer as 7.0
        value = int(value) if not str(value).endswith(".0") else int(str(value)[:-2])
    except ValueError:
        raise MalformedInputError(f"'{key}={str(value)[:40]}' is not an integer") from None
    return _check_bounds(key, value, minimum, maximum)


def read_float(fields, key, default=None, minimum=None, maximum=None):
    """Returns `fields[key]` as a finite float from `minimum` to `maximum`.

    `default` stands in for a missing key. Raises MalformedInputError, naming the key, if the value is missing
    without a default, no finite number or out of range.
    """
    value = fields.get(key, default)
    if value is None:
        raise MalformedInputError(f"'{key}' is missing")
    try:
        value = float(value)
    except ValueError:
        raise MalformedInputError(f"'{key}={str(value)[:40]}' is not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise MalformedInputError(f"'{key}' is not a finite number")
    return _check_bounds(key, value, minimum, maximum)


def _check_bounds(key, value, minimum, maximum):
    if minimum is not None and value < minimum:
        raise MalformedInputError(f"'{key}={value}' is under {minimum}")
    if maximum is not None and value > maximum:
        raise MalformedInputError(f"'{key}={value}' is over {maximum}")
    return value


def read_text(fields, key):
    """Returns `fields[key]`; raises MalformedInputError if it is missing."""
    value = fields.get(key)
    if value is None:
        raise MalformedInputError(f"'{key}' is missing")
    return value


def read_floats(fields, key, count=None, default=0.0, minimum=None, maximum=None):
    """Returns the comma-separated list `fields[key]` as floats, each from `minimum` to `maximum`.

    With `count` the list must have that many values; if it is missing or empty, all of them are `default`.
    Raises MalformedInputError, naming the key.
    """
    parts = [part for part in fields.get(key, "").split(",") if part != ""]
    out = [read_float({key: part}, key, None, minimum, maximum) for part in parts]
    if count is None or len(out) == count:
        return out
    if out:
        raise MalformedInputError(f"'{key}' has {len(out)} values, expected {count}")
    return [default] * count


# Settings that are documented (WIRE, "The settings") and either never read or read only by some hosts or for
# some values of other settings: they are not reported as unknown. `*` stands for any list index.
IGNORED_SETTINGS = frozenset(
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


class TrackedSettings(dict):
    """Flat settings that record which keys were read, so that misspelt ones can be reported."""

    def __init__(self, settings):
        super().__init__(settings)
        self.read_keys = set()

    def get(self, key, default=None):
        """Works as `dict.get` and marks the key as read."""
        self.read_keys.add(key)
        return super().get(key, default)

    def unknown_keys(self):
        """Returns the sorted names of settings that are neither read so far nor documented.

        To be called once everything is read. List indexes are replaced by `*`.
        """
        return sorted(
            {
                ".".join("*" if part.isdecimal() else part for part in key.split("."))
                for key in self.keys() - self.read_keys
            }
            - IGNORED_SETTINGS
        )


def flatten(value, path="", out=None):
    """Flattens nested settings, as parsed from JSON, to the dict path -> text that this module reads.

    `path` is the prefix of all paths; entries are added to `out` if it is given. None values are left out.
    """
    out = {} if out is None else out
    if isinstance(value, dict):
        for key, part in value.items():
            flatten(part, f"{path}.{key}" if path else key, out)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        out[f"{path}.count"] = str(len(value))
        for index, part in enumerate(value):
            flatten(part, f"{path}.{index}", out)
    elif isinstance(value, list):
        out[path] = ",".join(_flat_text(part) for part in value)
    elif value is not None:
        out[path] = _flat_text(value)
    return out


def _flat_text(value):
    """Spaces and commas separate fields and list values in the flat form, so they become underscores."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else str(value)


@dataclass(frozen=True)
class Layout:
    """Distribution of titles over cells and of cells over racks.

    Cells are numbered from 0; a cell is the group of streamers that hold the same titles.
    """

    cell_count: int
    rack_count: int

    def holder_cells(self, first, count):
        """Returns the cells that hold a title: `count` consecutive ones from `first`, wrapping around."""
        return frozenset((first + offset) % self.cell_count for offset in range(count))

    def rack_of(self, cell):
        """Returns the number of the rack that `cell` is in."""
        return cell % self.rack_count


def _object_count(settings, key):
    """Returns the length of a list of objects.

    Limited to 1000, as the keys of each object are looked up afterwards.
    """
    return read_int(settings, key + ".count", 0, 0, 1000)


def read_deadlines(settings):
    """Returns plan name -> ns after which the plan's viewers stop waiting for an answer (0 if not set).

    Raises MalformedInputError.
    """
    return {
        read_text(settings, f"profiles.{index}.name"): read_int(
            settings, f"profiles.{index}.deadline_ns", 0, 0
        )
        for index in range(_object_count(settings, "profiles"))
    }


def _read_plans(settings, rung_count):
    count = _object_count(settings, "profiles")
    names = [read_text(settings, f"profiles.{index}.name") for index in range(count)]
    floors = read_floats(settings, "family_info.lowest_rung", count, 0, 0, rung_count - 1)
    seats = read_floats(settings, "family_info.class_seats", count, 0, 0)
    scales = read_floats(settings, "family_info.scale_by_class", count, 1.0, 1e-6, 1e6)
    tops = read_floats(settings, "family_info.top_by_class", count, 1e9, 0)
    live = settings.get("family_info.class_live", "").split(",")
    if live != [""] and len(live) != count:
        raise MalformedInputError(f"'family_info.class_live' has {len(live)} values, expected {count}")
    shared_adds = read_float(settings, "family_info.shared_adds", 1, 1e-6, 1)
    plans = {}
    for index in range(count):
        prefix, name = f"profiles.{index}.", names[index]
        if name in plans:
            raise MalformedInputError(f"'{prefix}name={name}' appears twice")
        if floors[index] > tops[index]:
            raise MalformedInputError(
                f"'family_info.lowest_rung' of {name} is {floors[index]:g}, "
                f"over its highest rung {tops[index]:g}"
            )
        target, deadline = (
            read_int(settings, prefix + "slo_ns", 0, 0),
            read_int(settings, prefix + "deadline_ns", 0, 0),
        )
        if deadline and target > deadline:
            raise MalformedInputError(f"'{prefix}slo_ns={target}' is over '{prefix}deadline_ns={deadline}'")
        plans[name] = Plan(
            name=name,
            revenue=read_float(settings, prefix + "worth", 1, 0),
            scale=scales[index],
            floor=int(floors[index]),
            top=int(tops[index]),
            seats=int(seats[index]),
            startup_target=target or deadline,
            # any other effect, also an unknown one, is treated as charged at set-up: the strictest reading
            repeatable=settings.get(prefix + "effect") == "idempotent",
            adds=shared_adds if live[min(index, len(live) - 1)] in ("true", "1") else 1.0,
        )
    return plans


def _read_ladder(settings):
    rates = tuple(read_floats(settings, "family_info.rung_kb", None, 0, 1e-6))
    if not rates:
        raise MalformedInputError("'family_info.rung_kb' is missing")
    if any(rate <= previous for previous, rate in zip(rates, rates[1:], strict=False)):
        raise MalformedInputError("'family_info.rung_kb' is not strictly increasing")
    return Ladder(
        rates=rates,
        revenue=tuple(read_floats(settings, "family_info.worth_by_rung", len(rates), 1.0, 0)),
        shortfall_cost=read_float(settings, "family_info.shortfall_cost", 0, 0),
        switch_cost=int(read_float(settings, "family_info.switch_cost_s", 0, 0, 1e6) * 1e9),
    )


def read_deployment(settings):
    """Builds what a controller needs from flat settings; raises MalformedInputError, naming the setting.

    Returns (`interface.Deployment`, names of the fields of a load report in order, `Layout`).
    """
    ladder = _read_ladder(settings)
    kinds = [name for name in settings.get("host_types", "").split(",") if name]
    report_fields = settings.get("load_report.fields", "").split(",")
    extra, share = (
        read_float(settings, "rules.free_resends", -1),
        read_float(settings, "rules.repeat_ratio", 0, 0),
    )
    list_on_request = settings.get("registry_mode") == "subscribe"
    allowed = {
        name: settings.get("ceilings." + name) in ("true", "1")
        for name in ("retry_after", "probes", "peer_messages")
    }
    controllers = read_int(settings, "replicas_of_me", 1, 1)
    places = read_floats(settings, "family_info.places_by_kind", len(kinds), 0, 0)
    result = Deployment(
        seed=read_int(settings, "seed", 0),
        rank=read_int(settings, "rank", 0, 0, controllers - 1),
        controllers=controllers,
        zone=settings.get("zone", ""),
        plans=_read_plans(settings, len(ladder.rates)),
        ladder=ladder,
        links=Links(
            unit_kb=read_float(settings, "family_info.link_unit_kb", 1, 1e-6),
            uplink_kb=read_float(settings, "family_info.rack_kb", 0, 0)
            or read_float(settings, "family_info.fleet_kb", 1e12, 1e-6),
            places={kind: limit for kind, limit in zip(kinds, places, strict=True) if limit},
            lag=read_int(settings, "family_info.see_ns", 0, 0),
            refuses_from=read_float(settings, "family_info.refuses_from", 0, 0),
            answers_report_load=settings.get("load_report.how", "answers") == "answers"
            and any(REPORT_VALUE_NAMES.get(field) == "link" for field in report_fields),
        ),
        rules=Rules(
            answer_slack=read_int(settings, "rules.grace_to_answer_ns", 0, 0),
            cold_for=max(1, read_int(settings, "rules.cold_ns", 1, 0)),
            cold_share=read_float(settings, "rules.start_capacity", 1, 0, 1),
            fall_multiple=read_float(settings, "rules.tip_multiple", 1, 0),
            fall_window=max(1, read_int(settings, "rules.overload_for_ns", 1, 0)),
            attempt_limit=read_int(settings, "ceilings.try_limit", 1, 0),
            extra_attempts=None if extra < 0 and not share else max(0, int(extra)),
            extra_share=share,
            extra_window=read_int(settings, "rules.budget_span_ns", 0, 0),
            longest_advice=read_int(settings, "ceilings.max_retry_after_ns", 0, 0)
            if allowed["retry_after"]
            else 0,
            probes=allowed["probes"],
            peers=allowed["peer_messages"],
            list_within=max(1, read_int(settings, "rules.ask_within_ns", 1, 0)) if list_on_request else 0,
        ),
    )
    layout = Layout(
        max(1, read_int(settings, "family_info.places", 1, 0)),
        max(1, read_int(settings, "family_info.racks", 1, 0)),
    )
    return result, report_fields, layout
