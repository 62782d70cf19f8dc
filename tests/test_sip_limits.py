"""What one SIP client sends neither delays the answers to others nor makes the process grow without end."""

import asyncio
import contextlib
import re
import socket
import subprocess
import sys
import time

from sipnet import TIMES, drawing
from test_sip_front import SIP, calling
from testbed import in_testbed, wait_until

from terndrift.fair_queue import MAX_ITEMS_PER_SOURCE, MAX_SOURCES, FairQueue
from terndrift.sip.message import Message, read, response
from terndrift.sip.stack import MAX_COMPLETED, Stack
from terndrift.standin.ledger import read as read_ledger
from terndrift.standin.phone import Peer

MS = 1_000_000
T1_S = 0.5  # after which a client sends a request again over UDP (RFC 3261)
FLOODED_S = 2.0
# Sends OPTIONS requests under ever new names at full speed over UDP.
FLOODING_CLIENT = """
import socket, sys
sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
address, request, number = (sys.argv[1], int(sys.argv[2])), sys.argv[3].encode(), 0
while True:
    number += 1
    sock.sendto(request.replace(b"NAME", b"%d" % number), address)
"""


def options_request(name, transport="UDP"):
    """An OPTIONS request; `name` makes its branch, tag and Call-ID."""
    message = Message("OPTIONS", "sip:x@127.0.0.1")
    message.headers = [
        ("via", f"SIP/2.0/{transport} 127.0.0.1:5999;branch=z9hG4bK{name};rport"),
        ("from", f"<sip:c@c>;tag={name}"),
        ("to", "<sip:x@h>"),
        ("call-id", f"{name}@c"),
        ("cseq", "1 OPTIONS"),
        ("max-forwards", "70"),
    ]
    return message


def invite_request(name):
    """An INVITE, as far as a stack without a bridge looks at it."""
    data = options_request(name).encode().replace(b"OPTIONS", b"INVITE")
    return read(data)


class AnsweringStack(Stack):
    """A stack whose requests other than INVITE are answered with 200 at once."""

    def __init__(self, **limits):
        super().__init__(TIMES, ("127.0.0.1", 5060), drawing(), **limits)

    def answered(self, now, message, source):
        """Returns (whether the request was new, the codes of the answers) of a request from `source`."""
        events = self.received(now, message, Peer(source))
        for _, transaction, request in events:
            if request.method != "INVITE":
                self.say(now, transaction, response(request, 200, tag="1"))
        codes = [read(data).code for _, data in self.out]
        self.out.clear()
        return bool(events), codes


def test_flood_under_ever_new_names_is_kept_in_a_bounded_number_of_transactions():
    # Guards against: each request was kept for 64 T1, so that all others were answered 503 after 20,000.
    stack = AnsweringStack(most=40, max_completed=10)
    for number in range(200):
        assert stack.answered(number, options_request(f"a{number}"), "a:1") == (True, [200])
    assert len(stack.servers) == len(stack.completed) == 10 and not stack.timers
    assert stack.answered(200, options_request("b"), "b:1") == (True, [200])
    assert stack.answered(201, options_request("b"), "b:1") == (False, [200]), "a repeated one is not new"
    assert stack.next_at() is not None
    stack.tick(stack.next_at() + 64 * TIMES.t1)
    assert not stack.servers and not stack.completed and stack.next_at() is None


def test_source_with_many_open_invites_leaves_room_for_others():
    # Guards against: one source took all server transactions, and everybody else was answered 503.
    stack = AnsweringStack(most=40)
    refused = [stack.answered(0, invite_request(f"a{number}"), "a:1")[1] == [503] for number in range(100)]
    assert refused.count(False) == 20
    new, codes = stack.answered(0, invite_request("b"), "b:1")
    assert new and codes != [503]


def test_queue_serves_sources_in_turn_and_drops_what_is_too_much():
    queue = FairQueue()

    def put_if_there_is_room(source, item):
        if queue.has_room(source):
            queue.put(source, item)

    for number in range(MAX_ITEMS_PER_SOURCE + 5):
        put_if_there_is_room("a", number)
    put_if_there_is_room("b", 0)
    assert queue.dropped_count == 5
    assert [queue.take() for _ in range(3)] == [("a", 0), ("b", 0), ("a", 1)]
    for number in range(MAX_SOURCES + 5):
        put_if_there_is_room(number, 0)
    assert len(queue.by_source) == MAX_SOURCES
    while queue:
        queue.take()


async def answer_to(request, address):
    """Sends a request over UDP as a client does (RFC 3261, 17.1.2), again after 0.5, 1.5 and 3.5 s; returns
    the answer, or None within 4 s."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.connect(address)
        for wait in (T1_S, 2 * T1_S, 4 * T1_S, T1_S):
            sock.send(request)
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(loop.sock_recv(sock, 4096), wait)
    return None


@in_testbed(extra_settings=SIP)
async def test_others_are_answered_while_one_client_sends_datagrams_at_full_speed(testbed):
    # Guards against: datagrams of others were lost in the socket's buffer, which one sender had filled.
    host, port = testbed.service.sip_address.split(":")
    flood = options_request("NAME").encode().decode()
    process = subprocess.Popen([sys.executable, "-c", FLOODING_CLIENT, host, port, flood])
    try:
        await asyncio.sleep(FLOODED_S)
        requests = [options_request(f"other{number}").encode() for number in range(10)]
        for request in requests:
            assert (await answer_to(request, (host, int(port)))).startswith(b"SIP/2.0 200 ")
    finally:
        process.kill()
        process.wait()
    assert len(testbed.service.sip.wire.bridge.stack.servers) <= MAX_COMPLETED


@in_testbed(extra_settings=SIP)
async def test_client_that_does_not_read_its_answers_is_disconnected(testbed):
    # Guards against: answers that a client does not read were kept in memory without a limit.
    host, port = testbed.service.sip_address.split(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.setblocking(False)
        loop, sent = asyncio.get_running_loop(), 0
        requests = b"".join(options_request(f"c{n}", "TCP").encode() for n in range(100))
        try:
            while sent < 64 * 1024 * 1024:
                await asyncio.wait_for(loop.sock_sendall(sock, requests), 10)
                sent += len(requests)
        except ConnectionError:
            sent = None
    assert sent is None


def over_tcp(invite, number):
    """A copy of a caller's INVITE over UDP as a call of its own over TCP."""
    data = invite.replace(b"SIP/2.0/UDP", b"SIP/2.0/TCP")
    for pattern in (rb"branch=[^;\r]+", rb"(?<=\r\n)From:[^\r]*tag=[^;\r]+", rb"(?<=\r\n)Call-ID: [^\r]+"):
        data = re.sub(pattern, lambda found: found[0] + b"x%d" % number, data, count=1, flags=re.I)
    return data


def set_up_count(testbed):
    """How many set-ups the media servers have received."""
    testbed.notes_of.flush()
    return sum(note["what"] == "try" for note in read_ledger(testbed.path("rooms.jsonl")))


@calling
async def test_calls_in_unread_input_are_not_set_up_after_their_caller_closed(testbed):
    # Guards against: the close was read only behind hundreds of INVITEs, which were set up meanwhile.
    for room in testbed.rooms:
        room.faults["ringing"] = 1
    caller = await testbed.caller("clip")
    caller.call(time.monotonic_ns())
    ((_, invite),) = caller.out
    caller.out.clear()
    host, port = testbed.service.sip_address.split(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(b"".join(over_tcp(invite, number) for number in range(100)))
    sock.close()
    await asyncio.sleep(0.1)
    started = set_up_count(testbed)
    await wait_until(lambda: not testbed.service.sip.wire.streams)
    await asyncio.sleep(0.3)
    assert set_up_count(testbed) == started
    assert not testbed.service.core.playbacks
