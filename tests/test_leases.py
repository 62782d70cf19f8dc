"""Fleet-wide limits granted as leases: the parts in force never add up to more than the limit."""

import random

import pytest

from terndrift.fleet.leases import (
    GUARANTEED_SHARE,
    LEADER_WAIT_NS,
    LEASE_NS,
    KeyedRateLimiter,
    Leases,
    LeaseTable,
    TokenBucket,
    max_min_shares,
)
from terndrift.fleet.messages import LeaseResponse
from terndrift.fleet.simulated_fleet import SECOND, SimulatedFleet

LIMIT = 40.0


class LeasingFleet:
    """Simulated controllers with a set demand for one limit.

    `highest_sum`: the highest sum of the parts in force so far.
    """

    def __init__(self, count=12, voters=3, seed=1, **more):
        names = [f"c{n}" for n in range(count)]
        self.simulated_fleet = SimulatedFleet(names, names[:voters], seed, **more)
        self.demands = dict.fromkeys(names, LIMIT)
        self.highest_sum, self.least_lent = 0.0, None
        self.start(*names)
        assert self.simulated_fleet.run_until(self.simulated_fleet.membership_converged, 60) is not None
        self.simulated_fleet.call_controller("c0", "begin_epoch", None)
        assert (
            self.simulated_fleet.run_until(
                lambda: all(
                    len(c.committed_log.state["voters"]) == voters
                    for c in self.simulated_fleet.controllers.values()
                ),
                60,
            )
            is not None
        )

    def start(self, *names):
        """Starts controllers with new leases."""
        self.simulated_fleet.start(*names)
        for name in names:
            controller = self.simulated_fleet.controllers[name]
            controller.leases = Leases(
                name, {"extra": LIMIT}, len(self.simulated_fleet.names), True, self.simulated_fleet.now
            )
            controller.leases.wanted["extra"] = self.demands[name]

    def set_demand(self, name, demand):
        """Sets the demand per second of a controller."""
        self.demands[name] = self.simulated_fleet.controllers[name].leases.wanted["extra"] = demand

    def parts(self):
        """The part in force of each controller that runs.

        A stopped one is left out: it performs no actions, though its lease may still be valid by its clock.
        """
        return {
            n: c.leases.allowed_rate(self.simulated_fleet.now, "extra")
            for n, c in self.simulated_fleet.controllers.items()
            if n not in self.simulated_fleet.paused
        }

    def run(self, seconds):
        """Runs the fleet and checks the sum of the parts every 20 ms."""
        for _ in range(round(seconds * 50)):
            self.simulated_fleet.run(0.02)
            self.highest_sum = max(self.highest_sum, sum(self.parts().values()))
            assert self.highest_sum <= LIMIT + 1e-6


def test_without_faults_nearly_all_of_the_limit_is_in_force_and_granted_by_demand():
    fleet = LeasingFleet()
    fleet.run(LEADER_WAIT_NS / SECOND + 4)
    assert sum(fleet.parts().values()) > 0.95 * LIMIT
    for name in fleet.simulated_fleet.names[1:]:
        fleet.set_demand(name, 0.0)
    fleet.run(4)
    parts = fleet.parts()
    assert parts["c0"] > 0.75 * LIMIT and all(
        p == pytest.approx(GUARANTEED_SHARE * LIMIT / 12) for n, p in parts.items() if n != "c0"
    )
    fleet.set_demand("c0", 8.0)
    fleet.run(4)
    assert fleet.parts()["c1"] == pytest.approx(LIMIT / 12 - 8.0 / 12), (
        "what exceeds the demand is split evenly"
    )
    fleet.set_demand("c0", 1e9)  # absurdly high: takes nothing from controllers with a low demand
    fleet.set_demand("c5", 3.0)
    fleet.run(4)
    assert fleet.parts()["c5"] == pytest.approx(3.0 + GUARANTEED_SHARE * LIMIT / 12)
    assert sum(fleet.parts().values()) > 0.99 * LIMIT


@pytest.mark.parametrize("seed", range(1, 5))
def test_the_sum_stays_within_the_limit_through_kills_pauses_partitions_and_loss(seed):
    """The leader is paused and resumed, killed, or cut off with a few others, while demands change and about
    a third of the messages is lost. The sum is checked every 20 ms."""
    fleet = LeasingFleet(seed=seed, loss=0.3, duplication=0.1, delay_probability=0.2)
    simulated_fleet, rng = fleet.simulated_fleet, random.Random(seed)
    sums = []
    for step in range(12):
        for name in rng.sample(sorted(simulated_fleet.controllers), 4):
            fleet.set_demand(name, rng.choice([0.0, 1.0, 8.0, LIMIT]))
        leader = next(iter(simulated_fleet.leaders()), "c0")
        fault = step % 4
        if fault == 0:
            simulated_fleet.pause(leader)
            fleet.run(rng.uniform(0.5, 6))
            simulated_fleet.resume(leader)
        elif fault == 1:
            simulated_fleet.kill(leader)
            fleet.run(rng.uniform(0.2, 5))
            fleet.start(leader)
        elif fault == 2:
            cut_off = {leader, *rng.sample(sorted(simulated_fleet.controllers), 4)}
            simulated_fleet.drops_message = lambda a, b, cut_off=cut_off: (a in cut_off) != (b in cut_off)
            fleet.run(rng.uniform(1, 8))
            simulated_fleet.drops_message = lambda a, b: False
        fleet.run(rng.uniform(1, 9))
        sums.append(sum(fleet.parts().values()))
    assert max(sums) > 0.6 * LIMIT, "leases are granted in spite of the faults"


def test_a_new_leader_grants_nothing_until_the_leases_of_the_one_before_have_expired():
    """Without LEADER_WAIT_NS a new leader grants while leases of the killed one are still in force."""
    fleet = LeasingFleet(seed=3)
    fleet.run(LEADER_WAIT_NS / SECOND + 3)
    old_leader = fleet.simulated_fleet.leaders()[0]
    fleet.simulated_fleet.kill(old_leader)
    assert (
        fleet.simulated_fleet.run_until(lambda: fleet.simulated_fleet.leaders() not in ([], [old_leader]), 10)
        is not None
    )
    new_leader = fleet.simulated_fleet.controllers[fleet.simulated_fleet.leaders()[0]]
    leading_since = fleet.simulated_fleet.now
    fleet.run((LEADER_WAIT_NS - SECOND // 2) / SECOND)
    assert (
        not new_leader.leases.table.granted["extra"]
        and fleet.simulated_fleet.now - leading_since < LEADER_WAIT_NS
    )
    # only the guaranteed share is left
    assert all(p == pytest.approx(GUARANTEED_SHARE * LIMIT / 12) for p in fleet.parts().values())
    fleet.run(4)
    assert sum(fleet.parts().values()) > 0.8 * LIMIT


def test_a_controller_that_is_cut_off_keeps_its_guaranteed_share_and_its_lease_expires_by_its_own_clock():
    fleet = LeasingFleet(seed=2)
    fleet.run(LEADER_WAIT_NS / SECOND + 3)
    fleet.simulated_fleet.drops_message = lambda a, b: "c9" in (a, b)
    assert fleet.parts()["c9"] > GUARANTEED_SHARE * LIMIT / 12
    fleet.run(LEASE_NS / SECOND + 0.1)
    assert fleet.parts()["c9"] == pytest.approx(GUARANTEED_SHARE * LIMIT / 12)


def test_the_lease_table_counts_the_largest_lease_that_a_holder_may_still_have():
    table, now = LeaseTable({"extra": 10.0}), 1000 * SECOND
    assert table.grant(now, "a", {"extra": 100.0}) == {"extra": 8.0}
    # A smaller lease may not arrive: the one before it is still counted, and nothing is left for b.
    assert table.grant(now + SECOND, "b", {"extra": 100.0}) == {"extra": 0.0}
    assert table.grant(now + SECOND, "a", {"extra": 1.0}) == {"extra": 1.0}
    assert table.grant(now + SECOND + 1, "b", {"extra": 100.0}) == {"extra": 0.0}
    assert table.grant(now + LEASE_NS + SECOND // 10, "b", {"extra": 100.0}) == {"extra": 7.0}
    assert table.grant(now, "c", {"extra": float("nan"), "other": 1.0}) == {}


def test_leases_that_are_expired_beyond_the_limit_or_older_than_the_current_one_are_ignored():
    leases, now = Leases("a", {"extra": 10.0}, 2, True, 1000 * SECOND), 1000 * SECOND
    leases.handle_response(now, LeaseResponse(now - LEASE_NS - 1, {"extra": 5.0}))
    leases.handle_response(now, LeaseResponse(now + 1, {"extra": 5.0}))  # requested in the future
    leases.handle_response(now, LeaseResponse(now, {"extra": 500.0, "what": 1.0}))
    assert leases.allowed_rate(now, "extra") == 1.0 and leases.allowed_rate(now, "calls") is None
    leases.handle_response(now, LeaseResponse(now - SECOND, {"extra": 5.0}))
    assert leases.allowed_rate(now, "extra") == 1.0, "requested before the current lease"
    leases.handle_response(now + 1, LeaseResponse(now + 1, {"extra": 5.0}))
    assert (
        leases.allowed_rate(now + 1, "extra") == 6.0
        and leases.allowed_rate(now + 1 + LEASE_NS, "extra") == 1.0
    )


def test_without_voters_each_controller_has_a_permanent_even_part():
    leases = Leases("a", {"extra": 12.0, "calls": 0.0}, 4, False, 0)
    assert (
        leases.allowed_rate(5, "extra") == 3.0
        and leases.allowed_rate(5, "calls") is None
        and leases.next_tick_at() is None
    )


def test_max_min_shares_are_even_and_none_exceeds_its_demand_while_others_want_more():
    assert max_min_shares(9.0, {"a": 1.0, "b": 100.0, "c": 100.0}) == {"a": 1.0, "b": 4.0, "c": 4.0}
    assert max_min_shares(9.0, {}) == {} and max_min_shares(9.0, {"a": 2.0, "b": 0.0}) == {"a": 5.5, "b": 3.5}


def test_a_token_bucket_allows_its_rate_and_one_more():
    bucket, now, allowed = TokenBucket(0), 0, 0
    for now in range(0, 10 * SECOND, SECOND // 100):
        if bucket.available(now, 2.5):
            bucket.consume(now, 2.5)
            allowed += 1
    assert 24 <= allowed <= 26


def test_connections_to_a_streamer_are_paced_and_refused_beyond_the_longest_wait():
    leases, now = Leases("a", {"connects": 8.0}, 1, False, 0), 1000 * SECOND
    limiter = KeyedRateLimiter(leases, "connects", SECOND // 4)
    waits = [limiter.reserve(now, "s1") for _ in range(12)]
    allowed_waits = [w for w in waits if w is not None]
    assert (
        allowed_waits[0] == 0 and allowed_waits == sorted(allowed_waits) and max(allowed_waits) <= SECOND // 4
    )
    assert None in waits and limiter.reserve(now, "s2") == 0, "each streamer has a bucket of its own"
    per_second = sum(
        w is not None for n in range(100) for w in [limiter.reserve(now + (n + 100) * SECOND // 10, "s1")]
    )
    assert 8 * 10 - 1 <= per_second <= 8 * 10 + 9
    limiter.update_demand(now + 11 * SECOND)
    assert set(limiter.buckets) <= {"s1"}, "full buckets are dropped"
