"""A request in this node, from its arrival to its one end."""

import enum

import basaltport.kinds as kinds

WAIT = "wait"
RUN = "run"


class Request:
    __slots__ = (
        "id",
        "route",
        "service",
        "item",
        "born",
        "until",
        "tokens",
        "prefix",
        "state",
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

    def __init__(self, id, route, ev):
        self.id = id
        self.route = route
        self.service = ""
        self.item = ev.item if route.pinned else kinds.Item("")
        self.born = ev.now
        self.until = ev.now
        self.tokens = ev.tokens
        self.prefix = ev.prefix
        self.state = WAIT
        self.run = None
        self.arrivals = 0
        self.unsent = 0
        self.avoid = set()
        self.sent_to = set()
        self.begun = False
        self.ran = False
        self.reserved = False
        self.key = (self.route.urgency, self.born, id)

    def spare(self):
        """Whether it may go to a replica that it was not sent to."""
        return len(self.sent_to) < self.route.attempts


class Aborted(enum.Enum):
    """Why an attempt was stopped from here."""

    SILENT = "silent"
    CLIENT_LEFT = "client left"
    PROCESS_ENDS = "process ends"


class Run:
    """An attempt under way."""

    __slots__ = ("id", "request", "replica", "item", "service", "sent", "until", "heard", "last", "aborted")

    def __init__(self, id, q, replica, now):
        self.id = id
        self.request = q.id
        self.replica = replica
        self.item = q.item
        self.service = q.service
        self.sent = now
        self.until = q.until
        self.heard = 0
        self.last = now
        self.aborted = None
