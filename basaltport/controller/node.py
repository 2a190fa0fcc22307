"""The controller's reducer: combines consensus, operators' requests, orders to replicas, placement, rate
limits and the feed to proxies."""

import typing

import basaltport.consensus.log as log
import basaltport.consensus.node as node
import basaltport.consensus.sizes as sizes
import basaltport.consensus.voting_policy as voting_policy
import basaltport.controller.operator_requests as operator_requests
import basaltport.controller.order_execution as order_execution
import basaltport.controller.placement_control as placement_control
import basaltport.controller.quota_control as quota_control
import basaltport.controller.stored_configuration as stored_configuration
import basaltport.fleet.messages as messages
import basaltport.fleet.publish as publish
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.placement.machine as machine
import basaltport.quota.bounds as bounds

SNAPSHOT_ENTRIES = 200
"""A snapshot is written after this many entries."""
SNAPSHOT_BYTES = 4 << 20
"""A snapshot is also written after entries of this total size, in bytes."""
DISK_RETRY_MS = 1000
"""The delay between two attempts to write to a disk that failed, in ms."""
REPLICA_LEASE_MS = 3000
"""How long a replica gets no orders while its shard changes owners, in ms."""
DEFAULT_BOUNDS = bounds.QuotaBounds()


class Controller(
    placement_control.PlacementControlMixin,
    order_execution.OrderExecutionMixin,
    operator_requests.OperatorRequestsMixin,
    quota_control.QuotaControlMixin,
    stored_configuration.StoredConfigurationMixin,
    publish.PublishMixin,
    node.ConsensusNode,
):
    """The reducer of a controller: `step` processes an event and returns effects."""

    TICKS = (
        *("tick_disk", "tick_hello", "tick_elect", "tick_lead"),
        *("tick_stored", "tick_requests", "tick_shards", "tick_place", "tick_quota"),
    )

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        held: dict[str, typing.Any] | None = None,
        current_term: identifiers.Term = node.NO_TERM,
        placement: placement_control.Placement | None = None,
        lease_ms: int = REPLICA_LEASE_MS,
        began: identifiers.Millis | None = None,
        quota_bounds: bounds.QuotaBounds = DEFAULT_BOUNDS,
    ) -> None:
        """Create a controller from its recovered state.

        `held`, `current_term`: the state and log, and the highest term, that were on the disk. `placement`: a
        `placement.machine.Placement` by default. `lease_ms`: how long a replica gets no orders while its
        shard changes owners. `began`: when the process began, which is after the machine's last one ended.
        `quota_bounds`: the bounds on tenants' limits."""
        node.ConsensusNode.__init__(
            self, me, seed, now, voting_policy.DISK_MEMBERS, held, current_term, began
        )
        self.placement_start(machine.Placement(self.rng) if placement is None else placement)
        self.placement.may_order = self.may_order
        self.replica_lease_ms = lease_ms
        self.operator_requests_start()
        self.stored_configuration_start()
        self.publish_start()
        self.order_execution_start()
        self.quota_start(quota_bounds)
        self.snapshot_index = self.cluster_state.log_index
        self.bytes_since_snapshot = 0
        self.disk_retry_at = now
        self.listeners.state_applied.append(self.write_due_snapshot)
        self.listeners.entry_retained.append(self.count_entry_bytes)

    def step(self, event: member.Event) -> list[object]:
        """Process an event and return its effects."""
        super().step(event)
        self.observe_shards()
        self.update_placement()
        if self.leading and self.heartbeat_sent_at_ms < 0:
            self.send_heartbeats()
        self.publish()
        return self.out

    # the disk

    def tick_disk(self) -> None:
        """Retry a disk that failed, with a complete snapshot."""
        if self.bad and not self.after and self.now - self.disk_retry_at >= DISK_RETRY_MS:
            self.disk_retry_at = self.now
            self.write([], whole=self.make_snapshot())

    def count_entry_bytes(self, entry: log.LogEntry) -> None:
        """Count the bytes of an entry that a restart would read again."""
        self.bytes_since_snapshot += sizes.entry_size(entry)

    def write_due_snapshot(self) -> None:
        """Write a snapshot, which replaces the log on the disk, if enough entries were applied since the
        last."""
        entries = self.cluster_state.log_index - self.snapshot_index
        if entries < SNAPSHOT_ENTRIES and self.bytes_since_snapshot < SNAPSHOT_BYTES:
            return
        self.snapshot_index, self.bytes_since_snapshot = self.cluster_state.log_index, 0
        self.write([], whole=self.make_snapshot())

    # proxies

    def hear_want(self, source: str, request: messages.Want) -> None:
        """Pass a proxy's counts of requests that wait for items to placement, and answer with each item's
        status."""
        if not self.holds_lease():
            return
        requests_waiting = self.placement.requests_waiting
        self.call_placement(requests_waiting, request.zone, request.demand, request.waited_ms)
        statuses = {item: self.placement.model_status(self.now, item).document() for item in request.demand}
        self.send_model_statuses(request.address, statuses)
