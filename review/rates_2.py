"""Steady traffic, and the check of FAILBACK, for the cases about cold replicas."""

import asyncio
import time

import rig_2

COLD_S, COLD_RATE_S = 3.0, 31.0
"""Of the site furrow-bid."""
BOUND = COLD_RATE_S * rig_2.TIMINGS["coldExcess"] + rig_2.TIMINGS["coldSlack"]
FALLS_AT = int(1.8 * COLD_RATE_S)
"""A cold stand-in falls over at more than this in a second, well above its rate and above the bound."""
PATH = "/lohu930/"
DEADLINE_MS = 5000


class Traffic:
    """Requests at a steady rate, to all proxies in turn, from `start` to `finish`."""

    def __init__(self, rig: rig_2.Rig, rate_s: float) -> None:
        """Send nothing yet."""
        self.rig, self.rate_s = rig, rate_s
        self.tasks: list[asyncio.Task[rig_2.Answer]] = []
        self.sending: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send."""
        self.sending = asyncio.create_task(self.send())

    async def send(self) -> None:
        """Send at the rate until cancelled."""
        began_at = time.monotonic()
        while True:
            while len(self.tasks) < (time.monotonic() - began_at) * self.rate_s:
                proxy = self.rig.proxies[len(self.tasks) % len(self.rig.proxies)]
                self.tasks.append(asyncio.create_task(self.rig.request(proxy, PATH, "m0", DEADLINE_MS)))
            await asyncio.sleep(0.005)

    async def finish(self) -> None:
        """Stop to send and wait for all answers."""
        assert self.sending is not None
        self.sending.cancel()
        answers = await asyncio.gather(*self.tasks)
        if sum(answer.status == rig_2.OK for answer in answers) < len(answers) / 2:
            raise rig_2.CouldNotRunError("most requests were not served")


def most_in_a_second(rig: rig_2.Rig, replica: rig_2.ReplicaProcess) -> int:
    """The most requests that were both sent and arrived at a cold replica within one second.

    Requests that it answered with 421 never arrive in this sense; they are told apart by the stand-in.
    """
    sent_at = {answer.id: answer.sent_at for answer in rig.answers}
    arrivals = [event for event in replica.seen if event["kind"] == "arrived" and event["cold"]]
    pairs = [(sent_at.get(event["id"], 0.0), event["at"]) for event in arrivals]
    starts = {sent for sent, _ in pairs}
    return max((sum(start <= sent and at <= start + 1 for sent, at in pairs) for start in starts), default=0)


def judge(rig: rig_2.Rig, replica: rig_2.ReplicaProcess) -> list[str]:
    """FAILBACK for one replica, and what became of the work that it had."""
    most = most_in_a_second(rig, replica)
    ran = {event["id"] for event in replica.seen if event["kind"] == "run"}
    done = {answer.id for answer in rig.answers if answer.status == rig_2.OK and answer.whole}
    lost = len(ran - done)
    fell = replica.count("fell over")
    rig.note("sums", most_in_a_second=most, bound=BOUND, ran=len(ran), fell_over=fell, ran_and_lost=lost)
    if most <= BOUND:
        return []
    words = f"FAILBACK: {most} requests within one second at the cold replica {replica.id}, bound {BOUND}"
    return [f"{words}; it fell over: {bool(fell)}; streams that it ran and no client got whole: {lost}"]
