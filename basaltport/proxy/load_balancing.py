"""Selects the replica for a request: one that holds its item, preferring near and lightly loaded ones.

An item of "" stands for the whole service. docs/design/proxy.md describes the score.
"""

import collections.abc
import typing

import basaltport.fleet.readmitted_zones as readmitted_zones
import basaltport.identifiers as identifiers
import basaltport.proxy.health as health
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.request as request
import basaltport.proxy.retry_budget as retry_budget
import basaltport.rendezvous as rendezvous

# Components of a replica's score; the replica with the lowest score is selected.
OTHER_ZONE_SCORE = 0.3
FAILED_SCORE = 0.5
SLOW_SCORE = 0.3
AFFINITY_SCORE = 0.12
TRIED_SCORE = 10
RANDOM_SCORE = 0.01
MAX_LATENCY_SCORE = 2.0
MAX_SLOTS_COUNTED = 16
"""Further slots of a replica do not reduce its load score."""
SLOW_FACTOR = 2
"""A replica is slow if its time to first byte exceeds that of its service by this factor."""
AFFINITY_TOKENS = 1000
"""Prompts of at least this many tokens prefer replicas that probably have their prefix cached."""
DEFAULT_SLOTS = 8
"""Concurrent requests of a replica if neither it nor the configuration states them."""
MIN_ATTEMPTS_PER_REPLICA = 4
"""Number of attempts that one proxy may always run at a replica."""
WARM_ROW_DELAY_MS = 1500
"""How long after the end of a replica's warm-up time the row that says so may come."""
UNBOUNDED = 10**6
"""Slow-start share of a service without a slow-start rate."""

ReplicaRow = replica_table.ReplicaRow


class Verdict(typing.NamedTuple):
    """Whether a request may be sent to a replica now, and the reason if not."""

    is_usable: bool
    reason: str


class LoadBalancer:
    """Selects replicas by the feed, their health as seen by this proxy, and measured latencies."""

    def __init__(
        self,
        node: interfaces.FleetView,
        health_table: health.HealthTable,
        latency: health.LatencyEstimates,
    ) -> None:
        """`node` provides the identity of this proxy and its view of the fleet."""
        self.node = node
        self.health = health_table
        self.latency = latency
        self._table = replica_table.ReplicaTable()

    # feed data

    def replicas(self) -> dict[str, ReplicaRow]:
        """Returns the replicas of the feed by id."""
        self._table.refresh(self.node.rows)
        return self._table.replicas

    def holders(self, service: str, item: str) -> collections.abc.Sequence[str]:
        """Returns the ids of the replicas that hold an item according to the current feed."""
        self._table.refresh(self.node.rows)
        return self._table.holders(service, item)

    def rows_changed(self, replica_ids: collections.abc.Iterable[str]) -> None:
        """Apply added, changed or removed rows of the given replicas."""
        rows, now = self.node.rows, self.node.now
        self.health.remove_unlisted(rows)
        for replica_id in replica_ids:
            row = rows.get(replica_id)
            if row:
                self.update_slow_start(replica_id, row.get("cold_ms") or 0)
            if row and replica_id in self.health:
                self.health[replica_id].remove_expired_missing(now)

    def update_slow_start(self, replica_id: str, cold_ms: int) -> None:
        """Apply the remaining warm-up time of a replica's row.

        The slow start ends when a row says that the replica is warm. The time alone ends it only after
        WARM_ROW_DELAY_MS more, since the replica may have become cold again, which rows tell late.
        """
        now = self.node.now
        if cold_ms:
            until = now + cold_ms + WARM_ROW_DELAY_MS
            self.health.for_replica(replica_id).slow_start_until = identifiers.Millis(until)
        elif replica_id in self.health:
            self.health[replica_id].slow_start_until = now

    # capacity and health of replicas

    def slot_count(self, replica: ReplicaRow) -> int:
        """Returns how many requests a replica runs concurrently."""
        service = self.node.table.services.get(replica.service)
        return replica.slots or (service.slots if service else 0) or DEFAULT_SLOTS

    def attempt_limit(self, replica: ReplicaRow) -> int:
        """Returns how many attempts this proxy may run at a replica: twice an even share of its slots, at
        least MIN_ATTEMPTS_PER_REPLICA."""
        proxies_near = max(1, self.node.proxy_count() // max(1, self.node.zones))
        return max(MIN_ATTEMPTS_PER_REPLICA, 2 * self.slot_count(replica) // proxies_near)

    def has_room(self, replica: ReplicaRow) -> bool:
        """Whether this proxy may run one more attempt at a replica."""
        running = self.health.for_replica(replica.replica_id).running_attempts
        return running < MIN_ATTEMPTS_PER_REPLICA or running < self.attempt_limit(replica)

    def slow_start_share(self, replica: ReplicaRow) -> int:
        """Returns how many requests per second this proxy may send to a replica in slow start."""
        node = self.node
        service = node.table.services.get(replica.service)
        if service is None or not service.slow_start_rate:
            return UNBOUNDED
        total = service.slow_start_rate * node.timings["cold_excess"] + node.timings["cold_slack"]
        return retry_budget.SlowStart.share(total, node.max_proxy_count(), node.me.name, replica.replica_id)

    def may_be_cold(self, replica: ReplicaRow) -> bool:
        """Whether a replica may be cold although its row does not show it: its zone was readmitted since."""
        unconfirmed = self.node.unconfirmed_zones
        return bool(unconfirmed) and (
            replica.zone in unconfirmed or readmitted_zones.ALL_ZONES in unconfirmed
        )

    def accepts_requests(self, replica: ReplicaRow) -> bool:
        """Whether a replica accepts new requests."""
        if replica.state != replica_table.READY or replica.zone in self.node.evacuated_zones():
            return False
        replica_health = self.health.get(replica.replica_id)
        return replica_health is None or not replica_health.is_replaced

    def is_item_available(self, waiting_request: request.Request) -> bool:
        """Whether a usable replica, idle or busy, holds the item of a request."""
        return self.has_available_holder(waiting_request.service, waiting_request.item)

    def has_available_holder(self, service: str, item: identifiers.Item) -> bool:
        """Whether a usable replica of the service, idle or busy, holds an item."""
        now, replicas = self.node.now, self.replicas()
        for replica_id in self.holders(service, item):
            if not self.accepts_requests(replicas[replica_id]):
                continue
            replica_health = self.health.get(replica_id)
            if (
                replica_health is None
                or not replica_health.is_missing(item, now)
                and now >= replica_health.ejected_until
            ):
                return True
        return False

    def can_send_to(self, replica: ReplicaRow, waiting_request: request.Request) -> bool:
        """Whether a request may be sent to a replica now."""
        if not self.accepts_requests(replica):
            return False
        replica_id, now = replica.replica_id, self.node.now
        if replica_id not in waiting_request.reached_replicas and not waiting_request.may_use_new_replica():
            return False
        replica_health = self.health.for_replica(replica_id)
        if now < replica_health.ejected_until or replica_health.is_missing(waiting_request.item, now):
            return False
        if not self.has_room(replica):
            return False
        if now >= replica_health.slow_start_until and not self.may_be_cold(replica):
            return True
        return replica_health.slow_start.has_room(now, self.slow_start_share(replica))

    # selection

    def usable_replicas(self, waiting_request: request.Request) -> list[ReplicaRow]:
        """Returns the replicas that a request may be sent to now."""
        replicas = self.replicas()
        holders = self.holders(waiting_request.service, waiting_request.item)
        return [
            replicas[replica_id]
            for replica_id in holders
            if self.can_send_to(replicas[replica_id], waiting_request)
        ]

    def choose(self, waiting_request: request.Request) -> ReplicaRow | None:
        """Returns the usable replica with the lowest score, or None."""
        best, lowest = None, 0.0
        for replica in self.usable_replicas(waiting_request):
            score = self.score(replica, waiting_request)
            if best is None or score < lowest:
                best, lowest = replica, score
        return best

    def score(self, replica: ReplicaRow, waiting_request: request.Request) -> float:
        """Returns the score of a replica for a request; lower is better."""
        node, replica_health = self.node, self.health.for_replica(replica.replica_id)
        slots = min(MAX_SLOTS_COUNTED, self.slot_count(replica))
        share = max(1.0, slots * node.zones / node.proxy_count())
        first_byte_ms = replica_health.expected_first_byte_ms(node.now)
        latency = first_byte_ms / max(1, waiting_request.route.target_ms)
        score = replica_health.running_attempts / share + min(MAX_LATENCY_SCORE, latency)
        if replica.zone != node.me.zone:
            score += OTHER_ZONE_SCORE
        if replica.replica_id in waiting_request.tried_replicas:
            score += TRIED_SCORE
        if replica_health.failures:
            score += FAILED_SCORE
        typical_ms = self.latency.for_service(waiting_request.service)
        if first_byte_ms and typical_ms and first_byte_ms > SLOW_FACTOR * typical_ms:
            score += SLOW_SCORE
        return score + self.tie_break(replica, waiting_request)

    def tie_break(self, replica: ReplicaRow, waiting_request: request.Request) -> float:
        """Returns a score that sends long prompts to the replica that probably caches their prefix; random
        for short prompts."""
        if waiting_request.prompt_tokens < AFFINITY_TOKENS:
            return RANDOM_SCORE * self.node.rng.random()
        key = f"{waiting_request.item}|{waiting_request.prompt_prefix}"
        return AFFINITY_SCORE * (rendezvous.weight(key, replica.replica_id) / retry_budget.HASH_SPACE)

    def has_no_replica_left(self, waiting_request: request.Request) -> bool:
        """Whether the request may only use replicas that no longer hold its item or accept no new
        requests."""
        if waiting_request.may_use_new_replica():
            return False
        replicas = self.replicas()
        reached_holders = (
            replica_id
            for replica_id in self.holders(waiting_request.service, waiting_request.item)
            if replica_id in waiting_request.reached_replicas
        )
        return not any(self.accepts_requests(replicas[replica_id]) for replica_id in reached_holders)

    def verdict(self, replica: ReplicaRow, waiting_request: request.Request) -> Verdict:
        """Returns whether a request may be sent to a replica now, with the reason for operators."""
        if replica.replica_id not in self.holders(waiting_request.service, waiting_request.item):
            return Verdict(
                False, "loads it" if waiting_request.item in replica.loading else "does not hold it"
            )
        if replica.state != replica_table.READY:
            return Verdict(False, replica.state)
        if replica.zone in self.node.evacuated_zones():
            return Verdict(False, "its zone is evacuated")
        return self.health_verdict(replica, waiting_request)

    def health_verdict(self, replica: ReplicaRow, waiting_request: request.Request) -> Verdict:
        """Returns the verdict for a replica that holds the item, is ready, and is in a zone in use."""
        now, replica_health = self.node.now, self.health.for_replica(replica.replica_id)
        if replica_health.is_replaced:
            return Verdict(False, "another replica has its address")
        if now < replica_health.ejected_until:
            return Verdict(
                False,
                f"out for {replica_health.ejected_until - now} ms after {replica_health.failures} failures",
            )
        if replica_health.is_missing(waiting_request.item, now):
            retry_in_ms = replica_health.missing_until[waiting_request.item] - now
            return Verdict(False, f"said it is full or lacks it; asked again in {retry_in_ms} ms")
        max_attempts = self.attempt_limit(replica)
        if replica_health.running_attempts >= max_attempts:
            return Verdict(False, f"busy: {replica_health.running_attempts} of {max_attempts} of this proxy")
        if self.can_send_to(replica, waiting_request):
            return Verdict(True, "usable")
        if now >= replica_health.slow_start_until:
            return Verdict(False, "maybe cold, as its zone was readmitted: its share is used up")
        return Verdict(False, f"cold for {replica_health.slow_start_until - now} ms: its share is used up")
