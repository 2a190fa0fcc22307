"""The results of applying tenants' limits: decisions on requests, and counts for metrics and operators."""

import enum
import typing

import basaltport.identifiers as identifiers


class Outcome(enum.Enum):
    """The decision on a request. WAITING: tokens are requested from an owner; a `WaitResult` follows within
    `holder.MAX_WAIT_MS` + `holder.OWNER_TIMEOUT_MS` and a tick."""

    ADMITTED = "admitted"
    WAITING = "waiting"
    REFUSED = "refused"


class Reason(enum.Enum):
    """Why a request was refused. OWNER_SILENT: an owner doesn't answer, so the limit can't be checked."""

    NONE = ""
    OVER_LIMIT = "over the tenant's limit"
    OWNER_SILENT = "the count's owner is silent"


class Admission(typing.NamedTuple):
    """The immediate decision on a request; `retry_after_ms` is set if it is refused."""

    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0


class WaitResult(typing.NamedTuple):
    """The decision on a request that waited for an owner."""

    request_id: identifiers.RequestId
    is_admitted: bool
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0


class HolderCounts(typing.NamedTuple):
    """A proxy's counts of requests since its start; `waited_ms` is the total wait for owners."""

    admitted_by_share: int = 0
    admitted_by_owner: int = 0
    refused_over_limit: int = 0
    refused_owner_silent: int = 0
    waited_ms: int = 0
    asks: int = 0
    renewals: int = 0
    shares: int = 0
    """The number of shares that are held now."""
    waiting: int = 0
    """The number of requests that wait now."""


class OwnerCounts(typing.NamedTuple):
    """A controller's counts of requested and granted tokens since its start."""

    asked: int = 0
    granted: int = 0
    requests: int = 0
    tenants: int = 0
    """The number of tenants' slices that are tracked now."""


class OwnedTenant(typing.NamedTuple):
    """The state of a slice of a tenant's limit at its owner.

    `outstanding`: millionths that `holders` proxies hold as shares. `unknown`: millionths that an earlier
    owner may have granted. `level`: tokens in the bucket, of at most `capacity`."""

    tenant: identifiers.TenantName
    shard: str
    outstanding: int
    unknown: int
    holders: int
    level: float
    capacity: float
