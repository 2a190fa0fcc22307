"""Defines the exit codes of all commands."""

DONE = 0
REFUSED = 1
"""The call was refused, a check failed, or no node gave a usable answer."""
BAD_INPUT = 2
OUTCOME_UNKNOWN = 3
NOBODY_ANSWERED = 4
