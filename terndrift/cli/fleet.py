"""`terndrift fleet`: who is there, what is agreed, and what operators do about it, on any controller's
admin."""

import json
import os
import time

import click

from terndrift.cli.stored import address, ask, fail, kept_in, shown
from terndrift.fleet import overload_control
from terndrift.fleet.raft import PersistentState
from terndrift.fleet.service import STREAM

AS_JSON = click.option("--json", "plain", is_flag=True, help="As JSON.")


@click.group()
def fleet():
    """Controllers that know each other: members and the record."""


def got(admin, path):
    code, value = ask(admin, "GET", path)
    if code != 200:
        fail(f"{admin}: {code} {value.get('error', '') if isinstance(value, dict) else ''}")
    return value


def rows(lines):
    widths = [max(len(str(line[n])) for line in lines) for n in range(len(lines[0]))]
    for line in lines:
        click.echo("  ".join(str(x).ljust(w) for x, w in zip(line, widths, strict=True)).rstrip())


def shown_members(value):
    click.echo(
        f"{value['name']} of {value['fleet']}, local health {value['health']}; dropped "
        + (", ".join(f"{k}: {v}" for k, v in sorted(value["dropped"].items())) or "nothing")
    )
    table = [("member", "standing", "for s", "run", "incarnation")]
    for name, m in sorted(value["members"].items()):
        since = "" if m["for_s"] is None else m["for_s"]
        table.append((name, m["standing"], since, m["run"], m["incarnation"]))
    rows(table)


def shown_record(value):
    click.echo(
        f"{value['name']}: {value['role']}, epoch {value['epoch'][0]} ({value['epoch'][1]}), "
        f"{value['agreed']} agreed, known to be all {_ago(value['age_s'])}"
        + (f", CUT OFF for {value['cut_off_s']} s" if value["cut_off_s"] else "")
    )
    if "term" in value:
        doubts = ", neither votes nor confirms yet" if value["doubts"] else ""
        click.echo(
            f"voter {value['identity']}: term {value['term']}, leader "
            f"{value['leader'] or 'not known'}, log up to {value['log']}{doubts}"
        )
    far = value.get("followers", {})
    voters = sorted(value["voters"].items())
    rows([("voter", "identity", "confirmed")] + [(n, i, far.get(n, "")) for n, i in voters])
    for key, item in sorted(value["map"].items()):
        click.echo(f"{key} = {json.dumps(item)}")


def _ago(age):
    return "never" if age is None else f"{age} s ago"


@fleet.command()
@address
@AS_JSON
def members(admin, plain):
    """Who sees whom in what state, since when."""
    value = got(admin, "/fleet/members")
    shown(200, value) if plain else shown_members(value)


@fleet.command("record")
@address
@AS_JSON
def record_(admin, plain):
    """What is agreed as that controller knows it, how old that is, who leads, how far each voter is."""
    value = got(admin, "/fleet/record")
    shown(200, value) if plain else shown_record(value)


@fleet.command()
@address
@AS_JSON
def recovery(admin, plain):
    """How far that controller's return is: its stage, since when, what it waits for."""
    value = got(admin, "/fleet/recovery")
    if plain:
        return shown(200, value)
    waits = f", waits for {value['waits_for']}" if value["waits_for"] else ""
    click.echo(f"{value['name']}: {value['stage']} for {value['since_s']} s{waits}; up for {value['up_s']} s")
    if value["past"]:
        rows(
            [("stage", "took s", "ended by")]
            + [
                (p["stage"], p["took_s"], "its limit" if p["by_limit"] else "what it waited for")
                for p in value["past"]
            ]
        )
    return None


@fleet.command()
@address
@AS_JSON
def load(admin, plain):
    """What all controllers were asked for and gave in the last seconds, and what is shed."""
    value = got(admin, "/fleet/load")
    if plain or "error" in value:
        return shown(200, value)
    click.echo(
        f"{value['name']}: of {value['members']} controllers, a second; {value['extra_tries']:.1f} "
        f"tries beyond the first, {value['connections']:.1f} connections, {value['open']} open"
    )
    kinds = ("wanted", "shed", "answered", "in_target", "late", "turned_away")
    table = [("plan", *kinds)]
    for name in value["order"]:
        row = value["plans"].get(name, {})
        table.append((name, *(round(row.get(k, 0), 1) for k in kinds)))
    rows(table)
    for kind, one in value["leases"].items():
        click.echo(f"{kind}: {one['part']} of {one['limit']} a second here, {one['wants']} more wanted")
    for one, row in value["failing"].items():
        tried = "tried here next" if row["tried_here"] else "others try it"
        click.echo(f"{one} fails at {row['by']}: {tried}")
    if value["strained"] or value["strain"]["why"]:
        click.echo(
            f"strained: {', '.join(value['strained']) or 'none yet told'}; here "
            f"{value['strain']['standing']} {value['strain']['why']}".rstrip()
        )
    for key, part in value["crowds"].items():
        click.echo(f"crowd {key}: {part:.0%} of it turned away")
    return shown_shed(value)


def shown_shed(value):
    parts = ", ".join(f"{part:.0%} of {name}" for name, part in value["sheds"].items()) or "nobody"
    click.echo(
        f"level {value['level']} by {value['decided_by'] or 'nobody'}, {value['age_s']} s ago; shed: "
        f"{parts}" + (f"; {value['why']}" if value["why"] else "")
    )
    if held := value["held"]:
        left = held["until"] / 1000 - time.time()
        more = f"{left:.0f} s more" if left > 0 else "over"
        click.echo(f"held at {held['level']} by {held['by']}, {more}")


@fleet.group()
def shed():
    """Who is turned away under overload: the least important first, by one level for all."""


@shed.command("show")
@address
@AS_JSON
def shed_show(admin, plain):
    """The level in force, who decided it and why."""
    value = got(admin, "/fleet/load")
    shown(200, value) if plain or "error" in value else shown_shed(value)


@shed.command("hold")
@address
@click.option("--for", "seconds", type=click.FloatRange(1, 86400), default=60.0, show_default=True, help="s")
@click.argument("level", type=click.FloatRange(0))
def shed_hold(admin, seconds, level):
    """Fix LEVEL for a time: 0 sheds nobody, 1.5 all of the least important plan and half of the next. It
    lapses by itself."""
    from terndrift.cli.work import wall, who

    value = got(admin, "/fleet/load")
    if "error" in value:
        fail(value["error"], 2)
    if level > len(value["order"]):
        fail(f"level: {level} where there are {len(value['order'])} plans", 2)
    _agreed(admin, *overload_control.hold(level, seconds, who(), wall()))


@shed.command("release")
@address
def shed_release(admin):
    """Go by what the fleet settles again."""
    from terndrift.cli.work import wall

    _agreed(admin, *overload_control.release(wall()))


def _agreed(admin, id, value):
    code, said = ask(admin, "POST", "/fleet/propose", {"id": id, "value": value, "wait": 10.0})
    if code != 200:
        fail(f"{admin}: {said.get('error', code)}")


@fleet.command()
@address
@click.option("--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="s")
@click.option("--times", type=click.IntRange(1), help="End after so many looks.")
@AS_JSON
def watch(admin, every, times, plain):
    """Members and record, again and again."""
    n = 0
    while times is None or n < times:
        if n:
            time.sleep(every)
        n += 1
        here, agreed = got(admin, "/fleet/members"), got(admin, "/fleet/record")
        if plain:
            click.echo(json.dumps({"members": here, "record": agreed}))
            continue
        click.clear()
        shown_members(here)
        click.echo("")
        shown_record(agreed)


@fleet.command()
@address
@click.option("--id", "name", help="Sent again under the same id it counts once; made up if not given.")
@click.option("--wait", type=click.FloatRange(0, 30), default=5.0, show_default=True, help="s")
@click.argument("value")
def propose(admin, name, wait, value):
    """Propose VALUE, a JSON object of keys and their values (null takes a key out)."""
    try:
        what = json.loads(value)
    except ValueError as wrong:
        raise click.UsageError(f"VALUE is not JSON: {wrong}") from None
    name = name or f"cli-{time.time_ns():x}"
    shown(*ask(admin, "POST", "/fleet/propose", {"id": name, "value": what, "wait": wait}))


@fleet.command()
@address
@click.option("--all", "every", is_flag=True, help="All controllers.")
@click.option(
    "--at-once",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="As many at most; of those that keep the record never two.",
)
@click.option(
    "--needs",
    type=click.FloatRange(1, 86400),
    default=60.0,
    show_default=True,
    help="s in which each is expected back.",
)
@click.option("--why", default="restart", show_default=True)
@click.argument("names", nargs=-1)
def restart(admin, every, at_once, needs, why, names):
    """Restart controllers (NAMES, or --all) in an order that they settle: each drains, stops by itself, and
    is started anew by whoever supervises it. `terndrift work list` shows how far it is."""
    from terndrift.cli import work  # the other way round it is part of every command

    if every == bool(names):
        raise click.UsageError("one of --all and NAMES is wanted")
    value = {
        "why": why,
        "asked_by": work.who(),
        "urgency": 0,
        "needs": int(needs * 1e9),
        "drain": int(60e9),
        "warm": int(1e9),
        "most": 1,
        "most_rack": 1,
        "most_zone": 0,
        "most_controllers": at_once,
        "ready_share": 0.0,
        "holders": 0,
        "restart": True,
    }
    machines = ["controllers"] if every else [f"{work.CONTROLLER_PREFIX}{name}" for name in names]
    work.put_in(admin, f"restart-{time.time_ns() // 10**9}", machines, (), lambda state: value)


def kept(folder):
    """The state in a voter's folder as far as it is known to be agreed, and what lies beyond."""
    return kept_in(folder, {STREAM: PersistentState()})[STREAM]


@fleet.command("restart-record")
@address
@click.option("--from", "folder", type=click.Path(exists=True, file_okay=False), help="A voter's folder.")
@click.option("--empty", is_flag=True, help="With nothing agreed: the first beginning, or all is given up.")
@click.option("--yes", is_flag=True, help="Do not ask.")
def restart_record(admin, folder, empty, yes):
    """Begin the record anew, in a new epoch, at the voter whose --admin this is; the other voters are let
    in by it.

    For the first start of a fleet, and when no majority of voters can come back with what it kept."""
    if bool(folder) == empty:
        raise click.UsageError("one of --from FOLDER and --empty is wanted")
    now, state = got(admin, "/fleet/record"), None
    if folder:
        from terndrift.fleet.committed_state import apply_entry, copy_state

        durable = kept(folder)
        state = copy_state(durable.snapshot)
        for n, entry in enumerate(durable.entries, durable.snapshot["last"] + 1):
            apply_entry(state, n, entry)
        click.echo(
            f"{os.path.basename(folder)}: epoch {durable.epoch[0]}, {state['last']} entries; the last "
            f"{len(durable.entries)} may never have been agreed, and count from now on",
            err=True,
        )
    if now["epoch"][0] or now["agreed"]:
        gone = sorted(set(now["ids"]) - set((state or {}).get("ids", ())))
        named = f" ({', '.join(gone[:5])} ...)" if gone else ""
        click.echo(
            f"given up: epoch {now['epoch'][0]} with {now['agreed']} agreed, of which {len(gone)} "
            f"proposals are not in the new one{named}",
            err=True,
        )
    if not yes:
        click.confirm("Begin the record anew?", abort=True)
    said = state and {"map": state["map"], "ids": state["ids"]}
    shown(*ask(admin, "POST", "/fleet/restart", {"state": said}))
