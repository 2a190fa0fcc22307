"""The proxy's side of rate limiting: holds shares of tenants' limits and requests tokens from their
owners."""

import collections.abc
import dataclasses

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.held_slice as held_slice
import basaltport.quota.held_tenant as held_tenant
import basaltport.quota.holder_requests as holder_requests
import basaltport.quota.limit_history as limit_history
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes
import basaltport.quota.rows as rows

OWNER_TIMEOUT_MS = 100
"""How long a request waits for the answer of one owner, in ms."""
MAX_WAIT_MS = 250
"""After this total wait, in ms, a request is not passed to another owner."""
REFUSAL_BACKOFF_MS = 50
"""How long a proxy requests no tokens for a tenant from an owner that refused them, in ms."""
MIN_RETRY_MS = 100
"""The least delay before a retry that a refused client is told, in ms."""
MAX_RETRY_MS = 1000
"""The longest delay before a retry that a refused client is told, in ms."""
SWEEP_MS = 5000
"""The interval at which idle tenants are dropped, in ms."""

ADMITTED = outcomes.Admission(outcomes.Outcome.ADMITTED)
WAITING = outcomes.Admission(outcomes.Outcome.WAITING)


@dataclasses.dataclass(slots=True)
class Counts:
    """Totals since the start of the proxy; see `outcomes.HolderCounts`."""

    admitted_by_share: int = 0
    admitted_by_owner: int = 0
    refused_over_limit: int = 0
    refused_owner_silent: int = 0
    waited_ms: int = 0


class QuotaHolder:
    """Admits a proxy's requests within their tenants' limits.

    `now` is monotonic time in ms that includes suspension, read after the request or the grant has arrived.
    `incarnation` differs at each start of the proxy."""

    def __init__(
        self, name: identifiers.Name, incarnation: int, address: str, quota_bounds: bounds.QuotaBounds
    ) -> None:
        """Create a holder without shares; owners send their grants to `address`."""
        self.name = name
        self.incarnation = incarnation
        self._limits = limit_history.LimitHistory(quota_bounds)
        self._tenants: dict[str, held_tenant.HeldTenant] = {}
        self._waiters: dict[identifiers.RequestId, held_tenant.WaitingRequest] = {}
        self._requests = holder_requests.HolderRequests(name, incarnation, address)
        self._sweep_at = 0
        self._counts = Counts()

    def configure(self, limits: collections.abc.Mapping[str, bounds.TenantLimit], now: int) -> None:
        """Apply the limits now in force; a tenant that isn't among them has no limit."""
        waiting = {waiter.tenant.name for waiter in self._waiters.values()}
        for name in self._limits.configure(limits, now):
            tenant_state = self._tenants.get(name)
            if tenant_state is not None and name not in self._limits and name not in waiting:
                self._drop_tenant(tenant_state)
            else:
                self._change_budget(name, now)

    def admit(self, tenant: str, request_id: identifiers.RequestId, now: int) -> outcomes.Admission:
        """Decide whether a request is admitted, waits for an owner, or is refused; admission takes a
        token."""
        if tenant not in self._limits:
            return ADMITTED
        tenant_state = self._tenants.get(tenant) or self._begin_tenant(tenant, now)
        tenant_state.count_arrival(now)
        for tenant_slice in tenant_state.slices:
            if tenant_slice.spend(now):
                self._counts.admitted_by_share += 1
                return ADMITTED
        waiter = held_tenant.WaitingRequest(request_id, tenant_state, now)
        if self._queue_for_owner(waiter, now):
            self._waiters[request_id] = waiter
            return WAITING
        return self._refuse(tenant_state, now)

    def cancel(self, request_id: identifiers.RequestId) -> None:
        """Drop a waiting request whose client has left."""
        waiter = self._waiters.pop(request_id, None)
        if (
            waiter is not None
            and waiter.tenant_slice is not None
            and request_id in waiter.tenant_slice.waiting
        ):
            waiter.tenant_slice.waiting.remove(request_id)

    def collect_requests(self, now: int) -> list[messages.QuotaRequest]:
        """Returns the requests to send to the shards' owners now; call it after `admit`, `receive_grant` and
        each `tick`."""
        return self._requests.collect(self._tenants, now)

    def receive_grant(self, grant: messages.QuotaGrant, now: int) -> list[outcomes.WaitResult]:
        """Apply an owner's grant, and return the decisions on the requests that waited for it."""
        if grant.incarnation != self.incarnation:
            return []
        self._requests.record_answer(grant.shard)
        for name, row in grant.rows.items():
            tenant_state = self._tenants.get(name)
            tenant_slice = tenant_state.slice_of(grant.shard) if tenant_state is not None else None
            if tenant_slice is not None and grant.number > tenant_slice.ignored_up_to:
                self._apply_share(tenant_slice, rows.parse_grant_row(row), grant.sent_at, now)
        pending = self._requests.pop_pending(grant.number)
        if pending is None:
            return []
        results: list[outcomes.WaitResult] = []
        for tenant_slice in pending.slices:
            granted = grant.rows.get(tenant_slice.tenant) if self._is_fresh(grant, now) else None
            if granted is None:
                requested, tenant_slice.requested = tenant_slice.requested, []
                results += self._pass_on(requested, now)
            else:
                results += self._distribute(tenant_slice, rows.parse_grant_row(granted), now)
            self._requests.schedule(tenant_slice)
        return results

    def tick(self, now: int) -> list[outcomes.WaitResult]:
        """Returns the decisions on requests whose owner didn't answer in time; call it at least every 50 ms
        while any request waits."""
        results: list[outcomes.WaitResult] = []
        for pending in self._requests.pop_timed_out(now - OWNER_TIMEOUT_MS, now):
            for tenant_slice in pending.slices:
                unserved = tenant_slice.requested + tenant_slice.waiting
                tenant_slice.requested, tenant_slice.waiting = [], []
                results += self._pass_on(unserved, now)
        for name in self._limits.drop_expired(now):
            self._change_budget(name, now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_MS
            for tenant_state in [
                tenant_state for tenant_state in self._tenants.values() if tenant_state.is_idle(now)
            ]:
                self._drop_tenant(tenant_state)
        return results

    def counts(self) -> outcomes.HolderCounts:
        """Returns the counts for metrics."""
        requests = self._requests
        return outcomes.HolderCounts(
            **dataclasses.asdict(self._counts),
            asks=requests.asks,
            renewals=requests.renewals,
            shares=len(requests.slices_with_share),
            waiting=len(self._waiters),
        )

    def _begin_tenant(self, name: str, now: int) -> held_tenant.HeldTenant:
        budget = self._limits.budget(name, now)
        assert budget is not None
        tenant_state = held_tenant.HeldTenant(name, self.name, budget, self._requests.number, now)
        self._tenants[name] = tenant_state
        return tenant_state

    def _change_budget(self, name: str, now: int) -> None:
        """Apply a tenant's current budget to its slices."""
        tenant_state, budget = self._tenants.get(name), self._limits.budget(name, now)
        if tenant_state is not None and budget is not None:
            tenant_state.change_budget(budget, now)

    def _drop_tenant(self, tenant_state: held_tenant.HeldTenant) -> None:
        del self._tenants[tenant_state.name]
        for tenant_slice in tenant_state.slices:
            self._requests.remove(tenant_slice)

    def _is_fresh(self, grant: messages.QuotaGrant, now: int) -> bool:
        """Whether a grant is recent enough for its tokens to be spent."""
        return now - grant.sent_at <= bounds.GRANT_LIFE_MS

    def _apply_share(
        self, tenant_slice: held_slice.HeldSlice, granted: rows.GrantRow, sent_at: int, now: int
    ) -> None:
        share_ms = min(granted.share_ms, bounds.SHARE_LIFE_MS)
        tenant_slice.apply_share(granted.fraction, sent_at + share_ms, self._requests.number, now)
        if tenant_slice.share is not None:
            self._requests.slices_with_share[tenant_slice] = None

    def _queue_for_owner(self, waiter: held_tenant.WaitingRequest, now: int) -> bool:
        """Queue a request for the first owner that it hasn't tried and that may have a token; returns whether
        there is one."""
        for position, tenant_slice in enumerate(waiter.tenant.slices):
            if (
                waiter.tried_slices >> position & 1
                or now < tenant_slice.refused_until
                or not tenant_slice.is_usable()
            ):
                continue
            if self._requests.is_silent(tenant_slice.shard):
                continue
            waiter.tried_slices |= 1 << position
            waiter.tenant_slice = tenant_slice
            tenant_slice.waiting.append(waiter.request_id)
            self._requests.schedule(tenant_slice)
            return True
        return False

    def _distribute(
        self, tenant_slice: held_slice.HeldSlice, granted: rows.GrantRow, now: int
    ) -> list[outcomes.WaitResult]:
        """Distribute granted tokens to the requests that they were requested for, then to later ones; the
        other requests are passed to the next owner."""
        results = []
        queue = [
            request_id
            for request_id in tenant_slice.requested + tenant_slice.waiting
            if request_id in self._waiters
        ]
        for request_id in queue[: granted.granted]:
            results.append(self._admit_waiter(request_id, now))
        without_token = queue[granted.granted :]
        still_waiting = [request_id for request_id in tenant_slice.waiting if request_id in self._waiters]
        tenant_slice.requested, tenant_slice.waiting = [], []
        if not granted.retry_after_ms and len(without_token) <= len(still_waiting):
            tenant_slice.waiting = without_token
            return results
        tenant_slice.refused_until = now + REFUSAL_BACKOFF_MS
        tenant_slice.retry_at = now + max(MIN_RETRY_MS, granted.retry_after_ms)
        return results + self._pass_on(without_token, now)

    def _admit_waiter(self, request_id: identifiers.RequestId, now: int) -> outcomes.WaitResult:
        waiter = self._waiters.pop(request_id)
        self._counts.admitted_by_owner += 1
        self._counts.waited_ms += now - waiter.arrived_at
        return outcomes.WaitResult(request_id, True)

    def _pass_on(
        self, unserved: collections.abc.Iterable[identifiers.RequestId], now: int
    ) -> list[outcomes.WaitResult]:
        """Pass requests without a token to the next owner, or refuse them."""
        results = []
        for request_id in unserved:
            waiter = self._waiters.get(request_id)
            if waiter is None:
                continue
            if waiter.tenant.name not in self._limits:
                del self._waiters[request_id]
                results.append(outcomes.WaitResult(request_id, True))
                continue
            if now - waiter.arrived_at < MAX_WAIT_MS and self._queue_for_owner(waiter, now):
                continue
            del self._waiters[request_id]
            self._counts.waited_ms += now - waiter.arrived_at
            refusal = self._refuse(waiter.tenant, now)
            results.append(outcomes.WaitResult(request_id, False, refusal.reason, refusal.retry_after_ms))
        return results

    def _refuse(self, tenant_state: held_tenant.HeldTenant, now: int) -> outcomes.Admission:
        """Refuse a request: as over the limit if all owners refused it, with the time of the first new
        token."""
        usable = [tenant_slice for tenant_slice in tenant_state.slices if tenant_slice.is_usable()]
        retry_at = [tenant_slice.retry_at for tenant_slice in usable if tenant_slice.retry_at > now]
        retry_after_ms = max(MIN_RETRY_MS, min([now + MAX_RETRY_MS, *retry_at]) - now)
        reason = outcomes.Reason.OVER_LIMIT
        if any(now >= tenant_slice.refused_until for tenant_slice in usable):
            reason = outcomes.Reason.OWNER_SILENT
            self._counts.refused_owner_silent += 1
        else:
            self._counts.refused_over_limit += 1
        return outcomes.Admission(outcomes.Outcome.REFUSED, reason, retry_after_ms)
