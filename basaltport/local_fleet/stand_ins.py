"""Stand-in replicas over HTTP that accept orders, report, and stream each request's words back as events."""

import asyncio
import http
import time

import aiohttp.web

import basaltport.local_fleet.engine as engine
import basaltport.local_fleet.messages as messages
import basaltport.proxy.header_names as header_names

ORDER_PATH = "/order"
REPORT_PATH = "/report"
LISTING_PATH = "/replicas"
STAMP = "stand-in"
HEADERS = header_names.HeaderNames()


class StandIn:
    """Serves one stand-in replica on its address."""

    def __init__(self, location: messages.ReplicaAddress, load_s: float, piece_s: float) -> None:
        """Start with no model loaded; wait `piece_s` seconds before each word of an answer."""
        self.location = location
        self.piece_s = piece_s
        self.engine = engine.Engine(load_s)

    def app(self) -> aiohttp.web.Application:
        """Return the replica's HTTP application with its routes."""
        app = aiohttp.web.Application()
        app.router.add_post(ORDER_PATH, self.order)
        app.router.add_get(REPORT_PATH, self.report)
        app.router.add_route("*", "/{path:.*}", self.answer)
        return app

    def row(self) -> dict[str, object]:
        """Return this replica's row of the list of replicas."""
        return {
            "id": self.location.id,
            "service": messages.SERVICE,
            "address": self.location.address,
            "zone": self.location.zone,
            "slots": messages.SLOTS,
            "state": "ready",
            "leaves_in_ms": None,
            "cold_ms": 0,
            "models": self.engine.models,
            "loading": [],
        }

    async def order(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Execute a controller's order to load or unload a model or an adapter."""
        body = await request.json()
        order = engine.Order(body["kind"], body["model"], body["adapter"])
        outcome = self.engine.order(order, time.monotonic(), body.get("expected"))
        return aiohttp.web.json_response({"outcome": outcome})

    async def report(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return this replica's report for controllers: its loaded models and orders."""
        return aiohttp.web.json_response(self.engine.report())

    async def answer(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Answer a client's request with its words as numbered events, resuming after `Last-Event-Id`."""
        headers = {HEADERS.replica: self.location.id}
        if HEADERS.request_id in request.headers:
            headers[HEADERS.request_id] = request.headers[HEADERS.request_id]
        expected = request.headers.get(HEADERS.expect_replica, self.location.id)
        if expected != self.location.id or not self.engine.has_loaded(request.headers.get(HEADERS.model, "")):
            return aiohttp.web.Response(status=http.HTTPStatus.MISDIRECTED_REQUEST, headers=headers)
        text = (await request.read()).decode(errors="replace")
        headers |= {HEADERS.stamp: STAMP, "Content-Type": "text/event-stream"}
        response = aiohttp.web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get(HEADERS.resume) or 0) + 1
        for number, word in enumerate(text.split(), 1):
            if number < first:
                continue
            await asyncio.sleep(self.piece_s)
            await response.write(f"id: {number}\ndata: {word}\n\n".encode())
        await response.write_eof()
        return response


class StandIns:
    """Serves all stand-in replicas of a process and the list that controllers read."""

    def __init__(self, settings: messages.StandInSettings) -> None:
        """Create the replicas; `start` opens their ports."""
        self.listing = settings.listing
        self.replicas = [StandIn(replica, settings.load_s, settings.piece_s) for replica in settings.replicas]
        self.runners: list[aiohttp.web.AppRunner] = []

    async def start(self) -> None:
        """Listen on the address of the list and of each replica."""
        app = aiohttp.web.Application()
        app.router.add_get(LISTING_PATH, self.list)
        await self._serve(app, self.listing)
        for replica in self.replicas:
            await self._serve(replica.app(), replica.location.address)

    async def stop(self) -> None:
        """Close every port."""
        for runner in self.runners:
            await runner.cleanup()

    async def list(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the rows of all replicas."""
        return aiohttp.web.json_response([replica.row() for replica in self.replicas])

    async def _serve(self, app: aiohttp.web.Application, address: str) -> None:
        runner = aiohttp.web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2)
        await runner.setup()
        self.runners.append(runner)
        host, port = address.split(":")
        await aiohttp.web.TCPSite(runner, host, int(port)).start()
