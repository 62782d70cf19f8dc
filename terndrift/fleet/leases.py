"""Fleet-wide rate limits, granted as leases: extra attempts, new connections to a streamer, calls to sources.

Each controller owns one `Leases`. The fleet's member (member.py) passes it the lease messages, calls `tick`
and sends what it puts into `outbox`; overload_control.py tells it the demand and asks it before each limited
action. This module does no I/O.

GUARANTEED_SHARE of each limit is split evenly among all controllers that the configuration names, and is
theirs whatever they know of the others. The rest is granted for a short time by the leader of the record, by
demand. The granted parts stay within the limit whatever the members' views are:

- A lease is valid for its holder until LEASE_NS after the request, by the holder's own clock, and is checked
  on each use: a process that was paused or cut off has no lease when it resumes.
- The leader counts a lease until LEASE_NS after the grant, plus 2% for clock drift, whether or not it
  arrived; of several that one holder may still have it counts the largest.
- A leader grants only while a quorum has answered questions sent less than ELECTION_TIMEOUT ago, and not
  before LEADER_WAIT_NS after it became leader: by then all leases of the leader before it have expired.

So the parts in force add up to at most the limit, and to less after a change of leader or in the minority
side of a partition. The parts are rates: in any time T the fleet performs at most limit * T actions, plus one
second's worth of the limit or one action per holder, whichever is more.

Where demand exceeds the limit the parts are even, so that one controller with an absurdly high demand takes
nothing from others with a low one.
"""

from collections import Counter, deque

from terndrift.fleet.messages import LeaseRequest, LeaseResponse
from terndrift.fleet.planned_work import MAX_CLOCK_DRIFT
from terndrift.fleet.raft import ELECTION_TIMEOUT
from terndrift.fleet.recent_counts import WINDOW_SECONDS, CountsBySecond

NS_PER_MS = 1_000_000
SECOND = 1000 * NS_PER_MS
# The lease is short, as the part of a dead holder is lost to the others until it expires. It is requested
# four times in that time, so that two lost datagrams in a row have no effect.
LEASE_NS, REQUEST_INTERVAL_NS = 2 * SECOND, SECOND // 2
# Of the limit: a fifth leaves most of it to controllers with demand, and a controller that is cut off can
# still act.
GUARANTEED_SHARE = 0.2
LEADER_WAIT_NS = int((ELECTION_TIMEOUT + LEASE_NS) * (1 + MAX_CLOCK_DRIFT)) + ELECTION_TIMEOUT // 4
MAX_HOPS = 2
# Demand is the recent use and what had to wait, times this: in a surge the parts then grow to the need
# within two or three requests.
DEMAND_FACTOR = 1.5


def max_min_shares(pool, demands):
    """Splits the pool by demand, max-min fair; returns name -> part of the pool.

    Parts are even but none exceeds its demand; what remains is split evenly as well. That remainder covers
    the first second of a surge, as demand is known two seconds late.
    """
    shares, remaining = {}, pool
    for n, (name, demand) in enumerate(sorted(demands.items(), key=lambda x: (x[1], x[0]))):
        shares[name] = max(0.0, min(demand, remaining / (len(demands) - n)))
        remaining -= shares[name]
    return {name: rate + remaining / len(demands) for name, rate in shares.items()}


class LeaseTable:
    """The leader's table of granted leases that may still be in force.

    `limits`: kind -> the fleet's limit per second.
    """

    def __init__(self, limits):
        self.pools = {kind: (1 - GUARANTEED_SHARE) * limit for kind, limit in limits.items() if limit}
        self.granted = {kind: {} for kind in self.pools}  # kind -> name -> deque of (rate, until)
        self.demands = {kind: {} for kind in self.pools}  # kind -> name -> (demand, when requested)

    def grant(self, now, name, demands):
        """Grants leases to a holder as of `now` (ns); returns kind -> part per second.

        Unknown kinds and demands that are not finite or are negative are left out.
        """
        rates = {}
        for kind, demand in demands.items():
            if kind not in self.pools or not 0 <= demand < float("inf"):
                continue
            recent = self.demands[kind] = {
                n: x for n, x in self.demands[kind].items() if now - x[1] < LEASE_NS
            }
            recent[name] = min(demand, self.pools[kind]), now
            rate = max_min_shares(self.pools[kind], {n: x[0] for n, x in recent.items()})[name]
            rate = max(0.0, min(rate, self.pools[kind] - self.granted_sum(now, kind, name)))
            leases = self.granted[kind].setdefault(name, deque())
            # A smaller lease does not replace a larger one before it: the larger may be the one that arrived.
            leases.append((rate, now + int(LEASE_NS * (1 + MAX_CLOCK_DRIFT))))
            rates[kind] = rate
        return rates

    def granted_sum(self, now, kind, excluded=None):
        """The most that may be in force of a kind, without the holder `excluded`; drops expired leases."""
        total, table = 0.0, self.granted[kind]
        for name, leases in list(table.items()):
            while leases and leases[0][1] <= now:
                leases.popleft()
            if not leases:
                del table[name]
            elif name != excluded:
                total += max(rate for rate, _ in leases)
        return total


class Leases:
    """What one controller may do of each kind, and, on the leader, the table of what it has granted.

    `limits`: kind -> the fleet's limit per second, 0: no limit; `controller_count`: how many controllers the
    configuration names; `has_voters`: whether there are voters, whose leader grants leases; without them each
    controller has an even part for good. `outbox` collects (recipient, message) for the member to send. All
    times are in ns of the controller's monotonic clock.
    """

    def __init__(self, own_name, limits, controller_count, has_voters, now):
        self.own_name, self.limits, self.has_voters = (
            own_name,
            {k: v for k, v in limits.items() if v},
            has_voters,
        )
        self.guaranteed = {
            kind: limit * (GUARANTEED_SHARE if has_voters else 1.0) / controller_count
            for kind, limit in self.limits.items()
        }
        self.held = {}  # kind -> (rate, until)
        self.buckets = {kind: TokenBucket(now) for kind in self.limits}
        self.wanted = dict.fromkeys(self.limits, 0.0)
        self.outbox, self.request_at, self.requested_at = [], now, 0
        # leader_term: a mark of the term in which this controller leads; False where it doesn't
        self.table, self.leader_term, self.leading_since = LeaseTable(self.limits), False, 0

    def next_tick_at(self):
        """When `tick` is due; None where no leases are requested."""
        return self.request_at if self.has_voters and self.limits else None

    def allowed_rate(self, now, kind):
        """The rate per second that this controller may use now; None: there is no limit."""
        if kind not in self.limits:
            return None
        rate, until = self.held.get(kind, (0.0, 0))
        return self.guaranteed[kind] + (rate if now < until else 0.0)

    def set_demand(self, kind, rate):
        """Sets the demand from `rate`, the recent use and what had to wait, per second."""
        if kind in self.limits:
            self.wanted[kind] = max(0.0, DEMAND_FACTOR * rate - self.guaranteed[kind])

    def available(self, now, kind):
        """How many actions of a kind are allowed at this moment; None: there is no limit."""
        rate = self.allowed_rate(now, kind)
        return None if rate is None else self.buckets[kind].available(now, rate)

    def consume(self, now, kind):
        """Counts one action of a kind; does not check that it is allowed."""
        if (rate := self.allowed_rate(now, kind)) is not None:
            self.buckets[kind].consume(now, rate)

    def tick(self, now, to, has_quorum):
        """Requests leases when due.

        `to`: the leader or a member that may know it; None: none is known. `has_quorum`: as for
        `handle_request`.
        """
        if now < self.request_at or not (self.has_voters and self.limits):
            return
        self.request_at = now + REQUEST_INTERVAL_NS
        request = LeaseRequest(self.own_name, now, {k: round(v, 3) for k, v in self.wanted.items()})
        if self.leader_term:
            self.handle_request(now, request, has_quorum, None)
        elif to is not None:
            self.outbox.append((to, request))

    def leadership_changed(self, now, mark):
        """Called after each event with False, or with a mark of the term in which this controller leads.

        A new term begins with an empty table.
        """
        if mark and mark != self.leader_term:
            self.leading_since, self.table = now, LeaseTable(self.limits)
        self.leader_term = mark

    def handle_request(self, now, m, has_quorum, leader):
        """Handles an `LeaseRequest`: grants where this controller leads, else forwards it to the leader.

        `has_quorum`: whether a quorum has answered this leader recently; `leader`: the leader's name where
        another controller leads, or None.
        """
        if self.leader_term:
            if has_quorum and now - self.leading_since >= LEADER_WAIT_NS:
                answer = LeaseResponse(m.requested_at, self.table.grant(now, m.requester, m.wanted_rates))
                if m.requester == self.own_name:
                    self.handle_response(now, answer)
                else:
                    self.outbox.append((m.requester, answer))
        elif leader not in (None, self.own_name) and m.hops < MAX_HOPS:
            self.outbox.append(
                (leader, LeaseRequest(m.requester, m.requested_at, m.wanted_rates, m.hops + 1))
            )

    def handle_response(self, now, m):
        """Handles a `LeaseResponse`, which is valid from the time of the request; ignores older and expired
        ones."""
        if not now - LEASE_NS < m.requested_at <= now or m.requested_at < self.requested_at:
            return
        self.requested_at = m.requested_at
        for kind, rate in m.leased_rates.items():
            if kind in self.limits and 0 <= rate <= self.limits[kind]:
                self.held[kind] = rate, m.requested_at + LEASE_NS

    def report(self, now):
        """Limit, rate and demand of each kind, per second, for operators."""
        return {
            kind: {
                "limit": limit,
                "part": round(self.allowed_rate(now, kind), 3),
                "wants": round(self.wanted[kind], 3),
            }
            for kind, limit in self.limits.items()
        }


class TokenBucket:
    """A token bucket that holds up to one second's worth of its rate, and at least one token.

    It starts with one token, as a controller that has just started could otherwise do nothing.
    """

    def __init__(self, now):
        self.tokens, self.updated_at = 1.0, now

    def _refill(self, now, rate):
        self.tokens = min(max(1.0, rate), self.tokens + rate * max(0, now - self.updated_at) / SECOND)
        self.updated_at = now

    def available(self, now, rate):
        """The number of whole tokens; `now` in ns, `rate` per second."""
        self._refill(now, rate)
        return int(self.tokens + 1e-9)

    def consume(self, now, rate):
        """Takes one token, even where none is left."""
        self._refill(now, rate)
        # Negative where an action waits for its turn, or was allowed by an earlier answer.
        self.tokens -= 1

    def wait_time(self, now, rate):
        """The time in ns until a token is available."""
        self._refill(now, rate)
        return 0 if self.tokens >= 1 - 1e-9 else int((1 - self.tokens) / max(rate, 1e-9) * SECOND)


class KeyedRateLimiter:
    """Applies the part of one kind to each of several keys separately, e.g. connections to each streamer.

    `max_wait`: the longest wait in ns; an action that would wait longer is refused.
    """

    def __init__(self, leases, kind, max_wait):
        self.leases, self.kind, self.max_wait = leases, kind, max_wait
        self.buckets, self.requests = {}, CountsBySecond(Counter)

    def reserve(self, now, key):
        """Reserves one action for a key; returns its wait in ns, or None where it must not be performed."""
        rate = self.leases.allowed_rate(now, self.kind)
        if rate is None:
            return 0
        self.requests.current(now)[key] += 1
        bucket = self.buckets.setdefault(key, TokenBucket(now))
        wait = bucket.wait_time(now, rate)
        if wait > self.max_wait:
            return None
        bucket.consume(now, rate)
        return wait

    def update_demand(self, now):
        """Called periodically: the demand is that of the busiest key; drops full buckets of idle keys."""
        recent = sum(self.requests.recent(now), Counter())
        self.leases.set_demand(self.kind, max(recent.values(), default=0) / WINDOW_SECONDS)
        rate = self.leases.allowed_rate(now, self.kind) or 0.0
        self.buckets = {
            key: bucket for key, bucket in self.buckets.items() if bucket.wait_time(now, rate) or recent[key]
        }
