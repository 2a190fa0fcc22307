"""Schedules drawn from a seed, and the search for the smallest part of one that still fails."""

import random

import basaltport.model.run as run
import basaltport.model.schedule as schedule
import basaltport.model.troubles as troubles

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
    Trouble.SPLIT: 3,
    Trouble.SLOW: 2,
    Trouble.STALL: 2,
    Trouble.FULL: 2,
    Trouble.LOSS: 2,
    Trouble.PROXY: 4,
    Trouble.CHANGES: 16,
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
    trouble = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    return schedule.Action(rng.choice(WAITS), trouble, slot, rng.choice(LASTS), rng.randrange(8))


def _swept(rng: random.Random, upto: int) -> int:
    return SWEEP_MS * rng.randrange(upto // SWEEP_MS)


def second_loss(rng: random.Random, members: int) -> list[schedule.Action]:
    """A planned replacement, and one more machine is lost at any moment round the end of it."""
    old, lost = rng.sample(range(members), 2)
    after = troubles.UP_MS + _swept(rng, 1000)
    return [
        schedule.Action(CALM_MS, Trouble.REPLACE_NEW_FIRST, old),
        schedule.Action(after, Trouble.POWER, lost, CALM_MS + MAJORITY_MS),
        schedule.Action(0, Trouble.CHANGES, choice=rng.randrange(8)),
    ]


def living_name(rng: random.Random, members: int) -> list[schedule.Action]:
    """A machine replaces one that is cut off from the leader but lives, at once or when it counts as lost;
    then the leader and the new one are cut off from the others (in most draws, if the first leads three)."""
    after = rng.choice((0, LOST_MS))
    sides = rng.choice((1, 1, 1, rng.randrange(8)))
    slot = rng.randrange(1, members)
    return [
        schedule.Action(CALM_MS, Trouble.REPLACE_CUT, slot, after, troubles.HALF_CUT),
        schedule.Action(after + _swept(rng, 400), Trouble.SPLIT, schedule.LEADER, CALM_MS, sides),
        schedule.Action(0, Trouble.CHANGES, choice=rng.randrange(8)),
        schedule.Action(2500, Trouble.CHANGES, choice=rng.randrange(8)),
    ]


def cut_leader(rng: random.Random, members: int) -> list[schedule.Action]:
    """The leader is cut off one way or both, while proxies start and operators call."""
    kind = rng.choice([Trouble.CUT, Trouble.CUT_IN, Trouble.CUT_OUT])
    return [
        schedule.Action(CALM_MS, Trouble.CHANGES, choice=rng.randrange(8)),
        schedule.Action(_swept(rng, 400), kind, schedule.LEADER, 20_000),
        schedule.Action(_swept(rng, 1000), Trouble.PROXY, choice=rng.randrange(8)),
        schedule.Action(_swept(rng, 1000), Trouble.CHANGES, choice=rng.randrange(8)),
    ]


def power_cut(rng: random.Random, members: int) -> list[schedule.Action]:
    """Slow disks, changes, and all machines lose power at one moment."""
    slow = [schedule.Action(0, Trouble.SLOW, slot, CALM_MS) for slot in range(members)]
    change = schedule.Action(CALM_MS, Trouble.CHANGES, choice=rng.randrange(8))
    cut = [schedule.Action(0, Trouble.POWER, slot, rng.choice(LASTS)) for slot in range(members)]
    return [change, *slow, schedule.Action(_swept(rng, 800), Trouble.NOTHING), *cut]


def quick_restart(rng: random.Random, members: int) -> list[schedule.Action]:
    """One member does not hear the leader; another starts again at any moment after."""
    lost = schedule.Action(CALM_MS, Trouble.CUT_PAIR, schedule.LEADER, 2000, rng.randrange(8))
    again = schedule.Action(500 + _swept(rng, 500), Trouble.KILL, rng.randrange(members), 1)
    return [lost, again]


def wiped_leads(rng: random.Random, members: int) -> list[schedule.Action]:
    """A wiped member has caught up, then the leader is lost and operators send again what was taken."""
    slot = rng.randrange(members)
    return [
        schedule.Action(CALM_MS, Trouble.CHANGES, choice=7),
        schedule.Action(3000, Trouble.WIPE, slot, 50),
        schedule.Action(CALM_MS, Trouble.POWER, schedule.LEADER, CALM_MS),
        schedule.Action(2000, Trouble.CHANGES, choice=7),
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
