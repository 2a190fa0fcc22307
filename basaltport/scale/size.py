"""How large a fleet is: its configuration and the list of its replicas, the same in every process."""

import dataclasses
import itertools
import random
import typing

Document = dict[str, typing.Any]
Rows = dict[str, dict[str, typing.Any]]

ZONES = (("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "r2"))
"""Each zone with its region."""
SERVICE = "models"
HOST = "models.example"
SLOTS = 144
REPLICA_MB = 64_000
"""Room for weights and adapters of a replica."""
WEIGHTS_MB = 30_000
ADAPTER_MB = 40
ADAPTER_SLOTS = 16
LOAD_S = 2
LOADS_PER_S = 740 / 3600
ROUTES = 8
CHANGED_ROUTES_FROM = 1000
"""Routes that changes add are numbered from here."""
SUBNET = 250
"""Addresses of replicas in one subnet of 127.9.0.0/16."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """`nodes`: those that serve clients; `adapters`: over all models."""

    nodes: int
    replicas: int
    models: int
    adapters: int

    def doc(self) -> dict[str, int]:
        """As a part's settings and reports have it."""
        return dataclasses.asdict(self)


FIELDS = tuple(field.name for field in dataclasses.fields(Size))
TARGET = Size(340, 600, 530, 94_000)
"""The size in two years, docs/CAPACITY.md."""


def zone(index: int) -> str:
    """The zone of the process or replica with this number."""
    return ZONES[index % len(ZONES)][0]


def adapters(size: Size, model: int) -> int:
    """How many adapters the model with this number has."""
    return size.adapters // size.models + (model < size.adapters % size.models)


def route(index: int) -> Document:
    """The route with this number."""
    return {
        "name": f"route-{index}",
        "host": HOST,
        "prefix": f"/{index}/",
        "kind": "stream",
        "deadline_ms": 60_000,
        "target_ms": 970,
        "service": SERVICE,
        "attempts": 2,
        "pinned": True,
    }


def document(size: Size, edition: int = 1) -> Document:
    """The whole configuration."""
    models = [
        {
            "name": f"model-{model}",
            "weights_mb": WEIGHTS_MB,
            "load_s": LOAD_S,
            "adapters": adapters(size, model),
            "adapter_mb": ADAPTER_MB,
        }
        for model in range(size.models)
    ]
    engine = {"slots": SLOTS, "kv_tokens": 400_000, "models": models, "weights_mb": REPLICA_MB}
    engine |= {"adapter_slots": ADAPTER_SLOTS, "loads_per_s": LOADS_PER_S}
    service = {"name": SERVICE, "connections": 64, "engine": engine}
    return {"edition": edition, "routes": [route(index) for index in range(ROUTES)], "services": [service]}


def change(edition: int) -> Document:
    """A change of the configuration: one route more."""
    return {"edition": edition, "put": {"routes": [route(CHANGED_ROUTES_FROM + edition)]}}


def popular(size: Size) -> list[float]:
    """Sums of the models' shares of all requests: the nth has 1 / n of the first one's."""
    return list(itertools.accumulate(1 / (model + 1) for model in range(size.models)))


def rows(size: Size) -> Rows:
    """The list of replicas, by id. Each holds a model, the popular ones on more replicas, and as many of its
    adapters as have a place; every model is held once as long as there are places."""
    sums = popular(size)
    out = {}
    rng = random.Random(size.replicas)
    for index in range(size.replicas):
        hot = rng.choices(range(size.models), cum_weights=sums)[0]
        names = [f"a{number + 1}" for number in range(adapters(size, hot))]
        models: dict[str, list[str]] = {f"model-{index % size.models}": []}
        models[f"model-{hot}"] = sorted(rng.sample(names, min(ADAPTER_SLOTS, len(names))))
        out[f"replica-{index}"] = row(index, models)
    return out


def row(index: int, models: dict[str, list[str]]) -> Document:
    """The row of the list for the replica with this number."""
    return {
        "id": f"replica-{index}",
        "service": SERVICE,
        "address": f"127.9.{index // SUBNET}.{index % SUBNET + 1}:9000",
        "zone": zone(index),
        "slots": SLOTS,
        "state": "ready",
        "leaves_in_ms": None,
        "cold_ms": 0,
        "models": models,
        "loading": [],
    }
