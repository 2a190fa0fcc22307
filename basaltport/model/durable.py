"""What each member's disk holds for sure, told by the disk itself and not by the member's own account."""

import dataclasses

import basaltport.consensus.log as log
import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.simulation.routes.nodes as nodes

Entry = tuple[int, tuple[int, str]]


def _key(entry: log.LogEntry) -> Entry:
    return entry.index, (entry.term.count, entry.term.name)


@dataclasses.dataclass(slots=True)
class Held:
    """Of one disk: the highest vote and the entries that are synced."""

    vote_term: identifiers.Term = identifiers.Term()
    entries: set[Entry] = dataclasses.field(default_factory=set)

    def add(self, vote_terms: list[identifiers.Term], entries: list[Entry]) -> None:
        """These are synced now."""
        self.vote_term = max([self.vote_term, *vote_terms])
        self.entries.update(entries)


class Durable:
    """Writes that are under way by token, and what is synced by process."""

    def __init__(self) -> None:
        """No disk holds anything."""
        self.writes: dict[tuple[str, int, int], tuple[list[identifiers.Term], list[Entry]]] = {}
        self.held: dict[str, Held] = {}

    def started(self, node: nodes.Node) -> None:
        """A process read its disk: that is what it holds."""
        member = node.member
        entries = [_key(entry) for entry in member.uncommitted_entries]
        held = self.held[node.name] = Held()
        held.add(
            [member.current_term],
            [*entries, (member.cluster_state.log_index, tuple(member.cluster_state.term))],
        )

    def asked(self, node: nodes.Node, token: int, records: list[log.DiskRecord], whole: bool) -> None:
        """A write was handed to the disk; with `whole`, of all that the member has."""
        member = node.member
        vote_terms = [record.term for record in records if isinstance(record, log.TermRecord)]
        entries = [_key(record.entry) for record in records if isinstance(record, log.EntryRecord)]
        if whole:
            vote_terms.append(member.current_term)
            entries += [_key(entry) for entry in member.uncommitted_entries]
            entries.append((member.cluster_state.log_index, tuple(member.cluster_state.term)))
        self.writes[node.name, node.incarnation, token] = vote_terms, entries

    def synced(self, node: nodes.Node, token: int, ok: bool) -> None:
        """The disk says that a write is safe, or that it failed."""
        written = self.writes.pop((node.name, node.incarnation, token), None)
        if ok and written:
            self.held[node.name].add(*written)

    def bears_out(self, node: nodes.Node, msg: object) -> bool:
        """Whether what a vote or an acknowledgement says is on the disk."""
        held = self.held[node.name]
        if isinstance(msg, messages.Vote):
            return not msg.granted or held.vote_term >= msg.term
        if isinstance(msg, messages.HeartbeatAck) and msg.accepted:
            return (
                not msg.synced_log_index or (msg.synced_log_index, tuple(msg.synced_log_term)) in held.entries
            )
        return True
