"""Schedules drawn from a seed, and the search for the smallest part of one that still fails."""

import random

import basaltport.model.run as run
import basaltport.model.schedule as schedule

Trouble = schedule.Trouble
WEIGHTS = {
    Trouble.NOTHING: 2,
    Trouble.KILL: 4,
    Trouble.POWER: 4,
    Trouble.WIPE: 3,
    Trouble.FREEZE: 4,
    Trouble.STOP: 4,
    Trouble.REPLACE_NEW_FIRST: 3,
    Trouble.REPLACE_OLD_FIRST: 3,
    Trouble.REPLACE_CUT: 3,
    Trouble.CUT: 4,
    Trouble.CUT_IN: 3,
    Trouble.CUT_OUT: 3,
    Trouble.CUT_PAIR: 3,
    Trouble.SLOW: 2,
    Trouble.STALL: 2,
    Trouble.FULL: 2,
    Trouble.LOSS: 2,
    Trouble.PROXY: 4,
    Trouble.CHANGES: 16,
}
WAITS = (0, 20, 60, 150, 400, 900, 1500, 4000)
LASTS = (50, 200, 700, 1500, 4000, 8000)


def draw(seed: int, members: int, steps: int) -> schedule.Schedule:
    """Odd seeds lose no more machines at once than is borne; even ones lose what they like."""
    rng = random.Random(seed)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    actions = []
    for _ in range(steps):
        slot = schedule.LEADER if rng.random() < 0.3 else rng.randrange(members)
        trouble = rng.choices(kinds, weights)[0]
        actions.append(schedule.Action(rng.choice(WAITS), trouble, slot, rng.choice(LASTS), rng.randrange(8)))
    return schedule.Schedule(seed, members, bool(seed % 2), tuple(actions))


def shrink(plan: schedule.Schedule, tries: int = 200) -> schedule.Schedule:
    """Leaves out parts of a failing schedule, halves first, while it still fails by the same rule."""
    rule = run.play(plan).broken
    size = len(plan.actions) // 2
    while size and tries > 0 and rule:
        at = 0
        while at < len(plan.actions) and tries > 0:
            tries -= 1
            rest = plan.actions[:at] + plan.actions[at + size :]
            less = schedule.Schedule(plan.seed, plan.members, plan.bearable, rest)
            broken = run.play(less).broken
            if broken and broken.rule is rule.rule:
                plan = less
                continue
            at += size
        size //= 2
    return plan
