"""`basaltport manifest plan`: what a configuration would place, and why not, by the nodes' own code."""

import dataclasses
import json
import sys
import typing

import absl.flags as flags
import result

import basaltport.command_line.command as command
import basaltport.command_line.documents as documents
import basaltport.command_line.output as output
import basaltport.configuration.check as check
import basaltport.identifiers as identifiers
import basaltport.query_api.events as query_events
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.world as worlds
import basaltport.simulation.query_api.world.world_base as world_base
import basaltport.simulation.trace as trace

QUIET_MS = 3000
STEP_MS = 100
BOUND_MS = 60_000
PREWARM_MS = 4000
UPDATE_MS = 600
USAGE = 2

Document = world_base.Document


class PlanWorld(worlds.World):
    """One node of each role and the platform's own replicas, with loads that take no time worth naming."""

    def add_listed(self, platform: Document, groups: Document) -> None:
        """Replicas as the platform lists them."""
        for replica_id, row in platform.items():
            self.preset.groups[row["group"]] = groups.get(row["group"], {"room": 0, "slots": 1})
            self.add_replica(replica_id, row["zone"], row["group"])

    def settle_down(self) -> None:
        """Runs until no load is under way and nothing was ordered for a while."""
        end = self.now + BOUND_MS
        seen, since = -1, self.now
        while self.now < end and self.now - since < QUIET_MS:
            self.run(STEP_MS)
            orders = len(trace.of_kind(self.trace, rows.Order))
            if orders != seen:
                seen, since = orders, self.now

    def holders(self) -> dict[str, list[str]]:
        """By item, the replicas that hold it."""
        holders: dict[str, list[str]] = {}
        for replica_id, replica in self.replicas.items():
            for item in replica.logic.held:
                holders.setdefault(item, []).append(replica_id)
        return holders


@dataclasses.dataclass(slots=True)
class Plan:
    """`kept`, `asked`: replicas by item, of those that are kept loaded and of those that are loaded when
    requested; `not_placed`: why, by item; `evicted`: items that had to go, by the item that took their
    room."""

    kept: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    asked: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    not_placed: dict[str, str] = dataclasses.field(default_factory=dict)
    evicted: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    replicas: dict[str, Document] = dataclasses.field(default_factory=dict)


def preset(configuration: Document) -> world_base.Preset:
    """One node of each role, and no replicas yet."""
    return world_base.Preset("plan", 1, 1, 1, {}, 1, {}, configuration["store"]["loads"])


def plan(configuration: Document, platform: Document) -> Document:
    """Placement of what is kept loaded, then of each other item asked for in turn."""
    world = PlanWorld(1, preset(configuration))
    world.add_listed(platform, configuration["groups"])
    world.build()
    world.run_until(lambda: world.leader() is not None, BOUND_MS)
    world.must("platform", {"replicas": world.platform_list()})
    world.must("apply", {"manifest": configuration})
    node = world.nodes[f"{world_base.QUERY_NODE}-1"]
    world.run_until(lambda: node.member.leased() and node.member.owned_zones, BOUND_MS)
    world.settle_down()
    placed = Plan()
    rules = sorted(node.member.rules.items.items())
    place_kept(placed, [(item, rule) for item, rule in rules if rule.kept], world)
    for item in [item for item, rule in rules if not rule.kept]:
        place_requested(placed, item, node, world)
    placed.replicas = {
        replica_id: {
            "room": replica.logic.room,
            "used": replica.logic.used(),
            "zone": replica.row["zone"],
        }
        for replica_id, replica in world.replicas.items()
    }
    return dataclasses.asdict(placed)


def place_kept(placed: Plan, kept: list[tuple[str, typing.Any]], world: PlanWorld) -> None:
    """What is kept loaded: a copy in every zone, or as many as are wanted."""
    holders = world.holders()
    zones = len(world.nodes[f"{world_base.QUERY_NODE}-1"].member.rules.zones)
    for item, rule in kept:
        copies = holders.get(item, [])
        placed.kept[item] = sorted(copies)
        needed = min(rule.copies, zones)
        if len(copies) < needed:
            placed.not_placed[item] = f"{len(copies)} of {needed} copies"


def place_requested(placed: Plan, item: str, node: world_base.Node, world: PlanWorld) -> None:
    """What is loaded when it is requested, and what must go for it."""
    before = world.holders()
    event = query_events.PrewarmRequested(world.now, [identifiers.Item(item)])
    world.give(node, node.incarnation, event)
    rejected: dict[str, str] = {}

    def is_held() -> bool:
        """Whether some replica holds it; remembers why it was rejected meanwhile."""
        for zone in node.member.owned_zones.values():
            rejected.update({of: why for of, why in zone.rejected.items() if of == item})
        return item in world.holders()

    world.run_until(is_held, PREWARM_MS)
    world.run(UPDATE_MS)
    after = world.holders()
    gone = sorted(other for other in before if other not in after)
    if gone:
        placed.evicted[item] = gone
    if item in after:
        placed.asked[item] = sorted(after[item])
    else:
        placed.not_placed[item] = rejected.get(item, "no answer in time")


def define(flag_values: flags.FlagValues) -> None:
    """The command's flags."""
    listed = "The list of replicas, as `platform` takes it."
    flags.DEFINE_string("platform", None, listed, flag_values=flag_values)
    flags.DEFINE_bool("json", False, "Print the plan as JSON.", flag_values=flag_values)


def problems(configuration: Document, platform: Document) -> list[Document]:
    """What is wrong with a configuration and a list of replicas, by place."""
    found: list[Document] = []
    for checked in (check.manifest(configuration), check.platform(platform)):
        if isinstance(checked, result.Err):
            found += checked.err_value
    if found:
        return found
    for replica_id, row in platform.items():
        for part, key in (("group", "groups"), ("zone", "zones")):
            if row[part] not in configuration[key]:
                text = f"no {part} {row[part]!r} in the manifest"
                found.append({"place": f"{replica_id}.{part}", "finding": text})
    return found


def run(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: 0 where all is placed, 1 where something is not, 2 where it was called in a wrong way."""
    if output.lacks_arguments(args, 1, "a manifest file"):
        return USAGE
    read: list[typing.Any] = []
    for path in (args[0], flag_values.platform or ""):
        document = documents.read_document(path)
        if isinstance(document, result.Err):
            print(document.err_value, file=sys.stderr)
            return USAGE
        read.append(document.ok_value)
    configuration, platform = read
    found = problems(configuration, platform)
    for problem in found:
        print(f"{problem['place']}: {problem['finding']}", file=sys.stderr)
    if found:
        return USAGE
    placed = plan(configuration, platform)
    if flag_values.json:
        print(json.dumps(placed, sort_keys=True))
    else:
        show(placed)
    return 1 if placed["not_placed"] else 0


def show(placed: Document) -> None:
    """A plan as tables."""
    lines = [
        {"item": item, "how": how, "on": " ".join(on)}
        for key, how in (("kept", "kept"), ("asked", "on demand"))
        for item, on in placed[key].items()
    ]
    output.table(lines, ["item", "how", "on"])
    replicas = [{"replica": name, **row} for name, row in sorted(placed["replicas"].items())]
    output.table(replicas, ["replica", "zone", "room", "used"])
    for item, gone in placed["evicted"].items():
        print(f"{item} takes the room of {', '.join(gone)}")
    for item, why in placed["not_placed"].items():
        print(f"NOT PLACED {item}: {why}")


COMMANDS = {
    "manifest plan": command.Command(
        "Show offline what a manifest would place, and why not.", run, define, "MANIFEST"
    )
}
