"""What plays, as a front sees it: by the name in its path, when it was last heard of, when it is over.

Which rung a request gets, and when a silent playback is over, is decided here; free of I/O and clocks.
"""

from collections import OrderedDict

SECOND = 1_000_000_000
# Requests of one playback that may be under way at once: a segment, the next one, and a playlist. Guards the
# relay against a player that opens many; could harm one that fetches sound and picture apart.
MOST_OUT = 4
# A paused player (CMCD pr=0) asks for nothing and is still there: it is given so many times the silence.
PAUSED = 10
# How long the name of what is over is remembered, so that a late request is told 410 and not 404.
REMEMBER = 30 * SECOND


class Seat:
    def __init__(self, name, playback, segments, now):
        self.name, self.playback, self.segments = name, playback, segments
        self.heard, self.paused, self.out = now, False, 0
        self.furthest = -1  # the highest segment delivered whole
        self.over_at = None


class Seats:
    def __init__(self, idle, room):
        self.idle, self.room = idle, room
        self.seats = OrderedDict()  # name -> Seat

    def add(self, now, name, playback, segments):
        seat = self.seats[name] = Seat(name, playback, segments, now)
        return seat

    def full(self):
        return len(self.seats) >= self.room

    def heard(self, now, seat, hints):
        seat.heard = now
        if (pr := hints.get("pr")) is not None:
            seat.paused = pr == 0

    @staticmethod
    def rung(seat, floor, asked):
        """What a request gets: no more than the rung in force, no less than the plan's floor."""
        return max(floor, min(asked, seat.playback.rung))

    @staticmethod
    def delivered(seat, number):
        """True once the last segment is through: the playback has played out."""
        seat.furthest = max(seat.furthest, number)
        return seat.furthest >= seat.segments - 1

    def over(self, now, seat):
        if seat.over_at is None:
            seat.over_at = now

    def silent(self, now):
        """Seats whose viewers have gone without a word; and forgets those over for long."""
        gone = []
        for seat in list(self.seats.values()):
            if seat.over_at is not None:
                if now - seat.over_at >= REMEMBER:
                    del self.seats[seat.name]
            elif not seat.out and now - seat.heard >= self.idle * (PAUSED if seat.paused else 1):
                gone.append(seat)
        return gone
