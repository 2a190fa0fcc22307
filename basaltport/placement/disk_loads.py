"""Preference for loads from a replica's own disk over loads from the store of weights.

A replica executes one order at a time, so the total duration of loads limits how many cold models are served.
A load from disk takes a fraction of one from the store. If a busy replica that has the weights on disk will
be idle soon, waiting for it is faster than a store load that starts now, and uses less of the fleet's time.
"""

import typing

import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object

AwaitedModel = tuple[str, state.RequestsByZone]


class DiskLoadsMixin(Needs):
    """Sorts awaited loads and decides whether one waits for a disk copy; it does not change state."""

    def disk_loads_first(
        self, awaited: dict[str, dict[str, float]], idle: list[replica_state.Replica]
    ) -> list[AwaitedModel]:
        """Return the awaited models in the order in which they get replicas.

        Models that are overdue or on the disk of an idle replica come first; otherwise the given order is
        kept.
        """
        idle_ids = {replica.id for replica in idle}
        return sorted(
            awaited.items(),
            key=lambda entry: (
                idle_ids.isdisjoint(self.disk_replica_ids(entry[0])) and not self.is_overdue(entry[0])
            ),
        )

    def disk_replica_ids(self, model: str) -> set[str]:
        """Return the ids of the replicas that have a model's weights on disk."""
        return self.disk_copies.get(model, set())

    def waits_for_disk_copy(self, model: str) -> bool:
        """Whether a model should wait until a busy replica can load it from disk.

        That is the case if no idle replica has the weights, the model is not overdue, and the load from disk
        would be done before one from the store.
        """
        if self.is_overdue(model):
            return False
        replicas = self.replicas_with_disk_copy(model)
        if any(replica.plan is None for replica in replicas):
            return False
        return any(self.loads_before_store(replica, model) for replica in replicas)

    def loads_before_store(self, replica: replica_state.Replica, model: str) -> bool:
        """Whether a busy replica's load from disk would be done before a store load that starts now."""
        disk_ms = self.load_ms(replica.service, model, True)
        return self.remaining_plan_ms(replica) + disk_ms < self.load_ms(replica.service, model, False)

    def replicas_with_disk_copy(self, model: str) -> list[replica_state.Replica]:
        """Return the replicas that can be ordered to load a model from disk, now or once they are idle."""
        listed = [self.replicas[i] for i in self.disk_replica_ids(model) if i in self.replicas]
        return [replica for replica in listed if self.can_load(replica, model)]

    def can_load(self, replica: replica_state.Replica, model: str) -> bool:
        """Whether a replica can get orders at present and is not in backoff for a model."""
        is_barred = replica.backoff_until.get(model, 0) > self.now
        takes_orders = replica.verified and replica.unanswered == 0 and self.may_order(replica.id)
        return takes_orders and not is_barred and self.usable(replica)

    def remaining_plan_ms(self, replica: replica_state.Replica) -> float:
        """Return the expected remaining time in ms of a replica's plan."""
        return sum(self.remaining_step_ms(replica, step) for step in replica.steps())

    def remaining_step_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> float:
        """Return the expected remaining time in ms of a step; unloads and adapter loads count as instant."""
        if step.kind is not order_types.OrderKind.LOAD or step.adapter:
            return 0.0
        expected_ms = self.load_ms(replica.service, step.model, step.from_disk)
        spent_ms = self.now - step.first_sent_at if step.first_sent_at is not None else 0
        return max(0.0, expected_ms - spent_ms)
