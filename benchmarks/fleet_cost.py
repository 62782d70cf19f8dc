"""What a fleet costs over processes: `python -m benchmarks.fleet_cost [CONTROLLERS] [SECONDS]`, JSON lines.

CPU (ms a second) and memory (MB) of an idle controller alone, of members, and with 50 entries a second
agreed; how late the event loop was for its timers at most, by the controllers' own logs."""

import asyncio
import json
import os
import sys
import tempfile
import time
from statistics import fmean

from terndrift.rehearse.several import Several

TICK = os.sysconf("SC_CLK_TCK")


def used(pid):
    """(CPU seconds, MB)."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return (int(fields[11]) + int(fields[12])) / TICK, int(file.read().split()[1]) * 4 / 1024


async def measured(what, count, seconds, rate):
    """`rate`: entries a second; None: nobody knows of another."""
    names = [f"c{n}" for n in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        several = Several(folder, names, names[:5] if rate is not None else ())
        await several.start()
        if rate is not None:
            await several.begin()
            await asyncio.sleep(8)
        pids = {n: p.pid for n, p in several.processes.items()}
        before, at, sent = {n: used(pid)[0] for n, pid in pids.items()}, time.monotonic(), []
        while time.monotonic() - at < seconds:
            await asyncio.sleep(1 / rate if rate else 0.1)
            if rate:
                n = len(sent)
                asked = several.propose(f"p{n}", {f"k{n % 100}": n}, names[n % count], 10)
                sent.append(asyncio.ensure_future(asked))
        took, after = time.monotonic() - at, {n: used(pid) for n, pid in pids.items()}
        agreed = [x for x in await asyncio.gather(*sent) if x]
        cpu = {n: (after[n][0] - before[n]) / took * 1000 for n in names}
        late = [json.loads(line)["ms"] for n in names for line in several.said[n] if '"loop held"' in line]
        print(
            json.dumps(
                {
                    "what": what,
                    "controllers": count,
                    "cpu_ms_a_second": round(fmean(cpu.values()), 1),
                    "cpu_most": round(max(cpu.values()), 1),
                    "memory_mb": round(fmean(a[1] for a in after.values()), 1),
                    "agreed": len(agreed),
                    "asked": len(sent),
                    "loop_held_over_100ms": max(late, default=0),
                }
            ),
            flush=True,
        )
        await several.close()


if __name__ == "__main__":
    count, seconds = (int(x) for x in (sys.argv[1:] + ["15", "20"][len(sys.argv) - 1 :])[:2])
    for what, rate in (("alone", None), ("members", 0), ("50 entries a second", 50)):
        asyncio.run(measured(what, count, seconds, rate))
