"""Open-loop sending: every shot leaves at its time, whatever became of those before."""

import asyncio
import json
import time

import aiohttp

import basaltport.replica_client.adapter as adapter


class Shot:
    __slots__ = ("n", "line", "item", "prompt", "due", "outcome", "code", "ms", "late_ms", "detail")

    def __init__(self, n, line, item, prompt, due):
        self.n = n
        self.line = line
        self.item = item
        self.prompt = prompt
        self.due = due
        self.outcome = "lost"
        self.code = ""
        self.ms = 0.0
        self.late_ms = 0.0
        self.detail = ""


class Shooter:
    def __init__(self, nodes, demand, shots, tag, lapse):
        self.nodes = nodes
        self.demand = demand
        self.plan = shots
        self.tag = tag
        self.lapse = lapse
        self.shots = []

    async def run(self):
        t = aiohttp.ClientTimeout(total=self.lapse)
        conn = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        tasks = []
        async with adapter.once_session(timeout=t, connector=conn) as s:
            self.begin = time.monotonic() + 0.2
            for n, (at, line, item, sender) in enumerate(self.plan):
                wait = self.begin + at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                shot = Shot(n, line, item, f"{self.tag}-{n}", self.begin + at)
                shot.late_ms = (time.monotonic() - shot.due) * 1000
                self.shots.append(shot)
                tasks.append(asyncio.get_running_loop().create_task(self.one(s, shot, sender)))
            await asyncio.gather(*tasks)
        return self.shots

    async def one(self, s, shot, sender):
        d = self.demand["lines"][shot.line]
        model, _, adapter = shot.item.partition("/")
        body = {"model": model, "prompt": shot.prompt, "stream": d.get("stream", False)}
        if adapter:
            body["adapter"] = adapter
        node = self.nodes[shot.n % len(self.nodes)]
        heads = {"Authorization": f"Bearer {d['senders'][sender]}"}
        try:
            url = f"http://{node}/v1/lines/{shot.line}/query"
            async with s.post(url, json=body, headers=heads) as r:
                await self.read(r, shot, f"{model}: {shot.prompt}")
        except aiohttp.ClientConnectorError:
            shot.outcome, shot.code = "no-node", node
        except TimeoutError:
            shot.outcome = "lost"
        except (aiohttp.ClientError, OSError, ValueError) as e:
            shot.outcome, shot.code = "cut", type(e).__name__
        shot.ms = (time.monotonic() - shot.due) * 1000

    async def read(self, r, shot, want):
        ran = r.headers.get("Basaltport-Ran", "unknown")
        if r.status != 200:
            doc = await r.json(content_type=None)
            shot.code = doc.get("error", "")
            shot.outcome = "refused" if ran == "no" else "unknown"
            return
        if r.content_type != "application/x-ndjson":
            doc = await r.json()
            self.judge(shot, doc["reply"], want)
            return
        words, ended = [], False
        async for raw in r.content:
            doc = json.loads(raw)
            if doc.get("end"):
                ended = doc["pieces"] == len(words)
                continue
            if ended or doc["n"] != len(words):
                shot.outcome, shot.code = "broken-stream", "a piece out of order"
                return
            words.append(doc["piece"])
        if not ended:
            shot.outcome, shot.code = "broken-stream", "a clean end without its end line"
            return
        self.judge(shot, " ".join(words), want)

    def judge(self, shot, got, want):
        shot.outcome = "done" if got == want else "crossed"
        if got != want:
            shot.detail = f"got {got!r}, not {want!r}"
