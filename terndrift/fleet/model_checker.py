"""A bounded model checker for the replicated log: runs the voters of `raft` through every order of events.

Used by tests alone. Each step is one of: a message arrives (and may stay in flight, as a duplicate), a
voter's timer fires, time passes, a value is proposed, a voter crashes before or after its writes are
durable, or it restarts with its stored state or with none. A message that is never delivered is lost.
States are told apart by their hashes. The search is breadth-first, so the path to a violation is the
shortest one. `InvariantViolationError` names the invariants. `permit_checker` uses the search for a checker
of its own.
"""

from collections import deque
from dataclasses import dataclass, field, replace
from functools import lru_cache

import msgspec

from terndrift.fleet.committed_state import CommittedLog, copy_state, initial_state
from terndrift.fleet.messages import Envelope
from terndrift.fleet.raft import ELECTION_TIMEOUT, PersistentState, Role, Voter, entry_fields

EPOCH = (1, "e")
encode = msgspec.msgpack.Encoder().encode
decode = lru_cache(100_000)(msgspec.msgpack.Decoder(Envelope).decode)


def copy_node(original):
    """Copies a voter, its persistent state or a follower; changes to the copy don't reach the original.

    Copies containers one level deep, and the `PersistentState` and `CommittedLog` of a voter as well.
    """
    copy = object.__new__(type(original))
    for name, value in original.__dict__.items():
        if isinstance(value, dict | list | set):
            value = value.copy()
        elif isinstance(value, PersistentState | CommittedLog):
            value = copy_node(value)
        copy.__dict__[name] = value
    if isinstance(copy, CommittedLog):
        copy.state = copy_state(copy.state)
    return copy


class InvariantViolationError(Exception):
    """An invariant does not hold.

    There is at most one leader in a term. Committed entries are never lost or changed, and are the same on
    all followers.
    """


def search(start, steps, max_states):
    """Searches breadth-first from `start`, through at most `max_states` states.

    `steps(world)` yields (name, call); a call returns [(suffix of the name, next world)] or raises
    `InvariantViolationError`. Returns ((names of the steps, message) of the shortest path to a violation or
    None, number of states visited).
    """
    seen, queue, states = {start.key()}, deque([(start, ())]), 0
    while queue and states < max_states:
        world, path = queue.popleft()
        states += 1
        for step, apply in steps(world):
            try:
                successors = apply()
            except InvariantViolationError as violation:
                return ([*path, step], str(violation)), states
            for suffix, successor in successors:
                key = successor.key()
                if key not in seen:
                    seen.add(key)
                    queue.append((successor, (*path, step + suffix)))
    return None, states


class DeterministicVoter(Voter):
    """A voter without randomness: its election timeout is always the shortest one.

    `fault` plants one of FAULTS. Without `pre_vote` every election starts as after a leadership transfer.
    """

    fault, pre_vote = None, False

    def _random_fraction(self):
        return 0.0

    def _start_election(self, now, leadership_transfer=False):
        # An election that may depose a working leader makes more states reachable.
        super()._start_election(now, leadership_transfer or not self.pre_vote)

    def _advance_commit(self, now):
        if self.fault == "older term counted" and self.role is Role.LEADER:
            durable_indexes = sorted(
                [
                    self.last_durable if identity == self.identity else self.match_index.get(identity, 0)
                    for identity in self.persistent.voters().values()
                ],
                reverse=True,
            )
            self._commit_up_to(now, durable_indexes[self.quorum_size() - 1])
        super()._advance_commit(now)

    def _handle_append_entries(self, now, sender, message):
        super()._handle_append_entries(now, sender, message)
        last_index = message.prev_log_index + len(message.entries)
        if self.fault == "cut too far" and self.leader == sender and last_index < self.persistent.last_index:
            self._append_to_log(last_index, [])


@dataclass(frozen=True)
class Budget:
    """How often each kind of event may happen on one path."""

    crashes: int = 1
    duplicates: int = 0
    wipes: int = 0
    proposals: int = 1
    time_steps: int = 2  # steps of time, of ELECTION_TIMEOUT each
    electable: frozenset = frozenset("abc")  # names of voters that may start elections


@dataclass
class World:
    """One state of the search; never changed in place, so that states share what is the same in them."""

    nodes: dict  # name -> Voter, None while it is down
    disks: dict  # name -> PersistentState, the state that is on its disk
    in_flight: frozenset = frozenset()  # messages in flight: encoded Envelope
    now: int = 1000 * ELECTION_TIMEOUT
    remaining: Budget = field(default_factory=Budget)
    committed: tuple = ()  # (encoded entry, term of the voter that first had it committed)
    leaders: frozenset = frozenset()  # (term, name)
    next_id: int = 100

    def key(self):
        """Hash of all that decides what may happen next; times count in whole election timeouts."""
        parts = [self.in_flight, self.remaining, self.committed, self.leaders]
        for name, voter in sorted(self.nodes.items()):
            durable = self.disks[name] if voter is None else voter.persistent
            entries = tuple(encode(entry) for entry in durable.entries)
            parts.append(
                (name, durable.identity, durable.term, durable.voted_for, encode(durable.snapshot), entries)
            )
            if voter is not None:
                times = voter.election_at, voter.may_vote_from
                ahead = [min(3, max(0, -(-(time - self.now) // ELECTION_TIMEOUT))) for time in times]
                ago = [
                    min(3, (self.now - time) // ELECTION_TIMEOUT)
                    for time in (voter.leader_heard_at, voter.role_started_at)
                ]
                parts.append(
                    (
                        voter.role,
                        voter.leader,
                        frozenset(voter.votes),
                        voter.min_position,
                        voter.committed_log.last_index,
                        tuple(ahead),
                        tuple(ago),
                        tuple(sorted(voter.match_index.items())),
                        tuple(sorted(voter.next_index.items())),
                        tuple(sorted(voter.joining.items())),
                        frozenset(voter.recovery_responses),
                        voter.nonce,
                        tuple(
                            sorted(
                                (identity, (self.now - time) // ELECTION_TIMEOUT)
                                for identity, time in voter.answered_at.items()
                            )
                        ),
                    )
                )
        return hash(tuple(parts))


FAULTS = ("vote not durable", "older term counted", "cut too far", "wiped votes")


class Checker:
    """Searches the states that are reachable from the world `start`, at most `max_states` of them.

    `fault` is one of FAULTS to plant. The exchange of RecoveryRequest after a restart masks some of the
    faults; with a fault planted, voters restart without it. After `run`, `states` is the number of states
    visited.
    """

    def __init__(self, start, fault=None, max_states=200_000):
        self.start, self.fault, self.max_states = start, fault, max_states
        self.states = 0

    def run(self):
        """Returns (names of the steps, message) of the shortest path to a violation, or None."""
        self.voter_class = type("CheckedVoter", (DeterministicVoter,), {"fault": self.fault})
        for voter in self.start.nodes.values():
            voter.__class__ = self.voter_class
        found, self.states = search(self.start, self.steps, self.max_states)
        return found

    def steps(self, world):
        """Yields (name, call) of each event that is possible in `world`; see `search`."""
        for data in sorted(world.in_flight):
            sealed = decode(data)
            if world.nodes.get(sealed.to) is not None:
                label = f"{sealed.sender} to {sealed.to}: {type(sealed.message).__name__}"
                yield label, lambda d=data, s=sealed: self.deliver(world, d, s)
                if world.remaining.duplicates:
                    yield (
                        label + ", stays in flight",
                        lambda d=data, s=sealed: self.deliver(world, d, s, True),
                    )
        for name, voter in world.nodes.items():
            if voter is None:
                yield f"{name} starts", lambda n=name: self.start_node(world, n)
                if world.remaining.wipes:
                    yield f"{name} starts with nothing", lambda n=name: self.start_node(world, n, True)
                continue
            is_electable = voter.role in (Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE)
            if voter.next_tick_at() <= world.now and (not is_electable or name in world.remaining.electable):
                yield (
                    f"{name}'s timer fires",
                    lambda n=name: self.apply(world, n, lambda one: one.tick(world.now)),
                )
            if world.remaining.proposals and voter.role is Role.LEADER:
                yield f"value proposed to {name}", lambda n=name: self.propose(world, n)
            if world.remaining.crashes:
                yield f"{name} crashes", lambda n=name: self.crash(world, n)
        if world.remaining.time_steps:
            yield (
                "an election timeout passes",
                lambda: [
                    (
                        "",
                        replace(
                            world,
                            now=world.now + ELECTION_TIMEOUT,
                            remaining=replace(world.remaining, time_steps=world.remaining.time_steps - 1),
                        ),
                    )
                ],
            )

    def deliver(self, world, data, sealed, duplicate=False):
        """Delivers a message; as a duplicate it stays in flight."""
        in_flight, remaining = world.in_flight if duplicate else world.in_flight - {data}, world.remaining
        if duplicate:
            remaining = replace(remaining, duplicates=remaining.duplicates - 1)
        return self.apply(
            replace(world, in_flight=in_flight, remaining=remaining),
            sealed.to,
            lambda voter: voter.receive(world.now, sealed.sender, sealed.message),
        )

    def propose(self, world, name):
        """Proposes a new value to the voter `name`."""
        remaining = replace(world.remaining, proposals=world.remaining.proposals - 1)
        proposal_id = f"p{remaining.proposals}"
        return self.apply(
            replace(world, remaining=remaining),
            name,
            lambda voter: voter.propose(world.now, proposal_id, {"k": proposal_id}),
        )

    def crash(self, world, name):
        """Stops the voter `name`; its disk stays as it is."""
        remaining = replace(world.remaining, crashes=world.remaining.crashes - 1)
        return [("", replace(world, nodes={**world.nodes, name: None}, remaining=remaining))]

    def start_node(self, world, name, wiped=False):
        """Restarts the voter `name` with what is on its disk, or with an empty disk."""
        durable, remaining, next_id = copy_node(world.disks[name]), world.remaining, world.next_id
        if wiped:
            remaining = replace(remaining, wipes=remaining.wipes - 1)
            empty = PersistentState()
            if self.fault == "wiped votes":
                empty.identity, empty.epoch = durable.identity, durable.epoch
                empty.snapshot = initial_state(EPOCH, durable.snapshot["voters"])
            durable = empty
        ids = iter(range(next_id, next_id + 10))
        voter = self.voter_class(
            name, "abc", durable, CommittedLog(world.now), world.now, lambda: str(next(ids))
        )
        voter.new_id = None  # only the start draws from it; a state that is copied can't hold an iterator
        if self.fault:
            voter.role = Role.FOLLOWER
        if wiped and not self.fault:  # it learns the epoch from the first message it receives
            voter.committed_log.state["epoch"] = list(EPOCH)
            voter.adopt_newer_epoch(world.now)
        voter.pending_writes.clear()
        world = replace(
            world,
            remaining=remaining,
            next_id=next_id + 10,
            nodes={**world.nodes, name: voter},
            disks={**world.disks, name: copy_node(durable)},
        )
        return [("", self.check(world, name))]

    def apply(self, world, name, call):
        """Returns the worlds after `call` on a copy of the voter `name`.

        In one of them its writes become durable and its messages are sent. If it writes and the budget allows
        a crash, there are two more: a crash before its writes are durable, and one after that.
        """
        voter = copy_node(world.nodes[name])
        voter.new_id = voter.new_id or (lambda: str(world.next_id))
        call(voter)
        voter.new_id = None
        writes, voter.pending_writes = voter.pending_writes, []
        out, voter.outbox = voter.outbox, []
        voter.committed_log.outbox.clear()
        in_flight = world.in_flight | {encode(Envelope("f", name, to, message)) for to, message in out}
        successors, next_id = [], world.next_id + 1
        if writes:
            disk = copy_node(world.disks[name])
            for record in writes:
                disk.replay(record)
            if world.remaining.crashes:
                remaining = replace(world.remaining, crashes=world.remaining.crashes - 1)
                nodes = {**world.nodes, name: None}
                sent_early = in_flight if self.fault == "vote not durable" else world.in_flight
                successors.append(
                    (
                        " (crash before its writes are durable)",
                        replace(
                            world, nodes=nodes, remaining=remaining, in_flight=sent_early, next_id=next_id
                        ),
                    )
                )
                successors.append(
                    (
                        " (crash after its writes are durable)",
                        replace(
                            world,
                            nodes=nodes,
                            remaining=remaining,
                            disks={**world.disks, name: disk},
                            next_id=next_id,
                        ),
                    )
                )
            voter.on_durable(world.now, voter.write_count)
            writes, voter.pending_writes = voter.pending_writes, []
            for record in writes:
                disk.replay(record)
            more, voter.outbox = voter.outbox, []
            in_flight |= {encode(Envelope("f", name, to, message)) for to, message in more}
            world = replace(world, disks={**world.disks, name: disk})
        world = replace(world, nodes={**world.nodes, name: voter}, in_flight=in_flight, next_id=next_id)
        successors.append(("", self.check(world, name)))
        return successors

    def check(self, world, name):
        """Checks what the voter `name` has committed, and that it may lead, against all earlier steps.

        Returns the world with these added; raises `InvariantViolationError`.
        """
        voter, committed, leaders = world.nodes[name], list(world.committed), world.leaders
        for index, entry in voter.committed_log.newly_committed:
            data = encode(entry_fields(entry))
            if index <= len(committed):
                if committed[index - 1][0] != data:
                    raise InvariantViolationError(
                        f"entry {index} was committed twice with different contents (at {name})"
                    )
            elif index == len(committed) + 1:
                committed.append((data, voter.persistent.term))
            else:
                raise InvariantViolationError(
                    f"entry {index} was committed after entry {len(committed)} (at {name})"
                )
        voter.committed_log.newly_committed.clear()
        if voter.role is Role.LEADER and (voter.persistent.term, name) not in leaders:
            if any(term == voter.persistent.term for term, _ in leaders):
                raise InvariantViolationError(f"two leaders in term {voter.persistent.term}")
            leaders = leaders | {(voter.persistent.term, name)}
            for index, (data, term) in enumerate(committed, 1):
                offset = index - voter.persistent.snapshot["last"] - 1
                # A leader elected late in an earlier term may lack the entry; it can't commit anything.
                present = (
                    offset < 0
                    or offset < len(voter.persistent.entries)
                    and encode(entry_fields(voter.persistent.entries[offset])) == data
                )
                if voter.persistent.term > term and not present:
                    raise InvariantViolationError(f"{name} leads without entry {index}, which was committed")
        return replace(world, committed=tuple(committed), leaders=leaders)


def make_world(logs=None, terms=None, budget=None, committed_count=0):
    """Returns a world of three followers "a", "b" and "c", with no message in flight.

    `logs`: name -> entries; `terms`: name -> (term, identity voted for); `committed_count`: number of
    entries, the same ones in all logs, that are committed.
    """
    identities = {name: f"{name}/1" for name in "abc"}
    nodes, disks, now = {}, {}, 1000 * ELECTION_TIMEOUT
    for name in "abc":
        durable = PersistentState()
        durable.identity, durable.epoch, durable.snapshot = (
            identities[name],
            EPOCH,
            initial_state(EPOCH, identities),
        )
        durable.entries = list((logs or {}).get(name, []))
        durable.term, durable.voted_for = (terms or {}).get(name, (0, ""))
        voter = DeterministicVoter(name, "abc", durable, CommittedLog(now), now, lambda: "0")
        voter.role, voter.new_id, voter.election_at = Role.FOLLOWER, None, now
        for entry in durable.entries[:committed_count]:
            voter.committed_log.apply_committed(entry)
        voter.committed_log.newly_committed.clear()
        nodes[name], disks[name] = voter, copy_node(durable)
    committed_entries = next(iter(nodes.values())).persistent.entries[:committed_count]
    committed = tuple((encode(entry_fields(e)), e.term) for e in committed_entries)
    return World(nodes, disks, remaining=budget or Budget(), committed=committed)
