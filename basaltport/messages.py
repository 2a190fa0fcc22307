"""What members say to each other. Field types decide the form on the wire (see frames)."""

import collections.abc
import dataclasses
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
Rows = list[typing.Any]
Entries = list[log.LogEntry]
StateCopy = state_machine.ReplicatedState | None
FeedState = state_machine.ClusterState | None


class Message(typing.Protocol):
    """What every class that `message` registers has."""

    KIND: typing.ClassVar[int]
    __dataclass_fields__: typing.ClassVar[dict[str, dataclasses.Field[typing.Any]]]


MessageType = type[Message]

KINDS: dict[int, MessageType] = {}


@typing.dataclass_transform()
def message(number: int) -> collections.abc.Callable[[type], MessageType]:
    """Register a class as a message of this number; its fields are its form on the wire."""

    def wrap(cls: type) -> MessageType:
        made = typing.cast(MessageType, dataclasses.dataclass(slots=True)(cls))
        made.KIND = number
        KINDS[number] = made
        return made

    return wrap


@message(1)
class Hello:
    """A member tells who it is and which members it knows."""

    house: str
    name: identifiers.Name
    seat: identifiers.MemberId
    role: str
    zone: identifiers.Zone
    addr: str
    http: str
    gen: identifiers.Term
    known: Rows


@message(2)
class Campaign:
    """A candidate asks for the promise of a seat."""

    gen: identifiers.Term
    seat: identifiers.MemberId
    name: identifiers.Name
    addr: str


@message(3)
class Promise:
    """The answer to a `Campaign`, with the generation and serial that the seat holds."""

    gen: identifiers.Term
    seat: identifiers.MemberId
    name: identifiers.Name
    ok: bool
    promised: identifiers.Term
    hgen: identifiers.Term
    serial: identifiers.LogIndex
    me: Document


@message(4)
class Fetch:
    """A new leader asks a seat for a copy of what it holds."""

    gen: identifiers.Term
    seat: identifiers.MemberId


@message(5)
class Copy:
    """All that a seat holds."""

    gen: identifiers.Term
    seat: identifiers.MemberId
    copy: StateCopy


@message(6)
class Beat:
    """The leader's heartbeat, with entries or a copy for one that lacks them."""

    gen: identifiers.Term
    seat: identifiers.MemberId
    name: identifiers.Name
    addr: str
    n: int
    commit: identifiers.LogIndex
    cgen: identifiers.Term
    pgen: identifiers.Term
    pserial: identifiers.LogIndex
    entries: Entries
    copy: StateCopy
    age: identifiers.Millis
    echo: int


@message(7)
class Ack:
    """The answer to a `Beat`."""

    gen: identifiers.Term
    seat: identifiers.MemberId
    n: int
    k: int
    ok: bool
    promised: identifiers.Term
    hgen: identifiers.Term
    serial: identifiers.LogIndex
    applied: identifiers.LogIndex
    need: bool


@message(8)
class Forward:
    """An operator's call, passed on to the leader."""

    call: str
    addr: str
    verb: str
    body: Document


@message(9)
class Reply:
    """The answer to a `Forward`."""

    call: str
    status: int
    body: Document


@message(10)
class Pulse:
    """Heartbeat to a watcher that the ring names."""

    seat: identifiers.MemberId
    n: int


@message(11)
class Suspect:
    """A watcher tells the leader whom it misses."""

    seat: identifiers.MemberId
    of: identifiers.MemberId


@message(12)
class CellNews:
    """Changed rows of a cell, or with `ranges` whole ranges of it, and digests of all its rows."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    seat: identifiers.MemberId
    version: int
    rows: Document
    gone: Rows
    digests: Rows
    ranges: str


@message(13)
class Want:
    """A rostrum asks the steward of a zone for an item; `wake` orders the load."""

    ask: int
    seat: identifiers.MemberId
    item: identifiers.Item
    zone: identifiers.Zone
    wake: bool
    pool: str


@message(14)
class Facts:
    """The answer to a `Want`: how the item stands in the zone."""

    ask: int
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


@message(15)
class Need:
    """A rostrum's slots: what it holds, uses and wants, replica by replica."""

    seat: identifiers.MemberId
    k: int
    zone: identifiers.Zone
    fence: identifiers.Fence
    seen: int
    rows: Document


@message(16)
class Grants:
    """The slots that a node may use, replica by replica."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    echo: int
    n: int
    rows: Document


@message(17)
class PermitAsk:
    """A steward asks for permits to load from the store."""

    seat: identifiers.MemberId
    zone: identifiers.Zone
    fence: identifiers.Fence
    k: int
    held: Document
    want: Document


@message(18)
class PermitGrant:
    """The answer to a `PermitAsk`."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    k: int
    granted: Document


@message(20)
class CellWant:
    """A member asks for the rows of a cell in some ranges."""

    zone: identifiers.Zone
    fence: identifiers.Fence
    seat: identifiers.MemberId
    ranges: str


@message(21)
class Yield:
    """The leader stops and names the ledger that may ask for promises at once."""

    gen: identifiers.Term
    to: identifiers.MemberId


@message(22)
class Leave:
    """A rostrum stops: it holds no lease and will take none."""

    seat: identifiers.MemberId


@message(23)
class Claim:
    """A query asks a keeper for its sender's key: `at` names the keepers it asks, `k` the try."""

    kid: str
    digest: str
    query: identifiers.RequestId
    owner: identifiers.MemberId
    at: identifiers.LogIndex
    k: int


@message(24)
class Claimed:
    """The answer to a `Claim`."""

    seat: identifiers.MemberId
    query: identifiers.RequestId
    k: int
    state: str
    status: int
    reply: Document
    owner: identifiers.MemberId
    left: identifiers.Millis


@message(25)
class Settle:
    """What came of a claim: free (never ran, never will), done or unknown."""

    kid: str
    digest: str
    query: identifiers.RequestId
    owner: identifiers.MemberId
    k: int
    state: str
    status: int
    reply: Document


@message(26)
class KeepWant:
    """A new keeper of a range asks one before it, of a stint, for what it holds."""

    seat: identifiers.MemberId
    range: int
    at: identifiers.LogIndex
    stint: identifiers.LogIndex
    digest: int


@message(27)
class KeepCopy:
    """The answer to a `KeepWant`."""

    seat: identifiers.MemberId
    range: int
    at: identifiers.LogIndex
    rows: Document


@message(19)
class Leaving:
    """News ahead of the feed that a replica is leaving or a zone is emptied."""

    replica: str
    zone: str


@message(28)
class Canvass:
    """Asks, before any promise is asked for, whether a seat hears a leader."""

    name: identifiers.Name
    addr: str


@message(29)
class Canvassed:
    """`ok`: this seat hears no leader."""

    seat: identifiers.MemberId
    name: identifiers.Name
    addr: str
    ok: bool
