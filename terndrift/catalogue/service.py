"""The catalogue in service: changes become durable, then visible, and whoever serves hears of each."""

import time

import msgspec

from terndrift.catalogue.titles import Title
from terndrift.catalogue.versions import Change, Past, Versions, fingerprint
from terndrift.scheduler.plan import Priority
from terndrift.store.store import Broken

STREAM = "catalogue"
# Records after which a snapshot is written: a start then replays as many at most, some ms of work.
SNAPSHOT_AFTER = 2000


def builtins(title):
    return msgspec.to_builtins(title)


class Keeper:
    """The catalogue's side of the store."""

    def __init__(self, versions):
        self.versions = versions

    def restore(self, items):
        v = self.versions
        for item in items:
            if isinstance(item, dict):
                v.newest = v.visible = item["version"]
                v.ids.update((id, (version, mark)) for id, version, mark in item["ids"])
                for version, id, by, at, names, before in item["past"]:
                    kept = (
                        None
                        if before is None
                        else {n: t and msgspec.convert(t, Title) for n, t in before.items()}
                    )
                    v.past.append(Past(version, id, by, at, names, kept))
            else:
                name, made, value = item
                v.titles[name] = [(made, msgspec.convert(value, Title))]

    def replay(self, record):
        """A change that was made: it is not checked again, as it may be older than the plans of now."""
        v = self.versions
        put = {name: msgspec.convert(t, Title) for name, t in record["put"].items()}
        change = Change(
            record["id"],
            record["by"],
            record["at"],
            None,
            put,
            tuple(record["drop"]),
            knows=tuple(record.get("knows", ())),
        )
        version = v._make(change, change.drop, record["mark"])
        if version != record["version"]:
            raise ValueError(f"version {record['version']} where {version} is next")
        v.publish(version)

    def items(self):
        """The visible version, whole, whatever is changed while it is read."""
        v = self.versions
        version = v.pin()
        past = [
            (
                p.version,
                p.id,
                p.by,
                p.at,
                p.names,
                None if p.before is None else {n: t and builtins(t) for n, t in p.before.items()},
            )
            for p in v.past
            if p.version <= version
        ]
        ids = [(id, made, mark) for id, (made, mark) in v.ids.items() if made <= version]
        return self._items(version, past, ids)

    def _items(self, version, past, ids):
        try:
            yield {"version": version, "past": past, "ids": ids}
            for name, made, value in self.versions.items(version):
                yield name, made, builtins(value)
        finally:
            self.versions.unpin()


class Catalogue:
    """`changed(names)` is called when a version becomes visible, with what it touched. `committer` None: what
    is changed is kept for this run alone."""

    def __init__(self, versions, committer=None, runner=None, changed=None, log=None, wall=time.time):
        self.versions, self.committer, self.runner = versions, committer, runner
        self.changed, self.log, self.wall = changed or (lambda names: None), log, wall

    async def apply(self, change):
        """Makes a change; returns (version, whether it is new) once it is durable and visible. Raises
        titles.Fault, versions.Conflict, store.NotKept, store.Broken."""
        version, fresh = self.versions.stage(change)
        if not fresh:
            # it may still be on its way to the disk: who asks again must not hear of it sooner
            if self.committer is not None and version > self.versions.visible:
                await self.committer.append([])
            return version, False
        if self.committer is not None:
            past = self.versions.past[-1]
            dropped = [n for n in self.versions.staged[version] if n not in change.put]
            record = {
                "id": change.id,
                "by": change.by,
                "at": change.at,
                "version": past.version,
                "put": {name: builtins(t) for name, t in change.put.items()},
                "drop": dropped,
                "mark": fingerprint(change),
            }
            if change.knows:
                record["knows"] = list(change.knows)
            try:
                await self.committer.append([(STREAM, record)])
            except (OSError, Broken):
                self.versions.withdraw()
                raise
        names = self.versions.publish(version)
        if self.log:
            self.log.info("catalogue", version=version, change=change.id, by=change.by, titles=len(names))
        self.changed(names)
        self._snapshot()
        return version, True

    def _snapshot(self):
        if self.committer is None or self.runner is None or self.runner.busy("snapshot"):
            return
        if self.committer.store.since_snapshot >= SNAPSHOT_AFTER:
            self.runner.run("snapshot", self.committer.snapshot(), Priority.BACKGROUND)

    def unlisted(self, known):
        """{title: ids of holders that no list names}, of those that have any."""
        out = {}
        for name in self.versions.names():
            missing = [i for i in self.versions.get(name).holders if i not in known]
            if missing:
                out[name] = missing
        return out


def over(plans, ladder):
    """Versions beside a deployment's plans (interface.Plan by name) and ladder (bytes a second)."""
    return Versions({name: (plan.floor, plan.top) for name, plan in plans.items()}, tuple(ladder))
