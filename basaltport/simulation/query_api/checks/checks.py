"""All that must hold in the simulator of the JSON API, checked over a trace."""

import basaltport.simulation.finding as finding
import basaltport.simulation.query_api.checks.agreed as agreed
import basaltport.simulation.query_api.checks.check_facts as check_facts
import basaltport.simulation.query_api.checks.replica_checks as replica_checks
import basaltport.simulation.query_api.checks.request_checks as request_checks
import basaltport.simulation.trace as trace

CHECKS = (
    request_checks.once_only,
    request_checks.refusal,
    request_checks.final_answers,
    request_checks.replies,
    replica_checks.marks,
    request_checks.resends,
    replica_checks.flood,
    replica_checks.store,
    replica_checks.room,
    replica_checks.order_givers,
    request_checks.back,
    *agreed.CHECKS,
)


def run(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[finding.Finding]:
    """The findings of every check."""
    return [found for check in CHECKS for found in check(trace_rows, facts)]
