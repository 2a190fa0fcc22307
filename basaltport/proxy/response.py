"""Where a request's one answer goes: whole, in parts, or our own; then its end, clean or not."""

import asyncio
import collections.abc
import dataclasses

import aiohttp
import aiohttp.web
import multidict

import basaltport.proxy.header_names as header_names
import basaltport.proxy.http_headers as http_headers
import basaltport.proxy.memory_limit as memory_limit
import basaltport.proxy.response_stream as response_stream
import basaltport.proxy.routing as routing
import basaltport.proxy.upstream as upstream

SECOND_MS = 1000
LEAST_RETRY_AFTER_S = 0.01
BAD_GATEWAY = 502
LONGEST_EVENT_BYTES = 1 << 18
"""A stream's longest event."""

Headers = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class KeptFailure:
    """A replica's whole answer of failure, as it came."""

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes


class ClientResponse:
    """A client's request and the one answer to it.

    `is_begun`: a part of the answer is out. `done`: what is given to the library at the end. `is_streamed`:
    the answer is passed on as it comes; `is_resumable`: another attempt may go on within it.
    """

    def __init__(
        self,
        request: aiohttp.web.BaseRequest,
        body: bytes,
        names: header_names.HeaderNames,
        is_closing: collections.abc.Callable[[], bool],
        claim: memory_limit.Claim,
    ) -> None:
        """`is_closing`: whether answers now end their connections; `claim`: what its answers hold in
        memory."""
        self.request = request
        self.method = request.method
        self.path = request.raw_path
        self.body = body
        self.headers = http_headers.end_to_end(request.headers, names.not_passed_on())
        self.request_id = request.headers.get(names.request_id)
        self.names = names
        self.is_closing = is_closing
        self.claim = claim
        self.done: asyncio.Future[aiohttp.web.StreamResponse] = asyncio.get_running_loop().create_future()
        self.failures: dict[int, KeptFailure] = {}
        self.reply: aiohttp.web.StreamResponse | None = None
        self.is_begun = False
        self.is_streamed = False
        self.is_resumable = False
        self.events: response_stream.EventStream | None = None

    def has_route(self) -> bool:
        """Whether the request's route is known."""
        return self.events is not None

    def set_route(self, route: routing.Route) -> None:
        """The request's route is known."""
        self.is_streamed = route.kind is routing.Kind.STREAM
        self.is_resumable = route.resumable
        self.events = response_stream.EventStream(passes_whole_events=route.resumable)

    def finish(self, reply: aiohttp.web.StreamResponse) -> None:
        """The answer's end; only the first counts."""
        if not self.done.done():
            self.done.set_result(reply)

    def build(self, status: int, headers: Headers, body: bytes) -> aiohttp.web.Response:
        """An answer whole, as the library has it."""
        reply = aiohttp.web.Response(status=status, headers=headers, body=body)
        if self.is_closing():
            reply.force_close()
        return reply

    # our own answers

    def respond(self, status: int, detail: str, retry_after_ms: int) -> None:
        """An answer of our own; what is begun to be answered is cut instead."""
        if self.is_begun:
            self.cut()
            return
        headers = {"Content-Type": "application/json"}
        if self.request_id:
            headers[self.names.request_id] = self.request_id
        if retry_after_ms:
            headers["Retry-After"] = f"{max(LEAST_RETRY_AFTER_S, retry_after_ms / SECOND_MS):g}"
        self.finish(self.build(status, headers, b'{"error": "%s"}' % detail.replace('"', "'").encode()))

    def cut(self) -> None:
        """End the connection: what is out must not look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()
        self.finish(self.reply or aiohttp.web.Response(status=BAD_GATEWAY))

    # a replica's whole answer

    def keep_failure(
        self, attempt_id: int, status: int, headers: multidict.CIMultiDict[str], body: bytes
    ) -> None:
        """A whole answer of failure, which may be passed on later."""
        self.failures[attempt_id] = KeptFailure(status, headers, body)

    def pass_failure(self, attempt_id: int) -> None:
        """Pass on a kept answer of failure; what is begun to be answered is cut instead."""
        if self.is_begun:
            self.cut()
            return
        kept = self.failures[attempt_id]
        self.finish(self.build(kept.status, kept.headers, kept.body))

    async def send_whole(self, status: int, headers: multidict.CIMultiDict[str], body: bytes) -> None:
        """The whole answer of a replica."""
        self.finish(self.build(status, headers, body))

    # a replica's stream

    def event_stream(self) -> response_stream.EventStream:
        """The stream's events, once the route is known."""
        assert self.events is not None
        return self.events

    def can_resume(self) -> bool:
        """Whether another attempt can go on from what the client has."""
        return self.is_resumable and self.reply is not None and bool(self.event_stream().last_id)

    def resume(self) -> str:
        """The id that the next attempt goes on from; what the last one left of an event is dropped."""
        return self.event_stream().resume()

    async def send_part(self, status: int, headers: multidict.CIMultiDictProxy[str], raw: bytes) -> None:
        """A part of a stream; whole events of it go out at once."""
        stream = self.event_stream()
        ready = stream.take(raw)
        if ready is None:
            raise upstream.InvalidResponseError("the run does not go on where it should")
        if len(stream.incomplete) > LONGEST_EVENT_BYTES:
            raise upstream.InvalidResponseError("an event without an end")
        if ready:
            await self.write(status, headers, ready)

    async def send_end(self, status: int, headers: multidict.CIMultiDictProxy[str]) -> None:
        """The whole end of a stream."""
        rest = self.event_stream().take_incomplete()
        if rest or self.reply is None:
            await self.write(status, headers, rest)
        assert self.reply is not None
        await self.written(self.reply.write_eof())
        self.finish(self.reply)

    async def write(self, status: int, headers: multidict.CIMultiDictProxy[str], raw: bytes) -> None:
        """Bytes to the client, after the head of the first attempt's answer."""
        if self.reply is None:
            self.reply = self.open_stream(status, headers)
            self.is_begun = True
            await self.written(self.reply.prepare(self.request))
        await self.written(self.reply.write(raw))

    def open_stream(
        self, status: int, headers: multidict.CIMultiDictProxy[str]
    ) -> aiohttp.web.StreamResponse:
        """The answer of a stream, with nothing sent."""
        reply = aiohttp.web.StreamResponse(status=status, headers=http_headers.end_to_end(headers))
        if "Content-Length" in headers and not self.is_resumable:
            reply.content_length = int(headers["Content-Length"])
        else:
            reply.enable_chunked_encoding()
        if self.is_closing():
            reply.force_close()
        return reply

    async def written(self, writing: collections.abc.Awaitable[object]) -> None:
        """Await a write to the client."""
        try:
            await writing
        except (OSError, aiohttp.ClientError, RuntimeError) as error:
            raise upstream.ClientGoneError(type(error).__name__)
