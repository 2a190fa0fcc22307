"""Clients: they choose a proxy that is ready, keep to what they are told, and come back as the rules
allow."""

import typing

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers
import basaltport.proxy.events as proxy_events
import basaltport.simulation.routes.attempts as attempts
import basaltport.simulation.routes.fleet_base as fleet_base
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.request_rows as request_rows

TRIES = 5
UNREAD_MS = 1000
READINESS_MS = 1000
MISSES_OUT = 2
RUNNING_WITHIN_MS = 100
LEAST_TIME_MS = 50
COME_BACK_MS = 100
STREAM_MS = 5000
REQUEST_MS = 3000
BODY_BYTES = 100
MS_PER_S = 1000
HOST = "desk.example"
NEVER_RAN_STATUSES = (408, 421, 429, 503)
FINAL_STATUSES = (400, 401, 403, 404, 413, 431)
REPEATABLE = ("safe", "plain", "resume")
ONCE_ONLY = ("once", "stream")


class Mix(typing.NamedTuple):
    """A part of the traffic: its share, the kind of its requests, what they are for, and the service."""

    share: float
    kind: str
    items: list[str]
    service: str


class Operation:
    """What a client wants: it may take several tries, each with an id of its own.

    `until`: when the client gives up; `tries`: how many were sent; `over`: what came of it; `pieces`: parts
    of a stream that need not be sent again; `key`: by which it says for which tenant it sends."""

    __slots__ = ("id", "kind", "item", "zone", "born", "until", "service", "tries", "over", "pieces", "key")

    def __init__(
        self, operation_id: str, kind: str, item: str, zone: str, born: int, ms: int, service: str
    ) -> None:
        """The client has `ms` for it."""
        self.id, self.kind, self.item, self.zone, self.born = operation_id, kind, item, zone, born
        self.until, self.service = born + ms, service
        self.tries, self.over, self.pieces = 0, "", 0
        self.key: str | None = None


class Try:
    """One request to one proxy. `sent_at`: when its client sent it; `read`: the proxy has read it; `over`:
    how it ended."""

    __slots__ = (
        "id",
        "operation",
        "node",
        "incarnation",
        "sent_at",
        "request",
        "attempts",
        "over",
        "pieces",
        "read",
    )

    def __init__(self, try_id: str, operation: Operation, node: nodes.Node, sent_at: int) -> None:
        """It is about to be sent."""
        self.sent_at = sent_at
        self.id, self.operation, self.node, self.incarnation = try_id, operation, node, node.incarnation
        self.request, self.over = 0, ""
        self.attempts: list[attempts.SentAttempt] = []
        self.pieces, self.read = operation.pieces, False


class ClientMixin(fleet_base.FleetBase):
    """The world's clients. `taken_in`: the proxies that the platform takes for ready."""

    def clients_start(self) -> None:
        """No traffic yet."""
        self.tries = {}
        self.last_request, self.last_operation = 0, 0
        self.taken_in = set()
        self.misses: dict[str, int] = {}
        self.flow = 0.0
        self.mix: list[Mix] = []
        self.later(0, self.probe)

    def probe(self) -> None:
        """Readiness as the platform asks for it: out after two misses, in with the first good answer."""
        for node in self.proxies():
            ready = node.member is not None and not node.frozen and node.member.ready()
            self.misses[node.name] = 0 if ready else self.misses.get(node.name, 1) + 1
            if ready:
                self.taken_in.add(node.name)
            elif self.misses[node.name] >= MISSES_OUT:
                self.taken_in.discard(node.name)
        self.later(READINESS_MS, self.probe)

    # traffic

    def traffic(self, per_second: float, mix: list[Mix]) -> None:
        """From now on so many operations a second; none with 0."""
        begins = not self.flow
        self.flow, self.mix = per_second, mix
        if begins and per_second:
            self.later(1, self.next_operation)

    def next_operation(self) -> None:
        """A random operation, and when the next one comes."""
        if not self.flow:
            return
        chosen = self.rng.choices(self.mix, [part.share for part in self.mix])[0]
        item, zone = self.rng.choice(chosen.items), self.rng.choice(self.zones)
        self.start_operation(chosen.kind, item, zone, chosen.service)
        pause = int(self.rng.expovariate(self.flow / MS_PER_S))
        self.later(max(1, pause), self.next_operation)

    def start_operation(self, kind: str, item: str, zone: str, service: str = "s") -> Operation:
        """A client in a zone wants something now."""
        self.last_operation += 1
        patience = STREAM_MS if kind in attempts.STREAMS else REQUEST_MS
        operation_id = f"o{self.last_operation}"
        operation = Operation(operation_id, kind, item, zone, self.now, patience, service)
        self.record(request_rows.Operation, operation.id, kind, item, service)
        self.choose_key(operation)
        self.send_try(operation)
        return operation

    def choose_key(self, operation: Operation) -> None:
        """Which key its client sends: none in a world without tenants."""

    def nodes_for(self, zone: str) -> list[nodes.Node]:
        """The proxies that a client in this zone is sent to: the zone's own, unless most of them are not
        ready."""
        own = [node for node in self.proxies() if self.zone_of(node.name) == zone]
        ready = [node for node in own if node.name in self.taken_in]
        if ready and 2 * len(ready) < len(own):
            return own
        return ready or [node for node in self.proxies() if node.name in self.taken_in] or self.proxies()

    def send_try(self, operation: Operation) -> None:
        """Sends the request to a proxy, once more or for the first time."""
        if operation.over:
            return
        left = operation.until - self.now
        if left < LEAST_TIME_MS or operation.tries >= TRIES:
            self.finish_operation(operation, "gave-up")
            return
        operation.tries += 1
        node = self.rng.choice(self.nodes_for(operation.zone))
        client_try = Try(f"{operation.id}.{operation.tries}", operation, node, self.now)
        self.record(request_rows.Try, operation.id, node.name, client_try.id)
        if node.member is None:
            self.later(self.rng.randrange(2, 8), self.end_try, client_try, "unread", 0, 0)
            return
        self.last_request += 1
        client_try.request = self.last_request
        self.tries[node.name, node.incarnation, client_try.request] = client_try
        self.later(self.rng.randrange(1, 5), self.read, client_try, self.arrived(client_try, left))
        self.later(left, self.end_try, client_try, "gone", 0, 0)
        if operation.kind in REPEATABLE:
            self.later(min(UNREAD_MS, left // 3), self.unread, client_try)

    def arrived(self, client_try: Try, left: int) -> proxy_events.Arrived:
        """The request as the proxy gets it."""
        operation = client_try.operation
        path, item = f"/{operation.kind}/1", identifiers.Item(operation.item)
        event = proxy_events.Arrived(self.now, client_try.request, HOST, path, item, int(left), BODY_BYTES)
        if operation.key is not None:
            event.key = credentials.digest(operation.key)
        return event

    def read(self, client_try: Try, event: proxy_events.Arrived) -> None:
        """The proxy reads the request, if it is still the same process."""
        node = client_try.node
        if node.incarnation != client_try.incarnation or node.member is None:
            self.end_try(client_try, "unread", 0, 0)
            return
        if not node.frozen:
            client_try.read = True
        self.give(node, client_try.incarnation, event)

    def unread(self, client_try: Try) -> None:
        """A client that may repeat its request does not wait long for it to be read."""
        if not client_try.read and not client_try.over:
            self.end_try(client_try, "unread", 0, 0)

    def end_try(self, client_try: Try, outcome: str, status: int, retry: int) -> None:
        """A try's one end; what the client does next."""
        if client_try.over:
            return
        client_try.over = outcome
        self.record_end(client_try, outcome, status, retry)
        if outcome in ("gone", "unread"):
            left = proxy_events.Left(self.now, client_try.request)
            self.give(client_try.node, client_try.incarnation, left)
        operation = client_try.operation
        resumed = operation.kind == "resume"
        operation.pieces = max(operation.pieces, client_try.pieces) if resumed else 0
        if outcome in ("done", "gone") or status in FINAL_STATUSES:
            self.finish_operation(operation, outcome if outcome != "own" else str(status))
            return
        never_ran = status in NEVER_RAN_STATUSES or outcome == "unread"
        if operation.kind in ONCE_ONLY and not never_ran:
            self.finish_operation(operation, "unknown")
            return
        most = max(0, operation.until - self.now) / 3
        self.later(int(min(retry or COME_BACK_MS, most)) + 1, self.send_try, operation)

    def record_end(self, client_try: Try, outcome: str, status: int, retry: int) -> None:
        """How a try ended, for the checks."""
        running = any(
            not attempt.over or self.now - attempt.ended_at < RUNNING_WITHIN_MS
            for attempt in client_try.attempts
        )
        self.record(
            request_rows.TryEnd,
            client_try.operation.id,
            client_try.id,
            client_try.node.name,
            outcome,
            status,
            retry,
            running,
            client_try.node.name in self.touching,
            int(client_try.operation.until - self.now),
        )

    def finish_operation(self, operation: Operation, outcome: str) -> None:
        """The client has what it wanted, or gives up."""
        operation.over = outcome
        took = int(self.now - operation.born)
        self.record(request_rows.OperationEnd, operation.id, outcome, operation.item, operation.kind, took)

    # what proxies do

    def client_done(self, client_try: Try) -> None:
        """The whole answer is under way to the client."""
        self.later(self.rng.randrange(1, 5), self.end_try, client_try, "done", 200, 0)

    def try_of(self, node: nodes.Node, request: int) -> Try | None:
        """The client's side of a request that a proxy has."""
        return self.tries.get((node.name, node.incarnation, request))

    def do_close(self, node: nodes.Node, effect: proxy_events.Close) -> None:
        """The proxy answers by itself."""
        client_try = self.try_of(node, effect.request)
        self.later(1, self.end_try, client_try, "own", effect.status, effect.retry_after_ms)

    def do_pass(self, node: nodes.Node, effect: proxy_events.Pass) -> None:
        """The proxy passes a failure on."""
        self.later(1, self.end_try, self.try_of(node, effect.request), "failed", 500, 0)

    def do_cut(self, node: nodes.Node, effect: proxy_events.Cut) -> None:
        """The proxy ends an answer that is not complete."""
        self.later(1, self.end_try, self.try_of(node, effect.request), "cut", 0, 0)

    def cut_clients(self, node: nodes.Node) -> None:
        """The process ended: its clients see closed connections."""
        for (name, incarnation, _), client_try in list(self.tries.items()):
            if name == node.name and incarnation == node.incarnation and not client_try.over:
                self.later(2, self.end_try, client_try, "cut" if client_try.read else "unread", 0, 0)
