"""Runs placement on the leader: it is started when this controller becomes leader, stopped when it steps
down, and called only under a confirmed lease."""

import collections.abc
import typing

import basaltport.controller.events as events
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.placement.effects as effects
import basaltport.placement.model_status as model_status

MAX_DEFERRED_CALLS = 2000
"""The most calls of placement that wait until the lease is confirmed; older ones are dropped."""
DEFAULT_LIST_LAG_MS = 1000
ORDER_DELAY_MS = 200
"""How long after its start placement gives no orders, in ms; new owners of shards wait longer on their
own."""

Document = dict[str, typing.Any]
Effects = collections.abc.Iterable[effects.Effect]
PlacementCall = collections.abc.Callable[..., Effects | None]


class Placement(typing.Protocol):
    """The methods of `placement.machine.Placement` that a controller calls."""

    order_delay_ms: int
    may_order: collections.abc.Callable[[str], bool]
    rows: dict[str, Document]
    changed: set[str]
    deposed: bool

    def start(self, now: int, fence: int, holder: str) -> Effects:
        """Start under the fencing token of this controller's leadership."""

    def stop(self) -> Effects:
        """Stop, since this controller leads no longer."""

    def configure(self, now: int, document: Document | None, evacuated_zones: set[str]) -> Effects:
        """Apply a changed configuration or a changed set of evacuated zones."""

    def tick(self, now: int) -> Effects:
        """Do the periodic work."""

    def listed(self, now: int, rows: list[Document]) -> Effects:
        """Process the platform's list of replicas."""

    def list_failed(self, now: int) -> Effects:
        """Handle a failed read of the list of replicas."""

    def reported(self, now: int, replica_id: str, answered: bool, report: Document) -> Effects:
        """Process a replica's report, or its failure to answer."""

    def ordered(self, now: int, order: int, outcome: str, took_ms: int = 0) -> Effects:
        """Process the outcome of an order."""

    def requests_waiting(self, now: int, zone: str, items: dict[str, int]) -> Effects:
        """Record how many requests in a zone wait for each item."""

    def usage_reported(self, now: int, zone: str, items: dict[str, int], running: dict[str, int]) -> Effects:
        """Process a proxy's counts of requests started per item and running per replica."""

    def model_status(self, now: int, item: str) -> model_status.ModelStatus:
        """Returns whether an item is loaded, loading or unavailable, with its expected wait."""


class PlacementControlNeeds(typing.Protocol):
    """The members of the controller that `PlacementControlMixin` uses."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: typing.Any
    leading: bool
    first_index_of_term: identifiers.LogIndex
    """The index of the first entry of this leader's term; its fencing token once committed."""
    rows_known: bool
    """Whether placement has read the list of replicas."""

    def holds_lease(self) -> bool:
        """Whether this leader's lease is confirmed by a quorum."""

    def has_committed_in_term(self) -> bool:
        """Whether the first entry of this leader's term is committed."""

    def step_down(self, why: str) -> None:
        """Step down as leader."""

    def emit(self, effect: object) -> None:
        """Add an effect to the result of the current step."""

    def route_order(self, order: effects.Order) -> None:
        """Route an order to the owner of its replica's shard."""

    def confirm_zones(self, listed_as_of: int) -> None:
        """Note that the rows show the state of this time, or a later one."""

    def clear_orders(self) -> None:
        """Stop waiting for the results of all orders."""


if typing.TYPE_CHECKING:
    Needs = PlacementControlNeeds
else:
    Needs = object


class PlacementControlMixin(Needs):
    """Starts, stops and calls placement. `placement_fence` is the fencing token that placement runs under,
    None while it doesn't run."""

    def placement_start(self, placement: Placement) -> None:
        """Store a placement that doesn't run yet, and set its initial delay."""
        self.placement = placement
        self.placement.order_delay_ms = ORDER_DELAY_MS
        self.placement_fence: identifiers.LogIndex | None = None
        self.placement_inputs: tuple[int, list[str]] | None = None
        """The version of the configuration and the evacuated zones that placement was last given."""
        self.list_lag_ms = DEFAULT_LIST_LAG_MS
        """How far the platform's list may be behind, in ms."""
        self.list_requested_at = self.list_as_of = int(self.now)
        self.deferred_calls: list[tuple[PlacementCall, tuple[object, ...]]] = []

    def update_placement(self) -> None:
        """Start placement once the first entry of this leader's term is committed, with its index as fencing
        token; stop placement when this controller leads no longer."""
        if not self.leading:
            self.stop_placement()
            return
        if not self.has_committed_in_term():
            return
        if self.placement_fence is None:
            self.placement_fence, self.placement_inputs = self.first_index_of_term, None
            self.call_placement(self.placement.start, self.first_index_of_term, self.me.name)
        inputs = (self.cluster_state.configuration_version, sorted(self.cluster_state.evacuated_zones))
        if inputs != self.placement_inputs:
            self.placement_inputs = inputs
            self.call_placement(self.placement.configure, self.cluster_state.configuration, set(inputs[1]))

    def stop_placement(self) -> None:
        """Stop placement if it runs."""
        if self.placement_fence is None:
            return
        self.placement_fence, self.deferred_calls = None, []
        self.clear_orders()
        self.placement.stop()

    def call_placement(self, call: PlacementCall, *arguments: object) -> None:
        """Call a method of placement with the time and these arguments, and execute its effects. The call is
        deferred while the lease isn't confirmed, since another controller may lead by then."""
        if self.placement_fence is None:
            return
        if not self.holds_lease():
            self.deferred_calls = [*self.deferred_calls, (call, arguments)][-MAX_DEFERRED_CALLS:]
            return
        waiting, self.deferred_calls = self.deferred_calls, []
        for deferred_call, deferred_arguments in waiting:
            self.execute_call(deferred_call, deferred_arguments)
        self.execute_call(call, arguments)
        if self.placement.deposed:
            self.step_down("a replica knows a higher fence")

    def execute_call(self, call: PlacementCall, arguments: tuple[object, ...]) -> None:
        """Call a method of placement and execute its effects."""
        for effect in list(call(self.now, *arguments) or ()):
            if isinstance(effect, effects.List):
                self.list_requested_at = int(self.now)
            if isinstance(effect, effects.Order):
                self.route_order(effect)
            else:
                self.emit(effect)
        if call == self.placement.listed:
            self.rows_known = True
            self.confirm_zones(self.list_as_of)

    def tick_place(self) -> None:
        """Call the periodic work of placement."""
        if self.placement_fence is not None and self.holds_lease():
            self.call_placement(self.placement.tick)

    def on_listed(self, event: events.Listed) -> None:
        """Pass the platform's list of replicas, or the failure to read it, to placement."""
        if event.ok:
            self.list_as_of = self.list_requested_at - self.list_lag_ms
            self.call_placement(self.placement.listed, event.rows)
            return
        self.call_placement(self.placement.list_failed)

    def on_reported(self, event: events.Reported) -> None:
        """Pass a replica's report, or its failure to answer, to placement."""
        self.call_placement(self.placement.reported, event.replica, event.ok, event.report)

    def usage_reported(self, zone: str, use: Document, load: Document) -> None:
        """Pass a proxy's counts of requests started per item and running per replica to placement."""
        if self.holds_lease():
            self.call_placement(self.placement.usage_reported, zone, use, load)
