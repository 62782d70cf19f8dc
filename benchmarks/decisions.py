"""What a decision costs, in process: floods and a steady stream, at several sizes. No sockets.

python -m benchmarks.decisions [--streamers 120] [--live 1000] [--wanted 2000]
"""

import random
import time

import click

from terndrift.decide import Controller, State
from terndrift.interface import Deployment, Ending, Ladder, Links, ListEntry, Plan, Rules, Standing

MS, S = 1_000_000, 1_000_000_000


def deployment(controllers=8):
    plans = {
        "free": Plan("free", 1.0, 1.0, 0, 3, 0, S, True),
        "paid": Plan("paid", 2.0, 1.2, 1, 3, 0, S, False),
    }
    rules = Rules(40 * MS, 10 * S, 0.4, 3.0, 2 * S, 4, 5, 0.1, 10 * S, S, False, False)
    ladder = Ladder((100.0, 200.0, 400.0, 800.0), (0.25, 0.5, 0.75, 1.0), 6.0, S // 2)
    return Deployment(
        7, 0, controllers, "here", plans, ladder, Links(5000.0, 35000.0, {"box": 60}, S, 0.0), rules
    )


class Bench:
    def __init__(self, streamers, racks, controllers=8):
        self.now, self.n, self.costs, self.chance = 1000 * S, 0, [], random.Random(3)
        self.c = Controller(deployment(controllers), self.now)
        self.c.started_without_state = False
        entries = [
            ListEntry(1000 + i, "box", "here", i, i % racks, Standing.READY, 1.0, 0) for i in range(streamers)
        ]
        self.all = frozenset(range(streamers))
        self.c.list_changed(self.now, entries, True, False)

    def call(self, f, *args, **kw):
        began = time.perf_counter_ns()
        out = f(self.now, *args, **kw)
        self.costs.append(time.perf_counter_ns() - began)
        return out

    def want(self, cells=None):
        self.n += 1
        id = f"p{self.n}"
        self.call(
            self.c.request_playback,
            id,
            "paid" if self.n % 4 == 0 else "free",
            f"t{self.n % 50}",
            self.all if cells is None else cells,
            3,
            3 * S,
            20 * S,
            False,
        )
        return id

    def settle(self):
        """Every set-up that is out comes to play, and its streamer tells of its link."""
        for pb in [p for p in self.c.pending if p.state is State.ATTEMPTING]:
            self.c.set_up_succeeded(self.now, pb.id, 50 * MS)
            self.c.utilisation_reported(
                self.now, pb.id, pb.streamer.entry.id, self.chance.uniform(0.2, 0.8), None
            )

    def some_end(self, count):
        playing = [p for p in self.c.playbacks.values() if p.state is State.PLAYING]
        for pb in self.chance.sample(playing, min(count, len(playing))):
            self.call(self.c.attempt_ended, pb.id, Ending.PLAYED_OUT, 9 * S, True, pb.streamer.entry.id, {})

    def told(self):
        costs, self.costs = sorted(self.costs), []
        p50, p99, most = costs[len(costs) // 2], costs[int(len(costs) * 0.99)], costs[-1]
        return f"p50 {p50 / 1000:.0f} us, p99 {p99 / 1000:.0f} us, most {most / 1000:.0f} us"


@click.command()
@click.option("--streamers", default=120)
@click.option("--racks", default=15)
@click.option("--live", default=1000)
@click.option("--wanted", default=2000)
def main(streamers, racks, live, wanted):
    bench = Bench(streamers, racks)
    while sum(p.state is State.PLAYING for p in bench.c.playbacks.values()) < live and bench.n < 4 * live:
        for _ in range(10):
            bench.want()
        bench.settle()
        bench.now += 50 * MS
        bench.c.wake(bench.now)
    bench.costs.clear()
    click.echo(f"{streamers} streamers, {racks} racks, {live} live")
    for _ in range(wanted // 10):
        bench.now += 50 * MS
        for _ in range(10):
            bench.now += 10_000
            bench.want()
        bench.call(bench.c.wake)
        bench.settle()
        bench.some_end(10)
    click.echo("steady, 200 a second: a call " + bench.told())
    began = time.perf_counter()
    for _ in range(wanted):
        bench.want()
    click.echo(f"flood of {wanted} at once: {(time.perf_counter() - began) / wanted * 1e6:.0f} us each")
    bench.costs.clear()
    for _ in range(50):
        bench.now += 50 * MS
        bench.call(bench.c.wake)
    click.echo("scans after it: " + bench.told())


if __name__ == "__main__":
    main()
