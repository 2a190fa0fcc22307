"""Names of the headers of requests and responses: the product's own, or those of the platform it runs on."""

import dataclasses

MAX_NUMBER = 10**8
"""Larger numbers are capped to this value."""
MAX_DIGITS = 11


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names; docs/design/proxy.md describes `resume` and `prefix`.

    `not_run` on a response guarantees that the request did not run. `credential` contains a client's key;
    `tenant` tells a replica which tenant owns that key.
    """

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

    def removed_headers(self) -> frozenset[str]:
        """Returns the lower-case names of client headers that are not sent to replicas: keys are secret,
        and the proxy itself sets the tenant."""
        return frozenset((self.credential.lower(), self.tenant.lower()))


def parse_number(raw: str | None, max_value: int = MAX_NUMBER) -> int:
    """Returns the non-negative integer of a header, or -1 if it has none."""
    if not raw or not raw.isascii() or not raw.isdigit() or len(raw) > MAX_DIGITS:
        return -1
    return min(int(raw), max_value)
