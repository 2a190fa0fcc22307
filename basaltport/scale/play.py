"""One scale run at one size: calm, changes, a lost replica, nodes that start anew, a lost leader."""

import asyncio
import collections.abc
import random
import statistics
import time
import typing

import absl.flags as flags

import basaltport.identifiers as identifiers
import basaltport.scale.count as count
import basaltport.scale.fleet as fleet
import basaltport.scale.size as size_

POLL_S = 0.1
START_S = 40
WAIT_S = 20
CHANGES = 5
SETTLE_S = 2.0
PLACEMENT_S = 2.5
"""Until a new leader gives orders."""
LEAST_CALM_S = 4
AROUND_S = 45
"""What a run takes beside its calm window."""
LOSSES = 3
LOSS_APART_S = 0.7
HOUR_CHANGES = 46
"""Changes of the configuration in an hour."""
CUT_S = 4
WINDOWS = 3
END_S = 3
MS = 1000
OK = 200
RATES = ("cpu_percent", "waited_percent", "memory_mb", "messages_in", "messages_out", "bytes_in", "bytes_out")
SIDES = ("kinds_in", "kinds_out")

Measured = dict[str, typing.Any]
"""A part of the report, as JSON has it."""
Samples = dict[str, count.Reading]
"""By name of the process."""
Found = typing.TypeVar("Found")


class BrokenError(Exception):
    """The run could not be carried through; the reason is its text."""


def times(at: collections.abc.Sequence[float], since: float) -> dict[str, int]:
    """{"p50", "max"} in ms."""
    ms = [moment - since for moment in at]
    return {"p50": int(statistics.median(ms)), "max": int(max(ms))}


def worst(of: collections.abc.Sequence[dict[str, int]]) -> dict[str, int]:
    """The median of medians and the longest of several `times`."""
    return {"p50": int(statistics.median(each["p50"] for each in of)), "max": max(each["max"] for each in of)}


def merged(samples: collections.abc.Sequence[count.Rates]) -> Measured:
    """Rates of processes of one role as those of one; memory is the largest."""
    out: Measured = {key: statistics.fmean(rates[key] for rates in samples) for key in RATES}
    out["processes"] = len(samples)
    out["peak_mb"] = max(rates["peak_mb"] for rates in samples)
    for side in SIDES:
        by_kind = traffic(samples, side)
        out[side] = {kind: [round(n / len(samples), 2) for n in pair] for kind, pair in by_kind.items()}
    return out


def traffic(samples: collections.abc.Sequence[count.Rates], side: str) -> dict[str, tuple[float, float]]:
    """Messages and bytes a second of all processes together, by kind."""
    kinds = sorted({kind for rates in samples for kind in rates[side]})
    out = {}
    for kind in kinds:
        pairs = [rates[side].get(kind, count.NO_TRAFFIC) for rates in samples]
        out[kind] = sum(pair[0] for pair in pairs), sum(pair[1] for pair in pairs)
    return out


class Run:
    """One run; `out` is what it has measured so far."""

    def __init__(
        self, size: size_.Size, folder: str, options: flags.FlagValues, calm_s: float, most_mb: float
    ) -> None:
        """`calm_s`: seconds of the calm window; `most_mb`: memory that all processes may take together."""
        self.fleet = fleet.ScaleFleet(size, folder, options)
        self.size = size
        self.calm_s = calm_s
        self.most_mb = most_mb
        self.out: Measured = {"size": size.doc()}
        self.phase = PHASES[0]
        self.leader_name = ""
        self.edition = 0

    async def go(self, seconds: float) -> Measured:
        """What was measured within so long; everything that was started has ended."""
        started = time.monotonic()
        self.fleet.start()
        try:
            async with asyncio.timeout(seconds):
                for self.phase in PHASES:
                    await self.one(getattr(self, self.phase))
        except (BrokenError, TimeoutError) as error:
            self.failed(error)
        finally:
            state = await self.fleet.ask_all(self.followers(), "state")
            self.out["broken"] = [what for answers in state.values() if answers for what in answers["broken"]]
            self.fleet.close()
            await asyncio.get_running_loop().run_in_executor(None, self.fleet.stop)
        self.out["took_s"] = round(time.monotonic() - started, 1)
        return self.out

    async def one(self, phase: collections.abc.Callable[[], collections.abc.Awaitable[None]]) -> None:
        """A phase after the first that fails does not end the run."""
        try:
            self.leader_name = await self.until(self.leader, START_S, "a leader")
            await phase()
        except BrokenError as error:
            if self.phase == PHASES[0]:
                raise
            self.failed(error)

    def failed(self, error: Exception) -> None:
        """Notes why a phase ended."""
        self.out.setdefault("ended", []).append(f"{self.phase}: {str(error) or 'the time is over'}")

    async def until(
        self,
        test: collections.abc.Callable[[], collections.abc.Awaitable[Found | None]],
        seconds: float,
        what: str,
    ) -> Found:
        """What a test gives once it is not None; BrokenError after so many seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await test()
            if found is not None:
                return found
            await asyncio.sleep(POLL_S)
        raise BrokenError(f"{what}: not within {seconds} s")

    def followers(self) -> list[str]:
        """Processes that follow the feed."""
        return self.fleet.of("proxy", "hollow")

    async def leader(self) -> str | None:
        """The controller that leads, or None."""
        answers = await self.fleet.ask_all(self.fleet.of("controller"), "sample")
        return next((name for name, reading in answers.items() if reading and reading["leads"]), None)

    async def marked(
        self, what: str, key: int | str, since: float, seconds: float = WAIT_S
    ) -> dict[str, int]:
        """{"p50", "max"} in ms from a time until every follower has a mark."""

        async def test() -> list[float] | None:
            """When each follower had the mark; None until all have it."""
            answers = await self.fleet.ask_all(self.followers(), "marks", what=what, key=key)
            at = [moment for answer in answers.values() for moment in (answer["at"] if answer else [None])]
            known = [moment for moment in at if moment is not None]
            return known if len(known) == len(at) else None

        return times(await self.until(test, seconds, f"{what} {key} at all nodes"), since)

    async def ask(self, verb: str, body: Measured) -> fleet.Answer | None:
        """An operator's request at a controller that does not lead: the longer way."""
        name = next(name for name in self.fleet.of("controller") if name != self.leader_name)
        return await self.fleet.ask(name, "ask", verb=verb, body=body)

    async def asked(self, name: str, do: str, **fields: object) -> fleet.Answer:
        """A part's answer; BrokenError where it gives none."""
        answer = await self.fleet.ask(name, do, **fields)
        if answer is None:
            raise BrokenError(f"{name} does not answer: {do}")
        return answer

    async def asked_all(
        self, names: collections.abc.Sequence[str], do: str, **fields: object
    ) -> dict[str, fleet.Answer]:
        """The answers of several parts; BrokenError where one gives none."""
        answers = await self.fleet.ask_all(names, do, **fields)
        ended = [name for name, answer in answers.items() if answer is None]
        if ended:
            raise BrokenError("a process ended: " + ", ".join(ended))
        return {name: answer for name, answer in answers.items() if answer is not None}

    async def samples(self) -> Samples:
        """Readings of all processes."""
        answers = await self.asked_all(self.fleet.of("controller", "proxy", "hollow"), "sample")
        total = sum(reading["memory_mb"] for reading in answers.values())
        if total > self.most_mb:
            raise BrokenError(f"{total:.0f} MB in use, over half of the machine's memory")
        self.out["memory_of_all_mb"] = max(round(total), self.out.get("memory_of_all_mb", 0))
        return answers

    async def begin(self) -> None:
        """The first configuration, until every follower has it."""
        since = int(identifiers.steady())
        body = {"change": "1", "base": 0, "document": size_.document(self.size)}

        async def test() -> fleet.Answer | None:
            """The answer that took the configuration; None until then."""
            answer = await self.ask("configure", body)
            return answer if answer and answer["status"] == OK else None

        await self.until(test, START_S, "the first configuration")
        self.edition = 1
        self.out["whole_ms"] = await self.marked("whole", 0, since, START_S)
        await asyncio.sleep(SETTLE_S + PLACEMENT_S)

    async def rest(self) -> None:
        """Processor, memory and what is said while nothing happens but reports and loads."""
        first, later = await self.calm_window()
        rates = {name: count.between(first[name], later[name]) for name in first}
        others = [name for name in self.fleet.of("controller") if name != self.leader_name]
        hollow = [rates[name] for name in self.fleet.of("hollow")]
        by_role = {
            "leader": [rates[self.leader_name]],
            "controller": [rates[name] for name in others],
            "proxy": [rates[name] for name in self.fleet.of("proxy")],
            "hollow node": [{**merged(hollow), **self.shared(hollow)}],
        }
        self.out["roles"] = {role: merged(of) for role, of in by_role.items() if of}
        answers = later[self.leader_name]
        self.out["rows"], self.out["proxies"] = answers["rows"], answers["proxies"]

    async def calm_window(self) -> tuple[Samples, Samples]:
        """Samples at both ends of a window in which one controller led."""
        for window in range(1, WINDOWS + 1):
            self.out["windows"] = window
            first = await self.samples()
            await asyncio.sleep(self.calm_s)
            later = await self.samples()
            before, after = first[self.leader_name], later[self.leader_name]
            if after["leads"] and after["term"] == before["term"]:
                return first, later
            self.leader_name = await self.until(self.leader, WAIT_S, "a leader")
        raise BrokenError("the leader changed in every calm window")

    def shared(self, hollow: collections.abc.Sequence[count.Rates]) -> Measured:
        """Per node, of processes that many share."""
        nodes = self.size.nodes
        out: Measured = {key: sum(rates[key] for rates in hollow) / nodes for key in (*RATES, "peak_mb")}
        for side in SIDES:
            by_kind = traffic(hollow, side)
            out[side] = {kind: [n / nodes for n in pair] for kind, pair in by_kind.items()}
        return out

    async def changes(self) -> None:
        """Changes of the configuration, each until every follower has it."""
        before = await self.samples()
        at, acknowledged = [], []
        for _ in range(CHANGES):
            since = int(identifiers.steady())
            answer = await self.change()
            acknowledged.append(answer["at"] - since)
            at.append(await self.marked("log_index", answer["body"]["serial"], since))
        after = await self.samples()
        self.out["change_ms"] = {"acknowledged_p50": int(statistics.median(acknowledged)), **worst(at)}
        self.out["change_leader"] = self.sent(before, after, CHANGES)

    async def change(self) -> fleet.Answer:
        """One change; BrokenError where it is not taken."""
        body = {"change": str(self.edition + 1), "base": self.edition}
        answer = await self.ask("reconfigure", {**body, "patch": size_.change(self.edition + 1)})
        if not answer or answer["status"] != OK:
            raise BrokenError(f"a change was not taken: {answer}")
        self.edition += 1
        return answer

    def sent(self, before: Samples, after: Samples, parts: int = 1) -> Measured:
        """What the leader spent between two samples, per part; processor in ms."""
        first, later = before[self.leader_name], after[self.leader_name]
        was = first["out"].get("Update", count.NO_TRAFFIC)
        now = later["out"].get("Update", count.NO_TRAFFIC)
        return {
            "cpu_ms": MS * (later["cpu_s"] - first["cpu_s"]) / parts,
            "seconds": (later["at"] - first["at"]) / MS / parts,
            "updates": (now[0] - was[0]) / parts,
            "update_bytes": (now[1] - was[1]) / parts,
        }

    async def lost_replica(self) -> None:
        """Replicas that leave the list, one after another."""
        before, at = await self.samples(), []
        for lost in range(LOSSES):
            await asyncio.sleep(random.random() * LOSS_APART_S)
            at.append(await self.lose([f"replica-{self.size.replicas - 1 - lost}"]))
        self.out["lost_replica_ms"] = worst(at)
        self.out["lost_replica_leader"] = self.sent(before, await self.samples(), LOSSES)

    async def lose(self, ids: collections.abc.Sequence[str]) -> dict[str, int]:
        """Takes replicas off the list; {"p50", "max"} in ms until every follower knows."""
        answers = await self.asked_all(self.fleet.of("controller"), "lose", ids=ids)
        return await self.marked("gone", ids[-1], min(answer["at"] for answer in answers.values()))

    async def restarts(self) -> None:
        """All nodes of one process start anew at once, as a rack that comes back."""
        host = self.fleet.of("hollow")[0]
        nodes = len(self.fleet.parts[host]["nodes"])
        before = await self.samples()
        answer = await self.asked(host, "restart", count=nodes)
        at = await self.marked("whole", 0, answer["at"])
        self.out["restart_ms"] = {"max": at["max"], "nodes": nodes}
        self.out["restart_leader"] = self.sent(before, await self.samples())

    async def fail(self) -> None:
        """From the kill: until a new leader holds, and until every node follows it and has its rows."""
        old = self.leader_name
        term = (await self.asked(old, "sample"))["term"]
        before = await self.samples()
        since = int(identifiers.steady())
        self.fleet.kill(old)
        self.leader_name = await self.until(self.leader, WAIT_S, "a new leader")
        answers = await self.asked(self.leader_name, "sample")
        out: Measured = {"holds": max(int(at) for at in answers["held"].values()) - since}
        out["followed"] = await self.marked("term", answers["term"], since)
        await asyncio.sleep(SETTLE_S)
        out["generations"] = answers["term"] - term
        self.out["lost_leader_ms"] = out
        self.out["lost_leader_leader"] = self.sent(before, await self.samples())
        self.out["lost"] = old

    async def region(self) -> None:
        """Nodes of one region hear nothing for as many changes as come in an hour; then they do again."""
        zones = [zone for zone, region in size_.ZONES if region == size_.ZONES[-1][1]]
        hosts = self.fleet.of("hollow")
        await self.fleet.ask_all(hosts, "cut", zones=zones, cut=True)
        await asyncio.sleep(CUT_S)
        for _ in range(HOUR_CHANGES):
            answer = await self.change()
        before = await self.samples()
        back = await self.asked_all(hosts, "cut", zones=zones, cut=False)
        since = min(answers["at"] for answers in back.values())
        self.out["region_ms"] = await self.marked("log_index", answer["body"]["serial"], since)
        self.out["region_leader"] = self.sent(before, await self.samples())

    async def zone(self) -> None:
        """All hollow nodes of one process and all replicas of one zone are gone at once."""
        before = await self.samples()
        host = self.fleet.of("hollow")[0]
        left = self.size.nodes - len(self.fleet.parts[host]["nodes"]) + len(self.fleet.of("proxy"))
        replicas, lost_zone = self.size.replicas - LOSSES, size_.zone(0)
        since = int(identifiers.steady())
        if len(self.fleet.of("hollow")) > 1:
            self.fleet.kill(host)
        gone = [f"replica-{index}" for index in range(replicas) if size_.zone(index) == lost_zone]
        self.out["zone_ms"] = {"replicas": (await self.lose(gone))["max"]}
        if host not in self.fleet.of("hollow"):
            self.out["zone_ms"]["nodes"] = (await self.marked("peers", left, since))["max"]
        self.out["zone_leader"] = self.sent(before, await self.samples())


PHASES = ("begin", "rest", "changes", "lost_replica", "restarts", "fail", "region", "zone")
