"""The operators' view of a controller, as pure functions of its state, which they never change.

`now` is in ms; `listed_at` is when the platform's list of replicas was last read, in ms, or None.
"""

import typing

import basaltport.configuration.editions as editions
import basaltport.placement.replica_state as replica_state

if typing.TYPE_CHECKING:
    import basaltport.consensus.log as log
    import basaltport.controller.node as controller_node
    import basaltport.placement.machine as machine

STALE_LIST_MS = 3000
"""A list of replicas that is older than this, in ms, is reported as a fault."""
SILENT_MS = 1000
"""A controller that has been silent for longer than this, in ms, is reported as a fault."""

Row = dict[str, typing.Any]
Node: typing.TypeAlias = "controller_node.Controller"


def leader(node: Node) -> Row | None:
    """Returns the row of the leader that this controller follows, its own row if it leads, or None."""
    if node.leading:
        return node.me.row()
    if not node.hears_leader():
        return None
    for record in node.cluster_state.members.values():
        if record.name == node.leader.name:
            return member_row(record)
    return {"name": node.leader.name, "addr": node.leader.addr, "http": "", "zone": ""}


def member_row(record: "log.MemberRecord") -> Row:
    """Returns the row of a member that is in the replicated state."""
    row = {"name": record.name, "seat": record.member_id, "role": record.role, "zone": record.zone}
    return {**row, "addr": record.address, "http": record.http_address}


def silence_ms(node: Node, now: int, row: Row) -> int | None:
    """Returns how long a controller has been silent, in ms; None if it never sent a message."""
    if row["name"] == node.me.name:
        return 0
    heard_at = node.acked_at_ms.get(row["seat"]) if node.leading else None
    if heard_at is None and row["name"] in node.members:
        heard_at = node.members[row["name"]]["at"]
    return None if heard_at is None else max(0, now - heard_at)


def controllers(node: Node, now: int) -> list[Row]:
    """Returns the rows of all controllers, including new ones that have no vote yet."""
    agreed = {member_id: member_row(record) for member_id, record in node.cluster_state.members.items()}
    learners = node.learners if node.leading else {}
    rows = [*agreed.items(), *((i, row) for i, row in learners.items() if i not in agreed)]
    out = []
    for member_id, row in rows:
        shown = {key: row[key] for key in ("name", "zone", "addr", "http")}
        out.append({**shown, "votes": member_id in agreed, "silent_ms": silence_ms(node, now, row)})
    return sorted(out, key=lambda row: row["name"])


def proxies(node: Node, now: int) -> list[Row]:
    """Returns the rows of the proxies that follow this leader; `behind` counts the committed log entries that
    a proxy wasn't sent yet."""
    out = []
    for name, proxy in node.proxies.items():
        row = {
            "name": name,
            "zone": proxy.zone,
            "address": proxy.address,
            "silent_ms": now - proxy.last_heard_at,
        }
        behind = max(0, node.cluster_state.log_index - proxy.sent_log_index)
        out.append({**row, "serial": int(proxy.sent_log_index), "behind": behind})
    return sorted(out, key=lambda row: row["name"])


def placement_of(node: Node) -> "machine.Placement":
    """Returns the placement of a controller under its concrete type."""
    return typing.cast("machine.Placement", node.placement)


def orders(node: Node, now: int) -> list[Row]:
    """Returns the plans in progress, the oldest first, each with its current step."""
    rows = [_plan_row(replica, now) for replica in placement_of(node).busy_replicas.values() if replica.plan]
    return sorted(rows, key=lambda row: -row["age_ms"])


def _plan_row(replica: replica_state.Replica, now: int) -> Row:
    plan = typing.cast(replica_state.Plan, replica.plan)
    row: Row = {
        "replica": replica.id,
        "goal": plan.goal,
        "for": "wanted" if plan.reason.is_on_demand else "copies",
    }
    row |= {"age_ms": now - plan.created_at, "steps": len(plan.steps)}
    if plan.steps:
        step = plan.steps[0]
        row |= {"kind": step.kind.value, "item": step.item, "state": _step_state(step)}
        row["since_ms"] = None if step.first_sent_at is None else now - step.first_sent_at
    return row


def _step_state(step: replica_state.Step) -> str:
    if step.accepted:
        return "accepted"
    if step.uncertain:
        return "unsure"
    return "sent" if step.order else "waits"


def unsettled(node: Node, now: int, listed_at: int | None) -> list[str]:
    """Returns the reasons why the fleet is not settled, as messages for operators."""
    out = []
    if not node.leading and leader(node) is None:
        out.append("no leader is heard")
    if not node.leading and node.candidacy:
        out.append("asks for promises; missing: " + (", ".join(node.missing_voters()) or "none"))
    if node.bad:
        out.append("the disk failed")
    if node.disk_stalls():
        out.append("the disk stalls")
    if node.leading:
        out += _unsettled_consensus(node, now)
        out += _unsettled_placement(node, now, listed_at)
    return out


def _unsettled_consensus(node: Node, now: int) -> list[str]:
    out = []
    if not node.has_committed_in_term():
        out.append("the leader's first entry is not agreed yet")
    elif not node.holds_lease_at(now):
        out.append("most controllers have not vouched for the leader lately")
    for row in controllers(node, now):
        if not row["votes"]:
            out.append(f"controller {row['name']} is new and has no seat yet")
        elif row["silent_ms"] is None or row["silent_ms"] > SILENT_MS:
            out.append(f"controller {row['name']} is silent")
    if node.cluster_state.configuration is None:
        out.append("there is no configuration yet")
    late = [row["name"] for row in proxies(node, now) if row["behind"]]
    if late:
        out.append("proxies that lack entries: " + ", ".join(late))
    return out


def _unsettled_placement(node: Node, now: int, listed_at: int | None) -> list[str]:
    if node.placement_fence is None:
        return ["placement has not begun"]
    placement, out = placement_of(node), []
    if placement.orders_allowed_at > now:
        out.append(f"orders wait {placement.orders_allowed_at - now} ms until no former leader can give any")
    if listed_at is None or not placement.list_known:
        out.append("the list of replicas was not read yet")
    elif now - listed_at > STALE_LIST_MS:
        out.append(f"the list of replicas was last read {now - listed_at} ms ago")
    unanswered = sorted(i for i, replica in placement.replicas.items() if replica.unanswered)
    if unanswered:
        out.append("replicas that do not answer orders: " + ", ".join(unanswered))
    return out


def fence(node: Node) -> int | None:
    """Returns the fencing token that placement runs under, None while it doesn't run."""
    return None if node.placement_fence is None else int(node.placement_fence)


def status(node: Node, now: int, listed_at: int | None = None) -> Row:
    """Returns the document of the page `status`, in which `keepers` is the former name of `controllers`."""
    known = leader(node)
    follows = not node.leading and node.leader is not None
    term = node.leader.term if follows else node.current_term
    page = {"role": "controller", "name": node.me.name, "zone": node.me.zone, "leads": node.leading}
    page |= {"leader": known["name"] if known else None, "leader_address": known["http"] if known else None}
    page |= {
        "generation": term.text(),
        "serial": int(node.cluster_state.log_index),
        "holds": node.holds_lease_at(now),
    }
    page |= {"edition": edition(node), "evacuated": sorted(node.cluster_state.evacuated_zones)}
    page |= {"fence": fence(node), "list_age_ms": None if listed_at is None else now - listed_at}
    page["controllers"] = page["keepers"] = controllers(node, now)
    page["proxies"] = proxies(node, now)
    page["orders"] = [] if node.placement_fence is None else orders(node, now)
    page["unsettled"] = unsettled(node, now, listed_at)
    return page


def edition(node: Node) -> int:
    """Returns the edition of the committed configuration, 0 while there is none."""
    return editions.edition_of(node.cluster_state.configuration)


def configuration(node: Node, now: int) -> Row:
    """Returns the document of the page `configuration`: its edition and the counts of its items.

    `tenants` is null if requests need no key. Pages contain no keys; whoever may read those reads the
    configuration itself."""
    document = node.cluster_state.configuration or {}
    services = document.get("services", ())
    routes = document.get("routes", ())
    tenants = document.get("tenants")
    page: Row = {
        "edition": edition(node),
        "serial": int(node.cluster_state.configuration_version),
        "routes": len(routes),
    }
    page["hosts"] = len({route["host"].lower() for route in routes})
    page["services"] = len(services)
    page["models"] = sum(len((service.get("engine") or {}).get("models", ())) for service in services)
    page["tenants"] = None if tenants is None else len(tenants)
    page["keys"] = sum(len(tenant["keys"]) for tenant in tenants or ())
    return page


def members(node: Node, now: int) -> Row:
    """Returns the document of the page `members`: the rows of all controllers and proxies."""
    rows = [{"role": "controller", **row} for row in controllers(node, now)]
    return {"members": [*rows, *({"role": "proxy", **row} for row in proxies(node, now))]}
