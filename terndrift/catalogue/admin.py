"""The catalogue over HTTP, on a listener of its own; JSON, conditional by ETag and If-Match (RFC 9110, 13).

GET  /catalogue                     version, counts, holders that no list names
GET  /catalogue/titles/<name>       one title                       (ETag: its version)
PUT  /catalogue/titles/<name>       put it                          (If-Match: the catalogue's version)
DELETE /catalogue/titles/<name>     drop it
POST /catalogue/changes             {id, base, put, drop, whole}
POST /catalogue/rollback            {id, version}
GET  /catalogue/history             the last changes
GET  /catalogue/diff?from=3&to=5
GET  /listing                       the list in force, its sources, alarms and limits; loads heard
POST /listing/confirm               {source, addresses}: what it dropped in panic is gone; null: all
GET  /fleet/members, /fleet/record, /fleet/work   who is there, as seen here; what is agreed; planned work
GET  /fleet/recovery, /fleet/load   how far its return is; what all were asked for and gave, what is shed
POST /fleet/propose                 {id, value, wait}: an entry of the record
POST /fleet/restart                 {state}: the record begins anew, with that state or (null) empty
"""

import json
import secrets
import time
from urllib.parse import parse_qs, unquote

from terndrift.catalogue.service import builtins
from terndrift.catalogue.titles import Fault
from terndrift.catalogue.versions import Conflict, change_of
from terndrift.store.store import Broken

# Larger loads go in parts, or into the folder while nothing serves (`terndrift catalogue load --store`).
BODY = 16 * 1024 * 1024


class Bad(Exception):
    """A request that can't be taken: (code, what)."""

    def __init__(self, code, what):
        super().__init__(what)
        self.code, self.what = code, what


class Admin:
    """`listed()`: ids of the streamers that the list names; `listing`: a listing.service.Listing."""

    def __init__(self, catalogue, listed, listing=None, loads=dict, fleet=None):
        self.catalogue, self.listed, self.listing, self.loads = catalogue, listed, listing, loads
        self.fleet = fleet

    async def handle(self, exchange):
        try:
            await self._route(exchange)
        except Bad as bad:
            await exchange.reply(bad.code, data={"error": bad.what})
        except Fault as wrong:
            found = [{"path": path, "what": what} for path, what in wrong.found]
            await exchange.reply(422, data={"error": "not sound", "faults": found})
        except Conflict as lost:
            await exchange.reply(
                409, {"ETag": f'"{lost.version}"'}, data={"error": str(lost), "version": lost.version}
            )
        except (OSError, Broken) as wrong:
            await exchange.reply(503, data={"error": f"not kept: {wrong}"})

    async def _route(self, exchange):
        parts, method = exchange.path.strip("/").split("/"), exchange.method
        if parts[0] == "listing" and self.listing is not None and len(parts) <= 2:
            return await self._list(exchange, parts[1:])
        if parts[0] == "fleet" and self.fleet is not None and len(parts) == 2:
            return await self._fleet(exchange, parts[1])
        if parts[0] != "catalogue" or len(parts) > 3:
            raise Bad(404, "nothing here")
        if method != "GET" and self.fleet is not None and self.fleet.unsure():
            # a copy of another's catalogue may be on its way, and would take the change back
            raise Bad(503, "this controller has started and does not know yet which catalogue is that of now")
        if len(parts) == 1:
            self._only(exchange, "GET")
            return await self._about(exchange)
        if parts[1] == "titles" and len(parts) == 3:
            self._only(exchange, "GET", "PUT", "DELETE")
            return await self._title(exchange, method, unquote(parts[2]))
        if len(parts) == 2 and parts[1] in ("changes", "rollback"):
            self._only(exchange, "POST")
            return await (self._change if parts[1] == "changes" else self._rollback)(exchange)
        if len(parts) == 2 and parts[1] in ("history", "diff"):
            self._only(exchange, "GET")
            return await (self._history if parts[1] == "history" else self._diff)(exchange)
        raise Bad(404, "nothing here")

    @staticmethod
    def _only(exchange, *methods):
        if exchange.method not in methods:
            raise Bad(405, f"only {', '.join(methods)}")

    def _json(self, exchange):
        try:
            return json.loads(bytes(exchange.body) or b"null")
        except (ValueError, RecursionError) as wrong:
            raise Bad(400, f"not JSON: {wrong}") from None

    def _base(self, exchange, given=None):
        """The version that a change was made against: If-Match, or its own word; the two must agree."""
        match = exchange.headers.get("If-Match")
        if match is None or match.strip() == "*":
            return given
        number = match.strip().strip('"')
        if not number.isascii() or not number.isdigit():
            raise Bad(400, f"If-Match: {match} is no version")
        if given is not None and given != int(number):
            raise Bad(400, f"If-Match {number} and base {given} differ")
        return int(number)

    def _by(self, exchange):
        return exchange.headers.get("From", exchange.source)[:128]

    async def _made(self, exchange, value):
        change = change_of(value, self._by(exchange), time.time())
        version, fresh = await self.catalogue.apply(change)
        await exchange.reply(200, {"ETag": f'"{version}"'}, data={"version": version, "new": fresh})

    async def _list(self, exchange, parts):
        if not parts:
            self._only(exchange, "GET")
            return await exchange.reply(200, data={**self.listing.report(), "loads": self.loads()})
        if parts != ["confirm"]:
            raise Bad(404, "nothing here")
        self._only(exchange, "POST")
        value = self._json(exchange)
        named = value.get("source") if isinstance(value, dict) else None
        addresses = value.get("addresses") if isinstance(value, dict) else None
        if named not in self.listing.names:
            raise Bad(422, f"source: found {named!r}, wanted one of {', '.join(self.listing.names)}")
        if addresses is not None and not (
            isinstance(addresses, list) and all(isinstance(a, str) for a in addresses)
        ):
            raise Bad(422, "addresses: a list of HOST:PORT is wanted")
        return await exchange.reply(200, data={"gone": self.listing.confirm(named, addresses)})

    async def _fleet(self, exchange, what):
        if what in ("members", "record", "work", "recovery", "load"):
            self._only(exchange, "GET")
            return await exchange.reply(200, data=getattr(self.fleet, what)())
        if what not in ("propose", "restart"):
            raise Bad(404, "nothing here")
        self._only(exchange, "POST")
        value = self._json(exchange)
        if not isinstance(value, dict):
            raise Bad(422, "an object is wanted")
        code, said = await (self.fleet.propose if what == "propose" else self.fleet.restart)(value)
        return await exchange.reply(code, data=said)

    async def _about(self, exchange):
        v = self.catalogue.versions
        unlisted = self.catalogue.unlisted(self.listed())
        await exchange.reply(
            200,
            {"ETag": f'"{v.visible}"'},
            data={"version": v.visible, "titles": len(v.names()), "unlisted_holders": unlisted},
        )

    async def _title(self, exchange, method, name):
        v = self.catalogue.versions
        if method == "GET":
            title = v.get(name)
            if title is None:
                raise Bad(404, f"no title '{name}'")
            missing = [i for i in title.holders if i not in self.listed()]
            made = next(made for made, value in reversed(v.titles[name]) if made <= v.visible)
            return await exchange.reply(
                200,
                {"ETag": f'"{made}"'},
                data={**builtins(title), "version": made, "unlisted_holders": missing},
            )
        id = exchange.headers.get("Idempotency-Key") or f"admin-{secrets.token_hex(8)}"
        change = {"id": id, "base": self._base(exchange)}
        if method == "PUT":
            return await self._made(exchange, {**change, "put": {name: self._json(exchange)}})
        return await self._made(exchange, {**change, "drop": [name]})

    async def _change(self, exchange):
        value = self._json(exchange)
        if isinstance(value, dict):
            value["base"] = self._base(exchange, value.get("base"))
        await self._made(exchange, value)

    async def _rollback(self, exchange):
        value = self._json(exchange)
        if not isinstance(value, dict) or not isinstance(value.get("version"), int):
            raise Bad(422, "a version is wanted")
        id = value.get("id") or f"admin-{secrets.token_hex(8)}"
        change = self.catalogue.versions.rollback(value["version"], str(id), self._by(exchange), time.time())
        version, fresh = await self.catalogue.apply(change)
        await exchange.reply(200, {"ETag": f'"{version}"'}, data={"version": version, "new": fresh})

    async def _history(self, exchange):
        past = [
            {
                "version": p.version,
                "id": p.id,
                "by": p.by,
                "at": p.at,
                "titles": p.names,
                "can_go_back": p.before is not None,
            }
            for p in self.catalogue.versions.past
            if p.version <= self.catalogue.versions.visible
        ]
        await exchange.reply(200, data={"version": self.catalogue.versions.visible, "changes": past})

    async def _diff(self, exchange):
        query = parse_qs(exchange.query)
        try:
            old, new = (int(query[k][0]) for k in ("from", "to"))
        except (KeyError, ValueError):
            raise Bad(400, "from=VERSION&to=VERSION is wanted") from None
        found = self.catalogue.versions.diff(old, new)
        await exchange.reply(
            200,
            data={
                name: {"was": was and builtins(was), "is": now and builtins(now)}
                for name, (was, now) in found.items()
            },
        )
