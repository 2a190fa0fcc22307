"""A request in this node, from its arrival to its one end, and its attempts."""

import dataclasses
import enum

import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.routing as routing
import basaltport.proxy.tenant_directory as tenant_directory

NOT_YET = identifiers.Millis(0)
LEAST_URGENT_WEIGHT = 4
"""A request of urgency 0 counts as so many in the demand that is told; each step of urgency takes one off."""


class StopReason(enum.Enum):
    """Why an attempt was stopped from here."""

    SILENT_REPLICA = "silent replica"
    CLIENT_LEFT = "client left"
    PROCESS_ENDS = "process ends"


class Request:
    """What the reducer knows of a request. Times are in ms on this proxy's clock.

    `key`: the digest of the key that it came with; `tenant`: whose it was when it came, None where that is
    not known. `deadline`: when its client gives up. `attempt`: the one under way. `sent_attempts`: that were
    sent; `unsent_attempts`: that found no connection. `tried_replicas`: of all its attempts;
    `reached_replicas`: those that it may have reached. `is_answer_begun`: a part of an answer is with the
    client. `may_have_run`: some attempt may have. `holds_retry`: a part of the retry budget is reserved for
    it. `queue_key`: its place in the queue; `queued_at`: since when it waits there.
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
        "is_answer_begun",
        "may_have_run",
        "holds_retry",
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
        """A request that has just arrived. `tenant_urgency`: comes before that of the route."""
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
        self.is_answer_begun = False
        self.may_have_run = False
        self.holds_retry = False
        self.queue_key = (tenant_urgency, route.urgency, self.arrived_at, request_id)
        self.queued_at = arrived.now

    def tenant_name(self) -> identifiers.TenantName:
        """The name of the tenant that replicas are told, "" where there is none."""
        return events.NO_TENANT if self.tenant is None else self.tenant.name

    def demand_weight(self) -> int:
        """As how many requests it counts in the demand that the placement is told: one urgent request counts
        as several that can wait."""
        return max(1, LEAST_URGENT_WEIGHT - self.route.urgency)

    def may_reach_another(self) -> bool:
        """Whether it may go to a replica that it has not reached."""
        return len(self.reached_replicas) < self.route.attempts


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt under way. `first_byte_at`, `last_byte_at`: when the first and the latest bytes of its
    answer came; before that, `last_byte_at` is when it was sent."""

    id: int
    request_id: int
    replica_id: str
    item: identifiers.Item
    service: str
    route: str
    sent_at: identifiers.Millis
    last_byte_at: identifiers.Millis
    first_byte_at: identifiers.Millis = NOT_YET
    stopped_for: StopReason | None = None

    @classmethod
    def begin(cls, attempt_id: int, request: Request, replica_id: str, now: identifiers.Millis) -> "Attempt":
        """An attempt that goes now."""
        route = request.route.name
        return cls(attempt_id, request.id, replica_id, request.item, request.service, route, now, now)
