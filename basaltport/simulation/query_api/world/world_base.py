"""What the parts of the JSON API's world share: its state, and the methods that they call of one another."""

import collections.abc
import dataclasses
import typing

import basaltport.query_api.events as query_events
import basaltport.simulation.processes as processes
import basaltport.simulation.trace as trace

if typing.TYPE_CHECKING:
    import basaltport.simulation.query_api.standins.replica as replica
    import basaltport.simulation.query_api.world.client_request as client_request
    import basaltport.simulation.query_api.world.exchange as exchange
    import basaltport.simulation.query_api.world.simulated_replica as simulated_replica

    Store = replica.Store
    ClientRequest = client_request.ClientRequest
    Exchange = exchange.Exchange
    SimulatedReplica = simulated_replica.SimulatedReplica

Row = trace.Row
Document = dict[str, typing.Any]
Fields = typing.ParamSpec("Fields")
LOG_NODE = "ledger"
QUERY_NODE = "rostrum"


@dataclasses.dataclass(frozen=True, slots=True)
class Preset:
    """A size of fleet. `groups`: replicas, room and slots by group; `load_ms_per_size`: ms that a load takes
    for each unit of an item's size; `service_ms`: ms that a run takes, by group; `loads`: loads from the
    store at once; `configuration`: the file of the configuration in the examples."""

    house: str
    log_nodes: int
    query_nodes: int
    zones: int
    groups: dict[str, dict[str, int]]
    load_ms_per_size: int
    service_ms: dict[str, int]
    loads: int
    configuration: str = ""


class Node(processes.Process):
    """One process of a role. `stopping`: it was asked to end; `reason`: why it did not start."""

    def __init__(self, name: str, role: str, zone: str, addr: str) -> None:
        """It does not run yet."""
        super().__init__(name, addr)
        self.role, self.zone = role, zone
        self.stopping, self.reason = False, ""


class WorldBase(processes.Processes[Node]):
    """The state of the world, declared for its parts; `world.World` puts them together.

    `slow`: the factor by which messages are slower; `hold`: ms for which links hold back what a cut stops, or
    None where it is lost; `abandoned`: attempts that were cancelled."""

    preset: Preset
    trace: list[Row]
    slow: int
    hold: int | None
    store: "Store"
    replicas: dict[str, "SimulatedReplica"]
    requests: dict[str, "ClientRequest"]
    abandoned: set[str]
    configuration: Document

    def record(
        self,
        kind: collections.abc.Callable[typing.Concatenate[int, Fields], Row],
        *args: Fields.args,
        **kwargs: Fields.kwargs,
    ) -> None:
        """Adds a row of this kind, with these fields, to the trace: it happens now."""
        self.trace.append(kind(self.elapsed(), *args, **kwargs))

    def elapsed(self) -> int:
        """Ms since the run began."""
        raise NotImplementedError

    # what the parts call of one another

    def hop(self) -> int:
        """Ms that a message to or from a replica is under way."""
        raise NotImplementedError

    def back(self, exchange: "Exchange", event: query_events.AttemptEnded) -> None:
        """The end of an attempt reaches its node."""
        raise NotImplementedError

    def is_over(self, exchange: "Exchange") -> bool:
        """Whether its node waits for it no longer."""
        raise NotImplementedError

    def lost(self, exchange: "Exchange") -> None:
        """An attempt's connection is lost, which its node learns a little later."""
        raise NotImplementedError

    def start_stream(self, exchange: "Exchange", ms: float) -> None:
        """A replica answers in pieces, over so many ms."""
        raise NotImplementedError

    def close(self, request_id: str, outcome: str, status: int, body: Document) -> None:
        """A request ends at its client."""
        raise NotImplementedError

    def cut_clients(self, node: Node) -> None:
        """The process ended: its clients see closed connections."""
        raise NotImplementedError
