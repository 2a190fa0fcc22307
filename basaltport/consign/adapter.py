"""The one adapter to replicas: dispatches, polls and orders over HTTP, and what is proven of each."""

import asyncio
import json

import aiohttp


DISPATCH = "Basaltport-Dispatch"
SERIAL = "Basaltport-Serial"
DEADLINE = "Basaltport-Deadline-Ms"
RAN = "Basaltport-Ran"


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
        self.wires = Guarded(self.guard, limit=0, keepalive_timeout=10)
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
        """(outcome, status or serial seen, detail): done, refused, broken, late or cut."""
        try:
            async with asyncio.timeout(d.timeout / 1000):
                return await self.once(d, sink)
        except TimeoutError:
            if sink.begun:
                await sink.cut()
                return "cut", 0, "time ended in mid-reply"
            return ("late", 0, "") if d.dispatch in self.wires.written else ("refused", 0, "no-wire")
        except Withheld:
            return "refused", 0, "withheld"
        except aiohttp.ClientConnectorError:
            return "refused", 0, "no-wire"
        except (aiohttp.ClientError, OSError, ValueError) as e:
            if sink.begun:
                await sink.cut()
                return "cut", 0, type(e).__name__
            return ("broken" if d.dispatch in self.wires.written else "refused"), 0, type(e).__name__
        finally:
            self.wires.written.discard(d.dispatch)

    async def once(self, d, sink):
        heads = {DISPATCH: d.dispatch, SERIAL: str(d.serial), DEADLINE: str(d.deadline)}
        async with self.session.post(f"{d.url}/run", json=d.body, headers=heads) as r:
            if r.headers.get(DISPATCH) != d.dispatch:
                return "broken", r.status, "the reply is of another dispatch"
            if r.headers.get(RAN) == "no":
                doc = await r.json(content_type=None)
                return "refused", int(r.headers.get(SERIAL, 0)), str(doc.get("error", ""))
            if r.content_type == "application/x-ndjson":
                return await self.stream(d, r, sink)
            raw = await r.read()
            doc = json.loads(raw)
            if not isinstance(doc, dict) or doc.get("dispatch") != d.dispatch:
                return "broken", r.status, "the reply is of another dispatch"
            await sink.whole(r.status, doc)
            return "done", r.status, ""

    async def stream(self, d, r, sink):
        """Pieces are numbered; only an end line that counts them all ends a stream cleanly."""
        n = 0
        async for raw in r.content:
            doc = json.loads(raw)
            if doc.get("dispatch") != d.dispatch:
                raise ValueError("a piece of another dispatch")
            if doc.get("end"):
                if doc.get("pieces") != n:
                    raise ValueError("the end does not count the pieces")
                await sink.end(n)
                return "done", r.status, ""
            if doc.get("n") != n:
                raise ValueError("a piece out of order")
            await sink.piece(n, doc.get("piece"))
            n += 1
        raise aiohttp.ClientPayloadError("no end line")
