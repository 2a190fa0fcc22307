"""A holder of clients' idempotency keys: which request claimed each, and what came of it.

Records of a range are complete here only once they were copied from most of the holders before, or
everything claimed before has expired."""

import dataclasses
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.query_api.anti_entropy.key_claims as key_claims
import basaltport.query_api.messages as messages
import basaltport.range_digests as range_digests

COPY_INTERVAL_MS = 200
CLAIM_MARGIN_MS = 2000
RESPONSE_BYTES = 64 << 20
NOTHING_LEFT = identifiers.Millis(0)
NO_OWNER = identifiers.MemberId("")
NO_HOLDERS = state_machine.KeyRange(0, {})

Claims = dict[str, key_claims.KeyRecord]


@dataclasses.dataclass(slots=True)
class RangeCopy:
    """The copying of a range from the holders before.

    `since`: the log index that made this member a holder; `former`: the holders before, each with its own
    such index; `began` and `next_request`: times; `copied`: members that were copied from."""

    since: int
    former: dict[str, int]
    began: int
    next_request: int
    copied: set[str]

    def has_most(self) -> bool:
        """Whether most of the holders before were copied from."""
        return 2 * len(self.copied) > len(self.former) or not self.former


class KeyHolderInterface(typing.Protocol):
    """What `KeyHolderMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    rules: rules.Rules

    def address_of(self, seat: str) -> str | None:
        """The address of a member, if it is known."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:
    Interface = KeyHolderInterface
else:
    Interface = object


class KeyHolderMixin(Interface):
    """Keeps records of clients' keys for the ranges that the agreed state gives to this member.

    Holders of a range are named with the log index since which they are; where that changes, a holder
    copies the range anew."""

    def key_holder_start(self) -> None:
        """Begin with nothing held."""
        self.key_records: list[Claims] = [{} for _ in range(range_digests.RANGES)]
        self.response_bytes = 0
        self.complete_since: dict[str, int] = {}
        self.former_since: dict[str, int | None] = {}
        self.range_copies: dict[str, RangeCopy] = {}
        self.swept_range = 0

    def key_holders(self, key_id: str) -> state_machine.KeyRange:
        """The holders of a key."""
        return self.cluster_state.key_holders.get(str(range_digests.range_of(key_id)), NO_HOLDERS)

    def key_count(self) -> int:
        """How many keys are held."""
        return sum(len(records) for records in self.key_records)

    # copying

    def join_ranges(self) -> None:
        """Begin to copy the ranges that this member came to hold, and stop with those that it no longer does.

        A new holder of a range starts with nothing of it; one that joins anew with what it has."""
        for range_name, holders in self.cluster_state.key_holders.items():
            own = holders.holders.get(self.me.seat)
            if own is None:
                self.range_copies.pop(range_name, None)
                continue
            since = own.joined
            copying = self.range_copies.get(range_name)
            if self.complete_since.get(range_name) == since or copying is not None and copying.since == since:
                continue
            self.begin_copy(range_name, since, dict(own.predecessors))
        self.count_bytes()

    def begin_copy(self, range_name: str, since: int, former: dict[str, int]) -> None:
        """Begin to copy a range from the holders before."""
        kept_since = self.complete_since.pop(range_name, self.former_since.get(range_name))
        self.former_since[range_name] = kept_since
        copied: set[str] = set()
        if kept_since is not None and former.get(self.me.seat) == kept_since:
            copied.add(self.me.seat)
        else:
            self.key_records[int(range_name)], self.former_since[range_name] = {}, None
        self.range_copies[range_name] = RangeCopy(since, former, self.now, self.now, copied)

    def count_bytes(self) -> None:
        """Count the kept responses anew."""
        records = (record for by_key in self.key_records for record in by_key.values())
        self.response_bytes = sum(claim.size() for record in records for claim in record.claims.values())

    def tick_key_holder(self) -> None:
        """Go on with copying, and drop the records of one range that have expired."""
        for range_name, copying in list(self.range_copies.items()):
            if copying.has_most() or self.unknown_for(copying) <= 0:
                self.finish_copy(range_name, copying)
            elif self.now >= copying.next_request:
                self.request_copies(int(range_name), copying)
        self.swept_range = (self.swept_range + 1) % range_digests.RANGES
        records = self.key_records[self.swept_range]
        for key_id in [key for key, record in records.items() if self.now >= record.until]:
            self.drop_record(records, key_id)

    def finish_copy(self, range_name: str, copying: RangeCopy) -> None:
        """A range is complete here."""
        self.complete_since[range_name] = copying.since
        del self.range_copies[range_name]
        records = len(self.key_records[int(range_name)])
        self.note(
            log_events.Event.KEY_RANGE_COMPLETE,
            range=int(range_name),
            copied=len(copying.copied),
            records=records,
        )

    def request_copies(self, range_number: int, copying: RangeCopy) -> None:
        """Ask the holders before for a range, but those that were copied from."""
        copying.next_request = self.now + COPY_INTERVAL_MS
        digest = self.range_digest(range_number)
        since = identifiers.LogIndex(copying.since)
        for member_id in sorted(set(copying.former) - copying.copied):
            address = self.address_of(member_id)
            if address:
                former_since = identifiers.LogIndex(copying.former[member_id])
                self.send(
                    address, messages.KeyRangeRequest(self.me.seat, range_number, since, former_since, digest)
                )

    def drop_record(self, records: Claims, key_id: str) -> None:
        """Forget a key."""
        for claim in records.pop(key_id).claims.values():
            self.response_bytes -= claim.size()

    def unknown_for(self, copying: RangeCopy) -> int:
        """For how many milliseconds claims made before may still hold."""
        return copying.began + self.rules.keep_ms + CLAIM_MARGIN_MS - self.now

    def range_digest(self, range_number: int) -> int:
        """The digest of a range; the same at every holder with the same claims."""
        records = self.key_records[range_number]
        rows = {key_id: sorted(record.rows().items()) for key_id, record in records.items()}
        return range_digests.digests(rows)[range_number]

    def hear_key_range_request(self, source: str, message: messages.KeyRangeRequest) -> None:
        """Answer only where this copy was complete under the index asked for, and takes no older claim."""
        address = self.address_of(message.member_id)
        range_name = str(message.range)
        if address is None or self.cluster_state.log_index < message.since:
            return
        known_since = (self.complete_since.get(range_name), self.former_since.get(range_name))
        if message.former_since not in known_since:
            return
        rows = {}
        if self.range_digest(message.range) != message.digest:
            records = self.key_records[message.range]
            rows = {key_id: [record.until - self.now, record.rows()] for key_id, record in records.items()}
        self.send(address, messages.KeyRangeCopy(self.me.seat, message.range, message.since, rows))

    def hear_key_range_copy(self, source: str, message: messages.KeyRangeCopy) -> None:
        """Take what a holder before has of a range."""
        copying = self.range_copies.get(str(message.range))
        if copying is None or copying.since != message.since or message.member_id not in copying.former:
            return
        records = self.key_records[message.range]
        for key_id, (left, claims) in message.rows.items():
            record = records.setdefault(key_id, key_claims.KeyRecord(0))
            record.until = max(record.until, self.now + left)
            record.merge(claims)
        self.count_bytes()
        copying.copied.add(message.member_id)

    # claims

    def hear_key_claim(self, source: str, message: messages.KeyClaim) -> None:
        """Answer a claim; blank while the range is not complete here."""
        address = self.address_of(message.owner_id)
        holders = self.key_holders(message.key_id)
        own = holders.holders.get(self.me.seat)
        if address is None or own is None or holders.since != message.holders_since:
            return
        range_name = str(range_digests.range_of(message.key_id))
        if self.complete_since.get(range_name) != own.joined:
            copying = self.range_copies.get(range_name)
            left = self.unknown_for(copying) if copying else COPY_INTERVAL_MS
            blank = self.claim_answer(message, "blank", left=identifiers.Millis(max(0, left)))
            self.send(address, blank)
            return
        self.send(address, self.judge(message, self.key_records[int(range_name)]))

    def claim_answer(
        self,
        message: messages.KeyClaim,
        state: str,
        other: key_claims.ClaimRecord | None = None,
        left: identifiers.Millis = NOTHING_LEFT,
    ) -> messages.KeyClaimAnswer:
        """The answer to a claim, with what is known of the other claim that stands in its way."""
        member_id, request_id, attempt = self.me.seat, message.request_id, message.attempt
        if other is None:
            return messages.KeyClaimAnswer(member_id, request_id, attempt, state, 0, {}, NO_OWNER, left)
        return messages.KeyClaimAnswer(
            member_id, request_id, attempt, state, other.status, other.response, other.owner_id, left
        )

    def judge(self, message: messages.KeyClaim, records: Claims) -> messages.KeyClaimAnswer:
        """Grant a claim, or tell why not."""
        record = records.get(message.key_id)
        if record is not None and self.now >= record.until:
            self.drop_record(records, message.key_id)
            record = None
        if record is None:
            if self.key_count() >= self.rules.keep_bound:
                return self.claim_answer(message, "full")
            record = records[message.key_id] = key_claims.KeyRecord(self.now + self.rules.keep_ms)
        for claim in record.claims.values():
            if claim.digest != message.digest:
                return self.claim_answer(message, "other")
            if claim.is_final():
                return self.claim_answer(message, claim.state, claim)
        others = [claim for request_id, claim in record.claims.items() if request_id != message.request_id]
        if others:
            return self.claim_answer(message, "taken", others[0])
        claim = record.claims.setdefault(message.request_id, new_claim(message))
        claim.attempt = max(claim.attempt, message.attempt)
        return self.claim_answer(message, "granted")

    def release(self, message: messages.KeyOutcome, records: Claims, record: key_claims.KeyRecord) -> None:
        """Forget a claim that was made no later than this outcome was sent and has no other."""
        claim = record.claims.get(message.request_id)
        if claim is None or claim.attempt > message.attempt or claim.state != key_claims.HELD:
            return
        del record.claims[message.request_id]
        if not record.claims:
            del records[message.key_id]

    def hear_key_outcome(self, source: str, message: messages.KeyOutcome) -> None:
        """Keep what came of a claim. Free: the request never ran and never will."""
        records = self.key_records[range_digests.range_of(message.key_id)]
        record = records.get(message.key_id)
        if message.state == "free":
            if record is not None:
                self.release(message, records, record)
            return
        if self.me.seat not in self.key_holders(message.key_id).holders:
            return
        if record is None:
            record = records[message.key_id] = key_claims.KeyRecord(0)
        record.until = self.now + self.rules.keep_ms
        self.keep_outcome(message, record)

    def keep_outcome(self, message: messages.KeyOutcome, record: key_claims.KeyRecord) -> None:
        """Keep an outcome, and its response where memory for it is left."""
        known = record.claims.get(message.request_id)
        if known is not None and known.is_final():
            return
        claim = record.claims[message.request_id] = new_claim(message)
        size = len(str(message.response))
        fits = self.response_bytes + size <= RESPONSE_BYTES
        claim.state, claim.status = message.state, message.status
        claim.response = message.response if fits else {}
        self.response_bytes += size if fits else 0


def new_claim(message: messages.KeyClaim | messages.KeyOutcome) -> key_claims.ClaimRecord:
    """The record of a claim that was just made, or whose outcome is told."""
    return key_claims.ClaimRecord(message.request_id, message.digest, message.owner_id, message.attempt)
