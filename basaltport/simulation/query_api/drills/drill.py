"""`basaltport drill`: a real fleet under load with a fault, each answer held against the record of runs."""

import asyncio
import json
import os
import signal
import sys
import time

import absl.flags as flags
import aiohttp

import basaltport.query_api.load_generator.cli as paddle
import basaltport.query_api.load_generator.plan as plan
import basaltport.query_api.load_generator.shoot as shoot
import basaltport.query_api.load_generator.verdict as verdict
import basaltport.simulation.query_api.drills.fleet as fleet
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.stage as stage
import basaltport.command_line.command as command


class Drill:
    """Faults are coroutines on a running fleet; they know who leads and what to signal."""

    def __init__(self, preset, folder, seed):
        self.f = fleet.Fleet(preset, folder, seed)
        self.preset = preset
        self.log = []
        self.begin = time.monotonic()

    def note(self, text):
        self.log.append((round(time.monotonic() - self.begin, 2), text))

    async def http(self, method, node, path, body=None, lapse=8):
        t = aiohttp.ClientTimeout(total=lapse)
        async with (
            aiohttp.ClientSession(timeout=t) as s,
            s.request(method, f"http://{node}{path}", json=body) as r,
        ):
            return r.status, await r.json(content_type=None)

    async def must(self, verb, body, seconds=30):
        body = {"change": f"drill-{os.urandom(4).hex()}", **body}
        end = time.monotonic() + seconds
        n = 0
        while time.monotonic() < end:
            n += 1
            try:
                got = await self.http(
                    "POST", self.f.all_nodes[n % len(self.f.all_nodes)], f"/v1/ops/{verb}", body
                )
                if got[0] == 200:
                    return got[1]
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{verb} was not acknowledged in {seconds} s")

    async def leader(self):
        for node in self.f.all_nodes:
            try:
                got = await self.http("GET", node, "/v1/ops/status")
                if got[0] == 200:
                    return got[1]["leader"]
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
        return "ledger-1"

    def kill(self, name):
        self.note(f"kill {name}")
        self.f.signal(name, signal.SIGKILL)
        self.f.procs[name].wait()

    async def leader_killed(self):
        name = await self.leader()
        self.kill(name)
        await asyncio.sleep(5)
        self.f.start_member(name)

    async def leader_frozen(self):
        await self.frozen_for(await self.leader())

    async def rostrum_frozen(self):
        self.note("freeze rostrum-2")
        self.f.signal("rostrum-2", signal.SIGSTOP)
        t = time.monotonic()
        got = await self.must("patch", {"patch": {"pools": {}}})
        self.note(f"a change meanwhile: serial {got['serial']} after {time.monotonic() - t:.2f} s")
        await asyncio.sleep(4)
        self.f.signal("rostrum-2", signal.SIGCONT)

    async def rostrum_killed(self):
        self.kill("rostrum-2")
        await asyncio.sleep(5)
        self.f.start_member("rostrum-2")

    async def rolling(self):
        """Every process once, gracefully, under load."""
        for name in list(self.f.settings):
            p = self.f.procs[name]
            self.note(f"stop {name}")
            p.send_signal(signal.SIGTERM)
            while p.poll() is None:
                await asyncio.sleep(0.05)
            self.f.start_member(name)
            await self.live(name)

    async def live(self, name):
        node = self.f.settings[name][1]["http"]
        end = time.monotonic() + 15
        while time.monotonic() < end:
            try:
                if (await self.http("GET", node, "/live"))[0] == 200:
                    return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        self.note(f"{name} is not live after 15 s")

    async def replica_restarted(self):
        for r in ("models-1", "models-2"):
            self.note(f"restart {r}")
            await self.http("POST", self.f.admin, "/fault", {"replica": r, "fault": "restart"})
            await asyncio.sleep(3)

    async def replica_dark(self):
        await self.http("POST", self.f.admin, "/fault", {"replica": "models-1", "fault": "dark"})
        await asyncio.sleep(5)
        await self.http("POST", self.f.admin, "/fault", {"replica": "models-1", "fault": ""})

    async def replica_leaves(self):
        got = await self.must("leaving", {"replica": "models-1"})
        self.note(f"models-1 leaving, acknowledged at serial {got['serial']}")
        self.left = time.monotonic()

    async def zone_emptied(self):
        await self.must("drain", {"zone": "z1"})
        await asyncio.sleep(6)
        await self.must("undrain", {"zone": "z1"})

    async def large_manifest(self):
        """Tens of MB put in force, then a storm of patches on it."""
        m = stage.swell(stage.example(self.f.p["manifest"]), 2000, 120, 1500)
        for what, verb, body in [("whole", "apply", {"manifest": m})] + [
            (f"patch {i}", "patch", {"patch": {"lines": {f"extra-{i}": {"bound": 90 + i}}}})
            for i in range(20)
        ]:
            t = time.monotonic()
            got = await self.must(verb, body)
            self.note(f"{what}: serial {got['serial']} after {time.monotonic() - t:.2f} s")
        self.note(f"{len(json.dumps(m)) / 1e6:.1f} MB")

    async def frozen_for(self, name, seconds=5):
        self.note(f"freeze {name}")
        self.f.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.note("wake")
        self.f.signal(name, signal.SIGCONT)

    async def roles_frozen(self):
        """The leader, another ledger, and each duty's owner, in turn."""
        got = await self.http("GET", self.f.nodes[0], "/v1/ops/status")
        lead = got[1]["leader"]
        other = next(n for n in self.f.settings if n.startswith("ledger") and n != lead)
        for name in [lead, other, *sorted(set(got[1]["duties"].values()))]:
            await self.frozen_for(name, 3)
            await asyncio.sleep(3)

    async def power_loss(self):
        """Every member at once, by SIGKILL; ledgers' folders stay."""
        for name in self.f.settings:
            self.f.signal(name, signal.SIGKILL)
        self.note("all members killed")
        for name in self.f.settings:
            self.f.procs[name].wait()
            self.f.start_member(name)
        t = time.monotonic()
        await self.live("rostrum-1")
        self.note(f"rostrum-1 live after {time.monotonic() - t:.2f} s")

    async def ledgers_replaced(self):
        """All ledgers with their folders; empty ones come under new names at new addresses."""
        old = [n for n in self.f.settings if n.startswith("ledger")]
        for name in old:
            self.kill(name)
        self.f.replace_ledgers(old)
        t = time.monotonic()
        got = await self.must("patch", {"patch": {"pools": {}}})
        self.note(f"a change after {time.monotonic() - t:.2f} s: serial {got['serial']}")

    async def calm(self):
        pass

    async def run(self, name, seconds, seed):
        m = stage.example(self.f.p["manifest"])
        d = plan.demand(stage.example(self.f.p["manifest"].replace(".json", "-demand.json"))).ok_value
        await self.must("apply", {"manifest": m})
        await self.live("rostrum-1")
        await asyncio.sleep(2)
        shots = plan.schedule(d, seconds, seed)
        sh = shoot.Shooter(self.f.nodes, d, shots, f"d{seed}-{os.urandom(3).hex()}", 60)
        self.begin = time.monotonic()
        load = asyncio.get_running_loop().create_task(sh.run())
        await asyncio.sleep(min(4, seconds / 3))
        await getattr(self, name)()
        done = await load
        rec = await paddle.get(f"http://{self.f.admin}/record")
        once = {k for k, v in m["lines"].items() if v["once_only"]}
        out = verdict.report(done, rec, seconds)
        out["findings"] = verdict.findings(done, once, rec)
        out["worst_second"], out["back_after_s"] = dips(done, sh.begin)
        return out


def dips(shots, begin):
    """The lowest share answered in any second, and the last second in which less than 95 % were."""
    by = {}
    for s in shots:
        row = by.setdefault(int(s.due - begin), [0, 0])
        row[0] += 1
        row[1] += s.outcome == "done"
    share = {k: ok / n for k, (n, ok) in by.items()}
    low = [k for k, v in share.items() if v < 0.95]
    return round(min(share.values()), 3), (max(low) - min(low) + 1) if low else 0


NAMES = (
    "calm",
    "leader_killed",
    "leader_frozen",
    "rostrum_killed",
    "rostrum_frozen",
    "rolling",
    "replica_restarted",
    "replica_dark",
    "replica_leaves",
    "zone_emptied",
    "large_manifest",
    "roles_frozen",
    "power_loss",
    "ledgers_replaced",
)


def define(fv):
    flags.DEFINE_enum("preset", "thin", sorted(presets.PRESETS), "The fleet's size.", flag_values=fv)
    flags.DEFINE_string("dir", "run", "Folder for settings, logs and data.", flag_values=fv)
    flags.DEFINE_float("seconds", 20, "How long to send.", 1, 600, flag_values=fv)
    flags.DEFINE_integer("seed", 1, "Seed of the stand-ins and the schedule.", flag_values=fv)
    flags.DEFINE_bool("json", False, "Print the report as JSON.", flag_values=fv)


def run(fv, args):
    names = [a.replace("-", "_") for a in args]
    if len(names) != 1 or names[0] not in NAMES:
        print(f"one of: {' '.join(NAMES)}", file=sys.stderr)
        return 2
    dr = Drill(fv.preset, fv.dir, fv.seed)
    dr.f.start()
    try:
        out = asyncio.run(dr.run(names[0], fv.seconds, fv.seed))
    finally:
        dr.f.stop()
    if fv.json:
        print(json.dumps({**out, "log": dr.log}, sort_keys=True))
    else:
        for t, text in dr.log:
            print(f"{t:>7} s  {text}")
        paddle.human(out)
        print(
            f"lowest share answered in a second {out['worst_second']}, below 95 % for {out['back_after_s']} s"
        )
    return 1 if out["findings"] else 0


COMMANDS = {
    "query-fleet drill": command.Command(
        "A real fleet under load with one fault, checked.", run, define, "NAME"
    )
}
