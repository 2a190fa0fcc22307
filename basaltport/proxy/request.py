"""A request from its arrival at this proxy to its single final response, and its attempts at replicas."""

import dataclasses
import enum

import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.routing as routing
import basaltport.proxy.tenant_directory as tenant_directory

NO_TIME = identifiers.Millis(0)
MAX_DEMAND_WEIGHT = 4
"""Weight of a request of urgency 0 in the demand reported to the placement; each step of urgency takes one
off."""


class StopReason(enum.Enum):
    """Why this proxy stopped an attempt."""

    SILENT_REPLICA = "silent replica"
    CLIENT_LEFT = "client left"
    PROCESS_ENDS = "process ends"


class Request:
    """The reducer's state of one client request. Times are ms on this proxy's clock.

    `key` is the digest of the key sent with the request, `tenant` the tenant that owned the key on arrival,
    or None if unknown. `deadline` is when the client gives up, `attempt` the attempt in flight.
    `sent_attempts` counts attempts that were sent, `unsent_attempts` those that got no connection.
    `tried_replicas` lists the replicas of all attempts, `reached_replicas` those that may have received the
    request. `is_response_started` says that part of a response was sent to the client, `may_have_run` that
    some attempt may have run the request, `has_reserved_retry` that one retry of the budget is reserved for
    it. `queue_key` is its sort key in the queue, `queued_at` when it entered the queue.
    """

    __slots__ = (
        "id",
        "route",
        "key",
        "tenant",
        "service",
        "item",
        "arrived_at",
        "deadline",
        "prompt_tokens",
        "prompt_prefix",
        "attempt",
        "sent_attempts",
        "unsent_attempts",
        "tried_replicas",
        "reached_replicas",
        "is_response_started",
        "may_have_run",
        "has_reserved_retry",
        "queue_key",
        "queued_at",
    )

    def __init__(
        self,
        request_id: int,
        route: routing.Route,
        arrived: events.Arrived,
        tenant: tenant_directory.Tenant | None = None,
        tenant_urgency: int = 0,
    ) -> None:
        """Create a request that has just arrived; `tenant_urgency` sorts before the urgency of the route."""
        self.id = request_id
        self.route = route
        self.key = arrived.key
        self.tenant = tenant
        self.service = ""
        self.item = arrived.item if route.pinned else identifiers.Item("")
        self.arrived_at = arrived.now
        self.deadline = arrived.now
        self.prompt_tokens = arrived.prompt_tokens
        self.prompt_prefix = arrived.prompt_prefix
        self.attempt: Attempt | None = None
        self.sent_attempts = 0
        self.unsent_attempts = 0
        self.tried_replicas: set[str] = set()
        self.reached_replicas: set[str] = set()
        self.is_response_started = False
        self.may_have_run = False
        self.has_reserved_retry = False
        self.queue_key = (tenant_urgency, route.urgency, self.arrived_at, request_id)
        self.queued_at = arrived.now

    def demand_weight(self) -> int:
        """Returns the weight of this request in the reported demand: an urgent request counts as several
        less urgent ones."""
        return max(1, MAX_DEMAND_WEIGHT - self.route.urgency)

    def may_use_new_replica(self) -> bool:
        """Whether the request may be sent to a replica that it has not reached yet."""
        return len(self.reached_replicas) < self.route.attempts


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight.

    `first_byte_at` and `last_byte_at` are the times of the first and the latest bytes of its response; until
    the first byte, `last_byte_at` is the time at which the attempt was sent.
    """

    id: int
    request_id: int
    replica_id: str
    item: identifiers.Item
    service: str
    route: str
    sent_at: identifiers.Millis
    last_byte_at: identifiers.Millis
    first_byte_at: identifiers.Millis = NO_TIME
    stop_reason: StopReason | None = None

    @classmethod
    def begin(cls, attempt_id: int, request: Request, replica_id: str, now: identifiers.Millis) -> "Attempt":
        """Create an attempt that is sent now."""
        route = request.route.name
        return cls(attempt_id, request.id, replica_id, request.item, request.service, route, now, now)
