"""What a check of the model found broken."""

import enum


class Rule(enum.Enum):
    """The model's checks."""

    TERM = "one leader a term"
    LOG = "logs agree"
    AGREED = "agreed entries are never lost nor undone"
    BACK = "what is in force never goes back within a life"
    HOLDERS = "no two members hold at one time"
    WORD = "nobody serves a read or feeds a proxy without a majority's word after its beginning"
    SYNCED = "no vote and no acknowledgement leaves a member before what it says is on its disk"
    HISTORY = "the history of all operators is linearizable"
    REPEAT = "a repeat of what was taken is never refused"
    MAJORITY = "no majority is lost while no more machines are lost than is borne"
    CATCH_UP = "whoever is back has caught up within the bound"
    CRASH = "no event makes a member raise an exception"
    ORDERS = "orders to a replica come from one member at a time, under rising fences"


class BrokenError(AssertionError):
    """A rule did not hold."""

    def __init__(self, rule: Rule, now: int, **facts: object) -> None:
        """`now` is virtual time; `facts` say what was seen."""
        super().__init__(f"{rule.name} at {now}: {facts}")
        self.rule = rule
        self.facts = facts
