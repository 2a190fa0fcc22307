"""Messages between controllers and proxies; their numbers begin at 40."""

import dataclasses

import basaltport.identifiers as identifiers
import basaltport.messages as messages


@messages.message(40)
class Follow:
    """A proxy's report to the leader of how much of the feed it has received.

    `term`: of the leader whose feed it has. `log_index`: of its copy of the replicated state. `rows_version`:
    of its rows, -1 if it has none. `request_counts`: requests by item since its last report.
    `running_counts`: requests that run now, by replica. `last_update`: the number of the last update of that
    feed that it has received, 0 if none. `proxy_count`: the number of proxies that it goes by, 0 if
    unknown. Proxies of older releases don't send the last two.
    """

    name: identifiers.Name
    zone: identifiers.Zone
    address: str
    term: identifiers.Term
    log_index: identifiers.LogIndex
    rows_version: int
    request_counts: messages.Document
    running_counts: messages.Document
    last_update: int = 0
    proxy_count: int = 0


@messages.message(41)
class Update:
    """The leader's update of a proxy: the replicated state up to `log_index`, and rows up to `rows_version`.

    The state comes as the `entries` that the proxy lacks, or as `state_copy`. `rows` and `removed_ids` are
    the changes after `base_version`; with `has_all_rows`, `rows` replaces all rows. `leader`,
    `leader_address` and `controller_addresses` are empty if they have not changed. `proxy_count`: live
    proxies; `is_count_settled`: that every live proxy has had time to report to this leader. `number`: of
    this update in the leader's feed, from 1 on. `unconfirmed_zones`: zones whose replicas may be cold
    although their rows don't show it; see `readmitted_zones`. Leaders of older releases don't send the last
    three.
    """

    term: identifiers.Term
    leader: identifiers.Name
    leader_address: str
    controller_addresses: list[str]
    log_index: identifiers.LogIndex
    entries: messages.Entries
    state_copy: messages.FeedState
    has_all_rows: bool
    base_version: int
    rows_version: int
    rows: messages.Document
    removed_ids: list[str]
    proxy_count: int
    number: int = 0
    is_count_settled: bool = True
    unconfirmed_zones: list[str] = dataclasses.field(default_factory=list)


@messages.message(42)
class Redirect:
    """A follower's answer to a proxy: its leader ("" if it has none) and the addresses of all controllers."""

    term: identifiers.Term
    leader: identifiers.Name
    leader_address: str
    controller_addresses: list[str]


@messages.message(43)
class Want:
    """A proxy's demand: the number of waiting requests by item.

    `waited_ms`: for how long each item has been in demand, including by requests that have ended since.
    Proxies of older releases don't send it.
    """

    name: identifiers.Name
    zone: identifiers.Zone
    address: str
    demand: messages.Document
    waited_ms: messages.Document = dataclasses.field(default_factory=dict)


@messages.message(44)
class Facts:
    """The leader's answer to a `Want`: the `placement.model_status.ModelStatus` of each item as a
    document."""

    statuses: messages.Document
