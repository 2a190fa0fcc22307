"""The compiled routing configuration: routes by host and longest path prefix, and the services they lead
to."""

import bisect
import collections.abc
import enum
import itertools
import typing

import basaltport.configuration.adapters as adapters
import basaltport.identifiers as identifiers
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.tenant_directory as tenant_directory

Document = collections.abc.Mapping[str, typing.Any]
SECOND_MS = 1000
DEFAULT_DEADLINE_MS = 60_000


class Kind(enum.StrEnum):
    """Whether requests of a route are repeatable, and whether its responses are streamed."""

    SAFE = "safe"
    """A request may run more than once."""
    UNSAFE = "unsafe"
    """A request must not run more than once."""
    STREAM = "stream"
    """A response is passed on as it arrives."""


class AdmissionStep(enum.Enum):
    """A check or preparation of a request before it waits for a replica."""

    DEADLINE = "deadline"
    SERVICE = "service"
    ITEM = "item"
    LOAD_TIME = "load time"


PLAIN_STEPS = (AdmissionStep.DEADLINE, AdmissionStep.SERVICE)
ITEM_STEPS = (
    AdmissionStep.DEADLINE,
    AdmissionStep.SERVICE,
    AdmissionStep.ITEM,
    AdmissionStep.LOAD_TIME,
)


class ServiceShares(typing.NamedTuple):
    """The services of a route and the cumulative sums of their weights, scaled so that the largest weight
    is 1."""

    names: list[str]
    weight_sums: list[float]

    def service_fractions(self) -> collections.abc.Iterator[tuple[str, float]]:
        """Yield each service with its fraction of the route's requests."""
        previous_sum = 0.0
        for name, weight_sum in zip(self.names, self.weight_sums, strict=True):
            yield name, (weight_sum - previous_sum) / self.weight_sums[-1]
            previous_sum = weight_sum


class Route:
    """A route as its requests use it.

    `attempts` is the number of replicas that one request may reach; `pinned` says that requests go only to
    replicas that hold their model; `public` that they need no key; `gap_target_ms` is the longest gap in a
    stream that clients should see.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "deadline_ms",
        "target_ms",
        "urgency",
        "shares",
        "attempts",
        "pinned",
        "public",
        "resumable",
        "repeat_policy",
        "gap_target_ms",
        "steps",
    )

    def __init__(self, document: Document) -> None:
        """`document` is the route in the configuration."""
        self.name = document["name"]
        self.host = document["host"]
        self.prefix = document["prefix"]
        self.kind = _read_kind(document)
        self.deadline_ms = identifiers.Millis(document.get("deadline_ms", DEFAULT_DEADLINE_MS))
        self.target_ms = identifiers.Millis(document.get("target_ms") or self.deadline_ms)
        self.urgency = int(document.get("urgency", 0))
        self.shares = _read_shares(document)
        self.attempts = max(1, int(document.get("attempts", 1)))
        self.pinned = bool(document.get("pinned"))
        self.public = bool(document.get("public"))
        self.resumable = self.kind is Kind.STREAM and bool(document.get("resumable"))
        self.repeat_policy = self._repeat_policy()
        self.gap_target_ms = identifiers.Millis(document.get("gap_target_ms") or 0)
        self.steps = ITEM_STEPS if self.pinned else PLAIN_STEPS

    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat_policy is not retry_decision.RepeatPolicy.NEVER

    def _repeat_policy(self) -> retry_decision.RepeatPolicy:
        if self.resumable:
            return retry_decision.RepeatPolicy.RESUMED
        is_safe = self.kind is Kind.SAFE
        return retry_decision.RepeatPolicy.ALWAYS if is_safe else retry_decision.RepeatPolicy.NEVER

    @property
    def is_shared(self) -> bool:
        """Whether requests of the route are distributed over several services."""
        return len(self.shares.names) > 1

    def service(self, draw: float) -> str:
        """Returns the service for a random draw in [0, 1), by weight."""
        names, weight_sums = self.shares
        return names[bisect.bisect(weight_sums, draw * weight_sums[-1], hi=len(names) - 1)]


def _read_kind(document: Document) -> Kind:
    """Returns the kind of a route; an unknown kind is handled like UNSAFE, which permits the least."""
    kind = document.get("kind")
    return Kind(kind) if kind in list(Kind) else Kind.UNSAFE


def _read_shares(document: Document) -> ServiceShares:
    if "shares" not in document or not document["shares"]:
        return ServiceShares([document["service"]], [1])
    weighted = [share for share in document["shares"] if share["weight"] > 0]
    max_weight = max(share["weight"] for share in weighted)
    sums = itertools.accumulate(share["weight"] / max_weight for share in weighted)
    return ServiceShares([share["service"] for share in weighted], list(sums))


class Service:
    """A service that routes lead to.

    `slow_start_rate` is the number of requests per second that all proxies together may send to a replica in
    slow start, 0 for no limit. `slots` is how many requests a replica runs concurrently if it does not report
    it. `load_ms` is the expected load time by model, None if the service has no engine. `adapters` is the
    number of adapters by model.
    """

    __slots__ = ("name", "slow_start_rate", "slots", "load_ms", "adapters")

    def __init__(self, document: Document) -> None:
        """`document` is the service in the configuration."""
        self.name = document["name"]
        self.slow_start_rate = float(document.get("cold_rate_s") or 0)
        engine = document.get("engine")
        models = engine.get("models", ()) if engine else ()
        self.slots = int(engine.get("slots") or 0) if engine else 0
        load_ms = {model["name"]: SECOND_MS * float(model.get("load_s") or 0) for model in models}
        self.load_ms: dict[str, float] | None = load_ms if engine else None
        self.adapters = {model["name"]: int(model.get("adapters") or 0) for model in models}

    def has_item(self, item: str) -> bool:
        """Whether the configuration has the model and, if named, the adapter."""
        if self.load_ms is None:
            return True
        model, _, adapter = item.partition("/")
        if model not in self.load_ms:
            return False
        return not adapter or adapters.is_adapter_of(adapter, self.adapters[model])


class RoutingTable:
    """The configuration in force at this proxy.

    `is_empty` says that there is none yet; `limits` holds the limits of all routes, `tenants` the tenants
    that may send requests.
    """

    def __init__(self, document: Document | None, former: "RoutingTable | None" = None) -> None:
        """`document` is the configuration or None; `former` is the table that it replaces."""
        document = document or {}
        self.is_empty = not document
        self.edition = document.get("edition", 0)
        self.limits: dict[str, int] = document.get("limits") or {}
        self.tenants: tenant_directory.TenantDirectory = tenant_directory.TenantDirectory(
            document, former.tenants if former else None
        )
        self.services = {service["name"]: Service(service) for service in document.get("services", ())}
        self.hosts: dict[str, list[Route]] = {}
        for route in document.get("routes", ()):
            self.hosts.setdefault(route["host"].lower(), []).append(Route(route))
        for routes in self.hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of the path, or None."""
        host = host.lower()
        routes = self.hosts.get(host) or self.hosts.get(host.rpartition(":")[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None
