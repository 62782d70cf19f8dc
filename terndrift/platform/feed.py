"""Client of the operators' control feed: numbered events, fetched by HTTP long polling.

`service` creates one `Feed` per process and runs `Feed.follow` as a task. Events are applied in order of
their numbers, each one once; an event that is missing or not fully readable is requested a second time and,
with the same fault again, skipped. Of an event's content the feed reads only its number and whether it is a
full list; the rest is the callback's. No failure of the feed server may end `follow`. The protocol is
specified in the operators' PROTOCOL document.
"""

import asyncio
import contextlib
import json
import time

from terndrift.backoff import Backoff
from terndrift.http.client import Broken, Pool, Unreached, fetch

NS_PER_SECOND = 1_000_000_000
# How long the server may hold a call open while it has no new event. Short, because a feed that stops
# responding during a call is noticed only this much later.
POLL_WAIT_MS = 1000
# Time beyond POLL_WAIT_MS after which a call without a reply is abandoned.
REPLY_GRACE_S = 0.4
CONNECT_TIMEOUT_S = 0.5
# Backoff after a failed call: doubles with each further failure, half of it random jitter, so that hundreds
# of controllers do not poll an unavailable feed ten times a second in step. The maximum is low enough that,
# with the connect timeout, the next call comes within 2 s; after that, events that the controller would have
# received count as known to it (DAYS).
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.1, 0.8
# A reply without new events that arrives sooner than this means that the server does not hold calls open; the
# next call is then delayed.
MIN_EMPTY_REPLY_S = 0.05
MAX_REPLY_BYTES = 4 * 1024 * 1024  # fits a list of thousands of streamers
# Timeout of the call made at startup for changes since the configuration was written: many times what a
# reachable feed takes. An unreachable one must not keep the controller from starting.
INITIAL_CALL_TIMEOUT_S = 0.25


class FeedReplyError(ValueError):
    """A reply, or an event in it, that cannot be used as it is; the text says why."""


def is_full_list(event):
    """Whether the event carries the full list, which makes all earlier events irrelevant."""
    members = event.get("members")
    return isinstance(members, dict) and bool(members.get("whole"))


class Feed:
    """Polls the control feed at `address` ("host:port") and passes each new event on.

    `apply_event(event, final)` applies an event and returns a description of what it could not read, or None
    if it read everything. It is called once per new event, and a second time if that event is requested again
    because something in it was unreadable. `final` means that the event will not be requested again.

    `held` is the number of the last event that was applied or skipped; polling resumes after it. `seed`
    varies the backoff between controllers.
    """

    def __init__(self, address, held, apply_event, log, seed=0):
        self.address, self.held, self.apply_event, self.log = address, held, apply_event, log
        self.pool, self.call = Pool(), None
        self.backoff = Backoff(seed, int(BACKOFF_MIN_S * NS_PER_SECOND), int(BACKOFF_MAX_S * NS_PER_SECOND))
        self.failed_calls = 0  # in a row
        self.retried_event = None  # number of the event that was requested a second time
        self.address_changed = asyncio.Event()

    def set_address(self, address):
        """Switches to another feed address; cancels a call in progress and cuts a backoff delay short."""
        if address != self.address:
            self.address, self.failed_calls = address, 0
            self.pool.close()
            self.address_changed.set()
            if self.call:
                self.call.cancel()

    def close(self):
        """Closes idle connections. A running `follow` is the caller's to cancel."""
        self.pool.close()

    async def _poll(self, wait_ms, connect_timeout_s, timeout_s):
        """Makes one call and applies its reply.

        Raises Unreached, Broken or FeedReplyError, and CancelledError if the address changed meanwhile.
        """
        self.address_changed.clear()
        self.call = asyncio.ensure_future(
            fetch(
                self.pool,
                self.address,
                "GET",
                f"/v1/events?SUB={self.held}&wait={wait_ms}",
                connect=connect_timeout_s,
                within=timeout_s,
                most=MAX_REPLY_BYTES,
            )
        )
        code, _, body = await self.call
        if code != 200:
            raise FeedReplyError(f"HTTP status {code}")
        try:
            reply = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise FeedReplyError(f"not JSON: {error}") from None
        self.apply_reply(reply)

    async def fetch_initial(self):
        """Fetches once what has changed since the configuration was written; never raises for a failed call.

        Called before the controller accepts viewers. Events published while the process starts count as known
        to it, so placing by the configuration's list alone could break rule 3 (no new playback on a streamer
        past the grace period after the controller learned that it drains or is gone).
        """
        try:
            await asyncio.wait_for(
                self._poll(0, INITIAL_CALL_TIMEOUT_S, INITIAL_CALL_TIMEOUT_S), INITIAL_CALL_TIMEOUT_S
            )
        except asyncio.CancelledError:
            if not self._only_call_cancelled():
                raise
        except (Unreached, Broken, TimeoutError, FeedReplyError) as error:
            self.log.info("feed", address=self.address, why=f"first call: {error or type(error).__name__}")

    def _only_call_cancelled(self):
        """Whether a cancellation was of the call alone, not of the task that awaits it."""
        return self.call.cancelled() and not asyncio.current_task().cancelling()

    async def follow(self):
        """Polls until cancelled. Failures are logged once per outage and retried with backoff."""
        # A call that fails while it is cancelled raises its own error, and the cancellation is lost.
        while not asyncio.current_task().cancelling():
            began, held = time.monotonic(), self.held
            try:
                await self._poll(POLL_WAIT_MS, CONNECT_TIMEOUT_S, POLL_WAIT_MS / 1000 + REPLY_GRACE_S)
                if self.failed_calls:
                    self.log.info("feed again", address=self.address, calls=self.failed_calls)
                    self.failed_calls = 0
                if self.held == held and time.monotonic() - began < MIN_EMPTY_REPLY_S:
                    await self._delay(BACKOFF_MIN_S)
            except asyncio.CancelledError:
                if not self._only_call_cancelled():
                    raise
            except (Unreached, Broken, FeedReplyError) as error:
                if not self.failed_calls:  # once per outage
                    self.log.info(
                        "feed",
                        address=self.address,
                        why=str(error) or type(error).__name__,
                        after=round(time.monotonic() - began, 3),
                    )
                self.failed_calls += 1
                await self._delay(self.retry_delay())
            except Exception as exception:  # a bug in applying an event must not end the polling
                self.log.error("fault of the feed", exc_info=exception)
                self.failed_calls += 1
                await self._delay(self.retry_delay())

    async def _delay(self, seconds):
        """Sleeps, but returns early when the address changes."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.address_changed.wait(), seconds)

    def retry_delay(self):
        """Seconds to wait before the next call, after `failed_calls` failures in a row."""
        return self.backoff.next_delay_after(self.failed_calls == 1) / NS_PER_SECOND

    def apply_reply(self, reply):
        """Applies a reply's new events in order of their numbers.

        At the first event that is missing or not fully readable it stops and raises FeedReplyError, so that
        the next call requests it again: the reply may have been damaged in transit. An event with the same
        fault the second time is skipped, with a warning.
        """
        if not isinstance(reply, dict) or not isinstance(reply.get("events"), list):
            raise FeedReplyError("no list of events")
        for number, event in self._numbered(reply["events"]):
            if number <= self.held:
                continue
            missing = number > self.held + 1 and not is_full_list(event)
            problem = "missing" if missing else self.apply_event(event, self.retried_event == self.held + 1)
            if problem is not None and self.retried_event != self.held + 1:
                self.retried_event = self.held + 1
                raise FeedReplyError(f"event {self.retried_event}: {problem}")
            if problem is not None:
                self.log.warning("feed", why=f"event {self.held + 1}: {problem}, passed over")
                if missing and (unreadable := self.apply_event(event, True)):
                    self.log.warning("feed", why=f"event {number}: {unreadable}, passed over")
            self.held = number

    def _numbered(self, events):
        """(number, event) of each event that has a number, sorted by number."""
        numbered = [
            (event["n"], event)
            for event in events
            if isinstance(event, dict) and isinstance(event.get("n"), int)
        ]
        if len(numbered) < len(events):
            self.log.warning("feed", why="an event without a number")
        return sorted(numbered, key=lambda pair: pair[0])

    def apply_initial_events(self, events):
        """Applies the events of the configuration; what cannot be read is left to the feed's first reply."""
        try:
            self.apply_reply({"events": events})
        except FeedReplyError as error:
            self.log.warning("known", why=str(error))
