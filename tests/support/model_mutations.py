"""Rules of the daemons broken on purpose; each must be found by a check of the model on the seeds named here.

A row: name, checks any of which may find it, [(owner, attribute, replacement)], seeds, story (the schedule of
every seed; None: drawn of everything), members."""

import contextlib
import dataclasses
import random
import typing
import unittest.mock

import basaltport.consensus.codec as codec
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.discovery as discovery
import basaltport.consensus.election as election
import basaltport.consensus.follower as follower
import basaltport.consensus.leadership as leadership
import basaltport.consensus.leaving as leaving
import basaltport.consensus.membership as membership
import basaltport.consensus.quorum as quorum
import basaltport.consensus.replication as replication
import basaltport.consensus.snapshot_transfer as snapshot_transfer
import basaltport.consensus.timing as timing
import basaltport.consensus.voter as voter
import basaltport.fleet.follow as follow
import basaltport.fleet.publish as publish
import basaltport.controller.operator_requests as requests
import basaltport.controller.order_execution as execution
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.model.finding as finding
import basaltport.model.random_search as random_search
import basaltport.model.run as run
import basaltport.model.schedule as schedule
import basaltport.simulation.routes.nodes as nodes

Rule = finding.Rule
STEPS = 12


@dataclasses.dataclass(frozen=True)
class Mutation:
    name: str
    rules: set
    breaks: list
    seeds: range
    story: typing.Callable | None = None
    members: int = 3

    @contextlib.contextmanager
    def applied(self):
        with contextlib.ExitStack() as stack:
            for owner, attribute, replacement in self.breaks:
                stack.enter_context(unittest.mock.patch.object(owner, attribute, replacement))
            yield

    def plan(self, seed):
        if self.story is None:
            return random_search.draw(seed, self.members, STEPS)
        actions = self.story(random.Random(seed), self.members)
        return schedule.Schedule(seed, self.members, bool(seed % 2), tuple(actions))

    def find(self):
        """The first seed whose run breaks one of the rules, and how; None if no seed's does."""
        with self.applied():
            for seed in self.seeds:
                broken = run.play(self.plan(seed)).broken
                if broken and broken.rule in self.rules:
                    return seed, broken
        return None


# a majority's word


def confirm_at_once(self, src, call, verb, body, at, got=None):
    r = {"n": -1, "src": src, "call": call, "verb": verb, "body": body, "asked": at}
    self.reads.append({**r, "got": got, "serial": self.tip_book.log_index if got else 0})
    self.settle()


def publish_always(self):
    was, self.holds = self.holds, lambda: True
    try:
        publish_as_is(self)
    finally:
        self.holds = was


publish_as_is = publish.PublishMixin.publish


# votes and terms


def write_unsynced(self, records, whole=None, then=()):
    self.out.extend(then)
    write_as_is(self, records, whole)


write_as_is = member.Member.write


def kill_keeps_seat(self, name, power=False, disk=False):
    n = self.nodes[name]
    seat_of = n.seat
    kill_as_is(self, name, power, disk)
    if disk:
        n.seat, n.founders = seat_of, None


kill_as_is = nodes.Nodes.kill


def campaign_in_old_term(self):
    """The member's name alone makes its term."""
    term, self.current_term = self.current_term, identifiers.Term(max(0, self.current_term.count - 1), "")
    campaign_as_is(self)
    if not self.candidacy:
        self.current_term = term


campaign_as_is = election.ElectionMixin.start_candidacy


def win_without_fetch(self):
    c = self.candidacy
    if self.synced_term == c.term and self.head()[1] and self.may_be_candidate() and self.quorum(c.votes):
        self.win()
        return
    weigh_as_is(self)


weigh_as_is = election.ElectionMixin.count_votes


def never(self, *args):
    return False


def always(self, *args):
    return True


def nothing(self, *args):
    return None


# logs


def ack_of_unsynced(self, n, ok, need):
    was, self.synced_head = self.synced_head, self.head()
    try:
        return ack_as_is(self, n, ok, need)
    finally:
        self.synced_head = was


ack_as_is = follower.FollowerMixin.heartbeat_ack


def append_over(self, op):
    """In place of an entry of this term that is not agreed yet."""
    if len(self.tail) > 1 and self.tail[-1].term == self.current_term:
        self.tail.pop()
    return append_as_is(self, op)


append_as_is = leadership.LeadershipMixin.append


def count_alone(self):
    have = quorum.has_majority
    quorum.has_majority = lambda of, seats: self.me.seat in seats
    majority, quorum.is_majority = quorum.is_majority, lambda some, of: True
    try:
        count_as_is(self)
    finally:
        quorum.has_majority, quorum.is_majority = have, majority


count_as_is = replication.ReplicationMixin.count


def one_roster(b):
    return [b.members.keys()]


def add_in_one_step(self, seats):
    s = min((s for s in self.learners if self.ready(s)), default=None)
    if s is None:
        return False
    row = codec.decode_member(self.learners[s])
    old = [x for x, r in seats.items() if r.name == row.name]
    swap = (log.Replacement(old[0], row),) if old else None
    self.append(log.MembersChanged(swap, None if old else row))
    return True


def install_older(self, copy):
    was, self.book, self.tail = self.book.log_index, copy.cluster_state, list(copy.uncommitted)
    self.write([], whole=self.copy())
    self.state_applied()
    self.retained_behind(was)


def feed_old_copies(self, s):
    """Now and then a copy as it was some entries ago."""
    if self.book.log_index % 3 == 0 and self.retained_entries:
        self.needs.add(s)
    es, copy, pg, ps = load_as_is(self, s)
    if copy and getattr(self, "older", None):
        copy = self.older
    self.older = state_machine.ReplicatedState(self.book)
    return es, copy, pg, ps


load_as_is = replication.ReplicationMixin.payload_for


def copy_without_changes(self):
    forgetful = dataclasses.replace(self.book, recent_changes={})
    return state_machine.ReplicatedState(forgetful, tuple(self.tail))


def take_any_book(self, m):
    if m.copy:
        self.book = m.copy
    for e in m.entries:
        self.book = state_machine.apply(self.book, e)


def hear_hello_raises(self, src, m):
    return self.members[m.name + "?"]


# operators


def judged_without_base(self, t, body, findings, doc, op):
    return op


MUTATIONS = [
    Mutation(
        "read without a majority's word",
        {Rule.WORD},
        [(requests.OperatorRequestsMixin, "confirm", confirm_at_once)],
        range(1, 9),
    ),
    Mutation(
        "feed without the lease",
        {Rule.WORD},
        [(publish.PublishMixin, "publish", publish_always)],
        range(1, 20),
        random_search.cut_leader,
    ),
    Mutation(
        "vote sent before it is synced",
        {Rule.SYNCED},
        [(member.Member, "write", write_unsynced)],
        range(1, 9),
    ),
    Mutation(
        "vote by a wiped member",
        {Rule.AGREED, Rule.HISTORY, Rule.TERM, Rule.LOG},
        [(nodes.Nodes, "kill", kill_keeps_seat)],
        range(2, 100, 2),
    ),
    Mutation(
        "a term led twice",
        {Rule.TERM},
        [(election.ElectionMixin, "start_candidacy", campaign_in_old_term)],
        range(16, 40),
    ),
    Mutation(
        "lead without the newest log",
        {Rule.AGREED},
        [(election.ElectionMixin, "count_votes", win_without_fetch)],
        range(1, 60),
    ),
    Mutation(
        "lease longer than vote refusal",
        {Rule.HOLDERS},
        [(timing, "LEADER_LEASE", 900)],
        range(1, 40),
        random_search.cut_leader,
    ),
    Mutation(
        "vote while a leader is heard",
        {Rule.HOLDERS},
        [(voter.VoterMixin, "hears_leader", never)],
        range(1, 40),
    ),
    Mutation(
        "vote right after a restart",
        {Rule.HOLDERS},
        [(voter.VoterMixin, "may_vote", always)],
        range(2, 400, 2),
        random_search.quick_restart,
    ),
    Mutation(
        "acknowledgement before the sync",
        {Rule.SYNCED},
        [(follower.FollowerMixin, "heartbeat_ack", ack_of_unsynced)],
        range(1, 9),
    ),
    Mutation(
        "entry over one that is not agreed",
        {Rule.LOG},
        [(leadership.LeadershipMixin, "append", append_over)],
        range(1, 40),
    ),
    Mutation(
        "commit by the leader alone",
        {Rule.AGREED, Rule.HISTORY},
        [(replication.ReplicationMixin, "count", count_alone)],
        range(1, 40),
    ),
    Mutation(
        "one roster during a joint change",
        {Rule.AGREED, Rule.HISTORY, Rule.WORD},
        [(quorum, "voter_sets", one_roster)],
        range(24, 80, 2),
        random_search.living_name,
    ),
    Mutation(
        "replacement in one step",
        {Rule.AGREED, Rule.HISTORY},
        [(membership.MembershipMixin, "add_member", add_in_one_step)],
        range(2, 60, 2),
        random_search.living_name,
    ),
    Mutation(
        "leaver that goes at once",
        {Rule.MAJORITY},
        [(leaving.LeavingMixin, "released", always)],
        range(23, 60, 2),
        random_search.second_loss,
    ),
    Mutation(
        "copy that sets back",
        {Rule.BACK},
        [
            (snapshot_transfer.SnapshotTransferMixin, "install", install_older),
            (replication.ReplicationMixin, "payload_for", feed_old_copies),
            (follower.FollowerMixin, "in_order", always),
        ],
        range(1, 40),
    ),
    Mutation(
        "change ids forgotten",
        {Rule.REPEAT, Rule.HISTORY},
        [(state_machine, "_remember", lambda _, op, index: {"recent_changes": {op.change_id: index}})],
        range(1, 60),
    ),
    Mutation(
        "change ids forgotten by a copy",
        {Rule.AGREED},
        [(snapshot_transfer.SnapshotTransferMixin, "copy", copy_without_changes)],
        range(1, 200),
        random_search.wiped_leads,
    ),
    Mutation(
        "proxy takes any book", {Rule.BACK}, [(follow.FollowMixin, "take_book", take_any_book)], range(1, 40)
    ),
    Mutation(
        "change not compared with its base",
        {Rule.HISTORY},
        [(requests.OperatorRequestsMixin, "judge_change", judged_without_base)],
        range(1, 20),
    ),
    Mutation(
        "orders without a lease",
        {Rule.ORDERS},
        [
            (execution.OrderExecutionMixin, "executor_leased", always),
            (execution.OrderExecutionMixin, "former_owner_stopped", always),
            (execution, "REQUEST_FRESH_MS", 10**9),
        ],
        range(1, 60),
    ),
    Mutation(
        "nobody learns", {Rule.CATCH_UP}, [(membership.MembershipMixin, "learn", nothing)], range(1, 60)
    ),
    Mutation(
        "nobody stands for election",
        {Rule.MAJORITY},
        [(election.ElectionMixin, "start_pre_vote", nothing)],
        range(1, 40),
    ),
    Mutation(
        "an event that raises",
        {Rule.CRASH},
        [(discovery.DiscoveryMixin, "hear_hello", hear_hello_raises)],
        range(1, 2),
    ),
]
