"""The one adapter to replicas: dispatches, polls and orders over HTTP, and what is proven of each."""

import asyncio
import json

import aiohttp

import basaltport.replica_client.pieces as pieces
import basaltport.sockets as sockets

DISPATCH = "Basaltport-Dispatch"
SERIAL = "Basaltport-Serial"
DEADLINE = "Basaltport-Deadline-Ms"
RAN = "Basaltport-Ran"
KEEP = 65_536


def once_session(**kw):
    """A session that never sends a request twice by itself."""
    s = aiohttp.ClientSession(**kw)
    s._retry_connection = False
    return s


class Withheld(Exception):
    """The lease, serial or mark was no longer good right before the write."""


class Guarded(aiohttp.TCPConnector):
    """Asks the guard once a wire is there, before a byte of the query goes out."""

    def __init__(self, guard, **kw):
        super().__init__(**kw)
        self.guard = guard
        self.written = set()

    async def connect(self, req, *a, **kw):
        wire = await super().connect(req, *a, **kw)
        d = req.headers.get(DISPATCH)
        if d is None:
            return wire
        serial = self.guard(d)
        if serial is None:
            wire.release()
            raise Withheld(d)
        req.headers[SERIAL] = str(serial)
        self.written.add(d)
        return wire


class Adapter:
    def __init__(self, guard):
        self.guard = guard
        self.session = None

    async def start(self):
        self.wires = Guarded(self.guard, limit=0, keepalive_timeout=10, socket_factory=sockets.factory)
        self.session = once_session(connector=self.wires, auto_decompress=False)

    async def stop(self):
        await self.session.close()

    async def ask(self, method, url, body=None, lapse=1000):
        """(ok, answer) of a poll or an order."""
        try:
            async with asyncio.timeout(lapse / 1000):
                async with self.session.request(method, url, json=body) as r:
                    doc = await r.json(content_type=None)
                    return r.status == 200 and isinstance(doc, dict), doc if isinstance(doc, dict) else {}
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as e:
            return False, {"error": type(e).__name__}

    async def run(self, d, sink):
        """(outcome, status or serial seen, detail, kept reply): done, refused, broken, late or cut."""
        try:
            async with asyncio.timeout(d.timeout / 1000):
                return await self.once(d, sink)
        except TimeoutError:
            if sink.begun:
                await sink.cut()
                return "cut", 0, "time ended in mid-reply", None
            late = d.dispatch in self.wires.written
            return ("late", 0, "", None) if late else ("refused", 0, "no-wire", None)
        except Withheld:
            return "refused", 0, "withheld", None
        except aiohttp.ClientConnectorError:
            return "refused", 0, "no-wire", None
        except (aiohttp.ClientError, OSError, ValueError) as e:
            if sink.begun:
                await sink.cut()
                return "cut", 0, type(e).__name__, None
            return ("broken" if d.dispatch in self.wires.written else "refused"), 0, type(e).__name__, None
        finally:
            self.wires.written.discard(d.dispatch)

    async def once(self, d, sink):
        heads = {DISPATCH: d.dispatch, SERIAL: str(d.serial), DEADLINE: str(d.deadline)}
        async with self.session.post(f"{d.url}/run", json=d.body, headers=heads) as r:
            if r.headers.get(DISPATCH) != d.dispatch:
                return "broken", r.status, "the reply is of another dispatch", None
            if r.headers.get(RAN) == "no":
                doc = await r.json(content_type=None)
                return "refused", int(r.headers.get(SERIAL, 0)), str(doc.get("error", "")), None
            if r.content_type == "application/x-ndjson":
                return await self.stream(d, r, sink)
            raw = await r.read()
            doc = json.loads(raw)
            if not isinstance(doc, dict) or doc.get("dispatch") != d.dispatch:
                return "broken", r.status, "the reply is of another dispatch", None
            await sink.whole(r.status, doc)
            kept = {k: doc[k] for k in ("reply", "error") if k in doc}
            return "done", r.status, "", kept if d.keep and len(raw) <= KEEP else None

    async def stream(self, d, r, sink):
        """Only an end line that counts all pieces ends a stream cleanly."""
        ps, kept, size = pieces.Pieces(d.dispatch), [], 0
        async for raw in r.content:
            kind, n, piece = ps.take(json.loads(raw))
            if kind == "end":
                await sink.end(n)
                return "done", r.status, "", {"pieces": kept} if d.keep and size <= KEEP else None
            await sink.piece(n, piece)
            size += len(raw)
            if d.keep and size <= KEEP:
                kept.append(piece)
        raise aiohttp.ClientPayloadError("no end line")
