"""What is known of streamers after a restart, whose turn it is at the cold ones: without I/O."""

import itertools

from helpers import SECOND, START, Front, list_entry

from terndrift.fleet.messages import AskKnown, Knows
from terndrift.fleet.ranks import KEY, Ranks, W
from terndrift.fleet.warm import FADES, HANDS, Known
from terndrift.fleet.work import LIMIT

COLD = 8 * SECOND


def same(wall):
    return wall


class Town:
    """Members that each see some streamers, and a clock."""

    def __init__(self, count=4):
        self.now, self.runs = START, {f"c{n}": 1 for n in range(count)}
        self.known = {n: Known(n, 1, self.now, COLD) for n in self.runs}

    def sees(self, who, address, started=5, ill=0, use=40):
        self.known[who].saw(self.now, [(address, started, self.now, self.now if ill else 0, use)])

    def says(self, who, to, m):
        self.known[to].heard(self.now, who, m, self.runs)

    def run(self, seconds, *seeing):
        """A quarter of a second after the other; `seeing`: (who, address, started) that go on all along."""
        for _ in range(4 * seconds):
            self.now += SECOND // 4
            for who, address, started in seeing:
                self.sees(who, address, started)
            for who, one in self.known.items():
                one.tick(self.now, [n for n in self.known if n != who])
            self.carry()

    def carry(self):
        while moved := [(who, *one.out.pop(0)) for who, one in self.known.items() if one.out]:
            for who, to, m in moved:
                if isinstance(m, AskKnown):
                    self.known[to].asked(self.now, who)
                elif isinstance(m, Knows):
                    self.says(who, to, m)

    def anew(self, who):
        self.runs[who] += 1
        one = self.known[who] = Known(who, self.runs[who], self.now, COLD)
        return one


def test_one_that_starts_anew_learns_who_is_warm_from_the_others_within_a_second():
    town = Town()
    town.run(12, ("c0", "a", 5), ("c1", "b", 6))
    one = town.anew("c3")
    town.run(1)
    assert one.proven(town.now, {"a": 5, "b": 6}, same) == {"a": 40, "b": 40}
    assert one.proven(town.now, {"a": 7, "b": 6}, same) == {"b": 40}, "a fact of another start is no fact"
    assert one.proven(town.now, {"c": 5}, same) == {}, "nobody saw it"
    town.run(FADES // SECOND + 1)
    assert one.proven(town.now, {"a": 5, "b": 6}, same) == {}, "facts fade"


def test_a_witness_counts_once_it_has_seen_a_whole_warm_up_without_a_failure():
    town = Town()
    town.run(7, ("c0", "a", 5))
    one = town.known["c1"]
    assert one.proven(town.now, {"a": 5}, same) == {}
    town.run(8, ("c0", "a", 5))
    assert one.proven(town.now, {"a": 5}, same)
    town.sees("c0", "a", ill=True)
    town.run(7, ("c0", "a", 5))
    assert one.proven(town.now, {"a": 5}, same) == {}, "it has failed since, and may have started anew"


def test_one_alone_who_says_that_all_are_ill_is_not_believed_and_two_are():
    town = Town()
    town.run(12, ("c0", "a", 5))
    town.sees("c1", "a", ill=True)
    town.run(8, ("c0", "a", 5))
    assert town.known["c3"].proven(town.now, {"a": 5}, same), "c0 saw it well after that"
    liar = town.known["c1"]
    for _ in range(3):
        town.now += SECOND
        town.sees("c1", "a", ill=True)
        town.says("c1", "c3", liar._knows(town.now, ["a"]))
    assert town.known["c3"].proven(town.now, {"a": 5}, same)
    town.sees("c2", "a", ill=True)
    town.says("c2", "c3", town.known["c2"]._knows(town.now, ["a"]))
    assert town.known["c3"].proven(town.now, {"a": 5}, same) == {}


def test_facts_from_the_future_of_old_runs_and_of_those_that_nobody_asked_are_nothing():
    from terndrift.fleet.messages import Fact

    town = Town()
    one = town.known["c3"]
    ahead = Fact("a", "c0", 1, 5, 20_000, -60_000)
    town.says("c0", "c3", Knows([ahead, Fact("a", "c9", 1, 5, 20_000, 0), Fact("a", "c1", 9, 5, 20_000, 0)]))
    assert not one.seen, "times ahead, a member that is none, another run of a member"
    town.says("c0", "c3", Knows([Fact("a", "c0", 1, 5, 20_000, 0)], answers=True))
    assert not one.seen, "an answer to what was never asked"
    town.says("c0", "c3", Knows([Fact("a", "c0", 1, 5, 20_000, 0)]))
    assert one.seen


def test_what_one_hands_out_in_a_second_is_bounded_and_many_that_return_ask_all_alike():
    town = Town(40)
    old = [f"c{n}" for n in range(10)]
    town.run(12, *((n, "a", 5) for n in old))
    asked = {n: 0 for n in town.known}
    for n in list(town.known):
        if n in old:
            town.known[n].handed_out = 0
        else:
            town.anew(n)
    for _ in range(12):  # three seconds
        town.now += SECOND // 4
        for who, one in town.known.items():
            if who not in old:
                one.tick(town.now, [n for n in town.known if n != who])
                for to, m in one.out:
                    asked[to] += isinstance(m, AskKnown)
        before = {n: town.known[n].handed_out for n in old}
        town.carry()
        assert all(town.known[n].handed_out - before[n] <= HANDS for n in old)
    assert all(town.known[n].proven(town.now, {"a": 5}, same) for n in town.known)
    assert max(asked.values()) <= 20, asked


def test_what_an_earlier_run_kept_counts_under_the_same_start_and_not_for_long():
    town = Town()
    town.run(12, ("c0", "a", 5))
    kept = town.known["c0"].keeps(town.now, 500 * SECOND)
    one = town.anew("c0")
    one.restore(town.now, 504 * SECOND, kept)
    assert one.proven(town.now, {"a": 5}, same) and not one.proven(town.now, {"a": 6}, same)
    for wall in (499 * SECOND, 500 * SECOND + 61 * SECOND):  # a clock that was set back; too long ago
        one = town.anew("c0")
        one.restore(town.now, wall, kept)
        assert not one.seen


# Turns.


def state(*rows, epoch=1):
    """As after these entries: (names, before)."""
    if not rows:
        return {"epoch": [epoch, ""], "map": {}}
    names, before = rows[-1]
    row = {"gen": len(rows), "names": list(names), "before": list(before)}
    return {"epoch": [epoch, ""], "map": {KEY: row}}


def parts(views, at):
    """The sum of what all take; `views`: name -> (its Ranks, its state, how old that is)."""
    total = 0.0
    for name, (ranks, seen, age) in views.items():
        found = ranks.turn(at, seen, name, age)
        if found is not None and found[1] is not None:
            total += 1 / found[1][1]
    return total


def test_the_parts_of_all_never_come_to_more_than_the_whole_for_any_pair_of_views():
    """One entry after another; each controller that was there saw it at once, late, or not yet; one that
    starts anew sees the newest first."""
    all_of, least = "abcdef", 9.9
    pairs = [("abcdef", "abcd"), ("abcd", "abcdef"), ("abcd", "abef"), ("ab", "abcdef"), ("abcde", "abf")]
    for before, names in pairs:
        old, new = state((before, before)), state((before, before), (names, before))
        for seen_at in itertools.product((0, LIMIT - SECOND, None, "anew"), repeat=len(all_of)):
            if seen_at.count("anew") > 2:
                continue
            views, at = {n: Ranks() for n in all_of}, START
            for n in all_of:
                views[n].look(at - 3 * W, old)
            for passed in (0, SECOND, LIMIT - 1, LIMIT, W - 1, W, LIMIT + W, 2 * W):
                now, here = at + passed, {}
                for n, when in zip(all_of, seen_at, strict=True):
                    if when == "anew":  # it started a moment ago, and has heard
                        ranks = Ranks()
                        here[n] = ranks, new, 0
                    elif when is None or passed < when:  # knows nothing newer than the entry's moment
                        here[n] = views[n], old, passed
                    else:
                        ranks = Ranks()
                        ranks.look(at - 3 * W, old)
                        ranks.look(at + when, new)
                        here[n] = ranks, new, 0
                total = parts(here, now)
                assert total <= 1 + 1e-9, (before, names, seen_at, passed / SECOND, total)
                least = min(least, total) if passed >= 2 * W and seen_at == (0,) * 6 else least
    assert least > 1 - 1e-9, "once all have seen it the whole pace is used"


def test_the_leader_takes_a_name_out_after_a_limit_and_begins_with_the_files_names():
    ranks, now = Ranks(), START
    id, value = ranks.next(now, state(), set("abc"), set("abc"))
    assert id == "ranks/1" and value[KEY]["names"] == value[KEY]["before"] == list("abc")
    assert ranks.next(now, state(epoch=2), set("abc"), set("abc"))[1][KEY]["before"] == []
    one = state(("abc", "abc"))
    ranks.look(now, one)
    for seconds in range(0, 70, 1):
        found = ranks.next(now + seconds * SECOND, one, set("abc"), set("ab"))
        if found:
            break
    assert seconds >= 2 * W // SECOND and found[1][KEY]["names"] == list("ab")
    two = state(("abc", "abc"), ("ab", "abc"))
    ranks.look(now + 100 * SECOND, two)
    assert ranks.next(now + 101 * SECOND, two, set("abc"), set("abc")) is None, "one after the other"
    _, back = ranks.next(now + 100 * SECOND + 2 * W, two, set("abc"), set("abc"))
    assert back[KEY]["names"] == list("abc") and back[KEY]["before"] == list("ab")


# The decisions.


def cold_front():
    front = Front(streamers=1, warm=False, cold_for=8 * SECOND)
    front.change_list([list_entry(0, started=START - 100 * SECOND)])
    return front


def sent(front, seconds):
    attempts = 0
    for _ in range(int(seconds * 10)):
        front.now += SECOND // 10
        pb = front.request(cells=1, left=SECOND // 2, top=0)
        attempts += pb is not None and pb.attempts > 0
    return attempts


def test_a_restarted_front_places_at_once_on_what_is_proven_warm_and_by_its_turn_on_the_rest():
    paced, proven = cold_front(), cold_front()
    proven.controller.fleet_changed(proven.now, 2, (0, 2), [0])
    assert sent(proven, 2) > 2 * sent(paced, 2), "without the proof a whole warm-up is waited for"
    none = cold_front()
    none.controller.fleet_changed(none.now, 2, None)
    assert sent(none, 6) == 0, "no turn, and not proven"
    # proven for the start that the list said: a new one is cold again
    proven.change_list([list_entry(0, started=proven.now)])
    assert proven.controller._cold_slot(proven.now, proven.controller.streamers[0]) is not None
