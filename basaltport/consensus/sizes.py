"""Approximate sizes of entries and states when they are sent or stored. Only configurations are measured,
since they may be large; the rest is not worth encoding."""

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.text as text


def entry_size(entry: log.LogEntry) -> int:
    """Return the approximate size of an entry in bytes; only a configuration or a change of it is
    measured."""
    operation = entry.operation
    size = 2 * text.OVERHEAD + text.SCALAR_SIZE
    if isinstance(operation, log.ConfigurationPut):
        size += text.size_of_configuration(operation.configuration)
    elif isinstance(operation, log.ItemsPatched | log.ConfigurationMerged):
        size += text.size_of_configuration(operation.patch)
    return size


def state_size(state: state_machine.ClusterState) -> int:
    """Return the approximate size of a state in bytes; only its configuration is measured."""
    return text.OVERHEAD + text.size_of_configuration(state.configuration)


def replicated_state_size(replicated_state: state_machine.ReplicatedState | None) -> int:
    """Return the approximate size of a snapshot in bytes."""
    if replicated_state is None:
        return text.OVERHEAD
    entries = sum(map(entry_size, replicated_state.uncommitted))
    return text.OVERHEAD + state_size(replicated_state.cluster_state) + entries


def record_size(record: log.DiskRecord) -> int:
    """Return the approximate size of a disk record in bytes."""
    if isinstance(record, log.TermRecord):
        return text.OVERHEAD
    return text.OVERHEAD + entry_size(record.entry)
