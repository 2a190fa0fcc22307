"""The requests of a proxy to the owners: for tokens, to renew shares, and to owners that were silent."""

import collections.abc

import basaltport.identifiers as identifiers
import basaltport.quota.held_slice as held_slice
import basaltport.quota.held_tenant as held_tenant
import basaltport.quota.messages as messages
import basaltport.quota.rows as rows

PROBE_MS = 200
"""While an owner is silent, it is asked for a sign each so often, if there was a use for it."""
RENEW_MS = 2000
RENEWALS_EVERY_MS = 100

Tenants = collections.abc.Mapping[str, held_tenant.HeldTenant]


class HolderRequests:
    """What is to be sent, and what isn't answered yet."""

    def __init__(self, name: identifiers.Name, incarnation: int, address: str) -> None:
        """Nothing was sent. `address`: where grants are to be sent."""
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self.number = 0
        """Of the last request."""
        self.asks = self.renewals = 0
        self.sharing: dict[held_slice.HeldSlice, None] = {}
        """Slices of which a share is held."""
        self._due: dict[held_slice.HeldSlice, None] = {}
        self._asks: dict[int, held_slice.Ask] = {}
        self._probe_at: dict[str, int] = {}
        """By shard whose owner is silent: when it is asked next."""
        self._missed: set[str] = set()
        """Shards that would have been asked, were their owners not silent."""
        self._renewals_at = 0

    def ask_for(self, part: held_slice.HeldSlice) -> None:
        """Ask the owner of a slice next, if anybody waits and it isn't asked already."""
        if part.waiting and not part.asked:
            self._due[part] = None

    def forget(self, part: held_slice.HeldSlice) -> None:
        """The slice is of no use any more."""
        self._due.pop(part, None)
        self.sharing.pop(part, None)

    def is_silent(self, shard: str) -> bool:
        """Whether an owner left a request unanswered and nothing was heard since."""
        if shard not in self._probe_at:
            return False
        self._missed.add(shard)
        return True

    def heard(self, shard: str) -> None:
        """The owner of a shard said something."""
        self._probe_at.pop(shard, None)

    def answered(self, number: int) -> held_slice.Ask | None:
        """The request of a number, once."""
        return self._asks.pop(number, None)

    def overdue(self, sent_until: int, now: int) -> list[held_slice.Ask]:
        """Requests sent up to a time that nobody answered; their owners are silent."""
        out = []
        for number, ask in list(self._asks.items()):
            if ask.sent_at > sent_until:
                break
            del self._asks[number]
            self._probe_at[ask.shard] = now + PROBE_MS
            out.append(ask)
        return out

    def take(self, tenants: Tenants, now: int) -> list[messages.QuotaRequest]:
        """All that is to be sent now."""
        out = self._take_asks(tenants, now) if self._due else []
        if now >= self._renewals_at:
            self._renewals_at = now + RENEWALS_EVERY_MS
            out += self._take_renewals(tenants, now)
            out += self._take_probes(now)
        return out

    def _request(self, shard: str, told: dict[str, rows.Row], now: int) -> messages.QuotaRequest:
        self.number += 1
        sent_at = identifiers.Millis(now)
        return messages.QuotaRequest(
            self._name, self._incarnation, self._address, shard, self.number, sent_at, told
        )

    def _take_asks(self, tenants: Tenants, now: int) -> list[messages.QuotaRequest]:
        by_shard: dict[str, list[held_slice.HeldSlice]] = {}
        for part in self._due:
            if part.waiting and not part.asked:
                by_shard.setdefault(part.shard, []).append(part)
        self._due.clear()
        out = []
        for shard, parts in by_shard.items():
            told = {}
            for part in parts:
                part.asked, part.waiting = part.waiting, []
                told[part.tenant] = part.ask_row(len(part.asked), tenants[part.tenant].demand(now), now)
            out.append(self._request(shard, told, now))
            self._asks[self.number] = held_slice.Ask(now, shard, parts)
            self.asks += 1
        return out

    def _take_renewals(self, tenants: Tenants, now: int) -> list[messages.QuotaRequest]:
        """Shares in use are renewed, those of a shard together."""
        due: dict[str, list[held_slice.HeldSlice]] = {}
        is_due: set[str] = set()
        for part in list(self.sharing):
            if not part.has_share(now):
                del self.sharing[part]
                continue
            age_ms = now - part.told_at
            is_used = now - tenants[part.tenant].used_at <= held_tenant.USED_MS
            if part.asked or not is_used or age_ms < RENEW_MS // 2:
                continue
            due.setdefault(part.shard, []).append(part)
            if age_ms >= RENEW_MS:
                is_due.add(part.shard)
        self.renewals += len(is_due)
        return [self._renewal(shard, due[shard], tenants, now) for shard in due if shard in is_due]

    def _renewal(
        self, shard: str, parts: list[held_slice.HeldSlice], tenants: Tenants, now: int
    ) -> messages.QuotaRequest:
        told = {part.tenant: part.ask_row(0, tenants[part.tenant].demand(now), now) for part in parts}
        return self._request(shard, told, now)

    def _take_probes(self, now: int) -> list[messages.QuotaRequest]:
        """Requests without rows: whoever answers is there."""
        due = [shard for shard in sorted(self._missed) if now >= self._probe_at.get(shard, now + 1)]
        self._missed -= {*due, *(shard for shard in self._missed if shard not in self._probe_at)}
        for shard in due:
            self._probe_at[shard] = now + PROBE_MS
        return [self._request(shard, {}, now) for shard in due]
