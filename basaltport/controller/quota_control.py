"""Tenants' limits at a controller: it answers for the slices of limits whose shards it owns.

Orders to replicas end with the lease of their owner. The count goes on for a while without it, so that an
election refuses no requests. That is safe, since the next owner of a shard begins as late as with its orders:
`replica_lease_ms` after the shard was given to it, when the former owner's lease was over.
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
END_EARLY_MS = 100
"""An owner without a lease stops so long before another one may begin."""


class QuotaControlNeeds(typing.Protocol):
    """What `QuotaControlMixin` needs of the controller it is part of."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    replica_lease_ms: int

    def shards(self) -> executor_leases.ShardRows:
        """The shards by the agreed state here."""

    def is_owner_here(self, shard: str) -> bool:
        """Whether a shard is this controller's, as far as it knows."""

    def former_owner_stopped(self, shard: str) -> bool:
        """Whether so much time has passed that the former owner does nothing any more."""

    def executor_leased(self) -> bool:
        """Whether nobody else can own what is this controller's."""

    def send(self, address: str, message: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Needs = QuotaControlNeeds
else:
    Needs = object


class QuotaControlMixin(Needs):
    """`quota_owner`: the counts of the tenants whose shards this controller owns, or owned last."""

    def quota_start(self, quota_bounds: bounds.QuotaBounds) -> None:
        """Begin as the owner of nothing."""
        self.quota_owner = owner.QuotaOwner(quota_bounds)
        self.quota_fences: dict[str, int] = {}
        """By shard: the fencing token under which its tenants are counted here."""
        self.quota_document: object = None
        self.quota_expired_at = self.now
        self.quota_leased_at = LONG_AGO

    def counts_for(self, shard: str) -> bool:
        """Whether this controller alone may count for a shard now."""
        if not self.is_owner_here(shard) or not self.former_owner_stopped(shard):
            return False
        return self.now - self.quota_leased_at < self.replica_lease_ms - END_EARLY_MS

    def note_quota_lease(self) -> None:
        """Note until when this controller was surely leased."""
        if self.executor_leased():
            self.quota_leased_at = self.now

    def hear_quota_request(self, source: str, request: messages.QuotaRequest) -> None:
        """A proxy asks for tokens and shares; who does not count for their shard says nothing."""
        self.note_quota_lease()
        if not self.counts_for(request.shard):
            return
        self.begin_quota_ownership(request.shard)
        self.configure_quota()
        grant = self.quota_owner.answer(request, self.now)
        if grant is not None:
            self.send(request.address, grant)

    def begin_quota_ownership(self, shard: str) -> None:
        """Under another fencing token, or after a start, nothing is known of what was granted before."""
        fence = self.shards()[shard].fence
        if self.quota_fences.get(shard, NO_FENCE) != fence:
            self.quota_fences[shard] = fence
            self.quota_owner.begin(shard, fence, self.now)

    def configure_quota(self) -> None:
        """Take the limits that are in force here."""
        document = self.cluster_state.configuration
        if document is not self.quota_document:
            self.quota_document = document
            self.quota_owner.configure(limits.limits_of(document), self.now)

    def tick_quota(self) -> None:
        """Know each limit that was in force, also for shards of others; begin with shards as soon as they are
        counted for, so that shares of their former owners are over as early as can be; forget what ended."""
        self.note_quota_lease()
        self.configure_quota()
        for shard in self.shards():
            if self.counts_for(shard):
                self.begin_quota_ownership(shard)
        if self.now - self.quota_expired_at >= EXPIRE_EVERY_MS:
            self.quota_expired_at = self.now
            self.quota_owner.expire(self.now)
