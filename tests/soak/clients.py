"""Clients that keep their connection to a proxy, and go on using it until the proxy closes it or is gone."""

import asyncio
import collections.abc
import random
import time
import typing

import aiohttp

import tests.soak.plan as plan
import tests.soak.stalls as stalls
import tests.soak.tenants as tenants

LOST_SLACK_S = 0.5
"""A connection that ends later than this after a request was sent has been read from: the request is lost."""
DEADLINE_SHARE = 0.9
"""What fails later than this share of its deadline has reached it."""
BROKEN = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


GARBLED = (
    "POST {path} HTTP/1.1\r\nCredential : {key}\r\n\r\n",
    "POST {path} HTTP/1.1\r\nHost: x\r\nCredential {key}\r\n\r\n",
    "POST {path} HTTP/1.1\r\nCredential: {key}\x00\r\n\r\n",
    "Credential: {key}\r\n\r\n",
)
"""Heads that can't be read."""
GARBLED_S = 2.0


async def send_garbled(address: str, key: tenants.Key, chance: random.Random) -> str:
    """What a proxy answers to a head that can't be read."""
    host, port = address.split(":")
    head = chance.choice(GARBLED).format(path=chance.choice([*plan.PATHS.values()]), key=key.text)
    try:
        async with asyncio.timeout(GARBLED_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            answer = await reader.read()
            writer.close()
            return answer.decode(errors="replace")
    except (TimeoutError, OSError):
        return ""


class LostRequest(typing.NamedTuple):
    """A request that a proxy had time to read, and whose connection it ended without a whole answer."""

    proxy: str
    after_s: float
    error: str
    """What the client's library said."""


class KeptConnection:
    """One client: one connection at a time, to one proxy, until that ends it, with one key for all of it.
    `lost`: its lost requests; `wrong`: what its answers broke."""

    def __init__(
        self,
        plan_: plan.Plan,
        chance: random.Random,
        watch: stalls.StallWatch | None = None,
        book: tenants.KeyBook | None = None,
        keys: collections.abc.Sequence[tenants.Key] = (),
    ) -> None:
        """No connection yet. `watch`: of this process, whose own stalls are no time of a proxy. `book`: what
        answers are judged by. `keys`: one of them for each connection, in place of any that its tenant keeps.
        """
        self.plan, self.chance = plan_, chance
        self.watch = watch or stalls.StallWatch()
        self.book, self.keys = book, keys
        self.proxy = chance.choice(plan_.proxies)
        self.key = self.draw_key()
        self.lost: list[LostRequest] = []
        self.wrong: list[str] = []
        self.session: aiohttp.ClientSession | None = None

    def draw_key(self) -> tenants.Key:
        """The key of the next connection."""
        return self.chance.choice(self.keys or [key for key in self.plan.keys if key.is_steady])

    async def request(self, item: str, deadline_s: float) -> int:
        """The status of a request, 0 where there was no answer."""
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
            self.session = aiohttp.ClientSession(connector=connector)
        path = self.chance.choice([*plan.PATHS.values(), plan.PUBLIC])
        url = f"http://{self.plan.counters[self.proxy]}{path}"
        headers = {"Host": plan.HOST, "Model": item, "Deadline-Ms": str(int(1000 * deadline_s))}
        request_id = tenants.request_id(self.key, self.chance)
        headers |= {
            "Tokens": "10,3",
            "Tracking-Id": request_id,
            "Sender": self.chance.choice(tenants.TENANTS),
        }
        headers |= {"Credential": self.key.text} if self.key.text else {}
        limit, sent_at = aiohttp.ClientTimeout(total=deadline_s), self.own_time()
        try:
            async with self.session.post(url, data=b"x", headers=headers, timeout=limit) as response:
                await response.read()
                closes = response.headers.get("Connection", "").lower() == "close"
                status = response.status
                self.judge(path == plan.PUBLIC, request_id, status, response.headers.get("Ran-For", ""))
        except (aiohttp.ClientConnectorError, TimeoutError):
            closes, status = True, 0
        except BROKEN as error:
            closes, status = True, 0
            self.note_lost(self.own_time() - sent_at, deadline_s, type(error).__name__)
        if closes:
            await self.leave()
        return status

    def judge(self, is_public: bool, request_id: str, status: int, ran_for: str) -> None:
        """Keep what an answer breaks."""
        holder = self.holder(request_id)
        broken = tenants.broken_by_answer(self.key, is_public, holder, status, ran_for, self.plan.is_limited)
        if broken:
            self.wrong.append(f"{broken}, at {self.proxy}, key {self.key.number} of {self.key.owners}")

    def holder(self, request_id: str) -> str | None:
        """Who surely held the key when a request was sent; None where that is not known."""
        return self.book.in_force(self.key, tenants.sent_at(request_id), self.proxy) if self.book else None

    def own_time(self) -> float:
        """Seconds in which this process did not stand still."""
        return time.monotonic() - self.watch.total_s()

    def note_lost(self, after_s: float, deadline_s: float, error: str) -> None:
        """Keep that a connection ended without an answer, if the request was surely read, and how."""
        if LOST_SLACK_S < after_s < DEADLINE_SHARE * deadline_s:
            self.lost.append(LostRequest(self.proxy, after_s, error))

    async def leave(self) -> None:
        """End the connection, and go to another proxy."""
        if self.session is not None:
            await self.session.close()
            self.session = None
        others = [name for name in self.plan.proxies if name != self.proxy]
        self.proxy = self.chance.choice(others or self.plan.proxies)
        self.key = self.draw_key()

    async def close(self) -> None:
        """End the connection, also where its client is being cancelled."""
        if self.session is not None:
            await asyncio.shield(self.session.close())
            self.session = None
