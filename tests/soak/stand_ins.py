"""The process of the stand-ins: the platform's list, all replicas, and the controls that trouble them.

`python -m tests.soak.stand_ins SEED NET FILE` serves on a network, and logs orders to FILE."""

import asyncio
import collections
import json
import random
import sys
import time

import aiohttp.web

import tests.soak.plan as plan
import tests.soak.replica_state as replica_state
import tests.soak.tenants as tenants

SNAPSHOT_S = 0.05
SNAPSHOTS = 40
LIST_LAG = (6, 14)
"""In snapshots."""
DRAIN_S = 3.0
GIVEN_UP_S = 1.0
"""A controller waits no longer for an answer."""
SILENT_S = 1.5
"""How long an answer that is lost stays away before the connection ends."""
LATE_S = (1.05, 8.0)
LONGEST_CUT_S = 10.0
BLIND_SHARE = 0.5
"""So many cuts hold reports too."""
LIST = -1
"""Stands for the list among the places of cuts."""
READER = "reader"
"""Stands for whoever reads reports and the list among the callers of cuts."""
ANSWER_S = 0.05
MOST_RAN = 100_000
EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

Request = aiohttp.web.Request
Response = aiohttp.web.StreamResponse


class Place:
    """An address with its HTTP, and the life of the replica that is there now."""

    def __init__(self, stand_ins: "StandIns", number: int, address: str) -> None:
        """Nobody is there yet."""
        self.stand_ins, self.number = stand_ins, number
        self.address, self.zone = address, plan.ZONES[number % len(plan.ZONES)]
        self.life: replica_state.ReplicaState | None = None
        self.is_draining = False

    def rows(self, now: float) -> list[plan.Document]:
        """What the list says of this place, were it not late."""
        if self.life is None:
            return []
        self.life.settle(now)
        row: plan.Document = {"replicaId": self.life.id, "depot": plan.SERVICE, "zone": self.zone}
        row |= {"address": self.address, "berths": plan.BERTHS, "coldLeftMs": 0, "stage": "both"}
        row["state"] = "draining" if self.is_draining else "ready"
        return [row | {"models": self.life.snapshot()["models"]}]

    def called(self, request: Request) -> replica_state.ReplicaState | None:
        """The life here if a request is for it, else None; where nobody lives, there is no answer either."""
        if self.life is None and request.transport:
            request.transport.abort()
        is_for = self.life is not None and request.headers.get("Expect-Replica", self.life.id) == self.life.id
        return self.life if is_for else None

    def headers(self) -> dict[str, str]:
        """Headers of every answer."""
        closes = {"Connection": "close"} if self.is_draining else {}
        return {"Replica": self.life.id if self.life else "", **closes}

    def refuse(self, request: Request, status: int) -> Response:
        """Say that a request was not run."""
        headers = {**self.headers(), "Not-Delivered": "1"}
        headers["Tracking-Id"] = request.headers.get("Tracking-Id", "")
        return aiohttp.web.Response(status=status, headers=headers)

    async def order(self, request: Request) -> Response:
        """A controller's order, which may come late, and its answer, which may be lost."""
        stand_ins, arrived_at, body = self.stand_ins, time.monotonic(), await request.json()
        await stand_ins.pass_cut(str(body.get("holder")), self.number)
        await asyncio.sleep(stand_ins.delay_s())
        life, order, now = self.called(request), replica_state.parse_order(body), time.monotonic()
        status: int = replica_state.BAD_REQUEST if life else replica_state.MISDIRECTED
        if life and order:
            status = life.order(order, life.id, now)
        headers, is_lost = self.headers(), stand_ins.chance.random() < stand_ins.chances["lost"]
        stand_ins.note_order(self, now - arrived_at, body, status, is_lost)
        await asyncio.sleep(SILENT_S if is_lost else 0)
        if (is_lost or life is not self.life) and request.transport:
            request.transport.abort()
        await stand_ins.pass_cut(str(body.get("holder")), self.number)
        return aiohttp.web.json_response({}, status=status, headers=headers)

    async def report(self, request: Request) -> Response:
        """What the replica held some hundred ms ago."""
        await self.stand_ins.pass_cut(READER, self.number)
        life = self.called(request)
        if life is None:
            return self.refuse(request, replica_state.MISDIRECTED)
        figures = {"stage": "both", "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 200_000, "handles": 0}
        document, headers = figures | life.report(time.monotonic()), self.headers()
        await self.stand_ins.pass_cut(READER, self.number)
        return aiohttp.web.json_response(document, headers=headers)

    async def answer(self, request: Request) -> Response:
        """A client's request, run if its model and adapter are held; or a look at the health."""
        life = self.called(request)
        if life is None:
            return self.refuse(request, replica_state.MISDIRECTED)
        if request.path == "/health":
            status = replica_state.UNAVAILABLE if self.is_draining else replica_state.OK
            return aiohttp.web.Response(status=status, headers=self.headers())
        model, _, adapter = request.headers.get("Model", "").partition("/")
        served = life.serves(model, adapter, time.monotonic())
        if served != replica_state.OK:
            return self.refuse(request, served)
        self.stand_ins.note_run(request)
        await asyncio.sleep(ANSWER_S)
        if self.life is not life and request.transport:
            request.transport.abort()
        headers = {"Postmark": "soak", "Tracking-Id": request.headers.get("Tracking-Id", "")}
        headers |= {"Content-Type": "text/event-stream", **self.headers()}
        headers["Ran-For"] = ",".join(request.headers.getall("Sender", ()))
        return aiohttp.web.Response(text=EVENTS, headers=headers)


class StandIns:
    """All of the platform that controllers and proxies of one rig can see."""

    def __init__(self, seed: int, net: str, orders_log: str) -> None:
        """Make the places; `start` opens their ports."""
        self.seed, self.plan = seed, plan.Plan(seed, net)
        self.chance = random.Random(f"stand-ins {seed}")
        self.cuts: dict[str, tuple[set[int], asyncio.Event]] = {}
        """By caller: the places that it is cut off from, and what is set when the cut heals."""
        self.chances = {"late": 0.0, "lost": 0.0}
        """How many orders come late, and of how many the answers are lost."""
        self.places = [Place(self, i, address) for i, address in enumerate(self.plan.places)]
        self.list_lag = self.chance.randrange(*LIST_LAG)
        self.lists: collections.deque[list[plan.Document]] = collections.deque(maxlen=SNAPSHOTS)
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.ran: collections.deque[tenants.Arrival] = collections.deque(maxlen=MOST_RAN)
        """The requests that were run."""
        self.lives = 0
        self.began_at = self.snapshot_at = time.monotonic()
        self.log = open(orders_log, "w", buffering=1)

    async def start(self) -> None:
        """Listen on every address."""
        self.take_snapshot()
        get, post = aiohttp.web.get, aiohttp.web.post
        await self.serve(self.plan.control, post("/", self.control))
        await self.serve(self.plan.listing, get("/replicas", self.list))
        for place in self.places:
            self.begin_life(place)
            calls = post("/v1/order", place.order), get("/v1/report", place.report)
            others = aiohttp.web.route("*", "/{path:.*}", place.answer)
            await self.serve(place.address, *calls, others)

    async def serve(self, address: str, *routes: aiohttp.web.RouteDef) -> None:
        """Listen on one address. A request goes on when its sender gives up."""
        app = aiohttp.web.Application()
        app.add_routes(routes)
        runner = aiohttp.web.AppRunner(app, access_log=None)
        await runner.setup()
        host, port = address.split(":")
        await aiohttp.web.TCPSite(runner, host, int(port)).start()

    # the network

    async def pass_cut(self, caller: str, place: int) -> None:
        """Wait until no cut holds what is on its way between a caller and a place."""
        places, healed = self.cuts.get(caller, (set(), None))
        if healed and place in places:
            await asyncio.wait_for(healed.wait(), LONGEST_CUT_S)

    def cut(self, controller: str, chance: float) -> None:
        """Hold the orders of a controller to some places, and at times what is read of them too."""
        places = {n for n in (LIST, *range(len(self.places))) if self.chance.random() < chance}
        for caller in (controller, READER) if self.chance.random() < BLIND_SHARE else (controller,):
            self.cuts[caller] = places, asyncio.Event()

    def heal(self) -> None:
        """Let go what cuts have held."""
        for _, healed in self.cuts.values():
            healed.set()
        self.cuts = {}

    def delay_s(self) -> float:
        """For how long an order is held; its sender has given up by then, or it is not held."""
        return self.chance.uniform(*LATE_S) if self.chance.random() < self.chances["late"] else 0

    # the lives of replicas

    def begin_life(self, place: Place) -> None:
        """A replica starts at a place, empty."""
        self.lives += 1
        replica_id, now = f"i-{self.seed}-{self.lives}", time.monotonic()
        place.is_draining = False
        place.life = replica_state.ReplicaState(replica_id, self.plan.room, self.duration_of, now)

    def duration_of(self, order: replica_state.Order) -> float:
        """How many seconds an order takes."""
        if order.kind == "unload":
            return self.chance.uniform(0.01, 0.05)
        return self.chance.uniform(0.02, 0.04) if order.adapter else self.chance.uniform(0.1, 0.3)

    def end_life(self, place: Place, life: replica_state.ReplicaState | None) -> None:
        """A life ends at once, if it has not yet; another one begins in its place."""
        if life is not None and place.life is life:
            place.life = None
            asyncio.get_running_loop().call_later(self.chance.uniform(0.2, 1.0), self.begin_life, place)

    def leave(self, place: Place) -> None:
        """A replica drains and ends."""
        place.is_draining = True
        asyncio.get_running_loop().call_later(DRAIN_S, self.end_life, place, place.life)

    def note_order(self, place: Place, waited_s: float, body: object, status: int, is_lost: bool) -> None:
        """Count and log what became of an order."""
        life, is_late = place.life, waited_s > GIVEN_UP_S
        self.counts.update(orders=1, late=is_late, lost=is_lost)
        self.counts.update(late_taken=is_late and status == replica_state.ACCEPTED)
        entry = {"at": round(time.monotonic() - self.began_at, 3), "replica": life and life.id, "body": body}
        entry |= {"status": status, "waited_s": round(waited_s, 3), "lost": is_lost}
        self.log.write(json.dumps(entry | {"now": life and life.snapshot()}) + "\n")
        if life and life.violations:
            self.violations += [f"at {entry['at']} s {violation}" for violation in life.violations]
            life.violations = []
        if life and life.has_fallen:
            self.end_life(place, life)

    def note_run(self, request: Request) -> None:
        """Keep that a replica runs a request, and what is broken by that."""
        request_id, told = request.headers.get("Tracking-Id", ""), request.headers.getall("Sender", [])
        self.ran.append(tenants.Arrival(request_id, ",".join(told), time.monotonic()))
        shown = request.headers.getall("Credential", [])
        if broken := tenants.broken_by_arrival(self.plan.keys, request_id, told, shown):
            self.violations.append(f"at {time.monotonic() - self.began_at:.3f} s {broken}")

    # the platform's list

    def take_snapshot(self) -> None:
        """Keep what the list says now, for a while."""
        now = time.monotonic()
        stall_ms = int(1000 * (now - self.snapshot_at - SNAPSHOT_S))
        self.counts["stall_ms"], self.snapshot_at = max(stall_ms, self.counts["stall_ms"]), now
        self.lists.append([row for place in self.places for row in place.rows(now)])
        asyncio.get_running_loop().call_later(SNAPSHOT_S, self.take_snapshot)

    async def list(self, request: Request) -> Response:
        """The list, in one page, as it was some hundred ms ago."""
        await self.pass_cut(READER, LIST)
        rows = self.lists[max(0, len(self.lists) - 1 - self.list_lag)]
        await self.pass_cut(READER, LIST)
        return aiohttp.web.json_response({"replicas": rows, "nextToken": None})

    # the rig's controls

    async def control(self, request: Request) -> Response:
        """Do what the rig says, and tell what was counted and broken, and what is held. `do` is a word,
        `target` the number of a controller or a living replica, `value` how many are concerned."""
        body = await request.json()
        target, value = body["target"], body["value"]
        living = [place for place in self.places if place.life and not place.is_draining]
        match body["do"]:
            case "cut":
                self.cut(plan.CONTROLLERS[target], value)
            case "heal":
                self.heal()
            case "late" | "lost":
                self.chances[body["do"]] = value
            case "restart" if living:
                place = living[target % len(living)]
                self.end_life(place, place.life)
            case "leave" if living:
                self.leave(living[target % len(living)])
        if body["do"] == "ran":
            return aiohttp.web.json_response({"ran": [*self.ran]})
        lives = [place.life for place in self.places if place.life]
        held = {m: sorted({a for v in lives for a in v.models.get(m, ())}) for v in lives for m in v.models}
        return aiohttp.web.json_response({"counts": self.counts, "violations": self.violations, "held": held})


async def run(arguments: list[str]) -> None:
    """Serve until the process is killed."""
    seed, net, orders_log = arguments
    await StandIns(int(seed), net, orders_log).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1:]))
