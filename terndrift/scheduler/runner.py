"""Runs the plan's slices on the event loop, and lets the loop turn between them."""

import asyncio
import inspect
import time

from terndrift.scheduler.plan import Plan, Priority


class Runner:
    """`run(name, work)`: `work` is a generator, or an async one, that does a slice at each step and yields
    the bytes it moved. A slice should be of a ms or so: what it takes is measured, and rest follows it."""

    def __init__(self, share=0.1, log=None):
        self.plan, self.log = Plan(share, time.monotonic_ns()), log
        self.work, self.ends, self.task = {}, {}, None
        self.longest = 0  # ns of the longest slice on the loop
        self.more = asyncio.Event()

    def run(self, name, work, priority=Priority.BACKGROUND, within=None, bytes_a_second=0.0):
        """Takes a job; returns a future that ends with it. `within`: s in which it should be done."""
        now = time.monotonic_ns()
        wanted_by = None if within is None else now + int(within * 1e9)
        self.plan.add(now, name, priority, wanted_by, bytes_a_second)
        self.work[name] = work
        end = self.ends[name] = asyncio.get_running_loop().create_future()
        self.more.set()
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self._run())
        return end

    async def _run(self):
        while self.work:
            job, wait = self.plan.next(time.monotonic_ns())
            if job is None:
                self.more.clear()
                try:
                    await asyncio.wait_for(self.more.wait(), (wait or 0) / 1e9)
                except TimeoutError:
                    continue
                continue
            await self._slice(job)
            await asyncio.sleep(0)

    async def _slice(self, job):
        work, began = self.work[job.name], time.thread_time_ns()
        try:
            if inspect.isasyncgen(work):
                size = await anext(work)  # its own thread does the work: on the loop it costs next to nothing
            else:
                size = next(work)
        except (StopIteration, StopAsyncIteration):
            self._end(job)
            return
        except Exception as wrong:  # the job's owner hears of it, and the others go on
            self._end(job, wrong)
            return
        took = time.thread_time_ns() - began
        self.longest = max(self.longest, took)
        self.plan.ran(time.monotonic_ns(), job, took, size or 0)

    def _end(self, job, wrong=None):
        self.plan.done(job.name)
        self.work.pop(job.name, None)
        end = self.ends.pop(job.name)
        if wrong is not None and self.log:
            self.log.error("background job ended early", job=job.name, why=str(wrong))
        if not end.done():
            if wrong is None:
                end.set_result(None)
            else:
                end.set_exception(wrong)
                end.exception()  # whoever waits gets it; nobody has to

    def busy(self, name):
        return name in self.work

    def close(self):
        if self.task:
            self.task.cancel()
        for work in self.work.values():
            if not inspect.isasyncgen(work):
                work.close()
