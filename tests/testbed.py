"""Integration fixture: a controller, stand-in streamers and players in one process, over real sockets.

`in_testbed` runs a test coroutine within a `Testbed`. The files of a testbed live in a temporary folder.
"""

import asyncio
import os
import socket
import tempfile
import time

from terndrift import records, service
from terndrift.audit import judge
from terndrift.audit.facts import Facts
from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.standin import ledger as ledgers
from terndrift.standin.fleet import Fleet, write_list
from terndrift.standin.player import Player

DEPLOYMENT_TEXT = """
deployment: {
	plans: free: {startup_target: 400ms, abandon: 1500ms}
	plans: paid: {startup_target: 500ms, abandon: 1s, floor: 1, repeatable: false}
	plans: seated: {startup_target: 400ms, abandon: 1s, seats: 2}
	ladder: {rates: [25kB/s, 50kB/s, 100kB/s, 200kB/s], revenue: [0.25, 0.5, 0.75, 1.0]}
	links: {unit: 2MB/s, uplink: 4MB/s, places: box: 40, lag: 300ms}
	rules: {drain_grace: 300ms, cold_for: 2s, extra_tries: 50, fall_window: 500ms}
	titles: "clip": {plan: "free", seconds: 2}
	titles: "long": {plan: "free", seconds: 30}
	titles: "lesson": {plan: "paid", seconds: 2}
	titles: "seat": {plan: "seated", seconds: 30}
	titles: "first": {plan: "free", seconds: 2, holders: [1]}
	segment: 200ms
}
"""


class Testbed:
    """A running controller (`service`) with `streamers` stand-in streamers on two racks (`fleet`).

    `extra_settings` is text appended to the controller's settings file, `customize_service` a callable that
    gets the service before it starts and may replace parts of it. `log_entries` collects the log as (level,
    event, facts).
    """

    __test__ = False  # pytest would collect the class where it is imported, because of its name
    list_file = "list.rec"

    def __init__(self, streamers=3, extra_settings="", customize_service=None):
        self.folder = tempfile.TemporaryDirectory()
        self.streamers, self.extra_settings, self.customize_service = (
            streamers,
            extra_settings,
            customize_service,
        )
        self.pool, self.log_entries = Pool(), []

    def path(self, name):
        """Return the path of a file in the testbed's folder."""
        return os.path.join(self.folder.name, name)

    async def __aenter__(self):
        streamer_rows = "".join(
            f'streamers: "s{n}": {{id: {n}, rack: {n % 2}, kind: "box", link: 2MB/s}}\n'
            for n in range(self.streamers)
        )
        text = (
            DEPLOYMENT_TEXT
            + f'uplinks: {{"0": 4MB/s}}\nledger: "{self.path("fleet.jsonl")}"\n'
            + streamer_rows
        )
        self.fleet = Fleet(records.loads(text, "fleet"))
        self.fleet.start()
        self.player_ledger, self.test_notes = ledgers.Ledger(self.path("seen.jsonl")), []
        self.standings, self.start_times = {}, {}
        self.write_list()
        await self.start_controller()
        return self

    async def start_controller(self, listen="127.0.0.1:0"):
        """Write the settings file and start the controller; also starts it again after a test closed it."""
        store_setting = "" if "store:" in self.extra_settings else 'catalogue: store: "c0.store"'
        with open(self.path("front.rec"), "w", encoding="utf-8") as file:
            file.write(
                DEPLOYMENT_TEXT + f'controller: name: "c0"\nlist: "{self.list_file}"\nlist_poll: 20ms\n'
                f'http: listen: "{listen}"\n{store_setting}\n{self.extra_settings}\n'
            )
        self.service = service.Service(
            service.read(self.path("front.rec")), log=RecordingLog(self.log_entries)
        )
        if self.customize_service:
            self.customize_service(self.service)
        # A controller that starts with nothing known assumes that the streamers may have just started too.
        # Tests of that case set the flag again themselves.
        self.service.core.controller.started_without_state = False
        await self.service.start()
        self.address = self.service.address
        self.record_event("controller up", name="c0", address=self.address)

    async def __aexit__(self, *_):
        await self.service.close()
        self.fleet.stop()
        self.pool.close()
        self.player_ledger.flush()

    def record_event(self, event, **facts):
        """Record what the test itself did, for the audit."""
        self.test_notes.append({"what": event, "t": time.monotonic_ns(), **facts})

    def write_list(self, **standing):
        """Write the server list. `standing`: changes by streamer, as in `s0="draining"`; they persist."""
        self.standings.update({int(key[1:]): value for key, value in standing.items()})
        write_list(self.path("list.rec"), self.fleet.lines(), self.start_times, self.standings)
        for name, state in standing.items():
            self.record_event("listed", streamer=int(name[1:]), standing=state)

    async def list_in_force(self):
        """Wait until the controller has taken up the list as last written."""
        version = self.service.listing.version
        while self.service.listing.version == version:
            await asyncio.sleep(0.01)

    async def request_playback(self, title="clip", headers=None, timeout_s=5.0, path=None):
        """Request a playback; return (code, headers, body, duration in s).

        `timeout_s`: timeout in s. Code 0: the connection could not be made or broke; the body is then the
        error.
        """
        started_at = time.monotonic()
        try:
            response = await fetch(
                self.pool, self.address, "GET", path or f"/v/{title}/main.m3u8", headers, within=timeout_s
            )
        except (Broken, Unreached) as error:
            response = (0, {}, str(error).encode())
        return (*response, time.monotonic() - started_at)

    def player(self, title="clip", visit="", **player_options):
        """Return a stand-in player that gives up as the title's plan says ("free" for unknown titles)."""
        known_title = self.service.titles.find(title)
        plan = known_title.plan if known_title else "free"
        abandon = self.service.value["deployment"]["plans"][plan]["abandon"] / 1e9
        return Player(
            lambda: self.address, title, self.player_ledger, self.pool, visit, plan, abandon, **player_options
        )

    async def run_viewers(self, visit_prefix, done):
        """Run viewers of a short title, one after the other, until the container `done` is not empty."""
        viewer_count = 0
        while not done:
            viewer_count += 1
            await self.player("clip", f"{visit_prefix}{viewer_count}", seconds=0.2).watch()

    def send_raw(self, data):
        """Return a socket connected to the controller that has sent `data`; the caller closes it."""
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(data)
        return sock

    def streamer_events(self, event=None):
        """Return the streamers' ledger entries, of one event or all."""
        self.fleet.ledger.flush()
        return [n for n in ledgers.read(self.path("fleet.jsonl")) if event in (None, n["what"])]

    def audit_facts(self):
        """Return what players, test and streamers recorded, as input of the audit."""
        self.player_ledger.flush()
        return Facts(
            self.service.value["deployment"],
            {
                "viewers": ledgers.read(self.path("seen.jsonl")),
                "runner": self.test_notes,
                "streamers": self.streamer_events(),
            },
            told_within=0.3,
        )

    def audit_report(self):
        """Return the audit's report of broken rules."""
        return judge.report(self.audit_facts())

    async def wait_until_idle(self):
        """Wait until the controller has no playback and no attempt in flight."""
        while self.service.core.playbacks or self.service.transport.tries:
            await asyncio.sleep(0.01)


class RecordingLog:
    """Logger that appends each line to the list `entries` as (level, event, facts)."""

    def __init__(self, entries):
        self.log_entries = entries

    def __getattr__(self, level):
        return lambda event, **facts: self.log_entries.append((level, event, facts))


async def wait_until(condition):
    """Wait until `condition()` is true, without a timeout of its own."""
    while not condition():
        await asyncio.sleep(0.005)


def in_testbed(test=None, testbed_class=Testbed, **testbed_options):
    """Decorate a test coroutine to run within a new `testbed_class(**testbed_options)`, for 60 s at most."""
    if test is None:
        return lambda test: in_testbed(test, testbed_class, **testbed_options)

    def run():
        async def run_test():
            async with testbed_class(**testbed_options) as testbed:
                await asyncio.wait_for(test(testbed), 60)

        asyncio.run(run_test())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
