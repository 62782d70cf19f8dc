"""`terndrift work`: work on machines, handed over on any controller's admin; each act is an agreed entry."""

import json
import os
import time

import click

from terndrift import records
from terndrift.cli.fleet import AS_JSON, got, rows
from terndrift.cli.stored import address, ask, fail, shown
from terndrift.fleet import planned_work
from terndrift.fleet.planned_work import WorkState
from terndrift.fleet.work_budget import CONTROLLER_PREFIX, Machine

TRIES = 5  # an act is worked out anew if another one was agreed meanwhile
# s for which what does not fit is read anew: a controller asks for what is agreed every 2 s at the latest.
LATEST = 6.0


class Unfit(ValueError):
    """An act that can't be, by what that controller knows; it may know less than the operator has seen."""


@click.group()
def work():
    """Machines out for work, in an order that the controllers settle."""


def who():
    return os.environ.get("USER", "cli")


def wall():
    return time.time_ns() // 1_000_000


def act(admin, make):
    """Proposes what `make(state, found)` gives, (id, value), until it counts; fails if somebody was always
    quicker, or if it is Unfit by all that was agreed when the act began, too."""
    began = time.monotonic()
    for _ in range(TRIES):
        id, value = _made(admin, make, began)
        code, said = ask(
            admin, "POST", "/fleet/propose", {"id": f"{id}@{time.time_ns():x}", "value": value, "wait": 10.0}
        )
        if code != 200:
            fail(f"{admin}: {said.get('error', code)}")
        if said["counted"]:
            return
    fail("others were quicker each time; try again")


def _made(admin, make, began):
    while True:
        found, spent = got(admin, "/fleet/work"), time.monotonic() - began
        try:
            return make({"map": found["map"]}, found)
        except Unfit as unfit:
            age = found["age_s"]
            if spent > LATEST or age is not None and age < spent:
                fail(str(unfit), 2)
        time.sleep(0.2)


def machines_of(found):
    """name -> Machine, of what the controller answered."""
    return {
        name: Machine(
            name,
            m["rack"],
            m["zone"],
            m["weight"],
            m["ready"],
            m["started"],
            frozenset(m["titles"]),
            frozenset(m["labels"]),
            m["voter"],
            m["cold"],
        )
        for name, m in found["machines"].items()
    }


BY = {
    "rack": lambda m, what: str(m.rack) == what and not m.is_controller,
    "zone": lambda m, what: m.zone == what and not m.is_controller,
    "label": lambda m, what: what in m.labels,
}
ALL = {"all": lambda m: not m.is_controller, "controllers": lambda m: m.is_controller}


def expanded(names, machines):
    """Machines by name, rack, zone, label, all streamers or all controllers; fails on what nothing has."""
    out = {}
    for name in names:
        kind, colon, what = name.partition(":")
        if name in ALL:
            some = [n for n, m in machines.items() if ALL[name](m)]
        elif colon and kind in BY:
            some = [n for n, m in machines.items() if BY[kind](m, what)]
        else:
            some = [name] if name in machines else []
        if not some:
            fail(f"machines: '{name}' is nothing that the list or the records have", 2)
        out.update(dict.fromkeys(some))
    return sorted(out)


def put_in(admin, name, names, allow, make):
    """Adds machines to a plan, `make(state)`: a plan that could never go on is not handed over."""

    def made(state, found):
        machines = machines_of(found)
        value = {**make(state), "machines": expanded(names, machines)}
        impossible = planned_work.impossible_machines(value, machines)
        left = [line for line in impossible if not any(line.startswith(f"{a}: ") for a in allow)]
        if left:
            fail("this plan could never go on:\n" + "\n".join(left), 2)
        value["machines"] = [m for m in value["machines"] if m not in allow]
        if taken := planned_work.names_in_active_plans(state, value["machines"]):
            raise Unfit(f"already in another plan: {', '.join(taken)}")
        wanted.append(len(value["machines"]))
        return planned_work.propose_plan(state, value, name, who(), wall())

    wanted = []
    act(admin, made)
    click.echo(f"{name}: {wanted[-1]} machines wait")


ALLOW = click.option(
    "--allow", multiple=True, metavar="MACHINE", help="Leave this one out if it could never go."
)


@work.command()
@address
@ALLOW
@click.argument("file", type=click.Path())
def plan(admin, allow, file):
    """Hand over the work that FILE (records) plans."""
    value = records.load(file, "work")
    if value["until"] and value["until"] <= max(value["from"], time.time()):
        fail(f"{file}: until: {value['until']} is over before it begins", 2)
    name = value.pop("name")

    def make(state):
        if name in planned_work.plans_by_name(state):
            fail(f"there is a plan '{name}' already; `work add` puts more machines into it", 2)
        return value

    put_in(admin, name, value["machines"], allow, make)


def _known(state, name):
    found = planned_work.plans_by_name(state).get(name)
    if found is None:
        raise Unfit(f"no plan '{name}'")
    return found


@work.command()
@address
@ALLOW
@click.argument("name")
@click.argument("machines", nargs=-1, required=True)
def add(admin, allow, name, machines):
    """More MACHINES into plan NAME, under what it says."""
    put_in(admin, name, machines, allow, lambda state: _known(state, name))


def marked(admin, machine, to):
    def make(state, found):
        row = planned_work.machine_rows(state).get(machine)
        if row is None:
            raise Unfit(f"no plan names '{machine}'")
        if to not in planned_work.TRANSITIONS[WorkState(row["state"])]:
            raise Unfit(f"{machine} is {row['state']}; it can't become {to.value} from there")
        return planned_work.propose_step(
            planned_work.current_revision(state), machine, row, to, who(), wall()
        )

    act(admin, make)
    click.echo(f"{machine}: {to.value}")


@work.command()
@address
@click.argument("machine")
def done(admin, machine):
    """The work on MACHINE is done; it is taken back once the list says that it is ready."""
    marked(admin, machine, WorkState.RETURNING)


@work.command("give-back")
@address
@click.argument("machine")
def give_back(admin, machine):
    """MACHINE stays in service after all; not once it may be touched: then it is `done`. One that is overdue
    or was found out is left to what the list says of it."""
    marked(admin, machine, WorkState.GIVEN_BACK)


def _plan(admin, name, change):
    def make(state, _):
        r = planned_work.current_revision(state)
        value = {
            "?": {planned_work.REVISION_KEY: r},
            planned_work.REVISION_KEY: r + 1,
            f"work/plan/{name}": {**_known(state, name), **change, "by": who(), "at": wall()},
        }
        if change.get("withdrawn"):
            for machine, row in planned_work.machine_rows(state).items():
                here = WorkState(row["state"])
                back = (
                    WorkState.GIVEN_BACK in planned_work.TRANSITIONS[here] and here is not WorkState.OVERDUE
                )
                if row["plan"] == name and back:
                    _, one = planned_work.propose_step(r, machine, row, WorkState.GIVEN_BACK, who(), wall())
                    value[f"work/m/{machine}"] = one[f"work/m/{machine}"]
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


def listed(found):
    table = planned_work.machine_rows({"map": found["map"]})
    out = [("machine", "plan", "state", "step", "by", "likely in s", "waits for")]
    for m, r in sorted(table.items()):
        likely = found["likely_s"].get(m)
        out.append(
            (
                m,
                r["plan"],
                r["state"],
                r["n"],
                r["by"],
                "" if likely is None else likely,
                found["why"].get(m, ""),
            )
        )
    rows(out)
    if found["left"]:
        click.echo("out before the record began anew, and not named yet: " + ", ".join(found["left"]))


@work.command("list")
@address
@AS_JSON
@click.option("--watch", is_flag=True, help="Again and again.")
@click.option("--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="s")
@click.option("--times", type=click.IntRange(1), help="With --watch: end after so many looks.")
def list_(admin, plain, watch, every, times):
    """Every machine of every plan: its state, when it is likely to go, what it waits for (as the leader sees
    it)."""
    n = 0
    while True:
        found = got(admin, "/fleet/work")
        if plain:
            state = {"map": found["map"]}
            value = {
                "machines": planned_work.machine_rows(state),
                "plans": planned_work.plans_by_name(state),
                "why": found["why"],
                "likely_s": found["likely_s"],
                "left": found["left"],
            }
            click.echo(json.dumps(value) if watch else json.dumps(value, indent=1))
        else:
            if watch:
                click.clear()
            listed(found)
        n += 1
        if not watch or n == times:
            return
        time.sleep(every)


@work.command()
@address
@click.argument("name")
def show(admin, name):
    """Plan NAME, and every step of each of its machines: who and when."""
    state = {"map": got(admin, "/fleet/work")["map"]}
    try:
        found = _known(state, name)
    except Unfit as unfit:
        fail(str(unfit), 2)
    shown(
        200,
        {
            "name": name,
            **found,
            "steps": {
                m: r["log"] for m, r in sorted(planned_work.machine_rows(state).items()) if r["plan"] == name
            },
        },
    )


@work.command()
@address
@click.option("--plot", "out", type=click.Path(), help="A time line by rack, PNG.")
@AS_JSON
def report(admin, out, plain):
    """How long each machine was in each state, by rack, and when; clocks are those of who took the steps."""
    found = got(admin, "/fleet/work")
    spans = planned_work.state_spans({"map": found["map"]}, wall())
    racks = {
        m: f"rack {row['rack']}" if not m.startswith(CONTROLLER_PREFIX) else "controllers"
        for m, row in found["machines"].items()
    }
    if out:
        from terndrift.cli.timeline import drawn  # whoever wants no plot needs no matplotlib

        drawn(spans, racks, out)
    if plain:
        return shown(
            200,
            {
                m: [{"state": s, "from": a, "until": b} for s, a, b in parts]
                for m, parts in sorted(spans.items())
            },
        )
    lines = [("machine", "of", "drained s", "out s", "back s", "now")]
    for m, parts in sorted(spans.items(), key=lambda x: (racks.get(x[0], "?"), x[0])):
        took = {state: sum(b - a for s, a, b in parts if s == state) / 1000 for state, _, _ in parts}
        back = took.get(WorkState.RETURNING.value, 0) + took.get(WorkState.WARMING_UP.value, 0)
        outside = took.get(WorkState.OUT.value, 0) + took.get(WorkState.OVERDUE.value, 0)
        lines.append(
            (
                m,
                racks.get(m, "?"),
                round(took.get(WorkState.DRAINING.value, 0), 1),
                round(outside, 1),
                round(back, 1),
                parts[-1][0],
            )
        )
    rows(lines)
    return None


@work.command()
@address
@click.argument("machine")
def why(admin, machine):
    """What MACHINE waits for, in a sentence."""
    found = got(admin, "/fleet/work")
    row = planned_work.machine_rows({"map": found["map"]}).get(machine)
    if row is None:
        fail(f"no plan names '{machine}'", 2)
    waits = found["why"].get(machine) or ("" if found["leads"] else f"ask the leader, {found['leader']}")
    click.echo(f"{machine} is {row['state']}" + (f": {waits}" if waits else ""))
