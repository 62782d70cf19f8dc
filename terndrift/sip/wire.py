"""SIP over UDP and TCP, on the event loop: bytes to the bridge and back, and its alarms."""

import asyncio
import socket

from tornado.iostream import StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from terndrift.input_turns import InputAllowance, InputTurns
from terndrift.sip.datagrams import DatagramSocket
from terndrift.sip.message import Bad, Stream, read
from terndrift.socket_state import is_closed_by_peer

SECOND = 1_000_000_000
# Datagrams over this are none of ours.
LARGEST = 65_000
# A port that the system gives for datagrams may be in use for streams: another one is asked for so often.
TRIES = 50
# Streams at once, and how long one may say nothing before it has said a whole message.
STREAMS, IDLE = 1000, 300.0
# Bytes read from a stream at once, and those whose messages are handled at once, a few messages.
READ_CHUNK_BYTES, BATCH_BYTES = 64 * 1024, 4 * 1024
# Bytes that may be queued for a caller's stream; one who does not read is disconnected.
MAX_UNSENT_BYTES = 256 * 1024
# Media servers with a socket of their own; over that the one not called for longest loses its.
LINES = 512


class Peer:
    """`address`: (host, port, ...)"""

    def __init__(self, address):
        self.address = address

    @property
    def source(self):
        return self.address[0]


class Udp(Peer):
    """Where datagrams come from or go to."""

    reliable = False

    def __init__(self, wire, address):
        super().__init__(address)
        self.wire = wire

    def __eq__(self, other):
        return isinstance(other, Udp) and self.address == other.address

    def __hash__(self):
        return hash(self.address)

    def send(self, data):
        self.wire.datagrams.send(data, self.address)


class Line(Udp):
    """A media server, by a connected socket: only such a one hears that nobody listens there (ICMP). What is
    out to it then ends as broken, at once: it may have run, as nothing says which datagram was refused.
    Guards against calls that wait 64 T1 for a server that died; could do harm where a server restarts in the
    middle of a set-up that it would have answered after all."""

    def __init__(self, wire, address):
        super().__init__(wire, address)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.connect(address)
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.socket, self._readable)

    def send(self, data):
        try:
            self.socket.send(data)
        except ConnectionRefusedError:  # of an earlier one
            self.loop.call_soon(self._refused)
        except OSError:
            return  # no room just now: as lost on the way, and sent again

    def _readable(self):
        try:
            while True:
                self.wire.take(self.socket.recv(LARGEST), self)
        except BlockingIOError:
            return
        except ConnectionRefusedError:
            self._refused()
        except OSError:
            return

    def _refused(self):
        self.wire.do(self.wire.bridge.broken, self)

    def close(self):
        self.loop.remove_reader(self.socket)
        self.socket.close()


class Tcp(Peer):
    """A caller's stream."""

    reliable = True

    def __init__(self, stream, address):
        super().__init__(address)
        self.stream, self.has_left = stream, False

    def send(self, data):
        try:
            self.stream.write(data)
        except StreamBufferFullError:
            self.stream.close()
        except StreamClosedError:  # its end is seen where it is read
            return


class Wire:
    """Both transports on one address. `do(call, *args)` runs a call of the bridge, sends what came of it."""

    def __init__(self, clock, log):
        self.clock, self.log = clock, log
        self.bridge, self.datagrams, self.server, self.timer = None, None, None, None
        self.input_turns = InputTurns()
        self.streams, self.lines = set(), {}  # lines: address of a media server -> Line

    async def listen(self, listen):
        """Returns host and port: one for both transports, of the system's choice if 0. Raises OSError."""
        host, _, port = listen.rpartition(":")
        for left in range(TRIES, -1, -1):
            self.datagrams = DatagramSocket((host, int(port)), LARGEST, self._datagram_received)
            at = self.datagrams.address
            self.server = _Server(self)
            try:
                self.server.listen(at[1], host)
                break
            except OSError:
                self.datagrams.close()
                if int(port) or not left:
                    raise
        return host, at[1]

    def peer(self, address):
        """A media server's."""
        line = self.lines.pop(address, None)
        if line is None:
            host, _, port = address.rpartition(":")
            try:
                line = Line(self, (host, int(port)))
            except OSError:  # an address that no socket takes: sent from our own, and lost
                return Udp(self, (host, int(port)))
        self.lines[address] = line  # the one used last is the last to go
        if len(self.lines) > LINES:
            self.lines.pop(next(iter(self.lines))).close()
        return line

    def do(self, call, *args):
        call(self.clock.now(), *args)
        self.flush()

    def flush(self):
        """Sends what the bridge has for others, and sets its alarm."""
        out = self.bridge.out
        while out:
            sending, out[:] = list(out), []
            for peer, data in sending:
                peer.send(data)
        self._arm()

    def _arm(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.bridge.next_at()
        if at is not None:
            wait = max(0, at - self.clock.now()) / SECOND
            self.timer = asyncio.get_running_loop().call_later(wait, self._ring)

    def _ring(self):
        self.timer = None
        self.do(self.bridge.tick)

    def _datagram_received(self, data, address):
        if len(data) <= 4 or len(data) > LARGEST:  # a keep-alive (RFC 5626)
            return
        self.take(data, Udp(self, address))

    def take(self, data, peer):
        try:
            found = read(data)
        except Bad as bad:
            found = bad
        self.received(found, peer)

    def received(self, found, peer):
        try:
            self.do(self.bridge.received, found, peer)
        except Exception as fault:  # one message must not end the front
            self.log.error("fault of the SIP front", source=peer.source, exc_info=fault)

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.stop()
        for line in self.lines.values():
            line.close()
        for stream in list(self.streams):
            stream.close()
        if self.datagrams is not None:
            self.datagrams.close()


def _starts_call(message):
    """Whether a message, or the Bad that reading it raised, is an INVITE outside of a dialog."""
    return not isinstance(message, Bad) and message.method == "INVITE" and not message.named("to").tag


class _Server(TCPServer):
    def __init__(self, wire):
        super().__init__(max_buffer_size=2 * READ_CHUNK_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        self.wire = wire

    def _handle(self, found, peer):
        """Hands messages of one read on; those that start a call are dropped if the caller has left.

        That may show while much of what he sent is still unread. His earlier calls end then.
        """
        has_left = peer.stream.closed() or is_closed_by_peer(peer.stream.socket)
        if has_left and not peer.has_left:
            peer.has_left = True
            self.wire.do(self.wire.bridge.broken, peer)
        for message in found:
            if not (has_left and _starts_call(message)):
                self.wire.received(message, peer)

    async def handle_stream(self, stream, address):
        wire, reader, peer = self.wire, Stream(), Tcp(stream, address)
        if len(wire.streams) >= STREAMS:
            stream.close()
            return
        wire.streams.add(stream)
        stream.max_write_buffer_size = MAX_UNSENT_BYTES
        allowance = InputAllowance(wire.clock.now())
        try:
            while True:
                if allowance.is_used_up(wire.clock.now()):
                    await wire.input_turns.next_turn()
                data = await asyncio.wait_for(stream.read_bytes(BATCH_BYTES, partial=True), IDLE)
                started_at = wire.clock.now()
                self._handle(reader.feed(data), peer)
                allowance.charge(started_at, wire.clock.now())
        except (StreamClosedError, TimeoutError, Bad):
            stream.close()
        finally:
            wire.streams.discard(stream)
            wire.do(wire.bridge.broken, peer)
