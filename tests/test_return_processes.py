"""Return of controllers after a start, over processes of the program, with faults between them.

The rules and the time to full service need streamers that play; the days herd-return and lost-state judge
them. Each coroutine registered with `case` causes the fault that its name describes.
"""

import asyncio
import sys

import pytest
from process_cases import Cases

from terndrift.http.client import Broken, Unreached, fetch

case = Cases()
EIGHT_CONTROLLERS = [f"c{n}" for n in range(8)]
SIX_CONTROLLERS = EIGHT_CONTROLLERS[:6]


@pytest.fixture(scope="module")
def outcomes():
    return case.outcomes()


async def change_catalogue(controllers, id, names=None, **more):
    """Sends the same change, under the same id, to each named controller (default: all running ones)."""
    for name in names or controllers.running():
        code, answer = await controllers.ask(name, "POST", "/catalogue/changes", {"id": id, **more}, 30)
        assert code == 200, (name, answer)


async def request_title(controllers, name, title):
    """Returns the status code of a viewer's request, redirects not followed; 0 if nobody answers."""
    try:
        code, _, _ = await fetch(
            controllers.pool,
            controllers.fronts[name],
            "GET",
            f"/v/{title}/main.m3u8",
            {},
            within=6.0,
            connect=0.5,
            fresh=True,
        )
    except (Unreached, Broken, KeyError):
        return 0
    return code


async def has_title(controllers, name, title):
    """Tells whether a controller's catalogue has the title."""
    code, _ = await controllers.ask(name, "GET", f"/catalogue/titles/{title}")
    return code == 200


TITLE_ENTRY = {"plan": "recorded", "seconds": 2}


@case(EIGHT_CONTROLLERS, voters=3, fleet={"front": "listen"})
async def all_restart_half_with_their_catalogues_a_quarter_with_old_ones_and_a_quarter_with_none(controllers):
    await change_catalogue(controllers, "first", put={"gone": TITLE_ENTRY, "stays": TITLE_ENTRY})
    for name in ("c4", "c5"):
        controllers.copy(name, "store")
    await change_catalogue(controllers, "second", put={"new": TITLE_ENTRY}, drop=["gone"])
    await controllers.kill(*EIGHT_CONTROLLERS)
    for name in ("c4", "c5"):
        controllers.rewind(name, "store")
    for name in ("c6", "c7"):
        controllers.wipe(name, "store")
    codes_by_name, stopped = {}, asyncio.Event()

    async def request_repeatedly(name):
        while not stopped.is_set():
            codes_by_name.setdefault(name, []).append(await request_title(controllers, name, "gone"))
            await asyncio.sleep(0.05)

    tasks = [asyncio.ensure_future(request_repeatedly(name)) for name in EIGHT_CONTROLLERS]
    await controllers.start(*EIGHT_CONTROLLERS)

    async def all_are_current():
        return all(
            [
                await has_title(controllers, n, "new") and not await has_title(controllers, n, "gone")
                for n in EIGHT_CONTROLLERS
            ]
        )

    await controllers.until(all_are_current, 30)
    await asyncio.sleep(1)
    stopped.set()
    await asyncio.gather(*tasks)
    other_codes = {name: sorted(set(codes) - {0, 307, 404}) for name, codes in codes_by_name.items()}
    assert all(set(codes) <= {503} for codes in other_codes.values()), other_codes
    # The dropped title is rejected while the catalogue may be outdated, then unknown, and never attempted.
    for name in EIGHT_CONTROLLERS:
        codes = [c for c in codes_by_name[name] if c]
        assert codes[-1] == 404 and 503 not in codes[codes.index(404) :], (name, codes)
    assert all([await has_title(controllers, n, "stays") for n in EIGHT_CONTROLLERS])
    copied = [
        n for n in EIGHT_CONTROLLERS if any("copied from a member" in line for line in controllers.said[n])
    ]
    assert copied == ["c4", "c5", "c6", "c7"], copied
    # The copy contains the ids of changes, so a change that is sent again counts once.
    await change_catalogue(controllers, "second", put={"new": TITLE_ENTRY}, drop=["gone"])


@case(SIX_CONTROLLERS, voters=3, fleet={"front": "listen"})
async def a_crash_looping_controller_delays_no_other_and_a_partitioned_one_serves_after_its_limit(
    controllers,
):
    async def are_full(*names):
        reports = [(await controllers.ask(n, "GET", "/fleet/recovery"))[1] for n in names]
        return all(r and r["stage"] == "full" for r in reports)

    async def five_are_full():
        return await are_full(*SIX_CONTROLLERS[:5])

    await controllers.until(five_are_full, 60)
    returns_logged = {
        n: len([x for x in controllers.said[n] if '"event": "return"' in x]) for n in SIX_CONTROLLERS[:5]
    }
    for _ in range(3):
        await controllers.kill("c5")
        await controllers.start("c5")
        await asyncio.sleep(2)
        assert await are_full(*SIX_CONTROLLERS[:5]), "its start made others return again"
    assert returns_logged == {
        n: len([x for x in controllers.said[n] if '"event": "return"' in x]) for n in SIX_CONTROLLERS[:5]
    }
    # Without any other controller it serves what it has once the limit of its stage has passed.
    await controllers.kill("c5")
    pairs = controllers.network.cut(["c5"], SIX_CONTROLLERS[:5])
    await controllers.start("c5")
    codes = []

    async def serves_alone():
        codes.append(await request_title(controllers, "c5", "clip"))
        return (await controllers.ask("c5", "GET", "/fleet/recovery"))[1]["past"][1:] and codes[-1] in (
            503,
            504,
        )

    await controllers.until(serves_alone, 30)
    controllers.network.heal(pairs)

    async def all_are_full():
        return await are_full(*SIX_CONTROLLERS)

    await controllers.until(all_are_full, 60)


@case(SIX_CONTROLLERS, voters=3)
async def a_return_during_a_partition_that_heals_midway(controllers):
    await change_catalogue(controllers, "first", put={"new": TITLE_ENTRY}, names=SIX_CONTROLLERS)
    await controllers.kill("c3", "c4", "c5")
    controllers.wipe("c4", "store")
    pairs = controllers.network.cut(["c3", "c4", "c5"], ["c0", "c1"])
    await controllers.start("c3", "c4", "c5")
    await asyncio.sleep(3)
    controllers.network.heal(pairs)

    async def all_are_full_and_current():
        reports = [(await controllers.ask(n, "GET", "/fleet/recovery"))[1] for n in SIX_CONTROLLERS]
        return all(r["stage"] == "full" for r in reports) and await has_title(controllers, "c4", "new")

    await controllers.until(all_are_full_and_current, 60)
    await controllers.until(controllers.settled, 60)


@case(SIX_CONTROLLERS, voters=3)
async def a_slow_or_full_disk_blocks_no_request_and_a_lost_change_is_reported(controllers):
    await controllers.kill("c5")
    controllers.slow["c5"] = 5
    await controllers.start("c5")

    async def knows_its_catalogue():
        return await request_title(controllers, "c5", "nothing") == 404

    await controllers.until(knows_its_catalogue, 30)
    pending_change = asyncio.ensure_future(
        change_catalogue(controllers, "slow", names=["c5"], put={"new": TITLE_ENTRY})
    )
    await asyncio.sleep(0.1)
    for _ in range(3):
        assert await request_title(controllers, "c5", "nothing") == 404
    assert not pending_change.done(), "the event loop was blocked while the disk synced"
    await pending_change
    controllers._limit("c5", 0)
    lost_change = {"id": "x", "put": {"more": TITLE_ENTRY}}
    code, answer = await controllers.ask("c5", "POST", "/catalogue/changes", lost_change, 30)
    assert code == 503 and "not kept" in answer["error"]
    assert await request_title(controllers, "c5", "clip") in (503, 504) and not await has_title(
        controllers, "c5", "more"
    )
    controllers.empty("c5")


@case(SIX_CONTROLLERS, voters=3, fleet={"shed": True})
async def an_operators_level_sheds_everywhere_until_it_expires_and_load_sums_cover_all(controllers):
    async def load_report(name):
        return (await controllers.ask(name, "GET", "/fleet/load"))[1]

    async def all_are_summed():
        return all([(await load_report(n))["members"] == 6 for n in SIX_CONTROLLERS])

    await controllers.until(all_are_summed, 30)
    assert await shed_command(controllers, "c4", "hold", "--for", "20", "1") == 0
    assert await shed_command(controllers, "c4", "hold", "9") == 2, (
        "the level is limited by the number of plans"
    )

    async def level_applies():
        return all([(await load_report(n))["level"] == 1 for n in SIX_CONTROLLERS])

    await controllers.until(level_applies, 30)
    codes = await asyncio.gather(
        *(request_title(controllers, name, "clip") for name in SIX_CONTROLLERS for _ in range(5))
    )
    assert set(codes) == {503}

    async def shed_at_c0_reported_at_c5():
        await request_title(controllers, "c0", "clip")
        recorded = (await load_report("c5"))["plans"].get("recorded", {})
        return recorded.get("shed", 0) > 0 and recorded["wanted"] >= recorded["shed"]

    await controllers.until(shed_at_c0_reported_at_c5, 30)

    async def level_expired():
        return all([(await load_report(n))["level"] == 0 for n in SIX_CONTROLLERS])

    await controllers.until(level_expired, 60)
    await shed_command(controllers, "c1", "hold", "--for", "3600", "0.5")
    await shed_command(controllers, "c2", "release")
    await controllers.until(level_expired, 30)


async def shed_command(controllers, name, *words):
    """Runs `terndrift fleet shed` for a controller and returns its exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "terndrift",
        "fleet",
        "shed",
        words[0],
        "--admin",
        controllers.admins[name],
        *words[1:],
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    await process.communicate()
    return process.returncode


@pytest.mark.parametrize("name", list(case))
def test_over_processes(name, outcomes):
    if outcomes[name] is not None:
        raise outcomes[name]
