"""A proxy's side of the count: its shares of tenants' limits, and requests that wait for the owner."""

import collections.abc

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes


class QuotaHolder:
    """Admits requests within their tenants' limits. `now` is steady time in ms that counts suspension and is read
    after the request or the grant has come; `incarnation` differs at each start of the proxy."""

    def __init__(
        self, name: identifiers.Name, incarnation: int, address: str, quota_bounds: bounds.QuotaBounds
    ) -> None:
        """Nothing is held. `address`: where grants are to be sent."""
        raise NotImplementedError

    def configure(self, limits: collections.abc.Mapping[str, bounds.TenantLimit], now: int) -> None:
        """The limits now in force; a tenant that isn't among them has none."""
        raise NotImplementedError

    def admit(self, tenant: str, request_id: identifiers.RequestId, now: int) -> outcomes.Admission:
        """Whether a request may go now; each that is admitted has taken a token."""
        raise NotImplementedError

    def forget(self, request_id: identifiers.RequestId) -> None:
        """A request that waits is gone."""
        raise NotImplementedError

    def take_requests(self, now: int) -> list[messages.QuotaRequest]:
        """What is to be sent to the owners of the shards now; called after `admit` and at each tick."""
        raise NotImplementedError

    def hear(self, grant: messages.QuotaGrant, now: int) -> list[outcomes.Settled]:
        """An owner's answer, and what that settles."""
        raise NotImplementedError

    def tick(self, now: int) -> list[outcomes.Settled]:
        """Requests whose owner didn't answer in time; at least each 50 ms while any wait."""
        raise NotImplementedError

    def counts(self) -> outcomes.HolderCounts:
        """For metrics."""
        raise NotImplementedError
