"""What members say to each other. Field types decide the form on the wire (see frames)."""

import dataclasses

import basaltport.kinds as kinds

KINDS = {}


def message(number):
    """Registers a class as a message of this number; its fields are its form on the wire."""

    def wrap(cls):
        cls = dataclasses.dataclass(slots=True)(cls)
        cls.KIND = number
        KINDS[number] = cls
        return cls

    return wrap


@message(1)
class Hello:
    house: str
    name: kinds.Name
    seat: kinds.Seat
    role: str
    zone: kinds.Zone
    addr: str
    http: str
    gen: kinds.Generation
    known: list


@message(2)
class Campaign:
    gen: kinds.Generation
    seat: kinds.Seat
    name: kinds.Name
    addr: str


@message(3)
class Promise:
    gen: kinds.Generation
    seat: kinds.Seat
    name: kinds.Name
    ok: bool
    promised: kinds.Generation
    hgen: kinds.Generation
    serial: kinds.Serial
    me: dict


@message(4)
class Fetch:
    gen: kinds.Generation
    seat: kinds.Seat


@message(5)
class Copy:
    gen: kinds.Generation
    seat: kinds.Seat
    copy: dict


@message(6)
class Beat:
    gen: kinds.Generation
    seat: kinds.Seat
    name: kinds.Name
    addr: str
    n: int
    commit: kinds.Serial
    cgen: kinds.Generation
    pgen: kinds.Generation
    pserial: kinds.Serial
    entries: list
    copy: dict
    age: kinds.Millis
    echo: int


@message(7)
class Ack:
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
    call: str
    addr: str
    verb: str
    body: dict


@message(9)
class Reply:
    call: str
    status: int
    body: dict


@message(10)
class Pulse:
    """Heartbeat to a watcher that the ring names."""

    seat: kinds.Seat
    n: int


@message(11)
class Suspect:
    seat: kinds.Seat
    of: kinds.Seat


@message(12)
class CellNews:
    """Changed rows of a cell, or with `ranges` whole ranges of it, and digests of all its rows."""

    zone: kinds.Zone
    fence: kinds.Fence
    seat: kinds.Seat
    version: int
    rows: dict
    gone: list
    digests: list
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
    replicas: list
    reason: str


@message(15)
class Need:
    """A rostrum's slots: what it holds, uses and wants, replica by replica."""

    seat: kinds.Seat
    k: int
    zone: kinds.Zone
    fence: kinds.Fence
    seen: int
    rows: dict


@message(16)
class Grants:
    zone: kinds.Zone
    fence: kinds.Fence
    echo: int
    n: int
    rows: dict


@message(17)
class PermitAsk:
    seat: kinds.Seat
    zone: kinds.Zone
    fence: kinds.Fence
    k: int
    held: dict
    want: dict


@message(18)
class PermitGrant:
    zone: kinds.Zone
    fence: kinds.Fence
    k: int
    granted: dict


@message(20)
class CellWant:
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
    seat: kinds.Seat
    query: kinds.QueryId
    k: int
    state: str
    status: int
    reply: dict
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
    reply: dict


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
    seat: kinds.Seat
    range: int
    at: kinds.Serial
    rows: dict


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
