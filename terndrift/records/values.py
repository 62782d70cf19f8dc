"""The lattice of values: what unifies with what, and what is said where nothing does.

A value is one of `Atom` (concrete), `Scalar` (kinds and bounds), `Struct`, `ListOf` or `Either`. `meet`
gives the value that satisfies both of two, noting each clash in a list of `Fault`s and going on, so that
one reading tells every error.
"""

import operator
import re
from dataclasses import dataclass, field

from terndrift.records.units import STRING, shown


@dataclass(frozen=True)
class Place:
    file: str
    line: int
    column: int

    def __str__(self):
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Fault:
    place: Place
    path: str  # of the field, dotted; empty at the top
    found: str
    wanted: str

    def __str__(self):
        where = f"{self.path}: " if self.path else ""
        return f"{self.place}: {where}found {self.found}, wanted {self.wanted}"


@dataclass(frozen=True)
class Atom:
    kind: object
    value: object
    place: Place

    def __str__(self):
        return shown(self.kind, self.value)


OPS = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
    "!=": operator.ne,
    "=~": lambda value, pattern: re.search(pattern, value) is not None,
}


@dataclass(frozen=True)
class Scalar:
    kinds: tuple | None  # None: any
    bounds: tuple  # of (operator, Atom)
    place: Place

    def admits(self, atom):
        if self.kinds is not None and atom.kind not in self.kinds:
            return False
        for op, limit in self.bounds:
            if op == "=~" and atom.kind is not STRING:
                return False
            comparable = (
                atom.kind is limit.kind
                or not isinstance(atom.value, str | bool)
                and not isinstance(limit.value, str | bool)
                and {atom.kind.name, limit.kind.name} <= {"int", "float"}
            )
            if not comparable or not OPS[op](atom.value, limit.value):
                return False
        return True

    def __str__(self):
        names = [] if self.kinds is None else ["number" if len(self.kinds) > 1 else str(self.kinds[0])]
        return " & ".join(names + [f"{op}{limit}" for op, limit in self.bounds]) or "anything"


@dataclass
class Member:
    value: object
    optional: bool


@dataclass
class Struct:
    members: dict  # name -> Member
    patterns: list  # of (Scalar of names, value)
    closed: bool
    place: Place

    def __str__(self):
        names = [n for n in self.members if not n.startswith("#")]
        return "{" + ", ".join(names[:6]) + (", ...}" if len(names) > 6 else "}")


@dataclass(frozen=True)
class ListOf:
    items: tuple
    rest: object | None  # what further items must be; None: no more
    place: Place

    def __str__(self):
        return f"[{len(self.items)} items]" if self.items or self.rest is None else f"[...{self.rest}]"


@dataclass(frozen=True)
class Either:
    options: tuple
    preferred: object | None
    place: Place

    def __str__(self):
        return " | ".join(("*" if o is self.preferred else "") + str(o) for o in self.options)


@dataclass
class Reading:
    """Faults so far, and the path of the field in hand."""

    faults: list = field(default_factory=list)

    def fault(self, place, path, found, wanted):
        self.faults.append(Fault(place, path, str(found), str(wanted)))


def under(path, name):
    return f"{path}.{name}" if path else str(name)


def meet(a, b, reading, path):
    """What satisfies both `a` and `b`; a clash is noted and `a` stands."""
    if isinstance(b, Either) and not isinstance(a, Either):
        a, b = b, a
    if isinstance(a, Either):
        return _meet_either(a, b, reading, path)
    if isinstance(a, Struct) and isinstance(b, Struct):
        return _meet_structs(a, b, reading, path)
    if isinstance(a, ListOf) and isinstance(b, ListOf):
        return _meet_lists(a, b, reading, path)
    if isinstance(a, Scalar) and isinstance(b, Atom):
        a, b = b, a
    if isinstance(a, Atom) and isinstance(b, Scalar):
        if not b.admits(a):
            reading.fault(a.place, path, a, b)
        return a
    if isinstance(a, Scalar) and isinstance(b, Scalar):
        if a.kinds is None or b.kinds is None:
            kinds = a.kinds or b.kinds
        else:
            kinds = tuple(k for k in a.kinds if k in b.kinds)
            if not kinds:
                reading.fault(b.place, path, b, a)
                return a
        return Scalar(kinds, a.bounds + tuple(x for x in b.bounds if x not in a.bounds), b.place)
    if isinstance(a, Atom) and isinstance(b, Atom) and a.kind is b.kind and a.value == b.value:
        return a
    if isinstance(a, Scalar) and a.kinds is None and not a.bounds:
        return b
    if isinstance(b, Scalar) and b.kinds is None and not b.bounds:
        return a
    # what is wrong is what a person wrote, not the schema; of two that they wrote, what is concrete
    found, wanted = (a, b) if (_written(a), _concrete(a)) > (_written(b), _concrete(b)) else (b, a)
    reading.fault(found.place, path, found, wanted)
    return a


def _written(value):
    return not value.place.file.startswith("<schema>")


def _concrete(value):
    return isinstance(value, Atom) or isinstance(value, Struct) and not value.closed


def _meet_either(a, b, reading, path):
    options, preferred = [], None
    others = b.options if isinstance(b, Either) else (b,)
    for x in a.options:
        for y in others:
            trial = Reading()
            both = meet(x, y, trial, path)
            if not trial.faults:
                options.append(both)
                wanted_a = a.preferred is None or x is a.preferred
                wanted_b = not isinstance(b, Either) or b.preferred is None or y is b.preferred
                marked = a.preferred is not None or isinstance(b, Either) and b.preferred is not None
                if wanted_a and wanted_b and marked and preferred is None:
                    preferred = both
    if not options:
        # one alternative of the same shape: its own faults say more than "none of them"
        alike = [x for x in a.options if type(x) is type(b) and isinstance(b, Struct | ListOf)]
        if len(alike) == 1:
            return meet(alike[0], b, reading, path)
        reading.fault(b.place, path, b, a)
        return b
    if len(options) == 1:
        return options[0]
    return Either(tuple(options), preferred, b.place)


def _meet_structs(a, b, reading, path):
    out = Struct(
        {},
        a.patterns + [p for p in b.patterns if p not in a.patterns],
        a.closed or b.closed,
        b.place if a.closed else a.place,
    )
    for name in [*a.members, *(n for n in b.members if n not in a.members)]:
        mine, theirs = a.members.get(name), b.members.get(name)
        here = under(path, name)
        if mine and theirs:
            value = meet(mine.value, theirs.value, reading, here)
            out.members[name] = Member(value, mine.optional and theirs.optional)
            continue
        got, other = (mine, b) if mine else (theirs, a)
        value, known = got.value, False
        for names, wanted in other.patterns:
            if names.admits(Atom(STRING, name, got.value.place)):
                value, known = meet(wanted, value, reading, here), True
        if other.closed and not known and not name.startswith("#"):
            fields = ", ".join(n for n in other.members if not n.startswith("#")) or "none"
            reading.fault(got.value.place, here, f"field '{name}'", f"one of {fields}")
            continue
        out.members[name] = Member(value, got.optional)
    return out


def _meet_lists(a, b, reading, path):
    longer, shorter = (a, b) if len(a.items) >= len(b.items) else (b, a)
    items = []
    for n, item in enumerate(longer.items):
        other = shorter.items[n] if n < len(shorter.items) else shorter.rest
        if other is None:
            reading.fault(longer.place, path, f"{len(longer.items)} items", f"{len(shorter.items)} items")
            break
        items.append(meet(other, item, reading, f"{path}[{n}]"))
    rest = a.rest and b.rest and meet(a.rest, b.rest, reading, f"{path}[...]")
    return ListOf(tuple(items), rest, longer.place)


def plain(value, reading, path=""):
    """The Python value of what is concrete, defaults taken; what is not is noted as a fault."""
    if isinstance(value, Atom):
        return value.value
    if isinstance(value, Either):
        if value.preferred is not None:
            return plain(value.preferred, reading, path)
        atoms = {o.value for o in value.options if isinstance(o, Atom)}
        if len(atoms) == 1 and len(value.options) == 1:
            return atoms.pop()
    if isinstance(value, Struct):
        out = {}
        for name, member in value.members.items():
            if name.startswith("#") or member.optional:
                continue  # a definition, or an optional field that nobody gave
            out[name] = plain(member.value, reading, under(path, name))
        return out
    if isinstance(value, ListOf):
        return [plain(v, reading, f"{path}[{n}]") for n, v in enumerate(value.items)]
    reading.fault(value.place, path, "nothing", value)
    return None
