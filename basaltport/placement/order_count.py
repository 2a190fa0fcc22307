"""How many orders a replica has taken: what an order is planned on, and is refused without.

A replica counts the orders that it takes, from 0 at its start. An order names the count that it was planned
on, and is refused where the replica has another one. So of all orders that were sent on one count, however
late they arrive, at most one is taken; and since only orders change what a replica holds, whoever knows that
for a count knows it until an order is taken.
"""

import typing


class OrderCount(typing.NamedTuple):
    """The count that what a replica is known to hold belongs to."""

    known: int = 0
    least: int = 0
    """The replica has taken at least so many; a report of fewer was made before."""

    def expected(self, accepted: bool) -> int:
        """The count for an order to name; `accepted`: it was taken, and is sent again to hear of its end."""
        return self.known + accepted

    def after_order(self) -> "OrderCount":
        """An order that named the count known was taken, and is done."""
        return OrderCount(self.known + 1, self.known + 1)

    def after_refusal(self, accepted: bool) -> "OrderCount":
        """An order was refused for its count, or as another runs: one was taken that is not known here."""
        return OrderCount(self.known, self.known + accepted + 1)

    def after_giving_up(self, accepted: bool) -> "OrderCount":
        """An order was given up that may still be taken, or that runs."""
        return OrderCount(self.known, self.known + accepted)

    def after_report(self, taken: int) -> "OrderCount":
        """A report told what the replica held at this count."""
        return OrderCount(taken, taken)
