"""About how many bytes things of the log take when they are sent or stored. A configuration's are counted
exactly, since it may be large; what is small is not worth the text."""

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.text as text


def entry_size(entry: log.LogEntry) -> int:
    """About how many bytes an entry takes; only a configuration's own, whole or a change of it, are counted
    exactly."""
    operation = entry.operation
    size = 2 * text.OVERHEAD + text.SCALAR_SIZE
    if isinstance(operation, log.ConfigurationPut):
        size += text.size_of_configuration(operation.configuration)
    elif isinstance(operation, log.ItemsPatched | log.ConfigurationMerged):
        size += text.size_of_configuration(operation.patch)
    return size


def state_size(state: state_machine.ClusterState) -> int:
    """About how many bytes a state takes; only its configuration's are counted exactly."""
    return text.OVERHEAD + text.size_of_configuration(state.configuration)


def copy_size(copy: state_machine.ReplicatedState | None) -> int:
    """About how many bytes a copy of what a member holds takes."""
    if copy is None:
        return text.OVERHEAD
    entries = sum(map(entry_size, copy.uncommitted))
    return text.OVERHEAD + state_size(copy.cluster_state) + entries


def record_size(record: log.DiskRecord) -> int:
    """About how many bytes a record of a disk takes."""
    if isinstance(record, log.TermRecord):
        return text.OVERHEAD
    return text.OVERHEAD + entry_size(record.entry)
