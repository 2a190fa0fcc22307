"""Entries of the replicated log and their operations.

An operation describes a change of the cluster state; `state_machine` applies it, and `codec` defines its
stored and sent form. `unknown` holds fields that a newer release stored, so that this release keeps them when
it reads and writes the record.
"""

import collections.abc
import dataclasses
import typing

import basaltport.consensus.old_keys as old_keys
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
Unknown = tuple[tuple[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord(old_keys.OldKeys):
    """A member as stored in the log and sent to other members; addresses are `host:port`."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {
        "name": "name",
        "seat": "member_id",
        "role": "role",
        "zone": "zone",
        "addr": "address",
        "http": "http_address",
    }

    name: str
    member_id: str
    role: str
    zone: str
    address: str
    http_address: str = ""
    unknown: Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReplica(old_keys.OldKeys):
    """A replica in the platform's list."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"url": "url", "zone": "zone", "group": "group"}

    url: str
    zone: str
    group: str
    unknown: Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """A new member that replaces the voter with the id `former_id`."""

    former_id: str
    member: MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Operation(old_keys.OldKeys):
    """The change that an entry makes. `change_id`: the id that an operator gave the change, None for other
    changes."""

    KIND: typing.ClassVar[str] = ""
    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"op": "kind", "change": "change_id"}
    OPTIONAL_KEYS: typing.ClassVar[frozenset[str]] = frozenset({"change", "give", "ripe"})

    change_id: str | None = dataclasses.field(default=None, kw_only=True)
    unknown: Unknown = dataclasses.field(default=(), kw_only=True)

    @property
    def kind(self) -> str:
        """The stored name of the operation, also used in the history."""
        return self.KIND


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterFounded(Operation):
    """The first entry: the initial members, and which of them have disks. `voting` is "ledgers" if only
    members with disks are listed and vote; `kept_changes` is the number of change ids that are remembered."""

    KIND: typing.ClassVar[str] = "found"

    members: collections.abc.Mapping[str, MemberRecord]
    disk_members: tuple[str, ...]
    voting: str | None = None
    kept_changes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TermBegun(Operation):
    """A leader was elected; `disk_members` is given if most of the former disk members are lost."""

    KIND: typing.ClassVar[str] = "lead"

    replacements: tuple[Replacement, ...] = ()
    removed: tuple[str, ...] = ()
    disk_members: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged(Operation):
    """Members are replaced, added or removed. `replacements` is None in clusters in which only disk members
    vote, where each entry makes one change."""

    KIND: typing.ClassVar[str] = "roster"

    replacements: tuple[Replacement, ...] | None = None
    added: MemberRecord | None = None
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JointChangeBegun(Operation):
    """Starts a joint change: from here on each decision needs majorities of both the former and the next
    members."""

    KIND: typing.ClassVar[str] = "joint"

    removed: tuple[str, ...]
    added: tuple[MemberRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JointChangeCompleted(Operation):
    """Completes a joint change: the former members no longer vote."""

    KIND: typing.ClassVar[str] = "final"


@dataclasses.dataclass(frozen=True, slots=True)
class DiskMembersSet(Operation):
    """Sets the members whose disks count for commits."""

    KIND: typing.ClassVar[str] = "ledgers"

    disk_members: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPut(Operation):
    """Replaces the whole configuration."""

    KIND: typing.ClassVar[str] = "manifest"

    configuration: Document | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationMerged(Operation):
    """Applies a JSON merge patch (RFC 7396) to the configuration."""

    KIND: typing.ClassVar[str] = "patch"

    patch: Document


@dataclasses.dataclass(frozen=True, slots=True)
class ItemsPatched(Operation):
    """Adds, replaces or removes named items of a routing configuration."""

    KIND: typing.ClassVar[str] = "alter"

    patch: Document


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEvacuated(Operation):
    """Evacuates a zone: it receives no new requests."""

    KIND: typing.ClassVar[str] = "drain"

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationWithdrawn(Operation):
    """Ends the evacuation of a zone."""

    KIND: typing.ClassVar[str] = "undrain"

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLeaving(Operation):
    """Records that the platform will stop a replica."""

    KIND: typing.ClassVar[str] = "leaving"

    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicasListed(Operation):
    """Replaces the platform's list of replicas, by replica id."""

    KIND: typing.ClassVar[str] = "platform"

    replicas: collections.abc.Mapping[str, ListedReplica]


@dataclasses.dataclass(frozen=True, slots=True)
class RolesAssigned(Operation):
    """Assigns owners to singleton roles, by role. `after_restart`: every former owner is known to have ended,
    so none of its actions is still in progress."""

    KIND: typing.ClassVar[str] = "duty"

    owners: collections.abc.Mapping[str, str]
    after_restart: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsAssigned(Operation):
    """Assigns owners to shards, None for no owner; the entry's index is their fencing token. `settled`:
    shards whose owners have waited until the former owner can no longer act."""

    KIND: typing.ClassVar[str] = "slices"
    OLD_KEYS: typing.ClassVar[dict[str, str]] = {
        "op": "kind",
        "give": "owners",
        "ripe": "settled",
        "change": "change_id",
    }

    owners: collections.abc.Mapping[str, str | None] = dataclasses.field(default_factory=dict)
    settled: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownOperation(Operation):
    """An operation of a newer release: it can be stored and forwarded, but not applied."""

    stored_kind: str
    fields: Unknown = ()

    @property
    def kind(self) -> str:
        """The name that the newer release gave the operation."""
        return self.stored_kind


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry(old_keys.OldKeys):
    """An entry of the log, appended by the leader of its term."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"s": "index", "g": "term", "op": "operation"}

    index: identifiers.LogIndex
    term: identifiers.Term
    operation: Operation
    unknown: Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord(old_keys.OldKeys):
    """A disk record of the highest term that this member knows; it follows no leader of an earlier term."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"promise": "term"}

    term: identifiers.Term


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRecord(old_keys.OldKeys):
    """A disk record of a log entry."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"entry": "entry"}

    entry: LogEntry


DiskRecord = TermRecord | EntryRecord


def are_contiguous(entries: collections.abc.Iterable[LogEntry], after: int) -> bool:
    """Whether the entries follow one another without a gap, starting after the index `after`."""
    return all(entry.index == after + offset for offset, entry in enumerate(entries, 1))
