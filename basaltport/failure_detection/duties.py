"""Duties cut by key over live rostrums. The leader agrees owners; an entry's serial is the owner's fence."""

import functools
import hashlib

import basaltport.consensus.seat as seat

GONE = 1500
UNHEARD = 4000
SWAPPED = 400
VOICES = 2
STORE = "store"


@functools.lru_cache(100_000)
def weight(key, name):
    return int.from_bytes(hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest(), "big")


def zone_key(z):
    return f"zone/{z}"


def keys(manifest):
    return [zone_key(z) for z in sorted((manifest or {}).get("zones", {}))] + [STORE]


def pick(key, live):
    """Highest weight among live rostrums, those of the key's own zone first."""
    own = [r for r in live if zone_key(r["zone"]) == key]
    return max(own or live, key=lambda r: weight(key, r["name"]))["seat"]


class DutyMixin:
    """Needs LeadMixin: hands keys out and, once an owner's lease has surely lapsed, on."""

    def keep_duties(self):
        if not self.settled() or self.pending("duty"):
            return
        if self.now < self.since + (SWAPPED if self.fresh else seat.LEASE):
            return
        t = self.tip_book
        if t["manifest"] is None:
            return
        live = [
            r
            for s, r in t["roster"].items()
            if r["role"] == "rostrum" and self.quiet(s) < GONE and s not in self.left
        ]
        if not live:
            return
        owners = {}
        for k in keys(t["manifest"]):
            d = t["duties"].get(k)
            if d and not self.lost(d["owner"]):
                continue
            owners[k] = pick(k, live)
        if owners:
            self.note(18, owners=owners)
            op = {"op": "duty", "owners": owners}
            self.append(
                {**op, "fresh": True} if self.fresh and set(owners) == set(keys(t["manifest"])) else op
            )
            self.fresh = False

    def lost(self, s):
        """Never before its lease lapsed; soon where watchers miss it too, later on the leader alone."""
        if self.now < self.lapse.get(s, 0):
            return False
        if s not in self.tip_book["roster"] or s in self.left or self.quiet(s) >= UNHEARD:
            return True
        return self.quiet(s) >= GONE and self.missed_by(s) >= VOICES
