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
    clock, after which a set-up is of no use.
    """

    def __init__(self, playback, peer, rung, deadline):
        self.playback, self.peer, self.rung, self.deadline = playback, peer, rung, deadline
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
