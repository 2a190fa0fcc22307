"""The leader's view of a replica, and the plan of orders that the replica executes. Times in ms."""

import basaltport.identifiers as identifiers
import basaltport.placement.catalog as catalog
import basaltport.placement.order_count as order_count
import basaltport.placement.order_types as order_types
import basaltport.placement.replica_rows as replica_rows

REPORT_BACKOFF_MS = 250
"""The first interval between requests for a report; it doubles with each request."""
NOTHING_LISTED = replica_rows.ListedReplica(identifiers.ReplicaId(""), "", "", "", None, "", None, 0, {})


class LoadedModel:
    """A model on a replica: when it and each of its adapters, by name, were loaded."""

    __slots__ = ("since", "adapters", "unloading", "unloading_adapters", "weights_mb", "adapter_mb")

    def __init__(self, since: int, weights_mb: float = 0.0, adapter_mb: float = 0.0) -> None:
        """Create a model that was loaded at `since`.

        `weights_mb`, `adapter_mb`: the largest sizes that the model and each of its adapters can have, by any
        configuration since its load was ordered; 0 if none named a size.
        """
        self.since = since
        self.weights_mb = weights_mb
        self.adapter_mb = adapter_mb
        self.adapters: dict[str, int] = {}
        self.unloading = False
        self.unloading_adapters: set[str] = set()


class Step:
    """A step of a plan: one order, which is resent until it is done."""

    __slots__ = (
        *("kind", "model", "adapter", "from_disk", "first_sent_at", "next_send_at", "retry_ms", "accepted"),
        *("uncertain", "order", "sent_at", "permit_at", "not_sent"),
    )

    def __init__(
        self, kind: order_types.OrderKind, model: str, adapter: str = "", from_disk: bool = False
    ) -> None:
        """Create a step that was not sent yet; `from_disk`: whether the weights are on the replica's disk."""
        self.kind = kind
        self.model = model
        self.adapter = adapter
        self.from_disk = from_disk
        self.first_sent_at: int | None = None
        self.next_send_at = 0
        self.retry_ms = 0.0
        self.accepted = False
        self.uncertain = False
        """Whether the replica may have accepted the order, because an answer is missing."""
        self.order = 0
        """The number of the order in flight, or 0 if there is none."""
        self.sent_at = 0
        self.permit_at: int | None = None
        """When the step last took a permit of the store's rate limit."""
        self.not_sent = 0
        """Number of consecutive times that the order could not be sent."""

    @property
    def item(self) -> str:
        """The item that is loaded or unloaded, as `MODEL` or `MODEL/ADAPTER`."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @property
    def from_store(self) -> bool:
        """Whether the step loads a model from the store of weights."""
        return self.kind == order_types.OrderKind.LOAD and not self.adapter and not self.from_disk


class Plan:
    """The steps, in order of execution, that load an item on a replica."""

    __slots__ = ("goal", "steps", "reason", "created_at")

    def __init__(self, goal: str, steps: list[Step], reason: order_types.LoadReason, created_at: int) -> None:
        """Create a plan; `goal`: the item to load; `reason`: why it is loaded."""
        self.goal = goal
        self.steps = steps
        self.reason = reason
        self.created_at = created_at


class Replica:
    """The known state of a replica: its listed row, its items, its plan and whether it is verified."""

    __slots__ = (
        *("id", "listed", "service", "address", "zone", "state", "leaves_in_ms", "slots", "has_engine"),
        *("models", "disk_models", "changed_at", "missing_counts", "verified", "plan", "unanswered"),
        *("report_at", "report_backoff_ms", "report_requested_at", "backoff_until", "running", "running_at"),
        *(
            "has_inventory",
            "order_count",
            "unverified_since",
            "reported_as_of",
            "hidden_items",
            "no_orders_until",
            "cold_until",
            "fed_cold_until",
        ),
    )

    def __init__(self, replica_id: identifiers.ReplicaId) -> None:
        """Create a replica of which only the id is known."""
        self.id = replica_id
        self.listed = NOTHING_LISTED
        self.service = self.address = self.zone = self.state = ""
        self.leaves_in_ms: int | None = None
        self.slots = 1
        self.cold_until = 0
        """Until when the replica is cold, by the last list; 0 if it is warm."""
        self.fed_cold_until = 0
        """The same as proxies were told."""
        self.has_engine = False
        """Whether the configuration gives its service an engine, so that it loads models."""
        self.models: dict[str, LoadedModel] = {}
        self.disk_models: set[str] = set()
        """Models whose weights are on the replica's disk."""
        self.changed_at: dict[str, int] = {}
        """When an order last loaded or unloaded each item."""
        self.missing_counts: dict[tuple[str, str], int] = {}
        """Number of consecutive lists that lacked each known model (adapter "") or adapter."""
        self.verified = False
        """Whether the replica's items are confirmed; only then it gets orders."""
        self.order_count = order_count.OrderCount()
        """Number of accepted orders that the known items correspond to; 0 for a new replica."""
        self.unverified_since: int | None = None
        """Since when the replica's items are not confirmed."""
        self.hidden_items: set[tuple[str, str]] = set()
        """Models and adapters that get no requests because lists lack them."""
        self.reported_as_of = 0
        """When the last report was applied; lists of an earlier state are ignored."""
        self.plan: Plan | None = None
        self.unanswered = 0
        """Number of consecutive orders and reports without an answer."""
        self.report_at = 0
        self.report_backoff_ms = REPORT_BACKOFF_MS
        self.report_requested_at: int | None = None
        self.backoff_until: dict[str, int] = {}
        """Time until which each item is not ordered on this replica again."""
        self.no_orders_until = 0
        """Time until which the replica gets no plan, because an order to it could not be sent."""
        self.running = 0.0
        """Smoothed number of running requests at `running_at`."""
        self.running_at = 0
        self.has_inventory = False
        """Whether a list or report has shown the replica's models before."""

    def apply_listing(self, listed: replica_rows.ListedReplica, has_engine: bool) -> None:
        """Apply all fields of a listed row but the models."""
        self.listed = listed
        self.service, self.address, self.zone = listed.service, listed.address, listed.zone
        self.state, self.leaves_in_ms = listed.state, listed.leaves_in_ms
        self.slots = listed.slots or 1
        self.has_engine = has_engine

    def steps(self) -> list[Step]:
        """Return the steps of the plan that are not done."""
        return self.plan.steps if self.plan else []

    def next_step(self) -> Step:
        """Return the current step of the plan; there must be one."""
        return self.steps()[0]

    def items(self) -> set[str]:
        """Return the models and adapters on the replica, as `MODEL` and `MODEL/ADAPTER`."""
        held = set(self.models)
        for model, loaded in self.models.items():
            held.update(f"{model}/{adapter}" for adapter in loaded.adapters)
        return held

    def adapter_count(self) -> int:
        """Return the number of adapters on the replica."""
        return sum(len(loaded.adapters) for loaded in self.models.values())

    def weights_mb(self, models: catalog.Catalog, model: str) -> float:
        """Return the size of a loaded model's weights: the larger of the configured and the loaded size."""
        return max(self.models[model].weights_mb, models.size_mb(self.service, model))

    def adapter_mb(self, models: catalog.Catalog, model: str) -> float:
        """Return the size of each adapter of a loaded model: the larger of configured and loaded size."""
        return max(self.models[model].adapter_mb, models.size_mb(self.service, model, "*"))

    def model_mb(self, models: catalog.Catalog, model: str) -> float:
        """Return the size of a loaded model with its adapters."""
        total = self.weights_mb(models, model)
        adapters = len(self.models[model].adapters)
        return total + adapters * self.adapter_mb(models, model) if adapters else total

    def used_mb(self, models: catalog.Catalog) -> float:
        """Return the memory used by all models and adapters, including those that are being unloaded."""
        return sum((self.model_mb(models, name) for name in self.models), 0.0)

    def serving(self) -> replica_rows.Models:
        """Return the models and adapters that requests may be sent to."""
        out = {}
        for name, loaded in self.models.items():
            if not loaded.unloading:
                out[name] = sorted(a for a in loaded.adapters if a not in loaded.unloading_adapters)
        return out

    def serves(self, model: str, adapter: str) -> bool:
        """Whether requests for a model, or for an adapter of it, may be sent to this replica."""
        loaded = self.models.get(model)
        if loaded is None or loaded.unloading:
            return False
        return not adapter or adapter in loaded.adapters and adapter not in loaded.unloading_adapters

    def loading(self) -> list[str]:
        """Return the items that the plan loads."""
        return [step.item for step in self.steps() if step.kind == order_types.OrderKind.LOAD]
