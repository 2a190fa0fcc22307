"""What the controller of a zone holds; nothing of it outlives the ownership."""

import dataclasses
import typing

import basaltport.identifiers as identifiers
import basaltport.query_api.zone_controller.replica as replica
import basaltport.query_api.zone_controller.slot_shares as slot_shares

LONG_AGO = -(10**9)


class DesiredItem(typing.NamedTuple):
    """An item that some query node waits for, and the pool that pays for its load."""

    desired_at: int
    pool: str


@dataclasses.dataclass(slots=True, eq=False)
class OwnedZone:
    """A zone that this node controls, under the fencing token `fence`, since the time `since`.

    `load_budget`: loads that the store has permitted, by pool; `waiting_loads`: items that wait for a
    permit; `rejected`: why an item cannot be placed; `published`: the rows last sent to all members;
    `recent_loads_ms`: how long each item's last loads took."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    since: int
    slots: slot_shares.SlotShares
    placed_at: int
    replicas: dict[str, replica.ControlledReplica] = dataclasses.field(default_factory=dict)
    desired: dict[identifiers.Item, DesiredItem] = dataclasses.field(default_factory=dict)
    waiting_loads: dict[identifiers.Item, DesiredItem] = dataclasses.field(default_factory=dict)
    load_budget: dict[str, int] = dataclasses.field(default_factory=dict)
    permit_sequence: int = 0
    permits_requested_at: int = LONG_AGO
    version: int = 0
    published_at: int = LONG_AGO
    published: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    recent_loads_ms: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    rejected: dict[str, str] = dataclasses.field(default_factory=dict)

    def has_unheard_replicas(self) -> bool:
        """Whether some replica has not reported to this controller yet."""
        return any(not known.heard for known in self.replicas.values())


def new(zone: identifiers.Zone, fence: identifiers.Fence, now: identifiers.Millis) -> OwnedZone:
    """A zone that was just taken over; its first placement is due one interval from now."""
    return OwnedZone(zone, fence, now, slot_shares.SlotShares(now), now)
