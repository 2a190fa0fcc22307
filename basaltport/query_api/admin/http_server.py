"""Operators' HTTP at every node. Changes and reads are agreed; `/v1/self` tells of this node alone."""

import asyncio
import collections.abc
import hashlib
import hmac
import http
import typing

import aiohttp.web
import result

import basaltport.configuration.read as read
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.query_api.admin.operator_requests as operator_requests
import basaltport.query_api.events as query_events

QUERY_NODE = "rostrum"
LOG_NODE = "ledger"

Document = dict[str, typing.Any]
Handler = collections.abc.Callable[[aiohttp.web.Request], collections.abc.Awaitable[aiohttp.web.Response]]


class Node(typing.Protocol):
    """What the operators' side needs of the process's shell; see `host`. `role`: as on the command line."""

    role: str
    stopping: bool
    settings: Document
    me: typing.Any
    member: typing.Any
    end: asyncio.Event

    def step(self, ev: object) -> None:
        """Give an event to the reducer, and carry out its effects."""

    def override(self, names: list[str]) -> str:
        """Give members up for lost; why not, or ""."""


class RefusedError(Exception):
    """A request of an operator that is refused before it reached the reducer; nothing was changed."""

    def __init__(self, status: int, error: str, detail: str, findings: object = None) -> None:
        """`error` is for programs, `detail` for people."""
        super().__init__(detail)
        self.status = status
        reason = {"detail": detail} if findings is None else {"findings": findings}
        self.body: Document = {"error": error, **reason, "changed": False}

    def response(self) -> aiohttp.web.Response:
        """The answer to the request."""
        return aiohttp.web.json_response(self.body, status=self.status)


def malformed(detail: str, findings: object = None) -> RefusedError:
    """The error of a body of the wrong form."""
    return RefusedError(http.HTTPStatus.BAD_REQUEST, "malformed", detail, findings)


async def field_of(request: aiohttp.web.Request, key: str) -> object:
    """A field of a request's body; RefusedError without it."""
    try:
        field: object = (await request.json())[key]
        return field
    except (ValueError, KeyError, TypeError):
        raise malformed(f"an object with a list `{key}` is needed")


async def change_of(verb: str, request: aiohttp.web.Request) -> Document:
    """The body of a change; RefusedError where its form is wrong."""
    try:
        body = read.loads(await request.text())
    except UnicodeDecodeError:
        raise malformed("the body is not text")
    if isinstance(body, result.Err):
        raise malformed("", body.err_value)
    change = body.ok_value
    if not isinstance(change, dict):
        raise malformed("the body is not an object")
    change.pop("checked", None)
    fault = operator_requests.form_fault(verb, change)
    if fault:
        raise malformed(fault)
    return change


class OperatorServer:
    """HTTP for operators. `calls`: by id, of the requests that await the reducer's answer."""

    def __init__(self, node: Node) -> None:
        """`node`: the shell of the process."""
        self.node = node
        self.calls: dict[str, asyncio.Future[tuple[int, Document]]] = {}
        self.call_count = 0

    def routes(self, app: aiohttp.web.Application) -> None:
        """Add the operators' paths."""
        app.router.add_get("/live", self.live)
        app.router.add_get("/v1/self", self.guarded(self.own_status))
        app.router.add_post("/v1/ops/{verb}", self.guarded(self.ask))
        app.router.add_get("/v1/ops/{verb}", self.guarded(self.ask))
        app.router.add_post("/v1/prewarm", self.guarded(self.prewarm))
        app.router.add_post("/v1/stop", self.guarded(self.stop))
        app.router.add_post("/v1/override", self.guarded(self.override))

    def guarded(self, handler: Handler) -> Handler:
        """The handler for those only who hold the operators' token, where there is one."""

        async def wrapped(request: aiohttp.web.Request) -> aiohttp.web.Response:
            """Answer an allowed request; what was refused is told as its error."""
            try:
                if not self.is_allowed(request):
                    detail = "an operator's bearer token is needed"
                    raise RefusedError(http.HTTPStatus.UNAUTHORIZED, "unauthorized", detail)
                return await handler(request)
            except RefusedError as error:
                return error.response()

        return wrapped

    def is_allowed(self, request: aiohttp.web.Request) -> bool:
        """Whether a request has the operators' token, where there is one."""
        expected = self.node.settings.get("operator_token")
        if not expected:
            return True
        token = request.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        return hmac.compare_digest("sha256:" + hashlib.sha256(token.encode()).hexdigest(), expected)

    def need_role(self, role: str) -> None:
        """RefusedError at a node of another role."""
        if self.node.role != role:
            raise RefusedError(http.HTTPStatus.NOT_FOUND, "not-here", f"ask a {role}")

    async def live(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Whether this node may be given requests."""
        member = self.node.member
        has_state = member.leased() if self.node.role == QUERY_NODE else member.cluster_state.log_index > 0
        ready = bool(has_state and not self.node.stopping)
        status = http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        return aiohttp.web.json_response({"ready": ready}, status=status)

    async def own_status(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """How this node stands by itself."""
        member = self.node.member
        term, log_index = member.head()
        leader = member.leader.name if member.leader else None
        if leader is None and getattr(member, "leading", False):
            leader = member.me.name
        status = {
            **self.node.me.row(),
            "serial": int(member.cluster_state.log_index),
            "manifest_serial": int(member.cluster_state.configuration_version),
            "held": [list(term), int(log_index)],
            "leader": leader,
        }
        if self.node.role == LOG_NODE:
            status["missing"] = member.missing_voters() if member.candidacy else []
        if self.node.role == QUERY_NODE:
            status["leased"] = member.leased()
            status["counts"] = dict(member.outcome_counts)
            status["lines"] = {queue.name: queue.size for queue in member.queues.by_name.values()}
            status["runtime"] = member.runtime_status()
            status["duties"] = sorted(member.owned_zones)
        return aiohttp.web.json_response(status)

    async def prewarm(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Order loads of items without waiting for them."""
        self.need_role(QUERY_NODE)
        items = await field_of(request, "items")
        known = self.node.member.rules.items
        unknown = [item for item in items if item not in known] if isinstance(items, list) else items
        if not isinstance(items, list) or unknown:
            detail = f"not in the manifest: {unknown}"
            raise RefusedError(http.HTTPStatus.UNPROCESSABLE_ENTITY, "unknown-model", detail)
        named = [identifiers.Item(item) for item in items]
        self.node.step(query_events.PrewarmRequested(identifiers.steady(), named))
        return aiohttp.web.json_response({"asked": items})

    async def stop(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Stop this node gracefully."""
        self.node.end.set()
        return aiohttp.web.json_response({"stopping": self.node.me.name})

    async def override(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Give members up for lost."""
        self.need_role(LOG_NODE)
        lost = await field_of(request, "lost")
        if not isinstance(lost, list) or not lost or not all(isinstance(name, str) for name in lost):
            raise malformed("`lost` is a list of names")
        why = self.node.override(lost)
        if why:
            raise RefusedError(http.HTTPStatus.CONFLICT, "refused", why)
        return aiohttp.web.json_response({"given_up": sorted(lost)})

    async def ask(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """A change or a read, answered by the leader."""
        verb = request.match_info["verb"]
        verbs = operator_requests.READS + operator_requests.CHANGES
        if verb not in verbs:
            raise RefusedError(http.HTTPStatus.NOT_FOUND, "unknown-verb", f"verbs: {', '.join(verbs)}")
        is_post = request.method == "POST"
        if is_post != (verb in operator_requests.CHANGES):
            detail = "changes are POST, reads are GET"
            raise RefusedError(http.HTTPStatus.METHOD_NOT_ALLOWED, "wrong-method", detail)
        body = await change_of(verb, request) if is_post else dict(request.query)
        self.call_count += 1
        call = f"{self.node.me.seat}-{self.call_count}"
        future = self.calls[call] = asyncio.get_running_loop().create_future()
        self.node.step(events.Asked(identifiers.steady(), call, verb, body))
        try:
            status, answer = await future
        finally:
            self.calls.pop(call, None)
        return aiohttp.web.json_response(answer, status=status)

    def answer(self, call: str, status: int, body: Document) -> None:
        """The reducer's answer to a request."""
        future = self.calls.get(call)
        if future and not future.done():
            future.set_result((status, body))
