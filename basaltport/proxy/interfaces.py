"""What the mixins of the relay's reducer need of it and of each other."""

import collections.abc
import random
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.retry_budget as retry_budget
import basaltport.proxy.health as replica_health
import basaltport.proxy.request as request
import basaltport.proxy.routing as routing

Row = dict[str, typing.Any]


class NodeInterface(typing.Protocol):
    """The reducer as its mixins see it: state, hooks and effects."""

    now: identifiers.Millis
    born: identifiers.Millis
    rng: random.Random
    me: member.Me
    timings: collections.abc.Mapping[str, float]
    zones: int
    ending: bool
    table: routing.Table
    rows: dict[str, Row]
    book: state_machine.ClusterState
    requests: dict[int, request.Request]
    waiting: dict[int, request.Request]
    tally: dict[str, int]
    health: dict[str, replica_health.Health]
    first_byte_ms: dict[str, float]

    def emit(self, effect: object) -> None:
        """An effect of this step."""
        return None

    def want(self, items: dict[str, int]) -> None:
        """Ask the leader for items, each with the weight of what waits."""
        return None

    def peers(self) -> int:
        """How many proxies there are."""
        ...

    def pump(self) -> None:
        """Launch what can go."""

    def unpark(self) -> None:
        """Route what was held for the feed."""

    def refuse(self, waiting: request.Request, why: str, retry_after: int) -> None:
        """Give a request up, with a promise if it never ran."""

    def drop(self, ended: request.Request) -> None:
        """Forget a request."""

    def retry_of(self, service: str) -> retry_budget.Retries:
        """The budget of a service."""
        ...

    def health_of(self, replica: str) -> replica_health.Health:
        """What is known of a replica."""
        ...

    def holders(self, service: str, item: str) -> collections.abc.Sequence[str]:
        """Replicas that hold an item."""
        ...

    def usable(self, waiting: request.Request) -> list[str]:
        """Replicas that a request may go to now."""
        ...

    def held(self, waiting: request.Request) -> bool:
        """Whether an open replica holds a request's item."""
        ...

    def typical(self, service: str) -> float:
        """Smoothed ms to first bytes."""
        ...

    def took(self, run: request.Run) -> None:
        """First bytes of an attempt came."""

    def after_timeout(self, run: request.Run) -> None:
        """An attempt was lost without an answer."""
