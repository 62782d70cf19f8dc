"""Planned work in virtual time: `python -m benchmarks.work [CONTROLLERS] [STREAMERS]`, one JSON line.

One plan for all streamers. The bound: rounds of as many as the budgets let out at once, each round the time
that a machine takes at least (its playbacks end, its work, its return and its warm-up), end to end."""

import json
import math
import sys
import time

from terndrift.fleet import planned_work
from terndrift.fleet.work_simulation import SECOND, WorkSimulation, make_plan

DRAIN, NEEDS, WARM = 6, 4, 2  # s


def measured(controllers, streamers, most, racks, seed=1, loss=0.0):
    names, began = [f"c{n}" for n in range(controllers)], time.time()
    simulation = WorkSimulation(seed, names, names[:5], streamers, racks, placement_rate=0.03, loss=loss)
    simulated_fleet = simulation.simulated_fleet
    simulation.run_until(10)
    before = {n: list(s) for n, s in simulated_fleet.sent.items()}
    simulation.run_until(20)
    quiet = [sum(simulated_fleet.sent[n][k] - before[n][k] for n in names) / 20 for k in (0, 1)]
    value = make_plan(
        simulation.streamers, most=most, needs=NEEDS * SECOND, drain=DRAIN * SECOND, warm=WARM * SECOND
    )
    simulation.add_plan("all", value)
    before, at = {n: list(s) for n, s in simulated_fleet.sent.items()}, simulated_fleet.now
    done = simulation.run_until(1200, simulation.is_done)
    took = (simulated_fleet.now - at) / SECOND
    sent = [sum(simulated_fleet.sent[n][k] - before[n][k] for n in names) - quiet[k] * took for k in (0, 1)]
    # a playback lasts 1 to 4 s here, and the worker holds a machine for 2 s
    least = 4 + 2 + WARM
    bound = math.ceil(streamers / min(most, racks * value["most_rack"])) * least
    entries = planned_work.current_revision(simulated_fleet.controllers[names[-1]].committed_log.state)
    return {
        "controllers": controllers,
        "streamers": streamers,
        "most": most,
        "racks": racks,
        "loss": loss,
        "done": done,
        "wrong": len(simulation.violations),
        "most_out": simulation.max_out_count,
        "took_s": round(took, 1),
        "bound_s": bound,
        "over_bound": round(took / bound, 3),
        "entries_a_machine": round(entries / streamers, 2),
        "datagrams_a_machine": round(sent[0] / streamers),
        "kb_a_machine": round(sent[1] / streamers / 1000),
        "real_s": round(time.time() - began, 1),
    }


if __name__ == "__main__":
    controllers, streamers = (int(x) for x in (sys.argv[1:] + ["200", "200"][len(sys.argv) - 1 :])[:2])
    for loss in (0.0, 0.05):
        print(json.dumps(measured(controllers, streamers, 20, 40, loss=loss)), flush=True)
