"""Observations that prove streamers warm after a restart, and slow start shares of cold ones; without I/O."""

import itertools

from helpers import SECOND, START, Front, list_entry

from terndrift.fleet.messages import Observations, ObservationsRequest
from terndrift.fleet.planned_work import MAX_RECORD_AGE_NS
from terndrift.fleet.slow_start_shares import RECORD_KEY, TRANSITION_NS, SlowStartShares
from terndrift.fleet.streamer_observations import (
    MAX_RESPONSES_PER_SECOND,
    OBSERVATION_LIFETIME_NS,
    ObservationStore,
)

WARM_UP_NS = 8 * SECOND


def identity(wall):
    """Stands for the conversion of starts between machines whose clocks agree."""
    return wall


class SimulatedFleet:
    """Members that each observe some streamers, with one clock and a network that loses nothing."""

    def __init__(self, count=4):
        self.now, self.runs = START, {f"c{n}": 1 for n in range(count)}
        self.stores = {n: ObservationStore(n, 1, self.now, WARM_UP_NS) for n in self.runs}

    def observe(self, observer, address, started=5, failed=0, use=40):
        """Records an observation by `observer` now, of a failure if `failed`."""
        self.stores[observer].record_own(
            self.now, [(address, started, self.now, self.now if failed else 0, use)]
        )

    def deliver(self, who, to, message):
        """Delivers a message with observations."""
        self.stores[to].handle_message(self.now, who, message, self.runs)

    def run(self, seconds, *observations):
        """Steps all members every quarter of a second.

        `observations` are (observer, address, started) that are repeated in each step.
        """
        for _ in range(4 * seconds):
            self.now += SECOND // 4
            for who, address, started in observations:
                self.observe(who, address, started)
            for who, store in self.stores.items():
                store.tick(self.now, [n for n in self.stores if n != who])
            self.deliver_all()

    def deliver_all(self):
        """Delivers all messages that wait, until no more come."""
        while moved := [(who, *store.outbox.pop(0)) for who, store in self.stores.items() if store.outbox]:
            for who, to, message in moved:
                if isinstance(message, ObservationsRequest):
                    self.stores[to].handle_request(self.now, who)
                elif isinstance(message, Observations):
                    self.deliver(who, to, message)

    def restart(self, who):
        """Starts a new run of a member, which knows nothing."""
        self.runs[who] += 1
        store = self.stores[who] = ObservationStore(who, self.runs[who], self.now, WARM_UP_NS)
        return store


def test_restarted_controller_learns_warm_streamers_from_others_within_a_second():
    fleet = SimulatedFleet()
    fleet.run(12, ("c0", "a", 5), ("c1", "b", 6))
    store = fleet.restart("c3")
    fleet.run(1)
    assert store.proven_warm(fleet.now, {"a": 5, "b": 6}, identity) == {"a": 40, "b": 40}
    assert store.proven_warm(fleet.now, {"a": 7, "b": 6}, identity) == {"b": 40}, (
        "an observation of another start doesn't count"
    )
    assert store.proven_warm(fleet.now, {"c": 5}, identity) == {}, "nobody observed it"
    fleet.run(OBSERVATION_LIFETIME_NS // SECOND + 1)
    assert store.proven_warm(fleet.now, {"a": 5, "b": 6}, identity) == {}, "observations expire"


def test_observer_counts_after_a_whole_warm_up_without_a_failure():
    fleet = SimulatedFleet()
    fleet.run(7, ("c0", "a", 5))
    store = fleet.stores["c1"]
    assert store.proven_warm(fleet.now, {"a": 5}, identity) == {}
    fleet.run(8, ("c0", "a", 5))
    assert store.proven_warm(fleet.now, {"a": 5}, identity)
    fleet.observe("c0", "a", failed=True)
    fleet.run(7, ("c0", "a", 5))
    assert store.proven_warm(fleet.now, {"a": 5}, identity) == {}, "it failed and may have restarted since"


def test_failure_reports_of_one_observer_are_ignored_and_of_two_accepted():
    fleet = SimulatedFleet()
    fleet.run(12, ("c0", "a", 5))
    fleet.observe("c1", "a", failed=True)
    fleet.run(8, ("c0", "a", 5))
    assert fleet.stores["c3"].proven_warm(fleet.now, {"a": 5}, identity), "c0 saw it run after that"
    liar = fleet.stores["c1"]
    for _ in range(3):
        fleet.now += SECOND
        fleet.observe("c1", "a", failed=True)
        fleet.deliver("c1", "c3", liar._make_message(fleet.now, ["a"]))
    assert fleet.stores["c3"].proven_warm(fleet.now, {"a": 5}, identity)
    fleet.observe("c2", "a", failed=True)
    fleet.deliver("c2", "c3", fleet.stores["c2"]._make_message(fleet.now, ["a"]))
    assert fleet.stores["c3"].proven_warm(fleet.now, {"a": 5}, identity) == {}


def test_observations_from_the_future_old_runs_or_unrequested_responses_are_ignored():
    from terndrift.fleet.messages import Observation

    fleet = SimulatedFleet()
    store = fleet.stores["c3"]
    ahead = Observation("a", "c0", 1, 5, 20_000, -60_000)
    fleet.deliver(
        "c0",
        "c3",
        Observations(
            [ahead, Observation("a", "c9", 1, 5, 20_000, 0), Observation("a", "c1", 9, 5, 20_000, 0)]
        ),
    )
    assert not store.seen, "time in the future, unknown member, another run of a member"
    fleet.deliver("c0", "c3", Observations([Observation("a", "c0", 1, 5, 20_000, 0)], is_response=True))
    assert not store.seen, "a response that was not requested"
    fleet.deliver("c0", "c3", Observations([Observation("a", "c0", 1, 5, 20_000, 0)]))
    assert store.seen


def test_responses_per_second_are_bounded_and_requests_of_many_spread_evenly():
    fleet = SimulatedFleet(40)
    old = [f"c{n}" for n in range(10)]
    fleet.run(12, *((n, "a", 5) for n in old))
    asked = {n: 0 for n in fleet.stores}
    for n in list(fleet.stores):
        if n in old:
            fleet.stores[n].responses_sent = 0
        else:
            fleet.restart(n)
    for _ in range(12):  # 3 s
        fleet.now += SECOND // 4
        for who, store in fleet.stores.items():
            if who not in old:
                store.tick(fleet.now, [n for n in fleet.stores if n != who])
                for to, m in store.outbox:
                    asked[to] += isinstance(m, ObservationsRequest)
        before = {n: fleet.stores[n].responses_sent for n in old}
        fleet.deliver_all()
        assert all(fleet.stores[n].responses_sent - before[n] <= MAX_RESPONSES_PER_SECOND for n in old)
    assert all(fleet.stores[n].proven_warm(fleet.now, {"a": 5}, identity) for n in fleet.stores)
    assert max(asked.values()) <= 20, asked


def test_restored_observations_count_for_the_same_start_and_a_limited_time():
    fleet = SimulatedFleet()
    fleet.run(12, ("c0", "a", 5))
    kept = fleet.stores["c0"].export_own(fleet.now, 500 * SECOND)
    store = fleet.restart("c0")
    store.restore(fleet.now, 504 * SECOND, kept)
    assert store.proven_warm(fleet.now, {"a": 5}, identity) and not store.proven_warm(
        fleet.now, {"a": 6}, identity
    )
    for wall in (499 * SECOND, 500 * SECOND + 61 * SECOND):  # clock set back; too old
        store = fleet.restart("c0")
        store.restore(fleet.now, wall, kept)
        assert not store.seen


# Slow start shares.


def state(*rows, epoch=1):
    """Returns the record's state after these entries, (names, before) each."""
    if not rows:
        return {"epoch": [epoch, ""], "map": {}}
    names, before = rows[-1]
    row = {"gen": len(rows), "names": list(names), "before": list(before)}
    return {"epoch": [epoch, ""], "map": {RECORD_KEY: row}}


def total_share(views, at):
    """Returns the sum of all shares; `views`: name -> (its SlowStartShares, its state, age of the state in
    ns)."""
    total = 0.0
    for name, (ranks, seen, age) in views.items():
        found = ranks.slow_start_share(at, seen, name, age)
        if found is not None and found[1] is not None:
            total += 1 / found[1][1]
    return total


def test_shares_never_exceed_the_whole_pace_for_any_combination_of_views():
    """Of a new entry, each controller has seen it at once, late or not yet.

    A restarted controller sees it first.
    """
    controllers, least = "abcdef", 9.9
    pairs = [("abcdef", "abcd"), ("abcd", "abcdef"), ("abcd", "abef"), ("ab", "abcdef"), ("abcde", "abf")]
    for before, names in pairs:
        old, new = state((before, before)), state((before, before), (names, before))
        for seen_at in itertools.product(
            (0, MAX_RECORD_AGE_NS - SECOND, None, "restarted"), repeat=len(controllers)
        ):
            if seen_at.count("restarted") > 2:
                continue
            views, at = {n: SlowStartShares() for n in controllers}, START
            for n in controllers:
                views[n].note_entry(at - 3 * TRANSITION_NS, old)
            for passed in (
                0,
                SECOND,
                MAX_RECORD_AGE_NS - 1,
                MAX_RECORD_AGE_NS,
                TRANSITION_NS - 1,
                TRANSITION_NS,
                MAX_RECORD_AGE_NS + TRANSITION_NS,
                2 * TRANSITION_NS,
            ):
                now, here = at + passed, {}
                for n, when in zip(controllers, seen_at, strict=True):
                    if when == "restarted":  # it has just restarted and has the state
                        ranks = SlowStartShares()
                        here[n] = ranks, new, 0
                    elif when is None or passed < when:  # its state is as old as the entry
                        here[n] = views[n], old, passed
                    else:
                        ranks = SlowStartShares()
                        ranks.note_entry(at - 3 * TRANSITION_NS, old)
                        ranks.note_entry(at + when, new)
                        here[n] = ranks, new, 0
                total = total_share(here, now)
                assert total <= 1 + 1e-9, (before, names, seen_at, passed / SECOND, total)
                least = min(least, total) if passed >= 2 * TRANSITION_NS and seen_at == (0,) * 6 else least
    assert least > 1 - 1e-9, "the whole pace is used once all have seen the entry"


def test_leader_removes_a_name_after_the_transition_time_and_starts_with_configured_names():
    ranks, now = SlowStartShares(), START
    id, value = ranks.next(now, state(), set("abc"), set("abc"))
    assert id == "ranks/1" and value[RECORD_KEY]["names"] == value[RECORD_KEY]["before"] == list("abc")
    assert ranks.next(now, state(epoch=2), set("abc"), set("abc"))[1][RECORD_KEY]["before"] == []
    first = state(("abc", "abc"))
    ranks.note_entry(now, first)
    for seconds in range(0, 70, 1):
        found = ranks.next(now + seconds * SECOND, first, set("abc"), set("ab"))
        if found:
            break
    assert seconds >= 2 * TRANSITION_NS // SECOND and found[1][RECORD_KEY]["names"] == list("ab")
    second = state(("abc", "abc"), ("ab", "abc"))
    ranks.note_entry(now + 100 * SECOND, second)
    assert ranks.next(now + 101 * SECOND, second, set("abc"), set("abc")) is None, (
        "a further entry has to wait"
    )
    _, back = ranks.next(now + 100 * SECOND + 2 * TRANSITION_NS, second, set("abc"), set("abc"))
    assert back[RECORD_KEY]["names"] == list("abc") and back[RECORD_KEY]["before"] == list("ab")


# Decisions.


def cold_front():
    """Returns a Front with one streamer that it takes for cold, listed as started 100 s ago."""
    front = Front(streamers=1, warm=False, cold_for=8 * SECOND)
    front.change_list([list_entry(0, started=START - 100 * SECOND)])
    return front


def count_attempts(front, seconds):
    """Returns for how many viewers, 10 a second, the front attempted a set-up."""
    attempts = 0
    for _ in range(int(seconds * 10)):
        front.now += SECOND // 10
        pb = front.request(cells=1, left=SECOND // 2, top=0)
        attempts += pb is not None and pb.attempts > 0
    return attempts


def test_restarted_front_places_at_once_on_proven_warm_streamers_and_by_its_share_on_others():
    paced, proven = cold_front(), cold_front()
    proven.controller.fleet_changed(proven.now, 2, (0, 2), [0])
    assert count_attempts(proven, 2) > 2 * count_attempts(paced, 2), (
        "without the proof it waits for a whole warm-up"
    )
    without_share = cold_front()
    without_share.controller.fleet_changed(without_share.now, 2, None)
    assert count_attempts(without_share, 6) == 0, "no share, and not proven"
    # the proof holds for the start in the list; after a new start the streamer is cold again
    proven.change_list([list_entry(0, started=proven.now)])
    assert proven.controller._cold_slot(proven.now, proven.controller.streamers[0]) is not None
