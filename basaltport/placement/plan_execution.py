"""Execution of plans: one order at a time per replica, resent until it is done. Times in ms."""

import collections.abc
import enum
import typing

import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.placement.effects as effects
import basaltport.placement.order_invariants as order_invariants
import basaltport.placement.order_types as order_types
import basaltport.placement.replica_choice as replica_choice
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

MAX_RETRY_MS = 250
"""Upper limit of the interval between polls of a running order, unless the first interval was longer."""
RETRY_GROWTH = 1.4
"""Factor by which the interval between polls grows."""
ANSWER_TIMEOUT_MS = 5000
"""An order whose outcome the owner has not reported within this time counts as unanswered."""
UNANSWERED_RETRY_MS = 100
MAX_UNANSWERED_RETRY_MS = 1000
MAX_UNANSWERED_DOUBLINGS = 4
NO_ORDERS_AFTER_UNSENT_MS = 300
"""A replica gets no plan for this long after an order to it could not be sent."""
NOT_SENT_RETRY_MS = 100
MAX_NOT_SENT = 20
"""An accepted or unanswered order that could not be resent this many times in a row counts as refused."""
FAILED_BACKOFF_MS = 5000
MISDIRECTED_BACKOFF_MS = 1000


class StepDecision(enum.StrEnum):
    """The decision about a step whose order was never sent."""

    GO = "go"
    """Send the order of the step."""
    SKIP = "skip"
    """Skip the step, since the replica is already in the state that it leads to."""
    DROP = "drop"
    """Abandon the whole plan."""


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class PlanExecutionMixin(Needs):
    """Sends the orders of plans and processes their outcomes."""

    def start_plan(
        self,
        replica: replica_state.Replica,
        goal: str,
        steps: list[replica_state.Step],
        reason: order_types.LoadReason,
    ) -> None:
        """Give a replica a plan and send its first order."""
        replica.plan = replica_state.Plan(goal, steps, reason, self.now)
        self.busy_replicas[replica.id] = replica
        for item in replica.loading():
            self.loading_on.setdefault(item, set()).add(replica.id)
        self.update_row(replica)
        self.continue_plan(replica)

    def drop_plan(self, replica: replica_state.Replica) -> None:
        """Abandon a replica's plan, or end it when all its steps are done."""
        for item in replica.loading():
            self.stop_loading(replica, item)
        for step in replica.steps():
            self.in_flight.pop(step.order, None)
        if replica.plan is not None:
            self.record_plan_duration(replica.plan)
        replica.plan = None
        self.busy_replicas.pop(replica.id, None)
        self.needs_placing = True
        self.update_row(replica)

    def stop_loading(self, replica: replica_state.Replica, item: str) -> None:
        """Remove a replica from the index of the replicas that load an item."""
        replica_ids = self.loading_on.get(item)
        if replica_ids:
            replica_ids.discard(replica.id)
            if not replica_ids:
                del self.loading_on[item]

    def continue_plan(self, replica: replica_state.Replica) -> None:
        """Send the next order of a replica's plan if it is due, and skip steps that are already done."""
        while replica.plan and replica.plan.steps:
            step = replica.plan.steps[0]
            if step.order or self.now < step.next_send_at or not self.may_order(replica.id):
                return
            verdict = StepDecision.GO if step.first_sent_at is not None else self.check_step(replica, step)
            if verdict == StepDecision.DROP:
                self.drop_plan(replica)
                return
            if verdict == StepDecision.GO:
                self.send_if_allowed(replica, step)
                return
            replica.plan.steps.pop(0)
            if step.kind == order_types.OrderKind.LOAD:
                self.stop_loading(replica, step.item)
        if replica.plan:
            self.drop_plan(replica)

    def check_step(self, replica: replica_state.Replica, step: replica_state.Step) -> StepDecision:
        """Decide whether to send, skip or drop a step whose order was never sent."""
        plan = replica.plan
        if not self.usable(replica) or not replica.verified or plan is None or not self.still_needed(plan):
            return StepDecision.DROP
        loaded = replica.models.get(step.model)
        there = loaded is not None and (not step.adapter or step.adapter in loaded.adapters)
        if step.kind == order_types.OrderKind.UNLOAD:
            return StepDecision.GO if there else StepDecision.SKIP
        if there:
            return StepDecision.SKIP
        return StepDecision.GO if self.has_room(replica, step, loaded) else StepDecision.DROP

    def has_room(
        self,
        replica: replica_state.Replica,
        step: replica_state.Step,
        loaded: replica_state.LoadedModel | None,
    ) -> bool:
        """Whether the configuration and the free memory of a replica permit a load.

        `loaded`: the step's model on that replica, if it is there.
        """
        model = self.catalog.model(replica.service, step.model)
        if model is None:
            return False
        if step.adapter and (loaded is None or loaded.unloading or not model.has_adapter(step.adapter)):
            return False
        service = self.catalog.services[replica.service]
        needed_mb = model.adapter_mb if step.adapter else model.weights_mb
        if replica.used_mb(self.catalog) + needed_mb > service.memory_mb:
            return False
        return not step.adapter or replica.adapter_count() < service.adapter_slots

    def still_needed(self, plan: replica_state.Plan) -> bool:
        """Whether a plan is still needed: requests wait for its item, or it was not started for requests."""
        return not plan.reason.is_on_demand or plan.goal in self.waiting or plan.goal in self.awaited_models

    def send_if_allowed(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Send the order of a step unless it could exceed the replica's memory or the store's rate limit.

        Memory is checked before every send until the replica has accepted the order, since a new
        configuration may have changed model sizes in between.
        """
        resent = step.first_sent_at is not None
        if resent and not step.accepted and not order_invariants.fits(replica, step, self.catalog):
            replica.order_count = replica.order_count.after_giving_up(False)
            self.give_up_plan(replica, step)
        elif not resent and not self.invariants_hold(replica, step):
            self.give_up_plan(replica, step)
        elif self.take_permit(replica, step):
            self.send_order(replica, step)

    def invariants_hold(self, replica: replica_state.Replica, step: replica_state.Step) -> bool:
        """Whether the order invariants hold for an order that is sent for the first time."""
        invariant = order_invariants.OrderInvariant
        what = f"{step.kind} {step.item} on {replica.id}"
        room = order_invariants.fits(replica, step, self.catalog)
        return self.check_invariant(
            invariant.VERIFIED, replica.verified, replica, what
        ) and self.check_invariant(invariant.ROOM, room, replica, what)

    def send_order(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Send the order of a step, and stop routing requests to an item that it unloads."""
        self.last_order += 1
        step.order, step.sent_at = self.last_order, self.now
        if step.first_sent_at is None:
            step.first_sent_at = self.now
            if step.kind == order_types.OrderKind.UNLOAD:
                self.hide_item(replica, step.model, step.adapter)
                self.update_row(replica)
        if step.kind == order_types.OrderKind.LOAD and not step.adapter:
            self.record_size(replica, step.model)
        self.in_flight[step.order] = replica.id
        order = effects.Order(
            step.order,
            replica.id,
            replica.address,
            step.kind,
            step.model,
            step.adapter or None,
            self.holder,
            identifiers.Fence(self.fence),
            replica.order_count.expected(step.accepted),
        )
        self.pending_effects.append(order)

    def cancel_unload(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Route requests again to an item whose unload was not carried out."""
        loaded = replica.models.get(step.model)
        if loaded is None:
            return
        loaded.unloading_adapters.discard(step.adapter)
        loaded.unloading = loaded.unloading and bool(step.adapter)
        self.index_items(replica)

    def ordered(self, now: int, order: int, outcome: str, took_ms: int = 0) -> state.Effects:
        """Process the outcome of an order; `took_ms`: how long its answer took."""
        self.now, self.pending_effects = now, []
        replica = self.replicas.get(self.in_flight.pop(order, ""))
        if not self.leading or replica is None or replica.plan is None:
            return []
        step = replica.plan.steps[0]
        if step.order != order:
            return []
        step.order = 0
        result = order_types.OrderOutcome(outcome)
        self.log_failed_order(replica, step, result)
        if result is order_types.OrderOutcome.FENCED:
            self.deposed = True
            return self.stop()
        if result is not order_types.OrderOutcome.NOT_SENT:
            step.not_sent = 0
        if result not in (order_types.OrderOutcome.UNKNOWN, order_types.OrderOutcome.NOT_SENT):
            replica.unanswered = 0
        self.outcome_handlers()[result](replica, step)
        if self.needs_placing:
            self.place()
        return self.pending_effects

    def log_failed_order(
        self, replica: replica_state.Replica, step: replica_state.Step, outcome: order_types.OrderOutcome
    ) -> None:
        """Log an order that was neither accepted nor done."""
        if outcome in (order_types.OrderOutcome.ACCEPTED, order_types.OrderOutcome.DONE):
            return
        unanswered = outcome is order_types.OrderOutcome.UNKNOWN
        event = log_events.Event.ORDER_UNANSWERED if unanswered else log_events.Event.ORDER_REFUSED
        self.log_event(
            event,
            replica,
            order=f"{step.kind} {step.item}",
            outcome=outcome.value,
            accepted=step.accepted,
            uncertain=step.uncertain,
            waited_ms=self.now - step.sent_at,
        )

    def outcome_handlers(
        self,
    ) -> dict[
        order_types.OrderOutcome,
        collections.abc.Callable[[replica_state.Replica, replica_state.Step], None],
    ]:
        """Return the handler of each outcome but FENCED."""
        return {
            order_types.OrderOutcome.ACCEPTED: self.order_accepted,
            order_types.OrderOutcome.DONE: self.order_done,
            order_types.OrderOutcome.BUSY: self.order_refused_for_count,
            order_types.OrderOutcome.FAILED: self.order_failed,
            order_types.OrderOutcome.NOT_SENT: self.order_not_sent,
            order_types.OrderOutcome.UNKNOWN: self.order_unanswered,
            order_types.OrderOutcome.MOVED: self.order_misdirected,
        }

    def order_accepted(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Schedule polls for the completion of an order that the replica executes."""
        if step.accepted:
            self.schedule_poll(step)
            return
        step.accepted = True
        step.next_send_at = self.now + self.first_poll_ms(replica, step)
        step.retry_ms = self.poll_interval_ms(replica, step)

    def schedule_poll(self, step: replica_state.Step) -> None:
        """Schedule the next poll of a running order, with exponential backoff."""
        step.next_send_at = self.now + int(step.retry_ms)
        step.retry_ms = min(max(MAX_RETRY_MS, step.retry_ms), step.retry_ms * RETRY_GROWTH)

    def order_refused_for_count(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Abandon a plan whose order was refused for its order count or because another order runs.

        The replica may have accepted an earlier send of the same order, which only a report can show.
        """
        self.give_back_permit(replica, step)
        replica.order_count = replica.order_count.after_refusal(step.accepted)
        self.give_up_plan(replica, step, at_once=True)

    def give_up_plan(
        self, replica: replica_state.Replica, step: replica_state.Step, at_once: bool = False
    ) -> None:
        """Abandon a replica's plan and send it no orders until its next report.

        `at_once`: whether to request that report without delay.
        """
        if step.kind == order_types.OrderKind.UNLOAD and not (step.accepted or step.uncertain):
            self.cancel_unload(replica, step)
        self.mark_unverified(replica, at_once)
        self.drop_plan(replica)

    def order_unanswered(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Schedule a resend of an order that got no answer, with exponential backoff."""
        step.uncertain = True
        replica.unanswered += 1
        backoff_ms = UNANSWERED_RETRY_MS << min(MAX_UNANSWERED_DOUBLINGS, replica.unanswered - 1)
        step.next_send_at = self.now + min(MAX_UNANSWERED_RETRY_MS, backoff_ms)
        if replica.unanswered == replica_choice.UNANSWERED_LIMIT:
            self.needs_placing = True

    def order_failed(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Abandon a plan whose order was rejected, and keep its items off that replica for a while."""
        replica.backoff_until[step.item] = self.now + FAILED_BACKOFF_MS
        if replica.plan:
            replica.backoff_until[replica.plan.goal] = self.now + FAILED_BACKOFF_MS
        replica.order_count = replica.order_count.after_giving_up(step.accepted)
        self.give_up_plan(replica, step)

    def order_not_sent(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Handle an order that could not be sent because the controller that sends it holds no lease.

        This says nothing about the replica's models. If nothing of the plan was sent, the plan is dropped so
        that another replica can take the item.
        """
        if step.accepted or step.uncertain:
            self.retry_unsent(replica, step)
            return
        if step.kind == order_types.OrderKind.UNLOAD:
            self.cancel_unload(replica, step)
        replica.no_orders_until = self.now + NO_ORDERS_AFTER_UNSENT_MS
        self.drop_plan(replica)

    def retry_unsent(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Schedule another try to resend an order; it counts as refused after MAX_NOT_SENT failures."""
        step.not_sent += 1
        if step.not_sent > MAX_NOT_SENT:
            self.order_failed(replica, step)
            return
        step.next_send_at = self.now + NOT_SENT_RETRY_MS

    def order_misdirected(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Handle an order that reached a replica with another id, or an adapter order where the model is
        missing.

        In the first case the replica is removed; in the second the plan is abandoned.
        """
        if not step.adapter:
            self.remove(replica)
            return
        replica.backoff_until[step.item] = self.now + MISDIRECTED_BACKOFF_MS
        replica.order_count = replica.order_count.after_giving_up(step.accepted)
        self.give_up_plan(replica, step)

    def order_done(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Record the result of an order that is done, and continue with the replica's plan."""
        replica.steps().pop(0)
        if step.accepted:
            replica.order_count = replica.order_count.after_order()
        replica.changed_at[step.item] = self.now
        if step.kind == order_types.OrderKind.LOAD:
            if step.accepted and not step.uncertain and step.first_sent_at is not None:
                self.record_load_duration(replica, step, self.now - step.first_sent_at)
            self.stop_loading(replica, step.item)
            self.count_load(replica, step)
            self.add_item(replica, step.model, step.adapter)
        else:
            self.remove_item(replica, step.model, step.adapter)
            if not step.adapter:
                self.drop_size(replica, step.model)
        self.update_row(replica)
        self.continue_plan(replica)

    def count_load(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Count a completed load by its source (store, disk, adapter) and its reason."""
        if replica.plan is not None:
            _, source = self.load_class(replica.service, step)
            self.load_counts[source, replica.plan.reason.value] += 1

    def continue_plans(self) -> None:
        """Send all due orders; an order without an outcome for ANSWER_TIMEOUT_MS counts as unanswered."""
        for replica in list(self.busy_replicas.values()):
            steps = replica.steps()
            step = steps[0] if steps else None
            if step and step.order and self.now - step.sent_at > ANSWER_TIMEOUT_MS:
                self.in_flight.pop(step.order, None)
                step.order = 0
                self.order_unanswered(replica, step)
            self.continue_plan(replica)
