"""Duties cut by key over live rostrums. The leader agrees owners; an entry's serial is the owner's fence."""

import typing

import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.rendezvous as rendezvous

GONE = 1500
UNHEARD = 4000
SWAPPED = 400
VOICES = 2
STORE = "store"

Row = dict[str, typing.Any]


def zone_key(z: str) -> str:
    """The key of a zone's duty."""
    return f"zone/{z}"


def keys(manifest: Row | None) -> list[str]:
    """The keys of all duties: each zone, and the weight store."""
    return [zone_key(z) for z in sorted((manifest or {}).get("zones", {}))] + [STORE]


def pick(key: str, live: list[Row]) -> str:
    """Highest weight among live rostrums, those of the key's own zone first."""
    own = [r for r in live if zone_key(r["zone"]) == key]
    owner: str = max(own or live, key=lambda r: rendezvous.weight(key, r["name"]))["seat"]
    return owner


class DutyNeeds(typing.Protocol):
    """What `DutyMixin` needs of the leader it is part of; see `consensus.lead` and `RingMixin`."""

    now: identifiers.Millis
    since: int
    fresh: bool
    policy: voting_policy.VotingPolicy
    tip_book: Row
    left: set[str]
    lapse: dict[str, int]

    def settled(self) -> bool:
        """Whether this leader's first entry is agreed."""

    def pending(self, *ops: str) -> bool:
        """Whether an entry of these operations waits for agreement."""

    def quiet(self, s: str) -> int:
        """For how many milliseconds a seat has been silent."""

    def missed_by(self, s: str) -> int:
        """How many watchers miss a seat."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""

    def append(self, op: Row) -> object:
        """Propose an entry."""


if typing.TYPE_CHECKING:
    Needs = DutyNeeds
else:
    Needs = object


class DutyMixin(Needs):
    """Hands keys out and, once an owner's lease has surely lapsed, on."""

    fresh: bool

    def keep_duties(self) -> None:
        """Propose owners for the keys that have none or lost theirs."""
        if not self.settled() or self.pending("duty"):
            return
        if self.now < self.since + (SWAPPED if self.fresh else self.policy.follower_lease_ms):
            return
        t = self.tip_book
        if t["manifest"] is None:
            return
        live = [r for s, r in t["roster"].items() if self.may_own(s, r)]
        if not live:
            return
        every = keys(t["manifest"])
        owners = {k: pick(k, live) for k in every if self.lacks_owner(t["duties"].get(k))}
        if not owners:
            return
        self.note(log_events.Event.DUTIES_HANDED, owners=owners)
        op: Row = {"op": "duty", "owners": owners}
        if self.fresh and set(owners) == set(every):
            op["fresh"] = True
        self.append(op)
        self.fresh = False

    def may_own(self, s: str, r: Row) -> bool:
        """Whether a seat may be given duties."""
        is_node = bool(r["role"] == "rostrum")
        return is_node and self.quiet(s) < GONE and s not in self.left

    def lacks_owner(self, duty: Row | None) -> bool:
        """Whether a duty has no owner, or one that is lost."""
        return not duty or self.lost(duty["owner"])

    def lost(self, s: str) -> bool:
        """Never before its lease lapsed; soon where watchers miss it too, later on the leader alone."""
        if self.now < self.lapse.get(s, 0):
            return False
        if s not in self.tip_book["roster"] or s in self.left or self.quiet(s) >= UNHEARD:
            return True
        return self.quiet(s) >= GONE and self.missed_by(s) >= VOICES
