"""One process of a scale run: controller, proxy or many hollow nodes, with a port for the run's questions."""

import asyncio
import cProfile
import contextlib
import json
import signal
import sys

import basaltport.controller.server as controller_server
import basaltport.identifiers as identifiers
import basaltport.proxy.server as server
import basaltport.proxy.header_names as header_names
import basaltport.scale.count as count
import basaltport.scale.hollow as hollow
import basaltport.scale.size as size_


class Port:
    """In the place of the platform's port: a list that takes time, and hollow replicas that take orders."""

    LIST_S = 0.02

    def __init__(self, size):
        self.rows = size_.rows(size)
        self.raw = json.dumps(list(self.rows.values()))
        self.begun = {}

    async def start(self, shell):
        pass

    async def stop(self):
        pass

    def lose(self, ids):
        for i in ids:
            self.rows.pop(i, None)
        self.raw = json.dumps(list(self.rows.values()))

    async def list(self):
        await asyncio.sleep(self.LIST_S)
        return json.loads(self.raw)

    async def order(self, e):
        r = self.rows.get(e.replica)
        if r is None:
            return "failed"
        k = (e.replica, e.kind, e.model, e.adapter)
        at = self.begun.setdefault(k, identifiers.steady())
        ms = 1000 * size_.LOAD_S if e.kind == "load" and not e.adapter else 50
        if identifiers.steady() - at < ms:
            return "accepted"
        del self.begun[k]
        self.apply(r["models"], e)
        self.raw = json.dumps(list(self.rows.values()))
        return "done"

    def apply(self, models, e):
        on = models.setdefault(e.model, [])
        if e.kind == "load" and e.adapter and e.adapter not in on:
            on.append(e.adapter)
        if e.kind == "unload" and e.adapter in on:
            on.remove(e.adapter)
        if e.kind == "unload" and not e.adapter:
            del models[e.model]

    async def report(self, e):
        r = self.rows.get(e.replica)
        return r and {"models": {m: list(a) for m, a in r["models"].items()}, "busy": False, "orders": 0}


class Controller(controller_server.ControllerServer):
    """Notes when it first held its lead, by generation."""

    def __init__(self, settings, port):
        self.held = {}
        super().__init__(settings, port)

    def step(self, ev):
        super().step(ev)
        m = self.member
        if m.leading and m.current_term.count not in self.held and m.settled() and m.holds():
            self.held[m.current_term.count] = int(identifiers.steady())


class ControllerPart:
    def __init__(self, conf):
        self.port = Port(size_.Size(**conf["size"]))
        self.shell = Controller(conf["settings"], self.port)

    async def run(self):
        await self.shell.run()

    def about(self):
        m = self.shell.member
        leads = m.leading and m.settled() and m.holds()
        at = {"leads": leads, "held": self.shell.held, "gen": m.current_term.count}
        if leads:
            at |= {"rows": len(m.placement.rows), "proxies": len(m.proxies), "serial": m.book["serial"]}
        return at

    async def do_ask(self, verb, body):
        status, got = await self.shell.ask(verb, body)
        return {"status": status, "body": got, "at": int(identifiers.steady())}

    async def do_lose(self, ids):
        self.port.lose(ids)
        return {"at": int(identifiers.steady())}


class Followers:
    """Answers of what follows the feed; needs `marks`."""

    def about(self):
        return {}

    async def do_marks(self, what, key):
        return {"at": [m.at(what, key) for m in self.marks()]}

    async def do_state(self):
        return {"broken": [b for m in self.marks() for b in m.broken]}


class ProxyPart(Followers):
    def __init__(self, conf):
        self.mark = hollow.Marks()
        self.shell = server.ProxyServer(conf["settings"], header_names.Words())
        step = self.shell.wires.heard

        def heard(src, msg):
            step(src, msg)
            self.mark.look(self.shell.member, identifiers.steady())

        self.shell.wires.heard = heard

    def marks(self):
        return [self.mark]

    async def run(self):
        await self.shell.run()


class HollowPart(Followers):
    def __init__(self, conf):
        self.nodes = [hollow.Node(conf, row) for row in conf["nodes"]]

    def marks(self):
        return [n.marks for n in self.nodes]

    async def run(self):
        end = asyncio.Event()
        loop = asyncio.get_running_loop()
        for s in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(s, end.set)
        tasks = [loop.create_task(n.run()) for n in self.nodes]
        for t in tasks:
            t.add_done_callback(lambda t: end.set())
        await end.wait()
        for t in tasks:
            if t.done():
                t.result()
            t.cancel()

    async def do_restart(self, n):
        at = int(identifiers.steady())
        await asyncio.gather(*(x.restart() for x in self.nodes[:n]))
        return {"at": at}

    async def do_cut(self, zones, cut):
        """Nodes of these zones hear and say nothing any more, or do again."""
        for n in self.nodes:
            if n.row["zone"] in zones:
                n.cut = cut
        return {"at": int(identifiers.steady())}


ROLES = {"controller": ControllerPart, "proxy": ProxyPart, "hollow": HollowPart}


class Questions:
    """Lines of JSON on a port of this machine: {"do": NAME, ...} and an answer each."""

    def __init__(self, part, counted):
        self.part = part
        self.counted = counted

    async def serve(self, r, w):
        try:
            while raw := await r.readline():
                q = json.loads(raw)
                do = q.pop("do")
                got = self.sample() if do == "sample" else await getattr(self.part, f"do_{do}")(**q)
                w.write(json.dumps(got).encode() + b"\n")
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            w.close()

    def sample(self):
        return {**count.sample(self.counted), **self.part.about()}


async def play(conf):
    counted = count.Frames().install()
    part = ROLES[conf["role"]](conf)
    host, port = conf["questions"].split(":")
    await asyncio.start_server(Questions(part, counted).serve, host, int(port), limit=1 << 24)
    async with asyncio.timeout(conf["seconds"]):
        await part.run()


def run(fv, args):
    try:
        with open(fv.conf or "") as f:
            conf = json.load(f)
        with cProfile.Profile() if conf["profile"] else contextlib.nullcontext() as p:
            asyncio.run(play(conf))
        if p:
            p.dump_stats(f"{fv.conf}.prof")
    except (OSError, ValueError, KeyError, TypeError) as e:
        print(f"--conf: {type(e).__name__}: {e}", file=sys.stderr)
        return 2
    return 0
