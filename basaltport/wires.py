"""Member wires over TCP: one outgoing wire for each address, frames one way, bounded, reopened when cut."""

import asyncio
import collections

import basaltport.frames as frames

BOUND = 2000
RETRY = 0.2


class Wires:
    def __init__(self, addr, heard, refused):
        self.addr = addr
        self.heard = heard
        self.refused = refused
        self.out = {}
        self.tasks = {}
        self.server = None
        self.open = set()

    async def start(self):
        host, port = self.addr.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def stop(self):
        self.server.close()
        for t in list(self.tasks.values()) + list(self.open):
            t.cancel()

    def send(self, addr, msg):
        q = self.out.get(addr)
        if q is None:
            q = self.out[addr] = (collections.deque(maxlen=BOUND), asyncio.Event())
            self.tasks[addr] = asyncio.get_running_loop().create_task(self.pump(addr, *q))
        q[0].append(msg)
        q[1].set()

    async def pump(self, addr, q, ev):
        host, port = addr.split(":")
        while True:
            await ev.wait()
            try:
                _, w = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            except (OSError, TimeoutError):
                q.clear()
                ev.clear()
                await asyncio.sleep(RETRY)
                continue
            try:
                while True:
                    while q:
                        w.write(frames.pack(q.popleft()))
                        if w.transport.get_write_buffer_size() > 1 << 20:
                            await asyncio.wait_for(w.drain(), 2)
                    ev.clear()
                    await ev.wait()
                    if w.transport.is_closing():
                        break
            except (OSError, TimeoutError):
                pass
            finally:
                w.transport.abort()

    async def accept(self, r, w):
        t = asyncio.current_task()
        self.open.add(t)
        peer = w.get_extra_info("peername")
        try:
            while True:
                h = frames.header(await r.readexactly(frames.HEADER_SIZE))
                if h.is_err():
                    self.refused(str(peer), h.err_value)
                    return
                m = frames.body(h.ok_value, await r.readexactly(h.ok_value.length))
                if m.is_err():
                    self.refused(str(peer), m.err_value)
                    return
                self.heard("", m.ok_value)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(t)
            w.close()
