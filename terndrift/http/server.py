"""A listener that hands each request to one coroutine, and bounds what a client can make it hold."""

import asyncio
import json
import socket
import time

from tornado import httputil
from tornado.http1connection import HTTP1ConnectionParameters, HTTP1ServerConnection
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from terndrift.socket_state import is_closed_by_peer

REASONS = {
    200: "OK",
    204: "No Content",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


# Fields of a request's head. Players send some thirty; to parse one field takes some µs and 200 bytes.
MAX_HEADER_FIELDS = 100
# Chunks of a request's body, each of which costs as much as a small request.
MAX_BODY_CHUNKS = 256
# Requests in the unread input of a client that has closed that are still handled, as it may have ended
# playbacks by them.
MAX_REQUESTS_AFTER_CLOSE = 16
# A segment or so of a high rung: the system's own choice grows to megabytes for each slow client.
SEND_BUFFER = 128 * 1024


class RequestLimits:
    """Limits of the requests on one stream, beside those on bytes that Tornado keeps.

    Tornado parses a whole head before its delegate hears of it, and reads a body chunk by chunk, which holds
    up all other connections if there are very many fields or chunks. Takes the place of the stream's methods
    by which it reads these.
    """

    def __init__(self, stream):
        self.stream, self.chunk_count, self.requests_after_close = stream, 0, 0
        self.read_until_regex, self.read_until = stream.read_until_regex, stream.read_until
        stream.read_until_regex, stream.read_until = self.read_head, self.read_chunk_size

    async def read_head(self, regex, max_bytes=None):
        """Returns the head of a request; answers 431 and closes the stream if it has too many fields.

        Raises StreamClosedError after MAX_REQUESTS_AFTER_CLOSE requests on a stream that is closed.
        """
        if self.stream.closed():
            self.requests_after_close += 1
            if self.requests_after_close > MAX_REQUESTS_AFTER_CLOSE:
                raise StreamClosedError
        head = await self.read_until_regex(regex, max_bytes)
        if head.count(b"\n") > MAX_HEADER_FIELDS + 2:  # with the request line and the empty line
            await self.stream.write(
                b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
                b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )
            self.stream.close()
            raise StreamClosedError
        self.chunk_count = 0
        return head

    def read_chunk_size(self, delimiter, max_bytes=None):
        """Reads the line in front of a chunk; raises HTTPInputError, which is answered 400, if there are
        too many."""
        self.chunk_count += 1
        if self.chunk_count > MAX_BODY_CHUNKS + 1:  # with the line that ends the body
            raise httputil.HTTPInputError("too many chunks")
        return self.read_until(delimiter, max_bytes)


class Gone(Exception):
    """The client of an exchange has left, or takes nothing any more."""


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its one answer."""

    def __init__(self, server, connection, stream):
        self.server, self.connection, self.stream = server, connection, stream
        self.method = self.path = self.query = ""
        self.headers, self.body = httputil.HTTPHeaders(), bytearray()
        self.answered, self.gone, self.too_large = False, False, False
        self.on_gone = None  # called once, if the client leaves before the answer is out
        self.task = None

    @property
    def source(self):
        return self.server.peers.get(self.stream, "?")

    def headers_received(self, start_line, headers):
        self.method, self.headers = start_line.method, headers
        self.path, _, self.query = start_line.path.partition("?")
        size = len(start_line.path) + sum(len(k) + len(v) + 4 for k, v in headers.get_all())
        self.too_large = size > self.server.header_size
        return None

    def data_received(self, chunk):
        self.body += chunk  # bounded by max_body_size of the connection

    def finish(self):
        self.connection.set_close_callback(self._left)
        self.server.exchanges.add(self)
        self.task = asyncio.ensure_future(self._serve())

    def on_connection_close(self):
        self._left()

    def _left(self):
        if not self.gone and not self.answered:
            self.gone = True
            if self.on_gone:
                self.on_gone()

    async def _serve(self):
        try:
            if self.too_large:
                await self.reply(431, text="headers too large")
            else:
                await self.server.handle(self)
            if not self.answered and not self.gone:
                await self.reply(500, text="no answer was made")
        except (Gone, StreamClosedError):
            self._left()
        except Exception as fault:  # told by the server's owner; the client gets an answer if none went out
            self.server.fault(self, fault)
            if not self.answered and not self.gone:
                try:
                    await self.reply(500, text="internal error")
                except (Gone, StreamClosedError):
                    self._left()
            else:
                self.stream.close()
        finally:
            self.server.exchanges.discard(self)

    def start(self, code, headers, length=None, body=None):
        """Sends the head of the answer; `length` None: sent in chunks. Awaitable: until it is taken."""
        if self.gone:
            raise Gone
        self.answered = True
        out = httputil.HTTPHeaders(headers)
        if length is not None:
            out["Content-Length"] = str(length)
        if self.server.closing:
            out["Connection"] = "close"
            self.connection._disconnect_on_finish = True
        # Tornado turns Nagle's algorithm on again after each answer; with a head and a body written apart,
        # the body would wait 40 ms for the client's delayed acknowledgement of the head
        self.stream.set_nodelay(True)
        return self.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", code, REASONS.get(code, "Unknown")), out, body
        )

    async def reply(self, code, headers=(), body=b"", text=None, data=None):
        """The whole answer: `body` bytes, or `text`, or `data` as JSON."""
        headers = dict(headers)
        if data is not None:
            body = json.dumps(data).encode()
            headers.setdefault("Content-Type", "application/json")
        elif text is not None:
            body = (text + "\n").encode()
            headers.setdefault("Content-Type", "text/plain; charset=utf-8")
        length = None if code == 204 else len(body)
        head = self.start(code, headers, length, body if self.method != "HEAD" else None)
        self.connection.finish()
        await self.took(head)

    async def took(self, written, within=None):
        """Waits until the client's socket has taken what was written; raises Gone if it does not in time."""
        try:
            await asyncio.wait_for(asyncio.shield(written), within or self.server.stall)
        except (TimeoutError, StreamClosedError):
            self.gone = True
            self.stream.close()
            raise Gone from None

    def finish_answer(self):
        if not self.stream.closed():
            self.connection.finish()

    def leave_if_client_has(self):
        """Closes the stream and raises Gone if the client has closed or shut down its side.

        That shows here though requests that it sent before are still unread. Their answers reach nobody.
        """
        if not self.stream.closed():
            if not is_closed_by_peer(self.stream.socket):
                return
            self.stream.close()
        raise Gone

    def cut(self):
        """Breaks the answer off: the client must not take what it has for all there is."""
        self.stream.close()


class Server(TCPServer, httputil.HTTPServerConnectionDelegate):
    """Serves `handle(exchange)`, a coroutine that answers once. `fault(exchange, error)` hears of a bug.

    `connections` bounds how many are open; one more is answered 503 and closed."""

    def __init__(
        self,
        handle,
        connections=4000,
        header_size=16384,
        header_time=15.0,
        stall=10.0,
        body_size=65536,
        fault=None,
    ):
        super().__init__(max_buffer_size=max(4 * header_size, body_size, 262144), read_chunk_size=65536)
        self.handle, self.most, self.header_size, self.stall = handle, connections, header_size, stall
        self.fault = fault or (lambda exchange, error: None)
        self.params = HTTP1ConnectionParameters(
            chunk_size=65536,
            max_header_size=4 * header_size,
            header_timeout=header_time,
            max_body_size=body_size,
            body_timeout=header_time,
        )
        self.peers = {}  # stream -> address of the client
        self.wires = {}  # stream -> HTTP1ServerConnection
        self.exchanges = set()
        self.closing, self.turned_away = False, 0

    def listen_on(self, address):
        """Listens on 'host:port' (port 0: the system's choice) and returns the address in force."""
        host, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), host, family=socket.AF_INET, backlog=1024)
        self.add_sockets(sockets)
        return "{}:{}".format(*sockets[0].getsockname()[:2])

    def handle_stream(self, stream, address):
        if len(self.peers) >= self.most:
            self.turned_away += 1
            stream.write(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            ).add_done_callback(lambda done: (done.exception(), stream.close()))
            return
        # small answers must not wait for the client's delayed acknowledgements
        stream.set_nodelay(True)
        # what a client does not take waits at the streamer, not here
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        RequestLimits(stream)
        self.peers[stream] = address[0]
        wire = self.wires[stream] = HTTP1ServerConnection(stream, self.params)
        wire.start_serving(self)

    def start_request(self, server_conn, request_conn):
        return Exchange(self, request_conn, server_conn.stream)

    def on_close(self, server_conn):
        self.peers.pop(server_conn.stream, None)
        self.wires.pop(server_conn.stream, None)

    async def drain(self, seconds):
        """Takes no new connections, lets what is being answered finish for so long, then closes the rest."""
        self.closing = True
        self.stop()
        until = time.monotonic() + seconds
        while self.exchanges and time.monotonic() < until:
            await asyncio.wait([e.task for e in self.exchanges], timeout=max(0, until - time.monotonic()))
        self.close_all()

    def close_all(self):
        for stream in list(self.peers):
            stream.close()
