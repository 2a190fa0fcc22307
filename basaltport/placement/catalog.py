"""The models of a configuration, by the service whose replicas may hold them. Sizes in MB, times in ms."""

import typing

Document = dict[str, typing.Any]


class Model(typing.NamedTuple):
    """A model of a service."""

    name: str
    weights_mb: float
    load_ms: int
    """What a load from the store of weights takes, as configured."""
    adapters: frozenset[str]
    adapter_mb: float
    """The size of each of its adapters."""


class Service(typing.NamedTuple):
    """What each replica of a service has room for."""

    name: str
    models: dict[str, Model]
    memory_mb: float
    """Room for weights and adapters."""
    adapter_slots: int
    slots: int
    """Requests that a replica runs at once."""
    loads_per_s: float
    """The rate limit of the store of weights."""


class Catalog:
    """All services by name; `services_of`: the services of each model."""

    def __init__(self, document: Document | None = None) -> None:
        """Read the services of a configuration that have an engine."""
        self.services: dict[str, Service] = {}
        self.services_of: dict[str, list[Service]] = {}
        for entry in (document or {}).get("services", ()):
            engine = entry.get("engine")
            if engine:
                self.services[entry["name"]] = read_service(entry["name"], engine)
        for service in self.services.values():
            for model in service.models:
                self.services_of.setdefault(model, []).append(service)

    def model(self, service_name: str, model: str) -> Model | None:
        """A model of a service, if it has it."""
        service = self.services.get(service_name)
        return service.models.get(model) if service else None

    def knows(self, item: str) -> bool:
        """Whether a service has the model or adapter."""
        model, _, adapter = item.partition("/")
        services = self.services_of.get(model, ())
        return any(not adapter or adapter in s.models[model].adapters for s in services)

    def size_mb(self, service_name: str, model_name: str, adapter: str = "") -> float:
        """The size of a model or adapter. What is not configured may be of any size: a model counts as all
        that a replica has room for, so that it is unloaded before anything is loaded beside it."""
        service = self.services.get(service_name)
        if service is None:
            return 0.0
        model = service.models.get(model_name)
        if model is not None:
            return model.adapter_mb if adapter else model.weights_mb
        return 0.0 if adapter else service.memory_mb


def read_service(name: str, engine: Document) -> Service:
    """The service of an engine's part of the configuration."""
    return Service(
        name,
        {entry["name"]: read_model(entry) for entry in engine.get("models", ())},
        float(engine.get("weights_mb", 0)),
        int(engine.get("adapter_slots", 0)),
        int(engine.get("slots", 1)),
        float(engine.get("loads_per_s", 0)),
    )


def read_model(entry: Document) -> Model:
    """A model of an engine's part; `adapters` are names, or the count n of the names a1 to an."""
    adapters = entry.get("adapters", 0)
    if isinstance(adapters, int | float):
        adapters = [f"a{number}" for number in range(1, int(adapters) + 1)]
    load_ms = int(entry.get("load_s", 0) * 1000)
    weights_mb = float(entry.get("weights_mb", 0))
    return Model(entry["name"], weights_mb, load_ms, frozenset(adapters or ()), entry.get("adapter_mb", 0.0))
