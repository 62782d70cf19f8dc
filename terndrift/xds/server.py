"""Serves a list as clusters and endpoints over gRPC (ADS, both forms) and takes load reports (LRS)."""

import asyncio

import grpc

from terndrift.scheduler.slices import sliced
from terndrift.xds import codec, load
from terndrift.xds.offer import Offer, Subscriber

SECOND = 1_000_000_000
# Streams at once; one more is told to come back later. A fleet's Envoys each hold one or two.
STREAMS = 1000
# A subscriber's requests are names; more than this is none.
REQUEST = 1 << 20
# Subscribers whose last load report is kept.
REPORTS = 1000
# Changes are gathered so long before they are sent: many come together.
GATHER = 0.01


def serving(listing, clock, region, log, every):
    """What serves a listing.service.Listing, not yet started."""
    offer = Offer(lambda at: clock.to_wall_ns(at) / SECOND, region, listing.flow.numbers.of.get)
    made = Serving(offer, log, every)
    listing.taps.append(made.changed)
    return made


class Serving:
    """`offer`: what is served; `every`: ns between load reports."""

    def __init__(self, offer, log, every=5 * SECOND):
        self.offer, self.log, self.every = offer, log, every
        self.streams, self.server, self.reports = {}, None, {}  # Subscriber -> Event; node -> its last report

    async def start(self, listen):
        self.server = grpc.aio.server(
            options=[("grpc.so_reuseport", 0), ("grpc.max_receive_message_length", REQUEST)]
        )
        self.server.add_generic_rpc_handlers([self])
        host, _, _ = listen.rpartition(":")
        port = self.server.add_insecure_port(listen)
        if not port:
            raise OSError(None, "the address can't be had", listen)
        await self.server.start()
        return f"{host}:{port}"

    async def stop(self):
        if self.server is not None:
            await self.server.stop(None)

    def service(self, call):  # grpc.GenericRpcHandler
        form = next((f for f, method in codec.METHODS.items() if method == call.method), None)

        async def discovery(_, context):
            await self._discovery(context, form)

        async def loads(_, context):
            await self._loads(context)

        if form is not None:
            return grpc.stream_stream_rpc_method_handler(discovery)
        return grpc.stream_stream_rpc_method_handler(loads) if call.method == load.METHOD else None

    def changed(self, changed):
        """{address: Line or None}, as the merged list tells it."""
        names = self.offer.changed(changed)
        for subscriber, event in self.streams.items():
            subscriber.changed(names)
            event.set()

    async def _discovery(self, context, form):
        if len(self.streams) >= STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"{STREAMS} streams are open already")
        subscriber, event = Subscriber(form), asyncio.Event()
        self.streams[subscriber] = event
        reader = asyncio.ensure_future(self._read(context, subscriber, event))
        try:
            while not reader.done():
                await event.wait()
                await asyncio.sleep(GATHER)
                event.clear()
                await sliced(self.offer.making())
                for due in subscriber.due(self.offer):
                    await context.write(
                        codec.answer(
                            form,
                            due.type_url,
                            due.version,
                            due.nonce,
                            due.resources,
                            due.removed,
                            "terndrift",
                        )
                    )
            why = reader.result()
            if why:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, why)
        finally:
            reader.cancel()
            del self.streams[subscriber]

    async def _read(self, context, subscriber, event):
        """Until the client ends the stream; returns what was wrong with it, or None."""
        try:
            while (data := await context.read()) is not grpc.aio.EOF:
                asked = codec.asked(data, subscriber.form)
                if asked.error:
                    self.log.error("update refused by a subscriber", node=subscriber.node, why=asked.error)
                why = subscriber.heard(asked, self.offer)
                if why:
                    return why
                event.set()
            return None
        except codec.Unreadable as wrong:
            return str(wrong)
        finally:
            event.set()

    async def _loads(self, context):
        node = ""
        try:
            await context.write(load.answer(self.every))
            while (data := await context.read()) is not grpc.aio.EOF:
                named, found = load.asked(data)
                node = named or node
                self.reports[node] = found or self.reports.get(node, {})
                if len(self.reports) > REPORTS:
                    del self.reports[next(iter(self.reports))]
        except codec.Unreadable as wrong:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(wrong))
