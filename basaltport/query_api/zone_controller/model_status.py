"""What a zone's controller tells query nodes of an item: loaded, loading or unavailable, and until when."""

import typing

import basaltport.cold_start.limits as limits
import basaltport.identifiers as identifiers
import basaltport.query_api.messages as messages
import basaltport.query_api.zone_controller.interface as interface
import basaltport.query_api.zone_controller.owned_zone as owned_zone

REPORTS_WAITED_MS = 3000
MAX_RETRY_AFTER_MS = 1000
DOES_NOT_SERVE = -1


class ItemState(typing.NamedTuple):
    """How an item stands: loaded, loading or unavailable; where it serves; for how long it has served
    (-1: it does not) or been loading, in milliseconds; why it is unavailable."""

    state: str
    replicas: list[str]
    serving_ms: int = DOES_NOT_SERVE
    loading_ms: int = 0
    reason: str = ""


def unavailable(reason: str) -> ItemState:
    """An item that does not serve and is not being loaded."""
    return ItemState("unavailable", [], reason=reason)


def loading(for_ms: int = 0) -> ItemState:
    """An item that is being loaded, or soon will be."""
    return ItemState("loading", [], loading_ms=for_ms)


class ModelStatusMixin(interface.Interface):
    """Answers query nodes; a request may order the load."""

    def hear_model_status_request(self, source: str, message: messages.ModelStatusRequest) -> None:
        """Tell how an item stands, after its load was ordered where the request says so."""
        address = self.address_of(message.member_id)
        zone = self.owned_zones.get(message.zone)
        if address is None or zone is None or not self.leased():
            return
        if message.wake and message.item in self.rules.items:
            zone.desired[message.item] = owned_zone.DesiredItem(self.now, message.pool)
            self.place(zone)
            self.request_permits(zone)
        self.send(address, self.model_status(zone, message))

    def model_status(
        self, zone: owned_zone.OwnedZone, message: messages.ModelStatusRequest
    ) -> messages.ModelStatus:
        """The answer to a request."""
        rule = self.rules.items.get(message.item)
        declared_ms = rule.expected if rule else 0
        recent_ms = zone.recent_loads_ms.get(message.item)
        expected_ms = identifiers.Millis(limits.expected_load_ms(recent_ms, declared_ms))
        item = self.item_state(zone, message.item, message.wake)
        half_left_ms = (expected_ms - item.loading_ms) // 2
        retry_after_ms = max(limits.POLL_SPACING_FLOOR_MS, min(half_left_ms, MAX_RETRY_AFTER_MS))
        return messages.ModelStatus(
            message.request_number,
            zone.zone,
            message.item,
            item.state,
            identifiers.Millis(retry_after_ms),
            rule is not None and self.is_kept_in(rule, zone.zone),
            identifiers.Millis(rule.idle_window if rule else 0),
            expected_ms,
            identifiers.Millis(item.serving_ms),
            identifiers.Millis(max(0, item.loading_ms)),
            item.replicas,
            item.reason,
        )

    def item_state(self, zone: owned_zone.OwnedZone, item: str, wake: bool) -> ItemState:
        """How an item stands; with `wake`, what is not held is loading unless it cannot be placed."""
        usable = [known for known in zone.replicas.values() if known.up and self.may_use(known.id)]
        serving = [known for known in usable if known.has_loaded(item)]
        if serving:
            longest_ms = max(known.held[item].for_ms for known in serving)
            return ItemState("loaded", [known.id for known in serving], serving_ms=longest_ms)
        for known in usable:
            if item in known.held:
                return loading(known.held[item].for_ms)
        if item not in self.rules.items:
            return unavailable("not in the manifest")
        if not wake:
            return unavailable("not held")
        if self.is_unheard(zone, REPORTS_WAITED_MS):
            return loading()
        reason = zone.rejected.get(item)
        return unavailable(reason) if reason else loading()
