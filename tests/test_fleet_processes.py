"""The record and the members over processes of the program, with faults between them: each hard case causes
what it names."""

import asyncio
import os
import shutil
import socket
import tempfile
import time

import pytest
from cases import Cases

from terndrift.rehearse.several import Several

case = Cases()
FIFTEEN = [f"c{n}" for n in range(15)]
SEVEN = FIFTEEN[:7]


@pytest.fixture(scope="module")
def outcomes():
    return case.outcomes()


def others(several, *names):
    return [n for n in several.names if n not in names]


async def wrote(several, id, through, wait=20.0):
    said = await several.propose(id, {id: 1}, through, wait)
    assert said is not None, f"{id} was not agreed through {through}"
    return said["index"]


async def comes_to_all(several, *ids):
    async def there():
        return all(r and set(ids) <= set(r["ids"]) for r in (await several.records()).values())

    await several.until(there, 60)
    await several.until(several.same, 30)


# 1. What may happen to a leader.


@case(FIFTEEN)
async def a_leader_killed_then_one_stopped(several):
    old = await several.leader()
    through = others(several, old)[-1]
    first = await wrote(several, "before", through)
    await several.kill(old)
    assert await wrote(several, "killed", through) > first
    run = {by: run for (of, by), (_, run) in (await several.standings()).items() if of == old}
    await several.start(old)

    async def new_run():
        seen = await several.standings()
        return all(seen[old, by] == ("alive", seen[old, by][1]) and seen[old, by][1] > run[by] for by in run)

    await several.until(new_run, 60)
    await comes_to_all(several, "before", "killed")

    lead = await several.leader()
    through = others(several, lead)[-1]
    before = len(several.said[lead])  # who was killed above may have been held for dead meanwhile
    several.stop(lead)
    await asyncio.sleep(10)
    await wrote(several, "stopped", through)
    several.go_on(lead)
    said = await several.record(lead)
    assert said["role"] != "leader", "it led on as if no time had passed"
    await comes_to_all(several, "before", "killed", "stopped")
    await several.until(several.settled, 60)
    dead = [line for line in several.said[lead][before:] if '"now": "dead"' in line]
    assert not dead, f"it held others for dead, having stood still itself: {dead}"


@case(FIFTEEN)
async def a_leader_cut_off_alone_or_with_another_or_in_one_direction(several):
    network = several.network
    for beside in (0, 1):
        lead = await several.leader()
        alone = [lead, *[v for v in several.voters if v != lead][:beside]]
        rest = others(several, *alone)
        pairs = network.cut(alone, rest)
        minority = asyncio.ensure_future(several.propose(f"minority{beside}", {"m": beside}, lead, 1.0))
        await wrote(several, f"majority{beside}", rest[-1])
        assert await minority is None

        async def knows(lead=lead):
            return (await several.record(lead))["cut_off_s"] >= 5

        await several.until(knows, 20)
        assert (await several.record(lead))["role"] != "leader"
        assert not any(r["cut_off_s"] for r in (await several.records(rest)).values())
        network.heal(pairs)
        await comes_to_all(several, f"minority{beside}", f"majority{beside}")
    lead = await several.leader()
    pairs = network.cut(others(several, lead), [lead], both=False)  # it is heard and hears nothing
    new = await several.leader(others(several, lead))
    assert new != lead
    await wrote(several, "one way", others(several, lead, new)[-1])
    network.heal(pairs)
    await comes_to_all(several, "one way")
    await several.until(several.settled, 60)


@case(SEVEN, 3)
async def a_controller_tells_how_far_its_return_is(several):
    async def full(name):
        _, said = await several.ask(name, "GET", "/fleet/recovery")
        return said and said["stage"] == "full" and said

    await several.until(lambda: full("c6"))
    pairs = several.network.cut(["c6"], others(several, "c6"))
    await several.kill("c6")
    await several.start("c6")
    said = None

    async def alone():
        nonlocal said
        _, said = await several.ask("c6", "GET", "/fleet/recovery")
        return said and said["stage"] == "has a list"

    await several.until(alone, 5)
    assert said["waits_for"] == "the fleet's record"
    await several.until(lambda: full("c6"), 40)  # by its limits: it is still cut off
    said = await full("c6")
    assert [p["by_limit"] for p in said["past"] if p["stage"] == "has a list"] == [True]
    several.network.heal(pairs)
    await several.kill("c5")
    await several.start("c5")
    await several.until(lambda: full("c5"), 30)
    assert not any(p["by_limit"] for p in (await full("c5"))["past"])


# 2. Loss.


@case(SEVEN, 3)
async def three_in_ten_datagrams_lost_for_two_minutes(several):
    several.network.loss = 0.3
    began, n = time.monotonic(), 0
    while time.monotonic() - began < 120:
        await wrote(several, f"p{n}", several.names[n % 7])
        n += 1
        await asyncio.sleep(2)
    several.network.loss = 0.0
    await several.until(several.settled, 20)
    await comes_to_all(several, *(f"p{i}" for i in range(n)))
    lost, passed = several.network.counts["lost"], several.network.counts["passed"]
    assert 0.2 < lost / (lost + passed) < 0.4


# 3. Many at once.


async def killed_and_back(several, some, after, id):
    await several.kill(*some)
    rest = others(several, *some)
    majority = sum(v in rest for v in several.voters) > len(several.voters) // 2
    if majority:
        await wrote(several, id, rest[-1])
    elif rest:
        assert await several.propose(id, {id: 1}, rest[-1], 2.0) is None
    await asyncio.sleep(after)
    await several.start(*some)
    await wrote(several, id + " after", several.names[-1], 30)
    await several.until(several.settled, 60)
    await comes_to_all(several, id + " after", *([id] if rest else ()))


@case(FIFTEEN)
async def half_killed_at_once_and_back_after_two_seconds_then_all(several):
    await wrote(several, "first", "c14")
    await killed_and_back(several, ["c0", "c1", "c2", *FIFTEEN[8:12]], 2, "half")
    await killed_and_back(several, FIFTEEN, 2, "all")
    await comes_to_all(several, "first", "half", "half after", "all after")


@case(FIFTEEN)
async def half_killed_at_once_and_back_after_half_a_minute(several):
    await wrote(several, "first", "c14")
    await killed_and_back(several, ["c3", "c4", *FIFTEEN[5:10]], 30, "half")
    await comes_to_all(several, "first", "half", "half after")


# 4. Stores.


async def identity(several, name):
    return (await several.record(name))["identity"]


async def let_in(several, name, other_than):
    async def there():
        said = await several.record(name)
        return said and not said["doubts"] and said["voters"].get(name) == said["identity"] != other_than

    await several.until(there, 60)


@case(SEVEN)
async def a_store_wiped_put_back_damaged_and_full(several):
    for n in range(10):
        await wrote(several, f"p{n}", "c6")
    several.copy("c1")
    for n in range(10, 20):
        await wrote(several, f"p{n}", "c5")
    for name, lose in (("c0", several.wipe), ("c1", several.rewind), ("c2", several.damage)):
        was = await identity(several, name)
        await several.kill(name)
        lose(name)
        await several.start(name)
        await let_in(several, name, was)
        assert await identity(several, name) != was, f"{name} goes on as the one that lost what it confirmed"
    assert any("store damaged" in line for line in several.said["c2"])
    await several.until(several.all_in)
    for name in ("c3", "c4"):  # the disk of one, then of two, is full in the middle of an entry
        several.fill(name, 20)
    await wrote(several, "full", "c6")

    async def told():
        return all(any("not kept" in line for line in several.said[n]) for n in ("c3", "c4"))

    await several.until(told)
    lead = await several.leader()
    if lead in ("c3", "c4"):  # it leads on with what others keep; what it says itself is not counted
        assert (await several.record(lead))["agreed"]
    for name in ("c3", "c4"):
        several.empty(name)
    await wrote(several, "room", "c6")
    await comes_to_all(several, *(f"p{n}" for n in range(20)), "full", "room")


@case(SEVEN)
async def two_of_five_wiped_while_a_third_is_cut_off(several):
    await wrote(several, "kept", "c6")
    several.network.cut(["c2"], others(several, "c2"))
    await several.kill("c0", "c1")
    several.wipe("c0")
    several.wipe("c1")
    await several.start("c0", "c1")
    assert await several.propose("too few", {"too few": 1}, "c6", 8.0) is None
    for name in ("c0", "c1"):
        assert (await several.record(name))["doubts"], "a wiped voter votes"
    several.network.heal()
    await comes_to_all(several, "kept", "too few")
    await several.until(several.all_in, 60)


# 5. Two sides.


@case(FIFTEEN)
async def two_sides_with_different_news(several):
    one, other = FIFTEEN[:6] + ["c14"], FIFTEEN[6:14]
    pairs = several.network.cut(one, other)
    await several.kill("c13")
    runs = {of: run for (of, _), (_, run) in (await several.standings()).items()}
    await several.kill("c5")
    await several.start("c5")

    async def apart():
        seen = await several.standings()
        across = [standing for (of, by), (standing, _) in seen.items() if (of in one) != (by in one)]
        return "alive" not in across

    await several.until(apart, 90)
    several.network.heal(pairs)
    assert await several.until(several.settled, 60) < 45
    seen = await several.standings()
    assert all(seen["c5", by][1] > runs["c5"] for by in several.running() if by != "c5")
    await wrote(several, "together", "c12")
    await comes_to_all(several, "together")


# 6. Strangers.


@case(["a", "b", "c"], 3)
async def two_fleets_whose_addresses_cross(several):
    folder = tempfile.mkdtemp()
    south = Several(folder, ["a", "b", "c"], ["a", "b", "c"], called="southern")
    # what is meant for the southern a and b goes to the northern ones' listeners, and the reverse
    try:
        await south.start()
        await south.begin()
        await wrote(several, "north", "c")
        await wrote(south, "south", "c")
        await comes_to_all(several, "north")
        await comes_to_all(south, "south")
        for tables in zip(
            (several.network.datagrams, several.network.bodies),
            (south.network.datagrams, south.network.bodies),
            strict=True,
        ):
            for name in ("a", "b"):
                tables[0][name], tables[1][name] = tables[1][name], tables[0][name]
        await asyncio.sleep(6)
        for one, id in ((several, "north"), (south, "south")):
            for name in ("a", "b"):
                _, said = await one.ask(name, "GET", "/fleet/members")
                assert said["dropped"].get("astray"), f"{name} of {id} heard nothing of the others"
            for record in (await one.records()).values():
                own = {i for i in record["ids"] if i.startswith(("front/", "ranks/"))}  # by itself
                assert set(record["ids"]) - own == {id}, "it took the other fleet's word"
                fronts = {v for key, v in record["map"].items() if key.startswith("front/")}
                assert fronts <= {f"http://{front}" for front in one.fronts.values()}
    finally:
        await south.close()
        shutil.rmtree(folder, ignore_errors=True)
    for name in ("a", "b"):
        await several.kill(name)
        await several.start(name)
    await wrote(several, "north again", "c", 30)
    await comes_to_all(several, "north", "north again")


@case(["a", "b", "c"], 3)
async def garbage_huge_and_truncated_datagrams_and_strangers(several):
    host, port = several.network.datagrams["a"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
        for n in range(200):
            out.sendto(os.urandom(1 + n * 7), (host, port))
            out.sendto(b"\x97\xa7several\xa1b\xa1a\x92\xa4Ping"[: 1 + n % 20], (host, port))
            out.sendto(b"\x00" * 60_000, (host, port))
            out.sendto(b"\x97\xa7several\xa1z\xa1a\x92\xa4Ping\x01\x00\x00\x00", (host, port))
            await asyncio.sleep(0.002)

    async def counted():
        _, said = await several.ask("a", "GET", "/fleet/members")
        return sum(said["dropped"].values()) >= 400

    await several.until(counted)
    _, said = await several.ask("a", "GET", "/fleet/members")
    assert {"garbage", "unknown"} <= set(said["dropped"])
    assert not any('"error"' in line for line in several.said["a"])
    await wrote(several, "all the same", "a")
    await several.until(several.settled)


# 7. A proposal whose answer is lost.


@case(SEVEN)
async def a_proposal_is_sent_again_elsewhere_while_the_leader_changes(several):
    places = {}
    for n in range(6):
        lead = await several.leader()
        first, second = [x for x in others(several, lead)][-2:]
        id = f"p{n}"
        # its answer is not waited for; the leader dies while it is on its way, or lives on cut off
        await several.ask(first, "POST", "/fleet/propose", {"id": id, "value": {id: "first"}, "wait": 0})
        pairs = set()
        if n % 2:
            await several.kill(lead)
        else:
            pairs = several.network.cut([lead], others(several, lead))
        said = await several.propose(id, {id: "second"}, second, 30)
        assert said is not None
        places[id] = said["index"]
        if n % 2:
            await several.start(lead)
        several.network.heal(pairs)
        await several.until(several.all_in, 60)
    await comes_to_all(several, *places)
    for record in (await several.records()).values():
        assert {id: record["ids"][id] for id in places} == places, "agreed at another place, or twice"
        assert sum(v in ("first", "second") for v in record["map"].values()) == len(places)


@pytest.mark.parametrize("name", list(case))
def test_over_processes(name, outcomes):
    if outcomes[name] is not None:
        raise outcomes[name]
