"""What the parts of Placement share: its state, and what they ask of each other."""

import collections.abc
import random
import typing

import basaltport.placement.catalog as catalog
import basaltport.placement.demand as demand
import basaltport.placement.replica_state as replica
import basaltport.placement.token_bucket as store
import basaltport.placement.waiting_items as wants

Effects = list[typing.Any]
Row = dict[str, typing.Any]
Waiting = collections.abc.Mapping[str, float]
Models = dict[str, list[str]]


class State(typing.Protocol):
    """The state of Placement, and the methods of one part that another calls."""

    rng: random.Random
    hold_ms: int
    every: int
    cat: catalog.Catalog
    drains: set[str]
    took: dict[tuple[str, str], list[int]]
    order_n: int
    now: int
    may_order: collections.abc.Callable[[str], bool]
    rows: dict[str, Row]
    changed: set[str]
    on: bool
    deposed: bool
    out: Effects
    reps: dict[str, replica.Replica]
    holders: dict[str, set[str]]
    coming: dict[str, set[str]]
    active: dict[str, replica.Replica]
    orders: dict[int, str]
    gone: dict[str, int]
    wants: dict[str, wants.Want]
    wanted_models: collections.abc.Collection[str]
    chore_rate: dict[str, demand.Rate]
    zones: set[str]
    seen: set[str]
    orphans: dict[str, int]
    list_out: bool
    list_at: int
    known: bool
    dirty: bool
    buckets: dict[str, store.TokenBucket]
    permits: dict[str, float]
    disks: dict[str, set[str]]
    ready_at: int
    fence: int
    holder: str
    rates: dict[str, dict[str, demand.Rate]]
    hot: dict[str, demand.Hot]

    def stop(self) -> Effects:
        """Send nothing any more."""

    def place(self) -> None:
        """Begin plans for what is wanted."""

    def usable(self, p: replica.Replica) -> bool:
        """Whether requests may go to a replica."""

    def may_serve(self, p: replica.Replica) -> bool:
        """Whether a replica is ready, stays, and is in no evacuated zone."""

    def held(self, item: str) -> bool:
        """Whether a usable replica serves it."""

    def copies(self, item: str) -> list[replica.Replica]:
        """The usable replicas that serve it."""

    def rate(self, item: str) -> float:
        """Requests a second."""

    def idle(self, item: str) -> int:
        """For how many ms nobody has asked for it."""

    def in_use(self, item: str) -> bool:
        """Whether runs of it are likely to go on."""

    def load_ms(self, service: str, model: str, disk: bool) -> float:
        """What a load is likely to take."""

    def show(self, p: replica.Replica) -> None:
        """Make the feed's row of a replica anew."""

    def drop(self, p: replica.Replica) -> None:
        """Give up a replica's plan."""

    def doubt(self, p: replica.Replica) -> None:
        """Order nothing there until a report tells what it holds."""

    def lose(self, p: replica.Replica, moved: bool = True) -> None:
        """A replica is gone, or its address is another's."""

    def hold(self, p: replica.Replica, model: str, adapter: str = "") -> None:
        """A replica holds a model or adapter."""

    def unhold(self, p: replica.Replica, model: str, adapter: str = "") -> None:
        """A replica holds a model or adapter no more."""

    def unserve(self, p: replica.Replica, item: str) -> None:
        """Requests for an item go there no more."""

    def index(self, p: replica.Replica) -> None:
        """Requests for what a replica shows may go there."""
