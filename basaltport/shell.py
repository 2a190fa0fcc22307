"""Runs a reducer in an event loop: feeds it messages and ticks, and carries out its effects."""

import asyncio
import concurrent.futures
import typing

import basaltport.consensus.storage.member_disk as member_disk
import basaltport.consensus.storage.record_framing as record_framing
import basaltport.consensus.storage.snapshot_store as snapshot_store
import basaltport.events as events
import basaltport.handlers as handlers
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.logs as logs
import basaltport.loop_progress as loop_progress
import basaltport.member as member
import basaltport.wires as wires

Event = typing.Any
"""An event of `events`, or of the events of the role."""
Writes = list[member_disk.WriteRequest]


class Shell:
    """Connects a reducer (`member`) with the network, the clock and the disk.

    Subclasses set `me`, `wires`, `writer` (an executor with one thread) and `period`, the seconds between two
    ticks; `disk` is None if the role stores nothing. Steps of the reducer never await, so they need no lock;
    coroutines that await work on copies.
    """

    me: member.Me
    wires: wires.PeerConnections
    writer: concurrent.futures.Executor
    period: float

    def __init__(self) -> None:
        """Initialize the attributes without reading or opening anything."""
        self.member: typing.Any = None
        self.disk: typing.Any = None
        self.queued_writes: Writes = []
        self.is_writing = False
        self.progress = loop_progress.LoopProgress(identifiers.steady())

    async def tick(self) -> None:
        """Pass a tick to the reducer every `period` seconds, until cancelled."""
        while True:
            now = identifiers.steady()
            self.progress.record_tick(now)
            self.step(events.Tick(now))
            await asyncio.sleep(self.period)

    def message_received(self, src: str, msg: object) -> None:
        """Pass a message from the member at the address `src` to the reducer."""
        self.step(events.Heard(identifiers.steady(), src, msg))

    def frame_refused(self, peer: str, why: str) -> None:
        """Log that a frame of a peer was malformed."""
        logs.note(log_events.Event.FRAME_REFUSED, {"peer": peer, "why": why})

    def step(self, event: Event) -> None:
        """Pass an event to the reducer, and carry out each effect by the `do_` method of its class.

        An error of the reducer or of an effect is logged, and the process goes on.
        """
        try:
            effects = self.member.step(event)
        except Exception as error:
            effects = self.member.abandon_step()
            logs.note_fault(error)
        for effect in effects:
            try:
                handlers.require(self, "do_", type(effect))(effect)
            except Exception as error:
                self.member.failed_steps += 1
                logs.note_fault(error)
                self.effect_failed(effect)

    def effect_failed(self, effect: object) -> None:
        """Report a write that could not be queued to the reducer, as a failed one."""
        if isinstance(effect, events.Write):
            failed = events.Synced(identifiers.steady(), effect.token, False)
            asyncio.get_running_loop().call_soon(self.step, failed)

    # effects

    def do_send(self, effect: events.Send) -> None:
        """Send a message; one to this member itself is delivered after the current step."""
        if effect.addr == self.me.addr:
            asyncio.get_running_loop().call_soon(self.message_received, self.me.addr, effect.msg)
            return
        self.wires.send(effect.addr, effect.msg)

    def do_write(self, effect: events.Write) -> None:
        """Queue records, or a snapshot, for writing; they are encoded at once, as the state may change
        meanwhile."""
        snapshot = None
        if effect.whole is not None:
            snapshot = snapshot_store.encode(snapshot_store.Snapshot(effect.whole, self.member.current_term))
        records = [record_framing.encode(record) for record in effect.records]
        self.queued_writes.append(member_disk.WriteRequest(effect.token, records, snapshot))
        if not self.is_writing:
            self.write_next()

    def write_next(self) -> None:
        """Write all queued requests to the disk with one sync."""
        batch, self.queued_writes = self.queued_writes, []
        self.is_writing = True
        future = asyncio.get_running_loop().run_in_executor(self.writer, self.disk.write_all, batch)
        future.add_done_callback(lambda done: self.write_completed(batch, done))

    def write_completed(self, batch: Writes, future: asyncio.Future[typing.Any]) -> None:
        """Pass the result of a batch of writes to the reducer, and write the requests queued meanwhile."""
        self.is_writing = False
        if future.cancelled():
            return
        for request in batch:
            self.step(events.Synced(identifiers.steady(), request.token, future.exception() is None))
        if self.queued_writes and not self.is_writing:
            self.write_next()

    def do_note(self, effect: events.Note) -> None:
        """Write an event to the log."""
        logs.note(effect.number, effect.fields)
