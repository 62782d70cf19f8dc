"""The record and the membership over several processes of the program, connected by a faulty network.

Each case is a coroutine that gets a running fleet (`Several`) and causes the faults in its name. All cases
run at the same time, and `test_over_processes` reports the outcome of each.
"""

import asyncio
import os
import shutil
import socket
import tempfile
import time

import pytest
from process_cases import Cases

from terndrift.rehearse.several import Several

case = Cases()
FIFTEEN_NAMES = [f"c{n}" for n in range(15)]
SEVEN_NAMES = FIFTEEN_NAMES[:7]


@pytest.fixture(scope="module")
def outcomes():
    """Runs all cases; name of a case -> None, or the exception that it raised."""
    return case.outcomes()


def names_except(fleet, *names):
    """Returns the names of all other controllers."""
    return [n for n in fleet.names if n not in names]


async def propose_committed(fleet, id, through, wait=20.0):
    """Proposes at `through`, asserts that it commits within `wait` seconds, and returns its index."""
    answer = await fleet.propose(id, {id: 1}, through, wait)
    assert answer is not None, f"{id} was not committed through {through}"
    return answer["index"]


async def wait_until_committed_everywhere(fleet, *ids):
    """Waits until all running controllers have these proposals, and the same record."""

    async def committed():
        return all(r and set(ids) <= set(r["ids"]) for r in (await fleet.records()).values())

    await fleet.until(committed, 60)
    await fleet.until(fleet.same, 30)


# 1. Faults of the leader.


@case(FIFTEEN_NAMES)
async def a_leader_is_killed_then_another_paused(fleet):
    killed = await fleet.leader()
    through = names_except(fleet, killed)[-1]
    first_index = await propose_committed(fleet, "before", through)
    await fleet.kill(killed)
    assert await propose_committed(fleet, "killed", through) > first_index
    old_run = {by: old_run for (of, by), (_, old_run) in (await fleet.standings()).items() if of == killed}
    await fleet.start(killed)

    async def new_run():
        standings = await fleet.standings()
        return all(
            standings[killed, by] == ("alive", standings[killed, by][1])
            and standings[killed, by][1] > old_run[by]
            for by in old_run
        )

    await fleet.until(new_run, 60)
    await wait_until_committed_everywhere(fleet, "before", "killed")

    paused = await fleet.leader()
    through = names_except(fleet, paused)[-1]
    # earlier lines may hold the death of the controller killed above
    line_count = len(fleet.said[paused])
    fleet.stop(paused)
    await asyncio.sleep(10)
    await propose_committed(fleet, "stopped", through)
    fleet.go_on(paused)
    record = await fleet.record(paused)
    assert record["role"] != "leader", "it still led after its pause"
    await wait_until_committed_everywhere(fleet, "before", "killed", "stopped")
    await fleet.until(fleet.settled, 60)
    deaths = [line for line in fleet.said[paused][line_count:] if '"now": "dead"' in line]
    assert not deaths, f"it declared others dead after its own pause: {deaths}"


@case(FIFTEEN_NAMES)
async def a_leader_cut_off_alone_or_with_a_follower_or_in_one_direction(fleet):
    network = fleet.network
    for followers_cut_off in (0, 1):
        leader = await fleet.leader()
        minority = [leader, *[v for v in fleet.voters if v != leader][:followers_cut_off]]
        majority = names_except(fleet, *minority)
        cut = network.cut(minority, majority)
        proposal = asyncio.ensure_future(
            fleet.propose(f"minority{followers_cut_off}", {"m": followers_cut_off}, leader, 1.0)
        )
        await propose_committed(fleet, f"majority{followers_cut_off}", majority[-1])
        assert await proposal is None

        async def reports_cut_off(leader=leader):
            return (await fleet.record(leader))["cut_off_s"] >= 5

        await fleet.until(reports_cut_off, 20)
        assert (await fleet.record(leader))["role"] != "leader"
        assert not any(r["cut_off_s"] for r in (await fleet.records(majority)).values())
        network.heal(cut)
        await wait_until_committed_everywhere(
            fleet, f"minority{followers_cut_off}", f"majority{followers_cut_off}"
        )
    leader = await fleet.leader()
    cut = network.cut(names_except(fleet, leader), [leader], both=False)  # it can send but not receive
    new_leader = await fleet.leader(names_except(fleet, leader))
    assert new_leader != leader
    await propose_committed(fleet, "one way", names_except(fleet, leader, new_leader)[-1])
    network.heal(cut)
    await wait_until_committed_everywhere(fleet, "one way")
    await fleet.until(fleet.settled, 60)


@case(SEVEN_NAMES, 3)
async def a_controller_reports_the_stages_of_its_recovery(fleet):
    async def recovered(name):
        _, recovery = await fleet.ask(name, "GET", "/fleet/recovery")
        return recovery and recovery["stage"] == "full" and recovery

    await fleet.until(lambda: recovered("c6"))
    cut = fleet.network.cut(["c6"], names_except(fleet, "c6"))
    await fleet.kill("c6")
    await fleet.start("c6")
    recovery = None

    async def waits_for_record():
        nonlocal recovery
        _, recovery = await fleet.ask("c6", "GET", "/fleet/recovery")
        return recovery and recovery["stage"] == "has a list"

    await fleet.until(waits_for_record, 5)
    assert recovery["waits_for"] == "the fleet's record"
    await fleet.until(lambda: recovered("c6"), 40)  # by the time limits: it is still cut off
    recovery = await recovered("c6")
    assert [p["by_limit"] for p in recovery["past"] if p["stage"] == "has a list"] == [True]
    fleet.network.heal(cut)
    await fleet.kill("c5")
    await fleet.start("c5")
    await fleet.until(lambda: recovered("c5"), 30)
    assert not any(p["by_limit"] for p in (await recovered("c5"))["past"])


# 2. Datagram loss.


@case(SEVEN_NAMES, 3)
async def three_in_ten_datagrams_lost_for_two_minutes(fleet):
    fleet.network.loss = 0.3
    began, count = time.monotonic(), 0
    while time.monotonic() - began < 120:
        await propose_committed(fleet, f"p{count}", fleet.names[count % 7])
        count += 1
        await asyncio.sleep(2)
    fleet.network.loss = 0.0
    await fleet.until(fleet.settled, 20)
    await wait_until_committed_everywhere(fleet, *(f"p{i}" for i in range(count)))
    lost, passed = fleet.network.counts["lost"], fleet.network.counts["passed"]
    assert 0.2 < lost / (lost + passed) < 0.4


# 3. Many controllers killed at once.


async def kill_and_restart(fleet, killed, after, id):
    """Kills these controllers, starts them again `after` seconds later, and waits until all have recovered.

    Meanwhile the proposal `id` must commit if a majority of the voters runs, and must not otherwise.
    """
    await fleet.kill(*killed)
    running = names_except(fleet, *killed)
    majority = sum(v in running for v in fleet.voters) > len(fleet.voters) // 2
    if majority:
        await propose_committed(fleet, id, running[-1])
    elif running:
        assert await fleet.propose(id, {id: 1}, running[-1], 2.0) is None
    await asyncio.sleep(after)
    await fleet.start(*killed)
    await propose_committed(fleet, id + " after", fleet.names[-1], 30)
    await fleet.until(fleet.settled, 60)
    await wait_until_committed_everywhere(fleet, id + " after", *([id] if running else ()))


@case(FIFTEEN_NAMES)
async def half_then_all_killed_at_once_and_restarted_after_two_seconds(fleet):
    await propose_committed(fleet, "first", "c14")
    await kill_and_restart(fleet, ["c0", "c1", "c2", *FIFTEEN_NAMES[8:12]], 2, "half")
    await kill_and_restart(fleet, FIFTEEN_NAMES, 2, "all")
    await wait_until_committed_everywhere(fleet, "first", "half", "half after", "all after")


@case(FIFTEEN_NAMES)
async def half_killed_at_once_and_restarted_after_half_a_minute(fleet):
    await propose_committed(fleet, "first", "c14")
    await kill_and_restart(fleet, ["c3", "c4", *FIFTEEN_NAMES[5:10]], 30, "half")
    await wait_until_committed_everywhere(fleet, "first", "half", "half after")


# 4. Faults of the stores.


async def identity_of(fleet, name):
    """Returns the present identity of a voter."""
    return (await fleet.record(name))["identity"]


async def wait_until_added(fleet, name, old_identity):
    """Waits until the voter has another identity, and is among the voters under that."""

    async def added():
        record = await fleet.record(name)
        return (
            record
            and not record["doubts"]
            and record["voters"].get(name) == record["identity"] != old_identity
        )

    await fleet.until(added, 60)


@case(SEVEN_NAMES)
async def stores_wiped_put_back_damaged_and_full(fleet):
    for n in range(10):
        await propose_committed(fleet, f"p{n}", "c6")
    fleet.copy("c1")
    for n in range(10, 20):
        await propose_committed(fleet, f"p{n}", "c5")
    for name, lose_entries in (("c0", fleet.wipe), ("c1", fleet.rewind), ("c2", fleet.damage)):
        old_identity = await identity_of(fleet, name)
        await fleet.kill(name)
        lose_entries(name)
        await fleet.start(name)
        await wait_until_added(fleet, name, old_identity)
        assert await identity_of(fleet, name) != old_identity, (
            f"{name} kept its identity although it lost what it had confirmed"
        )
    assert any("store damaged" in line for line in fleet.said["c2"])
    await fleet.until(fleet.all_in)
    for name in ("c3", "c4"):  # the disk of one, then of two, is full in the middle of an entry
        fleet.fill(name, 20)
    await propose_committed(fleet, "full", "c6")

    async def logged():
        return all(any("not kept" in line for line in fleet.said[n]) for n in ("c3", "c4"))

    await fleet.until(logged)
    leader = await fleet.leader()
    if leader in ("c3", "c4"):  # it still leads by the confirmations of others; its own do not count
        assert (await fleet.record(leader))["agreed"]
    for name in ("c3", "c4"):
        fleet.empty(name)
    await propose_committed(fleet, "room", "c6")
    await wait_until_committed_everywhere(fleet, *(f"p{n}" for n in range(20)), "full", "room")


@case(SEVEN_NAMES)
async def two_of_five_voters_wiped_while_a_third_is_cut_off(fleet):
    await propose_committed(fleet, "kept", "c6")
    fleet.network.cut(["c2"], names_except(fleet, "c2"))
    await fleet.kill("c0", "c1")
    fleet.wipe("c0")
    fleet.wipe("c1")
    await fleet.start("c0", "c1")
    assert await fleet.propose("too few", {"too few": 1}, "c6", 8.0) is None
    for name in ("c0", "c1"):
        assert (await fleet.record(name))["doubts"], "a wiped voter votes"
    fleet.network.heal()
    await wait_until_committed_everywhere(fleet, "kept", "too few")
    await fleet.until(fleet.all_in, 60)


# 5. Partitions.


@case(FIFTEEN_NAMES)
async def members_restart_and_die_on_both_sides_of_a_partition(fleet):
    side, other_side = FIFTEEN_NAMES[:6] + ["c14"], FIFTEEN_NAMES[6:14]
    cut = fleet.network.cut(side, other_side)
    await fleet.kill("c13")
    old_runs = {of: run for (of, _), (_, run) in (await fleet.standings()).items()}
    await fleet.kill("c5")
    await fleet.start("c5")

    async def partitioned():
        standings = await fleet.standings()
        across = [standing for (of, by), (standing, _) in standings.items() if (of in side) != (by in side)]
        return "alive" not in across

    await fleet.until(partitioned, 90)
    fleet.network.heal(cut)
    assert await fleet.until(fleet.settled, 60) < 45
    standings = await fleet.standings()
    assert all(standings["c5", by][1] > old_runs["c5"] for by in fleet.running() if by != "c5")
    await propose_committed(fleet, "together", "c12")
    await wait_until_committed_everywhere(fleet, "together")


# 6. Packets from outside the fleet.


@case(["a", "b", "c"], 3)
async def two_fleets_whose_addresses_cross(fleet):
    folder = tempfile.mkdtemp()
    southern_fleet = Several(folder, ["a", "b", "c"], ["a", "b", "c"], called="southern")
    # packets for the southern a and b are delivered to the northern a and b, and the reverse
    try:
        await southern_fleet.start()
        await southern_fleet.begin()
        await propose_committed(fleet, "north", "c")
        await propose_committed(southern_fleet, "south", "c")
        await wait_until_committed_everywhere(fleet, "north")
        await wait_until_committed_everywhere(southern_fleet, "south")
        for tables in zip(
            (fleet.network.datagrams, fleet.network.bodies),
            (southern_fleet.network.datagrams, southern_fleet.network.bodies),
            strict=True,
        ):
            for name in ("a", "b"):
                tables[0][name], tables[1][name] = tables[1][name], tables[0][name]
        await asyncio.sleep(6)
        for current, id in ((fleet, "north"), (southern_fleet, "south")):
            for name in ("a", "b"):
                _, members = await current.ask(name, "GET", "/fleet/members")
                assert members["dropped"].get("astray"), (
                    f"{name} of {id} received nothing from the other fleet"
                )
            for record in (await current.records()).values():
                # proposed by the controllers themselves
                own_ids = {i for i in record["ids"] if i.startswith(("front/", "ranks/"))}
                assert set(record["ids"]) - own_ids == {id}, "it accepted a proposal of the other fleet"
                fronts = {v for key, v in record["map"].items() if key.startswith("front/")}
                assert fronts <= {f"http://{front}" for front in current.fronts.values()}
    finally:
        await southern_fleet.close()
        shutil.rmtree(folder, ignore_errors=True)
    for name in ("a", "b"):
        await fleet.kill(name)
        await fleet.start(name)
    await propose_committed(fleet, "north again", "c", 30)
    await wait_until_committed_everywhere(fleet, "north", "north again")


@case(["a", "b", "c"], 3)
async def garbage_huge_and_truncated_datagrams_and_unknown_senders(fleet):
    host, port = fleet.network.datagrams["a"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
        for n in range(200):
            out.sendto(os.urandom(1 + n * 7), (host, port))
            out.sendto(b"\x97\xa7several\xa1b\xa1a\x92\xa4Ping"[: 1 + n % 20], (host, port))
            out.sendto(b"\x00" * 60_000, (host, port))
            out.sendto(b"\x97\xa7several\xa1z\xa1a\x92\xa4Ping\x01\x00\x00\x00", (host, port))
            await asyncio.sleep(0.002)

    async def counted():
        _, members = await fleet.ask("a", "GET", "/fleet/members")
        return sum(members["dropped"].values()) >= 400

    await fleet.until(counted)
    _, members = await fleet.ask("a", "GET", "/fleet/members")
    assert {"garbage", "unknown"} <= set(members["dropped"])
    assert not any('"error"' in line for line in fleet.said["a"])
    await propose_committed(fleet, "all the same", "a")
    await fleet.until(fleet.settled)


# 7. A proposal whose response is lost.


@case(SEVEN_NAMES)
async def a_proposal_is_retried_elsewhere_while_the_leader_changes(fleet):
    indices = {}
    for n in range(6):
        leader = await fleet.leader()
        first, second = [x for x in names_except(fleet, leader)][-2:]
        id = f"p{n}"
        # its response is not awaited; the leader is killed while the proposal is on its way, or is cut off
        await fleet.ask(first, "POST", "/fleet/propose", {"id": id, "value": {id: "first"}, "wait": 0})
        cut = set()
        if n % 2:
            await fleet.kill(leader)
        else:
            cut = fleet.network.cut([leader], names_except(fleet, leader))
        answer = await fleet.propose(id, {id: "second"}, second, 30)
        assert answer is not None
        indices[id] = answer["index"]
        if n % 2:
            await fleet.start(leader)
        fleet.network.heal(cut)
        await fleet.until(fleet.all_in, 60)
    await wait_until_committed_everywhere(fleet, *indices)
    for record in (await fleet.records()).values():
        assert {id: record["ids"][id] for id in indices} == indices, "committed at another index, or twice"
        assert sum(v in ("first", "second") for v in record["map"].values()) == len(indices)


@pytest.mark.parametrize("name", list(case))
def test_over_processes(name, outcomes):
    if outcomes[name] is not None:
        raise outcomes[name]
