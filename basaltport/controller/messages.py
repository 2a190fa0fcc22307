"""Messages between controllers about orders to replicas; their type numbers start at 50."""

import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.placement.order_types as order_types

NO_COUNT = -1
"""Stands for an order that was planned without a known count of the replica's orders."""


@messages.message(50)
class OrderRequest:
    """The leader requests the owner of a shard to execute an order."""

    term: identifiers.Term
    """The leader's term."""
    order: int
    ack_number: int
    """The number of the owner's newest acknowledgement at the leader; its age reveals an order that was
    delayed on its way."""
    leader_address: str
    """The leader's address, to which the result is sent."""
    replica: identifiers.ReplicaId
    replica_address: str
    """The replica's address."""
    kind: order_types.OrderKind
    model: str
    adapter: str
    """The adapter's name, empty if the order is for the model itself."""
    fence: identifiers.Fence
    """The fencing token of the shard's ownership."""
    expected: int = NO_COUNT
    """The replica's count of executed orders that the order was planned on. Leaders of earlier releases don't
    send it, and owners of earlier releases don't read it."""


@messages.message(51)
class OrderResult:
    """The owner of a shard reports the outcome of an order; FAILED if it sent nothing to the replica."""

    term: identifiers.Term
    order: int
    outcome: order_types.OrderOutcome
    duration: identifiers.Millis


@messages.message(52)
class ExecutorResigned:
    """A member announces that it stops and sends no more orders in the incarnation of its acknowledgement
    `ack_number`."""

    member_id: identifiers.MemberId
    ack_number: int
