"""What one HTTP client sends costs the other clients of the same process little."""

import asyncio

import pytest
from testbed import in_testbed, wait_until
from tornado import httputil

from terndrift.http.server import MAX_BODY_CHUNKS, MAX_HEADER_FIELDS, MAX_REQUESTS_AFTER_CLOSE


async def response_to(testbed, data):
    """Sends `data` on a new connection and returns what comes back until its end."""
    sock = testbed.send_raw(data)
    sock.setblocking(False)
    loop, received = asyncio.get_running_loop(), b""
    while part := await asyncio.wait_for(loop.sock_recv(sock, 65536), 5):
        received += part
    sock.close()
    return received


def request_with_fields(count):
    """A request for a page that does not exist, with `count` fields in its head."""
    fields = [b"Host: x\r\n", b"Connection: close\r\n", *(b"a%d: \r\n" % n for n in range(count - 2))]
    return b"GET /nothing HTTP/1.1\r\n" + b"".join(fields) + b"\r\n"


@pytest.mark.parametrize("count", [MAX_HEADER_FIELDS + 1, 5000])
def test_head_of_very_many_fields_is_answered_431_without_parsing_them(count, monkeypatch):
    # Guards against: hundreds of heads of 7,000 short fields held the event loop for seconds, at 1 MB each.
    parsed = []

    async def test(testbed):
        parse_line = httputil.HTTPHeaders.parse_line

        def counting_parse_line(headers, line, **options):
            parsed.append(line)
            parse_line(headers, line, **options)

        monkeypatch.setattr(httputil.HTTPHeaders, "parse_line", counting_parse_line)
        assert (await response_to(testbed, request_with_fields(count))).startswith(b"HTTP/1.1 431 ")
        assert not parsed

    in_testbed(test)()


@in_testbed
async def test_head_with_as_many_fields_as_allowed_is_served(testbed):
    assert b" 404 " in await response_to(testbed, request_with_fields(MAX_HEADER_FIELDS))


@in_testbed
async def test_body_of_very_many_chunks_is_cut(testbed):
    # Guards against: tens of clients with bodies in chunks of one byte delayed all others by seconds.
    head = b"POST /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk, end = b"1\r\nx\r\n", b"0\r\n\r\n"
    assert b" 405 " in await response_to(testbed, head + chunk * MAX_BODY_CHUNKS + end)
    assert b" 400 " in await response_to(testbed, head + chunk * (MAX_BODY_CHUNKS + 2) + end)


@in_testbed
async def test_pipelined_set_ups_are_not_started_after_their_client_closed(testbed):
    # Guards against: the close was not seen behind unread requests, which were set up one by one for seconds.
    request = 'GET /v/long/main.m3u8 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid="v{}"\r\n\r\n'
    requests = "".join(request.format(number) for number in range(200))
    testbed.send_raw(requests.encode()).close()
    await asyncio.sleep(0.1)
    started = len(testbed.streamer_events("try"))
    await wait_until(lambda: not testbed.service.server.peers)
    await asyncio.sleep(0.2)
    assert len(testbed.streamer_events("try")) <= started + 1  # one may be on its way


@in_testbed
async def test_playback_is_left_by_a_client_that_does_not_await_the_answer(testbed):
    await testbed.request_playback("long")
    path = next(iter(testbed.service.front.seats.seats))
    testbed.send_raw(f"DELETE /p/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()).close()
    await wait_until(lambda: not testbed.service.core.playbacks)


@in_testbed
async def test_unread_requests_of_a_client_that_closed_are_parsed_in_a_bounded_number(testbed):
    # Guards against: hundreds of requests that nobody awaits were parsed for each connection that was closed.
    handle, handled = testbed.service.server.handle, []

    async def counting_handle(exchange):
        handled.append(exchange.path)
        await handle(exchange)

    testbed.service.server.handle = counting_handle
    request = "GET /v/long/main.m3u8 HTTP/1.1\r\nHost: x\r\n\r\n"
    testbed.send_raw(request.encode() * 500).close()
    await wait_until(lambda: handled and not testbed.service.server.peers)
    assert len(handled) <= MAX_REQUESTS_AFTER_CLOSE + 2  # the one that met the close, one under way
