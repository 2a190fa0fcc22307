"""Measured load durations, and the schedule for polling a running order for completion. Times in ms."""

import typing

import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

DURATIONS_KEPT = 20
"""Number of recent durations kept for each class of loads."""
FIRST_POLL_SHARE = 0.97
"""The first poll of a load comes after this share of the first quartile of measured durations."""
FIRST_DISK_POLL_SHARE = 0.25
"""The first poll of a disk load, while none was measured, comes after this share of the expected duration,
since the load may be far quicker."""
LOAD_POLL_SHARE = 0.05
"""Interval between polls of a load, as a share of its expected duration."""
MIN_LOAD_POLL_MS = 15
MAX_LOAD_POLL_MS = 120
UNLOAD_FIRST_POLL_MS = 15
UNLOAD_POLL_MS = 30
ADAPTER_FIRST_POLL_MS = 8
ADAPTER_POLL_MS = 15


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class LoadDurationsMixin(Needs):
    """Keeps the durations of recent loads by class, and derives polling times from them."""

    def load_class(self, service: str, step: replica_state.Step) -> tuple[str, str]:
        """Return the class of a load: its service, and whether it loads from store or disk or is an adapter.

        Loads of one class have similar durations.
        """
        weights = "disk" if step.from_disk else "store"
        return service, "adapter" if step.adapter else weights

    def record_load_duration(
        self, replica: replica_state.Replica, step: replica_state.Step, duration_ms: int
    ) -> None:
        """Record the duration of a load, and drop the oldest beyond DURATIONS_KEPT."""
        durations = self.load_durations.setdefault(self.load_class(replica.service, step), [])
        durations.append(duration_ms)
        del durations[:-DURATIONS_KEPT]

    def first_poll_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> int:
        """Return the time in ms between the start of an order and the first poll for its completion."""
        if step.kind == order_types.OrderKind.UNLOAD:
            return UNLOAD_FIRST_POLL_MS
        if step.adapter:
            return ADAPTER_FIRST_POLL_MS
        durations = sorted(self.load_durations.get(self.load_class(replica.service, step), ()))
        if durations:
            return int(durations[len(durations) // 4] * FIRST_POLL_SHARE)
        expected_ms = self.load_ms(replica.service, step.model, step.from_disk)
        return int(expected_ms * FIRST_DISK_POLL_SHARE) if step.from_disk else int(expected_ms)

    def poll_interval_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> float:
        """Return the initial interval in ms between polls of a running order."""
        if step.kind == order_types.OrderKind.UNLOAD:
            return UNLOAD_POLL_MS
        if step.adapter:
            return ADAPTER_POLL_MS
        wait_ms = self.load_ms(replica.service, step.model, step.from_disk) * LOAD_POLL_SHARE
        return min(MAX_LOAD_POLL_MS, max(MIN_LOAD_POLL_MS, wait_ms))
