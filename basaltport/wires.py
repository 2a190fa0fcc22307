"""Member wires over TCP: one outgoing wire for each address, frames one way, bounded, reopened when cut."""

import asyncio
import collections
import collections.abc
import typing

import result

import basaltport.frames as frames
import basaltport.sockets as sockets

BOUND = 2000
RETRY = 0.1
CONNECT = 0.35
SILENT = 15
BODY = 5
RATE = 1 << 20
UNSENT = 1 << 20

Queue = collections.deque[object]
Heard = collections.abc.Callable[[str, typing.Any], None]
Refused = collections.abc.Callable[[str, str], None]


class Wires:
    """The connections of one member: `heard` gets each message, `refused` each frame that is none."""

    def __init__(self, addr: str, heard: Heard, refused: Refused) -> None:
        """Listen on `addr` once started."""
        self.addr = addr
        self.heard = heard
        self.refused = refused
        self.out: dict[str, tuple[Queue, asyncio.Event]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.addr.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def stop(self) -> None:
        """Listen no more and end all connections."""
        if self.server:
            self.server.close()
        for t in list(self.tasks.values()) + list(self.open):
            t.cancel()

    def send(self, addr: str, msg: object) -> None:
        """Queue a message; where `BOUND` wait, the oldest is dropped."""
        if addr not in self.out:
            self.out[addr] = (collections.deque(maxlen=BOUND), asyncio.Event())
            self.tasks[addr] = asyncio.get_running_loop().create_task(self.pump(addr, *self.out[addr]))
        queue, filled = self.out[addr]
        queue.append(msg)
        filled.set()

    async def pump(self, addr: str, queue: Queue, filled: asyncio.Event) -> None:
        """Connect while there is something to send; what waits when that fails is dropped."""
        host, port = addr.split(":")
        while True:
            await filled.wait()
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT)
                sockets.bound(writer.get_extra_info("socket"))
            except (OSError, TimeoutError):
                queue.clear()
                filled.clear()
                await asyncio.sleep(RETRY)
                continue
            try:
                await self.write(reader, writer, queue, filled)
            except (OSError, TimeoutError):
                pass
            finally:
                writer.transport.abort()

    async def write(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        queue: Queue,
        filled: asyncio.Event,
    ) -> None:
        """Send what is queued until the connection ends."""
        while True:
            while queue:
                writer.writelines(frames.parts(queue.popleft()))
                if writer.transport.get_write_buffer_size() > UNSENT:
                    await writer.drain()
            filled.clear()
            await filled.wait()
            if writer.transport.is_closing() or reader.at_eof():
                return

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read frames of a peer until its connection ends or a frame is refused."""
        task = typing.cast(asyncio.Task[None], asyncio.current_task())
        self.open.add(task)
        peer = str(writer.get_extra_info("peername"))
        try:
            sockets.bound(writer.get_extra_info("socket"))
            while True:
                got = await self.read(reader)
                if isinstance(got, result.Err):
                    self.refused(peer, got.err_value)
                    return
                self.heard("", got.ok_value)
        except (asyncio.IncompleteReadError, OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(task)
            writer.close()

    async def read(self, reader: asyncio.StreamReader) -> result.Result[object, str]:
        """The next message, or why its frame is refused."""
        async with asyncio.timeout(SILENT):
            raw = await reader.readexactly(frames.HEADER_SIZE)
        header = frames.header(raw)
        if isinstance(header, result.Err):
            return header
        length = header.ok_value.length
        async with asyncio.timeout(BODY + length / RATE):
            raw = await reader.readexactly(length)
        return frames.body(header.ok_value, raw)
