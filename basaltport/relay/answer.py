"""Where a request's one answer goes: whole, in parts, or our own word; then its end, clean or not."""

import asyncio

import aiohttp.web

import basaltport.relay.pieces as pieces
import basaltport.relay.upstream as upstream


class Sink:
    def __init__(self, request, body, words, closing):
        self.request = request
        self.method = request.method
        self.path = request.raw_path
        self.body = body
        self.heads = upstream.end_to_end(request.headers)
        self.request_id = request.headers.get(words.request_id)
        self.words = words
        self.closing = closing
        self.done = asyncio.get_running_loop().create_future()
        self.kept = {}
        self.reply = None
        self.begun = False
        self.streams = False
        self.resumable = False
        self.pieces = None

    def route(self, route):
        self.streams = route.kind == "stream"
        self.resumable = route.resumable
        self.pieces = pieces.Pieces(whole=route.resumable)

    def set(self, reply):
        if not self.done.done():
            self.done.set_result(reply)

    def made(self, status, heads, raw):
        r = aiohttp.web.Response(status=status, headers=heads, body=raw)
        if self.closing():
            r.force_close()
        return r

    def close(self, status, detail, retry_after):
        """An answer of our own; what is begun to be answered is cut instead."""
        if self.begun:
            self.cut()
            return
        h = {"Content-Type": "application/json"}
        if self.request_id:
            h[self.words.request_id] = self.request_id
        if retry_after:
            h["Retry-After"] = f"{max(0.01, retry_after / 1000):g}"
        self.set(self.made(status, h, b'{"error": "%s"}' % detail.replace('"', "'").encode()))

    def keep(self, attempt, status, heads, raw):
        self.kept[attempt] = (status, heads, raw)

    def give(self, attempt):
        """Pass on a kept answer of failure; what is begun to be answered is cut instead."""
        if self.begun:
            self.cut()
            return
        self.set(self.made(*self.kept[attempt]))

    async def whole(self, status, heads, raw):
        self.set(self.made(status, heads, raw))

    def can_resume(self):
        return self.resumable and self.reply is not None and bool(self.pieces.last)

    def resume(self):
        """The id that the next run goes on from; what the last run left of an event is dropped."""
        return self.pieces.resume()

    async def part(self, status, heads, raw):
        out = self.pieces.take(raw)
        if out is None:
            raise upstream.Foreign("the run does not go on where it should")
        if out:
            await self.write(status, heads, out)

    async def write(self, status, heads, out):
        if self.reply is None:
            r = aiohttp.web.StreamResponse(status=status, headers=upstream.end_to_end(heads))
            if "Content-Length" in heads and not self.resumable:
                r.content_length = int(heads["Content-Length"])
            else:
                r.enable_chunked_encoding()
            if self.closing():
                r.force_close()
            self.reply = r
            self.begun = True
            await self.sent(r.prepare(self.request))
        await self.sent(self.reply.write(out))

    async def sent(self, writing):
        try:
            await writing
        except (OSError, aiohttp.ClientError, RuntimeError) as e:
            raise upstream.Departed(type(e).__name__)

    async def end(self, status, heads):
        rest, self.pieces.rest = self.pieces.rest, b""
        if rest or self.reply is None:
            await self.write(status, heads, rest)
        await self.sent(self.reply.write_eof())
        self.set(self.reply)

    def cut(self):
        """What is out must not look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()
        self.set(self.reply or aiohttp.web.Response(status=502))
