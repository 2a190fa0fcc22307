"""The process of a controller: its connections, its disk, and the platform's port for all else."""

import asyncio
import concurrent.futures
import gc
import os
import queue
import random
import signal
import threading

import basaltport.consensus.journal as journal
import basaltport.consensus.member_identity as member_identity
import basaltport.events as base
import basaltport.controller.events as events
import basaltport.controller.node as role
import basaltport.identifiers as identifiers
import basaltport.logs as logs
import basaltport.member as member
import basaltport.shell as shell
import basaltport.started as started
import basaltport.wires as wires

TICK = 0.05
DRAIN = 0.25
LAST = 0.1
CLOSE = 0.3


class Writer(concurrent.futures.Executor):
    """One thread, which a stalled disk may hold up for long and which then holds up no end of the process."""

    def __init__(self):
        self.todo = queue.SimpleQueue()
        threading.Thread(target=self.work, daemon=True).start()

    def submit(self, fn, /, *args, **kwargs):
        f = concurrent.futures.Future()
        self.todo.put((f, fn, args, kwargs))
        return f

    def work(self):
        while True:
            got = self.todo.get()
            if got is None:
                return
            f, fn, args, kwargs = got
            try:
                f.set_result(fn(*args, **kwargs))
            except Exception as e:
                f.set_exception(e)

    def shutdown(self, wait=False, *, cancel_futures=False):
        self.todo.put(None)


class ControllerServer(shell.Shell):
    """`settings`: as in docs/platform.md. `port`, the platform's: async `start(shell)`, `stop()`, `list()` ->
    rows or None, `order(effect)` -> outcome, `report(effect)` -> dict or None; if it has one, `reload()`."""

    def __init__(self, settings, port):
        super().__init__()
        self.settings = settings
        self.port = port
        self.period = TICK
        self.stopping = False
        self.n = 0
        self.listed_at = None
        self.calls = {}
        self.tasks = set()
        self.open()
        self.wires = wires.Wires(settings["address"], self.heard, self.refused)

    def open(self):
        """Raises OSError where the data folder cannot be used."""
        s = self.settings
        seat = f"{s['name']}-{os.urandom(4).hex()}"
        self.disk = journal.Disk(s["data"], s["name"])
        fresh = member_identity.Identity(seat, tuple(s["seeds"]) if s.get("first_start") else None)
        got = self.disk.open(fresh)
        if got.is_err():
            logs.note(21, {"folder": s["data"], "why": got.err_value})
            raise OSError(f"data folder: {got.err_value}")
        recovered = got.ok_value
        founders = recovered.identity.founders
        if recovered.new_seat:
            logs.note(22, {"folder": s["data"], "seat": recovered.identity.seat})
        self.me = member.Me(
            s["house"],
            s["name"],
            recovered.identity.seat,
            "ledger",
            s["zone"],
            s["address"],
            s.get("operators", ""),
            s["seeds"],
            0,
            voters="ledgers",
            first_start=founders is not None,
            founders=list(founders or ()),
        )
        lease = s.get("timings", {}).get("lease_ms", role.LEASE)
        seed = random.SystemRandom().getrandbits(64)
        self.member = role.Controller(
            self.me,
            seed,
            identifiers.steady(),
            recovered.held,
            recovered.current_term,
            lease_ms=lease,
            began=identifiers.Millis(started.AT_MS),
        )
        g, n = self.member.head()
        logs.note(20, {"serial": int(n), "generation": g.text(), "seat": self.me.seat})

    def reseed(self, seeds):
        self.me.seeds = list(seeds)

    def acts(self, e):
        """Whether this controller alone may send this order, as of now."""
        self.member.now = max(self.member.now, identifiers.steady())
        return self.member.owns(e.replica, e.fence)

    async def run(self):
        loop = asyncio.get_running_loop()
        logs.open_log("-")
        self.end = asyncio.Event()
        for s in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(s, self.end.set)
        loop.add_signal_handler(signal.SIGHUP, getattr(self.port, "reload", lambda: None))
        await self.start()
        await self.end.wait()
        await self.finish()

    async def start(self):
        self.writer = Writer()
        await self.wires.start()
        self.ticker = asyncio.get_running_loop().create_task(self.tick())
        await self.port.start(self)
        logs.note(1, self.me.row())
        gc.collect()
        gc.freeze()

    async def finish(self):
        """What was asked is decided, within bounds; a leader hands over."""
        logs.note(2, {"name": self.me.name})
        self.stopping = True
        await self.decided(DRAIN)
        self.step(base.Stop(identifiers.steady()))
        await asyncio.sleep(LAST)
        await self.released()
        await self.decided(DRAIN)
        self.ticker.cancel()
        for t in list(self.tasks):
            t.cancel()
        for f in self.calls.values():
            if not f.done():
                f.set_result((504, {"error": "unknown"}))
        try:
            await asyncio.wait_for(self.port.stop(), CLOSE)
        except TimeoutError:
            pass
        await self.wires.stop()
        self.writer.shutdown()

    async def released(self):
        """Waits until the others need this member's vote no more; the member bounds it."""
        while not self.member.released():
            await asyncio.sleep(TICK)

    async def decided(self, seconds):
        until = identifiers.steady() + 1000 * seconds
        while self.calls and identifiers.steady() < until:
            await asyncio.sleep(TICK / 2)

    async def ask(self, verb, body):
        """(status, body) of an operator's ask; see docs/platform.md."""
        if self.stopping:
            return 503, {"error": "stopping"}
        self.n += 1
        call = f"{self.me.seat}-{os.urandom(3).hex()}-{self.n}"
        f = self.calls[call] = asyncio.get_running_loop().create_future()
        try:
            self.step(base.Asked(identifiers.steady(), call, verb, body))
            return await f
        finally:
            self.calls.pop(call, None)

    # effects

    def do_answer(self, e):
        f = self.calls.get(e.call)
        if f and not f.done():
            f.set_result((e.status, e.body))

    def spawn(self, coro):
        t = asyncio.get_running_loop().create_task(coro)
        self.tasks.add(t)
        t.add_done_callback(self.tasks.discard)

    def do_list(self, e):
        self.spawn(self.list())

    async def list(self):
        rows = await self.called(self.port.list())
        self.listed_at = self.listed_at if rows is None else identifiers.steady()
        self.step(events.Listed(identifiers.steady(), rows is not None, rows or []))

    def do_order(self, e):
        self.spawn(self.order(e))

    async def order(self, e):
        """Not sent where another may order by now."""
        at = identifiers.steady()
        got = await self.called(self.port.order(e), "unknown") if self.acts(e) else "failed"
        now = identifiers.steady()
        self.step(events.Ordered(now, e.order, got, identifiers.Millis(now - at)))

    def do_report(self, e):
        self.spawn(self.report(e))

    async def report(self, e):
        got = await self.called(self.port.report(e))
        self.step(events.Reported(identifiers.steady(), e.replica, got is not None, got or {}))

    async def called(self, coro, otherwise=None):
        """What a call to the port gives; one that breaks is told of, and no more."""
        try:
            return await coro
        except Exception as e:
            logs.note(80, {"why": f"{type(e).__name__}: {e}"})
            return otherwise
