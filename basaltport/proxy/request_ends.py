"""The ends of requests that no replica's answer ends, and how they are counted."""

import collections
import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.admission_queue as admission_queue
import basaltport.proxy.attempt as attempt
import basaltport.proxy.events as events
import basaltport.proxy.request as request
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.tenant_access as tenant_access
import basaltport.proxy.tenant_counts as tenant_counts
import basaltport.proxy.tenant_directory as tenant_directory

UNAVAILABLE = 503
REJECTED_HERE = "refused-here"
"""The label of our own rejections among the outcomes of attempts."""


class RequestEndsNeeds(typing.Protocol):
    """What `RequestEndsMixin` needs of the node it is part of.

    `requests`: all that have no end yet; `queue`: those of them that wait; `outcome_counts`: ends of
    attempts by outcome; `refusals`: requests that never ran, `failures`: those that may have, by route and
    reason; `tenant_counts`: requests by tenant.
    """

    now: identifiers.Millis
    requests: dict[int, request.Request]
    queue: admission_queue.AdmissionQueue
    outcome_counts: dict[str, int]
    refusals: collections.Counter[tuple[str, str]]
    failures: collections.Counter[tuple[str, str]]
    tenant_counts: tenant_counts.TenantCounts
    attempts: attempt.AttemptTracker
    access: tenant_access.TenantAccess

    def emit(self, effect: object) -> None:
        """Add an effect of this step."""
        return None


if typing.TYPE_CHECKING:
    Needs = RequestEndsNeeds
else:
    Needs = object


class RequestEndsMixin(Needs):
    """Promises only for what never ran, and one end for each request."""

    def deny(
        self,
        request_id: int,
        route: str,
        denied: tenant_access.Denied,
        tenant: tenant_directory.Tenant | None = None,
    ) -> None:
        """Answer a request that may not be sent. `tenant`: whose it was, if it was anybody's."""
        self.count_rejection(route, denied.reason, tenant)
        self.emit(events.Close(request_id, denied.status, denied.reason, denied.retry_after_ms))

    def count_rejection(self, route: str, reason: str, tenant: tenant_directory.Tenant | None = None) -> None:
        """Count a rejection of our own."""
        self.refusals[route, reason] += 1
        self.tenant_counts.count(tenant, tenant_counts.Verdict.REFUSED)
        self.outcome_counts[REJECTED_HERE] = self.outcome_counts.get(REJECTED_HERE, 0) + 1

    def reject(self, ended: request.Request, detail: str, retry_after_ms: int) -> None:
        """End a request that goes to no replica any more: with a promise where it never ran."""
        move = retry_decision.give_up(ended.is_answer_begun, ended.may_have_run)
        if move is not retry_decision.Move.REFUSE:
            self.fail(ended, attempt.GATEWAY_TIMEOUT, detail)
            return
        self.forget(ended)
        self.count_rejection(ended.route.name, detail, ended.tenant)
        self.emit(events.Close(ended.id, UNAVAILABLE, detail, int(retry_after_ms)))

    def end_denied(self, ended: request.Request, denied: tenant_access.Denied) -> None:
        """End a request that may not be sent any more, and is at no replica."""
        move = retry_decision.give_up(ended.is_answer_begun, ended.may_have_run)
        if move is not retry_decision.Move.REFUSE:
            self.fail(ended, attempt.BAD_GATEWAY, denied.reason)
            return
        self.forget(ended)
        self.deny(ended.id, ended.route.name, denied, ended.tenant)

    def end_revoked(self) -> None:
        """End what is at no replica and may not be sent by the configuration that is in force now."""
        for known in [known for known in self.requests.values() if known.attempt is None]:
            denied = self.access.loss(known)
            if denied is not None:
                self.end_denied(known, denied)

    def fail(self, ended: request.Request, status: int, detail: str) -> None:
        """End a request that may have run."""
        self.forget(ended)
        self.failures[ended.route.name, detail] += 1
        if ended.is_answer_begun:
            self.emit(events.Cut(ended.id))
            return
        self.emit(events.Close(ended.id, status, detail))

    def forget(self, ended: request.Request) -> None:
        """A request has its end."""
        self.attempts.release_retry(ended)
        self.requests.pop(ended.id, None)
        self.queue.pop(ended.id, None)
