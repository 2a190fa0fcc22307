"""Status pages and metrics of a proxy for operators: pure functions of the reducer's state.

`now` is in ms on the proxy's clock. docs/operate/platform.md describes the keys of the pages.
"""

import collections
import collections.abc
import typing

import basaltport.credentials as credentials
import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.health as health
import basaltport.proxy.latency_histograms as latency_histograms
import basaltport.proxy.node as node
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.request as request
import basaltport.proxy.routing as routing
import basaltport.proxy.tenant_access as tenant_access
import basaltport.proxy.tenant_directory as tenant_directory

Document = dict[str, typing.Any]
LabelledValue = tuple[tuple[str, ...], float | latency_histograms.Histogram]
Sample = tuple[str, str, str, tuple[str, ...], collections.abc.Sequence[LabelledValue]]
SECOND_MS = 1000
PART_DIGITS = 4
SCORE_DIGITS = 3
REFUSED = "refused"
GRANTED = "granted"


def queue(proxy: node.ProxyNode, now: identifiers.Millis) -> list[Document]:
    """Returns the waiting requests by service and item, the longest wait first."""
    waits_ms: dict[tuple[str, str], list[int]] = {}
    for waiting_request in proxy.queue.values():
        waits_ms.setdefault((waiting_request.service, waiting_request.item), []).append(
            now - waiting_request.arrived_at
        )
    rows = [
        {"service": service, "item": item, "waiting": len(waits), "oldest_ms": max(0, *waits)}
        for (service, item), waits in waits_ms.items()
    ]
    return sorted(rows, key=lambda row: -row["oldest_ms"])


def retries(proxy: node.ProxyNode, now: identifiers.Millis) -> dict[str, dict[str, int]]:
    """Returns, by service, first attempts and retries in the window and the number of retries still
    allowed."""
    by_service = {}
    for service, budget in proxy.budgets.items():
        by_service[service] = {
            "first": budget.first_attempts.peek(now),
            "further": budget.retries.peek(now),
            "left": budget.remaining(now, proxy.max_proxy_count()),
        }
    return by_service


def replica(
    proxy: node.ProxyNode, now: identifiers.Millis, replica_row: replica_table.ReplicaRow
) -> Document:
    """Returns a replica's status as seen by this proxy."""
    page: Document = {
        "id": replica_row.replica_id,
        "service": replica_row.service,
        "zone": replica_row.zone,
        "state": replica_row.state,
    }
    replica_health = proxy.health.get(replica_row.replica_id) or health.ReplicaHealth()
    page |= {
        "running": replica_health.running_attempts,
        "down_ms": max(0, replica_health.ejected_until - now),
        "failures": replica_health.failures,
        "first_ms": round(replica_health.first_byte_ms),
        "cold_ms": max(0, replica_health.slow_start_until - now),
        "lacks": sorted(
            item for item in replica_health.missing_until if replica_health.is_missing(item, now)
        ),
    }
    return {**page, "state": "moved"} if replica_health.is_replaced else page


def replicas(proxy: node.ProxyNode, now: identifiers.Millis) -> list[Document]:
    """Returns the status of all replicas as seen by this proxy, by id."""
    replica_row = replica_table.ReplicaTable()
    replica_row.refresh(proxy.rows)
    return [replica(proxy, now, row) for _, row in sorted(replica_row.replicas.items())]


def status(proxy: node.ProxyNode, now: identifiers.Millis) -> Document:
    """Returns the status page of a proxy."""
    me = proxy.me
    running = {name: replica_health.running_attempts for name, replica_health in sorted(proxy.health.items())}
    return {
        "role": "proxy",
        "name": me.name,
        "zone": me.zone,
        "ready": proxy.ready(),
        "led": follow.FollowMixin.has_leader(proxy),
        "leader_address": proxy.leader_address or None,
        "rows_age_ms": now - proxy.last_update_at if proxy.last_update_at > 0 else None,
        "generation": proxy.feed_term.text(),
        "serial": int(proxy.cluster_state.log_index),
        "edition": proxy.table.edition,
        "proxies": proxy.proxies,
        "evacuated": sorted(proxy.evacuated_zones()),
        "queue": queue(proxy, now),
        "requests": len(proxy.requests),
        "runs": {name: attempts for name, attempts in running.items() if attempts},
        "replicas": replicas(proxy, now),
        "tally": dict(sorted(proxy.outcome_counts.items())),
        "retries": retries(proxy, now),
    }


# explanation of a request


def explain(
    proxy: node.ProxyNode,
    now: identifiers.Millis,
    host: str,
    path: str,
    item: str = "",
    deadline: int = -1,
    tokens: int = 0,
    tenant: str = "",
) -> Document:
    """Returns what would happen to a request that arrived now: {"route", "access", "outcomes"}.

    "access" says whether the request may be sent for the named tenant, "" for a request without a key. If so,
    "outcomes" has one entry for each service of the route, with its fraction of the requests.
    """
    page: Document = {"host": host, "path": path, "item": item, "edition": proxy.table.edition}
    route = proxy.table.match(host, path)
    if route is None:
        return {**page, **no_route_result(proxy.hypothetical_copy(now)), "route": None, "outcomes": []}
    page |= {
        "route": route_fields(route),
        "access": access_result(proxy.hypothetical_copy(now), route, tenant),
        "outcomes": [],
    }
    if page["access"]["outcome"] == REFUSED:
        return page
    arrived = events.Arrived(now, 0, host, path, identifiers.Item(item), deadline, tokens, "")
    owner = proxy.table.tenants.get(tenant)
    page["outcomes"] = [
        service_outcome(
            proxy.hypothetical_copy(now), route, arrived, owner, service, round(part, PART_DIGITS)
        )
        for service, part in route.shares.service_fractions()
    ]
    return page


def no_route_result(proxy: node.ProxyNode) -> Document:
    """Returns the result for a request that matches no route."""
    if proxy.table.is_empty:
        return {"outcome": REFUSED, "status": node.UNAVAILABLE, "why": node.STARTING}
    return denial(proxy.access.deny_unknown_route())


def access_result(proxy: node.ProxyNode, route: routing.Route, tenant: str) -> Document:
    """Returns whether a request may be sent for a tenant, "" for a request without a key. Keys are never
    requested or shown."""
    needs_key = not proxy.table.tenants.is_empty and not route.public
    page: Document = {"needs_key": needs_key, "tenant": tenant}
    if tenant and proxy.table.tenants.get(tenant) is None:
        return {**page, "outcome": REFUSED, "status": 0, "why": "no tenant of this name"}
    if tenant:
        return {**page, "outcome": GRANTED}
    found = proxy.access.check(route, credentials.NO_KEY)
    if isinstance(found, tenant_access.Granted):
        return {**page, "outcome": GRANTED}
    return {**page, **denial(found)}


def denial(denied: tenant_access.Denied) -> Document:
    """Returns the result for a request that is denied."""
    is_final = denied.reason is tenant_access.Reason.NO_ROUTE
    return {
        "outcome": str(denied.reason) if is_final else REFUSED,
        "status": denied.status,
        "why": str(denied.reason),
        "retry_after_ms": denied.retry_after_ms,
    }


def route_fields(route: routing.Route) -> Document:
    """Returns the fields of a route that operators see."""
    return {
        "name": route.name,
        "prefix": route.prefix,
        "kind": str(route.kind),
        "urgency": route.urgency,
        "attempts": route.attempts,
        "pinned": route.pinned,
        "public": route.public,
        "deadline_ms": int(route.deadline_ms),
        "target_ms": int(route.target_ms),
    }


def service_outcome(
    proxy: node.ProxyNode,
    route: routing.Route,
    arrived: events.Arrived,
    tenant: tenant_directory.Tenant | None,
    service: str,
    part: float,
) -> Document:
    """Returns what would happen to a request to a service; `proxy` is a copy that may be modified."""
    example = request.Request(0, route, arrived, tenant, proxy.table.tenants.urgency(tenant))
    example.service = service
    ahead = sum((w.service, w.item) == (service, example.item) for w in proxy.queue.values())
    rejection = proxy.admission.check(example, arrived, service)
    page: Document = {"service": service, "part": part, "item": example.item, "ahead": ahead}
    page["priority"] = proxy.table.tenants.priority(tenant, route.urgency)
    page["candidates"] = candidates(proxy, example)
    if rejection is not None:
        page |= {"outcome": REFUSED, "status": node.UNAVAILABLE, "why": rejection.detail}
        return {**page, "retry_after_ms": rejection.retry_after_ms}
    proxy.admission.enqueue(example)
    chosen = proxy.balancer.choose(example)
    if chosen is not None:
        return {**page, "outcome": "sent", "replica": chosen.replica_id, "address": chosen.address}
    return {**page, **wait_explanation(proxy, example)}


def wait_explanation(proxy: node.ProxyNode, example: request.Request) -> Document:
    """Returns why a request would wait, and its maximum wait."""
    is_held = not example.item or proxy.balancer.is_item_available(example)
    replica_health = proxy.readiness.statuses.get(example.item)
    expected_ms = int(proxy.readiness.expected_load_ms(example)) if example.item else 0
    return {
        "outcome": "waits",
        "why": "every replica that holds it is busy" if is_held else "no replica that is open holds it",
        "at_most_ms": int(proxy.readiness.wait_ends_at(example) - proxy.now),
        "fact": str(replica_health.state) if replica_health else "",
        "expected_ms": expected_ms,
    }


def candidates(proxy: node.ProxyNode, example: request.Request) -> list[Document]:
    """Returns the replicas of a request's service, the best first, with the reason why each cannot be
    used."""
    rows = []
    for replica_id, replica_row in sorted(proxy.balancer.replicas().items()):
        if replica_row.service != example.service:
            continue
        verdict = proxy.balancer.verdict(replica_row, example)
        score = round(proxy.balancer.score(replica_row, example), SCORE_DIGITS) if verdict.is_usable else None
        rows.append(
            {"replica": replica_id, "zone": replica_row.zone, "verdict": verdict.reason, "score": score}
        )
    return sorted(
        rows, key=lambda row: (row["score"] is None, row["score"] or 0, row["verdict"], row["replica"])
    )


# metrics


def gauge(name: str, text: str, value: float) -> Sample:
    """Returns a metric without labels."""
    return f"basaltport_{name}", "gauge", text, (), [((), value)]


def samples(proxy: node.ProxyNode, now: identifiers.Millis) -> collections.abc.Iterator[Sample]:
    """Yield the metrics of a proxy as (name, type, help, labels, values)."""
    yield gauge("ready", "1 where this proxy takes clients", int(proxy.ready()))
    yield gauge("led", "1 where a leader is heard", int(follow.FollowMixin.has_leader(proxy)))
    yield gauge("serial", "Serial of the agreed book", int(proxy.cluster_state.log_index))
    yield gauge("edition", "Edition of the configuration in force", proxy.table.edition)
    if proxy.last_update_at > 0:
        age_s = (now - proxy.last_update_at) / SECOND_MS
        yield gauge("rows_age_seconds", "Since replicas' rows were last confirmed", age_s)
    failed = [((), float(proxy.failed_steps))]
    yield "basaltport_failed_steps", "counter", "Steps that ended with an unexpected error", (), failed
    yield gauge("requests", "Requests here, waiting or sent", len(proxy.requests))
    yield gauge("runs", "Attempts under way", len(proxy.attempts.in_flight))
    yield gauge("waiting", "Requests that wait", len(proxy.queue))
    oldest = max((now - waiting_request.arrived_at for waiting_request in proxy.queue.values()), default=0)
    yield gauge("wait_seconds", "The longest of the waits", oldest / SECOND_MS)
    outcome_counts = [((label,), number) for label, number in sorted(proxy.outcome_counts.items())]
    yield "basaltport_outcomes", "counter", "Ends of attempts and own refusals", ("outcome",), outcome_counts
    by_reason = ("route", "reason")
    refusals, failures = sorted(proxy.refusals.items()), sorted(proxy.failures.items())
    yield "basaltport_refusals", "counter", "Requests refused here that never ran", by_reason, refusals
    by_tenant = ("tenant", "outcome")
    tenant_requests = sorted(proxy.tenant_counts.items())
    yield "basaltport_tenant_requests", "counter", "Requests by tenant", by_tenant, tenant_requests
    yield "basaltport_failures", "counter", "Requests that may have run and failed", by_reason, failures
    durations = [((route, part.value), counted) for (route, part), counted in proxy.histograms.items()]
    text = "How long requests took, by part of their way"
    yield (
        "basaltport_duration_seconds",
        "histogram",
        text,
        ("route", "part"),
        sorted(durations, key=sample_labels),
    )
    left = [((service,), row["left"]) for service, row in sorted(retries(proxy, now).items())]
    text = "Further attempts that there may be now"
    yield "basaltport_retries_left", "gauge", text, ("service",), left
    yield from limit_samples(proxy)
    states = collections.Counter(replica_labels(seen) for seen in replicas(proxy, now))
    labels = ("service", "zone", "state")
    yield "basaltport_replicas", "gauge", "Replicas as this proxy sees them", labels, sorted(states.items())


def limit_samples(proxy: node.ProxyNode) -> collections.abc.Iterator[Sample]:
    """Yield the metrics of admission by tenants' limits."""
    counts = proxy.quota.holder.counts()
    outcome_counts = [
        (("share",), counts.admitted_by_share),
        (("owner",), counts.admitted_by_owner),
        (("over-limit",), counts.refused_over_limit),
        (("owner-silent",), counts.refused_owner_silent),
    ]
    text = "Requests of limited tenants: admitted by a share or an owner's token, or refused"
    yield "basaltport_limit_decisions", "counter", text, ("by",), outcome_counts
    waited_s = [((), counts.waited_ms / SECOND_MS)]
    yield "basaltport_limit_wait_seconds", "counter", "Waits for owners of limits, together", (), waited_s
    yield gauge("limit_shares", "Shares of limits held here", counts.shares)
    yield gauge("limit_waiting", "Requests that wait for the word of a limit's owner", counts.waiting)


def sample_labels(sample: LabelledValue) -> tuple[str, ...]:
    """Returns the labels of a sample."""
    return sample[0]


def replica_labels(seen: Document) -> tuple[str, str, str]:
    """Returns the labels by which replicas are counted."""
    return seen["service"], seen["zone"], "down" if seen["down_ms"] else seen["state"]
