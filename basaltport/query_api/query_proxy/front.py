"""The senders' side of a rostrum: reads queries whole, relays replies, ends broken ones abnormally."""

import asyncio
import hashlib
import json

import aiohttp.web

import basaltport.query_api.replica_client.adapter as adapter
import basaltport.events as events
import basaltport.identifiers as identifiers

QUERY = "Basaltport-Query"
KEY = "Idempotency-Key"
FAILED = 1000
STOPPING = 1000


class Deaf:
    """The sink of a sender that is gone, where a key's reply is wanted all the same."""

    begun = False

    async def whole(self, status, doc):
        pass

    async def piece(self, n, piece):
        pass

    async def end(self, n):
        pass

    async def cut(self):
        pass


class Sink:
    """Where a query's final word or its reply goes; each query gets exactly one end. With a key, what
    a sender that went away no longer hears is read to its end."""

    def __init__(self, request, query, key=""):
        self.key = key
        self.gone = False
        self.request = request
        self.query = query
        self.done = asyncio.get_running_loop().create_future()
        self.reply = None
        self.begun = False

    def close(self, status, body, retry):
        if self.done.done():
            return
        h = {QUERY: self.query, adapter.RAN: body.get("ran", "unknown")}
        if retry:
            h["Retry-After"] = str(-(-retry // 1000))
        self.done.set_result(aiohttp.web.json_response(body, status=status, headers=h))

    async def whole(self, status, doc):
        if self.done.done():
            return
        ok = status < 400
        body = {"query": self.query, "ran": "yes", "reply": doc.get("reply")}
        if not ok:
            body = {
                "query": self.query,
                "ran": "yes",
                "error": "replica-failed",
                "detail": doc.get("error", ""),
                "retry_after_ms": FAILED,
            }
        h = {QUERY: self.query, adapter.RAN: "yes"}
        if not ok:
            h["Retry-After"] = str(-(-FAILED // 1000))
        self.done.set_result(aiohttp.web.json_response(body, status=200 if ok else 502, headers=h))

    async def again(self, status, reply):
        """The kept reply of the first query with this key."""
        if "pieces" not in reply:
            await self.whole(status, reply)
            return
        try:
            for n, p in enumerate(reply["pieces"]):
                await self.piece(n, p)
            await self.end(len(reply["pieces"]))
        except OSError:
            await self.cut()

    async def write(self, doc):
        try:
            await self.reply.write(json.dumps(doc).encode() + b"\n")
        except OSError:
            if not self.key:
                raise
            self.gone = True

    async def piece(self, n, piece):
        if self.gone:
            return
        if self.reply is None:
            self.begun = True
            h = {QUERY: self.query, adapter.RAN: "yes", "Content-Type": "application/x-ndjson"}
            self.reply = aiohttp.web.StreamResponse(headers=h)
            await self.reply.prepare(self.request)
        await self.write({"n": n, "piece": piece})

    async def end(self, n):
        if self.gone:
            return
        if self.reply is None:
            await self.whole(200, {"reply": ""})
            return
        await self.write({"end": True, "pieces": n})
        if not self.gone:
            await self.reply.write_eof()
        if not self.done.done():
            self.done.set_result(self.reply)

    async def cut(self):
        if self.request.transport is not None:
            self.request.transport.abort()
        if not self.done.done():
            self.done.set_result(self.reply)


def good_key(k):
    return 0 < len(k) <= 255 and k.isascii() and k.isprintable()


def token_of(request):
    h = request.headers.get("Authorization", "")
    if not h.startswith("Bearer "):
        return ""
    return "sha256:" + hashlib.sha256(h[7:].strip().encode()).hexdigest()


class Front:
    def __init__(self, host):
        self.host = host
        self.sinks = {}
        self.n = 0

    def routes(self, app):
        app.router.add_post("/v1/lines/{line}/query", self.query)

    def next_id(self):
        self.n += 1
        return identifiers.RequestId(f"{self.host.me.seat}-{self.n}")

    def bad(self, qid, status, code, detail, retry=0):
        b = {"query": qid, "error": code, "detail": detail, "ran": "no"}
        h = {QUERY: qid, adapter.RAN: "no"}
        if retry:
            b["retry_after_ms"] = retry
            h["Retry-After"] = str(-(-retry // 1000))
        return aiohttp.web.json_response(b, status=status, headers=h)

    async def query(self, request):
        qid = self.next_id()
        if self.host.stopping:
            return self.bad(qid, 503, "stopping", "this node is stopping; ask another", STOPPING)
        try:
            body = await request.clone(client_max_size=self.host.settings["body_limit"]).json()
        except (ValueError, UnicodeDecodeError):
            return self.bad(qid, 400, "malformed", "the body is not JSON")
        if not isinstance(body, dict) or not isinstance(body.get("model"), str) or "prompt" not in body:
            return self.bad(qid, 400, "malformed", "an object with `model` and `prompt` is needed")
        if not isinstance(body.get("adapter", ""), str) or not isinstance(body.get("stream", False), bool):
            return self.bad(qid, 400, "malformed", "`adapter` is a string, `stream` true or false")
        deadline = -1
        raw = request.headers.get(adapter.DEADLINE)
        if raw is not None:
            if not raw.isascii() or not raw.isdigit() or len(raw) > 9:
                return self.bad(
                    qid, 400, "bad-deadline", f"{adapter.DEADLINE} is a whole number of milliseconds"
                )
            deadline = int(raw)
        keys = request.headers.getall(KEY, [])
        if len(keys) > 1 or keys and not good_key(keys[0]):
            return self.bad(qid, 400, "bad-key", f"{KEY} is given once, 1 to 255 visible ASCII characters")
        key = keys[0] if keys else ""
        sink = self.sinks[qid] = Sink(request, qid, key)
        line = request.match_info["line"]
        self.host.step(
            events.Arrived(identifiers.steady(), qid, line, token_of(request), body, deadline, key)
        )
        try:
            return await sink.done
        except asyncio.CancelledError:
            sink.gone = True
            self.host.step(events.Gone(identifiers.steady(), qid))
            raise
        finally:
            self.sinks.pop(qid, None)
