"""Figures of the fleet in virtual time, by size and loss: `python -m benchmarks.fleet FOLDER [SIZES]`.

To find a death: from the kill to each member holding it for dead. To converge: from the end of a cut that
lasted 60 s between two fifths and the others to all seeing each other. False deaths: of a member that ran and
could be heard, all members' verdicts counted, by the hour of the whole fleet."""

import json
import os
import sys
import time
from statistics import quantiles

from terndrift.fleet.membership import Standing
from terndrift.fleet.simulated_fleet import SimulatedFleet

SIZES, LOSSES = (50, 200, 300, 1000), (0.0, 0.05, 0.2)


def percentiles(times):
    if len(times) < 2:
        return None, None
    cuts = quantiles(sorted(times), n=100)
    return round(cuts[49], 1), round(cuts[98], 1)


def measured(size, loss, seed=1):
    names = [f"m{n}" for n in range(size)]
    simulated_fleet, began = SimulatedFleet(names, seed=seed, loss=loss), time.time()
    simulated_fleet.start()
    together = simulated_fleet.run_until(simulated_fleet.membership_converged, 120)
    before, from_when = {n: list(s) for n, s in simulated_fleet.sent.items()}, len(simulated_fleet.changes)
    quiet = 120.0 if size <= 300 else 30.0
    simulated_fleet.run(quiet)
    false = sum(c[4] is Standing.DEAD for c in simulated_fleet.changes[from_when:])
    sent = [sum(simulated_fleet.sent[n][k] - before[n][k] for n in names) / size / quiet for k in (0, 1)]
    at, from_when = simulated_fleet.now, len(simulated_fleet.changes)
    simulated_fleet.kill("m1")
    simulated_fleet.run(60)
    found = [
        (c[0] - at) / 1e9
        for c in simulated_fleet.changes[from_when:]
        if c[2] == "m1" and c[4] is Standing.DEAD
    ]
    simulated_fleet.start("m1")
    simulated_fleet.run_until(simulated_fleet.membership_converged, 60)
    one = set(names[: 2 * size // 5])
    simulated_fleet.drops_message = lambda a, b: (a in one) != (b in one)
    simulated_fleet.run(60)
    simulated_fleet.drops_message = lambda a, b: False
    converged = simulated_fleet.run_until(simulated_fleet.membership_converged, 120)
    p50, p99 = percentiles(found)
    return {
        "members": size,
        "loss": loss,
        "together_s": together,
        "found_p50_s": p50,
        "found_p99_s": p99,
        "found_by": len(found),
        "false_deaths_an_hour": round(false * 3600 / quiet, 1),
        "datagrams_a_second": round(sent[0], 2),
        "bytes_a_second": round(sent[1]),
        "converged_s": converged,
        "took_s": round(time.time() - began, 1),
    }


def plot(rows, folder):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, all_axes = pyplot.subplots(1, 3, figsize=(12, 4))
    for axes, key, label in zip(
        all_axes,
        ("found_p99_s", "bytes_a_second", "converged_s"),
        ("s to find a death, p99", "bytes a member a second", "s to converge after a cut"),
        strict=True,
    ):
        for loss in LOSSES:
            mine = [r for r in rows if r["loss"] == loss]
            axes.plot(
                [r["members"] for r in mine], [r[key] for r in mine], marker="o", label=f"{loss:.0%} lost"
            )
        axes.set(xscale="log", xlabel="members", ylabel=label, ylim=(0, None))
        axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(os.path.join(folder, "members.png"))


def main(folder, sizes=SIZES):
    os.makedirs(folder, exist_ok=True)
    rows = []
    for size in sizes:
        for loss in LOSSES:
            rows.append(measured(size, loss))
            print(json.dumps(rows[-1]), flush=True)
    with open(os.path.join(folder, "members.json"), "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
    plot(rows, folder)


if __name__ == "__main__":
    main(sys.argv[1], [int(x) for x in sys.argv[2:]] or SIZES)
