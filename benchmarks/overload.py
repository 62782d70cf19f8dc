"""What a fleet's limits and sums cost and hold by size, in virtual time: `python -m benchmarks.overload
FOLDER [SIZE ...]`. A limit of one for each controller; what each wants changes by chance, a tenth of them
want twenty times their part, leaders are killed, a third is cut off for a while; parts in force are added up
every 20 ms."""

import json
import os
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean

from terndrift.fleet.leases import Leases
from terndrift.fleet.messages import LoadSupplement
from terndrift.fleet.simulated_fleet import SimulatedFleet

VOTERS, SECONDS = 5, 60
FAULTS = {15: "surge", 25: "kill", 32: "back", 40: "cut", 49: "heal"}


class Town:
    def __init__(self, size, loss, seed):
        self.names, self.limit = [f"c{n:03d}" for n in range(size)], float(size)
        self.simulated_fleet, self.chance = (
            SimulatedFleet(self.names, self.names[:VOTERS], seed, loss),
            random.Random(seed),
        )
        self.wants = dict.fromkeys(self.names, 0.0)
        self.start(*self.names)
        assert self.simulated_fleet.run_until(self.simulated_fleet.membership_converged, 120) is not None
        self.simulated_fleet.call_controller(self.names[0], "begin_epoch", None)
        assert (
            self.simulated_fleet.run_until(
                lambda: all(
                    len(c.committed_log.state["voters"]) == VOTERS
                    for c in self.simulated_fleet.controllers.values()
                ),
                120,
            )
            is not None
        )

    def start(self, *names):
        self.simulated_fleet.start(*names)
        for name in names:
            c = self.simulated_fleet.controllers[name]
            c.leases = Leases(name, {"extra": self.limit}, len(self.names), True, self.simulated_fleet.now)
            c.leases.wanted["extra"] = self.wants[name]
            c.load_reports.own = lambda now, n=name: ({"free": [10, 0, 9, 9, 0, 0]}, [0, 0, 1])
            c.load_reports.own_beside = lambda now: LoadSupplement(
                expected_returns=[1] * 9, request_counts={"title a": 5, "title b": 3}
            )

    def want(self, some, want):
        for name in some:
            self.wants[name] = want
            if name in self.simulated_fleet.controllers:
                self.simulated_fleet.controllers[name].leases.wanted["extra"] = want

    def parts(self):
        return {
            n: c.leases.allowed_rate(self.simulated_fleet.now, "extra")
            for n, c in self.simulated_fleet.controllers.items()
        }

    def fault(self, what):
        simulated_fleet = self.simulated_fleet
        if what == "surge":
            self.few = self.chance.sample(self.names, len(self.names) // 10)
            self.want(self.few, 20.0)
        elif what == "kill":
            self.dead = next(iter(simulated_fleet.leaders()), self.names[0])
            simulated_fleet.kill(self.dead)
        elif what == "back":
            self.start(self.dead)
        elif what == "cut":
            some = set(self.chance.sample(self.names, len(self.names) // 3))
            simulated_fleet.drops_message = lambda a, b: (a in some) != (b in some)
        else:
            simulated_fleet.drops_message = lambda a, b: False


def one(size, loss, seed=1):
    town, most, used, settled = Town(size, loss, seed), 0.0, [], None
    town.simulated_fleet.run(5)
    before = [sum(s[k] for s in town.simulated_fleet.sent.values()) for k in (0, 1)]
    for step in range(SECONDS * 50):
        if (what := FAULTS.get(step / 50)) is not None:
            town.fault(what)
        town.simulated_fleet.run(0.02)
        parts = town.parts()
        most = max(most, sum(parts.values()))
        if step % 50 == 0:
            used.append(sum(parts.values()) / town.limit)
        if settled is None and step >= 15 * 50 and sum(parts[n] for n in town.few) > 0.75 * town.limit:
            settled = step / 50 - 15
    sent = [sum(s[k] for s in town.simulated_fleet.sent.values()) - before[k] for k in (0, 1)]
    members = [
        c.load_reports.total(town.simulated_fleet.now)[2] for c in town.simulated_fleet.controllers.values()
    ]
    return {
        "members": size,
        "lost": loss,
        "most_over_limit": round(most / town.limit, 4),
        "in_force_mean": round(fmean(used), 3),
        "surge_has_its_part_s": settled,
        "summed_of": [min(members), max(members)],
        "datagrams_a_member_s": round(sent[0] / size / SECONDS, 2),
        "bytes_a_member_s": round(sent[1] / size / SECONDS),
        "in_force": [round(u, 3) for u in used],
    }


def drawn(rows, folder):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(8, 3.6))
    for row in rows:
        axis.plot(row["in_force"], label=f"{row['members']} members, {row['lost']:.0%} lost")
    for at, what in FAULTS.items():
        axis.axvline(at, color="grey", linewidth=0.6)
        axis.text(at + 0.2, 0.03, what, fontsize=8)
    axis.axhline(1, color="black", linewidth=0.6)
    axis.set_ylim(0, 1.05)
    axis.set_xlabel("s")
    axis.set_title("parts in force of a limit, over the limit", fontsize=9)
    axis.legend(fontsize=7, ncol=2)
    figure.tight_layout()
    figure.savefig(os.path.join(folder, "leases.png"), dpi=90)


def main(folder, *sizes):
    jobs = [(int(size), loss) for size in sizes or (50, 200, 300) for loss in (0.0, 0.05, 0.2)]
    with ProcessPoolExecutor(3) as pool:
        rows = list(pool.map(one, *zip(*jobs, strict=True)))
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "leases.json"), "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
    for row in rows:
        print({k: v for k, v in row.items() if k != "in_force"})
    drawn(rows, folder)


if __name__ == "__main__":
    main(*sys.argv[1:])
