"""Work on machines in virtual time: a fleet in an arena that places playbacks while machines go in turn, and
workers that touch what they may. For tests, and for the figures in `docs/fleet.md`."""

import random

from terndrift.fleet import work
from terndrift.fleet.arena import Arena
from terndrift.fleet.room import Machine
from terndrift.fleet.work import State

SECOND = 1_000_000_000
NAMES = [f"c{n}" for n in range(6)]
VOTERS = NAMES[:3]


def plan(machines, **more):
    return {
        "machines": list(machines),
        "needs": 4 * SECOND,
        "drain": 6 * SECOND,
        "warm": 2 * SECOND,
        "most": 2,
        "most_rack": 1,
        "most_zone": 0,
        "ready_share": 0.5,
        "holders": 1,
        "urgency": 0,
        "why": "",
        **more,
    }


class Site:
    """Streamers in racks, controllers that place where they may, workers with permits."""

    def __init__(self, seed=1, names=NAMES, voters=VOTERS, streamers=8, racks=4, rate=0.3, **more):
        self.names, self.rate = names, rate  # rate: chance of a controller to place in a tenth of a second
        self.arena = Arena(names, voters, seed, **more)
        self.chance = random.Random(f"site/{seed}")
        # name -> [rack, whether it is there, start]
        self.standing = {f"s{n}": [n % racks, True, 0] for n in range(streamers)}
        self.plays = {n: [] for n in names}  # controller -> [(machine, until)]
        self.touched, self.wrong, self.out = {}, [], {}  # (machine, step) -> when; what must not be; -> until
        self.most_out, self.placed = 0, 0
        self.looked = {}  # controller -> how far its record was read
        self.arena.start()
        for name in names:
            self.host(name)
        assert self.arena.until(self.arena.settled, 30) is not None
        self.arena.call("c0", "restart", None)
        followers = [c.follower for c in self.arena.up.values()]

        def all_in():
            return all(len(f.state["voters"]) == len(voters) for f in followers)

        assert self.arena.until(all_in, 30) is not None

    def host(self, name):
        c = self.arena.up[name]
        c.machines = self.machines
        c.holding = lambda names: {m: sum(p[0] == m for p in self.plays[name]) for m in names}

    def machines(self):
        return {
            n: Machine(n, rack, "", 1.0, there, started, frozenset())
            for n, (rack, there, started) in self.standing.items()
        }

    def state(self, through=None):
        rows = work.rows(self.arena.up[through or self.names[-1]].follower.state)
        return {m: State(row["state"]) for m, row in rows.items()}

    def add(self, name, value, through="c4"):
        id, what = work.added(self.arena.up[through].follower.state, value, name, "ops")
        self.arena.call(through, "propose", id, what)
        assert self.arena.until(lambda: id in self.arena.up[through].follower.state["ids"], 20) is not None

    def go(self, seconds, until=lambda: False):
        """Lets time pass: controllers place, playbacks end, workers touch what they may and start it anew."""
        for _ in range(int(seconds * 10)):
            self.arena.run(0.1)
            self._place()
            self._touch()
            if until():
                return True
        return False

    def _place(self):
        now = self.arena.now
        for name, c in self.arena.up.items():
            if name in self.arena.stopped:
                continue
            self.plays[name] = [p for p in self.plays[name] if p[1] > now]
            off, may = c.off(now)
            there = [m for m, (_, up, _) in self.standing.items() if up and m not in off]
            if may and there and self.chance.random() < self.rate:
                self.placed += 1
                until = now + int(self.chance.uniform(1, 4) * SECOND)
                self.plays[name].append((self.chance.choice(there), until))

    def _touch(self):
        now = self.arena.now
        for machine, until in list(self.out.items()):
            if now >= until:
                del self.out[machine]
                self.standing[machine][1:] = True, now
        permits = set()
        for name, c in self.arena.up.items():
            if self.looked.get(name) != c.follower.last:
                self.looked[name] = c.follower.last
                permits |= {
                    (m, row["n"])
                    for m, row in work.rows(c.follower.state).items()
                    if row["state"] == State.OUT.value and m in self.standing
                }
        permits -= self.touched.keys()
        for machine, n in sorted(permits):
            self.touched[machine, n] = now
            held = [
                n
                for n, plays in self.plays.items()
                if any(p[0] == machine for p in plays) and n in self.arena.up
            ]
            if held:
                self.wrong.append(f"{machine} touched while {held} play there")
            self.standing[machine][1] = False
            self.out[machine] = now + 2 * SECOND
        self.most_out = max(self.most_out, sum(not up for _, up, _ in self.standing.values()))
        for name, plays in self.plays.items():
            placed = [m for m, _ in plays if m in self.out]
            if placed and name in self.arena.up:
                self.wrong.append(f"{name} has {placed} which is out")
                self.plays[name] = [p for p in plays if p[0] not in self.out]

    def done(self):
        states = self.state()
        return bool(states) and all(s in work.ENDED for s in states.values())
