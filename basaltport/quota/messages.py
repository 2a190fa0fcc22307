"""What proxies and the owners of tenants' limits say to each other; numbers from 60."""

import basaltport.identifiers as identifiers
import basaltport.messages as messages


@messages.message(60)
class QuotaRequest:
    """A proxy asks the owner of a shard. `number` grows with each request of an incarnation to anybody;
    `sent_at` is on the proxy's clock, in ms. `rows` by tenant: [tokens wanted now, demand in requests per
    1000 s, millionths of the limit held as a share, ms that it still lasts, `by`]; zeros at the end are left
    out. Grants of requests up to number `by` change the proxy's share no more."""

    name: identifiers.Name
    incarnation: int
    address: str
    """For the grant."""
    shard: str
    number: int
    sent_at: identifiers.Millis
    rows: messages.Document


@messages.message(61)
class QuotaGrant:
    """The owner's answer, with `incarnation`, `number` and `sent_at` of the request. `rows` by tenant:
    [tokens granted, ms to come back after where that is fewer than wanted, millionths of the limit as a
    share, ms that the share lasts from `sent_at`]; zeros at the end are left out. A row without a share ends
    the one that is held; a tenant that the owner doesn't know has no row."""

    incarnation: int
    shard: str
    number: int
    sent_at: identifiers.Millis
    rows: messages.Document
