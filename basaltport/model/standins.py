"""Stand-ins round the keepers' reducers: a placement that orders all the time, a proxy that follows."""

import typing

import basaltport.fleet.follow as follow
import basaltport.kinds as kinds
import basaltport.member as member
import basaltport.placement.effects as effects


class Placement:
    """Orders something of every replica it knows with every tick; keeps what it was told."""

    hold_ms: int

    def __init__(self, replicas: tuple[str, ...] = ("r1",)) -> None:
        self.replicas = replicas
        self.rows: dict = {}
        self.changed: set = set()
        self.told: list = []
        self.deposed = False
        self.ready: int | None = None

    def start(self, now: int, fence: int, holder: str) -> list:
        self.fence, self.holder, self.ready = fence, holder, now + self.hold_ms
        self.rows = {}
        return [effects.List()]

    def stop(self) -> list:
        self.ready = None
        return []

    def tick(self, now: int) -> list:
        if now < self.ready:
            return []
        return [
            effects.Order(i + 1, kinds.ReplicaId(r), "a:1", "load", "m", None, self.holder, self.fence)
            for i, r in enumerate(self.replicas)
        ]

    def configure(self, now: int, document: dict, drains: set) -> list:
        self.document, self.drains = document, drains
        return []

    def listed(self, now: int, rows: list) -> list:
        self.put({r["id"]: r for r in rows})
        return []

    def put(self, rows: dict) -> None:
        self.changed |= {i for i in rows.keys() | self.rows.keys() if rows.get(i) != self.rows.get(i)}
        self.rows = rows

    def facts(self, now: int, item: str) -> dict:
        return {"state": "loading", "retry_after_ms": 100}

    def __getattr__(self, name: str) -> typing.Callable:
        def told(now, *args):
            self.told.append((name, *args))
            return []

        return told


class Proxy(follow.FollowMixin, member.Member):
    """A proxy's side of the feed alone."""

    TICKS = ("tick_follow",)

    def __init__(self, me: member.Me, seed: int, now: kinds.Millis) -> None:
        member.Member.__init__(self, me, seed, now)
        self.follow_start()
        self.heard_facts: dict = {}
        self.changes: list = []

    def on_facts(self, items: dict) -> None:
        self.heard_facts.update(items)

    def rows_changed(self, ids: set) -> None:
        self.changes.append(set(ids))

    def usage(self) -> tuple[dict, dict]:
        return {"m": 1}, {}
