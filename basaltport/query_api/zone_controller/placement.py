"""What a zone's replicas load and unload: wanted items first, then those that the zone keeps."""

import typing

import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.query_api.events as events
import basaltport.query_api.zone_controller.interface as interface
import basaltport.query_api.zone_controller.load_permits as load_permits
import basaltport.query_api.zone_controller.owned_zone as owned_zone
import basaltport.query_api.zone_controller.replica as replica

DESIRED_FOR_MS = 3000
ORDER_EXPIRY_MS = 2000
REPORTS_WAITED_MS = 3000
IDLE_BEFORE_EVICTION_MS = 2000

OrderBody = dict[str, typing.Any]
Items = set[identifiers.Item]


class SentOrder(typing.NamedTuple):
    """An order whose answer is awaited."""

    zone: identifiers.Zone
    replica_id: identifiers.ReplicaId
    body: OrderBody


class Eviction(typing.NamedTuple):
    """Items to unload from a replica; `least_idle_ms`: idle time of the one least long idle."""

    least_idle_ms: int
    replica: replica.ControlledReplica
    items: list[str]


class PlacementMixin(interface.Interface):
    """Orders loads and unloads, one at a time for each item."""

    def placement_start(self) -> None:
        """Begin with no order given."""
        self.order_number = 0
        self.sent_orders: dict[int, SentOrder] = {}

    def place(self, zone: owned_zone.OwnedZone) -> None:
        """Order what loads and unloads are needed."""
        zone.placed_at = self.now
        if zone.zone in self.cluster_state.evacuated_zones or self.is_unheard(zone, REPORTS_WAITED_MS):
            return
        zone.desired = {
            item: desired
            for item, desired in zone.desired.items()
            if self.now - desired.desired_at < DESIRED_FOR_MS
        }
        self.see_zones()
        rows = self.rules.items.values()
        kept = [rule.item for rule in rows if self.is_kept_in(rule, zone.zone)]
        zone.rejected = {}
        goal = [*zone.desired, *(item for item in kept if item not in zone.desired)]
        for item in goal:
            pool = zone.desired[item].pool if item in zone.desired else ""
            self.place_item(zone, item, pool, set(kept if item in kept else goal))

    def place_item(self, zone: owned_zone.OwnedZone, item: identifiers.Item, pool: str, goal: Items) -> None:
        """See that an item is loaded somewhere; nothing of `goal` is unloaded for it."""
        usable = [known for known in zone.replicas.values() if known.up and self.may_use(known.id)]
        if any(known.has_or_gets(item) for known in usable):
            return
        rule = self.rules.items.get(item)
        if rule is None:
            return
        candidates = [known for known in usable if known.group == rule.group]
        if not candidates:
            zone.rejected[item] = "no replica of its group is up in this zone"
            return
        if item.is_adapter():
            with_model = [known for known in candidates if known.has_loaded(item.base())]
            if not with_model:
                self.place_model_of(zone, item, pool, goal, candidates)
                return
            candidates = with_model
        candidates = [known for known in candidates if known.loads_under_way() < load_permits.LOADS_AT_ONCE]
        if candidates:
            self.place_on_one(zone, rule, pool, goal, candidates)

    def place_model_of(
        self,
        zone: owned_zone.OwnedZone,
        adapter: identifiers.Item,
        pool: str,
        goal: Items,
        candidates: list[replica.ControlledReplica],
    ) -> None:
        """Place an adapter's model first; the adapter shares the reason why it cannot be placed."""
        model = adapter.base()
        if any(known.has_or_gets(model) for known in candidates):
            return
        self.place_item(zone, model, pool, goal | {adapter})
        if model in zone.rejected:
            zone.rejected[adapter] = zone.rejected[model]

    def place_on_one(
        self,
        zone: owned_zone.OwnedZone,
        rule: rules.ItemRule,
        pool: str,
        goal: Items,
        candidates: list[replica.ControlledReplica],
    ) -> None:
        """Load on the replica with most room, one with room for all adapters first; else make room."""
        roomy = [known for known in candidates if self.room_left(known) >= rule.size]
        if not roomy:
            self.make_room(zone, candidates, rule, goal)
            return
        best = max(
            roomy, key=lambda known: (self.room_left(known) >= rule.full, self.room_left(known), known.id)
        )
        self.load(zone, best, rule, pool)

    def room_left(self, known: replica.ControlledReplica) -> int:
        """The room of a replica that is neither used nor ordered to be."""
        used = sum(held.size for held in known.held.values())
        return known.room - used - sum(load.size for load in known.ordered.values())

    def load(
        self,
        zone: owned_zone.OwnedZone,
        known: replica.ControlledReplica,
        rule: rules.ItemRule,
        pool: str,
    ) -> None:
        """Order a load, or note that it waits for a permit."""
        if zone.load_budget.get(pool, 0) <= 0:
            zone.waiting_loads[rule.item] = owned_zone.DesiredItem(self.now, pool)
            return
        zone.load_budget[pool] -= 1
        zone.waiting_loads.pop(rule.item, None)
        known.ordered[rule.item] = replica.OrderedLoad(self.now, rule.size, pool)
        self.order(zone, known, {"do": "load", "item": rule.item, "size": rule.size, "pool": pool})

    def make_room(
        self,
        zone: owned_zone.OwnedZone,
        candidates: list[replica.ControlledReplica],
        rule: rules.ItemRule,
        goal: Items,
    ) -> None:
        """Unload what is idle longest, neither wanted nor in use, where that gives room."""
        best: Eviction | None = None
        for known in candidates:
            eviction = self.eviction_from(known, rule.size, goal)
            if eviction and (best is None or eviction.least_idle_ms > best.least_idle_ms):
                best = eviction
        if best is None:
            zone.rejected[rule.item] = "no room: everything held here is in use or wanted"
            return
        for item in best.items:
            self.order(zone, best.replica, {"do": "unload", "item": item})

    def eviction_from(self, known: replica.ControlledReplica, size: int, goal: Items) -> Eviction | None:
        """What to unload from a replica to have room of a size; None where that cannot be, or need not."""
        idle = [
            (held.idle_ms, item, held.size)
            for item, held in known.held.items()
            if may_evict(known, item, held, goal)
        ]
        room_left = self.room_left(known)
        chosen: list[tuple[int, str]] = []
        for idle_ms, item, item_size in sorted(idle, reverse=True):
            if room_left >= size:
                break
            room_left += item_size
            chosen.append((idle_ms, item))
        if room_left < size or not chosen:
            return None
        return Eviction(chosen[-1][0], known, [item for _, item in chosen])

    def order(self, zone: owned_zone.OwnedZone, known: replica.ControlledReplica, body: OrderBody) -> None:
        """Order a replica to load or unload, under the zone's fencing token."""
        self.order_number += 1
        self.sent_orders[self.order_number] = SentOrder(zone.zone, known.id, body)
        self.note(log_events.Event.ORDER_SENT, replica_id=known.id, **body)
        fenced = {**body, "fence": int(zone.fence)}
        self.emit(events.OrderReplica(self.order_number, known.id, f"{known.url}/order", fenced))

    def on_order_answered(self, event: events.OrderAnswered) -> None:
        """A replica answered an order, or did not; its answer may hold a report."""
        sent = self.sent_orders.pop(event.order_number)
        zone = self.owned_zones.get(sent.zone)
        known = zone.replicas.get(sent.replica_id) if zone else None
        if zone is None or known is None:
            return
        if not event.ok:
            item = sent.body["item"]
            why = str(event.state.get("error", ""))
            self.note(log_events.Event.ORDER_FAILED, replica_id=known.id, item=item, why=why)
            if event.state.get("ran") == "no":
                known.ordered.pop(item, None)
        if "held" in event.state:
            self.take_report(zone, known, event.state)

    def loads_in_flight(self, zone: owned_zone.OwnedZone) -> dict[str, int]:
        """Loads that go on or were ordered, by pool."""
        counts: dict[str, int] = {}
        for known in zone.replicas.values():
            pools = [held.pool for held in known.held.values() if held.is_loading()]
            pools += [load.pool for item, load in known.ordered.items() if item not in known.held]
            for pool in pools:
                counts[pool] = counts.get(pool, 0) + 1
        return counts


def may_evict(known: replica.ControlledReplica, item: str, held: replica.HeldItem, goal: Items) -> bool:
    """Whether an item may be unloaded: it serves, nobody uses or wants it, nor an adapter of it."""
    if item in goal or not held.is_loaded() or held.running or is_desired_by_adapter(known, item, goal):
        return False
    return held.idle_ms >= IDLE_BEFORE_EVICTION_MS


def is_desired_by_adapter(known: replica.ControlledReplica, model: str, goal: Items) -> bool:
    """Whether an adapter of a model on a replica is wanted or in use."""
    prefix = model + "/"
    return any(
        item.startswith(prefix) and (item in goal or held.running) for item, held in known.held.items()
    )
