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

IP = "127.0.0.1"
LOWEST_PORT = 10_000
OUTGOING_PORT = 32_768


def first_outgoing_port() -> int:
    """The lowest port that the kernel gives to outgoing connections."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError):
        return OUTGOING_PORT


def ports(n: int) -> list[int]:
    """Free ports, all held until all are picked. They lie below those of outgoing connections, any of which
    could otherwise take a port between its choice and the start of the process that listens there."""
    held: list[socket.socket] = []
    candidates = range(LOWEST_PORT, first_outgoing_port())
    for number in random.SystemRandom().sample(candidates, len(candidates)):
        if len(held) == n:
            break
        candidate = socket.socket()
        try:
            candidate.bind((IP, number))
        except OSError:
            candidate.close()
            continue
        held.append(candidate)
    out = [candidate.getsockname()[1] for candidate in held]
    for candidate in held:
        candidate.close()
    return out


class Fleet:
    """The processes of one preset; `start` starts them, `stop` ends them."""

    def __init__(self, preset: str, folder: str, seed: int = 1) -> None:
        """Keep everything in `folder`."""
        self.p = presets.PRESETS[preset]
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
        p = self.p
        members = [("ledger", f"ledger-{i + 1}", i) for i in range(p["ledgers"])]
        members += [("rostrum", f"rostrum-{i + 1}", i) for i in range(p["rostrums"])]
        ps = iter(ports(2 * len(members) + sum(g["replicas"] for g in p["groups"].values()) + 1))
        rows = [
            (r, n, f"z{i % p['zones'] + 1}", f"{IP}:{next(ps)}", f"{IP}:{next(ps)}") for r, n, i in members
        ]
        seeds = [a for _, n, _, a, _ in rows if n in ("ledger-1", "rostrum-1", "rostrum-2")]
        for role, name, zone, addr, http in rows:
            s = {"house": p["house"], "name": name, "zone": zone, "addr": addr, "http": http}
            s.update(seeds=seeds, expected_seats=len(rows), expected_ledgers=p["ledgers"])
            s["log"] = self.path(f"{name}.log")
            if role == "ledger":
                s["data"] = self.path(f"{name}.data")
            self.settings[name] = (role, s)
            self.dump(f"{name}.json", s)
        reps = {}
        for g, v in p["groups"].items():
            for i in range(v["replicas"]):
                url = f"http://{IP}:{next(ps)}"
                reps[f"{g}-{i + 1}"] = {"url": url, "zone": f"z{i % p['zones'] + 1}", "group": g}
        self.nodes = [h for r, _, _, _, h in rows if r == "rostrum"]
        self.all_nodes = [h for _, _, _, _, h in rows]
        self.admin = f"{IP}:{next(ps)}"
        conf = {"replicas": reps, "nodes": self.all_nodes, "admin": self.admin, "seed": self.seed}
        conf.update({k: p[k] for k in ("groups", "load_ms_per_size", "service_ms", "loads")})
        self.dump("standins.json", conf)
        about = {
            "nodes": self.nodes,
            "all_nodes": self.all_nodes,
            "admin": self.admin,
            "manifest": p["manifest"],
        }
        self.dump("fleet.json", about)

    def dump(self, name: str, doc: object) -> None:
        """Write a JSON file into the folder."""
        with open(self.path(name), "w") as f:
            json.dump(doc, f, indent=1)

    def spawn(self, name: str, *args: str) -> None:
        """Start `basaltport ARGS` as a process of this name."""
        out = open(self.path(f"{name}.out"), "ab")
        cmd = [sys.executable, "-m", "basaltport", *args]
        self.procs[name] = subprocess.Popen(cmd, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        out.close()

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
        ps = iter(ports(2 * len(old)))
        for n, name in enumerate(old):
            role, was = self.settings.pop(name)
            new = f"ledger-{len(old) + n + 1}"
            s = {**was, "name": new, "addr": f"{IP}:{next(ps)}", "http": f"{IP}:{next(ps)}"}
            s.update(log=self.path(f"{new}.log"), data=self.path(f"{new}.data"))
            self.settings[new] = (role, s)
            self.dump(f"{new}.json", s)
            self.start_member(new)
        self.all_nodes = [s["http"] for _, s in self.settings.values()]
        self.note_ids()

    def note_ids(self) -> None:
        """Write the ids of all processes to ids.json."""
        self.dump("ids.json", {k: p.pid for k, p in self.procs.items()})

    def signal(self, name: str, sig: int) -> None:
        """Send a signal to one process."""
        self.procs[name].send_signal(sig)

    def stop(self) -> None:
        """End all processes by id: asked first, killed after a while."""
        for p in self.procs.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.terminate()
        end = time.monotonic() + 15
        for p in self.procs.values():
            try:
                p.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait()
