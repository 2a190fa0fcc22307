"""Applies the tenant's limit to arriving requests: each is admitted at once, waits for the owner's
decision, or is refused."""

import collections.abc
import typing

import basaltport.proxy.admission as admission
import basaltport.proxy.events as events
import basaltport.proxy.quota_admission as quota_admission
import basaltport.proxy.request as request
import basaltport.proxy.request_ends as request_ends
import basaltport.proxy.tenant_counts as tenant_counts
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes

UNAVAILABLE = 503


class LimitedArrivalsNeeds(request_ends.RequestEndsNeeds, typing.Protocol):
    """The attributes and methods of the node that `LimitedArrivalsMixin` uses in addition."""

    admission: admission.Admission
    quota: quota_admission.QuotaAdmission

    def launch_item(self, item: str) -> None:
        """Send requests that wait for an item, or request the item if no replica holds it."""


if typing.TYPE_CHECKING:

    class Needs(request_ends.RequestEndsMixin, LimitedArrivalsNeeds):
        """The other mixins of the node."""
else:
    Needs = request_ends.RequestEndsMixin


class LimitedArrivalsMixin(Needs):
    """Counts requests that passed all other checks against their tenant's limit before they wait for a
    replica."""

    def admit_within_limit(self, arriving_request: request.Request) -> None:
        """Queue a request, refuse it, or let it wait for the decision of its limit's owner."""
        quota_admitted = self.quota.admit(arriving_request)
        match quota_admitted.outcome:
            case outcomes.Outcome.ADMITTED:
                self.enqueue(arriving_request)
            case outcomes.Outcome.REFUSED:
                self.refuse_beyond_limit(
                    arriving_request, quota_admitted.reason, quota_admitted.retry_after_ms
                )

    def enqueue(self, arriving_request: request.Request) -> None:
        """Queue a request that is within its tenant's limit, unless the queue is full."""
        rejection = self.admission.check_queue()
        if rejection is not None:
            self.count_rejection(arriving_request.route.name, rejection.detail, arriving_request.tenant)
            effect = events.Close(
                arriving_request.id, UNAVAILABLE, rejection.detail, rejection.retry_after_ms
            )
            self.emit(effect)
            return
        self.admission.enqueue(arriving_request)
        self.tenant_counts.count(arriving_request.tenant, tenant_counts.Verdict.ADMITTED)
        self.requests[arriving_request.id] = arriving_request
        self.launch_item(arriving_request.item)

    def refuse_beyond_limit(
        self, arriving_request: request.Request, reason: outcomes.Reason, retry_after_ms: int
    ) -> None:
        """Answer a request that is over its tenant's limit, or whose limit cannot be checked now."""
        if reason is outcomes.Reason.OVER_LIMIT:
            self.admission.remove_item_use(arriving_request)
        self.count_rejection(arriving_request.route.name, reason.value, arriving_request.tenant)
        status = quota_admission.refusal_status(reason)
        self.emit(events.Close(arriving_request.id, status, reason.value, retry_after_ms))

    def apply_quota_decisions(
        self, decided: collections.abc.Iterable[quota_admission.DecidedRequest]
    ) -> None:
        """Queue or refuse requests after the decision of their limit's owner; the configuration may have
        changed meanwhile, so keys are checked again."""
        for arriving_request, decision in decided:
            denied = self.access.recheck(arriving_request)
            if denied is not None:
                self.deny(arriving_request.id, arriving_request.route.name, denied, arriving_request.tenant)
            elif decision.is_admitted:
                self.enqueue(arriving_request)
            else:
                self.refuse_beyond_limit(arriving_request, decision.reason, decision.retry_after_ms)

    def hear_quota_grant(self, source: str, grant: messages.QuotaGrant) -> None:
        """Handle a token grant from the owner of tenants' limits."""
        self.apply_quota_decisions(self.quota.apply_grant(grant))
