"""What the parts of the routed path's world share: its state, and the methods that they call of one
another."""

import collections
import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.events as proxy_events
import basaltport.simulation.routes.fleet_size as fleet_size
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.timings as timings
import basaltport.simulation.trace as trace

if typing.TYPE_CHECKING:
    import basaltport.simulation.routes.attempts as attempts
    import basaltport.simulation.routes.clients as clients
    import basaltport.simulation.routes.operator as operator
    import basaltport.simulation.routes.replicas as replicas

    Replica = replicas.Replica
    SentAttempt = attempts.SentAttempt
    Try = clients.Try
    Change = operator.Change

Row = trace.Row
Timings = timings.Timings
ListedRow = dict[str, typing.Any]
AttemptKey = tuple[str, int, int]
Fields = typing.ParamSpec("Fields")


class FleetBase(nodes.Nodes):
    """The state of the world, declared for its parts; `fleet_world.World` puts them together.

    `start`: when the run began; `lag`: ms that the list is behind; `lost_answers`: share of orders whose
    answers are lost; `late_orders`: share of those that arrive long after their senders gave up; `core`: the
    controllers; `touching`: the proxies in touch with most of them; `calm`: most controllers reach each other
    and have done so for a while. Models have sizes in MB."""

    size: fleet_size.FleetSize
    timings: Timings
    zones: list[str]
    trace: list[Row]
    start: identifiers.Millis | None
    lag: int
    list_down: bool
    lost_answers: float
    late_orders: float
    core: set[str]
    touching: set[str]
    calm: bool
    # models
    mb: dict[str, float]
    adapter_mb: float
    room: float
    places: int
    load_ms: int
    disk_ms: int
    loads_per_s: float
    at_once: int
    slots: int
    cold_rate: float
    # replicas
    replicas: dict[str, "Replica"]
    at_place: dict[str, "Replica"]
    loads: collections.Counter[str]
    store: list[int]
    under: list[int]
    # attempts and clients
    attempts: dict[AttemptKey, "SentAttempt"]
    tries: dict[AttemptKey, "Try"]
    taken_in: set[str]
    # operators
    edition: int
    last_edition: int
    changes: dict[str, "Change"]

    def elapsed(self, time: float | None = None) -> int:
        """Ms from the start of the run to a time, by default now."""
        return int((self.now if time is None else time) - (self.start or self.now))

    def record(
        self,
        kind: typing.Callable[typing.Concatenate[int, Fields], Row],
        *args: Fields.args,
        **kwargs: Fields.kwargs,
    ) -> None:
        """Adds a row of this kind, with these fields, to the trace: it happens now."""
        self.trace.append(kind(self.elapsed(), *args, **kwargs))

    def proxies(self) -> list[nodes.Node]:
        """All proxies, also those that do not run."""
        return [node for node in self.nodes.values() if node.name[0] == "p"]

    def core_nodes(self) -> list[nodes.Node]:
        """All controllers, also those that do not run."""
        return [self.nodes[name] for name in sorted(self.core)]

    # what the parts call of one another

    def lose(self, attempt: "SentAttempt", why: str, late: bool = False) -> None:
        """An attempt's connection is lost."""
        raise NotImplementedError

    def client_done(self, client_try: "Try") -> None:
        """A client has its whole answer."""
        raise NotImplementedError

    def document(self, edition: int, change: str) -> dict[str, typing.Any]:
        """The configuration of an edition, as a change of this id sends it."""
        raise NotImplementedError

    def do_attempt(self, node: nodes.Node, effect: proxy_events.Attempt) -> None:
        """Sends an attempt of a proxy to a replica."""
        raise NotImplementedError
