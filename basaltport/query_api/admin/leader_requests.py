"""The leader's side of operators' requests: changes are checked and proposed, reads are confirmed."""

import collections.abc
import http
import typing

import result

import basaltport.configuration.check as check
import basaltport.configuration.patch as patch
import basaltport.consensus.codec as codec
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.query_api.admin.operator_requests as operator_requests

LIVE_WITHIN_MS = 1500

Document = dict[str, typing.Any]
Findings = list[dict[str, str]]


class Refused(typing.NamedTuple):
    """A change that is not taken: the status of the answer and the findings."""

    status: int
    findings: Findings


Operation = Document | Refused


def refused(place: str, finding: str, status: int = http.HTTPStatus.UNPROCESSABLE_ENTITY) -> Refused:
    """A refusal with one finding."""
    return Refused(status, [{"place": place, "finding": finding}])


class LeaderInterface(typing.Protocol):
    """What `LeaderRequestsMixin` needs of the leader it is part of; see `consensus.lead`."""

    leading: bool
    appended_state: state_machine.ClusterState
    pending_changes: list[Document]
    pending_reads: list[Document]
    heartbeat_sent_at_ms: int
    heartbeat_number: int
    latest_acks: dict[str, typing.Any]

    def answer_ready_requests(self) -> None:
        """Acknowledge changes that all leased nodes applied, and answer confirmed reads."""

    def append(self, op: Document) -> identifiers.LogIndex:
        """Propose an entry."""

    def silence_ms(self, s: str) -> int:
        """For how many milliseconds a member has been silent."""

    def replica_row(self, zone: str, replica: str) -> Document:
        """A replica's row of its zone's cell."""


if typing.TYPE_CHECKING:
    Interface = LeaderInterface
else:
    Interface = object


class LeaderRequestsMixin(operator_requests.OperatorRequestsMixin, Interface):
    """A change is acknowledged once it is committed and in force at every leased node."""

    def serve_as_leader(self, src: str | None, call: str, verb: str, body: Document) -> None:
        """Take a request; reads wait for a majority to confirm that this member still leads."""
        if verb in operator_requests.READS:
            self.pending_reads.append(
                {"n": self.heartbeat_number, "src": src, "call": call, "verb": verb, "body": body}
            )
            self.heartbeat_sent_at_ms = -(10**9)
            return
        self.propose(src, call, verb, body)

    def propose(self, src: str | None, call: str, verb: str, body: Document) -> None:
        """Propose a change, or wait for the entry of the same change id."""
        state = self.appended_state
        change: str | None = body.get("change")
        waiting: Document = {"src": src, "call": call, "change": change, "committed": None}
        if change is not None and change in state.recent_changes:
            waiting["serial"] = state.recent_changes[change]
            waiting["committed"] = self.now if waiting["serial"] <= self.cluster_state.log_index else None
            self.pending_changes.append(waiting)
            self.pending_changes.sort(key=lambda row: row["serial"])
            self.answer_ready_requests()
            return
        operation = self.operations()[verb](state, body)
        if isinstance(operation, Refused):
            self.refuse_change(src, call, change, operation.status, operation.findings)
            return
        if change:
            operation["change"] = change
        waiting["serial"] = self.append(operation)
        self.pending_changes.append(waiting)

    def operations(
        self,
    ) -> dict[str, collections.abc.Callable[[state_machine.ClusterState, Document], Operation]]:
        """What makes the operation of a change, by verb."""
        return {
            "apply": self.apply_operation,
            "patch": self.patch_operation,
            "drain": self.drain_operation,
            "undrain": self.undrain_operation,
            "leaving": self.leaving_operation,
            "platform": self.platform_operation,
        }

    def apply_operation(self, state: state_machine.ClusterState, body: Document) -> Operation:
        """A whole manifest."""
        manifest = body.get("manifest")
        return self.manifest_op(state, body, manifest, {"op": "manifest", "manifest": manifest})

    def patch_operation(self, state: state_machine.ClusterState, body: Document) -> Operation:
        """A merge patch of the manifest."""
        changes = body.get("patch")
        if not isinstance(changes, dict):
            return refused("", "a merge patch is an object")
        merged = patch.merge(state.configuration or {}, changes)
        return self.manifest_op(state, body, merged, {"op": "patch", "patch": changes})

    def manifest_op(
        self, state: state_machine.ClusterState, body: Document, manifest: object, operation: Document
    ) -> Operation:
        """The operation, unless the manifest is at another version than the change is for, or is faulty."""
        version = body.get("if_serial")
        if version is not None and version != state.configuration_version:
            finding = f"the manifest is at serial {state['mserial']}, not {version}"
            return refused("if_serial", finding, http.HTTPStatus.CONFLICT)
        if body.get("checked"):
            return operation
        checked = check.manifest(manifest, state.configuration)
        if isinstance(checked, result.Err):
            return Refused(http.HTTPStatus.UNPROCESSABLE_ENTITY, checked.err_value)
        return operation

    def zone_operation(self, state: state_machine.ClusterState, body: Document, name: str) -> Operation:
        """An operation on a zone of the manifest."""
        zone = body.get("zone")
        if zone not in ((state.configuration or {}).get("zones") or {}):
            return refused("zone", f"no zone {zone!r} in the manifest")
        return {"op": name, "zone": zone}

    def drain_operation(self, state: state_machine.ClusterState, body: Document) -> Operation:
        """Evacuate a zone."""
        return self.zone_operation(state, body, "drain")

    def undrain_operation(self, state: state_machine.ClusterState, body: Document) -> Operation:
        """Use a zone again."""
        return self.zone_operation(state, body, "undrain")

    def leaving_operation(self, state: state_machine.ClusterState, body: Document) -> Operation:
        """A replica is leaving."""
        replica = body.get("replica")
        if replica not in state.listed_replicas:
            return refused("replica", f"no replica {replica!r} in the list")
        return {"op": "leaving", "replica": replica}

    def platform_operation(self, state: state_machine.ClusterState, body: Document) -> Operation:
        """The list of replicas."""
        checked = check.platform(body.get("replicas"))
        if isinstance(checked, result.Err):
            return Refused(http.HTTPStatus.UNPROCESSABLE_ENTITY, checked.err_value)
        return {"op": "platform", "replicas": checked.ok_value}

    def acknowledge(self, w: Document) -> None:
        """Answer a change that is in force at every leased node."""
        log_index = int(w["serial"])
        body = {"outcome": "acknowledged", "serial": log_index, "change": w["change"]}
        self.note(log_events.Event.CHANGE_ACKNOWLEDGED, log_index=log_index, change_id=w["change"])
        self.respond(w["src"], w["call"], http.HTTPStatus.OK, body)

    def unknown(self, w: Document) -> None:
        """Answer a change whose outcome this member will not learn."""
        body = {"outcome": "unknown", "change": w["change"]}
        self.respond(w["src"], w["call"], http.HTTPStatus.GATEWAY_TIMEOUT, body)

    # reads

    def serve_read(self, r: Document) -> None:
        """Answer a read from the committed state."""
        if r["verb"] == "change":
            status, body = self.read_change(r["body"].get("change"))
        else:
            status, body = http.HTTPStatus.OK, self.readers()[r["verb"]]()
        self.respond(r["src"], r["call"], status, body)

    def readers(self) -> dict[str, collections.abc.Callable[[], Document]]:
        """What makes the answer to a read, by verb."""
        return {
            "show": self.read_show,
            "history": self.read_history,
            "status": self.read_status,
            "members": self.read_members,
            "replicas": self.read_replicas,
            "placement": self.read_placement,
        }

    def read_show(self) -> Document:
        """The manifest and its version."""
        return {
            "serial": self.cluster_state.configuration_version,
            "manifest": self.cluster_state.configuration,
        }

    def read_history(self) -> Document:
        """The last changes."""
        return {"history": [codec.encode_history_record(row) for row in self.cluster_state.history]}

    def read_change(self, change: object) -> tuple[int, Document]:
        """What became of a change."""
        changes = self.cluster_state.recent_changes
        if isinstance(change, str) and change in changes:
            body = {"outcome": "acknowledged", "serial": changes[change], "change": change}
            return http.HTTPStatus.OK, body
        return http.HTTPStatus.NOT_FOUND, {"outcome": "unheard", "change": change}

    def read_status(self) -> Document:
        """How the cluster stands."""
        state = self.cluster_state
        members = state.members
        return {
            "serial": state.log_index,
            "manifest_serial": state.configuration_version,
            "generation": list(state.term),
            "leader": self.me.name,
            "seats": len(members),
            "ledgers": len(state.disk_members),
            "drains": sorted(state.evacuated_zones),
            "leaving": sorted(state.leaving_replicas),
            "duties": {
                role: members[owner.owner].name if owner.owner in members else "lost"
                for role, owner in state.role_owners.items()
            },
            "digest": codec.digest(state),
        }

    def read_members(self) -> Document:
        """The members, and how far each has applied the log."""
        rows = []
        by_name = sorted(self.cluster_state.members.items(), key=lambda item: item[1].name)
        for member_id, row in by_name:
            heartbeat = self.latest_acks.get(member_id)
            rows.append(
                {
                    **codec.encode_member(row),
                    "live": self.silence_ms(member_id) < LIVE_WITHIN_MS,
                    "ledger": member_id in self.cluster_state.disk_members,
                    "applied": heartbeat[2] if heartbeat else 0,
                }
            )
        return {"members": rows}

    def read_replicas(self) -> Document:
        """The replicas and what they hold."""
        rows = []
        for name, row in sorted(self.cluster_state.listed_replicas.items()):
            listed = {"replica": name, "url": row.url, "zone": row.zone, "group": row.group}
            is_evacuated = row.zone in self.cluster_state.evacuated_zones
            marks = {"draining": is_evacuated, "leaving": name in self.cluster_state.leaving_replicas}
            rows.append({**listed, **marks, **self.replica_row(row.zone, name)})
        return {"replicas": rows}

    def read_placement(self) -> Document:
        """Where each item is."""
        placement: dict[str, list[Document]] = {}
        for name, row in sorted(self.cluster_state.listed_replicas.items()):
            held = self.replica_row(row.zone, name).get("held", {})
            for item, state in sorted(held.items()):
                holder = {"replica": name, "zone": row.zone, "state": state}
                placement.setdefault(item, []).append(holder)
        return {"placement": placement}
