"""Entries of the replicated log and the operations that they carry.

An operation says what changes, in the terms of the cluster state that it changes; `state_machine` applies
it and `codec` knows its stored and sent form. `unknown` holds what a newer release stored beside the fields
known here, so that it survives being read and written by this one.
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
    """A member as the log and other members have it; addresses are `host:port`."""

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
    """A replica as the platform lists it."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"url": "url", "zone": "zone", "group": "group"}

    url: str
    zone: str
    group: str
    unknown: Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """A member takes the place of the one that voted under another id."""

    former_id: str
    member: MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Operation(old_keys.OldKeys):
    """What an entry changes. `change_id`: the operator's id of the change, where an operator asked for it."""

    KIND: typing.ClassVar[str] = ""
    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"op": "kind", "change": "change_id"}
    OPTIONAL_KEYS: typing.ClassVar[frozenset[str]] = frozenset({"change", "give", "ripe"})

    change_id: str | None = dataclasses.field(default=None, kw_only=True)
    unknown: Unknown = dataclasses.field(default=(), kw_only=True)

    @property
    def kind(self) -> str:
        """The name of the operation in the log and in its history."""
        return self.KIND


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterFounded(Operation):
    """The first entry: who the members are and which of them keep a disk. `voting` is "ledgers" where members
    with a disk alone are in the list and vote; `kept_changes` is how many change ids are remembered."""

    KIND: typing.ClassVar[str] = "found"

    members: collections.abc.Mapping[str, MemberRecord]
    disk_members: tuple[str, ...]
    voting: str | None = None
    kept_changes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TermBegun(Operation):
    """A leader was elected; `disk_members` is given where most of the former ones are gone."""

    KIND: typing.ClassVar[str] = "lead"

    replacements: tuple[Replacement, ...] = ()
    removed: tuple[str, ...] = ()
    disk_members: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged(Operation):
    """Members take others' places, one is added, some are removed. `replacements` is None where all voters
    have disks, and there one change is made at a time."""

    KIND: typing.ClassVar[str] = "roster"

    replacements: tuple[Replacement, ...] | None = None
    added: MemberRecord | None = None
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JointChangeBegun(Operation):
    """From here on a majority of the former members and one of the next are needed for whatever is
    decided."""

    KIND: typing.ClassVar[str] = "joint"

    removed: tuple[str, ...]
    added: tuple[MemberRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JointChangeCompleted(Operation):
    """The former members count no more."""

    KIND: typing.ClassVar[str] = "final"


@dataclasses.dataclass(frozen=True, slots=True)
class DiskMembersSet(Operation):
    """The members whose disks count for agreement."""

    KIND: typing.ClassVar[str] = "ledgers"

    disk_members: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPut(Operation):
    """A whole configuration in place of the one in force."""

    KIND: typing.ClassVar[str] = "manifest"

    configuration: Document | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationMerged(Operation):
    """A merge patch (RFC 7396) of the configuration."""

    KIND: typing.ClassVar[str] = "patch"

    patch: Document


@dataclasses.dataclass(frozen=True, slots=True)
class ItemsPatched(Operation):
    """Named items of a routing configuration are put or removed."""

    KIND: typing.ClassVar[str] = "alter"

    patch: Document


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEvacuated(Operation):
    """No new requests go to a zone."""

    KIND: typing.ClassVar[str] = "drain"

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationWithdrawn(Operation):
    """Requests go to a zone again."""

    KIND: typing.ClassVar[str] = "undrain"

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLeaving(Operation):
    """The platform will stop a replica."""

    KIND: typing.ClassVar[str] = "leaving"

    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicasListed(Operation):
    """The platform's list of replicas by id."""

    KIND: typing.ClassVar[str] = "platform"

    replicas: collections.abc.Mapping[str, ListedReplica]


@dataclasses.dataclass(frozen=True, slots=True)
class RolesAssigned(Operation):
    """Owners of singleton roles by role. `after_restart`: every owner before is known to have ended, so that
    nothing of theirs is under way."""

    KIND: typing.ClassVar[str] = "duty"

    owners: collections.abc.Mapping[str, str]
    after_restart: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsAssigned(Operation):
    """Owners of shards by shard, None for nobody; the entry's index is their fencing token. `settled`: shards
    whose owners have waited out the one before."""

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
    """An operation of a newer release: it can be held and passed on, but not applied."""

    stored_kind: str
    fields: Unknown = ()

    @property
    def kind(self) -> str:
        """The name that the newer release gave it."""
        return self.stored_kind


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry(old_keys.OldKeys):
    """One entry of the log, of the leader of a term."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"s": "index", "g": "term", "op": "operation"}

    index: identifiers.LogIndex
    term: identifiers.Term
    operation: Operation
    unknown: Unknown = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord(old_keys.OldKeys):
    """A record of a member's disk: it follows no leader of an earlier term than this."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"promise": "term"}

    term: identifiers.Term


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRecord(old_keys.OldKeys):
    """A record of a member's disk: an entry that it holds."""

    OLD_KEYS: typing.ClassVar[dict[str, str]] = {"entry": "entry"}

    entry: LogEntry


DiskRecord = TermRecord | EntryRecord


def are_contiguous(entries: collections.abc.Iterable[LogEntry], after: int) -> bool:
    """Whether the entries follow one another without a gap from the one behind `after` on."""
    return all(entry.index == after + i for i, entry in enumerate(entries, 1))
