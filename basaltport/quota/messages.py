"""Messages between proxies and the owners of tenants' limits; their type numbers start at 60."""

import basaltport.identifiers as identifiers
import basaltport.messages as messages


@messages.message(60)
class QuotaRequest:
    """A proxy requests tokens and shares from the owner of a shard.

    `number` increases with each request of an incarnation, to any owner; `sent_at` is on the proxy's clock,
    in ms. `rows` by tenant: [tokens wanted now, demand in requests per 1000 s, share held in millionths of
    the limit, remaining ms of the share, `ignored_up_to`]; trailing zeros are omitted. Grants that answer
    requests up to the number `ignored_up_to` no longer change the proxy's share."""

    name: identifiers.Name
    incarnation: int
    address: str
    """The address to which the owner sends the grant."""
    shard: str
    number: int
    sent_at: identifiers.Millis
    rows: messages.Document


@messages.message(61)
class QuotaGrant:
    """The owner's answer to a request, with its `incarnation`, `number` and `sent_at`.

    `rows` by tenant: [tokens granted, ms before a retry if fewer than wanted were granted, share in
    millionths of the limit, ms from `sent_at` for which the share is valid]; trailing zeros are omitted. A
    row without a share ends the share that is held; a tenant without a limit at the owner has no row."""

    incarnation: int
    shard: str
    number: int
    sent_at: identifiers.Millis
    rows: messages.Document
