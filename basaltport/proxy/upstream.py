"""Sends attempts to replicas and tells what is proven of each."""

import asyncio
import collections.abc
import typing

import aiohttp
import multidict
import yarl

import basaltport.proxy.upstream_pool as upstream_pool
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.events as events
import basaltport.proxy.memory_limit as memory_limit
import basaltport.proxy.attempt_outcome as attempt_outcome
import basaltport.proxy.header_names as header_names
import basaltport.http_client as http_client

Outcome = attempt_outcome.Outcome
Result = attempt_outcome.Result

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
"""Bytes of the longest answer that is passed on whole."""
CONNECT_S = 0.4
LINE_BYTES = 16_384
FIELD_BYTES = 32_768
READ_BUFFER = 1 << 16
"""Bytes that the library reads of a connection before it waits until they are taken."""
MS = 1000
MARK = "X-Basaltport-Attempt"
"""Bears an attempt's number up to its connection; it is never sent."""
SWITCHING = 101
OK = range(200, 300)
MISDIRECTED = 421
BODILESS = (204, 304)
"""Statuses whose answers have no body."""


def end_to_end(headers: multidict.CIMultiDictProxy[str]) -> multidict.CIMultiDict[str]:
    """Headers but those of a single connection."""
    drop = set(HOP)
    for value in headers.getall("Connection", ()):
        drop.update(name.strip().lower() for name in value.split(","))
    return multidict.CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in drop)


def states_its_end(response: aiohttp.ClientResponse) -> bool:
    """Whether a head tells where its body ends. Where only the end of the connection does, a body that
    was cut can't be told from a whole one."""
    if response.method == "HEAD" or response.status in BODILESS:
        return True
    headers = response.headers
    return "Content-Length" in headers or "chunked" in headers.get("Transfer-Encoding", "").lower()


class ForeignError(Exception):
    """The bytes are not the answer to what was sent."""


class DepartedError(Exception):
    """The client takes no more."""


class Sink(typing.Protocol):
    """What an attempt needs of the request that it is for, and where its answer goes."""

    method: str
    path: str
    body: bytes
    heads: multidict.CIMultiDict[str]
    request_id: str | None
    claim: memory_limit.Claim
    streams: bool
    begun: bool

    def resume(self) -> str:
        """The id that a stream's next run goes on from, or ""."""
        ...

    def can_resume(self) -> bool:
        """Whether another run can go on from what the client has."""
        ...

    def keep(self, attempt: int, status: int, heads: multidict.CIMultiDict[str], raw: bytes) -> None:
        """A whole answer of failure, which may be passed on later."""
        ...

    async def whole(self, status: int, heads: multidict.CIMultiDict[str], raw: bytes) -> None:
        """The whole answer."""
        ...

    async def part(self, status: int, heads: multidict.CIMultiDictProxy[str], raw: bytes) -> None:
        """A part of a stream."""
        ...

    async def end(self, status: int, heads: multidict.CIMultiDictProxy[str]) -> None:
        """The whole end of a stream."""
        ...


Progress = collections.abc.Callable[[], None]


class Upstream:
    """Attempts at replicas, each on a connection of its own for as long as it lasts."""

    session: aiohttp.ClientSession
    connector: upstream_pool.Connector

    def __init__(self, header_names: header_names.Words) -> None:
        """`header_names`: those that replicas know."""
        self.words = header_names
        self.needs: dict[int, upstream_pool.Need] = {}
        self.written: set[int] = set()

    async def start(self) -> None:
        """Ready for attempts."""
        self.connector = upstream_pool.Connector(self.got, self.need_of)
        self.session = http_client.once_session(
            connector=self.connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
            skip_auto_headers=SKIP,
            max_line_size=LINE_BYTES,
            max_field_size=FIELD_BYTES,
            read_bufsize=READ_BUFFER,
        )

    async def stop(self) -> None:
        """Ends all connections."""
        await self.session.close()

    def need_of(self, request: upstream_pool.Request) -> upstream_pool.Need:
        """What the attempt of a library's request needs of its connection."""
        return self.needs[int(request.headers[MARK])]

    def got(self, request: upstream_pool.Request) -> None:
        """A request has its connection: from here on it counts as sent."""
        self.written.add(int(request.headers.pop(MARK)))

    def heads(self, attempt: events.Attempt, sink: Sink) -> multidict.CIMultiDict[str]:
        """The headers that go to the replica."""
        names = self.words
        heads = multidict.CIMultiDict(sink.heads)
        heads[names.deadline] = str(max(1, attempt.left))
        heads[names.expect_replica] = attempt.replica
        heads[names.priority] = str(attempt.priority)
        heads[MARK] = str(attempt.attempt)
        last = sink.resume()
        if last:
            heads[names.resume] = last
        return heads

    async def run(self, attempt: events.Attempt, sink: Sink, progress: Progress) -> Result:
        """One attempt, to its end."""
        self.needs[attempt.attempt] = upstream_pool.Need(sink.request_id, not attempt.repeatable)
        try:
            async with asyncio.timeout(attempt.left / MS):
                return await self.once(attempt, sink, progress)
        except TimeoutError:
            return self.lost(attempt, sink, Outcome.LATE, "the time is over")
        except asyncio.CancelledError:
            typing.cast("asyncio.Task[None]", asyncio.current_task()).uncancel()
            return self.lost(attempt, sink, Outcome.BROKEN, "stopped")
        except DepartedError as error:
            return Result(Outcome.GONE, 0, str(error))
        except ForeignError as error:
            return self.lost(attempt, sink, Outcome.BROKEN, str(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return self.lost(attempt, sink, Outcome.BROKEN, type(error).__name__)
        finally:
            del self.needs[attempt.attempt]
            self.written.discard(attempt.attempt)

    def sent(self, attempt: int) -> bool:
        """Whether a byte of an attempt may have left: so from the step in which it took its connection. The
        library writes without telling, so what it has a connection for counts as sent, whatever it raises."""
        return attempt in self.written

    def lost(self, attempt: events.Attempt, sink: Sink, outcome: Outcome, why: str) -> Result:
        """The end of an attempt that has no whole answer."""
        if not self.sent(attempt.attempt):
            return Result(Outcome.UNSENT, 0, why)
        if sink.begun:
            return Result(Outcome.CUT, 0, why, sink.can_resume() and outcome is not Outcome.LATE)
        return Result(outcome, 0, why)

    async def once(self, attempt: events.Attempt, sink: Sink, progress: Progress) -> Result:
        """The request and its answer, on one connection."""
        url = yarl.URL(f"http://{attempt.address}{sink.path}", encoded=True)
        heads = self.heads(attempt, sink)
        async with self.session.request(
            sink.method, url, headers=heads, data=sink.body or None, allow_redirects=False
        ) as response:
            progress()
            self.hear_limit(attempt.attempt, response)
            return await self.answer(attempt, sink, response, progress)

    def hear_limit(self, attempt: int, response: aiohttp.ClientResponse) -> None:
        """The replica's word on how long it keeps the connection. An answer that came whole with its head has
        given its connection back by now, so it is asked of the attempt."""
        stated_s = upstream_pool.seconds(response.headers.get("Keep-Alive"))
        protocol = self.needs[attempt].protocol
        if stated_s is not None and protocol is not None:
            protocol.keep_s = stated_s

    async def answer(
        self, attempt: events.Attempt, sink: Sink, response: aiohttp.ClientResponse, progress: Progress
    ) -> Result:
        """What a head says, and the body that belongs to it."""
        names, heads = self.words, response.headers
        if heads.get(names.request_id) != sink.request_id:
            raise refused(response, "the answer is of another request")
        if response.status == SWITCHING:
            raise refused(response, "nobody asked for another protocol")
        if response.status == MISDIRECTED:
            await self.discard(response)
            held = heads.get(names.replica) == attempt.replica
            return Result(Outcome.ABSENT if held else Outcome.MOVED, MISDIRECTED)
        if names.not_run in heads:
            await self.discard(response)
            return Result(Outcome.REFUSED, response.status, f"refused by the replica: {response.status}")
        self.check_body(response)
        if response.status in OK and sink.streams:
            return await self.stream(attempt, sink, response, progress)
        return await self.plain(attempt, sink, response)

    def check_body(self, response: aiohttp.ClientResponse) -> None:
        """Raises where the body can't be the replica's own and whole."""
        if response.headers.get("Content-Encoding", "identity").lower() != "identity":
            raise refused(response, "the answer is encoded")
        if response.status in OK and self.words.stamp not in response.headers:
            raise refused(response, "the answer has no stamp")
        if not states_its_end(response):
            raise refused(response, "an answer without an end")

    async def plain(self, attempt: events.Attempt, sink: Sink, response: aiohttp.ClientResponse) -> Result:
        """An answer that is passed on, or kept, once it is whole."""
        raw = await self.whole(response, sink)
        status, heads = response.status, end_to_end(response.headers)
        if status >= retry_decision.SERVER_ERROR or status in retry_decision.PROMISES:
            sink.keep(attempt.attempt, status, heads, raw)
            return Result(Outcome.FAILED, status)
        if sink.begun:
            return Result(Outcome.FAILED, status, "a run that should go on does not")
        await sink.whole(status, heads, raw)
        return Result(Outcome.DONE, status)

    async def whole(self, response: aiohttp.ClientResponse, sink: Sink) -> bytes:
        """The whole body, or an error if it ends early; what is over WHOLE, or finds no room in memory, is no
        answer. One that states its length waits for its room; the replica is not read for as long."""
        stated = 0 if response.method == "HEAD" else response.content_length or 0
        if stated > min(WHOLE, sink.claim.room.bound):
            raise refused(response, "the answer is too long")
        before = sink.claim.size
        try:
            await sink.claim.wait(stated)
            return await self.gathered(response, sink.claim, stated)
        except BaseException:
            sink.claim.give(sink.claim.size - before)
            raise

    async def gathered(
        self, response: aiohttp.ClientResponse, claim: memory_limit.Claim, stated: int
    ) -> bytes:
        """The whole body; `stated` bytes of it have their room."""
        raw = bytearray()
        async for part in response.content.iter_any():
            raw += part
            if len(raw) > WHOLE or len(raw) > stated and not claim.add(len(part)):
                raise refused(response, "the answer is too long")
        return bytes(raw)

    async def discard(self, response: aiohttp.ClientResponse) -> None:
        """Reads a body that is not needed, so that its connection can be used again."""
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > WHOLE:
                raise refused(response, "the answer is too long")

    async def stream(
        self, attempt: events.Attempt, sink: Sink, response: aiohttp.ClientResponse, progress: Progress
    ) -> Result:
        """An answer that is passed on as it comes."""
        async for part in response.content.iter_any():
            progress()
            await sink.part(response.status, response.headers, part)
        await sink.end(response.status, response.headers)
        return Result(Outcome.DONE, response.status)


def refused(response: aiohttp.ClientResponse, why: str) -> ForeignError:
    """The error for an answer that is none; its connection is ended."""
    response.close()
    return ForeignError(why)
