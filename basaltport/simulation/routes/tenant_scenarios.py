"""All scenarios of tenants, and the play that knows them."""

import typing

import basaltport.simulation.routes.plays as plays
import basaltport.simulation.routes.tenant_mayhem as tenant_mayhem
import basaltport.simulation.routes.tenant_play as tenant_play
import basaltport.simulation.routes.tenant_scenes as tenant_scenes

SCENARIOS: dict[str, plays.Scenario] = dict(tenant_scenes.SCENARIOS)
schedule = tenant_mayhem.schedule


class Play(tenant_play.TenantPlay):
    """A run of one of the scenarios of tenants."""

    SCENARIOS: typing.ClassVar[dict[str, plays.Scenario]] = SCENARIOS
