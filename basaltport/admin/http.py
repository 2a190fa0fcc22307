"""Operators' HTTP at every node. Changes and reads are agreed; `self` tells of this node alone."""

import asyncio
import hashlib
import hmac

import aiohttp.web

import basaltport.admin.desk as desk
import basaltport.configuration.read as read
import basaltport.events as events
import basaltport.identifiers as identifiers


class Clerk:
    def __init__(self, host):
        self.host = host
        self.calls = {}
        self.n = 0

    def routes(self, app):
        app.router.add_get("/live", self.live)
        app.router.add_get("/v1/self", self.guarded(self.self_))
        app.router.add_post("/v1/ops/{verb}", self.guarded(self.ask))
        app.router.add_get("/v1/ops/{verb}", self.guarded(self.ask))
        app.router.add_post("/v1/prewarm", self.guarded(self.prewarm))
        app.router.add_post("/v1/stop", self.guarded(self.stop))
        app.router.add_post("/v1/override", self.guarded(self.override))

    def guarded(self, handler):
        """The handler for those only who hold the operators' token, where there is one."""

        async def wrapped(request):
            if not self.allowed(request):
                return self.no(401, "unauthorized", "an operator's bearer token is needed")
            return await handler(request)

        return wrapped

    def allowed(self, request):
        want = self.host.settings.get("operator_token")
        if not want:
            return True
        h = request.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        return hmac.compare_digest("sha256:" + hashlib.sha256(h.encode()).hexdigest(), want)

    def no(self, status, error, detail):
        return aiohttp.web.json_response({"error": error, "detail": detail, "changed": False}, status=status)

    async def live(self, request):
        m = self.host.member
        ready = m.leased() if self.host.role == "rostrum" else m.book["serial"] > 0
        ready = ready and not self.host.stopping
        return aiohttp.web.json_response({"ready": bool(ready)}, status=200 if ready else 503)

    async def self_(self, request):
        m = self.host.member
        g, s = m.head()
        out = {
            **self.host.me.row(),
            "serial": int(m.book["serial"]),
            "manifest_serial": int(m.book["mserial"]),
            "held": [list(g), int(s)],
            "leader": m.leader.name if m.leader else (m.me.name if getattr(m, "leading", False) else None),
        }
        if self.host.role == "ledger":
            out["missing"] = m.missing() if m.camp else []
        if self.host.role == "rostrum":
            out["leased"] = m.leased()
            out["counts"] = dict(m.tally)
            out["lines"] = {n.name: n.size for n in m.lines.by_name.values()}
            out["runtime"] = m.runtime_status()
            out["duties"] = sorted(m.duties)
        return aiohttp.web.json_response(out)

    async def prewarm(self, request):
        if self.host.role != "rostrum":
            return self.no(404, "not-here", "ask a rostrum")
        try:
            items = (await request.json())["items"]
        except (ValueError, KeyError, TypeError):
            return self.no(400, "malformed", "an object with a list `items` is needed")
        m = self.host.member
        bad = [i for i in items if i not in m.rules.items] if isinstance(items, list) else items
        if not isinstance(items, list) or bad:
            return self.no(422, "unknown-model", f"not in the manifest: {bad}")
        self.host.step(events.Prewarm(identifiers.steady(), [identifiers.Item(i) for i in items]))
        return aiohttp.web.json_response({"asked": items})

    async def stop(self, request):
        self.host.end.set()
        return aiohttp.web.json_response({"stopping": self.host.me.name})

    async def override(self, request):
        if self.host.role != "ledger":
            return self.no(404, "not-here", "ask a ledger")
        try:
            lost = (await request.json())["lost"]
        except (ValueError, KeyError, TypeError):
            return self.no(400, "malformed", "an object with a list `lost` is needed")
        if not isinstance(lost, list) or not lost or not all(isinstance(x, str) for x in lost):
            return self.no(400, "malformed", "`lost` is a list of names")
        why = self.host.override(lost)
        if why:
            return self.no(409, "refused", why)
        return aiohttp.web.json_response({"given_up": sorted(lost)})

    async def ask(self, request):
        verb = request.match_info["verb"]
        if verb not in desk.READS + desk.CHANGES:
            return self.no(404, "unknown-verb", f"verbs: {', '.join(desk.READS + desk.CHANGES)}")
        if (request.method == "POST") != (verb in desk.CHANGES):
            return self.no(405, "wrong-method", "changes are POST, reads are GET")
        body = dict(request.query)
        if request.method == "POST":
            try:
                got = read.loads(await request.text())
            except UnicodeDecodeError:
                return self.no(400, "malformed", "the body is not text")
            if got.is_err():
                b = {"error": "malformed", "findings": got.err_value, "changed": False}
                return aiohttp.web.json_response(b, status=400)
            body = got.ok_value
            if not isinstance(body, dict):
                return self.no(400, "malformed", "the body is not an object")
            body.pop("checked", None)
            bad = desk.malformed(body)
            if bad:
                return self.no(400, "malformed", bad)
        self.n += 1
        call = f"{self.host.me.seat}-{self.n}"
        f = self.calls[call] = asyncio.get_running_loop().create_future()
        self.host.step(events.Asked(identifiers.steady(), call, verb, body))
        try:
            status, doc = await f
        finally:
            self.calls.pop(call, None)
        return aiohttp.web.json_response(doc, status=status)

    def answer(self, call, status, body):
        f = self.calls.get(call)
        if f and not f.done():
            f.set_result((status, body))
