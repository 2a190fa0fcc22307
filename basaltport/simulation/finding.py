"""What a check of a trace finds: a rule that was broken, and when."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """`rule` was broken `at_ms` ms into the run, as `text` says."""

    rule: str
    at_ms: float
    text: str

    def as_json(self) -> dict[str, typing.Any]:
        """As a trace file has it."""
        return {"rule": self.rule, "t": self.at_ms, "finding": self.text}
