"""The reducer of a proxy: it queues requests, sends them to replicas and ends each of them exactly once."""

import collections
import collections.abc
import copy
import random

import basaltport.consensus.state_machine as state_machine
import basaltport.cold_start.decision as cold_start
import basaltport.events as base
import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.proxy.admission as admission
import basaltport.proxy.admission_queue as admission_queue
import basaltport.proxy.attempt as attempt
import basaltport.proxy.events as events
import basaltport.proxy.health as health
import basaltport.proxy.held_arrivals as held_arrivals
import basaltport.proxy.latency_histograms as latency_histograms
import basaltport.proxy.limited_arrivals as limited_arrivals
import basaltport.proxy.load_balancing as load_balancing
import basaltport.proxy.model_readiness as model_readiness
import basaltport.proxy.queue_launch as queue_launch
import basaltport.proxy.quota_admission as quota_admission
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.request as request
import basaltport.proxy.retry_budget as retry_budget
import basaltport.proxy.routing as routing
import basaltport.proxy.tenant_access as tenant_access
import basaltport.proxy.tenant_counts as tenant_counts
import basaltport.proxy.tenant_directory as tenant_directory
import basaltport.quota.bounds as bounds

TIMINGS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 20,
    "cold_excess": 1.0,
    "cold_slack": 0,
    "drain_ms": 3000,
    "grace_s": 8,
}
"""Defaults of the settings that a deployment may change; see docs/design/platform.md."""
STARTING_RETRY_AFTER_MS = 1500
"""Retry time that is sent to clients before the first configuration arrives."""
MAX_PROXIES = 340
"""Number of proxies assumed for limits over all proxies until it is known: the most that are supported."""
ASSUMED_PROXIES = 16
"""Number of proxies assumed until the feed reports it."""
UNAVAILABLE = 503
NO_ROUTE = ""
"""Route label of counters for requests that match no route."""
STARTING = "no configuration yet"
ENDING = "this proxy ends"


class ProxyNode(
    limited_arrivals.LimitedArrivalsMixin,
    follow.FollowMixin,
    member.Member,
):
    """One reducer for all events of a proxy. Its parts are created with references to each other and read the
    clock and the fleet from it.

    `requests` holds all unfinished requests by id.
    """

    me: member.Me
    now: identifiers.Millis
    rng: random.Random
    cluster_state: state_machine.ClusterState
    rows: dict[str, replica_table.FeedRow]

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        timings: collections.abc.Mapping[str, float] | None = None,
        zones: int = 1,
    ) -> None:
        """`zones` is the number of zones; `timings` overrides the defaults, see docs/design/platform.md."""
        member.Member.__init__(self, me, seed, now)
        self.timings: collections.abc.Mapping[str, float] = {**TIMINGS, **(timings or {})}
        self.zones = max(1, zones)
        self.table = routing.RoutingTable(None)
        self.compiled_document: replica_table.FeedRow | None = None
        self.requests: dict[int, request.Request] = {}
        self.queue = admission_queue.AdmissionQueue()
        self.held_arrivals = held_arrivals.HeldArrivals()
        self.outcome_counts: dict[str, int] = {}
        self.refusals: collections.Counter[tuple[str, str]] = collections.Counter()
        """Requests that never ran and were rejected, by route and reason."""
        self.failures: collections.Counter[tuple[str, str]] = collections.Counter()
        """Requests that may have run and ended without a response, by route and reason."""
        self.tenant_counts = tenant_counts.TenantCounts()
        self.histograms = latency_histograms.LatencyHistograms()
        self.stopped = False
        self.is_ending = False
        self.health = health.HealthTable()
        self.latency = health.LatencyEstimates()
        self.budgets = retry_budget.RetryBudgets(now, self.timings)
        incarnation = random.Random(f"{seed} incarnation").getrandbits(quota_admission.INCARNATION_BITS)
        quota_bounds = bounds.QuotaBounds.from_timings(self.timings)
        self.quota = quota_admission.QuotaAdmission(self, incarnation, quota_bounds)
        self.create_parts()
        follow.FollowMixin.follow_start(self)

    def create_parts(self) -> None:
        """Create the parts that share state with each other."""
        self.balancer = load_balancing.LoadBalancer(self, self.health, self.latency)
        self.readiness = model_readiness.ModelReadiness(self, self.balancer)
        self.access = tenant_access.TenantAccess(self)
        self.admission = admission.Admission(self, self.queue, self.readiness, self.budgets)
        self.attempts = attempt.AttemptTracker(self, self.balancer, self.readiness, self.budgets)
        self.launcher = queue_launch.QueueLauncher(self.queue, self.balancer, self.attempts)
        self.expiry = queue_launch.ExpiryCheck(self.balancer, self.readiness)

    def hypothetical_copy(self, now: identifiers.Millis) -> "ProxyNode":
        """Returns a copy for explaining decisions; using it changes no state, counter or random generator
        of this node."""
        hypothetical = copy.copy(self)
        hypothetical.now, hypothetical.rng, hypothetical.out = now, random.Random(0), []
        hypothetical.requests, hypothetical.outcome_counts = dict(self.requests), {}
        hypothetical.refusals, hypothetical.failures = collections.Counter(), collections.Counter()
        hypothetical.tenant_counts = tenant_counts.TenantCounts()
        hypothetical.histograms = latency_histograms.LatencyHistograms()
        hypothetical.queue = admission_queue.AdmissionQueue(self.queue)
        hypothetical.health = self.health.clone(self.rows)
        hypothetical.budgets = retry_budget.RetryBudgets(self.budgets.started_at, self.timings)
        hypothetical.create_parts()
        statuses = self.readiness.statuses
        hypothetical.readiness.wait_ages = copy.deepcopy(self.readiness.wait_ages)
        hypothetical.readiness.statuses = {item: copy.copy(status) for item, status in statuses.items()}
        return hypothetical

    def proxy_count(self) -> int:
        """Returns about how many proxies there are, for the balance of load."""
        return self.proxies or ASSUMED_PROXIES

    def max_proxy_count(self) -> int:
        """Returns how many proxies share the limits that hold over all proxies: never too few."""
        return self.proxies or MAX_PROXIES

    def evacuated_zones(self) -> collections.abc.Collection[str]:
        """Returns the zones that accept no new requests."""
        zones: collections.abc.Collection[str] = self.cluster_state.evacuated_zones
        return zones

    def has_routing_data(self) -> bool:
        """Whether both a configuration and replicas are known."""
        return not self.table.is_empty and bool(self.rows)

    def ready(self) -> bool:
        """Whether this proxy accepts clients."""
        return not self.stopped and self.has_routing_data()

    # feed of replicas and configuration

    def state_changed(self) -> None:
        """Apply a change of the replicated state that the feed delivered."""
        document = self.cluster_state.configuration
        if document is not self.compiled_document:
            self.table = routing.RoutingTable(document, self.table)
            self.compiled_document = document
            self.quota.configure(document)
            self.drop_unconfigured_counters()
            self.end_revoked()
            self.emit(base.Note(int(log_events.Event.CONFIGURATION_IN_FORCE), self.configuration_fields()))
        self.route_held_arrivals()
        self.launch_all()

    def configuration_fields(self) -> dict[str, int | None]:
        """Returns the log fields for a new configuration; `tenants` is null if it defines no tenants."""
        tenants = self.table.tenants
        return {
            "serial": int(self.cluster_state.configuration_version),
            "edition": self.table.edition,
            "lines": sum(map(len, self.table.hosts.values())),
            "tenants": None if tenants.is_empty else len(tenants.tenants),
            "keys": tenants.key_count,
        }

    def drop_unconfigured_counters(self) -> None:
        """Drop the counters of routes and tenants that are no longer configured."""
        self.tenant_counts.retain(self.table.tenants.tenants)
        names = {NO_ROUTE, *(route.name for routes in self.table.hosts.values() for route in routes)}
        self.histograms.keep_routes(names)
        for counts in (self.refusals, self.failures):
            for key in [key for key in counts if key[0] not in names]:
                del counts[key]

    def rows_changed(self, ids: collections.abc.Iterable[str]) -> None:
        """Apply added, changed or removed rows of the given replicas."""
        self.balancer.rows_changed(ids)
        self.readiness.rows_changed(ids)
        self.route_held_arrivals()
        self.launch_all()

    def model_statuses_received(self, items: collections.abc.Mapping[str, replica_table.FeedRow]) -> None:
        """Handle the placement's answers, by item."""
        for item, answer in items.items():
            if self.readiness.handle_answer(item, answer) is not cold_start.WaitStep.END:
                continue
            retry_after_ms = self.readiness.status(item).retry_after_ms
            for waiting in self.queue.requests_for_item(item):
                if not self.balancer.is_item_available(waiting):
                    self.reject(waiting, "unavailable", retry_after_ms)
        self.launch_all()

    def usage(self) -> tuple[dict[str, int], dict[str, int]]:
        """Returns the requests by item since the last report, and the attempts in flight by replica."""
        running = {
            name: known.running_attempts for name, known in self.health.items() if known.running_attempts
        }
        return self.admission.take_item_uses(), running

    # requests

    def on_arrived(self, event: events.Arrived) -> None:
        """Handle a client's request that was read completely."""
        if self.is_ending:
            self.emit(events.Close(event.request, UNAVAILABLE, ENDING, attempt.RETRY_AFTER_MS))
            return
        if not self.has_routing_data():
            self.hold(event)
            return
        route = self.table.match(event.host, event.path)
        if route is None:
            self.deny(event.request, NO_ROUTE, self.access.deny_unknown_route())
            return
        access = self.access.check(route, event.key)
        if isinstance(access, tenant_access.Denied):
            self.deny(event.request, route.name, access)
            return
        self.admit(self.new_request(event, route, access.tenant), event)

    def new_request(
        self, event: events.Arrived, route: routing.Route, tenant: tenant_directory.Tenant | None
    ) -> request.Request:
        """Returns the state of a request that may be sent."""
        urgency = self.table.tenants.urgency(tenant)
        return request.Request(event.request, route, event, tenant, urgency)

    def admit(self, arrived: request.Request, event: events.Arrived) -> None:
        """Run a request through the admission steps of its route, or reject it."""
        rejection = self.admission.check(arrived, event)
        if rejection is not None:
            self.count_rejection(arrived.route.name, rejection.detail, arrived.tenant)
            effect = events.Close(arrived.id, UNAVAILABLE, rejection.detail, rejection.retry_after_ms)
            self.emit(effect)
            return
        self.admit_within_limit(arrived)

    # arrivals before the first data of the feed

    def hold(self, event: events.Arrived) -> None:
        """Hold an arrival until the first data of the feed arrives."""
        if self.held_arrivals.is_full():
            self.emit(events.Close(event.request, UNAVAILABLE, STARTING, STARTING_RETRY_AFTER_MS))
            return
        self.held_arrivals.hold(event, self.now)

    def route_held_arrivals(self) -> None:
        """Route the held arrivals once a configuration and replicas are known."""
        if not self.held_arrivals or not self.has_routing_data():
            return
        for arrived in self.held_arrivals.take_all():
            self.on_arrived(arrived)

    def expire_held_arrivals(self) -> None:
        """Reject arrivals that were held for their maximum time."""
        for request_id in self.held_arrivals.take_expired(self.now):
            self.emit(events.Close(request_id, UNAVAILABLE, STARTING, STARTING_RETRY_AFTER_MS))

    # the queue

    def launch_all(self) -> None:
        """Send all waiting requests that can be sent, and request items that no replica holds, after time
        or the feed changed."""
        if self.queue:
            self.launcher.launch(self.queue.groups())
            self.request_missing_items(self.queue.awaited_items())

    def launch_item(self, item: str) -> None:
        """Send requests that wait for an item, or request the item if no replica holds it."""
        self.launcher.launch(self.queue.groups_for_item(item))
        self.request_missing_items([item])

    def launch_at(self, replica_id: str, item: str) -> None:
        """After an attempt for an item ended at a replica, send waiting requests to that replica."""
        if not self.queue:
            return
        self.launcher.launch_at(replica_id)
        self.launch_item(item)

    def request_missing_items(self, items: collections.abc.Iterable[str]) -> None:
        """Request those of the given items from the placement that requests wait for and no replica holds;
        the placement then orders loads."""
        demand = self.readiness.take_due_items(self.queue, items)
        if demand.weights:
            self.report_demand(demand.weights, demand.waited_ms)

    def on_left(self, event: events.Left) -> None:
        """Handle a client's disconnect: its attempt is cancelled."""
        self.held_arrivals.pop(event.request, None)
        self.quota.forget(event.request)
        left = self.requests.get(event.request)
        if left is None:
            return
        self.forget(left)
        if left.attempt and left.attempt.id in self.attempts.in_flight:
            self.attempts.stop(left.attempt, request.StopReason.CLIENT_LEFT)

    def on_progress(self, event: events.Progress) -> None:
        """Handle response bytes of an attempt."""
        self.attempts.record_progress(event.attempt, event.connect_ms)

    def on_ended(self, event: events.Ended) -> None:
        """Handle the end of an attempt."""
        ended = self.attempts.record_end(event.attempt, event.result)
        if ended is not None:
            self.launch_at(ended.replica_id, ended.item)

    def on_tick(self, event: base.Tick) -> None:
        """Handle the passing of time."""
        follow.FollowMixin.tick_follow(self)
        self.expire_held_arrivals()
        self.apply_quota_decisions(self.quota.tick())
        self.reject_expired()
        self.attempts.stop_silent_attempts()
        self.launch_all()

    def reject_expired(self) -> None:
        """Reject requests as soon as it is certain that they cannot be answered in time."""
        for group in self.queue.groups():
            first_waiting = group.first()
            if first_waiting is not None and self.balancer.has_no_replica_left(first_waiting):
                for waiting in list(group.members.values()):
                    self.reject_late(waiting, "refused by the replica that it may go to")
            while (expired := self.expiry.first_expired(group, self.now)) is not None:
                self.reject_late(expired, "it could not be answered in time")

    def reject_late(self, waiting: request.Request, detail: str) -> None:
        """Reject a request; its client may retry when the item is expected to be loaded."""
        retry_after_ms = max(attempt.RETRY_AFTER_MS, self.readiness.retry_after_ms(waiting))
        self.reject(waiting, detail, retry_after_ms)

    # shutdown

    def on_stop(self, event: base.Stop) -> None:
        """Report not ready from now on; requests that still arrive are served."""
        self.stopped = True

    def on_finish(self, event: events.Finish) -> None:
        """Reject all waiting requests and cancel all attempts; the outcome of an attempt decides whether
        the response may state that the request did not run."""
        self.is_ending = True
        unsent = [arrived.request for arrived in self.held_arrivals.take_all()]
        unsent += [waiting.id for waiting in self.quota.take_all()]
        for request_id in unsent:
            self.emit(events.Close(request_id, UNAVAILABLE, ENDING, attempt.RETRY_AFTER_MS))
        for waiting in list(self.queue.values()):
            self.reject(waiting, ENDING, attempt.RETRY_AFTER_MS)
        self.attempts.stop_all()
