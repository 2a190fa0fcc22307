"""Loads from a replica's own disk go before loads from the store, and are worth waiting for.

A replica carries out one order at a time, so what loads take together bounds how many cold models are served.
One from a replica's disk takes a fraction of one from the store: where a replica that has the weights will be
free soon, its load is there earlier than one from the store that begins now, and costs the fleet less.
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
    """Orders the loads that requests wait for. Changes no state."""

    def disk_loads_first(
        self, awaited: dict[str, dict[str, float]], idle: list[replica_state.Replica]
    ) -> list[AwaitedModel]:
        """Awaited models in the order in which they get replicas: first those that an idle one has on disk or
        that are overdue; otherwise in the order given."""
        idle_ids = {replica.id for replica in idle}
        return sorted(
            awaited.items(),
            key=lambda entry: idle_ids.isdisjoint(self.disk_ids(entry[0])) and not self.is_overdue(entry[0]),
        )

    def disk_ids(self, model: str) -> set[str]:
        """The ids of the replicas with a model's weights on their disks."""
        return self.disk_copies.get(model, set())

    def waits_for_disk_copy(self, model: str) -> bool:
        """Whether a busy replica's load from its disk is worth waiting for: no idle one has the weights,
        and the model is not overdue."""
        if self.is_overdue(model):
            return False
        replicas = self.with_disk_copy(model)
        if any(replica.plan is None for replica in replicas):
            return False
        return any(self.is_there_sooner(replica, model) for replica in replicas)

    def is_there_sooner(self, replica: replica_state.Replica, model: str) -> bool:
        """Whether a busy replica's load from its disk would be done before one from the store begun now."""
        disk_ms = self.load_ms(replica.service, model, True)
        return self.busy_for_ms(replica) + disk_ms < self.load_ms(replica.service, model, False)

    def with_disk_copy(self, model: str) -> list[replica_state.Replica]:
        """Replicas that may be ordered to load a model from their disks, now or once they are idle."""
        listed = [self.replicas[i] for i in self.disk_ids(model) if i in self.replicas]
        return [replica for replica in listed if self.can_load(replica, model)]

    def can_load(self, replica: replica_state.Replica, model: str) -> bool:
        """Whether a replica takes orders, and may be told to load a model."""
        is_barred = replica.barred_until.get(model, 0) > self.now
        takes_orders = replica.verified and replica.unanswered == 0 and self.may_order(replica.id)
        return takes_orders and not is_barred and self.usable(replica)

    def busy_for_ms(self, replica: replica_state.Replica) -> float:
        """How long a replica's plan is likely to take from now on."""
        return sum(self.step_left_ms(replica, step) for step in replica.steps())

    def step_left_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> float:
        """What is left of one step; an unload takes next to nothing, as an adapter does."""
        if step.kind is not order_types.OrderKind.LOAD or step.adapter:
            return 0.0
        expected_ms = self.load_ms(replica.service, step.model, step.from_disk)
        spent_ms = self.now - step.first_sent_at if step.first_sent_at is not None else 0
        return max(0.0, expected_ms - spent_ms)
