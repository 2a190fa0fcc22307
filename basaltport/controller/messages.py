"""What controllers say to each other about orders to replicas; numbers from 50."""

import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.placement.order_types as order_types

NO_COUNT = -1


@messages.message(50)
class OrderRequest:
    """The leader has the owner of a shard carry out an order."""

    gen: identifiers.Term
    """The leader's term."""
    order: int
    echo: int
    """The newest acknowledgement of the owner's that the leader has: by its age an order that was held up
    on its way is known."""
    address: str
    """The leader's, for the result."""
    replica: identifiers.ReplicaId
    at: str
    """The replica's address."""
    kind: order_types.OrderKind
    model: str
    adapter: str
    """Empty where the order is about the model itself."""
    fence: identifiers.Fence
    """The fencing token of the shard's ownership."""
    expected: int = NO_COUNT
    """The replica's count of orders that the order was planned on. Leaders of earlier releases do not give
    it, and owners of earlier releases do not read it."""


@messages.message(51)
class OrderResult:
    """What came of an order; failed where nothing was sent."""

    gen: identifiers.Term
    order: int
    outcome: order_types.OrderOutcome
    took: identifiers.Millis


@messages.message(52)
class ExecutorResigned:
    """A member stops: in the incarnation of its acknowledgement `k` it sends no order any more."""

    seat: identifiers.MemberId
    k: int
