"""The base class of reducers: each step handles one event and returns effects as data; handlers are methods
of the mixins, found by name."""

import collections.abc
import dataclasses
import random
import typing

import basaltport.consensus.log as log
import basaltport.consensus.sizes as sizes
import basaltport.consensus.state_machine as state_machine
import basaltport.events as events
import basaltport.handlers as handlers
import basaltport.identifiers as identifiers


@dataclasses.dataclass(slots=True, eq=False)
class Me:
    """The identity of a member: its place from the settings and its member id.

    `seat` is the member id: a new one at each start without a disk. `voters`: "seats" if all members vote,
    "ledgers" if only those with disks do. In the latter case `founders` are the addresses of the members that
    may found the cluster, and `first_start` is true if nothing can have been committed before.
    """

    house: str
    name: identifiers.Name
    seat: identifiers.MemberId
    role: str
    zone: identifiers.Zone
    addr: str
    http: str
    seeds: list[str]
    expected: int
    ledgers: int = 3
    voters: str = "seats"
    first_start: bool = False
    founders: list[str] | None = None

    def __post_init__(self) -> None:
        """Convert names to their types, and copy the lists."""
        self.name = identifiers.Name(self.name)
        self.seat = identifiers.MemberId(self.seat)
        self.zone = identifiers.Zone(self.zone)
        self.founders = list(self.seeds if self.founders is None else self.founders)
        self.seeds = list(self.seeds)

    def row(self) -> dict[str, str]:
        """Returns the fields that are sent to other members and logged."""
        return {key: str(getattr(self, key)) for key in ("name", "seat", "role", "zone", "addr", "http")}


class Event(typing.Protocol):
    """The attributes that all events of `events` have."""

    @property
    def now(self) -> identifiers.Millis:
        """The time of the event, in ms."""


class Durable(typing.Protocol):
    """The attributes and methods that `write` and `on_synced` require of a member with a disk."""

    now: identifiers.Millis
    ticks: int
    durable: bool
    bad: bool
    token: int
    out: list[object]
    after: dict[int, tuple[object, list[object], bool]]
    stalled: dict[int, tuple[identifiers.Millis, int, int]]
    current_term: identifiers.Term
    synced_promise: list[identifiers.Term]

    def head(self) -> object:
        """Returns the term and the index of its last log entry."""

    def mark_synced(self, head: object, promise: identifiers.Term) -> None:
        """Record that the log up to `head` and the vote for the term `promise` are on the disk."""

    def disk_failed(self) -> None:
        """React to a failed write to the disk."""

    def emit(self, effect: object) -> None:
        """Add an effect to those that the current step returns."""


class Member:
    """A reducer: its state changes only inside `step`, and it has no clock, network, disk or randomness of
    its own."""

    TICKS: tuple[str, ...] = ()
    durable = False

    def __init__(self, me: Me, seed: int, now: identifiers.Millis) -> None:
        """Initialize the state; `seed` determines all random choices."""
        self.me = me
        self.now = now
        self.rng = random.Random(seed)
        self.out: list[object] = []
        self.token = 0
        self.after: dict[int, tuple[object, list[object], bool]] = {}
        self.stalled: dict[int, tuple[identifiers.Millis, int, int]] = {}
        self.synced_promise: list[identifiers.Term] = []
        self.ticks = 0
        self.bad = False
        self.failed_steps = 0
        """Number of steps that ended with an unexpected error."""

    def step(self, event: Event) -> list[object]:
        """Handle an event; returns its effects."""
        self.now = max(self.now, event.now)
        self.out = []
        handlers.require(self, "on_", type(event))(event)
        return self.out

    def abandon_step(self) -> list[object]:
        """Returns the effects of a step that ended with an unexpected error, up to the error.

        Records that its rest would have written are missing on the disk, as after a failed write, so the next
        write is a snapshot.
        """
        self.failed_steps += 1
        self.bad = self.bad or self.durable
        return self.out

    def emit(self, effect: object) -> None:
        """Add an effect to those that the current step returns."""
        self.out.append(effect)

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""
        self.out.append(events.Send(addr, msg))

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""
        self.out.append(events.Note(int(number), fields))

    def on_tick(self, event: events.Tick) -> None:
        """Call the periodic methods named in `TICKS`."""
        self.ticks += 1
        for method_name in self.TICKS:
            getattr(self, method_name)()

    def on_heard(self, event: events.Heard) -> None:
        """Pass a message to its handler; a message without a handler is ignored."""
        handler = handlers.find(self, "hear_", type(event.msg))
        if handler is None:
            return
        handler(event.src, event.msg)

    def write(
        self: Durable,
        records: list[log.DiskRecord],
        whole: state_machine.ReplicatedState | None = None,
        then: collections.abc.Iterable[object] = (),
    ) -> None:
        """Write records, or a snapshot of `whole`, to the disk; the effects `then` follow once they are
        synced, or at once without a disk."""
        if not self.durable:
            self.out.extend(then)
            return
        self.token += 1
        self.after[self.token] = (self.head(), list(then), whole is not None)
        self.stalled[self.token] = (
            self.now,
            self.ticks,
            sum(map(sizes.record_size, records)) + sizes.replicated_state_size(whole),
        )
        self.synced_promise.append(self.current_term)
        self.emit(events.Write(self.token, records, whole))

    def on_synced(self: Durable, event: events.Synced) -> None:
        """Release the effects that waited for a write.

        After a failed write, writes count again only from the next snapshot on, as records between the two
        may be lost.
        """
        head, then, whole = self.after.pop(event.token)
        promise = self.synced_promise.pop(0)
        self.stalled.pop(event.token, None)
        if not event.ok:
            self.bad = True
            self.disk_failed()
            return
        if self.bad and not whole:
            return
        self.bad = False
        self.mark_synced(head, promise)
        self.out.extend(then)
