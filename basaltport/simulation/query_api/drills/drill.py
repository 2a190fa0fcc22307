"""`basaltport drill`: a real fleet under load with a fault, each answer held against the record of runs."""

import asyncio
import json
import os
import signal
import sys
import time
import typing

import absl.flags as flags
import aiohttp

import basaltport.command_line.command as command
import basaltport.query_api.load_generator.cli as paddle
import basaltport.query_api.load_generator.plan as plan
import basaltport.query_api.load_generator.shoot as shoot
import basaltport.query_api.load_generator.verdict as verdict
import basaltport.simulation.query_api.drills.fleet as fleet
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.stage as stage

OK = 200
GOOD_SHARE = 0.95

Document = dict[str, typing.Any]


class Drill:
    """Faults are coroutines on a running fleet; they know who leads and what to signal."""

    def __init__(self, preset: str, folder: str, seed: int) -> None:
        """The fleet is not started yet."""
        self.fleet = fleet.Fleet(preset, folder, seed)
        self.preset = preset
        self.log: list[tuple[float, str]] = []
        self.begin = time.monotonic()

    def note(self, text: str) -> None:
        """Remembers what was done when."""
        self.log.append((round(time.monotonic() - self.begin, 2), text))

    async def http(
        self, method: str, node: str, path: str, body: object = None, lapse: float = 8
    ) -> tuple[int, typing.Any]:
        """Status and body of an answer."""
        limit = aiohttp.ClientTimeout(total=lapse)
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.request(method, f"http://{node}{path}", json=body) as response,
        ):
            return response.status, await response.json(content_type=None)

    async def must(self, verb: str, body: Document, seconds: float = 30) -> Document:
        """Repeats a change, by its id, until it is acknowledged."""
        body = {"change": f"drill-{os.urandom(4).hex()}", **body}
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            turn += 1
            try:
                answer = await self.http(
                    "POST", self.fleet.all_nodes[turn % len(self.fleet.all_nodes)], f"/v1/ops/{verb}", body
                )
                if answer[0] == OK:
                    done: Document = answer[1]
                    return done
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{verb} was not acknowledged in {seconds} s")

    async def leader(self) -> str:
        """The name of the leader, or of some log node."""
        for node in self.fleet.all_nodes:
            try:
                answer = await self.http("GET", node, "/v1/ops/status")
                if answer[0] == OK:
                    return str(answer[1]["leader"])
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
        return "ledger-1"

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.note(f"kill {name}")
        self.fleet.signal(name, signal.SIGKILL)
        self.fleet.procs[name].wait()

    async def leader_killed(self) -> None:
        """The leader is killed and comes back."""
        name = await self.leader()
        self.kill(name)
        await asyncio.sleep(5)
        self.fleet.start_member(name)

    async def leader_frozen(self) -> None:
        """The leader is frozen."""
        await self.frozen_for(await self.leader())

    async def rostrum_frozen(self) -> None:
        """A query node is frozen while a change is made."""
        self.note("freeze rostrum-2")
        self.fleet.signal("rostrum-2", signal.SIGSTOP)
        began = time.monotonic()
        answer = await self.must("patch", {"patch": {"pools": {}}})
        self.note(f"a change meanwhile: serial {answer['serial']} after {time.monotonic() - began:.2f} s")
        await asyncio.sleep(4)
        self.fleet.signal("rostrum-2", signal.SIGCONT)

    async def rostrum_killed(self) -> None:
        """A query node is killed and comes back."""
        self.kill("rostrum-2")
        await asyncio.sleep(5)
        self.fleet.start_member("rostrum-2")

    async def rolling(self) -> None:
        """Every process once, gracefully, under load."""
        for name in list(self.fleet.settings):
            process = self.fleet.procs[name]
            self.note(f"stop {name}")
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                await asyncio.sleep(0.05)
            self.fleet.start_member(name)
            await self.live(name)

    async def live(self, name: str) -> None:
        """Waits until a member serves."""
        node = self.fleet.settings[name][1]["http"]
        end = time.monotonic() + 15
        while time.monotonic() < end:
            try:
                if (await self.http("GET", node, "/live"))[0] == OK:
                    return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        self.note(f"{name} is not live after 15 s")

    async def replica_restarted(self) -> None:
        """Two replicas start again, and hold nothing."""
        for replica in ("models-1", "models-2"):
            self.note(f"restart {replica}")
            await self.http("POST", self.fleet.admin, "/fault", {"replica": replica, "fault": "restart"})
            await asyncio.sleep(3)

    async def replica_dark(self) -> None:
        """A replica answers nobody for a while."""
        await self.http("POST", self.fleet.admin, "/fault", {"replica": "models-1", "fault": "dark"})
        await asyncio.sleep(5)
        await self.http("POST", self.fleet.admin, "/fault", {"replica": "models-1", "fault": ""})

    async def replica_leaves(self) -> None:
        """A replica is told to leave."""
        answer = await self.must("leaving", {"replica": "models-1"})
        self.note(f"models-1 leaving, acknowledged at serial {answer['serial']}")
        self.left = time.monotonic()

    async def zone_emptied(self) -> None:
        """A zone is drained and taken back."""
        await self.must("drain", {"zone": "z1"})
        await asyncio.sleep(6)
        await self.must("undrain", {"zone": "z1"})

    async def large_manifest(self) -> None:
        """Tens of MB put in force, then a storm of patches on it."""
        configuration = stage.swell(stage.example(self.fleet.preset.configuration), 2000, 120, 1500)
        for what, verb, body in [("whole", "apply", {"manifest": configuration})] + [
            (f"patch {i}", "patch", {"patch": {"lines": {f"extra-{i}": {"bound": 90 + i}}}})
            for i in range(20)
        ]:
            began = time.monotonic()
            answer = await self.must(verb, body)
            self.note(f"{what}: serial {answer['serial']} after {time.monotonic() - began:.2f} s")
        self.note(f"{len(json.dumps(configuration)) / 1e6:.1f} MB")

    async def frozen_for(self, name: str, seconds: float = 5) -> None:
        """A member is frozen for so long."""
        self.note(f"freeze {name}")
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.note("wake")
        self.fleet.signal(name, signal.SIGCONT)

    async def roles_frozen(self) -> None:
        """The leader, another ledger, and each duty's owner, in turn."""
        answer = await self.http("GET", self.fleet.nodes[0], "/v1/ops/status")
        leader = answer[1]["leader"]
        other = next(name for name in self.fleet.settings if name.startswith("ledger") and name != leader)
        for name in [leader, other, *sorted(set(answer[1]["duties"].values()))]:
            await self.frozen_for(name, 3)
            await asyncio.sleep(3)

    async def power_loss(self) -> None:
        """Every member at once, by SIGKILL; ledgers' folders stay."""
        for name in self.fleet.settings:
            self.fleet.signal(name, signal.SIGKILL)
        self.note("all members killed")
        for name in self.fleet.settings:
            self.fleet.procs[name].wait()
            self.fleet.start_member(name)
        began = time.monotonic()
        await self.live("rostrum-1")
        self.note(f"rostrum-1 live after {time.monotonic() - began:.2f} s")

    async def ledgers_replaced(self) -> None:
        """All ledgers with their folders; empty ones come under new names at new addresses."""
        old = [name for name in self.fleet.settings if name.startswith("ledger")]
        for name in old:
            self.kill(name)
        self.fleet.replace_ledgers(old)
        began = time.monotonic()
        answer = await self.must("patch", {"patch": {"pools": {}}})
        self.note(f"a change after {time.monotonic() - began:.2f} s: serial {answer['serial']}")

    async def calm(self) -> None:
        """Nothing goes wrong."""

    async def run(self, name: str, seconds: float, seed: int) -> Document:
        """Configures the fleet, loads it, and lets the named fault happen meanwhile."""
        configuration = stage.example(self.fleet.preset.configuration)
        demand = plan.demand(
            stage.example(self.fleet.preset.configuration.replace(".json", "-demand.json"))
        ).unwrap()
        await self.must("apply", {"manifest": configuration})
        await self.live("rostrum-1")
        await asyncio.sleep(2)
        shots = plan.schedule(demand, seconds, seed)
        shooter = shoot.Shooter(self.fleet.nodes, demand, shots, f"d{seed}-{os.urandom(3).hex()}", 60)
        self.begin = time.monotonic()
        load = asyncio.get_running_loop().create_task(shooter.run())
        await asyncio.sleep(min(4, seconds / 3))
        await getattr(self, name)()
        done = await load
        record = await paddle.get(f"http://{self.fleet.admin}/record")
        once = {queue for queue, row in configuration["lines"].items() if row["once_only"]}
        report = verdict.report(done, record, seconds)
        report["findings"] = verdict.findings(done, once, record)
        report["worst_second"], report["back_after_s"] = dips(done, shooter.begin)
        return report


def dips(shots: list[shoot.Shot], begin: float) -> tuple[float, int]:
    """The lowest share answered in any second, and the last second in which less than 95 % were."""
    by_second: dict[int, list[int]] = {}
    for shot in shots:
        row = by_second.setdefault(int(shot.due - begin), [0, 0])
        row[0] += 1
        row[1] += shot.outcome == "done"
    share = {second: answered / count for second, (count, answered) in by_second.items()}
    low = [second for second, share_answered in share.items() if share_answered < GOOD_SHARE]
    return round(min(share.values()), 3), (max(low) - min(low) + 1) if low else 0


NAMES = (
    "calm",
    "leader_killed",
    "leader_frozen",
    "rostrum_killed",
    "rostrum_frozen",
    "rolling",
    "replica_restarted",
    "replica_dark",
    "replica_leaves",
    "zone_emptied",
    "large_manifest",
    "roles_frozen",
    "power_loss",
    "ledgers_replaced",
)


def define(flag_values: flags.FlagValues) -> None:
    """The command's flags."""
    flags.DEFINE_enum("preset", "thin", sorted(presets.PRESETS), "The fleet's size.", flag_values=flag_values)
    flags.DEFINE_string("dir", "run", "Folder for settings, logs and data.", flag_values=flag_values)
    flags.DEFINE_float("seconds", 20, "How long to send.", 1, 600, flag_values=flag_values)
    flags.DEFINE_integer("seed", 1, "Seed of the stand-ins and the schedule.", flag_values=flag_values)
    flags.DEFINE_bool("json", False, "Print the report as JSON.", flag_values=flag_values)


def run(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: 0 where every answer was right, 1 where one was not, 2 where it was called in a wrong
    way."""
    names = [arg.replace("-", "_") for arg in args]
    if len(names) != 1 or names[0] not in NAMES:
        print(f"one of: {' '.join(NAMES)}", file=sys.stderr)
        return 2
    drill = Drill(flag_values.preset, flag_values.dir, flag_values.seed)
    drill.fleet.start()
    try:
        report = asyncio.run(drill.run(names[0], flag_values.seconds, flag_values.seed))
    finally:
        drill.fleet.stop()
    if flag_values.json:
        print(json.dumps({**report, "log": drill.log}, sort_keys=True))
    else:
        for at_s, text in drill.log:
            print(f"{at_s:>7} s  {text}")
        paddle.human(report)
        worst, back_after_s = report["worst_second"], report["back_after_s"]
        print(f"lowest share answered in a second {worst}, below 95 % for {back_after_s} s")
    return 1 if report["findings"] else 0


COMMANDS = {
    "query-fleet drill": command.Command(
        "A real fleet under load with one fault, checked.", run, define, "NAME"
    )
}
