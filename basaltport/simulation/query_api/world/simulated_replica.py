"""A replica of the simulator."""

import basaltport.simulation.query_api.standins.replica as replica

ANSWERS = ("up", "sick", "torn")
"""Modes in which a replica can be reached. `sick` ones break whole answers off, `torn` ones also tear
streams."""


class SimulatedReplica:
    """`row`: as the platform lists it; `group`: room and slots; `logic`: what it holds and runs; `mode`: one
    of ANSWERS, dark or gone; `slow`: a factor on its durations; `past`: the logic of former processes."""

    def __init__(self, replica_id: str, row: dict[str, str], group: dict[str, int], now: int) -> None:
        """It is started at once."""
        self.id, self.row, self.group = replica_id, row, group
        self.incarnation, self.slow = 0, 1
        self.past: list[replica.Replica] = []
        self.begin(now)

    def restart(self, now: int) -> None:
        """A new process starts, which holds nothing."""
        self.past.append(self.logic)
        self.begin(now)

    def begin(self, now: int) -> None:
        """A process starts."""
        self.incarnation += 1
        self.mode = "up"
        epoch = f"{self.id}-{self.incarnation}"
        room, slots = self.group["room"], self.group["slots"]
        self.logic = replica.Replica(self.id, room, slots, epoch, now)

    @property
    def answers(self) -> bool:
        """Whether it can be reached."""
        return self.mode in ANSWERS
