"""`terndrift work`: work on machines, handed over on any controller's admin; each act is an agreed entry."""

import os
import time

import click

from terndrift import records
from terndrift.cli.fleet import AS_JSON, got, rows
from terndrift.cli.stored import address, ask, fail, shown
from terndrift.fleet import work as agreed
from terndrift.fleet.work import Machine, State

TRIES = 5  # an act is worked out anew if another one was agreed meanwhile


@click.group()
def work():
    """Machines out for work, in an order that the controllers settle."""


def who():
    return os.environ.get("USER", "cli")


def act(admin, make):
    """Proposes what `make(state)` gives, (id, value), until it counts; fails if somebody was always
    quicker."""
    for _ in range(TRIES):
        found = got(admin, "/fleet/work")
        state = {"map": found["map"]}
        id, value = make(state)
        code, said = ask(admin, "POST", "/fleet/propose", {"id": f"{id}@{time.time_ns():x}", "value": value,
                                                           "wait": 10.0})
        if code != 200:
            fail(f"{admin}: {said.get('error', code)}")
        after = got(admin, "/fleet/work")["map"]
        if all(after.get(k) == v or k == agreed.REV for k, v in value.items() if k != "?"):
            return after
    return fail("others were quicker each time; try again")


def expanded(names, machines):
    """Machines of a plan, by name, rack, zone or all; fails on a name that no list has."""
    out = {}
    for name in names:
        kind, colon, what = name.partition(":")
        if name == "all":
            some = list(machines)
        elif colon and kind == "rack":
            some = [n for n, m in machines.items() if str(m.rack) == what]
        elif colon and kind == "zone":
            some = [n for n, m in machines.items() if m.zone == what]
        else:
            some = [name] if name in machines else []
        if not some:
            fail(f"machines: '{name}' is nothing that the list has", 2)
        out.update(dict.fromkeys(some))
    return sorted(out)


@work.command()
@address
@click.option("--allow", multiple=True, metavar="MACHINE", help="Leave this one out if it could never go.")
@click.argument("file", type=click.Path())
def plan(admin, allow, file):
    """Hand over the work that FILE (records) plans."""
    value = records.load(file, "work")
    found = got(admin, "/fleet/work")
    machines = {name: Machine(name, m["rack"], m["zone"], m["weight"], m["ready"], m["started"],
                              frozenset(m["titles"])) for name, m in found["machines"].items()}
    value["machines"] = expanded(value["machines"], machines)
    never = agreed.never(value, machines)
    left = [line for line in never if line.partition(":")[0] not in allow]
    if left:
        fail("this plan could never go on:\n" + "\n".join(left), 2)
    value["machines"] = [m for m in value["machines"] if m not in allow]
    busy = [m for m, row in agreed.rows({"map": found["map"]}).items()
            if m in value["machines"] and State(row["state"]) not in agreed.ENDED]
    if busy:
        fail(f"already in another plan: {', '.join(sorted(busy))}", 2)
    name = value.pop("name")
    act(admin, lambda state: agreed.added(state, value, name, who()))
    click.echo(f"{name}: {len(value['machines'])} machines wait")


def marked(admin, machine, to):
    def make(state):
        row = agreed.rows(state).get(machine)
        if row is None:
            fail(f"no plan names '{machine}'", 2)
        if to not in agreed.ROUTES[State(row["state"])]:
            fail(f"{machine} is {row['state']}; it can't become {to.value} from there", 2)
        return agreed.step(agreed.rev(state), machine, row, to, who())

    act(admin, make)
    click.echo(f"{machine}: {to.value}")


@work.command()
@address
@click.argument("machine")
def done(admin, machine):
    """The work on MACHINE is done; it is taken back once the list says that it is ready."""
    marked(admin, machine, State.BACK)


@work.command("give-back")
@address
@click.argument("machine")
def give_back(admin, machine):
    """MACHINE stays in service after all; not once it may be touched: then it is `done`."""
    marked(admin, machine, State.GIVEN_BACK)


def _plan(admin, name, change):
    def make(state):
        found = agreed.plans(state).get(name)
        if found is None:
            fail(f"no plan '{name}'", 2)
        r = agreed.rev(state)
        value = {"?": {agreed.REV: r}, agreed.REV: r + 1,
                 f"work/plan/{name}": {**found, **change, "by": who()}}
        if change.get("withdrawn"):
            for machine, row in agreed.rows(state).items():
                here = State(row["state"])
                if row["plan"] == name and State.GIVEN_BACK in agreed.ROUTES[here]:
                    value[f"work/m/{machine}"] = {**row, "state": State.GIVEN_BACK.value, "n": row["n"] + 1,
                                                  "by": who()}
        return f"work/plan/{name}/{r}", value

    act(admin, make)


@work.command()
@address
@click.argument("name")
def pause(admin, name):
    """Nothing new of plan NAME goes out; what is under way goes on."""
    _plan(admin, name, {"paused": True})


@work.command()
@address
@click.argument("name")
def resume(admin, name):
    """Plan NAME goes on."""
    _plan(admin, name, {"paused": False})


@work.command()
@address
@click.argument("name")
def withdraw(admin, name):
    """What of plan NAME may not be touched yet is given back; what is out comes back as planned."""
    _plan(admin, name, {"paused": True, "withdrawn": True})


@work.command("list")
@address
@AS_JSON
def list_(admin, plain):
    """Every machine of every plan: its state, and what it waits for (as the leader sees it)."""
    found = got(admin, "/fleet/work")
    table = agreed.rows({"map": found["map"]})
    if plain:
        plans = agreed.plans({"map": found["map"]})
        return shown(200, {"machines": table, "plans": plans, "why": found["why"]})
    rows([("machine", "plan", "state", "step", "by", "waits for")] + [
        (m, r["plan"], r["state"], r["n"], r["by"], found["why"].get(m, ""))
        for m, r in sorted(table.items())])
    return None


@work.command()
@address
@click.argument("machine")
def why(admin, machine):
    """What MACHINE waits for, in a sentence."""
    found = got(admin, "/fleet/work")
    row = agreed.rows({"map": found["map"]}).get(machine)
    if row is None:
        fail(f"no plan names '{machine}'", 2)
    waits = found["why"].get(machine) or ("" if found["leads"] else f"ask the leader, {found['leader']}")
    click.echo(f"{machine} is {row['state']}" + (f": {waits}" if waits else ""))
