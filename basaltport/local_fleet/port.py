"""Connects a controller to the stand-in replicas and serves its HTTP API for operators."""

import dataclasses
import hashlib
import http
import json
import typing

import aiohttp
import aiohttp.web

import basaltport.configuration.editions as editions
import basaltport.configuration.read as read
import basaltport.controller.admin_pages as pages
import basaltport.local_fleet.stand_ins as stand_ins
import basaltport.placement.effects as effects
import basaltport.http_client as http_client

CALL_TIMEOUT_S = 1.0
CONFIGURATION_PATH = "/configuration"
RETRY_AFTER = {"Retry-After": "1"}

Document = dict[str, typing.Any]
Rows = list[Document]


class Controller(typing.Protocol):
    """The part of the controller's server that the port uses."""

    async def ask(self, verb: str, body: Document) -> tuple[int, Document]:
        """Run an operator's command and return its HTTP status and document."""


@dataclasses.dataclass(frozen=True, slots=True)
class PortSettings:
    """The addresses (IP:PORT) of the list of replicas and of the HTTP API for operators."""

    listing: str
    operators: str


class Port:
    """Connects `ControllerServer` to stand-in replicas, without any translation of names."""

    def __init__(self, settings: PortSettings) -> None:
        """Take the addresses from `settings`; `start` opens the connections."""
        self.settings = settings
        self.shell: Controller | None = None
        self.session: aiohttp.ClientSession | None = None
        self.runner: aiohttp.web.AppRunner | None = None

    async def start(self, shell: Controller) -> None:
        """Open the client session and serve operators on behalf of `shell`."""
        self.shell = shell
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = http_client.session_without_resend(timeout=timeout)
        app = aiohttp.web.Application()
        app.router.add_put(CONFIGURATION_PATH, self.put)
        app.router.add_get(CONFIGURATION_PATH, self.get)
        app.router.add_route("*", pages.PREFIX + "{page}", pages.Pages(shell, "controller").serve)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, shutdown_timeout=1)
        await self.runner.setup()
        host, port = self.settings.operators.split(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the connections and the operators' port."""
        if self.runner:
            await self.runner.cleanup()
        if self.session:
            await self.session.close()

    async def list(self) -> Rows | None:
        """Return all rows of the list of replicas, or None if it could not be read."""
        answer = await self._request_json("GET", f"http://{self.settings.listing}{stand_ins.LISTING_PATH}")
        return typing.cast(Rows | None, answer)

    async def order(self, order: effects.Order) -> str:
        """Send an order to a replica and return its outcome, `unknown` if the replica did not answer."""
        body: Document = {"kind": order.kind, "model": order.model, "adapter": order.adapter}
        body["expected"] = order.expected
        answer = await self._request_json("POST", f"http://{order.address}{stand_ins.ORDER_PATH}", body)
        return answer["outcome"] if isinstance(answer, dict) else "unknown"

    async def report(self, report: effects.Report) -> Document | None:
        """Read a replica's report of its models, or None if it did not answer."""
        answer = await self._request_json("GET", f"http://{report.address}{stand_ins.REPORT_PATH}")
        return typing.cast(Document | None, answer)

    async def put(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Replace the configuration; `If-Match` holds the edition that is replaced, 0 if there is none."""
        raw = await request.read()
        if_match = request.headers.get("If-Match", "")
        base = editions.parse_base(if_match)
        if base is None:
            return _response(http.HTTPStatus.BAD_REQUEST, {"error": "If-Match: not the number of an edition"})
        document, findings = read.loads_bytes(raw)
        if findings:
            return _response(http.HTTPStatus.BAD_REQUEST, {"error": "invalid", "findings": findings})
        body: Document = {"base": base, "document": document}
        body["change"] = hashlib.sha256(f"{if_match}\n".encode() + raw).hexdigest()
        return _response(*await self._shell().ask("configure", body))

    async def get(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the current configuration, confirmed by a majority of controllers."""
        return _response(*await self._shell().ask("configuration", {}))

    def _shell(self) -> Controller:
        assert self.shell is not None
        return self.shell

    async def _request_json(self, method: str, url: str, body: Document | None = None) -> object:
        """Send a request and return the JSON of a response with status 200, else None."""
        assert self.session is not None
        try:
            async with self.session.request(method, url, json=body) as response:
                if response.status != http.HTTPStatus.OK:
                    return None
                return typing.cast(object, await response.json())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None


def _response(status: int, document: Document) -> aiohttp.web.Response:
    headers = RETRY_AFTER if status == http.HTTPStatus.SERVICE_UNAVAILABLE else None
    text = json.dumps(document) + "\n"
    return aiohttp.web.Response(text=text, status=status, headers=headers, content_type="application/json")
