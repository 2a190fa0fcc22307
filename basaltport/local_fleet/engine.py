"""Simulates a replica's engine: models and adapters, loaded and unloaded by orders that take time."""

import dataclasses
import enum
import typing


class Outcome(enum.StrEnum):
    """The outcome of an order: running, completed, or rejected because its expected count is outdated."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload (`kind`) a model or one of its adapters."""

    kind: str
    model: str
    adapter: str | None = None


class Engine:
    """The loaded models of one replica; a controller repeats each order until its outcome is `DONE`."""

    def __init__(self, load_s: float) -> None:
        """Start with nothing loaded; a model is loaded within `load_s` seconds."""
        self.load_s = load_s
        self.models: dict[str, list[str]] = {}
        self.started_at: dict[Order, float] = {}
        self.accepted_orders = 0

    def order(self, order: Order, now: float, expected: int | None = None) -> Outcome:
        """Start an order, or return the state of one that runs, at `now` (seconds).

        With `expected`, a new order is rejected unless that many orders were accepted before it.
        """
        if order not in self.started_at:
            if expected is not None and expected != self.accepted_orders:
                return Outcome.BUSY
            if self._is_done(order):
                return Outcome.DONE
            self.started_at[order] = now
            self.accepted_orders += 1
        if now - self.started_at[order] < self._duration(order):
            return Outcome.ACCEPTED
        del self.started_at[order]
        self._apply(order)
        return Outcome.DONE

    def has_loaded(self, item: str) -> bool:
        """Whether `MODEL` or `MODEL/ADAPTER` is loaded; true for an empty item, which needs no model."""
        model, _, adapter = item.partition("/")
        if not model:
            return True
        return model in self.models and (not adapter or adapter in self.models[model])

    def report(self) -> dict[str, typing.Any]:
        """Return the report for controllers: loaded models, whether an order runs, accepted orders."""
        return {"models": self.models, "busy": bool(self.started_at), "orders": self.accepted_orders}

    def _is_done(self, order: Order) -> bool:
        item = f"{order.model}/{order.adapter}" if order.adapter else order.model
        return self.has_loaded(item) == (order.kind == "load")

    def _duration(self, order: Order) -> float:
        is_model_load = order.kind == "load" and order.adapter is None
        return self.load_s if is_model_load else 0.0

    def _apply(self, order: Order) -> None:
        if order.kind == "load":
            adapters = self.models.setdefault(order.model, [])
            if order.adapter and order.adapter not in adapters:
                adapters.append(order.adapter)
            return
        if order.adapter is None:
            self.models.pop(order.model, None)
            return
        adapters = self.models.get(order.model, [])
        if order.adapter in adapters:
            adapters.remove(order.adapter)
