"""Operators' asks at any controller. What a leader left open is asked again of the next; every call ends."""

import basaltport.operator_answers as operator_answers
import basaltport.configuration.routes as routes
import basaltport.messages as messages

CHANGES = ("configure", "reconfigure", "evacuate", "readmit")
READS = ("configuration",)
UNLED = 900
WAIT = 3800
AGAIN = 200
SILENT = 1000
FRESH = 1500


class Call:
    """An ask that waits for a leader's answer; `open`: times it was sent and may still be taken."""

    __slots__ = ("at", "verb", "body", "gen", "next", "open")

    def __init__(self, at, verb, body, open=0):
        self.at = at
        self.verb = verb
        self.body = body
        self.gen = None
        self.next = at
        self.open = open


class DeskMixin(operator_answers.OperatorAnswersMixin):
    """Needs RosterMixin and VoterMixin."""

    def on_asked(self, ev):
        if ev.verb not in CHANGES and ev.verb not in READS:
            self.respond(None, ev.call, 400, {"error": "unknown-verb"})
            return
        if self.leading and self.settled():
            self.serve(None, ev.call, ev.verb, ev.body, ev.now)
            return
        self.calls[ev.call] = Call(self.now, ev.verb, ev.body)
        self.go_on_with(ev.call, self.calls[ev.call])

    def go_on_with(self, c, x):
        if self.leading:
            if self.settled():
                del self.calls[c]
                self.serve(None, c, x.verb, x.body, x.at)
            return
        if self.leader is None or self.now - self.heard_at > FRESH:
            return
        if self.now < x.next and x.gen == self.leader.gen:
            return
        x.gen, x.next = self.leader.gen, self.now + SILENT
        x.open += 1
        self.send(self.leader.addr, messages.Forward(c, self.me.addr, x.verb, x.body))

    def tick_desk(self):
        for c, x in list(self.calls.items()):
            age = self.now - x.at
            if age < (WAIT if x.open or x.gen else UNLED):
                self.go_on_with(c, x)
                continue
            del self.calls[c]
            self.undecided(None, c, x.verb, x.open)
        self.waiting = [w for w in self.waiting if not self.overdue(w, w["at"], 1)]
        self.reads = [r for r in self.reads if not self.overdue(r, r["asked"], 0)]

    def overdue(self, w, at, open):
        """Whether its time is over; then it is answered as undecided."""
        if self.now - at < WAIT:
            return False
        self.undecided(w["src"], w["call"], w["verb"], open)
        return True

    def undecided(self, src, call, verb, open):
        if verb in READS or not open:
            self.respond(src, call, 503, {"error": "no-leader"})
            return
        self.respond(src, call, 504, {"error": "unknown"})

    def hear_reply(self, src, m):
        """A leader that did not take it says 503; one that can't tell, 504: the next one is asked."""
        c = self.calls.get(m.call)
        if c is None:
            return
        if m.status in (503, 504):
            c.open -= m.status == 503
            c.gen, c.next = None, self.now + AGAIN
            return
        del self.calls[m.call]
        self.respond(None, m.call, m.status, m.body)

    def hear_forward(self, src, m):
        self.serve(m.addr, m.call, m.verb, m.body, self.now)

    # the leader's side

    def serve(self, src, call, verb, body, at):
        if not self.leading or not self.settled():
            self.respond(src, call, 503, {"error": "no-leader"})
            return
        if verb in READS:
            self.confirm(src, call, verb, body, at)
            return
        t = self.tip_book
        change = body.get("change")
        if change in t["changes"]:
            self.wait(src, call, verb, body, at, t["changes"][change])
            return
        got = getattr(self, "want_" + verb)(t, body)
        if isinstance(got, tuple):
            if got[0] != 200:
                self.note(40, change=change, status=got[0], findings=got[1].get("findings", [])[:3])
            self.confirm(src, call, verb, body, at, got)
            return
        if change:
            got["change"] = change
        self.wait(src, call, verb, body, at, self.append(got))

    def wait(self, src, call, verb, body, at, serial):
        w = {"src": src, "call": call, "verb": verb, "body": body, "at": at, "serial": serial}
        w["committed"] = self.now if serial <= self.book["serial"] else None
        self.waiting.append(w)
        self.waiting.sort(key=lambda x: x["serial"])
        self.settle()

    def confirm(self, src, call, verb, body, at, got=None):
        """Answered once a majority answers a heartbeat sent after this, and what it rests on is agreed."""
        r = {"n": self.n, "src": src, "call": call, "verb": verb, "body": body, "asked": at}
        self.reads.append({**r, "got": got, "serial": self.tip_book["serial"] if got else 0})
        self.heartbeat_sent_at_ms = -(10**9)

    def serve_read(self, r):
        if r["serial"] > self.book["serial"]:
            self.reads.append(r)
            return
        got = r["got"] or getattr(self, "read_" + r["verb"])(self.book)
        self.respond(r["src"], r["call"], *got)

    def read_configuration(self, b):
        return 200, {"document": b["manifest"], "serial": int(b["mserial"])}

    def acknowledge(self, w):
        self.note(41, serial=int(w["serial"]), change=w["body"].get("change"))
        self.respond(w["src"], w["call"], 200, {"serial": int(w["serial"])})

    def unknown(self, w):
        self.left_open(w, w["at"], 1)

    def left_open(self, w, at, open):
        if w["src"] is None:
            self.calls[w["call"]] = Call(at, w["verb"], w["body"], open)
            return
        self.undecided(w["src"], w["call"], w["verb"], open)

    def leave_reads_open(self):
        """Before this leader steps down: the next one answers its reads."""
        reads, self.reads = self.reads, []
        for r in reads:
            self.left_open(r, r["asked"], 0)

    # changes

    def edition(self, t):
        return (t["manifest"] or {}).get("edition", 0)

    def judged(self, t, body, findings, doc, op):
        if body.get("base") != self.edition(t):
            return 412, {"error": "edition", "edition": self.edition(t)}
        findings = findings or routes.check(doc(), t["manifest"])
        return (400, {"error": "invalid", "findings": findings}) if findings else op

    def want_configure(self, t, body):
        doc = body.get("document")
        return self.judged(t, body, [], lambda: doc, {"op": "manifest", "manifest": doc})

    def want_reconfigure(self, t, body):
        p = body.get("patch")
        fs = routes.check_patch(p)
        return self.judged(t, body, fs, lambda: routes.patch(t["manifest"], p), {"op": "alter", "patch": p})

    def zone_op(self, t, body, op, already):
        z = body.get("zone")
        if not isinstance(z, str) or not z:
            return 400, {"error": "invalid", "findings": [{"place": "zone", "finding": "not a name"}]}
        return (200, {"serial": int(t["serial"])}) if already(z) else {"op": op, "zone": z}

    def want_evacuate(self, t, body):
        return self.zone_op(t, body, "drain", lambda z: z in t["drains"])

    def want_readmit(self, t, body):
        return self.zone_op(t, body, "undrain", lambda z: z not in t["drains"])
