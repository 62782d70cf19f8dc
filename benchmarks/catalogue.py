"""What the catalogue and its store cost: load, look-up, durable changes, recovery, stalls of the loop.

python -m benchmarks.catalogue [--titles 200000]
"""

import asyncio
import gc
import json
import os
import resource
import tempfile
import time

import click

from terndrift.catalogue.service import STREAM, Catalogue, Keeper
from terndrift.catalogue.titles import Title
from terndrift.catalogue.versions import Change, Versions
from terndrift.scheduler.runner import Runner
from terndrift.store.commit import Committer
from terndrift.store.files import Files
from terndrift.store.store import Store

PLANS, LADDER = {"free": (0, 3)}, (25e3, 50e3, 100e3, 200e3)


def rss():
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def title(n):
    return Title("free", 5 + n % 3000, tuple((n * 7 + k) % 200 for k in range(6)))


def opened(folder):
    versions = Versions(PLANS, LADDER)
    return versions, Committer(Store(Files(folder), {STREAM: Keeper(versions)}))


def median(values):
    return sorted(values)[len(values) // 2]


def look_up(versions, count):
    names, costs = [f"title-{n % count}" for n in range(7, 20_007)], []
    for _ in range(9):
        began = time.perf_counter()
        for name in names:
            versions.get(name)
        costs.append((time.perf_counter() - began) / len(names))
    return median(costs) * 1e9


def syncs(folder, seconds):
    """Bare appends of 300 bytes with fsync, a second."""
    handle, count, until = os.open(os.path.join(folder, "bare"), os.O_CREAT | os.O_WRONLY | os.O_APPEND), 0, 0
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        os.write(handle, b"x" * 300)
        os.fsync(handle)
        count += 1
    os.close(handle)
    return count / seconds


async def changes(catalogue, writers, seconds):
    """Durable changes a second, by so many writers at once."""
    until, done = time.perf_counter() + seconds, 0

    async def write(n):
        nonlocal done
        k = 0
        while time.perf_counter() < until:
            k += 1
            await catalogue.apply(Change(f"w{seconds}-{writers}-{n}-{k}", put={f"own-{n}": title(k)}))
            done += 1

    await asyncio.gather(*(write(n) for n in range(writers)))
    return done / seconds


async def stalls(work):
    """(p50, p99.9, longest) ms by which a 1 ms timer was late while `work` ran."""
    late, over = [], False

    async def beat():
        while not over:
            began = time.perf_counter()
            await asyncio.sleep(0.001)
            late.append(time.perf_counter() - began - 0.001)

    beating = asyncio.ensure_future(beat())
    await work
    over = True
    await beating
    late.sort()
    return [round(late[int(len(late) * p)] * 1000, 2) for p in (0.5, 0.999)] + [round(late[-1] * 1000, 2)]


async def measured(folder, titles):
    out = {"titles": titles}
    small = Versions(PLANS, LADDER)
    small.publish(small.stage(Change("s", put={f"title-{n}": title(n) for n in range(1000)}))[0])
    versions, committer = opened(folder)
    catalogue = Catalogue(versions, committer)
    gc.collect()
    before, began = rss(), time.perf_counter()
    await catalogue.apply(Change("load", put={f"title-{n}": title(n) for n in range(titles)}))
    out["load_s"] = round(time.perf_counter() - began, 2)
    gc.collect()
    out["resident_bytes_a_title"] = round((rss() - before) / titles)
    few, many = look_up(small, 1000), look_up(versions, titles)
    out["look_up_ns"] = {"1000": round(few), str(titles): round(many), "ratio": round(many / few, 2)}
    gc.freeze()  # as the service does
    gc.set_threshold(20_000, 20, 50)
    idle = asyncio.sleep(3.0)
    out["loop_late_ms_idle"] = await stalls(idle)
    runner = Runner(0.1)
    out["loop_late_ms_compacting"] = await stalls(_as_task(runner.run("snapshot", committer.snapshot())))
    out["longest_slice_ms"] = round(runner.longest / 1e6, 2)
    bare = syncs(folder, 2.0)
    one, some = await changes(catalogue, 1, 2.0), await changes(catalogue, 64, 2.0)
    out["a_second"] = {
        "bare_fsyncs": round(bare),
        "changes_by_1": round(one),
        "changes_by_64": round(some),
        "ratio_64": round(some / bare, 2),
    }
    committer.close()
    return out


async def _as_task(future):
    await future


def recovery(folder, records):
    """Seconds to open a folder of a log of so many records, and for a GB of it."""
    versions, committer = opened(folder)
    store = committer.store
    for start in range(0, records, 200):
        store.append(
            [
                (
                    STREAM,
                    {
                        "id": f"r{n}",
                        "by": "",
                        "at": 0.0,
                        "version": n + 1,
                        "drop": [],
                        "mark": "",
                        "put": {
                            f"t{n % 5000}": {
                                "plan": "free",
                                "seconds": 1 + n % 99,
                                "holders": [n % 9, 10 + n % 7],
                            }
                        },
                    },
                )
                for n in range(start, start + 200)
            ]
        )
    committer.close()
    size = sum(os.path.getsize(os.path.join(folder, n)) for n in os.listdir(folder) if n.startswith("log-"))
    began = time.perf_counter()
    versions, committer = opened(folder)
    took = time.perf_counter() - began
    committer.close()
    assert versions.visible == records
    return {"records": records, "log_bytes": size, "s": round(took, 2), "s_a_GB": round(took / size * 1e9)}


@click.command()
@click.option("--titles", default=200_000, show_default=True)
@click.option("--records", default=50_000, show_default=True)
@click.option("--folder", type=click.Path(), help="On the disk to measure; default: a temporary one.")
def main(titles, records, folder):
    with tempfile.TemporaryDirectory(dir=folder) as one, tempfile.TemporaryDirectory(dir=folder) as two:
        out = asyncio.run(measured(one, titles))
        out["recovery"] = recovery(two, records)
        out["most_resident_MB"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        click.echo(json.dumps(out, indent=1))


if __name__ == "__main__":
    main()
