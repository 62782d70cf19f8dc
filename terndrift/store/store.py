"""The store: opens a folder, appends durably, writes snapshots in slices. Synchronous; see `commit` for the
event loop's side."""

import time
from contextlib import suppress

from terndrift.store import frames, recovery

# Items in one frame of a snapshot: a slice of work of about a ms.
CHUNK = 200


# Put behind the name of a file given up on the operator's word: it is kept for whoever wants to look.
DAMAGED = ".damaged"


class Broken(RuntimeError):
    """The store can't be trusted to keep anything more; it has to be opened anew."""


class Damaged(ValueError):
    """A folder whose state can't be had whole; `found.damage` says where."""

    def __init__(self, found):
        super().__init__("\n".join(map(str, found.damage)))
        self.found = found


class Held(RuntimeError):
    """Another process has the folder."""


class NotKept(OSError):
    """This batch could not be written; the store is as before it, and may be tried again."""


def scanned(files, name):
    data = files.read(name)
    found, end, bad = frames.scan(data)
    if bad is None:
        return recovery.Scanned(name, found, end, len(data), None)
    resumes = frames.sound_after(data, end)
    return recovery.Scanned(name, found, end, len(data), str(bad), resumes is None, resumes)


def look(files, lenient=False):
    """What a folder's files amount to; writes nothing."""
    snapshots, logs, parts = {}, {}, []
    for name in files.names():
        if name.endswith(recovery.PART):
            parts.append(name)
            continue
        n = recovery.number(name)
        if n is not None:
            (logs if name.startswith("log-") else snapshots)[n] = scanned(files, name)
    return recovery.find(snapshots, logs, parts, lenient)


class Store:
    """`keepers`: stream -> an object with `restore(items)`, `replay(record)` and `items()`: the state that
    the stream's records amount to. `items()` is taken at one moment and read over many slices, so it must
    not change under the reader."""

    def __init__(self, files, keepers, lenient=False, clock=time.time):
        self.files, self.keepers, self.clock = files, keepers, clock
        files.prepare()
        self.locked = files.lock("lock")
        if self.locked is None:
            raise Held("the folder is in use by another process")
        self.broken, self.handle = None, None
        try:
            self._open(lenient)
        except BaseException:
            self.close()
            raise

    def _open(self, lenient):
        found = look(self.files, lenient)
        if found.damage and not lenient:
            raise Damaged(found)
        self.dropped, self.last = found.dropped + found.damage, found.last
        items = {}
        if found.snapshot:
            for _, chunk in found.snapshot.frames[1:-1]:
                items.setdefault(chunk["stream"], []).extend(chunk["items"])
        for stream, keeper in self.keepers.items():
            keeper.restore(items.get(stream, []))
        for _, stream, record in found.records:
            if stream in self.keepers:
                self.keepers[stream].replay(record)
        self.unknown = {stream for _, stream, _ in found.records if stream not in self.keepers}
        self.foreign = {s: i for s, i in items.items() if s not in self.keepers}
        self.since_snapshot = len(found.records)
        if lenient and found.damage + found.dropped:
            # what could not be read must not be met again: the state as found becomes the new beginning
            first = f"log-{self.last + 1:016d}"
            if first in self.files.names():  # it has nothing sound, or its records would be in the state
                self.files.rename(first, first + DAMAGED)
            self._begin_log(self.last + 1)
            for _ in self.snapshot(replace=True):
                pass
            for name in {d.file for d in found.damage + found.dropped} & set(self.files.names()):
                if name.startswith("log-") and name != self.name:
                    self.files.rename(name, name + DAMAGED)
            self.files.sync_folder()
        elif found.tail is None or found.tail_end == 0:
            if found.tail is not None and found.tail != f"log-{self.last + 1:016d}":
                self.files.remove(found.tail)
            self._begin_log(self.last + 1)
        else:
            self.handle, self.name, self.end = self.files.append_to(found.tail), found.tail, found.tail_end
            if self.files.size(found.tail) > found.tail_end:
                self.files.cut(self.handle, found.tail_end)
                self.files.sync(self.handle)
        for name in found.stale:
            with suppress(FileNotFoundError):
                self.files.remove(name)

    def _begin_log(self, first):
        name = f"log-{first:016d}"
        if name in self.files.names():
            self.files.remove(name)  # begun before and given up: it has no record that was acknowledged
        handle = self.files.create(name)
        head = frames.frame(
            {"kind": "log", "format": recovery.FORMAT, "first": first, "at": int(self.clock())}
        )
        try:
            self._write(handle, head)
            self.files.sync(handle)
            self.files.sync_folder()
        except OSError:
            self.files.close(handle)
            raise
        self.handle, self.name, self.end = handle, name, len(head)

    def _write(self, handle, data):
        done = 0
        while done < len(data):
            done += self.files.write(handle, data[done:])

    def append(self, records):
        """Makes [(stream, record)] durable, all or none; returns the number of the last one. Raises NotKept
        if it could not be written and nothing has changed, Broken if what the disk holds is in doubt."""
        if self.broken:
            raise Broken(self.broken)
        batch = frames.frame({"first": self.last + 1, "records": list(records)})
        try:
            self._write(self.handle, batch)
        except OSError as wrong:
            try:
                self.files.cut(self.handle, self.end)
                self.files.sync(self.handle)
            except OSError as worse:
                raise self._break(f"{self.name}: {worse}") from None
            raise NotKept(wrong.errno, f"{self.name}: {wrong.strerror or wrong}") from None
        try:
            self.files.sync(self.handle)
        except OSError as wrong:
            # the system may have dropped what it could not write, and would say so only once: never go on
            raise self._break(f"{self.name}: {wrong}") from None
        self.end += len(batch)
        self.last += len(records)
        self.since_snapshot += len(records)
        return self.last

    def _break(self, why):
        self.broken = why
        return Broken(why)

    def capture(self):
        """The state of now, for `snapshot`: taken when every record that is durable has been applied."""
        if self.unknown:
            # a snapshot would be without them, and the log that has them would be dropped
            raise Broken(f"records of streams that this program does not know: {sorted(self.unknown)}")
        parts = {stream: iter(keeper.items()) for stream, keeper in self.keepers.items()}
        return self.last, parts | {stream: iter(items) for stream, items in self.foreign.items()}

    def snapshot(self, captured=None, replace=False):
        """A generator that writes the state captured, a slice at each step (yielding the bytes written), then
        drops what is no longer needed. Records may be appended between the steps: they go to a new log."""
        if self.broken:
            raise Broken(self.broken)
        upto, parts = captured or self.capture()
        older = self.handle
        if self.name != f"log-{self.last + 1:016d}":
            self._begin_log(self.last + 1)
            self.files.close(older)
        self.since_snapshot = self.last - upto
        name = f"snap-{upto:016d}"
        names = self.files.names()
        if name in names and not replace:
            return
        if name + recovery.PART in names:
            self.files.remove(name + recovery.PART)
        handle, chunks = self.files.create(name + recovery.PART), 0
        try:
            head = frames.frame({"kind": "snap", "format": recovery.FORMAT, "at": int(self.clock())})
            self._write(handle, head)
            yield len(head)
            for stream, items in parts.items():
                while chunk := _some(items):
                    data = frames.frame({"stream": stream, "items": chunk})
                    self._write(handle, data)
                    chunks += 1
                    yield len(data)
            self._write(handle, frames.frame({"kind": "end", "chunks": chunks}))
            self.files.sync(handle)
        finally:
            self.files.close(handle)
        yield 0
        self.files.rename(name + recovery.PART, name)
        self.files.sync_folder()
        yield 0
        yield from self._tidy()

    def _tidy(self):
        """Keeps two snapshots, and the logs since the older."""
        numbers = sorted(
            n
            for name in self.files.names()
            if name.startswith("snap-") and (n := recovery.number(name)) is not None
        )
        keep = numbers[-2:]
        for n in numbers[:-2]:
            self.files.remove(f"snap-{n:016d}")
            yield 0
        logs = sorted(
            n
            for name in self.files.names()
            if name.startswith("log-") and (n := recovery.number(name)) is not None
        )
        for n, following in zip(logs, logs[1:], strict=False):
            if len(keep) == 2 and following <= keep[0] + 1:
                self.files.remove(f"log-{n:016d}")
                yield 0

    def close(self):
        if self.handle is not None:
            self.files.close(self.handle)
            self.handle = None
        if self.locked is not None:
            self.files.close(self.locked)
            self.locked = None


def _some(items):
    out = []
    for item in items:
        out.append(item)
        if len(out) == CHUNK:
            break
    return out
