"""CMSD, what servers say with an answer: CTA-5006, CMSD-Static and CMSD-Dynamic."""

from dataclasses import dataclass, field

from http_sfv import Token

from terndrift.hints.cmcd import Key, _checked, is_custom
from terndrift.hints.fields import Ignored, dictionary, hops, written, written_hops

STATIC, DYNAMIC = "CMSD-Static", "CMSD-Dynamic"
STATIC_KEYS = {  # CTA-5006, section 3.1
    "at": Key(STATIC, "int", unit="ms since 1970"),
    "br": Key(STATIC, "int", unit="kbit/s"),
    "d": Key(STATIC, "int", unit="ms"),
    "ht": Key(STATIC, "int", unit="ms"),
    "n": Key(STATIC, "string", longest=64),
    "nor": Key(STATIC, "string", longest=1024),
    "nrr": Key(STATIC, "string", longest=64),
    "ot": Key(STATIC, "token", among=("m", "a", "v", "av", "i", "c", "tt", "k", "o")),
    "sf": Key(STATIC, "token", among=("d", "h", "s", "o")),
    "st": Key(STATIC, "token", among=("v", "l")),
    "su": Key(STATIC, "flag", default=False),
    "v": Key(STATIC, "int", default=1),
}
DYNAMIC_KEYS = {  # CTA-5006, section 3.2; parameters of one server's entry
    "du": Key(DYNAMIC, "flag", default=False),
    "etp": Key(DYNAMIC, "int", unit="kbit/s"),
    "mb": Key(DYNAMIC, "int", unit="kbit/s"),
    "rd": Key(DYNAMIC, "int", unit="ms"),
    "rtt": Key(DYNAMIC, "int", unit="ms"),
}
# Entries of one answer that are read: an answer passes a handful of servers, not dozens.
MOST_HOPS = 16


@dataclass
class Said:
    """What servers said: static keys, and one (name, parameters) for each server passed, in order."""

    static: dict = field(default_factory=dict)
    custom: dict = field(default_factory=dict)
    dynamic: list = field(default_factory=list)
    ignored: list = field(default_factory=list)


def parse(headers):
    """`headers`: name -> text of those that are there. Never raises."""
    said = Said()
    if text := headers.get(STATIC):
        pairs, ignored = dictionary(text, STATIC)
        said.ignored += ignored
        _sort(pairs, STATIC_KEYS, said.static, said.custom, said.ignored)
    if text := headers.get(DYNAMIC):
        entries, ignored = hops(text, DYNAMIC)
        said.ignored += ignored
        if len(entries) > MOST_HOPS:
            said.ignored.append(Ignored(DYNAMIC, f"more than {MOST_HOPS} entries"))
        for name, params in entries[:MOST_HOPS]:
            good = {}
            _sort(params, DYNAMIC_KEYS, good, good, said.ignored)
            said.dynamic.append((name, good))
    return said


def _sort(pairs, keys, values, custom, ignored):
    for name, value in pairs.items():
        key = keys.get(name)
        if key is None:
            if is_custom(name):
                custom[name] = value
            else:
                ignored.append(Ignored(name, "neither a reserved key nor one with a prefix"))
            continue
        good, why = _checked(name, key, value)
        if why:
            ignored.append(Ignored(name, why))
        else:
            values[name] = good


def static_header(values, custom=None):
    pairs = {
        k: Token(v) if STATIC_KEYS[k].form == "token" else v
        for k, v in values.items()
        if v is not None and v != STATIC_KEYS[k].default
    }
    return written(pairs | (custom or {}))


def dynamic_header(entries):
    """`entries`: (server, parameters), first the one farthest from the player (CTA-5006, 3.2)."""
    return written_hops(
        [
            (name, {k: v for k, v in params.items() if v is not None and v is not False})
            for name, params in entries
        ]
    )
