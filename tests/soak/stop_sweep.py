"""`python -m tests.soak.stop_sweep --runs 200`: stops of proxies against the moments at which clients send.

Each run stops one proxy that hundreds of kept connections lead to, after reloads in series. Each client sends
at a moment of its own, a millisecond apart, cut at a byte of its own, and reads the answer in small parts. A
request is lost if its connection ends without a whole answer, though a replica ran it, or later than the
platform's slack after its last byte. One line a run; exit code 1 on any finding.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import tests.soak.fleet as fleet
import tests.soak.plan as plan
import tests.soak.rig as rig
import tests.soak.stalls as stalls
import tests.soak.tenants as tenants

SLACK_S = 0.2
"""`lostSlackMs` of the platform's pages."""
CLOSES_AFTER_S = 2.6
"""When a proxy that was asked to stop begins to end connections at rest."""
STEP_S = 0.001
RELOADS = 3
PAUSE_S = 0.02
"""The longest pause between the two parts of a request, and between those of its answer."""
MOST_STALL_S = 0.1
"""Runs in which this process itself stood still for longer tell nothing of times."""
READY_S = 20.0
CALM_S = 0.5
ANSWER_S = 9.0
COLD_SHARE = 0.1
"""So many of the clients ask for a model that is to be loaded first."""


@dataclasses.dataclass(slots=True)
class Sent:
    """One request: when its last byte was sent, and what came of it. Times of the steady clock, in s."""

    id: str
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    received: bytes = b""
    is_whole: bool = False
    error: str = ""


def is_whole(received: bytes) -> bool:
    """Whether an answer with a stated length is all there."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return False


def is_last(received: bytes) -> bool:
    """Whether an answer says that its connection ends with it."""
    return b"connection: close" in received.partition(b"\r\n\r\n")[0].lower()


class SweptClient:
    """One kept connection. `sent`: its requests."""

    def __init__(self, address: str, number: int, chance: random.Random, key: tenants.Key) -> None:
        """Not connected yet. `key`: of all its requests."""
        self.address, self.number, self.chance, self.key = address, number, chance, key
        self.sent: list[Sent] = []

    async def connect(self) -> None:
        """Open the connection."""
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def request(self, model: str) -> tuple[Sent, bytes]:
        """A request and its bytes."""
        sent = Sent(tenants.request_id(self.key, self.chance))
        path = self.chance.choice([*plan.PATHS.values()])
        head = f"POST {path} HTTP/1.1\r\nHost: {plan.HOST}\r\nModel: {model}\r\nTokens: 10,3\r\n"
        head += f"Deadline-Ms: 6000\r\nTracking-Id: {sent.id}\r\nCredential: {self.key.text}\r\n"
        head += "Content-Length: 8\r\n\r\n"
        self.sent.append(sent)
        return sent, head.encode() + b"the body"

    async def ask(self, model: str, cut_at: int = 0, pause_s: float = 0.0) -> Sent:
        """One request, in two parts if it is cut at a byte; its end."""
        sent, raw = self.request(model)
        cut_at %= len(raw)
        try:
            if cut_at:
                self.writer.write(raw[:cut_at])
                await asyncio.sleep(pause_s)
            self.writer.write(raw[cut_at:])
            sent.last_byte_at = time.monotonic()
            async with asyncio.timeout(ANSWER_S):
                while not sent.is_whole:
                    part = await self.reader.read(1 + self.number % 400)
                    if not part:
                        break
                    sent.received += part
                    sent.is_whole = is_whole(sent.received)
        except (OSError, TimeoutError) as error:
            sent.error = type(error).__name__
        sent.ended_at = time.monotonic()
        return sent

    async def ask_at(self, moment: float, model: str, cut_at: int, pause_s: float) -> None:
        """Ask at a moment, and go on asking until the connection ends."""
        await asyncio.sleep(max(0.0, moment - time.monotonic()))
        sent = await self.ask(model, cut_at, pause_s)
        while sent.is_whole and not is_last(sent.received):
            await asyncio.sleep(self.chance.uniform(0.0, 0.4))
            sent = await self.ask(model)
        self.writer.close()


class Sweep:
    """Runs on one fleet, one after the other at each proxy."""

    def __init__(self, rigged: rig.Rig, clients: int) -> None:
        """`clients`: so many kept connections a run."""
        self.rig, self.fleet, self.plan = rigged, rigged.fleet, rigged.plan
        self.clients = clients
        self.findings: list[str] = []
        self.stalled = 0
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def until_ready(self, proxy: str) -> None:
        """Wait until a proxy takes clients."""
        async with asyncio.timeout(READY_S):
            while (await self.rig.call("GET", f"{self.plan.readiness[proxy]}/v1/ready"))[0] != rig.OK:
                await asyncio.sleep(0.05)

    async def run(self, proxy: str, number: int) -> None:
        """Stop a proxy once, judge what its clients saw, and start it again."""
        chance = random.Random(f"stop {self.fleet.seed} {number}")
        await self.until_ready(proxy)
        models = [*self.plan.model_mb]
        keys = [key for key in self.plan.keys if key.is_steady]
        address = self.plan.counters[proxy]
        asking = [SweptClient(address, i, chance, keys[i % len(keys)]) for i in range(self.clients)]
        for client in asking:
            await client.connect()
        warm = models[0]
        for client in asking[:: max(1, self.clients // 8)]:
            await client.ask(warm)
        watch = stalls.StallWatch()
        watching = asyncio.create_task(watch.run())
        await asyncio.sleep(CALM_S)
        tasks = self.begin(asking, number, chance, warm, models)
        await asyncio.sleep(CALM_S)
        for _ in range(RELOADS):
            self.fleet.reload(proxy)
            await asyncio.sleep(chance.uniform(0.0, CALM_S / RELOADS))
        await asyncio.sleep(max(0.0, self.stops_at - time.monotonic()))
        stopped_at = time.monotonic()
        await self.fleet.terminate(proxy)
        ended_at = time.monotonic()
        await asyncio.gather(*tasks)
        watching.cancel()
        self.fleet.start_member(proxy)
        ran = {row[0] for row in (await self.rig.control("ran"))["ran"]}
        self.judge(number, proxy, asking, ran, watch.longest_s, ended_at - stopped_at, stopped_at)

    def begin(
        self, asking: list[SweptClient], number: int, chance: random.Random, warm: str, models: list[str]
    ) -> list["asyncio.Task[None]"]:
        """Have each client send at its moment, which is in the middle of a stop's parts."""
        self.stops_at = time.monotonic() + 3 * CALM_S
        half_s = len(asking) * STEP_S / 2
        aims = (self.stops_at, self.stops_at + CLOSES_AFTER_S, self.stops_at + CLOSES_AFTER_S / 2)
        aim = aims[number % len(aims)] - half_s
        tasks = []
        for client in asking:
            is_cold = chance.random() < COLD_SHARE
            model = chance.choice(models) if is_cold else warm
            cut_at, pause_s = client.number + 37 * number, chance.uniform(0.0, PAUSE_S)
            moment = aim + client.number * STEP_S
            tasks.append(asyncio.create_task(client.ask_at(moment, model, cut_at, pause_s)))
        return tasks

    def judge(
        self,
        number: int,
        proxy: str,
        asking: list[SweptClient],
        ran: set[str],
        stall_s: float,
        took_s: float,
        stopped_at: float,
    ) -> None:
        """Count what became of each request; those that are lost are findings."""
        counts: collections.Counter[str] = collections.Counter()
        lost = []
        for client in asking:
            for sent in client.sent:
                kind = outcome(sent, sent.id in ran)
                counts[kind] += 1
                if kind.startswith("lost"):
                    after_s = sent.ended_at - sent.last_byte_at
                    lost.append(
                        f"{kind} client {client.number} {after_s:.3f} s after its last byte, sent"
                        f" {sent.last_byte_at - stopped_at:.3f} s after the stop, {sent.error},"
                        f" received {sent.received[:60]!r}"
                    )
        self.outcomes += counts
        is_stalled = stall_s > MOST_STALL_S
        self.stalled += is_stalled
        print(
            f"run {number} {proxy}: {dict(sorted(counts.items()))}, ended in {took_s:.2f} s,"
            f" own stall {1000 * stall_s:.0f} ms{' (times not judged)' if is_stalled else ''}",
            flush=True,
        )
        for line in lost:
            if not is_stalled or line.startswith("lost though run"):
                self.findings.append(f"run {number}: {line}")
                print(f"  {line}", flush=True)


def outcome(sent: Sent, has_run: bool) -> str:
    """What became of a request, in a few words."""
    if sent.is_whole:
        return f"answered {sent.received[9:12].decode()}"
    if not sent.last_byte_at:
        return "ended before it was sent"
    if has_run:
        return "lost though run"
    return "lost" if sent.ended_at - sent.last_byte_at > SLACK_S else "crossed the close"


async def sweep(options: argparse.Namespace, seed: int, runs: range) -> Sweep:
    """The runs of one fleet."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"stops-{seed}-"))
    rigged = rig.Rig(seed, 0.0, options.tree.resolve(), folder, options.proxies)
    swept = Sweep(rigged, options.clients)
    async with rig.session() as rigged.session:
        try:
            if not await rigged.start():
                swept.findings.append(f"fleet {seed}: not up")
                return swept
            numbers = collections.deque(runs)

            async def serve(proxy: str) -> None:
                while numbers:
                    await swept.run(proxy, numbers.popleft())

            await asyncio.gather(*(serve(proxy) for proxy in rigged.plan.proxies))
            swept.findings += rigged.fleet.failures()
        finally:
            await rigged.fleet.stop()
    if not swept.findings:
        shutil.rmtree(folder)
    return swept


def main() -> int:
    """The exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.stop_sweep")
    parser.add_argument("--runs", type=int, default=20, help="how many stops")
    parser.add_argument("--first", type=int, default=1, help="the number of the first one")
    parser.add_argument("--seed", type=int, default=1, help="the seed of the fleet")
    parser.add_argument("--clients", type=int, default=200, help="kept connections a stop")
    parser.add_argument("--proxies", type=int, default=2, help="proxies, which stop independently")
    parser.add_argument("--tree", type=pathlib.Path, default=fleet.ROOT, help="the code to run")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    swept = asyncio.run(sweep(options, options.seed, range(options.first, options.first + options.runs)))
    print(f"in all: {dict(sorted(swept.outcomes.items()))}; runs with stalls of our own {swept.stalled};")
    print(f"findings {len(swept.findings)}")
    for finding in swept.findings:
        print(f"  {finding}")
    return 1 if swept.findings else 0


if __name__ == "__main__":
    sys.exit(main())
