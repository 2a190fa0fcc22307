"""Writes events (`log_events`) to the log."""

import logging
import sys
import traceback
import typing

import eliot

import basaltport.log_events as log_events

HTTP_LOGGER = "aiohttp.server"
"""What the HTTP library logs its faults to."""


def note(number: int, fields: dict[str, typing.Any]) -> None:
    """Log an event with its fields; ValueError where there is none of this number."""
    event = log_events.Event(number)
    message_type = f"basaltport:{int(event)}:{event.label}"
    eliot.log_message(message_type=message_type, number=int(event), **fields)


def describe_fault(error: BaseException) -> str:
    """The type of an error, and where it arose; not its text, which may hold what others sent."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    last = frames[-1]
    return f"{type(error).__name__} at {last.name}, line {last.lineno} of {last.filename.rpartition('/')[2]}"


def without_text(record: logging.LogRecord) -> bool:
    """Take the text of a fault out of a record of the library, which quotes what it could not read."""
    if record.exc_info and record.exc_info[1] is not None:
        record.msg = f"{record.getMessage()}: {describe_fault(record.exc_info[1])}"
        record.args, record.exc_info, record.exc_text = (), None, None
    return True


def leave_out_texts() -> None:
    """Have the HTTP library log faults without their texts: keys of clients may stand in them."""
    logging.getLogger(HTTP_LOGGER).addFilter(without_text)


def open_log(path: str | None) -> object:
    """JSON lines to a file, to standard output ("-"), or plain ones to standard error."""
    leave_out_texts()
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
