"""TEMPORARY: the names of before for what is in `log`, `state_machine` and `codec`."""

import basaltport.consensus.codec as codec
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

new = state_machine.ClusterState
apply = state_machine.apply
contiguous = log.are_contiguous
digest = codec.digest


def operation(op):
    """An operation, where it is given as its document."""
    return codec.decode_operation(op) if isinstance(op, dict) else op


def entry(serial, gen, op):
    """An entry of the log."""
    return log.LogEntry(identifiers.LogIndex(serial), gen, operation(op))


def gen_of(e):
    """The term of an entry."""
    return e.term


def serial(b):
    """The log index of a state."""
    return b.log_index


def gen(b):
    """The term of a state."""
    return b.term
