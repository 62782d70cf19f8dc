"""Two events that cross at a controller of the platform, forced over loopback sockets in a fixed order.

Nothing here waits for a time to pass as a means of order: a stand-in withholds, splits or closes at the step
in question, or several things are done within one turn of the loop.
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
from platform_world import SETTINGS, in_world
from world import Log, until

from terndrift.core.carried import Stage
from terndrift.platform import carrier as carriers
from terndrift.platform import message as m
from terndrift.platform import service as services
from terndrift.platform import settings
from terndrift.platform.attempt import TRANSITIONS as ATTEMPT_WAYS
from terndrift.platform.attempt import Attempt, AttemptState
from terndrift.platform.connection import TRANSITIONS as CONNECTION_WAYS
from terndrift.platform.connection import Connection, ConnectionState
from terndrift.platform.descriptors import RESERVED, shared_out
from terndrift.platform.listener import Listener
from terndrift.platform.message import encode, messages, release
from terndrift.platform.service import TRANSITIONS as STAGE_WAYS
from terndrift.platform.service import Service

EVERYWHERE = "home:0;copies:4;top:2"


def set_up(id, plan="free", figures=EVERYWHERE, title="00112233aabbccdd"):
    return encode(
        m.SET_UP,
        id,
        (m.PLAN, plan),
        (m.WAIT, "3000"),
        (m.TITLE, title),
        (m.FIGURES, figures),
        (m.DESCRIPTION, b"what I can play"),
    )


def raw(world):
    """A socket whose bytes are in the kernel when a call on it returns, whatever the loop does."""
    return socket.create_connection(world.service.address)


async def read_all(sock):
    """Every message until the other side ends."""
    sock.setblocking(False)
    loop, buffer = asyncio.get_running_loop(), bytearray()
    while data := await loop.sock_recv(sock, 65536):
        buffer += data
    sock.close()
    return messages(buffer)


async def still_hears(viewer, world):
    """What a viewer has heard by the time that a test, sent now, is answered."""
    id, heard = world.id(), []
    viewer.send(encode(m.TEST, id, (m.CAUSE, b"\0")))
    while (one := await viewer.hear()).type != m.TESTED:
        heard.append(one)
    return heard


async def sent(world, type=m.SET_UP):
    """Ids of what has been sent to streamers by now: looked at when all that was written has been read."""
    marks = []
    for connection in world.carrier.connections():
        mark = world.id()
        if connection.send(encode(m.PROGRESS, mark)):
            marks.append(mark)
    await until(lambda: set(marks) <= {id for s in world.streamers for id in s.ids(m.PROGRESS)})
    return arrived(world, type)


def arrived(world, type=m.SET_UP):
    """Ids of what streamers have read."""
    return [id for s in world.streamers for id in s.ids(type)]


@contextlib.contextmanager
def changed(owner, **values):
    kept = {name: getattr(owner, name) for name in values}
    for name, value in values.items():
        setattr(owner, name, value)
    try:
        yield
    finally:
        for name, value in kept.items():
            setattr(owner, name, value)


class SlowDials:
    """Connections to streamers that come up when `let_up` is called, and not before. As with asyncio.wait_for
    of Python 3.11, one that comes up in the turn in which it is cancelled swallows the cancel."""

    def __init__(self, slow=10**9):
        self.slow = slow  # so many; further ones come up at once
        self.begun, self.up, self.real, self.streams = 0, asyncio.Event(), carriers.connect, []

    def let_up(self):
        self.up.set()

    async def __call__(self, stream, address, within):
        self.begun += 1
        self.streams.append(stream)
        try:
            if self.begun <= self.slow:
                await self.up.wait()
        except asyncio.CancelledError:
            if not self.up.is_set():
                stream.close()
                raise
        await self.real(stream, address, within)


# States.


@pytest.mark.parametrize(
    "ways, make, turn",
    [
        (ATTEMPT_WAYS, lambda state: made(Attempt, state), Attempt.turn),
        (CONNECTION_WAYS, lambda state: made(Connection, state), Connection._turn),
    ],
)
def test_only_the_stated_changes_of_state_are_possible(ways, make, turn):
    for state, allowed in ways.items():
        for to in ways:
            one = make(state)
            if to in allowed:
                turn(one, to)
                assert one.state is to
            else:
                with pytest.raises(AssertionError):
                    turn(one, to)


def made(kind, state):
    one = kind.__new__(kind)
    one.state, one.id = state, b"12345678"
    return one


def test_only_the_stated_changes_of_a_process_are_possible():
    for stage, allowed in STAGE_WAYS.items():
        for to in STAGE_WAYS:
            service = Service.__new__(Service)
            service.stage = stage
            if to in allowed:
                service._change_stage(to)
                assert service.stage is to
            else:
                with pytest.raises(AssertionError):
                    service._change_stage(to)


# Shutdown.


@in_world(how="silent", streamers=1)
async def test_an_answer_that_crosses_the_last_answer_is_not_a_second_one(world):
    viewer, streamer = await world.viewer(), world.streamers[0]
    id = viewer.ask()
    await until(lambda: streamer.ids(m.SET_UP) == [id])
    world.service.front.last_answers()
    streamer.say(encode(m.ANSWER, id, (m.DESCRIPTION, b"too late")))
    link = next(iter(next(iter(world.carrier.peers.values())).connections)).link
    await until(lambda: link.count)
    got = await still_hears(viewer, world)
    assert [(h.type, h.id, h.cause) for h in got] == [(m.RELEASE, id, m.REJECTED)]
    await until(lambda: streamer.ids(m.RELEASE) == [id])


@in_world(how="silent", streamers=2)
async def test_a_refusal_that_crosses_the_last_answer_leads_to_no_further_attempt(world):
    viewer = await world.viewer()
    id = viewer.ask()
    await until(lambda: arrived(world) == [id])
    streamer = next(s for s in world.streamers if s.heard)
    world.service.front.last_answers()
    streamer.say(release(id, 34))
    connections = world.carrier.connections()
    await until(lambda: any(one.link.count for one in connections))
    await still_hears(viewer, world)
    assert await sent(world) == [id]


@in_world
async def test_a_set_up_that_waits_to_be_accepted_as_the_front_closes_is_answered(world):
    id, late, close = world.id(), [], world.service.front.listener.close

    def accept_none_before():
        if not late:
            late.append(raw(world))
            late[0].sendall(set_up(id))
        close()

    world.service.front.listener.close = accept_none_before
    with changed(services, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        await world.service.drain()
    heard = await read_all(late[0])
    assert [(h.id, h.cause) for h in heard] == [(id, m.REJECTED)]
    assert not await sent(world)


@in_world
async def test_a_set_up_between_the_last_answers_and_the_close_is_rejected(world):
    viewer, id, front = await world.viewer(), world.id(), world.service.front
    last_answers = front.last_answers

    def and_one_more():
        last_answers()
        viewer.send(set_up(id) + set_up(world.id())[:-3])  # and one half written, of which nothing is owed

    front.last_answers = and_one_more
    with changed(services, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        await world.service.drain()
    heard = await viewer.hear()
    assert (heard.id, heard.cause) == (id, m.REJECTED)
    assert await viewer.hear() is None
    assert not await sent(world)


@in_world
async def test_the_process_ends_only_when_the_last_messages_have_left_it(world):
    viewer = await world.viewer()
    id, _ = await world.plays(viewer)
    connection = next(iter(world.service.front.connections))
    # more than the kernel's buffers take: what is said after it stays with the process
    connection.stream.max_write_buffer_size = None
    more = encode(m.PROGRESS, world.id()) * 4096
    while not connection.unsent():
        connection.send(more)
    for _ in range(8):
        connection.send(more)
    with changed(services, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2, FLUSH_TIMEOUT_S=60):
        ending = asyncio.ensure_future(world.service.drain())
        await until(lambda: world.service.stage is services.Stage.CLOSING)
        assert connection.unsent()
        while (heard := await viewer.hear()).type == m.PROGRESS:
            pass
        assert (heard.type, heard.id) == (m.RELEASE, id)
        await ending
    assert await viewer.hear() is None


@in_world(how="silent")
async def test_what_was_to_be_handed_over_is_released_on_both_sides_at_the_end(world):
    viewer, streamer = await world.viewer(), world.streamers[0]
    id = viewer.ask(figures=f"{EVERYWHERE};at:{streamer.name}")
    await until(lambda: streamer.writers)
    world.service.front.last_answers()
    assert [h.id for h in await still_hears(viewer, world)] == [id]
    await until(lambda: streamer.ids(m.RELEASE) == [id])


@in_world
async def test_told_to_end_while_the_first_call_is_out_it_takes_nobody(world):
    world.feed.how = "stands"
    second = Service(settings.read(world.path), Log(world.said), world.path)
    starting = asyncio.ensure_future(second.begin())
    await until(lambda: second.feed.call is not None)
    second.terminate()
    second.terminate()
    await starting
    assert second.stage is services.Stage.STOPPED and second.address is None
    assert second.stopped.is_set()


@in_world
async def test_told_to_end_twice_it_ends_once_and_a_configuration_may_come_between(world):
    service, answered = world.service, []
    last_answers = service.front.last_answers
    service.front.last_answers = lambda: (answered.append(1), last_answers())
    with changed(services, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        service.reread()
        service.terminate()
        service.reread()
        service.terminate()
        await until(lambda: answered)
        service.terminate()
        await service.stopped.wait()
        service.terminate()
    assert answered == [1]


def started(tmp_path, feed):
    """A controller that reads its configuration from a pipe: it can do nothing until that is written."""
    path = str(tmp_path / "config.json")
    os.mkfifo(path)
    value = json.dumps(
        {
            "name": "n3",
            "listen": "127.0.0.1:0",
            "feed": feed,
            "known": {"n": 0, "events": []},
            "limits": {"sockets": 64},
            "settings": SETTINGS,
        }
    )
    run = subprocess.Popen(
        [sys.executable, "-B", "-m", "terndrift.platform"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": path},
    )
    return run, path, value


def test_a_process_told_to_end_while_it_loads_ends_well_and_never_listens(tmp_path):
    run, path, value = started(tmp_path, "127.0.0.1:9")
    try:
        with open(path, "w", encoding="utf-8") as file:  # opens when the process reads it, and not before
            run.send_signal(signal.SIGTERM)
            run.send_signal(signal.SIGTERM)
            file.write(value)
        said = run.stderr.read()
        assert run.wait(30) == 0 and '"listening"' not in said
    finally:
        run.kill()
        run.wait()
        run.stderr.close()


def test_a_configuration_told_while_a_process_loads_is_not_missed(tmp_path):
    run, path, value = started(tmp_path, "127.0.0.1:9")
    try:
        with open(path, "w", encoding="utf-8") as file:
            moved = tmp_path / "moved"
            moved.write_text(value.replace("127.0.0.1:9", "127.0.0.1:7"))
            os.replace(moved, path)
            run.send_signal(signal.SIGHUP)
            file.write(value)
        lines = iter(run.stderr.readline, "")
        assert any('"configuration"' in line and "127.0.0.1:7" in line for line in lines)
    finally:
        run.kill()
        run.wait()
        run.stderr.close()


# Viewers that have gone.


@pytest.mark.parametrize("how", ["close", "reset", "half-close", "cancel", "cancel elsewhere"])
def test_no_attempt_begins_for_a_viewer_who_has_gone_behind_a_busy_loop(how):
    @in_world(streamers=1)
    async def test(world):
        first = await world.viewer()
        await world.plays(first)  # a connection to a streamer is up: nothing has to be waited for
        before, id = await sent(world), world.id()
        viewer, other = raw(world), raw(world)
        await until(lambda: len(world.service.front.connections) == 3)
        viewer.sendall(set_up(id))
        if how == "half-close":
            viewer.shutdown(socket.SHUT_WR)
        elif how == "cancel":
            # not in one read with the set-up: the loop has read that, and then was held up
            viewer.sendall(release(id, 16))
        elif how == "cancel elsewhere":
            other.sendall(release(id, 16))
        else:
            if how == "reset":
                viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            viewer.close()
        await still_hears(first, world)
        await until(lambda: not world.core.open)
        assert await sent(world) == before
        other.close()
        if how in ("half-close", "cancel", "cancel elsewhere"):
            viewer.close()

    test()


@in_world(streamers=1)
async def test_a_cancel_that_comes_after_its_set_up_was_read_is_read_before_the_attempt(world):
    first = await world.viewer()
    await world.plays(first)
    before, viewer, id, front = await sent(world), raw(world), world.id(), world.service.front
    await until(lambda: len(front.connections) == 2)
    want, core, cancelled = world.core.want, world.core, []

    def held_up(*args):
        viewer.sendall(release(id, 16))  # while the loop is at the set-up
        cancelled.append(id)
        return want(*args)

    core.want = held_up
    viewer.sendall(set_up(id))
    await until(lambda: cancelled)
    await until(lambda: not core.open)
    await still_hears(first, world)
    assert await sent(world) == before
    viewer.close()


@pytest.mark.parametrize("elsewhere", [False, True])
def test_a_cancel_that_comes_between_the_choice_and_the_beginning_is_read_first(elsewhere):
    @in_world(streamers=1)
    async def test(world):
        first = await world.viewer()
        await world.plays(first)
        before, viewer, other, id = await sent(world), raw(world), raw(world), world.id()
        await until(lambda: len(world.service.front.connections) == 3)
        want, loop, cancelled = world.core.want, asyncio.get_running_loop(), []

        def cancel():
            (other if elsewhere else viewer).sendall(release(id, 16))
            cancelled.append(id)

        def chosen(*args):
            loop.call_soon(cancel)  # in the turn in which the attempt would begin, just before that
            return want(*args)

        world.core.want = chosen
        with changed(carriers, HELD_UP=-1 if elsewhere else carriers.HELD_UP):  # the turn took long
            viewer.sendall(set_up(id))
            await until(lambda: cancelled)
            await until(lambda: not world.core.open)
        await still_hears(first, world)
        assert await sent(world) == before
        viewer.close()
        other.close()

    test()


@in_world(how="silent")
async def test_a_cancel_on_another_connection_ends_the_attempt_that_is_out(world):
    viewer, other = await world.viewer(), await world.viewer()
    id = viewer.ask()
    await until(lambda: arrived(world) == [id])
    other.send(release(id, 16))
    await until(lambda: arrived(world, m.RELEASE) == [id])
    assert not world.service.front.held and not await still_hears(viewer, world)


@in_world(streamers=2)
async def test_no_further_attempt_begins_when_refusal_and_close_come_together(world):
    for streamer in world.streamers:
        streamer.how = "silent"
    viewer, id = raw(world), world.id()
    viewer.sendall(set_up(id))
    await until(lambda: arrived(world) == [id])
    streamer = next(s for s in world.streamers if s.heard)
    streamer.say(release(id, 34))
    viewer.close()
    await until(lambda: not world.core.held)
    await still_hears(await world.viewer(), world)
    assert await sent(world) == [id]


@in_world
async def test_a_release_that_crosses_the_streamers_ends_it_once(world):
    viewer = await world.viewer()
    id, streamer = await world.plays(viewer)
    streamer.say(release(id, 16))
    viewer.send(release(id, 16))
    await until(lambda: not world.core.held)
    got = await still_hears(viewer, world)
    assert sorted(h.type for h in got) in ([m.RELEASE, m.RELEASE_HEARD], [m.RELEASE_HEARD])
    assert not world.service.front.held and not any(world.service.front.standing.values())


# Connections that come up late.


@pytest.mark.parametrize("how", ["cancel", "close"])
def test_a_connection_that_comes_up_as_its_attempt_is_given_up_carries_nothing(how):
    @in_world(streamers=1)
    async def test(world):
        dials = SlowDials()
        with changed(carriers, connect=dials):
            viewer, id, call_off = await world.viewer(), world.id(), world.carrier.call_off

            def cross(carried):
                dials.let_up()
                call_off(carried)

            world.carrier.call_off = cross
            viewer.send(set_up(id))
            await until(lambda: dials.begun)
            if how == "cancel":
                viewer.send(release(id, 16))
            else:
                viewer.writer.close()
            await until(lambda: not world.core.held)
            await until(lambda: not any(p.connecting for p in world.carrier.peers.values()))
            await still_hears(await world.viewer(), world)
        assert not await sent(world) and not world.carrier.attempts
        peer = next(iter(world.carrier.peers.values()))
        assert all(one.up() and not attempts for one, attempts in peer.connections.items())

    test()


@in_world(streamers=2, how="silent")
async def test_a_connection_that_comes_up_as_the_next_attempt_begins_carries_nothing(world):
    """Two attempts of one playback would be out at once."""
    dials, call_off = SlowDials(slow=1), world.carrier.call_off

    def cross(carried):
        dials.let_up()
        call_off(carried)

    world.carrier.call_off = cross
    with changed(carriers, connect=dials):
        viewer = await world.viewer()
        id = viewer.ask()
        await until(lambda: arrived(world))
        await until(lambda: not any(p.connecting for p in world.carrier.peers.values()))
        await still_hears(viewer, world)
        assert await sent(world) == [id] and len(world.carrier.attempts) == 1
    assert len(world.carrier.connections()) == 2, "the first came up"


@in_world(streamers=1)
async def test_a_connection_that_comes_up_after_the_attempts_time_carries_nothing(world):
    dials = SlowDials()
    with changed(carriers, connect=dials):
        viewer = await world.viewer()
        viewer.ask(wait="300")
        await until(lambda: dials.begun)
        assert (await viewer.hear()).type == m.RELEASE
        dials.let_up()
        await until(lambda: not any(p.connecting for p in world.carrier.peers.values()))
        await still_hears(viewer, world)
    assert not await sent(world) and not world.carrier.attempts


@in_world(streamers=2)
async def test_a_connection_to_an_address_that_is_another_streamers_by_now_is_not_used(world):
    """A streamer is listed at another address while a connection to its old one is made."""
    moved, heir = world.streamers
    dials = SlowDials()
    with changed(carriers, connect=dials):
        viewer = await world.viewer()
        viewer.ask(figures=f"home:{moved.cell};copies:1;top:2")
        await until(lambda: dials.begun)
        world.feed.tell({**moved.row(), "dial": f"127.0.0.1:{heir.port}"})
        await until(lambda: world.service.feed.held == 2)
        dials.let_up()
        answer = await viewer.hear()
        assert (answer.type, answer.cause) == (m.RELEASE, m.REJECTED), "it never ran, and was the only holder"
        await until(lambda: dials.streams[0].closed())
        assert not await sent(world)
        id = viewer.ask(figures=f"home:{moved.cell};copies:1;top:2")
        answer = await viewer.hear()
    assert (answer.type, heir.ids(m.SET_UP), moved.ids(m.SET_UP)) == (m.ANSWER, [id], [])


@pytest.mark.parametrize("health", ["removed", "draining"])
def test_a_streamer_told_off_while_a_connection_to_it_is_made_gets_nothing(health):
    @in_world(streamers=1)
    async def test(world):
        dials = SlowDials()
        world.core.drain_grace = -1  # over at once
        with changed(carriers, connect=dials):
            viewer = await world.viewer()
            viewer.ask(plan="paid")
            await until(lambda: dials.begun)
            world.feed.tell(world.streamers[0].row(health))
            await until(lambda: world.service.feed.held == 2)
            dials.let_up()
            answer = await viewer.hear()
        assert (answer.type, answer.cause) == (m.RELEASE, m.REJECTED), "it never ran"
        assert not await sent(world)

    test()


@in_world(streamers=1)
async def test_the_process_ends_with_a_connection_still_coming_up(world):
    dials = SlowDials()
    with changed(carriers, connect=dials), changed(services, MAX_DEADLINE_S=0, KILL_DELAY_S=0.2):
        viewer = await world.viewer()
        id = viewer.ask()
        await until(lambda: dials.begun)
        await world.service.drain()
        dials.let_up()
        assert (await viewer.hear()).id == id and await viewer.hear() is None
        await until(lambda: all(stream.closed() for stream in dials.streams))
    assert not await sent(world)


# Retries.


@in_world(how="silent", streamers=1)
async def test_an_id_that_comes_again_before_its_streamer_confirmed_the_cancel_is_not_taken(world):
    """What the streamer then says of the first could not be told from what it says of the second."""
    viewer, streamer = await world.viewer(), world.streamers[0]
    with changed(carriers, CONFIRM=3600):
        id = viewer.ask()
        await until(lambda: streamer.ids(m.SET_UP) == [id])
        viewer.send(release(id, 16))
        assert (await viewer.hear()).type == m.RELEASE_HEARD
        viewer.ask(id=id)
        assert (await viewer.hear()).cause == m.UNUSABLE
        streamer.say(encode(m.RELEASE_HEARD, id))
        await until(lambda: not world.carrier.holds(id))
        viewer.ask(id=id)
        await until(lambda: streamer.ids(m.SET_UP) == [id, id])


@in_world(how="silent", streamers=1)
async def test_an_answer_on_its_way_as_the_attempt_is_cancelled_is_released_and_passed_over(world):
    viewer, streamer = await world.viewer(), world.streamers[0]
    id = viewer.ask()
    await until(lambda: streamer.ids(m.SET_UP) == [id])
    viewer.send(release(id, 16))
    await until(lambda: not world.service.front.held)
    streamer.say(encode(m.ANSWER, id, (m.DESCRIPTION, b"late")) * 2 + release(id, 16) + release(id, 16))
    await until(lambda: streamer.ids(m.RELEASE) == [id])
    await until(lambda: not world.core.held)
    assert [h.type for h in await still_hears(viewer, world)] == [m.RELEASE_HEARD]


@in_world(how="silent", streamers=2)
async def test_a_connection_closed_from_here_with_an_attempt_on_it_ends_that_once(world):
    viewer = await world.viewer()
    id = viewer.ask(plan="paid")
    await until(lambda: arrived(world) == [id])
    one = next(c for c in world.carrier.connections())
    one.close("unreadable: as a test says")
    next(iter(world.streamers)).how = "plays"
    answer = await viewer.hear()
    assert (answer.id, answer.cause) == (id, m.FAILED)
    assert await sent(world) == [id] and not await still_hears(viewer, world)


# Idle connections.


@in_world(streamers=1)
async def test_a_connection_that_its_streamer_may_be_closing_as_idle_carries_no_set_up(world):
    viewer, streamer = await world.viewer(), world.streamers[0]
    id, _ = await world.plays(viewer)
    viewer.send(release(id, 16))
    await until(lambda: streamer.ids(m.RELEASE) == [id])
    assert len(streamer.writers) == 1
    world.carrier.stale_after = 0
    paid = viewer.ask(plan="paid")
    await until(lambda: streamer.ids(m.SET_UP) == [id, paid])
    assert len(streamer.writers) == 2, "on a new one"


@in_world(streamers=1)
async def test_a_connection_left_idle_is_closed_before_its_streamer_closes_it(world):
    viewer, streamer = await world.viewer(), world.streamers[0]
    id, _ = await world.plays(viewer)
    world.carrier.stale_after = 0
    world.carrier.every_quarter()
    assert world.carrier.connections()[0].up(), "something plays there"
    viewer.send(release(id, 16))
    await until(lambda: streamer.ids(m.RELEASE) == [id])
    await until(lambda: not world.carrier.connections())


@pytest.mark.parametrize(
    "keepalive, connect, after", [(30_000, 250, 29_500), (6_000, 150, 5_600), (400, 250, 200), (1, 250, 0)]
)
def test_a_connection_is_out_of_use_before_the_time_that_the_settings_tell(keepalive, connect, after):
    told = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "feed": "127.0.0.1:1",
        "known": {"events": []},
        "settings": {
            **SETTINGS,
            "ceilings": {
                **SETTINGS["ceilings"],
                "keepalive_ns": keepalive * 10**6,
                "connect_timeout_ns": connect * 10**6,
            },
        },
    }
    made = carriers.Carrier(None, settings.configuration(told), Log([]))
    assert made.stale_after // 10**6 == after


@in_world
async def test_a_viewers_connection_with_a_set_up_unread_is_not_closed_as_idle_or_for_want_of_room(world):
    front = world.service.front
    viewer, id = raw(world), world.id()
    await until(lambda: len(front.connections) == 1)
    next(iter(front.connections)).link.heard = 0  # long ago
    viewer.sendall(set_up(id))
    front.every_quarter()
    assert not front._close_quiet()
    await until(lambda: arrived(world) == [id])
    viewer.close()


# Floods and descriptors.


def test_descriptors_are_shared_out_within_the_limit():
    for limit in (16, 32, 48, 64, 256, 1024, 65536):
        share = shared_out(limit)
        assert share.viewers + share.streamers + RESERVED <= limit
        assert share.viewers >= 2 and (limit < 48 or share.viewers >= limit // 3), "a third is good viewers'"


class NoDescriptors:
    """A listening socket that accepts nothing `times` times for want of a descriptor, then one connection."""

    def __init__(self, real, times):
        self.real, self.times, self.asked = real, times, 0

    def accept(self):
        self.asked += 1
        if self.asked <= self.times:
            raise OSError(24, "Too many open files")
        return self.real.accept()

    def __getattr__(self, name):
        return getattr(self.real, name)


def test_a_listener_without_descriptors_pauses_and_recovers_and_does_not_spin():
    async def inside():
        got, said = [], []
        listener = Listener(got.append, lambda: False, Log(said))
        address = listener.listen_on(("127.0.0.1", 0))
        sock = listener.sockets[0]
        scarce = NoDescriptors(sock, 3)
        accept = listener._accept
        listener._accept = lambda _: accept(scarce)
        with socket.create_connection(address):
            await until(lambda: got)
            assert scarce.asked <= 6, "once a pause"
            assert [event for _, event, _ in said] == ["nothing is accepted for a while"] * 3
            got[0].close()
        listener.close()

    asyncio.run(asyncio.wait_for(inside(), 60))


def test_a_listener_without_descriptors_frees_one_and_goes_on():
    async def inside():
        got, freed = [], []
        listener = Listener(got.append, lambda: freed.append(1) or True, Log([]))
        address = listener.listen_on(("127.0.0.1", 0))
        scarce, accept = NoDescriptors(listener.sockets[0], 2), listener._accept
        listener._accept = lambda _: accept(scarce)
        with socket.create_connection(address):
            await until(lambda: got)
            assert freed == [1, 1]
            got[0].close()
        listener.close()

    asyncio.run(asyncio.wait_for(inside(), 60))


@in_world(streamers=4)
async def test_connections_to_streamers_stay_within_their_share_of_the_descriptors(world):
    share = world.service.configuration.descriptors
    object.__setattr__(share, "streamers", 2)
    viewer = await world.viewer()
    for n in range(8):
        id, streamer = await world.plays(viewer, figures=f"home:{n % 4};copies:1;top:2")
        assert len(world.carrier.connections()) <= 2
        viewer.send(release(id, 16))
        await until(lambda lost=id, at=streamer: lost in at.ids(m.RELEASE))
        assert (await viewer.hear()).type == m.RELEASE_HEARD


@in_world(streamers=2)
async def test_a_streamer_out_of_reach_for_want_of_a_descriptor_is_not_taken_for_ill(world):
    share = world.service.configuration.descriptors
    viewer = await world.viewer()
    id, first = await world.plays(viewer, figures="home:0;copies:1;top:2")
    object.__setattr__(share, "streamers", 1)
    other = viewer.ask(figures="home:1;copies:1;top:2", plan="paid")
    answer = await viewer.hear()
    assert (answer.id, answer.cause) == (other, m.REJECTED), "it never ran"
    at = world.by_name("s-00000001")
    assert at.down is None and not at.gap and id in world.service.front.held


@in_world(how="silent", streamers=2)
async def test_an_answer_that_can_not_be_read_fails_all_on_its_connection_once(world):
    viewer = await world.viewer()
    with changed(carriers, MOST=1):
        ids = [viewer.ask(plan="paid", figures="home:0;copies:1;top:2") for _ in range(3)]
        await until(lambda: sorted(arrived(world)) == sorted(ids))
    streamer = next(s for s in world.streamers if s.heard)
    for writer in streamer.writers:
        writer.write(b"\xff" * 32)
    heard = [await viewer.hear() for _ in ids]
    assert sorted(h.id for h in heard) == sorted(ids) and {h.cause for h in heard} == {m.FAILED}
    assert not await still_hears(viewer, world)


# Hand-overs.


@pytest.mark.parametrize("what", ["gone", "restarted", "cut", "released", "over"])
def test_what_is_to_be_handed_over_ends_well_whatever_happens_meanwhile(what):
    @in_world
    async def test(world):
        viewer, streamer = await world.viewer(), world.streamers[1]
        id = viewer.ask(figures=f"{EVERYWHERE};at:{streamer.name}")
        await until(lambda: streamer.writers)
        viewer.ask(id=id, figures=f"{EVERYWHERE};at:{streamer.name}")  # the same again
        if what == "gone":
            await streamer.die()
        elif what == "restarted":
            world.feed.tell({**streamer.row(), "born_ms": 1_900_000_000_000})
        elif what == "cut":
            streamer.say(release(id, 41))
        elif what == "over":
            streamer.say(release(id, 16))
        else:
            viewer.send(release(id, 16))
        heard = await viewer.hear()
        assert (heard.type, heard.id) == (m.RELEASE_HEARD if what == "released" else m.RELEASE, id)
        # the note that comes after it is of nothing
        if what not in ("gone", "restarted"):
            streamer.say(encode(m.NOTE, id, (m.NOTE_NAME, "at_rung"), (m.NOTE_VALUE, "1")))
        assert not await still_hears(viewer, world)
        assert not world.service.front.held and not world.service.front.expected
        assert not any(world.service.front.standing.values())
        assert not any(c.stage is not Stage.OVER for c in world.core.held.values())

    test()


# Configurations that are read again.


@in_world
async def test_what_a_new_configuration_changes_beside_the_feed_is_named(world):
    with open(world.path, encoding="utf-8") as file:
        value = json.load(file)
    value["settings"]["rules"]["drain_grace_ns"] = 1
    value["limits"]["sockets"] = 99
    value["seed"], value["feed"] = "0", "127.0.0.1:1"
    with open(world.path, "w", encoding="utf-8") as file:
        json.dump(value, file)
    world.service.reread()
    assert [facts["names"] for level, _, facts in world.said if level == "warning"] == [
        ["limits.sockets", "settings.rules.drain_grace_ns"]
    ]
    assert world.service.feed.address == "127.0.0.1:1"
    assert world.core.drain_grace == world.service.configuration.drain_grace == 250_000_000


def test_states_are_named_once():
    assert len(AttemptState) == len(ATTEMPT_WAYS) and len(ConnectionState) == len(CONNECTION_WAYS)
    assert len(services.Stage) == len(STAGE_WAYS)
