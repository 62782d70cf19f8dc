"""Cases over processes of the program, each with its own controllers and network. All of a file run at once,
as they mostly wait, as many as there is memory for; each is judged by itself."""

import asyncio
import shutil
import tempfile

from terndrift.rehearse.several import Several

MOST = 45  # controllers at once: about 50 MB each
WITHIN = 200  # s for one case once its fleet stands


class Gate:
    """Lets cases in while there is room for their controllers."""

    def __init__(self):
        self.left, self.changed = MOST, asyncio.Event()

    async def enter(self, count):
        while self.left < count:
            await self.changed.wait()
        self.left -= count

    def leave(self, count):
        self.left += count
        self.changed.set()
        self.changed = asyncio.Event()


class Cases(dict):
    """name -> (what happens, controllers, voters, what else the fleet is made with)."""

    def __call__(self, names, voters=5, **more):
        def registered(run):
            self[run.__name__] = run, names, voters, more
            return run

        return registered

    def outcomes(self):
        """name of a case -> None, or what it raised."""

        async def every():
            gate = Gate()
            runs = (self._one(*of, gate) for of in self.values())
            got = await asyncio.gather(*runs, return_exceptions=True)
            return dict(zip(self, got, strict=True))

        return asyncio.run(every())

    async def _one(self, run, names, voters, more, gate):
        await gate.enter(len(names))
        folder = tempfile.mkdtemp()
        several = Several(folder, names, names[:voters], **more)
        try:
            await several.start()
            await several.begin()
            await several.until(several.settled)
            await asyncio.wait_for(run(several), WITHIN)
        finally:
            await several.close()
            gate.leave(len(names))
            shutil.rmtree(folder, ignore_errors=True)
