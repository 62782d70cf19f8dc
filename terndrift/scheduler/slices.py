"""Long work on the event loop, in slices: the loop turns between two of them."""

import asyncio
import time

# s of work before the loop may turn: a fifth of the 10 ms that nothing is to hold it up for.
HOLD = 0.002


async def sliced(steps):
    """Runs a generator, letting the loop turn now and then; returns what it returns."""
    began = time.thread_time()
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        if time.thread_time() - began > HOLD:
            await asyncio.sleep(0)
            began = time.thread_time()
