"""A back-to-back user agent: callers' INVITEs on one side, legs to media servers on the other. No I/O.

It owns the stack and its alarms. `user` decides and is told:

    wanted(now, call)             an INVITE was taken: `call.accept` or `call.decline` it
    left(now, call)               its caller cancelled, or hung up
    leg_up(now, leg)              a media server answered; the leg's side stands
    leg_over(now, leg, why, code) a leg came to nothing: "refused", "silent", "broken", "called off"
    leg_ended(now, leg, why)      a leg that stood is over

docs/sip.md tells why it is no proxy.
"""

import heapq
import itertools
from enum import Enum

from terndrift.sip import dialog as dialogs
from terndrift.sip.dialog import HOPS, Dialog
from terndrift.sip.message import Bad, Message, Uri, response
from terndrift.sip.side import ALLOW, SECOND, Side, Stands, expires
from terndrift.sip.stack import Stack

# A session's least interval that is taken (RFC 4028, 5), unless the records say otherwise.
LEAST_SESSION = 90 * SECOND
# Extensions that may be required of us.
ABLE = {"timer"}


class Asked(Enum):
    ASKED = "asked"  # an INVITE awaits its answer
    ANSWERED = "answered"  # 200 is out, its ACK is awaited
    UP = "up"
    OVER = "over"


class Calling(Enum):
    CALLING = "calling"  # an INVITE is out, nothing has come
    EARLY = "early"  # a provisional answer has come
    CANCELLING = "cancelling"  # it was given up; its end is awaited
    UP = "up"
    OVER = "over"


CALL_ROUTES = {
    Asked.ASKED: (Asked.ANSWERED, Asked.OVER),
    Asked.ANSWERED: (Asked.UP, Asked.OVER),
    Asked.UP: (Asked.OVER,),
    Asked.OVER: (),
}
LEG_ROUTES = {
    Calling.CALLING: (Calling.EARLY, Calling.CANCELLING, Calling.UP, Calling.OVER),
    Calling.EARLY: (Calling.CANCELLING, Calling.UP, Calling.OVER),
    Calling.CANCELLING: (Calling.OVER,),
    Calling.UP: (Calling.OVER,),
    Calling.OVER: (),
}


class Alarm:
    def __init__(self, at, call):
        self.at, self.call = at, call

    def cancel(self):
        self.call = None


class Call:
    """A caller's side of a call, from its INVITE on."""

    def __init__(self, bridge, transaction, dialog):
        self.bridge, self.transaction, self.dialog = bridge, transaction, dialog
        self.state, self.side, self.leg = Asked.ASKED, None, None
        self.ok, self.wait, self.resend, self.give_up = None, 0, None, None
        self.interval, self.refreshing = 0, False
        self.playback = None  # the user's own

    @property
    def invite(self):
        return self.transaction.request

    def turn(self, state):
        """Every change of its state."""
        assert state in CALL_ROUTES[self.state], f"{self.state} to {state}"
        self.state = state

    def accept(self, now, body):
        """200 with a description, again until its ACK comes (13.3.1.4)."""
        bridge = self.bridge
        if self.state is not Asked.ASKED:
            return
        self.turn(Asked.ANSWERED)
        headers = [
            ("contact", bridge.contact),
            ("allow", ALLOW),
            ("supported", "timer"),
            ("content-type", "application/sdp"),
        ]
        if self.interval:
            who = "uas" if self.refreshing else "uac"
            headers.append(expires(self.interval, who))
            if not self.refreshing:
                headers.append(("require", "timer"))
        self.ok = response(self.invite, 200, tag=self.dialog.local.tag, headers=headers, body=body)
        self.side = Side(
            bridge, self, self.dialog, self.transaction.peer, False, bridge.contact, body, self.invite.body
        )
        bridge.say(now, self.transaction, self.ok)
        self.wait = bridge.stack.times.t1
        self.resend = bridge.alarm(now + self.wait, self._again)
        self.give_up = bridge.alarm(now + bridge.stack.times.long, self._unacked)

    def _again(self, now):
        if self.state is Asked.ANSWERED:
            self.bridge.say(now, self.transaction, self.ok)
            self.wait = min(2 * self.wait, self.bridge.stack.times.t2)
            self.resend = self.bridge.alarm(now + self.wait, self._again)

    def _unacked(self, now):
        if self.state is Asked.ANSWERED:
            self.side.end(now, "its ACK never came")

    def acked(self, now):
        if self.state is Asked.ANSWERED:
            self.turn(Asked.UP)
            self.resend.cancel()
            self.give_up.cancel()
            self.side.session(now, self.interval, self.refreshing)

    def decline(self, now, code, retry_after=0, reason=""):
        if self.state is not Asked.ASKED:
            return
        self.turn(Asked.OVER)
        headers = [("retry-after", retry_after)] if retry_after else []
        self.bridge.say(
            now, self.transaction, response(self.invite, code, reason, self.dialog.local.tag, headers)
        )
        self.bridge.calls.pop(self.transaction, None)

    def end(self, now, why="ended here"):
        """Hangs up, or declines what was not answered yet."""
        if self.state is Asked.ASKED:
            self.decline(now, 480)
        elif self.side is not None:
            self.side.end(now, why)


class Leg:
    """A call to a media server. `about`: whatever its maker wants to find with it."""

    def __init__(self, bridge, peer, about):
        self.bridge, self.peer, self.about = bridge, peer, about
        self.state, self.transaction, self.side = Calling.CALLING, None, None
        self.cancelled, self.limit, self.code, self.answer = False, None, 0, None
        self.interval = 0
        self.playback = self.rung = None  # the user's own

    def turn(self, state):
        """Every change of its state."""
        assert state in LEG_ROUTES[self.state], f"{self.state} to {state}"
        self.state = state

    def call_off(self, now):
        """Gives up a leg that does not stand: CANCEL, once a provisional answer allows it (9.1)."""
        if self.state not in (Calling.CALLING, Calling.EARLY):
            return
        early = self.state is Calling.EARLY
        self.turn(Calling.CANCELLING)
        if early:
            self._cancel(now)

    def _cancel(self, now):
        if not self.cancelled:
            self.cancelled = True
            self.bridge.events(now, self.bridge.stack.cancel(now, self.transaction))
            # one that answers neither ends so after 64 T1 (9.1)
            self.limit = self.bridge.alarm(now + self.bridge.stack.times.long, self._cancelled)

    def _cancelled(self, now):
        if self.state is Calling.CANCELLING and self.side is None:
            self._over(now, "called off")

    def end(self, now, why="ended here"):
        if self.state is Calling.UP:
            self.side.end(now, why)
        else:
            self.call_off(now)

    def response(self, now, message):
        bridge, was = self.bridge, self.state
        if self.state is Calling.OVER:
            return
        if message.code < 200:
            if self.state is Calling.CALLING:
                self.turn(Calling.EARLY)
            elif self.state is Calling.CANCELLING:
                self._cancel(now)
            return
        self.code = message.code
        if message.code >= 300:
            self._over(now, "called off" if was is Calling.CANCELLING else "refused")
            return
        try:
            made = Dialog.asking(self.transaction.request, message)
            if not made.remote.tag:
                raise Bad(0, "no tag", "To")
        except Bad:
            self._over(now, "broken")  # an answer that nobody can ACK: the server gives the leg up by itself
            return
        if self.side is not None:
            if made.key == self.side.dialog.key:
                bridge.plain(self.side.dialog.request("ACK", self.transaction.request.cseq[0]), self.peer)
            else:
                bridge.refuse_stray(now, made, self.transaction.request.cseq[0], self.peer)  # a second one
            return
        self.answer = message
        self.side = Side(
            bridge, self, made, self.peer, True, bridge.contact, self.transaction.request.body, message.body
        )
        bridge.plain(made.request("ACK", self.transaction.request.cseq[0]), self.peer)
        if self.state is Calling.CANCELLING:  # CANCEL and 200 crossed: it stands, and is ended at once (15)
            self.side.end(now, "called off")
            return
        self.turn(Calling.UP)
        interval, refresher = _session(message)
        if interval:
            self.side.session(now, interval, refresher != "uas")
        elif self.interval:
            self.side.session(now, self.interval, True)
        bridge.user.leg_up(now, self)

    def failed(self, now, why):
        if self.state is Calling.OVER or self.side is not None:
            return
        if self.state is Calling.CANCELLING:
            self._over(now, "called off")
        else:
            self._over(now, "silent" if why == "timeout" else "broken")

    def ended(self, now, why):
        """Its side is over."""
        was = self.state
        if was is Calling.OVER:
            return
        if was is Calling.CANCELLING:
            self._over(now, "called off")
            return
        self.turn(Calling.OVER)
        self.bridge.user.leg_ended(now, self, why)

    def _over(self, now, why):
        self.turn(Calling.OVER)
        if self.limit:
            self.limit.cancel()
        self.bridge.user.leg_over(now, self, why, self.code)


def _session(message):
    """(ns, refresher or None) of a Session-Expires; (0, None) without one that can be read."""
    value = message.get("session-expires")
    if value is None:
        return 0, None
    seconds, _, more = value.partition(";")
    if not seconds.strip().isdigit() or len(seconds) > 9:
        return 0, None
    refresher = more.replace(" ", "").lower().partition("refresher=")[2].partition(";")[0]
    return int(seconds) * SECOND, refresher or None


class Bridge:
    """`contact`: the value of our Contact; `draw(n)`: n bytes of chance; `session`: ns between refreshes that
    are asked of media servers, and at most of callers; `gate(now, transaction)`: None, or an answer (code,
    headers) that an INVITE gets before anything is made of it: authentication, overload."""

    def __init__(
        self,
        user,
        times,
        sent_by,
        contact,
        draw,
        session,
        gate=lambda now, t: None,
        least_session=LEAST_SESSION,
    ):
        self.user, self.contact, self.draw, self.gate = user, contact, draw, gate
        self.stack = Stack(times, sent_by, draw)
        self.session, self.least_session = session, least_session
        self.calls, self.sides = {}, {}  # INVITE's transaction -> Call until answered; dialog's key -> Side
        self.alarms, self.numbers = [], itertools.count()
        self.tags = itertools.count()

    @property
    def out(self):
        return self.stack.out

    def chance(self):
        return int.from_bytes(self.draw(4), "big") / 2**32

    # In.

    def received(self, now, found, peer):
        self.events(now, self.stack.received(now, found, peer))

    def broken(self, now, peer):
        self.events(now, self.stack.broken(now, peer))

    def tick(self, now):
        self.events(now, self.stack.tick(now))
        while self.alarms and self.alarms[0][0] <= now:
            _, _, alarm = heapq.heappop(self.alarms)
            if alarm.call is not None:
                alarm.call(now)

    def next_at(self):
        while self.alarms and self.alarms[0][2].call is None:
            heapq.heappop(self.alarms)
        times = (self.stack.next_at(), self.alarms[0][0] if self.alarms else None)
        return min((t for t in times if t is not None), default=None)

    def alarm(self, at, call):
        alarm = Alarm(at, call)
        heapq.heappush(self.alarms, (at, next(self.numbers), alarm))
        return alarm

    # Out.

    def send(self, now, message, peer, owner):
        transaction, events = self.stack.send(now, message, peer, owner)
        self.events(now, events)
        return transaction

    def plain(self, message, peer):
        self.stack.plain(message, peer)

    def say(self, now, transaction, message):
        self.events(now, self.stack.say(now, transaction, message))

    def dial(self, now, uri, peer, body, about, headers=()):
        """An INVITE to a media server, of a Call-ID of its own; returns the Leg."""
        leg = Leg(self, peer, about)
        message, host = Message("INVITE", str(uri)), self.stack.sent_by[0]
        message.headers = [
            ("max-forwards", str(HOPS)),
            ("to", f"<{uri}>"),
            ("from", f"<sip:terndrift@{host}>;tag={self.draw(6).hex()}"),
            ("call-id", f"{self.draw(12).hex()}@{host}"),
            ("cseq", "1 INVITE"),
            ("contact", self.contact),
            ("allow", ALLOW),
            ("supported", "timer"),
            ("content-type", "application/sdp"),
            *[(n, str(v)) for n, v in headers],
        ]
        if self.session:
            leg.interval = self.session
            message.headers.append(expires(self.session, "uac"))
        message.body = body
        # known before its events come: an error of the transport may be told at once
        leg.transaction, events = self.stack.send(now, message, peer, leg)
        self.events(now, events)
        return leg

    def refuse_stray(self, now, made, number, peer):
        """A success that nobody waits for any more: taken, so that it stops, and ended (13.2.2.4)."""
        self.plain(made.request("ACK", number), peer)
        self.send(now, made.request("BYE"), peer, None)

    # Events of the stack.

    def events(self, now, events):
        for what, transaction, value in events:
            getattr(self, "_on_" + what)(now, transaction, value)

    def _on_response(self, now, transaction, message):
        owner = transaction.owner
        if isinstance(owner, Leg):
            if transaction.request.method == "INVITE":
                owner.response(now, message)
        elif owner is not None:
            owner.response(now, transaction, message)

    def _on_over(self, now, transaction, why):
        owner = transaction.owner
        if isinstance(owner, Leg):
            owner.failed(now, why)
        elif isinstance(owner, Side):
            owner.failed(now, transaction, why)

    def _on_stray(self, now, _, message):
        """A success after its transaction was over, or of another branch."""
        known = self.sides.get((message.get("call-id"), message.named("from").tag, message.named("to").tag))
        number, _ = message.cseq
        if known is not None:
            self.plain(known.dialog.request("ACK", number), known.peer)
        else:
            self.user.stray(now, message, number)

    def _on_ack(self, now, transaction, message):
        side = self.sides.get(dialogs.key_of(message))
        if side is not None and isinstance(side.part, Call):
            side.part.acked(now)

    def _on_cancel(self, now, transaction, message):
        call = self.calls.get(transaction)
        if call is not None and call.state is Asked.ASKED:
            call.decline(now, 487)
            self.user.left(now, call)

    def _on_request(self, now, transaction, message):
        key = dialogs.key_of(message)
        if key is not None:
            side = self.sides.get(key)
            if side is None:
                return self._answer(now, transaction, 481)
            transaction.owner = side
            return side.request(now, transaction, message)
        required = {w.strip() for v in message.all("require") for w in v.split(",")} - ABLE - {""}
        if required:
            return self._answer(now, transaction, 420, [("unsupported", ", ".join(sorted(required)))])
        hops = message.number("max-forwards", 255)
        if hops == 0 and message.method != "OPTIONS":
            return self._answer(now, transaction, 483)
        if Uri.read(message.uri).scheme not in ("sip", "sips"):
            return self._answer(now, transaction, 416)
        if message.method == "OPTIONS":
            return self._answer(
                now,
                transaction,
                200,
                [("allow", ALLOW), ("accept", "application/sdp"), ("supported", "timer")],
            )
        if message.method == "UPDATE" or message.method == "BYE":
            return self._answer(now, transaction, 481)
        if message.method != "INVITE":
            return self._answer(now, transaction, 405, [("allow", ALLOW)])
        return self._invite(now, transaction, message)

    def _invite(self, now, transaction, message):
        if answer := self.gate(now, transaction):
            code, headers = answer
            return self._answer(now, transaction, code, headers)
        kind = (message.get("content-type") or "").partition(";")[0].strip().lower()
        if message.body and kind != "application/sdp":
            return self._answer(now, transaction, 415, [("accept", "application/sdp")])
        interval, refresher = _session(message)
        if interval and interval < self.least_session:
            return self._answer(now, transaction, 422, [("min-se", self.least_session // SECOND or 1)])
        try:
            dialog = Dialog.answering(message, f"{next(self.tags):x}-{self.draw(4).hex()}")
        except Bad as bad:
            return self._answer(now, transaction, bad.code or 400)
        call = self.calls[transaction] = Call(self, transaction, dialog)
        if self.session:
            able = any("timer" in v.lower() for v in message.all("supported"))
            call.interval = min(interval, self.session) if interval else self.session
            call.refreshing = not able or refresher == "uas"
        self.say(now, transaction, response(message, 100))
        return self.user.wanted(now, call)

    def _answer(self, now, transaction, code, headers=()):
        self.say(
            now, transaction, response(transaction.request, code, tag=self.draw(4).hex(), headers=headers)
        )

    # Sides.

    def offered(self, now, side, transaction, message):
        """A new offer in a call that stands goes to the other side, and its answer comes back."""
        other = self.other(side)
        if other is None or other.stands is not Stands.UP:
            return side.refuse(now, transaction, 488)

        def done(now, code, body):
            if 200 <= code < 300:
                side.remote = message.body
                side.accept(now, transaction, body or other.remote)
            elif side.serving is transaction:
                side.refuse(now, transaction, code if code in (488, 491) else 488)

        return other.propose(now, self.user.passed_on(side, message.body), done)

    @staticmethod
    def other(side):
        part = side.part
        if isinstance(part, Call):
            return part.leg.side if part.leg is not None else None
        return part.about.side if part.about is not None and isinstance(part.about, Call) else None

    def ended(self, now, side, why):
        part = side.part
        if isinstance(part, Leg):
            part.ended(now, why)
            return
        part.turn(Asked.OVER)
        self.calls.pop(part.transaction, None)
        for alarm in (part.resend, part.give_up):
            if alarm:
                alarm.cancel()
        self.user.left(now, part)
