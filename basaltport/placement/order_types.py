"""The kinds, reasons and outcomes of orders to replicas; the values are used on the wire and in metrics."""

import enum


class OrderKind(enum.StrEnum):
    """The operation that an order requests for a model or adapter."""

    LOAD = "load"
    UNLOAD = "unload"


class LoadReason(enum.StrEnum):
    """Why a model or adapter is loaded."""

    AWAITED = "awaited"
    """Requests wait for the item; the plan is dropped when none does any more."""
    OVERDUE = "overdue"
    """Requests have waited for the model for longer than the overdue limit."""
    HOT_COPY = "hot copy"
    """A hot model has too few copies."""
    SPARE_COPY = "spare copy"
    """Another copy of a hot model is useful; it evicts nothing that is in use."""
    RESTORED = "restored"
    """The only copy of a model in use was lost."""

    @property
    def is_on_demand(self) -> bool:
        """Whether the load is for waiting requests."""
        return self in (LoadReason.AWAITED, LoadReason.OVERDUE)


class OrderOutcome(enum.StrEnum):
    """The outcome of sending an order to a replica."""

    ACCEPTED = "accepted"
    """The replica executes the order; a resend of it returns its progress."""
    DONE = "done"
    """The order is done, by this or an earlier send."""
    BUSY = "busy"
    """The order was not accepted, because another one runs there or its order count differs."""
    FENCED = "fenced"
    """The order was not accepted, because the replica knows a higher fencing token."""
    FAILED = "failed"
    """The order was refused, or certainly not accepted."""
    NOT_SENT = "not sent"
    """The order was not sent, because the controller that sends it holds no lease at present.

    Between controllers this is transmitted as FAILED with a duration of zero.
    """
    UNKNOWN = "unknown"
    """No answer arrived, so the order may have been accepted."""
    MOVED = "moved"
    """The address belongs to another replica, or the model of the adapter is not loaded there."""
