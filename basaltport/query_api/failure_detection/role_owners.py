"""Singleton roles (one controller for each zone, one for the weight store) and which query node owns each.

The leader agrees the owners; the log index of the entry that names an owner is its fencing token.
"""

import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.rendezvous as rendezvous

SUSPECTED_AFTER_MS = 1500
LOST_AFTER_MS = 4000
ALL_NODES_REPLACED_WAIT_MS = 400
WATCHERS_NEEDED = 2
STORE_ROLE = "store"
ZONE_ROLE_PREFIX = "zone/"

Row = dict[str, typing.Any]


def zone_role(zone: str) -> str:
    """The role of a zone's controller, by its key in the agreed state."""
    return ZONE_ROLE_PREFIX + zone


def all_roles(configuration: log.Document | None) -> list[str]:
    """All singleton roles: one for each zone, and the weight store's."""
    return [zone_role(zone) for zone in sorted((configuration or {}).get("zones", {}))] + [STORE_ROLE]


def choose_owner(role: str, live: list[log.MemberRecord]) -> str:
    """The member id of the owner: of the highest weight among the live nodes, the zone's own nodes first."""
    local = [row for row in live if zone_role(row.zone) == role]
    owner: str = max(local or live, key=lambda row: rendezvous.weight(role, row.name)).member_id
    return owner


class LeaderInterface(typing.Protocol):
    """What `RoleOwnerMixin` needs of the leader it is part of; see `consensus.lead` and `RingMixin`."""

    now: identifiers.Millis
    leading_since_ms: int
    all_query_nodes_replaced: bool
    policy: voting_policy.VotingPolicy
    appended_state: state_machine.ClusterState
    stopped_followers: set[str]
    follower_lease_ends: dict[str, int]

    def has_committed_in_term(self) -> bool:
        """Whether an entry of this leader's term is committed."""

    def has_uncommitted(self, *ops: str) -> bool:
        """Whether an entry of these operations is uncommitted."""

    def silence_ms(self, s: str) -> int:
        """For how many milliseconds a member has been silent."""

    def missed_by(self, s: str) -> int:
        """How many watchers miss a member."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""

    def append(self, op: Row) -> identifiers.LogIndex:
        """Propose an entry."""


if typing.TYPE_CHECKING:
    Interface = LeaderInterface
else:
    Interface = object


class RoleOwnerMixin(Interface):
    """Gives roles to owners and, once an owner's lease has surely expired, to others."""

    all_query_nodes_replaced: bool

    def keep_duties(self) -> None:
        """Propose owners for the roles that have none or lost theirs."""
        if not self.has_committed_in_term() or self.has_uncommitted("duty"):
            return
        if self.now < self.leading_since_ms + (
            ALL_NODES_REPLACED_WAIT_MS if self.all_query_nodes_replaced else self.policy.follower_lease_ms
        ):
            return
        state = self.appended_state
        if state.configuration is None:
            return
        live = [row for member_id, row in state.members.items() if self.may_own(member_id, row)]
        if not live:
            return
        roles = all_roles(state.configuration)
        owners = {role: choose_owner(role, live) for role in roles if self.lacks_owner(state, role)}
        if owners:
            self.propose_owners(owners, set(roles))

    def propose_owners(self, owners: dict[str, str], roles: set[str]) -> None:
        """Append the entry that names owners; `fresh` in it: no owner before can still act."""
        self.note(log_events.Event.ROLES_ASSIGNED, owners=owners)
        operation: Row = {"op": "duty", "owners": owners}
        if self.all_query_nodes_replaced and set(owners) == roles:
            operation["fresh"] = True
        self.append(operation)
        self.all_query_nodes_replaced = False

    def may_own(self, member_id: str, row: log.MemberRecord) -> bool:
        """Whether a member may be given roles."""
        is_query_node = bool(row.role == "rostrum")
        return (
            is_query_node
            and self.silence_ms(member_id) < SUSPECTED_AFTER_MS
            and member_id not in self.stopped_followers
        )

    def lacks_owner(self, state: state_machine.ClusterState, role: str) -> bool:
        """Whether a role has no owner, or one that is lost."""
        owner = state.role_owners.get(role)
        return not owner or self.is_lost(owner.owner)

    def is_lost(self, member_id: str) -> bool:
        """Never before its lease expired; soon where watchers miss it too, later on the leader alone."""
        if self.now < self.follower_lease_ends.get(member_id, 0):
            return False
        if member_id not in self.appended_state.members or member_id in self.stopped_followers:
            return True
        silent_ms = self.silence_ms(member_id)
        if silent_ms >= LOST_AFTER_MS:
            return True
        return silent_ms >= SUSPECTED_AFTER_MS and self.missed_by(member_id) >= WATCHERS_NEEDED
