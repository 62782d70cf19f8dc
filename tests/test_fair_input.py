"""Much input on one connection neither delays what others send nor outlives the connection."""

import asyncio
import contextlib
import subprocess
import sys

import pytest
from platform_testbed import in_testbed
from test_crossings import blocking_socket, set_up_message
from testbed import wait_until

from terndrift.input_turns import BURST_NS, SUSTAINED_SHARE, InputAllowance, InputTurns
from terndrift.platform import message as m
from terndrift.platform.message import encode_message

# A set-up is answered within its plan's start-up target (600 ms in the settings of the testbed).
START_UP_TARGET_S = 0.6
FLOODED_S = 2.0  # longer than an attempt may take


# Sends a message over and over on a connection, each time under a new ID, as fast as it is read, and discards
# what comes back.
FLOODING_CLIENT = """
import select, socket, sys
sock = socket.create_connection((sys.argv[1], int(sys.argv[2])))
sock.setblocking(False)
message, number, data = bytes.fromhex(sys.argv[3]), 1 << 40, b""
while True:
    while len(data) < 65536:
        number += 1
        data += message[:3] + number.to_bytes(8, "big") + message[11:]
    readable, writable, _ = select.select([sock], [sock], [])
    if readable and not sock.recv(1 << 20):
        break
    if writable:
        data = data[sock.send(data):]
"""


@contextlib.contextmanager
def flooding_clients(testbed, count, message):
    """Runs processes that send a message at full speed, each on one connection."""
    host, port = testbed.service.address
    command = [sys.executable, "-c", FLOODING_CLIENT, host, str(port), message.hex()]
    processes = [subprocess.Popen(command) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


@pytest.mark.parametrize(
    "message",
    [
        encode_message(m.TEST, b"flooding", (m.CAUSE, b"\0")),
        encode_message(m.RELEASE, b"flooding", (m.CAUSE, b"\0")),
        # Guards against: set-ups that waited for the end of such input were called off as if their streamers
        # had been silent, and nobody got room there.
        set_up_message(b"flooding"),
    ],
    ids=["tests", "releases", "set-ups"],
)
def test_set_up_is_answered_in_time_while_other_clients_send_at_full_speed(message):
    # Guards against: a connection whose input never ends was read without a turn for any other.
    async def test(testbed):
        with flooding_clients(testbed, 3, message):
            await wait_until(lambda: len(testbed.service.front.connections) == 3)
            await asyncio.sleep(FLOODED_S)
            viewer = await testbed.viewer()  # not before: the front closes what is idle for 2 s
            for _ in range(5):
                await asyncio.wait_for(testbed.set_up_playback(viewer), START_UP_TARGET_S)
                await asyncio.sleep(0.05)

    in_testbed(test)()


@in_testbed(behaviour="silent")
async def test_set_ups_amid_much_unread_input_are_not_sent_after_their_client_closed(testbed):
    # Guards against: attempts started after some turns of the event loop though the close was still unread.
    filler = encode_message(m.PROGRESS, b"fillfill") * 2000
    data = b"".join(filler + set_up_message(testbed.id()) for _ in range(60))
    with blocking_socket(testbed) as sock:
        await wait_until(lambda: testbed.service.front.connections)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while data:
                data = data[sock.send(data) :]
    await asyncio.sleep(0.1)  # no attempt may start more than 0.1 s after its client has left
    sent = sum(len(streamer.received_ids(m.SET_UP)) for streamer in testbed.streamers)
    await wait_until(lambda: not testbed.service.front.connections)
    await asyncio.sleep(0.2)
    assert sum(len(streamer.received_ids(m.SET_UP)) for streamer in testbed.streamers) == sent


def test_turns_are_given_one_per_iteration_in_the_order_of_the_requests():
    async def test():
        turns, given = InputTurns(), []

        async def take(name):
            for _ in range(2):
                await turns.next_turn()
                given.append(name)

        tasks = [asyncio.ensure_future(take(name)) for name in "abc"]
        iterations = 0
        while not all(task.done() for task in tasks):
            before = len(given)
            await asyncio.sleep(0)
            iterations += 1
            assert len(given) - before <= 1
        assert "".join(given) == "abcabc"

    asyncio.run(test())


def test_cancelled_request_for_a_turn_holds_up_no_other():
    async def test():
        turns = InputTurns()
        first, second = (asyncio.ensure_future(turns.next_turn()) for _ in range(2))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait_for(second, 1)

    asyncio.run(test())


def test_allowance_is_used_up_by_processing_time_and_comes_back():
    allowance = InputAllowance(0)
    allowance.charge(0, BURST_NS)
    assert not allowance.is_used_up(BURST_NS)
    allowance.charge(BURST_NS, 3 * BURST_NS)
    assert allowance.is_used_up(3 * BURST_NS)
    assert not allowance.is_used_up(3 * BURST_NS + int(2 * BURST_NS / SUSTAINED_SHARE))
