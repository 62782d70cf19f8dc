"""What is worth knowing of streamers after a restart: who saw which of them run, since which start, and when
last; told among members, kept in the controller's own store. Free of I/O.

A streamer is taken for warm on two words together, never on one: its list's, heard in this run, which says
its start, and a witness's, who saw it run for a whole warm-up under that very start and lately. A fact of
another start is no fact; each fades in the time in which the decisions' own reports do. So what is wrong, old
or made up costs time: a streamer is then paced as if it were cold, as without any witness.

Guards a mass restart against pacing all streamers as cold. It could do harm where list and witness are wrong
together: a streamer that restarted within the lateness of its list, which those that never restarted take for
warm as well.
"""

import zlib
from dataclasses import dataclass

from terndrift.fleet.members import in_own_order
from terndrift.fleet.messages import AskKnown, Fact, Knows

MS = 1_000_000
SECOND = 1000 * MS
# As the decisions' own reports fade.
FADES = 15 * SECOND
# Of a controller's own earlier run: longer than a mass restart takes, and the list must say the same start.
KEPT = 60 * SECOND
# Witnesses remembered of a streamer, the latest: enough that one who lies is not alone with his word.
WITNESSES = 4
# Between words to one other member, whoever it is; facts in one, which fit a datagram.
TELL, PIECE = SECOND, 14
# Between questions after a start, and answers that are enough: each holds what its sender heard of all.
ASK, ENOUGH = SECOND // 4, 2
# Answers that one member gives in a second, whoever asks: with whole lists of 500 streamers that is 200 kB/s.
HANDS = 5
# Two that saw it fail, each later than whoever saw it well, are believed against him; one alone may lie.
ILL = 2


@dataclass(frozen=True)
class Seen:
    """Of a streamer, by one witness; times by this controller's clock."""

    who: str
    run: int  # of the witness: what an earlier run of it saw is gone with the next
    started: int  # as its list says, ns since 1970; 0: long ago
    since: int  # it was seen to run from then
    last: int  # until then
    ill: int  # when it was seen to fail; 0: not since it last ran
    use: int  # what is asked of its link, in hundredths of what that gives


class Known:
    def __init__(self, me, run, now, cold_for=0):
        self.me, self.run, self.cold_for = me, run, cold_for
        self.seen = {}  # address -> {who: Seen}
        self.out, self.asks, self.answers = [], {}, set()  # asks: member -> when; answers: who has answered
        self.tell_at, self.ask_at, self.told, self.handed = now, now, 0, []
        self.asking = True  # until ENOUGH have answered, or its return is over
        self.handed_out = 0

    # What this controller saw, and kept.

    def saw(self, now, rows):
        """Own sight, now and then: [(address, started, last, ill, use)], `ill` when it was last seen to fail,
        0: not since it ran."""
        for address, started, last, ill, use in rows:
            was = self.seen.get(address, {}).get(self.me)
            same = was and was.run == self.run and was.started == started and not ill
            self._put(address, Seen(self.me, self.run, started, was.since if same else last, last, ill, use))
        self._fade(now)

    def keeps(self, now, wall):
        """What of its own sight is worth keeping: [[address, started, ns it ran, last, use]], `last` in ns
        since 1970 where `wall` is now."""
        mine = [(a, by[self.me]) for a, by in sorted(self.seen.items()) if self.me in by]
        return [
            [a, s.started, s.last - s.since, wall - (now - s.last), s.use]
            for a, s in mine
            if s.run == self.run and not s.ill
        ]

    def restore(self, now, wall, rows):
        """What an earlier run kept; what is too old, or lies ahead as a clock was set, is nothing."""
        for address, started, ran, last, use in rows:
            if 0 <= wall - last <= KEPT:
                at = now - (wall - last)
                self._put(address, Seen("", 0, started, at - ran, at, 0, use))

    def _put(self, address, one):
        by = self.seen.setdefault(address, {})
        by[one.who] = one
        while len(by) > WITNESSES:
            del by[min(by, key=lambda who: max(by[who].last, by[who].ill))]

    def _fade(self, now):
        for address, by in list(self.seen.items()):
            for who, s in list(by.items()):
                if now - max(s.last, s.ill) > (FADES if who else KEPT):
                    del by[who]
            if not by:
                del self.seen[address]

    # What others say.

    def next_at(self):
        return min(self.tell_at, self.ask_at) if self.asking else self.tell_at

    def tick(self, now, alive):
        """`alive`: the members that are there."""
        if self.asking and now >= self.ask_at:
            self._ask(now, alive)
        if now >= self.tell_at:
            self.tell_at = now + TELL
            self._fade(now)
            if alive and self.seen:
                self.told += 1
                to = alive[zlib.crc32(b"%d" % self.told, zlib.crc32(self.me.encode())) % len(alive)]
                self.out.append((to, self._knows(now, self._some())))

    def _some(self):
        """The next PIECE addresses, in turn."""
        addresses = sorted(self.seen)
        first = self.told * PIECE % len(addresses)
        return (addresses[first:] + addresses[:first])[:PIECE]

    def _ask(self, now, alive):
        self.ask_at = now + ASK
        order = in_own_order(alive, f"{self.me}/")
        left = [n for n in order if n not in self.asks] or [n for n in order if n not in self.answers]
        if left:
            self.asks[left[0]] = now
            self.out.append((left[0], AskKnown()))

    def asked(self, now, sender):
        """One answer, if this second has room for it; who gets none asks somebody else."""
        self.handed = [at for at in self.handed if now - at < SECOND]
        if len(self.handed) < HANDS and self.seen:
            self.handed.append(now)
            self.handed_out += 1
            self.out.append((sender, self._knows(now, list(self.seen), answers=True)))

    def _knows(self, now, addresses, answers=False):
        facts = []
        for address in addresses:
            by = self.seen[address]
            some = by.values() if answers else [max(by.values(), key=lambda s: max(s.last, s.ill))]
            facts += [
                Fact(
                    address,
                    s.who,
                    s.run,
                    s.started,
                    (s.last - s.since) // MS,
                    (now - s.last) // MS,
                    (now - s.ill) // MS if s.ill else -1,
                    s.use,
                )
                for s in some
                if s.who
            ]
        return Knows(facts, answers)

    def heard(self, now, sender, m, runs):
        """`runs`: member -> its present run. Ages of an answer count from the question; of another word
        nobody can tell how long it was on its way, which the sameness of the start bears."""
        at = now
        if m.answers:
            if sender not in self.asks or sender in self.answers:
                return
            at = self.asks[sender]
            self.answers.add(sender)
            self.asking = len(self.answers) < ENOUGH
        for f in m.facts:
            if f.who == self.me or runs.get(f.who) != f.run or min(f.ran, f.ago) < 0:
                continue
            last = at - f.ago * MS
            was = self.seen.get(f.address, {}).get(f.who)
            if was and was.run == f.run and max(was.last, was.ill) >= last:
                continue
            ill = at - f.ill * MS if f.ill >= 0 else 0
            if now - max(last, ill) <= FADES:
                self._put(f.address, Seen(f.who, f.run, f.started, last - f.ran * MS, last, ill, f.use))

    # What is proven by it.

    def proven(self, now, started, here):
        """{address: hundredths of its link that were asked} of streamers proven warm. `started`: address ->
        start in ns since 1970 as the list of this run has it, 0: long ago; `here(ns since 1970)`: the same
        start as this machine's list would say it, which is 0 for all that lies before its own."""
        out = {}
        for address, start in started.items():
            by = self.seen.get(address, {}).values()
            well = [
                s for s in by if here(s.started) == start and not s.ill and s.last - s.since >= self.cold_for
            ]
            if not well:
                continue
            latest = max(well, key=lambda s: s.last)
            if sum(s.ill > latest.last for s in by) < ILL:
                out[address] = latest.use
        return out
