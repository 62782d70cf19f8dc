"""A fleet over real sockets, with faults: services in one process, then controllers as processes."""

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
from terndrift.fleet.raft import Role
from terndrift.fleet.service import FleetService, settled
from terndrift.rehearse import run
from terndrift.standin.network import Network

NAMES = ["a", "b", "c", "d"]


class Log:
    """Records log lines instead of writing them."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **facts: self.lines.append((level, event, facts))

    def find(self, words):
        """Returns the lines whose event contains `words`."""
        return [line for line in self.lines if words in line[1]]


class FleetOnLoopback:
    """Four controllers in one process on loopback, three of them voters."""

    def __init__(self, folder):
        self.folder, self.network, self.controllers = folder, Network(NAMES), {}

    def settings(self, name):
        """Returns the `fleet` section of a controller's front file."""
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
            controller = self.controllers[name] = FleetService(self.settings(name), name, Clock(), 1, Log())
            await controller.start()
            self.network.at(name, *controller.addresses)

    async def stop(self, *names):
        for name in names:
            await self.controllers.pop(name).stop()

    async def until(self, condition, within=20.0):
        """Waits until the condition holds; AssertionError after `within` s."""
        for _ in range(int(within / 0.05)):
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError("not in time")

    def all_voters_joined(self):
        """Tells whether each controller knows three voters to be in force."""
        return all(len(f.controller.committed_log.state["voters"]) == 3 for f in self.controllers.values())


def with_fleet(test):
    """Runs a test coroutine with a FleetOnLoopback that has started its record."""

    def run_test(tmp_path):
        async def run_with_fleet():
            fleet = FleetOnLoopback(str(tmp_path))
            await fleet.network.start()
            await fleet.start()
            try:
                code, answer = await fleet.controllers["a"].restart({"state": None})
                assert code == 200 and answer["epoch"][0] == 1
                await fleet.until(fleet.all_voters_joined)
                await test(fleet)
            finally:
                await fleet.stop(*list(fleet.controllers))
                fleet.network.close()

        asyncio.run(run_with_fleet())

    run_test.__name__ = test.__name__
    return run_test


@with_fleet
async def test_a_proposal_at_any_controller_is_agreed_at_all_and_a_large_one_is_sent_over_http(fleet):
    code, answer = await fleet.controllers["d"].propose({"id": "p1", "value": {"plan": "x" * 20_000}})
    assert code == 200
    assert await fleet.controllers["b"].propose({"id": "p1", "value": {"plan": "y"}}) == (200, answer), (
        "the same id counts once"
    )
    await fleet.until(lambda: all("plan" in f.record()["map"] for f in fleet.controllers.values()))
    assert {len(f.record()["map"]["plan"]) for f in fleet.controllers.values()} == {20_000}
    assert (await fleet.controllers["d"].propose({"id": "", "value": {}}))[0] == 422
    assert (await fleet.controllers["d"].restart({"state": None}))[0] == 422, "d is not a voter"


@with_fleet
async def test_a_damaged_store_is_renamed_and_its_voter_joins_under_a_new_identity(fleet):
    await fleet.controllers["d"].propose({"id": "p1", "value": {"k": 1}})
    before = fleet.controllers["c"].controller.voter.identity
    await fleet.stop("c")
    folder = os.path.join(fleet.folder, "c")
    log = os.path.join(folder, next(n for n in os.listdir(folder) if n.startswith("log-")))
    with open(log, "r+b") as file:
        file.seek(os.path.getsize(log) // 2)
        file.write(b"\xff" * 16)
    await fleet.start("c")
    controller = fleet.controllers["c"]
    assert controller.log.find("store damaged") and controller.controller.voter.role is Role.NON_VOTER
    await fleet.until(lambda: controller.controller.voter.role is Role.FOLLOWER)
    assert controller.controller.voter.identity != before
    await fleet.until(lambda: controller.record()["map"] == {"k": 1})


@with_fleet
async def test_a_voter_with_a_full_disk_confirms_nothing_until_it_can_write_again(fleet):
    controller = fleet.controllers["b"]
    store, append = controller.committer.store, controller.committer.store.append

    def append_to_full_disk(records):
        raise OSError(28, "No space left on device")

    store.append = append_to_full_disk
    fleet.network.cut(["c"], ["a", "d"])
    proposal = asyncio.ensure_future(
        fleet.controllers["d"].propose({"id": "p1", "value": {"k": 1}, "wait": 30})
    )
    await fleet.until(lambda: controller.log.find("not kept"))
    assert not proposal.done(), "a quorum is two of three, and one of the two can't write"
    store.append = append
    assert (await proposal)[0] == 200


@with_fleet
async def test_a_partitioned_controller_logs_it_and_catches_up_after_the_partition(fleet):
    pairs = fleet.network.cut(["a"], ["b", "c", "d"])
    await fleet.until(lambda: fleet.controllers["a"].log.find("cut off"))
    assert fleet.controllers["a"].record()["cut_off_s"] > 4
    code, answer = await fleet.controllers["d"].propose({"id": "p1", "value": {"k": 1}, "wait": 20})
    assert code == 200, (answer, {n: f.record() for n, f in fleet.controllers.items()})
    fleet.network.heal(pairs)
    await fleet.until(lambda: fleet.controllers["a"].log.find("heard again"))
    await fleet.until(lambda: fleet.controllers["a"].record()["map"] == {"k": 1})


@with_fleet
async def test_malformed_messages_and_unknown_senders_are_dropped_and_counted(fleet):
    controller = fleet.controllers["a"]
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=("127.0.0.1", int(controller.addresses[0].rpartition(":")[2]))
    )
    for data in (b"x", b"\x00" * 60_000, b"\x95\xa4town\xa1z\xa1a\x92\xa4Ping\x01\x00", os.urandom(500)):
        transport.sendto(data)
    await fleet.until(lambda: sum(controller.dropped.values()) >= 4)
    transport.close()
    assert (await controller.propose({"id": "p1", "value": {"k": 1}}))[0] == 200


def front_settings(tmp_path, more):
    """Writes front, list and deployment files, with `more` at the end of the front file, and loads them."""
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


def test_inconsistent_names_in_the_settings_are_refused_with_the_field(tmp_path):
    value = front_settings(
        tmp_path,
        'fleet: {name: "f", voters: ["c0", "c1", "c9"],\n'
        'members: c0: {datagrams: "127.0.0.1:1", http: "127.0.0.1:2"}}\n',
    )
    with pytest.raises(InconsistentRecordError) as error:
        settled(value)
    for words in ("fleet.members.c0", "fleet.voters: no member 'c9'", "fleet.store"):
        assert words in str(error.value)
    value["fleet"] |= {"voters": ["c0", "c0"], "members": {}, "store": "x"}
    with pytest.raises(InconsistentRecordError, match="2 names, wanted 3 or 5"):
        settled(value)
    assert settled(front_settings(tmp_path, "")) is None, "a front file without a fleet name has no fleet"


def rehearse_day(folder, seed):
    """Rehearses the folder's day.rec and returns its report; fails if a rule is broken."""
    shutil.copy(os.path.join(os.path.dirname(run.__file__), "days", "common.rec"), folder)
    out = folder / "report.json"
    args = ["rehearse", str(folder / "day.rec"), "--seed", str(seed), "--report", str(out)]
    result = CliRunner().invoke(cli, args)
    report = json.loads(out.read_text())
    assert result.exit_code == 0, report["breaks"]
    return report


def test_partitions_kills_pauses_and_lost_stores_over_processes_break_no_rule(tmp_path):
    """Six controllers, three voters: no agreed entry is lost, changed or duplicated, the six rules hold, and
    two streamers leave for work in turn, not released while a playback runs on them."""
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
    report = rehearse_day(tmp_path, 3)
    members = types.SimpleNamespace(**report["fleet"])
    assert members.agreed > 40 and (members.lost, members.changed, members.doubled) == (0, 0, 0)
    assert members.same_at_end
    work = report["work"]
    assert (work["planned"], work["done"], work["stuck"]) == (2, 2, {})
    assert (work["touched_while_held"], work["over_budget_s"], work["steps_doubled"]) == (0, 0.0, 0)


def test_a_partitioned_controller_sets_up_nothing_on_a_machine_released_for_work(tmp_path):
    """Guards against a set-up on a machine under work: the permit waits until the partitioned controller must
    have stopped placing, while its viewers keep asking it. Judged from the streamers' ledgers."""
    (tmp_path / "day.rec").write_text("""
include "common.rec"
viewers: rate: 6.0
size: {controllers: 4, streamers: 6, seconds: 45}
members: {voters: 3, propose: 0.5}
work: {share: 0.2, from: 0.06, needs: 10s, drain: 2s, warm: 1s, most: 1}
troubles: [{kind: "cut", from: 0.05, lasts: 36s, share: 0.25, size: 2.0}]
""")
    report = rehearse_day(tmp_path, 2)
    work = report["work"]
    assert work["done"] == 1 and work["touched_while_held"] == 0 and work["steps_doubled"] == 0
    assert report["rules"]["drains"] == 0 and work["took_s"] > 20, (
        "the permit waits for the partitioned controller"
    )


def test_a_controller_of_a_fleet_serves_no_title_before_it_knows_its_catalogue_is_current(tmp_path):
    """Guards against requests after listening and before the start of the fleet: they were served by the old
    store."""
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

    async def check():
        front_service = service.Service(service.read(str(front)), log=Log())
        assert front_service.front.unsure and not front_service.front.sure.is_set()

    asyncio.run(check())
