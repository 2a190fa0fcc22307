"""The simulator's senders, streamed replies on the way to them, and crowds by a demand document."""

import random

import basaltport.query_api.events as events

PIECES = 4


class SenderMixin:
    """Needs World and BackendMixin."""

    def sender_start(self):
        self.queries = {}
        self.sent_n = 0

    # streams: the replica's lines, read by the daemons' own reader of them

    def stream_start(self, n, incarnation, r, e, st, ms):
        words = [f"{e.body['prompt']}.{i}" for i in range(PIECES)]
        lines = [{"dispatch": e.attempt_id, "n": i, "piece": w} for i, w in enumerate(words)]
        lines.append({"dispatch": e.attempt_id, "end": True, "pieces": PIECES})
        if r.mode == "torn":
            self.tear(lines)
        at = 0
        for i, doc in enumerate(lines):
            at += int(ms / PIECES) + 1
            self.later(
                at, self.stream_there, n, incarnation, r, r.incarnation, e, st, doc, i == len(lines) - 1
            )

    def tear(self, lines):
        """What a replica at fault may say: a line lost, said twice, of another run, or too many counted."""
        i = self.rng.randrange(PIECES)
        x = self.rng.randrange(4)
        if x == 0:
            del lines[i]
        elif x == 1:
            lines.insert(i, lines[i])
        elif x == 2:
            lines[i] = {**lines[i], "dispatch": "other.1", "piece": "other"}
        else:
            lines[-1] = {**lines[-1], "pieces": PIECES + 1}

    def stream_there(self, n, incarnation, r, rlife, e, st, doc, last):
        if last and r.incarnation == rlife:
            r.logic.finish(self.now, e.attempt_id)
        if st["over"]:
            return
        if r.incarnation != rlife:
            self.later(
                self.hop(),
                self.back,
                n,
                incarnation,
                e,
                st,
                events.AttemptEnded(self.now, e.attempt_id, "broken"),
            )
            return
        if r.mode not in ("up", "sick", "torn") or (r.rid, n.name) in self.cuts:
            return
        st["at"] = max(st["at"], self.now + self.hop())
        self.at(st["at"], self.stream_here, n, incarnation, e, st, doc)

    def stream_here(self, n, incarnation, e, st, doc):
        """Lines of one wire come in their order."""
        if doc is not None:
            st["inbox"].append(doc)
        if n.frozen:
            self.later(50, self.stream_here, n, incarnation, e, st, None)
            return
        while (
            st["inbox"]
            and not st["over"]
            and n.incarnation == incarnation
            and e.attempt_id not in self.abandoned
        ):
            self.stream_line(n, incarnation, e, st, st["inbox"].pop(0))

    def stream_line(self, n, incarnation, e, st, doc):
        try:
            kind, i, piece = st["said"].take(doc)
        except ValueError:
            self.back(n, incarnation, e, st, events.AttemptEnded(self.now, e.attempt_id, "broken"))
            return
        q = self.queries[e.request_id]
        if kind == "piece":
            st["pieces"] += 1
            q["pieces"].append(piece)
            self.log("piece", query=e.request_id, prompt=q["prompt"], n=i, piece=piece, run=e.attempt_id)
            return
        kept = {"pieces": list(q["pieces"])} if e.keep_response else None
        self.closed(e.request_id, "done", 200, {"reply": e.body["prompt"], "pieces": i})
        self.back(
            n, incarnation, e, st, events.AttemptEnded(self.now, e.attempt_id, "done", 200, response=kept)
        )

    def do_repeat_response(self, n, e):
        q = self.queries[e.request_id]
        if "pieces" not in e.response:
            self.closed(e.request_id, "done", e.status, {"reply": e.response["reply"]})
            return
        for i, x in enumerate(e.response["pieces"]):
            self.log("piece", query=e.request_id, prompt=q["prompt"], n=i, piece=x, run="kept")
        self.closed(
            e.request_id, "done", e.status, {"reply": q["prompt"], "pieces": len(e.response["pieces"])}
        )

    # senders

    def send_query(self, line, model, adapter="", token="", once=False, deadline=-1, node=None, **kw):
        """`key` and `prompt` make it a repeat of another; `stream` asks for a reply in pieces."""
        self.sent_n += 1
        prompt = kw.get("prompt") or f"p{self.sent_n}"
        key = kw.get("key", "")
        live = [n for n in self.nodes.values() if n.role == "rostrum" and n.member is not None]
        live = [n for n in live if not n.stopping]
        q = {
            "prompt": prompt,
            "line": line,
            "once": once,
            "at": int(self.now),
            "outcome": "",
            "code": "",
            "sender": token,
        }
        q.update(pieces=[], key=key)
        n = self.nodes[node] if node else (self.rng.choice(live) if live else None)
        q["id"] = qid = f"q{self.sent_n}"
        self.queries[qid] = q
        if n is None or n.member is None:
            q["outcome"] = "no-node"
            return q
        q["node"] = n.name
        body = {"model": model, "prompt": prompt}
        if adapter:
            body["adapter"] = adapter
        if kw.get("stream"):
            body["stream"] = True
        tell = {"key": key} if key else {}
        self.log("query", query=qid, prompt=prompt, line=line, once=once, node=n.name, **tell)
        self.give(n, n.incarnation, events.RequestArrived(self.now, qid, line, token, body, deadline, key))
        return q

    def go_away(self, qid):
        """A sender hangs up."""
        q = self.queries[qid]
        if q["outcome"]:
            return
        n = self.nodes[q["node"]]
        q["gone"] = True
        self.closed(qid, "gone", 0, {})
        self.give(n, n.incarnation, events.ClientGone(self.now, qid))

    def closed(self, qid, outcome, status, body):
        q = self.queries[qid]
        if q.get("gone") and q["outcome"]:
            return
        if q["outcome"]:
            self.log("twice-closed", query=qid, was=q["outcome"], now=outcome)
            return
        q.update(outcome=outcome, code=body.get("error", ""), status=status, end=int(self.now), body=body)
        tell = (
            {k: body[k] for k in ("reply", "pieces") if k in body}
            if outcome == "done"
            else {"retry": body.get("retry_after_ms", 0)}
        )
        self.log("end", query=qid, prompt=q["prompt"], outcome=outcome, code=q["code"], status=status, **tell)

    def do_final_answer(self, n, e):
        self.closed(e.request_id, "refused" if e.body["ran"] == "no" else "unknown", e.status, e.body)

    def cut_senders(self, n):
        for q in self.queries.values():
            if q.get("node") == n.name and not q["outcome"]:
                self.closed(q["id"], "cut", 0, {})


class Crowd:
    """Open-loop senders by a demand document, on the world's time."""

    def __init__(self, world, demand, manifest, hashes, seed):
        self.world = world
        self.demand = demand
        self.manifest = manifest
        self.hashes = hashes
        self.rng = random.Random(seed)
        self.on = False
        self.factor = {}
        self.keyed = 0.3
        self.leave = 0.02

    def start(self):
        self.on = True
        self.since = self.world.now
        for line in self.demand["lines"]:
            self.next(line)

    def stop(self):
        self.on = False

    def next(self, line):
        d = self.demand["lines"][line]
        rate = d["rate"] * self.factor.get(line, 1)
        self.world.later(max(1, int(self.rng.expovariate(rate) * 1000)), self.one, line)

    def one(self, line):
        if not self.on:
            return
        d = self.demand["lines"][line]
        item = self.rng.choice(d["items"])
        model, _, adapter = item.partition("/")
        sender = self.rng.choice(sorted(d["senders"]))
        once = self.manifest["lines"][line]["once_only"]
        kw = {"stream": True} if d.get("stream") and self.rng.random() < 0.5 else {}
        token = self.hashes(d["senders"][sender])
        if once and self.rng.random() < self.keyed:
            kw["key"] = f"k{self.world.sent_n + 1}"
        q = self.world.send_query(line, model, adapter, token, once, **kw)
        if kw.get("key"):
            self.repeats(q, line, model, adapter, token, kw)
        if q["outcome"] == "" and self.rng.random() < self.leave:
            self.world.later(self.rng.randrange(1, 200), self.world.go_away, q["id"])
        self.next(line)

    def repeats(self, q, line, model, adapter, token, kw):
        """The same key again at any node: at once, and later as after an answer that never came."""
        for ms in (self.rng.randrange(0, 60), self.rng.randrange(60, 4000)):
            self.world.later(ms, self.again, line, model, adapter, token, {**kw, "prompt": q["prompt"]})

    def again(self, line, model, adapter, token, kw):
        self.world.send_query(line, model, adapter, token, True, **kw)
