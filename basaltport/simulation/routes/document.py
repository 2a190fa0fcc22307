"""The configuration of a simulated fleet."""

import typing

import basaltport.simulation.routes.fleet_base as fleet_base

Document = dict[str, typing.Any]

MS_PER_S = 1000
STREAM_DEADLINE_MS = 5000
DEADLINE_MS = 3000
GAP_TARGET_MS = 600
COLD_S = 3

ROUTES = (
    ("safe", "safe", "s"),
    ("once", "unsafe", "s"),
    ("stream", "stream", "s"),
    ("resume", "stream", "s"),
    ("plain", "safe", "t"),
)
"""Name, kind and service of each route."""

LIMITS = {
    "header_bytes": 16384,
    "body_bytes": 4 << 20,
    "header_wait_ms": 3000,
    "idle_close_ms": 15000,
}


def configuration(world: fleet_base.FleetBase, edition: int, change: str) -> Document:
    """A whole configuration, as a change of this id sends it."""
    common = {"health_path": "/health", "connections": 200}
    cold_rate = world.cold_rate
    services = [
        {**common, "name": "s", "cold_s": COLD_S, "cold_rate_s": cold_rate, "engine": engine_of(world)},
        {**common, "name": "t", "cold_s": 0, "cold_rate_s": 0},
    ]
    routes = [route_of(name, kind, service) for name, kind, service in ROUTES]
    limits = dict(LIMITS)
    return {"edition": edition, "by": change, "routes": routes, "services": services, "limits": limits}


def engine_of(world: fleet_base.FleetBase) -> Document:
    """The models and the room of replicas that hold some."""
    load_s = world.load_ms / MS_PER_S
    models = [
        {"name": name, "weights_mb": mb, "load_s": load_s, "adapters": 2, "adapter_mb": world.adapter_mb}
        for name, mb in world.mb.items()
    ]
    return {
        "slots": world.slots,
        "models": models,
        "weights_mb": world.room,
        "adapter_slots": world.places,
        "loads_per_s": world.loads_per_s,
    }


def route_of(name: str, kind: str, service: str) -> Document:
    """One route."""
    streams = kind == "stream"
    return {
        "host": "desk.example",
        "target_ms": 500,
        "urgency": 0,
        "attempts": 2,
        "name": name,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "deadline_ms": STREAM_DEADLINE_MS if streams else DEADLINE_MS,
        "pinned": service == "s",
        "resumable": name == "resume",
        "gap_target_ms": GAP_TARGET_MS if streams else 0,
    }
