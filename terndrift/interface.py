"""The contract between a host and the decisions of a session front, and the data handed to them.

A host (`terndrift/core`, `terndrift/adapter`) creates one `terndrift.decide.Controller(deployment, now)` for
each front and calls it with every event that it receives. Times and durations are whole nanoseconds, rates
kB/s. Every call returns the playbacks that it changed, in order, and the host acts at once on their states:

    ATTEMPTING  send a set-up to `streamer` at `rung` and wait for `timeout` at most; `attempts` counts the
                set-ups so far, so a count higher than before means that a new one is to be sent
    PLAYING     if `rung` differs from the one last sent, change the rung
    REJECTED    answer "not now", to be retried after `retry_after` (0: no advice)
    ABORTED     answer "failed"

HELD and ENDED need nothing. The host must call `wake` at `Controller.wake_at` (None: not needed); an early or
a late call does no harm. `Controller.list_requests` counts the requests for the server list and its later
changes: when it has risen, the host must request the list. The calls:

    list_changed(now, entries, complete, cached)
        the server list, all of it or changes; `cached`: a copy from before a restart
    list_failed(now)
        the requested list did not come, or its subscription broke off
    request_playback(now, playback_id, plan, title, cells, top, time_left, expected_duration, moved, rates)
        a viewer requests a playback; the streamers of `cells`, a frozenset, hold the title;
        `expected_duration`: the playing time, 0: not known; `rates`: the title's own ladder, None: the
        deployment's
    holders_changed(now, playback_id, cells)
        of a playback held or in set-up: the cells that hold its title now; a set-up in progress goes on
    adopt_playback(now, playback_id, ..., streamer_id)
        as `request_playback`, for a playback that already plays at that streamer
    set_up_succeeded(now, playback_id, took)
        the set-up in progress succeeded
    attempt_ended(now, playback_id, ending, took, finished, streamer_id, report)
        a set-up, or what played, is over
    rung_reported(now, playback_id, rung)
        the rung in force of a playback, as of one handed over
    delivery_reported(now, streamer_id, share)
        the share of their rates that playbacks at the streamer got, `Links.lag` ago
    utilisation_reported(now, playback_id, streamer_id, link, uplink)
        the utilisation of a streamer's link and of its rack's uplink (None: not reported); current at the
        set-up of the playback, `Links.lag` old if it comes later
    viewer_left(now, playback_id)
        nothing more is owed for the playback
    peer_message(now, author, data)
        a message of another controller of the same deployment
    probe_answer(now, streamer, ending, took, report)
        the outcome of a probe
    fleet_changed(now, controllers, cold_start_turn, warm_ids)
        what a fleet has agreed on and knows: the number of controllers; this one's turn at the cold pace,
        (rank, ranks), so that no two have the same, or None: no turn now; ids of streamers proven to have run
        since the start that the list gives
    fleet_limits_changed(now, extra_attempts, findings, advice)
        what the members of a fleet together allow and have found, until the next call: attempts beyond the
        first that may be made (None: no limit); id of a streamer -> True: it may be attempted now, False: it
        errs, and other members attempt it in turn, None: as False, and it seems dead, so it may come back
        cold; times to come back after, one of which each rejected playback gets by its random draw (none:
        the controller's own advice)
    wake(now)
        time has passed

A `report` is a dict that may hold "streams" (those that run or are in set-up at the streamer), "link" and
"uplink" (utilisation: demand over capacity). Any of them may be missing or have an absurd value. Ids that are
not known are ignored.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """State of a playback as the controller returns it."""

    HELD = 0  # accepted, waiting for a placement
    ATTEMPTING = 1  # one set-up is in progress
    PLAYING = 2
    REJECTED = 3
    ABORTED = 4
    ENDED = 5  # nothing more is owed


class Standing(Enum):
    """What the server list says of a streamer.

    Member names appear in logs and command output.
    """

    GONE = 0
    READY = 1
    DRAINING = 2


class Ending(Enum):
    """How a set-up, or the playback that it started, ended.

    The value is a description and whether the set-up may have run. Member names appear in logs.
    """

    PLAYED_OUT = "played out", True
    ERRED = "erred", True
    FULL = "full", False
    SILENT = "silent", True
    UNREACHED = "unreached", False
    BROKEN = "broken", True
    CALLED_OFF = "called off", True
    NEVER_SENT = "never sent", False

    @property
    def may_have_run(self):
        """Whether the playback may have started at the streamer."""
        return self.value[1]


@dataclass(frozen=True)
class Plan:
    """A plan that viewers play titles under; immutable, as all settings here."""

    name: str
    revenue: float  # per second on a rung whose ladder revenue is 1
    scale: float  # factor on the rates of the ladder
    floor: int  # lowest rung that may play
    top: int  # highest rung offered
    seats: int  # playbacks of one title that a controller may have at once; 0: no limit
    startup_target: int  # ns within which an answer is wanted
    repeatable: bool  # a set-up that may have run can be repeated or rejected without harm
    # share of its rate that each further viewer of a title adds at one streamer and rung; 1: all of it
    adds: float = 1.0


@dataclass(frozen=True)
class Ladder:
    """The rungs of a deployment, from the lowest."""

    rates: tuple  # kB/s of each rung
    revenue: tuple  # of each rung
    shortfall_cost: float  # points lost for each point of the rate that is not delivered
    switch_cost: int  # a change of rung while playing costs the revenue of so many ns


@dataclass(frozen=True)
class Links:
    """Capacities of links and uplinks, and how their load is reported."""

    unit_kb: float  # kB/s of a streamer's link for each unit of its weight; approximate
    uplink_kb: float  # kB/s of a rack's uplink on average
    places: dict  # kind of streamer -> most playbacks that it runs
    lag: int  # ns by which delivered shares and the utilisation reported while playing are out of date
    refuses_from: float  # link utilisation from which a streamer refuses set-ups; 0: never
    answers_report_load: bool = True  # answers to set-ups report the utilisation of the link


@dataclass(frozen=True)
class Rules:
    """Limits that all controllers of a deployment must keep; times in ns."""

    answer_slack: int  # an answer may come so long after its deadline
    cold_for: int  # a streamer is warm this long after its start, at the latest
    cold_share: float  # share of its capacity that it has at its start, at least
    # most set-ups sent to a cold streamer, as a multiple of the cold pace, in any window of this length
    fall_multiple: float
    fall_window: int
    attempt_limit: int  # most set-ups of one playback
    # most set-ups beyond the first, over all playbacks, in any window of this length: so many and this share
    # of the playbacks accepted in it; extra_attempts None: no limit
    extra_attempts: int | None
    extra_share: float
    extra_window: int
    longest_advice: int  # longest advice on coming back that clients follow; 0: no advice can be given
    probes: bool  # controllers may probe streamers
    peers: bool  # controllers may send each other messages
    # the list must be requested, and again at least this often until it comes; 0: it comes unrequested
    list_within: int = 0


@dataclass(frozen=True)
class Deployment:
    """The settings of one controller in its deployment."""

    seed: int  # of this controller's random draws
    rank: int  # of this controller, from 0
    controllers: int  # number of controllers
    zone: str
    plans: dict  # name -> Plan
    ladder: Ladder
    links: Links
    rules: Rules


@dataclass(frozen=True)
class ListEntry:
    """An entry of the server list."""

    id: int
    kind: str
    zone: str
    cell: int  # playbacks name the cells that hold their title; several streamers may share a cell
    rack: int
    standing: Standing
    weight: float  # capacity of the link in units of `Links.unit_kb`
    started: int  # time of its last start; 0: long ago
