"""The demo: a controller, three stand-in streamers and one title in one process."""

import asyncio
import os
import signal
import tempfile

from terndrift import records, service
from terndrift.http.client import Pool, fetch
from terndrift.standin.fleet import Fleet, write_list
from terndrift.standin.player import Player

DEPLOYMENT = """
deployment: {
	plans: recorded: {startup_target: 800ms, abandon: 3s}
	ladder: {rates: [25kB/s, 50kB/s, 100kB/s, 200kB/s], revenue: [0.25, 0.5, 0.75, 1.0]}
	links: {unit: 2MB/s, uplink: 4MB/s, places: box: 40}
	titles: "shelving": {plan: "recorded", seconds: 10}
}
"""
FLEET = (
    DEPLOYMENT
    + """
uplinks: {"0": 4MB/s, "1": 2MB/s}
streamers: {
	"a": {id: 1, rack: 0, kind: "box", link: 2MB/s}
	"b": {id: 2, rack: 0, kind: "box", link: 2MB/s}
	"c": {id: 3, rack: 1, kind: "box", link: 2MB/s}
}
"""
)


class Quiet:
    def note(self, what, **facts):
        pass


async def run(say, seconds, try_it):
    """Until SIGTERM, for `seconds`, or (`try_it`) until the title was played once; the exit code."""
    fleet = Fleet(records.loads(FLEET, "fleet", "<demo>"))
    fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        write_list(os.path.join(folder, "list.rec"), fleet.lines())
        front = os.path.join(folder, "front.rec")
        with open(front, "w", encoding="utf-8") as file:
            file.write(DEPLOYMENT + 'controller: name: "demo"\nlist: "list.rec"\nlog: level: "warning"\n')
        controller = service.Service(service.read(front))
        await controller.start()
        say(f"http://{controller.address}/v/shelving/main.m3u8")
        code = 0
        if try_it:
            code = await _try(say, controller.address)
        else:
            await _until(seconds)
        await controller.close()
        fleet.stop()
    return code


async def _until(seconds):
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if seconds:
        loop.call_later(seconds, stop.set)
    await stop.wait()


async def _try(say, address):
    pool = Pool()
    code, headers, _ = await fetch(
        pool,
        address,
        "GET",
        "/v/shelving/main.m3u8",
        {"CMCD-Session": 'sid="demo"', "CMCD-Object": "tb=1600"},
    )
    say(f"set-up answered {code}, {headers.get('CMSD-Dynamic')}")
    seen = await Player(lambda: address, "shelving", Quiet(), pool, seconds=10.0).watch()
    say(f"a player saw {seen:.0f} s of the title")
    pool.close()
    return 0 if code == 200 and seen >= 10 else 1
