"""What the answers of the JSON API's nodes look like on the terminal; the keys are those of the API."""

import typing

import basaltport.command_line.output as output

Document = dict[str, typing.Any]


def status(answer: Document) -> None:
    """How the cluster stands."""
    versions = f"manifest at serial {answer['manifest_serial']}, log at {answer['serial']}"
    print(f"{versions}, generation {answer['generation'][0]}")
    print(f"leader {answer['leader']}, {answer['seats']} seats, {answer['ledgers']} ledgers")
    emptied, leaving = ", ".join(answer["drains"]) or "none", ", ".join(answer["leaving"]) or "none"
    print(f"emptied zones: {emptied}; leaving: {leaving}")
    for role, owner in sorted(answer["duties"].items()):
        print(f"  duty {role:<12} {owner}")


def members(answer: Document) -> None:
    """The members."""
    output.table(answer["members"], ["name", "role", "zone", "http", "live", "applied", "seat"])


def replicas(answer: Document) -> None:
    """The replicas and what they hold."""
    rows = [{**row, "holds": " ".join(sorted(row.get("held", {})))} for row in answer["replicas"]]
    output.table(rows, ["replica", "zone", "group", "up", "draining", "leaving", "holds"])


def placement(answer: Document) -> None:
    """Where each item is."""
    rows = [
        {"item": item, "on": " ".join(f"{holder['replica']}({holder['state']})" for holder in holders)}
        for item, holders in sorted(answer["placement"].items())
    ]
    output.table(rows, ["item", "on"])


def history(answer: Document) -> None:
    """The last changes."""
    output.table(answer["history"], ["serial", "op", "change"])


def stopping(answer: Document) -> None:
    """The node that stops."""
    print(f"{answer['stopping']} stops")


def given_up(answer: Document) -> None:
    """The members given up for lost."""
    print(f"given up: {', '.join(answer['given_up'])}")
