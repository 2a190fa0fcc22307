"""Worlds ready to play: a preset with its manifest, demand and a founded house."""

import hashlib
import json
import pathlib

import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.senders as senders
import basaltport.simulation.query_api.world.world as world

EXAMPLES = pathlib.Path(__file__).parent.parent.parent.parent / "examples"


def example(name):
    return json.loads((EXAMPLES / name).read_text())


def hashed(token):
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


def build(preset, seed, **kw):
    w = world.World(seed, presets.PRESETS[preset], **kw)
    w.build()
    return w


def ready(preset, seed, manifest=None, **kw):
    """A founded house with its manifest in force, its replicas listed and every rostrum leased."""
    w = build(preset, seed, **kw)
    assert w.run_until(lambda: w.leader() is not None, 10_000), "no leader"
    w.manifest = manifest or example(presets.PRESETS[preset]["manifest"])
    w.must("platform", {"replicas": w.platform_list()})
    w.must("apply", {"manifest": w.manifest})
    assert w.run_until(lambda: all(n.member.leased() for n in w.live()), 5000), "not all leased"
    return w


def swell(m, lines, senders, models):
    """A manifest with many more lines, each with many senders, and models."""
    g = next(iter(m["groups"]))
    more = {f"extra-{i}": {"size": 1, "group": g, "adapters": {"x": {"size": 1}}} for i in range(models)}
    base = next(iter(m["lines"].values()))
    rows = {}
    for i in range(lines):
        who = {f"s{j}": hashed(f"{i}.{j}") for j in range(senders)}
        rows[f"extra-{i}"] = {**base, "senders": who, "items": [f"extra-{i % models}/*"], "prewarm": []}
    return {**m, "models": {**m["models"], **more}, "lines": {**m["lines"], **rows}}


def crowd(w, preset, seed):
    d = example(presets.PRESETS[preset]["manifest"].replace(".json", "-demand.json"))
    return senders.Crowd(w, d, w.manifest, hashed, seed)
