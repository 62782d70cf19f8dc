"""Requests to streamers: bounded pools of idle connections, and one call at a time on each."""

import asyncio
import socket
import time
from collections import deque

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

# How long a call waits, at most, for the other side to confirm that a call taken back is over. A process that
# runs closes its end at once; one that stands still says nothing, and waiting longer would cost the next try.
CONFIRM = 0.03


class Unreached(Exception):
    """No connection was made: nothing was sent."""


class NotTaken(Unreached):
    """The machine is there and took no connection: its process is gone, or holds as many as it takes."""


class NotNow(Unreached):
    """A connection is not to be made now: the fleet has made as many there as it may."""


class Broken(Exception):
    """The connection ended before the answer did; the request may have run."""


PARAMS = HTTP1ConnectionParameters(chunk_size=65536, max_header_size=65536, max_body_size=1 << 40)


class Pool:
    """Idle connections by address, `most` to each, dropped when the other side closes them."""

    def __init__(self, most=32, idle=20.0):
        self.most, self.idle = most, idle
        self.free = {}  # address -> deque of (stream, since)
        self.opened = self.reused = 0

    def take(self, address):
        streams = self.free.get(address)
        while streams:
            stream, since = streams.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                # one that was idle for long may be about to be closed by the other side
                if time.monotonic() - since < self.idle:
                    self.reused += 1
                    return stream
                stream.close()
        self.free.pop(address, None)
        return None

    def give(self, address, stream):
        streams = self.free.setdefault(address, deque())
        if stream.closed() or len(streams) >= self.most:
            return stream.close()
        streams.append((stream, time.monotonic()))
        stream.set_close_callback(lambda: self._closed(address, stream))
        return None

    def _closed(self, address, stream):
        left = deque((s, t) for s, t in self.free.get(address, ()) if s is not stream)
        if left:
            self.free[address] = left
        else:
            self.free.pop(address, None)

    def close(self):
        for streams in self.free.values():
            for stream, _ in streams:
                stream.set_close_callback(None)
                stream.close()
        self.free.clear()


async def connect(stream, address, within):
    """Connects a new IOStream to 'host:port' within so many seconds; raises Unreached. Closed if it can't."""
    host, _, port = address.rpartition(":")
    try:
        await asyncio.wait_for(stream.connect((host, int(port))), within)
    except StreamClosedError as wrong:
        stream.close()
        raise NotTaken(str(wrong)) from None
    except (TimeoutError, OSError, ValueError) as wrong:
        stream.close()
        raise Unreached(str(wrong) or type(wrong).__name__) from None
    except BaseException:  # given up meanwhile
        stream.close()
        raise


class Call(httputil.HTTPMessageDelegate):
    """One request on one connection, with the answer handed on piece by piece."""

    def __init__(self, pool, address):
        self.pool, self.address = pool, address
        self.stream, self.sent, self.given_up, self.finished = None, False, False, False
        self.code, self.headers = 0, httputil.HTTPHeaders()
        self.on_head = self.on_chunk = None

    async def open(self, within, fresh=False, pace=None):
        """A connection, within so many seconds; raises Unreached. `fresh`: not one that was idle, which may
        be closing just as the request goes out and would leave in doubt whether it ran. `pace(address)`: ns
        to wait before a new one is made, None: not now."""
        if not fresh and (stream := self.pool.take(self.address)):
            self.stream = stream
            return
        if pace is not None:
            if (wait := pace(self.address)) is None:
                raise NotNow("paced")
            await asyncio.sleep(wait / 1e9)
        self.stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM), read_chunk_size=65536)
        await connect(self.stream, self.address, within)
        self.pool.opened += 1
        self.stream.set_nodelay(True)

    async def run(self, method, target, headers, on_head=None, on_chunk=None, body=b""):
        """Sends the request and hands the answer on; both callbacks may return an awaitable, and nothing
        more is read until it is done. Raises Broken. Returns the status code."""
        self.on_head, self.on_chunk = on_head, on_chunk
        connection = HTTP1Connection(self.stream, True, PARAMS)
        self.sent = True
        try:
            self.stream.set_nodelay(True)  # see Exchange.start
            connection.write_headers(
                httputil.RequestStartLine(method, target, "HTTP/1.1"),
                httputil.HTTPHeaders({"Host": self.address, **headers}),
                body or None,
            )
            connection.finish()
            await connection.read_response(self)
        except (StreamClosedError, UnsatisfiableReadError) as wrong:
            self.stream.close()
            raise Broken(str(wrong)) from None
        if not self.finished:
            self.stream.close()
            raise Broken("the answer ended early")
        if self.headers.get("Connection", "").lower() == "close":
            self.stream.close()
        self.pool.give(self.address, self.stream)
        return self.code

    def headers_received(self, start_line, headers):
        self.code, self.headers = start_line.code, headers
        return self.on_head(self.code, headers) if self.on_head else None

    def data_received(self, chunk):
        return self.on_chunk(chunk) if self.on_chunk else None

    def finish(self):
        self.finished = True

    def on_connection_close(self):
        pass  # `finished` tells

    async def take_back(self):
        """Ends the call early: says so to the other side and waits a moment for it to close its end too, so
        that a try given up is known to be over before the next one goes out."""
        self.given_up = True
        stream = self.stream
        if stream is None or stream.closed():
            return
        if self.sent:
            try:
                stream.socket.shutdown(socket.SHUT_WR)
            except OSError:
                stream.close()
                return
            until = time.monotonic() + CONFIRM
            while not stream.closed() and time.monotonic() < until:
                await asyncio.sleep(0.002)
        stream.close()

    def close(self):
        if self.stream is not None:
            self.stream.close()


async def fetch(
    pool, address, method, target, headers=None, connect=1.0, within=5.0, most=1 << 20, body=b"", fresh=False
):
    """A whole small answer: (code, headers, body). Raises Unreached, Broken (also when it takes too long)."""
    call, got = Call(pool, address), bytearray()

    def collect(chunk):
        got.extend(chunk)
        if len(got) > most:
            call.close()

    await call.open(connect, fresh)
    try:
        await asyncio.wait_for(call.run(method, target, headers or {}, on_chunk=collect, body=body), within)
    except TimeoutError:
        call.close()
        raise Broken("no answer in time") from None
    except BaseException:  # given up meanwhile: its connection is of no use to another call
        call.close()
        raise
    return call.code, call.headers, bytes(got)
