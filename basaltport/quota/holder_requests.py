"""The requests of a proxy to the owners: for tokens, to renew shares, and to probe silent owners."""

import collections.abc

import basaltport.identifiers as identifiers
import basaltport.quota.held_slice as held_slice
import basaltport.quota.held_tenant as held_tenant
import basaltport.quota.messages as messages
import basaltport.quota.rows as rows

PROBE_MS = 200
"""The interval at which a silent owner is probed, in ms, if it was needed since the last probe."""
RENEW_MS = 2000
"""The age after which a share is renewed, in ms."""
RENEWALS_EVERY_MS = 100
"""The interval between two checks for shares to renew, in ms."""

Tenants = collections.abc.Mapping[str, held_tenant.HeldTenant]


class HolderRequests:
    """Collects the requests to send to owners, and tracks those that aren't answered yet."""

    def __init__(self, name: identifiers.Name, incarnation: int, address: str) -> None:
        """Create the state without requests; owners send their grants to `address`."""
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self.number = 0
        """The number of the last request."""
        self.asks = self.renewals = 0
        self.slices_with_share: dict[held_slice.HeldSlice, None] = {}
        """The slices of which this proxy holds a share."""
        self._slices_to_request: dict[held_slice.HeldSlice, None] = {}
        self._pending: dict[int, held_slice.PendingRequest] = {}
        self._probe_at: dict[str, int] = {}
        """By shard whose owner is silent: when the owner is probed next, in ms."""
        self._needed_shards: set[str] = set()
        """Shards that were needed while their owners were silent."""
        self._renewals_at = 0

    def schedule(self, tenant_slice: held_slice.HeldSlice) -> None:
        """Schedule a request to the owner of a slice, if requests wait and none is pending."""
        if tenant_slice.waiting and not tenant_slice.requested:
            self._slices_to_request[tenant_slice] = None

    def remove(self, tenant_slice: held_slice.HeldSlice) -> None:
        """Stop requesting tokens and renewals for a slice."""
        self._slices_to_request.pop(tenant_slice, None)
        self.slices_with_share.pop(tenant_slice, None)

    def is_silent(self, shard: str) -> bool:
        """Whether the owner of a shard left a request unanswered and sent nothing since."""
        if shard not in self._probe_at:
            return False
        self._needed_shards.add(shard)
        return True

    def record_answer(self, shard: str) -> None:
        """Record that the owner of a shard answered."""
        self._probe_at.pop(shard, None)

    def pop_pending(self, number: int) -> held_slice.PendingRequest | None:
        """Remove and return the pending request of a number, if any."""
        return self._pending.pop(number, None)

    def pop_timed_out(self, sent_until: int, now: int) -> list[held_slice.PendingRequest]:
        """Remove and return the pending requests sent up to a time, and mark their owners as silent."""
        requests = []
        for number, pending in list(self._pending.items()):
            if pending.sent_at > sent_until:
                break
            del self._pending[number]
            self._probe_at[pending.shard] = now + PROBE_MS
            requests.append(pending)
        return requests

    def collect(self, tenants: Tenants, now: int) -> list[messages.QuotaRequest]:
        """Returns all requests to send now."""
        requests = self._collect_token_requests(tenants, now) if self._slices_to_request else []
        if now >= self._renewals_at:
            self._renewals_at = now + RENEWALS_EVERY_MS
            requests += self._collect_renewals(tenants, now)
            requests += self._collect_probes(now)
        return requests

    def _request(self, shard: str, rows_by_tenant: dict[str, rows.Row], now: int) -> messages.QuotaRequest:
        self.number += 1
        sent_at = identifiers.Millis(now)
        return messages.QuotaRequest(
            self._name, self._incarnation, self._address, shard, self.number, sent_at, rows_by_tenant
        )

    def _collect_token_requests(self, tenants: Tenants, now: int) -> list[messages.QuotaRequest]:
        by_shard: dict[str, list[held_slice.HeldSlice]] = {}
        for tenant_slice in self._slices_to_request:
            if tenant_slice.waiting and not tenant_slice.requested:
                by_shard.setdefault(tenant_slice.shard, []).append(tenant_slice)
        self._slices_to_request.clear()
        requests = []
        for shard, tenant_slices in by_shard.items():
            rows_by_tenant = {}
            for tenant_slice in tenant_slices:
                tenant_slice.requested, tenant_slice.waiting = tenant_slice.waiting, []
                rows_by_tenant[tenant_slice.tenant] = tenant_slice.request_row(
                    len(tenant_slice.requested), tenants[tenant_slice.tenant].demand(now), now
                )
            requests.append(self._request(shard, rows_by_tenant, now))
            self._pending[self.number] = held_slice.PendingRequest(now, shard, tenant_slices)
            self.asks += 1
        return requests

    def _collect_renewals(self, tenants: Tenants, now: int) -> list[messages.QuotaRequest]:
        """Returns requests that renew shares in use; the shares of a shard are renewed together."""
        slices_by_shard: dict[str, list[held_slice.HeldSlice]] = {}
        renewal_shards: set[str] = set()
        for tenant_slice in list(self.slices_with_share):
            if not tenant_slice.has_share(now):
                del self.slices_with_share[tenant_slice]
                continue
            age_ms = now - tenant_slice.reported_at
            is_used = now - tenants[tenant_slice.tenant].last_request_at <= held_tenant.IDLE_AFTER_MS
            if tenant_slice.requested or not is_used or age_ms < RENEW_MS // 2:
                continue
            slices_by_shard.setdefault(tenant_slice.shard, []).append(tenant_slice)
            if age_ms >= RENEW_MS:
                renewal_shards.add(tenant_slice.shard)
        self.renewals += len(renewal_shards)
        return [
            self._renewal(shard, slices_by_shard[shard], tenants, now)
            for shard in slices_by_shard
            if shard in renewal_shards
        ]

    def _renewal(
        self, shard: str, tenant_slices: list[held_slice.HeldSlice], tenants: Tenants, now: int
    ) -> messages.QuotaRequest:
        rows_by_tenant = {
            tenant_slice.tenant: tenant_slice.request_row(0, tenants[tenant_slice.tenant].demand(now), now)
            for tenant_slice in tenant_slices
        }
        return self._request(shard, rows_by_tenant, now)

    def _collect_probes(self, now: int) -> list[messages.QuotaRequest]:
        """Returns empty requests to silent owners; any answer shows that the owner is back."""
        probed_shards = [
            shard for shard in sorted(self._needed_shards) if now >= self._probe_at.get(shard, now + 1)
        ]
        self._needed_shards -= {
            *probed_shards,
            *(shard for shard in self._needed_shards if shard not in self._probe_at),
        }
        for shard in probed_shards:
            self._probe_at[shard] = now + PROBE_MS
        return [self._request(shard, {}, now) for shard in probed_shards]
