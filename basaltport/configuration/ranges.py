"""Ranges of the numbers in a configuration.

Every number is within a range in which times in ms, sums over all replicas and quotients of two numbers are
exact or finite.
"""

import dataclasses

import basaltport.configuration.adapters as adapters

MAX_SHOWN_DIGITS = 20
"""Longer numbers are described by their number of digits."""


@dataclasses.dataclass(frozen=True)
class NumberRange:
    """The numbers from `least` to `most`, in the unit of the field; also 0 if `may_be_zero`.

    Use as a predicate: `field_range(value)` is whether a value is in the range.
    """

    least: float
    most: float
    may_be_zero: bool = True
    is_whole: bool = False

    def __call__(self, value: object) -> bool:
        """Whether a value is a number in the range."""
        if type(value) is not int and (type(value) is not float or self.is_whole):
            return False
        return self.least <= value <= self.most or (self.may_be_zero and value == 0)

    def describe(self) -> str:
        """Returns the text of a finding about a value outside the range, without the value."""
        kind = "whole number" if self.is_whole else "number"
        zero = "0 or " if self.may_be_zero and self.least > 0 else ""
        return f"not {zero}a {kind} of {self.least:g} to {self.most:g}"


def describe_value(value: object) -> str:
    """Returns a text that shows a number, "" for a value that is no number and may be secret."""
    if type(value) is float:
        return f"{value:g}"
    if type(value) is not int:
        return ""
    text = str(value)
    return text if len(text) <= MAX_SHOWN_DIGITS else f"a number of {len(text)} digits"


MAX_EXACT = 10**15
"""Sums and products of such numbers with small factors are exact."""
MAX_FLOAT = 1e308
LEAST_RATE_PER_S = 1e-6
"""About one in twelve days."""

DURATION = NumberRange(0, MAX_EXACT)
DEADLINE_MS = NumberRange(1, MAX_EXACT, may_be_zero=False)
"""Of less than a millisecond nothing would be left."""
COUNT = NumberRange(0, MAX_EXACT, is_whole=True)
ADAPTER_COUNT = NumberRange(0, adapters.MAX_ADAPTERS, is_whole=True)
AMOUNT = NumberRange(0, MAX_EXACT)
RATE_PER_S = NumberRange(LEAST_RATE_PER_S, MAX_EXACT)
WEIGHT = NumberRange(0, MAX_FLOAT)
"""Only quotients of weights are used."""
REQUEST_RATE_PER_S = NumberRange(LEAST_RATE_PER_S, MAX_FLOAT)
"""Limits beyond `quota.limits.MAX_REQUESTS` count as that many."""
REQUESTS = NumberRange(0, MAX_FLOAT)
