"""Members of the older path: whoever says hello is a member at once; the disk members among them are kept
apart."""

import basaltport.consensus.codec as codec

SILENT = 6000
DROP = 1600
STUCK = 2000
HEARD = 2500
CHANGES = ("roster", "found", "lead")


class OpenMembershipMixin:
    """Needs ReplicationMixin and LeadershipMixin."""

    def open_membership_start(self):
        self.disk_members_changed_at_ms = self.now

    def take_all_members(self):
        if not self.settled() or self.pending(*CHANGES):
            return
        t = self.tip_book
        if self.pending("ledgers"):
            if self.now - self.disk_members_changed_at_ms > STUCK:
                self.keep_ledgers(t)
            return
        self.take_new(t["roster"]) or self.keep_ledgers(t) or self.drop_lost(t)

    def take_new(self, roster):
        names = {r["name"]: s for s, r in roster.items()}
        fresh = self.heard_within(HEARD) + [self.me.row()]
        new = [
            m for m in fresh if m["seat"] not in self.left and roster.get(m["seat"]) != codec.decode_member(m)
        ]
        swap = [[names[m["name"]], m] for m in new if m["name"] in names]
        add = [m for m in new if m["name"] not in names]
        if not swap and not add:
            return False
        for m in [m for _, m in swap] + add[:1]:
            self.acked_at_ms[m["seat"]] = self.now
            self.needs.add(m["seat"])
            self.note(16, member=m["name"], seat=m["seat"])
        self.append({"op": "roster", "swap": swap, "add": add[0] if add else None})
        return True

    def heard_of(self, s):
        """A disk member counts as live only once it spoke to this leader."""
        return s == self.me.seat or self.now - self.acked_at_ms.get(s, -(10**9)) < DROP

    def keep_ledgers(self, t):
        have = set(t["ledgers"])
        live = {s for s, r in t["roster"].items() if r["role"] == "ledger" and self.heard_of(s)}
        want = have | live
        lost = have - live
        if lost and (len(live) >= self.me.ledgers or 2 * len(have & live) <= len(have)):
            want = live
        if want == have:
            return False
        self.disk_members_changed_at_ms = self.now
        self.append({"op": "ledgers", "ledgers": sorted(want)})
        return True

    def drop_lost(self, t):
        lost = [s for s in t["roster"] if s in self.left or self.quiet(s) > SILENT]
        if not lost:
            return False
        s = min(lost)
        self.note(17, member=t["roster"][s]["name"], seat=s)
        self.append({"op": "roster", "drops": [s]})
        return True
