"""Members find each other: each says hello now and then to all that it knows of."""

import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.messages as messages

HEARD = 1500
KNOWN = 10_000
HEARSAY = 9000
DISK_ROLE = "ledger"


class DiscoveryMixin:
    """`members`: rows by name of those heard of, with when."""

    def discovery_start(self):
        self.members = {}
        self.hello_sent_at_ms = -(10**9)

    def led(self):
        """Leading, or hearing a leader; where disk members alone vote, only while it is one of them."""
        if self.policy.disk_members_only:
            if self.me.seat not in quorum.voters(self.book):
                return False
            if not self.leading and self.leader is None:
                return False
        return self.leading or self.now - self.heard_at < HEARD

    def tick_hello(self):
        """Members that are led say it seldom, so that connections between them are open when they are
        needed."""
        if self.policy.disk_members_only and self.stopped:
            return
        if self.now < self.hello_sent_at_ms + (
            self.policy.hello_interval_led_ms if self.led() else timing.HELLO
        ):
            return
        self.hello_sent_at_ms = self.now
        known = [m for m in self.heard_within(KNOWN) if self.admits(m["role"])]
        known = known[: self.policy.known_members_max]
        for a in self.hello_addresses(known):
            self.send(a, self.hello(known))

    def admits(self, role):
        """Whether members of a role are known here."""
        return not self.policy.disk_members_only or role == DISK_ROLE

    def hello_addresses(self, known):
        if self.policy.disk_members_only:
            return self.peer_addresses()
        return sorted(({m["addr"] for m in known} | set(self.me.seeds)) - {self.me.addr})

    def peer_addresses(self):
        """Addresses of all that may be members."""
        addrs = {x["addr"] for x in self.members.values()} | set(self.me.seeds)
        if self.head()[1] == 0:
            addrs |= set(self.me.founders)
        addrs |= {r["addr"] for r in quorum.voters(self.tip()).values()}
        return sorted(addrs - {self.me.addr})

    def heard_within(self, ms):
        """Rows of the members heard of so lately, without when."""
        rows = [m for m in self.members.values() if self.now - m["at"] < ms]
        return [{k: v for k, v in m.items() if k != "at"} for m in rows]

    def hello(self, known):
        m = self.me
        return messages.Hello(m.house, m.name, m.seat, m.role, m.zone, m.addr, m.http, self.head()[0], known)

    def hear_hello(self, src, m):
        if not self.admits(m.role):
            return
        if m.house != self.me.house:
            self.note(31, member=m.name, house=m.house)
            return
        if m.seat == self.me.seat:
            return
        if m.name == self.me.name:
            self.note(32, member=m.name, addr=m.addr)
            return
        row = {"name": m.name, "seat": m.seat, "role": m.role, "zone": m.zone, "addr": m.addr, "http": m.http}
        old = self.members.get(m.name)
        if old is None or old["seat"] != m.seat:
            self.note(30, member=m.name, seat=m.seat, role=m.role, zone=m.zone)
        self.members[m.name] = {**row, "at": self.now}
        for r in m.known:
            if r["name"] != self.me.name and r["name"] not in self.members:
                self.members[r["name"]] = {**r, "at": self.now - HEARSAY}
        if self.policy.joint_consensus:
            self.note_return(m.seat)
            self.pass_on(m, old)

    def pass_on(self, m, old):
        """One that the leader may not know of is told to it."""
        new = old is None or old["seat"] != m.seat or self.now - old["at"] >= timing.HELLO_PASS_ON
        known = self.book.members.get(m.seat, {}).get("addr") == m.addr
        if new and not known and not self.leading and self.hears_leader():
            self.send(self.leader.addr, m)

    def address_of(self, seat):
        """Where a seat was last heard of, else where the roster has it."""
        row = quorum.voters(self.book).get(seat)
        if row:
            m = self.members.get(row["name"])
            return m["addr"] if m and m["seat"] == seat else row["addr"]
        for m in self.members.values():
            if m["seat"] == seat:
                return m["addr"]
        return None

    def addrs(self):
        return sorted({self.address_of(s) for s in self.book.members})
