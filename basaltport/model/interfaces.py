"""What the checks and the operators of the model need of the world that they are part of."""

import collections.abc
import typing

import basaltport.identifiers as identifiers
import basaltport.model.linearizability as linearizability
import basaltport.model.machines as machines
import basaltport.simulation.routes.nodes as nodes

Body = dict[str, typing.Any]
Answer = tuple[int, Body]
"""HTTP status and body of an answer to an operator."""
AnswerCallback = collections.abc.Callable[[Answer | None], object]
"""Called once with the answer to a call, or with None where none came in time."""


class ObservedWorld(typing.Protocol):
    """What `checks.Checks` looks at; all times are virtual milliseconds.

    `bearable`: whether no more is lost now than the members have to bear. `well_since`: since when there has
    been a leader without a break and no messages were lost. `calls`: when each operator's call was made."""

    now: identifiers.Millis
    bearable: bool
    well_since: int
    calls: dict[str, int]
    machines: machines.Machines

    def up(self) -> list[nodes.Node]:
        """Members that run and are not frozen."""

    def leader(self) -> str | None:
        """The name of the member that holds the leader lease, or None."""

    def holds(self, node: nodes.Node) -> bool:
        """Whether a member may act as the only leader."""

    def well(self) -> collections.abc.Iterator[tuple[nodes.Node, int]]:
        """Processes that run without a fault, and since when."""


class OperatedWorld(typing.Protocol):
    """What `operators.Operator` calls and is scheduled by; all times are virtual milliseconds."""

    now: identifiers.Millis
    rng: typing.Any

    def later(self, delay_ms: int, callback: collections.abc.Callable[..., object], *args: object) -> object:
        """Calls back after a delay."""

    def reachable(self) -> list[str]:
        """Names of the members that take calls."""

    def ask(self, name: str, verb: str, **body: object) -> str:
        """Sends a call to a member; gives the id of the call."""

    def when_answered(self, call: str, patience_ms: int, callback: AnswerCallback) -> None:
        """Calls back with the answer, or with None after `patience_ms`."""

    def next_mark(self) -> int:
        """A number that tells the content of one change from all others."""

    def record(self, operation: linearizability.Operation) -> None:
        """Adds a call to the history."""

    def refused(self, change: str) -> None:
        """Notes that an operator was told that a change is not made."""
