"""A request's claim of its client's idempotency key, while the key's holders are asked."""

import hashlib
import json
import typing

import basaltport.identifiers as identifiers
import basaltport.query_api.messages as messages

if typing.TYPE_CHECKING:
    import basaltport.query_api.events as events

DIGEST_CHARACTERS = 40
NO_HOLDERS = identifiers.LogIndex(-1)


def _digest(document: object) -> str:
    text = json.dumps(document, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


def key_id_of(queue: str, client: str, key: str) -> str:
    """The id of a client's key in a queue."""
    return _digest([queue, client, key])


def body_digest(body: dict[str, typing.Any]) -> str:
    """What tells a repeat from another request with the same key."""
    return _digest(body)


class KeyClaim:
    """`holders_since`: the log index that names the holders that were asked; `attempt` grows when older
    answers must not count; `answers`, by member id; `granted`: most holders hold the key for this request
    alone; `following`: another request has the key and its outcome is waited for; `next_step` and
    `arrival`: where admission goes on once the key is granted."""

    __slots__ = (
        "key_id",
        "digest",
        "holders_since",
        "attempt",
        "answers",
        "next_at",
        "began_at",
        "granted",
        "next_step",
        "arrival",
        "following",
    )

    def __init__(self, key_id: str, digest: str, now: int) -> None:
        """Nobody has been asked yet."""
        self.key_id = key_id
        self.digest = digest
        self.holders_since = NO_HOLDERS
        self.attempt = 0
        self.answers: dict[str, messages.KeyClaimAnswer] = {}
        self.next_at = now
        self.began_at = now
        self.granted = False
        self.next_step = 0
        self.arrival: events.RequestArrived | None = None
        self.following = False

    def is_granted_by(self, member_id: str) -> bool:
        """Whether a holder has granted it."""
        answer = self.answers.get(member_id)
        return answer is not None and answer.state == "granted"

    def answers_by_state(self) -> dict[str, list[messages.KeyClaimAnswer]]:
        """The answers so far."""
        by_state: dict[str, list[messages.KeyClaimAnswer]] = {}
        for answer in self.answers.values():
            by_state.setdefault(answer.state, []).append(answer)
        return by_state
