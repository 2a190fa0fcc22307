"""Sizes of fleets for the runner. Configurations and demand lie in examples/."""

import basaltport.simulation.query_api.world.world_base as world_base

Preset = world_base.Preset
THIN_GROUPS = {"models": {"replicas": 3, "room": 40, "slots": 8}}
MID_GROUPS = {"models": {"replicas": 6, "room": 40, "slots": 8}}
FURROW_GROUPS = {
    "models": {"replicas": 9, "room": 90, "slots": 16},
    "catalog": {"replicas": 3, "room": 10, "slots": 32},
}
TSEHAY_GROUPS = {
    "models": {"replicas": 6, "room": 140, "slots": 20},
    "receipts": {"replicas": 3, "room": 10, "slots": 32},
}
FURROW_SERVICE_MS = {"models": 80, "catalog": 15}
TSEHAY_SERVICE_MS = {"models": 80, "receipts": 20}

PRESETS = {
    "thin": Preset("thin", 3, 3, 3, THIN_GROUPS, 60, {"models": 40}, 6, "thin.json"),
    "mid": Preset("mid", 3, 5, 3, MID_GROUPS, 60, {"models": 40}, 6, "thin.json"),
    "furrow": Preset("furrow", 3, 8, 3, FURROW_GROUPS, 60, FURROW_SERVICE_MS, 6, "furrow.json"),
    "tsehay": Preset("tsehay", 3, 9, 3, TSEHAY_GROUPS, 60, TSEHAY_SERVICE_MS, 6, "tsehay.json"),
}
