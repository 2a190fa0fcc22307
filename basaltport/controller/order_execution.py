"""Executes orders to replicas: the leader routes each to the owner of the replica's shard, the executor,
which sends it to the replica."""

import collections.abc
import typing

import basaltport.consensus.log as log
import basaltport.controller.events as events
import basaltport.controller.messages as messages
import basaltport.controller.shard_ownership as shard_ownership
import basaltport.identifiers as identifiers
import basaltport.placement.effects as effects
import basaltport.placement.order_types as order_types

NEW_EXECUTOR_DELAY_MS = 600
"""How long a newly leased executor gets no orders, in ms; orders that a former leader routed through it have
arrived by then."""
MAX_ACK_AGE_MS = 500
"""An executor gets no orders when its last acknowledgement of a heartbeat is older than this, in ms."""
MAX_REQUEST_AGE_MS = 700
"""An order request that names an older acknowledgement, in ms, was delayed on its way and is rejected."""
RESULT_TIMEOUT_MS = 1700
"""After this time, in ms, an order without a result counts as unanswered."""
NEVER = -(10**9)
NOT_SENT_DURATION = identifiers.Millis(0)
"""The duration that is reported for an order that was not sent."""
MIN_DURATION_MS = 1
"""The least duration that is reported for an order that was sent, however near its replica is."""


def reported_duration(elapsed_ms: int, was_sent: bool) -> identifiers.Millis:
    """Returns the duration that is reported for an order."""
    return identifiers.Millis(max(MIN_DURATION_MS, elapsed_ms)) if was_sent else NOT_SENT_DURATION


def outcome_for_placement(result: messages.OrderResult) -> order_types.OrderOutcome:
    """Returns the outcome to report to placement.

    FENCED becomes FAILED, since a stale fencing token of the shard's owner doesn't mean that the leader is
    deposed. A failure without a duration becomes NOT_SENT."""
    outcome = order_types.OrderOutcome(result.outcome)
    if outcome is order_types.OrderOutcome.FENCED:
        return order_types.OrderOutcome.FAILED
    if outcome is order_types.OrderOutcome.FAILED and result.duration == NOT_SENT_DURATION:
        return order_types.OrderOutcome.NOT_SENT
    return outcome


class Execution(typing.NamedTuple):
    """An order that this controller executes for a leader."""

    address: str
    """The leader's address."""
    term: identifiers.Term
    order: int
    """The order's number at the leader."""


class OrderExecutionNeeds(typing.Protocol):
    """The members of the controller that `OrderExecutionMixin` uses in addition."""

    current_term: identifiers.Term
    ack_times: dict[int, int]
    """When this member sent its recent acknowledgements, by number."""
    placement: typing.Any

    def emit(self, effect: object) -> None:
        """Add an effect to the result of the current step."""

    def address_of(self, member_id: str) -> str | None:
        """Returns the address from which a member last sent a message."""

    def call_placement(self, call: collections.abc.Callable[..., object], *arguments: object) -> None:
        """Call a method of placement."""


if typing.TYPE_CHECKING:

    class Needs(shard_ownership.ShardOwnershipMixin, OrderExecutionNeeds):
        """The controller as this mixin sees it, for the type checker only."""
else:
    Needs = shard_ownership.ShardOwnershipMixin


class OrderExecutionMixin(Needs):
    """`executing_orders`: what this controller carries out, by its own numbers; `routed_orders`: when the
    leader routed_orders each of its orders; `unroutable_orders`: orders that nobody may carry out now."""

    def order_execution_start(self) -> None:
        """Initialize without orders."""
        self.shard_ownership_start()
        self.last_execution_number = 0
        self.executing_orders: dict[int, Execution] = {}
        self.clear_orders()

    def clear_orders(self) -> None:
        """Stop waiting for the results of all routed orders."""
        self.routed_orders: dict[int, int] = {}
        self.unroutable_orders: list[int] = []

    # the owner of a shard

    def hear_order_request(self, source: str, request: messages.OrderRequest) -> None:
        """Execute an order of the leader, unless it is late or this controller doesn't own the shard."""
        fresh = self.now - self.ack_times.get(request.ack_number, NEVER) <= MAX_REQUEST_AGE_MS
        if request.term < self.current_term or not fresh or not self.owns(request.replica, request.fence):
            failed = order_types.OrderOutcome.FAILED
            self.send(
                request.leader_address,
                messages.OrderResult(request.term, request.order, failed, NOT_SENT_DURATION),
            )
            return
        order = effects.Order(
            request.order,
            request.replica,
            request.replica_address,
            request.kind,
            request.model,
            request.adapter or None,
            self.me.name,
            request.fence,
            None if request.expected == messages.NO_COUNT else request.expected,
        )
        self.execute_order(request.leader_address, request.term, order)

    def execute_order(self, address: str, term: identifiers.Term, order: effects.Order) -> None:
        """Send a leader's order to its replica, under a number of this controller's own."""
        self.last_execution_number += 1
        self.executing_orders[self.last_execution_number] = Execution(address, term, order.order)
        self.emit(order._replace(order=self.last_execution_number))

    def on_ordered(self, event: events.Ordered) -> None:
        """Report the outcome of an order to the leader that gave it."""
        execution = self.executing_orders.pop(event.order, None)
        if execution is None:
            return
        outcome = order_types.OrderOutcome(event.outcome)
        result = messages.OrderResult(execution.term, execution.order, outcome, event.took)
        if execution.address == self.me.addr:
            self.hear_order_result("", result)
            return
        self.send(execution.address, result)

    # the leader

    def may_order(self, replica_id: str) -> bool:
        """Whether this leader may route orders to the owner of a replica's shard.

        The owner holds a lease and has applied its ownership, the former owner has stopped, and orders that
        a former leader routed through the owner have arrived."""
        shard = shard_ownership.shard_of(replica_id)
        row = self.shards().get(shard)
        if not self.leading or row is None or row != self.appended_state.shards.get(shard):
            return False
        if not self.former_owner_stopped(shard):
            return False
        owner = row.owner
        if owner is None:
            return False
        since = self.executor_leased_since.get(owner, self.now)
        if owner not in self.appended_state.members or self.now - since < NEW_EXECUTOR_DELAY_MS:
            return False
        if owner == self.me.seat:
            return self.holds_lease() and not self.stopped
        silent = self.now - self.acked_at_ms.get(owner, NEVER) > MAX_ACK_AGE_MS
        if silent or owner in self.leaving_since_ms or not self.may_hold_lease(owner):
            return False
        return owner in self.latest_acks and self.latest_acks[owner][2] >= row.fence

    def route_order(self, order: effects.Order) -> None:
        """Route an order of placement to the owner of its replica's shard."""
        row = self.shards().get(shard_ownership.shard_of(order.replica))
        if row is None or row.owner is None or not self.may_order(order.replica):
            self.unroutable_orders.append(order.order)
            return
        owner, fence = row.owner, identifiers.Fence(row.fence)
        self.routed_orders[order.order] = self.now
        if owner == self.me.seat:
            own_order = order._replace(holder=self.me.name, fence=fence)
            self.execute_order(self.me.addr, self.current_term, own_order)
            return
        request = messages.OrderRequest(
            self.current_term,
            order.order,
            self.latest_acks[owner][0],
            self.me.addr,
            order.replica,
            order.address,
            order.kind,
            order.model,
            order.adapter or "",
            fence,
            messages.NO_COUNT if order.expected is None else order.expected,
        )
        self.send(self.address_of(owner) or self.appended_state.members[owner].address, request)

    def hear_order_result(self, source: str, result: messages.OrderResult) -> None:
        """Pass the result of an order to placement."""
        if not self.leading or result.term != self.current_term or result.order not in self.routed_orders:
            return
        del self.routed_orders[result.order]
        outcome = outcome_for_placement(result)
        self.call_placement(self.placement.ordered, result.order, outcome, result.duration)

    def tick_shards(self) -> None:
        """On the leader, end orders that timed out or couldn't be routed, and assign shards."""
        if not self.leading:
            return
        for order, routed_at in list(self.routed_orders.items()):
            if self.now - routed_at > RESULT_TIMEOUT_MS:
                del self.routed_orders[order]
                duration = identifiers.Millis(self.now - routed_at)
                self.call_placement(self.placement.ordered, order, order_types.OrderOutcome.UNKNOWN, duration)
        orders, self.unroutable_orders = self.unroutable_orders, []
        for order in orders:
            self.call_placement(
                self.placement.ordered, order, order_types.OrderOutcome.NOT_SENT, NOT_SENT_DURATION
            )
        if self.leading and self.holds_lease() and not self.stopped:
            self.executor_leased_since.setdefault(self.me.seat, self.now)
            if not self.has_uncommitted(log.ShardsAssigned.KIND):
                self.assign_shards()
