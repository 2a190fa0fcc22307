"""Shares of limits that hold over all nodes, kept by each node for itself without asking."""

import collections

import basaltport.rendezvous as rendezvous
import basaltport.identifiers as identifiers

STEP_MS = 250
SECOND_MS = 1000


class Window:
    """Counts over a sliding span of ms, in steps that only ever overcount."""

    __slots__ = ("span", "steps", "sum")

    def __init__(self, span: int) -> None:
        """`span`: ms."""
        self.span = span
        self.steps: collections.deque[list[int]] = collections.deque()
        self.sum = 0

    def add(self, now: identifiers.Millis, number: int = 1) -> None:
        """So many more."""
        step = now // STEP_MS
        if self.steps and self.steps[-1][0] == step:
            self.steps[-1][1] += number
        else:
            self.steps.append([step, number])
        self.sum += number

    def count(self, now: identifiers.Millis) -> int:
        """How many there were within the span; what is past is let go of."""
        first = self.first_step(now)
        while self.steps and self.steps[0][0] < first:
            self.sum -= self.steps.popleft()[1]
        return self.sum

    def peek(self, now: identifiers.Millis) -> int:
        """As `count`, without letting go of what is past."""
        first = self.first_step(now)
        return sum(number for step, number in self.steps if step >= first)

    def first_step(self, now: identifiers.Millis) -> int:
        """The oldest step of which a part is within the span."""
        return (now - self.span) // STEP_MS


class Retries:
    """Further attempts at one service: a part of the ratio of own first ones, and a share of the slack.

    After a start the slack is not used for one window, since what was spent before it is not remembered.
    `reserved`: attempts that were promised a part and have not gone yet.
    """

    SAFE = 0.75

    def __init__(self, now: identifiers.Millis, ratio: float, window: int, slack: float) -> None:
        """`window`: ms; `slack`: of all nodes together."""
        self.ratio = ratio
        self.slack = slack
        self.slack_from = now + window
        self.reserved = 0
        self.firsts = Window(window)
        self.further = Window(window + STEP_MS)

    def first(self, now: identifiers.Millis) -> None:
        """A request for the service came."""
        self.firsts.add(now)

    def allowed(self, now: identifiers.Millis, nodes: int, firsts: int) -> float:
        """Further attempts that this node may make in a window with so many first ones."""
        slack = self.slack / max(1, nodes) if now >= self.slack_from else 0
        return self.SAFE * (self.ratio * firsts + slack)

    def room(self, now: identifiers.Millis, nodes: int) -> bool:
        """Whether one more further attempt may be made."""
        allowed = self.allowed(now, nodes, self.firsts.count(now))
        return allowed >= self.further.count(now) + self.reserved + 1

    def left(self, now: identifiers.Millis, nodes: int) -> int:
        """How many more there may be; changes nothing."""
        allowed = self.allowed(now, nodes, self.firsts.peek(now))
        return max(0, int(allowed - self.further.peek(now) - self.reserved))

    def spend(self, now: identifiers.Millis) -> None:
        """A further attempt goes."""
        self.further.add(now)


class Cold:
    """What a cold replica may be sent by one node in a second.

    All nodes together keep within `total`. Where a share would be under LEAST, only some nodes send: those
    that a hash of node and replica names.
    """

    SAFE = 0.7
    LEAST = 3
    HASHES = 2**64

    def __init__(self) -> None:
        """Nothing was sent yet."""
        self.sent = Window(SECOND_MS)

    @classmethod
    def share(cls, total: float, nodes: int, name: str, replica: str) -> int:
        """Of `total` requests a second, those that the node of this name may send to a replica."""
        total = cls.SAFE * total
        nodes = max(1, nodes)
        each = int(total / nodes)
        if each >= cls.LEAST:
            return each
        some = total / cls.LEAST / nodes
        return cls.LEAST if rendezvous.weight(replica, name) / cls.HASHES < some / 2 else 0

    def room(self, now: identifiers.Millis, share: int) -> bool:
        """Whether one more may be sent now."""
        return self.sent.count(now) < share
