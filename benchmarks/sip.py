"""What SIP costs: a message read and written, calls a second on one process, memory a call.

python -m benchmarks.sip [--calls 2000]
"""

import gc
import hashlib
import itertools
import json
import time
import tracemalloc

import click

from terndrift.sip import sdp
from terndrift.sip.bridge import Asked, Bridge
from terndrift.sip.message import read
from terndrift.sip.transaction import Times
from terndrift.standin.phone import Caller, Peer, Room, offer

MS, SECOND = 1_000_000, 1_000_000_000
T1 = 500 * MS


class Nobody:
    def note(self, what, **facts):
        pass


class User:
    """Places every call at the one room: what the stack itself costs, without the decisions."""

    def __init__(self, room):
        self.room, self.bridge = Peer(room), None

    def wanted(self, now, call):
        body = sdp.with_bits(sdp.read(call.invite.body), 200_000).encode()
        call.leg = self.bridge.dial(now, f"sip:room@{self.room.address}", self.room, body, call)

    def leg_up(self, now, leg):
        if leg.about.state is Asked.ASKED:
            leg.about.accept(now, leg.answer.body)

    def leg_over(self, now, leg, why, code):
        leg.about.decline(now, 503)

    def leg_ended(self, now, leg, why):
        leg.about.end(now)

    def left(self, now, call):
        call.leg.end(now)


def median(values):
    return sorted(values)[len(values) // 2]


def parse_cost():
    caller = Caller("10.0.0.1:5060", Nobody(), "10.0.0.2:5060", "room", "v", 900_000, SECOND, SECOND)
    caller.call(0)
    data, costs = caller.out[0][1], {"read": [], "write": [], "description": []}
    message, body = read(data), offer("10.0.0.1", 900_000)
    for _ in range(30):
        for name, work in (
            ("read", lambda: read(data)),
            ("write", message.encode),
            ("description", lambda: sdp.read(body).encode()),
        ):
            began = time.perf_counter()
            for _ in range(100):
                work()
            costs[name].append((time.perf_counter() - began) * 10_000)
    return {"bytes": len(data), **{f"{name}_us": round(median(c), 1) for name, c in costs.items()}}


def made(count):
    """A media server with room for so many calls, and our side beside it."""
    counter = itertools.count()
    room = Room("10.0.0.9:5060", Nobody(), 1, places=10 * count)
    user = User(room.address)
    user.bridge = Bridge(
        user,
        Times(T1, 8 * T1, 10 * T1),
        ("10.0.0.2", 5060),
        "<sip:10.0.0.2:5060>",
        lambda n: hashlib.sha256(str(next(counter)).encode()).digest()[:n],
        1800 * SECOND,
    )
    return room, user.bridge


def calls(count):
    """Calls set up, and then hung up, in hand-driven time; our side's CPU alone is counted."""
    room, ours = made(count)
    callers = {f"10.1.{n // 250}.{n % 250}:5060": None for n in range(count)}
    for n, address in enumerate(callers):
        callers[address] = Caller(
            address, Nobody(), "10.0.0.2:5060", "room", f"v{n}", 900_000, 8 * SECOND, 60 * SECOND
        )
    spent, now = 0, 1000 * SECOND

    def moved(agents):
        """Delivers what is in flight until nothing is."""
        nonlocal spent
        while True:
            flying = [(a.address, target, data) for a in agents for target, data in a.out]
            for a in agents:
                a.out.clear()
            back = [(peer.address, data) for peer, data in ours.out]
            ours.out.clear()
            if not flying and not back:
                return
            began = time.process_time_ns()
            for source, _, data in flying:
                ours.received(now, read(data), Peer(source))
            spent += time.process_time_ns() - began
            for target, data in back:
                (room if target == room.address else callers[target]).datagram(now, data, "10.0.0.2:5060")

    def each(what):
        nonlocal now
        for caller in callers.values():
            now += MS
            what(caller)
            moved((caller, room))
            now += 25 * MS
            room.tick(now)
            moved((caller, room))

    gc.collect()
    each(lambda c: c.call(now))
    up, setting_up = sum(c.state == "up" for c in callers.values()), spent
    spent = 0
    each(lambda c: c.hang_up(now))
    return up, setting_up, spent


def held(count):
    """(calls that stand, their bytes in all, the bridge): what is left once their set-up is over."""
    room, ours = made(count)
    now, kept = 1000 * SECOND, []
    base = tracemalloc.get_traced_memory()[0]
    used = 0
    for n in range(count):
        caller = Caller(
            f"10.1.{n // 250}.{n % 250}:5060",
            Nobody(),
            "10.0.0.2:5060",
            "room",
            f"v{n}",
            900_000,
            8 * SECOND,
            60 * SECOND,
        )
        caller.call(now)
        for _ in range(6):
            for agent in (caller, room):
                sending, agent.out[:] = list(agent.out), []
                for _, data in sending:
                    ours.received(now, read(data), Peer(agent.address))
            for peer, data in ours.out:
                (room if peer.address == room.address else caller).datagram(now, data, "10.0.0.2:5060")
            ours.out.clear()
            now += 25 * MS
            room.tick(now)
        kept.append(caller.state)
    # transactions of the set-up end by themselves in 64 T1: what a call keeps for good is what is left then
    now += 70 * SECOND
    room.legs.clear(), room.known.clear(), room.alarms.clear()
    ours.tick(now)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - base
    return len(ours.sides) // 2, used, ours


@click.command()
@click.option("--calls", "count", default=2000, show_default=True)
def main(count):
    up, setting_up, ending = calls(count)
    tracemalloc.start()
    stands, used, _ = held(500)
    tracemalloc.stop()
    click.echo(
        json.dumps(
            {
                "message": parse_cost(),
                "calls": up,
                "cpu_us_a_call": {
                    "set_up": round(setting_up / up / 1000),
                    "hang_up": round(ending / up / 1000),
                },
                "calls_a_second_on_one_core": round(1e9 / ((setting_up + ending) / up)),
                "calls_standing": stands,
                "bytes_a_call": round(used / stands) if stands else None,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()
