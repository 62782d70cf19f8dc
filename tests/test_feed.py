"""The control feed: what of its replies is taken, and what may cross a call, a reply and a move."""

import asyncio
import contextlib
import json

import pytest
from platform_world import in_world
from world import Log, until

from terndrift.interface import Standing
from terndrift.platform import settings
from terndrift.platform.feed import Feed, FeedReplyError


def following(got, said=None, held=0, unreadable=()):
    """A feed that keeps what it hands on; of the events numbered in `unreadable` something can't be read."""

    def apply(event, complete):
        got.append((event["n"], complete))
        return "a row of the list" if event["n"] in unreadable else None

    return Feed("127.0.0.1:1", held, apply, Log([] if said is None else said))


def reply(*numbers, last=None):
    return {"n": last or max(numbers, default=0), "events": [{"n": n} for n in numbers]}


def test_events_are_handed_on_once_and_in_order():
    got = []
    feed = following(got, held=2)
    feed.apply_reply(reply(2, 4, 3))
    feed.apply_reply(reply(3, 4))
    assert got == [(3, False), (4, False)] and feed.held == 4


def test_the_number_of_the_last_event_is_not_held_for_the_events_that_a_reply_lacks():
    got = []
    feed = following(got)
    feed.apply_reply(reply(1, 2, last=5))
    assert feed.held == 2, "3 to 5 would never be asked for"
    feed.apply_reply(reply(3, 4, 5))
    assert [n for n, _ in got] == [1, 2, 3, 4, 5]


def test_a_missing_event_is_asked_for_once_more_and_then_passed_over():
    got, said = [], []
    feed = following(got, said)
    with pytest.raises(FeedReplyError, match="event 2: missing"):
        feed.apply_reply(reply(1, 3))
    assert feed.held == 1 and got == [(1, False)]
    feed.apply_reply(reply(2, 3))
    assert [n for n, _ in got] == [1, 2, 3] and not said
    with pytest.raises(FeedReplyError, match="event 4: missing"):
        feed.apply_reply(reply(5, 6))
    feed.apply_reply(reply(5, 6))
    assert [n for n, _ in got] == [1, 2, 3, 5, 6] and feed.held == 6
    assert ["passed over" in facts["why"] for _, _, facts in said] == [True]


def test_a_whole_list_needs_nothing_that_came_before_it():
    got = []
    feed = following(got)
    feed.apply_reply({"n": 7, "events": [{"n": 7, "members": {"whole": True, "hosts": []}}]})
    assert feed.held == 7 and got == [(7, False)]


def test_an_event_that_can_not_be_read_is_not_held_until_it_came_the_same_twice():
    got, said = [], []
    feed = following(got, said, unreadable={2})
    with pytest.raises(FeedReplyError, match="event 2: a row"):
        feed.apply_reply(reply(1, 2, 3))
    assert feed.held == 1
    feed.apply_reply(reply(2, 3))
    assert got == [(1, False), (2, False), (2, True), (3, False)] and feed.held == 3
    feed.apply_reply(reply(2, 3))
    assert len(got) == 4, "it does not come again"
    assert [level for level, _, _ in said] == ["warning"]


def test_what_is_no_event_counts_as_one_that_is_missing():
    got, said = [], []
    feed = following(got, said)
    spoilt = {"n": 3, "events": ["?", {"members": {}}, {"n": "2"}, {"n": 3}]}
    with pytest.raises(FeedReplyError):
        feed.apply_reply(spoilt)
    assert not got and feed.held == 0
    feed.apply_reply(spoilt)
    assert [n for n, _ in got] == [3] and feed.held == 3 and len(said) == 3


@pytest.mark.parametrize("bad", [None, [], {}, {"events": None}, {"events": {"n": 1}}, 7])
def test_a_reply_of_another_form_is_named(bad):
    with pytest.raises(FeedReplyError, match="no list of events"):
        following([]).apply_reply(bad)


def test_a_feed_that_is_gone_is_asked_ever_more_seldom_and_not_in_step():
    feeds, all_pauses = [Feed("127.0.0.1:1", 0, None, Log([]), seed) for seed in range(50)], []
    for feed in feeds:
        pauses = []
        for feed.failed_calls in range(1, 60):  # noqa: B020
            pauses.append(feed.retry_delay())
        assert pauses[0] <= 0.1 and all(0.4 <= p <= 0.8 for p in pauses[3:]), "asked again within 2 s"
        all_pauses.append(tuple(pauses))
    assert len(set(all_pauses)) == 50
    feeds[0].set_address("127.0.0.1:2")
    assert feeds[0].failed_calls == 0, "at another address it is asked at once"


# Over sockets.


class Scripted:
    """A feed of which each call gets the next of `replies`: bytes written as they are, or a coroutine
    function called with (reader, writer) that returns False to end the connection."""

    def __init__(self, *replies):
        self.replies, self.asked, self.open = list(replies), [], 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        self.open += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.asked.append(head.split()[1])
                what = self.replies.pop(0) if self.replies else silent
                if isinstance(what, bytes):
                    writer.write(what)
                elif await what(reader, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


async def silent(reader, writer):
    """Nothing, until the other side ends."""
    await reader.read()


def http(value, cut=0):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    return data[: len(data) - cut]


def broken_off(value, cut):
    async def write(_, writer):
        writer.write(http(value, cut))
        return False

    return write


@contextlib.asynccontextmanager
async def followed(feed, server=None):
    """A feed at that server's address, if there is one, that is followed meanwhile."""
    if server is not None:
        feed.address = server.address
    task = asyncio.ensure_future(feed.follow())
    yield feed
    task.cancel()


def run(test):
    asyncio.run(asyncio.wait_for(test, 60))


def test_replies_cut_garbled_or_of_another_form_end_no_feed():
    deep = b"[" * 100_000 + b"]" * 100_000

    async def inside():
        got, said = [], []
        async with Scripted(
            broken_off(reply(1), 5),
            http(b"{"),
            http(deep),
            http(b"\xff\xfe"),
            http([1]),
            b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            broken_off({}, 40),
            http(reply(1, 2)),
        ) as server:
            async with followed(following(got, said), server) as feed:
                await until(lambda: feed.held == 2)
            assert [n for n, _ in got] == [1, 2]
            assert not [level for level, _, _ in said if level == "error"]

    run(inside())


def test_a_call_given_up_leaves_no_connection_behind():
    async def inside():
        async with Scripted() as old, Scripted(http(reply(1))) as new, followed(following([]), old) as feed:
            await until(lambda: old.asked)
            feed.set_address(new.address)
            await until(lambda: feed.held == 1)
            await until(lambda: not old.open)

    run(inside())


def test_a_move_while_a_call_that_broke_is_waited_off_asks_the_new_address_at_once():
    async def inside():
        async with Scripted(http(reply(1))) as new:
            feed = following([])
            feed.retry_delay = lambda: 3600
            async with followed(feed):
                await until(lambda: feed.failed_calls)
                feed.set_address(new.address)
                await until(lambda: feed.held == 1)

    run(inside())


def test_a_move_between_a_reply_and_its_use_loses_neither():
    async def inside():
        got = []
        async with Scripted(http(reply(1, 2))) as old, Scripted(http(reply(2, 3))) as new:
            feed = following(got)
            feed.address = old.address
            ask = feed._poll

            async def ask_and_move(*args):
                task = asyncio.ensure_future(ask(*args))
                await until(lambda: feed.call is not None and feed.call.done() or task.done())
                feed.set_address(new.address)
                return await task

            feed._poll = ask_and_move
            async with followed(feed):
                await until(lambda: feed.held == 3)
            assert [n for n, _ in got] == [1, 2, 3] and "SUB=2" in new.asked[0]

    run(inside())


def test_a_feed_at_a_dead_address_is_left_for_the_next_one():
    async def inside():
        async with Scripted() as old, Scripted(http(reply(1))) as new, followed(following([]), old) as feed:
            await until(lambda: old.asked)
            feed.set_address("127.0.0.1:1")
            await until(lambda: feed.failed_calls)
            feed.set_address(new.address)
            await until(lambda: feed.held == 1)

    run(inside())


def test_a_first_call_that_is_not_answered_is_given_up_and_leaves_no_connection():
    async def inside():
        async with Scripted() as server:
            feed = following([])
            feed.address = server.address
            await feed.fetch_initial()
            await until(lambda: not server.open)
            assert feed.held == 0

    run(inside())


@in_world
async def test_a_drain_in_a_row_spoilt_once_reaches_the_decisions(world):
    """The first time that it is told it can't be read: it must not count as held."""
    world.feed.tell({**world.streamers[0].row("draining"), "block": "?"}, world.streamers[1].row())
    await until(lambda: world.service.feed.retried_event == 2)
    world.feed.events[-1]["members"]["hosts"][0] = world.streamers[0].row("draining")
    at = world.by_name("s-00000000")
    await until(lambda: at.listed.standing is Standing.DRAINING)
    assert not [s for s in world.said if s[0] == "warning"]


@in_world(streamers=3)
async def test_a_whole_list_with_a_row_that_can_not_be_read_drops_nobody_the_first_time(world):
    rows = [s.row() for s in world.streamers[:2]]
    world.feed.tell(rows[0], {**rows[1], "share": []}, whole=True)
    await until(lambda: world.service.feed.retried_event == 2)
    standing = {s.name: world.by_name(s.name).listed.standing for s in world.streamers}
    assert set(standing.values()) == {Standing.READY}
    world.feed.events[-1]["members"]["hosts"][1] = rows[1]
    await until(lambda: world.service.feed.held == 2)
    assert world.by_name("s-00000002").listed.standing is Standing.GONE
    assert world.by_name("s-00000001").listed.standing is Standing.READY
    assert settings.streamer_id("s-00000001") in world.carrier.peers
