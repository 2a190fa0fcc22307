"""The replicated state, and the effect of each operation on it.

`apply` is pure: it returns a new state and leaves the previous one unchanged, so that a state may be kept,
sent or written while later entries are applied.
"""

import collections.abc
import dataclasses
import typing

import basaltport.configuration.patch as patch
import basaltport.configuration.routes as routes
import basaltport.consensus.log as log
import basaltport.consensus.old_keys as old_keys
import basaltport.errors as errors
import basaltport.hash_ring as hash_ring
import basaltport.identifiers as identifiers
import basaltport.range_digests as ranges

KEPT_CHANGES = 200
"""Number of change ids and history records that are kept if the founding entry does not specify it."""
HOLDERS_PER_RANGE = 5
VOTING_DISK_MEMBERS = "ledgers"
ROLE_OF_QUERY_NODES = "rostrum"

Members = collections.abc.Mapping[str, log.MemberRecord]
Indexes = collections.abc.Mapping[str, int]
Changes = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOwner(old_keys.OldKeys):
    """The owner of a singleton role. `fence`: index of the entry that assigned it. `first`: no action of a
    former owner can still be in progress. `is_new`: the role had no owner before."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {
        "owner": "owner",
        "fence": "fence",
        "first": "first",
        "new": "is_new",
    }

    owner: str
    fence: int
    first: bool
    is_new: bool = False
    unknown: log.Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Shard(old_keys.OldKeys):
    """The member that may send orders for a shard of the replicas, with its fencing token. `former_owner`:
    the member whose orders may still be in progress; the owner itself once it has waited for them to end."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"owner": "owner", "fence": "fence", "was": "former_owner"}

    owner: str | None
    fence: int
    former_owner: str | None
    unknown: log.Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHolder:
    """A member that stores a range of idempotency keys: the index of the entry by which it joined, and those
    by which the previous holders had joined."""

    joined: int
    predecessors: Indexes

    def __iter__(self) -> collections.abc.Iterator[typing.Any]:
        """TEMPORARY: iterate as over a pair."""
        return iter((self.joined, self.predecessors))

    def __getitem__(self, i: int) -> old_keys.StoredValue:
        """TEMPORARY: return an item as of a pair."""
        return (self.joined, self.predecessors)[i]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange(old_keys.OldKeys):
    """The holders of a range of idempotency keys since the entry of index `since`."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"at": "since", "seats": "holders"}

    since: int
    holders: collections.abc.Mapping[str, KeyHolder]
    unknown: log.Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRecord(old_keys.OldKeys):
    """A committed change that an operator requested."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {
        "serial": "log_index",
        "op": "operation",
        "change": "change_id",
    }

    log_index: int
    operation: str
    change_id: str
    unknown: log.Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterState(old_keys.OldKeys):
    """The committed state up to the entry of `log_index`, which the leader of `term` appended.

    `configuration_version`: index of the entry that set `configuration`. `recent_changes`: index of the entry
    by change id, oldest first. `members`: by member id; `former_members`: the previous members during a joint
    change, else None. `evacuated_zones`, `leaving_replicas`: index of the entry by name. `key_holders`: by
    number of the key range. `voting`: "ledgers" if only members with disks are listed and vote.
    `kept_changes`: number of change ids that are remembered, None for KEPT_CHANGES. `unknown`: fields that a
    newer release stored.
    """

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {
        "serial": "log_index",
        "gen": "term",
        "mserial": "configuration_version",
        "manifest": "configuration",
        "changes": "recent_changes",
        "roster": "members",
        "ledgers": "disk_members",
        "drains": "evacuated_zones",
        "leaving": "leaving_replicas",
        "platform": "listed_replicas",
        "duties": "role_owners",
        "history": "history",
        "keepers": "key_holders",
        "voters": "voting",
        "keep": "kept_changes",
        "slices": "shards",
        "former": "former_members",
    }
    OPTIONAL_KEYS: typing.ClassVar[frozenset[str]] = frozenset({"voters", "keep", "slices", "former"})

    log_index: identifiers.LogIndex = identifiers.LogIndex(0)
    term: identifiers.Term = identifiers.Term()
    configuration_version: identifiers.LogIndex = identifiers.LogIndex(0)
    configuration: log.Document | None = None
    recent_changes: Indexes = dataclasses.field(default_factory=dict)
    members: Members = dataclasses.field(default_factory=dict)
    disk_members: tuple[str, ...] = ()
    evacuated_zones: Indexes = dataclasses.field(default_factory=dict)
    leaving_replicas: Indexes = dataclasses.field(default_factory=dict)
    listed_replicas: collections.abc.Mapping[str, log.ListedReplica] = dataclasses.field(default_factory=dict)
    role_owners: collections.abc.Mapping[str, RoleOwner] = dataclasses.field(default_factory=dict)
    history: tuple[HistoryRecord, ...] = ()
    key_holders: collections.abc.Mapping[str, KeyRange] = dataclasses.field(default_factory=dict)
    voting: str | None = None
    kept_changes: int | None = None
    shards: collections.abc.Mapping[str, Shard] = dataclasses.field(default_factory=dict)
    former_members: Members | None = None
    unknown: log.Unknown = ()

    @property
    def only_disk_members_vote(self) -> bool:
        """Whether only members with disks are listed and vote."""
        return self.voting is not None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicatedState(old_keys.OldKeys):
    """The log of a member: the committed state, and the entries after it that are not known to be
    committed."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"book": "cluster_state", "tail": "uncommitted"}

    cluster_state: ClusterState = ClusterState()
    uncommitted: tuple[log.LogEntry, ...] = ()

    @property
    def last_index(self) -> identifiers.LogIndex:
        """The index of the last log entry."""
        return self.uncommitted[-1].index if self.uncommitted else self.cluster_state.log_index

    @property
    def last_term(self) -> identifiers.Term:
        """The term of the last log entry."""
        return self.uncommitted[-1].term if self.uncommitted else self.cluster_state.term


def apply(state: ClusterState, entry: log.LogEntry) -> ClusterState:
    """Return the state after a committed entry; UnknownOperationError for an operation of a newer release."""
    operation, index = entry.operation, entry.index
    effect = _EFFECTS.get(type(operation))
    if effect is None:
        raise errors.UnknownOperationError(operation.kind, index)
    changes = effect(state, operation, index)
    if operation.change_id is not None:
        changes |= _record_change_id(state, operation, index)
    return dataclasses.replace(state, log_index=index, term=entry.term, **changes)


def apply_all(state: ClusterState, entries: collections.abc.Iterable[log.LogEntry]) -> ClusterState:
    """Return the state after consecutive entries."""
    for entry in entries:
        state = apply(state, entry)
    return state


def _record_change_id(state: ClusterState, operation: log.Operation, index: int) -> Changes:
    """Record a change id, so that a repeated request for the change is recognized, and add the change to the
    history."""
    recent = {**state.recent_changes, str(operation.change_id): index}
    kept = KEPT_CHANGES if state.kept_changes is None else state.kept_changes
    while len(recent) > kept:
        del recent[next(iter(recent))]
    row = HistoryRecord(index, operation.kind, str(operation.change_id))
    return {"recent_changes": recent, "history": (*state.history, row)[-KEPT_CHANGES:]}


# members


def _cluster_founded(state: ClusterState, operation: log.ClusterFounded, index: int) -> Changes:
    changes: Changes = {"members": dict(operation.members), "disk_members": operation.disk_members}
    if operation.voting is not None:
        changes["voting"] = operation.voting
    if operation.kept_changes is not None:
        changes["kept_changes"] = operation.kept_changes
    return _with_key_holders(state, changes, index)


def _term_begun(state: ClusterState, operation: log.TermBegun, index: int) -> Changes:
    changes = _membership(state, operation.replacements, None, operation.removed, index)
    if operation.disk_members and not state.only_disk_members_vote:
        changes["disk_members"] = operation.disk_members
    return changes


def _members_changed(state: ClusterState, operation: log.MembersChanged, index: int) -> Changes:
    return _membership(state, operation.replacements or (), operation.added, operation.removed, index)


def _membership(
    state: ClusterState,
    replacements: collections.abc.Iterable[log.Replacement],
    added: log.MemberRecord | None,
    removed: collections.abc.Iterable[str],
    index: int,
) -> Changes:
    members = dict(state.members)
    disk_members = list(state.disk_members)
    for replacement in replacements:
        former_id, member = replacement.former_id, replacement.member
        members.pop(former_id, None)
        members[member.member_id] = member
        disk_members = [member.member_id if kept == former_id else kept for kept in disk_members]
    if added:
        members[added.member_id] = added
    for member_id in removed:
        members.pop(member_id, None)
        disk_members = [kept for kept in disk_members if kept != member_id]
    if state.only_disk_members_vote:
        disk_members = sorted(members)
    return _with_key_holders(state, {"members": members, "disk_members": tuple(disk_members)}, index)


def _joint_change_begun(state: ClusterState, operation: log.JointChangeBegun, index: int) -> Changes:
    members = {
        member_id: record for member_id, record in state.members.items() if member_id not in operation.removed
    }
    members.update({member.member_id: member for member in operation.added})
    return {
        "former_members": dict(state.members),
        "members": members,
        "disk_members": tuple(sorted(members)),
    }


def _joint_change_completed(state: ClusterState, operation: log.JointChangeCompleted, index: int) -> Changes:
    return {"former_members": None}


def _disk_members_set(state: ClusterState, operation: log.DiskMembersSet, index: int) -> Changes:
    return {"disk_members": operation.disk_members}


# holders of the ranges of idempotency keys


def needs_fewer(new: collections.abc.Sized, old: collections.abc.Sized) -> bool:
    """Whether a majority of `new` is smaller than a majority of `old`."""
    return len(new) // 2 < len(old) // 2


def _with_key_holders(state: ClusterState, changes: Changes, index: int) -> Changes:
    """Add the holders of each key range: HOLDERS_PER_RANGE query nodes, each with the entry by which it
    joined and the previous holders. If a majority of the new holders would be smaller than one of the
    previous holders, the remaining ones join anew as well."""
    if state.only_disk_members_vote or changes.get("voting") is not None:
        return changes
    nodes = {
        record.name: member_id
        for member_id, record in changes["members"].items()
        if record.role == ROLE_OF_QUERY_NODES
    }
    changes["key_holders"] = {
        number: _key_range(number, state.key_holders.get(number), nodes, index)
        for number in map(str, range(ranges.RANGES))
    }
    return changes


def _key_range(number: str, before: KeyRange | None, nodes: dict[str, str], index: int) -> KeyRange:
    before = before or KeyRange(0, {})
    chosen = {nodes[name] for name in hash_ring.successors(f"keys/{number}", nodes, HOLDERS_PER_RANGE)}
    if not chosen or chosen == before.holders.keys():
        return before
    predecessors = {member_id: holder.joined for member_id, holder in before.holders.items()}
    joins = KeyHolder(index, predecessors)
    remaining = {} if needs_fewer(chosen, before.holders) else before.holders
    return KeyRange(index, {member_id: remaining.get(member_id, joins) for member_id in sorted(chosen)})


# configuration, zones, replicas


def _configuration_put(state: ClusterState, operation: log.ConfigurationPut, index: int) -> Changes:
    return {"configuration": operation.configuration, "configuration_version": index}


def _configuration_merged(state: ClusterState, operation: log.ConfigurationMerged, index: int) -> Changes:
    merged = patch.merge(state.configuration, operation.patch)
    return {"configuration": merged, "configuration_version": index}


def _items_patched(state: ClusterState, operation: log.ItemsPatched, index: int) -> Changes:
    patched = routes.patch(typing.cast(typing.Any, state.configuration), dict(operation.patch))
    return {"configuration": patched, "configuration_version": index}


def _zone_evacuated(state: ClusterState, operation: log.ZoneEvacuated, index: int) -> Changes:
    return {"evacuated_zones": {**state.evacuated_zones, operation.zone: index}}


def _evacuation_withdrawn(state: ClusterState, operation: log.EvacuationWithdrawn, index: int) -> Changes:
    return {
        "evacuated_zones": {
            zone: since for zone, since in state.evacuated_zones.items() if zone != operation.zone
        }
    }


def _replica_leaving(state: ClusterState, operation: log.ReplicaLeaving, index: int) -> Changes:
    return {"leaving_replicas": {**state.leaving_replicas, operation.replica: index}}


def _replicas_listed(state: ClusterState, operation: log.ReplicasListed, index: int) -> Changes:
    leaving = {
        replica: since for replica, since in state.leaving_replicas.items() if replica in operation.replicas
    }
    return {"listed_replicas": operation.replicas, "leaving_replicas": leaving}


# owners


def _roles_assigned(state: ClusterState, operation: log.RolesAssigned, index: int) -> Changes:
    before = state.role_owners
    assigned = {
        role: RoleOwner(owner, index, operation.after_restart or role not in before, role not in before)
        for role, owner in operation.owners.items()
    }
    return {"role_owners": {**before, **assigned}}


def _shards_assigned(state: ClusterState, operation: log.ShardsAssigned, index: int) -> Changes:
    shards = dict(state.shards)
    for number, owner in operation.owners.items():
        before = shards.get(number)
        former = (before.owner or before.former_owner) if before else owner
        shards[number] = Shard(owner, index, former)
    for number in operation.settled:
        shards[number] = dataclasses.replace(shards[number], former_owner=shards[number].owner)
    return {"shards": shards}


_EFFECTS: dict[type, typing.Callable[[ClusterState, typing.Any, int], Changes]] = {
    log.ClusterFounded: _cluster_founded,
    log.TermBegun: _term_begun,
    log.MembersChanged: _members_changed,
    log.JointChangeBegun: _joint_change_begun,
    log.JointChangeCompleted: _joint_change_completed,
    log.DiskMembersSet: _disk_members_set,
    log.ConfigurationPut: _configuration_put,
    log.ConfigurationMerged: _configuration_merged,
    log.ItemsPatched: _items_patched,
    log.ZoneEvacuated: _zone_evacuated,
    log.EvacuationWithdrawn: _evacuation_withdrawn,
    log.ReplicaLeaving: _replica_leaving,
    log.ReplicasListed: _replicas_listed,
    log.RolesAssigned: _roles_assigned,
    log.ShardsAssigned: _shards_assigned,
}
