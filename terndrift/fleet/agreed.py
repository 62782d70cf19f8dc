"""What is agreed, as every controller has it: the state that the entries amount to, and how old that is.

How old is reckoned from questions of its own alone: a word that nobody asked for may have waited, on its way
or in the sockets of a process that stood still, for longer than anybody can tell.
"""

from collections import deque

from terndrift.fleet.messages import Agreed, Pull

MS = 1_000_000
SECOND = 1000 * MS
# Ids of proposals remembered: one sent again within so many entries counts once.
IDS = 4096
# Pieces of one answer: what fits a body with room to spare.
PIECE = 500


def beginning(epoch, voters=()):
    return {"epoch": list(epoch), "last": 0, "term": 0, "voters": dict(voters), "map": {}, "ids": {}}


def applied(state, index, entry):
    """Changes `state` by the next entry. A value is {key: value}; None takes a key out. Under "?" it may say
    keys have to be for it to count: who proposes by an older state than the one in force changes nothing."""
    assert index == state["last"] + 1, f"entry {index} after {state['last']}"
    state["last"], state["term"] = index, entry.term
    if entry.kind == "voters":
        state["voters"] = dict(entry.value)
    elif entry.kind == "value" and entry.id not in state["ids"]:
        late = any(state["map"].get(key) != value for key, value in entry.value.get("?", {}).items())
        state["ids"][entry.id] = -index if late else index  # so that its proposer knows which it was
        while len(state["ids"]) > IDS:
            del state["ids"][next(iter(state["ids"]))]
        if late:
            return
        for key, value in entry.value.items():
            if key == "?":
                continue
            if value is None:
                state["map"].pop(key, None)
            else:
                state["map"][key] = value


def copied(state):
    """One that is not changed with it; values are never changed in place."""
    return {**state, "voters": dict(state["voters"]), "map": dict(state["map"]), "ids": dict(state["ids"])}


class Follower:
    """The agreed part of the record at a controller, voter or not. `out`: (to, message)."""

    def __init__(self, now):
        self.state, self.entries = beginning((0, "")), []  # entries: the last ones, for those who ask
        self.as_of = None  # the latest time of which this is known to be all that was agreed
        self.out, self.asked_at, self.heard = [], 0, []  # heard: (index, entry) that came to be agreed
        self.asks = deque(maxlen=8)  # when it last asked

    @property
    def epoch(self):
        return tuple(self.state["epoch"])

    @property
    def last(self):
        return self.state["last"]

    def age(self, now):
        """ns; None: it never was known to be all."""
        return None if self.as_of is None else max(0, now - self.as_of)

    def known_at(self, at):
        self.as_of = at if self.as_of is None else max(self.as_of, at)

    def take(self, entry):
        index = self.last + 1
        applied(self.state, index, entry)
        self.entries.append(entry)
        if len(self.entries) > 2 * PIECE:
            del self.entries[:PIECE]
        self.heard.append((index, entry))

    def begin(self, state):
        """Another beginning: of a later epoch, or further on than what is here."""
        epoch_changed = tuple(state["epoch"]) != self.epoch
        self.state, self.entries = copied(state), []
        if epoch_changed:
            self.as_of = None

    def ask(self, now, of):
        self.asked_at = now
        self.asks.append(now)
        self.out.append((of, Pull(self.epoch, self.last, now)))

    def told(self, now, sender, epoch, agreed, age, asked=None):
        """What rides on every message: how far its sender is, and how old that is (ms); `asked`: when this
        one said what the message answers, None: nothing."""
        if (epoch, agreed) > (self.epoch[0], self.last):
            if now - self.asked_at > 100 * MS:
                self.ask(now, sender)
        elif (epoch, agreed) == (self.epoch[0], self.last) and age >= 0 and asked is not None:
            self.known_at(asked - age * MS)

    def asked(self, now, sender, pull):
        if pull.epoch > self.epoch or pull.epoch == self.epoch and pull.last > self.last:
            return
        first = self.last - len(self.entries)
        age = self.age(now)
        if pull.epoch == self.epoch and pull.last >= first:
            after, part, state = pull.last, self.entries[pull.last - first :][:PIECE], None
        else:
            after, part, state = self.last, [], copied(self.state)
        said = Agreed(self.epoch, after, part, self.last, state, -1 if age is None else age, pull.at)
        self.out.append((sender, said))

    def answered(self, now, sender, got):
        if got.epoch < self.epoch:
            return
        if got.state is not None and (got.epoch, got.state["last"]) > (self.epoch, self.last):
            self.begin(got.state)
        if got.epoch == self.epoch and got.after <= self.last:
            for entry in got.entries[self.last - got.after :]:
                self.take(entry)
        if got.epoch == self.epoch and self.last >= got.agreed:
            if got.age >= 0 and got.at in self.asks:
                self.known_at(got.at - got.age)
        elif got.entries or got.state:
            self.ask(now, sender)
