"""A request in this node, from its arrival to its one end."""

import enum

import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.routing as routing


class Aborted(enum.Enum):
    """Why an attempt was stopped from here."""

    SILENT = "silent"
    CLIENT_LEFT = "client left"
    PROCESS_ENDS = "process ends"


class Request:
    """What the reducer knows of a request. `until`: its deadline, `arrivals`: attempts that were sent,
    `unsent`: those that were not, `avoid`: replicas of its attempts, `sent_to`: those that it may have
    reached, `begun`: a part of an answer is out, `ran`: it may have run, `reserved`: a part of the budget is
    kept for it, `key`: its place in the queue."""

    __slots__ = (
        "id",
        "route",
        "service",
        "item",
        "born",
        "until",
        "tokens",
        "prefix",
        "run",
        "arrivals",
        "unsent",
        "avoid",
        "sent_to",
        "begun",
        "ran",
        "reserved",
        "key",
    )

    def __init__(self, request_id: int, route: routing.Route, arrived: events.Arrived) -> None:
        """A request that has just arrived."""
        self.id = request_id
        self.route = route
        self.service = ""
        self.item = arrived.item if route.pinned else identifiers.Item("")
        self.born = arrived.now
        self.until = arrived.now
        self.tokens = arrived.tokens
        self.prefix = arrived.prefix
        self.run: Run | None = None
        self.arrivals = 0
        self.unsent = 0
        self.avoid: set[str] = set()
        self.sent_to: set[str] = set()
        self.begun = False
        self.ran = False
        self.reserved = False
        self.key = (self.route.urgency, self.born, request_id)

    def spare(self) -> bool:
        """Whether it may go to a replica that it was not sent to."""
        return len(self.sent_to) < self.route.attempts


class Run:
    """An attempt under way. `heard`: when its first bytes came, `last`: its latest ones."""

    __slots__ = ("id", "request", "replica", "item", "service", "sent", "until", "heard", "last", "aborted")

    def __init__(self, run_id: int, request: Request, replica: str, now: identifiers.Millis) -> None:
        """An attempt that goes now."""
        self.id = run_id
        self.request = request.id
        self.replica = replica
        self.item = request.item
        self.service = request.service
        self.sent = now
        self.until = request.until
        self.heard = identifiers.Millis(0)
        self.last = now
        self.aborted: Aborted | None = None
