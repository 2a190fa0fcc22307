"""Starts the local fleet's processes on 127.0.0.1 and terminates them by process ID."""

import collections.abc
import dataclasses
import http
import time
import typing
import urllib.error
import urllib.request

import basaltport.local_fleet.messages as messages
import basaltport.simulation.query_api.drills.fleet as fleet

CLUSTER = "local"
ZONES = ("z1", "z2", "z3")
CONTROLLERS = 3
FORMER_VARIABLES = {"KEEPER": "CONTROLLER"}
"""New names of shell variables by the former ones, which scripts may still use."""
REPLICAS = 3
TIMINGS = {"lease_ms": 3000, "grace_s": 1}
STARTUP_S = 20
POLL_S = 0.1
STOP_MARGIN_S = 30


class LocalFleet(fleet.Fleet):
    """Runs three controllers, one proxy and one process with three stand-in replicas."""

    def __init__(self, folder: str, seconds: float) -> None:
        """Keep all files in `folder`; processes exit by themselves after `seconds` plus a margin."""
        super().__init__("thin", folder)
        self.seconds = seconds + STOP_MARGIN_S
        self.controllers: list[str] = []
        self.proxy = ""
        self.ready = ""
        self.listing = ""

    def plan(self) -> None:
        """Choose the ports and write the settings file of each process."""
        free_addresses = (f"{fleet.IP}:{number}" for number in fleet.ports(2 * CONTROLLERS + 4 + REPLICAS))
        self.listing = next(free_addresses)
        self._plan_stand_ins(free_addresses)
        seeds = [next(free_addresses) for _ in range(CONTROLLERS)]
        for index, address in enumerate(seeds):
            self._plan_controller(index, address, next(free_addresses), seeds)
        self._plan_proxy(free_addresses, seeds)
        self._write_addresses()

    def start(self) -> None:
        """Start all processes and record their process IDs."""
        self.plan()
        for name in self.settings:
            self.spawn(name, "local-fleet-process", f"--conf={self.path(name + '.json')}")
        self.note_ids()

    def wait_until_up(self, stopped: collections.abc.Callable[[], bool]) -> bool:
        """Whether every controller follows a leader and the proxy listens within `STARTUP_S` seconds."""
        end = time.monotonic() + STARTUP_S
        while time.monotonic() < end and not stopped():
            if all(self._has_status_page(address) for address in (*self.controllers, self.ready)):
                return True
            time.sleep(POLL_S)
        return False

    def _has_status_page(self, address: str) -> bool:
        """Whether the status page answers 200; a controller needs a leader for it, a proxy only listens."""
        url = f"http://{address}/basaltport/status"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return bool(response.status == http.HTTPStatus.OK)
        except (urllib.error.URLError, OSError):
            return False

    def _plan_stand_ins(self, free_addresses: collections.abc.Iterator[str]) -> None:
        replicas = tuple(
            messages.ReplicaAddress(f"replica-{index + 1}", ZONES[index % len(ZONES)], next(free_addresses))
            for index in range(REPLICAS)
        )
        settings = messages.StandInSettings(self.listing, replicas)
        self._plan_process("stand-ins", "stand-ins", dataclasses.asdict(settings))

    def _plan_controller(self, index: int, address: str, operators: str, seeds: list[str]) -> None:
        name = f"controller-{index + 1}"
        self.controllers.append(operators)
        settings = self._common_settings(name, ZONES[index], address, seeds)
        settings |= {"first_start": True, "data": self.path(f"{name}.data"), "operators": operators}
        settings["listing"] = {"address": self.listing}
        self._plan_process(name, "controller", settings)

    def _plan_proxy(self, free_addresses: collections.abc.Iterator[str], seeds: list[str]) -> None:
        settings = self._common_settings("proxy-1", ZONES[0], next(free_addresses), seeds)
        self.proxy, self.ready = next(free_addresses), next(free_addresses)
        settings |= {"listen": self.proxy, "ready": self.ready, "zones": dict.fromkeys(ZONES, "local")}
        self._plan_process("proxy-1", "proxy", settings)

    def _common_settings(self, name: str, zone: str, address: str, seeds: list[str]) -> dict[str, typing.Any]:
        common = {"house": CLUSTER, "seeds": seeds, "timings": TIMINGS}
        return {**common, "name": name, "zone": zone, "address": address}

    def _plan_process(self, name: str, role: str, settings: dict[str, typing.Any]) -> None:
        process = messages.ProcessSettings(role, self.seconds, settings)
        self.settings[name] = process
        self.dump(f"{name}.json", dataclasses.asdict(process))

    def _write_addresses(self) -> None:
        """Write the file `addresses`, which a shell can source to set a variable for each address."""
        names = {"CONTROLLER": self.controllers[0], "PROXY": self.proxy, "PROXY_STATUS": self.ready}
        names |= {former: names[name] for former, name in FORMER_VARIABLES.items()}
        with open(self.path("addresses"), "w") as file:
            file.writelines(f"{name}={address}\n" for name, address in names.items())
