"""One life of a stand-in replica: what it holds, which orders it takes, and the rules that it checks.

It answers orders as the platform's replicas were measured to. Times are seconds of one clock. A job ends by
itself at its time: each call first brings the state up to `now`."""

import collections.abc
import http
import typing

REPORT_LAG_S = 0.25
"""A report tells the state of so long ago."""
HISTORY_S = 5.0
OK, ACCEPTED, CONFLICT = http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED, http.HTTPStatus.CONFLICT
FENCED, MISDIRECTED = http.HTTPStatus.PRECONDITION_FAILED, http.HTTPStatus.MISDIRECTED_REQUEST
BAD_REQUEST, UNAVAILABLE = http.HTTPStatus.BAD_REQUEST, http.HTTPStatus.SERVICE_UNAVAILABLE

Document = dict[str, typing.Any]


class Room(typing.NamedTuple):
    """What a replica has room for, and how much of it each model and adapter takes."""

    weights_mb: float
    adapter_places: int
    model_mb: dict[str, float]
    adapter_mb: float


class Order(typing.NamedTuple):
    """An order as a controller sent it; `expected`: how many the replica should have taken so far."""

    kind: str
    model: str
    adapter: str | None
    holder: str
    fence: int
    expected: int | None = None


DurationOf = collections.abc.Callable[[Order], float]


def parse_order(body: Document) -> Order | None:
    """The order of a body; None where it is none."""
    if body.get("orderKind") not in ("load", "unload") or not body.get("model"):
        return None
    if not body.get("holder") or not isinstance(body.get("fenceNo"), int):
        return None
    subject = body["orderKind"], body["model"], body.get("adapter")
    return Order(*subject, body["holder"], body["fenceNo"], body.get("expectedCount"))


class ReplicaState:
    """A replica from its start to its end, or its fall. `violations` tells each broken rule."""

    def __init__(self, replica_id: str, room: Room, duration_of: DurationOf, now: float) -> None:
        """Start empty; `duration_of` gives the seconds that an order takes."""
        self.id, self.room, self.duration_of = replica_id, room, duration_of
        self.models: dict[str, list[str]] = {}
        self.job: Order | None = None
        self.job_ends_at = 0.0
        self.orders_taken = 0
        self.highest_fence = -1
        self.holders: dict[int, str] = {}
        """Whose orders were accepted, by fence."""
        self.violations: list[str] = []
        self.has_fallen = False
        self.history: list[tuple[float, Document]] = []
        self._remember(now)

    def order(self, order: Order, expected_id: str, now: float) -> int:
        """The status that answers an order, which is taken where it is 202."""
        self.settle(now)
        if expected_id != self.id:
            return MISDIRECTED
        if order.fence < self.highest_fence:
            return FENCED
        self.highest_fence = order.fence
        status = self._answer(order, now)
        if status in (OK, ACCEPTED):
            self._check_holder(order)
        return status

    def _answer(self, order: Order, now: float) -> int:
        if self.job is not None:
            return ACCEPTED if self.job[:3] == order[:3] else CONFLICT
        if order.expected is not None and order.expected != self.orders_taken:
            return CONFLICT
        if self.holds(order.model, order.adapter) == (order.kind == "load"):
            return OK
        if order.kind == "load" and order.adapter and order.model not in self.models:
            return MISDIRECTED
        self.orders_taken += 1
        if order.kind == "load" and not self._has_room(order):
            self.has_fallen = True
            self.violations.append(f"LIMIT {self.id}: {order} while it held {self.models}")
            return ACCEPTED
        self.job, self.job_ends_at = order, now + self.duration_of(order)
        self._remember(now)
        return ACCEPTED

    def _check_holder(self, order: Order) -> None:
        highest = max(self.holders, default=order.fence)
        if order.fence < highest:
            self.violations.append(f"ONE {self.id}: {order} after the fence {highest}")
        first = self.holders.setdefault(order.fence, order.holder)
        if first != order.holder:
            self.violations.append(f"ONE {self.id}: {order} after one of {first}")

    def _has_room(self, order: Order) -> bool:
        adapters = sum(len(names) for names in self.models.values())
        if order.adapter and adapters >= self.room.adapter_places:
            return False
        held_mb = sum(self.room.model_mb[name] for name in self.models) + adapters * self.room.adapter_mb
        needed_mb = self.room.adapter_mb if order.adapter else self.room.model_mb[order.model]
        return held_mb + needed_mb <= self.room.weights_mb

    def settle(self, now: float) -> None:
        """End the job if its time has come."""
        if self.job is None or now < self.job_ends_at:
            return
        order, self.job = self.job, None
        if order.kind == "load":
            self.models.setdefault(order.model, []).extend([order.adapter] if order.adapter else [])
        elif order.adapter:
            self.models[order.model].remove(order.adapter)
        else:
            del self.models[order.model]
        self._remember(self.job_ends_at)

    def _remember(self, now: float) -> None:
        old = [entry for entry in self.history if entry[0] < now - HISTORY_S]
        self.history = [*old[-1:], *self.history[len(old) :], (now, self.snapshot())]

    def snapshot(self) -> Document:
        """The models, whether an order is under way, and how many were taken, all of one moment."""
        models = [{"name": name, "edition": 1, "adapters": [*held]} for name, held in self.models.items()]
        return {"models": models, "busy": self.job is not None, "callSeq": self.orders_taken}

    def report(self, now: float) -> Document:
        """The snapshot of `REPORT_LAG_S` ago."""
        self.settle(now)
        seen = [snapshot for at, snapshot in self.history if at <= now - REPORT_LAG_S]
        return seen[-1] if seen else self.history[0][1]

    def holds(self, model: str, adapter: str | None) -> bool:
        """Whether a model, or an adapter of it, is there."""
        return model in self.models and (not adapter or adapter in self.models[model])

    def serves(self, model: str, adapter: str | None, now: float) -> int:
        """200 where a request for an item is run, 503 while an order concerns the item, else 421."""
        self.settle(now)
        if self.job is not None and self.job.model == model and self.job.adapter in (None, adapter):
            return UNAVAILABLE
        return OK if self.holds(model, adapter) else MISDIRECTED
