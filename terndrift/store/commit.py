"""Group commit on the event loop: what is asked for while a batch is being synced goes into the next."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from terndrift.store.store import Broken

# Records in one batch at most: bounds how long the next ones wait behind it.
MOST = 512


class Committer:
    def __init__(self, store):
        self.store = store
        self.waiting, self.task = [], None  # [(records, future)]
        # one thread: the disk takes one batch at a time anyway, and the store is not for two
        self.thread = ThreadPoolExecutor(1, "terndrift-store")

    async def append(self, records):
        """Returns once these records are durable, all of them; raises NotKept or Broken."""
        done = asyncio.get_running_loop().create_future()
        self.waiting.append((list(records), done))
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self._flush())
        return await done

    async def _flush(self):
        loop = asyncio.get_running_loop()
        while self.waiting:
            batch, records = [], []
            while self.waiting and (not batch or len(records) + len(self.waiting[0][0]) <= MOST):
                batch.append(self.waiting.pop(0))
                records += batch[-1][0]
            try:
                last = await loop.run_in_executor(self.thread, self.store.append, records)
            except (OSError, Broken) as wrong:
                # what waits was made from a state that now never comes about: it is not kept either
                batch, self.waiting = batch + self.waiting, []
                for _, done in batch:
                    if not done.done():
                        done.set_exception(wrong)
                continue
            for _, done in batch:
                if not done.done():
                    done.set_result(last)

    async def snapshot(self):
        """Yields the bytes of each slice of a snapshot, written beside the loop in turn with the batches. The
        state is captured at a moment at which all that is durable has been applied: none is being written."""
        while self.task is not None and not self.task.done():
            await asyncio.wait([self.task])
            await asyncio.sleep(0)  # those that waited for the batch apply it first
        loop, steps = asyncio.get_running_loop(), self.store.snapshot(self.store.capture())
        while (size := await loop.run_in_executor(self.thread, next, steps, None)) is not None:
            yield size

    def close(self):
        self.thread.shutdown(wait=True)
        self.store.close()
