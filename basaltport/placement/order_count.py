"""Order counts, by which a replica refuses orders that were planned on an outdated view of its models.

A replica counts the orders that it accepts, from 0 at its start. Each order carries the count on which it was
planned, and the replica refuses it if its own count differs. So at most one of all orders sent for one count
is accepted, however late they arrive. Since only orders change a replica's models, a controller that knows
the models for a count knows them until the next order is accepted.
"""

import typing


class OrderCount(typing.NamedTuple):
    """The order count that the known models of a replica correspond to."""

    known: int = 0
    lower_bound: int = 0
    """The replica has accepted at least this many orders, so a report with a lower count is outdated."""

    def expected(self, accepted: bool) -> int:
        """Return the count that an order must carry.

        `accepted`: whether the replica has accepted it already, so that it is resent as a poll for
        completion.
        """
        return self.known + accepted

    def after_order(self) -> "OrderCount":
        """Return the count after an order for the known count was accepted and done."""
        return OrderCount(self.known + 1, self.known + 1)

    def after_refusal(self, accepted: bool) -> "OrderCount":
        """Return the count after a refusal for the count or a running order: an unknown one was accepted."""
        return OrderCount(self.known, self.known + accepted + 1)

    def after_giving_up(self, accepted: bool) -> "OrderCount":
        """Return the count after a plan was abandoned whose order runs or may still be accepted."""
        return OrderCount(self.known, self.known + accepted)

    def after_report(self, orders_taken: int) -> "OrderCount":
        """Return the count after a report showed the replica's models at the count `orders_taken`."""
        return OrderCount(orders_taken, orders_taken)
