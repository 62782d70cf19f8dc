"""Membership of the fleet: SWIM with suspicion (Das, Gupta, Motivala 2002) and the local health of Lifeguard
(Dadgar, Phillips, Currey 2017).

`Controller` passes in messages and the time, and sends what is in `outbox`, as (recipient, message). There is
no I/O here; all times and durations are in ns.

In each protocol period one member is pinged, in a shuffled round-robin order. If it does not answer, helpers
are asked to ping it; then it is suspected, and declared dead only if it does not refute the suspicion in
time. The cost per member does not depend on the size of the fleet: one ping with its answers per period, and
now and then an exchange of the full state. That exchange includes dead members, so that the two halves of a
healed partition find each other again.
"""

import math
import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from terndrift.fleet.messages import Ack, FullState, IndirectPing, MemberUpdate, Nack, Ping

MS = 1_000_000
SECOND = 1000 * MS
PROTOCOL_PERIOD = SECOND  # between pings; the protocol period of SWIM
# Wait for a direct ack before indirect probes are sent; many times a round trip.
DIRECT_ACK_TIMEOUT = PROTOCOL_PERIOD // 4
INDIRECT_PROBES = 3  # helpers asked to ping a member that does not answer; k of SWIM
# Bytes of gossip in one message, counting for each update its name and the overhead: together with the rest
# of the message it fits a datagram.
MAX_GOSSIP_BYTES, UPDATE_OVERHEAD_BYTES = 1000, 18
# Members pinged after one full state exchange because they are alive to the other side and not to this one.
MAX_DISPUTED_PINGS = 20
# An update is sent RETRANSMIT_MULTIPLIER * log10(members + 2) times, rounded up (lambda log n of SWIM). With
# 4 one member in 20,000 misses an update: of the 90,000 pairs of 300 members that a partition made suspect
# each other, four did, and met again only minutes later.
RETRANSMIT_MULTIPLIER = 6
# A suspicion lasts at least SUSPICION_MULTIPLIER * log10(members) periods, and MAX_SUSPICION_MULTIPLIER times
# that while a single member reports it (alpha and beta of Lifeguard, whose defaults are 5 and 6). It is down
# to the minimum after this many confirmations by others.
SUSPICION_MULTIPLIER, MAX_SUSPICION_MULTIPLIER, EXPECTED_CONFIRMATIONS = 5, 6, 3
# Pings that tell a suspect of the suspicion before it is declared dead, half a period apart: with three in
# ten datagrams lost each way, 93% of the suspects receive one and are heard.
SUSPECT_WARNINGS = 4
MAX_HEALTH_SCORE = 8  # S of Lifeguard: probe timeouts stretch by 1 + the score
# Interval between full state exchanges of one member, for each member that it knows. That makes their cost
# per member the same in any fleet (some 75 bytes a second), with two or three exchanges a second in the whole
# fleet, which is how soon the halves of a healed partition meet again.
EXCHANGE_INTERVAL_PER_MEMBER = SECOND * 2 // 5
MIN_EXCHANGE_INTERVAL = 20 * SECOND
INITIAL_EXCHANGES = 6  # exchanges after the start that are a second apart
# A wake-up this late means that this process itself was paused, not that the others were silent.
PAUSE_THRESHOLD = PROTOCOL_PERIOD


class Standing(IntEnum):
    """State of a member; within a run and an incarnation a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


TRANSITIONS = {  # within a run; a new run may start with any of them
    Standing.ALIVE: (Standing.SUSPECT, Standing.DEAD, Standing.LEFT),
    Standing.SUSPECT: (Standing.ALIVE, Standing.DEAD, Standing.LEFT),
    Standing.DEAD: (Standing.ALIVE, Standing.SUSPECT, Standing.LEFT),  # with a later incarnation
    Standing.LEFT: (),
}


def shuffled_by_salt(names, salt):
    """Returns the names in a pseudo-random order that depends on the salt.

    With a salt of its own each requester asks in another order, so that many members that start together
    spread their requests evenly.
    """
    return sorted(names, key=lambda n: zlib.crc32(f"{salt}{n}".encode()) * 2654435761 % 2**32)


@dataclass
class Member:
    """What this controller knows of another member."""

    name: str
    run: int = 0  # 0: never heard of
    incarnation: int = 0
    standing: Standing = Standing.DEAD
    standing_since: int = 0  # time of the last change of its standing
    suspected_by: set = field(default_factory=set)  # members that reported the suspicion
    transmissions: int = 0  # how often its current update was gossiped
    warnings_sent: int = 0  # of SUSPECT_WARNINGS, during the present suspicion
    next_warning_at: int = 0

    def update(self):
        """Returns its state in the form in which it is gossiped."""
        return MemberUpdate(self.name, self.run, self.incarnation, int(self.standing))


@dataclass
class Probe:
    """The probe of the current protocol period."""

    target: str
    seq: int
    started_at: int
    indirect_at: int  # when helpers are asked
    deadline: int
    indirect_sent: bool = False
    retry_at: int = 0  # of the last direct ping; 0: none is due
    helper_count: int = 0
    nacks: int = 0


class Membership:
    """The membership as one member sees it.

    `names` are all members of the configuration, `own_name` included. `run` identifies this start of the
    process by its time in ms since 1970. `receive`, `tick` and `leave` add to `outbox`; `tick` has to be
    called at `next_tick_at()`.
    """

    def __init__(self, own_name, names, run, now, seed=0):
        self.own_name, self.run, self.incarnation, self.now = own_name, run, 0, now
        self.seed, self.draw_count = zlib.crc32(f"{seed}:{own_name}".encode()), 0
        self.members = {name: Member(name, standing_since=now) for name in names if name != own_name}
        # outbox: (recipient, message); standing_changes: (time, name, standing before, after), consumed by
        # the host's log
        self.outbox, self.standing_changes = [], []
        # forwards: own seq -> (requester, its seq, deadline, target) of pings sent for an IndirectPing
        self.seq, self.probe, self.forwards = 0, None, {}
        self.probe_order, self.health_score, self.own_transmissions, self.leaving = [], 0, 0, False
        self.initial_exchanges_left = INITIAL_EXCHANGES
        self.false_deaths = 0  # how often others declared this running member dead
        # jitter, so that members that start together do not send in step
        self.next_ping_at = now + int(PROTOCOL_PERIOD * self._random())
        self.next_exchange_at = now + int(SECOND * self._random())
        self.wake_at = min(self.next_ping_at, self.next_exchange_at)

    # Queries.

    def alive_names(self):
        """Names of the other members that are alive, suspects included: a suspect counts until it is dead."""
        return [n for n, m in self.members.items() if m.run and m.standing <= Standing.SUSPECT]

    def describe_members(self, now):
        """Returns the state of all members for operators, by name; `for_s` is seconds in that standing."""
        rows = {
            self.own_name: {
                "standing": "left" if self.leaving else "alive",
                "run": self.run,
                "incarnation": self.incarnation,
                "for_s": None,
            }
        }
        for name, member in self.members.items():
            standing = member.standing.name.lower() if member.run else "unheard"
            rows[name] = {
                "standing": standing,
                "run": member.run,
                "incarnation": member.incarnation,
                "for_s": round((now - member.standing_since) / SECOND, 1),
            }
        return rows

    def next_tick_at(self):
        """When `tick` has to be called next."""
        return self.wake_at

    def request_sent_at(self, message):
        """When the current probe was started, if the message acknowledges it; otherwise None."""
        probe = self.probe
        return probe.started_at if isinstance(message, Ack) and probe and probe.seq == message.seq else None

    # Events.

    def receive(self, now, sender, message):
        """Handles a membership message; `sender` is a member of the configuration."""
        self._advance_clock(now)
        match message:
            case Ping(seq, updates):
                self._apply_updates(now, sender, updates)
                self.outbox.append((sender, Ack(seq, self._select_updates(sender))))
            case Ack(seq, updates):
                self._apply_updates(now, sender, updates)
                self._ack_received(now, sender, seq)
            case IndirectPing(seq, target, updates):
                self._apply_updates(now, sender, updates)
                if target in self.members:
                    self.seq += 1
                    self.forwards[self.seq] = sender, seq, now + DIRECT_ACK_TIMEOUT * 3 // 4, target
                    self.outbox.append((target, Ping(self.seq, self._select_updates(target))))
            case Nack(seq):
                if self.probe and seq == self.probe.seq:
                    self.probe.nacks += 1
            case FullState(updates, is_response):
                self._apply_updates(now, sender, updates)
                self._ping_disputed(updates)
                if not is_response:
                    self.outbox.append((sender, self.full_state(True)))
        self._schedule()

    def full_state(self, is_response=False):
        """Returns a `FullState` with this member and all that it has heard of."""
        return FullState(
            [self._own_update()] + [m.update() for m in self.members.values() if m.run], is_response
        )

    def _own_update(self):
        standing = Standing.LEFT if self.leaving else Standing.ALIVE
        return MemberUpdate(self.own_name, self.run, self.incarnation, int(standing))

    def leave(self, now):
        """Announces a planned stop to a few members, which gossip it, so that nobody has to detect it."""
        self.leaving, self.own_transmissions = True, 0
        for name in self._sample(
            max(INDIRECT_PROBES, int(2 * math.log2(len(self.members) + 1))), self.alive_names()
        ):
            self.seq += 1
            self.outbox.append((name, Ping(self.seq, self._select_updates(name))))

    def tick(self, now):
        """Runs all timers that are due: probes, suspicions, full state exchanges."""
        self._advance_clock(now)
        for seq, (requester, request_seq, deadline, _) in list(self.forwards.items()):
            if now >= deadline:
                del self.forwards[seq]
                self.outbox.append((requester, Nack(request_seq)))
        if self.probe:
            self._advance_probe(now)
        if now >= self.next_ping_at and not self.leaving:
            self._start_probe(now)
        for member in self.members.values():
            if member.standing is Standing.SUSPECT:
                self._advance_suspicion(now, member)
        if now >= self.next_exchange_at:
            alone = not self.alive_names()
            self.initial_exchanges_left -= not alone and self.initial_exchanges_left > 0
            interval = (
                SECOND
                if alone or self.initial_exchanges_left
                else max(MIN_EXCHANGE_INTERVAL, EXCHANGE_INTERVAL_PER_MEMBER * len(self.members))
            )
            self.next_exchange_at = now + int(interval * (0.75 + 0.5 * self._random()))
            # Members that are dead, have left or were never heard of take part too: they may be on the other
            # side of a partition that has healed, or be back.
            recipients = self._sample(INDIRECT_PROBES if alone else 1, self.members)
            self.outbox += [(name, self.full_state()) for name in recipients]
        self._schedule()

    # Clock, randomness and timers.

    def _advance_clock(self, now):
        """Sets the time, and handles a pause of this process.

        After a pause the others are not blamed for messages that they could not deliver: suspicions are
        extended by the pause, the current probe is dropped, and a full state exchange lets this member refute
        first what was said of it meanwhile.
        """
        late_by = now - max(self.now, self.wake_at)
        if late_by > PAUSE_THRESHOLD:
            self.health_score = MAX_HEALTH_SCORE
            self.probe = None
            self.forwards.clear()
            for member in self.members.values():
                if member.standing is Standing.SUSPECT:
                    member.standing_since += late_by
            self.next_ping_at = now + int(PROTOCOL_PERIOD * self._random())
            self.next_exchange_at = now
        self.now = now

    def _random(self):
        """Returns the next pseudo-random number of [0, 1), reproducible from the seed and the name."""
        self.draw_count += 1
        return zlib.crc32(b"%d" % self.draw_count, self.seed) * 2654435761 % 2**32 / 2**32

    def _sample(self, count, names):
        pool, sample = sorted(names), []
        while pool and len(sample) < count:
            sample.append(pool.pop(int(self._random() * len(pool))))
        return sample

    def _schedule(self):
        times = [self.next_ping_at, self.next_exchange_at] + [f[2] for f in self.forwards.values()]
        if self.probe:
            probe = self.probe
            times.append(probe.indirect_at if not probe.indirect_sent else probe.retry_at or probe.deadline)
        times += [self._suspicion_due_at(m) for m in self.members.values() if m.standing is Standing.SUSPECT]
        self.wake_at = min(times)

    # Probing.

    def _start_probe(self, now):
        self.next_ping_at = now + PROTOCOL_PERIOD * (1 + self.health_score)
        while True:
            if not self.probe_order:
                self.probe_order = self._sample(len(self.members), self.alive_names())
                if not self.probe_order:
                    return
            target = self.probe_order.pop()
            if self.members[target].standing <= Standing.SUSPECT:
                break
        self.seq += 1
        self.probe = Probe(
            target, self.seq, now, now + DIRECT_ACK_TIMEOUT * (1 + self.health_score), self.next_ping_at
        )
        self.outbox.append((target, Ping(self.seq, self._select_updates(target))))

    def _advance_probe(self, now):
        probe = self.probe
        if now >= probe.indirect_at and not probe.indirect_sent:
            probe.indirect_sent, probe.retry_at = True, (now + probe.deadline) // 2
            helpers = self._sample(INDIRECT_PROBES, [n for n in self.alive_names() if n != probe.target])
            probe.helper_count = len(helpers)
            for name in helpers:
                self.outbox.append((name, IndirectPing(probe.seq, probe.target, self._select_updates(name))))
            # The direct ping is repeated: where one datagram in three is lost, loss is the usual reason for
            # the missing ack.
            self.outbox.append((probe.target, Ping(probe.seq, self._select_updates(probe.target))))
        elif probe.retry_at and now >= probe.retry_at:
            probe.retry_at = 0
            self.outbox.append((probe.target, Ping(probe.seq, self._select_updates(probe.target))))
        if now >= probe.deadline:
            self.probe = None
            # Helpers that send not even a nack point to a fault of this member's own link or event loop.
            self.health_score = min(
                MAX_HEALTH_SCORE,
                self.health_score
                + max(0, probe.helper_count - probe.nacks)
                + (0 if probe.helper_count else 1),
            )
            member = self.members[probe.target]
            if member.standing is Standing.ALIVE:
                member.suspected_by = {self.own_name}
                self._transition(now, member, Standing.SUSPECT)
            elif member.standing is Standing.SUSPECT:
                member.suspected_by.add(self.own_name)

    def _advance_suspicion(self, now, member):
        """Warns a suspect that its suspicion is about to expire, and declares it dead after the last warning.

        Without the warnings running members are declared dead after a partition that has healed already: it
        has worsened the local health of all, so that they ping rarely and a suspect does not hear of the
        suspicion in time. The cost is a few datagrams for each death.
        """
        if now < self._suspicion_due_at(member):
            return
        if member.warnings_sent >= SUSPECT_WARNINGS:
            self._transition(now, member, Standing.DEAD)
            return
        member.warnings_sent, member.next_warning_at = member.warnings_sent + 1, now + PROTOCOL_PERIOD // 2
        self.seq += 1
        self.outbox.append((member.name, Ping(self.seq, self._select_updates(member.name))))

    def _suspicion_due_at(self, member):
        """When a suspect is to be warned next or, after all warnings, declared dead.

        All warnings are sent even if confirmations by others have cut the timeout short meanwhile.
        """
        return (
            member.next_warning_at
            if member.warnings_sent
            else member.standing_since
            + self._suspicion_timeout(member)
            - SUSPECT_WARNINGS * PROTOCOL_PERIOD // 2
        )

    def _ack_received(self, now, sender, seq):
        if seq in self.forwards:
            requester, request_seq, _, target = self.forwards.pop(seq)
            if target == sender:
                self.outbox.append((requester, Ack(request_seq, [self.members[target].update()])))
            return
        probe = self.probe
        if probe and probe.seq == seq:
            self.probe = None
            # Halved: in steps of one this member would ping rarely for most of a minute after a partition.
            self.health_score //= 2

    def _suspicion_timeout(self, member):
        """Returns how long a suspicion lasts: long while one member reports it, short once several do."""
        count = max(10, len(self.members) + 1)
        shortest = SUSPICION_MULTIPLIER * math.log10(count) * PROTOCOL_PERIOD
        confirmed = min(1.0, math.log(len(member.suspected_by) or 1) / math.log(EXPECTED_CONFIRMATIONS + 1))
        return int(
            max(
                shortest,
                MAX_SUSPICION_MULTIPLIER * shortest - (MAX_SUSPICION_MULTIPLIER - 1) * shortest * confirmed,
            )
        ) * (1 + self.health_score // 2)

    # Gossip.

    def _select_updates(self, to):
        """Returns the updates to piggyback on a message, within MAX_GOSSIP_BYTES.

        What is said of the recipient itself comes first, unless it is alive; then the updates that were sent
        least often.
        """
        max_transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log10(len(self.members) + 2))
        updates, recipient = [], self.members.get(to)
        if recipient and recipient.run and recipient.standing is not Standing.ALIVE:
            updates.append(recipient.update())
        if self.own_transmissions < max_transmissions:
            self.own_transmissions += 1
            updates.append(self._own_update())
        pending = [
            m
            for m in self.members.values()
            if m.run and m.transmissions < max_transmissions and m is not recipient
        ]
        bytes_left = MAX_GOSSIP_BYTES - sum(len(u.name) + UPDATE_OVERHEAD_BYTES for u in updates)
        for m in sorted(pending, key=lambda m: (m.transmissions, m.name)):
            if (bytes_left := bytes_left - len(m.name) - UPDATE_OVERHEAD_BYTES) < 0:
                break
            m.transmissions += 1
            updates.append(m.update())
        return updates

    def _apply_updates(self, now, sender, updates):
        member = self.members.get(sender)
        for update in updates:
            if update.name == self.own_name:
                self._refute(update)
                if update.standing != Standing.ALIVE and not self.leaving:
                    # Answered at once: a member that missed the refutation might hear of it only much later.
                    self.seq += 1
                    self.outbox.append((sender, Ping(self.seq, [self._own_update()])))
            elif (
                update.name in self.members
                and 0 <= update.standing <= 3
                and update.run > 0
                and update.incarnation >= 0
            ):
                self._apply_update(now, sender, update)
        if member and not member.run:
            # The sender is unknown so far and has not announced itself in this message: its response will.
            self.outbox.append((sender, self.full_state()))

    def _ping_disputed(self, updates):
        """Pings members that are alive to the other side of an exchange but suspect or dead to this one.

        After a partition each member has to refute by itself what the other half says of it, and learns of it
        from this ping.
        """
        failed = Standing.SUSPECT, Standing.DEAD
        failed_members = {m.name: m for m in self.members.values() if m.standing in failed}
        disputed = [
            u.name
            for u in updates
            if u.standing == Standing.ALIVE
            and (m := failed_members.get(u.name))
            and (u.run, u.incarnation) == (m.run, m.incarnation)
        ]
        for name in self._sample(MAX_DISPUTED_PINGS, disputed):
            self.seq += 1
            self.outbox.append((name, Ping(self.seq, self._select_updates(name))))

    def _refute(self, update):
        """Handles an update on this member itself, and refutes it if it does not say alive."""
        if update.run > self.run:  # an earlier run of this name, started while its clock was ahead
            self.run, self.incarnation, self.own_transmissions = update.run + 1, 0, 0
        elif (
            update.run == self.run
            and update.standing != Standing.ALIVE
            and not self.leaving
            and update.incarnation >= self.incarnation
        ):
            self.incarnation, self.own_transmissions = update.incarnation + 1, 0
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
            self.false_deaths += update.standing == Standing.DEAD

    def _apply_update(self, now, sender, update):
        """Applies an update on another member if it is newer, and counts confirmations of a suspicion."""
        member, standing = self.members[update.name], Standing(update.standing)
        if update.run < member.run or member.standing is Standing.LEFT and update.run == member.run:
            return
        if update.run > member.run:
            before, member.run, member.incarnation = member.standing, update.run, update.incarnation
            member.suspected_by = {sender} if standing is Standing.SUSPECT else set()
            self._set_standing(now, member, before, standing)
        elif (update.incarnation, standing) > (member.incarnation, member.standing):
            member.incarnation = update.incarnation
            if standing is Standing.SUSPECT and member.standing is not Standing.SUSPECT:
                member.suspected_by = {sender}
            if standing is not member.standing:
                self._transition(now, member, standing)
            member.transmissions = 0
        elif (
            standing is Standing.SUSPECT is member.standing
            and update.incarnation == member.incarnation
            and sender not in member.suspected_by
            and len(member.suspected_by) <= EXPECTED_CONFIRMATIONS
        ):
            member.suspected_by.add(sender)
            member.transmissions = 0

    def _transition(self, now, member, standing):
        """Changes the standing of a member within a run; all such changes go through here."""
        assert standing in TRANSITIONS[member.standing], (
            f"{member.name}: invalid transition from {member.standing.name} to {standing.name}"
        )
        self._set_standing(now, member, member.standing, standing)

    def _set_standing(self, now, member, before, standing):
        member.standing, member.standing_since, member.transmissions, member.warnings_sent = (
            standing,
            now,
            0,
            0,
        )
        self.standing_changes.append((now, member.name, before, standing))
