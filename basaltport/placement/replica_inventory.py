"""The models on each replica, derived from the platform's list and the replicas' own reports.

Both show a past state. A report also contains the number of orders accepted by then, so it replaces all that
was known, and orders planned on it carry that number. A list does not contain it: items that it adds are
accepted unless an order has changed them since, and when consecutive lists lack an item, the replica is asked
for a report.
"""

import typing

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.placement.effects as effects
import basaltport.placement.order_invariants as order_invariants
import basaltport.placement.replica_rows as replica_rows
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

LIST_INTERVAL_MS = 700
MAX_LIST_AGE_MS = 1500
"""Maximum age of the state that a list shows, at the time of the request for it."""
LISTS_BEFORE_REPORT = 2
"""Number of consecutive lists that must lack an item before the replica is asked for a report."""
MAX_REPORT_AGE_MS = 600
"""Maximum age of the state that a report shows."""
ANSWER_TIMEOUT_MS = 3000
"""A list or report that has not arrived within this time is requested again."""
RELISTING_DELAY_MS = 3000
"""For this long after its removal a replica is ignored in lists, which may be outdated."""
RESTORE_RATE = 0.1
"""Requests per second above which a model is restored when its last copy is lost."""
MAX_REPORT_BACKOFF_MS = 1000


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ReplicaInventoryMixin(Needs):
    """Processes lists and reports, and tracks the models that each replica holds."""

    now: int
    pending_effects: state.Effects
    list_pending: bool
    list_requested_at: int
    list_wanted_at: int
    removed_at: dict[str, int]
    usable_zones: set[str]
    list_known: bool
    needs_placing: bool

    def log_event(self, event: log_events.Event, replica: replica_state.Replica, **fields: object) -> None:
        """Log an event about a replica, with the items that it is known to hold."""
        held = sorted(replica.items())
        self.pending_effects.append(events.Note(int(event), {"replica": replica.id, "held": held, **fields}))

    def check_invariant(
        self,
        invariant: order_invariants.OrderInvariant,
        holds: bool,
        replica: replica_state.Replica,
        what: str,
    ) -> bool:
        """Return whether an order invariant holds for a replica; count and log a violation.

        `what`: the order and replica, for the log.
        """
        if not self.invariants.check(invariant, holds, what):
            event = log_events.Event.INVARIANT_VIOLATED
            self.log_event(event, replica, invariant=invariant.value, what=what)
        return holds

    def check_fleet_invariant(
        self, invariant: order_invariants.OrderInvariant, holds: bool, what: str
    ) -> bool:
        """Return whether a fleet-wide order invariant holds; count and log a violation."""
        if not self.invariants.check(invariant, holds, what):
            fields = {"invariant": invariant.value, "what": what}
            self.pending_effects.append(events.Note(int(log_events.Event.INVARIANT_VIOLATED), fields))
        return holds

    # the list

    def request_list(self) -> None:
        """Request the platform's list if the interval has passed, or if one of a later state is wanted."""
        if self.list_pending and self.now - self.list_requested_at > ANSWER_TIMEOUT_MS:
            self.list_pending = False
        is_wanted = self.list_requested_at < self.list_wanted_at <= self.now
        if self.list_pending or self.now - self.list_requested_at < self.list_interval_ms and not is_wanted:
            return
        self.list_pending, self.list_requested_at = True, self.now
        self.pending_effects.append(effects.List())

    def listed(self, now: int, rows: list[state.Document]) -> state.Effects:
        """Process the rows of the platform's list, and start a placement pass."""
        self.now, self.pending_effects = now, []
        if not self.leading:
            return []
        as_of = (self.list_requested_at if self.list_pending else now) - MAX_LIST_AGE_MS
        self.list_pending = False
        listed = {}
        for row in rows:
            if now - self.removed_at.get(row["id"], -RELISTING_DELAY_MS) >= RELISTING_DELAY_MS:
                listed[row["id"]] = row
        for replica in [replica for replica in self.replicas.values() if replica.id not in listed]:
            self.remove(replica, False)
        for row in listed.values():
            self.apply_listed_row(replica_rows.ListedReplica.read(row), as_of)
        self.removed_at = {i: at for i, at in self.removed_at.items() if now - at < RELISTING_DELAY_MS}
        self.find_usable_zones()
        self.list_known = True
        self.needs_placing = True
        self.request_reports()
        self.place()
        return self.pending_effects

    def find_usable_zones(self) -> None:
        """Update the set of zones that have a replica which may serve requests."""
        self.usable_zones = {r.zone for r in self.replicas.values() if self.may_serve(r)}

    def list_failed(self, now: int) -> state.Effects:
        """Handle a failed request for the list, which is repeated after the usual interval."""
        self.now, self.list_pending = now, False
        return []

    def apply_listed_row(self, listed: replica_rows.ListedReplica, as_of: int) -> None:
        """Apply a row of a list that shows the state of the time `as_of`."""
        known = self.replicas.get(listed.id)
        replica = known or self.add_replica(listed.id, as_of)
        replica.apply_listing(listed, listed.service in self.catalog.services)
        replica.cold_until = self.now + listed.cold_ms if listed.cold_ms else 0
        if replica.has_engine and not replica.report_requested_at:
            self.apply_listed_models(replica, listed.models, as_of)
        self.update_row(replica)

    def add_replica(self, replica_id: identifiers.ReplicaId, as_of: int) -> replica_state.Replica:
        """Add a replica that is not known; one that was known before must send a report first."""
        replica = self.replicas[replica_id] = replica_state.Replica(replica_id)
        replica.verified = as_of >= self.orders_allowed_at
        if replica.id in self.known_ids:
            self.mark_unverified(replica)
        self.known_ids.add(replica.id)
        replica.running_at = self.now
        return replica

    def apply_listed_models(
        self, replica: replica_state.Replica, models: replica_rows.Models, as_of: int
    ) -> None:
        """Add the listed items that no order has changed since `as_of`, and count the items that the list
        lacks.

        A report is requested when consecutive lists lack an item.
        """
        if as_of < replica.reported_as_of:
            return
        held_before = replica.items()
        busy = {step.model for step in replica.steps()}
        for model, adapters in models.items():
            self.record_disk_copy(replica, model)
            if model not in busy and replica.changed_at.get(model, as_of) <= as_of:
                self.add_model(replica, model, adapters, as_of)
        before, replica.missing_counts = replica.missing_counts, {}
        for item in self.missing_items(replica, models, as_of, busy):
            replica.missing_counts[item] = before.get(item, 0) + 1
        replica.changed_at = {item: at for item, at in replica.changed_at.items() if at > as_of}
        if replica.has_inventory:
            self.log_correction(replica, held_before, "list", as_of)
        replica.has_inventory = True
        self.hide_missing_items(replica)

    def hide_missing_items(self, replica: replica_state.Replica) -> None:
        """Request a report when consecutive lists lack an item of a replica.

        Until the report arrives the item gets no requests, but still counts as using memory.
        """
        for model, adapter in list(replica.hidden_items):
            if (model, "") not in replica.missing_counts and (model, adapter) not in replica.missing_counts:
                self.unhide_item(replica, model, adapter)
        lacking = [item for item, times in replica.missing_counts.items() if times >= LISTS_BEFORE_REPORT]
        if not lacking or replica.plan is not None:
            return
        if replica.verified:
            self.mark_unverified(replica, at_once=True)
            return
        for model, adapter in lacking:
            if replica.serves(model, adapter):
                replica.hidden_items.add((model, adapter))
                self.hide_item(replica, model, adapter)

    def apply_report(self, replica: replica_state.Replica, report: replica_rows.ReplicaReport) -> None:
        """Replace the known items of a replica by those of a report, and its order count by the report's."""
        held_before = replica.items()
        for model, adapters in report.models.items():
            self.record_disk_copy(replica, model)
            self.add_model(replica, model, adapters, self.now)
        for model in list(replica.models):
            for adapter in list(replica.models[model].adapters):
                if adapter not in report.models.get(model, ()):
                    self.remove_item(replica, model, adapter)
            if model not in report.models:
                self.remove_item(replica, model)
                self.drop_size(replica, model)
        self.log_correction(replica, held_before, "report", self.now - MAX_REPORT_AGE_MS)
        if report.orders_taken == replica.order_count.known > 0:
            unknown = replica.items() - held_before
            what = f"{replica.id} holds {sorted(unknown)}, unknown at order count {report.orders_taken}"
            self.check_invariant(order_invariants.OrderInvariant.HELD, not unknown, replica, what)
        replica.missing_counts, replica.changed_at, replica.has_inventory = {}, {}, True
        replica.order_count = replica.order_count.after_report(report.orders_taken)
        replica.verified, replica.unverified_since, replica.reported_as_of = True, None, self.now
        self.unhide_all(replica)

    def log_correction(
        self, replica: replica_state.Replica, held_before: set[str], source: str, as_of: int
    ) -> None:
        """Log the items that a list or report added or removed, if any; `source`: "list" or "report"."""
        held = replica.items()
        if held == held_before:
            return
        gained, lost = sorted(held - held_before), sorted(held_before - held)
        event = log_events.Event.HELD_MODELS_CORRECTED
        self.log_event(event, replica, source=source, age_ms=self.now - as_of, gained=gained, lost=lost)

    def add_model(self, replica: replica_state.Replica, model: str, adapters: list[str], as_of: int) -> None:
        """Add a model to a replica, with those of its adapters that no order has changed since `as_of`."""
        if model not in replica.models:
            self.add_item(replica, model)
        for adapter in adapters:
            known = adapter in replica.models[model].adapters
            if not known and replica.changed_at.get(f"{model}/{adapter}", as_of) <= as_of:
                self.add_item(replica, model, adapter)

    def missing_items(
        self, replica: replica_state.Replica, models: replica_rows.Models, as_of: int, busy: set[str]
    ) -> list[tuple[str, str]]:
        """Return the known items of a replica, unchanged since `as_of`, that are not among the listed
        `models`.

        Models in `busy`, which the replica's plan changes, are left out.
        """
        out = []
        for model, loaded in replica.models.items():
            if model in busy or replica.changed_at.get(model, as_of) > as_of:
                continue
            if model not in models:
                out.append((model, ""))
                continue
            for adapter, since in loaded.adapters.items():
                changed_at = replica.changed_at.get(f"{model}/{adapter}", since)
                if adapter not in models[model] and changed_at <= as_of:
                    out.append((model, adapter))
        return out

    def update_has_engine(self, replica: replica_state.Replica) -> None:
        """Update whether a replica's service has an engine; if it has gained one, request a report."""
        had_engine, replica.has_engine = replica.has_engine, replica.service in self.catalog.services
        if not replica.has_engine or had_engine:
            return
        if replica.plan is not None:
            replica.order_count = replica.order_count.after_giving_up(replica.next_step().accepted)
            self.drop_plan(replica)
        self.mark_unverified(replica, at_once=True)

    # reports

    def mark_unverified(self, replica: replica_state.Replica, at_once: bool = False) -> None:
        """Send a replica no orders until a report confirms its items.

        `at_once`: whether the report may be requested now, rather than after MAX_REPORT_AGE_MS.
        """
        replica.verified, replica.report_requested_at = False, None
        replica.unverified_since = self.now
        replica.report_at = self.now if at_once else self.now + MAX_REPORT_AGE_MS
        replica.report_backoff_ms = replica_state.REPORT_BACKOFF_MS

    def request_reports(self) -> None:
        """Request reports from all replicas that are not verified."""
        if self.now < self.orders_allowed_at:
            return
        for replica in self.replicas.values():
            if replica.verified or not replica.has_engine:
                continue
            requested_at = replica.report_requested_at
            if requested_at is not None and self.now - requested_at > ANSWER_TIMEOUT_MS:
                requested_at = replica.report_requested_at = None
            if requested_at is None and self.now >= replica.report_at and self.may_order(replica.id):
                replica.report_requested_at = self.now
                self.pending_effects.append(effects.Report(replica.id, replica.address))

    def reported(self, now: int, replica_id: str, answered: bool, report: state.Document) -> state.Effects:
        """Process a replica's report, or its failure to answer, and start a placement pass."""
        self.now, self.pending_effects = now, []
        replica = self.replicas.get(replica_id)
        if not self.leading or replica is None or replica.report_requested_at is None:
            return []
        requested_at, replica.report_requested_at = replica.report_requested_at, None
        replica.report_at = now + replica.report_backoff_ms
        replica.report_backoff_ms = min(MAX_REPORT_BACKOFF_MS, replica.report_backoff_ms * 2)
        if not answered:
            replica.unanswered += 1
            self.update_row(replica)
            return []
        replica.unanswered = 0
        found = replica_rows.ReplicaReport.read(report)
        if self.is_report_current(replica, found, requested_at):
            self.apply_report(replica, found)
            self.needs_placing = True
        self.update_row(replica)
        self.place()
        return self.pending_effects

    def is_report_current(
        self, replica: replica_state.Replica, report: replica_rows.ReplicaReport, requested_at: int
    ) -> bool:
        """Whether a report shows a state in which no order ran and that is, as far as known, no older than
        the last accepted order. An older one does no harm, since the replica refuses orders with an outdated
        count."""
        if report.busy:
            return False
        unverified_since = replica.unverified_since
        late = unverified_since is None or requested_at - unverified_since >= MAX_REPORT_AGE_MS
        return late or report.orders_taken >= replica.order_count.lower_bound

    def remove(self, replica: replica_state.Replica, moved: bool = True) -> None:
        """Remove a replica that is gone or whose address belongs to another one.

        `moved`: whether lists are to be ignored for this replica for RELISTING_DELAY_MS, as they may be
        outdated.
        """
        if replica.plan:
            self.drop_plan(replica)
        for model in replica.serving():
            if not self.serving_ids[model] - {replica.id} and self.request_rate(model) > RESTORE_RATE:
                self.lost_models[model] = self.now
        for model in list(replica.models):
            self.remove_item(replica, model)
        for model in replica.disk_models:
            self.disk_copies[model].discard(replica.id)
        del self.replicas[replica.id]
        if moved:
            self.removed_at[replica.id] = self.now
        if self.rows.pop(replica.id, None) is not None:
            self.changed.add(replica.id)
        self.needs_placing = True
