"""Outcomes of waits for items, and the loads that overtook them, which show whether a full queue was unfair.

A wait is *served* once the item is loaded on a replica. It is *abandoned* when proxies stop reporting it
before that, because its requests reached their deadlines. A load *overtakes* a wait if it starts for an item
whose wait began later, or for one that no request waits for.
"""

import enum
import typing

import basaltport.events as events
import basaltport.log_events as log_events
import basaltport.placement.order_types as order_types
import basaltport.placement.state as state
import basaltport.placement.token_bucket as token_bucket
import basaltport.placement.waiting_items as waiting_items

ABANDONED_LOGGED_PER_S = 10.0
"""Rate limit of the log of abandoned waits, per second; all of them are counted."""
ABANDONED_KEPT_MS = 60_000
"""The age of an abandoned wait is kept this long, so that the next wait for the item continues with it."""


class WaitOutcome(enum.StrEnum):
    """The outcome of a wait for an item."""

    SERVED = "served"
    ABANDONED = "abandoned"


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class WaitOutcomesMixin(Needs):
    """Counts waits by outcome and logs abandoned ones."""

    def reset_wait_outcomes(self) -> None:
        """Reset the abandoned items and the log's rate limit; the counters continue under a new leader."""
        self.abandoned_items: dict[str, waiting_items.AbandonedItem] = {}
        """Items by name whose wait was abandoned, the oldest first."""
        self.abandoned_log = token_bucket.TokenBucket(ABANDONED_LOGGED_PER_S, self.now)

    def start_wait(self, item: str) -> waiting_items.WaitingItem:
        """Create and return the wait for an item; it continues with the age of a recently abandoned one."""
        self.forget_abandoned()
        abandoned = self.abandoned_items.pop(item, None)
        since = None if abandoned is None or self.is_served(item) else abandoned.since
        self.waiting[item] = waiting_items.WaitingItem(self.now, since)
        return self.waiting[item]

    def forget_abandoned(self) -> None:
        """Drop the items that were abandoned more than ABANDONED_KEPT_MS ago."""
        for item, abandoned in list(self.abandoned_items.items()):
            if self.now - abandoned.abandoned_at <= ABANDONED_KEPT_MS:
                return
            del self.abandoned_items[item]

    def count_overtaking(self, goal: str, load: waiting_items.OvertakingLoad) -> None:
        """Count the load that starts for the item `goal` at each wait that it overtakes."""
        model = goal.partition("/")[0]
        begun = [item for name, item in self.waiting.items() if name.partition("/")[0] == model]
        since = min((item.first_requested_at for item in begun), default=self.now)
        for name, item in self.waiting.items():
            if (
                item.first_requested_at < since
                and name.partition("/")[0] != model
                and name not in self.loading_on
            ):
                item.overtaken[load] += 1

    def end_wait(self, item: str, outcome: WaitOutcome) -> None:
        """End the wait for an item and count its outcome; keep the age of an abandoned wait and log it."""
        waiting = self.waiting.pop(item)
        self.wait_counts[outcome.value] += 1
        if outcome is not WaitOutcome.ABANDONED:
            return
        self.abandoned_items.pop(item, None)
        self.abandoned_items[item] = waiting_items.AbandonedItem(waiting.since, self.now)
        if self.abandoned_log.take(self.now):
            self.pending_effects.append(self.abandoned_log_entry(item, waiting))

    def abandoned_log_entry(self, item: str, waiting: waiting_items.WaitingItem) -> events.Note:
        """Return the log entry of an abandoned wait."""
        fields = {
            "item": item,
            "waited_ms": waiting.last_requested_at - waiting.first_requested_at,
            "most_requests": waiting.most_requests,
            "on_disks": len(self.disk_copies.get(item.partition("/")[0], ())),
            "overtaken": {load.value: loads for load, loads in sorted(waiting.overtaken.items())},
        }
        return events.Note(int(log_events.Event.LOAD_WAIT_ABANDONED), fields)


def overtaking_load(reason: order_types.LoadReason, from_disk: bool) -> waiting_items.OvertakingLoad:
    """Return the kind under which a load is counted at the waits that it overtakes."""
    if not reason.is_on_demand:
        return waiting_items.OvertakingLoad.COPY
    return waiting_items.OvertakingLoad.DISK if from_disk else waiting_items.OvertakingLoad.STORE
