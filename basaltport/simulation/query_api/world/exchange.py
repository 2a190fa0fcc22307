"""One attempt at a replica, from its node's side of the connection."""

import dataclasses

import basaltport.identifiers as identifiers
import basaltport.query_api.events as query_events
import basaltport.query_api.replica_client.pieces as pieces
import basaltport.simulation.query_api.world.simulated_replica as simulated_replica
import basaltport.simulation.query_api.world.world_base as world_base


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """`incarnation`, `replica_incarnation`: of the processes between which it began; `over`: its node has its
    end; `pieces`: how many went on to the client; `inbox`: lines of a stream that came, `arrives_at`: when
    the last of them arrives; `reader`: checks the lines."""

    node: world_base.Node
    incarnation: int
    replica: simulated_replica.SimulatedReplica
    replica_incarnation: int
    effect: query_events.StartAttempt
    reader: pieces.PieceReader
    over: bool = False
    pieces: int = 0
    inbox: list[world_base.Document] = dataclasses.field(default_factory=list)
    arrives_at: int = 0

    @property
    def node_is_same(self) -> bool:
        """Whether the node is still the same process."""
        return self.node.incarnation == self.incarnation

    @property
    def replica_is_same(self) -> bool:
        """Whether the replica is still the same process."""
        return self.replica.incarnation == self.replica_incarnation

    def ended(
        self,
        now: identifiers.Millis,
        outcome: str,
        status: int = 0,
        detail: str = "",
        version: int = 0,
        response: world_base.Document | None = None,
    ) -> query_events.AttemptEnded:
        """The event that tells the node of its end; `version`: the configuration's that the replica has
        seen."""
        attempt_id = self.effect.attempt_id
        return query_events.AttemptEnded(now, attempt_id, outcome, status, detail, version, response)
