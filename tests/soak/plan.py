"""What the rig and the stand-ins of one seed agree on: addresses, sizes, and the first configuration."""

import typing

import tests.soak.replica_state as replica_state
import tests.soak.tenants as tenants

ZONES = ["z1", "z2", "z3"]
CONTROLLERS = ["controller-1", "controller-2", "controller-3"]
PROXIES = 2
"""How many proxies a rig has unless it is told otherwise."""
MOST_PROXIES = 120
FIRST_PROXY_IP = 101
PORT = 8100
"""Ports are the same for all, since each process has an address of its own."""
SERVICE = "soak"
HOST = "models.example"
PATHS = {"safe": "/safe/", "stream": "/stream/"}
PUBLIC = "/open/"
"""The path of a route whose requests need no key."""
MODEL_MB = [100.0, 110.0, 120.0]
ADAPTER_MB = 4.0
ADAPTERS = 3
ROOM_MB = 340.0
ADAPTER_PLACES = 3
BERTHS = 32

Document = dict[str, typing.Any]


class Plan:
    """The plan of a seed, on the network `net` of 127.0.0.0/8, of the form 127.1.1."""

    def __init__(self, seed: int, net: str, proxies: int = PROXIES, is_limited: bool = False) -> None:
        """Addresses are `host:port`; `is_limited`: some tenants have a limit."""
        self.keys, self.is_limited = tenants.all_keys(seed), is_limited
        replicas = 4 + seed % 3
        self.proxies = [f"proxy-{i + 1}" for i in range(min(proxies, MOST_PROXIES))]
        self.ips = {name: f"{net}.{11 + i}" for i, name in enumerate(CONTROLLERS)}
        self.ips |= {name: f"{net}.{FIRST_PROXY_IP + i}" for i, name in enumerate(self.proxies)}
        self.operators = {name: f"{self.ips[name]}:{PORT}" for name in CONTROLLERS}
        self.counters = {name: f"{self.ips[name]}:{PORT}" for name in self.proxies}
        self.readiness = {name: f"{self.ips[name]}:{PORT + 1}" for name in self.proxies}
        self.listing, self.control = f"{net}.21:{PORT}", f"{net}.22:{PORT}"
        self.places = [f"{net}.{31 + i}:{PORT}" for i in range(replicas)]
        self.model_mb = {f"model-{i}": MODEL_MB[i % len(MODEL_MB)] for i in range(3 * replicas + 6)}
        self.room = replica_state.Room(ROOM_MB, ADAPTER_PLACES, self.model_mb, ADAPTER_MB)

    def tenants(self, held: tenants.Held) -> list[Document]:
        """The tenants of a configuration, with the keys that they hold."""
        return tenants.rows(self.keys, held, self.is_limited)

    def configuration(self) -> Document:
        """The first configuration; of the keys that come and go nobody has one."""
        lane = {"host": HOST, "deadlineMs": 6000, "targetMs": 1000, "urgency": 0, "depot": SERVICE}
        lane |= {"tries": 2, "pinned": True, "resumable": False, "gapTargetMs": 600}
        lanes = [lane | {"name": kind, "lineKind": kind, "pathPrefix": path} for kind, path in PATHS.items()]
        lanes.append(lane | {"name": "open", "lineKind": "safe", "pathPrefix": PUBLIC, "public": True})
        sizes = {"loadS": 0.2, "adapters": ADAPTERS, "adapterMb": ADAPTER_MB}
        models = [{"name": name, "weightsMb": mb, **sizes} for name, mb in self.model_mb.items()]
        engine = {"berths": BERTHS, "kvTokens": 200_000, "models": models, "weightsMb": ROOM_MB}
        engine |= {"adapterBerths": ADAPTER_PLACES, "loadsPerS": 20.0}
        depot = {"name": SERVICE, "healthPath": "/health", "connLimit": 200, "protocol": "h1"}
        depot |= {"useTls": False, "coldS": 0.0, "coldRateS": 0.0, "engine": engine}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerWaitMs": 3000, "idleCloseMs": 15000}
        senders = self.tenants(tenants.steady(self.keys))
        return {"edition": 1, "lanes": lanes, "depots": [depot], "limits": limits, "senders": senders}
