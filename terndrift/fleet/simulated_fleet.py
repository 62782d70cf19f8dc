"""A fleet in virtual time, without sockets: runs `member.Controller`s over a simulated network and disks.

For tests, and for the figures by fleet size in `docs/fleet.md`; never part of a running service. The same
seed gives the same run, to the last message. Datagrams can be lost, duplicated and delayed, the network
partitioned, and members killed, paused and resumed; disks can be wiped, copied and restored from the copy.
"""

import heapq
import itertools
import random
from functools import partial

from terndrift.fleet.member import Controller
from terndrift.fleet.messages import MAX_DATAGRAM_BYTES, decode
from terndrift.fleet.raft import PersistentState

# Times are in ns.
MS = 1_000_000
SECOND = 1000 * MS


def _random_id(rng):
    return f"{rng.randrange(16**8):08x}"


class Disk:
    """Durable records of one controller, and copies of them made earlier."""

    def __init__(self):
        self.records, self.copies = [], []


class SimulatedFleet:
    """The simulated fleet; it owns the clock, the controllers (`controllers`, by name) and their disks.

    `loss`, `duplication` and `delay_probability` are the probabilities that a datagram is lost, duplicated,
    and delayed by up to 300 ms more; `sync` is the duration of a disk write. Durations and times are in ns,
    unless a method says seconds. `committed` collects the committed entries of all controllers, and
    `violations` describes those that differ between two of them.
    """

    def __init__(
        self, names, voters=(), seed=1, loss=0.0, duplication=0.0, delay_probability=0.0, sync=3 * MS
    ):
        self.names, self.voters, self.seed = list(names), list(voters), seed
        self.loss, self.duplication, self.delay_probability, self.sync = (
            loss,
            duplication,
            delay_probability,
            sync,
        )
        self.rng, self.now = random.Random(seed), 1000 * SECOND
        self.events, self.event_numbers = [], itertools.count()  # heap of (time, number, call)
        # paused: name -> calls that wait until it resumes
        self.controllers, self.disks, self.paused = {}, {name: Disk() for name in self.names}, {}
        self.drops_message = lambda a, b: False  # whether messages from a to b are dropped
        self.sent = {name: [0, 0] for name in self.names}  # messages, bytes
        self.committed, self.violations = {}, []  # (epoch, index) -> entry; descriptions of mismatches
        self.tick_at = {}  # name -> time of its next tick
        self.changes = []  # (time, observer, member, standing before, after)

    # Control.

    def start(self, *names):
        """Starts these controllers, or all, with what is on their disks."""
        for name in names or self.names:
            durable = PersistentState()
            for record in self.disks[name].records:
                durable.replay(record)
            voter_state = durable if name in self.voters else None
            new_id = partial(_random_id, random.Random(f"{self.seed}/{name}/{self.now}"))
            self.controllers[name] = Controller(
                "arena",
                name,
                self.names,
                self.voters,
                voter_state,
                self.now // MS,
                self.now,
                new_id,
                self.seed,
            )
            self.tick_at.pop(name, None)
            self._process_output(name)

    def kill(self, *names):
        """Ends these controllers; writes that are not yet durable are lost."""
        for name in names:
            self.controllers.pop(name, None)
            self.paused.pop(name, None)

    def pause(self, *names):
        """Pauses these controllers; what arrives for them meanwhile waits."""
        for name in names:
            self.paused[name] = []

    def resume(self, *names):
        """Resumes these controllers.

        They handle what arrived meanwhile before any timer, as sockets buffer it for a paused process.
        """
        for name in names:
            for call in self.paused.pop(name, ()):
                call()
            self.tick_at.pop(name, None)
            self._process_output(name)

    def wipe_disk(self, name):
        """Empties the disk of a controller; its copies stay."""
        self.disks[name].records = []

    def copy_disk(self, name):
        """Saves a copy of the disk of a controller."""
        self.disks[name].copies.append(list(self.disks[name].records))

    def restore_disk(self, name):
        """Restores the disk of a controller from its last copy."""
        self.disks[name].records = list(self.disks[name].copies[-1])

    def call_controller(self, name, method, *args):
        """Calls a method of a running controller by name, with the time and `args`; returns its result."""
        result = getattr(self.controllers[name], method)(self.now, *args)
        self._process_output(name)
        return result

    def run(self, seconds):
        """Lets that many seconds of virtual time pass."""
        deadline = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= deadline:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = deadline

    def run_until(self, condition, within):
        """Runs until `condition()` holds, checked every 50 ms.

        Returns the seconds that this took, or None if it didn't hold within that many seconds.
        """
        started_at = self.now
        while self.now - started_at <= within * SECOND:
            if condition():
                return (self.now - started_at) / SECOND
            self.run(0.05)
        return None

    # Queries.

    def leaders(self):
        """Names of the controllers that are leader in their own view, without those that are paused."""
        leading = [
            name
            for name, controller in self.controllers.items()
            if controller.voter and controller.voter.role.value == "leader"
        ]
        return [name for name in leading if name not in self.paused]

    def observers(self, member, standing="alive"):
        """Names of the controllers in whose view `member` has that standing."""
        others = {
            name: controller.membership for name, controller in self.controllers.items() if name != member
        }
        return [
            name
            for name, membership in others.items()
            if membership.describe_members(self.now)[member]["standing"] == standing
        ]

    def membership_converged(self):
        """Whether each running controller sees all the others, and nobody else, as alive."""
        running = set(self.controllers)
        return all(
            set(controller.membership.alive_names()) == running - {name}
            for name, controller in self.controllers.items()
        )

    # Simulated network, timers and disks.

    def schedule(self, when, call):
        """Schedules `call()` for the time `when`."""
        heapq.heappush(self.events, (when, next(self.event_numbers), call))

    def _process_output(self, name):
        """Runs after each event of a controller: sends, writes, and schedules its next tick."""
        controller = self.controllers[name]
        outgoing, controller.outbox = controller.outbox, []
        for to, packet in outgoing:
            self._send(name, to, packet)
        if controller.pending_writes:
            self._write(name, controller)
        self._record_changes(name, controller)
        tick_time = max(self.now, controller.next_tick_at())
        if name not in self.tick_at or tick_time < self.tick_at[name] or self.tick_at[name] < self.now:
            self.tick_at[name] = tick_time
            self.schedule(tick_time, lambda: self._tick(name, controller, tick_time))

    def _tick(self, name, controller, tick_time):
        if self.controllers.get(name) is not controller or self.tick_at.get(name) != tick_time:
            return
        if name in self.paused:
            return
        self.tick_at.pop(name)
        controller.tick(self.now)
        self._process_output(name)

    def _write(self, name, controller):
        batch, controller.pending_writes = controller.pending_writes, []
        record_count = controller.write_count

        def finish():
            if self.controllers.get(name) is not controller:
                return
            if name in self.paused:
                self.paused[name].append(finish)
                return
            self.disks[name].records += batch
            controller.on_durable(self.now, record_count)
            self._process_output(name)

        self.schedule(self.now + self.sync, finish)

    def _send(self, name, to, packet):
        self.sent[name][0] += 1
        self.sent[name][1] += len(packet)
        if to not in self.controllers or self.drops_message(name, to):
            return
        over_http = len(packet) > MAX_DATAGRAM_BYTES  # lost in a partition only, and never duplicated
        if not over_http and self.rng.random() < self.loss:
            return
        copies = 2 if not over_http and self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay = MS // 2 + int(self.rng.expovariate(1 / MS))
            delay += int(self.rng.uniform(0, 300) * MS) if self.rng.random() < self.delay_probability else 0
            self.schedule(self.now + delay, lambda: self._deliver(to, packet))

    def _deliver(self, to, packet):
        if to in self.paused:
            self.paused[to].append(lambda: self._deliver(to, packet))
            return
        controller = self.controllers.get(to)
        if controller is not None:
            sealed = decode(packet, "arena", to, controller.configured_names)
            assert not isinstance(sealed, str), sealed
            controller.receive(self.now, sealed)
            self._process_output(to)

    def _record_changes(self, name, controller):
        """Collects membership changes and committed entries; notes an entry that differs from another's."""
        for when, member, before, after in controller.membership.standing_changes:
            self.changes.append((when, name, member, before, after))
        controller.membership.standing_changes.clear()
        for index, entry in controller.committed_log.newly_committed:
            first = self.committed.setdefault((controller.committed_log.epoch, index), entry)
            if first != entry:
                self.violations.append(f"entry {index}: {first} and, at {name}, {entry}")
        controller.committed_log.newly_committed.clear()
