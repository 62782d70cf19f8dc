"""Text to values: the grammar, references, definitions and includes."""

import json
import os
from functools import lru_cache
from importlib import resources

from lark import Lark, Token, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from lark.exceptions import LarkError

from terndrift.records.units import BOOL, FLOAT, INT, KINDS, NULL, STRING, quantity
from terndrift.records.values import (
    Atom,
    Either,
    Fault,
    ListOf,
    Member,
    Place,
    Reading,
    Scalar,
    Struct,
    meet,
    under,
)

WORDS = {"true": (BOOL, True), "false": (BOOL, False), "null": (NULL, None)}
# Deeper than any file that a person writes; guards the reader's own stack against one that nobody did.
DEEPEST = 64
NAMES = {
    "NAME": "a name",
    "QUANTITY": "a quantity",
    "INT": "a number",
    "FLOAT": "a number",
    "STRING": "text",
    "DEFINITION": "a definition",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "COLON": "':'",
    "COMMA": "','",
    "VBAR": "'|'",
    "LPAR": "'('",
    "RPAR": "')'",
    "BOUND": "a bound",
    "MARK": "'*'",
    "DOT": "'.'",
    "__ANON_0": "'...'",
    "OPTIONAL": "'?'",
    "INCLUDE": "'include'",
    "__ANON_1": "'&'",
    "$END": "the end of the file",
}


@lru_cache(maxsize=1)
def _grammar():
    text = resources.files("terndrift.records").joinpath("grammar.lark").read_text("utf-8")
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text, file, reading):
    """The tree of one file, or None after noting what stands in the way."""
    try:
        return _grammar().parse(text)
    except UnexpectedToken as wrong:
        found = f"'{wrong.token}'" if wrong.token.type != "$END" else "the end of the file"
        wanted = sorted({NAMES.get(n, n.lower()) for n in wrong.accepts or wrong.expected})
        place = Place(file, max(1, wrong.line), max(1, wrong.column))
        if wrong.token.type == "$END":
            place = Place(file, text.count("\n") + 1, len(text) - text.rfind("\n"))
        reading.faults.append(Fault(place, "", found, "one of " + ", ".join(wanted)))
    except UnexpectedCharacters as wrong:
        found = f"'{text[wrong.pos_in_stream]}'"
        reading.faults.append(Fault(Place(file, wrong.line, wrong.column), "", found, "a field or a value"))
    except (UnexpectedEOF, LarkError) as wrong:
        reading.faults.append(Fault(Place(file, 1, 1), "", type(wrong).__name__, "a readable file"))
    return None


class Scope:
    """The fields of one struct while it is read: name -> trees, for references from within."""

    def __init__(self, outer, file):
        self.outer, self.file, self.trees, self.busy = outer, file, {}, set()


class Reader:
    """Turns trees into values. `opener(name)` gives the text of an included file, or raises OSError."""

    def __init__(self, reading, opener):
        self.reading, self.opener, self.including, self.depth = reading, opener, [], 0

    def file(self, name, text, scope=None):
        """The struct of a file; includes are unified into it."""
        tree = parse(text, name, self.reading)
        here = scope or Scope(None, name)
        if tree is None:
            return Struct({}, [], False, Place(name, 1, 1))
        self.including.append(name)
        value = self._struct(tree.children, here, "", Place(name, 1, 1), name)
        self.including.pop()
        return value

    def _struct(self, children, scope, path, place, file):
        out = Struct({}, [], False, place)
        fields, included = [], []
        for child in children:
            if child.data == "include":
                included.append(child)
            elif child.data == "field":
                fields.append(child)
                label = child.children[0]
                if label.data != "pattern":
                    scope.trees.setdefault(_label(label), []).append((child.children[-1], file))
        for child in included:
            out = meet(out, self._include(child, scope, file), self.reading, path)
        for child in fields:
            self._field(out, child, scope, path, file)
        for name, member in out.members.items():
            for names, wanted in out.patterns:
                if not name.startswith("#") and names.admits(Atom(STRING, name, place)):
                    member.value = meet(wanted, member.value, self.reading, under(path, name))
        return out

    def _field(self, out, child, scope, path, file):
        label, body = child.children[0], child.children[-1]
        if label.data == "pattern":
            names = self.value(label.children[0], scope, path, file)
            if not isinstance(names, Scalar):
                self.reading.fault(self._place(label, file), path, names, "a type or bound of names")
                return
            out.patterns.append((names, self.value(body, scope, under(path, "[]"), file)))
            return
        name, optional = _label(label), len(child.children) == 3
        here = under(path, name)
        value = self.value(body, scope, here, file)
        if name.startswith("#") and isinstance(value, Struct):
            value.closed = not getattr(value, "open", False)
        if name in out.members:
            was = out.members[name]
            value = meet(was.value, value, self.reading, here)
            optional = optional and was.optional
        out.members[name] = Member(value, optional)

    def _include(self, child, scope, file):
        name = json.loads(child.children[0])
        at = self._place(child, file)
        wanted = name if os.path.isabs(name) else os.path.join(os.path.dirname(file), name)
        if wanted in self.including:
            self.reading.fault(at, "", f"include of '{name}' within itself", "a file not yet being read")
            return Struct({}, [], False, at)
        try:
            text = self.opener(wanted)
        except (OSError, UnicodeDecodeError) as wrong:
            said = getattr(wrong, "strerror", None) or wrong
            self.reading.fault(at, "", f"'{name}': {said}", "a readable file")
            return Struct({}, [], False, at)
        return self.file(wanted, text, scope)

    def value(self, tree, scope, path, file):
        self.depth += 1
        try:
            if self.depth > DEEPEST:
                place = self._place(tree, file)
                self.reading.fault(place, path, "nesting without end", f"at most {DEEPEST} levels")
                return Scalar(None, (), place)
            return getattr(self, "_v_" + tree.data)(tree, scope, path, file)
        finally:
            self.depth -= 1

    def _place(self, tree, file):
        if isinstance(tree, Token):
            return Place(file, tree.line, tree.column)
        return Place(file, getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))

    def _v_nested(self, tree, scope, path, file):
        inner = Scope(scope, file)
        out = Struct({}, [], False, self._place(tree, file))
        self._field(out, tree, inner, path, file)
        return out

    def _v_struct(self, tree, scope, path, file):
        fields = [c for c in tree.children if c.data != "open"]
        value = self._struct(fields, Scope(scope, file), path, self._place(tree, file), file)
        value.open = len(fields) < len(tree.children)
        return value

    def _v_list(self, tree, scope, path, file):
        rest, items = None, []
        for child in tree.children:
            if child.data == "rest":
                inner = child.children
                rest = (
                    self.value(inner[0], scope, f"{path}[]", file)
                    if inner
                    else Scalar(None, (), self._place(child, file))
                )
            else:
                items.append(self.value(child, scope, f"{path}[{len(items)}]", file))
        return ListOf(tuple(items), rest, self._place(tree, file))

    def _v_either(self, tree, scope, path, file):
        options, preferred = [], None
        for child in tree.children:
            inner = child.children[0] if child.data == "meet" and len(child.children) == 1 else child
            if inner.data == "preferred":
                preferred = self.value(inner.children[1], scope, path, file)
                options.append(preferred)
            else:
                options.append(self.value(child, scope, path, file))
        return Either(tuple(options), preferred, self._place(tree, file))

    def _v_preferred(self, tree, scope, path, file):
        self.reading.fault(self._place(tree, file), path, "'*'", "'*' only before an alternative of '|'")
        return self.value(tree.children[1], scope, path, file)

    def _v_meet(self, tree, scope, path, file):
        value = self.value(tree.children[0], scope, path, file)
        for child in tree.children[1:]:
            value = meet(value, self.value(child, scope, path, file), self.reading, path)
        return value

    def _v_bound(self, tree, scope, path, file):
        op, limit = tree.children
        atom = self.value(limit, scope, path, file)
        kinds = KINDS["number"] if atom.kind in (INT, FLOAT) else (atom.kind,)
        return Scalar(kinds, ((str(op), atom),), self._place(tree, file))

    def _v_path(self, tree, scope, path, file):
        first, *rest = (str(t) for t in tree.children)
        place = self._place(tree, file)
        if not rest and first in WORDS:
            return Atom(*WORDS[first], place)
        at = scope
        while at is not None and first not in at.trees:
            at = at.outer
        if at is None:
            if not rest and first in KINDS:
                return Scalar(KINDS[first], (), place)
            if first in ("_", "any"):
                return Scalar(None, (), place)
            self.reading.fault(place, path, f"'{first}'", "a name that is defined")
            return Scalar(None, (), place)
        if first in at.busy:
            self.reading.fault(place, path, f"'{first}' within itself", "a value that does not need itself")
            return Scalar(None, (), place)
        at.busy.add(first)
        value = None
        for body, source in at.trees[first]:
            more = self.value(body, at, path, source)
            value = more if value is None else meet(value, more, self.reading, path)
        at.busy.discard(first)
        if first.startswith("#") and isinstance(value, Struct):
            value.closed = not getattr(value, "open", False)
        for name in rest:
            member = value.members.get(name) if isinstance(value, Struct) else None
            if member is None:
                self.reading.fault(place, path, f"'{name}' in {value}", "a field that it has")
                return Scalar(None, (), place)
            value = member.value
        return value

    def _v_quantity(self, tree, scope, path, file):
        place = self._place(tree, file)
        try:
            return Atom(*quantity(tree.children[0]), place)
        except ValueError as wrong:
            self.reading.fault(place, path, f"'{tree.children[0]}'", str(wrong))
            return Scalar(None, (), place)

    def _v_float(self, tree, scope, path, file):
        return Atom(FLOAT, float(tree.children[0]), self._place(tree, file))

    def _v_int(self, tree, scope, path, file):
        return Atom(INT, int(tree.children[0]), self._place(tree, file))

    def _v_string(self, tree, scope, path, file):
        place = self._place(tree, file)
        try:
            return Atom(STRING, json.loads(tree.children[0]), place)
        except ValueError:
            self.reading.fault(place, path, tree.children[0], "text with known escapes")
            return Atom(STRING, "", place)


def _label(label):
    token = label.children[0]
    return json.loads(token) if label.data == "quoted" else str(token)


def read(name, text, opener, schema=None):
    """A file's value, unified with a schema (a file name and its text), and the faults found."""
    reading = Reading()
    value = Reader(reading, opener).file(name, text)
    if schema and not reading.faults:
        wanted = Reader(reading, opener).file(*schema)
        top = wanted.members.get("#File")
        value = meet(top.value if top else wanted, value, reading, "")
    return value, reading
