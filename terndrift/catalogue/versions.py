"""Changes to the catalogue: which one wins, what is visible, and the way back. Decides; free of I/O.

Every title keeps its values by version, so a reader sees one version whole while later ones are being made
durable: a change is staged, written down, and only then published; what could not be written is withdrawn.

Which change wins: one is made against a version that its author saw, its base. If a title that it touches
has changed since, it loses and its author is told; titles that others changed do not matter to it. The same
change sent again (by its id) is the one it was and nothing more. That guards against two operators, a
retry after a lost answer and changes that overtake each other; it could do harm where two titles must
change together, which is said by putting both into one change.
"""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from terndrift.catalogue.titles import Fault, Title, faults, title

# Changes whose way back is kept, and whose ids are known again.
HISTORY, IDS = 200, 20_000
# A change of more titles is a load: its way back would be as large as the catalogue.
LOAD = 5_000


class Conflict(Exception):
    """A change that lost; `version`: the newest there is."""

    def __init__(self, why, version):
        super().__init__(why)
        self.version = version


@dataclass
class Change:
    id: str
    by: str = ""
    at: float = 0.0  # seconds since 1970
    base: int | None = None  # the version its author saw; None: whatever is newest
    put: dict = field(default_factory=dict)  # name -> Title
    drop: tuple = ()
    whole: bool = False  # what is not put is dropped
    knows: tuple = ()  # ids of changes that are in it, of a copy of another catalogue


@dataclass
class Past:
    """A change made: what it touched, and what was there before (None: too many to keep)."""

    version: int
    id: str
    by: str
    at: float
    names: int
    before: dict | None  # name -> Title or None


class Versions:
    """`plans`: name -> (floor, top), `ladder`: rates by rung; both as the deployment says."""

    def __init__(self, plans, ladder):
        self.plans, self.ladder = plans, ladder
        self.titles = {}  # name -> [(version, Title or None)], oldest first
        self.newest = self.visible = 0
        self.past, self.ids = deque(maxlen=HISTORY), OrderedDict()  # id -> (version, fingerprint)
        self.staged = {}  # version -> names touched, not yet published
        self.pinned, self.unpruned = 0, set()  # readers that are not done, and what waits for them

    # Reading.

    def get(self, name, version=None):
        """The title at the visible version, or at another; None: there is none."""
        at = self.visible if version is None else version
        for made, value in reversed(self.titles.get(name, ())):
            if made <= at:
                return value
        return None

    def names(self, version=None):
        return [name for name in self.titles if self.get(name, version) is not None]

    def items(self, version):
        """(name, version it was made in, Title) of every title at a version, name by name."""
        for name in list(self.titles):
            for made, value in reversed(self.titles.get(name, ())):
                if made <= version:
                    if value is not None:
                        yield name, made, value
                    break

    def touched(self, since, upto):
        """Names changed after one version up to another; raises Conflict if that is not known any more."""
        out = set()
        past = [p for p in self.past if since < p.version <= upto]
        if len(past) != max(0, upto - since):
            known = self.past[0].version - 1 if self.past else self.visible
            raise Conflict(f"changes are kept from version {known} on, not from {since}", self.visible)
        for p in past:
            if p.before is None:
                raise Conflict(f"version {p.version} was a load of {p.names} titles", self.visible)
            out |= p.before.keys()
        return out

    def value_at(self, name, version):
        """A title's value at a version whose later changes are all kept."""
        for p in self.past:
            if p.version > version and p.before is not None and name in p.before:
                return p.before[name]
        return self.get(name)

    def diff(self, old, new):
        """{name: (Title or None, Title or None)} of what differs between two visible versions."""
        for version in (old, new):
            if not 0 <= version <= self.visible:
                raise Conflict(f"there is no version {version}", self.visible)
        out = {}
        for name in sorted(self.touched(min(old, new), max(old, new))):
            was, now = self.value_at(name, old), self.value_at(name, new)
            if was != now:
                out[name] = (was, now)
        return out

    # Changing.

    def stage(self, change):
        """Checks a change whole and stages it: (version, whether it is new). Raises Fault, Conflict."""
        found = []
        for name, value in change.put.items():
            if not name or len(name) > 256 or not name.isprintable() or "/" in name:
                found.append((f"put.{name[:40]}", "not a name: 1 to 256 printable characters without '/'"))
            found += faults(f"put.{name}", value, self.plans, self.ladder)
        for name in change.drop:
            if name in change.put:
                found.append((f"drop.{name}", "put and dropped at once"))
        if found:
            raise Fault(found)
        mark = fingerprint(change)
        if change.id in self.ids:
            version, was = self.ids[change.id]
            if was not in (mark, ""):  # "": it came with a copy, and what it said is not known
                raise Conflict(f"change '{change.id}' was made before, and was another", self.newest)
            return version, False
        drop = set(change.drop)
        if change.whole:
            drop |= {n for n, v in self.titles.items() if v[-1][1] is not None and n not in change.put}
        self._against(change, [*change.put, *drop])
        missing = [n for n in change.drop if n not in self.titles or self.titles[n][-1][1] is None]
        if missing:
            raise Fault([(f"drop.{n}", "there is no such title") for n in missing])
        return self._make(change, drop, mark), True

    def _against(self, change, names):
        base = change.base
        if base is None:
            return
        if base > self.newest or base < 0:
            raise Conflict(f"made against version {base} where {self.newest} is the newest", self.newest)
        if change.whole and base != self.newest:
            raise Conflict(
                f"a whole catalogue made against version {base}, {self.newest} is the newest", self.newest
            )
        lost = [n for n in names if n in self.titles and self.titles[n][-1][0] > base]
        if lost:
            some = ", ".join(sorted(lost)[:5])
            raise Conflict(f"changed since version {base}: {some}", self.newest)

    def _make(self, change, drop, mark):
        self.newest += 1
        version, before = self.newest, {}
        keep = len(change.put) + len(drop) <= LOAD
        for name, value in [*change.put.items(), *((n, None) for n in drop)]:
            values = self.titles.setdefault(name, [])
            if keep:
                before[name] = values[-1][1] if values else None
            values.append((version, value))
        self.staged[version] = list(change.put) + list(drop)
        for id in change.knows:
            self.ids.setdefault(id, (version, ""))
        self.ids[change.id] = (version, mark)
        while len(self.ids) > IDS:
            self.ids.popitem(last=False)
        self.past.append(
            Past(
                version,
                change.id,
                change.by,
                change.at,
                len(change.put) + len(drop),
                before if keep else None,
            )
        )
        return version

    def publish(self, version):
        """Makes a staged version visible, whole; returns the names it touched."""
        if version != self.visible + 1:
            raise ValueError(f"version {version} after {self.visible}")
        self.visible = version
        names = self.staged.pop(version)
        self.unpruned.update(names)
        self._prune_all()
        return names

    def pin(self):
        """Keeps what the visible version needs, until `unpin`."""
        self.pinned += 1
        return self.visible

    def unpin(self):
        self.pinned -= 1
        self._prune_all()

    def _prune_all(self):
        if not self.pinned:
            for name in self.unpruned:
                if name in self.titles:
                    self._prune(name)
            self.unpruned.clear()

    def _prune(self, name):
        """Forgets values that no reader can ask for any more: before the visible one."""
        values = self.titles[name]
        last = max((n for n, (made, _) in enumerate(values) if made <= self.visible), default=0)
        del values[:last]
        if len(values) == 1 and values[0][1] is None and values[0][0] <= self.visible - HISTORY:
            del self.titles[name]

    def withdraw(self):
        """What was staged and could not be written never was."""
        for version in sorted(self.staged, reverse=True):
            for name in self.staged[version]:
                values = self.titles[name]
                if values and values[-1][0] == version:
                    values.pop()
                if not values:
                    del self.titles[name]
            self.ids = OrderedDict((i, v) for i, v in self.ids.items() if v[0] != version)
        while self.past and self.past[-1].version > self.visible:
            self.past.pop()
        self.staged.clear()
        self.newest = self.visible

    def rollback(self, version, id, by="", at=0.0):
        """The change that brings back a version, as a new one."""
        if not 0 <= version < self.newest:
            raise Conflict(f"there is no earlier version {version}", self.newest)
        put, drop = {}, []
        for name in sorted(self.touched(version, self.visible)):
            was = self.value_at(name, version)
            if was == self.get(name):
                continue
            if was is None:
                drop.append(name)
            else:
                put[name] = was
        return Change(id, by, at, self.newest, put, tuple(drop))


def fingerprint(change):
    """What a change says, without who and when: the same change sent twice has the same."""
    put = sorted((name, repr(value)) for name, value in change.put.items())
    said = repr((put, sorted(change.drop), change.whole)).encode()
    return hashlib.blake2b(said, digest_size=12).hexdigest()


def change_of(value, by, at):
    """A Change from plain values {id, base, put: {name: title}, drop: [names], whole}; raises Fault."""
    found, put = [], {}
    if not isinstance(value, dict):
        raise Fault([("", "an object is wanted")])
    unknown = set(value) - {"id", "base", "put", "drop", "whole"}
    found += [(name, "no such field") for name in sorted(unknown)]
    id, base, drop, whole = (value.get(k) for k in ("id", "base", "drop", "whole"))
    if not isinstance(id, str) or not 0 < len(id) <= 128:
        found.append(("id", "text of 1 to 128 characters is wanted"))
    if base is not None and (not isinstance(base, int) or isinstance(base, bool)):
        found.append(("base", "a version or null is wanted"))
    if drop is not None and not (isinstance(drop, list) and all(isinstance(n, str) for n in drop)):
        found.append(("drop", "a list of names is wanted"))
    if whole not in (None, True, False):
        found.append(("whole", "true or false is wanted"))
    titles = value.get("put")
    if titles is not None and not isinstance(titles, dict):
        found.append(("put", "titles by name are wanted"))
        titles = None
    for name, given in (titles or {}).items():
        try:
            put[name] = given if isinstance(given, Title) else title(f"put.{name}", given)
        except Fault as wrong:
            found += wrong.found
    if found:
        raise Fault(found)
    return Change(id, by, at, base, put, tuple(drop or ()), bool(whole))
