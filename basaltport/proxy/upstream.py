"""Sends attempts to replicas and determines what the end of each proves."""

import asyncio
import typing

import aiohttp
import multidict
import yarl

import basaltport.http_client as http_client
import basaltport.proxy.attempt_outcome as attempt_outcome
import basaltport.proxy.events as events
import basaltport.proxy.header_names as header_names
import basaltport.proxy.http_headers as http_headers
import basaltport.proxy.memory_limit as memory_limit
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.upstream_pool as upstream_pool

Outcome = attempt_outcome.Outcome
Result = attempt_outcome.Result

HEADERS_NOT_ADDED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that aiohttp would add by default."""
MAX_RESPONSE_BYTES = 16 << 20
"""Maximum size of a response that is not streamed."""
CONNECT_TIMEOUT_S = 0.4
LINE_BYTES = 16_384
"""Maximum size of a request or status line."""
FIELD_BYTES = 32_768
"""Maximum size of a header field."""
READ_BUFFER_BYTES = 1 << 16
"""Bytes that aiohttp buffers per connection before it stops reading."""
SECOND_MS = 1000
ATTEMPT_HEADER = "X-Basaltport-Attempt"
"""Internal header that identifies the attempt in the connection pool; it is removed before sending."""
SWITCHING = 101
SUCCESS = range(200, 300)
MISDIRECTED = 421


class InvalidResponseError(Exception):
    """Raised when the received bytes are not a valid response to the request."""


class ClientGoneError(Exception):
    """Raised when the client no longer reads its response."""


class ResponseSink(typing.Protocol):
    """The request of an attempt and the destination of its response."""

    method: str
    path: str
    body: bytes
    headers: multidict.CIMultiDict[str]
    request_id: str | None
    claim: memory_limit.Claim
    is_streamed: bool
    is_started: bool

    def resume(self) -> str:
        """Returns the id that a stream's next attempt resumes after, or ""."""
        ...

    def can_resume(self) -> bool:
        """Whether another attempt can continue from what the client has received."""
        ...

    def store_failure(
        self, attempt_id: int, status: int, headers: multidict.CIMultiDict[str], body: bytes
    ) -> None:
        """Store a complete error response, which may be passed on later."""
        ...

    def is_inside_event(self) -> bool:
        """Whether the part of the stream that this attempt received ends inside an event."""
        ...

    async def send_complete(self, status: int, headers: multidict.CIMultiDict[str], body: bytes) -> None:
        """Send a complete response to the client."""
        ...

    async def send_part(self, status: int, headers: multidict.CIMultiDictProxy[str], raw: bytes) -> None:
        """Send a part of a stream to the client."""
        ...

    async def send_end(self, status: int, headers: multidict.CIMultiDictProxy[str]) -> None:
        """Send the end of a complete stream to the client."""
        ...


class Progress(typing.Protocol):
    """A callback that is called when response bytes arrive."""

    def __call__(self, connect_ms: int = -1) -> None:
        """Report response bytes; with a response's head, `connect_ms` is how long the attempt took to get
        its connection."""


class Upstream:
    """Runs attempts at replicas, each with exclusive use of a connection."""

    session: aiohttp.ClientSession
    connector: upstream_pool.Connector

    def __init__(self, names: header_names.HeaderNames) -> None:
        """`names` are the header names that replicas use."""
        self.names = names
        self.needs: dict[int, upstream_pool.ConnectionNeed] = {}
        self.sent_attempts: set[int] = set()

    async def start(self) -> None:
        """Open the connection pool."""
        self.connector = upstream_pool.Connector(self.mark_sent, self.connection_need)
        self.session = http_client.session_without_resend(
            connector=self.connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=HEADERS_NOT_ADDED,
            max_line_size=LINE_BYTES,
            max_field_size=FIELD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def stop(self) -> None:
        """Close all connections."""
        await self.session.close()

    # sending requests

    def connection_need(self, request: upstream_pool.Request) -> upstream_pool.ConnectionNeed:
        """Returns the connection requirements of the attempt behind an aiohttp request."""
        return self.needs[int(request.headers[ATTEMPT_HEADER])]

    def mark_sent(self, request: upstream_pool.Request) -> None:
        """Mark the attempt of a request as sent, as soon as it has a connection."""
        self.sent_attempts.add(int(request.headers.pop(ATTEMPT_HEADER)))

    def was_sent(self, attempt_id: int) -> bool:
        """Whether a byte of an attempt may have been sent.

        aiohttp does not report when it writes, so an attempt counts as sent from the moment it has a
        connection, whatever error follows.
        """
        return attempt_id in self.sent_attempts

    def headers(self, attempt: events.Attempt, sink: ResponseSink) -> multidict.CIMultiDict[str]:
        """Returns the headers that are sent to the replica."""
        names = self.names
        headers = multidict.CIMultiDict(sink.headers)
        headers[names.deadline] = str(max(1, attempt.remaining_ms))
        headers[names.expect_replica] = attempt.replica
        headers[names.priority] = str(attempt.priority)
        if attempt.tenant:
            headers[names.tenant] = attempt.tenant
        headers[ATTEMPT_HEADER] = str(attempt.attempt)
        last_id = sink.resume()
        if last_id:
            headers[names.resume] = last_id
        return headers

    async def run(self, attempt: events.Attempt, sink: ResponseSink, progress: Progress) -> Result:
        """Run one attempt; returns its result."""
        need = upstream_pool.ConnectionNeed(sink.request_id, not attempt.repeatable, sink.path)
        self.needs[attempt.attempt] = need
        try:
            async with asyncio.timeout(attempt.remaining_ms / SECOND_MS):
                return await self.exchange(attempt, sink, progress)
        except TimeoutError:
            return self.incomplete_result(attempt, sink, Outcome.TIMED_OUT, "the time is over")
        except asyncio.CancelledError:
            typing.cast("asyncio.Task[None]", asyncio.current_task()).uncancel()
            return self.incomplete_result(attempt, sink, Outcome.BROKEN, "stopped")
        except ClientGoneError as error:
            return Result(Outcome.CLIENT_GONE, 0, str(error))
        except InvalidResponseError as error:
            return self.incomplete_result(attempt, sink, Outcome.BROKEN, str(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return self.incomplete_result(attempt, sink, Outcome.BROKEN, type(error).__name__)
        finally:
            del self.needs[attempt.attempt]
            self.sent_attempts.discard(attempt.attempt)

    def incomplete_result(
        self, attempt: events.Attempt, sink: ResponseSink, outcome: Outcome, detail: str
    ) -> Result:
        """Returns the result of an attempt that got no complete response."""
        if not self.was_sent(attempt.attempt):
            return Result(Outcome.UNSENT, 0, detail)
        if sink.is_started:
            return Result(Outcome.CUT, 0, detail, sink.can_resume() and outcome is not Outcome.TIMED_OUT)
        return Result(outcome, 0, detail)

    async def exchange(self, attempt: events.Attempt, sink: ResponseSink, progress: Progress) -> Result:
        """Send the request and receive its response on one connection."""
        url = yarl.URL(f"http://{attempt.address}{sink.path}", encoded=True)
        headers = self.headers(attempt, sink)
        async with self.session.request(
            sink.method, url, headers=headers, data=sink.body or None, allow_redirects=False
        ) as response:
            progress(self.needs[attempt.attempt].connect_ms)
            self.record_keep_alive(attempt.attempt, response)
            return await self.handle_response(attempt, sink, response, progress)

    def record_keep_alive(self, attempt_id: int, response: aiohttp.ClientResponse) -> None:
        """Store the keep-alive time that the replica states.

        A response that arrived completely with its head has already released its connection, so the
        connection is looked up through the attempt.
        """
        stated_s = upstream_pool.keep_alive_s(response.headers.get("Keep-Alive"))
        protocol = self.needs[attempt_id].protocol
        if stated_s is not None and protocol is not None:
            protocol.keep_alive_s = stated_s

    # receiving responses

    async def handle_response(
        self,
        attempt: events.Attempt,
        sink: ResponseSink,
        response: aiohttp.ClientResponse,
        progress: Progress,
    ) -> Result:
        """Check the head of a response and handle its body."""
        names, headers = self.names, response.headers
        if headers.get(names.request_id) != sink.request_id:
            raise reject_response(response, "the answer is of another request")
        if response.status == SWITCHING:
            raise reject_response(response, "nobody asked for another protocol")
        if response.status == MISDIRECTED:
            await discard(response)
            is_other = headers.get(names.replica, attempt.replica) != attempt.replica
            return Result(Outcome.MOVED if is_other else Outcome.ABSENT, MISDIRECTED)
        if names.not_run in headers:
            await discard(response)
            return Result(Outcome.REFUSED, response.status, f"refused by the replica: {response.status}")
        self.check_body(response)
        if response.status in SUCCESS and sink.is_streamed:
            return await self.pass_stream(attempt, sink, response, progress)
        return await self.pass_complete(attempt, sink, response)

    def check_body(self, response: aiohttp.ClientResponse) -> None:
        """Raise InvalidResponseError if the body cannot be an unmodified response of the replica."""
        content_coding = response.headers.get("Content-Encoding", http_headers.IDENTITY).lower()
        transfer_codings = http_headers.transfer_codings(response.headers)
        if content_coding != http_headers.IDENTITY or transfer_codings not in ([], [http_headers.CHUNKED]):
            raise reject_response(response, "the answer is encoded")
        if response.status in SUCCESS and self.names.stamp not in response.headers:
            raise reject_response(response, "the answer has no stamp")

    def check_end(self, attempt: events.Attempt, response: aiohttp.ClientResponse) -> None:
        """Raise InvalidResponseError if only the end of the connection ends the response and the
        connection was reset."""
        protocol = self.needs[attempt.attempt].protocol
        is_whole = protocol is not None and protocol.has_ended_cleanly
        if not is_whole and not http_headers.has_stated_end(response):
            raise reject_response(response, "an answer without a length was reset")

    async def pass_complete(
        self, attempt: events.Attempt, sink: ResponseSink, response: aiohttp.ClientResponse
    ) -> Result:
        """Read a complete response, then pass it on or store it."""
        body = await self.read_complete(response, sink)
        self.check_end(attempt, response)
        status, headers = response.status, http_headers.end_to_end(response.headers)
        if status >= retry_decision.SERVER_ERROR or status in retry_decision.NOT_RUN_STATUSES:
            sink.store_failure(attempt.attempt, status, headers, body)
            return Result(Outcome.FAILED, status)
        if sink.is_started:
            return Result(Outcome.FAILED, status, "a run that should go on does not")
        await sink.send_complete(status, headers, body)
        return Result(Outcome.DONE, status)

    async def read_complete(self, response: aiohttp.ClientResponse, sink: ResponseSink) -> bytes:
        """Returns the complete body; raises an error if it ends early, is too large or does not fit into
        memory.

        A response that states its length waits for its memory, and the replica's data is not read meanwhile.
        """
        stated_bytes = 0 if response.method == "HEAD" else response.content_length or 0
        if stated_bytes > min(MAX_RESPONSE_BYTES, sink.claim.memory.limit):
            raise reject_response(response, "the answer is too long")
        allocated_before = sink.claim.size
        try:
            await sink.claim.allocate(stated_bytes)
            return await self.read_body(response, sink.claim, stated_bytes)
        except BaseException:
            sink.claim.release(sink.claim.size - allocated_before)
            raise

    async def read_body(
        self, response: aiohttp.ClientResponse, claim: memory_limit.Claim, stated_bytes: int
    ) -> bytes:
        """Returns the complete body; `stated_bytes` bytes of it are already allocated."""
        body = bytearray()
        async for part in response.content.iter_any():
            body += part
            is_too_long = len(body) > MAX_RESPONSE_BYTES
            if is_too_long or len(body) > stated_bytes and not claim.try_allocate(len(part)):
                raise reject_response(response, "the answer is too long")
        return bytes(body)

    async def pass_stream(
        self,
        attempt: events.Attempt,
        sink: ResponseSink,
        response: aiohttp.ClientResponse,
        progress: Progress,
    ) -> Result:
        """Pass on a response as it arrives."""
        async for part in response.content.iter_any():
            progress()
            await sink.send_part(response.status, response.headers, part)
        self.check_end(attempt, response)
        check_last_event(response, sink)
        await sink.send_end(response.status, response.headers)
        return Result(Outcome.DONE, response.status)


def check_last_event(response: aiohttp.ClientResponse, sink: ResponseSink) -> None:
    """Raise InvalidResponseError if only the end of the connection ends a stream, and it ends inside an
    event.

    The kernel closes the connections of a replica that crashed as cleanly as the replica itself does.
    """
    if http_headers.has_stated_end(response) or not http_headers.may_be_event_stream(response.headers):
        return
    if sink.is_inside_event():
        raise reject_response(response, "a stream without a length ended inside an event")


async def discard(response: aiohttp.ClientResponse) -> None:
    """Read and drop a body, so that its connection can be reused."""
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise reject_response(response, "the answer is too long")


def reject_response(response: aiohttp.ClientResponse, detail: str) -> InvalidResponseError:
    """Close the connection of an invalid response; returns the error to raise."""
    response.close()
    return InvalidResponseError(detail)
