"""Binary encoding of the platform protocol: bytes to messages and back, and parsing of their parameters.

    message   = length:2 type:1 id:8 parameters      length counts every byte after it; big-endian
    parameter = code:1 length:2 value                (PROTOCOL, "Messages")

Used by the front, the transport and the message reader. Performs no I/O. Malformed framing raises
MessageFramingError, after which the connection can't be used any more; a well-framed message with missing or
invalid parameters raises InvalidMessageError and leaves the connection usable.
"""

import contextlib
import struct
from dataclasses import dataclass, field

from terndrift.interface import Ending
from terndrift.operator_settings import translate_report

# Message types.
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, NOTE = 1, 6, 9, 12, 16, 44
TEST, TESTED, RUNG = 52, 53, 60
# Parameter codes.
PLAN, WAIT, TITLE, FIGURES, ADVICE, NOTE_NAME = 16, 19, 28, 31, 34, 37
REPORT, HINT, RUNG_NO, NOTE_VALUE, CAUSE, DESCRIPTION = 43, 46, 49, 52, 58, 61
# Causes of the releases that the controller sends. 42 means rejected and safe to retry; every cause other
# than 34, 42 and 102 means failed.
OVER, FAILED, REJECTED = 16, 38, 42
UNUSABLE = 100
# Release causes from a streamer that has not answered the set-up; any other cause is treated as 41.
ATTEMPT_ENDINGS = {34: Ending.FULL, 47: Ending.ERRED, 102: Ending.NEVER_SENT, 41: Ending.BROKEN}
# Release causes from a streamer for a playback that is playing; any other cause is treated as 41. 31 means
# that the viewer ended or moved the playback, so the viewer must not be sent a release.
PLAY_ENDINGS = {16: Ending.PLAYED_OUT, 31: Ending.CALLED_OFF, 41: Ending.BROKEN}

MAX_MESSAGE_BYTES = 16 * 1024  # "no message exceeds 16 KiB", not counting the length field itself
HEADER = struct.Struct(">HB8s")
PARAMETER_HEADER = struct.Struct(">BH")
SECOND = 1_000_000_000
MS = 1_000_000


class MessageFramingError(Exception):
    """The bytes are not a valid message, so the start of the next message can't be found either.

    `preceding` lists the complete messages that were decoded in front of those bytes.
    """

    def __init__(self, reason, preceding=()):
        super().__init__(reason)
        self.preceding = preceding


class InvalidMessageError(Exception):
    """A well-framed message that can't be acted on; the text of the exception says why."""


@dataclass(frozen=True)
class Message:
    """A decoded message; `parameters` maps parameter codes to their raw bytes."""

    type: int
    id: bytes
    parameters: dict = field(default_factory=dict)

    def text(self, code, default=None):
        """Returns a parameter as ASCII text, or `default` if it is missing; raises InvalidMessageError."""
        value = self.parameters.get(code)
        if value is None:
            return default
        try:
            return value.decode("ascii")
        except UnicodeDecodeError:
            raise InvalidMessageError(f"parameter {code} is not ASCII text") from None

    def number(self, code):
        """Returns a parameter as a finite float; raises InvalidMessageError, also if it is missing."""
        return parse_number(self.text(code, ""), f"parameter {code}")

    @property
    def cause(self):
        """The cause code of a release or a test reply, or None if it is missing or not one byte long."""
        value = self.parameters.get(CAUSE, b"")
        return value[0] if len(value) == 1 else None


def parse_number(text, name):
    """Parses a finite decimal number; raises InvalidMessageError.

    Only plain notation is accepted: float() alone would also accept '1_0', ' 1' and 'inf'. `name` is used in
    the error message.
    """
    if not 0 < len(text) <= 32 or text.strip("0123456789.eE+-"):
        raise InvalidMessageError(f"{name} '{text[:32]}' is not a number")
    try:
        value = float(text)
    except ValueError:
        raise InvalidMessageError(f"{name} '{text[:32]}' is not a number") from None
    if value in (float("inf"), float("-inf")):
        raise InvalidMessageError(f"{name} '{text[:32]}' is too large")
    return value


def parse_integer(text, name, minimum, maximum):
    """Parses a decimal integer within inclusive bounds; raises InvalidMessageError."""
    if not 0 < len(text) <= 12 or not text.isdecimal():
        raise InvalidMessageError(f"{name} '{text[:32]}' is not an integer")
    value = int(text)
    if not minimum <= value <= maximum:
        raise InvalidMessageError(f"{name} {value} is not between {minimum} and {maximum}")
    return value


def encode_message(type, id, *parameters):
    """Returns the bytes of a message; `parameters` are pairs of a code and bytes or ASCII text."""
    body = bytearray()
    for code, value in parameters:
        value = value.encode("ascii") if isinstance(value, str) else value
        body += PARAMETER_HEADER.pack(code, len(value)) + value
    return HEADER.pack(len(body) + 9, type, id) + bytes(body)


def encode_release(id, cause, *parameters):
    """Returns the bytes of a release message with a cause code and, optionally, further parameters."""
    return encode_message(RELEASE, id, (CAUSE, bytes([cause])), *parameters)


def decode(type, id, body):
    """Decodes the parameters that follow a message header; raises MessageFramingError if they don't fit."""
    parameters, offset, end = {}, 0, len(body)
    while offset < end:
        if offset + 3 > end:
            raise MessageFramingError("parameter header is truncated")
        code, size = PARAMETER_HEADER.unpack_from(body, offset)
        offset += 3
        if offset + size > end:
            raise MessageFramingError(f"parameter {code} extends past the end of its message")
        if code in parameters:
            raise MessageFramingError(f"parameter {code} is repeated")
        parameters[code] = body[offset : offset + size]
        offset += size
    return Message(type, id, parameters)


def decode_messages(buffer):
    """Decodes the complete messages at the start of a bytearray and removes their bytes from it.

    A partial message at the end stays in the buffer. Raises MessageFramingError, with the messages decoded
    before the invalid bytes; all bytes stay in the buffer then.
    """
    decoded, offset = [], 0
    data = bytes(buffer)  # a view could outlive this call in a traceback, and then the buffer can't be cut
    while len(data) - offset >= 2:
        size = data[offset] << 8 | data[offset + 1]
        if not 9 <= size <= MAX_MESSAGE_BYTES:
            raise MessageFramingError(f"invalid message length of {size} bytes", decoded)
        if len(data) - offset < size + 2:
            break
        _, type, id = HEADER.unpack_from(data, offset)
        try:
            decoded.append(decode(type, id, data[offset + HEADER.size : offset + 2 + size]))
        except MessageFramingError as error:
            raise MessageFramingError(str(error), decoded) from None
        offset += size + 2
    if offset:
        del buffer[:offset]
    return decoded


# Messages from viewers.


@dataclass(frozen=True)
class SetUpRequest:
    """The parsed parameters of a set-up message from a viewer."""

    plan: str
    title: str
    time_left: int  # ns until the viewer gives up
    expected_duration: int  # ns, 0: no hint was sent
    first_cell: int
    copies: int
    top_rung: int
    current_streamer: str | None  # name of the streamer where the title already plays
    forwarded: tuple  # (code, bytes) of the parameters that go to the streamer unchanged


def is_hand_over(message):
    """Whether a set-up hands over a playback that already runs at a streamer."""
    return b"at" in {pair.partition(b":")[0] for pair in message.parameters.get(FIGURES, b"").split(b";")}


def parse_set_up(message, plan_deadlines, cell_count):
    """Returns the SetUpRequest of a set-up message; raises InvalidMessageError.

    `plan_deadlines` maps the name of each plan to the longest time, in ns, that its viewers wait.
    """
    if not any(message.id):
        raise InvalidMessageError("message ID is all zeros")
    plan, title = message.text(PLAN, ""), message.text(TITLE, "")
    if plan not in plan_deadlines:
        raise InvalidMessageError(f"unknown plan '{plan[:32]}'")
    if len(title) != 16 or title.strip("0123456789abcdef"):
        raise InvalidMessageError(f"title is not 16 hexadecimal digits: '{title[:32]}'")
    if DESCRIPTION not in message.parameters:
        raise InvalidMessageError("description is missing")
    figures = {}
    for pair in message.text(FIGURES, "").split(";"):
        name, _, value = pair.partition(":")
        if name in figures:
            raise InvalidMessageError(f"figure '{name[:32]}' is repeated")
        figures[name] = value
    duration = message.number(HINT) * MS if HINT in message.parameters else 0
    if not 0 <= duration <= 86_400 * SECOND:  # no playback lasts longer than a day
        raise InvalidMessageError(f"duration hint is out of range: {duration / MS} ms")
    current_streamer = figures.get("at")
    # One second more than the plan's own limit allows for clock and network differences; a hand-over waits
    # for nothing, so its wait is not limited by the plan.
    max_wait_ms = plan_deadlines[plan] // MS + 1000 if current_streamer is None else 10**9
    return SetUpRequest(
        plan,
        title,
        parse_integer(message.text(WAIT, ""), "wait", 1, max_wait_ms) * MS,
        int(duration),
        parse_integer(figures.get("home", ""), "home", 0, cell_count - 1),
        parse_integer(figures.get("copies", ""), "copies", 1, cell_count),
        parse_integer(figures.get("top", ""), "top", 0, 255),
        current_streamer,
        tuple((code, message.parameters[code]) for code in (PLAN, TITLE, DESCRIPTION)),
    )


# Messages from streamers.


def parse_load_report(message):
    """Returns the load report in a message as a dict under the internal names; skips invalid values."""
    values = {}
    try:
        pairs = message.text(REPORT, "").split(";")
    except InvalidMessageError:
        return values
    for pair in pairs:
        name, _, value = pair.partition(":")
        with contextlib.suppress(InvalidMessageError):
            values[name] = parse_number(value, name)
    return translate_report(values)
