"""Synchronisation of the catalogue after a start, without I/O."""

import pytest

from terndrift.fleet.catalogue_sync import MAX_RESPONSES_NEEDED, SYNC_TIMEOUT_NS, CatalogueSync, SyncState
from terndrift.fleet.messages import CatalogueHead, CatalogueHeadRequest

S = 1_000_000_000
OLD, NEW = ["a", "b"], ["a", "b", "c", "d"]


class SimulatedFleet:
    """Controllers that start at once; a copy takes up to 0.3 s.

    `disks` maps names to the change ids on their disks; those in `broken` can't provide a copy, and those in
    `isolated` reach no other.
    """

    def __init__(self, disks, broken=(), isolated=()):
        self.now, self.disks, self.broken, self.isolated = 1000 * S, dict(disks), set(broken), set(isolated)
        self.copies = {
            n: CatalogueSync(n, self.now, lambda n=n: self.disks[n], len(disks) - 1) for n in disks
        }
        # served: name -> (seconds until it serves, newest change that it has then)
        self.served, self.copied, self.max_requests = {}, 0, 0

    def run(self, seconds):
        """Steps all controllers every 0.1 s and returns `served`; notes the most requests in a step."""
        for _ in range(int(seconds * 10)):
            self.now += S // 10
            requests = 0
            for n, sync in self.copies.items():
                sync.tick(
                    self.now,
                    [] if n in self.isolated else [m for m in self.copies if m not in self.isolated | {n}],
                )
                for to, m in sync.outbox:
                    requests += isinstance(m, CatalogueHeadRequest)
                    self.copies[to].handle_request(n) if isinstance(m, CatalogueHeadRequest) else self.copies[
                        to
                    ].handle_response(n, m)
                sync.outbox.clear()
                if sync.standing is SyncState.BEHIND and self.now % (3 * S // 10) < S // 10:
                    whole = sync.source not in self.broken
                    if whole:
                        self.copied += 1
                        new = [id for id in self.disks[sync.source] if id not in self.disks[n]]
                        self.disks[n] = [*self.disks[n], *new, "copy:1"]
                    sync.copied(whole)
                if sync.sure() and n not in self.served:
                    self.served[n] = (self.now - 1000 * S) / S, (sync.ids() or [""])[-1]
            self.max_requests = max(self.max_requests, requests)
        return self.served


def test_all_serve_the_newest_when_half_are_current_a_quarter_empty_and_a_quarter_old():
    fleet = SimulatedFleet({f"c{n}": NEW if n % 2 else OLD if n % 4 else [] for n in range(20)})
    served = fleet.run(7)
    assert {what for _, what in served.values()} == {"d"} and len(served) == 20
    assert max(at for at, _ in served.values()) < 3 and 10 <= fleet.copied <= 14, (
        "some copied from one that was behind itself"
    )


def test_controller_with_an_old_disk_copies_at_once_from_running_ones():
    fleet = SimulatedFleet({"c0": NEW, "c1": NEW, "c2": NEW})
    fleet.run(3)
    fleet.disks["c3"] = list(OLD)
    fleet.copies["c3"] = CatalogueSync("c3", fleet.now, lambda: fleet.disks["c3"], 3)
    fleet.run(1)
    assert fleet.served["c3"][1] == "d"


def test_failed_source_is_replaced_and_an_isolated_controller_serves_its_own_after_the_timeout():
    fleet = SimulatedFleet({"c0": OLD, "c1": NEW, "c2": NEW, "c3": NEW}, broken=["c1", "c2"])
    assert fleet.run(5)["c0"][1] == "d"
    alone = SimulatedFleet({"c0": OLD, "c1": NEW}, isolated=["c0"])
    assert alone.run(5).get("c0") is None
    at, what = alone.run(2)["c0"]
    assert SYNC_TIMEOUT_NS / S <= at < SYNC_TIMEOUT_NS / S + 0.2 and what == "b"
    assert not alone.copies["c0"].head().confirmed, "a timeout confirms nothing to others"


def test_differing_catalogue_is_copied_if_two_have_it_and_only_reported_if_one_has():
    fleet = SimulatedFleet({"c0": ["a", "x"], "c1": ["a", "y"], "c2": ["a", "y"]})
    assert fleet.run(7)["c0"][1] == "y"
    two = SimulatedFleet({"c0": ["a", "x"], "c1": ["a", "y"]})
    assert {n: what for n, (_, what) in two.run(7).items()} == {"c0": "x", "c1": "y"}
    assert two.copies["c0"].why == "c1 has another"


def test_controller_behind_by_more_than_a_head_copies_and_requests_of_300_stay_bounded():
    far = [f"i{n}" for n in range(100)]
    fleet = SimulatedFleet({"c0": far, "c1": far[:3], "c2": far})
    assert fleet.run(7)["c1"][1] == "i99"
    large = SimulatedFleet({f"c{n}": NEW if n % 2 else OLD for n in range(300)})
    served = large.run(7)
    assert len(served) == 300 and all(what == "d" for _, what in served.values())
    assert (
        large.max_requests <= 4 * 300
        and max(len(sync.request_counts) for sync in large.copies.values()) <= 2 * MAX_RESPONSES_NEEDED
    )


def test_unrequested_responses_are_ignored_and_invalid_transitions_fail():
    sync = CatalogueSync("c0", 0, lambda: OLD, 3)
    sync.handle_response("c1", CatalogueHead(9, NEW, True))
    assert sync.standing is SyncState.COMPARING and not sync.heads_by_name
    sync.tick(0, ["c1"])
    sync.handle_response("c1", CatalogueHead(9, NEW, True))
    assert sync.standing is SyncState.BEHIND
    sync.copied(True)
    with pytest.raises(AssertionError):
        sync._set_state(SyncState.BEHIND, "")


def test_the_few_controllers_up_first_are_no_majority():
    """Guards against controllers that start first and take their own number for a majority.

    In the day lost-state two such controllers served an old catalogue that half of all had replaced.
    """
    sync = CatalogueSync("c0", 0, lambda: OLD, 19)
    for n in range(1, 10):
        sync.request_counts[f"c{n}"] = 1
        sync.handle_response(f"c{n}", CatalogueHead(2, OLD, False))
    assert sync.standing is SyncState.COMPARING, (
        "nine of nineteen responded; the ten others may have a newer one"
    )
    sync.request_counts["c10"] = 1
    sync.handle_response("c10", CatalogueHead(2, OLD, False))
    assert sync.standing is SyncState.CONFIRMED


def test_timeout_counts_from_when_requests_can_be_sent():
    sync = CatalogueSync("c0", 0, lambda: OLD, 3)
    sync.begin(20 * S)
    sync.tick(20 * S, ["c1"])
    assert sync.standing is SyncState.COMPARING and sync.outbox
    sync.tick(20 * S + SYNC_TIMEOUT_NS, ["c1"])
    assert sync.sure() and not sync.confirmed_by_peers
