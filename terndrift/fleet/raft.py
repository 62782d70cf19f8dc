"""A voter of the replicated log ("the record"): Raft, without I/O.

Follows Raft (Ongaro, Ousterhout 2014); pre-vote, the leader's quorum check, leadership transfer and
membership changes one voter at a time are those of Ongaro's thesis. `member.Controller` owns a `Voter` on
each controller that votes, and passes it messages and the time.

`Voter.pending_writes` holds the records that must be durable before anything in `Voter.outbox` is sent; the
host calls `Voter.on_durable` once they are. A host must never send a message before the records written ahead
of it are durable.

Unlike Raft, a voter doesn't trust its own disk (`docs/fleet.md`). After a start it asks the others which
log they hold and what they have seen it confirm. It neither votes nor confirms entries until so many have
answered that they include a member of any majority. A voter that was seen to confirm more than it still
has, or that has no stored state, takes a new identity, which the leader has to add as a voter.
"""

import zlib
from enum import Enum

from terndrift.fleet.committed_state import copy_state, initial_state
from terndrift.fleet.messages import (
    AddVoterRequest,
    AppendEntries,
    AppendResponse,
    Entry,
    InstallSnapshot,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    TimeoutNow,
    VoteResponse,
)

# Times are in ns.
MS = 1_000_000
SECOND = 1000 * MS
HEARTBEAT_INTERVAL = 150 * MS  # several heartbeats within the shortest election timeout, to allow for loss
# Election timeout: a voter starts an election after one to two times this without a leader, at random. A
# leader that has not heard from a majority for this long steps down. It is tens of round trips, and longer
# than a busy event loop was ever blocked (docs/path.md).
ELECTION_TIMEOUT = SECOND
# A candidate gives up after this long by its own clock. A voter that restarted and can't tell how it voted
# waits twice this long before it votes.
CANDIDACY_TIMEOUT = ELECTION_TIMEOUT
ANNOUNCE_INTERVAL = SECOND // 2  # between repeats of RecoveryRequest and AddVoterRequest
MAX_ENTRIES_PER_MESSAGE = 64  # entries per AppendEntries message
MAX_LOG_ENTRIES = 1024  # log entries before a snapshot replaces them


class Role(Enum):
    """Role of a voter; the values are written out in reports."""

    RECOVERING = "doubting"  # restarted, and has not yet checked its stored state against the other voters
    NON_VOTER = "out"  # has an identity that is not a voter, or not any more
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # has asked for pre-votes
    CANDIDATE = "candidate"
    LEADER = "leader"


ROLE_TRANSITIONS = {
    Role.RECOVERING: (Role.NON_VOTER, Role.FOLLOWER),
    Role.NON_VOTER: (Role.FOLLOWER, Role.RECOVERING),
    Role.FOLLOWER: (Role.PRE_CANDIDATE, Role.CANDIDATE, Role.NON_VOTER),
    Role.PRE_CANDIDATE: (Role.FOLLOWER, Role.CANDIDATE, Role.NON_VOTER),
    Role.CANDIDATE: (Role.FOLLOWER, Role.LEADER, Role.NON_VOTER),
    Role.LEADER: (Role.FOLLOWER, Role.NON_VOTER),
}


class PersistentState:
    """Persistent state of a voter: identity, epoch, term, vote, `snapshot` and log entries.

    The store calls `restore`, `replay` and `items`. `confirmed` maps an identity to the highest log index
    that it was seen to confirm.
    """

    def __init__(self):
        self.reset((0, ""))
        self.identity = ""

    def reset(self, epoch):
        """Empties everything but the identity and enters `epoch`."""
        self.epoch, self.term, self.voted_for = epoch, 0, ""
        self.snapshot, self.entries, self.confirmed = initial_state(epoch), [], {}

    def restore(self, items):
        """Replays the records of a store's snapshot."""
        for record in items:
            self.replay(record)

    def replay(self, record):
        """Applies one stored record."""
        kind = record["what"]
        if kind == "identity":
            self.identity = record["identity"]
        elif kind == "epoch":
            self.reset(tuple(record["epoch"]))
        elif kind == "term":
            self.term, self.voted_for = record["term"], record["voted"]
        elif kind == "log":
            # The store's snapshot may be newer than this record, with a base beyond it: skips the entries
            # that the base already covers.
            offset = record["after"] - self.snapshot["last"]
            del self.entries[max(0, offset) :]
            self.entries += [Entry(*fields) for fields in record["entries"][max(0, -offset) :]]
            self.confirmed.update(record["seen"])
        elif kind == "base":
            tail_length = self.last_index - record["state"]["last"] if record["keep"] else 0
            self.snapshot = copy_state(record["state"])
            self.entries = self.entries[len(self.entries) - tail_length :] if tail_length > 0 else []

    def items(self):
        """Iterates over records that restore the current state in an empty instance."""
        return iter(
            [
                {"what": "identity", "identity": self.identity},
                {"what": "epoch", "epoch": list(self.epoch)},
                {"what": "term", "term": self.term, "voted": self.voted_for},
                {"what": "base", "state": copy_state(self.snapshot), "keep": False},
                {
                    "what": "log",
                    "after": self.snapshot["last"],
                    "entries": list(map(entry_fields, self.entries)),
                    "seen": dict(self.confirmed),
                },
            ]
        )

    @property
    def last_index(self):
        """Index of the last log entry."""
        return self.snapshot["last"] + len(self.entries)

    def term_at(self, index):
        """Term of the entry at `index`: 0 before the first one, None if it is compacted or not yet known."""
        offset = index - self.snapshot["last"]
        if offset == 0:
            return self.snapshot["term"]
        return self.entries[offset - 1].term if 0 < offset <= len(self.entries) else None

    def last_position(self):
        """(term, index) of the last entry; comparing two of them tells which log is more up to date."""
        return self.term_at(self.last_index), self.last_index

    def voters(self):
        """Voters (name -> identity) of the newest configuration in the log, committed or not."""
        return next(
            (entry.value for entry in reversed(self.entries) if entry.kind == "voters"),
            self.snapshot["voters"],
        )


def required_answers(voters):
    """Number of other voters that have to answer a RecoveryRequest.

    Whichever majority confirmed an entry together with this voter, at least one other member of it is then
    among those that answered.
    """
    return len(voters) - (len(voters) // 2 + 1) + 1 if len(voters) > 1 else 0


def entry_fields(entry):
    """Fields of a log entry as a list, the form in which it is stored."""
    return [entry.term, entry.kind, entry.id, entry.value]


class Voter:
    """State machine of one voter.

    `voter_names` are the voters that the configuration names, `new_id()` returns a new unique id, and
    `committed_log` receives the committed entries. Times are in ns. The owner passes on messages (`receive`)
    and the time (`tick`, due at `next_tick_at`), takes messages (name, message) from `outbox` and records
    from `pending_writes`, and reports durable records with `on_durable`.
    """

    def __init__(self, name, voter_names, stored_state, committed_log, now, new_id, seed=0):
        self.name, self.voter_names, self.persistent, self.committed_log, self.new_id = (
            name,
            list(voter_names),
            stored_state,
            committed_log,
            new_id,
        )
        self.seed, self.random_draws = zlib.crc32(f"{seed}/{name}".encode()), 0
        self.outbox, self.pending_writes = [], []
        self.role, self.leader, self.now = Role.RECOVERING, None, now
        self.leader_heard_at, self.leaderless_since = 0, now
        self.votes, self.role_started_at, self.may_vote_from = set(), 0, 0
        # Answers to RecoveryRequest by identity; the log position that this voter may have reached before it
        # restarted.
        self.recovery_responses, self.min_position = {}, (0, 0)
        self.next_index, self.match_index = {}, {}  # identity -> log index
        # Number of records handed out in `pending_writes` so far; of each log record that is not durable yet,
        # (this number, index after which its entries start).
        self.write_count, self.pending_log_writes = 0, []
        # Heartbeat round; round -> time sent; identity -> send time of the last round it answered; identity
        # -> name of those that wait to become voters; identity -> index after which the last batch was
        # sent.
        self.round, self.round_sent_at, self.answered_at, self.joining, self.batch_after = 0, {}, {}, {}, {}
        self.send_at = self.announce_at = now
        self.nonce = new_id()
        if not stored_state.identity:
            self._take_new_identity()
            self.role = Role.NON_VOTER
        else:
            self._restore_follower()
        self._reset_election_timer(now)

    # Queries.

    @property
    def identity(self):
        """Current identity, "name/id"; changes when the stored state turns out to be lost or stale."""
        return self.persistent.identity

    def quorum_size(self):
        """Number of voters that make a majority of the newest configuration."""
        return len(self.persistent.voters()) // 2 + 1

    @property
    def last_durable(self):
        """Index of the last log entry that is durable here, whatever is still to be written."""
        return min([after for _, after in self.pending_log_writes], default=self.persistent.last_index)

    def next_tick_at(self):
        """Time (ns) at which `tick` has to be called next."""
        if self.role is Role.LEADER:
            return min(self.send_at, self.quorum_contact_at() + ELECTION_TIMEOUT + 1)
        if self.role in (Role.NON_VOTER, Role.RECOVERING):
            return self.announce_at
        return self.election_at if self.role is Role.FOLLOWER else min(self.election_at, self.send_at)

    def quorum_contact_at(self):
        """Time (ns) of the latest round that a majority has answered; of use on a leader only."""
        times = sorted(
            [self.now]
            + [
                self.answered_at.get(identity, 0)
                for identity in self.persistent.voters().values()
                if identity != self.identity
            ],
            reverse=True,
        )
        return times[self.quorum_size() - 1] if len(times) >= self.quorum_size() else 0

    # Events.

    def receive(self, now, sender, message):
        """Handles a `messages.RaftMessage` message from the controller named `sender`."""
        self._update_time(now)
        if message.epoch != self.persistent.epoch:
            return  # another epoch; `Envelope` carries it, so that the side with the earlier one learns it
        if isinstance(message, RecoveryRequest):
            return self._handle_recovery_request(sender, message)
        if isinstance(message, RecoveryResponse):
            return self._handle_recovery_response(now, sender, message)
        if isinstance(message, AddVoterRequest):
            return self._handle_add_voter_request(now, sender, message)
        if message.term > self.persistent.term and not (
            isinstance(message, RequestVote) and message.pre_vote
        ):
            leader_alive = self.role is Role.LEADER or now - self.leader_heard_at < ELECTION_TIMEOUT
            if isinstance(message, RequestVote) and leader_alive and not message.leadership_transfer:
                return None  # a voter back from a partition with a high term must not depose a working leader
            self._adopt_term(now, message.term)
        handler = {
            RequestVote: self._handle_request_vote,
            VoteResponse: self._handle_vote_response,
            AppendEntries: self._handle_append_entries,
            AppendResponse: self._handle_append_response,
            InstallSnapshot: self._handle_install_snapshot,
            TimeoutNow: self._handle_timeout_now,
        }.get(type(message))
        return handler(now, sender, message) if handler else None

    def tick(self, now):
        """Handles timeouts that are due; has to be called at `next_tick_at`, and may be called earlier."""
        self._update_time(now)
        if self.role in (Role.NON_VOTER, Role.RECOVERING) and now >= self.announce_at:
            self.announce_at = now + ANNOUNCE_INTERVAL
            committed_voters = (
                self.committed_log.epoch == self.persistent.epoch and self.committed_log.state["voters"]
            )
            if (
                self.role is Role.RECOVERING
                and committed_voters
                and self.identity not in committed_voters.values()
                and self.committed_log.last_index > self.persistent.last_index
            ):
                self._take_new_identity()  # the voters were changed meanwhile, and this one was removed
                self._change_role(now, Role.NON_VOTER)
            elif self.role is Role.RECOVERING:
                self._broadcast(RecoveryRequest, self.nonce, self.persistent.last_index)
            elif self.persistent.epoch[0]:
                self._broadcast(AddVoterRequest, self.name)
        elif self.role is Role.LEADER and now >= self.send_at:
            self._send_heartbeats(now)
        elif self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE) and now >= self.election_at:
            self._start_election(now)
        elif self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) and now >= self.send_at:
            self._request_votes(now, self.role is Role.PRE_CANDIDATE)  # again, as answers may have been lost

    def on_durable(self, now, record_count):
        """Reports that the first `record_count` records handed out in `pending_writes` are durable."""
        self.pending_log_writes = [write for write in self.pending_log_writes if write[0] > record_count]
        if self.role is Role.LEADER:
            self._advance_commit(now)

    def propose(self, now, proposal_id, value):
        """Appends a value to the log unless its id is there already.

        Returns True if the log holds the proposal now or held it before, None if this voter is not the
        leader.
        """
        self._update_time(now)
        if self.role is not Role.LEADER:
            return None
        if proposal_id not in self.committed_log.state["ids"] and not any(
            entry.id == proposal_id for entry in self.persistent.entries
        ):
            self._append_to_log(
                self.persistent.last_index, [Entry(self.persistent.term, "value", proposal_id, value)]
            )
            self.send_at = now  # batches everything that is proposed at this moment
        return True

    def transfer_leadership(self, now):
        """Transfers leadership before a planned stop: the voter with the longest log starts an election."""
        self._update_time(now)
        if self.role is Role.LEADER:
            others = {
                voter_name: identity
                for voter_name, identity in self.persistent.voters().items()
                if identity != self.identity
            }
            if others:
                successor = max(others, key=lambda voter_name: self.match_index.get(others[voter_name], 0))
                self.outbox.append((successor, self._message(TimeoutNow)))

    def begin_epoch(self, now, state=None):
        """Begins a new epoch on the operator's request.

        This voter starts it alone, with the values and proposal ids of `state` if given; the others have to
        be added as voters.
        """
        number = max(self.persistent.epoch[0], self.committed_log.epoch[0]) + 1
        epoch = number, self.new_id()
        new_state = initial_state(epoch, {self.name: self.identity})
        if state:
            new_state |= {"map": dict(state["map"]), "ids": dict(state["ids"])}
        self._start_epoch(epoch, new_state)
        self._change_role(now, Role.FOLLOWER)
        self.election_at = now

    def adopt_newer_epoch(self, now):
        """Moves to the committed log's epoch if that is later; the log of the earlier epoch is discarded."""
        if self.committed_log.epoch > self.persistent.epoch:
            self._start_epoch(self.committed_log.epoch, self.committed_log.state)
            self._change_role(now, Role.NON_VOTER)
            self.announce_at = now

    # Role, timers and persistent state.

    def _update_time(self, now):
        """Sets the time and ends roles that have expired; runs before anything else on each event.

        A leader that has not heard from a majority lately, as after its process was paused, steps down
        before it does anything else. A candidacy ends after CANDIDACY_TIMEOUT.
        """
        self.now = now
        if (
            self.role is Role.LEADER
            and now - self.quorum_contact_at() > ELECTION_TIMEOUT
            and now - self.role_started_at > ELECTION_TIMEOUT
        ):
            self._change_role(now, Role.FOLLOWER)
        if (
            self.role in (Role.CANDIDATE, Role.PRE_CANDIDATE)
            and now - self.role_started_at > CANDIDACY_TIMEOUT
        ):
            self._change_role(now, Role.FOLLOWER)

    def _change_role(self, now, role):
        """Makes a transition of ROLE_TRANSITIONS; all changes of role after the start go through here."""
        if role is self.role:
            return
        assert role in ROLE_TRANSITIONS[self.role], (
            f"{self.name}: invalid role transition from {self.role.value} to {role.value}"
        )
        if self.role is Role.LEADER:
            self.leader, self.leaderless_since = None, now
        self.role = role
        self._reset_election_timer(now)
        if role is Role.LEADER:
            self.leader, self.role_started_at = self.name, now
            self.next_index = {
                identity: self.persistent.last_index + 1 for identity in self.persistent.voters().values()
            }
            self.match_index, self.answered_at, self.round_sent_at = (
                {},
                {identity: now for identity in self.persistent.voters().values()},
                {},
            )
            self._append_to_log(self.persistent.last_index, [Entry(self.persistent.term, "begin", "")])
            self._send_heartbeats(now)

    def _random_fraction(self):
        """The next number in [0, 1) of a sequence that depends on the seed and the name alone."""
        self.random_draws += 1
        return zlib.crc32(b"%d" % self.random_draws, self.seed) * 2654435761 % 2**32 / 2**32

    def _reset_election_timer(self, now):
        self.election_at = now + int(ELECTION_TIMEOUT * (1 + self._random_fraction()))

    def _adopt_term(self, now, term):
        self._store_term(term, "")
        if self.role not in (Role.NON_VOTER, Role.RECOVERING):
            self._change_role(now, Role.FOLLOWER)

    def _store_term(self, term, voted_for):
        self._store({"what": "term", "term": term, "voted": voted_for})

    def _store(self, record):
        """Applies a record to the persistent state and queues it for writing."""
        self.persistent.replay(record)
        self.pending_writes.append(record)
        self.write_count += 1

    def _take_new_identity(self):
        self._store({"what": "identity", "identity": f"{self.name}/{self.new_id()}"})

    def _start_epoch(self, epoch, state):
        self._store({"what": "epoch", "epoch": list(epoch)})
        self._store({"what": "base", "state": copy_state(state), "keep": False})
        self.leader, self.min_position = None, (0, 0)
        if self.committed_log.epoch < epoch:
            self.committed_log.load_snapshot(state)

    def _restore_follower(self):
        """After a restart: the snapshot is committed; the leader tells how much of the log after it is."""
        if (self.persistent.epoch, self.persistent.snapshot["last"]) > (
            self.committed_log.epoch,
            self.committed_log.last_index,
        ):
            self.committed_log.load_snapshot(self.persistent.snapshot)

    def _message(self, message_type, *fields):
        return message_type(self.persistent.epoch, self.identity, self.persistent.term, *fields)

    def _broadcast(self, message_type, *fields):
        """Sends to all other voters, of the configuration and of the log."""
        for name in sorted({*self.voter_names, *self.persistent.voters()} - {self.name}):
            self.outbox.append((name, self._message(message_type, *fields)))

    # Recovery after a start, and membership changes.

    def _handle_recovery_request(self, sender, message):
        term, last = self.persistent.last_position()
        confirmed = max(
            self.persistent.confirmed.get(message.voter_id, 0), self.match_index.get(message.voter_id, 0)
        )
        self.outbox.append(
            (
                sender,
                self._message(
                    RecoveryResponse, message.nonce, term, last, confirmed, self.persistent.voters()
                ),
            )
        )

    def _handle_recovery_response(self, now, sender, message):
        if self.role is not Role.RECOVERING or message.nonce != self.nonce:
            return
        if message.confirmed_index > self.persistent.last_index:  # entries that this voter confirmed are lost
            self._take_new_identity()
            return self._change_role(now, Role.NON_VOTER)
        self.recovery_responses[message.voter_id] = message
        # Counts by the voters of the most up-to-date log: this voter's own log may predate a membership
        # change.
        voters = max(
            [(self.persistent.last_position(), self.persistent.voters())]
            + [
                ((answer.last_log_term, answer.last_log_index), answer.voters)
                for answer in self.recovery_responses.values()
            ],
            key=lambda log: log[0],
        )[1]
        voter_answers = [
            answer for identity, answer in self.recovery_responses.items() if identity in voters.values()
        ]
        if self.identity not in voters.values():
            self._take_new_identity()
            return self._change_role(now, Role.NON_VOTER)
        if len(voter_answers) >= required_answers(voters):
            self.min_position = max((answer.last_log_term, answer.last_log_index) for answer in voter_answers)
            term = max(answer.term for answer in voter_answers)
            if term > self.persistent.term:  # it may have voted in any of these terms
                self._store_term(term, "?")
            elif not self.persistent.voted_for:
                self._store_term(self.persistent.term, "?")
            self.may_vote_from = now + 2 * CANDIDACY_TIMEOUT
            self._change_role(now, Role.FOLLOWER)
            self.election_at = max(self.election_at, self.may_vote_from)

    def _handle_add_voter_request(self, now, sender, message):
        if self.role is not Role.LEADER or sender != message.name or sender not in self.voter_names:
            return
        voters = self.persistent.voters()
        if message.voter_id in voters.values():
            return
        # Only the newest identity of each name may join.
        self.joining = {identity: name for identity, name in self.joining.items() if name != sender} | {
            message.voter_id: sender
        }
        self.next_index.setdefault(message.voter_id, self.persistent.last_index + 1)
        self._change_voters(now)

    def _change_voters(self, now):
        """Starts the next membership change that is due, if any.

        Voters change one at a time, and not before an entry of this leader's own term is committed.
        """
        voters, commit_index = self.persistent.voters(), self.committed_log.last_index
        if self.persistent.term_at(commit_index) != self.persistent.term or any(
            entry.kind == "voters"
            for entry in self.persistent.entries[commit_index - self.persistent.snapshot["last"] :]
        ):
            return
        for identity, name in self.joining.items():
            if name in voters and voters[name] != identity:
                return self._append_voters(
                    now,
                    {
                        voter_name: voter_identity
                        for voter_name, voter_identity in voters.items()
                        if voter_name != name
                    },
                )
            if name not in voters and self.match_index.get(identity, 0) >= commit_index:
                del self.joining[identity]
                return self._append_voters(now, {**voters, name: identity})
        return None

    def _append_voters(self, now, voters):
        self._append_to_log(self.persistent.last_index, [Entry(self.persistent.term, "voters", "", voters)])
        self.send_at = now

    # Elections.

    def _start_election(self, now, leadership_transfer=False):
        """Starts with pre-votes, or at once in a new term if the leader has transferred leadership."""
        voters = self.persistent.voters()
        if self.identity not in voters.values() or self.persistent.last_position() < self.min_position:
            return self._reset_election_timer(now)
        self._change_role(now, Role.FOLLOWER)
        if self.leader:
            self.leader, self.leaderless_since = None, now
        self.votes, self.role_started_at = {self.identity}, now
        if leadership_transfer:
            self._store_term(self.persistent.term + 1, self.identity)
        self._change_role(now, Role.CANDIDATE if leadership_transfer else Role.PRE_CANDIDATE)
        self._request_votes(now, pre_vote=not leadership_transfer, leadership_transfer=leadership_transfer)
        return None

    def _request_votes(self, now, pre_vote, leadership_transfer=False):
        """Asks the voters that have not granted their vote yet."""
        last_term, last_index = self.persistent.last_position()
        self.send_at = now + 2 * HEARTBEAT_INTERVAL
        for name, identity in self.persistent.voters().items():
            if identity not in self.votes:
                self.outbox.append(
                    (name, self._message(RequestVote, last_term, last_index, pre_vote, leadership_transfer))
                )
        self._count_votes(now)

    def _handle_request_vote(self, now, sender, message):
        if self.role in (Role.NON_VOTER, Role.RECOVERING):
            return
        requested_term = message.term + 1 if message.pre_vote else message.term
        eligible = (message.last_log_term, message.last_log_index) >= max(
            self.persistent.last_position(), self.min_position
        ) and now >= self.may_vote_from
        if message.pre_vote:
            granted = (
                eligible
                and requested_term > self.persistent.term
                and (now - self.leader_heard_at >= ELECTION_TIMEOUT and self.role is not Role.LEADER)
            )
        else:
            granted = (
                eligible
                and message.term == self.persistent.term
                and self.persistent.voted_for in ("", message.voter_id)
            )
            if granted and not self.persistent.voted_for:
                self._store_term(message.term, message.voter_id)
                self._reset_election_timer(now)
        self.outbox.append((sender, self._message(VoteResponse, granted, message.pre_vote, requested_term)))

    def _handle_vote_response(self, now, sender, message):
        expected_role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        requested_term = self.persistent.term + 1 if message.pre_vote else self.persistent.term
        if (
            self.role is expected_role
            and message.granted
            and message.requested_term == requested_term
            and message.voter_id in self.persistent.voters().values()
        ):
            self.votes.add(message.voter_id)
            self._count_votes(now)

    def _count_votes(self, now):
        if len(self.votes & set(self.persistent.voters().values())) < self.quorum_size():
            return
        if self.role is Role.PRE_CANDIDATE:
            self._store_term(self.persistent.term + 1, self.identity)
            self.votes, self.role_started_at = {self.identity}, now
            self._change_role(now, Role.CANDIDATE)
            self._request_votes(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._change_role(now, Role.LEADER)

    def _handle_timeout_now(self, now, sender, message):
        if (
            message.term == self.persistent.term
            and sender == self.leader
            and self.role is Role.FOLLOWER
            and now >= self.may_vote_from
        ):
            self._start_election(now, leadership_transfer=True)

    # Log replication.

    def _append_to_log(self, after, entries):
        """Replaces everything after index `after` with `entries`."""
        self._store(
            {
                "what": "log",
                "after": after,
                "entries": list(map(entry_fields, entries)),
                "seen": dict(self.persistent.confirmed),
            }
        )
        self.pending_log_writes.append((self.write_count, after))

    def _send_heartbeats(self, now):
        """Starts a round: sends to all other voters, and to those that wait to become voters."""
        self.send_at = now + HEARTBEAT_INTERVAL
        self.round += 1
        self.round_sent_at[self.round] = now
        self.round_sent_at.pop(self.round - 64, None)
        recipients = {
            voter_identity: voter_name
            for voter_name, voter_identity in self.persistent.voters().items()
            if voter_identity != self.identity
        } | self.joining
        for identity, name in recipients.items():
            self._send_entries(name, identity)

    def _send_entries(self, name, identity):
        """Sends the next entries, or the snapshot if those are compacted."""
        next_index = self.next_index.setdefault(identity, self.persistent.last_index + 1)
        previous_term = self.persistent.term_at(next_index - 1)
        if previous_term is None:
            state = self.persistent.snapshot
            self.outbox.append(
                (
                    name,
                    self._message(
                        InstallSnapshot, state["term"], state["last"], copy_state(state), self.round
                    ),
                )
            )
            return
        entries = self.persistent.entries[next_index - 1 - self.persistent.snapshot["last"] :][
            :MAX_ENTRIES_PER_MESSAGE
        ]
        self.outbox.append(
            (
                name,
                self._message(
                    AppendEntries,
                    previous_term,
                    next_index - 1,
                    entries,
                    self.committed_log.last_index,
                    self.round,
                    dict(self.persistent.confirmed),
                ),
            )
        )

    def _accept_leader(self, now, sender, message):
        """Whether to process a message of a leader; rejects those of an earlier term.

        A voter that is still checking its stored state notes the leader but confirms nothing.
        """
        if message.term < self.persistent.term:
            self.outbox.append(
                (
                    sender,
                    self._message(AppendResponse, False, self.persistent.last_index, message.request_round),
                )
            )
            return False
        if self.role in (Role.CANDIDATE, Role.PRE_CANDIDATE):
            self._change_role(now, Role.FOLLOWER)
        self.leader, self.leader_heard_at = sender, now
        self._reset_election_timer(now)
        return self.role is not Role.RECOVERING

    def _handle_append_entries(self, now, sender, message):
        if not self._accept_leader(now, sender, message):
            return
        local_term = self.persistent.term_at(message.prev_log_index)
        if local_term != message.prev_log_term:
            # Entries before the snapshot are committed, so they match the leader's.
            retry_after = (
                self.persistent.last_index
                if message.prev_log_index > self.persistent.last_index
                else max(self.persistent.snapshot["last"], message.prev_log_index - 1)
            )
            if message.prev_log_index >= self.persistent.snapshot["last"]:
                return self.outbox.append(
                    (sender, self._message(AppendResponse, False, retry_after, message.request_round))
                )
        self.persistent.confirmed.update(
            {
                identity: index
                for identity, index in message.confirmed_index.items()
                if index > self.persistent.confirmed.get(identity, 0)
            }
        )
        entries, after = message.entries, message.prev_log_index
        while entries and (
            after < self.persistent.snapshot["last"] or self.persistent.term_at(after + 1) == entries[0].term
        ):
            entries, after = entries[1:], after + 1
        if entries:
            self._append_to_log(after, entries)
        last_index = message.prev_log_index + len(message.entries)
        self._commit_up_to(now, min(message.commit_index, last_index))
        self._apply_membership(now)
        self.outbox.append((sender, self._message(AppendResponse, True, last_index, message.request_round)))

    def _handle_install_snapshot(self, now, sender, message):
        if not self._accept_leader(now, sender, message):
            return
        if (
            message.last_index > self.persistent.snapshot["last"]
            and self.persistent.term_at(message.last_index) != message.last_snapshot_term
        ):
            self._store({"what": "base", "state": message.state, "keep": False})
            if message.last_index > self.committed_log.last_index:
                self.committed_log.load_snapshot(message.state)
        self._apply_membership(now)
        self.outbox.append(
            (sender, self._message(AppendResponse, True, message.last_index, message.request_round))
        )

    def _apply_membership(self, now):
        """Becomes a voter, or stops being one, as the newest configuration in its own log says."""
        is_voter = self.identity in self.persistent.voters().values()
        if self.role is Role.NON_VOTER and is_voter:
            self._change_role(now, Role.FOLLOWER)
        elif self.role is Role.FOLLOWER and not is_voter and self.persistent.voters():
            self._change_role(now, Role.NON_VOTER)

    def _handle_append_response(self, now, sender, message):
        if self.role is not Role.LEADER or message.term != self.persistent.term:
            return
        self.answered_at[message.voter_id] = max(
            self.answered_at.get(message.voter_id, 0), self.round_sent_at.get(message.request_round, 0)
        )
        if not message.success:
            self.next_index[message.voter_id] = min(
                self.next_index.get(message.voter_id, 1), message.last_index + 1
            )
            return self._send_entries(sender, message.voter_id)
        if message.last_index > self.match_index.get(message.voter_id, 0):
            self.match_index[message.voter_id] = self.persistent.confirmed[message.voter_id] = (
                message.last_index
            )
        self.next_index[message.voter_id] = max(
            self.next_index.get(message.voter_id, 1), message.last_index + 1
        )
        self._advance_commit(now)
        if message.voter_id in self.joining:
            self._change_voters(now)
        if (
            self.role is Role.LEADER
            and self.persistent.last_index >= self.next_index[message.voter_id]
            and self.batch_after.get(message.voter_id) != message.last_index
        ):
            self.batch_after[message.voter_id] = message.last_index
            self._send_entries(sender, message.voter_id)
        return None

    def _advance_commit(self, now):
        """Commits what a majority of the voters has made durable, if it is of this leader's own term."""
        voters = self.persistent.voters().values()
        durable_indexes = [
            self.last_durable if identity == self.identity else self.match_index.get(identity, 0)
            for identity in voters
        ]
        durable_indexes.sort(reverse=True)
        commit_index = (
            durable_indexes[self.quorum_size() - 1] if len(durable_indexes) >= self.quorum_size() else 0
        )
        if (
            commit_index > self.committed_log.last_index
            and self.persistent.term_at(commit_index) == self.persistent.term
        ):
            self._commit_up_to(now, commit_index)
            self._change_voters(now)
            self.send_at = now
            if self.identity not in self.persistent.voters().values():
                self._change_role(now, Role.NON_VOTER)
        if self.persistent.term_at(self.committed_log.last_index) == self.persistent.term:
            self.committed_log.mark_complete(self.quorum_contact_at())

    def _commit_up_to(self, now, commit_index):
        """Passes committed entries to the committed log; replaces a log that is too long with a snapshot."""
        while (
            self.committed_log.last_index < commit_index and self.committed_log.epoch == self.persistent.epoch
        ):
            offset = self.committed_log.last_index - self.persistent.snapshot["last"]
            if not 0 <= offset < len(self.persistent.entries):
                break
            self.committed_log.apply_committed(self.persistent.entries[offset])
        if (
            len(self.persistent.entries) > MAX_LOG_ENTRIES
            and self.committed_log.last_index > self.persistent.snapshot["last"] + MAX_LOG_ENTRIES // 2
        ):
            self._store({"what": "base", "state": copy_state(self.committed_log.state), "keep": True})
