"""What the controller adds: the same load straight to stand-in streamers and through one controller.

    python -m benchmarks.path [--rate 200] [--live 1000] [--seconds 20] [--profile]

Set-ups come open-loop at a set rate, each from its own due time, so that waiting for a slow answer does not
thin the load out; playbacks that live ask for a segment every segment time.
"""

import asyncio
import cProfile
import json
import os
import pstats
import signal
import subprocess
import sys
import tempfile
import time

import click
from hdrh.histogram import HdrHistogram

from terndrift import records, service
from terndrift.hints import cmcd
from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.http.transport import NUMBER, PLAYBACK

DEPLOYMENT = """
deployment: {
	plans: free: {startup_target: 800ms, abandon: 3s}
	ladder: {rates: [4kB/s, 8kB/s, 16kB/s], revenue: [0.4, 0.7, 1.0]}
	links: {unit: 4MB/s, uplink: 40MB/s, places: box: 4000, lag: 1s}
	rules: {cold_for: 1s}
	segment: 2s
	titles: "clip": {plan: "free", seconds: 3600}
}
"""
STREAMERS = 12


class Load:
    def __init__(self, addresses, straight, rate, live, seconds, begin, number):
        self.addresses, self.straight = addresses, straight
        self.rate, self.live, self.seconds, self.begin, self.number = rate, live, seconds, begin, number
        self.pool = Pool(most=2000)
        self.set_ups, self.segments = HdrHistogram(1, 10**8, 3), HdrHistogram(1, 10**8, 3)
        self.codes, self.tasks, self.n = {}, set(), 0

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def get(self, address, path, headers, histogram, due):
        try:
            code, _, body = await fetch(self.pool, address, "GET", path, headers, within=20.0)
        except (Unreached, Broken):
            code, body = 0, b""
        self.codes[code] = self.codes.get(code, 0) + 1
        if histogram is not None and code == 200:
            histogram.record_value(max(1, int((time.time() - due) * 1e6)))
        return code, body

    async def set_up(self, due, histogram):
        self.n += 1
        address, visit = self.addresses[self.n % len(self.addresses)], f"{self.number}-{self.n}"
        custom = {PLAYBACK: (cmcd.SESSION, visit), NUMBER: (cmcd.SESSION, 1)} if self.straight else {}
        said = {"sid": visit, "ot": "m", "sf": "h", "st": "v", "br": 128}
        code, body = await self.get(address, "/v/clip/main.m3u8", cmcd.headers(said, custom), histogram, due)
        if code != 200:
            return None
        base = [x for x in body.decode().splitlines() if x.startswith("/")][-1].rsplit("/", 1)[0]
        return address, base, said, custom

    async def lives(self, at, left):
        """A playback that plays until the run's end, or for a moment: leaves room for the next."""
        found = await self.set_up(at, None)
        if found is None:
            return
        address, base, said, custom = found
        n = 0
        while time.time() < left:
            due = at + 2.0 * (n + 1)
            await asyncio.sleep(max(0.0, due - time.time()))
            headers = cmcd.headers({**said, "ot": "av"}, custom)
            await self.get(
                address, f"{base}/{n}.ts", headers, self.segments if time.time() > self.begin else None, due
            )
            n += 1

    async def short(self, due):
        found = await self.set_up(due, self.set_ups)
        if found and not self.straight:
            path = "/".join(found[1].split("/")[:3])
            await fetch(self.pool, found[0], "DELETE", path)
        elif found:
            await fetch(self.pool, found[0], "DELETE", f"/s/{found[2]['sid']}")

    async def run(self):
        end, ramp = self.begin + self.seconds, 10.0
        for n in range(self.live):
            at = self.begin - ramp + ramp * n / self.live
            await asyncio.sleep(max(0.0, at - time.time()))
            self.spawn(self.lives(at, end))
        n = 0
        while (due := self.begin + n / self.rate) < end:
            n += 1
            await asyncio.sleep(max(0.0, due - time.time()))
            self.spawn(self.short(due))
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        return {
            "set_ups": self.set_ups.encode().decode(),
            "segments": self.segments.encode().decode(),
            "codes": self.codes,
        }


@click.group()
def cli():
    """What the controller adds."""


@cli.command()
@click.argument("text")
def load(text):
    value = json.loads(text)
    click.echo(json.dumps(asyncio.run(Load(**value).run())))


@cli.command()
@click.argument("file")
@click.argument("out")
def profiled(file, out):
    profile = cProfile.Profile()
    profile.enable()
    asyncio.run(service.Service(service.read(file)).run())
    profile.disable()
    profile.dump_stats(out)


PARTS = (
    ("module", "terndrift/decide.py"),
    ("core", "terndrift/core/"),
    ("hints", "terndrift/hints/"),
    ("hints", "http_sfv"),
    ("log", "structlog"),
    ("log", "terndrift/logs.py"),
    ("log", "logging"),
    ("HTTP", "tornado"),
    ("HTTP", "terndrift/http/"),
    ("HTTP", "asyncio"),
    ("HTTP", "socket"),
)


def by_part(path):
    """CPU seconds by part: a built-in's time goes to the parts that called it."""
    stats, out = pstats.Stats(path), {}

    def part(file):
        return next((name for name, mark in PARTS if mark in file), None)

    for (file, _, function), (_, _, own, _, callers) in stats.stats.items():
        if "poll" in function:
            continue  # waiting
        name = part(file)
        if name:
            out[name] = out.get(name, 0.0) + own
            continue
        for (caller, _, _), (_, _, share, _) in callers.items():
            out[part(caller) or "other"] = out.get(part(caller) or "other", 0.0) + share
    return out


def spawn(*args, **more):
    return subprocess.Popen([sys.executable, "-m", *args], text=True, **more)


def appears(path):
    until = time.monotonic() + 30
    while not os.path.exists(path):
        if time.monotonic() > until:
            raise SystemExit(f"{path} did not appear")
        time.sleep(0.02)


def drive(addresses, straight, rate, live, seconds, loaders):
    begin = time.time() + 13.0
    spread = {
        "addresses": addresses,
        "straight": straight,
        "rate": rate / loaders,
        "live": live // loaders,
        "seconds": seconds,
        "begin": begin,
    }
    running = [
        spawn("benchmarks.path", "load", json.dumps({**spread, "number": n}), stdout=subprocess.PIPE)
        for n in range(loaders)
    ]
    set_ups, segments, codes = HdrHistogram(1, 10**8, 3), HdrHistogram(1, 10**8, 3), {}
    for process in running:
        out = json.loads(process.communicate(timeout=seconds + 90)[0])
        set_ups.decode_and_add(out["set_ups"].encode())
        segments.decode_and_add(out["segments"].encode())
        for code, count in out["codes"].items():
            codes[code] = codes.get(code, 0) + count
    return set_ups, segments, codes


def told(histogram):
    return {f"p{p}": histogram.get_value_at_percentile(p) for p in (50, 90, 99)} | {
        "count": histogram.get_total_count()
    }


@cli.command()
@click.option("--rate", default=200.0, show_default=True)
@click.option("--live", default=1000, show_default=True)
@click.option("--seconds", default=20, show_default=True)
@click.option("--loaders", default=3, show_default=True)
@click.option("--profile", is_flag=True, help="Also say where the controller's CPU goes (slows it down).")
@click.option("--level", default="warning", show_default=True, help="How much the controller logs.")
@click.option("--keep", type=click.Path(), help="Keep the profile here.")
def run(rate, live, seconds, loaders, profile, level, keep):
    with tempfile.TemporaryDirectory() as folder:
        fleets, lines = [], {}
        for rack in range(3):
            rows = "".join(
                f'streamers: "s{rack}{n}": {{id: {rack * 10 + n}, rack: {rack}, kind: "box", link: 4MB/s}}\n'
                for n in range(STREAMERS // 3)
            )
            path = os.path.join(folder, f"fleet{rack}.rec")
            with open(path, "w", encoding="utf-8") as file:
                file.write(DEPLOYMENT + rows + f'uplinks: {{"{rack}": 40MB/s}}\nready: "{path}.list"\n')
            fleets.append(spawn("terndrift", "streamer", path, stdout=subprocess.DEVNULL))
            appears(path + ".list")
            lines.update(records.load(path + ".list", "list")["streamers"])
        from terndrift.standin.fleet import write_list

        write_list(os.path.join(folder, "list.rec"), lines)
        front = os.path.join(folder, "front.rec")
        with open(front, "w", encoding="utf-8") as file:
            file.write(
                DEPLOYMENT + 'controller: name: "c0"\nlist: "list.rec"\nready: "ready"\n'
                f'http: drain: 0s\nlog: level: "{level}"\n'
            )
        prof = os.path.join(folder, "prof")
        args = ("benchmarks.path", "profiled", front, prof) if profile else ("terndrift", "serve", front)
        controller = spawn(*args)
        appears(os.path.join(folder, "ready"))
        with open(os.path.join(folder, "ready"), encoding="utf-8") as file:
            address = file.read().strip()
        straight = drive([x["address"] for x in lines.values()], True, rate, live, seconds, loaders)
        before = cpu(controller.pid)
        through = drive([address], False, rate, live, seconds, loaders)
        used = cpu(controller.pid) - before
        out = {
            "rate": rate,
            "live": live,
            "straight": told(straight[0]),
            "through": told(through[0]),
            "segments_straight": told(straight[1]),
            "segments_through": told(through[1]),
            "codes": through[2],
            "controller_cpu_share": round(used / (seconds + 13), 3),
        }
        out["added_us"] = {p: out["through"][p] - out["straight"][p] for p in ("p50", "p90", "p99")}
        out["ratio"] = {p: round(out["through"][p] / max(1, out["straight"][p]), 2) for p in ("p50", "p99")}
        controller.send_signal(signal.SIGTERM)
        controller.wait(30)
        if profile:
            parts = by_part(prof)
            if keep:
                os.replace(prof, keep)
            whole = sum(parts.values())
            ranked = sorted(parts.items(), key=lambda part: -part[1])
            out["cpu_by_part"] = {name: round(spent / whole, 3) for name, spent in ranked}
        for process in fleets:
            process.terminate()
            process.wait(30)
        click.echo(json.dumps(out, indent=1))


def cpu(pid):
    """CPU seconds that a process has used so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    cli()
