"""What members say to each other. Field types decide the form on the wire (see frames)."""

import collections.abc
import dataclasses
import typing

import basaltport.kinds as kinds

Document = dict[str, typing.Any]
Rows = list[typing.Any]


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
    name: kinds.Name
    seat: kinds.Seat
    role: str
    zone: kinds.Zone
    addr: str
    http: str
    gen: kinds.Generation
    known: Rows


@message(2)
class Campaign:
    """A candidate asks for the promise of a seat."""

    gen: kinds.Generation
    seat: kinds.Seat
    name: kinds.Name
    addr: str


@message(3)
class Promise:
    """The answer to a `Campaign`, with the generation and serial that the seat holds."""

    gen: kinds.Generation
    seat: kinds.Seat
    name: kinds.Name
    ok: bool
    promised: kinds.Generation
    hgen: kinds.Generation
    serial: kinds.Serial
    me: Document


@message(4)
class Fetch:
    """A new leader asks a seat for a copy of what it holds."""

    gen: kinds.Generation
    seat: kinds.Seat


@message(5)
class Copy:
    """All that a seat holds."""

    gen: kinds.Generation
    seat: kinds.Seat
    copy: Document


@message(6)
class Beat:
    """The leader's heartbeat, with entries or a copy for one that lacks them."""

    gen: kinds.Generation
    seat: kinds.Seat
    name: kinds.Name
    addr: str
    n: int
    commit: kinds.Serial
    cgen: kinds.Generation
    pgen: kinds.Generation
    pserial: kinds.Serial
    entries: Rows
    copy: Document
    age: kinds.Millis
    echo: int


@message(7)
class Ack:
    """The answer to a `Beat`."""

    gen: kinds.Generation
    seat: kinds.Seat
    n: int
    k: int
    ok: bool
    promised: kinds.Generation
    hgen: kinds.Generation
    serial: kinds.Serial
    applied: kinds.Serial
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

    seat: kinds.Seat
    n: int


@message(11)
class Suspect:
    """A watcher tells the leader whom it misses."""

    seat: kinds.Seat
    of: kinds.Seat


@message(12)
class CellNews:
    """Changed rows of a cell, or with `ranges` whole ranges of it, and digests of all its rows."""

    zone: kinds.Zone
    fence: kinds.Fence
    seat: kinds.Seat
    version: int
    rows: Document
    gone: Rows
    digests: Rows
    ranges: str


@message(13)
class Want:
    """A rostrum asks the steward of a zone for an item; `wake` orders the load."""

    ask: int
    seat: kinds.Seat
    item: kinds.Item
    zone: kinds.Zone
    wake: bool
    pool: str


@message(14)
class Facts:
    """The answer to a `Want`: how the item stands in the zone."""

    ask: int
    zone: kinds.Zone
    item: kinds.Item
    state: str
    retry_after: kinds.Millis
    kept: bool
    idle_window: kinds.Millis
    expected: kinds.Millis
    serving_for: kinds.Millis
    loading_for: kinds.Millis
    replicas: Rows
    reason: str


@message(15)
class Need:
    """A rostrum's slots: what it holds, uses and wants, replica by replica."""

    seat: kinds.Seat
    k: int
    zone: kinds.Zone
    fence: kinds.Fence
    seen: int
    rows: Document


@message(16)
class Grants:
    """The slots that a node may use, replica by replica."""

    zone: kinds.Zone
    fence: kinds.Fence
    echo: int
    n: int
    rows: Document


@message(17)
class PermitAsk:
    """A steward asks for permits to load from the store."""

    seat: kinds.Seat
    zone: kinds.Zone
    fence: kinds.Fence
    k: int
    held: Document
    want: Document


@message(18)
class PermitGrant:
    """The answer to a `PermitAsk`."""

    zone: kinds.Zone
    fence: kinds.Fence
    k: int
    granted: Document


@message(20)
class CellWant:
    """A member asks for the rows of a cell in some ranges."""

    zone: kinds.Zone
    fence: kinds.Fence
    seat: kinds.Seat
    ranges: str


@message(21)
class Yield:
    """The leader stops and names the ledger that may ask for promises at once."""

    gen: kinds.Generation
    to: kinds.Seat


@message(22)
class Leave:
    """A rostrum stops: it holds no lease and will take none."""

    seat: kinds.Seat


@message(23)
class Claim:
    """A query asks a keeper for its sender's key: `at` names the keepers it asks, `k` the try."""

    kid: str
    digest: str
    query: kinds.QueryId
    owner: kinds.Seat
    at: kinds.Serial
    k: int


@message(24)
class Claimed:
    """The answer to a `Claim`."""

    seat: kinds.Seat
    query: kinds.QueryId
    k: int
    state: str
    status: int
    reply: Document
    owner: kinds.Seat
    left: kinds.Millis


@message(25)
class Settle:
    """What came of a claim: free (never ran, never will), done or unknown."""

    kid: str
    digest: str
    query: kinds.QueryId
    owner: kinds.Seat
    k: int
    state: str
    status: int
    reply: Document


@message(26)
class KeepWant:
    """A new keeper of a range asks one before it, of a stint, for what it holds."""

    seat: kinds.Seat
    range: int
    at: kinds.Serial
    stint: kinds.Serial
    digest: int


@message(27)
class KeepCopy:
    """The answer to a `KeepWant`."""

    seat: kinds.Seat
    range: int
    at: kinds.Serial
    rows: Document


@message(19)
class Leaving:
    """News ahead of the feed that a replica is leaving or a zone is emptied."""

    replica: str
    zone: str


@message(28)
class Canvass:
    """Asks, before any promise is asked for, whether a seat hears a leader."""

    name: kinds.Name
    addr: str


@message(29)
class Canvassed:
    """`ok`: this seat hears no leader."""

    seat: kinds.Seat
    name: kinds.Name
    addr: str
    ok: bool
