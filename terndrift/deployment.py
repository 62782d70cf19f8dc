"""Checks a parsed deployment record (`#Deployment`) and builds the controller's `interface` values from it.

Called by the front service, the command line, the stand-in streamers and the rehearsals with a record that
already matches its schema. Must not do I/O or make placement decisions.
"""

import zlib
from dataclasses import dataclass

from terndrift.interface import Deployment, Ladder, Links, Plan, Rules


class InconsistentRecordError(ValueError):
    """Records that match their schema but contradict each other; the message has one line per fault."""


@dataclass(frozen=True)
class Title:
    """A title of a deployment record, with its playing time rounded up to whole segments."""

    name: str
    plan: str
    segment_count: int
    duration: int  # ns
    holders: frozenset | None  # cells that hold it; None: every listed streamer does


def check_record(record):
    """Raises InconsistentRecordError, naming all faults, if a deployment record names missing plans or
    contradicts itself."""
    faults, rates = [], record["ladder"]["rates"]
    if not rates or len(rates) != len(record["ladder"]["revenue"]):
        faults.append(f"ladder: {len(rates)} rates, but {len(record['ladder']['revenue'])} revenues")
    if any(rate <= previous for previous, rate in zip(rates, rates[1:], strict=False)):
        faults.append("ladder.rates: not strictly increasing")
    for name, plan in record["plans"].items():
        if plan["floor"] >= len(rates):
            faults.append(f"plans.{name}.floor: {plan['floor']}, but the ladder has {len(rates)} rungs")
        if plan["floor"] > plan["top"]:
            faults.append(f"plans.{name}: floor {plan['floor']} is over top {plan['top']}")
        if plan["startup_target"] > plan["abandon"]:
            faults.append(f"plans.{name}: startup_target is over abandon")
    for name, title in record["titles"].items():
        if title["plan"] not in record["plans"]:
            faults.append(f"titles.{name}.plan: no plan '{title['plan']}'")
    if faults:
        raise InconsistentRecordError("\n".join(faults))


def build_plans(record):
    """Returns plan name -> `interface.Plan`, with `top` limited to the rungs of the ladder."""
    highest_rung = len(record["ladder"]["rates"]) - 1
    return {
        name: Plan(
            name,
            plan["revenue"],
            plan["scale"],
            plan["floor"],
            min(plan["top"], highest_rung),
            plan["seats"],
            plan["startup_target"],
            plan["repeatable"],
            plan["adds"],
        )
        for name, plan in record["plans"].items()
    }


def build_deployment(record, controller):
    """Builds the `interface.Deployment` of one controller.

    `record` is a deployment record with rates in B/s, which become kB/s here; `controller` is the record of
    that name in a front file. Without a seed there, the seed is derived from the controller's name.
    """
    ladder, links, rules = record["ladder"], record["links"], record["rules"]
    seed = controller.get("seed")
    if seed is None:
        seed = zlib.crc32(controller["name"].encode())
    return Deployment(
        seed=seed,
        rank=controller["rank"],
        controllers=controller["of"],
        zone=controller["zone"],
        plans=build_plans(record),
        ladder=Ladder(
            tuple(rate / 1000 for rate in ladder["rates"]),
            tuple(ladder["revenue"]),
            ladder["shortfall_cost"],
            ladder["switch_cost"],
        ),
        links=Links(
            links["unit"] / 1000, links["uplink"] / 1000, links["places"], links["lag"], links["refuses_from"]
        ),
        rules=Rules(
            answer_slack=0,
            cold_for=rules["cold_for"],
            cold_share=rules["cold_share"],
            fall_multiple=rules["fall_multiple"],
            fall_window=rules["fall_window"],
            attempt_limit=rules["try_limit"],
            extra_attempts=rules["extra_tries"],
            extra_share=rules["extra_share"],
            extra_window=rules["extra_window"],
            longest_advice=rules["longest_advice"],
            probes=False,
            peers=False,
        ),
    )


def build_titles(record):
    """Returns title name -> `Title` for all titles of a deployment record."""
    segment = record["segment"]  # ns
    out = {}
    for name, title in record["titles"].items():
        count = max(1, -(-title["seconds"] * 10**9 // segment))
        out[name] = Title(
            name,
            title["plan"],
            count,
            count * segment,
            frozenset(title["holders"]) if title["holders"] else None,
        )
    return out
