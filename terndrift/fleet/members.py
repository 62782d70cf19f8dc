"""Who is there: SWIM with suspicion (Das, Gupta, Motivala 2002), and Lifeguard's local health (Dadgar,
Phillips, Currey 2017). Free of I/O: messages and the time in ns come in; `out` has (to, message) to send.

Each period one member is pinged, all in turn in an order of chance; who does not answer is asked for through
others, then suspected, and dead only if it does not refute that in time. What a member costs is the same
however many there are: a ping and its answers a period, and a whole exchange now and then, also with the
dead, so that halves which lost each other find together again.
"""

import math
import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from terndrift.fleet.messages import Ack, AskFor, Nack, News, Ping, Whole

MS = 1_000_000
SECOND = 1000 * MS
PERIOD = SECOND  # between pings; SWIM's protocol period
ANSWER = PERIOD // 4  # a direct answer is awaited so long, then others are asked; many times a round trip
HELPERS = 3  # others that are asked to ping; SWIM's k
# Bytes of news in one message, each its name and NEWS more: with what else stands there it fits a datagram.
ROOM, NEWS = 1000, 18
MOST_TOLD = 20  # members told at once, of one whole exchange, that they are doubted here
# News is told SPREAD * log10(members + 2) times, rounded up (SWIM's lambda log n). With 4 one in 20,000
# misses it: of the 90,000 pairs of 300 that a cut has made doubt each other four, which met minutes later.
SPREAD = 6
# A suspicion stands at least ALPHA * log10(members) periods, and BETA times that while only one member says
# so (Lifeguard's defaults: 5 and 6).
ALPHA, BETA, CONFIRMATIONS = 5, 6, 3
# Before it is held for dead a suspect is told so this often, half a period apart: with three in ten datagrams
# lost each way, 93% hear of it and are heard.
LAST_WORDS = 4
SICKEST = 8  # local health stretches time-outs up to this many times over (Lifeguard's S)
# Between whole exchanges of one member, for each that it knows: so what they cost it is the same in any
# fleet (some 75 bytes a second), and over all members there are two or three a second, which is how soon
# two halves meet again.
WHOLE = SECOND * 2 // 5
LEAST_WHOLE = 20 * SECOND
YOUNG = 6  # exchanges at the start that are a second apart
# A wake this late says that this process stood still, not the others.
STOOD = PERIOD


class Standing(IntEnum):
    """In the order in which one overrides another of the same run and incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


ROUTES = {  # of one run; a new run begins anew
    Standing.ALIVE: (Standing.SUSPECT, Standing.DEAD, Standing.LEFT),
    Standing.SUSPECT: (Standing.ALIVE, Standing.DEAD, Standing.LEFT),
    Standing.DEAD: (Standing.ALIVE, Standing.SUSPECT, Standing.LEFT),  # of a later incarnation
    Standing.LEFT: (),
}


def in_own_order(names, mark):
    """Names in an order that the mark gives, another one for each asker: many that start together then ask
    all alike."""
    return sorted(names, key=lambda n: zlib.crc32(f"{mark}{n}".encode()) * 2654435761 % 2**32)


@dataclass
class Member:
    name: str
    run: int = 0  # 0: never heard of
    incarnation: int = 0
    standing: Standing = Standing.DEAD
    since: int = 0
    accusers: set = field(default_factory=set)  # who said that it is suspect
    told: int = 0  # times that the present news of it was passed on
    warned: int = 0  # times that it was told, shortly before its time, that it is suspected
    word_at: int = 0  # when it is told the next time

    def news(self):
        return News(self.name, self.run, self.incarnation, int(self.standing))


@dataclass
class Probe:
    target: str
    seq: int
    began: int
    ask_at: int  # others are asked then
    fails_at: int
    asked: bool = False
    again_at: int = 0  # the straight way is tried a last time
    helpers: int = 0
    nacks: int = 0


class Members:
    """`names`: everybody whom the records name, `me` included; `run`: this start, ms since 1970."""

    def __init__(self, me, names, run, now, seed=0):
        self.me, self.run, self.incarnation, self.now = me, run, 0, now
        self.seed, self.draws = zlib.crc32(f"{seed}:{me}".encode()), 0
        self.members = {name: Member(name, since=now) for name in names if name != me}
        self.out, self.changes = [], []  # to be sent; (time, name, standing before, after) for the log
        self.seq, self.probe, self.forwards = 0, None, {}  # forwards: own seq -> (who asked, its seq, until)
        self.order, self.health, self.own_told, self.leaving = [], 0, 0, False
        self.young = YOUNG
        self.false_deaths = 0  # of this member, refuted: others held it for dead though it lives
        # by chance, so that many who start at once do not speak in step
        self.next_ping = now + int(PERIOD * self._chance())
        self.next_whole = now + int(SECOND * self._chance())
        self.due = min(self.next_ping, self.next_whole)

    # What there is to know.

    def alive(self):
        """Names of those that are there, suspects included: until it is dead a member is not given up."""
        return [n for n, m in self.members.items() if m.run and m.standing <= Standing.SUSPECT]

    def view(self, now):
        rows = {
            self.me: {
                "standing": "left" if self.leaving else "alive",
                "run": self.run,
                "incarnation": self.incarnation,
                "for_s": None,
            }
        }
        for name, m in self.members.items():
            word = m.standing.name.lower() if m.run else "unheard"
            rows[name] = {
                "standing": word,
                "run": m.run,
                "incarnation": m.incarnation,
                "for_s": round((now - m.since) / SECOND, 1),
            }
        return rows

    def next_at(self):
        return self.due

    def asked(self, message):
        """When this member said what that message answers; None: it answers nothing that is awaited."""
        p = self.probe
        return p.began if isinstance(message, Ack) and p and p.seq == message.seq else None

    # What happens.

    def received(self, now, sender, message):
        self._time(now)
        match message:
            case Ping(seq, news):
                self._hear(now, sender, news)
                self.out.append((sender, Ack(seq, self._news(sender))))
            case Ack(seq, news):
                self._hear(now, sender, news)
                self._answered(now, sender, seq)
            case AskFor(seq, target, news):
                self._hear(now, sender, news)
                if target in self.members:
                    self.seq += 1
                    self.forwards[self.seq] = sender, seq, now + ANSWER * 3 // 4, target
                    self.out.append((target, Ping(self.seq, self._news(target))))
            case Nack(seq):
                if self.probe and seq == self.probe.seq:
                    self.probe.nacks += 1
            case Whole(news, answer):
                self._hear(now, sender, news)
                self._disputed(news)
                if not answer:
                    self.out.append((sender, self.whole(True)))
        self._plan()

    def whole(self, answer=False):
        return Whole([self._own()] + [m.news() for m in self.members.values() if m.run], answer)

    def _own(self):
        standing = Standing.LEFT if self.leaving else Standing.ALIVE
        return News(self.me, self.run, self.incarnation, int(standing))

    def leave(self, now):
        """Said, not found out: to a few, who pass it on."""
        self.leaving, self.own_told = True, 0
        for name in self._some(max(HELPERS, int(2 * math.log2(len(self.members) + 1))), self.alive()):
            self.seq += 1
            self.out.append((name, Ping(self.seq, self._news(name))))

    def tick(self, now):
        self._time(now)
        for seq, (sender, its, until, _) in list(self.forwards.items()):
            if now >= until:
                del self.forwards[seq]
                self.out.append((sender, Nack(its)))
        if self.probe:
            self._probing(now)
        if now >= self.next_ping and not self.leaving:
            self._ping(now)
        for m in self.members.values():
            if m.standing is Standing.SUSPECT:
                self._doubt(now, m)
        if now >= self.next_whole:
            alone = not self.alive()
            self.young -= not alone and self.young > 0
            wait = SECOND if alone or self.young else max(LEAST_WHOLE, WHOLE * len(self.members))
            self.next_whole = now + int(wait * (0.75 + 0.5 * self._chance()))
            # with the dead and the unheard too: they may be on the other side of a cut that has healed, and
            # who left may be back
            others = self._some(HELPERS if alone else 1, self.members)
            self.out += [(name, self.whole()) for name in others]
        self._plan()

    # Its own clock and chance.

    def _time(self, now):
        """A clock that jumped says that this process stood still: nothing is held against the others that
        they could not have said to it, and it answers for itself first."""
        late = now - max(self.now, self.due)
        if late > STOOD:
            self.health = SICKEST
            self.probe = None
            self.forwards.clear()
            for m in self.members.values():
                if m.standing is Standing.SUSPECT:
                    m.since += late
            self.next_ping = now + int(PERIOD * self._chance())
            self.next_whole = now
        self.now = now

    def _chance(self):
        self.draws += 1
        return zlib.crc32(b"%d" % self.draws, self.seed) * 2654435761 % 2**32 / 2**32

    def _some(self, count, among):
        pool, out = sorted(among), []
        while pool and len(out) < count:
            out.append(pool.pop(int(self._chance() * len(pool))))
        return out

    def _plan(self):
        times = [self.next_ping, self.next_whole] + [f[2] for f in self.forwards.values()]
        if self.probe:
            p = self.probe
            times.append(p.ask_at if not p.asked else p.again_at or p.fails_at)
        times += [self._word_at(m) for m in self.members.values() if m.standing is Standing.SUSPECT]
        self.due = min(times)

    # Probing.

    def _ping(self, now):
        self.next_ping = now + PERIOD * (1 + self.health)
        while True:
            if not self.order:
                self.order = self._some(len(self.members), self.alive())
                if not self.order:
                    return
            target = self.order.pop()
            if self.members[target].standing <= Standing.SUSPECT:
                break
        self.seq += 1
        self.probe = Probe(target, self.seq, now, now + ANSWER * (1 + self.health), self.next_ping)
        self.out.append((target, Ping(self.seq, self._news(target))))

    def _probing(self, now):
        p = self.probe
        if now >= p.ask_at and not p.asked:
            p.asked, p.again_at = True, (now + p.fails_at) // 2
            helpers = self._some(HELPERS, [n for n in self.alive() if n != p.target])
            p.helpers = len(helpers)
            for name in helpers:
                self.out.append((name, AskFor(p.seq, p.target, self._news(name))))
            # once more by the straight way: where one datagram in three is lost, that is most of it
            self.out.append((p.target, Ping(p.seq, self._news(p.target))))
        elif p.again_at and now >= p.again_at:
            p.again_at = 0
            self.out.append((p.target, Ping(p.seq, self._news(p.target))))
        if now >= p.fails_at:
            self.probe = None
            # helpers that say nothing at all point at this member's own link or loop
            self.health = min(SICKEST, self.health + max(0, p.helpers - p.nacks) + (0 if p.helpers else 1))
            m = self.members[p.target]
            if m.standing is Standing.ALIVE:
                m.accusers = {self.me}
                self._turn(now, m, Standing.SUSPECT)
            elif m.standing is Standing.SUSPECT:
                m.accusers.add(self.me)

    def _doubt(self, now, m):
        """Before it is given up it is told so: guards against a cut that has healed meanwhile, while all ping
        seldom as the cut has made them doubt themselves. A few datagrams a member and death."""
        if now < self._word_at(m):
            return
        if m.warned >= LAST_WORDS:
            self._turn(now, m, Standing.DEAD)
            return
        m.warned, m.word_at = m.warned + 1, now + PERIOD // 2
        self.seq += 1
        self.out.append((m.name, Ping(self.seq, self._news(m.name))))

    def _word_at(self, m):
        """When a suspect is told next, or given up if it was told often enough: however short its time became
        meanwhile, as others came to suspect it too, it is told first."""
        return m.word_at if m.warned else m.since + self._patience(m) - LAST_WORDS * PERIOD // 2

    def _answered(self, now, sender, seq):
        if seq in self.forwards:
            asker, its, _, target = self.forwards.pop(seq)
            if target == sender:
                self.out.append((asker, Ack(its, [self.members[target].news()])))
            return
        p = self.probe
        if p and p.seq == seq:
            self.probe = None
            self.health //= 2  # one by one it would ping seldom for most of a minute after a cut

    def _patience(self, m):
        """ns for which a suspicion stands: long while one member says so, short once several do."""
        n = max(10, len(self.members) + 1)
        least = ALPHA * math.log10(n) * PERIOD
        told = min(1.0, math.log(len(m.accusers) or 1) / math.log(CONFIRMATIONS + 1))
        return int(max(least, BETA * least - (BETA - 1) * least * told)) * (1 + self.health // 2)

    # News.

    def _news(self, to):
        """What is told with a message: of the receiver itself if it is doubted, then what was told least."""
        often = math.ceil(SPREAD * math.log10(len(self.members) + 2))
        out, m = [], self.members.get(to)
        if m and m.run and m.standing is not Standing.ALIVE:
            out.append(m.news())
        if self.own_told < often:
            self.own_told += 1
            out.append(self._own())
        fresh = [x for x in self.members.values() if x.run and x.told < often and x is not m]
        room = ROOM - sum(len(n.name) + NEWS for n in out)
        for x in sorted(fresh, key=lambda x: (x.told, x.name)):
            if (room := room - len(x.name) - NEWS) < 0:
                break
            x.told += 1
            out.append(x.news())
        return out

    def _hear(self, now, sender, news):
        m = self.members.get(sender)
        for one in news:
            if one.name == self.me:
                self._of_me(one)
                if one.state != Standing.ALIVE and not self.leaving:
                    # said back at once: whoever missed the refutation might hear of it only much later
                    self.seq += 1
                    self.out.append((sender, Ping(self.seq, [self._own()])))
            elif one.name in self.members and 0 <= one.state <= 3 and one.run > 0 and one.incarnation >= 0:
                self._of(now, sender, one)
        if m and not m.run:
            # it speaks, and nothing was heard of it: it will say so itself, and is asked
            self.out.append((sender, self.whole()))

    def _disputed(self, news):
        """Whom the other side of an exchange sees alive, and this one does not, is told so straight: after
        a cut each has to refute by itself what the other half says of it."""
        doubts = Standing.SUSPECT, Standing.DEAD
        doubted = {m.name: m for m in self.members.values() if m.standing in doubts}
        there = [
            n.name
            for n in news
            if n.state == Standing.ALIVE
            and (m := doubted.get(n.name))
            and (n.run, n.incarnation) == (m.run, m.incarnation)
        ]
        for name in self._some(MOST_TOLD, there):
            self.seq += 1
            self.out.append((name, Ping(self.seq, self._news(name))))

    def _of_me(self, one):
        if one.run > self.run:  # an earlier start of this name with a clock ahead of ours
            self.run, self.incarnation, self.own_told = one.run + 1, 0, 0
        elif (
            one.run == self.run
            and one.state != Standing.ALIVE
            and not self.leaving
            and one.incarnation >= self.incarnation
        ):
            self.incarnation, self.own_told = one.incarnation + 1, 0
            self.health = min(SICKEST, self.health + 1)
            self.false_deaths += one.state == Standing.DEAD

    def _of(self, now, sender, one):
        m, standing = self.members[one.name], Standing(one.state)
        if one.run < m.run or m.standing is Standing.LEFT and one.run == m.run:
            return
        if one.run > m.run:
            before, m.run, m.incarnation = m.standing, one.run, one.incarnation
            m.accusers = {sender} if standing is Standing.SUSPECT else set()
            self._enter(now, m, before, standing)
        elif (one.incarnation, standing) > (m.incarnation, m.standing):
            m.incarnation = one.incarnation
            if standing is Standing.SUSPECT and m.standing is not Standing.SUSPECT:
                m.accusers = {sender}
            if standing is not m.standing:
                self._turn(now, m, standing)
            m.told = 0
        elif (
            standing is Standing.SUSPECT is m.standing
            and one.incarnation == m.incarnation
            and sender not in m.accusers
            and len(m.accusers) <= CONFIRMATIONS
        ):
            m.accusers.add(sender)
            m.told = 0

    def _turn(self, now, m, standing):
        """Every change of a member's standing within a run."""
        assert standing in ROUTES[m.standing], f"{m.name}: {m.standing.name} to {standing.name}"
        self._enter(now, m, m.standing, standing)

    def _enter(self, now, m, before, standing):
        m.standing, m.since, m.told, m.warned = standing, now, 0, 0
        self.changes.append((now, m.name, before, standing))
