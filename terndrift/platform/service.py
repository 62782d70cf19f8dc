"""The controller process on the operators' platform: startup, SIGHUP (reload), SIGTERM (shutdown).

`main` is called by `terndrift.platform.__main__`. A `Service` wires configuration, core, viewer front,
streamer transport and control feed together and owns their lifetime. It takes no placement decisions: those
are the core's.
"""

import asyncio
import signal
import sys
from enum import Enum

from terndrift import logs, process
from terndrift.core.core import Core
from terndrift.core.runner import Clock, CoreRunner
from terndrift.interface import Standing
from terndrift.log_stream import LogStream
from terndrift.operator_settings import MalformedInputError
from terndrift.platform import settings
from terndrift.platform.feed import Feed
from terndrift.platform.front import Front
from terndrift.platform.transport import StreamerTransport

NS_PER_SECOND = 1_000_000_000
# SIGKILL follows SIGTERM no sooner than the longest deadline of a viewer, capped at 3 s, plus 0.7 s (as the
# operators' PROTOCOL document says). The final answers and releases are sent 0.2 s before that.
MAX_DEADLINE_S, KILL_DELAY_S, SHUTDOWN_BUDGET_S = 3.0, 0.7, 0.2
# Parts of that budget: for writing out the final messages, and for peers to close their connections. Whatever
# is unfinished after that is not waited for.
FLUSH_TIMEOUT_S, CLOSE_TIMEOUT_S = 0.08, 0.05
POLL_INTERVAL_S = 0.005
# Event loop iterations needed to read and answer what came on connections that were just accepted.
ACCEPT_LOOP_TURNS = 4
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


class Stage(Enum):
    """Lifecycle of the process."""

    STARTING = "starting"  # accepts no viewers yet
    SERVING = "serving"
    DRAINING = "draining"  # SIGTERM received; still serves as before
    CLOSING = "closing"  # final answers are sent; new set-ups are rejected
    STOPPED = "stopped"


TRANSITIONS = {
    Stage.STARTING: (Stage.SERVING, Stage.STOPPED),
    Stage.SERVING: (Stage.DRAINING, Stage.STOPPED),
    Stage.DRAINING: (Stage.CLOSING, Stage.STOPPED),
    Stage.CLOSING: (Stage.STOPPED,),
    Stage.STOPPED: (),
}


class Service:
    """One controller: owns its configuration, core, front, transport and feed.

    `path` is the configuration file, read again by `reread`.
    """

    def __init__(self, configuration, log, path=None):
        self.configuration, self.log, self.path = configuration, log, path
        self.clock, self.stage = Clock(), Stage.STARTING
        self.core = Core(
            configuration.deployment,
            self.clock.now(),
            configuration.name,
            configuration.drain_grace,
            logs.event_logger(log),
        )
        self.runner = CoreRunner(self.core, self.clock)
        self.transport = StreamerTransport(self.runner, configuration, log)
        self.front = Front(self.runner, self.transport, configuration, log)
        self.feed = Feed(configuration.feed_address, 0, self._apply_event, log, configuration.deployment.seed)
        self.list_is_cached = True  # the configuration's events are a list from before this start
        self.tasks, self.address, self.stopped = [], None, asyncio.Event()

    def _change_stage(self, stage):
        assert stage in TRANSITIONS[self.stage], f"{self.stage} to {stage}"
        self.stage = stage

    def _apply_event(self, event, final):
        """Applies a feed event; returns a description of what could not be read, or None.

        Streamers that a full list does not name are removed, unless one of its rows could not be read: that
        row may be theirs. With `final` the event is not requested again, and they are removed even then.
        """
        members = event.get("members")
        if members is None:
            return None
        rows = members.get("hosts") if isinstance(members, dict) else None
        if not isinstance(rows, list):
            return "no list of hosts"
        entries, changes, unreadable = [], [], None
        for row in rows:
            try:
                entry, name, address = settings.listed(row, self.configuration.layout, self.clock)
            except MalformedInputError as error:
                unreadable = unreadable or str(error)
                continue
            self.transport.apply_list_entry(entry, name, address)
            entries.append(entry)
            changes.append((name, entry.standing.name))
        whole = bool(members.get("whole")) and (unreadable is None or final)
        if whole:
            self.transport.apply_complete_list(
                {listed.id for listed in entries if listed.standing is not Standing.GONE}
            )
        self.runner.run(self.core.list_changed, entries, whole, self.list_is_cached)
        self.log.info("list", n=event.get("n"), whole=whole, changed=changes[:20])
        return unreadable

    async def begin(self):
        """Loads the server list, then starts serving unless SIGTERM came meanwhile.

        The list is the configuration's, updated by one call to the feed. Raises OSError, as `start` does.
        """
        self._load_initial_list()
        await self.feed.fetch_initial()
        if self.stage is Stage.STARTING:
            self.start()

    def _load_initial_list(self):
        self.feed.apply_initial_events(self.configuration.initial_events)
        self.list_is_cached = False

    def start(self):
        """Opens the listening socket and starts the background tasks in the running event loop.

        Raises OSError if the socket cannot be bound.
        """
        if self.list_is_cached:
            self._load_initial_list()
        self.address = self.front.listen_on(self.configuration.listen_address)
        self.front.ready = True
        self._change_stage(Stage.SERVING)
        self.tasks += [
            asyncio.ensure_future(self.feed.follow()),
            asyncio.ensure_future(self._run_housekeeping()),
        ]
        self.log.info("listening", address=self.address, name=self.configuration.name)
        if self.configuration.unknown:
            self.log.info("settings not known", names=self.configuration.unknown)

    async def _run_housekeeping(self):
        """Enforces timeouts of connections and reports a late event loop, four times a second."""
        while True:
            await asyncio.sleep(0.25)
            try:
                self.runner.report_timer_delay(self.log)
                self.front.enforce_timeouts()
                self.transport.enforce_timeouts()
            except Exception as exception:  # a bug in one round must not end the later ones
                self.log.error("fault of a bound", exc_info=exception)

    def reread(self):
        """Reloads the configuration file; the SIGHUP handler.

        Only the feed address takes effect. Other changes are logged and need a restart; an invalid file is
        logged and leaves the old configuration in force.
        """
        try:
            new = settings.read(self.path)
        except MalformedInputError as error:
            self.log.error("configuration not taken", why=str(error))
            return
        self.log.info("configuration", feed=new.feed_address)
        if ignored := settings.changed_settings(self.configuration, new):
            self.log.warning("changes that wait for a restart", names=ignored)
        self.feed.set_address(new.feed_address)

    def terminate(self):
        """Begins the shutdown; the SIGTERM handler.

        Closes at once if it does not listen yet, else drains. A repeated call has no effect.
        """
        if self.stage is Stage.STARTING:
            self.log.info("told to end before it served")
            self.close()
        elif self.stage is Stage.SERVING:
            self.tasks.append(asyncio.ensure_future(self.drain()))

    async def drain(self):
        """Serves on until shortly before SIGKILL is due, then ends everything and closes.

        Set-ups still arrive and playbacks go on meanwhile. At the end open set-ups are answered and playbacks
        are released on both sides, whose viewers then come back at once.
        """
        self._change_stage(Stage.DRAINING)
        self.log.info("draining", open=self.core.unanswered_count, playbacks=len(self.core.playbacks))
        max_deadline_s = min(
            MAX_DEADLINE_S, max(self.configuration.deadlines.values(), default=0) / NS_PER_SECOND
        )
        await asyncio.sleep(max_deadline_s + KILL_DELAY_S - SHUTDOWN_BUDGET_S)
        self._change_stage(Stage.CLOSING)
        self.front.send_final_answers()
        await self._wait_until(FLUSH_TIMEOUT_S, self._all_sent)
        self.front.listener.close()
        for _ in range(ACCEPT_LOOP_TURNS):
            await asyncio.sleep(0)
        self.front.shut_down_sending()
        for connection in self.transport.all_connections():
            connection.shut_down_sending("controller is shutting down")
        await self._wait_until(CLOSE_TIMEOUT_S, lambda: not self.front.connections)
        self.close()

    def _all_sent(self):
        return not any(
            connection.has_unsent_output()
            for connection in [*self.front.connections, *self.transport.all_connections()]
        )

    async def _wait_until(self, timeout_s, condition):
        """Polls until `condition()` holds or the timeout has passed."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not condition() and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self):
        """Stops everything at once, from any stage; a repeated call has no effect."""
        if self.stage is Stage.STOPPED:
            return
        self._change_stage(Stage.STOPPED)
        for task in self.tasks:
            task.cancel()
        self.runner.stop()
        self.front.listener.close()
        for connection in list(self.front.connections):
            connection.close("controller is shutting down")
        self.transport.close()
        self.feed.close()
        self.stopped.set()

    async def run(self):
        """Runs the controller from startup to shutdown.

        Unblocks HANDLED_SIGNALS once their handlers are installed; those received earlier are handled then.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reread)
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        await self.begin()
        if self.stage is not Stage.STOPPED:
            process.tune_garbage_collector()
        await self.stopped.wait()
        process.ignore_signals(loop, HANDLED_SIGNALS)
        self.log.info("stopped")


def main(environ):
    """Runs a controller configured by the file that LB_CONFIG names in `environ`.

    Logs JSON lines to standard error; exits with status 1 and one line if it cannot start.
    """
    log = logs.configure_logging("info", "json", LogStream(sys.stderr.fileno()))
    path = environ.get("LB_CONFIG")
    if not path:
        sys.exit("terndrift: LB_CONFIG is not set")

    async def serve():
        await Service(settings.read(path), log, path).run()

    try:
        asyncio.run(serve())
    except (MalformedInputError, OSError) as error:
        sys.exit(f"terndrift: {error}")
