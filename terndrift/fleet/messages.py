"""Messages between controllers: msgspec structs encoded as MessagePack, one per datagram or HTTP body.

Every message travels in an `Envelope` with the name of the fleet, the sender and the recipient.
`Controller` encodes with `encode`, the host decodes with `decode`. Datagrams can come from anywhere, so
`decode` never raises on invalid input: it returns the reason for which the packet is to be dropped.

The structs are encoded as arrays, tagged with their class name or the `tag` given: the order of the fields
and the tags are part of the protocol.
"""

import msgspec

# Bytes. The minimum IPv6 MTU (RFC 8200, section 5) less headers, so that no network fragments a datagram.
MAX_DATAGRAM_BYTES = 1200
# Bytes. Limit of an HTTP body, which carries a part of the record or all members of a large fleet.
MAX_BODY_BYTES = 4 << 20


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True, omit_defaults=True):
    """Base of all messages that an `Envelope` can carry; the tag is its `tag`, or else the name of the
    class."""


# Membership (membership.py).


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member as gossiped.

    `run` identifies a start of the process by its time (ms since 1970); `incarnation` is raised by the member
    itself each time it refutes a suspicion or a report of its death within a run.
    """

    name: str
    run: int
    incarnation: int
    standing: int  # membership.Standing


class Ping(Message):
    """A probe, answered by an `Ack` with the same `seq`. Membership updates are piggybacked."""

    seq: int
    updates: list[MemberUpdate] = []


class Ack(Message):
    """Answers the `Ping` or, through a helper, the `IndirectPing` with that `seq`."""

    seq: int
    updates: list[MemberUpdate] = []


class IndirectPing(Message, tag="AskFor"):
    """An indirect probe: asks a helper to ping `target`.

    The helper answers with an `Ack`, or with a `Nack` if the target did not answer it either (Lifeguard).
    """

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class Nack(Message):
    """From a helper: the target of the `IndirectPing` with that `seq` did not answer its ping in time."""

    seq: int


class FullState(Message, tag="Whole"):
    """Full state exchange: the state of every member that the sender has heard of.

    The recipient answers with its own full state, unless this is a response itself.
    """

    updates: list[MemberUpdate]
    is_response: bool = False


# Replication of the record (raft.py).


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry."""

    term: int
    # "begin": first entry of a leader's term; "voters": the voters from this entry on; "value": a proposal
    kind: str
    id: str  # of the proposal
    value: object = None


class RaftMessage(Message):
    """Base of the messages between voters.

    `epoch`: (number, unique mark) of the record, which changes when the record is begun anew; `voter_id`: the
    identity of the sending voter, which is replaced when the voter has lost what it confirmed.
    """

    epoch: tuple[int, str]
    voter_id: str
    term: int


class RequestVote(RaftMessage, tag="AskVote"):
    """Requests a vote for the sender, whose log ends at entry `last_log_index` of `last_log_term`."""

    last_log_term: int
    last_log_index: int
    pre_vote: bool  # a pre-vote: changes no state of the voter
    leadership_transfer: bool = False  # leadership transfer: not ignored for having heard the leader lately


class VoteResponse(RaftMessage, tag="Vote"):
    """Response to `RequestVote`."""

    granted: bool
    pre_vote: bool
    requested_term: int  # the term for which the vote was requested


class AppendEntries(RaftMessage, tag="Append"):
    """Log entries or a heartbeat from the leader; `entries` follow the entry `prev_log_index` of
    `prev_log_term`."""

    prev_log_term: int
    prev_log_index: int
    entries: list[Entry]
    commit_index: int  # commit index of the leader
    request_round: int  # counts the leader's requests: a response with it proves contact since that request
    # identity -> the highest index that this voter is known to have confirmed
    confirmed_index: dict[str, int] = {}


class AppendResponse(RaftMessage, tag="Kept"):
    """Response to `AppendEntries` and `InstallSnapshot`, sent once the entries are durable."""

    success: bool
    last_index: int  # success: the last durable index; otherwise the index from which the leader should retry
    request_round: int


class InstallSnapshot(RaftMessage, tag="Base"):
    """A snapshot of the state up to `last_index`, for a voter whose next entries are no longer in the log."""

    last_snapshot_term: int
    last_index: int
    state: dict
    request_round: int


class TimeoutNow(RaftMessage, tag="Lead"):
    """Leadership transfer: the leader is about to stop and asks the recipient to start an election now."""


class RecoveryRequest(RaftMessage, tag="Hello"):
    """From a voter that has started: asks the others how far their logs are and what it once confirmed."""

    nonce: str
    last_log_index: int


class RecoveryResponse(RaftMessage, tag="Seen"):
    """Response to the `RecoveryRequest` with that `nonce`: the end of the sender's log, and its voters."""

    nonce: str
    last_log_term: int
    last_log_index: int
    confirmed_index: int  # the highest index that the recipient is known to have confirmed
    voters: dict[str, str]


class AddVoterRequest(RaftMessage, tag="LetIn"):
    """From a voter with a new identity: asks to be added to the voters."""

    name: str


class Propose(Message):
    """A proposal on its way to the leader; `hops` counts the controllers that have forwarded it."""

    id: str
    value: object
    hops: int = 0


class PlacementReport(Message, tag="Holds"):
    """A controller's report to the voters while planned work is under way.

    `work_revision` is the revision of the work that the controller has applied. `placements` has its
    playbacks and set-ups on each machine that it places on no more, and on those waiting for work where it
    has the most.
    """

    work_revision: int
    placements: dict[str, int]
    wall_ms: int = 0  # the sender's wall clock, ms since 1970
    requests: int = 0  # recent requests of viewers
    turned_away: int = 0  # how many of these were turned away
    failing_machines: list[str] = []  # machines warming up at which the sender's set-ups fail
    # rows of machines that were out for work in an earlier epoch of the record
    out_in_earlier_epoch: dict[str, dict] = {}


# Observations of streamers (streamer_observations.py).


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """One controller's observation of a streamer."""

    address: str
    observer: str  # the controller that made the observation
    run: int  # the run of that controller
    # start of the streamer according to that controller's list, ns since 1970; 0: long ago
    streamer_started: int
    observed_ms: int  # ms for which it was observed to run
    seen_ago_ms: int  # ms since it was last observed to run
    failed_ago_ms: int = -1  # ms since it was last observed to fail; -1: not since it ran
    link_demand_percent: int = 0  # demand on its link, in hundredths of the capacity


class ObservationsRequest(Message, tag="AskKnown"):
    """From a controller that has started: asks for all observations that the recipient has."""


class Observations(Message, tag="Knows"):
    """Observations of streamers, gossiped in parts."""

    observations: list[Observation]
    is_response: bool = False  # responds to an `ObservationsRequest`, with all that the sender has


# Catalogues (catalogue_sync.py).


class CatalogueHeadRequest(Message, tag="AskHead"):
    """From a controller that has started: asks for the last changes in the recipient's catalogue."""


class CatalogueHead(Message, tag="Head"):
    """How far the sender's catalogue is: the number of its changes and the ids of the last ones."""

    change_count: int
    last_change_ids: list[str] = []  # newest last
    confirmed: bool = False  # confirmed by the responses of other controllers that no catalogue is ahead


# Load reports (load_reports.py) and their supplement (load_supplement.py).


class LoadSupplement(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """Data piggybacked on a `FleetLoad`."""

    failures: dict[str, list[int]] = {}  # streamer -> row of its failures (failing_streamers.py)
    expected_returns: list[int] = []  # viewers told to come back, by second from now
    request_counts: dict[str, int] = {}  # the most requested titles and addresses -> requests
    overloaded: list[str] = []  # names of overloaded controllers
    # key -> share of its requests to be shed; decided together with the level
    shed_shares: dict[str, float] = {}


class FleetLoad(Message, tag="Load"):
    """Recent load of one member, a group of members or the whole fleet."""

    scope: int  # 0: one member; 1: a group; 2: all
    counts_by_plan: dict[str, list[int]]  # plan -> counts
    other_counts: list[int]  # counts that belong to no plan
    member_count: int  # how many members the counts cover
    group: int = 0
    shed_level: float = 0.0  # load shedding level in force
    level_decided_by: str = ""  # the controller that decided the level
    level_age_ms: int = 0  # ms since it was decided
    supplement: LoadSupplement | None = None


# Leases (leases.py).


class LeaseRequest(Message, tag="AskLease"):
    """Requests leases on fleet-wide limits, from the leader or by way of another voter."""

    requester: str  # the requester
    requested_at: int  # the requester's clock, returned with the response
    wanted_rates: dict[str, float]  # kind of limit -> wanted rate per second
    hops: int = 0


class LeaseResponse(Message, tag="Lease"):
    """Response to `LeaseRequest`."""

    requested_at: int  # of the request
    leased_rates: dict[str, float]  # kind of limit -> leased rate per second


class PullRequest(Message, tag="Pull"):
    """From a controller that is behind: requests the committed entries after `last_index` of that epoch."""

    epoch: tuple[int, str]
    last_index: int
    # The requester's clock, returned with the response, whose content counts as of this time however long
    # either message was delayed.
    requested_at: int = 0


class PullResponse(Message, tag="Agreed"):
    """Response to `PullRequest`: the committed entries after `prev_index`, or a snapshot if those are no
    longer kept."""

    epoch: tuple[int, str]
    prev_index: int
    entries: list[Entry]
    commit_index: int  # commit index known to the sender
    state: dict | None = None  # the snapshot
    commit_age: int = 0  # ns since the sender knew its commit index to be current; -1: it never did
    requested_at: int = 0  # of the request


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The envelope of every message, with how far the sender's copy of the record is."""

    fleet: str
    sender: str
    to: str
    message: (
        Ping
        | Ack
        | IndirectPing
        | Nack
        | FullState
        | RequestVote
        | VoteResponse
        | AppendEntries
        | AppendResponse
        | InstallSnapshot
        | TimeoutNow
        | RecoveryRequest
        | RecoveryResponse
        | AddVoterRequest
        | Propose
        | PlacementReport
        | PullRequest
        | PullResponse
        | ObservationsRequest
        | Observations
        | CatalogueHeadRequest
        | CatalogueHead
        | FleetLoad
        | LeaseRequest
        | LeaseResponse
    )
    epoch: int = 0
    # the sender's commit index: a recipient that is behind pulls the rest from the sender
    commit_index: int = 0
    commit_age: int = -1  # ms since the sender knew its commit index to be current; -1: it never did


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def encode(fleet_name, sender, to, message, epoch=0, commit_index=0, commit_age=-1):
    """Encodes a message in its envelope; the last three arguments are described in `Envelope`."""
    return _encode(Envelope(fleet_name, sender, to, message, epoch, commit_index, commit_age))


def decode(data, fleet_name, own_name, configured_names):
    """Decodes a packet; returns the `Envelope`, or the reason for which the packet must be dropped.

    The reasons are "huge" (larger than MAX_BODY_BYTES), "garbage" (not decodable), "astray" (for another
    fleet or recipient) and "unknown" (the sender is not in `configured_names`, or is `own_name`).
    """
    if len(data) > MAX_BODY_BYTES:
        return "huge"
    try:
        envelope = _decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError):
        return "garbage"
    if envelope.fleet != fleet_name or envelope.to != own_name:
        return "astray"
    return envelope if envelope.sender in configured_names and envelope.sender != own_name else "unknown"
