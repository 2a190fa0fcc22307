"""The owner's side of the count: gives tokens and shares of tenants' limits to proxies that ask."""

import collections.abc

import basaltport.quota.bounds as bounds
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes


class QuotaOwner:
    """The counts of the shards that a controller owns. `now` is steady time in ms that counts suspension, read
    after the request has come and while the ownership is surely held."""

    def __init__(self, quota_bounds: bounds.QuotaBounds) -> None:
        """It owns nothing."""
        raise NotImplementedError

    def begin(self, shard: str, fence: int, now: int) -> None:
        """The ownership of a shard begins: nobody else owns it from now on, and what its tenants had is unknown. With
        the fence that it has already: nothing."""
        raise NotImplementedError

    def configure(self, limits: collections.abc.Mapping[str, bounds.TenantLimit], now: int) -> None:
        """The limits now in force."""
        raise NotImplementedError

    def answer(self, request: messages.QuotaRequest, now: int) -> messages.QuotaGrant | None:
        """The answer to a proxy; None if the shard isn't owned."""
        raise NotImplementedError

    def expire(self, now: int) -> None:
        """Forget what has ended; each second or so."""
        raise NotImplementedError

    def counts(self) -> outcomes.OwnerCounts:
        """For metrics."""
        raise NotImplementedError

    def tenants(self, now: int) -> list[outcomes.OwnedTenant]:
        """How each tenant stands, for operators."""
        raise NotImplementedError
