"""Asking a source over gRPC: one aggregated stream, taken up again when it is lost. Runs on the event
loop."""

import asyncio

import grpc

from terndrift.backoff import Backoff
from terndrift.xds import codec

SECOND = 1_000_000_000
# A source that answers no ping for 20 to 30 s is gone, whatever its connection says.
KEEPALIVE = [
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 10_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
]


def credentials(value):
    """TLS as the record names its files; None: plain. Raises OSError where one can't be read."""
    if not value["ca"]:
        return None

    def read(path):
        with open(path, "rb") as file:
            return file.read()

    key = read(value["key"]) if value["key"] else None
    chain = read(value["certificate"]) if value["certificate"] else None
    return grpc.ssl_channel_credentials(read(value["ca"]), key, chain)


class Ads:
    """`value`: an #Xds record; `who`: a Node; `reader`: what takes the responses."""

    def __init__(self, value, who, reader, seed, log):
        self.value, self.who, self.reader, self.log = value, who, reader, log
        self.backoff, self.tls = Backoff(seed), credentials(value)

    def channel(self):
        options = [
            ("grpc.max_receive_message_length", int(self.value["largest"])),
            # channels of a process share their connections and back-offs else; ours are in `backoff`
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_retries", 0),
            *KEEPALIVE,
        ]
        if self.tls:
            return grpc.aio.secure_channel(self.value["source"], self.tls, options)
        return grpc.aio.insecure_channel(self.value["source"], options)

    async def follow(self):
        """Until cancelled."""
        while True:
            before = self.reader.taken
            try:
                why = await self._stream()
            except Exception as fault:  # whatever a stream brings, the next one is asked for
                self.log.error("fault of a source's stream", source=self.reader.name, exc_info=fault)
                why = repr(fault)
            self.reader.listing.reached(self.reader.name, False, why)
            await asyncio.sleep(self.backoff.next_shared_delay(self.reader.taken > before) / SECOND)

    async def _stream(self):
        """One stream to its end; returns why it ended."""
        form, reader, first = self.reader.form, self.reader, self.value["first"] / SECOND
        channel = self.channel()
        call = channel.stream_stream(codec.METHODS[form])()
        loop, began, got, who = asyncio.get_running_loop(), reader.taken, False, self.who
        until = loop.time() + first
        try:
            for send in reader.session.begin():
                await call.write(codec.request(send, form, who))
                who = None
            while True:
                # a source owes its first answer within the initial fetch time-out; after that it may be
                # silent
                wait = max(0.01, until - loop.time()) if not got or not reader.settled else None
                try:
                    data = await asyncio.wait_for(call.read(), wait)
                except TimeoutError:
                    if reader.taken > began:
                        await reader.settle()  # what has not come by now is not there
                        return "not all that was asked for came within the initial fetch time-out"
                    return f"nothing taken within {first:.1f} s"
                if data is grpc.aio.EOF:
                    return f"ended by the source: {(await call.code()).name} {await call.details() or ''}"
                try:
                    found = codec.response(data, form)
                except codec.Unreadable as wrong:
                    return str(wrong)
                for send in await reader.arrived(found):
                    await call.write(codec.request(send, form))
                got = got or reader.taken > began
        except grpc.aio.AioRpcError as wrong:
            return f"{wrong.code().name}: {wrong.details()}"
        except asyncio.InvalidStateError:  # written after the source ended the stream
            return f"ended by the source: {(await call.code()).name}"
        finally:
            call.cancel()
            await channel.close()
