"""Since when a process has surely looked at its sockets: a bound on the age of what it reads of them.

A process that was frozen, or was busy, finds in its sockets what came meanwhile, and the time of reading says
nothing of when it was sent. What can be told is when the event loop had last found nothing there.
"""

import collections

import basaltport.identifiers as identifiers

TICKS_KEPT = 5
"""A connection is handed to its protocol up to two passes of the loop after the pass that accepts it, and a
pass may hold one tick, so that up to four ticks may have followed the last look at which it was not there."""


class LoopProgress:
    """The last ticks of an event loop."""

    def __init__(self, began_at: identifiers.Millis) -> None:
        """`began_at`: before anything was listened on."""
        self.ticks = collections.deque([began_at], maxlen=TICKS_KEPT)

    def note_tick(self, now: identifiers.Millis) -> None:
        """A timer of the loop ran; no two of these calls belong to one pass of the loop."""
        self.ticks.append(now)

    def earliest_arrival(self) -> identifiers.Millis:
        """The earliest time at which a connection can have come whose protocol is made now, in ms."""
        return self.ticks[0]
