"""The shell round a reducer: one loop, wires, HTTP, a writer thread for the disk; carries effects out."""

import asyncio
import concurrent.futures
import os
import random
import signal

import aiohttp.web

import basaltport.admin.http as http
import basaltport.log_events as log_events
import basaltport.query_api.replica_client.adapter as adapter
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.consensus.journal as journal
import basaltport.consensus.member_identity as member_identity
import basaltport.query_api.log_node as ledger
import basaltport.logs as logs
import basaltport.member as member
import basaltport.query_api.query_proxy.front as front
import basaltport.query_api.query_proxy.role as rostrum
import basaltport.shell as shell
import basaltport.wires as wires

TICK = 0.025
GRACE = 10_000
LAST = 0.1


@aiohttp.web.middleware
async def errors_as_json(request, handler):
    """What is refused before any handler saw it ran nothing and changed nothing."""
    try:
        return await handler(request)
    except aiohttp.web.HTTPException as e:
        b = {"error": e.reason.lower().replace(" ", "-"), "detail": e.text, "ran": "no", "changed": False}
        return aiohttp.web.json_response(b, status=e.status, headers={adapter.RAN: "no"})


class Host(shell.Shell):
    def __init__(self, role, s):
        super().__init__()
        self.role = role
        self.settings = s
        self.stopping = False
        seat = f"{s['name']}-{os.urandom(4).hex()}"
        self.me = member.Me(
            s["house"],
            s["name"],
            seat,
            role,
            s["zone"],
            s["addr"],
            s["http"],
            s["seeds"],
            s["expected_seats"],
            s["expected_ledgers"],
        )
        self.period = TICK
        self.tasks = {}
        self.front = front.Front(self)
        self.clerk = http.Clerk(self)
        self.adapter = adapter.Adapter(self.may_write)
        self.wires = wires.Wires(s["addr"], self.heard, self.refused)

    def open(self):
        """Ok, or Err with the reason the data folder cannot be used."""
        seed = random.SystemRandom().getrandbits(64)
        now = identifiers.steady()
        if self.role == "rostrum":
            self.member = rostrum.QueryNode(self.me, seed, now)
            return None
        self.disk = journal.Disk(self.settings["data"], self.settings["name"])
        got = self.disk.open(member_identity.Identity(self.me.seat))
        if got.is_err():
            logs.note(log_events.Event.DISK_REFUSED, {"folder": self.settings["data"], "why": got.err_value})
            return got.err_value
        recovered = got.ok_value
        self.me.seat = identifiers.MemberId(recovered.identity.seat)
        self.member = ledger.LogNode(self.me, seed, now, recovered.held, recovered.promised)
        if recovered.new_seat:
            logs.note(log_events.Event.SEAT_UNKNOWN, {"folder": self.settings["data"], "seat": self.me.seat})
        g, n = self.member.head()
        logs.note(
            log_events.Event.DISK_OPENED, {"serial": int(n), "generation": g.text(), "seat": self.me.seat}
        )
        return None

    async def run(self):
        for sig in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(sig, lambda: self.end.set())
        await self.start()
        await self.end.wait()
        await self.finish()

    async def start(self):
        self.end = asyncio.Event()
        self.writer = concurrent.futures.ThreadPoolExecutor(1)
        await self.adapter.start()
        self.runner = aiohttp.web.AppRunner(
            self.app(), handler_cancellation=True, access_log=None, shutdown_timeout=GRACE / 1000
        )
        await self.runner.setup()
        ip, port = self.me.http.split(":")
        await aiohttp.web.TCPSite(self.runner, ip, int(port), backlog=1024).start()
        await self.wires.start()
        logs.note(log_events.Event.STARTED, self.me.row())
        self.ticker = asyncio.get_running_loop().create_task(self.tick())

    async def finish(self):
        """Takes no more, finishes what runs, within bounds."""
        logs.note(log_events.Event.STOPPING, {"name": self.me.name})
        self.stopping = True
        await self.drain()
        self.step(events.Stop(identifiers.steady()))
        await asyncio.sleep(LAST)
        self.ticker.cancel()
        await self.wires.stop()
        await self.runner.cleanup()
        await self.adapter.stop()
        self.writer.shutdown()
        if self.disk:
            self.disk.close()

    def app(self):
        app = aiohttp.web.Application(
            client_max_size=self.settings["manifest_limit"], middlewares=[errors_as_json]
        )
        self.clerk.routes(app)
        if self.role == "rostrum":
            self.front.routes(app)
        return app

    async def drain(self):
        """What was taken in is finished, within bounds."""
        until = identifiers.steady() + GRACE
        while self.front.sinks and identifiers.steady() < until:
            await asyncio.sleep(TICK)

    def may_write(self, dispatch):
        self.member.now = max(self.member.now, identifiers.steady())
        return self.member.may_write(dispatch)

    def override(self, names):
        self.member.out = []
        why = self.member.override(names)
        for e in self.member.out:
            self.do_note(e)
        return why

    # effects

    def do_answer(self, e):
        self.clerk.answer(e.call, e.status, e.body)

    def do_close(self, e):
        s = self.front.sinks.get(e.query)
        if s:
            s.close(e.status, e.body, e.retry_after)

    def do_repeat(self, e):
        s = self.front.sinks.get(e.query)
        if s:
            self.tasks[e.query] = asyncio.get_running_loop().create_task(self.repeat(e, s))

    async def repeat(self, e, sink):
        try:
            await sink.again(e.status, e.reply)
        finally:
            self.tasks.pop(e.query, None)

    def do_dispatch(self, e):
        self.tasks[e.dispatch] = asyncio.get_running_loop().create_task(self.dispatch(e))

    async def dispatch(self, e):
        sink = self.front.sinks.get(e.query) or front.Deaf()
        got = ("broken", 0, "abandoned", None)
        try:
            got = await self.adapter.run(e, sink)
        finally:
            self.tasks.pop(e.dispatch, None)
            out, n, why, kept = got
            seen = n if out == "refused" else 0
            self.step(events.Replied(identifiers.steady(), e.dispatch, out, n, why, seen, kept))

    def do_abandon(self, e):
        t = self.tasks.get(e.dispatch)
        if t:
            t.cancel()

    def do_poll(self, e):
        asyncio.get_running_loop().create_task(self.poll(e))

    async def poll(self, e):
        ok, doc = await self.adapter.ask("GET", e.url)
        self.step(events.Polled(identifiers.steady(), e.replica, ok, doc))

    def do_order(self, e):
        asyncio.get_running_loop().create_task(self.order(e))

    async def order(self, e):
        ok, doc = await self.adapter.ask("POST", e.url, e.body)
        self.step(events.Ordered(identifiers.steady(), e.order, ok, doc))
