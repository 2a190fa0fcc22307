"""Messages between nodes of the JSON API; field types decide the bytes on the connection (see `frames`).

A `fence` is the fencing token of the zone's owner; of two messages the one with the lower fence is ignored.
"""

import typing

import basaltport.identifiers as identifiers
import basaltport.messages as messages

Document = dict[str, typing.Any]
Rows = list[typing.Any]


@messages.message(10)
class RingHeartbeat:
    """Heartbeat to a watcher that the ring names."""

    member_id: identifiers.MemberId
    sequence: int


@messages.message(11)
class SuspicionReport:
    """A watcher tells the leader which member it misses."""

    watcher_id: identifiers.MemberId
    suspect_id: identifiers.MemberId


@messages.message(12)
class CellUpdate:
    """Changed rows of a zone's cell, or with `ranges` whole ranges of it, and digests of all its rows.

    `rows`: state by replica, or by `replica|item`; `removed`: keys of rows that are gone; `digests`: one
    for each range of keys; `ranges`: marks of the ranges that are sent whole, or ""."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    member_id: identifiers.MemberId
    version: int
    rows: Document
    removed: Rows
    digests: Rows
    ranges: str


@messages.message(20)
class CellRequest:
    """A member asks the zone's controller for the rows of a cell in some ranges."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    member_id: identifiers.MemberId
    ranges: str


@messages.message(13)
class ModelStatusRequest:
    """A query node asks a zone's controller how an item stands; `wake` orders the load."""

    request_number: int
    member_id: identifiers.MemberId
    item: identifiers.Item
    zone: identifiers.Zone
    wake: bool
    pool: str


@messages.message(14)
class ModelStatus:
    """The answer to a `ModelStatusRequest`.

    `state`: loaded, loading or unavailable, with `reason`; `retry_after`, `idle_window`, `expected` (load
    time), `serving_for` (-1: does not serve) and `loading_for` are in milliseconds."""

    request_number: int
    zone: identifiers.Zone
    item: identifiers.Item
    state: str
    retry_after: identifiers.Millis
    kept: bool
    idle_window: identifiers.Millis
    expected: identifiers.Millis
    serving_for: identifiers.Millis
    loading_for: identifiers.Millis
    replicas: Rows
    reason: str


@messages.message(15)
class SlotRequest:
    """A query node's need of slots in a zone.

    `rows`: [slots in use, slots wanted besides] by replica; `seen`: number of the last `SlotGrants` that
    the node has taken."""

    member_id: identifiers.MemberId
    sequence: int
    zone: identifiers.Zone
    fence: identifiers.Fence
    seen: int
    rows: Document


@messages.message(16)
class SlotGrants:
    """The slots that a node may use, by replica; `acknowledged` is the request's sequence."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    acknowledged: int
    number: int
    rows: Document


@messages.message(17)
class LoadPermitRequest:
    """A zone's controller asks for permits to load from the weight store; `held` and `desired`: how many by
    pool, with `?` for loads that may still go on at replicas not heard of yet."""

    member_id: identifiers.MemberId
    zone: identifiers.Zone
    fence: identifiers.Fence
    sequence: int
    held: Document
    desired: Document


@messages.message(18)
class LoadPermitGrant:
    """The answer to a `LoadPermitRequest`: how many by pool."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    sequence: int
    granted: Document


@messages.message(19)
class LeavingNotice:
    """Sent ahead of the agreed log: a replica is leaving, or a zone is evacuated; "" for none."""

    replica: str
    zone: str


@messages.message(23)
class KeyClaim:
    """A request claims its client's idempotency key at a key holder.

    `holders_since`: the log index that made these members the holders; `attempt` grows with every claim
    that must not be confused with an earlier one."""

    key_id: str
    digest: str
    request_id: identifiers.RequestId
    owner_id: identifiers.MemberId
    holders_since: identifiers.LogIndex
    attempt: int


@messages.message(24)
class KeyClaimAnswer:
    """The answer to a `KeyClaim`.

    `state`: granted, taken, done, unknown, other (another body), full, or blank (not known here yet, for
    `left` milliseconds at most); `status` and `response` are those of a finished request."""

    member_id: identifiers.MemberId
    request_id: identifiers.RequestId
    attempt: int
    state: str
    status: int
    response: Document
    owner_id: identifiers.MemberId
    left: identifiers.Millis


@messages.message(25)
class KeyOutcome:
    """What came of a claim; `state`: free (never ran, never will), done or unknown."""

    key_id: str
    digest: str
    request_id: identifiers.RequestId
    owner_id: identifiers.MemberId
    attempt: int
    state: str
    status: int
    response: Document


@messages.message(26)
class KeyRangeRequest:
    """A new holder of a range of keys asks one before it for what it holds.

    `since`: the log index that made the new one a holder; `former_since`: the one that made the other;
    `digest`: of what the new one has already."""

    member_id: identifiers.MemberId
    range: int
    since: identifiers.LogIndex
    former_since: identifiers.LogIndex
    digest: int


@messages.message(27)
class KeyRangeCopy:
    """The answer to a `KeyRangeRequest`: [milliseconds left, claims] by key."""

    member_id: identifiers.MemberId
    range: int
    since: identifiers.LogIndex
    rows: Document
