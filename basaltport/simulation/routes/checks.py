"""All that must hold on the routed path, checked over a trace."""

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.operator_checks as operator_checks
import basaltport.simulation.routes.replica_checks as replica_checks
import basaltport.simulation.routes.request_checks as request_checks
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.trace as trace

CHECKS = (
    request_checks.once_only,
    request_checks.never_ran,
    replica_checks.draining,
    replica_checks.evacuated,
    operator_checks.in_force,
    operator_checks.agreed,
    operator_checks.fed,
    operator_checks.refused,
    operator_checks.survives,
    request_checks.resends,
    request_checks.cold,
    replica_checks.loads_from_store,
    replica_checks.room,
    replica_checks.holders,
    request_checks.starved,
    request_checks.back,
    request_checks.final_answers,
    operator_checks.answered,
)


def run(rows: trace.Trace, facts: run_facts.RunFacts) -> list[finding.Finding]:
    """The findings of every check."""
    return [found for check in CHECKS for found in check(rows, facts)]
