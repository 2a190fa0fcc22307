"""The processes of a scale run, started and ended by the project's fleet runner."""

import asyncio
import collections.abc
import json
import typing

import absl.flags as flags

import basaltport.scale.size as size_
import basaltport.simulation.query_api.drills.fleet as fleet

CONTROLLERS = 3
CLUSTER = "scale"
ANSWER_BYTES = 1 << 24
"""The longest answer of a part."""
ANSWER_S = 15
MARGIN_S = 30
"""Parts end by themselves so long after the run should have ended them."""
TIMINGS = {"lease_ms": 3000, "grace_s": 1}
SECONDS_OF_HOUR = 3600

Answer = dict[str, typing.Any]
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ScaleFleet(fleet.Fleet):
    """Controllers, proxies and hosts of hollow nodes on 127.0.0.1, with the runner's questions to them."""

    def __init__(self, size: size_.Size, folder: str, options: flags.FlagValues) -> None:
        """`options`: the flags of `basaltport scale`."""
        super().__init__("thin", folder)
        self.size = size
        self.options = options
        self.parts: dict[str, dict[str, typing.Any]] = {}
        self.connections: dict[str, Connection] = {}
        self.bounds = {"seconds": options.seconds + MARGIN_S, "profile": options.profile}

    def plan(self) -> None:
        """Choose ports and write each part's file."""
        hosts = min(self.options.hosts, self.size.nodes)
        count = 2 * CONTROLLERS + 4 * self.options.proxies + hosts + self.size.nodes
        addresses = (f"{fleet.IP}:{port}" for port in fleet.ports(count))
        controllers = [next(addresses) for _ in range(CONTROLLERS)]
        common = {"house": CLUSTER, "seeds": controllers, "timings": TIMINGS}
        for index, address in enumerate(controllers):
            self._plan_controller(index, {**common, "address": address}, next(addresses))
        for index in range(self.options.proxies):
            self._plan_proxy(index, {**common, "address": next(addresses)}, addresses)
        self._plan_hosts(hosts, controllers, addresses)

    def _plan_controller(self, index: int, common: dict[str, typing.Any], questions: str) -> None:
        name = f"controller-{index + 1}"
        settings = {**common, "name": name, "zone": size_.zone(index), "first_start": True}
        settings["data"] = self.path(name)
        self.add("controller", name, questions, settings=settings, size=self.size.doc())

    def _plan_proxy(
        self, index: int, common: dict[str, typing.Any], addresses: collections.abc.Iterator[str]
    ) -> None:
        name = f"proxy-{index + 1}"
        settings = {**common, "name": name, "zone": size_.zone(index), "zones": dict(size_.ZONES)}
        settings |= {"listen": next(addresses), "ready": next(addresses)}
        self.add("proxy", name, next(addresses), settings=settings)

    def _plan_hosts(
        self, hosts: int, controllers: list[str], addresses: collections.abc.Iterator[str]
    ) -> None:
        nodes = self.size.nodes
        rows = [
            {"name": f"hollow-{index}", "zone": size_.zone(index), "address": next(addresses)}
            for index in range(nodes)
        ]
        traffic = {
            "requests": self.options.requests,
            "running": self.options.running,
            "loads": self.options.loads / SECONDS_OF_HOUR / nodes,
        }
        common = {"house": CLUSTER, "seeds": controllers, "size": self.size.doc(), **traffic}
        for index in range(hosts):
            self.add("hollow", f"host-{index + 1}", next(addresses), nodes=rows[index::hosts], **common)

    def add(self, role: str, name: str, questions: str, **fields: object) -> None:
        """Write the file of a part; `questions`: the address at which it is asked."""
        self.parts[name] = {"role": role, "questions": questions, **fields, **self.bounds}
        self.dump(f"{name}.json", self.parts[name])

    def of(self, *roles: str) -> list[str]:
        """Names of the parts of these roles that still run."""
        return [
            name
            for name, part in self.parts.items()
            if part["role"] in roles and self.procs[name].poll() is None
        ]

    def start(self) -> None:
        """Start all processes and note their ids."""
        self.plan()
        for name in self.parts:
            self.spawn(name, "scale-part", f"--conf={self.path(name + '.json')}")
        self.note_ids()

    def kill(self, name: str) -> None:
        """Killed at once, by the id of what this runner started."""
        self.procs[name].kill()
        self.procs[name].wait()

    async def ask(self, name: str, do: str, **fields: object) -> Answer | None:
        """A part's answer, or None where it does not answer."""
        try:
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await self._connection(name)
                writer.write(json.dumps({"do": do, **fields}).encode() + b"\n")
                return typing.cast(Answer, json.loads(await reader.readline()))
        except (OSError, TimeoutError, ValueError):
            self.connections.pop(name, None)
            return None

    async def _connection(self, name: str) -> Connection:
        if name not in self.connections:
            host, port = self.parts[name]["questions"].split(":")
            self.connections[name] = await asyncio.open_connection(host, int(port), limit=ANSWER_BYTES)
        return self.connections[name]

    async def ask_all(
        self, names: collections.abc.Sequence[str], do: str, **fields: object
    ) -> dict[str, Answer | None]:
        """The answers of several parts, by name."""
        answers = await asyncio.gather(*(self.ask(name, do, **fields) for name in names))
        return dict(zip(names, answers, strict=True))

    def close(self) -> None:
        """End the connections for questions."""
        for _, writer in self.connections.values():
            writer.close()
        self.connections = {}
