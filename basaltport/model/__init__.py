"""A model of the control plane: its reducers under random and exhaustive faults, with checks."""
