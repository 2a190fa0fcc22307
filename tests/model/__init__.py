"""The model of the control plane."""
