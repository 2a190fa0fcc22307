"""What every shell round a reducer does: one loop, wires, ticks, the writer thread; carries effects out."""

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
"""Whatever the reducer takes: of `events`, or of the role's own."""
Writes = list[member_disk.WriteRequest]


class Shell:
    """The part of a process between its reducer (`member`) and the world. Whoever builds on it gives `me`,
    `wires`, `writer` (an executor of one thread) and `period`, the seconds between two ticks; `disk` is None
    where nothing is kept. Reducer steps never await, so they need no lock; what awaits works on copies."""

    me: member.Me
    wires: wires.Wires
    writer: concurrent.futures.Executor
    period: float

    def __init__(self) -> None:
        """Nothing is read or opened yet."""
        self.member: typing.Any = None
        self.disk: typing.Any = None
        self.writes: Writes = []
        self.writing = False
        self.progress = loop_progress.LoopProgress(identifiers.steady())

    async def tick(self) -> None:
        """Give the reducer a tick each `period`, until cancelled."""
        while True:
            now = identifiers.steady()
            self.progress.note_tick(now)
            self.step(events.Tick(now))
            await asyncio.sleep(self.period)

    def heard(self, src: str, msg: object) -> None:
        """A message came from the member at the address `src`."""
        self.step(events.Heard(identifiers.steady(), src, msg))

    def refused(self, peer: str, why: str) -> None:
        """Log that a frame of a peer is no message."""
        logs.note(log_events.Event.FRAME_REFUSED, {"peer": peer, "why": why})

    def step(self, ev: Event) -> None:
        """Give an event to the reducer, and carry out its effects by the `do_` methods of their classes."""
        for effect in self.member.step(ev):
            handlers.require(self, "do_", type(effect))(effect)

    # effects

    def do_send(self, effect: events.Send) -> None:
        """Send a message; one to this member itself is heard after the step."""
        if effect.addr == self.me.addr:
            asyncio.get_running_loop().call_soon(self.heard, self.me.addr, effect.msg)
            return
        self.wires.send(effect.addr, effect.msg)

    def do_write(self, effect: events.Write) -> None:
        """Have records, or a snapshot, written; they are encoded at once, as the state may change."""
        snapshot = None
        if effect.whole is not None:
            snapshot = snapshot_store.encode(snapshot_store.Snapshot(effect.whole, self.member.current_term))
        records = [record_framing.encode(record) for record in effect.records]
        self.writes.append(member_disk.WriteRequest(effect.token, records, snapshot))
        if not self.writing:
            self.write_next()

    def write_next(self) -> None:
        """All that waits goes in one sync."""
        batch, self.writes = self.writes, []
        self.writing = True
        future = asyncio.get_running_loop().run_in_executor(self.writer, self.disk.write_all, batch)
        future.add_done_callback(lambda done: self.synced(batch, done))

    def synced(self, batch: Writes, future: asyncio.Future[typing.Any]) -> None:
        """A batch was written, or failed: tell the reducer, and write what came meanwhile."""
        self.writing = False
        if future.cancelled():
            return
        for request in batch:
            self.step(events.Synced(identifiers.steady(), request.token, future.exception() is None))
        if self.writes and not self.writing:
            self.write_next()

    def do_note(self, effect: events.Note) -> None:
        """Log an event."""
        logs.note(effect.number, effect.fields)
