"""`terndrift catalogue` and `terndrift store`: titles of a running controller, and folders on the disk."""

import asyncio
import json
import os
import sys
import time
from urllib.parse import quote

import click
import msgspec

from terndrift import records, service
from terndrift.catalogue.service import STREAM, Catalogue, Keeper, over
from terndrift.catalogue.source import titles
from terndrift.catalogue.titles import Fault
from terndrift.catalogue.versions import Conflict, Versions, change_of
from terndrift.deployment import build_plans
from terndrift.http.client import Broken, Call, Pool, Unreached
from terndrift.listing.kept import STREAM as LISTING
from terndrift.listing.kept import Kept
from terndrift.store.commit import Committer
from terndrift.store.files import Files
from terndrift.store.recovery import number
from terndrift.store.store import Damaged, Held, Store, look, scanned

# Titles in one change of a load into a running controller: well under the admin's largest body.
PART = 5_000


def fail(what, code=1):
    click.echo(f"terndrift: {what}", err=True)
    sys.exit(code)


def ask(address, method, path, value=None, match=None):
    """(code, JSON) from a controller's admin listener; ends the command if there is none."""

    async def once():
        call, out = Call(Pool(), address), bytearray()
        body = b"" if value is None else msgspec.json.encode(value)
        headers = {"Content-Length": str(len(body)), "From": os.environ.get("USER", "cli")}
        if match is not None:
            headers["If-Match"] = f'"{match}"'
        await call.open(3.0)
        code = await asyncio.wait_for(call.run(method, path, headers, on_chunk=out.extend, body=body), 60)
        call.close()
        return code, json.loads(bytes(out) or b"null")

    try:
        return asyncio.run(once())
    except (Unreached, Broken, TimeoutError) as wrong:
        fail(f"{address}: {str(wrong) or type(wrong).__name__}")


def shown(code, value):
    click.echo(json.dumps(value, indent=1))
    if code != 200:
        sys.exit(1)


def read_titles(path):
    """name -> plain title, of a catalogue file: records, or one JSON object {"name": ..., ...} a line."""
    if not path.endswith((".jsonl", ".ndjson")):
        return titles(records.load(path, "catalogue"))
    out = {}
    with open(path, "rb") as file:
        for n, line in enumerate(file, 1):
            try:
                value = msgspec.json.decode(line)
                out[value.pop("name")] = value
            except (msgspec.DecodeError, KeyError, AttributeError, TypeError) as wrong:
                fail(
                    f"{path}:{n}: found {line[:60].decode(errors='replace').strip()!r}, wanted an object "
                    f"with a name ({type(wrong).__name__})",
                    2,
                )
    return out


address = click.option("--admin", required=True, metavar="HOST:PORT", help="The controller's admin listener.")


@click.group()
def catalogue():
    """Titles: load, change, look, go back."""


@catalogue.command("load")
@click.argument("file", type=click.Path())
@click.option("--admin", metavar="HOST:PORT", help="Into a running controller.")
@click.option("--front", type=click.Path(), help="Into the store of a front file whose controller is down.")
@click.option("--whole", is_flag=True, help="Titles that FILE does not name are dropped.")
def load(file, admin, front, whole):
    """Put every title of FILE (records, or JSON lines)."""
    if (admin is None) == (front is None):
        raise click.UsageError("one of --admin and --front is wanted")
    put = read_titles(file)
    if front:
        return _load_stored(service.read(front), put, whole)
    names, code, value = sorted(put), 200, {}
    if whole and len(names) > PART:
        raise click.UsageError(f"a whole catalogue of more than {PART} titles: use --front")
    mark = f"load-{time.time_ns():x}"
    for start in range(0, len(names), PART):
        part = {n: put[n] for n in names[start : start + PART]}
        code, value = ask(
            admin, "POST", "/catalogue/changes", {"id": f"{mark}-{start}", "put": part, "whole": whole}
        )
        if code != 200:
            break
    shown(code, value)


def _load_stored(value, put, whole):
    if not value["catalogue"]["store"]:
        raise click.UsageError("that front file keeps no catalogue (catalogue: store)")

    async def run():
        versions = over(build_plans(value["deployment"]), value["deployment"]["ladder"]["rates"])
        store = Store(Files(value["catalogue"]["store"]), {STREAM: Keeper(versions), LISTING: Kept()})
        made, committer = None, Committer(store)
        try:
            change = {"id": f"load-{time.time_ns():x}", "put": put, "whole": whole}
            made, _ = await Catalogue(versions, committer).apply(change_of(change, "load", time.time()))
            async for _ in committer.snapshot():
                pass
        finally:
            committer.close()
        return made

    try:
        click.echo(json.dumps({"version": asyncio.run(run()), "titles": len(put)}))
    except (Fault, Conflict, Held, Damaged) as wrong:
        fail(wrong, 2)


@catalogue.command("apply")
@click.argument("file", type=click.File("rb"))
@address
@click.option("--if-match", type=int, help="Only if this is still the version of what it touches.")
def apply(file, admin, if_match):
    """Make the change of FILE: JSON of {id, base, put, drop, whole}."""
    try:
        value = msgspec.json.decode(file.read())
    except msgspec.DecodeError as wrong:
        fail(f"{file.name}: {wrong}", 2)
    shown(*ask(admin, "POST", "/catalogue/changes", value, if_match))


@catalogue.command("show")
@click.argument("name", required=False)
@address
def show(name, admin):
    """The title NAME, or what the catalogue amounts to."""
    shown(*ask(admin, "GET", "/catalogue" + (f"/titles/{quote(name, safe='')}" if name else "")))


@catalogue.command("history")
@address
def history(admin):
    """The last changes: which, by whom, when, and whether there is a way back."""
    shown(*ask(admin, "GET", "/catalogue/history"))


@catalogue.command("diff")
@click.argument("old", type=int)
@click.argument("new", type=int)
@address
def diff(old, new, admin):
    """What differs between two versions."""
    shown(*ask(admin, "GET", f"/catalogue/diff?from={old}&to={new}"))


@catalogue.command("rollback")
@click.argument("version", type=int)
@address
def rollback(version, admin):
    """Bring VERSION back, as a new version."""
    shown(*ask(admin, "POST", "/catalogue/rollback", {"version": version}))


@catalogue.command("verify")
@click.argument("file", type=click.Path())
@click.option("--front", type=click.Path(), required=True, help="The front file whose plans and ladder hold.")
def verify(file, front):
    """Check a catalogue FILE beside a front file; every fault is printed, nothing is changed."""
    value = service.read(front)
    versions = over(build_plans(value["deployment"]), value["deployment"]["ladder"]["rates"])
    put = read_titles(file)
    try:
        versions.stage(change_of({"id": "verify", "put": put}, "", 0.0))
    except Fault as wrong:
        for path, what in wrong.found:
            click.echo(f"{file}: {path}: {what}", err=True)
        sys.exit(2)
    click.echo(f"{file}: {len(put)} titles, nothing amiss")


@click.group()
def store():
    """Folders on the disk: what is in them, and whether it is sound."""


@store.command("check")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def store_check(folder):
    """Read every file of FOLDER; exit 1 and say where if something is damaged."""
    found = look(Files(folder))
    for what in found.dropped:
        click.echo(f"dropped at a start: {what}")
    for what in found.damage:
        click.echo(f"damaged: {what}", err=True)
    snapshot = found.snapshot.name if found.snapshot else "no snapshot"
    click.echo(f"{folder}: {snapshot}, {len(found.records)} records after it, the last is {found.last}")
    sys.exit(1 if found.damage else 0)


store.add_command(store_check, "verify")  # what it was called first

# What is moved by hand, and by whom it is kept. A voter's record is not: two voters would have one identity.
MOVED = {STREAM: lambda: Keeper(Versions({}, ())), LISTING: Kept}
HEAD = {"what": "terndrift store", "format": 1}


def kept_in(folder, keepers):
    """The keepers with what a folder has of their streams; it may be in use. Fails on damage."""
    found = look(Files(folder))
    if found.damage:
        fail(f"{folder}: damaged: {found.damage[0]}")
    for _, chunk in found.snapshot.frames[1:-1] if found.snapshot else ():
        if chunk["stream"] in keepers:
            keepers[chunk["stream"]].restore(chunk["items"])
    for _, stream, record in found.records:
        if stream in keepers:
            keepers[stream].replay(record)
    return keepers


@store.command("export")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("file", type=click.Path())
def store_export(folder, file):
    """The state of FOLDER (titles, kept list) as JSON lines into FILE; it may be in use."""
    keepers = kept_in(folder, {stream: make() for stream, make in MOVED.items()})
    rows = [{"stream": stream, "item": item} for stream, keeper in keepers.items() for item in keeper.items()]
    with open(file + ".part", "wb") as out:
        for row in (HEAD, *rows, {"end": len(rows)}):
            out.write(msgspec.json.encode(row) + b"\n")
    os.replace(file + ".part", file)
    click.echo(f"{file}: {len(rows)} items")


def _exported(file):
    """stream -> items of an export; fails, with the line, on what is none or not whole."""
    items, ended = {stream: [] for stream in MOVED}, None
    with open(file, "rb") as lines:
        for n, line in enumerate(lines, 1):
            try:
                row = msgspec.json.decode(line)
                if n == 1 and row != HEAD or ended is not None:
                    raise ValueError(f"wanted {HEAD}" if n == 1 else "there is more after its end")
                if "end" in row:
                    ended = row["end"]
                elif n > 1:
                    items[row["stream"]].append(row["item"])
            except (msgspec.DecodeError, KeyError, TypeError, ValueError) as wrong:
                fail(f"{file}:{n}: {type(wrong).__name__}: {wrong}", 2)
    if ended != sum(map(len, items.values())):
        fail(f"{file}: not whole: {sum(map(len, items.values()))} items, its end says {ended}", 2)
    return items


@store.command("import")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("folder", type=click.Path(file_okay=False))
def store_import(file, folder):
    """A new store in FOLDER, which must be empty or not there, with what `export` wrote into FILE."""
    if os.path.isdir(folder) and os.listdir(folder):
        fail(f"{folder}: is not empty; an import begins a store, it adds to none", 2)
    items, keepers = _exported(file), {stream: make() for stream, make in MOVED.items()}
    for stream, keeper in keepers.items():
        try:
            keeper.restore(items[stream])
        except (msgspec.ValidationError, KeyError, TypeError, ValueError, IndexError) as wrong:
            fail(f"{file}: stream {stream}: {type(wrong).__name__}: {wrong}", 2)
    made = Store(Files(folder), keepers)
    for _ in made.snapshot(replace=True):
        pass
    made.close()
    click.echo(f"{folder}: {sum(map(len, items.values()))} items")


@store.command("dump")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--stream", help="Only this stream.")
def store_dump(folder, stream):
    """Every sound snapshot item and record of FOLDER as JSON lines, damage passed over."""
    files = Files(folder)
    for name in files.names():
        if number(name) is None:
            continue
        for offset, value in scanned(files, name).frames[1:]:
            rows = value.get("items") if "items" in value else value.get("records", [])
            for n, row in enumerate(rows):
                where = value.get("stream") if "items" in value else row[0]
                if stream in (None, where):
                    click.echo(
                        json.dumps(
                            {
                                "file": name,
                                "offset": offset,
                                "stream": where,
                                "number": value.get("first", 0) + n if "first" in value else None,
                                "value": row if "items" in value else row[1],
                            }
                        )
                    )


@store.command("compact")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--last-good", is_flag=True, help="Give up what is damaged and begin anew.")
def store_compact(folder, last_good):
    """Write a snapshot of FOLDER's state and drop what it replaces; no controller may have it open."""
    try:
        made = Store(Files(folder), {STREAM: Keeper(Versions({}, ())), LISTING: Kept()}, last_good)
    except (Damaged, Held) as wrong:
        fail(wrong)
    if made.unknown:
        fail(f"{folder}: has records of {', '.join(sorted(made.unknown))}, which this program does not know")
    for _ in made.snapshot():
        pass
    made.close()
    click.echo(f"{folder}: a snapshot up to record {made.last}")
