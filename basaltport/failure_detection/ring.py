"""Heartbeats round a ring: each member pulses to a few watchers, who tell the leader whom they miss."""

import bisect
import functools
import hashlib

import basaltport.messages as messages

WATCHERS = 3
PULSE = 300
MISSED = 1200
GAP = 400
VOICE = 900


@functools.cache
def place(seat):
    return hashlib.blake2b(seat.encode(), digest_size=8).digest()


def watchers(seat, roster):
    """The seats that follow on the ring."""
    ring = sorted(roster, key=place)
    if seat not in roster:
        return []
    i = ring.index(seat)
    return [ring[(i + k) % len(ring)] for k in range(1, min(WATCHERS, len(ring) - 1) + 1)]


def after(point, names, n):
    """The names that follow a point on the ring."""
    ring = sorted(names, key=place)
    i = bisect.bisect([place(x) for x in ring], place(point))
    return [ring[(i + k) % len(ring)] for k in range(min(n, len(ring)))]


class RingMixin:
    """Needs SeatMixin. A watcher that itself stood still begins anew instead of accusing."""

    def ring_start(self):
        self.pulse_n = 0
        self.pulse_at = -(10**9)
        self.ring_at = self.now
        self.pulses = {}
        self.voices = {}

    def tick_ring(self):
        if self.now - self.ring_at > GAP:
            self.pulses = {}
        self.ring_at = self.now
        if self.now - self.pulse_at < PULSE:
            return
        self.pulse_at = self.now
        self.pulse_n += 1
        roster = self.book["roster"]
        for s in watchers(self.me.seat, roster):
            self.send(self.addr_of(s), messages.Pulse(self.me.seat, self.pulse_n))
        for s in roster:
            if self.me.seat not in watchers(s, roster):
                continue
            if self.now - self.pulses.setdefault(s, self.now) > MISSED:
                self.accuse(s)

    def accuse(self, s):
        if getattr(self, "leading", False):
            self.hear_suspect("", messages.Suspect(self.me.seat, s))
        elif self.leader:
            self.send(self.leader.addr, messages.Suspect(self.me.seat, s))

    def hear_pulse(self, src, m):
        self.pulses[m.seat] = self.now

    def hear_suspect(self, src, m):
        self.voices.setdefault(m.of, {})[m.seat] = self.now

    def missed_by(self, s):
        """How many watchers miss a seat just now."""
        vs = self.voices.get(s, {})
        return sum(1 for at in vs.values() if self.now - at < VOICE)
