"""One side of a bridged call once its dialog stands: offers, refreshes, its end. No I/O; times in ns are
given.

Sources: RFC 3261 sections 12 to 15, RFC 3311 (UPDATE), RFC 4028 (session timers).
"""

from enum import Enum

from terndrift.sip.message import response

SECOND = 1_000_000_000
ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE"
# Waits for who lost a glare (14.1): the owner of the Call-ID 2.1 to 4 s, the other 0 to 2 s, in steps of
# 10 ms.
GLARE_OWNER, GLARE_OTHER = (2_100_000_000, 4_000_000_000), (0, 2_000_000_000)


class Stands(Enum):
    UP = "up"
    ENDING = "ending"  # a BYE is out
    OVER = "over"


ROUTES = {Stands.UP: (Stands.ENDING, Stands.OVER), Stands.ENDING: (Stands.OVER,), Stands.OVER: ()}


def expires(interval, refresher):
    """A Session-Expires header; `refresher`: uac or uas of the request that it belongs to."""
    return "session-expires", f"{interval // SECOND or 1};refresher={refresher}"


class Offer:
    """An offer of ours that is out, or waits to be sent again."""

    def __init__(self, body, done):
        self.body, self.done, self.transaction = body, done, None


class Side:
    """`bridge` is told `offered(now, side, transaction, message)` and `ended(now, side, why)`. `part`: the
    Call or Leg that it is the side of. `owner`: whether the Call-ID is ours."""

    def __init__(self, bridge, part, dialog, peer, owner, contact, local=b"", remote=b""):
        self.bridge, self.part, self.dialog, self.peer, self.owner = bridge, part, dialog, peer, owner
        self.contact, self.local, self.remote = contact, local, remote  # descriptions sent and heard last
        self.stands, self.offer, self.next_offer = Stands.UP, None, None
        self.serving = None  # the transaction of an offer of theirs that awaits its answer
        self.interval, self.refreshing = 0, False  # ns; whether we are who refreshes
        self.timer = None
        bridge.sides[dialog.key] = self

    def _turn(self, stands):
        """Every change of how it stands."""
        assert stands in ROUTES[self.stands], f"{self.stands} to {stands}"
        self.stands = stands

    # Session timers (RFC 4028).

    def session(self, now, interval, refreshing):
        self.interval, self.refreshing = interval, refreshing
        self.heard_from(now)

    def heard_from(self, now):
        """A refresh was sent and taken, or came."""
        if self.timer:
            self.timer.cancel()
        if not self.interval or self.stands is not Stands.UP:
            return
        # who refreshes does at half of it; the other ends it shortly before it is over (10)
        wait = self.interval // 2 if self.refreshing else self.interval - min(32 * SECOND, self.interval // 3)
        self.timer = self.bridge.alarm(now + wait, self._refresh if self.refreshing else self._expired)

    def _refresh(self, now):
        if self.stands is Stands.UP and self.offer is None:
            self.propose(now, self.local, lambda now, code, body: None)

    def _expired(self, now):
        if self.stands is Stands.UP:
            self.end(now, "session expired")

    def session_headers(self):
        if not self.interval:
            return []
        # in a request the one who sends it is its uac
        who = "uac" if self.refreshing else "uas"
        return [expires(self.interval, who)]

    # Offers of ours.

    def propose(self, now, body, done):
        """Offers a new description; `done(now, code, body)` hears of its end once. While one is out, the
        newest waits; one that waited before hears that it was overtaken (0)."""
        if self.stands is not Stands.UP:
            return done(now, 481, b"")
        if self.offer is not None or self.serving is not None:
            if self.next_offer is not None:
                self.next_offer.done(now, 0, b"")
            self.next_offer = Offer(body, done)
            return None
        self.offer = Offer(body, done)
        return self._send_offer(now)

    def _send_offer(self, now):
        offer = self.offer
        if offer is None or self.stands is not Stands.UP:
            return
        message = self.dialog.request("INVITE")
        for name, value in [
            ("contact", self.contact),
            ("supported", "timer"),
            ("allow", ALLOW),
            *self.session_headers(),
        ]:
            message.add(name, value)
        if offer.body:
            message.add("content-type", "application/sdp")
        message.body = offer.body
        offer.transaction = self.bridge.send(now, message, self.peer, self)

    def _offer_over(self, now, code, body):
        offer, self.offer = self.offer, None
        offer.done(now, code, body)
        self._next(now)

    def _next(self, now):
        if self.next_offer is not None and self.offer is None and self.serving is None:
            waiting, self.next_offer = self.next_offer, None
            self.propose(now, waiting.body, waiting.done)

    def response(self, now, transaction, message):
        method = transaction.request.method
        if method == "INVITE":
            if 200 <= message.code < 300:
                self.dialog.answered(message)
                ack = self.dialog.request("ACK", transaction.request.cseq[0])
                self.bridge.plain(ack, self.peer)
            if message.code < 200 or self.offer is None or self.offer.transaction is not transaction:
                return None
            if message.code == 491 and self.stands is Stands.UP:
                low, high = GLARE_OWNER if self.owner else GLARE_OTHER
                wait = low + int(self.bridge.chance() * (high - low) / 10_000_000) * 10_000_000
                return self.bridge.alarm(now + wait, self._send_offer)
            if 200 <= message.code < 300:
                self.local, self.remote = self.offer.body or self.local, message.body or self.remote
                self.heard_from(now)
            elif message.code in (408, 481):  # the other knows of no such call any more (12.2.1.2)
                self.end(now, f"{message.code} to a new offer")
            return self._offer_over(now, message.code, message.body)
        if method == "BYE" and message.code >= 200:
            self._over(now, "ended here")
        return None

    def failed(self, now, transaction, why):
        """No answer came at all."""
        if transaction.request.method == "BYE":
            return self._over(now, why)
        if self.offer is not None and self.offer.transaction is transaction:
            self.end(now, f"{why} of a new offer")
            return self._offer_over(now, 408, b"")
        return None

    # What the other asks.

    def request(self, now, transaction, message):
        if not self.dialog.in_order(message):
            return self.say(now, transaction, 500, [("retry-after", 1)])
        if message.method == "BYE":
            self.say(now, transaction, 200)
            return self._over(now, "ended there")
        if self.stands is not Stands.UP:
            return self.say(now, transaction, 481)
        if message.method in ("INVITE", "UPDATE"):
            out = self.offer.transaction if self.offer is not None else None
            if out is not None and not out.over:
                return self.say(now, transaction, 491)
            if self.serving is not None:
                return self.say(now, transaction, 500, [("retry-after", 1)])  # 14.2
            self.heard_from(now)
            if not message.body:  # a refresh, or an offer wanted: what is in force is said again
                return self.accept(now, transaction, self.local if message.method == "INVITE" else b"")
            self.serving = transaction
            return self.bridge.offered(now, self, transaction, message)
        if message.method == "OPTIONS":
            return self.say(now, transaction, 200, [("allow", ALLOW), ("accept", "application/sdp")])
        return self.say(now, transaction, 405, [("allow", ALLOW)])

    def accept(self, now, transaction, body):
        """Answers an offer of theirs."""
        self.serving = None if self.serving is transaction else self.serving
        if body:
            self.local = body
        headers = [("contact", self.contact), ("allow", ALLOW), ("supported", "timer")]
        if self.interval:
            headers.append(expires(self.interval, "uas" if self.refreshing else "uac"))
        if body:
            headers.append(("content-type", "application/sdp"))
        self.say(now, transaction, 200, headers, body)
        self._next(now)

    def refuse(self, now, transaction, code):
        self.serving = None if self.serving is transaction else self.serving
        self.say(now, transaction, code)
        self._next(now)

    def say(self, now, transaction, code, headers=(), body=b""):
        self.bridge.say(now, transaction, response(transaction.request, code, headers=headers, body=body))

    # The end.

    def end(self, now, why="ended here"):
        if self.stands is not Stands.UP:
            return
        self._turn(Stands.ENDING)
        self.bridge.send(now, self.dialog.request("BYE"), self.peer, self)

    def _over(self, now, why):
        if self.stands is Stands.OVER:
            return
        self._turn(Stands.OVER)
        if self.timer:
            self.timer.cancel()
        self.bridge.sides.pop(self.dialog.key, None)
        if self.serving is not None:
            self.refuse(now, self.serving, 487)
        offer, self.offer = self.offer, None
        for one in (offer, self.next_offer):
            if one is not None:
                one.done(now, 481, b"")
        self.next_offer = None
        self.bridge.ended(now, self, why)
