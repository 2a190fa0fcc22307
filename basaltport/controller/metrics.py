"""The metrics of a controller, for its page `metrics`; some metrics exist on the leader only."""

import collections
import collections.abc
import typing

import basaltport.controller.status_view as status_view
import basaltport.placement.order_invariants as order_invariants

if typing.TYPE_CHECKING:
    import basaltport.controller.node as controller_node

PREFIX = "basaltport_"
GAUGE = "gauge"
COUNTER = "counter"

Node: typing.TypeAlias = "controller_node.Controller"


class Family(typing.NamedTuple):
    """One metric with its samples."""

    name: str
    kind: str
    """`gauge`, `counter` or `histogram`."""
    help: str
    labels: collections.abc.Sequence[str]
    samples: collections.abc.Sequence[tuple[tuple[object, ...], float]]
    """Pairs of the labels' values and the metric's value."""


Families = collections.abc.Iterator[Family]


def gauge(name: str, help: str, value: float) -> Family:
    """Returns a gauge without labels."""
    return Family(PREFIX + name, GAUGE, help, (), [((), value)])


def families(node: Node, now: int, listed_at: int | None = None) -> Families:
    """Yield all metrics; `now` and `listed_at` are in ms, as in `status_view`."""
    reasons = status_view.unsettled(node, now, listed_at)
    has_leader = status_view.leader(node) is not None
    yield gauge("leads", "1 where this controller leads", int(node.leading))
    yield gauge("holds", "1 where this controller leads and no other can", int(node.holds_lease_at(now)))
    yield gauge("led", "1 where a leader is heard, or it leads itself", int(has_leader))
    yield gauge("serial", "Index of the last agreed log entry", int(node.cluster_state.log_index))
    yield gauge("edition", "Edition of the configuration in force", status_view.edition(node))
    yield gauge("unsettled", "Reasons why this controller is not settled", len(reasons))
    failed = [((), float(node.failed_steps))]
    yield Family(PREFIX + "failed_steps", "counter", "Steps that ended with an unexpected error", (), failed)
    yield _invariant_family(node)
    yield _zone_order_family(node)
    yield from _limit_families(node)
    if node.leading:
        yield from _leader_families(node, now, listed_at)
    if node.leading and node.placement_fence is not None:
        yield from _placement_families(node, now)


def _invariant_family(node: Node) -> Family:
    """Returns the violations of each invariant of orders since the process began, on former leaders too."""
    violations = status_view.placement_of(node).invariants.violations
    samples = [((invariant.value,), violations[invariant]) for invariant in order_invariants.OrderInvariant]
    help_text = "Violations of what must hold of every order"
    return Family(PREFIX + "invariant_violations", COUNTER, help_text, ("invariant",), samples)


def _zone_order_family(node: Node) -> Family:
    """Returns the zone orders that were not applied since the process began, by reason."""
    samples = [((reason.value,), float(count)) for reason, count in node.zone_orders_dropped.items()]
    help_text = "Evacuations and withdrawals that were not applied, by why"
    return Family(PREFIX + "zone_orders_dropped", COUNTER, help_text, ("reason",), samples)


def _limit_families(node: Node) -> Families:
    """Yield the metrics of tenants' limits, for the shards that this controller owns."""
    counts = node.quota_owner.counts()
    tokens = [(("asked",), float(counts.asked)), (("granted",), float(counts.granted))]
    help_text = "Tokens of tenants' limits that proxies asked for, and got"
    yield Family(PREFIX + "limit_tokens", COUNTER, help_text, ("tokens",), tokens)
    counted_shards = sum(node.may_count_limits(shard) for shard in node.shards())
    yield gauge("limit_shards", "Shards whose tenants this controller counts now", counted_shards)
    yield gauge("limit_tenants", "Slices of tenants' limits that are kept here", counts.tenants)


def _leader_families(node: Node, now: int, listed_at: int | None) -> Families:
    rows = status_view.controllers(node, now)
    votes = sum(row["votes"] for row in rows)
    silence_limit_ms = status_view.SILENT_MS
    silent = sum(row["silent_ms"] is None or row["silent_ms"] > silence_limit_ms for row in rows)
    yield gauge("controllers", "Controllers that vote", votes)
    yield gauge("keepers", "Former name of basaltport_controllers", votes)
    yield gauge("controllers_silent", "Controllers that do not answer", silent)
    yield gauge("keepers_silent", "Former name of basaltport_controllers_silent", silent)
    yield gauge("proxies", "Proxies that follow", len(node.proxies))
    if listed_at is not None:
        yield gauge("list_age_seconds", "Age of the list of replicas", (now - listed_at) / 1000)


def _placement_families(node: Node, now: int) -> Families:
    placement = status_view.placement_of(node)
    oldest = max((now - waiting.first_requested_at for waiting in placement.waiting.values()), default=0)
    missing_copies = sum(
        max(0, hot.target_copies - len(placement.copies(model)))
        for model, hot in placement.hot_models.items()
    )
    by_state = collections.Counter((r.service, r.zone, r.state) for r in placement.replicas.values())
    labels = ("service", "zone", "state")
    yield gauge("wants", "Items that requests wait for", len(placement.waiting))
    yield gauge("want_age_seconds", "Age of the oldest of them", oldest / 1000)
    yield gauge("orders", "Orders under way", len(placement.busy_replicas))
    yield gauge("models_hot", "Models that are due more than one copy", len(placement.hot_models))
    yield gauge("copies_lacking", "Copies that hot models lack", missing_copies)
    loads = sorted(placement.load_counts.items())
    help_text = "Loads done, by source and by why they were ordered"
    yield Family(PREFIX + "loads", COUNTER, help_text, ("source", "reason"), loads)
    waits = sorted(((outcome,), float(ended)) for outcome, ended in placement.wait_counts.items())
    help_text = "Waits for items that nobody held, by how they ended"
    yield Family(PREFIX + "load_waits", COUNTER, help_text, ("outcome",), waits)
    yield Family(PREFIX + "replicas", GAUGE, "Replicas on the list", labels, sorted(by_state.items()))
