"""Writes the events of `log_events` to the log."""

import logging
import sys
import traceback
import typing

import eliot

import basaltport.log_events as log_events

HTTP_LOGGER = "aiohttp.server"
"""The name of the logger to which the HTTP library writes its errors."""


def note(number: int, fields: dict[str, typing.Any]) -> None:
    """Log an event with its fields; raises ValueError if no event has this number."""
    event = log_events.Event(number)
    message_type = f"basaltport:{int(event)}:{event.label}"
    eliot.log_message(message_type=message_type, number=int(event), **fields)


def describe_fault(error: BaseException) -> str:
    """Returns the type and the place of an error, without its message, which may contain data that clients
    sent."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    last = frames[-1]
    return f"{type(error).__name__} at {last.name}, line {last.lineno} of {last.filename.rpartition('/')[2]}"


def strip_exception_text(record: logging.LogRecord) -> bool:
    """Replace an exception in a log record of the HTTP library by its type and place, as its message quotes
    the input that could not be parsed. Returns True: the record is logged."""
    if record.exc_info and record.exc_info[1] is not None:
        record.msg = f"{record.getMessage()}: {describe_fault(record.exc_info[1])}"
        record.args, record.exc_info, record.exc_text = (), None, None
    return True


def omit_exception_texts() -> None:
    """Make the HTTP library log errors without their messages, which may contain keys of clients."""
    logging.getLogger(HTTP_LOGGER).addFilter(strip_exception_text)


def open_log(path: str | None) -> object:
    """Write the log as JSON lines to a file or to standard output ("-"), or as plain text to standard
    error."""
    omit_exception_texts()
    if path == "-":
        return eliot.to_file(sys.stdout)
    if path:
        return eliot.to_file(open(path, "a", buffering=1))
    return eliot.add_destinations(_write_plain_line)


def _write_plain_line(message: dict[str, typing.Any]) -> None:
    skip = ("timestamp", "task_uuid", "task_level", "message_type")
    fields = " ".join(
        f"{key}={value}" for key, value in message.items() if key not in skip and key != "number"
    )
    name = message.get("message_type", "").split(":")[-1]
    print(f"{message.get('number', 0):>3} {name} {fields}", file=sys.stderr, flush=True)


def note_fault(error: BaseException) -> None:
    """Log an internal error by its type and place, since its message may contain what a client sent."""
    note(log_events.Event.STEP_FAILED, {"why": describe_fault(error)})
