"""Writes events (`log_events`) to the log."""

import sys
import typing

import eliot

import basaltport.log_events as log_events


def note(number: int, fields: dict[str, typing.Any]) -> None:
    """Log an event with its fields; ValueError where there is none of this number."""
    event = log_events.Event(number)
    message_type = f"basaltport:{int(event)}:{event.label}"
    eliot.log_message(message_type=message_type, number=int(event), **fields)


def open_log(path: str | None) -> object:
    """JSON lines to a file, to standard output ("-"), or plain ones to standard error."""
    if path == "-":
        return eliot.to_file(sys.stdout)
    if path:
        return eliot.to_file(open(path, "a", buffering=1))
    return eliot.add_destinations(_human)


def _human(message: dict[str, typing.Any]) -> None:
    skip = ("timestamp", "task_uuid", "task_level", "message_type")
    rest = " ".join(f"{k}={v}" for k, v in message.items() if k not in skip and k != "number")
    name = message.get("message_type", "").split(":")[-1]
    print(f"{message.get('number', 0):>3} {name} {rest}", file=sys.stderr, flush=True)
