"""Claims on one client's idempotency key, as a key holder keeps them and sends them to other holders."""

import dataclasses
import typing

import basaltport.identifiers as identifiers

HELD = "held"
DONE = "done"
UNKNOWN = "unknown"
FINAL_STATES = (DONE, UNKNOWN)

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """One request's claim on a key and what came of it.

    `attempt` is the highest that claimed; `status` and `response` are those of a request that is done."""

    request_id: identifiers.RequestId
    digest: str
    owner_id: identifiers.MemberId
    attempt: int
    state: str = HELD
    status: int = 0
    response: Document = dataclasses.field(default_factory=dict)

    def is_final(self) -> bool:
        """Whether its outcome is known."""
        return self.state in FINAL_STATES

    def size(self) -> int:
        """How much of the memory for responses it takes."""
        return len(str(self.response))

    def row(self) -> Document:
        """Its form between key holders; the keys are fixed."""
        return {
            "q": self.request_id,
            "digest": self.digest,
            "owner": self.owner_id,
            "k": self.attempt,
            "state": self.state,
            "status": self.status,
            "reply": self.response,
        }


def from_row(row: Document) -> ClaimRecord:
    """A claim as another key holder sent it."""
    return ClaimRecord(
        identifiers.RequestId(row["q"]),
        row["digest"],
        identifiers.MemberId(row["owner"]),
        row["k"],
        row["state"],
        row["status"],
        row["reply"],
    )


class KeyRecord:
    """Claims on one key by request id: usually one; more where clients raced. Kept until `until`."""

    __slots__ = ("claims", "until")

    def __init__(self, until: int) -> None:
        """No claims yet."""
        self.claims: dict[str, ClaimRecord] = {}
        self.until = until

    def rows(self) -> Document:
        """All claims in their form between key holders."""
        return {request_id: claim.row() for request_id, claim in self.claims.items()}

    def merge(self, rows: Document) -> None:
        """Take another holder's claims, but over one whose outcome is known."""
        for request_id, row in rows.items():
            newer = from_row(row)
            known = self.claims.get(request_id)
            if known is not None and known.is_final():
                continue
            if known is not None:
                newer.attempt = max(newer.attempt, known.attempt)
            self.claims[request_id] = newer
