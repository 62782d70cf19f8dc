"""Overload met as one over processes of the program, with faults between them: limits lent out, a streamer
that fails tried by one in turn."""

import asyncio
import re

import pytest
from process_cases import Cases

from terndrift import records
from terndrift.http.client import Broken, Unreached, fetch
from terndrift.rehearse.several import DEPLOYMENT
from terndrift.standin import ledger as ledgers
from terndrift.standin.fleet import Fleet, write_list

case = Cases()
SIX = [f"c{n}" for n in range(6)]
EXTRA, SURE = 12.0, 0.2
ROOMY = DEPLOYMENT.replace("box: 8", "box: 400").replace("cold_for: 8s", "cold_for: 1s")


@pytest.fixture(scope="module")
def outcomes():
    return case.outcomes()


async def load(several, name):
    return (await several.ask(name, "GET", "/fleet/load", within=0.5))[1]


async def parts(several):
    """name -> what it has of the limit, of those that answer."""
    names = several.running()
    found = await asyncio.gather(*(load(several, n) for n in names))
    return {n: said["leases"]["extra"]["part"] for n, said in zip(names, found, strict=True) if said}


@case(SIX, voters=5, fleet={"shed": True, "limits": {"extra": EXTRA}})
async def parts_of_a_limit_come_to_it_at_most_through_a_kill_a_stop_and_a_cut(several):
    over, done, rows = [], asyncio.Event(), []

    async def watch():
        """Answers are not of one moment: a part that has lapsed may be seen beside the one that took its
        place, in one look, but not in three in a row."""
        while not done.is_set():
            rows.append(sum((await parts(several)).values()) > EXTRA + 0.01)
            if all(rows[-3:]) and len(rows) > 2:
                over.append(len(rows))
            await asyncio.sleep(0.05)

    async def lent():
        return sum((await parts(several)).values()) > 0.9 * EXTRA

    async def lent_without_it():
        return sum((await parts(several)).values()) > 0.8 * EXTRA

    async def sure_of_themselves():
        """A voter that has started asks three others before it votes: cut off from them it would not."""
        found = await several.records(several.voters)
        return all(r and not r["doubts"] for r in found.values())

    watching = asyncio.ensure_future(watch())
    await several.until(lent)
    leader = await several.leader()
    await several.kill(leader)
    await several.until(lent_without_it)
    await several.start(leader)
    await several.until(sure_of_themselves, 60)
    await several.until(lent)
    leader = await several.leader()
    several.stop(leader)
    await several.until(lent_without_it)
    several.go_on(leader)
    await several.until(sure_of_themselves, 60)
    await several.until(lent)
    # three voters are on one side: it has all that is lent, the others what is surely theirs
    several.network.cut(["c0", "c1", "c2"], ["c3", "c4", "c5"])

    async def split():
        has = await parts(several)
        sure = SURE * EXTRA / 6 + 0.01
        return len(has) == 6 and all(has[n] <= sure for n in ("c3", "c4", "c5")) and has["c2"] > 2 * sure

    await several.until(split, 60)
    several.network.heal()
    await several.until(lent)
    done.set()
    await watching
    assert not over, f"over the limit in looks {over[:5]} of {len(rows)}"


async def views(several, name):
    """Asks for a playback and leaves it at once; whether it played."""
    address = several.fronts[name]
    try:
        code, _, body = await fetch(
            several.pool, address, "GET", "/v/clip/main.m3u8", {}, within=4.0, connect=0.5, fresh=True
        )
        if code == 200:
            seat = re.search(rb"/p/([^/]+)/", body)[1].decode()
            await fetch(several.pool, address, "DELETE", f"/p/{seat}", within=2.0)
    except (Unreached, Broken, KeyError):
        return False
    return code == 200


@case(SIX, voters=3, deployment=ROOMY, fleet={"shed": True})
async def a_streamer_that_errs_for_all_is_tried_by_one_in_turn_and_found_well_as_a_prober_dies(several):
    rows = "".join(
        f'streamers: "s{n}": {{id: {n}, rack: {n % 2}, kind: "box", link: 20MB/s}}\n' for n in (1, 2, 3)
    )
    notes = several.path("streamers.jsonl")
    uplinks = 'uplinks: {"0": 80MB/s, "1": 80MB/s}'
    fleet = Fleet(records.loads(f'{ROOMY}{uplinks}\nledger: "{notes}"\n{rows}', "fleet"))
    fleet.start()
    busy = {name: asyncio.ensure_future(viewers(several, name)) for name in SIX}
    try:
        write_list(several.path("list.rec"), fleet.lines())

        async def plays_everywhere():
            return len({n["streamer"] for n in tries(fleet, notes)}) == 3

        await several.until(plays_everywhere, 40)
        bad, address = fleet.streamers[1], fleet.streamers[1].address
        bad.begin("error", 1.0)

        async def found():
            said = [await load(several, n) for n in SIX]
            return all(s and address in s["failing"] and s["failing"][address]["by"] >= 2 for s in said)

        await several.until(found, 40)
        await asyncio.sleep(1.0)  # who had one out by then
        before = len(tries(fleet, notes, 1))
        await asyncio.sleep(8.0)
        # turns of 1, 2, 4 and 8 s, two controllers in each at most: alone each of six tries as often
        tried = tries(fleet, notes, 1)[before:]
        assert len(tried) <= 8, len(tried)
        last = (tried or tries(fleet, notes, 1))[-1]["pb"].partition("~")[0]
        busy[last].cancel()
        await several.kill(last)
        bad.end("error")
        since = len(tries(fleet, notes, 1))

        async def back():
            """It is tried by another one, found well, and taken by all that are left."""
            return len({n["pb"].partition("~")[0] for n in tries(fleet, notes, 1)[since:]}) == 5

        await several.until(back, 60)
    finally:
        for task in busy.values():
            task.cancel()
        fleet.stop()


async def viewers(several, name):
    while True:
        await views(several, name)
        await asyncio.sleep(0.2)


def tries(fleet, notes, id=None):
    fleet.ledger.flush()
    return [n for n in ledgers.read(notes) if n["what"] == "try" and id in (None, n["streamer"])]


@pytest.mark.parametrize("name", list(case))
def test_over_processes(name, outcomes):
    if outcomes[name] is not None:
        raise outcomes[name]
