"""Operators that ask every control machine: reads, repeats of changes, races, and answers that are lost."""

import typing

import basaltport.simulation.routes.operator as routeoperator

CallId = str


class Operators(typing.Protocol):
    """What the mixin needs of its world."""

    now: int
    rng: typing.Any
    answers: dict[CallId, typing.Any]
    edition: int
    last_edition: int

    def log(self, k: str, **fields: object) -> None: ...
    def later(self, ms: int, call: typing.Callable, *args: object) -> None: ...
    def ask(self, name: str, verb: str, **body: object) -> CallId: ...
    def core_nodes(self) -> list: ...


class ControlOperatorMixin:
    """Comes before the world, which has `OperatorMixin`. `lost_replies`: share of answers that are lost;
    `reader`, `writer`: which loop of reads or changes goes on; 0 where none does."""

    def operator_start(self):
        super().operator_start()
        self.read_of: dict[CallId, str] = {}
        self.repeat_of: dict[CallId, routeoperator.Change] = {}
        self.read_count = 0
        self.lost_replies = 0.0
        self.reader = self.writer = self.loops = 0
        self.padding = 0

    def do_answer(self, n, e):
        if self.rng.random() < self.lost_replies:
            self.log("reply-lost", call=e.call)
            return
        super().do_answer(n, e)
        if e.call in self.read_of:
            self.end_read(self.read_of.pop(e.call), e.status, e.body)
        if e.call in self.repeat_of:
            change = self.repeat_of.pop(e.call)
            self.log("repeat", change=change.id, status=e.status, node=n.name)

    def lose_replies(self, share: float) -> None:
        self.lost_replies = share
        self.log("replies-lost", on=share > 0)

    # reads

    def up_members(self) -> list[str]:
        return [n.name for n in self.core_nodes() if n.member]

    def read_at(self, name: str) -> None:
        """One read of the configuration at this control machine."""
        self.read_count += 1
        read = f"read-{self.read_count}"
        self.log("read", read=read, node=name)
        call = self.ask(name, "configuration")
        self.read_of[call] = read
        self.later(routeoperator.SILENT, self.forget_read, call)

    def forget_read(self, call: CallId) -> None:
        self.read_of.pop(call, None)

    def end_read(self, read: str, status: int, body: dict) -> None:
        document = (body.get("document") if status == 200 else None) or {}
        edition, change = document.get("edition", 0), document.get("by")
        self.log("read-end", read=read, status=status, edition=edition, change=change)

    def keep_reading(self, every_ms: int) -> None:
        """Reads at one control machine after another, until `stop_operators`."""
        self.loops += 1
        self.reader = self.loops
        self.next_read(every_ms, self.reader, 0)

    def next_read(self, every_ms: int, loop: int, turn: int) -> None:
        if self.reader != loop:
            return
        names = self.up_members()
        if names:
            self.read_at(names[turn % len(names)])
        self.later(every_ms, self.next_read, every_ms, loop, turn + 1)

    def stop_operators(self) -> None:
        self.reader = self.writer = 0

    # changes

    def document(self, edition, by):
        """With `padding` further routes of two kilobytes each."""
        document = super().document(edition, by)
        plain = document["routes"][-1]
        for i in range(self.padding):
            long = f"{i}".rjust(990, "x")
            document["routes"].append({**plain, "name": long, "prefix": f"/{long}/"})
        return document

    def keep_writing(self, pause_ms: int) -> None:
        """One change after another, each once the one before has a clear answer, until `stop_operators`."""
        self.loops += 1
        self.writer = self.loops
        self.next_write(pause_ms, self.writer)

    def next_write(self, pause_ms: int, loop: int) -> None:
        if self.writer == loop:
            self.configure(then=lambda status: self.later(pause_ms, self.next_write, pause_ms, loop))

    def rivals(self, count: int) -> list[routeoperator.Change]:
        """So many operators send different changes under one number on the newest known edition."""
        number, base = max(self.last_edition, self.edition) + 1, self.edition
        self.last_edition = number
        out = []
        for _ in range(count):
            document = self.document(number, f"c{len(self.changes) + 1}")
            out.append(self.order_change("configure", base=base, document=document))
        return out

    def repeat(self, change: routeoperator.Change, name: str) -> None:
        """The change is sent again as it was, to this control machine."""
        call = self.ask(name, change.verb, change=change.id, **change.body)
        self.repeat_of[call] = change

    def repeat_everywhere(self, change: routeoperator.Change) -> None:
        for name in self.up_members():
            self.repeat(change, name)
