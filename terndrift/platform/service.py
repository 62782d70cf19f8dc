"""A controller on the platform as a process: start, SIGHUP (a new configuration), SIGTERM (a restart)."""

import asyncio
import signal
import sys
from enum import Enum

from terndrift import logs, process
from terndrift.core.core import Core
from terndrift.core.host import Clock, Host
from terndrift.interface import Standing
from terndrift.log_stream import LogStream
from terndrift.platform import settings
from terndrift.platform.carrier import Carrier
from terndrift.platform.feed import Feed
from terndrift.platform.front import Front
from terndrift.terms import Malformed

SECOND = 1_000_000_000
# SIGKILL comes no sooner after SIGTERM than the longest wait of a viewer, counted as 3 s where it is longer,
# and 0.7 s more (PROTOCOL): all is answered and released so many seconds before.
LONGEST_WAIT, AFTER_IT, BEFORE = 3.0, 0.7, 0.2
# Of that, seconds until the last answers have left this process, and until the other sides have ended
# their connections; what is not done then is not waited for.
FLUSH, FINISH = 0.08, 0.05
LOOK = 0.005  # seconds between looks at whether it is done
# Turns of the loop until what came on connections just accepted has been read and answered.
TURNS = 4
SIGNALS = (signal.SIGHUP, signal.SIGTERM)


class Stage(Enum):
    """Where the process stands."""

    STARTING = "starting"  # nobody is taken
    SERVING = "serving"
    DRAINING = "draining"  # told to end; all goes on
    CLOSING = "closing"  # the last answers have been given; what comes is rejected
    STOPPED = "stopped"


TRANSITIONS = {
    Stage.STARTING: (Stage.SERVING, Stage.STOPPED),
    Stage.SERVING: (Stage.DRAINING, Stage.STOPPED),
    Stage.DRAINING: (Stage.CLOSING, Stage.STOPPED),
    Stage.CLOSING: (Stage.STOPPED,),
    Stage.STOPPED: (),
}


class Service:
    """One controller: its configuration, core, front, carrier and feed."""

    def __init__(self, configuration, log, path=None):
        self.configuration, self.log, self.path = configuration, log, path
        self.clock, self.stage = Clock(), Stage.STARTING
        self.core = Core(
            configuration.deployment,
            self.clock.now(),
            configuration.name,
            configuration.drain_grace,
            logs.watcher(log),
        )
        self.host = Host(self.core, self.clock)
        self.carrier = Carrier(self.host, configuration, log)
        self.front = Front(self.host, self.carrier, configuration, log)
        self.feed = Feed(configuration.feed, 0, self._event, log, configuration.deployment.seed)
        self.old = True  # the events of the start are a list from before it
        self.tasks, self.address, self.stopped = [], None, asyncio.Event()

    def _turn(self, stage):
        """Every change of the process's stage."""
        assert stage in TRANSITIONS[self.stage], f"{self.stage} to {stage}"
        self.stage = stage

    def _event(self, event, complete):
        """Takes an event of the list; returns what of it can't be read, None: nothing. `complete`: what it
        does not name, if it is a whole list, is gone."""
        members = event.get("members")
        if members is None:
            return None
        rows = members.get("hosts") if isinstance(members, dict) else None
        if not isinstance(rows, list):
            return "no list of hosts"
        entries, said, unreadable = [], [], None
        for row in rows:
            try:
                entry, name, address = settings.listed(row, self.configuration.layout, self.clock)
            except Malformed as wrong:
                unreadable = unreadable or str(wrong)
                continue
            self.carrier.listed(entry, name, address)
            entries.append(entry)
            said.append((name, entry.standing.name))
        whole = bool(members.get("whole")) and (unreadable is None or complete)
        if whole:
            self.carrier.only({e.id for e in entries if e.standing is not Standing.GONE})
        self.host.do(self.core.list_changed, entries, whole, self.old)
        self.log.info("list", n=event.get("n"), whole=whole, changed=said[:20])
        return unreadable

    async def begin(self):
        """Within a running loop: takes the list of the configuration, and what has changed since; then
        starts, unless it was told to end meanwhile. Raises as `start`."""
        self._know()
        await self.feed.first()
        if self.stage is Stage.STARTING:
            self.start()

    def _know(self):
        self.feed.take_known(self.configuration.known)
        self.old = False

    def start(self):
        """Opens the front. Raises OSError without the port."""
        if self.old:
            self._know()
        self.address = self.front.listen_on(self.configuration.listen)
        self.front.ready = True
        self._turn(Stage.SERVING)
        self.tasks += [asyncio.ensure_future(self.feed.follow()), asyncio.ensure_future(self._quarters())]
        self.log.info("listening", address=self.address, name=self.configuration.name)
        if self.configuration.unknown:
            self.log.info("settings not known", names=self.configuration.unknown)

    async def _quarters(self):
        while True:
            await asyncio.sleep(0.25)
            try:
                self.host.tell_late(self.log)
                self.front.every_quarter()
                self.carrier.every_quarter()
            except Exception as fault:  # the next quarter must come all the same
                self.log.error("fault of a bound", exc_info=fault)

    def reread(self):
        """SIGHUP: another configuration. What can't be read leaves the old one in force; of a good one the
        feed's address is taken, and whatever else it changes is named and waits for a restart."""
        try:
            new = settings.read(self.path)
        except Malformed as wrong:
            self.log.error("configuration not taken", why=str(wrong))
            return
        self.log.info("configuration", feed=new.feed)
        if ignored := settings.changed_beside_feed(self.configuration, new):
            self.log.warning("changes that wait for a restart", names=ignored)
        self.feed.move(new.feed)

    def terminate(self):
        """SIGTERM. Before anybody was taken there is nothing to wait for; said again it changes nothing."""
        if self.stage is Stage.STARTING:
            self.log.info("told to end before it served")
            self.close()
        elif self.stage is Stage.SERVING:
            self.tasks.append(asyncio.ensure_future(self.drain()))

    async def drain(self):
        """All goes on, as set-ups still come and what plays plays; just before SIGKILL is due what is open is
        answered and what stands released on both sides: its viewers come again at once."""
        self._turn(Stage.DRAINING)
        self.log.info("draining", open=self.core.open, playbacks=len(self.core.held))
        longest = min(LONGEST_WAIT, max(self.configuration.deadlines.values(), default=0) / SECOND)
        await asyncio.sleep(longest + AFTER_IT - BEFORE)
        self._turn(Stage.CLOSING)
        self.front.last_answers()
        await self._within(FLUSH, self._all_sent)
        self.front.listener.close()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.front.finish()
        for connection in self.carrier.connections():
            connection.finish("the controller ends")
        await self._within(FINISH, lambda: not self.front.connections)
        self.close()

    def _all_sent(self):
        return not any(one.unsent() for one in [*self.front.connections, *self.carrier.connections()])

    async def _within(self, seconds, done):
        """Waits until it is done, and so long at most."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not done() and loop.time() < until:
            await asyncio.sleep(LOOK)

    def close(self):
        """Ends at once, from whatever stage."""
        if self.stage is Stage.STOPPED:
            return
        self._turn(Stage.STOPPED)
        for task in self.tasks:
            task.cancel()
        self.host.stop()
        self.front.listener.close()
        for connection in list(self.front.connections):
            connection.close("the controller ends")
        self.carrier.close()
        self.feed.close()
        self.stopped.set()

    async def run(self):
        """The whole life of the process. Signals that came while it was loaded are acted on now."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reread)
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        await self.begin()
        if self.stage is not Stage.STOPPED:
            process.stands()
        await self.stopped.wait()
        process.goes_down(loop, SIGNALS)
        self.log.info("stopped")


def main(environ):
    log = logs.setup("info", "json", LogStream(sys.stderr.fileno()))
    path = environ.get("LB_CONFIG")
    if not path:
        sys.exit("terndrift: LB_CONFIG is not set")

    async def serve():
        await Service(settings.read(path), log, path).run()

    try:
        asyncio.run(serve())
    except (Malformed, OSError) as wrong:
        sys.exit(f"terndrift: {wrong}")
