"""What a controller's own traffic and list tell of streamers, for the others and for its next run; and what
is made of it all after a start: handed to the decisions by one call of their contract. Decides nothing, no
I/O."""

import msgspec

from terndrift.core.active_playback import AnswerKind
from terndrift.fleet.members import Standing
from terndrift.fleet.warm import FADES, SECOND
from terndrift.fleet.work import LIMIT, may_place

# Bytes a second, in the long run, that keeping it may cost the disk, and how often it is kept at most.
BUDGET, EVERY = 4096, 10 * SECOND


class Kept(msgspec.Struct):
    """For the next run, in a file. `at`: ns since 1970; `age`: how old what is agreed was then, in ns."""

    at: int
    rows: list[tuple[str, int, int, int, int]]  # warm.Known.keeps
    turn: tuple[int, int] | None = None
    age: int | None = None


class Sight:
    """`returning()`: whether this controller's return is still under way."""

    def __init__(self, controller, listing, runner, cold_for, rank, returning):
        self.known, self.controller, self.listing, self.runner = controller.warm, controller, listing, runner
        self.core, self.clock, self.returning = runner.core, runner.clock, returning
        self.rank = rank  # (rank, controllers) of the files, as long as nothing is settled
        self.known.cold_for, controller.ranked = cold_for, True
        self.last = {}  # id -> when it was last seen well
        self.handed, self.told = (), set()  # what the decisions have: count and turn; ids proven warm
        self.keep_at = runner.clock.now() + EVERY
        self.former = None  # (its turn, until when) of its last run, if that is not long ago

    def watch(self, event, playback, **facts):
        """Of the core."""
        if event == "answer" and facts["kind"] == AnswerKind.PLAYS.value:
            self.last[playback.streamer.id] = self.clock.now()

    def passed(self, id, size):
        """Media came from that streamer."""
        if size:
            self.last[id] = self.clock.now()

    def look(self):
        """Now and then; oftener while it returns."""
        now = self.clock.now()
        self.last = {id: at for id, at in self.last.items() if now - at <= FADES}
        self.known.saw(now, self._rows(now))
        handed, warm = (self._there(), self._turn(now)), {}
        if self.returning():
            warm = {id: use for id, use in self._proven(now).items() if id not in self.told}
        else:
            self.known.asking = False
        self.told |= warm.keys()
        if warm or handed != self.handed:
            self.handed = handed
            self.runner.run(self.core.fleet_changed, *handed, warm)

    def _turn(self, now):
        """As settled; until this run has heard of that, as its last run knew, for as long as that counts:
        with none the first seconds of a return turn viewers away."""
        settled = self.controller.turn(now) if self.controller.voters else None
        if settled is None:
            return self.rank
        unheard = self.controller.follower.as_of is None
        return self.former[0] if unheard and self.former and now < self.former[1] else settled[1]

    def _there(self):
        """How many controllers are there, those in doubt left out: what each takes of free room goes by it,
        and no rule does. By the files' number few that are left go on as if all others had their part."""
        seen = self.controller.members.members
        if not any(m.run for m in seen.values()):
            return self.rank[1]  # just started: nobody was met yet
        return 1 + sum(bool(m.run) and m.standing is Standing.ALIVE for m in seen.values())

    def _rows(self, now):
        out = []
        for id, streamer in self.core.controller.streamers.items():
            line, last = self.listing.line_of(id), self.last.get(id)
            ill = streamer.next_attempt_at - streamer.backoff if streamer.backoff else streamer.failed_at or 0
            if line is None or last is None and now - ill > FADES:
                continue
            use = min(999, int(100 * streamer.utilisation(now)))
            out.append((line.address, self.clock.to_wall_ns(line.started), last or ill, ill, use))
        return out

    def _proven(self, now):
        """id -> hundredths of its link, of what stands in the list of this run."""
        fresh, of = self.listing.fresh(), self.listing.flow.numbers.of
        started = {line.address: self.clock.to_wall_ns(line.started) for line in fresh}

        def here(wall):
            return self.clock.to_wall_ns(self.clock.from_wall_ns(wall))

        found = self.known.proven(now, started, here)
        return {of[address]: use for address, use in found.items() if address in of}

    # Its next run.

    def keeps(self):
        """What is to be kept now; None: nothing yet."""
        now = self.clock.now()
        if now < self.keep_at:
            return None
        wall = self.clock.to_wall_ns(now)
        rows = self.known.keeps(now, wall)
        self.keep_at = now + max(EVERY, 100 * len(rows) * SECOND // BUDGET)  # a row is up to 100 bytes long
        turn = self.handed[1] if self.handed else None
        return Kept(wall, rows, turn, self.controller.follower.age(now))

    def restore(self, kept):
        now = self.clock.now()
        wall = self.clock.to_wall_ns(now)
        self.known.restore(now, wall, kept.rows)
        age = None if kept.age is None else kept.age + wall - kept.at
        if kept.turn and wall >= kept.at and may_place(age):
            self.former = tuple(kept.turn), now + LIMIT - age
