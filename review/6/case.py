"""Two operators set up an empty system at once; the first configuration of one of them has edition 0."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2  # noqa: E402

OPERATORS = (("/lots/", 0), ("/pages/", 1))
"""The route and the edition of each operator's first configuration."""
LATER_S = 0.2
"""So much later the second operator sends; neither has read or heard anything."""
START_S = 20.0
ACK_WITHIN_S = 4.0
REFUSED = range(400, 500)
PAUSE_S = 0.2


def first_configuration(prefix: str, edition: int) -> rig_2.Document:
    """A first configuration, with one route."""
    document = rig_2.configuration(edition)
    document["lanes"][0].update(name=f"r-{prefix.strip('/')}", pathPrefix=prefix)
    return document


async def put(rig: rig_2.Rig, prefix: str, edition: int) -> int:
    """Send a first configuration, unchanged, to one controller after another until one answers clearly."""
    ends_at = time.monotonic() + ACK_WITHIN_S
    while time.monotonic() < ends_at:
        status = await rig.operator("PUT", "/v1/config", first_configuration(prefix, edition), 0)
        if status == rig_2.OK or status in REFUSED:
            rig.note("clear answer", prefix=prefix, edition=edition, status=status)
            return status
        await asyncio.sleep(PAUSE_S)
    raise rig_2.CouldNotRunError("a first configuration was not answered")


async def read(rig: rig_2.Rig) -> list[str]:
    """The prefixes of the routes that are read back; none where there is no configuration yet."""
    address = f"{rig.ips[rig.controllers[0]]}:8146"
    for _ in range(20):
        answer = await rig_2.exchange(address, "GET", "/v1/config", {"Host": "x"}, b"", rig_2.ANSWER_S)
        if answer.status == rig_2.OK:
            return [lane["pathPrefix"] for lane in json.loads(answer.body)["lanes"]]
        if answer.status in REFUSED:
            return []
        await asyncio.sleep(PAUSE_S)
    raise rig_2.CouldNotRunError("the configuration was not read back")


async def until_led(rig: rig_2.Rig) -> None:
    """Wait until a controller leads."""
    ends_at = time.monotonic() + START_S
    while time.monotonic() < ends_at:
        try:
            await rig.leader()
            return
        except rig_2.CouldNotRunError:
            await asyncio.sleep(PAUSE_S)
    raise rig_2.CouldNotRunError("no controller leads")


async def case(rig: rig_2.Rig, trouble: bool) -> list[str]:
    """Both build on version 0, so that one of them at the most may be told that its own is taken."""
    await rig.start_all()
    await until_led(rig)
    operators = OPERATORS if trouble else OPERATORS[1:]
    sending = []
    for prefix, edition in operators:
        sending.append(asyncio.create_task(put(rig, prefix, edition)))
        await asyncio.sleep(LATER_S)
    statuses = await asyncio.gather(*sending)
    acknowledged = [
        prefix for (prefix, _), status in zip(operators, statuses, strict=True) if status == rig_2.OK
    ]
    await asyncio.sleep(rig.timings["inTouchMs"] / 1000)
    found = await read(rig)
    rig.note("read back", prefixes=found, acknowledged=acknowledged)
    if not trouble and not acknowledged:
        raise rig_2.CouldNotRunError("a single first configuration was refused")
    if len(acknowledged) <= 1 and found == acknowledged:
        return []
    lost = [prefix for prefix in acknowledged if prefix not in found]
    return [f"CONFIG: both on version 0, acknowledged: {acknowledged}; read back: {found}; lost: {lost}"]


if __name__ == "__main__":
    sys.exit(asyncio.run(rig_2.play(rig_2.Rig(proxies=1), case, FOLDER)))
