"""Assigns replicas to controllers: replicas are sharded by id, and only the leased owner of a shard may send
orders to its replicas.

The leader assigns shards by committed log entries; the index of an entry is the fencing token of the
ownerships that it assigns. A shard gets a new owner only after the former owner has stopped: its lease has
expired, or it has applied the entry that took the shard away.
"""

import typing
import zlib

import basaltport.consensus.log as log
import basaltport.controller.executor_leases as executor_leases
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events

SHARDS = 12
"""The number of shards."""
LEASE_MARGIN_MS = 100
"""A margin, in ms, on the time for which a replica gets no orders while its shard changes owners."""
FIRST_ASSIGNMENT_WAIT_MS = 1000
"""How long the first leader of a new fleet waits for all members before it assigns the first shards, in
ms."""
IMBALANCE_DELAY_MS = 5000
"""How long ownership must have been unbalanced before a shard is moved, in ms."""
REBALANCE_INTERVAL_MS = 2000
"""The least time between two moves of shards, in ms."""
IMBALANCE_THRESHOLD = 3
"""Ownership is unbalanced when the most and the fewest shards of a member differ by at least this."""

ShardRow = executor_leases.ShardRow
ShardRows = executor_leases.ShardRows


def shard_of(replica_id: str) -> str:
    """Returns the shard of a replica."""
    return str(zlib.crc32(replica_id.encode()) % SHARDS)


class ShardOwnershipNeeds(executor_leases.ExecutorLeasesNeeds, typing.Protocol):
    """The members of the controller that `ShardOwnershipMixin` uses in addition."""

    replica_lease_ms: int
    """How long a replica gets no orders while its shard changes owners, in ms."""
    leaving_since_ms: dict[str, int]
    """Members that announced that they leave, by member id."""

    def holds_lease(self) -> bool:
        """Whether this leader's lease is confirmed by a quorum."""

    def leased(self) -> bool:
        """Whether this follower holds a lease."""

    def live_voters(self) -> set[str]:
        """Returns the ids of the members that answered recently."""

    def has_uncommitted(self, *kinds: str) -> bool:
        """Whether an entry of one of these kinds is appended and not committed yet."""

    def append(self, operation: log.Operation) -> identifiers.LogIndex:
        """Append an entry to the log and return its index."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:

    class Needs(executor_leases.ExecutorLeasesMixin, ShardOwnershipNeeds):
        """The controller as this mixin sees it, for the type checker only."""
else:
    Needs = executor_leases.ExecutorLeasesMixin


class ShardOwnershipMixin(Needs):
    """Tells which shards this controller owns and, on the leader, assigns shards to members."""

    def shard_ownership_start(self) -> None:
        """Initialize from the shards of the committed state."""
        self.executor_leases_start()
        self.observed_shards: ShardRows | None = None
        self.fence_first_seen: dict[str, tuple[int, int]] = {}
        """By shard: its newest fencing token, and the time at which this controller first saw it, in ms."""
        self.highest_log_index = 0
        self.imbalanced_since = self.last_rebalanced_at = 0
        self.listeners.leadership_started.append(self.reset_rebalance_timers)
        self.observe_shards()

    def shards(self) -> ShardRows:
        """Returns the rows of all shards in the state that this controller has applied."""
        rows: ShardRows = self.cluster_state.shards or {}
        return rows

    def observe_shards(self) -> None:
        """Record when this controller first saw each shard's current fencing token, on its own clock."""
        self.highest_log_index = max(self.highest_log_index, self.cluster_state.log_index)
        rows = self.shards()
        if rows is self.observed_shards:
            return
        self.observed_shards = rows
        for shard, row in rows.items():
            if self.fence_first_seen.get(shard, (None,))[0] != row.fence:
                self.fence_first_seen[shard] = (row.fence, self.now)

    def former_owner_stopped(self, shard: str) -> bool:
        """Whether enough time has passed for the former owner's last order to a replica to be over."""
        row = self.shards()[shard]
        if row.former_owner == row.owner:
            return True
        fence, seen_at = self.fence_first_seen.get(shard, (None, 0))
        waited_ms = self.now - seen_at
        return fence == row.fence and waited_ms >= self.replica_lease_ms + LEASE_MARGIN_MS

    def executor_leased(self) -> bool:
        """Whether this controller holds the lease that sending orders requires, as leader or as follower."""
        return self.holds_lease() if self.leading else self.leased()

    def owns(self, replica_id: str, fence: int) -> bool:
        """Whether this controller, and no other, may send orders to a replica now under this fencing
        token."""
        shard = shard_of(replica_id)
        if not self.is_owner_here(shard) or self.shards()[shard].fence != fence:
            return False
        return self.former_owner_stopped(shard) and self.executor_leased()

    def is_owner_here(self, shard: str) -> bool:
        """Whether the state that this controller has applied names it as the owner of a shard.

        Callers check the lease and the wait for the former owner themselves."""
        row = self.shards().get(shard)
        if self.stopped or row is None or row.owner != self.me.seat:
            return False
        return self.cluster_state.log_index >= self.highest_log_index

    # the leader

    def reset_rebalance_timers(self, votes: object) -> None:
        """Restart the delays before a move of shards, so that a new leader doesn't rebalance at once."""
        self.imbalanced_since = self.last_rebalanced_at = self.now

    def assign_shards(self) -> None:
        """Assign shards without an owner or with a lost one; otherwise rebalance while the fleet is
        stable."""
        rows, roster = self.latest_shards(), self.appended_state.members
        live = sorted(
            member_id for member_id in self.live_voters() & roster.keys() if self.may_own(member_id)
        )
        if (
            not rows
            and len(live) < len(roster)
            and self.now - self.leading_since_ms < FIRST_ASSIGNMENT_WAIT_MS
        ):
            return
        unowned = [str(i) for i in range(SHARDS) if self.needs_owner(rows.get(str(i)))]
        if unowned:
            self.assign_owners(rows, unowned, live)
            return
        released = [i for i, row in rows.items() if row.owner and row.former_owner != row.owner]
        released = [i for i in released if self.former_owner_stopped(i)]
        if released:
            self.append(log.ShardsAssigned(settled=tuple(released)))
            return
        self.balance_shards(rows, live)

    def may_own(self, member_id: str) -> bool:
        """Whether a live member may be assigned shards: it is neither leaving nor has it resigned."""
        return member_id not in self.leaving_since_ms and not (
            member_id in self.latest_acks and self.has_resigned(member_id)
        )

    def needs_owner(self, row: ShardRow | None) -> bool:
        """Whether a shard may be assigned to a new owner now."""
        if row is None:
            return True
        return self.former_owner_released(row) if row.owner is None else self.is_lost(row.owner)

    def assign_owners(self, rows: ShardRows, unowned: list[str], live: list[str]) -> None:
        """Assign each unowned shard to the live member that owns the fewest."""
        counts = {member_id: sum(row.owner == member_id for row in rows.values()) for member_id in live}
        owners: dict[str, str | None] = {}
        for shard in unowned:
            owner = min(live, key=lambda member_id: (counts[member_id], member_id))
            owners[shard] = owner
            counts[owner] += 1
        names = sorted({self.appended_state.members[member_id].name for member_id in owners.values()})
        self.note(log_events.Event.ROLES_ASSIGNED, slices=sorted(owners, key=int), owners=names)
        self.append(log.ShardsAssigned(owners))

    def balance_shards(self, rows: ShardRows, live: list[str]) -> None:
        """Move one shard from the member with the most to the one with the fewest, while the fleet is
        stable."""
        owned = {m: sorted(i for i, row in rows.items() if row.owner == m) for m in live}
        most = max(owned, key=lambda member_id: (len(owned[member_id]), member_id))
        fewest = min(owned, key=lambda member_id: (len(owned[member_id]), member_id))
        settled = all(row.owner == row.former_owner for row in rows.values())
        stable = settled and len(live) == len(self.appended_state.members)
        if not stable or len(owned[most]) - len(owned[fewest]) < IMBALANCE_THRESHOLD:
            self.imbalanced_since = self.now
            return
        if (
            self.now - self.imbalanced_since >= IMBALANCE_DELAY_MS
            and self.now - self.last_rebalanced_at >= REBALANCE_INTERVAL_MS
        ):
            self.last_rebalanced_at = self.now
            self.append(log.ShardsAssigned({owned[most][0]: None}))
