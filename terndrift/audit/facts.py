"""The notes of stand-ins, put together: asks with their answers, tries with their ends, and who was up."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass
class Ask:
    """A player's request for a set-up."""

    ask: str
    visit: str
    title: str
    controller: str
    at: int
    until: int  # when its client gives up
    answers: list = field(default_factory=list)  # (when, code)
    broken: int = 0  # when its connection ended without an answer; 0: it did not


@dataclass
class Try:
    """A set-up try as a streamer saw it."""

    pb: str
    number: int
    streamer: int
    title: str
    at: int
    br: int
    over: int = 0  # when its answer went out or its connection ended; 0: neither was seen
    code: int | None = None
    ran: bool = False

    def may_have_run(self):
        # a streamer's 503 says that nothing was done; all else, no answer too, may have run
        return self.ran or self.code != 503


class Facts:
    """`notes`: lists of notes by who wrote them; `told_within`: s from a list written to a list taken."""

    def __init__(self, deployment, notes, told_within):
        self.deployment, self.told_within = deployment, int(told_within * SECOND)
        self.rules, self.viewers, self.streamers = deployment["rules"], notes["viewers"], notes["streamers"]
        self.runner = notes["runner"]
        self.asks, self.tries, self.ups = {}, [], defaultdict(list)
        self.downs = defaultdict(list)  # streamer -> when it went down
        self.kinds = {}  # streamer -> its kind, as it said when it came up
        self.farewells, self.media, self.fell = {}, defaultdict(list), []
        self.visit_of = {}  # playback -> the visit that its tries named
        self._asks()
        self._tries()
        self.by_pb = defaultdict(list)
        for t in self.tries:
            self.by_pb[t.pb].append(t)
        self.controller_downs = defaultdict(list)  # address -> (down, up again or 0)
        self.names = {}  # controller's name -> its address
        for n in sorted(self.runner, key=lambda n: n["t"]):
            if n["what"] == "controller down":
                self.controller_downs[n["address"]].append([n["t"], 0])
            elif n["what"] == "controller up":
                self.names[n["name"]] = n["address"]
                if self.controller_downs[n["address"]]:
                    self.controller_downs[n["address"]][-1][1] = n["t"]

    def plan_of(self, title):
        name = self.deployment["titles"][title]["plan"]
        return self.deployment["plans"][name]

    def _asks(self):
        for n in self.viewers:
            if n["what"] == "ask":
                self.asks[n["ask"]] = Ask(
                    n["ask"], n["visit"], n["title"], n["controller"], n["t"], n["until"]
                )
            elif n["what"] == "answer":
                self.asks[n["ask"]].answers.append((n["t"], n["code"]))
            elif n["what"] == "sent on":  # the first one did not take it
                self.asks[n["ask"]].controller = n["controller"]
            elif n["what"] == "no answer":
                self.asks[n["ask"]].broken = n["t"]

    def _tries(self):
        out = {}
        for n in sorted(self.streamers, key=lambda n: n["t"]):
            what, key = n["what"], (n.get("streamer"), n.get("pb"), n.get("number"))
            if what == "try":
                t = out[key] = Try(n["pb"], n["number"], n["streamer"], n["title"], n["t"], n["br"] or 0)
                self.tries.append(t)
                self.visit_of[n["pb"]] = n.get("sid")
            elif what in ("try end", "try gone") and key in out and not out[key].over:
                out[key].over = n["t"]
                if what == "try end":
                    out[key].code, out[key].ran = n["code"], out[key].ran or n["ran"]
            elif what == "ran" and key in out:
                out[key].ran = True
            elif what == "up":
                self.ups[n["streamer"]].append((n["t"], n["cold"]))
                self.kinds[n["streamer"]] = n.get("kind")
            elif what in ("down", "fell"):
                self.downs[n["streamer"]].append(n["t"])
                if what == "fell":
                    self.fell.append(n)
            elif what == "farewell":
                self.farewells.setdefault(n["pb"], n["t"])
            elif what == "media":
                self.media[n["pb"]].append((n["t"], n["rung"]))

    def was_down(self, address, since, until):
        """Whether that controller was down at some time between."""
        return any(down <= until and (not up or up >= since) for down, up in self.controller_downs[address])

    def up_again(self, address, at):
        """When a controller that was down at that time came up; 0: it was up, or stayed down."""
        return next((up for down, up in self.controller_downs[address] if down <= at < up), 0)

    def started_before(self, streamer, at):
        """When the streamer last started cold before then; 0: long ago."""
        ups = self.ups[streamer]
        n = bisect_right(ups, (at, True))
        return ups[n - 1][0] if n and ups[n - 1][1] else 0
