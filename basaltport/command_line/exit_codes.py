"""Exit codes of all commands."""

DONE = 0
REFUSED = 1
"""Also: a check failed, or nobody gave an answer that the command could use."""
BAD_INPUT = 2
OUTCOME_UNKNOWN = 3
NOBODY_ANSWERED = 4
