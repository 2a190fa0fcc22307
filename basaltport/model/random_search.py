"""Schedules drawn from a seed, and the search for the smallest part of one that still fails."""

import random

import basaltport.model.run as run
import basaltport.model.schedule as schedule
import basaltport.model.faults as faults

Fault = schedule.Fault
WEIGHTS = {
    Fault.NOTHING: 2,
    Fault.KILL: 4,
    Fault.POWER: 4,
    Fault.WIPE: 3,
    Fault.FREEZE: 4,
    Fault.STOP: 4,
    Fault.REPLACE_NEW_FIRST: 3,
    Fault.REPLACE_OLD_FIRST: 3,
    Fault.REPLACE_CUT: 3,
    Fault.CUT: 4,
    Fault.CUT_IN: 3,
    Fault.CUT_OUT: 3,
    Fault.CUT_PAIR: 3,
    Fault.SPLIT: 3,
    Fault.SLOW: 2,
    Fault.STALL: 2,
    Fault.FULL: 2,
    Fault.LOSS: 2,
    Fault.PROXY: 4,
    Fault.CHANGES: 16,
}
WAITS = (0, 20, 60, 150, 400, 900, 1500, 4000)
LASTS = (50, 200, 700, 1500, 4000, 8000)
CALM_MS = 9000
LOST_MS = 2200
MAJORITY_MS = 6000


SWEEP_MS = 20
AT_LEADER = 0.3
STORY_SHARE = 0.08


def draw(seed: int, members: int, steps: int) -> schedule.Schedule:
    """Odd seeds lose no more machines at once than is borne; even ones lose what they like."""
    rng = random.Random(seed)
    bearable = bool(seed % 2)
    actions: list[schedule.Action] = []
    while len(actions) < steps:
        if rng.random() < STORY_SHARE:
            actions += rng.choice(STORIES)(rng, members)
        else:
            actions.append(_any_action(rng, members))
    return schedule.Schedule(seed, members, bearable, tuple(actions))


def _any_action(rng: random.Random, members: int) -> schedule.Action:
    slot = schedule.LEADER if rng.random() < AT_LEADER else rng.randrange(members)
    fault = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    return schedule.Action(rng.choice(WAITS), fault, slot, rng.choice(LASTS), rng.randrange(8))


def _swept(rng: random.Random, upto: int) -> int:
    return SWEEP_MS * rng.randrange(upto // SWEEP_MS)


def second_loss(rng: random.Random, members: int) -> list[schedule.Action]:
    """A planned replacement, and one more machine is lost at any moment round the end of it."""
    old, lost = rng.sample(range(members), 2)
    after = faults.UP_MS + _swept(rng, 1000)
    return [
        schedule.Action(CALM_MS, Fault.REPLACE_NEW_FIRST, old),
        schedule.Action(after, Fault.POWER, lost, CALM_MS + MAJORITY_MS),
        schedule.Action(0, Fault.CHANGES, choice=rng.randrange(8)),
    ]


def living_name(rng: random.Random, members: int) -> list[schedule.Action]:
    """A machine replaces one that is cut off from the leader but lives, at once or when it counts as lost;
    then the leader and the new one are cut off from the others (in most draws, if the first leads three)."""
    after = rng.choice((0, LOST_MS))
    sides = rng.choice((1, 1, 1, rng.randrange(8)))
    slot = rng.randrange(1, members)
    return [
        schedule.Action(CALM_MS, Fault.REPLACE_CUT, slot, after, faults.HALF_CUT),
        schedule.Action(after + _swept(rng, 400), Fault.SPLIT, schedule.LEADER, CALM_MS, sides),
        schedule.Action(0, Fault.CHANGES, choice=rng.randrange(8)),
        schedule.Action(2500, Fault.CHANGES, choice=rng.randrange(8)),
    ]


def cut_leader(rng: random.Random, members: int) -> list[schedule.Action]:
    """The leader is cut off one way or both, while proxies start and operators call."""
    kind = rng.choice([Fault.CUT, Fault.CUT_IN, Fault.CUT_OUT])
    return [
        schedule.Action(CALM_MS, Fault.CHANGES, choice=rng.randrange(8)),
        schedule.Action(_swept(rng, 400), kind, schedule.LEADER, 20_000),
        schedule.Action(_swept(rng, 1000), Fault.PROXY, choice=rng.randrange(8)),
        schedule.Action(_swept(rng, 1000), Fault.CHANGES, choice=rng.randrange(8)),
    ]


def power_cut(rng: random.Random, members: int) -> list[schedule.Action]:
    """Slow disks, changes, and all machines lose power at one moment."""
    slow = [schedule.Action(0, Fault.SLOW, slot, CALM_MS) for slot in range(members)]
    change = schedule.Action(CALM_MS, Fault.CHANGES, choice=rng.randrange(8))
    cut = [schedule.Action(0, Fault.POWER, slot, rng.choice(LASTS)) for slot in range(members)]
    return [change, *slow, schedule.Action(_swept(rng, 800), Fault.NOTHING), *cut]


def quick_restart(rng: random.Random, members: int) -> list[schedule.Action]:
    """One member does not hear the leader; another starts again at any moment after."""
    lost = schedule.Action(CALM_MS, Fault.CUT_PAIR, schedule.LEADER, 2000, rng.randrange(8))
    again = schedule.Action(500 + _swept(rng, 500), Fault.KILL, rng.randrange(members), 1)
    return [lost, again]


def wiped_leads(rng: random.Random, members: int) -> list[schedule.Action]:
    """A wiped member has caught up, then the leader is lost and operators send again what was taken."""
    slot = rng.randrange(members)
    return [
        schedule.Action(CALM_MS, Fault.CHANGES, choice=7),
        schedule.Action(3000, Fault.WIPE, slot, 50),
        schedule.Action(CALM_MS, Fault.POWER, schedule.LEADER, CALM_MS),
        schedule.Action(2000, Fault.CHANGES, choice=7),
    ]


STORIES = (second_loss, living_name, cut_leader, power_cut, quick_restart, wiped_leads)


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
