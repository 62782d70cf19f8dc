"""Fair use of one event loop by connections with very different amounts of input.

A connection whose input has lately cost little is read as soon as something arrives. One that has used up its
allowance has to await a turn before each read, and one turn is given per iteration of the event loop,
whatever the number of connections that wait. So others wait for one batch of such input at a time.
"""

import asyncio
from collections import deque

# ns of processing time that a connection may use at once, and the share of the time that it may use for long,
# before it has to await turns.
BURST_NS = 2_000_000
SUSTAINED_SHARE = 0.01


class InputTurns:
    """Gives one turn per iteration of the event loop, in the order in which they are asked for."""

    def __init__(self):
        self.waiting = deque()  # futures, each of a connection that awaits its turn

    async def next_turn(self):
        """Returns once it is the caller's turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self.waiting.append(turn)
        if len(self.waiting) == 1:
            loop.call_soon(self._give_turn, loop)
        await turn

    def _give_turn(self, loop):
        turn = self.waiting.popleft()
        if not turn.done():  # else its connection has been cancelled
            turn.set_result(None)
        if self.waiting:
            loop.call_soon(self._give_turn, loop)


class InputAllowance:
    """The processing time that the input of one connection has lately used; times in ns."""

    def __init__(self, now):
        self.used_ns, self.updated_at = 0, now

    def charge(self, started_at, now):
        """Adds the time from `started_at` to `now`."""
        self._replenish(now)
        self.used_ns += now - started_at

    def is_used_up(self, now):
        """Whether the connection has to await a turn."""
        self._replenish(now)
        return self.used_ns > BURST_NS

    def _replenish(self, now):
        self.used_ns = max(0, self.used_ns - int((now - self.updated_at) * SUSTAINED_SHARE))
        self.updated_at = now
