"""Runs a fleet's controller (member.py) on the event loop: datagrams, HTTP bodies, its store and a timer.

The service creates one `FleetService` for a front file that names a fleet, and calls it every second; the
admin interface calls the methods for operators. All decisions lie in the modules free of I/O that it drives;
this one must not block the loop and must not send what a voter says before its records are durable.
"""

import asyncio
import os
import secrets
import time
from collections import Counter
from urllib.parse import urlsplit

import msgspec

from terndrift.catalogue.titles import Fault
from terndrift.catalogue.versions import Conflict, change_of
from terndrift.core.active_playback import AnswerKind
from terndrift.deployment import InconsistentRecordError
from terndrift.fleet.catalogue_sync import COPY as COPY_ID_PREFIX
from terndrift.fleet.catalogue_sync import CatalogueSync, SyncState
from terndrift.fleet.committed_state import initial_state
from terndrift.fleet.member import Controller
from terndrift.fleet.messages import MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, decode
from terndrift.fleet.observation_collector import SavedObservations
from terndrift.fleet.overload_control import LOOKS
from terndrift.fleet.planned_work import REVISION_KEY
from terndrift.fleet.planned_work_site import RecentRequests
from terndrift.fleet.raft import PersistentState
from terndrift.fleet.recovery_stages import HOLDS, RecoveryProgress
from terndrift.fleet.redirect_targets import RedirectTargets
from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.http.server import Server
from terndrift.store.commit import Committer
from terndrift.store.files import Files
from terndrift.store.store import Broken as StoreBroken
from terndrift.store.store import Damaged, Store

SECOND = 1_000_000_000  # ns
STREAM = "fleet"
# Bodies being sent at once. Further ones are dropped, as everything essential is sent again; this protects
# the loop from a member that does not read.
MAX_BODIES_IN_FLIGHT = 32
# Records after which a snapshot replaces them; a start reads at most about as many.
RECORDS_PER_SNAPSHOT = 4000
MAX_PROPOSAL_WAIT_S = 30.0  # for the answer to a proposal within one request
MESSAGE_PATH = "/fleet/message"
# A catalogue of 100,000 titles takes about 15 MB; only one copy is sent at a time.
CATALOGUE_PATH, MAX_CATALOGUE_BYTES = "/fleet/catalogue", 128 << 20
TITLES_PER_SLICE = 500  # between two yields to the loop: about 1 ms
MAX_CHANGE_IDS = 2000  # sent with a catalogue
CATALOGUE_TIMEOUT_S = 4.0  # after the 6 s of its stage a controller serves what it has


def settled(value):
    """Raises InconsistentRecordError, with all faults found, if the `fleet` section of a front file is
    inconsistent."""
    fleet, me = value["fleet"], value["controller"]["name"]
    if not fleet["name"]:
        return
    faults, names = [], {me, *fleet["members"]}
    if me in fleet["members"]:
        faults.append(f"fleet.members.{me}: this controller itself; name only the others")
    faults += [f"fleet.voters: no member '{voter}'" for voter in fleet["voters"] if voter not in names]
    if len(fleet["voters"]) not in (0, 3, 5) or len(set(fleet["voters"])) != len(fleet["voters"]):
        faults.append(f"fleet.voters: {len(fleet['voters'])} names, wanted 3 or 5 different ones, or none")
    if me in fleet["voters"] and not fleet["store"]:
        faults.append("fleet.store: a voter stores the record and needs a folder")
    front = urlsplit(fleet["front"])
    if fleet["front"] not in ("", "listen") and (
        front.scheme not in ("http", "https") or not front.netloc or front.path.strip("/")
    ):
        faults.append(
            f"fleet.front: '{fleet['front']}' is not a URL without a path, such as http://HOST:PORT"
        )
    if faults:
        raise InconsistentRecordError("\n".join(faults))


class FleetService:
    """A controller of a fleet with its sockets, store and timer.

    `value`: the `fleet` section of a front file; `me`: this controller's name; `startup_target(plan)`: the
    startup target of a plan, by its name, in ns. Raises Held if another process uses the voter's store
    folder. The service sets `site`, `overload_control`, `observation_collector` and `keep_in` after
    construction where configured.
    """

    def __init__(self, value, me, clock, seed, log, startup_target=lambda plan: 0):
        self.startup_target = startup_target
        self.value, self.me, self.clock, self.log = value, me, clock, log
        self.dropped, self.body_tasks, self.pool = Counter(), set(), Pool(2)
        self.site = None  # planned_work_site.PlannedWorkSite, if this controller takes part in planned work
        self.logged_level = 0.0
        # overload_control.OverloadControl, if this controller sheds by the fleet's level
        self.overload_control = None
        # set by `set_catalogue`; the task that takes a copy; whether a copy is being sent
        self.catalogue, self.copy_task, self.sending_copy = None, None, False
        # observation_collector.ObservationCollector; the file that keeps its observations over a restart, ""
        # for none
        self.observation_collector, self.keep_in = None, ""
        self.recovery_progress, self.answers = RecoveryProgress(clock.now(), True), RecentRequests(HOLDS)
        self.worked = asyncio.Event()  # set when planned work was agreed on; the service clears it
        self.committer, durable = None, None
        if me in value["voters"]:
            durable = self._opened(value["store"])
        known = {me, *value["members"]}
        run = time.time_ns() // 1_000_000
        self.controller = Controller(
            value["name"],
            me,
            known,
            value["voters"],
            durable,
            run,
            clock.now(),
            lambda: secrets.token_hex(8),
            seed,
        )
        self.elsewhere = RedirectTargets(self.controller, seed)
        self.server = Server(self._request, 256, body_size=MAX_BODY_BYTES, fault=self._log_fault)
        self.transport, self.addresses, self.timer, self.timer_at = None, [], None, None
        self.write_task, self.waiters, self.closing, self.logged_cut_off = None, set(), False, False

    def _opened(self, folder):
        """Opens a voter's store and returns its PersistentState; renames a damaged folder and starts empty.

        What this voter once confirmed can't be known after damage, so it starts without any state.
        """
        durable = PersistentState()
        try:
            store = Store(Files(folder), {STREAM: durable})
        except Damaged as error:
            damaged_folder = f"{folder}.damaged-{time.time_ns():x}"
            os.rename(folder, damaged_folder)
            self.log.error(
                "fleet: store damaged, put aside; a new identity is asked for",
                what=str(error),
                folder=damaged_folder,
            )
            durable = PersistentState()
            store = Store(Files(folder), {STREAM: durable})
        self.committer = Committer(store)
        return durable

    def _log_fault(self, exchange, error):
        self.log.error("fault of the fleet", path=exchange.path, exc_info=error)

    async def start(self, viewer_address=""):
        """Opens the sockets and starts the timer; `viewer_address`: host:port of HTTP for viewers."""
        front = self.value["front"]
        self.elsewhere.mine = (
            f"http://{viewer_address}" if front == "listen" and viewer_address else front.rstrip("/")
        )
        loop = asyncio.get_running_loop()
        self.controller.catalogue_sync.begin(self.clock.now())
        host, _, port = self.value["datagrams"].rpartition(":")
        self.transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(self), (host, int(port)))
        self.addresses = [
            "{}:{}".format(*self.transport.get_extra_info("sockname")[:2]),
            self.server.listen_on(self.value["http"]),
        ]
        self._process_output()

    # Receiving.

    def packet(self, data):
        """Handles a received message, of a datagram or an HTTP body; counts it if it is dropped."""
        message = decode(data, self.value["name"], self.me, self.controller.configured_names)
        if isinstance(message, str):
            self.dropped[message] += 1
            return
        self.controller.receive(self.clock.now(), message)
        self._process_output()

    async def _request(self, exchange):
        if exchange.method == "GET" and exchange.path == CATALOGUE_PATH and self.catalogue is not None:
            return await self._send_catalogue(exchange)
        if exchange.method != "POST" or exchange.path != MESSAGE_PATH:
            return await exchange.reply(404, text="nothing here")
        self.packet(bytes(exchange.body))
        return await exchange.reply(204)

    def _on_timer(self):
        self.timer = self.timer_at = None
        self.controller.tick(self.clock.now())
        self._process_output()

    # Sending.

    def _process_output(self):
        """Sends and writes what the controller has produced, logs its changes and sets the timer anew."""
        controller, now = self.controller, self.clock.now()
        messages, controller.outbox = controller.outbox, []
        for to, data in messages:
            self._send(to, data)
        if controller.pending_writes and self.write_task is None and not self.closing:
            self.write_task = asyncio.ensure_future(self._write())
        for _, name, before, after in controller.membership.standing_changes:
            self.log.info("member", name=name, was=before.name.lower(), now=after.name.lower())
        controller.membership.standing_changes.clear()
        for index, entry in controller.committed_log.newly_committed:
            self.log.debug("agreed", index=index, kind=entry.kind, id=entry.id)
            if entry.kind == "value" and REVISION_KEY in entry.value:
                self.worked.set()
        controller.committed_log.newly_committed.clear()
        if (is_cut_off := controller.cut_off_for(now) > 0) != self.logged_cut_off:
            self.logged_cut_off = is_cut_off
            self.log.warning("cut off from the record" if is_cut_off else "the record is heard again")
        for waiter in self.waiters:
            waiter.set()
        next_tick_at = controller.next_tick_at()
        if (
            self.transport is None
            or self.closing
            or self.timer_at is not None
            and self.timer_at <= next_tick_at
        ):
            return
        if self.timer:
            self.timer.cancel()
        self.timer_at = next_tick_at
        self.timer = asyncio.get_running_loop().call_later(
            max(0, next_tick_at - now) / SECOND, self._on_timer
        )

    def _send(self, to, data):
        addresses = self.value["members"].get(to)
        if addresses is None or self.transport is None:
            return
        if len(data) <= MAX_DATAGRAM_BYTES:
            host, _, port = addresses["datagrams"].rpartition(":")
            self.transport.sendto(data, (host, int(port)))
        elif len(self.body_tasks) < MAX_BODIES_IN_FLIGHT:
            task = asyncio.ensure_future(self._post(addresses["http"], data))
            self.body_tasks.add(task)
            task.add_done_callback(self.body_tasks.discard)
        else:
            self.dropped["not sent"] += 1

    async def _post(self, address, data):
        try:
            await fetch(
                self.pool,
                address,
                "POST",
                MESSAGE_PATH,
                {"Content-Length": str(len(data))},
                within=2.0,
                body=data,
            )
        except (Unreached, Broken):
            self.dropped["not sent"] += 1

    async def _write(self):
        """Appends the voter's records batch by batch, in order.

        Messages that depend on a record are sent once it is durable.
        """
        controller = self.controller
        while controller.pending_writes:
            batch, controller.pending_writes, written = controller.pending_writes, [], controller.write_count
            while True:
                try:
                    await self.committer.append([(STREAM, record) for record in batch])
                    break
                except StoreBroken as error:
                    # Its content is in doubt until the process starts again, so nothing more is confirmed.
                    self.log.error("fleet: store broken; this voter says nothing more", what=str(error))
                    return
                except OSError as error:
                    self.log.error("fleet: not kept, tried again", what=str(error))
                    await asyncio.sleep(0.5)
            controller.on_durable(self.clock.now(), written)
            if self.committer.store.since_snapshot > RECORDS_PER_SNAPSHOT:
                async for _ in self.committer.snapshot():
                    pass
            self._process_output()
        self.write_task = None

    def tell_work(self):
        """Reports this controller's playbacks on draining machines now, before the next regular report."""
        now = self.clock.now()
        self.controller.next_work_at = now
        self.controller.tick(now)
        self._process_output()

    def leave(self):
        """Tells the other members that this controller stops; `stop` follows."""
        self.controller.leave(self.clock.now())
        self._process_output()

    async def stop(self):
        """Waits up to 1 s for pending messages and writes, then closes sockets and store."""
        for _ in range(50):  # messages of `leave` are still being sent
            if not self.body_tasks and not self.write_task:
                break
            await asyncio.sleep(0.02)
        self.closing = True
        if self.timer:
            self.timer.cancel()
        if self.write_task:
            self.write_task.cancel()
        await self.server.drain(0.5)
        if self.transport:
            self.transport.abort()
            await asyncio.sleep(0)  # lets the transport close its socket
        self.pool.close()
        if self.committer:
            self.committer.close()

    # Return after a start.

    def watch(self, event, playback, **facts):
        """Counts a viewer's answer, and whether it was in target; called by the core for each event.

        The request is counted together with its answer, as a pending one would otherwise count as late.
        """
        if event == "answer":
            target = self.startup_target(playback.request.plan)
            in_target = facts["kind"] == AnswerKind.PLAYS.value and facts["took"] <= target
            self.answers.count(self.clock.now(), 1, in_target)

    def returns(self, listed):
        """Announces the front, logs the shedding level and advances the return; called every second.

        `listed`: whether the streamer list has entries.
        """
        now, previous_stage = self.clock.now(), self.recovery_progress.stage
        self.elsewhere.announce(now)
        if self.overload_control and (level := round(self.overload_control.level(), 1)) != self.logged_level:
            self.logged_level = level
            self.log.info("shed", at=level, why=self.controller.shedding.why)
        self._process_output()
        self.recovery_progress.advance(
            now, listed, self.controller.committed_log.complete_as_of is not None, *self.answers.recent(now)
        )
        if self.recovery_progress.stage is not previous_stage:
            self.log.info("return", stage=self.recovery_progress.stage.value, past=self.recovery()["past"])

    # The catalogue.

    def set_catalogue(self, catalogue):
        """Sets the catalogue service; titles are served only once the other members' state is known."""
        self.catalogue, controller = catalogue, self.controller
        controller.catalogue_sync = CatalogueSync(
            self.me, self.clock.now(), lambda: catalogue.versions.ids, len(controller.configured_names) - 1
        )

    def unsure(self):
        """Tells whether no title may be served yet; starts to copy the catalogue if a member is ahead."""
        copies = self.controller.catalogue_sync
        if copies.standing is SyncState.BEHIND and (self.copy_task is None or self.copy_task.done()):
            self.copy_task = asyncio.ensure_future(self._copy_catalogue(copies))
        return not copies.sure()

    async def _send_catalogue(self, exchange):
        if self.sending_copy or self.controller.catalogue_sync.standing is SyncState.BEHIND:
            return await exchange.reply(503, text="busy")
        self.sending_copy = True
        try:
            versions = self.catalogue.versions
            version, titles = versions.pin(), {}
            try:
                for count, (name, _, title) in enumerate(versions.items(version), 1):
                    titles[name] = msgspec.to_builtins(title)
                    if count % TITLES_PER_SLICE == 0:
                        await asyncio.sleep(0)
            finally:
                versions.unpin()
            value = {"ids": self.controller.catalogue_sync.ids()[-MAX_CHANGE_IDS:], "titles": titles}
            body = await asyncio.get_running_loop().run_in_executor(None, msgspec.msgpack.encode, value)
            return await exchange.reply(200, body=body)
        finally:
            self.sending_copy = False

    async def _copy_catalogue(self, copies):
        """Replaces the catalogue by a member's, as a single change; leaves it as it is on any failure."""
        source, complete, loop = copies.source, False, asyncio.get_running_loop()
        try:
            code, _, body = await fetch(
                self.pool,
                self.value["members"][source]["http"],
                "GET",
                CATALOGUE_PATH,
                within=CATALOGUE_TIMEOUT_S,
                most=MAX_CATALOGUE_BYTES,
            )
            if code == 200:
                change = await loop.run_in_executor(None, self._decode_catalogue, body)
                await self.catalogue.apply(change)
                complete = True
                self.log.warning("catalogue: copied from a member", of=source, titles=len(change.put))
        except (
            Unreached,
            Broken,
            StoreBroken,
            OSError,
            ValueError,
            KeyError,
            TypeError,
            Fault,
            Conflict,
        ) as error:
            self.log.warning("catalogue: not copied", of=source, what=str(error)[:200])
        copies.copied(complete)

    def _decode_catalogue(self, body):
        """Returns the change that replaces the whole catalogue; runs in a thread, as a body is large."""
        value = msgspec.msgpack.decode(body)
        change = change_of(
            {"id": f"{COPY_ID_PREFIX}{time.time_ns():x}", "put": value["titles"], "whole": True},
            "fleet",
            time.time(),
        )
        change.knows = tuple(map(str, value["ids"]))
        return change

    async def run_observations(self):
        """Restores the observations of streamers, then updates and stores them until cancelled."""
        loop = asyncio.get_running_loop()
        self._restore_observations()
        while True:
            try:
                self.observation_collector.update()
                self._process_output()
                if self.keep_in and (observations := self.observation_collector.take_due_save()) is not None:
                    await loop.run_in_executor(
                        None, _write_atomically, self.keep_in, msgspec.json.encode(observations)
                    )
            except OSError as error:
                self.log.error("fleet: what was seen of streamers is not kept", what=str(error))
            except Exception as fault:  # keep the loop running
                self.log.error("fault of the fleet", exc_info=fault)
            await asyncio.sleep(0.1 if self.recovery_progress.under_way() else 1.0)

    async def run_overload_control(self):
        """Updates what the fleet has found and allows under load, until cancelled."""
        while True:
            try:
                previous = sorted(self.overload_control.last_limits[1].items())
                self.overload_control.update()
                if (found := sorted(self.overload_control.last_limits[1].items())) != previous:
                    self.log.debug(
                        "found",
                        left=[id for id, allowed in found if not allowed],
                        tried=[id for id, allowed in found if allowed],
                    )
            except Exception as fault:  # keep the loop running
                self.log.error("fault of the fleet", exc_info=fault)
            await asyncio.sleep(LOOKS / SECOND)

    def _restore_observations(self):
        if not self.keep_in or not os.path.exists(self.keep_in):
            return
        try:
            with open(self.keep_in, "rb") as file:
                observations = msgspec.json.decode(file.read(), type=SavedObservations)
            self.observation_collector.restore(observations)
        except (OSError, msgspec.DecodeError) as error:  # the observations only speed up the return
            self.log.warning("fleet: what was seen of streamers can't be read", what=str(error))

    def recovery(self):
        """Returns the progress of this controller's return, for /fleet/recovery."""
        return {"name": self.me, **self.recovery_progress.report(self.clock.now())}

    # Admin interface.

    def members(self):
        """Returns the members as this controller sees them, for /fleet/members."""
        now = self.clock.now()
        return {
            "name": self.me,
            "fleet": self.value["name"],
            "members": self.controller.membership.describe_members(now),
            "health": self.controller.membership.health_score,
            "dropped": dict(self.dropped),
        }

    def record(self):
        """Returns the agreed state and this controller's part in it, for /fleet/record."""
        now = self.clock.now()
        state = self.controller.committed_log.state
        return {**self.controller.report(now), "map": state["map"], "ids": state["ids"]}

    def load(self):
        """Returns the fleet's recent load and the level of shedding, for /fleet/load."""
        return (
            self.overload_control.report()
            if self.overload_control
            else {"error": "fleet.shed is not set in the front file"}
        )

    def work(self):
        """Returns the planned work, the machines as seen here and what they wait for, for /fleet/work."""
        controller, leads, state = (
            self.controller,
            self.controller.leader() == self.me,
            self.controller.committed_log.state,
        )
        machines = {
            name: {
                "rack": machine.rack,
                "zone": machine.zone,
                "weight": machine.weight,
                "ready": machine.ready,
                "cold": machine.cold,
                "started": machine.started,
                "titles": sorted(machine.titles),
                "labels": sorted(machine.labels),
                "voter": machine.voter,
            }
            for name, machine in controller.all_machines().items()
        }
        age = controller.committed_log.age(self.clock.now())
        return {
            "map": {key: row for key, row in state["map"].items() if key.startswith("work/")},
            "age_s": None if age is None else age / SECOND,
            "machines": machines,
            "why": controller.work_scheduler.hold_reasons if leads else {},
            "leader": controller.leader(),
            "leads": leads,
            "likely_s": controller.work_scheduler.estimate_starts(
                self.clock.now(), state, controller.work_view()
            )
            if leads
            else {},
            "left": sorted(controller.out_in_earlier_epoch),
        }

    async def propose(self, value):
        """Proposes an entry of the record and returns (HTTP status code, answer).

        200, with its index, once it is known here to be agreed; `counted` tells whether it took effect, as
        the state on which it was based may have changed. 504 if that is not known in time, 429 if too many
        proposals are pending, 422 if `value` (id, value, wait in s) is malformed.
        """
        id, entry, wait = value.get("id"), value.get("value"), value.get("wait", 5.0)
        if not isinstance(id, str) or not 0 < len(id) <= 128:
            return 422, {"error": "id: must be a string of 1 to 128 characters"}
        if (
            not isinstance(entry, dict)
            or not entry
            or len(msgspec.msgpack.encode(entry)) > MAX_BODY_BYTES // 8
        ):
            return 422, {"error": "value: must be a non-empty object of keys and values, half a MiB at most"}
        if not isinstance(wait, int | float) or not 0 <= wait <= MAX_PROPOSAL_WAIT_S:
            return 422, {"error": f"wait: must be 0 to {MAX_PROPOSAL_WAIT_S:.0f} s"}
        ids = self.controller.committed_log.state["ids"]
        if id not in ids:
            if not self.controller.propose(self.clock.now(), id, entry):
                return 429, {"error": "too many pending proposals"}
            self._process_output()
            await self._until(lambda: id in self.controller.committed_log.state["ids"], wait)
        index = self.controller.committed_log.state["ids"].get(id)
        if index is None:
            return 504, {"error": "not known to be agreed yet; send it again with the same id", "id": id}
        return 200, {
            "id": id,
            "index": abs(index),
            "counted": index > 0,
            "epoch": list(self.controller.committed_log.epoch),
        }

    async def restart(self, value):
        """Starts a new epoch of the record on an operator's request; returns (HTTP status code, answer).

        `value["state"]`: the map and ids to start with, or None for an empty record. 422 if this controller
        is no voter or the state is malformed.
        """
        if self.controller.voter is None:
            voters = ", ".join(self.value["voters"])
            return 422, {"error": f"{self.me} is not a voter; restart the record at one of {voters}"}
        state, given_up = value.get("state"), self.record()
        if state is not None:
            try:
                state = {**initial_state((0, "")), "map": dict(state["map"]), "ids": dict(state["ids"])}
            except (TypeError, KeyError, ValueError):
                return 422, {"error": "state: must be an object with map and ids"}
        self.controller.begin_epoch(self.clock.now(), state)
        self._process_output()
        await self._until(lambda: self.controller.committed_log.last_index > 0, 5.0)
        self.log.warning("fleet: the record begins anew on an operator's word", epoch=self.record()["epoch"])
        return 200, {
            "epoch": self.record()["epoch"],
            "given_up": {"epoch": given_up["epoch"], "agreed": given_up["agreed"]},
        }

    async def _until(self, condition, seconds):
        """Waits until the condition holds, for `seconds` at most; it is checked after each event."""
        waiter, deadline = asyncio.Event(), time.monotonic() + seconds
        self.waiters.add(waiter)
        try:
            while not condition() and (remaining := deadline - time.monotonic()) > 0:
                waiter.clear()
                try:
                    await asyncio.wait_for(waiter.wait(), remaining)
                except TimeoutError:
                    break
        finally:
            self.waiters.discard(waiter)


def _write_atomically(path, data):
    """Replaces a file as a whole; called in a thread, as the disk may be slow."""
    with open(path + ".part", "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(path + ".part", path)


class Datagrams(asyncio.DatagramProtocol):
    """Passes received datagrams to a FleetService."""

    def __init__(self, fleet):
        self.fleet = fleet

    def datagram_received(self, data, addr):
        """Hands one datagram to the fleet."""
        self.fleet.packet(data)

    def error_received(self, exc):
        """Ignores ICMP errors, as failure detection is the membership's task."""
        pass
