"""Frames on disk: each a zstandard frame of a MessagePack value, checked by the frame's own checksum."""

import msgspec
import zstandard

# Small records gain little from more; 3 is the library's default.
LEVEL = 3
MAGIC = zstandard.FRAME_HEADER  # the four bytes that every frame begins with (RFC 8878, 3.1.1)
# No batch or chunk is made larger; a header that claims more is damage, and must not fill the memory.
LARGEST = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


def frame(value):
    # a compressor of its own: one is not for two threads at once
    return zstandard.ZstdCompressor(level=LEVEL, write_checksum=True, write_content_size=True).compress(
        _encoder.encode(value)
    )


class Bad(Exception):
    """Bytes that are no whole, sound frame; `torn`: the file ends within it."""

    def __init__(self, why, torn):
        super().__init__(why)
        self.torn = torn


def one(data, offset):
    """(value, where the next frame begins). Raises Bad."""
    head = data[offset : offset + 18]
    if not head.startswith(MAGIC[: len(head)]):
        raise Bad("no frame begins here", False)
    try:
        size = zstandard.frame_content_size(head) if len(head) == 18 or len(head) > 5 else None
    except zstandard.ZstdError:
        raise Bad("the frame's header is cut short", len(head) < 18) from None
    if size is not None and size > LARGEST:
        raise Bad(f"a frame of {size} bytes", False)
    reader = zstandard.ZstdDecompressor().decompressobj()
    try:
        raw = reader.decompress(memoryview(data)[offset:])
    except zstandard.ZstdError as wrong:
        raise Bad(str(wrong), False) from None
    if not reader.eof:
        raise Bad("the file ends within a frame", True)
    try:
        return _decoder.decode(raw), len(data) - len(reader.unused_data)
    except msgspec.DecodeError as wrong:
        raise Bad(f"not MessagePack: {wrong}", False) from None


def scan(data):
    """Every sound frame from the start: ([(offset, value)], end of the last sound one, Bad or None)."""
    out, at = [], 0
    while at < len(data):
        try:
            value, after = one(data, at)
        except Bad as bad:
            return out, at, bad
        out.append((at, value))
        at = after
    return out, at, None


def sound_after(data, offset):
    """Where a sound frame begins after damage at `offset`; None: there is none, so the rest is a torn end."""
    at = data.find(MAGIC, offset + 1)
    while at >= 0:
        try:
            one(data, at)
            return at
        except Bad:
            at = data.find(MAGIC, at + 1)
    return None
