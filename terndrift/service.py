"""A controller as a process: its records, its list, its core and its fronts, and how it stops."""

import asyncio
import contextlib
import os
import signal
import time
from functools import partial
from types import SimpleNamespace

from terndrift import deployment, logs, process, records
from terndrift.catalogue.admin import BODY, Admin
from terndrift.catalogue.service import STREAM, Catalogue, Keeper, over
from terndrift.catalogue.source import Source
from terndrift.catalogue.titles import available, dense, nearest, valid
from terndrift.catalogue.versions import change_of
from terndrift.core.core import Core
from terndrift.core.runner import Clock, CoreRunner
from terndrift.decide import Controller
from terndrift.fleet.observation_collector import ObservationCollector
from terndrift.fleet.overload_control import OverloadControl
from terndrift.fleet.planned_work_site import PlannedWorkSite
from terndrift.fleet.service import FleetService, settled
from terndrift.http.client import Pool
from terndrift.http.front import Front, Served
from terndrift.http.server import Server
from terndrift.http.transport import HttpStreamerTransport
from terndrift.listing.kept import STREAM as LISTING
from terndrift.scheduler.runner import Runner
from terndrift.store.commit import Committer
from terndrift.store.files import Files
from terndrift.store.store import Store
from terndrift.xds.follow import Sources

SECOND = 1_000_000_000
# Titles whose cells and rates are kept worked out: what is asked for in an hour, not the whole catalogue.
MOST_KNOWN = 10_000


def read(path):
    """A front file's value, checked in itself; raises records.Wrong or deployment.InconsistentRecordError."""
    value = records.load(path, "front")
    deployment.check_record(value["deployment"])
    if not value["list"] and not value["xds"]:
        raise deployment.InconsistentRecordError(
            "list, xds: neither names where the list of streamers comes from"
        )
    files = ()
    if value["xds"]:
        from terndrift.xds.sources import FILES as files  # as in xds/follow.py: imported where it is used
        from terndrift.xds.sources import check

        for name, xds in value["xds"].items():
            check(f"xds.{name}", xds)
    beside = os.path.dirname(os.path.abspath(path))
    settled(value)
    for part, keys in (
        (value, ("list", "ready")),
        (value["catalogue"], ("store", "file")),
        (value["fleet"], ("store",)),
        *((xds, files) for xds in value["xds"].values()),
    ):
        for key in keys:
            if part[key]:
                part[key] = os.path.join(beside, part[key])
    return value


def both(one, other):
    """Two watchers of the core as one."""

    def watch(event, playback, **facts):
        one(event, playback, **facts)
        other(event, playback, **facts)

    return watch


class Titles:
    """What the catalogue says, as fronts and core ask for it."""

    def __init__(self, value, made):
        self.versions = over(made.plans, value["ladder"]["rates"])
        self.value, self.made = value, made
        self.there, self.all, self.known = set(), frozenset(), {}  # known: name -> (Title, Served)
        self.room = None  # the kind of streamers that take calls, and nothing else
        self.kinds = {}  # id -> kind, of what is listed

    def listed(self, entries, gone):
        """Streamers that came to be listed or changed, and ids that no longer are."""
        before = len(self.kinds)
        changed = any(self.kinds.get(e.id) != e.kind for e in entries if e.id not in gone)
        self.kinds.update((e.id, e.kind) for e in entries if e.id not in gone)
        for id in gone:
            self.kinds.pop(id, None)
        if changed or gone or len(self.kinds) != before:
            self.there = self.kinds.keys()
            self.all = None

    def everywhere(self):
        """Every streamer listed; worked out when it is asked for, as lists may change all the time."""
        if self.all is None:
            self.all = frozenset(i for i, kind in self.kinds.items() if kind != self.room)
        return self.all

    def rooms(self, name):
        """As `cells`, of a title that is called."""
        title = self.versions.get(name)
        if title is None or title.nowhere:
            return frozenset()
        if title.holders:
            return frozenset(title.holders)
        return frozenset(i for i, kind in self.kinds.items() if kind == self.room)

    def cells(self, name):
        title = self.versions.get(name)
        if title is None or title.nowhere:
            return frozenset()
        return frozenset(title.holders) if title.holders else self.everywhere()

    def permits(self, request, streamer):
        title = self.versions.get(request.title)
        return (
            title is not None and not title.nowhere and (not title.holders or streamer.cell in title.holders)
        )

    def find(self, name):
        title = self.versions.get(name)
        # a plan may have gone from the front file since the title was put: nobody can say its terms
        if title is None or title.plan not in self.made.plans or not valid(title, time.time()):
            return None
        was, served = self.known.get(name, (None, None))
        if was is not title or not title.holders and served.cells is not self.everywhere():
            segment, ladder = self.value["segment"], self.value["ladder"]["rates"]
            count = max(1, -(-title.seconds * SECOND // segment))
            rates = tuple(r / 1000 for r in dense(title, ladder)) if title.rates else None
            served = Served(
                title.plan,
                self.value["plans"][title.plan]["abandon"],
                self.cells(name),
                count,
                count * segment,
                rates,
                tuple(available(title, ladder)),
            )
            if len(self.known) >= MOST_KNOWN:
                self.known.clear()
            self.known[name] = title, served
        return served

    def rung(self, name, wanted, floor, top):
        """The nearest rung that the title has now; one that is gone plays on as it was."""
        title = self.versions.get(name)
        if title is None:
            return wanted
        rung = nearest(available(title, self.value["ladder"]["rates"]), wanted, floor, top)
        return wanted if rung is None else rung


class Service:
    def __init__(self, value, log=None, controller=None):
        self.value = value
        self.log = log or logs.configure_logging(value["log"]["level"], value["log"]["form"])
        self.clock = Clock()
        made = deployment.build_deployment(value["deployment"], value["controller"])
        http, limits = value["http"], value["limits"]
        self.core = Core(
            made,
            self.clock.now(),
            value["controller"]["name"],
            value["deployment"]["rules"]["drain_grace"],
            logs.event_logger(self.log),
            controller or Controller,
        )
        self.core_runner = CoreRunner(self.core, self.clock)
        self.addresses = {}  # of what is listed, and of what is gone and may still play
        self.titles = Titles(value["deployment"], made)
        self.core.may_use_streamer = self.titles.permits
        self.pool = Pool(http["pool"])
        self.transport = HttpStreamerTransport(self.core_runner, self.pool, self.addresses, http["connect"])
        room = SimpleNamespace(
            open=limits["open"], playbacks=limits["playbacks"], idle=http["idle"], stall=http["stall"]
        )
        self.front = Front(self.core_runner, self.transport, self.titles, room, self.log)
        self.server = Server(
            self.front.handle,
            http["connections"],
            http["header"],
            http["header_time"] / SECOND,
            http["stall"] / SECOND,
            fault=self._fault,
        )
        self.sources = Sources(value, self.clock, self._list_changed, self.log, made.seed, self._playbacks_at)
        self.listing = self.sources.listing
        self.core.filter_cells = self.listing.limited.narrow
        self.serving, self.offer_address = None, None
        if value["offer"]["listen"]:
            from terndrift.xds.server import serving

            self.serving = serving(
                self.listing, self.clock, value["controller"]["region"], self.log, value["offer"]["loads"]
            )
        # one for each that is told: each covers the time since its own last report
        told = [one for name, one in self.sources.xds.items() if value["xds"][name]["loads"]]
        if told:
            from terndrift.xds.load import Tally
            from terndrift.xds.reporter import Reporter
        tallies = [(Tally(self.clock.now()), one) for one in told]
        for tally, _ in tallies:
            self.core.watch = both(self.core.watch, tally.watch)
        if tallies:
            self.front.passed = lambda streamer, size: [t.passed(streamer, size) for t, _ in tallies]
        self.reporters = [
            Reporter(one, partial(self._loads, tally, one), made.seed, self.log) for tally, one in tallies
        ]
        self.sip = None
        if value["sip"]["listen"]:
            self.titles.room = value["sip"]["kind"]
            from terndrift.sip.service import Sip

            self.sip = Sip(
                value["sip"], self.core_runner, self.titles, self.addresses, value["sip"]["open"], self.log
            )
        self.sip_address = None
        self.address, self.admin_address, self.tasks, self.stopped = None, None, [], asyncio.Event()
        self.runner = Runner(value["background"], self.log)
        self.fleet = None
        if value["fleet"]["name"]:
            self.fleet = FleetService(
                value["fleet"],
                self.core.name,
                self.clock,
                made.seed,
                self.log,
                lambda plan: made.plans[plan].startup_target,
            )
            self.core.watch = both(self.core.watch, self.fleet.watch)
            self.front.elsewhere = lambda: self.fleet.elsewhere.choose(self.clock.now())
            if value["fleet"]["work"]:
                self._obey()
            self._sees()
            if value["fleet"]["shed"]:
                self._sheds(value["fleet"]["limits"])
        self._open_catalogue(value["catalogue"])
        if self.fleet:
            self.fleet.set_catalogue(self.catalogue)
            self._shut()  # from before it listens: the first viewers come while the fleet still starts

    def _list_changed(self, entries, there, gone, forgotten, old):
        self.addresses.update(there)
        for id in forgotten:
            self.addresses.pop(id, None)
        self.titles.listed(entries, gone)
        (self.log.info if old else self.log.debug)(
            "list", changed=len(entries), streamers=len(self.titles.there), old=old
        )
        self.core_runner.run(self.core.list_changed, entries, False, old)

    def _loads(self, tally, source):
        """What playbacks used since the last report, in the clusters of that source."""
        from terndrift.xds.load import stats

        used, took = tally.take(self.clock.now())
        line_of = self.listing.line_of
        return stats(used, took, source.reader.view.clusters_of, line_of, self._playbacks_at)

    def _loads_heard(self):
        return self.serving.reports if self.serving else {}

    def _playbacks_at(self, id):
        streamer = self.core.controller.streamers.get(id)
        return len(streamer.playbacks) if streamer else 0

    def _obey(self):
        """Planned work of the fleet is obeyed from the start on."""
        site = self.fleet.site = PlannedWorkSite(
            self.fleet.controller,
            self.listing,
            self.titles.versions,
            self.core_runner,
            self.value["deployment"]["rules"]["cold_for"],
            self._draining,
            self.value["http"]["drain"],
            self._restarts,
            lambda: bool(self.fleet.elsewhere.places(self.clock.now())),
        )
        self.core.watch = both(self.core.watch, site.watch)
        self.front.refused = lambda plan, wait: site.gate(plan)
        permits = self.core.may_use_streamer
        self.core.may_use_streamer = lambda request, streamer: (
            permits(request, streamer) and site.permits(streamer.id)
        )

    def _sheds(self, limits):
        """Overload is met as the fleet settles, and its limits are kept."""

        def address(id):
            line = self.listing.line_of(id)
            return line.address if line else self.addresses.get(id, "")

        elsewhere = self.fleet.elsewhere
        overload_control = self.fleet.overload_control = OverloadControl(
            self.fleet.controller,
            self.core_runner,
            self.core.deployment.plans,
            limits,
            address,
            lambda: bool(elsewhere.places(self.clock.now())),
        )
        self.core.watch, self.front.sheds = (
            both(self.core.watch, overload_control.watch),
            overload_control.sheds,
        )
        refused = self.front.refused
        self.front.refused = lambda plan, wait: (refused(plan, wait), overload_control.gate(plan, wait))
        self.transport.pace = overload_control.connecting
        for source in self.sources.xds.values():
            source.backoff.min_shared_delay = overload_control.calling

    def _sees(self):
        """What is seen of streamers, told to the others and kept for the next run."""
        fleet, kept = self.fleet, self.value["catalogue"]["store"]
        observation_collector = fleet.observation_collector = ObservationCollector(
            fleet.controller,
            self.listing,
            self.core_runner,
            self.value["deployment"]["rules"]["cold_for"],
            (self.core.deployment.rank, self.core.deployment.controllers),
            fleet.recovery_progress.under_way,
        )
        fleet.keep_in = f"{kept}.sight" if kept else ""
        self.core.watch, passed = both(self.core.watch, observation_collector.watch), self.front.passed

        def both_passed(streamer, size):
            passed(streamer, size)
            observation_collector.passed(streamer, size)

        self.front.passed = both_passed

    def _restarts(self):
        self.log.info("stops for a planned restart")
        self.leaving = asyncio.ensure_future(self.drain())  # not one of the tasks, which it ends

    def _draining(self, on):
        self.log.info("drains for work" if on else "takes what comes again")
        self.front.draining = on
        self._shut()

    def _shut(self):
        """Whether this controller's fronts take anybody, as planned work and its catalogue have it."""
        self.front.unsure = self.fleet is not None and self.fleet.unsure()
        (self.front.sure.clear if self.front.unsure else self.front.sure.set)()
        if self.sip and self.address:
            self.sip.front.draining = self.front.draining or self.front.unsure

    def _open_catalogue(self, value):
        """Raises store.Held, store.Damaged where its folder can't be had."""
        versions, committer = self.titles.versions, None
        if value["store"]:
            keepers = {STREAM: Keeper(versions), LISTING: self.listing.kept}
            committer = Committer(Store(Files(value["store"]), keepers, value["last_good"]))
            for what in committer.store.dropped:
                self.log.warning("store: dropped", what=str(what))
        self.catalogue = Catalogue(versions, committer, self.runner, self._titles_changed, self.log)
        self.admin = Server(
            Admin(
                self.catalogue, lambda: self.titles.there, self.listing, self._loads_heard, self.fleet
            ).handle,
            64,
            fault=self._fault,
            body_size=BODY,
        )
        self.source = Source(value["file"], value["poll"] / SECOND, self.catalogue, self.log, time.time)

    def _titles_changed(self, names):
        self.core_runner.run(self.core.holders_changed, {name: self.titles.cells(name) for name in names})

    async def _first_titles(self):
        """The titles of the front file, where the catalogue has none of its own yet; then its file."""
        if self.titles.versions.newest == 0 and self.value["deployment"]["titles"]:
            put = {
                name: {"plan": t["plan"], "seconds": t["seconds"], "holders": t["holders"]}
                for name, t in self.value["deployment"]["titles"].items()
            }
            await self.catalogue.apply(change_of({"id": "front-file", "put": put}, "front file", time.time()))
        if self.value["catalogue"]["file"]:
            self.tasks.append(asyncio.ensure_future(self.source.follow()))

    def _fault(self, exchange, error):
        self.log.error("fault of a front", path=exchange.path, exc_info=error)

    async def start(self):
        """Within a running loop: opens the front. Raises records.Wrong without any list, OSError without
        the port."""
        await self.sources.start(self.catalogue.committer)
        self.tasks += [asyncio.ensure_future(one.follow()) for one in self.reporters]
        await self._first_titles()
        self.address = self.server.listen_on(self.value["http"]["listen"])
        if self.value["catalogue"]["admin"]:
            self.admin_address = self.admin.listen_on(self.value["catalogue"]["admin"])
        if self.sip:
            self.sip_address = await self.sip.start()
        if self.serving:
            self.offer_address = await self.serving.start(self.value["offer"]["listen"])
        if self.fleet:
            await self.fleet.start(self.address)
            self.tasks.append(asyncio.ensure_future(self.fleet.run_observations()))
            if self.fleet.overload_control:
                self.tasks.append(asyncio.ensure_future(self.fleet.run_overload_control()))
            self._shut()
            self.tasks.append(asyncio.ensure_future(self._unsure()))
            if self.fleet.site:
                await self.fleet.site.apply_drains()
                self.tasks.append(asyncio.ensure_future(self._obeys()))
        self.tasks.append(asyncio.ensure_future(self._seconds()))
        if self.value["ready"]:
            part = self.value["ready"] + ".part"
            with open(part, "w", encoding="utf-8") as file:
                addresses = [self.address, self.admin_address, self.sip_address]
                addresses += self.fleet.addresses if self.fleet else []
                file.write("\n".join(filter(None, addresses)) + "\n")
            os.replace(part, self.value["ready"])
        self.log.info(
            "listening",
            address=self.address,
            admin=self.admin_address,
            offer=self.offer_address,
            sip=self.sip_address,
            controller=self.core.name,
        )

    async def _seconds(self):
        while True:
            await asyncio.sleep(1.0)
            try:
                late = self.core_runner.report_timer_delay(self.log)
                if (
                    self.fleet
                    and self.fleet.overload_control
                    and self.fleet.overload_control.update_strain(late, *process.resource_utilisation())
                ):
                    self.log.warning(
                        "strain",
                        standing=self.fleet.overload_control.strain.standing.value,
                        why=self.fleet.overload_control.strain.why,
                    )
                self.front.every_second()
                await self.sources.every_second()
                if self.fleet:
                    self.fleet.returns(bool(self.titles.there))
            except Exception as fault:  # the next second must come all the same
                self.log.error("fault of a front", exc_info=fault)

    async def _unsure(self):
        """Until the catalogue is known to be that of now."""
        while self.front.unsure:
            await asyncio.sleep(0.01)
            self._shut()
        self.log.info("catalogue", standing=self.fleet.controller.catalogue_sync.why)

    async def _obeys(self):
        """Looks at planned work when any of it was agreed, else once a second, and oftener while it drains
        itself."""
        site = self.fleet.site
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.fleet.worked.wait(), site.look_again() / SECOND)
            self.fleet.worked.clear()
            try:
                await site.apply_drains()
                if site.drains:  # viewers are turned away until it is known to be empty
                    self.fleet.tell_work()
            except Exception as fault:  # the next look must come all the same
                self.log.error("fault of planned work", exc_info=fault)

    async def drain(self):
        """Takes nothing new, lets what is awaited be answered and what plays play for the drain time."""
        self.log.info("draining", open=self.core.unanswered_count, playbacks=len(self.core.playbacks))
        self.front.draining = True
        if self.fleet:
            self.fleet.leave()
        if self.sip:
            self.sip.front.draining = True
        self.server.stop()
        loop, until = asyncio.get_running_loop(), self.value["http"]["drain"] / SECOND
        until += loop.time()
        calls = self.sip.front.playing if self.sip else lambda: 0
        while (self.core.unanswered_count or self.front.playing() or calls()) and loop.time() < until:
            await asyncio.sleep(0.05)
        await self.close()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.front.close()
        if self.sip:
            self.sip.close()
        await self.server.drain(1.0)
        if self.transport.farewells:
            await asyncio.wait(self.transport.farewells, timeout=1.0)
        self.transport.close()
        self.pool.close()
        await self.admin.drain(1.0)
        if self.fleet:
            await self.fleet.stop()
        self.runner.close()
        await self.sources.close()
        if self.serving:
            await self.serving.stop()
        if self.catalogue.committer:
            self.catalogue.committer.close()
        self.core_runner.stop()
        self.stopped.set()

    async def run(self):
        """Until SIGTERM or SIGINT: the first drains, a second one ends the process at once."""
        loop, told = asyncio.get_running_loop(), []

        def stop():
            if told:
                os._exit(0)
            told.append(asyncio.ensure_future(self.drain()))

        # before anything is said to listen: who reads that may tell it to stop at once
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        starting, stopped = asyncio.ensure_future(self.start()), asyncio.ensure_future(self.stopped.wait())
        await asyncio.wait({starting, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():  # told to stop while it still waited for a first list
            starting.cancel()
            return
        await starting
        process.tune_garbage_collector()
        await self.stopped.wait()
        process.ignore_signals(loop, (signal.SIGTERM, signal.SIGINT))
        self.log.info("stopped")
