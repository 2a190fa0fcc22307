"""What proxies and the owners of tenants' limits say to each other; numbers from 60."""

import basaltport.identifiers as identifiers
import basaltport.messages as messages


@messages.message(60)
class QuotaRequest:
    """A proxy asks the owner of a shard. `number` grows with each request of an incarnation; `sent_at` is on the
    proxy's clock, in ms. `rows` by tenant: [tokens wanted now, demand in requests per 1000 s, millionths of the limit
    held as a share, number of the request whose grant that is, ms that it still lasts]; zeros at the end are left
    out."""

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
    """The owner's answer: `number` and `sent_at` of the request. `rows` by tenant: [tokens granted, ms to come
    back after if that is fewer than wanted, millionths of the limit as a share, ms that the share lasts from
    `sent_at`]; zeros at the end are left out: without a share the proxy holds none."""

    shard: str
    number: int
    sent_at: identifiers.Millis
    rows: messages.Document
