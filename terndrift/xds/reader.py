"""One source: from responses to what the listing is told. The same for every way of asking."""

from terndrift.scheduler.slices import sliced
from terndrift.xds import codec
from terndrift.xds.session import CLUSTER, Accepted, Delta, World
from terndrift.xds.view import View

SECOND = 1_000_000_000


class Reader:
    """`listing` is a `listing.service.Listing`, or what takes `take`, `limits` and `reached` as it does."""

    def __init__(self, name, form, listing, clock, log):
        self.name, self.form, self.listing, self.clock, self.log = name, form, listing, clock, log
        self.session = Delta() if form == "delta" else World()
        self.view = View()
        # until all that was asked for has come once, what an earlier run had kept is added to, not replaced
        self.settled = False
        self.taken = self.refused = 0
        self.stated = {}  # limits told last

    async def arrived(self, found):
        """A codec.Response; returns what is to be sent for it. What is wrong is refused whole, and logged."""
        before = self.view.assignments
        resources, versions, faults = await sliced(codec.decoded(found, self.clock.from_wall_seconds, before))
        if self.form == "delta":
            sends, accepted = self.session.answered(
                found.type_url, found.version, found.nonce, resources, faults, versions, found.removed
            )
        else:
            sends, accepted = self.session.answered(
                found.type_url, found.version, found.nonce, resources, faults
            )
        if accepted is None:
            self.refused += 1
            self.log.error(
                "update refused, the last one stays in force",
                source=self.name,
                kind=found.type_url,
                version=found.version,
                why=sends[0].error,
            )
            return sends
        self.taken += 1
        await self.accept(accepted)
        if accepted.type_url == CLUSTER:
            sends += self.session.follow(self.view.followed())
        return sends

    async def accept(self, accepted):
        put, gone = await sliced(self.view.apply(accepted, self.clock.now()))
        await self._tell(put, gone)
        if not self.settled and self.view.clusters and self.view.followed() <= self.view.assignments.keys():
            await self.settle()

    async def _tell(self, put, gone):
        if put or gone:
            await self.listing.take(self.name, put, gone)
        self.listing.reached(self.name, True)
        stated = self.view.limits()
        if stated or self.stated:
            self.stated = stated
            self.listing.limits(
                self.name,
                {name: (drop, most, self.view.members(name)) for name, (drop, most) in stated.items()},
            )

    async def settle(self):
        """All that will come has come: what it does not name is no longer there."""
        if not self.settled:
            self.settled = True
            await self.listing.take(self.name, await sliced(self.view.lines()), (), whole=True)

    async def every_second(self):
        """Assignments whose stated time is over."""
        if self.view.times:
            await self._tell(*await sliced(self.view.expire(self.clock.now())))

    async def replaced(self, type_url, resources, version):
        """All resources of a type at once, as a file has them."""
        known = self.view.clusters if type_url == CLUSTER else self.view.assignments
        gone = tuple(name for name in known if name not in resources)
        await self.accept(Accepted(type_url, resources, gone, False, version))
