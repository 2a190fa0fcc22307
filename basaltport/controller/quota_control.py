"""Enforces tenants' rate limits at a controller: it grants tokens for the slices of limits whose shards it
owns.

Orders to replicas stop when the lease of their sender expires. Tokens are granted for a while longer, so that
an election refuses no requests. That is safe, since the next owner of a shard starts granting only
`replica_lease_ms` after the shard was assigned to it, and by then the former owner's lease had expired.
"""

import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.controller.executor_leases as executor_leases
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.quota.bounds as bounds
import basaltport.quota.limits as limits
import basaltport.quota.messages as messages
import basaltport.quota.owner as owner

NO_FENCE = -1
LONG_AGO = -(10**9)
EXPIRE_EVERY_MS = 100
HANDOVER_MARGIN_MS = 100
"""An owner without a lease stops granting this long before another one may begin, in ms."""


class QuotaControlNeeds(typing.Protocol):
    """The members of the controller that `QuotaControlMixin` uses."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    replica_lease_ms: int

    def shards(self) -> executor_leases.ShardRows:
        """Returns the rows of all shards in the state that this controller has applied."""

    def is_owner_here(self, shard: str) -> bool:
        """Whether the state that this controller has applied names it as the owner of a shard."""

    def former_owner_stopped(self, shard: str) -> bool:
        """Whether enough time has passed for the former owner to have stopped."""

    def executor_leased(self) -> bool:
        """Whether this controller's lease excludes any other owner of its shards."""

    def send(self, address: str, message: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Needs = QuotaControlNeeds
else:
    Needs = object


class QuotaControlMixin(Needs):
    """Answers proxies' quota requests. `quota_owner` holds the token buckets of the shards that this
    controller owns or owned last."""

    def quota_start(self, quota_bounds: bounds.QuotaBounds) -> None:
        """Initialize as the owner of no shard."""
        self.quota_owner = owner.QuotaOwner(quota_bounds)
        self.quota_fences: dict[str, int] = {}
        """By shard: the fencing token under which this controller grants its tokens."""
        self.quota_configuration: object = None
        self.quota_expired_at = self.now
        self.quota_leased_at = LONG_AGO

    def may_count_limits(self, shard: str) -> bool:
        """Whether this controller, and no other, may grant tokens of a shard now."""
        if not self.is_owner_here(shard) or not self.former_owner_stopped(shard):
            return False
        return self.now - self.quota_leased_at < self.replica_lease_ms - HANDOVER_MARGIN_MS

    def record_quota_lease(self) -> None:
        """Record the last time at which this controller certainly held a lease."""
        if self.executor_leased():
            self.quota_leased_at = self.now

    def hear_quota_request(self, source: str, request: messages.QuotaRequest) -> None:
        """Answer a proxy's request for tokens and shares, or ignore it if this controller may not grant
        them."""
        self.record_quota_lease()
        if not self.may_count_limits(request.shard):
            return
        self.begin_quota_ownership(request.shard)
        self.configure_quota()
        grant = self.quota_owner.answer(request, self.now)
        if grant is not None:
            self.send(request.address, grant)

    def begin_quota_ownership(self, shard: str) -> None:
        """Reset the counts of a shard under a new fencing token, since its former grants are unknown here."""
        fence = self.shards()[shard].fence
        if self.quota_fences.get(shard, NO_FENCE) != fence:
            self.quota_fences[shard] = fence
            self.quota_owner.begin(shard, fence, self.now)

    def configure_quota(self) -> None:
        """Apply the limits of the configuration that this controller has applied, if it changed."""
        document = self.cluster_state.configuration
        if document is not self.quota_configuration:
            self.quota_configuration = document
            self.quota_owner.configure(limits.limits_of(document), self.now)

    def tick_quota(self) -> None:
        """Apply new limits, begin the ownership of new shards, and drop expired grants.

        Limits are tracked for the shards of others too, so that a new owner knows the former limits. A shard
        begins as early as possible, so that shares granted by its former owner end early."""
        self.record_quota_lease()
        self.configure_quota()
        for shard in self.shards():
            if self.may_count_limits(shard):
                self.begin_quota_ownership(shard)
        if self.now - self.quota_expired_at >= EXPIRE_EVERY_MS:
            self.quota_expired_at = self.now
            self.quota_owner.expire(self.now)
