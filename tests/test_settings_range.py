"""Settings drawn over their whole legal range: each can be read, and a short day by it keeps the rules."""

import heapq
import itertools
import random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis
from hypothesis import strategies as st
from platform_world import SETTINGS

from terndrift.core.carried import Kind, Stage, Wanted
from terndrift.core.core import Core, margin
from terndrift.interface import Ending, Listed, Standing
from terndrift.platform import settings

MS, S = 1_000_000, 1_000_000_000
T0 = 1000 * S
ENDINGS = [Ending.FULL, Ending.ERRED, Ending.UNREACHED, Ending.BROKEN, Ending.NEVER_SENT]


@st.composite
def drawn(draw):
    """A configuration's settings and limits."""

    def whole(least, most):
        return draw(st.integers(least, most))

    def number(least, most):
        return draw(st.floats(least, most, allow_nan=False))

    plans, rungs, kinds = draw(st.sampled_from([2, 4, 1, 0])), whole(1, 8), whole(0, 3)
    floors = [whole(0, rungs - 1) for _ in range(plans)]
    deadlines = [draw(st.sampled_from([1500, 5000, 20_000, 240, 50, 1])) * MS for _ in range(plans)]
    controllers = draw(st.sampled_from([1, 2, 30, 300]))
    asked = draw(st.booleans())
    return {
        "rank": whole(0, controllers - 1),
        "replicas_of_me": controllers,
        "zone": "here",
        "areas": [f"z{n}" for n in range(whole(0, 5))],
        "host_types": [f"k{n}" for n in range(kinds)],
        "registry_mode": "subscribe" if asked else "automatic",
        "profiles": [
            {
                "name": f"p{n}",
                "worth": number(0, 10),
                "slo_ns": deadlines[n] // draw(st.sampled_from([1, 2, 10**12])),
                "deadline_ns": deadlines[n],
                "effect": draw(st.sampled_from(["at_most_once", "idempotent", "deduplicated", "new"])),
            }
            for n in range(plans)
        ],
        "family_info": {
            "rung_kb": [100.0 * (n + 1) * (1 + n) for n in range(rungs)],
            "worth_by_rung": [(n + 1) / rungs for n in range(rungs)],
            "lowest_rung": floors,
            "top_by_class": [whole(floor, 9) for floor in floors],
            "class_seats": [whole(0, 3) for _ in floors],
            "scale_by_class": [draw(st.sampled_from([1.0, 0.1, 4.0])) for _ in floors],
            "class_live": [draw(st.booleans()) for _ in floors],
            "shared_adds": number(0.01, 1),
            "places": draw(st.sampled_from([4, 8, 1, 40])),
            "racks": whole(1, 12),
            "places_by_kind": [whole(0, 50) for _ in range(kinds)],
            "link_unit_kb": draw(st.sampled_from([10_000.0, 1000.0, 1.0])),
            "rack_kb": draw(st.sampled_from([50_000.0, 0, 500.0])),
            "see_ns": whole(0, 2 * S),
            "reports_every_ns": whole(0, 5 * S),
            "refuses_from": number(0, 2),
            "switch_cost_s": number(0, 2),
            "shortfall_cost": number(0, 10),
        },
        "load_report": {
            "how": draw(st.sampled_from(["answers", "probe", "none"])),
            "fields": draw(st.sampled_from([[], ["x0"], ["active", "cpu"], ["x0", "x1"]])),
        },
        "ceilings": {
            "try_limit": draw(st.sampled_from([5, 9, 2, 1, 0])),
            "retry_after": draw(st.booleans()),
            "probes": draw(st.booleans()),
            "max_retry_after_ns": whole(0, 5 * S),
            "connect_timeout_ns": whole(1, 2 * S),
            "keepalive_ns": whole(1, 60 * S),
            "max_streams": whole(1, 2**20),
        },
        "rules": {
            "cold_ns": whole(0, 60 * S),
            "start_capacity": number(0, 1),
            "tip_multiple": number(0, 5),
            "overload_for_ns": whole(0, 10 * S),
            "drain_grace_ns": whole(0, 3 * S),
            "grace_to_answer_ns": whole(0, 100 * MS),
            "ask_within_ns": whole(0, 10 * S),
            "free_resends": draw(st.sampled_from([3, 1, 0])),
            "repeat_ratio": number(0, 0.3),
            "budget_span_ns": whole(0, 20 * S),
        },
    }


def configured(drawn_settings, sockets=256):
    return settings.configuration(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "feed": "127.0.0.1:1",
            "known": {"n": 0, "events": []},
            "limits": {"sockets": sockets},
            "settings": drawn_settings,
        }
    )


class Day:
    """A core in virtual time among streamers that do what chance says; holds it to the rules."""

    def __init__(self, configuration, seed):
        self.random, self.now, self.d = random.Random(seed), T0, configuration.deployment
        self.core = Core(self.d, T0, "n0", configuration.drain_grace, self._watch)
        self.cells, self.layout = configuration.layout.cells, configuration.layout
        self.count, self.due = itertools.count(), []
        self.out, self.ran, self.playing, self.extra, self.taken = {}, set(), set(), [], []
        self.standing, self.off = {}, {}
        self.core.controller.began_empty = self.random.random() < 0.3  # else no streamer may be a new one
        self.streamers = min(10, self.cells + 1)
        self._list([self._row(n) for n in range(self.streamers)])

    def _watch(self, event, carried, **facts):
        assert event != "fault", facts
        # they look at what is held 50 ms apart: of a shorter wait the core's own last answer is the only one
        assert event != "last word" or carried.wanted.time_left < 300 * MS, "not answered by the decisions"

    def _row(self, n, standing=Standing.READY):
        kinds = list(self.d.links.places) or ["other"]
        cell = n % self.cells
        return Listed(
            n,
            kinds[n % len(kinds)],
            f"z{n % 3}",
            cell,
            self.layout.rack(cell),
            standing,
            self.random.choice([0, 0.5, 1, 200]),
            0,
        )

    def _list(self, rows):
        for row in rows:
            self.standing[row.id] = row.standing
            if row.standing is Standing.READY:
                self.off.pop(row.id, None)
            else:
                self.off.setdefault(row.id, self.now)
        self.core.list_changed(self.now, rows, False, False)

    # What the core calls as its carrier.

    def set_up(self, carried, streamer, rung, time_out):
        plan = self.d.plans[carried.wanted.plan]
        assert carried not in self.out and carried not in self.playing, "two attempts out at once"
        assert plan.repeatable or carried not in self.ran, "sent again though it may have run"
        assert plan.floor <= rung <= max(plan.floor, carried.wanted.top)
        assert self.standing[streamer.id] is Standing.READY, "it drains or is gone"
        assert carried.tries <= self.d.rules.try_limit and carried.answer is None
        if carried.tries > 1:
            self.extra.append(self.now)
            since, rules = self.now - self.d.rules.extra_window, self.d.rules
            if rules.extra_tries is not None:
                taken = sum(t > since for t in self.taken)
                assert sum(t > since for t in self.extra) <= rules.extra_tries + rules.extra_share * taken
        self.out[carried] = streamer
        seated = [
            c
            for c in [*self.out, *self.playing]
            if c.wanted.plan == plan.name and c.wanted.title == carried.wanted.title
        ]
        assert not plan.seats or len(seated) <= plan.seats
        ending = self.random.choice([None, None, *ENDINGS, "silent"])
        if ending != "silent":
            longest = self.random.choice([100 * MS, 100 * MS, 2 * time_out])
            self._at(self.random.randrange(longest), self._ended, carried, carried.tries, ending)

    def call_off(self, carried):
        self._at(50 * MS, self._ended, carried, carried.tries, Ending.CALLED_OFF)

    def set_rung(self, carried, rung):
        assert self.d.plans[carried.wanted.plan].floor <= rung < len(self.d.ladder.rates)

    def let_go(self, carried, streamer):
        self.playing.discard(carried)

    def _ended(self, carried, number, ending):
        if carried not in self.out or carried.tries != number:
            return
        streamer = self.out.pop(carried)
        if ending is None and carried.stage is Stage.TRYING:
            self.playing.add(carried)
            self.core.began(self.now, carried, {"link": self.random.random() * 2, "uplink": 0.5})
            self._at(self.random.randrange(10 * S), self.core_over, carried)
            return
        if ending is None or ending.may_have_run:
            self.ran.add(carried)
        report = {"link": 1.5, "streams": 3} if streamer.id % 2 else None
        self.core.try_over(self.now, carried, ending or Ending.CALLED_OFF, report)

    def core_over(self, carried):
        self.core.over(self.now, carried, self.random.choice([Ending.PLAYED_OUT, Ending.BROKEN]))

    # The day.

    def _at(self, after, call, *args):
        heapq.heappush(self.due, (self.now + after, next(self.count), call, args))

    def want(self):
        plan = self.random.choice(list(self.d.plans.values()))
        longest = max(1, plan.startup_target)
        left = self.random.choice([longest, self.random.randrange(longest) + 1, 5 * S])
        home, copies = self.random.randrange(self.cells), self.random.randrange(self.cells) + 1
        wanted = Wanted(
            plan.name,
            f"t{self.random.randrange(3)}",
            self.layout.holders(home, copies),
            self.random.choice([9, 9, self.random.randrange(10)]),
            left,
            self.random.choice([0, 5 * S]),
        )
        answers, box = [], []

        def answered(answer):
            assert not answers, "answered twice"
            assert self.now <= taken_at + left, "answered after its deadline"
            spoilt = box and box[0] in self.ran or box and box[0] in self.out
            assert answer.kind is not Kind.REJECTED or plan.repeatable or not spoilt, "may have run"
            answers.append(answer)

        taken_at = self.now
        self.taken.append(self.now)
        box.append(self.core.want(self.now, wanted, self, answered))
        return answers

    def pass_time(self, ns):
        until = self.now + ns
        while True:
            times = [self.due[0][0]] if self.due else []
            if (wake := self.core.next_at()) is not None:
                times.append(max(wake, self.now))
            if not times or min(times) > until:
                break
            self.now = max(self.now, min(times))
            while self.due and self.due[0][0] <= self.now:
                _, _, call, args = heapq.heappop(self.due)
                call(*args)
            self.core.tick(self.now)
        self.now = until

    def play(self, steps):
        answers = []
        for _ in range(steps):
            what = self.random.random()
            if what < 0.85 and self.d.plans:
                answers.append(self.want())
            elif what < 0.9:
                n = self.random.randrange(self.streamers)
                self._list([self._row(n, self.random.choice(list(Standing)))])
            self.pass_time(self.random.choice([0, 0, 50 * MS, 400 * MS]))
        self.pass_time(30 * S)
        assert all(len(one) == 1 for one in answers), "not answered"
        assert not self.core.open and not self.out


@hypothesis(derandomize=True, database=None, deadline=None, max_examples=150)
@given(drawn(), st.integers(0, 10**6), st.integers(16, 5000))
def test_any_legal_settings_are_read_and_a_day_by_them_keeps_the_rules(drawn_settings, seed, sockets):
    configuration = configured(drawn_settings, sockets)
    assert not configuration.unknown
    Day(configuration, seed).play(80)


@pytest.mark.parametrize("deadline_ms", [60, 120, 240, 1500, 12_000])
def test_short_deadlines_are_served_too(deadline_ms):
    profiles = [{**SETTINGS["profiles"][0], "deadline_ns": deadline_ms * MS, "slo_ns": deadline_ms * MS}]
    info = {
        **SETTINGS["family_info"],
        "lowest_rung": [0],
        "top_by_class": [2],
        "class_seats": [0],
        "scale_by_class": [1.0],
        "class_live": [False],
    }
    configuration = configured({**SETTINGS, "profiles": profiles, "family_info": info})
    assert 0 < margin(deadline_ms * MS) < deadline_ms * MS / 2
    core = Core(configuration.deployment, T0, "n0", 0)
    core.controller.began_empty = False
    core.list_changed(T0, [Listed(1, "box", "here", 0, 0, Standing.READY, 1, 0)], True, False)
    sent = []

    class Carrier:
        def set_up(self, carried, streamer, rung, time_out):
            sent.append(time_out)

    core.want(T0, Wanted("free", "t", frozenset([0]), 2, deadline_ms * MS, 0), Carrier(), lambda answer: None)
    assert len(sent) == 1 and sent[0] > 0
