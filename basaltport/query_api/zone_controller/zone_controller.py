"""The controller of a zone: the only one that gives orders to its replicas, under a fencing token."""

import typing

import basaltport.cold_start.limits as limits
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.query_api.events as events
import basaltport.query_api.failure_detection.role_owners as role_owners
import basaltport.query_api.zone_controller.cell_updates as cell_updates
import basaltport.query_api.zone_controller.kept_items as kept_items
import basaltport.query_api.zone_controller.load_permits as load_permits
import basaltport.query_api.zone_controller.model_status as model_status
import basaltport.query_api.zone_controller.owned_zone as owned_zone
import basaltport.query_api.zone_controller.placement as placement
import basaltport.query_api.zone_controller.replica as replica
import basaltport.query_api.zone_controller.slot_grants as slot_grants

POLL_INTERVAL_MS = 250
DOWN_AFTER_MS = 1500
DOWN_AFTER_MISSED_POLLS = 2
PLACE_INTERVAL_MS = 100


class ZoneControllerMixin(
    model_status.ModelStatusMixin,
    placement.PlacementMixin,
    slot_grants.SlotGrantsMixin,
    cell_updates.CellUpdatesMixin,
    kept_items.KeptItemsMixin,
    load_permits.LoadPermitsMixin,
):
    """Polls the replicas of the zones that this node owns, and acts on what they report."""

    def zone_controller_start(self) -> None:
        """Begin as the owner of nothing."""
        self.owned_zones = {}
        self.kept_items_start()
        self.load_permits_start()
        self.placement_start()

    def take_zones(self) -> None:
        """Take over the zones that the agreed state gives to this node, and drop the others."""
        own: dict[identifiers.Zone, identifiers.Fence] = {}
        for role, owner in self.cluster_state.role_owners.items():
            if owner.owner == self.me.seat and role.startswith(role_owners.ZONE_ROLE_PREFIX):
                name = identifiers.Zone(role.removeprefix(role_owners.ZONE_ROLE_PREFIX))
                own[name] = identifiers.Fence(owner.fence)
        for name, zone in list(self.owned_zones.items()):
            if own.get(name) != zone.fence:
                del self.owned_zones[name]
        for name, fence in own.items():
            if name not in self.owned_zones:
                self.owned_zones[name] = owned_zone.new(name, fence, self.now)
                self.list_replicas(self.owned_zones[name])
                self.note(log_events.Event.ZONE_ROLE_TAKEN, zone=name, fence=int(fence))

    def tick_zone_controller(self) -> None:
        """Poll, place, ask for permits and publish, for each zone."""
        if not self.leased():
            return
        for zone in self.owned_zones.values():
            self.list_replicas(zone)
            self.poll(zone)
            if self.now - zone.placed_at >= PLACE_INTERVAL_MS:
                self.place(zone)
            self.request_permits(zone)
            self.publish(zone)

    def list_replicas(self, zone: owned_zone.OwnedZone) -> None:
        """Follow the agreed list of replicas."""
        rows = {
            name: row for name, row in self.cluster_state.listed_replicas.items() if row.zone == zone.zone
        }
        for name, known in list(zone.replicas.items()):
            if name not in rows or known.url != rows[name].url:
                del zone.replicas[name]
        for name, row in rows.items():
            if name not in zone.replicas:
                replica_id = identifiers.ReplicaId(name)
                zone.replicas[name] = replica.ControlledReplica(replica_id, row.url, row.group)

    def poll(self, zone: owned_zone.OwnedZone) -> None:
        """Ask replicas for reports, and give up those that sent none for a while."""
        for known in zone.replicas.values():
            if self.now - known.polled_at >= POLL_INTERVAL_MS:
                known.polled_at = self.now
                self.emit(events.PollReplica(known.id, f"{known.url}/state?fence={zone.fence}"))
            if self.now - known.reported_at > DOWN_AFTER_MS:
                self.mark_down(known)

    def mark_down(self, known: replica.ControlledReplica) -> None:
        """A replica stopped answering."""
        if known.up:
            known.up = False
            self.note(log_events.Event.REPLICA_UNREACHABLE, replica_id=known.id)

    def is_unheard(self, zone: owned_zone.OwnedZone, grace_ms: int) -> bool:
        """Whether a new controller should still wait for the first report of some replica."""
        return self.now - zone.since < grace_ms and zone.has_unheard_replicas()

    def zone_of(self, replica_id: str) -> identifiers.Zone:
        """The zone that a replica is listed in, or "" where it is unlisted."""
        row = self.cluster_state.listed_replicas.get(replica_id)
        return identifiers.Zone(row.zone if row else "")

    def on_replica_polled(self, event: events.ReplicaPolled) -> None:
        """A replica reported, or did not answer."""
        zone = self.owned_zones.get(self.zone_of(event.replica_id))
        known = zone.replicas.get(event.replica_id) if zone else None
        if zone is None or known is None:
            return
        if event.ok:
            self.take_report(zone, known, event.state)
            return
        known.missed_polls += 1
        if known.missed_polls >= DOWN_AFTER_MISSED_POLLS:
            self.mark_down(known)

    def take_report(
        self, zone: owned_zone.OwnedZone, known: replica.ControlledReplica, state: dict[str, typing.Any]
    ) -> None:
        """Take a replica's report, unless it obeys a newer controller or the report is an old one."""
        report = replica.report_of(state)
        if report.fence > zone.fence:
            self.note(
                log_events.Event.FENCED_OUT,
                replica_id=known.id,
                fence=int(zone.fence),
                seen_fence=report.fence,
            )
            return
        if report.epoch == known.epoch and report.number <= known.report_number:
            return
        known.report_number = report.number
        if report.epoch != known.epoch:
            self.meet(known, report)
        known.heard, known.up = True, True
        known.reported_at, known.missed_polls = self.now, 0
        group = self.rules.groups.get(known.group)
        known.room = min(report.room, group["room"] if group else 0)
        known.running = report.running
        self.count_unaccounted(zone, known)
        self.take_held(zone, known, report.held)

    def meet(self, known: replica.ControlledReplica, report: replica.ReplicaReport) -> None:
        """A replica has started anew."""
        known.epoch = report.epoch
        known.fresh_since = self.now - report.up_ms
        known.ordered = {}
        self.note(log_events.Event.REPLICA_STARTED, replica_id=known.id, epoch=known.epoch)

    def take_held(
        self,
        zone: owned_zone.OwnedZone,
        known: replica.ControlledReplica,
        held: dict[str, replica.HeldItem],
    ) -> None:
        """Take what a replica holds now, and how long loads took that have just ended."""
        before, known.held = known.held, held
        for item, now_held in held.items():
            was_loaded = item in before and before[item].is_loaded()
            if now_held.is_loaded() and not was_loaded and now_held.load_ms > 0:
                recent = zone.recent_loads_ms.setdefault(item, [])
                recent.append(now_held.load_ms)
                del recent[: -limits.RECENT_LOADS]
        for item, load in list(known.ordered.items()):
            if item in held or self.now - load.ordered_at > placement.ORDER_EXPIRY_MS:
                del known.ordered[item]
