"""Operators' asks at any node: changes and reads go to the leader and its answer comes back."""

import basaltport.configuration.check as check
import basaltport.configuration.patch as patch
import basaltport.events as events
import basaltport.consensus.book as book
import basaltport.consensus.codec as codec
import basaltport.log_events as log_events
import basaltport.messages as messages

CHANGES = ("apply", "patch", "drain", "undrain", "leaving", "platform")
READS = ("show", "history", "status", "members", "replicas", "placement", "change")
WAIT = 6000
AGAIN = 200


def malformed(body):
    """What is wrong with the form of a change, or None."""
    c, s = body.get("change"), body.get("if_serial")
    if c is not None and not (isinstance(c, str) and 0 < len(c) <= 100):
        return "`change` is a string of 1 to 100 characters"
    if s is not None and type(s) is not int:
        return "`if_serial` is a whole number"
    for k in ("zone", "replica"):
        if k in body and not isinstance(body[k], str):
            return f"`{k}` is a string"
    return None


class Call:
    """An ask that waits for a leader's answer."""

    __slots__ = ("at", "verb", "body", "gen", "again", "next")

    def __init__(self, at, verb, body, gen):
        self.at = at
        self.verb = verb
        self.body = body
        self.gen = gen
        self.again = False
        self.next = at


class AskMixin:
    """Any member: forwards to the leader, or says at once that there is none."""

    def desk_start(self):
        self.calls = {}

    def on_asked(self, ev):
        if getattr(self, "leading", False):
            self.serve(None, ev.call, ev.verb, ev.body)
            return
        if self.leader is None or self.now - self.heard_at > 1500:
            self.respond(None, ev.call, 503, {"error": "no-leader", "changed": False, "retry_after_ms": 500})
            return
        if ev.verb == "apply" and ev.body.get("change") not in self.book["changes"]:
            got = check.manifest(ev.body.get("manifest"), self.book["manifest"])
            if got.is_err():
                self.refuse_change(None, ev.call, ev.body.get("change"), 422, got.err_value)
                return
            ev.body["checked"] = True
        self.hint(ev.verb, ev.body)
        self.calls[ev.call] = Call(self.now, ev.verb, ev.body, self.leader.gen)
        self.send(self.leader.addr, messages.Forward(ev.call, self.me.addr, ev.verb, ev.body))

    def hint(self, verb, body):
        if verb not in ("leaving", "drain"):
            return
        m = messages.Leaving(
            str(body.get("replica", "")), str(body.get("zone", "")) if verb == "drain" else ""
        )
        for a in sorted({x["addr"] for x in self.members.values()}):
            self.send(a, m)
        self.hear_leaving(None, m)

    def hear_leaving(self, src, m):
        pass

    def hear_reply(self, src, m):
        c = self.calls.get(m.call)
        if c is None:
            return
        if c.again and m.status == 503:
            c.gen, c.next = None, self.now + AGAIN
            return
        del self.calls[m.call]
        self.respond(None, m.call, m.status, m.body)

    def hear_forward(self, src, m):
        self.serve(m.addr, m.call, m.verb, m.body)

    def tick_desk(self):
        for c, x in list(self.calls.items()):
            change = x.body.get("change")
            if self.now - x.at < WAIT:
                if self.now >= x.next and x.gen != self.heard_gen() and (change or x.verb in READS):
                    self.ask_again(c, x)
                continue
            del self.calls[c]
            if x.verb in READS:
                self.respond(None, c, 503, {"error": "no-answer", "changed": False})
                continue
            self.respond(None, c, 504, {"outcome": "unknown", "change": change, "advice": "ask by change id"})

    def refuse_change(self, src, call, change, status, findings):
        self.note(log_events.Event.CHANGE_REFUSED, change=change, findings=len(findings))
        self.respond(src, call, status, {"outcome": "refused", "change": change, "findings": findings})

    def heard_gen(self):
        return self.leader.gen if self.leader else None

    def ask_again(self, c, x):
        """A new leader is asked what the old one left open; a change's id keeps it from being done twice.
        From then on a leader's word that it changed nothing is not the whole truth."""
        if getattr(self, "leading", False):
            if self.settled():
                del self.calls[c]
                self.serve(None, c, x.verb, x.body)
            return
        if self.leader is None:
            return
        x.gen, x.again = self.leader.gen, True
        self.send(self.leader.addr, messages.Forward(c, self.me.addr, x.verb, x.body))

    def respond(self, src, call, status, body):
        if src is None:
            self.emit(events.Answer(call, status, body))
            return
        self.send(src, messages.Reply(call, status, body))

    def serve(self, src, call, verb, body):
        self.respond(src, call, 503, {"error": "no-leader", "changed": False, "retry_after_ms": 500})


class DeskMixin(AskMixin):
    """The leader's side. Needs LeadMixin."""

    def serve(self, src, call, verb, body):
        if not self.leading or not self.settled():
            super().serve(src, call, verb, body)
            return
        if verb in READS:
            self.reads.append({"n": self.n, "src": src, "call": call, "verb": verb, "body": body})
            self.beat_at = -(10**9)
            return
        self.change(src, call, verb, body)

    def change(self, src, call, verb, body):
        t = self.tip_book
        change = body.get("change")
        w = {"src": src, "call": call, "change": change, "committed": None}
        if change in t["changes"]:
            w["serial"] = t["changes"][change]
            w["committed"] = self.now if w["serial"] <= self.book["serial"] else None
            self.waiting.append(w)
            self.waiting.sort(key=lambda x: x["serial"])
            self.settle()
            return
        got = getattr(self, "want_" + verb)(t, body)
        if isinstance(got, tuple):
            self.refuse_change(src, call, change, *got)
            return
        if change:
            got["change"] = change
        w["serial"] = self.append(got)
        self.waiting.append(w)

    def want_apply(self, t, body):
        return self.manifest_op(
            t, body, body.get("manifest"), {"op": "manifest", "manifest": body.get("manifest")}
        )

    def want_patch(self, t, body):
        p = body.get("patch")
        if not isinstance(p, dict):
            return 422, [{"place": "", "finding": "a merge patch is an object"}]
        return self.manifest_op(t, body, patch.merge(t["manifest"] or {}, p), {"op": "patch", "patch": p})

    def manifest_op(self, t, body, manifest, op):
        want = body.get("if_serial")
        if want is not None and want != t["mserial"]:
            return 409, [
                {"place": "if_serial", "finding": f"the manifest is at serial {t['mserial']}, not {want}"}
            ]
        if body.get("checked"):
            return op
        got = check.manifest(manifest, t["manifest"])
        return op if got.is_ok() else (422, got.err_value)

    def known_zone(self, t, body):
        z = body.get("zone")
        if z in ((t["manifest"] or {}).get("zones") or {}):
            return None
        return 422, [{"place": "zone", "finding": f"no zone {z!r} in the manifest"}]

    def want_drain(self, t, body):
        return self.known_zone(t, body) or {"op": "drain", "zone": body["zone"]}

    def want_undrain(self, t, body):
        return self.known_zone(t, body) or {"op": "undrain", "zone": body["zone"]}

    def want_leaving(self, t, body):
        if body.get("replica") not in t["platform"]:
            return 422, [{"place": "replica", "finding": f"no replica {body.get('replica')!r} in the list"}]
        return {"op": "leaving", "replica": body["replica"]}

    def want_platform(self, t, body):
        got = check.platform(body.get("replicas"))
        return {"op": "platform", "replicas": got.ok_value} if got.is_ok() else (422, got.err_value)

    def acknowledge(self, w):
        b = {"outcome": "acknowledged", "serial": int(w["serial"]), "change": w["change"]}
        self.note(log_events.Event.CHANGE_ACKNOWLEDGED, serial=int(w["serial"]), change=w["change"])
        self.respond(w["src"], w["call"], 200, b)

    def unknown(self, w):
        self.respond(w["src"], w["call"], 504, {"outcome": "unknown", "change": w["change"]})

    def serve_read(self, r):
        status, body = getattr(self, "read_" + r["verb"])(self.book, r["body"])
        self.respond(r["src"], r["call"], status, body)

    def read_show(self, b, q):
        return 200, {"serial": b["mserial"], "manifest": b["manifest"]}

    def read_history(self, b, q):
        return 200, {"history": [codec.encode_history_record(row) for row in b.history]}

    def read_change(self, b, q):
        c = q.get("change")
        if c in b["changes"]:
            return 200, {"outcome": "acknowledged", "serial": b["changes"][c], "change": c}
        return 404, {"outcome": "unheard", "change": c}

    def read_status(self, b, q):
        return 200, {
            "serial": b["serial"],
            "manifest_serial": b["mserial"],
            "generation": list(book.gen(b)),
            "leader": self.me.name,
            "seats": len(b["roster"]),
            "ledgers": len(b["ledgers"]),
            "drains": sorted(b["drains"]),
            "leaving": sorted(b["leaving"]),
            "duties": {
                k: b["roster"].get(d["owner"], {}).get("name", "lost") for k, d in b["duties"].items()
            },
            "digest": book.digest(b),
        }

    def read_members(self, b, q):
        rows = []
        for s, r in sorted(b["roster"].items(), key=lambda x: x[1]["name"]):
            e = self.echoes.get(s)
            rows.append(
                {**r, "live": self.quiet(s) < 1500, "ledger": s in b["ledgers"], "applied": e[2] if e else 0}
            )
        return 200, {"members": rows}

    def read_replicas(self, b, q):
        rows = []
        for k, r in sorted(b["platform"].items()):
            st = {"draining": r["zone"] in b["drains"], "leaving": k in b["leaving"]}
            rows.append({"replica": k, **r, **st, **self.cell_row(r["zone"], k)})
        return 200, {"replicas": rows}

    def read_placement(self, b, q):
        out = {}
        for k, r in sorted(b["platform"].items()):
            for i, h in sorted(self.cell_row(r["zone"], k).get("held", {}).items()):
                out.setdefault(i, []).append({"replica": k, "zone": r["zone"], "state": h})
        return 200, {"placement": out}
