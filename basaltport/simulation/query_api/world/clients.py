"""The simulator's clients: their requests, and what comes of them."""

import basaltport.identifiers as identifiers
import basaltport.query_api.events as query_events
import basaltport.simulation.query_api.world.client_request as client_request
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.world_base as world_base

Document = world_base.Document
ClientRequest = client_request.ClientRequest


class ClientMixin(world_base.WorldBase):
    """The world's clients. `sent_count`: how many requests there were."""

    def clients_start(self) -> None:
        """Nothing was requested yet."""
        self.requests = {}
        self.sent_count = 0

    def send_request(
        self,
        queue: str,
        model: str,
        adapter: str = "",
        token_hash: str = "",
        once: bool = False,
        *,
        deadline_ms: int = query_events.NO_DEADLINE,
        node: str = "",
        key: str = "",
        prompt: str = "",
        stream: bool = False,
    ) -> ClientRequest:
        """A request to a node, by default to any; `key` and `prompt` make it a repeat of another; `stream`
        asks for an answer in pieces."""
        self.sent_count += 1
        request_id = f"q{self.sent_count}"
        prompt = prompt or f"p{self.sent_count}"
        request = ClientRequest(request_id, prompt, queue, once, int(self.now), token_hash, key)
        self.requests[request_id] = request
        receiver = self.node_for(node)
        if receiver is None or receiver.member is None:
            request.outcome = "no-node"
            return request
        request.node = receiver.name
        body: Document = {"model": model, "prompt": prompt}
        if adapter:
            body["adapter"] = adapter
        if stream:
            body["stream"] = True
        self.record(rows.Sent, request_id, prompt, queue, once, receiver.name, key or None)
        arrived_id = identifiers.RequestId(request_id)
        event = query_events.RequestArrived(self.now, arrived_id, queue, token_hash, body, deadline_ms, key)
        self.give(receiver, receiver.incarnation, event)
        return request

    def node_for(self, name: str) -> world_base.Node | None:
        """The node of this name, or any that takes requests."""
        nodes = self.nodes.values()
        running = [node for node in nodes if node.role == world_base.QUERY_NODE and node.member is not None]
        ready = [node for node in running if not node.stopping]
        if name:
            return self.nodes[name]
        return self.rng.choice(ready) if ready else None

    def go_away(self, request_id: str) -> None:
        """A client hangs up."""
        request = self.requests[request_id]
        if request.outcome:
            return
        node = self.nodes[request.node]
        request.gone = True
        self.close(request_id, "gone", 0, {})
        gone = query_events.ClientGone(self.now, identifiers.RequestId(request_id))
        self.give(node, node.incarnation, gone)

    def close(self, request_id: str, outcome: str, status: int, body: Document) -> None:
        """A request ends at its client."""
        request = self.requests[request_id]
        if request.gone and request.outcome:
            return
        if request.outcome:
            self.record(rows.TwiceClosed, request_id, request.outcome, outcome)
            return
        request.outcome, request.code = outcome, body.get("error", "")
        request.status, request.ended_at, request.body = status, int(self.now), body
        done = outcome == "done"
        self.record(
            rows.Closed,
            request_id,
            request.prompt,
            outcome,
            request.code,
            status,
            body.get("reply") if done else None,
            body.get("pieces") if done else None,
            None if done else body.get("retry_after_ms", 0),
        )

    def do_final_answer(self, node: world_base.Node, effect: query_events.FinalAnswer) -> None:
        """The node answers by itself."""
        outcome = "refused" if effect.body["ran"] == "no" else "unknown"
        self.close(effect.request_id, outcome, effect.status, effect.body)

    def cut_clients(self, node: world_base.Node) -> None:
        """The process ended: its clients see closed connections."""
        for request in self.requests.values():
            if request.node == node.name and not request.outcome:
                self.close(request.id, "cut", 0, {})
