"""A client's request, and what came of it."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True)
class ClientRequest:
    """`sent_at`, `ended_at`: in ms of the world's clock; `outcome`: empty as long as it is in flight, then
    done, refused, unknown, cut, gone or no-node; `code`: of an error; `pieces`: what came of a stream;
    `gone`: the client went away; `node`: the name of the node that has it."""

    id: str
    prompt: str
    queue: str
    once: bool
    sent_at: int
    client: str
    key: str
    outcome: str = ""
    code: str = ""
    node: str = ""
    gone: bool = False
    status: int = 0
    ended_at: int = 0
    pieces: list[str] = dataclasses.field(default_factory=list)
    body: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
