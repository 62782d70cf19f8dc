"""Settings and lists as typed records: `load` reads a file, checks it against a schema, gives plain values.

The language is a small subset of CUE (cuelang.org, the specification of the language): definitions
(`#Plan: {...}`, closed unless they end in `...`), types, bounds (`>=0`), alternatives with a default
(`*1 | int`), unification (`&`, or the same field written twice), patterns (`[string]: #Plan`),
`a: b: 1` for `a: {b: 1}`, comments and `include "file"`. Quantities carry units (250ms, 40kB/s, 64KiB).
"""

import os
from importlib import resources

import msgspec

from terndrift.records.parse import read
from terndrift.records.values import Fault, Place, plain

__all__ = ["Wrong", "load", "loads", "looks"]


class Wrong(ValueError):
    """A file that can't be taken; `faults` has every error found in it, in order."""

    def __init__(self, faults):
        self.faults = sorted(set(faults), key=lambda f: (f.place.file, f.place.line, f.place.column, f.path))
        super().__init__("\n".join(map(str, self.faults)))


def looks(path):
    """What tells a file from what it was when it was last looked at. Raises OSError."""
    stat = os.stat(path)
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def _open(name):
    with open(name, encoding="utf-8") as file:
        return file.read()


def load(name, schema, shape=None):
    """The plain value of file `name` under the schema of that name ('front', 'fleet', ...); with `shape`,
    a msgspec struct of it. Raises Wrong with all that is amiss."""
    try:
        text = _open(name)
    except (OSError, UnicodeDecodeError) as wrong:
        said = getattr(wrong, "strerror", None) or str(wrong)
        raise Wrong([Fault(Place(str(name), 1, 1), "", said, "a readable file")]) from None
    return loads(text, schema, str(name), shape)


def loads(text, schema, name="<text>", shape=None, opener=_open):
    """As `load`, of a text; `opener(name)` gives the text of what it includes, or raises OSError."""
    own = resources.files("terndrift.records").joinpath("schema")
    wanted = own.joinpath(schema + ".rec")

    def either(included):  # a schema includes its fellows, a file what lies beside it
        near = own.joinpath(included.removeprefix("<schema>/"))
        return near.read_text("utf-8") if included.startswith("<schema>/") else opener(included)

    value, reading = read(name, text, either, (f"<schema>/{schema}.rec", wanted.read_text("utf-8")))
    out = None if reading.faults else plain(value, reading)
    if reading.faults:
        # a value that nobody gave stands at its place in the schema; what is wrong is the file
        raise Wrong(
            [
                f
                if not f.place.file.startswith("<schema>")
                else Fault(Place(name, 1, 1), f.path, f.found, f.wanted)
                for f in reading.faults
            ]
        )
    if shape is None:
        return out
    try:
        return msgspec.convert(out, shape)
    except msgspec.ValidationError as wrong:
        raise Wrong([Fault(Place(name, 1, 1), "", str(wrong), f"a {shape.__name__}")]) from None
