"""The duty over the weight store: permits for loads, so that all zones together keep its limit."""

import basaltport.query_api.failure_detection.duties as duties
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.messages as messages
import basaltport.query_api.zone_controller.zone as zone

ASK = 200
DARK_LOAD = 60_000


class StoreMixin:
    """Needs StewardMixin. A grant is void by the zone's next ask: held plus granted is all there is."""

    def store_start(self):
        self.accounts = {}
        self.accounts_fence = None

    def store_duty(self):
        return self.book["duties"].get(duties.STORE)

    # the zone's side

    def ask_permits(self, d):
        sd = self.store_duty()
        if sd is None or self.now - d.ask_at < ASK:
            return
        if self.unheard(d, 2 * ASK):
            return
        addr = self.addr_of(sd["owner"])
        if addr is None:
            return
        d.loads = {i: v for i, v in d.loads.items() if self.now - v[0] < 2 * ASK}
        want = {}
        for _, pool in d.loads.values():
            want[pool] = want.get(pool, 0) + 1
        d.ask_at = self.now
        d.ask_k += 1
        d.budget = {}
        held = self.in_flight(d)
        dark = sum(zone.LOADS for p in d.reps.values() if not p.heard) if self.may_load_on(d) else 0
        row = self.book["duties"][duties.zone_key(d.zone)]
        if dark and not row.get("new", row["first"]):
            held["?"] = dark
        m = messages.PermitAsk(self.me.seat, d.zone, d.fence, d.ask_k, held, want)
        self.send(addr, m)

    def may_load_on(self, d):
        """Whether loads that the steward before ordered may still go on where nothing is heard."""
        return self.now - d.since < (2 * self.rules.longest_load + ASK or DARK_LOAD)

    def hear_permitgrant(self, src, m):
        d = self.duties.get(m.zone)
        if d is None or d.fence != m.fence or m.k != d.ask_k:
            return
        d.budget = dict(m.granted)
        self.place(d)

    # the store's side

    def tick_store(self):
        sd = self.store_duty()
        if sd is None or sd["owner"] != self.me.seat:
            self.accounts_fence = None
            return
        if self.accounts_fence != sd["fence"]:
            self.accounts_fence = sd["fence"]
            self.accounts = {}
            self.note(log_events.Event.STORE_DUTY_TAKEN, fence=sd["fence"])

    def hear_permitask(self, src, m):
        sd = self.store_duty()
        addr = self.addr_of(m.seat)
        if sd is None or sd["owner"] != self.me.seat or addr is None or not self.leased():
            return
        self.tick_store()
        old = self.accounts.get(m.zone)
        if old and (m.fence, m.k) <= (old["fence"], old["k"]):
            return
        cap = self.dark_cap(m, old)
        if "?" in m.held and cap is not None:
            m.held["?"] = min(m.held["?"], cap)
        acc = self.accounts[m.zone] = {"fence": m.fence, "k": m.k, "held": m.held, "new": {}, "cap": cap}
        granted = {}
        if all(z in self.accounts for z in self.rules.zones):
            granted = self.share_permits(m)
        acc["new"] = granted
        self.send(addr, messages.PermitGrant(m.zone, identifiers.Fence(m.fence), m.k, granted))

    def dark_cap(self, m, old):
        """What the steward before held and was granted at most: no more can go on in the dark."""
        if old is None:
            return None
        if old["fence"] == m.fence:
            return old["cap"]
        return sum(old["held"].values()) + sum(old["new"].values())

    def share_permits(self, m):
        def total(pool=None):
            n = 0
            for a in self.accounts.values():
                for part in (a["held"], a["new"]):
                    n += sum(v for k, v in part.items() if pool is None or k == pool)
            return n

        free = self.rules.loads - total()
        out = {}
        for pool in sorted(m.want):
            p = self.rules.pools.get(pool)
            room = free if p is None else min(free, p["loading"] - total(pool))
            n = max(0, min(m.want[pool], room))
            if n:
                out[pool] = n
                free -= n
        return out
