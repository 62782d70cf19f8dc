"""CMCD, what a player says with a request: CTA-5004, in its four headers or its query argument."""

from dataclasses import dataclass, field
from urllib.parse import quote, unquote

from http_sfv import Token

from terndrift.hints.fields import Ignored, dictionary, written


@dataclass(frozen=True)
class Key:
    """A reserved key: its header, its type and, for numbers, the unit that it is rounded to."""

    header: str
    form: str  # int, decimal, string, token, flag
    step: int = 1
    up: bool = False  # rounded up, not to the nearest
    among: tuple = ()
    default: object = None  # a value that is not sent (flags: False)
    longest: int = 0
    unit: str = ""


REQUEST, OBJECT, STATUS, SESSION = "CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session"
HEADERS = (REQUEST, OBJECT, STATUS, SESSION)
KEYS = {  # CTA-5004, table 1
    "bl": Key(REQUEST, "int", 100, unit="ms"),
    "br": Key(OBJECT, "int", unit="kbit/s"),
    "bs": Key(STATUS, "flag", default=False),
    "cid": Key(SESSION, "string", longest=64),
    "d": Key(OBJECT, "int", unit="ms"),
    "dl": Key(REQUEST, "int", 100, unit="ms"),
    "mtp": Key(REQUEST, "int", 100, unit="kbit/s"),
    "nor": Key(REQUEST, "string", longest=1024),
    "nrr": Key(REQUEST, "string", longest=64),
    "ot": Key(OBJECT, "token", among=("m", "a", "v", "av", "i", "c", "tt", "k", "o")),
    "pr": Key(SESSION, "decimal", default=1),
    "rtp": Key(STATUS, "int", 100, up=True, unit="kbit/s"),
    "sf": Key(SESSION, "token", among=("d", "h", "s", "o")),
    "sid": Key(SESSION, "string", longest=64),
    "st": Key(SESSION, "token", among=("v", "l")),
    "su": Key(REQUEST, "flag", default=False),
    "tb": Key(OBJECT, "int", unit="kbit/s"),
    "v": Key(SESSION, "int", default=1),
}
LARGEST = 10**12  # over any rate or time that a player can mean; guards sums on what is made of it


@dataclass
class Hints:
    """What a request said: reserved keys, custom keys, and what had to be ignored."""

    values: dict = field(default_factory=dict)
    custom: dict = field(default_factory=dict)  # key -> (header, value); header None: from the query
    ignored: list = field(default_factory=list)

    def get(self, key, default=None):
        return self.values.get(key, default)


def _checked(name, key, value):
    """The value in its type, or why it is not one."""
    if key.form == "flag":
        return (value, None) if isinstance(value, bool) else (None, "not a flag")
    if key.form == "token":
        if isinstance(value, str) and str(value) in key.among:
            return str(value), None
        return None, f"not one of {', '.join(key.among)}"
    if key.form == "string":
        if not isinstance(value, str) or isinstance(value, Token):
            return None, "not text in quotes"
        if not value.isascii() or not value.isprintable():
            return None, "not printable ASCII"
        return (value, None) if len(value) <= key.longest else (None, f"longer than {key.longest} characters")
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None, "not a number"
    if key.form == "int" and not isinstance(value, int):
        return None, "not a whole number"
    if not 0 <= value <= LARGEST:
        return None, "out of range"
    return value, None


def is_custom(name):
    """Custom keys carry a hyphenated prefix of their author's, best a reversed domain (CTA-5004, 2.3)."""
    return "-" in name.strip("-")


def _take(hints, pairs, header):
    for name, value in pairs.items():
        key = KEYS.get(name)
        if key is None:
            if is_custom(name):
                hints.custom[name] = (header, value)
            else:
                hints.ignored.append(Ignored(name, "neither a reserved key nor one with a prefix"))
            continue
        good, why = _checked(name, key, value)
        if why:
            hints.ignored.append(Ignored(name, why))
        elif name in hints.values and hints.values[name] != good:
            hints.ignored.append(Ignored(name, "contradicts what was said before it"))
        else:
            hints.values[name] = good
            if header and header != key.header:
                hints.ignored.append(Ignored(name, f"belongs into {key.header}; taken all the same"))


def parse(headers, query=None):
    """`headers`: name -> text of the four that are there (repeats joined by commas); `query`: the CMCD
    argument, decoded from its URL. Headers are believed over the query. Never raises."""
    hints = Hints()
    for header in HEADERS:
        if text := headers.get(header):
            pairs, ignored = dictionary(text, header)
            hints.ignored += ignored
            _take(hints, pairs, header)
    if query:
        pairs, ignored = dictionary(query, "CMCD")
        hints.ignored += ignored
        _take(hints, pairs, None)
    return hints


def from_query(raw):
    """The CMCD argument of a raw query string, decoded; None: there is none."""
    for part in raw.split("&"):
        name, _, value = part.partition("=")
        if name == "CMCD":
            return unquote(value, errors="replace")
    return None


def _sent(values):
    """Reserved keys as they are sent: rounded, defaults left out, tokens as tokens."""
    out = {}
    for name, value in values.items():
        key = KEYS[name]
        if value is None or value == key.default:
            continue
        if key.form == "token":
            value = Token(value)
        elif key.form == "int" and key.step > 1:
            value = (value + (key.step - 1 if key.up else key.step // 2)) // key.step * key.step
        out[name] = value
    return out


def headers(values, custom=None):
    """The headers that say so: name -> text. `custom`: key -> (header or None, value)."""
    groups = {}
    for name, value in _sent(values).items():
        groups.setdefault(KEYS[name].header, {})[name] = value
    for name, (header, value) in (custom or {}).items():
        groups.setdefault(header or SESSION, {})[name] = value
    return {header: written(groups[header]) for header in HEADERS if header in groups}


def query(values, custom=None):
    """The value of the CMCD argument, encoded for a URL."""
    pairs = _sent(values) | {name: value for name, (_, value) in (custom or {}).items()}
    return quote(written(pairs).replace(", ", ","), safe="")
