"""One controller of a fleet: combines the membership, the record and the gossip of all other parts.

The host (`service`, or the simulated network of `simulated_fleet`) passes in decoded messages and the time,
sends what is in `outbox` and stores what is in `pending_writes`. There is no I/O here; times and durations
are in ns. What a voter sends after a record of `pending_writes` is held back until the host has reported by
`on_durable` that the record is durable: no vote or confirmation may rest on records that a crash could lose.
"""

from terndrift.fleet import messages, planned_work, slow_start_shares
from terndrift.fleet.catalogue_sync import CatalogueSync
from terndrift.fleet.committed_state import CommittedLog
from terndrift.fleet.leases import REQUEST_INTERVAL_NS, Leases
from terndrift.fleet.load_reports import LoadReports
from terndrift.fleet.membership import Membership, Standing
from terndrift.fleet.messages import (
    CatalogueHead,
    CatalogueHeadRequest,
    FleetLoad,
    LeaseRequest,
    LeaseResponse,
    Observations,
    ObservationsRequest,
    PlacementReport,
    Propose,
    PullRequest,
    PullResponse,
)
from terndrift.fleet.raft import ELECTION_TIMEOUT, Role, Voter
from terndrift.fleet.streamer_observations import ObservationStore
from terndrift.fleet.work_budget import CONTROLLER_PREFIX, Machine

MS = 1_000_000
SECOND = 1000 * MS
PROPOSAL_RETRY_INTERVAL = SECOND  # of a proposal not yet seen committed; retries rotate through voters
MAX_PROPOSAL_HOPS = 3
WORK_INTERVAL = SECOND // 2  # between checks of planned work, and between reports of what is held
# Bytes of a report for machines that wait for work: together with the rest it fits a datagram.
MAX_WAITING_COUNT_BYTES = 600
MAX_PENDING_PROPOSALS = 256  # of this controller, not yet seen committed
# A copy of the record older than this is refreshed from a voter; a voter refreshes its own from the leader at
# half this age. Two lost responses still keep the age below CUT_OFF_AFTER; a shorter interval would cost the
# voters one request per member and second.
MAX_RECORD_AGE = 2 * SECOND
# A controller without any record pulls it more often, but only this long after its start: in a fleet that has
# no record yet the voters would otherwise be asked at that rate for good.
STARTUP_PERIOD = 10 * SECOND


class Controller:
    """The state of one controller in the fleet: membership, replicated record, and gossip.

    `configured_names` are the names of all controllers of the configuration, this one included, and
    `voter_names` those that vote. `stored_state` is what a voter has stored, None for others; `mint()`
    returns a new identity for it. `run` is the start of this process in ms since 1970.
    """

    def __init__(
        self, fleet_name, own_name, configured_names, voter_names, stored_state, run, now, mint, seed=0
    ):
        self.fleet_name, self.own_name, self.configured_names, self.voter_names = (
            fleet_name,
            own_name,
            set(configured_names),
            list(voter_names),
        )
        self.membership = Membership(own_name, configured_names, run, now, seed)
        self.committed_log = CommittedLog(now)
        self.voter = None
        if stored_state is not None:
            self.voter = Voter(own_name, voter_names, stored_state, self.committed_log, now, mint, seed)
        # outbox: (recipient, bytes), in order; pending_writes: records for the store; write_count: how many
        # were ever put there; held_messages: (value of write_count to wait for, recipient, bytes)
        self.outbox, self.pending_writes, self.write_count, self.held_messages = [], [], 0, []
        self.pending_proposals = {}  # id -> [value, time of the next retry, retries]
        self.started_at, self.next_pull_at = now, now
        # Planned work on machines. placement_reports: member -> (PlacementReport, time received)
        self.work_scheduler, self.next_work_at, self.placement_reports = planned_work.WorkScheduler(), now, {}
        # Set by PlannedWorkSite. list_machines(): name -> Machine of its list; count_placements(names): name
        # -> playbacks and set-ups there; wall_ms(): ms since 1970; recent_requests(now): recent (requests,
        # turned away); failing_machines(names): those at which set-ups fail
        self.list_machines, self.count_placements = dict, lambda names: dict.fromkeys(names, 0)
        self.wall_ms, self.recent_requests, self.failing_machines = (
            lambda: 0,
            lambda now: (0, 0),
            lambda names: [],
        )
        # last_epoch and last_map: of the record when last looked at; out_in_earlier_epoch: machine -> its
        # row, for those that were out for work when the record was begun anew
        self.last_epoch, self.last_map, self.out_in_earlier_epoch = (
            self.committed_log.epoch,
            self.committed_log.state["map"],
            {},
        )
        self.off_cache = None, set()  # what the set was computed from; names of machines not to place on
        self.observations, self.catalogue_sync = (
            ObservationStore(own_name, run, now),
            CatalogueSync(own_name, now, list, 0),
        )
        # shedding: a shedding.SheddingLevel set by OverloadControl if it sheds load
        self.load_reports, self.shedding = LoadReports(own_name, configured_names, now), None
        # without limits until OverloadControl sets its own
        self.leases = Leases(own_name, {}, len(self.configured_names), bool(voter_names), now)
        # uses_ranks: set by the host if it shares the slow start of cold streamers by rank
        self.ranks, self.next_rank_at, self.uses_ranks = slow_start_shares.SlowStartShares(), now, False
        self.led_work_rev = 0  # revision of the work at the leader's last check
        self._collect_output(now)

    def next_tick_at(self):
        """When `tick` has to be called next."""
        times = [self.membership.next_tick_at()] + [p[1] for p in self.pending_proposals.values()]
        times += [self.next_pull_at] if self.voter_names else []
        times += [self.next_work_at] if self._has_work() else []
        times += [self.next_rank_at] if self.uses_ranks else []
        times += [self.observations.next_tick_at()] if self.observations.seen or self.uses_ranks else []
        times += [
            at
            for at in (
                self.catalogue_sync.next_tick_at(),
                self.load_reports.next_tick_at(),
                self.leases.next_tick_at(),
            )
            if at is not None
        ]
        return min(times + [self.voter.next_tick_at()] if self.voter else times)

    def receive(self, now, envelope):
        """Handles a message that `messages.decode` has accepted."""
        sender, message = envelope.sender, envelope.message
        self.committed_log.handle_progress(
            now,
            sender,
            envelope.epoch,
            envelope.commit_index,
            envelope.commit_age,
            self.membership.request_sent_at(message),
        )
        if isinstance(message, messages.RaftMessage):
            if self.voter:
                self.voter.receive(now, sender, message)
        elif isinstance(message, PullRequest):
            self.committed_log.handle_pull(now, sender, message)
        elif isinstance(message, PullResponse):
            self.committed_log.handle_pull_answer(now, sender, message)
        elif isinstance(message, Propose):
            self._submit(now, message)
        elif isinstance(message, PlacementReport):
            if envelope.epoch == self.committed_log.epoch[0]:  # revisions of another epoch cannot be compared
                self.placement_reports[sender] = message, now
        elif isinstance(message, ObservationsRequest):
            self.observations.handle_request(now, sender)
        elif isinstance(message, FleetLoad):
            self.load_reports.receive(now, sender, message)
        elif isinstance(message, LeaseRequest):
            if message.requester in self.configured_names:
                self.leases.handle_request(now, message, self._leads_with_quorum(now), self.leader())
        elif isinstance(message, LeaseResponse):
            if sender in self.voter_names:
                self.leases.handle_response(now, message)
        elif isinstance(message, CatalogueHeadRequest):
            self.catalogue_sync.handle_request(sender)
        elif isinstance(message, CatalogueHead):
            if envelope.epoch >= self.committed_log.epoch[0]:  # the sender may still be in an outdated epoch
                self.catalogue_sync.handle_response(sender, message)
        elif isinstance(message, Observations):
            self.observations.handle_message(
                now, sender, message, {n: m.run for n, m in self.membership.members.items()}
            )
        else:
            self.membership.receive(now, sender, message)
        self._collect_output(now)

    def tick(self, now):
        """Runs all timers that are due."""
        if self.membership.next_tick_at() <= now:
            self.membership.tick(now)
        if self.voter and self.voter.next_tick_at() <= now:
            self.voter.tick(now)
        if now >= self.next_work_at and self._has_work():
            self._run_work(now)
        if self.uses_ranks and now >= self.next_rank_at:
            self._propose_ranks(now)
        if (due_at := self.load_reports.next_tick_at()) is not None and now >= due_at:
            self._report_load(now)
        if (due_at := self.leases.next_tick_at()) is not None and now >= due_at:
            recipient = self._choose_voter(now, self.leader(), now // REQUEST_INTERVAL_NS)
            self.leases.tick(now, recipient, self._leads_with_quorum(now))
        # After a start no member is known to be alive yet: all of the configuration are tried, some answer.
        candidates = self.membership.alive_names() or sorted(self.configured_names - {self.own_name})
        self.catalogue_sync.tick(now, candidates)
        if (self.uses_ranks or self.observations.seen) and self.observations.next_tick_at() <= now:
            self.observations.tick(now, candidates)
        if now >= self.next_pull_at and self.voter_names:
            self._refresh_record(now)
        for id, proposal in list(self.pending_proposals.items()):
            if id in self.committed_log.state["ids"]:
                del self.pending_proposals[id]
            elif now >= proposal[1]:
                proposal[1], proposal[2] = now + PROPOSAL_RETRY_INTERVAL, proposal[2] + 1
                self._submit(now, Propose(id, proposal[0]), proposal[2])
        self._collect_output(now)

    def on_durable(self, now, durable_count):
        """Called by the host when the first `durable_count` records ever put into `pending_writes` are
        durable."""
        while self.held_messages and self.held_messages[0][0] <= durable_count:
            self.outbox.append(self.held_messages.pop(0)[1:])
        if self.voter:
            self.voter.on_durable(now, durable_count)
            self._collect_output(now)

    def propose(self, now, id, value):
        """Proposes a value, and retries until it is seen committed here.

        Returns False if too many proposals are pending. A proposal with an id that was committed already has
        no effect.
        """
        if id not in self.pending_proposals and len(self.pending_proposals) >= MAX_PENDING_PROPOSALS:
            return False
        self.pending_proposals[id] = [value, now + PROPOSAL_RETRY_INTERVAL, 0]
        self._submit(now, Propose(id, value))
        self._collect_output(now)
        return True

    def leave(self, now):
        """Announces a planned stop; a leader transfers its leadership first."""
        if self.voter:
            self.voter.transfer_leadership(now)
        self.membership.leave(now)
        self._collect_output(now)

    def begin_epoch(self, now, state):
        """Begins the record anew, in a later epoch, from `state` or empty; on an operator's command alone."""
        self.voter.begin_epoch(now, state)
        self._collect_output(now)

    def exclusions(self, now):
        """Returns (machines excluded by planned work, whether this controller may place on the others)."""
        cache_key = self.committed_log.epoch, self.committed_log.last_index, len(self.out_in_earlier_epoch)
        if self.off_cache[0] != cache_key:  # read for each set-up, but changed only by a committed entry
            self.off_cache = (
                cache_key,
                planned_work.names_without_placement(self.committed_log.state)
                | set(self.out_in_earlier_epoch),
            )
        return self.off_cache[1], planned_work.is_fresh_enough_to_place(self.committed_log.age(now))

    def _run_work(self, now):
        """Reports to the voters what is held on excluded machines; as the leader, proposes the next step."""
        self.next_work_at = now + WORK_INTERVAL
        state, own_machine = self.committed_log.state, CONTROLLER_PREFIX + self.own_name
        off, table = self.exclusions(now)[0], planned_work.machine_rows(state)
        if off or any(
            planned_work.WorkState(row["state"]) not in planned_work.ENDED_STATES for row in table.values()
        ):
            placement_report = self._placement_report(now, state, off, table)
            self.placement_reports[self.own_name] = placement_report, now
            self._enqueue(now, [(v, placement_report) for v in self.voter_names if v != self.own_name])
        if self.voter and self.voter.role is Role.LEADER:
            self.led_work_rev = planned_work.current_revision(state)
            if own_machine in off:
                return self.voter.transfer_leadership(
                    now
                )  # this controller is about to be worked on: another one takes over
            for id, value in self.work_scheduler.next_proposals(now, state, self.work_view()):
                self.voter.propose(now, id, value)
        return None

    def _placement_report(self, now, state, off, table):
        waiting = [
            name for name, row in table.items() if row["state"] == planned_work.WorkState.WAITING.value
        ]
        counts, bytes_left = self.count_placements(sorted(off)), MAX_WAITING_COUNT_BYTES
        for name, count in sorted(self.count_placements(waiting).items(), key=lambda x: (-x[1], x[0])):
            if not count or (bytes_left := bytes_left - len(name) - 4) < 0:
                break
            counts[name] = count
        warming = [
            name for name, row in table.items() if row["state"] == planned_work.WorkState.WARMING_UP.value
        ]
        return PlacementReport(
            planned_work.current_revision(state),
            counts,
            self.wall_ms(),
            *self.recent_requests(now),
            self.failing_machines(warming),
            self.out_in_earlier_epoch,
        )

    def _propose_ranks(self, now):
        """As the leader, proposes who shares the slow start of cold streamers, when that has changed."""
        self.next_rank_at = now + SECOND
        self.ranks.note_entry(now, self.committed_log.state)
        if self.voter and self.voter.role is Role.LEADER:
            alive = {self.own_name, *self.membership.alive_names()}
            if proposal := self.ranks.next(now, self.committed_log.state, self.configured_names, alive):
                self.voter.propose(now, *proposal)

    def _report_load(self, now):
        """Reports the recent load; at the controller that decides, also steps the load shedding level."""
        alive = self.membership.alive_names()
        if self.shedding and self.load_reports.decides(now, alive):
            if (
                self.load_reports.level[1] != self.own_name
            ):  # continues from the level of the controller that decided before
                self.shedding.value = self.load_reports.in_force(now)
                self.shedding.caps.parts = self.load_reports.caps_in_force(now)
            level = self.shedding.step(
                now, self.load_reports.total(now)[0], self.load_reports.current_supplement(now).request_counts
            )
            self.load_reports.decided(now, level, self.shedding.caps.parts)
        self.load_reports.tick(now, alive)

    def _leads_with_quorum(self, now):
        """Whether this is the leader and a majority has answered a request sent less than ELECTION_TIMEOUT
        ago."""
        voter = self.voter
        return (
            voter is not None
            and voter.role is Role.LEADER
            and now - voter.quorum_contact_at() < ELECTION_TIMEOUT
        )

    def slow_start_share(self, now):
        """Returns this controller's share of the slow start of cold streamers; see
        `SlowStartShares.slow_start_share`."""
        return self.ranks.slow_start_share(
            now, self.committed_log.state, self.own_name, self.committed_log.age(now)
        )

    def work_view(self):
        """Returns what the leader goes by in planned work, beside the record."""
        return planned_work.WorkObservations(
            self.all_machines(), frozenset(self.configured_names), self.placement_reports, self.wall_ms()
        )

    def all_machines(self):
        """Returns name -> Machine: streamers from the host's list, and controllers from the membership."""
        out, state, alive = (
            dict(self.list_machines()),
            self.committed_log.state,
            set(self.membership.alive_names()),
        )
        for name in self.configured_names:
            is_voter = name in self.voter_names
            is_alive = name == self.own_name and not self.membership.leaving or name in alive
            run = self.membership.run if name == self.own_name else self.membership.members[name].run
            ready = is_alive and (not is_voter or name in state["voters"])
            machine = Machine(CONTROLLER_PREFIX + name, -1, "", 0.0, ready, run, voter=is_voter)
            out[machine.name] = machine
        return out

    def _track_epoch(self):
        """Keeps machines excluded that were out for work in the previous epoch, until an operator decides."""
        state = self.committed_log.state
        if self.committed_log.epoch != self.last_epoch:
            if self.last_epoch[0]:
                self.out_in_earlier_epoch |= planned_work.rows_in_budget({"map": self.last_map})
            self.last_epoch, self.placement_reports, self.work_scheduler = (
                self.committed_log.epoch,
                {},
                planned_work.WorkScheduler(),
            )
        self.last_map = state["map"]
        if self.out_in_earlier_epoch:
            self.out_in_earlier_epoch = {
                n: row for n, row in self.out_in_earlier_epoch.items() if f"work/m/{n}" not in self.last_map
            }

    def _has_work(self):
        return bool(self.out_in_earlier_epoch) or planned_work.REVISION_KEY in self.committed_log.state["map"]

    def _refresh_record(self, now):
        """Pulls the record when the copy here is old: from the leader if known, else from a voter in turn."""
        age, max_age = self.committed_log.age(now), MAX_RECORD_AGE // 2 if self.voter else MAX_RECORD_AGE
        leads = self.voter and self.voter.role is Role.LEADER
        if leads or age is not None and age < max_age:
            self.next_pull_at = now + (SECOND if leads else max_age - age)
            return
        # Without any record it may not place where there is planned work: after a start it pulls sooner.
        starting = age is None and now - self.started_at < STARTUP_PERIOD
        self.next_pull_at = now + (SECOND // 4 if starting else SECOND)
        if to := self._choose_voter(now, self.leader(), self.next_pull_at // (SECOND // 4)):
            self.committed_log.send_pull(now, to)

    def _choose_voter(self, now, leader, rotation=0):
        """Returns the leader if it is another, known controller, else a voter in rotation; None: no voter."""
        if leader not in (None, self.own_name):
            return leader
        others = [v for v in self.voter_names if v != self.own_name]
        candidates = [v for v in others if v in self.membership.alive_names()] or others
        # A suspect may be cut off, so that what is sent to it is lost.
        unsuspected = [v for v in candidates if self.membership.members[v].standing is Standing.ALIVE]
        candidates = unsuspected or candidates
        return candidates[(now // MS + rotation) % len(candidates)] if candidates else None

    def leader(self):
        """Returns the leader's name; None: there is none, or this controller is no voter and cannot tell."""
        return self.voter.leader if self.voter else None

    def cut_off_for(self, now):
        """Returns how long (ns) the record here has been out of date; 0: it is current, or has not begun."""
        age = self.committed_log.age(now)
        if self.committed_log.epoch[0] == 0:
            return 0
        age = now - self.started_at if age is None else age
        return age if age > CUT_OFF_AFTER else 0

    def _submit(self, now, proposal, retries=0):
        """Proposes to the log as the leader, else forwards the proposal.

        It goes to the leader if that is known, and from the second retry on to the voters in rotation.
        """
        if self.voter and self.voter.propose(now, proposal.id, proposal.value):
            return
        if proposal.hops >= MAX_PROPOSAL_HOPS:
            return
        if to := self._choose_voter(now, self.leader() if retries <= 1 else None, retries):
            self._enqueue(now, [(to, Propose(proposal.id, proposal.value, proposal.hops + 1))])

    def _collect_output(self, now):
        """Moves what all parts have to send and to store into `outbox`, `held_messages` and `pending_writes`.

        Messages of the voter wait until the records that it wrote before them are durable.
        """
        voter, committed_log = self.voter, self.committed_log
        self._track_epoch()
        if voter:
            voter.adopt_newer_epoch(now)
            leads = voter.role is Role.LEADER
            self.leases.leadership_changed(now, leads and (committed_log.epoch, voter.persistent.term))
            if (
                voter.role is Role.LEADER
                and planned_work.current_revision(committed_log.state) != self.led_work_rev
            ):
                self.next_work_at = now  # a step was committed: the next one need not wait for the interval
            self.pending_writes += voter.pending_writes
            voter.pending_writes, self.write_count = [], voter.write_count
            pending, voter.outbox = voter.outbox, []
            self._enqueue(now, pending, voter.write_count if self.pending_writes or self.held_messages else 0)
        for part in (
            committed_log,
            self.membership,
            self.observations,
            self.catalogue_sync,
            self.load_reports,
            self.leases,
        ):
            pending, part.outbox = part.outbox, []
            self._enqueue(now, pending)

    def _enqueue(self, now, pending, after=0):
        """Encodes (recipient, message) pairs for `outbox`, or for `held_messages` until `after` records are
        durable."""
        committed_log = self.committed_log
        age = committed_log.age(now)
        for to, message in pending:
            data = messages.encode(
                self.fleet_name,
                self.own_name,
                to,
                message,
                committed_log.epoch[0],
                committed_log.last_index,
                -1 if age is None else age // MS,
            )
            if after:
                self.held_messages.append((after, to, data))
            else:
                self.outbox.append((to, data))

    # For operators.

    def report(self, now):
        """Returns the state of the record at this controller, for operators."""
        committed_log, voter = self.committed_log, self.voter
        age = committed_log.age(now)
        out = {
            "name": self.own_name,
            "epoch": list(committed_log.epoch),
            "agreed": committed_log.last_index,
            "age_s": None if age is None else round(age / SECOND, 3),
            "cut_off_s": round(self.cut_off_for(now) / SECOND, 1),
            "voters": committed_log.state["voters"],
            "proposals": len(self.pending_proposals),
            "role": "follower",
        }
        if voter:
            out |= {
                "role": voter.role.value,
                "identity": voter.identity,
                "term": voter.persistent.term,
                "leader": voter.leader,
                "log": voter.persistent.last_index,
                "doubts": voter.role in (Role.RECOVERING, Role.NON_VOTER),
            }
            if voter.role is Role.LEADER:
                out["followers"] = {
                    n: voter.match_index.get(i, 0)
                    for n, i in voter.persistent.voters().items()
                    if n != self.own_name
                }
        return out


# With a copy of the record older than this a controller counts as cut off: in a large fleet it takes a few
# pings until the leader's heartbeats have spread through the members.
CUT_OFF_AFTER = 5 * SECOND
