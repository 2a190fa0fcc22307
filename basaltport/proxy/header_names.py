"""Header names of requests that are passed on: the product's own, or those of the platform that it runs
on."""

import dataclasses

MOST = 10**8
"""Larger numbers are not told apart."""
MOST_DIGITS = 11


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """`resume` and `prefix` as in docs/design/proxy.md; `not_run` on an answer promises that nothing ran.
    `credential`: a client's key; `tenant`: tells a replica whose key that was."""

    request_id: str = "Basaltport-Request"
    deadline: str = "Basaltport-Deadline-Ms"
    expect_replica: str = "Basaltport-Expect-Replica"
    stamp: str = "Basaltport-Stamp"
    not_run: str = "Basaltport-Not-Run"
    model: str = "Basaltport-Model"
    tokens: str = "Basaltport-Tokens"
    prefix: str = "Basaltport-Prompt-Prefix"
    resume: str = "Last-Event-Id"
    priority: str = "Basaltport-Priority"
    replica: str = "Basaltport-Replica"
    credential: str = "Basaltport-Key"
    tenant: str = "Basaltport-Tenant"
    ready_path: str = "/ready"

    def not_passed_on(self) -> frozenset[str]:
        """Headers of a client that no replica gets, in small letters: keys are secret, and whose request it
        is, the proxy says."""
        return frozenset((self.credential.lower(), self.tenant.lower()))


def number(raw: str | None, most: int = MOST) -> int:
    """A whole number of a header, or -1."""
    if not raw or not raw.isascii() or not raw.isdigit() or len(raw) > MOST_DIGITS:
        return -1
    return min(int(raw), most)
