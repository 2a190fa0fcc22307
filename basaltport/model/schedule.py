"""Schedules of faults: plain data that a run is made of and can be replayed from."""

import dataclasses
import enum
import json


class Fault(enum.Enum):
    """What may happen to a machine (M), to links (L), to proxies or to operators."""

    NOTHING = "nothing"
    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    FREEZE = "freeze"
    STOP = "stop"
    REPLACE_NEW_FIRST = "replace-new-first"
    REPLACE_OLD_FIRST = "replace-old-first"
    REPLACE_CUT = "replace-cut"
    CUT = "cut"
    CUT_IN = "cut-in"
    CUT_OUT = "cut-out"
    CUT_PAIR = "cut-pair"
    SPLIT = "split"
    JUMP = "jump"
    SLOW = "slow"
    STALL = "stall"
    FULL = "full"
    LOSS = "loss"
    PROXY = "proxy"
    CHANGES = "changes"


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """After `wait` ms: `fault` at machine `slot` (or at the leader's, `LEADER`) for `lasts` ms; `choice`
    picks among the variants of a fault."""

    wait: int
    fault: Fault
    slot: int = 0
    lasts: int = 0
    choice: int = 0


LEADER = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """`bearable`: never more machines are lost at once than may be, so it must go on."""

    seed: int
    members: int
    bearable: bool
    actions: tuple[Action, ...]


def dump(schedule: Schedule) -> str:
    """One line of JSON."""
    rows = [[a.wait, a.fault.value, a.slot, a.lasts, a.choice] for a in schedule.actions]
    head = {"seed": schedule.seed, "members": schedule.members, "bearable": schedule.bearable}
    return json.dumps({**head, "actions": rows})


def load(text: str) -> Schedule:
    """The schedule of such a line."""
    rows = json.loads(text)
    actions = tuple(
        Action(wait, Fault(fault), slot, lasts, choice)
        for wait, fault, slot, lasts, choice in rows.pop("actions")
    )
    return Schedule(actions=actions, **rows)
