"""The clients' side of a query node: reads requests, relays responses, ends broken ones abnormally."""

import asyncio
import hashlib
import http
import json
import typing

import aiohttp.web

import basaltport.identifiers as identifiers
import basaltport.query_api.events as events
import basaltport.query_api.query_proxy.final_answers as final_answers
import basaltport.query_api.replica_client.adapter as adapter

QUERY_HEADER = "Basaltport-Query"
KEY_HEADER = "Idempotency-Key"
PATH = "/v1/lines/{queue}/query"
REPLICA_FAILED_RETRY_MS = 1000
STOPPING_RETRY_MS = 1000
MAX_KEY_CHARACTERS = 255
MAX_DEADLINE_DIGITS = 9
MS_PER_SECOND = 1000

Document = dict[str, typing.Any]


def retry_after_header(retry_after_ms: int) -> dict[str, str]:
    """The header that says when to come back, in whole seconds; none for 0."""
    return {"Retry-After": str(-(-retry_after_ms // MS_PER_SECOND))} if retry_after_ms else {}


class DiscardSink:
    """In place of a client that is gone, where the response is wanted for its key all the same."""

    begun = False

    async def whole(self, status: int, doc: Document) -> None:
        """Drop a response that came whole."""

    async def piece(self, number: int, piece: object) -> None:
        """Drop a piece of a stream."""

    async def end(self, count: int) -> None:
        """Drop the end of a stream."""

    async def cut(self) -> None:
        """Nothing is to be ended."""


class ResponseSink:
    """Where a request's final answer or its response goes; each request gets exactly one end. With a key,
    a response that a client no longer hears is read to its end."""

    def __init__(
        self, request: aiohttp.web.Request, request_id: identifiers.RequestId, key: str = ""
    ) -> None:
        """`key`: the client's idempotency key, or ""."""
        self.key = key
        self.client_gone = False
        self.request = request
        self.request_id = request_id
        self.done: asyncio.Future[aiohttp.web.StreamResponse] = asyncio.get_running_loop().create_future()
        self.response: aiohttp.web.StreamResponse | None = None
        self.begun = False

    def respond(self, status: int, body: Document, ran: str, retry_after_ms: int = 0) -> None:
        """End the request with a response in one piece."""
        headers = {
            QUERY_HEADER: self.request_id,
            adapter.RAN_HEADER: ran,
            **retry_after_header(retry_after_ms),
        }
        self.done.set_result(aiohttp.web.json_response(body, status=status, headers=headers))

    def close(self, status: int, body: Document, retry_after_ms: int) -> None:
        """End the request with a final answer of the node."""
        if not self.done.done():
            self.respond(status, body, body.get("ran", "unknown"), retry_after_ms)

    async def whole(self, status: int, doc: Document) -> None:
        """Pass on a replica's response that came whole."""
        if self.done.done():
            return
        if status < http.HTTPStatus.BAD_REQUEST:
            body = {"query": self.request_id, "ran": "yes", "reply": doc.get("reply")}
            self.respond(http.HTTPStatus.OK, body, "yes")
            return
        body = {
            "query": self.request_id,
            "ran": "yes",
            "error": "replica-failed",
            "detail": doc.get("error", ""),
            "retry_after_ms": REPLICA_FAILED_RETRY_MS,
        }
        self.respond(http.HTTPStatus.BAD_GATEWAY, body, "yes", REPLICA_FAILED_RETRY_MS)

    async def repeat(self, status: int, response: Document) -> None:
        """Give the response that was kept of the first request with this key."""
        if "pieces" not in response:
            await self.whole(status, response)
            return
        try:
            for number, piece in enumerate(response["pieces"]):
                await self.piece(number, piece)
            await self.end(len(response["pieces"]))
        except OSError:
            await self.cut()

    async def write(self, response: aiohttp.web.StreamResponse, doc: Document) -> None:
        """Write a line of a stream; with a key, a client that is gone is no failure."""
        try:
            await response.write(json.dumps(doc).encode() + b"\n")
        except OSError:
            if not self.key:
                raise
            self.client_gone = True

    async def piece(self, number: int, piece: object) -> None:
        """Pass on a piece of a stream."""
        if self.client_gone:
            return
        if self.response is None:
            self.begun = True
            headers = {
                QUERY_HEADER: self.request_id,
                adapter.RAN_HEADER: "yes",
                "Content-Type": "application/x-ndjson",
            }
            self.response = aiohttp.web.StreamResponse(headers=headers)
            await self.response.prepare(self.request)
        await self.write(self.response, {"n": number, "piece": piece})

    async def end(self, count: int) -> None:
        """End a stream cleanly, after so many pieces."""
        if self.client_gone:
            return
        if self.response is None:
            await self.whole(http.HTTPStatus.OK, {"reply": ""})
            return
        await self.write(self.response, {"end": True, "pieces": count})
        if not self.client_gone:
            await self.response.write_eof()
        if not self.done.done():
            self.done.set_result(self.response)

    async def cut(self) -> None:
        """End a stream so that it does not look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()
        if not self.done.done():
            response = aiohttp.web.StreamResponse() if self.response is None else self.response
            self.done.set_result(response)


class BadRequestError(Exception):
    """A request that cannot be read; nothing of it ran."""

    def __init__(self, code: str, detail: str) -> None:
        """`code` is for programs, `detail` for people."""
        super().__init__(detail)
        self.code = code
        self.detail = detail


def is_good_key(key: str) -> bool:
    """Whether an idempotency key has the form that is asked for."""
    return 0 < len(key) <= MAX_KEY_CHARACTERS and key.isascii() and key.isprintable()


def token_hash_of(request: aiohttp.web.Request) -> str:
    """The hash of a request's bearer token, as manifests have it; "" without one."""
    header = request.headers.get("Authorization", "")
    if not header.startswith("Bearer "):
        return ""
    token = header.removeprefix("Bearer ").strip()
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


def check_body(body: object) -> Document:
    """The body of a request; BadRequestError where its form is wrong."""
    if not isinstance(body, dict) or not isinstance(body.get("model"), str) or "prompt" not in body:
        raise BadRequestError("malformed", "an object with `model` and `prompt` is needed")
    if not isinstance(body.get("adapter", ""), str) or not isinstance(body.get("stream", False), bool):
        raise BadRequestError("malformed", "`adapter` is a string, `stream` true or false")
    return body


def deadline_of(request: aiohttp.web.Request) -> int:
    """For how many milliseconds the client waits; -1 where it does not say."""
    text = request.headers.get(adapter.DEADLINE_HEADER)
    if text is None:
        return events.NO_DEADLINE
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        raise BadRequestError("bad-deadline", f"{adapter.DEADLINE_HEADER} is a whole number of milliseconds")
    return int(text)


def key_of(request: aiohttp.web.Request) -> str:
    """The client's idempotency key, or ""."""
    keys: list[str] = request.headers.getall(KEY_HEADER, [])
    if len(keys) > 1 or keys and not is_good_key(keys[0]):
        detail = f"{KEY_HEADER} is given once, 1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
        raise BadRequestError("bad-key", detail)
    return keys[0] if keys else ""


class NodeServer(typing.Protocol):
    """What the clients' side needs of the process's shell; see `host`."""

    stopping: bool
    settings: Document
    me: typing.Any

    def step(self, ev: object) -> None:
        """Give an event to the reducer, and carry out its effects."""


class QueryServer:
    """HTTP for clients. `sinks`: by request id, of the requests that have no end yet."""

    def __init__(self, node: NodeServer) -> None:
        """`node`: the shell of the process."""
        self.node = node
        self.sinks: dict[str, ResponseSink] = {}
        self.request_count = 0

    def routes(self, app: aiohttp.web.Application) -> None:
        """Add the path that takes requests."""
        app.router.add_post(PATH, self.query)

    def next_id(self) -> identifiers.RequestId:
        """An id that no request of any node has had."""
        self.request_count += 1
        return identifiers.RequestId(f"{self.node.me.seat}-{self.request_count}")

    def rejection(
        self, request_id: str, status: int, code: str, detail: str, retry_after_ms: int = 0
    ) -> aiohttp.web.Response:
        """The answer to a request of which nothing ran."""
        body = final_answers.answer_body(request_id, code, detail, "no")
        if retry_after_ms:
            body["retry_after_ms"] = retry_after_ms
        headers = {QUERY_HEADER: request_id, adapter.RAN_HEADER: "no", **retry_after_header(retry_after_ms)}
        return aiohttp.web.json_response(body, status=status, headers=headers)

    async def query(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Take a request, and answer it once its sink has an end."""
        request_id = self.next_id()
        if self.node.stopping:
            detail = "this node is stopping; ask another"
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            return self.rejection(request_id, status, "stopping", detail, STOPPING_RETRY_MS)
        try:
            arrived = await self.read(request, request_id)
        except BadRequestError as error:
            return self.rejection(request_id, http.HTTPStatus.BAD_REQUEST, error.code, error.detail)
        sink = self.sinks[request_id] = ResponseSink(request, request_id, arrived.idempotency_key)
        self.node.step(arrived)
        try:
            return await sink.done
        except asyncio.CancelledError:
            sink.client_gone = True
            self.node.step(events.ClientGone(identifiers.steady(), request_id))
            raise
        finally:
            self.sinks.pop(request_id, None)

    async def read(
        self, request: aiohttp.web.Request, request_id: identifiers.RequestId
    ) -> events.RequestArrived:
        """Read a request whole; BadRequestError where its form is wrong."""
        limit = self.node.settings["body_limit"]
        try:
            document = await request.clone(client_max_size=limit).json()
        except (ValueError, UnicodeDecodeError):
            raise BadRequestError("malformed", "the body is not JSON")
        body = check_body(document)
        deadline_ms = deadline_of(request)
        key = key_of(request)
        queue = request.match_info["queue"]
        now = identifiers.steady()
        return events.RequestArrived(now, request_id, queue, token_hash_of(request), body, deadline_ms, key)
