"""What a folder's files amount to: which snapshot counts, which logs follow it, what is lost. No I/O.

A store has generations: a snapshot `snap-N` holds the state after record N, a log `log-N` the records from
N on. The last two snapshots are kept with every log since the older, so that one damaged snapshot costs
nothing but time. The state is the newest sound snapshot and every record after it, without a gap.

What may be passed over without a word from the operator: a torn end of the last log (it was never
acknowledged), parts of snapshots never finished. All else is damage: a clear error, and the service starts
from the last good state only when told to. That guards what was acknowledged against a silent step back;
it harms nobody but who would rather run on old state, and that is what the word is for.
"""

from dataclasses import dataclass, field

FORMAT = 2
PART = ".part"


@dataclass(frozen=True)
class Damage:
    file: str
    offset: int
    what: str

    def __str__(self):
        return f"{self.file}: at byte {self.offset}: {self.what}"


@dataclass
class Scanned:
    """One file as read: its sound frames, and what stopped the reading (None: its end)."""

    name: str
    frames: list  # (offset, value)
    end: int  # where the last sound frame ends
    size: int
    why: str | None
    torn: bool = False  # stopped because the file ends within a frame, or with nothing sound after
    resumes: int | None = None  # a sound frame further on: the damage is in the middle


@dataclass
class Found:
    """The state to start from."""

    snapshot: Scanned | None = None
    records: list = field(default_factory=list)  # (number, stream, record) after the snapshot, in order
    last: int = 0  # the number of the last record
    tail: str | None = None  # the log to go on with, None: a new one
    tail_end: int = 0  # where its sound part ends
    dropped: list = field(default_factory=list)  # Damage that is passed over
    damage: list = field(default_factory=list)  # Damage that needs the operator's word
    stale: list = field(default_factory=list)  # files that are no longer needed


def number(name):
    """The number in a file's name, or None if it is none of ours."""
    kind, _, digits = name.partition("-")
    return int(digits) if kind in ("log", "snap") and digits.isascii() and digits.isdigit() else None


def newer(scanned):
    """A format that this program does not know."""
    if scanned.frames and isinstance(scanned.frames[0][1], dict):
        known = scanned.frames[0][1].get("format")
        if isinstance(known, int) and known > FORMAT:
            return Damage(scanned.name, 0, f"format {known}, written by a newer version (this one: {FORMAT})")
    return None


def headed(scanned, kind):
    head = scanned.frames[0][1] if scanned.frames else None
    return isinstance(head, dict) and head.get("kind") == kind and isinstance(head.get("format"), int)


def upgraded(format, stream, record):
    """A record of an older format in the form of now. Format 1 had no times beside its records."""
    return (stream, {"at": 0, **record} if format < 2 and isinstance(record, dict) else record)


def whole_snapshot(scanned):
    """None if the snapshot is whole and sound, else its Damage."""
    if (newest := newer(scanned)) is not None:
        return newest
    if not headed(scanned, "snap"):
        return Damage(scanned.name, 0, scanned.why or "it does not begin as a snapshot does")
    if scanned.why:
        return Damage(scanned.name, scanned.end, scanned.why)
    end = scanned.frames[-1][1]
    chunks = len(scanned.frames) - 2
    if not isinstance(end, dict) or end.get("kind") != "end" or end.get("chunks") != chunks:
        return Damage(scanned.name, scanned.end, "it ends before its last chunk")
    return None


def find(snapshots, logs, parts, lenient):
    """`snapshots`, `logs`: Scanned by number, any order; `parts`: names never finished; `lenient`: the
    operator's word to start from the last good state."""
    out = Found(stale=list(parts))
    good = None
    for n in sorted(snapshots, reverse=True):
        damage = whole_snapshot(snapshots[n])
        if damage is None:
            good = n
            break
        (out.dropped if lenient else out.damage).append(damage)
    out.snapshot, out.last = (snapshots[good], good) if good is not None else (None, 0)
    # older generations than the one before the snapshot in force are of no more use
    older = sorted(n for n in snapshots if good is not None and n < good)
    keep_from = older[-1] if older else good or 0
    out.stale += [snapshots[n].name for n in older[:-1]]
    order = sorted(logs)
    for at, n in enumerate(order):
        following = order[at + 1] if at + 1 < len(order) else None
        if following is not None and following <= keep_from + 1:
            out.stale.append(logs[n].name)
            continue
        if not _follow(out, logs[n], n, following is None, lenient):
            break
    return out


def _follow(out, log, first, is_last, lenient):
    """Takes a log's records into the state; False: nothing after it can be taken."""
    if (newest := newer(log)) is not None:
        out.damage.append(newest)
        return False
    if not headed(log, "log"):
        # a log whose very first frame never got to the disk holds nothing that was acknowledged
        if is_last and not log.frames and (log.torn or log.size == 0):
            out.dropped.append(Damage(log.name, 0, log.why or "empty"))
            out.tail, out.tail_end = log.name, 0
            return False
        out.damage.append(Damage(log.name, 0, log.why or "it does not begin as a log does"))
        return False
    format, expected = log.frames[0][1]["format"], first
    for offset, batch in log.frames[1:]:
        begins, records = batch["first"], batch["records"]
        if begins != expected:
            out.damage.append(Damage(log.name, offset, f"record {begins} where {expected} is next"))
            return lenient
        for n, (stream, record) in enumerate(records, begins):
            if n > out.last:
                if n != out.last + 1:
                    gap = f"records {out.last + 1} to {n - 1} are missing"
                    out.damage.append(Damage(log.name, offset, gap))
                    if not lenient:
                        return False
                out.records.append((n, *upgraded(format, stream, record)))
                out.last = n
        expected = begins + len(records)
    if log.why is None:
        if is_last and format == FORMAT:
            out.tail, out.tail_end = log.name, log.end
        return True
    hurt = Damage(log.name, log.end, f"{log.why}; {log.size - log.end} bytes")
    if is_last and log.resumes is None:
        out.dropped.append(hurt)  # a torn end: it was being written when all stopped
        if format == FORMAT:
            out.tail, out.tail_end = log.name, log.end
        return False
    if log.resumes is not None:
        hurt = Damage(log.name, log.end, f"{log.why}; sound again at byte {log.resumes}")
    (out.dropped if lenient else out.damage).append(hurt)
    return False
