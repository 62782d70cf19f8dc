"""Calls through a running controller, over datagrams: stand-in callers and media servers beside HTTP."""

import asyncio
import json
import sys
import time

from click.testing import CliRunner
from test_path import NO_BREAKS
from test_xds_client import wait_until
from testbed import Testbed, in_testbed

from terndrift.cli.main import cli
from terndrift.sip.message import Message, read
from terndrift.standin.fleet import write_list
from terndrift.standin.ledger import Ledger
from terndrift.standin.phone import Caller, Room
from terndrift.standin.sockets import Socket

MS = 1_000_000
SECOND = 1000 * MS
SIP = 'sip: {listen: "127.0.0.1:0", t1: 50ms, session: 2s, least_session: 1s}\n'


class Calls(Testbed):
    """A testbed with two media servers, and callers."""

    def __init__(self, rooms=2, extra_settings="", **made):
        super().__init__(extra_settings=SIP + extra_settings, **made)
        self.count, self.sockets, self.rooms = rooms, [], []

    async def __aenter__(self):
        self.notes_of = Ledger(self.path("rooms.jsonl"))
        for n in range(self.count):
            socket = Socket()
            self.sockets.append(socket)
            self.rooms.append(
                await socket.open(lambda address, n=n: Room(address, self.notes_of, 10 + n, t1=50 * MS))
            )
        return await super().__aenter__()

    def write_list(self, **standing):
        self.standings.update({int(k[1:]): v for k, v in standing.items()})
        rooms = {
            f"r{r.id}": {"id": r.id, "address": r.address, "rack": r.id % 2, "kind": "room"}
            for r in self.rooms
        }
        write_list(self.path("list.rec"), self.fleet.lines() | rooms, self.start_times, self.standings)

    async def caller(self, title="seat", seconds=1.0, bits=1_600_000, abandon=3.0, visit="v1"):
        socket = Socket()
        self.sockets.append(socket)
        caller = await socket.open(
            lambda address: Caller(
                address,
                self.notes_of,
                self.service.sip_address,
                title,
                visit,
                bits,
                int(abandon * SECOND),
                int(seconds * SECOND),
                50 * MS,
            )
        )
        caller.socket = socket
        return caller

    async def __aexit__(self, *_):
        await super().__aexit__(*_)
        for socket in self.sockets:
            socket.close()

    def call(self, caller, extra=()):
        caller.call(time.monotonic_ns(), extra)
        caller.socket.flush()


def calling(test=None, **made):
    return in_testbed(test, testbed_class=Calls, **made) if test else lambda test: calling(test, **made)


@calling
async def test_a_call_is_placed_at_a_room_and_hung_up(testbed):
    caller = await testbed.caller()
    testbed.call(caller)
    await wait_until(lambda: caller.state == "up")
    assert sum(len(r.up()) for r in testbed.rooms) == 1 and caller.code == 200
    assert any(r.rungs for r in testbed.rooms) and not testbed.streamer_events("try"), (
        "no streamer of another kind"
    )
    await wait_until(lambda: caller.state == "over")
    await wait_until(lambda: not any(r.legs for r in testbed.rooms) and not testbed.service.core.playbacks)
    assert testbed.service.sip.front.playing() == 0


@calling
async def test_seats_are_shared_by_calls_and_http_playbacks(testbed):
    callers = [await testbed.caller(visit=f"v{n}", seconds=20) for n in range(3)]
    testbed.call(callers[0])
    await wait_until(lambda: callers[0].state == "up")
    assert (await testbed.request_playback("seat"))[0] == 200
    assert (await testbed.request_playback("seat"))[0] == 503, "two seats in all"
    testbed.call(callers[1])
    await wait_until(lambda: callers[1].state == "over")
    assert (callers[1].code, callers[1].retry_after) == (503, 1)
    for caller in callers[:1]:
        caller.hang_up(time.monotonic_ns())
        caller.socket.flush()
    await wait_until(lambda: callers[0].state == "over" and not any(r.legs for r in testbed.rooms))
    testbed.call(callers[2])
    await wait_until(lambda: callers[2].state == "up")
    assert testbed.audit_report()["rules"] == NO_BREAKS


@calling
async def test_a_full_room_is_left_for_the_other_and_a_paid_call_that_may_have_run_is_never_resent(testbed):
    for room in testbed.rooms:
        room.faults["full"] = 1
    caller = await testbed.caller("clip", visit="a")
    testbed.call(caller)
    await wait_until(lambda: caller.state == "over")
    assert caller.code == 503 and caller.retry_after >= 1
    assert all(room.known for room in testbed.rooms), "both were asked"
    for room in testbed.rooms:
        room.faults.clear()
        room.faults["ringing"] = 1
        room.known.clear()
    caller = await testbed.caller("lesson", visit="b", abandon=1.0)
    testbed.call(caller)
    await wait_until(lambda: caller.state == "over")
    assert sum(len(room.known) for room in testbed.rooms) == 1 and caller.code in (487, 504)
    await wait_until(lambda: not testbed.service.core.playbacks)
    assert not any(room.legs for room in testbed.rooms)


@calling
async def test_a_room_that_drains_gets_no_new_calls_and_keeps_what_it_has(testbed):
    caller = await testbed.caller("clip", visit="a", seconds=20)
    testbed.call(caller)
    await wait_until(lambda: caller.state == "up")
    one = next(r for r in testbed.rooms if r.up())
    testbed.write_list(**{f"r{one.id}": "draining"})
    await testbed.list_in_force()
    for n in range(3):
        other = await testbed.caller("clip", visit=f"b{n}", seconds=0.2)
        testbed.call(other)
        await wait_until(lambda other=other: other.state == "over")
        assert other.code == 200
    assert len(one.known) == 1 and one.up() and caller.state == "up"


@calling
async def test_a_rung_is_changed_by_a_new_offer_and_a_refused_one_is_told_to_the_decisions(testbed):
    caller = await testbed.caller("clip", visit="a", seconds=20)
    testbed.call(caller)
    await wait_until(lambda: caller.state == "up")
    front, core = testbed.service.sip.front, testbed.service.core
    ((playback, leg),) = front.legs.items()
    one = next(r for r in testbed.rooms if r.up())

    def step(now, rung):
        pb = core.controller.playbacks[playback.id]
        core._call(now, None, lambda: core.controller._set_rung(now, pb, rung) or [pb])

    testbed.service.core_runner.run(step, 1)
    await wait_until(lambda: one.rungs[-1][2] == 400_000)
    await wait_until(lambda: caller.offers and caller.offers[-1] == 400_000)
    one.faults["refuse"] = 1
    testbed.service.core_runner.run(step, 3)
    await wait_until(lambda: playback.rung == 1 and core.controller.playbacks[playback.id].rung == 1)
    assert caller.state == "up" and one.up()[0].bits == 400_000


@calling(extra_settings='sip: {realm: "here", accounts: alice: password: "secret"}\n')
async def test_callers_prove_their_account_and_a_stale_nonce_is_asked_anew(testbed):
    from terndrift.sip import digest
    from terndrift.sip.message import params, split

    caller = await testbed.caller("clip", visit="a")
    testbed.call(caller)
    await wait_until(lambda: caller.code == 401)
    said = []
    caller.socket.drop = lambda data: said.append(read(data)) if data.startswith(b"SIP/2.0 401") else None

    async def proven(password, nonce=None):
        said.clear()
        caller.state, caller.code = "new", 0
        testbed.call(caller)
        await wait_until(lambda: said and caller.state == "over")
        challenge = params(split(said[-1].get("www-authenticate").partition(" ")[2], ",", ""))
        nonce = nonce or challenge["nonce"]
        uri = f"sip:clip@{testbed.service.sip_address}"
        answer = digest.answer("alice", password, "here", "INVITE", uri, nonce, 1, "c")
        caller.state, caller.code = "new", 0
        said.clear()
        testbed.call(
            caller,
            [
                (
                    "authorization",
                    (
                        f'Digest username="alice", realm="here", nonce="{nonce}", uri="{uri}", '
                        f'response="{answer}", '
                        f'algorithm=SHA-256, qop=auth, nc=00000001, cnonce="c"'
                    ),
                )
            ],
        )
        return nonce

    await proven("wrong")
    await wait_until(lambda: caller.code == 401)
    nonce = await proven("secret")
    await wait_until(lambda: caller.code == 200)
    await wait_until(lambda: caller.state == "over")
    caller = await testbed.caller("clip", visit="b")
    caller.socket.drop = lambda data: said.append(read(data)) if data.startswith(b"SIP/2.0 401") else None
    await proven("secret", nonce)
    await wait_until(lambda: said and "stale=true" in said[-1].get("www-authenticate"))


@calling
async def test_what_is_no_call_is_answered_over_both_transports_and_garbage_ends_nothing(testbed):
    host, port = testbed.service.sip_address.split(":")
    m = Message("OPTIONS", f"sip:x@{host}")
    m.headers = [
        ("via", "SIP/2.0/TCP c:5060;branch=z9hG4bK1"),
        ("from", "<sip:c@c>;tag=1"),
        ("to", "<sip:x@h>"),
        ("call-id", "1@c"),
        ("cseq", "1 OPTIONS"),
        ("max-forwards", "1"),
    ]
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"\r\n\r\n" + m.encode() + m.encode().replace(b"bK1", b"bK2"))
    for _ in range(2):
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"SIP/2.0 200")
    writer.write(b"nonsense\r\n\r\n")
    assert await reader.read() == b"", "nobody can tell where the next message begins"
    writer.close()
    caller = await testbed.caller("nothing", visit="z")
    caller.out.append((testbed.service.sip_address, b"\x00\xff" * 400))
    caller.out.append((testbed.service.sip_address, b"INVITE sip:a SIP/2.0\r\n\r\n"))
    testbed.call(caller)
    await wait_until(lambda: caller.code == 404)


@calling
async def test_a_flood_of_calls_from_one_source_is_turned_away_with_advice(testbed):
    testbed.service.sip.front.admission.capacity = 8
    for room in testbed.rooms:
        room.faults["ringing"] = 1
    callers = [await testbed.caller("clip", visit=f"f{n}", abandon=1.0) for n in range(16)]
    for caller in callers:
        testbed.call(caller)
    await wait_until(lambda: sum(c.code == 503 for c in callers) >= 8)
    assert all(c.retry_after >= 1 for c in callers if c.code == 503)
    await wait_until(lambda: all(c.state == "over" for c in callers) and not testbed.service.core.playbacks)
    assert all(c.answers == 1 for c in callers) and testbed.service.sip.front.admission.open_count == 0


@calling
async def test_closing_ends_what_stands_on_both_sides(testbed):
    caller = await testbed.caller("clip", visit="a", seconds=20)
    testbed.call(caller)
    await wait_until(lambda: caller.state == "up")
    await testbed.service.close()
    await wait_until(lambda: caller.byes == 1 and not any(r.legs for r in testbed.rooms))
    await testbed.start_controller()


@calling
async def test_a_room_that_died_is_left_at_once_and_what_may_have_run_is_not_resent(testbed):
    one, other = testbed.rooms
    for room, socket in zip(testbed.rooms, testbed.sockets, strict=False):
        if room is one:
            room.die()
            socket.close()
    for n in range(6):  # some of them are tried there first
        caller = await testbed.caller("clip", visit=f"a{n}", seconds=0.1)
        testbed.call(caller)
        await wait_until(lambda caller=caller: caller.state == "over")
        assert caller.code == 200 and other.known
    ends = [(f["streamer"], f["ending"]) for _, e, f in testbed.log_entries if e == "try over"]
    assert (one.id, "BROKEN") in ends
    core = testbed.service.core
    streamer = core.controller.streamers[one.id]
    assert streamer.backoff, "the decisions know"
    streamer.backoff, streamer.next_attempt_at = 0, 0  # as if it were trusted, and the other not
    core.controller.streamers[other.id].next_attempt_at = 2**62
    before = len(other.known)
    caller = await testbed.caller("lesson", visit="b", abandon=1.0)
    testbed.call(caller)
    await wait_until(lambda: caller.state == "over")
    assert caller.code == 504 and len(other.known) == before, "paid: not sent to the other"


@calling
async def test_a_room_that_dies_in_mid_call_is_found_out_by_the_next_refresh(testbed):
    caller = await testbed.caller("clip", visit="a", seconds=20)
    testbed.call(caller)
    await wait_until(lambda: caller.state == "up")
    one = next(n for n, r in enumerate(testbed.rooms) if r.up())
    testbed.rooms[one].die()
    testbed.sockets[one].close()
    await wait_until(lambda: caller.byes == 1 and not testbed.service.core.playbacks)
    assert testbed.service.sip.front.playing() == 0


@calling
async def test_the_command_calls_and_says_what_happened(testbed):
    async def called(uri):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "terndrift",
            "call",
            uri,
            "--seconds",
            "0.2",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, [json.loads(line) for line in out.splitlines()], err

    code, lines, _ = await called(f"sip:clip@{testbed.service.sip_address}")
    assert code == 0 and lines[-1] == {"what": "over", "code": 200, "retry_after": 0}
    code, lines, _ = await called(f"sip:nothing@{testbed.service.sip_address}")
    assert code == 1 and lines[-1]["code"] == 404
    code, lines, err = await called("sip:nobody")
    assert code == 2 and b"is not sip:TITLE@HOST:PORT" in err


def test_a_message_is_printed_as_json_or_where_it_is_wrong():
    good = (
        "OPTIONS sip:a@b SIP/2.0\nVia: SIP/2.0/UDP c;branch=z9hG4bK1\nFrom: <sip:c@c>;tag=1\n"
        "To: <sip:a@b>\nCall-ID: 1\nCSeq: 1 OPTIONS\n\n"
    )
    said = json.loads(CliRunner().invoke(cli, ["sip", "parse"], input=good).stdout)
    assert said["method"] == "OPTIONS" and said["from"]["params"] == {"tag": "1"}
    bad = CliRunner().invoke(cli, ["sip", "parse"], input=good.replace("1 OPTIONS", "x OPTIONS"))
    assert bad.exit_code == 1 and "CSeq: found 'x OPTIONS'" in bad.stderr and "answered 400" in bad.stderr
