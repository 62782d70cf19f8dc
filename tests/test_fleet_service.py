"""A fleet over real sockets: services in one process, then controllers as processes, with faults between."""

import asyncio
import json
import os
import shutil
import types

import pytest
from click.testing import CliRunner

from terndrift import records
from terndrift.cli.main import cli
from terndrift.core.runner import Clock
from terndrift.deployment import InconsistentRecordError
from terndrift.fleet.record import Role
from terndrift.fleet.service import Fleet, settled
from terndrift.rehearse import run
from terndrift.standin.network import Network

NAMES = ["a", "b", "c", "d"]


class Log:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **facts: self.lines.append((level, event, facts))

    def said(self, words):
        return [line for line in self.lines if words in line[1]]


class Town:
    """Four controllers' fleets on loopback, three of them voters."""

    def __init__(self, folder):
        self.folder, self.network, self.fleets = folder, Network(NAMES), {}

    def value(self, name):
        voter = name in NAMES[:3]
        return {
            "name": "town",
            "datagrams": "127.0.0.1:0",
            "voters": NAMES[:3],
            "http": "127.0.0.1:0",
            "members": self.network.members(name),
            "front": "",
            "store": os.path.join(self.folder, name) if voter else "",
        }

    async def start(self, *names):
        for name in names or NAMES:
            one = self.fleets[name] = Fleet(self.value(name), name, Clock(), 1, Log())
            await one.start()
            self.network.at(name, *one.addresses)

    async def stop(self, *names):
        for name in names:
            await self.fleets.pop(name).stop()

    async def until(self, true, within=20.0):
        for _ in range(int(within / 0.05)):
            if true():
                return
            await asyncio.sleep(0.05)
        raise AssertionError("not in time")

    def all_in(self):
        return all(len(f.controller.follower.state["voters"]) == 3 for f in self.fleets.values())


def in_town(test):
    def run_it(tmp_path):
        async def live():
            town = Town(str(tmp_path))
            await town.network.start()
            await town.start()
            try:
                code, said = await town.fleets["a"].restart({"state": None})
                assert code == 200 and said["epoch"][0] == 1
                await town.until(town.all_in)
                await test(town)
            finally:
                await town.stop(*list(town.fleets))
                town.network.close()

        asyncio.run(live())

    run_it.__name__ = test.__name__
    return run_it


@in_town
async def test_what_is_proposed_anywhere_is_agreed_everywhere_and_large_values_go_by_http(town):
    code, said = await town.fleets["d"].propose({"id": "p1", "value": {"plan": "x" * 20_000}})
    assert code == 200
    assert await town.fleets["b"].propose({"id": "p1", "value": {"plan": "y"}}) == (200, said), "once"
    await town.until(lambda: all("plan" in f.record()["map"] for f in town.fleets.values()))
    assert {len(f.record()["map"]["plan"]) for f in town.fleets.values()} == {20_000}
    assert (await town.fleets["d"].propose({"id": "", "value": {}}))[0] == 422
    assert (await town.fleets["d"].restart({"state": None}))[0] == 422, "d is no voter"


@in_town
async def test_a_damaged_store_is_put_aside_and_its_voter_let_in_again(town):
    await town.fleets["d"].propose({"id": "p1", "value": {"k": 1}})
    before = town.fleets["c"].controller.voter.identity
    await town.stop("c")
    folder = os.path.join(town.folder, "c")
    log = os.path.join(folder, next(n for n in os.listdir(folder) if n.startswith("log-")))
    with open(log, "r+b") as file:
        file.seek(os.path.getsize(log) // 2)
        file.write(b"\xff" * 16)
    await town.start("c")
    one = town.fleets["c"]
    assert one.log.said("store damaged") and one.controller.voter.role is Role.OUT
    await town.until(lambda: one.controller.voter.role is Role.FOLLOWER)
    assert one.controller.voter.identity != before
    await town.until(lambda: one.record()["map"] == {"k": 1})


@in_town
async def test_a_full_disk_confirms_nothing_until_it_has_room_again(town):
    one = town.fleets["b"]
    store, append = one.committer.store, one.committer.store.append

    def full(records):
        raise OSError(28, "No space left on device")

    store.append = full
    town.network.cut(["c"], ["a", "d"])
    asking = asyncio.ensure_future(town.fleets["d"].propose({"id": "p1", "value": {"k": 1}, "wait": 30}))
    await town.until(lambda: one.log.said("not kept"))
    assert not asking.done(), "two of three are needed, and one keeps nothing"
    store.append = append
    assert (await asking)[0] == 200


@in_town
async def test_a_controller_cut_from_the_others_says_so_and_is_told_when_it_is_back(town):
    pairs = town.network.cut(["a"], ["b", "c", "d"])
    await town.until(lambda: town.fleets["a"].log.said("cut off"))
    assert town.fleets["a"].record()["cut_off_s"] > 4
    code, said = await town.fleets["d"].propose({"id": "p1", "value": {"k": 1}, "wait": 20})
    assert code == 200, (said, {n: f.record() for n, f in town.fleets.items()})
    town.network.heal(pairs)
    await town.until(lambda: town.fleets["a"].log.said("heard again"))
    await town.until(lambda: town.fleets["a"].record()["map"] == {"k": 1})


@in_town
async def test_garbage_and_strangers_are_dropped_and_counted(town):
    one = town.fleets["a"]
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=("127.0.0.1", int(one.addresses[0].rpartition(":")[2]))
    )
    for data in (b"x", b"\x00" * 60_000, b"\x95\xa4town\xa1z\xa1a\x92\xa4Ping\x01\x00", os.urandom(500)):
        transport.sendto(data)
    await town.until(lambda: sum(one.dropped.values()) >= 4)
    transport.close()
    assert (await one.propose({"id": "p1", "value": {"k": 1}}))[0] == 200


def front(tmp_path, more):
    (tmp_path / "list.rec").write_text('streamers: a: {id: 1, address: "127.0.0.1:1", rack: 0, kind: "box"}')
    (tmp_path / "front.rec").write_text(
        'include "deployment.rec"\ncontroller: name: "c0"\nlist: "list.rec"\n' + more
    )
    (tmp_path / "deployment.rec").write_text(
        "deployment: {plans: recorded: {startup_target: 1s, abandon: 3s}\n"
        "ladder: {rates: [50kB/s], revenue: [1.0]}\nlinks: {unit: 1MB/s, uplink: 2MB/s, places: box: 8}\n"
        'titles: clip: {plan: "recorded", seconds: 2}\n'
        "rules: {cold_for: 8s}}\n"
    )
    return records.load(str(tmp_path / "front.rec"), "front")


def test_a_fleet_whose_names_do_not_fit_is_refused_with_the_field(tmp_path):
    value = front(
        tmp_path,
        'fleet: {name: "f", voters: ["c0", "c1", "c9"],\n'
        'members: c0: {datagrams: "127.0.0.1:1", http: "127.0.0.1:2"}}\n',
    )
    with pytest.raises(InconsistentRecordError) as wrong:
        settled(value)
    for words in ("fleet.members.c0", "fleet.voters: no member 'c9'", "fleet.store"):
        assert words in str(wrong.value)
    value["fleet"] |= {"voters": ["c0", "c0"], "members": {}, "store": "x"}
    with pytest.raises(InconsistentRecordError, match="2 names, wanted 3 or 5"):
        settled(value)
    assert settled(front(tmp_path, "")) is None, "without a name there is no fleet"


def rehearsed(folder, seed):
    """The report of day.rec there; no rule may be broken."""
    shutil.copy(os.path.join(os.path.dirname(run.__file__), "days", "common.rec"), folder)
    out = folder / "report.json"
    args = ["rehearse", str(folder / "day.rec"), "--seed", str(seed), "--report", str(out)]
    ran = CliRunner().invoke(cli, args)
    report = json.loads(out.read_text())
    assert ran.exit_code == 0, report["breaks"]
    return report


def test_a_day_of_cuts_kills_stops_and_lost_stores_over_processes(tmp_path):
    """Six controllers, three voters: nothing agreed is lost, changed or doubled, the six rules hold, and two
    streamers go out for work in turn, untouched while anybody is there."""
    (tmp_path / "day.rec").write_text("""
include "common.rec"
viewers: rate: 5.0
size: {controllers: 6, streamers: 8, seconds: 20}
members: {voters: 3, propose: 4.0}
work: {share: 0.25, from: 0.02, needs: 1s, drain: 3s, warm: 1s, most: 1}
troubles: [
	{kind: "cut",    from: 0.05, lasts: 3s, share: 0.34, size: 2.0},
	{kind: "kill",   from: 0.25, lasts: 1s, share: 0.17},
	{kind: "stop",   from: 0.40, lasts: 3s, share: 0.17},
	{kind: "wipe",   from: 0.60, lasts: 1s, share: 0.34},
	{kind: "rewind", from: 0.80, lasts: 1s, share: 0.34},
]
""")
    report = rehearsed(tmp_path, 3)
    found = types.SimpleNamespace(**report["fleet"])
    assert found.agreed > 40 and (found.lost, found.changed, found.doubled) == (0, 0, 0)
    assert found.same_at_end
    work = report["work"]
    assert (work["planned"], work["done"], work["stuck"]) == (2, 2, {})
    assert (work["touched_while_held"], work["over_budget_s"], work["steps_doubled"]) == (0, 0.0, 0)


def test_one_that_is_cut_off_sets_nothing_up_on_a_machine_that_may_be_touched(tmp_path):
    """Shown from the streamers' ledgers: the permit waits for the limit of the one that is cut off, which is
    asked by its viewers all along."""
    (tmp_path / "day.rec").write_text("""
include "common.rec"
viewers: rate: 6.0
size: {controllers: 4, streamers: 6, seconds: 45}
members: {voters: 3, propose: 0.5}
work: {share: 0.2, from: 0.06, needs: 10s, drain: 2s, warm: 1s, most: 1}
troubles: [{kind: "cut", from: 0.05, lasts: 36s, share: 0.25, size: 2.0}]
""")
    report = rehearsed(tmp_path, 2)
    work = report["work"]
    assert work["done"] == 1 and work["touched_while_held"] == 0 and work["steps_doubled"] == 0
    assert report["rules"]["drains"] == 0 and work["took_s"] > 20, "the permit waits for whoever is cut off"


def test_a_controller_of_a_fleet_serves_no_title_from_the_moment_on_at_which_it_listens(tmp_path):
    """Guards what came in between listening and the fleet's own start: it was served by the old store."""
    from terndrift import service

    front = tmp_path / "front.rec"
    front.write_text("""deployment: {
	plans: recorded: {startup_target: 1s, abandon: 3s}
	ladder: {rates: [50kB/s], revenue: [1.0]}
	links: {unit: 1MB/s, uplink: 2MB/s, places: box: 8}
	titles: clip: {plan: "recorded", seconds: 2}
}
controller: name: "a"
list: "list.rec"
fleet: {name: "n", voters: ["b", "c", "d"], members: {
	"b": {datagrams: "127.0.0.1:1", http: "127.0.0.1:1"}
	"c": {datagrams: "127.0.0.1:1", http: "127.0.0.1:1"}
	"d": {datagrams: "127.0.0.1:1", http: "127.0.0.1:1"}
}}
""")
    line = 'streamers: a: {id: 1, address: "127.0.0.1:1", rack: 0, kind: "box"}\n'
    (tmp_path / "list.rec").write_text(line)

    async def made():
        one = service.Service(service.read(str(front)), log=Log())
        assert one.front.unsure and not one.front.sure.is_set()

    asyncio.run(made())
