"""Runs a node of the JSON API: its reducer, connections, HTTP server and a thread that writes to the disk."""

import asyncio
import concurrent.futures
import os
import random
import signal
import typing

import aiohttp.typedefs
import aiohttp.web

import basaltport.consensus.storage.member_disk as member_disk
import basaltport.consensus.storage.member_identity as member_identity
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.logs as logs
import basaltport.member as member
import basaltport.query_api.admin.http_server as operator_server
import basaltport.query_api.events as query_events
import basaltport.query_api.log_node as log_node
import basaltport.query_api.query_node as query_node
import basaltport.query_api.query_proxy.http_server as http_server
import basaltport.query_api.replica_client.adapter as adapter
import basaltport.settings as settings
import basaltport.shell as shell
import basaltport.wires as wires

TICK_S = 0.025
"""Seconds between two ticks."""
GRACE_MS = 10_000
"""Time in ms that accepted requests get to finish when the process stops."""
FINAL_SEND_S = 0.1
"""Time in seconds to send the last messages before connections are closed."""
MS_PER_SECOND = 1000
HTTP_BACKLOG = 1024
# Typed as Any: the type checker takes the interfaces between these classes' mixins for abstract methods.
CREATE_QUERY_NODE: typing.Any = query_node.QueryNode
CREATE_LOG_NODE: typing.Any = log_node.LogNode
ABANDONED = adapter.Result("broken", 0, "abandoned")
"""The result of a cancelled attempt."""


@aiohttp.web.middleware
async def errors_as_json(
    request: aiohttp.web.Request, handler: aiohttp.typedefs.Handler
) -> aiohttp.web.StreamResponse:
    """Answer a request that aiohttp rejects with JSON that says that nothing was run or changed: no handler
    has seen it."""
    try:
        return await handler(request)
    except aiohttp.web.HTTPException as error:
        code = error.reason.lower().replace(" ", "-")
        body = {"error": code, "detail": error.text, "ran": "no", "changed": False}
        return aiohttp.web.json_response(body, status=error.status, headers={adapter.RAN_HEADER: "no"})


class Host(shell.Shell):
    """A node of the JSON API as a process: call `open`, then `run`, or `start` and `finish` in a running
    event loop."""

    def __init__(self, role: str, values: settings.Settings) -> None:
        """Create the node for a role of the command line (`role`) with its checked settings (`values`)."""
        super().__init__()
        self.role = role
        self.settings = values
        self.stopping = False
        member_id = f"{values['name']}-{os.urandom(4).hex()}"
        self.me = member.Me(
            values["house"],
            values["name"],
            identifiers.MemberId(member_id),
            role,
            values["zone"],
            values["addr"],
            values["http"],
            values["seeds"],
            values["expected_seats"],
            values["expected_ledgers"],
        )
        self.period = TICK_S
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.query_server = http_server.QueryServer(self)
        self.operator_server = operator_server.OperatorServer(self)
        self.replica_client = adapter.ReplicaClient(self.may_write)
        self.wires = wires.PeerConnections(values["addr"], self.message_received, self.frame_refused)

    def open(self) -> str | None:
        """Read the data folder and create the reducer; returns the error if the folder cannot be used, or
        None."""
        seed = random.SystemRandom().getrandbits(64)
        now = identifiers.steady()
        if self.role == operator_server.QUERY_NODE:
            self.member = CREATE_QUERY_NODE(self.me, seed, now)
            return None
        self.disk = member_disk.Disk(self.settings["data"], self.settings["name"])
        opened = self.disk.open(member_identity.Identity(self.me.seat))
        if opened.is_err():
            why: str = opened.err_value
            logs.note(log_events.Event.DISK_REFUSED, {"folder": self.settings["data"], "why": why})
            return why
        recovered = opened.ok_value
        self.me.seat = identifiers.MemberId(recovered.identity.member_id)
        self.member = CREATE_LOG_NODE(self.me, seed, now, recovered.replicated_state, recovered.current_term)
        if recovered.is_new_member:
            logs.note(log_events.Event.SEAT_UNKNOWN, {"folder": self.settings["data"], "seat": self.me.seat})
        term, index = self.member.head()
        fields = {"serial": int(index), "generation": term.text(), "seat": self.me.seat}
        logs.note(log_events.Event.DISK_OPENED, fields)
        return None

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or an operator stops the process; raises OSError if an address is in
        use."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, lambda: self.end.set())
        await self.start()
        await self.end.wait()
        await self.finish()

    async def start(self) -> None:
        """Start the HTTP server, the connections to members and the ticks; raises OSError if an address is in
        use."""
        self.end = asyncio.Event()
        self.writer = concurrent.futures.ThreadPoolExecutor(1)
        await self.replica_client.start()
        self.runner = aiohttp.web.AppRunner(
            self.app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=GRACE_MS / MS_PER_SECOND,
        )
        await self.runner.setup()
        ip, port = self.me.http.split(":")
        await aiohttp.web.TCPSite(self.runner, ip, int(port), backlog=HTTP_BACKLOG).start()
        await self.wires.start()
        logs.note(log_events.Event.STARTED, self.me.row())
        self.ticker = asyncio.get_running_loop().create_task(self.tick())

    async def finish(self) -> None:
        """Stop accepting requests, let running ones finish within GRACE_MS, and close everything."""
        logs.note(log_events.Event.STOPPING, {"name": self.me.name})
        self.stopping = True
        await self.drain()
        self.step(events.Stop(identifiers.steady()))
        await asyncio.sleep(FINAL_SEND_S)
        self.ticker.cancel()
        await self.wires.stop()
        await self.runner.cleanup()
        await self.replica_client.stop()
        self.writer.shutdown()
        if self.disk:
            self.disk.close()

    def app(self) -> aiohttp.web.Application:
        """Returns the HTTP application with the operators' paths and, at a query node, those of clients."""
        app = aiohttp.web.Application(
            client_max_size=self.settings["manifest_limit"], middlewares=[errors_as_json]
        )
        self.operator_server.routes(app)
        if self.role == operator_server.QUERY_NODE:
            self.query_server.routes(app)
        return app

    async def drain(self) -> None:
        """Wait until all accepted requests are finished, for at most GRACE_MS."""
        deadline = identifiers.steady() + GRACE_MS
        while self.query_server.sinks and identifiers.steady() < deadline:
            await asyncio.sleep(TICK_S)

    def may_write(self, attempt_id: str) -> int | None:
        """Returns the configuration version under which an attempt may be sent now, or None if it must not be
        sent."""
        self.member.now = max(self.member.now, identifiers.steady())
        version: int | None = self.member.may_write(attempt_id)
        return version

    def override(self, names: list[str]) -> str:
        """Declare the members with these names lost, on behalf of an operator; returns why that is refused,
        or ""."""
        self.member.out = []
        why: str = self.member.override(names)
        for effect in self.member.out:
            self.do_note(effect)
        return why

    # effects

    def do_answer(self, effect: events.Answer) -> None:
        """Send the answer to an operator's call."""
        self.operator_server.answer(effect.call, effect.status, effect.body)

    def do_final_answer(self, effect: query_events.FinalAnswer) -> None:
        """Answer a client's request with a response of the node itself."""
        sink = self.query_server.sinks.get(effect.request_id)
        if sink:
            sink.close(effect.status, effect.body, effect.retry_after_ms)

    def do_repeat_response(self, effect: query_events.RepeatResponse) -> None:
        """Answer a client with the stored response for its idempotency key, in a task."""
        sink = self.query_server.sinks.get(effect.request_id)
        if sink:
            task = asyncio.get_running_loop().create_task(self.repeat(effect, sink))
            self.tasks[effect.request_id] = task

    async def repeat(self, effect: query_events.RepeatResponse, sink: http_server.ResponseSink) -> None:
        """Write a stored response to its client."""
        try:
            await sink.repeat(effect.status, effect.response)
        finally:
            self.tasks.pop(effect.request_id, None)

    def do_start_attempt(self, effect: query_events.StartAttempt) -> None:
        """Send a request to a replica, in a task."""
        task = asyncio.get_running_loop().create_task(self.run_attempt(effect))
        self.tasks[effect.attempt_id] = task

    async def run_attempt(self, effect: query_events.StartAttempt) -> None:
        """Send a request to a replica, forward its response, and pass the result to the reducer."""
        sink = self.query_server.sinks.get(effect.request_id) or http_server.DiscardSink()
        attempt_result = ABANDONED
        try:
            attempt_result = await self.replica_client.run(effect, sink)
        finally:
            self.tasks.pop(effect.attempt_id, None)
            version = attempt_result.number if attempt_result.outcome == "refused" else 0
            self.step(
                query_events.AttemptEnded(
                    identifiers.steady(),
                    effect.attempt_id,
                    attempt_result.outcome,
                    attempt_result.number,
                    attempt_result.detail,
                    version,
                    attempt_result.kept,
                )
            )

    def do_cancel_attempt(self, effect: query_events.CancelAttempt) -> None:
        """Cancel an attempt that is running."""
        task = self.tasks.get(effect.attempt_id)
        if task:
            task.cancel()

    def do_poll_replica(self, effect: query_events.PollReplica) -> None:
        """Request the state of a replica, in a task."""
        asyncio.get_running_loop().create_task(self.poll(effect))

    async def poll(self, effect: query_events.PollReplica) -> None:
        """Request the state of a replica, and pass it to the reducer."""
        ok, state = await self.replica_client.call("GET", effect.url)
        self.step(query_events.ReplicaPolled(identifiers.steady(), effect.replica_id, ok, state))

    def do_order_replica(self, effect: query_events.OrderReplica) -> None:
        """Send a replica an order, in a task."""
        asyncio.get_running_loop().create_task(self.order(effect))

    async def order(self, effect: query_events.OrderReplica) -> None:
        """Send a replica an order, and pass its answer to the reducer."""
        ok, state = await self.replica_client.call("POST", effect.url, effect.body)
        self.step(query_events.OrderAnswered(identifiers.steady(), effect.order_number, ok, state))
