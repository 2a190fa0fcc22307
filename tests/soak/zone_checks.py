"""An operator that evacuates a zone and takes it back in series, and what becomes of each order."""

import asyncio
import json
import time
import typing

import tests.soak.plan as plan

OK = 200
ZONE = plan.ZONES[2]
SILENCE_S = 1.0
"""After so long without an answer the operator asks another controller,"""
ACK_WITHIN_S = 4.0
"""and gives the order up after this; nobody knows then whether it was applied."""
HOLDS_S = 1.5
"""The longest time between two orders."""
LATE_COPY_S = 6.0
"""As long as a controller may be stopped for."""
PAUSE_S = 0.1


class Calls(typing.Protocol):
    """What the operator needs of a rig."""

    is_over: bool
    chance: typing.Any
    plan: plan.Plan
    verdict: typing.Any

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """The status and text of an answer, 0 where there was none."""


class ZoneOperator:
    """Orders the opposite of what it ordered last. `agreed`: whether the zone is evacuated by the last order
    that was acknowledged, None where that is not known."""

    def __init__(self, rig: Calls) -> None:
        self.rig = rig
        self.agreed: bool | None = None

    async def run(self) -> None:
        """Order, watch that nothing takes the order back, and order the opposite, until cancelled. Where a
        controller was silent it may apply its copy late: then the opposite stays for longer."""
        is_evacuated, was_silent = True, False
        while not self.rig.is_over:
            is_silent = await self.order(is_evacuated)
            await self.watch(LATE_COPY_S if was_silent else self.rig.chance.uniform(0, HOLDS_S))
            is_evacuated, was_silent = not is_evacuated, is_silent

    async def order(self, is_evacuated: bool) -> bool:
        """Send an order to one controller after the other until it is acknowledged, or given up; whether one
        of them was silent."""
        self.agreed, is_silent = None, False
        until = time.monotonic() + ACK_WITHIN_S
        method = "POST" if is_evacuated else "DELETE"
        while time.monotonic() < until:
            address = self.rig.chance.choice([*self.rig.plan.operators.values()])
            try:
                async with asyncio.timeout(SILENCE_S):
                    status, _ = await self.rig.call(method, f"{address}/v1/evacuation/{ZONE}")
            except TimeoutError:
                is_silent = True
                continue
            if status == OK:
                self.agreed = is_evacuated
                break
            await asyncio.sleep(PAUSE_S)
        return is_silent

    async def watch(self, seconds: float) -> None:
        """Check the zone again and again for so long."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.rig.is_over:
            await self.check()
            await asyncio.sleep(PAUSE_S)

    async def check(self) -> None:
        """A leader that no other can replace must know the zone as it was ordered last."""
        if self.agreed is None:
            return
        for address in self.rig.plan.operators.values():
            status, text = await self.rig.call("GET", f"{address}/basaltport/status?own=1")
            page = json.loads(text) if status == OK else {"holds": False}
            if page["holds"] and (ZONE in page["evacuated"]) is not self.agreed:
                found = f"ZONE {ZONE}: acknowledged was {self.agreed}, agreed is {page['evacuated']}"
                self.rig.verdict.violations.append(found)
                self.agreed = None
                return
