"""A fleet's controller on an event loop: datagrams, bodies over HTTP, its store, a timer. Decides nothing."""

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
from terndrift.fleet.agreed import beginning
from terndrift.fleet.copies import COPY as COPY_OF
from terndrift.fleet.copies import Copies
from terndrift.fleet.copies import Standing as Copying
from terndrift.fleet.elsewhere import Elsewhere
from terndrift.fleet.member import Controller
from terndrift.fleet.messages import BODY, DATAGRAM, opened
from terndrift.fleet.record import Durable
from terndrift.fleet.sight import Kept
from terndrift.fleet.site import OfLate
from terndrift.fleet.stages import HOLDS, Return
from terndrift.fleet.surge import LOOKS
from terndrift.fleet.work import REV
from terndrift.http.client import Broken, Pool, Unreached, fetch
from terndrift.http.server import Server
from terndrift.store.commit import Committer
from terndrift.store.files import Files
from terndrift.store.store import Broken as StoreBroken
from terndrift.store.store import Damaged, Store

SECOND = 1_000_000_000
STREAM = "fleet"
# Bodies on their way to others at once; one more is dropped, as all that matters is said again. Guards the
# loop against a member that takes nothing.
MOST_BODIES = 32
# Records after which the store's state takes their place: a start then reads as many at most.
SNAPSHOT_AFTER = 4000
LONGEST_WAIT = 30.0  # s for which a proposal's answer may be awaited in one request
PATH = "/fleet/message"
# A whole catalogue of 100,000 titles is 15 MB or so, and one is handed out at a time.
COPY, LARGEST_COPY = "/fleet/catalogue", 128 << 20
SLICE = 500  # titles between two turns of the loop: a ms or so
MOST_IDS = 2000  # of changes, that go with it
COPY_WITHIN = 4.0  # s; past the 6 s of its stage a controller serves what it has


def settled(value):
    """Raises InconsistentRecordError if the `fleet` of a front file does not fit together."""
    fleet, me = value["fleet"], value["controller"]["name"]
    if not fleet["name"]:
        return
    out, names = [], {me, *fleet["members"]}
    if me in fleet["members"]:
        out.append(f"fleet.members.{me}: this controller itself; only the others are named")
    out += [f"fleet.voters: no member '{v}'" for v in fleet["voters"] if v not in names]
    if len(fleet["voters"]) not in (0, 3, 5) or len(set(fleet["voters"])) != len(fleet["voters"]):
        out.append(f"fleet.voters: {len(fleet['voters'])} names, wanted 3 or 5 different ones, or none")
    if me in fleet["voters"] and not fleet["store"]:
        out.append("fleet.store: a voter keeps the record, and needs a folder")
    front = urlsplit(fleet["front"])
    if fleet["front"] not in ("", "listen") and (
        front.scheme not in ("http", "https") or not front.netloc or front.path.strip("/")
    ):
        out.append(f"fleet.front: '{fleet['front']}' is no URL without a path, as http://HOST:PORT")
    if out:
        raise InconsistentRecordError("\n".join(out))


class Fleet:
    """`value`: the `fleet` of a front file. Raises Held where its folder is in use."""

    def __init__(self, value, me, clock, seed, log, target=lambda plan: 0):
        self.target = target  # plan's name -> its startup target, ns
        self.value, self.me, self.clock, self.log = value, me, clock, log
        self.dropped, self.bodies, self.pool = Counter(), set(), Pool(2)
        self.site = None  # where this controller obeys planned work
        self.said_level = 0.0
        self.surge = None  # where this controller sheds as the fleet has settled
        self.catalogue, self.copying, self.copied_out = None, None, False  # see `serves`
        self.sight, self.keep_in = None, ""  # what it sees of streamers; the file with that of its last run
        self.back, self.served = Return(clock.now(), True), OfLate(HOLDS)
        self.worked = asyncio.Event()  # set when any of it was agreed
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
        self.elsewhere = Elsewhere(self.controller, seed)
        self.server = Server(self._body, 256, body_size=BODY, fault=self._fault)
        self.transport, self.addresses, self.timer, self.timer_at = None, [], None, None
        self.writing, self.waiting, self.closing, self.said_cut = None, set(), False, False

    def _opened(self, folder):
        """What the voter kept. A damaged folder is put aside: what it once said can't be known any more, so
        it begins as one that has nothing."""
        durable = Durable()
        try:
            store = Store(Files(folder), {STREAM: durable})
        except Damaged as wrong:
            aside = f"{folder}.damaged-{time.time_ns():x}"
            os.rename(folder, aside)
            self.log.error(
                "fleet: store damaged, put aside; a new identity is asked for", what=str(wrong), folder=aside
            )
            durable = Durable()
            store = Store(Files(folder), {STREAM: durable})
        self.committer = Committer(store)
        return durable

    def _fault(self, exchange, error):
        self.log.error("fault of the fleet", path=exchange.path, exc_info=error)

    async def start(self, listens=""):
        """`listens`: the HTTP address at which viewers come."""
        front = self.value["front"]
        self.elsewhere.mine = f"http://{listens}" if front == "listen" and listens else front.rstrip("/")
        loop = asyncio.get_running_loop()
        self.controller.copies.begin(self.clock.now())
        host, _, port = self.value["datagrams"].rpartition(":")
        self.transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(self), (host, int(port)))
        self.addresses = [
            "{}:{}".format(*self.transport.get_extra_info("sockname")[:2]),
            self.server.listen_on(self.value["http"]),
        ]
        self._after()

    # What comes in.

    def packet(self, data):
        found = opened(data, self.value["name"], self.me, self.controller.known)
        if isinstance(found, str):
            self.dropped[found] += 1
            return
        self.controller.received(self.clock.now(), found)
        self._after()

    async def _body(self, exchange):
        if exchange.method == "GET" and exchange.path == COPY and self.catalogue is not None:
            return await self._hand_copy(exchange)
        if exchange.method != "POST" or exchange.path != PATH:
            return await exchange.reply(404, text="nothing here")
        self.packet(bytes(exchange.body))
        return await exchange.reply(204)

    def _ring(self):
        self.timer = self.timer_at = None
        self.controller.tick(self.clock.now())
        self._after()

    # What goes out.

    def _after(self):
        c, now = self.controller, self.clock.now()
        said, c.out = c.out, []
        for to, data in said:
            self._send(to, data)
        if c.writes and self.writing is None and not self.closing:
            self.writing = asyncio.ensure_future(self._write())
        for _, name, before, after in c.members.changes:
            self.log.info("member", name=name, was=before.name.lower(), now=after.name.lower())
        c.members.changes.clear()
        for index, entry in c.follower.heard:
            self.log.debug("agreed", index=index, kind=entry.kind, id=entry.id)
            if entry.kind == "value" and REV in entry.value:
                self.worked.set()
        c.follower.heard.clear()
        if (cut := c.cut_off(now) > 0) != self.said_cut:
            self.said_cut = cut
            self.log.warning("cut off from the record" if cut else "the record is heard again")
        for waiter in self.waiting:
            waiter.set()
        at = c.next_at()
        if self.transport is None or self.closing or self.timer_at is not None and self.timer_at <= at:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_later(max(0, at - now) / SECOND, self._ring)

    def _send(self, to, data):
        row = self.value["members"].get(to)
        if row is None or self.transport is None:
            return
        if len(data) <= DATAGRAM:
            host, _, port = row["datagrams"].rpartition(":")
            self.transport.sendto(data, (host, int(port)))
        elif len(self.bodies) < MOST_BODIES:
            task = asyncio.ensure_future(self._post(row["http"], data))
            self.bodies.add(task)
            task.add_done_callback(self.bodies.discard)
        else:
            self.dropped["not sent"] += 1

    async def _post(self, address, data):
        try:
            await fetch(
                self.pool, address, "POST", PATH, {"Content-Length": str(len(data))}, within=2.0, body=data
            )
        except (Unreached, Broken):
            self.dropped["not sent"] += 1

    async def _write(self):
        """Batch by batch, in order: what is said after a record goes out once that is durable."""
        c = self.controller
        while c.writes:
            batch, c.writes, wrote = c.writes, [], c.wrote
            while True:
                try:
                    await self.committer.append([(STREAM, record) for record in batch])
                    break
                except StoreBroken as wrong:
                    # nothing is confirmed any more: what it holds is in doubt until the process starts again
                    self.log.error("fleet: store broken; this voter says nothing more", what=str(wrong))
                    return
                except OSError as wrong:
                    self.log.error("fleet: not kept, tried again", what=str(wrong))
                    await asyncio.sleep(0.5)
            c.kept(self.clock.now(), wrote)
            if self.committer.store.since_snapshot > SNAPSHOT_AFTER:
                async for _ in self.committer.snapshot():
                    pass
            self._after()
        self.writing = None

    def tell_work(self):
        """What is held here, said now and not with the next look at work."""
        now = self.clock.now()
        self.controller.work_at = now
        self.controller.tick(now)
        self._after()

    def leave(self):
        self.controller.leave(self.clock.now())
        self._after()

    async def stop(self):
        for _ in range(50):  # what was said as it left is on its way
            if not self.bodies and not self.writing:
                break
            await asyncio.sleep(0.02)
        self.closing = True
        if self.timer:
            self.timer.cancel()
        if self.writing:
            self.writing.cancel()
        await self.server.drain(0.5)
        if self.transport:
            self.transport.abort()
            await asyncio.sleep(0)  # its socket is closed by then
        self.pool.close()
        if self.committer:
            self.committer.close()

    # Coming back.

    def watch(self, event, playback, **facts):
        """Of the core: a viewer's answer, and whether it was in target. Asked is counted with the answer, or
        what is still awaited would count as late."""
        if event == "answer":
            target = self.target(playback.request.plan)
            well = facts["kind"] == AnswerKind.PLAYS.value and facts["took"] <= target
            self.served.count(self.clock.now(), 1, well)

    def returns(self, listed):
        """Every second: how far this controller's return is."""
        now, before = self.clock.now(), self.back.stage
        self.elsewhere.announce(now)
        if self.surge and (level := round(self.surge.level(), 1)) != self.said_level:
            self.said_level = level
            self.log.info("shed", at=level, why=self.controller.shed.why)
        self._after()
        self.back.look(now, listed, self.controller.follower.as_of is not None, *self.served.of_late(now))
        if self.back.stage is not before:
            self.log.info("return", stage=self.back.stage.value, past=self.recovery()["past"])

    # The catalogue.

    def serves(self, catalogue):
        """With this catalogue; before it serves any title it asks how far others are."""
        self.catalogue, c = catalogue, self.controller
        c.copies = Copies(self.me, self.clock.now(), lambda: catalogue.versions.ids, len(c.known) - 1)

    def unsure(self):
        """Whether no title may be served yet; starts a copy where one is wanted."""
        copies = self.controller.copies
        if copies.standing is Copying.BEHIND and (self.copying is None or self.copying.done()):
            self.copying = asyncio.ensure_future(self._take_copy(copies))
        return not copies.sure()

    async def _hand_copy(self, exchange):
        if self.copied_out or self.controller.copies.standing is Copying.BEHIND:
            return await exchange.reply(503, text="busy")
        self.copied_out = True
        try:
            versions = self.catalogue.versions
            version, titles = versions.pin(), {}
            try:
                for n, (name, _, title) in enumerate(versions.items(version), 1):
                    titles[name] = msgspec.to_builtins(title)
                    if n % SLICE == 0:
                        await asyncio.sleep(0)
            finally:
                versions.unpin()
            value = {"ids": self.controller.copies.ids()[-MOST_IDS:], "titles": titles}
            body = await asyncio.get_running_loop().run_in_executor(None, msgspec.msgpack.encode, value)
            return await exchange.reply(200, body=body)
        finally:
            self.copied_out = False

    async def _take_copy(self, copies):
        """A whole catalogue in place of this one, as one change of its own; nothing of it if that fails."""
        source, whole, loop = copies.source, False, asyncio.get_running_loop()
        try:
            code, _, body = await fetch(
                self.pool,
                self.value["members"][source]["http"],
                "GET",
                COPY,
                within=COPY_WITHIN,
                most=LARGEST_COPY,
            )
            if code == 200:
                change = await loop.run_in_executor(None, self._copy, body)
                await self.catalogue.apply(change)
                whole = True
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
        ) as wrong:
            self.log.warning("catalogue: not copied", of=source, what=str(wrong)[:200])
        copies.copied(whole)

    def _copy(self, body):
        value = msgspec.msgpack.decode(body)
        change = change_of(
            {"id": f"{COPY_OF}{time.time_ns():x}", "put": value["titles"], "whole": True},
            "fleet",
            time.time(),
        )
        change.knows = tuple(map(str, value["ids"]))
        return change

    async def sees(self):
        """Until cancelled: what is seen of streamers, and what is known of them after a start."""
        loop = asyncio.get_running_loop()
        self._restore()
        while True:
            try:
                self.sight.look()
                self._after()
                if self.keep_in and (kept := self.sight.keeps()) is not None:
                    await loop.run_in_executor(None, _written, self.keep_in, msgspec.json.encode(kept))
            except OSError as wrong:
                self.log.error("fleet: what was seen of streamers is not kept", what=str(wrong))
            except Exception as fault:  # the next look must come all the same
                self.log.error("fault of the fleet", exc_info=fault)
            await asyncio.sleep(0.1 if self.back.under_way() else 1.0)

    async def meets(self):
        """Until cancelled: what all found and allow under load, for the decisions."""
        while True:
            try:
                before = sorted(self.surge.told[1].items())
                self.surge.look()
                if (found := sorted(self.surge.told[1].items())) != before:
                    self.log.debug(
                        "found",
                        left=[id for id, may in found if not may],
                        tried=[id for id, may in found if may],
                    )
            except Exception as fault:  # the next look must come all the same
                self.log.error("fault of the fleet", exc_info=fault)
            await asyncio.sleep(LOOKS / SECOND)

    def _restore(self):
        if not self.keep_in or not os.path.exists(self.keep_in):
            return
        try:
            with open(self.keep_in, "rb") as file:
                kept = msgspec.json.decode(file.read(), type=Kept)
            self.sight.restore(kept)
        except (OSError, msgspec.DecodeError) as wrong:  # it only saves time
            self.log.warning("fleet: what was seen of streamers can't be read", what=str(wrong))

    def recovery(self):
        return {"name": self.me, **self.back.report(self.clock.now())}

    # What operators see and do.

    def members(self):
        now = self.clock.now()
        return {
            "name": self.me,
            "fleet": self.value["name"],
            "members": self.controller.members.view(now),
            "health": self.controller.members.health,
            "dropped": dict(self.dropped),
        }

    def record(self):
        now = self.clock.now()
        state = self.controller.follower.state
        return {**self.controller.report(now), "map": state["map"], "ids": state["ids"]}

    def load(self):
        """What all were asked for and gave of late, and the level of shedding."""
        return self.surge.report() if self.surge else {"error": "fleet.shed is not set in the front file"}

    def work(self):
        """Planned work: its entries, machines as this controller sees them, what they wait for."""
        c, leads, state = self.controller, self.controller.leader() == self.me, self.controller.follower.state
        machines = {
            n: {
                "rack": m.rack,
                "zone": m.zone,
                "weight": m.weight,
                "ready": m.ready,
                "cold": m.cold,
                "started": m.started,
                "titles": sorted(m.titles),
                "labels": sorted(m.labels),
                "voter": m.voter,
            }
            for n, m in c.all_machines().items()
        }
        age = c.follower.age(self.clock.now())
        return {
            "map": {k: v for k, v in state["map"].items() if k.startswith("work/")},
            "age_s": None if age is None else age / SECOND,
            "machines": machines,
            "why": c.work.why if leads else {},
            "leader": c.leader(),
            "leads": leads,
            "likely_s": c.work.likely(self.clock.now(), state, c.seen()) if leads else {},
            "left": sorted(c.left),
        }

    async def propose(self, value):
        """(code, answer): 200 with its number once it is seen agreed here, and whether it counted, as what it
        was worked out by may have changed; 504 if that is not known yet."""
        id, what, wait = value.get("id"), value.get("value"), value.get("wait", 5.0)
        if not isinstance(id, str) or not 0 < len(id) <= 128:
            return 422, {"error": "id: a text of 1 to 128 characters is wanted"}
        if not isinstance(what, dict) or not what or len(msgspec.msgpack.encode(what)) > BODY // 8:
            return 422, {"error": "value: an object of key and value is wanted, half a MiB at most"}
        if not isinstance(wait, int | float) or not 0 <= wait <= LONGEST_WAIT:
            return 422, {"error": f"wait: 0 to {LONGEST_WAIT:.0f} s is wanted"}
        ids = self.controller.follower.state["ids"]
        if id not in ids:
            if not self.controller.propose(self.clock.now(), id, what):
                return 429, {"error": "too many proposals wait to be agreed"}
            self._after()
            await self._until(lambda: id in self.controller.follower.state["ids"], wait)
        index = self.controller.follower.state["ids"].get(id)
        if index is None:
            return 504, {"error": "not known to be agreed yet; send it again under the same id", "id": id}
        return 200, {
            "id": id,
            "index": abs(index),
            "counted": index > 0,
            "epoch": list(self.controller.follower.epoch),
        }

    async def restart(self, value):
        if self.controller.voter is None:
            voters = ", ".join(self.value["voters"])
            return 422, {"error": f"{self.me} is no voter; the record begins anew at one of {voters}"}
        state, given_up = value.get("state"), self.record()
        if state is not None:
            try:
                state = {**beginning((0, "")), "map": dict(state["map"]), "ids": dict(state["ids"])}
            except (TypeError, KeyError, ValueError):
                return 422, {"error": "state: an object with map and ids is wanted"}
        self.controller.restart(self.clock.now(), state)
        self._after()
        await self._until(lambda: self.controller.follower.last > 0, 5.0)
        self.log.warning("fleet: the record begins anew on an operator's word", epoch=self.record()["epoch"])
        return 200, {
            "epoch": self.record()["epoch"],
            "given_up": {"epoch": given_up["epoch"], "agreed": given_up["agreed"]},
        }

    async def _until(self, true, seconds):
        waiter, until = asyncio.Event(), time.monotonic() + seconds
        self.waiting.add(waiter)
        try:
            while not true() and (left := until - time.monotonic()) > 0:
                waiter.clear()
                try:
                    await asyncio.wait_for(waiter.wait(), left)
                except TimeoutError:
                    break
        finally:
            self.waiting.discard(waiter)


def _written(path, data):
    """A file in place, whole or not at all; in a thread of its own, as a disk may be slow."""
    with open(path + ".part", "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(path + ".part", path)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, fleet):
        self.fleet = fleet

    def datagram_received(self, data, addr):
        self.fleet.packet(data)

    def error_received(self, exc):
        pass  # nobody at that port: members find out by themselves
