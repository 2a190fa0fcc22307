"""Numbered events. The catalogue here and docs/events.md are held equal by a test."""

import sys
import typing

import eliot

CATALOGUE = {
    1: ("started", "A process is up: its name, seat, role, zone and addresses."),
    2: ("stopping", "A process was asked to stop: it takes no more and finishes what runs."),
    3: ("settings-refused", "The settings file has findings; nothing was started."),
    10: ("leader-heard", "This member follows a leader of a new generation."),
    11: ("campaign", "A ledger heard no leader and asks all seats for their promise."),
    12: ("founding", "Enough of the expected seats are here and none holds anything: the house is founded."),
    13: ("leading", "This ledger leads from now on."),
    14: ("ledgers-lost", "Most ledgers are gone: a new generation goes on with those that live."),
    15: ("stepped-down", "This ledger leads no more; the reason is given."),
    16: ("seat-added", "A member was given a seat in the roster."),
    17: ("seat-dropped", "A seat was silent too long and left the roster."),
    18: ("duties-handed", "Duties were given to owners under a new fence."),
    19: ("seats-missing", "No leader for five seconds: these members' promises are missing."),
    20: ("disk-opened", "The data folder was read; what was held is given."),
    21: ("disk-refused", "The data folder cannot be used: the reason is given. Nothing was changed in it."),
    22: (
        "seat-unknown",
        "The data folder cannot prove the seat that voted here: this is a new seat without a vote.",
    ),
    23: ("disk-failed", "A write to the data folder failed."),
    24: ("override", "An operator gave members up for lost: the house may go on without them."),
    30: ("member-met", "A member became known, or came back with a new seat."),
    31: ("stranger", "A frame came from another house; it was ignored."),
    32: ("name-twice", "Another process uses this member's name; it was ignored."),
    33: ("frame-refused", "A garbled, oversize or wrong-version frame came; its wire was closed."),
    34: (
        "old-generation",
        "A leader of a generation that was given up still beats; it is told to step down.",
    ),
    35: ("frame-replayed", "A beat long past came again; it lengthens no lease and changes nothing."),
    40: ("change-refused", "A change was refused; it is never in force."),
    41: ("change-acknowledged", "A change is agreed, kept and in force at every leased node."),
    42: ("manifest-in-force", "This node now works by the manifest of the serial given."),
    50: ("load-waited", "A shared wait for a cold model began."),
    51: ("load-done", "A shared wait ended: the model is loaded; the measured wait is given."),
    52: ("timeout-classified", "A dispatch timed out; the controller's word names the phase."),
    60: ("duty-taken", "This node is the steward of a zone under a new fence."),
    61: ("replica-met", "A replica answered its steward, or came back as a new start."),
    62: ("replica-dark", "A replica stopped answering its steward."),
    63: ("fence-passed", "A replica saw a higher fence: this steward gives it no more orders."),
    64: ("order", "A steward orders a replica to load or unload."),
    65: ("order-failed", "An order was refused or its outcome is unknown."),
    66: ("store-duty-taken", "This node grants the weight store's permits."),
    70: ("keys-whole", "This node is whole as a keeper of a range of senders' keys."),
    80: ("port-call-failed", "A call of this keeper to its platform broke; the reason is given."),
    81: ("step-failed", "A step of this process broke; the reason is given. It goes on."),
}


def note(number: int, fields: dict[str, typing.Any]) -> None:
    """Log an event of the catalogue with its fields."""
    name, _ = CATALOGUE[number]
    eliot.log_message(message_type=f"basaltport:{number}:{name}", number=number, **fields)


def open_log(path: str | None) -> object:
    """JSON lines to a file, to standard output ("-"), or plain ones to standard error."""
    if path == "-":
        return eliot.to_file(sys.stdout)
    if path:
        return eliot.to_file(open(path, "a", buffering=1))
    return eliot.add_destinations(_human)


def _human(m: dict[str, typing.Any]) -> None:
    skip = ("timestamp", "task_uuid", "task_level", "message_type")
    rest = " ".join(f"{k}={v}" for k, v in m.items() if k not in skip and k != "number")
    name = m.get("message_type", "").split(":")[-1]
    print(f"{m.get('number', 0):>3} {name} {rest}", file=sys.stderr, flush=True)
