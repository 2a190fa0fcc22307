"""Operators' commands of the JSON API. Each may be pointed at any node and gets the same answer."""

import hashlib
import http
import json
import sys
import time
import typing

import absl.flags as flags
import result

import basaltport.command_line.command as command
import basaltport.command_line.documents as documents
import basaltport.command_line.exit_codes as exit_codes
import basaltport.command_line.output as output
import basaltport.configuration.check as check
import basaltport.query_api.admin.http_call as http_call
import basaltport.query_api.admin.tables as tables

Document = dict[str, typing.Any]
Command = command.Command


def run_check(values: flags.FlagValues, arguments: list[str]) -> int:
    """`manifest check`: exit code 2 where there are findings."""
    if output.lacks_arguments(arguments, 1, "a manifest file"):
        return exit_codes.BAD_INPUT
    document = documents.read_document(arguments[0])
    if isinstance(document, result.Err):
        return output.bad_input(document.err_value)
    checked = check.manifest(document.ok_value)
    findings = checked.err_value if isinstance(checked, result.Err) else []
    if values.json:
        print(json.dumps({"findings": findings}))
    else:
        for row in findings:
            print(f"{row['place']}: {row['finding']}")
        print(f"{len(findings)} findings" if findings else "no findings")
    return exit_codes.BAD_INPUT if findings else exit_codes.DONE


def change_from_file(verb: str, key: str) -> command.Run:
    """What runs a change whose body is a file's document under a key."""

    def run(values: flags.FlagValues, arguments: list[str]) -> int:
        """Make the change with the document of the named file."""
        if output.lacks_arguments(arguments, 1, "a file, or - for standard input"):
            return exit_codes.BAD_INPUT
        document = documents.read_document(arguments[0])
        if isinstance(document, result.Err):
            return output.bad_input(document.err_value)
        return http_call.change(values, verb, {key: document.ok_value})

    return run


def change_of(verb: str, key: str) -> command.Run:
    """What runs a change of something named by the argument."""

    def run(values: flags.FlagValues, arguments: list[str]) -> int:
        """Make the change of what the argument names."""
        if output.lacks_arguments(arguments, 1, f"a {key}"):
            return exit_codes.BAD_INPUT
        return http_call.change(values, verb, {key: arguments[0]})

    return run


def read(verb: str, show_tables: http_call.Show | None = None) -> command.Run:
    """What runs a read without arguments."""

    def run(values: flags.FlagValues, arguments: list[str]) -> int:
        """Ask, and print what is answered."""
        if output.lacks_arguments(arguments, 0, "no argument"):
            return exit_codes.BAD_INPUT
        return http_call.show(values, http_call.ask(values, "GET", f"/v1/ops/{verb}"), show_tables)

    return run


def run_change(values: flags.FlagValues, arguments: list[str]) -> int:
    """`changes get`."""
    if output.lacks_arguments(arguments, 1, "a change"):
        return exit_codes.BAD_INPUT
    query = {"change": arguments[0]}
    return http_call.show(values, http_call.ask(values, "GET", "/v1/ops/change", query=query))


def run_node_status(values: flags.FlagValues, arguments: list[str]) -> int:
    """`node status`."""
    return http_call.show(values, http_call.ask(values, "GET", "/v1/self"))


def run_node_stop(values: flags.FlagValues, arguments: list[str]) -> int:
    """`node stop`."""
    answer = http_call.ask(values, "POST", "/v1/stop", {"change": ""})
    return http_call.show(values, answer, tables.stopping)


def run_override(values: flags.FlagValues, arguments: list[str]) -> int:
    """`cluster override`."""
    if not arguments:
        return output.bad_input("needs the names of the members given up for lost")
    answer = http_call.ask(values, "POST", "/v1/override", {"lost": arguments, "change": ""})
    return http_call.show(values, answer, tables.given_up)


def run_prewarm(values: flags.FlagValues, arguments: list[str]) -> int:
    """`models prewarm`."""
    answer = http_call.ask(values, "POST", "/v1/prewarm", {"items": arguments, "change": ""})
    return http_call.show(values, answer)


def run_watch(values: flags.FlagValues, arguments: list[str]) -> int:
    """`changes watch`: print each new line of the history until interrupted or --count changes were seen."""
    newest = -1
    left = values.count
    while left != 0:
        answer = http_call.ask(values, "GET", "/v1/ops/history")
        if answer.status == http.HTTPStatus.OK:
            rows = [row for row in answer.body["history"] if row["serial"] > newest]
            shown = rows if newest >= 0 or values.all else []
            for row in shown:
                print(history_line(values, row), flush=True)
            left -= len(shown)
            newest = max([newest, *(row["serial"] for row in rows)])
        time.sleep(values.every)
    return exit_codes.DONE


def history_line(values: flags.FlagValues, row: Document) -> str:
    """A change as `changes watch` prints it."""
    if values.json:
        return json.dumps(row)
    return f"{row['serial']:>8}  {row['op']:<10} {row['change']}"


def define_watch(values: flags.FlagValues) -> None:
    """Flags of `changes watch`."""
    http_call.define(values)
    flags.DEFINE_integer("count", -1, "Stop after this many changes.", flag_values=values)
    flags.DEFINE_float("every", 1.0, "Seconds between reads.", flag_values=values)
    flags.DEFINE_bool("all", False, "Begin with the history so far.", flag_values=values)


def run_hash(values: flags.FlagValues, arguments: list[str]) -> int:
    """`token hash`."""
    print("sha256:" + hashlib.sha256(sys.stdin.read().strip().encode()).hexdigest())
    return exit_codes.DONE


READ = http_call.define
CHANGE = http_call.define_change

COMMANDS = {
    "manifest check": Command(
        "Check a manifest offline; all findings with their places.", run_check, READ, "FILE"
    ),
    "manifest put": Command(
        "Put a whole manifest in force.", change_from_file("apply", "manifest"), CHANGE, "FILE"
    ),
    "manifest patch": Command(
        "Change the manifest by a merge patch.", change_from_file("patch", "patch"), CHANGE, "FILE"
    ),
    "manifest get": Command("Show the manifest and its serial.", read("show"), READ),
    "changes list": Command("List acknowledged changes.", read("history", tables.history), READ),
    "changes get": Command("Ask what became of a change.", run_change, READ, "ID"),
    "changes watch": Command("Print changes as they come.", run_watch, define_watch),
    "cluster status": Command("Tell how the cluster stands.", read("status", tables.status), READ),
    "cluster members": Command("List the members.", read("members", tables.members), READ),
    "cluster override": Command("Give members up for lost, at one ledger.", run_override, READ, "NAME ..."),
    "replicas list": Command(
        "List the replicas and what they hold.", read("replicas", tables.replicas), READ
    ),
    "replicas put": Command(
        "Send the list of replicas.", change_from_file("platform", "replicas"), CHANGE, "FILE"
    ),
    "replicas leaving": Command(
        "Tell that a replica is leaving.", change_of("leaving", "replica"), CHANGE, "ID"
    ),
    "zones drain": Command("Empty a zone.", change_of("drain", "zone"), CHANGE, "ZONE"),
    "zones undrain": Command("Use a zone again.", change_of("undrain", "zone"), CHANGE, "ZONE"),
    "models placement": Command("List items and where they are.", read("placement", tables.placement), READ),
    "models prewarm": Command("Order loads of items without waiting.", run_prewarm, READ, "ITEM ..."),
    "node status": Command("Tell of the one node asked.", run_node_status, READ),
    "node stop": Command("Stop the one node asked, gracefully.", run_node_stop, READ),
    "token hash": Command("Hash a bearer token from standard input.", run_hash),
}
