"""The decisions of a session front: which streamer sets a playback up, at which rung, or not at all.

One `Controller` a front, called with what its host hears: see `terndrift/interface.py`, docs/design.md."""

import heapq
import zlib
from collections import deque
from dataclasses import replace
from statistics import fmean, pstdev

from .interface import Ending, Standing, State

MS, SECOND = 1_000_000, 1_000_000_000
MARK = 0.9  # DESIGN's mark: links and uplinks are filled to nine tenths

FINAL = (State.REJECTED, State.ABORTED, State.ENDED)
FAULTS = (Ending.SILENT, Ending.UNREACHED, Ending.BROKEN)  # of a streamer, whatever was asked of it
ROUTES = {  # the only changes of state there are
    State.HELD: (State.TRYING, State.PLAYING, State.REJECTED, State.ABORTED, State.ENDED),
    State.TRYING: (State.HELD, State.PLAYING, State.ABORTED, State.ENDED),
    State.PLAYING: (State.ENDED,),
}


class Rack:
    """Streamers behind one uplink, and what is asked of that uplink."""

    def __init__(self, told):
        self.told, self.streamers = told, []
        self.heard = None  # (time, what others asked of its uplink): the last report, if that says most
        self.seen = deque(maxlen=4)  # (time, what its uplink gave, kB a second): corrections
        self.raised, self.lowered = 0, 0  # when own ones there last rose, or might have by chance; were cut
        self.known = ()  # (time, of when, what is asked), until something is heard or seated

    def limit(self, now):
        gave = fmean(kb for _, kb in self.seen) if self.seen else self.told
        # back to the told one, 4% a second: a trouble ends unannounced, a jump would overrun a small uplink
        if gave < self.told:
            gave = min(self.told, gave * (1 + 0.04 * self.settled(now) / SECOND))
        return min(max(gave, self.told / 8), self.told * 2)

    def settled(self, now):  # for how long no correction has come
        return now - self.seen[-1][0] if self.seen else now

    def own(self, at=None):
        return sum(s.own(at) for s in self.streamers)

    def asked(self, now, at=None):
        if at is None and self.heard and now - self.heard[0] < 5 * SECOND:
            return self.heard[1] + self.own()
        if self.known[:2] != (now, at):
            # what a link cannot carry does not reach the uplink: one that slows reports many times its due
            self.known = now, at, sum([min(s.asked(now, at), s.full) for s in self.streamers])
        return self.known[2]


class Streamer:
    def __init__(self, listed, rack, deployment, typical):
        self.listed, self.rack, self.d = listed, rack, deployment
        self.playbacks = {}  # playback -> None, in order; set-ups out included
        self.asks = deque([(0, 0.0)], maxlen=64)  # (time, own link demand from then on)
        self.typical = typical  # what others ask of a streamer on the average, in a list that all share
        self.heard = deque(maxlen=2)  # (time, what others asked of its link): the last reports
        self.shares = deque(maxlen=2)  # (time, share) of the last notes on delivery
        self.gap, self.next_try = 0, 0  # least time between set-ups while set aside (0: trusted); the next
        self.down = None  # when seen to fail: it may come back cold before the list says so
        self.slot, self.reported = None, None  # the last turn used while it is cold; the last report
        self.raised, self.lowered, self.scale = 0, 0, 0.0  # as a rack's; scale of own playbacks, together
        self.streamers = (self,)  # behind its link, as a rack has those behind its uplink
        self.relist(listed)
        rack.streamers.append(self)

    def relist(self, listed):
        self.listed, weight = listed, listed.weight
        self.full = max(1.0, self.d.links.unit_kb * (weight if 0.01 < weight < 100 else 1.0))
        self.rack.known, places = (), self.d.links.places
        self.places = places.get(listed.kind) or min(places.values(), default=8)

    def limit(self, now=0):
        return self.full

    def own(self, at=None):
        return self.asks[-1][1] if at is None else next((kb for t, kb in reversed(self.asks) if t <= at), 0.0)

    def others(self, now):
        """The blend: the last reports fade, in 15 s, into what others usually ask of a streamer here.
        Guards against a streamer shut out for good by the last thing that was heard of it."""
        if self.listed.standing is Standing.GONE or self.down is not None:
            return 0.0  # what is gone carries nothing of its rack's uplink
        if not (heard := self.heard):
            return self.typical[0]
        old = min(1.0, (now - heard[-1][0]) / (15 * SECOND))
        return (1 - old) * ((heard[0][1] + heard[-1][1]) / 2) + old * self.typical[0]

    def asked(self, now, at=None):
        return self.others(now) + (self.asks[-1][1] if at is None else self.own(at))

    def use(self, now):
        return self.asked(now) / self.full

    def mates(self, pb):
        """Own viewers there of the same live title: they share a stream for each rung."""
        there = self.playbacks if pb.plan.adds < 1 else ()
        return [p for p in there if p.title == pb.title and p.plan is pb.plan]

    def stuck(self, now):
        """Delivers next to nothing though its link has room, and its rack's other streamers deliver."""
        # half: less than a weak uplink was ever seen to give while its neighbours went on well
        short = bool(self.shares) and self.shares[-1][1] < 0.5 and now - self.shares[-1][0] < 3 * SECOND
        return short and self.use(now) < 0.97 and not self.mates_short(now)

    def mates_short(self, now):
        """A weak uplink starves all of its rack alike: at least half of those with own playbacks. With none
        there to tell, the uplink is blamed: where a front is seldom twice in a rack, nobody else cuts."""
        if not (mates := [m for m in self.rack.streamers if m is not self and m.playbacks]):
            return self.shares[-1][1] >= 0.5
        late = [m.shares[-1] for m in mates if m.shares]
        return 2 * sum(share < 0.98 and now - t < 3 * SECOND for t, share in late) >= len(mates)


class Playback:
    def __init__(self, id, plan, title, top, due, luck):
        self.id, self.plan, self.title, self.top, self.due = id, plan, title, top, due
        self.luck = luck  # where it stands, 0 to 1, among those that get the next rung by chance
        self.state, self.streamer, self.rung, self.hold_until = State.HELD, None, plan.floor, due
        self.trail, self.tries, self.time_out, self.come_back = [], 0, 0, 0  # trail: streamers tried already
        self.since, self.stepped, self.ends = 0, 0, 0  # changes of state, of rung; likely end
        self.may_have_run, self.out = False, False  # out: a set-up, or what plays from it

    def spoilt(self):
        return self.may_have_run and not self.plan.repeatable


class Controller:
    def __init__(self, deployment, now):
        self.d, self.born, self.began_empty = deployment, now, True  # empty: may be back with an old list
        self.streamers, self.racks, self.playbacks = {}, {}, {}
        self.open, self.stale, self.changed = {}, {}, {}  # held or trying, in order; racks with news; changed
        self.seeded = zlib.crc32(b"%d:" % deployment.seed)
        self.cells, self.places = {}, 0  # cell -> its streamers, with their place in the list
        self.gone, self.counts = {}, {}  # streamer -> since when; -> set-ups since the server list changed
        self.used, self.heard, self.typical = {}, {}, [0.0]  # streamers with own playbacks; told of
        self.live = any(plan.adds < 1 for plan in deployment.plans.values())
        self.played, self.jam = set(), {}  # titles that came to play; asked for -> when last without a place
        self.proven, self.turn = set(), (deployment.rank, deployment.controllers)  # warm all along; cold turn
        self.taken, self.extra = deque(maxlen=10**5), deque(maxlen=10**5)  # times of those taken, later tries
        self.recent = deque([now], maxlen=16)  # times of the last playbacks taken, and of the start
        self.answers = deque([200 * MS], maxlen=32)  # how long set-ups took; a start until some are known
        self.lives = deque(maxlen=64)  # how long playbacks played
        self.lent, self.told, self.left = None, (), ()  # what a fleet allows and found: limits
        self.draws, self.usual_kb, self.wake_at, self.next_scan = 0, 1.0, None, 0
        self.advice = min(SECOND, deployment.rules.longest_advice)  # as viewers pause; less is the same jam
        self.list_calls, self.list_gap, within = 0, 0, deployment.rules.list_within
        # by rank: many start at once, and one service answers all
        self.list_at = now + within // 4 * deployment.rank // deployment.controllers if within else None

    def list_changed(self, now, entries, whole, old):
        self.counts.clear()  # the paper's reset: a newcomer must not draw all until its count catches up
        self.list_gap, listed = 0, {e.id for e in entries}
        if whole:
            off = [s.listed for id, s in self.streamers.items() if id not in listed]
            entries = [replace(e, standing=Standing.GONE) for e in off] + list(entries)
        for e in entries:
            if (s := self.streamers.get(e.id)) is None:
                rack = self.racks.setdefault(e.rack, Rack(self.d.links.uplink_kb))
                s = self.streamers[e.id] = Streamer(e, rack, self.d, self.typical)
                s.place = self.places = self.places + 1
            self.cells.get(s.listed.cell, {}).pop(s.place, None)
            self.cells.setdefault(e.cell, {})[s.place] = s
            if e.started != s.listed.started:
                s.down, s.slot = None, None
                s.heard.clear()
            s.relist(e)
            self.gone.setdefault(s, now) if e.standing is Standing.GONE else self.gone.pop(s, None)
        # long gone and half of all: forgotten, oldest first. Guards memory against a list of ever new names;
        # could harm where one comes back cold under an old start, hence `cold_for`
        while len(self.gone) > 64 + len(self.streamers) // 2:
            s, since = next(iter(self.gone.items()))
            if now - since < self.d.rules.cold_for:
                break
            del self.gone[s]
            if s.playbacks:
                self.gone[s] = now
            else:
                del self.streamers[s.listed.id], self.cells[s.listed.cell][s.place]
                s.rack.streamers.remove(s)
                self.heard.pop(s, None)
        return self.wake(now)

    def among(self, now, controllers, turn, warm=()):
        """What a fleet settles and knows. Guards a restart against a whole warm-up of streamers that have run
        all along; could do harm where the list and who saw them run are wrong together."""
        self.d, self.turn = replace(self.d, controllers=controllers), turn
        self.proven |= {self.streamers[id] for id in warm if id in self.streamers}
        return self.wake(now)

    def limits(self, now, extra, found, advice):
        """What all together allow and found. Guards against second tries that add up, and all finding out
        what two know already; could harm where these two alone can't reach a streamer."""
        self.lent, self.told = extra, advice
        self.left = {self.streamers.get(id) for id, may in found.items() if not may}
        for s, may in [(self.streamers[i], may) for i, may in found.items() if i in self.streamers]:
            s.next_try = min(s.next_try, now) if may else s.next_try
            s.down = now if may is None and s.down is None else s.down  # it may come back cold
        return self.wake(now) if self.open else []

    def list_failed(self, now):
        """The call for the list failed, or what it began broke off. Guards against a list held for good; the
        pause doubles, by chance, so that many do not ask a service that is out of reach in step."""
        if within := self.d.rules.list_within:  # a failed call has four times as long: several fit in
            self.list_gap = min(max(SECOND, 2 * self.list_gap), max(SECOND, within // 2))
            self.list_at = now + int(self.list_gap * (0.5 + self._chance()))
        return self.wake(now)

    def wanted(self, now, id, plan, title, cells, top, time_left, hint, moved, rates=None):
        pb = self._take(now, id, plan, title, cells, top, time_left, hint, rates)
        self.taken.append(now)
        self._extra_left(now)  # so that old times go where second tries, which look, are rare
        self.recent.append(now)
        pb.hold_until = min(now + 2 * SECOND, pb.due)  # DESIGN's brief hold
        if pb.rung > top or time_left <= 0:
            self._reject(now, pb)
        return self.wake(now, pb)

    def handed_over(self, now, id, plan, title, cells, top, time_left, hint, moved, streamer):
        self.began_empty, pb = False, self._take(now, id, plan, title, cells, top, time_left, hint)
        pb.tries, pb.streamer = 1, self.streamers.get(streamer)
        pb.out = pb.streamer is not None  # one listed nowhere: nothing can be said of it
        self._turn(now, pb, State.PLAYING if pb.out else State.ENDED)
        if pb.out:
            pb.streamer.playbacks[pb] = self.stale[pb.streamer.rack] = None
            self._note_own(now, pb.streamer)
        return self.wake(now)

    def playing(self, now, id, took):
        if (pb := self.playbacks.get(id)) and pb.state is State.TRYING:
            self.answers.append(took)
            self._well(now, pb.streamer)
            self._turn(now, pb, State.PLAYING)
        return self.wake(now)

    def try_ended(self, now, id, ending, took, finished, streamer, report):
        pb, s = self.playbacks.get(id), self.streamers.get(streamer)
        # the same again is no news: a report may stand still for seconds, and would drown the notes
        if s and report and report != s.reported:
            s.reported = report
            self._hear(now, s, report.get("link"), report.get("uplink"), True)
        if pb is None or not pb.out:
            return self.wake(now)
        pb.out, trying = False, pb.state is State.TRYING
        del pb.streamer.playbacks[pb]
        self._note_own(now, pb.streamer)
        pb.may_have_run |= trying and ending.may_have_run
        # an error over a title that never played is the title's: guards against requests for what nobody
        # holds; could harm while a streamer errs at all that is new
        if ending in FAULTS or ending is Ending.ERRED and pb.title in self.played:
            self._badly(now, pb.streamer, ending)
        if pb.state in FINAL:
            self.playbacks.pop(id)
        elif finished:
            if pb.state is State.PLAYING and ending is Ending.PLAYED_OUT:
                self.lives.append(now - pb.since)
            self._turn(now, pb, State.ENDED)
        elif trying:
            self._turn(now, pb, State.ABORTED if pb.spoilt() else State.HELD)  # spoilt: it is not sent again
        return self.wake(now, pb)

    def holders_changed(self, now, id, cells):
        if (pb := self.playbacks.get(id)) and pb.state in (State.HELD, State.TRYING):
            pb.cells = cells
        return self.wake(now, pb)

    def told_rung(self, now, id, rung):
        if (pb := self.playbacks.get(id)) and pb.streamer and 0 <= rung < len(self.d.ladder.rates):
            pb.rung = int(rung)
            self._note_own(now, pb.streamer)
        return []

    def told_use(self, now, id, streamer, link, uplink):
        pb, s = self.playbacks.get(id), self.streamers.get(streamer)
        if s:  # told at a set-up (so in the same batch, or the next) it is of now; later it is of the past
            self._hear(now, s, link, uplink, pb is not None and now - pb.since < 50 * MS)
        return self.wake(now)

    def told_share(self, now, streamer, share):
        if (s := self.streamers.get(streamer)) and share is not None and 0 <= share <= 1:
            self._delivered(now, s, share)
        return self.wake(now)

    def viewer_left(self, now, id):
        if (pb := self.playbacks.get(id)) and pb.state not in FINAL:
            self._turn(now, pb, State.ENDED)
        return self.wake(now)

    probe_answer = peer_message = lambda self, now, *_: []  # none are asked for, so none are expected

    def _take(self, now, id, plan, title, cells, top, time_left, hint, rates=None):
        luck, due, top = self._chance(), now + time_left, min(top, len(self.d.ladder.rates) - 1)
        pb = self.playbacks[id] = Playback(id, self.d.plans[plan], title, top, due, luck)
        pb.cells, pb.rates = cells, [kb * pb.plan.scale for kb in rates or self.d.ladder.rates]
        pb.steps, pb.ends, self.open[pb] = self._steps(pb.plan, pb.rates), now + hint if hint else 0, None
        return pb

    def _turn(self, now, pb, state):
        """Every change of a playback's state."""
        assert state in ROUTES.get(pb.state, ()), f"{pb.state} to {state}"
        pb.state, pb.since = state, now
        if state not in (State.HELD, State.TRYING):
            self.open.pop(pb, None)
        if state is State.PLAYING:
            self.played = self.played if len(self.played) <= 4096 else set()  # bounds memory
            self.played.add(pb.title)
        if state in FINAL and not pb.out:
            self.playbacks.pop(pb.id)
        if state is not State.ENDED:
            self.changed[pb] = None

    def _reject(self, now, pb):
        """Rejecting is the last word only where nothing can have run; otherwise the playback aborts."""
        pb.come_back = self.told[int(pb.luck * len(self.told))] if self.told else self.advice
        self._turn(now, pb, State.ABORTED if pb.spoilt() else State.REJECTED)
        return True

    def wake(self, now, pb=None):
        """Give held playbacks their next try or their answer, and say when to be called again."""
        if due := now >= self.next_scan:
            self.next_scan = now + 50 * MS
            self._average()
            for rack in self.stale:
                self._companion(now, rack)
            self.stale.clear()
        tries = 32  # a scan's, every 50 ms, to bound the work of a long queue; the tried go to its end
        for p in list(self.open if due else {pb} & self.open.keys()):
            if p.state is State.TRYING and now >= p.due:  # still out at the abandon time
                self._turn(now, p, State.ABORTED)
            elif p.state is State.HELD and (tries > 0 or now >= p.hold_until):
                tries -= 1
                self.open[p] = self.open.pop(p)
                if not self._place(now, p) and now >= p.hold_until:
                    self._reject(now, p)
        if self.list_at is not None and now >= self.list_at:
            self.list_calls, self.list_at = self.list_calls + 1, None
        self.wake_at = self.next_scan if self.open or self.stale else self.list_at
        changed, self.changed = self.changed, {}
        return list(changed)

    def _place(self, now, pb):
        """The least-loaded holder off the trail, at the companion's rung; False: hold."""
        plan, rules = pb.plan, self.d.rules
        if pb.tries >= rules.try_limit or pb.due - now < 20 * MS:
            return self._reject(now, pb)
        # of equal ones that were never tried only the first is looked at in one moment: guards the loop
        # against a long queue with no room, whatever fills it
        alike = None if pb.trail else (plan.name, pb.title if plan.seats else None, pb.cells, pb.rates[0])
        if alike and self.jam.get(alike) == now:
            return False
        # of very many holders some, by chance, and all if none of them will do: the least loaded of 256 is as
        # good as that of thousands, and the loop is not held. Could harm where only a few of them have room
        n = len(pb.cells) // 256
        some = list(pb.cells)[int(self._chance() * n) :: n] if n > 1 else pb.cells
        if not (fresh := self._fresh(pb, some) or self._fresh(pb, pb.cells)):
            return self._reject(now, pb)  # every holder is on the trail, or left to others
        self.jam[alike] = now  # until something is sent
        if plan.seats and self.seated(plan, pb.title) >= plan.seats or pb.tries and not self._extra_left(now):
            return False
        able = [s for s in fresh if now >= s.next_try and self._cold_turn(now, s, len(fresh))]
        if not plan.repeatable:
            able = [s for s in able if not s.gap] or able
        order = self._order(now, able, pb)
        for s in order:
            if (rung := self._rung(now, pb, s)) is not None:
                return self._send(now, pb, s, rung)
        for s in order:
            # DESIGN looks at the link alone here; an uplink that was measured full would starve them all
            lines = [s, s.rack] if s.rack.settled(now) < 5 * SECOND else [s]
            if all(at.asked(now) + pb.rates[plan.floor] <= at.limit(now) for at in lines):
                return self._send(now, pb, s, plan.floor)
        for s in {s.rack: s for s in reversed(order)}.values():  # of each rack the least loaded
            if (rung := self._yielded(now, pb, s)) is not None:
                return self._send(now, pb, s, rung)
        return False

    def _yielded(self, now, pb, s):
        """For a newcomer without room own playbacks above their fair rung go down, so that no more is asked
        of link and uplink; its rung, None if they can't. Guards against a fleet that turns all away where
        links are full and not yet cut. Could harm where reports overstate what is asked."""
        need = pb.rates[pb.plan.floor]
        # one of a live title frees nothing while others watch its stream
        own = [p for m in s.rack.streamers for p in m.playbacks if p.plan.adds == 1]
        if sum([p.rates[p.rung] - p.rates[p.plan.floor] for p in own]) < need:
            return None
        rungs, at = self._fair(now, s.rack, pb, s, True), s if s.asked(now) + need > s.limit() else s.rack
        over = {
            p: p.rates[p.rung] - p.rates[rungs[p]]
            for p in own
            if p.streamer in at.streamers and p.state is State.PLAYING and p.rung > rungs[p]
        }
        if sum(over.values()) < need:
            return None
        freed = 0.0
        for p in sorted(over, key=over.get, reverse=True):
            if freed < need:
                freed += over[p]
                self._step(now, p, rungs[p])
        most = freed if at is s else min(freed, s.limit() - s.asked(now))
        return max(r for r in range(pb.plan.floor, rungs[pb] + 1) if pb.rates[r] <= most)

    def _fresh(self, pb, cells):
        holders = sorted([x for c in cells for x in self.cells.get(c, {}).items() if x[1] not in self.left])
        return [s for _, s in holders if s.listed.standing is Standing.READY and s not in pb.trail]

    def _order(self, now, able, pb):
        # workload, then set-up counts among near ties; 0.05 is the noise of the reports
        use, live, counts = {s: s.use(now) for s in able}, pb.plan.adds < 1, self.counts
        tie = min(use.values(), default=0.0) + 0.05
        # least load scatters a live title's viewers, and no stream is shared (DESIGN's first doubt): own ones
        # gather, near ties go by the title everywhere. Could harm where few titles have nearly all viewers
        if live:
            title = zlib.crc32(pb.title.encode())
            counts = {s: zlib.crc32(b"%d" % s.listed.id, title) * 2654435761 % 2**32 for s in able}
        order = sorted(able, key=lambda s: (max(use[s], tie), counts.get(s, 0), use[s], self._chance()))
        return sorted(order, key=lambda s: not s.mates(pb)) if live else order

    def seated(self, plan, title):
        return sum(p.out and p.plan is plan and p.title == title for p in self.playbacks.values())

    def _send(self, now, pb, s, rung):
        pb.tries += 1
        if pb.tries > 1:
            self.extra.append(now)
            self.lent = self.lent and self.lent - 1
        pb.streamer, pb.rung, pb.out, pb.time_out = s, rung, True, pb.due - now
        pb.trail.append(s)
        if pb.plan.repeatable:  # room for a second try before the startup target. How long a silence is still
            # usual: six spreads over the mean, as the tail is long and cut off
            usual = int(max(fmean(self.answers) + 6 * pstdev(self.answers), 250 * MS))
            pb.time_out = min(pb.time_out, usual, pb.plan.startup_target // 2)
        self.counts[s] = self.counts.get(s, 0) + 1
        s.next_try, s.slot = now + s.gap, self._slot(now, s)
        self._turn(now, pb, State.TRYING)
        s.playbacks[pb] = None
        self._note_own(now, s)
        return True

    def _extra_left(self, now):
        rules, most = self.d.rules, self.d.rules.extra_tries
        for times in (self.taken, self.extra):
            while times and times[0] <= now - rules.extra_window:
                times.popleft()
        return self.lent != 0 and (
            most is None or len(self.extra) + 1 <= most + rules.extra_share * len(self.taken)
        )

    def _badly(self, now, s, ending):
        """Set aside: guards against streamers that err at once (and look idle), hang or are gone."""
        # from 1 s, doubling to 8 s: a handful of tries lost in the longest trouble
        s.gap = min(8 * SECOND, max(SECOND, 2 * s.gap))
        s.next_try = now + s.gap
        if ending is not Ending.ERRED and s.down is None:
            s.down, s.slot, s.rack.known = now, None, ()

    def _well(self, now, s):
        s.gap = s.gap // 2 if s.gap > SECOND // 4 else 0
        s.next_try = now + s.gap
        if s.down is not None:  # back before the list said so: its warm-up counts from now
            s.down, s.slot = None, None
            s.relist(replace(s.listed, started=now))

    def _slot(self, now, s):
        """Which set-up of the cold pace is due now, and how far into its turn; None: warm."""
        rules = self.d.rules
        # guards a restart with an old list: any streamer may be new
        start = max(s.listed.started, self.born * (self.began_empty and s not in self.proven))
        if s.down is None and (not start or now - start >= rules.cold_for):
            return None
        x = max(0, now - (start if s.down is None else s.down)) / rules.cold_for
        # the integral of the pace, the least where it failed; warmth rises late, as the ramp is not told
        return s.places * (rules.cold_share * x + (s.down is None) * (1 - rules.cold_share) * x**3 / 3)

    def _cold_turn(self, now, s, choices):
        """Controllers take turns by rank at the cold pace, so that all together stay under the stated
        multiple without a word: a whole turn each where two running into a window fit, else a third."""
        at, rules, (rank, ranks) = self._slot(now, s), self.d.rules, self.turn or (0, 0)
        if at is None or not ranks:
            return at is None
        # set-ups the pace allows in a window, at the least warmth; a tenth of the limit is left unused
        fit = s.places * rules.cold_share * rules.fall_window / rules.cold_for
        limit = 0.9 * rules.fall_multiple * fit
        share = 1 if int(fit) + 2 <= limit else 0.34
        # where playbacks are rare several ranks share a turn, up to a quarter of a playback: room for surges.
        # Where the start is known, no more of them than keep a wave that all see at once within the limit and
        # its spread (two roots of it), as each has a playback for its turn then. Guards idle controllers that
        # a wave reaches; could harm by filling a lone holder slower. A streamer only suspected to be cold is
        # one of many choices. A prime, as ids may be in a row
        turns = (now - self.recent[0] + 5 * SECOND) * fit / rules.fall_window / len(self.recent)
        known = s.down is not None or now - s.listed.started < rules.cold_for
        most = (limit + 2 * limit**0.5) / (int(fit) + 2) if known else ranks
        group = max(1, int(min(0.25 * turns * (1 if known else choices), most, ranks)))
        mine = (int(at) * group + 7919 * s.listed.id - rank) % ranks < group
        return mine and at % 1 < share and (s.slot is None or int(s.slot) != int(at))

    def _hear(self, now, s, link, uplink, fresh):
        """A report: what others ask is what was asked then, less what own playbacks asked then."""
        s.rack.known, at = (), now if fresh else now - self.d.links.lag
        if link is not None and 0 <= link < 100:
            s.heard.append((now, max(0.0, link * s.limit() - s.own(at))))
            self.heard[s] = None
        if uplink is not None and 0.05 < uplink < 100:  # what it gave, by what was asked
            # where most of the rack is unheard, a sum of guesses: there the report stands for what is asked
            rack, late = s.rack, now - 5 * SECOND
            few = 2 * sum(m.heard[-1][0] > late for m in rack.streamers if m.heard) < len(rack.streamers)
            rack.heard = (now, max(0.0, uplink * rack.told - rack.own(at))) if few else None
            rack.seen.append((now, rack.told if few else rack.asked(now, at) / uplink))
        self.stale[s.rack] = None

    def _chance(self):
        self.draws += 1
        # spread by a product: crc32 alone is linear, two seeds would order all their draws alike
        return zlib.crc32(b"%d" % self.draws, self.seeded) * 2654435761 % 2**32 / 2**32

    def _note_own(self, now, s):
        s.rack.known, self.jam = (), {}
        streams = self._streams([(pb, s) for pb in s.playbacks], lambda pb: pb.rung)
        s.asks.append((now, sum([pbs[0].rates[pbs[0].rung] * adds for pbs, _, adds in streams])))
        s.scale = sum([pbs[0].plan.scale * adds for pbs, _, adds in streams])
        self.used.pop(s, None) if not s.playbacks else self.used.setdefault(s)

    def _streams(self, playing, alike):
        """[playbacks, streamer, rates that they ask together]: viewers of a live title share a stream."""
        if not self.live:
            return [((pb,), s, 1.0) for pb, s in playing]
        streams = {}
        for pb, s in playing:
            key = (pb.title, pb.plan.name, alike(pb), s) if pb.plan.adds < 1 else pb
            stream = streams.setdefault(key, [[], s, 1.0 - pb.plan.adds])
            stream[0].append(pb)
            stream[2] += pb.plan.adds
        return list(streams.values())

    def _average(self):
        """Looks at streamers heard of or in use alone: a list may be a hundred times as long."""
        ready, rates = Standing.READY, self.d.ladder.rates
        told = [min(kb, s.full) for s in self.heard if s.listed.standing is ready for _, kb in s.heard]
        used = [s for s in sorted(self.used, key=lambda s: s.place) if s.listed.standing is ready]
        own, scale = sum(s.own() for s in used), sum(s.scale for s in used)
        self.usual_kb = max(own / scale if scale else rates[len(rates) // 2], rates[0])  # unknown: middle
        others = own * (self.d.controllers - 1) / max(1, len(self.streamers) - len(self.gone))
        self.typical[0] = fmean(told or [others])  # until some are told: as this
        for rack in self.racks.values():
            rack.known = ()

    def _delivered(self, now, s, share):
        """A short-delivery note. It corrects the uplink where the link has room and the rack's others
        are short too; where they are not, it is the streamer itself that stands still."""
        before = s.shares[-1][1] if s.shares else 1.0
        s.shares.append((now, share))
        self.stale[s.rack] = None
        if share >= 0.98 or share >= before:
            return  # a share that rises says that the last cut works
        rack, lag = s.rack, self.d.links.lag
        if s.stuck(now):
            self._badly(now, s, Ending.ERRED)
        # notes are smoothed over seconds: what they tell in the 2 s after a correction is the old shortage
        elif s.use(now) < 0.97 and s.mates_short(now) and rack.settled(now) > lag + 2 * SECOND:
            rack.seen = deque([(now, rack.asked(now, now - lag) * max(0.3, share))], maxlen=4)
        elif not self.d.links.told and not s.mates_short(now):
            # no answer tells of the link: guards one that is full and looks idle. Not told of on the average,
            # as only short ones are heard of; could harm where a streamer is slow by itself
            s.heard.append((now, max(0.0, s.full / max(0.3, share) - s.own(now - lag))))

    def _budget(self, now, at, extra):
        """What own playbacks may ask: their part of the mark by number. How many others there are is
        told by what they ask, at the usual rate. Guards against first comers that take all free room."""
        mine = sum([s.scale for s in at.streamers]) + extra
        others = max(0.0, at.asked(now) - at.own()) / self.usual_kb
        return MARK * at.limit(now) * mine / max(mine + others, 1e-9)

    def _fair(self, now, rack, pb=None, s=None, whole=False):
        """The rungs that earn most when all own playbacks of a rack share it, a newcomer included."""
        more = pb.plan.scale * (pb.plan.adds if s.mates(pb) else 1) if pb else 0.0
        room = {at: self._budget(now, at, more * (at in (s, rack))) for at in [rack, *rack.streamers]}
        all_of = [(p, m) for m in rack.streamers for p in m.playbacks] + ([(pb, s)] if pb else [])
        streams = self._streams(all_of, lambda p: p.top)  # whose viewers go up together
        rungs, steps, drawn, free = [pbs[0].plan.floor for pbs, _, _ in streams], [], set(), room[rack]
        for n, (pbs, at, adds) in enumerate(streams):
            p, kb = pbs[0], pbs[0].rates[rungs[n]] * adds
            room[at], free = room[at] - kb, free - kb
            if rungs[n] < p.top:
                steps.append((p.steps[rungs[n]][0] * len(pbs) / adds, n, rungs[n] + 1))
        heapq.heapify(steps)
        while steps and free > 0:
            _, n, rung = steps[0]
            pbs, at, adds = streams[n]
            p, here, kb = pbs[0], room[at], pbs[0].steps[rung - 1][1] * adds
            tight, least = (rack, free) if free < here else (at, here)
            # the first step that does not fit is taken by chance, so that all controllers together fill it
            if kb <= least or tight not in drawn and p.luck * kb < least:
                room[at], free, rungs[n] = room[at] - kb, free - kb, rung
                if rung < p.top:
                    heapq.heapreplace(steps, (p.steps[rung][0] * len(pbs) / adds, n, rung + 1))
                    continue
            else:
                drawn.add(tight)
            heapq.heappop(steps)
            if pb in pbs and not whole:
                break  # its rung is settled, and only it is asked for
        return {p: rung for rung, (pbs, _, _) in zip(rungs, streams, strict=True) for p in pbs}

    def _steps(self, plan, rates):
        """(order, kB) of the step up from each rung: what earns most for a kB goes first."""
        earns = self.d.ladder.revenue
        return [
            (-plan.revenue * (earns[low + 1] - earns[low]) / max(more - kb, 1e-9), more - kb)
            for low, (kb, more) in enumerate(zip(rates, rates[1:], strict=False))
        ]

    def _rung(self, now, pb, s):
        """The highest rung that keeps link and uplink under the mark, and fair to those that play."""
        free = min(MARK * s.full - s.asked(now), MARK * s.rack.limit(now) - s.rack.asked(now))
        joins = [
            p.rung
            for p in s.mates(pb)
            if p.plan.floor <= p.rung <= pb.top and p.rates[p.rung] * p.plan.adds <= free
        ]
        if pb.rates[pb.plan.floor] > free:
            return max(joins) if joins else None
        fair = self._fair(now, s.rack, pb, s)[pb]
        return max([next(r for r in range(fair, -1, -1) if pb.rates[r] <= free), *joins])

    def _companion(self, now, rack):
        """Correct the rungs of what plays, as reports and notes arrive."""
        rungs, known = self._fair(now, rack), rack.settled(now) < 5 * SECOND
        # what is over goes down; of free room each controller takes its part by what it asks, then waits for
        # news. A step over that part is taken by chance, if the uplink is known: else none of many rises
        cut, room, part, ladder, lag = {}, {}, {}, self.d.ladder, self.d.links.lag
        for at in [rack, *rack.streamers]:
            asked, own, limit = at.asked(now), at.own(), at.limit(now)
            # a told uplink is a mean: only one measured lately cuts. A tenth over may be noise of reports,
            # but not where short notes measured it (one sample)
            over = 1.03 if at is rack and len(rack.seen) == 1 else 1.1
            sure = asked > over * limit and (known or at is not rack)
            told = max([t for t, _ in (at.seen if at is rack else at.heard)], default=lag + 1) - lag
            cut[at] = (asked - limit) * own / asked if sure and told > at.lowered else 0.0
            # rises leave a tenth for the next newcomer, but on an uplink known well
            fill = MARK - (0 if at is rack and known else 0.1)
            told = now - 2 * SECOND if at is rack else told
            room[at] = fill * limit - asked if told > at.raised else 0.0
            part[at] = room[at] * (own / asked if known and asked else 1 / self.d.controllers)
        for pb in sorted(rungs, key=lambda pb: rungs[pb] - pb.rung):
            s, fair = pb.streamer, rungs[pb]
            if pb.state is not State.PLAYING or s.stuck(now):
                continue
            if pb.rung > fair and max(cut[s], cut[rack]) > 0:
                kb = pb.rates[pb.rung] - pb.rates[fair]
                for at in (s, rack):
                    at.lowered, cut[at] = now if cut[at] > 0 else at.lowered, cut[at] - kb
                self._step(now, pb, fair)
            # 8 s between steps of one playback keep to the three a minute that the design allows
            elif pb.rung < fair and now - pb.stepped > 8 * SECOND and min(part[s], part[rack]) > 0:
                left = pb.ends - now if pb.ends else fmean(self.lives or [20 * SECOND])
                for rung in range(fair, pb.rung, -1):
                    kb = pb.rates[rung] - pb.rates[pb.rung]
                    gain = ladder.revenue[rung] - ladder.revenue[pb.rung]
                    # it must earn twice what the change costs, as the time left is a guess
                    if kb <= min(room[s], room[rack]) and gain * left > 2 * ladder.switch_cost:
                        odds, s.raised, rack.raised = min(part[s], part[rack]) / kb, now, now
                        part[s], part[rack] = part[s] - kb, part[rack] - kb
                        if odds >= 1 or known and self._chance() < odds:
                            self._step(now, pb, rung)
                        break

    def _step(self, now, pb, rung):
        pb.rung, pb.stepped, self.changed[pb] = rung, now, None
        self._note_own(now, pb.streamer)
