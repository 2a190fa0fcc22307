"""How an operator's request gets its answer: here, or at the member that forwarded it."""

import typing

import basaltport.events as events
import basaltport.messages as messages

Document = dict[str, typing.Any]


class AnswerInterface(typing.Protocol):
    """What `OperatorAnswersMixin` needs of the member it is part of."""

    def emit(self, e: object) -> None:
        """Add an effect."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Interface = AnswerInterface
else:
    Interface = object


class OperatorAnswersMixin(Interface):
    """`calls`: requests taken here that await a leader's answer, by call id."""

    calls: dict[str, typing.Any]

    def desk_start(self) -> None:
        """Begin with no request."""
        self.calls = {}

    def respond(self, src: str | None, call: str, status: int, body: Document) -> None:
        """Answer a call that was taken here (`src` is None), or forwarded by the member at an address."""
        if src is None:
            self.emit(events.Answer(call, status, body))
            return
        self.send(src, messages.Reply(call, status, body))
