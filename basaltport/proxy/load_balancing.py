"""Which replica a request goes to: usable ones that hold its item, the near and little used first."""

import collections.abc
import typing

import basaltport.rendezvous as rendezvous
import basaltport.identifiers as identifiers
import basaltport.proxy.retry_budget as retry_budget
import basaltport.proxy.health as health
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.request as request

FAR = 0.3
KNEE = 16
FAILED = 0.5
SLOW = 0.3
SLOW_TIMES = 2
LEAN = 0.12
AFFINE = 1000
TRIED = 10
MOST_SLOWNESS = 2.0
DRAW = 0.01
DEFAULT_SLOTS = 8
LEAST_CAP = 4
UNBOUNDED = 10**6

Row = interfaces.Row

if typing.TYPE_CHECKING:
    Needs = interfaces.NodeInterface
else:
    Needs = object


class PickMixin(Needs):
    """An item of "" stands for the whole service."""

    def pick_start(self) -> None:
        """No replicas yet."""
        self.health: dict[str, health.Health] = {}
        self.indexed: dict[str, Row] | None = None
        self.by_item: dict[tuple[str, str], list[str]] = {}

    def rows_changed(self, ids: collections.abc.Iterable[str]) -> None:
        """Rows of these ids came, changed or went."""
        for replica in [r for r in self.health if r not in self.rows and not self.health[r].running]:
            del self.health[replica]
        for replica in ids:
            row = self.rows.get(replica)
            if row and row.get("cold_ms"):
                self.health_of(replica).cold_until = identifiers.Millis(self.now + row["cold_ms"])
            if row and replica in self.health:
                known = self.health[replica]
                known.absent = {i: t for i, t in known.absent.items() if t > self.now}
        self.unpark()
        self.pump()

    def holders(self, service: str, item: str) -> collections.abc.Sequence[str]:
        """Ids of the replicas that hold an item, by the rows as they are now."""
        if self.indexed is not self.rows:
            self.index()
        return self.by_item.get((service, item), ())

    def index(self) -> None:
        """Replicas by service and item, anew."""
        out: dict[tuple[str, str], list[str]] = {}
        for replica, row in self.rows.items():
            service = row["service"]
            out.setdefault((service, ""), []).append(replica)
            for model, adapters in row["models"].items():
                out.setdefault((service, model), []).append(replica)
                for adapter in adapters:
                    out.setdefault((service, f"{model}/{adapter}"), []).append(replica)
        self.indexed, self.by_item = self.rows, out

    def health_of(self, replica: str) -> health.Health:
        """What is known of a replica."""
        known = self.health.get(replica)
        if known is None:
            known = self.health[replica] = health.Health(retry_budget.Cold())
        return known

    def slots_of(self, row: Row) -> int:
        """How many requests a replica works on at once."""
        service = self.table.services.get(row["service"])
        return row.get("slots") or (service.slots if service else 0) or DEFAULT_SLOTS

    def cap(self, row: Row) -> int:
        """How many attempts of this node a replica may run: twice an even share, at least four."""
        nodes = max(1, self.peers() // max(1, self.zones))
        return max(LEAST_CAP, 2 * self.slots_of(row) // nodes)

    def cold_share(self, replica: str, row: Row) -> int:
        """Requests that this node may send a cold replica in a second."""
        service = self.table.services.get(row["service"])
        if service is None or not service.cold_rate:
            return UNBOUNDED
        total = service.cold_rate * self.timings["cold_excess"] + self.timings["cold_slack"]
        return retry_budget.Cold.share(total, self.peers(), self.me.name, replica)

    def open(self, replica: str, row: Row) -> bool:
        """Whether new requests may go there at all."""
        if row["state"] != "ready" or row["zone"] in self.book["drains"]:
            return False
        known = self.health.get(replica)
        return known is None or not known.dead

    def usable(self, waiting: request.Request) -> list[str]:
        """Replicas that a request may go to now."""
        return [r for r in self.holders(waiting.service, waiting.item) if self.fits(waiting, r)]

    def held(self, waiting: request.Request) -> bool:
        """Whether a replica that is open holds the item, free or not."""
        for replica in self.holders(waiting.service, waiting.item):
            if not self.open(replica, self.rows[replica]):
                continue
            known = self.health.get(replica)
            if known is None or not known.lacks(waiting.item, self.now) and self.now >= known.down:
                return True
        return False

    def fits(self, waiting: request.Request, replica: str) -> bool:
        """Whether a request may go to a replica now."""
        row = self.rows[replica]
        if not self.open(replica, row):
            return False
        if replica not in waiting.sent_to and not waiting.spare():
            return False
        known = self.health_of(replica)
        if self.now < known.down or known.lacks(waiting.item, self.now) or known.running >= self.cap(row):
            return False
        if self.now >= known.cold_until:
            return True
        return known.cold.room(self.now, self.cold_share(replica, row))

    def pick(self, waiting: request.Request) -> str | None:
        """The usable replica of the lowest score."""
        best, least = None, 0.0
        for replica in self.usable(waiting):
            score = self.score(waiting, replica)
            if best is None or score < least:
                best, least = replica, score
        return best

    def score(self, waiting: request.Request, replica: str) -> float:
        """How far a replica is from being the best; see docs/relay.md."""
        row, known = self.rows[replica], self.health_of(replica)
        share = max(1.0, min(KNEE, self.slots_of(row)) * self.zones / self.peers())
        score = known.running / share + min(MOST_SLOWNESS, known.first / max(1, waiting.route.target))
        if row["zone"] != self.me.zone:
            score += FAR
        if replica in waiting.avoid:
            score += TRIED
        if known.fails:
            score += FAILED
        typical = self.typical(waiting.service)
        if known.first and typical and known.first > SLOW_TIMES * typical:
            score += SLOW
        if waiting.tokens >= AFFINE:
            return score + LEAN * (
                rendezvous.weight(f"{waiting.item}|{waiting.prefix}", replica) / retry_budget.Cold.HASHES
            )
        return score + DRAW * self.rng.random()
