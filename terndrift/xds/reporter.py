"""Reports what playbacks use to a source that asks for it (LRS), over a stream of its own."""

import asyncio

import grpc

from terndrift.backoff import Backoff
from terndrift.xds import load
from terndrift.xds.codec import Unreadable

SECOND = 1_000_000_000


class Reporter:
    """`ads`: the source's Ads, whose channel and node are used; `figures()`: the ClusterStats since it
    was last called."""

    def __init__(self, ads, figures, seed, log):
        self.ads, self.figures, self.log, self.backoff = ads, figures, log, Backoff(seed)
        self.sent = 0

    async def follow(self):
        while True:
            before = self.sent
            try:
                why = await self._stream()
            except Exception as fault:
                self.log.error("fault of a load report", source=self.ads.reader.name, exc_info=fault)
                why = repr(fault)
            self.log.info("load reports ended", source=self.ads.reader.name, why=why)
            await asyncio.sleep(self.backoff.next_delay_after(self.sent > before) / SECOND)

    async def _stream(self):
        channel = self.ads.channel()
        call = channel.stream_stream(load.METHOD)()
        try:
            await call.write(load.request([], self.ads.who))
            wanted, every = None, None
            reading = asyncio.ensure_future(call.read())
            while True:
                await asyncio.wait([reading], timeout=every)
                if reading.done():
                    data = reading.result()
                    if data is grpc.aio.EOF:
                        return f"ended by the source: {(await call.code()).name}"
                    wanted, interval = load.response(data)
                    every = interval / SECOND
                    reading = asyncio.ensure_future(call.read())
                    continue
                found = [c for c in self.figures() if wanted is None or c.cluster_name in wanted]
                await call.write(load.request(found))
                self.sent += 1
        except grpc.aio.AioRpcError as wrong:
            return f"{wrong.code().name}: {wrong.details()}"
        except (asyncio.InvalidStateError, Unreadable) as wrong:
            return str(wrong)
        finally:
            call.cancel()
            await channel.close()
