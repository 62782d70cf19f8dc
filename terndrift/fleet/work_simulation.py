"""Simulation of planned work in virtual time: controllers place playbacks on streamers while the machines
are taken out one after another, and workers take down the machines with a permit.

Used by tests, and by `benchmarks/work.py` for the figures in `docs/fleet.md`. It must not run in a
controller.
"""

import random

from terndrift.fleet import planned_work
from terndrift.fleet.planned_work import WorkState
from terndrift.fleet.simulated_fleet import SimulatedFleet
from terndrift.fleet.work_budget import Machine

SECOND = 1_000_000_000
CONTROLLER_NAMES = [f"c{n}" for n in range(6)]
VOTER_NAMES = CONTROLLER_NAMES[:3]


def make_plan(machines, **more):
    """Return a plan for `machines`; keywords override its fields."""
    return {
        "machines": list(machines),
        "needs": 4 * SECOND,
        "drain": 6 * SECOND,
        "warm": 2 * SECOND,
        "most": 2,
        "most_rack": 1,
        "most_zone": 0,
        "ready_share": 0.5,
        "holders": 1,
        "urgency": 0,
        "why": "",
        **more,
    }


class WorkSimulation:
    """Streamers in racks, a SimulatedFleet of controllers that place where they may, and workers that use
    permits.

    `placement_rate` is the probability that a controller places a playback in a tenth of a second; other
    keywords go to SimulatedFleet. `violations` collects violations: a machine taken down or out while a
    controller has playbacks there.
    """

    def __init__(
        self,
        seed=1,
        names=CONTROLLER_NAMES,
        voters=VOTER_NAMES,
        streamers=8,
        racks=4,
        placement_rate=0.3,
        **more,
    ):
        self.names, self.placement_rate = names, placement_rate
        self.simulated_fleet = SimulatedFleet(names, voters, seed, **more)
        self.random = random.Random(f"site/{seed}")
        # name -> [rack, whether it is up, time of its last start in ns]
        self.streamers = {f"s{n}": [n % racks, True, 0] for n in range(streamers)}
        self.playbacks = {n: [] for n in names}  # controller -> [(machine, end in ns)]
        # (machine, step) -> when it was taken down; violations; machine -> when it is started again
        self.taken_down_at, self.violations, self.out_until = {}, [], {}
        self.max_out_count, self.placement_count = 0, 0
        self.last_read = {}  # controller -> last entry of its copy of the record that was read
        self.simulated_fleet.start()
        for name in names:
            self.attach(name)
        assert self.simulated_fleet.run_until(self.simulated_fleet.membership_converged, 30) is not None
        self.simulated_fleet.call_controller("c0", "begin_epoch", None)
        followers = [c.committed_log for c in self.simulated_fleet.controllers.values()]

        def all_voters_in():
            return all(len(f.state["voters"]) == len(voters) for f in followers)

        assert self.simulated_fleet.run_until(all_voters_in, 30) is not None

    def attach(self, name):
        """Connect a controller to the streamers and playbacks; needed after each of its starts."""
        c = self.simulated_fleet.controllers[name]
        c.list_machines = self.machines
        c.count_placements = lambda names: {m: sum(p[0] == m for p in self.playbacks[name]) for m in names}

    def machines(self):
        """Return {name: Machine} of the streamers, as a controller's list has them."""
        return {
            n: Machine(n, rack, "", 1.0, is_up, started, frozenset())
            for n, (rack, is_up, started) in self.streamers.items()
        }

    def states(self, through=None):
        """Return {machine: WorkState} by one controller's copy of the record, by default the last one's."""
        rows = planned_work.machine_rows(
            self.simulated_fleet.controllers[through or self.names[-1]].committed_log.state
        )
        return {m: WorkState(row["state"]) for m, row in rows.items()}

    def add_plan(self, name, value, through="c4"):
        """Propose a plan through a controller and wait until it is applied there."""
        id, entry_value = planned_work.propose_plan(
            self.simulated_fleet.controllers[through].committed_log.state, value, name, "ops"
        )
        self.simulated_fleet.call_controller(through, "propose", id, entry_value)
        assert (
            self.simulated_fleet.run_until(
                lambda: id in self.simulated_fleet.controllers[through].committed_log.state["ids"], 20
            )
            is not None
        )

    def run_until(self, seconds, until=lambda: False):
        """Run the simulation, at most `seconds`, in steps of 0.1 s.

        Returns True as soon as `until()` holds, else False.
        """
        for _ in range(int(seconds * 10)):
            self.simulated_fleet.run(0.1)
            self._place_playbacks()
            self._use_permits()
            if until():
                return True
        return False

    def _place_playbacks(self):
        now = self.simulated_fleet.now
        for name, c in self.simulated_fleet.controllers.items():
            if name in self.simulated_fleet.paused:
                continue
            self.playbacks[name] = [p for p in self.playbacks[name] if p[1] > now]
            drained, may_place = c.exclusions(now)
            available = [m for m, (_, is_up, _) in self.streamers.items() if is_up and m not in drained]
            if may_place and available and self.random.random() < self.placement_rate:
                self.placement_count += 1
                until = now + int(self.random.uniform(1, 4) * SECOND)
                self.playbacks[name].append((self.random.choice(available), until))

    def _use_permits(self):
        now = self.simulated_fleet.now
        for machine, until in list(self.out_until.items()):
            if now >= until:
                del self.out_until[machine]
                self.streamers[machine][1:] = True, now
        permits = set()
        for name, c in self.simulated_fleet.controllers.items():
            if self.last_read.get(name) != c.committed_log.last_index:
                self.last_read[name] = c.committed_log.last_index
                permits |= {
                    (m, row["n"])
                    for m, row in planned_work.machine_rows(c.committed_log.state).items()
                    if row["state"] == WorkState.OUT.value and m in self.streamers
                }
        permits -= self.taken_down_at.keys()
        for machine, n in sorted(permits):
            self.taken_down_at[machine, n] = now
            holding = [
                n
                for n, playbacks in self.playbacks.items()
                if any(p[0] == machine for p in playbacks) and n in self.simulated_fleet.controllers
            ]
            if holding:
                self.violations.append(f"{machine} was taken down while {holding} have playbacks there")
            self.streamers[machine][1] = False
            self.out_until[machine] = now + 2 * SECOND
        self.max_out_count = max(
            self.max_out_count, sum(not is_up for _, is_up, _ in self.streamers.values())
        )
        for name, playbacks in self.playbacks.items():
            placed = [m for m, _ in playbacks if m in self.out_until]
            if placed and name in self.simulated_fleet.controllers:
                self.violations.append(f"{name} has playbacks on {placed}, which is out")
                self.playbacks[name] = [p for p in playbacks if p[0] not in self.out_until]

    def is_done(self):
        """Whether the work on all machines of all plans has ended."""
        states = self.states()
        return bool(states) and all(s in planned_work.ENDED_STATES for s in states.values())
