"""The operators' view of placement, as pure functions of the leader's state; `now` is in ms."""

import collections
import copy
import math
import typing

import basaltport.controller.status_view as status_view
import basaltport.placement.demand as demand
import basaltport.placement.replica_state as replica_state

if typing.TYPE_CHECKING:
    import basaltport.controller.node as controller_node
    import basaltport.placement.machine as machine

Row = dict[str, typing.Any]
Node: typing.TypeAlias = "controller_node.Controller"


def request_rate(placement: "machine.Placement", now: int, item: str) -> float:
    """Returns the requests per second for an item in all zones, read from copies, since reading a rate decays
    it."""
    rates = placement.request_rates.get(item, {}).values()
    return sum(copy.copy(rate).read(now) for rate in rates)


def running_requests(now: int, replica: replica_state.Replica) -> float:
    """Returns the smoothed number of requests that run on a replica."""
    return replica.running * math.exp(-max(0, now - replica.running_at) / demand.RUNNING_DECAY_MS)


def waiting_items(placement: "machine.Placement", now: int) -> list[Row]:
    """Returns the items that requests wait for, the longest wait first."""
    out = []
    for item, waiting in placement.waiting.items():
        zones = dict(sorted(waiting.requests_by_zone().items()))
        row: Row = {"item": item, "age_ms": now - waiting.first_requested_at, "waiting": sum(zones.values())}
        out.append({**row, "zones": zones})
    return sorted(out, key=lambda row: -row["age_ms"])


def waiting_since_by_model(placement: "machine.Placement") -> dict[str, int]:
    """Returns, by model, since when requests wait for it or for one of its adapters, in ms."""
    waiting_since: dict[str, int] = {}
    for item, waiting in placement.waiting.items():
        model = item.partition("/")[0]
        waiting_since[model] = min(
            waiting.first_requested_at, waiting_since.get(model, waiting.first_requested_at)
        )
    return waiting_since


def model_row(placement: "machine.Placement", now: int, model: str, waiting_since: dict[str, int]) -> Row:
    """Returns the row of a model: its copies by zone, its request rate, and its target number of copies."""
    hot = placement.hot_models.get(model)
    copies = collections.Counter(replica.zone for replica in placement.copies(model))
    rate = round(request_rate(placement, now, model), 2)
    row: Row = {"model": model, "copies": dict(sorted(copies.items())), "rate_s": rate}
    row |= {"due": hot.target_copies if hot else None, "due_zones": sorted(hot.zones) if hot else []}
    row["loading"] = sorted(placement.loading_on.get(model, ()))
    row["wanted_ms"] = now - waiting_since[model] if model in waiting_since else None
    return row


def replica_row(placement: "machine.Placement", now: int, replica: replica_state.Replica) -> Row:
    """Returns the row of a replica: its memory, running requests, loaded models and loads in progress."""
    service = placement.catalog.services.get(replica.service)
    row: Row = {"id": replica.id, "service": replica.service, "zone": replica.zone, "state": replica.state}
    row |= {"leaves_in_ms": replica.leaves_in_ms, "room_mb": service.memory_mb if service else None}
    row |= {"used_mb": round(replica.used_mb(placement.catalog), 1), "slots": replica.slots}
    row |= {"running": round(running_requests(now, replica), 1), "known": replica.verified}
    row |= {"failed": replica.unanswered, "models": replica.serving(), "loading": replica.loading()}
    return row


def page(node: Node, now: int) -> Row:
    """Returns the document of the page `placement`."""
    placement = status_view.placement_of(node)
    waiting_since = waiting_since_by_model(placement)
    models = [model_row(placement, now, model, waiting_since) for model in placement.catalog.services_of]
    models.sort(key=lambda row: (-row["rate_s"], row["model"]))
    replicas = [placement.replicas[replica_id] for replica_id in sorted(placement.replicas)]
    return {
        "leader": node.me.name,
        "fence": status_view.fence(node),
        "models": models,
        "wants": waiting_items(placement, now),
        "loads": status_view.orders(node, now),
        "replicas": [replica_row(placement, now, replica) for replica in replicas],
    }
