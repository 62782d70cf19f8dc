"""Control feed client: which events of a reply are applied, and address changes during a call or backoff."""

import asyncio
import contextlib
import json

import pytest
from platform_testbed import in_testbed
from testbed import RecordingLog, wait_until

from terndrift.http.client import Broken
from terndrift.interface import Standing
from terndrift.platform import feed as feed_module
from terndrift.platform import settings
from terndrift.platform.feed import Feed, FeedReplyError


def recording_feed(applied, log_entries=None, held=0, unreadable=()):
    """A Feed that appends (event number, final) to `applied`; events in `unreadable` are reported as such."""

    def apply_event(event, final):
        applied.append((event["n"], final))
        return "a row of the list" if event["n"] in unreadable else None

    return Feed("127.0.0.1:1", held, apply_event, RecordingLog([] if log_entries is None else log_entries))


def reply(*numbers, last=None):
    """A feed reply with events of these numbers; `last`: the newest number that the server claims."""
    return {"n": last or max(numbers, default=0), "events": [{"n": n} for n in numbers]}


def test_events_are_applied_once_and_in_order():
    applied = []
    feed = recording_feed(applied, held=2)
    feed.apply_reply(reply(2, 4, 3))
    feed.apply_reply(reply(3, 4))
    assert applied == [(3, False), (4, False)] and feed.held == 4


def test_position_advances_only_to_the_last_event_received():
    applied = []
    feed = recording_feed(applied)
    feed.apply_reply(reply(1, 2, last=5))
    assert feed.held == 2, "events 3 to 5 would never be requested"
    feed.apply_reply(reply(3, 4, 5))
    assert [n for n, _ in applied] == [1, 2, 3, 4, 5]


def test_missing_event_is_requested_again_once_then_skipped():
    applied, log_entries = [], []
    feed = recording_feed(applied, log_entries)
    with pytest.raises(FeedReplyError, match="event 2: missing"):
        feed.apply_reply(reply(1, 3))
    assert feed.held == 1 and applied == [(1, False)]
    feed.apply_reply(reply(2, 3))
    assert [n for n, _ in applied] == [1, 2, 3] and not log_entries
    with pytest.raises(FeedReplyError, match="event 4: missing"):
        feed.apply_reply(reply(5, 6))
    feed.apply_reply(reply(5, 6))
    assert [n for n, _ in applied] == [1, 2, 3, 5, 6] and feed.held == 6
    assert ["passed over" in facts["why"] for _, _, facts in log_entries] == [True]


def test_full_list_is_applied_despite_a_gap_before_it():
    applied = []
    feed = recording_feed(applied)
    feed.apply_reply({"n": 7, "events": [{"n": 7, "members": {"whole": True, "hosts": []}}]})
    assert feed.held == 7 and applied == [(7, False)]


def test_unreadable_event_is_requested_again_once_then_skipped():
    applied, log_entries = [], []
    feed = recording_feed(applied, log_entries, unreadable={2})
    with pytest.raises(FeedReplyError, match="event 2: a row"):
        feed.apply_reply(reply(1, 2, 3))
    assert feed.held == 1
    feed.apply_reply(reply(2, 3))
    assert applied == [(1, False), (2, False), (2, True), (3, False)] and feed.held == 3
    feed.apply_reply(reply(2, 3))
    assert len(applied) == 4, "a skipped event is not applied again"
    assert [level for level, _, _ in log_entries] == ["warning"]


def test_malformed_event_counts_as_missing():
    applied, log_entries = [], []
    feed = recording_feed(applied, log_entries)
    damaged = {"n": 3, "events": ["?", {"members": {}}, {"n": "2"}, {"n": 3}]}
    with pytest.raises(FeedReplyError):
        feed.apply_reply(damaged)
    assert not applied and feed.held == 0
    feed.apply_reply(damaged)
    assert [n for n, _ in applied] == [3] and feed.held == 3 and len(log_entries) == 3


@pytest.mark.parametrize("malformed", [None, [], {}, {"events": None}, {"events": {"n": 1}}, 7])
def test_reply_without_an_event_list_is_rejected(malformed):
    with pytest.raises(FeedReplyError, match="no list of events"):
        recording_feed([]).apply_reply(malformed)


def test_backoff_grows_with_failures_and_differs_between_controllers():
    feeds, all_delays = [Feed("127.0.0.1:1", 0, None, RecordingLog([]), seed) for seed in range(50)], []
    for feed in feeds:
        delays = []
        for feed.failed_calls in range(1, 60):  # noqa: B020
            delays.append(feed.retry_delay())
        assert delays[0] <= 0.1 and all(0.4 <= delay <= 0.8 for delay in delays[3:]), (
            "the next call must come within 2 s"
        )
        all_delays.append(tuple(delays))
    assert len(set(all_delays)) == 50
    feeds[0].set_address("127.0.0.1:2")
    assert feeds[0].failed_calls == 0, "no backoff at a new address"


# Over sockets.


class ScriptedServer:
    """A feed server that answers each request with the next of `replies`.

    A reply is either bytes, written as they are, or a coroutine function called with (reader, writer), which
    returns False to end the connection. Once `replies` are used up, requests are never answered.
    """

    def __init__(self, *replies):
        self.replies, self.requested_paths, self.open_connections = list(replies), [], 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        self.open_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.requested_paths.append(head.split()[1])
                next_reply = self.replies.pop(0) if self.replies else never_reply
                if isinstance(next_reply, bytes):
                    writer.write(next_reply)
                elif await next_reply(reader, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()


async def never_reply(reader, writer):
    """A reply of ScriptedServer: sends nothing until the client closes the connection."""
    await reader.read()


def http_response(value, cut=0):
    """An HTTP 200 response with `value` as JSON, or as it is if bytes, without its last `cut` bytes."""
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    return data[: len(data) - cut]


def truncated_response(value, cut):
    """A reply of ScriptedServer: a response cut short, after which the connection ends."""

    async def write(_, writer):
        writer.write(http_response(value, cut))
        return False

    return write


@contextlib.asynccontextmanager
async def polling(feed, server=None):
    """Runs `feed.follow` within the context, at the server's address if one is given."""
    if server is not None:
        feed.address = server.address
    task = asyncio.ensure_future(feed.follow())
    yield feed
    task.cancel()


def run(test):
    """Runs a coroutine with a timeout of 60 s."""
    asyncio.run(asyncio.wait_for(test, 60))


def test_polling_continues_after_truncated_or_malformed_replies():
    deeply_nested = b"[" * 100_000 + b"]" * 100_000

    async def scenario():
        applied, log_entries = [], []
        async with ScriptedServer(
            truncated_response(reply(1), 5),
            http_response(b"{"),
            http_response(deeply_nested),
            http_response(b"\xff\xfe"),
            http_response([1]),
            b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            truncated_response({}, 40),
            http_response(reply(1, 2)),
        ) as server:
            async with polling(recording_feed(applied, log_entries), server) as feed:
                await wait_until(lambda: feed.held == 2)
            assert [n for n, _ in applied] == [1, 2]
            assert not [level for level, _, _ in log_entries if level == "error"]

    run(scenario())


def test_cancelled_call_leaves_no_connection_open():
    async def scenario():
        async with (
            ScriptedServer() as old_server,
            ScriptedServer(http_response(reply(1))) as new_server,
            polling(recording_feed([]), old_server) as feed,
        ):
            await wait_until(lambda: old_server.requested_paths)
            feed.set_address(new_server.address)
            await wait_until(lambda: feed.held == 1)
            await wait_until(lambda: not old_server.open_connections)

    run(scenario())


def test_address_change_during_backoff_polls_the_new_address_at_once():
    async def scenario():
        async with ScriptedServer(http_response(reply(1))) as new_server:
            feed = recording_feed([])
            feed.retry_delay = lambda: 3600
            async with polling(feed):
                await wait_until(lambda: feed.failed_calls)
                feed.set_address(new_server.address)
                await wait_until(lambda: feed.held == 1)

    run(scenario())


def test_address_change_between_a_reply_and_its_use_loses_no_event():
    async def scenario():
        applied = []
        async with (
            ScriptedServer(http_response(reply(1, 2))) as old_server,
            ScriptedServer(http_response(reply(2, 3))) as new_server,
        ):
            feed = recording_feed(applied)
            feed.address = old_server.address
            poll = feed._poll

            async def poll_and_change_address(*args):
                task = asyncio.ensure_future(poll(*args))
                await wait_until(lambda: feed.call is not None and feed.call.done() or task.done())
                feed.set_address(new_server.address)
                return await task

            feed._poll = poll_and_change_address
            async with polling(feed):
                await wait_until(lambda: feed.held == 3)
            assert [n for n, _ in applied] == [1, 2, 3] and "SUB=2" in new_server.requested_paths[0]

    run(scenario())


def test_address_change_from_an_unreachable_address_is_followed():
    async def scenario():
        async with (
            ScriptedServer() as old_server,
            ScriptedServer(http_response(reply(1))) as new_server,
            polling(recording_feed([]), old_server) as feed,
        ):
            await wait_until(lambda: old_server.requested_paths)
            feed.set_address("127.0.0.1:1")
            await wait_until(lambda: feed.failed_calls)
            feed.set_address(new_server.address)
            await wait_until(lambda: feed.held == 1)

    run(scenario())


def test_cancellation_that_meets_a_failing_call_still_ends_the_polling(monkeypatch):
    """A controller that shuts down while a call fails must not go on polling."""

    calls = []

    async def fail_when_first_cancelled(*_, **__):
        calls.append(None)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if len(calls) > 1:
                raise
            raise Broken("connection lost") from None

    async def scenario():
        monkeypatch.setattr(feed_module, "fetch", fail_when_first_cancelled)
        task = asyncio.ensure_future(recording_feed([]).follow())
        await wait_until(lambda: calls)
        task.cancel()
        ended, _ = await asyncio.wait([task], timeout=2)
        assert ended and len(calls) == 1

    run(scenario())


def test_unanswered_initial_call_times_out_and_leaves_no_connection_open():
    async def scenario():
        async with ScriptedServer() as server:
            feed = recording_feed([])
            feed.address = server.address
            await feed.fetch_initial()
            await wait_until(lambda: not server.open_connections)
            assert feed.held == 0

    run(scenario())


@in_testbed
async def test_drain_in_a_row_damaged_once_is_applied(testbed):
    """A drain must not be lost when its row is unreadable on first receipt: it does not count as applied."""
    testbed.feed.publish(
        {**testbed.streamers[0].list_row("draining"), "block": "?"}, testbed.streamers[1].list_row()
    )
    await wait_until(lambda: testbed.service.feed.retried_event == 2)
    testbed.feed.events[-1]["members"]["hosts"][0] = testbed.streamers[0].list_row("draining")
    streamer = testbed.streamer_state("s-00000000")
    await wait_until(lambda: streamer.entry.standing is Standing.DRAINING)
    assert not [entry for entry in testbed.log_lines if entry[0] == "warning"]


@in_testbed(streamers=3)
async def test_full_list_with_an_unreadable_row_removes_no_streamer_on_first_receipt(testbed):
    rows = [s.list_row() for s in testbed.streamers[:2]]
    testbed.feed.publish(rows[0], {**rows[1], "share": []}, complete=True)
    await wait_until(lambda: testbed.service.feed.retried_event == 2)
    standings = {s.name: testbed.streamer_state(s.name).entry.standing for s in testbed.streamers}
    assert set(standings.values()) == {Standing.READY}
    testbed.feed.events[-1]["members"]["hosts"][1] = rows[1]
    await wait_until(lambda: testbed.service.feed.held == 2)
    assert testbed.streamer_state("s-00000002").entry.standing is Standing.GONE
    assert testbed.streamer_state("s-00000001").entry.standing is Standing.READY
    assert settings.streamer_id("s-00000001") in testbed.transport.peers
