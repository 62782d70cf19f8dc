"""Transactions by their keys: messages in, messages and events out. No I/O; times in ns are given.

A `peer` is where a message came from or goes to, opaque here but for `reliable`. Events are handed back in
order as (what, transaction or None, message or why):

    "request", server transaction, message     a new request; answer it with `say`
    "ack", server transaction or None, message the ACK of a success
    "cancel", server transaction of the INVITE, message   already answered with 200
    "response", client transaction, message
    "stray", None, message                     a success of an INVITE whose transaction is over
    "over", transaction, why                   "timeout" or "transport": no final answer came, or no ACK
"""

import heapq
import itertools
from collections import OrderedDict

from terndrift.core.admission import AdmissionGate
from terndrift.sip.message import MAGIC, Bad, Via, response
from terndrift.sip.transaction import ClientInvite, ClientOther, ServerInvite, ServerOther, State, cancel_of

SECOND = 1_000_000_000
# Server transactions held at once that are not completed, in all; one source may have a part of them. A
# request over that is answered 503 without one.
MOST = 20_000
# Completed server transactions of other requests than INVITE, kept to answer a request that is sent again.
# The oldest goes for one more: such a request is then taken for a new one.
MAX_COMPLETED = 2_000


class Transaction:
    def __init__(self, key, machine, peer):
        self.key, self.machine, self.peer, self.source = key, machine, peer, peer.address
        self.owner = None  # whoever started it, or answers it
        self.admitted = False  # whether it counts among the server transactions held

    @property
    def request(self):
        return self.machine.request

    @property
    def over(self):
        return self.machine.state is State.TERMINATED


class Stack:
    """`out` gathers (peer, bytes) to be sent; whoever drives this takes them after each call. `sent_by`:
    host and port for our Via. `draw(n)`: n bytes of chance, for branches."""

    def __init__(self, times, sent_by, draw, most=MOST, max_completed=MAX_COMPLETED):
        self.times, self.sent_by, self.draw, self.max_completed = times, sent_by, draw, max_completed
        self.admission = AdmissionGate(most)
        self.completed = OrderedDict()  # Transaction -> None, the one to end first first
        self.servers, self.clients, self.out = {}, {}, []
        self.timers, self.numbers = [], itertools.count()
        self.counts = {"dropped": 0, "absorbed": 0, "bad": 0}

    # In.

    def received(self, now, found, peer):
        """A Message, or the Bad that reading it raised."""
        if isinstance(found, Bad):
            return self._bad(now, found, peer)
        if found.method is None:
            return self._response(now, found)
        return self._request(now, found, peer)

    def _bad(self, now, bad, peer):
        """What can't be taken is answered once, without a transaction, if there is whom and what to
        answer."""
        self.counts["bad"] += 1
        message = bad.partial
        if not bad.code or message is None or message.method in (None, "ACK"):
            return []
        if any(message.get(n) is None for n in ("via", "from", "to", "call-id", "cseq")):
            return []
        reply = response(message, bad.code, tag=self.draw(4).hex())
        if bad.code == 400:
            reply.reason = f"{bad.where or 'message'}: {bad.what}"[:100].replace("\r", " ").replace("\n", " ")
        self.out.append((peer, reply.encode()))
        return []

    def server_key(self, message, method=None):
        """17.2.3; requests of RFC 2543, without the magic cookie, by what they say of themselves."""
        via, method = message.via(), method or message.method
        method = "INVITE" if method == "ACK" else method
        if via.branch.startswith(MAGIC):
            return via.branch, via.host.lower(), via.port, method
        number, _ = message.cseq
        return message.get("call-id"), message.named("from").tag, number, str(via), method

    def _request(self, now, message, peer):
        key = self.server_key(message)
        known = self.servers.get(key)
        if known is not None:
            known.peer = peer if not peer.reliable else known.peer
            if message.method != "ACK":
                self.counts["absorbed"] += 1
            return self._did(now, known, known.machine.received(now, message))
        if message.method == "ACK":
            return [("ack", None, message)]
        if message.method == "CANCEL":
            return self._cancel(now, message, peer)
        if wait := self.admission.admit(now, peer.address):
            headers = [("retry-after", -(-wait // SECOND))]
            reply = response(message, 503, tag=self.draw(4).hex(), headers=headers)
            self.out.append((peer, reply.encode()))
            return []
        kind = ServerInvite if message.method == "INVITE" else ServerOther
        t = self.servers[key] = Transaction(key, kind(message, self.times, peer.reliable), peer)
        t.admitted = True
        return self._did(now, t, t.machine.start(now))

    def _cancel(self, now, message, peer):
        """9.2: answered by itself; the INVITE is for who answers that."""
        t = self.servers.get(self.server_key(message, "INVITE"))
        kind = ServerOther(message, self.times, peer.reliable)
        own = self.servers[self.server_key(message)] = Transaction(self.server_key(message), kind, peer)
        events = self.say(now, own, response(message, 200 if t else 481, tag=self.draw(4).hex()))
        return [*events, ("cancel", t, message)] if t else events

    def _response(self, now, message):
        try:
            key = message.via().branch, message.cseq[1]
        except Bad:
            return []
        t = self.clients.get(key)
        if t is None:
            if key[1] == "INVITE" and 200 <= message.code < 300:
                return [("stray", None, message)]
            self.counts["dropped"] += 1
            return []
        return self._did(now, t, t.machine.received(now, message))

    # Out.

    def send(self, now, message, peer, owner=None):
        """A new request, in a client transaction; returns (transaction, events)."""
        transport = "TCP" if peer.reliable else "UDP"
        branch = MAGIC + self.draw(10).hex()
        host, port = self.sent_by
        via = Via(transport, host, port, {"branch": branch, "rport": None})
        message.headers.insert(0, ("via", str(via)))
        kind = ClientInvite if message.method == "INVITE" else ClientOther
        t = Transaction((branch, message.method), kind(message, self.times, peer.reliable), peer)
        t.owner = owner
        self.clients[t.key] = t
        return t, self._did(now, t, t.machine.start(now))

    def cancel(self, now, invite):
        """Cancels a client's INVITE, on its branch (9.1); only once a provisional answer has come."""
        message = cancel_of(invite.request)
        machine = ClientOther(message, self.times, invite.peer.reliable)
        t = Transaction((message.via().branch, "CANCEL"), machine, invite.peer)
        self.clients[t.key] = t
        return self._did(now, t, t.machine.start(now))

    def plain(self, message, peer):
        """A message outside of any transaction: the ACK of a success."""
        host, port = self.sent_by
        via = Via("TCP" if peer.reliable else "UDP", host, port, {"branch": MAGIC + self.draw(10).hex()})
        message.headers.insert(0, ("via", str(via)))
        self.out.append((peer, message.encode()))

    def say(self, now, t, message):
        """An answer in a server transaction."""
        return self._did(now, t, t.machine.say(now, message))

    def broken(self, now, peer):
        """What goes to that peer does not get there: its connection is gone."""
        events = []
        for t in [t for t in (*self.clients.values(), *self.servers.values()) if t.peer == peer]:
            events += self._did(now, t, t.machine.broken(now))
        return events

    # Time.

    def next_at(self):
        while self.timers and self._stale(self.timers[0]):
            heapq.heappop(self.timers)
        times = [self.timers[0][0]] if self.timers else []
        if self.completed:
            times.append(next(iter(self.completed)).machine.next_at())
        return min(times, default=None)

    @staticmethod
    def _stale(entry):
        at, _, t = entry
        return t.machine.next_at() != at

    def tick(self, now):
        events = []
        while (at := self.next_at()) is not None and at <= now:
            if self.timers and self.timers[0][0] == at:
                _, _, t = heapq.heappop(self.timers)
            else:
                t = next(iter(self.completed))
            events += self._did(now, t, t.machine.tick(now))
        return events

    def _released(self, now, t):
        """A server transaction is completed or over: it does not count among those held any more."""
        if t.admitted:
            t.admitted = False
            self.admission.release(now, t.source)

    def _keep_completed(self, now, t):
        self._released(now, t)
        self.completed[t] = None
        if len(self.completed) > self.max_completed:
            oldest, _ = self.completed.popitem(last=False)
            del self.servers[oldest.key]

    def _did(self, now, t, actions):
        """Carries out what a machine says; returns the events."""
        events, client = [], isinstance(t.machine, ClientInvite | ClientOther)
        for what, value in actions:
            if what == "send":
                self.out.append((t.peer, value.encode()))
            elif what == "over":
                events.append(("over", t, value))
            elif client:
                events.append(("response", t, value))
            else:
                events.append(("ack" if value.method == "ACK" else "request", t, value))
        if t.over:
            (self.clients if client else self.servers).pop(t.key, None)
            self.completed.pop(t, None)
            self._released(now, t)
        elif isinstance(t.machine, ServerOther) and t.machine.state is State.COMPLETED:
            if t not in self.completed:
                self._keep_completed(now, t)
        elif (at := t.machine.next_at()) is not None:
            heapq.heappush(self.timers, (at, next(self.numbers), t))
        return events
