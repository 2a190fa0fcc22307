"""The simulator's replicas and the attempts at them, the weight store and the platform."""

import basaltport.query_api.events as query_events
import basaltport.query_api.replica_client.pieces as pieces
import basaltport.simulation.query_api.standins.replica as replica
import basaltport.simulation.query_api.world.exchange as exchanges
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.simulated_replica as simulated_replica
import basaltport.simulation.query_api.world.world_base as world_base
import basaltport.sockets as sockets

SimulatedReplica = simulated_replica.SimulatedReplica
Exchange = exchanges.Exchange
Node = world_base.Node

CALL_TIMEOUT_MS = 1000
FROZEN_MS = 50
WORK_SPREAD = (0.6, 1.4)
OK = 200
CONFLICT = 409


class BackendMixin(world_base.WorldBase):
    """Does for a node's reducer what its shell does at replicas."""

    def backend_start(self) -> None:
        """The replicas of the preset run."""
        preset = self.preset
        self.store = replica.Store(preset.loads)
        self.store_slow = 1
        self.replicas = {}
        self.abandoned = set()
        self.urls = 0
        for group, figures in preset.groups.items():
            for i in range(figures["replicas"]):
                self.add_replica(f"{group}-{i + 1}", f"z{i % preset.zones + 1}", group)

    def add_replica(self, replica_id: str, zone: str, group: str) -> SimulatedReplica:
        """A replica starts at an address that nobody had."""
        self.urls += 1
        row = {"url": f"http://10.1.0.{self.urls}:80", "zone": zone, "group": group}
        added = SimulatedReplica(replica_id, row, self.preset.groups[group], self.now)
        self.replicas[replica_id] = added
        self.record(rows.ReplicaStart, replica_id)
        return added

    def start_replica(self, replica_id: str) -> None:
        """It starts again at its address, and holds nothing."""
        self.replicas[replica_id].restart(self.now)
        self.record(rows.ReplicaStart, replica_id)

    def crash_replica(self, replica_id: str) -> None:
        """It ends: connections to it break, what ran there is over or half done."""
        ended = self.replicas[replica_id]
        self.record(rows.ReplicaCrash, replica_id)
        ended.mode = "gone"
        ended.incarnation += 1
        for held in ended.logic.held.values():
            if held.state == "loading":
                self.store.end()
                held.state = "lost"

    def dark_replica(self, replica_id: str, on: bool = True) -> None:
        """Nobody can reach it, or they can again."""
        self.record(rows.ReplicaDark, replica_id, on)
        self.replicas[replica_id].mode = "dark" if on else "up"

    def platform_list(self) -> dict[str, dict[str, str]]:
        """The replicas as the platform lists them."""
        return {replica_id: dict(listed.row) for replica_id, listed in self.replicas.items()}

    def by_url(self, url: str) -> SimulatedReplica | None:
        """The replica that a URL leads to."""
        for listed in self.replicas.values():
            if url.startswith(listed.row["url"] + "/") or url == listed.row["url"]:
                return listed
        return None

    def hop(self) -> int:
        """Ms that a message to or from a replica is under way."""
        return self.rng.randrange(1, 4) * self.slow

    def reached(self, node: Node, url: str) -> SimulatedReplica | None:
        """The replica at a URL, if this node can reach it."""
        found = self.by_url(url)
        if found is None or found.mode == "dark" or (node.name, found.id) in self.cuts:
            return None
        return found

    # polls and orders

    def do_poll_replica(self, node: Node, effect: query_events.PollReplica) -> None:
        """A node asks a replica for its state."""
        polled = self.reached(node, effect.url)
        if polled is None:
            event = query_events.ReplicaPolled(self.now, effect.replica_id, False, {})
            self.later(CALL_TIMEOUT_MS, self.give, node, node.incarnation, event)
            return
        self.later(self.hop(), self.poll, node, node.incarnation, polled, polled.incarnation, effect)

    def poll(
        self,
        node: Node,
        incarnation: int,
        polled: SimulatedReplica,
        replica_incarnation: int,
        effect: query_events.PollReplica,
    ) -> None:
        """The replica answers, if it still is the same process."""
        fence = int(effect.url.split("fence=")[1])
        ok = polled.answers and polled.incarnation == replica_incarnation
        state = polled.logic.state(self.now, fence) if ok else {}
        event = query_events.ReplicaPolled(self.now, effect.replica_id, ok, state)
        self.later(self.hop(), self.give, node, incarnation, event)

    def do_order_replica(self, node: Node, effect: query_events.OrderReplica) -> None:
        """A node orders a replica to load or to unload something."""
        ordered = self.reached(node, effect.url)
        if ordered is None:
            event = query_events.OrderAnswered(self.now, effect.order_number, False, {})
            self.later(CALL_TIMEOUT_MS, self.give, node, node.incarnation, event)
            return
        self.later(self.hop(), self.order, node, node.incarnation, ordered, ordered.incarnation, effect)

    def order(
        self,
        node: Node,
        incarnation: int,
        ordered: SimulatedReplica,
        replica_incarnation: int,
        effect: query_events.OrderReplica,
    ) -> None:
        """The replica takes the order, if it still is the same process."""
        number = effect.order_number
        if ordered.mode != "up" or ordered.incarnation != replica_incarnation:
            event = query_events.OrderAnswered(self.now, number, False, {})
            self.later(self.hop(), self.give, node, incarnation, event)
            return
        logic, body = ordered.logic, effect.body
        status, answer, item = logic.order(self.now, body)
        self.record(rows.Order, node.name, ordered.id, logic.epoch, status, dict(body))
        if logic.used() > logic.room or status == CONFLICT and answer["error"] == "no-room":
            self.record(rows.OverRoom, ordered.id, logic.used(), logic.room)
        if item:
            self.store.begin()
            self.record(rows.Load, ordered.id, item, self.store.now_loading, self.store.loads)
            duration = body["size"] * self.preset.load_ms_per_size * self.store_slow
            self.later(duration, self.loaded, ordered, ordered.incarnation, item)
        event = query_events.OrderAnswered(self.now, number, status == OK, answer)
        self.later(self.hop(), self.give, node, incarnation, event)

    def loaded(self, ordered: SimulatedReplica, incarnation: int, item: str) -> None:
        """A load ends, if the replica still is the same process."""
        if ordered.incarnation != incarnation:
            return
        self.store.end()
        ordered.logic.loaded(self.now, item)

    # attempts

    def do_start_attempt(self, node: Node, effect: query_events.StartAttempt) -> None:
        """A node connects to a replica."""
        chosen = self.by_url(effect.url)
        self.later(self.hop(), self.write, node, node.incarnation, chosen, effect)

    def write(
        self,
        node: Node,
        incarnation: int,
        chosen: SimulatedReplica | None,
        effect: query_events.StartAttempt,
    ) -> None:
        """The connection is there: the last look at lease, version and mark, and the bytes go."""
        if node.incarnation != incarnation or node.member is None:
            return
        if node.frozen:
            self.later(FROZEN_MS, self.write, node, incarnation, chosen, effect)
            return
        node.member.now = max(node.member.now, self.now)
        ended, attempt_id = query_events.AttemptEnded, effect.attempt_id
        if chosen is None or chosen.mode == "gone":
            self.give(node, incarnation, ended(self.now, attempt_id, "refused", 0, "no-wire"))
            return
        version = node.member.may_write(attempt_id)
        if version is None:
            self.give(node, incarnation, ended(self.now, attempt_id, "refused", 0, "withheld"))
            return
        effect.configuration_version = version
        self.record(rows.Write, node.name, chosen.id, attempt_id, effect.request_id, version)
        reader = pieces.PieceReader(attempt_id)
        self.send(Exchange(node, incarnation, chosen, chosen.incarnation, effect, reader))

    def send(self, exchange: Exchange) -> None:
        """The bytes are under way; what a cut stops is held back, or lost after a while."""
        node, chosen = exchange.node, exchange.replica
        self.later(exchange.effect.timeout_ms, self.time_out, exchange)
        if (node.name, chosen.id) in self.cuts or chosen.mode == "dark":
            if self.hold is not None and chosen.mode != "dark":
                self.held.append((self.now, self.admit, (exchange,)))
            broken = exchange.ended(self.now, "broken")
            self.later(sockets.UNDELIVERED_TIMEOUT_MS, self.back, exchange, broken)
            return
        self.later(self.hop(), self.admit, exchange)

    def is_over(self, exchange: Exchange) -> bool:
        """Whether its node waits for it no longer."""
        cancelled = exchange.effect.attempt_id in self.abandoned
        return exchange.over or cancelled or not exchange.node_is_same

    def time_out(self, exchange: Exchange) -> None:
        """The node's time for it is over."""
        if self.is_over(exchange):
            return
        exchange.over = True
        self.give(exchange.node, exchange.incarnation, self.broke_off(exchange, "late"))

    def broke_off(self, exchange: Exchange, outcome: str) -> query_events.AttemptEnded:
        """What an adapter tells of a connection that ended: with a piece gone out, the client's ends as
        well."""
        if not exchange.pieces:
            return exchange.ended(self.now, outcome)
        self.close(exchange.effect.request_id, "cut", 0, {})
        return exchange.ended(self.now, "cut")

    def back(self, exchange: Exchange, event: query_events.AttemptEnded) -> None:
        """The end of an attempt reaches its node."""
        if self.is_over(exchange):
            return
        exchange.over = True
        if event.outcome == "broken":
            event = self.broke_off(exchange, "broken")
        self.give(exchange.node, exchange.incarnation, event)

    def lost(self, exchange: Exchange) -> None:
        """An attempt's connection is lost, which its node learns a little later."""
        self.later(self.hop(), self.back, exchange, exchange.ended(self.now, "broken"))

    def admit(self, exchange: Exchange) -> None:
        """A request reaches its replica, which refuses it or begins to run it."""
        chosen, effect = exchange.replica, exchange.effect
        if not exchange.replica_is_same or not chosen.answers:
            self.lost(exchange)
            return
        logic, attempt_id, version = chosen.logic, effect.attempt_id, effect.configuration_version
        self.record(rows.Reach, exchange.node.name, chosen.id, chosen.row["zone"], attempt_id)
        refusal = logic.admit(self.now, attempt_id, version, effect.body)
        if refusal:
            event = exchange.ended(self.now, "refused", 0, refusal[1], logic.version)
            self.later(self.hop(), self.back, exchange, event)
            return
        age, running, group = int(self.now - logic.born), len(logic.running), chosen.row["group"]
        prompt = effect.body["prompt"]
        self.record(rows.Ran, chosen.id, attempt_id, prompt, version, age, running, group)
        self.run_request(exchange)

    def run_request(self, exchange: Exchange) -> None:
        """The replica runs a request, as far as its faults let it."""
        chosen, effect = exchange.replica, exchange.effect
        streams = effect.body.get("stream")
        if chosen.mode == "sick" or chosen.mode == "torn" and not streams:
            chosen.logic.finish(self.now, effect.attempt_id)
            self.lost(exchange)
            return
        work_ms = self.preset.service_ms[chosen.row["group"]]
        duration = work_ms * self.rng.uniform(*WORK_SPREAD) * chosen.slow
        if streams:
            self.start_stream(exchange, duration)
            return
        self.later(int(duration) + 1, self.finish, exchange)

    def finish(self, exchange: Exchange) -> None:
        """A run ends."""
        if not exchange.replica_is_same:
            self.lost(exchange)
            return
        chosen = exchange.replica
        chosen.logic.finish(self.now, exchange.effect.attempt_id)
        if not chosen.answers or (chosen.id, exchange.node.name) in self.cuts:
            return
        self.later(self.hop(), self.reply, exchange)

    def reply(self, exchange: Exchange) -> None:
        """A whole answer reaches the node, and through it the client."""
        node, effect = exchange.node, exchange.effect
        if exchange.over or not exchange.node_is_same or node.member is None:
            return
        if node.frozen:
            self.later(FROZEN_MS, self.reply, exchange)
            return
        answer = {"reply": effect.body["prompt"]}
        self.close(effect.request_id, "done", OK, answer)
        kept = answer if effect.keep_response else None
        self.back(exchange, exchange.ended(self.now, "done", OK, response=kept))

    def do_cancel_attempt(self, node: Node, effect: query_events.CancelAttempt) -> None:
        """A node gives an attempt up."""
        if effect.attempt_id in self.abandoned:
            return
        self.abandoned.add(effect.attempt_id)
        event = query_events.AttemptEnded(self.now, effect.attempt_id, "broken", 0, "abandoned")
        self.give(node, node.incarnation, event)
