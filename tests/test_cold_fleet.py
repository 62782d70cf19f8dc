"""The ramp of a streamer that just started holds for the sum of all controllers, each on its own list."""

import random
from dataclasses import replace

import pytest
from helpers import MS, T0, S, deployment, line

from terndrift.decide import Controller, State

COLD, STEP, ANSWER = 100, 50 * MS, 100 * MS


class Fleet:
    """Controllers without a word between them; one streamer starts, and alone holds what all ask for.

    `rate` playbacks a second come over all of them, `wave` more in the 4 s after the start; the list reaches
    each up to 3 s late; `restarts` of them begin anew at some time, without memory but for what the list
    says."""

    def __init__(self, seed, size, rate, wave, restarts, idle):
        self.random, self.size, self.rate, self.wave = random.Random(seed), size, rate, wave
        self.start, self.now, self.count, self.sends = T0 + idle * S, T0, 0, []
        self.rules = deployment(controllers=size)
        self.controllers = [self._made(rank) for rank in range(size)]
        self.told = [self.start + int(self.random.random() * 3 * S) for _ in range(size)]
        some = self.random.sample(range(size), restarts)
        self.restarts = {rank: self.start + int(self.random.random() * 6 * S) for rank in some}
        self.out = []  # (when it comes to play, controller, playback)

    def _made(self, rank, rows=()):
        own = replace(self.rules, rank=rank, seed=self.random.getrandbits(32))
        controller = Controller(own, self.now)
        controller.began_empty = bool(rows)  # a restart may be of all
        controller.list_changed(self.now, list(rows), True, bool(rows))
        return controller

    def play(self):
        """Until the streamer is warm; returns when each set-up was sent to it."""
        row = line(COLD, started=self.start)
        while self.now < self.start + self.rules.rules.cold_for - STEP:
            self.now += STEP
            for rank in range(self.size):
                if self.now >= self.restarts.get(rank, self.now + 1):
                    del self.restarts[rank]
                    self.told[rank], self.controllers[rank] = 0, self._made(rank, [row])
                elif 0 < self.told[rank] <= self.now:
                    self.told[rank] = 0
                    self._did(self.controllers[rank].list_changed(self.now, [row], False, False), rank)
                self._did(self._asked(rank), rank)
                if (at := self.controllers[rank].wake_at) is not None and self.now >= at:
                    self._did(self.controllers[rank].wake(self.now), rank)
            self._answered()
        return self.sends

    def _asked(self, rank):
        wave = self.wave if self.start <= self.now < self.start + 4 * S else 0
        chance = (self.rate + wave) / self.size * STEP / S
        changed = []
        while self.random.random() < chance:
            chance -= 1
            self.count += 1
            id, title = f"pb{self.count}", f"t{self.count % 50}"
            changed += self.controllers[rank].wanted(
                self.now, id, "free", title, frozenset([0]), 3, 4 * S, 0, False
            )
        return changed

    def _did(self, changed, rank):
        for pb in changed:
            if pb.state is State.TRYING and not any(one is pb for _, _, one in self.out):
                self.sends.append(self.now)
                self.out.append((self.now + ANSWER, rank, pb))

    def _answered(self):
        due, self.out = [o for o in self.out if o[0] <= self.now], [o for o in self.out if o[0] > self.now]
        for _, rank, pb in due:
            if self.controllers[rank].playbacks.get(pb.id) is pb and pb.state is State.TRYING:
                self.controllers[rank].playing(self.now, pb.id, ANSWER)


def most_in_a_window(sends, window):
    return max((sum(at <= t < at + window for t in sends) for at in sends), default=0)


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
def test_a_cold_streamer_gets_what_the_settings_allow_and_chance_adds_from_all_together(size, load):
    """Beyond their budget of N set-ups in a window 2 roots of N and 2 are put down to chance. N is reckoned
    with the least warmth that the settings tell, all along."""
    rules, worst = deployment().rules, []
    for seed in range(20):
        worst.append(most_in_a_window(Fleet(seed, size, **load).play(), rules.fall_window))
    places = deployment().links.places["box"]
    budget = rules.fall_multiple * places * rules.cold_share * rules.fall_window / rules.cold_for
    assert max(worst) <= budget + 2 * budget**0.5 + 2, worst
    assert min(worst) >= 1, "it is filled at all"
