"""What schedules do to the model's world, fault by fault."""

import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.model.schedule as schedule
import basaltport.model.world as model_world

Fault = schedule.Fault
LEAVE_MS = 100
STOP_MS = 5000
REPLACES = {Fault.REPLACE_NEW_FIRST, Fault.REPLACE_OLD_FIRST, Fault.REPLACE_CUT}
FORGETS = REPLACES | {Fault.WIPE}
NO_LOSS = {Fault.NOTHING, Fault.PROXY, Fault.CHANGES}
UNBEARABLE = {Fault.LOSS, Fault.SPLIT}
HALF_CUT = 2
ZOMBIE_MS = 10_000
UP_MS = 4500


class Player:
    """Applies the actions of a schedule; one that its mode forbids is passed over and counted."""

    def __init__(self, world: model_world.World) -> None:
        """Plays into `world`."""
        self.world = world
        self.done: dict[str, int] = {}
        self.passed = 0
        self.fresh = 0
        self.gone: set[str] = set()

    def play(self, action: schedule.Action) -> None:
        """Waits, then does it unless the mode forbids."""
        world = self.world
        world.run(action.wait)
        slot = world.machines.slot_of(world.leader()) if action.slot == schedule.LEADER else action.slot
        if not self._allowed(action, slot):
            self.passed += 1
            return
        name = action.fault.value
        self.done[name] = self.done.get(name, 0) + 1
        getattr(self, "_do_" + name.replace("-", "_"))(slot, action)

    def _allowed(self, action: schedule.Action, slot: int) -> bool:
        world, fault = self.world, action.fault
        if fault in NO_LOSS:
            return True
        node = world.nodes[world.machines[slot].node]
        if node.member is None or node.frozen:
            return False
        if fault in REPLACES and world.machines[slot].replacing:
            return False
        if not world.bearable:
            return fault not in FORGETS or self.may_forget(slot)
        if fault is Fault.REPLACE_NEW_FIRST:
            return not world.machines.lost(world.now)
        if fault in UNBEARABLE or fault is Fault.REPLACE_CUT and action.choice & HALF_CUT:
            return False
        return world.machines.bears(slot, world.now)

    def may_forget(self, slot: int) -> bool:
        """Whether what a machine holds may be lost, of what the agreed member list shows and any further
        one that a log holds: once it is agreed, no more than it bears may be lost."""
        world = self.world
        members = [world.nodes[machine.node].seat for machine in world.machines.rows]
        return all(
            world.machines.may_forget(slot, {i for i, member in enumerate(members) if member not in voters})
            for voters in (world.checks.voters, *self._voters_to_come())
        )

    def _voters_to_come(self) -> list[set[str]]:
        """Voters after each change of members that is in a log and not agreed yet."""
        found: list[set[str]] = []
        for node in self.world.controllers():
            state = node.member.cluster_state
            for entry in node.member.uncommitted_entries:
                before, state = state, state_machine.apply(state, entry)
                if entry.index > self.world.checks.newest and state.members.keys() != before.members.keys():
                    found.append(set(state.members))
        return found

    def _node_of(self, slot: int) -> str:
        return self.world.machines[slot].node

    def _for_a_while(self, slot: int, lasts: int, end: typing.Callable[..., object], *args: object) -> None:
        self.world.machines.hit(slot)
        self.world.later(lasts, self._end_fault, slot, end, args)

    def _end_fault(self, slot: int, end: typing.Callable[..., object], args: tuple[object, ...]) -> None:
        end(*args)
        self.world.machines.over(slot, self.world.now)

    # processes

    def _do_nothing(self, slot: int, action: schedule.Action) -> None:
        pass

    def _do_kill(self, slot: int, action: schedule.Action) -> None:
        self.world.kill(self._node_of(slot))
        self._for_a_while(slot, action.lasts, self._start, self._node_of(slot))

    def _do_power(self, slot: int, action: schedule.Action) -> None:
        self.world.kill(self._node_of(slot), power=True)
        self._for_a_while(slot, action.lasts, self._start, self._node_of(slot))

    def _do_wipe(self, slot: int, action: schedule.Action) -> None:
        self.world.kill(self._node_of(slot), disk=True)
        self.world.machines[slot].amnesia = True
        self._for_a_while(slot, action.lasts, self._start, self._node_of(slot))
        self.world.later(action.lasts, self.remembered, slot)

    def remembered(self, slot: int) -> None:
        """The member that came without memory is agreed, and no replaced one is a member."""
        world = self.world
        leader = world.leader()
        voters = set(quorum.voters(world.nodes[leader].member.cluster_state)) if leader else set()
        members = {world.nodes[machine.node].seat for machine in world.machines.rows}
        if world.zombies:
            world.later(50, self.remembered, slot)
            return
        if world.nodes[self._node_of(slot)].seat in voters and voters <= members:
            world.machines[slot].amnesia = False
            return
        world.later(50, self.remembered, slot)

    def _start(self, name: str) -> None:
        if self.world.nodes[name].member is None and name not in self.gone:
            self.world.boot(name)

    def _do_freeze(self, slot: int, action: schedule.Action) -> None:
        name = self._node_of(slot)
        self.world.freeze(name)
        self._for_a_while(slot, action.lasts, self._thaw, name, self.world.nodes[name].incarnation)

    def _thaw(self, name: str, incarnation: int) -> None:
        if self.world.nodes[name].incarnation == incarnation:
            self.world.freeze(name, False)

    def _do_stop(self, slot: int, action: schedule.Action) -> None:
        """In good order, and back after a while."""
        name = self._node_of(slot)
        self._stop(name)
        self._for_a_while(slot, STOP_MS + action.lasts, self._start, name)

    def _stop(self, name: str) -> None:
        node = self.world.nodes[name]
        self.world.ask_to_stop(node)
        self.world.later(LEAVE_MS, self._end_once_released, name, node.incarnation)

    def _end_once_released(self, name: str, incarnation: int) -> None:
        """The process waits until the others need its vote no more."""
        node = self.world.nodes[name]
        if node.incarnation != incarnation:
            return
        if node.member.may_exit():
            self.world.kill(name)
            return
        self.world.later(50, self._end_once_released, name, incarnation)

    def _do_jump(self, slot: int, action: schedule.Action) -> None:
        """Its steady clock goes ahead at once, as after a machine's sleep that no message noticed."""
        self.world.nodes[self._node_of(slot)].skew += action.lasts
        self._for_a_while(slot, 1, bool)

    # replacement

    def _successor(self, slot: int, own_name: bool) -> str:
        """A new machine at another address, under its own or its predecessor's name."""
        world = self.world
        world.machines[slot].replacing = True
        self.fresh += 1
        name = f"n{self.fresh}"
        node = world.add(name)
        if not own_name:
            node.member_name = world.nodes[self._node_of(slot)].member_name
        return name

    def _enter(self, slot: int, name: str) -> None:
        world = self.world
        world.machines[slot].node = name
        world.machines[slot].replacing = False
        world.seeds = sorted(world.nodes[m.node].addr for m in world.machines.rows)[:3]
        if world.nodes[name].member is None:
            world.boot(name)
        self.remembered(slot)

    def _do_replace_new_first(self, slot: int, action: schedule.Action) -> None:
        """Planned: the new one is up for a while, then the old one stops in order and is gone."""
        old, new = self._node_of(slot), self._successor(slot, own_name=True)
        self.world.boot(new)
        self.world.later(UP_MS + action.lasts, self._relieve, slot, old, new)

    def _relieve(self, slot: int, old: str, new: str) -> None:
        if not self.world.bearable and not self.may_forget(slot):
            self.world.later(500, self._relieve, slot, old, new)
            return
        self.world.machines[slot].amnesia = True
        self.gone.add(old)
        if self.world.nodes[old].member is not None and not self.world.nodes[old].frozen:
            self._stop(old)
        self._enter(slot, new)

    def _do_replace_old_first(self, slot: int, action: schedule.Action) -> None:
        """Unplanned: the old one is gone for good, an empty one comes later."""
        old = self._node_of(slot)
        self.gone.add(old)
        self.world.kill(old, power=True)
        new = self._successor(slot, own_name=bool(action.choice % 2))
        self.world.machines[slot].amnesia = True
        self._for_a_while(slot, action.lasts, self._enter, slot, new)

    def _do_replace_cut(self, slot: int, action: schedule.Action) -> None:
        """The old one lives on for a while, cut off for good, or with HALF_CUT from the leader and the new
        one alone; the new one bears its name or its own."""
        world, old = self.world, self._node_of(slot)
        leader = world.leader()
        half = False
        if action.choice & HALF_CUT and leader and leader != old:
            half = True
            world.part_links([(old, leader), (leader, old)])
            world.zombies.add(old)
        else:
            self.isolate(old, both=True)
            world.retired.add(old)
        world.machines[slot].amnesia = True
        new = self._successor(slot, own_name=bool(action.choice % 2))
        if half:
            world.part_links([(old, new), (new, old)])
        self.gone.add(old)
        self._for_a_while(slot, action.lasts, self._enter, slot, new)
        world.later(action.lasts + ZOMBIE_MS, self._retire, slot, old)

    def _retire(self, slot: int, name: str) -> None:
        self.world.kill(name)
        self.world.zombies.discard(name)
        self.remembered(slot)

    # links

    def isolate(self, name: str, both: bool, inward: bool = False) -> list[tuple[str, str]]:
        """Cuts all links from a process, or to it, or both; gives the links."""
        others = [n for n in self.world.nodes if n != name]
        out = [] if inward else [(name, n) for n in others]
        back = [(n, name) for n in others] if both or inward else []
        self.world.part_links(out + back)
        return out + back

    def _do_cut(self, slot: int, action: schedule.Action) -> None:
        self._for_a_while(
            slot, action.lasts, self.world.join_links, self.isolate(self._node_of(slot), both=True)
        )

    def _do_cut_in(self, slot: int, action: schedule.Action) -> None:
        pairs = self.isolate(self._node_of(slot), both=False, inward=True)
        self._for_a_while(slot, action.lasts, self.world.join_links, pairs)

    def _do_cut_out(self, slot: int, action: schedule.Action) -> None:
        self._for_a_while(
            slot, action.lasts, self.world.join_links, self.isolate(self._node_of(slot), both=False)
        )

    def _do_cut_pair(self, slot: int, action: schedule.Action) -> None:
        world, name = self.world, self._node_of(slot)
        others = sorted(n.name for n in world.controllers() if n.name != name)
        if not others:
            return
        other = others[action.choice % len(others)]
        pairs = [(name, other), (other, name)]
        world.part_links(pairs)
        self._for_a_while(slot, action.lasts, self.world.join_links, pairs)

    def _do_split(self, slot: int, action: schedule.Action) -> None:
        """The leader and every second process on one side, the others on the other."""
        world = self.world
        names = sorted(n.name for n in world.controllers())
        left = {n for i, n in enumerate(names) if (action.choice >> i % 3) & 1} | {self._node_of(slot)}
        pairs = [(a, b) for a in names for b in names if (a in left) != (b in left)]
        world.part_links(pairs)
        world.later(action.lasts, world.join_links, pairs)

    def _do_loss(self, slot: int, action: schedule.Action) -> None:
        self.world.lossy = 0.2
        self.world.later(action.lasts, setattr, self.world, "lossy", 0.0)

    # disks

    def _do_slow(self, slot: int, action: schedule.Action) -> None:
        disk = self.world.nodes[self._node_of(slot)].disk
        disk.slow = 40
        self._for_a_while(slot, action.lasts, setattr, disk, "slow", 1)

    def _do_stall(self, slot: int, action: schedule.Action) -> None:
        name = self._node_of(slot)
        self.world.stall(name)
        self._for_a_while(slot, action.lasts, self._flow, name)

    def _flow(self, name: str) -> None:
        self.world.stall(name, False)

    def _do_full(self, slot: int, action: schedule.Action) -> None:
        disk = self.world.nodes[self._node_of(slot)].disk
        disk.full = True
        self._for_a_while(slot, action.lasts, setattr, disk, "full", False)

    # proxies, operators

    def _do_proxy(self, slot: int, action: schedule.Action) -> None:
        """One more proxy, or one that starts again with nothing."""
        name = f"p{action.choice % 2}"
        if name in self.world.nodes:
            self.world.kill(name)
            self.world.boot(name)
            return
        self.world.proxy(name)

    def _do_changes(self, slot: int, action: schedule.Action) -> None:
        for operator in self.world.operators:
            operator.make(1 + action.choice % 4)
