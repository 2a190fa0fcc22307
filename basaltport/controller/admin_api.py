"""The product's own HTTP for operators of controllers and proxies: GETs under /basaltport/, off the state."""

import asyncio
import importlib
import json
import sys
import types

import aiohttp.web

import basaltport.controller.admin_pages as pages
import basaltport.controller.status_view as view
import basaltport.identifiers as identifiers
import basaltport.proxy.status_pages as proxy_status


SHADOWED = ("ssl", "http.client", "urllib.request")


class Admin:
    """`pages`: {name: function of the query -> (status, document, headers)}; `samples`: () -> families as of
    controller.view.samples."""

    def __init__(self, pages, samples):
        self.pages = pages
        self.samples = samples
        self.library = None
        self.registry = None

    async def serve(self, request):
        name = request.path.removeprefix(pages.PREFIX)
        if name != "metrics" and name not in self.pages:
            got = 404, {"error": "no such page", "pages": sorted([*self.pages, "metrics"])}, None
        elif request.method != "GET":
            got = 405, {"error": "only GET"}, {"Allow": "GET"}
        elif name == "metrics":
            return await self.metrics()
        else:
            got = self.pages[name](request.query)
        status, doc, heads = got
        text = json.dumps(doc, default=str)
        return aiohttp.web.Response(status=status, text=text, content_type="application/json", headers=heads)

    async def metrics(self):
        """The library is read beside the loop, when it is first asked for."""
        try:
            if self.library is None:
                self.library = asyncio.ensure_future(asyncio.to_thread(library))
            lib = await asyncio.shield(self.library)
        except ImportError as e:
            self.library = None
            return aiohttp.web.json_response({"error": f"no metrics: {e}"}, status=503)
        if self.registry is None:
            self.registry = lib.CollectorRegistry()
            self.registry.register(Collector(lib, self.samples))
            lib.ProcessCollector(registry=self.registry)
        headers = {"Content-Type": lib.CONTENT_TYPE_LATEST}
        return aiohttp.web.Response(body=lib.generate_latest(self.registry), headers=headers)


def library():
    """prometheus_client (2.6 MB and 35 ms, so only where it is used). It cannot be imported without ssl, so
    where the process was started without, that is there while it is."""
    if sys.modules.get("ssl", sys) is not None:
        return _parts()
    kept = {k: sys.modules.pop(k) for k in SHADOWED if k in sys.modules}
    try:
        return _parts()
    finally:
        sys.modules.update(kept)


def _parts():
    p = importlib.import_module("prometheus_client")
    core = importlib.import_module("prometheus_client.core")
    return types.SimpleNamespace(
        CollectorRegistry=p.CollectorRegistry,
        ProcessCollector=p.ProcessCollector,
        CONTENT_TYPE_LATEST=p.CONTENT_TYPE_LATEST,
        generate_latest=p.generate_latest,
        gauge=core.GaugeMetricFamily,
        counter=core.CounterMetricFamily,
    )


class Collector:
    def __init__(self, lib, samples):
        self.lib = lib
        self.samples = samples

    def collect(self):
        for name, kind, help, labels, rows in self.samples():
            f = getattr(self.lib, kind)(name, help, labels=labels)
            for values, n in rows:
                f.add_metric([str(v) for v in values], n)
            yield f


# controllers


def controller_admin(shell, now=identifiers.steady):
    """For a ControllerServer. What only the leader knows is asked of it: 307 to it; 503 with none, and
    what this controller knows itself, as `?own=1` gives it at any time."""

    def listed():
        return shell.listed_at

    def led(name, make):
        def page(query):
            m, t = shell.member, now()
            if m.leading or query.get("own"):
                return 200, make(m, t), None
            x = view.leader(m)
            if x is None:
                return 503, {"error": "no leader", **view.status(m, t, listed())}, None
            if not x["http"]:
                return 503, {"error": f"ask the leader, {x['name']}", "leader": x["name"]}, None
            return 307, {"leader": x["name"]}, {"Location": f"http://{x['http']}{pages.PREFIX}{name}"}

        return page

    makes = {"status": lambda m, t: view.status(m, t, listed())}
    makes |= {k: getattr(view, k) for k in ("placement", "configuration", "members")}
    all_ = {k: led(k, f) for k, f in makes.items()}
    return Admin(all_, lambda: view.samples(shell.member, now(), listed()))


# proxies


def proxy_admin(shell, now=identifiers.steady):
    """For a ProxyServer."""

    def explain(query):
        if not query.get("host") or not query.get("path", "").startswith("/"):
            return 400, {"error": "needs host and path, as /a/b"}, None
        try:
            deadline, tokens = int(query.get("deadline_ms", -1)), int(query.get("tokens", 0))
        except ValueError:
            return 400, {"error": "deadline_ms and tokens are whole numbers"}, None
        args = query["host"], query["path"], query.get("item", ""), deadline, tokens
        return 200, proxy_status.explain(shell.member, now(), *args), None

    all_ = {"status": lambda query: (200, proxy_status.status(shell.member, now()), None), "explain": explain}
    return Admin(all_, lambda: proxy_status.samples(shell.member, now()))
