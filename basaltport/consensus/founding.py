"""What a candidate does where nothing is agreed yet, or where disks were lost: founding, and proof of
loss."""

import basaltport.consensus.timing as timing

RESTART = 2500
"""Without pre-vote: how long a candidate waits for members before it counts wiped ones as replaced."""
CHANGES_KEPT = 2000


def plain(row):
    """A member's row without what it says of its first start."""
    return {k: v for k, v in row.items() if k != "first"}


class FoundingMixin:
    """Needs the candidacy of ElectionMixin."""

    def proven_replacements(self, got):
        if self.policy.joint_consensus:
            return self.replacements_proven_by_address(got)
        return self.replacements_proven_by_name(got)

    def replacements_proven_by_address(self, got):
        """Seats whose disks are proven lost, with the rows that take their places. Proof is a new seat at the
        very address of the former one: no two processes hold one address, and a seat is kept on its disk. A
        name alone proves nothing, since the former member may live. With half of the seats here and such
        proof of others, nothing was agreed and nobody elected without one of these: whatever other roster may
        decide came or comes by a joint change, which needs a majority of this one too."""
        t = self.tip()
        if "former" in t:
            return None
        roster = t["roster"]
        kept = roster.keys() & got.keys()
        fresh = {p.me["addr"]: plain(p.me) for s, p in got.items() if s not in roster}
        swap = [[s, fresh[r["addr"]]] for s, r in roster.items() if s not in kept and r["addr"] in fresh]
        if 2 * len(kept) < len(roster) or 2 * (len(kept) + len(swap)) <= len(roster):
            return None
        return swap if self.now - self.standing_since_ms >= timing.ATTESTED else None

    def replacements_proven_by_name(self, got):
        """After a power cut: most disk members, and successors attesting the loss of seats they replace."""
        t = self.tip()
        roster = t["roster"]
        kept = roster.keys() & got.keys()
        fresh = {p.name: p.me for s, p in got.items() if s not in roster and p.serial == 0}
        swap = [[s, fresh[r["name"]]] for s, r in roster.items() if s not in kept and r["name"] in fresh]
        if 2 * (len(kept) + len(swap)) <= len(roster):
            return None
        if 2 * len(kept & set(t["ledgers"])) <= len(t["ledgers"]):
            return None
        return swap if self.now - self.standing_since_ms >= RESTART else None

    def count_founding_votes(self):
        if self.policy.disk_members_only:
            self.found_with_founders()
            return
        self.found_with_expected()

    def found_with_founders(self):
        c = self.candidacy
        of = self.me.founders
        ps = {p.me["addr"]: p for p in c.votes.values() if p.me.get("first") and p.me["addr"] in of}
        if not self.may_be_candidate() or 2 * len(ps) <= len(of):
            return
        if len(ps) < len(of) and self.now - c.started_at < timing.ALL_FOUNDERS:
            return
        self.note(12, seats=len(ps), expected=len(of))
        roster = {p.seat: plain(p.me) for p in ps.values()}
        found = {"roster": roster, "ledgers": sorted(roster), "voters": "ledgers", "keep": CHANGES_KEPT}
        self.win(found)

    def found_with_expected(self):
        votes = self.candidacy.votes
        names = {p.name for p in votes.values()}
        if 2 * len(names) <= self.me.expected:
            return
        ls = [p for p in votes.values() if p.me["role"] == "ledger"]
        if 2 * len(ls) <= self.me.ledgers:
            return
        self.note(12, seats=len(names), expected=self.me.expected)
        self.win({"roster": {p.seat: p.me for p in votes.values()}, "ledgers": sorted(p.seat for p in ls)})
