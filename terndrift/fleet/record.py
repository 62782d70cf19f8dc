"""A voter of the record: a replicated log after Raft (Ongaro, Ousterhout 2014; Ongaro's thesis for pre-vote,
checks of the quorum, leader change and voters changed one at a time). Free of I/O.

Messages and the time come in; `writes` has what must be durable before anything of `out` is sent; the host
calls `kept` once it is. What differs from the papers is that a disk is not believed (`docs/fleet.md`): a
voter that has started asks the others what they hold and have seen of it, and neither votes nor confirms
before so many of them have answered that one of any majority is among them. One that was seen to confirm
more than it has, or that has nothing, goes on under a new identity, which the others have to let in.
"""

import zlib
from enum import Enum

from terndrift.fleet.agreed import beginning, copied
from terndrift.fleet.messages import (
    Append,
    AskVote,
    Base,
    Entry,
    Hello,
    Kept,
    Lead,
    LetIn,
    Seen,
    Vote,
)

MS = 1_000_000
SECOND = 1000 * MS
BEAT = 150 * MS  # a leader is heard of so often: several times within the least ELECTION, with loss
# Without a leader for so long, and up to twice that by chance, a voter stands for election: tens of round
# trips and longer than a busy event loop was ever held (docs/path.md); also how long a leader may not have
# heard a majority.
ELECTION = SECOND
# A candidacy is over after so long by its own clock; a voter back with doubts about its votes waits twice
# that.
CANDIDACY = ELECTION
AGAIN = SECOND // 2  # between words of a voter that wants to be heard or let in
MOST = 64  # entries in one message
LONGEST = 1024  # entries kept before the state takes their place


class Role(Enum):
    DOUBTING = "doubting"  # has started and is not sure yet of what it once said
    OUT = "out"  # a new identity, not let in
    FOLLOWER = "follower"
    ASKING = "asking"  # whether an election would be won (pre-vote)
    CANDIDATE = "candidate"
    LEADER = "leader"


ROUTES = {
    Role.DOUBTING: (Role.OUT, Role.FOLLOWER),
    Role.OUT: (Role.FOLLOWER, Role.DOUBTING),
    Role.FOLLOWER: (Role.ASKING, Role.CANDIDATE, Role.OUT),
    Role.ASKING: (Role.FOLLOWER, Role.CANDIDATE, Role.OUT),
    Role.CANDIDATE: (Role.FOLLOWER, Role.LEADER, Role.OUT),
    Role.LEADER: (Role.FOLLOWER, Role.OUT),
}


class Durable:
    """What a voter keeps, as its store has it: `restore`, `replay` and `items` are the store's."""

    def __init__(self):
        self.clear((0, ""))
        self.identity = ""

    def clear(self, epoch):
        self.epoch, self.term, self.voted = epoch, 0, ""
        self.base, self.entries, self.seen = beginning(epoch), [], {}

    def restore(self, items):
        for record in items:
            self.replay(record)

    def replay(self, record):
        what = record["what"]
        if what == "identity":
            self.identity = record["identity"]
        elif what == "epoch":
            self.clear(tuple(record["epoch"]))
        elif what == "term":
            self.term, self.voted = record["term"], record["voted"]
        elif what == "log":
            # a snapshot may have been taken once the base was beyond it: what it covers is left out
            n = record["after"] - self.base["last"]
            del self.entries[max(0, n) :]
            self.entries += [Entry(*e) for e in record["entries"][max(0, -n) :]]
            self.seen.update(record["seen"])
        elif what == "base":
            keep = self.last - record["state"]["last"] if record["keep"] else 0
            self.base = copied(record["state"])
            self.entries = self.entries[len(self.entries) - keep :] if keep > 0 else []

    def items(self):
        return iter(
            [
                {"what": "identity", "identity": self.identity},
                {"what": "epoch", "epoch": list(self.epoch)},
                {"what": "term", "term": self.term, "voted": self.voted},
                {"what": "base", "state": copied(self.base), "keep": False},
                {
                    "what": "log",
                    "after": self.base["last"],
                    "entries": list(map(plain, self.entries)),
                    "seen": dict(self.seen),
                },
            ]
        )

    @property
    def last(self):
        return self.base["last"] + len(self.entries)

    def term_at(self, index):
        """0 before the first; None: not here any more, or not yet."""
        n = index - self.base["last"]
        if n == 0:
            return self.base["term"]
        return self.entries[n - 1].term if 0 < n <= len(self.entries) else None

    def end(self):
        """(term, index) of the last entry: how far this log is."""
        return self.term_at(self.last), self.last

    def voters(self):
        """Of the newest entry that says so, agreed or not."""
        return next((e.value for e in reversed(self.entries) if e.kind == "voters"), self.base["voters"])


def needed(voters):
    """Others that have to answer a hello: so many that whichever majority confirmed something with this
    voter, one of its others is among them."""
    return len(voters) - (len(voters) // 2 + 1) + 1 if len(voters) > 1 else 0


def plain(entry):
    return [entry.term, entry.kind, entry.id, entry.value]


class Voter:
    """`names`: those whom the records name as voters; `mint()`: a new identity; `follower`: what is
    agreed."""

    def __init__(self, me, names, durable, follower, now, mint, seed=0):
        self.me, self.names, self.d, self.follower, self.mint = me, list(names), durable, follower, mint
        self.seed, self.draws = zlib.crc32(f"{seed}/{me}".encode()), 0
        self.out, self.writes = [], []
        self.role, self.leader, self.now = Role.DOUBTING, None, now
        self.heard_leader, self.without_since = 0, now
        self.votes, self.began, self.votes_from = set(), 0, 0
        self.doubts, self.floor = {}, (0, 0)  # who answered the hello; how far this voter may once have been
        self.next, self.match = {}, {}
        self.wrote, self.pending = 0, []  # records handed out; (which, entry before) of log ones
        self.round, self.sent, self.answered, self.newcomers, self.busy = 0, {}, {}, {}, {}
        self.beat_at = self.again_at = now
        self.nonce = mint()
        if not durable.identity:
            self._anew()
            self.role = Role.OUT
        else:
            self._applied_again()
        self._patience(now)

    # What there is to know.

    @property
    def identity(self):
        return self.d.identity

    def majority(self):
        return len(self.d.voters()) // 2 + 1

    @property
    def flushed(self):
        """The last entry that is durable here, whatever still is to be written."""
        return min([after for _, after in self.pending], default=self.d.last)

    def next_at(self):
        if self.role is Role.LEADER:
            return min(self.beat_at, self.quorum_at() + ELECTION + 1)
        if self.role in (Role.OUT, Role.DOUBTING):
            return self.again_at
        return self.election_at if self.role is Role.FOLLOWER else min(self.election_at, self.beat_at)

    def quorum_at(self):
        """A leader's: when it last asked something that a majority has answered."""
        times = sorted(
            [self.now] + [self.answered.get(i, 0) for i in self.d.voters().values() if i != self.identity],
            reverse=True,
        )
        return times[self.majority() - 1] if len(times) >= self.majority() else 0

    # What happens.

    def received(self, now, sender, m):
        self._time(now)
        if m.epoch != self.d.epoch:
            return  # of another beginning: `agreed` rides on every message, and brings the later one
        if isinstance(m, Hello):
            return self._hello(sender, m)
        if isinstance(m, Seen):
            return self._seen(now, sender, m)
        if isinstance(m, LetIn):
            return self._let_in(now, sender, m)
        if m.term > self.d.term and not (isinstance(m, AskVote) and m.pre):
            led = self.role is Role.LEADER or now - self.heard_leader < ELECTION
            if isinstance(m, AskVote) and led and not m.planned:
                return None  # who was cut off may come back with a high term: it must not unseat who is heard
            self._newer(now, m.term)
        handler = {
            AskVote: self._asked,
            Vote: self._voted,
            Append: self._append,
            Kept: self._confirmed,
            Base: self._based,
            Lead: self._lead,
        }.get(type(m))
        return handler(now, sender, m) if handler else None

    def tick(self, now):
        self._time(now)
        if self.role in (Role.OUT, Role.DOUBTING) and now >= self.again_at:
            self.again_at = now + AGAIN
            there = self.follower.epoch == self.d.epoch and self.follower.state["voters"]
            if (
                self.role is Role.DOUBTING
                and there
                and self.identity not in there.values()
                and self.follower.last > self.d.last
            ):
                self._anew()  # it was put out meanwhile
                self._become(now, Role.OUT)
            elif self.role is Role.DOUBTING:
                self._tell(Hello, self.nonce, self.d.last)
            elif self.d.epoch[0]:
                self._tell(LetIn, self.me)
        elif self.role is Role.LEADER and now >= self.beat_at:
            self._beat(now)
        elif self.role in (Role.FOLLOWER, Role.ASKING, Role.CANDIDATE) and now >= self.election_at:
            self._stand(now)
        elif self.role in (Role.ASKING, Role.CANDIDATE) and now >= self.beat_at:
            self._ask(now, self.role is Role.ASKING)  # of those whose answer may have got lost

    def kept(self, now, wrote):
        """The records handed out up to that number (`wrote` when they were) are durable."""
        self.pending = [p for p in self.pending if p[0] > wrote]
        if self.role is Role.LEADER:
            self._agree(now)

    def propose(self, now, id, value):
        """Whether it stands in this leader's log now, or did before; None: this voter does not lead."""
        self._time(now)
        if self.role is not Role.LEADER:
            return None
        if id not in self.follower.state["ids"] and not any(e.id == id for e in self.d.entries):
            self._log(self.d.last, [Entry(self.d.term, "value", id, value)])
            self.beat_at = now  # with all else that is proposed in this moment
        return True

    def stop(self, now):
        """A planned stop: the voter that is furthest stands for election at once."""
        self._time(now)
        if self.role is Role.LEADER:
            others = {n: i for n, i in self.d.voters().items() if i != self.identity}
            if others:
                name = max(others, key=lambda n: self.match.get(others[n], 0))
                self.out.append((name, self._of(Lead)))

    def restart(self, now, state=None):
        """On the operator's word: a new epoch, which this voter begins alone with that state; the others
        have to be let in."""
        number = max(self.d.epoch[0], self.follower.epoch[0]) + 1
        epoch = number, self.mint()
        begun = beginning(epoch, {self.me: self.identity})
        if state:
            begun |= {"map": dict(state["map"]), "ids": dict(state["ids"])}
        self._begin(epoch, begun)
        self._become(now, Role.FOLLOWER)
        self.election_at = now

    def newer_epoch(self, now):
        """The follower has learnt of a later beginning: what was kept of the earlier one counts no more."""
        if self.follower.epoch > self.d.epoch:
            self._begin(self.follower.epoch, self.follower.state)
            self._become(now, Role.OUT)
            self.again_at = now

    # Itself.

    def _time(self, now):
        """Before anything else: a leader that has not heard a majority lately, as after a stop of its
        process, leads no more; a candidacy ends."""
        self.now = now
        if self.role is Role.LEADER and now - self.quorum_at() > ELECTION and now - self.began > ELECTION:
            self._become(now, Role.FOLLOWER)
        if self.role in (Role.CANDIDATE, Role.ASKING) and now - self.began > CANDIDACY:
            self._become(now, Role.FOLLOWER)

    def _become(self, now, role):
        """Every change of role."""
        if role is self.role:
            return
        assert role in ROUTES[self.role], f"{self.me}: {self.role.value} to {role.value}"
        if self.role is Role.LEADER:
            self.leader, self.without_since = None, now
        self.role = role
        self._patience(now)
        if role is Role.LEADER:
            self.leader, self.began = self.me, now
            self.next = {i: self.d.last + 1 for i in self.d.voters().values()}
            self.match, self.answered, self.sent = {}, {i: now for i in self.d.voters().values()}, {}
            self._log(self.d.last, [Entry(self.d.term, "begin", "")])
            self._beat(now)

    def _chance(self):
        self.draws += 1
        return zlib.crc32(b"%d" % self.draws, self.seed) * 2654435761 % 2**32 / 2**32

    def _patience(self, now):
        self.election_at = now + int(ELECTION * (1 + self._chance()))

    def _newer(self, now, term):
        self._term(term, "")
        if self.role not in (Role.OUT, Role.DOUBTING):
            self._become(now, Role.FOLLOWER)

    def _term(self, term, voted):
        self._keep({"what": "term", "term": term, "voted": voted})

    def _keep(self, record):
        self.d.replay(record)
        self.writes.append(record)
        self.wrote += 1

    def _anew(self):
        self._keep({"what": "identity", "identity": f"{self.me}/{self.mint()}"})

    def _begin(self, epoch, state):
        self._keep({"what": "epoch", "epoch": list(epoch)})
        self._keep({"what": "base", "state": copied(state), "keep": False})
        self.leader, self.floor = None, (0, 0)
        if self.follower.epoch < epoch:
            self.follower.begin(state)

    def _applied_again(self):
        """After a start: the base is agreed; what follows it will be told again."""
        if (self.d.epoch, self.d.base["last"]) > (self.follower.epoch, self.follower.last):
            self.follower.begin(self.d.base)

    def _of(self, kind, *rest):
        return kind(self.d.epoch, self.identity, self.d.term, *rest)

    def _tell(self, kind, *rest):
        """To all other voters that the records name or that are in force."""
        for name in sorted({*self.names, *self.d.voters()} - {self.me}):
            self.out.append((name, self._of(kind, *rest)))

    # A start, and who is let in.

    def _hello(self, sender, m):
        term, last = self.d.end()
        yours = max(self.d.seen.get(m.who, 0), self.match.get(m.who, 0))
        self.out.append((sender, self._of(Seen, m.nonce, term, last, yours, self.d.voters())))

    def _seen(self, now, sender, m):
        if self.role is not Role.DOUBTING or m.nonce != self.nonce:
            return
        if m.yours > self.d.last:  # it has lost what it once confirmed
            self._anew()
            return self._become(now, Role.OUT)
        self.doubts[m.who] = m
        # by the voters of the log that is furthest: its own may be of before they were changed
        voters = max(
            [(self.d.end(), self.d.voters())]
            + [((s.last_term, s.last), s.voters) for s in self.doubts.values()],
            key=lambda x: x[0],
        )[1]
        counted = [s for who, s in self.doubts.items() if who in voters.values()]
        if self.identity not in voters.values():
            self._anew()
            return self._become(now, Role.OUT)
        if len(counted) >= needed(voters):
            self.floor = max((s.last_term, s.last) for s in counted)
            term = max(s.term for s in counted)
            if term > self.d.term:  # it may have voted in any of these
                self._term(term, "?")
            elif not self.d.voted:
                self._term(self.d.term, "?")
            self.votes_from = now + 2 * CANDIDACY
            self._become(now, Role.FOLLOWER)
            self.election_at = max(self.election_at, self.votes_from)

    def _let_in(self, now, sender, m):
        if self.role is not Role.LEADER or sender != m.name or sender not in self.names:
            return
        voters = self.d.voters()
        if m.who in voters.values():
            return
        # under this name only the newest
        self.newcomers = {w: name for w, name in self.newcomers.items() if name != sender} | {m.who: sender}
        self.next.setdefault(m.who, self.d.last + 1)
        self._admit(now)

    def _admit(self, now):
        """One change of voters at a time, and none before something of this leader's own term is agreed."""
        voters, settled = self.d.voters(), self.follower.last
        if self.d.term_at(settled) != self.d.term or any(
            e.kind == "voters" for e in self.d.entries[settled - self.d.base["last"] :]
        ):
            return
        for who, name in self.newcomers.items():
            if name in voters and voters[name] != who:
                return self._voters(now, {n: i for n, i in voters.items() if n != name})
            if name not in voters and self.match.get(who, 0) >= settled:
                del self.newcomers[who]
                return self._voters(now, {**voters, name: who})
        return None

    def _voters(self, now, voters):
        self._log(self.d.last, [Entry(self.d.term, "voters", "", voters)])
        self.beat_at = now

    # Elections.

    def _stand(self, now, planned=False):
        voters = self.d.voters()
        if self.identity not in voters.values() or self.d.end() < self.floor:
            return self._patience(now)
        self._become(now, Role.FOLLOWER)
        if self.leader:
            self.leader, self.without_since = None, now
        self.votes, self.began = {self.identity}, now
        if planned:
            self._term(self.d.term + 1, self.identity)
        self._become(now, Role.CANDIDATE if planned else Role.ASKING)
        self._ask(now, pre=not planned, planned=planned)
        return None

    def _ask(self, now, pre, planned=False):
        term, last = self.d.end()
        self.beat_at = now + 2 * BEAT
        for name, who in self.d.voters().items():
            if who not in self.votes:
                self.out.append((name, self._of(AskVote, term, last, pre, planned)))
        self._count(now)

    def _asked(self, now, sender, m):
        if self.role in (Role.OUT, Role.DOUBTING):
            return
        asked = m.term + 1 if m.pre else m.term
        fit = (m.last_term, m.last) >= max(self.d.end(), self.floor) and now >= self.votes_from
        if m.pre:
            granted = (
                fit
                and asked > self.d.term
                and (now - self.heard_leader >= ELECTION and self.role is not Role.LEADER)
            )
        else:
            granted = fit and m.term == self.d.term and self.d.voted in ("", m.who)
            if granted and not self.d.voted:
                self._term(m.term, m.who)
                self._patience(now)
        self.out.append((sender, self._of(Vote, granted, m.pre, asked)))

    def _voted(self, now, sender, m):
        wanted = Role.ASKING if m.pre else Role.CANDIDATE
        asked = self.d.term + 1 if m.pre else self.d.term
        if self.role is wanted and m.granted and m.asked == asked and m.who in self.d.voters().values():
            self.votes.add(m.who)
            self._count(now)

    def _count(self, now):
        if len(self.votes & set(self.d.voters().values())) < self.majority():
            return
        if self.role is Role.ASKING:
            self._term(self.d.term + 1, self.identity)
            self.votes, self.began = {self.identity}, now
            self._become(now, Role.CANDIDATE)
            self._ask(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self._become(now, Role.LEADER)

    def _lead(self, now, sender, m):
        if (
            m.term == self.d.term
            and sender == self.leader
            and self.role is Role.FOLLOWER
            and now >= self.votes_from
        ):
            self._stand(now, planned=True)

    # The log.

    def _log(self, after, entries):
        self._keep(
            {"what": "log", "after": after, "entries": list(map(plain, entries)), "seen": dict(self.d.seen)}
        )
        self.pending.append((self.wrote, after))

    def _beat(self, now):
        self.beat_at = now + BEAT
        self.round += 1
        self.sent[self.round] = now
        self.sent.pop(self.round - 64, None)
        to = {i: n for n, i in self.d.voters().items() if i != self.identity} | self.newcomers
        for who, name in to.items():
            self._send(name, who)

    def _send(self, name, who):
        n = self.next.setdefault(who, self.d.last + 1)
        before = self.d.term_at(n - 1)
        if before is None:
            state = self.d.base
            self.out.append((name, self._of(Base, state["term"], state["last"], copied(state), self.round)))
            return
        part = self.d.entries[n - 1 - self.d.base["last"] :][:MOST]
        self.out.append(
            (name, self._of(Append, before, n - 1, part, self.follower.last, self.round, dict(self.d.seen)))
        )

    def _from_leader(self, now, sender, m):
        if m.term < self.d.term:
            self.out.append((sender, self._of(Kept, False, self.d.last, m.round)))
            return False
        if self.role in (Role.CANDIDATE, Role.ASKING):
            self._become(now, Role.FOLLOWER)
        self.leader, self.heard_leader = sender, now
        self._patience(now)
        return self.role is not Role.DOUBTING

    def _append(self, now, sender, m):
        if not self._from_leader(now, sender, m):
            return
        here = self.d.term_at(m.before)
        if here != m.before_term:
            # behind the base all is agreed, and so the same
            far = self.d.last if m.before > self.d.last else max(self.d.base["last"], m.before - 1)
            if m.before >= self.d.base["last"]:
                return self.out.append((sender, self._of(Kept, False, far, m.round)))
        self.d.seen.update({k: v for k, v in m.seen.items() if v > self.d.seen.get(k, 0)})
        entries, after = m.entries, m.before
        while entries and (after < self.d.base["last"] or self.d.term_at(after + 1) == entries[0].term):
            entries, after = entries[1:], after + 1
        if entries:
            self._log(after, entries)
        upto = m.before + len(m.entries)
        self._agreed_to(now, min(m.agreed, upto))
        self._in_force(now)
        self.out.append((sender, self._of(Kept, True, upto, m.round)))

    def _based(self, now, sender, m):
        if not self._from_leader(now, sender, m):
            return
        if m.last > self.d.base["last"] and self.d.term_at(m.last) != m.last_term:
            self._keep({"what": "base", "state": m.state, "keep": False})
            if m.last > self.follower.last:
                self.follower.begin(m.state)
        self._in_force(now)
        self.out.append((sender, self._of(Kept, True, m.last, m.round)))

    def _in_force(self, now):
        """Let in, or put out, by what its own log says."""
        there = self.identity in self.d.voters().values()
        if self.role is Role.OUT and there:
            self._become(now, Role.FOLLOWER)
        elif self.role is Role.FOLLOWER and not there and self.d.voters():
            self._become(now, Role.OUT)

    def _confirmed(self, now, sender, m):
        if self.role is not Role.LEADER or m.term != self.d.term:
            return
        self.answered[m.who] = max(self.answered.get(m.who, 0), self.sent.get(m.round, 0))
        if not m.ok:
            self.next[m.who] = min(self.next.get(m.who, 1), m.last + 1)
            return self._send(sender, m.who)
        if m.last > self.match.get(m.who, 0):
            self.match[m.who] = self.d.seen[m.who] = m.last
        self.next[m.who] = max(self.next.get(m.who, 1), m.last + 1)
        self._agree(now)
        if m.who in self.newcomers:
            self._admit(now)
        if self.role is Role.LEADER and self.d.last >= self.next[m.who] and self.busy.get(m.who) != m.last:
            self.busy[m.who] = m.last
            self._send(sender, m.who)
        return None

    def _agree(self, now):
        """Agreed is what a majority of the voters in force has, if it is of this leader's own term."""
        voters = self.d.voters().values()
        kept = [self.flushed if i == self.identity else self.match.get(i, 0) for i in voters]
        kept.sort(reverse=True)
        upto = kept[self.majority() - 1] if len(kept) >= self.majority() else 0
        if upto > self.follower.last and self.d.term_at(upto) == self.d.term:
            self._agreed_to(now, upto)
            self._admit(now)
            self.beat_at = now
            if self.identity not in self.d.voters().values():
                self._become(now, Role.OUT)
        if self.d.term_at(self.follower.last) == self.d.term:
            self.follower.known_at(self.quorum_at())

    def _agreed_to(self, now, upto):
        while self.follower.last < upto and self.follower.epoch == self.d.epoch:
            n = self.follower.last - self.d.base["last"]
            if not 0 <= n < len(self.d.entries):
                break
            self.follower.take(self.d.entries[n])
        if len(self.d.entries) > LONGEST and self.follower.last > self.d.base["last"] + LONGEST // 2:
            self._keep({"what": "base", "state": copied(self.follower.state), "keep": True})
