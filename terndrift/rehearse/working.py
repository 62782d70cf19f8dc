"""Work on machines in a rehearsal: one plan, by the controllers' own order or by a script made by hand.
Whoever may be touched is: a streamer dies and comes back cold, a controller is stopped and started."""

import asyncio
import json
import random
import time

from terndrift.fleet import planned_work
from terndrift.fleet.work_budget import CONTROLLER_PREFIX, controller_name

SECOND = 1_000_000_000
LOOK = 0.2  # s between looks at what is agreed
LATEST = 240.0  # s after the day's end until which work may go on


class Working:
    def __init__(self, rehearsal, between):
        self.r, self.between, self.told = rehearsal, between, rehearsal.day["work"]
        self.chance, self.out = random.Random(f"work/{rehearsal.seed}"), {}

    def work(self):
        return [self._work()]

    def _machines(self):
        """Names of streamers and controllers that the plan names; voters last, as by rank."""
        r, told = self.r, self.told
        streamers = sorted(r.lines, key=lambda n: r.lines[n]["id"])
        streamers = streamers[: max(1, round(told["share"] * len(streamers)))]
        count = round(told["controllers"] * r.controllers)
        return streamers, [f"{CONTROLLER_PREFIX}c{n}" for n in range(r.controllers)][:count]

    async def _work(self):
        r, told = self.r, self.told
        streamers, controllers = self._machines()
        await r._until(int(told["from"] * r.seconds * SECOND))
        r.ledger.note(
            "work",
            machines=[r.lines[n]["id"] for n in streamers],
            controllers=controllers,
            most=told["most"],
            by=told["by"],
        )
        began = time.monotonic()
        states = await (
            self._settled(streamers, controllers)
            if told["by"] == "settled"
            else self._scripted(streamers, controllers)
        )
        r.ledger.note("work ends", states=states, took=round(time.monotonic() - began, 1))

    def _late(self):
        return time.time() > self.r.begin + self.r.seconds + LATEST

    # By the controllers' own order.

    async def _settled(self, streamers, controllers):
        told = self.told
        plan = {
            "machines": streamers + controllers,
            "why": "rehearsed",
            "urgency": 0,
            "most_rack": 1,
            "most_zone": 0,
            "most_controllers": 1,
            "holders": 1,
            "ready_share": 0.5,
            **{k: told[k] for k in ("needs", "drain", "warm", "most")},
        }

        def handed_over(state):
            return (
                None
                if planned_work.plans_by_name(state)
                else planned_work.propose_plan(state, plan, "rehearsed", "runner", _wall())
            )

        await self._propose(handed_over)
        touching, table = [], {}
        while not self._late():
            table = planned_work.machine_rows(await self._state()) or table
            for name, row in table.items():
                if row["state"] == planned_work.WorkState.OUT.value and name not in self.out:
                    self.out[name] = row["n"]
                    touching.append(asyncio.ensure_future(self._touched(name)))
            if len(table) == len(plan["machines"]) and all(
                planned_work.WorkState(row["state"]) in planned_work.ENDED_STATES for row in table.values()
            ):
                break
            await asyncio.sleep(LOOK)
        await asyncio.gather(*touching)
        logs = {name: [s for s, _, _ in row["log"]] for name, row in table.items()}
        self.r.ledger.note("work steps", logs=logs)
        return {name: row["state"] for name, row in table.items()}

    async def _touched(self, name):
        await self._touch(name)

        def done(state):
            row = planned_work.machine_rows(state).get(name)
            if (
                row is None
                or planned_work.WorkState.RETURNING
                not in planned_work.TRANSITIONS[planned_work.WorkState(row["state"])]
            ):
                return None  # its own start has told already
            return planned_work.propose_step(
                planned_work.current_revision(state),
                name,
                row,
                planned_work.WorkState.RETURNING,
                "runner",
                _wall(),
            )

        await self._propose(done)

    async def _propose(self, make):
        """Until it counts, or nothing is left to say, through one controller after the other."""
        while not self._late():
            state = await self._state()
            one = make(state)
            if one is None and not state["map"]:  # nobody has answered
                await asyncio.sleep(LOOK)
                continue
            if one is None:
                return
            n = self.chance.randrange(self.r.controllers)
            id, value = one
            what = {"id": f"{id}@{time.time_ns():x}", "value": value, "wait": 2.0}
            await self.between.ask(n, "POST", "/fleet/propose", what, 3.0)

    async def _state(self):
        """Of the first controller that answers; any will do."""
        for n in self.chance.sample(range(self.r.controllers), self.r.controllers):
            if (said := await self.between.ask(n, "GET", "/fleet/work")) is not None:
                return {"map": said["map"]}
        return {"map": {}}

    # By hand.

    async def _scripted(self, streamers, controllers):
        by, most = self.told["by"], self.told["most"]
        if by == "racks":
            racks = sorted({self.r.lines[n]["rack"] for n in streamers})
            groups = [[n for n in streamers if self.r.lines[n]["rack"] == rack] for rack in racks]
            for n, name in enumerate(controllers):
                groups[n % len(groups)].append(name)
        elif by == "one":
            # by rank, controllers evenly among the streamers: any part of the plan has its part of both
            every = max(1, len(streamers) // max(1, len(controllers)))
            groups = []
            for n, name in enumerate(streamers):
                groups.append([name])
                if n % every == every - 1 and n // every < len(controllers):
                    groups.append([controllers[n // every]])
            groups += [[name] for name in controllers[len(streamers) // every :]]
        else:
            mixed = self.chance.sample(streamers, len(streamers))
            groups = [mixed[n : n + most] for n in range(0, len(mixed), most)]
            for n, name in enumerate(self.chance.sample(controllers, len(controllers))):
                groups[n % len(groups)].append(name)
        states = {}
        for group in groups:
            if self._late():
                break
            await asyncio.gather(*(self._by_hand(name) for name in group))
            states.update(dict.fromkeys(group, planned_work.WorkState.DONE.value))
        return {
            name: states.get(name, planned_work.WorkState.WAITING.value) for name in streamers + controllers
        }

    async def _by_hand(self, name):
        if controller_name(name) is None:
            self._listed(name, "draining")
            await asyncio.sleep(self.told["drain"] / SECOND)
        await self._touch(name)
        # what the script knows of a warm-up is the stated one, as the plan does
        await asyncio.sleep(self.told["warm"] / SECOND)

    # Touching.

    async def _touch(self, name):
        r, needs = self.r, self.told["needs"]
        if member := controller_name(name):
            r.ledger.note("permit", machine=name, controller=member)
            await r._planned(int(member[1:]), needs)
            return r.ledger.note("handed back", machine=name, controller=member)
        line = r.lines[name]
        r.ledger.note("permit", machine=name, streamer=line["id"])
        order = {"at": 0, "lasts": needs, "kind": "die", "size": 1.0, "streamers": [line["id"]], "racks": []}
        with open(r.path(f"rack{line['rack']}.orders"), "a", encoding="utf-8") as file:
            file.write(json.dumps(order) + "\n")
        self._listed(name, "gone")
        await asyncio.sleep(needs / SECOND + 0.3)
        r.ledger.note("handed back", machine=name, streamer=line["id"])
        self._listed(name, "ready", time.time() - 0.2)
        return None

    def _listed(self, name, standing, started=None):
        """An edit of the list, as the operators make it."""
        r, id = self.r, self.r.lines[name]["id"]
        r.standing[id] = standing
        if started is not None:
            r.started[id] = started
        if standing == "ready":
            r.ledger.note("listed", streamer=id, standing=standing)
        r._write_list()
        if standing != "ready":
            r.ledger.note("listed", streamer=id, standing=standing)


def _wall():
    return time.time_ns() // 1_000_000
