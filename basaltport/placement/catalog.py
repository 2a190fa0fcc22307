"""Configured models and adapters of each service, and its replicas' capacity. Sizes in MB, times in ms."""

import typing

import basaltport.configuration.adapters as adapters

Document = dict[str, typing.Any]


class Model(typing.NamedTuple):
    """A configured model of a service."""

    name: str
    weights_mb: float
    load_ms: int
    """Configured duration of a load from the store of weights."""
    adapter_count: int
    """Number of its adapters; see `configuration.adapters`."""
    adapter_mb: float
    """Size of each adapter of the model."""

    def has_adapter(self, name: str) -> bool:
        """Whether the model has an adapter of this name."""
        return adapters.is_adapter_of(name, self.adapter_count)


class Service(typing.NamedTuple):
    """The models of a service and the capacity of each of its replicas."""

    name: str
    models: dict[str, Model]
    memory_mb: float
    """Memory for weights and adapters."""
    adapter_slots: int
    slots: int
    """Number of requests that a replica runs concurrently."""
    loads_per_s: float
    """Rate limit of the store of weights, in loads per second."""


class Catalog:
    """Index of the services that have an engine, by name, and of the services of each model."""

    def __init__(self, document: Document | None = None) -> None:
        """Read the services that have an engine from a configuration document."""
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
        """Return a model of a service, or None if the service does not have it."""
        service = self.services.get(service_name)
        return service.models.get(model) if service else None

    def knows(self, item: str) -> bool:
        """Whether any service has the model or adapter."""
        model, _, adapter = item.partition("/")
        services = self.services_of.get(model, ())
        return any(not adapter or s.models[model].has_adapter(adapter) for s in services)

    def size_mb(self, service_name: str, model_name: str, adapter: str = "") -> float:
        """Return the size of a model, or of an adapter of it.

        A model that is not configured may have any size. It counts as the whole memory of a replica, so that
        it is unloaded before anything else is loaded there.
        """
        service = self.services.get(service_name)
        if service is None:
            return 0.0
        model = service.models.get(model_name)
        if model is not None:
            return model.adapter_mb if adapter else model.weights_mb
        return 0.0 if adapter else service.memory_mb


def read_service(name: str, engine: Document) -> Service:
    """Read a service from the `engine` section of its configuration."""
    return Service(
        name,
        {entry["name"]: read_model(entry) for entry in engine.get("models", ())},
        float(engine.get("weights_mb", 0)),
        int(engine.get("adapter_slots", 0)),
        int(engine.get("slots", 1)),
        float(engine.get("loads_per_s", 0)),
    )


def read_model(entry: Document) -> Model:
    """Read a model from an `engine` section."""
    load_ms = int(entry.get("load_s", 0) * 1000)
    weights_mb = float(entry.get("weights_mb", 0))
    return Model(
        entry["name"], weights_mb, load_ms, int(entry.get("adapters", 0)), entry.get("adapter_mb", 0.0)
    )
