"""Runs the simulated controllers: turns batches of events into calls and the changed playbacks into actions.

`adapter.__main__` hands each batch to `Host.process_batch`. Times are in ns of the simulator's clock, which
alone counts here: no clock may be read, no decision made and no I/O done but a warning on standard error.
The methods named in EVENT_HANDLERS have the names of the protocol's events.
"""

import base64
import binascii
import sys
from dataclasses import replace

from terndrift import operator_settings
from terndrift.adapter import codec
from terndrift.decide import Controller, State
from terndrift.operator_settings import MalformedInputError, read_float, read_int, read_text


class Instance:
    """One controller with its settings, and the state of its playbacks as last sent to the simulator."""

    def __init__(self, settings, now):
        settings = operator_settings.TrackedSettings(settings)
        self.deployment, self.report_fields, self.layout = operator_settings.read_deployment(settings)
        self.unknown_settings = settings.unknown_keys()
        self.controller = Controller(self.deployment, now)
        self.last_sent = {}  # playback id -> [number of attempts, rung]
        self.list_requests_sent = 0  # value of the controller's list_requests at the last `subscribe`
        self.timer_at = None  # ns at which the simulator's timer fires; None: no timer is set

    def encode(self, changed, out):
        """Appends to `out` the actions that are due for the playbacks that a call has changed.

        Only differences from what was last sent become actions. Rejected and failed playbacks are forgotten
        afterwards, as nothing more is sent for them.
        """
        if self.controller.list_requests > self.list_requests_sent:
            self.list_requests_sent = self.controller.list_requests
            out.append("subscribe on=1")
        for playback in changed:
            sent = self.last_sent.setdefault(playback.id, [0, playback.plan.floor])
            if playback.state in (State.ATTEMPTING, State.PLAYING) and playback.rung != sent[1]:
                out.append(f"quality corr={playback.id} tier_no={playback.rung}")
                sent[1] = playback.rung
            if playback.state is State.ATTEMPTING and playback.attempts > sent[0]:
                out.append(
                    f"relay corr={playback.id} streamer={playback.streamer.entry.id} "
                    f"allow_for_ns={playback.timeout}"
                )
                sent[0] = playback.attempts
            elif playback.state is State.REJECTED:
                advice = f" hold_off_ns={playback.retry_after}" if playback.retry_after else ""
                out.append(f"not_now corr={playback.id}{advice}")
                self.last_sent.pop(playback.id)
            elif playback.state is State.ABORTED:
                out.append(f"respond_error corr={playback.id}")
                self.last_sent.pop(playback.id)


class Host:
    """All instances of one simulation, and the server lists that they are sent by number."""

    def __init__(self):
        self.instances = {}  # instance number -> Instance
        self.lists = {}  # list number -> entries
        self.unknown_settings_reported = False

    def process_batch(self, now, lines):
        """Returns the lines that answer one batch; raises MalformedInputError.

        `now` is the batch's time in ns, `lines` yields its lines after `sync` and before `go`. An exception
        in a controller is answered with a `die` action of its instance, so that the simulator reports it.
        """
        actions = {}  # instance number -> lines of the reply
        instance_id, instance = None, None
        for line in lines:
            name, fields = codec.parse_line(line)
            if name == "switch_to":
                instance_id = read_int(fields, "who")
                instance = self.instances.get(instance_id)
            elif name == "directory":
                table, count = read_int(fields, "table"), read_int(fields, "lines")
                self.lists[table] = [codec.parse_list_entry(next(lines, "")) for _ in range(count)]
            elif instance_id is None:
                raise MalformedInputError(f"'{name}' comes before any 'switch_to'")
            elif name == "enlist":
                instance = self.instances[instance_id] = Instance(fields, now)
                # reported once, as all instances of a deployment get the same settings
                if instance.unknown_settings and not self.unknown_settings_reported:
                    self.unknown_settings_reported = True
                    print("terndrift: settings not known:", *instance.unknown_settings, file=sys.stderr)
            elif name == "crash_now":
                instance = None
                self.instances.pop(instance_id, None)
                actions.pop(instance_id, None)
            elif name not in EVENT_HANDLERS:
                raise MalformedInputError(f"unknown event '{name}'")
            elif instance is None:
                continue  # a stopped instance has nothing to answer
            else:
                out = actions.setdefault(instance_id, [])
                try:
                    instance.encode(EVENT_HANDLERS[name](self, instance, now, fields), out)
                except MalformedInputError:
                    raise
                except Exception as error:  # sent to the simulator, so that no fault goes unnoticed
                    out.append(f"die reason_text={type(error).__name__}: {error}".replace("\n", " "))
        reply = []
        for instance_id, out in actions.items():
            instance = self.instances[instance_id]
            wake_at = instance.controller.wake_at
            if wake_at is not None and (
                instance.timer_at is None or wake_at < instance.timer_at or instance.timer_at <= now
            ):
                instance.timer_at = max(wake_at, now + 1)
                out.append(f"sleep in_ns={instance.timer_at - now} handle={instance.timer_at}")
            if out:
                reply.append(f"instance who={instance_id}")
                reply += out
        return reply

    def endpoints(self, instance, now, fields):
        """Handles a server list: `how` 0 is a change, 1 a whole list, 2 a cached whole list, 3 a failure."""
        how = read_int(fields, "how")
        if how == 3:
            return instance.controller.list_failed(now)
        if how not in (0, 1, 2):
            raise MalformedInputError(f"'how={how}' is not a known value")
        table = read_int(fields, "table")
        if table not in self.lists:
            raise MalformedInputError(f"unknown directory {table}")
        entries = [replace(entry, rack=instance.layout.rack_of(entry.cell)) for entry in self.lists[table]]
        return instance.controller.list_changed(now, entries, how != 0, how == 2)

    def playback_request(self, instance, now, fields):
        """Returns the arguments of `Controller.request_playback` for a request's fields; raises
        MalformedInputError.

        `opts` is a bit set: with 1, `work_ns` is an estimate of the playing time in ns; with 8, the viewer
        was moved here.
        """
        plan_name = read_text(fields, "qos")
        if plan_name not in instance.deployment.plans:
            raise MalformedInputError(f"'qos={plan_name}' is not a known value")
        options = read_int(fields, "opts", 0)
        plan = instance.deployment.plans[plan_name]
        top = min(int(read_float(fields, "top", 1e9)), plan.top, len(instance.deployment.ladder.rates) - 1)
        first_cell = int(read_float(fields, "start_cell", 0))
        return dict(
            playback_id=read_text(fields, "corr"),
            plan=plan_name,
            title=fields.get("title", ""),
            cells=instance.layout.holder_cells(first_cell, int(read_float(fields, "spread", 0))),
            top=top,
            time_left=read_int(fields, "expires_in_ns"),
            expected_duration=read_int(fields, "work_ns", 0) if options & 1 else 0,
            moved=bool(options & 8),
        )

    def new_request(self, instance, now, fields):
        """Handles a viewer's request for a playback."""
        return instance.controller.request_playback(now, **self.playback_request(instance, now, fields))

    def existing(self, instance, now, fields):
        """Handles a playback that is handed over while it plays at a streamer."""
        request = self.playback_request(instance, now, fields)
        # A status note tells its rung; until then it counts as sent with the plan's floor, so that no
        # action goes out for it.
        instance.last_sent[request["playback_id"]] = [1, instance.deployment.plans[request["plan"]].floor]
        return instance.controller.adopt_playback(now, **request, streamer_id=read_int(fields, "streamer"))

    def accepted(self, instance, now, fields):
        """Handles a set-up that succeeded: the playback plays; `took_ns` is how long the set-up took."""
        return instance.controller.set_up_succeeded(
            now, read_text(fields, "corr"), read_int(fields, "took_ns", 0)
        )

    def done(self, instance, now, fields):
        """Handles the end of a set-up or a playback; with `settled=1` no attempt follows."""
        id, finished = read_text(fields, "corr"), fields.get("settled") == "1"
        ending = codec.read_choice(fields, "rc", codec.ENDINGS)
        if finished:
            instance.last_sent.pop(id, None)
        return instance.controller.attempt_ended(
            now,
            id,
            ending,
            read_int(fields, "took_ns", 0),
            finished,
            read_int(fields, "streamer"),
            codec.parse_load_report(fields, instance.report_fields),
        )

    def gone(self, instance, now, fields):
        """Handles a viewer that left: nothing more is sent for it."""
        return instance.controller.viewer_left(now, read_text(fields, "corr"))

    def ring(self, instance, now, fields):
        """Handles an expired timer; one that has been replaced meanwhile wakes the controller too."""
        if read_int(fields, "handle") == instance.timer_at:
            instance.timer_at = None
        return instance.controller.wake(now)

    def status_note(self, instance, now, fields):
        """Handles a figure about a playback or a streamer, by its `sort`; unknown sorts are ignored.

        1: share of their rates that playbacks got at the streamer; 2: rung in force of a playback handed
        over; 3 and 4: utilisation of the streamer's link and of its rack's uplink.
        """
        id, streamer, sort, value = (
            read_text(fields, "corr"),
            read_int(fields, "streamer"),
            read_int(fields, "sort"),
            read_float(fields, "x"),
        )
        controller = instance.controller
        if sort == 1:
            return controller.delivery_reported(now, streamer, value)
        if sort == 2:
            if id in instance.last_sent:
                instance.last_sent[id][1] = int(value)
            return controller.rung_reported(now, id, int(value))
        if sort in (3, 4):
            return controller.utilisation_reported(
                now, id, streamer, *((value, None) if sort == 3 else (None, value))
            )
        return []

    def memo(self, instance, now, fields):
        """Handles a message from another controller; one that is not valid base64 is dropped."""
        try:
            data = base64.b64decode(fields.get("octets", "-").replace("-", ""), validate=True)
        except binascii.Error:
            return []  # truncated in transit
        return instance.controller.peer_message(now, read_int(fields, "author"), data)

    def echo(self, instance, now, fields):
        """Handles the result of a probe."""
        return instance.controller.probe_answer(
            now,
            read_int(fields, "streamer"),
            codec.read_choice(fields, "rc", codec.ENDINGS),
            read_int(fields, "took_ns", 0),
            codec.parse_load_report(fields, instance.report_fields),
        )


# Event name on the wire -> method that handles it and returns the playbacks that changed.
EVENT_HANDLERS = {
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
