"""Member discovery: each member periodically sends Hello messages to all members that it knows of."""

import collections.abc
import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

Document = dict[str, typing.Any]

NEVER_MS = -(10**9)
LED_WITHIN_MS = 1500
"""A member that heard the leader within this time says hello at the slower interval."""
KNOWN_WITHIN_MS = 10_000
"""Only members heard of within this time are listed in Hello messages and greeted."""
HEARSAY_AGE_MS = 9000
"""Initial age of a member that is known only from another member's Hello."""
DISK_ROLE = "ledger"


class DiscoveryNeeds(typing.Protocol):
    """What `DiscoveryMixin` needs of its node: the leader that it follows, and the committed members.

    `leader_heard_at_ms`: when the leader was last heard, in milliseconds.
    """

    me: member.Me
    now: identifiers.Millis
    policy: voting_policy.VotingPolicy
    cluster_state: state_machine.ClusterState
    leading: bool
    leader: messages.Heartbeat | None
    leader_heard_at_ms: int
    stopped: bool

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Return the term and index of the last log entry, committed or not."""

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""

    def hears_leader(self) -> bool:
        """Whether this member heard the leader recently, or leads with a responsive majority."""

    def clear_leaving_if_returned(self, member_id: str, /) -> None:
        """Forget that a member was leaving if it has returned."""


if typing.TYPE_CHECKING:
    Needs = DiscoveryNeeds
else:
    Needs = object


class DiscoveryMixin(Needs):
    """The members that this one has heard of.

    `members`: a row for each by name; `at` in it is the time in milliseconds when the member was last heard
    of. `hello_sent_at_ms`: when this member last sent Hello messages.
    """

    members: dict[str, Document]
    hello_sent_at_ms: int

    def discovery_start(self) -> None:
        """Start with no known members; the first tick says hello to the seeds."""
        self.members = {}
        self.hello_sent_at_ms = NEVER_MS

    def has_leader(self) -> bool:
        """Whether this member leads or heard a leader recently; where only disk members vote, false for one
        that is not a voter."""
        if self.policy.disk_members_only:
            if self.me.seat not in quorum.voters(self.cluster_state):
                return False
            if not self.leading and self.leader is None:
                return False
        return self.leading or self.now - self.leader_heard_at_ms < LED_WITHIN_MS

    def tick_hello(self) -> None:
        """Send Hello messages when the interval has passed.

        Members with a leader send them rarely, but still do, so that connections between members are open
        when an election needs them.
        """
        if self.policy.disk_members_only and self.stopped:
            return
        interval_ms = self.policy.hello_interval_led_ms if self.has_leader() else timing.HELLO_INTERVAL
        if self.now < self.hello_sent_at_ms + interval_ms:
            return
        self.hello_sent_at_ms = self.now
        known = [row for row in self.heard_within(KNOWN_WITHIN_MS) if self.accepts_role(row["role"])]
        known = known[: self.policy.known_members_max]
        for address in self.hello_addresses(known):
            self.send(address, self.hello(known))

    def accepts_role(self, role: str) -> bool:
        """Whether members of this role are recorded and listed."""
        return not self.policy.disk_members_only or role == DISK_ROLE

    def hello_addresses(self, known: collections.abc.Iterable[Document]) -> list[str]:
        """Return the sorted addresses to send Hello messages to: seeds and known members, or all peers where
        only disk members vote."""
        if self.policy.disk_members_only:
            return self.peer_addresses()
        return sorted(({row["addr"] for row in known} | set(self.me.seeds)) - {self.me.addr})

    def peer_addresses(self) -> list[str]:
        """Return the sorted addresses of all possible members but this one: known members, seeds, voters and,
        while the log is empty, founders."""
        addresses = {row["addr"] for row in self.members.values()} | set(self.me.seeds)
        if self.head()[1] == 0:
            addresses |= set(self.me.founders or ())
        addresses |= {record.address for record in quorum.voters(self.compute_appended_state()).values()}
        return sorted(addresses - {self.me.addr})

    def heard_within(self, ms: int) -> list[Document]:
        """Return the rows, without the time, of the members heard of in the last `ms` milliseconds."""
        rows = [row for row in self.members.values() if self.now - row["at"] < ms]
        return [{key: value for key, value in row.items() if key != "at"} for row in rows]

    def hello(self, known: list[Document]) -> messages.Hello:
        """Return this member's Hello message with the rows of the members that it knows."""
        me = self.me
        term = self.head()[0]
        return messages.Hello(me.house, me.name, me.seat, me.role, me.zone, me.addr, me.http, term, known)

    def hear_hello(self, src: str, message: messages.Hello) -> None:
        """Record the sender of a Hello, and the members listed in it that are not known here."""
        if not self.accepts_role(message.role) or not self.is_from_another_member(message):
            return
        previous_row = self.members.get(message.name)
        if previous_row is None or previous_row["seat"] != message.member_id:
            self.note(30, member=message.name, seat=message.member_id, role=message.role, zone=message.zone)
        self.members[message.name] = {
            "name": message.name,
            "seat": message.member_id,
            "role": message.role,
            "zone": message.zone,
            "addr": message.addr,
            "http": message.http,
            "at": self.now,
        }
        for row in message.known_members:
            if row["name"] != self.me.name and row["name"] not in self.members:
                self.members[row["name"]] = {**row, "at": self.now - HEARSAY_AGE_MS}
        if self.policy.joint_consensus:
            self.clear_leaving_if_returned(message.member_id)
            self.forward_to_leader(message, previous_row)

    def is_from_another_member(self, message: messages.Hello) -> bool:
        """Whether a Hello comes from another member of this cluster. A Hello of a foreign cluster and one
        under this member's own name are logged."""
        if message.house != self.me.house:
            self.note(31, member=message.name, house=message.house)
            return False
        if message.member_id == self.me.seat:
            return False
        if message.name == self.me.name:
            self.note(32, member=message.name, addr=message.addr)
            return False
        return True

    def forward_to_leader(self, message: messages.Hello, previous_row: Document | None) -> None:
        """Forward a Hello to the leader if the leader may not know the sender; `previous_row`: the sender's
        row until now, None if it is new."""
        is_new = (
            previous_row is None
            or previous_row["seat"] != message.member_id
            or self.now - previous_row["at"] >= timing.HELLO_FORWARD_AFTER
        )
        record = self.cluster_state.members.get(message.member_id)
        is_member = record is not None and record.address == message.addr
        if not is_new or is_member or self.leading or self.leader is None:
            return
        if self.hears_leader():
            self.send(self.leader.addr, message)

    def address_of(self, member_id: str) -> str | None:
        """Return the address where a member was last heard of, else its address in the log, None if
        unknown."""
        record = quorum.voters(self.cluster_state).get(member_id)
        if record:
            row = self.members.get(record.name)
            if row and row["seat"] == member_id:
                return str(row["addr"])
            return record.address
        for row in self.members.values():
            if row["seat"] == member_id:
                return str(row["addr"])
        return None

    def member_addresses(self) -> list[str]:
        """Return the sorted addresses of all committed members."""
        addresses = {self.address_of(member_id) for member_id in self.cluster_state.members}
        return sorted(address for address in addresses if address is not None)
