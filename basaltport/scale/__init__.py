"""Scale runs: how the cost of the control path grows with the fleet, measured on real processes."""
