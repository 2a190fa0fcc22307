"""The shell round the relay's reducer: clients' HTTP, readiness, attempts at replicas, the feed."""

import asyncio
import collections.abc
import gc
import inspect
import os
import random
import signal
import typing

import aiohttp
import aiohttp.abc
import aiohttp.http
import aiohttp.web

import basaltport.events as base
import basaltport.controller.admin_pages as pages
import basaltport.identifiers as identifiers
import basaltport.logs as logs
import basaltport.member as member
import basaltport.proxy.response as response
import basaltport.proxy.client_connections as client_connections
import basaltport.proxy.response_delivery as response_delivery
import basaltport.proxy.admission as admission
import basaltport.proxy.events as events
import basaltport.proxy.request_body as request_body
import basaltport.proxy.memory_limit as memory_limit
import basaltport.proxy.attempt_outcome as attempt_outcome
import basaltport.proxy.node as node
import basaltport.proxy.upstream as upstream
import basaltport.proxy.head_timeout as head_timeout
import basaltport.proxy.header_names as header_names
import basaltport.wires as wires

TICK_S = 0.05
NOTICED_S = 2.6
LAST_S = 0.8
BODY_BYTES = 4 << 20
SWEEP_MS = 5000
STALE_MS = 2000
MS = 1000
LINGER_S = 2.0
BACKLOG = 1024
PROBE_BACKLOG = 128
TOP_TOKENS = 10**7
OK = 200
BAD_REQUEST = 400
UNREADY = 503
STARTED, STOPPING, REFUSED_PEER, STEP_FAILED = 1, 2, 33, 81

Settings = collections.abc.Mapping[str, typing.Any]
Reload = collections.abc.Callable[[], collections.abc.Sequence[str] | None]


class ProxyServer:
    """A proxy as a process: what its reducer decides is done on sockets."""

    end: asyncio.Event
    server: head_timeout.HeadTimeoutServer
    probe: aiohttp.web.Server
    listener: asyncio.Server
    prober: asyncio.Server

    def __init__(
        self, settings: Settings, header_names: header_names.Words, reload: Reload | None = None
    ) -> None:
        """`reload`: called on SIGHUP and when no keeper was heard of for a while; gives seeds or None."""
        self.settings = settings
        self.words = header_names
        self.reload = reload
        self.stopping = False
        self.n = 0
        self.sinks: dict[int, response.Sink] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.rest_limit = client_connections.RestLimit()
        seed = random.SystemRandom().getrandbits(64)
        zones = len(settings.get("zones") or ()) or 1
        me = identity(settings)
        self.member = node.ProxyNode(me, seed, identifiers.steady(), settings.get("timings"), zones)
        self.pages = pages.Pages(self, "proxy")
        self.upstream = upstream.Upstream(header_names)
        self.bodies = memory_limit.room_of(settings)
        self.answers = memory_limit.room_of(settings)
        self.wires = wires.Wires(settings["address"], self.heard, refused_peer)

    def reseed(self, seeds: collections.abc.Sequence[str]) -> None:
        """Other keepers to ask."""
        self.member.me.seeds = list(seeds)

    async def run(self) -> None:
        """Serves until SIGTERM and its grace time."""
        loop = asyncio.get_running_loop()
        logs.open_log("-")
        self.end = asyncio.Event()
        for stop in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop, self.end.set)
        loop.add_signal_handler(signal.SIGHUP, self.hup)
        await self.upstream.start()
        await self.wires.start()
        await self.listen()
        logs.note(STARTED, self.member.me.row())
        gc.collect()
        gc.freeze()
        ticker = loop.create_task(self.tick())
        await self.end.wait()
        await self.finish()
        ticker.cancel()

    async def listen(self) -> None:
        """Takes clients, and the platform's probes."""
        loop = asyncio.get_running_loop()
        self.server = head_timeout.HeadTimeoutServer(
            self.serve,
            request_factory=self.request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=client_connections.LIBRARY_LIMIT_S,
            max_line_size=upstream.LINE_BYTES,
            max_field_size=upstream.FIELD_BYTES,
            auto_decompress=False,
            lingering_time=LINGER_S,
            read_bufsize=upstream.READ_BUFFER,
        )
        self.server.limit_heads(lambda: self.member.table.limits.get("header_wait_ms", 0))
        self.probe = aiohttp.web.Server(self.readiness, access_log=None)
        host, port = self.settings["listen"].rsplit(":", 1)
        self.listener = await loop.create_server(self.server, host, int(port), backlog=BACKLOG)
        host, port = self.settings["ready"].rsplit(":", 1)
        self.prober = await loop.create_server(self.probe, host, int(port), backlog=PROBE_BACKLOG)

    def hup(self) -> None:
        """Reads the settings again."""
        seeds = self.reload() if self.reload else None
        if seeds:
            self.reseed(seeds)

    async def finish(self) -> None:
        """Not ready at once; what still comes is served. Once no new clients come, what runs is finished, and
        what can't be is told so."""
        logs.note(STOPPING, {"name": self.member.me.name})
        self.stopping = True
        self.step(base.Stop(identifiers.steady()))
        grace_s = self.member.timings["grace_s"]
        noticed_s = min(NOTICED_S, grace_s / 2)
        await asyncio.sleep(noticed_s)
        self.listener.close()
        until = identifiers.steady() + MS * (grace_s - noticed_s - LAST_S)
        await self.quiet(until)
        self.step(events.Finish(identifiers.steady()))
        await self.quiet(until + MS * LAST_S / 2)
        await self.wires.stop()
        await self.upstream.stop()

    async def quiet(self, until: float) -> None:
        """Until nothing is on any connection, or the time is over."""
        while self.close_idle() and identifiers.steady() < until:
            await asyncio.sleep(TICK_S)

    def close_idle(self) -> int:
        """Ends connections that no request is on; gives how many are left.

        Others end with their answer, which says so. The library's own close() is not used: it leaves idle
        ones open and reads no more of a body on its way, so that what is sent is never answered.
        """
        busy = 0
        for connection in self.server.connections:
            if client_connections.at_rest(connection):
                connection.force_close()
            else:
                busy += 1
        return busy or len(self.sinks)

    def end_rested(self) -> None:
        """Ends connections that have rested for longer than clients may."""
        limit_s = self.rest_limit.seconds(self.member.table.limits)
        now_s = asyncio.get_running_loop().time()
        for connection in self.server.connections:
            if client_connections.rested_s(connection, now_s) >= limit_s and client_connections.at_rest(
                connection
            ):
                connection.force_close()

    async def tick(self) -> None:
        """What time alone brings about."""
        asked = swept = identifiers.steady()
        while True:
            now = identifiers.steady()
            try:
                self.step(base.Tick(now))
            except Exception as error:
                step_failed(error)
            if now - asked > STALE_MS and now - self.member.led_at > STALE_MS:
                asked = now
                self.hup()
            if now - swept > SWEEP_MS:
                swept = now
                self.end_rested()
            await asyncio.sleep(TICK_S)

    def heard(self, src: str, msg: object) -> None:
        """A member's message came."""
        self.step(base.Heard(identifiers.steady(), src, msg))

    # clients

    def request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: client_connections.Connection,
        writer: aiohttp.abc.AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> aiohttp.web.BaseRequest:
        """The library's request, with the bound that is in force for bodies."""
        loop = asyncio.get_running_loop()
        size = self.member.table.limits.get("body_bytes") or BODY_BYTES
        return aiohttp.web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=size)

    async def readiness(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """The platform's probes, and operators' pages."""
        if request.path.startswith(pages.PREFIX):
            page: aiohttp.web.StreamResponse = await self.pages.serve(request)
            return page
        ready = request.path == self.words.ready_path and self.member.ready() and not self.stopping
        return aiohttp.web.Response(status=OK if ready else UNREADY)

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """A client's request, from its head to its answer's last byte, with what it holds in memory."""
        body = memory_limit.Claim(self.bodies)
        answered = memory_limit.Claim(self.answers)
        try:
            return await self.served(request, body, answered)
        finally:
            body.free()
            answered.free()

    async def served(
        self,
        request: aiohttp.web.BaseRequest,
        body_claim: memory_limit.Claim,
        answer_claim: memory_limit.Claim,
    ) -> aiohttp.web.StreamResponse:
        """The same, with the claims that it may use."""
        deadline = header_names.number(request.headers.get(self.words.deadline))
        began = identifiers.steady()
        until = began + (deadline if deadline >= 0 else request_body.LONGEST_MS)
        limit = self.member.table.limits.get("body_bytes") or BODY_BYTES
        try:
            body = await request_body.read(request, limit, deadline, body_claim)
        except request_body.RefusedError as refused:
            body_claim.free()
            return self.unread(request, refused.reason)
        if not request.raw_path.startswith("/"):
            return aiohttp.web.Response(status=BAD_REQUEST)
        self.n += 1
        request_id = self.n
        sink = response.Sink(request, body, self.words, lambda: self.stopping, answer_claim)
        self.sinks[request_id] = sink
        try:
            self.step(self.arrived(request_id, request, began))
            return await response_delivery.deliver(request, await sink.done, until - identifiers.steady())
        except asyncio.CancelledError:
            self.step(events.Left(identifiers.steady(), request_id))
            raise
        finally:
            self.sinks.pop(request_id, None)

    def arrived(self, request_id: int, request: aiohttp.web.BaseRequest, began: float) -> events.Arrived:
        """What the reducer is told of a request. `began`: when its head was there, in ms."""
        names, heads, now = self.words, request.headers, identifiers.steady()
        tokens = heads.get(names.tokens, "").partition(",")[0]
        return events.Arrived(
            now,
            request_id,
            heads.get("Host", ""),
            request.raw_path.partition("?")[0],
            identifiers.Item(heads.get(names.model, "")),
            header_names.number(heads.get(names.deadline)),
            header_names.number(tokens, TOP_TOKENS),
            heads.get(names.prefix, "").rpartition(",")[0],
            int(now - began),
        )

    def unread(
        self, request: aiohttp.web.BaseRequest, reason: request_body.Reason
    ) -> aiohttp.web.StreamResponse:
        """Our own answer where a body was not read: nothing ran, nor will."""
        if reason is not request_body.Reason.NO_ROOM:
            return aiohttp.web.Response(status=reason.value)
        tally = self.member.tally
        tally["no-room"] = tally.get("no-room", 0) + 1
        sink = response.Sink(
            request, b"", self.words, lambda: self.stopping, memory_limit.Claim(self.answers)
        )
        sink.close(reason.value, "no room for the body", admission.RETRY_AFTER_MS)
        return sink.done.result()

    # effects

    def step(self, event: member.Event) -> None:
        """One step of the reducer, and what it asks for."""
        for effect in member.Member.step(self.member, event):
            getattr(self, "do_" + type(effect).__name__.lower())(effect)

    def do_send(self, effect: base.Send) -> None:
        """A message to a member."""
        self.wires.send(effect.addr, effect.msg)

    def do_note(self, effect: base.Note) -> None:
        """An event for the log."""
        logs.note(effect.number, effect.fields)

    def do_close(self, effect: events.Close) -> None:
        """An answer of our own."""
        sink = self.sinks.get(effect.request)
        if sink:
            sink.close(effect.status, effect.detail, effect.retry_after)

    def do_pass(self, effect: events.Pass) -> None:
        """A replica's kept failure."""
        sink = self.sinks.get(effect.request)
        if sink:
            sink.give(effect.attempt)

    def do_cut(self, effect: events.Cut) -> None:
        """The end of the client's connection."""
        sink = self.sinks.get(effect.request)
        if sink:
            sink.cut()

    def do_abort(self, effect: events.Abort) -> None:
        """An attempt is stopped; its end is still told."""
        task = self.tasks.get(effect.attempt)
        if task is None:
            return
        task.cancel()
        begun = typing.cast("collections.abc.Coroutine[None, None, None]", task.get_coro())
        if inspect.getcoroutinestate(begun) == inspect.CORO_CREATED:
            self.never_begun(effect.attempt)

    def never_begun(self, attempt: int) -> None:
        """Tells the end of an attempt none of which ran: a task that is stopped before its first step runs
        nothing, its `finally` neither."""
        self.tasks.pop(attempt, None)
        result = attempt_outcome.Result(attempt_outcome.Outcome.UNSENT, 0, "stopped")
        asyncio.get_running_loop().call_soon(self.step, events.Ended(identifiers.steady(), attempt, result))

    def do_attempt(self, effect: events.Attempt) -> None:
        """A request goes to a replica."""
        sink = self.sinks.get(effect.request)
        if sink is None:
            self.never_begun(effect.attempt)
            return
        if sink.pieces is None:
            sink.route(self.member.requests[effect.request].route)
        task = asyncio.get_running_loop().create_task(self.attempt(effect, sink))
        self.tasks[effect.attempt] = task

    async def attempt(self, effect: events.Attempt, sink: response.Sink) -> None:
        """One attempt, and what the reducer is told of its end."""
        result = None
        try:
            result = await self.upstream.run(effect, sink, lambda: self.progress(effect.attempt))
        except Exception as error:
            step_failed(error)
        finally:
            if result is None:
                outcome = attempt_outcome.Outcome.CUT if sink.begun else attempt_outcome.Outcome.BROKEN
                result = attempt_outcome.Result(outcome, 0, "fault")
            self.tasks.pop(effect.attempt, None)
            self.step(events.Ended(identifiers.steady(), effect.attempt, result))

    def progress(self, attempt: int) -> None:
        """Bytes of an answer came."""
        self.step(events.Progress(identifiers.steady(), attempt))


def identity(settings: Settings) -> member.Me:
    """Who this proxy is among the members, new with every start."""
    name = settings["name"]
    seat = identifiers.MemberId(f"{name}-{os.urandom(4).hex()}")
    place = settings["zone"], settings["address"]
    return member.Me(settings["house"], name, seat, "proxy", *place, "", settings["seeds"], 0)


def refused_peer(peer: str, why: str) -> None:
    """Logs a connection of a peer that was not taken."""
    logs.note(REFUSED_PEER, {"peer": peer, "why": why})


def step_failed(error: Exception) -> None:
    """Logs a fault of our own."""
    logs.note(STEP_FAILED, {"why": f"{type(error).__name__}: {error}"})
