"""Streamed answers on their way to clients; the replica's lines are read by the nodes' own reader of them."""

import basaltport.query_api.events as query_events
import basaltport.query_api.replica_client.pieces as pieces
import basaltport.simulation.query_api.world.exchange as exchanges
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.world_base as world_base

Document = world_base.Document
Exchange = exchanges.Exchange

PIECES = 4
FROZEN_MS = 50
OK = 200
LOST, TWICE, OTHER, KINDS_OF_TEAR = 0, 1, 2, 4


class StreamMixin(world_base.WorldBase):
    """Sends the lines of streams one by one."""

    def start_stream(self, exchange: Exchange, ms: float) -> None:
        """A replica answers in pieces, over so many ms."""
        attempt_id, prompt = exchange.effect.attempt_id, exchange.effect.body["prompt"]
        lines: list[Document] = [
            {"dispatch": attempt_id, "n": i, "piece": f"{prompt}.{i}"} for i in range(PIECES)
        ]
        lines.append({"dispatch": attempt_id, "end": True, "pieces": PIECES})
        if exchange.replica.mode == "torn":
            self.tear(lines)
        after = 0
        for i, line in enumerate(lines):
            after += int(ms / PIECES) + 1
            self.later(after, self.send_line, exchange, line, i == len(lines) - 1)

    def tear(self, lines: list[Document]) -> None:
        """What a replica at fault may say: a line lost, said twice, of another run, or too many counted."""
        i = self.rng.randrange(PIECES)
        kind = self.rng.randrange(KINDS_OF_TEAR)
        if kind == LOST:
            del lines[i]
        elif kind == TWICE:
            lines.insert(i, lines[i])
        elif kind == OTHER:
            lines[i] = {**lines[i], "dispatch": "other.1", "piece": "other"}
        else:
            lines[-1] = {**lines[-1], "pieces": PIECES + 1}

    def send_line(self, exchange: Exchange, line: Document, last: bool) -> None:
        """The replica sends a line; the run ends with the last."""
        chosen = exchange.replica
        if last and exchange.replica_is_same:
            chosen.logic.finish(self.now, exchange.effect.attempt_id)
        if exchange.over:
            return
        if not exchange.replica_is_same:
            self.lost(exchange)
            return
        if not chosen.answers or (chosen.id, exchange.node.name) in self.cuts:
            return
        exchange.arrives_at = max(exchange.arrives_at, self.now + self.hop())
        self.at(exchange.arrives_at, self.take_line, exchange, line)

    def take_line(self, exchange: Exchange, line: Document | None) -> None:
        """Lines of one connection come in their order; a frozen node reads them later."""
        if line is not None:
            exchange.inbox.append(line)
        if exchange.node.frozen:
            self.later(FROZEN_MS, self.take_line, exchange, None)
            return
        while exchange.inbox and not self.is_over(exchange):
            self.pass_line(exchange, exchange.inbox.pop(0))

    def pass_line(self, exchange: Exchange, line: Document) -> None:
        """The node passes a line on to its client."""
        try:
            taken = exchange.reader.take(line)
        except ValueError:
            self.back(exchange, exchange.ended(self.now, "broken"))
            return
        effect = exchange.effect
        request = self.requests[effect.request_id]
        if taken.kind is pieces.Kind.PIECE:
            exchange.pieces += 1
            request.pieces.append(taken.piece)
            prompt, attempt_id = request.prompt, effect.attempt_id
            self.record(rows.Piece, effect.request_id, prompt, taken.number, taken.piece, attempt_id)
            return
        kept = {"pieces": list(request.pieces)} if effect.keep_response else None
        answer = {"reply": effect.body["prompt"], "pieces": taken.number}
        self.close(effect.request_id, "done", OK, answer)
        self.back(exchange, exchange.ended(self.now, "done", OK, response=kept))

    def do_repeat_response(self, node: world_base.Node, effect: query_events.RepeatResponse) -> None:
        """A node answers with a response that it has kept."""
        request_id, response = effect.request_id, effect.response
        prompt = self.requests[request_id].prompt
        if "pieces" not in response:
            self.close(request_id, "done", effect.status, {"reply": response["reply"]})
            return
        for number, piece in enumerate(response["pieces"]):
            self.record(rows.Piece, request_id, prompt, number, piece, "kept")
        answer = {"reply": prompt, "pieces": len(response["pieces"])}
        self.close(request_id, "done", effect.status, answer)
