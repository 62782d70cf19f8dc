"""What a streamer or viewer sends on a connection that the controller closes is not lost with it.

A streamer sends the release of a playback on the connection of its set-up, and on the next one opened as well
(PROTOCOL, "Controllers to streamers").
"""

import asyncio
import dataclasses

import pytest
from platform_testbed import in_testbed
from testbed import wait_until

from terndrift.platform import message as m
from terndrift.platform.descriptors import Descriptors
from terndrift.platform.message import MessageFramingError, encode_message, encode_release
from terndrift.platform.message_reader import MessageReader
from terndrift.platform.transport import ConnectionLimitError

# What is over is released towards its viewer within 8 s if the streamer could send no release (PROTOCOL).
RELEASE_TIMEOUT_S = 8.0
# So long that no check of a silent streamer opens a connection during a test.
REPORT_INTERVAL_MS = 60_000
NOISE = b"\xff" * 64


async def assert_released(viewer, id):
    """Asserts that the next message to the viewer is the release of a playback, and comes in time."""
    message = await asyncio.wait_for(viewer.receive(), RELEASE_TIMEOUT_S)
    assert (message.type, message.id) == (m.RELEASE, id)


async def set_up_on_two_connections(testbed, viewer):
    """Sets up two playbacks, each on a connection of its own; returns the ID of the one on the first."""
    ids = [viewer.send_set_up() for _ in range(2)]
    assert {(await viewer.receive()).id for _ in ids} == set(ids)
    (streamer,) = testbed.streamers
    assert len(streamer.connections) == 2
    return streamer.received[0].id


async def close_first_connection(streamer, data):
    """Sends `data` on the first connection to a streamer and waits until the controller has closed it."""
    streamer.connections[0].write(data)
    await wait_until(lambda: streamer.connections[0].is_closing())


@pytest.mark.parametrize(
    "data",
    [encode_message(m.ANSWER, b"12345678", (m.DESCRIPTION, b"cut"))[:-1], NOISE],
    ids=["short", "noise"],
)
def test_release_lost_on_a_connection_that_the_controller_closed_is_heard_on_the_next_one(data):
    # Guards against: after a close for unreadable input no connection was opened while another one was open.
    async def test(testbed):
        viewer, (streamer,) = await testbed.viewer(), testbed.streamers
        id = await set_up_on_two_connections(testbed, viewer)
        streamer.undelivered.append(encode_release(id, 16))
        await close_first_connection(streamer, data)
        await assert_released(viewer, id)

    in_testbed(streamers=1, reports_every_ms=REPORT_INTERVAL_MS)(test)()


@in_testbed(streamers=1, reports_every_ms=REPORT_INTERVAL_MS)
async def test_connection_after_lost_input_is_opened_again_until_one_comes_up(testbed):
    # Guards against: the releases are asked for once only, though that connection may not come up.
    viewer, (streamer,) = await testbed.viewer(), testbed.streamers
    id = await set_up_on_two_connections(testbed, viewer)
    streamer.server.close()
    streamer.undelivered.append(encode_release(id, 16))
    await close_first_connection(streamer, NOISE)
    await asyncio.sleep(1)
    assert len(testbed.core.playbacks) == 2  # a refused connection beside an open one ends no playback
    await streamer.start()
    await assert_released(viewer, id)


@in_testbed(streamers=1, reports_every_ms=REPORT_INTERVAL_MS)
async def test_connection_begun_before_input_was_lost_does_not_count_as_the_next_one(testbed):
    # Guards against: a connection accepted before a release counted, though the release comes on a later one.
    viewer, (streamer,) = await testbed.viewer(), testbed.streamers
    id = await set_up_on_two_connections(testbed, viewer)
    (peer,) = testbed.transport.peers.values()
    connecting = asyncio.ensure_future(testbed.transport._open(peer))
    await asyncio.sleep(0)
    first, _ = peer.connections
    first.close("unreadable: closed by the test")
    await connecting
    streamer.undelivered.append(encode_release(id, 16))
    await assert_released(viewer, id)


@in_testbed(streamers=1, reports_every_ms=REPORT_INTERVAL_MS)
async def test_unread_release_keeps_a_connection_from_being_closed_to_make_room(testbed):
    # Guards against: the connection that was idle for longest was closed with a release unread on it.
    viewer, (streamer,) = await testbed.viewer(), testbed.streamers
    id = await set_up_on_two_connections(testbed, viewer)
    (peer,) = testbed.transport.peers.values()
    testbed.transport.configuration = dataclasses.replace(
        testbed.transport.configuration,
        descriptors=Descriptors(max_viewer_connections=2, max_streamer_connections=2),
    )
    for writer in streamer.connections:
        writer.write(encode_release(id, 16))  # is in the socket once this returns
    with pytest.raises(ConnectionLimitError):
        testbed.transport._ensure_capacity()  # in the same turn of the event loop: nothing is read yet
    assert len(peer.open_connections()) == 2
    await assert_released(viewer, id)


@in_testbed(streamers=1, reports_every_ms=REPORT_INTERVAL_MS)
async def test_release_of_a_streamer_directly_before_noise_is_handled(testbed):
    # Guards against: messages decoded before unreadable bytes of the same read were dropped with them.
    viewer, (streamer,) = await testbed.viewer(), testbed.streamers
    id, _ = await testbed.set_up_playback(viewer)
    streamer.send(encode_release(id, 16) + NOISE)
    await assert_released(viewer, id)


@in_testbed(streamers=1, reports_every_ms=REPORT_INTERVAL_MS)
async def test_release_of_a_viewer_directly_before_noise_ends_the_playback(testbed):
    # Guards against: messages decoded before unreadable bytes of the same read were dropped with them.
    viewer, (streamer,) = await testbed.viewer(), testbed.streamers
    id, _ = await testbed.set_up_playback(viewer)
    viewer.send(encode_release(id, m.OVER) + NOISE)
    await wait_until(lambda: streamer.received_ids(m.RELEASE) == [id])
    assert not testbed.core.playbacks


def test_reader_hands_out_the_messages_before_unreadable_bytes():
    reader = MessageReader(0, partial_timeout=1)
    with pytest.raises(MessageFramingError) as raised:
        reader.receive(0, encode_message(m.TEST, b"12345678") * 2 + NOISE)
    assert [message.type for message in raised.value.preceding] == [m.TEST, m.TEST]
