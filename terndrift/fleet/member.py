"""One controller of a fleet: combines the membership, the record and the gossip of all other parts.

The host (`service`, or the simulated network of `simulated_fleet`) passes in decoded messages and the time,
sends what is in `out` and stores what is in `writes`. There is no I/O here; times and durations are in ns.
What a voter sends after a record of `writes` is held back until the host has reported by `kept` that the
record is durable: no vote or confirmation may rest on records that a crash could lose.
"""

from terndrift.fleet import messages, ranks, work
from terndrift.fleet.committed_state import CommittedLog
from terndrift.fleet.copies import Copies
from terndrift.fleet.leases import ASK, Leases
from terndrift.fleet.load import Loads
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
from terndrift.fleet.room import CONTROLLER, Machine
from terndrift.fleet.warm import Known

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

    `known` are the names of all controllers of the configuration, this one included, and `voters` those that
    vote. `stored_state` is what a voter has stored, None for others; `mint()` returns a new identity for it.
    `run` is the start of this process in ms since 1970.
    """

    def __init__(self, fleet, me, known, voters, stored_state, run, now, mint, seed=0):
        self.fleet, self.me, self.known, self.voters = fleet, me, set(known), list(voters)
        self.membership = Membership(me, known, run, now, seed)
        self.committed_log = CommittedLog(now)
        self.voter = None
        if stored_state is not None:
            self.voter = Voter(me, voters, stored_state, self.committed_log, now, mint, seed)
        # out: (recipient, bytes), in order; writes: records for the store; wrote: how many were ever put
        # there; held: (value of wrote to wait for, recipient, bytes)
        self.out, self.writes, self.wrote, self.held = [], [], 0, []
        self.pending_proposals = {}  # id -> [value, time of the next retry, retries]
        self.started_at, self.next_pull_at = now, now
        # Planned work on machines. holds: member -> (PlacementReport, time received)
        self.work, self.work_at, self.holds = work.Work(), now, {}
        # Set by the host. machines(): name -> Machine of its list; holding(names): name -> playbacks and
        # set-ups there; wall(): ms since 1970; turned(now): recent (requests, turned away); ill(names): those
        # at which set-ups fail
        self.machines, self.holding = dict, lambda names: dict.fromkeys(names, 0)
        self.wall, self.turned, self.ill = lambda: 0, lambda now: (0, 0), lambda names: []
        # last_epoch and last_map: of the record when last looked at; left: machine -> its row, for those that
        # were out for work when the record was begun anew
        self.last_epoch, self.last_map, self.left = (
            self.committed_log.epoch,
            self.committed_log.state["map"],
            {},
        )
        self.off_cache = None, set()  # what the set was computed from; names of machines not to place on
        self.warm, self.copies = Known(me, run, now), Copies(me, now, list, 0)
        self.loads, self.shed = Loads(me, known, now), None  # shed: a shed.Level if the host sheds load
        # without limits until the host sets its own
        self.leases = Leases(me, {}, len(self.known), bool(voters), now)
        # ranked: set by the host if it shares the slow start of cold streamers by rank
        self.ranks, self.next_rank_at, self.ranked = ranks.Ranks(), now, False
        self.led_work_rev = 0  # revision of the work at the leader's last check
        self._collect_output(now)

    def next_at(self):
        """When `tick` has to be called next."""
        times = [self.membership.next_at()] + [p[1] for p in self.pending_proposals.values()]
        times += [self.next_pull_at] if self.voters else []
        times += [self.work_at] if self._has_work() else []
        times += [self.next_rank_at] if self.ranked else []
        times += [self.warm.next_at()] if self.warm.seen or self.ranked else []
        times += [
            at
            for at in (self.copies.next_at(), self.loads.next_at(), self.leases.next_at())
            if at is not None
        ]
        return min(times + [self.voter.next_at()] if self.voter else times)

    def received(self, now, envelope):
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
                self.voter.received(now, sender, message)
        elif isinstance(message, PullRequest):
            self.committed_log.handle_pull(now, sender, message)
        elif isinstance(message, PullResponse):
            self.committed_log.handle_pull_answer(now, sender, message)
        elif isinstance(message, Propose):
            self._submit(now, message)
        elif isinstance(message, PlacementReport):
            if envelope.epoch == self.committed_log.epoch[0]:  # revisions of another epoch cannot be compared
                self.holds[sender] = message, now
        elif isinstance(message, ObservationsRequest):
            self.warm.asked(now, sender)
        elif isinstance(message, FleetLoad):
            self.loads.heard(now, sender, message)
        elif isinstance(message, LeaseRequest):
            if message.requester in self.known:
                self.leases.asked(now, message, self._leads_with_quorum(now), self.leader())
        elif isinstance(message, LeaseResponse):
            if sender in self.voters:
                self.leases.answered(now, message)
        elif isinstance(message, CatalogueHeadRequest):
            self.copies.asked(sender)
        elif isinstance(message, CatalogueHead):
            if envelope.epoch >= self.committed_log.epoch[0]:  # the sender may still be in an outdated epoch
                self.copies.heard(sender, message)
        elif isinstance(message, Observations):
            self.warm.heard(now, sender, message, {n: m.run for n, m in self.membership.members.items()})
        else:
            self.membership.received(now, sender, message)
        self._collect_output(now)

    def tick(self, now):
        """Runs all timers that are due."""
        if self.membership.next_at() <= now:
            self.membership.tick(now)
        if self.voter and self.voter.next_at() <= now:
            self.voter.tick(now)
        if now >= self.work_at and self._has_work():
            self._run_work(now)
        if self.ranked and now >= self.next_rank_at:
            self._propose_ranks(now)
        if (due_at := self.loads.next_at()) is not None and now >= due_at:
            self._report_load(now)
        if (due_at := self.leases.next_at()) is not None and now >= due_at:
            self.leases.tick(
                now, self._choose_voter(now, self.leader(), now // ASK), self._leads_with_quorum(now)
            )
        # After a start no member is known to be alive yet: all of the configuration are tried, some answer.
        candidates = self.membership.alive_names() or sorted(self.known - {self.me})
        self.copies.tick(now, candidates)
        if (self.ranked or self.warm.seen) and self.warm.next_at() <= now:
            self.warm.tick(now, candidates)
        if now >= self.next_pull_at and self.voters:
            self._refresh_record(now)
        for id, proposal in list(self.pending_proposals.items()):
            if id in self.committed_log.state["ids"]:
                del self.pending_proposals[id]
            elif now >= proposal[1]:
                proposal[1], proposal[2] = now + PROPOSAL_RETRY_INTERVAL, proposal[2] + 1
                self._submit(now, Propose(id, proposal[0]), proposal[2])
        self._collect_output(now)

    def kept(self, now, durable_count):
        """Called by the host when the first `durable_count` records ever put into `writes` are durable."""
        while self.held and self.held[0][0] <= durable_count:
            self.out.append(self.held.pop(0)[1:])
        if self.voter:
            self.voter.kept(now, durable_count)
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
            self.voter.stop(now)
        self.membership.leave(now)
        self._collect_output(now)

    def restart(self, now, state):
        """Begins the record anew, in a later epoch, from `state` or empty; on an operator's command alone."""
        self.voter.restart(now, state)
        self._collect_output(now)

    def off(self, now):
        """Returns (machines excluded by planned work, whether this controller may place on the others)."""
        cache_key = self.committed_log.epoch, self.committed_log.last_index, len(self.left)
        if self.off_cache[0] != cache_key:  # read for each set-up, but changed only by a committed entry
            self.off_cache = cache_key, work.told_off(self.committed_log.state) | set(self.left)
        return self.off_cache[1], work.may_place(self.committed_log.age(now))

    def _run_work(self, now):
        """Reports to the voters what is held on excluded machines; as the leader, proposes the next step."""
        self.work_at = now + WORK_INTERVAL
        state, own_machine = self.committed_log.state, CONTROLLER + self.me
        off, table = self.off(now)[0], work.rows(state)
        if off or any(work.State(row["state"]) not in work.ENDED for row in table.values()):
            placement_report = self._placement_report(now, state, off, table)
            self.holds[self.me] = placement_report, now
            self._enqueue(now, [(v, placement_report) for v in self.voters if v != self.me])
        if self.voter and self.voter.role is Role.LEADER:
            self.led_work_rev = work.rev(state)
            if own_machine in off:
                return self.voter.stop(
                    now
                )  # this controller is about to be worked on: another one takes over
            for id, value in self.work.steps(now, state, self.seen()):
                self.voter.propose(now, id, value)
        return None

    def _placement_report(self, now, state, off, table):
        waiting = [name for name, row in table.items() if row["state"] == work.State.WAITING.value]
        counts, bytes_left = self.holding(sorted(off)), MAX_WAITING_COUNT_BYTES
        for name, count in sorted(self.holding(waiting).items(), key=lambda x: (-x[1], x[0])):
            if not count or (bytes_left := bytes_left - len(name) - 4) < 0:
                break
            counts[name] = count
        warming = [name for name, row in table.items() if row["state"] == work.State.WARMING.value]
        return PlacementReport(
            work.rev(state), counts, self.wall(), *self.turned(now), self.ill(warming), self.left
        )

    def _propose_ranks(self, now):
        """As the leader, proposes who shares the slow start of cold streamers, when that has changed."""
        self.next_rank_at = now + SECOND
        self.ranks.look(now, self.committed_log.state)
        if self.voter and self.voter.role is Role.LEADER:
            alive = {self.me, *self.membership.alive_names()}
            if proposal := self.ranks.next(now, self.committed_log.state, self.known, alive):
                self.voter.propose(now, *proposal)

    def _report_load(self, now):
        """Reports the recent load; at the controller that decides, also steps the load shedding level."""
        alive = self.membership.alive_names()
        if self.shed and self.loads.decides(now, alive):
            if (
                self.loads.level[1] != self.me
            ):  # continues from the level of the controller that decided before
                self.shed.value = self.loads.in_force(now)
                self.shed.caps.parts = self.loads.caps_in_force(now)
            level = self.shed.step(now, self.loads.total(now)[0], self.loads.rides(now).request_counts)
            self.loads.decided(now, level, self.shed.caps.parts)
        self.loads.tick(now, alive)

    def _leads_with_quorum(self, now):
        """Whether this is the leader and a majority has answered a request sent less than ELECTION_TIMEOUT
        ago."""
        voter = self.voter
        return (
            voter is not None
            and voter.role is Role.LEADER
            and now - voter.quorum_contact_at() < ELECTION_TIMEOUT
        )

    def turn(self, now):
        """Returns this controller's share of the slow start of cold streamers; see `Ranks.turn`."""
        return self.ranks.turn(now, self.committed_log.state, self.me, self.committed_log.age(now))

    def seen(self):
        """Returns what the leader goes by in planned work, beside the record."""
        return work.Seen(self.all_machines(), frozenset(self.known), self.holds, self.wall())

    def all_machines(self):
        """Returns name -> Machine: streamers from the host's list, and controllers from the membership."""
        out, state, alive = (
            dict(self.machines()),
            self.committed_log.state,
            set(self.membership.alive_names()),
        )
        for name in self.known:
            is_voter = name in self.voters
            is_alive = name == self.me and not self.membership.leaving or name in alive
            run = self.membership.run if name == self.me else self.membership.members[name].run
            ready = is_alive and (not is_voter or name in state["voters"])
            machine = Machine(CONTROLLER + name, -1, "", 0.0, ready, run, voter=is_voter)
            out[machine.name] = machine
        return out

    def _track_epoch(self):
        """Keeps machines excluded that were out for work in the previous epoch, until an operator decides."""
        state = self.committed_log.state
        if self.committed_log.epoch != self.last_epoch:
            if self.last_epoch[0]:
                self.left |= work.under_way({"map": self.last_map})
            self.last_epoch, self.holds, self.work = self.committed_log.epoch, {}, work.Work()
        self.last_map = state["map"]
        if self.left:
            self.left = {n: row for n, row in self.left.items() if f"work/m/{n}" not in self.last_map}

    def _has_work(self):
        return bool(self.left) or work.REV in self.committed_log.state["map"]

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
        if leader not in (None, self.me):
            return leader
        others = [v for v in self.voters if v != self.me]
        candidates = [v for v in others if v in self.membership.alive_names()] or others
        # A suspect may be cut off, so that what is sent to it is lost.
        unsuspected = [v for v in candidates if self.membership.members[v].standing is Standing.ALIVE]
        candidates = unsuspected or candidates
        return candidates[(now // MS + rotation) % len(candidates)] if candidates else None

    def leader(self):
        """Returns the leader's name; None: there is none, or this controller is no voter and cannot tell."""
        return self.voter.leader if self.voter else None

    def cut_off(self, now):
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
        """Moves what all parts have to send and to store into `out`, `held` and `writes`.

        Messages of the voter wait until the records that it wrote before them are durable.
        """
        voter, committed_log = self.voter, self.committed_log
        self._track_epoch()
        if voter:
            voter.adopt_newer_epoch(now)
            self.leases.led(now, voter.role is Role.LEADER and (committed_log.epoch, voter.persistent.term))
            if voter.role is Role.LEADER and work.rev(committed_log.state) != self.led_work_rev:
                self.work_at = now  # a step was committed: the next one need not wait for the interval
            self.writes += voter.writes
            voter.writes, self.wrote = [], voter.wrote
            pending, voter.out = voter.out, []
            self._enqueue(now, pending, voter.wrote if self.writes or self.held else 0)
        for part in (committed_log, self.membership, self.warm, self.copies, self.loads, self.leases):
            pending, part.out = part.out, []
            self._enqueue(now, pending)

    def _enqueue(self, now, pending, after=0):
        """Encodes (recipient, message) pairs for `out`, or for `held` until `after` records are durable."""
        committed_log = self.committed_log
        age = committed_log.age(now)
        for to, message in pending:
            data = messages.encode(
                self.fleet,
                self.me,
                to,
                message,
                committed_log.epoch[0],
                committed_log.last_index,
                -1 if age is None else age // MS,
            )
            if after:
                self.held.append((after, to, data))
            else:
                self.out.append((to, data))

    # For operators.

    def report(self, now):
        """Returns the state of the record at this controller, for operators."""
        committed_log, voter = self.committed_log, self.voter
        age = committed_log.age(now)
        out = {
            "name": self.me,
            "epoch": list(committed_log.epoch),
            "agreed": committed_log.last_index,
            "age_s": None if age is None else round(age / SECOND, 3),
            "cut_off_s": round(self.cut_off(now) / SECOND, 1),
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
                    if n != self.me
                }
        return out


# With a copy of the record older than this a controller counts as cut off: in a large fleet it takes a few
# pings until the leader's heartbeats have spread through the members.
CUT_OFF_AFTER = 5 * SECOND
