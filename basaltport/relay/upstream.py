"""Sends attempts to replicas and tells what is proven of each."""

import asyncio

import aiohttp
import multidict
import yarl

import basaltport.relay.connections as connections
import basaltport.relay.decision as decision
import basaltport.relay.outcomes as outcomes
import basaltport.replica_client.adapter as adapter

Outcome = outcomes.Outcome
Result = outcomes.Result

HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
}
SKIP = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
WHOLE = 16 << 20
CONNECT = 0.4
SWITCHING = 101
BODILESS = (204, 304)
"""Statuses whose answers have no body."""


def end_to_end(headers):
    """Headers but those of a single connection."""
    drop = set(HOP)
    for v in headers.getall("Connection", ()):
        drop.update(x.strip().lower() for x in v.split(","))
    return multidict.CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in drop)


def states_its_end(r: aiohttp.ClientResponse) -> bool:
    """Whether a head tells where its body ends. Where only the end of the connection does, a body that
    was cut can't be told from a whole one."""
    if r.method == "HEAD" or r.status in BODILESS:
        return True
    return "Content-Length" in r.headers or "chunked" in r.headers.get("Transfer-Encoding", "").lower()


class Foreign(Exception):
    """The bytes are not the answer to what was sent."""


class Departed(Exception):
    """The client takes no more."""


class Upstream:
    def __init__(self, words):
        self.words = words
        self.session = None
        self.needs = {}
        self.written = set()

    async def start(self):
        self.connector = connections.Connector(self.got, self.need_of)
        self.session = adapter.once_session(
            connector=self.connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT),
            skip_auto_headers=SKIP,
            max_line_size=16_384,
            max_field_size=32_768,
        )

    async def stop(self):
        await self.session.close()

    def need_of(self, req):
        return self.needs[int(req.headers[MARK])]

    def got(self, req):
        self.written.add(int(req.headers.pop(MARK)))

    def heads(self, e, sink, left):
        w = self.words
        h = multidict.CIMultiDict(sink.heads)
        h[w.deadline] = str(max(1, left))
        h[w.expect_replica] = e.replica
        h[w.priority] = str(e.priority)
        h[MARK] = str(e.attempt)
        last = sink.resume()
        if last:
            h[w.resume] = last
        return h

    async def run(self, e, sink, progress):
        """The `outcomes.Result` of an attempt."""
        self.needs[e.attempt] = connections.Need(sink.request_id, not e.repeatable)
        try:
            async with asyncio.timeout(e.left / 1000):
                return await self.once(e, sink, progress)
        except TimeoutError:
            return self.lost(e, sink, Outcome.LATE, "the time is over")
        except asyncio.CancelledError:
            asyncio.current_task().uncancel()
            return self.lost(e, sink, Outcome.BROKEN, "stopped")
        except Departed as x:
            return Result(Outcome.GONE, 0, str(x))
        except Foreign as x:
            return self.lost(e, sink, Outcome.BROKEN, str(x))
        except (aiohttp.ClientError, OSError, ValueError) as x:
            return self.lost(e, sink, Outcome.BROKEN, type(x).__name__)
        finally:
            del self.needs[e.attempt]
            self.written.discard(e.attempt)

    def sent(self, attempt):
        """Whether a byte of an attempt may have left: so from the step in which it took its connection. The
        library writes without telling, so what it has a connection for counts as sent, whatever it raises."""
        return attempt in self.written

    def lost(self, e, sink, outcome, why):
        """The end of an attempt that has no whole answer."""
        if not self.sent(e.attempt):
            return Result(Outcome.UNSENT, 0, why)
        if sink.begun:
            return Result(Outcome.CUT, 0, why, sink.can_resume() and outcome is not Outcome.LATE)
        return Result(outcome, 0, why)

    async def once(self, e, sink, progress):
        url = yarl.URL(f"http://{e.address}{sink.path}", encoded=True)
        heads = self.heads(e, sink, e.left)
        async with self.session.request(
            sink.method, url, headers=heads, data=sink.body or None, allow_redirects=False
        ) as r:
            progress()
            self.hear_limit(e.attempt, r)
            return await self.answer(e, sink, r, progress)

    def hear_limit(self, attempt, r):
        """The replica's word on how long it keeps the connection. An answer that came whole with its head has
        given its connection back by now, so it is asked of the attempt."""
        stated = connections.seconds(r.headers.get("Keep-Alive"))
        if stated is not None:
            self.needs[attempt].protocol.keep_s = stated

    async def answer(self, e, sink, r, progress):
        w, h = self.words, r.headers
        if h.get(w.request_id) != sink.request_id:
            r.close()
            raise Foreign("the answer is of another request")
        if r.status == SWITCHING:
            r.close()
            raise Foreign("nobody asked for another protocol")
        if r.status == 421:
            await self.whole(r)
            return Result(Outcome.ABSENT if h.get(w.replica) == e.replica else Outcome.MOVED, 421)
        if w.not_run in h:
            await self.whole(r)
            return Result(Outcome.REFUSED, r.status, f"refused by the replica: {r.status}")
        if h.get("Content-Encoding", "identity").lower() != "identity":
            r.close()
            raise Foreign("the answer is encoded")
        if 200 <= r.status < 300 and w.stamp not in h:
            r.close()
            raise Foreign("the answer has no stamp")
        if 200 <= r.status < 300 and sink.streams:
            return await self.stream(e, sink, r, progress)
        if not states_its_end(r):
            r.close()
            raise Foreign("an answer without an end")
        raw = await self.whole(r)
        if r.status >= 500 or r.status in decision.PROMISES:
            sink.keep(e.attempt, r.status, end_to_end(h), raw)
            return Result(Outcome.FAILED, r.status)
        if sink.begun:
            return Result(Outcome.FAILED, r.status, "a run that should go on does not")
        await sink.whole(r.status, end_to_end(h), raw)
        return Result(Outcome.DONE, r.status)

    async def whole(self, r):
        """The whole body, or an error if it ends early; what is over WHOLE is no answer."""
        raw = bytearray()
        async for c in r.content.iter_any():
            raw += c
            if len(raw) > WHOLE:
                r.close()
                raise Foreign("the answer is too long")
        return bytes(raw)

    async def stream(self, e, sink, r, progress):
        if not states_its_end(r):
            r.close()
            raise Foreign("a stream without an end")
        async for c in r.content.iter_any():
            progress()
            await sink.part(r.status, r.headers, c)
        await sink.end(r.status, r.headers)
        return Result(Outcome.DONE, r.status)


MARK = "X-Basaltport-Attempt"
