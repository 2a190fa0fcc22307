import dataclasses

import basaltport.identifiers as identifiers

WAIT, RUN, ASK, KEY = "wait", "run", "ask", "key"


@dataclasses.dataclass(slots=True)
class Query:
    id: identifiers.RequestId
    line: str
    sender: str
    item: identifiers.Item
    body: dict
    born: int
    until: int
    rule: object
    state: str = WAIT
    ready: bool = False
    waited: int = -1
    tries: int = 0
    resent: bool = False
    dispatch: str = ""
    replica: str = ""
    sent: int = -1
    avoid: str = ""
    claim: object = None
    gone: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """A dispatch under way, or being given up."""

    id: identifiers.AttemptId
    query: identifiers.RequestId
    replica: identifiers.ReplicaId
    item: identifiers.Item
    sent: int
    until: int
