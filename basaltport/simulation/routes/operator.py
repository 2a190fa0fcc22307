"""The operator: changes sent to any keeper until there is a clear answer, and what was answered."""

import basaltport.events as events

LINK_MS = 12
SILENT = 1000
AGAIN = 150
CLEAR = (200, 400, 409, 412)


class Change:
    def __init__(self, id, verb, body, until):
        self.id, self.verb, self.body, self.until = id, verb, body, until
        self.status, self.asks, self.then, self.asked = None, 0, None, ""


class OperatorMixin:
    """The world's operators. `acked`: what stands acknowledged."""

    def operator_start(self):
        self.changes, self.change_of = {}, {}
        self.edition, self.last_edition = 0, 0

    def ask(self, name, verb, **body):
        """A call's id. It arrives later, so that whoever asked knows the id before the answer comes."""
        self.n += 1
        call = f"c{self.n}"
        self.answers[call] = None
        node = self.nodes[name]
        asked = events.Asked(self.now, call, verb, body)
        self.later(self.rng.randrange(1, LINK_MS), self.give, node, node.incarnation, asked)
        return call

    def order_change(self, verb, then=None, ms=60_000, **body):
        """Sends a change; `then(status)` once there is a clear answer."""
        c = Change(f"c{len(self.changes) + 1}", verb, body, self.now + ms)
        c.then = then
        self.changes[c.id] = c
        self.log(
            "change",
            change=c.id,
            verb=verb,
            zone=body.get("zone"),
            base=body.get("base"),
            edition=self.last_edition,
        )
        self.send_change(c)
        return c

    def send_change(self, c, pause=AGAIN):
        if c.status is not None:
            return
        if self.now > c.until:
            c.status = 0
            self.log("unclear", change=c.id)
            return
        up = [n for n in self.core_nodes() if n.member]
        if not up:
            self.later(pause, self.send_change, c, min(1000, pause * 2))
            return
        c.asked = self.rng.choice([n.name for n in up if n.name != c.asked] or [c.asked])
        call = self.ask(c.asked, c.verb, change=c.id, **c.body)
        self.change_of[call] = c
        c.asks += 1
        self.later(SILENT, self.silent, c, call, pause)

    def silent(self, c, call, pause):
        if self.answers[call] is None:
            self.change_of.pop(call, None)
            self.send_change(c, min(1000, pause * 2))

    def do_answer(self, n, e):
        super().do_answer(n, e)
        c = self.change_of.pop(e.call, None)
        if c is None or c.status is not None:
            return
        if e.status not in CLEAR:
            self.later(AGAIN, self.send_change, c)
            return
        c.status = e.status
        self.log("answer", change=c.id, verb=c.verb, status=e.status, zone=c.body.get("zone"))
        if c.verb == "configure" and e.status == 200:
            self.edition = max(self.edition, c.body["document"]["edition"])
        if c.then:
            c.then(e.status)

    # changes

    def configure(self, base=None, then=None):
        """A whole configuration of the next edition, on top of the last known one."""
        self.last_edition = max(self.last_edition, self.edition) + self.rng.randrange(1, 4)
        doc = self.document(self.last_edition, f"c{len(self.changes) + 1}")
        return self.order_change("configure", then, base=self.edition if base is None else base, document=doc)

    def race(self):
        """Two operators build on the same edition."""
        base = self.edition
        return [self.configure(base), self.configure(base)]

    def evacuate(self, zone, then=None):
        return self.order_change("evacuate", then, 4000, zone=zone)

    def readmit(self, zone, then=None):
        return self.order_change("readmit", then, 4000, zone=zone)

    def must(self, send, ms=20_000):
        """Runs until a change is acknowledged."""
        c = send()
        if self.until(lambda: c.status is not None, ms) is None or c.status != 200:
            self.log("not-acked", change=c.id, verb=c.verb, status=c.status or 0)
        return c

    def read_back(self, ms=15_000):
        """The configuration as a keeper reads it back, or None."""
        end = self.now + ms
        while self.now < end:
            up = [n.name for n in self.core_nodes() if n.member and not n.frozen]
            c = up and self.ask(self.rng.choice(up), "configuration")
            if (
                c
                and self.until(lambda c=c: self.answers[c], SILENT) is not None
                and self.answers[c][0] == 200
            ):
                return self.answers[c][1]["document"]
            self.run(100)
        return None
