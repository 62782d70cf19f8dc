"""SIP messages: bytes to requests and responses and back. No I/O, no time.

Source: RFC 3261, sections 7, 18.3, 19, 20 and 25; compact forms by 7.3.3. What is wrong raises `Bad`,
with the status that a request of that kind is answered with (RFC 4475 has examples of each kind) and what
and where. Scanning is in one pass: no expression here may look twice at what it has passed over.
"""

import re

# Bounds of one message: well over what phones and gateways send, so that nobody can make us hold more.
LARGEST_HEAD, LARGEST_BODY, MOST_HEADERS = 16 * 1024, 64 * 1024, 128
MAGIC = "z9hG4bK"  # branches of RFC 3261 begin so
COMPACT = {
    "a": "accept-contact",
    "b": "referred-by",
    "c": "content-type",
    "d": "request-disposition",
    "e": "content-encoding",
    "f": "from",
    "i": "call-id",
    "j": "reject-contact",
    "k": "supported",
    "l": "content-length",
    "m": "contact",
    "o": "event",
    "r": "refer-to",
    "s": "subject",
    "t": "to",
    "u": "allow-events",
    "v": "via",
    "x": "session-expires",
    "y": "identity",
}
# Headers whose values are lists, one line or many being the same (7.3.1).
LISTS = {
    "via",
    "route",
    "record-route",
    "contact",
    "supported",
    "require",
    "proxy-require",
    "unsupported",
    "allow",
    "accept",
    "accept-encoding",
    "accept-language",
    "allow-events",
    "in-reply-to",
    "warning",
    "error-info",
    "alert-info",
    "call-info",
    "path",
    "service-route",
    "reason",
}
ONCE = {
    "to",
    "from",
    "call-id",
    "cseq",
    "max-forwards",
    "content-length",
    "content-type",
    "expires",
    "min-expires",
    "session-expires",
    "min-se",
    "rseq",
    "rack",
    "retry-after",
    "subject",
    "user-agent",
    "server",
    "date",
    "organization",
    "priority",
    "mime-version",
}
NAMES = {
    "call-id": "Call-ID",
    "cseq": "CSeq",
    "www-authenticate": "WWW-Authenticate",
    "min-se": "Min-SE",
    "rseq": "RSeq",
    "rack": "RAck",
    "mime-version": "MIME-Version",
}
REASONS = {
    100: "Trying",
    180: "Ringing",
    181: "Call Is Being Forwarded",
    182: "Queued",
    183: "Session Progress",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    407: "Proxy Authentication Required",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    414: "Request-URI Too Long",
    415: "Unsupported Media Type",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    421: "Extension Required",
    422: "Session Interval Too Small",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    486: "Busy Here",
    487: "Request Terminated",
    488: "Not Acceptable Here",
    491: "Request Pending",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
    513: "Message Too Large",
    600: "Busy Everywhere",
    603: "Decline",
}

TOKEN = re.compile(r"[A-Za-z0-9.!%*_+`'~-]+\Z")
START = re.compile(r"([^ \t]+) ([^ \t]+) (SIP/[0-9]+\.[0-9]+)\Z", re.I)
STATUS = re.compile(r"(SIP/[0-9]+\.[0-9]+) ([0-9]{3}) (.*)\Z", re.I | re.S)
SCHEME = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*:")
HOST = re.compile(r"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+)\Z")


class Bad(ValueError):
    """A message, or a part of one, that can't be taken. `code`: how a request of that kind is answered; 0: it
    is dropped, as nothing says whom to answer."""

    def __init__(self, code, what, where=""):
        super().__init__(f"{where}: {what}" if where else what)
        self.code, self.what, self.where = code, what, where
        self.partial = None  # the message as far as it could be read, where that is enough to answer it


class Message:
    """A request (`method`, `uri`) or a response (`code`, `reason`). `headers`: [(lower-case name, value)], in
    order; lists already taken apart."""

    def __init__(self, method=None, uri=None, code=0, reason="", headers=(), body=b""):
        self.method, self.uri, self.code, self.reason = method, uri, code, reason
        self.headers, self.body = list(headers), body

    def get(self, name, default=None):
        return next((v for n, v in self.headers if n == name), default)

    def all(self, name):
        return [v for n, v in self.headers if n == name]

    def add(self, name, value):
        self.headers.append((name, str(value)))

    def set(self, name, value):
        self.headers = [(n, v) for n, v in self.headers if n != name]
        self.headers.append((name, str(value)))

    def number(self, name, most=2**32 - 1, code=400):
        """A header of digits, or None where there is none."""
        value = self.get(name)
        if value is None:
            return None
        digits = value.partition(";")[0].strip()
        if not digits.isascii() or not digits.isdigit() or len(digits) > 12 or int(digits) > most:
            raise Bad(code, f"found {value[:40]!r}, wanted a number up to {most}", name)
        return int(digits)

    @property
    def cseq(self):
        """(number, method)"""
        parts = (self.get("cseq") or "").split()
        if (
            len(parts) != 2
            or not parts[0].isascii()
            or not parts[0].isdigit()
            or len(parts[0]) > 10
            or (int(parts[0]) >= 2**31)
        ):
            raise Bad(400, f"found {self.get('cseq')!r}, wanted a number under 2^31 and a method", "CSeq")
        return int(parts[0]), parts[1]

    def via(self):
        """The topmost."""
        value = self.get("via")
        if value is None:
            raise Bad(0, "there is none", "Via")
        return Via.read(value)

    def named(self, name):
        """A Name of a To, From, Contact and the like, or None."""
        value = self.get(name)
        return None if value is None else Name.read(value, name)

    def encode(self):
        if self.method is not None:
            first = f"{self.method} {self.uri} SIP/2.0"
        else:
            first = f"SIP/2.0 {self.code} {self.reason or REASONS.get(self.code, '')}"
        lines = [first]
        for name, value in self.headers:
            if name != "content-length":
                shown = NAMES.get(name) or "-".join(p.capitalize() for p in name.split("-"))
                lines.append(f"{shown}: {value}")
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


def quoted(text, at):
    """The end of a quoted string that begins at `at`, after its closing quote; -1: it has none."""
    n = at + 1
    while n < len(text):
        if text[n] == "\\":
            n += 2
            continue
        if text[n] == '"':
            return n + 1
        n += 1
    return -1


def split(text, mark, where=""):
    """Taken apart at `mark`, but not within quotes or angle brackets."""
    out, begin, n, inside = [], 0, 0, False
    while n < len(text):
        c = text[n]
        if c == '"' and not inside:
            n = quoted(text, n)
            if n < 0:
                raise Bad(400, "a quoted string without its end", where)
            continue
        if c == "<" and not inside:
            inside = True
        elif c == ">" and inside:
            inside = False
        elif c == mark and not inside:
            out.append(text[begin:n].strip())
            begin = n + 1
        n += 1
    if inside:
        raise Bad(400, "'<' without '>'", where)
    out.append(text[begin:].strip())
    return out


def params(parts, where=""):
    """{name: value, or None for a flag} of the parts behind the first semicolon."""
    out = {}
    for part in parts:
        name, equals, value = part.partition("=")
        name, value = name.strip().lower(), value.strip()
        if not TOKEN.match(name):
            raise Bad(400, f"found {part[:40]!r}, wanted a parameter", where)
        if name in out:
            raise Bad(400, f"parameter '{name}' twice", where)
        if value.startswith('"'):
            if quoted(value, 0) != len(value):
                raise Bad(400, f"found {value[:40]!r}, wanted a quoted string", where)
            value = re.sub(r"\\(.)", r"\1", value[1:-1])
        out[name] = value if equals else None
    return out


def written(found):
    """Parameters as text."""
    return "".join(
        f";{n}" if v is None else f";{n}={v if HOST.match(v) or TOKEN.match(v) else quote(v)}"
        for n, v in found.items()
    )


def quote(text):
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def host_port(text, where):
    """(host, port or None) of `host[:port]`, IPv6 in brackets."""
    if text.startswith("["):
        host, bracket, rest = text.partition("]")
        host += bracket
    else:
        host, colon, rest = text.partition(":")
        rest = colon + rest
    if not HOST.match(host):
        raise Bad(400, f"found {text[:60]!r}, wanted a host", where)
    if not rest:
        return host, None
    port = rest[1:].strip()
    if rest[0] != ":" or not port.isascii() or not port.isdigit() or len(port) > 5 or int(port) > 65535:
        raise Bad(400, f"found {text[:60]!r}, wanted a port", where)
    return host, int(port)


def unescaped(text, where):
    out, n = bytearray(), 0
    data = text.encode()
    while n < len(data):
        if data[n] == 0x25:
            try:
                out.append(int(data[n + 1 : n + 3].decode("ascii"), 16))
            except ValueError:
                raise Bad(400, f"found {text[:40]!r}, wanted two digits after %", where) from None
            n += 3
        else:
            out.append(data[n])
            n += 1
    return bytes(out).decode("utf-8", "replace")


class Uri:
    """A sip or sips URI (19.1); any other scheme has `rest` alone."""

    def __init__(self, scheme, user="", host="", port=None, params=None, rest=""):
        self.scheme, self.user, self.host, self.port = scheme, user, host, port
        self.params, self.rest = params or {}, rest

    @classmethod
    def read(cls, text, where="URI"):
        scheme = SCHEME.match(text)
        if not scheme or any(c in text for c in ' \t<>"') or not text.isprintable():
            raise Bad(400, f"found {text[:60]!r}, wanted a URI", where)
        name, rest = scheme.group()[:-1].lower(), text[scheme.end() :]
        if name not in ("sip", "sips"):
            return cls(name, rest=rest)
        before, at, after = rest.rpartition("@")
        user, _, _ = before.partition(":")
        after = after.partition("?")[0]
        place, *more = after.split(";")
        host, port = host_port(place, where)
        if at and not user:
            raise Bad(400, f"found {text[:60]!r}, wanted a user before @", where)
        return cls(name, unescaped(user, where), host, port, params(more, where) if more else {})

    def __str__(self):
        if self.rest:
            return f"{self.scheme}:{self.rest}"
        user = "".join(
            c
            if c.isascii() and (c.isalnum() or c in "-_.!~*'()&=+$,;?/")
            else "".join(f"%{b:02X}" for b in c.encode())
            for c in self.user
        )
        port = "" if self.port is None else f":{self.port}"
        return f"{self.scheme}:{user}{'@' if user else ''}{self.host}{port}{written(self.params)}"


class Name:
    """A name-addr or addr-spec with its parameters (20.10, 20.20, 20.39)."""

    def __init__(self, uri, display="", params=None):
        self.uri, self.display, self.params = uri, display, params or {}

    @classmethod
    def read(cls, text, where=""):
        text = text.strip()
        if text.startswith('"'):
            end = quoted(text, 0)
            if end < 0:
                raise Bad(400, "a quoted string without its end", where)
            display, rest = re.sub(r"\\(.)", r"\1", text[1 : end - 1]), text[end:].strip()
        else:
            display, bracket, rest = text.partition("<")
            display, rest = (display.strip(), bracket + rest) if bracket else ("", text)
            if display and not all(TOKEN.match(w) for w in display.split()):
                raise Bad(400, f"found {text[:60]!r}, wanted a display name of tokens or quoted", where)
        if rest.startswith("<"):
            inner, close, after = rest[1:].partition(">")
            if not close:
                raise Bad(400, "'<' without '>'", where)
            first, *more = split(after, ";", where)
            if first:
                raise Bad(400, f"found {after[:40]!r} after '>'", where)
            return cls(Uri.read(inner.strip(), where), display, params(more, where))
        if display:
            raise Bad(400, f"found {text[:60]!r}, wanted '<' after the display name", where)
        # without brackets, what follows the first semicolon is the header's and not the URI's (20.10)
        first, *more = split(rest, ";", where)
        return cls(Uri.read(first, where), "", params(more, where))

    @property
    def tag(self):
        return self.params.get("tag")

    def __str__(self):
        display = f"{quote(self.display)} " if self.display else ""
        return f"{display}<{self.uri}>{written(self.params)}"


class Via:
    """(20.42)"""

    def __init__(self, transport, host, port, params):
        self.transport, self.host, self.port, self.params = transport, host, port, params

    @classmethod
    def read(cls, text):
        first, *more = split(text, ";", "Via")
        sent, _, by = first.replace("\t", " ").partition(" ")
        parts = [p.strip() for p in sent.split("/")]
        if len(parts) != 3:  # white space is allowed around the slashes
            words = first.split("/")
            if len(words) < 3:
                raise Bad(400, f"found {first[:60]!r}, wanted SIP/2.0/TRANSPORT and who sent it", "Via")
            transport, _, by = words[2].strip().partition(" ")
            parts = [words[0].strip(), words[1].strip(), transport]
        if parts[0].upper() != "SIP" or not TOKEN.match(parts[2]):
            raise Bad(400, f"found {first[:60]!r}, wanted SIP/2.0/TRANSPORT and who sent it", "Via")
        if parts[1] != "2.0":
            raise Bad(505, f"version {parts[1][:10]}", "Via")
        by = re.sub(r" *: *", ":", by.strip()) if not by.strip().startswith("[") else by.strip()
        host, port = host_port(by, "Via")
        return cls(parts[2].upper(), host, port, params(more, "Via"))

    @property
    def branch(self):
        return self.params.get("branch") or ""

    def __str__(self):
        port = "" if self.port is None else f":{self.port}"
        return f"SIP/2.0/{self.transport} {self.host}{port}{written(self.params)}"


def _head(data):
    """(Message without its body, Content-Length or None)."""
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as wrong:
        raise Bad(400, f"not UTF-8 at byte {wrong.start}") from None
    if "\0" in text:
        raise Bad(400, "a zero byte in a header")
    first, *lines = text.split("\r\n")
    status, start = STATUS.match(first), START.match(first)
    out = Message()
    late = None  # what is wrong with the first line: told once the rest says whom to answer
    if status:
        out.code, out.reason = int(status.group(2)), status.group(3)
        if status.group(1).upper() != "SIP/2.0" or not 100 <= out.code <= 699:
            raise Bad(0, f"found {first[:60]!r}, wanted SIP/2.0 and a status from 100 to 699", "first line")
    elif start:
        out.method, out.uri = start.group(1), start.group(2)
        if start.group(3).upper() != "SIP/2.0":
            late = Bad(505, f"version {start.group(3)[:12]}", "first line")
        elif not TOKEN.match(out.method):
            late = Bad(400, f"found {out.method[:40]!r}, wanted a method", "first line")
    else:
        words = first.split(None, 1)
        out.method, out.uri = (words[0] if words and TOKEN.match(words[0]) else "?"), ""
        late = Bad(
            400, f"found {first[:60]!r}, wanted METHOD URI SIP/2.0 or SIP/2.0 CODE REASON", "first line"
        )
    if len(lines) > 2 * MOST_HEADERS:
        raise Bad(0, f"{len(lines)} header lines")
    folded = []
    for line in lines:
        if line[:1] in (" ", "\t"):
            if not folded:
                raise Bad(400, "a folded line before any header", "headers")
            folded[-1].append(line.strip())
        else:
            folded.append([line])
    wrong = late
    for parts in folded:
        line = " ".join(parts)
        name, colon, value = line.partition(":")
        name = name.rstrip(" \t").lower()
        if not colon or not TOKEN.match(name):
            wrong = wrong or Bad(400, f"found {line[:60]!r}, wanted NAME: VALUE", "headers")
            continue
        name = COMPACT.get(name, name)
        values = [value.strip()]
        if name in LISTS:
            try:
                values = split(value, ",", name)
            except Bad as bad:
                wrong = wrong or bad
                continue
        if name in ONCE and out.get(name) is not None:
            wrong = wrong or Bad(400, "twice in one message", name)
            continue
        out.headers += [(name, v) for v in values if v or name not in LISTS]
    if len(out.headers) > MOST_HEADERS:
        wrong = wrong or Bad(400, f"{len(out.headers)} headers")
    return out, wrong


def _checked(out, wrong):
    """Raises what is wrong with a message whose head was read, with enough of it to answer."""
    try:
        if wrong:
            raise wrong
        for name in ("via", "to", "from", "call-id", "cseq"):
            if out.get(name) is None:
                raise Bad(0 if name == "via" else 400, "there is none", name)
        _, method = out.cseq
        out.via()
        for name in ("to", "from"):
            out.named(name)
        if out.method is not None:
            if method != out.method:
                raise Bad(400, f"found {method[:20]!r} where the request is {out.method[:20]}", "CSeq")
            Uri.read(out.uri, "first line")
            out.number("max-forwards", 255)
            out.number("expires")
        if not out.get("call-id").strip() or any(c in out.get("call-id") for c in " \t"):
            raise Bad(400, f"found {out.get('call-id')[:40]!r}, wanted a word", "Call-ID")
    except Bad as bad:
        bad.partial = out
        raise


def read(data):
    """A datagram's message. Raises Bad."""
    head, mark, rest = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    if not mark:
        raise Bad(400, "no empty line ends the headers") if len(data) < LARGEST_HEAD else Bad(513, "too long")
    if len(head) > LARGEST_HEAD:
        raise Bad(513, f"{len(head)} bytes of headers")
    out, wrong = _head(head)
    try:
        length = out.number("content-length", 2**31)
        if length is not None:
            if length > len(rest):
                raise Bad(400, f"{length} bytes of body were told, {len(rest)} came", "Content-Length")
            rest = rest[:length]  # what follows is none of the message's (18.3)
        if len(rest) > LARGEST_BODY:
            raise Bad(513, f"{len(rest)} bytes of body")
    except Bad as bad:
        wrong = wrong or bad
    out.body = rest
    _checked(out, wrong)
    return out


class Stream:
    """Messages from a stream (18.3): `feed` bytes, get what is whole. Without a Content-Length, or with
    one that can't be read, nobody can tell where the next message begins: Bad, and the connection is to
    be closed."""

    def __init__(self):
        self.data, self.seen = bytearray(), 0

    def feed(self, data):
        """[Message or Bad]; raises Bad where the stream can't go on. An empty pair of lines is a keep-alive
        (RFC 5626) and passed over."""
        self.data += data
        out = []
        while True:
            while self.data[:2] == b"\r\n":
                del self.data[:2]
            end = self.data.find(b"\r\n\r\n", max(0, self.seen - 3))
            if end < 0:
                self.seen = len(self.data)  # what was looked at is not looked at again
                if self.seen > LARGEST_HEAD:
                    raise Bad(513, f"no end of the headers within {LARGEST_HEAD} bytes")
                return out
            if end > LARGEST_HEAD:
                raise Bad(513, f"{end} bytes of headers")
            message, wrong = _head(bytes(self.data[:end]))
            length = message.number("content-length", LARGEST_BODY, 513)
            if length is None:
                raise Bad(400, "a message on a stream must tell its length", "Content-Length")
            if len(self.data) < end + 4 + length:
                self.seen = end
                return out
            message.body = bytes(self.data[end + 4 : end + 4 + length])
            del self.data[: end + 4 + length]
            self.seen = 0
            try:
                _checked(message, wrong)
                out.append(message)
            except Bad as bad:
                out.append(bad)


def response(request, code, reason="", tag=None, headers=(), body=b""):
    """A response to a request (8.2.6): its Via, From, Call-ID and CSeq; To with `tag` where it has none."""
    out = Message(code=code, reason=reason or REASONS.get(code, ""), body=body)
    out.headers = [(n, v) for n, v in request.headers if n in ("via", "from", "call-id", "cseq")]
    if code > 100:
        out.headers += [(n, v) for n, v in request.headers if n == "record-route"]
    to = request.get("to", "")
    if tag and code > 100 and ";tag=" not in to.replace(" ", "").rpartition(">")[2]:
        to += f";tag={tag}"
    out.add("to", to)
    out.headers += [(n, str(v)) for n, v in headers]
    return out
