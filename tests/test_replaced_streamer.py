"""A streamer's process is replaced without notice while playbacks run there: their viewers are told.

The list of streamers says nothing in any of these tests.
"""

import asyncio
import time

from hypothesis import given
from hypothesis import strategies as st
from platform_testbed import in_testbed
from testbed import wait_until

from terndrift.platform import message as m
from terndrift.platform.peer import MAX_CONNECTIONS_PER_STREAMER
from terndrift.platform.process_evidence import ProcessEvidence

# What is over is released towards its viewer within 8 s if the streamer could send no release (PROTOCOL).
RELEASE_TIMEOUT_S = 8.0
# With reports every 0.2 s a streamer counts as silent after 0.55 s, and can be replaced in 0.25 s.
OUTAGE_S = 0.3


def shorten_timeout(testbed):
    """Playbacks whose process is replaced count as over once their streamer counts as silent."""
    testbed.transport.replaced_timeout_ns = 0


async def assert_released(viewer, id, within_s):
    """Asserts that the next message to the viewer is the release of a playback, and comes in time."""
    message = await asyncio.wait_for(viewer.receive(), within_s)
    assert (message.type, message.id) == (m.RELEASE, id)


@in_testbed(streamers=1)
async def test_playback_is_released_after_its_machine_vanished_and_returned_cold(testbed):
    # Guards against: a new connection to the returned machine counted as a sign that its old playbacks go on.
    viewer = await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    streamer.note(id)
    streamer.replace_process()
    await assert_released(viewer, id, RELEASE_TIMEOUT_S)
    assert not testbed.core.playbacks


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playbacks_of_the_new_process_do_not_keep_those_of_the_old_one_standing(testbed):
    # Guards against: messages about new playbacks counted as a sign that those of the old process go on.
    shorten_timeout(testbed)
    viewer, later_viewer = await testbed.viewer(), await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    streamer.replace_process()
    await asyncio.sleep(OUTAGE_S)
    testbed.transport.max_idle_ns = 0  # the next set-up goes on a new connection
    later_id, _ = await testbed.set_up_playback(later_viewer)
    ended = asyncio.ensure_future(assert_released(viewer, id, 3))
    while not ended.done():
        streamer.note(later_id)
        await asyncio.sleep(0.05)
    await ended
    assert later_id in testbed.service.front.sessions


async def restart_within_retries(testbed, streamer):
    """The process of a streamer dies, and a new one listens before a second connection to it is tried."""
    await streamer.crash()
    await wait_until(lambda: any(event == "streamer not reached" for _, event, _ in testbed.log_lines))
    await streamer.start()
    await wait_until(lambda: streamer.connections)


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playback_is_released_if_a_new_process_is_there_after_one_refused_connection(testbed):
    # Guards against: a process that came up at once at the address of a dead one was taken for that one.
    shorten_timeout(testbed)
    viewer, later_viewer = await testbed.viewer(), await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    await restart_within_retries(testbed, streamer)
    later_id, _ = await testbed.set_up_playback(later_viewer)
    ended = asyncio.ensure_future(assert_released(viewer, id, 3))
    while not ended.done():
        streamer.note(later_id)
        await asyncio.sleep(0.05)
    await ended
    assert later_id in testbed.service.front.sessions


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playback_goes_on_if_its_process_speaks_about_it_after_a_refused_connection(testbed):
    shorten_timeout(testbed)
    viewer = await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    await restart_within_retries(testbed, streamer)
    for _ in range(20):
        streamer.note(id)
        await asyncio.sleep(0.05)
    assert id in testbed.service.front.sessions


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playback_is_released_if_an_outage_shows_only_by_the_reset_of_a_connection(testbed):
    # Guards against: a connection made after a reset counted as a sign that older playbacks go on.
    shorten_timeout(testbed)
    viewer, later_viewer = await testbed.viewer(), await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    streamer.replace_process()
    await asyncio.sleep(OUTAGE_S)
    later_viewer.send_set_up()  # on the old connection, which is reset
    assert (await later_viewer.receive()).type == m.RELEASE
    await assert_released(viewer, id, 3)
    # should the process be the same after all, it does not play on for nobody
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playbacks_at_a_streamer_that_hangs_go_on_through_many_checks(testbed):
    # Guards against: silence alone, or the connections that each check opens, ending playbacks that stand.
    shorten_timeout(testbed)
    viewer = await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    await wait_until(lambda: len(streamer.connections) > MAX_CONNECTIONS_PER_STREAMER + 2)
    assert not streamer.connections[0].is_closing()
    assert id in testbed.service.front.sessions
    streamer.connections[0].write(m.encode_release(id, 16))
    await assert_released(viewer, id, 1)


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playback_handed_over_goes_on_while_its_streamer_reports_on_later_ones(testbed):
    # Guards against: a playback that was handed over counted as lost for want of a report about it.
    shorten_timeout(testbed)
    viewer, later_viewer, streamer = await testbed.viewer(), await testbed.viewer(), testbed.streamers[0]
    id = viewer.send_set_up(figures=f"home:0;copies:4;top:2;at:{streamer.name}")
    await wait_until(lambda: streamer.connections)
    await wait_until(lambda: id in testbed.service.front.sessions)  # at its floor: the rung is never told
    later_id, _ = await testbed.set_up_playback(later_viewer)
    for _ in range(30):
        streamer.note(later_id)
        await asyncio.sleep(0.05)
    assert id in testbed.service.front.sessions


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playback_goes_on_after_a_reset_once_its_streamer_reports_on_it(testbed):
    # Guards against: the loss of every connection to a streamer ending playbacks that stand there.
    shorten_timeout(testbed)
    viewer = await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    streamer.connections.pop().transport.abort()
    await wait_until(lambda: streamer.connections)
    streamer.note(id)
    await wait_until(lambda: any(line[1] == "silent streamer checked" for line in testbed.log_lines))
    began = time.monotonic()
    await wait_until(lambda: time.monotonic() - began > 0.6)
    assert id in testbed.service.front.sessions


@in_testbed(streamers=1, reports_every_ms=200)
async def test_playback_goes_on_while_its_streamer_closes_idle_connections_and_reports_nothing(testbed):
    # Guards against: reports that are lost between two connections ending a playback that stands.
    shorten_timeout(testbed)
    viewer = await testbed.viewer()
    id, streamer = await testbed.set_up_playback(viewer)
    for _ in range(5):
        await asyncio.sleep(0.4)  # sent to it meanwhile: nothing
        connection_count = len(streamer.connections)
        streamer.connections[-1].close()
        await wait_until(lambda count=connection_count: len(streamer.connections) > count)
    assert id in testbed.service.front.sessions


MIN_OUTAGE = 10  # steps that a process of the model takes to be replaced


class Model:
    """A streamer of which every process, its connections and its playbacks are known."""

    def __init__(self):
        self.evidence, self.now, self.process = ProcessEvidence(MIN_OUTAGE), 0, 0
        self.connections, self.playbacks = {}, {}  # connection or ID -> number of its process

    def step(self, kind, choice):
        """Plays an event one ns after the last one; `choice` selects what it happens to."""
        self.now += 1
        current = [c for c, process in self.connections.items() if process == self.process]
        playing = [id for id, process in self.playbacks.items() if process == self.process]
        if kind == "connect":
            connection = object()
            self.connections[connection] = self.process
            self.evidence.connection_opened(connection, self.now)
        elif kind == "play" and current:
            self.hear(current[choice % len(current)], self.now)
            self.playbacks[self.now] = self.process
            self.evidence.playback_started(self.now, self.now)
        elif kind == "report" and current and playing:
            self.hear(current[choice % len(current)], playing[choice % len(playing)])
        elif kind == "close" and self.connections:
            connection = list(self.connections)[choice % len(self.connections)]
            del self.connections[connection]
            self.evidence.connection_closed(connection)
        elif kind == "replace":
            self.process += 1
            self.now += MIN_OUTAGE

    def hear(self, connection, id):
        """The process sends a message about a playback."""
        self.evidence.process_spoke(connection, self.now, id)


@given(
    st.lists(
        st.tuples(st.sampled_from(["connect", "play", "report", "close", "replace"]), st.integers(0, 5)),
        max_size=60,
    )
)
def test_a_live_connection_never_vouches_for_a_playback_of_an_earlier_process(steps):
    model = Model()
    for kind, choice in steps:
        model.step(kind, choice)
        for connection, tracked in model.evidence.connections.items():
            process = model.connections[connection]
            for id, playback in model.evidence.playbacks.items():
                assert playback.since < tracked.process_since or model.playbacks[id] >= process
        dead_connections = [c for c, process in model.connections.items() if process != model.process]
        lost = model.evidence.lost_playbacks(model.now, timeout=-1)
        if model.connections and not dead_connections:  # every stale one has been reset
            gone = {id for id, process in model.playbacks.items() if process != model.process}
            assert gone <= set(lost)
