"""The shell round the relay's reducer: clients' HTTP, readiness, attempts at replicas, the feed."""

import asyncio
import gc
import inspect
import os
import random
import signal

import aiohttp.web

import basaltport.events as base
import basaltport.keeper.pages as pages
import basaltport.kinds as kinds
import basaltport.logs as logs
import basaltport.member as member
import basaltport.relay.answer as answer
import basaltport.relay.clients as clients
import basaltport.relay.events as events
import basaltport.relay.intake as intake
import basaltport.relay.memory as memory
import basaltport.relay.outcomes as outcomes
import basaltport.relay.role as role
import basaltport.relay.upstream as upstream
import basaltport.wires as wires

TICK = 0.05
NOTICED = 2.6
LAST = 0.8
BODY = 4 << 20
SWEEP = 5.0
STALE = 2.0
DELIVERY = 1000


def number(raw, top=10**8):
    """A whole number of a header, or -1."""
    return min(int(raw), top) if raw and raw.isascii() and raw.isdigit() and len(raw) < 12 else -1


class RelayShell:
    """`reload`: called on SIGHUP and when no keeper was heard of for a while; gives the seeds, or None."""

    def __init__(self, settings, words, reload=None):
        self.settings = s = settings
        self.words = words
        self.reload = reload
        self.stopping = False
        self.n = 0
        self.sinks = {}
        self.tasks = {}
        self.rest_limit = clients.RestLimit()
        me = member.Me(
            s["house"],
            s["name"],
            f"{s['name']}-{os.urandom(4).hex()}",
            "proxy",
            s["zone"],
            s["address"],
            "",
            s["seeds"],
            0,
        )
        seed = random.SystemRandom().getrandbits(64)
        zones = len(s.get("zones") or ()) or 1
        self.member = role.Relay(me, seed, kinds.steady(), s.get("timings"), zones)
        self.pages = pages.Pages(self, "proxy")
        self.upstream = upstream.Upstream(words)
        self.bodies = memory.room_of(s)
        self.answers = memory.room_of(s)
        self.wires = wires.Wires(
            s["address"], self.heard, lambda peer, why: logs.note(33, {"peer": peer, "why": why})
        )

    def reseed(self, seeds):
        self.member.me.seeds = list(seeds)

    async def run(self):
        loop = asyncio.get_running_loop()
        logs.open_log("-")
        self.end = asyncio.Event()
        for s in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(s, self.end.set)
        loop.add_signal_handler(signal.SIGHUP, self.hup)
        await self.upstream.start()
        await self.wires.start()
        self.server = aiohttp.web.Server(
            self.serve,
            request_factory=self.request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=clients.LIBRARY_LIMIT_S,
            max_line_size=16_384,
            max_field_size=32_768,
            auto_decompress=False,
            lingering_time=2.0,
            read_bufsize=upstream.READ_BUFFER,
        )
        self.probe = aiohttp.web.Server(self.readiness, access_log=None)
        host, port = self.settings["listen"].rsplit(":", 1)
        self.listener = await loop.create_server(self.server, host, int(port), backlog=1024)
        host, port = self.settings["ready"].rsplit(":", 1)
        self.prober = await loop.create_server(self.probe, host, int(port), backlog=128)
        logs.note(1, self.member.me.row())
        gc.collect()
        gc.freeze()
        ticker = loop.create_task(self.tick())
        await self.end.wait()
        await self.finish()
        ticker.cancel()

    def hup(self):
        seeds = self.reload() if self.reload else None
        if seeds:
            self.reseed(seeds)

    async def finish(self):
        """Not ready at once; what still comes is served. Once no new clients come, what runs is finished, and
        what can't be is told so."""
        logs.note(2, {"name": self.member.me.name})
        self.stopping = True
        self.step(base.Stop(kinds.steady()))
        grace = self.member.timings["grace_s"]
        await asyncio.sleep(min(NOTICED, grace / 2))
        self.listener.close()
        until = kinds.steady() + 1000 * (grace - min(NOTICED, grace / 2) - LAST)
        while self.close_idle() and kinds.steady() < until:
            await asyncio.sleep(TICK)
        self.step(events.Finish(kinds.steady()))
        until += 1000 * LAST / 2
        while self.close_idle() and kinds.steady() < until:
            await asyncio.sleep(TICK)
        await self.wires.stop()
        await self.upstream.stop()

    def close_idle(self):
        """Ends connections that no request is on; gives how many are left.

        Others end with their answer, which says so. The library's own close() is not used: it leaves idle
        ones open and reads no more of a body on its way, so that what is sent is never answered.
        """
        busy = 0
        for connection in self.server.connections:
            if clients.at_rest(connection):
                connection.force_close()
            else:
                busy += 1
        return busy or len(self.sinks)

    def end_rested(self):
        """Ends connections that have rested for longer than clients may."""
        limit = self.rest_limit.seconds(self.member.table.limits)
        now = asyncio.get_running_loop().time()
        for connection in self.server.connections:
            if clients.rested_s(connection, now) >= limit and clients.at_rest(connection):
                connection.force_close()

    async def tick(self):
        asked = swept = kinds.steady()
        while True:
            now = kinds.steady()
            try:
                self.step(base.Tick(now))
            except Exception as e:
                logs.note(81, {"why": f"{type(e).__name__}: {e}"})
            if now - asked > 1000 * STALE and now - self.member.led_at > 1000 * STALE:
                asked = now
                self.hup()
            if now - swept > 1000 * SWEEP:
                swept = now
                self.end_rested()
            await asyncio.sleep(TICK)

    def heard(self, src, msg):
        self.step(base.Heard(kinds.steady(), src, msg))

    # clients

    def request(self, message, payload, protocol, writer, task):
        loop = asyncio.get_running_loop()
        size = self.member.table.limits.get("body_bytes") or BODY
        return aiohttp.web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=size)

    async def readiness(self, request):
        if request.path.startswith(pages.PREFIX):
            return await self.pages.serve(request)
        ok = request.path == self.words.ready_path and self.member.ready() and not self.stopping
        return aiohttp.web.Response(status=200 if ok else 503)

    async def serve(self, request):
        body = memory.Claim(self.bodies)
        answered = memory.Claim(self.answers)
        try:
            return await self.served(request, body, answered)
        finally:
            body.free()
            answered.free()

    async def served(self, request, body_claim, answer_claim):
        w, h = self.words, request.headers
        deadline = number(h.get(w.deadline))
        until = kinds.steady() + (deadline if deadline >= 0 else intake.LONGEST_MS)
        limit = self.member.table.limits.get("body_bytes") or BODY
        try:
            body = await intake.read(request, limit, deadline, body_claim)
        except intake.Refused as refused:
            body_claim.free()
            return self.unread(request, refused.reason)
        path = request.raw_path
        if not path.startswith("/"):
            return aiohttp.web.Response(status=400)
        self.n += 1
        n = self.n
        sink = self.sinks[n] = answer.Sink(request, body, w, lambda: self.stopping, answer_claim)
        tokens = h.get(w.tokens, "").partition(",")[0]
        ev = events.Arrived(
            kinds.steady(),
            n,
            h.get("Host", ""),
            path.partition("?")[0],
            kinds.Item(h.get(w.model, "")),
            deadline,
            number(tokens, 10**7),
            h.get(w.prefix, "").rpartition(",")[0],
        )
        try:
            self.step(ev)
            return await self.deliver(request, await sink.done, until)
        except asyncio.CancelledError:
            self.step(events.Left(kinds.steady(), n))
            raise
        finally:
            self.sinks.pop(n, None)

    def unread(self, request, reason):
        """Our own answer where a body was not read: nothing ran, nor will."""
        if reason is not intake.Reason.NO_ROOM:
            return aiohttp.web.Response(status=reason.value)
        tally = self.member.tally
        tally["no-room"] = tally.get("no-room", 0) + 1
        sink = answer.Sink(request, b"", self.words, lambda: self.stopping, memory.Claim(self.answers))
        sink.close(reason.value, "no room for the body", role.COME_BACK)
        return sink.done.result()

    async def deliver(self, request, reply, until):
        """Waits until a client has taken its answer, until a while after it waits no more; then it is cut."""
        try:
            async with asyncio.timeout(max(DELIVERY, until - kinds.steady()) / 1000):
                await reply.prepare(request)
                await reply.write_eof()
        except TimeoutError:
            if request.transport is not None:
                request.transport.abort()
        except (ConnectionError, RuntimeError):
            pass
        return reply

    # effects

    def step(self, ev):
        for e in self.member.step(ev):
            getattr(self, "do_" + type(e).__name__.lower())(e)

    def do_send(self, e):
        self.wires.send(e.addr, e.msg)

    def do_note(self, e):
        logs.note(e.number, e.fields)

    def do_close(self, e):
        s = self.sinks.get(e.request)
        if s:
            s.close(e.status, e.detail, e.retry_after)

    def do_pass(self, e):
        s = self.sinks.get(e.request)
        if s:
            s.give(e.attempt)

    def do_cut(self, e):
        s = self.sinks.get(e.request)
        if s:
            s.cut()

    def do_abort(self, e):
        task = self.tasks.get(e.attempt)
        if task is None:
            return
        task.cancel()
        if inspect.getcoroutinestate(task.get_coro()) == inspect.CORO_CREATED:
            self.never_begun(e.attempt)

    def never_begun(self, attempt):
        """Tells the end of an attempt none of which ran: a task that is stopped before its first step runs
        nothing, its `finally` neither."""
        self.tasks.pop(attempt, None)
        result = outcomes.Result(outcomes.Outcome.UNSENT, 0, "stopped")
        asyncio.get_running_loop().call_soon(self.step, events.Ended(kinds.steady(), attempt, result))

    def do_attempt(self, e):
        s = self.sinks.get(e.request)
        if s is None:
            self.never_begun(e.attempt)
            return
        q = self.member.requests.get(e.request)
        if s.pieces is None:
            s.route(q.route)
        self.tasks[e.attempt] = asyncio.get_running_loop().create_task(self.attempt(e, s))

    async def attempt(self, e, sink):
        result = None
        try:
            result = await self.upstream.run(e, sink, lambda: self.progress(e.attempt))
        except Exception as error:
            logs.note(81, {"why": f"{type(error).__name__}: {error}"})
        finally:
            if result is None:
                outcome = outcomes.Outcome.CUT if sink.begun else outcomes.Outcome.BROKEN
                result = outcomes.Result(outcome, 0, "fault")
            self.tasks.pop(e.attempt, None)
            self.step(events.Ended(kinds.steady(), e.attempt, result))

    def progress(self, attempt):
        self.step(events.Progress(kinds.steady(), attempt))
