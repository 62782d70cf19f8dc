"""A checker of small worlds: voters as they run in service, every order of what can happen, to a bound.

Each step is one of: a message arrives (or arrives and is still on its way, a doubling), a voter's time has
come, time passes, something is proposed, a voter crashes before or after what it writes is durable, starts
again with what it kept or with nothing. What is never delivered is lost. States are hashed; the search is by
breadth, so that the way to a fault is the shortest there is. What must hold is in `Violated`.
"""

from collections import deque
from dataclasses import dataclass, field, replace
from functools import lru_cache

import msgspec

from terndrift.fleet.agreed import Follower, beginning, copied
from terndrift.fleet.messages import Sealed
from terndrift.fleet.record import ELECTION, Durable, Role, Voter, plain

EPOCH = (1, "e")
encode = msgspec.msgpack.Encoder().encode
decode = lru_cache(100_000)(msgspec.msgpack.Decoder(Sealed).decode)


def forked(thing):
    """A copy that shares nothing which is changed in place: two levels of what voters are made of."""
    out = object.__new__(type(thing))
    for name, value in thing.__dict__.items():
        if isinstance(value, dict | list | set):
            value = value.copy()
        elif isinstance(value, Durable | Follower):
            value = forked(value)
        out.__dict__[name] = value
    if isinstance(out, Follower):
        out.state = copied(out.state)
    return out


class Violated(Exception):
    """One leader a term; what was agreed is never lost or changed, and the same for all who follow."""


def searched(start, steps, most):
    """By breadth, through what `steps(world)` yields, (name, call giving [(suffix, world)]): ((names, what is
    violated) of the shortest way to a fault or None, states seen)."""
    seen, queue, states = {start.key()}, deque([(start, ())]), 0
    while queue and states < most:
        world, way = queue.popleft()
        states += 1
        for step, make in steps(world):
            try:
                after = make()
            except Violated as wrong:
                return ([*way, step], str(wrong)), states
            for suffix, one in after:
                key = one.key()
                if key not in seen:
                    seen.add(key)
                    queue.append((one, (*way, step + suffix)))
    return None, states


class Still(Voter):
    """Without chance: whoever waits for an election waits the least time."""

    fault, pre = None, False

    def _chance(self):
        return 0.0

    def _stand(self, now, planned=False):
        super()._stand(now, planned or not self.pre)  # whoever stands may unseat: more can happen so

    def _agree(self, now):
        if self.fault == "older term counted" and self.role is Role.LEADER:
            kept = sorted(
                [
                    self.flushed if i == self.identity else self.match.get(i, 0)
                    for i in self.d.voters().values()
                ],
                reverse=True,
            )
            self._agreed_to(now, kept[self.majority() - 1])
        super()._agree(now)

    def _append(self, now, sender, m):
        super()._append(now, sender, m)
        upto = m.before + len(m.entries)
        if self.fault == "cut too far" and self.leader == sender and upto < self.d.last:
            self._log(upto, [])


@dataclass(frozen=True)
class Budget:
    """How often each may happen, in all."""

    crashes: int = 1
    doubles: int = 0
    wipes: int = 0
    proposals: int = 1
    passes: int = 2  # of ELECTION each
    standers: frozenset = frozenset("abc")  # who may stand for election


@dataclass
class World:
    nodes: dict  # name -> Voter, or None while it is down
    disks: dict  # name -> Durable, as the disk has it
    flying: frozenset = frozenset()  # Sealed, as bytes
    now: int = 1000 * ELECTION
    left: Budget = field(default_factory=Budget)
    agreed: tuple = ()  # (entry as plain bytes, term of the leader under which it came to be agreed)
    leaders: frozenset = frozenset()  # (term, name)
    mints: int = 100

    def key(self):
        parts = [self.flying, self.left, self.agreed, self.leaders]
        for name, v in sorted(self.nodes.items()):
            d = self.disks[name] if v is None else v.d
            entries = tuple(encode(e) for e in d.entries)
            parts.append((name, d.identity, d.term, d.voted, encode(d.base), entries))
            if v is not None:
                times = v.election_at, v.votes_from
                ahead = [min(3, max(0, -(-(t - self.now) // ELECTION))) for t in times]
                ago = [min(3, (self.now - t) // ELECTION) for t in (v.heard_leader, v.began)]
                parts.append(
                    (
                        v.role,
                        v.leader,
                        frozenset(v.votes),
                        v.floor,
                        v.follower.last,
                        tuple(ahead),
                        tuple(ago),
                        tuple(sorted(v.match.items())),
                        tuple(sorted(v.next.items())),
                        tuple(sorted(v.newcomers.items())),
                        frozenset(v.doubts),
                        v.nonce,
                        tuple(sorted((i, (self.now - t) // ELECTION) for i, t in v.answered.items())),
                    )
                )
        return hash(tuple(parts))


FAULTS = ("vote not durable", "older term counted", "cut too far", "wiped votes")


class Checker:
    """`fault`: one of FAULTS, planted on purpose. The hello of a voter that starts hides some of them; it is
    left out with these."""

    def __init__(self, start, fault=None, most=200_000):
        self.start, self.fault, self.most = start, fault, most
        self.states = 0

    def run(self):
        """(steps, what is violated) of the shortest way to a fault, or None; `states`: how many were seen."""
        self.kind = type("Planted", (Still,), {"fault": self.fault})
        for v in self.start.nodes.values():
            v.__class__ = self.kind
        found, self.states = searched(self.start, self.steps, self.most)
        return found

    def steps(self, w):
        for data in sorted(w.flying):
            found = decode(data)
            if w.nodes.get(found.to) is not None:
                what = f"{found.sender} to {found.to}: {type(found.message).__name__}"
                yield what, lambda d=data, f=found: self.deliver(w, d, f)
                if w.left.doubles:
                    yield what + ", and again", lambda d=data, f=found: self.deliver(w, d, f, True)
        for name, v in w.nodes.items():
            if v is None:
                yield f"{name} starts", lambda n=name: self.begin(w, n)
                if w.left.wipes:
                    yield f"{name} starts with nothing", lambda n=name: self.begin(w, n, True)
                continue
            stands = v.role in (Role.FOLLOWER, Role.ASKING, Role.CANDIDATE)
            if v.next_at() <= w.now and (not stands or name in w.left.standers):
                yield f"{name}'s time has come", lambda n=name: self.act(w, n, lambda one: one.tick(w.now))
            if w.left.proposals and v.role is Role.LEADER:
                yield f"proposed to {name}", lambda n=name: self.propose(w, n)
            if w.left.crashes:
                yield f"{name} crashes", lambda n=name: self.crash(w, n)
        if w.left.passes:
            yield (
                "time passes",
                lambda: [
                    ("", replace(w, now=w.now + ELECTION, left=replace(w.left, passes=w.left.passes - 1)))
                ],
            )

    def deliver(self, w, data, found, again=False):
        flying, left = w.flying if again else w.flying - {data}, w.left
        if again:
            left = replace(left, doubles=left.doubles - 1)
        return self.act(
            replace(w, flying=flying, left=left),
            found.to,
            lambda v: v.received(w.now, found.sender, found.message),
        )

    def propose(self, w, name):
        left = replace(w.left, proposals=w.left.proposals - 1)
        id = f"p{left.proposals}"
        return self.act(replace(w, left=left), name, lambda v: v.propose(w.now, id, {"k": id}))

    def crash(self, w, name):
        left = replace(w.left, crashes=w.left.crashes - 1)
        return [("", replace(w, nodes={**w.nodes, name: None}, left=left))]

    def begin(self, w, name, wiped=False):
        disk, left, mints = forked(w.disks[name]), w.left, w.mints
        if wiped:
            left = replace(left, wipes=left.wipes - 1)
            empty = Durable()
            if self.fault == "wiped votes":
                empty.identity, empty.epoch = disk.identity, disk.epoch
                empty.base = beginning(EPOCH, disk.base["voters"])
            disk = empty
        counter = iter(range(mints, mints + 10))
        v = self.kind(name, "abc", disk, Follower(w.now), w.now, lambda: str(next(counter)))
        v.mint = None  # minted at the start alone; nothing that can be copied may hold a generator
        if self.fault:
            v.role = Role.FOLLOWER
        if wiped and not self.fault:  # what rides on every message tells it of the epoch
            v.follower.state["epoch"] = list(EPOCH)
            v.newer_epoch(w.now)
        v.writes.clear()
        w = replace(
            w, left=left, mints=mints + 10, nodes={**w.nodes, name: v}, disks={**w.disks, name: forked(disk)}
        )
        return [("", self.settle(w, name))]

    def act(self, w, name, call):
        v = forked(w.nodes[name])
        v.mint = v.mint or (lambda: str(w.mints))
        call(v)
        v.mint = None
        writes, v.writes = v.writes, []
        out, v.out = v.out, []
        v.follower.out.clear()
        sent = w.flying | {encode(Sealed("f", name, to, m)) for to, m in out}
        after, mints = [], w.mints + 1
        if writes:
            disk = forked(w.disks[name])
            for one in writes:
                disk.replay(one)
            if w.left.crashes:
                left = replace(w.left, crashes=w.left.crashes - 1)
                down = {**w.nodes, name: None}
                early = sent if self.fault == "vote not durable" else w.flying
                after.append(
                    (
                        " (crash before it is written)",
                        replace(w, nodes=down, left=left, flying=early, mints=mints),
                    )
                )
                after.append(
                    (
                        " (crash once it is written)",
                        replace(w, nodes=down, left=left, disks={**w.disks, name: disk}, mints=mints),
                    )
                )
            v.kept(w.now, v.wrote)
            writes, v.writes = v.writes, []
            for one in writes:
                disk.replay(one)
            more, v.out = v.out, []
            sent |= {encode(Sealed("f", name, to, m)) for to, m in more}
            w = replace(w, disks={**w.disks, name: disk})
        w = replace(w, nodes={**w.nodes, name: v}, flying=sent, mints=mints)
        after.append(("", self.settle(w, name)))
        return after

    def settle(self, w, name):
        """What came to be agreed and who leads, held against all that was before."""
        v, agreed, leaders = w.nodes[name], list(w.agreed), w.leaders
        for index, entry in v.follower.heard:
            data = encode(plain(entry))
            if index <= len(agreed):
                if agreed[index - 1][0] != data:
                    raise Violated(f"entry {index} was agreed twice, differently (at {name})")
            elif index == len(agreed) + 1:
                agreed.append((data, v.d.term))
            else:
                raise Violated(f"entry {index} is agreed where {len(agreed)} were (at {name})")
        v.follower.heard.clear()
        if v.role is Role.LEADER and (v.d.term, name) not in leaders:
            if any(term == v.d.term for term, _ in leaders):
                raise Violated(f"two leaders in term {v.d.term}")
            leaders = leaders | {(v.d.term, name)}
            for index, (data, term) in enumerate(agreed, 1):
                n = index - v.d.base["last"] - 1
                # one elected late in an earlier term may lack it, and will never agree on anything
                there = n < 0 or n < len(v.d.entries) and encode(plain(v.d.entries[n])) == data
                if v.d.term > term and not there:
                    raise Violated(f"{name} leads without entry {index}, which was agreed")
        return replace(w, agreed=tuple(agreed), leaders=leaders)


def small(logs=None, terms=None, budget=None, agreed=0):
    """Three voters at rest: `logs`: name -> entries; `terms`: name -> (term, voted)."""
    identities = {n: f"{n}/1" for n in "abc"}
    nodes, disks, now = {}, {}, 1000 * ELECTION
    for n in "abc":
        d = Durable()
        d.identity, d.epoch, d.base = identities[n], EPOCH, beginning(EPOCH, identities)
        d.entries = list((logs or {}).get(n, []))
        d.term, d.voted = (terms or {}).get(n, (0, ""))
        v = Still(n, "abc", d, Follower(now), now, lambda: "0")
        v.role, v.mint, v.election_at = Role.FOLLOWER, None, now
        for entry in d.entries[:agreed]:
            v.follower.take(entry)
        v.follower.heard.clear()
        nodes[n], disks[n] = v, forked(d)
    first = next(iter(nodes.values())).d.entries[:agreed]
    told = tuple((encode(plain(e)), e.term) for e in first)
    return World(nodes, disks, left=budget or Budget(), agreed=told)
