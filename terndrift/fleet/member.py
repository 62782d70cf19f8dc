"""One controller of a fleet, free of I/O: its members, its part of the record, and what rides on every
message.

What comes in is opened already (`messages.opened`). `out` has (to, bytes), in order; `writes` the records to
be made durable: what a voter says after them is held until the host tells by `kept` that they are.
"""

from terndrift.fleet import messages, ranks, work
from terndrift.fleet.agreed import Follower
from terndrift.fleet.copies import Copies
from terndrift.fleet.leases import ASK, Leases
from terndrift.fleet.load import Loads
from terndrift.fleet.members import Membership, Standing
from terndrift.fleet.messages import (
    Agreed,
    AskHead,
    AskKnown,
    AskLease,
    Head,
    Holds,
    Knows,
    Lease,
    Load,
    Propose,
    Pull,
)
from terndrift.fleet.record import ELECTION, Role, Voter
from terndrift.fleet.room import CONTROLLER, Machine
from terndrift.fleet.warm import Known

MS = 1_000_000
SECOND = 1000 * MS
AGAIN = SECOND  # a proposal not seen agreed is sent again, through another member, this often
MOST_HOPS = 3
WORK = SECOND // 2  # between looks at planned work, and words on what is held
MOST_COUNTED = 600  # bytes of a word for machines that wait: with the rest it fits a datagram
MOST_PROPOSALS = 256  # of one controller not yet seen agreed
# What is known is asked for anew where it is older than this: of a voter, by a voter (at half of it) of the
# leader. Two lost answers still keep it under CUT; oftener would cost voters a question a member a second.
FRESH = 2 * SECOND
YOUNG = 10 * SECOND  # with a start among a fleet that has no record yet, nobody is asked so often for good


class Controller:
    """`known`: names of all whom the records name, this one included; `durable`: a voter's, None for
    others."""

    def __init__(self, fleet, me, known, voters, durable, run, now, mint, seed=0):
        self.fleet, self.me, self.known, self.voters = fleet, me, set(known), list(voters)
        self.members = Membership(me, known, run, now, seed)
        self.follower = Follower(now)
        self.voter = None
        if durable is not None:
            self.voter = Voter(me, voters, durable, self.follower, now, mint, seed)
        self.out, self.writes, self.wrote, self.held = [], [], 0, []  # held: (wrote, to, bytes)
        self.proposals = {}  # id -> [value, when to send it again, how often it was]
        self.started, self.pull_at = now, now
        # Work on machines. The host says what its list has, and how much it has on machines told off.
        self.work, self.work_at, self.holds = work.Work(), now, {}  # holds: member -> (Holds, when)
        self.machines, self.holding = dict, lambda names: dict.fromkeys(names, 0)
        self.wall, self.turned, self.ill = lambda: 0, lambda now: (0, 0), lambda names: []
        self.epoch, self.map, self.left = self.follower.epoch, self.follower.state["map"], {}
        self.told_off = None, set()  # what it goes by; names
        self.warm, self.copies = Known(me, run, now), Copies(me, now, list, 0)
        self.loads, self.shed = Loads(me, known, now), None  # shed: a shed.Level, where the host sheds
        self.leases = Leases(me, {}, len(self.known), bool(voters), now)  # none, unless the host has limits
        self.ranks, self.rank_at, self.ranked = ranks.Ranks(), now, False  # ranked: the host goes by turns
        self.led_by = 0  # revision of the work after which the leader looked last
        self._after(now)

    def next_at(self):
        times = [self.members.next_at()] + [p[1] for p in self.proposals.values()]
        times += [self.pull_at] if self.voters else []
        times += [self.work_at] if self._has_work() else []
        times += [self.rank_at] if self.ranked else []
        times += [self.warm.next_at()] if self.warm.seen or self.ranked else []
        times += [
            at
            for at in (self.copies.next_at(), self.loads.next_at(), self.leases.next_at())
            if at is not None
        ]
        return min(times + [self.voter.next_at()] if self.voter else times)

    def received(self, now, sealed):
        sender, m = sealed.sender, sealed.message
        self.follower.told(
            now, sender, sealed.epoch, sealed.agreed, sealed.age, self.members.request_sent_at(m)
        )
        if isinstance(m, messages.Raft):
            if self.voter:
                self.voter.received(now, sender, m)
        elif isinstance(m, Pull):
            self.follower.asked(now, sender, m)
        elif isinstance(m, Agreed):
            self.follower.answered(now, sender, m)
        elif isinstance(m, Propose):
            self._proposed(now, m)
        elif isinstance(m, Holds):
            if sealed.epoch == self.follower.epoch[0]:  # revisions of another beginning say nothing here
                self.holds[sender] = m, now
        elif isinstance(m, AskKnown):
            self.warm.asked(now, sender)
        elif isinstance(m, Load):
            self.loads.heard(now, sender, m)
        elif isinstance(m, AskLease):
            if m.who in self.known:
                self.leases.asked(now, m, self._sure(now), self.leader())
        elif isinstance(m, Lease):
            if sender in self.voters:
                self.leases.answered(now, m)
        elif isinstance(m, AskHead):
            self.copies.asked(sender)
        elif isinstance(m, Head):
            if sealed.epoch >= self.follower.epoch[0]:  # an earlier beginning of the record says nothing
                self.copies.heard(sender, m)
        elif isinstance(m, Knows):
            self.warm.heard(now, sender, m, {n: one.run for n, one in self.members.members.items()})
        else:
            self.members.received(now, sender, m)
        self._after(now)

    def tick(self, now):
        if self.members.next_at() <= now:
            self.members.tick(now)
        if self.voter and self.voter.next_at() <= now:
            self.voter.tick(now)
        if now >= self.work_at and self._has_work():
            self._work(now)
        if self.ranked and now >= self.rank_at:
            self._rank(now)
        if (at := self.loads.next_at()) is not None and now >= at:
            self._loads(now)
        if (at := self.leases.next_at()) is not None and now >= at:
            self.leases.tick(now, self._a_voter(now, self.leader(), now // ASK), self._sure(now))
        # just started it has met nobody: of all that the records name some answer
        there = self.members.alive() or sorted(self.known - {self.me})
        self.copies.tick(now, there)
        if (self.ranked or self.warm.seen) and self.warm.next_at() <= now:
            self.warm.tick(now, there)
        if now >= self.pull_at and self.voters:
            self._refresh(now)
        for id, p in list(self.proposals.items()):
            if id in self.follower.state["ids"]:
                del self.proposals[id]
            elif now >= p[1]:
                p[1], p[2] = now + AGAIN, p[2] + 1
                self._proposed(now, Propose(id, p[0]), p[2])
        self._after(now)

    def kept(self, now, wrote):
        while self.held and self.held[0][0] <= wrote:
            self.out.append(self.held.pop(0)[1:])
        if self.voter:
            self.voter.kept(now, wrote)
            self._after(now)

    def propose(self, now, id, value):
        """Until it is seen agreed here it is sent again; False: too many wait already."""
        if id not in self.proposals and len(self.proposals) >= MOST_PROPOSALS:
            return False
        self.proposals[id] = [value, now + AGAIN, 0]
        self._proposed(now, Propose(id, value))
        self._after(now)
        return True

    def leave(self, now):
        """A planned stop, said to the others; a leader gives its place up first."""
        if self.voter:
            self.voter.stop(now)
        self.members.leave(now)
        self._after(now)

    def restart(self, now, state):
        self.voter.restart(now, state)
        self._after(now)

    def off(self, now):
        """(machines told off by agreed work, whether this controller may place on the others)."""
        as_of = self.follower.epoch, self.follower.last, len(self.left)
        if self.told_off[0] != as_of:  # asked for with each set-up, and changed by an entry alone
            self.told_off = as_of, work.told_off(self.follower.state) | set(self.left)
        return self.told_off[1], work.may_place(self.follower.age(now))

    def _work(self, now):
        """Tells the voters what it holds on machines told off; as the leader, takes the next step."""
        self.work_at = now + WORK
        state, me = self.follower.state, CONTROLLER + self.me
        off, table = self.off(now)[0], work.rows(state)
        if off or any(work.State(row["state"]) not in work.ENDED for row in table.values()):
            said = self._holds(now, state, off, table)
            self.holds[self.me] = said, now
            self._say(now, [(v, said) for v in self.voters if v != self.me])
        if self.voter and self.voter.role is Role.LEADER:
            self.led_by = work.rev(state)
            if me in off:
                return self.voter.stop(now)  # it goes for work itself: another one leads on
            for id, value in self.work.steps(now, state, self.seen()):
                self.voter.propose(now, id, value)
        return None

    def _holds(self, now, state, off, table):
        waits = [name for name, row in table.items() if row["state"] == work.State.WAITING.value]
        counts, room = self.holding(sorted(off)), MOST_COUNTED
        for name, count in sorted(self.holding(waits).items(), key=lambda x: (-x[1], x[0])):
            if not count or (room := room - len(name) - 4) < 0:
                break
            counts[name] = count
        warming = [name for name, row in table.items() if row["state"] == work.State.WARMING.value]
        return Holds(work.rev(state), counts, self.wall(), *self.turned(now), self.ill(warming), self.left)

    def _rank(self, now):
        """As the leader, who has a turn at the cold pace and who has none any more."""
        self.rank_at = now + SECOND
        self.ranks.look(now, self.follower.state)
        if self.voter and self.voter.role is Role.LEADER:
            there = {self.me, *self.members.alive()}
            if one := self.ranks.next(now, self.follower.state, self.known, there):
                self.voter.propose(now, *one)

    def _loads(self, now):
        """Tells what was seen of late; the one that decides steps the level of shedding."""
        there = self.members.alive()
        if self.shed and self.loads.decides(now, there):
            if self.loads.level[1] != self.me:  # it goes on from where another one was
                self.shed.value = self.loads.in_force(now)
                self.shed.caps.parts = self.loads.caps_in_force(now)
            level = self.shed.step(now, self.loads.total(now)[0], self.loads.rides(now).keys)
            self.loads.decided(now, level, self.shed.caps.parts)
        self.loads.tick(now, there)

    def _sure(self, now):
        """Whether it leads, and a majority has answered what it asked lately enough."""
        v = self.voter
        return v is not None and v.role is Role.LEADER and now - v.quorum_at() < ELECTION

    def turn(self, now):
        """See Ranks.turn."""
        return self.ranks.turn(now, self.follower.state, self.me, self.follower.age(now))

    def seen(self):
        """What planned work goes by, beside the record."""
        return work.Seen(self.all_machines(), frozenset(self.known), self.holds, self.wall())

    def all_machines(self):
        """Streamers as the host's list has them, and controllers as members are seen."""
        out, state, there = dict(self.machines()), self.follower.state, set(self.members.alive())
        for name in self.known:
            voter = name in self.voters
            here = name == self.me and not self.members.leaving or name in there
            run = self.members.run if name == self.me else self.members.members[name].run
            ready = here and (not voter or name in state["voters"])
            machine = Machine(CONTROLLER + name, -1, "", 0.0, ready, run, voter=voter)
            out[machine.name] = machine
        return out

    def _epoch(self):
        """Machines that were out when the record began anew are out all the same, until an operator says."""
        state = self.follower.state
        if self.follower.epoch != self.epoch:
            if self.epoch[0]:
                self.left |= work.under_way({"map": self.map})
            self.epoch, self.holds, self.work = self.follower.epoch, {}, work.Work()
        self.map = state["map"]
        if self.left:
            self.left = {n: row for n, row in self.left.items() if f"work/m/{n}" not in self.map}

    def _has_work(self):
        return bool(self.left) or work.REV in self.follower.state["map"]

    def _refresh(self, now):
        """Asks, when what it knows gets old: a voter its leader, all others a voter, in turn."""
        age, fresh = self.follower.age(now), FRESH // 2 if self.voter else FRESH
        leads = self.voter and self.voter.role is Role.LEADER
        if leads or age is not None and age < fresh:
            self.pull_at = now + (SECOND if leads else fresh - age)
            return
        # with nothing known yet it can't place where there is work: just started it asks sooner
        young = age is None and now - self.started < YOUNG
        self.pull_at = now + (SECOND // 4 if young else SECOND)
        if to := self._a_voter(now, self.leader(), self.pull_at // (SECOND // 4)):
            self.follower.ask(now, to)

    def _a_voter(self, now, leader, again=0):
        """The leader if it is known, else a voter that is there, in turn; None: there is none."""
        if leader not in (None, self.me):
            return leader
        others = [v for v in self.voters if v != self.me]
        there = [v for v in others if v in self.members.alive()] or others
        # one that is suspected may be cut off, and what is sent to it lost
        sure = [v for v in there if self.members.members[v].standing is Standing.ALIVE]
        there = sure or there
        return there[(now // MS + again) % len(there)] if there else None

    def leader(self):
        """By what this controller knows; None: nobody, or it can't tell."""
        return self.voter.leader if self.voter else None

    def cut_off(self, now):
        """ns for which it has not known what is agreed; 0 while it does."""
        age = self.follower.age(now)
        if self.follower.epoch[0] == 0:
            return 0
        age = now - self.started if age is None else age
        return age if age > CUT else 0

    def _proposed(self, now, m, again=0):
        if self.voter and self.voter.propose(now, m.id, m.value):
            return
        if m.hops >= MOST_HOPS:
            return
        if to := self._a_voter(now, self.leader() if again <= 1 else None, again):
            self._say(now, [(to, Propose(m.id, m.value, m.hops + 1))])

    def _after(self, now):
        """Gathers what there is to send and to keep; what a voter says waits for what it wrote before."""
        v, f = self.voter, self.follower
        self._epoch()
        if v:
            v.newer_epoch(now)
            self.leases.led(now, v.role is Role.LEADER and (f.epoch, v.d.term))
            if v.role is Role.LEADER and work.rev(f.state) != self.led_by:
                self.work_at = now  # a step was agreed: the next one need not wait for the next look
            self.writes += v.writes
            v.writes, self.wrote = [], v.wrote
            said, v.out = v.out, []
            self._say(now, said, v.wrote if self.writes or self.held else 0)
        for part in (f, self.members, self.warm, self.copies, self.loads, self.leases):
            said, part.out = part.out, []
            self._say(now, said)

    def _say(self, now, said, after=0):
        f = self.follower
        age = f.age(now)
        for to, m in said:
            data = messages.sealed(
                self.fleet, self.me, to, m, f.epoch[0], f.last, -1 if age is None else age // MS
            )
            if after:
                self.held.append((after, to, data))
            else:
                self.out.append((to, data))

    # What operators see.

    def report(self, now):
        f, v = self.follower, self.voter
        age = f.age(now)
        out = {
            "name": self.me,
            "epoch": list(f.epoch),
            "agreed": f.last,
            "age_s": None if age is None else round(age / SECOND, 3),
            "cut_off_s": round(self.cut_off(now) / SECOND, 1),
            "voters": f.state["voters"],
            "proposals": len(self.proposals),
            "role": "follower",
        }
        if v:
            out |= {
                "role": v.role.value,
                "identity": v.identity,
                "term": v.d.term,
                "leader": v.leader,
                "log": v.d.last,
                "doubts": v.role in (Role.DOUBTING, Role.OUT),
            }
            if v.role is Role.LEADER:
                out["followers"] = {n: v.match.get(i, 0) for n, i in v.d.voters().items() if n != self.me}
        return out


# Older than this, and a controller says that it is cut off: beats and their echo through members take a few
# pings in a large fleet.
CUT = 5 * SECOND
