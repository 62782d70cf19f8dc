"""`terndrift xds`: a source of streamers as this program reads it, and its own list served in that form."""

import asyncio
import json
import signal
import sys

import click

from terndrift import logs, records, service
from terndrift.cli.stored import ask, fail
from terndrift.core.runner import Clock
from terndrift.listing.file import lines as file_lines
from terndrift.listing.lines import Unusable, checked
from terndrift.listing.service import Listing
from terndrift.xds.follow import Sources
from terndrift.xds.server import serving
from terndrift.xds.sources import check, source

SECOND = 1_000_000_000
SHOWN = ("id", "address", "rack", "kind", "zone", "standing", "weight", "started", "sources")


class Heard:
    """A log that keeps what is wrong, for a command that ends with it."""

    def __init__(self, loud=False):
        self.said, self.loud = [], loud

    def __getattr__(self, level):
        def tell(event, **facts):
            if level in ("warning", "error"):
                self.said.append((level, event, facts))
            if self.loud and level != "debug":
                click.echo(json.dumps({"level": level, "event": event, **facts}, default=str), err=True)

        return tell


def record_of(spec, form):
    """An #Xds record of what stands on the command line; None for a list file."""
    if spec.endswith(".rec"):
        return None
    files = spec.split(",") if spec.endswith(".json") else ["", ""]
    if len(files) != 2:
        raise click.UsageError(f"'{spec}': two files are wanted, CLUSTERS.json,ENDPOINTS.json")
    form = "path" if files[0] else "rest" if spec.startswith("http://") else form
    out = {
        "source": "" if files[0] else spec,
        "form": form,
        "clusters": files[0],
        "endpoints": files[1],
        "refresh": SECOND,
        "first": 15 * SECOND,
        "largest": 64 << 20,
        "ca": "",
        "certificate": "",
        "key": "",
        "loads": False,
    }
    check(spec, out)
    return out


class Read:
    """One source followed for a command: `async with` gives it once all it had to say has come."""

    def __init__(self, spec, form, within, log=None, hand=lambda *_: None):
        self.spec, self.within, self.log, self.clock = spec, within, log or Heard(), Clock()
        self.listing, self.task, self.reader = Listing(self.clock, hand, self.log, (spec,)), None, None
        self.value = record_of(spec, form)

    async def __aenter__(self):
        if self.value is None:
            value = records.load(self.spec, "list")
            self.listing.whole(self.spec, checked(file_lines(value, self.clock.from_wall_seconds), False))
            return self
        who = {"name": "terndrift-xds", "region": "", "zone": ""}
        follower = source(self.spec, self.value, who, self.listing, self.clock, 0, self.log)
        self.reader, self.task = follower.reader, asyncio.ensure_future(follower.follow())
        loop = asyncio.get_running_loop()
        until = loop.time() + self.within
        while not self.reader.settled and loop.time() < until:
            if self.reader.refused:  # it will not settle; what else comes with it is worth a moment
                until = min(until, loop.time() + 0.3)
            await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *_):
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task], timeout=2.0)
        await self.listing.close()

    def wrong(self):
        """Why nothing sound was read, or None."""
        if self.reader is None or self.reader.settled and not self.reader.refused:
            return None
        said = [f"{event}: {facts.get('why', '')}" for _, event, facts in self.log.said]
        return said[-1] if said else f"{self.spec}: nothing within {self.within:g} s"


def table(rows, columns):
    """Rows of plain values as aligned text."""
    texts = [
        [
            ", ".join(map(str, r[c])) if isinstance(r[c], list) else "" if r[c] is None else str(r[c])
            for c in columns
        ]
        for r in rows
    ]
    widths = [max(map(len, column)) for column in zip(columns, *texts, strict=True)]
    return "\n".join(
        "  ".join(t.ljust(w) for t, w in zip(row, widths, strict=True)).rstrip() for row in [columns, *texts]
    )


form = click.option(
    "--form",
    type=click.Choice(["delta", "sotw"]),
    default="delta",
    show_default=True,
    help="Of a gRPC source.",
)
within = click.option("--within", type=float, default=10.0, show_default=True, help="Seconds to wait for it.")


@click.group()
def xds():
    """Streamers as Envoy's clusters and endpoints.

    A SOURCE is HOST:PORT (gRPC), http://HOST:PORT (REST in JSON), CLUSTERS.json,ENDPOINTS.json (files as of
    Envoy's path source) or a list file of this program (LIST.rec)."""


@xds.command()
@click.argument("spec", metavar="SOURCE", required=False)
@click.option("--admin", metavar="HOST:PORT", help="The list in force at a running controller instead.")
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
@form
@within
def dump(spec, admin, as_json, form, within):
    """Print the streamers that SOURCE lists, as they would be taken."""
    if bool(spec) == bool(admin):
        raise click.UsageError("a SOURCE is wanted, or --admin")
    if admin:
        code, report = ask(admin, "GET", "/listing")
        if code != 200:
            fail(f"{admin}: {report}")
    else:

        async def once():
            async with Read(spec, form, within) as read:
                if why := read.wrong():
                    fail(why)
                return read.listing.report()

        report = asyncio.run(once())
    if as_json:
        click.echo(json.dumps(report, indent=1))
        return
    click.echo(table(report["streamers"], SHOWN))
    for name, said in report["sources"].items():
        age = "never heard" if said["age"] is None else f"heard {said['age']:.1f} s ago"
        doubted = f", {said['doubted']} doubted" if said["doubted"] else ""
        click.echo(
            f"{name}: {said['entries']} streamers, {age}{'' if said['reached'] else ', out of reach'}"
            f"{doubted}",
            err=True,
        )
    for alarm in report["alarms"]:
        click.echo(f"alarm {alarm['ago']:.0f} s ago: {alarm['what']}", err=True)


@xds.command()
@click.argument("spec", metavar="SOURCE")
@click.option("--seconds", type=float, help="Watch so long; until it is stopped if not given.")
@form
def watch(spec, seconds, form):
    """Print each change of SOURCE, a JSON line each, until it is stopped."""

    def hand(entries, there, gone, forgotten, old):
        for e in entries:
            click.echo(
                json.dumps(
                    {
                        "id": e.id,
                        "address": read.listing.flow.numbers.taken.get(e.id),
                        "standing": "removed" if e.id in gone else e.standing.name.lower(),
                        "rack": e.rack,
                        "kind": e.kind,
                        "zone": e.zone,
                        "weight": e.weight,
                    }
                )
            )

    async def run():
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        async with read:
            try:
                await asyncio.wait_for(stop.wait(), seconds)
            except TimeoutError:
                return

    read = Read(spec, form, 0.0, Heard(loud=True), hand)
    asyncio.run(run())


@xds.command()
@click.argument("before", metavar="SOURCE")
@click.argument("after", metavar="SOURCE")
@form
@within
def diff(before, after, form, within):
    """Print what differs between two sources; exit 1 if anything does."""

    async def both():
        out = []
        for spec in (before, after):
            async with Read(spec, form, within) as read:
                if why := read.wrong():
                    fail(why, 2)
                out.append({r["address"]: r for r in read.listing.report()["streamers"]})
        return out

    was, now = asyncio.run(both())
    found = 0
    for address in sorted(was.keys() | now.keys()):
        a, b = was.get(address), now.get(address)
        if a is None or b is None:
            click.echo(f"{'+' if a is None else '-'} {address}")
            found += 1
            continue
        differs = [f"{k}: {a[k]} -> {b[k]}" for k in SHOWN if k != "sources" and a[k] != b[k]]
        if differs:
            click.echo(f"~ {address}  {', '.join(differs)}")
            found += 1
    sys.exit(1 if found else 0)


def doubtful(view):
    """What is sound and likely not meant, a line each."""
    for name, cluster in sorted(view.clusters.items()):
        said = view.assignments.get(cluster.follows)
        if said is None:
            yield f"cluster {name}: no endpoints came for it"
        elif not said.lines:
            yield f"cluster {name}: it has no endpoints"
        elif said.drop:
            yield f"cluster {name}: {said.drop:.0%} of what is wanted there is turned away"
    ids = {}
    for address, held in sorted(view.held.items()):
        if len(held) > 1:
            yield f"{address}: in {len(held)} clusters, {', '.join(sorted(held))}: it is one streamer"
        line = held[min(held)]
        if line.id is not None and ids.setdefault(line.id, address) != address:
            yield f"{address}: its id {line.id} is that of {ids[line.id]}: it would wait"
        if not line.kind:
            yield f"{address}: no kind, so that its places are those of the smallest"
        if line.rack == 0 and all(view.assignments[n].lines[address][2].rack is None for n in held):
            yield f"{address}: no rack and no sub-zone: it shares rack 0"


@xds.command()
@click.argument("spec", metavar="SOURCE")
@form
@within
def lint(spec, form, within):
    """Print all that is wrong with what SOURCE lists, and what is likely not meant; exit 1 if any is
    wrong."""

    async def run():
        async with Read(spec, form, within) as read:
            if read.reader is None:
                return [], []
            session = read.reader.session
            faults = [f for found in session.last.values() for f in found] or (
                [read.wrong()] if read.wrong() else []
            )
            return faults, list(doubtful(read.reader.view))

    try:
        faults, doubts = asyncio.run(run())
    except Unusable as wrong:
        faults, doubts = [str(wrong)], []
    for what in faults:
        click.echo(f"wrong: {what}")
    for what in doubts:
        click.echo(f"doubtful: {what}")
    if not faults and not doubts:
        click.echo(f"{spec}: nothing amiss")
    sys.exit(1 if faults else 0)


@xds.command()
@click.argument("file", type=click.Path())
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address of the gRPC server.")
@click.option("--loads", type=float, default=5.0, show_default=True, help="Seconds between load reports.")
def serve(file, listen, loads):
    """Serve the list of a front FILE, merged from all its sources, until SIGTERM; no playbacks are taken.

    A controller serves its own by `offer` in its front file."""
    value = service.read(file)
    log = logs.configure_logging(value["log"]["level"], value["log"]["form"])

    async def run():
        clock = Clock()
        sources = Sources(value, clock, lambda *_: None, log)
        server = serving(sources.listing, clock, value["controller"]["region"], log, int(loads * SECOND))
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        try:
            await sources.start()
            address = await server.start(listen)
            click.echo(f"serving {address}")
            while not stop.is_set():
                await sources.every_second()
                try:
                    await asyncio.wait_for(stop.wait(), 1.0)
                except TimeoutError:
                    continue
        finally:
            await server.stop()
            await sources.close()

    asyncio.run(run())
