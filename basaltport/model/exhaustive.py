"""Every schedule of a few actions over three members, with states that were seen before left out.

Time is cut into steps of STEP_MS; at each one action is taken, or none. Links keep their order and take 1 ms.
A state is what members hold, voted and believe, with ages in steps; the names of members don't count, so
that states that differ by a permutation of members are one. After the last action all faults end, and a
leader must be there and take a change. Ages in steps and the order of members make this an abstraction: a
state that is left out as seen was seen up to these."""

import collections
import dataclasses
import enum
import itertools
import time

import basaltport.consensus.quorum as quorum
import basaltport.model.finding as finding
import basaltport.model.run as run
import basaltport.model.schedule as schedule
import basaltport.model.faults as faults
import basaltport.simulation.routes.nodes as nodes

STEP_MS = 250
AGE_STEPS = 4
HEAL_MS = 6000
SEED = 7


class Act(enum.Enum):
    """What may happen at one step."""

    NOTHING = "nothing"
    CHANGE = "change"
    POWER = "power"
    WIPE = "wipe"
    FREEZE = "freeze"
    CUT = "cut"
    REPLACE = "replace"
    END = "end"


ON_MACHINES = (Act.POWER, Act.WIPE, Act.FREEZE, Act.CUT, Act.REPLACE)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """An act, and the machine it is done to."""

    act: Act
    slot: int = 0


Path = tuple[Step, ...]
State = tuple[object, ...]


@dataclasses.dataclass(slots=True)
class Found:
    """Result of a search; `paths` and `states` by depth."""

    members: int
    depth: int
    paths: list[int]
    states: list[int]
    seconds: float
    broken: finding.BrokenError | None = None
    path: Path = ()

    def text(self) -> str:
        """What was searched and found, in lines."""
        rows = [
            f"{self.members} members, every schedule of {self.depth} actions, one each {STEP_MS} ms",
            f"schedules run by depth {self.paths}, new states by depth {self.states}",
            f"{sum(self.states)} states seen, bound {self.depth} reached, {self.seconds:.0f} s",
        ]
        if self.broken:
            steps = " ".join(f"{s.act.value}:{s.slot}" for s in self.path)
            rows = [rows[0], f"broken: {self.broken}", f"by {steps}"]
        return "\n".join(rows)


class Scope:
    """One run of a path."""

    def __init__(self, members: int) -> None:
        """A fleet just founded."""
        plan = schedule.Schedule(SEED, members, False, ())
        self.world = run.founded(plan, rough=False)
        self.player = faults.Player(self.world)
        self.faulty: dict[int, Act] = {}

    def steps(self) -> list[Step]:
        """What may happen now."""
        out = [Step(Act.NOTHING), Step(Act.CHANGE)]
        for slot in range(len(self.world.machines.rows)):
            if slot in self.faulty:
                out.append(Step(Act.END, slot))
                continue
            out += [Step(act, slot) for act in ON_MACHINES if self._may(act, slot)]
        return out

    def _may(self, act: Act, slot: int) -> bool:
        if act in (Act.WIPE, Act.REPLACE):
            return self.player.may_forget(slot) and not self.world.machines[slot].replacing
        return True

    def take(self, step: Step) -> None:
        """Does one step and lets its time go by."""
        getattr(self, "_take_" + step.act.value)(step.slot)
        self.world.run(STEP_MS)

    def _node(self, slot: int) -> nodes.Node:
        return self.world.nodes[self.world.machines[slot].node]

    def _take_nothing(self, slot: int) -> None:
        pass

    def _take_change(self, slot: int) -> None:
        for operator in self.world.operators:
            operator.make(1)

    def _take_power(self, slot: int) -> None:
        self.world.kill(self._node(slot).name, power=True)
        self._hit(slot, Act.POWER)

    def _take_wipe(self, slot: int) -> None:
        self.world.kill(self._node(slot).name, disk=True)
        self.world.machines[slot].amnesia = True
        self.player.remembered(slot)
        self._hit(slot, Act.WIPE)

    def _take_freeze(self, slot: int) -> None:
        self.world.freeze(self._node(slot).name)
        self._hit(slot, Act.FREEZE)

    def _take_cut(self, slot: int) -> None:
        self.player.isolate(self._node(slot).name, both=True)
        self._hit(slot, Act.CUT)

    def _take_replace(self, slot: int) -> None:
        """The old one lives on, cut off from the leader and the new one alone; the new one bears its name."""
        action = schedule.Action(0, schedule.Fault.REPLACE_CUT, slot, 1, faults.HALF_CUT)
        self.player.play(action)

    def _hit(self, slot: int, act: Act) -> None:
        self.faulty[slot] = act
        self.world.machines.hit(slot)

    def _take_end(self, slot: int) -> None:
        act, node = self.faulty.pop(slot), self._node(slot)
        self.world.machines.over(slot, self.world.now)
        if act is Act.FREEZE:
            self.world.freeze(node.name, False)
        elif act is Act.CUT:
            pairs = [p for p in self.world.parted.elements() if node.name in p]
            self.world.join_links([p for p in pairs if not self.world.retired & set(p)])
        else:
            self.world.boot(node.name)

    def heal(self) -> None:
        """All ends; a leader is there, and what operators do still makes one history."""
        for slot in sorted(self.faulty):
            self._take_end(slot)
        if self.world.until(self.world.leader, HEAL_MS) is None:
            raise finding.BrokenError(finding.Rule.MAJORITY, self.world.now, healed=True)
        self._take_change(0)
        self.world.run(HEAL_MS)
        self.world.finish()

    # states

    def state(self) -> State:
        """The smallest of the descriptions under all orders of members."""
        names = sorted(n.name for n in self.world.controllers())
        orders = itertools.permutations(names)
        return min((self._described({n: i for i, n in enumerate(order)}) for order in orders), key=repr)

    def _described(self, number: dict[str, int]) -> State:
        rows = sorted((n, self._member(self.world.nodes[name], number)) for name, n in number.items())
        cuts = sorted((number.get(a, -1), number.get(b, -1)) for a, b in self.world.cuts)
        down = sorted((act.value, number.get(self._node(s).name, -1)) for s, act in self.faulty.items())
        forgot = sum(m.amnesia for m in self.world.machines.rows)
        return repr(rows), repr(cuts), repr(down), forgot

    def _member(self, node: nodes.Node, number: dict[str, int]) -> State:
        member, now = node.member, self.world.now
        heard = -1 if member.leader is None else min(AGE_STEPS, (now - member.leader_heard_at_ms) // STEP_MS)
        confirmed = min(AGE_STEPS, (now - member.lease_started_at_ms) // STEP_MS) if member.leading else -1
        log = [(entry.index, entry.term.count, entry.operation.kind) for entry in member.uncommitted_entries]
        voters = sorted(
            number.get(self._node_of(member_id), -1) for member_id in quorum.voters(member.cluster_state)
        )
        flags = (
            node.frozen,
            member.leading,
            heard,
            confirmed,
            member.bad,
            bool(member.candidacy),
            member.stopped,
        )
        return (
            flags,
            member.cluster_state.log_index,
            member.cluster_state.term.count,
            voters,
            log,
            member.current_term.count,
        )

    def _node_of(self, member_id: str) -> str:
        return next((n.name for n in self.world.nodes.values() if n.seat == member_id), "")


def follow(members: int, path: Path) -> Scope:
    """What is there at the end of a path."""
    scope = Scope(members)
    for step in path:
        scope.take(step)
    return scope


def search(members: int, depth: int) -> Found:
    """Breadth first; the first path that breaks a rule ends it."""
    start = time.monotonic()
    seen = {follow(members, ()).state()}
    found = Found(members, depth, [], [1], 0.0)
    layer: list[Path] = [()]
    for level in range(1, depth + 1):
        counts: collections.Counter[str] = collections.Counter()
        layer = _next_layer(found, layer, seen, counts, last=level == depth)
        found.paths.append(counts.get("paths", 0))
        found.states.append(counts.get("states", 0))
        if found.broken:
            break
    found.seconds = time.monotonic() - start
    return found


def _next_layer(
    found: Found, layer: list[Path], seen: set[State], counts: collections.Counter[str], last: bool
) -> list[Path]:
    out = []
    for path in layer:
        for step in follow(found.members, path).steps():
            longer = (*path, step)
            counts.update(paths=1)
            try:
                scope = follow(found.members, longer)
                state = scope.state()
                if state in seen:
                    continue
                seen.add(state)
                counts.update(states=1)
                out.append(longer)
                if last:
                    scope.heal()
            except finding.BrokenError as e:
                found.broken, found.path = e, longer
                return out
    return out
