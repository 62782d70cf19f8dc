"""Committed state of the replicated log, as every controller holds it, and how recent it is.

`member.Controller` owns a `CommittedLog`, whether or not the controller is a voter. A voter feeds it
committed entries; all others pull them from whoever is further ahead. Only committed entries may reach it.

The age of the state counts from a controller's own requests alone. A message that answers none of them may
have been delayed on its way, or in the socket of a process that was paused, for longer than anybody can
tell.
"""

from collections import deque

from terndrift.fleet.messages import PullRequest, PullResponse

# Times are in ns.
MS = 1_000_000
SECOND = 1000 * MS
# Proposal ids remembered: a proposal that is sent again within this many entries is applied once.
MAX_REMEMBERED_IDS = 4096
# Entries per answer: fits a message body with room to spare.
MAX_ENTRIES_PER_ANSWER = 500


def initial_state(epoch, voters=()):
    """Initial state of an epoch (number, mark); `voters`: name -> identity."""
    return {"epoch": list(epoch), "last": 0, "term": 0, "voters": dict(voters), "map": {}, "ids": {}}


def apply_entry(state, index, entry):
    """Applies the entry at `index`, the next one, to `state` in place.

    A value is {key: value}; None deletes a key. Under "?" it may hold the values that keys are required to
    have: a proposal made against an outdated state changes nothing, and its index is noted as negative
    under its id.
    """
    assert index == state["last"] + 1, f"entry {index} applied after entry {state['last']}"
    state["last"], state["term"] = index, entry.term
    if entry.kind == "voters":
        state["voters"] = dict(entry.value)
    elif entry.kind == "value" and entry.id not in state["ids"]:
        outdated = any(state["map"].get(key) != value for key, value in entry.value.get("?", {}).items())
        state["ids"][entry.id] = -index if outdated else index  # tells the proposer whether it was applied
        while len(state["ids"]) > MAX_REMEMBERED_IDS:
            del state["ids"][next(iter(state["ids"]))]
        if outdated:
            return
        for key, value in entry.value.items():
            if key == "?":
                continue
            if value is None:
                state["map"].pop(key, None)
            else:
                state["map"][key] = value


def copy_state(state):
    """Copies a state; values are shared, as none is ever changed in place."""
    return {**state, "voters": dict(state["voters"]), "map": dict(state["map"]), "ids": dict(state["ids"])}


class CommittedLog:
    """The committed state at one controller, and the requests for what it lacks.

    The owner sends what is in `outbox` (name, message) and takes the newly committed (index, entry) from
    `newly_committed`. Times are in ns by the controller's own clock.
    """

    def __init__(self, now):
        # entries: the latest ones, to answer requests from
        self.state, self.entries = initial_state((0, "")), []
        self.complete_as_of = None  # latest time at which the state is known to have been complete
        self.outbox, self.pull_sent_at, self.newly_committed = [], 0, []
        self.pull_times = deque(maxlen=8)  # send times of the latest requests

    @property
    def epoch(self):
        """Epoch of the state: (number, mark)."""
        return tuple(self.state["epoch"])

    @property
    def last_index(self):
        """Index of the last committed entry that is applied here."""
        return self.state["last"]

    def age(self, now):
        """Time (ns) since the state was last known to be complete; None if it never was."""
        return None if self.complete_as_of is None else max(0, now - self.complete_as_of)

    def mark_complete(self, time):
        """Notes that the state was complete at `time`."""
        self.complete_as_of = time if self.complete_as_of is None else max(self.complete_as_of, time)

    def apply_committed(self, entry):
        """Applies the next committed entry."""
        index = self.last_index + 1
        apply_entry(self.state, index, entry)
        self.entries.append(entry)
        if len(self.entries) > 2 * MAX_ENTRIES_PER_ANSWER:
            del self.entries[:MAX_ENTRIES_PER_ANSWER]
        self.newly_committed.append((index, entry))

    def load_snapshot(self, state):
        """Replaces the state with a snapshot of a later epoch, or of a later index in this one."""
        epoch_changed = tuple(state["epoch"]) != self.epoch
        self.state, self.entries = copy_state(state), []
        if epoch_changed:
            self.complete_as_of = None

    def send_pull(self, now, target):
        """Requests the entries that are missing here from the controller named `target`."""
        self.pull_sent_at = now
        self.pull_times.append(now)
        self.outbox.append((target, PullRequest(self.epoch, self.last_index, now)))

    def handle_progress(self, now, sender, epoch, commit_index, age, request_sent_at=None):
        """Handles the epoch number, commit index and age (ms) that every message carries.

        `request_sent_at` is the time (ns) at which this controller sent the request that the message
        answers, None if it answers none; only an answer can make the state here more recent.
        """
        if (epoch, commit_index) > (self.epoch[0], self.last_index):
            if now - self.pull_sent_at > 100 * MS:
                self.send_pull(now, sender)
        elif (
            (epoch, commit_index) == (self.epoch[0], self.last_index)
            and age >= 0
            and request_sent_at is not None
        ):
            self.mark_complete(request_sent_at - age * MS)

    def handle_pull(self, now, sender, pull):
        """Answers a `PullRequest` with entries, or with a snapshot if the entries are no longer here.

        Doesn't answer a sender that is further ahead.
        """
        if pull.epoch > self.epoch or pull.epoch == self.epoch and pull.last_index > self.last_index:
            return
        before_entries = self.last_index - len(self.entries)
        age = self.age(now)
        if pull.epoch == self.epoch and pull.last_index >= before_entries:
            after, entries, state = (
                pull.last_index,
                self.entries[pull.last_index - before_entries :][:MAX_ENTRIES_PER_ANSWER],
                None,
            )
        else:
            after, entries, state = self.last_index, [], copy_state(self.state)
        answer = PullResponse(
            self.epoch, after, entries, self.last_index, state, -1 if age is None else age, pull.requested_at
        )
        self.outbox.append((sender, answer))

    def handle_pull_answer(self, now, sender, answer):
        """Handles a `PullResponse` message; requests the rest if it doesn't bring the state up to date."""
        if answer.epoch < self.epoch:
            return
        if answer.state is not None and (answer.epoch, answer.state["last"]) > (self.epoch, self.last_index):
            self.load_snapshot(answer.state)
        if answer.epoch == self.epoch and answer.prev_index <= self.last_index:
            for entry in answer.entries[self.last_index - answer.prev_index :]:
                self.apply_committed(entry)
        if answer.epoch == self.epoch and self.last_index >= answer.commit_index:
            if answer.commit_age >= 0 and answer.requested_at in self.pull_times:
                self.mark_complete(answer.requested_at - answer.commit_age)
        elif answer.entries or answer.state:
            self.send_pull(now, sender)
