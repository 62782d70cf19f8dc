"""An answer stops short while playbacks set up on the same connection come to their end."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from deployment import TROUBLE, Streamer, main, need  # noqa: E402

BOUND = 8.0 + 0.05  # s after its end by which a playback must be released towards its viewer


async def case(site):
    """Returns a line for each playback that is over, and whose viewer was not told in time."""
    streamers = [Streamer(site, f"s-0000000{n}", n) for n in range(3)]
    one, ends, short = streamers[0], {}, set()
    for streamer in streamers:
        streamer.length = lambda session: ends[session.id] - time.monotonic() if session.id in ends else 60.0
        streamer.spoil = lambda session: session.id in short
    await site.start_feed(*streamers)
    controller = await site.start_controller()
    await asyncio.sleep(6)  # the streamers count as warm
    viewers = [await controller.viewers() for _ in range(3)]
    # the title lies on one streamer; a few viewers ask for it at once, the others one by one
    requests = [viewer.set_up() for viewer in viewers]
    await asyncio.sleep(0.5)
    for n in range(15):
        request = viewers[n % 3].set_up()
        requests.append(request)
        ends[request.id] = request.sent_at + 6.0
        await asyncio.sleep(0.3)
    need(all(request.plays() for request in requests), "not all playbacks were set up")
    need(len(one.connections) > 1, "the controller made one connection for three set-ups")
    # meanwhile the first of them come to their end, one every 0.3 s
    await asyncio.sleep(2)
    for n in range(12):
        request = viewers[n % 3].set_up()
        requests.append(request)
        if n == 1 and TROUBLE:
            short.add(request.id)
        await asyncio.sleep(1)
    await asyncio.sleep(3)
    broken, now = [], time.monotonic()
    for session in [session for session in one.past if session.why == "ended"]:
        request = site.requests[session.id]
        if request.plays() and (request.over_at or now) - session.over_at > BOUND:
            told = f"after {request.over_at - session.over_at:.1f} s" if request.over_at else "not yet"
            broken.append(
                f"{session.id.hex()} ended at {one.name} {now - session.over_at:.1f} s ago;"
                f" its viewer was told {told}"
            )
    return broken


main(Path(__file__).parent, case)
