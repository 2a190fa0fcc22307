"""Once all is well: a key that is given or taken away is known or unknown at every proxy in time, also on
connections that were open before."""

import asyncio
import contextlib
import time
import typing

import tests.soak.clients as clients
import tests.soak.plan as plan
import tests.soak.tenants as tenants

READY_S = 15.0
CALL_S = 2.0
TIMES = 3
"""An answer that came once must come again as often."""
CHANGES = (True, False, True, False)
"""Whether the key is held after each change."""


class Rig(typing.Protocol):
    """What the checks need of a rig."""

    plan: plan.Plan
    verdict: typing.Any
    chance: typing.Any

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """The status and text of an answer."""

    async def control(self, word: str) -> plan.Document:
        """Have the stand-ins tell something."""

    async def give_keys(self, held: tenants.Held, method: str, document: plan.Document) -> bool:
        """Whether a change is acknowledged after which keys are held so."""


async def check(rig: Rig) -> None:
    """Give a key, take it away, and again; a proxy that does otherwise is a violation."""
    key = next(key for key in rig.plan.keys if key.owners and not key.is_steady)
    connections = [connect(rig, proxy, key) for proxy in rig.plan.proxies]
    try:
        await asyncio.gather(*(until_ready(rig, proxy) for proxy in rig.plan.proxies))
        for is_held in CHANGES:
            if not await give(rig, key, is_held):
                rig.verdict.violations.append("STUCK: no change of keys was acknowledged")
                return
            await asyncio.gather(*(check_at(rig, connection, is_held) for connection in connections))
    finally:
        for connection in connections:
            await connection.close()


def connect(rig: Rig, proxy: str, key: tenants.Key) -> clients.KeptConnection:
    """A client of one proxy."""
    connection = clients.KeptConnection(rig.plan, rig.chance, keys=[key])
    connection.proxy = proxy
    return connection


async def until_ready(rig: Rig, proxy: str) -> None:
    """Wait until a proxy takes clients; one that never does is found elsewhere."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(READY_S):
            while (await rig.call("GET", f"{rig.plan.readiness[proxy]}/v1/ready"))[0] != tenants.OK:
                await asyncio.sleep(0.05)


async def give(rig: Rig, key: tenants.Key, is_held: bool) -> bool:
    """Whether the key is given, or taken away, within some time."""
    held = tenants.steady(rig.plan.keys) | ({key.number: key.owners[0]} if is_held else {})
    put = {"putItems": {"senders": rig.plan.tenants(held)}}
    ends_at = time.monotonic() + READY_S
    while not await rig.give_keys(held, "PATCH", put):
        if time.monotonic() > ends_at:
            return False
        await asyncio.sleep(0.1)
    return True


async def check_at(rig: Rig, connection: clients.KeptConnection, is_held: bool) -> None:
    """A proxy knows the key, or does not, at the latest for what is sent once a change has had its time."""
    proxy, acknowledged_at = connection.proxy, time.monotonic()
    held = (await rig.control("tell"))["held"]
    item = next(iter(held), next(iter(rig.plan.model_mb)))
    what = f"a key that was {'given' if is_held else 'taken away'}"
    statuses: list[int] = []
    while time.monotonic() < acknowledged_at + READY_S:
        connection.proxy, sent_at = proxy, time.monotonic()
        statuses.append(await connection.request(item, CALL_S))
        if is_settled(statuses, is_held):
            return
        if sent_at > acknowledged_at + tenants.APPLY_S and is_wrong(statuses[-1], is_held):
            after_s = sent_at - acknowledged_at
            rig.verdict.violations.append(f"CONFIG: {what} {after_s:.1f} s ago, at {proxy}: {statuses}")
            return
        await asyncio.sleep(0.02)
    rig.verdict.violations.append(f"STUCK: {what}, at {proxy}: {statuses}")


def is_wrong(status: int, is_held: bool) -> bool:
    """Whether an answer is that to a key that is held though it isn't, or the other way round."""
    return status != 0 and (status == tenants.UNAUTHORIZED) is is_held


def is_settled(statuses: list[int], is_held: bool) -> bool:
    """Whether the last answers all are those to a key that is held, or to one that is not."""
    last = statuses[-TIMES:]
    return len(last) == TIMES and 0 not in last and not any(is_wrong(status, is_held) for status in last)
