"""What controllers and proxies say to each other; numbers from 40."""

import dataclasses

import basaltport.identifiers as identifiers
import basaltport.messages as messages


@messages.message(40)
class Follow:
    """A proxy tells the leader what it has: `serial` of the cluster state, `seen` of the rows (-1: none), of
    which leader (`gen`); requests since the last one by item (`use`), now running by replica (`load`)."""

    name: identifiers.Name
    zone: identifiers.Zone
    address: str
    gen: identifiers.Term
    serial: identifiers.LogIndex
    seen: int
    use: messages.Document
    load: messages.Document


@messages.message(41)
class Update:
    """The agreed state up to `serial`: `entries` after what the proxy has, or a `copy`. Rows changed and ids
    gone after number `base` up to `n`, or with `full` all rows. Empty where nothing changed: `leader`,
    `leader_address`, `controllers` (addresses). `proxies`: how many are live."""

    gen: identifiers.Term
    leader: identifiers.Name
    leader_address: str
    controllers: list[str]
    serial: identifiers.LogIndex
    entries: messages.Entries
    copy: messages.FeedState
    full: bool
    base: int
    n: int
    rows: messages.Document
    gone: list[str]
    proxies: int


@messages.message(42)
class Redirect:
    """Of a controller that doesn't lead: whom it follows ("" if nobody) and all controllers' addresses."""

    gen: identifiers.Term
    leader: identifiers.Name
    address: str
    controllers: list[str]


@messages.message(43)
class Want:
    """Requests that wait at a proxy, by item. `waited_ms`: for how long each item has been asked for, also by
    requests that are gone; proxies of older releases do not tell it."""

    name: identifiers.Name
    zone: identifiers.Zone
    address: str
    items: messages.Document
    waited_ms: messages.Document = dataclasses.field(default_factory=dict)


@messages.message(44)
class Facts:
    """The leader's answer to a `Want`: how each item stands, as Placement tells it."""

    items: messages.Document
