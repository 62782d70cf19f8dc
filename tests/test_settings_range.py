"""Property tests over the whole legal range of the settings.

Whatever legal settings are drawn, they must be read without an unknown name, and a short simulated day of
playbacks under them must keep the rules that every controller promises.
"""

import heapq
import itertools
import random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis
from hypothesis import strategies as st
from platform_testbed import SETTINGS

from terndrift.core.active_playback import AnswerKind, PlaybackRequest, PlaybackStage
from terndrift.core.core import Core, margin
from terndrift.interface import Ending, ListEntry, Standing
from terndrift.platform import settings

MS, S = 1_000_000, 1_000_000_000
T0 = 1000 * S
ATTEMPT_ENDINGS = [Ending.FULL, Ending.ERRED, Ending.UNREACHED, Ending.BROKEN, Ending.NEVER_SENT]


@st.composite
def drawn(draw):
    """Draws settings from their whole legal range; the order of the draws decides what a seed gives."""

    def integer(minimum, maximum):
        return draw(st.integers(minimum, maximum))

    def real(minimum, maximum):
        return draw(st.floats(minimum, maximum, allow_nan=False))

    plan_count, rung_count, kind_count = draw(st.sampled_from([2, 4, 1, 0])), integer(1, 8), integer(0, 3)
    lowest_rungs = [integer(0, rung_count - 1) for _ in range(plan_count)]
    deadlines = [draw(st.sampled_from([1500, 5000, 20_000, 240, 50, 1])) * MS for _ in range(plan_count)]
    controllers = draw(st.sampled_from([1, 2, 30, 300]))
    list_on_request = draw(st.booleans())
    return {
        "rank": integer(0, controllers - 1),
        "replicas_of_me": controllers,
        "zone": "here",
        "areas": [f"z{n}" for n in range(integer(0, 5))],
        "host_types": [f"k{n}" for n in range(kind_count)],
        "registry_mode": "subscribe" if list_on_request else "automatic",
        "profiles": [
            {
                "name": f"p{n}",
                "worth": real(0, 10),
                "slo_ns": deadlines[n] // draw(st.sampled_from([1, 2, 10**12])),
                "deadline_ns": deadlines[n],
                "effect": draw(st.sampled_from(["at_most_once", "idempotent", "deduplicated", "new"])),
            }
            for n in range(plan_count)
        ],
        "family_info": {
            "rung_kb": [100.0 * (n + 1) * (1 + n) for n in range(rung_count)],
            "worth_by_rung": [(n + 1) / rung_count for n in range(rung_count)],
            "lowest_rung": lowest_rungs,
            "top_by_class": [integer(lowest, 9) for lowest in lowest_rungs],
            "class_seats": [integer(0, 3) for _ in lowest_rungs],
            "scale_by_class": [draw(st.sampled_from([1.0, 0.1, 4.0])) for _ in lowest_rungs],
            "class_live": [draw(st.booleans()) for _ in lowest_rungs],
            "shared_adds": real(0.01, 1),
            "places": draw(st.sampled_from([4, 8, 1, 40])),
            "racks": integer(1, 12),
            "places_by_kind": [integer(0, 50) for _ in range(kind_count)],
            "link_unit_kb": draw(st.sampled_from([10_000.0, 1000.0, 1.0])),
            "rack_kb": draw(st.sampled_from([50_000.0, 0, 500.0])),
            "see_ns": integer(0, 2 * S),
            "reports_every_ns": integer(0, 5 * S),
            "refuses_from": real(0, 2),
            "switch_cost_s": real(0, 2),
            "shortfall_cost": real(0, 10),
        },
        "load_report": {
            "how": draw(st.sampled_from(["answers", "probe", "none"])),
            "fields": draw(st.sampled_from([[], ["x0"], ["active", "cpu"], ["x0", "x1"]])),
        },
        "ceilings": {
            "try_limit": draw(st.sampled_from([5, 9, 2, 1, 0])),
            "retry_after": draw(st.booleans()),
            "probes": draw(st.booleans()),
            "max_retry_after_ns": integer(0, 5 * S),
            "connect_timeout_ns": integer(1, 2 * S),
            "keepalive_ns": integer(1, 60 * S),
            "max_streams": integer(1, 2**20),
        },
        "rules": {
            "cold_ns": integer(0, 60 * S),
            "start_capacity": real(0, 1),
            "tip_multiple": real(0, 5),
            "overload_for_ns": integer(0, 10 * S),
            "drain_grace_ns": integer(0, 3 * S),
            "grace_to_answer_ns": integer(0, 100 * MS),
            "ask_within_ns": integer(0, 10 * S),
            "free_resends": draw(st.sampled_from([3, 1, 0])),
            "repeat_ratio": real(0, 0.3),
            "budget_span_ns": integer(0, 20 * S),
        },
    }


def configured(drawn_settings, sockets=256):
    """Returns the platform's configuration for settings and a limit of sockets."""
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
    """A core in virtual time, with itself as transport, whose streamers answer at random.

    Asserts the rules at every call of the core: one attempt out at a time, no set-up of a non-repeatable
    plan that may have run, rungs, seats and attempts within their limits, one answer by the deadline.
    """

    def __init__(self, configuration, seed):
        self.random, self.now, self.deployment = random.Random(seed), T0, configuration.deployment
        self.core = Core(self.deployment, T0, "n0", configuration.drain_grace, self._watch)
        self.cells, self.layout = configuration.layout.cell_count, configuration.layout
        self.event_numbers, self.events = itertools.count(), []
        self.pending, self.may_have_run, self.playing, self.extra_attempts, self.requests = (
            {},  # playback -> streamer of the attempt that is out
            set(),
            set(),
            [],  # times of attempts after the first
            [],  # times at which playbacks were requested
        )
        self.standing, self.unready_since = {}, {}
        # False: no streamer counts as newly started, as all entries have `started` 0
        self.core.controller.started_without_state = self.random.random() < 0.3
        self.streamer_count = min(10, self.cells + 1)
        self._update_list([self._list_entry(n) for n in range(self.streamer_count)])

    def _watch(self, event, playback, **facts):
        assert event != "fault", facts
        # Playbacks are scanned 50 ms apart, so for a shorter wait the core's own last answer is the only one.
        assert event != "last word" or playback.request.time_left < 300 * MS, "not answered by the controller"

    def _list_entry(self, n, standing=Standing.READY):
        kinds = list(self.deployment.links.places) or ["other"]
        cell = n % self.cells
        return ListEntry(
            n,
            kinds[n % len(kinds)],
            f"z{n % 3}",
            cell,
            self.layout.rack_of(cell),
            standing,
            self.random.choice([0, 0.5, 1, 200]),
            0,
        )

    def _update_list(self, entries):
        for entry in entries:
            self.standing[entry.id] = entry.standing
            if entry.standing is Standing.READY:
                self.unready_since.pop(entry.id, None)
            else:
                self.unready_since.setdefault(entry.id, self.now)
        self.core.list_changed(self.now, entries, False, False)

    # The calls of core.active_playback.StreamerTransport.

    def set_up(self, playback, streamer, rung, timeout):
        """Checks the rules for an attempt and schedules its end, or none if the streamer stays silent."""
        plan = self.deployment.plans[playback.request.plan]
        assert playback not in self.pending and playback not in self.playing, "two attempts out at once"
        assert plan.repeatable or playback not in self.may_have_run, "sent again though it may have run"
        assert plan.floor <= rung <= max(plan.floor, playback.request.top)
        assert self.standing[streamer.id] is Standing.READY, "the streamer drains or is gone"
        assert playback.attempts <= self.deployment.rules.attempt_limit and playback.answer is None
        if playback.attempts > 1:
            self.extra_attempts.append(self.now)
            window_start, rules = (
                self.now - self.deployment.rules.extra_window,
                self.deployment.rules,
            )
            if rules.extra_attempts is not None:
                requests = sum(t > window_start for t in self.requests)
                assert (
                    sum(t > window_start for t in self.extra_attempts)
                    <= rules.extra_attempts + rules.extra_share * requests
                )
        self.pending[playback] = streamer
        seated = [
            other
            for other in [*self.pending, *self.playing]
            if other.request.plan == plan.name and other.request.title == playback.request.title
        ]
        assert not plan.seats or len(seated) <= plan.seats
        ending = self.random.choice([None, None, *ATTEMPT_ENDINGS, "silent"])
        if ending != "silent":
            longest = self.random.choice([100 * MS, 100 * MS, 2 * timeout])
            self._schedule(
                self.random.randrange(longest), self._end_attempt, playback, playback.attempts, ending
            )

    def cancel_attempt(self, playback):
        """Reports the attempt as called off 50 ms later."""
        self._schedule(50 * MS, self._end_attempt, playback, playback.attempts, Ending.CALLED_OFF)

    def set_rung(self, playback, rung):
        """Checks that the rung is one that the plan and the ladder have."""
        assert self.deployment.plans[playback.request.plan].floor <= rung < len(self.deployment.ladder.rates)

    def release_playback(self, playback, streamer):
        """Drops a playback that is over."""
        self.playing.discard(playback)

    def _end_attempt(self, playback, number, ending):
        if playback not in self.pending or playback.attempts != number:
            return
        streamer = self.pending.pop(playback)
        if ending is None and playback.stage is PlaybackStage.ATTEMPTING:
            self.playing.add(playback)
            self.core.set_up_succeeded(self.now, playback, {"link": self.random.random() * 2, "uplink": 0.5})
            self._schedule(self.random.randrange(10 * S), self.end_playback, playback)
            return
        if ending is None or ending.may_have_run:
            self.may_have_run.add(playback)
        report = {"link": 1.5, "streams": 3} if streamer.id % 2 else None
        self.core.attempt_ended(self.now, playback, ending or Ending.CALLED_OFF, report)

    def end_playback(self, playback):
        """Ends what plays, played out or broken."""
        self.core.playback_ended(self.now, playback, self.random.choice([Ending.PLAYED_OUT, Ending.BROKEN]))

    # The simulated day.

    def _schedule(self, after, call, *args):
        heapq.heappush(self.events, (self.now + after, next(self.event_numbers), call, args))

    def request(self):
        """Requests a random playback; returns the list that its one answer is appended to."""
        plan = self.random.choice(list(self.deployment.plans.values()))
        longest = max(1, plan.startup_target)
        time_left = self.random.choice([longest, self.random.randrange(longest) + 1, 5 * S])
        first_cell, holder_count = (
            self.random.randrange(self.cells),
            self.random.randrange(self.cells) + 1,
        )
        request = PlaybackRequest(
            plan.name,
            f"t{self.random.randrange(3)}",
            self.layout.holder_cells(first_cell, holder_count),
            self.random.choice([9, 9, self.random.randrange(10)]),
            time_left,
            self.random.choice([0, 5 * S]),
        )
        # an answer may come within the call of `request_playback`, before the playback is known
        answers, taken = [], []

        def answered(answer):
            assert not answers, "answered twice"
            assert self.now <= taken_at + time_left, "answered after its deadline"
            may_run = taken and taken[0] in self.may_have_run or taken and taken[0] in self.pending
            assert answer.kind is not AnswerKind.REJECTED or plan.repeatable or not may_run, "may have run"
            answers.append(answer)

        taken_at = self.now
        self.requests.append(self.now)
        taken.append(self.core.request_playback(self.now, request, self, answered))
        return answers

    def advance(self, ns):
        """Advances the virtual time by `ns`, running events and the core's timers as they come due."""
        until = self.now + ns
        while True:
            times = [self.events[0][0]] if self.events else []
            if (wake := self.core.next_at()) is not None:
                times.append(max(wake, self.now))
            if not times or min(times) > until:
                break
            self.now = max(self.now, min(times))
            while self.events and self.events[0][0] <= self.now:
                _, _, call, args = heapq.heappop(self.events)
                call(*args)
            self.core.tick(self.now)
        self.now = until

    def play(self, steps):
        """Plays a day of `steps` requests, list changes or pauses; asserts that all got their answer."""
        answers = []
        for _ in range(steps):
            action = self.random.random()
            if action < 0.85 and self.deployment.plans:
                answers.append(self.request())
            elif action < 0.9:
                n = self.random.randrange(self.streamer_count)
                self._update_list([self._list_entry(n, self.random.choice(list(Standing)))])
            self.advance(self.random.choice([0, 0, 50 * MS, 400 * MS]))
        self.advance(30 * S)
        assert all(len(received) == 1 for received in answers), "not answered"
        assert not self.core.unanswered_count and not self.pending


@hypothesis(derandomize=True, database=None, deadline=None, max_examples=150)
@given(drawn(), st.integers(0, 10**6), st.integers(16, 5000))
def test_any_legal_settings_are_read_and_a_day_by_them_keeps_the_rules(drawn_settings, seed, sockets):
    configuration = configured(drawn_settings, sockets)
    assert not configuration.unknown
    Day(configuration, seed).play(80)


@pytest.mark.parametrize("deadline_ms", [60, 120, 240, 1500, 12_000])
def test_short_deadlines_are_served_too(deadline_ms):
    profiles = [{**SETTINGS["profiles"][0], "deadline_ns": deadline_ms * MS, "slo_ns": deadline_ms * MS}]
    family_info = {
        **SETTINGS["family_info"],
        "lowest_rung": [0],
        "top_by_class": [2],
        "class_seats": [0],
        "scale_by_class": [1.0],
        "class_live": [False],
    }
    configuration = configured({**SETTINGS, "profiles": profiles, "family_info": family_info})
    assert 0 < margin(deadline_ms * MS) < deadline_ms * MS / 2
    core = Core(configuration.deployment, T0, "n0", 0)
    core.controller.started_without_state = False
    core.list_changed(T0, [ListEntry(1, "box", "here", 0, 0, Standing.READY, 1, 0)], True, False)
    timeouts = []

    class StreamerTransport:
        def set_up(self, playback, streamer, rung, timeout):
            timeouts.append(timeout)

    core.request_playback(
        T0,
        PlaybackRequest("free", "t", frozenset([0]), 2, deadline_ms * MS, 0),
        StreamerTransport(),
        lambda answer: None,
    )
    assert len(timeouts) == 1 and timeouts[0] > 0
