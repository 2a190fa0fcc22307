"""Enforces tenants' request limits at a proxy: requests within its token shares are admitted at once,
others wait for the decision of the limit's owner."""

import collections.abc
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.request as request
import basaltport.proxy.routing as routing
import basaltport.quota.bounds as bounds
import basaltport.quota.holder as holder
import basaltport.quota.limits as limits
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes

INCARNATION_BITS = 48
"""Size of the random number that identifies a start of this proxy."""
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
ADMITTED = outcomes.Admission(outcomes.Outcome.ADMITTED)


class DecidedRequest(typing.NamedTuple):
    """A request that waited, with the decision of the owner of its limit."""

    waiting: request.Request
    decision: outcomes.WaitResult


class QuotaNeeds(typing.Protocol):
    """The attributes and methods of the node that quota admission uses.

    `cluster_state` contains the owners of the shards.
    """

    me: member.Me
    now: identifiers.Millis
    table: routing.RoutingTable
    cluster_state: state_machine.ClusterState

    def send(self, address: str, message: object) -> None:
        """Send a message to an address."""
        ...


class QuotaAdmission:
    """Admits requests by tenant limits; `waiting` holds the requests that wait for an owner's decision, by
    id."""

    def __init__(self, node: QuotaNeeds, incarnation: int, quota_bounds: bounds.QuotaBounds) -> None:
        """`incarnation` is a random number that differs for each start of this proxy."""
        self.node = node
        me = node.me
        self.holder = holder.QuotaHolder(me.name, incarnation, me.addr, quota_bounds)
        self.waiting: dict[int, request.Request] = {}

    def configure(self, document: collections.abc.Mapping[str, typing.Any] | None) -> None:
        """Apply the limits of the configuration in force."""
        self.holder.configure(limits.limits_of(document), self.node.now)

    def admit(self, arriving_request: request.Request) -> outcomes.Admission:
        """Decide whether a request is admitted now, waits, or is refused."""
        if arriving_request.tenant is None or not arriving_request.tenant.is_limited:
            return ADMITTED
        admission = self.holder.admit(
            arriving_request.tenant.name, _quota_request_id(arriving_request.id), self.node.now
        )
        if admission.outcome is outcomes.Outcome.WAITING:
            self.waiting[arriving_request.id] = arriving_request
            self.send_requests()
        return admission

    def forget(self, request_id: int) -> None:
        """Remove a request that ended, whether or not it was waiting."""
        if self.waiting.pop(request_id, None) is not None:
            self.holder.cancel(_quota_request_id(request_id))

    def take_all(self) -> list[request.Request]:
        """Remove and return all waiting requests."""
        waiting = list(self.waiting.values())
        for waiting_request in waiting:
            self.forget(waiting_request.id)
        return waiting

    def apply_grant(self, grant: messages.QuotaGrant) -> list[DecidedRequest]:
        """Apply an owner's token grant; returns the requests that it decides."""
        settled = self.take_decided(self.holder.receive_grant(grant, self.node.now))
        self.send_requests()
        return settled

    def tick(self) -> list[DecidedRequest]:
        """Time out old waits and send due requests to owners; returns the decided requests."""
        settled = self.take_decided(self.holder.tick(self.node.now))
        self.send_requests()
        return settled

    def take_decided(self, settled: collections.abc.Iterable[outcomes.WaitResult]) -> list[DecidedRequest]:
        """Remove and return the waiting requests that were decided."""
        decided = [(self.waiting.pop(int(decision.request_id), None), decision) for decision in settled]
        return [DecidedRequest(waiting, decision) for waiting, decision in decided if waiting is not None]

    def send_requests(self) -> None:
        """Send due token requests to the owners with a known address; an owner without one is handled like
        one that does not answer."""
        for message in self.holder.collect_requests(self.node.now):
            address = self.owner_address(message.shard)
            if address:
                self.node.send(address, message)

    def owner_address(self, shard: str) -> str:
        """Returns the address of the controller that owns a shard, "" if unknown."""
        state = self.node.cluster_state
        row = (state.shards or {}).get(shard)
        record = state.members.get(row.owner) if row is not None and row.owner else None
        return record.address if record is not None else ""


def refusal_status(reason: outcomes.Reason) -> int:
    """Returns the HTTP status of a refusal: over the limit, or undecided because the owner does not
    answer."""
    return TOO_MANY_REQUESTS if reason is outcomes.Reason.OVER_LIMIT else UNAVAILABLE


def _quota_request_id(request_id: int) -> identifiers.RequestId:
    return identifiers.RequestId(request_id)
