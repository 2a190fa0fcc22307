"""Idempotency keys at the query node: a key is granted by most of its holders before the request's first byte
goes to a replica, and they are told what came of it."""

import http
import typing

import basaltport.identifiers as identifiers
import basaltport.query_api.events as events
import basaltport.query_api.messages as messages
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.key_claim as key_claim
import basaltport.query_api.query_proxy.request as request

RETRY_INTERVAL_MS = 100
FOLLOW_INTERVAL_MS = 200
SILENCE_BORNE_MS = 1500
REPEAT_OUTCOME_AFTER_MS = (300, 1500)
OUTCOME_OF_RAN = {"no": "free", "yes": "done"}


class OutcomeRepeat(typing.NamedTuple):
    """An outcome to tell the holders again at a time, since frames may be lost."""

    due_at: int
    outcome: messages.KeyOutcome


class KeyClaimsMixin(interface.Interface):
    """Grants count only for the attempt and the holders that they were asked under."""

    def key_claims_start(self) -> None:
        """Begin with nothing claimed."""
        self.claiming: dict[str, request.Request] = {}
        self.outcome_repeats: list[OutcomeRepeat] = []

    def begin_claim(self, claiming: request.Request, event: events.RequestArrived) -> None:
        """Ask the holders of a client's key for it."""
        key_id = key_claim.key_id_of(claiming.queue, claiming.client, event.idempotency_key)
        claiming.state = request.RequestState.CLAIMING_KEY
        claiming.claim = key_claim.KeyClaim(key_id, key_claim.body_digest(claiming.body), self.now)
        self.requests[claiming.id] = claiming
        self.claiming[claiming.id] = claiming
        self.send_claim(claiming, claiming.claim)

    def send_claim(self, claiming: request.Request, claim: key_claim.KeyClaim) -> None:
        """Ask those holders that have not granted it."""
        holders = self.key_holders(claim.key_id)
        if holders.since != claim.holders_since:
            claim.holders_since, claim.answers = identifiers.LogIndex(holders.since), {}
            claim.attempt += 1
        claim.next_at = self.now + (FOLLOW_INTERVAL_MS if claim.following else RETRY_INTERVAL_MS)
        for member_id in sorted(holders.holders):
            address = self.address_of(member_id)
            if address and not claim.is_granted_by(member_id):
                message = messages.KeyClaim(
                    claim.key_id,
                    claim.digest,
                    claiming.id,
                    self.me.seat,
                    claim.holders_since,
                    claim.attempt,
                )
                self.send(address, message)

    def tick_key_claims(self) -> None:
        """Go on with claims, end those whose time is over, and repeat outcomes that are due."""
        for claiming in list(self.claiming.values()):
            if claiming.claim:
                self.go_on_with_claim(claiming, claiming.claim)
        due = [repeat for repeat in self.outcome_repeats if self.now >= repeat.due_at]
        for repeat in due:
            self.outcome_repeats.remove(repeat)
            self.tell_holders(repeat.outcome)

    def go_on_with_claim(self, claiming: request.Request, claim: key_claim.KeyClaim) -> None:
        """Weigh the answers to a claim again, and ask again, once that is due."""
        if self.now >= claiming.deadline:
            code = "first-still-running" if claim.following else "keepers-silent"
            self.end_unknown(claiming, code)
            return
        if self.now >= claim.next_at:
            self.weigh_claim(claiming)
        if claiming.id in self.claiming and self.now >= claim.next_at:
            self.send_claim(claiming, claim)

    def hear_key_claim_answer(self, source: str, message: messages.KeyClaimAnswer) -> None:
        """A holder answered."""
        claiming = self.claiming.get(message.request_id)
        if claiming is None or claiming.claim is None or message.attempt != claiming.claim.attempt:
            return
        claiming.claim.answers[message.member_id] = message
        self.weigh_claim(claiming)

    def weigh_claim(self, claiming: request.Request) -> None:
        """Decide by the answers so far: granted, ended, another request to follow, or nothing yet."""
        claim = claiming.claim
        assert claim is not None
        holders = self.key_holders(claim.key_id)
        if holders.since != claim.holders_since:
            claim.next_at = self.now
            return
        count, by_state = len(holders.holders), claim.answers_by_state()
        granted = len(by_state.get("granted", ()))
        if 2 * granted > count:
            self.claim_granted(claiming)
            return
        if self.end_by_first(claiming, by_state):
            return
        if 2 * (len(by_state.get("full", ())) + granted) > count:
            detail = "no room to remember another key"
            self.reject(claiming, http.HTTPStatus.TOO_MANY_REQUESTS, "keys-full", detail)
            return
        taken = by_state.get("taken", [])
        cannot_win = 2 * (count - len(taken)) <= count
        if taken and (cannot_win or len(claim.answers) == count):
            self.follow(claiming, claim, taken[0])
            return
        if self.now - claim.began_at > SILENCE_BORNE_MS and not claim.following:
            left = max([answer.left for answer in by_state.get("blank", [])], default=0)
            self.end_unknown(claiming, "key-fate-unknown" if left else "keepers-silent", left)

    def end_by_first(
        self, claiming: request.Request, by_state: dict[str, list[messages.KeyClaimAnswer]]
    ) -> bool:
        """End a request whose key was used before: by what came of the first one; whether there was one."""
        if "done" in by_state:
            self.repeat_first(claiming, by_state["done"][0])
        elif "unknown" in by_state:
            self.end_unknown(claiming, "key-fate-unknown")
        elif "other" in by_state:
            detail = "this key came before with another query"
            self.reject_id(claiming.id, http.HTTPStatus.UNPROCESSABLE_ENTITY, "key-reused", detail)
        else:
            return False
        return True

    def follow(
        self, claiming: request.Request, claim: key_claim.KeyClaim, taken: messages.KeyClaimAnswer
    ) -> None:
        """Another request has this key: give back what was granted and wait for the other's outcome."""
        if taken.owner_id not in self.cluster_state.members:
            self.end_unknown(claiming, "key-fate-unknown")
            return
        claim.following = True
        self.give_back(claiming, claim)
        claim.answers = {}
        claim.attempt += 1
        claim.next_at = self.now + FOLLOW_INTERVAL_MS // 2 + self.rng.randrange(FOLLOW_INTERVAL_MS)

    def give_back(self, claiming: request.Request, claim: key_claim.KeyClaim) -> None:
        """Tell the holders that the claim is free."""
        self.tell_holders(self.outcome(claiming, claim, "free", 0, {}))

    def outcome(
        self,
        ended: request.Request,
        claim: key_claim.KeyClaim,
        state: str,
        status: int,
        response: dict[str, typing.Any],
    ) -> messages.KeyOutcome:
        """What came of a claim, as its holders are told."""
        return messages.KeyOutcome(
            claim.key_id, claim.digest, ended.id, self.me.seat, claim.attempt, state, status, response
        )

    def tell_holders(self, outcome: messages.KeyOutcome) -> None:
        """Tell a key's holders what came of a claim."""
        for member_id in sorted(self.key_holders(outcome.key_id).holders):
            address = self.address_of(member_id)
            if address:
                self.send(address, outcome)

    def claim_granted(self, claiming: request.Request) -> None:
        """Most holders hold the key for this request alone: the rest of its admission runs."""
        claim = claiming.claim
        assert claim is not None and claim.arrival is not None
        del self.claiming[claiming.id]
        claim.granted = True
        claiming.state = request.RequestState.QUEUED
        self.run_admission(claiming, claim.next_step, claim.arrival)

    def repeat_first(self, claiming: request.Request, answer: messages.KeyClaimAnswer) -> None:
        """Give the response that was kept of the first request with this key."""
        self.claiming.pop(claiming.id, None)
        self.requests.pop(claiming.id, None)
        if claiming.claim:
            self.give_back(claiming, claiming.claim)
        if not answer.response:
            detail = "it ran and was answered; the reply was too large to keep"
            self.finish(claiming.id, http.HTTPStatus.CONFLICT, "reply-not-kept", detail, "yes", 0)
            return
        self.outcome_counts["repeated"] += 1
        self.emit(events.RepeatResponse(claiming.id, answer.status, answer.response))

    def end_unknown(self, claiming: request.Request, code: str, retry_after_ms: int = 0) -> None:
        """End a request that did not run, though another with its key may have."""
        detail = "another query with this key may have run; this one did not"
        self.give_up(claiming, http.HTTPStatus.SERVICE_UNAVAILABLE, code, detail, retry_after_ms)

    def end_claim(
        self,
        ended: request.Request,
        ran: str,
        status: int = 0,
        response: dict[str, typing.Any] | None = None,
    ) -> None:
        """Tell a key's holders of the request's end, more than once since frames may be lost."""
        claim = ended.claim
        assert claim is not None
        self.claiming.pop(ended.id, None)
        state = OUTCOME_OF_RAN.get(ran, "unknown") if claim.granted else "free"
        outcome = self.outcome(ended, claim, state, status, response or {})
        self.tell_holders(outcome)
        self.outcome_repeats += [OutcomeRepeat(self.now + ms, outcome) for ms in REPEAT_OUTCOME_AFTER_MS]
