"""ADR 0041 at the query node: what is known of each model, and the shared wait for a load."""

import dataclasses
import http
import typing

import basaltport.cold_start.decision as decision
import basaltport.cold_start.limits as limits
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.query_api.events as events
import basaltport.query_api.failure_detection.role_owners as role_owners
import basaltport.query_api.messages as messages
import basaltport.query_api.query_proxy.admission as admission
import basaltport.query_api.query_proxy.final_answers as final_answers
import basaltport.query_api.query_proxy.model_state as model_state
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.query_proxy.retries as retries
import basaltport.rendezvous as rendezvous

ANSWER_WAITED_MS = 400
CELLS_WAITED_MS = 1500
MIN_RETRY_AFTER_MS = 200
REMEMBERED_REQUESTS = 2000
LOADED = model_state.LOADED
LOADING = model_state.LOADING
ModelState = model_state.ModelState

QUEUED = request.RequestState.QUEUED


@dataclasses.dataclass(slots=True, eq=False)
class LoadWait:
    """The wait for an item's load, shared by every request for it here.

    `zones`: those still to be asked, the next one first; `began`: the load has begun."""

    item: identifiers.Item
    since: int
    next_at: int
    pool: str
    zones: list[identifiers.Zone]
    request_number: int = 0
    began: bool = False
    answered: bool = True


class ModelReadinessMixin(retries.RetriesMixin):
    """Requests of a shared wait stay in their queues: nothing else is held for them."""

    def readiness_start(self) -> None:
        """Begin with nothing known."""
        self.model_states: dict[identifiers.Item, ModelState] = {}
        self.first_lease: identifiers.Millis | None = None
        self.load_waits: dict[identifiers.Item, LoadWait] = {}
        self.status_requests: dict[int, identifiers.Item] = {}
        self.status_request_number = 0
        self.retries_start()

    def model_state(self, item: identifiers.Item) -> ModelState:
        """What is known of an item; at first what the configuration declares."""
        known = self.model_states.get(item)
        if known is None:
            known = self.model_states[item] = ModelState()
            rule = self.rules.items.get(item)
            if rule:
                known.idle_window_ms, known.expected_load_ms = rule.idle_window, rule.expected
        return known

    def is_warm(self, item: identifiers.Item) -> bool:
        """Whether an item served so lately that it need not be asked for."""
        known = self.model_states.get(item)
        if known is None:
            return False
        sign = decision.WarmSign(known.kept, known.last_served_at, known.idle_window_ms)
        return decision.is_warm(sign, self.now)

    def load_left(self, item: identifiers.Item) -> int:
        """How long an item's load is expected to take still, in milliseconds."""
        known = self.model_state(item)
        loading_ms = self.now - known.loading_since if known.state == LOADING else 0
        return decision.load_left_ms(known.expected_load_ms, loading_ms)

    # the shared wait

    def ready_or_wait(self, waiting: request.Request) -> final_answers.Rejection | None:
        """Mark a request ready, or let it wait for its item; rejected where it cannot outlast the load."""
        item = waiting.item
        may_be_held = bool(self.usable(item))
        known = self.model_state(item)
        arrival = decision.on_arrival(
            is_warm=may_be_held and self.is_warm(item),
            may_be_held=may_be_held,
            remaining_ms=waiting.deadline - self.now,
            expected_load_ms=known.expected_load_ms,
        )
        if arrival is decision.Arrival.SEND:
            waiting.ready = True
            return None
        if arrival is decision.Arrival.FAIL:
            detail = self.too_short_detail(waiting, known)
            status = http.HTTPStatus.GATEWAY_TIMEOUT
            return final_answers.Rejection(status, "deadline-too-short", detail, known.expected_load_ms)
        waiting.ready = False
        waiting.waiting_since = self.now
        self.wait_for(waiting)
        return None

    def too_short_detail(self, waiting: request.Request, known: ModelState) -> str:
        """Why a deadline is too short."""
        remaining_ms = waiting.deadline - self.now
        return f"{waiting.item}: {remaining_ms} ms remain, a load takes about {known.expected_load_ms} ms"

    def wait_for(self, waiting: request.Request) -> None:
        """Join the wait for an item, or begin it."""
        item = waiting.item
        if item in self.load_waits:
            return
        wait = LoadWait(item, self.now, self.now, waiting.rule.pool, self.zones_for(item))
        self.load_waits[item] = wait
        asked_at = self.model_state(item).asked_at
        if self.now - asked_at < limits.POLL_SPACING_FLOOR_MS:
            wait.next_at = asked_at + limits.POLL_SPACING_FLOOR_MS
            return
        self.ask_next_zone(wait)

    def must_hear_cells(self) -> bool:
        """A node that just started may not order a load that a zone not heard of yet may hold."""
        if self.first_lease is None and self.leased():
            self.first_lease = self.now
        return not self.cells_known() and self.now - (self.first_lease or self.now) < CELLS_WAITED_MS

    def zones_for(self, item: identifiers.Item) -> list[identifiers.Zone]:
        """Zones that hold it first, then those with its model, then those with room, then by weight."""
        evacuated = self.cluster_state.evacuated_zones
        names = [identifiers.Zone(name) for name in self.rules.zones]
        zones = [name for name in names if name not in evacuated and name not in self.evacuation_hints]
        serving = {zone for zone, name in self.holders.get(item, []) if self.may_use(name)}
        model = item.base()
        with_model = self.zones_with.get(model, ())
        roomy = {zone for zone in zones if self.has_room(zone, item)}

        def rank(zone: identifiers.Zone) -> tuple[bool, bool, bool, int]:
            """Zones that serve the item first, then those with its model, then those with room."""
            weight = rendezvous.weight(model, zone)
            return zone not in serving, zone not in with_model, zone not in roomy, -weight

        return sorted(zones, key=rank)

    def ask_next_zone(self, wait: LoadWait) -> None:
        """Ask the next zone for the load; without one the item is unavailable."""
        if self.must_hear_cells():
            wait.next_at = self.now + limits.POLL_SPACING_FLOOR_MS // 4
            return
        if not wait.zones:
            self.item_unavailable(wait.item, "no zone can hold it")
            return
        self.model_state(wait.item).asked_at = self.now
        wait.answered = False
        wait.request_number = self.request_status(wait.item, wait.zones[0], True, wait.pool)
        wait.next_at = self.now + ANSWER_WAITED_MS

    def request_status(
        self, item: identifiers.Item, zone: identifiers.Zone, wake: bool, pool: str = ""
    ) -> int:
        """Ask a zone's controller how an item stands; with `wake`, for its load. The request's number."""
        self.status_request_number += 1
        number = self.status_request_number
        self.status_requests[number] = item
        while len(self.status_requests) > REMEMBERED_REQUESTS:
            self.status_requests.pop(next(iter(self.status_requests)))
        owner = self.cluster_state.role_owners.get(role_owners.zone_role(zone))
        address = self.address_of(owner.owner) if owner else None
        if address:
            self.send(address, messages.ModelStatusRequest(number, self.me.seat, item, zone, wake, pool))
        return number

    def learn(self, message: messages.ModelStatus) -> ModelState:
        """Take what a zone's controller says of an item."""
        known = self.model_state(message.item)
        known.state, known.kept = message.state, message.kept
        known.idle_window_ms, known.expected_load_ms = message.idle_window, message.expected
        known.serving_since = self.now - message.serving_for if message.serving_for >= 0 else None
        known.reason, known.loading_since = message.reason, self.now - message.loading_for
        if message.state == LOADED:
            holders = self.holders.setdefault(message.item, [])
            found = [(message.zone, name) for name in message.replicas]
            holders.extend(holder for holder in found if holder not in holders)
        return known

    def hear_model_status(self, source: str, message: messages.ModelStatus) -> None:
        """A zone's controller tells how an item stands."""
        if self.status_requests.pop(message.request_number, None) is None:
            return
        known = self.learn(message)
        check = self.timeout_checks.pop(message.request_number, None)
        if check:
            self.classify_timeout(check, known)
            return
        wait = self.load_waits.get(message.item)
        if wait is None:
            return
        if wait.request_number != message.request_number and message.state not in (LOADED, LOADING):
            return
        wait.answered = True
        step = decision.after_answer(message.state)
        if step is decision.WaitStep.READY:
            self.load_ended(wait, known)
        elif step is decision.WaitStep.POLL:
            self.load_goes_on(wait, known, message)
        else:
            wait.zones.pop(0)
            known.reason = message.reason
            self.ask_next_zone(wait)

    def load_ended(self, wait: LoadWait, known: ModelState) -> None:
        """The item serves: all that waited for it is ready."""
        known.last_served_at = self.now
        del self.load_waits[wait.item]
        if wait.began:
            known.last_load_ms = self.now - wait.since
            self.note(log_events.Event.LOAD_WAIT_ENDED, item=wait.item, waited_ms=known.last_load_ms)
        for waiting in self.queues:
            if waiting.item == wait.item and waiting.state is QUEUED:
                waiting.ready = True
        self.pump()

    def load_goes_on(self, wait: LoadWait, known: ModelState, message: messages.ModelStatus) -> None:
        """The item is being loaded: ask again when the controller says."""
        if not wait.began:
            wait.began = True
            self.note(
                log_events.Event.LOAD_WAIT_STARTED,
                item=message.item,
                zone=message.zone,
                expected_ms=message.expected,
            )
        asked_at = known.asked_at
        wait.next_at = decision.next_ask_at(decision.JSON_API, asked_at, self.now, message.retry_after)
        self.reject_too_short(message.item, known)

    def item_unavailable(self, item: identifiers.Item, reason: str) -> None:
        """No zone can serve an item: end what waits for it."""
        self.load_waits.pop(item, None)
        reason = self.model_state(item).reason or reason
        for waiting in self.waiting_for(item):
            self.reject(waiting, http.HTTPStatus.SERVICE_UNAVAILABLE, "unavailable", f"{item}: {reason}")

    def reject_too_short(self, item: identifiers.Item, known: ModelState) -> None:
        """Reject before sending what cannot outlast the load; time already waited counts for it."""
        left_ms = decision.load_left_ms(known.expected_load_ms, self.now - known.loading_since)
        for waiting in self.waiting_for(item):
            if decision.is_too_short(waiting.deadline - self.now, left_ms):
                detail = self.too_short_detail(waiting, known)
                retry_after_ms = max(left_ms, MIN_RETRY_AFTER_MS)
                status = http.HTTPStatus.GATEWAY_TIMEOUT
                self.reject(waiting, status, "deadline-too-short", detail, retry_after_ms)

    def waiting_for(self, item: identifiers.Item) -> list[request.Request]:
        """The requests that wait for an item's load."""
        return [waiting for waiting in self.queues if waiting.item == item and not waiting.ready]

    def tick_readiness(self) -> None:
        """Go on with waits, end requests whose time is over, and classify timeouts unheard of."""
        if not self.leased():
            self.expire_unleased()
            return
        for wait in list(self.load_waits.values()):
            self.go_on_with_wait(wait)
        self.expire_waiting()
        self.expire_timeout_checks()
        self.pump()

    def go_on_with_wait(self, wait: LoadWait) -> None:
        """Ask again once that is due; a wait that nothing waits in ends."""
        if not any(waiting.item == wait.item and not waiting.ready for waiting in self.queues):
            del self.load_waits[wait.item]
            return
        if self.now < wait.next_at:
            return
        if not wait.began:
            wait.zones = self.zones_for(wait.item) if wait.answered else wait.zones[1:] + wait.zones[:1]
        self.ask_next_zone(wait)

    def expire_unleased(self) -> None:
        """A short loss of the lease is waited out in the queue; a longer one ends requests at once."""
        is_long = self.now - self.lease_expires_at_ms > admission.LEASE_GAP_WAITED_MS
        for waiting in list(self.queues):
            if is_long:
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
                self.reject(waiting, status, "no-leader", "no leader is heard")
            elif self.now >= waiting.deadline - self.least_time(waiting.item):
                detail = f"after {self.now - waiting.arrived_at} ms without a leader"
                self.reject(waiting, http.HTTPStatus.GATEWAY_TIMEOUT, "waited-too-long", detail)

    def expire_waiting(self) -> None:
        """End requests that waited too long, and let those wait again whose item no longer serves."""
        for waiting in [waiting for waiting in self.queues if waiting.state is QUEUED]:
            known = self.model_state(waiting.item)
            if self.now >= waiting.deadline - self.least_time(waiting.item):
                code = "waited-too-long" if waiting.ready else "readiness-timeout"
                phase = known.state or "asking"
                detail = f"after {self.now - waiting.arrived_at} ms; phase {phase}"
                self.reject(waiting, http.HTTPStatus.GATEWAY_TIMEOUT, code, detail)
            elif not waiting.ready:
                self.expire_unready(waiting, known)
            elif not self.usable(waiting.item):
                waiting.ready = False
                waiting.waiting_since = self.now
                self.wait_for(waiting)

    def expire_unready(self, waiting: request.Request, known: ModelState) -> None:
        """End a request whose item was not ready within its limit."""
        rule = self.rules.items.get(waiting.item)
        ready_timeout_ms = waiting.rule.ready_timeout or (rule.ready_timeout if rule else 0)
        wait = decision.Wait(
            waiting.waiting_since, waiting.deadline, ready_timeout_ms, known.expected_load_ms
        )
        ends_at = decision.wait_ends_at(decision.JSON_API, wait)
        if self.now >= ends_at:
            phase = known.state or "asking"
            limit_ms = ends_at - waiting.waiting_since
            waited_ms = self.now - waiting.waiting_since
            detail = f"limit {limit_ms} ms ended, phase {phase}, waited {waited_ms} ms"
            self.reject(waiting, http.HTTPStatus.GATEWAY_TIMEOUT, "readiness-timeout", detail)

    def recheck_waits(self) -> None:
        """The cells changed: ask at once for items that some replica has come to serve."""
        for wait in self.load_waits.values():
            if wait.item in self.holders:
                wait.next_at = self.now

    def on_prewarm_requested(self, event: events.PrewarmRequested) -> None:
        """An operator wants items loaded."""
        self.prewarm(event.items)

    def prewarm(self, items: list[identifiers.Item], pool: str = "") -> None:
        """Ask for items at once without waiting, so that they load together."""
        for item in items:
            zones = self.zones_for(item)
            if zones:
                self.request_status(item, zones[0], True, pool)

    # reading without waking

    def runtime_status(self) -> dict[str, dict[str, typing.Any]]:
        """How each item stands as far as this node knows, for the page of this node."""
        status = {}
        for name in self.rules.items:
            item = identifiers.Item(name)
            known = self.model_states.get(item)
            temperature = "warm" if self.is_warm(item) else "cold"
            status[name] = {
                "status": temperature if known else "unknown",
                "state": known.state if known else "",
                "expected_ms": known.expected_load_ms if known else 0,
                "last_load_ms": known.last_load_ms if known else None,
                "holders": len(self.holders.get(item, [])),
            }
        return status
