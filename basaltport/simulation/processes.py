"""Simulated processes: each runs one reducer, and its effects are carried out on virtual time, links and
disks."""

import collections.abc
import typing

import basaltport.consensus.storage.snapshot_store as snapshot_store
import basaltport.events as events
import basaltport.handlers as handlers
import basaltport.identifiers as identifiers
import basaltport.simulation.links as links
import basaltport.simulation.virtual_disk as virtual_disk


class Event(typing.Protocol):
    """An event of a reducer; its time is set again when it is delivered late."""

    now: identifiers.Millis


Reducer = typing.Any
"""A member's reducer: it has `step`, and what its role brings."""


class Process:
    """One process at one address.

    `member`: its reducer, or None while it does not run; `incarnation`: how many processes were started and
    ended here, so that what was meant for a former one is told apart; `frozen`: it runs but does nothing, as
    under SIGSTOP; `held`: events that came while it was frozen; `disk`: None where it keeps nothing."""

    def __init__(self, name: str, addr: str, disk: virtual_disk.VirtualDisk | None = None) -> None:
        """It does not run yet."""
        self.name, self.addr = name, addr
        self.disk: typing.Any = disk
        self.member: Reducer = None
        self.incarnation, self.frozen = 0, False
        self.held: list[Event] = []
        self.seat = ""


ProcessKind = typing.TypeVar("ProcessKind", bound=Process)


class Processes(links.Links, typing.Generic[ProcessKind]):
    """Delivers events to processes and carries their effects out: an effect `Write` by `do_write`, and so on.

    Subclasses carry out the effects beside Write."""

    def __init__(self, seed: int) -> None:
        """There are no processes."""
        super().__init__(seed)
        self.nodes: dict[str, ProcessKind] = {}
        self.by_addr: dict[str, ProcessKind] = {}

    def clock(self, node: ProcessKind) -> identifiers.Millis:
        """The steady clock of a process."""
        return self.now

    def step(self, node: ProcessKind, event: Event) -> None:
        """One step of a reducer, with all its effects."""
        raise NotImplementedError

    def carry_out(self, node: ProcessKind, effects: collections.abc.Iterable[object]) -> None:
        """Calls the method that is named after each effect's class."""
        for effect in effects:
            handlers.require(self, "do_", type(effect))(node, effect)

    def give(self, node: ProcessKind, incarnation: int, event: Event) -> None:
        """Delivers an event, with the time of its delivery, if the process is still the same one.

        A frozen process gets it once it goes on."""
        if node.incarnation != incarnation or node.member is None:
            return
        if node.frozen:
            node.held.append(event)
            return
        event.now = self.clock(node)
        self.step(node, event)

    def deliver_late(self, node: ProcessKind, held: list[Event]) -> None:
        """Delivers what came while the process was frozen, as if it came now."""
        for event in held:
            event.now = self.clock(node)
            self.step(node, event)

    # disks

    def do_write(self, node: ProcessKind, effect: events.Write) -> None:
        """Hands records, or a whole snapshot, to the disk."""
        snapshot = None
        if effect.whole is not None:
            snapshot = snapshot_store.Snapshot(effect.whole, node.member.current_term)
        node.disk.write(effect.token, effect.records, snapshot)
        self.sync_next(node)

    def sync_next(self, node: ProcessKind) -> None:
        """Begins the next sync, if something waits for one and none is under way."""
        disk = node.disk
        if disk.queue and not disk.syncing and not disk.stalled:
            disk.begin()
            self.at(disk.sync_ends_at(self.now), self.synced, node, node.incarnation, disk)

    def synced(self, node: ProcessKind, incarnation: int, disk: virtual_disk.VirtualDisk) -> None:
        """A sync ends; one that ends while the disk is stalled is begun again after that."""
        if node.incarnation != incarnation or node.disk is not disk:
            return
        if disk.stalled:
            disk.syncing = 0
            return
        for token, ok in disk.done():
            self.give(node, incarnation, events.Synced(self.now, token, ok))
        self.sync_next(node)

    def stall(self, name: str, on: bool = True) -> None:
        """No sync of this disk ends while it is stalled."""
        node = self.nodes[name]
        node.disk.stalled = on
        if not on:
            self.sync_next(node)
