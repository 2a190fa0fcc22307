"""How large a fleet is: its configuration and the list of its replicas, the same in every process."""

import dataclasses
import itertools
import random

ZONES = (("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "r2"))
SERVICE = "models"
HOST = "models.example"
SLOTS = 144
ROOM = 64_000
WEIGHTS = 30_000
ADAPTER_MB = 40
ADAPTER_SLOTS = 16
LOAD_S = 2
LOADS_PER_S = 740 / 3600


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """`nodes`: those that serve clients; `adapters`: over all models."""

    nodes: int
    replicas: int
    models: int
    adapters: int

    def doc(self):
        return dataclasses.asdict(self)


FIELDS = tuple(f.name for f in dataclasses.fields(Size))
TARGET = Size(340, 600, 530, 94_000)


def zone(n):
    return ZONES[n % len(ZONES)][0]


def adapters(size, n):
    """How many adapters the nth model has."""
    return size.adapters // size.models + (n < size.adapters % size.models)


def route(n):
    return {
        "name": f"route-{n}",
        "host": HOST,
        "prefix": f"/{n}/",
        "kind": "stream",
        "deadline_ms": 60_000,
        "target_ms": 970,
        "service": SERVICE,
        "attempts": 2,
        "pinned": True,
    }


def document(size, edition=1):
    models = [
        {
            "name": f"model-{n}",
            "weights_mb": WEIGHTS,
            "load_s": LOAD_S,
            "adapters": adapters(size, n),
            "adapter_mb": ADAPTER_MB,
        }
        for n in range(size.models)
    ]
    engine = {"slots": SLOTS, "kv_tokens": 400_000, "models": models, "weights_mb": ROOM}
    engine |= {"adapter_slots": ADAPTER_SLOTS, "loads_per_s": LOADS_PER_S}
    service = {"name": SERVICE, "connections": 64, "engine": engine}
    return {"edition": edition, "routes": [route(n) for n in range(8)], "services": [service]}


def change(edition):
    """A change of the configuration: one route more."""
    return {"edition": edition, "put": {"routes": [route(1000 + edition)]}}


def popular(size):
    """Sums of the models' shares of all requests: the nth has 1 / n of the first one's."""
    return list(itertools.accumulate(1 / (n + 1) for n in range(size.models)))


def rows(size):
    """The list of replicas, by id. Each holds a model, the popular ones on more replicas, and as many of its
    adapters as have a place; every model is held once as long as there are places."""
    sums = popular(size)
    out = {}
    rng = random.Random(size.replicas)
    for n in range(size.replicas):
        hot = rng.choices(range(size.models), cum_weights=sums)[0]
        names = [f"a{k + 1}" for k in range(adapters(size, hot))]
        models = {f"model-{n % size.models}": []}
        models[f"model-{hot}"] = sorted(rng.sample(names, min(ADAPTER_SLOTS, len(names))))
        out[f"replica-{n}"] = {
            "id": f"replica-{n}",
            "service": SERVICE,
            "address": f"127.9.{n // 250}.{n % 250 + 1}:9000",
            "zone": zone(n),
            "slots": SLOTS,
            "state": "ready",
            "leaves_in_ms": None,
            "cold_ms": 0,
            "models": models,
            "loading": [],
        }
    return out
