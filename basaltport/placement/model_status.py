"""What a proxy is told about an item, as ADR 0041 wants it."""

import typing

import basaltport.placement.replica_state as replica
import basaltport.placement.state as state
import basaltport.cold_start.limits as limits

IDLE_WINDOW = 60_000
ADAPTER = 50
OWN_DISK = 0.65
UNKNOWN_LOAD = 1000


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ModelStatusMixin(Needs):
    """Answers what becomes of requests for an item."""

    now: int

    def load_ms(self, service: str, model: str, disk: bool) -> float:
        """What a load is likely to take: the median of the last ones, else as configured."""
        last = self.took.get((service, "disk" if disk else "store"))
        if last:
            return sorted(last)[len(last) // 2]
        m = self.cat.at(service, model)
        return (m.load_ms if m else UNKNOWN_LOAD) * (OWN_DISK if disk else 1)

    def expected(self, item: str) -> float:
        """The 90th percentile of the last 20 loads of that kind, in ms."""
        model, _, adapter = item.partition("/")
        homes = self.cat.homes.get(model, ())
        if not homes:
            return 0
        s = homes[0]
        disk = any(self.reps[r].next_step().disk for r in self.coming.get(model, ()))
        ms: float = limits.expected(
            self.took.get((s.name, "disk" if disk else "store")), s.models[model].load_ms
        )
        if not adapter:
            return ms
        own: float = limits.expected(self.took.get((s.name, "adapter")), ADAPTER)
        return own if self.held(model) else ms + own

    def facts(self, now: int, item: str) -> state.Row:
        """The facts of one item; `serving_for_ms` is -1 where it isn't held."""
        self.now = now
        model = item.partition("/")[0]
        on = self.copies(item)
        out: state.Row = {
            "state": "loaded",
            "retry_after_ms": 100,
            "expected_ms": int(self.expected(item)),
            "kept": model in self.hot,
            "idle_window_ms": IDLE_WINDOW,
            "serving_for_ms": -1,
        }
        if on:
            out["serving_for_ms"] = max(0, now - min(self.since(p, item) for p in on))
            return out
        out["state"] = "loading" if self.possible(item) else "unavailable"
        out["retry_after_ms"] = int(min(1000, max(100, self.remains(item, out["expected_ms"]) / 2)))
        return out

    def since(self, p: replica.Replica, item: str) -> int:
        """When an item came to a replica."""
        model, _, adapter = item.partition("/")
        h = p.held[model]
        return h.adapters[adapter] if adapter else h.since

    def remains(self, item: str, expected: float) -> float:
        """How long a load of it is likely to take from now on."""
        for r in self.coming.get(item, ()) or self.coming.get(item.partition("/")[0], ()):
            for s in self.reps[r].steps():
                if s.taken and s.sent is not None:
                    return expected - (self.now - s.sent)
            return expected
        n = max(1, sum(1 for p in self.reps.values() if p.engine))
        return expected * (1 + len(self.wants) / n)

    def possible(self, item: str) -> bool:
        """Whether some replica could hold it."""
        if not self.cat.knows(item):
            return False
        if not self.known:
            return True
        model, _, adapter = item.partition("/")
        for s in self.cat.homes[model]:
            m = s.models[model]
            if m.mb + (m.adapter_mb if adapter else 0) > s.room or adapter and s.places < 1:
                continue
            if any(p.service == s.name and self.may_serve(p) for p in self.reps.values()):
                return True
        return False

    def may_serve(self, p: replica.Replica) -> bool:
        """Whether a replica is ready, stays, and is in no evacuated zone."""
        return p.state == "ready" and p.leaves is None and p.zone not in self.drains
