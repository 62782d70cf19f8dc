"""A small deployment for the cases of the second review: real controllers, stand-ins for all other parties.

The controllers are processes, started by the deploy file's `run`; streamers, viewers and the control feed are
stand-ins in the process of the case, written from the operators' PROTOCOL page. All addresses are loopback.
Nothing here imports the project.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED, RUNG = 1, 6, 9, 12, 16, 44, 51, 52, 53, 60
CAUSE, DESCRIPTION = 58, 61
MS = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def encode(type, id, *parameters):
    """The bytes of a message; `parameters`: pairs of a code and bytes or text."""
    body = b""
    for code, value in parameters:
        value = value.encode() if isinstance(value, str) else value
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">HB8s", len(body) + 9, type, id) + body


def release(id, cause, *parameters):
    """The bytes of a release, or of a refusal."""
    return encode(RELEASE, id, (CAUSE, bytes([cause])), *parameters)


def decode(buffer):
    """Takes the whole messages off a bytearray: a list of (type, id, {code: bytes})."""
    found = []
    while len(buffer) >= 2 and len(buffer) >= 2 + (size := int.from_bytes(buffer[:2], "big")):
        type, id, at, parameters = buffer[2], bytes(buffer[3:11]), 11, {}
        while at < 2 + size:
            code, length = struct.unpack_from(">BH", buffer, at)
            parameters[code] = bytes(buffer[at + 3 : at + 3 + length])
            at += 3 + length
        del buffer[: 2 + size]
        found.append((type, id, parameters))
    return found


class Record:
    """`record.txt` of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.path.write_text("", encoding="utf-8")
        self.began = time.monotonic()
        self("trouble", "on" if TROUBLE else "off")

    def __call__(self, who, *what):
        """Adds a line: who did what."""
        with open(self.path, "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.began:8.3f} {who}: {' '.join(map(str, what))}\n")


class Session:
    """A set-up, or what stands of it, at a streamer; `state`: setup, stands, over."""

    def __init__(self, streamer, id, connection, parameters):
        self.streamer, self.id, self.connection, self.parameters = streamer, id, connection, parameters
        self.state, self.stood, self.why = "setup", False, None
        self.came_at, self.over_at = time.monotonic(), None


class Streamer:
    """A streamer by the PROTOCOL page.

    `took(session)` gives the seconds that a set-up takes, `length(session)` those that it plays;
    `spoil(session)` says whether the answer stops short, after which its connection is of no further use.
    """

    def __init__(self, site, name, cell=0, idle=30.0):
        self.site, self.name, self.cell, self.idle = site, name, cell, idle
        self.port, self.server, self.born_ms, self.health = 0, None, 0, "up"
        self.connections, self.sessions, self.past = [], {}, []
        self.undelivered = []  # releases that go out on the next connection opened as well
        self.took, self.length = lambda session: 0.06, lambda session: 30.0
        self.spoil = lambda session: False
        self.last_use = {}  # connection -> when anything last passed on it
        self.useless = set()  # connections on which an answer stopped short
        self.notes = asyncio.ensure_future(self._notes())

    async def start(self):
        """Listens on a free port, or on the one that it had before."""
        self.server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.setblocking(False)
        self.server.bind(("127.0.0.1", self.port))
        self.server.listen(100)
        self.port = self.server.getsockname()[1]
        self.accepting = asyncio.ensure_future(self._accept(self.server))

    async def _accept(self, server):
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(server)
            asyncio.ensure_future(self._take(sock))

    async def _take(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        await self._serve(reader, writer)

    async def come_up_late(self, seconds):
        """New connections come up late: for so long the machine answers none.

        The queue of connections to accept is kept full, so that the machine drops those that come.
        """
        self.site.record(self.name, f"new connections come up late for {seconds} s")
        self.accepting.cancel()
        self.server.listen(0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
        await asyncio.sleep(seconds)
        for filler in fillers:
            filler.close()
        self.server.listen(100)
        self.accepting = asyncio.ensure_future(self._accept(self.server))
        self.site.record(self.name, "new connections come up at once again")

    def row(self):
        """Its row of the list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "here",
            "class": "box",
            "block": self.cell,
            "health": self.health,
            "share": 1,
            "born_ms": self.born_ms,
        }

    async def die(self):
        """The process dies: its connections are reset, its sessions cut."""
        self.site.record(self.name, "dies;", len(self.sessions), "sessions cut")
        self.accepting.cancel()
        self.server.close()
        for writer in self.connections:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        self.connections, self.undelivered = [], []
        for session in list(self.sessions.values()):
            self._over(session, "streamer died")

    def _over(self, session, why):
        if session.state == "over":
            return
        session.state, session.why, session.over_at = "over", why, time.monotonic()
        if self.sessions.get(session.id) is session:
            del self.sessions[session.id]
        self.past.append(session)

    async def _serve(self, reader, writer):
        self.connections.append(writer)
        port = writer.get_extra_info("peername")[1]
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_use[writer] = time.monotonic()
        self.site.record(self.name, "connection", writer.get_extra_info("peername")[1], "opened")
        for data, id in self.undelivered:
            self.site.record(self.name, "release of", id.hex(), "sent on the new connection as well")
            writer.write(data)
        self.undelivered = []
        buffer = bytearray()
        try:
            while data := await reader.read(65536):
                if writer in self.useless:
                    continue
                buffer += data
                for message in decode(buffer):
                    self.last_use[writer] = time.monotonic()
                    self._handle(writer, *message)
        except ConnectionError:
            pass
        finally:
            self.site.record(self.name, "connection", port, "ended")
            if writer in self.connections:
                self.connections.remove(writer)
            self.last_use.pop(writer, None)
            self.useless.discard(writer)
            for session in list(self.sessions.values()):
                if session.connection is writer and session.state == "setup":
                    self._over(session, "given up by close")
            writer.close()

    def _handle(self, writer, type, id, parameters):
        record = self.site.record
        if type == SET_UP:
            if id in self.sessions:
                record(self.name, "SECOND SET-UP of", id.hex())
            session = self.sessions[id] = Session(self, id, writer, parameters)
            record(self.name, "set-up", id.hex(), "on", writer.get_extra_info("peername")[1])
            asyncio.ensure_future(self._set_up(session))
        elif type == RELEASE:
            record(self.name, "controller releases", id.hex(), "cause", parameters.get(CAUSE, b"?")[0])
            writer.write(encode(HEARD, id))
            if session := self.sessions.get(id):
                if session.state == "stands":
                    writer.write(release(id, 31))
                self._over(session, "released by the controller")
        elif type == TEST:
            writer.write(encode(TESTED, id, (CAUSE, b"\1")))
        elif type == RUNG:
            self.say(id, encode(NOTE, id, (37, "at_rung"), (52, parameters[49])))

    def say(self, id, data):
        """Sends what concerns a session: on the connection of its set-up, otherwise on any open one."""
        session = self.sessions.get(id)
        use = session and session.connection if session and session.connection in self.connections else None
        if use is None:
            use = next((c for c in reversed(self.connections) if not c.is_closing()), None)
        if use is None:
            return False
        self.last_use[use] = time.monotonic()
        if use not in self.useless and not use.is_closing():  # else written, and arrives as nothing
            use.write(data)
        return True

    async def _set_up(self, session):
        await asyncio.sleep(self.took(session))
        if session.state != "setup":
            return
        session.state, session.stood = "stands", True
        report = f"active:{len(self.sessions)};x0:0.3;x1:0.3"
        answer = encode(ANSWER, session.id, (DESCRIPTION, f"made by {self.name}"), (43, report))
        if self.spoil(session):
            self.site.record(
                self.name,
                "answer of",
                session.id.hex(),
                "stops short on",
                session.connection.get_extra_info("peername")[1],
            )
            session.connection.write(answer[:-5])
            self.useless.add(session.connection)
        else:
            self.site.record(self.name, "answers", session.id.hex())
            self.say(session.id, answer)
        asyncio.get_running_loop().call_later(self.length(session), self._end, session)

    def _end(self, session):
        if session.state != "stands":
            return
        data = release(session.id, 16)
        self.say(session.id, data)
        self.undelivered.append((data, session.id))
        self.site.record(self.name, "releases", session.id.hex(), "(its end)")
        self._over(session, "ended")

    async def _notes(self):
        """Tells how full its link is on one session; closes what was idle for the time in the settings."""
        told = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - told > self.site.report_every:
                told = now
                standing = [s for s in self.sessions.values() if s.state == "stands"]
                if standing:
                    id = standing[-1].id
                    self.say(id, encode(NOTE, id, (37, "link_use"), (52, "0.3")))
                    self.say(id, encode(NOTE, id, (37, "rack_use"), (52, "0.3")))
            for writer, since in list(self.last_use.items()):
                if now - since > self.idle and not any(
                    s.connection is writer and s.state == "setup" for s in self.sessions.values()
                ):
                    self.last_use.pop(writer)
                    self.site.record(
                        self.name, "closes idle connection", writer.get_extra_info("peername")[1]
                    )
                    writer.close()


class Feed:
    """The control feed: numbered events, told by long polling."""

    def __init__(self):
        self.events, self.changed, self.port = [], asyncio.Event(), 0

    async def start(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, *rows, whole=False):
        """Adds an event with rows of the list."""
        number = len(self.events) + 1
        self.events.append({"n": number, "members": {"seq": number, "whole": whole, "hosts": list(rows)}})
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                held = int(head.split("SUB=")[1].split("&")[0])
                wait = min(5000, int(head.split("wait=")[1].split(" ")[0])) / 1000
                if len(self.events) <= held and wait:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait)
                body = json.dumps({"n": len(self.events), "events": self.events[held:]}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Request:
    """A viewer's set-up and what came of it."""

    def __init__(self, id, plan, wait):
        self.id, self.plan, self.wait, self.sent_at = id, plan, wait, time.monotonic()
        self.answers = []  # (time, "plays" | "refused" | "failed", description)
        self.over_at, self.left_at, self.lost_connection_at = None, None, None

    def plays(self):
        """Whether it was answered that it plays."""
        return any(kind == "plays" for _, kind, _ in self.answers)


class Viewers:
    """A connection of viewers to a controller."""

    def __init__(self, site, address):
        self.site, self.address, self.requests, self.tested = site, address, {}, asyncio.Event()
        self.ended_at, self.reset = None, False

    async def open(self):
        """Connects; returns itself."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.name = f"viewers {self.writer.get_extra_info('sockname')[1]}"
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        buffer = bytearray()
        try:
            while data := await self.reader.read(65536):
                buffer += data
                for message in decode(buffer):
                    self._handle(*message)
        except ConnectionError:
            self.reset = True
        self.ended_at = time.monotonic()
        self.site.record(self.name, "connection ended", "(reset)" if self.reset else "")
        for request in self.requests.values():
            if not request.answers:
                request.lost_connection_at = self.ended_at
        self.writer.close()

    def _handle(self, type, id, parameters):
        if type == TESTED:
            if parameters.get(CAUSE) == b"\1":
                self.tested.set()
            return
        request = self.site.requests.get(id)
        if request is None or type == HEARD:
            return
        now = time.monotonic()
        if type == ANSWER:
            request.answers.append((now, "plays", parameters.get(DESCRIPTION, b"").decode()))
            self.site.record(self.name, "answer to", id.hex(), request.answers[-1][2])
        elif type == RELEASE:
            cause = parameters.get(CAUSE, b"?")[0]
            if request.plays():
                request.over_at = request.over_at or now
                self.site.record(self.name, "told that", id.hex(), "is over, cause", cause)
            else:
                kind = "refused" if cause in (34, 42, 102) else "failed"
                request.answers.append((now, kind, ""))
                self.site.record(self.name, id.hex(), kind, "cause", cause)

    async def test(self):
        """Returns once the controller has passed a test."""
        self.writer.write(encode(TEST, b"testtest", (CAUSE, b"\0")))
        await asyncio.wait_for(self.tested.wait(), 2)

    def set_up(self, plan="free", wait=3000, title="00112233aabbccdd", home=0, copies=1, again=False):
        """Sends a set-up and returns its `Request`."""
        self.site.last_id += 1
        id = (0x5E55_0000_0000_0000 + self.site.last_id).to_bytes(8, "big")
        request = self.site.requests[id] = self.requests[id] = Request(id, plan, wait)
        figures = f"home:{home};copies:{copies};top:2;viewer:{self.site.last_id:016x}"
        self.site.record(self.name, "set-up", id.hex(), plan, f"home {home} copies {copies}")
        self.writer.write(
            encode(
                SET_UP,
                id,
                (16, plan),
                (19, str(wait)),
                (28, title),
                (46, "9000.0"),
                (31, figures + (";again:1" if again else "")),
                (DESCRIPTION, "what I can play"),
            )
        )
        return request

    def leave(self, request):
        """Ends a playback, or gives a set-up up."""
        request.left_at = time.monotonic()
        self.site.record(self.name, "ends", request.id.hex())
        self.writer.write(release(request.id, 16))


class Site:
    """One controller, or several, with the stand-ins round them."""

    def __init__(self, folder, report_every=3.0, idle=30.0, sockets=256, changes=None):
        self.record, self.report_every, self.idle, self.sockets = Record(folder), report_every, idle, sockets
        self.changes = changes or (lambda settings: None)
        self.requests, self.last_id, self.streamers = {}, 0, []
        self.feed, self.controllers = Feed(), []
        self.directory = tempfile.TemporaryDirectory()

    def settings(self, rank, controllers):
        """The settings as the simulator would hand them to this controller."""
        value = {
            "rank": rank,
            "replicas_of_me": controllers,
            "zone": "here",
            "areas": ["here"],
            "host_types": ["box"],
            "profiles": [
                {
                    "name": name,
                    "worth": worth,
                    "slo_ns": 1000 * MS,
                    "deadline_ns": wait * MS,
                    "effect": effect,
                    "stream": True,
                }
                for name, worth, wait, effect in (
                    ("free", 1.0, 5000, "idempotent"),
                    ("paid", 2.0, 4000, "at_most_once"),
                )
            ],
            "family_info": {
                "rung_kb": [200.0, 400.0, 800.0],
                "worth_by_rung": [0.3, 0.6, 1.0],
                "lowest_rung": [0, 1],
                "top_by_class": [2, 2],
                "class_seats": [0, 0],
                "scale_by_class": [1.0, 1.0],
                "places": 4,
                "racks": 2,
                "places_by_kind": [20],
                "link_unit_kb": 16000.0,
                "rack_kb": 32000.0,
                "see_ns": 800 * MS,
                "reports_every_ns": int(self.report_every * 1000) * MS,
                "switch_cost_s": 0.5,
                "shortfall_cost": 6.0,
                "class_live": [False, False],
                "shared_adds": 1.0,
            },
            "load_report": {"how": "answers", "fields": ["active", "x0", "x1"]},
            "ceilings": {
                "try_limit": 5,
                "retry_after": True,
                "max_retry_after_ns": 2000 * MS,
                "connect_timeout_ns": 250 * MS,
                "keepalive_ns": int(self.idle * 1000) * MS,
                "max_streams": 100,
                "probes": False,
                "peer_messages": False,
                "cancel": True,
                "second_copies": False,
            },
            "rules": {
                "cold_ns": 5000 * MS,
                "start_capacity": 0.5,
                "tip_multiple": 2.5,
                "overload_for_ns": 1000 * MS,
                "free_resends": 5,
                "repeat_ratio": 0.1,
                "budget_span_ns": 10_000 * MS,
                "drain_grace_ns": 1000 * MS,
            },
        }
        self.changes(value)
        return value

    async def start_feed(self, *streamers):
        """Starts the streamers, and the feed with a list of them."""
        self.streamers = list(streamers)
        await self.feed.start()
        for streamer in streamers:
            await streamer.start()
        self.feed.publish(*(s.row() for s in streamers), whole=True)

    async def start_controller(self, name="n0", rank=0, controllers=1):
        """Starts a controller by the deploy file's `run`; returns it once it has passed a test."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = ("127.0.0.1", sock.getsockname()[1])
        path = os.path.join(self.directory.name, f"{name}.json")
        value = {
            "name": name,
            "listen": f"{address[0]}:{address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "feed": f"127.0.0.1:{self.feed.port}",
            "known": {"n": len(self.feed.events), "events": list(self.feed.events)},
            "settings": self.settings(rank, controllers),
        }
        Path(path).write_text(json.dumps(value), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        log = os.path.join(self.directory.name, f"{name}.log")
        more = {
            "LB_NAME": name,
            "LB_LISTEN": value["listen"],
            "LB_CONFIG": path,
            "TMPDIR": self.directory.name,
        }
        with open(log, "w", encoding="utf-8") as out:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**os.environ, **more}, stdout=out, stderr=out
            )
        controller = Controller(self, name, process, address, log)
        self.controllers.append(controller)
        until = time.monotonic() + 30
        while True:
            try:
                probe = await Viewers(self, address).open()
                await probe.test()
                probe.writer.close()
                break
            except (OSError, TimeoutError):
                if process.returncode is not None or time.monotonic() > until:
                    raise UnreadyError(f"controller {name} is not ready") from None
                await asyncio.sleep(0.1)
        self.record(name, "ready at", address[1])
        return controller

    async def close(self):
        """Ends the controllers, and adds their logs to the record."""
        for controller in self.controllers:
            if controller.process.returncode is None:
                controller.process.send_signal(signal.SIGCONT)
                controller.process.kill()
                await controller.process.wait()
            for line in Path(controller.log).read_text(encoding="utf-8").splitlines():
                self.record(f"log of {controller.name}", line)
        self.directory.cleanup()


class Controller:
    """A controller's process; `signal` sends it a signal."""

    def __init__(self, site, name, process, address, log):
        self.site, self.name, self.process, self.address, self.log = site, name, process, address, log

    async def viewers(self):
        """A new connection of viewers to it."""
        return await Viewers(self.site, self.address).open()

    def signal(self, number):
        """Sends a signal to its process."""
        self.site.record(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)


def told_too_early(site):
    """A line for each playback whose viewer was told that it is over while its streamer played on.

    Over 1.05 s longer, that is: the streamer was not told either, and nobody had ended the playback.
    """
    broken, now = [], time.monotonic()
    for streamer in site.streamers:
        for session in [*streamer.past, *streamer.sessions.values()]:
            request = site.requests[session.id]
            on = (session.over_at or now) - request.over_at if request.over_at else 0
            if on > 1.05 and session.stood and request.left_at is None:
                so_far = "" if session.over_at else " so far"
                broken.append(
                    f"{session.id.hex()} ({request.plan}): its viewer was told that it is over;"
                    f" {streamer.name} played on for {on:.1f} s{so_far}"
                )
    return broken


class UnreadyError(Exception):
    """The case could not run: what it needs before the disruption did not come about."""


def need(condition, what):
    """Ends the case as not run unless the condition holds."""
    if not condition:
        raise UnreadyError(what)


def main(folder, case, **options):
    """Runs `await case(site)`, which returns the broken promises; exits with 1, 0 or 2."""

    async def play():
        site = Site(folder, **options)
        try:
            broken = await asyncio.wait_for(case(site), 110)
            for controller in site.controllers:
                if controller.process.returncode is not None:
                    broken.append(f"{controller.name} has ended by itself")
            for line in broken:
                site.record("BROKEN", line)
            site.record("verdict", "broken" if broken else "held")
            return 1 if broken else 0
        except (UnreadyError, OSError, TimeoutError) as error:
            site.record("not run", repr(error))
            return 2
        finally:
            await site.close()

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
