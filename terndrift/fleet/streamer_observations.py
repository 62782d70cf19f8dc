"""Observations of streamers that prove, after a restart, which of them are warm.

An observation says which controller saw a streamer run, under which start, since when and until when. The
fleet's Controller calls this module to exchange observations with other members; observation_collector.py
adds this controller's own, stores them for its next run and asks which streamers are proven warm. It does no
I/O.

A streamer must never be taken for warm on one source alone. It takes two: the list heard in this run, which
says when the streamer started, and an observer who saw it run for a whole warm-up under that very start and
recently. An observation of another start doesn't count, and each expires as fast as the decisions' own
reports. So a wrong, old or invented observation costs only time: the streamer is then subject to slow start
as a cold one, as without any observer.

This prevents slow start of all streamers after a mass restart of controllers. It fails where list and
observer are wrong together: a streamer that restarted within the delay of its list, which controllers that
never restarted take for warm as well.
"""

import zlib
from dataclasses import dataclass

from terndrift.fleet.membership import shuffled_by_salt
from terndrift.fleet.messages import Observation, Observations, ObservationsRequest

MS = 1_000_000
SECOND = 1000 * MS
# Observations expire as fast as the decisions' own reports.
OBSERVATION_LIFETIME_NS = 15 * SECOND
# For observations of this controller's earlier run: longer than a mass restart takes. The list must still say
# the same start.
RESTORED_LIFETIME_NS = 60 * SECOND
# Latest observers that are remembered of a streamer; enough that a false observation is not the only one.
MAX_OBSERVERS = 4
# Between gossip messages, each to one random member; observations in one message, which fit a datagram.
GOSSIP_INTERVAL_NS, GOSSIP_BATCH = SECOND, 14
# Between requests after a start, and responses that suffice: each holds what its sender heard of all members.
REQUEST_INTERVAL_NS, SUFFICIENT_RESPONSES = SECOND // 4, 2
# Responses of one member in a second, to all requests: 200 kB/s with whole lists of 500 streamers.
MAX_RESPONSES_PER_SECOND = 5
# Observers of a failure, each later than whoever saw the streamer run, that outweigh him; one alone may be
# wrong or lie.
MIN_FAILURE_OBSERVERS = 2


@dataclass(frozen=True)
class StreamerObservation:
    """One observer's observation of a streamer; times are in ns by this controller's clock."""

    observer: str  # name of the observer; "" for an earlier run of this controller
    observer_run: int  # an observation of an earlier run of the observer ends with that run
    started: int  # the streamer's start as its list says, in ns since 1970; 0: long ago
    seen_from: int
    seen_until: int
    failed_at: int  # when it was seen to fail; 0: not since it was last seen to run
    link_demand_percent: int  # demand on its link, in hundredths of the link's capacity


class ObservationStore:
    """Observations of all streamers by this and other controllers.

    `own_name` is this controller's name and `run` the number of its run; `now` and `cold_for`, the time of a
    warm-up, are in ns. The owner calls `tick` when `next_tick_at` is due and sends the messages in `out`.
    """

    def __init__(self, own_name, run, now, cold_for=0):
        self.own_name, self.run, self.cold_for = own_name, run, cold_for
        self.seen = {}  # address -> {observer: StreamerObservation}
        # out: (member, message) to send; requested_at: member -> when; responders: members that responded
        self.outbox, self.requested_at, self.responders = [], {}, set()
        self.next_gossip_at, self.next_request_at, self.gossip_rounds, self.response_times = now, now, 0, []
        self.requesting = True  # until SUFFICIENT_RESPONSES have come, or the recovery is over
        self.responses_sent = 0

    # Observations of this controller, in this run and the last.

    def record_own(self, now, rows):
        """Records this controller's own observations and removes expired ones; called periodically.

        `rows` are (address, started, seen_until, failed_at, use); `failed_at` is when the streamer was last
        seen to fail, 0 if not since it ran.
        """
        for address, started, seen_until, failed_at, use in rows:
            previous = self.seen.get(address, {}).get(self.own_name)
            continues = (
                previous
                and previous.observer_run == self.run
                and previous.started == started
                and not failed_at
            )
            self._put(
                address,
                StreamerObservation(
                    self.own_name,
                    self.run,
                    started,
                    previous.seen_from if continues else seen_until,
                    seen_until,
                    failed_at,
                    use,
                ),
            )
        self._expire(now)

    def export_own(self, now, wall):
        """Returns this controller's own observations that its next run can use.

        The rows are [address, started, ns it was observed, seen_until, use], where `seen_until` is in ns
        since 1970 and `wall` is `now` in that scale.
        """
        own = [
            (address, by_observer[self.own_name])
            for address, by_observer in sorted(self.seen.items())
            if self.own_name in by_observer
        ]
        return [
            [
                address,
                observation.started,
                observation.seen_until - observation.seen_from,
                wall - (now - observation.seen_until),
                observation.link_demand_percent,
            ]
            for address, observation in own
            if observation.observer_run == self.run and not observation.failed_at
        ]

    def restore(self, now, wall, rows):
        """Takes over rows that `export_own` returned in an earlier run.

        Rows that are too old are ignored, and so are rows that lie in the future because a clock was set.
        """
        for address, started, observed, seen_until, use in rows:
            if 0 <= wall - seen_until <= RESTORED_LIFETIME_NS:
                at = now - (wall - seen_until)
                self._put(address, StreamerObservation("", 0, started, at - observed, at, 0, use))

    def _put(self, address, observation):
        by_observer = self.seen.setdefault(address, {})
        by_observer[observation.observer] = observation
        while len(by_observer) > MAX_OBSERVERS:
            del by_observer[
                min(by_observer, key=lambda who: max(by_observer[who].seen_until, by_observer[who].failed_at))
            ]

    def _expire(self, now):
        for address, by_observer in list(self.seen.items()):
            for who, observation in list(by_observer.items()):
                if now - max(observation.seen_until, observation.failed_at) > (
                    OBSERVATION_LIFETIME_NS if who else RESTORED_LIFETIME_NS
                ):
                    del by_observer[who]
            if not by_observer:
                del self.seen[address]

    # Exchange with other members.

    def next_tick_at(self):
        """Returns when `tick` is due."""
        return min(self.next_gossip_at, self.next_request_at) if self.requesting else self.next_gossip_at

    def tick(self, now, alive):
        """Sends a request and a gossip message where each is due.

        `alive` are the names of the members that are there.
        """
        if self.requesting and now >= self.next_request_at:
            self._request(now, alive)
        if now >= self.next_gossip_at:
            self.next_gossip_at = now + GOSSIP_INTERVAL_NS
            self._expire(now)
            if alive and self.seen:
                self.gossip_rounds += 1
                to = alive[
                    zlib.crc32(b"%d" % self.gossip_rounds, zlib.crc32(self.own_name.encode())) % len(alive)
                ]
                self.outbox.append((to, self._make_message(now, self._next_batch())))

    def _next_batch(self):
        """Returns the next GOSSIP_BATCH addresses, round robin."""
        addresses = sorted(self.seen)
        first = self.gossip_rounds * GOSSIP_BATCH % len(addresses)
        return (addresses[first:] + addresses[:first])[:GOSSIP_BATCH]

    def _request(self, now, alive):
        """Asks one member; those already asked come again only when all others have been asked."""
        self.next_request_at = now + REQUEST_INTERVAL_NS
        order = shuffled_by_salt(alive, f"{self.own_name}/")
        remaining = [n for n in order if n not in self.requested_at] or [
            n for n in order if n not in self.responders
        ]
        if remaining:
            self.requested_at[remaining[0]] = now
            self.outbox.append((remaining[0], ObservationsRequest()))

    def handle_request(self, now, sender):
        """Responds to a request, unless the limit of this second is reached.

        A sender that gets no response asks another member.
        """
        self.response_times = [at for at in self.response_times if now - at < SECOND]
        if len(self.response_times) < MAX_RESPONSES_PER_SECOND and self.seen:
            self.response_times.append(now)
            self.responses_sent += 1
            self.outbox.append((sender, self._make_message(now, list(self.seen), answers=True)))

    def _make_message(self, now, addresses, answers=False):
        """Returns a message with observations of the addresses.

        A response (`answers`) has all of each address, gossip only the latest.
        """
        facts = []
        for address in addresses:
            by_observer = self.seen[address]
            chosen = (
                by_observer.values()
                if answers
                else [max(by_observer.values(), key=lambda s: max(s.seen_until, s.failed_at))]
            )
            facts += [
                Observation(
                    address,
                    s.observer,
                    s.observer_run,
                    s.started,
                    (s.seen_until - s.seen_from) // MS,
                    (now - s.seen_until) // MS,
                    (now - s.failed_at) // MS if s.failed_at else -1,
                    s.link_demand_percent,
                )
                for s in chosen
                if s.observer
            ]
        return Observations(facts, answers)

    def handle_message(self, now, sender, message, runs):
        """Takes over the observations in a message; `runs`: member -> its present run.

        Ages in a response count from the request, so its delay can't make an observation look newer than it
        is. How long an unrequested message was on its way is unknown; this does no harm, as the start in the
        list must be the same. Responses that nobody requested are ignored, and so are observations of unknown
        members, of earlier runs or with times in the future.
        """
        reference_time = now
        if message.is_response:
            if sender not in self.requested_at or sender in self.responders:
                return
            reference_time = self.requested_at[sender]
            self.responders.add(sender)
            self.requesting = len(self.responders) < SUFFICIENT_RESPONSES
        for fact in message.observations:
            if (
                fact.observer == self.own_name
                or runs.get(fact.observer) != fact.run
                or min(fact.observed_ms, fact.seen_ago_ms) < 0
            ):
                continue
            seen_until = reference_time - fact.seen_ago_ms * MS
            previous = self.seen.get(fact.address, {}).get(fact.observer)
            if (
                previous
                and previous.observer_run == fact.run
                and max(previous.seen_until, previous.failed_at) >= seen_until
            ):
                continue
            failed_at = reference_time - fact.failed_ago_ms * MS if fact.failed_ago_ms >= 0 else 0
            if now - max(seen_until, failed_at) <= OBSERVATION_LIFETIME_NS:
                self._put(
                    fact.address,
                    StreamerObservation(
                        fact.observer,
                        fact.run,
                        fact.streamer_started,
                        seen_until - fact.observed_ms * MS,
                        seen_until,
                        failed_at,
                        fact.link_demand_percent,
                    ),
                )

    # The proof.

    def proven_warm(self, now, started, local_start):
        """Returns {address: hundredths of its link in demand} of the streamers that are proven warm.

        `started` maps addresses to starts in ns since 1970 as the list of this run has them, 0: long ago.
        `local_start` turns a start in another controller's list into what the list on this machine says of
        the same start; that is 0 for all starts before the zero of this machine's clock.
        """
        proven = {}
        for address, start in started.items():
            by_observer = self.seen.get(address, {}).values()
            valid = [
                s
                for s in by_observer
                if local_start(s.started) == start
                and not s.failed_at
                and s.seen_until - s.seen_from >= self.cold_for
            ]
            if not valid:
                continue
            latest = max(valid, key=lambda s: s.seen_until)
            if sum(s.failed_at > latest.seen_until for s in by_observer) < MIN_FAILURE_OBSERVERS:
                proven[address] = latest.link_demand_percent
        return proven
