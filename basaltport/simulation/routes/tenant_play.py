"""How scenarios of tenants are played: with closer checks, under loads that the rules of tenants meet."""

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.checks as checks
import basaltport.simulation.routes.plays as plays
import basaltport.simulation.routes.tenant_checks as tenant_checks
import basaltport.simulation.routes.tenant_world as tenant_world

APPLIED_MS = 3500
SHARED_MS = 8000
"""From when limits are in force until proxies have shares of them."""
HOT_FACTOR = 10
SMALL_PER_S = 25
KEYS_EVERY_MS = 700


class TenantPlay(plays.Play):
    """See `tenant_scenarios` for its scenarios."""

    WORLD = tenant_world.TenantWorld
    world: tenant_world.TenantWorld

    def findings(self) -> list[finding.Finding]:
        """The rules that were broken, also those of tenants."""
        rows, facts = self.world.trace, self.facts()
        return checks.run(rows, facts) + tenant_checks.run(rows, facts)

    # loads

    def limit_all(self) -> None:
        """All tenants have limits, which every proxy has by now."""
        self.world.limit_all()
        self.world.must(self.world.configure)
        self.world.run(APPLIED_MS)

    def heat(self, on: bool = True) -> None:
        """The largest tenant sends many times its usual, and one of the smallest as much as a large one; or
        no longer."""
        world = self.world
        if not on:
            for tenant in list(world.hot):
                world.heat(tenant, 0)
            return
        world.heat(world.hottest(), HOT_FACTOR * world.usual_rate(world.hottest()))
        world.heat(world.coldest(), SMALL_PER_S)

    def change_keys(self, on: bool = True) -> None:
        """Keys are given, taken and passed on in series faster than configurations come in force; or no
        longer, and what was edited last is in force."""
        self.world.change_keys(KEYS_EVERY_MS if on else 0)
        if not on:
            self.settle()

    def settle(self) -> None:
        """What operators edited last is taken and in force."""
        world = self.world
        world.until(lambda: not world.is_changing(), APPLIED_MS)
        world.must(world.configure)
        world.run(APPLIED_MS)
