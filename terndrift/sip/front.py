"""The SIP front and transport: an INVITE becomes a wanted playback, a set-up try an INVITE to a media server.

No socket here: `Bridge` hands in what callers and media servers did, the core what was decided.
"""

from terndrift.core.active_playback import AnswerKind, PlaybackRequest, PlaybackStage
from terndrift.interface import Ending
from terndrift.sip import sdp
from terndrift.sip.bridge import Asked, Call, Calling
from terndrift.sip.dialog import Dialog
from terndrift.sip.message import Name, Uri
from terndrift.sip.side import Stands

SECOND = 1_000_000_000
# Names the playback and the try to a media server, for its records and its load reports.
PLAYBACK, VISIT, LOAD = "terndrift-playback", "terndrift-visit", "terndrift-load"
# Answers of a media server that say that it did nothing (RFC 3261, 21.4.18, 21.4.22, 21.5.4).
FULL = (480, 486, 503, 600)


def report(message):
    """A media server's figures: `Terndrift-Load: link=0.4;uplink=0.7`."""
    out = {}
    for part in (message.get(LOAD) or "").split(";"):
        name, _, value = part.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name.strip() in ("link", "uplink") and 0 <= number < 100:
            out[name.strip()] = number
    return out


class SipFront:
    """`titles` as of the HTTP front, with `rooms(name)`: cells that take calls; `addresses`: streamer id ->
    HOST:PORT; `peer(address)`: how to reach it; `admission`: a core.admission.AdmissionGate."""

    def __init__(self, runner, titles, addresses, peer, admission, log):
        self.runner, self.titles, self.addresses, self.peer = runner, titles, addresses, peer
        self.admission, self.log, self.bridge = admission, log, None
        # ActivePlayback -> Leg; Call -> its source while it awaits its answer
        self.legs, self.entered = {}, {}
        self.draining = False

    # A caller.

    def wanted(self, now, call):
        core, title = self.runner.core, Uri.read(call.invite.uri).user
        found = self.titles.find(title)
        if found is None:
            return call.decline(now, 404)
        plan = core.deployment.plans[found.plan]
        try:
            offered = sdp.read(call.invite.body)
        except sdp.Unusable as wrong:
            self.log.info("offer not taken", title=title, why=str(wrong))
            return call.decline(now, 488, reason=f"Not Acceptable Here ({wrong})"[:100])
        rates = found.rates or core.deployment.ladder.rates
        bits = offered.bits()
        fits = [
            r for r in range(plan.floor, plan.top + 1) if bits is None or self._bits(rates, plan, r) <= bits
        ]
        if not fits:
            return call.decline(now, 488, reason="Not Acceptable Here (bandwidth under the floor)")
        source = call.transaction.peer.source
        wait = SECOND if self.draining else self.admission.admit(now, source)
        if wait:
            return call.decline(now, 503, -(-wait // SECOND))
        self.entered[call] = source
        left = found.abandon
        if (seconds := call.invite.number("expires")) is not None:
            left = min(left, seconds * SECOND)
        call.offered, call.version = offered, 1
        call.playback = self.runner.run(
            core.request_playback,
            PlaybackRequest(
                found.plan, title, self.titles.rooms(title), fits[-1], left, found.length, found.rates, call
            ),
            self,
            lambda answer: self._answered(call, answer),
        )
        return None

    @staticmethod
    def _bits(rates, plan, rung):
        return int(rates[rung] * plan.scale * 8000)

    def _answered(self, call, answer):
        now = self.runner.clock.now()
        self.admission.release(now, self.entered.pop(call))
        if answer.kind is AnswerKind.PLAYS:
            # `playback` is not yet on the call where the answer came within `request_playback` itself
            call.accept(now, call.leg.answer.body)
        elif answer.kind is AnswerKind.REJECTED:
            call.decline(now, 503, -(-answer.retry_after // SECOND))
        else:
            call.decline(now, 504, reason=answer.reason)

    def left(self, now, call):
        """Its caller cancelled, hung up, or is lost."""
        if call.playback is not None:
            self.runner.run(self.runner.core.viewer_left, call.playback)
        if call in self.entered:
            self.admission.release(now, self.entered.pop(call))

    # What the core calls.

    def set_up(self, playback, streamer, rung, timeout):
        now, call, core = self.runner.clock.now(), playback.request.context, self.runner.core
        address = self.addresses.get(streamer.id)
        if not address:
            self.runner.run(core.attempt_ended, playback, Ending.UNREACHED)
            return
        if not core.may_send(now, playback):
            self.runner.run(core.attempt_ended, playback, Ending.NEVER_SENT)
            return
        uri = Uri("sip", playback.request.title, *_host_port(address))
        call.leg = self.legs[playback] = self.bridge.dial(
            now,
            uri,
            self.peer(address),
            self._offer(call, playback, rung),
            call,
            [
                (PLAYBACK, f"{playback.id};try={playback.attempts}"),
                (VISIT, call.invite.named("from").uri.user or "-"),
            ],
        )
        call.leg.playback = playback

    def _offer(self, call, playback, rung):
        plan = self.runner.core.deployment.plans[playback.request.plan]
        rates = playback.request.rates or self.runner.core.deployment.ladder.rates
        call.version += 1
        bits = self._bits(rates, plan, rung)
        return sdp.renewed(sdp.with_bits(call.offered, bits), call.version).encode()

    def cancel_attempt(self, playback):
        if leg := self.legs.get(playback):
            leg.call_off(self.runner.clock.now())

    def set_rung(self, playback, rung):
        """A new offer to the media server; what it answers goes to the caller. While one is out the newest
        waits; one that is refused leaves the old rung in force, and the decisions are told."""
        leg = self.legs.get(playback)
        if leg is None or leg.side is None or playback.stage is not PlaybackStage.PLAYING:
            return
        call, before = playback.request.context, leg.rung

        def done(now, code, body):
            if 200 <= code < 300:
                leg.rung = rung
                if call.side is not None and call.side.stands is Stands.UP and body:
                    call.side.propose(now, body, lambda *_: None)
            elif code and playback.stage is PlaybackStage.PLAYING:
                self.log.info("rung refused", pb=playback.id, code=code, rung=rung, stays=before)
                self.runner.run(self.runner.core.rung_change_refused, playback, before)

        leg.side.propose(self.runner.clock.now(), self._offer(call, playback, rung), done)

    def release_playback(self, playback, streamer):
        if leg := self.legs.pop(playback, None):
            leg.end(self.runner.clock.now())

    # A media server.

    def leg_up(self, now, leg):
        playback = leg.playback
        leg.rung = playback.rung
        if playback.stage is not PlaybackStage.ATTEMPTING:
            leg.end(now)
            return
        self.runner.run(self.runner.core.set_up_succeeded, playback, report(leg.answer))

    def leg_over(self, now, leg, why, code):
        playback = leg.playback
        self.legs.pop(playback, None)
        ending = {"silent": Ending.SILENT, "broken": Ending.BROKEN, "called off": Ending.CALLED_OFF}.get(why)
        if ending is None:
            ending = Ending.FULL if code in FULL else Ending.ERRED
        self.runner.run(self.runner.core.attempt_ended, playback, ending)

    def leg_ended(self, now, leg, why):
        playback = leg.playback
        self.legs.pop(playback, None)
        leg.about.end(now, why)
        ending = Ending.PLAYED_OUT if why == "ended there" else Ending.BROKEN
        self.runner.run(self.runner.core.playback_ended, playback, ending)

    def passed_on(self, side, body):
        """A caller's new offer goes to its media server within the rung in force; the other way as it is."""
        part = side.part
        if not isinstance(part, Call) or part.playback is None or part.leg is None:
            return body
        try:
            part.offered = sdp.read(body)
        except sdp.Unusable:
            return body
        return self._offer(part, part.playback, part.playback.rung)

    def stray(self, now, message, number):
        """A media server answers a call that was given up as silent: it is taken, and ended."""
        contact = message.get("contact")
        if contact is None or not message.named("to").tag:
            return
        made = Dialog(
            message.get("call-id"),
            message.named("from"),
            message.named("to"),
            Name.read(contact, "Contact").uri,
            reversed(message.all("record-route")),
            number,
        )
        port = made.target.port or 5060
        self.bridge.refuse_stray(now, made, number, self.peer(f"{made.target.host}:{port}"))

    def playing(self):
        return sum(leg.state is Calling.UP for leg in self.legs.values())

    def close(self):
        """Ends what stands, and turns away what waits."""
        now = self.runner.clock.now()
        for call in list(self.bridge.calls.values()):
            if call.state is Asked.ASKED:
                call.decline(now, 503, 1)
            else:
                call.end(now, "closing")
        for leg in list(self.legs.values()):
            leg.end(now)


def _host_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
