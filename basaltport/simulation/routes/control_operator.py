"""Operators that ask every controller: reads, repeats of changes, races, and answers that are lost."""

import typing

import basaltport.events as events
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.operator as operator
import basaltport.simulation.routes.operator_rows as operator_rows

CallId = str
LONG_NAME = 990


class ControlOperatorMixin(operator.OperatorMixin):
    """Comes before the world. `lost_replies`: share of answers that are lost; `reader`, `writer`: which loop
    of reads or changes goes on, 0 where none does; `padding`: further routes of two kilobytes each."""

    def operator_start(self) -> None:
        """Nobody reads, and no answer is lost."""
        super().operator_start()
        self.read_of: dict[CallId, str] = {}
        self.repeat_of: dict[CallId, operator.Change] = {}
        self.read_count = 0
        self.lost_replies = 0.0
        self.reader = self.writer = self.loops = 0
        self.padding = 0

    def do_answer(self, node: nodes.Node, effect: events.Answer) -> None:
        """An answer, unless it is lost."""
        if self.rng.random() < self.lost_replies:
            self.record(operator_rows.ReplyLost, effect.call)
            return
        super().do_answer(node, effect)
        if effect.call in self.read_of:
            self.end_read(self.read_of.pop(effect.call), effect.status, effect.body)
        if effect.call in self.repeat_of:
            change = self.repeat_of.pop(effect.call)
            self.record(operator_rows.Repeat, change.id, effect.status, node.name)

    def lose_replies(self, share: float) -> None:
        """From now on this share of answers is lost."""
        self.lost_replies = share
        self.record(operator_rows.RepliesLost, share > 0)

    # reads

    def up_members(self) -> list[str]:
        """Controllers that run."""
        return [node.name for node in self.core_nodes() if node.member]

    def read_at(self, name: str) -> None:
        """One read of the configuration at this controller."""
        self.read_count += 1
        read = f"read-{self.read_count}"
        self.record(operator_rows.Read, read, name)
        call = self.ask(name, "configuration")
        self.read_of[call] = read
        self.later(operator.NO_ANSWER_MS, self.forget_read, call)

    def forget_read(self, call: CallId) -> None:
        """Whoever reads waits no longer."""
        self.read_of.pop(call, None)

    def end_read(self, read: str, status: int, body: dict[str, typing.Any]) -> None:
        """A read has its answer."""
        document = (body.get("document") if status == operator.ACKNOWLEDGED else None) or {}
        edition, change = document.get("edition", 0), document.get("by")
        self.record(operator_rows.ReadEnd, read, status, edition, change)

    def keep_reading(self, every_ms: int) -> None:
        """Reads at one controller after another, until `stop_operators`."""
        self.loops += 1
        self.reader = self.loops
        self.next_read(every_ms, self.reader, 0)

    def next_read(self, every_ms: int, loop: int, turn: int) -> None:
        """The next read of a loop, unless that was stopped."""
        if self.reader != loop:
            return
        names = self.up_members()
        if names:
            self.read_at(names[turn % len(names)])
        self.later(every_ms, self.next_read, every_ms, loop, turn + 1)

    def stop_operators(self) -> None:
        """Ends the loops of reads and changes."""
        self.reader = self.writer = 0

    # changes

    def document(self, edition: int, change: str) -> dict[str, typing.Any]:
        """The configuration, with as many further routes as `padding` says."""
        document = super().document(edition, change)
        plain = document["routes"][-1]
        for i in range(self.padding):
            name = f"{i}".rjust(LONG_NAME, "x")
            document["routes"].append({**plain, "name": name, "prefix": f"/{name}/"})
        return document

    def keep_writing(self, pause_ms: int) -> None:
        """One change after another, each once the one before has a clear answer, until `stop_operators`."""
        self.loops += 1
        self.writer = self.loops
        self.next_write(pause_ms, self.writer)

    def next_write(self, pause_ms: int, loop: int) -> None:
        """The next change of a loop, unless that was stopped."""
        if self.writer == loop:
            self.configure(then=lambda status: self.later(pause_ms, self.next_write, pause_ms, loop))

    def rivals(self, count: int) -> list[operator.Change]:
        """So many operators send different changes under one number on the newest known edition."""
        number, base = max(self.last_edition, self.edition) + 1, self.edition
        self.last_edition = number
        changes = []
        for _ in range(count):
            document = self.document(number, f"c{len(self.changes) + 1}")
            changes.append(self.order_change("configure", base=base, document=document))
        return changes

    def repeat(self, change: operator.Change, name: str) -> None:
        """The change is sent again as it was, to this controller."""
        call = self.ask(name, change.verb, change=change.id, **change.body)
        self.repeat_of[call] = change

    def repeat_everywhere(self, change: operator.Change) -> None:
        """The change is sent again to every controller that runs."""
        for name in self.up_members():
            self.repeat(change, name)
