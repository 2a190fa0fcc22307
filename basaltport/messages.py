"""Messages between members, used by the controllers and by the query API. Field types determine the bytes on
the connection (see `frames`); the numbers that are missing here are those of `query_api.messages` and
`fleet.messages`."""

import collections.abc
import dataclasses
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
Rows = list[typing.Any]
Entries = list[log.LogEntry]
OptionalReplicatedState = state_machine.ReplicatedState | None
FeedState = state_machine.ClusterState | None


class Message(typing.Protocol):
    """The attributes that `message` gives to each class that it registers."""

    KIND: typing.ClassVar[int]
    __dataclass_fields__: typing.ClassVar[dict[str, dataclasses.Field[typing.Any]]]


MessageType = type[Message]

KINDS: dict[int, MessageType] = {}


@typing.dataclass_transform()
def message(number: int) -> collections.abc.Callable[[type], MessageType]:
    """Register a class as the message of this number; its fields, in order, are its form on the wire."""

    def register(cls: type) -> MessageType:
        message_class = typing.cast(MessageType, dataclasses.dataclass(slots=True)(cls))
        message_class.KIND = number
        KINDS[number] = message_class
        return message_class

    return register


@message(1)
class Hello:
    """Introduces a member to others: who it is, the term of its last log entry, and the members it knows
    (`known_members`: their rows)."""

    house: str
    name: identifiers.Name
    member_id: identifiers.MemberId
    role: str
    zone: identifiers.Zone
    addr: str
    http: str
    last_log_term: identifiers.Term
    known_members: Rows


@message(2)
class VoteRequest:
    """A candidate requests a vote for its term. `addr`: its address, for the answer."""

    term: identifiers.Term
    member_id: identifiers.MemberId
    name: identifiers.Name
    addr: str


@message(3)
class Vote:
    """The answer to a VoteRequest: whether the vote for `term` is granted, the voter's current term, the
    position of its last log entry, and its row as a member."""

    term: identifiers.Term
    member_id: identifiers.MemberId
    name: identifiers.Name
    granted: bool
    current_term: identifiers.Term
    last_log_term: identifiers.Term
    last_log_index: identifiers.LogIndex
    member_row: Document


@message(4)
class SnapshotRequest:
    """A candidate requests a snapshot of the log from a voter with a newer log."""

    term: identifiers.Term
    member_id: identifiers.MemberId


@message(5)
class Snapshot:
    """The answer to a SnapshotRequest: the sender's committed state and uncommitted entries."""

    term: identifiers.Term
    member_id: identifiers.MemberId
    state: OptionalReplicatedState


@message(6)
class Heartbeat:
    """A leader's heartbeat, with entries or a snapshot for a member that lacks them.

    `number`: of the heartbeat, by which it is acknowledged. `commit_index`, `commit_term`: of the last
    committed entry. `previous_term`, `previous_index`: of the entry before `entries`. `lease_age_ms`: time
    since the start of the leader's lease. `returned_ack_number`: number of the acknowledgement by which the
    receiver's lease is renewed, 0 for none.
    """

    term: identifiers.Term
    leader_id: identifiers.MemberId
    name: identifiers.Name
    addr: str
    number: int
    commit_index: identifiers.LogIndex
    commit_term: identifiers.Term
    previous_term: identifiers.Term
    previous_index: identifiers.LogIndex
    entries: Entries
    snapshot: OptionalReplicatedState
    lease_age_ms: identifiers.Millis
    returned_ack_number: int


@message(7)
class HeartbeatAck:
    """The answer to a Heartbeat, or its refusal by a member that knows a newer term.

    `heartbeat_number`: of the heartbeat. `ack_number`: of this acknowledgement, with the incarnation of the
    member in its high bits. `synced_log_term`, `synced_log_index`: of the last entry that is synced.
    `applied_index`: of the last entry that is applied. `needs_snapshot`: the entries could not be appended.
    """

    term: identifiers.Term
    member_id: identifiers.MemberId
    heartbeat_number: int
    ack_number: int
    accepted: bool
    current_term: identifiers.Term
    synced_log_term: identifiers.Term
    synced_log_index: identifiers.LogIndex
    applied_index: identifiers.LogIndex
    needs_snapshot: bool


@message(8)
class Forward:
    """An operator's call, forwarded to the leader. `age_ms`: time since the caller may have sent it; `term`,
    `heartbeat_number`: of the newest heartbeat heard before `age_ms` was determined, by which the leader
    bounds the message's time in transit."""

    call: str
    addr: str
    verb: str
    body: Document
    age_ms: identifiers.Millis = identifiers.Millis(0)
    term: identifiers.Term = identifiers.Term()
    heartbeat_number: int = 0


@message(9)
class Reply:
    """The answer to a Forward."""

    call: str
    status: int
    body: Document


@message(21)
class LeadershipTransfer:
    """The leader steps down, and names the member that may stand for election at once."""

    term: identifiers.Term
    successor_id: identifiers.MemberId


@message(22)
class MemberLeaving:
    """A member stops. A controller asks to be removed by this; a query node holds no lease from now on."""

    member_id: identifiers.MemberId


@message(28)
class PreVoteRequest:
    """Asks a member whether it hears a leader, before the sender starts a new term."""

    name: identifiers.Name
    addr: str


@message(29)
class PreVote:
    """The answer to a PreVoteRequest."""

    member_id: identifiers.MemberId
    name: identifiers.Name
    addr: str
    no_leader_heard: bool
