"""Hosts instances of the decisions: decodes batches into calls, encodes what the calls hand back."""

import base64
import binascii
import sys
from dataclasses import replace

from terndrift import terms
from terndrift.adapter import codec
from terndrift.decide import Controller, State
from terndrift.terms import Malformed, number, text, whole


class Instance:
    """One controller, and what the wire has been told of its playbacks."""

    def __init__(self, settings, now):
        settings = terms.Read(settings)
        self.deployment, self.report_names, self.layout = terms.deployment(settings)
        self.unknown = settings.unknown()
        self.controller = Controller(self.deployment, now)
        self.told = {}  # playback id -> [tries, rung] as last sent
        self.list_calls = 0
        self.ring_at = None

    def encode(self, changed, out):
        if self.controller.list_calls > self.list_calls:
            self.list_calls = self.controller.list_calls
            out.append("subscribe on=1")
        for pb in changed:
            told = self.told.setdefault(pb.id, [0, pb.plan.floor])
            if pb.state in (State.TRYING, State.PLAYING) and pb.rung != told[1]:
                out.append(f"quality corr={pb.id} tier_no={pb.rung}")
                told[1] = pb.rung
            if pb.state is State.TRYING and pb.tries > told[0]:
                out.append(f"relay corr={pb.id} streamer={pb.streamer.listed.id} allow_for_ns={pb.time_out}")
                told[0] = pb.tries
            elif pb.state is State.REJECTED:
                advice = f" hold_off_ns={pb.come_back}" if pb.come_back else ""
                out.append(f"not_now corr={pb.id}{advice}")
                self.told.pop(pb.id)
            elif pb.state is State.ABORTED:
                out.append(f"respond_error corr={pb.id}")
                self.told.pop(pb.id)


class Host:
    def __init__(self):
        self.instances = {}
        self.lists = {}  # number -> entries
        self.said = False

    def batch(self, now, lines):
        """The reply to one batch; `lines` yields the lines between its clock and its end."""
        actions = {}  # instance -> its lines
        who, inst = None, None
        for line in lines:
            name, f = codec.fields(line)
            if name == "switch_to":
                who = whole(f, "who")
                inst = self.instances.get(who)
            elif name == "directory":
                table, count = whole(f, "table"), whole(f, "lines")
                self.lists[table] = [codec.listed(next(lines, "")) for _ in range(count)]
            elif who is None:
                raise Malformed(f"'{name}' before any 'switch_to'")
            elif name == "enlist":
                inst = self.instances[who] = Instance(f, now)
                if inst.unknown and not self.said:  # once: all instances of a deployment are told the same
                    self.said = True
                    print("terndrift: settings not known:", *inst.unknown, file=sys.stderr)
            elif name == "crash_now":
                inst = None
                self.instances.pop(who, None)
                actions.pop(who, None)
            elif name not in CALLS:
                raise Malformed(f"'{name}' is not known")
            elif inst is None:
                continue  # nothing more is owed for an instance that has stopped
            else:
                out = actions.setdefault(who, [])
                try:
                    inst.encode(CALLS[name](self, inst, now, f), out)
                except Malformed:
                    raise
                except Exception as fault:  # reported on the wire, never swallowed
                    out.append(f"die reason_text={type(fault).__name__}: {fault}".replace("\n", " "))
        reply = []
        for who, out in actions.items():
            inst = self.instances[who]
            at = inst.controller.wake_at
            if at is not None and (inst.ring_at is None or at < inst.ring_at or inst.ring_at <= now):
                inst.ring_at = max(at, now + 1)
                out.append(f"sleep in_ns={inst.ring_at - now} handle={inst.ring_at}")
            if out:
                reply.append(f"instance who={who}")
                reply += out
        return reply

    def endpoints(self, inst, now, f):
        how = whole(f, "how")
        if how == 3:
            return inst.controller.list_failed(now)
        if how not in (0, 1, 2):
            raise Malformed(f"'how={how}' is not known")
        table = whole(f, "table")
        if table not in self.lists:
            raise Malformed(f"no directory {table}")
        entries = [replace(e, rack=inst.layout.rack(e.cell)) for e in self.lists[table]]
        return inst.controller.list_changed(now, entries, how != 0, how == 2)

    def asked(self, inst, now, f):
        plan = text(f, "qos")
        if plan not in inst.deployment.plans:
            raise Malformed(f"'qos={plan}' is not known")
        marks = whole(f, "opts", 0)
        row = inst.deployment.plans[plan]
        top = min(int(number(f, "top", 1e9)), row.top, len(inst.deployment.ladder.rates) - 1)
        first = int(number(f, "start_cell", 0))
        return dict(
            id=text(f, "corr"),
            plan=plan,
            title=f.get("title", ""),
            cells=inst.layout.holders(first, int(number(f, "spread", 0))),
            top=top,
            time_left=whole(f, "expires_in_ns"),
            hint=whole(f, "work_ns", 0) if marks & 1 else 0,
            moved=bool(marks & 8),
        )

    def new_request(self, inst, now, f):
        return inst.controller.wanted(now, **self.asked(inst, now, f))

    def existing(self, inst, now, f):
        asked = self.asked(inst, now, f)
        # its rung is told by a note; until then nothing is to be sent of it
        inst.told[asked["id"]] = [1, inst.deployment.plans[asked["plan"]].floor]
        return inst.controller.handed_over(now, **asked, streamer=whole(f, "streamer"))

    def accepted(self, inst, now, f):
        return inst.controller.playing(now, text(f, "corr"), whole(f, "took_ns", 0))

    def done(self, inst, now, f):
        id, finished = text(f, "corr"), f.get("settled") == "1"
        ending = codec.one_of(f, "rc", codec.ENDINGS)
        if finished:
            inst.told.pop(id, None)
        return inst.controller.try_ended(
            now,
            id,
            ending,
            whole(f, "took_ns", 0),
            finished,
            whole(f, "streamer"),
            codec.report(f, inst.report_names),
        )

    def gone(self, inst, now, f):
        return inst.controller.viewer_left(now, text(f, "corr"))

    def ring(self, inst, now, f):
        if whole(f, "handle") == inst.ring_at:
            inst.ring_at = None
        return inst.controller.wake(now)

    def status_note(self, inst, now, f):
        id, streamer, sort, x = text(f, "corr"), whole(f, "streamer"), whole(f, "sort"), number(f, "x")
        c = inst.controller
        if sort == 1:
            return c.told_share(now, streamer, x)
        if sort == 2:
            if id in inst.told:
                inst.told[id][1] = int(x)
            return c.told_rung(now, id, int(x))
        if sort in (3, 4):
            return c.told_use(now, id, streamer, *((x, None) if sort == 3 else (None, x)))
        return []

    def memo(self, inst, now, f):
        try:
            data = base64.b64decode(f.get("octets", "-").replace("-", ""), validate=True)
        except binascii.Error:
            return []  # cut short on the way
        return inst.controller.peer_message(now, whole(f, "author"), data)

    def echo(self, inst, now, f):
        return inst.controller.probe_answer(
            now,
            whole(f, "streamer"),
            codec.one_of(f, "rc", codec.ENDINGS),
            whole(f, "took_ns", 0),
            codec.report(f, inst.report_names),
        )


CALLS = {
    name: getattr(Host, name)
    for name in (
        "endpoints",
        "new_request",
        "existing",
        "accepted",
        "done",
        "gone",
        "ring",
        "status_note",
        "memo",
        "echo",
    )
}
