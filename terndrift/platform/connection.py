"""One TCP connection that carries platform messages, on a Tornado stream.

The front uses it for viewers and the transport for streamers. It passes decoded messages to a callback and
never interprets them.
"""

import asyncio
import select
import socket
from enum import Enum

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from terndrift.input_turns import InputAllowance
from terndrift.platform.message import MessageFramingError
from terndrift.platform.message_reader import MessageReader

# Bytes read from a socket at once.
READ_CHUNK_BYTES = 64 * 1024
# Bytes whose messages are handled at once; bounds the time that this holds the event loop.
BATCH_BYTES = 2 * 1024
# Bytes that may be queued for sending, about a thousand answers; a peer that stops reading is disconnected.
MAX_UNSENT_BYTES = 256 * 1024
# ns within which a message must be complete once begun; misbehaving viewers must be disconnected within 3 s.
PARTIAL_MESSAGE_TIMEOUT_NS = 2_000_000_000
# ns within which a machine rejects a message that belongs to none of its connections.
REJECTION_TIMEOUT_NS = 250_000_000


class ConnectionState(Enum):
    """State of the local side of a connection."""

    OPEN = "open"  # both sides may send
    FINISHING = "finishing"  # this side has shut down sending; received data is discarded
    CLOSED = "closed"


CONNECTION_TRANSITIONS = {
    ConnectionState.OPEN: (ConnectionState.FINISHING, ConnectionState.CLOSED),
    ConnectionState.FINISHING: (ConnectionState.CLOSED,),
    ConnectionState.CLOSED: (),
}


def new_stream(sock=None):
    """Returns an IOStream with the platform's buffer limits on `sock`, or on a new TCP socket if it is None.

    Raises OSError if no file descriptor is available.
    """
    return IOStream(
        sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        max_buffer_size=2 * READ_CHUNK_BYTES,
        read_chunk_size=READ_CHUNK_BYTES,
        max_write_buffer_size=MAX_UNSENT_BYTES,
    )


class Connection:
    """Reads and writes messages on a stream, which it owns.

    Calls `on_messages(connection, messages)` with the messages of each read, and `on_closed(connection)`
    exactly once. `turns` are the InputTurns that it shares with other connections. `partial_timeout` (ns) is
    passed to the message reader; whoever owns the connection has to check it by calling `reader.is_overdue`
    regularly. Must be created within a running event loop.
    """

    def __init__(
        self, stream, clock, turns, on_messages, on_closed, partial_timeout=PARTIAL_MESSAGE_TIMEOUT_NS
    ):
        self.stream, self.clock, self.on_messages, self.on_closed = stream, clock, on_messages, on_closed
        self.state, self.close_reason, self.closed_locally = (
            ConnectionState.OPEN,
            "closed by the peer",
            False,
        )
        self.reader = MessageReader(clock.now(), partial_timeout)
        self.turns, self.allowance = turns, InputAllowance(clock.now())
        self.last_sent_at, self.last_probe_at = clock.now(), 0
        self.closed_unused = False  # closed by `close_unused`: nothing that the peer sent before was lost
        self.unread_since = None  # since when its input was never read to the end, None if it is
        self.may_have_buffered_input = False  # a full batch may have left bytes in the stream's buffer
        stream.set_nodelay(True)
        self.task = asyncio.ensure_future(self._read())

    def _transition_to(self, state):
        """Sets the state; every state change goes through here."""
        assert state in CONNECTION_TRANSITIONS[self.state], f"{self.state} to {state}"
        self.state = state

    def is_open(self):
        """Whether messages can still be sent."""
        return self.state is ConnectionState.OPEN and not self.stream.closed()

    def has_unread_input(self):
        """Whether received bytes, or the peer's end of stream, are still to be read."""
        if self.stream.closed():
            return False
        if self.may_have_buffered_input:
            return True
        poll = select.poll()
        poll.register(self.stream.socket, select.POLLIN)
        return bool(poll.poll(0))

    def input_lag(self):
        """Returns for how long (ns) its input has not been read to the end."""
        return 0 if self.unread_since is None else self.clock.now() - self.unread_since

    def has_pending_input(self):
        """Whether received bytes are still to be read, or belong to a message that is not complete yet."""
        return self.reader.partial_since is not None or self.has_unread_input()

    def has_unsent_output(self):
        """Whether written bytes are still queued in this process."""
        return not self.stream.closed() and self.stream.writing()

    def idle_since(self):
        """Time in ns at which data was last sent or received."""
        return max(self.last_sent_at, self.reader.last_received_at)

    def send(self, data):
        """Queues bytes for sending and returns True; returns False if the connection can't take them."""
        if not self.is_open():
            return False
        try:
            self.stream.write(data)
        except StreamBufferFullError:
            self.close("the peer does not read: send buffer full")
            return False
        except StreamClosedError:
            return False
        self.last_sent_at = self.clock.now()
        return True

    def probe(self, data):
        """Sends bytes that only test the connection; it does not count as used because of them."""
        last_sent_at = self.last_sent_at
        self.send(data)
        self.last_sent_at, self.last_probe_at = last_sent_at, self.clock.now()

    def was_closed_unprompted(self, now):
        """Whether the peer closed the connection in order, and nothing had been sent to it shortly before.

        The end of a connection that follows on a message may be its rejection.
        """
        if self.closed_locally or self.stream.error is not None:
            return False
        return now - max(self.last_sent_at, self.last_probe_at) > REJECTION_TIMEOUT_NS

    def close(self, reason):
        """Closes both directions immediately; queued bytes are lost. `reason` is for the log."""
        if not self.stream.closed():
            self.close_reason, self.closed_locally = reason, True
            self.stream.close()

    def close_unused(self, reason):
        """Closes a connection that is not needed; returns False and leaves it open if input is pending."""
        if self.has_pending_input():
            return False
        self.closed_unused = True
        self.close(reason)
        return True

    def shut_down_sending(self, reason):
        """Shuts down sending and discards received data until the peer closes too.

        Closing a socket with unread input resets the connection, and the last messages to the peer would be
        lost with it.
        """
        if not self.is_open():
            return
        self._transition_to(ConnectionState.FINISHING)
        self.close_reason, self.closed_locally = reason, True
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has reset the connection
            self.stream.close()

    def _handle(self, data):
        started_at = self.clock.now()
        if self.state is ConnectionState.OPEN and (received := self.reader.receive(started_at, data)):
            self.on_messages(self, received)
        self.allowance.charge(started_at, self.clock.now())

    def _note_unread_input(self):
        """Notes since when there has been more input than was read; asked only where there is much of it."""
        now = self.clock.now()
        if not (self.allowance.is_used_up(now) and self.has_unread_input()):
            self.unread_since = None
        elif self.unread_since is None:
            self.unread_since = now

    async def _read(self):
        try:
            while True:
                if self.allowance.is_used_up(self.clock.now()):
                    await self.turns.next_turn()
                data = await self.stream.read_bytes(BATCH_BYTES, partial=True)
                self.may_have_buffered_input = len(data) == BATCH_BYTES
                self._handle(data)
                self._note_unread_input()
        except StreamClosedError:
            pass
        except MessageFramingError as error:
            if error.preceding:
                self.on_messages(self, error.preceding)
            self.close(f"unreadable: {error}")
        finally:
            self.stream.close()
            self._transition_to(ConnectionState.CLOSED)
            self.on_closed(self)
