"""SDP as far as a bridge needs it: codecs, directions, bandwidth, hold; offer and answer. No I/O.

Sources: RFC 4566 (form), RFC 3264 (offer and answer), RFC 3890 (`b=TIAS`). Lines that a bridge has no word in
are handed on as they came.
"""

import re
from dataclasses import dataclass, field

LARGEST, MOST_LINES, MOST_MEDIA = 16 * 1024, 400, 16
DIRECTIONS = ("sendrecv", "sendonly", "recvonly", "inactive")
REVERSED = {"sendrecv": "sendrecv", "sendonly": "recvonly", "recvonly": "sendonly", "inactive": "inactive"}
# Codecs that RFC 3551 numbers, by which an offer may leave rtpmap out.
STATIC = {
    "0": "PCMU/8000",
    "3": "GSM/8000",
    "8": "PCMA/8000",
    "9": "G722/8000",
    "18": "G729/8000",
    "26": "JPEG/90000",
    "31": "H261/90000",
    "34": "H263/90000",
}
LINE = re.compile(r"([a-z])=(.*)\Z")
# Overhead of IP, UDP and RTP beside the media, that `b=AS` counts and `b=TIAS` does not: 40 bytes a packet of
# about 1,000 bytes of video.
OVERHEAD = 1.04


class Unusable(ValueError):
    """A description that can't be taken; says the line."""


@dataclass
class Media:
    kind: str  # audio, video, application
    port: int
    transport: str
    formats: list
    lines: list = field(default_factory=list)  # [(letter, value)] under it, in order

    def attribute(self, name):
        return [v.partition(":")[2] for k, v in self.lines if k == "a" and v.partition(":")[0] == name]

    def direction(self, default="sendrecv"):
        return next((v for k, v in self.lines if k == "a" and v in DIRECTIONS), default)

    def codecs(self):
        """{format: "name/clock" in upper case}"""
        named = dict(v.split(" ", 1) for v in self.attribute("rtpmap") if " " in v)
        return {f: named.get(f, STATIC.get(f, "")).upper() for f in self.formats}


@dataclass
class Description:
    head: list  # [(letter, value)] before the first medium
    media: list

    def bits(self):
        """bits a second that it states, or None: TIAS before AS, of the media before that of the whole."""
        each = [b for m in self.media if m.port and (b := _bandwidth(m.lines)) is not None]
        return sum(each) if each else _bandwidth(self.head)

    def held(self):
        """Whether nothing is to be sent to whoever wrote it."""
        whole = next((v for k, v in self.head if k == "a" and v in DIRECTIONS), "sendrecv")
        # the old form of hold (RFC 2543): an address of nothing
        address = next((v for k, v in self.head if k == "c"), "")
        if address.split()[-1:] == ["0.0.0.0"]:
            return True
        return all(m.direction(whole) in ("sendonly", "inactive") for m in self.media if m.port)

    def encode(self):
        lines = [f"{k}={v}" for k, v in self.head]
        for m in self.media:
            lines.append(f"m={m.kind} {m.port} {m.transport} {' '.join(m.formats)}")
            lines += [f"{k}={v}" for k, v in m.lines]
        return ("\r\n".join(lines) + "\r\n").encode()


def _bandwidth(lines):
    said = {}
    for k, v in lines:
        if k == "b":
            kind, _, number = v.partition(":")
            if number.isascii() and number.isdigit() and len(number) < 13:
                said[kind] = int(number)
    if "TIAS" in said:
        return said["TIAS"]
    return int(said["AS"] * 1000 / OVERHEAD) if "AS" in said else None


def read(body):
    if len(body) > LARGEST:
        raise Unusable(f"{len(body)} bytes")
    try:
        text = body.decode()
    except UnicodeDecodeError as wrong:
        raise Unusable(f"not UTF-8 at byte {wrong.start}") from None
    lines = text.replace("\r\n", "\n").rstrip("\n").split("\n")
    if len(lines) > MOST_LINES:
        raise Unusable(f"{len(lines)} lines")
    head, media = [], []
    for n, line in enumerate(lines, 1):
        found = LINE.match(line)
        if not found:
            raise Unusable(f"line {n}: found {line[:40]!r}, wanted x=value")
        letter, value = found.groups()
        if n == 1 and (letter, value) != ("v", "0"):
            raise Unusable(f"line 1: found {line[:40]!r}, wanted v=0")
        if letter == "m":
            words = value.split()
            port = words[1].partition("/")[0] if len(words) > 3 else ""
            if not port.isascii() or not port.isdigit() or len(port) > 5 or int(port) > 65535:
                raise Unusable(f"line {n}: found {line[:40]!r}, wanted m=KIND PORT TRANSPORT FORMATS")
            if len(media) == MOST_MEDIA:
                raise Unusable(f"line {n}: more than {MOST_MEDIA} media")
            media.append(Media(words[0], int(port), words[2], words[3:]))
        elif media:
            media[-1].lines.append((letter, value))
        else:
            head.append((letter, value))
    for letter, what in (("o", "an origin"), ("s", "a name"), ("t", "a time")):
        if not any(k == letter for k, _ in head):
            raise Unusable(f"no {letter}= line, {what} is wanted")
    if not media:
        raise Unusable("no media at all")
    return Description(head, media)


def with_bits(description, bits):
    """The same with so many bits a second of video; other media go on as they are."""
    out = Description(list(description.head), [])
    videos = [m for m in description.media if m.port and m.kind == "video"]
    for m in description.media:
        lines = list(m.lines)
        if m in videos:
            lines = [(k, v) for k, v in lines if not (k == "b" and v.partition(":")[0] in ("AS", "TIAS"))]
            own = bits // len(videos)
            # a bandwidth stands before the attributes (RFC 4566, 5)
            at = next((n for n, (k, _) in enumerate(lines) if k in "ka"), len(lines))
            lines[at:at] = [("b", f"AS:{int(own * OVERHEAD / 1000) or 1}"), ("b", f"TIAS:{own}")]
        out.media.append(Media(m.kind, m.port, m.transport, list(m.formats), lines))
    return out


def renewed(description, version):
    """The same as a newer version of it (RFC 3264, 8): the origin's version is what tells."""
    head = []
    for k, v in description.head:
        words = v.split(" ")
        if k == "o" and len(words) == 6:
            v = " ".join([*words[:2], str(version), *words[3:]])
        head.append((k, v))
    return Description(head, description.media)


def answer(offer, able, origin, address, bits=None):
    """An answer to an offer (RFC 3264, 6) of whoever is able to codecs `able` {kind: names}; a medium without
    any in common is declined by port 0. `address`: (host, {kind: port}). Returns None if nothing is left."""
    host, ports = address
    out = Description([("v", "0"), ("o", origin), ("s", "-"), ("c", f"IN IP4 {host}"), ("t", "0 0")], [])
    for m in offer.media:
        codecs = m.codecs()
        common = [f for f in m.formats if codecs.get(f) in able.get(m.kind, ())]
        if not m.port or not common or m.kind not in ports:
            out.media.append(Media(m.kind, 0, m.transport, m.formats[:1]))
            continue
        lines = [("a", f"rtpmap:{f} {codecs[f]}") for f in common]
        whole = next((v for k, v in offer.head if k == "a" and v in DIRECTIONS), "sendrecv")
        lines.append(("a", REVERSED[m.direction(whole)]))
        out.media.append(Media(m.kind, ports[m.kind], m.transport, common, lines))
    if not any(m.port for m in out.media):
        return None
    return with_bits(out, bits) if bits is not None else out
