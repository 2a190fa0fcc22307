"""The simulators, their checks and scenarios."""
