"""Quantities with units: durations in whole nanoseconds, rates in bytes a second, sizes in bytes."""

from dataclasses import dataclass
from fractions import Fraction

DURATION = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3600 * 10**9}
SIZE = {"B": 1, "kB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
BITS = {"bit": 1, "kbit": 10**3, "Mbit": 10**6, "Gbit": 10**9}


@dataclass(frozen=True)
class Kind:
    """A type of the language, by its name there, and how a value of it is told to a reader."""

    name: str

    def __str__(self):
        return self.name


INT, FLOAT, STRING, BOOL, NULL = (Kind(n) for n in ("int", "float", "string", "bool", "null"))
DURATIONS, RATES, SIZES = Kind("duration"), Kind("rate"), Kind("size")
KINDS = {str(k): (k,) for k in (INT, STRING, BOOL, NULL, DURATIONS, RATES, SIZES)}
KINDS["float"] = KINDS["number"] = (INT, FLOAT)  # a whole number will do where a number is wanted


def split(text):
    """'1.5ms' -> (Fraction(3, 2), 'ms')."""
    end = next(n for n, c in enumerate(text) if c.isalpha() or c == "%")
    return Fraction(text[:end]), text[end:]


def quantity(text):
    """The kind and the value of a literal with a unit; ValueError names the units there are."""
    amount, unit = split(text)
    if unit == "%":
        return FLOAT, float(amount / 100)
    if unit in DURATION:
        exact = amount * DURATION[unit]
        if exact.denominator != 1:
            raise ValueError(f"{text} is not a whole number of nanoseconds")
        return DURATIONS, int(exact)
    if unit in SIZE:
        return SIZES, int(amount * SIZE[unit])
    per_second = unit.removesuffix("/s")
    if unit.endswith("/s") and per_second in SIZE:
        return RATES, float(amount * SIZE[per_second])
    if unit.endswith("/s") and per_second in BITS:
        return RATES, float(amount * BITS[per_second] / 8)
    known = [*DURATION, *SIZE, "%", *(u + "/s" for u in [*SIZE, *BITS])]
    raise ValueError(f"unit '{unit}' is not known; there are {', '.join(known)}")


def shown(kind, value):
    """A value as it would be written, with the largest unit that keeps it whole."""
    if kind is DURATIONS and value:
        unit = next(u for u in ("h", "m", "s", "ms", "us", "ns") if value % DURATION[u] == 0)
        return f"{value // DURATION[unit]}{unit}"
    if kind is DURATIONS:
        return "0s"
    if kind is RATES:
        return f"{value:g}B/s"
    if kind is SIZES:
        return f"{value}B"
    if kind is BOOL or kind is NULL:
        return {True: "true", False: "false", None: "null"}[value]
    return f'"{value}"' if kind is STRING else f"{value}"
