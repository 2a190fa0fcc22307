"""A model of the control plane: its reducers under random and exhaustive troubles, with checks."""
