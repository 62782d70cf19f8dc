"""The listing over real streams: a controller follows a stand-in source, with the faults of hard days."""

import asyncio
import json
import subprocess
import sys

import grpc
import pytest
import trustme
from test_path import NO_BREAKS
from testbed import DEPLOYMENT_TEXT, RecordingLog, Testbed, in_testbed

from terndrift.core.runner import Clock
from terndrift.listing.service import Listing
from terndrift.standin.xds import Source, streamer
from terndrift.xds import codec
from terndrift.xds.session import CLUSTER, ENDPOINT
from terndrift.xds.sources import source as made_source

FORMS = ("delta", "sotw")


async def wait_until(condition):
    """Waits for it; one that never comes ends the test with its own line, and not with the whole run's."""
    for _ in range(4000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it never came")


SECOND = 1_000_000_000


class Sourced(Testbed):
    """The streamers come from a stand-in source, those of each rack as a cluster."""

    list_file = ""

    def __init__(self, form="delta", loads=False, **made):
        super().__init__(**made)
        self.form, self.source, self.given = form, None, self.extra_settings
        self.loads = str(loads).lower()

    async def start_controller(self, listen="127.0.0.1:0"):
        if self.source is None:
            self.source = Source()
            await self.source.start()
            self.tell()
        self.extra_settings = (
            f'{self.given}\nxds: main: {{source: "{self.source.address}", form: "{self.form}", '
            f"first: 2s, loads: {self.loads}}}"
        )
        await super().start_controller(listen)
        await wait_until(lambda: len(self.service.listing.merged.lines) == self.streamers)

    def write_list(self, **standing):
        pass

    def tell(self, **standing):
        """The state as the fleet is, but for these; None: no longer listed."""
        self.standings.update({int(k[1:]): v for k, v in standing.items()})
        clusters = {"rack-0": {}, "rack-1": {}}
        for name, row in self.fleet.lines().items():
            state = self.standings.get(row["id"], "ready")
            if state is not None:
                clusters[f"rack-{row['rack']}"][name] = streamer(
                    name,
                    row["id"],
                    row["address"],
                    row["rack"],
                    standing=state,
                    started=self.start_times.get(row["id"], 0.0),
                )
        self.source.clusters = clusters
        self.source.changed()
        for id, state in standing.items():
            self.record_event("listed", streamer=int(id[1:]), standing=state or "gone")

    def in_force(self):
        return {e.name: e.standing for e in self.service.listing.merged.lines.values()}

    async def __aexit__(self, *_):
        try:
            await super().__aexit__(*_)
        finally:
            await self.source.stop()


def sourced(form, **made):
    return in_testbed(testbed_class=Sourced, form=form, **made)


@pytest.mark.parametrize("form", FORMS)
def test_a_playback_plays_at_what_a_source_lists_and_not_at_what_it_takes_back(form):
    async def test(testbed):
        assert (await testbed.request_playback())[0] == 200
        for state in (None, "draining", "gone"):
            testbed.tell(s0=state)
            await wait_until(lambda state=state: testbed.in_force().get("s0") == state)
            await asyncio.sleep(0.4)  # the grace
            before = len(testbed.streamer_events("try"))
            for n in range(6):
                assert (await testbed.request_playback(headers={"CMCD-Session": f'sid="{state}{n}"'}))[
                    0
                ] == 200
            assert all(n["streamer"] != 0 for n in testbed.streamer_events("try")[before:])
            testbed.tell(s0="ready")
            await wait_until(lambda: testbed.in_force().get("s0") == "ready")
        assert testbed.audit_report()["rules"] == NO_BREAKS

    sourced(form)(test)()


@pytest.mark.parametrize("form", FORMS)
def test_taken_back_under_load_while_set_ups_are_out_and_while_it_plays(form):
    async def test(testbed):
        done = []
        tasks = [asyncio.ensure_future(testbed.run_viewers(name, done)) for name in "abcdef"]
        try:
            for n, state in enumerate((None, "draining") if form == "delta" else ("gone", None)):
                one = f"s{n % 3}"
                testbed.fleet.streamers[n % 3].begin("late", 0.2)  # set-ups are on it as it goes
                await asyncio.sleep(0.2)
                testbed.tell(**{one: state})
                await wait_until(lambda one=one, state=state: testbed.in_force().get(one) == state)
                await asyncio.sleep(0.8)
                testbed.fleet.streamers[n % 3].end("late")
                testbed.tell(**{one: "ready"})
                await wait_until(lambda one=one: testbed.in_force().get(one) == "ready")
        finally:
            done.append(True)
            await asyncio.wait(tasks, timeout=10)
        assert testbed.audit_report()["rules"] == NO_BREAKS

    sourced(form)(test)()


@sourced("delta")
async def test_a_streamer_told_off_between_choice_and_connect_gets_nothing(testbed):
    """In the ms between the two the list changes: the transport asks the core once more before the first
    byte."""
    core, sent = testbed.service.core, []
    permitted = core.may_send

    def meanwhile(now, playback):
        if not sent:
            sent.append(playback.streamer.id)
            core.withdrawn_since[playback.streamer.id] = now - core.drain_grace - 1
        return permitted(now, playback)

    core.may_send = meanwhile
    assert (await testbed.request_playback())[0] == 200
    assert testbed.streamer_events("try")[0]["streamer"] != sent[0], "it was never sent there"


@pytest.mark.parametrize("form", FORMS)
def test_repeated_stale_refused_and_broken_updates_change_nothing(form):
    async def test(testbed):
        source, reader = testbed.source, testbed.service.sources.xds["main"].reader
        before = testbed.in_force()
        source.repeat()
        source.raw("type.googleapis.com/other", [])
        source.half_invalid("rack-0")
        await wait_until(lambda: reader.refused >= 2)
        for why in ("not asked for", "no address"):
            await wait_until(lambda why=why: any(why in r for s in source.streams for r in s.refused))
        assert testbed.in_force() == before, "nothing of a half invalid update is applied"
        taken = reader.taken
        source.raw(ENDPOINT, [], removed=("nobody",))  # a removal of what was never there
        await wait_until(lambda: reader.taken > taken)
        assert testbed.in_force() == before
        testbed.tell(s1="draining")
        await wait_until(lambda: testbed.in_force()["s1"] == "draining")

    sourced(form)(test)()


@pytest.mark.parametrize("form", FORMS)
def test_a_lost_stream_is_taken_up_again_and_what_changed_meanwhile_is_heard(form):
    async def test(testbed):
        source = testbed.source
        source.reset()
        testbed.tell(s2=None)  # between update and ACK, for all the client knows
        await wait_until(lambda: "s2" not in testbed.in_force())
        opened = source.opened
        source.restart()  # versions are counted anew
        testbed.tell(s2="ready", s1="draining")
        await wait_until(
            lambda: (
                source.opened > opened
                and testbed.in_force() == {"s0": "ready", "s1": "draining", "s2": "ready"}
            )
        )
        address = source.address
        await source.stop()
        await wait_until(lambda: not testbed.service.listing.merged.sources["main"].reached)
        assert len(testbed.in_force()) == 3 and (await testbed.request_playback())[0] == 200, (
            "its last word stays in force"
        )
        await source.start(address)
        testbed.tell(s1="ready")
        await wait_until(lambda: testbed.in_force()["s1"] == "ready")

    sourced(form)(test)()


@sourced("sotw")
async def test_a_restarted_controller_begins_with_what_was_kept_and_drops_what_is_gone_since(testbed):
    address = testbed.service.address
    await testbed.service.close()
    await testbed.source.stop()
    await Sourced.start_controller(testbed, address)
    assert (
        any(f.get("old") for _, e, f in testbed.log_entries if e == "list")
        and (await testbed.request_playback())[0] == 200
    )
    await testbed.service.close()
    testbed.standings[2] = None
    testbed.tell()
    await testbed.source.start(testbed.source.address)
    await Testbed.start_controller(testbed, address)
    await wait_until(lambda: set(testbed.in_force()) == {"s0", "s1"})


# A listing without a front.


class Plain:
    """A listing that follows one source, and what it would have handed to the decisions."""

    def __init__(self, **xds):
        self.told, self.entries, self.longest = [], {}, 0
        self.clock = Clock()
        self.listing = Listing(self.clock, self._hand, RecordingLog(self.told), ("main",))
        value = {
            "source": "",
            "form": "delta",
            "clusters": "",
            "endpoints": "",
            "refresh": SECOND // 50,
            "first": 2 * SECOND,
            "largest": 16 << 20,
            "ca": "",
            "certificate": "",
            "key": "",
            "loads": False,
            **xds,
        }
        who = {"name": "c0", "region": "", "zone": ""}
        self.follower = made_source("main", value, who, self.listing, self.clock, 1, RecordingLog(self.told))
        self.reader, self.task = self.follower.reader, None

    def _hand(self, entries, there, gone, forgotten, old):
        self.entries.update({e.id: e for e in entries})

    def lines(self):
        return self.listing.merged.lines

    async def __aenter__(self):
        self.task = asyncio.ensure_future(self.follower.follow())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.wait([self.task], timeout=5)
        await self.listing.close()


def plainly(coroutine, within=50):
    asyncio.run(asyncio.wait_for(coroutine(), within))


def endpoints(count, cluster=0, standing="ready"):
    return {
        f"s{n}": streamer(f"s{n}", n + 1, f"10.0.{n // 250}.{n % 250}:80", n // 100, standing=standing)
        for n in range(cluster * 100, cluster * 100 + count)
    }


@pytest.mark.parametrize("form", FORMS)
def test_a_source_that_says_nothing_is_asked_again_and_what_it_had_named_is_settled(form):
    async def test():
        source = Source()
        source.clusters = {"a": endpoints(3)}
        await source.start()
        try:
            async with Plain(source=source.address, form=form, first=SECOND // 3) as plain:
                look, asked = source.resources, []
                source.resources = lambda type_url: asked.append(1) or {}
                await wait_until(lambda: source.opened >= 2 and plain.told)
                assert any(
                    "nothing taken within" in f.get("why", "") or "not all" in f.get("why", "")
                    for _, _, f in plain.told
                )
                source.resources = look
                await wait_until(lambda: len(plain.lines()) == 3)
        finally:
            await source.stop()

    plainly(test)


def test_an_oversized_message_ends_the_stream_and_leaves_what_is_in_force():
    async def test():
        source = Source()
        source.clusters = {"a": endpoints(3)}
        await source.start()
        try:
            async with Plain(source=source.address, largest=20_000) as plain:
                await wait_until(lambda: len(plain.lines()) == 3)
                source.raw(CLUSTER, [("big", "1", codec.cluster_bytes("x" * 30_000))])
                await wait_until(
                    lambda: any("RESOURCE_EXHAUSTED" in f.get("why", "") for _, _, f in plain.told)
                )
                assert len(plain.lines()) == 3
                source.clusters["a"].pop("s1")
                source.changed("a")
                await wait_until(lambda: len(plain.lines()) == 2)
        finally:
            await source.stop()

    plainly(test)


def test_ten_thousand_endpoints_and_many_changes_never_hold_the_loop_for_long():
    async def test():
        source = Source()
        source.clusters = {f"c{c}": endpoints(100, c) for c in range(100)}
        await source.start()
        try:
            async with Plain(source=source.address) as plain:
                await wait_until(lambda: len(plain.lines()) == 10_000)
                versions = plain.listing.version
                for n in range(600):
                    name, lines = f"c{n % 100}", source.clusters[f"c{n % 100}"]
                    first = next(iter(lines))
                    lines[first] = streamer(
                        first, lines[first].id, lines[first].address, n % 100, weight=1.0 + n / 1000
                    )
                    source.changed(name)
                    if n % 20 == 19:
                        await asyncio.sleep(0.02)
                want = {x.address: x.weight for lines in source.clusters.values() for x in lines.values()}
                await wait_until(lambda: {a: x.weight for a, x in plain.lines().items()} == want)
                assert plain.listing.version - versions < 600, "gathered"
                await wait_until(lambda: len(plain.entries) == 10_000)
                assert not plain.reader.refused
        finally:
            await source.stop()

    plainly(test)


def test_nine_of_ten_missing_are_not_believed_until_the_operator_confirms():
    async def test():
        source = Source()
        source.clusters = {"a": endpoints(100)}
        await source.start()
        try:
            async with Plain(source=source.address) as plain:
                await wait_until(lambda: len(plain.lines()) == 100)
                source.clusters = {"a": endpoints(10)}
                source.changed()
                await wait_until(lambda: plain.listing.merged.alarms)
                plain.listing.every_second()
                assert len(plain.lines()) == 100 and any(e == "alarm of the list" for _, e, _ in plain.told)
                assert plain.listing.report()["sources"]["main"]["doubted"] == 90
                assert len(plain.listing.confirm("main")) == 90 and len(plain.lines()) == 10
        finally:
            await source.stop()

    plainly(test)


def test_files_as_of_a_path_source_are_taken_whole_or_not_at_all(tmp_path):
    files = {CLUSTER: tmp_path / "cds.json", ENDPOINT: tmp_path / "eds.json"}

    def write(clusters):
        for type_url, path in files.items():
            made = [
                (
                    n,
                    "",
                    codec.cluster_bytes(n)
                    if type_url == CLUSTER
                    else codec.assignment_bytes(n, lines.values(), float),
                )
                for n, lines in clusters.items()
            ]
            part = path.with_suffix(".part")
            part.write_bytes(codec.answer_json(type_url, "1", made))
            part.rename(path)

    async def test():
        write({"a": endpoints(3), "b": endpoints(2, 1)})
        async with Plain(form="path", clusters=str(files[CLUSTER]), endpoints=str(files[ENDPOINT])) as plain:
            await wait_until(lambda: len(plain.lines()) == 5)
            write({"a": endpoints(2)})
            await wait_until(lambda: len(plain.lines()) == 2)
            files[ENDPOINT].write_text('{"resources": [{')
            await wait_until(lambda: any("file not taken" in e for _, e, _ in plain.told))
            assert len(plain.lines()) == 2
            write({"a": endpoints(4)})
            await wait_until(lambda: len(plain.lines()) == 4)

    plainly(test)


def test_polled_over_rest_in_json():
    from terndrift.http.server import Server

    clusters, asked, broken = {"a": endpoints(3)}, [], []

    async def handle(exchange):
        value = json.loads(bytes(exchange.body))
        asked.append(value)
        kind = CLUSTER if exchange.path.endswith("clusters") else ENDPOINT
        made = [
            (
                n,
                "",
                codec.cluster_bytes(n)
                if kind == CLUSTER
                else codec.assignment_bytes(n, lines.values(), float),
            )
            for n, lines in clusters.items()
        ]
        version = codec.mark(b"".join(x[2] for x in made))
        if broken:
            return await exchange.reply(broken[0], text="no")
        if value.get("version_info") == version or value.get("versionInfo") == version:
            return await exchange.reply(304)
        return await exchange.reply(
            200, {"Content-Type": "application/json"}, codec.answer_json(kind, version, made)
        )

    async def test():
        server = Server(handle, 16, body_size=1 << 20)
        address = server.listen_on("127.0.0.1:0")
        try:
            async with Plain(form="rest", source=f"http://{address}") as plain:
                await wait_until(lambda: len(plain.lines()) == 3)
                clusters["a"] = endpoints(2)
                await wait_until(lambda: len(plain.lines()) == 2)
                assert asked[0]["node"]["id"] == "c0"
                broken.append(500)
                await wait_until(lambda: any("answered 500" in f.get("why", "") for _, _, f in plain.told))
                broken.clear()
                clusters["b"] = endpoints(2, 1)
                await wait_until(lambda: len(plain.lines()) == 4)
        finally:
            await server.drain(1.0)

    plainly(test)


def test_two_sources_that_disagree_over_streams():
    async def test():
        one, two = Source(), Source()
        one.clusters, two.clusters = {"a": endpoints(4)}, {"z": endpoints(2, standing="draining")}
        await one.start()
        await two.start()
        told, entries, clock = [], {}, Clock()
        listing = Listing(
            clock, lambda e, *_: entries.update({x.id: x for x in e}), RecordingLog(told), ("one", "two")
        )
        value = {
            "form": "delta",
            "clusters": "",
            "endpoints": "",
            "refresh": SECOND,
            "first": 2 * SECOND,
            "largest": 1 << 20,
            "ca": "",
            "certificate": "",
            "key": "",
            "loads": False,
        }
        who = {"name": "c0", "region": "", "zone": ""}
        tasks = [
            asyncio.ensure_future(
                made_source(
                    name, {**value, "source": s.address}, who, listing, clock, 1, RecordingLog(told)
                ).follow()
            )
            for name, s in (("one", one), ("two", two))
        ]

        def standings():
            return sorted(x.standing for x in listing.merged.lines.values())

        try:
            await wait_until(lambda: standings() == ["draining"] * 2 + ["ready"] * 2)
            await one.stop()
            await two.stop()
            await wait_until(lambda: not any(s.reached for s in listing.merged.sources.values()))
            assert standings() == ["draining"] * 2 + ["ready"] * 2, "the last word of both"
            two.clusters = {"z": endpoints(2)}
            one.clusters["a"].pop("s3")
            await one.start(one.address)
            await two.start(two.address)
            one.changed(), two.changed()
            await wait_until(lambda: standings() == ["ready"] * 3)
            report = listing.report()
            assert [r["sources"] for r in report["streamers"]] == [["one", "two"], ["one", "two"], ["one"]]
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=5)
            await listing.close()
            await one.stop()
            await two.stop()

    plainly(test)


def test_over_tls_both_prove_who_they_are_and_a_source_of_another_authority_is_not_followed(tmp_path):
    def written(name, data):
        path = tmp_path / name
        path.write_bytes(data)
        return str(path)

    ours, other = trustme.CA(), trustme.CA()
    server, client = ours.issue_cert("127.0.0.1"), ours.issue_cert("c0")
    chain = b"".join(c.bytes() for c in server.cert_chain_pems)
    tls = grpc.ssl_server_credentials([(server.private_key_pem.bytes(), chain)], ours.cert_pem.bytes(), True)
    xds = {
        "ca": written("ca.pem", ours.cert_pem.bytes()),
        "certificate": written("c.pem", b"".join(c.bytes() for c in client.cert_chain_pems)),
        "key": written("k.pem", client.private_key_pem.bytes()),
    }

    async def test():
        source = Source()
        source.clusters = {"a": endpoints(3)}
        await source.start(tls=tls)
        try:
            async with Plain(source=source.address, **xds) as plain:
                await wait_until(lambda: len(plain.lines()) == 3)
            for wrong in (
                {**xds, "ca": written("o.pem", other.cert_pem.bytes())},
                {**xds, "certificate": "", "key": ""},
            ):
                async with Plain(source=source.address, first=SECOND // 2, **wrong) as plain:
                    await wait_until(lambda plain=plain: any(f.get("why") for _, _, f in plain.told))
                    assert not plain.lines()
        finally:
            await source.stop()

    plainly(test)


def test_told_to_stop_while_it_waits_for_a_first_list_it_stops(tmp_path):
    (tmp_path / "front.rec").write_text(
        DEPLOYMENT_TEXT
        + ('controller: name: "c0"\nxds: main: {source: "127.0.0.1:1", first: 600s}\nlog: form: "json"\n')
    )
    serve = subprocess.Popen(
        [sys.executable, "-m", "terndrift", "serve", str(tmp_path / "front.rec")],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert any("list source" in line for line in iter(serve.stderr.readline, ""))
        serve.terminate()
        assert serve.wait(20) == 0
    finally:
        serve.kill()
        serve.wait()
        serve.stderr.close()
