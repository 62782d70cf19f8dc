"""What a return of seven in ten controllers costs by size, in virtual time: `python -m benchmarks.herd FOLDER
[SIZE ...] [--seeds N] [--loss P]`. Each part of what is known after a start left out once, same seeds."""

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import median

from terndrift.rehearse import run
from terndrift.rehearse.virtual_return import World

WAYS = {"nothing told": (), "members": ("members",), "members and kept": ("members", "kept")}
SECONDS = 45


def one(size, seed, way, loss):
    """A day whose streamers, racks and viewers grow with the controllers."""
    day = run.load("herd-return")
    streamers = size * 24 // 20
    day["fleet"]["racks"], day["viewers"]["rate"] = streamers // 4, 18.0 * size / 20
    world = World(day, seed, size, streamers, SECONDS, WAYS[way], loss=loss)
    world.run()
    report = world.report()
    found = report["recovery"]["outages"][0]
    return {
        "size": size,
        "seed": seed,
        "way": way,
        "loss": loss,
        "full_service_s": found["full_service_s"],
        "dip_share": found["dip"][0],
        "dip_rung": found["dip"][1],
        "set_ups_a_streamer_s": found["peak_set_ups_a_streamer_s"],
        "datagrams_a_member_s": report["datagrams_peak_a_member_s"],
        "breaks": sum(report["rules"].values()),
    }


def drawn(rows, folder):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(12, 3.6))
    keys = ("dip_rung", "set_ups_a_streamer_s", "datagrams_a_member_s")
    titles = (
        "lowest rung after, over before",
        "set-ups to one streamer a second",
        "datagrams a member, busiest second",
    )
    for axis, key, title in zip(axes, keys, titles, strict=True):
        for way in WAYS:
            sizes = sorted({r["size"] for r in rows if r["way"] == way})
            values = [median([r[key] for r in rows if r["way"] == way and r["size"] == s]) for s in sizes]
            axis.plot(sizes, values, marker="o", label=way)
        axis.set_title(title, fontsize=9)
        axis.set_xlabel("controllers")
        axis.set_ylim(bottom=0)
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(os.path.join(folder, "herd.png"), dpi=90)


def main(folder, *words):
    words = list(words)
    asked = {name: words.pop(words.index(name) + 1) for name in ("--seeds", "--loss") if name in words}
    sizes = [int(w) for w in words if not w.startswith("--")] or [50, 200, 300]
    jobs = [
        (size, seed, way, float(asked.get("--loss", 0)))
        for size in sizes
        for seed in range(1, int(asked.get("--seeds", 1)) + 1)
        for way in WAYS
    ]
    with ProcessPoolExecutor(3) as pool:
        rows = list(pool.map(one, *zip(*jobs, strict=True)))
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "herd.json"), "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
    for row in rows:
        print(row)
    drawn(rows, folder)


if __name__ == "__main__":
    main(*sys.argv[1:])
