"""What a list over xDS costs: one change by the size of the list, from source to decision, memory, a flood.

python -m benchmarks.xds [--seconds 30]
"""

import asyncio
import contextlib
import gc
import json
import sys
import time
import tracemalloc
from types import SimpleNamespace

import click
from hdrh.histogram import HdrHistogram

from terndrift.core.core import Core
from terndrift.core.runner import Clock
from terndrift.interface import Deployment, Ladder, Links, Plan, Rules
from terndrift.listing.service import Listing
from terndrift.process import GC_THRESHOLDS
from terndrift.standin.xds import Source, streamer
from terndrift.xds import codec
from terndrift.xds.reader import Reader
from terndrift.xds.session import CLUSTER, ENDPOINT
from terndrift.xds.sources import source as made_source

SECOND, MS = 1_000_000_000, 1_000_000
SIZES = (100, 1_000, 10_000)
EACH = 100  # endpoints in a cluster


class Quiet:
    def __getattr__(self, level):
        return lambda *_, **__: None


def deployment():
    plans = {"free": Plan("free", 1.0, 1.0, 0, 3, 0, SECOND, True)}
    rules = Rules(
        answer_slack=0,
        cold_for=10 * SECOND,
        cold_share=0.4,
        fall_multiple=3.0,
        fall_window=2 * SECOND,
        attempt_limit=4,
        extra_attempts=5,
        extra_share=0.1,
        extra_window=10 * SECOND,
        longest_advice=SECOND,
        probes=False,
        peers=False,
    )
    ladder = Ladder((100.0, 200.0, 400.0, 800.0), (0.25, 0.5, 0.75, 1.0), 6.0, SECOND // 2)
    return Deployment(1, 0, 1, "", plans, ladder, Links(2000.0, 9000.0, {"box": 20}, SECOND, 0.0), rules)


def clusters(count):
    return {
        f"c{c}": {
            f"s{n}": streamer(f"s{n}", n + 1, f"10.{n // 65000}.{n // 250 % 250}.{n % 250}:80", n // EACH)
            for n in range(c * EACH, (c + 1) * EACH)
        }
        for c in range(count // EACH)
    }


class Following:
    """A listing that feeds a core, as in service, with neither front nor store."""

    def __init__(self):
        self.clock = Clock()
        self.core = Core(deployment(), self.clock.now())
        self.core.controller.started_without_state = False
        self.seen = []  # (when, entries) as the decisions had taken them
        self.listing = Listing(self.clock, self.hand, Quiet(), ("main",))

    def hand(self, entries, there, gone, forgotten, old):
        self.core.list_changed(self.clock.now(), entries, False, old)
        self.seen.append((time.monotonic_ns(), entries))

    def follow(self, address, form):
        value = {
            "source": address,
            "form": form,
            "clusters": "",
            "endpoints": "",
            "refresh": SECOND,
            "first": 15 * SECOND,
            "largest": 16 << 20,
            "ca": "",
            "certificate": "",
            "key": "",
            "loads": False,
        }
        who = {"name": "bench", "region": "", "zone": ""}
        return made_source("main", value, who, self.listing, self.clock, 1, Quiet())


def response(form, type_url, names, lines, number):
    made = []
    for name in names:
        data = (
            codec.cluster_bytes(name)
            if type_url == CLUSTER
            else codec.assignment_bytes(name, lines[name].values(), float)
        )
        made.append((name, codec.mark(data), data))
    return codec.response(codec.answer(form, type_url, str(number), str(number), made), form)


async def one_change(size, form, rounds=60):
    """CPU ns of one change of one endpoint, from response bytes to the decisions having it: the median."""
    following, lines = Following(), clusters(size)
    reader = Reader("main", form, following.listing, following.clock, Quiet())
    await reader.arrived(response(form, CLUSTER, lines, lines, 1))
    await reader.arrived(response(form, ENDPOINT, lines, lines, 2))
    while following.listing.flow.next_at(0) is not None:
        await asyncio.sleep(0.02)
    costs = []
    for n in range(rounds):
        name = f"c{n % len(lines)}"
        first = next(iter(lines[name]))
        lines[name][first] = streamer(
            first, lines[name][first].id, lines[name][first].address, 0, weight=2 + n / 100
        )
        found = response(form, ENDPOINT, [name], lines, n + 3)
        await asyncio.sleep(0.012)  # past the time that changes are gathered: each is handed on by itself
        seen, began = len(following.seen), time.thread_time_ns()
        await reader.arrived(found)
        costs.append(time.thread_time_ns() - began)
        assert len(following.seen) == seen + 1
    await following.listing.close()
    return sorted(costs)[len(costs) // 2]


async def memory(size, decisions):
    """Bytes an endpoint: what the source's view and the listing keep of it, and the decisions if wanted."""
    gc.collect()
    tracemalloc.start()
    following, lines = Following(), clusters(size)
    if not decisions:
        following.listing.hand = lambda *_: None
    reader = Reader("main", "delta", following.listing, following.clock, Quiet())
    first, second = (response("delta", t, lines, lines, 1) for t in (CLUSTER, ENDPOINT))
    del lines
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    await reader.arrived(first)
    await reader.arrived(second)
    while following.listing.flow.next_at(0) is not None:
        await asyncio.sleep(0.02)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    await following.listing.close()
    assert len(following.listing.flow.there) == size
    return (after - before) / size


class Loop:
    """How long the loop was held: the gaps between the turns of a task that always wants the next one."""

    def __init__(self):
        self.longest, self.own, self.gaps = 0, 0, HdrHistogram(1, 10**10, 3)

    async def watch(self):
        at, cpu = time.monotonic_ns(), time.thread_time_ns()
        while True:
            await asyncio.sleep(0)
            now, used = time.monotonic_ns(), time.thread_time_ns()
            self.gaps.record_value(max(1, now - at))
            # a turn of a busy machine may be long for want of the processor: own is what this thread used
            self.longest, self.own = max(self.longest, now - at), max(self.own, used - cpu)
            at, cpu = now, used


async def source_process():
    """The source in a process of its own: `change PERIOD COUNT` on its input changes single endpoints."""
    source, sent = Source(), 0
    size = int(sys.argv[sys.argv.index("--source") + 1])
    source.clusters = clusters(size)
    source.changed()
    print(await source.start(), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        _, period, count = line.split()
        due, told = time.monotonic(), []
        for _ in range(int(count)):
            name = f"c{sent % len(source.clusters)}"
            lines = source.clusters[name]
            first = list(lines)[sent // len(source.clusters) % EACH]
            sent += 1
            lines[first] = streamer(
                first, lines[first].id, lines[first].address, lines[first].rack, weight=1 + sent / 10_000
            )
            told.append((lines[first].id, lines[first].weight, time.monotonic_ns()))
            source.changed(name)
            due += float(period)
            wait = due - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
        print("done", flush=True)
        await loop.run_in_executor(None, sys.stdin.readline)
        print(json.dumps(told), flush=True)


@contextlib.asynccontextmanager
async def sourced(size):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.xds",
        "--source",
        str(size),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 26,
    )
    try:
        yield process, (await process.stdout.readline()).decode().strip()
    finally:
        process.kill()
        await process.wait()


async def flood(size, form, period, count):
    """(latency histogram in us, Loop, calls of the decisions) of so many changes, one every `period` s."""
    gc.set_threshold(*GC_THRESHOLDS)  # as in service
    async with sourced(size) as (process, address):
        following = Following()
        follower = following.follow(address, form)
        task = asyncio.ensure_future(follower.follow())
        loop = Loop()
        watching = asyncio.ensure_future(loop.watch())
        while len(following.listing.merged.lines) < size:
            await asyncio.sleep(0.02)
        first = SimpleNamespace(longest=loop.longest, own=loop.own)
        await asyncio.sleep(0.5)
        gc.collect()
        gc.freeze()
        await asyncio.sleep(0.1)
        seen, loop.longest, loop.own = len(following.seen), 0, 0
        process.stdin.write(f"change {period} {count}\n".encode())
        await process.stdout.readline()
        await asyncio.sleep(2.0)  # the last of them come
        watching.cancel()
        process.stdin.write(b"tell\n")
        told = json.loads(await process.stdout.readline())
        newest = {id: weight for id, weight, _ in told}
        while any(following.core.controller.streamers[i].entry.weight < w - 1e-9 for i, w in newest.items()):
            await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.wait([task, watching])
        await following.listing.close()
    had = {}
    for at, entries in following.seen:
        for e in entries:
            had.setdefault(e.id, []).append((at, e.weight))
    latency = HdrHistogram(1, 10**8, 3)
    for id, weight, at in told:  # overtaken by a newer one of the same endpoint: seen with that
        latency.record_value(max(1, (next(t for t, w in had[id] if w >= weight - 1e-9) - at) // 1000))
    return latency, first, loop, len(following.seen) - seen


@click.command()
@click.option("--seconds", default=30, show_default=True)
@click.option("--source", type=int, hidden=True)
def main(seconds, source):
    if source:
        asyncio.run(source_process())
        return
    out = {}
    for form in ("delta", "sotw"):
        costs = {size: asyncio.run(one_change(size, form)) for size in SIZES}
        out[f"cpu_us_of_one_change_{form}"] = {s: round(c / 1000) for s, c in costs.items()}
        out[f"ratio_{form}"] = round(costs[SIZES[-1]] / costs[SIZES[0]], 2)
    out["bytes_an_endpoint"] = {
        name: round(asyncio.run(memory(10_000, decisions)))
        for name, decisions in (("view_and_listing", False), ("with_the_decisions", True))
    }
    for name, size, period, count in (("alone", 1_000, 0.02, 500), ("flood", 10_000, 0.001, seconds * 1000)):
        latency, first, loop, calls = asyncio.run(flood(size, "delta", period, count))
        out[name] = {
            "endpoints": size,
            "changes": count,
            "calls_of_the_decisions": calls,
            "change_to_decision_ms": {
                p: round(latency.get_value_at_percentile(p) / 1000, 1) for p in (50, 99, 100)
            },
            "first_list_longest_hold_ms": round(first.longest / MS, 1),
            "first_list_longest_own_cpu_ms": round(first.own / MS, 1),
            "longest_hold_ms": round(loop.longest / MS, 1),
            "longest_own_cpu_ms": round(loop.own / MS, 1),
            "hold_p99.9_ms": round(loop.gaps.get_value_at_percentile(99.9) / MS, 2),
        }
    click.echo(json.dumps(out, indent=1))


if __name__ == "__main__":
    main()
