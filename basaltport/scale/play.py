"""One scale run at one size: calm, changes, a lost replica, nodes that start anew, a lost leader."""

import asyncio
import random
import statistics
import time

import basaltport.identifiers as identifiers
import basaltport.scale.count as count
import basaltport.scale.fleet as fleet
import basaltport.scale.size as size_

POLL = 0.1
START = 40
WAIT = 20
CHANGES = 5
SETTLE = 2.0
LEAST_CALM = 4
AROUND = 45
LOSSES = 3
HOUR = 46
CUT = 4
WINDOWS = 3
END = 3


class Broken(Exception):
    """The run could not be carried through; the reason is its text."""


def times(at, since):
    """{"p50", "max"} in ms."""
    ms = [t - since for t in at]
    return {"p50": int(statistics.median(ms)), "max": max(ms)}


def merged(samples):
    """Readings of processes of one role as those of one; memory is the largest."""
    out = {k: statistics.fmean(s[k] for s in samples) for k in RATES}
    out["processes"] = len(samples)
    out["peak_mb"] = max(s["peak_mb"] for s in samples)
    for side in ("kinds_in", "kinds_out"):
        names = sorted({k for s in samples for k in s[side]})
        out[side] = {
            k: [round(statistics.fmean(s[side].get(k, (0, 0))[i] for s in samples), 2) for i in (0, 1)]
            for k in names
        }
    return out


RATES = ("cpu_percent", "waited_percent", "memory_mb", "messages_in", "messages_out", "bytes_in", "bytes_out")


class Run:
    """`calm`: seconds of the calm window; `most_mb`: memory that all processes may take together."""

    def __init__(self, size, folder, opts, calm, most_mb):
        self.f = fleet.ScaleFleet(size, folder, opts)
        self.size = size
        self.calm = calm
        self.most_mb = most_mb
        self.out = {"size": size.doc()}

    async def go(self, seconds):
        """What was measured within so long; everything that was started has ended."""
        started = time.monotonic()
        self.f.start()
        try:
            async with asyncio.timeout(seconds):
                for self.phase in PHASES:
                    await self.one(getattr(self, self.phase))
        except (Broken, TimeoutError) as e:
            self.failed(e)
        finally:
            state = await self.f.ask_all(self.f.of("proxy", "hollow"), "state")
            self.out["broken"] = [b for s in state.values() if s for b in s["broken"]]
            self.f.close()
            await asyncio.get_running_loop().run_in_executor(None, self.f.stop)
        self.out["took_s"] = round(time.monotonic() - started, 1)
        return self.out

    async def one(self, phase):
        """A phase after the first that fails does not end the run."""
        try:
            self.lead = await self.until(self.leader, START, "a leader")
            await phase()
        except Broken as e:
            if self.phase == PHASES[0]:
                raise
            self.failed(e)

    def failed(self, e):
        self.out.setdefault("ended", []).append(f"{self.phase}: {str(e) or 'the time is over'}")

    async def until(self, test, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            got = await test()
            if got is not None:
                return got
            await asyncio.sleep(POLL)
        raise Broken(f"{what}: not within {seconds} s")

    async def leader(self):
        got = await self.f.ask_all(self.f.of("controller"), "sample")
        return next((n for n, s in got.items() if s and s["leads"]), None)

    async def marked(self, what, key, since, seconds=WAIT):
        """{"p50", "max"} in ms from a time until every follower has a mark."""

        async def test():
            got = await self.f.ask_all(self.f.of("proxy", "hollow"), "marks", what=what, key=key)
            at = [t for s in got.values() for t in (s["at"] if s else [None])]
            return at if None not in at else None

        return times(await self.until(test, seconds, f"{what} {key} at all nodes"), since)

    async def ask(self, verb, body):
        """An operator's ask at a controller that does not lead: the longer way."""
        k = next(n for n in self.f.of("controller") if n != self.lead)
        return await self.f.ask(k, "ask", verb=verb, body=body)

    async def samples(self):
        got = await self.f.ask_all(self.f.of("controller", "proxy", "hollow"), "sample")
        if None in got.values():
            raise Broken("a process ended: " + ", ".join(n for n, s in got.items() if s is None))
        total = sum(s["memory_mb"] for s in got.values())
        if total > self.most_mb:
            raise Broken(f"{total:.0f} MB in use, over half of the machine's memory")
        self.out["memory_of_all_mb"] = max(round(total), self.out.get("memory_of_all_mb", 0))
        return got

    async def begin(self):
        since = int(identifiers.steady())
        body = {"change": "1", "base": 0, "document": size_.document(self.size)}

        async def test():
            got = await self.ask("configure", body)
            return got if got and got["status"] == 200 else None

        await self.until(test, START, "the first configuration")
        self.edition = 1
        self.out["whole_ms"] = await self.marked("whole", 0, since, START)
        await asyncio.sleep(SETTLE + 2.5)

    async def rest(self):
        """Processor, memory and what is said while nothing happens but reports and loads."""
        for self.out["windows"] in range(1, WINDOWS + 1):
            a = await self.samples()
            await asyncio.sleep(self.calm)
            b = await self.samples()
            if b[self.lead]["leads"] and b[self.lead]["gen"] == a[self.lead]["gen"]:
                break
            self.lead = await self.until(self.leader, WAIT, "a leader")
        else:
            raise Broken("the leader changed in every calm window")
        rates = {n: count.between(a[n], b[n]) for n in a}
        by = {"leader": [rates[self.lead]]}
        by["controller"] = [rates[n] for n in self.f.of("controller") if n != self.lead]
        by["proxy"] = [rates[n] for n in self.f.of("proxy")]
        hollow = [rates[n] for n in self.f.of("hollow")]
        by["hollow node"] = [{**merged(hollow), **self.shared(hollow)}]
        self.out["roles"] = {k: merged(v) for k, v in by.items() if v}
        self.out["rows"], self.out["proxies"] = b[self.lead]["rows"], b[self.lead]["proxies"]

    def shared(self, hollow):
        """Per node, of processes that many share."""
        n = self.size.nodes
        out = {k: sum(s[k] for s in hollow) / n for k in RATES + ("peak_mb",)}
        for side in ("kinds_in", "kinds_out"):
            names = {k for s in hollow for k in s[side]}
            out[side] = {
                k: [sum(s[side].get(k, (0, 0))[i] for s in hollow) / n for i in (0, 1)] for k in names
            }
        return out

    async def changes(self):
        a = await self.samples()
        at, acked = [], []
        for _ in range(CHANGES):
            since = int(identifiers.steady())
            got = await self.change()
            acked.append(got["at"] - since)
            at.append(await self.marked("serial", got["body"]["serial"], since))
        b = await self.samples()
        self.out["change_ms"] = {
            "acknowledged_p50": int(statistics.median(acked)),
            "p50": int(statistics.median(t["p50"] for t in at)),
            "max": max(t["max"] for t in at),
        }
        self.out["change_leader"] = self.sent(a, b, CHANGES)

    async def change(self):
        body = {"change": str(self.edition + 1), "base": self.edition}
        got = await self.ask("reconfigure", {**body, "patch": size_.change(self.edition + 1)})
        if not got or got["status"] != 200:
            raise Broken(f"a change was not taken: {got}")
        self.edition += 1
        return got

    def sent(self, a, b, parts=1):
        """What the leader spent between two samples, per part; processor in ms."""
        x, y = a[self.lead], b[self.lead]
        out = {
            "cpu_ms": 1000 * (y["cpu_s"] - x["cpu_s"]) / parts,
            "seconds": (y["at"] - x["at"]) / 1000 / parts,
        }
        kind = (0, 0)
        n, size = (
            p - q for p, q in zip(y["out"].get("Update", kind), x["out"].get("Update", kind), strict=True)
        )
        return {**out, "updates": n / parts, "update_bytes": size / parts}

    async def lost_replica(self):
        a, at = await self.samples(), []
        for k in range(LOSSES):
            await asyncio.sleep(random.random() * 0.7)
            at.append(await self.lose([f"replica-{self.size.replicas - 1 - k}"]))
        self.out["lost_replica_ms"] = {
            "p50": int(statistics.median(t["p50"] for t in at)),
            "max": max(t["max"] for t in at),
        }
        self.out["lost_replica_leader"] = self.sent(a, await self.samples(), LOSSES)

    async def lose(self, ids):
        """Takes replicas off the list; {"p50", "max"} in ms until every follower knows."""
        got = await self.f.ask_all(self.f.of("controller"), "lose", ids=ids)
        return await self.marked("gone", ids[-1], min(s["at"] for s in got.values()))

    async def restarts(self):
        """All nodes of one process start anew at once, as a rack that comes back."""
        host = self.f.of("hollow")[0]
        n = len(self.f.confs[host]["nodes"])
        a = await self.samples()
        got = await self.f.ask(host, "restart", n=n)
        if got is None:
            raise Broken("no restart")
        at = await self.marked("whole", 0, got["at"])
        self.out["restart_ms"] = {"max": at["max"], "nodes": n}
        self.out["restart_leader"] = self.sent(a, await self.samples())

    async def fail(self):
        """From the kill: until a new leader holds, and until every node follows it and has its rows."""
        gen = (await self.f.ask(self.lead, "sample"))["gen"]
        was = await self.samples()
        since = int(identifiers.steady())
        self.f.kill(self.lead)
        old, self.lead = self.lead, await self.until(self.leader, WAIT, "a new leader")
        got = await self.f.ask(self.lead, "sample")
        out = {"holds": max(int(t) for t in got["held"].values()) - since}
        out["followed"] = await self.marked("gen", got["gen"], since)
        await asyncio.sleep(SETTLE)
        out["generations"] = got["gen"] - gen
        self.out["lost_leader_ms"] = out
        self.out["lost_leader_leader"] = self.sent(was, await self.samples())
        self.out["lost"] = old

    async def region(self):
        """Nodes of one region hear nothing for as many changes as come in an hour; then they do again."""
        zones = [z for z, r in size_.ZONES if r == size_.ZONES[-1][1]]
        hosts = self.f.of("hollow")
        await self.f.ask_all(hosts, "cut", zones=zones, cut=True)
        await asyncio.sleep(CUT)
        for _ in range(HOUR):
            got = await self.change()
        a = await self.samples()
        back = await self.f.ask_all(hosts, "cut", zones=zones, cut=False)
        since = min(s["at"] for s in back.values())
        self.out["region_ms"] = await self.marked("serial", got["body"]["serial"], since)
        self.out["region_leader"] = self.sent(a, await self.samples())

    async def zone(self):
        """All hollow nodes of one process and all replicas of one zone are gone at once."""
        a = await self.samples()
        host = self.f.of("hollow")[0]
        left = self.size.nodes - len(self.f.confs[host]["nodes"]) + len(self.f.of("proxy"))
        n, z = self.size.replicas - LOSSES, size_.zone(0)
        since = int(identifiers.steady())
        if len(self.f.of("hollow")) > 1:
            self.f.kill(host)
        replicas = await self.lose([f"replica-{k}" for k in range(n) if size_.zone(k) == z])
        self.out["zone_ms"] = {"replicas": replicas["max"]}
        if host not in self.f.of("hollow"):
            self.out["zone_ms"]["nodes"] = (await self.marked("peers", left, since))["max"]
        self.out["zone_leader"] = self.sent(a, await self.samples())


PHASES = ("begin", "rest", "changes", "lost_replica", "restarts", "fail", "region", "zone")
