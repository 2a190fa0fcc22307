"""What a stand-in replica holds: models and adapters, loaded and unloaded by orders that take time."""

import dataclasses
import enum
import typing


class Outcome(enum.StrEnum):
    """What became of an order: it runs, it is over, or it was not taken."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Load or unload a model, or one of its adapters."""

    kind: str
    model: str
    adapter: str | None = None


class Engine:
    """The state of one replica. An order is repeated by the controller until it is done."""

    def __init__(self, load_s: float) -> None:
        """Start with nothing loaded; a model is loaded within `load_s` seconds."""
        self.load_s = load_s
        self.models: dict[str, list[str]] = {}
        self.started: dict[Order, float] = {}
        self.orders = 0

    def order(self, order: Order, now: float, expected: int | None = None) -> Outcome:
        """Start an order, or tell how one that was started before stands at `now` (seconds). `expected`: how
        many orders must have been taken so far for this one to be."""
        if order not in self.started:
            if expected is not None and expected != self.orders:
                return Outcome.BUSY
            if self._is_done(order):
                return Outcome.DONE
            self.started[order] = now
            self.orders += 1
        if now - self.started[order] < self._duration(order):
            return Outcome.ACCEPTED
        del self.started[order]
        self._apply(order)
        return Outcome.DONE

    def holds(self, item: str) -> bool:
        """Whether a request for `MODEL` or `MODEL/ADAPTER` can be answered; no item is always held."""
        model, _, adapter = item.partition("/")
        if not model:
            return True
        return model in self.models and (not adapter or adapter in self.models[model])

    def report(self) -> dict[str, typing.Any]:
        """What a controller reads: the models held, whether an order runs, and how many were taken."""
        return {"models": self.models, "busy": bool(self.started), "orders": self.orders}

    def _is_done(self, order: Order) -> bool:
        item = f"{order.model}/{order.adapter}" if order.adapter else order.model
        return self.holds(item) == (order.kind == "load")

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
        held = self.models.get(order.model, [])
        if order.adapter in held:
            held.remove(order.adapter)
