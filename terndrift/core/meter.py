"""The share of their rates that playbacks get, measured where their bytes pass. Free of I/O and clocks.

Told as the decisions expect it: once a second for a streamer that delivers short, and once more when it
has recovered. Time that a player took to accept bytes is not the streamer's and is left out by the caller.
"""

from collections import deque

SECOND = 1_000_000_000
# Below this a streamer counts as short: the rest is the noise of sending in pieces.
SHORT = 0.98
EVERY = SECOND
# Samples looked at: those that ended within so long, as the decisions take a share for that of about now.
RECENT = 2 * SECOND


class Meter:
    def __init__(self):
        self.samples = {}  # streamer id -> deque of (ended at, ns it should have taken, ns it took)
        self.told = {}  # streamer id -> (when, share last told)

    def delivered(self, now, streamer, should, took):
        """A piece of media that plays for `should` ns took `took` ns to arrive."""
        if should > 0 and took > 0:
            self.samples.setdefault(streamer, deque(maxlen=32)).append((now, should, took))

    def standing(self, now, streamer, should, waited):
        """A piece that is not there yet after more than its time: what a stalled one says before its end."""
        if waited > should:
            self.delivered(now, streamer, should, waited)

    def share(self, now, streamer):
        """The mean share of the recent pieces, weighted by their time; None: nothing recent."""
        recent = [(should, took) for at, should, took in self.samples.get(streamer, ()) if now - at < RECENT]
        if not recent:
            return None
        return sum(min(should, took) for should, took in recent) / sum(took for _, took in recent)

    def due(self, now):
        """(streamer, share) to tell now."""
        out = []
        for streamer in list(self.samples):
            share = self.share(now, streamer)
            when, last = self.told.get(streamer, (None, 1.0))
            if share is None:
                if now - self.samples[streamer][-1][0] > 10 * RECENT:
                    self.samples.pop(streamer)
                    self.told.pop(streamer, None)
                continue
            if share < SHORT:
                if when is None or now - when >= EVERY:
                    out.append((streamer, share))
            elif last < SHORT:
                out.append((streamer, share))
        for streamer, share in out:
            self.told[streamer] = (now, share)
        return out


class Rationed:
    """Lets a streamer's own figures through once in a while: each one makes the decisions look at its whole
    rack again, and they are worth no more for being repeated with every piece of media."""

    # As often as the decisions were tried with (reports 2 to 5 s apart), at the lower end.
    EVERY = 2 * SECOND

    def __init__(self):
        self.last, self.room = {}, 4096

    def due(self, now, streamer):
        if now - self.last.get(streamer, -self.EVERY) < self.EVERY:
            return False
        self.last[streamer] = now
        if len(self.last) > self.room:  # streamers come and go; the list of those ever heard must not grow
            self.last = {s: t for s, t in self.last.items() if now - t < 10 * self.EVERY}
            self.room = max(4096, 2 * len(self.last))
        return True
