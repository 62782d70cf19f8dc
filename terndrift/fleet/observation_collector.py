"""Collection of what this controller's traffic and list say of streamers, and its use after a start.

The fleet service calls `update` periodically. It passes own observations to the store in
streamer_observations.py, from which other controllers get them, saves them for the next run, and reports to
the core, by one call of the decisions' contract, how many controllers there are, which slow start share this
one has and which streamers are proven warm. This module must never make a placement decision, and does no
I/O; the owner writes the file.
"""

import msgspec

from terndrift.core.active_playback import AnswerKind
from terndrift.fleet.membership import Standing
from terndrift.fleet.planned_work import MAX_RECORD_AGE_NS, is_fresh_enough_to_place
from terndrift.fleet.streamer_observations import OBSERVATION_LIFETIME_NS, SECOND

# Mean rate of bytes that saving may write to the disk, and the least time between saves.
SAVE_BYTES_PER_SECOND, MIN_SAVE_INTERVAL_NS = 4096, 10 * SECOND


class SavedObservations(msgspec.Struct):
    """Contents of the file for the next run."""

    at: int  # when it was saved, in ns since 1970
    rows: list[tuple[str, int, int, int, int]]  # from streamer_observations.ObservationStore.export_own
    turn: tuple[int, int] | None = None  # slow start share: (rank, number of ranks)
    age: int | None = None  # age of the agreed state when saved, in ns


class ObservationCollector:
    """Collects observations of one controller and reports to its core; times are in ns.

    `controller` is the fleet's Controller, `host` steps the core, `cold_for` is the time of a warm-up.
    `configured_rank` is (rank, number of controllers) of the configuration files, which holds as long as
    nothing is agreed. `is_recovering()` tells whether this controller's recovery is still under way.
    """

    def __init__(self, controller, listing, runner, cold_for, configured_rank, is_recovering):
        self.store, self.controller, self.listing, self.runner = (
            controller.observations,
            controller,
            listing,
            runner,
        )
        self.core, self.clock, self.is_recovering = runner.core, runner.clock, is_recovering
        self.configured_rank = configured_rank
        self.store.cold_for, controller.uses_ranks = cold_for, True
        self.last_success = {}  # streamer id -> when it last started a playback or sent media
        # what the core was told: (number of controllers, slow start share); ids of streamers proven warm
        self.reported, self.reported_warm = (), set()
        self.next_save_at = runner.clock.now() + MIN_SAVE_INTERVAL_NS
        self.restored_share = None  # (slow start share of the last run, until when), if that was not long ago

    def watch(self, event, playback, **facts):
        """Takes the core's events: an answer that starts a playback counts as a success of the streamer."""
        if event == "answer" and facts["kind"] == AnswerKind.PLAYS.value:
            self.last_success[playback.streamer.id] = self.clock.now()

    def passed(self, streamer_id, size):
        """Notes that `size` bytes of media came from the streamer."""
        if size:
            self.last_success[streamer_id] = self.clock.now()

    def update(self):
        """Records observations and reports changes to the core.

        Called periodically, and oftener during a recovery.
        """
        now = self.clock.now()
        self.last_success = {
            streamer_id: at
            for streamer_id, at in self.last_success.items()
            if now - at <= OBSERVATION_LIFETIME_NS
        }
        self.store.record_own(now, self._observation_rows(now))
        current, warm = (self._count_controllers(), self._slow_start_share(now)), {}
        if self.is_recovering():
            warm = {
                streamer_id: use
                for streamer_id, use in self._find_proven_warm(now).items()
                if streamer_id not in self.reported_warm
            }
        else:
            self.store.requesting = False
        self.reported_warm |= warm.keys()
        if warm or current != self.reported:
            self.reported = current
            self.runner.run(self.core.fleet_changed, *current, warm)

    def _slow_start_share(self, now):
        """Returns the share as (rank, number of ranks), None for no share.

        Until this run has received the agreed state it uses the share that its last run had, as long as that
        state would count: without a share the first seconds of a recovery turn viewers away.
        """
        agreed = self.controller.slow_start_share(now) if self.controller.voter_names else None
        if agreed is None:
            return self.configured_rank
        has_no_state = self.controller.committed_log.complete_as_of is None
        return (
            self.restored_share[0]
            if has_no_state and self.restored_share and now < self.restored_share[1]
            else agreed[1]
        )

    def _count_controllers(self):
        """Returns how many controllers are alive, without suspected ones.

        Each controller's part of the free room depends on it, and no rule does. With the configured number,
        the few controllers that are left would leave unused the parts of all others.
        """
        members = self.controller.membership.members
        if not any(m.run for m in members.values()):
            return self.configured_rank[1]  # just started: no member has been met yet
        return 1 + sum(bool(m.run) and m.standing is Standing.ALIVE for m in members.values())

    def _observation_rows(self, now):
        rows = []
        for streamer_id, streamer in self.core.controller.streamers.items():
            line, last_success = self.listing.line_of(streamer_id), self.last_success.get(streamer_id)
            # a backoff begins with the failure, so that is when the next attempt is due less the backoff
            failed_at = (
                streamer.next_attempt_at - streamer.backoff if streamer.backoff else streamer.failed_at or 0
            )
            if line is None or last_success is None and now - failed_at > OBSERVATION_LIFETIME_NS:
                continue
            use = min(999, int(100 * streamer.utilisation(now)))
            rows.append(
                (line.address, self.clock.to_wall_ns(line.started), last_success or failed_at, failed_at, use)
            )
        return rows

    def _find_proven_warm(self, now):
        """Returns {streamer id: hundredths of its link in demand} of streamers proven warm.

        Only streamers in the list of this run are considered.
        """
        fresh, ids_by_address = self.listing.fresh(), self.listing.flow.numbers.of
        started = {line.address: self.clock.to_wall_ns(line.started) for line in fresh}

        def local_start(wall):
            return self.clock.to_wall_ns(self.clock.from_wall_ns(wall))

        proven = self.store.proven_warm(now, started, local_start)
        return {ids_by_address[address]: use for address, use in proven.items() if address in ids_by_address}

    # The file for the next run.

    def take_due_save(self):
        """Returns the SavedObservations to be written now, or None where no save is due."""
        now = self.clock.now()
        if now < self.next_save_at:
            return None
        wall = self.clock.to_wall_ns(now)
        rows = self.store.export_own(now, wall)
        # a row is up to 100 bytes long
        self.next_save_at = now + max(MIN_SAVE_INTERVAL_NS, 100 * len(rows) * SECOND // SAVE_BYTES_PER_SECOND)
        share = self.reported[1] if self.reported else None
        return SavedObservations(wall, rows, share, self.controller.committed_log.age(now))

    def restore(self, kept):
        """Takes over what the last run saved.

        Its slow start share counts only while the agreed state that it was taken from would count, and not
        where the clock was set back since.
        """
        now = self.clock.now()
        wall = self.clock.to_wall_ns(now)
        self.store.restore(now, wall, kept.rows)
        age = None if kept.age is None else kept.age + wall - kept.at
        if kept.turn and wall >= kept.at and is_fresh_enough_to_place(age):
            self.restored_share = tuple(kept.turn), now + MAX_RECORD_AGE_NS - age
