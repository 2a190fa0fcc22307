"""How long loads took, and when to ask for the end of an order that runs. Times in ms."""

import typing

import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

DURATIONS_KEPT = 20
FIRST_LOAD_SHARE = 0.97
"""A load is asked about first after this share of what one in four takes less than."""
UNMEASURED_DISK_SHARE = 0.25
"""The same of the expected time, where no load from a disk was measured: it may be far shorter."""
LOAD_RETRY_SHARE = 0.05
LOAD_RETRY_LEAST_MS = 15
LOAD_RETRY_MOST_MS = 120
UNLOAD_FIRST_MS = 15
UNLOAD_RETRY_MS = 30
ADAPTER_FIRST_MS = 8
ADAPTER_RETRY_MS = 15


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class LoadDurationsMixin(Needs):
    """Keeps the durations of the last loads of each class."""

    def load_class(self, service: str, step: replica_state.Step) -> tuple[str, str]:
        """Loads of one class take about as long."""
        weights = "disk" if step.from_disk else "store"
        return service, "adapter" if step.adapter else weights

    def note_duration(
        self, replica: replica_state.Replica, step: replica_state.Step, duration_ms: int
    ) -> None:
        """Keep how long a load took."""
        durations = self.load_durations.setdefault(self.load_class(replica.service, step), [])
        durations.append(duration_ms)
        del durations[:-DURATIONS_KEPT]

    def first_wait_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> int:
        """When to ask first for the end of an order."""
        if step.kind == order_types.OrderKind.UNLOAD:
            return UNLOAD_FIRST_MS
        if step.adapter:
            return ADAPTER_FIRST_MS
        durations = sorted(self.load_durations.get(self.load_class(replica.service, step), ()))
        if durations:
            return int(durations[len(durations) // 4] * FIRST_LOAD_SHARE)
        expected_ms = self.load_ms(replica.service, step.model, step.from_disk)
        return int(expected_ms * UNMEASURED_DISK_SHARE) if step.from_disk else int(expected_ms)

    def retry_wait_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> float:
        """How long to wait before asking again."""
        if step.kind == order_types.OrderKind.UNLOAD:
            return UNLOAD_RETRY_MS
        if step.adapter:
            return ADAPTER_RETRY_MS
        wait_ms = self.load_ms(replica.service, step.model, step.from_disk) * LOAD_RETRY_SHARE
        return min(LOAD_RETRY_MOST_MS, max(LOAD_RETRY_LEAST_MS, wait_ms))
