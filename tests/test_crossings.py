"""Races between two events at a controller of the platform, forced over loopback sockets in a fixed order.

No test relies on sleeping to get events into order: a stand-in withholds, splits or closes at the step in
question, or several things are done within one iteration of the event loop.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from platform_testbed import SETTINGS, in_testbed
from testbed import RecordingLog, wait_until

from terndrift.core.active_playback import PlaybackStage
from terndrift.platform import message as m
from terndrift.platform import service as service_module
from terndrift.platform import settings
from terndrift.platform import transport as carrier_module
from terndrift.platform.attempt import ATTEMPT_TRANSITIONS, Attempt, AttemptState
from terndrift.platform.connection import CONNECTION_TRANSITIONS, Connection, ConnectionState
from terndrift.platform.descriptors import RESERVED_DESCRIPTORS, divide_descriptors
from terndrift.platform.listener import Listener
from terndrift.platform.message import decode_messages, encode_message, encode_release
from terndrift.platform.service import TRANSITIONS as STAGE_TRANSITIONS
from terndrift.platform.service import Service

ALL_HOLDERS = "home:0;copies:4;top:2"


def set_up_message(id, plan="free", figures=ALL_HOLDERS, title="00112233aabbccdd"):
    """The bytes of a set-up; with the default figures every streamer has the title."""
    return encode_message(
        m.SET_UP,
        id,
        (m.PLAN, plan),
        (m.WAIT, "3000"),
        (m.TITLE, title),
        (m.FIGURES, figures),
        (m.DESCRIPTION, b"what I can play"),
    )


def blocking_socket(testbed):
    """A blocking socket to the controller; bytes are in the kernel once `sendall` returns."""
    return socket.create_connection(testbed.service.address)


async def read_all(sock):
    """All messages received until the other side closes the connection."""
    sock.setblocking(False)
    loop, buffer = asyncio.get_running_loop(), bytearray()
    while data := await loop.sock_recv(sock, 65536):
        buffer += data
    sock.close()
    return decode_messages(buffer)


async def received_so_far(viewer, testbed):
    """Messages that reach a viewer before the reply to a TEST message that is sent now."""
    id, received = testbed.id(), []
    viewer.send(encode_message(m.TEST, id, (m.CAUSE, b"\0")))
    while (message := await viewer.receive()).type != m.TESTED:
        received.append(message)
    return received


async def sent_ids(testbed, type=m.SET_UP):
    """Ids of the messages sent to streamers so far, returned once streamers have read all of them."""
    markers = []
    for connection in testbed.transport.all_connections():
        marker = testbed.id()
        if connection.send(encode_message(m.PROGRESS, marker)):
            markers.append(marker)
    await wait_until(
        lambda: set(markers) <= {id for s in testbed.streamers for id in s.received_ids(m.PROGRESS)}
    )
    return received_ids(testbed, type)


def received_ids(testbed, type=m.SET_UP):
    """Ids of the messages that streamers have read so far."""
    return [id for s in testbed.streamers for id in s.received_ids(type)]


@contextlib.contextmanager
def patched(owner, **values):
    """Sets attributes of `owner` within the context and restores them afterwards."""
    originals = {name: getattr(owner, name) for name in values}
    for name, value in values.items():
        setattr(owner, name, value)
    try:
        yield
    finally:
        for name, value in originals.items():
            setattr(owner, name, value)


class DelayedConnects:
    """Replaces the transport's `connect`: connections are established only once `allow` is called.

    As with asyncio.wait_for of Python 3.11, a connect that completes in the iteration of the event loop in
    which it is cancelled swallows the cancellation.
    """

    def __init__(self, delayed=10**9):
        self.delayed = delayed  # how many connects are delayed; later ones are not
        self.started, self.allowed, self.real_connect, self.streams = (
            0,
            asyncio.Event(),
            carrier_module.connect,
            [],
        )

    def allow(self):
        """Lets the delayed connects complete."""
        self.allowed.set()

    async def __call__(self, stream, address, within):
        self.started += 1
        self.streams.append(stream)
        try:
            if self.started <= self.delayed:
                await self.allowed.wait()
        except asyncio.CancelledError:
            if not self.allowed.is_set():
                stream.close()
                raise
        await self.real_connect(stream, address, within)


# States.


@pytest.mark.parametrize(
    "transitions, make_instance, change_state",
    [
        (ATTEMPT_TRANSITIONS, lambda state: instance_in_state(Attempt, state), Attempt.transition_to),
        (
            CONNECTION_TRANSITIONS,
            lambda state: instance_in_state(Connection, state),
            Connection._transition_to,
        ),
    ],
)
def test_only_listed_state_transitions_are_allowed(transitions, make_instance, change_state):
    for state, allowed in transitions.items():
        for target in transitions:
            instance = make_instance(state)
            if target in allowed:
                change_state(instance, target)
                assert instance.state is target
            else:
                with pytest.raises(AssertionError):
                    change_state(instance, target)


def instance_in_state(cls, state):
    """An otherwise uninitialised Attempt or Connection in a given state."""
    instance = cls.__new__(cls)
    instance.state, instance.id = state, b"12345678"
    return instance


def test_only_listed_process_stage_transitions_are_allowed():
    for stage, allowed in STAGE_TRANSITIONS.items():
        for target in STAGE_TRANSITIONS:
            service = Service.__new__(Service)
            service.stage = stage
            if target in allowed:
                service._change_stage(target)
                assert service.stage is target
            else:
                with pytest.raises(AssertionError):
                    service._change_stage(target)


# Shutdown.


@in_testbed(behaviour="silent", streamers=1)
async def test_streamer_answer_after_the_final_answer_is_not_forwarded(testbed):
    viewer, streamer = await testbed.viewer(), testbed.streamers[0]
    id = viewer.send_set_up()
    await wait_until(lambda: streamer.received_ids(m.SET_UP) == [id])
    testbed.service.front.send_final_answers()
    streamer.send(encode_message(m.ANSWER, id, (m.DESCRIPTION, b"too late")))
    reader = next(iter(next(iter(testbed.transport.peers.values())).connections)).reader
    await wait_until(lambda: reader.message_count)
    received = await received_so_far(viewer, testbed)
    assert [(message.type, message.id, message.cause) for message in received] == [
        (m.RELEASE, id, m.REJECTED)
    ]
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])


@in_testbed(behaviour="silent", streamers=2)
async def test_refusal_after_the_final_answer_starts_no_further_attempt(testbed):
    viewer = await testbed.viewer()
    id = viewer.send_set_up()
    await wait_until(lambda: received_ids(testbed) == [id])
    streamer = next(s for s in testbed.streamers if s.received)
    testbed.service.front.send_final_answers()
    streamer.send(encode_release(id, 34))
    connections = testbed.transport.all_connections()
    await wait_until(lambda: any(connection.reader.message_count for connection in connections))
    await received_so_far(viewer, testbed)
    assert await sent_ids(testbed) == [id]


@in_testbed
async def test_set_up_in_the_accept_queue_at_close_is_answered(testbed):
    id, late_sockets, real_close = testbed.id(), [], testbed.service.front.listener.close

    def connect_late_viewer_then_close():
        if not late_sockets:
            late_sockets.append(blocking_socket(testbed))
            late_sockets[0].sendall(set_up_message(id))
        real_close()

    testbed.service.front.listener.close = connect_late_viewer_then_close
    with patched(service_module, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        await testbed.service.drain()
    received = await read_all(late_sockets[0])
    assert [(message.id, message.cause) for message in received] == [(id, m.REJECTED)]
    assert not await sent_ids(testbed)


@in_testbed
async def test_set_up_between_final_answers_and_close_is_rejected(testbed):
    viewer, id, front = await testbed.viewer(), testbed.id(), testbed.service.front
    real_last_answers = front.send_final_answers

    def final_answers_then_set_ups():
        real_last_answers()
        # the second is incomplete and needs no answer
        viewer.send(set_up_message(id) + set_up_message(testbed.id())[:-3])

    front.send_final_answers = final_answers_then_set_ups
    with patched(service_module, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        await testbed.service.drain()
    message = await viewer.receive()
    assert (message.id, message.cause) == (id, m.REJECTED)
    assert await viewer.receive() is None
    assert not await sent_ids(testbed)


@in_testbed
async def test_shutdown_waits_until_the_final_messages_are_sent(testbed):
    viewer = await testbed.viewer()
    id, _ = await testbed.set_up_playback(viewer)
    connection = next(iter(testbed.service.front.connections))
    # fill the kernel's buffers: what is sent after that stays in the process
    connection.stream.max_write_buffer_size = None
    filler = encode_message(m.PROGRESS, testbed.id()) * 4096
    while not connection.has_unsent_output():
        connection.send(filler)
    for _ in range(8):
        connection.send(filler)
    with patched(service_module, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2, FLUSH_TIMEOUT_S=60):
        drain_task = asyncio.ensure_future(testbed.service.drain())
        await wait_until(lambda: testbed.service.stage is service_module.Stage.CLOSING)
        assert connection.has_unsent_output()
        while (message := await viewer.receive()).type == m.PROGRESS:
            pass
        assert (message.type, message.id) == (m.RELEASE, id)
        await drain_task
    assert await viewer.receive() is None


@in_testbed(behaviour="silent")
async def test_shutdown_releases_pending_handover_on_both_sides(testbed):
    viewer, streamer = await testbed.viewer(), testbed.streamers[0]
    id = viewer.send_set_up(figures=f"{ALL_HOLDERS};at:{streamer.name}")
    await wait_until(lambda: streamer.connections)
    testbed.service.front.send_final_answers()
    assert [message.id for message in await received_so_far(viewer, testbed)] == [id]
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])


@in_testbed
async def test_sigterm_during_the_initial_feed_call_stops_without_listening(testbed):
    testbed.feed.behaviour = "hangs"
    second_service = Service(
        settings.read(testbed.configuration_path), RecordingLog(testbed.log_lines), testbed.configuration_path
    )
    begin_task = asyncio.ensure_future(second_service.begin())
    await wait_until(lambda: second_service.feed.call is not None)
    second_service.terminate()
    second_service.terminate()
    await begin_task
    assert second_service.stage is service_module.Stage.STOPPED and second_service.address is None
    assert second_service.stopped.is_set()


@in_testbed
async def test_repeated_sigterm_with_reloads_between_shuts_down_once(testbed):
    service, final_answer_calls = testbed.service, []
    real_last_answers = service.front.send_final_answers
    service.front.send_final_answers = lambda: (final_answer_calls.append(1), real_last_answers())
    with patched(service_module, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        service.reread()
        service.terminate()
        service.reread()
        service.terminate()
        await wait_until(lambda: final_answer_calls)
        service.terminate()
        await service.stopped.wait()
        service.terminate()
    assert final_answer_calls == [1]


def start_process(tmp_path, feed):
    """Starts a controller that reads its configuration from a FIFO, and so blocks until that is written."""
    path = str(tmp_path / "config.json")
    os.mkfifo(path)
    configuration_text = json.dumps(
        {
            "name": "n3",
            "listen": "127.0.0.1:0",
            "feed": feed,
            "known": {"n": 0, "events": []},
            "limits": {"sockets": 64},
            "settings": SETTINGS,
        }
    )
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "terndrift.platform"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": path},
    )
    return process, path, configuration_text


def test_sigterm_while_the_process_loads_exits_cleanly_without_listening(tmp_path):
    process, path, configuration_text = start_process(tmp_path, "127.0.0.1:9")
    try:
        with open(path, "w", encoding="utf-8") as file:  # blocks until the process opens the FIFO
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            file.write(configuration_text)
        log_text = process.stderr.read()
        assert process.wait(30) == 0 and '"listening"' not in log_text
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_sighup_while_the_process_loads_is_handled(tmp_path):
    process, path, configuration_text = start_process(tmp_path, "127.0.0.1:9")
    try:
        with open(path, "w", encoding="utf-8") as file:
            new_file = tmp_path / "moved"
            new_file.write_text(configuration_text.replace("127.0.0.1:9", "127.0.0.1:7"))
            os.replace(new_file, path)
            process.send_signal(signal.SIGHUP)
            file.write(configuration_text)
        lines = iter(process.stderr.readline, "")
        assert any('"configuration"' in line and "127.0.0.1:7" in line for line in lines)
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


# Viewers that leave.


@pytest.mark.parametrize("departure", ["close", "reset", "half-close", "cancel", "cancel elsewhere"])
def test_no_attempt_starts_for_a_viewer_that_left_while_the_loop_was_busy(departure):
    @in_testbed(streamers=1)
    async def test(testbed):
        first_viewer = await testbed.viewer()
        # leaves a connection to the streamer open, so that no connect delays the attempt
        await testbed.set_up_playback(first_viewer)
        ids_before, id = await sent_ids(testbed), testbed.id()
        viewer, other_connection = blocking_socket(testbed), blocking_socket(testbed)
        await wait_until(lambda: len(testbed.service.front.connections) == 3)
        viewer.sendall(set_up_message(id))
        if departure == "half-close":
            viewer.shutdown(socket.SHUT_WR)
        elif departure == "cancel":
            # not in one read with the set-up: as if the loop had read the set-up and then been held up
            viewer.sendall(encode_release(id, 16))
        elif departure == "cancel elsewhere":
            other_connection.sendall(encode_release(id, 16))
        else:
            if departure == "reset":
                viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            viewer.close()
        await received_so_far(first_viewer, testbed)
        await wait_until(lambda: not testbed.core.unanswered_count)
        assert await sent_ids(testbed) == ids_before
        other_connection.close()
        if departure in ("half-close", "cancel", "cancel elsewhere"):
            viewer.close()

    test()


@in_testbed(streamers=1)
async def test_cancel_received_after_the_set_up_is_read_before_the_attempt_starts(testbed):
    first_viewer = await testbed.viewer()
    await testbed.set_up_playback(first_viewer)
    ids_before, viewer, id, front = (
        await sent_ids(testbed),
        blocking_socket(testbed),
        testbed.id(),
        testbed.service.front,
    )
    await wait_until(lambda: len(front.connections) == 2)
    real_want, core, cancelled = testbed.core.request_playback, testbed.core, []

    def want_while_cancelled(*args):
        viewer.sendall(encode_release(id, 16))  # while the loop handles the set-up
        cancelled.append(id)
        return real_want(*args)

    core.request_playback = want_while_cancelled
    viewer.sendall(set_up_message(id))
    await wait_until(lambda: cancelled)
    await wait_until(lambda: not core.unanswered_count)
    await received_so_far(first_viewer, testbed)
    assert await sent_ids(testbed) == ids_before
    viewer.close()


@pytest.mark.parametrize("on_another_connection", [False, True])
def test_cancel_between_placement_and_attempt_start_is_read_first(on_another_connection):
    @in_testbed(streamers=1)
    async def test(testbed):
        first_viewer = await testbed.viewer()
        await testbed.set_up_playback(first_viewer)
        ids_before, viewer, other_connection, id = (
            await sent_ids(testbed),
            blocking_socket(testbed),
            blocking_socket(testbed),
            testbed.id(),
        )
        await wait_until(lambda: len(testbed.service.front.connections) == 3)
        real_want, loop, cancelled = testbed.core.request_playback, asyncio.get_running_loop(), []

        def cancel():
            (other_connection if on_another_connection else viewer).sendall(encode_release(id, 16))
            cancelled.append(id)

        def want_then_cancel(*args):
            loop.call_soon(cancel)  # runs just before the attempt would start, in the same iteration
            return real_want(*args)

        testbed.core.request_playback = want_then_cancel
        # a negative limit makes the transport treat the iteration as a long one
        with patched(
            carrier_module,
            MAX_START_DELAY_NS=-1 if on_another_connection else carrier_module.MAX_START_DELAY_NS,
        ):
            viewer.sendall(set_up_message(id))
            await wait_until(lambda: cancelled)
            await wait_until(lambda: not testbed.core.unanswered_count)
        await received_so_far(first_viewer, testbed)
        assert await sent_ids(testbed) == ids_before
        viewer.close()
        other_connection.close()

    test()


@in_testbed(behaviour="silent")
async def test_cancel_on_another_connection_ends_the_sent_attempt(testbed):
    viewer, other_viewer = await testbed.viewer(), await testbed.viewer()
    id = viewer.send_set_up()
    await wait_until(lambda: received_ids(testbed) == [id])
    other_viewer.send(encode_release(id, 16))
    await wait_until(lambda: received_ids(testbed, m.RELEASE) == [id])
    assert not testbed.service.front.sessions and not await received_so_far(viewer, testbed)


@in_testbed(streamers=2)
async def test_simultaneous_refusal_and_viewer_close_start_no_further_attempt(testbed):
    for streamer in testbed.streamers:
        streamer.behaviour = "silent"
    viewer, id = blocking_socket(testbed), testbed.id()
    viewer.sendall(set_up_message(id))
    await wait_until(lambda: received_ids(testbed) == [id])
    streamer = next(s for s in testbed.streamers if s.received)
    streamer.send(encode_release(id, 34))
    viewer.close()
    await wait_until(lambda: not testbed.core.playbacks)
    await received_so_far(await testbed.viewer(), testbed)
    assert await sent_ids(testbed) == [id]


@in_testbed
async def test_simultaneous_releases_by_viewer_and_streamer_end_the_playback_once(testbed):
    viewer = await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    streamer.send(encode_release(id, 16))
    viewer.send(encode_release(id, 16))
    await wait_until(lambda: not testbed.core.playbacks)
    received = await received_so_far(viewer, testbed)
    assert sorted(message.type for message in received) in ([m.RELEASE, m.RELEASE_HEARD], [m.RELEASE_HEARD])
    assert not testbed.service.front.sessions and not any(testbed.service.front.playback_counts.values())


# Connections established late.


@pytest.mark.parametrize("departure", ["cancel", "close"])
def test_connection_established_as_its_attempt_is_cancelled_carries_no_set_up(departure):
    @in_testbed(streamers=1)
    async def test(testbed):
        connects = DelayedConnects()
        with patched(carrier_module, connect=connects):
            viewer, id, real_call_off = await testbed.viewer(), testbed.id(), testbed.transport.cancel_attempt

            def allow_connect_then_call_off(playback):
                connects.allow()
                real_call_off(playback)

            testbed.transport.cancel_attempt = allow_connect_then_call_off
            viewer.send(set_up_message(id))
            await wait_until(lambda: connects.started)
            if departure == "cancel":
                viewer.send(encode_release(id, 16))
            else:
                viewer.writer.close()
            await wait_until(lambda: not testbed.core.playbacks)
            await wait_until(lambda: not any(p.pending_connects for p in testbed.transport.peers.values()))
            await received_so_far(await testbed.viewer(), testbed)
        assert not await sent_ids(testbed) and not testbed.transport.attempts
        peer = next(iter(testbed.transport.peers.values()))
        assert all(connection.is_open() and not attempts for connection, attempts in peer.connections.items())

    test()


@in_testbed(streamers=2, behaviour="silent")
async def test_connection_established_as_the_next_attempt_starts_carries_no_set_up(testbed):
    """Otherwise two attempts for one playback would run at once."""
    connects, real_call_off = DelayedConnects(delayed=1), testbed.transport.cancel_attempt

    def allow_connect_then_call_off(playback):
        connects.allow()
        real_call_off(playback)

    testbed.transport.cancel_attempt = allow_connect_then_call_off
    with patched(carrier_module, connect=connects):
        viewer = await testbed.viewer()
        id = viewer.send_set_up()
        await wait_until(lambda: received_ids(testbed))
        await wait_until(lambda: not any(peer.pending_connects for peer in testbed.transport.peers.values()))
        await received_so_far(viewer, testbed)
        assert await sent_ids(testbed) == [id] and len(testbed.transport.attempts) == 1
    assert len(testbed.transport.all_connections()) == 2, "the first connection is established"


@in_testbed(streamers=1)
async def test_connection_established_after_the_attempt_timeout_carries_no_set_up(testbed):
    connects = DelayedConnects()
    with patched(carrier_module, connect=connects):
        viewer = await testbed.viewer()
        viewer.send_set_up(wait="300")
        await wait_until(lambda: connects.started)
        assert (await viewer.receive()).type == m.RELEASE
        connects.allow()
        await wait_until(lambda: not any(peer.pending_connects for peer in testbed.transport.peers.values()))
        await received_so_far(viewer, testbed)
    assert not await sent_ids(testbed) and not testbed.transport.attempts


@in_testbed(streamers=2)
async def test_connection_to_an_address_reassigned_to_another_streamer_is_not_used(testbed):
    """The list gives a streamer a new address while a connection to its old one is being made."""
    moved_streamer, successor = testbed.streamers
    connects = DelayedConnects()
    with patched(carrier_module, connect=connects):
        viewer = await testbed.viewer()
        viewer.send_set_up(figures=f"home:{moved_streamer.cell};copies:1;top:2")
        await wait_until(lambda: connects.started)
        testbed.feed.publish({**moved_streamer.list_row(), "dial": f"127.0.0.1:{successor.port}"})
        await wait_until(lambda: testbed.service.feed.held == 2)
        connects.allow()
        answer = await viewer.receive()
        assert (answer.type, answer.cause) == (m.RELEASE, m.REJECTED), (
            "the set-up was never sent, and this was the only holder"
        )
        await wait_until(lambda: connects.streams[0].closed())
        assert not await sent_ids(testbed)
        id = viewer.send_set_up(figures=f"home:{moved_streamer.cell};copies:1;top:2")
        answer = await viewer.receive()
    assert (answer.type, successor.received_ids(m.SET_UP), moved_streamer.received_ids(m.SET_UP)) == (
        m.ANSWER,
        [id],
        [],
    )


@pytest.mark.parametrize("health", ["removed", "draining"])
def test_streamer_removed_or_draining_during_connect_gets_no_set_up(health):
    @in_testbed(streamers=1)
    async def test(testbed):
        connects = DelayedConnects()
        testbed.core.drain_grace = -1  # the grace period is over at once
        with patched(carrier_module, connect=connects):
            viewer = await testbed.viewer()
            viewer.send_set_up(plan="paid")
            await wait_until(lambda: connects.started)
            testbed.feed.publish(testbed.streamers[0].list_row(health))
            await wait_until(lambda: testbed.service.feed.held == 2)
            connects.allow()
            answer = await viewer.receive()
        assert (answer.type, answer.cause) == (m.RELEASE, m.REJECTED), "the set-up was never sent"
        assert not await sent_ids(testbed)

    test()


@in_testbed(streamers=1)
async def test_shutdown_completes_with_a_connect_in_progress(testbed):
    connects = DelayedConnects()
    with (
        patched(carrier_module, connect=connects),
        patched(service_module, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2),
    ):
        viewer = await testbed.viewer()
        id = viewer.send_set_up()
        await wait_until(lambda: connects.started)
        await testbed.service.drain()
        connects.allow()
        assert (await viewer.receive()).id == id and await viewer.receive() is None
        await wait_until(lambda: all(stream.closed() for stream in connects.streams))
    assert not await sent_ids(testbed)


# Retries.


@in_testbed(behaviour="silent", streamers=1)
async def test_reused_id_is_refused_until_the_streamer_confirms_the_cancel(testbed):
    """Otherwise the streamer's messages about the two set-ups could not be told apart."""
    viewer, streamer = await testbed.viewer(), testbed.streamers[0]
    with patched(carrier_module, CANCEL_CONFIRMATION_TIMEOUT_S=3600):
        id = viewer.send_set_up()
        await wait_until(lambda: streamer.received_ids(m.SET_UP) == [id])
        viewer.send(encode_release(id, 16))
        assert (await viewer.receive()).type == m.RELEASE_HEARD
        viewer.send_set_up(id=id)
        assert (await viewer.receive()).cause == m.UNUSABLE
        streamer.send(encode_message(m.RELEASE_HEARD, id))
        await wait_until(lambda: not testbed.transport.has_cancelled_attempt(id))
        viewer.send_set_up(id=id)
        await wait_until(lambda: streamer.received_ids(m.SET_UP) == [id, id])


@in_testbed(behaviour="silent", streamers=1)
async def test_answer_after_the_attempt_was_cancelled_is_released_and_ignored(testbed):
    viewer, streamer = await testbed.viewer(), testbed.streamers[0]
    id = viewer.send_set_up()
    await wait_until(lambda: streamer.received_ids(m.SET_UP) == [id])
    viewer.send(encode_release(id, 16))
    await wait_until(lambda: not testbed.service.front.sessions)
    streamer.send(
        encode_message(m.ANSWER, id, (m.DESCRIPTION, b"late")) * 2
        + encode_release(id, 16)
        + encode_release(id, 16)
    )
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])
    await wait_until(lambda: not testbed.core.playbacks)
    assert [message.type for message in await received_so_far(viewer, testbed)] == [m.RELEASE_HEARD]


@in_testbed(behaviour="silent", streamers=2)
async def test_locally_closed_connection_ends_its_attempt_once(testbed):
    viewer = await testbed.viewer()
    id = viewer.send_set_up(plan="paid")
    await wait_until(lambda: received_ids(testbed) == [id])
    connection = next(c for c in testbed.transport.all_connections())
    connection.close("unreadable: closed by the test")
    next(iter(testbed.streamers)).behaviour = "plays"
    answer = await viewer.receive()
    assert (answer.id, answer.cause) == (id, m.FAILED)
    assert await sent_ids(testbed) == [id] and not await received_so_far(viewer, testbed)


# Idle connections.


@in_testbed(streamers=1)
async def test_connection_near_the_streamers_idle_timeout_carries_no_set_up(testbed):
    viewer, streamer = await testbed.viewer(), testbed.streamers[0]
    id, _ = await testbed.set_up_playback(viewer)
    viewer.send(encode_release(id, 16))
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])
    assert len(streamer.connections) == 1
    testbed.transport.max_idle_ns = 0
    paid_id = viewer.send_set_up(plan="paid")
    await wait_until(lambda: streamer.received_ids(m.SET_UP) == [id, paid_id])
    assert len(streamer.connections) == 2, "the set-up must use a new connection"


@in_testbed(streamers=1)
async def test_idle_connection_is_closed_before_the_streamer_closes_it(testbed):
    viewer, streamer = await testbed.viewer(), testbed.streamers[0]
    id, _ = await testbed.set_up_playback(viewer)
    testbed.transport.max_idle_ns = 0
    testbed.transport.enforce_timeouts()
    assert testbed.transport.all_connections()[0].is_open(), (
        "a connection to a streamer with a playback stays open"
    )
    viewer.send(encode_release(id, 16))
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])
    await wait_until(lambda: not testbed.transport.all_connections())


@pytest.mark.parametrize(
    "keepalive_ms, connect_timeout_ms, stale_after_ms",
    [(30_000, 250, 29_500), (6_000, 150, 5_600), (400, 250, 200), (1, 250, 0)],
)
def test_connection_is_unused_before_the_configured_keepalive_expires(
    keepalive_ms, connect_timeout_ms, stale_after_ms
):
    value = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "feed": "127.0.0.1:1",
        "known": {"events": []},
        "settings": {
            **SETTINGS,
            "ceilings": {
                **SETTINGS["ceilings"],
                "keepalive_ns": keepalive_ms * 10**6,
                "connect_timeout_ns": connect_timeout_ms * 10**6,
            },
        },
    }
    transport = carrier_module.StreamerTransport(None, settings.configuration(value), RecordingLog([]))
    assert transport.max_idle_ns // 10**6 == stale_after_ms


@in_testbed
async def test_viewer_connection_with_an_unread_set_up_is_not_closed_as_idle_or_to_free_a_descriptor(testbed):
    front = testbed.service.front
    viewer, id = blocking_socket(testbed), testbed.id()
    await wait_until(lambda: len(front.connections) == 1)
    next(iter(front.connections)).reader.last_received_at = 0  # idle for long
    viewer.sendall(set_up_message(id))
    front.enforce_timeouts()
    assert not front._close_unused()
    await wait_until(lambda: received_ids(testbed) == [id])
    viewer.close()


# Descriptor limits.


def test_descriptor_budgets_stay_within_the_limit():
    for limit in (16, 32, 48, 64, 256, 1024, 65536):
        budgets = divide_descriptors(limit)
        assert (
            budgets.max_viewer_connections + budgets.max_streamer_connections + RESERVED_DESCRIPTORS <= limit
        )
        assert budgets.max_viewer_connections >= 2 and (
            limit < 48 or budgets.max_viewer_connections >= limit // 3
        ), "well-behaved viewers hold up to a third"


class SocketWithoutDescriptors:
    """A listening socket whose `accept` fails `failures` times for lack of a descriptor, then works."""

    def __init__(self, real_socket, failures):
        self.real_socket, self.failures, self.accept_calls = real_socket, failures, 0

    def accept(self):
        self.accept_calls += 1
        if self.accept_calls <= self.failures:
            raise OSError(24, "Too many open files")
        return self.real_socket.accept()

    def __getattr__(self, name):
        return getattr(self.real_socket, name)


def test_listener_without_descriptors_pauses_between_accepts_and_recovers():
    async def scenario():
        accepted, log_entries = [], []
        listener = Listener(accepted.append, lambda: False, RecordingLog(log_entries))
        address = listener.listen_on(("127.0.0.1", 0))
        listening_socket = listener.sockets[0]
        failing_socket = SocketWithoutDescriptors(listening_socket, 3)
        real_accept = listener._accept
        listener._accept = lambda _: real_accept(failing_socket)
        with socket.create_connection(address):
            await wait_until(lambda: accepted)
            assert failing_socket.accept_calls <= 6, "one accept call per pause"
            assert [event for _, event, _ in log_entries] == ["nothing is accepted for a while"] * 3
            accepted[0].close()
        listener.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_listener_without_descriptors_frees_one_and_accepts():
    async def scenario():
        accepted, freed = [], []
        listener = Listener(accepted.append, lambda: freed.append(1) or True, RecordingLog([]))
        address = listener.listen_on(("127.0.0.1", 0))
        failing_socket, real_accept = SocketWithoutDescriptors(listener.sockets[0], 2), listener._accept
        listener._accept = lambda _: real_accept(failing_socket)
        with socket.create_connection(address):
            await wait_until(lambda: accepted)
            assert freed == [1, 1]
            accepted[0].close()
        listener.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


@in_testbed(streamers=4)
async def test_streamer_connections_stay_within_their_descriptor_budget(testbed):
    budgets = testbed.service.configuration.descriptors
    object.__setattr__(budgets, "max_streamer_connections", 2)
    viewer = await testbed.viewer()
    for n in range(8):
        id, streamer = await testbed.set_up_playback(viewer, figures=f"home:{n % 4};copies:1;top:2")
        assert len(testbed.transport.all_connections()) <= 2
        viewer.send(encode_release(id, 16))
        await wait_until(
            lambda ended_id=id, at_streamer=streamer: ended_id in at_streamer.received_ids(m.RELEASE)
        )
        assert (await viewer.receive()).type == m.RELEASE_HEARD


@in_testbed(streamers=2)
async def test_streamer_is_not_marked_unhealthy_for_lack_of_a_descriptor(testbed):
    budgets = testbed.service.configuration.descriptors
    viewer = await testbed.viewer()
    id, first_streamer = await testbed.set_up_playback(viewer, figures="home:0;copies:1;top:2")
    object.__setattr__(budgets, "max_streamer_connections", 1)
    other_id = viewer.send_set_up(figures="home:1;copies:1;top:2", plan="paid")
    answer = await viewer.receive()
    assert (answer.id, answer.cause) == (other_id, m.REJECTED), "the set-up was never sent"
    streamer_state = testbed.streamer_state("s-00000001")
    assert (
        streamer_state.failed_at is None
        and not streamer_state.backoff
        and id in testbed.service.front.sessions
    )


@in_testbed(behaviour="silent", streamers=2)
async def test_unreadable_answer_fails_every_attempt_on_its_connection_once(testbed):
    viewer = await testbed.viewer()
    with patched(carrier_module, MAX_CONNECTIONS_PER_STREAMER=1):
        ids = [viewer.send_set_up(plan="paid", figures="home:0;copies:1;top:2") for _ in range(3)]
        await wait_until(lambda: sorted(received_ids(testbed)) == sorted(ids))
    streamer = next(s for s in testbed.streamers if s.received)
    for writer in streamer.connections:
        writer.write(b"\xff" * 32)
    received = [await viewer.receive() for _ in ids]
    assert sorted(message.id for message in received) == sorted(ids) and {
        message.cause for message in received
    } == {m.FAILED}
    assert not await received_so_far(viewer, testbed)


# Hand-overs of playbacks that run already.


@pytest.mark.parametrize("interruption", ["gone", "restarted", "cut", "released", "over"])
def test_pending_handover_ends_once_on_every_interruption(interruption):
    @in_testbed
    async def test(testbed):
        viewer, streamer = await testbed.viewer(), testbed.streamers[1]
        id = viewer.send_set_up(figures=f"{ALL_HOLDERS};at:{streamer.name}")
        await wait_until(lambda: streamer.connections)
        viewer.send_set_up(id=id, figures=f"{ALL_HOLDERS};at:{streamer.name}")  # sent twice
        if interruption == "gone":
            await streamer.crash()
        elif interruption == "restarted":
            testbed.feed.publish({**streamer.list_row(), "born_ms": 1_900_000_000_000})
        elif interruption == "cut":
            streamer.send(encode_release(id, 41))
        elif interruption == "over":
            streamer.send(encode_release(id, 16))
        else:
            viewer.send(encode_release(id, 16))
        message = await viewer.receive()
        assert (message.type, message.id) == (
            m.RELEASE_HEARD if interruption == "released" else m.RELEASE,
            id,
        )
        # a note after the end must have no effect
        if interruption not in ("gone", "restarted"):
            streamer.send(encode_message(m.NOTE, id, (m.NOTE_NAME, "at_rung"), (m.NOTE_VALUE, "1")))
        assert not await received_so_far(viewer, testbed)
        assert not testbed.service.front.sessions and not testbed.service.front.pending_hand_overs
        assert not any(testbed.service.front.playback_counts.values())
        assert not any(
            playback.stage is not PlaybackStage.ENDED for playback in testbed.core.playbacks.values()
        )

    test()


# Configuration reload.


@in_testbed
async def test_reload_logs_changed_settings_other_than_the_feed(testbed):
    with open(testbed.configuration_path, encoding="utf-8") as file:
        value = json.load(file)
    value["settings"]["rules"]["drain_grace_ns"] = 1
    value["limits"]["sockets"] = 99
    value["seed"], value["feed"] = "0", "127.0.0.1:1"
    with open(testbed.configuration_path, "w", encoding="utf-8") as file:
        json.dump(value, file)
    testbed.service.reread()
    assert [facts["names"] for level, _, facts in testbed.log_lines if level == "warning"] == [
        ["limits.sockets", "settings.rules.drain_grace_ns"]
    ]
    assert testbed.service.feed.address == "127.0.0.1:1"
    assert testbed.core.drain_grace == testbed.service.configuration.drain_grace == 250_000_000


def test_transitions_cover_every_state():
    assert len(AttemptState) == len(ATTEMPT_TRANSITIONS) and len(ConnectionState) == len(
        CONNECTION_TRANSITIONS
    )
    assert len(service_module.Stage) == len(STAGE_TRANSITIONS)
