"""The shell round a reducer: one loop, wires, HTTP, a writer thread for the disk; carries effects out."""

import asyncio
import concurrent.futures
import os
import random
import signal

import aiohttp.web

import basaltport.query_api.admin.http_server as operator_server
import basaltport.log_events as log_events
import basaltport.query_api.replica_client.adapter as adapter
import basaltport.events as events
import basaltport.query_api.events as query_events
import basaltport.identifiers as identifiers
import basaltport.consensus.storage.member_disk as member_disk
import basaltport.consensus.storage.member_identity as member_identity
import basaltport.query_api.log_node as log_node
import basaltport.logs as logs
import basaltport.member as member
import basaltport.query_api.query_proxy.http_server as http_server
import basaltport.query_api.query_node as query_node
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
        return aiohttp.web.json_response(b, status=e.status, headers={adapter.RAN_HEADER: "no"})


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
        self.query_server = http_server.QueryServer(self)
        self.operator_server = operator_server.OperatorServer(self)
        self.replica_client = adapter.ReplicaClient(self.may_write)
        self.wires = wires.Wires(s["addr"], self.heard, self.refused)

    def open(self):
        """Ok, or Err with the reason the data folder cannot be used."""
        seed = random.SystemRandom().getrandbits(64)
        now = identifiers.steady()
        if self.role == "rostrum":
            self.member = query_node.QueryNode(self.me, seed, now)
            return None
        self.disk = member_disk.Disk(self.settings["data"], self.settings["name"])
        got = self.disk.open(member_identity.Identity(self.me.seat))
        if got.is_err():
            logs.note(log_events.Event.DISK_REFUSED, {"folder": self.settings["data"], "why": got.err_value})
            return got.err_value
        recovered = got.ok_value
        self.me.seat = identifiers.MemberId(recovered.identity.member_id)
        self.member = log_node.LogNode(self.me, seed, now, recovered.held, recovered.current_term)
        if recovered.is_new_member:
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
        await self.replica_client.start()
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
        await self.replica_client.stop()
        self.writer.shutdown()
        if self.disk:
            self.disk.close()

    def app(self):
        app = aiohttp.web.Application(
            client_max_size=self.settings["manifest_limit"], middlewares=[errors_as_json]
        )
        self.operator_server.routes(app)
        if self.role == "rostrum":
            self.query_server.routes(app)
        return app

    async def drain(self):
        """What was taken in is finished, within bounds."""
        until = identifiers.steady() + GRACE
        while self.query_server.sinks and identifiers.steady() < until:
            await asyncio.sleep(TICK)

    def may_write(self, attempt_id):
        self.member.now = max(self.member.now, identifiers.steady())
        return self.member.may_write(attempt_id)

    def override(self, names):
        self.member.out = []
        why = self.member.override(names)
        for e in self.member.out:
            self.do_note(e)
        return why

    # effects

    def do_answer(self, e):
        self.operator_server.answer(e.call, e.status, e.body)

    def do_final_answer(self, e):
        s = self.query_server.sinks.get(e.request_id)
        if s:
            s.close(e.status, e.body, e.retry_after_ms)

    def do_repeat_response(self, e):
        s = self.query_server.sinks.get(e.request_id)
        if s:
            self.tasks[e.request_id] = asyncio.get_running_loop().create_task(self.repeat(e, s))

    async def repeat(self, e, sink):
        try:
            await sink.repeat(e.status, e.response)
        finally:
            self.tasks.pop(e.request_id, None)

    def do_start_attempt(self, e):
        self.tasks[e.attempt_id] = asyncio.get_running_loop().create_task(self.run_attempt(e))

    async def run_attempt(self, e):
        sink = self.query_server.sinks.get(e.request_id) or http_server.DiscardSink()
        got = ("broken", 0, "abandoned", None)
        try:
            got = await self.replica_client.run(e, sink)
        finally:
            self.tasks.pop(e.attempt_id, None)
            out, n, why, kept = got
            seen = n if out == "refused" else 0
            self.step(query_events.AttemptEnded(identifiers.steady(), e.attempt_id, out, n, why, seen, kept))

    def do_cancel_attempt(self, e):
        t = self.tasks.get(e.attempt_id)
        if t:
            t.cancel()

    def do_poll_replica(self, e):
        asyncio.get_running_loop().create_task(self.poll(e))

    async def poll(self, e):
        ok, doc = await self.replica_client.call("GET", e.url)
        self.step(query_events.ReplicaPolled(identifiers.steady(), e.replica_id, ok, doc))

    def do_order_replica(self, e):
        asyncio.get_running_loop().create_task(self.order(e))

    async def order(self, e):
        ok, doc = await self.replica_client.call("POST", e.url, e.body)
        self.step(query_events.OrderAnswered(identifiers.steady(), e.order_number, ok, doc))
