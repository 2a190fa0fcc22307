"""Stand-ins over HTTP on loopback: replicas, the weight store and the platform, in one process."""

import asyncio
import json
import os
import random
import signal

import aiohttp
import aiohttp.web

import basaltport.query_api.replica_client.adapter as adapter
import basaltport.identifiers as identifiers
import basaltport.simulation.query_api.standins.replica as replica


FAULTS = ("dark", "crash", "hold", "cut")


class Served:
    """One replica on one port."""

    def __init__(self, rid, row, conf, store, rng):
        self.rid = rid
        self.row = row
        self.conf = conf
        self.store = store
        self.rng = rng
        self.fault = ""
        self.healed = asyncio.Event()
        self.logic = None
        self.tasks = set()
        self.past = []
        self.restart()

    def restart(self):
        if self.logic:
            self.past += self.logic.record
        g = self.conf["groups"][self.row["group"]]
        epoch = f"{self.rid}-{self.rng.getrandbits(32):08x}"
        self.logic = replica.Replica(self.rid, g["room"], g["slots"], epoch, identifiers.steady())

    async def start(self):
        app = aiohttp.web.Application(middlewares=[self.faulty])
        app.router.add_get("/state", self.state)
        app.router.add_post("/order", self.order)
        app.router.add_post("/run", self.run)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        host, port = self.row["url"].removeprefix("http://").split(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port), backlog=1024).start()

    @aiohttp.web.middleware
    async def faulty(self, request, handler):
        if self.fault == "dark":
            await asyncio.sleep(3600)
        if self.fault == "crash":
            request.transport.abort()
        return await handler(request)

    async def state(self, request):
        return aiohttp.web.json_response(
            self.logic.state(identifiers.steady(), int(request.query.get("fence", 0)))
        )

    async def order(self, request):
        status, doc, item = self.logic.order(identifiers.steady(), await request.json())
        if item:
            t = asyncio.get_running_loop().create_task(self.load(self.logic, item))
            self.tasks.add(t)
            t.add_done_callback(self.tasks.discard)
        return aiohttp.web.json_response(doc, status=status)

    async def load(self, logic, item):
        self.store.begin()
        try:
            ms = logic.held[item]["size"] * self.conf["load_ms_per_size"]
            await asyncio.sleep(ms / 1000)
            logic.loaded(identifiers.steady(), item)
        finally:
            self.store.end()

    async def run(self, request):
        d = request.headers[adapter.ATTEMPT_HEADER]
        body = await request.json()
        bad = self.logic.admit(identifiers.steady(), d, int(request.headers[adapter.VERSION_HEADER]), body)
        if bad:
            h = {
                adapter.ATTEMPT_HEADER: d,
                adapter.RAN_HEADER: "no",
                adapter.VERSION_HEADER: str(self.logic.serial),
            }
            return aiohttp.web.json_response({"dispatch": d, "error": bad[1]}, status=bad[0], headers=h)
        logic = self.logic
        ms = self.conf["service_ms"].get(self.row["group"], 50) * self.rng.uniform(0.6, 1.4)
        try:
            if body.get("stream"):
                return await self.pieces(request, d, body, ms)
            await self.work(ms)
            doc = {"dispatch": d, "reply": f"{body['model']}: {body['prompt']}"}
            return aiohttp.web.json_response(doc, headers={adapter.ATTEMPT_HEADER: d})
        finally:
            logic.finish(identifiers.steady(), d)

    async def work(self, ms):
        """The time a run takes; a replica at fault `hold` holds until it is healed."""
        await asyncio.sleep(ms / 1000)
        while self.fault == "hold":
            await self.healed.wait()

    def set_fault(self, fault):
        self.fault = fault
        if fault != "hold":
            self.healed.set()
            self.healed = asyncio.Event()

    async def pieces(self, request, d, body, ms):
        r = aiohttp.web.StreamResponse(
            headers={adapter.ATTEMPT_HEADER: d, "Content-Type": "application/x-ndjson"}
        )
        await r.prepare(request)
        words = f"{body['model']}: {body['prompt']}".split(" ")
        for n, w in enumerate(words):
            await self.work(ms / len(words))
            if self.fault == "cut" and n == 1:
                request.transport.abort()
            await r.write(json.dumps({"dispatch": d, "n": n, "piece": w}).encode() + b"\n")
        await r.write(json.dumps({"dispatch": d, "end": True, "pieces": len(words)}).encode() + b"\n")
        await r.write_eof()
        return r


class Standins:
    def __init__(self, conf):
        self.conf = conf
        self.store = replica.Store(conf["loads"])
        rng = random.Random(conf["seed"])
        self.served = {
            r: Served(r, row, conf, self.store, random.Random(rng.random()))
            for r, row in conf["replicas"].items()
        }

    async def run(self):
        for sig in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(sig, lambda: self.end.set())
        await self.start()
        await self.announce()
        await self.end.wait()

    async def start(self):
        self.end = asyncio.Event()
        for s in self.served.values():
            await s.start()
        app = aiohttp.web.Application()
        app.router.add_get("/record", self.record)
        app.router.add_post("/fault", self.fault)
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        host, port = self.conf["admin"].split(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()

    async def stop(self):
        self.end.set()
        for r in [self.runner] + [s.runner for s in self.served.values()]:
            await r.cleanup()

    async def announce(self):
        """The platform's part: its list goes to any node until one acknowledges it."""
        body = {"replicas": self.conf["replicas"], "change": f"platform-{os.urandom(4).hex()}"}
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=8)) as s:
            while not self.end.is_set():
                for node in self.conf["nodes"]:
                    try:
                        async with s.post(f"http://{node}/v1/ops/platform", json=body) as r:
                            if r.status == 200:
                                return
                    except (aiohttp.ClientError, TimeoutError, OSError):
                        pass
                await asyncio.sleep(0.2)

    async def record(self, request):
        runs = [{**x, "replica": r} for r, s in self.served.items() for x in s.past + s.logic.record]
        broken = [{**b, "replica": r} for r, s in self.served.items() for b in s.logic.broken]
        return aiohttp.web.json_response(
            {
                "runs": runs,
                "broken": broken,
                "store": {"limit": self.store.loads, "most": self.store.most, "total": self.store.total},
                "most_running": {r: s.logic.most for r, s in self.served.items()},
            }
        )

    async def fault(self, request):
        b = await request.json()
        s = self.served[b["replica"]]
        if b["fault"] == "restart":
            s.restart()
        s.set_fault(b["fault"] if b["fault"] in FAULTS else "")
        return aiohttp.web.json_response({"replica": b["replica"], "fault": b["fault"]})
