"""Test cases that run a fleet of controller processes, each case with its own controllers and network.

The cases of a file mostly wait, so they run concurrently, as many as memory allows; each has its own outcome.
"""

import asyncio
import shutil
import tempfile

from terndrift.rehearse.several import Several

MAX_CONTROLLERS = 45  # running at once; each takes about 50 MB
CASE_TIMEOUT_S = 200  # for one case, from when its fleet is up


class ControllerLimit:
    """Limits the controllers that run at once; cases wait until theirs fit in."""

    def __init__(self):
        self.available, self.changed = MAX_CONTROLLERS, asyncio.Event()

    async def acquire(self, count):
        """Wait until so many controllers may start, and count them."""
        while self.available < count:
            await self.changed.wait()
        self.available -= count

    def release(self, count):
        """Give back the controllers of a case that is over."""
        self.available += count
        self.changed.set()
        self.changed = asyncio.Event()


class Cases(dict):
    """Decorator that registers cases: name -> (coroutine function, controllers, voters, options)."""

    def __call__(self, names, voters=5, **options):
        """Register the decorated function; `options` go to the `Several` that it is called with."""

        def registered(run):
            self[run.__name__] = run, names, voters, options
            return run

        return registered

    def outcomes(self):
        """Run all cases and return name -> None, or the exception that the case raised."""

        async def run_all():
            limit = ControllerLimit()
            runs = (self._run_case(*case, limit) for case in self.values())
            results = await asyncio.gather(*runs, return_exceptions=True)
            return dict(zip(self, results, strict=True))

        return asyncio.run(run_all())

    async def _run_case(self, run, names, voters, options, limit):
        await limit.acquire(len(names))
        folder = tempfile.mkdtemp()
        several = Several(folder, names, names[:voters], **options)
        try:
            await several.start()
            await several.begin()
            await several.until(several.settled)
            await asyncio.wait_for(run(several), CASE_TIMEOUT_S)
        finally:
            await several.close()
            limit.release(len(names))
            shutil.rmtree(folder, ignore_errors=True)
