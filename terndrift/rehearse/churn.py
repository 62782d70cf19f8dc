"""A rehearsal's list as a source serves it over xDS: it changes all the time, with faults on its streams."""

from dataclasses import replace

from terndrift.listing.lines import worst
from terndrift.standin.xds import Source, streamer
from terndrift.xds.session import ENDPOINT


class Churn:
    def __init__(self, rehearsal):
        self.rehearsal, self.source, self.lines = rehearsal, Source(), {}
        self.off, self.cluster = {}, {}  # streamer id -> removed, draining or gone; -> its cluster

    async def start(self):
        self.source.ledger = self.rehearsal.ledger
        for name, row in self.rehearsal.lines.items():
            self.lines[row["id"]] = streamer(name, row["id"], row["address"], row["rack"], row["kind"])
            self.cluster[row["id"]] = row["rack"]
        self.tell()
        await self.source.start()

    def sources(self, n):
        """Of the n-th controller's front file: both forms are followed on one day."""
        return {"main": {"source": self.source.address, "form": ("delta", "sotw")[n % 2]}}

    def tell(self):
        """The list as edits and changes have left it."""
        r, clusters = self.rehearsal, {f"rack-{n}": {} for n in set(self.cluster.values())}
        for id, line in self.lines.items():
            off, edited = self.off.get(id, "ready"), r.standing.get(id, "ready")
            if off == "removed":
                continue
            standing = worst((off, edited))
            clusters[f"rack-{self.cluster[id]}"][line.name] = replace(
                line, standing=standing, started=r.started.get(id, 0.0)
            )
        self.source.clusters = clusters
        self.source.changed()

    def work(self):
        return [self._changes(), self._faults()]

    async def _changes(self):
        for at, kind, id, value in self.rehearsal.drawn.churn:
            await self.rehearsal._until(at)
            if kind == "standing":
                self.off[id] = value
            elif kind == "weight":
                self.lines[id] = replace(self.lines[id], weight=value)
            else:
                self.cluster[id] = value
            self.tell()
            self.rehearsal.ledger.note("list change", kind=kind, streamer=id, value=value)

    async def _faults(self):
        for at, kind in self.rehearsal.drawn.stream_faults:
            await self.rehearsal._until(at)
            self.rehearsal.ledger.note("stream fault", kind=kind)
            if kind == "silent":
                self.source.silent(1.5)
            elif kind == "half invalid":
                clusters = self.source.clusters
                self.source.half_invalid(max(clusters, key=lambda name: len(clusters[name])))
            elif kind == "wrong type":
                self.source.raw("type.googleapis.com/envoy.config.listener.v3.Listener", [])
            elif kind == "nobody":
                self.source.raw(ENDPOINT, [], removed=("nobody",))
            else:
                getattr(self.source, kind)()  # reset, restart, repeat

    async def stop(self):
        if self.source.server is not None:
            await self.source.stop()
        self.rehearsal.ledger.note("refusals", count=len(self.source.refused))
