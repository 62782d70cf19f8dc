"""Model checker for permits of planned work: a leader, two controllers that place, one machine to take out.

The leader's steps, the controllers' copies of the record, the age of these copies and the placement reports
come from the code that runs in service; only clocks, network and failures are modelled. Each step of a world
is one of: time passes (each process has its own clock, up to 2% apart), a controller pulls the record or
sends a report, a message arrives (late or never), the leader evaluates the work, a controller places on the
machine, a playback there ends, or one of the three processes restarts. Invariant: no controller places on the
machine while a permit allows work on it. Used by tests; it must not run in a controller.
"""

from dataclasses import dataclass, field, replace

import msgspec

from terndrift.fleet import planned_work
from terndrift.fleet.committed_state import CommittedLog, apply_entry, initial_state
from terndrift.fleet.messages import Entry, PlacementReport, PullResponse
from terndrift.fleet.model_checker import InvariantViolationError, copy_node, search
from terndrift.fleet.work_budget import Machine

SECOND = planned_work.SECOND
MACHINE, EPOCH = "m", (1, "e")
PLAN = {
    "machines": [MACHINE],
    "needs": 60 * SECOND,
    "drain": 2 * SECOND,
    "warm": SECOND,
    "most": 1,
    "most_rack": 1,
    "most_zone": 0,
    "ready_share": 0.0,
    "holders": 0,
    "urgency": 0,
    "why": "",
}
# Clock seconds per true second: the leader's clock runs 2% faster than that of a; b's is between the two.
CLOCK_RATES = {"leader": 1.02, "a": 1.0, "b": 1.01}
# ns that pass in one step: nearly half of planned_work.MAX_RECORD_AGE_NS, and about the error that drift adds
# to it.
TIME_STEPS_NS = (49 * planned_work.MAX_RECORD_AGE_NS // 100, 6 * SECOND // 5)
FAULTS = (
    "permit before the last confirmation",
    "limit counted from when the work was planned",
    "age counted from arrival",
)


decode_message = msgspec.msgpack.Decoder(PlacementReport | PullResponse).decode


class FaultyWorkScheduler(planned_work.WorkScheduler):
    """The leader's scheduler, with `fault` injected if it is one of the first two FAULTS."""

    fault, planned_at = None, 0

    def _state_after_drain(self, now, name, row, plan, observed, waited, restarted):
        if self.fault == FAULTS[0]:
            observed = replace(
                observed,
                controller_names=frozenset(list(observed.placement_reports)[:1]) or observed.controller_names,
            )
        if self.fault == FAULTS[1]:  # not from when the drain was agreed
            waited = now - self.planned_at
        return super()._state_after_drain(now, name, row, plan, observed, waited, restarted)


class FaultyFollower(CommittedLog):
    """A follower of the record; `age_from_arrival` injects the fault of an age counted from the answer's
    arrival."""

    age_from_arrival = False

    def handle_pull_answer(self, now, sender, got):
        """Apply an answer to a pull; see CommittedLog."""
        super().handle_pull_answer(now, sender, got)
        if self.age_from_arrival and self.last_index >= got.commit_index:
            self.mark_complete(now - got.commit_age)


@dataclass
class World:
    """One state of the search; steps return changed copies.

    The fields from `time_steps_left` on bound how often each kind of step may still happen.
    """

    followers: dict  # "leader", "a" and "b" -> FaultyFollower
    leader_scheduler: FaultyWorkScheduler
    true_time: int = 1000 * SECOND  # ns
    placement_reports: dict = field(
        default_factory=dict
    )  # controller -> (PlacementReport, time received), at the leader
    playing: frozenset = frozenset()  # controllers with a playback on the machine
    in_flight: frozenset = frozenset()  # (receiver, sender, bytes)
    time_steps_left: tuple = (3, 1)  # of each of TIME_STEPS_NS
    pulls_left: int = 2
    reports_left: int = 2
    crashes_left: int = 1

    def now(self, name):
        """Return the time in ns by the clock of one process."""
        return int(self.true_time * CLOCK_RATES[name])

    def machine_row(self):
        """Return the machine's row in the leader's copy of the record."""
        return planned_work.machine_rows(self.followers["leader"].state)[MACHINE]

    def key(self):
        """Return the hash by which the search recognises states that it has visited."""
        parts = [
            self.true_time,
            self.playing,
            self.in_flight,
            self.time_steps_left,
            self.pulls_left,
            self.reports_left,
            self.crashes_left,
        ]
        parts += [tuple(sorted(self.leader_scheduler.step_seen_at.items()))]
        parts += [
            tuple(sorted((n, msgspec.msgpack.encode(h), at) for n, (h, at) in self.placement_reports.items()))
        ]
        parts += [
            (n, f.last_index, f.complete_as_of, tuple(f.pull_times))
            for n, f in sorted(self.followers.items())
        ]
        return hash(tuple(parts))


class Checker:
    """Breadth-first search through all worlds.

    `fault` is one of FAULTS to inject, or None; `max_states` ends the search; `bounds` overrides fields of
    World, such as `crashes_left`.
    """

    def __init__(self, fault=None, max_states=100_000, **bounds):
        self.fault, self.max_states, self.states, self.bounds = fault, max_states, 0, bounds
        self.work_class = type("CheckedWork", (FaultyWorkScheduler,), {"fault": fault})
        self.follower_class = type(
            "CheckedFollower", (FaultyFollower,), {"age_from_arrival": fault == FAULTS[2]}
        )

    def start(self):
        """Return the first world: the plan is agreed and every process knows it."""
        state = initial_state(EPOCH)
        id, value = planned_work.propose_plan(state, PLAN, "p", "ops")
        apply_entry(state, 1, Entry(1, "value", id, value))
        world = World({}, self.work_class(), **self.bounds)
        for name in CLOCK_RATES:
            world.followers[name] = follower = self.follower_class(world.now(name))
            follower.load_snapshot(state)
            follower.mark_complete(world.now(name))
        world.leader_scheduler.planned_at = world.leader_scheduler.step_seen_at[MACHINE, 0, 0] = world.now(
            "leader"
        )
        return world

    def run(self):
        """Return (steps, violation) of the shortest path to a violation, or None.

        Afterwards `states` is the number of states that were visited.
        """
        found, self.states = search(self.start(), self.steps, self.max_states)
        return found

    def steps(self, world):
        """Yield (name, call that returns [(suffix, next world)]) of each step possible in `world`."""
        for n, left in enumerate(world.time_steps_left):
            if left:
                time_steps_left = tuple(p - (i == n) for i, p in enumerate(world.time_steps_left))
                yield (
                    f"{TIME_STEPS_NS[n] / SECOND} s pass",
                    lambda n=n, p=time_steps_left: [
                        ("", replace(world, true_time=world.true_time + TIME_STEPS_NS[n], time_steps_left=p))
                    ],
                )
        yield "the leader evaluates the work", lambda: self.evaluate_work(world)
        for message in sorted(world.in_flight):
            yield f"{message[1]} to {message[0]}: arrives", lambda m=message: self.deliver(world, m)
        if world.crashes_left:
            new_work, crashes_left = self.work_class(), world.crashes_left - 1
            new_work.planned_at = world.leader_scheduler.planned_at
            yield (
                "another controller leads",
                lambda: [
                    (
                        "",
                        replace(
                            world, leader_scheduler=new_work, placement_reports={}, crashes_left=crashes_left
                        ),
                    )
                ],
            )
        for name in ("a", "b"):
            yield from self.controller_steps(world, name)

    def controller_steps(self, world, name):
        """Yield the steps of one controller, as `steps` does."""
        follower, now = world.followers[name], world.now(name)
        if world.pulls_left:
            yield f"{name} pulls", lambda: self.pull(world, name)
        drained, may_place = (
            planned_work.names_without_placement(follower.state),
            planned_work.is_fresh_enough_to_place(follower.age(now)),
        )
        if drained and world.reports_left:
            counts = {m: int(name in world.playing) for m in drained}
            data = msgspec.msgpack.encode(
                PlacementReport(planned_work.current_revision(follower.state), counts)
            )
            yield (
                f"{name} reports",
                lambda: [
                    (
                        "",
                        replace(
                            world,
                            reports_left=world.reports_left - 1,
                            in_flight=world.in_flight | {("leader", name, data)},
                        ),
                    )
                ],
            )
        if may_place and MACHINE not in drained and (name not in world.playing or self.has_permit(world)):
            yield f"{name} places", lambda: self.place(world, name)
        if name in world.playing:
            yield (
                f"a playback of {name} ends",
                lambda: [("", replace(world, playing=world.playing - {name}))],
            )
        if world.crashes_left:
            followers = {**world.followers, name: self.follower_class(now)}
            yield (
                f"{name} restarts",
                lambda: [
                    (
                        "",
                        replace(
                            world,
                            followers=followers,
                            playing=world.playing - {name},
                            crashes_left=world.crashes_left - 1,
                        ),
                    )
                ],
            )

    def has_permit(self, world):
        """Whether workers may take the machine down now."""
        return planned_work.WorkState(world.machine_row()["state"]) in (
            planned_work.WorkState.OUT,
            planned_work.WorkState.OVERDUE,
        )

    def place(self, world, name):
        """A controller places on the machine; raises InvariantViolationError if there is a permit."""
        if self.has_permit(world):
            raise InvariantViolationError(f"{name} places on a machine with a permit")
        return [("", replace(world, playing=world.playing | {name}))]

    def pull(self, world, name):
        """A controller asks the leader for what is agreed.

        The request arrives at once: a late one only makes the controller's copy seem older, which is safe.
        """
        follower, leader = self.copy_follower(world, name), self.copy_follower(world, "leader")
        follower.send_pull(world.now(name), "leader")
        leader.mark_complete(world.now("leader"))
        for _, request in follower.outbox:
            leader.handle_pull(world.now("leader"), name, request)
        sent = {(name, "leader", msgspec.msgpack.encode(answer)) for _, answer in leader.outbox}
        follower.outbox, leader.outbox = [], []
        followers = {**world.followers, name: follower, "leader": leader}
        return [
            (
                "",
                replace(
                    world,
                    followers=followers,
                    pulls_left=world.pulls_left - 1,
                    in_flight=world.in_flight | sent,
                ),
            )
        ]

    def copy_follower(self, world, name):
        """Return a copy of one follower that shares no mutable state with the world."""
        follower = copy_node(world.followers[name])
        follower.pull_times = follower.pull_times.copy()
        return follower

    def deliver(self, world, message):
        """A message arrives: a report at the leader, or an answer at a controller."""
        receiver, sender, data = message
        decoded, now = decode_message(data), world.now(receiver)
        world = replace(world, in_flight=world.in_flight - {message})
        if isinstance(decoded, PlacementReport):
            return [
                ("", replace(world, placement_reports={**world.placement_reports, sender: (decoded, now)}))
            ]
        follower = self.copy_follower(world, receiver)
        follower.handle_pull_answer(now, sender, decoded)
        follower.outbox, follower.newly_committed = [], []
        return [("", replace(world, followers={**world.followers, receiver: follower}))]

    def evaluate_work(self, world):
        """The leader takes all steps that are possible now.

        Its proposals are agreed at once, as the record has its own checker, `terndrift.fleet.model_checker`.
        """
        leader_scheduler, follower, now = (
            copy_node(world.leader_scheduler),
            copy_node(world.followers["leader"]),
            world.now("leader"),
        )
        observed = planned_work.WorkObservations(
            {MACHINE: Machine(MACHINE, 0, "", 1.0, True, 0)}, frozenset("ab"), world.placement_reports
        )
        while steps := leader_scheduler.next_proposals(now, follower.state, observed):
            for id, value in steps:
                follower.apply_committed(Entry(1, "value", id, value))
        follower.newly_committed = []
        return [
            (
                "",
                replace(
                    world,
                    leader_scheduler=leader_scheduler,
                    followers={**world.followers, "leader": follower},
                ),
            )
        ]
