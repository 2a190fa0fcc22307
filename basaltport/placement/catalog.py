"""The models of a configuration, by the service whose replicas may hold them."""

import typing

Document = dict[str, typing.Any]


class Model(typing.NamedTuple):
    """`mb` are its weights, `load_ms` a load from the store, `adapters` the names of its adapters."""

    name: str
    mb: float
    load_ms: int
    adapters: frozenset[str]
    adapter_mb: float


class Service(typing.NamedTuple):
    """What a replica of the service has: `room` in MB, `places` for adapters; `rate` of loads a second."""

    name: str
    models: dict[str, Model]
    room: float
    places: int
    slots: int
    rate: float


class Catalog:
    """All services by name; `homes`: the services of each model."""

    def __init__(self, document: Document | None = None) -> None:
        """Read the services of a configuration that have an engine."""
        self.services: dict[str, Service] = {}
        self.homes: dict[str, list[Service]] = {}
        for s in (document or {}).get("services", ()):
            e = s.get("engine")
            if e:
                self.services[s["name"]] = service(s["name"], e)
        for known in self.services.values():
            for m in known.models:
                self.homes.setdefault(m, []).append(known)

    def at(self, name: str, model: str) -> Model | None:
        """A model of a service, if it has it."""
        s = self.services.get(name)
        return s.models.get(model) if s else None

    def knows(self, item: str) -> bool:
        """Whether a service has the model or adapter."""
        model, _, adapter = item.partition("/")
        homes = self.homes.get(model, ())
        return any(not adapter or adapter in s.models[model].adapters for s in homes)

    def size(self, name: str, model: str, adapter: str = "") -> float:
        """In MB; what the configuration does not know counts as the largest of the service."""
        s = self.services.get(name)
        if s is None:
            return 0.0
        m = s.models.get(model)
        if m is not None:
            return m.adapter_mb if adapter else m.mb
        if adapter:
            return max((m.adapter_mb for m in s.models.values()), default=0.0)
        return max((m.mb for m in s.models.values()), default=s.room)


def service(name: str, e: Document) -> Service:
    """The service of an engine's part of the configuration."""
    models = {}
    for m in e.get("models", ()):
        n = m.get("adapters", 0)
        names = [f"a{k}" for k in range(1, int(n) + 1)] if isinstance(n, int | float) else n
        load = int(m.get("load_s", 0) * 1000)
        models[m["name"]] = Model(
            m["name"], float(m.get("weights_mb", 0)), load, frozenset(names or ()), m.get("adapter_mb", 0.0)
        )
    return Service(
        name,
        models,
        float(e.get("weights_mb", 0)),
        int(e.get("adapter_slots", 0)),
        int(e.get("slots", 1)),
        float(e.get("loads_per_s", 0)),
    )
