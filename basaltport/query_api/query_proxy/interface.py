"""What the mixins of the query node need of each other and of the member they are part of."""

import collections
import random
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.query_api.query_proxy.model_state as model_state
import basaltport.query_api.query_proxy.queues as queues
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.query_proxy.slot as slot
import basaltport.query_api.zone_controller.interface as zone_controller

if typing.TYPE_CHECKING:
    import basaltport.query_api.events as events
    import basaltport.query_api.query_proxy.final_answers as final_answers

Slot = slot.Slot
ModelState = model_state.ModelState


class QueryNodeInterface(zone_controller.ZoneControllerInterface, typing.Protocol):
    """See `query_node.QueryNode` for attributes of the whole node, and the mixins for their own."""

    rng: random.Random
    lease_expires_at_ms: int
    requests: dict[str, request.Request]
    attempts: dict[str, request.Attempt]
    queues: queues.Queues
    outcome_counts: collections.Counter[str]
    holders: dict[str, list[tuple[str, str]]]
    slots: dict[str, Slot]
    unusable_until: dict[str, int]
    service_times: dict[str, int]
    evacuation_hints: dict[str, identifiers.Millis]
    last_demand: dict[str, int]
    shares_since: int
    configuration_version_seen: int
    demand_waits: bool

    def key_holders(self, key_id: str) -> state_machine.KeyRange:
        """See `KeyHolderMixin`."""

    def cells_known(self) -> bool:
        """See `CellMixin`."""

    def has_room(self, zone: str, item: str) -> bool:
        """See `CellMixin`."""

    def zone_of(self, replica_id: str) -> identifiers.Zone:
        """See `ZoneControllerMixin`."""

    def query_nodes(self) -> list[str]:
        """See `AdmissionMixin`."""

    def run_admission(self, arriving: request.Request, step: int, event: "events.RequestArrived") -> None:
        """See `AdmissionMixin`."""

    def begin_claim(self, claiming: request.Request, event: "events.RequestArrived") -> None:
        """See `KeyClaimsMixin`."""

    def end_claim(
        self,
        ended: request.Request,
        ran: str,
        status: int = 0,
        response: dict[str, typing.Any] | None = None,
    ) -> None:
        """See `KeyClaimsMixin`."""

    def finish(
        self,
        request_id: identifiers.RequestId,
        status: int,
        code: str,
        detail: str,
        ran: str,
        retry_after_ms: int,
    ) -> None:
        """See `FinalAnswersMixin`."""

    def reject_id(
        self,
        request_id: identifiers.RequestId,
        status: int,
        code: str,
        detail: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        """See `FinalAnswersMixin`."""

    def reject(
        self, rejected: request.Request, status: int, code: str, detail: str = "", retry_after_ms: int = 0
    ) -> None:
        """See `FinalAnswersMixin`."""

    def give_up(
        self, failed: request.Request, status: int, code: str, detail: str = "", retry_after_ms: int = 0
    ) -> None:
        """See `FinalAnswersMixin`."""

    def estimate_retry_after(self, failed: request.Request) -> int:
        """See `FinalAnswersMixin`."""

    def lease_retry_after(self) -> int:
        """See `FinalAnswersMixin`."""

    def load_left(self, item: identifiers.Item) -> int:
        """See `ModelReadinessMixin`."""

    def model_state(self, item: identifiers.Item) -> ModelState:
        """See `ModelReadinessMixin`."""

    def is_warm(self, item: identifiers.Item) -> bool:
        """See `ModelReadinessMixin`."""

    def ready_or_wait(self, waiting: request.Request) -> "final_answers.Rejection | None":
        """See `ModelReadinessMixin`."""

    def prewarm(self, items: list[identifiers.Item], pool: str = "") -> None:
        """See `ModelReadinessMixin`."""

    def request_status(
        self, item: identifiers.Item, zone: identifiers.Zone, wake: bool, pool: str = ""
    ) -> int:
        """See `ModelReadinessMixin`."""

    def timed_out(self, late: request.Request, attempt: request.Attempt) -> None:
        """See `RetriesMixin`."""

    def retry(self, failed: request.Request) -> bool:
        """See `ModelReadinessMixin`."""

    def requeue(self, waiting: request.Request) -> None:
        """See `ModelReadinessMixin`."""

    def pump(self) -> None:
        """See `AttemptsMixin`."""

    def retry_credit(self, retried: request.Request, spend: bool = True) -> bool:
        """See `AttemptsMixin`."""

    def is_allowed(self, waiting: request.Request) -> bool:
        """See `AttemptsMixin`."""

    def usable(self, item: identifiers.Item) -> list[str]:
        """See `AttemptsMixin`."""

    def slot(self, replica_id: str) -> Slot:
        """See `SlotsMixin`."""

    def record_time(self, item: identifiers.Item, took_ms: int) -> None:
        """See `EstimatesMixin`."""

    def least_time(self, item: identifiers.Item) -> int:
        """See `EstimatesMixin`."""

    def typical_time(self, item: identifiers.Item) -> int:
        """See `EstimatesMixin`."""

    def requests_ahead(self, waiting: request.Request) -> int:
        """See `EstimatesMixin`."""

    def is_hopeless(self, waiting: request.Request) -> bool:
        """See `EstimatesMixin`."""


if typing.TYPE_CHECKING:
    Interface = QueryNodeInterface
else:
    Interface = object
