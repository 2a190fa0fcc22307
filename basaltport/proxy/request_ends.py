"""Ends requests without a replica's response, and counts these ends."""

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
"""Outcome label of requests that this proxy rejected."""


class RequestEndsNeeds(typing.Protocol):
    """The attributes and methods of the node that `RequestEndsMixin` uses.

    `requests` holds all unfinished requests, `queue` those that wait for a replica. `outcome_counts` counts
    ended attempts by outcome. `refusals` counts requests that never ran, `failures` those that may have run,
    both by route and reason. `tenant_counts` counts requests by tenant.
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
        """Add an effect to the output of this step."""
        return None


if typing.TYPE_CHECKING:
    Needs = RequestEndsNeeds
else:
    Needs = object


class RequestEndsMixin(Needs):
    """Ends each request once, and states "not run" only for requests that never ran."""

    def deny(
        self,
        request_id: int,
        route: str,
        denied: tenant_access.Denied,
        tenant: tenant_directory.Tenant | None = None,
    ) -> None:
        """Answer a request that may not be sent; `tenant` is its tenant if known."""
        self.count_rejection(route, denied.reason, tenant)
        self.emit(events.Close(request_id, denied.status, denied.reason, denied.retry_after_ms))

    def count_rejection(self, route: str, reason: str, tenant: tenant_directory.Tenant | None = None) -> None:
        """Count a request that this proxy rejected."""
        self.refusals[route, reason] += 1
        self.tenant_counts.count(tenant, tenant_counts.Verdict.REFUSED)
        self.outcome_counts[REJECTED_HERE] = self.outcome_counts.get(REJECTED_HERE, 0) + 1

    def reject(self, ended_request: request.Request, detail: str, retry_after_ms: int) -> None:
        """End a request that gets no further attempt; the response states that it did not run if that is
        certain."""
        action = retry_decision.final_action(ended_request.is_response_started, ended_request.may_have_run)
        if action is not retry_decision.Action.REFUSE:
            self.fail(ended_request, attempt.GATEWAY_TIMEOUT, detail)
            return
        self.forget(ended_request)
        self.count_rejection(ended_request.route.name, detail, ended_request.tenant)
        self.emit(events.Close(ended_request.id, UNAVAILABLE, detail, int(retry_after_ms)))

    def end_denied(self, ended_request: request.Request, denied: tenant_access.Denied) -> None:
        """End a request that has no attempt in flight and is no longer allowed to be sent."""
        action = retry_decision.final_action(ended_request.is_response_started, ended_request.may_have_run)
        if action is not retry_decision.Action.REFUSE:
            self.fail(ended_request, attempt.BAD_GATEWAY, denied.reason)
            return
        self.forget(ended_request)
        self.deny(ended_request.id, ended_request.route.name, denied, ended_request.tenant)

    def end_revoked(self) -> None:
        """End all requests without an attempt in flight that the configuration in force no longer allows."""
        for pending_request in [
            pending_request for pending_request in self.requests.values() if pending_request.attempt is None
        ]:
            denied = self.access.recheck(pending_request)
            if denied is not None:
                self.end_denied(pending_request, denied)

    def fail(self, ended_request: request.Request, status: int, detail: str) -> None:
        """End a request that may have run."""
        self.forget(ended_request)
        self.failures[ended_request.route.name, detail] += 1
        if ended_request.is_response_started:
            self.emit(events.Cut(ended_request.id))
            return
        self.emit(events.Close(ended_request.id, status, detail))

    def forget(self, ended_request: request.Request) -> None:
        """Remove a request that has ended."""
        self.attempts.release_retry(ended_request)
        self.requests.pop(ended_request.id, None)
        self.queue.pop(ended_request.id, None)
