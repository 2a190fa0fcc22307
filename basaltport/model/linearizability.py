"""Whether a history of calls to a register that is changed on a version could have happened one at a time.

A call takes effect at one moment between its begin and its end. Calls without an answer may have taken effect
at any moment after their begin, or never."""

import dataclasses
import enum
import math


class Kind(enum.Enum):
    """What a call did."""

    READ = "read"
    CHANGE = "change"
    REFUSAL = "refusal"


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """State of the register: its version, and who wrote it."""

    version: int = 0
    writer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """A read gave `value`; a change took the register from version `base` to `value`; a refusal saw the
    version `value.version`. `known` is False for a change whose outcome nobody was told."""

    name: str
    kind: Kind
    begin: int
    end: float
    value: Value
    base: int = 0
    known: bool = True


def unanswered(name: str, begin: int, base: int, value: Value) -> Operation:
    """A change that may have been made or may not."""
    return Operation(name, Kind.CHANGE, begin, math.inf, value, base, known=False)


def linearizable(history: list[Operation]) -> bool:
    """Search for an order: what reads the present value goes at once; changes alone are branched over."""
    start = (Value(), frozenset(range(len(history))))
    seen, todo = {start}, [start]
    while todo:
        value, left = _observe(history, *todo.pop())
        if not any(history[i].known for i in left):
            return True
        for change in _next_changes(history, value, left):
            state = (history[change].value, left - {change})
            if state not in seen:
                seen.add(state)
                todo.append(state)
    return False


def _earliest_end(history: list[Operation], left: frozenset[int]) -> float:
    return min((history[i].end for i in left), default=math.inf)


def _observe(history: list[Operation], value: Value, left: frozenset[int]) -> tuple[Value, frozenset[int]]:
    """Takes out every call that may come now and changes nothing."""
    while True:
        limit = _earliest_end(history, left)
        fit = {i for i in left if history[i].begin <= limit and _sees(history[i], value)}
        if not fit:
            return value, left
        left -= fit


def _sees(call: Operation, value: Value) -> bool:
    if call.kind is Kind.READ:
        return call.value == value
    return call.kind is Kind.REFUSAL and call.value.version == value.version


def _next_changes(history: list[Operation], value: Value, left: frozenset[int]) -> list[int]:
    limit = _earliest_end(history, left)
    return [
        i
        for i in sorted(left)
        if history[i].kind is Kind.CHANGE and history[i].base == value.version and history[i].begin <= limit
    ]
