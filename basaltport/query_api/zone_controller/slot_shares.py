"""The book-keeping of slots granted to query nodes: who may hold how many of each replica's."""

SlotsByReplica = dict[str, int]


def fair_shares(total: int, demands: dict[str, int]) -> tuple[dict[str, int], int]:
    """Water-filling: everyone gets what it asks or an equal share, whichever is less; and what is left."""
    shares = dict.fromkeys(demands, 0)
    left = total
    unmet = {name for name, demand in demands.items() if demand > 0}
    while left > 0 and unmet:
        each = max(1, left // len(unmet))
        for name in sorted(unmet):
            given = min(each, demands[name] - shares[name], left)
            shares[name] += given
            left -= given
        unmet = {name for name in unmet if shares[name] < demands[name]}
    return shares, left


class SlotShares:
    """What each query node may hold. A grant counts until a later one is known to have been taken.

    All by member id: `granted` (by grant number, then replica), `using` and `desired` (by replica), and
    `expires_at`, when the last grants end. `since`: when this controller took over."""

    __slots__ = ("last_number", "granted", "using", "desired", "expires_at", "since")

    def __init__(self, now: int) -> None:
        """Nothing granted yet."""
        self.last_number = 0
        self.granted: dict[str, dict[int, SlotsByReplica]] = {}
        self.using: dict[str, SlotsByReplica] = {}
        self.desired: dict[str, SlotsByReplica] = {}
        self.expires_at: dict[str, int] = {}
        self.since = now

    def most_held(self, member_id: str, replica: str) -> int:
        """The most slots of a replica that a node may hold just now."""
        grants = self.granted.get(member_id, {}).values()
        return max([grant.get(replica, 0) for grant in grants] + [self.using_of(member_id, replica)])

    def using_of(self, member_id: str, replica: str) -> int:
        """The slots of a replica that a node said it uses."""
        return self.using.get(member_id, {}).get(replica, 0)

    def desired_of(self, member_id: str, replica: str) -> int:
        """The slots of a replica that a node uses and wants."""
        return self.desired.get(member_id, {}).get(replica, 0)

    def forget_expired(self, now: int, longest_run_ms: int) -> None:
        """Forget nodes whose grants ended so long ago that nothing of theirs can still run."""
        gone = [node for node, expiry in self.expires_at.items() if now >= expiry + longest_run_ms]
        for member_id in gone:
            self.granted.pop(member_id, None)
            self.using.pop(member_id, None)
            self.desired.pop(member_id, None)
            self.expires_at.pop(member_id, None)
