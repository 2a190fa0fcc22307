"""Operators' requests to nodes of the JSON API over HTTP, and how an answer is shown."""

import asyncio
import collections.abc
import http
import json
import os
import typing

import absl.flags as flags
import aiohttp

import basaltport.command_line.exit_codes as exit_codes
import basaltport.http_client as http_client

EXIT_CODE_OF_STATUS: dict[int, int] = {
    http.HTTPStatus.OK: exit_codes.DONE,
    http.HTTPStatus.NOT_FOUND: exit_codes.REFUSED,
    http.HTTPStatus.CONFLICT: exit_codes.REFUSED,
    http.HTTPStatus.UNPROCESSABLE_ENTITY: exit_codes.REFUSED,
    http.HTTPStatus.BAD_REQUEST: exit_codes.BAD_INPUT,
    http.HTTPStatus.UNAUTHORIZED: exit_codes.BAD_INPUT,
    http.HTTPStatus.METHOD_NOT_ALLOWED: exit_codes.BAD_INPUT,
    http.HTTPStatus.SERVICE_UNAVAILABLE: exit_codes.NOBODY_ANSWERED,
    http.HTTPStatus.GATEWAY_TIMEOUT: exit_codes.OUTCOME_UNKNOWN,
}

Document = dict[str, typing.Any]
Show = collections.abc.Callable[[Document], None]


class NodeAnswer(typing.NamedTuple):
    """A node's answer; where nobody answered, the status and body that stand for that."""

    status: int
    body: Document


def define(values: flags.FlagValues) -> None:
    """Flags of all commands that ask a node."""
    flags.DEFINE_list(
        "node", ["127.0.0.1:7000"], "host:port of any nodes, tried in turn.", flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=values)
    flags.DEFINE_string("token_file", None, "File with the operator's bearer token.", flag_values=values)
    flags.DEFINE_integer("lapse", 10, "Seconds to wait for one node's answer.", flag_values=values)


def define_change(values: flags.FlagValues) -> None:
    """Flags of commands that change something."""
    define(values)
    flags.DEFINE_string(
        "change", None, "A change id: the same id is never carried out twice.", flag_values=values
    )
    flags.DEFINE_integer("if_serial", None, "Only if the manifest is at this serial.", flag_values=values)


def _headers(values: flags.FlagValues) -> dict[str, str]:
    if not values.token_file:
        return {}
    with open(values.token_file) as file:
        return {"Authorization": "Bearer " + file.read().strip()}


async def _send(
    values: flags.FlagValues,
    node: str,
    method: str,
    path: str,
    body: Document | None,
    query: dict[str, str] | None,
) -> NodeAnswer:
    timeout = aiohttp.ClientTimeout(total=values.lapse)
    async with http_client.session_without_resend(timeout=timeout, headers=_headers(values)) as session:
        url = f"http://{node}{path}"
        async with session.request(method, url, json=body, params=query) as response:
            return NodeAnswer(response.status, await response.json(content_type=None))


def ask(
    values: flags.FlagValues,
    method: str,
    path: str,
    body: Document | None = None,
    query: dict[str, str] | None = None,
) -> NodeAnswer:
    """The answer of the first node that answers; a change without id is not sent twice."""
    why = "no node given"
    for node in values.node:
        try:
            answer = asyncio.run(_send(values, node, method, path, body, query))
            if answer.status != http.HTTPStatus.SERVICE_UNAVAILABLE or node == values.node[-1]:
                return answer
            why = answer.body.get("error", "")
        except aiohttp.ClientConnectorError as error:
            why = f"{node}: {error}"
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
            why = f"{node}: {type(error).__name__}"
            if method == "POST" and "change" not in (body or {}):
                unknown = {"outcome": "unknown", "detail": why}
                return NodeAnswer(http.HTTPStatus.GATEWAY_TIMEOUT, unknown)
    nobody = {"error": "nobody-answered", "detail": why, "changed": False}
    return NodeAnswer(http.HTTPStatus.SERVICE_UNAVAILABLE, nobody)


def show(values: flags.FlagValues, answer: NodeAnswer, show_tables: Show | None = None) -> int:
    """Print an answer, as tables where there are some for it; the exit code."""
    body = answer.body
    if not values.json and body.get("findings"):
        print(f"{body.get('outcome') or body.get('error')}:")
        for row in body["findings"]:
            print(f"  {row['place']}: {row['finding']}" if row["place"] else f"  {row['finding']}")
    elif values.json or show_tables is None or answer.status != http.HTTPStatus.OK:
        print(json.dumps(body, indent=None if values.json else 2, sort_keys=True))
    else:
        show_tables(body)
    return EXIT_CODE_OF_STATUS.get(answer.status, exit_codes.REFUSED)


def change(values: flags.FlagValues, verb: str, body: Document) -> int:
    """Ask for a change under an id, and show what came of it."""
    body["change"] = values.change or f"cli-{os.urandom(6).hex()}"
    if values.if_serial is not None:
        body["if_serial"] = values.if_serial
    answer = ask(values, "POST", f"/v1/ops/{verb}", body)
    if answer.status == http.HTTPStatus.GATEWAY_TIMEOUT:
        answer.body.setdefault("change", body["change"])
    return show(values, answer, _show_acknowledged)


def _show_acknowledged(body: Document) -> None:
    print(f"acknowledged at serial {body['serial']}, change {body['change']}")
