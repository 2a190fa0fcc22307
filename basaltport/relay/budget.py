"""Shares of limits that hold over all nodes, kept by each node for itself without asking."""

import collections

import basaltport.failure_detection.duties as duties

STEP = 250


class Window:
    """Counts over a sliding span of ms, in steps that only ever overcount."""

    __slots__ = ("span", "steps", "sum")

    def __init__(self, span):
        self.span = span
        self.steps = collections.deque()
        self.sum = 0

    def add(self, now, n=1):
        k = now // STEP
        if self.steps and self.steps[-1][0] == k:
            self.steps[-1][1] += n
        else:
            self.steps.append([k, n])
        self.sum += n

    def count(self, now):
        old = (now - self.span) // STEP
        while self.steps and self.steps[0][0] < old:
            self.sum -= self.steps.popleft()[1]
        return self.sum


class Retries:
    """Further attempts at one service: a part of the ratio of own first ones, and a share of the slack.

    After a start the slack is not used for one window, since what was spent before it is not remembered.
    """

    SAFE = 0.75

    def __init__(self, now, ratio, window, slack):
        self.ratio = ratio
        self.slack = slack
        self.slack_from = now + window
        self.firsts = Window(window)
        self.more = Window(window + STEP)
        self.reserved = 0

    def first(self, now):
        self.firsts.add(now)

    def room(self, now, nodes):
        slack = self.slack / max(1, nodes) if now >= self.slack_from else 0
        return (
            self.SAFE * (self.ratio * self.firsts.count(now) + slack)
            >= self.more.count(now) + self.reserved + 1
        )

    def reserve(self) -> None:
        """Sets one further attempt aside for a request that waits until a replica takes it."""
        self.reserved += 1

    def release(self) -> None:
        """Gives back what was set aside, whether or not it is spent now."""
        self.reserved -= 1

    def spend(self, now):
        self.more.add(now)


class Cold:
    """What a cold replica may be sent by one node in a second.

    All nodes together keep within `total`. Where a share would be under LEAST, only some nodes send: those
    that a hash of node and replica names.
    """

    SAFE = 0.7
    LEAST = 3

    def __init__(self):
        self.sent = Window(1000)

    @classmethod
    def share(cls, total, nodes, name, replica):
        total = cls.SAFE * total
        nodes = max(1, nodes)
        each = int(total / nodes)
        if each >= cls.LEAST:
            return each
        some = total / cls.LEAST / nodes
        return cls.LEAST if duties.weight(replica, name) / 2**64 < some / 2 else 0

    def room(self, now, share):
        return self.sent.count(now) < share
