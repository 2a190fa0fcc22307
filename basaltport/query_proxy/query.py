import dataclasses

import basaltport.kinds as kinds

WAIT, RUN, ASK, KEY = "wait", "run", "ask", "key"


@dataclasses.dataclass(slots=True)
class Query:
    id: kinds.QueryId
    line: str
    sender: str
    item: kinds.Item
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

    id: kinds.DispatchId
    query: kinds.QueryId
    replica: kinds.ReplicaId
    item: kinds.Item
    sent: int
    until: int
