"""The four transaction machines of RFC 3261, section 17, as amended by RFC 6026. No I/O; times in ns.

Each takes what happens (`start`, `received`, `say`, `tick`, `broken`) with the time, and hands back what is
to be done, in order: ("send", message), ("tell", message), ("over", why). `next_at` says when `tick` is next
wanted. "over" comes once, when a machine ends by itself without a final answer having been told: "timeout" or
"transport".
"""

from dataclasses import dataclass
from enum import Enum

from terndrift.sip.message import Message

MS = 1_000_000
SECOND = 1000 * MS


@dataclass(frozen=True)
class Times:
    """T1, T2 and T4 (17.1.1.1): the estimate of a round trip, the longest wait between two sendings, and how
    long a message stays in the network."""

    t1: int = 500 * MS
    t2: int = 4 * SECOND
    t4: int = 5 * SECOND

    @property
    def long(self):
        return 64 * self.t1


class State(Enum):
    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    ACCEPTED = "accepted"  # RFC 6026: a 2xx came or went; it may come or go again
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


S = State
ROUTES = {  # the only changes of state there are
    S.CALLING: (S.PROCEEDING, S.ACCEPTED, S.COMPLETED, S.TERMINATED),
    S.TRYING: (S.PROCEEDING, S.COMPLETED, S.TERMINATED),
    S.PROCEEDING: (S.ACCEPTED, S.COMPLETED, S.TERMINATED),
    S.ACCEPTED: (S.TERMINATED,),
    S.COMPLETED: (S.CONFIRMED, S.TERMINATED),
    S.CONFIRMED: (S.TERMINATED,),
    S.TERMINATED: (),
}


class Machine:
    """`reliable`: over a stream, where nothing is sent twice."""

    def __init__(self, request, times, reliable, state):
        self.request, self.times, self.reliable, self.state = request, times, reliable, state
        self.alarms = {}  # letter of the timer -> when it fires

    def next_at(self):
        return min(self.alarms.values(), default=None)

    def _turn(self, state):
        """Every change of state."""
        assert state in ROUTES[self.state], f"{self.state} to {state}"
        self.state = state
        self.alarms.clear()

    def _end(self, why=None):
        self._turn(S.TERMINATED)
        return [("over", why)] if why else []

    def _after(self, now, letter, wait):
        """A timer of no length ends the machine at once (reliable transports)."""
        if wait:
            self.alarms[letter] = now + wait
            return []
        return self._end()

    def tick(self, now):
        out = []
        while self.alarms and min(self.alarms.values()) <= now:
            letter = min(self.alarms, key=self.alarms.get)
            at = self.alarms.pop(letter)
            out += getattr(self, "_fire_" + letter)(at)
        return out

    def broken(self, now):
        """What was to be sent could not be (17.1.4, 17.2.4)."""
        if self.state in (S.TERMINATED, S.ACCEPTED, S.CONFIRMED):
            return []
        return self._end("transport")


class ClientInvite(Machine):
    """17.1.1, RFC 6026 section 7.2. `ack`: the ACK for a final answer that is none of success is sent
    here."""

    def __init__(self, request, times, reliable):
        super().__init__(request, times, reliable, S.CALLING)
        self.wait, self.ack = times.t1, None

    def start(self, now):
        if not self.reliable:
            self.alarms["a"] = now + self.wait
        self.alarms["b"] = now + self.times.long
        return [("send", self.request)]

    def _fire_a(self, at):
        self.wait *= 2
        self.alarms["a"] = at + self.wait
        return [("send", self.request)]

    def _fire_b(self, at):
        return self._end("timeout")

    def _fire_d(self, at):
        return self._end()

    _fire_m = _fire_d

    def received(self, now, message):
        if self.state in (S.CALLING, S.PROCEEDING):
            if message.code < 200:
                if self.state is S.CALLING:
                    self._turn(S.PROCEEDING)
                return [("tell", message)]
            if message.code < 300:
                self._turn(S.ACCEPTED)
                self.alarms["m"] = now + self.times.long
                return [("tell", message)]
            self._turn(S.COMPLETED)
            self.ack = ack_of(self.request, message)
            out = [("tell", message), ("send", self.ack)]
            # 32 s by the RFC, which is 64 T1 at its default
            return out + self._after(now, "d", 0 if self.reliable else self.times.long)
        if self.state is S.ACCEPTED and 200 <= message.code < 300:
            return [("tell", message)]  # again, or from another branch: the ACK is for who asked to send
        if self.state is S.COMPLETED and message.code >= 300:
            return [("send", self.ack)]
        return []


class ClientOther(Machine):
    """17.1.2"""

    def __init__(self, request, times, reliable):
        super().__init__(request, times, reliable, S.TRYING)
        self.wait = times.t1

    def start(self, now):
        if not self.reliable:
            self.alarms["e"] = now + self.wait
        self.alarms["f"] = now + self.times.long
        return [("send", self.request)]

    def _fire_e(self, at):
        self.wait = self.times.t2 if self.state is S.PROCEEDING else min(2 * self.wait, self.times.t2)
        self.alarms["e"] = at + self.wait
        return [("send", self.request)]

    def _fire_f(self, at):
        return self._end("timeout")

    def _fire_k(self, at):
        return self._end()

    def received(self, now, message):
        if self.state not in (S.TRYING, S.PROCEEDING):
            return []
        if message.code < 200:
            if self.state is S.TRYING:
                alarms = dict(self.alarms)
                self._turn(S.PROCEEDING)
                self.alarms.update(alarms)  # E and F go on
            return [("tell", message)]
        self._turn(S.COMPLETED)
        return [("tell", message), *self._after(now, "k", 0 if self.reliable else self.times.t4)]


class ServerInvite(Machine):
    """17.2.1, RFC 6026 section 7.1. `say` sends an answer."""

    def __init__(self, request, times, reliable):
        super().__init__(request, times, reliable, S.PROCEEDING)
        self.last, self.wait = None, times.t1

    def start(self, now):
        return [("tell", self.request)]

    def say(self, now, message):
        if self.state is S.ACCEPTED and 200 <= message.code < 300:
            return [("send", message)]  # again, until its ACK: who answered keeps count (13.3.1.4)
        if self.state is not S.PROCEEDING:
            return []
        self.last = message
        if message.code < 200:
            return [("send", message)]
        if message.code < 300:
            self._turn(S.ACCEPTED)
            self.alarms["l"] = now + self.times.long
            return [("send", message)]
        self._turn(S.COMPLETED)
        if not self.reliable:
            self.alarms["g"] = now + self.wait
        self.alarms["h"] = now + self.times.long
        return [("send", message)]

    def received(self, now, message):
        if message.method == "ACK":
            if self.state is S.COMPLETED:
                self._turn(S.CONFIRMED)
                return self._after(now, "i", 0 if self.reliable else self.times.t4)
            return [("tell", message)] if self.state is S.ACCEPTED else []
        if self.state in (S.PROCEEDING, S.COMPLETED) and self.last is not None:
            return [("send", self.last)]
        return []

    def _fire_g(self, at):
        self.wait = min(2 * self.wait, self.times.t2)
        self.alarms["g"] = at + self.wait
        return [("send", self.last)]

    def _fire_h(self, at):
        return self._end("timeout")  # no ACK came: nothing is left to be done for it

    def _fire_i(self, at):
        return self._end()

    _fire_l = _fire_i


class ServerOther(Machine):
    """17.2.2"""

    def __init__(self, request, times, reliable):
        super().__init__(request, times, reliable, S.TRYING)
        self.last = None

    def start(self, now):
        return [("tell", self.request)]

    def say(self, now, message):
        if self.state not in (S.TRYING, S.PROCEEDING):
            return []
        self.last = message
        if message.code < 200:
            if self.state is S.TRYING:
                self._turn(S.PROCEEDING)
            return [("send", message)]
        self._turn(S.COMPLETED)
        return [("send", message), *self._after(now, "j", 0 if self.reliable else self.times.long)]

    def received(self, now, message):
        return [("send", self.last)] if self.last is not None and self.state is not S.TERMINATED else []

    def _fire_j(self, at):
        return self._end()


def ack_of(invite, answer):
    """The ACK of a final answer that is none of success (17.1.1.3): the INVITE's own branch and route."""
    out = Message("ACK", invite.uri)
    out.headers = [("via", invite.get("via"))]
    out.headers += [(n, v) for n, v in invite.headers if n in ("from", "call-id", "route", "max-forwards")]
    out.add("to", answer.get("to"))
    out.add("cseq", f"{invite.cseq[0]} ACK")
    return out


def cancel_of(invite):
    """The CANCEL of an INVITE (9.1)."""
    out = Message("CANCEL", invite.uri)
    out.headers = [("via", invite.get("via"))]
    out.headers += [(n, v) for n, v in invite.headers if n in ("from", "to", "call-id", "route")]
    out.add("max-forwards", 70)
    out.add("cseq", f"{invite.cseq[0]} CANCEL")
    return out
