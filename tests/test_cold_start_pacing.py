"""All controllers together keep a just started streamer within its cold pace, each with its own list."""

import random
from dataclasses import replace

import pytest
from helpers import MS, SECOND, START, deployment, list_entry

from terndrift.decide import Controller, State

COLD_ID, STEP, SETUP_TIME = 100, 50 * MS, 100 * MS


class Fleet:
    """Controllers that exchange no messages; one streamer starts, the only holder of all requested titles.

    The streamer starts `idle` s after the controllers. Over all controllers `rate` playbacks a second are
    requested, and `wave` more a second in the 4 s after the start. The list reaches each controller up to 3 s
    late. `restarts` of them restart within 6 s of the start, with no state but the list.
    """

    def __init__(self, seed, size, rate, wave, restarts, idle):
        self.random, self.size, self.rate, self.wave = random.Random(seed), size, rate, wave
        self.start, self.now, self.requested, self.setup_times = START + idle * SECOND, START, 0, []
        self.deployment = deployment(controllers=size)
        self.controllers = [self._new_controller(rank) for rank in range(size)]
        self.list_due = [self.start + int(self.random.random() * 3 * SECOND) for _ in range(size)]
        restarting = self.random.sample(range(size), restarts)
        self.restarts = {rank: self.start + int(self.random.random() * 6 * SECOND) for rank in restarting}
        self.out = []  # set-ups in progress: (when it succeeds, rank, playback)

    def _new_controller(self, rank, entries=()):
        own_deployment = replace(self.deployment, rank=rank, seed=self.random.getrandbits(32))
        controller = Controller(own_deployment, self.now)
        controller.started_without_state = bool(entries)  # after a restart any streamer may be new
        controller.list_changed(self.now, list(entries), True, bool(entries))
        return controller

    def run(self):
        """Run until the streamer is warm and return the time of each set-up sent to it."""
        entry = list_entry(COLD_ID, started=self.start)
        while self.now < self.start + self.deployment.rules.cold_for - STEP:
            self.now += STEP
            for rank in range(self.size):
                if self.now >= self.restarts.get(rank, self.now + 1):
                    del self.restarts[rank]
                    self.list_due[rank], self.controllers[rank] = 0, self._new_controller(rank, [entry])
                elif 0 < self.list_due[rank] <= self.now:
                    self.list_due[rank] = 0
                    self._record_setups(
                        self.controllers[rank].list_changed(self.now, [entry], False, False), rank
                    )
                self._record_setups(self._request_playbacks(rank), rank)
                if (at := self.controllers[rank].wake_at) is not None and self.now >= at:
                    self._record_setups(self.controllers[rank].wake(self.now), rank)
            self._finish_setups()
        return self.setup_times

    def _request_playbacks(self, rank):
        wave = self.wave if self.start <= self.now < self.start + 4 * SECOND else 0
        chance = (self.rate + wave) / self.size * STEP / SECOND
        changed = []
        while self.random.random() < chance:
            chance -= 1
            self.requested += 1
            id, title = f"pb{self.requested}", f"t{self.requested % 50}"
            changed += self.controllers[rank].request_playback(
                self.now, id, "free", title, frozenset([0]), 3, 4 * SECOND, 0, False
            )
        return changed

    def _record_setups(self, changed, rank):
        for playback in changed:
            if playback.state is State.ATTEMPTING and not any(one is playback for _, _, one in self.out):
                self.setup_times.append(self.now)
                self.out.append((self.now + SETUP_TIME, rank, playback))

    def _finish_setups(self):
        due, self.out = [o for o in self.out if o[0] <= self.now], [o for o in self.out if o[0] > self.now]
        for _, rank, playback in due:
            if (
                self.controllers[rank].playbacks.get(playback.id) is playback
                and playback.state is State.ATTEMPTING
            ):
                self.controllers[rank].set_up_succeeded(self.now, playback.id, SETUP_TIME)


def most_in_a_window(setup_times, window):
    """Return the most set-ups in any window of this length, in ns."""
    return max((sum(start <= t < start + window for t in setup_times) for start in setup_times), default=0)


@pytest.mark.parametrize("size", [20, 30])
@pytest.mark.parametrize(
    "load",
    [
        dict(rate=20, wave=60, restarts=0, idle=0),
        dict(rate=20, wave=60, restarts=15, idle=0),
        dict(rate=3, wave=60, restarts=10, idle=30),
        dict(rate=0, wave=60, restarts=0, idle=120),
    ],
    ids=["wave", "wave and restarts", "wave after thin traffic", "wave after two idle minutes"],
)
def test_set_ups_at_a_cold_streamer_stay_within_the_budget_and_its_random_spread(size, load):
    """In a window the budget is N set-ups; 2 square roots of N and 2 more are allowed as random spread.

    N is computed with the least warmth of the settings for the whole warm-up.
    """
    rules, most_per_seed = deployment().rules, []
    for seed in range(20):
        most_per_seed.append(most_in_a_window(Fleet(seed, size, **load).run(), rules.fall_window))
    places = deployment().links.places["box"]
    budget = rules.fall_multiple * places * rules.cold_share * rules.fall_window / rules.cold_for
    assert max(most_per_seed) <= budget + 2 * budget**0.5 + 2, most_per_seed
    assert min(most_per_seed) >= 1, "the streamer got no set-up"
