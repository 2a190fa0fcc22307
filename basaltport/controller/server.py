"""The process of a controller: its connections, its disk, and the port through which it uses the platform."""

import asyncio
import collections.abc
import gc
import os
import random
import signal
import typing

import result

import basaltport.consensus.storage.member_disk as member_disk
import basaltport.consensus.storage.member_identity as member_identity
import basaltport.controller.disk_writer as disk_writer
import basaltport.controller.events as controller_events
import basaltport.controller.node as node
import basaltport.controller.order_execution as order_execution
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.logs as logs
import basaltport.member as member
import basaltport.placement.effects as effects
import basaltport.placement.order_types as order_types
import basaltport.quota.bounds as bounds
import basaltport.shell as shell
import basaltport.started as started
import basaltport.wires as wires

TICK_S = 0.05
"""The interval between two ticks of the reducer, in seconds."""
DRAIN_S = 0.25
"""How long a stopping process waits for requests to be answered, before and after it transfers its
leadership, in seconds."""
TRANSFER_FLUSH_S = 0.1
"""How long a stopping leader waits for its messages of the leadership transfer to be sent, in seconds."""
PORT_STOP_S = 0.3
"""How long the platform's port may take to stop, in seconds."""
MAX_LIST_DELAY_MS = 2500
MAX_REPORT_DELAY_MS = 1000
"""A list or report that arrives later than this, in ms, is discarded as stale: this process or its machine
was paused with the answer in its socket. Both are the longest times that a port waits by itself."""
LOOP_PASSES_BEFORE_CLOSE = 4
"""How many passes of the event loop a handler needs to be cancelled when its request is directly followed by
the close of the connection."""
STOPPING = (503, {"error": "stopping"})
UNKNOWN = (504, {"error": "unknown"})

Document = dict[str, typing.Any]
Settings = dict[str, typing.Any]
Answer = tuple[int, Document]
Result = typing.TypeVar("Result")


class Port(typing.Protocol):
    """The platform's side of a controller: lists replicas, sends orders to them, and serves operators.

    It may also define `reload()`, which is called on SIGHUP, and `read_stored`; see
    `stored_configuration`."""

    async def start(self, server: "ControllerServer") -> None:
        """Start to serve operators on behalf of a controller."""

    async def stop(self) -> None:
        """Stop serving operators."""

    async def list(self) -> "list[Document] | None":
        """Returns the rows of all replicas, None if they could not be read."""

    async def order(self, order: effects.Order) -> str:
        """Send an order to its replica; returns the value of a `placement.order_types.OrderOutcome`."""

    async def report(self, request: effects.Report) -> Document | None:
        """Returns a replica's report of its loaded models, None if it doesn't answer."""


class ControllerServer(shell.Shell):
    """Runs a controller as a process. `settings` are described in docs/design/platform.md. Raises OSError if
    the data folder can't be used."""

    def __init__(self, settings: Settings, port: Port) -> None:
        """Open the data folder and create the reducer; `run` starts everything else."""
        super().__init__()
        self.settings = settings
        self.port = port
        self.period = TICK_S
        self.stopping = False
        self.last_call = 0
        self.listed_at: identifiers.Millis | None = None
        """When the platform's list of replicas was last read, in ms."""
        self.calls: dict[str, asyncio.Future[Answer]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.open()
        self.wires = wires.PeerConnections(settings["address"], self.message_received, self.frame_refused)

    def open(self) -> None:
        """Open the data folder and create the reducer from its contents."""
        settings = self.settings
        recovered = self.read_disk()
        self.me = member.Me(
            settings["house"],
            settings["name"],
            recovered.identity.member_id,
            "ledger",
            settings["zone"],
            settings["address"],
            settings.get("operators", ""),
            settings["seeds"],
            0,
            voters="ledgers",
            first_start=recovered.identity.founders is not None,
            founders=list(recovered.identity.founders or ()),
        )
        self.member = node.Controller(
            self.me,
            random.SystemRandom().getrandbits(64),
            identifiers.steady(),
            recovered.replicated_state,
            recovered.current_term,
            lease_ms=settings.get("timings", {}).get("lease_ms", node.REPLICA_LEASE_MS),
            began=identifiers.Millis(started.STARTED_AT_MS),
            quota_bounds=bounds.QuotaBounds.from_timings(settings.get("timings", {})),
        )
        self.member.list_lag_ms = settings.get("listing", {}).get("lag_ms", self.member.list_lag_ms)
        self.member.read_stored = getattr(self.port, "read_stored", None)
        term, index = self.member.head()
        fields = {"serial": int(index), "generation": term.text(), "seat": self.me.seat}
        logs.note(log_events.Event.DISK_OPENED, fields)

    def read_disk(self) -> member_disk.Recovered:
        """Open the data folder and return its contents; a new folder gets a new member id."""
        settings = self.settings
        folder = settings["data"]
        founders = tuple(settings["seeds"]) if settings.get("first_start") else None
        member_id = identifiers.MemberId(f"{settings['name']}-{os.urandom(4).hex()}")
        self.disk = member_disk.Disk(folder, settings["name"])
        opened = self.disk.open(member_identity.Identity(member_id, founders))
        if isinstance(opened, result.Err):
            logs.note(log_events.Event.DISK_REFUSED, {"folder": folder, "why": opened.err_value})
            raise OSError(f"data folder: {opened.err_value}")
        recovered = opened.ok_value
        if recovered.is_new_member:
            logs.note(log_events.Event.SEAT_UNKNOWN, {"folder": folder, "seat": recovered.identity.member_id})
        return recovered

    def reseed(self, seeds: list[str]) -> None:
        """Replace the addresses at which other members are discovered."""
        self.me.seeds = list(seeds)

    # the process

    async def run(self) -> None:
        """Serve until a signal ends the process."""
        loop = asyncio.get_running_loop()
        logs.open_log("-")
        ended = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, ended.set)
        loop.add_signal_handler(signal.SIGHUP, getattr(self.port, "reload", lambda: None))
        await self.start()
        await ended.wait()
        await self.finish()

    async def start(self) -> None:
        """Open the connections and start the periodic work."""
        self.writer = disk_writer.DiskWriter()
        await self.wires.start()
        self.ticker = asyncio.get_running_loop().create_task(self.tick())
        await self.port.start(self)
        logs.note(log_events.Event.STARTED, self.me.row())
        gc.collect()
        gc.freeze()

    async def finish(self) -> None:
        """Stop in order: answer pending requests within time limits, transfer the leadership, and close."""
        logs.note(log_events.Event.STOPPING, {"name": self.me.name})
        self.stopping = True
        await self.wait_for_answers(DRAIN_S)
        self.step(events.Stop(identifiers.steady()))
        await asyncio.sleep(TRANSFER_FLUSH_S)
        await self.wait_until_released()
        await self.wait_for_answers(DRAIN_S)
        self.ticker.cancel()
        for task in list(self.tasks):
            task.cancel()
        for answer in self.calls.values():
            if not answer.done():
                answer.set_result(UNKNOWN)
        try:
            await asyncio.wait_for(self.port.stop(), PORT_STOP_S)
        except TimeoutError:
            pass
        await self.wires.stop()
        self.writer.shutdown()

    async def wait_until_released(self) -> None:
        """Wait until the other members no longer need this member's vote; the reducer limits the wait."""
        while not self.member.may_exit():
            await asyncio.sleep(TICK_S)

    async def wait_for_answers(self, seconds: float) -> None:
        """Wait until all requests are answered, for at most this many seconds."""
        deadline = identifiers.steady() + 1000 * seconds
        while self.calls and identifiers.steady() < deadline:
            await asyncio.sleep(TICK_S / 2)

    # operators

    def earliest_arrival(self) -> identifiers.Millis:
        """Returns the earliest time at which a connection that is accepted now can have arrived, in ms."""
        return self.progress.earliest_arrival()

    async def ask(self, verb: str, body: Document, sent_after: identifiers.Millis | None = None) -> Answer:
        """Returns the answer (status and document) to an operator's request; see docs/design/platform.md.

        `sent_after`: the earliest time at which the caller can have sent it, in ms. If it is given, the
        caller must cancel this call when it stops waiting, which withdraws the request."""
        if self.stopping:
            return STOPPING
        self.last_call += 1
        call = f"{self.me.seat}-{os.urandom(3).hex()}-{self.last_call}"
        answer = self.calls[call] = asyncio.get_running_loop().create_future()
        try:
            if sent_after is not None:
                await self.detect_closed_connections()
            self.step(events.Asked(identifiers.steady(), call, verb, body, sent_after))
            return await answer
        except asyncio.CancelledError:
            self.step(events.CallerLeft(identifiers.steady(), call, verb))
            raise
        finally:
            self.calls.pop(call, None)

    async def detect_closed_connections(self) -> None:
        """Let the event loop read what follows a request in its socket, which may be the close by its
        caller."""
        for _ in range(LOOP_PASSES_BEFORE_CLOSE):
            await asyncio.sleep(0)

    def do_answer(self, effect: events.Answer) -> None:
        """Complete the call of an operator's request with its answer."""
        answer = self.calls.get(effect.call)
        if answer and not answer.done():
            answer.set_result((effect.status, effect.body))

    # the platform

    def spawn(self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine as a task that is cancelled when the process stops."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def do_list(self, effect: effects.List) -> None:
        """Start to read the platform's list of replicas."""
        self.spawn(self.list())

    async def list(self) -> None:
        """Read the platform's list of replicas and pass it to the reducer."""
        requested_at = identifiers.steady()
        rows = await self.call_port(self.port.list(), None)
        now = identifiers.steady()
        if now - requested_at > MAX_LIST_DELAY_MS:
            rows = None
        self.listed_at = self.listed_at if rows is None else requested_at
        self.step(controller_events.Listed(now, rows is not None, rows or []))

    def do_order(self, effect: effects.Order) -> None:
        """Start to send an order to its replica."""
        self.spawn(self.order(effect))

    async def order(self, effect: effects.Order) -> None:
        """Send an order to its replica, unless the ownership of its shard has ended, and report the
        outcome."""
        sent_at = identifiers.steady()
        outcome: str = order_types.OrderOutcome.FAILED
        may_send = self.may_send(effect)
        if may_send:
            outcome = await self.call_port(self.port.order(effect), order_types.OrderOutcome.UNKNOWN.value)
        now = identifiers.steady()
        duration = order_execution.reported_duration(now - sent_at, may_send)
        self.step(controller_events.Ordered(now, effect.order, outcome, duration))

    def may_send(self, effect: effects.Order) -> bool:
        """Whether this controller still owns the shard of an order at the current time."""
        self.member.now = max(self.member.now, identifiers.steady())
        owns: bool = self.member.owns(effect.replica, effect.fence)
        return owns

    def do_report(self, effect: effects.Report) -> None:
        """Start to read a replica's report."""
        self.spawn(self.report(effect))

    async def report(self, effect: effects.Report) -> None:
        """Read a replica's report of its loaded models and pass it to the reducer."""
        requested_at = identifiers.steady()
        report = await self.call_port(self.port.report(effect), None)
        now = identifiers.steady()
        answered = report is not None and now - requested_at <= MAX_REPORT_DELAY_MS
        self.step(
            controller_events.Reported(now, effect.replica, answered, (report if answered else None) or {})
        )

    async def call_port(
        self, call: collections.abc.Coroutine[typing.Any, typing.Any, Result], fallback: Result
    ) -> Result:
        """Returns the result of a call to the port, or `fallback` if it raises, which is logged."""
        try:
            return await call
        except Exception as error:
            logs.note(log_events.Event.PORT_CALL_FAILED, {"why": f"{type(error).__name__}: {error}"})
            return fallback
