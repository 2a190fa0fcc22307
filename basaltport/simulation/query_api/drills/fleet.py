"""A whole fleet as processes on loopback, started and ended by id, in bounded time."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import typing

import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.world_base as world_base

IP = "127.0.0.1"
LOWEST_PORT = 10_000
OUTGOING_PORT = 32_768
SEEDS = (f"{world_base.LOG_NODE}-1", f"{world_base.QUERY_NODE}-1", f"{world_base.QUERY_NODE}-2")


def first_outgoing_port() -> int:
    """The lowest port that the kernel gives to outgoing connections."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError):
        return OUTGOING_PORT


def candidate_ports(process_id: int, all_ports: range) -> list[int]:
    """All ports in the order in which a process tries them: those of its part first, each part by chance.
    Processes whose ids follow each other have other parts."""
    own = all_ports[process_id % PORT_PARTS :: PORT_PARTS]
    chance = random.SystemRandom()
    others = [number for number in all_ports if number not in own]
    return [*chance.sample(own, len(own)), *chance.sample(others, len(others))]


def ports(count: int) -> list[int]:
    """Free ports, all held until all are picked. They lie below those of outgoing connections, any of which
    could otherwise take a port between its choice and the start of the process that listens there. Another
    process that picks ports meanwhile could as well: each looks among ports of its own first."""
    held: list[socket.socket] = []
    for number in candidate_ports(os.getpid(), range(LOWEST_PORT, first_outgoing_port())):
        if len(held) == count:
            break
        candidate = socket.socket()
        try:
            candidate.bind((IP, number))
        except OSError:
            candidate.close()
            continue
        held.append(candidate)
    output = [candidate.getsockname()[1] for candidate in held]
    for candidate in held:
        candidate.close()
    return output


class Place(typing.NamedTuple):
    """Where a member listens: `addr` for other members, `http` for clients and operators."""

    role: str
    number: int
    addr: str
    http: str

    @property
    def name(self) -> str:
        """The member's name."""
        return f"{self.role}-{self.number + 1}"


class Fleet:
    """The processes of one preset; `start` starts them, `stop` ends them."""

    def __init__(self, preset: str, folder: str, seed: int = 1) -> None:
        """Keep everything in `folder`."""
        self.preset = presets.PRESETS[preset]
        self.folder = os.path.abspath(folder)
        self.seed = seed
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, typing.Any] = {}
        os.makedirs(self.folder, exist_ok=True)

    def path(self, *parts: str) -> str:
        """A path within the folder."""
        return os.path.join(self.folder, *parts)

    def plan(self) -> None:
        """Choose ports and write settings."""
        size = self.preset
        counts = ((world_base.LOG_NODE, size.log_nodes), (world_base.QUERY_NODE, size.query_nodes))
        members = [(role, i) for role, count in counts for i in range(count)]
        replicas = sum(figures["replicas"] for figures in size.groups.values())
        free_ports = iter(ports(2 * len(members) + replicas + 1))
        places = [Place(role, i, *(f"{IP}:{next(free_ports)}" for _ in range(2))) for role, i in members]
        seeds = [place.addr for place in places if place.name in SEEDS]
        for place in places:
            self.write_settings(place, seeds, len(places))
        self.nodes = [place.http for place in places if place.role == world_base.QUERY_NODE]
        self.all_nodes = [place.http for place in places]
        self.write_standins(free_ports)
        self.dump(
            "fleet.json",
            {
                "nodes": self.nodes,
                "all_nodes": self.all_nodes,
                "admin": self.admin,
                "manifest": size.configuration,
            },
        )

    def write_settings(self, place: Place, seeds: list[str], members: int) -> None:
        """Write the settings of one member."""
        settings: dict[str, typing.Any] = {
            "house": self.preset.house,
            "name": place.name,
            "zone": f"z{place.number % self.preset.zones + 1}",
            "addr": place.addr,
            "http": place.http,
            "seeds": seeds,
            "expected_seats": members,
            "expected_ledgers": self.preset.log_nodes,
            "log": self.path(f"{place.name}.log"),
        }
        if place.role == world_base.LOG_NODE:
            settings["data"] = self.path(f"{place.name}.data")
        self.settings[place.name] = (place.role, settings)
        self.dump(f"{place.name}.json", settings)

    def write_standins(self, free_ports: typing.Iterator[int]) -> None:
        """Write the file of the stand-ins."""
        size, replicas = self.preset, {}
        for group, figures in size.groups.items():
            for i in range(figures["replicas"]):
                url, zone = f"http://{IP}:{next(free_ports)}", f"z{i % size.zones + 1}"
                replicas[f"{group}-{i + 1}"] = {"url": url, "zone": zone, "group": group}
        self.admin = f"{IP}:{next(free_ports)}"
        settings = {
            "replicas": replicas,
            "nodes": self.all_nodes,
            "admin": self.admin,
            "seed": self.seed,
            "groups": size.groups,
            "load_ms_per_size": size.load_ms_per_size,
            "service_ms": size.service_ms,
            "loads": size.loads,
        }
        self.dump("standins.json", settings)

    def dump(self, name: str, doc: object) -> None:
        """Write a JSON file into the folder."""
        with open(self.path(name), "w") as file:
            json.dump(doc, file, indent=1)

    def spawn(self, name: str, *args: str) -> None:
        """Start `basaltport ARGS` as a process of this name."""
        output = open(self.path(f"{name}.out"), "ab")
        command = [sys.executable, "-m", "basaltport", *args]
        self.procs[name] = subprocess.Popen(command, stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        output.close()

    def start(self) -> None:
        """Plan and start all processes."""
        self.plan()
        self.spawn("standins", "query-fleet", "stand-ins", f"--conf={self.path('standins.json')}")
        for name in self.settings:
            self.start_member(name)
        self.note_ids()

    def start_member(self, name: str) -> None:
        """Start the member of this name by its settings."""
        self.spawn(name, self.settings[name][0], f"--settings={self.path(name + '.json')}")

    def replace_ledgers(self, old: list[str]) -> None:
        """Other ledgers, with names, ports and folders of their own; the dead ones are forgotten."""
        free_ports = iter(ports(2 * len(old)))
        for number, name in enumerate(old):
            role, was = self.settings.pop(name)
            new = f"ledger-{len(old) + number + 1}"
            settings = {
                **was,
                "name": new,
                "addr": f"{IP}:{next(free_ports)}",
                "http": f"{IP}:{next(free_ports)}",
            }
            settings.update(log=self.path(f"{new}.log"), data=self.path(f"{new}.data"))
            self.settings[new] = (role, settings)
            self.dump(f"{new}.json", settings)
            self.start_member(new)
        self.all_nodes = [settings["http"] for _, settings in self.settings.values()]
        self.note_ids()

    def note_ids(self) -> None:
        """Write the ids of all processes to ids.json."""
        self.dump("ids.json", {name: process.pid for name, process in self.procs.items()})

    def signal(self, name: str, sig: int) -> None:
        """Send a signal to one process."""
        self.procs[name].send_signal(sig)

    def stop(self) -> None:
        """End all processes by id: asked first, killed after a while."""
        for process in self.procs.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 15
        for process in self.procs.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


PORT_PARTS = 64
"""So many processes in a row pick ports of different parts."""
