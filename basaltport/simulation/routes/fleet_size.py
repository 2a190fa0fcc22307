"""How large a simulated fleet is, and the sizes that stand ready."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """`replicas` hold models, `each` at the start; `plain` ones hold none; `flow` is the usual requests a
    second."""

    controllers: int
    proxies: int
    replicas: int
    plain: int
    models: int
    each: int
    flow: int


PRESETS = {
    "small": FleetSize(controllers=3, proxies=6, replicas=9, plain=3, models=26, each=3, flow=40),
    "wide": FleetSize(controllers=3, proxies=12, replicas=18, plain=6, models=56, each=3, flow=120),
    "furrow-3": FleetSize(controllers=3, proxies=8, replicas=18, plain=3, models=56, each=3, flow=60),
    "furrow-5": FleetSize(controllers=5, proxies=8, replicas=18, plain=3, models=56, each=3, flow=60),
    "tsehay-3": FleetSize(controllers=3, proxies=9, replicas=12, plain=3, models=39, each=3, flow=60),
    "tsehay-5": FleetSize(controllers=5, proxies=9, replicas=12, plain=3, models=39, each=3, flow=60),
}
