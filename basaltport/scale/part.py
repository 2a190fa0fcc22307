"""One process of a scale run: controller, proxy or many hollow nodes, with a port for the run's questions."""

import asyncio
import cProfile
import collections.abc
import contextlib
import json
import signal
import sys
import typing

import absl.flags as flags

import basaltport.controller.node as controller_node
import basaltport.controller.server as controller_server
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.placement.effects as effects
import basaltport.proxy.header_names as header_names
import basaltport.proxy.server as server
import basaltport.scale.count as count
import basaltport.scale.hollow as hollow
import basaltport.scale.size as size_

QUESTION_BYTES = 1 << 24
ADAPTER_MS = 50
"""How long a hollow replica takes for an order that loads no weights."""
MS = 1000
BAD_INPUT = 2

Answer = dict[str, typing.Any]
Settings = dict[str, typing.Any]
Event = member.Event
ReplicaRows = list[dict[str, typing.Any]]
OrderKey = tuple[str, str, str, str | None]


class Port:
    """In the place of the platform's port: a list that takes time, and hollow replicas that take orders."""

    LIST_S = 0.02

    def __init__(self, size: size_.Size) -> None:
        """The replicas of a fleet of this size."""
        self.rows = size_.rows(size)
        self.raw = json.dumps(list(self.rows.values()))
        self.begun: dict[OrderKey, float] = {}

    async def start(self, shell: object) -> None:
        """There is nothing to open."""

    async def stop(self) -> None:
        """There is nothing to close."""

    def lose(self, ids: collections.abc.Iterable[str]) -> None:
        """Take replicas off the list."""
        for replica_id in ids:
            self.rows.pop(replica_id, None)
        self.raw = json.dumps(list(self.rows.values()))

    async def list(self) -> ReplicaRows:
        """All rows of the list."""
        await asyncio.sleep(self.LIST_S)
        return typing.cast(ReplicaRows, json.loads(self.raw))

    async def order(self, order: effects.Order) -> str:
        """accepted until the order has taken its time, then done; failed where the replica is gone."""
        row = self.rows.get(order.replica)
        if row is None:
            return "failed"
        key = (order.replica, order.kind, order.model, order.adapter)
        began = self.begun.setdefault(key, identifiers.steady())
        loads = order.kind == "load" and not order.adapter
        if identifiers.steady() - began < (MS * size_.LOAD_S if loads else ADAPTER_MS):
            return "accepted"
        del self.begun[key]
        apply(row["models"], order)
        self.raw = json.dumps(list(self.rows.values()))
        return "done"

    async def report(self, asked: effects.Report) -> Answer | None:
        """What a replica holds, None where it is gone."""
        row = self.rows.get(asked.replica)
        if row is None:
            return None
        models = {model: [*adapters] for model, adapters in row["models"].items()}
        return {"models": models, "busy": False, "orders": 0}


def apply(models: dict[str, list[str]], order: effects.Order) -> None:
    """Load or unload in what a replica holds."""
    adapters = models.setdefault(order.model, [])
    if order.kind == "load" and order.adapter and order.adapter not in adapters:
        adapters.append(order.adapter)
    if order.kind == "unload" and order.adapter in adapters:
        adapters.remove(order.adapter)
    if order.kind == "unload" and not order.adapter:
        del models[order.model]


class Controller(controller_server.ControllerServer):
    """Notes when it first held its lead, by term."""

    member: controller_node.Controller

    def __init__(self, settings: Settings, port: Port) -> None:
        """As of the server."""
        self.held: dict[int, int] = {}
        super().__init__(settings, port)

    def step(self, event: Event) -> None:
        """One step, and whether it leads after it."""
        controller_server.ControllerServer.step(self, event)
        term = self.member.current_term.count
        if term not in self.held and self.leads():
            self.held[term] = int(identifiers.steady())

    def leads(self) -> bool:
        """Whether it leads, its lead is agreed and its lease holds."""
        return bool(self.member.leading and self.member.has_committed_in_term() and self.member.holds_lease())


class ControllerPart:
    """A real controller with hollow replicas."""

    def __init__(self, conf: Settings) -> None:
        """`conf`: the part's file."""
        self.port = Port(size_.Size(**conf["size"]))
        self.shell = Controller(conf["settings"], self.port)

    async def run(self) -> None:
        """Serve until a signal."""
        await self.shell.run()

    def about(self) -> Answer:
        """Of its lead, beside the reading of the process."""
        controller, leads = self.shell.member, self.shell.leads()
        about = {"leads": leads, "held": self.shell.held, "term": controller.current_term.count}
        if leads:
            about |= {"rows": len(controller.placement.rows), "proxies": len(controller.proxies)}
            about |= {"serial": controller.cluster_state.log_index}
        return about

    async def do_ask(self, verb: str, body: Answer) -> Answer:
        """An operator's request."""
        status, answer = await self.shell.ask(verb, body)
        return {"status": status, "body": answer, "at": int(identifiers.steady())}

    async def do_lose(self, ids: list[str]) -> Answer:
        """Replicas leave the list."""
        self.port.lose(ids)
        return {"at": int(identifiers.steady())}


class Followers:
    """Answers of what follows the feed."""

    def marks(self) -> list[hollow.Marks]:
        """Of each follower in this process."""
        raise NotImplementedError

    def about(self) -> Answer:
        """Nothing beside the reading of the process."""
        return {}

    async def do_marks(self, what: str, key: int | str) -> Answer:
        """When each follower first had a mark."""
        return {"at": [marks.at(what, key) for marks in self.marks()]}

    async def do_state(self) -> Answer:
        """What followers did that none may."""
        return {"broken": [what for marks in self.marks() for what in marks.broken]}


class ProxyPart(Followers):
    """A real proxy."""

    def __init__(self, conf: Settings) -> None:
        """`conf`: the part's file."""
        self.mark = hollow.Marks()
        self.shell = server.ProxyServer(conf["settings"], header_names.HeaderNames())
        step = self.shell.wires.message_received

        def heard(source: str, message: object) -> None:
            """Take a message, and note what is in force after it."""
            step(source, message)
            self.mark.look(self.shell.member, identifiers.steady())

        self.shell.wires.message_received = heard

    def marks(self) -> list[hollow.Marks]:
        """Its own."""
        return [self.mark]

    async def run(self) -> None:
        """Serve until a signal."""
        await self.shell.run()


class HollowPart(Followers):
    """Many hollow nodes."""

    def __init__(self, conf: Settings) -> None:
        """`conf`: the part's file."""
        self.nodes = [hollow.Node(conf, row) for row in conf["nodes"]]

    def marks(self) -> list[hollow.Marks]:
        """Of each node."""
        return [node.marks for node in self.nodes]

    async def run(self) -> None:
        """Follow until a signal, or until a node breaks."""
        end = asyncio.Event()
        loop = asyncio.get_running_loop()
        for stop in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop, end.set)
        tasks = [loop.create_task(node.run()) for node in self.nodes]
        for task in tasks:
            task.add_done_callback(lambda ended: end.set())
        await end.wait()
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()

    async def do_restart(self, count: int) -> Answer:
        """So many nodes start anew."""
        at = int(identifiers.steady())
        await asyncio.gather(*(node.restart() for node in self.nodes[:count]))
        return {"at": at}

    async def do_cut(self, zones: list[str], cut: bool) -> Answer:
        """Nodes of these zones hear and say nothing any more, or do again."""
        for node in self.nodes:
            if node.row["zone"] in zones:
                node.cut = cut
        return {"at": int(identifiers.steady())}


Part = ControllerPart | ProxyPart | HollowPart
ROLES: dict[str, type[ControllerPart] | type[ProxyPart] | type[HollowPart]] = {
    "controller": ControllerPart,
    "proxy": ProxyPart,
    "hollow": HollowPart,
}


class Questions:
    """Lines of JSON on a port of this machine: {"do": NAME, ...} and an answer each."""

    def __init__(self, part: Part, counted: count.Frames) -> None:
        """`counted`: of this process."""
        self.part = part
        self.counted = counted

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""
        try:
            while raw := await reader.readline():
                writer.write(json.dumps(await self.answer(json.loads(raw))).encode() + b"\n")
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, question: Answer) -> Answer:
        """The answer to a question."""
        do = question.pop("do")
        if do == "sample":
            return {**count.sample(self.counted), **self.part.about()}
        return typing.cast(Answer, await getattr(self.part, f"do_{do}")(**question))


async def play(conf: Settings) -> None:
    """Be the part that a file describes, for no longer than it says."""
    counted = count.Frames().install()
    part = ROLES[conf["role"]](conf)
    host, port = conf["questions"].split(":")
    serve = Questions(part, counted).serve
    await asyncio.start_server(serve, host, int(port), limit=QUESTION_BYTES)
    async with asyncio.timeout(conf["seconds"]):
        await part.run()


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run one part; its exit code."""
    try:
        with open(values.conf or "") as file:
            conf = json.load(file)
        with cProfile.Profile() if conf["profile"] else contextlib.nullcontext() as profile:
            asyncio.run(play(conf))
        if profile:
            profile.dump_stats(f"{values.conf}.prof")
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"--conf: {type(error).__name__}: {error}", file=sys.stderr)
        return BAD_INPUT
    return 0
