"""Stand-ins over HTTP on loopback: replicas, the weight store and the platform, in one process."""

import asyncio
import dataclasses
import json
import os
import random
import signal
import typing

import aiohttp
import aiohttp.web

import basaltport.query_api.replica_client.adapter as adapter
import basaltport.identifiers as identifiers
import basaltport.simulation.query_api.standins.replica as replica


Document = dict[str, typing.Any]
Handler = typing.Callable[[aiohttp.web.Request], typing.Awaitable[aiohttp.web.StreamResponse]]

OK = 200
RECORDED_PIECE = 1
FAULTS = ("dark", "crash", "hold", "cut")


def abort(request: aiohttp.web.Request) -> None:
    """Breaks the connection of a request off."""
    if request.transport is not None:
        request.transport.abort()


class Served:
    """One replica on one port."""

    def __init__(
        self,
        replica_id: str,
        row: dict[str, str],
        settings: Document,
        store: replica.Store,
        rng: random.Random,
    ) -> None:
        """It serves once it is started; `settings` are those of the stand-ins' file."""
        self.id = replica_id
        self.row = row
        self.settings = settings
        self.store = store
        self.rng = rng
        self.fault = ""
        self.healed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.past: list[replica.Run] = []
        self.logic = self.begin()

    def restart(self) -> None:
        """It starts again, and holds nothing."""
        self.past += self.logic.runs
        self.logic = self.begin()

    def begin(self) -> replica.Replica:
        """A replica that holds nothing."""
        group = self.settings["groups"][self.row["group"]]
        epoch = f"{self.id}-{self.rng.getrandbits(32):08x}"
        return replica.Replica(self.id, group["room"], group["slots"], epoch, identifiers.steady())

    async def start(self) -> None:
        """Serves at its address."""
        app = aiohttp.web.Application(middlewares=[self.faulty])
        app.router.add_get("/state", self.state)
        app.router.add_post("/order", self.order)
        app.router.add_post("/run", self.run)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        host, port = self.row["url"].removeprefix("http://").split(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port), backlog=1024).start()

    @aiohttp.web.middleware
    async def faulty(self, request: aiohttp.web.Request, handler: Handler) -> aiohttp.web.StreamResponse:
        """A replica at fault answers nobody, or breaks connections off."""
        if self.fault == "dark":
            await asyncio.sleep(3600)
        if self.fault == "crash":
            abort(request)
        return await handler(request)

    async def state(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers what it holds."""
        return aiohttp.web.json_response(
            self.logic.state(identifiers.steady(), int(request.query.get("fence", 0)))
        )

    async def order(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Takes an order."""
        status, answer, item = self.logic.order(identifiers.steady(), await request.json())
        if item:
            task = asyncio.get_running_loop().create_task(self.load(self.logic, item))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return aiohttp.web.json_response(answer, status=status)

    async def load(self, logic: replica.Replica, item: str) -> None:
        """Loads an item from the store."""
        self.store.begin()
        try:
            ms = logic.held[item].size * self.settings["load_ms_per_size"]
            await asyncio.sleep(ms / 1000)
            logic.loaded(identifiers.steady(), item)
        finally:
            self.store.end()

    async def run(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Runs a request."""
        attempt_id = request.headers[adapter.ATTEMPT_HEADER]
        body = await request.json()
        refusal = self.logic.admit(
            identifiers.steady(), attempt_id, int(request.headers[adapter.VERSION_HEADER]), body
        )
        if refusal:
            headers = {
                adapter.ATTEMPT_HEADER: attempt_id,
                adapter.RAN_HEADER: "no",
                adapter.VERSION_HEADER: str(self.logic.version),
            }
            return aiohttp.web.json_response(
                {"dispatch": attempt_id, "error": refusal[1]}, status=refusal[0], headers=headers
            )
        logic = self.logic
        ms = self.settings["service_ms"].get(self.row["group"], 50) * self.rng.uniform(0.6, 1.4)
        try:
            if body.get("stream"):
                return await self.pieces(request, attempt_id, body, ms)
            await self.work(ms)
            answer = {"dispatch": attempt_id, "reply": f"{body['model']}: {body['prompt']}"}
            return aiohttp.web.json_response(answer, headers={adapter.ATTEMPT_HEADER: attempt_id})
        finally:
            logic.finish(identifiers.steady(), attempt_id)

    async def work(self, ms: float) -> None:
        """The time a run takes; a replica at fault `hold` holds until it is healed."""
        await asyncio.sleep(ms / 1000)
        while self.fault == "hold":
            await self.healed.wait()

    def set_fault(self, fault: str) -> None:
        """It is at fault in this way, or well with an empty one."""
        self.fault = fault
        if fault != "hold":
            self.healed.set()
            self.healed = asyncio.Event()

    async def pieces(
        self, request: aiohttp.web.Request, attempt_id: str, body: Document, ms: float
    ) -> aiohttp.web.StreamResponse:
        """Answers in pieces."""
        response = aiohttp.web.StreamResponse(
            headers={adapter.ATTEMPT_HEADER: attempt_id, "Content-Type": "application/x-ndjson"}
        )
        await response.prepare(request)
        words = f"{body['model']}: {body['prompt']}".split(" ")
        for number, word in enumerate(words):
            await self.work(ms / len(words))
            if self.fault == "cut" and number == RECORDED_PIECE:
                abort(request)
            await response.write(
                json.dumps({"dispatch": attempt_id, "n": number, "piece": word}).encode() + b"\n"
            )
        await response.write(
            json.dumps({"dispatch": attempt_id, "end": True, "pieces": len(words)}).encode() + b"\n"
        )
        await response.write_eof()
        return response


class Standins:
    """The replicas of a file, and the platform's list of them."""

    def __init__(self, settings: Document) -> None:
        """`settings`: the stand-ins' file."""
        self.settings = settings
        self.store = replica.Store(settings["loads"])
        rng = random.Random(settings["seed"])
        self.served = {
            replica_id: Served(replica_id, row, settings, self.store, random.Random(rng.random()))
            for replica_id, row in settings["replicas"].items()
        }

    async def run(self) -> None:
        """Serves until a signal comes."""
        for sig in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(sig, lambda: self.end.set())
        await self.start()
        await self.announce()
        await self.end.wait()

    async def start(self) -> None:
        """Serves the replicas and their record."""
        self.end = asyncio.Event()
        for served in self.served.values():
            await served.start()
        app = aiohttp.web.Application()
        app.router.add_get("/record", self.record)
        app.router.add_post("/fault", self.fault)
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        host, port = self.settings["admin"].split(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()

    async def stop(self) -> None:
        """Ends all servers."""
        self.end.set()
        for runner in [self.runner] + [served.runner for served in self.served.values()]:
            await runner.cleanup()

    async def announce(self) -> None:
        """The platform's part: its list goes to any node until one acknowledges it."""
        body = {"replicas": self.settings["replicas"], "change": f"platform-{os.urandom(4).hex()}"}
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=8)) as session:
            while not self.end.is_set():
                for node in self.settings["nodes"]:
                    try:
                        async with session.post(f"http://{node}/v1/ops/platform", json=body) as response:
                            if response.status == OK:
                                return
                    except (aiohttp.ClientError, TimeoutError, OSError):
                        pass
                await asyncio.sleep(0.2)

    async def record(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """What ran, and what orders broke."""
        runs = [
            {**dataclasses.asdict(run), "replica": replica_id}
            for replica_id, served in self.served.items()
            for run in served.past + served.logic.runs
        ]
        broken = [
            {**broke, "replica": replica_id}
            for replica_id, served in self.served.items()
            for broke in served.logic.broken
        ]
        return aiohttp.web.json_response(
            {
                "runs": runs,
                "broken": broken,
                "store": {"limit": self.store.loads, "most": self.store.most, "total": self.store.total},
                "most_running": {replica_id: served.logic.most for replica_id, served in self.served.items()},
            }
        )

    async def fault(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Puts a replica at fault."""
        body = await request.json()
        served = self.served[body["replica"]]
        if body["fault"] == "restart":
            served.restart()
        served.set_fault(body["fault"] if body["fault"] in FAULTS else "")
        return aiohttp.web.json_response({"replica": body["replica"], "fault": body["fault"]})
