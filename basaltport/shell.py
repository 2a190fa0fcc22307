"""What every shell round a reducer does: one loop, wires, ticks, the writer thread; carries effects out."""

import asyncio

import basaltport.consensus.storage.record_framing as record_framing
import basaltport.consensus.storage.snapshot_store as snapshot_store
import basaltport.events as events
import basaltport.handlers as handlers
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.logs as logs


class Shell:
    """Needs `me`, `member`, `wires`, `disk`, `writer` (an executor of one thread) and `period` in seconds.
    Reducer steps never await, so they need no lock; what awaits works on copies."""

    def __init__(self):
        self.member = None
        self.disk = None
        self.writes = []
        self.writing = False

    async def tick(self):
        while True:
            self.step(events.Tick(identifiers.steady()))
            await asyncio.sleep(self.period)

    def heard(self, src, msg):
        self.step(events.Heard(identifiers.steady(), src, msg))

    def refused(self, peer, why):
        logs.note(log_events.Event.FRAME_REFUSED, {"peer": peer, "why": why})

    def step(self, ev):
        for e in self.member.step(ev):
            handlers.require(self, "do_", type(e))(e)

    # effects

    def do_send(self, e):
        if e.addr == self.me.addr:
            asyncio.get_running_loop().call_soon(self.heard, self.me.addr, e.msg)
            return
        self.wires.send(e.addr, e.msg)

    def do_write(self, e):
        whole = None
        if e.whole is not None:
            whole = snapshot_store.encode(snapshot_store.Snapshot(e.whole, self.member.current_term))
        self.writes.append((e.token, [record_framing.encode(r) for r in e.records], whole))
        if not self.writing:
            self.write_next()

    def write_next(self):
        """All that waits goes in one sync."""
        batch, self.writes = self.writes, []
        self.writing = True
        f = asyncio.get_running_loop().run_in_executor(self.writer, self.disk.write_all, batch)
        f.add_done_callback(lambda f: self.synced(batch, f))

    def synced(self, batch, f):
        self.writing = False
        if f.cancelled():
            return
        for token, _, _ in batch:
            self.step(events.Synced(identifiers.steady(), token, f.exception() is None))
        if self.writes and not self.writing:
            self.write_next()

    def do_note(self, e):
        logs.note(e.number, e.fields)
