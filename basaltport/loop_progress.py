"""Bounds the age of what a process reads from its sockets, by the last times at which it polled them.

A process that was frozen or busy finds messages in its sockets that came meanwhile, and the time of reading
says nothing about when they were sent. What is known is when the event loop last found nothing there.
"""

import collections

import basaltport.identifiers as identifiers

RECORDED_TICKS = 5
"""The event loop creates the protocol of a connection up to two iterations after the one that accepts it, and
an iteration may run one tick, so up to four ticks may have followed the last poll that did not find it."""


class LoopProgress:
    """The times of the last ticks of an event loop, in ms."""

    def __init__(self, began_at: identifiers.Millis) -> None:
        """Start with `began_at`, a time in ms before the process listens on any socket."""
        self.ticks = collections.deque([began_at], maxlen=RECORDED_TICKS)

    def record_tick(self, now: identifiers.Millis) -> None:
        """Record that the timer of the loop fired; it may fire only once in an iteration of the loop."""
        self.ticks.append(now)

    def earliest_arrival(self) -> identifiers.Millis:
        """Returns the earliest time in ms at which a connection whose protocol is created now can have
        arrived."""
        return self.ticks[0]
