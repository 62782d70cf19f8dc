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


class Arena:
    """The simulated fleet; it owns the clock, the controllers (`up`, by name) and their disks.

    `loss`, `double` and `late` are the probabilities that a datagram is lost, duplicated, and delayed by up
    to 300 ms more; `sync` is the duration of a disk write. Durations and times are in ns, unless a method
    says seconds. `agreed` collects the committed entries of all controllers, and `wrong` describes those
    that differ between two of them.
    """

    def __init__(self, names, voters=(), seed=1, loss=0.0, double=0.0, late=0.0, sync=3 * MS):
        self.names, self.voters, self.seed = list(names), list(voters), seed
        self.loss, self.double, self.late, self.sync = loss, double, late, sync
        self.rng, self.now = random.Random(seed), 1000 * SECOND
        self.events, self.event_numbers = [], itertools.count()  # heap of (time, number, call)
        # stopped: name -> calls that wait until it resumes
        self.up, self.disks, self.stopped = {}, {name: Disk() for name in self.names}, {}
        self.cut = lambda a, b: False  # whether messages from a to b are dropped
        self.sent = {name: [0, 0] for name in self.names}  # messages, bytes
        self.agreed, self.wrong = {}, []  # (epoch, index) -> entry; descriptions of mismatches
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
            self.up[name] = Controller(
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
            self._after(name)

    def kill(self, *names):
        """Ends these controllers; writes that are not yet durable are lost."""
        for name in names:
            self.up.pop(name, None)
            self.stopped.pop(name, None)

    def stop(self, *names):
        """Pauses these controllers; what arrives for them meanwhile waits."""
        for name in names:
            self.stopped[name] = []

    def go_on(self, *names):
        """Resumes these controllers.

        They handle what arrived meanwhile before any timer, as sockets buffer it for a paused process.
        """
        for name in names:
            for call in self.stopped.pop(name, ()):
                call()
            self.tick_at.pop(name, None)
            self._after(name)

    def wipe(self, name):
        """Empties the disk of a controller; its copies stay."""
        self.disks[name].records = []

    def copy(self, name):
        """Saves a copy of the disk of a controller."""
        self.disks[name].copies.append(list(self.disks[name].records))

    def rewind(self, name):
        """Restores the disk of a controller from its last copy."""
        self.disks[name].records = list(self.disks[name].copies[-1])

    def call(self, name, method, *args):
        """Calls a method of a running controller by name, with the time and `args`; returns its result."""
        result = getattr(self.up[name], method)(self.now, *args)
        self._after(name)
        return result

    def run(self, seconds):
        """Lets that many seconds of virtual time pass."""
        deadline = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= deadline:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = deadline

    def until(self, condition, within):
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
            for name, controller in self.up.items()
            if controller.voter and controller.voter.role.value == "leader"
        ]
        return [name for name in leading if name not in self.stopped]

    def seen(self, member, standing="alive"):
        """Names of the controllers in whose view `member` has that standing."""
        others = {name: controller.membership for name, controller in self.up.items() if name != member}
        return [
            name
            for name, membership in others.items()
            if membership.describe_members(self.now)[member]["standing"] == standing
        ]

    def settled(self):
        """Whether each running controller sees all the others, and nobody else, as alive."""
        running = set(self.up)
        return all(
            set(controller.membership.alive_names()) == running - {name}
            for name, controller in self.up.items()
        )

    # Simulated network, timers and disks.

    def at(self, when, call):
        """Schedules `call()` for the time `when`."""
        heapq.heappush(self.events, (when, next(self.event_numbers), call))

    def _after(self, name):
        """Runs after each event of a controller: sends, writes, and schedules its next tick."""
        controller = self.up[name]
        outgoing, controller.out = controller.out, []
        for to, packet in outgoing:
            self._send(name, to, packet)
        if controller.writes:
            self._write(name, controller)
        self._record_changes(name, controller)
        tick_time = max(self.now, controller.next_at())
        if name not in self.tick_at or tick_time < self.tick_at[name] or self.tick_at[name] < self.now:
            self.tick_at[name] = tick_time
            self.at(tick_time, lambda: self._tick(name, controller, tick_time))

    def _tick(self, name, controller, tick_time):
        if self.up.get(name) is not controller or self.tick_at.get(name) != tick_time:
            return
        if name in self.stopped:
            return
        self.tick_at.pop(name)
        controller.tick(self.now)
        self._after(name)

    def _write(self, name, controller):
        batch, controller.writes = controller.writes, []
        record_count = controller.wrote

        def finish():
            if self.up.get(name) is not controller:
                return
            if name in self.stopped:
                self.stopped[name].append(finish)
                return
            self.disks[name].records += batch
            controller.kept(self.now, record_count)
            self._after(name)

        self.at(self.now + self.sync, finish)

    def _send(self, name, to, packet):
        self.sent[name][0] += 1
        self.sent[name][1] += len(packet)
        if to not in self.up or self.cut(name, to):
            return
        over_http = len(packet) > MAX_DATAGRAM_BYTES  # lost in a partition only, and never duplicated
        if not over_http and self.rng.random() < self.loss:
            return
        copies = 2 if not over_http and self.rng.random() < self.double else 1
        for _ in range(copies):
            delay = MS // 2 + int(self.rng.expovariate(1 / MS))
            delay += int(self.rng.uniform(0, 300) * MS) if self.rng.random() < self.late else 0
            self.at(self.now + delay, lambda: self._arrive(to, packet))

    def _arrive(self, to, packet):
        if to in self.stopped:
            self.stopped[to].append(lambda: self._arrive(to, packet))
            return
        controller = self.up.get(to)
        if controller is not None:
            sealed = decode(packet, "arena", to, controller.known)
            assert not isinstance(sealed, str), sealed
            controller.received(self.now, sealed)
            self._after(to)

    def _record_changes(self, name, controller):
        """Collects membership changes and committed entries; notes an entry that differs from another's."""
        for when, member, before, after in controller.membership.standing_changes:
            self.changes.append((when, name, member, before, after))
        controller.membership.standing_changes.clear()
        for index, entry in controller.committed_log.newly_committed:
            first = self.agreed.setdefault((controller.committed_log.epoch, index), entry)
            if first != entry:
                self.wrong.append(f"entry {index}: {first} and, at {name}, {entry}")
        controller.committed_log.newly_committed.clear()
