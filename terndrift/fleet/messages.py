"""Messages between controllers: msgspec structs encoded as MessagePack, one per datagram or HTTP body.

Every message travels in a `Sealed` envelope with the name of the fleet, the sender and the recipient.
`Controller` encodes with `sealed`, the host decodes with `opened`. Datagrams can come from anywhere, so
`opened` never raises on invalid input: it returns the reason for which the packet is to be dropped.

The structs are encoded as arrays, tagged with their class name: the order of the fields and the names of the
subclasses of `Message` are part of the protocol.
"""

import msgspec

# Bytes. The minimum IPv6 MTU (RFC 8200, section 5) less headers, so that no network fragments a datagram.
DATAGRAM = 1200
# Bytes. Limit of an HTTP body, which carries a part of the record or all members of a large fleet.
BODY = 4 << 20


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True, omit_defaults=True):
    """Base of all messages that a `Sealed` can carry; the tag is the name of the class."""


# Membership (members.py).


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member as gossiped.

    `run` identifies a start of the process by its time (ms since 1970); `incarnation` is raised by the member
    itself each time it refutes a suspicion or a report of its death within a run.
    """

    name: str
    run: int
    incarnation: int
    standing: int  # members.Standing


class Ping(Message):
    """A probe, answered by an `Ack` with the same `seq`. Membership updates are piggybacked."""

    seq: int
    updates: list[MemberUpdate] = []


class Ack(Message):
    """Answers the `Ping` or, through a helper, the `AskFor` with that `seq`."""

    seq: int
    updates: list[MemberUpdate] = []


class AskFor(Message):
    """An indirect probe: asks a helper to ping `target`.

    The helper answers with an `Ack`, or with a `Nack` if the target did not answer it either (Lifeguard).
    """

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class Nack(Message):
    """From a helper: the target of the `AskFor` with that `seq` did not answer its ping in time."""

    seq: int


class Whole(Message):
    """Full state exchange: the state of every member that the sender has heard of.

    The recipient answers with its own full state, unless this is a response itself.
    """

    updates: list[MemberUpdate]
    is_response: bool = False


# Replication of the record (record.py).


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry."""

    term: int
    # "begin": first entry of a leader's term; "voters": the voters from this entry on; "value": a proposal
    kind: str
    id: str  # of the proposal
    value: object = None


class Raft(Message):
    """Base of the messages between voters.

    `epoch`: (number, unique mark) of the record, which changes when the record is begun anew; `who`: the
    identity of the sending voter, which is replaced when the voter has lost what it confirmed.
    """

    epoch: tuple[int, str]
    who: str
    term: int


class AskVote(Raft):
    """Requests a vote for the sender, whose log ends at entry `last` of `last_term`."""

    last_term: int
    last: int
    pre: bool  # a pre-vote: changes no state of the voter
    planned: bool = False  # leadership transfer: not ignored for having heard the leader lately


class Vote(Raft):
    """Response to `AskVote`."""

    granted: bool
    pre: bool
    asked: int  # the term for which the vote was requested


class Append(Raft):
    """Log entries or a heartbeat from the leader; `entries` follow the entry `before` of `before_term`."""

    before_term: int
    before: int
    entries: list[Entry]
    agreed: int  # commit index of the leader
    round: int  # counts the leader's requests: a response with it proves contact since that request
    seen: dict[str, int] = {}  # identity -> the highest index that this voter is known to have confirmed


class Kept(Raft):
    """Response to `Append` and `Base`, sent once the entries are durable."""

    ok: bool
    last: int  # ok: the last durable index; otherwise the index from which the leader should retry
    round: int


class Base(Raft):
    """A snapshot of the state up to `last`, for a voter whose next entries are no longer in the log."""

    last_term: int
    last: int
    state: dict
    round: int


class Lead(Raft):
    """Leadership transfer: the leader is about to stop and asks the recipient to start an election now."""


class Hello(Raft):
    """From a voter that has started: asks the others how far their logs are and what it once confirmed."""

    nonce: str
    last: int


class Seen(Raft):
    """Response to the `Hello` with that `nonce`: the end of the sender's log, and its voters."""

    nonce: str
    last_term: int
    last: int
    yours: int  # the highest index that the recipient is known to have confirmed
    voters: dict[str, str]


class LetIn(Raft):
    """From a voter with a new identity: asks to be added to the voters."""

    name: str


class Propose(Message):
    """A proposal on its way to the leader; `hops` counts the controllers that have forwarded it."""

    id: str
    value: object
    hops: int = 0


class Holds(Message):
    """A controller's report to the voters while planned work is under way.

    `rev` is the revision of the work that the controller has applied. `counts` has its playbacks and set-ups
    on each machine that it places on no more, and on those waiting for work where it has the most.
    """

    rev: int
    counts: dict[str, int]
    wall: int = 0  # the sender's wall clock, ms since 1970
    asked: int = 0  # recent requests of viewers
    turned: int = 0  # how many of these were turned away
    ill: list[str] = []  # machines warming up at which the sender's set-ups fail
    left: dict[str, dict] = {}  # rows of machines that were out for work in an earlier epoch of the record


# Observations of streamers (warm.py).


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """One controller's observation of a streamer."""

    address: str
    who: str  # the controller that made the observation
    run: int  # the run of that controller
    started: int  # start of the streamer according to that controller's list, ns since 1970; 0: long ago
    ran: int  # ms for which it was observed to run
    ago: int  # ms since it was last observed to run
    ill: int = -1  # ms since it was last observed to fail; -1: not since it ran
    use: int = 0  # demand on its link, in hundredths of the capacity


class AskKnown(Message):
    """From a controller that has started: asks for all observations that the recipient has."""


class Knows(Message):
    """Observations of streamers, gossiped in parts."""

    facts: list[Fact]
    answers: bool = False  # responds to an `AskKnown`, with all that the sender has


# Catalogues (copies.py).


class AskHead(Message):
    """From a controller that has started: asks for the last changes in the recipient's catalogue."""


class Head(Message):
    """How far the sender's catalogue is: the number of its changes and the ids of the last ones."""

    count: int
    ids: list[str] = []  # newest last
    sure: bool = False  # confirmed by the responses of other controllers that no catalogue is ahead


# Load reports (load.py) and the data piggybacked on them (beside.py).


class Beside(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """Data piggybacked on a `Load`."""

    found: dict[str, list[int]] = {}  # streamer -> row of its failures (findings.py)
    back: list[int] = []  # viewers told to come back, by second from now
    keys: dict[str, int] = {}  # the most requested titles and addresses -> requests
    strained: list[str] = []  # names of overloaded controllers
    caps: dict[str, float] = {}  # key -> share of its requests to be shed; decided together with the level


class Load(Message):
    """Recent load of one member, a group of members or the whole fleet."""

    kind: int  # 0: one member; 1: a group; 2: all
    plans: dict[str, list[int]]  # plan -> counts
    more: list[int]  # counts that belong to no plan
    members: int  # how many members the counts cover
    group: int = 0
    level: float = 0.0  # load shedding level in force
    by: str = ""  # the controller that decided the level
    ago: int = 0  # ms since it was decided
    beside: Beside | None = None


# Leases (leases.py).


class AskLease(Message):
    """Requests leases on fleet-wide limits, from the leader or by way of another voter."""

    who: str  # the requester
    at: int  # the requester's clock, returned with the response
    wants: dict[str, float]  # kind of limit -> wanted rate per second
    hops: int = 0


class Lease(Message):
    """Response to `AskLease`."""

    at: int  # of the request
    parts: dict[str, float]  # kind of limit -> leased rate per second


class Pull(Message):
    """From a follower: requests the committed entries after `last` of that epoch."""

    epoch: tuple[int, str]
    last: int
    # The requester's clock, returned with the response, whose content counts as of this time however long
    # either message was delayed.
    at: int = 0


class Agreed(Message):
    """Response to `Pull`: the committed entries after `after`, or a snapshot if those are no longer kept."""

    epoch: tuple[int, str]
    after: int
    entries: list[Entry]
    agreed: int  # commit index known to the sender
    state: dict | None = None  # the snapshot
    age: int = 0  # ns since the sender knew its commit index to be current; -1: it never did
    at: int = 0  # of the request


class Sealed(msgspec.Struct, array_like=True, frozen=True):
    """The envelope of every message, with how far the sender's copy of the record is."""

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
    agreed: int = 0  # the sender's commit index: a recipient that is behind pulls the rest from the sender
    age: int = -1  # ms since the sender knew its commit index to be current; -1: it never did


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Sealed).decode


def sealed(fleet, sender, to, message, epoch=0, agreed=0, age=-1):
    """Encodes a message in its envelope; the last three arguments are described in `Sealed`."""
    return _encode(Sealed(fleet, sender, to, message, epoch, agreed, age))


def opened(data, fleet, me, known):
    """Decodes a packet; returns the `Sealed`, or the reason for which the packet must be dropped.

    The reasons are "huge" (larger than BODY), "garbage" (not decodable), "astray" (for another fleet or
    recipient) and "unknown" (the sender is not in `known`, or is `me`).
    """
    if len(data) > BODY:
        return "huge"
    try:
        envelope = _decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError):
        return "garbage"
    if envelope.fleet != fleet or envelope.to != me:
        return "astray"
    return envelope if envelope.sender in known and envelope.sender != me else "unknown"
