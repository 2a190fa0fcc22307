"""Passive health checks and outlier ejection of replicas, based on this proxy's own attempts."""

import collections.abc
import copy
import math

import basaltport.identifiers as identifiers
import basaltport.proxy.retry_budget as retry_budget

EJECTION_MS = 250
"""Duration of the ejection after a first failure; each further consecutive failure doubles it."""
MAX_EJECTION_MS = 4000
MAX_EJECTION_DOUBLINGS = 5
MAX_SMOOTHING_WEIGHT = 0.85
"""Maximum weight of the old value in the smoothed time to first byte."""
SMOOTHING_DECAY_MS = 2000
"""The weight of the old value decays over this time, because one proxy of many sends to a replica only now
and then while the replica's load changes."""
NO_TIME = identifiers.Millis(0)


class ReplicaHealth:
    """The state of one replica as seen by this proxy. Times are in ms on its clock.

    `running_attempts` counts this proxy's attempts in flight. The replica is ejected until `ejected_until`;
    `failures` counts consecutive failures. `last_byte_at` is when it last sent any bytes. `first_byte_ms` is
    the smoothed time to first byte, 0 if unknown, as of `measured_at`. `unanswered` holds the start times of
    attempts without a first byte, the oldest first. `slow_start` counts the requests sent to it for the limit
    until `slow_start_until`. `missing_until` says until when the replica is not asked for an item.
    `is_replaced` says that a different replica answers at the address.
    """

    __slots__ = (
        "running_attempts",
        "ejected_until",
        "failures",
        "last_byte_at",
        "first_byte_ms",
        "measured_at",
        "unanswered",
        "slow_start",
        "slow_start_until",
        "missing_until",
        "is_replaced",
    )

    def __init__(self) -> None:
        """Create the state of a replica to which nothing was sent."""
        self.running_attempts = 0
        self.ejected_until = NO_TIME
        self.failures = 0
        self.last_byte_at = NO_TIME
        self.first_byte_ms = 0.0
        self.measured_at = NO_TIME
        self.unanswered: dict[int, identifiers.Millis] = {}
        self.slow_start = retry_budget.SlowStart()
        self.slow_start_until = NO_TIME
        self.missing_until: dict[identifiers.Item, identifiers.Millis] = {}
        self.is_replaced = False

    def record_failure(self, now: identifiers.Millis) -> None:
        """Eject the replica for a time that doubles with each consecutive failure."""
        doublings = min(self.failures, MAX_EJECTION_DOUBLINGS)
        self.ejected_until = identifiers.Millis(now + min(MAX_EJECTION_MS, EJECTION_MS << doublings))
        self.failures += 1

    def record_success(self) -> None:
        """Reset the failures of the replica after a complete response."""
        self.failures = 0
        self.ejected_until = NO_TIME

    def record_first_byte(self, elapsed_ms: float, now: identifiers.Millis) -> None:
        """Update the smoothed time to first byte."""
        old_weight = min(MAX_SMOOTHING_WEIGHT, math.exp((self.measured_at - now) / SMOOTHING_DECAY_MS))
        smoothed = old_weight * self.first_byte_ms + (1 - old_weight) * elapsed_ms
        self.first_byte_ms = smoothed if self.first_byte_ms else elapsed_ms
        self.measured_at = now

    def expected_first_byte_ms(self, now: identifiers.Millis) -> float:
        """Returns the expected time to first byte: the smoothed value, or the age of the oldest unanswered
        attempt if that is larger."""
        oldest = next(iter(self.unanswered.values()), now)
        return max(self.first_byte_ms, now - oldest)

    def is_missing(self, item: identifiers.Item, now: identifiers.Millis) -> bool:
        """Whether the replica recently reported that it does not hold an item or is full."""
        return self.missing_until.get(item, NO_TIME) > now

    def remove_expired_missing(self, now: identifiers.Millis) -> None:
        """Remove expired entries from the items that the replica does not hold."""
        self.missing_until = {item: until for item, until in self.missing_until.items() if until > now}

    def clone(self) -> "ReplicaHealth":
        """Returns a copy that can be changed independently."""
        duplicate = copy.copy(self)
        duplicate.slow_start = self.slow_start.clone()
        duplicate.unanswered = dict(self.unanswered)
        return duplicate


class HealthTable(dict[str, ReplicaHealth]):
    """The health of replicas by id; replicas without any attempt have no entry."""

    def for_replica(self, replica_id: str) -> ReplicaHealth:
        """Returns the health of a replica, creating it if needed."""
        replica_health = self.get(replica_id)
        if replica_health is None:
            replica_health = self[replica_id] = ReplicaHealth()
        return replica_health

    def remove_unlisted(self, listed: collections.abc.Container[str]) -> None:
        """Remove replicas that are no longer listed once no attempt runs there."""
        unlisted = [
            replica_id
            for replica_id in self
            if replica_id not in listed and not self[replica_id].running_attempts
        ]
        for replica_id in unlisted:
            del self[replica_id]

    def clone(self, listed: collections.abc.Container[str]) -> "HealthTable":
        """Returns an independent copy of the health of listed replicas."""
        return HealthTable(
            {
                replica_id: replica_health.clone()
                for replica_id, replica_health in self.items()
                if replica_id in listed
            }
        )


class LatencyEstimates:
    """Smoothed times to first byte in ms, by service and by route."""

    SMOOTHING_WEIGHT = 0.9
    """Weight of the old value."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.first_byte_ms: dict[str, float] = {}
        self.route_ms: dict[str, float] = {}

    def add_route(self, route: str, elapsed_ms: int) -> None:
        """Record a time to first byte of a route."""
        previous_ms = self.route_ms.get(route, elapsed_ms)
        self.route_ms[route] = self.SMOOTHING_WEIGHT * previous_ms + (1 - self.SMOOTHING_WEIGHT) * elapsed_ms

    def normalize_for_service(self, service: str, route: str, elapsed_ms: int) -> float:
        """Returns a route's time to first byte scaled to a typical route of the service.

        Routes with long prompts are slower at every replica; scaling makes replicas that serve different
        routes comparable.
        """
        typical_ms, route_ms = self.for_service(service), self.route_ms.get(route, 0)
        return elapsed_ms * typical_ms / route_ms if typical_ms and route_ms else elapsed_ms

    def for_service(self, service: str) -> float:
        """Returns the estimate for a service; 0 if nothing was measured."""
        return self.first_byte_ms.get(service, 0)

    def add(self, service: str, elapsed_ms: int) -> None:
        """Record a time to first byte of a service."""
        previous_ms = self.first_byte_ms.get(service, 0)
        smoothed = self.SMOOTHING_WEIGHT * previous_ms + (1 - self.SMOOTHING_WEIGHT) * elapsed_ms
        self.first_byte_ms[service] = smoothed if previous_ms else elapsed_ms
