"""Slots of a replica that a query node may use."""

import dataclasses

NEVER = -1


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """`granted` slots until a time, in milliseconds on the node's clock; `using`: how many are in use."""

    granted: int = 0
    until: int = NEVER
    using: int = 0

    def room_left(self, now: int) -> int:
        """How many may be used besides; 0 once the grant has expired."""
        return self.granted - self.using if now < self.until else 0
