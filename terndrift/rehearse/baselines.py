"""Other orders of choice, as baselines beside the design: all else that the decisions do stays."""

from terndrift.decide import Controller


class Random(Controller):
    """Any holder, by chance."""

    def _rank_candidates(self, now, able, pb):
        return sorted(able, key=lambda s: self._random())


class RoundRobin(Controller):
    """The holder that was used longest ago."""

    def _rank_candidates(self, now, able, pb):
        last = self.__dict__.setdefault("last_used", {})
        return sorted(able, key=lambda s: last.get(s, 0))

    def _start_set_up(self, now, pb, s, rung):
        self.__dict__.setdefault("last_used", {})[s] = now
        return super()._start_set_up(now, pb, s, rung)


class LeastConnections(Controller):
    """The holder with the fewest of this controller's own playbacks."""

    def _rank_candidates(self, now, able, pb):
        return sorted(able, key=lambda s: (len(s.playbacks), self._random()))


POLICIES = {
    "design": Controller,
    "random": Random,
    "round-robin": RoundRobin,
    "least-connections": LeastConnections,
}
