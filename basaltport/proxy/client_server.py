"""The HTTP server for clients: reads requests, passes them to the reducer and sends the responses."""

import asyncio
import collections.abc
import typing

import aiohttp
import aiohttp.abc
import aiohttp.http
import aiohttp.web

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.admission as admission
import basaltport.proxy.client_connections as client_connections
import basaltport.proxy.events as events
import basaltport.proxy.head_timeout as head_timeout
import basaltport.proxy.header_names as header_names
import basaltport.proxy.memory_limit as memory_limit
import basaltport.proxy.node as node
import basaltport.proxy.request_body as request_body
import basaltport.proxy.response as response
import basaltport.proxy.response_delivery as response_delivery
import basaltport.proxy.upstream as upstream
import basaltport.sockets as sockets

BODY_BYTES = 4 << 20
"""Maximum body size if the configuration sets no limit."""
LINGER_S = 2.0
"""How long aiohttp continues to read what a client sends after its response."""
LISTEN_BACKLOG = 1024
MAX_TOKENS = 10**7
"""Larger token counts of prompts are capped to this value."""
BAD_REQUEST = 400
NO_ROOM = "no-room"
"""Outcome label of requests whose bodies did not fit into memory."""

Settings = collections.abc.Mapping[str, typing.Any]


class ClientServer:
    """Accepts clients on the address `listen` of the settings. `responses` holds unfinished responses by
    request id."""

    server: head_timeout.HeadTimeoutServer
    listener: asyncio.Server

    def __init__(
        self,
        settings: Settings,
        names: header_names.HeaderNames,
        proxy: node.ProxyNode,
        step: collections.abc.Callable[[member.Event], None],
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        """`step` passes an event to the reducer; `is_stopping` returns whether responses must now close
        their connections."""
        self.address = settings["listen"]
        self.names = names
        self.proxy = proxy
        self.step = step
        self.is_stopping = is_stopping
        self.last_request_id = 0
        self.responses: dict[int, response.ClientResponse] = {}
        self.idle_limit = client_connections.IdleLimit()
        self.body_memory = memory_limit.from_settings(settings)
        self.response_memory = memory_limit.from_settings(settings)

    async def listen(self) -> None:
        """Start accepting clients."""
        self.server = head_timeout.HeadTimeoutServer(
            self.serve,
            request_factory=self.make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=client_connections.AIOHTTP_LIMIT_S,
            max_line_size=upstream.LINE_BYTES,
            max_field_size=upstream.FIELD_BYTES,
            auto_decompress=False,
            lingering_time=LINGER_S,
            read_bufsize=upstream.READ_BUFFER_BYTES,
        )
        self.server.set_head_timeout(lambda: self.limits().get("header_wait_ms", 0))
        host, port = sockets.host_and_port(self.address)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, host, port, backlog=LISTEN_BACKLOG)

    def limits(self) -> collections.abc.Mapping[str, int]:
        """Returns the limits for all routes that are in force."""
        return self.proxy.table.limits

    def body_limit(self) -> int:
        """Returns the current maximum body size in bytes."""
        return self.limits().get("body_bytes") or BODY_BYTES

    # idle connections

    def close_idle(self) -> int:
        """Close connections without a request; returns how many connections or responses are left.

        Other connections are closed after their response, which announces it. aiohttp's own close() is not
        used: it leaves idle connections open and stops reading bodies that are being sent, so that their
        requests would never be answered.
        """
        busy_count = 0
        for connection in self.server.connections:
            if client_connections.is_idle_connection(connection) and not head_timeout.has_partial_head(
                connection
            ):
                connection.force_close()
            else:
                busy_count += 1
        return busy_count or len(self.responses)

    def close_expired(self) -> None:
        """Close connections that were idle for longer than allowed."""
        limit_s = self.idle_limit.seconds(self.limits())
        now_s = asyncio.get_running_loop().time()
        for connection in self.server.connections:
            is_expired = client_connections.idle_s(connection, now_s) >= limit_s
            if is_expired and client_connections.is_idle_connection(connection):
                connection.force_close()

    # requests

    def make_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: client_connections.Connection,
        writer: aiohttp.abc.AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> aiohttp.web.BaseRequest:
        """Returns aiohttp's request object with the body limit in force."""
        loop = asyncio.get_running_loop()
        return aiohttp.web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=self.body_limit()
        )

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Serve a request until the last byte of its response, and free its memory afterwards."""
        body_claim = memory_limit.Claim(self.body_memory)
        response_claim = memory_limit.Claim(self.response_memory)
        try:
            return await self.serve_within(request, body_claim, response_claim)
        finally:
            body_claim.release_all()
            response_claim.release_all()

    async def serve_within(
        self,
        request: aiohttp.web.BaseRequest,
        body_claim: memory_limit.Claim,
        response_claim: memory_limit.Claim,
    ) -> aiohttp.web.StreamResponse:
        """Serve a request, accounting its body and response to the given memory claims."""
        deadline_ms = header_names.parse_number(request.headers.get(self.names.deadline))
        head_at = identifiers.steady()
        deadline = head_at + (deadline_ms if deadline_ms >= 0 else request_body.MAX_BODY_MS)
        try:
            body = await request_body.read(request, self.body_limit(), deadline_ms, body_claim)
        except request_body.BodyRejectedError as rejected:
            body_claim.release_all()
            return self.reject_body(request, rejected.reason)
        if not request.raw_path.startswith("/"):
            return aiohttp.web.Response(status=BAD_REQUEST)
        self.last_request_id += 1
        request_id = self.last_request_id
        client_response = response.ClientResponse(request, body, self.names, self.is_stopping, response_claim)
        self.responses[request_id] = client_response
        try:
            self.step(self.arrival(request_id, request, head_at))
            reply = await client_response.done
            return await response_delivery.deliver(request, reply, deadline - identifiers.steady())
        except asyncio.CancelledError:
            self.step(events.Left(identifiers.steady(), request_id))
            raise
        finally:
            self.responses.pop(request_id, None)

    def arrival(self, request_id: int, request: aiohttp.web.BaseRequest, head_at: float) -> events.Arrived:
        """Returns the arrival event of a request; `head_at` is the time in ms at which its head was
        complete."""
        names, headers, now = self.names, request.headers, identifiers.steady()
        tokens = headers.get(names.tokens, "").partition(",")[0]
        return events.Arrived(
            now,
            request_id,
            headers.get("Host", ""),
            request.raw_path.partition("?")[0],
            identifiers.Item(headers.get(names.model, "")),
            header_names.parse_number(headers.get(names.deadline)),
            header_names.parse_number(tokens, MAX_TOKENS),
            headers.get(names.prefix, "").rpartition(",")[0],
            int(now - head_at),
            credentials.digest_of_headers(headers.getall(names.credential, ())),
        )

    def reject_body(
        self, request: aiohttp.web.BaseRequest, reason: request_body.Reason
    ) -> aiohttp.web.StreamResponse:
        """Returns the response to a request whose body was not read and which will not run."""
        if reason is not request_body.Reason.NO_ROOM:
            return aiohttp.web.Response(status=reason.value)
        outcome_counts = self.proxy.outcome_counts
        outcome_counts[NO_ROOM] = outcome_counts.get(NO_ROOM, 0) + 1
        claim = memory_limit.Claim(self.response_memory)
        client_response = response.ClientResponse(request, b"", self.names, self.is_stopping, claim)
        client_response.respond(reason.value, "no room for the body", admission.RETRY_AFTER_MS)
        return client_response.done.result()
