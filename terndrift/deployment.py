"""From records to what the decisions are handed: `interface.Deployment` and the titles."""

import zlib
from dataclasses import dataclass

from terndrift.interface import Deployment, Ladder, Links, Plan, Rules


class Amiss(ValueError):
    """Records that are well formed but don't fit together; says all that is amiss, a line each."""


@dataclass(frozen=True)
class Title:
    name: str
    plan: str
    segments: int
    length: int  # ns
    holders: frozenset | None  # cells; None: every streamer listed


def check(value):
    """Every reference of a deployment record that leads nowhere."""
    out, rungs = [], value["ladder"]["rates"]
    if not rungs or len(rungs) != len(value["ladder"]["revenue"]):
        out.append(f"ladder: {len(rungs)} rates and {len(value['ladder']['revenue'])} revenues")
    if any(b <= a for a, b in zip(rungs, rungs[1:], strict=False)):
        out.append("ladder.rates: not rising")
    for name, plan in value["plans"].items():
        if plan["floor"] >= len(rungs):
            out.append(f"plans.{name}.floor: {plan['floor']} where the ladder has {len(rungs)} rungs")
        if plan["floor"] > plan["top"]:
            out.append(f"plans.{name}: floor {plan['floor']} over top {plan['top']}")
        if plan["startup_target"] > plan["abandon"]:
            out.append(f"plans.{name}: startup target after the abandon time")
    for name, title in value["titles"].items():
        if title["plan"] not in value["plans"]:
            out.append(f"titles.{name}.plan: no plan '{title['plan']}'")
    if out:
        raise Amiss("\n".join(out))


def plans(value):
    top = len(value["ladder"]["rates"]) - 1
    return {
        name: Plan(
            name,
            p["revenue"],
            p["scale"],
            p["floor"],
            min(p["top"], top),
            p["seats"],
            p["startup_target"],
            p["repeatable"],
            p["adds"],
        )
        for name, p in value["plans"].items()
    }


def made(value, controller):
    """`value`: a deployment record, `controller`: that record of a front file."""
    ladder, links, rules = value["ladder"], value["links"], value["rules"]
    seed = controller.get("seed")
    if seed is None:
        seed = zlib.crc32(controller["name"].encode())
    return Deployment(
        seed=seed,
        rank=controller["rank"],
        controllers=controller["of"],
        zone=controller["zone"],
        plans=plans(value),
        ladder=Ladder(
            tuple(r / 1000 for r in ladder["rates"]),
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
            try_limit=rules["try_limit"],
            extra_tries=rules["extra_tries"],
            extra_share=rules["extra_share"],
            extra_window=rules["extra_window"],
            longest_advice=rules["longest_advice"],
            probes=False,
            peers=False,
        ),
    )


def titles(value):
    segment = value["segment"]
    out = {}
    for name, t in value["titles"].items():
        count = max(1, -(-t["seconds"] * 10**9 // segment))
        out[name] = Title(
            name, t["plan"], count, count * segment, frozenset(t["holders"]) if t["holders"] else None
        )
    return out
