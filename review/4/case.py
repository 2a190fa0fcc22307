"""A replica crashes in the middle of an event of a stream that has no length."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2  # noqa: E402

REPLICAS = 6
EVENTS = 12
UNFRAMED_EVERY = 34
"""At half of the replicas 3 in 100 answers have no length."""
WARM_UP = 60
"""So many requests are sent before the crash may come."""
WHOLE_EVENTS = 3
"""The crash comes after more events than this."""
LONGEST_S = 30.0
END = 40


async def case(rig: rig_2.Rig, trouble: bool) -> list[str]:
    """Streams at six replicas, of which one crashes while it writes an event of one without a length."""
    replicas = []
    for n in range(REPLICAS):
        replica = await rig.start_replica(
            *(f"i-{n}", "huvo11a", rig_2.ZONES[n % 3], "m0"),
            events=EVENTS,
            gap_s=0.05,
            split_s=0.05,
            unframed_every=UNFRAMED_EVERY if n % 2 else 0,
        )
        replicas.append(replica)
    await rig.up(rig_2.configuration(7))
    crashed: list[rig_2.ReplicaProcess] = []

    def crash_at(replica: rig_2.ReplicaProcess) -> None:
        def on_event(event: rig_2.Document) -> None:
            is_torn = event["kind"] == "half" and not event["framed"] and event["number"] > WHOLE_EVENTS
            if is_torn and not crashed:
                crashed.append(replica)
                replica.kill()
                rig.replicas.remove(replica)

        replica.on_event = on_event

    tasks: list[asyncio.Task[rig_2.Answer]] = []
    ends_at = time.monotonic() + (LONGEST_S if trouble else LONGEST_S / 3)
    while time.monotonic() < ends_at and not crashed:
        if trouble and len(tasks) == WARM_UP:
            for replica in replicas:
                crash_at(replica)
        proxy = rig.proxies[len(tasks) % len(rig.proxies)]
        tasks.append(asyncio.create_task(rig.request(proxy, "/lohu930/", "m0", 5000)))
        await asyncio.sleep(0.02)
    answers = await asyncio.gather(*tasks)
    if trouble and not crashed:
        raise rig_2.CouldNotRunError("no stream without a length was under way")
    rig.note("sums", requests=len(answers), whole=sum(answer.whole for answer in answers))
    return [finding for answer in answers for finding in judge(answer)]


def judge(answer: rig_2.Answer) -> list[str]:
    """What a whole answer lacks: every event that the replica's whole body has."""
    if answer.status != rig_2.OK or not answer.whole:
        return []
    request = answer.id.encode()
    numbers = range(1, EVENTS + 1)
    if answer.body == b"".join(b"id: %d\ndata: %s %d of %d\n\n" % (n, request, n, EVENTS) for n in numbers):
        return []
    events, end = answer.body.count(b"\n\n"), answer.body[-END:]
    return [f"MIXED, ORDER: {answer.id}: 200, complete with {events} of {EVENTS} events; its end: {end!r}"]


if __name__ == "__main__":
    sys.exit(asyncio.run(rig_2.play(rig_2.Rig(proxies=3), case, FOLDER)))
