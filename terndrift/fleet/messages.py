"""What controllers say to each other: msgspec structs in MessagePack, one to a datagram or an HTTP body.

`Sealed` is around every message: a fleet's name, who speaks and to whom. What does not fit is dropped by
`opened`, never an exception: datagrams come from anywhere.
"""

import msgspec

# A datagram that no network on the way has to cut: what IPv6 carries whole (RFC 8200, 5), less headers.
DATAGRAM = 1200
# A body over HTTP: a part of the record, or all members of a large fleet.
BODY = 4 << 20


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True, omit_defaults=True):
    pass


# Members (members.py).


class News(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a member: `run`, its start (ms since 1970); `incarnation` counts its own
    refutations."""

    name: str
    run: int
    incarnation: int
    state: int  # members.Standing


class Ping(Message):
    seq: int
    news: list[News] = []


class Ack(Message):
    seq: int
    news: list[News] = []


class AskFor(Message):
    """Please ping that member for me; `Nack` tells that it did not answer you either (Lifeguard)."""

    seq: int
    target: str
    news: list[News] = []


class Nack(Message):
    seq: int


class Whole(Message):
    """All that a member knows; the other side answers with its own, unless this is the answer."""

    news: list[News]
    answer: bool = False


# The record (record.py). `epoch`: (number, mark) of its beginning; `who`: identity of the speaking voter.


class Entry(msgspec.Struct, array_like=True, frozen=True):
    term: int
    kind: str  # "begin" of a leader's term, "voters" in force from here on, or "value"
    id: str  # of the proposal
    value: object = None


class Raft(Message):
    epoch: tuple[int, str]
    who: str
    term: int


class AskVote(Raft):
    last_term: int
    last: int
    pre: bool  # would you vote for me? Nothing is changed by it
    planned: bool = False  # the leader stops and has named me: it does not matter how lately it was heard


class Vote(Raft):
    granted: bool
    pre: bool
    asked: int  # the term asked for


class Append(Raft):
    before_term: int
    before: int
    entries: list[Entry]
    agreed: int
    round: int  # of the leader's questions: an answer tells that it was heard since
    seen: dict[str, int] = {}  # identity -> the highest entry that it was seen to confirm


class Kept(Raft):
    ok: bool
    last: int  # kept up to here; not ok: try from here
    round: int


class Base(Raft):
    """The state up to `last`, for one whose next entries are no longer kept."""

    last_term: int
    last: int
    state: dict
    round: int


class Lead(Raft):
    """Stand for election now: the leader is about to stop."""


class Hello(Raft):
    """A voter that has started asks the others what they hold and have seen of it."""

    nonce: str
    last: int


class Seen(Raft):
    nonce: str
    last_term: int
    last: int
    yours: int  # the highest entry that you were seen to confirm
    voters: dict[str, str]


class LetIn(Raft):
    """A voter under a new identity asks to be let in."""

    name: str


class Propose(Message):
    id: str
    value: object
    hops: int = 0


class Holds(Message):
    """To the voters while there is work: by which of it (`rev`) this controller goes, and how many playbacks
    and set-ups it has on each machine that it has told off; of those that wait, on which it has most."""

    rev: int
    counts: dict[str, int]
    wall: int = 0  # ms since 1970 by its clock
    asked: int = 0  # by viewers, of late
    turned: int = 0  # away, of these
    ill: list[str] = []  # machines that warm up, at which it can't set up
    left: dict[str, dict] = {}  # rows of machines that were out by an earlier beginning of the record


# What is known of streamers (warm.py).


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """Of a streamer, by one witness, who saw it in that run: its start as their list says (ns since 1970, 0:
    long ago), for how long it was seen to run, how long ago that was, and how long ago it was seen to fail
    (-1: not since); all but the start in ms."""

    address: str
    who: str
    run: int
    started: int
    ran: int
    ago: int
    ill: int = -1
    use: int = 0  # hundredths of its link that were asked for


class AskKnown(Message):
    """From one that has started: what do you know?"""


class Knows(Message):
    """`answers`: a question, with all that is known."""

    facts: list[Fact]
    answers: bool = False


# Catalogues (copies.py).


class AskHead(Message):
    """From one that has started: how far is your catalogue?"""


class Head(Message):
    """`ids` of its last changes, newest last; `sure`: others' word says that none is ahead."""

    count: int
    ids: list[str] = []
    sure: bool = False


# Load (load.py), and what rides beside it (beside.py).


class Beside(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """`found`: streamer -> row (findings.py); `back`: how many were told to come in each of the next
    seconds; `keys`: the heaviest, asked for so often; `strained`: controllers that are; `caps`: decided with
    the level, key -> part that is shed."""

    found: dict[str, list[int]] = {}
    back: list[int] = []
    keys: dict[str, int] = {}
    strained: list[str] = []
    caps: dict[str, float] = {}


class Load(Message):
    """What one member (kind 0), a group (1) or all (2) saw of late: plan -> figures; figures beside plans;
    the level of shedding in force, who decided it and how many ms ago."""

    kind: int
    plans: dict[str, list[int]]
    more: list[int]
    members: int
    group: int = 0
    level: float = 0.0
    by: str = ""
    ago: int = 0
    beside: Beside | None = None


# Leases (leases.py).


class AskLease(Message):
    """`at`: the asker's own clock, comes back with the answer; `wants`: kind -> a second."""

    who: str
    at: int
    wants: dict[str, float]
    hops: int = 0


class Lease(Message):
    at: int
    parts: dict[str, float]


class Pull(Message):
    """From a follower: what is agreed after `last` of that epoch? `at`: its own clock, which comes back with
    the answer: what that says is known as of then, however long either of them was on its way."""

    epoch: tuple[int, str]
    last: int
    at: int = 0


class Agreed(Message):
    """Of what is agreed: the state up to `last`, or entries from `after` on."""

    epoch: tuple[int, str]
    after: int
    entries: list[Entry]
    agreed: int
    state: dict | None = None
    age: int = 0  # ns since the sender knew this to be all that is agreed; -1: it never did
    at: int = 0  # of the question


class Sealed(msgspec.Struct, array_like=True, frozen=True):
    fleet: str
    sender: str
    to: str
    message: (
        Ping
        | Ack
        | AskFor
        | Nack
        | Whole
        | AskVote
        | Vote
        | Append
        | Kept
        | Base
        | Lead
        | Hello
        | Seen
        | LetIn
        | Propose
        | Holds
        | Pull
        | Agreed
        | AskKnown
        | Knows
        | AskHead
        | Head
        | Load
        | AskLease
        | Lease
    )
    epoch: int = 0
    agreed: int = 0  # how much of the record the sender has: who has less asks it for the rest
    age: int = -1  # ms since it knew that to be all; -1: it never did


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Sealed).decode


def sealed(fleet, sender, to, message, epoch=0, agreed=0, age=-1):
    return _encode(Sealed(fleet, sender, to, message, epoch, agreed, age))


def opened(data, fleet, me, known):
    """The Sealed, or a word on why it is dropped."""
    if len(data) > BODY:
        return "huge"
    try:
        found = _decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError):
        return "garbage"
    if found.fleet != fleet or found.to != me:
        return "astray"
    return found if found.sender in known and found.sender != me else "unknown"
