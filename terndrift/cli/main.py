"""The commands and what they have in common: one clear line and exit code 2 for bad use or bad files."""

import asyncio
import importlib
import json
import sys

import click

from terndrift import deployment, logs, records, service
from terndrift.hints import cmcd, cmsd
from terndrift.listing.lines import Unusable
from terndrift.store.store import Damaged, Held

# Commands that are imported once they are asked for: a controller that starts needs none of them, and when
# many start at once on a machine what each imports is most of what they wait for.
LATER = {
    "catalogue": "stored",
    "store": "stored",
    "xds": "xds",
    "sip": "sip",
    "call": "sip",
    "fleet": "fleet",
    "work": "work",
}


class Group(click.Group):
    """Turns what is wrong with a file or an address into a line on standard error and exit code 2."""

    def list_commands(self, ctx):
        return sorted({*super().list_commands(ctx), *LATER})

    def get_command(self, ctx, name):
        if name in LATER:
            return getattr(importlib.import_module(f"terndrift.cli.{LATER[name]}"), name)
        return super().get_command(ctx, name)

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except (records.Wrong, deployment.InconsistentRecordError, Unusable, Damaged, Held) as wrong:
            click.echo(f"terndrift: {wrong}", err=True)
        except OSError as wrong:
            where = f"{wrong.filename}: " if wrong.filename else ""
            click.echo(f"terndrift: {where}{wrong.strerror or wrong}", err=True)
        ctx.exit(2)


@click.group(cls=Group, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name=None, version="0.2.0", prog_name="terndrift")
def cli():
    """A session front that places and shapes video playbacks on streaming servers with shared links."""


KINDS = click.Choice(["front", "fleet", "list", "day", "work"])


def _kind(value_of):
    """What kind of record a file is, told by the fields that only one kind has."""
    for kind, mark in (("front", "controller"), ("fleet", "uplinks"), ("day", "troubles"), ("work", "needs")):
        if mark in value_of:
            return kind
    return "list"


@cli.command()
@click.argument("file", type=click.Path())
@click.option("--kind", type=KINDS, help="What the file is; told from its fields if not given.")
def check(file, kind):
    """Check a records FILE; every error is printed with its place."""
    if kind is None:
        try:
            with open(file, encoding="utf-8") as text:
                words = text.read()
        except UnicodeDecodeError as wrong:
            raise OSError(None, f"not text: {wrong}", file) from None
        kind = _kind(words)
    value = service.read(file) if kind == "front" else records.load(file, kind)
    if kind == "front" and value["list"]:
        records.load(value["list"], "list")
    elif "deployment" in value:
        deployment.check_record(value["deployment"])
    click.echo(f"{file}: a {kind} file, nothing amiss")


@cli.command()
@click.argument("file", type=click.Path())
@click.option("--policy", default="design", hidden=True, help="A baseline in place of the design.")
def serve(file, policy):
    """Run a controller by a front FILE until SIGTERM, which drains it."""
    from terndrift.rehearse.baselines import POLICIES  # baselines only; the design needs none of it

    if policy not in POLICIES:
        raise click.UsageError(f"no policy '{policy}'; there are {', '.join(POLICIES)}")
    asyncio.run(_serve(service.read(file), POLICIES[policy]))


async def _serve(value, controller):
    await service.Service(value, controller=controller).run()


@cli.command()
@click.argument("file", type=click.Path())
def streamer(file):
    """Run the stand-in streamers of a fleet FILE until SIGTERM."""
    from terndrift.standin.fleet import Fleet, write_list

    value = records.load(file, "fleet")

    def ready(fleet):
        if value["ready"]:
            write_list(value["ready"], fleet.lines())
        for s in fleet.streamers.values():
            click.echo(f"{s.name} {s.address}")

    async def run():
        await Fleet(value).run(ready)

    asyncio.run(run())


@cli.command()
@click.argument("url")
@click.option("--seconds", type=float, help="Watch so long at most.")
@click.option("--top", type=int, help="The highest rate of use, kbit/s (CMCD tb).")
@click.option("--abandon", type=float, default=5.0, show_default=True, help="Give a set-up up after s.")
def play(url, seconds, top, abandon):
    """Play URL as a stand-in player would, and print what happens, a JSON line each."""
    from urllib.parse import urlsplit

    from terndrift.standin.player import Player

    parts = urlsplit(url)
    path = parts.path.split("/")
    if parts.scheme != "http" or not parts.port or len(path) != 4 or path[1] != "v":
        raise click.UsageError(f"'{url}' is not http://HOST:PORT/v/TITLE/main.m3u8")

    class Printed:
        def note(self, what, **facts):
            click.echo(json.dumps({"what": what, **facts}))

    player = Player(
        lambda: f"{parts.hostname}:{parts.port}",
        path[2],
        Printed(),
        seconds=seconds,
        top=top,
        abandon=abandon,
    )
    seen = asyncio.run(player.watch())
    if not seen:
        sys.exit(1)


@cli.command()
@click.option("--seconds", type=float, default=0.0, help="End by itself after so long; 0: at SIGTERM.")
@click.option("--try", "try_it", is_flag=True, help="Also play the title once, and end.")
def demo(seconds, try_it):
    """One controller, three streamers and one title, all on loopback; prints a URL that curl can play."""
    from terndrift.rehearse.demo import run

    logs.configure_logging("warning")
    sys.exit(asyncio.run(run(click.echo, seconds, try_it)))


@cli.command()
@click.argument("day")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--controllers", type=click.IntRange(1, 64), help="If not as many as the day says.")
@click.option("--streamers", type=click.IntRange(1, 512), help="If not as many as the day says.")
@click.option("--seconds", type=click.IntRange(5, 7200), help="If not as long as the day says.")
@click.option("--policy", default="design", show_default=True, help="The design, or a baseline beside it.")
@click.option("--report", "out", type=click.Path(dir_okay=False), help="Write the report here, as JSON.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep ledgers and logs in this folder.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Draw the day second by second (PNG, SVG).")
@click.option("--virtual", is_flag=True, help="In virtual time, without processes: days without troubles.")
def rehearse(day, seed, controllers, streamers, seconds, policy, out, keep, plot, virtual):
    """Play DAY (a name, or a day's records file) on loopback; exit 0 only if all six rules held."""
    import os

    from terndrift.rehearse import run

    played = run.load(day)
    size = played["size"]
    sizes = controllers or size["controllers"], streamers or size["streamers"], seconds or size["seconds"]
    if virtual:
        report = _virtual(played, seed, sizes, policy, plot)
        return _told(report, day, out)
    if keep:
        os.makedirs(keep, exist_ok=True)
        if os.listdir(keep):  # what says there that a process is ready would be of another run
            raise click.UsageError(f"--keep {keep}: not empty")
    rehearsal = run.Rehearsal(played, seed, *sizes, policy, keep, plot)
    try:
        report = asyncio.run(rehearsal.run())
    except run.NotStarted as wrong:
        click.echo(f"terndrift: {wrong}", err=True)
        sys.exit(3)
    return _told(report, day, out)


def _virtual(day, seed, sizes, policy, plot):
    from terndrift.rehearse import virtual
    from terndrift.rehearse.baselines import POLICIES

    try:
        world = virtual.World(day, seed, *sizes, POLICIES[policy])
    except virtual.NotPlayed as wrong:
        raise click.UsageError(str(wrong)) from None
    world.run()
    facts = world.facts()
    if plot:
        from terndrift.rehearse.plot import plot as draw

        draw(facts, world.seconds, plot, f"seed {seed}, {sizes[0]} controllers, virtual time")
    return world.report(facts)


def _told(report, day, out):
    if out:
        with open(out, "w", encoding="utf-8") as file:
            json.dump({"day": day, **report}, file, indent=1)
    click.echo(json.dumps(report, indent=1))
    sys.exit(1 if any(report["rules"].values()) or report["bugs"] or report.get("wrong_placements") else 0)


@cli.group()
def hints():
    """CMCD and CMSD hints."""


@hints.command("parse")
def hints_parse():
    """Read a CMCD or CMSD header, or a query with CMCD=..., on standard input; print it as JSON."""
    headers, query = {}, None
    for line in sys.stdin.read(1 << 20).splitlines():
        name, colon, value = line.partition(":")
        known = next(
            (h for h in (*cmcd.HEADERS, cmsd.STATIC, cmsd.DYNAMIC) if h.lower() == name.strip().lower()), None
        )
        if colon and known:
            headers[known] = f"{headers[known]},{value.strip()}" if known in headers else value.strip()
        elif "CMCD=" in line:
            query = cmcd.from_query(line.strip().rpartition("?")[2].split(" ")[0])
        elif line.strip():
            headers.setdefault(cmcd.REQUEST, line.strip())  # the bare value of a header, keys anywhere
    request, answer = cmcd.parse(headers, query), cmsd.parse(headers)
    out = {
        "request": request.values,
        "custom": {k: v for k, (_, v) in request.custom.items()} | answer.custom,
        "static": answer.static,
        "dynamic": [{"server": n, **p} for n, p in answer.dynamic],
        "ignored": [{"key": i.key, "why": i.why} for i in [*request.ignored, *answer.ignored]],
    }
    click.echo(json.dumps(out, indent=2))


def main():
    cli(prog_name="terndrift")
