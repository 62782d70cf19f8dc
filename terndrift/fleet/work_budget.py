"""Availability budgets of planned work: which machines are unavailable, and whether one more may be.

A budget counts every unavailable machine, whatever the cause: planned work until the machine has warmed up,
failures, drains by another source, and machines that are back and still cold. The leader
of the record checks it in `planned_work` before a drain begins. This module does no I/O and changes nothing.
"""

from collections import Counter
from dataclasses import dataclass, replace
from functools import cached_property

CONTROLLER_PREFIX = "controller:"  # prefix of the machine name of a controller


def controller_name(machine):
    """Return the controller's name in a machine name, or None if the machine is a streamer."""
    return machine.removeprefix(CONTROLLER_PREFIX) if machine.startswith(CONTROLLER_PREFIX) else None


@dataclass(frozen=True)
class Machine:
    """A streamer as in this controller's list without planned work, or a controller as in the membership."""

    name: str
    rack: int
    zone: str
    weight: float
    ready: bool  # by every source except planned work
    started: int  # start time or run as its list or the machine itself reports it; compared for equality
    titles: frozenset = frozenset()  # titles of which it is a holder
    labels: frozenset = frozenset()
    voter: bool = False  # controllers only: votes in the record
    cold: bool = False  # by the start time in the list and the configured warm-up

    @property
    def is_controller(self):
        """Whether this is a controller and not a streamer."""
        return self.name.startswith(CONTROLLER_PREFIX)

    def as_healthy(self):
        """Return a copy that is ready and warm."""
        return replace(self, ready=True, cold=False)


class WorkBudget:
    """Unavailable machines and ready capacity at one moment.

    `machines` is {name: Machine}, `in_work` the names of the machines that planned work has taken. Weights
    are shares of link capacity.
    """

    def __init__(self, machines, in_work):
        self.machines, self.in_work = machines, in_work
        streamers = [m for m in machines.values() if not m.is_controller]
        controllers = [m for m in machines.values() if m.is_controller]
        self.unavailable = {m.name for m in streamers if not m.ready or m.cold or m.name in in_work}
        self.unavailable |= {n for n in in_work if n not in machines and controller_name(n) is None}
        self.unavailable_controllers = {m.name for m in controllers if not m.ready or m.name in in_work}
        self.voter_count = sum(m.voter for m in controllers)
        self.total_weight, self.ready_weight = sum(m.weight for m in streamers), 0.0
        self.unavailable_by_rack, self.unavailable_by_zone, self.ready_weight_by_rack = (
            Counter(),
            Counter(),
            Counter(),
        )
        for m in streamers:
            if m.name in self.unavailable:
                self.unavailable_by_rack[m.rack] += 1
                self.unavailable_by_zone[m.zone] += 1
            else:
                self.ready_weight += m.weight
                self.ready_weight_by_rack[m.rack] += m.weight

    @cached_property
    def ready_holders(self):
        """title -> number of ready holders."""
        return Counter(t for m in self.machines.values() if m.name not in self.unavailable for t in m.titles)

    def ready_weight_of_rack(self, rack):
        """Return the total weight of the rack's available streamers."""
        return self.ready_weight_by_rack[rack]

    def hold_reason(self, name, plan):
        """Return why the machine may not be taken out now, a sentence, or "" if it may."""
        machine = self.machines.get(name)
        if machine is None:
            return "no list contains it" if controller_name(name) is None else "no fleet record contains it"
        if machine.is_controller:
            return self._controller_hold_reason(machine, plan)
        if not machine.ready:
            return "the list reports it as not ready, and this work is not the cause"
        if machine.cold:
            return "it restarted outside of planned work and is still warming up"
        if len(self.unavailable) >= plan["most"]:
            return (
                f"{len(self.unavailable)} unavailable, limit {plan['most']}: {_first_names(self.unavailable)}"
            )
        if self.unavailable_by_rack[machine.rack] >= plan["most_rack"]:
            in_rack = [
                n for n in self.unavailable if n in self.machines and self.machines[n].rack == machine.rack
            ]
            return f"{_first_names(in_rack)} in its rack {'is' if len(in_rack) == 1 else 'are'} unavailable"
        if plan["most_zone"] and self.unavailable_by_zone[machine.zone] >= plan["most_zone"]:
            return f"{self.unavailable_by_zone[machine.zone]} unavailable in its zone"
        if self.ready_weight - machine.weight < plan["ready_share"] * self.total_weight:
            return f"too little link capacity would stay ready (minimum {plan['ready_share']:.0%})"
        if title_and_count := self.title_short_of_holders(machine, plan):
            title, holders_left = title_and_count
            return f"{title} would have {holders_left} ready holders where {plan['holders']} are required"
        return ""

    def title_short_of_holders(self, machine, plan):
        """Return (title, ready holders left) of a title with too few holders without the machine, or None."""
        is_available = machine.name not in self.unavailable
        holders_left = ((t, self.ready_holders[t] - is_available) for t in sorted(machine.titles))
        return next((x for x in holders_left if x[1] < plan.get("holders", 0)), None)

    def _controller_hold_reason(self, machine, plan):
        if not machine.ready:
            return "the controller is not available, and this work is not the cause"
        if len(self.unavailable_controllers) >= (most := plan.get("most_controllers", 1)):
            return (
                f"{len(self.unavailable_controllers)} controllers unavailable, limit {most}: "
                f"{_first_names(self.unavailable_controllers)}"
            )
        # Never two voters at once, and so never a majority: the record must survive the failure of another
        # voter meanwhile.
        if machine.voter and (
            voters_down := [n for n in self.unavailable_controllers if self.machines[n].voter]
        ):
            return f"it is a voter, and the voter {_first_names(voters_down)} is unavailable"
        if machine.voter and self.voter_count < 3:
            return "the record would lose its quorum without this voter"
        return ""


def _first_names(names):
    return ", ".join(sorted(names)[:3])
