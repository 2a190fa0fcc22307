"""Bounded lines. Urgent lines are served first by stride, senders of a line in turn: nobody starves."""

import collections

STRIDE = 1 << 20


class Line:
    __slots__ = ("name", "turns", "size", "mark", "urgency")

    def __init__(self, name, urgency, mark):
        self.name = name
        self.urgency = urgency
        self.turns = collections.OrderedDict()
        self.size = 0
        self.mark = mark

    def put(self, q, front=False):
        d = self.turns.get(q.sender)
        if d is None:
            d = self.turns[q.sender] = collections.deque()
        if front:
            d.appendleft(q)
        else:
            d.append(q)
        self.size += 1

    def drop(self, q):
        d = self.turns.get(q.sender)
        if d is None or q not in d:
            return
        d.remove(q)
        self.size -= 1
        if not d:
            del self.turns[q.sender]

    def take(self, fit):
        """The next query, senders in turn, that `fit` accepts."""
        for s in list(self.turns):
            d = self.turns[s]
            for q in d:
                if not fit(q):
                    continue
                d.remove(q)
                self.size -= 1
                self.turns.move_to_end(s)
                if not d:
                    del self.turns[s]
                return q
        return None

    def __iter__(self):
        for d in self.turns.values():
            yield from d


class Lines:
    """All lines of a rostrum."""

    def __init__(self):
        self.by_name = {}
        self.clock = 0

    def line(self, name, urgency):
        n = self.by_name.get(name)
        if n is None:
            n = self.by_name[name] = Line(name, urgency, self.clock)
        n.urgency = urgency
        return n

    def put(self, q, front=False):
        n = self.line(q.line, q.rule.urgency)
        if n.size == 0:
            n.mark = max(n.mark, self.clock)
        n.put(q, front)

    def drop(self, q):
        n = self.by_name.get(q.line)
        if n:
            n.drop(q)

    def size(self, name):
        n = self.by_name.get(name)
        return n.size if n else 0

    def total(self):
        return sum(n.size for n in self.by_name.values())

    def take(self, fit):
        for n in sorted(
            (n for n in self.by_name.values() if n.size), key=lambda n: (n.mark, -n.urgency, n.name)
        ):
            q = n.take(fit)
            if q is None:
                continue
            self.clock = max(self.clock, n.mark)
            n.mark += STRIDE >> n.urgency
            return q
        return None

    def __iter__(self):
        for n in self.by_name.values():
            yield from n
