"""Structured fields (RFC 8941) read leniently: one bad member costs itself, not its neighbours."""

from dataclasses import dataclass
from decimal import Decimal

import http_sfv

# Far over what all reserved keys need at their longest; a longer field is somebody's mistake or attack.
LONGEST = 4096


@dataclass(frozen=True)
class Ignored:
    """A hint that was left out: its key (or the field's name) and why."""

    key: str
    why: str


class Malformed(ValueError):
    """The one error of this package: a value that can't be written as a hint."""


def members(text):
    """Splits a dictionary or list at the commas outside of quotes."""
    out, start, quoted, escaped = [], 0, False, False
    for n, c in enumerate(text):
        if escaped:
            escaped = False
        elif quoted and c == "\\":
            escaped = True
        elif c == '"':
            quoted = not quoted
        elif c == "," and not quoted:
            out.append(text[start:n])
            start = n + 1
    out.append(text[start:])
    return out


def _parsed(make, text):
    """One structured field, or None. The library raises ValueError for most bad input and, for some
    (an empty member, text cut short), others of its own making: every one means 'not a field'."""
    try:
        field = make()
        field.parse(text.encode("ascii"))
    except (ValueError, IndexError, KeyError, TypeError, ArithmeticError):
        return None
    return field


def _bare(value):
    return float(value) if isinstance(value, Decimal) else value


def dictionary(text, where):
    """(key -> value, ignored): tokens stay `http_sfv.Token`, decimals become floats; params are dropped."""
    if len(text) > LONGEST:
        return {}, [Ignored(where, f"longer than {LONGEST} characters")]
    whole = _parsed(http_sfv.Dictionary, text)
    if whole is not None:
        out, ignored, seen = {}, [], set()
        for part in members(text):  # a dictionary keeps the last of equal keys, without a word
            key = part.strip().partition("=")[0].partition(";")[0]
            if key in seen:
                ignored.append(Ignored(key, "given more than once; the last one counts"))
            seen.add(key)
        for key, item in whole.items():
            if isinstance(item, http_sfv.InnerList):
                ignored.append(Ignored(key, "a list where one value is wanted"))
            else:
                out[key] = _bare(item.value)
        return out, ignored
    out, ignored = {}, []
    for part in members(text):
        one = _parsed(http_sfv.Dictionary, part.strip()) if part.strip() else None
        if not one:
            ignored.append(Ignored(part.strip()[:40] or where, "not a key with a value"))
            continue
        for key, item in one.items():
            if isinstance(item, http_sfv.InnerList):
                ignored.append(Ignored(key, "a list where one value is wanted"))
                continue
            if key in out:
                ignored.append(Ignored(key, "given more than once; the last one counts"))
            out[key] = _bare(item.value)
    return out, ignored


def hops(text, where):
    """A list of (name, parameters), as CMSD-Dynamic is one; (hops, ignored)."""
    if len(text) > LONGEST:
        return [], [Ignored(where, f"longer than {LONGEST} characters")]
    whole, ignored = _parsed(http_sfv.List, text), []
    items = list(whole) if whole is not None else []
    if whole is None:
        for part in members(text):
            one = _parsed(http_sfv.List, part.strip()) if part.strip() else None
            if not one:
                ignored.append(Ignored(part.strip()[:40] or where, "not a name with parameters"))
            else:
                items += one
    out = []
    for item in items:
        if isinstance(item, http_sfv.InnerList) or not isinstance(item.value, str):
            ignored.append(Ignored(str(item)[:40], "not a name with parameters"))
        else:
            out.append((str(item.value), {k: _bare(v) for k, v in item.params.items()}))
    return out, ignored


def written(pairs):
    """A dictionary as text, keys in order of the alphabet as CTA-5004 asks."""
    out = http_sfv.Dictionary()
    if not pairs:
        return ""  # the library has no text for a dictionary of nothing: such a header is not sent
    try:
        for key in sorted(pairs):
            out[key] = http_sfv.Item(_writable(pairs[key]))
        return str(out)
    except (ValueError, TypeError, ArithmeticError, AttributeError) as wrong:
        raise Malformed(f"{pairs!r}: {wrong or 'not to be written'}") from None


def written_hops(entries):
    out = http_sfv.List()
    if not entries:
        return ""
    try:
        for name, params in entries:
            item = http_sfv.Item(str(name))
            for key in sorted(params):
                item.params[key] = _writable(params[key])
            out.append(item)
        return str(out)
    except (ValueError, TypeError, ArithmeticError, AttributeError) as wrong:
        raise Malformed(f"{entries!r}: {wrong or 'not to be written'}") from None


def _writable(value):
    if isinstance(value, float):
        return round(value, 3)  # three places are all that RFC 8941 decimals have
    return value
