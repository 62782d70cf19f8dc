"""The store on a disk that fails: after every system call, in every way, no acknowledged record is lost."""

import errno
import itertools
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.store import frames, recovery
from terndrift.store.files import Files
from terndrift.store.store import Broken, Damaged, Held, NotKept, Store, look


class Crash(BaseException):
    """The machine stops here."""


class Disk:
    """Files in memory. What is written but not synced may be lost at a crash; names not synced as well."""

    def __init__(self):
        self.data, self.safe = {}, {}  # name -> bytes: as the system shows it, as it lies on the disk
        self.shown, self.kept = {}, {}  # name -> number of the file: shown, and safe in the folder
        self.handles, self.numbers, self.locks = {}, itertools.count(), set()
        self.calls, self.plan = 0, {}  # n -> what goes wrong at the n-th call
        self.lies = False  # says that a sync is done when it is not

    def _step(self, name):
        self.calls += 1
        what = self.plan.get(self.calls)
        if what == "crash before":
            raise Crash
        if isinstance(what, int):
            raise OSError(what, name)
        return what

    def _after(self, what):
        if what == "crash after":
            raise Crash

    def prepare(self):
        pass

    def names(self):
        return sorted(self.shown)

    def read(self, name):
        return bytes(self.data[self.shown[name]])

    def size(self, name):
        return len(self.data[self.shown[name]])

    def create(self, name):
        what = self._step("create")
        if name in self.shown:
            raise FileExistsError(name)
        number = self.shown[name] = next(self.numbers)
        self.data[number], self.safe[number] = bytearray(), b""
        self._after(what)
        return self._open(number)

    def _open(self, number):
        handle = next(self.numbers)
        self.handles[handle] = number
        return handle

    def append_to(self, name):
        return self._open(self.shown[name])

    def write(self, handle, data):
        what, data = self._step("write"), bytes(data)
        if what == "torn":
            self.data[self.handles[handle]] += data[: len(data) // 2]
            raise Crash
        if what == "short":
            data = data[: max(1, len(data) // 3)]
        if what == "full":
            self.data[self.handles[handle]] += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, "no space")
        self.data[self.handles[handle]] += data
        self._after(what)
        return len(data)

    def sync(self, handle):
        what = self._step("sync")
        if not self.lies:
            number = self.handles[handle]
            self.safe[number] = bytes(self.data[number])
        self._after(what)

    def cut(self, handle, size):
        what = self._step("cut")
        del self.data[self.handles[handle]][size:]
        self._after(what)

    def close(self, handle):
        self.handles.pop(handle, None)
        self.locks.discard(handle)

    def rename(self, old, new):
        what = self._step("rename")
        self.shown[new] = self.shown.pop(old)  # takes the place of what had the name
        self._after(what)

    def remove(self, name):
        what = self._step("remove")
        del self.shown[name]
        self._after(what)

    def sync_folder(self):
        what = self._step("sync folder")
        self.kept = dict(self.shown)
        self._after(what)

    def lock(self, name):
        if self.locks:
            return None
        handle = next(self.numbers)
        self.locks.add(handle)
        return handle

    def crashed(self, keep):
        """The disk after the machine has stopped. `keep`: how much of what was not synced is there: 'none'
        (with the names as last synced), 'removed' (so, but what was removed is gone), 'all', or 'half' (the
        names as shown, half the bytes)."""
        after = Disk()
        after.numbers = self.numbers
        after.shown = dict(self.kept if keep in ("none", "removed") else self.shown)
        if keep == "removed":
            after.shown = {name: number for name, number in after.shown.items() if name in self.shown}
        for number in after.shown.values():
            data, safe = bytes(self.data[number]), self.safe[number]
            if keep in ("none", "removed"):
                data = safe
            elif keep == "half" and data.startswith(safe):
                data = data[: len(safe) + (len(data) - len(safe)) // 2]
            after.data[number], after.safe[number] = bytearray(data), data
        after.kept = dict(after.shown)
        return after


class Sum:
    """A keeper whose state is a dict; a record is (key, value)."""

    def __init__(self):
        self.state = {}

    def restore(self, items):
        self.state = dict(items)

    def replay(self, record):
        self.state[record[0]] = record[1]

    def items(self):
        return list(self.state.items())


def script(disk, acked, tried):
    """A life: appends, two snapshots, appends between their steps. Notes what was tried and acknowledged."""
    keeper = Sum()
    store = Store(disk, {"s": keeper})

    def add(key):
        tried.append(key)
        try:
            store.append([("s", (key, key * 7)), ("s", (f"{key}'", 1))])
        except NotKept:
            tried.remove(key)
            return
        acked.append(key)
        keeper.replay((key, key * 7))
        keeper.replay((f"{key}'", 1))

    for n in range(3):
        add(n)
    for round in (10, 20, 30):
        for n, _ in enumerate(store.snapshot()):
            add(round + n)
        add(round + 9)
    store.close()


def state_after(disk, lenient=False):
    keeper = Sum()
    Store(disk, {"s": keeper}, lenient).close()
    return keeper.state


def holds(state, acked, tried):
    for key in acked:
        assert state.get(key) == key * 7, f"acknowledged record {key} lost"
    for key in tried:
        assert (key in state) == (f"{key}'" in state), "half a change"
    assert {k for k in state if isinstance(k, int)} <= set(tried)


def calls_of_a_life():
    disk = Disk()
    script(disk, [], [])
    return disk.calls


CALLS = calls_of_a_life()


@pytest.mark.parametrize("what", ["crash before", "crash after", "torn", "short", "full", errno.EIO])
def test_whatever_goes_wrong_at_any_call_no_acknowledged_record_is_lost(what):
    hit = 0
    for call in range(1, CALLS + 1):
        disk, acked, tried = Disk(), [], []
        disk.plan = {call: what}
        try:
            script(disk, acked, tried)
        except (Crash, OSError, Broken):
            hit += 1
        for keep in ("none", "removed", "half", "all"):
            after = disk.crashed(keep)
            holds(state_after(after), acked, tried)
            store = Store(after, {"s": Sum()})
            store.append([("s", (77, 77 * 7)), ("s", ("77'", 1))])
            store.close()
            holds(state_after(after), [*acked, 77], [*tried, 77])  # and it goes on from there
    assert hit or what in ("short", "full")


def test_two_crashes_in_a_row_lose_nothing_either():
    for call in range(1, CALLS + 1, 3):
        disk, acked, tried = Disk(), [], []
        disk.plan = {call: "crash after"}
        with suppress(Crash):
            script(disk, acked, tried)
        for again in range(1, 8):
            after = disk.crashed("half")
            after.plan = {again: "crash after"}
            with suppress(Crash):
                state_after(after)
            holds(state_after(after.crashed("half")), acked, tried)


def test_a_disk_that_lies_loses_the_end_but_never_the_middle():
    disk, acked, tried = Disk(), [], []
    script(disk, acked, tried)
    disk.lies = True
    store = Store(disk, {"s": Sum()})
    store.append([("s", (99, 0))])
    state = state_after(disk.crashed("none"))
    holds(state, acked, tried)
    assert 99 not in state


def test_after_a_failed_sync_nothing_more_is_acknowledged():
    disk = Disk()
    store = Store(disk, {"s": Sum()})
    disk.plan = {disk.calls + 2: errno.EIO}
    with pytest.raises(Broken):
        store.append([("s", (1, 1))])
    with pytest.raises(Broken):
        store.append([("s", (2, 2))])


def test_no_space_is_told_and_the_store_goes_on_once_there_is_some():
    disk = Disk()
    store = Store(disk, {"s": Sum()})
    disk.plan = {disk.calls + 1: "full"}
    with pytest.raises(NotKept):
        store.append([("s", (1, 1))])
    store.append([("s", (2, 2))])
    store.close()
    assert state_after(disk) == {2: 2}


def built(count=5, snapshots=0):
    disk, keeper = Disk(), Sum()
    store = Store(disk, {"s": keeper})
    for n in range(count):
        store.append([("s", (n, n))])
        keeper.replay((n, n))
        if n < snapshots:
            list(store.snapshot())
    store.close()
    return disk


def hurt(disk, name, at):
    data = disk.data[disk.shown[name]]
    data[at] ^= 0xFF


def test_damage_in_the_middle_names_file_and_offset_and_needs_the_operators_word():
    disk = built(6)
    name = next(n for n in disk.names() if n.startswith("log-"))
    offsets = [offset for offset, _ in frames.scan(disk.read(name))[0]]
    hurt(disk, name, offsets[3] + 12)
    with pytest.raises(Damaged) as wrong:
        state_after(disk)
    assert f"{name}: at byte {offsets[3]}" in str(wrong.value) and "sound again" in str(wrong.value)
    assert state_after(disk, lenient=True) == {0: 0, 1: 1}
    assert state_after(disk) == {0: 0, 1: 1}, "once told, it is the beginning of what follows"


def test_a_damaged_snapshot_needs_the_word_and_then_the_one_before_loses_nothing():
    disk = built(5, snapshots=3)
    name = [n for n in disk.names() if n.startswith("snap-")][-1]
    hurt(disk, name, disk.size(name) // 2)
    with pytest.raises(Damaged, match=name):
        state_after(disk)
    assert state_after(disk, lenient=True) == {n: n for n in range(5)}


def test_a_log_of_a_newer_version_is_refused_and_one_of_an_older_is_upgraded():
    disk = Disk()
    for format in (recovery.FORMAT + 1, 1):
        disk = Disk()
        handle = disk.create("log-0000000000000001")
        for value in (
            {"kind": "log", "format": format, "first": 1},
            {"first": 1, "records": [("s", {"k": 1})]},
        ):
            disk.write(handle, frames.frame(value))
        disk.kept = dict(disk.shown)
        found = look(disk)
        if format > recovery.FORMAT:
            assert "newer version" in str(found.damage[0])
            with pytest.raises(Damaged):
                Store(disk, {})
        else:
            assert found.records == [(1, "s", {"at": 0, "k": 1})]


def test_a_torn_end_is_dropped_and_told_and_an_unknown_stream_is_kept():
    disk = built(3)
    name = next(n for n in disk.names() if n.startswith("log-"))
    disk.data[disk.shown[name]] += frames.frame({"first": 4, "records": []})[:9]
    store = Store(disk, {})
    assert "9 bytes" in str(store.dropped[0]) and store.last == 3
    store.close()
    other = Disk()
    store = Store(other, {"a": Sum(), "b": Sum()})
    store.append([("a", (1, 1)), ("b", (2, 2))])
    store.keepers["a"].replay((1, 1))
    store.keepers["b"].replay((2, 2))
    list(store.snapshot())
    store.close()
    store = Store(other, {"a": Sum()})
    list(store.snapshot())
    store.close()
    keeper = Sum()
    Store(other, {"b": keeper})
    assert keeper.state == {2: 2}


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.binary(max_size=200), st.integers(0, 400))
def test_no_bytes_on_the_disk_crash_the_reader(junk, at):
    disk = built(3, snapshots=1)
    for name in disk.names():
        data = disk.data[disk.shown[name]]
        data[min(at, len(data)) : min(at, len(data)) + len(junk)] = junk
    found = look(disk)
    assert found.last <= 3 and len(found.records) <= 3


def test_the_real_disk_holds_it_too_and_one_writer_at_a_time(tmp_path):
    keeper = Sum()
    store = Store(Files(str(tmp_path)), {"s": keeper})
    store.append([("s", ("k", "v"))])
    with pytest.raises(Held):
        Store(Files(str(tmp_path)), {})
    keeper.replay(("k", "v"))
    list(store.snapshot())
    store.append([("s", ("l", "w"))])
    store.close()
    again = Sum()
    Store(Files(str(tmp_path)), {"s": again}).close()
    assert again.state == {"k": "v", "l": "w"}
