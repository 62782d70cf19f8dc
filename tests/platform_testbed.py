"""Shared test environment of the platform: a controller with simulated streamers, control feed and viewers.

The controller runs in the test's process and talks to the simulated parts over loopback sockets. Tests run
within an environment by the decorator `in_testbed`.
"""

import asyncio
import contextlib
import json
import os
import tempfile
from collections import deque
from functools import partial

import testbed

from terndrift.platform import message as m
from terndrift.platform import settings
from terndrift.platform.message import decode_messages, encode_message, encode_release
from terndrift.platform.service import Service

MS = 1_000_000
SETTINGS = {
    "rank": 0,
    "replicas_of_me": 1,
    "zone": "here",
    "host_types": ["box"],
    "profiles": [
        {"name": name, "worth": revenue, "slo_ns": 600 * MS, "deadline_ns": 3000 * MS, "effect": effect}
        for name, revenue, effect in (("free", 1.0, "idempotent"), ("paid", 2.0, "at_most_once"))
    ],
    "family_info": {
        "rung_kb": [100.0, 200.0, 400.0],
        "worth_by_rung": [0.3, 0.6, 1.0],
        "lowest_rung": [0, 1],
        "top_by_class": [2, 2],
        "class_seats": [0, 0],
        "scale_by_class": [1.0, 1.0],
        "places": 4,
        "racks": 2,
        "places_by_kind": [20],
        "link_unit_kb": 8000.0,
        "rack_kb": 16000.0,
        "see_ns": 300 * MS,
        "reports_every_ns": 3000 * MS,
        "switch_cost_s": 0.5,
        "shortfall_cost": 6.0,
        "class_live": [False, False],
        "shared_adds": 1.0,
    },
    "load_report": {"how": "answers", "fields": ["active", "x0", "x1"]},
    "ceilings": {
        "try_limit": 5,
        "retry_after": True,
        "max_retry_after_ns": 500 * MS,
        "connect_timeout_ns": 250 * MS,
        "keepalive_ns": 30_000 * MS,
        "probes": False,
    },
    "rules": {
        "cold_ns": 2000 * MS,
        "start_capacity": 0.5,
        "tip_multiple": 2.5,
        "overload_for_ns": 1000 * MS,
        "free_resends": 20,
        "repeat_ratio": 0.1,
        "budget_span_ns": 10_000 * MS,
        "drain_grace_ns": 250 * MS,
    },
}


class Streamer:
    """A simulated streamer that records the messages it receives.

    `behaviour` selects its response to a set-up, see `_respond_to_set_up`. `received` lists the received
    messages, `connections` its connections, oldest first. A new `start` after `crash` reuses the port.
    `stale_connections` belong to a process that has vanished: they are silent, and reset if anything is sent.
    `undelivered` lists the bytes that it sends on the next connection opened.
    """

    def __init__(self, name, cell, behaviour):
        self.name, self.cell, self.behaviour, self.received, self.connections = name, cell, behaviour, [], []
        self.server, self.port, self.stale_connections = None, 0, set()
        self.undelivered = []

    async def start(self):
        """Listens on a free port, or on the one that it had before."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def list_row(self, health="up", started_ms=0):
        """Returns its row of the server list as the control feed sends it."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "here",
            "class": "box",
            "block": self.cell,
            "health": health,
            "share": 1,
            "born_ms": started_ms,
        }

    async def _serve(self, reader, writer):
        buffer = bytearray()
        self.connections.append(writer)
        writer.writelines(self.undelivered)
        self.undelivered.clear()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if writer in self.stale_connections:
                    writer.transport.abort()
                    return
                buffer += data
                for message in decode_messages(buffer):
                    self.received.append(message)
                    if message.type == m.SET_UP:
                        self._respond_to_set_up(writer, message)
        writer.close()

    def _respond_to_set_up(self, writer, message):
        id, answer = (
            message.id,
            encode_message(m.ANSWER, message.id, (m.DESCRIPTION, b"made by " + self.name.encode())),
        )
        if self.behaviour == "plays":
            writer.write(answer)
        elif self.behaviour == "plays twice":
            writer.write(
                answer + answer + encode_message(m.ANSWER, b"strange!", (m.DESCRIPTION, b"nobody's"))
            )
        elif self.behaviour == "full":
            writer.write(encode_release(id, 34, (m.REPORT, "active:3;x0:0.4;x1:0.5")))
        elif self.behaviour == "fails":
            writer.write(encode_release(id, 47))
        elif self.behaviour == "sends garbage":
            writer.write(b"\xff" * 64)
        elif self.behaviour == "truncates answer":
            writer.write(answer[:-3])
        elif self.behaviour == "resets":
            writer.transport.abort()
        else:
            assert self.behaviour == "silent", self.behaviour

    def received_ids(self, type):
        """Returns the IDs of the received messages of one type, in order."""
        return [message.id for message in self.received if message.type == type]

    def send(self, data):
        """Sends bytes on the newest open connection."""
        next(writer for writer in reversed(self.connections) if not writer.is_closing()).write(data)

    def note(self, id, name="link_use", value="0.5"):
        """Sends a note about a playback."""
        self.send(encode_message(m.NOTE, id, (m.NOTE_NAME, name), (m.NOTE_VALUE, value)))

    def replace_process(self):
        """The machine has vanished without a sign and is back with a new process, which plays nothing."""
        self.stale_connections.update(self.connections)
        self.connections.clear()

    async def crash(self):
        """Stops listening and resets all connections."""
        self.server.close()
        for writer in [*self.connections, *self.stale_connections]:
            writer.transport.abort()
        self.connections.clear()
        self.stale_connections.clear()
        await self.server.wait_closed()


class ControlFeed:
    """A simulated control feed.

    `behaviour` selects its response to a request: "answers", "disconnects" (closes in the middle of the
    reply) or "hangs" (does not reply for 30 s). `requested_positions` lists the event number that each
    request gave as held.
    """

    def __init__(self):
        self.events, self.behaviour, self.requested_positions, self.changed = (
            [],
            "answers",
            [],
            asyncio.Event(),
        )

    async def start(self):
        """Listens on a free port and sets `address`."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def publish(self, *rows, complete=False):
        """Adds an event with rows of the server list; `complete` marks them as the complete list."""
        self.events.append(
            {
                "n": len(self.events) + 1,
                "members": {"seq": len(self.events) + 1, "whole": complete, "hosts": list(rows)},
            }
        )
        self.changed.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                position = int(head.split("SUB=")[1].split("&")[0])
                self.requested_positions.append(position)
                if self.behaviour == "hangs":
                    await asyncio.sleep(30)
                if len(self.events) <= position:
                    self.changed.clear()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), 0.2)
                body = json.dumps({"n": len(self.events), "events": self.events[position:]}).encode()
                data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                if self.behaviour == "disconnects":
                    writer.write(data[:-5])
                    writer.close()
                    return
                writer.write(data)
        writer.close()


class Viewer:
    """A simulated viewer with one connection to the controller."""

    def __init__(self, testbed):
        self.testbed, self.received, self.buffer = testbed, deque(), bytearray()

    async def connect(self):
        """Connects to the controller and returns itself."""
        self.reader, self.writer = await asyncio.open_connection(*self.testbed.service.address)
        return self

    def send(self, data):
        """Queues bytes for sending."""
        self.writer.write(data)

    async def receive(self):
        """Returns the next message, or None if the connection has ended."""
        while not self.received:
            try:
                data = await self.reader.read(65536)
            except ConnectionError:
                data = b""
            if not data:
                return None
            self.buffer += data
            self.received.extend(decode_messages(self.buffer))
        return self.received.popleft()

    def send_set_up(
        self,
        id=None,
        plan="free",
        wait="3000",
        title="00112233aabbccdd",
        hint="9000.0",
        figures="home:0;copies:4;top:2;viewer:00000000b4d65521",
        description=b"what I can play",
    ):
        """Sends a set-up and returns its ID."""
        id = id or self.testbed.id()
        self.send(
            encode_message(
                m.SET_UP,
                id,
                (m.PLAN, plan),
                (m.WAIT, wait),
                (m.TITLE, title),
                (m.HINT, hint),
                (m.FIGURES, figures),
                (m.DESCRIPTION, description),
            )
        )
        return id


class Testbed:
    """A controller with its simulated control feed and streamers, as an asynchronous context manager.

    `behaviour` selects the response of all streamers to a set-up, `reports_every_ms` is the interval of their
    reports according to the settings. `log_lines` lists the log lines of the
    controller as (level, event, values). Leaving the context fails if the test passed but an error was
    logged.
    """

    def __init__(self, streamers=2, behaviour="plays", reports_every_ms=3000):
        self.reports_every_ms = reports_every_ms
        self.directory, self.last_id = tempfile.TemporaryDirectory(), 0
        self.streamers = [Streamer(f"s-{n:08x}", n, behaviour) for n in range(streamers)]
        self.configuration_path, self.log_lines = os.path.join(self.directory.name, "config.json"), []
        self.viewers = []

    def id(self):
        """Returns a new playback ID."""
        self.last_id += 1
        return self.last_id.to_bytes(8, "big")

    def settings(self):
        """Returns the settings of the controller."""
        reports = {"reports_every_ns": self.reports_every_ms * MS}
        return {**SETTINGS, "family_info": {**SETTINGS["family_info"], **reports}}

    def write_configuration(self):
        """Writes the configuration file of the controller, with the feed's current address and events."""
        value = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 128},
            "feed": self.feed.address,
            "known": {"n": len(self.feed.events), "events": list(self.feed.events)},
            "settings": self.settings(),
        }
        with open(self.configuration_path, "w", encoding="utf-8") as file:
            json.dump(value, file)

    async def __aenter__(self):
        self.feed = ControlFeed()
        await self.feed.start()
        for streamer in self.streamers:
            await streamer.start()
        self.feed.publish(*(s.list_row() for s in self.streamers), complete=True)
        self.write_configuration()
        self.service = Service(
            settings.read(self.configuration_path),
            testbed.RecordingLog(self.log_lines),
            self.configuration_path,
        )
        self.core, self.transport = self.service.core, self.service.transport
        # By default a controller that has just started assumes that the streamers may have just started too;
        # tests of that set it themselves.
        self.core.controller.started_without_state = False
        self.service.start()
        return self

    async def __aexit__(self, exception_type, *_):
        self.service.close()
        for viewer in self.viewers:
            viewer.writer.close()
        for streamer in self.streamers:
            await streamer.crash()
        self.feed.server.close()
        self.directory.cleanup()
        assert exception_type or not self.logged_errors()

    async def viewer(self):
        """Returns a new connected viewer."""
        self.viewers.append(await Viewer(self).connect())
        return self.viewers[-1]

    async def set_up_playback(self, viewer, **set_up_parameters):
        """Sets up a playback and returns its ID and its streamer."""
        id = viewer.send_set_up(**set_up_parameters)
        answer = await viewer.receive()
        assert (answer.type, answer.id) == (m.ANSWER, id)
        name = answer.parameters[m.DESCRIPTION].removeprefix(b"made by ").decode()
        return id, next(streamer for streamer in self.streamers if streamer.name == name)

    def streamer_state(self, name):
        """Returns the state that the controller's decisions keep of a streamer."""
        return self.core.controller.streamers[settings.streamer_id(name)]

    def logged_errors(self):
        """Returns the logged lines of level error."""
        return [line for line in self.log_lines if line[0] == "error"]


in_testbed = partial(testbed.in_testbed, testbed_class=Testbed)
