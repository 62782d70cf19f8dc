"""One attempt to set up a playback at one streamer: its states and the allowed transitions.

Created by the transport, which also drives it; performs no I/O itself.
"""

from enum import Enum


class AttemptState(Enum):
    """State of a set-up attempt."""

    CONNECTING = "connecting"  # no byte of it has been sent
    SENT = "sent"
    CANCELLED = "cancelled"  # outstanding until the streamer confirms the cancel or must have received it
    OVER = "over"


ATTEMPT_TRANSITIONS = {
    AttemptState.CONNECTING: (AttemptState.SENT, AttemptState.OVER),
    AttemptState.SENT: (AttemptState.CANCELLED, AttemptState.OVER),
    AttemptState.CANCELLED: (AttemptState.OVER,),
    AttemptState.OVER: (),
}


class Attempt:
    """A set-up attempt for `playback` at `peer`.

    `session` is the front's ViewerSession of the playback; `deadline` is the time, in ns of the runner's
    clock, after which a set-up is of no use. `input_deadline` is half-way there: until then the attempt may
    wait for input of its viewer to be read.
    """

    def __init__(self, playback, peer, rung, now, timeout):
        self.playback, self.peer, self.rung = playback, peer, rung
        self.deadline, self.input_deadline = now + timeout, now + timeout // 2
        self.session = playback.request.context
        self.id = self.session.id
        self.state = AttemptState.CONNECTING
        self.connection = self.task = None
        self.queued_at = 0  # when it was queued to start in the next turn of the event loop (ns)
        # turns of the event loop to wait for unread input of its viewer; None: not determined yet
        self.remaining_turns = None

    def transition_to(self, state):
        """Sets the state; every state change goes through here."""
        assert state in ATTEMPT_TRANSITIONS[self.state], (
            f"{self.id.hex()}: invalid transition from {self.state} to {state}"
        )
        self.state = state
