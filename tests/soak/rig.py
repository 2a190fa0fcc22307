"""One seed from its start to its verdict: a fleet, its traffic, its troubles, and what is seen of them."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import re
import signal
import time

import aiohttp

import tests.soak.clients as clients
import tests.soak.fleet as fleet
import tests.soak.key_checks as key_checks
import tests.soak.plan as plan
import tests.soak.proxy_troubles as proxy_troubles
import tests.soak.stalls as stalls
import tests.soak.tenants as tenants
import tests.soak.troubles as troubles
import tests.soak.zone_checks as zone_checks

OK = 200
STALE = 412
STARTUP_S = 20.0
PROGRESS_S = 15.0
CALL_LIMIT = aiohttp.ClientTimeout(total=2)
CONTROL_LIMIT = aiohttp.ClientTimeout(total=10)
"""A busy machine may stall the stand-ins for seconds."""
CLIENTS = 16
"""Besides one for each proxy."""
CLIENT_S = 3.0
STEADY_WEIGHT = 2
"""So many times as often as any other a client's key is one that its tenant keeps."""
HOT_CLIENTS = 3
"""For each tenant with a limit."""
HOT_PAUSE_S = 0.01
SHIFT_S = 3.0
"""After so long other models are asked for most."""
WATCH_S = 1.0
BROKEN = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
VIOLATIONS_METRIC = re.compile(r"^basaltport_invariant_violations(?:_total)?(?:\{.*\})? (\S+)$", re.MULTILINE)


def counted_violations(metrics: str) -> float:
    """The sum of a controller's own counters of broken invariants; 0 where it has none."""
    return sum(float(value) for value in VIOLATIONS_METRIC.findall(metrics))


def session() -> aiohttp.ClientSession:
    """What a rig calls its processes with."""
    return aiohttp.ClientSession(timeout=CALL_LIMIT, connector=aiohttp.TCPConnector(limit=0))


@dataclasses.dataclass(slots=True)
class Verdict:
    """What came of a seed."""

    seed: int
    troubles: int
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    """What the stand-ins counted of orders."""
    requests: int = 0
    served: int = 0
    own_stall_ms: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def line(self) -> str:
        """The verdict in one line."""
        count = collections.defaultdict(int, self.counts)
        return (
            f"seed {self.seed}: troubles {self.troubles}, requests {self.requests} (served {self.served}),"
            f" orders {count['orders']}, late orders delivered {count['late']} (taken {count['late_taken']}),"
            f" answers lost {count['lost']}, longest stall {count['stall_ms']} ms, of the rig itself"
            f" {self.own_stall_ms} ms,"
            f" violations {len(self.violations)}"
        )


class Rig:
    """Runs one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        tree: pathlib.Path,
        folder: pathlib.Path,
        proxies: int = plan.PROXIES,
        is_limited: bool = False,
    ) -> None:
        """Soak the code of `tree` for some seconds; logs go to `folder`. `is_limited`: as of the plan."""
        self.seconds = seconds
        self.fleet = fleet.Fleet(seed, tree, folder, proxies, is_limited)
        self.plan = self.fleet.plan
        self.book = tenants.KeyBook(self.plan.keys)
        self.last_change = 0
        self.chance = random.Random(f"traffic {seed}")
        self.troubles = troubles.draw(seed, seconds, len(plan.CONTROLLERS))
        self.verdict = Verdict(seed, len(self.troubles))
        self.is_over = False
        """Whether troubles and traffic have ended."""
        self.edition = 0
        self.stopping: set[str] = set()
        """The proxies that were asked to stop and are not up again."""
        self.freezing: set[str] = set()
        """The proxies that are frozen."""
        self.watch_stalls = stalls.StallWatch()
        """Of this process."""
        self.counted: dict[str, float] = {}
        """By process: the violations that it counts itself."""

    async def run(self) -> Verdict:
        """The verdict; all processes have ended by then."""
        async with session() as self.session:
            try:
                if await self.start():
                    await self.soak()
                    await asyncio.gather(self.check_progress(), key_checks.check(self))
                    await self.collect()
                else:
                    self.verdict.violations.append(f"STUCK: not up within {STARTUP_S} s")
            except (RuntimeError, ExceptionGroup) as error:
                self.verdict.violations.append(f"RIG: {error!r}")
            finally:
                self.verdict.violations += self.fleet.failures()
                await self.fleet.stop()
        return self.verdict

    async def start(self) -> bool:
        """Start all processes; whether the first configuration is in force and the proxy ready in time."""
        self.fleet.start_stand_ins()
        for name in [*plan.CONTROLLERS, *self.plan.proxies]:
            self.fleet.start_member(name, is_first=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STARTUP_S):
                while not await self.put_first():
                    await asyncio.sleep(0.1)
                for address in self.plan.readiness.values():
                    while (await self.call("GET", f"{address}/v1/ready"))[0] != OK:
                        await asyncio.sleep(0.1)
                return True
        return False

    async def soak(self) -> None:
        """Traffic and troubles, until the time is over and all troubles have ended."""
        async with asyncio.TaskGroup() as group:
            number = CLIENTS + len(self.plan.proxies)
            background = [group.create_task(self.client()) for _ in range(number)]
            background += [group.create_task(self.hot_client(key)) for key in self.hot_keys()]
            background.append(group.create_task(self.watch()))
            background.append(group.create_task(self.send_garbled()))
            background.append(group.create_task(zone_checks.ZoneOperator(self).run()))
            background.append(group.create_task(self.watch_stalls.run()))
            ending = [group.create_task(self.trouble(each)) for each in self.troubles]
            await asyncio.wait([*ending, group.create_task(asyncio.sleep(self.seconds))])
            self.is_over = True
            for task in background:
                task.cancel()
        if not self.verdict.served:
            raise RuntimeError("no request was served")

    # calls

    async def call(self, method: str, path: str, body: object = None, match: int = 0) -> tuple[int, str]:
        """The status and text of an answer, 0 where there was none; `path` begins with the address."""
        headers = {"If-Match": str(match)}
        try:
            async with self.session.request(method, f"http://{path}", json=body, headers=headers) as response:
                return response.status, await response.text()
        except BROKEN as error:
            return 0, repr(error)

    async def control(self, word: str, target: int = 0, value: float = 0) -> plan.Document:
        """Tell the stand-ins to do something; see `stand_ins.StandIns.control`."""
        url, body = f"http://{self.plan.control}/", {"do": word, "target": target, "value": value}
        try:
            async with self.session.post(url, json=body, timeout=CONTROL_LIMIT) as response:
                response.raise_for_status()
                answer: plan.Document = await response.json()
                return answer
        except BROKEN as error:
            raise RuntimeError(f"the stand-ins did not do {body}: {error!r}")

    async def configure(self, method: str, document: plan.Document) -> bool:
        """Whether one of the controllers acknowledges a change to the next edition."""
        new = self.edition + self.chance.randrange(1, 4)
        for address in self.chance.sample([*self.plan.operators.values()], len(self.plan.operators)):
            path = f"{address}/v1/config"
            status, _ = await self.call(method, path, document | {"edition": new}, self.edition)
            if status == OK:
                self.edition = new
                return True
            if status == STALE:
                status, text = await self.call("GET", path)
                self.edition = json.loads(text)["edition"] if status == OK else self.edition
        return False

    async def put_first(self) -> bool:
        """Whether the first configuration is acknowledged."""
        held = tenants.steady(self.plan.keys)
        return await self.give_keys(held, "PUT", self.plan.configuration())

    async def give_keys(self, held: tenants.Held, method: str, document: plan.Document) -> bool:
        """Whether a change is acknowledged after which keys are held so."""
        self.last_change += 1
        number = self.last_change
        self.book.begin(number, held)
        is_acknowledged = False
        try:
            is_acknowledged = await self.configure(method, document)
        finally:
            self.book.end(number, is_acknowledged)
        return is_acknowledged

    # traffic and troubles

    async def client(self) -> None:
        """Ask for one item after the other, until cancelled; few models are asked for most."""
        keys = [key for key in self.plan.keys if key.is_steady] * STEADY_WEIGHT + self.plan.keys
        connection = clients.KeptConnection(self.plan, self.chance, self.watch_stalls, self.book, keys)
        try:
            await self.ask([*self.plan.model_mb], connection)
        finally:
            await self.end(connection)

    def hot_keys(self) -> list[tenants.Key]:
        """The keys of clients that send many times what their tenant may, one for each client."""
        keys = [key for key in self.plan.keys if key.is_steady and key.owners[0] in tenants.LIMITED]
        return keys * HOT_CLIENTS if self.plan.is_limited else []

    async def hot_client(self, key: tenants.Key) -> None:
        """Ask for one model with one key without a pause, until cancelled."""
        connection = clients.KeptConnection(self.plan, self.chance, self.watch_stalls, self.book, [key])
        try:
            while not self.is_over:
                await connection.request([*self.plan.model_mb][0], CLIENT_S)
                await asyncio.sleep(HOT_PAUSE_S)
        finally:
            await self.end(connection)

    async def end(self, connection: clients.KeptConnection) -> None:
        """End a client, and keep what it found."""
        await connection.close()
        for lost in connection.lost:
            self.verdict.violations.append(f"LOST at {lost.proxy} after {lost.after_s:.2f} s: {lost.error}")
        self.verdict.violations += connection.wrong

    async def ask(self, models: list[str], connection: clients.KeptConnection) -> None:
        """Ask for one item after the other on a client's connection, until the soak is over. That is looked
        at besides being cancelled: a cancellation at the moment of a request's own timeout ends as that
        timeout, and the task would go on."""
        while not self.is_over:
            first = int(time.monotonic() / SHIFT_S) * 5
            model = models[(first + int(self.chance.paretovariate(0.8))) % len(models)]
            adapter = self.chance.randrange(2 * plan.ADAPTERS)
            item = f"{model}/a{adapter}" if 1 <= adapter <= plan.ADAPTERS else model
            status = await connection.request(item, CLIENT_S)
            self.verdict.requests += 1
            self.verdict.served += status == OK
            await asyncio.sleep(self.chance.uniform(0.02, 0.1) if status == OK else 0.2)

    async def trouble(self, trouble: troubles.Trouble) -> None:
        """One trouble, from its beginning to its end."""
        await asyncio.sleep(trouble.starts_at)
        kinds, target = troubles.Kind, trouble.target
        match trouble.kind:
            case kinds.KILL | kinds.PAUSE:
                await self.trouble_controller(trouble)
            case kinds.CUT | kinds.LATE | kinds.LOST:
                await self.control(trouble.kind, target, trouble.chance)
                await asyncio.sleep(trouble.length)
                await self.control("heal" if trouble.kind == kinds.CUT else trouble.kind, target)
            case kinds.RESTART | kinds.LEAVE:
                await self.control(trouble.kind, target)
            case kinds.CONFIGURE:
                await self.change(trouble.chance, target)
            case kinds.CHANGES:
                for number in range(troubles.CHANGES_IN_SERIES):
                    await self.change(trouble.chance + number, target + number)
            case kinds.STOP | kinds.FREEZE:
                await proxy_troubles.make(self, trouble)
            case kinds.RELOAD:
                for name in [plan.CONTROLLERS[target], *self.plan.proxies[target::3]]:
                    self.fleet.reload(name)

    async def change(self, chance: float, number: int) -> None:
        """The operator changes a route, puts another one, and gives and takes keys away."""
        lane = self.plan.configuration()["lanes"][0] | {"targetMs": int(1000 + 1000 * chance)}
        more = lane | {"name": "more", "pathPrefix": f"/more-{number}/"}
        held = tenants.draw_held(self.plan.keys, chance + number)
        put = {"lanes": [lane, more], "senders": self.plan.tenants(held)}
        await self.give_keys(held, "PATCH", {"putItems": put})

    async def trouble_controller(self, trouble: troubles.Trouble) -> None:
        """Kill a controller and start it again, or stop it for a while."""
        with self.book.troubled():
            await self.stop_controller(trouble)

    async def stop_controller(self, trouble: troubles.Trouble) -> None:
        """The trouble itself; one that meets a controller which another one keeps down does nothing more."""
        name = plan.CONTROLLERS[trouble.target]
        process = self.fleet.processes.get(name)
        if process is None:
            return
        if trouble.kind == troubles.Kind.PAUSE:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(trouble.length)
            process.send_signal(signal.SIGCONT)
            return
        if trouble.chance > troubles.STOPPED_ABOVE and self.fleet.has_started(name):
            await self.fleet.terminate(name)
        else:
            await self.fleet.kill(name)
        await asyncio.sleep(trouble.length)
        self.fleet.start_member(name)

    # what is seen

    async def watch(self) -> None:
        """Read the controllers' own counters while they live, until cancelled."""
        while not self.is_over:
            await self.read_counters()
            await asyncio.sleep(WATCH_S)

    async def read_counters(self) -> None:
        """Keep the controllers' own counters of violations."""
        for name, address in self.plan.operators.items():
            _, text = await self.call("GET", f"{address}/basaltport/metrics")
            self.judge_text(f"the metrics of {name}", text)
            if (counted := counted_violations(text)) and name in self.fleet.processes:
                self.counted[f"{name} of pid {self.fleet.processes[name].pid}"] = counted

    def judge_text(self, what: str, text: str) -> None:
        """Keep that something that others see holds a key."""
        if tenants.holds_key(self.plan.keys, text):
            self.verdict.violations.append(f"KEY in {what}")

    async def send_garbled(self) -> None:
        """Send heads that can't be read and hold a key, until cancelled; no answer may hold it."""
        while not self.is_over:
            key, address = (
                self.chance.choice(self.plan.keys),
                self.chance.choice([*self.plan.counters.values()]),
            )
            self.judge_text(
                "an answer to a garbled head", await clients.send_garbled(address, key, self.chance)
            )
            await asyncio.sleep(WATCH_S)

    async def check_progress(self) -> None:
        """Once all is well, items that no replica holds are served in time."""
        held = (await self.control("tell"))["held"]
        models = [model for model in self.plan.model_mb if model not in held][:2]
        adapters = [f"{model}/a1" for model, names in held.items() if "a1" not in names][:1]
        await asyncio.gather(*(self.check_served(item) for item in models + adapters))

    async def check_served(self, item: str) -> None:
        """An item is served in time, as a client asks for it again and again."""
        ends_at, statuses = time.monotonic() + PROGRESS_S, [0]
        connection = clients.KeptConnection(self.plan, self.chance, self.watch_stalls)
        while statuses[-1] != OK and time.monotonic() < ends_at:
            deadline_s = min(CLIENT_S, max(0.1, ends_at - time.monotonic()))
            statuses.append(await connection.request(item, deadline_s))
            await asyncio.sleep(0.1)
        await connection.close()
        self.verdict.violations += connection.wrong
        if statuses[-1] != OK:
            self.verdict.violations.append(f"STUCK: {item} not served in {PROGRESS_S} s: {statuses[1:]}")

    async def collect(self) -> None:
        """All that was counted and broken."""
        await self.read_counters()
        state = await self.control("tell")
        self.verdict.counts = state["counts"]
        self.verdict.own_stall_ms = int(1000 * self.watch_stalls.longest_s)
        self.verdict.violations += state["violations"]
        if self.plan.is_limited:
            ran = (await self.control("ran"))["ran"]
            arrivals = [tenants.Arrival(*row) for row in ran]
            self.verdict.violations += tenants.broken_by_limits(arrivals, self.seconds)
        self.verdict.violations += [f"COUNTED {name}: {value:g}" for name, value in self.counted.items()]
