"""The model's checks, run after every step of every member and every quarter of a second."""

import collections
import dataclasses

import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.model.durable as durable
import basaltport.model.electorate as electorate
import basaltport.model.finding as finding
import basaltport.model.interfaces as interfaces
import basaltport.model.linearizability as linearizability
import basaltport.simulation.routes.nodes as nodes

Rule = finding.Rule
FEED_FRESH_MS = 500
"""A leader feeds proxies on heartbeats that a majority answered, sent no longer ago than this."""
LEASE_MS = 3000
"""Between the orders of two members to one replica."""
LOOK_MS = 250
"""Between two looks at what holds over time."""
STATUS_OK, STATUS_STALE = 200, 412
MAJORITY_MS = 6000
"""The longest time without a leader while no more is lost than has to be borne."""
CATCH_UP_MS = 4000
"""Whoever has been well for so long has what was in force when it began."""

Incarnation = tuple[str, int]
"""A process: its name and how often it was started."""
TermPair = tuple[int, str]
InForce = tuple[TermPair, str, list[str], list[str]]
"""Of what is in force, what proxies are told as well."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOrder:
    """The last order to a replica: when, by whom, under which fence."""

    at_ms: int
    node: str
    fence: int


class Checks:
    """Knows what all members have ever had in force, who led which term and what operators were told."""

    def __init__(self, world: interfaces.ObservedWorld) -> None:
        """Watches `world`, which calls it."""
        self.world = world
        self.leader_of: dict[identifiers.Term, Incarnation] = {}
        self.began: dict[tuple[identifiers.Term, Incarnation], int] = {}
        self.entries: dict[tuple[int, TermPair], log.Operation] = {}
        self.in_force: dict[int, InForce] = {}
        self.states: dict[int, state_machine.ClusterState] = {}
        self.term_of: dict[int, TermPair] = {}
        self.newest = 0
        self.voters: set[str] = set()
        self.durable = durable.Durable()
        self.newest_at: collections.deque[tuple[int, int]] = collections.deque()
        self.heartbeats: dict[tuple[Incarnation, identifiers.Term, int], int] = {}
        self.acknowledged: dict[tuple[Incarnation, identifiers.Term], dict[str, int]] = {}
        self.taken: set[str] = set()
        self.refused: set[str] = set()
        self.confirmed: set[str] = set()
        """Calls whose answers were given on a majority's word."""
        self.history: list[linearizability.Operation] = []
        self.orders: dict[str, ReplicaOrder] = {}
        self.no_leader_since: int | None = None
        self.worst_gap = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def _broken(self, rule: finding.Rule, **facts: object) -> None:
        raise finding.BrokenError(rule, self.world.now, **facts)

    # after each step

    def stepped(self, node: nodes.Node, previous: int) -> None:
        """Right after a member took an event; `previous` is the log index in force before."""
        member = node.member
        if member.cluster_state is not node.cluster_state:
            node.cluster_state = member.cluster_state
            self._came_in_force(node, previous)
        if not node.disk:
            return
        self.counts.update(steps=1)
        self._logs_agree(node)
        if member.leading:
            self._leads(node)

    def _came_in_force(self, node: nodes.Node, previous: int) -> None:
        state: state_machine.ClusterState = node.member.cluster_state
        index = state.log_index
        if index < previous:
            self._broken(Rule.BACK, node=node.name, previous=previous, log_index=index)
        term = (state.term.count, str(state.term.name))
        shown = (term, str(state.configuration), sorted(state.evacuated_zones), sorted(state.members))
        if self.in_force.setdefault(index, shown) != shown:
            self._broken(Rule.AGREED, node=node.name, log_index=index)
        if not node.disk:
            return
        known = self.states.setdefault(index, state)
        if known != state:
            names = [field.name for field in dataclasses.fields(state)]
            differ = [name for name in names if getattr(state, name) != getattr(known, name)]
            self._broken(Rule.AGREED, node=node.name, log_index=index, differ=differ)
        self.term_of[index] = term
        if index > self.newest:
            self.newest, self.voters = index, set(quorum.voters(state))
        self.taken |= state.recent_changes.keys()
        self._repeats()

    def _repeats(self) -> None:
        if both := self.refused & self.taken:
            self._broken(Rule.REPEAT, changes=sorted(both))

    def refuse(self, change: str) -> None:
        """An operator was told that this change was refused."""
        self.refused.add(change)
        self._repeats()

    def _logs_agree(self, node: nodes.Node) -> None:
        for entry in node.member.uncommitted_entries:
            known = self.entries.setdefault((entry.index, tuple(entry.term)), entry.operation)
            if known is not entry.operation and known != entry.operation:
                self._broken(Rule.LOG, node=node.name, log_index=entry.index)

    # leaders

    def _leads(self, node: nodes.Node) -> None:
        term, incarnation = node.member.current_term, (node.name, node.incarnation)
        if self.leader_of.setdefault(term, incarnation) != incarnation:
            self._broken(Rule.TERM, term=term, first=self.leader_of[term], second=incarnation)
        if (term, incarnation) not in self.began:
            self.began[term, incarnation] = self.world.now
            self.counts.update(terms=1)
            self._complete(node)
        self._one_holds()

    def _complete(self, node: nodes.Node) -> None:
        """A new leader's log has all that was in force anywhere."""
        member = node.member
        have = {entry.index: tuple(entry.term) for entry in member.uncommitted_entries}
        for index in range(member.cluster_state.log_index + 1, self.newest + 1):
            if index in self.term_of and have.get(index) != self.term_of[index]:
                self._broken(Rule.AGREED, node=node.name, log_index=index, leader=True)

    def _one_holds(self) -> None:
        holders = [n.name for n in self.world.up() if n.member.leading and self.world.holds(n)]
        if len(holders) > 1:
            self._broken(Rule.HOLDERS, members=holders)

    # disks

    def says(self, node: nodes.Node, msg: object) -> None:
        """A member sends something."""
        if node.disk and not self.durable.bears_out(node, msg):
            self._broken(Rule.SYNCED, node=node.name, says=msg)

    # heartbeats that a majority answered

    def heartbeat_sent(self, node: nodes.Node, heartbeat: messages.Heartbeat) -> None:
        """A leader sent a heartbeat."""
        incarnation = node.name, node.incarnation
        self.heartbeats.setdefault((incarnation, heartbeat.term, heartbeat.number), self.world.now)

    def ack_heard(self, node: nodes.Node, ack: messages.HeartbeatAck) -> None:
        """A leader is about to hear an acknowledgement."""
        if not ack.accepted or ack.term != node.member.current_term:
            return
        incarnation = node.name, node.incarnation
        sent_at = self.heartbeats.get((incarnation, ack.term, ack.heartbeat_number))
        if sent_at is not None:
            answered = self.acknowledged.setdefault((incarnation, ack.term), {})
            answered[ack.member_id] = max(sent_at, answered.get(ack.member_id, 0))

    def _majority_since(self, node: nodes.Node, since: int) -> bool:
        """Whether those that answered a heartbeat sent since then leave no other leader to be elected."""
        member = node.member
        answered = self.acknowledged.get(((node.name, node.incarnation), member.current_term), {})
        have = {member_id for member_id, at in answered.items() if at >= since} | {member.me.seat}
        return electorate.bears(have, electorate.rosters(member.cluster_state, member.uncommitted_entries))

    def answers(self, node: nodes.Node, call: str, status: int, body: interfaces.Body) -> None:
        """A leader's own answer to a read, or its refusal of a change. One that another member passes on was
        looked at when its leader gave it."""
        if status not in (STATUS_OK, STATUS_STALE) or status == STATUS_OK and "document" not in body:
            return
        self.counts.update(reads=1)
        begin = self.world.calls[call]
        if not node.member.leading:
            return
        if not self._majority_since(node, begin):
            self._broken(Rule.WORD, node=node.name, call=call, begin=begin)
        self.confirmed.add(call)

    def feeds(self, node: nodes.Node) -> None:
        """A leader sends an update to a proxy."""
        member = node.member
        self.counts.update(updates=1)
        began = self.began.get((member.current_term, (node.name, node.incarnation)), self.world.now)
        if not self._majority_since(node, max(began, self.world.now - FEED_FRESH_MS)):
            self._broken(Rule.WORD, node=node.name, feeds=True)
        index = member.cluster_state.log_index
        if index < self.newest:
            self._broken(Rule.WORD, node=node.name, feeds=True, log_index=index, newest=self.newest)

    # orders to replicas

    def orders_replica(self, node: nodes.Node, replica: str, fence: int) -> None:
        """A member sends an order to a replica."""
        now = self.world.now
        last = self.orders.get(replica, ReplicaOrder(-LEASE_MS, node.name, -1))
        age = now - last.at_ms
        same = fence >= last.fence and last.node == node.name
        after = fence > last.fence and age >= LEASE_MS
        if not (same or after):
            self._broken(Rule.ORDERS, node=node.name, fence=fence, last=last.fence, before=last.node, ms=age)
        self.orders[replica] = ReplicaOrder(now, node.name, fence)
        self.counts.update(orders=1)

    # every quarter of a second

    def look_round(self) -> None:
        """What holds over time: a leader is there, whoever is back has caught up."""
        now = self.world.now
        self.newest_at.append((now, self.newest))
        while len(self.newest_at) > 1 and self.newest_at[1][0] <= now - CATCH_UP_MS:
            self.newest_at.popleft()
        self._led()
        self._caught_up()

    def _led(self) -> None:
        now = self.world.now
        if self.world.leader():
            self.no_leader_since = None
            return
        if self.no_leader_since is None:
            self.no_leader_since = now
        gap = now - self.no_leader_since
        if not self.world.bearable:
            return
        self.worst_gap = max(self.worst_gap, gap)
        if gap > MAJORITY_MS:
            self._broken(Rule.MAJORITY, ms=gap, lost=sorted(self.world.machines.lost(now)))

    def _caught_up(self) -> None:
        """Whoever has been well for CATCH_UP_MS, with a leader all that time, has what was in force then."""
        at, newest = self.newest_at[0]
        well = list(self.world.well())
        if at > self.world.now - CATCH_UP_MS or self.world.well_since > at:
            return
        for node, since in well:
            if since <= at and node.member.cluster_state.log_index < newest:
                index = node.member.cluster_state.log_index
                self._broken(Rule.CATCH_UP, node=node.name, log_index=index, newest=newest)

    # at the end

    def finish(self) -> None:
        """All calls together."""
        self.counts.update(calls=len(self.history))
        if not linearizability.linearizable(self.history):
            self._broken(Rule.HISTORY, calls=len(self.history))
