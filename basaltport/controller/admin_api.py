"""The read-only HTTP API for operators of controllers and proxies: pages under /basaltport/."""

import asyncio
import collections.abc
import importlib
import json
import sys
import types
import typing

import aiohttp.web

import basaltport.controller.admin_pages as admin_pages
import basaltport.controller.metrics as metrics
import basaltport.controller.placement_view as placement_view
import basaltport.controller.status_view as status_view
import basaltport.identifiers as identifiers
import basaltport.proxy.latency_histograms as latency_histograms
import basaltport.proxy.status_pages as proxy_pages

REIMPORTED_MODULES = ("ssl", "http.client", "urllib.request")
"""Modules that are stubbed, or lack https, in a process that was started without ssl; they are imported anew
for the metrics library."""
OK = 200
REDIRECT = 307
BAD_REQUEST = 400
NOT_FOUND = 404
NOT_ALLOWED = 405
UNAVAILABLE = 503

Query = collections.abc.Mapping[str, str]
Clock = collections.abc.Callable[[], identifiers.Millis]
Families = collections.abc.Iterable[tuple[typing.Any, ...]]
"""The metric families that `metrics.families` yields."""


class Page(typing.NamedTuple):
    """The answer to a request for a page."""

    status: int
    document: dict[str, typing.Any]
    headers: dict[str, str] | None = None


PageMaker = collections.abc.Callable[[Query], Page]


class Admin:
    """Serves the pages of one process, by name, and its metrics."""

    def __init__(self, pages: dict[str, PageMaker], families: collections.abc.Callable[[], Families]) -> None:
        """Create the pages; each call of `families` returns the current values of all metrics."""
        self.pages = pages
        self.families = families
        self.library: asyncio.Future[types.SimpleNamespace] | None = None
        self.registry: typing.Any = None

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Answer a request for a page."""
        name = request.path.removeprefix(admin_pages.PREFIX)
        if name == "metrics" and request.method == "GET":
            return await self.metrics()
        page = self.page(name, request)
        text = json.dumps(page.document, default=str)
        return aiohttp.web.Response(
            status=page.status, text=text, content_type="application/json", headers=page.headers
        )

    def page(self, name: str, request: aiohttp.web.BaseRequest) -> Page:
        """Returns the page of a name, or the error for an unknown page or another method than GET."""
        if name != "metrics" and name not in self.pages:
            names = sorted([*self.pages, "metrics"])
            return Page(NOT_FOUND, {"error": "no such page", "pages": names})
        if request.method != "GET":
            return Page(NOT_ALLOWED, {"error": "only GET"}, {"Allow": "GET"})
        return self.pages[name](request.query)

    async def metrics(self) -> aiohttp.web.StreamResponse:
        """Returns the page `metrics`, whose library is imported in a thread at the first request."""
        try:
            if self.library is None:
                self.library = asyncio.ensure_future(asyncio.to_thread(metrics_library))
            library = await asyncio.shield(self.library)
        except ImportError as error:
            self.library = None
            return aiohttp.web.json_response({"error": f"no metrics: {error}"}, status=UNAVAILABLE)
        if self.registry is None:
            self.registry = library.CollectorRegistry()
            self.registry.register(Collector(library, self.families))
            library.ProcessCollector(registry=self.registry)
        headers = {"Content-Type": library.CONTENT_TYPE_LATEST}
        return aiohttp.web.Response(body=library.generate_latest(self.registry), headers=headers)


def metrics_library() -> types.SimpleNamespace:
    """Import prometheus_client, which takes 2.6 MB and 35 ms, so only when it is used.

    It can't be imported without ssl, so a process that was started without ssl makes it available during the
    import."""
    if sys.modules.get("ssl", sys) is not None:
        return _import_metrics_library()
    replaced = {name: sys.modules.pop(name) for name in REIMPORTED_MODULES if name in sys.modules}
    try:
        return _import_metrics_library()
    finally:
        sys.modules.update(replaced)


def _import_metrics_library() -> types.SimpleNamespace:
    client = importlib.import_module("prometheus_client")
    core = importlib.import_module("prometheus_client.core")
    return types.SimpleNamespace(
        CollectorRegistry=client.CollectorRegistry,
        ProcessCollector=client.ProcessCollector,
        CONTENT_TYPE_LATEST=client.CONTENT_TYPE_LATEST,
        generate_latest=client.generate_latest,
        families={
            "gauge": core.GaugeMetricFamily,
            "counter": core.CounterMetricFamily,
            "histogram": core.HistogramMetricFamily,
        },
    )


class Collector:
    """Converts the metrics of this process to the families of prometheus_client."""

    def __init__(
        self, library: types.SimpleNamespace, families: collections.abc.Callable[[], Families]
    ) -> None:
        """Create a collector; `library` is the result of `metrics_library`."""
        self.library = library
        self.families = families

    def collect(self) -> collections.abc.Iterator[object]:
        """Yield all metric families in the library's form."""
        for name, kind, help, labels, samples in self.families():
            family = self.library.families[kind](name, help, labels=labels)
            for values, value in samples:
                self.add(family, [str(label) for label in values], value)
            yield family

    def add(self, family: typing.Any, labels: list[str], value: float | latency_histograms.Histogram) -> None:
        """Add one sample to a family of the library."""
        if isinstance(value, latency_histograms.Histogram):
            family.add_metric(labels, buckets=value.buckets(), sum_value=value.sum_s())
            return
        family.add_metric(labels, value)


class ControllerServer(typing.Protocol):
    """The attributes of a controller's process that the pages read."""

    member: typing.Any
    listed_at: int | None


def controller_admin(server: ControllerServer, now: Clock = identifiers.steady) -> Admin:
    """Returns the pages of a controller.

    A follower redirects to the leader with 307, or answers 503 with its own status if it knows no leader.
    With `?own=1` every controller answers from its own state."""

    def status(time: int) -> dict[str, typing.Any]:
        """Returns the status document from this controller's own state."""
        return status_view.status(server.member, time, server.listed_at)

    def leader_page(name: str, document: collections.abc.Callable[[int], dict[str, typing.Any]]) -> PageMaker:
        """Returns a page that followers redirect to the leader."""

        def page(query: Query) -> Page:
            """Returns the document, or a redirect to the leader."""
            if server.member.leading or query.get("own"):
                return Page(OK, document(now()))
            leader = status_view.leader(server.member)
            if leader is None:
                return Page(UNAVAILABLE, {"error": "no leader", **status(now())})
            if not leader["http"]:
                error = f"ask the leader, {leader['name']}"
                return Page(UNAVAILABLE, {"error": error, "leader": leader["name"]})
            location = f"http://{leader['http']}{admin_pages.PREFIX}{name}"
            return Page(REDIRECT, {"leader": leader["name"]}, {"Location": location})

        return page

    documents = {
        "status": status,
        "placement": lambda time: placement_view.page(server.member, time),
        "configuration": lambda time: status_view.configuration(server.member, time),
        "members": lambda time: status_view.members(server.member, time),
    }
    pages = {name: leader_page(name, document) for name, document in documents.items()}
    return Admin(pages, lambda: metrics.families(server.member, now(), server.listed_at))


class ProxyServer(typing.Protocol):
    """The attributes of a proxy's process that the pages read."""

    member: typing.Any


def proxy_admin(server: ProxyServer, now: Clock = identifiers.steady) -> Admin:
    """Returns the pages of a proxy."""

    def status(query: Query) -> Page:
        """Returns the page `status` of the proxy."""
        return Page(OK, proxy_pages.status(server.member, now()))

    def explain(query: Query) -> Page:
        """Returns the page `explain`: how a request would be handled now."""
        if not query.get("host") or not query.get("path", "").startswith("/"):
            return Page(BAD_REQUEST, {"error": "needs host and path, as /a/b"})
        try:
            deadline_ms, tokens = int(query.get("deadline_ms", -1)), int(query.get("tokens", 0))
        except ValueError:
            return Page(BAD_REQUEST, {"error": "deadline_ms and tokens are whole numbers"})
        request = query["host"], query["path"], query.get("item", ""), deadline_ms, tokens
        tenant = query.get("tenant", "")
        return Page(OK, proxy_pages.explain(server.member, now(), *request, tenant=tenant))

    pages: dict[str, PageMaker] = {"status": status, "explain": explain}
    return Admin(pages, lambda: proxy_pages.samples(server.member, now()))
