"""One set-up sent, or to be sent, to one streamer: its states and every way from one to another."""

from enum import Enum


class AttemptState(Enum):
    """Where a set-up attempt stands."""

    CONNECTING = "connecting"  # no byte of it has been sent
    SENT = "sent"
    CANCELLED = "cancelled"  # given up; out until its streamer confirms that, or must have heard of it
    OVER = "over"


TRANSITIONS = {
    AttemptState.CONNECTING: (AttemptState.SENT, AttemptState.OVER),
    AttemptState.SENT: (AttemptState.CANCELLED, AttemptState.OVER),
    AttemptState.CANCELLED: (AttemptState.OVER,),
    AttemptState.OVER: (),
}


class Attempt:
    """`viewing` is what the front knows of the viewer; `due`: when it is of no more use, in ns."""

    def __init__(self, carried, peer, rung, due):
        self.carried, self.peer, self.rung, self.due = carried, peer, rung, due
        self.viewing = carried.wanted.about
        self.id = self.viewing.id
        self.state = AttemptState.CONNECTING
        self.connection = self.task = None
        self.queued_at = 0  # when it was to begin in the next turn of the loop
        self.turns = None  # of the loop that it waits for what its viewer still says; None: not known yet

    def turn(self, state):
        """Every change of the attempt's state."""
        assert state in TRANSITIONS[self.state], f"{self.id.hex()}: {self.state} to {state}"
        self.state = state
