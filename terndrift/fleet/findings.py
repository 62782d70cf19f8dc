"""What each has found of streamers that fail, used by all: one controller at a time tries such a streamer,
and what it finds is spread. Free of I/O.

A row tells of one streamer: how many have it set aside, ms since it last failed there, since the first of
them set it aside, since it last came to play (-1: never), of how many it seems dead and not only to err, and
how many set-ups failed and played there of late, since it was set aside. Rows ride on the words of load
(load.py), merged on the way. Two that have it set aside, and MANY times as many failures as set-ups that
played, make it **found ill**: from then on it is tried by one controller at a time, in turns that double
from LEAST to MOST; the others leave it out. Whose turn it is follows from the names, the streamer and the
number of the turn alone, so nobody has to be told; who is dead, cut off or has no viewer for it loses only
that turn. Where the times that members reckon are apart two turns may overlap: two try it then.

Guards against a streamer that errs for everybody and costs each controller a try again and again; of which
most are second tries of somebody. Could do harm where two controllers alone can't reach what all others can:
then what plays at the others says otherwise. Under overload some are late and some play: that is no streamer
that fails for all (seen: by the younger of failure and success alone all 24 of a day were found ill at
once)."""

import zlib
from collections import deque

MS = 1_000_000
SECOND = 1000 * MS
LEAST, MOST = SECOND, 8 * SECOND  # as the module's own trickle
ENOUGH = 2  # of them: one alone may be cut off itself
FADES = 30 * SECOND  # nobody failed there for so long: it is forgotten, as a failure of the past
LATELY = 10 * SECOND  # counts are of: a whole turn and what came before it
MANY = 4  # one set-up that was on its way as it began to fail must not say that it is well
ROWS = 10  # in a word; the youngest failures first
MOST_COUNTED = 32  # failures and set-ups that played, of one streamer at one controller
BY, ILL, SINCE, WELL, DEAD, FAILED, PLAYED = range(7)


def merged(tables):
    """One table of several, ages in ms."""
    out = {}
    for table in tables:
        for address, row in table.items():
            was = out.get(address)
            out[address] = (
                list(row)
                if was is None
                else [
                    was[BY] + row[BY],
                    _younger(was[ILL], row[ILL]),
                    max(was[SINCE], row[SINCE]),
                    _younger(was[WELL], row[WELL]),
                    *(a + b for a, b in zip(was[DEAD:], row[DEAD:], strict=True)),
                ]
            )
    return dict(sorted(out.items(), key=lambda x: (x[1][ILL] < 0, x[1][ILL], x[0]))[:ROWS])


def _younger(a, b):
    return max(a, b) if min(a, b) < 0 else min(a, b)


def older(table, ms):
    """The same, so much later."""
    return {
        address: [row[BY], *(age if age < 0 else age + ms for age in row[ILL:DEAD]), *row[DEAD:]]
        for address, row in table.items()
    }


def sound(table, members):
    return len(table) <= ROWS and all(
        len(row) == 7
        and 0 <= row[DEAD] <= row[BY] <= members
        and min(row[SINCE], *row[FAILED:]) >= 0
        and min(row[ILL], row[WELL]) >= -1
        and max(row[FAILED:]) <= MOST_COUNTED * members
        for row in table.values()
    )


class Own:
    """What this controller found by its own set-ups."""

    def __init__(self):
        self.ill, self.well = {}, {}  # address -> when set-ups failed and played there, the last ones
        self.since, self.tried = {}, {}  # address -> when

    def failed(self, now, address):
        self.ill.setdefault(address, deque(maxlen=MOST_COUNTED)).append(now)

    def plays(self, now, address):
        self.well.setdefault(address, deque(maxlen=MOST_COUNTED)).append(now)

    def tries(self, now, address):
        self.tried[address] = now

    def table(self, now, aside, told):
        """`aside`: address that the decisions have set aside now -> whether it seems dead; `told`: the rows
        of all, of half a second ago."""
        for kept in (self.ill, self.well):
            for address in [a for a, times in kept.items() if now - times[-1] > FADES]:
                del kept[address]
        self.tried = {a: at for a, at in self.tried.items() if now - at <= FADES}
        self.since = {a: self.since.get(a, now) for a in aside if a in self.ill}
        out = {}
        for address in {*self.since, *(a for a in self.well if a in self.ill or a in told and told[a][BY])}:
            since = told[address][SINCE] * MS if address in told else 0
            since = max(since, now - self.since.get(address, now))
            by = int(address in self.since)
            out[address] = [
                by,
                self._ago(now, self.ill, address),
                _ms(now - self.since.get(address, now)),
                self._ago(now, self.well, address),
                int(by and aside[address]),
                *(
                    sum(now - at <= min(since, LATELY) for at in kept.get(address, ()))
                    for kept in (self.ill, self.well)
                ),
            ]
        return merged([out])

    @staticmethod
    def _ago(now, kept, address):
        return _ms(now - kept[address][-1]) if address in kept else -1


def _ms(ns):
    return ns // MS


def turn(since):
    """(number of the turn that runs, ns that it has run) so long after the first set it
    aside."""
    n, lasts = 0, LEAST
    while lasts < MOST and since >= lasts:
        n, since, lasts = n + 1, since - lasts, lasts * 2
    return n + since // lasts, since % lasts


def prober(address, number, there):
    """Whose turn that is."""
    return min(there, key=lambda name: zlib.crc32(f"{address}/{number}/{name}".encode()) * 2654435761 % 2**32)


def judged(now, me, table, there, tried):
    """What is made of it at one controller: address -> True: it may be tried now, False: others try it,
    None: the same, and it seems dead. `table`: of all, as of now; `there`: names, this one among them;
    `tried`: address -> when it was last tried here."""
    out = {}
    for address, (by, ill, since, well, dead, failures, played) in table.items():
        if well >= 0 and (ill < 0 or well < ill):
            out[address] = True
        elif by >= ENOUGH and 0 <= ill * MS <= FADES and MANY * played <= failures:
            number, ran = turn(since * MS)
            may = prober(address, number, there) == me and tried.get(address, -FADES) < now - ran
            out[address] = None if not may and dead >= ENOUGH else may
    return out
