"""Stand-ins for the clients, streamers and control feed of the platform, written from PROTOCOL and DEPLOY.

They use the standard library only and no code of the project. A case builds a small deployment with them,
starts controllers by the `run` command of the deploy file, and judges what passed on the sockets.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, NOTE, MOVE = 1, 6, 9, 12, 16, 44, 51
TEST, TESTED, RUNG = 52, 53, 60
PLAN, WAIT, TITLE, FIGURES, ADVICE, NOTE_NAME, REPORT = 16, 19, 28, 31, 34, 37, 43
HINT, RUNG_NO, NOTE_VALUE, CAUSE, DESCRIPTION = 46, 49, 52, 58, 61
NAMES = {
    1: "set-up",
    6: "progress",
    9: "answer",
    12: "release",
    16: "release heard",
    44: "note",
    51: "move",
    52: "test",
    53: "tested",
    60: "rung",
}


class CannotRunError(Exception):
    """The case can't be judged: a process did not start, or a step before the disruption failed."""


def encode(type, id, *parameters):
    """Return the bytes of a message; parameters are pairs of a code and text or bytes."""
    body = b""
    for code, value in parameters:
        value = value.encode() if isinstance(value, str) else value
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">HB8s", len(body) + 9, type, id) + body


def encode_release(id, cause, *parameters):
    """Return the bytes of a release."""
    return encode(RELEASE, id, (CAUSE, bytes([cause])), *parameters)


def decode(buffer):
    """Remove the whole messages from the start of a bytearray; return them as (type, id, parameters)."""
    messages = []
    while len(buffer) >= 2:
        size = struct.unpack_from(">H", buffer)[0]
        if len(buffer) < size + 2:
            break
        type, id = struct.unpack_from(">B8s", buffer, 2)
        parameters, offset = {}, 11
        while offset < size + 2:
            code, length = struct.unpack_from(">BH", buffer, offset)
            parameters[code] = bytes(buffer[offset + 3 : offset + 3 + length])
            offset += 3 + length
        messages.append((type, id, parameters))
        del buffer[: size + 2]
    return messages


class Record:
    """The lines of record.txt: seconds since the start, who, and what happened."""

    def __init__(self, path):
        self.began, self.file = time.time(), open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self):
        """Return the seconds since the start of the case, by the system's Unix clock."""
        return time.time() - self.began

    def __call__(self, who, what):
        """Write one line."""
        self.file.write(f"{self.now():9.3f} {who}: {what}\n")
        self.file.flush()


class Link(asyncio.Protocol):
    """One connection of a stand-in; hands whole messages to `on_message(link, type, id, parameters)`."""

    def __init__(self, on_message, on_end=lambda link: None, on_data=None, number=0):
        self.on_message, self.on_end, self.on_data, self.number = on_message, on_end, on_data, number
        self.buffer, self.transport, self.open = bytearray(), None, False

    def connection_made(self, transport):
        """Called by asyncio."""
        self.transport, self.open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        """Called by asyncio."""
        if self.on_data is not None and self.on_data(self):
            return
        self.buffer += data
        for message in decode(self.buffer):
            self.on_message(self, *message)

    def connection_lost(self, error):
        """Called by asyncio."""
        self.open = False
        self.on_end(self)

    def send(self, data):
        """Write bytes, if the connection is open."""
        if self.open:
            self.transport.write(data)


class Session:
    """A session as a streamer has it: in set-up, standing or over; `number` is that of its controller."""

    def __init__(self, id, number, link, rung, title, plan):
        self.id, self.number, self.link, self.rung = id, number, link, rung
        self.title, self.plan, self.state = title, plan, "set-up"
        self.received_at = self.ended_at = self.ended_by = None


class Streamer:
    """A streamer: answers set-ups after `work` seconds, sends notes, ends what it is told to end.

    It has an address for each controller. `link_use` is what is asked of its link over what the link gives,
    unless `Deployment.measure_links` has it worked out from the sessions; from `refuses_from` on (0: never)
    it answers that it is full. It sends the note on its link every `interval` seconds, on one session of each
    controller.
    """

    def __init__(self, record, name, cell, zone, kind, controllers):
        self.record, self.name, self.cell, self.zone, self.kind = record, name, cell, zone, kind
        self.work, self.link_use, self.refuses_from, self.interval = 0.06, 0.3, 0.0, 0.0
        self.rates, self.link_kb, self.uplink_kb, self.rack = (), 0.0, 0.0, [self]
        self.born_ms, self.hanging, self.vanished = 0, False, False
        self.sessions, self.links, self.old_links, self.unheard = {}, [], set(), []
        self.ports, self.listeners, self.fillers = [0] * controllers, [], []
        self.tasks, self.set_ups = [], []  # set_ups: (time, id, title, plan) of every set-up received
        # sessions whose rung was told; controllers that hear of short delivery; times of notes
        self.told, self.short, self.noted_at, self.delivery_at = set(), set(), 0.0, 0.0

    # Its process and its machine.

    def start(self):
        """Listen, on the ports it had before if there were any."""
        for number, port in enumerate(self.ports):
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", port))
            listener.setblocking(False)
            self.ports[number] = listener.getsockname()[1]
            self.listeners.append(listener)
        self._listen(128)

    def _listen(self, backlog):
        for number, listener in enumerate(self.listeners):
            listener.listen(backlog)
            asyncio.get_running_loop().add_reader(listener, self._accept, listener, number)

    def _accept(self, listener, number):
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            link = Link(self._on_message, self._on_end, self._goes_astray, number)
            self.links.append(link)
            self.tasks.append(asyncio.ensure_future(self._open(link, sock)))

    async def _open(self, link, sock):
        await asyncio.get_running_loop().connect_accepted_socket(lambda: link, sock)
        waiting = [item for item in self.unheard if item[0] == link.number]
        for item in waiting:
            self.unheard.remove(item)
            link.send(item[1])

    def _close_listeners(self):
        for listener in self.listeners:
            asyncio.get_running_loop().remove_reader(listener)
            listener.close()
        self.listeners.clear()

    def die(self):
        """End the process: its connections are reset, its sessions are cut, connects are turned away."""
        self.record(self.name, "process dies: connections are reset, sessions are cut")
        self._close_listeners()
        for link in self.links:
            if link.open:
                link.transport.abort()
        self.links.clear()
        self._cut_all()

    def come_back(self):
        """Start a new process under the same name and address; it has none of the old sessions."""
        self.born_ms = int(time.time() * 1000)
        self.record(self.name, "a new process runs under the same name and address")
        self.start()

    async def vanish(self):
        """The machine is lost: open connections stay open and silent, new ones never come up."""
        self.record(self.name, "machine is lost: connections stay open and silent, sessions are cut")
        self.vanished = True
        self.old_links |= {link for link in self.links if link.open}
        self.links.clear()
        self._cut_all()
        loop = asyncio.get_running_loop()
        for listener in self.listeners:
            loop.remove_reader(listener)
            listener.listen(0)  # once its queue is full, the kernel drops further connects without a word
        for port in self.ports:
            while True:
                filler = socket.socket()
                filler.setblocking(False)
                self.fillers.append(filler)
                try:
                    await asyncio.wait_for(loop.sock_connect(filler, ("127.0.0.1", port)), 0.02)
                except TimeoutError:
                    break

    def return_cold(self):
        """The machine is back with a new process: what arrives on an old connection is reset."""
        self.record(self.name, "machine is back with a new process that has none of the old sessions")
        self.vanished, self.born_ms = False, int(time.time() * 1000)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self._listen(128)

    def _goes_astray(self, link):
        """Whether bytes on this connection reach no process, as its machine is lost or was lost since."""
        if self.vanished:
            return True
        if link in self.old_links:
            link.transport.abort()
            return True
        return False

    def _cut_all(self):
        for session in self.sessions.values():
            self._over(session, "cut")

    def _over(self, session, by):
        if session.state != "over":
            session.state, session.ended_at, session.ended_by = "over", self.record.now(), by

    def stop(self):
        """End the stand-in."""
        for task in self.tasks:
            task.cancel()
        self._close_listeners()
        for filler in self.fillers:
            filler.close()
        for link in [*self.links, *self.old_links]:
            if link.open:
                link.transport.abort()

    # What it is sent and what it sends.

    def row(self, number, health="up"):
        """Return its row of the server list, as the controller of that number gets it."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.ports[number]}",
            "site": self.zone,
            "class": self.kind,
            "block": self.cell,
            "health": health,
            "share": 1,
            "born_ms": self.born_ms,
        }

    def standing(self, number):
        """Return the sessions of a controller that play."""
        return [s for s in self.sessions.values() if s.state == "stands" and s.number == number]

    def handed(self, id, number, rung, title, plan):
        """Put a session here that plays already when the day begins."""
        session = self.sessions[id] = Session(id, number, None, rung, title, plan)
        session.state = "stands"

    def demand(self):
        """Return the kB/s that its sessions ask of its link."""
        return sum(
            self.rates[session.rung] for session in self.sessions.values() if session.state == "stands"
        )

    def use(self):
        """Return what is asked of its link over what the link gives."""
        return self.demand() / self.link_kb if self.rates else self.link_use

    def delivered(self):
        """Return the share of their rates that its sessions get on its link and its rack's uplink."""
        if not self.rates:
            return 1.0
        uplink_use = sum(streamer.demand() for streamer in self.rack) / self.uplink_kb
        return min(1.0, 1 / max(self.use(), uplink_use, 1e-9))

    def load(self):
        """Return its load report."""
        active = sum(session.state != "over" for session in self.sessions.values())
        return f"active:{active};x0:{self.use():.3f}"

    def _on_end(self, link):
        for session in self.sessions.values():
            if session.link is link and session.state == "set-up":
                self._over(session, "given up")

    def _on_message(self, link, type, id, parameters):
        extra = f" cause {parameters[CAUSE][0]}" if type == RELEASE else ""
        extra += f" rung {parameters[RUNG_NO].decode()}" if RUNG_NO in parameters else ""
        self.record(self.name, f"got {NAMES.get(type, type)} {id.hex()}{extra} from n{link.number}")
        session = self.sessions.get(id)
        if type == SET_UP:
            rung, title, plan = (parameters.get(code, b"0").decode() for code in (RUNG_NO, TITLE, PLAN))
            session = self.sessions[id] = Session(id, link.number, link, int(rung), title, plan)
            session.received_at = self.record.now()
            self.set_ups.append((session.received_at, id, title, plan))
            self.tasks.append(asyncio.ensure_future(self._answer(session)))
        elif self.hanging:
            return
        elif type == RELEASE:
            link.send(encode(RELEASE_HEARD, id))
            if session is not None and session.state != "over":
                stood = session.state == "stands"
                self._over(session, "controller")
                if stood:
                    link.send(encode_release(id, 31))
        elif type == RUNG and session is not None:
            session.rung = int(parameters[RUNG_NO])
        elif type == TEST:
            link.send(encode(TESTED, id, (CAUSE, b"\x01")))

    async def _answer(self, session):
        await asyncio.sleep(self.work)
        if session.state != "set-up" or self.hanging or self.vanished:
            return
        if self.refuses_from and self.use() >= self.refuses_from:
            self._over(session, "full")
            self.record(self.name, f"sent release {session.id.hex()} cause 34 (full)")
            session.link.send(encode_release(session.id, 34, (REPORT, self.load())))
            return
        session.state = "stands"
        self.record(self.name, f"sent answer {session.id.hex()}: the session stands")
        description = f"{self.name} made this for {session.id.hex()}"
        session.link.send(encode(ANSWER, session.id, (DESCRIPTION, description), (REPORT, self.load())))

    def send_about(self, session, data, kept=False):
        """Send what concerns a session: on the connection of its set-up, otherwise on any open one."""
        if self.vanished or self.hanging:
            return
        for link in [session.link, *self.links]:
            if link and link.open and link.number == session.number and link not in self.old_links:
                link.send(data)
                return
        if kept:
            self.unheard.append((session.number, data))

    def tick(self):
        """Send the notes that are due; called every 20 ms."""
        now = self.record.now()
        if self.hanging or self.vanished or not self.sessions:
            return
        for session in list(self.sessions.values()):
            if (
                session.state == "stands"
                and session.received_at is None
                and session.id not in self.told
                and any(link.open and link.number == session.number for link in self.links)
            ):  # handed over at the start: the rung in force
                self.told.add(session.id)
                self._note(session, "at_rung", str(session.rung))
        if self.interval and now >= self.noted_at + self.interval:
            self.note_link_use()
        if now >= self.delivery_at:
            self.short, self.delivery_at = self._note_delivery(self.short), now + 1

    def note_link_use(self):
        """Send the note on the link's use, on one session of each controller."""
        self.noted_at = self.record.now()
        for number in range(len(self.ports)):
            if standing := self.standing(number):
                self._note(standing[0], "link_use", f"{self.use():.3f}")

    def _note_delivery(self, short):
        """Send the note on the delivered share while it is short; return the controllers that got it."""
        share, now_short = self.delivered(), set()
        for number in range(len(self.ports)):
            if (standing := self.standing(number)) and (share < 0.98 or number in short):
                self._note(standing[0], "served", f"{share:.3f}")
                if share < 0.98:
                    now_short.add(number)
        return now_short

    def _note(self, session, name, value):
        self.record(self.name, f"sent note {name} {value} on {session.id.hex()} to n{session.number}")
        self.send_about(session, encode(NOTE, session.id, (NOTE_NAME, name), (NOTE_VALUE, value)))


class Feed:
    """The control feed of one controller: numbered events over HTTP/1.1 with long polls."""

    def __init__(self, record, number):
        self.record, self.number, self.events = record, number, []
        self.changed, self.server = asyncio.Event(), None
        self.slow_s = 0.0  # how much later than usual each reply is written

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def publish(self, streamers, health="up", whole=False):
        """Add an event; from now on it counts as told."""
        count = len(self.events) + 1
        rows = [streamer.row(self.number, health) for streamer in streamers]
        self.events.append({"n": count, "members": {"seq": count, "whole": whole, "hosts": rows}})
        names = ", ".join(streamer.name for streamer in streamers[:20])
        self.record(f"feed of n{self.number}", f"holds event {count}: {health}: {names}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def stop(self):
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(pair.split("=") for pair in head.split(" ")[1].split("?")[1].split("&"))
                held, wait_ms = int(query["SUB"]), min(5000, int(query["wait"]))
                if len(self.events) <= held:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
                await asyncio.sleep(self.slow_s)
                body = json.dumps({"n": len(self.events), "events": self.events[held:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Request:
    """A request of a viewer: when its last byte was written, and what was answered and when."""

    def __init__(self, id, sent_at, wait_ms, link):
        self.id, self.sent_at, self.wait_ms, self.link = id, sent_at, wait_ms, link
        self.answer = self.answered_at = self.cause = self.streamer = None
        self.over_at = None  # when the controller said that the session is over
        self.moved_at = self.lost_at = None  # told to come again; its connection ended without an answer


class Viewers:
    """All viewers of one controller: their connections, requests and sessions."""

    def __init__(self, record, address, number=0):
        self.record, self.address, self.number = record, address, number
        self.name, self.nonce = f"viewers of n{number}", int.from_bytes(os.urandom(3), "big")
        self.requests, self.links, self.counter = {}, [], 0
        self.test_passed = asyncio.Event()

    async def connect(self):
        """Open a connection to the controller."""
        host, port = self.address.split(":")
        _, link = await asyncio.get_running_loop().create_connection(
            lambda: Link(self._on_message, self._on_end), host, int(port)
        )
        self.links.append(link)
        return link

    def new_id(self):
        """Return a fresh id."""
        self.counter += 1
        return struct.pack(">II", self.number << 24 | self.nonce, self.counter)

    def _set_up_message(self, id, plan, wait_ms, title, hint, figures):
        hints = [(HINT, hint)] if hint else []
        return encode(
            SET_UP,
            id,
            (PLAN, plan),
            (WAIT, str(wait_ms)),
            (TITLE, title),
            *hints,
            (FIGURES, figures),
            (DESCRIPTION, f"what viewer {id.hex()} can play"),
        )

    def ask(self, link, plan, wait_ms, title, figures, hint=None):
        """Send a set-up; return its Request."""
        id = self.new_id()
        link.send(self._set_up_message(id, plan, wait_ms, title, hint, figures))
        request = self.requests[id] = Request(id, self.record.now(), wait_ms, link)
        self.record(self.name, f"sent set-up {id.hex()} {plan} title {title}, waits {wait_ms} ms")
        return request

    def hand_over(self, link, id, plan, wait_ms, title, figures, streamer):
        """Hand a session over that plays at a streamer already."""
        link.send(self._set_up_message(id, plan, wait_ms, title, None, f"{figures};at:{streamer}"))
        request = self.requests[id] = Request(id, self.record.now(), wait_ms, link)
        request.answer, request.answered_at, request.streamer = "stands", self.record.now(), streamer
        self.record(self.name, f"handed over {id.hex()} {plan} title {title} at {streamer}")
        return request

    def _on_message(self, link, type, id, parameters):
        if type == TESTED:
            if parameters.get(CAUSE) == b"\x01":
                self.test_passed.set()
            return
        request, now = self.requests.get(id), self.record.now()
        cause = parameters.get(CAUSE, b"-")[0]
        self.record(
            self.name,
            f"got {NAMES.get(type, type)} {id.hex()}" + (f" cause {cause}" if type == RELEASE else ""),
        )
        if request is None:
            return
        if type == ANSWER and request.answer is None:
            request.answer, request.answered_at = "stands", now
            request.streamer = parameters[DESCRIPTION].decode().split(" ")[0]
        elif type == RELEASE and request.answer is None:
            request.answer = "refused" if cause in (34, 42, 102) else "failed"
            request.answered_at, request.cause = now, cause
        elif type == RELEASE:
            request.over_at = request.over_at or now
            link.send(encode(RELEASE_HEARD, id))
        elif type == MOVE:
            request.moved_at = now

    def _on_end(self, link):
        for request in self.requests.values():
            if request.link is link and request.answer is None:
                request.lost_at = self.record.now()
                self.record(self.name, f"connection ended without an answer to {request.id.hex()}")

    def leave(self, request):
        """End a standing session, or give a set-up up, on the connection of its set-up."""
        request.link.send(encode_release(request.id, 16))

    def stop(self):
        """Close all connections."""
        for link in self.links:
            if link.open:
                link.transport.abort()


def free_address():
    """Return a free address on the loopback interface, outside the ports that the kernel hands out."""
    while True:
        address = ("127.0.0.1", random.randrange(20_000, 32_000))
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            return f"{address[0]}:{address[1]}"


class Controller:
    """A controller, started by the `run` command of the deploy file."""

    def __init__(self, record, name, settings, feed, folder):
        self.record, self.name, self.settings, self.feed, self.folder = record, name, settings, feed, folder
        self.address, self.process = free_address(), None

    def start(self):
        """Write its configuration and start it."""
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(
                {
                    "name": self.name,
                    "listen": self.address,
                    "seed": os.urandom(8).hex(),
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "feed": self.feed.address,
                    "known": {"n": len(self.feed.events), "events": list(self.feed.events)},
                    "settings": self.settings,
                },
                file,
            )
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        own = os.path.join(self.folder, f"{self.name}.tmp")
        os.makedirs(own, exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": own,
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_CONFIG": path,
        }
        self.log_path = os.path.join(self.folder, f"{self.name}.log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(self.name, f"started: {command}")

    async def ready(self, viewers):
        """Wait until it passes a test."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            try:
                link = await viewers.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            link.send(encode(TEST, b"\0" * 8, (CAUSE, b"\0")))
            try:
                await asyncio.wait_for(viewers.test_passed.wait(), 2)
            except TimeoutError:
                continue
            self.record(self.name, "passed its first test")
            return link
        raise CannotRunError(f"{self.name} was not ready within 20 s")

    def signal(self, number):
        """Send it a signal."""
        self.record(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def died(self):
        """Return whether it has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def stop(self):
        """Kill it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """A small deployment: streamers, and controllers, each with its control feed and its viewers."""

    def __init__(self, record, temporary, settings, controllers):
        self.record, self.streamers = record, []
        self.feeds = [Feed(record, number) for number in range(controllers)]
        self.controllers, self.viewers, self.ticker = [], [], None
        for number, feed in enumerate(self.feeds):
            own = {**settings, "rank": number, "replicas_of_me": controllers}
            controller = Controller(record, f"n{number}", own, feed, temporary)
            self.controllers.append(controller)
            self.viewers.append(Viewers(record, controller.address, number))

    def add_streamers(self, count, zone, kinds, interval, link_use):
        """Add streamers, each in a cell of its own as far as there are cells, and let them listen."""
        for n in range(count):
            streamer = Streamer(
                self.record, f"s-{n:08x}", n % 12, zone, kinds[n % len(kinds)], len(self.feeds)
            )
            streamer.interval, streamer.link_use = interval, link_use
            self.streamers.append(streamer)
            streamer.start()

    def publish(self, streamers, health="up", whole=False):
        """Let every control feed tell of streamers."""
        for feed in self.feeds:
            feed.publish(streamers, health, whole)

    def measure_links(self, rates, link_kb, uplink_kb, racks):
        """Let streamers work out the use of links and uplinks from their sessions; `rates`: kB/s by rung."""
        for streamer in self.streamers:
            streamer.rates, streamer.link_kb, streamer.uplink_kb = rates, link_kb, uplink_kb
            streamer.rack = [other for other in self.streamers if (other.cell - streamer.cell) % racks == 0]

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            for streamer in self.streamers:
                streamer.tick()

    async def start(self, plan, wait_ms, figures, rung=1, each=1, only=None):
        """Start the feeds and the controllers, and hand over what plays already when the day begins.

        Each controller gets `each` sessions at every streamer (or at the first `only` ones), at `rung`.
        """
        self.ticker = asyncio.ensure_future(self._tick())
        for feed in self.feeds:
            await feed.start()
        self.publish(self.streamers, whole=True)
        for controller in self.controllers:
            controller.start()
        for controller, viewers in zip(self.controllers, self.viewers, strict=True):
            link = await controller.ready(viewers)
            for n, streamer in enumerate(self.streamers[:only] * each):
                id, title = viewers.new_id(), f"{viewers.number:08x}{n:08x}"
                streamer.handed(id, viewers.number, rung, title, plan)
                viewers.hand_over(link, id, plan, wait_ms, title, figures, streamer.name)
        self.record("case", "the day has begun")

    def check_processes(self):
        """Raise CannotRunError if a controller has ended by itself."""
        for controller in self.controllers:
            if controller.died():
                with open(controller.log_path, encoding="utf-8", errors="replace") as log:
                    raise CannotRunError(f"{controller.name} ended: {log.read()[-400:]}")

    def stop(self):
        """End everything that was started."""
        if self.ticker is not None:
            self.ticker.cancel()
        for part in [*self.controllers, *self.viewers, *self.streamers, *self.feeds]:
            part.stop()


async def _limited(coroutine):
    """Run a case for 110 s at most; SIGTERM and SIGINT end it too, and it cleans up."""
    task, loop = asyncio.ensure_future(coroutine), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, 110)


def run_case(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    `play(record, temporary folder, trouble)` is a coroutine function that returns the list of breaches and
    cleans up after itself.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("case", "with the disruption" if trouble else "without the disruption")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaches = asyncio.run(_limited(play(record, temporary, trouble)))
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, no rule has been judged
        record("case", f"could not run: {type(error).__name__} {error}")
        traceback.print_exc()
        sys.exit(2)
    for breach in breaches:
        record("case", f"BROKEN: {breach}")
        print(f"BROKEN: {breach}")
    verdict = f"the rule was broken {len(breaches)} times" if breaches else "the rule held"
    record("case", verdict)
    print(verdict)
    sys.exit(1 if breaches else 0)
