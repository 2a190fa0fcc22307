"""Final answers of the node's own: one for each request, with what ran and, unless the client erred, when to
come back."""

import typing

import basaltport.identifiers as identifiers
import basaltport.query_api.events as events
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.zone_controller.slot_grants as slot_grants

CLIENT_FAULT_STATUSES = (400, 401, 403, 404, 413, 422)
MIN_RETRY_AFTER_MS = 200
UNKNOWN_RETRY_AFTER_MS = 2000
ELECTION_MS = 2500


class Rejection(typing.NamedTuple):
    """Why a request that did not run is rejected; `retry_after_ms`: 0 where nothing is known of it."""

    status: int
    code: str
    detail: str = ""
    retry_after_ms: int = 0


def answer_body(request_id: str, code: str, detail: str, ran: str) -> dict[str, typing.Any]:
    """The body of a final answer; its keys are part of the API. `ran`: yes, no or unknown."""
    return {"query": request_id, "error": code, "detail": detail, "ran": ran}


class FinalAnswersMixin(interface.Interface):
    """Ends requests, and estimates when asking again is likely to help."""

    def finish(
        self,
        request_id: identifiers.RequestId,
        status: int,
        code: str,
        detail: str,
        ran: str,
        retry_after_ms: int,
    ) -> None:
        """Give a request its final answer; one that still waited or ran is forgotten."""
        body = answer_body(request_id, code, detail, ran)
        if status not in CLIENT_FAULT_STATUSES:
            retry_after_ms = body["retry_after_ms"] = max(retry_after_ms, MIN_RETRY_AFTER_MS)
        ended = self.requests.pop(request_id, None)
        if ended is not None and ended.claim:
            self.end_claim(ended, ran)
        self.outcome_counts[code] += 1
        self.emit(events.FinalAnswer(request_id, status, body, retry_after_ms))

    def reject_id(
        self,
        request_id: identifiers.RequestId,
        status: int,
        code: str,
        detail: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        """Reject a request of which nothing ran."""
        self.finish(request_id, status, code, detail, "no", retry_after_ms)

    def reject(
        self, rejected: request.Request, status: int, code: str, detail: str = "", retry_after_ms: int = 0
    ) -> None:
        """Reject a request of which nothing ran; after an attempt of unknown fate, that is unknown."""
        self.queues.remove(rejected)
        if rejected.retried:
            self.give_up(rejected, status, code, detail, retry_after_ms)
            return
        retry_after_ms = retry_after_ms or self.estimate_retry_after(rejected)
        self.reject_id(rejected.id, status, code, detail, retry_after_ms)

    def give_up(
        self, failed: request.Request, status: int, code: str, detail: str = "", retry_after_ms: int = 0
    ) -> None:
        """End a request that may have run."""
        retry_after_ms = retry_after_ms or self.estimate_retry_after(failed)
        self.finish(failed.id, status, code, detail, "unknown", retry_after_ms)

    def lease_retry_after(self) -> int:
        """What an election and the expiry of old leases may still take."""
        return max(MIN_RETRY_AFTER_MS, ELECTION_MS - (self.now - self.lease_expires_at_ms))

    def estimate_retry_after(self, failed: request.Request) -> int:
        """When asking again is likely to help, in milliseconds: once there is a lease, the load has ended,
        a replica may be used again, slow start allows more, and the queue ahead is served."""
        if not self.leased():
            return self.lease_retry_after()
        replicas = [name for _, name in self.holders.get(failed.item, []) if self.may_use(name)]
        if not replicas:
            return self.load_left(failed.item) or UNKNOWN_RETRY_AFTER_MS
        unusable_for = min(max(0, self.unusable_until.get(name, 0) - self.now) for name in replicas)
        granted = sum(self.slot(name).granted for name in replicas if self.now < self.slot(name).until)
        if not granted:
            return max(unusable_for, slot_grants.SLOW_START_STEP_MS)
        queue_time = self.requests_ahead(failed) * self.typical_time(failed.item) // granted
        return unusable_for + max(MIN_RETRY_AFTER_MS, queue_time)
