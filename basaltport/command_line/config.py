"""Implements `config check` and `config diff`, which check and compare configuration files offline."""

import importlib.util
import json
import typing

import absl.flags as flags
import result

import basaltport.command_line.command as command
import basaltport.command_line.documents as documents
import basaltport.command_line.exit_codes as exit_codes
import basaltport.command_line.output as output
import basaltport.configuration.routes as routes
import basaltport.configuration.tenants as tenants

Document = dict[str, typing.Any]
Findings = list[dict[str, str]]


class PlatformNames(typing.Protocol):
    """A module that translates field names of configurations between a platform and the product."""

    DOCUMENT: object

    def document(self, document: object) -> object:
        """Translate a document into the product's names."""

    def findings(self, findings: Findings, names: object) -> Findings:
        """Translate the paths in findings into the platform's names."""


def define(values: flags.FlagValues) -> None:
    """Define the flags of both commands."""
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=values)
    flags.DEFINE_string("words", None, "A platform's names.py, for files in its words.", flag_values=values)


def load_names(path: str) -> PlatformNames:
    """Import a platform's module of names; raises the errors of reading and running the file."""
    spec = importlib.util.spec_from_file_location("words", path)
    if spec is None or spec.loader is None:
        raise ImportError("not a Python file")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return typing.cast(PlatformNames, module)


def read_documents(values: flags.FlagValues, paths: list[str]) -> tuple[PlatformNames | None, list[object]]:
    """Read the platform's names, if given, and the translated documents; ValueError holds all findings."""
    try:
        names = load_names(values.words) if values.words else None
    except (OSError, SyntaxError, ImportError, AttributeError) as error:
        raise ValueError(f"--words: {values.words}: {error}")
    results = [documents.read_document(path) for path in paths]
    findings = [read.err_value for read in results if isinstance(read, result.Err)]
    if findings:
        raise ValueError("\n".join(findings))
    contents = [read.ok_value for read in results if isinstance(read, result.Ok)]
    return names, [names.document(content) if names else content for content in contents]


def check(names: PlatformNames | None, document: object) -> Findings:
    """Return the findings for a configuration: what is wrong with it and where."""
    findings: Findings = routes.check(document)
    return names.findings(findings, names.DOCUMENT) if names else findings


def run_check(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run `config check`; the exit code is 2 if there are findings."""
    if len(arguments) != 1:
        return output.bad_input("check: needs 1 file")
    try:
        names, (document,) = read_documents(values, arguments)
    except ValueError as error:
        return output.bad_input(str(error))
    findings = check(names, document)
    if values.json:
        print(json.dumps({"findings": findings}))
    else:
        for row in findings:
            print(f"{row['place']}: {row['finding']}".removeprefix(": "))
        print(f"{len(findings)} findings" if findings else "no findings")
    return exit_codes.BAD_INPUT if findings else exit_codes.DONE


def run_diff(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run `config diff`; the exit code is 1 if the two configurations differ."""
    if len(arguments) != len(("old", "new")):
        return output.bad_input("diff: needs 2 files")
    try:
        names, both = read_documents(values, arguments)
    except ValueError as error:
        return output.bad_input(str(error))
    findings = [
        f"{number}: {row['place']}: {row['finding']}"
        for number, document in enumerate(both, 1)
        for row in check(names, document)
    ]
    if findings:
        return output.bad_input(*findings)
    old, new = both
    rows = differences(old, new)
    if values.json:
        print(json.dumps({"changes": rows}))
    else:
        for row in rows:
            print(_format_row(row))
        print(f"{len(rows)} changes" if rows else "the same")
    return exit_codes.REFUSED if rows else exit_codes.DONE


def _format_row(row: Document) -> str:
    values_of = f": {row['was']!r} -> {row['is']!r}" if "was" in row else ""
    added = f", {row['new']} new" if "new" in row else ""
    return f"{row['change']:<8} {row['place']}{values_of}{added}"


def differences(old: object, new: object, path: str = "") -> list[Document]:
    """Return the differences as [{"place", "change": added|removed|changed, "was", "is"}].

    Items of a list are matched by name if they have names. Tenants' keys are secret: only their number is
    returned, and no other value that may hold a key.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        return _object_differences(old, new, path)
    old_by_name, new_by_name = index_by_name(old), index_by_name(new)
    if old_by_name is not None and new_by_name is not None:
        return _object_differences(old_by_name, new_by_name, path)
    return [] if old == new else _value_differences(old, new, path)


def _value_differences(old: object, new: object, path: str) -> list[Document]:
    """Return the row for a changed value; none if a tenant's keys differ only in their order."""
    row: Document = {"place": path, "change": "changed"}
    section, _, rest = path.partition(".")
    field = rest.rpartition(".")[2]
    if section != tenants.SECTION or field in tenants.PUBLIC_FIELDS:
        return [{**row, "was": old, "is": new}]
    if field != tenants.KEYS or not isinstance(old, list) or not isinstance(new, list):
        return [row]
    added = len([key for key in new if key not in old])
    if not added and len(new) == len(old):
        return []
    return [{**row, "was": len(old), "is": len(new), "new": added}]


def _object_differences(old: Document, new: Document, path: str) -> list[Document]:
    rows: list[Document] = []
    for key in [*old, *(key for key in new if key not in old)]:
        inner_path = f"{path}.{key}" if path else str(key)
        if key not in new or key not in old:
            rows.append({"place": inner_path, "change": "removed" if key in old else "added"})
        else:
            rows += differences(old[key], new[key], inner_path)
    return rows


def index_by_name(items: object) -> Document | None:
    """Index a list of objects by their names; None if it is not a list of uniquely named objects."""
    if not isinstance(items, list):
        return None
    named = {
        item["name"]: item for item in items if isinstance(item, dict) and isinstance(item.get("name"), str)
    }
    return named if len(named) == len(items) else None


COMMANDS = {
    "config check": command.Command("Check a configuration of routes, offline.", run_check, define, "FILE"),
    "config diff": command.Command(
        "Compare two configurations of routes, offline.", run_diff, define, "FILE FILE"
    ),
}
