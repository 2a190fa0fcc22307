"""Zone orders, which evacuate or readmit a zone: applied while their callers wait, or not at all.

An order names the state that a zone is to have and carries nothing that distinguishes a late copy from a new
order. A caller without an answer after a second sends the order to another controller, and may have the
opposite committed soon after. So the age of an order counts from the earliest time at which it can have been
sent, whatever delays it: a paused process with the order in its socket, the loss of a leader, a slow network.
"""

import typing

import basaltport.controller.operator_calls as operator_calls
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.messages as messages
import basaltport.operator_answers as operator_answers

MAX_ORDER_AGE_MS = 900
"""An order is appended to the log within this time after it was sent, in ms; callers wait for a second."""
LONG_AGO_MS = -(10**9)
"""Stands for an unknown time before any request."""

Document = dict[str, typing.Any]


class ZoneOrdersNeeds(typing.Protocol):
    """The members of the controller that `ZoneOrdersMixin` uses; see `operator_requests`."""

    now: identifiers.Millis
    leader: typing.Any
    heartbeat_times: dict[int, int]
    """When each of the recent heartbeats was sent, by number."""
    current_term: identifiers.Term
    pending_changes: list[Document]
    pending_reads: list[Document]

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:

    class Needs(operator_answers.OperatorAnswersMixin, ZoneOrdersNeeds):
        """The controller as this mixin sees it, for the type checker only."""
else:
    Needs = operator_answers.OperatorAnswersMixin


class ZoneOrdersMixin(Needs):
    """Drops zone orders that are too old or whose caller has left, at the controller that received them and
    at the leader. `zone_orders_dropped` counts the orders that were not applied, by reason."""

    calls: dict[str, operator_calls.ForwardedRequest]
    zone_orders_dropped: dict[operator_calls.Dropped, int]

    def zone_orders_start(self) -> None:
        """Initialize the counts of dropped orders."""
        self.zone_orders_dropped = dict.fromkeys(operator_calls.Dropped, 0)

    def received_at(self, event: events.Asked) -> identifiers.Millis:
        """Returns the time from which the age of a request counts, in ms: for a zone order, the earliest time
        at which it can have been sent."""
        if event.verb in operator_calls.ZONE_ORDERS and event.sent_after is not None:
            return event.sent_after
        return self.now

    def on_caller_left(self, event: events.CallerLeft) -> None:
        """Drop the zone order of a caller that left, since it may order the opposite at another controller.

        An order that this leader has accepted already isn't undone. Other changes may be applied without a
        waiting caller."""
        if event.verb not in operator_calls.ZONE_ORDERS:
            return
        self.calls.pop(event.call, None)
        is_accepted = any(row["call"] == event.call for row in (*self.pending_changes, *self.pending_reads))
        self.pending_changes = [row for row in self.pending_changes if row["call"] != event.call]
        self.pending_reads = [row for row in self.pending_reads if row["call"] != event.call]
        if not is_accepted:
            self.drop_zone_order(operator_calls.Dropped.CALLER_LEFT, event.verb, event.call)

    def is_too_old(self, verb: str, received_at: int) -> bool:
        """Whether a request is a zone order whose caller may have gone to another controller, so that it must
        not be applied."""
        is_zone_order = verb in operator_calls.ZONE_ORDERS
        return is_zone_order and self.now - received_at >= MAX_ORDER_AGE_MS

    def refuse_too_old(self, source: str | None, call: str, verb: str, received_at: int) -> None:
        """Refuse a zone order that is too old to be applied."""
        self.drop_zone_order(operator_calls.Dropped.TOO_OLD, verb, call, age_ms=self.now - received_at)
        self.respond(source, call, *operator_calls.too_old())

    def drop_zone_order(self, reason: operator_calls.Dropped, verb: str, call: str, **fields: object) -> None:
        """Log and count a zone order that is not applied."""
        self.zone_orders_dropped[reason] += 1
        self.note(log_events.Event.ZONE_ORDER_DROPPED, reason=reason.value, verb=verb, call=call, **fields)

    def set_order_age(self, message: messages.Forward, request: operator_calls.ForwardedRequest) -> None:
        """Set the age of a zone order in the message that forwards it."""
        if request.verb not in operator_calls.ZONE_ORDERS:
            return
        message.age_ms = identifiers.Millis(self.now - request.received_at)
        message.term, message.heartbeat_number = self.leader.term, self.leader.number

    def sent_after(self, request: messages.Forward) -> int:
        """Returns the earliest time, on this leader's clock in ms, at which a forwarded request can have been
        sent: the message was sent after the heartbeat that it names, and states the age of the order then."""
        if request.term != self.current_term:
            return LONG_AGO_MS
        return self.heartbeat_times.get(request.heartbeat_number, LONG_AGO_MS) - request.age_ms
