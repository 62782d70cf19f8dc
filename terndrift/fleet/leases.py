"""Limits of the whole fleet, lent out in parts: tries beyond the first, new connections to a streamer, calls
to sources. Free of I/O.

Of each limit SURE is split among all whom the records name, and is theirs whatever they know of others; the
rest the record's leader lends for a short time, by what each wants. At every moment, whatever the views of
members:

- a lease counts for its holder until LEASE after it asked, by its own clock, and is looked at where it is
  used: who stood still or was cut off has none when it goes on;
- the lender counts it until LEASE after it lent, and 2% more for clocks that drift, whether it arrived or
  not, and the largest of those that one holder may still have;
- a leader lends only while a majority answered questions that it sent less than ELECTION ago, and not before
  SETTLES after it began to lead: what one before it lent has lapsed by then.

So the parts in force come to the limit at most; after a change of leaders, and in the smaller half of a cut,
to less. They are rates: in any time T the fleet does limit * T, and a second more of that or one for each
holder, whichever is more.

Shares are even where all that is wanted is more than there is: one that wants absurdly much takes nothing
from others that want little."""

from collections import Counter, deque

from terndrift.fleet.messages import AskLease, Lease
from terndrift.fleet.record import ELECTION
from terndrift.fleet.window import WINDOW, Seconds
from terndrift.fleet.work import DRIFT

MS = 1_000_000
SECOND = 1000 * MS
# Short, as what a dead holder had is lost to the others for so long; asked for four times in it, so that two
# lost datagrams in a row cost nothing.
LEASE, ASK = 2 * SECOND, SECOND // 2
# Of the limit: a fifth leaves most to those that need it, and whoever is cut off is not without.
SURE = 0.2
SETTLES = int((ELECTION + LEASE) * (1 + DRIFT)) + ELECTION // 4
MOST_HOPS = 2
# What is wanted is what was used and what had to wait of late, and this much more: a surge grows into it
# within two or three askings.
MORE = 1.5


def shares(pool, wants):
    """name -> part of the pool: even ones of what is wanted, but nobody more than it wants (max-min); what
    is left then is split evenly, too. Guards the first second of a surge: what is wanted is known two
    seconds late."""
    out, left = {}, pool
    for n, (name, want) in enumerate(sorted(wants.items(), key=lambda x: (x[1], x[0]))):
        out[name] = max(0.0, min(want, left / (len(wants) - n)))
        left -= out[name]
    return {name: part + left / len(wants) for name, part in out.items()}


class Lender:
    """The leader's table: what was lent and may still be in force. `limits`: kind -> what the fleet may, a
    second."""

    def __init__(self, limits):
        self.pools = {kind: (1 - SURE) * most for kind, most in limits.items() if most}
        self.lent = {kind: {} for kind in self.pools}  # kind -> name -> deque of (part, until)
        self.wants = {kind: {} for kind in self.pools}  # kind -> name -> (want, when it was asked)

    def lend(self, now, name, wants):
        """kind -> part for that one, from now on."""
        out = {}
        for kind, want in wants.items():
            if kind not in self.pools or not 0 <= want < float("inf"):
                continue
            asked = self.wants[kind] = {n: x for n, x in self.wants[kind].items() if now - x[1] < LEASE}
            asked[name] = min(want, self.pools[kind]), now
            part = shares(self.pools[kind], {n: x[0] for n, x in asked.items()})[name]
            part = max(0.0, min(part, self.pools[kind] - self.out(now, kind, name)))
            rows = self.lent[kind].setdefault(name, deque())
            # a smaller one outlives the larger before it: that may be the one that arrived
            rows.append((part, now + int(LEASE * (1 + DRIFT))))
            out[kind] = part
        return out

    def out(self, now, kind, but=None):
        """What may be in force of a kind, that of one holder left out."""
        total, table = 0.0, self.lent[kind]
        for name, rows in list(table.items()):
            while rows and rows[0][1] <= now:
                rows.popleft()
            if not rows:
                del table[name]
            elif name != but:
                total += max(part for part, _ in rows)
        return total


class Leases:
    """What one controller may of each kind. `limits`: kind -> what the fleet may a second, 0: no limit;
    `count`: how many the records name; `lent`: whether there are voters, one of whom lends."""

    def __init__(self, me, limits, count, lent, now):
        self.me, self.limits, self.lent = me, {k: v for k, v in limits.items() if v}, lent
        self.sure = {kind: most * (SURE if lent else 1.0) / count for kind, most in self.limits.items()}
        self.has = {}  # kind -> (part, until)
        self.buckets = {kind: Bucket(now) for kind in self.limits}
        self.wanted = dict.fromkeys(self.limits, 0.0)
        self.out, self.ask_at, self.asked_at = [], now, 0
        self.lender, self.leads, self.leads_since = Lender(self.limits), False, 0  # leads: a mark of its term

    def next_at(self):
        return self.ask_at if self.lent and self.limits else None

    def part(self, now, kind):
        """What it may now, a second; None: there is no limit."""
        if kind not in self.limits:
            return None
        part, until = self.has.get(kind, (0.0, 0))
        return self.sure[kind] + (part if now < until else 0.0)

    def wants(self, kind, rate):
        """`rate`: a second, what was used and what had to wait."""
        if kind in self.limits:
            self.wanted[kind] = max(0.0, MORE * rate - self.sure[kind])

    def left(self, now, kind):
        """How many it may at this moment; None: there is no limit."""
        part = self.part(now, kind)
        return None if part is None else self.buckets[kind].left(now, part)

    def used(self, now, kind):
        if (part := self.part(now, kind)) is not None:
            self.buckets[kind].used(now, part)

    def tick(self, now, to, sure):
        """`to`: who may lend, or knows who does; None: nobody is known. `sure`: as for `asked`."""
        if now < self.ask_at or not (self.lent and self.limits):
            return
        self.ask_at = now + ASK
        ask = AskLease(self.me, now, {k: round(v, 3) for k, v in self.wanted.items()})
        if self.leads:
            self.asked(now, ask, sure, None)
        elif to is not None:
            self.out.append((to, ask))

    def led(self, now, mark):
        """Told after each event whether this one leads: False, or a mark of its term, which begins anew."""
        if mark and mark != self.leads:
            self.leads_since, self.lender = now, Lender(self.limits)
        self.leads = mark

    def asked(self, now, m, sure, leader):
        """`sure`: whether a majority answered this leader of late; `leader`: who leads, where another
        does."""
        if self.leads:
            if sure and now - self.leads_since >= SETTLES:
                answer = Lease(m.at, self.lender.lend(now, m.who, m.wants))
                if m.who == self.me:
                    self.answered(now, answer)
                else:
                    self.out.append((m.who, answer))
        elif leader not in (None, self.me) and m.hops < MOST_HOPS:
            self.out.append((leader, AskLease(m.who, m.at, m.wants, m.hops + 1)))

    def answered(self, now, m):
        """Of what is newer than what it has; it counts from when it was asked for."""
        if not now - LEASE < m.at <= now or m.at < self.asked_at:
            return
        self.asked_at = m.at
        for kind, part in m.parts.items():
            if kind in self.limits and 0 <= part <= self.limits[kind]:
                self.has[kind] = part, m.at + LEASE

    def report(self, now):
        return {
            kind: {
                "limit": most,
                "part": round(self.part(now, kind), 3),
                "wants": round(self.wanted[kind], 3),
            }
            for kind, most in self.limits.items()
        }


class Bucket:
    """A rate as a count: what was not used stays for a second at most, and one whole one in any case. It
    begins with that one, or whoever has just started could do nothing."""

    def __init__(self, now):
        self.level, self.at = 1.0, now

    def _fill(self, now, rate):
        self.level = min(max(1.0, rate), self.level + rate * max(0, now - self.at) / SECOND)
        self.at = now

    def left(self, now, rate):
        self._fill(now, rate)
        return int(self.level + 1e-9)

    def used(self, now, rate):
        self._fill(now, rate)
        self.level -= 1  # under nought: somebody waits for his turn, or was let go by an earlier word

    def wait(self, now, rate):
        """ns until one may."""
        self._fill(now, rate)
        return 0 if self.level >= 1 - 1e-9 else int((1 - self.level) / max(rate, 1e-9) * SECOND)


class Pace:
    """A kind that is limited at each of several places, by one part: connections to each streamer. How long
    the next one there has to wait; None: longer than `longest` ns, and it is not to be made."""

    def __init__(self, leases, kind, longest):
        self.leases, self.kind, self.longest = leases, kind, longest
        self.buckets, self.asked = {}, Seconds(Counter)

    def enter(self, now, key):
        part = self.leases.part(now, self.kind)
        if part is None:
            return 0
        self.asked.at(now)[key] += 1
        bucket = self.buckets.setdefault(key, Bucket(now))
        wait = bucket.wait(now, part)
        if wait > self.longest:
            return None
        bucket.used(now, part)
        return wait

    def look(self, now):
        """Now and then: what is wanted is what was asked for at the busiest place."""
        busy = sum(self.asked.of_late(now), Counter())
        self.leases.wants(self.kind, max(busy.values(), default=0) / WINDOW)
        part = self.leases.part(now, self.kind) or 0.0
        self.buckets = {key: b for key, b in self.buckets.items() if b.wait(now, part) or busy[key]}
