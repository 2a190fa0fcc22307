"""The kinds of orders to replicas, and what may come of one; the values are those of the wire."""

import enum


class OrderKind(enum.StrEnum):
    """What a replica is to do with a model or adapter."""

    LOAD = "load"
    UNLOAD = "unload"


class LoadReason(enum.StrEnum):
    """Why a model or adapter is loaded."""

    AWAITED = "awaited"
    """Requests wait for it; the plan ends when none does any more."""
    OVERDUE = "overdue"
    """Requests have waited for it longer than for anything else, and for too long."""
    HOT_COPY = "hot copy"
    """A model that is asked for much has too few copies."""
    SPARE_COPY = "spare copy"
    """One more copy is of use, though nothing that is in use gives way to it."""
    RESTORED = "restored"
    """The only copy of a model in use was lost."""

    @property
    def is_on_demand(self) -> bool:
        """Whether requests wait for what is loaded."""
        return self in (LoadReason.AWAITED, LoadReason.OVERDUE)


class OrderOutcome(enum.StrEnum):
    """What a replica answered to an order."""

    ACCEPTED = "accepted"
    """The order runs; sent again, it is answered with how it stands."""
    DONE = "done"
    """The order is done, now or earlier."""
    BUSY = "busy"
    """Another order runs there; this one was not taken."""
    FENCED = "fenced"
    """The replica knows a higher fencing token; this one was not taken."""
    FAILED = "failed"
    """The order was refused, or surely not taken."""
    NOT_SENT = "not sent"
    """The order did not go out: nobody may send it at present. Between controllers it is told as FAILED
    that took no time."""
    UNKNOWN = "unknown"
    """No answer came: it may have been taken."""
    MOVED = "moved"
    """Another replica has the address, or the model of the adapter is not there."""
