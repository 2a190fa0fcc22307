"""Slot grants: shares of a replica's slots, leased to rostrums, never more in sum than the limit."""

import basaltport.identifiers as identifiers
import basaltport.messages as messages

LEASE = 2000
MARGIN = 150
RAMP = 1000
FRESH = 2
GHOST_POLLS = 3


def fair(total, demands):
    """Water-filling: everyone gets what it asks or an equal share, whichever is less."""
    out = dict.fromkeys(demands, 0)
    left = total
    open_ = {s for s, d in demands.items() if d > 0}
    while left > 0 and open_:
        each = max(1, left // len(open_))
        for s in sorted(open_):
            n = min(each, demands[s] - out[s], left)
            out[s] += n
            left -= n
        open_ = {s for s in open_ if out[s] < demands[s]}
    return out, left


class Shares:
    """What each seat may hold: outstanding grants by number, until a later one is known to be seen."""

    __slots__ = ("n", "out", "using", "want", "lapse", "since")

    def __init__(self, now):
        self.n = 0
        self.out = {}
        self.using = {}
        self.want = {}
        self.lapse = {}
        self.since = now

    def account(self, seat, r):
        return max(
            [g.get(r, 0) for g in self.out.get(seat, {}).values()] + [self.using.get(seat, {}).get(r, 0)]
        )

    def forget(self, now, longest):
        for s in [s for s, t in self.lapse.items() if now >= t + longest]:
            for m in (self.out, self.using, self.want, self.lapse):
                m.pop(s, None)


class SlotMixin:
    """Needs the duty of a zone. An owner after the first waits out the grants of the one before."""

    def slot_limit(self, p):
        g = self.rules.groups.get(p.group)
        if g is None or not p.up:
            return 0
        n = g.get("fresh_slots", FRESH)
        age = max(0, self.now - p.fresh)
        return min(g["slots"], n << min(age // RAMP, 14))

    def hear_need(self, src, m):
        d = self.duties.get(m.zone)
        addr = self.addr_of(m.seat)
        if d is None or addr is None or d.fence != m.fence or not self.leased():
            return
        s = d.slots
        s.using[m.seat] = {r: v[0] for r, v in m.rows.items()}
        s.want[m.seat] = {r: v[0] + v[1] for r, v in m.rows.items()}
        s.out[m.seat] = {n: g for n, g in s.out.get(m.seat, {}).items() if n >= m.seen}
        s.lapse[m.seat] = self.now + LEASE + MARGIN
        s.forget(self.now, max([x.timeout for x in self.rules.lines.values()] or [0]))
        if self.now - s.since < LEASE + MARGIN and not self.book["duties"]["zone/" + d.zone]["first"]:
            rows = dict(s.using[m.seat])
        else:
            rows = {r: self.grant(d, m.seat, r) for r in m.rows}
        s.n += 1
        s.out[m.seat][s.n] = rows
        self.send(addr, messages.Grants(d.zone, identifiers.Fence(d.fence), m.k, s.n, rows))

    def grant(self, d, seat, r):
        p = d.reps.get(r)
        if p is None or not self.may_use(r):
            return 0
        s = d.slots
        total = max(0, self.slot_limit(p) - p.ghosts())
        seats = sorted(s.lapse)
        live = [x for x in seats if self.now < s.lapse[x]]
        lost = sum(s.account(x, r) for x in seats if x not in live)
        lost = min(lost, p.running) if self.settled_lost(s, p) else lost
        got, left = fair(max(0, total - lost), {x: s.want.get(x, {}).get(r, 0) for x in live})
        mine = got.get(seat, 0) + left // max(1, 2 * len(live))
        others = sum(s.account(x, r) for x in live if x != seat)
        return max(0, min(mine, total - lost - others))

    def count_ghosts(self, d, p):
        """Runs that a replica still has though no rostrum counts them, as after a timeout."""
        using = sum(m.get(p.id, 0) for x, m in d.slots.using.items())
        p.unseen = [max(0, p.running - using), *p.unseen[: GHOST_POLLS - 1]]

    def settled_lost(self, s, p):
        return all(p.at > t for t in s.lapse.values() if self.now >= t)
