"""A playback as the core carries it: what is out on some wire, and the one answer owed for it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Stage(Enum):
    WAITING = "waiting"  # taken; nothing is out
    TRYING = "trying"  # one set-up try is out
    CALLING_OFF = "calling off"  # the try was given up; it is out until its end is known
    PLAYING = "playing"
    OVER = "over"  # nothing is out and nothing more will be


ROUTES = {  # the only changes of stage there are
    Stage.WAITING: (Stage.TRYING, Stage.OVER),
    Stage.TRYING: (Stage.WAITING, Stage.CALLING_OFF, Stage.PLAYING, Stage.OVER),
    Stage.CALLING_OFF: (Stage.WAITING, Stage.OVER),
    Stage.PLAYING: (Stage.OVER,),
    Stage.OVER: (),
}


class Kind(Enum):
    PLAYS = "plays"
    REJECTED = "rejected"
    ABORTED = "aborted"


@dataclass(frozen=True)
class Answer:
    """The one answer to a playback taken."""

    kind: Kind
    come_back: int = 0  # ns after which to come again; 0: no advice
    why: str = ""


@dataclass(frozen=True)
class Wanted:
    """A playback that a viewer asks for, as a front understood it."""

    plan: str
    title: str
    cells: frozenset  # cells of the streamers that hold the title
    top: int
    time_left: int  # ns until the client gives up
    length: int  # ns that it will be watched, a guess; 0: not known
    rates: tuple | None = None  # kB a second by rung, of a title with a ladder of its own
    about: object = None  # the front's own, handed back with it: not looked at here


class Carrier(Protocol):
    """What a front gives the core to reach streamers by; each call returns at once.

    For each `set_up` exactly one of `Core.began` and `Core.try_over` comes back, also after `call_off`;
    a playback that plays ends by `Core.over` or `Core.left`, after which `let_go` is called once.
    """

    def set_up(self, carried, streamer, rung, time_out): ...

    def call_off(self, carried): ...

    def set_rung(self, carried, rung): ...

    def let_go(self, carried, streamer): ...


class Carried:
    def __init__(self, id, wanted, carrier, answered, now):
        self.id, self.wanted, self.carrier = id, wanted, carrier
        self.answered = answered  # called once, with the Answer
        self.taken_at, self.due = now, now + wanted.time_left
        self.stage, self.answer = Stage.WAITING, None
        self.streamer = None  # of the try that is out or plays: a Listed
        self.rung, self.tries = 0, 0
        self.sent_at, self.try_due = 0, 0
        self.gave_up = None  # why the try that is out was called off: an Ending
        self.changes = []  # (time, stage), for the log and for whoever asks

    def turn(self, now, stage):
        """Every change of a playback's stage."""
        assert stage in ROUTES[self.stage], f"{self.id}: {self.stage} to {stage}"
        self.stage = stage
        self.changes.append((now, stage))
