"""Stand-ins round the controllers' reducers: a placement that orders all the time, a proxy that follows."""

import typing

import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.placement.effects as effects
import basaltport.placement.model_status as model_status
import basaltport.placement.order_types as order_types


Row = dict[str, typing.Any]
Rows = dict[str, Row]
Effect = effects.List | effects.Order


class Placement:
    """Orders something of every replica it knows with every tick; keeps which calls it got."""

    order_delay_ms: int

    def __init__(self, replicas: tuple[str, ...] = ("r1",)) -> None:
        """Orders for these replicas."""
        self.replicas = replicas
        self.rows: Rows = {}
        self.changed: set[str] = set()
        self.notified: list[tuple[object, ...]] = []
        self.deposed = False
        self.ready: int | None = None

    def start(self, now: int, fence: int, holder: str) -> list[Effect]:
        """Orders may begin after a while."""
        self.fence, self.holder, self.ready = fence, holder, now + self.order_delay_ms
        self.rows = {}
        return [effects.List()]

    def stop(self) -> list[Effect]:
        """No more orders."""
        self.ready = None
        return []

    def tick(self, now: int) -> list[Effect]:
        """One order for each replica."""
        if self.ready is None or now < self.ready:
            return []
        return [
            effects.Order(
                i + 1,
                identifiers.ReplicaId(r),
                "a:1",
                order_types.OrderKind.LOAD,
                "m",
                None,
                self.holder,
                identifiers.Fence(self.fence),
            )
            for i, r in enumerate(self.replicas)
        ]

    def configure(self, now: int, document: Row, drains: set[str]) -> list[Effect]:
        """The configuration in force."""
        self.document, self.drains = document, drains
        return []

    def listed(self, now: int, rows: list[Row]) -> list[Effect]:
        """The whole list."""
        self.put({r["id"]: r for r in rows})
        return []

    def put(self, rows: Rows) -> None:
        """New rows."""
        self.changed |= {i for i in rows.keys() | self.rows.keys() if rows.get(i) != self.rows.get(i)}
        self.rows = rows

    def model_status(self, now: int, item: str) -> model_status.ModelStatus:
        """Every item is loading."""
        return model_status.ModelStatus(model_status.ModelState.LOADING, 100, 0, False, 0, -1)

    def __getattr__(self, name: str) -> typing.Callable[..., list[Effect]]:
        """Everything else is written down."""

        def _note(now: int, *args: object) -> list[Effect]:
            self.notified.append((name, *args))
            return []

        return _note


class Proxy(member.Member, follow.FollowMixin):
    """A proxy's side of the feed alone."""

    TICKS: typing.Any = ("tick_follow",)

    def __init__(self, identity: member.Me, seed: int, now: identifiers.Millis) -> None:
        """Orders for these replicas."""
        member.Member.__init__(self, identity, seed, now)
        start: typing.Callable[[], None] = self.follow_start
        start()
        self.heard_facts: Row = {}
        self.changes: list[set[str]] = []

    def model_statuses_received(self, items: Row) -> None:
        """Keeps them."""
        self.heard_facts.update(items)

    def rows_changed(self, ids: follow.Ids) -> None:
        """Keeps which."""
        self.changes.append(set(ids))

    def usage(self) -> tuple[dict[str, int], dict[str, int]]:
        """Always the same."""
        return {"m": 1}, {}
