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

from terndrift.http.client import Pool, fetch
from terndrift.rehearse.run import written
from terndrift.standin.network import Network

TICK = os.sysconf("SC_CLK_TCK")


def used(pid):
    """(CPU seconds, MB)."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return (int(fields[11]) + int(fields[12])) / TICK, int(file.read().split()[1]) * 4 / 1024


def front(folder, name, rank, names, members):
    value = {"controller": {"name": name, "rank": rank, "of": len(names)}, "list": "list.rec",
             "ready": f"{name}.ready", "catalogue": {"admin": "127.0.0.1:0"},
             "log": {"level": "info", "form": "json"}}
    if members is not None:
        voter = name in names[:5]
        value["fleet"] = {"name": "cost", "voters": names[:5], "store": f"{name}.record" if voter else "",
                          "members": members}
    path = os.path.join(folder, f"{name}.rec")
    with open(path, "w", encoding="utf-8") as file:
        file.write('include "deployment.rec"\n' + written(value)[2:-1])
    return path


async def measured(what, count, seconds, rate):
    names = [f"c{n}" for n in range(count)]
    network, processes, admins = Network(names), {}, {}
    if rate is not None:
        await network.start()
    with tempfile.TemporaryDirectory() as folder:
        with open(os.path.join(folder, "list.rec"), "w", encoding="utf-8") as file:
            file.write('streamers: a: {id: 1, address: "127.0.0.1:1", rack: 0, kind: "box"}')
        with open(os.path.join(folder, "deployment.rec"), "w", encoding="utf-8") as file:
            file.write('deployment: {\nplans: recorded: {startup_target: 1s, abandon: 3s}\n'
                       'ladder: {rates: [50kB/s], revenue: [1.0]}\n'
                       'links: {unit: 1MB/s, uplink: 2MB/s, places: box: 8}\n'
                       'titles: clip: {plan: "recorded", seconds: 2}\nrules: cold_for: 8s\n}\n')
        for rank, name in enumerate(names):
            members = network.members(name) if rate is not None else None
            log = open(os.path.join(folder, f"{name}.log"), "wb")  # noqa: SIM115 - the child's own
            processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "terndrift", "serve", front(folder, name, rank, names, members),
                stdout=log, stderr=log)
            log.close()
        for name in names:
            ready = os.path.join(folder, f"{name}.ready")
            while not os.path.exists(ready):
                await asyncio.sleep(0.05)
            with open(ready, encoding="utf-8") as file:
                lines = file.read().split()
            admins[name] = lines[1]
            if rate is not None:
                network.at(name, *lines[-2:])
        pool = Pool()

        async def post(name, path, value):
            body = json.dumps(value).encode()
            length = {"Content-Length": str(len(body))}
            return await fetch(pool, admins[name], "POST", path, length, within=20, body=body)

        if rate is not None:
            await post(names[0], "/fleet/restart", {"state": None})
            await asyncio.sleep(8)
        before, at, sent = {n: used(p.pid)[0] for n, p in processes.items()}, time.monotonic(), []
        while time.monotonic() - at < seconds:
            await asyncio.sleep(1 / rate if rate else 0.1)
            if rate:
                n = len(sent)
                sent.append(asyncio.ensure_future(post(names[n % count], "/fleet/propose", {
                    "id": f"p{n}", "value": {f"k{n % 100}": n}, "wait": 10})))
        took, after = time.monotonic() - at, {n: used(p.pid) for n, p in processes.items()}
        codes = [code for code, _, _ in await asyncio.gather(*sent)]
        cpu = {n: (after[n][0] - before[n]) / took * 1000 for n in names}
        late = 0
        for name in names:
            with open(os.path.join(folder, f"{name}.log"), "rb") as file:
                late = max([late] + [json.loads(line)["ms"] for line in file if b'"loop held"' in line])
        print(json.dumps({
            "what": what, "controllers": count, "cpu_ms_a_second": round(fmean(cpu.values()), 1),
            "cpu_most": round(max(cpu.values()), 1),
            "memory_mb": round(fmean(a[1] for a in after.values()), 1),
            "agreed": codes.count(200), "asked": len(codes), "loop_held_over_100ms": late}), flush=True)
        for process in processes.values():
            process.terminate()
        await asyncio.gather(*(p.wait() for p in processes.values()))
        if rate is not None:
            network.close()


if __name__ == "__main__":
    count, seconds = (int(x) for x in (sys.argv[1:] + ["15", "20"][len(sys.argv) - 1:])[:2])
    for what, rate in (("alone", None), ("members", 0), ("50 entries a second", 50)):
        asyncio.run(measured(what, count, seconds, rate))
