"""Member wires over TCP: one outgoing wire for each address, frames one way, bounded, reopened when cut."""

import asyncio
import collections

import basaltport.frames as frames
import basaltport.sockets as sockets

BOUND = 2000
RETRY = 0.1
CONNECT = 0.35
SILENT = 15
BODY = 5
RATE = 1 << 20


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
                r, w = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT)
                sockets.bound(w.get_extra_info("socket"))
            except (OSError, TimeoutError):
                q.clear()
                ev.clear()
                await asyncio.sleep(RETRY)
                continue
            try:
                while True:
                    while q:
                        w.writelines(frames.parts(q.popleft()))
                        if w.transport.get_write_buffer_size() > 1 << 20:
                            await w.drain()
                    ev.clear()
                    await ev.wait()
                    if w.transport.is_closing() or r.at_eof():
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
            sockets.bound(w.get_extra_info("socket"))
            while True:
                async with asyncio.timeout(SILENT):
                    raw = await r.readexactly(frames.HEADER_SIZE)
                h = frames.header(raw)
                if h.is_err():
                    self.refused(str(peer), h.err_value)
                    return
                async with asyncio.timeout(BODY + h.ok_value.length / RATE):
                    raw = await r.readexactly(h.ok_value.length)
                m = frames.body(h.ok_value, raw)
                if m.is_err():
                    self.refused(str(peer), m.err_value)
                    return
                self.heard("", m.ok_value)
        except (asyncio.IncompleteReadError, OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(t)
            w.close()
