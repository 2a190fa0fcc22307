"""TCP connections between members.

A member sends its frames to each address over one outgoing connection and receives frames over incoming ones.
Queues and times are bounded, and a connection that breaks is opened again.
"""

import asyncio
import collections
import collections.abc
import typing

import result

import basaltport.frames as frames
import basaltport.logs as logs
import basaltport.sockets as sockets

MAX_QUEUED_MESSAGES = 2000
RECONNECT_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 0.35
IDLE_TIMEOUT_S = 15
"""An incoming connection on which no frame begins for this long is closed."""
BODY_TIMEOUT_S = 5
"""Time to receive the body of a frame, in addition to its size divided by MIN_BYTES_PER_S."""
MIN_BYTES_PER_S = 1 << 20
MAX_UNSENT_BYTES = 1 << 20
"""The size of the write buffer from which on the sender waits before it writes more frames."""

Queue = collections.deque[object]
MessageHandler = collections.abc.Callable[[str, typing.Any], None]
FrameErrorHandler = collections.abc.Callable[[str, str], None]


class PeerConnections:
    """The connections of one member.

    `message_received` is called with each message, `frame_refused` with the peer and the error of a malformed
    frame.
    """

    def __init__(self, addr: str, message_received: MessageHandler, frame_refused: FrameErrorHandler) -> None:
        """Set the address to listen on; `start` opens it."""
        self.addr = addr
        self.message_received = message_received
        self.frame_refused = frame_refused
        self.queues: dict[str, tuple[Queue, asyncio.Event]] = {}
        self.send_tasks: dict[str, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None
        self.failed_messages = 0
        """Number of messages that were dropped because of an unexpected error."""
        self.receive_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for connections of other members."""
        host, port = self.addr.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self.server:
            self.server.close()
        for task in list(self.send_tasks.values()) + list(self.receive_tasks):
            task.cancel()

    def send(self, addr: str, msg: object) -> None:
        """Queue a message for an address; the oldest is dropped if MAX_QUEUED_MESSAGES are waiting."""
        if addr not in self.queues:
            self.queues[addr] = (collections.deque(maxlen=MAX_QUEUED_MESSAGES), asyncio.Event())
            self.send_tasks[addr] = asyncio.get_running_loop().create_task(
                self.send_queued(addr, *self.queues[addr])
            )
        queue, filled = self.queues[addr]
        queue.append(msg)
        filled.set()

    async def send_queued(self, addr: str, queue: Queue, filled: asyncio.Event) -> None:
        """Connect when there is something to send, and send it; drop the queue when connecting fails."""
        host, port = addr.split(":")
        while True:
            await filled.wait()
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S
                )
                sockets.set_timeouts(writer.get_extra_info("socket"))
            except (OSError, TimeoutError):
                queue.clear()
                filled.clear()
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self.write_frames(reader, writer, queue, filled)
            except (OSError, TimeoutError):
                pass
            except Exception as error:
                self.message_failed(error)
            finally:
                writer.transport.abort()

    async def write_frames(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        queue: Queue,
        filled: asyncio.Event,
    ) -> None:
        """Write queued messages until the connection is closed."""
        while True:
            while queue:
                parts = self.encode(queue.popleft())
                writer.writelines(parts)
                if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                    await writer.drain()
            filled.clear()
            await filled.wait()
            if writer.transport.is_closing() or reader.at_eof():
                return

    def encode(self, message: object) -> collections.abc.Sequence[bytes]:
        """Returns the parts of a message's frame; none for a message that cannot be encoded, which is
        dropped."""
        try:
            return frames.parts(message)
        except Exception as error:
            self.message_failed(error)
            return ()

    def message_failed(self, error: Exception) -> None:
        """Log an unexpected error about a message that is dropped."""
        self.failed_messages += 1
        logs.note_fault(error)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Receive frames from a peer until its connection closes or one of them is malformed."""
        task = typing.cast(asyncio.Task[None], asyncio.current_task())
        self.receive_tasks.add(task)
        peer = str(writer.get_extra_info("peername"))
        try:
            sockets.set_timeouts(writer.get_extra_info("socket"))
            while True:
                received = await self.read_message(reader)
                if isinstance(received, result.Err):
                    self.frame_refused(peer, received.err_value)
                    return
                try:
                    self.message_received("", received.ok_value)
                except Exception as error:
                    self.message_failed(error)
        except (asyncio.IncompleteReadError, OSError, TimeoutError, asyncio.CancelledError):
            pass
        except Exception as error:
            self.message_failed(error)
        finally:
            self.receive_tasks.discard(task)
            writer.close()

    async def read_message(self, reader: asyncio.StreamReader) -> result.Result[object, str]:
        """Returns the next message, or why its frame is malformed."""
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            raw = await reader.readexactly(frames.HEADER_SIZE)
        header = frames.header(raw)
        if isinstance(header, result.Err):
            return header
        length = header.ok_value.length
        async with asyncio.timeout(BODY_TIMEOUT_S + length / MIN_BYTES_PER_S):
            raw = await reader.readexactly(length)
        return frames.body(header.ok_value, raw)
