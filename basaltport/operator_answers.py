"""Answers operators' requests: directly, or through the member that forwarded the request."""

import typing

import basaltport.events as events
import basaltport.messages as messages

Document = dict[str, typing.Any]


class AnswerInterface(typing.Protocol):
    """The methods that `OperatorAnswersMixin` requires of its class."""

    def emit(self, effect: object) -> None:
        """Add an effect to those of the current step."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Interface = AnswerInterface
else:
    Interface = object


class OperatorAnswersMixin(Interface):
    """Answers operators' requests. `calls`: requests received here that wait for the leader's answer, by call
    id."""

    calls: dict[str, typing.Any]

    def operator_answers_start(self) -> None:
        """Initialize without any waiting request."""
        self.calls = {}

    def respond(self, src: str | None, call: str, status: int, body: Document) -> None:
        """Answer a call that this member received itself (`src` is None), or that the member at `src`
        forwarded."""
        if src is None:
            self.emit(events.Answer(call, status, body))
            return
        self.send(src, messages.Reply(call, status, body))
