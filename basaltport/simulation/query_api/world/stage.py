"""Worlds ready to play: a preset with its configuration, demand and a founded cluster."""

import hashlib
import json
import pathlib
import typing

import basaltport.simulation.query_api.world.crowd as crowds
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.world as world
import basaltport.simulation.query_api.world.world_base as world_base

Document = world_base.Document
EXAMPLES = pathlib.Path(__file__).parent.parent.parent.parent / "examples"
LEADER_MS = 10_000
LEASES_MS = 5000


def example(name: str) -> Document:
    """A file of the examples."""
    document: Document = json.loads((EXAMPLES / name).read_text())
    return document


def hashed(token: str) -> str:
    """What a configuration has of a token."""
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


def build(preset: str, seed: int, packed: bool = False) -> world.World:
    """A world whose nodes are about to start."""
    built = world.World(seed, presets.PRESETS[preset], packed=packed)
    built.build()
    return built


def ready(preset: str, seed: int, configuration: Document | None = None, packed: bool = False) -> world.World:
    """A founded cluster with its configuration in force, its replicas listed and every query node leased."""
    made = build(preset, seed, packed)
    assert made.run_until(lambda: made.leader() is not None, LEADER_MS), "no leader"
    made.configuration = configuration or example(presets.PRESETS[preset].configuration)
    made.must("platform", {"replicas": made.platform_list()})
    made.must("apply", {"manifest": made.configuration})
    leased = made.run_until(lambda: all(node.member.leased() for node in made.live()), LEASES_MS)
    assert leased, "not all leased"
    return made


def swell(configuration: Document, queues: int, clients: int, models: int) -> Document:
    """A configuration with many more queues, each with many clients, and models."""
    group = next(iter(configuration["groups"]))
    more = {f"extra-{i}": {"size": 1, "group": group, "adapters": {"x": {"size": 1}}} for i in range(models)}
    base = next(iter(configuration["lines"].values()))
    rows: dict[str, typing.Any] = {}
    for i in range(queues):
        senders = {f"s{j}": hashed(f"{i}.{j}") for j in range(clients)}
        items = [f"extra-{i % models}/*"]
        rows[f"extra-{i}"] = {**base, "senders": senders, "items": items, "prewarm": []}
    return {
        **configuration,
        "models": {**configuration["models"], **more},
        "lines": {**configuration["lines"], **rows},
    }


def demand(preset: str) -> Document:
    """The demand document of a preset."""
    return example(presets.PRESETS[preset].configuration.replace(".json", "-demand.json"))


def crowd(made: world.World, preset: str, seed: int) -> crowds.Crowd:
    """Clients by the demand document of a preset."""
    return crowds.Crowd(made, demand(preset), made.configuration, hashed, seed)
