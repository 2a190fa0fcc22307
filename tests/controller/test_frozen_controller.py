"""Real controllers, one of them frozen with an operator's order in its socket, which it then reads late."""

import asyncio
import contextlib
import http
import json
import signal

import aiohttp
import pytest

import tests.soak.fleet as fleet
import tests.soak.plan as plan

BOUND_S = 40
CALL_S = 1.0
"""After so long without an answer an operator asks another controller."""
OPPOSITE = {"POST": "DELETE", "DELETE": "POST"}
BROKEN = (aiohttp.ClientError, TimeoutError, OSError)


class Controllers:
    """Three controllers as processes, and their operator."""

    def __init__(self, tree, folder):
        self.fleet = fleet.Fleet(1, tree, folder, proxies=0)
        self.zone = plan.ZONES[1]

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_S))
        for name in plan.CONTROLLERS:
            self.fleet.start_member(name, True)
        return self

    async def __aexit__(self, *raised):
        await self.session.close()
        await self.fleet.stop()

    async def order(self, names, method):
        """Ask one controller after the other until one acknowledges."""
        while True:
            for name in names:
                with contextlib.suppress(*BROKEN):
                    url = f"http://{self.fleet.plan.operators[name]}/v1/evacuation/{self.zone}"
                    async with self.session.request(method, url) as answer:
                        if answer.status == http.HTTPStatus.OK:
                            return

    async def silent_order(self, name, method, is_open):
        """Send an order to a controller that says nothing, and wait as an operator does; its connection."""
        address, port = self.fleet.plan.operators[name].split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(f"{method} /v1/evacuation/{self.zone} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1), CALL_S)
        if not is_open:
            writer.close()
        return writer

    async def page(self, name, page):
        """What a controller says of itself, None where it does not answer."""
        url = f"http://{self.fleet.plan.operators[name]}/basaltport/{page}?own=1"
        with contextlib.suppress(*BROKEN):
            async with self.session.get(url) as answer:
                return await answer.text()
        return None

    async def leading(self):
        """What the controller says of itself that leads and that no other can have replaced."""
        while True:
            for name in plan.CONTROLLERS:
                status = json.loads(await self.page(name, "status") or "{}")
                if status.get("holds"):
                    return status

    async def leader_of_all(self):
        """The controller that leads, once all of them vote: before, the loss of one may be one too many."""
        while True:
            status = await self.leading()
            if sum(row["votes"] for row in status["controllers"]) == len(plan.CONTROLLERS):
                return status["name"]

    async def evacuated(self):
        """The zones that are agreed to be evacuated."""
        return (await self.leading())["evacuated"]

    async def dropped(self, name):
        """How many zone orders a controller did not apply."""
        metrics = await self.page(name, "metrics") or ""
        counts = [line.split()[-1] for line in metrics.splitlines() if "zone_orders_dropped_total{" in line]
        return sum(map(float, counts))


async def play(controllers, method, is_leader, is_open):
    """An order to a frozen controller, then the same and the opposite elsewhere; the zones evacuated once the
    frozen one has read its copy, and those that should be."""
    leader = await controllers.leader_of_all()
    name = leader if is_leader else next(n for n in plan.CONTROLLERS if n != leader)
    others = [n for n in plan.CONTROLLERS if n != name]
    await controllers.order(others, OPPOSITE[method])
    controllers.fleet.processes[name].send_signal(signal.SIGSTOP)
    with contextlib.closing(await controllers.silent_order(name, method, is_open)):
        await controllers.order(others, method)
        await controllers.order(others, OPPOSITE[method])
        controllers.fleet.processes[name].send_signal(signal.SIGCONT)
        expected = [controllers.zone] if OPPOSITE[method] == "POST" else []
        while not await controllers.dropped(name):
            assert await controllers.evacuated() == expected, "the late copy was applied"
        return await controllers.evacuated(), expected


@pytest.mark.parametrize("method", ["DELETE", "POST"])
@pytest.mark.parametrize("is_leader, is_open", [(False, False), (False, True), (True, False), (True, True)])
# guards against EVAC of review/1: a controller that woke applied what stood in its socket for seconds
def test_an_order_that_a_controller_reads_once_it_wakes_is_not_applied(tmp_path, method, is_leader, is_open):
    async def run():
        async with asyncio.timeout(BOUND_S), Controllers(fleet.ROOT, tmp_path) as controllers:
            return await play(controllers, method, is_leader, is_open)

    zones, expected = asyncio.run(run())
    assert zones == expected
