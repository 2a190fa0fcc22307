"""A stand-in replica: one process, one life, by the users' pages.

Commands come as JSON lines on its standard input; what it saw goes as JSON lines to its standard output.
"""

import argparse
import asyncio
import collections
import json
import os
import sys
import time
import typing

Document = dict[str, typing.Any]
Headers = dict[str, str]

OK, ACCEPTED, BAD_REQUEST, CONFLICT, FENCED = 200, 202, 400, 409, 412
MISDIRECTED, UNAVAILABLE = 421, 503
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad",
    409: "Conflict",
    412: "Fenced",
    421: "Misdirected",
    503: "Full",
}


def tell(kind: str, **fields: object) -> None:
    """Write one line about what was seen; the clock is the same for all processes of a machine."""
    sys.stdout.write(json.dumps({"at": time.monotonic(), "kind": kind, **fields}) + "\n")
    sys.stdout.flush()


class Replica:
    """One life of a replica: what it holds, which orders it took, what runs."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with the models that the options name, or empty."""
        self.options = options
        self.id: str = options.id
        self.models = [name for name in options.models.split(",") if name]
        self.job: tuple[str, str] | None = None
        self.orders_taken = 0
        self.fence = -1
        self.running = 0
        self.answers = 0
        self.cold_until = 0.0
        self.arrivals: collections.deque[float] = collections.deque()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        try:
            while await self.serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve the next request; returns whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (h.partition(":") for h in head[1:] if h)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("expect-replica", self.id) != self.id:
            return await self.answer(writer, headers, MISDIRECTED, b"")
        if (method, path) == ("GET", "/v1/report"):
            return await self.answer(writer, headers, OK, json.dumps(self.report()).encode())
        if (method, path) == ("POST", "/v1/order"):
            return await self.answer(writer, headers, self.order(json.loads(body)), b"{}")
        if (method, path) == ("GET", "/health"):
            return await self.answer(writer, headers, OK, b"", f"Cold-Ms: {self.cold_ms()}\r\n")
        return await self.run(reader, writer, headers)

    def cold_ms(self) -> int:
        """How much longer this replica is cold."""
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def answer(
        self, writer: asyncio.StreamWriter, headers: Headers, status: int, body: bytes, more: str = ""
    ) -> bool:
        """Send an answer that has a length."""
        more += f"Tracking-Id: {headers['tracking-id']}\r\n" if "tracking-id" in headers else ""
        more += "Not-Delivered: 1\r\n" if status == UNAVAILABLE else ""
        writer.write(
            f"HTTP/1.1 {status} {REASONS[status]}\r\nReplica: {self.id}\r\n{more}Keep-Alive: timeout=5\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True

    # models

    def report(self) -> Document:
        """What a report tells; here it is of this moment."""
        models = [{"name": name, "edition": 1, "adapters": []} for name in self.models]
        counts = {"waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": 200_000, "handles": 0}
        return {
            "stage": "both",
            "models": models,
            "busy": self.job is not None,
            "callSeq": self.orders_taken,
            **counts,
        }

    def order(self, order: Document) -> int:
        """Take an order, or say why not."""
        kind, model, fence = order.get("orderKind"), order.get("model"), order.get("fenceNo")
        if (
            kind not in ("load", "unload")
            or not model
            or not order.get("holder")
            or not isinstance(fence, int)
        ):
            return BAD_REQUEST
        tell("order", order=order, holds=self.models)
        if fence < self.fence:
            return FENCED
        self.fence = fence
        if self.job is not None:
            return ACCEPTED if self.job == (kind, model) else CONFLICT
        if order.get("expectedCount", self.orders_taken) != self.orders_taken:
            return CONFLICT
        if (model in self.models) == (kind == "load"):
            return OK
        self.orders_taken += 1
        self.job = (kind, model)
        if kind == "unload":
            self.models.remove(model)
        asyncio.get_running_loop().call_later(self.options.load_s if kind == "load" else 0.05, self.end_job)
        return ACCEPTED

    def end_job(self) -> None:
        """End the order that is under way."""
        assert self.job is not None
        kind, model = self.job
        if kind == "load":
            self.models.append(model)
        tell("done", kind_of=kind, model=model)
        self.job = None

    # requests

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers) -> bool:
        """Run a request: a stream of events, the first one after `first_s`, the others each `gap_s`."""
        request, model = headers.get("tracking-id", ""), headers.get("model", "")
        if model and model not in self.models:
            status = UNAVAILABLE if self.job is not None and self.job[1] == model else MISDIRECTED
            tell("turned away", id=request, status=status)
            return await self.answer(writer, headers, status, b"")
        self.arrive(request)
        if self.running >= self.options.berths:
            tell("turned away", id=request, status=UNAVAILABLE)
            return await self.answer(writer, headers, UNAVAILABLE, b"")
        first = int(headers.get("last-event-id") or 0) + 1
        self.running += 1
        self.answers += 1
        every = self.options.unframed_every
        framed = not every or self.answers % every != 0
        tell("run", id=request, first=first, framed=framed)
        watch = asyncio.create_task(reader.read(1))
        stream = asyncio.create_task(self.stream(writer, headers, first, framed))
        try:
            await asyncio.wait({watch, stream}, return_when=asyncio.FIRST_COMPLETED)
            if not stream.done():
                stream.cancel()
                tell("left", id=request)
                return False
            await stream
            tell("ran", id=request)
            if watch.done() or not framed:
                return False
            watch.cancel()
            return not (await asyncio.gather(watch, return_exceptions=True))[0] == b""
        finally:
            self.running -= 1
            watch.cancel()

    def arrive(self, request: str) -> None:
        """Note an arrival; while cold, one well above what a cold replica bears ends the process."""
        now = time.monotonic()
        self.arrivals.append(now)
        while self.arrivals[0] <= now - 1:
            self.arrivals.popleft()
        tell("arrived", id=request, cold=now < self.cold_until)
        falls_at = self.options.falls_at
        if falls_at and now < self.cold_until and len(self.arrivals) > falls_at:
            tell("fell over", running=self.running)
            os._exit(1)

    async def stream(self, writer: asyncio.StreamWriter, headers: Headers, first: int, framed: bool) -> None:
        """Send the events of a run; without a length the end of the connection ends the answer."""
        request = headers.get("tracking-id", "")
        frame = (
            "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n" if framed else "Connection: close\r\n"
        )
        await asyncio.sleep(self.options.first_s)
        writer.write(
            f"HTTP/1.1 200 OK\r\nTracking-Id: {request}\r\nPostmark: {self.id}.{request}\r\n"
            f"Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n{frame}\r\n".encode()
        )
        for number in range(first, self.options.events + 1):
            start, rest = (
                f"id: {number}\ndata: {request}".encode(),
                f" {number} of {self.options.events}\n\n".encode(),
            )
            if self.options.split_s:
                self.send(writer, start, framed)
                tell("half", id=request, number=number, framed=framed)
                await asyncio.sleep(self.options.split_s)
                self.send(writer, rest, framed)
            else:
                self.send(writer, start + rest, framed)
            await writer.drain()
            if number < self.options.events:
                await asyncio.sleep(self.options.gap_s)
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    def send(self, writer: asyncio.StreamWriter, raw: bytes, framed: bool) -> None:
        """Write a part of a body."""
        writer.write(b"%x\r\n%s\r\n" % (len(raw), raw) if framed else raw)


async def main() -> None:
    """Serve until the standard input ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--models", default="")
    parser.add_argument("--berths", type=int, default=32)
    parser.add_argument("--events", type=int, default=12)
    parser.add_argument("--first-s", type=float, default=0.02)
    parser.add_argument("--gap-s", type=float, default=0.01)
    parser.add_argument("--split-s", type=float, default=0.0)
    parser.add_argument("--load-s", type=float, default=0.6)
    parser.add_argument("--unframed-every", type=int, default=0)
    parser.add_argument("--falls-at", type=int, default=0)
    replica = Replica(parser.parse_args())
    host, port = replica.options.address.split(":")
    server = await asyncio.start_server(replica.serve, host, int(port), limit=1 << 20, backlog=1024)
    tell("up", id=replica.id)
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        command = json.loads(line)
        replica.cold_until = command.get("cold_until", replica.cold_until)
    server.close()
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main())
