"""Settings of small deployments, as a controller gets them: one draw from the ranges of the site files."""

MS = 1_000_000
RANGES = "figures within the ranges of the site files; names as on the pages"


def _settings(zone, kinds, plans, family, ceilings, rules, report):
    """Return a whole settings object."""
    return {
        "seed": 5138197539985895,
        "rank": 0,
        "replicas_of_me": 3,
        "zone": zone,
        "areas": [zone],
        "host_types": kinds,
        "kind_of_service": "streams",
        "registry_mode": "automatic",
        "weights": "none",
        "counted_by": "request",
        "tick_ns": 10 * MS,
        "tier": 0,
        "clients": {"marks_retry": True},
        "profiles": plans,
        "family_info": family,
        "ceilings": {
            "cancel": True,
            "connect_timeout_ns": 250 * MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500_000,
            "keepalive_ns": 30_000 * MS,
            "max_open": 1_000_000,
            "max_streams": 32,
            "second_copies": False,
            **ceilings,
        },
        "load_report": {"how": "answers", "fields": report},
        "rules": rules,
    }


def _plan(name, aim_ms, deadline_ms, worth, effect="idempotent"):
    return {
        "name": name,
        "slo_ns": aim_ms * MS,
        "deadline_ns": deadline_ms * MS,
        "effect": effect,
        "key_scope": "all",
        "late_worth": 0.0,
        "stream": True,
        "window_ns": 5000 * MS,
        "worth": worth,
    }


def glanhafren():
    """Return the settings of glanhafren-depot: names as in WIRE, links at the lower end of the ranges."""
    return _settings(
        "hall-a",
        ["two-core"],
        [_plan("recorded", 800, 3000, 1.0)],
        {
            "class_live": [False],
            "class_seats": [0],
            "fleet_kb": 49920.0,
            "link_unit_kb": 3840.0,  # 2 cores, 3.2 sessions each, at the middle rate of 600 kB/s
            "lowest_rung": [0],
            "places": 12,
            "places_by_kind": [17],  # 2.7 times as many streams
            "rack_kb": 18200.0,  # 6.5 boxes, 73% of their links
            "racks": 2,
            "refuses_from": 1.0,
            "reports_every_ns": 3750 * MS,
            "rung_kb": [222.0, 440.0, 880.0, 1900.0],  # 0.37 to 3.2 times the middle rate
            "scale_by_class": [1.0],
            "see_ns": 880_854_000,
            "shared_adds": 1.0,
            "shortfall_cost": 7.0,
            "switch_cost_s": 0.84,
            "top_by_class": [3],
            "worth_by_rung": [0.2, 0.49, 0.75, 1.0],
        },
        {"probes": True, "peer_messages": True, "retry_after": False, "try_limit": 3},
        {
            "grace_to_answer_ns": 40 * MS,
            "cold_ns": 12_000 * MS,
            "drain_grace_ns": 1000 * MS,
            "start_capacity": 0.4,
            "tip_multiple": 3.0,
            "overload_for_ns": 2000 * MS,
        },
        ["active", "x0"],
    )


def orarend():
    """Return the settings of orarend-video."""
    return _settings(
        "bp-dc1",
        ["harom-mag", "ket-mag"],
        [_plan("kotelezo", 1000, 4000, 2.0, "at_most_once"), _plan("ismetles", 1000, 5000, 1.0)],
        {
            "class_live": [False, False],
            "class_seats": [0, 0],
            "fleet_kb": 90000.0,
            "link_unit_kb": 7000.0,
            "lowest_rung": [1, 0],
            "places": 12,
            "places_by_kind": [34, 23],
            "rack_kb": 22000.0,
            "racks": 3,
            "refuses_from": 0.0,
            "reports_every_ns": 3000 * MS,
            "rung_kb": [210.0, 350.0, 560.0, 830.0, 1250.0, 1900.0],
            "scale_by_class": [1.2, 1.0],
            "see_ns": 800 * MS,
            "shared_adds": 1.0,
            "shortfall_cost": 7.0,
            "switch_cost_s": 0.6,
            "top_by_class": [5, 2],
            "worth_by_rung": [0.2, 0.4, 0.55, 0.7, 0.85, 1.0],
        },
        {
            "probes": False,
            "peer_messages": False,
            "retry_after": True,
            "max_retry_after_ns": 500 * MS,
            "try_limit": 5,
        },
        {
            "grace_to_answer_ns": 40 * MS,
            "cold_ns": 12_000 * MS,
            "drain_grace_ns": 250 * MS,
            "start_capacity": 0.4,
            "tip_multiple": 2.5,
            "overload_for_ns": 1000 * MS,
            "free_resends": 5,
            "repeat_ratio": 0.1,
            "budget_span_ns": 10_000 * MS,
        },
        ["active", "x0", "x1"],
    )


def windhoek():
    """Return the settings of windhoek-media."""
    return _settings(
        "windhoek-room",
        ["small-2core"],
        [
            _plan("repair-clip", 800, 4000, 1.0),
            _plan("inspection-rec", 800, 5000, 3.0),
            _plan("training-lesson", 1000, 4000, 1.0),
        ],
        {
            "class_live": [False, False, False],
            "class_seats": [0, 3, 0],
            "fleet_kb": 80000.0,
            "link_unit_kb": 6500.0,
            "lowest_rung": [0, 1, 0],
            "places": 12,
            "places_by_kind": [24],
            "rack_kb": 40000.0,
            "racks": 2,
            "refuses_from": 0.0,
            "reports_every_ns": 4000 * MS,
            "rung_kb": [200.0, 370.0, 650.0, 1100.0, 1900.0],
            "scale_by_class": [1.0, 1.4, 1.0],
            "see_ns": 1200 * MS,
            "shared_adds": 1.0,
            "shortfall_cost": 7.0,
            "switch_cost_s": 0.6,
            "top_by_class": [4, 4, 4],
            "worth_by_rung": [0.2, 0.45, 0.7, 0.85, 1.0],
        },
        {
            "probes": False,
            "peer_messages": False,
            "retry_after": True,
            "max_retry_after_ns": 2000 * MS,
            "try_limit": 5,
        },
        {
            "grace_to_answer_ns": 40 * MS,
            "cold_ns": 12_000 * MS,
            "drain_grace_ns": 2000 * MS,
            "start_capacity": 0.4,
            "tip_multiple": 3.0,
            "overload_for_ns": 2000 * MS,
        },
        ["x0"],
    )
