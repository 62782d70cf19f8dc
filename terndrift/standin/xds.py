"""A stand-in source of clusters and endpoints over gRPC, with faults by call: what an installation's own
control plane does to those that follow it. It shares the codec with the program, and none of its
decisions."""

import asyncio
import time

import grpc

from terndrift.listing.lines import Line, worst
from terndrift.standin.ledger import Ledger
from terndrift.xds import codec, load
from terndrift.xds.session import CLUSTER, ENDPOINT

SECOND = 1_000_000_000


def streamer(name, id, address, rack=0, kind="box", zone="", standing="ready", weight=1.0, started=0.0):
    """An endpoint's facts; `started` in seconds since 1970."""
    return Line(name, id, address, rack, kind, zone, standing, weight, started)


class Stream:
    """One client's stream: what is to be done on it, in order, and what it was sent."""

    def __init__(self, source, context, form):
        self.source, self.context, self.form = source, context, form
        self.todo, self.nonces, self.node = asyncio.Queue(), 0, ""
        self.known = {CLUSTER: {}, ENDPOINT: {}}  # name -> version sent
        self.names, self.asked = set(), set()  # endpoints wanted; types asked for
        self.sent = {}  # nonce -> (node, when, {streamer id: standing} that it told to be off)
        self.last, self.refused = None, []

    async def read(self):
        while (data := await self.context.read()) is not grpc.aio.EOF:
            self.heard(codec.asked(data, self.form))
        self.todo.put_nowait(("end", grpc.StatusCode.OK))

    def heard(self, asked):
        self.node = asked.node or self.node
        if asked.error:
            self.refused.append(asked.error)
        elif asked.nonce in self.sent:
            self.source.told(*self.sent.pop(asked.nonce))
        if asked.type_url not in self.known:
            return
        fresh = asked.type_url not in self.asked
        self.asked.add(asked.type_url)
        if self.form == "delta":
            if fresh and asked.initial:
                self.known[asked.type_url] = dict(asked.initial)
            names = (self.names | set(asked.subscribe)) - set(asked.unsubscribe)
            changed = bool(asked.subscribe)
        else:
            names, changed = set(asked.names), set(asked.names) != self.names
        if asked.type_url == ENDPOINT:
            self.names = names
            fresh = fresh or changed
        if fresh:
            if self.form == "sotw":
                self.known[asked.type_url] = {}
            self.todo.put_nowait(("look", asked.type_url))

    async def run(self):
        reader = asyncio.ensure_future(self.read())
        try:
            while True:
                what, value = await self.todo.get()
                if what == "end":
                    if value is not grpc.StatusCode.OK:
                        await self.context.abort(value, "as the script says")
                    return
                if what == "wait":
                    await asyncio.sleep(value)
                elif what == "raw":
                    await self.context.write(value)
                else:
                    await self.look(value)
        finally:
            reader.cancel()

    async def look(self, type_url):
        """Sends what this client does not have, in its form."""
        if type_url not in self.asked:
            return
        here = self.source.resources(type_url)
        if type_url == ENDPOINT:
            here = {name: value for name, value in here.items() if name in self.names}
        known = self.known[type_url]
        versions = {name: version for name, (version, _) in here.items()}
        if versions == known:
            return
        differs = [name for name in here if known.get(name) != versions[name]]
        removed = [name for name in known if name not in here]
        self.known[type_url] = versions
        names = differs if self.form == "delta" or type_url == ENDPOINT else list(here)
        await self.send(type_url, [(n, *here[n]) for n in names], removed)

    async def send(self, type_url, resources, removed=()):
        self.nonces += 1
        nonce = f"{id(self):x}-{self.nonces}"
        # what says "ready" may be acted on as soon as it is sent; what says "off" binds once it was taken
        on, off = self.source.standings(self.node, type_url, [r[0] for r in resources], removed)
        self.sent[nonce] = self.node, time.monotonic_ns(), off
        self.source.told(self.node, time.monotonic_ns(), on)
        if len(self.sent) > 200:
            self.sent.pop(next(iter(self.sent)))
        data = codec.answer(self.form, type_url, str(self.source.version), nonce, resources, removed, "own")
        self.last = data
        await self.context.write(data)


class Source:
    """`clusters`: name -> {streamer's name: Line}; change it, then call `changed`."""

    def __init__(self, ledger=None):
        self.clusters = {}
        self.ledger, self.version = ledger or Ledger(""), 0
        self.streams, self.server, self.address, self.made = set(), None, None, {}
        self.refused, self.opened = [], 0
        self.reports = []  # load reports heard
        self.members = {}  # node -> cluster -> {streamer id: standing} as last sent

    async def start(self, listen="127.0.0.1:0", tls=None):
        """`tls`: grpc server credentials."""
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers([self])
        port = self.server.add_secure_port(listen, tls) if tls else self.server.add_insecure_port(listen)
        self.address = f"127.0.0.1:{port}"
        await self.server.start()
        return self.address

    async def stop(self):
        await self.server.stop(None)

    def service(self, call):  # grpc.GenericRpcHandler
        form = next((f for f, method in codec.METHODS.items() if method == call.method), None)

        async def handler(_, context):
            await (self._loads(context) if form is None else self._stream(context, form))

        if form is None and call.method != load.METHOD:
            return None
        return grpc.stream_stream_rpc_method_handler(handler)

    async def _stream(self, context, form):
        stream = Stream(self, context, form)
        self.streams.add(stream)
        self.opened += 1
        try:
            await stream.run()
        finally:
            self.streams.discard(stream)
            self.refused += stream.refused

    async def _loads(self, context):
        await context.write(load.answer(SECOND // 5))
        while (data := await context.read()) is not grpc.aio.EOF:
            self.reports.append(load.asked(data)[1])

    # State.

    def changed(self, *names):
        """These clusters changed (none: all). Whoever follows is sent what it does not have."""
        self.version += 1
        for name in names or list(self.made):
            self.made.pop((CLUSTER, name), None)
            self.made.pop((ENDPOINT, name), None)
        if not names:
            self.made.clear()
        for stream in self.streams:
            for type_url in (CLUSTER, ENDPOINT):
                stream.todo.put_nowait(("look", type_url))

    def resources(self, type_url):
        """{name: (version, bytes)}"""
        out = {}
        for name, lines in self.clusters.items():
            if (type_url, name) not in self.made:
                if type_url == CLUSTER:
                    data = codec.cluster_bytes(name)
                else:
                    data = codec.assignment_bytes(name, lines.values(), float, "here")
                self.made[type_url, name] = codec.mark(data), data
            out[name] = self.made[type_url, name]
        return out

    def standings(self, node, type_url, names, removed):
        """What a response with these says of streamers: ({id: "ready"}, {id: standing} of those off)."""
        members, touched = self.members.setdefault(node, {}), set()
        for name in removed:
            touched |= members.pop(name, {}).keys()
        if type_url == ENDPOINT:
            for name in names:
                touched |= members.get(name, {}).keys()
                lines = self.clusters.get(name, {}).values()
                members[name] = {line.id: line.standing for line in lines}
                touched |= members[name].keys()
        out = {id: worst(m[id] for m in members.values() if id in m) for id in touched}
        return (
            {id: s for id, s in out.items() if s == "ready"},
            {id: s for id, s in out.items() if s != "ready"},
        )

    def told(self, node, at, standings):
        if standings:
            self.ledger.note("told", controller=node, at=at, standings=standings)

    # Faults.

    def reset(self):
        """Every stream ends in the middle."""
        for stream in list(self.streams):
            stream.todo.put_nowait(("end", grpc.StatusCode.UNAVAILABLE))

    def repeat(self):
        """The last update again, byte by byte."""
        for stream in self.streams:
            if stream.last:
                stream.todo.put_nowait(("raw", stream.last))

    def silent(self, seconds):
        for stream in self.streams:
            stream.todo.put_nowait(("wait", seconds))

    def raw(self, type_url, resources, removed=(), nonce="raw", version="raw"):
        """Anything at all: [(name, version, bytes)]."""
        for stream in self.streams:
            data = codec.answer(stream.form, type_url, version, nonce, resources, removed)
            stream.todo.put_nowait(("raw", data))

    def half_invalid(self, name):
        """An update of a cluster whose second half has no port; then the sound one again."""
        lines = list(self.clusters[name].values())
        message = codec.ClusterLoadAssignment.FromString(codec.assignment_bytes(name, lines, float))
        for place in message.endpoints:
            for one in list(place.lb_endpoints)[len(place.lb_endpoints) // 2 :]:
                one.endpoint.address.socket_address.port_value = 0
        self.raw(ENDPOINT, [(name, "bad", message.SerializeToString())])

    def restart(self):
        """Versions are counted anew, and every stream ends."""
        self.version = 0
        self.reset()
