"""A proxy's side of the count: its shares of tenants' limits, and requests that wait for the owner."""

import collections.abc
import dataclasses

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.held_tenant as held_tenant
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes
import basaltport.quota.rows as rows
import basaltport.quota.shards as shards

WAIT_MS = 100
"""A request waits no longer for the owner's answer."""
PROBE_MS = 200
"""While an owner is silent, one request in so long asks it."""
RENEW_MS = 2000
REFUSED_MS = 50
"""After the owner's refusal a proxy refuses by itself for so long."""
LEAST_RETRY_MS = 100
SILENT_RETRY_MS = 1000
SWEEP_MS = 5000
RENEWALS_EVERY_MS = 100

ADMITTED = outcomes.Admission(outcomes.Outcome.ADMITTED)
WAITING = outcomes.Admission(outcomes.Outcome.WAITING)
SILENT = outcomes.Admission(outcomes.Outcome.REFUSED, outcomes.Reason.OWNER_SILENT, SILENT_RETRY_MS)


@dataclasses.dataclass(slots=True)
class Counts:
    """Totals since the start; see `outcomes.HolderCounts`."""

    admitted_by_share: int = 0
    admitted_by_owner: int = 0
    refused_over_limit: int = 0
    refused_owner_silent: int = 0
    waited_ms: int = 0
    asks: int = 0
    renewals: int = 0


class QuotaHolder:
    """Admits requests within their tenants' limits. `now` is steady time in ms that counts suspension, read
    after the request or the grant has come; `incarnation` differs at each start of the proxy."""

    def __init__(
        self, name: identifiers.Name, incarnation: int, address: str, quota_bounds: bounds.QuotaBounds
    ) -> None:
        """Nothing is held. `address`: where grants are to be sent."""
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self._bounds = quota_bounds
        self._limits: dict[str, bounds.TenantLimit] = {}
        self._tenants: dict[str, held_tenant.HeldTenant] = {}
        self._sharing: dict[str, held_tenant.HeldTenant] = {}
        self._due: dict[str, held_tenant.HeldTenant] = {}
        self._waiting: dict[identifiers.RequestId, held_tenant.HeldTenant] = {}
        self._asks: dict[int, held_tenant.Ask] = {}
        self._probe_at: dict[str, int] = {}
        """By shard whose owner is silent: when it is asked next."""
        self._number = 0
        self._renewals_at = self._sweep_at = 0
        self._counts = Counts()

    def configure(self, limits: collections.abc.Mapping[str, bounds.TenantLimit], now: int) -> None:
        """The limits now in force; a tenant that isn't among them has none."""
        self._limits = dict(limits)
        for name, held in list(self._tenants.items()):
            limit = self._limits.get(name)
            if limit is not None:
                held.change_budget(self._bounds.budget(limit), now)
            elif not held.waiting and not held.asked:
                self._forget_tenant(name)

    def admit(self, tenant: str, request_id: identifiers.RequestId, now: int) -> outcomes.Admission:
        """Whether a request may go now; each that is admitted has taken a token."""
        held = self._tenants.get(tenant)
        if tenant not in self._limits:
            return ADMITTED
        if held is None:
            held = self._begin_tenant(tenant, now)
        held.arrive(now)
        if held.spend(now):
            self._counts.admitted_by_share += 1
            return ADMITTED
        if now < held.refused_until:
            self._counts.refused_over_limit += 1
            retry_after_ms = max(LEAST_RETRY_MS, held.retry_at - now)
            return outcomes.Admission(outcomes.Outcome.REFUSED, outcomes.Reason.OVER_LIMIT, retry_after_ms)
        if self._is_silent(held.shard, now):
            self._counts.refused_owner_silent += 1
            return SILENT
        held.waiting[request_id] = now
        self._waiting[request_id] = held
        if not held.asked:
            self._due[tenant] = held
        return WAITING

    def forget(self, request_id: identifiers.RequestId) -> None:
        """A request that waits is gone."""
        held = self._waiting.pop(request_id, None)
        if held is not None:
            held.waiting.pop(request_id, None)
            held.asked.pop(request_id, None)

    def take_requests(self, now: int) -> list[messages.QuotaRequest]:
        """What is to be sent to the owners of the shards now; after `admit`, `hear` and at each tick."""
        out = self._take_asks(now) if self._due else []
        if now >= self._renewals_at:
            self._renewals_at = now + RENEWALS_EVERY_MS
            out += self._take_renewals(now)
        return out

    def hear(self, grant: messages.QuotaGrant, now: int) -> list[outcomes.Settled]:
        """An owner's answer, and what that settles."""
        if grant.incarnation != self.incarnation:
            return []
        self._probe_at.pop(grant.shard, None)
        for name, row in grant.rows.items():
            held = self._tenants.get(name)
            if held is not None and grant.number > held.by:
                self._take_share(held, rows.read_granted(row), grant.sent_at, now)
        ask = self._asks.pop(grant.number, None)
        if ask is None:
            return []
        is_fresh = self._is_fresh(grant, now)
        out: list[outcomes.Settled] = []
        for held in ask.tenants:
            row = grant.rows.get(held.name)
            if row is None or not is_fresh:
                out += self._give_up(held, held.asked, now)
            else:
                out += self._settle(held, rows.read_granted(row), now)
            held.asked = {}
            if held.waiting:
                self._due[held.name] = held
        return out

    def tick(self, now: int) -> list[outcomes.Settled]:
        """Requests whose owner didn't answer in time; at least each 50 ms while any wait."""
        out: list[outcomes.Settled] = []
        while self._asks:
            number, ask = next(iter(self._asks.items()))
            if now - ask.sent_at < WAIT_MS:
                break
            del self._asks[number]
            self._probe_at[ask.shard] = now + PROBE_MS
            for held in ask.tenants:
                out += self._give_up(held, held.asked, now)
                out += self._give_up(held, held.waiting, now)
                held.asked, held.waiting = {}, {}
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_MS
            for name in [name for name, held in self._tenants.items() if held.is_idle(now)]:
                self._forget_tenant(name)
        return out

    def counts(self) -> outcomes.HolderCounts:
        """For metrics."""
        totals = dataclasses.asdict(self._counts)
        return outcomes.HolderCounts(**totals, shares=len(self._sharing), waiting=len(self._waiting))

    def _begin_tenant(self, name: str, now: int) -> held_tenant.HeldTenant:
        budget = self._bounds.budget(self._limits[name])
        held = held_tenant.HeldTenant(name, shards.shard_of(name), budget, self._number, now)
        self._tenants[name] = held
        return held

    def _forget_tenant(self, name: str) -> None:
        del self._tenants[name]
        self._sharing.pop(name, None)
        self._due.pop(name, None)

    def _is_silent(self, shard: str, now: int) -> bool:
        """Whether the owner is silent and not to be asked now; who is told no asks it."""
        probe_at = self._probe_at.get(shard)
        if probe_at is None:
            return False
        if now < probe_at:
            return True
        self._probe_at[shard] = now + PROBE_MS
        return False

    def _is_fresh(self, grant: messages.QuotaGrant, now: int) -> bool:
        """Whether the tokens of a grant may still be spent."""
        return now - grant.sent_at <= bounds.GRANT_LIFE_MS

    def _request(self, shard: str, asked: dict[str, rows.Row], now: int) -> messages.QuotaRequest:
        self._number += 1
        sent_at = identifiers.Millis(now)
        return messages.QuotaRequest(
            self.name, self.incarnation, self.address, shard, self._number, sent_at, asked
        )

    def _take_asks(self, now: int) -> list[messages.QuotaRequest]:
        by_shard: dict[str, list[held_tenant.HeldTenant]] = {}
        for held in self._due.values():
            if held.waiting and not held.asked:
                by_shard.setdefault(held.shard, []).append(held)
        self._due.clear()
        out = []
        for shard, asking in by_shard.items():
            asked = {}
            for held in asking:
                held.asked, held.waiting = held.waiting, {}
                asked[held.name] = held.ask_row(len(held.asked), now)
            out.append(self._request(shard, asked, now))
            self._asks[self._number] = held_tenant.Ask(now, shard, asking)
            self._counts.asks += 1
        return out

    def _take_renewals(self, now: int) -> list[messages.QuotaRequest]:
        """Shares in use are renewed, those of a shard together."""
        due: dict[str, list[held_tenant.HeldTenant]] = {}
        is_due: set[str] = set()
        for name, held in list(self._sharing.items()):
            if not held.has_share(now):
                del self._sharing[name]
                continue
            age_ms = now - held.told_at
            if held.asked or now - held.used_at > held_tenant.USED_MS or age_ms < RENEW_MS // 2:
                continue
            due.setdefault(held.shard, []).append(held)
            if age_ms >= RENEW_MS:
                is_due.add(held.shard)
        self._counts.renewals += len(is_due)
        return [
            self._request(shard, {held.name: held.ask_row(0, now) for held in due[shard]}, now)
            for shard in due
            if shard in is_due
        ]

    def _take_share(
        self, held: held_tenant.HeldTenant, granted: rows.Granted, sent_at: int, now: int
    ) -> None:
        share_ms = min(granted.share_ms, bounds.SHARE_MS)
        held.hold(granted.fraction, sent_at + share_ms, self._number, now)
        if held.share is not None:
            self._sharing[held.name] = held

    def _settle(
        self, held: held_tenant.HeldTenant, granted: rows.Granted, now: int
    ) -> list[outcomes.Settled]:
        """Tokens go to those who asked, then to those who came since; then the rest is refused."""
        out = []
        left = granted.granted
        for queue in (held.asked, held.waiting):
            for request_id in list(queue)[:left]:
                left -= 1
                self._counts.admitted_by_owner += 1
                self._counts.waited_ms += now - queue.pop(request_id)
                del self._waiting[request_id]
                out.append(outcomes.Settled(request_id, True))
        if not granted.retry_after_ms and not held.asked:
            return out
        retry_after_ms = max(LEAST_RETRY_MS, granted.retry_after_ms)
        held.refused_until = now + REFUSED_MS
        held.retry_at = now + retry_after_ms
        refused = outcomes.Admission(outcomes.Outcome.REFUSED, outcomes.Reason.OVER_LIMIT, retry_after_ms)
        out += self._refuse(held.asked, refused, now)
        out += self._refuse(held.waiting, refused, now)
        held.waiting = {}
        return out

    def _give_up(
        self, held: held_tenant.HeldTenant, queue: held_tenant.Waiting, now: int
    ) -> list[outcomes.Settled]:
        """The owner doesn't tell: refuse all of a queue, unless there is no limit any more."""
        if held.name in self._limits:
            return self._refuse(queue, SILENT, now)
        for request_id in queue:
            self._waiting.pop(request_id, None)
        return [outcomes.Settled(request_id, True) for request_id in queue]

    def _refuse(
        self, queue: held_tenant.Waiting, why: outcomes.Admission, now: int
    ) -> list[outcomes.Settled]:
        """Refuse all of a queue."""
        if why.reason is outcomes.Reason.OVER_LIMIT:
            self._counts.refused_over_limit += len(queue)
        else:
            self._counts.refused_owner_silent += len(queue)
        self._counts.waited_ms += sum(now - came_at for came_at in queue.values())
        for request_id in queue:
            self._waiting.pop(request_id, None)
        return [outcomes.Settled(request_id, False, why.reason, why.retry_after_ms) for request_id in queue]
