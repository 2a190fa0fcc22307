"""Open-loop sending: every shot leaves at its time, whatever became of those before."""

import asyncio
import dataclasses
import http
import json
import time

import aiohttp

import basaltport.query_api.load_generator.plan as plan
import basaltport.http_client as http_client

LEAD_S = 0.2


@dataclasses.dataclass(slots=True)
class Shot:
    """A request that was sent and what came of it."""

    n: int
    line: str
    item: str
    prompt: str
    due: float
    outcome: str = "lost"
    code: str = ""
    ms: float = 0.0
    late_ms: float = 0.0
    detail: str = ""


class Shooter:
    """Sends a plan to nodes in turn; each prompt bears `tag`, each request ends within `lapse` seconds."""

    def __init__(
        self, nodes: list[str], demand: plan.Demand, shots: list[plan.Planned], tag: str, lapse: float
    ) -> None:
        """Keep the plan; `run` sends it."""
        self.nodes = nodes
        self.demand = demand
        self.plan = shots
        self.tag = tag
        self.lapse = lapse
        self.shots: list[Shot] = []

    async def run(self) -> list[Shot]:
        """Send all and wait for their ends."""
        t = aiohttp.ClientTimeout(total=self.lapse)
        conn = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        tasks = []
        async with http_client.session_without_resend(timeout=t, connector=conn) as s:
            self.begin = time.monotonic() + LEAD_S
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

    async def one(self, s: aiohttp.ClientSession, shot: Shot, sender: str) -> None:
        """Send one and note its end."""
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

    async def read(self, r: aiohttp.ClientResponse, shot: Shot, want: str) -> None:
        """Read an answer, whole or in pieces, and judge it."""
        ran = r.headers.get("Basaltport-Ran", "unknown")
        if r.status != http.HTTPStatus.OK:
            doc = await r.json(content_type=None)
            shot.code = doc.get("error", "")
            shot.outcome = "refused" if ran == "no" else "unknown"
            return
        if r.content_type != "application/x-ndjson":
            doc = await r.json()
            self.judge(shot, doc["reply"], want)
            return
        words: list[str] = []
        ended = False
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

    def judge(self, shot: Shot, got: object, want: str) -> None:
        """Hold what came against what should."""
        shot.outcome = "done" if got == want else "crossed"
        if got != want:
            shot.detail = f"got {got!r}, not {want!r}"
