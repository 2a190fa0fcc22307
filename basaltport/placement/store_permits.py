"""Permits of the stores of weights: how many loads may start, and which plans have reserved one."""

import typing

import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state
import basaltport.placement.token_bucket as token_bucket

PERMIT_VALID_MS = 250
"""A permit covers resends of the same load for this long."""
NO_PERMIT_RETRY_MS = 250
"""Interval between tries to get a permit from a store with a rate limit of zero."""

if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class StorePermitsMixin(Needs):
    """Keeps a token bucket of load permits for each service."""

    def update_buckets(self) -> None:
        """Create the missing buckets, and set each one to the rate limit of its service."""
        for service in self.catalog.services.values():
            if service.name not in self.store_buckets:
                begins = max(self.now, self.orders_allowed_at)
                self.store_buckets[service.name] = token_bucket.TokenBucket(service.loads_per_s, begins)
            self.store_buckets[service.name].change_rate(service.loads_per_s, self.now)

    def update_permits(self) -> None:
        """Update the number of further loads from each store that may start now, after those planned."""
        self.permits = {name: bucket.fill(self.now) for name, bucket in self.store_buckets.items()}
        for replica in self.busy_replicas.values():
            self.permits[replica.service] -= self.awaits_permit(replica)

    def unreserved_permits(self) -> dict[str, float]:
        """Return the permits available to overdue models: all but those reserved by plans for such models.

        Reservations of other plans are ignored, since these may unload for seconds before they use their
        permit.
        """
        permits = {name: bucket.fill(self.now) for name, bucket in self.store_buckets.items()}
        for replica in self.busy_replicas.values():
            if replica.plan and replica.plan.reason is order_types.LoadReason.OVERDUE:
                permits[replica.service] -= self.awaits_permit(replica)
        return permits

    def awaits_permit(self, replica: replica_state.Replica) -> bool:
        """Whether a replica's plan contains a load from the store that has no permit yet."""
        return any(step.from_store and step.permit_at is None for step in replica.steps())

    def give_back_permit(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Return a refused load's permit to its bucket, unless an earlier send may have been accepted."""
        bucket = self.store_buckets.get(replica.service)
        if bucket is not None and step.permit_at is not None and not (step.accepted or step.uncertain):
            step.permit_at = None
            bucket.give_back(self.now)

    def take_permit(self, replica: replica_state.Replica, step: replica_state.Step) -> bool:
        """Take a store permit for a step if it needs one; return whether its order can be sent."""
        if not step.from_store or step.accepted:
            return True
        if step.permit_at is not None and self.now - step.permit_at < PERMIT_VALID_MS:
            return True
        bucket = self.store_buckets[replica.service]
        if bucket.take(self.now):
            step.permit_at = self.now
            return True
        step.next_send_at = bucket.ready_at(self.now) or self.now + NO_PERMIT_RETRY_MS
        return False
