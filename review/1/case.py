"""The withdrawal of an evacuation is acknowledged, then applied once more: it ends the next evacuation."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

import rig  # noqa: E402

SERVICE, HOST, PREFIX = "receipt-hub", "notices.example", "/notice/"
ZONE = rig.ZONES[1]
RATE_PER_S = 60.0
LONGEST_FREEZE_S = 5.0
"""The longest `node_freeze` of a machine of the core in the sites."""
FREEZE_S = 4.9
ACK_WITHIN_S = rig.TIMINGS["ackWithinMs"] / 1000
"""Nobody sends an order again for longer than this."""
EVACUATE_S = rig.TIMINGS["evacuateMs"] / 1000
IN_TOUCH_S = rig.TIMINGS["inTouchMs"] / 1000
STRETCH_S = rig.TIMINGS["stretchMs"] / 1000
"""By so much more the bound may be, as the core is not settled while the freeze lasts and 3 s after."""
MARGIN_S = 0.5
WATCH_S = 6.0
LEAST_RUNS = 10


async def case(record: rig.Record, folder: pathlib.Path, has_trouble: bool) -> int:
    """Run it; whether the rule held."""
    fleet = rig.Fleet(record, folder)
    replicas = [
        rig.Replica(record, f"i-{number}{zone}", SERVICE, zone, fleet.replica_address(number))
        for number, zone in enumerate(rig.ZONES)
    ]
    await rig.Server(rig.Platform(replicas).answer).start(fleet.listing)
    for replica in replicas:
        await rig.Server(replica.answer).start(replica.address)
    try:
        fleet.start_all()
        return await play(record, fleet, replicas[1], has_trouble)
    finally:
        fleet.stop_all()


async def play(record: rig.Record, fleet: rig.Fleet, replica: rig.Replica, has_trouble: bool) -> int:
    """Two evacuations of a zone, one after the other, and a freeze as the first one is taken back."""
    operator = rig.Operator(record, fleet.operators())
    await operator.configure(0, rig.plain_configuration(SERVICE, HOST, PREFIX, 1))
    await fleet.wait_until_ready()
    await asyncio.sleep(IN_TOUCH_S)
    clients = rig.Clients(record, fleet, HOST, PREFIX + "2f")
    traffic = asyncio.create_task(clients.send(RATE_PER_S, 37.0))
    await asyncio.sleep(3.0)
    if len(replica.arrivals) < LEAST_RUNS:
        raise rig.CouldNotRunError("the zone serves nothing before its evacuation")
    await operator.must("POST", f"/v1/evacuation/{ZONE}", {})
    await asyncio.sleep(EVACUATE_S + 1.0)
    operator.at = 0
    frozen, frozen_at = fleet.controllers[0], record.now()
    if has_trouble:
        fleet.signal(frozen, signal.SIGSTOP)
    withdrawn_at = record.now()
    await operator.must("DELETE", f"/v1/evacuation/{ZONE}", {})
    await asyncio.sleep(withdrawn_at + ACK_WITHIN_S + 0.2 - record.now())
    await operator.must("POST", f"/v1/evacuation/{ZONE}", {})
    evacuated_at = record.now()
    if evacuated_at > frozen_at + FREEZE_S:
        raise rig.CouldNotRunError("the second evacuation took too long")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
    if record.now() - frozen_at > LONGEST_FREEZE_S:
        raise rig.CouldNotRunError("the freeze took too long")
    if has_trouble:
        fleet.signal(frozen, signal.SIGCONT)
    begin = max(evacuated_at + EVACUATE_S + STRETCH_S, record.now() + IN_TOUCH_S) + MARGIN_S
    await asyncio.sleep(begin + WATCH_S - record.now())
    late = [at for at, _ in replica.arrivals if at > begin]
    after_s = begin - evacuated_at
    record.say(f"{len(late)} requests reached {ZONE} later than {after_s:.1f} s after its evacuation")
    await traffic
    served = sum(status == rig.OK for status in clients.answered.values())
    record.say(f"{served} of {len(clients.answered)} requests were served")
    if 2 * served < len(clients.answered):
        raise rig.CouldNotRunError("most requests were not served")
    return rig.BROKEN if late else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.main(case, __file__))
