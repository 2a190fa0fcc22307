"""Real fleets of processes under load with a fault."""
