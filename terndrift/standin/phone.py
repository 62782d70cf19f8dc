"""Stand-ins that speak SIP over datagrams: a caller and a media server, scripted, in the smallest form.

They share the codec with the program, and none of its transaction layer: what is sent again, and when, is
their own. No I/O: messages and a time in, `out` of (address, bytes), `next_at`, notes to a ledger."""

import heapq
import itertools

from terndrift.sip import sdp
from terndrift.sip.message import MAGIC, Bad, Message, Name, read, response

MS = 1_000_000
SECOND = 1000 * MS
ABLE = {"audio": ("OPUS/48000/2", "PCMU/8000"), "video": ("H264/90000", "VP8/90000")}
ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS"
PLAYBACK = "terndrift-playback"


class Peer:
    """An address, as a Bridge in hand-driven time takes it."""

    reliable = False

    def __init__(self, address):
        self.address = address

    def __eq__(self, other):
        return self.address == other.address

    def __hash__(self):
        return hash(self.address)


def offer(host, bits, version=1, direction="sendrecv"):
    """A description of audio and video in `bits` a second of video."""
    return (
        f"v=0\r\no=- 1 {version} IN IP4 {host}\r\ns=-\r\nc=IN IP4 {host}\r\nt=0 0\r\n"
        f"m=audio 30000 RTP/AVP 111 0\r\nb=TIAS:0\r\na=rtpmap:111 opus/48000/2\r\na={direction}\r\n"
        f"m=video 30002 RTP/AVP 96 97\r\nb=AS:{int(bits * 1.04 / 1000)}\r\nb=TIAS:{bits}\r\n"
        f"a=rtpmap:96 H264/90000\r\na=rtpmap:97 VP8/90000\r\na={direction}\r\n"
    ).encode()


class Agent:
    """What both have in common: alarms, and requests that are sent again until they are answered."""

    def __init__(self, address, ledger, t1=500 * MS):
        self.address, self.ledger, self.t1 = address, ledger, t1
        self.out, self.alarms, self.numbers = [], [], itertools.count(1)
        self.asking = {}  # branch and method -> [message, where, wait, until]
        self.dead = False

    def at(self, when, call):
        heapq.heappush(self.alarms, (when, next(self.numbers), call))

    def next_at(self):
        return self.alarms[0][0] if self.alarms and not self.dead else None

    def tick(self, now):
        while not self.dead and self.alarms and self.alarms[0][0] <= now:
            heapq.heappop(self.alarms)[2](now)

    def datagram(self, now, data, source):
        if self.dead:
            return
        try:
            message = read(data)
        except Bad:
            return
        if message.method is not None:
            self.request(now, message, source)
            return
        key = message.via().branch, message.cseq[1]
        if message.code >= 200:
            self.asking.pop(key, None)
        elif key in self.asking and key[1] == "INVITE":
            self.asking[key][3] = 0  # a provisional answer: not sent again (17.1.1.2)
        self.answer(now, message, source)

    def say(self, where, message):
        self.out.append((where, message.encode()))

    def ask(self, now, message, where):
        """A request, sent again until it is answered."""
        branch = f"{MAGIC}{self.address.replace(':', '-')}-{next(self.numbers)}"
        message.headers.insert(0, ("via", f"SIP/2.0/UDP {self.address};branch={branch};rport"))
        self.asking[branch, message.method] = [message, where, self.t1, now + 64 * self.t1]
        self.say(where, message)
        self.at(now + self.t1, lambda at: self._again(at, branch, message.method))
        return branch

    def _again(self, now, branch, method):
        entry = self.asking.get((branch, method))
        if entry is None or now >= entry[3]:
            if entry is not None and entry[3]:
                del self.asking[branch, method]
                self.unanswered(now, entry[0])
            return
        self.say(entry[1], entry[0])
        entry[2] *= 2
        self.at(now + entry[2], lambda at: self._again(at, branch, method))

    def unanswered(self, now, message):
        pass

    def answer(self, now, message, source):
        pass


class Caller(Agent):
    """Calls `title` at a controller once, stays `seconds` (ns), hangs up."""

    def __init__(
        self, address, ledger, controller, title, visit, bits, abandon, seconds, t1=500 * MS, account=None
    ):
        super().__init__(address, ledger, t1)
        self.controller, self.title, self.visit, self.bits = controller, title, visit, bits
        self.abandon, self.seconds, self.account = abandon, seconds, account
        self.state, self.code, self.number, self.until = "new", 0, 0, 0
        self.branch, self.call_id, self.to, self.contact = None, f"{visit}@{address}", None, None
        self.invite, self.retry_after, self.answers, self.offers = None, 0, 0, []
        self.byes = 0

    def _message(self, method, uri=None, number=None):
        out = Message(method, uri or f"sip:{self.title}@{self.controller}")
        out.headers = [
            ("max-forwards", "70"),
            ("from", f"<sip:{self.visit}@{self.address}>;tag={self.visit}"),
            ("to", self.to or f"<sip:{self.title}@{self.controller}>"),
            ("call-id", self.call_id),
            ("cseq", f"{number or self.number} {method}"),
            ("contact", f"<sip:{self.visit}@{self.address}>"),
        ]
        return out

    def call(self, now, extra=()):
        self.state, self.number = "asking", self.number + 1
        self.until = self.until or now + self.abandon
        message = self._message("INVITE")
        message.headers += [
            ("expires", str(max(1, self.abandon // SECOND))),
            ("allow", ALLOW),
            ("content-type", "application/sdp"),
            *extra,
        ]
        message.body = offer(self.address.partition(":")[0], self.bits)
        self.invite = message
        self.branch = self.ask(now, message, self.controller)
        self.at(self.until, self._abandon)

    def _abandon(self, now):
        if self.state == "asking":
            self.cancel(now)

    def cancel(self, now):
        waiting = self.asking.get((self.branch, "INVITE"))
        if waiting is not None and waiting[3]:
            # nothing has come at all: nothing is cancelled (RFC 3261, 9.1), it is only no longer asked for
            del self.asking[self.branch, "INVITE"]
            self.state = "over"
            return
        self.state = "cancelling"
        out = self._message("CANCEL")
        out.headers.insert(0, ("via", self.invite.get("via")))
        self.asking[self.branch, "CANCEL"] = [out, self.controller, self.t1, now + 64 * self.t1]
        self.say(self.controller, out)
        self.at(now + self.t1, lambda at: self._again(at, self.branch, "CANCEL"))

    def answer(self, now, message, source):
        number, method = message.cseq
        if method != "INVITE" or message.code < 200:
            if method == "BYE" and message.code >= 200:
                self.state = "over"
            return
        if message.code >= 300:
            ack = self._message("ACK", number=number)
            ack.headers = [
                ("via", message.get("via")),
                *[(n, v) for n, v in ack.headers if n != "to"],
                ("to", message.get("to")),
            ]
            self.say(self.controller, ack)
            if self.state in ("asking", "cancelling"):
                self._told(now, message)
                self.state = "over"
            return
        if self.state in ("asking", "cancelling") or self.state == "over" and self.to is None:
            crossed = self.state != "asking"
            self._told(now, message)
            self.to, self.state = message.get("to"), "up"
            self.contact = str(Name.read(message.get("contact")).uri)
            self.at(now + self.seconds, self.hang_up)
            if crossed:
                self.at(now, self.hang_up)
        self.ack(number)

    def ack(self, number):
        ack = self._message("ACK", self.contact, number)
        ack.headers.insert(0, ("via", f"SIP/2.0/UDP {self.address};branch={MAGIC}a{next(self.numbers)}"))
        self.say(self.controller, ack)

    def _told(self, now, message):
        self.code, self.answers = message.code, self.answers + 1
        self.retry_after = message.number("retry-after") or 0

    def hang_up(self, now):
        if self.state == "up":
            self.state, self.number = "ending", self.number + 1
            self.ask(now, self._message("BYE", self.contact), self.controller)

    def again(self, now, direction="sendrecv", bits=None):
        """A new offer in the call: hold, or another bandwidth."""
        self.number += 1
        message = self._message("INVITE", self.contact)
        message.add("content-type", "application/sdp")
        message.body = offer(self.address.partition(":")[0], bits or self.bits, self.number, direction)
        self.ask(now, message, self.controller)

    def unanswered(self, now, message):
        if self.state not in ("up", "over"):
            self.state = "over"

    def request(self, now, message, source):
        if message.method == "BYE":
            self.byes += 1
            self.say(source, response(message, 200))
            self.state = "over"
        elif message.method == "INVITE" and self.state == "up":
            found = sdp.read(message.body)
            self.offers.append(found.bits())
            body = sdp.answer(
                found,
                ABLE,
                "- 2 2 IN IP4 h",
                (self.address.partition(":")[0], {"audio": 30000, "video": 30002}),
            )
            self.say(
                source,
                response(
                    message,
                    200,
                    headers=[
                        ("contact", f"<sip:{self.visit}@{self.address}>"),
                        ("content-type", "application/sdp"),
                    ],
                    body=body.encode(),
                ),
            )
        elif message.method != "ACK":
            self.say(source, response(message, 481 if self.state == "over" else 405))


class Leg:
    def __init__(self, invite, number):
        self.invite, self.tag, self.state = invite, f"room-{number}", "asked"
        self.wait, self.ok, self.bits, self.expires = 0, None, 0, None
        self.pb = self.number = None


class Room(Agent):
    """A media server. `faults`: kind -> size, as of the stand-in streamers: full, busy, still (says nothing),
    mute (100 and no more), ringing (180 and no more), late (s more until it answers), refuse (new offers get
    488), glare (they get 491)."""

    def __init__(self, address, ledger, id, places=8, t1=500 * MS, delay=20 * MS):
        super().__init__(address, ledger, t1)
        self.id, self.places, self.delay, self.faults = id, places, delay, {}
        self.legs, self.count, self.most_legs = {}, 0, 0  # call-id -> Leg
        self.known = {}  # branch of an INVITE -> its last answer
        self.rungs = []  # (when, call-id, bits) offered

    def up(self):
        return [leg for leg in self.legs.values() if leg.state in ("answered", "up")]

    def die(self):
        self.ledger.note("down", streamer=self.id)
        self.dead = True
        self.legs.clear()

    def request(self, now, message, source):
        call, branch = message.get("call-id"), message.via().branch
        leg = self.legs.get(call)
        if message.method == "ACK":
            if leg and leg.state == "answered":
                leg.state = "up"
        elif message.method == "INVITE" and leg is not None and message.named("to").tag:
            self._offered(now, message, source, leg)
        elif message.method == "INVITE" and message.named("to").tag:
            self.say(source, response(message, 481))
        elif message.method == "INVITE":
            if branch in self.known:
                if self.known[branch] is not None:
                    self.say(source, self.known[branch])
                return
            self._invited(now, message, source, branch)
        elif message.method == "CANCEL":
            self.say(source, response(message, 200, tag="x"))
            if leg and leg.state == "asked":
                self._over(now, leg, call, 487, False)
                self._final(source, leg, branch, response(leg.invite, 487, tag=leg.tag))
        elif message.method == "BYE":
            self.say(source, response(message, 200 if leg else 481, tag="x"))
            if leg:
                self.ledger.note("farewell", streamer=self.id, pb=leg.pb, at=now)
                del self.legs[call]
        else:
            self.say(source, response(message, 200 if message.method == "OPTIONS" else 405, tag="x"))

    def _final(self, source, leg, branch, message):
        self.known[branch] = message
        self.say(source, message)

    def _over(self, now, leg, call, code, ran):
        self.legs.pop(call, None)
        self.ledger.note(
            "try end", streamer=self.id, pb=leg.pb, number=leg.number, code=code, ran=ran, at=now
        )

    def _invited(self, now, message, source, branch):
        self.count += 1
        leg, call = Leg(message, self.count), message.get("call-id")
        pb, _, more = (message.get(PLAYBACK) or "?;try=0").partition(";")
        leg.pb, leg.number = pb, int(more.partition("try=")[2] or 0)
        leg.bits = sdp.read(message.body).bits() or 0
        title = message.uri.partition(":")[2].partition("@")[0]
        self.rungs.append((now, call, leg.bits))
        self.ledger.note(
            "try",
            streamer=self.id,
            pb=pb,
            number=leg.number,
            title=title,
            br=leg.bits // 1000,
            sid=message.get("terndrift-visit"),
            at=now,
        )
        self.known[branch] = None
        if "still" in self.faults:
            return
        self.say(source, response(message, 100))
        busy = len(self.legs) >= self.places
        if busy or "full" in self.faults or "busy" in self.faults:
            self._over(now, leg, call, 503, False)
            code = 486 if "busy" in self.faults else 503
            self._final(source, leg, branch, response(message, code, tag=leg.tag))
            return
        self.legs[call] = leg
        self.most_legs = max(self.most_legs, len(self.legs))
        if "ringing" in self.faults:
            self.say(source, response(message, 180, tag=leg.tag))
        if "mute" in self.faults or "ringing" in self.faults:
            return
        wait = self.delay + int(self.faults.get("late", 0) * SECOND)
        self.at(now + wait, lambda at: self._take(at, message, source, branch, leg))

    def _take(self, now, message, source, branch, leg):
        call = message.get("call-id")
        if self.legs.get(call) is not leg or leg.state != "asked":
            return
        host = self.address.partition(":")[0]
        body = sdp.answer(
            sdp.read(message.body),
            ABLE,
            f"- {leg.tag[5:]} 1 IN IP4 {host}",
            (host, {"audio": 40000, "video": 40002}),
            leg.bits,
        )
        headers = [("contact", f"<sip:{self.id}@{self.address}>"), ("content-type", "application/sdp")]
        if (asked := message.get("session-expires")) and "refresher=uac" in asked:
            headers.append(("session-expires", asked))
            leg.expires = int(asked.partition(";")[0]) * SECOND
            leg.heard = now
            self.at(now + leg.expires, lambda at: self._expired(at, leg, call))
        leg.ok = response(message, 200, tag=leg.tag, headers=headers, body=body.encode() if body else b"")
        leg.state, leg.wait = "answered", self.t1
        self.ledger.note("ran", streamer=self.id, pb=leg.pb, number=leg.number, at=now)
        self.ledger.note(
            "try end", streamer=self.id, pb=leg.pb, number=leg.number, code=200, ran=True, at=now
        )
        self._final(source, leg, branch, leg.ok)
        self.at(now + leg.wait, lambda at: self._ok_again(at, source, leg, call, now + 64 * self.t1))

    def _ok_again(self, now, source, leg, call, until):
        if leg.state != "answered" or self.legs.get(call) is not leg:
            return
        if now >= until:  # no ACK for good: it is ended (13.3.1.4)
            self.hang_up(now, call)
            return
        self.say(source, leg.ok)
        leg.wait = min(2 * leg.wait, 8 * self.t1)
        self.at(now + leg.wait, lambda at: self._ok_again(at, source, leg, call, until))

    def _expired(self, now, leg, call):
        if self.legs.get(call) is not leg:
            return
        if now - leg.heard >= leg.expires:
            self.ledger.note("expired", streamer=self.id, pb=leg.pb, at=now)
            self.hang_up(now, call)
        else:
            self.at(leg.heard + leg.expires, lambda at: self._expired(at, leg, call))

    def _offered(self, now, message, source, leg):
        leg.heard = now
        if "refuse" in self.faults:
            self.say(source, response(message, 488))
            return
        if "glare" in self.faults:
            self.say(source, response(message, 491))
            return
        found = sdp.read(message.body)
        leg.bits = found.bits() or leg.bits
        self.rungs.append((now, message.get("call-id"), leg.bits))
        self.ledger.note("reshaped", streamer=self.id, pb=leg.pb, bits=leg.bits, at=now)
        host = self.address.partition(":")[0]
        ports = {"audio": 40000, "video": 40002}
        body = sdp.answer(found, ABLE, f"- {leg.tag[5:]} 2 IN IP4 {host}", (host, ports), leg.bits)
        headers = [("contact", f"<sip:{self.id}@{self.address}>"), ("content-type", "application/sdp")]
        if leg.expires:
            headers.append(("session-expires", f"{leg.expires // SECOND};refresher=uac"))
        self.say(source, response(message, 200, headers=headers, body=body.encode()))

    def hang_up(self, now, call):
        """Ends a call from this side."""
        leg = self.legs.pop(call, None)
        if leg is None:
            return
        invite = leg.invite
        out = Message("BYE", str(Name.read(invite.get("contact")).uri))
        out.headers = [
            ("max-forwards", "70"),
            ("from", f"{invite.get('to')};tag={leg.tag}"),
            ("to", invite.get("from")),
            ("call-id", call),
            ("cseq", "1 BYE"),
        ]
        contact = Name.read(invite.get("contact")).uri
        self.ledger.note("hung up", streamer=self.id, pb=leg.pb, at=now)
        self.ask(now, out, f"{contact.host}:{contact.port}")
