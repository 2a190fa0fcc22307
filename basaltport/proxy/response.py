"""Where a request's one answer goes: whole, in parts, or our own word; then its end, clean or not."""

import asyncio
import collections.abc
import dataclasses

import aiohttp
import aiohttp.web
import multidict

import basaltport.proxy.memory_limit as memory_limit
import basaltport.proxy.response_stream as response_stream
import basaltport.proxy.routing as routing
import basaltport.proxy.upstream as upstream
import basaltport.proxy.header_names as header_names

MS = 1000
LEAST_RETRY_S = 0.01
BAD_GATEWAY = 502
LONGEST_EVENT = 1 << 18
"""Bytes of a stream's longest event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """A replica's whole answer of failure, as it came."""

    status: int
    heads: multidict.CIMultiDict[str]
    raw: bytes


class Sink:
    """A client's request and the one answer to it. `begun`: a part of the answer is out; `done`: what is
    given to the library at the end."""

    def __init__(
        self,
        request: aiohttp.web.BaseRequest,
        body: bytes,
        header_names: header_names.Words,
        closing: collections.abc.Callable[[], bool],
        claim: memory_limit.Claim,
    ) -> None:
        """`closing`: whether answers now end their connections; `claim`: what its answers hold in memory."""
        self.request = request
        self.method = request.method
        self.path = request.raw_path
        self.body = body
        self.heads = upstream.end_to_end(request.headers)
        self.request_id = request.headers.get(header_names.request_id)
        self.words = header_names
        self.closing = closing
        self.claim = claim
        self.done: asyncio.Future[aiohttp.web.StreamResponse] = asyncio.get_running_loop().create_future()
        self.kept: dict[int, Kept] = {}
        self.reply: aiohttp.web.StreamResponse | None = None
        self.begun = False
        self.streams = False
        self.resumable = False
        self.pieces: response_stream.Pieces | None = None

    def route(self, route: routing.Route) -> None:
        """The request's route is known."""
        self.streams = route.kind == "stream"
        self.resumable = route.resumable
        self.pieces = response_stream.Pieces(whole=route.resumable)

    def set(self, reply: aiohttp.web.StreamResponse) -> None:
        """The answer's end; only the first counts."""
        if not self.done.done():
            self.done.set_result(reply)

    def made(self, status: int, heads: collections.abc.Mapping[str, str], raw: bytes) -> aiohttp.web.Response:
        """An answer whole, as the library has it."""
        response = aiohttp.web.Response(status=status, headers=heads, body=raw)
        if self.closing():
            response.force_close()
        return response

    def close(self, status: int, detail: str, retry_after: int) -> None:
        """An answer of our own; what is begun to be answered is cut instead."""
        if self.begun:
            self.cut()
            return
        heads = {"Content-Type": "application/json"}
        if self.request_id:
            heads[self.words.request_id] = self.request_id
        if retry_after:
            heads["Retry-After"] = f"{max(LEAST_RETRY_S, retry_after / MS):g}"
        self.set(self.made(status, heads, b'{"error": "%s"}' % detail.replace('"', "'").encode()))

    def keep(self, attempt: int, status: int, heads: multidict.CIMultiDict[str], raw: bytes) -> None:
        """A whole answer of failure, which may be passed on later."""
        self.kept[attempt] = Kept(status, heads, raw)

    def give(self, attempt: int) -> None:
        """Pass on a kept answer of failure; what is begun to be answered is cut instead."""
        if self.begun:
            self.cut()
            return
        kept = self.kept[attempt]
        self.set(self.made(kept.status, kept.heads, kept.raw))

    async def whole(self, status: int, heads: multidict.CIMultiDict[str], raw: bytes) -> None:
        """The whole answer of a replica."""
        self.set(self.made(status, heads, raw))

    def stream(self) -> response_stream.Pieces:
        """The stream's events, once the route is known."""
        assert self.pieces is not None
        return self.pieces

    def can_resume(self) -> bool:
        """Whether another run can go on from what the client has."""
        return self.resumable and self.reply is not None and bool(self.stream().last)

    def resume(self) -> str:
        """The id that the next run goes on from; what the last run left of an event is dropped."""
        return self.stream().resume()

    async def part(self, status: int, heads: multidict.CIMultiDictProxy[str], raw: bytes) -> None:
        """A part of a stream; whole events of it go out at once."""
        out = self.stream().take(raw)
        if out is None:
            raise upstream.ForeignError("the run does not go on where it should")
        if len(self.stream().rest) > LONGEST_EVENT:
            raise upstream.ForeignError("an event without an end")
        if out:
            await self.write(status, heads, out)

    async def write(self, status: int, heads: multidict.CIMultiDictProxy[str], out: bytes) -> None:
        """Bytes to the client, after the head of the first run."""
        if self.reply is None:
            self.reply = self.opened(status, heads)
            self.begun = True
            await self.sent(self.reply.prepare(self.request))
        await self.sent(self.reply.write(out))

    def opened(self, status: int, heads: multidict.CIMultiDictProxy[str]) -> aiohttp.web.StreamResponse:
        """The answer of a stream, with nothing sent."""
        response = aiohttp.web.StreamResponse(status=status, headers=upstream.end_to_end(heads))
        if "Content-Length" in heads and not self.resumable:
            response.content_length = int(heads["Content-Length"])
        else:
            response.enable_chunked_encoding()
        if self.closing():
            response.force_close()
        return response

    async def sent(self, writing: collections.abc.Awaitable[object]) -> None:
        """Awaits a write to the client."""
        try:
            await writing
        except (OSError, aiohttp.ClientError, RuntimeError) as error:
            raise upstream.DepartedError(type(error).__name__)

    async def end(self, status: int, heads: multidict.CIMultiDictProxy[str]) -> None:
        """The whole end of a stream."""
        rest, self.stream().rest = self.stream().rest, b""
        if rest or self.reply is None:
            await self.write(status, heads, rest)
        assert self.reply is not None
        await self.sent(self.reply.write_eof())
        self.set(self.reply)

    def cut(self) -> None:
        """What is out must not look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()
        self.set(self.reply or aiohttp.web.Response(status=BAD_GATEWAY))
