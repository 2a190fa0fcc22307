"""Implements the `fleet` commands, which query controllers and proxies over HTTP."""

import asyncio
import collections.abc
import http
import json
import re
import sys
import typing

import absl.flags as flags
import aiohttp

import basaltport.command_line.command as command
import basaltport.command_line.exit_codes as exit_codes
import basaltport.command_line.fleet_tables as fleet_tables
import basaltport.command_line.output as output
import basaltport.http_client as http_client

ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}").fullmatch
REDIRECTS_FOLLOWED = 2
NO_ANSWER = 0
DEADLINE_NOT_STATED = -1
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError, OSError)
_EXPLAIN_FLAGS = ("host", "path", "item", "deadline_ms", "tokens", "tenant")

Document = dict[str, typing.Any]
PrintTables = collections.abc.Callable[[Document], None]


class PageAnswer(typing.NamedTuple):
    """A node's answer: the HTTP status, 0 if no node answered, and the document or the error."""

    status: int
    document: object


def define(values: flags.FlagValues) -> None:
    """Define the flags that all `fleet` commands have."""
    flags.DEFINE_list(
        "node", [], "IP:PORT of any controllers, or of a proxy; tried in turn.", flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=values)
    flags.DEFINE_float("lapse", 5.0, "Seconds to wait for one node's answer.", flag_values=values)


def define_status(values: flags.FlagValues) -> None:
    """Define the flags of `fleet status`."""
    define(values)
    flags.DEFINE_bool(
        "own", False, "Show the state of the called node itself, not its leader's.", flag_values=values
    )


def define_explain(values: flags.FlagValues) -> None:
    """Define the flags of `fleet explain`."""
    define(values)
    flags.DEFINE_string("host", None, "Host of the request.", flag_values=values)
    flags.DEFINE_string("path", None, "Path of the request.", flag_values=values)
    flags.DEFINE_string("item", "", "Model, or model/adapter.", flag_values=values)
    flags.DEFINE_integer(
        "deadline_ms",
        DEADLINE_NOT_STATED,
        "Ms for which the client waits; -1: not stated.",
        flag_values=values,
    )
    flags.DEFINE_integer("tokens", 0, "Tokens of the prompt.", flag_values=values)
    flags.DEFINE_string(
        "tenant", "", "Name of the tenant whose request it is; empty: without a key.", flag_values=values
    )


def input_errors(values: flags.FlagValues, arguments: list[str]) -> list[str]:
    """Return what is wrong with the flags and arguments that all `fleet` commands have."""
    errors = [] if values.node else ["--node: missing"]
    errors += [
        f"--node: {node!r} is not an address of the form IP:PORT" for node in values.node if not ADDRESS(node)
    ]
    errors += [f"{argument!r}: takes no arguments" for argument in arguments]
    return errors + (["--lapse: not a number over 0"] if values.lapse <= 0 else [])


async def _fetch_from(
    values: flags.FlagValues, node: str, page: str, query: dict[str, str] | None
) -> PageAnswer:
    timeout = aiohttp.ClientTimeout(total=values.lapse)
    async with http_client.session_without_resend(timeout=timeout) as session:
        url = f"http://{node}/basaltport/{page}"
        async with session.get(url, params=query, max_redirects=REDIRECTS_FOLLOWED) as response:
            return PageAnswer(response.status, await response.json(content_type=None))


def fetch_page(values: flags.FlagValues, page: str, query: dict[str, str] | None = None) -> PageAnswer:
    """Try the nodes in turn; returns the first answer below status 500, else the last one, else the error."""
    answer, reason = None, ""
    for node in values.node:
        try:
            answer = asyncio.run(_fetch_from(values, node, page, query))
        except _CALL_ERRORS as error:
            reason = f"{node}: {error or type(error).__name__}"
            continue
        if answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return answer
    return answer or PageAnswer(NO_ANSWER, {"error": f"nobody answered; {reason}"})


def print_answer(values: flags.FlagValues, answer: PageAnswer, print_tables: PrintTables) -> int:
    """Print an answer and return the exit code; a failed call prints its error on standard error.

    A controller that answers 503 with its status is shown all the same.
    """
    status, document = answer
    if not isinstance(document, dict):
        status, document = NO_ANSWER, {"error": "not the answer of a node"}
    is_degraded = status == http.HTTPStatus.SERVICE_UNAVAILABLE and "role" in document
    if values.json:
        print(json.dumps(document, sort_keys=True))
    elif status == http.HTTPStatus.OK or is_degraded:
        print_tables(document)
    if status == http.HTTPStatus.OK:
        return exit_codes.DONE
    print(document.get("error", f"status {status}"), file=sys.stderr)
    return exit_codes.BAD_INPUT if status == http.HTTPStatus.BAD_REQUEST else exit_codes.REFUSED


def run_status(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run `fleet status` and return the exit code."""
    errors = input_errors(values, arguments)
    if errors:
        return output.bad_input(*errors)
    query = {"own": "1"} if values.own else None
    return print_answer(values, fetch_page(values, "status", query), fleet_tables.status)


def run_placement(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run `fleet placement` and return the exit code."""
    errors = input_errors(values, arguments)
    if errors:
        return output.bad_input(*errors)
    return print_answer(values, fetch_page(values, "placement"), fleet_tables.placement)


def run_explain(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run `fleet explain` and return the exit code."""
    errors = input_errors(values, arguments)
    errors += [f"--{flag}: missing" for flag in ("host", "path") if not values[flag].value]
    if values.path and values.path[0] != "/":
        errors.append("--path: does not begin with a slash")
    if errors:
        return output.bad_input(*errors)
    query = {flag: str(values[flag].value) for flag in _EXPLAIN_FLAGS}
    return print_answer(values, fetch_page(values, "explain", query), fleet_tables.explanation)


COMMANDS = {
    "fleet status": command.Command("Show the status of controllers or a proxy.", run_status, define_status),
    "fleet placement": command.Command(
        "List models, copies, wants, loads and replicas.", run_placement, define
    ),
    "fleet explain": command.Command(
        "Explain what a proxy would do with a request.", run_explain, define_explain
    ),
}
