"""Sizes of fleets for the runner. Manifests and demand lie in examples/."""


def _preset(house, ledgers, rostrums, groups, service, manifest):
    return {
        "house": house,
        "ledgers": ledgers,
        "rostrums": rostrums,
        "zones": 3,
        "groups": groups,
        "load_ms_per_size": 60,
        "service_ms": service,
        "loads": 6,
        "manifest": manifest,
    }


PRESETS = {
    "thin": _preset(
        "thin", 3, 3, {"models": {"replicas": 3, "room": 40, "slots": 8}}, {"models": 40}, "thin.json"
    ),
    "mid": _preset(
        "mid", 3, 5, {"models": {"replicas": 6, "room": 40, "slots": 8}}, {"models": 40}, "thin.json"
    ),
    "furrow": _preset(
        "furrow",
        3,
        8,
        {
            "models": {"replicas": 9, "room": 90, "slots": 16},
            "catalog": {"replicas": 3, "room": 10, "slots": 32},
        },
        {"models": 80, "catalog": 15},
        "furrow.json",
    ),
    "tsehay": _preset(
        "tsehay",
        3,
        9,
        {
            "models": {"replicas": 6, "room": 140, "slots": 20},
            "receipts": {"replicas": 3, "room": 10, "slots": 32},
        },
        {"models": 80, "receipts": 20},
        "tsehay.json",
    ),
}
