"""The processes of one rig: their settings, and how they start and end."""

import asyncio
import ctypes
import json
import os
import pathlib
import signal
import subprocess
import sys

import tests.soak.networks as networks
import tests.soak.plan as plan
import tests.soak.tenants as tenants

ROOT = pathlib.Path(__file__).parent.parent.parent
INNER_PORTS = [7660, 7675]
SET_DEATH_SIGNAL = 1
STOP_S = 15.0
"""A process that was asked to stop ends within its grace time (8 s), and some more on a busy machine."""


def die_with_parent() -> None:
    """Have the kernel kill this process when the rig ends, however it ends."""
    ctypes.CDLL(None).prctl(SET_DEATH_SIGNAL, signal.SIGKILL)


class Fleet:
    """Three controllers, proxies and the stand-ins, on a network of their own that is drawn anew."""

    def __init__(
        self, seed: int, tree: pathlib.Path, folder: pathlib.Path, proxies: int, is_limited: bool = False
    ) -> None:
        """Run the code of `tree`; settings, data and logs go to `folder`. `is_limited`: as of the plan."""
        self.seed, self.tree, self.folder = seed, tree, folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.network = networks.Network()
        self.net = self.network.prefix
        self.plan = plan.Plan(seed, self.net, proxies, is_limited)
        self.unclean_stops: list[str] = []
        self.logged_before: dict[str, int] = {}
        """By process: how long its log was when it was started."""

    def settings(self, name: str, is_first: bool) -> plan.Document:
        """The settings of a controller or a proxy."""
        ips = self.plan.ips
        document = {
            "station": name,
            "ipAddr": ips[name],
            "firstBoot": is_first,
            "innerPortRange": INNER_PORTS,
        }
        document["seedStations"] = [f"{ips[controller]}:{plan.PORT}" for controller in plan.CONTROLLERS]
        document["cloudApi"] = {"address": self.plan.listing, "ratePerS": 44.0, "lagAllowMs": 800}
        document["timings"] = {"retryRatio": 0.2, "retrySlack": 56, "checksFence": True, **tenants.TIMINGS}
        document |= {"zone": plan.ZONES[0], "zones": dict.fromkeys(plan.ZONES, "here"), "region": "here"}
        if name in self.plan.proxies:
            listen_on = {"counter": self.plan.counters[name], "readiness": self.plan.readiness[name]}
            return document | {"listenOn": listen_on}
        data = self.folder / f"{name}.data"
        data.mkdir(exist_ok=True)
        document |= {"zone": plan.ZONES[plan.CONTROLLERS.index(name)], "stateDir": str(data)}
        return document | {"listenOn": {"controlPort": self.plan.operators[name]}}

    def start_member(self, name: str, is_first: bool = False) -> int:
        """Start a controller or a proxy; its process id."""
        path = self.write_settings(name, is_first)
        role = "proxy" if name in self.plan.proxies else "controller"
        command = [str(self.tree / "platform" / "run.py"), role]
        return self.spawn(name, command, self.tree, {"BASALTPORT_SETTINGS": str(path)})

    def write_settings(self, name: str, is_first: bool = False) -> pathlib.Path:
        """Write the settings of a process as they are now; the file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, is_first)))
        return path

    def has_started(self, name: str) -> bool:
        """Whether a process runs and has logged something: before, its interpreter may still be loading, and
        any signal ends that."""
        logged = (self.folder / f"{name}.out").stat().st_size
        return name in self.processes and logged > self.logged_before[name]

    def reload(self, name: str) -> None:
        """Write the settings anew and say so to the process, if it has started."""
        if self.has_started(name):
            self.write_settings(name)
            self.processes[name].send_signal(signal.SIGHUP)

    def start_stand_ins(self) -> None:
        """Start the process of the stand-ins."""
        command = ["-m", "tests.soak.stand_ins", str(self.seed), self.net, str(self.folder / "orders.jsonl")]
        self.spawn("stand-ins", command, ROOT, {})

    def spawn(self, name: str, arguments: list[str], folder: pathlib.Path, more: dict[str, str]) -> int:
        """Start a Python process, whose output goes to NAME.out; its id."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ} | more
        command = [sys.executable, *arguments]
        with open(self.folder / f"{name}.out", "ab") as out:
            self.logged_before[name] = out.tell()
            self.processes[name] = subprocess.Popen(
                command, cwd=folder, env=environment, stdout=out, stderr=out, preexec_fn=die_with_parent
            )
        return self.processes[name].pid

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.processes.pop(name)
        process.kill()
        await asyncio.to_thread(process.wait)

    async def terminate(self, name: str) -> None:
        """Ask a process to stop, and wait for its end; one that does not end in time, or says that it
        failed, is a finding."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        try:
            status = await asyncio.to_thread(process.wait, STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            await asyncio.to_thread(process.wait)
            status = None
        if status != 0:
            self.unclean_stops.append(f"STOP {name}: ended with {status} after SIGTERM")

    async def stop(self) -> None:
        """Kill all processes."""
        for name in list(self.processes):
            await self.kill(name)
        self.network.release()

    def failures(self) -> list[str]:
        """The processes that ended by themselves, and the logs that hold a traceback."""
        found = [f"ENDED {n} with {p.returncode}" for n, p in self.processes.items() if p.poll() is not None]
        logs = [path for path in self.folder.glob("*.out") if "Traceback" in path.read_text(errors="replace")]
        found += [f"TRACEBACK in {path.name}" for path in logs]
        return self.unclean_stops + found + self.told_keys()

    def told_keys(self) -> list[str]:
        """The logs that hold a key of a client."""
        logs = [*self.folder.glob("*.out"), *self.folder.glob("*.jsonl")]
        return [
            f"KEY in {path.name}"
            for path in logs
            if tenants.holds_key(self.plan.keys, path.read_text(errors="replace"))
        ]
