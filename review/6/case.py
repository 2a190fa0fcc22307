"""A replica that was added during traffic becomes cold again before it was warm."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rates_2  # noqa: E402
import rig_2  # noqa: E402

RATE_S = 160.0
AGAIN_AFTER_S = 2.5
"""So long after its start, and 0.5 s before it would be warm, the replica becomes cold again."""


async def case(rig: rig_2.Rig, trouble: bool) -> list[str]:
    """Steady traffic on one replica; a second one is added, which is cold."""
    options = {"events": 6, "gap_s": 0.02, "first_s": 0.05, "falls_at": rates_2.FALLS_AT}
    await rig.start_replica("i-1", "huvo11a", "z1", "m0", **options)
    await rig.up(rig_2.configuration(7, rates_2.COLD_RATE_S, resumable=False))
    traffic = rates_2.Traffic(rig, RATE_S)
    traffic.start()
    await asyncio.sleep(3)
    added = await rig.start_replica("i-2", "huvo11a", "z2", "", listed=False, **options)
    added.make_cold(rates_2.COLD_S)
    rig.replicas.append(added)
    await asyncio.sleep(AGAIN_AFTER_S)
    if trouble:
        added.make_cold(rates_2.COLD_S)
    await asyncio.sleep(rates_2.COLD_S + 1)
    await traffic.finish()
    return rates_2.judge(rig, added)


if __name__ == "__main__":
    sys.exit(asyncio.run(rig_2.play(rig_2.Rig(proxies=3), case, FOLDER)))
