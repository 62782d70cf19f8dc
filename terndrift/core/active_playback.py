"""State of a playback inside the session core, and the types that fronts and transports share with it.

`Core` creates an `ActivePlayback` for each playback that a front requests and alone changes its stage. A
playback has at most one set-up attempt in flight and gets at most one `Answer`.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class PlaybackStage(Enum):
    """Stage of a playback in the core. The values are written to the log."""

    WAITING = "waiting"  # accepted; no attempt is in flight
    ATTEMPTING = "trying"  # one set-up attempt is in flight
    CANCELLING = "calling off"  # the attempt was cancelled and counts as in flight until its end is confirmed
    PLAYING = "playing"
    ENDED = "over"  # nothing is in flight and no attempt will follow


TRANSITIONS = {  # the only stage changes that are allowed
    PlaybackStage.WAITING: (PlaybackStage.ATTEMPTING, PlaybackStage.ENDED),
    PlaybackStage.ATTEMPTING: (
        PlaybackStage.WAITING,
        PlaybackStage.CANCELLING,
        PlaybackStage.PLAYING,
        PlaybackStage.ENDED,
    ),
    PlaybackStage.CANCELLING: (PlaybackStage.WAITING, PlaybackStage.ENDED),
    PlaybackStage.PLAYING: (PlaybackStage.ENDED,),
    PlaybackStage.ENDED: (),
}


class AnswerKind(Enum):
    """Kind of an answer. The values are written to the log and passed to watchers."""

    PLAYS = "plays"
    REJECTED = "rejected"  # nothing runs; the client may retry
    ABORTED = "aborted"  # an attempt may have run, or the viewer left


@dataclass(frozen=True)
class Answer:
    """The one answer to an accepted playback."""

    kind: AnswerKind
    retry_after: int = 0  # ns after which the client should retry; 0: no advice
    reason: str = ""  # reason that HTTP and SIP fronts pass on to the client


@dataclass(frozen=True)
class PlaybackRequest:
    """A viewer's request for a playback, decoded by a front."""

    plan: str
    title: str
    cells: frozenset  # cells whose streamers are holders of the title
    top: int  # highest rung that the player can take
    time_left: int  # ns until the client gives up
    expected_duration: int  # estimated viewing time, ns; 0: unknown
    rates: tuple | None = None  # the title's own ladder, kB/s by rung; None: the deployment's ladder
    context: object = None  # the front's context for this request; the core never reads it


class StreamerTransport(Protocol):
    """Transport by which the core reaches streamers; each protocol has its own. No call may block.

    The transport reports exactly one `Core.set_up_succeeded` or `Core.attempt_ended` for each `set_up`, also
    after `cancel_attempt`. A playback that plays ends by `Core.playback_ended` or `Core.viewer_left`; the
    core then calls `release_playback` once.
    """

    def set_up(self, playback, streamer, rung, timeout):
        """Send a set-up to `streamer` (a `ListEntry`) at `rung`; the core cancels it after `timeout` ns.

        The transport asks `Core.may_send` once it is connected, just before it sends the first byte.
        """
        ...

    def cancel_attempt(self, playback):
        """Cancel the attempt in flight; report its end by `Core.attempt_ended` once it is known."""
        ...

    def set_rung(self, playback, rung):
        """Ask the streamer to change the rung of an attempt in flight or of a running playback."""
        ...

    def release_playback(self, playback, streamer):
        """Stop what runs at `streamer` for this playback and release what the transport holds for it."""
        ...


class ActivePlayback:
    """A playback as the core tracks it. Only `Core` may change it; fronts and transports read it.

    `on_answer` is called once, with the `Answer`, unless the viewer leaves before there is one.
    """

    def __init__(self, playback_id, request, transport, on_answer, now):
        self.id, self.request, self.transport = playback_id, request, transport
        self.on_answer = on_answer
        self.accepted_at, self.deadline = now, now + request.time_left
        self.stage, self.answer = PlaybackStage.WAITING, None
        self.streamer = None  # ListEntry of the attempt in flight or of the running playback
        self.rung, self.attempts = 0, 0
        self.sent_at, self.attempt_deadline = 0, 0
        self.cancel_reason = None  # Ending for which the attempt in flight was cancelled
        self.transitions = []  # (time, stage) of each stage change, for diagnostics

    def set_stage(self, now, stage):
        """Change the stage; every stage change goes through here. Asserts that `TRANSITIONS` allows it."""
        assert stage in TRANSITIONS[self.stage], f"{self.id}: invalid transition from {self.stage} to {stage}"
        self.stage = stage
        self.transitions.append((now, stage))
