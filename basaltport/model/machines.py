"""Machines of the model: which process each one runs, and which count as lost."""

import dataclasses

CATCH_UP_MS = 4000


@dataclasses.dataclass(slots=True)
class Machine:
    """`faults`: how many act on it now; `back_at`: when the last one ended; `amnesia`: the member in force
    there lost its memory and is not agreed yet; `replacing`: another machine is on its way."""

    node: str
    faults: int = 0
    back_at: int = -CATCH_UP_MS
    amnesia: bool = False
    replacing: bool = False


def losses_borne(members: int) -> int:
    """Machines that may be lost at once."""
    return (members - 1) // 2


class Machines:
    """Counts losses: a machine is lost while a fault acts on it and for CATCH_UP_MS after."""

    def __init__(self, names: list[str]) -> None:
        """One machine for each process."""
        self.rows = [Machine(n) for n in names]
        self.borne = losses_borne(len(names))

    def __getitem__(self, slot: int) -> Machine:
        """The machine of a slot."""
        return self.rows[slot]

    def slot_of(self, node: str | None) -> int:
        """The slot of a process, or 0 where it has none."""
        return next((i for i, machine in enumerate(self.rows) if machine.node == node), 0)

    def lost(self, now: int) -> set[int]:
        """Slots that count as lost."""
        return {
            i for i, machine in enumerate(self.rows) if machine.faults or now < machine.back_at + CATCH_UP_MS
        }

    def bears(self, slot: int, now: int) -> bool:
        """Whether one may be lost, with those that are."""
        return len(self.lost(now) | {slot}) <= self.borne

    def may_forget(self, slot: int, outside: set[int]) -> bool:
        """Whether a disk may be lost: those lost before whose loss the member list does not show yet count,
        and those that are no member now."""
        forgot = outside | {i for i, machine in enumerate(self.rows) if machine.amnesia}
        return slot not in forgot and len(forgot) < self.borne

    def hit(self, slot: int) -> None:
        """A fault begins."""
        self.rows[slot].faults += 1

    def over(self, slot: int, now: int) -> None:
        """A fault ends."""
        machine = self.rows[slot]
        machine.faults -= 1
        machine.back_at = now
