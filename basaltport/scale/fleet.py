"""The processes of a scale run, started and ended by the project's fleet runner."""

import asyncio
import json

import basaltport.simulation.query_api.drills.fleet as fleet
import basaltport.scale.size as size_

CONTROLLERS = 3
HOUSE = "scale"
LIMIT = 1 << 24


class ScaleFleet(fleet.Fleet):
    """`opts`: the flags of `basaltport scale`."""

    def __init__(self, size, folder, opts):
        super().__init__("thin", folder)
        self.size = size
        self.opts = opts
        self.confs = {}
        self.wires = {}
        self.bounds = {"seconds": opts.seconds + 30, "profile": opts.profile}

    def plan(self):
        o, n = self.opts, self.size.nodes
        hosts = min(o.hosts, n)
        ps = iter(fleet.ports(2 * CONTROLLERS + 4 * o.proxies + hosts + n))
        address = lambda: f"{fleet.IP}:{next(ps)}"  # noqa: E731
        controllers = [address() for _ in range(CONTROLLERS)]
        base = {"house": HOUSE, "seeds": controllers, "timings": {"lease_ms": 3000, "grace_s": 1}}
        size = self.size.doc()
        for k, a in enumerate(controllers):
            s = {
                **base,
                "name": f"controller-{k + 1}",
                "zone": size_.zone(k),
                "address": a,
                "first_start": True,
            }
            s["data"] = self.path(s["name"])
            self.add("controller", s["name"], address(), settings=s, size=size)
        for k in range(o.proxies):
            s = {**base, "name": f"proxy-{k + 1}", "zone": size_.zone(k), "address": address()}
            s |= {"listen": address(), "ready": address(), "zones": dict(size_.ZONES)}
            self.add("proxy", s["name"], address(), settings=s)
        rows = [{"name": f"hollow-{k}", "zone": size_.zone(k), "address": address()} for k in range(n)]
        told = {"requests": o.requests, "running": o.running, "loads": o.loads / 3600 / n}
        for k in range(hosts):
            name, on = f"host-{k + 1}", rows[k::hosts]
            self.add("hollow", name, address(), nodes=on, house=HOUSE, seeds=controllers, size=size, **told)

    def add(self, role, name, questions, **conf):
        self.confs[name] = {"role": role, "questions": questions, **conf, **self.bounds}
        self.dump(f"{name}.json", self.confs[name])

    def of(self, *roles):
        return [n for n, c in self.confs.items() if c["role"] in roles and self.procs[n].poll() is None]

    def start(self):
        self.plan()
        for n in self.confs:
            self.spawn(n, "scale-part", f"--conf={self.path(n + '.json')}")
        self.note_ids()

    def kill(self, name):
        """Killed at once, by the id of what this runner started."""
        self.procs[name].kill()
        self.procs[name].wait()

    async def ask(self, name, do, **fields):
        """A part's answer, or None where it does not answer."""
        try:
            async with asyncio.timeout(15):
                if name not in self.wires:
                    host, port = self.confs[name]["questions"].split(":")
                    self.wires[name] = await asyncio.open_connection(host, int(port), limit=LIMIT)
                r, w = self.wires[name]
                w.write(json.dumps({"do": do, **fields}).encode() + b"\n")
                return json.loads(await r.readline())
        except (OSError, TimeoutError, ValueError):
            self.wires.pop(name, None)
            return None

    async def ask_all(self, names, do, **fields):
        got = await asyncio.gather(*(self.ask(n, do, **fields) for n in names))
        return dict(zip(names, got, strict=True))

    def close(self):
        for _, w in self.wires.values():
            w.close()
        self.wires = {}
