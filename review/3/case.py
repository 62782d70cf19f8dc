"""Three in ten streamers are lost for 5 s and return cold, while the list is late.

What played there has ended, but the controllers take the streamers for alive, as a new connection to each
comes up, and release nothing to the viewers until the list says that the streamers have started anew.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

import sites
from standins import Deployment, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
CONTROLLERS, STREAMERS, LOST = 2, 12, 3  # "2 to 3 controllers", "12 to 15 video boxes", "three in ten"
LOST_S = 5.0  # "lost for 5 s"
LIST_LATE_S = 2.0 + 10.0  # "seconds behind", and "3.8 to 10 s further behind for 14 to 28 s"
PLAN, WAIT_MS = "repair-clip", 4000
BOUND_S = 8.0 + 0.05  # "within 8 s of its end if no release could be sent"; 50 ms on sockets
FIGURES = "home:0;copies:12;top:4;viewer:00000000b4d65521"


async def play(record, temporary, trouble):
    """Play the case; return the breaches."""
    site = Deployment(record, temporary, sites.windhoek(), CONTROLLERS)
    try:
        site.add_streamers(STREAMERS, "windhoek-room", ["small-2core"], 4.0, 0.3)
        await site.start(PLAN, WAIT_MS, FIGURES)
        await asyncio.sleep(1)
        for n in range(16):  # new playbacks, 1.5 a second
            viewers = site.viewers[n % CONTROLLERS]
            viewers.ask(viewers.links[0], PLAN, WAIT_MS, f"{0x1000 + n:016x}", FIGURES)
            await asyncio.sleep(0.6)
        lost = site.streamers[:LOST]
        while not 0.1 < record.now() - lost[0].noted_at < 0.2:  # shortly after a note
            await asyncio.sleep(0.02)
        began = record.now()
        if trouble:
            await asyncio.gather(*[streamer.vanish() for streamer in lost])
            await asyncio.sleep(began + LOST_S - record.now())
            for streamer in lost:
                streamer.return_cold()
        await asyncio.sleep(began + LOST_S + LIST_LATE_S - record.now())
        if trouble:
            site.publish(lost)
        await asyncio.sleep(3)
        site.check_processes()
        breaches = []
        for streamer in site.streamers:
            for session in streamer.sessions.values():
                request = next(v.requests[session.id] for v in site.viewers if session.id in v.requests)
                if session.ended_by != "cut" or request.answer != "stands":
                    continue
                took = None if request.over_at is None else request.over_at - session.ended_at
                record("case", f"{session.id.hex()} at {streamer.name}: released {took} s after its end")
                if took is None or took > BOUND_S:
                    breaches.append(
                        f"session {session.id.hex()} at {streamer.name} has ended and was "
                        + ("never released" if took is None else f"released {took:.2f} s later")
                    )
        return breaches
    finally:
        site.stop()


run_case(FOLDER, play)
